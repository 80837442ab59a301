//! Random scenarios in which each decision that relies on maintained sums, schedulers and overdue dispatches is compared with a
//! plain reference that visits all endpoints: which endpoints may take a request, and which sites are silent. The reference
//! shares with the policy only the interpretation of a single endpoint's state.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::endpoint_set::{Endpoint, MeanLoads};
use crate::statistics::Rng;

#[path = "../../tests/traced_balancer/mod.rs"]
mod traced_balancer;
use traced_balancer::parameters;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    endpoints: u64,
    sites: u64,
    instances: u64,
    tier: u64,
    requests_per_s: u64,
    /// The processing time without load.
    service_time_ms: u64,
    /// Of the endpoints: those that are slow.
    slow_percentage: u64,
    /// Of the dispatches: those that fail.
    failing_percentage: u64,
    /// Of the endpoints: those that have just started.
    started_percentage: u64,
    reports: bool,
}

struct Simulation {
    now: Nanos,
    balancer: Balancer,
    requests: BTreeMap<u64, RequestContext>,
    /// When dispatches end.
    ends: BTreeSet<(Nanos, u64, usize)>,
    outcomes: BTreeMap<(u64, usize), DispatchOutcome>,
    waiting_until: BTreeSet<(Nanos, u64)>,
    list: BTreeMap<Name, ListedEndpoint>,
    /// The losses of each endpoint since its site last answered or was ejected.
    losses: BTreeMap<Name, usize>,
    rng: Rng,
    scenario: Scenario,
    last_id: u64,
    sent: usize,
    differences: Vec<String>,
}

/// The endpoints that may take a request, as computed by the reference.
#[derive(Default)]
struct Reference {
    healthy: BTreeSet<Name>,
    degraded: BTreeSet<Name>,
    /// Healthy, but they have reset the request before.
    reset_before: BTreeSet<Name>,
    /// The requests in flight are so close to the concurrency limit that rounding decides.
    is_tie: bool,
}

impl Simulation {
    fn new(scenario: &Scenario) -> Simulation {
        let mut parameters = parameters(scenario.tier as f64, scenario.instances as f64);
        parameters.insert("me".into(), ParameterValue::Number((scenario.seed % scenario.instances) as f64));
        if scenario.reports {
            parameters.insert("report_in_flight".into(), ParameterValue::Number(0.0));
        }
        let now = 1_000 * SECOND;
        let mut simulation = Simulation {
            now,
            balancer: Balancer::new(now, scenario.seed, parameters),
            requests: BTreeMap::new(),
            ends: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            waiting_until: BTreeSet::new(),
            list: BTreeMap::new(),
            losses: BTreeMap::new(),
            rng: Rng::new(scenario.seed ^ 0xDA4),
            scenario: scenario.clone(),
            last_id: 0,
            sent: 0,
            differences: Vec::new(),
        };
        for number in 0..scenario.endpoints {
            let just_started = simulation.draw_bool(scenario.started_percentage);
            let listed = ListedEndpoint {
                name: format!("s{number}").into(),
                state: EndpointState::Up,
                started_at: just_started.then_some(now),
                // No two sums of weights are equal, so that rounding does not decide ties.
                weight: 1.0 + (number % 3) as f64 * 0.5 + 0.0314 * (number as f64).sqrt(),
                site: format!("x{}", number % scenario.sites).into(),
                cell: number % 4,
            };
            simulation.list.insert(listed.name.clone(), listed);
        }
        let all: Vec<ListedEndpoint> = simulation.list.values().cloned().collect();
        simulation.apply_list(true, &all);
        simulation
    }

    fn draw_bool(&mut self, percentage: u64) -> bool {
        u64::from(self.rng.next_u32()) % 100 < percentage
    }

    fn record_difference(&mut self, what: String) {
        self.differences.push(format!("{} ms: {what}", (self.now - 1_000 * SECOND) / MILLISECOND));
    }

    fn apply_list(&mut self, is_complete: bool, entries: &[ListedEndpoint]) {
        self.balancer.handle_event(
            self.now,
            Event::EndpointsListed { is_complete, is_stale: false, endpoints: entries },
        );
        // The losses of a removed endpoint no longer count.
        self.losses.retain(|endpoint, _| self.balancer.endpoints.find_id(endpoint).is_some());
    }

