//! The listener for clients: their connections, requests and responses.
//!
//! It reads a request, passes it to the decision service and writes the response, and it limits the number of
//! connections. It makes no decision about a request, forwards the message unchanged, and keeps one client's
//! connection from affecting another's.

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

use crate::body::{BodyRemainder, RequestMessage, ResponseBody, ResponseStream};
use crate::clock::Clock;
use crate::connection::{
    MAX_HEAD_BYTES, MeteredStream, SocketMeter, lock, remove_hop_by_hop_headers, unread_bytes,
};
use crate::decision_actor::{DecisionRequest, FinalAnswer};
use crate::endpoint_pool::BUDGET_HEADER;
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::{InFlightRequest, Metrics, RequestOutcome};
use crate::settings::Headers;
use crate::start_facts::{MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES, STREAMED_BODY_BUFFER_BYTES};

/// How long a client may take to send a request, the first one counted from the connection's start, and how
/// long a connection may stay idle.
const REQUEST_READ_TIMEOUT: Nanos = 2_500_000_000;
const IDLE_TIMEOUT: Nanos = 10_000_000_000;
/// During an evacuation, how long idle connections stay open.
const EVACUATION_IDLE_GRACE: Duration = Duration::from_millis(1_500);
/// The longest sleep between two checks of a connection's time limit.
const OVERDUE_CHECK_INTERVAL: Nanos = 1_000_000_000;
/// How long a partly received request is waited for once the listener is closed.
const PARTIAL_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// How long a client may take to read its response on a connection that is being closed.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long, and for how many bytes, a closing connection is still read; longer after a large request body.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_MAX_BYTES: usize = 4 << 20;
const LARGE_BODY_LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// A body that arrives at this rate or faster is read to its end, however long that takes.
const MIN_BODY_BYTES_PER_S: u64 = 32 * 1024;
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Time reserved for the way of the response back to the client.
const RESPONSE_DELIVERY_TIME: Nanos = 5_000_000;
/// Clients wait for a day at most.
const MAX_BUDGET_S: f64 = 86_400.0;
/// How long to wait when no descriptor is left for a new connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What is admitted: how many connections, how many bytes of bodies together, which rule sets.
#[derive(Clone)]
pub struct AdmissionLimits {
    pub max_connections: Arc<AtomicUsize>,
    pub body_memory: Arc<Semaphore>,
    pub rule_sets: Arc<[Name]>,
    pub headers: Headers,
    pub metrics: Arc<Metrics>,
}

pub struct ClientListener<S> {
    clock: Clock,
    lifecycle: Lifecycle,
    decisions: S,
    limits: AdmissionLimits,
    connections: Arc<ClientConnections>,
    open_ids: Arc<OpenRequestIds>,
}

/// Open connections by connection number.
type ClientConnections = Mutex<HashMap<u64, Arc<ClientConnection>>>;

