//! The inbound proxy: the only way in to the upstream on its node, and what that node knows of its upstream first-hand.
//!
//! The way of a request: [`InboundProxy::handle_request`] receives it from the outbound proxy of another node, and
//! [`InboundProxy::forward`] from the one of this node. `forward` checks that it is meant for this incarnation of the upstream,
//! that the upstream isn't draining and that the session's term hasn't passed; it waits for a permit of the admission queue,
//! exchanges the request with the upstream and verifies that the response belongs to it. The outcome goes to the outlier
//! detector and back to the outbound proxy.
//!
//! The upstream reports itself by heartbeats ([`InboundProxy::handle_control_call`]); what is known of it goes to other nodes
//! as this node's endpoint record ([`InboundProxy::endpoint_record`]).
//!
//! Main types: [`InboundProxy`], [`UpstreamOutcome`], `Upstream`, `AdmissionPermit`.
//!
//! Invariants:
//! - A request is sent to the upstream at most once.
//! - It is never sent to another incarnation than was meant, nor after the time that a draining upstream has.
//! - An incarnation that has begun to drain or has ended never takes requests again.
//! - What is reported as rejected, gone, fenced or not sent has not run.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::body::Body as _;
use hyper::header::{CONTENT_ENCODING, HOST, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use jzon::JsonValue as Json;
use ochreshed::Nanos;
use ochreshed_catalog::configuration::Name;
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest, MemberShare};
use ochreshed_traffic::outlier_detection::{OutlierDetector, RequestClass, RunOutcome};
use ochreshed_traffic::retry_shares::RetryShares;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout_at;

use crate::body::RequestMessage;
use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::proxy::connection_limit::ConnectionLimit;
use crate::mesh::proxy::connection_pool::{ConnectionPool, ExchangeError, LargeResponseLane, ResponseBody};
use crate::mesh::proxy::fencing::{FencingTable, FencingToken};
use crate::mesh::proxy::headers::{
    ADDRESSEE, CALLER, DELIVERED_BY, ID, LEFT, NOT_RUN, SESSION_FENCE, STAMP, TERMS, WAY,
};
use crate::mesh::proxy::inbound_request::{InboundRequest, MAX_TIME_LEFT_MS, RequestTerms};
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};
use crate::mesh::proxy::session_affinity::SessionTable;

/// Outcome of a request whose session has a later owner; the term since which that owns it follows.
const FENCED_PREFIX: &str = "fenced-";

const MS: Nanos = 1_000_000;
/// After its upstream has begun to drain, the inbound proxy still takes requests that are on their way, for the drain
/// timeout divided by this.
const DRAIN_DIVISOR: u32 = 2;
/// How long the probe after a start may take.
const PROBE_TIMEOUT: Nanos = 1_000 * MS;
/// How many ids of ended incarnations are remembered.
const MAX_PAST_INCARNATIONS: usize = 32;
/// Longest body of an upstream's heartbeat.
const MAX_HEARTBEAT_BYTES: u64 = 4 * 1024;
/// Estimate of what a message takes on the wire beside its body.
const HEADER_ESTIMATE_BYTES: usize = 400;
/// The weight of the last large response in the mean size of one.
const LARGE_RESPONSE_MEAN_WEIGHT: f64 = 0.1;

/// How a request ended at an inbound proxy and its upstream.
pub enum UpstreamOutcome {
    /// The upstream ran it, or rejected it for good by a response of its own.
    Responded(Parts, ResponseBody),
    /// The upstream refused it, with its own statement that it has not run.
    UpstreamFull,
    /// Not admitted: it has never reached the upstream.
    Rejected,
    /// The incarnation that was meant takes no requests any more; it has not run.
    Gone,
    /// Another outbound proxy owns its session since this term; it has not run.
    Fenced(u64),
    /// No connection to the upstream, or not all of the request was written; it has not run.
    ConnectFailed,
    /// Its time was over, or there was no room for a connection, before all of it was written; it has not run.
    NotSent,
    /// It was sent and no valid response came: it may have run.
    Reset,
    /// It was sent and its time was over: it may have run.
    TimedOut,
}

