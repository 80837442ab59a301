//! An HTTP/1.1 listener: accepts connections, reads requests within limits and writes the responses.
//!
//! [`serve`] runs one listener and asks a function for each response. [`read_message`] then reads a request's body and makes of
//! the request what may be forwarded.
//!
//! Main types: [`ListenerLimits`], [`ListenerState`], [`ReceivedRequest`], [`RequestError`].
//!
//! Invariants: nothing is decided here about where a request goes; a malformed request is rejected before anything else sees
//! it; a failing connection doesn't affect others.

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

/// Pause after a connection could not be accepted, for instance since no file descriptor is left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long an incomplete request is waited for once the listener is closed.
const DRAIN_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of one listener.
#[derive(Clone)]
pub struct ListenerLimits {
    /// Connections beyond this wait to be accepted.
    pub max_connections: usize,
    /// How long a request's head may take, and a connection be idle.
    pub header_timeout: Duration,
}

/// A request with its head read and its body still to come.
pub struct ReceivedRequest {
    pub request: Request<Incoming>,
    /// What was read of the connection.
    pub meter: Arc<SocketMeter>,
    /// When its first byte arrived.
    pub received_at: Nanos,
}

/// Why a request is rejected: the HTTP status and a line of text for the response.
#[derive(Debug)]
pub struct RequestError(pub u16, pub &'static str);

/// How far the shutdown of a listener has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ListenerState {
    Open,
    /// Connections are still accepted, and each is closed after its next response.
    Draining,
    /// No connection is accepted; those with a request in flight end after its response.
    Closed,
}

