//! Connection pools for one hop of a request: from an outbound to an inbound proxy, or from an inbound proxy to its upstream.
//!
//! [`ConnectionPool::exchange`] writes a request on an idle or new connection and waits for the response, with one exchange at
//! a time per connection. A long response is streamed while it arrives ([`ResponseBody`]); large responses to other nodes
//! share the rate of the node's link ([`LargeResponseShaper`], [`PacedBody`]). An error says whether the request may have run
//! ([`ExchangeError`]).
//!
//! Invariants:
//! - A request is written a second time only if no byte of it was written on the first connection.
//! - A request counts as not sent only if no byte of it was written: an upstream may begin with the first one, and only its
//!   own statement says that it hasn't.
//! - An upstream that pauses within its response is waited for until the deadline.
//! - A connection is reused only after the previous response was read completely.

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
use crate::connection::{
    OutboundConnection, ReadTimeout, ReceivedBody, ResponseError, lock, remove_hop_by_hop_headers,
};
use crate::mesh::proxy::exchange_failures::{ExchangeFailure, ExchangeFailureCounts};

const MS: Nanos = 1_000_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept if the peer sends no keep-alive timeout.
const MAX_IDLE_TIME: Nanos = 4_000 * MS;
/// An idle connection is no longer used this long before the peer's keep-alive timeout.
const KEEP_ALIVE_MARGIN: Nanos = 1_500 * MS;
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Longest idle time of a connection to the upstream on the same node. A new connection costs little there: less than a
/// request that is lost because the upstream has silently dropped the old one.
const UPSTREAM_MAX_IDLE_TIME: Nanos = 1_000 * MS;
/// A response is aborted if nothing of it arrives for this long and the request's deadline has passed.
const UPSTREAM_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// A long response is aborted if its reader accepts nothing for this long.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most chunks of one response that are read ahead.
const MAX_READ_AHEAD_CHUNKS: usize = 64;
/// Size of the chunks into which a buffered response is split for pacing.
const CHUNK_BYTES: usize = 16 * 1024;
/// Number of large responses that are sent to other nodes concurrently. More than one, so that a stalled reader doesn't block
/// all others.
const MAX_CONCURRENT_LARGE_RESPONSES: usize = 2;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection was established, or it ended before a byte of the request was written: the request has not run.
    ConnectFailed,
    /// The deadline passed, or no connection was available, before a byte of the request was written: it has not run.
    NotSent,
    /// The request was written at least in part, and no complete and valid response came: it may have run.
    Reset,
    /// The request was written at least in part, and the deadline passed: it may have run.
    TimedOut,
}

/// An open connection without a request.
struct IdleConnection {
    connection: OutboundConnection,
    idle_since: Nanos,
    /// When the peer may close it.
    usable_until: Nanos,
}

/// The connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    clock: Clock,
    idle: Mutex<Vec<IdleConnection>>,
    /// Longest idle time after which a connection is reused; lowered when requests are lost on idle connections.
    idle_limit: Mutex<idle_limit::IdleLimit>,
    permits: Arc<Semaphore>,
    /// Budget in bytes for reading long responses ahead, for all pools that share it; none without read-ahead.
    read_ahead: Option<Arc<Semaphore>>,
    failure_counts: Arc<ExchangeFailureCounts>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}", self.address())
    }
}

impl ConnectionPool {
    /// Creates an empty pool. `permits` bounds the connections of all pools that share it.
    pub fn new(address: SocketAddr, clock: Clock, permits: Arc<Semaphore>) -> ConnectionPool {
        let idle_limit = Mutex::new(idle_limit::IdleLimit::new(Nanos::MAX));
        ConnectionPool {
            address,
            clock,
            idle: Mutex::default(),
            idle_limit,
            permits,
            read_ahead: None,
            failure_counts: Arc::default(),
        }
    }

