//! The inbound proxy: the single entry point to the upstream on its node, and the source of that upstream's endpoint record.
//!
//! Request path: [`InboundProxy::handle_request`] receives requests from outbound proxies on other nodes, and
//! [`InboundProxy::forward`] those of this node's outbound proxy. `forward` checks that the request is addressed to the
//! current upstream incarnation, that the upstream accepts requests, and that the session's fencing token is current. It then
//! waits for a permit from the admission queue, exchanges the request with the upstream and verifies that the response
//! belongs to it. The outcome goes to the outlier detector and back to the outbound proxy.
//!
//! The upstream registers by heartbeats (`registration`, [`InboundProxy::handle_control_call`]). Other nodes learn of it through this node's
//! endpoint record ([`InboundProxy::endpoint_record`]).
//!
//! Main types: [`InboundProxy`], [`UpstreamOutcome`], `Upstream`, `AdmissionPermit`.
//!
//! Invariants:
//! - A request is sent to the upstream at most once.
//! - A request is sent only to the incarnation that it is addressed to, and not after that incarnation's drain period.
//! - An incarnation that is draining or has ended never serves again.
//! - A request that is reported as rejected, refused, not accepted, fenced, not connected or not sent has not run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::body::Body as _;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use ochreshed::Nanos;
use ochreshed_catalog::configuration::Name;
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest, MemberShare};
use ochreshed_traffic::outlier_detection::{OutlierDetector, RequestClass, RunOutcome};
use ochreshed_traffic::retry_shares::RetryShares;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout_at;

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::proxy::connection_limit::ConnectionLimit;
use crate::mesh::proxy::connection_pool::{ConnectionPool, ExchangeError, LargeResponseShaper, ResponseBody};
use crate::mesh::proxy::exchange_failures::ExchangeFailureCounts;
use crate::mesh::proxy::fencing::{FencingTable, FencingToken};
use crate::mesh::proxy::headers::{
    ATTEMPT_OUTCOME, CALLER_SERVICE, EXECUTION_STAMP, FENCING_TOKEN, NOT_RUN, REQUEST_ID, REQUEST_PARAMETERS,
    TARGET_UPSTREAM, TIME_LEFT_MS,
};
use crate::mesh::proxy::inbound::ignored_heartbeats::IgnoredHeartbeatCounts;
use crate::mesh::proxy::inbound::incarnation_history::IncarnationHistory;
use crate::mesh::proxy::inbound_request::{InboundRequest, MAX_TIME_LEFT_MS, RequestParameters};
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};
use crate::mesh::proxy::session_affinity::SessionTable;
use crate::mesh::proxy::tombstone_client::TombstoneClient;

/// Prefix of the outcome of a fenced request, followed by the term of the session's current owner.
const FENCED_PREFIX: &str = "fenced-";

mod heartbeat;
pub mod ignored_heartbeats;
mod incarnation_history;
mod registration;

const MS: Nanos = 1_000_000;
/// A draining upstream still gets requests that are already in transit, for the drain timeout divided by this.
const DRAIN_ACCEPT_DIVISOR: u32 = 2;
/// Time within which the body of a request from another node must have been received.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Separators in a request's id up to which the id of its run is searched for.
const MAX_ID_SEPARATORS: usize = 8;
/// Ids in control calls are truncated to this number of characters.
const MAX_SUBJECT_CHARS: usize = 256;
/// Estimated size of a message on the wire without its body.
const ESTIMATED_HEADER_BYTES: usize = 400;
/// Weight of the newest sample in the moving average of the size of large responses.
const LARGE_RESPONSE_SIZE_WEIGHT: f64 = 0.1;

/// Outcome of a request at an inbound proxy and its upstream.
pub enum UpstreamOutcome {
    /// The upstream ran the request, or rejected it permanently with a response of its own.
    Responded(Parts, ResponseBody),
    /// The upstream refused the request and stated that it has not run.
    RefusedByUpstream,
    /// The request was not admitted and never reached the upstream.
    Rejected,
    /// The incarnation that the request is addressed to is not the current one, has ended or is past its drain period; the
    /// request has not run.
    NotAccepting,
    /// Another outbound proxy has owned the session since this term; the request has not run.
    Fenced(u64),
    /// No connection to the upstream, or no byte of the request was written; it has not run.
    ConnectFailed,
    /// The deadline passed, or no connection was available, before a byte of the request was written; it has not run.
    NotSent,
    /// The request was sent at least in part and no valid response came: it may have run.
    Reset,
    /// The request was sent at least in part and its deadline passed: it may have run.
    TimedOut,
}

