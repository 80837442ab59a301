//! Passive health checking: an inbound proxy derives the health of its upstream from the outcomes of requests.
//!
//! Each outbound proxy sees only a few requests to an upstream, but the inbound proxy sees all of them. It reports the
//! start and end of each run to [`OutlierDetector`] and publishes the [`UpstreamHealth`] in its endpoint record. The
//! levels are coarse, so that records rarely change. Outcomes are evaluated per [`RequestClass`]: failures of only one
//! member's requests, of nested calls or of large responses, while others succeed, are not attributed to the upstream.
//!
//! Invariants: active health checks and the findings of other proxies do not count; an upstream without requests
//! eventually becomes healthy again.

use std::collections::{BTreeMap, HashMap};

use ochreshed_catalog::configuration::Name;
use ochreshed_catalog::endpoints::UpstreamHealth;
use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// The weight of one outcome in the moving average of failures.
const FAILURE_RATE_GAIN: f64 = 1.0 / 16.0;
/// The weight of one run in the moving average of recent latency.
const RECENT_LATENCY_GAIN: f64 = 1.0 / 24.0;
/// The weight of one run in the moving average of long-term latency.
const BASELINE_LATENCY_GAIN: f64 = 1.0 / 400.0;
/// The number of failures that a refused connection counts as, since it is stronger evidence than an error response.
const CONNECT_FAILURE_WEIGHT: u32 = 4;
/// The failure rate at which the first level begins; the threshold doubles with each further level.
const FIRST_FAILURE_THRESHOLD: f64 = 0.3;
/// The highest failure level.
#[doc(hidden)]
pub const MAX_FAILURE_LEVEL: u8 = 2;
/// The ratios of recent to long-term latency at which the first and the second level begin.
#[doc(hidden)]
pub const LATENCY_THRESHOLDS: [f64; 2] = [2.5, 5.0];
/// A level ends when the value falls below this fraction of its threshold.
const HYSTERESIS: f64 = 0.6;
/// A run is overdue when it has taken this multiple of the long-term latency.
const OVERDUE_FACTOR: f64 = 7.0;
/// The minimum time after which a run is overdue.
const MIN_OVERDUE: Nanos = 100 * MS;
/// The minimum number of runs before latencies are compared with the long-term latency.
const MIN_LATENCY_SAMPLES: u32 = 30;
/// The time without a failure after which the levels of an unhealthy upstream are lowered by one. It then gets more
/// requests, as the few that an unhealthy upstream gets are not enough to show that it has recovered.
#[doc(hidden)]
pub const PROBATION_INTERVAL: Nanos = 1_200 * MS;
/// The maximum number of doublings of the interval, one for each consecutive probation that ended in a relapse.
const MAX_PROBATION_DOUBLINGS: u32 = 4;
/// The factor on the interval while fewer than [`PROBATION_SUCCESSES`] runs have succeeded since the last failure.
const UNPROVEN_PROBATION_FACTOR: u64 = 3;
const PROBATION_SUCCESSES: u32 = 2;
/// An upstream whose health worsens within this time after the start of a probation has relapsed.
const RELAPSE_WINDOW: Nanos = 8_000 * MS;
/// The minimum time between a change of the levels and an improvement.
const MIN_IMPROVEMENT_INTERVAL: Nanos = 500 * MS;
/// The time constant of the exponential decay of the activity of a class, in seconds.
const ACTIVITY_DECAY_S: f64 = 3.0;
/// The minimum activity, in runs, at which a class is evidence of the health of the upstream.
const MIN_ACTIVITY: f64 = 6.0;
/// Above this number of classes, classes without recent runs are dropped.
const MAX_CLASSES: usize = 64;

/// The outcome of a run at the upstream, as seen by the inbound proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The upstream answered successfully.
    Succeeded,
    /// The upstream answered with an error or with bytes that are no response, reset the connection, or rejected the
    /// request though it was below its concurrency limit.
    Failed,
    /// The upstream refused the connection.
    NoConnection,
    /// The client disconnected or the deadline passed; the outcome does not count.
    Abandoned,
}