    fn compute_reference(&self, request: &RequestContext) -> Reference {
        let (balancer, now) = (&self.balancer, self.now);
        let is_retry = !request.dispatches.is_empty();
        let endpoints: Vec<&Endpoint> =
            balancer.endpoints.ids().map(|id| balancer.endpoints.get(id)).collect();
        let latency_limit_s = balancer.latency_limit_s(now);
        let health_index = balancer.config.health_index(&request.rule_set);
        let burst_factor = balancer.burst_factor(now);
        let utility_factor = balancer.utility_factor(now, health_index, burst_factor);
        let (scaled_latency_limit_s, limit_floor) = (
            latency_limit_s * balancer.recovery_factor(now) * utility_factor,
            balancer.endpoint_limit_floor(now) * utility_factor,
        );
        let limit = |endpoint: &Endpoint| {
            endpoint.concurrency_limit(
                balancer.endpoints.completions_per_s(now, endpoint),
                scaled_latency_limit_s,
                limit_floor,
            )
        };
        let padded_limit = |endpoint: &Endpoint| {
            let is_past_slow_start = !endpoint.in_slow_start(now, balancer.config.slow_start);
            let allowance = if is_past_slow_start {
                burst_factor
                    * endpoint_selection::burst_allowance(limit(endpoint), balancer.instances_per_endpoint())
            } else {
                0.0
            };
            (limit(endpoint) + allowance).max(1.0)
        };
        let mean = |weight: &dyn Fn(&Endpoint) -> f64, of: &dyn Fn(&Endpoint) -> f64| {
            let suitable = endpoints.iter().filter(|endpoint| endpoint.is_usable() && weight(endpoint) > 0.0);
            let (sum, all) =
                suitable.fold((0.0, 0.0), |(s, w), endpoint| (s + of(endpoint), w + weight(endpoint)));
            if all > 0.0 { sum / all } else { 0.0 }
        };
        let means = MeanLoads {
            mean_in_flight: mean(&|endpoint| endpoint.subset_weight, &|endpoint| {
                endpoint.mean_in_flight(now)
            }),
            current_in_flight: mean(&|endpoint| endpoint.subset_weight, &|endpoint| {
                endpoint.in_flight.len() as f64
            }),
            reported_load: mean(
                &|endpoint| if endpoint.has_fresh_report { endpoint.weight } else { 0.0 },
                &|endpoint| endpoint.reported_load,
            ),
        };
        let mut reference = Reference::default();
        if !is_retry {
            let is_responsive = |endpoint: &&&Endpoint| {
                endpoint.subset_weight > 0.0
                    && endpoint.is_usable()
                    && !endpoint.is_unresponsive(now, latency_limit_s)
            };
            let total_limit: f64 =
                endpoints.iter().filter(is_responsive).map(|endpoint| limit(endpoint)).sum();
            let allowance =
                burst_factor * endpoint_selection::burst_allowance(total_limit, balancer.config.instances);
            let total_limit = if balancer.is_overloaded(now) {
                (total_limit + 1e-9).floor()
            } else {
                total_limit + allowance
            };
            let total_limit = total_limit.max(balancer.min_concurrency_limit(now) * utility_factor);
            let in_flight = endpoints
                .iter()
                .filter(is_responsive)
                .map(|endpoint| endpoint.in_flight.len())
                .sum::<usize>() as f64;
            reference.is_tie = (in_flight - total_limit).abs() < 1e-6;
            if in_flight >= total_limit {
                return reference;
            }
        }
        let run = request.first_possible_run();
        let group =
            balancer.config.rule_set(&request.rule_set).filter(|set| set.effect == Effect::Deduplicated);
        for endpoint in endpoints {
            let site = &balancer.endpoints.sites[endpoint.site_index as usize].name;
            let is_in_group = match (run, group.map_or(DedupGroup::All, |set| set.dedup_group)) {
                (Some(run), DedupGroup::Site) => *site == run.site,
                (Some(run), DedupGroup::Cell) => endpoint.cell == run.cell,
                _ => true,
            };
            let mut tried = request.dispatches.iter().filter(|dispatch| dispatch.endpoint == endpoint.name);
            let tried_before = tried.clone().next().is_some();
            let accepts_requests = endpoint.state == EndpointState::Up
                && if is_retry { endpoint.weight > 0.0 } else { endpoint.subset_weight > 0.0 }
                && (health_index == OVERALL_HEALTH || endpoint.health[health_index].ejected_until <= now)
                && (!endpoint.in_slow_start(now, balancer.config.slow_start)
                    || balancer.slow_start_budget(now, endpoint) >= 1.0);
            let is_below_limit = is_retry
                || (endpoint.count_against_limit(now, latency_limit_s) as f64) < padded_limit(endpoint);
            if !accepts_requests
                || !is_in_group
                || !is_below_limit
                || tried.any(|dispatch| dispatch.outcome != Some(DispatchOutcome::Reset))
            {
                continue;
            }
            let is_healthy = endpoint.is_usable()
                && !endpoint.is_unresponsive(now, latency_limit_s)
                && !endpoint.is_congested(now, latency_limit_s, &means);
            match (is_healthy, tried_before) {
                (true, false) => reference.healthy.insert(endpoint.name.clone()),
                (false, false) => reference.degraded.insert(endpoint.name.clone()),
                (true, true)
                    if run.is_some() && group.is_some_and(|set| set.dedup_group != DedupGroup::All) =>
                {
                    reference.reset_before.insert(endpoint.name.clone())
                }
                _ => false,
            };
        }
        reference
    }

