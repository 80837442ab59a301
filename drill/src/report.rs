//! A drill's report: figures and verdict as JSON, and as one HTML page that needs nothing beside it. It owns how figures
//! are shown and must never reckon any.

use std::fmt::Write;

use plotters::prelude::*;
use serde::Serialize;

use crate::audit::Verdict;
use crate::figures::{FaultSeen, Figures, Served};

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub file: String,
    pub about: String,
    pub seed: u64,
    pub cut_short: bool,
    pub figures: Figures,
    pub verdict: Verdict,
}

impl Report {
    pub fn json(&self) -> Result<String, String> {
        serde_json::to_string_pretty(self).map_err(|e| e.to_string())
    }

    /// What is said on a terminal.
    pub fn text(&self) -> String {
        let Figures {
            calls,
            in_target,
            late,
            denied,
            aborted,
            broken,
            not_taken,
            nothing,
            service,
            worst_half_s,
            worst_half_at_s,
            ..
        } = &self.figures;
        let f = &self.figures;
        let after = f.full_service_after_end_s.map_or("not seen".into(), |after| format!("{after:.1} s"));
        let mut text = format!(
            "{calls} calls: {in_target} in target, {late} late, {denied} denied, {aborted} aborted, {broken} broken off, \
             {not_taken} not taken, {nothing} never answered\n\
             service {service:.3} ({:.3} before the first fault), worst half second {worst_half_s:.3} at {worst_half_at_s:.1} s; \
             p50 {:.0} ms, p99 {:.0} ms\n\
             full service {:.1} s after the first fault, {after} after the last one's end; {} bad half seconds\n\
             {:.3} sends a req, {} turned away, {:.2} near, most at one srv {:.2} times the mean (at {:.0} s)\n\
             {} connections to srvs, {} calls to discovery; processes ready after {:.0} ms, {:.0} ms at the most\n\
             a process: {} KB and {} descriptors at the most, {:.1}% of a core (most {:.1}%); the drill's own lag {:.0} ms\n\
             the balancers sent each other {:.0} bytes a second each; {} reqs lost with what was killed, stopped or cut; {} final answers missing\n\
             {} sends failed; {} drains and departures, heeded by 99% of the balancers {:.2} s after the first was told, {} sends more than 1 s after it\n",
            f.service_before,
            f.p50_ms,
            f.p99_ms,
            f.full_service_s,
            f.bad_half_s,
            f.sends_a_req,
            f.turned_away,
            f.near,
            f.peak_over_mean,
            f.peak_at_s,
            f.connections,
            f.list_calls,
            f.ready_ms_mean,
            f.ready_ms_most,
            f.memory_kb_most,
            f.descriptors_most,
            100.0 * f.cpu_share_mean,
            100.0 * f.cpu_share_most,
            f.lag_ms,
            f.fleet_bytes_per_s,
            f.lost_with_faults,
            f.missing,
            f.failed_sends,
            f.departures,
            f.heeded_by_99_s,
            f.unheeded_sends,
        );
        for breach in self.verdict.breaches.iter().take(10) {
            let (rule, at, id, what) = (breach.rule, breach.at_s, &breach.id, &breach.what);
            // Writing to a String does not fail.
            let _ = writeln!(text, "BROKEN rule {rule} at {at:.3} s, req {id}: {what}");
            for line in &breach.life {
                let _ = writeln!(text, "    {line}");
            }
        }
        text + &match self.verdict.breaches.len() {
            0 => "rules kept\n".to_owned(),
            more => format!("rules broken {more} times\n"),
        }
    }

