//! How an upstream does, by the outcomes of what it was sent and by nothing it says of itself. It owns what the door
//! beside it counts and the two coarse levels that the door's row tells of that. It must never call one ill by a health
//! answer, nor by what others have concluded: each door tells what it saw itself.
//!
//! A gate of many sees few reqs of each upstream, the door beside it sees all. Levels are coarse, so that rows seldom
//! change. What fails for one member of a federation, for calls or for large answers, while the upstream does well by
//! others, is not its fault.

use std::collections::{BTreeMap, HashMap};

use ochreshed_catalog::configuration::Name;
use ochreshed_catalog::endpoints::UpstreamHealth;
use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// What one outcome counts in the part that fails, and in the time that runs take of late and for long.
const FAIL_PART: f64 = 1.0 / 16.0;
const LATE_PART: f64 = 1.0 / 24.0;
const LONG_PART: f64 = 1.0 / 400.0;
/// No connection tells more than an error: it counts as so many.
const NO_CONNECTION: u32 = 4;
/// The part that fails at which the first level begins; each further level begins at twice the one before.
const FIRST: f64 = 0.3;
const MOST_FAILS: u8 = 2;
/// Runs take so many times what they took for long at which the first and the second level begin.
const SLOW: [f64; 2] = [2.5, 5.0];
/// A level is left again below this part of where it begins.
const LEAVES: f64 = 0.6;
/// A run is overdue after so many times what runs took for long, and not before.
const OVERDUE: f64 = 7.0;
const OVERDUE_LEAST: Nanos = 100 * MS;
/// So many runs must have told how long they take before one is held against that.
const KNOWN: u32 = 30;
/// An upstream that is told to be ill and of which nothing failed for so long is tried again, a level better: it is sent too
/// few to show by their number that it does well. Twice as long, up to so many times, after each time that this was wrong.
const TRY_AGAIN: Nanos = 1_200 * MS;
const MOST_TRIES: u32 = 4;
/// So many runs in a row that did well tell as much as three times that time.
const TELL: u32 = 2;
/// A try was wrong where it is ill again so soon.
const RELAPSE: Nanos = 8_000 * MS;
/// A better level is told no sooner than this after the last one.
const BETTER: Nanos = 500 * MS;
/// How long outcomes make somebody count among those that an upstream may do well by, and how many it takes.
const FADE: f64 = 3.0;
const COUNTS: f64 = 6.0;
/// Sorts of which nothing was run of late are forgotten beyond so many.
const MOST_SORTS: usize = 64;

/// How a run at the upstream ended, as the door saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    Succeeded,
    /// An error, a reset, bytes that are no answer, or a refusal though it had a slot free.
    Failed,
    NoConnection,
    /// Nobody waits for it any more, or its time was over: tells nothing but what it took so far.
    Abandoned,
}

struct Run {
    since: Nanos,
    overdue: bool,
    sort: RequestClass,
}

/// Reqs of one kind, as far as a door can tell: their runs take about as long.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestClass {
    /// By whose route they came; none of the platform's.
    pub member: Option<Name>,
    /// Runs wait for them; their answers are large.
    pub call: bool,
    pub large: bool,
}

/// How the runs of one sort went.
#[derive(Default)]
struct ClassHistory {
    failing: f64,
    /// What a run takes of late and for long, and how many have told: on the mean of their logarithms, for reqs of one
    /// sort may still differ much in their work.
    late: f64,
    long: f64,
    told: u32,
    /// How many have ended of late, and when the last did.
    many: f64,
    heard: Nanos,
}

impl ClassHistory {
    fn failed(&mut self, now: Nanos, failed: bool) {
        self.failing += (f64::from(u8::from(failed)) - self.failing) * FAIL_PART;
        (self.many, self.heard) = (self.many(now) + 1.0, now);
    }

    fn many(&self, now: Nanos) -> f64 {
        self.many * (-(now.saturating_sub(self.heard) as f64 / 1e9) / FADE).exp()
    }

    /// Whether that was far more than for long.
    fn took(&mut self, took: Nanos) -> bool {
        let took = (took.max(1) as f64 / 1e9).ln();
        self.told = self.told.saturating_add(1);
        let learn = |mean: &mut f64, took: f64, part: f64| {
            *mean += (took - *mean) * part.max(1.0 / f64::from(self.told));
        };
        learn(&mut self.late, took, LATE_PART);
        // What is far above what runs took for long is held against that, and must not become it soon.
        let most = if self.told <= KNOWN { f64::MAX } else { self.long + 2f64.ln() };
        learn(&mut self.long, took.min(most), LONG_PART);
        took > self.long + SLOW[0].ln()
    }

