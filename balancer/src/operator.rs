//! The door for operators. It owns its listener, its thread and the calls that come there. It must never wait for
//! the reqs' runtime, touch a req, or let callers who never finish keep others out.

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

use crate::fleet::Pages;
use crate::metrics::Metrics;
use crate::phases::{Life, Phase};

/// So many callers at once; one more sends the oldest away.
pub const CALLERS: usize = 16;
/// How long a caller may take over its one call.
const CALL: Duration = Duration::from_secs(5);
/// A call's body means nothing; more of it than this is refused.
const MOST_BODY: usize = 16 * 1024;
/// The most of a head.
const MOST_HEAD: usize = 8 * 1024;
/// How long to wait when no descriptor is left for a caller.
const NO_SOCKET: Duration = Duration::from_millis(50);

/// What an operator may ask for.
#[derive(Clone)]
pub struct Desk {
    pub life: Life,
    pub metrics: Arc<Metrics>,
    /// What this instance holds of its fleet, where it has one.
    pub fleet: Option<Pages>,
}

/// Binds the door; says in a plain line why it can't.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|e| format!("can't listen for operators on {address}: {e}"))
}

/// Opens the door on a thread of its own, for as long as the program lives.
pub fn open(listener: std::net::TcpListener, desk: Desk) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime for operators: {e}"))?;
    let keep = move || {
        runtime.block_on(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => keep(listener, desk).await,
                Err(why) => tracing::warn!("no door for operators: {why}"),
            }
        });
    };
    let thread = std::thread::Builder::new().name("operator".into()).stack_size(256 * 1024);
    thread.spawn(keep).map(drop).map_err(|e| format!("no thread for operators: {e}"))
}

async fn keep(listener: TcpListener, desk: Desk) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= CALLERS
                    && let Some(oldest) = callers.pop_front()
                {
                    oldest.abort();
                }
                callers.push_back(tokio::spawn(serve(stream, desk.clone())).abort_handle());
            }
            Err(_) => sleep(NO_SOCKET).await,
        }
    }
}

/// One call, and the connection's end.
async fn serve(stream: TcpStream, desk: Desk) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let answer = service_fn(move |req| {
        let desk = desk.clone();
        async move { Ok::<_, Infallible>(desk.read(req).await) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).header_read_timeout(None).max_buf_size(MOST_HEAD);
    // How a caller's connection ends concerns nobody else.
    let _ = timeout(CALL, builder.serve_connection(TokioIo::new(stream), answer)).await;
    Ok(())
}

impl Desk {
    async fn read(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        if body.size_hint().lower() > MOST_BODY as u64 {
            return say(413, "body too large");
        }
        // Read to its end: what is left unread would take the answer back.
        match Limited::new(body, MOST_BODY).collect().await {
            Ok(_) => self.answer(&head.method, head.uri.path()),
            Err(why) if why.is::<http_body_util::LengthLimitError>() => say(413, "body too large"),
            Err(_) => say(400, "body cut short"),
        }
    }

    fn answer(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let read = method == Method::GET || method == Method::HEAD;
        let put = method == Method::PUT;
        match path {
            "/api/ready" if read => match self.life.phase() {
                Phase::Serving => say(200, "ready"),
                phase => say(503, &format!("{phase:?}")),
            },
            "/api/telemetry" if read => {
                let further = self.fleet.as_ref().map(Pages::metrics).unwrap_or_default();
                page_of(&self.metrics.render(&further))
            }
            "/api/fleet" if read => match &self.fleet {
                Some(fleet) => page_of(&fleet.page()),
                None => say(404, "this instance speaks with no fleet"),
            },
            "/api/evacuate" if put => self.away(true),
            "/api/rejoin" if put => self.away(false),
            "/api/ready" | "/api/telemetry" | "/api/fleet" => allow("GET, HEAD"),
            "/api/evacuate" | "/api/rejoin" => allow("PUT"),
            _ => say(404, "no such call; there are ready, telemetry, fleet, evacuate, rejoin under /api"),
        }
    }

    fn away(&self, away: bool) -> Response<Full<Bytes>> {
        match (self.life.send_away(away), away) {
            (true, true) => say(200, "clients are sent away"),
            (true, false) => say(200, "clients are welcome"),
            (false, _) => say(409, "it does not serve: it has not begun, or was asked to stop"),
        }
    }
}

fn page_of(text: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text.to_owned()));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}

fn allow(methods: &'static str) -> Response<Full<Bytes>> {
    let mut answer = say(405, methods);
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(methods));
    answer
}

fn say(status: u16, line: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(format!("{line}\n")));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
}
