//! One balancer instance in simulated time, with its requests and a trace of its decisions.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write;

use ochreshed::*;

pub const MS: Nanos = 1_000_000;
const START: Nanos = 1_000_000 * MS;

pub struct TracedBalancer {
    pub policy: Balancer,
    now: Nanos,
    requests: BTreeMap<u64, RequestContext>,
    /// A line for each decision, after the milliseconds since the start.
    pub trace: String,
    /// The expected cost of the next requests.
    pub expected_cost: Option<Nanos>,
    /// The `retry_after` of the last denial.
    pub last_retry_after: Nanos,
}

/// Parameters with three rule sets: "read" is replayable, "move" may be repeated within its site, and "charge" must not run
/// twice.
pub fn parameters(tier: f64, instances: f64) -> Parameters {
    let text = |text: &str| ParameterValue::Text(text.into());
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
    let rule_sets = vec![
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
        ("rule_sets".into(), ParameterValue::List(rule_sets)),
    ])
}

impl TracedBalancer {
    /// An instance that knows these endpoints: `name@site`, followed by `!` if draining or `*` if just started.
    pub fn new(parameters: Parameters, endpoints: &str) -> TracedBalancer {
        let mut balancer = TracedBalancer {
            policy: Balancer::new(START, 7, parameters),
            now: START,
            requests: BTreeMap::new(),
            trace: String::new(),
            expected_cost: None,
            last_retry_after: 0,
        };
        balancer.apply_list(true, endpoints);
        balancer
    }

    pub fn apply_list(&mut self, is_complete: bool, endpoints: &str) {
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
        let endpoints: Vec<ListedEndpoint> = endpoints.split_whitespace().map(listed).collect();
        self.policy.handle_event(
            self.now,
            Event::EndpointsListed { is_complete, is_stale: false, endpoints: &endpoints },
        );
    }

    pub fn advance(&mut self, ms: u64) -> &mut TracedBalancer {
        self.now += ms * MS;
        self
    }

    pub fn submit(&mut self, id: u64, rule_set: &str) -> &mut TracedBalancer {
        self.submit_request(id, rule_set, "")
    }

    pub fn submit_read_of(&mut self, id: u64, customer: &str) -> &mut TracedBalancer {
        self.submit_request(id, "read", customer)
    }

    fn submit_request(&mut self, id: u64, rule_set: &str, customer: &str) -> &mut TracedBalancer {
        let request = RequestContext {
            id,
            rule_set: rule_set.into(),
            customer: customer.into(),
            is_client_retry: false,
            received_at: self.now,
            deadline: self.now + 3_000 * MS,
            body_pending: false,
            expected_cost: self.expected_cost,
            preferred_endpoint: None,
            dispatches: Vec::new(),
        };
        self.requests.insert(id, request);
        self.route(id)
    }

    pub fn route(&mut self, id: u64) -> &mut TracedBalancer {
        let request = self.requests.get_mut(&id).expect("a known request");
        let decision = match self.policy.route(self.now, request) {
            RoutingDecision::Send { endpoint, .. } => format!("to {endpoint}"),
            RoutingDecision::Wait { until } => format!("waits {} ms", (until - self.now) / MS),
            RoutingDecision::Deny { retry_after } => {
                self.last_retry_after = retry_after;
                "deny".into()
            }
            RoutingDecision::Abort => "abort".into(),
        };
        self.record(&format!("{id}: {decision}"))
    }

    pub fn was_sent(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.dispatches.is_empty())
    }

    /// Reports that another instance saw this outcome of a "charge" request.
    pub fn report_from_peer(&mut self, endpoint: &str, outcome: DispatchOutcome) -> &mut TracedBalancer {
        self.report_from_peer_of("charge", endpoint, outcome)
    }

    pub fn report_from_peer_of(
        &mut self,
        rule_set: &str,
        endpoint: &str,
        outcome: DispatchOutcome,
    ) -> &mut TracedBalancer {
        self.policy.handle_event(self.now, Event::PeerDispatchEnded { endpoint, rule_set, outcome });
        self
    }

    pub fn is_in_flight(&self, id: u64) -> bool {
        self.requests
            .get(&id)
            .and_then(|request| request.dispatches.last())
            .is_some_and(|dispatch| dispatch.outcome.is_none())
    }

    /// Ends the request's last dispatch, and routes the request again if the policy wants that.
    pub fn end(&mut self, id: u64, outcome: DispatchOutcome) -> &mut TracedBalancer {
        if self.end_without_routing(id, outcome) == NextStep::Route { self.route(id) } else { self }
    }

    /// Ends the request's last dispatch and returns the next step without taking it.
    pub fn end_without_routing(&mut self, id: u64, outcome: DispatchOutcome) -> NextStep {
        let request = self.requests.get_mut(&id).expect("a known request");
        let dispatch_index = request.dispatches.len() - 1;
        let duration = self.now - request.dispatches[dispatch_index].sent_at;
        let is_final = outcome == DispatchOutcome::Done;
        let event =
            Event::DispatchEnded { request, dispatch_index, outcome, duration, is_final, load_report: &[] };
        let next_step = self.policy.handle_event(self.now, event);
        if !is_final {
            self.record(&format!("{id}: {outcome:?}"));
        }
        next_step
    }

    /// Submits a "read" request that succeeds after 100 ms.
    pub fn run_read(&mut self, id: u64) -> &mut TracedBalancer {
        self.submit(id, "read").advance(100).end(id, DispatchOutcome::Done)
    }

    /// Whether the last line of the trace is a dispatch to one of these endpoints.
    pub fn was_last_sent_to(&self, endpoints: &[&str]) -> bool {
        endpoints.iter().any(|endpoint| self.trace.ends_with(&format!("to {endpoint}\n")))
    }

    /// Runs successful "read" requests without a trace, so that the policy has statistics.
    pub fn warm_up(&mut self, request_count: u64) -> &mut TracedBalancer {
        let trace_length = self.trace.len();
        for id in 10_000..10_000 + request_count {
            self.run_read(id);
        }
        self.trace.truncate(trace_length);
        self
    }

    /// Takes and traces the policy's next actions until there is nothing to do at this time.
    pub fn run_actions(&mut self) -> &mut TracedBalancer {
        loop {
            match self.policy.next_action(self.now) {
                NextAction::SleepUntil(_) => return self,
                NextAction::Route(id) => self.route(id),
                NextAction::Log(line) => self.record(&format!("log: {line}")),
                NextAction::CancelDispatch(id, dispatch_index) => {
                    self.record(&format!("cancel {id}, dispatch {dispatch_index}"))
                }
                action => self.record(&format!("{action:?}")),
            };
        }
    }

    fn record(&mut self, line: &str) -> &mut TracedBalancer {
        let elapsed_ms = (self.now - START) / MS;
        writeln!(self.trace, "{elapsed_ms} {line}").expect("writing to a String does not fail");
        self
    }
}
