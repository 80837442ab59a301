//! Random days on which each decision that goes by kept sums, orders and late dispatches is held against a walk over
//! all srvs: which may take a req, which sites are silent. The walks are as plain as they come and share with the
//! module only what a srv's own figures mean.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::fleet::{Means, Srv};

#[path = "../../tests/helper/mod.rs"]
mod helper;
use helper::facts;

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
    /// Parts in a hundred: of srvs that are slow, of dispatches that fail, of srvs just started.
    slow: u64,
    failing: u64,
    cold: u64,
    reports: bool,
}

struct World {
    now: Nanos,
    balancer: Balancer,
    reqs: BTreeMap<u64, RequestContext>,
    /// When dispatches end, and how.
    ends: BTreeSet<(Nanos, u64, usize)>,
    hows: BTreeMap<(u64, usize), DispatchOutcome>,
    asked: BTreeSet<(Nanos, u64)>,
    list: BTreeMap<Name, ListedEndpoint>,
    /// What each srv lost since its site last answered or was set aside.
    lost: BTreeMap<Name, usize>,
    chance: Chance,
    day: Day,
    id: u64,
    sent: usize,
    differences: Vec<String>,
}

/// The srvs that may take a req, by a walk: the sound ones, the doubtful ones, and sound ones tried before.
#[derive(Default)]
struct Walk {
    sound: BTreeSet<Name>,
    doubtful: BTreeSet<Name>,
    tried: BTreeSet<Name>,
    /// What is out comes so close to the level that rounding decides.
    tie: bool,
}

impl World {
    fn new(day: &Day) -> World {
        let mut facts = facts(day.tier as f64, day.instances as f64);
        facts.insert("me".into(), ParameterValue::Number((day.seed % day.instances) as f64));
        if day.reports {
            facts.insert("report_in_flight".into(), ParameterValue::Number(0.0));
        }
        let now = 1_000 * S;
        let mut world = World {
            now,
            balancer: Balancer::new(now, day.seed, facts),
            reqs: BTreeMap::new(),
            ends: BTreeSet::new(),
            hows: BTreeMap::new(),
            asked: BTreeSet::new(),
            list: BTreeMap::new(),
            lost: BTreeMap::new(),
            chance: Chance::new(day.seed ^ 0xDA4),
            day: day.clone(),
            id: 0,
            sent: 0,
            differences: Vec::new(),
        };
        for number in 0..day.srvs {
            let cold = world.one_in(day.cold);
            let listed = ListedEndpoint {
                name: format!("s{number}").into(),
                state: EndpointState::Up,
                started_at: cold.then_some(now),
                // No two come to the same, so that ties are not decided by rounding.
                weight: 1.0 + (number % 3) as f64 * 0.5 + 0.0314 * (number as f64).sqrt(),
                site: format!("x{}", number % day.sites).into(),
                cell: number % 4,
            };
            world.list.insert(listed.name.clone(), listed);
        }
        let all: Vec<ListedEndpoint> = world.list.values().cloned().collect();
        world.news(true, &all);
        world
    }

    fn one_in(&mut self, hundredths: u64) -> bool {
        u64::from(self.chance.next()) % 100 < hundredths
    }

    fn differ(&mut self, what: String) {
        self.differences.push(format!("{} ms: {what}", (self.now - 1_000 * S) / MS));
    }

    fn news(&mut self, whole: bool, entries: &[ListedEndpoint]) {
        self.balancer.handle_event(
            self.now,
            Event::EndpointsListed { is_complete: whole, is_stale: false, endpoints: entries },
        );
        // One that has left takes its losses along.
        self.lost.retain(|srv, _| self.balancer.fleet.find(srv).is_some());
    }

