//! Sessions at an outbound proxy: which sessions it owns, the upstream that each is bound to, and the handover between proxies.
//!
//! [`acquire`] finds the session of a request, or acquires it from the replicas and asks the previous owner to let it go.
//! [`attempt_starting`] binds a session without a usable upstream before the first attempt there, so that whoever acquires the
//! session next finds the binding; [`attempt_succeeded`] counts how the binding was kept.
//!
//! Main types: [`SessionTable`] (what this proxy owns), [`BoundSession`] (the session of one request), [`AffinityCounts`].
//!
//! Invariants:
//! - The value that names a person is neither stored nor passed on, only its hash.
//! - A session that the replicas gave to another owner is not kept.
//! - A request waits for its session only for a short time and then goes on without it: what must run once is kept by the lease
//!   on its key, not by the session.

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
use crate::mesh::proxy::headers::{SESSION_FENCE, WAY};
use crate::mesh::proxy::listener::header_str;
use crate::mesh::proxy::node::Node;
use crate::mesh::proxy::request_scheduler::{Endpoint, RequestScheduler};
use crate::mesh::rpc::{InternalRequest, InternalResponse};

const MS: Nanos = 1_000_000;
/// How long a request waits for the replicas in all.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long one replica is waited for.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(220);
/// How long the previous owner of a session is waited for. Its requests with keys are safe by their leases.
const HANDOVER_TIMEOUT: Nanos = 150 * MS;
/// How often the replicas are told that a session is in use.
const RENEW_INTERVAL: Nanos = 60_000 * MS;
/// A session that was not used for this long is acquired again, since the replicas may have dropped it.
const REACQUIRE_AFTER: Nanos = 600_000 * MS;
/// How many sessions are kept; those not used for longest are dropped first and acquired again when needed.
const MAX_SESSIONS: usize = 20_000;
/// How long other requests of a session wait for its first one.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Above this number, sessions without a first request in flight are dropped from the table of these.
const MAX_FIRST_REQUESTS: usize = 4_096;
/// Most keys in flight that are reported of one session.
const MAX_HANDED_OVER_KEYS: usize = 64;
/// How many durations of moves are remembered.
const MAX_MOVE_SAMPLES: usize = 512;
/// Marks a handover in the header that otherwise has a request's fencing token.
const HANDOVER_PREFIX: &str = "moved ";

/// Identifies a session: a hash of its service, the header that names it and that header's value.
pub fn session_id(service: &str, header: &str, value: &str) -> SessionId {
    let mut sum = Sha256::new();
    for part in [service, &header.to_ascii_lowercase(), value] {
        sum.update((part.len() as u64).to_be_bytes());
        sum.update(part);
    }
    let sum: [u8; 32] = sum.finalize().into();
    sum.iter().take(16).fold(0, |all, byte| all << 8 | SessionId::from(*byte))
}

/// A session that this proxy owns.
struct OwnedSession {
    owner: SessionOwner,
    binding: Option<SessionBinding>,
    /// When the replicas last heard of its use.
    renewed_at: Nanos,
    used_at: Nanos,
}

#[derive(Default)]
struct SessionState {
    held: HashMap<SessionId, OwnedSession>,
    /// The sessions by their last use.
    order: BTreeSet<(Nanos, SessionId)>,
    /// Keys of requests in flight.
    keys: HashMap<SessionId, Vec<LeaseKey>>,
    /// Locks that the first request of a session holds until it is known where the session is bound.
    firsts: HashMap<SessionId, Arc<tokio::sync::Mutex<()>>>,
    /// Later terms that inbound proxies have reported: the session is acquired with a term above.
    above: HashMap<SessionId, u64>,
    counts: AffinityCounts,
    /// Durations of the last moves, as a ring.
    move_times: Vec<Nanos>,
}

