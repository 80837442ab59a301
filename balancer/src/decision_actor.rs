//! The decision actor: it owns the decision module with the requests in flight, and passes the module's
//! decisions on to endpoint pools and the discovery client.
//!
//! It decides nothing itself and never waits for a pool: a dispatch that a full mailbox refuses counts as not
//! sent.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use hyper::Response;
use ochreshed::{Balancer, DispatchOutcome, Event, ListedEndpoint, Name, Nanos, RequestContext};
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};
use ochreshed_replica::outcomes::OutcomeCounts;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tower::Service;
use tracing::info;

use crate::body::{RequestMessage, ResponseBody};
use crate::clock::Clock;
use crate::discovery::{DiscoveryCommand, EndpointEntry};
use crate::endpoint_pool::{self, PoolCommand, PoolContext, PoolDispatch};

pub enum DecisionEvent {
    NewRequest {
        request: RequestContext,
        message: Arc<RequestMessage>,
        reply: oneshot::Sender<FinalAnswer>,
    },
    /// The client of this request has disconnected.
    ClientDisconnected(u64),
    /// The last byte of a large request body has arrived and is on its way to the endpoint.
    RequestSent {
        id: u64,
        dispatch_index: usize,
    },
    DispatchEnded {
        id: u64,
        dispatch_index: usize,
        outcome: DispatchOutcome,
        at: Nanos,
        /// How long the body took to arrive, if it was waited for.
        body_time: Nanos,
        response: Option<Response<ResponseBody>>,
    },
    ProbeEnded {
        endpoint: Name,
        outcome: DispatchOutcome,
        duration: Nanos,
    },
    ListUpdate {
        is_complete: bool,
        is_stale: bool,
        /// Discovery's version of the list, for the fleet.
        version: u64,
        entries: Vec<EndpointEntry>,
    },
    ListFailed,
    /// Outcomes that other instances of the fleet have seen at an endpoint.
    PeerOutcomes {
        endpoint: Name,
        rule_set: Name,
        outcome: DispatchOutcome,
        count: u16,
    },
}

/// Dispatch outcomes seen here by endpoint and rule set, for the other instances; recorded only in a fleet.
pub type ObservedOutcomes = Arc<Mutex<HashMap<(Name, Name), OutcomeCounts>>>;

/// The one final answer to a request.
pub enum FinalAnswer {
    Response(Response<ResponseBody>),
    Denied { retry_after: Nanos },
    Aborted,
}

/// A request for the module and the message to forward. The actor's service assigns the id.
pub type DecisionRequest = (RequestContext, RequestMessage);

/// The decisions as a service, independent of the client protocol.
#[derive(Clone)]
pub struct DecisionService {
    events: mpsc::Sender<DecisionEvent>,
    next_id: Arc<AtomicU64>,
}

impl DecisionService {
    pub fn new(events: mpsc::Sender<DecisionEvent>) -> DecisionService {
        DecisionService { events, next_id: Arc::default() }
    }
}

/// Reports that a client has disconnected if it is dropped before the answer arrives. Its place in the
/// mailbox is reserved from the start, so that the event is not lost when the mailbox is full.
struct DisconnectNotice(Option<(OwnedPermit<DecisionEvent>, u64)>);

impl Drop for DisconnectNotice {
    fn drop(&mut self) {
        if let Some((permit, id)) = self.0.take() {
            permit.send(DecisionEvent::ClientDisconnected(id));
        }
    }
}

impl Service<DecisionRequest> for DecisionService {
    type Response = FinalAnswer;
    type Error = &'static str;
    type Future = Pin<Box<dyn Future<Output = Result<FinalAnswer, &'static str>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), &'static str>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (mut request, message): DecisionRequest) -> Self::Future {
        let (events, id) = (self.events.clone(), self.next_id.fetch_add(1, Relaxed));
        request.id = id;
        Box::pin(async move {
            const ACTOR_ENDED: &str = "the module has ended";
            let permit = events.clone().reserve_owned().await.map_err(|_| ACTOR_ENDED)?;
            let (reply, answer) = oneshot::channel();
            let new_request = DecisionEvent::NewRequest { request, message: Arc::new(message), reply };
            events.send(new_request).await.map_err(|_| ACTOR_ENDED)?;
            let mut notice = DisconnectNotice(Some((permit, id)));
            let answer = answer.await.map_err(|_| ACTOR_ENDED);
            notice.0 = None;
            answer
        })
    }
}