impl UpstreamOutcome {
    /// The outcome as it goes on the wire, in the header [`WAY`].
    pub fn as_word(&self) -> &'static str {
        match self {
            UpstreamOutcome::Responded(..) => "ran",
            UpstreamOutcome::UpstreamFull => "full",
            UpstreamOutcome::Rejected => "turned",
            UpstreamOutcome::Gone => "gone",
            UpstreamOutcome::Fenced(_) => "fenced",
            UpstreamOutcome::ConnectFailed => "unreachable",
            UpstreamOutcome::NotSent => "unsent",
            UpstreamOutcome::Reset => "reset",
            UpstreamOutcome::TimedOut => "late",
        }
    }

    /// The outcome that an inbound proxy on another node reported with this response. A word that isn't known, for instance
    /// one of a newer version, counts as [`UpstreamOutcome::Reset`], since the request may have run.
    pub fn from_word(word: &str, head: Parts, body: ResponseBody) -> UpstreamOutcome {
        match word {
            "ran" => UpstreamOutcome::Responded(head, body),
            "full" => UpstreamOutcome::UpstreamFull,
            "turned" => UpstreamOutcome::Rejected,
            "gone" => UpstreamOutcome::Gone,
            word if word.starts_with(FENCED_PREFIX) => {
                UpstreamOutcome::Fenced(word[FENCED_PREFIX.len()..].parse().unwrap_or(0))
            }
            "unreachable" => UpstreamOutcome::ConnectFailed,
            "unsent" => UpstreamOutcome::NotSent,
            "late" => UpstreamOutcome::TimedOut,
            _ => UpstreamOutcome::Reset,
        }
    }
}

/// The upstream as it reported itself in its last heartbeat, or as the record from before a restart has it.
#[derive(Clone, Debug)]
struct Upstream {
    /// Identifies this incarnation of the upstream.
    id: String,
    service: String,
    zone: String,
    software_version: String,
    concurrency_limit: u32,
    state: UpstreamState,
    /// Number of the last heartbeat of this incarnation; an earlier one that comes late is ignored.
    heartbeat_sequence: u64,
    /// How long it was still warming up when it was last heard, in ms.
    warming_up_ms: u64,
    heard_at: Nanos,
    /// Once set it stays for this incarnation.
    draining_since: Option<Nanos>,
    connections: Arc<ConnectionPool>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}", self.to())
    }
}

struct ProxyState {
    upstream: Option<Upstream>,
    /// Ids of ended incarnations, the oldest first.
    past_incarnations: VecDeque<String>,
    /// Number of the last change of this node's endpoint record.
    record_sequence: u64,
    /// Incarnation of this process, in which the sequence counts.
    incarnation: u64,
}

impl ProxyState {
    /// Heartbeats of this incarnation are ignored from now on.
    fn end_incarnation(&mut self, id: &str) {
        if self.past_incarnations.iter().any(|ended| ended == id) {
            return;
        }
        self.past_incarnations.push_back(id.to_owned());
        if self.past_incarnations.len() > MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
    }
}

/// What an inbound proxy needs to start.
pub struct InboundSettings {
    /// Where it listens; identifies the node in endpoint records.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub zone: String,
    /// Where its upstream listens, if the settings say so. Without it the upstream isn't probed after a start.
    pub upstream_address: Option<SocketAddr>,
    /// How long an upstream takes to drain at most.
    pub drain_timeout: Duration,
    /// How many connections to the upstream this process can hold.
    pub max_connections: usize,
    /// How many bytes of responses may be read from the upstream before their clients take them.
    pub read_ahead_bytes: usize,
    /// Capacity of the node's network link, in Mbit/s.
    pub link_mbps: f64,
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
    /// Requests that wait for a permit or have one, until their response has been taken.
    in_flight: AtomicUsize,
    /// Requests at the upstream, and those that wait to be admitted.
    admission: Mutex<AdmissionQueue<QueuedRequest>>,
    /// Health of the upstream, judged by the outcomes of its requests.
    health: Mutex<OutlierDetector>,
    /// Members' shares of the concurrency limit, by the configuration in force on this node.
    shares: ArcSwap<RetryShares>,
    /// Paces large responses to other nodes.
    large_responses: Arc<LargeResponseLane>,
    /// Mean size of a large response, in bytes; 0 before the first.
    mean_large_bytes: Mutex<f64>,
    /// Requests for large responses to other nodes that were admitted or wait, and whose response has not come yet.
    pending_large: AtomicUsize,
    /// Bytes of responses that may be read before their clients take them.
    read_ahead: Arc<Semaphore>,
    /// The upstream has called other services since this process started.
    calls_services: AtomicBool,
    /// Ids of the requests that are at the upstream or wait for it, and whether each is a retry.
    running: Mutex<HashMap<Vec<u8>, bool>>,
    /// This node accepts clients; false while it shuts down.
    pub serving: AtomicBool,
    /// Notified whenever the endpoint record has changed.
    pub changed: tokio::sync::Notify,
    /// Sessions that the outbound proxy of this node owns. They are here since other nodes ask for them through the inbound
    /// proxy.
    pub sessions: SessionTable,
    /// The latest owners of sessions that this inbound proxy has seen.
    pub fence: FencingTable,
}

/// The right to run one request at the upstream. Dropping it, when the response has come or nobody waits for it any more,
/// admits the next one.
struct AdmissionPermit {
    proxy: Arc<InboundProxy>,
    /// When the request was sent to the upstream; 0 until then. A permit that was never used doesn't count in the mean run
    /// time.
    started_at: Nanos,
    /// The member whose share it is of; none on a route of the platform.
    member: Option<Name>,
}

