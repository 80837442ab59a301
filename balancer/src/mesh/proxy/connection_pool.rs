//! One hop of a request: from an outbound to an inbound proxy, or from an inbound proxy to its upstream.
//!
//! [`ConnectionPool::exchange`] writes a request on a connection, idle or new, and waits for the response, one exchange at a
//! time on each. A long response is passed on while it arrives ([`ResponseBody`]); large responses to other nodes share a pace
//! ([`LargeResponseLane`], [`PacedBody`]). An error says whether the other side may have begun to run the request
//! ([`ExchangeError`]).
//!
//! Invariants:
//! - A request is written a second time only if no byte of it was written on the first connection.
//! - A request counts as not sent only if its last byte can't have been written.
//! - A connection carries another request only after the whole response to the last one was read.

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

use crate::body::{ChunkSender, RequestMessage, ResponseStream};
use crate::clock::Clock;
use crate::connection::{OutboundConnection, ReceivedBody, lock, remove_hop_by_hop_headers};

const MS: Nanos = 1_000_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept if the other side sends no keep-alive time.
const MAX_IDLE_TIME: Nanos = 4_000 * MS;
/// This long before the other side's keep-alive time ends, an idle connection isn't used any more.
const KEEP_ALIVE_MARGIN: Nanos = 1_500 * MS;
const MAX_IDLE_CONNECTIONS: usize = 32;
/// How long a connection to the upstream on the same node is kept idle. A new one costs little there: less than a request lost
/// on a connection that the upstream has forgotten.
const UPSTREAM_MAX_IDLE_TIME: Nanos = 1_000 * MS;
/// A long response is given up if nothing of it arrives for this long.
const UPSTREAM_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// A long response is given up if its reader takes nothing for this long.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many pieces of one response may be read ahead.
const READ_AHEAD_CHUNKS: usize = 64;
/// Size of the pieces into which a buffered response is cut to be paced.
const CHUNK_BYTES: usize = 16 * 1024;
/// How many large responses go out to other nodes at a time. More than one, so that a reader that stops doesn't hold up all
/// others.
const MAX_CONCURRENT_LARGE_RESPONSES: usize = 2;

/// How an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection came up, or it ended before all of the request was written: it has not run.
    ConnectFailed,
    /// The time was over, or no connection was allowed, before all of the request was written: it has not run.
    NotSent,
    /// All of it was written, and no complete or no valid response came: it may have run.
    Reset,
    /// All of it was written, and the time was over: it may have run.
    TimedOut,
}

/// A connection that waits for its next request.
struct IdleConnection {
    link: OutboundConnection,
    idle_since: Nanos,
    /// When the other side may close it.
    usable_until: Nanos,
}

/// The connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    clock: Clock,
    idle: Mutex<Vec<IdleConnection>>,
    /// How long a connection may have been idle that is used again; lowered when requests were lost on idle ones.
    idle_limit: Mutex<idle_limit::IdleLimit>,
    permits: Arc<Semaphore>,
    /// Bytes of long responses that may be read before their readers take them, for all pools that share it; none if nothing
    /// is read ahead.
    read_ahead: Option<Arc<Semaphore>>,
}

impl ConnectionPool {
    /// A pool without connections. `permits` bounds the connections of all pools that share it.
    pub fn new(address: SocketAddr, clock: Clock, permits: Arc<Semaphore>) -> ConnectionPool {
        let idle_limit = Mutex::new(idle_limit::IdleLimit::new(Nanos::MAX));
        ConnectionPool { address, clock, idle: Mutex::default(), idle_limit, permits, read_ahead: None }
    }

    /// Reads long responses as fast as they arrive, as long as `read_ahead` has room in bytes, so that a slow reader doesn't
    /// keep the upstream occupied.
    pub fn reading_ahead(self, read_ahead: Arc<Semaphore>) -> ConnectionPool {
        ConnectionPool { read_ahead: Some(read_ahead), ..self }
    }

    /// Bounds the idle time as for an address on the same node.
    pub fn near(self) -> ConnectionPool {
        ConnectionPool { idle_limit: Mutex::new(idle_limit::IdleLimit::new(UPSTREAM_MAX_IDLE_TIME)), ..self }
    }

    /// The address that the connections lead to.
    pub fn to(&self) -> SocketAddr {
        self.address
    }

    /// Closes connections that have been idle for too long. Returns whether no idle one is left.
    pub fn sweep(&self, now: Nanos) -> bool {
        let mut idle = lock(&self.idle);
        let limit = lock(&self.idle_limit).limit(now);
        idle.retain(|idle| idle.usable_until > now && now - idle.idle_since <= limit);
        idle.is_empty()
    }

