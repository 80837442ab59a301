//! What is told of a run: times until news are known at all gates, the work of one steward and one attendant by cause,
//! and a steward's load against its limits; over sizes, where a limit breaks. All of it is simulated.

use std::fmt::Write;

use serde::Serialize;

use super::audit::Audit;
use super::count::{Books, CAUSES, Cause, Sum};
use super::scenario::Scenario;
use super::watch::{Kind, Watch};

/// Seconds until all gates knew.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Curve {
    pub times: usize,
    /// Not known to all at the end.
    pub unheard: usize,
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

impl Curve {
    fn of(mut times: Vec<f64>, unheard: usize) -> Curve {
        times.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (times.len() as f64 * part).ceil() as usize;
            times.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Curve { times: times.len(), unheard, p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }

    fn text(&self) -> String {
        let unheard = if self.unheard > 0 { format!(" ({} open)", self.unheard) } else { String::new() };
        if self.times == 0 {
            return format!("-{unheard}");
        }
        format!("{:.2} {:.2} {:.2}{unheard}", self.p50, self.p99, self.max)
    }
}

/// The busiest steward's load, as a part of what it has: in the mean, and in the worst second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    pub mean: f64,
    pub worst: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub nodes: usize,
    pub stewards: usize,
    pub drain: Curve,
    pub dead: Curve,
    /// Of the dead, those that were back before all knew.
    pub returned: usize,
    pub configuration: Curve,
    /// Of claims: asked, granted, without an answer that counts; ms until granted.
    pub claims: [u64; 3],
    pub claim_ms: Curve,
    /// Of one of them, a second, by cause.
    pub steward: Vec<(Cause, Sum)>,
    pub attendant: Vec<(Cause, Sum)>,
    pub processor: Load,
    pub link_out: Load,
    pub link_in: Load,
    /// The longest that something waited for a steward's processor.
    pub wait_ms: f64,
    pub events: u64,
    /// Rows, grants and reads that were looked at, and what was broken.
    pub looked_at: [u64; 3],
    pub breaches: Vec<String>,
}

fn mean(books: &[Books], seconds: f64) -> Vec<(Cause, Sum)> {
    let each = books.len().max(1) as f64 * seconds;
    let of = |cause: Cause, pick: fn(&Sum) -> f64| {
        books.iter().map(|books| pick(&books.sums[cause as usize])).sum::<f64>() / each
    };
    let sum = |cause: Cause| Sum {
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
    (stewards, gates): (Vec<Books>, Vec<Books>),
    watch: &Watch,
    audit: &Audit,
    (claims, claim_ms): ([u64; 3], Vec<f64>),
    events: u64,
) -> Report {
    let curve =
        |kind: Kind| Curve::of(watch.done.get(&kind).cloned().unwrap_or_default(), watch.unheard(kind));
    let load = |which: usize, limit: f64| Load {
        mean: stewards.iter().map(|books| books.total[which]).fold(0.0, f64::max) / seconds / limit,
        worst: stewards.iter().map(|books| books.worst[which]).fold(0.0, f64::max) / limit,
    };
    let bytes = scenario.link.mbit * 1e6 / 8.0;
    Report {
        nodes: scenario.nodes,
        stewards: scenario.stewards,
        drain: curve(Kind::Drain),
        dead: curve(Kind::Dead),
        returned: watch.returned,
        configuration: curve(Kind::Configuration),
        claims,
        claim_ms: Curve::of(claim_ms, 0),
        steward: mean(&stewards, seconds),
        attendant: mean(&gates, seconds),
        processor: load(0, 1e9 * scenario.processor.steward_share),
        link_out: load(1, bytes),
        link_in: load(2, bytes),
        wait_ms: stewards.iter().map(|books| books.wait).max().unwrap_or(0) as f64 / 1e6,
        events,
        looked_at: audit.seen,
        breaches: audit.breaches.clone(),
    }
}

fn causes(text: &mut String, of: &str, sums: &[(Cause, Sum)]) {
    let _ = writeln!(
        text,
        "\n| {of}, a second | messages | bytes | wake-ups | processor, us |\n| --- | --- | --- | --- | --- |"
    );
    let mut sums = sums.to_vec();
    sums.sort_by(|(_, a), (_, b)| b.processor.total_cmp(&a.processor));
    let mut all = Sum::default();
    for (cause, sum) in &sums {
        let name = format!("{cause:?}").to_lowercase();
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
    let Sum { messages, bytes, wakes, processor } = all;
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
            [("drain", &self.drain), ("dead", &self.dead), ("configuration", &self.configuration)]
        {
            let _ = writeln!(text, "  {name}: {} of {}", curve.text(), curve.times);
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
                load.mean, load.worst
            );
        }
        let _ = writeln!(text, "longest wait for a steward's processor: {:.0} ms", self.wait_ms);
        causes(&mut text, "a steward", &self.steward);
        causes(&mut text, "an attendant", &self.attendant);
        let [rows, grants, reads] = self.looked_at;
        let _ = writeln!(
            text,
            "\nlooked at {rows} rows, {grants} grants, {reads} reads: {} broken",
            self.breaches.len()
        );
        self.breaches.iter().take(10).for_each(|breach| {
            let _ = writeln!(text, "BROKEN {breach}");
        });
        text
    }
}

