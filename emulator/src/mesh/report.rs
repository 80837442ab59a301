//! Results of a run: propagation delays, the work of one steward and one attendant by cause, the load of the busiest
//! steward against its limits and, over several sizes, the limit that is reached first. All figures are simulated.

use std::fmt::Write;

use serde::Serialize;

use super::audit::Auditor;
use super::propagation::{PropagationTracker, UpdateKind};
use super::resource_usage::{CAUSES, Cause, ResourceUsage, UsageSum};
use super::scenario::Scenario;

/// Seconds until all attendants knew.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DelaySummary {
    #[serde(rename = "times")]
    pub count: usize,
    /// Updates that had not reached all attendants at the end.
    #[serde(rename = "unheard")]
    pub unfinished: usize,
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

impl DelaySummary {
    fn of(mut times: Vec<f64>, unheard: usize) -> DelaySummary {
        times.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (times.len() as f64 * part).ceil() as usize;
            times.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        DelaySummary { count: times.len(), unfinished: unheard, p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }

    fn text(&self) -> String {
        let unheard =
            if self.unfinished > 0 { format!(" ({} open)", self.unfinished) } else { String::new() };
        if self.count == 0 {
            return format!("-{unheard}");
        }
        format!("{:.2} {:.2} {:.2}{unheard}", self.p50, self.p99, self.max)
    }
}

/// Load of the busiest steward as a fraction of its limit: mean, and in the worst second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    pub mean: f64,
    #[serde(rename = "worst")]
    pub peak: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub nodes: usize,
    pub stewards: usize,
    pub drain: DelaySummary,
    #[serde(rename = "dead")]
    pub failure: DelaySummary,
    /// Failed attendants that returned before all had learned of the failure.
    pub returned: usize,
    pub configuration: DelaySummary,
    /// Leases requested, granted and unanswered.
    pub claims: [u64; 3],
    pub claim_ms: DelaySummary,
    /// Usage of one process per second, by cause.
    #[serde(rename = "steward")]
    pub steward_usage: Vec<(Cause, UsageSum)>,
    #[serde(rename = "attendant")]
    pub attendant_usage: Vec<(Cause, UsageSum)>,
    pub processor: Load,
    pub link_out: Load,
    pub link_in: Load,
    /// Longest wait for the processor of a steward.
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: f64,
    pub events: u64,
    /// Number of checks of records, grants and reads.
    #[serde(rename = "looked_at")]
    pub checks: [u64; 3],
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
}

fn mean(usage: &[ResourceUsage], seconds: f64) -> Vec<(Cause, UsageSum)> {
    let each = usage.len().max(1) as f64 * seconds;
    let of = |cause: Cause, pick: fn(&UsageSum) -> f64| {
        usage.iter().map(|usage| pick(&usage.sums[cause as usize])).sum::<f64>() / each
    };
    let sum = |cause: Cause| UsageSum {
        messages: of(cause, |sum| sum.messages),
        bytes: of(cause, |sum| sum.bytes),
        wakes: of(cause, |sum| sum.wakes),
        processor: of(cause, |sum| sum.processor),
    };
    CAUSES.iter().map(|cause| (*cause, sum(*cause))).collect()
}