    /// Closes all idle connections.
    pub fn shut(&self) {
        lock(&self.idle).clear();
    }

    /// Makes the idle connections older.
    #[cfg(test)]
    pub fn age(&self, by: Nanos) {
        lock(&self.idle).iter_mut().for_each(|idle| idle.idle_since -= by);
    }

    /// An idle connection that may carry another request, and for how long it has been idle.
    fn reusable(&self) -> Option<(OutboundConnection, Nanos)> {
        let now = self.clock.now();
        loop {
            let IdleConnection { mut link, idle_since, usable_until } = lock(&self.idle).pop()?;
            let idle = now.saturating_sub(idle_since);
            if now < usable_until && idle <= lock(&self.idle_limit).limit(now) && link.is_reusable() {
                return Some((link, idle));
            }
        }
    }

    /// Keeps a connection for the next request, unless there are enough.
    fn keep(&self, link: OutboundConnection, usable_until: Nanos) {
        let (mut idle, idle_since) = (lock(&self.idle), self.clock.now());
        if idle.len() < MAX_IDLE_CONNECTIONS && usable_until > idle_since {
            idle.push(IdleConnection { link, idle_since, usable_until });
        }
    }

    /// Notes a request that was reset without a byte of a response, on a connection that had been idle for this long, or on a
    /// new one. Whether it ran can't be known; shorter idle times keep others from the same fate.
    fn lost(&self, idle: Option<Nanos>) {
        if lock(&self.idle_limit).lost(self.clock.now(), idle) {
            log::info!(
                "idle connection was forgotten by its peer: address={} idle_ms={}",
                self.address,
                idle.unwrap_or(0) / MS
            );
        }
    }

