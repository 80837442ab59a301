//! Large endpoint lists: shares, ejections and slow start budgets among up to thousands of endpoints, and lists that change.

mod traced_balancer;

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::*;
use traced_balancer::{MS, parameters};

/// The failure of a request by its endpoint's number and its rule set, if it fails.
type FailureRule = dyn Fn(u64, &str) -> Option<DispatchOutcome>;

/// One instance and its endpoints, which respond after a given time, in simulated time.
struct Simulation {
    balancer: Balancer,
    now: Nanos,
    last_id: u64,
    rng_state: u64,
    /// The dispatches in flight: when they end, and the request ids.
    in_flight: BTreeSet<(Nanos, u64)>,
    requests: BTreeMap<u64, RequestContext>,
    dispatch_duration: fn(&str) -> Nanos,
    failure_rule: Box<FailureRule>,
    /// The rule sets of the requests.
    rule_sets: &'static [&'static str],
    dispatch_counts: BTreeMap<Name, u64>,
    outcome_counts: BTreeMap<&'static str, u64>,
}

/// The number in an endpoint's name.
fn endpoint_number(name: &str) -> u64 {
    name[1..].parse().expect("a number")
}

fn listed_endpoint(
    number: u64,
    state: EndpointState,
    started_at: Option<Nanos>,
    weight: f64,
) -> ListedEndpoint {
    let site = format!("x{}", number % 5).into();
    ListedEndpoint {
        name: format!("s{number:05}").into(),
        state,
        started_at,
        weight,
        site,
        cell: number % 50,
    }
}

impl Simulation {
    fn new(parameters: Parameters) -> Simulation {
        let now = 1_000_000 * MS;
        Simulation {
            balancer: Balancer::new(now, 5, parameters),
            now,
            last_id: 0,
            rng_state: 1,
            in_flight: BTreeSet::new(),
            requests: BTreeMap::new(),
            dispatch_duration: |_| 50 * MS,
            failure_rule: Box::new(|_, _| None),
            rule_sets: &["read"],
            dispatch_counts: BTreeMap::new(),
            outcome_counts: BTreeMap::new(),
        }
    }

    fn apply_list(&mut self, is_complete: bool, endpoints: &[ListedEndpoint]) {
        self.balancer
            .handle_event(self.now, Event::EndpointsListed { is_complete, is_stale: false, endpoints });
    }

    fn record_outcome(&mut self, outcome: &'static str) {
        *self.outcome_counts.entry(outcome).or_default() += 1;
    }

    fn route(&mut self, mut request: RequestContext) {
        match self.balancer.route(self.now, &mut request) {
            RoutingDecision::Send { endpoint, .. } => {
                *self.dispatch_counts.entry(endpoint.clone()).or_default() += 1;
                self.in_flight.insert((self.now + (self.dispatch_duration)(&endpoint), request.id));
                self.requests.insert(request.id, request);
            }
            RoutingDecision::Wait { .. } => drop(self.requests.insert(request.id, request)),
            RoutingDecision::Deny { .. } => self.record_outcome("denied"),
            RoutingDecision::Abort => self.record_outcome("aborted"),
        }
    }

    /// Submits requests at a fixed interval.
    fn run(&mut self, request_count: u64, interval: Nanos) {
        for _ in 0..request_count {
            self.advance(interval);
            self.last_id += 1;
            // Rule sets are random, so that their pattern can't coincide with the order of the endpoints.
            self.rng_state =
                self.rng_state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
            let random = self.rng_state >> 40;
            let rule_set = self.rule_sets[random as usize % self.rule_sets.len()].into();
            let deadline = self.now + 3_000 * MS;
            self.route(RequestContext::new(self.last_id, rule_set, "".into(), self.now, deadline));
        }
    }

    /// Ends the dispatches that are due within this time.
    fn advance(&mut self, duration: Nanos) {
        let until = self.now + duration;
        while let Some((at, id)) = self.in_flight.first().copied().filter(|(at, _)| *at <= until) {
            self.in_flight.pop_first();
            self.now = at.max(self.now);
            let Some(mut request) = self.requests.remove(&id) else { continue };
            let dispatch_index = request.dispatches.len() - 1;
            let dispatch = &request.dispatches[dispatch_index];
            let failure = (self.failure_rule)(endpoint_number(&dispatch.endpoint), &request.rule_set);
            let outcome = failure.unwrap_or(DispatchOutcome::Done);
            let (duration, is_final) = (self.now - dispatch.sent_at, outcome == DispatchOutcome::Done);
            let event = Event::DispatchEnded {
                request: &mut request,
                dispatch_index,
                outcome,
                duration,
                is_final,
                load_report: &[],
            };
            match self.balancer.handle_event(self.now, event) {
                NextStep::Route => self.route(request),
                _ => self.record_outcome(if is_final { "done" } else { "failed" }),
            }
            self.run_actions();
        }
        self.now = until;
        self.run_actions();
    }