    fn walk(&self, req: &RequestContext) -> Walk {
        let (balancer, now) = (&self.balancer, self.now);
        let again = !req.dispatches.is_empty();
        let srvs: Vec<&Srv> = balancer.fleet.known().map(|who| balancer.fleet.get(who)).collect();
        let narrow = balancer.span_allowed(now);
        let set = balancer.told.health_at(&req.rule_set);
        let calm = balancer.calm(now);
        let worth = balancer.worth(now, set, calm);
        let (wide, floor) = (narrow * balancer.widening(now) * worth, balancer.floor(now) * worth);
        let level = |srv: &Srv| srv.level(balancer.fleet.done_rate(now, srv), wide, floor);
        let room = |srv: &Srv| {
            let warm = !srv.cold(now, balancer.told.cold);
            let chance = if warm { calm * pick::by_chance(level(srv), balancer.turned_by()) } else { 0.0 };
            (level(srv) + chance).max(1.0)
        };
        let mean = |weight: &dyn Fn(&Srv) -> f64, of: &dyn Fn(&Srv) -> f64| {
            let fit = srvs.iter().filter(|srv| srv.usable() && weight(srv) > 0.0);
            let (sum, all) = fit.fold((0.0, 0.0), |(s, w), srv| (s + of(srv), w + weight(srv)));
            if all > 0.0 { sum / all } else { 0.0 }
        };
        let means = Means {
            lasting: mean(&|srv| srv.ours, &|srv| srv.mean_out(now)),
            moment: mean(&|srv| srv.ours, &|srv| srv.out.len() as f64),
            reported: mean(&|srv| if srv.fresh { srv.weight } else { 0.0 }, &|srv| srv.reported),
        };
        let mut walk = Walk::default();
        if !again {
            let answers = |srv: &&&Srv| srv.ours > 0.0 && srv.usable() && !srv.owes(now, narrow);
            let most: f64 = srvs.iter().filter(answers).map(|srv| level(srv)).sum();
            let chance = calm * pick::by_chance(most, balancer.told.instances);
            let most = if balancer.overload(now) { (most + 1e-9).floor() } else { most + chance };
            let most = most.max(balancer.least_level(now) * worth);
            let out = srvs.iter().filter(answers).map(|srv| srv.out.len()).sum::<usize>() as f64;
            walk.tie = (out - most).abs() < 1e-6;
            if out >= most {
                return walk;
            }
        }
        let ran = req.first_possible_run();
        let group = balancer.told.rule_set(&req.rule_set).filter(|set| set.effect == Effect::Uniqued);
        for srv in srvs {
            let site = &balancer.fleet.sites[srv.site as usize].name;
            let bound = match (ran, group.map_or(Group::All, |set| set.group)) {
                (Some(ran), Group::Site) => *site == ran.site,
                (Some(ran), Group::Cell) => srv.cell == ran.cell,
                _ => true,
            };
            let mut tried = req.dispatches.iter().filter(|d| d.endpoint == srv.name);
            let before = tried.clone().next().is_some();
            let open = srv.state == EndpointState::Up
                && if again { srv.weight > 0.0 } else { srv.ours > 0.0 }
                && (set == 0 || srv.health[set].aside_until <= now)
                && (!srv.cold(now, balancer.told.cold) || balancer.budget(now, srv) >= 1.0);
            let room = again || (srv.counted(now, narrow) as f64) < room(srv);
            if !open || !bound || !room || tried.any(|d| d.outcome != Some(DispatchOutcome::Reset)) {
                continue;
            }
            let sound = srv.usable() && !srv.owes(now, narrow) && !srv.crowded(now, narrow, &means);
            match (sound, before) {
                (true, false) => walk.sound.insert(srv.name.clone()),
                (false, false) => walk.doubtful.insert(srv.name.clone()),
                (true, true) if ran.is_some() && group.is_some_and(|set| set.group != Group::All) => {
                    walk.tried.insert(srv.name.clone())
                }
                _ => false,
            };
        }
        walk
    }

    /// The sites that owe us answers and gave none since others did.
    fn silent(&self) -> BTreeSet<Name> {
        let (balancer, now) = (&self.balancer, self.now);
        let srvs: Vec<&Srv> = balancer.fleet.known().map(|who| balancer.fleet.get(who)).collect();
        let overload = balancer.overload(now);
        let overdue = balancer.span_when(now, overload) * SILENT;
        let part = if balancer.told.tier == 0 && overload { 1.0 } else { 0.75 };
        let sites = balancer.fleet.sites.iter().enumerate().filter(|(number, site)| {
            let others = balancer.fleet.sites.iter().enumerate().filter(|(other, _)| other != number);
            let others = others.map(|(_, site)| site.heard).max().unwrap_or(0);
            let outs = srvs.iter().filter(|srv| srv.site as usize == *number).flat_map(|srv| &srv.out);
            let owed =
                outs.filter(|out| site.heard <= out.at && out.at < others && out.age(now) > overdue * part);
            let owed = owed.count();
            let of = srvs.iter().filter(|srv| srv.site as usize == *number);
            let lost: usize = of.filter_map(|srv| self.lost.get(&srv.name)).sum();
            others > site.heard
                && (owed >= 2 || owed + lost >= 3)
                && srvs.iter().any(|srv| srv.site as usize == *number && srv.usable())
        });
        sites.map(|(_, site)| site.name.clone()).collect()
    }

