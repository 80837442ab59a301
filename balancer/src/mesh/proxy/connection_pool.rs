//! One hop of a req: from a gate to a door, or from a door to its upstream. It owns the connections kept to one address
//! and tells of each exchange how it ended and whether the other side can have begun on it. It must never send a req
//! twice by itself but where no byte of it was written, and never call a req unsent once its last byte may have gone.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap};
use hyper::http::response::Parts;
use ochreshed::Nanos;
use ochreshed_traffic::idle_limit;
use ochreshed_traffic::large_response_pacer::LargeResponsePacer;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Sleep, sleep_until, timeout, timeout_at};

use crate::body::{Message, Pass, Pieces};
use crate::clock::Clock;
use crate::link::{Body, Link, drop_hop_fields, held};

const MS: Nanos = 1_000_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection is kept idle where the other side tells nothing, and how long before its end it is left alone.
const MAX_IDLE_TIME: Nanos = 4_000 * MS;
const KEEP_ALIVE_MARGIN: Nanos = 1_500 * MS;
const MAX_IDLE_CONNECTIONS: usize = 32;
/// To the same machine a new connection costs little: less than a req lost to one that the other side has forgotten.
const UPSTREAM_MAX_IDLE_TIME: Nanos = 1_000 * MS;
/// A long answer of which nothing comes for so long, or of which its reader takes nothing, is given up.
const UPSTREAM_READ_TIMEOUT: Duration = Duration::from_secs(5);
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pieces of one answer that may be read ahead, and the size of those that a whole one is cut into.
const READ_AHEAD_CHUNKS: usize = 64;
const CHUNK_BYTES: usize = 16 * 1024;
/// So many large answers go out to other machines at a time; a reader that stands still holds up no more than its turn.
const MAX_CONCURRENT_LARGE_RESPONSES: usize = 2;

/// How an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing of it can have been run: no connection came up, or not all of it was written.
    ConnectFailed,
    /// Its time was over, or there was no room, before all of it was written.
    NotSent,
    /// It went whole, and no whole answer came.
    Reset,
    /// It went whole, and its time was over.
    TimedOut,
}

/// A connection that waits for its next req.
struct Idle {
    link: Link,
    since: Nanos,
    until: Nanos,
}

/// Connections to one address.
pub struct ConnectionPool {
    to: SocketAddr,
    clock: Clock,
    idle: Mutex<Vec<Idle>>,
    /// How long one may have been idle that is used again, by what was lost.
    keeps: Mutex<idle_limit::IdleLimit>,
    room: Arc<Semaphore>,
    /// Bytes of long answers that may be read ahead of who takes them, for all lines that share it.
    ahead: Option<Arc<Semaphore>>,
}

impl ConnectionPool {
    /// `room` bounds the connections of all lines that share it.
    pub fn new(to: SocketAddr, clock: Clock, room: Arc<Semaphore>) -> ConnectionPool {
        let keeps = Mutex::new(idle_limit::IdleLimit::new(Nanos::MAX));
        ConnectionPool { to, clock, idle: Mutex::default(), keeps, room, ahead: None }
    }

    /// Long answers are read as fast as they come, as long as there is room for it: whoever sends them has done with
    /// them sooner than a slow reader.
    pub fn reading_ahead(self, ahead: Arc<Semaphore>) -> ConnectionPool {
        ConnectionPool { ahead: Some(ahead), ..self }
    }

    /// It leads to the same machine.
    pub fn near(self) -> ConnectionPool {
        ConnectionPool { keeps: Mutex::new(idle_limit::IdleLimit::new(UPSTREAM_MAX_IDLE_TIME)), ..self }
    }

    pub fn to(&self) -> SocketAddr {
        self.to
    }

    /// Closes what has been idle for long; whether none is left.
    pub fn sweep(&self, now: Nanos) -> bool {
        let mut idle = held(&self.idle);
        let keeps = held(&self.keeps).limit(now);
        idle.retain(|idle| idle.until > now && now - idle.since <= keeps);
        idle.is_empty()
    }

    pub fn shut(&self) {
        held(&self.idle).clear();
    }

    /// Its idle connections are so much older.
    #[cfg(test)]
    pub fn age(&self, by: Nanos) {
        held(&self.idle).iter_mut().for_each(|idle| idle.since -= by);
    }

