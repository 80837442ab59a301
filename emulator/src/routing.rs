//! What chooses srvs: the real module behind the real policy runtime, and baselines to hold it against. Baselines are what
//! others do without it; they are no policies of the program and never leave the emulator.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::{
    Balancer, DispatchOutcome, EndpointState, Event, ListedEndpoint, Name, ParameterValue, Parameters,
    RequestContext,
};
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};

use crate::Nanos;
use crate::random::RandomStream;
use crate::scenario::{Effect, Scenario};

/// Which of them.
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
    /// Breaks a rule on purpose, to show that the auditor sees it: 1 to 4.
    Breaks(u8),
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

    /// An instance before a tier.
    pub fn build_router(self, now: Nanos, seed: u64, scenario: &Scenario, seat: Seat) -> Box<dyn Chooser> {
        match self {
            RoutingPolicy::Module => {
                Box::new(PolicyRuntime::new(Balancer::new(now, seed, facts(scenario, seat))))
            }
            _ => Box::new(Plain {
                policy: self,
                replayable: replayable(scenario),
                chance: RandomStream::new(seed, "baseline"),
                srvs: BTreeMap::new(),
                next: 0,
                reqs: BTreeMap::new(),
                acts: Vec::new(),
            }),
        }
    }
}

/// Where an instance stands: before which tier, and which of how many.
#[derive(Clone, Copy)]
pub struct Seat {
    pub tier: usize,
    pub me: usize,
    pub instances: usize,
}

fn facts(scenario: &Scenario, seat: Seat) -> Parameters {
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
    let mut facts = Parameters::from([
        ("tier".into(), ParameterValue::Number(seat.tier as f64)),
        ("tiers".into(), ParameterValue::Number(scenario.tiers.len() as f64)),
        ("instances".into(), ParameterValue::Number(seat.instances as f64)),
        ("me".into(), ParameterValue::Number(seat.me as f64)),
        ("max_dispatches".into(), ParameterValue::Number(4.0)),
        ("may_recall".into(), ParameterValue::Flag(true)),
        ("rule_sets".into(), ParameterValue::List(scenario.rule_sets.iter().map(set).collect())),
    ]);
    if let Some(cold) = scenario.tiers[seat.tier].slow_start {
        facts.insert("cold".into(), ParameterValue::Duration(cold.duration));
        facts.insert("cold_share".into(), ParameterValue::Number(cold.initial_speed));
    }
    facts
}

fn replayable(scenario: &Scenario) -> BTreeSet<Name> {
    let sets = scenario.rule_sets.iter().filter(|set| set.effect == Effect::Replayable);
    sets.map(|set| set.name.as_str().into()).collect()
}

/// What the world asks of an instance.
pub trait Chooser {
    fn take(&mut self, now: Nanos, req: RequestContext);
    fn ended(&mut self, now: Nanos, id: u64, number: usize, how: DispatchOutcome, took: Nanos);
    fn left(&mut self, now: Nanos, id: u64);
    fn list(&mut self, now: Nanos, entries: &[ListedEndpoint]);
    /// What another instance has seen, so often.
    fn others(&mut self, now: Nanos, srv: &str, rule_set: &str, how: DispatchOutcome, times: u16);
    /// Does what is due; answers with when it is to be asked again.
    fn settle(&mut self, now: Nanos) -> Nanos;
    fn acts(&mut self) -> Vec<Action>;
}

impl Chooser for PolicyRuntime {
    fn take(&mut self, now: Nanos, req: RequestContext) {
        PolicyRuntime::accept_request(self, now, req);
    }

    fn ended(&mut self, now: Nanos, id: u64, number: usize, how: DispatchOutcome, took: Nanos) {
        PolicyRuntime::handle_dispatch_ended(
            self,
            now,
            id,
            number,
            DispatchResult {
                outcome: how,
                duration: took,
                is_final: how == DispatchOutcome::Done,
                load_report: &[],
            },
        );
    }

    fn left(&mut self, now: Nanos, id: u64) {
        PolicyRuntime::handle_client_disconnected(self, now, id);
    }

    fn list(&mut self, now: Nanos, entries: &[ListedEndpoint]) {
        self.handle_event(
            now,
            Event::EndpointsListed { is_complete: false, is_stale: false, endpoints: entries },
        );
    }

    fn others(&mut self, now: Nanos, srv: &str, rule_set: &str, how: DispatchOutcome, times: u16) {
        (0..times).for_each(|_| {
            self.handle_event(now, Event::PeerDispatchEnded { endpoint: srv, rule_set, outcome: how })
        });
    }

    fn settle(&mut self, now: Nanos) -> Nanos {
        PolicyRuntime::run_due_work(self, now)
    }

    fn acts(&mut self) -> Vec<Action> {
        PolicyRuntime::take_actions(self)
    }
}