/// A request that waits for a permit.
struct QueuedRequest {
    waiter: oneshot::Sender<AdmissionPermit>,
    /// The member whose share its permit will be of.
    member: Option<Name>,
}

/// A permit on its way to the request that waited for it.
struct GrantedPermit {
    waiter: oneshot::Sender<AdmissionPermit>,
    permit: AdmissionPermit,
}

impl GrantedPermit {
    /// Must be called without the lock on the admission queue: if the request has gone, its permit is dropped here, and that
    /// takes the lock.
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
            Some(member) => admission.release_for_member(member, run_time),
        }
        let granted = self.proxy.admit_waiting(&mut admission, now);
        drop(admission);
        granted.into_iter().for_each(GrantedPermit::deliver);
    }
}

/// Counts a large response that will go to another node once the upstream has made it.
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

/// A request that runs at the upstream. Dropped before it has ended, it counts as abandoned by its client.
struct UpstreamRun {
    proxy: Arc<InboundProxy>,
    /// Number of the run at the outlier detector.
    run_id: u64,
}

impl UpstreamRun {
    fn ended(self, outcome: RunOutcome) {
        let now = self.proxy.clock.now();
        lock(&self.proxy.health).end(now, self.run_id, outcome);
        self.proxy.update_health(now);
    }
}

impl Drop for UpstreamRun {
    fn drop(&mut self) {
        lock(&self.proxy.health).end(self.proxy.clock.now(), self.run_id, RunOutcome::Abandoned);
    }
}

/// Counts a request as in flight, and its id as running, until it is dropped.
struct RequestGuard {
    proxy: Arc<InboundProxy>,
    request_id: Vec<u8>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        lock(&self.proxy.running).remove(&self.request_id);
        self.proxy.in_flight.fetch_sub(1, Relaxed);
    }
}