    /// Opens a connection. If the limit is reached, the idle connections of this pool make room.
    async fn open(&self) -> Result<OutboundConnection, ExchangeError> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.shut();
                self.permits.clone().try_acquire_owned().map_err(|_| ExchangeError::NotSent)?
            }
        };
        match timeout(CONNECT_TIMEOUT, OutboundConnection::open(self.address, self.clock, Some(permit), None))
            .await
        {
            Ok(Ok(link)) => Ok(link),
            _ => Err(ExchangeError::ConnectFailed),
        }
    }

    /// Sends a request once, with `fields` added to its headers, and waits for its response until `until`. `check` says
    /// whether a response head belongs to this request; if not, that counts as [`ExchangeError::Reset`] and the connection is
    /// closed. `hold` is dropped when the other side has sent the whole response.
    pub async fn exchange(
        self: &Arc<Self>,
        message: &Arc<RequestMessage>,
        fields: &HeaderMap,
        until: Nanos,
        hold: Option<ResponseGuard>,
        check: impl Fn(&Parts) -> bool,
    ) -> Result<(Parts, ResponseBody), ExchangeError> {
        let deadline = self.clock.instant(until);
        let (mut link, mut reused) = self.reusable().unzip();
        loop {
            let connection = match &mut link {
                Some(connection) => connection,
                None => match timeout_at(deadline, self.open()).await {
                    Ok(opened) => link.insert(opened?),
                    Err(_) => return Err(ExchangeError::NotSent),
                },
            };
            let load = message.take_body().ok_or(ExchangeError::NotSent)?;
            let mut request = message.head.clone().map(|()| load);
            for (name, value) in fields {
                request.headers_mut().insert(name, value.clone());
            }
            let sent_at = self.clock.now();
            let answer = timeout_at(deadline, exchange(connection, request, message)).await;
            match answer {
                Ok(Ok((head, _))) if !check(&head) => return Err(ExchangeError::Reset),
                Ok(Ok((head, body))) => return Ok(self.response_body(link, head, body, hold)),
                // An idle connection that turns out closed before a byte of this request was written: a new one is opened.
                Ok(Err(())) if reused.is_some() && !connection.has_written() && message.can_send_body() => {
                    (link, reused) = (None, None)
                }
                Ok(Err(())) => {
                    if connection.last_read_at() < sent_at {
                        self.lost(reused);
                    }
                    return Err(if connection.is_request_sent() {
                        ExchangeError::Reset
                    } else {
                        ExchangeError::ConnectFailed
                    });
                }
                Err(_) if connection.is_request_sent() => return Err(ExchangeError::TimedOut),
                Err(_) => return Err(ExchangeError::NotSent),
            }
        }
    }

    /// Returns the response to the caller, and keeps the connection once all of it has been read.
    fn response_body(
        self: &Arc<Self>,
        link: Option<OutboundConnection>,
        mut head: Parts,
        body: ReceivedBody,
        hold: Option<ResponseGuard>,
    ) -> (Parts, ResponseBody) {
        let until = self.idle_until(&head);
        remove_hop_by_hop_headers(&mut head.headers);
        match (body, link) {
            (ReceivedBody::Complete(bytes), link) => {
                head.headers.remove(CONTENT_LENGTH);
                if let (Some(mut link), Some(until)) = (link, until)
                    && link.is_request_sent()
                    && link.finish_exchange(head.version)
                {
                    self.keep(link, until);
                }
                (head, ResponseBody::Buffered(Full::new(bytes)))
            }
            (ReceivedBody::Partial(first, length, rest), link) => {
                head.headers.remove(CONTENT_LENGTH);
                let max_pieces = if self.read_ahead.is_some() { READ_AHEAD_CHUNKS } else { 1 };
                let (sender, pieces) = ResponseStream::with_capacity(first.clone(), length, max_pieces);
                if let Some(link) = link {
                    let left = length.map(|length| length.saturating_sub(first.len() as u64));
                    let (pool, version) = (self.clone(), head.version);
                    tokio::spawn(async move {
                        let _hold = hold;
                        pool.pass_on(link, version, (left, rest), sender, until).await
                    });
                }
                (head, ResponseBody::Streaming { pieces, hold: None, paced: None })
            }
        }
    }

    /// Passes a long response on to its reader, piece by piece. `None` if it was given up; the connection is then closed.
    async fn pass_on(
        self: Arc<Self>,
        mut link: OutboundConnection,
        version: hyper::Version,
        (length, mut rest): (Option<u64>, Incoming),
        sender: ChunkSender,
        until: Option<Nanos>,
    ) -> Option<()> {
        let mut left = length.unwrap_or(u64::MAX);
        loop {
            let piece = tokio::select! {
                piece = timeout(UPSTREAM_READ_TIMEOUT, link.next_chunk(&mut rest)) => piece.ok()?.ok()?,
                // A reader that knows the length stops listening once it has all of it, and that is no reason to give up.
                () = sender.closed(), if left > 0 => return None,
            };
            let Some(piece) = piece else {
                let _ = sender.send_timeout(None, CLIENT_WRITE_TIMEOUT).await;
                if let Some(until) = until.filter(|_| link.is_request_sent() && link.finish_exchange(version))
                {
                    self.keep(link, until);
                }
                return Some(());
            };
            left = left.saturating_sub(piece.len() as u64);
            let piece = match &self.read_ahead {
                Some(read_ahead) => counted(read_ahead, piece).await?,
                None => piece,
            };
            sender.send_timeout(Some(piece), CLIENT_WRITE_TIMEOUT).await.ok()?;
        }
    }

    /// Until when the connection may carry another request, by the response's headers; `None` if it is to be closed.
    fn idle_until(&self, head: &Parts) -> Option<Nanos> {
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        if header(CONNECTION.as_str()).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            return None;
        }
        let fields = header("keep-alive").into_iter().flat_map(|value| value.split(','));
        let timeout_s =
            fields.filter_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok()).next();
        let idle = timeout_s.map_or(MAX_IDLE_TIME, |seconds| {
            (seconds.min(3_600) * 1_000 * MS).saturating_sub(KEEP_ALIVE_MARGIN)
        });
        Some(self.clock.now() + idle)
    }
}

