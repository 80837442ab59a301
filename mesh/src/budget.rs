//! What the budgets of repeats were used for. It owns a gate's counts over the budget's window, for each service, and a
//! steward's table of what gates report of themselves. It must never decide whether a req goes again: that is the
//! module's.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use ochreshed::{How, Name, Nanos};
use serde::{Deserialize, Serialize};

const BUCKETS: u64 = 10;
/// The module holds its allowance over so long.
const MODULE: Nanos = 10_000_000_000;
/// A gate tells of no more services than these, those with the most sends again first.
pub const MOST_SERVICES: usize = 64;
const MOST_NAME: usize = 256;
/// Services of all gates together that a steward keeps.
const MOST_KEPT: usize = 200_000;

/// Of one service, in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct Figures {
    pub first: u32,
    /// Sent again, and calls of runs that were sent again.
    pub again: u32,
    /// Not sent again for want of allowance.
    pub refused: u32,
}

impl From<(u32, u32, u32)> for Figures {
    fn from((first, again, refused): (u32, u32, u32)) -> Figures {
        Figures { first, again, refused }
    }
}

impl From<Figures> for (u32, u32, u32) {
    fn from(of: Figures) -> (u32, u32, u32) {
        (of.first, of.again, of.refused)
    }
}

impl Figures {
    const NONE: Figures = Figures { first: 0, again: 0, refused: 0 };

    pub fn and(self, other: Figures) -> Figures {
        Figures {
            first: self.first.saturating_add(other.first),
            again: self.again.saturating_add(other.again),
            refused: self.refused.saturating_add(other.refused),
        }
    }
}

/// A gate's services by name.
pub type Spending = Vec<(Name, Figures)>;

/// What a gate tells of itself, for operators to look at.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Spending, Option<u32>)", into = "(Spending, Option<u32>)")]
pub struct Report {
    pub spending: Spending,
    /// From the start of its process to full service, in ms.
    pub full_ms: Option<u32>,
}

impl From<(Spending, Option<u32>)> for Report {
    fn from((spending, full_ms): (Spending, Option<u32>)) -> Report {
        Report { spending, full_ms }
    }
}

impl From<Report> for (Spending, Option<u32>) {
    fn from(of: Report) -> (Spending, Option<u32>) {
        (of.spending, of.full_ms)
    }
}

/// Counts of the last buckets of time.
#[derive(Clone, Debug)]
struct Ring {
    width: Nanos,
    buckets: [(u64, Figures); BUCKETS as usize],
}

impl Ring {
    fn over(span: Nanos) -> Ring {
        Ring { width: (span / BUCKETS).max(1), buckets: [(0, Figures::NONE); BUCKETS as usize] }
    }

    fn add(&mut self, now: Nanos, figures: Figures) {
        let turn = now / self.width;
        if let Some((of, sum)) = self.buckets.get_mut((turn % BUCKETS) as usize) {
            *sum = if *of == turn { sum.and(figures) } else { figures };
            *of = turn;
        }
    }

    fn sum(&self, now: Nanos) -> Figures {
        let turn = now / self.width;
        let live = self.buckets.iter().filter(|(of, _)| of + BUCKETS > turn);
        live.fold(Figures::NONE, |sum, (_, figures)| sum.and(*figures))
    }
}

/// What bounds the module's sends again of one service.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub tries: u32,
    /// Errors and time-outs are its own too.
    pub last_tier: bool,
    /// Allowed are this part of the first sends, and so many more.
    pub part: f64,
    pub floor: f64,
}

/// How one req has fared so far.
#[derive(Clone, Copy, Debug)]
pub struct Tally {
    /// It may run more than once.
    pub repeatable: bool,
    pub ends: Nanos,
    sends: u32,
    ran: bool,
    last: Option<How>,
}