    /// Counts failed exchanges in `failure_counts`, for all pools that share it.
    pub fn with_failure_counts(self, failure_counts: Arc<ExchangeFailureCounts>) -> ConnectionPool {
        ConnectionPool { failure_counts, ..self }
    }

    /// Reads long responses as fast as they arrive, within the byte budget `read_ahead`, so that a slow reader doesn't keep the
    /// upstream occupied.
    pub fn with_read_ahead(self, read_ahead: Arc<Semaphore>) -> ConnectionPool {
        ConnectionPool { read_ahead: Some(read_ahead), ..self }
    }

    /// Limits the idle time to [`UPSTREAM_MAX_IDLE_TIME`], for an upstream on the same node.
    pub fn for_local_upstream(self) -> ConnectionPool {
        ConnectionPool { idle_limit: Mutex::new(idle_limit::IdleLimit::new(UPSTREAM_MAX_IDLE_TIME)), ..self }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes connections that have been idle for too long. Returns whether no idle one is left.
    pub fn close_expired(&self, now: Nanos) -> bool {
        let mut idle = lock(&self.idle);
        let limit = lock(&self.idle_limit).limit(now);
        idle.retain(|connection| connection.usable_until > now && now - connection.idle_since <= limit);
        idle.is_empty()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Increases the idle time of all idle connections.
    #[cfg(test)]
    pub fn advance_idle_time(&self, by: Nanos) {
        lock(&self.idle).iter_mut().for_each(|connection| connection.idle_since -= by);
    }

    /// Takes an idle connection that may carry another request. Also returns how long it has been idle.
    fn take_idle(&self) -> Option<(OutboundConnection, Nanos)> {
        let now = self.clock.now();
        loop {
            let IdleConnection { mut connection, idle_since, usable_until } = lock(&self.idle).pop()?;
            let idle_time = now.saturating_sub(idle_since);
            if now < usable_until
                && idle_time <= lock(&self.idle_limit).limit(now)
                && connection.is_reusable()
            {
                return Some((connection, idle_time));
            }
        }
    }

    /// Keeps a connection for the next request, up to [`MAX_IDLE_CONNECTIONS`].
    fn return_idle(&self, connection: OutboundConnection, usable_until: Nanos) {
        let (mut idle, idle_since) = (lock(&self.idle), self.clock.now());
        if idle.len() < MAX_IDLE_CONNECTIONS && usable_until > idle_since {
            idle.push(IdleConnection { connection, idle_since, usable_until });
        }
    }

    /// Records a request that was reset before any byte of a response, on a connection that had been idle for this long, or on
    /// a new one. It is unknown whether the request ran; a shorter idle limit prevents further losses.
    fn record_lost_request(&self, idle_time: Option<Nanos>) {
        if lock(&self.idle_limit).record_loss(self.clock.now(), idle_time) {
            log::info!(
                "idle connection was dropped by its peer, idle limit lowered: address={} idle_ms={}",
                self.address,
                idle_time.unwrap_or(0) / MS
            );
        }
    }

    /// Opens a connection. If the limit is reached, this pool's idle connections are closed first.
    async fn open(&self) -> Result<OutboundConnection, ExchangeError> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.close_idle();
                self.permits.clone().try_acquire_owned().map_err(|_| ExchangeError::NotSent)?
            }
        };
        match timeout(CONNECT_TIMEOUT, OutboundConnection::open(self.address, self.clock, Some(permit), None))
            .await
        {
            Ok(Ok(connection)) => Ok(connection),
            _ => {
                self.failure_counts.record(ExchangeFailure::Connect);
                Err(ExchangeError::ConnectFailed)
            }
        }
    }

    /// Counts a request that was sent at `sent_at`, or a part of it, without a valid response.
    fn record_failure(&self, connection: &OutboundConnection, sent_at: Nanos, end: ExchangeEnd) {
        let response_began = connection.last_read_at() >= sent_at;
        self.failure_counts.record(match (end, response_began) {
            (ExchangeEnd::Mismatch, _) => ExchangeFailure::Mismatched,
            (ExchangeEnd::Failure(ResponseError::Stalled), _) => ExchangeFailure::Stalled,
            (ExchangeEnd::Failure(_), false) => ExchangeFailure::LostBeforeResponse,
            (ExchangeEnd::Failure(_), true) => ExchangeFailure::LostInResponse,
            (ExchangeEnd::Deadline, false) => ExchangeFailure::DeadlineBeforeResponse,
            (ExchangeEnd::Deadline, true) => ExchangeFailure::DeadlineInResponse,
        });
    }

    /// Sends a request once, with `added_headers`, and waits for the response until `deadline`. `is_match` says whether a
    /// response belongs to this request; if not, that counts as [`ExchangeError::Reset`] and the connection is closed. `guard`
    /// is dropped when the peer has sent the whole response.
    pub async fn exchange(
        self: &Arc<Self>,
        message: &Arc<RequestMessage>,
        added_headers: &HeaderMap,
        deadline: Nanos,
        guard: Option<ResponseGuard>,
        is_match: impl Fn(&Parts) -> bool,
    ) -> Result<(Parts, ResponseBody), ExchangeError> {
        let deadline = self.clock.instant(deadline);
        let read_timeout = ReadTimeout { max_silence: UPSTREAM_READ_TIMEOUT, earliest: deadline };
        let (mut established, mut idle_time) = self.take_idle().unzip();
        loop {
            let connection = match &mut established {
                Some(connection) => connection,
                None => match timeout_at(deadline, self.open()).await {
                    Ok(opened) => established.insert(opened?),
                    Err(_) => return Err(ExchangeError::NotSent),
                },
            };
            let load = message.take_body().ok_or(ExchangeError::NotSent)?;
            let mut request = message.head.clone().map(|()| load);
            for (name, value) in added_headers {
                request.headers_mut().insert(name, value.clone());
            }
            let sent_at = self.clock.now();
            let response =
                timeout_at(deadline, exchange_on(connection, request, message, read_timeout)).await;
            match response {
                Ok(Ok((head, _))) if !is_match(&head) => {
                    self.record_failure(connection, sent_at, ExchangeEnd::Mismatch);
                    return Err(ExchangeError::Reset);
                }
                Ok(Ok((head, body))) => {
                    return Ok(self.response_body(established, head, body, read_timeout, guard));
                }
                // The idle connection was closed before a byte of this request was written, so a new one is opened.
                Ok(Err(_)) if idle_time.is_some() && !connection.has_written() && message.can_send_body() => {
                    (established, idle_time) = (None, None)
                }
                Ok(Err(error)) => {
                    self.record_failure(connection, sent_at, ExchangeEnd::Failure(error));
                    if connection.last_read_at() < sent_at {
                        self.record_lost_request(idle_time);
                    }
                    return Err(if connection.has_written() {
                        ExchangeError::Reset
                    } else {
                        ExchangeError::ConnectFailed
                    });
                }
                Err(_) => {
                    self.record_failure(connection, sent_at, ExchangeEnd::Deadline);
                    return Err(if connection.has_written() {
                        ExchangeError::TimedOut
                    } else {
                        ExchangeError::NotSent
                    });
                }
            }
        }
    }

    /// Prepares the response for the caller, and keeps the connection once the response has been read completely.
    fn response_body(
        self: &Arc<Self>,
        connection: Option<OutboundConnection>,
        mut head: Parts,
        body: ReceivedBody,
        read_timeout: ReadTimeout,
        guard: Option<ResponseGuard>,
    ) -> (Parts, ResponseBody) {
        let usable_until = self.connection_expiry(&head);
        remove_hop_by_hop_headers(&mut head.headers);
        match (body, connection) {
            (ReceivedBody::Complete(bytes), connection) => {
                head.headers.remove(CONTENT_LENGTH);
                if let (Some(mut connection), Some(usable_until)) = (connection, usable_until)
                    && connection.is_request_sent()
                    && connection.finish_exchange(head.version)
                {
                    self.return_idle(connection, usable_until);
                }
                (head, ResponseBody::Buffered(Full::new(bytes)))
            }
            (ReceivedBody::Partial(first, length, rest), connection) => {
                head.headers.remove(CONTENT_LENGTH);
                let max_chunks = if self.read_ahead.is_some() { MAX_READ_AHEAD_CHUNKS } else { 1 };
                let (sender, chunks) = ResponseStream::with_capacity(first.clone(), length, max_chunks);
                if let Some(connection) = connection {
                    let remaining = length.map(|length| length.saturating_sub(first.len() as u64));
                    let (pool, version) = (self.clone(), head.version);
                    tokio::spawn(async move {
                        let _guard = guard;
                        let rest = StreamedRest { body: rest, length: remaining, read_timeout };
                        pool.stream_body(connection, version, rest, sender, usable_until).await
                    });
                }
                (head, ResponseBody::Streaming { chunks, guard: None, pacing: None })
            }
        }
    }

    /// Streams the rest of a long response to its reader. `None` if it was aborted; the connection is then closed.
    async fn stream_body(
        self: Arc<Self>,
        mut connection: OutboundConnection,
        version: hyper::Version,
        rest: StreamedRest,
        sender: ChunkSender,
        usable_until: Option<Nanos>,
    ) -> Option<()> {
        let StreamedRest { mut body, length, read_timeout } = rest;
        let mut remaining = length.unwrap_or(u64::MAX);
        loop {
            let chunk = tokio::select! {
                chunk = timeout_at(read_timeout.expires_at(), connection.next_chunk(&mut body)) => match chunk {
                    Ok(Ok(chunk)) => chunk,
                    Ok(Err(_)) => return self.abort_stream(ExchangeFailure::LostInResponse),
                    Err(_) => return self.abort_stream(ExchangeFailure::Stalled),
                },
                // A reader that knows the length stops listening after the last byte, which doesn't abort the response.
                () = sender.closed(), if remaining > 0 => return None,
            };
            let Some(chunk) = chunk else {
                let _ = sender.send_timeout(None, CLIENT_WRITE_TIMEOUT).await;
                if let Some(usable_until) = usable_until
                    .filter(|_| connection.is_request_sent() && connection.finish_exchange(version))
                {
                    self.return_idle(connection, usable_until);
                }
                return Some(());
            };
            remaining = remaining.saturating_sub(chunk.len() as u64);
            let chunk = match &self.read_ahead {
                Some(read_ahead) => count_as_read_ahead(read_ahead, chunk).await?,
                None => chunk,
            };
            sender.send_timeout(Some(chunk), CLIENT_WRITE_TIMEOUT).await.ok()?;
        }
    }

    /// Counts a long response that ended before its last byte.
    fn abort_stream(&self, failure: ExchangeFailure) -> Option<()> {
        self.failure_counts.record(failure);
        None
    }

    /// When the connection expires, from the response's headers; `None` if it must be closed.
    fn connection_expiry(&self, head: &Parts) -> Option<Nanos> {
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        if header(CONNECTION.as_str()).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            return None;
        }
        let parameters = header("keep-alive").into_iter().flat_map(|value| value.split(','));
        let timeout_s = parameters
            .filter_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
            .next();
        let max_idle_time = timeout_s.map_or(MAX_IDLE_TIME, |seconds| {
            (seconds.min(3_600) * 1_000 * MS).saturating_sub(KEEP_ALIVE_MARGIN)
        });
        Some(self.clock.now() + max_idle_time)
    }
}