    fn run_actions(&mut self) {
        loop {
            match self.balancer.next_action(self.now) {
                NextAction::SleepUntil(_) => return,
                NextAction::Route(id) => {
                    let request = self.requests.remove(&id).expect("a waiting request");
                    self.route(request);
                }
                _ => {}
            }
        }
    }

    /// The dispatches to endpoints of matching numbers.
    fn sent_to(&self, matches: impl Fn(u64) -> bool) -> u64 {
        let matching = self.dispatch_counts.iter().filter(|(name, _)| matches(endpoint_number(name)));
        matching.map(|(_, count)| count).sum()
    }
}

#[test]
fn shares_are_proportional_to_weights_within_one_percent() {
    let mut simulation = Simulation::new(parameters(0.0, 1.0));
    let weight = |number: u64| [1.0, 0.5, 2.0, 3.5][number as usize % 4];
    let list: Vec<ListedEndpoint> =
        (0..1_000).map(|n| listed_endpoint(n, EndpointState::Up, None, weight(n))).collect();
    simulation.apply_list(true, &list);
    simulation.run(400_000, MS / 4);
    let total: f64 = (0..1_000).map(weight).sum();
    for (name, count) in &simulation.dispatch_counts {
        let share = weight(endpoint_number(name)) / total * 400_000.0;
        assert!(
            (*count as f64 - share).abs() <= 0.01 * share + 1.0,
            "{name}: {count} requests, {share:.0} by its weight"
        );
    }
}

#[test]
fn requests_skipping_a_crowded_endpoint_go_to_the_others_evenly() {
    let mut simulation = Simulation::new(parameters(0.0, 1.0));
    let list: Vec<ListedEndpoint> =
        (0..1_000).map(|n| listed_endpoint(n, EndpointState::Up, None, 1.0)).collect();
    simulation.apply_list(true, &list);
    // One endpoint in ten is many times slower and so crowded; the others have no reason to differ.
    simulation.dispatch_duration =
        |name| if endpoint_number(name).is_multiple_of(10) { 2_000 * MS } else { 40 * MS };
    simulation.run(40_000, MS / 5);
    simulation.dispatch_counts.clear();
    simulation.run(90_000, MS / 5);
    let is_fast = |name: &Name| !endpoint_number(name).is_multiple_of(10);
    let counts = simulation.dispatch_counts.iter();
    let fast: Vec<u64> = counts.filter(|(name, _)| is_fast(name)).map(|(_, count)| *count).collect();
    let mean = fast.iter().sum::<u64>() as f64 / fast.len() as f64;
    let (least, most) = (fast.iter().min().expect("some"), fast.iter().max().expect("some"));
    assert!(*least as f64 > 0.98 * mean && (*most as f64) < 1.02 * mean, "{least} to {most}, mean {mean:.0}");
    let slow = simulation.sent_to(|n| n.is_multiple_of(10)) as f64 / 100.0;
    assert!(slow < 0.5 * mean, "slow endpoints get {slow:.0}, others {mean:.0}");
}

#[test]
fn endpoints_in_slow_start_get_no_more_than_their_budget() {
    let mut simulation = Simulation::new(parameters(0.0, 1.0));
    let now = simulation.now;
    let is_in_slow_start = |n: u64| n.is_multiple_of(3);
    let list: Vec<ListedEndpoint> = (0..999)
        .map(|n| listed_endpoint(n, EndpointState::Up, is_in_slow_start(n).then_some(now), 1.0))
        .collect();
    simulation.apply_list(true, &list);
    for second in 0..20u64 {
        simulation.dispatch_counts.clear();
        simulation.run(4_000, MS / 4);
        let max_capacity = 0.2 + 0.8 * (second + 1) as f64 / 20.0;
        let in_slow_start = simulation.sent_to(is_in_slow_start) as f64 / 333.0;
        let warm = simulation.sent_to(|n| !is_in_slow_start(n)) as f64 / 666.0;
        // Each may have had one unused request of its budget, and gets one a second in any case.
        assert!(
            in_slow_start <= 1.5 * max_capacity * warm + 1.0,
            "second {second}: {in_slow_start:.2} each, {warm:.2} at warm endpoints"
        );
        let expected = 0.5 * (0.2 + 0.8 * second as f64 / 20.0) * warm;
        assert!(
            second < 2 || in_slow_start >= expected,
            "second {second}: {in_slow_start:.2} each, {warm:.2} at warm endpoints"
        );
    }
}

