//! The sessions that this machine's gate has: whose reqs it sends on without asking, and under which fence. It owns what
//! is held here, the asks to the core, and the hand-over between gates. It must never keep or tell the value that names a
//! person, hold a session that the core gave to another, nor keep a req waiting for long: exactly once rests on keys.

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

use crate::body::Message;
use crate::link::held;
use crate::mesh::proxy::fencing::FencingToken;
use crate::mesh::proxy::headers::{SESSION_FENCE, WAY};
use crate::mesh::proxy::listener::header_str;
use crate::mesh::proxy::node::Node;
use crate::mesh::proxy::request_scheduler::{Endpoint, RequestScheduler};
use crate::mesh::rpc::{InternalRequest, InternalResponse};

const MS: Nanos = 1_000_000;
/// A req waits so long for the core, and one steward is waited for so long.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(500);
const REPLICA_TIMEOUT: Duration = Duration::from_millis(220);
/// And so long for the gate that had the session; its keys are safe by their claims.
const HANDOVER_TIMEOUT: Nanos = 150 * MS;
/// The core is told of a session that is used so often.
const RENEW_INTERVAL: Nanos = 60_000 * MS;
/// What was not used for so long is asked for again: the core may have forgotten it.
const REACQUIRE_AFTER: Nanos = 600_000 * MS;
/// So many are held; those that were not used for longest are asked for again.
const MAX_SESSIONS: usize = 20_000;
/// Others wait so long for the first req of a session, and so many sessions have one.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_FIRST_REQUESTS: usize = 4_096;
/// Keys told of one session.
const MAX_HANDED_OVER_KEYS: usize = 64;
/// Times of moves that are remembered.
const MAX_MOVE_SAMPLES: usize = 512;
/// What a hand-over says in place of a req's session.
const HANDOVER_PREFIX: &str = "moved ";

/// A person's session by its service, the header that names it and that header's value.
pub fn session_id(service: &str, header: &str, value: &str) -> SessionId {
    let mut sum = Sha256::new();
    for part in [service, &header.to_ascii_lowercase(), value] {
        sum.update((part.len() as u64).to_be_bytes());
        sum.update(part);
    }
    let sum: [u8; 32] = sum.finalize().into();
    sum.iter().take(16).fold(0, |all, byte| all << 8 | SessionId::from(*byte))
}

struct OwnedSession {
    owner: SessionOwner,
    binding: Option<SessionBinding>,
    /// When the core was last told, and when it was last used.
    told: Nanos,
    used: Nanos,
}

#[derive(Default)]
struct SessionState {
    held: HashMap<SessionId, OwnedSession>,
    order: BTreeSet<(Nanos, SessionId)>,
    /// Keys that are at work here.
    keys: HashMap<SessionId, Vec<LeaseKey>>,
    /// First reqs of sessions.
    firsts: HashMap<SessionId, Arc<tokio::sync::Mutex<()>>>,
    /// Doors know of a holder since then.
    above: HashMap<SessionId, u64>,
    counts: AffinityCounts,
    times: Vec<Nanos>,
}

/// What this gate has seen of sessions since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffinityCounts {
    /// OwnedSession now; taken that nobody had; moved here from another gate, and of these those whose gate did not answer.
    pub held: usize,
    pub begun: u64,
    pub moves: u64,
    pub unheard: u64,
    /// Let go to another gate, and turned away at a door for that.
    pub left: u64,
    pub fenced: u64,
    /// Reqs that went without one, for want of the core.
    pub without: u64,
    /// Requests that ran at the upstream of their tie, and at another while that stood; ties that passed to a successor,
    /// as their upstream was gone.
    pub kept: u64,
    pub crowded: u64,
    pub gone: u64,
    /// Of a move, in ns: half and all but one in a hundred are faster.
    pub move_half: Nanos,
    pub move_most: Nanos,
}

#[derive(Default)]
pub struct SessionTable(Mutex<SessionState>);

/// A req's session.
pub struct BoundSession {
    pub token: FencingToken,
    pub binding: Option<SessionBinding>,
    owner: SessionOwner,
    /// It is the first of its session here: others wait until it is known where that lives.
    first: Option<OwnedMutexGuard<()>>,
    /// Its session was tied to no open upstream when it came: it writes the tie before it is sent.
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

    /// Whether its session is tied to an upstream that takes requests.
    fn is_placed(&self, scheduler: &RequestScheduler) -> bool {
        self.binding
            .as_ref()
            .is_some_and(|binding| scheduler.accepts_requests(&binding.upstream_id.as_str().into()))
    }

    pub fn is_bound_to(&self, srv: &str) -> bool {
        self.binding.as_ref().is_some_and(|binding| binding.upstream_id == srv)
    }
}

/// A key at work in a session, until this is dropped.
pub struct KeyInFlight(Arc<Node>, SessionId, LeaseKey);