/// The part of a long response that has not been read yet.
struct StreamedRest {
    body: Incoming,
    /// Its length, if known.
    length: Option<u64>,
    read_timeout: ReadTimeout,
}

/// A chunk that was read ahead, with the permit for its bytes.
struct ReadAheadChunk {
    bytes: Bytes,
    _permit: Permit,
}

impl AsRef<[u8]> for ReadAheadChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Counts a chunk against the read-ahead budget until it is dropped; `None` if the budget has no room for it in time.
async fn count_as_read_ahead(read_ahead: &Arc<Semaphore>, chunk: Bytes) -> Option<Bytes> {
    let permit = read_ahead.clone().acquire_many_owned(u32::try_from(chunk.len()).ok()?);
    let permit = timeout(CLIENT_WRITE_TIMEOUT, permit).await.ok()?.ok()?;
    Some(Bytes::from_owner(ReadAheadChunk { bytes: chunk, _permit: permit }))
}

/// How an exchange without a valid response ended.
enum ExchangeEnd {
    /// The response belongs to another request.
    Mismatch,
    Failure(ResponseError),
    Deadline,
}

/// Sends a request on a connection and reads the response, or the first part of a long one.
async fn exchange_on(
    connection: &mut OutboundConnection,
    request: Request<crate::body::RequestBody>,
    message: &Arc<RequestMessage>,
    read_timeout: ReadTimeout,
) -> Result<(Parts, ReceivedBody), ResponseError> {
    let (head, body) = connection.send_request(request, Some(message)).await?.into_parts();
    let body = connection.read_body(body, read_timeout).await?;
    Ok((head, body))
}

