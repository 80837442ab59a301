//! Session affinity at an outbound proxy: the sessions that it owns, the upstream that each is bound to, and their handover
//! between proxies.
//!
//! [`acquire`] looks up the session of a request, or acquires it from the replicas and makes the previous owner release it.
//! [`bind_before_attempt`] binds a session without a usable upstream before an attempt is sent there, so that the session's
//! next owner finds the binding. [`count_success`] counts whether requests ran at the bound upstream.
//!
//! Main types: [`SessionTable`] (sessions owned by this proxy), [`BoundSession`] (the session of one request),
//! [`AffinityCounts`].
//!
//! Invariants:
//! - The header value that identifies a person is only stored and sent as a hash.
//! - A session that the replicas assigned to another owner is dropped.
//! - A request waits for its session only for a short time and then runs without it: requests that must run at most once are
//!   protected by the lease on their key, not by the session.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::header::{HOST, HeaderMap, HeaderValue};
use ochreshed::Nanos;
use ochreshed_consensus::messages::{
    CommittedSession, CoreRequest, CoreResponse, LeaseKey, SessionBinding, SessionId, SessionOwner,
    SessionRequest,
};
use sha2::{Digest, Sha256};
use tokio::sync::OwnedMutexGuard;
use tokio::time::{Instant, timeout};

use crate::body::RequestMessage;
use crate::connection::lock;
use crate::mesh::proxy::fencing::FencingToken;
use crate::mesh::proxy::headers::{ATTEMPT_OUTCOME, FENCING_TOKEN};
use crate::mesh::proxy::listener::header_str;
use crate::mesh::proxy::node::Node;
use crate::mesh::proxy::request_scheduler::{Endpoint, RequestScheduler};
use crate::mesh::rpc::{InternalRequest, InternalResponse};

const MS: Nanos = 1_000_000;
/// Timeout of a call to the replicas, over all replicas that are tried.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the call to one replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(220);
/// Timeout of the handover from the previous owner. Its requests with idempotency keys are protected by their leases.
const HANDOVER_TIMEOUT: Nanos = 150 * MS;
/// How often the replicas are told that a session is in use.
const RENEW_INTERVAL: Nanos = 60_000 * MS;
/// A session that was unused for this long is acquired again, since the replicas may have dropped it.
const REACQUIRE_AFTER: Nanos = 600_000 * MS;
/// Most sessions that are kept. The least recently used ones are dropped first and acquired again when needed.
const MAX_SESSIONS: usize = 20_000;
/// How long other requests of a session wait until its first request has bound it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Above this number of first-request locks, the unused ones are dropped.
const MAX_FIRST_REQUEST_LOCKS: usize = 4_096;
/// Most keys in flight that are tracked and reported for one session.
const MAX_HANDED_OVER_KEYS: usize = 64;
/// Number of handover durations that are kept for the percentiles.
const MAX_MOVE_SAMPLES: usize = 512;
/// Marks a handover in the header that otherwise carries a request's fencing token.
const HANDOVER_PREFIX: &str = "moved ";

/// Identifies a session: a hash of its service, the session header's name and that header's value.
pub fn session_id(service: &str, header: &str, value: impl AsRef<[u8]>) -> SessionId {
    let mut hasher = Sha256::new();
    let header = header.to_ascii_lowercase();
    for part in [service.as_bytes(), header.as_bytes(), value.as_ref()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest: [u8; 32] = hasher.finalize().into();
    digest.iter().take(16).fold(0, |id, byte| id << 8 | SessionId::from(*byte))
}

/// A session that this proxy owns.
struct OwnedSession {
    owner: SessionOwner,
    binding: Option<SessionBinding>,
    /// When its use was last reported to the replicas.
    renewed_at: Nanos,
    used_at: Nanos,
}

#[derive(Default)]
struct SessionState {
    sessions: HashMap<SessionId, OwnedSession>,
    /// The sessions by their last use.
    by_last_use: BTreeSet<(Nanos, SessionId)>,
    /// Idempotency keys of requests in flight.
    keys_in_flight: HashMap<SessionId, Vec<LeaseKey>>,
    /// Locks that a session's first request holds until the session is bound.
    first_request_locks: HashMap<SessionId, Arc<tokio::sync::Mutex<()>>>,
    /// Later terms that inbound proxies have reported: a session is acquired again with a term above.
    reported_terms: HashMap<SessionId, u64>,
    counts: AffinityCounts,
    /// Durations of the last moves, as a ring buffer.
    move_durations: Vec<Nanos>,
}

/// Counts on sessions since this outbound proxy started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffinityCounts {
    /// Sessions that are owned now.
    pub owned_sessions: usize,
    /// Sessions acquired that had no owner.
    pub new_sessions: u64,
    /// Sessions that moved here from another owner.
    pub moves: u64,
    /// Moves whose previous owner did not respond.
    pub moves_without_response: u64,
    /// Sessions released to another owner.
    pub released_sessions: u64,
    /// Requests that an inbound proxy refused because the session has a later owner.
    pub fenced_requests: u64,
    /// Requests that ran without their session because no replica responded in time.
    pub requests_without_session: u64,
    /// Requests that ran at the upstream that their session is bound to.
    pub requests_at_bound_upstream: u64,
    /// Requests that ran at another upstream although the bound one still runs.
    pub requests_at_other_upstream: u64,
    /// Sessions that were bound to another upstream because theirs had ended.
    pub rebound_sessions: u64,
    /// Median duration of a move, in ns.
    pub median_move_duration: Nanos,
    /// 99th percentile of the duration of a move, in ns.
    pub p99_move_duration: Nanos,
}