impl UpstreamOutcome {
    /// Name of the outcome in the header [`ATTEMPT_OUTCOME`]; that of a fenced request is sent as [`FENCED_PREFIX`] and the
    /// owner's term instead.
    pub fn wire_name(&self) -> &'static str {
        match self {
            UpstreamOutcome::Responded(..) => "ran",
            UpstreamOutcome::RefusedByUpstream => "full",
            UpstreamOutcome::Rejected => "turned",
            UpstreamOutcome::NotAccepting => "gone",
            UpstreamOutcome::Fenced(_) => "fenced",
            UpstreamOutcome::ConnectFailed => "unreachable",
            UpstreamOutcome::NotSent => "unsent",
            UpstreamOutcome::Reset => "reset",
            UpstreamOutcome::TimedOut => "late",
        }
    }

    /// The outcome that an inbound proxy on another node reported with this response. An unknown name, such as one from a
    /// newer build, counts as [`UpstreamOutcome::Reset`], since the request may have run.
    pub fn from_wire_name(name: &str, head: Parts, body: ResponseBody) -> UpstreamOutcome {
        match name {
            "ran" => UpstreamOutcome::Responded(head, body),
            "full" => UpstreamOutcome::RefusedByUpstream,
            "turned" => UpstreamOutcome::Rejected,
            "gone" => UpstreamOutcome::NotAccepting,
            name if name.starts_with(FENCED_PREFIX) => {
                UpstreamOutcome::Fenced(name[FENCED_PREFIX.len()..].parse().unwrap_or(0))
            }
            "unreachable" => UpstreamOutcome::ConnectFailed,
            "unsent" => UpstreamOutcome::NotSent,
            "late" => UpstreamOutcome::TimedOut,
            _ => UpstreamOutcome::Reset,
        }
    }
}

/// The upstream as of its last heartbeat, or as restored from the endpoint record after a restart.
#[derive(Clone, Debug)]
struct Upstream {
    /// Identifies this incarnation of the upstream.
    id: String,
    service: String,
    zone: String,
    software_version: String,
    concurrency_limit: u32,
    state: UpstreamState,
    /// Sequence number of the last heartbeat of this incarnation; earlier ones that arrive late are ignored.
    heartbeat_sequence: u64,
    /// Remaining warm-up time at `last_seen_at`, in ms.
    warming_up_ms: u64,
    last_seen_at: Nanos,
    /// Never cleared for the same incarnation.
    draining_since: Option<Nanos>,
    connections: Arc<ConnectionPool>,
}

struct ProxyState {
    upstream: Option<Upstream>,
    history: IncarnationHistory,
    /// Sequence number of this node's endpoint record, within `incarnation`.
    record_sequence: u64,
    /// Incarnation of this process.
    incarnation: u64,
}

/// Settings of an inbound proxy.
pub struct InboundSettings {
    /// Listen address; identifies the node in endpoint records.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub zone: String,
    /// Address of the upstream, if configured. Without it the upstream isn't probed after a start.
    pub upstream_address: Option<SocketAddr>,
    /// Longest time that an upstream takes to drain.
    pub drain_timeout: Duration,
    /// Most connections to the upstream.
    pub max_connections: usize,
    /// Most bytes of responses that are read from the upstream ahead of their clients.
    pub read_ahead_bytes: usize,
    /// Capacity of the node's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Client for the tombstones of the upstream's incarnations.
    pub tombstones: TombstoneClient,
}