impl InboundProxy {
    /// An inbound proxy that knows no upstream yet. `incarnation` is that of this process; see also
    /// [`InboundProxy::ensure_incarnation_above`].
    pub fn new(settings: InboundSettings, clock: Clock, incarnation: u64) -> Arc<InboundProxy> {
        let state = ProxyState {
            upstream: None,
            past_incarnations: VecDeque::new(),
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
            in_flight: AtomicUsize::new(0),
            admission: Mutex::default(),
            health: Mutex::default(),
            shares: ArcSwap::default(),
            large_responses: LargeResponseLane::new(settings.link_mbps, clock),
            mean_large_bytes: Mutex::new(0.0),
            pending_large: AtomicUsize::new(0),
            read_ahead: Arc::new(Semaphore::new(settings.read_ahead_bytes)),
            calls_services: AtomicBool::new(false),
            running: Mutex::default(),
            serving: AtomicBool::new(false),
            changed: tokio::sync::Notify::new(),
            sessions: SessionTable::default(),
            fence: FencingTable::default(),
        })
    }

    /// The endpoint record of this node, as other nodes get it by watches.
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
            accepts_clients: self.serving.load(Relaxed),
            health: lock(&self.health).health(),
        };
        if let Some(upstream) = &state.upstream {
            record.service = upstream.service.clone();
            record.upstream_id = upstream.id.clone();
            record.software_version = upstream.software_version.clone();
            record.state = upstream.state;
            record.concurrency_limit = upstream.concurrency_limit;
            let since = (self.clock.now() - upstream.heard_at) / MS;
            record.warming_up_ms = upstream.warming_up_ms.saturating_sub(since);
        }
        record
    }

    /// Whether the upstream has signed off, so that this incarnation of it takes nothing more.
    pub fn upstream_signed_off(&self) -> bool {
        lock(&self.state).upstream.as_ref().is_some_and(|upstream| upstream.state == UpstreamState::Absent)
    }

    /// Whether the upstream has been heard since this process started, by a heartbeat or by the probe.
    pub fn knows_upstream(&self) -> bool {
        lock(&self.state).upstream.is_some()
    }

    /// After a start: other nodes may still have this node's record with an upstream. One health check tells whether that
    /// incarnation still runs, so that the inbound proxy can serve before the upstream's next heartbeat.
    pub async fn probe_upstream(self: Arc<Self>, record: EndpointRecord, health: String) {
        let Some(address) = self.upstream_address.filter(|_| record.state != UpstreamState::Absent) else {
            return;
        };
        let connections = self.pool_to(address);
        let mut head = hyper::Request::new(());
        match health.parse() {
            Ok(uri) => *head.uri_mut() = uri,
            Err(_) => return,
        }
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            head.headers_mut().insert(HOST, host);
        }
        let message = Arc::new(RequestMessage {
            head,
            first_bytes: bytes::Bytes::new(),
            body_length: Some(0),
            remainder: None,
        });
        let deadline = self.clock.now() + PROBE_TIMEOUT;
        let Ok((head, _)) = connections.exchange(&message, &HeaderMap::new(), deadline, None, |_| true).await
        else {
            return;
        };
        // A health page may be wrong about its upstream, and a draining incarnation never serves again. A page that names
        // another incarnation or fails therefore decides nothing: the next heartbeat does.
        if header_str(&head.headers, &DELIVERED_BY) != record.upstream_id || !head.status.is_success() {
            return;
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.upstream.is_some() || state.past_incarnations.contains(&record.upstream_id) {
            return;
        }
        let is_draining = record.state == UpstreamState::Draining;
        log::info!(
            "upstream found again: upstream={} service={} state={stand}",
            record.upstream_id,
            record.service,
            stand = record.state
        );
        state.upstream = Some(Upstream {
            id: record.upstream_id,
            service: record.service,
            zone: record.zone,
            software_version: record.software_version,
            concurrency_limit: record.concurrency_limit,
            state: record.state,
            heartbeat_sequence: 0,
            warming_up_ms: 0,
            heard_at: now,
            draining_since: is_draining.then_some(now),
            connections,
        });
        lock(&self.admission).set_limit(record.concurrency_limit);
        drop(state);
        self.record_changed();
    }

    /// Takes over what other nodes know from an earlier run of this process: an incarnation of the upstream that was draining
    /// or had ended then is so now, whatever a late heartbeat has said since. Its drain was acknowledged, and that binds.
    pub fn restore_upstream_state(&self, id: &str, known: UpstreamState) {
        let mut state = lock(&self.state);
        if known == UpstreamState::Serving || id.is_empty() {
            return;
        }
        if known == UpstreamState::Absent {
            state.end_incarnation(id);
        }
        // It is unknown when the drain began, so that its time counts as over.
        let drain_over = self.clock.now().saturating_sub(self.drain_timeout.as_nanos() as Nanos);
        let Some(upstream) = &mut state.upstream else { return };
        if upstream.id != id || upstream.state != UpstreamState::Serving {
            return;
        }
        (upstream.state, upstream.draining_since) = (known, Some(drain_over));
        log::info!("upstream state restored from before this start: upstream={id} state={known}");
        drop(state);
        self.record_changed();
    }

    /// Gives the endpoint record its next number and has the open watches report it.
    pub fn record_changed(&self) {
        lock(&self.state).record_sequence += 1;
        self.changed.notify_waiters();
    }

    /// The record is known elsewhere under this incarnation. Records from here on get a later one, or they would be ignored.
    pub fn ensure_incarnation_above(&self, incarnation: u64) {
        let mut state = lock(&self.state);
        if incarnation > state.incarnation {
            state.incarnation = incarnation + 1;
            state.record_sequence += 1;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Whether a request that came to the outbound proxy of this node is a nested call of a request that runs at the upstream:
    /// its id then continues that one's id. `Some` says whether the run is a retry, so that its calls count as retries too;
    /// `None` that there is no such run. The first nested call marks the upstream as one that calls other services.
    pub fn running_request(&self, id: &[u8]) -> Option<bool> {
        let mut separators = id.iter().enumerate().filter(|(_, byte)| !byte.is_ascii_alphanumeric()).take(8);
        let is_retry = {
            let running = lock(&self.running);
            separators.find_map(|(at, _)| running.get(&id[..at]).copied())
        };
        if is_retry.is_some() && !self.calls_services.swap(true, Relaxed) {
            log::info!("the upstream calls other services");
            self.record_changed();
        }
        is_retry
    }

    /// The service of which the upstream is an instance, once it has been heard.
    pub fn service(&self) -> Option<String> {
        lock(&self.state).upstream.as_ref().map(|upstream| upstream.service.clone())
    }

    /// Answers a call at the control address: the upstream's heartbeats and its sign-off, and operators' figures on sessions.
    pub async fn handle_control_call(self: Arc<Self>, received: ReceivedRequest) -> Response<ResponseBody> {
        let uri = received.request.uri().clone();
        let (call_name, subject) = call_and_subject(&uri);
        match (call_name.as_str(), subject) {
            ("offices.beat", Some(of)) => {
                let bodies = Arc::new(Semaphore::new(1 << 16));
                let read = listener::read_message(
                    received,
                    &bodies,
                    self.clock,
                    MAX_HEARTBEAT_BYTES,
                    Duration::from_secs(1),
                )
                .await;
                let heartbeat = match read {
                    Ok((message, _room)) => self.handle_heartbeat(&of, &message.first_bytes),
                    Err(RequestError(status, reason)) => return plain_response(status, reason),
                };
                match heartbeat {
                    Ok(()) => listener::json_response(200, "{}".into()),
                    Err(why) => plain_response(400, why),
                }
            }
            ("offices.sign_off", Some(of)) => {
                self.sign_off(&of);
                listener::json_response(200, "{}".into())
            }
            ("sessions.count", _) => {
                listener::json_response(200, self.sessions.status_json(self.fence.rejections()))
            }
            _ => plain_response(404, "no such call here"),
        }
    }

    /// Takes a heartbeat of the incarnation `of`: JSON with its address, its service and how many requests it takes at once.
    /// A heartbeat of an ended incarnation, or one older than the last, is accepted and ignored. An error says what can't be
    /// read.
    pub fn handle_heartbeat(self: &Arc<Self>, of: &str, body: &[u8]) -> Result<(), &'static str> {
        let text = std::str::from_utf8(body).map_err(|_| "not UTF-8")?;
        let heartbeat = jzon::parse(text).map_err(|_| "no JSON")?;
        let (notice, status) = (&heartbeat["notice"], &heartbeat["status"]);
        let text_of = |from: &Json, name: &str| from[name].as_str().unwrap_or_default().to_owned();
        let address: SocketAddr =
            heartbeat["address"].as_str().and_then(|text| text.parse().ok()).ok_or("no address")?;
        let service = text_of(notice, "line");
        if service.is_empty() {
            return Err("no line");
        }
        let heartbeat_sequence = status["postmark_seq"].as_u64().unwrap_or(0);
        let reported_state = if status["state"].as_str() == Some("closing") {
            UpstreamState::Draining
        } else {
            UpstreamState::Serving
        };
        let warming_up_ms = status["cold_left_ms"].as_f64().unwrap_or(0.0).clamp(0.0, 600_000.0) as u64;
        let concurrency_limit = notice["pigeonholes"].as_u32().unwrap_or(1).clamp(1, 100_000);
        let (zone, software_version) = (text_of(notice, "zone"), text_of(notice, "edition"));
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.past_incarnations.iter().any(|ended| ended == of) {
            return Ok(());
        }
        let previous = state.upstream.take();
        let (connections, draining_since) = match &previous {
            Some(previous) if previous.id == of => {
                if heartbeat_sequence < previous.heartbeat_sequence {
                    state.upstream = Some(previous.clone());
                    return Ok(());
                }
                let connections = if previous.connections.to() == address {
                    previous.connections.clone()
                } else {
                    self.pool_to(address)
                };
                (connections, previous.draining_since)
            }
            Some(previous) => {
                let ended = previous.id.clone();
                state.end_incarnation(&ended);
                (self.pool_to(address), None)
            }
            None => (self.pool_to(address), None),
        };
        // An incarnation that has begun to drain never serves again, whatever its heartbeats say.
        let upstream_state = if draining_since.is_some() { UpstreamState::Draining } else { reported_state };
        let draining_since = draining_since.or((upstream_state == UpstreamState::Draining).then_some(now));
        let same = previous.as_ref().is_some_and(|previous| {
            previous.id == of
                && previous.state == upstream_state
                && previous.concurrency_limit == concurrency_limit
                && previous.service == service
                && previous.software_version == software_version
        });
        let id = of.to_owned();
        let upstream = Upstream {
            id,
            service,
            zone,
            software_version,
            concurrency_limit,
            state: upstream_state,
            heartbeat_sequence,
            warming_up_ms,
            heard_at: now,
            draining_since,
            connections,
        };
        if !same {
            log::info!(
                "upstream state: upstream={} service={} state={} concurrency_limit={} zone={}",
                upstream.id,
                upstream.service,
                upstream_state,
                concurrency_limit,
                upstream.zone
            );
        }
        state.upstream = Some(upstream);
        drop(state);
        if previous.is_none_or(|previous| previous.id != of) {
            lock(&self.health).reset();
        }
        if !same {
            let mut admission = lock(&self.admission);
            admission.set_limit(concurrency_limit);
            let granted = self.admit_waiting(&mut admission, now);
            drop(admission);
            granted.into_iter().for_each(GrantedPermit::deliver);
            self.record_changed();
        }
        Ok(())
    }

    /// Connections to the upstream at this address. They count against the connection limit.
    fn pool_to(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        Arc::new(
            ConnectionPool::new(address, self.clock, self.connection_limit.permits())
                .near()
                .reading_ahead(self.read_ahead.clone()),
        )
    }

    /// This incarnation takes nothing any more. It is remembered also if it wasn't known: a heartbeat of it may still be on
    /// its way.
    fn sign_off(&self, of: &str) {
        let mut state = lock(&self.state);
        state.end_incarnation(of);
        let Some(upstream) = &mut state.upstream else { return };
        if upstream.id != of || upstream.state == UpstreamState::Absent {
            return;
        }
        upstream.state = UpstreamState::Absent;
        upstream.connections.shut();
        log::info!("upstream signed off: upstream={of}");
        drop(state);
        self.record_changed();
    }

    /// Drains the upstream for an operator, as if it had reported that it drains. Does nothing for another incarnation.
    pub fn drain(&self, id: &str) {
        let mut state = lock(&self.state);
        if let Some(upstream) = &mut state.upstream
            && upstream.id == id
            && upstream.state == UpstreamState::Serving
        {
            upstream.state = UpstreamState::Draining;
            upstream.draining_since = Some(self.clock.now());
            log::info!("upstream drained by an operator: upstream={id}");
            drop(state);
            self.record_changed();
        }
    }

    /// Closes connections that have been idle for long, and reports it when the upstream has warmed up. To be called about
    /// once a second.
    pub fn close_idle_connections(&self) {
        self.update_health(self.clock.now());
        let warm = {
            let mut state = lock(&self.state);
            let Some(upstream) = &mut state.upstream else { return };
            let now = self.clock.now();
            upstream.connections.sweep(now);
            let warm = upstream.warming_up_ms > 0 && now > upstream.heard_at + upstream.warming_up_ms * MS;
            upstream.warming_up_ms = if warm { 0 } else { upstream.warming_up_ms };
            warm
        };
        if warm {
            self.record_changed();
        }
    }

    /// Sets how many connections the upstream takes from all its callers. Each carries one request at a time, so that this
    /// also bounds the concurrency limit that the upstream reports.
    pub fn set_connection_limit(&self, cap: usize) {
        self.connection_limit.set_limit(cap);
        let reported = lock(&self.state).upstream.as_ref().map_or(0, |upstream| upstream.concurrency_limit);
        if reported as usize > cap {
            lock(&self.admission).set_limit(cap.max(1) as u32);
        }
    }

    /// Sets members' shares of the concurrency limit, from the configuration in force on this node.
    pub fn set_member_shares(&self, shares: &Arc<RetryShares>) {
        self.shares.store(shares.clone());
    }

    /// A member's share here: by the configuration in force on this node, or else what the outbound proxy sent. An outbound
    /// proxy that is cut off may not know yet that the platform has reduced the share.
    fn effective_share(&self, sent: MemberShare) -> MemberShare {
        let share = self.shares.load().get(&sent.member).map(|share| share.concurrency);
        MemberShare { share: share.unwrap_or(sent.share), ..sent }
    }

    /// How many requests wait or run, or have a response that is still being taken.
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.load(Relaxed)
    }

    /// How many requests run at the upstream or wait to be admitted. Outbound proxies get it with each response.
    pub fn load(&self) -> usize {
        let admission = lock(&self.admission);
        admission.in_flight() as usize + admission.queued()
    }

    /// Admits the queued requests for which there is room. The permits are to be delivered once the lock on the queue is
    /// released.
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

    /// Forwards a request to the upstream, if it is the incarnation that was meant, and waits for the response.
    ///
    /// The request may wait in the admission queue, so that all checks are made again before it is sent.
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
            target,
            deadline,
            member_share,
            ..
        } = request;
        let Some(connections) = self.accepting_pool(upstream_id) else { return UpstreamOutcome::Gone };
        let now = self.clock.now();
        if let Err(known) = self.check_fencing(now, fencing_token) {
            return UpstreamOutcome::Fenced(known);
        }
        // A large response is late when its last byte is. Its target is therefore earlier by its own transfer time, and by the
        // time that the link needs for the responses ahead of it, as far as that exceeds the run time that passes meanwhile.
        let paced = is_large && is_remote;
        let (link_wait, transfer_time) = if paced { self.large_response_delay(now) } else { (0, 0) };
        let run_time = lock(&self.admission).mean_run_time();
        let target = target.saturating_sub(transfer_time + link_wait.saturating_sub(run_time));
        if link_wait > 0 && now + run_time > target {
            return UpstreamOutcome::Rejected;
        }
        let member_share = member_share.map(|sent| self.effective_share(sent));
        let member = member_share.as_ref().map(|member_share| member_share.member.clone());
        let admitted = {
            let mut permit = None;
            let admission_request = AdmissionRequest {
                is_nested,
                rejections: request.rejections,
                has_affinity: request.has_affinity,
                target,
                deadline,
            };
            let decision = lock(&self.admission).request_for_member(
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
                    Ok(AdmissionPermit { proxy: self.clone(), started_at: 0, member })
                }
                (Admission::Queued(expires_at), Some(permit)) => Err((expires_at, permit)),
                _ => return UpstreamOutcome::Rejected,
            }
        };
        let pending = paced.then(|| PendingLargeResponse::new(self));
        self.in_flight.fetch_add(1, Relaxed);
        let id = message.head.headers().get(&ID).cloned();
        let request_id = id.as_ref().map(|id| id.as_bytes().to_vec()).unwrap_or_default();
        lock(&self.running).insert(request_id.clone(), is_retry);
        let guard = RequestGuard { proxy: self.clone(), request_id };
        let mut permit = match admitted {
            Ok(permit) => permit,
            Err((expires_at, granted)) => match timeout_at(self.clock.instant(expires_at), granted).await {
                Ok(Ok(permit)) => permit,
                Ok(Err(_)) => return UpstreamOutcome::Rejected,
                Err(_) => return UpstreamOutcome::NotSent,
            },
        };
        if self.accepting_pool(upstream_id).is_none() {
            return UpstreamOutcome::Gone;
        }
        // The session may have moved to another owner while the request waited.
        if let Err(known) = self.check_fencing(self.clock.now(), fencing_token) {
            return UpstreamOutcome::Fenced(known);
        }
        let left = deadline.saturating_sub(self.clock.now()) / MS;
        if left == 0 {
            return UpstreamOutcome::NotSent;
        }
        let mut fields = HeaderMap::new();
        fields.insert(LEFT, HeaderValue::from(left));
        if let Ok(upstream_id) = HeaderValue::try_from(upstream_id) {
            fields.insert(ADDRESSEE, upstream_id);
        }
        fields.insert(CALLER, caller.clone());
        // A response that names another request belongs to that one.
        let ours = |head: &Parts| head.headers.get(&ID) == id.as_ref();
        permit.started_at = self.clock.now();
        let class = RequestClass { member: permit.member.clone(), is_nested, is_large };
        let run = self.begin_run(permit.started_at, class);
        let answer = connections.exchange(message, &fields, deadline, Some(Box::new(permit)), ours).await;
        let (mut head, body) = match answer {
            Ok(answer) => answer,
            Err(error) => {
                let (run_outcome, outcome) = match error {
                    ExchangeError::ConnectFailed => {
                        (RunOutcome::NoConnection, UpstreamOutcome::ConnectFailed)
                    }
                    ExchangeError::NotSent => (RunOutcome::Abandoned, UpstreamOutcome::NotSent),
                    ExchangeError::Reset => (RunOutcome::Failed, UpstreamOutcome::Reset),
                    ExchangeError::TimedOut => (RunOutcome::Abandoned, UpstreamOutcome::TimedOut),
                };
                run.ended(run_outcome);
                return outcome;
            }
        };
        head.headers.remove(&WAY);
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return UpstreamOutcome::Gone;
        }
        if head.headers.contains_key(&NOT_RUN) {
            run.ended(RunOutcome::Failed);
            return UpstreamOutcome::UpstreamFull;
        }
        // A successful response without the upstream's stamp, or one that is encoded, was made or changed by something in
        // between. Whether the request has run can't be told from it.
        let stamped = head.headers.contains_key(&STAMP);
        let coded = head.headers.contains_key(CONTENT_ENCODING);
        if coded || (head.status.is_success() && !stamped) {
            run.ended(RunOutcome::Failed);
            return UpstreamOutcome::Reset;
        }
        run.ended(match head.status {
            // A run that ends at its deadline lacked time; that says nothing about the upstream's health.
            StatusCode::GATEWAY_TIMEOUT => RunOutcome::Abandoned,
            status if status.is_server_error() => RunOutcome::Failed,
            _ => RunOutcome::Succeeded,
        });
        if is_large && let Some(size) = body.size_hint().exact() {
            let mut mean = lock(&self.mean_large_bytes);
            *mean += (size as f64 - *mean) * if *mean > 0.0 { LARGE_RESPONSE_MEAN_WEIGHT } else { 1.0 };
        }
        let body = if is_remote { self.paced_response(body) } else { body };
        // From here on the response counts in the pacer.
        drop(pending);
        UpstreamOutcome::Responded(head, body.holding(guard))
    }

    /// Reports a run to the outlier detector.
    fn begin_run(self: &Arc<Self>, now: Nanos, class: RequestClass) -> UpstreamRun {
        let run_id = lock(&self.health).begin(now, class);
        self.update_health(now);
        UpstreamRun { proxy: self.clone(), run_id }
    }

    /// Logs and reports the upstream's health if it has changed.
    fn update_health(&self, now: Nanos) {
        let mut health = lock(&self.health);
        let (previous, current) = (health.health(), health.update(now));
        drop(health);
        if previous != current {
            let name = self.service().unwrap_or_default();
            log::info!(
                "upstream health: service={name} failure_level={} latency_level={}",
                current.failure_level,
                current.latency_level
            );
            self.record_changed();
        }
    }

    /// A response to another node, at the pace that the node's link allows to large ones.
    fn paced_response(&self, body: ResponseBody) -> ResponseBody {
        let body = body.paced(&self.large_responses);
        if let ResponseBody::Buffered(body) = &body {
            self.note_outgoing_bytes(body.size_hint().lower());
        }
        body
    }

    /// For a large response to another node that would be requested now: how long the link is busy with those ahead of it,
    /// and its own transfer time, both estimated from the mean size.
    fn large_response_delay(&self, now: Nanos) -> (Nanos, Nanos) {
        let mean = *lock(&self.mean_large_bytes);
        let pending_bytes = self.pending_large.load(Relaxed) as f64 * mean;
        let pace = self.large_responses.pace();
        (pace.wait(now) + pace.transfer_time(pending_bytes), pace.transfer_time(mean))
    }

    /// Tells the pacer of bytes that go to other nodes unpaced.
    pub fn note_outgoing_bytes(&self, bytes: u64) {
        self.large_responses.pace().note(self.clock.now(), bytes as usize + HEADER_ESTIMATE_BYTES);
    }

    /// The later term that is known, if the session has moved to another owner.
    fn check_fencing(&self, now: Nanos, fencing_token: Option<FencingToken>) -> Result<(), u64> {
        fencing_token.map_or(Ok(()), |fencing_token| self.fence.check(now, fencing_token))
    }

    /// The connections to the upstream, if it is this incarnation and takes requests now.
    fn accepting_pool(&self, upstream_id: &str) -> Option<Arc<ConnectionPool>> {
        let state = lock(&self.state);
        let upstream = state.upstream.as_ref()?;
        let drain_over = |since: Nanos| {
            self.clock.now() > since + (self.drain_timeout / DRAIN_DIVISOR).as_nanos() as Nanos
        };
        let accepts = upstream.id == upstream_id
            && upstream.state != UpstreamState::Absent
            && !upstream.draining_since.is_some_and(drain_over);
        accepts.then(|| upstream.connections.clone())
    }

    /// Adds the header that tells the outbound proxy how the request ended here, and the load.
    fn with_outcome(&self, mut answer: Response<ResponseBody>, word: &str) -> Response<ResponseBody> {
        if let Ok(value) = HeaderValue::try_from(format!("{word} {}", self.load())) {
            answer.headers_mut().insert(WAY, value);
        }
        answer
    }

    /// Answers a request of an outbound proxy on another node, or its question for a session that it has taken over.
    pub async fn handle_request(
        self: Arc<Self>,
        received: ReceivedRequest,
        bodies: Arc<Semaphore>,
    ) -> Response<ResponseBody> {
        let received_at = received.received_at;
        let headers = received.request.headers();
        let upstream_id = header_str(headers, &ADDRESSEE).to_owned();
        let left = header_str(headers, &LEFT).parse::<u64>().unwrap_or(0).min(MAX_TIME_LEFT_MS);
        let fence = header_str(headers, &SESSION_FENCE);
        if let Some(keys) = self.sessions.handle_handover(fence) {
            return self.with_outcome(Response::new(ResponseBody::of(keys)), "ran");
        }
        let fencing_token = FencingToken::from_header(fence);
        let RequestTerms { target_ms, rejections, has_affinity, is_retry, is_nested, is_large, member_share } =
            RequestTerms::from_headers(headers, left);
        let caller = headers.get(&CALLER).cloned().unwrap_or(HeaderValue::from_static(""));
        let read =
            listener::read_message(received, &bodies, self.clock, u64::MAX, Duration::from_secs(10)).await;
        let (mut message, _room) = match read {
            Ok(read) => read,
            Err(RequestError(status, service)) => {
                return self.with_outcome(plain_response(status, service), "unsent");
            }
        };
        message.head.headers_mut().remove(&TERMS);
        message.head.headers_mut().remove(&SESSION_FENCE);
        let (message, upstream_id, caller, is_remote) = (&Arc::new(message), &*upstream_id, &caller, true);
        let (target, deadline) = (received_at + target_ms * MS, received_at + left * MS);
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
            target,
            deadline,
            member_share,
        };
        let outcome = self.forward(request).await;
        let word = outcome.as_word();
        match outcome {
            UpstreamOutcome::Responded(head, body) => {
                self.with_outcome(Response::from_parts(head, body), word)
            }
            UpstreamOutcome::Fenced(known) => {
                self.with_outcome(plain_response(503, word), &format!("{FENCED_PREFIX}{known}"))
            }
            _ => self.with_outcome(plain_response(503, word), word),
        }
    }
}

/// Name of a control call and the id that it is about, from its query; an empty name for any other path. Ids are cut off
/// after 256 characters.
pub fn call_and_subject(uri: &hyper::Uri) -> (String, Option<String>) {
    if uri.path() != "/api/rpc" {
        return (String::new(), None);
    }
    let pairs = uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let (mut call_name, mut subject) = (String::new(), None);
    for (name, value) in pairs {
        match name {
            "call" => call_name = value.to_owned(),
            "of" => subject = Some(value.chars().take(256).collect()),
            _ => {}
        }
    }
    (call_name, subject)
}

#[cfg(test)]
#[path = "tests/inbound_tests.rs"]
mod tests;
