//! What chooses srvs: the real module behind the real hands, and baselines to hold it against. Baselines are what
//! others do without it; they are no policies of the program and never leave the emulator.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::{Balancer, Facts, How, Listed, Name, Outcome, Req, State, Value};
use ochreshed_hands::{Act, End, Hands};

use crate::Nanos;
use crate::chance::Stream;
use crate::scenario::{Effect, Scenario};

/// Which of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
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

impl Policy {
    pub fn parse(text: &str) -> Option<Policy> {
        let (name, tries) = match text.strip_suffix("+3") {
            Some(name) => (name, 4),
            None => (text, 1),
        };
        Some(match name {
            "module" => Policy::Module,
            "random" => Policy::Random { tries },
            "round-robin" => Policy::RoundRobin { tries },
            "least" => Policy::LeastInFlight { tries },
            "two" => Policy::TwoChoices { tries },
            _ => return None,
        })
    }

    /// An instance before a tier.
    pub fn start(self, now: Nanos, seed: u64, scenario: &Scenario, seat: Seat) -> Box<dyn Chooser> {
        match self {
            Policy::Module => Box::new(Hands::new(Balancer::new(now, seed, facts(scenario, seat)))),
            _ => Box::new(Plain {
                policy: self,
                replayable: replayable(scenario),
                chance: Stream::new(seed, "baseline"),
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

fn facts(scenario: &Scenario, seat: Seat) -> Facts {
    let text = |text: &str| Value::Text(text.into());
    let set = |set: &crate::scenario::RuleSet| {
        let effect = match set.effect {
            Effect::Replayable => "replayable",
            Effect::Uniqued => "uniqued",
            Effect::NonReplayable => "non-replayable",
        };
        Facts::from([
            ("name".into(), text(&set.name)),
            ("effect".into(), text(effect)),
            ("group".into(), text("all")),
            ("window".into(), Value::Span(set.window)),
            ("response_target".into(), Value::Span(set.response_target)),
            ("client_timeout".into(), Value::Span(set.client_timeout)),
            ("utility".into(), Value::Number(set.utility)),
            ("late_utility".into(), Value::Number(0.1 * set.utility)),
        ])
    };
    let mut facts = Facts::from([
        ("tier".into(), Value::Number(seat.tier as f64)),
        ("tiers".into(), Value::Number(scenario.tiers.len() as f64)),
        ("instances".into(), Value::Number(seat.instances as f64)),
        ("me".into(), Value::Number(seat.me as f64)),
        ("max_dispatches".into(), Value::Number(4.0)),
        ("may_recall".into(), Value::Flag(true)),
        ("rule_sets".into(), Value::List(scenario.rule_sets.iter().map(set).collect())),
    ]);
    if let Some(cold) = scenario.tiers[seat.tier].cold {
        facts.insert("cold".into(), Value::Span(cold.lasts));
        facts.insert("cold_share".into(), Value::Number(cold.share));
    }
    facts
}

fn replayable(scenario: &Scenario) -> BTreeSet<Name> {
    let sets = scenario.rule_sets.iter().filter(|set| set.effect == Effect::Replayable);
    sets.map(|set| set.name.as_str().into()).collect()
}

/// What the world asks of an instance.
pub trait Chooser {
    fn take(&mut self, now: Nanos, req: Req);
    fn ended(&mut self, now: Nanos, id: u64, number: usize, how: How, took: Nanos);
    fn left(&mut self, now: Nanos, id: u64);
    fn list(&mut self, now: Nanos, entries: &[Listed]);
    /// What another instance has seen, so often.
    fn others(&mut self, now: Nanos, srv: &str, rule_set: &str, how: How, times: u16);
    /// Does what is due; answers with when it is to be asked again.
    fn settle(&mut self, now: Nanos) -> Nanos;
    fn acts(&mut self) -> Vec<Act>;
}

impl Chooser for Hands {
    fn take(&mut self, now: Nanos, req: Req) {
        Hands::take(self, now, req);
    }

    fn ended(&mut self, now: Nanos, id: u64, number: usize, how: How, took: Nanos) {
        Hands::ended(self, now, id, number, End { how, took, closed: how == How::Done, report: &[] });
    }

    fn left(&mut self, now: Nanos, id: u64) {
        Hands::left(self, now, id);
    }

    fn list(&mut self, now: Nanos, entries: &[Listed]) {
        self.news(now, Outcome::List { whole: false, old: false, entries });
    }

    fn others(&mut self, now: Nanos, srv: &str, rule_set: &str, how: How, times: u16) {
        (0..times).for_each(|_| self.news(now, Outcome::Others { srv, rule_set, how }));
    }

    fn settle(&mut self, now: Nanos) -> Nanos {
        Hands::settle(self, now)
    }

    fn acts(&mut self) -> Vec<Act> {
        Hands::acts(self)
    }
}

/// A baseline: picks by a plain rule, and tries again after any failure until it has tried often enough.
struct Plain {
    policy: Policy,
    replayable: BTreeSet<Name>,
    chance: Stream,
    /// The srvs that are up, with what is in flight there.
    srvs: BTreeMap<Name, usize>,
    next: usize,
    reqs: BTreeMap<u64, Req>,
    acts: Vec<Act>,
}

impl Plain {
    fn tries(&self) -> usize {
        match self.policy {
            Policy::Random { tries }
            | Policy::RoundRobin { tries }
            | Policy::LeastInFlight { tries }
            | Policy::TwoChoices { tries } => tries,
            Policy::Breaks(2) => 4,
            _ => 1,
        }
    }

    fn pick(&mut self) -> Option<Name> {
        let all = self.srvs.len();
        let nth = |srvs: &BTreeMap<Name, usize>, at: usize| srvs.keys().nth(at % all.max(1)).cloned();
        match self.policy {
            Policy::RoundRobin { .. } => {
                self.next += 1;
                nth(&self.srvs, self.next)
            }
            Policy::LeastInFlight { .. } => {
                let least = *self.srvs.values().min()?;
                let fit: Vec<&Name> = self.srvs.iter().filter(|s| *s.1 == least).map(|s| s.0).collect();
                Some(fit[self.chance.below(fit.len())].clone())
            }
            Policy::TwoChoices { .. } => {
                let two = [self.chance.below(all), self.chance.below(all)].map(|at| nth(&self.srvs, at));
                two.into_iter().flatten().min_by_key(|name| self.srvs[name])
            }
            // Heaps all on one srv, cold or not.
            Policy::Breaks(4) => nth(&self.srvs, 0),
            _ => nth(&self.srvs, self.chance.below(all)),
        }
    }

    fn send(&mut self, now: Nanos, id: u64) {
        let picked = self.pick();
        let Some(req) = self.reqs.get_mut(&id) else { return };
        let Some(srv) = picked.filter(|_| now < req.ends) else {
            self.reqs.remove(&id);
            return self.acts.push(Act::Abort { id });
        };
        *self.srvs.entry(srv.clone()).or_default() += 1;
        let (number, give_up) = (req.dispatches.len(), req.ends);
        let (site, cell) = ("".into(), 0);
        req.dispatches.push(ochreshed::Dispatch { srv: srv.clone(), site, cell, at: now, how: None });
        self.acts.push(Act::Send { id, number, srv, give_up });
    }
}

impl Chooser for Plain {
    fn take(&mut self, now: Nanos, req: Req) {
        let id = req.id;
        // The first rule broken: a req that is never answered.
        if self.policy == Policy::Breaks(1) && id.is_multiple_of(50) {
            return;
        }
        self.reqs.insert(id, req);
        self.send(now, id);
    }

    fn ended(&mut self, now: Nanos, id: u64, number: usize, how: How, _: Nanos) {
        let tries = self.tries();
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.dispatches[number].how = Some(how);
        if let Some(out) = self.srvs.get_mut(&req.dispatches[number].srv) {
            *out = out.saturating_sub(1);
        }
        if how == How::Done {
            self.reqs.remove(&id);
            return;
        }
        // Even a naive one keeps to what may run twice, but for the one that breaks that rule.
        let once = !self.replayable.contains(&req.rule_set)
            && req.may_have_run().is_some()
            && self.policy != Policy::Breaks(2);
        if req.dispatches.len() < tries && !once {
            return self.send(now, id);
        }
        let ran = req.may_have_run().is_some();
        self.reqs.remove(&id);
        self.acts.push(if ran { Act::Abort { id } } else { Act::Deny { id, come_back: 0 } });
    }

    fn left(&mut self, _: Nanos, id: u64) {
        if let Some(req) = self.reqs.remove(&id) {
            for dispatch in req.dispatches.iter().filter(|d| d.how.is_none()) {
                if let Some(out) = self.srvs.get_mut(&dispatch.srv) {
                    *out = out.saturating_sub(1);
                }
            }
        }
    }

    fn list(&mut self, _: Nanos, entries: &[Listed]) {
        for entry in entries {
            if entry.state == State::Up {
                self.srvs.entry(entry.srv.clone()).or_default();
            } else if self.policy != Policy::Breaks(3) {
                self.srvs.remove(&entry.srv);
            }
        }
    }

    /// A baseline learns by itself.
    fn others(&mut self, _: Nanos, _: &str, _: &str, _: How, _: u16) {}

    fn settle(&mut self, _: Nanos) -> Nanos {
        Nanos::MAX
    }

    fn acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }
}
