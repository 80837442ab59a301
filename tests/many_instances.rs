//! Many instances that use the same endpoints, in simulated time. Behavior that is harmless at one instance may do harm
//! in sum over all of them.

mod traced_balancer;

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::*;
use traced_balancer::{MS, parameters};

const S: Nanos = 1_000 * MS;
const START: Nanos = 1_000 * S;

/// What happens at an instance; ties in time are processed in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival,
    DispatchEnd(u64),
    /// A waiting request is due for routing.
    Route(u64),
}

/// Instances that share nothing, and endpoints that all behave alike, except that failing ones answer half of the requests
/// almost at once with an error.
struct Simulation {
    balancers: Vec<Balancer>,
    endpoint_count: u64,
    is_failing: fn(&str) -> bool,
    /// The arrival rate at an instance at a time, relative to the mean over all instances.
    relative_rate: fn(Nanos, usize) -> f64,
    now: Nanos,
    rng_state: u64,
    schedule: BTreeSet<(Nanos, usize, Step)>,
    requests: BTreeMap<u64, RequestContext>,
    outcome_counts: BTreeMap<&'static str, u64>,
    in_flight: BTreeMap<Name, u64>,
    /// The most requests in flight at one endpoint so far.
    max_in_flight: u64,
    /// Dispatches by the second and the endpoint.
    dispatch_counts: BTreeMap<u64, BTreeMap<Name, u64>>,
}

impl Simulation {
    fn new(instance_count: usize, endpoint_count: u64, is_failing: fn(&str) -> bool) -> Simulation {
        let balancers = (0..instance_count).map(|me| {
            let mut parameters = parameters(0.0, instance_count as f64);
            parameters.insert("me".into(), ParameterValue::Number(me as f64));
            Balancer::new(START, me as u64 * 7_919 + 3, parameters)
        });
        let mut simulation = Simulation {
            balancers: balancers.collect(),
            endpoint_count,
            is_failing,
            relative_rate: |_, _| 1.0,
            now: START,
            rng_state: 1,
            schedule: (0..instance_count).map(|me| (START, me, Step::Arrival)).collect(),
            requests: BTreeMap::new(),
            outcome_counts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            max_in_flight: 0,
            dispatch_counts: BTreeMap::new(),
        };
        simulation.apply_list(&|_| None);
        simulation
    }