/// A class of requests with similar latency.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestClass {
    /// The member whose route the requests use; `None` for the platform's own routes.
    pub member: Option<Name>,
    /// Whether the requests are nested calls, for which other requests wait.
    pub is_nested: bool,
    /// Whether the responses are large.
    pub is_large: bool,
}

struct Run {
    started_at: Nanos,
    /// Whether the run has been counted as a failure because it is overdue.
    is_overdue: bool,
    class: RequestClass,
}

/// The outcomes of the runs of one class.
#[derive(Default)]
struct ClassHistory {
    failure_rate: f64,
    /// The mean logarithm of recent latencies, in seconds. The logarithm makes requests of different cost comparable.
    recent_latency: f64,
    /// The mean logarithm of long-term latencies, in seconds.
    baseline_latency: f64,
    latency_samples: u32,
    /// The exponentially decayed number of ended runs, as of the last one.
    activity: f64,
    last_run_at: Nanos,
}

impl ClassHistory {
    fn add_outcome(&mut self, now: Nanos, failed: bool) {
        self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) * FAILURE_RATE_GAIN;
        self.activity = self.activity_at(now) + 1.0;
        self.last_run_at = now;
    }

    fn activity_at(&self, now: Nanos) -> f64 {
        let seconds = now.saturating_sub(self.last_run_at) as f64 / 1e9;
        self.activity * (-seconds / ACTIVITY_DECAY_S).exp()
    }

    /// Adds a latency. Returns whether it is above the first threshold over the long-term latency.
    fn add_latency(&mut self, latency: Nanos) -> bool {
        let latency = (latency.max(1) as f64 / 1e9).ln();
        self.latency_samples = self.latency_samples.saturating_add(1);
        let samples = f64::from(self.latency_samples);
        let update_mean = |mean: &mut f64, latency: f64, gain: f64| {
            *mean += (latency - *mean) * gain.max(1.0 / samples);
        };
        update_mean(&mut self.recent_latency, latency, RECENT_LATENCY_GAIN);
        // High latencies are capped, so that they do not soon become the baseline with which they are compared.
        let is_known = self.latency_samples > MIN_LATENCY_SAMPLES;
        let max_latency = if is_known { self.baseline_latency + 2f64.ln() } else { f64::MAX };
        update_mean(&mut self.baseline_latency, latency.min(max_latency), BASELINE_LATENCY_GAIN);
        latency > self.baseline_latency + LATENCY_THRESHOLDS[0].ln()
    }

    fn has_known_latency(&self) -> bool {
        self.latency_samples >= MIN_LATENCY_SAMPLES
    }

    /// The duration after which a run is overdue; `None` until the long-term latency is known.
    fn overdue_after(&self) -> Option<Nanos> {
        let overdue_after = (self.baseline_latency.exp() * OVERDUE_FACTOR * 1e9) as Nanos;
        self.has_known_latency().then(|| overdue_after.max(MIN_OVERDUE))
    }

    /// The health according to this class, given the `current` health.
    fn health(&self, current: UpstreamHealth) -> UpstreamHealth {
        let latency_ratio =
            if self.has_known_latency() { (self.recent_latency - self.baseline_latency).exp() } else { 1.0 };
        UpstreamHealth {
            failure_level: level(
                self.failure_rate,
                current.failure_level,
                failure_threshold,
                MAX_FAILURE_LEVEL,
            ),
            latency_level: level(
                latency_ratio,
                current.latency_level,
                |level| LATENCY_THRESHOLDS[usize::from(level)],
                LATENCY_THRESHOLDS.len() as u8,
            ),
        }
    }

    /// Lowers the averages to what corresponds to this health, so that the next outcomes decide.
    fn cap(&mut self, health: UpstreamHealth) {
        self.failure_rate = self.failure_rate.min(failure_threshold(health.failure_level) * HYSTERESIS);
        let max_ratio = match health.latency_level {
            0 => 1.0,
            level => LATENCY_THRESHOLDS[usize::from(level) - 1],
        };
        self.recent_latency = self.recent_latency.min(self.baseline_latency + max_ratio.ln());
    }
}