impl Drop for KeyInFlight {
    fn drop(&mut self) {
        let mut inner = held(&self.0.sessions().0);
        if let Some(keys) = inner.keys.get_mut(&self.1) {
            keys.retain(|key| *key != self.2);
            if keys.is_empty() {
                inner.keys.remove(&self.1);
            }
        }
    }
}

impl SessionState {
    fn ends(&mut self, session: SessionId) {
        if let Some(was) = self.held.remove(&session) {
            self.order.remove(&(was.used, session));
        }
    }

    fn put(&mut self, now: Nanos, session: SessionId, agreed: &CommittedSession, owner: SessionOwner) {
        self.ends(session);
        while self.held.len() >= MAX_SESSIONS
            && let Some(&(_, oldest)) = self.order.first()
        {
            self.ends(oldest);
        }
        let binding = agreed.ownership.binding.clone();
        self.held.insert(session, OwnedSession { owner, binding, told: now, used: now });
        self.order.insert((now, session));
    }

    /// The hold that stands, and whether the core is to be told that it is used.
    fn uses(&mut self, now: Nanos, session: SessionId) -> Option<(BoundSession, bool)> {
        let has = self.held.get_mut(&session)?;
        if now > has.used.saturating_add(REACQUIRE_AFTER) {
            self.ends(session);
            return None;
        }
        self.order.remove(&(has.used, session));
        has.used = now;
        self.order.insert((now, session));
        let renew = now > has.told.saturating_add(RENEW_INTERVAL);
        if renew {
            has.told = now;
        }
        let fencing_token = FencingToken { session, since_term: has.owner.since_term };
        Some((BoundSession::new(fencing_token, has.binding.clone(), has.owner), renew))
    }
}

impl SessionTable {
    pub fn counts(&self) -> AffinityCounts {
        let inner = held(&self.0);
        let mut times = inner.times.clone();
        times.sort_unstable();
        let at = |part: usize| times.get((times.len() * part / 100).min(times.len().saturating_sub(1)));
        let (half, most) = (at(50).copied().unwrap_or(0), at(99).copied().unwrap_or(0));
        AffinityCounts { held: inner.held.len(), move_half: half, move_most: most, ..inner.counts }
    }

    /// For operators, with how many reqs the door of this machine has turned away.
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

    /// Another gate has taken a session since that epoch: it is let go here. Told with the keys that are at work.
    pub fn release(&self, fencing_token: FencingToken) -> Vec<LeaseKey> {
        let mut inner = held(&self.0);
        if inner
            .held
            .get(&fencing_token.session)
            .is_some_and(|has| has.owner.since_term < fencing_token.since_term)
        {
            inner.ends(fencing_token.session);
            inner.counts.left += 1;
        }
        inner.keys.get(&fencing_token.session).cloned().unwrap_or_default()
    }

    /// What a hand-over asks at a door, where the field is one.
    pub fn handle_handover(&self, word: &str) -> Option<String> {
        let fencing_token = FencingToken::from_header(word.strip_prefix(HANDOVER_PREFIX)?)?;
        Some(self.release(fencing_token).iter().map(|key| format!("{key:032x}\n")).collect())
    }

    /// A door turned a req away, for it knows of a later holder.
    pub fn fenced(&self, fencing_token: FencingToken, known: u64) {
        let mut inner = held(&self.0);
        inner.counts.fenced += 1;
        if inner.held.get(&fencing_token.session).is_some_and(|has| has.owner.since_term < known) {
            inner.ends(fencing_token.session);
        }
        if inner.above.len() >= MAX_SESSIONS {
            inner.above.clear();
        }
        inner.above.insert(fencing_token.session, known);
    }