/// Accepts connections until the listener is closed, and returns once the last connection has ended. `answer` is called for
/// each request; `callers` is set to the number of connections whenever one is accepted.
pub async fn serve<F, A>(
    listener: TcpListener,
    clock: Clock,
    bounds: ListenerLimits,
    mut state: watch::Receiver<ListenerState>,
    callers: Arc<AtomicUsize>,
    answer: F,
) where
    F: Fn(ReceivedRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let closing = state.clone();
    let mut closed = pin!(async {
        let _ = state.wait_for(|state| *state == ListenerState::Closed).await;
    });
    loop {
        tokio::select! {
            () = &mut closed => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            received = listener.accept(), if connections.len() < bounds.max_connections => match received {
                Ok((stream, _)) => {
                    callers.store(connections.len() + 1, Relaxed);
                    connections.spawn(serve_connection(stream, clock, bounds.clone(), closing.clone(), answer.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Counts a request from its arrival until its response has been sent.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: Arc<AtomicUsize>) -> ConnectionGuard {
        count.fetch_add(1, Relaxed);
        ConnectionGuard(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Serves one connection until it ends.
async fn serve_connection<F, A>(
    stream: TcpStream,
    clock: Clock,
    bounds: ListenerLimits,
    mut state: watch::Receiver<ListenerState>,
    answer: F,
) where
    F: Fn(ReceivedRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let (wire, meter) = MeteredStream::new(Arc::new(stream), clock, None);
    let leaving = state.clone();
    let work = Arc::new(AtomicUsize::new(0));
    let busy = work.clone();
    let serve = service_fn(move |req: Request<Incoming>| {
        let at = meter.take_first_read_at().unwrap_or_else(|| clock.now());
        let meter = meter.clone();
        let (answer, leaving, work) = (answer.clone(), leaving.clone(), work.clone());
        async move {
            let work = ConnectionGuard::new(work);
            let answer =
                answer(ReceivedRequest { request: req, meter: meter.clone(), received_at: at }).await;
            // A long response counts as in flight until its last byte.
            let mut answer = answer.map(|flow| flow.holding(work));
            meter.take_first_read_at();
            meter.start_next_message();
            if *leaving.borrow() >= ListenerState::Draining {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(bounds.header_timeout).max_buf_size(MAX_HEAD_BYTES);
    let mut connection = pin!(builder.serve_connection(wire, serve));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = state.wait_for(|state| *state == ListenerState::Closed) => connection.as_mut().graceful_shutdown(),
    }
    // Requests that are being answered are waited for; one that is incomplete is not.
    while timeout(DRAIN_READ_TIMEOUT, connection.as_mut()).await.is_err() {
        if busy.load(Relaxed) == 0 {
            return;
        }
    }
}

/// Reads a request as it may be forwarded, without the headers of the one connection. Returns it with the permit for the memory
/// of its body. A body up to [`MAX_BUFFERED_BODY_BYTES`] is read completely, within `slow`; of a longer one only the first part. Errors:
/// 400 if it is malformed, 408 if it is too slow, 413 above `most` bytes, 503 while the process ends.
pub async fn read_message(
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
    clock: Clock,
    most: u64,
    slow: Duration,
) -> Result<(RequestMessage, Permit), RequestError> {
    let ReceivedRequest { request: req, meter, .. } = received;
    let (mut head, mut body) = req.into_parts();
    let framed = !head.headers.contains_key(TRANSFER_ENCODING);
    if !framed && meter.has_content_length() {
        // A request with both could hide another request from one of the servers on its way (request smuggling).
        return Err(RequestError(400, "both a length and a transfer encoding"));
    }
    if body.size_hint().lower() > most {
        return Err(RequestError(413, "body too large"));
    }
    let told = body.size_hint().exact();
    let room = told
        .filter(|length| *length <= MAX_BUFFERED_BODY_BYTES as u64)
        .map_or(STREAMED_BODY_BUFFER_BYTES, |length| length as u32);
    let room = bodies.clone().acquire_many_owned(room).await.map_err(|_| RequestError(503, "closed"))?;
    let (first, whole) = match timeout(slow, first(&mut body)).await {
        Ok(read) => read?,
        Err(_) => return Err(RequestError(408, "body too slow")),
    };
    let long = (!whole).then(|| BodyRemainder::new(body, clock, InFlightState::untracked()));
    let length = if whole { Some(first.len() as u64) } else { told };
    let named = head.headers.contains_key(CONTENT_LENGTH) || !first.is_empty();
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(EXPECT);
    head.headers.remove(CONTENT_LENGTH);
    if let Some(length) = length.filter(|_| named) {
        head.headers.insert(CONTENT_LENGTH, length.into());
    }
    let mut on = Request::new(());
    *on.method_mut() = head.method;
    if let Some(path) = head.uri.path_and_query() {
        *on.uri_mut() = path.clone().into();
    }
    if !head.headers.contains_key(HOST)
        && let Some(host) = head.uri.authority().and_then(|host| HeaderValue::try_from(host.as_str()).ok())
    {
        head.headers.insert(HOST, host);
    }
    *on.headers_mut() = head.headers;
    Ok((RequestMessage { head: on, first_bytes: first, body_length: length, remainder: long }, room))
}

/// Reads all of a message's body, up to `most` bytes.
pub async fn read_body(message: RequestMessage, most: u64) -> Result<Vec<u8>, RequestError> {
    let message = Arc::new(message);
    let load = message.take_body().ok_or(RequestError(400, "body cut short"))?;
    let body = http_body_util::Limited::new(load, most.min(usize::MAX as u64) as usize).collect().await;
    Ok(body.map_err(|_| RequestError(400, "body cut short, or too large"))?.to_bytes().to_vec())
}

/// The first part of a body, and whether that is all of it.
async fn first(body: &mut Incoming) -> Result<(bytes::Bytes, bool), RequestError> {
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

/// A response of one line of text. An invalid status becomes 500.
pub fn plain_response(status: u16, line: &str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::of(format!("{line}\n")));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

/// A response of JSON. An invalid status becomes 500.
pub fn json_response(status: u16, text: String) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::of(text));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    answer
}

/// The value of a header without surrounding spaces; empty if there is none or it isn't text.
pub fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().trim()
}

#[cfg(test)]
#[path = "tests/listener_tests.rs"]
mod tests;
