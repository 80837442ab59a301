//! The door and what is said at it: callers' connections and reqs. It owns reading a req off the protocol and
//! writing its answer, and the bound on connections. It must never decide on a req, change what goes on, or
//! let one caller's connection cost another its own.

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::service::TowerToHyperService;
use ochreshed::{Name, Nanos, RequestContext, to_seconds};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tower::{Service, ServiceExt};
use tracing::warn;

use crate::body::{Long, Message, Pieces, Reply};
use crate::clock::Clock;
use crate::decisions::{Answer, Offer};
use crate::figures::{Ended, Figures, InHand};
use crate::link::{MOST_HEAD, Meter, Wire, drop_hop_fields, held, unread};
use crate::peer::BUDGET;
use crate::phases::{Life, Phase};
use crate::settings::Headers;
use crate::start::{MOST_BODY, MOST_LONG, PER_LONG};

/// How long a caller may take over a req, the first one from its connection's start, and stand without one.
const SLOW: Nanos = 2_500_000_000;
const KEPT: Nanos = 10_000_000_000;
/// How long after clients are sent away connections without a req still stand.
const AWAY: Duration = Duration::from_millis(1_500);
/// How often that is looked at.
const LOOK: Nanos = 1_000_000_000;
/// How long, once the door has closed, half a req is waited for.
const UNFINISHED: Duration = Duration::from_millis(300);
/// How long a caller that was told to leave may take over its answer.
const LEAVING: Duration = Duration::from_secs(10);
/// How long, and how much, is still read from a caller whose connection is ending.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: usize = 4 << 20;
const LINGER_LONG: Duration = Duration::from_secs(3);
/// A body that comes at this rate, in bytes a second, is slow and not silent.
const LEAST_RATE: u64 = 32 * 1024;
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// What an answer may need on its way back to the client.
const WAY_BACK: Nanos = 5_000_000;
/// No client waits longer than a day, in seconds.
const MOST_BUDGET: f64 = 86_400.0;
/// How long to wait when no descriptor is left for a new connection.
const NO_SOCKET: Duration = Duration::from_millis(50);

/// What is let in: so many callers, bodies of so many bytes in all, reqs of these rule sets.
#[derive(Clone)]
pub struct Bounds {
    pub callers: Arc<AtomicUsize>,
    pub bodies: Arc<Semaphore>,
    pub rule_sets: Arc<[Name]>,
    pub headers: Headers,
    pub figures: Arc<Figures>,
}

pub struct Door<S> {
    clock: Clock,
    life: Life,
    decisions: S,
    bounds: Bounds,
    visits: Arc<Visits>,
    open: Arc<OpenIds>,
}

/// Those that are in, by the number they came with.
type Visits = Mutex<HashMap<u64, Arc<Visit>>>;