pub(super) fn report(
    scenario: &Scenario,
    seconds: f64,
    (stewards, attendants): (Vec<ResourceUsage>, Vec<ResourceUsage>),
    watch: &PropagationTracker,
    audit: &Auditor,
    (claims, claim_ms): ([u64; 3], Vec<f64>),
    events: u64,
) -> Report {
    let curve = |kind: UpdateKind| {
        DelaySummary::of(watch.delays_s.get(&kind).cloned().unwrap_or_default(), watch.unfinished(kind))
    };
    let load = |which: usize, limit: f64| Load {
        mean: stewards.iter().map(|usage| usage.total[which]).fold(0.0, f64::max) / seconds / limit,
        peak: stewards.iter().map(|usage| usage.peak_second[which]).fold(0.0, f64::max) / limit,
    };
    let bytes = scenario.link.bandwidth_mbit_s * 1e6 / 8.0;
    Report {
        nodes: scenario.nodes,
        stewards: scenario.stewards,
        drain: curve(UpdateKind::Drain),
        failure: curve(UpdateKind::Failure),
        returned: watch.returned,
        configuration: curve(UpdateKind::Configuration),
        claims,
        claim_ms: DelaySummary::of(claim_ms, 0),
        steward_usage: mean(&stewards, seconds),
        attendant_usage: mean(&attendants, seconds),
        processor: load(0, 1e9 * scenario.processor.steward_share),
        link_out: load(1, bytes),
        link_in: load(2, bytes),
        max_wait_ms: stewards.iter().map(|usage| usage.max_wait).max().unwrap_or(0) as f64 / 1e6,
        events,
        checks: audit.checks,
        violations: audit.violations.clone(),
    }
}

fn write_usage_table(text: &mut String, of: &str, sums: &[(Cause, UsageSum)]) {
    let _ = writeln!(
        text,
        "\n| {of}, a second | messages | bytes | wake-ups | processor, us |\n| --- | --- | --- | --- | --- |"
    );
    let mut sums = sums.to_vec();
    sums.sort_by(|(_, a), (_, b)| b.processor.total_cmp(&a.processor));
    let mut all = UsageSum::default();
    for (cause, sum) in &sums {
        let name = cause.label();
        let (messages, bytes, wakes) = (sum.messages, sum.bytes, sum.wakes);
        let _ = writeln!(
            text,
            "| {name} | {messages:.1} | {bytes:.0} | {wakes:.1} | {:.0} |",
            sum.processor / 1e3
        );
        all.messages += messages;
        all.bytes += bytes;
        all.wakes += wakes;
        all.processor += sum.processor;
    }
    let UsageSum { messages, bytes, wakes, processor } = all;
    let _ = writeln!(text, "| all | {messages:.1} | {bytes:.0} | {wakes:.1} | {:.0} |", processor / 1e3);
}

impl Report {
    pub fn text(&self) -> String {
        let mut text = format!(
            "simulated: {} attendants, {} stewards, {} events\n",
            self.nodes, self.stewards, self.events
        );
        let _ = writeln!(text, "seconds until all gates know, p50 p99 max:");
        for (name, curve) in
            [("drain", &self.drain), ("dead", &self.failure), ("configuration", &self.configuration)]
        {
            let _ = writeln!(text, "  {name}: {} of {}", curve.text(), curve.count);
        }
        let [asked, granted, unsure] = self.claims;
        let _ = writeln!(
            text,
            "claims: {asked} asked, {granted} granted, {unsure} unsure; granted after ms {}",
            self.claim_ms.text()
        );
        for (name, load) in
            [("processor", self.processor), ("link out", self.link_out), ("link in", self.link_in)]
        {
            let _ = writeln!(
                text,
                "busiest steward's {name}: {:.3} of its limit, {:.3} in the worst second",
                load.mean, load.peak
            );
        }
        let _ = writeln!(text, "longest wait for a steward's processor: {:.0} ms", self.max_wait_ms);
        write_usage_table(&mut text, "a steward", &self.steward_usage);
        write_usage_table(&mut text, "an attendant", &self.attendant_usage);
        let [rows, grants, reads] = self.checks;
        let _ = writeln!(
            text,
            "\nlooked at {rows} rows, {grants} grants, {reads} reads: {} broken",
            self.violations.len()
        );
        self.violations.iter().take(10).for_each(|breach| {
            let _ = writeln!(text, "BROKEN {breach}");
        });
        text
    }
}

