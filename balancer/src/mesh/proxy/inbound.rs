//! The door beside an upstream, its only way in: what the attendant knows of its upstream first-hand, and the reqs let
//! through to it. It owns the proof that a req was never handed on, the upstream's drain, and how many it has at once.
//! It must never send a req on twice, to another life than was meant, or after the drain's time.

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

use crate::body::Message;
use crate::clock::Clock;
use crate::link::held;
use crate::mesh::proxy::connection_limit::ConnectionLimit;
use crate::mesh::proxy::connection_pool::{ConnectionPool, ExchangeError, LargeResponseLane, ResponseBody};
use crate::mesh::proxy::fencing::{FencingTable, FencingToken};
use crate::mesh::proxy::headers::*;
use crate::mesh::proxy::inbound_request::{InboundRequest, MAX_TIME_LEFT_MS, RequestTerms};
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};
use crate::mesh::proxy::session_affinity::SessionTable;

/// How a door says that a later holder of a session is known, and since when that holds it.
const FENCED_PREFIX: &str = "fenced-";

const MS: Nanos = 1_000_000;
/// After its upstream has said that it closes, the door still takes what is on its way, for this part of the time
/// that the rules give.
const DRAIN_DIVISOR: u32 = 2;
/// How long a probe may take.
const PROBE_TIMEOUT: Nanos = 1_000 * MS;
/// Ids of lives that have ended.
const MAX_PAST_INCARNATIONS: usize = 32;
const MAX_HEARTBEAT_BYTES: u64 = 4 * 1024;
/// What a message has on the wire beside its body, about.
const HEADER_ESTIMATE_BYTES: usize = 400;
/// How much of the last large answer's size goes into the mean.
const LARGE_RESPONSE_MEAN_WEIGHT: f64 = 0.1;

/// How a door's part ended.
pub enum UpstreamOutcome {
    /// The upstream ran it, or turned it away for good by an answer of its own.
    Responded(Parts, ResponseBody),
    /// The upstream turned it away: it has not run.
    UpstreamFull,
    /// Proved never to have come to the upstream.
    Rejected,
    Gone,
    /// Of a session that another gate holds since this epoch.
    Fenced(u64),
    ConnectFailed,
    NotSent,
    /// It may have run.
    Reset,
    TimedOut,
}

impl UpstreamOutcome {
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

