//! An HTTP/1.1 listener: accepts connections, reads requests within limits and writes the responses.
//!
//! [`serve`] runs one listener and calls a handler for each request. The handler calls [`read_message`], which reads the body
//! and converts the request to the form in which it may be forwarded.
//!
//! Main types: [`ListenerLimits`], [`ListenerState`], [`ReceivedRequest`], [`RequestError`].
//!
//! Invariants: no routing decisions are made here; a malformed request is rejected before it is processed; a failing
//! connection doesn't affect others.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use ochreshed::Nanos;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::body::{BodyRemainder, RequestMessage};
use crate::clock::Clock;
use crate::connection::{MAX_HEAD_BYTES, MeteredStream, SocketMeter, remove_hop_by_hop_headers};
use crate::mesh::proxy::connection_pool::{Permit, ResponseBody};
use crate::metrics::InFlightState;
use crate::start_facts::{MAX_BUFFERED_BODY_BYTES, STREAMED_BODY_BUFFER_BYTES};

/// Delay before the next accept after one has failed, for instance because no file descriptor is left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a closed listener waits for an incomplete request.
const DRAIN_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of one listener.
#[derive(Clone)]
pub struct ListenerLimits {
    /// Further connections wait to be accepted.
    pub max_connections: usize,
    /// Longest time for reading a request's head, and longest idle time of a connection.
    pub header_timeout: Duration,
}

/// A request whose head has been read and whose body has not.
pub struct ReceivedRequest {
    pub request: Request<Incoming>,
    /// Byte counts of the connection.
    pub meter: Arc<SocketMeter>,
    /// When its first byte arrived.
    pub received_at: Nanos,
}

/// Why a request is rejected: the HTTP status and a line of text for the response.
#[derive(Debug)]
pub struct RequestError(pub u16, pub &'static str);

/// Shutdown state of a listener.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ListenerState {
    Open,
    /// Connections are still accepted, and each is closed after its next response.
    Draining,
    /// No connection is accepted; those with a request in flight end after its response.
    Closed,
}

