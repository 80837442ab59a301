//! What the budgets of repeats were used for. It owns a gate's counts over the budget's window, for each service, and a
//! steward's table of what gates report of themselves. It must never decide whether a req goes again: that is the
//! module's.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use ochreshed::{How, Name, Nanos};
use ochreshed_catalog::internal_rpc::CollectedReport;
use ochreshed_catalog::traffic_reports::{
    AttemptCounts, BudgetReport, MAX_EDITIONS, OutcomeCounts, RouteEdition,
};

const BUCKETS: u64 = 10;
/// The module holds its allowance over so long.
pub(crate) const MODULE: Nanos = 10_000_000_000;
/// A gate tells of no more services than these, those with the most sends again first.
pub const MOST_SERVICES: usize = 64;
const MOST_NAME: usize = 256;
/// Services and members of all gates together that a steward keeps.
const MOST_KEPT: usize = 200_000;

/// What can be summed up.
pub(crate) trait Sum: Copy + Default {
    fn and(self, other: Self) -> Self;
}

impl Sum for AttemptCounts {
    fn and(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts::and(self, other)
    }
}

/// Counts of the last buckets of time.
#[derive(Clone, Debug)]
pub(crate) struct Ring<T> {
    width: Nanos,
    buckets: [(u64, T); BUCKETS as usize],
}

impl<T: Sum> Ring<T> {
    pub(crate) fn over(span: Nanos) -> Ring<T> {
        Ring { width: (span / BUCKETS).max(1), buckets: [(0, T::default()); BUCKETS as usize] }
    }

    pub(crate) fn add(&mut self, now: Nanos, more: T) {
        let turn = now / self.width;
        if let Some((of, sum)) = self.buckets.get_mut((turn % BUCKETS) as usize) {
            *sum = if *of == turn { sum.and(more) } else { more };
            *of = turn;
        }
    }

    /// Adds what another one of the same width holds.
    pub(crate) fn merge(&mut self, other: &Ring<T>) {
        for ((of, sum), (turn, more)) in self.buckets.iter_mut().zip(&other.buckets) {
            if *of <= *turn {
                *sum = if *of == *turn { sum.and(*more) } else { *more };
                *of = *turn;
            }
        }
    }

    pub(crate) fn sum(&self, now: Nanos) -> T {
        let turn = now / self.width;
        let live = self.buckets.iter().filter(|(of, _)| of + BUCKETS > turn);
        live.fold(T::default(), |sum, (_, more)| sum.and(*more))
    }
}

/// What bounds the module's sends again of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    pub max_attempts: u32,
    /// Errors and time-outs are its own too.
    pub last_tier: bool,
    /// Allowed are this part of the first sends, and so many more.
    pub ratio: f64,
    pub floor: f64,
}

/// How one req has fared so far.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts {
    /// It may run more than once.
    pub repeatable: bool,
    pub ends: Nanos,
    sends: u32,
    ran: bool,
    last: Option<How>,
}

impl RequestAttempts {
    pub fn new(repeatable: bool, ends: Nanos) -> RequestAttempts {
        RequestAttempts { repeatable, ends, sends: 0, ran: false, last: None }
    }

    /// A dispatch has ended.
    pub fn ended(&mut self, how: How) {
        self.last = Some(how);
        // Guards against counting as sent what its door turned away.
        self.sends += u32::from(how != How::Turned);
        self.ran |= !how.never_ran();
    }
}

/// One service's counts at one gate.
#[derive(Clone, Debug)]
pub struct RetryAccount {
    terms: RetryLimits,
    told: Ring<AttemptCounts>,
    /// As the module counts, since it last learnt anew.
    pub(crate) module: Ring<AttemptCounts>,
}

impl RetryAccount {
    pub fn new(window: Nanos, terms: RetryLimits) -> RetryAccount {
        RetryAccount { terms, told: Ring::over(window), module: Ring::over(MODULE) }
    }

    /// For a module that begins anew: what was counted is still told.
    pub fn restart(&self, window: Nanos, terms: RetryLimits) -> RetryAccount {
        let mut spent = RetryAccount::new(window, terms);
        if self.told.width == spent.told.width {
            spent.told = self.told.clone();
        }
        spent
    }

    pub fn figures(&self, now: Nanos) -> AttemptCounts {
        self.told.sum(now)
    }

    fn add(&mut self, now: Nanos, figures: AttemptCounts) {
        self.told.add(now, figures);
        self.module.add(now, figures);
    }

    /// A call of a run that was sent again.
    pub fn nested_call_retried(&mut self, now: Nanos) {
        self.add(now, AttemptCounts { retried: 1, ..AttemptCounts::NONE });
    }

    /// What the module has counted since it last learnt anew.
    pub fn policy_counts(&self, now: Nanos) -> AttemptCounts {
        self.module.sum(now)
    }