    fn learn(
        &self,
        now: Nanos,
        session: SessionId,
        got: &CommittedSession,
        me: SocketAddr,
    ) -> Option<BoundSession> {
        let mut inner = held(&self.0);
        let Some(owner) = got.ownership.owner.filter(|owner| owner.outbound_proxy == me) else {
            inner.ends(session);
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

/// Asks the core, one steward after the other.
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

/// The session of a req that came here, taken from whoever had it. None where the core is not there in time: the req
/// goes on without, for what must run once does so by its key.
pub async fn acquire(
    node: &Arc<Node>,
    scheduler: &RequestScheduler,
    session: SessionId,
    ties: bool,
) -> Option<BoundSession> {
    let known = || {
        let (bound, renew) = held(&node.sessions().0).uses(node.clock.now(), session)?;
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
        let mut inner = held(&node.sessions().0);
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

async fn ask_for(node: &Arc<Node>, session: SessionId) -> Option<BoundSession> {
    let (now, me, all) = (node.clock.now(), node.inbound_address(), node.sessions());
    let above = held(&all.0).above.get(&session).copied().unwrap_or(0);
    let agreed = match node.quorum_unreachable() {
        true => None,
        false => ask(node, session, SessionRequest::Acquire { outbound_proxy: me, above_term: above })
            .await
            .flatten(),
    };
    let Some(agreed) = agreed else {
        held(&all.0).counts.without += 1;
        return None;
    };
    let before = agreed.ownership.previous_owner.filter(|before| before.outbound_proxy != me);
    let fresh = agreed.ownership.owner.is_some_and(|owner| owner.since_term == agreed.term);
    let bound = all.learn(now, session, &agreed, me)?;
    match before.filter(|_| fresh) {
        Some(before) => {
            let heard = hand_over(node, before.outbound_proxy, bound.token).await.is_some();
            let took = node.clock.now().saturating_sub(now);
            let mut inner = held(&all.0);
            inner.counts.moves += 1;
            inner.counts.unheard += u64::from(!heard);
            let at = inner.counts.moves as usize % MAX_MOVE_SAMPLES;
            match inner.times.get_mut(at) {
                Some(time) => *time = took,
                None => inner.times.push(took),
            }
        }
        None => held(&all.0).counts.begun += u64::from(fresh),
    }
    Some(bound)
}

async fn renewal(node: Arc<Node>, session: SessionId, owner: SessionOwner) {
    if let Some(Some(agreed)) = ask(&node, session, SessionRequest::Renew(owner)).await
        && let Some(other) = agreed.ownership.owner
        && other.since_term > owner.since_term
    {
        node.sessions().release(FencingToken { session, since_term: other.since_term });
    }
}

/// Asks the gate that had a session to let it go. Told with the keys at work there.
async fn hand_over(node: &Arc<Node>, gate: SocketAddr, fencing_token: FencingToken) -> Option<Vec<LeaseKey>> {
    let mut head = hyper::Request::new(());
    *head.method_mut() = hyper::Method::POST;
    head.headers_mut().insert(HOST, HeaderValue::from_static("ochreshed"));
    let message = Arc::new(Message { head, first: bytes::Bytes::new(), length: Some(0), long: None });
    let mut fields = HeaderMap::new();
    fields.insert(
        SESSION_FENCE,
        HeaderValue::try_from(format!("{HANDOVER_PREFIX}{}", fencing_token.to_header())).ok()?,
    );
    let until = node.clock.now() + HANDOVER_TIMEOUT;
    let ours = |head: &hyper::http::response::Parts| head.headers.contains_key(&WAY);
    let answer = node.connection_pool(gate).exchange(&message, &fields, until, None, ours).await;
    let (head, flow) = answer.ok()?;
    if header_str(&head.headers, &WAY).split(' ').next() != Some("ran") {
        return None; // An older program, which holds no sessions.
    }
    let body = http_body_util::BodyExt::collect(flow).await.ok()?.to_bytes();
    let keys = std::str::from_utf8(&body).ok()?.lines();
    Some(keys.take(MAX_HANDED_OVER_KEYS).filter_map(|key| LeaseKey::from_str_radix(key, 16).ok()).collect())
}

/// A key is at work in a session here.
pub fn track_key(node: &Arc<Node>, session: SessionId, key: LeaseKey) -> KeyInFlight {
    let mut inner = held(&node.sessions().0);
    let keys = inner.keys.entry(session).or_default();
    if keys.len() < MAX_HANDED_OVER_KEYS {
        keys.push(key);
    }
    KeyInFlight(node.clone(), session, key)
}

/// A request is about to go to this place. Where its session is tied to nothing, or to an upstream that is gone, it is
/// tied here from now on, before anything can have run there: whoever takes the session next finds that. False where
/// somebody else has it now, or tied it elsewhere.
pub async fn attempt_starting(
    node: &Arc<Node>,
    scheduler: &RequestScheduler,
    bound: &mut BoundSession,
    place: &Endpoint,
) -> bool {
    bound.unplaced |= !bound.is_placed(scheduler);
    // Without the core nobody is kept waiting for it, as in `ask_for`.
    if !bound.unplaced || bound.is_bound_to(&place.upstream_id) || node.quorum_unreachable() {
        return true;
    }
    let binding =
        SessionBinding { upstream_id: place.upstream_id.to_string(), inbound_proxy: place.inbound_proxy };
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
        held(&node.sessions().0).counts.gone += 1;
    }
    bound.binding = agreed.ownership.binding;
    ours
}

/// AffinityCounts a request of a session that ran well at this place.
pub fn attempt_succeeded(node: &Node, bound: &BoundSession, place: &Endpoint) {
    let counts = &mut held(&node.sessions().0).counts;
    match &bound.binding {
        Some(binding) if *binding.upstream_id == *place.upstream_id => counts.kept += 1,
        // The instance lives on there: it is but at capacity, or failed this once.
        Some(_) => counts.crowded += 1,
        None => {}
    }
}

#[cfg(test)]
#[path = "tests/session_affinity_tests.rs"]
mod tests;
