//! A drill's report: metrics and verdict as JSON, as text, and as a self-contained HTML page. Rendering only; it computes no
//! metrics.

use std::fmt::Write;

use plotters::prelude::*;
use serde::Serialize;

use crate::audit::{Verdict, Violation};
use crate::metrics::{CallCounts, Metrics, ObservedFault};

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub file: String,
    #[serde(rename = "about")]
    pub description: String,
    pub seed: u64,
    pub cut_short: bool,
    #[serde(rename = "figures")]
    pub metrics: Metrics,
    pub verdict: Verdict,
}

impl Report {
    pub fn json(&self) -> Result<String, String> {
        serde_json::to_string_pretty(self).map_err(|e| e.to_string())
    }

    /// A summary for the terminal.
    pub fn text(&self) -> String {
        let Metrics {
            calls,
            in_target,
            late,
            denied,
            aborted,
            connection_lost,
            not_connected,
            timed_out,
            service,
            worst_half_second_service,
            worst_half_second_at_s,
            ..
        } = &self.metrics;
        let m = &self.metrics;
        let after_last_fault =
            m.full_service_after_last_fault_s.map_or("not seen".into(), |after| format!("{after:.1} s"));
        let mut text = format!(
            "{calls} calls: {in_target} in target, {late} late, {denied} denied, {aborted} aborted, {connection_lost} broken off, \
             {not_connected} not taken, {timed_out} never answered\n\
             service {service:.3} ({:.3} before the first fault), worst half second {worst_half_second_service:.3} at {worst_half_second_at_s:.1} s; \
             p50 {:.0} ms, p99 {:.0} ms\n\
             full service {:.1} s after the first fault, {after_last_fault} after the last one's end; {} bad half seconds\n\
             {:.3} sends a req, {} turned away, {:.2} near, most at one srv {:.2} times the mean (at {:.0} s)\n\
             {} connections to srvs, {} calls to discovery; processes ready after {:.0} ms, {:.0} ms at the most\n\
             a process: {} KB and {} descriptors at the most, {:.1}% of a core (most {:.1}%); the drill's own lag {:.0} ms\n\
             the balancers sent each other {:.0} bytes a second each; {} reqs lost with what was killed, stopped or cut; {} final answers missing\n\
             {} sends failed; {} drains and departures, heeded by 99% of the balancers {:.2} s after the first was told, {} sends more than 1 s after it\n",
            m.service_before_faults,
            m.p50_ms,
            m.p99_ms,
            m.time_to_full_service_s,
            m.bad_half_seconds,
            m.dispatches_per_request,
            m.rejected_dispatches,
            m.same_zone_share,
            m.peak_over_mean,
            m.peak_at_s,
            m.connections,
            m.discovery_calls,
            m.ready_ms_mean,
            m.ready_ms_max,
            m.memory_kb_max,
            m.descriptors_max,
            100.0 * m.cpu_share_mean,
            100.0 * m.cpu_share_max,
            m.task_lag_ms,
            m.gossip_bytes_per_s,
            m.lost_to_faults,
            m.missing,
            m.failed_dispatches,
            m.departures,
            m.departure_heeded_p99_s,
            m.dispatches_after_departure,
        );
        for Violation { rule, at_s, id, description, timeline } in self.verdict.violations.iter().take(10) {
            // Writing to a String does not fail.
            let _ = writeln!(text, "BROKEN rule {rule} at {at_s:.3} s, req {id}: {description}");
            for line in timeline {
                let _ = writeln!(text, "    {line}");
            }
        }
        text + &match self.verdict.violations.len() {
            0 => "rules kept\n".to_owned(),
            count => format!("rules broken {count} times\n"),
        }
    }