/// What this outbound proxy has seen of sessions since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffinityCounts {
    /// Sessions owned now.
    pub held: usize,
    /// Acquired sessions that had no owner.
    pub begun: u64,
    /// Sessions that moved here from another owner.
    pub moves: u64,
    /// Of these, those whose previous owner did not answer.
    pub unheard: u64,
    /// Sessions given up to another owner.
    pub left: u64,
    /// Requests that an inbound proxy refused since the session has a later owner.
    pub fenced: u64,
    /// Requests that went on without a session since no replica answered in time.
    pub without: u64,
    /// Requests that ran at the upstream to which their session is bound.
    pub kept: u64,
    /// Requests that ran at another upstream though that one still runs.
    pub crowded: u64,
    /// Sessions that were bound to another upstream since theirs was gone.
    pub gone: u64,
    /// Median duration of a move, in ns.
    pub move_half: Nanos,
    /// 99th percentile of the duration of a move, in ns.
    pub move_most: Nanos,
}

/// The sessions that an outbound proxy owns.
#[derive(Default)]
pub struct SessionTable(Mutex<SessionState>);

/// The session of one request.
pub struct BoundSession {
    /// Goes with each attempt to the inbound proxy.
    pub token: FencingToken,
    /// The upstream to which the session is bound; none if it is new.
    pub binding: Option<SessionBinding>,
    owner: SessionOwner,
    /// Held by the first request of a session here: others wait until it is known where the session is bound.
    first: Option<OwnedMutexGuard<()>>,
    /// The session was bound to no upstream that accepts requests when the request came: it is bound before an attempt is sent.
    unplaced: bool,
}

impl BoundSession {
    fn new(
        fencing_token: FencingToken,
        binding: Option<SessionBinding>,
        owner: SessionOwner,
    ) -> BoundSession {
        BoundSession { token: fencing_token, binding, owner, first: None, unplaced: false }
    }

    /// Whether the session is bound to an upstream that accepts requests.
    fn is_placed(&self, scheduler: &RequestScheduler) -> bool {
        self.binding
            .as_ref()
            .is_some_and(|binding| scheduler.accepts_requests(&binding.upstream_id.as_str().into()))
    }

    /// Whether the session is bound to this incarnation of an upstream.
    pub fn is_bound_to(&self, srv: &str) -> bool {
        self.binding.as_ref().is_some_and(|binding| binding.upstream_id == srv)
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
        let mut inner = lock(&self.node.sessions().0);
        if let Some(keys) = inner.keys.get_mut(&self.session) {
            keys.retain(|key| *key != self.key);
            if keys.is_empty() {
                inner.keys.remove(&self.session);
            }
        }
    }
}

impl SessionState {
    /// Drops a session.
    fn remove(&mut self, session: SessionId) {
        if let Some(was) = self.held.remove(&session) {
            self.order.remove(&(was.used_at, session));
        }
    }

    /// Adds a session, in place of the one not used for longest if there are too many.
    fn put(&mut self, now: Nanos, session: SessionId, agreed: &CommittedSession, owner: SessionOwner) {
        self.remove(session);
        while self.held.len() >= MAX_SESSIONS
            && let Some(&(_, oldest)) = self.order.first()
        {
            self.remove(oldest);
        }
        let binding = agreed.ownership.binding.clone();
        self.held.insert(session, OwnedSession { owner, binding, renewed_at: now, used_at: now });
        self.order.insert((now, session));
    }

    /// The session if it is owned, now counted as used, and whether the replicas are to be told of that.
    fn use_session(&mut self, now: Nanos, session: SessionId) -> Option<(BoundSession, bool)> {
        let has = self.held.get_mut(&session)?;
        if now > has.used_at.saturating_add(REACQUIRE_AFTER) {
            self.remove(session);
            return None;
        }
        self.order.remove(&(has.used_at, session));
        has.used_at = now;
        self.order.insert((now, session));
        let renew = now > has.renewed_at.saturating_add(RENEW_INTERVAL);
        if renew {
            has.renewed_at = now;
        }
        let fencing_token = FencingToken { session, since_term: has.owner.since_term };
        Some((BoundSession::new(fencing_token, has.binding.clone(), has.owner), renew))
    }
}