/// The body of a response to a client or proxy.
pub enum ResponseBody {
    /// The body is in memory.
    Buffered(Full<Bytes>),
    /// The body is streamed while it arrives. `guard` is dropped with it, and `pacing` limits its rate.
    Streaming { chunks: ResponseStream, guard: Option<ResponseGuard>, pacing: Option<Box<PacedBody>> },
}

/// State that all large responses of a node to other nodes share: the pacer of the link and the transmit permits.
pub struct LargeResponseShaper {
    pacer: Mutex<LargeResponsePacer>,
    /// Permits for concurrent transmission, granted in order of arrival. If all responses were sent concurrently, all would be
    /// late.
    transmit_permits: Arc<Semaphore>,
    clock: Clock,
}

impl LargeResponseShaper {
    /// `link_mbps`: capacity of the node's network link, in Mbit/s.
    pub fn new(link_mbps: f64, clock: Clock) -> Arc<LargeResponseShaper> {
        let transmit_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_LARGE_RESPONSES));
        let pacer = Mutex::new(LargeResponsePacer::new(link_mbps));
        Arc::new(LargeResponseShaper { pacer, transmit_permits, clock })
    }

    /// The pacer, locked.
    pub fn pacer(&self) -> MutexGuard<'_, LargeResponsePacer> {
        lock(&self.pacer)
    }
}