/// The failure rate at which the next level begins.
fn failure_threshold(level: u8) -> f64 {
    FIRST_FAILURE_THRESHOLD * 2f64.powi(i32::from(level))
}

/// The level of a value, with hysteresis: it rises at the threshold of the next level and falls only well below its
/// own.
fn level(value: f64, current: u8, threshold: impl Fn(u8) -> f64, max_level: u8) -> u8 {
    let reached = (0..max_level).filter(|level| value >= threshold(*level)).count() as u8;
    let retained =
        (0..current.min(max_level)).filter(|level| value >= threshold(*level) * HYSTERESIS).count() as u8;
    reached.max(retained)
}

fn better_of(left: UpstreamHealth, right: UpstreamHealth) -> UpstreamHealth {
    UpstreamHealth {
        failure_level: left.failure_level.min(right.failure_level),
        latency_level: left.latency_level.min(right.latency_level),
    }
}

fn is_worse(left: UpstreamHealth, right: UpstreamHealth) -> bool {
    left.failure_level > right.failure_level || left.latency_level > right.latency_level
}

/// Evaluates the health of one upstream from the start of its process.
#[derive(Default)]
pub struct OutlierDetector {
    runs: BTreeMap<u64, Run>,
    last_run_id: u64,
    classes: HashMap<RequestClass, ClassHistory>,
    health: UpstreamHealth,
    health_changed_at: Nanos,
    last_failure_at: Nanos,
    /// When the last probation began; `None` once the levels have risen since.
    probation_at: Option<Nanos>,
    /// The number of consecutive probations that ended in a relapse.
    relapses: u32,
    /// The number of successful runs since the last failure or change of the levels.
    successes: u32,
}

impl OutlierDetector {
    /// Discards all runs and outcomes because the upstream's process was replaced.
    pub fn reset(&mut self) {
        *self = OutlierDetector { last_run_id: self.last_run_id, ..OutlierDetector::default() };
    }

    /// Records the start of a run. Returns its id for [`OutlierDetector::end_run`].
    pub fn start_run(&mut self, now: Nanos, class: RequestClass) -> u64 {
        self.last_run_id += 1;
        self.runs.insert(self.last_run_id, Run { started_at: now, is_overdue: false, class });
        self.last_run_id
    }

    /// Records the end of a run. A run that was counted as overdue is not counted as failed again.
    pub fn end_run(&mut self, now: Nanos, run_id: u64, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(&run_id) else { return };
        let failed = match outcome {
            RunOutcome::Abandoned => return,
            RunOutcome::Succeeded => false,
            RunOutcome::Failed | RunOutcome::NoConnection => true,
        };
        if failed {
            self.record_failure(now);
        } else {
            self.successes = self.successes.saturating_add(1);
        }
        let history = self.history(now, run.class);
        if outcome != RunOutcome::NoConnection && !run.is_overdue {
            history.add_outcome(now, failed);
        }
        if outcome == RunOutcome::Succeeded && history.add_latency(now.saturating_sub(run.started_at)) {
            self.record_failure(now);
        }
        if outcome == RunOutcome::NoConnection {
            self.add_connect_failure(now);
        }
    }

    fn record_failure(&mut self, now: Nanos) {
        self.last_failure_at = now;
        self.successes = 0;
    }

    /// Counts a refused connection for all classes, since it does not depend on the request.
    fn add_connect_failure(&mut self, now: Nanos) {
        for history in self.classes.values_mut() {
            for _ in 0..CONNECT_FAILURE_WEIGHT {
                history.add_outcome(now, true);
            }
        }
    }

