//! The module against the one it replaced, on seeded random days. Among few srvs each decision must be the same.
//! Among more than 32, turns differ in their order by design, so the old one is told which srv was picked: both then
//! stay in one state, and everything else must be the same: that the srv is one it would have picked among, denies,
//! aborts, holds, what is set aside, recalled and closed. Cold srvs' budgets are reckoned at other moments;
//! `scale.rs` bounds them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

#[path = "../src/measure.rs"]
mod measure;
mod plain {
    pub use ochreshed::plain::*;
}
#[path = "reference/decide.rs"]
mod reference;

mod helper;
use helper::{MS, facts};
use measure::Chance;

/// What a day is drawn from.
#[derive(Clone, Debug)]
struct Day {
    seed: u64,
    srvs: u64,
    sites: u64,
    instances: u64,
    tier: u64,
    /// Reqs a second, and what a req takes without load, in ms.
    rate: u64,
    work: u64,
    /// Parts in a hundred: of srvs that are slow, of dispatches that fail.
    slow: u64,
    failing: u64,
    reports: bool,
}

struct World {
    now: Nanos,
    new: Balancer,
    old: reference::Balancer,
    reqs: BTreeMap<u64, (Req, Req)>,
    /// When dispatches end, and how.
    ends: BTreeSet<(Nanos, u64, usize)>,
    hows: BTreeMap<(u64, usize), How>,
    asked: BTreeSet<(Nanos, u64)>,
    list: BTreeMap<Name, Listed>,
    chance: Chance,
    day: Day,
    id: u64,
    sent: usize,
    differences: Vec<String>,
    /// Reqs called up by one of both a moment before the other, where levels come to whole numbers and the order in
    /// which they are summed up decides.
    early: usize,
}

impl World {
    fn new(day: &Day) -> World {
        let mut facts = facts(day.tier as f64, day.instances as f64);
        facts.insert("me".into(), Value::Number((day.seed % day.instances) as f64));
        if day.reports {
            facts.insert("report_in_flight".into(), Value::Number(0.0));
        }
        let now = 1_000_000 * MS;
        let mut world = World {
            now,
            new: Balancer::new(now, day.seed, facts.clone()),
            old: reference::Balancer::new(now, day.seed, facts),
            reqs: BTreeMap::new(),
            ends: BTreeSet::new(),
            hows: BTreeMap::new(),
            asked: BTreeSet::new(),
            list: BTreeMap::new(),
            chance: Chance::new(day.seed ^ 0xDA4),
            day: day.clone(),
            id: 0,
            sent: 0,
            differences: Vec::new(),
            early: 0,
        };
        for number in 0..day.srvs {
            let listed = Listed {
                srv: format!("s{number}").into(),
                state: State::Up,
                came_up: None,
                weight: 1.0 + (number % 3) as f64 * 0.5,
                site: format!("x{}", number % day.sites).into(),
                cell: number % 4,
            };
            world.list.insert(listed.srv.clone(), listed);
        }
        let all: Vec<Listed> = world.list.values().cloned().collect();
        world.news(true, &all);
        world
    }

    fn one_in(&mut self, hundredths: u64) -> bool {
        u64::from(self.chance.next()) % 100 < hundredths
    }

    fn differ(&mut self, what: String) {
        let at = (self.now - 1_000_000 * MS) / MS;
        self.differences.push(format!("{at}: {what}"));
    }

    fn news(&mut self, whole: bool, entries: &[Listed]) {
        self.new.after(self.now, Outcome::List { whole, old: false, entries });
        self.old.after(self.now, Outcome::List { whole, old: false, entries });
    }