/// Pacing state of a large response: it waits for a transmit permit and is sent at the rate of the link.
pub struct PacedBody {
    shaper: Arc<LargeResponseShaper>,
    /// Bytes that were announced to the pacer and have not been sent yet.
    announced_bytes: u64,
    transmit_permit: TransmitPermit,
    /// A chunk that the pacer delays.
    delayed: Option<(Bytes, Pin<Box<Sleep>>)>,
}

/// Permission to be one of the large responses that are sent concurrently.
enum TransmitPermit {
    Pending(Pin<Box<dyn Future<Output = Option<Permit>> + Send + Sync>>),
    Granted(#[allow(dead_code)] Option<Permit>),
}

impl PacedBody {
    fn new(shaper: &Arc<LargeResponseShaper>, length: Option<u64>) -> Box<PacedBody> {
        let (announced_bytes, permits) = (length.unwrap_or(0), shaper.transmit_permits.clone());
        shaper.pacer().announce_response(announced_bytes);
        let transmit_permit =
            TransmitPermit::Pending(Box::pin(async move { permits.acquire_owned().await.ok() }));
        Box::new(PacedBody { shaper: shaper.clone(), announced_bytes, transmit_permit, delayed: None })
    }

    /// The next chunk, once it may be sent.
    fn poll(
        &mut self,
        chunks: &mut ResponseStream,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, &'static str>>> {
        if let TransmitPermit::Pending(permit) = &mut self.transmit_permit {
            self.transmit_permit = TransmitPermit::Granted(ready!(permit.as_mut().poll(cx)));
        }
        if self.delayed.is_none() {
            let chunk = match ready!(chunks.poll_chunk(cx)) {
                Some(Ok(chunk)) => chunk,
                end => return Poll::Ready(end),
            };
            let (now, chunk_bytes) = (self.shaper.clock.now(), chunk.len() as u64);
            let send_at = {
                let mut pacer = self.shaper.pacer();
                pacer.release_pending(chunk_bytes.min(self.announced_bytes));
                self.announced_bytes = self.announced_bytes.saturating_sub(chunk_bytes);
                pacer.reserve(now, chunk.len())
            };
            if send_at <= now + MS {
                return Poll::Ready(Some(Ok(chunk)));
            }
            self.delayed = Some((chunk, Box::pin(sleep_until(self.shaper.clock.instant(send_at)))));
        }
        if let Some((_, sleep)) = &mut self.delayed {
            ready!(sleep.as_mut().poll(cx));
        }
        Poll::Ready(self.delayed.take().map(|(chunk, _)| Ok(chunk)))
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        self.shaper.pacer().release_pending(self.announced_bytes);
    }
}

/// A value that is dropped once a response has been read or abandoned.
pub type ResponseGuard = Box<dyn Send + Sync>;

impl ResponseBody {
    /// A buffered body.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes.into()))
    }