/// A request that is refused with a status and a line of text. Its connection is closed, because the rest of
/// its data can't be divided into requests reliably.
struct Refusal(u16, &'static str);

/// The ids of the requests in flight.
type OpenRequestIds = Mutex<HashSet<HeaderValue>>;

/// One client connection.
struct ClientConnection {
    accepted_at: Nanos,
    /// Since when it carries no accepted request; 0 while it carries one.
    idle_since: AtomicU64,
    /// It has carried an accepted request.
    had_request: AtomicBool,
    /// When it is closed if no byte of a request arrives; and whether a complete head has ever arrived.
    close_at: AtomicU64,
    had_head: AtomicBool,
    /// It was sent a refusal, or a response before the end of its body.
    refused: AtomicBool,
    answered_early: AtomicBool,
    /// How many bytes of a body have arrived, and whether a streamed response was truncated.
    body_bytes: AtomicU64,
    truncated: AtomicBool,
    shutdown: Notify,
    /// The connection has to give way to another one.
    evict: Notify,
    meter: Arc<SocketMeter>,
    /// A body that is still arriving is no longer waited for.
    abort_body: Notify,
}

impl<S> ClientListener<S>
where
    S: Service<DecisionRequest, Response = FinalAnswer> + Clone + Send + Sync + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    pub fn new(
        clock: Clock,
        lifecycle: Lifecycle,
        decisions: S,
        limits: AdmissionLimits,
    ) -> ClientListener<S> {
        ClientListener {
            clock,
            lifecycle,
            decisions,
            limits,
            connections: Arc::default(),
            open_ids: Arc::default(),
        }
    }

    /// Accepts connections until the listener closes or another process takes over, and returns once the last
    /// connection has ended.
    pub async fn run(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut connection_number = 0;
        {
            let mut closed = pin!(self.lifecycle.reached(Phase::Closing));
            let mut taken_over = pin!(self.wait_taken_over());
            let mut evacuation = pin!(self.close_idle_in_evacuations());
            loop {
                tokio::select! {
                    () = &mut closed => break,
                    () = &mut taken_over => break,
                    () = &mut evacuation => {}
                    Some(_) = connections.join_next(), if !connections.is_empty() => {}
                    accepted = listener.accept(), if connections.len() < self.max_connections() => match accepted {
                        Ok((stream, _)) => {
                            connection_number += 1;
                            self.lifecycle.record_connection(self.clock.now());
                            connections.spawn(self.serve_connection(connection_number, stream));
                            if connections.len() >= self.max_connections() {
                                self.evict_one();
                            }
                        }
                        // The client left before it was accepted, or no descriptor is left; neither stops the
                        // listener.
                        Err(error) => {
                            warn!("accept: {error}");
                            sleep(ACCEPT_RETRY_DELAY).await;
                        }
                    }
                }
            }
        }
        // Closing the listener would reset connections still in its backlog. The operating system is asked
        // directly, because the runtime may not have seen the events yet.
        match listener.into_std() {
            Ok(listener) => {
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(true);
                    if let Ok(stream) = TcpStream::from_std(stream) {
                        connection_number += 1;
                        connections.spawn(self.serve_connection(connection_number, stream));
                    }
                }
            }
            Err(error) => warn!("accept: {error}"),
        }
        if self.lifecycle.is_taken_over() {
            let mut closed = pin!(self.lifecycle.reached(Phase::Closing));
            for _ in self.max_connections()..connections.len() {
                self.evict_one();
            }
            loop {
                tokio::select! {
                    () = &mut closed => break,
                    ended = connections.join_next() => if ended.is_none() {
                        return;
                    }
                }
            }
        }
        for connection in lock(&self.connections).values() {
            connection.shutdown.notify_one();
        }
        let all_ended = async { while connections.join_next().await.is_some() {} };
        if timeout(PARTIAL_REQUEST_GRACE, all_ended).await.is_err() {
            // Clients that never finish a request must not delay the exit, and with it the next start.
            let connections = lock(&self.connections);
            let unfinished =
                connections.values().filter(|connection| connection.idle_since.load(Relaxed) > 0);
            unfinished.for_each(|connection| connection.evict.notify_one());
        }
        while connections.join_next().await.is_some() {}
    }

    /// During an evacuation each response closes its connection, and connections that stay idle are closed
    /// after a while. Waiting first avoids clients that find no balancer: the platform's front end still
    /// routes some here for a moment, and a connection that has been idle for this long is unlikely to carry
    /// another request.
    async fn close_idle_in_evacuations(&self) {
        let mut evacuating = self.lifecycle.watch_evacuating();
        while evacuating.wait_for(|evacuating| *evacuating).await.is_ok() {
            let lasts =
                timeout(EVACUATION_IDLE_GRACE, evacuating.wait_for(|evacuating| !evacuating)).await.is_err();
            if lasts {
                lock(&self.connections).values().for_each(|connection| connection.shutdown.notify_one());
                let _ = evacuating.wait_for(|evacuating| !evacuating).await;
            }
        }
        std::future::pending().await
    }

    /// Returns once another process has taken over the address.
    async fn wait_taken_over(&self) {
        self.lifecycle.reached(Phase::Leaving).await;
        if !self.lifecycle.is_taken_over() {
            std::future::pending().await
        }
    }

    fn max_connections(&self) -> usize {
        self.limits.max_connections.load(Relaxed)
    }

    /// Closes the connection without a request that has made no progress for the longest time. Guards against
    /// crowds of clients that connect, send one request or a part of one, and stay: they must not keep out
    /// new clients, and must not displace a client that is slow but makes progress.
    fn evict_one(&self) {
        let connections = lock(&self.connections);
        let idle = connections.values().filter(|connection| connection.idle_since.load(Relaxed) > 0);
        if let Some(connection) = idle.min_by_key(|connection| connection.last_progress_at()) {
            // Notified once; the next call chooses another connection.
            connection.idle_since.store(0, Relaxed);
            if connection.close_at.load(Relaxed) == Nanos::MAX {
                connection.abort_body.notify_one();
            } else {
                connection.evict.notify_one();
            }
        }
    }

    fn serve_connection(
        &self,
        connection_number: u64,
        stream: TcpStream,
    ) -> impl Future<Output = ()> + use<S> {
        let accepted_at = self.clock.now();
        let stream = Arc::new(stream);
        let (metered_stream, meter) = MeteredStream::new(stream.clone(), self.clock, None);
        let connection = Arc::new(ClientConnection {
            accepted_at,
            idle_since: accepted_at.into(),
            had_request: AtomicBool::new(false),
            close_at: (accepted_at + REQUEST_READ_TIMEOUT).into(),
            had_head: AtomicBool::new(false),
            refused: AtomicBool::new(false),
            answered_early: AtomicBool::new(false),
            body_bytes: AtomicU64::new(0),
            truncated: AtomicBool::new(false),
            shutdown: Notify::new(),
            evict: Notify::new(),
            meter: meter.clone(),
            abort_body: Notify::new(),
        });
        lock(&self.connections).insert(connection_number, connection.clone());
        let (clock, all_connections) = (self.clock, self.connections.clone());
        let handler = RequestHandler {
            clock,
            lifecycle: self.lifecycle.clone(),
            decisions: self.decisions.clone(),
            limits: self.limits.clone(),
            open_ids: self.open_ids.clone(),
            stream: stream.clone(),
            meter: meter.clone(),
            connection: connection.clone(),
        };
        async move {
            let mut builder = http1::Builder::new();
            // The time for a head is checked by `overdue`: hyper's own timer starts again after each pause.
            builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
            {
                let mut served =
                    pin!(builder.serve_connection(metered_stream, TowerToHyperService::new(handler)));
                // How a client's connection ends has no effect elsewhere.
                tokio::select! {
                    _ = served.as_mut() => {}
                    () = connection.shutdown.notified() => {
                        served.as_mut().graceful_shutdown();
                        // A client that doesn't read its response is not waited for; one that reads a
                        // streamed response slowly delays only itself.
                        let finished = async {
                            while timeout(FINAL_RESPONSE_TIMEOUT, served.as_mut()).await.is_err()
                                && connection.idle_since.load(Relaxed) == 0
                            {}
                        };
                        tokio::select! {
                            () = finished => {}
                            () = connection.evicted(&stream) => {}
                        }
                    }
                    () = connection.evicted(&stream) => {
                        if !connection.had_head.load(Relaxed) && meter.first_read_at() > 0 {
                            let _ = stream.try_write(REQUEST_TIMEOUT_RESPONSE);
                        }
                    }
                    () = connection.overdue(clock) => {
                        // Nothing else has been written to a connection that never sent a complete head.
                        if !connection.had_head.load(Relaxed) && meter.first_read_at() > 0 {
                            let _ = stream.try_write(REQUEST_TIMEOUT_RESPONSE);
                        }
                    }
                }
            }
            if connection.truncated.load(Relaxed) {
                // A truncated response without a length must not look complete, so the connection is reset.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            } else if connection.answered_early.load(Relaxed) {
                let _ = timeout(LARGE_BODY_LINGER_TIMEOUT, linger(&stream, MAX_STREAMED_BODY_BYTES as usize))
                    .await;
            } else if connection.refused.load(Relaxed) || unread_bytes(&stream).is_ok_and(|count| count > 0) {
                let _ = timeout(LINGER_TIMEOUT, linger(&stream, LINGER_MAX_BYTES)).await;
            }
            lock(&all_connections).remove(&connection_number);
        }
    }
}