    /// The module may send again otherwise from now on.
    pub fn allow(&mut self, part: f64, floor: f64) {
        (self.terms.ratio, self.terms.floor) = (part, floor);
    }

    /// A req goes on its way. What was counted for it.
    pub fn attempt_started(&mut self, now: Nanos, of: &RequestAttempts) -> AttemptCounts {
        let counted = match of.last {
            None => AttemptCounts { first: 1, ..AttemptCounts::NONE },
            Some(How::Turned) => return AttemptCounts::NONE,
            Some(_) => AttemptCounts { retried: 1, ..AttemptCounts::NONE },
        };
        self.add(now, counted);
        counted
    }

    /// The module gives a req up: counted where nothing but the allowance forbade to send it again.
    pub fn request_given_up(&mut self, now: Nanos, of: &RequestAttempts) -> AttemptCounts {
        let RetryLimits { max_attempts: tries, last_tier, ratio: part, floor } = self.terms;
        let ours = match of.last {
            Some(How::NoConnection | How::Reset | How::Full) => true,
            Some(How::Error | How::TimedOut) => last_tier,
            _ => false,
        };
        let could = ours && of.sends < tries && now < of.ends && (of.repeatable || !of.ran);
        let AttemptCounts { first, retried: again, .. } = self.module.sum(now);
        if could && f64::from(again) + 1.0 > f64::from(first) * part + floor {
            let refused = AttemptCounts { denied: 1, ..AttemptCounts::NONE };
            self.add(now, refused);
            return refused;
        }
        AttemptCounts::NONE
    }
}

/// What gates have reported to a steward. Whoever asks for all may merge it with another's: of two reports of one gate
/// the later one holds.
#[derive(Clone, Debug, Default)]
pub struct BudgetReports {
    /// With the time at which each was told.
    gates: HashMap<SocketAddr, (Nanos, BudgetReport)>,
    services: usize,
}

impl BudgetReports {
    /// Takes what a gate told so long ago.
    pub fn store(&mut self, now: Nanos, door: SocketAddr, mut report: BudgetReport, age: Nanos) {
        let at = now.saturating_sub(age);
        report.services.retain(|(name, _)| name.len() <= MOST_NAME);
        report.services.truncate(MOST_SERVICES);
        report.outcomes.retain(|(of, _)| of.member.len() <= MOST_NAME);
        report.outcomes.truncate(MAX_EDITIONS);
        let before = self.gates.get(&door);
        let had = before.map_or(0, |(_, told)| told.entry_count());
        let more = report.entry_count();
        let full = self.services - had + more > MOST_KEPT || self.gates.len() >= MOST_KEPT;
        if full || before.is_some_and(|(told, _)| *told > at) {
            return;
        }
        self.services = self.services - had + more;
        self.gates.insert(door, (at, report));
    }

    /// All reports with their ages.
    pub fn collect(&self, now: Nanos) -> Vec<CollectedReport> {
        let age_ms = |at: &Nanos| (now.saturating_sub(*at) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        let collected = |(door, (at, report)): (&SocketAddr, &(Nanos, BudgetReport))| CollectedReport {
            inbound_proxy: *door,
            age_ms: age_ms(at),
            report: report.clone(),
        };
        self.gates.iter().map(collected).collect()
    }

    /// Forgets the gates that are not known any more.
    pub fn retain(&mut self, known: impl Fn(SocketAddr) -> bool) {
        self.gates.retain(|door, _| known(*door));
        self.services = self.gates.values().map(|(_, report)| report.entry_count()).sum();
    }

    pub fn report(&self, door: SocketAddr) -> Option<&BudgetReport> {
        self.gates.get(&door).map(|(_, report)| report)
    }

    /// The sums by service of the gates that count, and how many those are.
    pub fn sum(&self, counts: impl Fn(SocketAddr) -> bool) -> (BTreeMap<Name, AttemptCounts>, usize) {
        let mut sums: BTreeMap<Name, AttemptCounts> = BTreeMap::new();
        let mut gates = 0;
        for (_, (_, report)) in self.gates.iter().filter(|(door, _)| counts(**door)) {
            gates += 1;
            for (name, figures) in &report.services {
                let sum = sums.entry(name.clone()).or_default();
                *sum = sum.and(*figures);
            }
        }
        (sums, gates)
    }

    /// How members' reqs fared at the gates that count, by the edition that was in force there.
    pub fn members(&self, counts: impl Fn(SocketAddr) -> bool) -> BTreeMap<RouteEdition, OutcomeCounts> {
        let mut sums: BTreeMap<RouteEdition, OutcomeCounts> = BTreeMap::new();
        for (_, (_, report)) in self.gates.iter().filter(|(door, _)| counts(**door)) {
            for (of, fared) in &report.outcomes {
                let sum = sums.entry(of.clone()).or_default();
                *sum = sum.and(*fared);
            }
        }
        sums
    }
}