/// What is kept of a request besides what the module needs.
struct PendingRequest {
    message: Arc<RequestMessage>,
    run_once: bool,
    reply: Option<oneshot::Sender<FinalAnswer>>,
    sent_at: Nanos,
    cancel: Option<oneshot::Sender<()>>,
    /// The endpoint of its last dispatch and its rule set, if outcomes are recorded.
    last_dispatch: Option<(Name, Name)>,
    rule_set: Name,
}

/// The maximum number of endpoint and rule set pairs recorded at once; the fleet actor collects them ten
/// times a second.
const MAX_OBSERVED_PAIRS: usize = 1_000;
const PROBE_TIMEOUT: Nanos = 1_000_000_000;

/// Records an outcome for the other instances.
fn record_outcome(
    observed: &ObservedOutcomes,
    (endpoint, rule_set): (Name, Name),
    outcome: DispatchOutcome,
    client_left: bool,
) {
    let mut all = observed.lock().unwrap_or_else(PoisonError::into_inner);
    let key = (endpoint, rule_set);
    if all.len() >= MAX_OBSERVED_PAIRS && !all.contains_key(&key) {
        return;
    }
    let counts = all.entry(key).or_default();
    let count = match outcome {
        DispatchOutcome::Done => &mut counts.succeeded,
        DispatchOutcome::Error => &mut counts.failed,
        DispatchOutcome::NoConnection | DispatchOutcome::Reset | DispatchOutcome::TimedOut => {
            &mut counts.lost
        }
        // Cancelled because the endpoint's zone has stopped answering here.
        DispatchOutcome::Cancelled if !client_left => &mut counts.lost,
        DispatchOutcome::Cancelled
        | DispatchOutcome::Full
        | DispatchOutcome::NotSent
        | DispatchOutcome::Rejected => return,
    };
    *count = count.saturating_add(1);
}

/// Where an endpoint is reached, and the mailbox of its pool once something has been sent there. Unused pools
/// end by themselves, so the cost of a long list depends on the endpoints in use.
struct EndpointHandle {
    address: SocketAddr,
    pool: Option<mpsc::Sender<PoolCommand>>,
}

pub struct DecisionActor {
    clock: Clock,
    runtime: PolicyRuntime,
    /// The rule sets whose requests must not run twice.
    run_once_rule_sets: HashSet<Name>,
    pending: HashMap<u64, PendingRequest>,
    /// Requests that may have ended.
    maybe_ended: Vec<u64>,
    endpoints: HashMap<Name, EndpointHandle>,
    pool_context: PoolContext,
    discovery: mpsc::Sender<DiscoveryCommand>,
    /// Notified once, when the first list arrives that is newer than the start.
    first_fresh_list: Option<oneshot::Sender<()>>,
    observed: Option<ObservedOutcomes>,
}

impl DecisionActor {
    pub fn new(
        balancer: Balancer,
        run_once_rule_sets: HashSet<Name>,
        pool_context: PoolContext,
        discovery: mpsc::Sender<DiscoveryCommand>,
        first_fresh_list: oneshot::Sender<()>,
        observed: Option<ObservedOutcomes>,
    ) -> DecisionActor {
        let (clock, runtime) = (pool_context.clock, PolicyRuntime::new(balancer));
        DecisionActor {
            clock,
            runtime,
            run_once_rule_sets,
            pending: HashMap::new(),
            maybe_ended: Vec::new(),
            endpoints: HashMap::new(),
            pool_context,
            discovery,
            first_fresh_list: Some(first_fresh_list),
            observed,
        }
    }

    pub async fn run(mut self, mut events: mpsc::Receiver<DecisionEvent>) {
        loop {
            let wake_at = self.run_decisions();
            tokio::select! {
                biased;
                event = events.recv() => {
                    let Some(event) = event else { return };
                    self.handle(event);
                    // Events that arrived together are handled before the next decisions.
                    while let Ok(event) = events.try_recv() {
                        self.handle(event);
                    }
                }
                () = sleep_until(self.clock.instant(wake_at)) => {}
            }
        }
    }