/// The inbound proxy of one node.
pub struct InboundProxy {
    address: SocketAddr,
    zone: String,
    upstream_address: Option<SocketAddr>,
    clock: Clock,
    drain_timeout: Duration,
    state: Mutex<ProxyState>,
    connection_limit: ConnectionLimit,
    /// Requests that are queued or admitted, until their response has been read.
    unfinished_requests: AtomicUsize,
    /// Requests at the upstream, and those queued for admission.
    admission: Mutex<AdmissionQueue<QueuedRequest>>,
    /// Health of the upstream, derived from the outcomes of its requests.
    outlier_detector: Mutex<OutlierDetector>,
    /// Members' shares of the concurrency limit, from the configuration in force on this node.
    member_shares: ArcSwap<RetryShares>,
    /// Limits the rate of large responses to other nodes.
    large_response_shaper: Arc<LargeResponseShaper>,
    /// Moving average of the size of large responses, in bytes; 0 before the first.
    mean_large_bytes: Mutex<f64>,
    /// Requests for large responses to other nodes that are queued or running and have no response yet.
    pending_large: AtomicUsize,
    /// Budget in bytes for responses that are read ahead of their clients.
    read_ahead: Arc<Semaphore>,
    /// The upstream has called other services since this process started.
    calls_services: AtomicBool,
    /// Ids of the requests that are queued or running, and whether each is a retry.
    active_requests: Mutex<HashMap<Vec<u8>, bool>>,
    /// This node accepts clients; false while it shuts down.
    pub accepts_clients: AtomicBool,
    /// Notified whenever the endpoint record has changed.
    pub record_changes: tokio::sync::Notify,
    /// Sessions that the outbound proxy of this node owns. They are kept here because other nodes request their handover
    /// through the inbound proxy.
    pub sessions: SessionTable,
    /// The latest owners of sessions that this inbound proxy has seen.
    pub fencing_table: FencingTable,
    /// Failed exchanges with the upstream.
    pub upstream_failures: Arc<ExchangeFailureCounts>,
    /// Heartbeats that were acknowledged and changed nothing.
    pub ignored_heartbeats: IgnoredHeartbeatCounts,
    /// The control plane's record of incarnations that drain or have ended.
    tombstones: TombstoneClient,
}

/// The right to run one request at the upstream. It is dropped when the response has arrived or the request is abandoned,
/// and dropping it admits the next request.
struct AdmissionPermit {
    proxy: Arc<InboundProxy>,
    /// When the request was sent to the upstream; 0 until then. A permit that was never used doesn't count towards the mean
    /// run time.
    started_at: Nanos,
    /// The member whose share the permit counts against; none on a route of the platform.
    member: Option<Name>,
}

/// A request that waits for a permit.
struct QueuedRequest {
    waiter: oneshot::Sender<AdmissionPermit>,
    /// The member whose share the permit will count against.
    member: Option<Name>,
}

/// The permit of a request, or the request's place in the admission queue.
enum PermitState {
    Granted(AdmissionPermit),
    Queued { expires_at: Nanos, permit: oneshot::Receiver<AdmissionPermit> },
}

/// Estimated times of a large response to another node.
#[derive(Default)]
struct LinkDelay {
    /// How long the link is busy with earlier responses.
    wait: Nanos,
    transfer_time: Nanos,
}

/// A permit that has been granted and not yet delivered to its request.
struct GrantedPermit {
    waiter: oneshot::Sender<AdmissionPermit>,
    permit: AdmissionPermit,
}

impl GrantedPermit {
    /// Must be called without the lock on the admission queue: if the request was cancelled, its permit is dropped here,
    /// which takes the lock.
    fn deliver(self) {
        drop(self.waiter.send(self.permit));
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.proxy.clock.now();
        let mut admission = lock(&self.proxy.admission);
        let run_time = (self.started_at > 0).then(|| now.saturating_sub(self.started_at));
        match &self.member {
            None => admission.release(run_time),
            Some(member) => admission.release_member(member, run_time),
        }
        let granted = self.proxy.admit_waiting(&mut admission, now);
        drop(admission);
        granted.into_iter().for_each(GrantedPermit::deliver);
    }
}

/// Counts a request for a large response to another node until the response arrives.
struct PendingLargeResponse {
    proxy: Arc<InboundProxy>,
}

impl PendingLargeResponse {
    fn new(proxy: &Arc<InboundProxy>) -> PendingLargeResponse {
        proxy.pending_large.fetch_add(1, Relaxed);
        PendingLargeResponse { proxy: proxy.clone() }
    }
}

impl Drop for PendingLargeResponse {
    fn drop(&mut self) {
        self.proxy.pending_large.fetch_sub(1, Relaxed);
    }
}

/// A request that runs at the upstream. If dropped before [`UpstreamRun::finish`], it counts as abandoned by its client.
struct UpstreamRun {
    proxy: Arc<InboundProxy>,
    /// Identifies the run at the outlier detector.
    run_id: u64,
}

impl UpstreamRun {
    /// Ends the run with this outcome. The drop that follows has no effect then.
    fn finish(self, outcome: RunOutcome) {
        let now = self.proxy.clock.now();
        lock(&self.proxy.outlier_detector).end_run(now, self.run_id, outcome);
        self.proxy.update_health(now);
    }
}