/// A piece that was read ahead, with the permit for its bytes.
struct CountedBytes(Bytes, #[allow(dead_code)] Permit);

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// A piece that counts as read ahead until it is dropped; `None` if there is no room for it in time.
async fn counted(read_ahead: &Arc<Semaphore>, piece: Bytes) -> Option<Bytes> {
    let permit = read_ahead.clone().acquire_many_owned(u32::try_from(piece.len()).ok()?);
    let permit = timeout(CLIENT_WRITE_TIMEOUT, permit).await.ok()?.ok()?;
    Some(Bytes::from_owner(CountedBytes(piece, permit)))
}

async fn exchange(
    link: &mut OutboundConnection,
    request: Request<crate::body::RequestBody>,
    message: &Arc<RequestMessage>,
) -> Result<(Parts, ReceivedBody), ()> {
    let (head, body) = link.send_request(request, Some(message)).await.map_err(drop)?.into_parts();
    let body = link.read_body(body).await.map_err(drop)?;
    Ok((head, body))
}

/// The body of a response on its way to the client or proxy that asked.
pub enum ResponseBody {
    /// All of it is in memory.
    Buffered(Full<Bytes>),
    /// It is passed on while it arrives; `hold` is dropped with it, and `paced` delays it.
    Streaming { pieces: ResponseStream, hold: Option<ResponseGuard>, paced: Option<Box<PacedBody>> },
}

/// What all large responses of a node to other nodes share: the pace of its link, and the turns in which they go.
pub struct LargeResponseLane {
    pace: Mutex<LargeResponsePacer>,
    /// A few go at a time, in the order in which they came; if all went at once, all would be late.
    turns: Arc<Semaphore>,
    clock: Clock,
}

impl LargeResponseLane {
    /// `link_mbps`: capacity of the node's network link, in Mbit/s.
    pub fn new(link_mbps: f64, clock: Clock) -> Arc<LargeResponseLane> {
        let turns = Arc::new(Semaphore::new(MAX_CONCURRENT_LARGE_RESPONSES));
        Arc::new(LargeResponseLane { pace: Mutex::new(LargeResponsePacer::new(link_mbps)), turns, clock })
    }

    /// The pacer, locked.
    pub fn pace(&self) -> MutexGuard<'_, LargeResponsePacer> {
        lock(&self.pace)
    }
}

/// A large response that waits for its turn and goes at the pace of the link.
pub struct PacedBody {
    large_responses: Arc<LargeResponseLane>,
    /// Bytes that were announced to the pacer and have not gone yet.
    left: u64,
    turn: TransmitPermit,
    /// A piece that waits for its time.
    waiting: Option<(Bytes, Pin<Box<Sleep>>)>,
}

/// The right to be one of the large responses that go out.
enum TransmitPermit {
    Pending(Pin<Box<dyn Future<Output = Option<Permit>> + Send + Sync>>),
    Granted(#[allow(dead_code)] Option<Permit>),
}

impl PacedBody {
    fn new(large_responses: &Arc<LargeResponseLane>, length: Option<u64>) -> Box<PacedBody> {
        let (left, turns) = (length.unwrap_or(0), large_responses.turns.clone());
        large_responses.pace().begin(left);
        let turn = TransmitPermit::Pending(Box::pin(async move { turns.acquire_owned().await.ok() }));
        Box::new(PacedBody { large_responses: large_responses.clone(), left, turn, waiting: None })
    }

    /// The next piece, once it may go.
    fn poll(
        &mut self,
        pieces: &mut ResponseStream,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, &'static str>>> {
        if let TransmitPermit::Pending(turn) = &mut self.turn {
            self.turn = TransmitPermit::Granted(ready!(turn.as_mut().poll(cx)));
        }
        if self.waiting.is_none() {
            let piece = match ready!(pieces.poll_chunk(cx)) {
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
            self.waiting = Some((piece, Box::pin(sleep_until(self.large_responses.clock.instant(at)))));
        }
        if let Some((_, sleep)) = &mut self.waiting {
            ready!(sleep.as_mut().poll(cx));
        }
        Poll::Ready(self.waiting.take().map(|(piece, _)| Ok(piece)))
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        self.large_responses.pace().done(self.left);
    }
}

/// Something that is dropped once a response has been taken.
pub type ResponseGuard = Box<dyn Send + Sync>;

impl ResponseBody {
    /// A body that is in memory.
    pub fn of(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes.into()))
    }

    /// Lets a large response go at the pace of all large ones; one up to [`CHUNK_BYTES`] goes at once.
    pub fn paced(self, large_responses: &Arc<LargeResponseLane>) -> ResponseBody {
        match self {
            ResponseBody::Streaming { pieces, hold, .. } => {
                let paced = Some(PacedBody::new(large_responses, pieces.length));
                ResponseBody::Streaming { pieces, hold, paced }
            }
            ResponseBody::Buffered(body) if body.size_hint().lower() > CHUNK_BYTES as u64 => {
                let mut left = body.into_inner().unwrap_or_default();
                let length = Some(left.len() as u64);
                let (sender, pieces) =
                    ResponseStream::with_capacity(Bytes::new(), length, left.len() / CHUNK_BYTES + 2);
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

    /// Keeps `thing` until the body has been taken or given up. A buffered body doesn't keep it: it is dropped at once.
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
                    None => ready!(pieces.poll_chunk(cx)),
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

/// A share of a bounded resource, given back when it is dropped.
pub type Permit = OwnedSemaphorePermit;