    fn handle(&mut self, event: DecisionEvent) {
        let now = self.clock.now();
        match event {
            DecisionEvent::NewRequest { request, message, reply } => {
                let run_once = self.run_once_rule_sets.contains(&request.rule_set);
                let rule_set = request.rule_set.clone();
                let reply = Some(reply);
                let pending = PendingRequest {
                    message,
                    run_once,
                    reply,
                    sent_at: now,
                    cancel: None,
                    last_dispatch: None,
                    rule_set,
                };
                self.pending.insert(request.id, pending);
                self.runtime.accept_request(now, request);
            }
            DecisionEvent::ClientDisconnected(id) => {
                self.runtime.handle_client_disconnected(now, id);
                self.maybe_ended.push(id);
            }
            DecisionEvent::RequestSent { id, dispatch_index } => {
                self.runtime.handle_request_sent(now, id, dispatch_index)
            }
            DecisionEvent::DispatchEnded { id, dispatch_index, outcome, at, body_time, response } => {
                let Some(pending) = self.pending.get_mut(&id) else { return };
                let duration = at.saturating_sub(pending.sent_at + body_time);
                pending.cancel = None;
                if let (Some(observed), Some(dispatch)) = (&self.observed, pending.last_dispatch.take()) {
                    // A dispatch that its client abandoned says nothing about the endpoint.
                    let client_left = pending.reply.as_ref().is_none_or(oneshot::Sender::is_closed);
                    record_outcome(observed, dispatch, outcome, client_left);
                }
                if let Some(response) = response {
                    pending.answer(FinalAnswer::Response(response));
                }
                let result = DispatchResult {
                    outcome,
                    duration,
                    is_final: outcome == DispatchOutcome::Done,
                    load_report: &[],
                };
                self.runtime.handle_dispatch_ended(now, id, dispatch_index, result);
                self.maybe_ended.push(id);
            }
            DecisionEvent::ProbeEnded { endpoint, outcome, duration } => {
                self.runtime.handle_event(
                    now,
                    Event::ProbeEnded { endpoint: &endpoint, outcome, duration, load_report: &[] },
                );
            }
            DecisionEvent::ListUpdate { is_complete, is_stale, entries, .. } => {
                self.apply_list(now, is_complete, is_stale, entries);
            }
            DecisionEvent::ListFailed => self.runtime.handle_event(now, Event::EndpointListFailed),
            DecisionEvent::PeerOutcomes { endpoint, rule_set, outcome, count } => {
                for _ in 0..count {
                    self.runtime.handle_event(
                        now,
                        Event::PeerDispatchEnded { endpoint: &endpoint, rule_set: &rule_set, outcome },
                    );
                }
            }
        }
    }

    fn apply_list(&mut self, now: Nanos, is_complete: bool, is_stale: bool, entries: Vec<EndpointEntry>) {
        if is_complete {
            let listed: HashSet<&Name> = entries.iter().map(|(listed, _)| &listed.name).collect();
            self.endpoints.retain(|name, _| listed.contains(name));
        }
        for (listed, address) in &entries {
            if listed.state == ochreshed::EndpointState::Gone {
                self.endpoints.remove(&listed.name);
            } else if self.endpoints.get(&listed.name).is_none_or(|endpoint| endpoint.address != *address) {
                self.endpoints.insert(listed.name.clone(), EndpointHandle { address: *address, pool: None });
            }
        }
        if !is_stale && let Some(first_fresh_list) = self.first_fresh_list.take() {
            // Nobody waits for it at an ordinary start.
            let _ = first_fresh_list.send(());
        }
        let entries: Vec<ListedEndpoint> = entries.into_iter().map(|(listed, _)| listed).collect();
        self.runtime.handle_event(now, Event::EndpointsListed { is_complete, is_stale, endpoints: &entries });
    }