    /// The sites with overdue dispatches that have answered nothing since, while others have.
    fn silent_sites(&self) -> BTreeSet<Name> {
        let (balancer, now) = (&self.balancer, self.now);
        let endpoints: Vec<&Endpoint> =
            balancer.endpoints.ids().map(|id| balancer.endpoints.get(id)).collect();
        let is_overloaded = balancer.is_overloaded(now);
        let overdue_s = balancer.latency_limit_s_when(now, is_overloaded) * OVERDUE_FACTOR;
        let factor = if balancer.config.tier == 0 && is_overloaded { 1.0 } else { 0.75 };
        let sites = balancer.endpoints.sites.iter().enumerate().filter(|(site_index, site)| {
            let others = balancer.endpoints.sites.iter().enumerate().filter(|(other, _)| other != site_index);
            let others_responded_at = others.map(|(_, site)| site.last_response_at).max().unwrap_or(0);
            let in_flight = endpoints
                .iter()
                .filter(|endpoint| endpoint.site_index as usize == *site_index)
                .flat_map(|endpoint| &endpoint.in_flight);
            let overdue = in_flight.filter(|dispatch| {
                site.last_response_at <= dispatch.sent_at
                    && dispatch.sent_at < others_responded_at
                    && dispatch.age_beyond_extra_time(now) > overdue_s * factor
            });
            let overdue = overdue.count();
            let members = endpoints.iter().filter(|endpoint| endpoint.site_index as usize == *site_index);
            let losses: usize = members.filter_map(|endpoint| self.losses.get(&endpoint.name)).sum();
            others_responded_at > site.last_response_at
                && (overdue >= 2 || overdue + losses >= 3)
                && endpoints
                    .iter()
                    .any(|endpoint| endpoint.site_index as usize == *site_index && endpoint.is_usable())
        });
        sites.map(|(_, site)| site.name.clone()).collect()
    }

    fn reset_losses(&mut self, site: &Name) {
        self.losses.retain(|endpoint, _| self.list[endpoint].site != *site);
    }

    /// Lets the balancer check the overdue dispatches, and compares what it ejects with the reference.
    fn check_overdue_dispatches(&mut self) {
        self.balancer.endpoints.advance_to(self.now);
        let sites = self.silent_sites();
        let earlier_lines = self.balancer.log_lines.len();
        self.balancer.check_overdue_dispatches(self.now);
        let lines = self.balancer.log_lines.iter().skip(earlier_lines);
        let ejected: BTreeSet<Name> = lines
            .filter_map(|line| line.strip_prefix("ejected site ")?.split(':').next().map(Name::from))
            .collect();
        for site in &sites {
            self.reset_losses(site);
        }
        if ejected != sites {
            self.record_difference(format!("sites ejected: {ejected:?}, {sites:?} by the reference"));
        }
    }