/// Accepts connections until the listener is closed, and returns once the last connection has ended. `handler` is called for
/// each request; `connection_count` is set whenever a connection is accepted.
pub async fn serve<F, A>(
    listener: TcpListener,
    clock: Clock,
    limits: ListenerLimits,
    mut state: watch::Receiver<ListenerState>,
    connection_count: Arc<AtomicUsize>,
    handler: F,
) where
    F: Fn(ReceivedRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let connection_state = state.clone();
    let mut closed = pin!(async {
        let _ = state.wait_for(|state| *state == ListenerState::Closed).await;
    });
    loop {
        tokio::select! {
            () = &mut closed => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept(), if connections.len() < limits.max_connections => match accepted {
                Ok((stream, _)) => {
                    connection_count.store(connections.len() + 1, Relaxed);
                    connections.spawn(serve_connection(stream, clock, limits.clone(), connection_state.clone(), handler.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Counts a request as in flight on its connection until its response has been sent.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(in_flight: Arc<AtomicUsize>) -> InFlightGuard {
        in_flight.fetch_add(1, Relaxed);
        InFlightGuard(in_flight)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Serves one connection until it ends.
async fn serve_connection<F, A>(
    stream: TcpStream,
    clock: Clock,
    limits: ListenerLimits,
    mut state: watch::Receiver<ListenerState>,
    handler: F,
) where
    F: Fn(ReceivedRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let (wire, meter) = MeteredStream::new(Arc::new(stream), clock, None);
    let current_state = state.clone();
    let in_flight = Arc::new(AtomicUsize::new(0));
    let requests_in_flight = in_flight.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let received_at = meter.take_first_read_at().unwrap_or_else(|| clock.now());
        let meter = meter.clone();
        let (handler, current_state, in_flight) = (handler.clone(), current_state.clone(), in_flight.clone());
        async move {
            let guard = InFlightGuard::new(in_flight);
            let response = handler(ReceivedRequest { request, meter: meter.clone(), received_at }).await;
            // A long response counts as in flight until its last byte.
            let mut response = response.map(|body| body.with_guard(guard));
            meter.take_first_read_at();
            meter.start_next_message();
            if *current_state.borrow() >= ListenerState::Draining {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.header_timeout).max_buf_size(MAX_HEAD_BYTES);
    let mut connection = pin!(builder.serve_connection(wire, service));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = state.wait_for(|state| *state == ListenerState::Closed) => connection.as_mut().graceful_shutdown(),
    }
    // Requests in flight are completed; an incomplete request is abandoned.
    while timeout(DRAIN_READ_TIMEOUT, connection.as_mut()).await.is_err() {
        if requests_in_flight.load(Relaxed) == 0 {
            return;
        }
    }
}

/// Reads a request and returns it in the form in which it may be forwarded, without hop-by-hop headers, with the permit for the
/// memory of its body. A body up to [`MAX_BUFFERED_BODY_BYTES`] is read completely, within `body_timeout`; of a longer one only the first
/// part. Errors: 400 if the request is malformed, 408 if its body is too slow, 413 above `max_bytes`, 503 while the process
/// ends.
pub async fn read_message(
    received: ReceivedRequest,
    body_memory: &Arc<Semaphore>,
    clock: Clock,
    max_bytes: u64,
    body_timeout: Duration,
) -> Result<(RequestMessage, Permit), RequestError> {
    let ReceivedRequest { request, meter, .. } = received;
    let (mut head, mut body) = request.into_parts();
    if head.headers.contains_key(TRANSFER_ENCODING) && meter.has_content_length() {
        // Two ways of framing could hide a second request from one of the servers on the path (request smuggling).
        return Err(RequestError(400, "both a length and a transfer encoding"));
    }
    if body.size_hint().lower() > max_bytes {
        return Err(RequestError(413, "body too large"));
    }
    let declared_length = body.size_hint().exact();
    let reserved_bytes = declared_length
        .filter(|length| *length <= MAX_BUFFERED_BODY_BYTES as u64)
        .map_or(STREAMED_BODY_BUFFER_BYTES, |length| length as u32);
    let permit = body_memory
        .clone()
        .acquire_many_owned(reserved_bytes)
        .await
        .map_err(|_| RequestError(503, "closed"))?;
    let (first, is_complete) = match timeout(body_timeout, read_first_part(&mut body)).await {
        Ok(read) => read?,
        Err(_) => return Err(RequestError(408, "body too slow")),
    };
    let long = (!is_complete)
        .then(|| BodyRemainder::new(body, clock, InFlightState::untracked()).discarding_unread());
    let length = if is_complete { Some(first.len() as u64) } else { declared_length };
    let has_length = head.headers.contains_key(CONTENT_LENGTH) || !first.is_empty();
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(EXPECT);
    head.headers.remove(CONTENT_LENGTH);
    if let Some(length) = length.filter(|_| has_length) {
        head.headers.insert(CONTENT_LENGTH, length.into());
    }
    let mut forwarded = Request::new(());
    *forwarded.method_mut() = head.method;
    if let Some(path) = head.uri.path_and_query() {
        *forwarded.uri_mut() = path.clone().into();
    }
    if !head.headers.contains_key(HOST)
        && let Some(host) = head.uri.authority().and_then(|host| HeaderValue::try_from(host.as_str()).ok())
    {
        head.headers.insert(HOST, host);
    }
    *forwarded.headers_mut() = head.headers;
    Ok((RequestMessage { head: forwarded, first_bytes: first, body_length: length, remainder: long }, permit))
}

/// Reads a message's complete body, up to `max_bytes`.
pub async fn read_body(message: RequestMessage, max_bytes: u64) -> Result<Vec<u8>, RequestError> {
    let message = Arc::new(message);
    let load = message.take_body().ok_or(RequestError(400, "body cut short"))?;
    let body = http_body_util::Limited::new(load, max_bytes.min(usize::MAX as u64) as usize).collect().await;
    Ok(body.map_err(|_| RequestError(400, "body cut short, or too large"))?.to_bytes().to_vec())
}

/// Reads the first part of a body. The second value says whether that is the complete body.
async fn read_first_part(body: &mut Incoming) -> Result<(bytes::Bytes, bool), RequestError> {
    if body.is_end_stream() {
        return Ok((bytes::Bytes::new(), true));
    }
    let mut bytes = BytesMut::new();
    while bytes.len() <= MAX_BUFFERED_BODY_BYTES {
        let Some(frame) = body.frame().await else { return Ok((bytes.freeze(), true)) };
        if let Ok(data) = frame.map_err(|_| RequestError(400, "body cut short"))?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if body.is_end_stream() {
            return Ok((bytes.freeze(), true));
        }
    }
    Ok((bytes.freeze(), false))
}

/// A plain-text response of one line. An invalid status becomes 500.
pub fn plain_response(status: u16, line: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(format!("{line}\n")));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// A JSON response. An invalid status becomes 500.
pub fn json_response(status: u16, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(text));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

/// The value of a header without surrounding spaces; empty if it is missing or not UTF-8.
pub fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
    value.unwrap_or_default().trim()
}

#[cfg(test)]
#[path = "tests/listener_tests.rs"]
mod tests;
