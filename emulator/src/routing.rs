//! Routing under test: the real policy in its runtime, and baselines for comparison. The baselines are common simple
//! strategies that exist only in the emulator.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::{
    Balancer, DispatchOutcome, EndpointState, Event, ListedEndpoint, Name, ParameterValue, Parameters,
    RequestContext,
};
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};

use crate::Nanos;
use crate::random::RandomStream;
use crate::scenario::{Effect, Scenario};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    Module,
    Random {
        tries: usize,
    },
    RoundRobin {
        tries: usize,
    },
    LeastInFlight {
        tries: usize,
    },
    TwoChoices {
        tries: usize,
    },
    /// Violates rule 1 to 4 on purpose, to test the auditor.
    ViolatesRule(u8),
}

impl RoutingPolicy {
    pub fn parse(text: &str) -> Option<RoutingPolicy> {
        let (name, tries) = match text.strip_suffix("+3") {
            Some(name) => (name, 4),
            None => (text, 1),
        };
        Some(match name {
            "module" => RoutingPolicy::Module,
            "random" => RoutingPolicy::Random { tries },
            "round-robin" => RoutingPolicy::RoundRobin { tries },
            "least" => RoutingPolicy::LeastInFlight { tries },
            "two" => RoutingPolicy::TwoChoices { tries },
            _ => return None,
        })
    }

    /// Builds the router of an instance.
    pub fn build_router(
        self,
        now: Nanos,
        seed: u64,
        scenario: &Scenario,
        placement: InstancePlacement,
    ) -> Box<dyn Router> {
        match self {
            RoutingPolicy::Module => {
                Box::new(PolicyRuntime::new(Balancer::new(now, seed, build_parameters(scenario, placement))))
            }
            _ => Box::new(BaselineRouter {
                policy: self,
                replayable_rule_sets: replayable_rule_sets(scenario),
                random: RandomStream::new(seed, "baseline"),
                in_flight: BTreeMap::new(),
                round_robin_index: 0,
                requests: BTreeMap::new(),
                actions: Vec::new(),
            }),
        }
    }
}

/// Place of an instance: the tier it routes to, and its index among the instances of that tier.
#[derive(Clone, Copy)]
pub struct InstancePlacement {
    pub tier: usize,
    pub index: usize,
    pub instances: usize,
}

fn build_parameters(scenario: &Scenario, placement: InstancePlacement) -> Parameters {
    let text = |text: &str| ParameterValue::Text(text.into());
    let set = |set: &crate::scenario::RuleSet| {
        let effect = match set.effect {
            Effect::Replayable => "replayable",
            Effect::Uniqued => "uniqued",
            Effect::NonReplayable => "non-replayable",
        };
        Parameters::from([
            ("name".into(), text(&set.name)),
            ("effect".into(), text(effect)),
            ("group".into(), text("all")),
            ("window".into(), ParameterValue::Duration(set.dedup_window)),
            ("response_target".into(), ParameterValue::Duration(set.response_target)),
            ("client_timeout".into(), ParameterValue::Duration(set.client_timeout)),
            ("utility".into(), ParameterValue::Number(set.utility)),
            ("late_utility".into(), ParameterValue::Number(0.1 * set.utility)),
        ])
    };
    let mut parameters = Parameters::from([
        ("tier".into(), ParameterValue::Number(placement.tier as f64)),
        ("tiers".into(), ParameterValue::Number(scenario.tiers.len() as f64)),
        ("instances".into(), ParameterValue::Number(placement.instances as f64)),
        ("me".into(), ParameterValue::Number(placement.index as f64)),
        ("max_dispatches".into(), ParameterValue::Number(4.0)),
        ("may_recall".into(), ParameterValue::Flag(true)),
        ("rule_sets".into(), ParameterValue::List(scenario.rule_sets.iter().map(set).collect())),
    ]);
    if let Some(cold) = scenario.tiers[placement.tier].slow_start {
        parameters.insert("cold".into(), ParameterValue::Duration(cold.duration));
        parameters.insert("cold_share".into(), ParameterValue::Number(cold.initial_speed));
    }
    parameters
}