impl ClientConnection {
    /// When it last made progress: connected, sent some bytes, or was sent a response.
    fn last_progress_at(&self) -> Nanos {
        self.accepted_at.max(self.meter.last_read_at()).max(self.idle_since.load(Relaxed))
    }

    /// Returns when the connection has to give way, unless a request has just arrived on it.
    async fn evicted(&self, stream: &TcpStream) {
        loop {
            self.evict.notified().await;
            let has_request =
                self.had_request.load(Relaxed) && unread_bytes(stream).is_ok_and(|count| count > 0);
            if !has_request {
                return;
            }
        }
    }

    /// Returns when the client's time is over: for its first request, for a request that has started, or for
    /// being idle. Guards against clients that send nothing, or part of a request, and stay connected.
    async fn overdue(&self, clock: Clock) {
        loop {
            let until = self.close_at.load(Relaxed);
            let started_at = Some(self.meter.first_read_at()).filter(|at| *at > 0 && until != Nanos::MAX);
            let until = started_at.map_or(until, |at| until.min(at + REQUEST_READ_TIMEOUT));
            let now = clock.now();
            if now >= until {
                return;
            }
            sleep_until(clock.instant(until.min(now + OVERDUE_CHECK_INTERVAL))).await;
        }
    }
}

/// Reads and discards data for a while. Closing a socket with unread data resets it, which can destroy a
/// response that the client has not read yet.
async fn linger(stream: &TcpStream, mut left: usize) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let mut discarded = vec![0; 16 * 1024];
    while left > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut discarded) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// An id that counts as in flight while this lives.