    /// Limits the body to the shared rate of large responses; a buffered one up to [`CHUNK_BYTES`] is sent at once.
    pub fn with_pacing(self, shaper: &Arc<LargeResponseShaper>) -> ResponseBody {
        match self {
            ResponseBody::Streaming { chunks, guard, .. } => {
                let pacing = Some(PacedBody::new(shaper, chunks.length));
                ResponseBody::Streaming { chunks, guard, pacing }
            }
            ResponseBody::Buffered(body) if body.size_hint().lower() > CHUNK_BYTES as u64 => {
                let mut rest = body.into_inner().unwrap_or_default();
                let length = Some(rest.len() as u64);
                let (sender, chunks) =
                    ResponseStream::with_capacity(Bytes::new(), length, rest.len() / CHUNK_BYTES + 2);
                while !rest.is_empty() {
                    let chunk = rest.split_to(CHUNK_BYTES.min(rest.len()));
                    let _ = sender.try_send(Some(chunk));
                }
                let _ = sender.try_send(None);
                let pacing = Some(PacedBody::new(shaper, length));
                ResponseBody::Streaming { chunks, guard: None, pacing }
            }
            buffered => buffered,
        }
    }

    /// Keeps `guard` until the body has been read or abandoned. With a buffered body, `guard` is dropped at once.
    pub fn with_guard(self, guard: impl Send + Sync + 'static) -> ResponseBody {
        match self {
            ResponseBody::Streaming { chunks, guard: previous, pacing } => {
                let guard: ResponseGuard = match previous {
                    Some(previous) => Box::new((previous, guard)),
                    None => Box::new(guard),
                };
                ResponseBody::Streaming { chunks, guard: Some(guard), pacing }
            }
            buffered => buffered,
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
            ResponseBody::Streaming { chunks, pacing, .. } => {
                let chunk = match pacing {
                    Some(pacing) => ready!(pacing.poll(chunks, cx)),
                    None => ready!(chunks.poll_chunk(cx)),
                };
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streaming { chunks, .. } => {
                chunks.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// A reservation of a bounded resource, released when it is dropped.
pub type Permit = OwnedSemaphorePermit;