/// What a caller did wrong, as a status and a line. Its connection ends with that: what else stands on it can't
/// be told apart.
struct Bad(u16, &'static str);

/// The ids of the reqs that are open.
type OpenIds = Mutex<HashSet<HeaderValue>>;

/// One caller's connection.
struct Visit {
    came: Nanos,
    /// Since when it carries no req that was taken; 0 while it does.
    idle_since: AtomicU64,
    /// It has carried a req that was taken.
    known: AtomicBool,
    /// When it ends for want of a req, if nothing of one has come; and whether a whole head ever has.
    until: AtomicU64,
    asked: AtomicBool,
    /// It was told what it did wrong, or answered before its body's end.
    told: AtomicBool,
    early: AtomicBool,
    /// How much of a body has come, and whether a long answer was cut.
    got: AtomicU64,
    cut: AtomicBool,
    leave: Notify,
    /// Its place is needed now.
    go: Notify,
    meter: Arc<Meter>,
    /// A body that is still coming is not waited for.
    hurry: Notify,
}

impl<S> Door<S>
where
    S: Service<Offer, Response = Answer> + Clone + Send + Sync + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    pub fn new(clock: Clock, life: Life, decisions: S, bounds: Bounds) -> Door<S> {
        Door { clock, life, decisions, bounds, visits: Arc::default(), open: Arc::default() }
    }

    /// Lets callers in until the door closes or another process has taken over, and returns once the last has gone.
    pub async fn keep(self, listener: TcpListener) {
        let mut guests = JoinSet::new();
        let mut number = 0;
        {
            let mut closed = pin!(self.life.reached(Phase::Closing));
            let mut handed = pin!(self.handed());
            let mut sent_away = pin!(self.send_away());
            loop {
                tokio::select! {
                    () = &mut closed => break,
                    () = &mut handed => break,
                    () = &mut sent_away => {}
                    Some(_) = guests.join_next(), if !guests.is_empty() => {}
                    came = listener.accept(), if guests.len() < self.callers() => match came {
                        Ok((stream, _)) => {
                            number += 1;
                            self.life.came(self.clock.now());
                            guests.spawn(self.guest(number, stream));
                            if guests.len() >= self.callers() {
                                self.free_one();
                            }
                        }
                        // One that went before it was let in, or no descriptor left: neither ends the door.
                        Err(why) => {
                            warn!("accept: {why}");
                            sleep(NO_SOCKET).await;
                        }
                    }
                }
            }
        }
        // Whoever waits in the queue would be reset. The system is asked, not the runtime, which may not have come to
        // the news yet.
        match listener.into_std() {
            Ok(listener) => {
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(true);
                    if let Ok(stream) = TcpStream::from_std(stream) {
                        number += 1;
                        guests.spawn(self.guest(number, stream));
                    }
                }
            }
            Err(why) => warn!("accept: {why}"),
        }
        if self.life.handed() {
            let mut closed = pin!(self.life.reached(Phase::Closing));
            for _ in self.callers()..guests.len() {
                self.free_one();
            }
            loop {
                tokio::select! {
                    () = &mut closed => break,
                    last = guests.join_next() => if last.is_none() {
                        return;
                    }
                }
            }
        }
        for visit in held(&self.visits).values() {
            visit.leave.notify_one();
        }
        let last = async { while guests.join_next().await.is_some() {} };
        if timeout(UNFINISHED, last).await.is_err() {
            // Guards against callers who never finish a req and so hold back the end, and the next start with it.
            let visits = held(&self.visits);
            let unfinished = visits.values().filter(|visit| visit.idle_since.load(Relaxed) > 0);
            unfinished.for_each(|visit| visit.go.notify_one());
        }
        while guests.join_next().await.is_some() {}
    }

    /// While clients are sent away each answer ends its connection; those on which no req comes in the meantime are
    /// ended after a while. Guards against clients that find nobody: the front still sends some for a moment, and
    /// a connection that has stood without a req for so long is hardly about to carry one.
    async fn send_away(&self) {
        let mut away = self.life.aways();
        while away.wait_for(|away| *away).await.is_ok() {
            let stays = timeout(AWAY, away.wait_for(|away| !away)).await.is_err();
            if stays {
                held(&self.visits).values().for_each(|visit| visit.leave.notify_one());
                let _ = away.wait_for(|away| !away).await;
            }
        }
        std::future::pending().await
    }

    /// Returns once another process has taken over the address.
    async fn handed(&self) {
        self.life.reached(Phase::Leaving).await;
        if !self.life.handed() {
            std::future::pending().await
        }
    }

    fn callers(&self) -> usize {
        self.bounds.callers.load(Relaxed)
    }

    /// Ends the connection without a req on which nothing has moved for the longest time. Guards against crowds that
    /// connect, ask once or send a part of a req, and stay: they must not keep out those who come, nor push out one
    /// that is slow but goes on.
    fn free_one(&self) {
        let visits = held(&self.visits);
        let idle = visits.values().filter(|visit| visit.idle_since.load(Relaxed) > 0);
        if let Some(visit) = idle.min_by_key(|visit| visit.moved()) {
            // Told once: the next time it is another's turn.
            visit.idle_since.store(0, Relaxed);
            if visit.until.load(Relaxed) == Nanos::MAX {
                visit.hurry.notify_one();
            } else {
                visit.go.notify_one();
            }
        }
    }

    fn guest(&self, number: u64, stream: TcpStream) -> impl Future<Output = ()> + use<S> {
        let came = self.clock.now();
        let stream = Arc::new(stream);
        let (wire, meter) = Wire::new(stream.clone(), self.clock, None);
        let visit = Arc::new(Visit {
            came,
            idle_since: came.into(),
            known: AtomicBool::new(false),
            until: (came + SLOW).into(),
            asked: AtomicBool::new(false),
            told: AtomicBool::new(false),
            early: AtomicBool::new(false),
            got: AtomicU64::new(0),
            cut: AtomicBool::new(false),
            leave: Notify::new(),
            go: Notify::new(),
            meter: meter.clone(),
            hurry: Notify::new(),
        });
        held(&self.visits).insert(number, visit.clone());
        let (clock, visits) = (self.clock, self.visits.clone());
        let front = Front {
            clock,
            life: self.life.clone(),
            decisions: self.decisions.clone(),
            bounds: self.bounds.clone(),
            open: self.open.clone(),
            stream: stream.clone(),
            meter: meter.clone(),
            visit: visit.clone(),
        };
        async move {
            let mut builder = http1::Builder::new();
            // How long a head may take is looked at below: hyper's own timer starts anew with each pause.
            builder.header_read_timeout(None).max_buf_size(MOST_HEAD);
            {
                let mut connection = pin!(builder.serve_connection(wire, TowerToHyperService::new(front)));
                // How a caller's connection ends concerns nobody else.
                tokio::select! {
                    _ = connection.as_mut() => {}
                    () = visit.leave.notified() => {
                        connection.as_mut().graceful_shutdown();
                        // One that doesn't take its answer is not waited for; a long one stands still at its own cost.
                        let leaves = async {
                            while timeout(LEAVING, connection.as_mut()).await.is_err()
                                && visit.idle_since.load(Relaxed) == 0
                            {}
                        };
                        tokio::select! {
                            () = leaves => {}
                            () = visit.pushed_out(&stream) => {}
                        }
                    }
                    () = visit.pushed_out(&stream) => {
                        if !visit.asked.load(Relaxed) && meter.first_read() > 0 {
                            let _ = stream.try_write(TOO_SLOW);
                        }
                    }
                    () = visit.overdue(clock) => {
                        // Nothing else has been written to one that never sent a whole head.
                        if !visit.asked.load(Relaxed) && meter.first_read() > 0 {
                            let _ = stream.try_write(TOO_SLOW);
                        }
                    }
                }
            }
            if visit.cut.load(Relaxed) {
                // Guards against an answer without a length that looks whole.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            } else if visit.early.load(Relaxed) {
                let _ = timeout(LINGER_LONG, linger(&stream, MOST_LONG as usize)).await;
            } else if visit.told.load(Relaxed) || unread(&stream).is_ok_and(|count| count > 0) {
                let _ = timeout(LINGER, linger(&stream, LINGER_MOST)).await;
            }
            held(&visits).remove(&number);
        }
    }
}