struct OpenRequestId {
    open_ids: Arc<OpenRequestIds>,
    id: HeaderValue,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        lock(&self.open_ids).remove(&self.id);
    }
}

/// Handles the requests of one connection.
#[derive(Clone)]
struct RequestHandler<S> {
    clock: Clock,
    lifecycle: Lifecycle,
    decisions: S,
    limits: AdmissionLimits,
    open_ids: Arc<OpenRequestIds>,
    stream: Arc<TcpStream>,
    meter: Arc<SocketMeter>,
    connection: Arc<ClientConnection>,
}

impl<S> Service<Request<Incoming>> for RequestHandler<S>
where
    S: Service<DecisionRequest, Response = FinalAnswer> + Clone + Send + Sync + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    type Response = Response<ForwardedBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let handler = self.clone();
        Box::pin(async move {
            handler.connection.close_at.store(Nanos::MAX, Relaxed);
            let mut response = handler.respond(request).await.unwrap_or_else(|Refusal(status, line)| {
                handler.connection.refused.store(true, Relaxed);
                close(text_response(status, line))
            });
            if handler.lifecycle.closes_connections() {
                response = close(response);
            }
            let exchange =
                ExchangeGuard { clock: handler.clock, meter: handler.meter, connection: handler.connection };
            if let ForwardedBody::Streamed(response) = response.body_mut() {
                response.exchange = Some(exchange);
            }
            Ok(response)
        })
    }
}

/// One exchange on a connection; it ends when the response has been written.
struct ExchangeGuard {
    clock: Clock,
    meter: Arc<SocketMeter>,
    connection: Arc<ClientConnection>,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.connection.idle_since.store(now, Relaxed);
        self.connection.close_at.store(now + IDLE_TIMEOUT, Relaxed);
        // The rest of a large body was read after its head; it is not the start of the next request.
        self.meter.take_first_read_at();
        self.meter.start_next_message();
    }
}

/// A response body on its way to a client.
pub enum ForwardedBody {
    Complete(Full<Bytes>),
    Streamed(StreamedResponse),
}

