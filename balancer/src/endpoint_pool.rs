//! An actor that owns the connections to one endpoint and carries out the dispatches sent to it, each exactly
//! once.
//!
//! It never retries by itself, never picks another endpoint, and never continues a cancelled dispatch: the
//! connection is closed before the cancellation is reported.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use ochreshed::{DispatchOutcome, Name, Nanos, to_seconds};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout};

use crate::body::{self, ChunkSender, RequestMessage, ResponseBody, ResponseStream};
use crate::clock::Clock;
use crate::connection::{OutboundConnection, ReadTimeout, ReceivedBody, ResponseError};
use crate::decision_actor::DecisionEvent;
use crate::metrics::Metrics;
use crate::start_facts::{MAX_BUFFERED_BODY_BYTES, STREAMED_BODY_BUFFER_BYTES};

pub const BUDGET_HEADER: HeaderName = HeaderName::from_static("x-budget");
const COMMAND_CAPACITY: usize = 512;
/// An idle connection is not reused during this last part of its idle timeout.
const IDLE_MARGIN: Nanos = 1_000_000_000;
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Without data for this long, a response to a request that may be sent again has stalled.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A streamed response is given up when the endpoint sends nothing, or the client takes nothing, for this
/// long.
const ENDPOINT_STALL_TIMEOUT: Duration = Duration::from_secs(5);
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The actor ends after this long without work and without connections.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(30);

pub enum PoolCommand {
    Send(PoolDispatch),
    /// A probe that must be finished by then.
    Probe(Nanos),
    /// Close the idle connections.
    CloseIdle,
}

/// A dispatch to carry out.
pub struct PoolDispatch {
    pub id: u64,
    pub dispatch_index: usize,
    pub give_up_at: Nanos,
    pub message: Arc<RequestMessage>,
    /// The request must not run twice.
    pub run_once: bool,
    pub cancelled: oneshot::Receiver<()>,
}

/// The recent share of reused connections, over all endpoints, that broke before any response, as an
/// exponential moving average. Guards against endpoints, or proxies before them, that drop kept connections
/// silently.
#[derive(Default)]
pub struct ReuseFailures(AtomicU32);

impl ReuseFailures {
    const ONE: u32 = 1 << 20;
    const WINDOW: u32 = 32;

    fn record(&self, broke: bool) {
        let previous = self.0.load(Relaxed);
        self.0.store(
            previous - previous / ReuseFailures::WINDOW
                + u32::from(broke) * (ReuseFailures::ONE / ReuseFailures::WINDOW),
            Relaxed,
        );
    }

    /// Whether more than one in 32 broke recently. That is too many for requests that must not run twice,
    /// because they can't be retried.
    fn is_high(&self) -> bool {
        self.0.load(Relaxed) > ReuseFailures::ONE / 32
    }
}

/// What all endpoint pools of a balancer share.
#[derive(Clone)]
pub struct PoolContext {
    pub clock: Clock,
    pub decisions: mpsc::Sender<DecisionEvent>,
    pub connection_permits: Arc<Semaphore>,
    pub reuse_failures: Arc<ReuseFailures>,
    /// Memory permits for large responses, in bytes.
    pub response_memory: Arc<Semaphore>,
    pub metrics: Arc<Metrics>,
    /// With no more than this many permits left, connections are closed instead of kept idle. Otherwise
    /// requests could be denied for want of a connection while other connections are idle.
    pub min_spare_permits: usize,
    pub connect_timeout: Duration,
    /// How long an endpoint keeps an idle connection open.
    pub idle_timeout: Nanos,
}

struct EndpointPool {
    endpoint: Name,
    address: SocketAddr,
    context: PoolContext,
}

pub fn spawn(endpoint: Name, address: SocketAddr, context: PoolContext) -> mpsc::Sender<PoolCommand> {
    let (sender, commands) = mpsc::channel(COMMAND_CAPACITY);
    tokio::spawn(EndpointPool { endpoint, address, context }.run(commands));
    sender
}