/// The sessions that an outbound proxy owns.
#[derive(Default)]
pub struct SessionTable(Mutex<SessionState>);

/// The session of one request.
pub struct BoundSession {
    /// Sent to the inbound proxy with each attempt.
    pub fencing_token: FencingToken,
    /// The upstream that the session is bound to; none for a new session.
    pub binding: Option<SessionBinding>,
    owner: SessionOwner,
    /// Held by the session's first request at this proxy; others wait for it until the session is bound.
    first_request_guard: Option<OwnedMutexGuard<()>>,
    /// The session has no upstream that accepts requests and must be bound before an attempt is sent.
    needs_binding: bool,
}

impl BoundSession {
    fn new(
        fencing_token: FencingToken,
        binding: Option<SessionBinding>,
        owner: SessionOwner,
    ) -> BoundSession {
        BoundSession { fencing_token, binding, owner, first_request_guard: None, needs_binding: false }
    }

    /// Whether the session is bound to an upstream that accepts requests.
    fn has_usable_binding(&self, scheduler: &RequestScheduler) -> bool {
        self.binding
            .as_ref()
            .is_some_and(|binding| scheduler.accepts_requests(&binding.upstream_id.as_str().into()))
    }

    /// Whether the session is bound to this upstream incarnation.
    pub fn is_bound_to(&self, upstream_id: &str) -> bool {
        self.binding.as_ref().is_some_and(|binding| binding.upstream_id == upstream_id)
    }
}

/// Marks a key as in flight in a session until it is dropped.
pub struct KeyInFlight {
    node: Arc<Node>,
    session: SessionId,
    key: LeaseKey,
}

impl Drop for KeyInFlight {
    fn drop(&mut self) {
        let mut state = lock(&self.node.sessions().0);
        if let Some(keys) = state.keys_in_flight.get_mut(&self.session) {
            keys.retain(|key| *key != self.key);
            if keys.is_empty() {
                state.keys_in_flight.remove(&self.session);
            }
        }
    }
}

impl SessionState {
    fn remove(&mut self, session: SessionId) {
        if let Some(removed) = self.sessions.remove(&session) {
            self.by_last_use.remove(&(removed.used_at, session));
        }
    }

    /// Adds a session, and drops the least recently used ones above [`MAX_SESSIONS`].
    fn insert(&mut self, now: Nanos, session: SessionId, committed: &CommittedSession, owner: SessionOwner) {
        self.remove(session);
        while self.sessions.len() >= MAX_SESSIONS
            && let Some(&(_, oldest)) = self.by_last_use.first()
        {
            self.remove(oldest);
        }
        let binding = committed.ownership.binding.clone();
        self.sessions.insert(session, OwnedSession { owner, binding, renewed_at: now, used_at: now });
        self.by_last_use.insert((now, session));
    }

    /// Returns the session if it is owned, marked as used now, and whether it must be renewed at the replicas.
    fn use_session(&mut self, now: Nanos, session: SessionId) -> Option<(BoundSession, bool)> {
        let owned = self.sessions.get_mut(&session)?;
        if now > owned.used_at.saturating_add(REACQUIRE_AFTER) {
            self.remove(session);
            return None;
        }
        self.by_last_use.remove(&(owned.used_at, session));
        owned.used_at = now;
        self.by_last_use.insert((now, session));
        let must_renew = now > owned.renewed_at.saturating_add(RENEW_INTERVAL);
        if must_renew {
            owned.renewed_at = now;
        }
        let fencing_token = FencingToken { session, since_term: owned.owner.since_term };
        Some((BoundSession::new(fencing_token, owned.binding.clone(), owned.owner), must_renew))
    }
}