fn replayable_rule_sets(scenario: &Scenario) -> BTreeSet<Name> {
    let sets = scenario.rule_sets.iter().filter(|set| set.effect == Effect::Replayable);
    sets.map(|set| set.name.as_str().into()).collect()
}

/// What the simulation needs of a routing implementation.
pub trait Router {
    fn accept_request(&mut self, now: Nanos, request: RequestContext);
    fn handle_dispatch_ended(
        &mut self,
        now: Nanos,
        id: u64,
        dispatch_index: usize,
        outcome: DispatchOutcome,
        duration: Nanos,
    );
    fn handle_client_disconnected(&mut self, now: Nanos, id: u64);
    fn update_endpoints(&mut self, now: Nanos, endpoints: &[ListedEndpoint]);
    /// Outcomes of dispatches that another instance reported.
    fn record_peer_outcomes(
        &mut self,
        now: Nanos,
        server: &str,
        rule_set: &str,
        outcome: DispatchOutcome,
        times: u16,
    );
    /// Runs due work; returns when to call again.
    fn run_due_work(&mut self, now: Nanos) -> Nanos;
    fn take_actions(&mut self) -> Vec<Action>;
}

impl Router for PolicyRuntime {
    fn accept_request(&mut self, now: Nanos, request: RequestContext) {
        PolicyRuntime::accept_request(self, now, request);
    }

    fn handle_dispatch_ended(
        &mut self,
        now: Nanos,
        id: u64,
        dispatch_index: usize,
        outcome: DispatchOutcome,
        duration: Nanos,
    ) {
        PolicyRuntime::handle_dispatch_ended(
            self,
            now,
            id,
            dispatch_index,
            DispatchResult {
                outcome,
                duration,
                is_final: outcome == DispatchOutcome::Done,
                load_report: &[],
            },
        );
    }

    fn handle_client_disconnected(&mut self, now: Nanos, id: u64) {
        PolicyRuntime::handle_client_disconnected(self, now, id);
    }

    fn update_endpoints(&mut self, now: Nanos, endpoints: &[ListedEndpoint]) {
        self.handle_event(now, Event::EndpointsListed { is_complete: false, is_stale: false, endpoints });
    }

    fn record_peer_outcomes(
        &mut self,
        now: Nanos,
        server: &str,
        rule_set: &str,
        outcome: DispatchOutcome,
        times: u16,
    ) {
        (0..times).for_each(|_| {
            self.handle_event(now, Event::PeerDispatchEnded { endpoint: server, rule_set, outcome })
        });
    }

    fn run_due_work(&mut self, now: Nanos) -> Nanos {
        PolicyRuntime::run_due_work(self, now)
    }

    fn take_actions(&mut self) -> Vec<Action> {
        PolicyRuntime::take_actions(self)
    }
}

/// A baseline: selects by a simple rule and retries after any failure up to a fixed number of attempts.
struct BaselineRouter {
    policy: RoutingPolicy,
    replayable_rule_sets: BTreeSet<Name>,
    random: RandomStream,
    /// Available servers with their requests in flight.
    in_flight: BTreeMap<Name, usize>,
    round_robin_index: usize,
    requests: BTreeMap<u64, RequestContext>,
    actions: Vec<Action>,
}

impl BaselineRouter {
    fn max_attempts(&self) -> usize {
        match self.policy {
            RoutingPolicy::Random { tries }
            | RoutingPolicy::RoundRobin { tries }
            | RoutingPolicy::LeastInFlight { tries }
            | RoutingPolicy::TwoChoices { tries } => tries,
            RoutingPolicy::ViolatesRule(2) => 4,
            _ => 1,
        }
    }