    /// Gives all instances the complete list at once. `started_at` is given the endpoint's number.
    fn apply_list(&mut self, started_at: &dyn Fn(u64) -> Option<Nanos>) {
        let listed = |number: u64| ListedEndpoint {
            name: format!("s{number:02}").into(),
            state: EndpointState::Up,
            started_at: started_at(number),
            weight: 1.0,
            site: format!("x{}", number % 4).into(),
            cell: number % 4,
        };
        let endpoints: Vec<ListedEndpoint> = (0..self.endpoint_count).map(listed).collect();
        for balancer in &mut self.balancers {
            balancer.handle_event(
                self.now,
                Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &endpoints },
            );
        }
    }

    /// A random number of at least 0 and less than 1.
    fn random_fraction(&mut self) -> f64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    fn record_outcome(&mut self, outcome: &'static str) {
        *self.outcome_counts.entry(outcome).or_default() += 1;
    }

    fn route(&mut self, me: usize, id: u64) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        match self.balancers[me].route(self.now, &mut request) {
            RoutingDecision::Send { endpoint, .. } => {
                let in_flight = self.in_flight.entry(endpoint.clone()).or_default();
                *in_flight += 1;
                self.max_in_flight = self.max_in_flight.max(*in_flight);
                let fails = (self.is_failing)(&endpoint) && self.random_fraction() < 0.5;
                let by_endpoint = self.dispatch_counts.entry(self.now / S).or_default();
                *by_endpoint.entry(endpoint.clone()).or_default() += 1;
                let log_fraction = (1.0 - self.random_fraction()).ln().max(-6.0);
                let duration =
                    if fails { 5 * MS } else { 200 * MS - (log_fraction * 250.0 * MS as f64) as u64 };
                self.schedule.insert((self.now + duration, me, Step::DispatchEnd(id)));
                self.requests.insert(id, request);
            }
            RoutingDecision::Wait { until } => {
                self.schedule.insert((until.max(self.now + 1), me, Step::Route(id)));
                self.requests.insert(id, request);
            }
            RoutingDecision::Deny { .. } => self.record_outcome("denied"),
            RoutingDecision::Abort => self.record_outcome("aborted"),
        }
    }

    /// Simulates random arrivals with this mean rate at each instance.
    fn run(&mut self, requests_per_s: f64, duration: Nanos) {
        let until = self.now + duration;
        while let Some((at, me, step)) = self.schedule.first().copied().filter(|(at, ..)| *at < until) {
            self.schedule.remove(&(at, me, step));
            self.now = at;
            match step {
                Step::Arrival => {
                    // In one second of four, another one at each instance, the rate is almost four times as high.
                    let is_burst = (at / S + me as u64).is_multiple_of(4);
                    let rate = requests_per_s * if is_burst { 2.2 } else { 0.6 };
                    let interval_s =
                        -(1.0 - self.random_fraction()).ln() / (rate * (self.relative_rate)(at, me));
                    self.schedule.insert((at + (interval_s * S as f64) as u64 + 1, me, Step::Arrival));
                    let (id, rule_set) = (self.rng_state >> 12, "charge".into());
                    let (received_at, deadline) = (at, at + 3 * S);
                    let customer = "".into();
                    let request = RequestContext::new(id, rule_set, customer, received_at, deadline);
                    self.requests.insert(id, request);
                    self.route(me, id);
                }
                Step::DispatchEnd(id) => {
                    let mut request = self.requests.remove(&id).expect("a request in flight");
                    let dispatch = request.dispatches.last().expect("a dispatch");
                    let (endpoint, duration) = (dispatch.endpoint.clone(), at - dispatch.sent_at);
                    *self.in_flight.get_mut(&endpoint).expect("an endpoint in use") -= 1;
                    let outcome =
                        if duration < 100 * MS { DispatchOutcome::Error } else { DispatchOutcome::Done };
                    let is_final = outcome == DispatchOutcome::Done;
                    let event = Event::DispatchEnded {
                        request: &mut request,
                        dispatch_index: 0,
                        outcome,
                        duration,
                        is_final,
                        load_report: &[],
                    };
                    self.balancers[me].handle_event(at, event);
                    self.record_outcome(if is_final { "done" } else { "failed" });
                }
                Step::Route(id) => self.route(me, id),
            }
            loop {
                match self.balancers[me].next_action(at) {
                    NextAction::Route(id) => self.route(me, id),
                    NextAction::SleepUntil(_) => break,
                    _ => {}
                }
            }
        }
        self.now = until;
    }

    fn count(&self, outcome: &str) -> u64 {
        self.outcome_counts.get(outcome).copied().unwrap_or(0)
    }
}

/// The number in an endpoint's name.
fn endpoint_number(name: &str) -> u64 {
    name[1..].parse().unwrap_or(0)
}

#[test]
fn healthy_instances_with_few_requests_do_not_deny_their_bursts() {
    // Each of 17 instances has 5 requests in flight on average, and twice the number in its own bursts. Each of 16 endpoints
    // has 5 in flight, and little more at any time.
    let mut simulation = Simulation::new(17, 16, |endpoint| matches!(endpoint, "s03" | "s10"));
    simulation.run(12.0, 30 * S);
    let (done, denied) = (simulation.count("done"), simulation.count("denied"));
    assert!(done > 5_000 && denied * 1_000 < done, "{denied} denied, {done} done");
    assert!(simulation.max_in_flight <= 12, "{} in flight at one endpoint", simulation.max_in_flight);
}