impl Tally {
    pub fn new(repeatable: bool, ends: Nanos) -> Tally {
        Tally { repeatable, ends, sends: 0, ran: false, last: None }
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
pub struct Spent {
    terms: Terms,
    told: Ring,
    /// As the module counts, since it last learnt anew.
    module: Ring,
}

impl Spent {
    pub fn new(window: Nanos, terms: Terms) -> Spent {
        Spent { terms, told: Ring::over(window), module: Ring::over(MODULE) }
    }

    /// For a module that begins anew: what was counted is still told.
    pub fn anew(&self, window: Nanos, terms: Terms) -> Spent {
        let mut spent = Spent::new(window, terms);
        if self.told.width == spent.told.width {
            spent.told = self.told.clone();
        }
        spent
    }

    pub fn figures(&self, now: Nanos) -> Figures {
        self.told.sum(now)
    }

    fn add(&mut self, now: Nanos, figures: Figures) {
        self.told.add(now, figures);
        self.module.add(now, figures);
    }

    /// A call of a run that was sent again.
    pub fn called_again(&mut self, now: Nanos) {
        self.add(now, Figures { again: 1, ..Figures::NONE });
    }

    /// A req goes on its way.
    pub fn goes(&mut self, now: Nanos, of: &Tally) {
        match of.last {
            None => self.add(now, Figures { first: 1, ..Figures::NONE }),
            Some(How::Turned) => {}
            Some(_) => self.add(now, Figures { again: 1, ..Figures::NONE }),
        }
    }

    /// The module gives a req up: counted where nothing but the allowance forbade to send it again.
    pub fn given_up(&mut self, now: Nanos, of: &Tally) {
        let Terms { tries, last_tier, part, floor } = self.terms;
        let ours = match of.last {
            Some(How::NoConnection | How::Reset | How::Full) => true,
            Some(How::Error | How::TimedOut) => last_tier,
            _ => false,
        };
        let could = ours && of.sends < tries && now < of.ends && (of.repeatable || !of.ran);
        let Figures { first, again, .. } = self.module.sum(now);
        if could && f64::from(again) + 1.0 > f64::from(first) * part + floor {
            self.add(now, Figures { refused: 1, ..Figures::NONE });
        }
    }
}

/// What gates have reported to a steward. Whoever asks for all may merge it with another's: of two reports of one gate
/// the later one holds.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// With the time at which each was told.
    gates: HashMap<SocketAddr, (Nanos, Report)>,
    services: usize,
}

impl Reports {
    /// Takes what a gate told so long ago.
    pub fn take(&mut self, now: Nanos, door: SocketAddr, mut report: Report, age: Nanos) {
        let at = now.saturating_sub(age);
        report.spending.retain(|(name, _)| name.len() <= MOST_NAME);
        report.spending.truncate(MOST_SERVICES);
        let before = self.gates.get(&door);
        let had = before.map_or(0, |(_, told)| told.spending.len());
        let more = report.spending.len();
        let full = self.services - had + more > MOST_KEPT || self.gates.len() >= MOST_KEPT;
        if full || before.is_some_and(|(told, _)| *told > at) {
            return;
        }
        self.services = self.services - had + more;
        self.gates.insert(door, (at, report));
    }

    /// All of them, with the ms since each was told.
    pub fn tell(&self, now: Nanos) -> Vec<(SocketAddr, u32, Report)> {
        let age = |at: &Nanos| (now.saturating_sub(*at) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        self.gates.iter().map(|(door, (at, report))| (*door, age(at), report.clone())).collect()
    }

    /// Forgets the gates that are not known any more.
    pub fn keep(&mut self, known: impl Fn(SocketAddr) -> bool) {
        self.gates.retain(|door, _| known(*door));
        self.services = self.gates.values().map(|(_, report)| report.spending.len()).sum();
    }

    pub fn of(&self, door: SocketAddr) -> Option<&Report> {
        self.gates.get(&door).map(|(_, report)| report)
    }

    /// The sums by service of the gates that count, and how many those are.
    pub fn sum(&self, counts: impl Fn(SocketAddr) -> bool) -> (BTreeMap<Name, Figures>, usize) {
        let mut sums: BTreeMap<Name, Figures> = BTreeMap::new();
        let mut gates = 0;
        for (_, (_, report)) in self.gates.iter().filter(|(door, _)| counts(**door)) {
            gates += 1;
            for (name, figures) in &report.spending {
                let sum = sums.entry(name.clone()).or_default();
                *sum = sum.and(*figures);
            }
        }
        (sums, gates)
    }
}