impl SessionTable {
    /// The current counts, with the percentiles of the last moves.
    pub fn counts(&self) -> AffinityCounts {
        let state = lock(&self.0);
        let mut durations = state.move_durations.clone();
        durations.sort_unstable();
        let percentile = |percent: usize| {
            durations.get((durations.len() * percent / 100).min(durations.len().saturating_sub(1)))
        };
        AffinityCounts {
            owned_sessions: state.sessions.len(),
            median_move_duration: percentile(50).copied().unwrap_or(0),
            p99_move_duration: percentile(99).copied().unwrap_or(0),
            ..state.counts
        }
    }

    /// The counts as JSON for operators; `fenced_here` is the number of requests that this node's inbound proxy has refused.
    pub fn status_json(&self, fenced_here: u64) -> String {
        let counts = self.counts();
        let ms = |nanos: Nanos| nanos as f64 / 1e6;
        jzon::stringify(jzon::object! {
            "sessions": counts.owned_sessions,
            "begun": counts.new_sessions,
            "moves": counts.moves,
            "moves_unheard": counts.moves_without_response,
            "move_ms": {
                "half": ms(counts.median_move_duration),
                "all_but_1_of_100": ms(counts.p99_move_duration),
            },
            "left": counts.released_sessions,
            "without": counts.requests_without_session,
            "ties": {
                "kept": counts.requests_at_bound_upstream,
                "crowded": counts.requests_at_other_upstream,
                "gone": counts.rebound_sessions,
            },
            "fenced": { "here": fenced_here, "elsewhere": counts.fenced_requests },
        })
    }

    /// Releases a session that another proxy has owned since the token's term. Returns the keys of its requests in flight at
    /// this proxy.
    pub fn release(&self, fencing_token: FencingToken) -> Vec<LeaseKey> {
        let mut state = lock(&self.0);
        if state
            .sessions
            .get(&fencing_token.session)
            .is_some_and(|owned| owned.owner.since_term < fencing_token.since_term)
        {
            state.remove(fencing_token.session);
            state.counts.released_sessions += 1;
        }
        state.keys_in_flight.get(&fencing_token.session).cloned().unwrap_or_default()
    }

    /// Handles a handover. Returns the keys in flight, one per line; `None` if the header doesn't announce a handover.
    pub fn handle_handover(&self, header: &str) -> Option<String> {
        let fencing_token = FencingToken::from_header(header.strip_prefix(HANDOVER_PREFIX)?)?;
        Some(self.release(fencing_token).iter().map(|key| format!("{key:032x}\n")).collect())
    }

    /// Records that an inbound proxy refused a request because it knows the later term `owner_term`.
    pub fn record_fencing(&self, fencing_token: FencingToken, owner_term: u64) {
        let mut state = lock(&self.0);
        state.counts.fenced_requests += 1;
        if state.sessions.get(&fencing_token.session).is_some_and(|owned| owned.owner.since_term < owner_term)
        {
            state.remove(fencing_token.session);
        }
        if state.reported_terms.len() >= MAX_SESSIONS {
            state.reported_terms.clear();
        }
        state.reported_terms.insert(fencing_token.session, owner_term);
    }

    /// Stores a session as committed by the replicas; `None` if this proxy, `own_address`, doesn't own it.
    fn store_committed(
        &self,
        now: Nanos,
        session: SessionId,
        committed: &CommittedSession,
        own_address: SocketAddr,
    ) -> Option<BoundSession> {
        let mut state = lock(&self.0);
        let Some(owner) = committed.ownership.owner.filter(|owner| owner.outbound_proxy == own_address)
        else {
            state.remove(session);
            return None;
        };
        let is_newer = |owned: &OwnedSession| owned.owner.since_term > owner.since_term;
        if !state.sessions.get(&session).is_some_and(is_newer) {
            state.insert(now, session, committed, owner);
        }
        state.reported_terms.remove(&session);
        let fencing_token = FencingToken { session, since_term: owner.since_term };
        Some(BoundSession::new(fencing_token, committed.ownership.binding.clone(), owner))
    }
}

