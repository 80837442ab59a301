//! What every protocol's side of the decisions does alike: it keeps the reqs in hand and the times they are
//! asked for again, lends them to the module, and hands on what the module wants done as plain acts. It knows
//! no wire and no clock, and decides nothing.

pub mod facts;

use std::collections::{BTreeMap, BTreeSet};

use ochreshed::{
    Balancer, DispatchOutcome, Event, Name, Nanos, NextAction, NextStep, RequestContext, RoutingDecision,
};

/// Something for the protocol's side to do, in the order given.
#[derive(Debug)]
pub enum Act {
    /// Send a req to a srv; `number` counts its dispatches from 0.
    Send {
        id: u64,
        number: usize,
        srv: Name,
        give_up: Nanos,
    },
    /// Stop waiting for a dispatch.
    Recall {
        id: u64,
        number: usize,
    },
    Deny {
        id: u64,
        come_back: Nanos,
    },
    Abort {
        id: u64,
    },
    Watch,
    List,
    Probe(Name),
    /// Shut the idle connections to this srv.
    Close(Name),
    Log(String),
}

/// How a dispatch ended, and how long it was out.
pub struct End<'a> {
    pub how: DispatchOutcome,
    pub took: Nanos,
    /// Its req has had its final answer, by this or before.
    pub closed: bool,
    /// The srv's load report, in the order the facts name.
    pub report: &'a [f64],
}

pub struct Hands {
    balancer: Balancer,
    reqs: BTreeMap<u64, Held>,
    due: BTreeSet<(Nanos, u64)>,
    acts: Vec<Act>,
}

struct Held {
    req: RequestContext,
    ended: bool,
    ask_at: Option<Nanos>,
}

impl Hands {
    pub fn new(balancer: Balancer) -> Hands {
        Hands { balancer, reqs: BTreeMap::new(), due: BTreeSet::new(), acts: Vec::new() }
    }

    /// What may be sent again from now on, as `Balancer::set_retry_budget` has it.
    pub fn allow(&mut self, part: f64, floor: f64) {
        self.balancer.set_retry_budget(part, floor);
    }

    /// A new req, which gets exactly one final answer from here on.
    pub fn take(&mut self, now: Nanos, req: RequestContext) {
        let id = req.id;
        self.reqs.insert(id, Held { req, ended: false, ask_at: None });
        self.place(now, id);
    }

    /// The last byte of a req that was still coming is on its way to the srv of this dispatch.
    pub fn written(&mut self, now: Nanos, id: u64, number: usize) {
        if let Some(held) = self.reqs.get(&id) {
            self.balancer
                .handle_event(now, Event::RequestSent { request: &held.req, dispatch_index: number });
        }
    }

    /// A dispatch has ended.
    pub fn ended(&mut self, now: Nanos, id: u64, number: usize, end: End) {
        let End { how, took, closed, report } = end;
        let Some(held) = self.reqs.get_mut(&id) else { return };
        if held.req.dispatches.get(number).is_none_or(|d| d.outcome.is_some()) {
            return;
        }
        let closed = closed || held.ended;
        let req = &mut held.req;
        let follow = self.balancer.handle_event(
            now,
            Event::DispatchEnded {
                request: req,
                dispatch_index: number,
                outcome: how,
                duration: took,
                is_final: closed,
                load_report: report,
            },
        );
        held.ended = closed;
        self.follow(now, id, follow);
        self.forget(id);
    }

    /// The client has gone; no answer is owed.
    pub fn left(&mut self, now: Nanos, id: u64) {
        let Some(held) = self.reqs.get_mut(&id).filter(|held| !held.ended) else { return };
        let follow = self.balancer.handle_event(now, Event::ClientDisconnected { request: &mut held.req });
        self.end(id);
        self.follow(now, id, follow);
        self.forget(id);
    }

    /// News that are no req's: of the list, or of a probe.
    pub fn news(&mut self, now: Nanos, outcome: Event) {
        self.balancer.handle_event(now, outcome);
    }

    /// Asks for what is due and does the chores; answers with the time to call this again at the latest.
    pub fn settle(&mut self, now: Nanos) -> Nanos {
        while let Some(&(at, id)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.place(now, id);
        }
        let until = loop {
            match self.balancer.next_action(now) {
                NextAction::WatchEndpoints => self.acts.push(Act::Watch),
                NextAction::FetchEndpoints => self.acts.push(Act::List),
                NextAction::Probe(srv) => self.acts.push(Act::Probe(srv)),
                NextAction::CloseIdleConnections(srv) => self.acts.push(Act::Close(srv)),
                NextAction::Log(line) => self.acts.push(Act::Log(line)),
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
    pub fn standing(&self) -> (usize, usize) {
        let counts = self.balancer.count_endpoints();
        (counts.listed, counts.avoided)
    }

    /// What is to be done since this was last called.
    pub fn acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    /// Whether a req still waits for its answer or for a dispatch that is out.
    pub fn holds(&self, id: u64) -> bool {
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
                self.acts.push(Act::Send { id, number, srv, give_up });
            }
            RoutingDecision::Wait { until: ask_at } => {
                let at = ask_at.max(now + 1);
                held.ask_at = Some(at);
                self.due.insert((at, id));
            }
            RoutingDecision::Deny { retry_after: come_back } => self.answer(id, Act::Deny { id, come_back }),
            RoutingDecision::Abort => self.answer(id, Act::Abort { id }),
        }
    }

    fn answer(&mut self, id: u64, act: Act) {
        self.end(id);
        self.acts.push(act);
        self.forget(id);
    }

    fn follow(&mut self, now: Nanos, id: u64, follow: NextStep) {
        match follow {
            NextStep::Nothing => {}
            NextStep::Route => self.place(now, id),
            NextStep::CancelDispatch(number) => self.acts.push(Act::Recall { id, number }),
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