    /// From when on a run that goes on for so long is overdue.
    fn overdue(&self) -> Option<Nanos> {
        (self.told >= KNOWN).then(|| ((self.long.exp() * OVERDUE * 1e9) as Nanos).max(OVERDUE_LEAST))
    }

    fn levels(&self, was: UpstreamHealth) -> UpstreamHealth {
        let ratio = if self.told >= KNOWN { (self.late - self.long).exp() } else { 1.0 };
        UpstreamHealth {
            failure_level: level(
                self.failing,
                was.failure_level,
                |at| FIRST * 2f64.powi(i32::from(at)),
                MOST_FAILS,
            ),
            latency_level: level(ratio, was.latency_level, |at| SLOW[usize::from(at)], SLOW.len() as u8),
        }
    }

    /// It was no worse than this; the next outcomes tell.
    fn at_most(&mut self, ill: UpstreamHealth) {
        self.failing = self.failing.min(FIRST * 2f64.powi(i32::from(ill.failure_level)) * LEAVES);
        let most = if ill.latency_level == 0 { 1.0 } else { SLOW[usize::from(ill.latency_level) - 1] };
        self.late = self.late.min(self.long + most.ln());
    }
}

/// What a door counts of the upstream beside it, in one life of that.
#[derive(Default)]
pub struct OutlierDetector {
    runs: BTreeMap<u64, Run>,
    next: u64,
    by: HashMap<RequestClass, ClassHistory>,
    ill: UpstreamHealth,
    changed: Nanos,
    /// When something failed last, and when it was tried again last; how many tries in a row were wrong.
    failed: Nanos,
    tried: Option<Nanos>,
    wrong: u32,
    /// How many have done well since the last failure.
    well: u32,
}

impl OutlierDetector {
    /// Another life of the upstream: nothing of the one before counts, nor do runs of it that are still out.
    pub fn reset(&mut self) {
        *self = OutlierDetector { next: self.next, ..OutlierDetector::default() };
    }

    /// A run of this sort begins at the upstream.
    pub fn begin(&mut self, now: Nanos, sort: RequestClass) -> u64 {
        self.next += 1;
        self.runs.insert(self.next, Run { since: now, overdue: false, sort });
        self.next
    }

    /// It has ended; what was counted as overdue is not counted as failed again.
    pub fn end(&mut self, now: Nanos, run: u64, ran: RunOutcome) {
        let Some(Run { since, overdue, sort }) = self.runs.remove(&run) else { return };
        if ran == RunOutcome::Abandoned {
            return;
        }
        match ran {
            RunOutcome::Succeeded => self.well = self.well.saturating_add(1),
            _ => (self.failed, self.well) = (now, 0),
        }
        let fares = self.fares(now, sort);
        match ran {
            RunOutcome::Failed if !overdue => fares.failed(now, true),
            RunOutcome::Succeeded if !overdue => fares.failed(now, false),
            _ => {}
        }
        if ran == RunOutcome::Succeeded && fares.took(now.saturating_sub(since)) {
            (self.failed, self.well) = (now, 0);
        }
        if ran == RunOutcome::NoConnection {
            // That is nobody's doing but the upstream's own.
            for fares in self.by.values_mut() {
                (0..NO_CONNECTION).for_each(|_| fares.failed(now, true));
            }
        }
    }

    fn fares(&mut self, now: Nanos, sort: RequestClass) -> &mut ClassHistory {
        if self.by.len() > MOST_SORTS {
            self.by.retain(|_, fares| fares.many(now) >= 1.0);
        }
        self.by.entry(sort).or_default()
    }