impl Drop for UpstreamRun {
    fn drop(&mut self) {
        lock(&self.proxy.outlier_detector).end_run(
            self.proxy.clock.now(),
            self.run_id,
            RunOutcome::Abandoned,
        );
    }
}

/// Counts a request as in flight, and its id as active, until it is dropped.
struct RequestGuard {
    proxy: Arc<InboundProxy>,
    request_id: Vec<u8>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        lock(&self.proxy.active_requests).remove(&self.request_id);
        self.proxy.unfinished_requests.fetch_sub(1, Relaxed);
    }
}

impl InboundProxy {
    /// Creates an inbound proxy without an upstream. `incarnation` is that of this process; see also
    /// [`InboundProxy::ensure_incarnation_above`].
    pub fn new(settings: InboundSettings, clock: Clock, incarnation: u64) -> Arc<InboundProxy> {
        let state = ProxyState {
            upstream: None,
            history: IncarnationHistory::default(),
            record_sequence: 1,
            incarnation,
        };
        Arc::new(InboundProxy {
            address: settings.address,
            zone: settings.zone,
            upstream_address: settings.upstream_address,
            clock,
            drain_timeout: settings.drain_timeout,
            state: Mutex::new(state),
            connection_limit: ConnectionLimit::new(settings.max_connections),
            unfinished_requests: AtomicUsize::new(0),
            admission: Mutex::default(),
            outlier_detector: Mutex::default(),
            member_shares: ArcSwap::default(),
            large_response_shaper: LargeResponseShaper::new(settings.link_mbps, clock),
            mean_large_bytes: Mutex::new(0.0),
            pending_large: AtomicUsize::new(0),
            read_ahead: Arc::new(Semaphore::new(settings.read_ahead_bytes)),
            calls_services: AtomicBool::new(false),
            active_requests: Mutex::default(),
            accepts_clients: AtomicBool::new(false),
            record_changes: tokio::sync::Notify::new(),
            sessions: SessionTable::default(),
            fencing_table: FencingTable::default(),
            upstream_failures: Arc::default(),
            ignored_heartbeats: IgnoredHeartbeatCounts::default(),
            tombstones: settings.tombstones,
        })
    }

    /// The endpoint record of this node, as other nodes receive it through the control plane.
    pub fn endpoint_record(&self) -> EndpointRecord {
        let state = lock(&self.state);
        let mut record = EndpointRecord {
            inbound_proxy: self.address,
            incarnation: state.incarnation,
            sequence: state.record_sequence,
            zone: self.zone.clone(),
            service: String::new(),
            upstream_id: String::new(),
            software_version: String::new(),
            state: UpstreamState::Absent,
            concurrency_limit: 0,
            warming_up_ms: 0,
            calls_services: self.calls_services.load(Relaxed),
            accepts_clients: self.accepts_clients.load(Relaxed),
            health: lock(&self.outlier_detector).health(),
        };
        if let Some(upstream) = &state.upstream {
            record.service = upstream.service.clone();
            record.upstream_id = upstream.id.clone();
            record.software_version = upstream.software_version.clone();
            record.state = upstream.state;
            record.concurrency_limit = upstream.concurrency_limit;
            let elapsed_ms = (self.clock.now() - upstream.last_seen_at) / MS;
            record.warming_up_ms = upstream.warming_up_ms.saturating_sub(elapsed_ms);
        }
        record
    }

    /// Increments the sequence number of the endpoint record and wakes the tasks that report it to the control plane.
    pub fn publish_record(&self) {
        lock(&self.state).record_sequence += 1;
        self.record_changes.notify_waiters();
    }

    /// Raises this node's incarnation above one under which other nodes know its record, since they ignore records of earlier
    /// incarnations.
    pub fn ensure_incarnation_above(&self, incarnation: u64) {
        let mut state = lock(&self.state);
        if incarnation > state.incarnation {
            state.incarnation = incarnation + 1;
            state.record_sequence += 1;
            drop(state);
            self.record_changes.notify_waiters();
        }
    }

    /// Finds the run at the upstream that made a request to this node's outbound proxy as a nested call: the id of a nested
    /// call begins with the id of the run. Returns whether the run is a retry, since its calls then count as retries too;
    /// `None` if the request is not a nested call. The first nested call marks the upstream as one that calls other
    /// services.
    pub fn record_nested_call(&self, id: &[u8]) -> Option<bool> {
        let mut separators =
            id.iter().enumerate().filter(|(_, byte)| !byte.is_ascii_alphanumeric()).take(MAX_ID_SEPARATORS);
        let is_retry = {
            let active_requests = lock(&self.active_requests);
            separators.find_map(|(at, _)| active_requests.get(&id[..at]).copied())
        };
        if is_retry.is_some() && !self.calls_services.swap(true, Relaxed) {
            log::info!("upstream makes nested calls; its endpoint record says so from now on");
            self.publish_record();
        }
        is_retry
    }