    fn select_endpoint(&mut self) -> Option<Name> {
        let all = self.in_flight.len();
        let nth = |servers: &BTreeMap<Name, usize>, at: usize| servers.keys().nth(at % all.max(1)).cloned();
        match self.policy {
            RoutingPolicy::RoundRobin { .. } => {
                self.round_robin_index += 1;
                nth(&self.in_flight, self.round_robin_index)
            }
            RoutingPolicy::LeastInFlight { .. } => {
                let least = *self.in_flight.values().min()?;
                let fit: Vec<&Name> = self.in_flight.iter().filter(|s| *s.1 == least).map(|s| s.0).collect();
                Some(fit[self.random.sample_below(fit.len())].clone())
            }
            RoutingPolicy::TwoChoices { .. } => {
                let two = [self.random.sample_below(all), self.random.sample_below(all)]
                    .map(|at| nth(&self.in_flight, at));
                two.into_iter().flatten().min_by_key(|name| self.in_flight[name])
            }
            // Sends everything to one server, in slow start or not.
            RoutingPolicy::ViolatesRule(4) => nth(&self.in_flight, 0),
            _ => nth(&self.in_flight, self.random.sample_below(all)),
        }
    }

    fn send(&mut self, now: Nanos, id: u64) {
        let selected = self.select_endpoint();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(server) = selected.filter(|_| now < request.deadline) else {
            self.requests.remove(&id);
            return self.actions.push(Action::Abort { request_id: id });
        };
        *self.in_flight.entry(server.clone()).or_default() += 1;
        let (dispatch_index, give_up_at) = (request.dispatches.len(), request.deadline);
        let (site, cell) = ("".into(), 0);
        request.dispatches.push(ochreshed::Dispatch {
            endpoint: server.clone(),
            site,
            cell,
            sent_at: now,
            outcome: None,
        });
        self.actions.push(Action::Send { request_id: id, dispatch_index, endpoint: server, give_up_at });
    }
}

impl Router for BaselineRouter {
    fn accept_request(&mut self, now: Nanos, request: RequestContext) {
        let id = request.id;
        // Violates rule 1: the request is never answered.
        if self.policy == RoutingPolicy::ViolatesRule(1) && id.is_multiple_of(50) {
            return;
        }
        self.requests.insert(id, request);
        self.send(now, id);
    }

    fn handle_dispatch_ended(
        &mut self,
        now: Nanos,
        id: u64,
        dispatch_index: usize,
        outcome: DispatchOutcome,
        _: Nanos,
    ) {
        let tries = self.max_attempts();
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.dispatches[dispatch_index].outcome = Some(outcome);
        if let Some(out) = self.in_flight.get_mut(&request.dispatches[dispatch_index].endpoint) {
            *out = out.saturating_sub(1);
        }
        if outcome == DispatchOutcome::Done {
            self.requests.remove(&id);
            return;
        }
        // Baselines also run a request twice only if its effect allows that, except the one that violates rule 2.
        let must_not_repeat = !self.replayable_rule_sets.contains(&request.rule_set)
            && request.first_possible_run().is_some()
            && self.policy != RoutingPolicy::ViolatesRule(2);
        if request.dispatches.len() < tries && !must_not_repeat {
            return self.send(now, id);
        }
        let may_have_run = request.first_possible_run().is_some();
        self.requests.remove(&id);
        self.actions.push(if may_have_run {
            Action::Abort { request_id: id }
        } else {
            Action::Deny { request_id: id, retry_after: 0 }
        });
    }

    fn handle_client_disconnected(&mut self, _: Nanos, id: u64) {
        if let Some(request) = self.requests.remove(&id) {
            for dispatch in request.dispatches.iter().filter(|d| d.outcome.is_none()) {
                if let Some(out) = self.in_flight.get_mut(&dispatch.endpoint) {
                    *out = out.saturating_sub(1);
                }
            }
        }
    }

    fn update_endpoints(&mut self, _: Nanos, endpoints: &[ListedEndpoint]) {
        for entry in endpoints {
            if entry.state == EndpointState::Up {
                self.in_flight.entry(entry.name.clone()).or_default();
            } else if self.policy != RoutingPolicy::ViolatesRule(3) {
                self.in_flight.remove(&entry.name);
            }
        }
    }

    /// Baselines ignore what peers report.
    fn record_peer_outcomes(&mut self, _: Nanos, _: &str, _: &str, _: DispatchOutcome, _: u16) {}

    fn run_due_work(&mut self, _: Nanos) -> Nanos {
        Nanos::MAX
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
