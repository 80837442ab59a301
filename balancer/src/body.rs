//! Request and response bodies in transit: a small body is held complete, a large one as a few chunks.
//!
//! Bytes are passed on unchanged, a truncated body is always reported to the reader, and a body is read no
//! faster than the other side takes it.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ochreshed::Nanos;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::clock::Clock;
use crate::connection::lock;
use crate::metrics::InFlightState;
use crate::start_facts::MAX_STREAMED_BODY_BYTES;

/// A client that sends no body data for this long is considered gone.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A large body that makes no progress for this long has stalled, whichever side caused it.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(6);
const BODY_STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The rest of a body that nobody needs is read for no longer than this.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// A request's head with its body, or with the first part of a large body.
pub struct RequestMessage {
    pub head: Request<()>,
    pub first_bytes: Bytes,
    /// The length of the body, if known.
    pub body_length: Option<u64>,
    pub remainder: Option<BodyRemainder>,
}

/// The rest of a large body.
pub struct BodyRemainder {
    incoming: Mutex<Option<Incoming>>,
    clock: Clock,
    request_state: Arc<InFlightState>,
    /// When its last byte was received (0 until then), how many bytes were forwarded, and whether it failed
    /// before its end.
    received_at: AtomicU64,
    forwarded_bytes: AtomicU64,
    failed: AtomicBool,
    received: Notify,
    /// Whether what nobody needs is read and discarded, instead of the connection being closed.
    discards_unread: bool,
}

impl BodyRemainder {
    pub fn new(incoming: Incoming, clock: Clock, request_state: Arc<InFlightState>) -> BodyRemainder {
        BodyRemainder {
            incoming: Mutex::new(Some(incoming)),
            clock,
            request_state,
            received_at: AtomicU64::new(0),
            forwarded_bytes: AtomicU64::new(0),
            failed: AtomicBool::new(false),
            received: Notify::new(),
            discards_unread: false,
        }
    }

    /// Reads and discards what nobody needs of the body, for a bounded time. Otherwise the connection is closed while its
    /// client still sends, which resets it and can destroy a response that the client has not read yet.
    pub fn discarding_unread(mut self) -> BodyRemainder {
        self.discards_unread = true;
        self
    }

    fn discard(&self, incoming: Option<Incoming>) {
        let is_needed = self.discards_unread && self.received_at().is_none() && !self.has_failed();
        if let Some(incoming) = incoming.filter(|_| is_needed)
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            runtime.spawn(timeout(DISCARD_TIMEOUT, discard_body(incoming)));
        }
    }

    fn mark_received(&self) {
        if self.received_at().is_none() {
            self.received_at.store(self.clock.now(), Relaxed);
            self.request_state.mark_received();
            self.received.notify_waiters();
        }
    }

    /// When its last byte was received.
    pub fn received_at(&self) -> Option<Nanos> {
        Some(self.received_at.load(Relaxed)).filter(|at| *at > 0)
    }

    /// Whether the client failed to send all of it.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Relaxed)
    }

    /// Waits for the last byte. Returns None if the body stalls before that.
    pub async fn wait_received(&self) -> Option<Nanos> {
        let (mut last_bytes, mut last_progress_at) = (0, Instant::now());
        loop {
            let received = self.received.notified();
            if let Some(at) = self.received_at() {
                return Some(at);
            }
            let forwarded_bytes = self.forwarded_bytes.load(Relaxed);
            if forwarded_bytes > last_bytes {
                (last_bytes, last_progress_at) = (forwarded_bytes, Instant::now());
            } else if last_progress_at.elapsed() > BODY_STALL_TIMEOUT {
                return None;
            }
            tokio::select! {
                () = received => {}
                () = sleep(BODY_STALL_CHECK_INTERVAL) => {}
            }
        }
    }
}

impl Drop for BodyRemainder {
    fn drop(&mut self) {
        let incoming = lock(&self.incoming).take();
        self.discard(incoming);
    }
}

/// Reads a body to its end, an error, or a pause of [`CLIENT_IDLE_TIMEOUT`].
async fn discard_body(mut incoming: Incoming) {
    let mut discarded_bytes = 0;
    while let Ok(Some(Ok(frame))) = timeout(CLIENT_IDLE_TIMEOUT, incoming.frame()).await {
        discarded_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        if discarded_bytes > MAX_STREAMED_BODY_BYTES {
            return;
        }
    }
}

impl RequestMessage {
    /// Whether the body could still be sent to a server.
    pub fn can_send_body(&self) -> bool {
        self.remainder.as_ref().is_none_or(|remainder| lock(&remainder.incoming).is_some())
    }