impl SessionTable {
    /// The counts now, with the percentiles of the last moves.
    pub fn counts(&self) -> AffinityCounts {
        let inner = lock(&self.0);
        let mut times = inner.move_times.clone();
        times.sort_unstable();
        let at = |part: usize| times.get((times.len() * part / 100).min(times.len().saturating_sub(1)));
        let (half, most) = (at(50).copied().unwrap_or(0), at(99).copied().unwrap_or(0));
        AffinityCounts { held: inner.held.len(), move_half: half, move_most: most, ..inner.counts }
    }

    /// The counts as JSON for operators; `fenced_here` is how many requests the inbound proxy of this node has refused.
    pub fn status_json(&self, fenced_here: u64) -> String {
        let counts = self.counts();
        let ms = |nanos: Nanos| nanos as f64 / 1e6;
        jzon::stringify(jzon::object! {
            "sessions": counts.held,
            "begun": counts.begun,
            "moves": counts.moves,
            "moves_unheard": counts.unheard,
            "move_ms": { "half": ms(counts.move_half), "all_but_1_of_100": ms(counts.move_most) },
            "left": counts.left,
            "without": counts.without,
            "ties": { "kept": counts.kept, "crowded": counts.crowded, "gone": counts.gone },
            "fenced": { "here": fenced_here, "elsewhere": counts.fenced },
        })
    }

    /// Gives up a session that another proxy owns since the token's term. Returns the keys of its requests in flight here.
    pub fn release(&self, fencing_token: FencingToken) -> Vec<LeaseKey> {
        let mut inner = lock(&self.0);
        if inner
            .held
            .get(&fencing_token.session)
            .is_some_and(|has| has.owner.since_term < fencing_token.since_term)
        {
            inner.remove(fencing_token.session);
            inner.counts.left += 1;
        }
        inner.keys.get(&fencing_token.session).cloned().unwrap_or_default()
    }

    /// Answers a handover: the keys in flight, one a line. `None` if the header is not one of a handover.
    pub fn handle_handover(&self, word: &str) -> Option<String> {
        let fencing_token = FencingToken::from_header(word.strip_prefix(HANDOVER_PREFIX)?)?;
        Some(self.release(fencing_token).iter().map(|key| format!("{key:032x}\n")).collect())
    }

    /// Notes that an inbound proxy refused a request since it knows the later term `known`.
    pub fn fenced(&self, fencing_token: FencingToken, known: u64) {
        let mut inner = lock(&self.0);
        inner.counts.fenced += 1;
        if inner.held.get(&fencing_token.session).is_some_and(|has| has.owner.since_term < known) {
            inner.remove(fencing_token.session);
        }
        if inner.above.len() >= MAX_SESSIONS {
            inner.above.clear();
        }
        inner.above.insert(fencing_token.session, known);
    }

    /// Takes over what the replicas have committed of a session; `None` if this proxy, `me`, doesn't own it.
    fn learn(
        &self,
        now: Nanos,
        session: SessionId,
        got: &CommittedSession,
        me: SocketAddr,
    ) -> Option<BoundSession> {
        let mut inner = lock(&self.0);
        let Some(owner) = got.ownership.owner.filter(|owner| owner.outbound_proxy == me) else {
            inner.remove(session);
            return None;
        };
        let newer = |has: &OwnedSession| has.owner.since_term > owner.since_term;
        if !inner.held.get(&session).is_some_and(newer) {
            inner.put(now, session, got, owner);
        }
        inner.above.remove(&session);
        let fencing_token = FencingToken { session, since_term: owner.since_term };
        Some(BoundSession::new(fencing_token, got.ownership.binding.clone(), owner))
    }
}

/// Asks the replicas one after the other. The outer `None`: none answered in time.
async fn ask(node: &Node, session: SessionId, wish: SessionRequest) -> Option<Option<CommittedSession>> {
    let until = Instant::now() + ACQUIRE_TIMEOUT;
    for replica in node.replicas.replicas_for_key(session) {
        if Instant::now() >= until {
            break;
        }
        let ask = InternalRequest::Core(CoreRequest::Session(session, wish.clone()));
        match node.rpc.to(replica).call(ask, REPLICA_TIMEOUT).await {
            Ok(InternalResponse::Core(CoreResponse::Session(agreed))) => {
                node.replicas.response_received(replica);
                return Some(agreed);
            }
            Ok(InternalResponse::Core(_)) => {}
            _ => node.replicas.request_failed(replica),
        }
    }
    None
}