    /// A connection that is kept, and for how long it has been idle.
    fn reusable(&self) -> Option<(Link, Nanos)> {
        let now = self.clock.now();
        loop {
            let Idle { mut link, since, until } = held(&self.idle).pop()?;
            let idle = now.saturating_sub(since);
            if now < until && idle <= held(&self.keeps).limit(now) && link.sound() {
                return Some((link, idle));
            }
        }
    }

    fn keep(&self, link: Link, until: Nanos) {
        let (mut idle, since) = (held(&self.idle), self.clock.now());
        if idle.len() < MAX_IDLE_CONNECTIONS && until > since {
            idle.push(Idle { link, since, until });
        }
    }

    /// A req was reset with no word of an answer, on a connection that had been idle for so long or a new one. Whether it
    /// ran can't be told; that others go the same way can be helped.
    fn lost(&self, idle: Option<Nanos>) {
        if held(&self.keeps).lost(self.clock.now(), idle) {
            log::info!("{}: forgot a connection that was idle for {} ms", self.to, idle.unwrap_or(0) / MS);
        }
    }

    async fn open(&self) -> Result<Link, ExchangeError> {
        let permit = match self.room.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.shut();
                self.room.clone().try_acquire_owned().map_err(|_| ExchangeError::NotSent)?
            }
        };
        match timeout(CONNECT_TIMEOUT, Link::open(self.to, self.clock, Some(permit), None)).await {
            Ok(Ok(link)) => Ok(link),
            _ => Err(ExchangeError::ConnectFailed),
        }
    }

    /// Sends a req once and waits for its answer until then. `check` looks at the head of an answer first: with an
    /// error it belongs to another req, and nothing of it goes on. `hold` lasts until the other side has done with it.
    pub async fn exchange(
        self: &Arc<Self>,
        message: &Arc<Message>,
        fields: &HeaderMap,
        until: Nanos,
        hold: Option<ResponseGuard>,
        check: impl Fn(&Parts) -> bool,
    ) -> Result<(Parts, ResponseBody), ExchangeError> {
        let at = self.clock.instant(until);
        let (mut link, mut reused) = self.reusable().unzip();
        loop {
            let on = match &mut link {
                Some(on) => on,
                None => match timeout_at(at, self.open()).await {
                    Ok(opened) => link.insert(opened?),
                    Err(_) => return Err(ExchangeError::NotSent),
                },
            };
            let load = message.load().ok_or(ExchangeError::NotSent)?;
            let mut req = message.head.clone().map(|()| load);
            for (name, value) in fields {
                req.headers_mut().insert(name, value.clone());
            }
            let sent_at = self.clock.now();
            let answer = timeout_at(at, exchange(on, req, message)).await;
            match answer {
                Ok(Ok((head, _))) if !check(&head) => return Err(ExchangeError::Reset),
                Ok(Ok((head, body))) => return Ok(self.response_body(link, head, body, hold)),
                // A kept connection that turns out dead before a byte of this was written costs a new one.
                Ok(Err(())) if reused.is_some() && !on.began() && message.load_again() => {
                    (link, reused) = (None, None)
                }
                Ok(Err(())) => {
                    if on.last_read() < sent_at {
                        self.lost(reused);
                    }
                    return Err(if on.sent_whole() {
                        ExchangeError::Reset
                    } else {
                        ExchangeError::ConnectFailed
                    });
                }
                Err(_) if on.sent_whole() => return Err(ExchangeError::TimedOut),
                Err(_) => return Err(ExchangeError::NotSent),
            }
        }
    }

    /// Hands on a head and a body, and keeps the connection when all has come.
    fn response_body(
        self: &Arc<Self>,
        link: Option<Link>,
        mut head: Parts,
        body: Body,
        hold: Option<ResponseGuard>,
    ) -> (Parts, ResponseBody) {
        let until = self.idle_until(&head);
        drop_hop_fields(&mut head.headers);
        match (body, link) {
            (Body::Whole(bytes), link) => {
                head.headers.remove(CONTENT_LENGTH);
                if let (Some(mut link), Some(until)) = (link, until)
                    && link.sent_whole()
                    && link.end(head.version)
                {
                    self.keep(link, until);
                }
                (head, ResponseBody::Buffered(Full::new(bytes)))
            }
            (Body::Long(first, length, rest), link) => {
                head.headers.remove(CONTENT_LENGTH);
                let room = if self.ahead.is_some() { READ_AHEAD_CHUNKS } else { 1 };
                let (sender, pieces) = Pieces::with_room(first.clone(), length, room);
                if let Some(link) = link {
                    let left = length.map(|length| length.saturating_sub(first.len() as u64));
                    let (line, version) = (self.clone(), head.version);
                    tokio::spawn(async move {
                        let _hold = hold;
                        line.pass_on(link, version, (left, rest), sender, until).await
                    });
                }
                (head, ResponseBody::Streaming { pieces, hold: None, paced: None })
            }
        }
    }

    async fn pass_on(
        self: Arc<Self>,
        mut link: Link,
        version: hyper::Version,
        (length, mut rest): (Option<u64>, Incoming),
        sender: Pass,
        until: Option<Nanos>,
    ) -> Option<()> {
        let mut left = length.unwrap_or(u64::MAX);
        loop {
            let piece = tokio::select! {
                piece = timeout(UPSTREAM_READ_TIMEOUT, link.piece(&mut rest)) => piece.ok()?.ok()?,
                // One whose length was told listens no more once it has all.
                () = sender.closed(), if left > 0 => return None,
            };
            let Some(piece) = piece else {
                let _ = sender.send_timeout(None, CLIENT_WRITE_TIMEOUT).await;
                if let Some(until) = until.filter(|_| link.sent_whole() && link.end(version)) {
                    self.keep(link, until);
                }
                return Some(());
            };
            left = left.saturating_sub(piece.len() as u64);
            let piece = match &self.ahead {
                Some(ahead) => counted(ahead, piece).await?,
                None => piece,
            };
            sender.send_timeout(Some(piece), CLIENT_WRITE_TIMEOUT).await.ok()?;
        }
    }

    /// Until when the connection may carry another req, by what its answer says.
    fn idle_until(&self, head: &Parts) -> Option<Nanos> {
        let told = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        if told(CONNECTION.as_str()).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            return None;
        }
        let kept = told("keep-alive").into_iter().flat_map(|value| value.split(','));
        let kept =
            kept.filter_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok()).next();
        let idle = kept.map_or(MAX_IDLE_TIME, |seconds| {
            (seconds.min(3_600) * 1_000 * MS).saturating_sub(KEEP_ALIVE_MARGIN)
        });
        Some(self.clock.now() + idle)
    }
}