    /// Carries out the module's decisions and returns when it is to be called again.
    fn run_decisions(&mut self) -> Nanos {
        loop {
            let now = self.clock.now();
            let wake_at = self.runtime.run_due_work(now);
            let mut unsent = Vec::new();
            for action in self.runtime.take_actions() {
                self.perform(now, action, &mut unsent);
            }
            if unsent.is_empty() {
                self.remove_ended();
                let counts = self.runtime.count_endpoints();
                self.pool_context.metrics.set_server_counts(counts.listed, counts.avoided);
                return wake_at;
            }
            for (id, dispatch_index) in unsent {
                let result = DispatchResult {
                    outcome: DispatchOutcome::NotSent,
                    duration: 0,
                    is_final: false,
                    load_report: &[],
                };
                self.runtime.handle_dispatch_ended(now, id, dispatch_index, result);
            }
        }
    }

    fn perform(&mut self, now: Nanos, action: Action, unsent: &mut Vec<(u64, usize)>) {
        match action {
            Action::Send { request_id, dispatch_index, endpoint, give_up_at } => {
                if !self.send_dispatch(now, request_id, dispatch_index, &endpoint, give_up_at) {
                    unsent.push((request_id, dispatch_index));
                }
            }
            Action::CancelDispatch { request_id, .. } => {
                let cancel = self.pending.get_mut(&request_id).and_then(|pending| pending.cancel.take());
                // A dispatch that has just ended needs no cancellation.
                cancel.map(|cancel| cancel.send(()));
            }
            Action::Deny { request_id, retry_after } => {
                self.answer(request_id, FinalAnswer::Denied { retry_after });
            }
            Action::Abort { request_id } => self.answer(request_id, FinalAnswer::Aborted),
            // A full mailbox already holds commands that fetch the list.
            Action::WatchEndpoints => drop(self.discovery.try_send(DiscoveryCommand::Watch)),
            Action::FetchEndpoints => drop(self.discovery.try_send(DiscoveryCommand::Fetch)),
            Action::Probe(endpoint) => {
                // A full mailbox may drop it, like any other command to a pool.
                let _ = self.send_to_pool(&endpoint, PoolCommand::Probe(now + PROBE_TIMEOUT));
            }
            Action::CloseIdleConnections(endpoint) => self.close_idle(&endpoint),
            Action::Log(line) => info!("{line}"),
        }
    }

    fn send_dispatch(
        &mut self,
        now: Nanos,
        id: u64,
        dispatch_index: usize,
        endpoint: &Name,
        give_up_at: Nanos,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let (cancel, cancelled) = oneshot::channel();
        let (message, run_once) = (pending.message.clone(), pending.run_once);
        let dispatch = PoolDispatch { id, dispatch_index, give_up_at, message, run_once, cancelled };
        (pending.sent_at, pending.cancel) = (now, Some(cancel));
        pending.last_dispatch = self.observed.as_ref().map(|_| (endpoint.clone(), pending.rule_set.clone()));
        self.send_to_pool(endpoint, PoolCommand::Send(dispatch))
    }

    /// Sends a command to an endpoint's pool. Starts the pool if there is none yet, or if the last one has
    /// ended unused.
    fn send_to_pool(&mut self, endpoint: &Name, mut command: PoolCommand) -> bool {
        let Some(handle) = self.endpoints.get_mut(endpoint) else { return false };
        if let Some(pool) = &handle.pool {
            match pool.try_send(command) {
                Ok(()) => return true,
                Err(TrySendError::Full(_)) => return false,
                Err(TrySendError::Closed(returned)) => command = returned,
            }
        }
        let context = self.pool_context.clone();
        let pool = handle.pool.insert(endpoint_pool::spawn(endpoint.clone(), handle.address, context));
        pool.try_send(command).is_ok()
    }

    fn close_idle(&self, endpoint: &Name) {
        if let Some(EndpointHandle { pool: Some(pool), .. }) = self.endpoints.get(endpoint) {
            // A full mailbox may drop it: closing idle connections is optional.
            let _ = pool.try_send(PoolCommand::CloseIdle);
        }
    }

    fn answer(&mut self, id: u64, answer: FinalAnswer) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.answer(answer);
        }
        self.maybe_ended.push(id);
    }

    /// Removes ended requests after all decisions about them have been carried out. Removing one earlier
    /// would drop the reply channel of a denied request, and the client would be told that its request may
    /// have run.
    fn remove_ended(&mut self) {
        for id in self.maybe_ended.drain(..) {
            if !self.runtime.has_request(id) {
                self.pending.remove(&id);
            }
        }
    }
}

