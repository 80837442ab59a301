//! An HTTP/1.1 connection to a server: the socket, the counters on it, and one exchange at a time.
//!
//! Each connection drives its own hyper connection. It never sends a request a second time by itself. Which part of a
//! request must have been written before the request may have run depends on the server's protocol: see
//! [`OutboundConnection::has_written`] and [`OutboundConnection::is_request_sent`].

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use ochreshed::Nanos;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout, timeout_at};

use crate::body::{RequestBody, RequestMessage};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::start_facts::{MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES};

/// The maximum size of a request or response head.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Stands in for the request size when the body length is unknown; larger than any request.
const UNKNOWN_LENGTH: u64 = u64::MAX - 1;
/// Without data for this long, a response to a call of this program's own, such as a probe, has stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the start of a response of unknown length is buffered, because the response may turn out to be
/// short.
const UNSIZED_BUFFERING_TIME: Duration = Duration::from_millis(1_200);

/// Why a response was not received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The connection ended, or the peer's bytes are not a valid response.
    Connection(String),
    /// The body is longer than this number of bytes.
    TooLarge(u64),
    /// No data of the body came for as long as its reader waits.
    Stalled,
    /// The process has no memory left for the body.
    OutOfMemory,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ResponseError::Connection(reason) => f.write_str(reason),
            ResponseError::TooLarge(max_bytes) => write!(f, "response body exceeds {max_bytes} bytes"),
            ResponseError::Stalled => f.write_str("response body stalled"),
            ResponseError::OutOfMemory => f.write_str("no memory for the response body"),
        }
    }
}

impl From<hyper::Error> for ResponseError {
    fn from(error: hyper::Error) -> ResponseError {
        ResponseError::Connection(error.to_string())
    }
}

/// How long the reader of a response body waits for data. Silence alone is no failure: the server may still be at work, so
/// the reader waits at least until `earliest`.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeout {
    /// Longest silence after `earliest`.
    pub max_silence: Duration,
    /// Until then, any silence is accepted.
    pub earliest: Instant,
}

impl ReadTimeout {
    /// When the body counts as stalled if no data arrives from now on.
    pub fn expires_at(&self) -> Instant {
        self.earliest.max(Instant::now() + self.max_silence)
    }
}

/// What was written to and read from a socket, recorded by the socket itself.
#[derive(Default)]
pub struct SocketMeter {
    bytes_written: AtomicU64,
    /// The dispatch is counted once this many bytes are written; 0 if there is none to count.
    count_dispatch_at_bytes: AtomicU64,
    /// When the first byte since the last `take_first_read_at` was read, 0 if none was, and when the last one
    /// was.
    first_read_at: AtomicU64,
    last_read_at: AtomicU64,
    head_scanner: Mutex<HeadScanner>,
}

/// Scans the incoming message for what hyper does not report: a Content-Length that it dropped in favour of a
/// Transfer-Encoding, and how many bytes followed the head.
#[derive(Default)]
struct HeadScanner {
    /// Bytes of the current line so far, and whether they all match the header name.
    line_length: usize,
    matches_name: bool,
    started: bool,
    finished: bool,
    has_content_length: bool,
    bytes_after_head: u64,
}

impl HeadScanner {
    fn scan(&mut self, bytes: &[u8]) {
        const NAME: &[u8] = b"content-length:";
        for (at, byte) in bytes.iter().enumerate() {
            if self.finished {
                self.bytes_after_head += (bytes.len() - at) as u64;
                return;
            }
            match byte {
                b'\r' => {}
                // Blank lines before the head are not part of it.
                b'\n' => (self.line_length, self.finished) = (0, self.started && self.line_length == 0),
                byte => {
                    self.matches_name = (self.line_length == 0 || self.matches_name)
                        && NAME.get(self.line_length) == Some(&byte.to_ascii_lowercase());
                    (self.line_length, self.started) = (self.line_length + 1, true);
                    self.has_content_length |= self.matches_name && self.line_length == NAME.len();
                }
            }
        }
    }
}

impl SocketMeter {
    /// Returns when the first byte since the previous call was read.
    pub fn take_first_read_at(&self) -> Option<Nanos> {
        Some(self.first_read_at.swap(0, Relaxed)).filter(|at| *at > 0)
    }