/// Size at which a load reaches 1, interpolated or extrapolated linearly in log-log space.
fn find_limit_crossing(points: &[(f64, f64)]) -> Option<f64> {
    let pairs = points.windows(2).filter(|pair| pair[1].1 >= 1.0 && pair[0].1 < 1.0);
    let pair = pairs.chain(points.windows(2).last()).next()?;
    let [(n0, l0), (n1, l1)] = [pair[0], pair[1]];
    if points.first().is_some_and(|(_, load)| *load >= 1.0) {
        return points.first().map(|(nodes, _)| *nodes);
    }
    let slope = (l1 / l0).ln() / (n1 / n0).ln();
    (slope > 0.05 && l0 > 0.0).then(|| n0 * (-l0.ln() / slope).exp())
}

/// Table over sizes, with the limits in the order in which they are reached.
pub fn sweep_text(reports: &[Report]) -> String {
    let mut text = String::from(
        "simulated; seconds until all gates know (p50 p99 max); loads of the busiest steward as parts of its limit, mean (worst second)\n\
         | nodes | drain | dead | configuration | processor | link out | link in | wait, ms | claim ms | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let load = |load: Load| format!("{:.3} ({:.3})", load.mean, load.peak);
    for report in reports {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.1} {:.1} | {} |",
            report.nodes,
            report.drain.text(),
            report.failure.text(),
            report.configuration.text(),
            load(report.processor),
            load(report.link_out),
            load(report.link_in),
            report.max_wait_ms,
            report.claim_ms.p50,
            report.claim_ms.p99,
            report.violations.len()
        );
    }
    text += "\n| a second, one of them | nodes | messages | kB | wake-ups | processor, ms | most of it |\n| --- | --- | --- | --- | --- | --- | --- |\n";
    for report in reports {
        for (name, sums) in [("steward", &report.steward_usage), ("attendant", &report.attendant_usage)] {
            let sum = |pick: fn(&UsageSum) -> f64| sums.iter().map(|(_, sum)| pick(sum)).sum::<f64>();
            let mut order = sums.clone();
            order.sort_by(|(_, a), (_, b)| b.processor.total_cmp(&a.processor));
            let all = sum(|sum| sum.processor);
            let most: Vec<String> = order
                .iter()
                .take(3)
                .map(|(cause, sum)| format!("{} {:.0}%", cause.label(), 100.0 * sum.processor / all))
                .collect();
            let _ = writeln!(
                text,
                "| {name} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {} |",
                report.nodes,
                sum(|sum| sum.messages),
                sum(|sum| sum.bytes) / 1e3,
                sum(|sum| sum.wakes),
                all / 1e6,
                most.join(", ")
            );
        }
    }
    type Pick = fn(&Report) -> f64;
    let limits: [(&str, Pick); 6] = [
        ("processor, in the mean", |r| r.processor.mean),
        ("processor, in the worst second", |r| r.processor.peak),
        ("link out, in the mean", |r| r.link_out.mean),
        ("link out, in the worst second", |r| r.link_out.peak),
        ("link in, in the mean", |r| r.link_in.mean),
        ("link in, in the worst second", |r| r.link_in.peak),
    ];
    let mut crossings: Vec<(f64, &str)> = limits
        .iter()
        .filter_map(|(name, pick)| {
            let points: Vec<(f64, f64)> = reports.iter().map(|r| (r.nodes as f64, pick(r))).collect();
            Some((find_limit_crossing(&points)?, *name))
        })
        .collect();
    crossings.sort_by(|a, b| a.0.total_cmp(&b.0));
    let last = reports.last().map_or(0, |report| report.nodes) as f64;
    text += "\nA steward's limits, the first to break first:\n";
    // Extrapolation beyond 4 times the largest size is unreliable.
    for (nodes, name) in crossings.into_iter().filter(|(nodes, _)| *nodes < 4.0 * last) {
        let beyond = if nodes > last { ", beyond the sizes played" } else { "" };
        let _ = writeln!(text, "- {name}: about {nodes:.0} nodes{beyond}");
    }
    text
}