    pub fn from_word(word: &str, head: Parts, flow: ResponseBody) -> UpstreamOutcome {
        match word {
            "ran" => UpstreamOutcome::Responded(head, flow),
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

/// The upstream as it told of itself.
#[derive(Clone, Debug)]
struct Upstream {
    id: String,
    line: String,
    zone: String,
    edition: String,
    slots: u32,
    stand: UpstreamState,
    number: u64,
    cold_ms: u64,
    told: Nanos,
    closing_since: Option<Nanos>,
    to: Arc<ConnectionPool>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}", self.to())
    }
}

struct ProxyState {
    upstream: Option<Upstream>,
    past: VecDeque<String>,
    number: u64,
    incarnation: u64,
}

impl ProxyState {
    /// Nothing that is told of that life counts from now on.
    fn end_life(&mut self, id: &str) {
        if self.past.iter().any(|past| past == id) {
            return;
        }
        self.past.push_back(id.to_owned());
        if self.past.len() > MAX_PAST_INCARNATIONS {
            self.past.pop_front();
        }
    }
}

/// What a door is told at its start.
pub struct InboundSettings {
    pub at: SocketAddr,
    pub zone: String,
    /// Where its upstream listens, if that was told.
    pub app: Option<SocketAddr>,
    pub drain: Duration,
    /// How many connections to the upstream there may be, and how many bytes of its answers in hand.
    pub connections: usize,
    pub ahead: usize,
    /// What the machine's link carries, in Mbit/s.
    pub link_mbps: f64,
}

pub struct InboundProxy {
    at: SocketAddr,
    zone: String,
    app: Option<SocketAddr>,
    clock: Clock,
    drain: Duration,
    state: Mutex<ProxyState>,
    connection_limit: ConnectionLimit,
    /// Reqs that wait for a slot or are in one.
    inside: AtomicUsize,
    /// Those at the upstream now, and who waits to be one of them.
    slots: Mutex<AdmissionQueue<QueuedRequest>>,
    /// How the upstream does, by how its runs end.
    health: Mutex<OutlierDetector>,
    /// What members may have of the slots, by the configuration in force here.
    shares: ArcSwap<RetryShares>,
    /// Where large answers to other machines go, and the mean size of one.
    large_responses: Arc<LargeResponseLane>,
    large: Mutex<f64>,
    /// Large answers to other machines that were let in and have not come out of the upstream yet.
    large_inside: AtomicUsize,
    /// Bytes of answers read ahead of who takes them.
    ahead: Arc<Semaphore>,
    calls: AtomicBool,
    /// The ids of the reqs that are at the upstream, and whether each was sent again.
    runs: Mutex<HashMap<Vec<u8>, bool>>,
    pub serving: AtomicBool,
    pub changed: tokio::sync::Notify,
    /// SessionTable that the gate of this machine has, and what is let through of them here.
    pub sessions: SessionTable,
    pub fence: FencingTable,
}

/// A place at the upstream, and since when; given back when its answer has come, or nobody waits for it any more.
struct AdmissionPermit(Arc<InboundProxy>, Nanos, Option<Name>);

/// Who waits for one, and the member whose part that will be of.
type QueuedRequest = (oneshot::Sender<AdmissionPermit>, Option<Name>);

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.0.clock.now();
        let mut slots = held(&self.0.slots);
        let took = (self.1 > 0).then(|| now.saturating_sub(self.1));
        match &self.2 {
            None => slots.release(took),
            Some(member) => slots.release_for_member(member, took),
        }
        let handed = self.0.hand_on(&mut slots, now);
        drop(slots);
        // Whoever has gone gives its place back here, without the lock.
        handed.into_iter().for_each(|(waiting, slot)| drop(waiting.send(slot)));
    }
}

/// A large answer that will go out to another machine once the upstream has made it.
struct PendingLargeResponse(Arc<InboundProxy>);

impl PendingLargeResponse {
    fn new(door: &Arc<InboundProxy>) -> PendingLargeResponse {
        door.large_inside.fetch_add(1, Relaxed);
        PendingLargeResponse(door.clone())
    }
}

impl Drop for PendingLargeResponse {
    fn drop(&mut self) {
        self.0.large_inside.fetch_sub(1, Relaxed);
    }
}

/// A run at the upstream that is out. Dropped before it has ended, nobody waits for it any more.
struct UpstreamRun(Arc<InboundProxy>, u64);

impl UpstreamRun {
    fn ended(self, ran: RunOutcome) {
        let now = self.0.clock.now();
        held(&self.0.health).end(now, self.1, ran);
        self.0.look(now);
    }
}

impl Drop for UpstreamRun {
    fn drop(&mut self) {
        held(&self.0.health).end(self.0.clock.now(), self.1, RunOutcome::Abandoned);
    }
}

struct RequestGuard(Arc<InboundProxy>, Vec<u8>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        held(&self.0.runs).remove(&self.1);
        self.0.inside.fetch_sub(1, Relaxed);
    }
}

impl InboundProxy {
    pub fn new(site: InboundSettings, clock: Clock, incarnation: u64) -> Arc<InboundProxy> {
        let InboundSettings { at, zone, app, drain, connections, ahead, link_mbps } = site;
        let state = ProxyState { upstream: None, past: VecDeque::new(), number: 1, incarnation };
        Arc::new(InboundProxy {
            at,
            zone,
            app,
            clock,
            drain,
            state: Mutex::new(state),
            connection_limit: ConnectionLimit::new(connections),
            inside: AtomicUsize::new(0),
            slots: Mutex::default(),
            health: Mutex::default(),
            shares: ArcSwap::default(),
            large_responses: LargeResponseLane::new(link_mbps, clock),
            large: Mutex::new(0.0),
            large_inside: AtomicUsize::new(0),
            ahead: Arc::new(Semaphore::new(ahead)),
            calls: AtomicBool::new(false),
            runs: Mutex::default(),
            serving: AtomicBool::new(false),
            changed: tokio::sync::Notify::new(),
            sessions: SessionTable::default(),
            fence: FencingTable::default(),
        })
    }