    fn place(&mut self, id: u64) {
        let Some((mut new, mut old)) = self.reqs.remove(&id) else { return };
        self.asked.retain(|(_, asked)| *asked != id);
        let now = self.now;
        let took = self.new.place(now, &mut new);
        let told = if let Place::Send { srv, .. } = &took { Some(srv.clone()) } else { None };
        // Among few srvs the turns are the same too.
        self.old.told = (self.list.len() > 32).then_some(told.clone());
        self.old.fits.clear();
        let was = self.old.place(now, &mut old);
        self.old.told = None;
        if took != was {
            return self.differ(format!("{id}: {took:?}, {was:?} before, among {:?}", self.old.fits));
        } else if let Some(srv) = &told
            && !self.old.fits.contains(srv)
        {
            self.differ(format!("{id}: to {srv}, not one of {:?}", self.old.fits));
        }
        match took {
            Place::Send { srv, .. } => {
                let number = new.dispatches.len() - 1;
                let (how, takes) = self.fate(&srv, new.ends.saturating_sub(now));
                self.ends.insert((now + takes, id, number));
                self.hows.insert((id, number), how);
                self.sent += 1;
            }
            Place::Later { ask_at } => drop(self.asked.insert((ask_at.max(now + 1), id))),
            Place::Deny { .. } | Place::Abort => return,
        }
        self.reqs.insert(id, (new, old));
    }

    fn fate(&mut self, srv: &str, left: Nanos) -> (How, Nanos) {
        let number: u64 = srv[1..].parse().unwrap_or(0);
        let slow = number * 37 % 100 < self.day.slow;
        let part = self.chance.part();
        let takes = (self.day.work as f64 * (0.5 + part) * if slow { 6.0 } else { 1.0 }) as u64 * MS;
        // A site is cut off for a while in the middle of the day.
        let lost =
            number % self.day.sites == 1 && (4_000 * MS..9_000 * MS).contains(&(self.now - 1_000_000 * MS));
        if lost || takes > left {
            return (How::TimedOut, left);
        }
        let failing = if number.is_multiple_of(5) { self.day.failing * 4 } else { self.day.failing / 4 };
        if !self.one_in(failing) {
            return (How::Done, takes);
        }
        match self.chance.next() % 4 {
            0 => (How::Full, MS),
            1 => (How::NoConnection, 3 * MS),
            2 => (How::Reset, takes / 2),
            _ => (How::Error, takes / 3),
        }
    }

    fn end(&mut self, id: u64, number: usize, how: How) {
        let Some((mut new, mut old)) = self.reqs.remove(&id) else { return };
        let closed = how == How::Done;
        let took = self.now - new.dispatches[number].at;
        let report = if self.day.reports { &[f64::from(self.chance.next() % 5)][..] } else { &[] };
        let outcome = |req| Outcome::Dispatch { req, number, how, took, closed, report };
        let follow = self.new.after(self.now, outcome(&mut new));
        let was = self.old.after(self.now, outcome(&mut old));
        if follow != was {
            self.differ(format!("{id}: then {follow:?}, {was:?} before"));
        }
        if follow == Follow::Place {
            self.reqs.insert(id, (new, old));
            self.place(id);
        }
    }

    /// Has both do their chores. A req called up by both is placed at once.
    fn wait(&mut self) {
        loop {
            let (mut new, mut old) = (BTreeMap::new(), BTreeMap::new());
            let call = |wait: Wait, of: &mut BTreeMap<String, (usize, Wait)>| {
                let key = format!("{wait:?}");
                of.entry(key).or_insert((0, wait)).0 += 1;
            };
            let called = loop {
                match self.new.wait(self.now) {
                    Wait::Until(_) => break None,
                    Wait::Place(id) => break Some(id),
                    wait => call(wait, &mut new),
                }
            };
            let was = loop {
                match self.old.wait(self.now) {
                    Wait::Until(_) => break None,
                    Wait::Place(id) => break Some(id),
                    wait => call(wait, &mut old),
                }
            };
            if new != old {
                let (new, old): (Vec<_>, Vec<_>) = (new.keys().collect(), old.keys().collect());
                self.differ(format!("chores {new:?}, {old:?} before"));
            }
            for wait in new.into_values().map(|(_, wait)| wait) {
                if let Wait::Recall(id, number) = wait
                    && self.hows.insert((id, number), How::Recalled).is_some()
                    && let Some(end) = self.ends.iter().find(|end| (end.1, end.2) == (id, number)).copied()
                {
                    self.ends.remove(&end);
                    self.ends.insert((self.now + MS, id, number));
                }
            }
            if called != was {
                self.early += 1;
            }
            match called {
                Some(id) if called == was => self.place(id),
                _ => return,
            }
        }
    }