impl EndpointPool {
    async fn run(self, mut commands: mpsc::Receiver<PoolCommand>) {
        let mut idle: Vec<OutboundConnection> = Vec::new();
        let mut in_flight = FuturesUnordered::new();
        let mut open = true;
        while open || !in_flight.is_empty() {
            // The first connection has been idle the longest.
            let oldest = idle.first().map(|connection| self.stop_reuse_at(connection));
            let wake_at = self.context.clock.instant(oldest.unwrap_or(Nanos::MAX));
            let unused = open && in_flight.is_empty() && idle.is_empty();
            tokio::select! {
                command = commands.recv(), if open => match command {
                    Some(PoolCommand::Send(dispatch)) => {
                        let needs_new = dispatch.run_once && self.context.reuse_failures.is_high();
                        let reused = if needs_new { None } else { self.take_reusable(&mut idle) };
                        in_flight.push(self.carry_out(dispatch, reused).boxed());
                    }
                    Some(PoolCommand::Probe(give_up_at)) => in_flight.push(self.probe(give_up_at).boxed()),
                    Some(PoolCommand::CloseIdle) => idle.clear(),
                    None => open = false,
                },
                Some(connection) = in_flight.next(), if !in_flight.is_empty() => if let Some(connection) = connection
                    && idle.len() < MAX_IDLE_CONNECTIONS
                    && self.context.connection_permits.available_permits() > self.context.min_spare_permits
                {
                    idle.push(connection);
                },
                // Commands that arrived in the meantime are still carried out: the mailbox is read to its
                // end.
                () = sleep(UNUSED_TIMEOUT), if unused => commands.close(),
                () = sleep_until(wake_at), if oldest.is_some() => {
                    let now = self.context.clock.now();
                    idle.retain(|connection| self.stop_reuse_at(connection) > now);
                }
            }
        }
    }

    fn stop_reuse_at(&self, connection: &OutboundConnection) -> Nanos {
        connection.last_read_at()
            + self.context.idle_timeout.saturating_sub(IDLE_MARGIN).max(self.context.idle_timeout / 2)
    }

