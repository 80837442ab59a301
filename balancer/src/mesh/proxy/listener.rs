//! A door for HTTP/1.1: callers' connections, and reqs read off them. It owns the bounds on connections, heads, bodies
//! and time, and how a door closes. It must never decide on a req, nor let one caller's connection cost another its own.

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

use crate::body::{Long, Message};
use crate::clock::Clock;
use crate::figures::Coming;
use crate::link::{MOST_HEAD, Meter, Wire, drop_hop_fields};
use crate::mesh::proxy::connection_pool::{Permit, ResponseBody};
use crate::start::{MOST_BODY, PER_LONG};

/// How long to wait when no descriptor is left for a new connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Half a req is waited for so long once the door has closed.
const DRAIN_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// ListenerLimits of one door.
#[derive(Clone)]
pub struct ListenerLimits {
    pub max_connections: usize,
    /// How long a head may take, and a connection stand idle.
    pub header_timeout: Duration,
}

/// A req as it came, and when.
pub struct ReceivedRequest {
    pub request: Request<Incoming>,
    pub meter: Arc<Meter>,
    pub received_at: Nanos,
}

/// What a caller did wrong, as a status and a line.
#[derive(Debug)]
pub struct RequestError(pub u16, pub &'static str);

/// How far a door's end has come: open, answers end their connections, closed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ListenerState {
    Open,
    Draining,
    Closed,
}

/// Lets callers in until the door is closed, and returns once the last one has gone. `answer` is asked for each req.
pub async fn serve<F, A>(
    listener: TcpListener,
    clock: Clock,
    bounds: ListenerLimits,
    mut ajar: watch::Receiver<ListenerState>,
    callers: Arc<AtomicUsize>,
    answer: F,
) where
    F: Fn(ReceivedRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut guests = JoinSet::new();
    let closing = ajar.clone();
    let mut closed = pin!(async {
        let _ = ajar.wait_for(|ajar| *ajar == ListenerState::Closed).await;
    });
    loop {
        tokio::select! {
            () = &mut closed => break,
            Some(_) = guests.join_next(), if !guests.is_empty() => {}
            received = listener.accept(), if guests.len() < bounds.max_connections => match received {
                Ok((stream, _)) => {
                    callers.store(guests.len() + 1, Relaxed);
                    guests.spawn(guest(stream, clock, bounds.clone(), closing.clone(), answer.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }
    drop(listener);
    while guests.join_next().await.is_some() {}
}

/// A req that is answered, or whose answer is on its way.
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

async fn guest<F, A>(
    stream: TcpStream,
    clock: Clock,
    bounds: ListenerLimits,
    mut ajar: watch::Receiver<ListenerState>,
    answer: F,
) where
    F: Fn(ReceivedRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let (wire, meter) = Wire::new(Arc::new(stream), clock, None);
    let leaving = ajar.clone();
    let work = Arc::new(AtomicUsize::new(0));
    let busy = work.clone();
    let serve = service_fn(move |req: Request<Incoming>| {
        let at = meter.take_first().unwrap_or_else(|| clock.now());
        let meter = meter.clone();
        let (answer, leaving, work) = (answer.clone(), leaving.clone(), work.clone());
        async move {
            let work = ConnectionGuard::new(work);
            let answer =
                answer(ReceivedRequest { request: req, meter: meter.clone(), received_at: at }).await;
            // A long answer is work until its last byte.
            let mut answer = answer.map(|flow| flow.holding(work));
            meter.take_first();
            meter.next_message();
            if *leaving.borrow() >= ListenerState::Draining {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(bounds.header_timeout).max_buf_size(MOST_HEAD);
    let mut connection = pin!(builder.serve_connection(wire, serve));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = ajar.wait_for(|ajar| *ajar == ListenerState::Closed) => connection.as_mut().graceful_shutdown(),
    }
    // What is answered is waited for; half a req that never comes whole is not.
    while timeout(DRAIN_READ_TIMEOUT, connection.as_mut()).await.is_err() {
        if busy.load(Relaxed) == 0 {
            return;
        }
    }
}

/// A req's message as it goes on, and the room that its body holds. The body is read whole where it is short.
pub async fn read_message(
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
    clock: Clock,
    most: u64,
    slow: Duration,
) -> Result<(Message, Permit), RequestError> {
    let ReceivedRequest { request: req, meter, .. } = received;
    let (mut head, mut body) = req.into_parts();
    let framed = !head.headers.contains_key(TRANSFER_ENCODING);
    if !framed && meter.length_named() {
        // Guards against a req that another one hides in.
        return Err(RequestError(400, "both a length and a transfer encoding"));
    }
    if body.size_hint().lower() > most {
        return Err(RequestError(413, "body too large"));
    }
    let told = body.size_hint().exact();
    let room = told.filter(|length| *length <= MOST_BODY as u64).map_or(PER_LONG, |length| length as u32);
    let room = bodies.clone().acquire_many_owned(room).await.map_err(|_| RequestError(503, "closed"))?;
    let (first, whole) = match timeout(slow, first(&mut body)).await {
        Ok(read) => read?,
        Err(_) => return Err(RequestError(408, "body too slow")),
    };
    let long = (!whole).then(|| Long::new(body, clock, Coming::apart()));
    let length = if whole { Some(first.len() as u64) } else { told };
    let named = head.headers.contains_key(CONTENT_LENGTH) || !first.is_empty();
    drop_hop_fields(&mut head.headers);
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
    Ok((Message { head: on, first, length, long }, room))
}

/// All of a message's body, where it may be long.
pub async fn read_body(message: Message, most: u64) -> Result<Vec<u8>, RequestError> {
    let message = Arc::new(message);
    let load = message.load().ok_or(RequestError(400, "body cut short"))?;
    let body = http_body_util::Limited::new(load, most.min(usize::MAX as u64) as usize).collect().await;
    Ok(body.map_err(|_| RequestError(400, "body cut short, or too large"))?.to_bytes().to_vec())
}

async fn first(body: &mut Incoming) -> Result<(bytes::Bytes, bool), RequestError> {
    if body.is_end_stream() {
        return Ok((bytes::Bytes::new(), true));
    }
    let mut bytes = BytesMut::new();
    while bytes.len() <= MOST_BODY {
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

pub fn plain_response(status: u16, line: &str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::of(format!("{line}\n")));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

pub fn json_response(status: u16, text: String) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::of(text));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    answer
}

/// A field as text, empty when there is none.
pub fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().trim()
}

#[cfg(test)]
#[path = "tests/listener_tests.rs"]
mod tests;