    /// The row that tells of this place.
    pub fn endpoint_record(&self) -> EndpointRecord {
        let state = held(&self.state);
        let mut record = EndpointRecord {
            inbound_proxy: self.at,
            incarnation: state.incarnation,
            sequence: state.number,
            zone: self.zone.clone(),
            service: String::new(),
            upstream_id: String::new(),
            software_version: String::new(),
            state: UpstreamState::Absent,
            concurrency_limit: 0,
            warming_up_ms: 0,
            calls_services: self.calls.load(Relaxed),
            accepts_clients: self.serving.load(Relaxed),
            health: held(&self.health).health(),
        };
        if let Some(upstream) = &state.upstream {
            record.service = upstream.line.clone();
            record.upstream_id = upstream.id.clone();
            record.software_version = upstream.edition.clone();
            record.state = upstream.stand;
            record.concurrency_limit = upstream.slots;
            let since = (self.clock.now() - upstream.told) / MS;
            record.warming_up_ms = upstream.cold_ms.saturating_sub(since);
        }
        record
    }

    /// Whether the upstream beside it has ended in order.
    pub fn upstream_signed_off(&self) -> bool {
        held(&self.state).upstream.as_ref().is_some_and(|upstream| upstream.stand == UpstreamState::Absent)
    }

    pub fn knows_upstream(&self) -> bool {
        held(&self.state).upstream.is_some()
    }

    /// After a start: the row that others still hold of this place tells of an upstream, and one probe tells whether it
    /// still stands. Guards against a door that knows nothing until the next beat.
    pub async fn probe_upstream(self: Arc<Self>, record: EndpointRecord, health: String) {
        let Some(app) = self.app.filter(|_| record.state != UpstreamState::Absent) else { return };
        let line = self.line_to(app);
        let mut head = hyper::Request::new(());
        match health.parse() {
            Ok(uri) => *head.uri_mut() = uri,
            Err(_) => return,
        }
        if let Ok(host) = HeaderValue::try_from(app.to_string()) {
            head.headers_mut().insert(HOST, host);
        }
        let message = Arc::new(Message { head, first: bytes::Bytes::new(), length: Some(0), long: None });
        let until = self.clock.now() + PROBE_TIMEOUT;
        let Ok((head, _)) = line.exchange(&message, &HeaderMap::new(), until, None, |_| true).await else {
            return;
        };
        // What a health page says of its upstream may be wrong, and a life that closes never opens again. Only the next
        // beat tells.
        if header_str(&head.headers, &DELIVERED_BY) != record.upstream_id || !head.status.is_success() {
            return;
        }
        let now = self.clock.now();
        let mut state = held(&self.state);
        if state.upstream.is_some() || state.past.contains(&record.upstream_id) {
            return;
        }
        let (stand, closing) = (record.state, record.state == UpstreamState::Draining);
        log::info!("upstream {} of {}: found again, {stand:?}", record.upstream_id, record.service);
        state.upstream = Some(Upstream {
            id: record.upstream_id,
            line: record.service,
            zone: record.zone,
            edition: record.software_version,
            slots: record.concurrency_limit,
            stand,
            number: 0,
            cold_ms: 0,
            told: now,
            closing_since: closing.then_some(now),
            to: line,
        });
        held(&self.slots).set_limit(record.concurrency_limit);
        drop(state);
        self.record_changed();
    }