    /// Takes the most recently used connection that can be reused. Connections that the endpoint has closed,
    /// or may be about to close, are dropped: a request written to one is reset and may have run.
    fn take_reusable(&self, idle: &mut Vec<OutboundConnection>) -> Option<OutboundConnection> {
        let now = self.context.clock.now();
        while let Some(mut connection) = idle.pop() {
            if now < self.stop_reuse_at(&connection) && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    async fn carry_out(
        &self,
        dispatch: PoolDispatch,
        reused: Option<OutboundConnection>,
    ) -> Option<OutboundConnection> {
        let PoolDispatch { id, dispatch_index, give_up_at, message, run_once, mut cancelled } = dispatch;
        let (clock, started_at) = (self.context.clock, self.context.clock.now());
        // Only a request that may be sent again gains from giving up a response that pauses: the server may still be at work.
        let pause_allowed_until = if run_once { give_up_at } else { started_at };
        let read_timeout =
            ReadTimeout { max_silence: RESPONSE_STALL_TIMEOUT, earliest: clock.instant(pause_allowed_until) };
        let mut connection = reused;
        let result = {
            let mut response = pin!(self.dispatch(&mut connection, &message, read_timeout, give_up_at));
            tokio::select! {
                biased;
                Ok(()) = &mut cancelled => Err(DispatchOutcome::Cancelled),
                result = &mut response => result,
                () = self.wait_due((id, dispatch_index), &message, started_at, give_up_at) => {
                    // After a pause of the whole process, timers fire before socket events are seen; a
                    // response that has arrived by then still counts.
                    yield_now().await;
                    response.now_or_never().unwrap_or(Err(DispatchOutcome::TimedOut))
                }
            }
        };
        let remainder = message.remainder.as_ref();
        let body_time = remainder
            .and_then(|remainder| remainder.received_at())
            .map_or(0, |at| at.saturating_sub(started_at));
        let ended = |outcome, at, response| DecisionEvent::DispatchEnded {
            id,
            dispatch_index,
            outcome,
            at,
            body_time,
            response,
        };
        let (outcome, received) = match result {
            Ok(received) => {
                let outcome = outcome_of(&received.response);
                (outcome, Some(received).filter(|_| outcome == DispatchOutcome::Done))
            }
            // Cancelled or failed before the request was written completely, so it cannot have run. If the
            // client did not send all of its body, the endpoint is not at fault.
            Err(DispatchOutcome::Cancelled | DispatchOutcome::TimedOut) if !is_request_sent(&connection) => {
                (DispatchOutcome::NotSent, None)
            }
            Err(DispatchOutcome::NoConnection)
                if remainder.is_some_and(|remainder| remainder.has_failed()) =>
            {
                (DispatchOutcome::NotSent, None)
            }
            Err(outcome) => (outcome, None),
        };
        match received {
            Some(DispatchResponse { response, rest: Some((length, rest, _permit)), .. }) => {
                let version = response.version();
                let (sender, streamed) = {
                    let (head, first) = response.into_parts();
                    let (sender, stream) = ResponseStream::new(first, length);
                    (sender, Response::from_parts(head, ResponseBody::Streamed(stream)))
                };
                // The dispatch is done with its first bytes: the rest is not subject to the client timeout.
                let _ = self.context.decisions.send(ended(outcome, clock.now(), Some(streamed))).await;
                self.forward_rest(connection, version, (length, rest), sender).await
            }
            received => {
                let reusable = received.as_ref().is_some_and(|received| received.reusable);
                let at = match &connection {
                    Some(connection) if reusable => connection.last_read_at(),
                    _ => clock.now(),
                };
                // The connection is closed before the end is reported, so that no second copy of the request
                // can be out beside this one.
                let connection = connection.filter(|_| reusable);
                let response = received.map(|received| received.response.map(ResponseBody::Complete));
                let _ = self.context.decisions.send(ended(outcome, at, response)).await;
                connection
            }
        }
    }

    /// Returns when the dispatch must have its response. A large body extends the time by as long as it takes
    /// to arrive.
    async fn wait_due(
        &self,
        (id, dispatch_index): (u64, usize),
        message: &RequestMessage,
        started_at: Nanos,
        give_up_at: Nanos,
    ) {
        let mut body_time = 0;
        if let Some(remainder) = &message.remainder {
            let Some(at) = remainder.wait_received().await else { return };
            body_time = at.saturating_sub(started_at);
            let _ = self.context.decisions.send(DecisionEvent::RequestSent { id, dispatch_index }).await;
        }
        sleep_until(self.context.clock.instant(give_up_at.saturating_add(body_time))).await;
    }

    /// Forwards the rest of a streamed response as fast as the client takes it, and gives up if either side
    /// stalls; the client sees a truncated response.
    async fn forward_rest(
        &self,
        connection: Option<OutboundConnection>,
        version: Version,
        (length, mut rest): (Option<u64>, Incoming),
        sender: ChunkSender,
    ) -> Option<OutboundConnection> {
        let (mut connection, mut remaining_bytes) = (connection?, length.unwrap_or(u64::MAX));
        loop {
            let chunk = tokio::select! {
                chunk = timeout(ENDPOINT_STALL_TIMEOUT, connection.next_chunk(&mut rest)) => chunk.ok()?.ok()?,
                // A client that knows the length stops listening once it has everything.
                () = sender.closed(), if remaining_bytes > 0 => return None,
            };
            let Some(chunk) = chunk else {
                let _ = sender.send_timeout(None, CLIENT_STALL_TIMEOUT).await;
                return connection.finish_exchange(version).then_some(connection);
            };
            remaining_bytes = remaining_bytes.saturating_sub(chunk.len() as u64);
            sender.send_timeout(Some(chunk), CLIENT_STALL_TIMEOUT).await.ok()?;
        }
    }

    /// Sends the request once. If a reused connection breaks before the first byte was written, a new
    /// connection is opened; the request itself is not affected.
    async fn dispatch(
        &self,
        connection: &mut Option<OutboundConnection>,
        message: &Arc<RequestMessage>,
        read_timeout: ReadTimeout,
        give_up_at: Nanos,
    ) -> Result<DispatchResponse, DispatchOutcome> {
        let mut reused = connection.is_some();
        loop {
            let current = match connection {
                Some(current) => current,
                None => connection.insert(self.open().await?),
            };
            let remaining = give_up_at.saturating_sub(self.context.clock.now());
            if remaining == 0 {
                // After a pause of the whole process, nothing is sent for a request whose time is over.
                return Err(DispatchOutcome::NotSent);
            }
            let sent_at = self.context.clock.now();
            // A large body that was partly sent to another endpoint can't be sent again.
            let request = self.address_request(message, remaining).ok_or(DispatchOutcome::NotSent)?;
            let response = self.exchange(current, request, message, read_timeout).await;
            if reused {
                self.context.reuse_failures.record(
                    response.is_err() && current.is_request_sent() && current.last_read_at() < sent_at,
                );
            }
            match response {
                Ok(response) => return Ok(response),
                Err(_) if current.is_request_sent() => return Err(DispatchOutcome::Reset),
                Err(_) if reused && !current.has_written() => (*connection, reused) = (None, false),
                Err(_) => return Err(DispatchOutcome::NoConnection),
            }
        }
    }

    async fn exchange(
        &self,
        connection: &mut OutboundConnection,
        request: Request<body::RequestBody>,
        message: &Arc<RequestMessage>,
        read_timeout: ReadTimeout,
    ) -> Result<DispatchResponse, ResponseError> {
        let (head, body) = connection.send_request(request, Some(message)).await?.into_parts();
        // A response that arrives before the request is written completely ends its connection.
        let is_sent = connection.is_request_sent();
        match connection.read_body(body, read_timeout).await? {
            ReceivedBody::Complete(bytes) => {
                let reusable = connection.finish_exchange(head.version) && is_sent;
                Ok(DispatchResponse { response: Response::from_parts(head, bytes), reusable, rest: None })
            }
            ReceivedBody::Partial(first, length, rest) => {
                // A streamed response takes its share of the memory for large responses.
                let permit =
                    self.context.response_memory.clone().acquire_many_owned(STREAMED_BODY_BUFFER_BYTES).await;
                let permit = permit.map_err(|_| ResponseError::OutOfMemory)?;
                let response = Response::from_parts(head, first);
                Ok(DispatchResponse { response, reusable: false, rest: Some((length, rest, permit)) })
            }
        }
    }

    async fn probe(&self, give_up_at: Nanos) -> Option<OutboundConnection> {
        let started_at = self.context.clock.now();
        let probe = async {
            let mut connection = self.open().await?;
            let ping = Request::get("/ping").header(HOST, self.address.to_string()).body(());
            let response = connection
                .exchange(
                    ping.map_err(|_| DispatchOutcome::NotSent)?,
                    MAX_BUFFERED_BODY_BYTES,
                    &self.context.response_memory,
                )
                .await;
            Ok((response.map_err(|_| DispatchOutcome::Reset)?.0, connection))
        };
        let result = tokio::time::timeout_at(self.context.clock.instant(give_up_at), probe).await;
        let (outcome, connection) = match result {
            Ok(Ok((response, connection))) if response.status() == StatusCode::OK => {
                (DispatchOutcome::Done, Some(connection))
            }
            Ok(Ok(_)) => (DispatchOutcome::Full, None),
            Ok(Err(outcome)) => (outcome, None),
            Err(_) => (DispatchOutcome::TimedOut, None),
        };
        let now = self.context.clock.now();
        let event = DecisionEvent::ProbeEnded {
            endpoint: self.endpoint.clone(),
            outcome,
            duration: now - started_at,
        };
        let _ = self.context.decisions.send(event).await;
        connection
    }

    async fn open(&self) -> Result<OutboundConnection, DispatchOutcome> {
        // No connection is opened at the limit: the limit is this process's, so the endpoint is not at fault.
        let permit = self
            .context
            .connection_permits
            .clone()
            .try_acquire_owned()
            .map_err(|_| DispatchOutcome::NotSent)?;
        let metrics = Some(self.context.metrics.clone());
        let opening = OutboundConnection::open(self.address, self.context.clock, Some(permit), metrics);
        match timeout(self.context.connect_timeout, opening).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(DispatchOutcome::NoConnection),
        }
    }

    /// The request for this endpoint: the message as received, with the remaining time.
    fn address_request(
        &self,
        message: &Arc<RequestMessage>,
        remaining: Nanos,
    ) -> Option<Request<body::RequestBody>> {
        let body = message.take_body()?;
        let mut request = message.head.clone().map(|()| body);
        request.headers_mut().insert(HOST, header_value(self.address.to_string()));
        request.headers_mut().insert(BUDGET_HEADER, header_value(format!("{:.6}", to_seconds(remaining))));
        Some(request)
    }
}

/// The response to a dispatch: complete, or the head and first part of a streamed one with its length, its
/// rest and its memory permit.
struct DispatchResponse {
    response: Response<Bytes>,
    reusable: bool,
    rest: Option<(Option<u64>, Incoming, OwnedSemaphorePermit)>,
}

fn header_value(value: String) -> HeaderValue {
    // Digits and punctuation are always valid in a header value.
    HeaderValue::try_from(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn is_request_sent(connection: &Option<OutboundConnection>) -> bool {
    connection.as_ref().is_some_and(OutboundConnection::is_request_sent)
}

/// Derives the outcome of a dispatch from its response.
fn outcome_of(response: &Response<Bytes>) -> DispatchOutcome {
    let rejected = response.headers().get("x-rejected").is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => DispatchOutcome::Done,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => DispatchOutcome::Full,
        _ => DispatchOutcome::Error,
    }
}