impl Visit {
    /// When it last got on: came, sent some bytes, or had an answer.
    fn moved(&self) -> Nanos {
        self.came.max(self.meter.last_read()).max(self.idle_since.load(Relaxed))
    }

    /// Returns when its place is needed, unless a req has just come on it.
    async fn pushed_out(&self, stream: &TcpStream) {
        loop {
            self.go.notified().await;
            let coming = self.known.load(Relaxed) && unread(stream).is_ok_and(|count| count > 0);
            if !coming {
                return;
            }
        }
    }

    /// Returns when the caller has had its time: for its first req, for one that has begun, or without one.
    /// Guards against callers that say nothing, or half of something, and stay.
    async fn overdue(&self, clock: Clock) {
        loop {
            let until = self.until.load(Relaxed);
            let begun = Some(self.meter.first_read()).filter(|at| *at > 0 && until != Nanos::MAX);
            let until = begun.map_or(until, |at| until.min(at + SLOW));
            let now = clock.now();
            if now >= until {
                return;
            }
            sleep_until(clock.instant(until.min(now + LOOK))).await;
        }
    }
}

/// Reads on, for a while, what nobody wants. Guards against a reset that takes the last answer back: that is
/// what closing with unread bytes comes to.
async fn linger(stream: &TcpStream, mut left: usize) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let mut waste = vec![0; 16 * 1024];
    while left > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut waste) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// An id that is open as long as this lives.