    pub fn html(&self) -> String {
        let m = &self.metrics;
        let service = |counts: &[CallCounts]| {
            let points = counts.iter().enumerate();
            points
                .map(|(half_second, counts)| (half_second as f64 / 2.0, counts.service()))
                .collect::<Vec<_>>()
        };
        let mut service_lines: Vec<(String, Vec<(f64, f64)>)> =
            vec![("all".into(), service(&m.by_half_second))];
        let by_zone = m.zone_by_half_second.iter();
        service_lines.extend(by_zone.map(|(name, counts)| (format!("zone {name}"), service(counts))));
        let by_second = |name: &str, values: &[f64]| {
            let points = values.iter().enumerate().map(|(second, value)| (second as f64, *value)).collect();
            vec![(name.to_owned(), points)]
        };
        let to_f64 = |values: &[u64]| values.iter().map(|value| *value as f64).collect::<Vec<_>>();
        let plots = [
            plot("Served within target, by half second of the call", &service_lines, &m.faults, Some(1.02)),
            plot(
                "Most sends at one srv over the mean, by second",
                &by_second("peak", &m.peak_by_second),
                &m.faults,
                None,
            ),
            plot(
                "Connections opened to srvs, by second",
                &by_second("opened", &to_f64(&m.connections_by_second)),
                &m.faults,
                None,
            ),
            plot(
                "Calls to discovery, by second",
                &by_second("calls", &to_f64(&m.discovery_calls_by_second)),
                &m.faults,
                None,
            ),
        ];
        let mut rows = String::new();
        for (group, counts) in [("zone", &m.by_zone), ("region", &m.by_region), ("rule set", &m.by_rule_set)]
        {
            for (name, counts) in counts {
                let CallCounts { made, in_target } = counts;
                let (name, service) = (escape(name), counts.service());
                let _ = write!(rows, "<tr><td>{group} {name}<td>{made}<td>{in_target}<td>{service:.3}");
            }
        }
        let faults =
            m.faults.iter().fold(String::new(), |mut rows, ObservedFault { name, at_s, until_s }| {
                let until = until_s.map_or(String::new(), |until| format!("{until:.1}"));
                let _ = write!(rows, "<tr><td>{}<td>{at_s:.1}<td>{until}", escape(name));
                rows
            });
        let text_class = if self.verdict.violations.is_empty() { "" } else { " class=broken" };
        format!(
            "<!doctype html><meta charset=utf-8><title>{file}</title><style>body{{font:15px sans-serif;margin:2em;max-width:960px}}\
             td,th{{padding:2px 12px;text-align:left}}pre{{background:#f4f4f4;padding:1em;overflow:auto}}.broken{{background:#fdd}}\
             svg{{max-width:100%}}</style>\
             <h1>{file}, seed {seed}</h1><p>{about}</p><pre{text_class}>{text}</pre>{plots}\
             <h2>Served</h2><table><tr><th><th>asked<th>in target<th>service{rows}</table>\
             <h2>Faults</h2><table><tr><th>what<th>from, s<th>until, s{faults}</table>",
            file = escape(&self.file),
            seed = self.seed,
            about = escape(&self.description),
            text = escape(&self.text()),
            plots = plots.concat(),
        )
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Named lines, each as points.
type Lines = [(String, Vec<(f64, f64)>)];

/// A plot as SVG, with a shaded band for each fault; empty if it can't be drawn. The y axis ends at `max`, or by default
/// just above the largest value.
fn plot(title: &str, lines: &Lines, faults: &[ObservedFault], max: Option<f64>) -> String {
    let mut svg = String::new();
    match draw(&mut svg, lines, faults, max) {
        Ok(()) => format!("<h2>{title}</h2>{svg}"),
        Err(_) => String::new(),
    }
}

fn draw(svg: &mut String, lines: &Lines, faults: &[ObservedFault], max: Option<f64>) -> Result<(), String> {
    let to_text = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    let points = || lines.iter().flat_map(|(_, points)| points);
    let x_max = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let y_max = max.unwrap_or_else(|| 1.05 * points().map(|(_, y)| *y).fold(1.0, f64::max));
    let area = SVGBackend::with_string(svg, (920, 260)).into_drawing_area();
    let mut builder = ChartBuilder::on(&area);
    builder.margin(8).x_label_area_size(28).y_label_area_size(52);
    let mut chart = builder.build_cartesian_2d(0.0..x_max, 0.0..y_max).map_err(to_text)?;
    for ObservedFault { at_s, until_s, .. } in faults {
        let from = at_s.clamp(0.0, x_max);
        let until = until_s.unwrap_or(at_s + 0.1).clamp(from, x_max).max(from + x_max / 400.0);
        let band = Rectangle::new([(from, 0.0), (until, y_max)], RED.mix(0.12).filled());
        chart.draw_series([band]).map_err(to_text)?;
    }
    chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw().map_err(to_text)?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line =
            LineSeries::new(points.iter().copied(), color.stroke_width(if index == 0 { 2 } else { 1 }));
        let series = chart.draw_series(line).map_err(to_text)?;
        let legend = move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled());
        series.label(name.as_str()).legend(legend);
    }
    if lines.len() > 1 {
        let labels = chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE)
            .draw();
        labels.map_err(to_text)?;
    }
    area.present().map_err(to_text)
}