/// A piece with its place among those read ahead.
struct CountedBytes(Bytes, #[allow(dead_code)] Permit);

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

async fn counted(ahead: &Arc<Semaphore>, piece: Bytes) -> Option<Bytes> {
    let place = ahead.clone().acquire_many_owned(u32::try_from(piece.len()).ok()?);
    let place = timeout(CLIENT_WRITE_TIMEOUT, place).await.ok()?.ok()?;
    Some(Bytes::from_owner(CountedBytes(piece, place)))
}

async fn exchange(
    on: &mut Link,
    req: Request<crate::body::Load>,
    message: &Arc<Message>,
) -> Result<(Parts, Body), ()> {
    let (head, body) = on.begin(req, Some(message)).await.map_err(drop)?.into_parts();
    let body = on.take(body).await.map_err(drop)?;
    Ok((head, body))
}

/// An answer's body on its way to whoever asked.
pub enum ResponseBody {
    Buffered(Full<Bytes>),
    Streaming { pieces: Pieces, hold: Option<ResponseGuard>, paced: Option<Box<PacedBody>> },
}

/// What all large answers of a machine share: the pace, and who may go.
pub struct LargeResponseLane {
    pace: Mutex<LargeResponsePacer>,
    /// A few go at a time, in the order in which they came: each of many would be late.
    turns: Arc<Semaphore>,
    clock: Clock,
}

impl LargeResponseLane {
    pub fn new(link_mbps: f64, clock: Clock) -> Arc<LargeResponseLane> {
        let turns = Arc::new(Semaphore::new(MAX_CONCURRENT_LARGE_RESPONSES));
        Arc::new(LargeResponseLane { pace: Mutex::new(LargeResponsePacer::new(link_mbps)), turns, clock })
    }

    pub fn pace(&self) -> MutexGuard<'_, LargeResponsePacer> {
        held(&self.pace)
    }
}