    /// What is to be told now; looks at runs that are out for too long.
    pub fn update(&mut self, now: Nanos) -> UpstreamHealth {
        let (by, mut late) = (&mut self.by, false);
        for run in self.runs.values_mut().filter(|run| !run.overdue) {
            let Some(fares) = by.get_mut(&run.sort) else { continue };
            if fares.overdue().is_some_and(|after| now.saturating_sub(run.since) > after) {
                run.overdue = true;
                late = true;
                fares.failed(now, true);
            }
        }
        if late {
            (self.failed, self.well) = (now, 0);
        }
        let was = self.ill;
        // As it does by those that it does best by, of all of whom enough is known; else by the one of whom most is.
        let enough = |fares: &&ClassHistory| fares.many(now) >= COUNTS;
        let best = |all: &mut dyn Iterator<Item = &ClassHistory>| {
            let levels = all.map(|fares| fares.levels(was));
            levels.reduce(|a, b| UpstreamHealth {
                failure_level: a.failure_level.min(b.failure_level),
                latency_level: a.latency_level.min(b.latency_level),
            })
        };
        let most = |fares: &&ClassHistory| (fares.many(now) * 1e6) as u64;
        let ill = best(&mut self.by.values().filter(enough));
        let mut ill =
            ill.or_else(|| Some(self.by.values().max_by_key(most)?.levels(was))).unwrap_or_default();
        let told = if self.well >= TELL { 1 } else { 3 };
        let waits = TRY_AGAIN * told * 2u64.pow(self.wrong.min(MOST_TRIES));
        let fails_no_more = now >= self.failed.max(self.changed) + waits;
        if !was.is_healthy() && fails_no_more {
            ill = UpstreamHealth {
                failure_level: was.failure_level.saturating_sub(1),
                latency_level: was.latency_level.saturating_sub(1),
            };
            self.by.values_mut().for_each(|fares| fares.at_most(ill));
            self.tried = Some(now);
        }
        let worse = ill.failure_level > was.failure_level || ill.latency_level > was.latency_level;
        if ill != was && (worse || now >= self.changed + BETTER) {
            if worse && let Some(tried) = self.tried.take() {
                self.wrong = if now < tried + RELAPSE { self.wrong + 1 } else { 0 };
            }
            (self.ill, self.changed, self.well) = (ill, now, 0);
        }
        self.ill
    }

    /// As it was told last.
    pub fn health(&self) -> UpstreamHealth {
        self.ill
    }
}