    fn history(&mut self, now: Nanos, class: RequestClass) -> &mut ClassHistory {
        if self.classes.len() > MAX_CLASSES {
            self.classes.retain(|_, history| history.activity_at(now) >= 1.0);
        }
        self.classes.entry(class).or_default()
    }

    /// Counts the runs that have become overdue, updates the health and returns it.
    pub fn update(&mut self, now: Nanos) -> UpstreamHealth {
        self.count_overdue_runs(now);
        let mut observed = self.observed_health(now);
        if !self.health.is_healthy() && now >= self.probation_due_at() {
            observed = self.begin_probation(now);
        }
        let is_worse = is_worse(observed, self.health);
        let may_improve = now >= self.health_changed_at + MIN_IMPROVEMENT_INTERVAL;
        if observed != self.health && (is_worse || may_improve) {
            if is_worse {
                self.end_probation(now);
            }
            self.health = observed;
            self.health_changed_at = now;
            self.successes = 0;
        }
        self.health
    }

    fn count_overdue_runs(&mut self, now: Nanos) {
        let mut any_overdue = false;
        for run in self.runs.values_mut().filter(|run| !run.is_overdue) {
            let Some(history) = self.classes.get_mut(&run.class) else { continue };
            let age = now.saturating_sub(run.started_at);
            if history.overdue_after().is_some_and(|overdue_after| age > overdue_after) {
                run.is_overdue = true;
                any_overdue = true;
                history.add_outcome(now, true);
            }
        }
        if any_overdue {
            self.record_failure(now);
        }
    }

    /// The best health according to any class with enough activity; if there is none, that of the most active class.
    fn observed_health(&self, now: Nanos) -> UpstreamHealth {
        let active = self.classes.values().filter(|history| history.activity_at(now) >= MIN_ACTIVITY);
        if let Some(best) = active.map(|history| history.health(self.health)).reduce(better_of) {
            return best;
        }
        let micro_activity = |history: &&ClassHistory| (history.activity_at(now) * 1e6) as u64;
        let most_active = self.classes.values().max_by_key(micro_activity);
        most_active.map(|history| history.health(self.health)).unwrap_or_default()
    }

    fn probation_due_at(&self) -> Nanos {
        let factor = if self.successes >= PROBATION_SUCCESSES { 1 } else { UNPROVEN_PROBATION_FACTOR };
        let doublings = self.relapses.min(MAX_PROBATION_DOUBLINGS);
        let interval = PROBATION_INTERVAL * factor * 2u64.pow(doublings);
        self.last_failure_at.max(self.health_changed_at) + interval
    }

    /// Begins a probation: lowers both levels by one. Returns the new health.
    fn begin_probation(&mut self, now: Nanos) -> UpstreamHealth {
        let health = UpstreamHealth {
            failure_level: self.health.failure_level.saturating_sub(1),
            latency_level: self.health.latency_level.saturating_sub(1),
        };
        self.classes.values_mut().for_each(|history| history.cap(health));
        self.probation_at = Some(now);
        health
    }

    /// Ends the probation when the health worsens, and records whether this is a relapse.
    fn end_probation(&mut self, now: Nanos) {
        if let Some(probation_at) = self.probation_at.take() {
            let has_relapsed = now < probation_at + RELAPSE_WINDOW;
            self.relapses = if has_relapsed { self.relapses + 1 } else { 0 };
        }
    }

    /// The health as of the last update.
    pub fn health(&self) -> UpstreamHealth {
        self.health
    }

    /// The number of runs that have not ended. For tests.
    #[doc(hidden)]
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// The failure rate of a class, from 0 to 1; `None` if the class is unknown. For tests.
    #[doc(hidden)]
    pub fn failure_rate(&self, class: &RequestClass) -> Option<f64> {
        self.classes.get(class).map(|history| history.failure_rate)
    }
}