    pub fn html(&self) -> String {
        let f = &self.figures;
        let service = |halves: &[Served]| {
            halves.iter().enumerate().map(|(at, served)| (at as f64 / 2.0, served.part())).collect::<Vec<_>>()
        };
        let mut zones: Vec<(String, Vec<(f64, f64)>)> = vec![("all".into(), service(&f.by_half_s))];
        zones.extend(f.zone_by_half_s.iter().map(|(name, halves)| (format!("zone {name}"), service(halves))));
        let by_s = |name: &str, values: &[f64]| {
            vec![(
                name.to_owned(),
                values.iter().enumerate().map(|(at, value)| (at as f64, *value)).collect(),
            )]
        };
        let counts = |values: &[u64]| values.iter().map(|value| *value as f64).collect::<Vec<_>>();
        let plots = [
            plot("Served within target, by half second of the call", &zones, &f.faults, Some(1.02)),
            plot(
                "Most sends at one srv over the mean, by second",
                &by_s("peak", &f.peak_by_s),
                &f.faults,
                None,
            ),
            plot(
                "Connections opened to srvs, by second",
                &by_s("opened", &counts(&f.connections_by_s)),
                &f.faults,
                None,
            ),
            plot(
                "Calls to discovery, by second",
                &by_s("calls", &counts(&f.list_calls_by_s)),
                &f.faults,
                None,
            ),
        ];
        let mut rows = String::new();
        for (name, of) in [("zone", &f.by_zone), ("region", &f.by_region), ("rule set", &f.by_rule_set)] {
            for (key, served) in of {
                let Served { asked, in_target } = served;
                let (key, part) = (escape(key), served.part());
                let _ = write!(rows, "<tr><td>{name} {key}<td>{asked}<td>{in_target}<td>{part:.3}");
            }
        }
        let faults = f.faults.iter().fold(String::new(), |mut rows, FaultSeen { what, at_s, until_s }| {
            let until = until_s.map_or(String::new(), |until| format!("{until:.1}"));
            let _ = write!(rows, "<tr><td>{}<td>{at_s:.1}<td>{until}", escape(what));
            rows
        });
        let kept = if self.verdict.breaches.is_empty() { "" } else { " class=broken" };
        format!(
            "<!doctype html><meta charset=utf-8><title>{file}</title><style>body{{font:15px sans-serif;margin:2em;max-width:960px}}\
             td,th{{padding:2px 12px;text-align:left}}pre{{background:#f4f4f4;padding:1em;overflow:auto}}.broken{{background:#fdd}}\
             svg{{max-width:100%}}</style>\
             <h1>{file}, seed {seed}</h1><p>{about}</p><pre{kept}>{text}</pre>{plots}\
             <h2>Served</h2><table><tr><th><th>asked<th>in target<th>service{rows}</table>\
             <h2>Faults</h2><table><tr><th>what<th>from, s<th>until, s{faults}</table>",
            file = escape(&self.file),
            seed = self.seed,
            about = escape(&self.about),
            text = escape(&self.text()),
            plots = plots.concat(),
        )
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type Lines = [(String, Vec<(f64, f64)>)];

/// A plot as SVG, with a grey band for each fault; empty where it can't be drawn.
fn plot(title: &str, lines: &Lines, faults: &[FaultSeen], most: Option<f64>) -> String {
    let mut svg = String::new();
    match draw(&mut svg, lines, faults, most) {
        Ok(()) => format!("<h2>{title}</h2>{svg}"),
        Err(_) => String::new(),
    }
}

fn draw(svg: &mut String, lines: &Lines, faults: &[FaultSeen], most: Option<f64>) -> Result<(), String> {
    let told = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    let points = || lines.iter().flat_map(|(_, points)| points);
    let last = points().map(|(at, _)| *at).fold(1.0, f64::max);
    let top = most.unwrap_or_else(|| 1.05 * points().map(|(_, value)| *value).fold(1.0, f64::max));
    let area = SVGBackend::with_string(svg, (920, 260)).into_drawing_area();
    let mut builder = ChartBuilder::on(&area);
    builder.margin(8).x_label_area_size(28).y_label_area_size(52);
    let mut chart = builder.build_cartesian_2d(0.0..last, 0.0..top).map_err(told)?;
    for FaultSeen { at_s, until_s, .. } in faults {
        let from = at_s.clamp(0.0, last);
        let until = until_s.unwrap_or(at_s + 0.1).clamp(from, last).max(from + last / 400.0);
        let band = Rectangle::new([(from, 0.0), (until, top)], RED.mix(0.12).filled());
        chart.draw_series([band]).map_err(told)?;
    }
    chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw().map_err(told)?;
    for (number, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let line =
            LineSeries::new(points.iter().copied(), colour.stroke_width(if number == 0 { 2 } else { 1 }));
        let series = chart.draw_series(line).map_err(told)?;
        let mark = move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled());
        series.label(name.as_str()).legend(mark);
    }
    if lines.len() > 1 {
        let labels = chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE)
            .draw();
        labels.map_err(told)?;
    }
    area.present().map_err(told)
}