/// The level of a value: up where it reaches the next one's beginning, down only well below its own.
fn level(value: f64, was: u8, begins: impl Fn(u8) -> f64, most: u8) -> u8 {
    let up = (0..most).filter(|at| value >= begins(*at)).count() as u8;
    let stays = (0..was.min(most)).filter(|at| value >= begins(*at) * LEAVES).count() as u8;
    up.max(stays)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// One run of so many ms after another, each with its outcome.
    fn run(
        health: &mut OutlierDetector,
        now: &mut Nanos,
        took_ms: u64,
        outcomes: impl IntoIterator<Item = RunOutcome>,
    ) -> UpstreamHealth {
        for ran in outcomes {
            let id = health.begin(*now, RequestClass::default());
            *now += took_ms * MS;
            health.end(*now, id, ran);
            health.update(*now);
        }
        health.health()
    }

    fn well() -> (OutlierDetector, Nanos) {
        let (mut health, mut now) = (OutlierDetector::default(), MS);
        assert_eq!(run(&mut health, &mut now, 50, [RunOutcome::Succeeded; 100]), UpstreamHealth::default());
        (health, now)
    }

    #[test]
    fn half_that_fail_are_told_within_sixteen_runs_and_taken_back_by_steps() {
        let (mut health, mut now) = well();
        let half = [RunOutcome::Failed, RunOutcome::Succeeded].into_iter().cycle();
        assert_eq!(run(&mut health, &mut now, 50, half.take(16)).failure_level, 1);
        assert_eq!(run(&mut health, &mut now, 50, [RunOutcome::Failed; 20]).failure_level, 2);
        // Nothing more is sent there: a level better after each time without news, until it is sent some again.
        let mut levels = Vec::new();
        for _ in 0..3 {
            now += TRY_AGAIN * 3;
            levels.push(health.update(now).failure_level);
        }
        assert_eq!(levels, [1, 0, 0]);
        // It fails as before: told at once, and tried again later each time, also while a few do well there.
        let mut waits = Vec::new();
        for _ in 0..3 {
            assert!(run(&mut health, &mut now, 50, [RunOutcome::Failed; 9]).failure_level >= 1);
            let from = now;
            while health.health().failure_level >= 1 {
                run(&mut health, &mut now, 20, [RunOutcome::Succeeded]);
                now += TRY_AGAIN - 20 * MS;
            }
            waits.push((now - from) / TRY_AGAIN);
        }
        assert_eq!(waits, [3, 5, 9]);
        assert_eq!(run(&mut health, &mut now, 50, [RunOutcome::Succeeded; 60]), UpstreamHealth::default());
    }

    #[test]
    fn slow_runs_are_told_against_what_they_took_for_long() {
        let (mut health, mut now) = well();
        assert_eq!(
            run(&mut health, &mut now, 100, [RunOutcome::Succeeded; 60]).latency_level,
            0,
            "twice is no illness"
        );
        let (mut health, mut now) = well();
        assert_eq!(run(&mut health, &mut now, 230, [RunOutcome::Succeeded; 40]).latency_level, 1);
        assert_eq!(run(&mut health, &mut now, 600, [RunOutcome::Succeeded; 60]).latency_level, 2);
        assert_eq!(run(&mut health, &mut now, 50, [RunOutcome::Succeeded; 90]).latency_level, 0);
    }

    #[test]
    fn runs_that_hang_fail_before_they_end_and_only_once() {
        let (mut health, mut now) = well();
        let runs: Vec<u64> = (0..6).map(|_| health.begin(now, RequestClass::default())).collect();
        now += 400 * MS;
        let ill = health.update(now);
        assert!(ill.failure_level >= 1, "{ill:?}");
        let failing = health.by[&RequestClass::default()].failing;
        runs.into_iter().for_each(|run| health.end(now, run, RunOutcome::Failed));
        assert_eq!(health.by[&RequestClass::default()].failing, failing);
    }

    #[test]
    fn no_connection_tells_at_once() {
        let (mut health, mut now) = well();
        assert!(run(&mut health, &mut now, 1, [RunOutcome::NoConnection; 2]).failure_level >= 1);
    }

    /// Guards against the chance by which some runs of much work follow each other.
    #[test]
    fn runs_of_mixed_work_are_not_told_as_slow() {
        let (mut health, mut now) = well();
        for nth in 0..4_000_u64 {
            let took = if nth.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 62 == 0 { 200 } else { 20 };
            assert_eq!(run(&mut health, &mut now, took, [RunOutcome::Succeeded]).latency_level, 0, "{nth}");
        }
    }

    /// Guards against a member whose own reqs all fail, or take long, and that has an upstream taken from the others.
    #[test]
    fn what_fails_by_one_member_only_is_not_the_upstreams_fault() {
        let (mut health, mut now) = well();
        let norte = RequestClass { member: Some("norte".into()), ..RequestClass::default() };
        let mut both = |ran: RunOutcome, others: RunOutcome| {
            for _ in 0..60 {
                for (sort, ran) in [(&norte, ran), (&RequestClass::default(), others)] {
                    let id = health.begin(now, sort.clone());
                    now += 25 * MS;
                    health.end(now, id, ran);
                    health.update(now);
                }
            }
            health.health().failure_level
        };
        assert_eq!(both(RunOutcome::Failed, RunOutcome::Succeeded), 0);
        assert_eq!(both(RunOutcome::Failed, RunOutcome::Failed), 2);
        assert_eq!(both(RunOutcome::Succeeded, RunOutcome::Failed), 0);
    }

    proptest! {
        /// Whatever comes in whatever order, no run is kept for ever, and all well for long is told as well.
        #[test]
        fn it_heals(steps in prop::collection::vec((0u8..6, 0u64..400, 0u8..3), 0..200)) {
            let (mut health, mut now, mut open) = (OutlierDetector::default(), MS, Vec::new());
            let sort = |member: &str| RequestClass { member: Some(member.into()), ..RequestClass::default() };
            let sorts = [RequestClass::default(), sort("norte"), sort("sul")];
            for (what, ms, member) in steps {
                now += ms * MS;
                match what {
                    0 | 1 => open.push(health.begin(now, sorts[usize::from(member)].clone())),
                    _ => if let Some(run) = open.pop() {
                        let ran = [RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::NoConnection, RunOutcome::Abandoned][usize::from(what - 2)];
                        health.end(now, run, ran);
                    }
                }
                let ill = health.update(now);
                prop_assert!(ill.failure_level <= MOST_FAILS && usize::from(ill.latency_level) <= SLOW.len());
                prop_assert_eq!(health.runs.len(), open.len());
            }
            open.into_iter().for_each(|run| health.end(now, run, RunOutcome::Abandoned));
            for _ in 0..12 {
                now += TRY_AGAIN * 16;
                health.update(now);
            }
            prop_assert!(health.update(now).is_healthy());
        }
    }
}