    /// When the first byte since the last `take_first_read_at` was read, 0 if none was.
    pub fn first_read_at(&self) -> Nanos {
        self.first_read_at.load(Relaxed)
    }

    pub fn last_read_at(&self) -> Nanos {
        self.last_read_at.load(Relaxed)
    }

    /// Treats everything read from now on as the next message.
    pub fn start_next_message(&self) {
        *self.head_scanner() = HeadScanner::default();
    }

    /// Whether the head has a Content-Length.
    pub fn has_content_length(&self) -> bool {
        self.head_scanner().has_content_length
    }

    /// How many bytes have been read after the head.
    pub fn bytes_after_head(&self) -> u64 {
        self.head_scanner().bytes_after_head
    }

    fn head_scanner(&self) -> MutexGuard<'_, HeadScanner> {
        lock(&self.head_scanner)
    }
}

/// Locks a mutex, also after a panic in another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns 1 if bytes are waiting unread on the socket and 0 at its end. This asks the operating system,
/// because the runtime may not have seen the event yet.
pub fn unread_bytes(stream: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// A socket that records its traffic in a [`SocketMeter`].
pub struct MeteredStream {
    stream: Arc<TcpStream>,
    meter: Arc<SocketMeter>,
    clock: Clock,
    /// Where completely written dispatches are counted.
    metrics: Option<Arc<Metrics>>,
}

impl MeteredStream {
    pub fn new(
        stream: Arc<TcpStream>,
        clock: Clock,
        metrics: Option<Arc<Metrics>>,
    ) -> (TokioIo<MeteredStream>, Arc<SocketMeter>) {
        // Small messages are sent at once; if the option can't be set they are only slower.
        let _ = stream.set_nodelay(true);
        let meter = Arc::<SocketMeter>::default();
        (TokioIo::new(MeteredStream { stream, meter: meter.clone(), clock, metrics }), meter)
    }

    /// Repeats a socket call until it succeeds, fails or would block.
    fn retry_until_blocked<T>(
        mut ready: impl FnMut() -> Poll<io::Result<()>>,
        mut call: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(ready())?;
            match call() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn record_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &result {
            let written = self.meter.bytes_written.fetch_add(*count as u64, Relaxed) + *count as u64;
            let count_at = self.meter.count_dispatch_at_bytes.load(Relaxed);
            if count_at > 0 && written >= count_at {
                self.meter.count_dispatch_at_bytes.store(0, Relaxed);
                self.metrics.iter().for_each(|metrics| metrics.count_dispatch());
            }
        }
        result
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let stream = &self.stream;
        let before = buf.filled().len();
        let count = ready!(MeteredStream::retry_until_blocked(
            || stream.poll_read_ready(cx),
            || stream.try_read_buf(buf)
        ))?;
        if count > 0 {
            self.meter.head_scanner().scan(&buf.filled()[before..]);
            let now = self.clock.now();
            self.meter.last_read_at.store(now, Relaxed);
            let _ = self.meter.first_read_at.compare_exchange(0, now, Relaxed, Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        self.record_written(MeteredStream::retry_until_blocked(
            || stream.poll_write_ready(cx),
            || stream.try_write(bytes),
        ))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        self.record_written(MeteredStream::retry_until_blocked(
            || stream.poll_write_ready(cx),
            || stream.try_write_vectored(parts),
        ))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// A connection that this program opened.
pub struct OutboundConnection {
    sender: SendRequest<RequestBody>,
    /// None once it has ended.
    connection: Option<Connection<TokioIo<MeteredStream>, RequestBody>>,
    stream: Arc<TcpStream>,
    meter: Arc<SocketMeter>,
    /// The current request has been sent once this many bytes are written.
    request_bytes: u64,
    /// The current request if its body length is unknown: it has been sent once its last byte was received.
    unsized_request: Option<Arc<RequestMessage>>,
    metrics: Option<Arc<Metrics>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl OutboundConnection {
    pub async fn open(
        to: SocketAddr,
        clock: Clock,
        permit: Option<OwnedSemaphorePermit>,
        metrics: Option<Arc<Metrics>>,
    ) -> io::Result<OutboundConnection> {
        let stream = Arc::new(TcpStream::connect(to).await?);
        let (metered_stream, meter) = MeteredStream::new(stream.clone(), clock, metrics.clone());
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(metered_stream).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let (connection, request_bytes) = (Some(connection), u64::MAX);
        Ok(OutboundConnection {
            sender,
            connection,
            stream,
            meter,
            request_bytes,
            unsized_request: None,
            metrics,
            _permit: permit,
        })
    }

    /// Whether an idle connection can carry another request: it is open, and there is no unsolicited data on
    /// it.
    pub fn is_reusable(&mut self) -> bool {
        unread_bytes(&self.stream).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) && self.is_ready()
    }

    fn is_ready(&mut self) -> bool {
        let OutboundConnection { sender, connection, .. } = self;
        drive(connection, sender.ready()).now_or_never().is_some_and(|ready| ready.is_ok())
            && self.connection.is_some()
    }

    /// Whether any byte of the current request has been written. Decides whether the request may have run where a server may
    /// begin with its head, as in the mesh.
    pub fn has_written(&self) -> bool {
        self.request_bytes != u64::MAX && self.meter.bytes_written.load(Relaxed) > 0
    }

    /// Whether the last byte of the current request has been written. In doubt, it counts as sent. Decides whether the
    /// request may have run where servers begin with its last byte, as those of `serve` do.
    pub fn is_request_sent(&self) -> bool {
        let received = |message: &Arc<RequestMessage>| {
            message.remainder.as_ref().is_some_and(|remainder| remainder.received_at().is_some())
        };
        self.meter.bytes_written.load(Relaxed) >= self.request_bytes
            || self.unsized_request.as_ref().is_some_and(received)
    }

    pub fn last_read_at(&self) -> Nanos {
        self.meter.last_read_at()
    }

    /// Sends a request and returns the head of the response. The caller reads the body through this
    /// connection, because nothing else drives it.
    pub async fn send_request(
        &mut self,
        request: Request<RequestBody>,
        message: Option<&Arc<RequestMessage>>,
    ) -> Result<Response<Incoming>, ResponseError> {
        self.meter.bytes_written.store(0, Relaxed);
        let length = message.map_or(Some(0), |message| message.body_length);
        self.request_bytes = length.map_or(UNKNOWN_LENGTH, |length| min_request_bytes(&request, length));
        self.unsized_request = message.filter(|_| length.is_none()).cloned();
        self.meter.count_dispatch_at_bytes.store(length.map_or(0, |_| self.request_bytes), Relaxed);
        let OutboundConnection { sender, connection, .. } = self;
        let response = drive(connection, sender.send_request(request)).await;
        if self.unsized_request.is_some() && self.is_request_sent() {
            self.metrics.iter().for_each(|metrics| metrics.count_dispatch());
        }
        Ok(response?)
    }

    /// Ends an exchange whose response was received completely. Returns whether the connection can be reused.
    pub fn finish_exchange(&mut self, version: Version) -> bool {
        // The bytes counted so far belong to this exchange, and the next request has not started.
        self.request_bytes = u64::MAX;
        version == Version::HTTP_11 && self.is_ready()
    }

    /// Sends a request without a body and reads its whole response. Also returns whether the connection can
    /// be reused. A response larger than `MAX_BUFFERED_BODY_BYTES`, up to `max_bytes`, holds permits of
    /// `memory` for as long as it lives.
    pub async fn exchange(
        &mut self,
        request: Request<()>,
        max_bytes: usize,
        memory: &Arc<Semaphore>,
    ) -> Result<(Response<Bytes>, bool), ResponseError> {
        let (head, body) =
            self.send_request(request.map(|()| RequestBody::empty()), None).await?.into_parts();
        let body = drive(&mut self.connection, read_whole_body(body, max_bytes, memory)).await?;
        let reusable = self.finish_exchange(head.version);
        Ok((Response::from_parts(head, body), reusable))
    }

    /// Returns the next chunk of a response body, or None at its end.
    pub async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ResponseError> {
        let chunk = async {
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame?.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(None)
        };
        drive(&mut self.connection, chunk).await
    }

    /// Reads a whole response body, or the first part of a large one.
    pub async fn read_body(
        &mut self,
        mut body: Incoming,
        read_timeout: ReadTimeout,
    ) -> Result<ReceivedBody, ResponseError> {
        let length = body.size_hint().exact();
        match length {
            Some(length) if length > MAX_STREAMED_BODY_BYTES => {
                return Err(ResponseError::TooLarge(MAX_STREAMED_BODY_BYTES));
            }
            Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => {
                return Ok(ReceivedBody::Partial(Bytes::new(), Some(length), body));
            }
            _ => {}
        }
        let mut bytes = Vec::new();
        let buffered_until = Instant::now() + UNSIZED_BUFFERING_TIME;
        loop {
            let until = if length.is_none() { buffered_until } else { read_timeout.expires_at() };
            match timeout_at(until, self.next_chunk(&mut body)).await {
                Ok(chunk) => match chunk? {
                    Some(data) => bytes.extend_from_slice(&data),
                    None => return Ok(ReceivedBody::Complete(bytes.into())),
                },
                Err(_) if length.is_none() => return Ok(ReceivedBody::Partial(bytes.into(), None, body)),
                Err(_) => return Err(ResponseError::Stalled),
            }
            if bytes.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(ReceivedBody::Partial(bytes.into(), None, body));
            }
        }
    }
}

/// What has been received of a response body.
pub enum ReceivedBody {
    Complete(Bytes),
    /// The first part, the length of the whole body if known, and the rest.
    Partial(Bytes, Option<u64>, Incoming),
}

/// Reads the whole response body of a call of this program's own. Guards against a body that claims to be endless, and
/// against one that stops half-way on an open connection.
async fn read_whole_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<Semaphore>,
) -> Result<Bytes, ResponseError> {
    let length = body.size_hint().exact().map_or(max_bytes, |length| length.min(usize::MAX as u64) as usize);
    if length > max_bytes && body.size_hint().exact().is_some() {
        return Err(ResponseError::TooLarge(max_bytes as u64));
    }
    let (mut bytes, mut permit) = (Vec::with_capacity(length.min(MAX_BUFFERED_BODY_BYTES)), None);
    while let Some(frame) = timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| ResponseError::Stalled)? {
        let Ok(data) = frame?.into_data() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(ResponseError::TooLarge(max_bytes as u64));
        }
        if bytes.len() + data.len() > MAX_BUFFERED_BODY_BYTES && permit.is_none() {
            let permits = length.min(u32::MAX as usize) as u32;
            let acquired = memory.clone().acquire_many_owned(permits).await;
            permit = Some(acquired.map_err(|_| ResponseError::OutOfMemory)?);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(BodyWithPermit { bytes, _permit: permit }))
}

/// A body together with the memory permits that it holds.
struct BodyWithPermit {
    bytes: Vec<u8>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BodyWithPermit {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Polls a future and its connection in one task.
async fn drive<T>(
    connection: &mut Option<Connection<TokioIo<MeteredStream>, RequestBody>>,
    future: impl Future<Output = T>,
) -> T {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| {
        if let Poll::Ready(done) = future.as_mut().poll(cx) {
            return Poll::Ready(done);
        }
        if connection.as_mut().is_some_and(|connection| connection.poll_unpin(cx).is_ready()) {
            // Dropped, so that everything still waiting on it is woken.
            *connection = None;
        }
        future.as_mut().poll(cx)
    })
    .await
}

/// The number of bytes that hyper writes for the request.
fn min_request_bytes<T>(request: &Request<T>, body: u64) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + path + " ".len() + " HTTP/1.1\r\n".len();
    let field = |(name, value): (&HeaderName, &hyper::header::HeaderValue)| {
        name.as_str().len() + ": ".len() + value.len() + "\r\n".len()
    };
    let head = line + request.headers().iter().map(field).sum::<usize>() + "\r\n".len();
    head as u64 + body
}

/// Removes the hop-by-hop headers, which are not forwarded.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let hop = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    let not_in_hyper = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in hop.into_iter().chain(not_in_hyper).chain(named) {
        headers.remove(name);
    }
}