    /// What others hold of this place from an earlier life of this process: a life of the upstream that was closing or
    /// gone then is so now, whatever a beat that came late has told since. The acknowledgement of its drain binds.
    pub fn restore_upstream_state(&self, id: &str, stand: UpstreamState) {
        let mut state = held(&self.state);
        if stand == UpstreamState::Serving || id.is_empty() {
            return;
        }
        if stand == UpstreamState::Absent {
            state.end_life(id);
        }
        let over = self.clock.now().saturating_sub(self.drain.as_nanos() as Nanos);
        let Some(upstream) = &mut state.upstream else { return };
        if upstream.id != id || upstream.stand != UpstreamState::Serving {
            return;
        }
        (upstream.stand, upstream.closing_since) = (stand, Some(over));
        log::info!("upstream {id}: {stand:?} by what was told before this start");
        drop(state);
        self.record_changed();
    }

    pub fn record_changed(&self) {
        held(&self.state).number += 1;
        self.changed.notify_waiters();
    }

    /// The row is known elsewhere under a later life: what is told from here on must be later still.
    pub fn ensure_incarnation_above(&self, incarnation: u64) {
        let mut state = held(&self.state);
        if incarnation > state.incarnation {
            state.incarnation = incarnation + 1;
            state.number += 1;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// A req came to the gate of this machine. One whose id goes on from that of a run inside is a call of that run: the
    /// upstream is no last tier. Told with whether that run was one sent again, so that its calls count as such too.
    pub fn running_request(&self, id: &[u8]) -> Option<bool> {
        let mut goes_on = id.iter().enumerate().filter(|(_, byte)| !byte.is_ascii_alphanumeric()).take(8);
        let again = {
            let runs = held(&self.runs);
            goes_on.find_map(|(at, _)| runs.get(&id[..at]).copied())
        };
        if again.is_some() && !self.calls.swap(true, Relaxed) {
            log::info!("the upstream calls other services");
            self.record_changed();
        }
        again
    }

    pub fn service(&self) -> Option<String> {
        held(&self.state).upstream.as_ref().map(|upstream| upstream.line.clone())
    }

    /// What the upstream says at the control gate.
    pub async fn handle_control_call(self: Arc<Self>, received: ReceivedRequest) -> Response<ResponseBody> {
        let uri = received.request.uri().clone();
        let (call, of) = call_and_subject(&uri);
        match (call.as_str(), of) {
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
                let beat = match read {
                    Ok((message, _room)) => self.handle_heartbeat(&of, &message.first),
                    Err(RequestError(status, line)) => return plain_response(status, line),
                };
                match beat {
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

    /// What the upstream tells of itself.
    pub fn handle_heartbeat(self: &Arc<Self>, of: &str, body: &[u8]) -> Result<(), &'static str> {
        let text = std::str::from_utf8(body).map_err(|_| "not UTF-8")?;
        let beat = jzon::parse(text).map_err(|_| "no JSON")?;
        let (notice, status) = (&beat["notice"], &beat["status"]);
        let word = |from: &Json, name: &str| from[name].as_str().unwrap_or_default().to_owned();
        let address: SocketAddr =
            beat["address"].as_str().and_then(|at| at.parse().ok()).ok_or("no address")?;
        let line = word(notice, "line");
        if line.is_empty() {
            return Err("no line");
        }
        let number = status["postmark_seq"].as_u64().unwrap_or(0);
        let stand = if status["state"].as_str() == Some("closing") {
            UpstreamState::Draining
        } else {
            UpstreamState::Serving
        };
        let cold_ms = status["cold_left_ms"].as_f64().unwrap_or(0.0).clamp(0.0, 600_000.0) as u64;
        let slots = notice["pigeonholes"].as_u32().unwrap_or(1).clamp(1, 100_000);
        let (zone, edition) = (word(notice, "zone"), word(notice, "edition"));
        let now = self.clock.now();
        let mut state = held(&self.state);
        if state.past.iter().any(|past| past == of) {
            return Ok(());
        }
        let was = state.upstream.take();
        let (to, closing_since) = match &was {
            Some(was) if was.id == of => {
                if number < was.number {
                    state.upstream = Some(was.clone());
                    return Ok(());
                }
                let to = if was.to.to() == address { was.to.clone() } else { self.line_to(address) };
                (to, was.closing_since)
            }
            Some(was) => {
                let past = was.id.clone();
                state.end_life(&past);
                (self.line_to(address), None)
            }
            None => (self.line_to(address), None),
        };
        // Once closing, it does not open again in one life.
        let stand = if closing_since.is_some() { UpstreamState::Draining } else { stand };
        let closing_since = closing_since.or((stand == UpstreamState::Draining).then_some(now));
        let same = was.as_ref().is_some_and(|was| {
            was.id == of
                && was.stand == stand
                && was.slots == slots
                && was.line == line
                && was.edition == edition
        });
        let id = of.to_owned();
        let upstream =
            Upstream { id, line, zone, edition, slots, stand, number, cold_ms, told: now, closing_since, to };
        if !same {
            log::info!(
                "upstream {} of {}: {:?}, {} slots, zone {}",
                upstream.id,
                upstream.line,
                stand,
                slots,
                upstream.zone
            );
        }
        state.upstream = Some(upstream);
        drop(state);
        if was.is_none_or(|was| was.id != of) {
            held(&self.health).reset();
        }
        if !same {
            let mut all = held(&self.slots);
            all.set_limit(slots);
            let handed = self.hand_on(&mut all, now);
            drop(all);
            handed.into_iter().for_each(|(waiting, slot)| drop(waiting.send(slot)));
            self.record_changed();
        }
        Ok(())
    }

    fn line_to(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        Arc::new(
            ConnectionPool::new(address, self.clock, self.connection_limit.permits())
                .near()
                .reading_ahead(self.ahead.clone()),
        )
    }

    /// That life takes nothing any more, whether it was known here or not: a beat of it may still be on its way.
    fn sign_off(&self, of: &str) {
        let mut state = held(&self.state);
        state.end_life(of);
        let Some(upstream) = &mut state.upstream else { return };
        if upstream.id != of || upstream.stand == UpstreamState::Absent {
            return;
        }
        upstream.stand = UpstreamState::Absent;
        upstream.to.shut();
        log::info!("upstream {of}: signed off");
        drop(state);
        self.record_changed();
    }

    /// An operator's word: this life takes nothing new, as if its upstream had said that it closes.
    pub fn drain(&self, id: &str) {
        let mut state = held(&self.state);
        if let Some(upstream) = &mut state.upstream
            && upstream.id == id
            && upstream.stand == UpstreamState::Serving
        {
            upstream.stand = UpstreamState::Draining;
            upstream.closing_since = Some(self.clock.now());
            log::info!("upstream {id}: drained by an operator");
            drop(state);
            self.record_changed();
        }
    }

    /// Closes connections that have been idle for long, and tells when the upstream is cold no more.
    pub fn close_idle_connections(&self) {
        self.look(self.clock.now());
        let warm = {
            let mut state = held(&self.state);
            let Some(upstream) = &mut state.upstream else { return };
            let now = self.clock.now();
            upstream.to.sweep(now);
            let warm = upstream.cold_ms > 0 && now > upstream.told + upstream.cold_ms * MS;
            upstream.cold_ms = if warm { 0 } else { upstream.cold_ms };
            warm
        };
        if warm {
            self.record_changed();
        }
    }

    /// The upstream takes so many connections from all its callers, each with one req at a time.
    pub fn set_connection_limit(&self, cap: usize) {
        self.connection_limit.set_limit(cap);
        let slots = held(&self.state).upstream.as_ref().map_or(0, |upstream| upstream.slots);
        if slots as usize > cap {
            held(&self.slots).set_limit(cap.max(1) as u32);
        }
    }

    /// The configuration in force here tells what members may have of the slots.
    pub fn set_member_shares(&self, shares: &Arc<RetryShares>) {
        self.shares.store(shares.clone());
    }

    /// What a member may have here: the word of the configuration in force on this machine, else of the gate's. Guards
    /// against gates that are cut off and don't know yet that the platform gave it less.
    fn part(&self, told: MemberShare) -> MemberShare {
        let share = self.shares.load().get(&told.member).map(|share| share.concurrency);
        MemberShare { share: share.unwrap_or(told.share), ..told }
    }

    /// How many reqs are inside.
    pub fn requests_in_flight(&self) -> usize {
        self.inside.load(Relaxed)
    }

    /// How many reqs are at the upstream or wait to be.
    pub fn load(&self) -> usize {
        let slots = held(&self.slots);
        slots.in_flight() as usize + slots.queued()
    }

    /// Gives free places to those that wait, to be sent to them once the lock is free.
    fn hand_on(
        self: &Arc<Self>,
        slots: &mut AdmissionQueue<QueuedRequest>,
        now: Nanos,
    ) -> Vec<(oneshot::Sender<AdmissionPermit>, AdmissionPermit)> {
        let mut handed = Vec::new();
        slots.remove_waiters(|(waiting, _)| waiting.is_closed());
        while let Some((waiting, member)) = slots.admit_next(now) {
            handed.push((waiting, AdmissionPermit(self.clone(), 0, member)));
        }
        handed
    }

    /// Lets a req through to the upstream, if it is the one that was meant.
    pub async fn forward(self: &Arc<Self>, request: InboundRequest<'_>) -> UpstreamOutcome {
        let InboundRequest {
            message,
            meant,
            caller,
            again,
            call,
            large,
            away,
            fencing_token,
            target,
            until,
            part,
            ..
        } = request;
        let Some(to) = self.check(meant) else { return UpstreamOutcome::Gone };
        let now = self.clock.now();
        if let Err(known) = self.lets(now, fencing_token) {
            return UpstreamOutcome::Fenced(known);
        }
        // A large answer is late when its last byte is: what stands before it on the link, which goes while it is made,
        // and its own part.
        let paced = large && away;
        let (stands, span) = if paced { self.on_the_way(now) } else { (0, 0) };
        let took = held(&self.slots).mean_run_time();
        let target = target.saturating_sub(span + stands.saturating_sub(took));
        if stands > 0 && now + took > target {
            return UpstreamOutcome::Rejected;
        }
        let (turned, tied) = (request.turned, request.tied);
        let part = part.map(|told| self.part(told));
        let member = part.as_ref().map(|part| part.member.clone());
        let waits = {
            let mut wait = None;
            let asker = AdmissionRequest {
                is_nested: call,
                rejections: turned,
                has_affinity: tied,
                target,
                deadline: until,
            };
            let way = held(&self.slots).request_for_member(now, &asker, part.as_ref(), || {
                let (send, waits) = oneshot::channel();
                wait = Some(waits);
                (send, member.clone())
            });
            match (way, wait) {
                (Admission::Admitted, _) => Ok(AdmissionPermit(self.clone(), 0, member)),
                (Admission::Queued(last), Some(wait)) => Err((last, wait)),
                _ => return UpstreamOutcome::Rejected,
            }
        };
        let coming = paced.then(|| PendingLargeResponse::new(self));
        self.inside.fetch_add(1, Relaxed);
        let id = message.head.headers().get(&ID).cloned();
        let name = id.as_ref().map(|id| id.as_bytes().to_vec()).unwrap_or_default();
        held(&self.runs).insert(name.clone(), again);
        let inside = RequestGuard(self.clone(), name);
        let mut slot = match waits {
            Ok(slot) => slot,
            Err((last, wait)) => match timeout_at(self.clock.instant(last), wait).await {
                Ok(Ok(slot)) => slot,
                Ok(Err(_)) => return UpstreamOutcome::Rejected,
                Err(_) => return UpstreamOutcome::NotSent,
            },
        };
        if self.check(meant).is_none() {
            return UpstreamOutcome::Gone;
        }
        // Its session may have moved while it waited.
        if let Err(known) = self.lets(self.clock.now(), fencing_token) {
            return UpstreamOutcome::Fenced(known);
        }
        let left = until.saturating_sub(self.clock.now()) / MS;
        if left == 0 {
            return UpstreamOutcome::NotSent;
        }
        let mut fields = HeaderMap::new();
        fields.insert(LEFT, HeaderValue::from(left));
        if let Ok(meant) = HeaderValue::try_from(meant) {
            fields.insert(ADDRESSEE, meant);
        }
        fields.insert(CALLER, caller.clone());
        // An answer that names another req belongs to that one.
        let ours = |head: &Parts| head.headers.get(&ID) == id.as_ref();
        slot.1 = self.clock.now();
        let run =
            self.begins(slot.1, RequestClass { member: slot.2.clone(), is_nested: call, is_large: large });
        let answer = to.exchange(message, &fields, until, Some(Box::new(slot)), ours).await;
        let (mut head, flow) = match answer {
            Ok(answer) => answer,
            Err(fail) => {
                let (ran, end) = match fail {
                    ExchangeError::ConnectFailed => {
                        (RunOutcome::NoConnection, UpstreamOutcome::ConnectFailed)
                    }
                    ExchangeError::NotSent => (RunOutcome::Abandoned, UpstreamOutcome::NotSent),
                    ExchangeError::Reset => (RunOutcome::Failed, UpstreamOutcome::Reset),
                    ExchangeError::TimedOut => (RunOutcome::Abandoned, UpstreamOutcome::TimedOut),
                };
                run.ended(ran);
                return end;
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
        let stamped = head.headers.contains_key(&STAMP);
        let coded = head.headers.contains_key(CONTENT_ENCODING);
        if coded || (head.status.is_success() && !stamped) {
            run.ended(RunOutcome::Failed);
            return UpstreamOutcome::Reset;
        }
        run.ended(match head.status {
            // At its deadline a run has failed for want of time.
            StatusCode::GATEWAY_TIMEOUT => RunOutcome::Abandoned,
            status if status.is_server_error() => RunOutcome::Failed,
            _ => RunOutcome::Succeeded,
        });
        if large && let Some(size) = flow.size_hint().exact() {
            let mut mean = held(&self.large);
            *mean += (size as f64 - *mean) * if *mean > 0.0 { LARGE_RESPONSE_MEAN_WEIGHT } else { 1.0 };
        }
        let flow = if away { self.paced(flow) } else { flow };
        // From here on it stands in the lane.
        drop(coming);
        UpstreamOutcome::Responded(head, flow.holding(inside))
    }

    fn begins(self: &Arc<Self>, now: Nanos, sort: RequestClass) -> UpstreamRun {
        let run = held(&self.health).begin(now, sort);
        self.look(now);
        UpstreamRun(self.clone(), run)
    }

    /// Tells how the upstream does where that has changed.
    fn look(&self, now: Nanos) {
        let mut health = held(&self.health);
        let (was, ill) = (health.health(), health.update(now));
        drop(health);
        if was != ill {
            let name = self.service().unwrap_or_default();
            log::info!(
                "upstream of {name}: fails at level {}, slow at level {}",
                ill.failure_level,
                ill.latency_level
            );
            self.record_changed();
        }
    }

    fn paced(&self, flow: ResponseBody) -> ResponseBody {
        let flow = flow.paced(&self.large_responses);
        if let ResponseBody::Buffered(body) = &flow {
            self.note_outgoing_bytes(body.size_hint().lower());
        }
        flow
    }

    /// What stands before a large answer on the way to another machine, and how long it is on its way itself.
    fn on_the_way(&self, now: Nanos) -> (Nanos, Nanos) {
        let mean = *held(&self.large);
        let coming = self.large_inside.load(Relaxed) as f64 * mean;
        let pace = self.large_responses.pace();
        (pace.wait(now) + pace.transfer_time(coming), pace.transfer_time(mean))
    }

    /// So many bytes go out to other machines, at once.
    pub fn note_outgoing_bytes(&self, bytes: u64) {
        self.large_responses.pace().note(self.clock.now(), bytes as usize + HEADER_ESTIMATE_BYTES);
    }

    fn lets(&self, now: Nanos, fencing_token: Option<FencingToken>) -> Result<(), u64> {
        fencing_token.map_or(Ok(()), |fencing_token| self.fence.check(now, fencing_token))
    }

    /// Whether this life takes reqs now, and where it is.
    fn check(&self, meant: &str) -> Option<Arc<ConnectionPool>> {
        let state = held(&self.state);
        let upstream = state.upstream.as_ref()?;
        let over = |since: Nanos| self.clock.now() > since + (self.drain / DRAIN_DIVISOR).as_nanos() as Nanos;
        let takes = upstream.id == meant
            && upstream.stand != UpstreamState::Absent
            && !upstream.closing_since.is_some_and(over);
        takes.then(|| upstream.to.clone())
    }

    fn way(&self, mut answer: Response<ResponseBody>, word: &str) -> Response<ResponseBody> {
        if let Ok(word) = HeaderValue::try_from(format!("{word} {}", self.load())) {
            answer.headers_mut().insert(WAY, word);
        }
        answer
    }

    /// A req that a gate elsewhere sent here.
    pub async fn handle_request(
        self: Arc<Self>,
        received: ReceivedRequest,
        bodies: Arc<Semaphore>,
    ) -> Response<ResponseBody> {
        let at = received.received_at;
        let headers = received.request.headers();
        let meant = header_str(headers, &ADDRESSEE).to_owned();
        let left = header_str(headers, &LEFT).parse::<u64>().unwrap_or(0).min(MAX_TIME_LEFT_MS);
        let fence = header_str(headers, &SESSION_FENCE);
        if let Some(keys) = self.sessions.handle_handover(fence) {
            return self.way(Response::new(ResponseBody::of(keys)), "ran");
        }
        let fencing_token = FencingToken::from_header(fence);
        let RequestTerms { target_ms, turned, tied, again, call, large, part } =
            RequestTerms::from_headers(headers, left);
        let caller = headers.get(&CALLER).cloned().unwrap_or(HeaderValue::from_static(""));
        let read =
            listener::read_message(received, &bodies, self.clock, u64::MAX, Duration::from_secs(10)).await;
        let (mut message, _room) = match read {
            Ok(read) => read,
            Err(RequestError(status, line)) => return self.way(plain_response(status, line), "unsent"),
        };
        message.head.headers_mut().remove(&TERMS);
        message.head.headers_mut().remove(&SESSION_FENCE);
        let (message, meant, caller, away) = (&Arc::new(message), &*meant, &caller, true);
        let (target, until) = (at + target_ms * MS, at + left * MS);
        let request = InboundRequest {
            message,
            meant,
            caller,
            turned,
            tied,
            again,
            call,
            large,
            away,
            fencing_token,
            target,
            until,
            part,
        };
        let end = self.forward(request).await;
        let word = end.as_word();
        match end {
            UpstreamOutcome::Responded(head, flow) => self.way(Response::from_parts(head, flow), word),
            UpstreamOutcome::Fenced(known) => {
                self.way(plain_response(503, word), &format!("{FENCED_PREFIX}{known}"))
            }
            _ => self.way(plain_response(503, word), word),
        }
    }
}

/// The call's name and whom it is of.
pub fn call_and_subject(uri: &hyper::Uri) -> (String, Option<String>) {
    if uri.path() != "/api/rpc" {
        return (String::new(), None);
    }
    let pairs = uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let (mut call, mut of) = (String::new(), None);
    for (name, value) in pairs {
        match name {
            "call" => call = value.to_owned(),
            "of" => of = Some(value.chars().take(256).collect()),
            _ => {}
        }
    }
    (call, of)
}

#[cfg(test)]
#[path = "tests/inbound_tests.rs"]
mod tests;