    fn route(&mut self, id: u64) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.waiting_until.retain(|(_, waiting)| *waiting != id);
        self.check_overdue_dispatches();
        self.balancer.update_established_traffic(self.now);
        let now = self.now;
        let reference = self.compute_reference(&request);
        let is_retry = !request.dispatches.is_empty();
        let is_its_turn = self.balancer.next_in_queue == Some(id);
        let others = self.balancer.wait_queue.len() - usize::from(self.balancer.wait_queue.contains(id));
        // Whether an endpoint is selected at all.
        let selects = now < request.deadline
            && if is_retry { self.balancer.may_retry(now, &request) } else { is_its_turn || others == 0 };
        // The arrival is counted before the selection and may change these.
        let state_of = |balancer: &Balancer| {
            (balancer.recovery_factor(now), balancer.is_overloaded(now), balancer.active_since)
        };
        let before = state_of(&self.balancer);
        let decision = self.balancer.route(now, &mut request);
        let state_changed = state_of(&self.balancer) != before;
        let allowed = [&reference.healthy, &reference.degraded, &reference.reset_before]
            .into_iter()
            .find(|names| !names.is_empty());
        let is_right = match (&decision, allowed) {
            (RoutingDecision::Send { endpoint, .. }, Some(allowed)) => selects && allowed.contains(endpoint),
            (RoutingDecision::Send { .. }, None) => false,
            (_, allowed) => !selects || allowed.is_none(),
        };
        if !is_right && !reference.is_tie && !state_changed {
            self.record_difference(format!("{id}: {decision:?}, selects {selects}, among {allowed:?}"));
        }
        match decision {
            RoutingDecision::Send { endpoint, .. } => {
                let dispatch_index = request.dispatches.len() - 1;
                let (outcome, duration) = self.draw_outcome(&endpoint, request.deadline.saturating_sub(now));
                self.ends.insert((now + duration, id, dispatch_index));
                self.outcomes.insert((id, dispatch_index), outcome);
                self.sent += 1;
            }
            RoutingDecision::Wait { until } => drop(self.waiting_until.insert((until.max(now + 1), id))),
            RoutingDecision::Deny { .. } | RoutingDecision::Abort => return,
        }
        self.requests.insert(id, request);
    }

    fn draw_outcome(&mut self, endpoint: &str, remaining: Nanos) -> (DispatchOutcome, Nanos) {
        let number: u64 = endpoint[1..].parse().unwrap_or(0);
        let is_slow = number * 37 % 100 < self.scenario.slow_percentage;
        let fraction = self.rng.next_fraction();
        let duration = (self.scenario.service_time_ms as f64
            * (0.5 + fraction)
            * if is_slow { 6.0 } else { 1.0 }) as u64
            * MILLISECOND;
        // One site is cut off for a while in the middle of the simulation.
        let is_cut_off = number % self.scenario.sites == 1
            && (4 * SECOND..9 * SECOND).contains(&(self.now - 1_000 * SECOND));
        if is_cut_off || duration > remaining {
            return (DispatchOutcome::TimedOut, remaining);
        }
        let failing = if number.is_multiple_of(5) {
            self.scenario.failing_percentage * 4
        } else {
            self.scenario.failing_percentage / 4
        };
        if !self.draw_bool(failing) {
            return (DispatchOutcome::Done, duration);
        }
        match self.rng.next_u32() % 4 {
            0 => (DispatchOutcome::Full, MILLISECOND),
            1 => (DispatchOutcome::NoConnection, 3 * MILLISECOND),
            2 => (DispatchOutcome::Reset, duration / 2),
            _ => (DispatchOutcome::Error, duration / 3),
        }
    }

    fn end_dispatch(&mut self, id: u64, dispatch_index: usize, outcome: DispatchOutcome) {
        let Some(Dispatch { endpoint, sent_at, .. }) =
            self.requests.get(&id).map(|request| request.dispatches[dispatch_index].clone())
        else {
            return;
        };
        match outcome {
            DispatchOutcome::NoConnection | DispatchOutcome::Reset | DispatchOutcome::TimedOut => {
                *self.losses.entry(endpoint).or_default() += 1
            }
            DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full => {
                let site = self.list[&endpoint].site.clone();
                self.reset_losses(&site);
            }
            DispatchOutcome::Cancelled | DispatchOutcome::NotSent | DispatchOutcome::Rejected => {}
        }
        let load_report = if self.scenario.reports { &[f64::from(self.rng.next_u32() % 5)][..] } else { &[] };
        let (duration, is_final) = (self.now - sent_at, outcome == DispatchOutcome::Done);
        let Some(request) = self.requests.get_mut(&id) else { return };
        match self.balancer.handle_event(
            self.now,
            Event::DispatchEnded { request, dispatch_index, outcome, duration, is_final, load_report },
        ) {
            NextStep::Route => self.route(id),
            _ => drop(self.requests.remove(&id)),
        }
    }

    fn run_next_actions(&mut self) {
        self.check_overdue_dispatches();
        loop {
            match self.balancer.next_action(self.now) {
                NextAction::SleepUntil(_) => return,
                NextAction::Route(id) => self.route(id),
                NextAction::CancelDispatch(id, number) => {
                    let end = self.ends.iter().find(|end| (end.1, end.2) == (id, number)).copied();
                    if let Some(end) = end {
                        self.outcomes.insert((id, number), DispatchOutcome::Cancelled);
                        self.ends.remove(&end);
                        self.ends.insert((self.now + MILLISECOND, id, number));
                    }
                }
                _ => {}
            }
        }
    }

    /// Advances the time by a span, with arrivals at the scenario's rate.
    fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        let mut next_arrival = self.now;
        while self.now < until && self.differences.len() < 5 {
            let end = self.ends.first().map_or(Nanos::MAX, |end| end.0);
            let next_wait = self.waiting_until.first().map_or(Nanos::MAX, |waiting| waiting.0);
            self.now = next_arrival.min(end).min(next_wait).min(until).max(self.now);
            if let Some(&(at, id, number)) = self.ends.first().filter(|end| end.0 <= self.now) {
                self.ends.remove(&(at, id, number));
                let outcome = self.outcomes.remove(&(id, number)).unwrap_or(DispatchOutcome::Done);
                self.end_dispatch(id, number, outcome);
            } else if next_wait <= self.now {
                if let Some((_, id)) = self.waiting_until.pop_first() {
                    self.route(id);
                }
            } else if next_arrival <= self.now {
                self.last_id += 1;
                let id = self.last_id;
                let rule_set = ["read", "move", "charge"][self.rng.next_u32() as usize % 3];
                let deadline = self.now + 3 * SECOND;
                let (rule_set, customer) = (rule_set.into(), "".into());
                let request = RequestContext::new(id, rule_set, customer, self.now, deadline);
                self.requests.insert(id, request);
                self.route(id);
                let gap = -self.rng.next_fraction().max(1e-9).ln() / self.scenario.requests_per_s as f64;
                next_arrival = self.now + (gap * 1e9) as Nanos;
            }
            self.run_next_actions();
        }
    }

    /// Changes the list: an endpoint drains or is up again, restarts, gets more weight, leaves or joins.
    fn change_list(&mut self) {
        let names: Vec<Name> = self.list.keys().cloned().collect();
        let endpoint = names[self.rng.next_u32() as usize % names.len()].clone();
        let Some(listed) = self.list.get_mut(&endpoint) else { return };
        match self.rng.next_u32() % 4 {
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
        self.apply_list(false, &[listed]);
    }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let endpoints = prop_oneof![3 => 1..33u64, 1 => 33..90u64];
    let layout = (1..200u64, endpoints, prop::sample::select(vec![1u64, 1, 4, 40]), 0..3u64);
    let traffic = (20..100u64, 20..300u64, 0..40u64, 0..15u64, prop::sample::select(vec![0u64, 0, 30]));
    (layout, traffic, 1..4u64, any::<bool>()).prop_map(
        |((seed, endpoints, instances, tier), traffic, sites, reports)| {
            let (rate, service_time_ms, slow_percentage, failing_percentage, started_percentage) = traffic;
            let requests_per_s = rate / if instances > 4 { 10 } else { 1 } + 1;
            Scenario {
                seed,
                endpoints,
                sites,
                instances,
                tier,
                requests_per_s,
                service_time_ms,
                slow_percentage,
                failing_percentage,
                started_percentage,
                reports,
            }
        },
    )
}

#[test]
fn decisions_match_a_reference_that_visits_all_endpoints() {
    // The same scenarios each time.
    let config = ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |scenario: Scenario| {
        let mut simulation = Simulation::new(&scenario);
        for _ in 0..12 {
            simulation.run(SECOND);
            simulation.change_list();
        }
        let differences = simulation.differences.join("\n");
        prop_assert!(differences.is_empty(), "{scenario:?}, {} sent:\n{differences}", simulation.sent);
        Ok(())
    };
    if let Err(why) = TestRunner::new_with_rng(config, rng).run(&scenarios(), check) {
        panic!("{why}");
    }
}
