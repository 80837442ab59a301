//! A scene: one instance, the reqs in its hands, and a short trace of what it decided.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write;

use ochreshed::*;

pub const MS: Nanos = 1_000_000;

pub struct TracedBalancer {
    pub balancer: Balancer,
    now: Nanos,
    reqs: BTreeMap<u64, RequestContext>,
    pub trace: String,
    /// What the next reqs are told to cost.
    pub work: Option<Nanos>,
    /// What the last deny said of when to come back.
    pub come_back: Nanos,
}

pub fn parameters(tier: f64, instances: f64) -> Parameters {
    let text = |t: &str| ParameterValue::Text(t.into());
    let rule_set = |name: &str, effect: &str, group: &str, utility: f64| {
        Parameters::from([
            ("name".into(), text(name)),
            ("effect".into(), text(effect)),
            ("group".into(), text(group)),
            ("window".into(), ParameterValue::Duration(1_000 * MS)),
            ("response_target".into(), ParameterValue::Duration(1_000 * MS)),
            ("utility".into(), ParameterValue::Number(utility)),
            ("late_utility".into(), ParameterValue::Number(0.2)),
        ])
    };
    let sets = vec![
        rule_set("read", "replayable", "all", 1.0),
        rule_set("move", "uniqued", "site", 3.0),
        rule_set("charge", "non-replayable", "all", 9.0),
    ];
    Parameters::from([
        ("tier".into(), ParameterValue::Number(tier)),
        ("tiers".into(), ParameterValue::Number(3.0)),
        ("instances".into(), ParameterValue::Number(instances)),
        ("list_mode".into(), text("ask")),
        ("max_dispatches".into(), ParameterValue::Number(4.0)),
        ("may_recall".into(), ParameterValue::Flag(true)),
        ("cold".into(), ParameterValue::Duration(20_000 * MS)),
        ("cold_share".into(), ParameterValue::Number(0.2)),
        ("rule_sets".into(), ParameterValue::List(sets)),
    ])
}

impl TracedBalancer {
    /// An instance that knows these srvs: `name@site`, with `!` behind it when draining, `*` when just started.
    pub fn new(parameters: Parameters, srvs: &str) -> TracedBalancer {
        let now = 1_000_000 * MS;
        let balancer = Balancer::new(now, 7, parameters);
        let mut scene = TracedBalancer {
            balancer,
            now,
            reqs: BTreeMap::new(),
            trace: String::new(),
            work: None,
            come_back: 0,
        };
        scene.list(true, srvs);
        scene
    }

    pub fn list(&mut self, whole: bool, srvs: &str) {
        let listed = |entry: &str| {
            let (name, site) = entry.trim_end_matches(['!', '*']).split_once('@').expect("name@site");
            ListedEndpoint {
                name: name.into(),
                state: if entry.ends_with('!') { EndpointState::Draining } else { EndpointState::Up },
                started_at: entry.ends_with('*').then_some(self.now),
                weight: 1.0,
                site: site.into(),
                cell: 0,
            }
        };
        let entries: Vec<ListedEndpoint> = srvs.split_whitespace().map(listed).collect();
        self.balancer.handle_event(
            self.now,
            Event::EndpointsListed { is_complete: whole, is_stale: false, endpoints: &entries },
        );
    }

    pub fn pass(&mut self, ms: u64) -> &mut TracedBalancer {
        self.now += ms * MS;
        self
    }

    pub fn req(&mut self, id: u64, rule_set: &str) -> &mut TracedBalancer {
        self.take(id, rule_set, "")
    }

    pub fn of(&mut self, id: u64, customer: &str) -> &mut TracedBalancer {
        self.take(id, "read", customer)
    }

    fn take(&mut self, id: u64, rule_set: &str, customer: &str) -> &mut TracedBalancer {
        self.reqs.insert(
            id,
            RequestContext {
                id,
                rule_set: rule_set.into(),
                customer: customer.into(),
                is_client_retry: false,
                received_at: self.now,
                deadline: self.now + 3_000 * MS,
                body_pending: false,
                expected_cost: self.work,
                preferred_endpoint: None,
                dispatches: Vec::new(),
            },
        );
        self.place(id)
    }