/// A large answer in its lane.
pub struct PacedBody {
    large_responses: Arc<LargeResponseLane>,
    /// Bytes that it told of and that have not gone.
    left: u64,
    scheduled: TransmitPermit,
    /// A piece that waits for its time.
    waits: Option<(Bytes, Pin<Box<Sleep>>)>,
}

enum TransmitPermit {
    Waits(Pin<Box<dyn Future<Output = Option<Permit>> + Send + Sync>>),
    Has(#[allow(dead_code)] Option<Permit>),
}

impl PacedBody {
    fn new(large_responses: &Arc<LargeResponseLane>, length: Option<u64>) -> Box<PacedBody> {
        let (left, turns) = (length.unwrap_or(0), large_responses.turns.clone());
        large_responses.pace().begin(left);
        let scheduled = TransmitPermit::Waits(Box::pin(async move { turns.acquire_owned().await.ok() }));
        Box::new(PacedBody { large_responses: large_responses.clone(), left, scheduled, waits: None })
    }

    /// The next of the pieces, once it may go.
    fn poll(&mut self, pieces: &mut Pieces, cx: &mut Context) -> Poll<Option<Result<Bytes, &'static str>>> {
        if let TransmitPermit::Waits(scheduled) = &mut self.scheduled {
            self.scheduled = TransmitPermit::Has(ready!(scheduled.as_mut().poll(cx)));
        }
        if self.waits.is_none() {
            let piece = match ready!(pieces.poll(cx)) {
                Some(Ok(piece)) => piece,
                end => return Poll::Ready(end),
            };
            let (now, long) = (self.large_responses.clock.now(), piece.len() as u64);
            let at = {
                let mut pace = self.large_responses.pace();
                pace.done(long.min(self.left));
                self.left = self.left.saturating_sub(long);
                pace.reserve(now, piece.len())
            };
            if at <= now + MS {
                return Poll::Ready(Some(Ok(piece)));
            }
            self.waits = Some((piece, Box::pin(sleep_until(self.large_responses.clock.instant(at)))));
        }
        if let Some((_, sleep)) = &mut self.waits {
            ready!(sleep.as_mut().poll(cx));
        }
        Poll::Ready(self.waits.take().map(|(piece, _)| Ok(piece)))
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        self.large_responses.pace().done(self.left);
    }
}

/// What lasts as long as an answer is on its way.
pub type ResponseGuard = Box<dyn Send + Sync>;

impl ResponseBody {
    pub fn of(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes.into()))
    }

    /// Lets a large answer go at the pace of all such; a small one goes at once.
    pub fn paced(self, large_responses: &Arc<LargeResponseLane>) -> ResponseBody {
        match self {
            ResponseBody::Streaming { pieces, hold, .. } => {
                let paced = Some(PacedBody::new(large_responses, pieces.length));
                ResponseBody::Streaming { pieces, hold, paced }
            }
            ResponseBody::Buffered(body) if body.size_hint().lower() > CHUNK_BYTES as u64 => {
                let mut left = body.into_inner().unwrap_or_default();
                let length = Some(left.len() as u64);
                let (sender, pieces) = Pieces::with_room(Bytes::new(), length, left.len() / CHUNK_BYTES + 2);
                while !left.is_empty() {
                    let piece = left.split_to(CHUNK_BYTES.min(left.len()));
                    let _ = sender.try_send(Some(piece));
                }
                let _ = sender.try_send(None);
                ResponseBody::Streaming {
                    pieces,
                    hold: None,
                    paced: Some(PacedBody::new(large_responses, length)),
                }
            }
            whole => whole,
        }
    }

    /// Keeps something until the last byte has been taken; of a short answer that is now.
    pub fn holding(self, thing: impl Send + Sync + 'static) -> ResponseBody {
        match self {
            ResponseBody::Streaming { pieces, hold, paced } => {
                let hold: ResponseGuard = match hold {
                    Some(before) => Box::new((before, thing)),
                    None => Box::new(thing),
                };
                ResponseBody::Streaming { pieces, hold: Some(hold), paced }
            }
            whole => whole,
        }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            ResponseBody::Streaming { pieces, paced, .. } => {
                let piece = match paced {
                    Some(paced) => ready!(paced.poll(pieces, cx)),
                    None => ready!(pieces.poll(cx)),
                };
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streaming { pieces, .. } => {
                pieces.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// A place taken in a bounded room for as long as this lives.
pub type Permit = OwnedSemaphorePermit;