#[test]
fn draining_and_gone_endpoints_get_no_requests_from_the_list_change_on() {
    let mut simulation = Simulation::new(parameters(2.0, 1.0));
    let list: Vec<ListedEndpoint> =
        (0..2_000).map(|n| listed_endpoint(n, EndpointState::Up, None, 1.0)).collect();
    simulation.apply_list(true, &list);
    // Failures cause retries, which also choose among the whole list.
    simulation.failure_rule = Box::new(|n, _| n.is_multiple_of(25).then_some(DispatchOutcome::Error));
    simulation.run(20_000, MS / 4);
    let changed: Vec<ListedEndpoint> = (0..1_000)
        .map(|n| {
            listed_endpoint(n, if n < 500 { EndpointState::Draining } else { EndpointState::Gone }, None, 1.0)
        })
        .collect();
    simulation.apply_list(false, &changed);
    simulation.dispatch_counts.clear();
    simulation.run(20_000, MS / 4);
    assert_eq!(simulation.sent_to(|n| n < 1_000), 0);
    simulation.apply_list(true, &list[1_990..]);
    simulation.dispatch_counts.clear();
    simulation.run(1_000, 5 * MS);
    assert_eq!((simulation.sent_to(|n| n < 1_990), simulation.sent_to(|n| n >= 1_990) > 900), (0, true));
}

#[test]
fn with_all_endpoints_ejected_requests_are_spread_over_all_of_them() {
    let mut simulation = Simulation::new(parameters(0.0, 1.0));
    let list: Vec<ListedEndpoint> =
        (0..100).map(|n| listed_endpoint(n, EndpointState::Up, None, 1.0)).collect();
    simulation.apply_list(true, &list);
    simulation.run(8_000, MS / 2);
    // Sites are lost one after the other, and the last one leaves the list: all endpoints are ejected.
    for site in 0..4 {
        simulation.failure_rule =
            Box::new(move |n, _| (n % 5 == site).then_some(DispatchOutcome::NoConnection));
        simulation.run(100, 2 * MS);
    }
    simulation.failure_rule = Box::new(|_, _| None);
    let remaining: Vec<ListedEndpoint> = list.into_iter().filter(|l| &*l.site != "x4").collect();
    simulation.apply_list(true, &remaining);
    simulation.dispatch_counts.clear();
    simulation.outcome_counts.clear();
    // So few requests that no endpoint is ever full: only the rotation brings the others into use.
    simulation.run(100, 20 * MS);
    let (used, most) = (simulation.dispatch_counts.len(), simulation.dispatch_counts.values().max());
    assert!(used == 80 && most <= Some(&2), "{used} of 80 endpoints used, up to {most:?} times each");
    assert!(simulation.outcome_counts["done"] > 90, "{:?}", simulation.outcome_counts);
}

#[test]
fn an_endpoint_ejected_from_one_rule_set_gets_no_more_of_the_others() {
    let mut simulation = Simulation::new(parameters(2.0, 1.0));
    let list: Vec<ListedEndpoint> =
        (0..61).map(|n| listed_endpoint(n, EndpointState::Up, None, 1.0)).collect();
    simulation.apply_list(true, &list);
    simulation.rule_sets = &["read", "charge"];
    // Both rule sets succeed there at first: else the endpoint would be ejected from all.
    simulation.run(2_000, MS);
    simulation.dispatch_counts.clear();
    simulation.failure_rule =
        Box::new(|n, rule_set| (n == 7 && rule_set == "charge").then_some(DispatchOutcome::Error));
    simulation.run(60_000, MS);
    // When it is next in order for a request of the rule set it is ejected from, it is passed over and does not stay next for
    // the following read: else it would get twice its share of the reads.
    let (ejected, mean) =
        (simulation.sent_to(|n| n == 7) as f64, simulation.sent_to(|n| n != 7) as f64 / 60.0);
    assert!(
        (0.4..0.62).contains(&(ejected / mean)),
        "{ejected} to the ejected endpoint, {mean:.0} to others"
    );
}