#[test]
fn a_hundred_instances_spread_their_calls_while_service_discovery_is_down() {
    let mut simulation = Simulation::new(100, 16, |_| false);
    let mut calls: Vec<(Nanos, usize)> = Vec::new();
    let mut at = vec![START; 100];
    for (me, at) in at.iter_mut().enumerate() {
        while *at < START + 30 * S {
            match simulation.balancers[me].next_action(*at) {
                NextAction::WatchEndpoints => {
                    calls.push((*at, me));
                    simulation.balancers[me].handle_event(*at, Event::EndpointListFailed);
                }
                NextAction::SleepUntil(next) => *at = next.max(*at + 1),
                _ => {}
            }
        }
    }
    let max_calls = |from: Nanos, interval: Nanos| {
        let mut counts = BTreeMap::new();
        for (at, _) in calls.iter().filter(|(at, _)| *at >= START + from) {
            *counts.entry(at / interval).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or(0)
    };
    assert!(max_calls(0, 100 * MS) <= 25, "{} calls in a tenth of a second", max_calls(0, 100 * MS));
    assert!(max_calls(8 * S, S) <= 40, "{} calls in a second", max_calls(8 * S, S));
    let callers: BTreeSet<usize> =
        calls.iter().filter(|(at, _)| *at > START + 23 * S).map(|(_, me)| *me).collect();
    assert_eq!(callers.len(), 100, "an instance stopped calling");
}

#[test]
fn a_restarted_site_gets_its_slow_start_budget_from_all_instances_together() {
    let mut simulation = Simulation::new(100, 16, |_| false);
    simulation.run(4.0, 10 * S);
    let restarted_at = simulation.now;
    simulation.apply_list(&|number| (number % 4 == 0).then_some(restarted_at));
    simulation.dispatch_counts.clear();
    simulation.run(4.0, 6 * S);
    // Warm endpoints get 25 requests a second. In slow start the minimum capacity is 0.2 of that and 0.04 more each second.
    for (second, counts) in
        (0..6).map(|second| (second, &simulation.dispatch_counts[&(restarted_at / S + second)]))
    {
        let (in_slow_start, warm): (Vec<_>, Vec<_>) =
            counts.iter().partition(|(name, _)| endpoint_number(name).is_multiple_of(4));
        let warm = warm.iter().map(|(_, sent)| **sent).sum::<u64>() as f64 / 12.0;
        let min_capacity = 0.2 + 0.04 * (second + 1) as f64;
        for (name, sent) in in_slow_start {
            assert!(
                (*sent as f64) < 1.6 * min_capacity * warm + 4.0,
                "{name}: {sent} in second {second}, mean of warm endpoints {warm:.0}"
            );
        }
    }
}

/// Guards against overload of an endpoint in slow start when a few instances have nearly all requests, and when these are
/// suddenly other instances, as when a network partition separates half of them from their clients. The instances exchange
/// nothing here.
#[test]
fn slow_start_budgets_hold_in_sum_for_unevenly_and_changingly_loaded_instances() {
    // For 2 s one half of the instances has 19 of 20 requests, then the other half. Within a half some have six times the
    // rate of others.
    let relative_rate = |at: Nanos, me: usize| {
        let half = if (at / (2 * S)).is_multiple_of(2) == (me < 30) { 1.9 } else { 0.1 };
        half * if me.is_multiple_of(5) { 3.0 } else { 0.5 }
    };
    for rate in [2.0, 20.0] {
        let mut simulation = Simulation::new(60, 16, |_| false);
        simulation.relative_rate = relative_rate;
        simulation.run(rate, 10 * S);
        let restarted_at = simulation.now;
        simulation.apply_list(&|number| (number < 3).then_some(restarted_at));
        simulation.dispatch_counts.clear();
        simulation.run(rate, 6 * S);
        for second in 0..6 {
            let counts = &simulation.dispatch_counts[&(restarted_at / S + second)];
            let sent = |is_in_slow_start: bool| {
                let matching =
                    counts.iter().filter(|(name, _)| (endpoint_number(name) < 3) == is_in_slow_start);
                matching.map(|(_, sent)| *sent).sum::<u64>() as f64
            };
            let (in_slow_start, warm) = (sent(true) / 3.0, sent(false) / 13.0);
            let min_capacity = 0.2 + 0.04 * (second + 1) as f64;
            assert!(
                in_slow_start < 1.6 * min_capacity * warm + 4.0,
                "{in_slow_start:.0} in second {second} at {rate} requests per second, warm endpoints {warm:.0}"
            );
        }
    }
}

#[test]
fn an_empty_list_stops_all_dispatches_until_the_next_list() {
    let mut simulation = Simulation::new(10, 16, |_| false);
    simulation.run(4.0, 5 * S);
    assert_eq!(simulation.count("denied"), 0);
    simulation.endpoint_count = 0;
    simulation.apply_list(&|_| None);
    simulation.dispatch_counts.clear();
    simulation.run(4.0, 2 * S);
    assert!(
        simulation.dispatch_counts.is_empty() && simulation.count("denied") > 40,
        "{:?}, {:?}",
        simulation.dispatch_counts,
        simulation.outcome_counts
    );
    // Some of the previous endpoints are listed again.
    simulation.endpoint_count = 6;
    simulation.apply_list(&|_| None);
    simulation.run(4.0, 4 * S);
    let sent: BTreeSet<&Name> = simulation.dispatch_counts.values().flat_map(BTreeMap::keys).collect();
    assert_eq!(sent.len(), 6, "{sent:?}");
}