/// A response that is forwarded as it arrives, with what ends together with it.
pub struct StreamedResponse {
    stream: ResponseStream,
    request: InFlightRequest,
    _open_id: Option<OpenRequestId>,
    connection: Arc<ClientConnection>,
    exchange: Option<ExchangeGuard>,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        match self.get_mut() {
            ForwardedBody::Complete(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            ForwardedBody::Streamed(response) => {
                let chunk = ready!(response.stream.poll_chunk(cx));
                match &chunk {
                    None => response.request.set_outcome(RequestOutcome::Success),
                    Some(Err(_)) => response.connection.truncated.store(true, Relaxed),
                    // hyper does not poll past the end of a response of known length.
                    Some(Ok(_)) if response.stream.is_complete() => {
                        response.request.set_outcome(RequestOutcome::Success)
                    }
                    Some(Ok(_)) => {}
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ForwardedBody::Complete(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ForwardedBody::Complete(body) => body.size_hint(),
            ForwardedBody::Streamed(response) => {
                response.stream.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

impl<S> RequestHandler<S>
where
    S: Service<DecisionRequest, Response = FinalAnswer> + Clone,
    S::Error: std::fmt::Display,
{
    async fn respond(&self, request: Request<Incoming>) -> Result<Response<ForwardedBody>, Refusal> {
        let is_first = !self.connection.had_head.swap(true, Relaxed);
        let received_at = self.meter.take_first_read_at().unwrap_or_else(|| self.clock.now());
        if request.uri().path() == "/_health" {
            self.refuse_pipelined(0)?;
            return Ok(if self.lifecycle.is_healthy() {
                Response::new(ForwardedBody::Complete(Full::default()))
            } else {
                text_response(503, "not serving")
            });
        }
        let has_length = !request.headers().contains_key(TRANSFER_ENCODING);
        if !has_length && self.meter.has_content_length() {
            // Guards against request smuggling: hyper drops the length that would reveal it.
            return Err(Refusal(400, "both a length and a transfer encoding"));
        }
        let read_until =
            if is_first { self.connection.accepted_at } else { received_at } + REQUEST_READ_TIMEOUT;
        let (mut decision_request, mut in_flight, _permit) = tokio::select! {
            biased;
            read = self.read_request(request, received_at) => read?,
            // Guards against clients that use up all connections with bodies that never end.
            () = self.connection.abort_body.notified() => return Err(Refusal(408, "no room for slow bodies")),
            () = self.body_too_slow(read_until) => return Err(Refusal(408, "body too slow")),
        };
        let (body_bytes, is_streamed) =
            (decision_request.1.first_bytes.len() as u64, decision_request.1.remainder.is_some());
        if has_length && !is_streamed {
            self.refuse_pipelined(body_bytes)?;
        }
        let open_id = self.register_id(decision_request.1.head.headers())?;
        if is_streamed {
            // Until it has been received completely, a response leaves some of it unread.
            self.connection.answered_early.store(true, Relaxed);
        } else {
            in_flight.state().mark_received();
        }
        self.connection.idle_since.store(0, Relaxed);
        self.connection.had_request.store(true, Relaxed);
        // Everything read from here on belongs to the next request.
        self.meter.take_first_read_at();
        // A request is accepted when its last byte has been received.
        decision_request.0.received_at = self.meter.last_read_at().max(received_at);
        let answer = tokio::select! {
            biased;
            answer = self.decisions.clone().oneshot(decision_request) => answer,
            // The end of the process must not leave a request without a response.
            () = self.lifecycle.reached(Phase::Ending) => Ok(FinalAnswer::Aborted),
        };
        self.connection.answered_early.store(is_streamed && !in_flight.state().is_received(), Relaxed);
        let response = match answer {
            Ok(FinalAnswer::Response(response)) => {
                let (head, body) = forwarded_response(response).into_parts();
                let body = match body {
                    ResponseBody::Complete(bytes) => {
                        in_flight.set_outcome(RequestOutcome::Success);
                        ForwardedBody::Complete(Full::new(bytes))
                    }
                    ResponseBody::Streamed(stream) => {
                        let (connection, exchange) = (self.connection.clone(), None);
                        ForwardedBody::Streamed(StreamedResponse {
                            stream,
                            request: in_flight,
                            _open_id: open_id,
                            connection,
                            exchange,
                        })
                    }
                };
                Response::from_parts(head, body)
            }
            Ok(FinalAnswer::Denied { retry_after }) => {
                in_flight.set_outcome(RequestOutcome::Overload);
                let mut response = text_response(503, "denied: safe to try again");
                if retry_after > 0 {
                    let value = HeaderValue::try_from(format!("{:.3}", to_seconds(retry_after)));
                    value
                        .into_iter()
                        .for_each(|value| drop(response.headers_mut().insert(RETRY_AFTER, value)));
                }
                response
            }
            Ok(FinalAnswer::Aborted) => text_response(502, "aborted: it may have run"),
            Err(error) => text_response(500, &error.to_string()),
        };
        // The data after the request has not been examined, and the end of a chunked request is unknown.
        let nothing_follows = has_length && !is_streamed && self.meter.bytes_after_head() <= body_bytes;
        Ok(if nothing_follows { response } else { close(response) })
    }
}

impl<S> RequestHandler<S> {
    /// Refuses pipelined requests. This is the only sign of a wrong Content-Length, and it keeps bulk
    /// pipelined requests from being forwarded.
    fn refuse_pipelined(&self, body_bytes: u64) -> Result<(), Refusal> {
        let has_more = self.meter.bytes_after_head() > body_bytes
            || unread_bytes(&self.stream).is_ok_and(|count| count > 0);
        if has_more { Err(Refusal(400, "more than one req at a time")) } else { Ok(()) }
    }

    /// Refuses a request whose id is in flight: the id is a server's only means to recognize a request, so a
    /// second one could run beside the first.
    fn register_id(&self, headers: &HeaderMap) -> Result<Option<OpenRequestId>, Refusal> {
        let Some(id) = headers.get("x-call-id").cloned() else { return Ok(None) };
        let open_ids = self.open_ids.clone();
        if !lock(&open_ids).insert(id.clone()) {
            return Err(Refusal(409, "a req with this X-Call-Id is open"));
        }
        Ok(Some(OpenRequestId { open_ids, id }))
    }

    /// Reads the fields that the decisions need; everything else is forwarded unchanged. Also returns the
    /// memory permit for the body.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        received_at: Nanos,
    ) -> Result<(DecisionRequest, InFlightRequest, OwnedSemaphorePermit), Refusal> {
        let (mut head, mut body) = request.into_parts();
        let header = |name: &str| head.headers.get(name).map(|value| value.to_str().unwrap_or_default());
        if head.method == Method::CONNECT {
            return Err(Refusal(405, "no tunnels"));
        }
        if header("x-call-id").is_none() {
            return Err(Refusal(400, "no X-Call-Id"));
        }
        let budget = header(BUDGET_HEADER.as_str()).and_then(|text| text.trim().parse::<f64>().ok());
        let budget = budget.filter(|budget| *budget > 0.0 && *budget <= MAX_BUDGET_S);
        let budget = budget.ok_or(Refusal(400, "no X-Budget that can be read"))?;
        let first_segment = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = header("x-call-class").unwrap_or(first_segment);
        let rule_set = self.limits.rule_sets.iter().find(|known| &***known == class).cloned();
        let optional_header = |name: &Option<HeaderName>| header(name.as_ref()?.as_str()).map(str::trim);
        // An unreadable cost counts as absent: it matters less than the request.
        let cost = optional_header(&self.limits.headers.cost).and_then(|text| text.parse::<f64>().ok());
        let cost = cost.filter(|ms| *ms >= 0.0 && *ms <= MAX_BUDGET_S * 1e3);
        let mut request = RequestContext {
            id: 0,
            rule_set: rule_set.ok_or(Refusal(400, "no such class"))?,
            customer: optional_header(&self.limits.headers.customer).unwrap_or_default().into(),
            is_client_retry: header("x-again") == Some("1"),
            received_at,
            deadline: received_at + ((budget * 1e9) as Nanos).saturating_sub(RESPONSE_DELIVERY_TIME),
            body_pending: false,
            expected_cost: cost.map(|ms| (ms * 1e6) as Nanos),
            preferred_endpoint: None,
            dispatches: Vec::new(),
        };
        if body.size_hint().lower() > MAX_STREAMED_BODY_BYTES {
            return Err(Refusal(413, "body too large"));
        }
        let body_length = body.size_hint().exact();
        let permits = body_length
            .filter(|length| *length <= MAX_BUFFERED_BODY_BYTES as u64)
            .map_or(STREAMED_BODY_BUFFER_BYTES, |length| length as u32);
        let permit = self.limits.body_memory.clone().acquire_many_owned(permits).await;
        let permit = permit.map_err(|_| Refusal(500, "the door is closed"))?;
        let in_flight = self.limits.metrics.track_request(&request.rule_set);
        let (first_bytes, is_complete) = self.read_first_bytes(&mut body).await?;
        let remainder = (!is_complete).then(|| BodyRemainder::new(body, self.clock, in_flight.state()));
        let body_length = if is_complete { Some(first_bytes.len() as u64) } else { body_length };
        if remainder.is_some() {
            // Its time runs from its last byte, which has not arrived yet.
            request.body_pending = true;
            request.deadline += self.clock.now().saturating_sub(received_at);
        }
        let has_length = head.headers.contains_key(CONTENT_LENGTH) || !first_bytes.is_empty();
        remove_hop_by_hop_headers(&mut head.headers);
        head.headers.remove(EXPECT);
        head.headers.remove(CONTENT_LENGTH);
        if let Some(length) = body_length.filter(|_| has_length) {
            head.headers.insert(CONTENT_LENGTH, length.into());
        }
        let mut message = Request::new(());
        *message.method_mut() = head.method;
        if let Some(path) = head.uri.path_and_query() {
            *message.uri_mut() = path.clone().into();
        }
        *message.headers_mut() = head.headers;
        Ok((
            (request, RequestMessage { head: message, first_bytes, body_length, remainder }),
            in_flight,
            permit,
        ))
    }

    /// Reads a body, or the first part of a large one. Also returns whether that is all of it.
    async fn read_first_bytes(&self, body: &mut Incoming) -> Result<(Bytes, bool), Refusal> {
        self.connection.body_bytes.store(0, Relaxed);
        let mut bytes = BytesMut::new();
        while bytes.len() <= MAX_BUFFERED_BODY_BYTES {
            let Some(frame) = body.frame().await else { return Ok((bytes.freeze(), true)) };
            if let Ok(data) = frame.map_err(|_| Refusal(400, "body cut short"))?.into_data() {
                self.connection.body_bytes.fetch_add(data.len() as u64, Relaxed);
                bytes.extend_from_slice(&data);
            }
            if body.is_end_stream() {
                return Ok((bytes.freeze(), true));
            }
        }
        Ok((bytes.freeze(), false))
    }

    /// Returns when a body is too slow: it has until the given time, plus time for the bytes that have
    /// arrived.
    async fn body_too_slow(&self, until: Nanos) {
        loop {
            let until =
                until + self.connection.body_bytes.load(Relaxed) * 1_000_000_000 / MIN_BODY_BYTES_PER_S;
            if self.clock.now() >= until {
                return;
            }
            sleep_until(self.clock.instant(until)).await;
        }
    }
}

/// Converts a server's response for forwarding: its body and its end-to-end headers.
fn forwarded_response(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut forwarded = Response::new(body);
    *forwarded.headers_mut() = head.headers;
    forwarded
}

fn text_response(status: u16, line: &str) -> Response<ForwardedBody> {
    let mut response = Response::new(ForwardedBody::Complete(Full::from(format!("{line}\n"))));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Makes the response close its connection.
fn close(mut response: Response<ForwardedBody>) -> Response<ForwardedBody> {
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
