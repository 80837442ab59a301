//! Runs the policy for a protocol. [`PolicyRuntime`] owns the requests in flight and the times at which they are due
//! for routing again, lends them to the policy, and returns what the policy wants done as [`Action`]s. It does no I/O,
//! reads no clock and makes no decisions.

pub mod parameters;

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::{
    Balancer, DispatchOutcome, EndpointCounts, Event, Name, Nanos, NextAction, NextStep, RequestContext,
    RoutingDecision,
};

/// Something for the protocol to do. Actions are carried out in the order in which they are returned.
#[derive(Debug)]
pub enum Action {
    /// Send the request to the endpoint; `dispatch_index` counts the dispatches of the request from 0.
    Send {
        request_id: u64,
        dispatch_index: usize,
        endpoint: Name,
        give_up_at: Nanos,
    },
    /// Cancel a dispatch in flight.
    CancelDispatch {
        request_id: u64,
        dispatch_index: usize,
    },
    /// Answer that the request was not processed and may be retried after `retry_after`.
    Deny {
        request_id: u64,
        retry_after: Nanos,
    },
    /// Answer with an error; the request may have run.
    Abort {
        request_id: u64,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Fetch the endpoint list.
    FetchEndpoints,
    Probe(Name),
    CloseIdleConnections(Name),
    Log(String),
}

/// How a dispatch ended and how long it was in flight.
pub struct DispatchResult<'a> {
    pub outcome: DispatchOutcome,
    pub duration: Nanos,
    /// The request has its final answer, from this dispatch or from before.
    pub is_final: bool,
    /// The endpoint's load report, in the configured order.
    pub load_report: &'a [f64],
}

/// The policy with the requests that it is deciding on.
pub struct PolicyRuntime {
    balancer: Balancer,
    requests: BTreeMap<u64, ActiveRequest>,
    /// When each waiting request is due for routing, with its id.
    due: BTreeSet<(Nanos, u64)>,
    actions: Vec<Action>,
}

struct ActiveRequest {
    context: RequestContext,
    /// It has its final answer, or its client disconnected.
    is_closed: bool,
    /// The request's entry in [`PolicyRuntime::due`].
    due_at: Option<Nanos>,
}

impl PolicyRuntime {
    pub fn new(balancer: Balancer) -> PolicyRuntime {
        PolicyRuntime { balancer, requests: BTreeMap::new(), due: BTreeSet::new(), actions: Vec::new() }
    }

    /// Sets the retry budget, as [`Balancer::set_retry_budget`] does.
    pub fn set_retry_budget(&mut self, ratio: f64, floor: f64) {
        self.balancer.set_retry_budget(ratio, floor);
    }

    /// Takes a new request and routes it. From here on it gets exactly one final answer.
    pub fn accept_request(&mut self, now: Nanos, context: RequestContext) {
        let id = context.id;
        self.requests.insert(id, ActiveRequest { context, is_closed: false, due_at: None });
        self.route(now, id);
    }

    /// The last byte of a request whose body was pending is on its way to the endpoint of this dispatch.
    pub fn handle_request_sent(&mut self, now: Nanos, id: u64, dispatch_index: usize) {
        if let Some(request) = self.requests.get(&id) {
            self.balancer.handle_event(now, Event::RequestSent { request: &request.context, dispatch_index });
        }
    }

    /// A dispatch ended. Ignored if the request is unknown or the dispatch has ended before.
    pub fn handle_dispatch_ended(
        &mut self,
        now: Nanos,
        id: u64,
        dispatch_index: usize,
        result: DispatchResult,
    ) {
        let DispatchResult { outcome, duration, is_final, load_report } = result;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let dispatch = request.context.dispatches.get(dispatch_index);
        if dispatch.is_none_or(|dispatch| dispatch.outcome.is_some()) {
            return;
        }
        let is_final = is_final || request.is_closed;
        let next_step = self.balancer.handle_event(
            now,
            Event::DispatchEnded {
                request: &mut request.context,
                dispatch_index,
                outcome,
                duration,
                is_final,
                load_report,
            },
        );
        request.is_closed = is_final;
        self.take_next_step(now, id, next_step);
        self.remove_if_finished(id);
    }