#[test]
fn the_only_endpoint_with_capacity_gets_no_more_than_its_slow_start_budget() {
    let mut simulation = Simulation::new(parameters(0.0, 1.0));
    let now = simulation.now;
    let list: Vec<ListedEndpoint> =
        (0..41).map(|n| listed_endpoint(n, EndpointState::Up, (n == 40).then_some(now), 1.0)).collect();
    simulation.apply_list(true, &list);
    // The warm endpoints respond so slowly that they are at their limits; the one in slow start responds at once.
    simulation.dispatch_duration = |name| if endpoint_number(name) == 40 { 20 * MS } else { 2_500 * MS };
    simulation.run(2_000, 5 * MS);
    let (in_slow_start, all) = (simulation.sent_to(|n| n == 40), simulation.sent_to(|_| true));
    // Its slow start allows one fifth to three fifths of an even share, plus half of that. An even share is one twentieth,
    // since half of the warm endpoints may be ejected. It gets at least one request a second, and may have unused budget.
    let most = (all as f64 / 20.0 * 0.6 * 1.5).max(10.0) + 2.0;
    assert!(all > 400 && in_slow_start as f64 <= most, "{in_slow_start} of {all}, {most:.0} at most");
}

#[test]
fn extreme_weights_and_long_pauses_do_no_harm() {
    let mut simulation = Simulation::new(parameters(0.0, 1.0));
    let weight = |n: u64| [0.0, 1e-9, 1.0, 1e9][n as usize % 4];
    let list: Vec<ListedEndpoint> =
        (0..200).map(|n| listed_endpoint(n, EndpointState::Up, None, weight(n))).collect();
    simulation.apply_list(true, &list);
    simulation.run(5_000, MS);
    assert_eq!(simulation.sent_to(|n| n % 4 == 0), 0);
    assert!(simulation.sent_to(|n| n % 4 == 3) > 4_900);
    // The endpoints with huge weights leave: rounding errors that they leave in sums must not distort the remaining shares.
    let remaining: Vec<ListedEndpoint> = list.iter().filter(|l| l.weight == 1.0).cloned().collect();
    simulation.apply_list(true, &remaining);
    simulation.dispatch_counts.clear();
    simulation.run(5_000, MS);
    let (least, most) = (
        simulation.dispatch_counts.values().min().copied(),
        simulation.dispatch_counts.values().max().copied(),
    );
    assert_eq!((simulation.dispatch_counts.len(), least, most), (50, Some(100), Some(100)));
    for hours in [0, 1, 30] {
        simulation.advance(hours * 3_600_000 * MS);
        simulation.dispatch_counts.clear();
        simulation.outcome_counts.clear();
        simulation.run(1_000, 0);
        simulation.advance(100 * MS);
        simulation.run(1_000, MS);
        assert!(
            simulation.outcome_counts["done"] > 900,
            "after {hours} hours: {:?}",
            simulation.outcome_counts
        );
    }
}

#[test]
fn a_connection_limit_bounds_the_subsets_and_their_sum_stays_even() {
    let mut total_counts = BTreeMap::<Name, u64>::new();
    for me in 0..24 {
        let mut parameters = parameters(0.0, 24.0);
        parameters.insert("me".into(), ParameterValue::Number(f64::from(me)));
        parameters.insert("connections".into(), ParameterValue::Number(400.0));
        let mut simulation = Simulation::new(parameters);
        let list: Vec<ListedEndpoint> =
            (0..1_000).map(|n| listed_endpoint(n, EndpointState::Up, None, 1.0)).collect();
        simulation.apply_list(true, &list);
        // Enough requests to learn about all endpoints in time: without the limit the subset would be the whole list.
        simulation.run(20_000, MS / 4);
        simulation.dispatch_counts.clear();
        simulation.run(10_000, MS / 4);
        assert!(
            simulation.dispatch_counts.len() <= 252,
            "instance {me}: a subset of {}",
            simulation.dispatch_counts.len()
        );
        simulation
            .dispatch_counts
            .into_iter()
            .for_each(|(name, count)| *total_counts.entry(name).or_default() += count);
    }
    let (least, most) = (total_counts.values().min(), total_counts.values().max());
    assert!(
        total_counts.len() == 1_000 && least >= Some(&228) && most <= Some(&252),
        "{least:?} to {most:?}, 240 even"
    );
}