/// Calls the replicas one after the other. The outer `None` means that none responded in time.
async fn call_replicas(
    node: &Node,
    session: SessionId,
    request: SessionRequest,
) -> Option<Option<CommittedSession>> {
    let deadline = Instant::now() + ACQUIRE_TIMEOUT;
    for replica in node.replicas.replicas_for_key(session) {
        if Instant::now() >= deadline {
            break;
        }
        let call = InternalRequest::Core(CoreRequest::Session(session, request.clone()));
        match node.rpc.client_for(replica).call(call, REPLICA_TIMEOUT).await {
            Ok(InternalResponse::Core(CoreResponse::Session(committed))) => {
                node.replicas.response_received(replica);
                return Some(committed);
            }
            Ok(InternalResponse::Core(_)) => {}
            _ => node.replicas.request_failed(replica),
        }
    }
    None
}

/// Returns the session of a request, acquired from its previous owner if this proxy doesn't own it. `None` if the replicas
/// don't respond in time: the request then runs without a session. `follows_binding` says whether the request goes to the
/// upstream that the session is bound to.
pub async fn acquire(
    node: &Arc<Node>,
    scheduler: &RequestScheduler,
    session: SessionId,
    follows_binding: bool,
) -> Option<BoundSession> {
    let find_owned = || {
        let (bound, must_renew) = lock(&node.sessions().0).use_session(node.clock.now(), session)?;
        if must_renew {
            tokio::spawn(renew(node.clone(), session, bound.owner));
        }
        Some(bound)
    };
    let owned = find_owned();
    if owned.as_ref().is_some_and(|bound| bound.has_usable_binding(scheduler) || !follows_binding) {
        return owned;
    }
    let first_request_lock = {
        let mut state = lock(&node.sessions().0);
        if state.first_request_locks.len() >= MAX_FIRST_REQUEST_LOCKS {
            state.first_request_locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        }
        state.first_request_locks.entry(session).or_default().clone()
    };
    let first_request_guard = timeout(FIRST_REQUEST_TIMEOUT, first_request_lock.lock_owned()).await.ok();
    let mut bound = match find_owned() {
        Some(bound) => bound,
        None => acquire_from_replicas(node, session).await?,
    };
    bound.needs_binding = follows_binding && !bound.has_usable_binding(scheduler);
    bound.first_request_guard = first_request_guard.filter(|_| bound.needs_binding);
    Some(bound)
}

/// Acquires a session from the replicas, and makes its previous owner release it.
async fn acquire_from_replicas(node: &Arc<Node>, session: SessionId) -> Option<BoundSession> {
    let (now, own_address, table) = (node.clock.now(), node.inbound_address(), node.sessions());
    let above_term = lock(&table.0).reported_terms.get(&session).copied().unwrap_or(0);
    let committed = match node.quorum_unreachable() {
        true => None,
        false => {
            let request = SessionRequest::Acquire { outbound_proxy: own_address, above_term };
            call_replicas(node, session, request).await.flatten()
        }
    };
    let Some(committed) = committed else {
        lock(&table.0).counts.requests_without_session += 1;
        return None;
    };
    let previous_owner =
        committed.ownership.previous_owner.filter(|previous| previous.outbound_proxy != own_address);
    let is_new_owner = committed.ownership.owner.is_some_and(|owner| owner.since_term == committed.term);
    let bound = table.store_committed(now, session, &committed, own_address)?;
    match previous_owner.filter(|_| is_new_owner) {
        Some(previous) => {
            let has_responded =
                request_handover(node, previous.outbound_proxy, bound.fencing_token).await.is_some();
            let duration = node.clock.now().saturating_sub(now);
            let mut state = lock(&table.0);
            state.counts.moves += 1;
            state.counts.moves_without_response += u64::from(!has_responded);
            let at = state.counts.moves as usize % MAX_MOVE_SAMPLES;
            match state.move_durations.get_mut(at) {
                Some(sample) => *sample = duration,
                None => state.move_durations.push(duration),
            }
        }
        None => lock(&table.0).counts.new_sessions += u64::from(is_new_owner),
    }
    Some(bound)
}

/// Renews a session at the replicas, and releases it if it turns out to have a later owner.
async fn renew(node: Arc<Node>, session: SessionId, owner: SessionOwner) {
    if let Some(Some(committed)) = call_replicas(&node, session, SessionRequest::Renew(owner)).await
        && let Some(current_owner) = committed.ownership.owner
        && current_owner.since_term > owner.since_term
    {
        node.sessions().release(FencingToken { session, since_term: current_owner.since_term });
    }
}