    /// The service of the upstream, once a heartbeat or the probe has found it.
    pub fn service(&self) -> Option<String> {
        lock(&self.state).upstream.as_ref().map(|upstream| upstream.service.clone())
    }

    /// A pool of connections to the upstream at this address. They count against the connection limit.
    fn connection_pool(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        Arc::new(
            ConnectionPool::new(address, self.clock, self.connection_limit.permits())
                .for_local_upstream()
                .with_read_ahead(self.read_ahead.clone())
                .with_failure_counts(self.upstream_failures.clone()),
        )
    }

    /// Periodic work, to be called about once a second: logs failed exchanges, closes connections that were idle for too long,
    /// updates the health, and publishes the record when the upstream has warmed up.
    pub fn run_housekeeping(&self) {
        if let Some(failures) = self.upstream_failures.take_increase() {
            log::info!("exchanges with the upstream failed: {failures}");
        }
        self.update_health(self.clock.now());
        let warmed_up = {
            let mut state = lock(&self.state);
            let Some(upstream) = &mut state.upstream else { return };
            let now = self.clock.now();
            upstream.connections.close_expired(now);
            let warmed_up =
                upstream.warming_up_ms > 0 && now > upstream.last_seen_at + upstream.warming_up_ms * MS;
            upstream.warming_up_ms = if warmed_up { 0 } else { upstream.warming_up_ms };
            warmed_up
        };
        if warmed_up {
            self.publish_record();
        }
    }

    /// Sets the upstream's limit on connections from all its callers. Each carries one request at a time, so the limit also
    /// bounds the concurrency limit that the upstream reports.
    pub fn set_connection_limit(&self, limit: usize) {
        self.connection_limit.set_limit(limit);
        let reported = lock(&self.state).upstream.as_ref().map_or(0, |upstream| upstream.concurrency_limit);
        if reported as usize > limit {
            lock(&self.admission).set_limit(limit.max(1) as u32);
        }
    }

    /// Sets members' shares of the concurrency limit, from the configuration in force on this node.
    pub fn set_member_shares(&self, shares: &Arc<RetryShares>) {
        self.member_shares.store(shares.clone());
    }

    /// A member's share as configured on this node, or else as the outbound proxy sent it. A partitioned outbound proxy may
    /// not know yet that the platform has reduced the share.
    fn effective_share(&self, received: MemberShare) -> MemberShare {
        let share = self.member_shares.load().get(&received.member).map(|share| share.concurrency);
        MemberShare { share: share.unwrap_or(received.share), ..received }
    }

    /// Number of requests that are queued or running, or whose response is still being read.
    pub fn requests_in_flight(&self) -> usize {
        self.unfinished_requests.load(Relaxed)
    }

    /// Number of requests that run at the upstream or are queued. Outbound proxies get it with each response.
    pub fn load(&self) -> usize {
        let admission = lock(&self.admission);
        admission.in_flight() as usize + admission.queue_length()
    }

    /// Admits queued requests up to the concurrency limit. The caller delivers the permits after it releases the lock on the
    /// queue.
    fn admit_waiting(
        self: &Arc<Self>,
        admission: &mut AdmissionQueue<QueuedRequest>,
        now: Nanos,
    ) -> Vec<GrantedPermit> {
        let mut granted = Vec::new();
        admission.remove_waiters(|queued| queued.waiter.is_closed());
        while let Some(QueuedRequest { waiter, member }) = admission.admit_next(now) {
            let permit = AdmissionPermit { proxy: self.clone(), started_at: 0, member };
            granted.push(GrantedPermit { waiter, permit });
        }
        granted
    }