struct OpenId {
    open: Arc<OpenIds>,
    id: HeaderValue,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        held(&self.open).remove(&self.id);
    }
}

/// What answers the reqs of one connection.
#[derive(Clone)]
struct Front<S> {
    clock: Clock,
    life: Life,
    decisions: S,
    bounds: Bounds,
    open: Arc<OpenIds>,
    stream: Arc<TcpStream>,
    meter: Arc<Meter>,
    visit: Arc<Visit>,
}

impl<S> Service<Request<Incoming>> for Front<S>
where
    S: Service<Offer, Response = Answer> + Clone + Send + Sync + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    type Response = Response<Out>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Incoming>) -> Self::Future {
        let front = self.clone();
        Box::pin(async move {
            front.visit.until.store(Nanos::MAX, Relaxed);
            let mut answer = front.answer(req).await.unwrap_or_else(|Bad(status, line)| {
                front.visit.told.store(true, Relaxed);
                close(say(status, line))
            });
            if front.life.closes() {
                answer = close(answer);
            }
            let turn = Turn { clock: front.clock, meter: front.meter, visit: front.visit };
            if let Out::Long(passing) = answer.body_mut() {
                passing.turn = Some(turn);
            }
            Ok(answer)
        })
    }
}

/// A req's turn on its connection, which ends when its answer has gone.
struct Turn {
    clock: Clock,
    meter: Arc<Meter>,
    visit: Arc<Visit>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.visit.idle_since.store(now, Relaxed);
        self.visit.until.store(now + KEPT, Relaxed);
        // The rest of a long body was read behind its head: no next req has begun with that.
        self.meter.take_first();
        self.meter.next_message();
    }
}

/// An answer's body on its way to a caller.
pub enum Out {
    Whole(Full<Bytes>),
    Long(Passing),
}

/// A long answer that goes on as it comes, and what ends with it.
pub struct Passing {
    pieces: Pieces,
    hand: InHand,
    _open: Option<OpenId>,
    visit: Arc<Visit>,
    turn: Option<Turn>,
}