    /// Lets a span pass, with arrivals at the day's rate.
    fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        let mut next = self.now;
        while self.now < until && self.differences.len() < 5 {
            let end = self.ends.first().map_or(Nanos::MAX, |end| end.0);
            let asked = self.asked.first().map_or(Nanos::MAX, |asked| asked.0);
            self.now = next.min(end).min(asked).min(until).max(self.now);
            if let Some(&(at, id, number)) = self.ends.first().filter(|end| end.0 <= self.now) {
                self.ends.remove(&(at, id, number));
                let how = self.hows.remove(&(id, number)).unwrap_or(How::Done);
                self.end(id, number, how);
            } else if asked <= self.now {
                if let Some((_, id)) = self.asked.pop_first() {
                    self.place(id);
                }
            } else if next <= self.now {
                self.id += 1;
                let id = self.id;
                let rule_set = ["read", "move", "charge"][self.chance.next() as usize % 3];
                let ends = self.now + 3_000 * MS;
                let (rule_set, customer) = (rule_set.into(), "".into());
                let dispatches = Vec::new();
                let req = Req { id, rule_set, customer, again: false, taken: self.now, ends, dispatches };
                self.reqs.insert(id, (req.clone(), req));
                self.place(id);
                let gap = -self.chance.part().max(1e-9).ln() / self.day.rate as f64;
                next = self.now + (gap * 1e9) as Nanos;
            }
            self.wait();
        }
    }

    /// Something happens to the list.
    fn stir(&mut self) {
        let names: Vec<Name> = self.list.keys().cloned().collect();
        let srv = names[self.chance.next() as usize % names.len()].clone();
        let Some(listed) = self.list.get_mut(&srv) else { return };
        match self.chance.next() % 3 {
            0 => listed.state = if listed.state == State::Up { State::Draining } else { State::Up },
            1 => listed.weight *= 1.5,
            _ => {}
        }
        let listed = listed.clone();
        self.news(false, &[listed]);
    }
}

fn play(day: &Day) -> World {
    let mut world = World::new(day);
    for _ in 0..12 {
        world.run(1_000 * MS);
        world.stir();
    }
    world
}

fn days() -> impl Strategy<Value = Day> {
    let srvs = prop_oneof![3 => 1..33u64, 1 => 33..90u64];
    let of = (1..200u64, srvs, prop::sample::select(vec![1u64, 1, 4, 40]), 0..3u64);
    let how = (20..250u64, 20..300u64, 0..40u64, 0..15u64);
    (of, how, 1..4u64, any::<bool>()).prop_map(|((seed, srvs, instances, tier), how, sites, reports)| {
        let (rate, work, slow, failing) = how;
        let rate = rate / if instances > 4 { 10 } else { 1 } + 1;
        Day { seed, srvs, sites, instances, tier, rate, work, slow, failing, reports }
    })
}

/// The same days each time.
fn on_days(number: u32, days: impl Strategy<Value = Day>, check: impl Fn(Day) -> Result<(), TestCaseError>) {
    let limits = ProptestConfig { cases: number, failure_persistence: None, ..ProptestConfig::default() };
    let chance = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    if let Err(why) = TestRunner::new_with_rng(limits, chance).run(&days, check) {
        panic!("{why}");
    }
}

#[test]
fn decisions_are_those_of_the_module_before() {
    on_days(60, days(), |day| {
        let world = play(&day);
        prop_assert!(world.early <= 2 + world.sent / 20, "{day:?}: {} called up early", world.early);
        prop_assert!(
            world.differences.is_empty(),
            "{day:?}, {} sent:\n{}",
            world.sent,
            world.differences.join("\n")
        );
        Ok(())
    });
}