/// A baseline: picks by a plain rule, and tries again after any failure until it has tried often enough.
struct Plain {
    policy: RoutingPolicy,
    replayable: BTreeSet<Name>,
    chance: RandomStream,
    /// The srvs that are up, with what is in flight there.
    srvs: BTreeMap<Name, usize>,
    next: usize,
    reqs: BTreeMap<u64, RequestContext>,
    acts: Vec<Action>,
}

impl Plain {
    fn tries(&self) -> usize {
        match self.policy {
            RoutingPolicy::Random { tries }
            | RoutingPolicy::RoundRobin { tries }
            | RoutingPolicy::LeastInFlight { tries }
            | RoutingPolicy::TwoChoices { tries } => tries,
            RoutingPolicy::Breaks(2) => 4,
            _ => 1,
        }
    }

    fn pick(&mut self) -> Option<Name> {
        let all = self.srvs.len();
        let nth = |srvs: &BTreeMap<Name, usize>, at: usize| srvs.keys().nth(at % all.max(1)).cloned();
        match self.policy {
            RoutingPolicy::RoundRobin { .. } => {
                self.next += 1;
                nth(&self.srvs, self.next)
            }
            RoutingPolicy::LeastInFlight { .. } => {
                let least = *self.srvs.values().min()?;
                let fit: Vec<&Name> = self.srvs.iter().filter(|s| *s.1 == least).map(|s| s.0).collect();
                Some(fit[self.chance.sample_below(fit.len())].clone())
            }
            RoutingPolicy::TwoChoices { .. } => {
                let two = [self.chance.sample_below(all), self.chance.sample_below(all)]
                    .map(|at| nth(&self.srvs, at));
                two.into_iter().flatten().min_by_key(|name| self.srvs[name])
            }
            // Heaps all on one srv, cold or not.
            RoutingPolicy::Breaks(4) => nth(&self.srvs, 0),
            _ => nth(&self.srvs, self.chance.sample_below(all)),
        }
    }

    fn send(&mut self, now: Nanos, id: u64) {
        let picked = self.pick();
        let Some(req) = self.reqs.get_mut(&id) else { return };
        let Some(srv) = picked.filter(|_| now < req.deadline) else {
            self.reqs.remove(&id);
            return self.acts.push(Action::Abort { request_id: id });
        };
        *self.srvs.entry(srv.clone()).or_default() += 1;
        let (number, give_up) = (req.dispatches.len(), req.deadline);
        let (site, cell) = ("".into(), 0);
        req.dispatches.push(ochreshed::Dispatch {
            endpoint: srv.clone(),
            site,
            cell,
            sent_at: now,
            outcome: None,
        });
        self.acts.push(Action::Send {
            request_id: id,
            dispatch_index: number,
            endpoint: srv,
            give_up_at: give_up,
        });
    }
}

impl Chooser for Plain {
    fn take(&mut self, now: Nanos, req: RequestContext) {
        let id = req.id;
        // The first rule broken: a req that is never answered.
        if self.policy == RoutingPolicy::Breaks(1) && id.is_multiple_of(50) {
            return;
        }
        self.reqs.insert(id, req);
        self.send(now, id);
    }

    fn ended(&mut self, now: Nanos, id: u64, number: usize, how: DispatchOutcome, _: Nanos) {
        let tries = self.tries();
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.dispatches[number].outcome = Some(how);
        if let Some(out) = self.srvs.get_mut(&req.dispatches[number].endpoint) {
            *out = out.saturating_sub(1);
        }
        if how == DispatchOutcome::Done {
            self.reqs.remove(&id);
            return;
        }
        // Even a naive one keeps to what may run twice, but for the one that breaks that rule.
        let once = !self.replayable.contains(&req.rule_set)
            && req.first_possible_run().is_some()
            && self.policy != RoutingPolicy::Breaks(2);
        if req.dispatches.len() < tries && !once {
            return self.send(now, id);
        }
        let ran = req.first_possible_run().is_some();
        self.reqs.remove(&id);
        self.acts.push(if ran {
            Action::Abort { request_id: id }
        } else {
            Action::Deny { request_id: id, retry_after: 0 }
        });
    }

    fn left(&mut self, _: Nanos, id: u64) {
        if let Some(req) = self.reqs.remove(&id) {
            for dispatch in req.dispatches.iter().filter(|d| d.outcome.is_none()) {
                if let Some(out) = self.srvs.get_mut(&dispatch.endpoint) {
                    *out = out.saturating_sub(1);
                }
            }
        }
    }

    fn list(&mut self, _: Nanos, entries: &[ListedEndpoint]) {
        for entry in entries {
            if entry.state == EndpointState::Up {
                self.srvs.entry(entry.name.clone()).or_default();
            } else if self.policy != RoutingPolicy::Breaks(3) {
                self.srvs.remove(&entry.name);
            }
        }
    }

    /// A baseline learns by itself.
    fn others(&mut self, _: Nanos, _: &str, _: &str, _: DispatchOutcome, _: u16) {}

    fn settle(&mut self, _: Nanos) -> Nanos {
        Nanos::MAX
    }

    fn acts(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }
}