/// The session of a request, acquired from its previous owner if it isn't owned here. `None` if the replicas don't answer in
/// time: the request then goes on without a session. `ties` says whether the request follows the session's binding.
pub async fn acquire(
    node: &Arc<Node>,
    scheduler: &RequestScheduler,
    session: SessionId,
    ties: bool,
) -> Option<BoundSession> {
    let known = || {
        let (bound, renew) = lock(&node.sessions().0).use_session(node.clock.now(), session)?;
        if renew {
            tokio::spawn(renewal(node.clone(), session, bound.owner));
        }
        Some(bound)
    };
    let had = known();
    if had.as_ref().is_some_and(|bound| bound.is_placed(scheduler) || !ties) {
        return had;
    }
    let first = {
        let mut inner = lock(&node.sessions().0);
        if inner.firsts.len() >= MAX_FIRST_REQUESTS {
            inner.firsts.retain(|_, first| Arc::strong_count(first) > 1);
        }
        inner.firsts.entry(session).or_default().clone()
    };
    let first = timeout(FIRST_REQUEST_TIMEOUT, first.lock_owned()).await.ok();
    let mut bound = match known() {
        Some(bound) => bound,
        None => ask_for(node, session).await?,
    };
    bound.unplaced = ties && !bound.is_placed(scheduler);
    bound.first = first.filter(|_| bound.unplaced);
    Some(bound)
}

/// Acquires a session from the replicas, and has its previous owner give it up.
async fn ask_for(node: &Arc<Node>, session: SessionId) -> Option<BoundSession> {
    let (now, me, all) = (node.clock.now(), node.inbound_address(), node.sessions());
    let above = lock(&all.0).above.get(&session).copied().unwrap_or(0);
    let agreed = match node.quorum_unreachable() {
        true => None,
        false => ask(node, session, SessionRequest::Acquire { outbound_proxy: me, above_term: above })
            .await
            .flatten(),
    };
    let Some(agreed) = agreed else {
        lock(&all.0).counts.without += 1;
        return None;
    };
    let before = agreed.ownership.previous_owner.filter(|before| before.outbound_proxy != me);
    let fresh = agreed.ownership.owner.is_some_and(|owner| owner.since_term == agreed.term);
    let bound = all.learn(now, session, &agreed, me)?;
    match before.filter(|_| fresh) {
        Some(before) => {
            let heard = hand_over(node, before.outbound_proxy, bound.token).await.is_some();
            let took = node.clock.now().saturating_sub(now);
            let mut inner = lock(&all.0);
            inner.counts.moves += 1;
            inner.counts.unheard += u64::from(!heard);
            let at = inner.counts.moves as usize % MAX_MOVE_SAMPLES;
            match inner.move_times.get_mut(at) {
                Some(time) => *time = took,
                None => inner.move_times.push(took),
            }
        }
        None => lock(&all.0).counts.begun += u64::from(fresh),
    }
    Some(bound)
}

/// Tells the replicas that a session is in use; gives it up if it turns out to have a later owner.
async fn renewal(node: Arc<Node>, session: SessionId, owner: SessionOwner) {
    if let Some(Some(agreed)) = ask(&node, session, SessionRequest::Renew(owner)).await
        && let Some(other) = agreed.ownership.owner
        && other.since_term > owner.since_term
    {
        node.sessions().release(FencingToken { session, since_term: other.since_term });
    }
}