impl Body for Out {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        match self.get_mut() {
            Out::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Out::Long(passing) => {
                let piece = ready!(passing.pieces.poll(cx));
                match &piece {
                    None => passing.hand.ends(Ended::Success),
                    Some(Err(_)) => passing.visit.cut.store(true, Relaxed),
                    // Whoever was told the length does not ask for the end.
                    Some(Ok(_)) if passing.pieces.whole() => passing.hand.ends(Ended::Success),
                    Some(Ok(_)) => {}
                }
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Out::Whole(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Out::Whole(body) => body.size_hint(),
            Out::Long(passing) => passing.pieces.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl<S> Front<S>
where
    S: Service<Offer, Response = Answer> + Clone,
    S::Error: std::fmt::Display,
{
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Out>, Bad> {
        let first = !self.visit.asked.swap(true, Relaxed);
        let came = self.meter.take_first().unwrap_or_else(|| self.clock.now());
        if req.uri().path() == "/_health" {
            self.alone(0)?;
            return Ok(if self.life.healthy() {
                Response::new(Out::Whole(Full::default()))
            } else {
                say(503, "not serving")
            });
        }
        let framed = !req.headers().contains_key(TRANSFER_ENCODING);
        if !framed && self.meter.length_named() {
            // Guards against a req that another one hides in: hyper drops the length that would show it.
            return Err(Bad(400, "both a length and a transfer encoding"));
        }
        let until = if first { self.visit.came } else { came } + SLOW;
        let (mut offer, mut hand, _room) = tokio::select! {
            biased;
            offer = self.read(req, came) => offer?,
            // Guards against callers that fill the door with bodies that never end.
            () = self.visit.hurry.notified() => return Err(Bad(408, "no room for slow bodies")),
            () = self.too_slow(until) => return Err(Bad(408, "body too slow")),
        };
        let (body, long) = (offer.1.first.len() as u64, offer.1.long.is_some());
        if framed && !long {
            self.alone(body)?;
        }
        let open = self.open_id(offer.1.head.headers())?;
        if long {
            // Until it has come whole, an answer leaves some of it unread.
            self.visit.early.store(true, Relaxed);
        } else {
            hand.coming().begin();
        }
        self.visit.idle_since.store(0, Relaxed);
        self.visit.known.store(true, Relaxed);
        // Whatever is read from here on belongs to the next req.
        self.meter.take_first();
        // A req is taken once its last byte has come.
        offer.0.received_at = self.meter.last_read().max(came);
        let answer = tokio::select! {
            biased;
            answer = self.decisions.clone().oneshot(offer) => answer,
            // Guards against a req that the program's end would leave without an answer.
            () = self.life.reached(Phase::Ending) => Ok(Answer::Abort),
        };
        self.visit.early.store(long && !hand.coming().whole(), Relaxed);
        let answer = match answer {
            Ok(Answer::Done(answer)) => {
                let (head, body) = done(answer).into_parts();
                let body = match body {
                    Reply::Whole(bytes) => {
                        hand.ends(Ended::Success);
                        Out::Whole(Full::new(bytes))
                    }
                    Reply::Long(pieces) => {
                        let (visit, turn) = (self.visit.clone(), None);
                        Out::Long(Passing { pieces, hand, _open: open, visit, turn })
                    }
                };
                Response::from_parts(head, body)
            }
            Ok(Answer::Deny { come_back }) => {
                hand.ends(Ended::Overload);
                let mut answer = say(503, "denied: safe to try again");
                if come_back > 0 {
                    let value = HeaderValue::try_from(format!("{:.3}", to_seconds(come_back)));
                    value.into_iter().for_each(|value| drop(answer.headers_mut().insert(RETRY_AFTER, value)));
                }
                answer
            }
            Ok(Answer::Abort) => say(502, "aborted: it may have run"),
            Err(why) => say(500, &why.to_string()),
        };
        // Nothing has looked at what came behind it, or can tell where a chunked req ended.
        let alone = framed && !long && self.meter.behind_head() <= body;
        Ok(if alone { answer } else { close(answer) })
    }
}

impl<S> Front<S> {
    /// Callers send one req at a time. Guards against wrong lengths, of which this is all that shows, and against
    /// reqs sent by the hundred: none of them goes on.
    fn alone(&self, body: u64) -> Result<(), Bad> {
        let more = self.meter.behind_head() > body || unread(&self.stream).is_ok_and(|count| count > 0);
        if more { Err(Bad(400, "more than one req at a time")) } else { Ok(()) }
    }

    /// Guards against a second run beside one that is out: an id is a srv's only means to know a req.
    fn open_id(&self, headers: &HeaderMap) -> Result<Option<OpenId>, Bad> {
        let Some(id) = headers.get("x-call-id").cloned() else { return Ok(None) };
        let open = self.open.clone();
        if !held(&open).insert(id.clone()) {
            return Err(Bad(409, "a req with this X-Call-Id is open"));
        }
        Ok(Some(OpenId { open, id }))
    }

    /// Takes what the decisions need out of a req; the rest goes on as it came. With it, the room it holds.
    async fn read(
        &self,
        req: Request<Incoming>,
        came: Nanos,
    ) -> Result<(Offer, InHand, OwnedSemaphorePermit), Bad> {
        let (mut head, mut body) = req.into_parts();
        let field = |name: &str| head.headers.get(name).map(|value| value.to_str().unwrap_or_default());
        if head.method == Method::CONNECT {
            return Err(Bad(405, "no tunnels"));
        }
        if field("x-call-id").is_none() {
            return Err(Bad(400, "no X-Call-Id"));
        }
        let budget = field(BUDGET.as_str()).and_then(|text| text.trim().parse::<f64>().ok());
        let budget = budget.filter(|budget| *budget > 0.0 && *budget <= MOST_BUDGET);
        let budget = budget.ok_or(Bad(400, "no X-Budget that can be read"))?;
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let rule_set = field("x-call-class").unwrap_or(first);
        let known = self.bounds.rule_sets.iter().find(|known| &***known == rule_set).cloned();
        let told = |name: &Option<HeaderName>| field(name.as_ref()?.as_str()).map(str::trim);
        // What can't be read is not told: it is worth less than the req.
        let cost = told(&self.bounds.headers.cost).and_then(|text| text.parse::<f64>().ok());
        let cost = cost.filter(|ms| *ms >= 0.0 && *ms <= MOST_BUDGET * 1e3);
        let mut ours = RequestContext {
            id: 0,
            rule_set: known.ok_or(Bad(400, "no such class"))?,
            customer: told(&self.bounds.headers.customer).unwrap_or_default().into(),
            is_client_retry: field("x-again") == Some("1"),
            received_at: came,
            deadline: came + ((budget * 1e9) as Nanos).saturating_sub(WAY_BACK),
            body_pending: false,
            expected_cost: cost.map(|ms| (ms * 1e6) as Nanos),
            preferred_endpoint: None,
            dispatches: Vec::new(),
        };
        if body.size_hint().lower() > MOST_LONG {
            return Err(Bad(413, "body too large"));
        }
        let length = body.size_hint().exact();
        let most =
            length.filter(|length| *length <= MOST_BODY as u64).map_or(PER_LONG, |length| length as u32);
        let room = self.bounds.bodies.clone().acquire_many_owned(most).await;
        let room = room.map_err(|_| Bad(500, "the door is closed"))?;
        let hand = self.bounds.figures.expect(&ours.rule_set);
        let (first, whole) = self.first(&mut body).await?;
        let long = (!whole).then(|| Long::new(body, self.clock, hand.coming()));
        let length = if whole { Some(first.len() as u64) } else { length };
        if long.is_some() {
            // Its time runs from its last byte, which is still to come.
            ours.body_pending = true;
            ours.deadline += self.clock.now().saturating_sub(came);
        }
        let framed = head.headers.contains_key(CONTENT_LENGTH) || !first.is_empty();
        drop_hop_fields(&mut head.headers);
        head.headers.remove(EXPECT);
        head.headers.remove(CONTENT_LENGTH);
        if let Some(length) = length.filter(|_| framed) {
            head.headers.insert(CONTENT_LENGTH, length.into());
        }
        let mut message = Request::new(());
        *message.method_mut() = head.method;
        if let Some(path) = head.uri.path_and_query() {
            *message.uri_mut() = path.clone().into();
        }
        *message.headers_mut() = head.headers;
        Ok(((ours, Message { head: message, first, length, long }), hand, room))
    }

    /// A body, or the first part of a long one, and whether that is all of it.
    async fn first(&self, body: &mut Incoming) -> Result<(Bytes, bool), Bad> {
        self.visit.got.store(0, Relaxed);
        let mut bytes = BytesMut::new();
        while bytes.len() <= MOST_BODY {
            let Some(frame) = body.frame().await else { return Ok((bytes.freeze(), true)) };
            if let Ok(data) = frame.map_err(|_| Bad(400, "body cut short"))?.into_data() {
                self.visit.got.fetch_add(data.len() as u64, Relaxed);
                bytes.extend_from_slice(&data);
            }
            if body.is_end_stream() {
                return Ok((bytes.freeze(), true));
            }
        }
        Ok((bytes.freeze(), false))
    }

    /// Returns when a body is too slow: it has until then, and longer for what has come of it.
    async fn too_slow(&self, until: Nanos) {
        loop {
            let until = until + self.visit.got.load(Relaxed) * 1_000_000_000 / LEAST_RATE;
            if self.clock.now() >= until {
                return;
            }
            sleep_until(self.clock.instant(until)).await;
        }
    }
}

/// A srv's answer as it goes on: its body and its own fields.
fn done(answer: Response<Reply>) -> Response<Reply> {
    let (mut head, body) = answer.into_parts();
    drop_hop_fields(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut answer = Response::new(body);
    *answer.headers_mut() = head.headers;
    answer
}

fn say(status: u16, line: &str) -> Response<Out> {
    let mut answer = Response::new(Out::Whole(Full::from(format!("{line}\n"))));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

/// Ends the connection with this answer.
fn close(mut answer: Response<Out>) -> Response<Out> {
    let headers: &mut HeaderMap = answer.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