    /// Returns the body to send to a server, or None if a part of it has already been sent.
    pub fn take_body(self: &Arc<RequestMessage>) -> Option<RequestBody> {
        let rest = match &self.remainder {
            None => None,
            Some(remainder) => Some(RemainderReader {
                incoming: Some(lock(&remainder.incoming).take()?),
                message: self.clone(),
                idle_timer: Box::pin(sleep(CLIENT_IDLE_TIMEOUT)),
                is_waiting: false,
            }),
        };
        Some(RequestBody {
            first: Some(self.first_bytes.clone()).filter(|first| !first.is_empty()),
            rest,
            length: self.body_length,
        })
    }
}

/// The rest of a large body, held by the dispatch that sends it. If nothing of it was read, it is handed back
/// for another dispatch.
struct RemainderReader {
    incoming: Option<Incoming>,
    message: Arc<RequestMessage>,
    /// Runs while the client is waited for.
    idle_timer: Pin<Box<Sleep>>,
    is_waiting: bool,
}

impl RemainderReader {
    fn poll_chunk(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, &'static str>>> {
        let RemainderReader { incoming, message, idle_timer, is_waiting } = self;
        let (Some(incoming), Some(remainder)) = (incoming, &message.remainder) else {
            return Poll::Ready(None);
        };
        let fail = |reason| {
            remainder.failed.store(true, Relaxed);
            Poll::Ready(Some(Err(reason)))
        };
        if !std::mem::replace(is_waiting, true) {
            // The client counts as silent only while data is requested: a server that takes nothing stops the
            // requests.
            idle_timer.as_mut().reset(Instant::now() + CLIENT_IDLE_TIMEOUT);
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(cx) else {
                ready!(idle_timer.as_mut().poll(cx));
                return fail("the client sends no body data");
            };
            *is_waiting = false;
            match frame {
                None => {
                    remainder.mark_received();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return fail("the client's body is truncated"),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    let Ok(data) = frame.into_data() else { continue };
                    if data.is_empty() {
                        continue;
                    }
                    let added = data.len() as u64;
                    let forwarded_bytes = remainder.forwarded_bytes.fetch_add(added, Relaxed) + added;
                    if message.body_length == Some(message.first_bytes.len() as u64 + forwarded_bytes) {
                        // The reader does not poll past the last byte.
                        remainder.mark_received();
                    }
                    if forwarded_bytes > MAX_STREAMED_BODY_BYTES {
                        return fail("the client's body is too large");
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Drop for RemainderReader {
    fn drop(&mut self) {
        let incoming = self.incoming.take();
        let Some(remainder) = &self.message.remainder else { return };
        if remainder.forwarded_bytes.load(Relaxed) == 0
            && remainder.received_at().is_none()
            && !remainder.has_failed()
        {
            *lock(&remainder.incoming) = incoming;
        } else {
            remainder.discard(incoming);
        }
    }
}

/// A request body on its way to a server.
pub struct RequestBody {
    first: Option<Bytes>,
    rest: Option<RemainderReader>,
    length: Option<u64>,
}

impl RequestBody {
    pub fn empty() -> RequestBody {
        RequestBody { first: None, rest: None, length: Some(0) }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        rest.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        // hyper asks for this only before it takes the first frame.
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A response body: complete, or streamed from the server.
pub enum ResponseBody {
    Complete(Bytes),
    Streamed(ResponseStream),
}

/// The rest of a streamed response: chunks, then None as the end marker. Without the marker it was truncated.
pub struct ResponseStream {
    pub first: Option<Bytes>,
    pub length: Option<u64>,
    read_bytes: u64,
    chunks: mpsc::Receiver<Option<Bytes>>,
}

/// Sends the chunks of a streamed response; None marks its end.
pub type ChunkSender = mpsc::Sender<Option<Bytes>>;

impl ResponseStream {
    pub fn new(first: Bytes, length: Option<u64>) -> (ChunkSender, ResponseStream) {
        ResponseStream::with_capacity(first, length, 1)
    }

    /// Holds at most `capacity` chunks in transit.
    pub fn with_capacity(
        first: Bytes,
        length: Option<u64>,
        capacity: usize,
    ) -> (ChunkSender, ResponseStream) {
        let (sender, chunks) = mpsc::channel(capacity.max(1));
        (
            sender,
            ResponseStream {
                first: Some(first).filter(|first| !first.is_empty()),
                length,
                read_bytes: 0,
                chunks,
            },
        )
    }

    /// Whether all of it has been read, judged by its length.
    pub fn is_complete(&self) -> bool {
        self.length == Some(self.read_bytes)
    }

    pub fn poll_chunk(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, &'static str>>> {
        if let Some(first) = self.first.take() {
            self.read_bytes += first.len() as u64;
            return Poll::Ready(Some(Ok(first)));
        }
        Poll::Ready(match ready!(self.chunks.poll_recv(cx)) {
            Some(Some(chunk)) => {
                self.read_bytes += chunk.len() as u64;
                Some(Ok(chunk))
            }
            Some(None) => None,
            None => Some(Err("the response is truncated")),
        })
    }
}