    pub fn place(&mut self, id: u64) -> &mut TracedBalancer {
        let req = self.reqs.get_mut(&id).expect("a req in hand");
        let what = match self.balancer.route(self.now, req) {
            RoutingDecision::Send { endpoint: srv, .. } => format!("to {srv}"),
            RoutingDecision::Wait { until: ask_at } => format!("later, in {} ms", (ask_at - self.now) / MS),
            RoutingDecision::Deny { retry_after: come_back } => {
                self.come_back = come_back;
                "deny".into()
            }
            RoutingDecision::Abort => "abort".into(),
        };
        self.say(&format!("{id}: {what}"))
    }

    /// Whether a req has a dispatch.
    pub fn holds(&self, id: u64) -> bool {
        self.reqs.get(&id).is_some_and(|req| !req.dispatches.is_empty())
    }

    /// Another instance has seen this.
    pub fn others(&mut self, srv: &str, how: DispatchOutcome) -> &mut TracedBalancer {
        self.others_of("charge", srv, how)
    }

    pub fn others_of(&mut self, rule_set: &str, srv: &str, how: DispatchOutcome) -> &mut TracedBalancer {
        self.balancer
            .handle_event(self.now, Event::PeerDispatchEnded { endpoint: srv, rule_set, outcome: how });
        self
    }

    /// Whether a dispatch of it is out.
    pub fn holds_out(&self, id: u64) -> bool {
        self.reqs
            .get(&id)
            .and_then(|req| req.dispatches.last())
            .is_some_and(|dispatch| dispatch.outcome.is_none())
    }

    /// Ends a req's last dispatch, and places it again where that follows.
    pub fn end(&mut self, id: u64, how: DispatchOutcome) -> &mut TracedBalancer {
        if self.fail(id, how) == NextStep::Route { self.place(id) } else { self }
    }

    /// Ends a req's last dispatch and leaves what follows to be done.
    pub fn fail(&mut self, id: u64, how: DispatchOutcome) -> NextStep {
        let req = self.reqs.get_mut(&id).expect("a req in hand");
        let number = req.dispatches.len() - 1;
        let took = self.now - req.dispatches[number].sent_at;
        let closed = how == DispatchOutcome::Done;
        let outcome = Event::DispatchEnded {
            request: req,
            dispatch_index: number,
            outcome: how,
            duration: took,
            is_final: closed,
            load_report: &[],
        };
        let follow = self.balancer.handle_event(self.now, outcome);
        if !closed {
            self.say(&format!("{id}: {how:?}"));
        }
        follow
    }

    /// Sends a req, and ends it well 100 ms later.
    pub fn done(&mut self, id: u64) -> &mut TracedBalancer {
        self.req(id, "read").pass(100).end(id, DispatchOutcome::Done)
    }

    /// Whether the last line of the trace is a dispatch to one of these srvs.
    pub fn went_to(&self, srvs: &[&str]) -> bool {
        srvs.iter().any(|srv| self.trace.ends_with(&format!("to {srv}\n")))
    }

    /// Done reqs that leave no trace, for a past.
    pub fn past(&mut self, number: u64) -> &mut TracedBalancer {
        let kept = self.trace.len();
        for id in 10_000..10_000 + number {
            self.done(id);
        }
        self.trace.truncate(kept);
        self
    }

    pub fn wait(&mut self) -> &mut TracedBalancer {
        loop {
            match self.balancer.next_action(self.now) {
                NextAction::SleepUntil(_) => return self,
                NextAction::Route(id) => self.place(id),
                NextAction::Log(line) => self.say(&format!("log: {line}")),
                NextAction::CancelDispatch(id, number) => {
                    self.say(&format!("recall {id}, dispatch {number}"))
                }
                chore => self.say(&format!("{chore:?}")),
            };
        }
    }

    fn say(&mut self, line: &str) -> &mut TracedBalancer {
        let at = (self.now - 1_000_000 * MS) / MS;
        writeln!(self.trace, "{at} {line}").expect("a String takes it");
        self
    }
}
