//! Large lists: shares, skips and budgets among thousands of srvs, and lists that come and go all day.

mod traced_balancer;

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::*;
use traced_balancer::{MS, parameters};

type Fails = dyn Fn(u64, &str) -> Option<DispatchOutcome>;

/// An instance and srvs that each answer after a time of their own, in simulated time.
struct Fleet {
    balancer: Balancer,
    now: Nanos,
    id: u64,
    mix: u64,
    out: BTreeSet<(Nanos, u64)>,
    reqs: BTreeMap<u64, RequestContext>,
    takes: fn(&str) -> Nanos,
    fails: Box<Fails>,
    /// The rule sets that reqs are of.
    sets: &'static [&'static str],
    sends: BTreeMap<Name, u64>,
    ends: BTreeMap<&'static str, u64>,
}

fn number(srv: &str) -> u64 {
    srv[1..].parse().expect("a number")
}

fn listed(number: u64, state: EndpointState, came_up: Option<Nanos>, weight: f64) -> ListedEndpoint {
    let site = format!("x{}", number % 5).into();
    ListedEndpoint {
        name: format!("s{number:05}").into(),
        state,
        started_at: came_up,
        weight,
        site,
        cell: number % 50,
    }
}

impl Fleet {
    fn new(parameters: Parameters) -> Fleet {
        let now = 1_000_000 * MS;
        Fleet {
            balancer: Balancer::new(now, 5, parameters),
            now,
            id: 0,
            mix: 1,
            out: BTreeSet::new(),
            reqs: BTreeMap::new(),
            takes: |_| 50 * MS,
            fails: Box::new(|_, _| None),
            sets: &["read"],
            sends: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    fn list(&mut self, whole: bool, entries: &[ListedEndpoint]) {
        self.balancer.handle_event(
            self.now,
            Event::EndpointsListed { is_complete: whole, is_stale: false, endpoints: entries },
        );
    }

    fn count(&mut self, how: &'static str) {
        *self.ends.entry(how).or_default() += 1;
    }

    fn place(&mut self, mut req: RequestContext) {
        match self.balancer.route(self.now, &mut req) {
            RoutingDecision::Send { endpoint: srv, .. } => {
                *self.sends.entry(srv.clone()).or_default() += 1;
                self.out.insert((self.now + (self.takes)(&srv), req.id));
                self.reqs.insert(req.id, req);
            }
            RoutingDecision::Wait { .. } => drop(self.reqs.insert(req.id, req)),
            RoutingDecision::Deny { .. } => self.count("deny"),
            RoutingDecision::Abort => self.count("abort"),
        }
    }

    /// Lets reqs come at an even rate, so many.
    fn run(&mut self, reqs: u64, gap: Nanos) {
        for _ in 0..reqs {
            self.pass(gap);
            self.id += 1;
            // At random, so that no pattern of theirs falls in step with the turns.
            self.mix = self.mix.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
            let set = self.mix >> 40;
            let (rule_set, customer) = (self.sets[set as usize % self.sets.len()].into(), "".into());
            let ends = self.now + 3_000 * MS;
            let (id, taken) = (self.id, self.now);
            self.place(RequestContext::new(id, rule_set, customer, taken, ends));
        }
    }

    fn pass(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some((at, id)) = self.out.first().copied().filter(|(at, _)| *at <= until) {
            self.out.pop_first();
            self.now = at.max(self.now);
            let Some(mut req) = self.reqs.remove(&id) else { continue };
            let last = req.dispatches.len() - 1;
            let dispatch = &req.dispatches[last];
            let how =
                (self.fails)(number(&dispatch.endpoint), &req.rule_set).unwrap_or(DispatchOutcome::Done);
            let (took, closed) = (self.now - dispatch.sent_at, how == DispatchOutcome::Done);
            let outcome = Event::DispatchEnded {
                request: &mut req,
                dispatch_index: last,
                outcome: how,
                duration: took,
                is_final: closed,
                load_report: &[],
            };
            match self.balancer.handle_event(self.now, outcome) {
                NextStep::Route => self.place(req),
                _ => self.count(if closed { "done" } else { "lost" }),
            }
            self.wait();
        }
        self.now = until;
        self.wait();
    }

    fn wait(&mut self) {
        loop {
            match self.balancer.next_action(self.now) {
                NextAction::SleepUntil(_) => return,
                NextAction::Route(id) => {
                    let req = self.reqs.remove(&id).expect("held");
                    self.place(req);
                }
                _ => {}
            }
        }
    }

    fn sent(&self, which: impl Fn(u64) -> bool) -> u64 {
        self.sends.iter().filter(|(srv, _)| which(number(srv))).map(|(_, count)| count).sum()
    }
}

#[test]
fn shares_are_as_the_weights_say_within_a_hundredth() {
    let mut fleet = Fleet::new(parameters(0.0, 1.0));
    let weight = |number: u64| [1.0, 0.5, 2.0, 3.5][number as usize % 4];
    let list: Vec<ListedEndpoint> =
        (0..1_000).map(|n| listed(n, EndpointState::Up, None, weight(n))).collect();
    fleet.list(true, &list);
    fleet.run(400_000, MS / 4);
    let total: f64 = (0..1_000).map(weight).sum();
    for (srv, count) in &fleet.sends {
        let share = weight(number(srv)) / total * 400_000.0;
        assert!(
            (*count as f64 - share).abs() <= 0.01 * share + 1.0,
            "{srv}: {count}, {share:.0} by its weight"
        );
    }
}

#[test]
fn a_skipped_srv_s_turns_go_to_the_others_evenly() {
    let mut fleet = Fleet::new(parameters(0.0, 1.0));
    let list: Vec<ListedEndpoint> = (0..1_000).map(|n| listed(n, EndpointState::Up, None, 1.0)).collect();
    fleet.list(true, &list);
    // One in ten is many times slower and so crowded; the others have no reason to differ.
    fleet.takes = |srv| if number(srv).is_multiple_of(10) { 2_000 * MS } else { 40 * MS };
    fleet.run(40_000, MS / 5);
    fleet.sends.clear();
    fleet.run(90_000, MS / 5);
    let sound: Vec<u64> =
        fleet.sends.iter().filter(|s| !number(s.0).is_multiple_of(10)).map(|s| *s.1).collect();
    let mean = sound.iter().sum::<u64>() as f64 / sound.len() as f64;
    let (least, most) = (sound.iter().min().expect("some"), sound.iter().max().expect("some"));
    assert!(*least as f64 > 0.98 * mean && (*most as f64) < 1.02 * mean, "{least} to {most}, mean {mean:.0}");
    let slow = fleet.sent(|n| n.is_multiple_of(10)) as f64 / 100.0;
    assert!(slow < 0.5 * mean, "slow ones get {slow:.0}, others {mean:.0}");
}

#[test]
fn cold_srvs_get_no_more_than_their_ramp_allows() {
    let mut fleet = Fleet::new(parameters(0.0, 1.0));
    let now = fleet.now;
    let cold = |n: u64| n.is_multiple_of(3);
    let list: Vec<ListedEndpoint> =
        (0..999).map(|n| listed(n, EndpointState::Up, cold(n).then_some(now), 1.0)).collect();
    fleet.list(true, &list);
    for second in 0..20u64 {
        fleet.sends.clear();
        fleet.run(4_000, MS / 4);
        let least = 0.2 + 0.8 * (second + 1) as f64 / 20.0;
        let (cold, warm) = (fleet.sent(cold) as f64 / 333.0, fleet.sent(|n| !cold(n)) as f64 / 666.0);
        // Each may have had one send in store, and gets one a second in any case.
        assert!(cold <= 1.5 * least * warm + 1.0, "second {second}: {cold:.2} each, {warm:.2} at warm ones");
        let whole = 0.5 * (0.2 + 0.8 * second as f64 / 20.0) * warm;
        assert!(second < 2 || cold >= whole, "second {second}: {cold:.2} each, {warm:.2} at warm ones");
    }
}

#[test]
fn draining_and_gone_srvs_get_nothing_from_the_moment_it_is_told() {
    let mut fleet = Fleet::new(parameters(2.0, 1.0));
    let list: Vec<ListedEndpoint> = (0..2_000).map(|n| listed(n, EndpointState::Up, None, 1.0)).collect();
    fleet.list(true, &list);
    // Sends again go among the whole list too.
    fleet.fails = Box::new(|n, _| n.is_multiple_of(25).then_some(DispatchOutcome::Error));
    fleet.run(20_000, MS / 4);
    let left: Vec<ListedEndpoint> = (0..1_000)
        .map(|n| listed(n, if n < 500 { EndpointState::Draining } else { EndpointState::Gone }, None, 1.0))
        .collect();
    fleet.list(false, &left);
    fleet.sends.clear();
    fleet.run(20_000, MS / 4);
    assert_eq!(fleet.sent(|n| n < 1_000), 0);
    fleet.list(true, &list[1_990..]);
    fleet.sends.clear();
    fleet.run(1_000, 5 * MS);
    assert_eq!((fleet.sent(|n| n < 1_990), fleet.sent(|n| n >= 1_990) > 900), (0, true));
}

#[test]
fn a_doubtful_srv_is_better_than_none_and_all_have_their_turn() {
    let mut fleet = Fleet::new(parameters(0.0, 1.0));
    let list: Vec<ListedEndpoint> = (0..100).map(|n| listed(n, EndpointState::Up, None, 1.0)).collect();
    fleet.list(true, &list);
    fleet.run(8_000, MS / 2);
    // Sites are lost one after the other, and the one that is not goes: all are set aside.
    for site in 0..4 {
        fleet.fails = Box::new(move |n, _| (n % 5 == site).then_some(DispatchOutcome::NoConnection));
        fleet.run(100, 2 * MS);
    }
    fleet.fails = Box::new(|_, _| None);
    let left: Vec<ListedEndpoint> = list.into_iter().filter(|l| &*l.site != "x4").collect();
    fleet.list(true, &left);
    fleet.sends.clear();
    fleet.ends.clear();
    // So few that a srv is never full: only the turns bring others.
    fleet.run(100, 20 * MS);
    let (met, most) = (fleet.sends.len(), fleet.sends.values().max());
    assert!(met == 80 && most <= Some(&2), "{met} of 80 met, one up to {most:?} times");
    assert!(fleet.ends["done"] > 90, "{:?}", fleet.ends);
}

#[test]
fn a_srv_kept_from_one_rule_set_gets_no_more_of_the_others() {
    let mut fleet = Fleet::new(parameters(2.0, 1.0));
    let list: Vec<ListedEndpoint> = (0..61).map(|n| listed(n, EndpointState::Up, None, 1.0)).collect();
    fleet.list(true, &list);
    fleet.sets = &["read", "charge"];
    // Both rule sets do well there at first: else it would be set aside for all.
    fleet.run(2_000, MS);
    fleet.sends.clear();
    fleet.fails = Box::new(|n, set| (n == 7 && set == "charge").then_some(DispatchOutcome::Error));
    fleet.run(60_000, MS);
    // Its turns that come up for what it is kept from are lost, not kept for the next read: else it would get
    // twice its part of them.
    let (one, mean) = (fleet.sent(|n| n == 7) as f64, fleet.sent(|n| n != 7) as f64 / 60.0);
    assert!((0.4..0.62).contains(&(one / mean)), "{one} to that one, {mean:.0} to others");
}

#[test]
fn a_cold_srv_that_is_the_only_one_with_room_gets_its_budget_and_no_more() {
    let mut fleet = Fleet::new(parameters(0.0, 1.0));
    let now = fleet.now;
    let list: Vec<ListedEndpoint> =
        (0..41).map(|n| listed(n, EndpointState::Up, (n == 40).then_some(now), 1.0)).collect();
    fleet.list(true, &list);
    // The warm ones hold what they got for so long that they have no room; the cold one answers at once.
    fleet.takes = |srv| if number(srv) == 40 { 20 * MS } else { 2_500 * MS };
    fleet.run(2_000, 5 * MS);
    let (cold, all) = (fleet.sent(|n| n == 40), fleet.sent(|_| true));
    // A fifth to three fifths of an even part by its ramp, and half as much again; of a part among twenty, since half
    // of the warm ones may be set aside. Or one a second. And one in store.
    let most = (all as f64 / 20.0 * 0.6 * 1.5).max(10.0) + 2.0;
    assert!(all > 400 && cold as f64 <= most, "{cold} of {all}, {most:.0} at most");
}

#[test]
fn weights_of_zero_tiny_and_huge_and_jumps_of_time_do_no_harm() {
    let mut fleet = Fleet::new(parameters(0.0, 1.0));
    let weight = |n: u64| [0.0, 1e-9, 1.0, 1e9][n as usize % 4];
    let list: Vec<ListedEndpoint> = (0..200).map(|n| listed(n, EndpointState::Up, None, weight(n))).collect();
    fleet.list(true, &list);
    fleet.run(5_000, MS);
    assert_eq!(fleet.sent(|n| n % 4 == 0), 0);
    assert!(fleet.sent(|n| n % 4 == 3) > 4_900);
    // The huge ones go: what is left must not drown in what they leave behind in the sums.
    let left: Vec<ListedEndpoint> = list.iter().filter(|l| l.weight == 1.0).cloned().collect();
    fleet.list(true, &left);
    fleet.sends.clear();
    fleet.run(5_000, MS);
    let (least, most) = (fleet.sends.values().min().copied(), fleet.sends.values().max().copied());
    assert_eq!((fleet.sends.len(), least, most), (50, Some(100), Some(100)));
    for hours in [0, 1, 30] {
        fleet.pass(hours * 3_600_000 * MS);
        fleet.sends.clear();
        fleet.ends.clear();
        fleet.run(1_000, 0);
        fleet.pass(100 * MS);
        fleet.run(1_000, MS);
        assert!(fleet.ends["done"] > 900, "after {hours} hours: {:?}", fleet.ends);
    }
}

#[test]
fn few_connections_narrow_the_turns_and_their_sum_stays_even() {
    let mut sends = BTreeMap::<Name, u64>::new();
    for me in 0..24 {
        let mut parameters = parameters(0.0, 24.0);
        parameters.insert("me".into(), ParameterValue::Number(f64::from(me)));
        parameters.insert("connections".into(), ParameterValue::Number(400.0));
        let mut fleet = Fleet::new(parameters);
        let list: Vec<ListedEndpoint> = (0..1_000).map(|n| listed(n, EndpointState::Up, None, 1.0)).collect();
        fleet.list(true, &list);
        // Enough to hear of all in time: without the bound the turns would go among the whole list.
        fleet.run(20_000, MS / 4);
        fleet.sends.clear();
        fleet.run(10_000, MS / 4);
        assert!(fleet.sends.len() <= 252, "{me}: turns among {}", fleet.sends.len());
        fleet.sends.into_iter().for_each(|(srv, count)| *sends.entry(srv).or_default() += count);
    }
    let (least, most) = (sends.values().min(), sends.values().max());
    assert!(
        sends.len() == 1_000 && least >= Some(&228) && most <= Some(&252),
        "{least:?} to {most:?}, 240 even"
    );
}