/// Asks the previous owner of a session to give it up. Returns the keys in flight there; `None` if it didn't answer in time.
async fn hand_over(node: &Arc<Node>, gate: SocketAddr, fencing_token: FencingToken) -> Option<Vec<LeaseKey>> {
    let mut head = hyper::Request::new(());
    *head.method_mut() = hyper::Method::POST;
    head.headers_mut().insert(HOST, HeaderValue::from_static("ochreshed"));
    let message = Arc::new(RequestMessage {
        head,
        first_bytes: bytes::Bytes::new(),
        body_length: Some(0),
        remainder: None,
    });
    let mut fields = HeaderMap::new();
    fields.insert(
        SESSION_FENCE,
        HeaderValue::try_from(format!("{HANDOVER_PREFIX}{}", fencing_token.to_header())).ok()?,
    );
    let until = node.clock.now() + HANDOVER_TIMEOUT;
    let ours = |head: &hyper::http::response::Parts| head.headers.contains_key(&WAY);
    let answer = node.connection_pool(gate).exchange(&message, &fields, until, None, ours).await;
    let (head, body) = answer.ok()?;
    if header_str(&head.headers, &WAY).split(' ').next() != Some("ran") {
        return None; // An older version, which owns no sessions.
    }
    let body = http_body_util::BodyExt::collect(body).await.ok()?.to_bytes();
    let keys = std::str::from_utf8(&body).ok()?.lines();
    Some(keys.take(MAX_HANDED_OVER_KEYS).filter_map(|key| LeaseKey::from_str_radix(key, 16).ok()).collect())
}

/// Marks a key as in flight in a session, so that a handover reports it.
pub fn track_key(node: &Arc<Node>, session: SessionId, key: LeaseKey) -> KeyInFlight {
    let mut inner = lock(&node.sessions().0);
    let keys = inner.keys.entry(session).or_default();
    if keys.len() < MAX_HANDED_OVER_KEYS {
        keys.push(key);
    }
    KeyInFlight { node: node.clone(), session, key }
}

/// To be called before an attempt is sent to an endpoint. If the session is bound to no upstream, or to one that is gone, it is
/// bound to this one before anything can have run there, so that the next owner finds the binding. Returns false if another
/// proxy owns the session now or has bound it elsewhere: the attempt must then not be sent.
pub async fn attempt_starting(
    node: &Arc<Node>,
    scheduler: &RequestScheduler,
    bound: &mut BoundSession,
    endpoint: &Endpoint,
) -> bool {
    bound.unplaced |= !bound.is_placed(scheduler);
    // While no quorum is reachable, requests don't wait for it, as in `ask_for`.
    if !bound.unplaced || bound.is_bound_to(&endpoint.upstream_id) || node.quorum_unreachable() {
        return true;
    }
    let binding = SessionBinding {
        upstream_id: endpoint.upstream_id.to_string(),
        inbound_proxy: endpoint.inbound_proxy,
    };
    let was = bound.binding.as_ref().map(|binding| binding.upstream_id.clone());
    let succeeds = was.is_some() && !bound.is_placed(scheduler);
    let wish =
        SessionRequest::Bind { owner: bound.owner, current_upstream_id: was, binding: binding.clone() };
    let Some(Some(agreed)) = ask(node, bound.token.session, wish).await else { return true };
    node.sessions().learn(node.clock.now(), bound.token.session, &agreed, node.inbound_address());
    bound.first = None;
    let ours =
        agreed.ownership.owner == Some(bound.owner) && agreed.ownership.binding.as_ref() == Some(&binding);
    if ours && succeeds {
        lock(&node.sessions().0).counts.gone += 1;
    }
    bound.binding = agreed.ownership.binding;
    ours
}

/// Counts a request that succeeded at this endpoint.
pub fn attempt_succeeded(node: &Node, bound: &BoundSession, endpoint: &Endpoint) {
    let counts = &mut lock(&node.sessions().0).counts;
    match &bound.binding {
        Some(binding) if *binding.upstream_id == *endpoint.upstream_id => counts.kept += 1,
        // The session stays bound there: that upstream was only at capacity, or failed this once.
        Some(_) => counts.crowded += 1,
        None => {}
    }
}

#[cfg(test)]
#[path = "tests/session_affinity_tests.rs"]
mod tests;