    fn forgive(&mut self, site: &Name) {
        self.lost.retain(|srv, _| self.list[srv].site != *site);
    }

    /// Has the module look at what is late, and holds what it finds against a walk.
    fn sweep(&mut self) {
        self.balancer.fleet.advance(self.now);
        let sites = self.silent();
        let said = self.balancer.log.len();
        self.balancer.sweep(self.now);
        let said = self.balancer.log.iter().skip(said);
        let aside: BTreeSet<Name> = said
            .filter_map(|line| line.strip_prefix("aside site ")?.split(':').next().map(Name::from))
            .collect();
        for site in &sites {
            self.forgive(site);
        }
        if aside != sites {
            self.differ(format!("sites set aside: {aside:?}, {sites:?} by a walk"));
        }
    }

    fn place(&mut self, id: u64) {
        let Some(mut req) = self.reqs.remove(&id) else { return };
        self.asked.retain(|(_, asked)| *asked != id);
        self.sweep();
        self.balancer.count_sent(self.now);
        let now = self.now;
        let walk = self.walk(&req);
        let again = !req.dispatches.is_empty();
        let called = self.balancer.called == Some(id);
        let others = self.balancer.waiting.len() - usize::from(self.balancer.waiting.holds(id));
        // Whether it comes to a pick at all.
        let picks = now < req.deadline
            && if again { self.balancer.may_go_again(now, &req) } else { called || others == 0 };
        // What is asked for counts before the pick, and may turn these.
        let turns = |balancer: &Balancer| (balancer.widening(now), balancer.overload(now), balancer.back);
        let before = turns(&self.balancer);
        let took = self.balancer.route(now, &mut req);
        let turned = turns(&self.balancer) != before;
        let best = [&walk.sound, &walk.doubtful, &walk.tried].into_iter().find(|fit| !fit.is_empty());
        let right = match (&took, best) {
            (RoutingDecision::Send { endpoint: srv, .. }, Some(best)) => picks && best.contains(srv),
            (RoutingDecision::Send { .. }, None) => false,
            (_, best) => !picks || best.is_none(),
        };
        if !right && !walk.tie && !turned {
            self.differ(format!("{id}: {took:?}, picks {picks}, among {best:?}"));
        }
        match took {
            RoutingDecision::Send { endpoint: srv, .. } => {
                let number = req.dispatches.len() - 1;
                let (how, takes) = self.fate(&srv, req.deadline.saturating_sub(now));
                self.ends.insert((now + takes, id, number));
                self.hows.insert((id, number), how);
                self.sent += 1;
            }
            RoutingDecision::Wait { until: ask_at } => drop(self.asked.insert((ask_at.max(now + 1), id))),
            RoutingDecision::Deny { .. } | RoutingDecision::Abort => return,
        }
        self.reqs.insert(id, req);
    }

    fn fate(&mut self, srv: &str, left: Nanos) -> (DispatchOutcome, Nanos) {
        let number: u64 = srv[1..].parse().unwrap_or(0);
        let slow = number * 37 % 100 < self.day.slow;
        let part = self.chance.part();
        let takes = (self.day.work as f64 * (0.5 + part) * if slow { 6.0 } else { 1.0 }) as u64 * MS;
        // A site is cut off for a while in the middle of the day.
        let lost = number % self.day.sites == 1 && (4 * S..9 * S).contains(&(self.now - 1_000 * S));
        if lost || takes > left {
            return (DispatchOutcome::TimedOut, left);
        }
        let failing = if number.is_multiple_of(5) { self.day.failing * 4 } else { self.day.failing / 4 };
        if !self.one_in(failing) {
            return (DispatchOutcome::Done, takes);
        }
        match self.chance.next() % 4 {
            0 => (DispatchOutcome::Full, MS),
            1 => (DispatchOutcome::NoConnection, 3 * MS),
            2 => (DispatchOutcome::Reset, takes / 2),
            _ => (DispatchOutcome::Error, takes / 3),
        }
    }

