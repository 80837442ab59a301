//! The counters and gauges of the load balancer, and the text form in which operators read them. Recording on
//! the request path is an atomic operation without locks or iteration, and no decision depends on a metric.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering::Relaxed};

use ochreshed::Name;

/// Prefix of every metric name.
const PREFIX: &str = "app";

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Success,
    Overload,
    Error,
}

const OUTCOMES: [(RequestOutcome, &str); 3] = [
    (RequestOutcome::Success, "success"),
    (RequestOutcome::Overload, "overload"),
    (RequestOutcome::Error, "error"),
];

/// Finished requests of one rule set, counted by outcome.
struct OutcomeCounts {
    rule_set: Name,
    by_outcome: [AtomicU64; 3],
}

pub struct Metrics {
    outcomes: Vec<OutcomeCounts>,
    in_flight: AtomicUsize,
    dispatches: AtomicU64,
    listed_servers: AtomicUsize,
    excluded_servers: AtomicUsize,
}

impl Metrics {
    pub fn new(rule_sets: impl IntoIterator<Item = Name>) -> Arc<Metrics> {
        let outcomes =
            rule_sets.into_iter().map(|rule_set| OutcomeCounts { rule_set, by_outcome: Default::default() });
        Arc::new(Metrics {
            outcomes: outcomes.collect(),
            in_flight: AtomicUsize::new(0),
            dispatches: AtomicU64::new(0),
            listed_servers: AtomicUsize::new(0),
            excluded_servers: AtomicUsize::new(0),
        })
    }

    /// Starts a request whose body has been received; it ends when the returned value is dropped.
    #[cfg(test)]
    pub fn begin_request(self: &Arc<Metrics>, rule_set: &str) -> InFlightRequest {
        let request = self.track_request(rule_set);
        request.state.mark_received();
        request
    }

    /// Tracks a request whose last byte has not been received yet. It counts as in flight from then on.
    pub fn track_request(self: &Arc<Metrics>, rule_set: &str) -> InFlightRequest {
        let rule_set_index = self.outcomes.iter().position(|counts| &*counts.rule_set == rule_set);
        let state = InFlightState { metrics: self.clone(), phase: AtomicU8::new(RECEIVING) };
        InFlightRequest { state: Arc::new(state), rule_set_index, outcome: RequestOutcome::Error }
    }

    /// Counts a dispatch that has been written completely.
    pub fn count_dispatch(&self) {
        self.dispatches.fetch_add(1, Relaxed);
    }

    /// Sets how many servers are listed and how many of them are currently excluded.
    pub fn set_server_counts(&self, listed: usize, excluded: usize) {
        self.listed_servers.store(listed, Relaxed);
        self.excluded_servers.store(excluded, Relaxed);
    }

    /// Returns how many requests have ended, and how many of them without success.
    pub fn ended_and_failed(&self) -> (u64, u64) {
        let sum =
            |at: usize| self.outcomes.iter().map(|counts| counts.by_outcome[at].load(Relaxed)).sum::<u64>();
        let failed = sum(1) + sum(2);
        (sum(0) + failed, failed)
    }

    /// Renders one line per metric as `name:value|kind`, where the kind is `c` for a counter and `g` for a
    /// gauge. The additional metrics come last.
    pub fn render(&self, additional: &[(&str, u64, &str)]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: &str| {
            // Writing to a String does not fail.
            let _ = writeln!(text, "{PREFIX}.{name}:{value}|{kind}");
        };
        for counts in &self.outcomes {
            let rule_set = sanitize_name(&counts.rule_set);
            for ((_, outcome), count) in OUTCOMES.iter().zip(&counts.by_outcome) {
                line(&format!("replies.{rule_set}.{outcome}"), count.load(Relaxed), "c");
            }
        }
        line("dispatches", self.dispatches.load(Relaxed), "c");
        line("concurrent", self.in_flight.load(Relaxed) as u64, "g");
        line("targets", self.listed_servers.load(Relaxed) as u64, "g");
        line("targets_disabled", self.excluded_servers.load(Relaxed) as u64, "g");
        for (name, value, kind) in additional {
            line(name, *value, kind);
        }
        text
    }
}

/// Replaces the characters of a rule set's name that have a meaning in the text form: a name must not end a
/// line or a value.
fn sanitize_name(name: &str) -> String {
    let keep = |c: char| c.is_alphanumeric() || c == '-' || c == '_';
    name.chars().map(|c| if keep(c) { c } else { '_' }).collect()
}

