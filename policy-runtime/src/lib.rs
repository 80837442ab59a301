//! What every protocol's side of the decisions does alike: it keeps the reqs in hand and the times they are
//! asked for again, lends them to the module, and hands on what the module wants done as plain acts. It knows
//! no wire and no clock, and decides nothing.

pub mod parameters;

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::{
    Balancer, DispatchOutcome, EndpointCounts, Event, Name, Nanos, NextAction, NextStep, RequestContext,
    RoutingDecision,
};

/// Something for the protocol's side to do, in the order given.
#[derive(Debug)]
pub enum Action {
    /// Send a req to a srv; `dispatch_index` counts its dispatches from 0.
    Send {
        request_id: u64,
        dispatch_index: usize,
        endpoint: Name,
        give_up_at: Nanos,
    },
    /// Stop waiting for a dispatch.
    CancelDispatch {
        request_id: u64,
        dispatch_index: usize,
    },
    Deny {
        request_id: u64,
        retry_after: Nanos,
    },
    Abort {
        request_id: u64,
    },
    WatchEndpoints,
    FetchEndpoints,
    Probe(Name),
    /// Shut the idle connections to this srv.
    CloseIdleConnections(Name),
    Log(String),
}

/// How a dispatch ended, and how long it was out.
pub struct DispatchResult<'a> {
    pub outcome: DispatchOutcome,
    pub duration: Nanos,
    /// Its req has had its final answer, by this or before.
    pub is_final: bool,
    /// The srv's load report, in the order the facts name.
    pub load_report: &'a [f64],
}

pub struct PolicyRuntime {
    balancer: Balancer,
    reqs: BTreeMap<u64, Held>,
    due: BTreeSet<(Nanos, u64)>,
    acts: Vec<Action>,
}

struct Held {
    req: RequestContext,
    ended: bool,
    ask_at: Option<Nanos>,
}

impl PolicyRuntime {
    pub fn new(balancer: Balancer) -> PolicyRuntime {
        PolicyRuntime { balancer, reqs: BTreeMap::new(), due: BTreeSet::new(), acts: Vec::new() }
    }

    /// What may be sent again from now on, as `Balancer::set_retry_budget` has it.
    pub fn set_retry_budget(&mut self, ratio: f64, floor: f64) {
        self.balancer.set_retry_budget(ratio, floor);
    }

    /// A new req, which gets exactly one final answer from here on.
    pub fn accept_request(&mut self, now: Nanos, req: RequestContext) {
        let id = req.id;
        self.reqs.insert(id, Held { req, ended: false, ask_at: None });
        self.place(now, id);
    }

    /// The last byte of a req that was still coming is on its way to the srv of this dispatch.
    pub fn handle_request_sent(&mut self, now: Nanos, id: u64, number: usize) {
        if let Some(held) = self.reqs.get(&id) {
            self.balancer
                .handle_event(now, Event::RequestSent { request: &held.req, dispatch_index: number });
        }
    }

    /// A dispatch has ended.
    pub fn handle_dispatch_ended(&mut self, now: Nanos, id: u64, number: usize, result: DispatchResult) {
        let DispatchResult { outcome, duration, is_final, load_report } = result;
        let Some(held) = self.reqs.get_mut(&id) else { return };
        if held.req.dispatches.get(number).is_none_or(|d| d.outcome.is_some()) {
            return;
        }
        let is_final = is_final || held.ended;
        let req = &mut held.req;
        let follow = self.balancer.handle_event(
            now,
            Event::DispatchEnded {
                request: req,
                dispatch_index: number,
                outcome,
                duration,
                is_final,
                load_report,
            },
        );
        held.ended = is_final;
        self.follow(now, id, follow);
        self.forget(id);
    }