/// Requests the handover of a session from its previous owner. Returns the keys in flight there; `None` if it didn't respond
/// in time.
async fn request_handover(
    node: &Arc<Node>,
    previous_owner: SocketAddr,
    fencing_token: FencingToken,
) -> Option<Vec<LeaseKey>> {
    let mut head = hyper::Request::new(());
    *head.method_mut() = hyper::Method::POST;
    head.headers_mut().insert(HOST, HeaderValue::from_static("ochreshed"));
    let message = Arc::new(RequestMessage {
        head,
        first_bytes: bytes::Bytes::new(),
        body_length: Some(0),
        remainder: None,
    });
    let mut added_headers = HeaderMap::new();
    added_headers.insert(
        FENCING_TOKEN,
        HeaderValue::try_from(format!("{HANDOVER_PREFIX}{}", fencing_token.to_header())).ok()?,
    );
    let deadline = node.clock.now() + HANDOVER_TIMEOUT;
    let is_from_inbound_proxy =
        |head: &hyper::http::response::Parts| head.headers.contains_key(&ATTEMPT_OUTCOME);
    let pool = node.connection_pool(previous_owner);
    let response = pool.exchange(&message, &added_headers, deadline, None, is_from_inbound_proxy).await;
    let (head, body) = response.ok()?;
    if header_str(&head.headers, &ATTEMPT_OUTCOME).split(' ').next() != Some("ran") {
        return None; // An older version, which doesn't support sessions.
    }
    let body = http_body_util::BodyExt::collect(body).await.ok()?.to_bytes();
    let keys = std::str::from_utf8(&body).ok()?.lines();
    Some(keys.take(MAX_HANDED_OVER_KEYS).filter_map(|key| LeaseKey::from_str_radix(key, 16).ok()).collect())
}

/// Marks a key as in flight in a session, so that it is reported in a handover.
pub fn track_key(node: &Arc<Node>, session: SessionId, key: LeaseKey) -> KeyInFlight {
    let mut state = lock(&node.sessions().0);
    let keys = state.keys_in_flight.entry(session).or_default();
    if keys.len() < MAX_HANDED_OVER_KEYS {
        keys.push(key);
    }
    KeyInFlight { node: node.clone(), session, key }
}

/// To be called before an attempt is sent to an endpoint. If the session has no upstream, or one that is gone, it is bound to
/// this one before anything can run there, so that the next owner finds the binding. Returns false if another proxy owns the
/// session now or has bound it to another upstream: the attempt must then not be sent.
pub async fn bind_before_attempt(
    node: &Arc<Node>,
    scheduler: &RequestScheduler,
    bound: &mut BoundSession,
    endpoint: &Endpoint,
) -> bool {
    bound.needs_binding |= !bound.has_usable_binding(scheduler);
    // Without a reachable quorum, requests don't wait for the replicas, as in `acquire_from_replicas`.
    if !bound.needs_binding || bound.is_bound_to(&endpoint.upstream_id) || node.quorum_unreachable() {
        return true;
    }
    let binding = SessionBinding {
        upstream_id: endpoint.upstream_id.to_string(),
        inbound_proxy: endpoint.inbound_proxy,
    };
    let current_upstream_id = bound.binding.as_ref().map(|binding| binding.upstream_id.clone());
    let is_rebinding = current_upstream_id.is_some() && !bound.has_usable_binding(scheduler);
    let request = SessionRequest::Bind { owner: bound.owner, current_upstream_id, binding: binding.clone() };
    let session = bound.fencing_token.session;
    let Some(Some(committed)) = call_replicas(node, session, request).await else { return true };
    node.sessions().store_committed(node.clock.now(), session, &committed, node.inbound_address());
    bound.first_request_guard = None;
    let is_bound_as_requested = committed.ownership.owner == Some(bound.owner)
        && committed.ownership.binding.as_ref() == Some(&binding);
    if is_bound_as_requested && is_rebinding {
        lock(&node.sessions().0).counts.rebound_sessions += 1;
    }
    bound.binding = committed.ownership.binding;
    is_bound_as_requested
}

/// Counts a request of a session that succeeded at this endpoint.
pub fn count_success(node: &Node, bound: &BoundSession, endpoint: &Endpoint) {
    let counts = &mut lock(&node.sessions().0).counts;
    match &bound.binding {
        Some(binding) if *binding.upstream_id == *endpoint.upstream_id => {
            counts.requests_at_bound_upstream += 1
        }
        // The session stays bound: its upstream was only at capacity or failed once.
        Some(_) => counts.requests_at_other_upstream += 1,
        None => {}
    }
}

#[cfg(test)]
#[path = "tests/session_affinity_tests.rs"]
mod tests;
