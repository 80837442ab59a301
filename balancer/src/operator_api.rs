//! The HTTP API for operators, on its own listener and thread.
//!
//! It never waits for the runtime that serves requests, never touches a request, and does not let clients
//! that never finish keep others out.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::fleet::FleetStatus;
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::Metrics;

/// The maximum number of connections; one more closes the oldest.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a connection may take for its one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The body of a call has no meaning; a larger one is refused.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// The maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long to wait when no descriptor is left for a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What operators can read and change.
#[derive(Clone)]
pub struct OperatorApi {
    pub lifecycle: Lifecycle,
    pub metrics: Arc<Metrics>,
    /// What this instance knows about its fleet, if it belongs to one.
    pub fleet: Option<FleetStatus>,
}

/// Binds the listener. The error is one line of text.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|e| format!("can't listen for operators on {address}: {e}"))
}

/// Serves the API on a thread of its own for the life of the program.
pub fn spawn(listener: std::net::TcpListener, api: OperatorApi) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("can't start the runtime for the operator API: {e}"))?;
    let run = move || {
        runtime.block_on(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => accept_connections(listener, api).await,
                Err(error) => tracing::warn!("can't serve the operator API: {error}"),
            }
        });
    };
    let thread = std::thread::Builder::new().name("operator".into()).stack_size(256 * 1024);
    thread.spawn(run).map(drop).map_err(|e| format!("can't start the thread for the operator API: {e}"))
}

async fn accept_connections(listener: TcpListener, api: OperatorApi) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|connection| !connection.is_finished());
                if connections.len() >= MAX_CONNECTIONS
                    && let Some(oldest) = connections.pop_front()
                {
                    oldest.abort();
                }
                connections.push_back(tokio::spawn(serve(stream, api.clone())).abort_handle());
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves one call and closes the connection.
async fn serve(stream: TcpStream, api: OperatorApi) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let service = service_fn(move |request| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(api.handle(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
    // How a connection ends has no effect elsewhere.
    let _ = timeout(CALL_TIMEOUT, builder.serve_connection(TokioIo::new(stream), service)).await;
    Ok(())
}

impl OperatorApi {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return text_response(413, "body too large");
        }
        // The body is read to its end: closing with unread data would reset the connection and could destroy
        // the response.
        match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(_) => self.respond(&head.method, head.uri.path()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                text_response(413, "body too large")
            }
            Err(_) => text_response(400, "body cut short"),
        }
    }

    fn respond(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let is_read = method == Method::GET || method == Method::HEAD;
        let is_put = method == Method::PUT;
        match path {
            "/api/ready" if is_read => match self.lifecycle.phase() {
                Phase::Serving => text_response(200, "ready"),
                phase => text_response(503, &format!("{phase:?}")),
            },
            "/api/telemetry" if is_read => {
                let additional = self.fleet.as_ref().map(FleetStatus::metrics).unwrap_or_default();
                text_page(&self.metrics.render(&additional))
            }
            "/api/fleet" if is_read => match &self.fleet {
                Some(fleet) => text_page(&fleet.status_page()),
                None => text_response(404, "this instance speaks with no fleet"),
            },
            "/api/evacuate" if is_put => self.set_evacuating(true),
            "/api/rejoin" if is_put => self.set_evacuating(false),
            "/api/ready" | "/api/telemetry" | "/api/fleet" => method_not_allowed("GET, HEAD"),
            "/api/evacuate" | "/api/rejoin" => method_not_allowed("PUT"),
            _ => text_response(
                404,
                "no such call; there are ready, telemetry, fleet, evacuate, rejoin under /api",
            ),
        }
    }

    fn set_evacuating(&self, evacuating: bool) -> Response<Full<Bytes>> {
        match (self.lifecycle.set_evacuating(evacuating), evacuating) {
            (true, true) => text_response(200, "clients are sent away"),
            (true, false) => text_response(200, "clients are welcome"),
            (false, _) => text_response(409, "it does not serve: it has not begun, or was asked to stop"),
        }
    }
}

fn text_page(text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text.to_owned()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

fn method_not_allowed(methods: &'static str) -> Response<Full<Bytes>> {
    let mut response = text_response(405, methods);
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(methods));
    response
}

fn text_response(status: u16, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{line}\n")));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