    /// The client has gone; no answer is owed.
    pub fn handle_client_disconnected(&mut self, now: Nanos, id: u64) {
        let Some(held) = self.reqs.get_mut(&id).filter(|held| !held.ended) else { return };
        let follow = self.balancer.handle_event(now, Event::ClientDisconnected { request: &mut held.req });
        self.end(id);
        self.follow(now, id, follow);
        self.forget(id);
    }

    /// News that are no req's: of the list, or of a probe.
    pub fn handle_event(&mut self, now: Nanos, event: Event) {
        self.balancer.handle_event(now, event);
    }

    /// Asks for what is due and does the chores; answers with the time to call this again at the latest.
    pub fn run_due_work(&mut self, now: Nanos) -> Nanos {
        while let Some(&(at, id)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.place(now, id);
        }
        let until = loop {
            match self.balancer.next_action(now) {
                NextAction::WatchEndpoints => self.acts.push(Action::WatchEndpoints),
                NextAction::FetchEndpoints => self.acts.push(Action::FetchEndpoints),
                NextAction::Probe(srv) => self.acts.push(Action::Probe(srv)),
                NextAction::CloseIdleConnections(srv) => self.acts.push(Action::CloseIdleConnections(srv)),
                NextAction::Log(line) => self.acts.push(Action::Log(line)),
                NextAction::CancelDispatch(id, number) => {
                    self.follow(now, id, NextStep::CancelDispatch(number))
                }
                NextAction::Route(id) => self.place(now, id),
                NextAction::SleepUntil(until) => break until,
            }
        };
        self.due.first().map_or(until, |(at, _)| until.min(*at))
    }

    /// How many srvs are listed, and how many of them are avoided now.
    pub fn count_endpoints(&self) -> EndpointCounts {
        self.balancer.count_endpoints()
    }

    /// What is to be done since this was last called.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }

    /// Whether a req still waits for its answer or for a dispatch that is out.
    pub fn has_request(&self, id: u64) -> bool {
        self.reqs.contains_key(&id)
    }

    fn place(&mut self, now: Nanos, id: u64) {
        let Some(held) = self.reqs.get_mut(&id).filter(|held| !held.ended) else { return };
        if let Some(at) = held.ask_at.take() {
            self.due.remove(&(at, id));
        }
        match self.balancer.route(now, &mut held.req) {
            RoutingDecision::Send { endpoint: srv, give_up_at: give_up } => {
                let number = held.req.dispatches.len() - 1;
                self.acts.push(Action::Send {
                    request_id: id,
                    dispatch_index: number,
                    endpoint: srv,
                    give_up_at: give_up,
                });
            }
            RoutingDecision::Wait { until: ask_at } => {
                let at = ask_at.max(now + 1);
                held.ask_at = Some(at);
                self.due.insert((at, id));
            }
            RoutingDecision::Deny { retry_after: come_back } => {
                self.answer(id, Action::Deny { request_id: id, retry_after: come_back })
            }
            RoutingDecision::Abort => self.answer(id, Action::Abort { request_id: id }),
        }
    }

    fn answer(&mut self, id: u64, act: Action) {
        self.end(id);
        self.acts.push(act);
        self.forget(id);
    }

    fn follow(&mut self, now: Nanos, id: u64, follow: NextStep) {
        match follow {
            NextStep::Nothing => {}
            NextStep::Route => self.place(now, id),
            NextStep::CancelDispatch(number) => {
                self.acts.push(Action::CancelDispatch { request_id: id, dispatch_index: number })
            }
        }
    }

    fn end(&mut self, id: u64) {
        let Some(held) = self.reqs.get_mut(&id) else { return };
        held.ended = true;
        if let Some(at) = held.ask_at.take() {
            self.due.remove(&(at, id));
        }
    }

    /// Drops an ended req once none of its dispatches is out.
    fn forget(&mut self, id: u64) {
        let out = |held: &Held| held.req.dispatches.iter().any(|d| d.outcome.is_none());
        if self.reqs.get(&id).is_some_and(|held| held.ended && !out(held)) {
            self.reqs.remove(&id);
        }
    }
}