/// Where a load reaches 1 between two sizes, or beyond the last one, on a straight line of both logarithms.
fn crosses(points: &[(f64, f64)]) -> Option<f64> {
    let pairs = points.windows(2).filter(|pair| pair[1].1 >= 1.0 && pair[0].1 < 1.0);
    let pair = pairs.chain(points.windows(2).last()).next()?;
    let [(n0, l0), (n1, l1)] = [pair[0], pair[1]];
    if points.first().is_some_and(|(_, load)| *load >= 1.0) {
        return points.first().map(|(nodes, _)| *nodes);
    }
    let slope = (l1 / l0).ln() / (n1 / n0).ln();
    (slope > 0.05 && l0 > 0.0).then(|| n0 * (-l0.ln() / slope).exp())
}

/// A table over sizes, and which limit breaks first.
pub fn sweep_text(reports: &[Report]) -> String {
    let mut text = String::from(
        "simulated; seconds until all gates know (p50 p99 max); loads of the busiest steward as parts of its limit, mean (worst second)\n\
         | nodes | drain | dead | configuration | processor | link out | link in | wait, ms | claim ms | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let load = |load: Load| format!("{:.3} ({:.3})", load.mean, load.worst);
    for report in reports {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.1} {:.1} | {} |",
            report.nodes,
            report.drain.text(),
            report.dead.text(),
            report.configuration.text(),
            load(report.processor),
            load(report.link_out),
            load(report.link_in),
            report.wait_ms,
            report.claim_ms.p50,
            report.claim_ms.p99,
            report.breaches.len()
        );
    }
    text += "\n| a second, one of them | nodes | messages | kB | wake-ups | processor, ms | most of it |\n| --- | --- | --- | --- | --- | --- | --- |\n";
    for report in reports {
        for (name, sums) in [("steward", &report.steward), ("attendant", &report.attendant)] {
            let sum = |pick: fn(&Sum) -> f64| sums.iter().map(|(_, sum)| pick(sum)).sum::<f64>();
            let mut order = sums.clone();
            order.sort_by(|(_, a), (_, b)| b.processor.total_cmp(&a.processor));
            let all = sum(|sum| sum.processor);
            let most: Vec<String> = order
                .iter()
                .take(3)
                .map(|(cause, sum)| {
                    format!("{} {:.0}%", format!("{cause:?}").to_lowercase(), 100.0 * sum.processor / all)
                })
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
        ("processor, in the worst second", |r| r.processor.worst),
        ("link out, in the mean", |r| r.link_out.mean),
        ("link out, in the worst second", |r| r.link_out.worst),
        ("link in, in the mean", |r| r.link_in.mean),
        ("link in, in the worst second", |r| r.link_in.worst),
    ];
    let mut breaks: Vec<(f64, &str)> = limits
        .iter()
        .filter_map(|(name, pick)| {
            let points: Vec<(f64, f64)> = reports.iter().map(|r| (r.nodes as f64, pick(r))).collect();
            Some((crosses(&points)?, *name))
        })
        .collect();
    breaks.sort_by(|a, b| a.0.total_cmp(&b.0));
    let last = reports.last().map_or(0, |report| report.nodes) as f64;
    text += "\nA steward's limits, the first to break first:\n";
    // What is far beyond the sizes played is no estimate any more.
    for (nodes, name) in breaks.into_iter().filter(|(nodes, _)| *nodes < 4.0 * last) {
        let beyond = if nodes > last { ", beyond the sizes played" } else { "" };
        let _ = writeln!(text, "- {name}: about {nodes:.0} nodes{beyond}");
    }
    text
}