    /// Forwards a request to the upstream incarnation that it is addressed to, and waits for the response.
    ///
    /// The request may wait in the admission queue, so all checks are repeated before it is sent.
    pub async fn forward(self: &Arc<Self>, request: InboundRequest<'_>) -> UpstreamOutcome {
        let InboundRequest {
            message,
            upstream_id,
            caller,
            is_retry,
            is_nested,
            is_large,
            is_remote,
            fencing_token,
            target_at,
            deadline,
            member_share,
            ..
        } = request;
        let Some(connections) = self.accepting_pool(upstream_id) else {
            return UpstreamOutcome::NotAccepting;
        };
        let now = self.clock.now();
        if let Err(owner_term) = self.check_fencing(now, fencing_token) {
            return UpstreamOutcome::Fenced(owner_term);
        }
        // A large response meets its target only if its last byte does. The target for the run is therefore earlier by the
        // transfer time, and by the wait for the link as far as it is longer than the run, during which the link empties.
        let is_paced = is_large && is_remote;
        let link = if is_paced { self.estimate_link_delay(now) } else { LinkDelay::default() };
        let run_time = lock(&self.admission).mean_run_time();
        let target_at = target_at.saturating_sub(link.transfer_time + link.wait.saturating_sub(run_time));
        if link.wait > 0 && now + run_time > target_at {
            return UpstreamOutcome::Rejected;
        }
        let member_share = member_share.map(|received| self.effective_share(received));
        let member = member_share.as_ref().map(|member_share| member_share.member.clone());
        let permit_state = {
            let mut permit = None;
            let admission_request = AdmissionRequest {
                is_nested,
                rejections: request.rejections,
                has_affinity: request.has_affinity,
                target: target_at,
                deadline,
            };
            let decision = lock(&self.admission).request_member_admission(
                now,
                &admission_request,
                member_share.as_ref(),
                || {
                    let (waiter, granted) = oneshot::channel();
                    permit = Some(granted);
                    QueuedRequest { waiter, member: member.clone() }
                },
            );
            match (decision, permit) {
                (Admission::Admitted, _) => {
                    PermitState::Granted(AdmissionPermit { proxy: self.clone(), started_at: 0, member })
                }
                (Admission::Queued(expires_at), Some(permit)) => PermitState::Queued { expires_at, permit },
                _ => return UpstreamOutcome::Rejected,
            }
        };
        let pending = is_paced.then(|| PendingLargeResponse::new(self));
        self.unfinished_requests.fetch_add(1, Relaxed);
        let id = message.head.headers().get(&REQUEST_ID).cloned();
        let request_id = id.as_ref().map(|id| id.as_bytes().to_vec()).unwrap_or_default();
        lock(&self.active_requests).insert(request_id.clone(), is_retry);
        let guard = RequestGuard { proxy: self.clone(), request_id };
        let mut permit = match permit_state {
            PermitState::Granted(permit) => permit,
            PermitState::Queued { expires_at, permit } => {
                match timeout_at(self.clock.instant(expires_at), permit).await {
                    Ok(Ok(permit)) => permit,
                    // The admission queue has dropped the request.
                    Ok(Err(_)) => return UpstreamOutcome::Rejected,
                    // The request has expired in the queue.
                    Err(_) => return UpstreamOutcome::NotSent,
                }
            }
        };
        if self.accepting_pool(upstream_id).is_none() {
            return UpstreamOutcome::NotAccepting;
        }
        // The session may have moved to another owner while the request waited.
        if let Err(owner_term) = self.check_fencing(self.clock.now(), fencing_token) {
            return UpstreamOutcome::Fenced(owner_term);
        }
        let time_left_ms = deadline.saturating_sub(self.clock.now()) / MS;
        if time_left_ms == 0 {
            return UpstreamOutcome::NotSent;
        }
        let mut added_headers = HeaderMap::new();
        added_headers.insert(TIME_LEFT_MS, HeaderValue::from(time_left_ms));
        if let Ok(upstream_id) = HeaderValue::try_from(upstream_id) {
            added_headers.insert(TARGET_UPSTREAM, upstream_id);
        }
        added_headers.insert(CALLER_SERVICE, caller.clone());
        // A response with another request's id belongs to that request.
        let matches_request = |head: &Parts| head.headers.get(&REQUEST_ID) == id.as_ref();
        permit.started_at = self.clock.now();
        let class = RequestClass { member: permit.member.clone(), is_nested, is_large };
        let run = self.start_run(permit.started_at, class);
        let response = connections
            .exchange(message, &added_headers, deadline, Some(Box::new(permit)), matches_request)
            .await;
        let (mut head, body) = match response {
            Ok(response) => response,
            Err(error) => {
                let (run_outcome, outcome) = match error {
                    ExchangeError::ConnectFailed => {
                        (RunOutcome::NoConnection, UpstreamOutcome::ConnectFailed)
                    }
                    ExchangeError::NotSent => (RunOutcome::Abandoned, UpstreamOutcome::NotSent),
                    ExchangeError::Reset => (RunOutcome::Failed, UpstreamOutcome::Reset),
                    ExchangeError::TimedOut => (RunOutcome::Abandoned, UpstreamOutcome::TimedOut),
                };
                run.finish(run_outcome);
                return outcome;
            }
        };
        head.headers.remove(&ATTEMPT_OUTCOME);
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // The run counts as abandoned when it is dropped, since another incarnation has responded.
            return UpstreamOutcome::NotAccepting;
        }
        if head.headers.contains_key(&NOT_RUN) {
            run.finish(RunOutcome::Failed);
            return UpstreamOutcome::RefusedByUpstream;
        }
        // An encoded response, or a successful one without the upstream's stamp, was created or modified by an intermediary,
        // so it doesn't show whether the request has run.
        let is_stamped = head.headers.contains_key(&EXECUTION_STAMP);
        let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
        if is_encoded || (head.status.is_success() && !is_stamped) {
            run.finish(RunOutcome::Failed);
            return UpstreamOutcome::Reset;
        }
        run.finish(match head.status {
            // A run that ends at its deadline says nothing about the upstream's health.
            StatusCode::GATEWAY_TIMEOUT => RunOutcome::Abandoned,
            status if status.is_server_error() => RunOutcome::Failed,
            _ => RunOutcome::Succeeded,
        });
        if is_large && let Some(size) = body.size_hint().exact() {
            let mut mean = lock(&self.mean_large_bytes);
            *mean += (size as f64 - *mean) * if *mean > 0.0 { LARGE_RESPONSE_SIZE_WEIGHT } else { 1.0 };
        }
        let body = if is_remote { self.paced_response(body) } else { body };
        // From here on the pacer accounts for the response.
        drop(pending);
        UpstreamOutcome::Responded(head, body.with_guard(guard))
    }

    /// Registers a run with the outlier detector.
    fn start_run(self: &Arc<Self>, now: Nanos, class: RequestClass) -> UpstreamRun {
        let run_id = lock(&self.outlier_detector).start_run(now, class);
        self.update_health(now);
        UpstreamRun { proxy: self.clone(), run_id }
    }

    /// Logs and publishes the upstream's health if it has changed.
    fn update_health(&self, now: Nanos) {
        let mut health = lock(&self.outlier_detector);
        let (previous, current) = (health.health(), health.update(now));
        drop(health);
        if previous != current {
            let service = self.service().unwrap_or_default();
            log::info!(
                "upstream health changed, record published: service={service} failure_level={} latency_level={}",
                current.failure_level,
                current.latency_level
            );
            self.publish_record();
        }
    }

    /// Limits a response to another node to the rate that the node's link allows for large responses.
    fn paced_response(&self, body: ResponseBody) -> ResponseBody {
        let body = body.with_pacing(&self.large_response_shaper);
        if let ResponseBody::Buffered(body) = &body {
            self.record_outgoing_bytes(body.size_hint().lower());
        }
        body
    }

    /// Estimates the delays of a large response to another node that is requested now, from the mean size.
    fn estimate_link_delay(&self, now: Nanos) -> LinkDelay {
        let mean = *lock(&self.mean_large_bytes);
        let pending_bytes = self.pending_large.load(Relaxed) as f64 * mean;
        let pacer = self.large_response_shaper.pacer();
        LinkDelay {
            wait: pacer.queue_delay(now) + pacer.transfer_time(pending_bytes),
            transfer_time: pacer.transfer_time(mean),
        }
    }

    /// Reports to the pacer how many bytes go to other nodes unpaced.
    pub fn record_outgoing_bytes(&self, bytes: u64) {
        self.large_response_shaper
            .pacer()
            .record_unpaced(self.clock.now(), bytes as usize + ESTIMATED_HEADER_BYTES);
    }

    /// The error is the term since which another proxy owns the session.
    fn check_fencing(&self, now: Nanos, fencing_token: Option<FencingToken>) -> Result<(), u64> {
        fencing_token.map_or(Ok(()), |fencing_token| self.fencing_table.check(now, fencing_token))
    }

    /// The connections to the upstream, if it is this incarnation and accepts requests now.
    fn accepting_pool(&self, upstream_id: &str) -> Option<Arc<ConnectionPool>> {
        let state = lock(&self.state);
        let upstream = state.upstream.as_ref()?;
        let drain_over = |since: Nanos| {
            self.clock.now() > since + (self.drain_timeout / DRAIN_ACCEPT_DIVISOR).as_nanos() as Nanos
        };
        let accepts = upstream.id == upstream_id
            && upstream.state != UpstreamState::Absent
            && !upstream.draining_since.is_some_and(drain_over);
        accepts.then(|| upstream.connections.clone())
    }

    /// Adds the header that tells the outbound proxy the outcome and the load.
    fn with_outcome(&self, mut response: Response<ResponseBody>, outcome: &str) -> Response<ResponseBody> {
        if let Ok(value) = HeaderValue::try_from(format!("{outcome} {}", self.load())) {
            response.headers_mut().insert(ATTEMPT_OUTCOME, value);
        }
        response
    }

    /// Handles a request, or the handover of a session, from an outbound proxy on another node.
    pub async fn handle_request(
        self: Arc<Self>,
        received: ReceivedRequest,
        body_memory: Arc<Semaphore>,
    ) -> Response<ResponseBody> {
        let received_at = received.received_at;
        let headers = received.request.headers();
        let upstream_id = header_str(headers, &TARGET_UPSTREAM).to_owned();
        let time_left_ms =
            header_str(headers, &TIME_LEFT_MS).parse::<u64>().unwrap_or(0).min(MAX_TIME_LEFT_MS);
        let fencing_header = header_str(headers, &FENCING_TOKEN);
        if let Some(keys) = self.sessions.handle_handover(fencing_header) {
            return self.with_outcome(Response::new(ResponseBody::from_bytes(keys)), "ran");
        }
        let fencing_token = FencingToken::from_header(fencing_header);
        let RequestParameters {
            target_ms,
            rejections,
            has_affinity,
            is_retry,
            is_nested,
            is_large,
            member_share,
        } = RequestParameters::from_headers(headers, time_left_ms);
        let caller = headers.get(&CALLER_SERVICE).cloned().unwrap_or(HeaderValue::from_static(""));
        let read =
            listener::read_message(received, &body_memory, self.clock, u64::MAX, REQUEST_READ_TIMEOUT).await;
        let (mut message, _permit) = match read {
            Ok(read) => read,
            Err(RequestError(status, reason)) => {
                return self
                    .with_outcome(plain_response(status, reason), UpstreamOutcome::NotSent.wire_name());
            }
        };
        message.head.headers_mut().remove(&REQUEST_PARAMETERS);
        message.head.headers_mut().remove(&FENCING_TOKEN);
        let (message, upstream_id, caller, is_remote) = (&Arc::new(message), &*upstream_id, &caller, true);
        let (target_at, deadline) = (received_at + target_ms * MS, received_at + time_left_ms * MS);
        let request = InboundRequest {
            message,
            upstream_id,
            caller,
            rejections,
            has_affinity,
            is_retry,
            is_nested,
            is_large,
            is_remote,
            fencing_token,
            target_at,
            deadline,
            member_share,
        };
        let outcome = self.forward(request).await;
        let outcome_name = outcome.wire_name();
        match outcome {
            UpstreamOutcome::Responded(head, body) => {
                self.with_outcome(Response::from_parts(head, body), outcome_name)
            }
            UpstreamOutcome::Fenced(owner_term) => {
                self.with_outcome(plain_response(503, outcome_name), &format!("{FENCED_PREFIX}{owner_term}"))
            }
            _ => self.with_outcome(plain_response(503, outcome_name), outcome_name),
        }
    }
}

/// Parses a value of the header [`ATTEMPT_OUTCOME`]: the name of the outcome, and the inbound proxy's load if it is valid.
pub fn parse_outcome_header(value: &str) -> (&str, Option<f64>) {
    let (outcome_name, load) = value.split_once(' ').unwrap_or((value, ""));
    (outcome_name, load.parse().ok())
}

/// Parses the name of a control call and the id of its subject from the query; the name is empty for any other path.
pub fn call_and_subject(uri: &hyper::Uri) -> (String, Option<String>) {
    if uri.path() != "/api/rpc" {
        return (String::new(), None);
    }
    let pairs = uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let (mut call_name, mut subject) = (String::new(), None);
    for (name, value) in pairs {
        match name {
            "call" => call_name = value.to_owned(),
            "of" => subject = Some(value.chars().take(MAX_SUBJECT_CHARS).collect()),
            _ => {}
        }
    }
    (call_name, subject)
}

#[cfg(test)]
#[path = "tests/inbound_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "tests/registration_tests.rs"]
mod registration_tests;