impl PendingRequest {
    fn answer(&mut self, answer: FinalAnswer) {
        if let Some(reply) = self.reply.take() {
            // Nobody listens once the client has disconnected.
            let _ = reply.send(answer);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use ochreshed::Parameters;
    use tokio::sync::Semaphore;

    use super::*;
    use crate::metrics::Metrics;

    fn actor() -> DecisionActor {
        let (decisions, _) = mpsc::channel(8);
        let (discovery, _) = mpsc::channel(8);
        let pool_context = PoolContext {
            clock: Clock::new(),
            decisions,
            connection_permits: Arc::new(Semaphore::new(8)),
            reuse_failures: Arc::default(),
            response_memory: Arc::new(Semaphore::new(8)),
            min_spare_permits: 2,
            connect_timeout: Duration::from_millis(100),
            idle_timeout: 1_000_000_000,
            metrics: Metrics::new([]),
        };
        DecisionActor::new(
            Balancer::new(1, 1, Parameters::new()),
            HashSet::new(),
            pool_context,
            discovery,
            oneshot::channel().0,
            None,
        )
    }

    fn listed(number: u64) -> EndpointEntry {
        let name = format!("s{number}").into();
        let (state, started_at, site) = (ochreshed::EndpointState::Up, None, "x".into());
        let listed = ListedEndpoint { name, state, started_at, weight: 1.0, site, cell: 0 };
        (listed, SocketAddr::from(([127, 0, 0, 1], 9)))
    }

    #[tokio::test]
    async fn endpoints_that_change_address_or_reuse_one_get_new_pools() {
        let mut actor = actor();
        let at = |number: u64, port: u16| (listed(number).0, SocketAddr::from(([127, 0, 0, 1], port)));
        actor.apply_list(2, true, false, vec![at(1, 9), at(2, 10)]);
        let probe = || PoolCommand::Probe(3);
        assert!(actor.send_to_pool(&"s1".into(), probe()) && actor.send_to_pool(&"s2".into(), probe()));
        let first = actor.endpoints["s2"].pool.clone().expect("a pool");
        // s1 has gone and s3 has its address; s2 has a new address.
        actor.apply_list(3, true, false, vec![at(3, 9), at(2, 11)]);
        assert!(!actor.send_to_pool(&"s1".into(), probe()), "a command to an endpoint that has gone");
        assert!(actor.send_to_pool(&"s3".into(), probe()) && actor.send_to_pool(&"s2".into(), probe()));
        let second = actor.endpoints["s2"].pool.clone().expect("a pool");
        assert!(!second.same_channel(&first), "the pool of the previous address");
    }

    #[tokio::test(start_paused = true)]
    async fn an_unused_pool_ends_and_is_started_again_on_use() {
        let mut actor = actor();
        actor.apply_list(2, true, false, (0..100).map(listed).collect());
        assert!(actor.endpoints.values().all(|endpoint| endpoint.pool.is_none()), "a pool that nobody uses");
        let (endpoint, probe) = ("s7".into(), || PoolCommand::Probe(3));
        assert!(actor.send_to_pool(&endpoint, probe()));
        let first = actor.endpoints["s7"].pool.clone().expect("a pool");
        tokio::time::sleep(Duration::from_secs(29)).await;
        assert!(!first.is_closed());
        assert!(
            actor.send_to_pool(&endpoint, probe())
                && actor.endpoints["s7"].pool.as_ref().is_some_and(|pool| pool.same_channel(&first))
        );
        tokio::time::sleep(Duration::from_secs(29)).await;
        assert!(!first.is_closed());
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(first.is_closed());
        assert!(actor.send_to_pool(&endpoint, probe()));
        assert!(
            actor.endpoints["s7"].pool.as_ref().is_some_and(|pool| !pool.is_closed()),
            "a command to a pool that has ended"
        );
        assert_eq!(actor.endpoints.values().filter(|endpoint| endpoint.pool.is_some()).count(), 1);
    }
}