    /// The client disconnected; the request gets no answer.
    pub fn handle_client_disconnected(&mut self, now: Nanos, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_closed) else { return };
        let next_step =
            self.balancer.handle_event(now, Event::ClientDisconnected { request: &mut request.context });
        self.close_request(id);
        self.take_next_step(now, id, next_step);
        self.remove_if_finished(id);
    }

    /// Passes on an event that concerns no request of this instance.
    pub fn handle_event(&mut self, now: Nanos, event: Event) {
        self.balancer.handle_event(now, event);
    }

    /// Routes the requests that are due and collects the policy's other actions. Returns the time by which it must be
    /// called again.
    pub fn run_due_work(&mut self, now: Nanos) -> Nanos {
        while let Some(&(due_at, id)) = self.due.first().filter(|(due_at, _)| *due_at <= now) {
            self.due.remove(&(due_at, id));
            self.route(now, id);
        }
        let sleep_until = loop {
            match self.balancer.next_action(now) {
                NextAction::WatchEndpoints => self.actions.push(Action::WatchEndpoints),
                NextAction::FetchEndpoints => self.actions.push(Action::FetchEndpoints),
                NextAction::Probe(endpoint) => self.actions.push(Action::Probe(endpoint)),
                NextAction::CloseIdleConnections(endpoint) => {
                    self.actions.push(Action::CloseIdleConnections(endpoint))
                }
                NextAction::Log(line) => self.actions.push(Action::Log(line)),
                NextAction::CancelDispatch(id, dispatch_index) => {
                    self.take_next_step(now, id, NextStep::CancelDispatch(dispatch_index))
                }
                NextAction::Route(id) => self.route(now, id),
                NextAction::SleepUntil(until) => break until,
            }
        };
        self.due.first().map_or(sleep_until, |(due_at, _)| sleep_until.min(*due_at))
    }

    pub fn count_endpoints(&self) -> EndpointCounts {
        self.balancer.count_endpoints()
    }

    /// Returns the actions collected since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether the request has no final answer yet or a dispatch in flight.
    pub fn has_request(&self, id: u64) -> bool {
        self.requests.contains_key(&id)
    }

    fn route(&mut self, now: Nanos, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_closed) else { return };
        if let Some(due_at) = request.due_at.take() {
            self.due.remove(&(due_at, id));
        }
        match self.balancer.route(now, &mut request.context) {
            RoutingDecision::Send { endpoint, give_up_at } => {
                let dispatch_index = request.context.dispatches.len() - 1;
                self.actions.push(Action::Send { request_id: id, dispatch_index, endpoint, give_up_at });
            }
            RoutingDecision::Wait { until } => {
                let due_at = until.max(now + 1);
                request.due_at = Some(due_at);
                self.due.insert((due_at, id));
            }
            RoutingDecision::Deny { retry_after } => {
                self.answer(id, Action::Deny { request_id: id, retry_after })
            }
            RoutingDecision::Abort => self.answer(id, Action::Abort { request_id: id }),
        }
    }

    fn answer(&mut self, id: u64, action: Action) {
        self.close_request(id);
        self.actions.push(action);
        self.remove_if_finished(id);
    }

    fn take_next_step(&mut self, now: Nanos, id: u64, next_step: NextStep) {
        match next_step {
            NextStep::Nothing => {}
            NextStep::Route => self.route(now, id),
            NextStep::CancelDispatch(dispatch_index) => {
                self.actions.push(Action::CancelDispatch { request_id: id, dispatch_index })
            }
        }
    }

    fn close_request(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_closed = true;
        if let Some(due_at) = request.due_at.take() {
            self.due.remove(&(due_at, id));
        }
    }

    /// Removes a closed request once none of its dispatches is in flight.
    fn remove_if_finished(&mut self, id: u64) {
        let has_dispatch_in_flight = |request: &ActiveRequest| {
            request.context.dispatches.iter().any(|dispatch| dispatch.outcome.is_none())
        };
        if self.requests.get(&id).is_some_and(|request| request.is_closed && !has_dispatch_in_flight(request))
        {
            self.requests.remove(&id);
        }
    }
}