const RECEIVING: u8 = 0;
const IN_FLIGHT: u8 = 1;
const FINISHED: u8 = 2;

/// Whether a request is still being received, in flight or finished.
pub struct InFlightState {
    metrics: Arc<Metrics>,
    phase: AtomicU8,
}

impl InFlightState {
    /// The state of a request that no metrics are kept for.
    pub fn untracked() -> Arc<InFlightState> {
        Arc::new(InFlightState { metrics: Metrics::new([]), phase: AtomicU8::new(RECEIVING) })
    }

    pub fn is_received(&self) -> bool {
        self.phase.load(Relaxed) != RECEIVING
    }

    /// Marks the request as received completely and counts it as in flight.
    pub fn mark_received(&self) {
        if self.phase.compare_exchange(RECEIVING, IN_FLIGHT, Relaxed, Relaxed).is_ok() {
            self.metrics.in_flight.fetch_add(1, Relaxed);
        }
    }
}

/// A request that counts as in flight once received. Dropping it records its outcome: an error unless one was
/// set, as when the client has disconnected.
pub struct InFlightRequest {
    state: Arc<InFlightState>,
    rule_set_index: Option<usize>,
    outcome: RequestOutcome,
}

impl InFlightRequest {
    pub fn state(&self) -> Arc<InFlightState> {
        self.state.clone()
    }

    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let metrics = &self.state.metrics;
        let rule_set = self.rule_set_index.and_then(|index| metrics.outcomes.get(index));
        let outcome = OUTCOMES.iter().position(|(outcome, _)| *outcome == self.outcome);
        if let Some(count) =
            rule_set.zip(outcome).and_then(|(counts, outcome)| counts.by_outcome.get(outcome))
        {
            count.fetch_add(1, Relaxed);
        }
        if self.state.phase.swap(FINISHED, Relaxed) == IN_FLIGHT {
            metrics.in_flight.fetch_sub(1, Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use expect_test::expect;
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn every_metric_is_listed_from_the_start_whatever_the_rule_set_is_named() {
        let metrics = Metrics::new(["pay".into(), "a.b:1|c\nx".into()]);
        drop(metrics.begin_request("pay"));
        let mut done = metrics.begin_request("pay");
        done.set_outcome(RequestOutcome::Success);
        drop(done);
        let _in_flight = metrics.begin_request("a.b:1|c\nx");
        metrics.count_dispatch();
        metrics.set_server_counts(5, 2);
        expect![[r#"
            app.replies.pay.success:1|c
            app.replies.pay.overload:0|c
            app.replies.pay.error:1|c
            app.replies.a_b_1_c_x.success:0|c
            app.replies.a_b_1_c_x.overload:0|c
            app.replies.a_b_1_c_x.error:0|c
            app.dispatches:1|c
            app.concurrent:1|g
            app.targets:5|g
            app.targets_disabled:2|g
        "#]]
        .assert_eq(&metrics.render(&[]));
    }

    proptest! {
        /// Guards against an outcome that is not counted, or counted twice.
        #[test]
        fn every_started_request_has_ended_or_is_in_flight(actions in prop::collection::vec((0..2usize, 0..6usize), 0..200)) {
            let names = ["a", "b"];
            let metrics = Metrics::new(names.map(Name::from));
            let (mut in_flight, mut started) = (Vec::new(), 0);
            for (set, action) in actions {
                match action {
                    0 | 1 => {
                        in_flight.push(metrics.begin_request(names[set]));
                        started += 1;
                    }
                    2 if !in_flight.is_empty() => drop(in_flight.swap_remove(set % in_flight.len())),
                    _ => if let Some(mut request) = in_flight.pop() {
                        request.set_outcome(OUTCOMES[action % 3].0);
                    },
                }
                let ended = |counts: &OutcomeCounts| counts.by_outcome.iter().map(|n| n.load(Relaxed)).sum::<u64>();
                let ended: u64 = metrics.outcomes.iter().map(ended).sum();
                prop_assert_eq!(started, ended + metrics.in_flight.load(Relaxed) as u64);
                prop_assert_eq!(metrics.in_flight.load(Relaxed), in_flight.len());
            }
            drop(in_flight);
            prop_assert_eq!(metrics.in_flight.load(Relaxed), 0);
        }
    }
}