    fn end(&mut self, id: u64, number: usize, how: DispatchOutcome) {
        let Some(Dispatch { endpoint: srv, sent_at: at, .. }) =
            self.reqs.get(&id).map(|req| req.dispatches[number].clone())
        else {
            return;
        };
        match how {
            DispatchOutcome::NoConnection | DispatchOutcome::Reset | DispatchOutcome::TimedOut => {
                *self.lost.entry(srv).or_default() += 1
            }
            DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full => {
                let site = self.list[&srv].site.clone();
                self.forgive(&site);
            }
            DispatchOutcome::Cancelled | DispatchOutcome::NotSent | DispatchOutcome::Rejected => {}
        }
        let report = if self.day.reports { &[f64::from(self.chance.next() % 5)][..] } else { &[] };
        let (took, closed) = (self.now - at, how == DispatchOutcome::Done);
        let Some(req) = self.reqs.get_mut(&id) else { return };
        match self.balancer.handle_event(
            self.now,
            Event::DispatchEnded {
                request: req,
                dispatch_index: number,
                outcome: how,
                duration: took,
                is_final: closed,
                load_report: report,
            },
        ) {
            NextStep::Route => self.place(id),
            _ => drop(self.reqs.remove(&id)),
        }
    }

    fn wait(&mut self) {
        self.sweep();
        loop {
            match self.balancer.next_action(self.now) {
                NextAction::SleepUntil(_) => return,
                NextAction::Route(id) => self.place(id),
                NextAction::CancelDispatch(id, number) => {
                    let end = self.ends.iter().find(|end| (end.1, end.2) == (id, number)).copied();
                    if let Some(end) = end {
                        self.hows.insert((id, number), DispatchOutcome::Cancelled);
                        self.ends.remove(&end);
                        self.ends.insert((self.now + MS, id, number));
                    }
                }
                _ => {}
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
                let how = self.hows.remove(&(id, number)).unwrap_or(DispatchOutcome::Done);
                self.end(id, number, how);
            } else if asked <= self.now {
                if let Some((_, id)) = self.asked.pop_first() {
                    self.place(id);
                }
            } else if next <= self.now {
                self.id += 1;
                let id = self.id;
                let rule_set = ["read", "move", "charge"][self.chance.next() as usize % 3];
                let ends = self.now + 3 * S;
                let (rule_set, customer) = (rule_set.into(), "".into());
                let req = RequestContext::new(id, rule_set, customer, self.now, ends);
                self.reqs.insert(id, req);
                self.place(id);
                let gap = -self.chance.part().max(1e-9).ln() / self.day.rate as f64;
                next = self.now + (gap * 1e9) as Nanos;
            }
            self.wait();
        }
    }

    /// Something happens to the list: a srv drains or is back, restarts, weighs more, leaves or is new.
    fn stir(&mut self) {
        let names: Vec<Name> = self.list.keys().cloned().collect();
        let srv = names[self.chance.next() as usize % names.len()].clone();
        let Some(listed) = self.list.get_mut(&srv) else { return };
        match self.chance.next() % 4 {
            0 => {
                listed.state = if listed.state == EndpointState::Up {
                    EndpointState::Draining
                } else {
                    EndpointState::Up
                }
            }
            1 => listed.started_at = Some(self.now),
            2 => listed.weight *= 1.4567,
            _ => {
                listed.state =
                    if listed.state == EndpointState::Up { EndpointState::Gone } else { EndpointState::Up }
            }
        }
        let listed = listed.clone();
        self.news(false, &[listed]);
    }
}

fn days() -> impl Strategy<Value = Day> {
    let srvs = prop_oneof![3 => 1..33u64, 1 => 33..90u64];
    let of = (1..200u64, srvs, prop::sample::select(vec![1u64, 1, 4, 40]), 0..3u64);
    let how = (20..100u64, 20..300u64, 0..40u64, 0..15u64, prop::sample::select(vec![0u64, 0, 30]));
    (of, how, 1..4u64, any::<bool>()).prop_map(|((seed, srvs, instances, tier), how, sites, reports)| {
        let (rate, work, slow, failing, cold) = how;
        let rate = rate / if instances > 4 { 10 } else { 1 } + 1;
        Day { seed, srvs, sites, instances, tier, rate, work, slow, failing, cold, reports }
    })
}

#[test]
fn decisions_are_those_of_a_walk_over_all_srvs() {
    // The same days each time.
    let limits = ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() };
    let chance = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |day: Day| {
        let mut world = World::new(&day);
        for _ in 0..12 {
            world.run(S);
            world.stir();
        }
        let differences = world.differences.join("\n");
        prop_assert!(differences.is_empty(), "{day:?}, {} sent:\n{differences}", world.sent);
        Ok(())
    };
    if let Err(why) = TestRunner::new_with_rng(limits, chance).run(&days(), check) {
        panic!("{why}");
    }
}
