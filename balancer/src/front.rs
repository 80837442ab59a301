//! The door and what is said at it: callers' connections and reqs. It owns reading a req off the protocol and
//! writing its answer, and the bound on connections. It must never decide on a req, change what goes on, or
//! let one caller's connection cost another its own.

use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use ochreshed::{Nanos, Req, seconds};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tower::{Service, ServiceExt};
use tracing::warn;

use crate::clock::Clock;
use crate::decisions::{Answer, Offer};
use crate::link::{MOST_HEAD, Meter, Wire, drop_hop_fields};
use crate::peer::BUDGET;
use crate::phases::{Life, Phase};
use crate::start::MOST_BODY;

/// How long a caller may take over a head, also the first after a pause, and over a body.
const SLOW_HEAD: Duration = Duration::from_secs(30);
const SLOW_BODY: Duration = Duration::from_secs(10);
/// What an answer may need on its way back to the client.
const WAY_BACK: Nanos = 5_000_000;
/// How long to wait when no descriptor is left for a new connection.
const NO_SOCKET: Duration = Duration::from_millis(50);

pub struct Door<S> {
    clock: Clock,
    life: Life,
    decisions: S,
    most: usize,
    visits: Arc<Visits>,
}

/// Those that are in, by the number they came with.
type Visits = Mutex<HashMap<u64, Arc<Visit>>>;

/// One caller's connection.
struct Visit {
    /// Since when it carries no req that was taken; 0 while it does.
    idle_since: AtomicU64,
    leave: Notify,
    /// A body that is still coming is not waited for.
    hurry: Notify,
}

impl<S> Door<S>
where
    S: Service<Offer, Response = Answer> + Clone + Send + Sync + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    pub fn new(clock: Clock, life: Life, decisions: S, most: usize) -> Door<S> {
        Door { clock, life, decisions, most, visits: Arc::default() }
    }

    /// Lets callers in until the door closes, and returns once the last has gone.
    pub async fn keep(self, listener: TcpListener) {
        let mut guests = JoinSet::new();
        let mut number = 0;
        {
            let mut closed = pin!(self.life.reached(Phase::Closing));
            loop {
                tokio::select! {
                    () = &mut closed => break,
                    Some(_) = guests.join_next(), if !guests.is_empty() => {}
                    came = listener.accept(), if guests.len() < self.most => match came {
                        Ok((stream, _)) => {
                            number += 1;
                            self.life.came(self.clock.now());
                            guests.spawn(self.guest(number, stream));
                            if guests.len() == self.most {
                                self.free_one();
                            }
                        }
                        // One that went before it was let in, or no descriptor left: neither ends the door.
                        Err(why) => {
                            warn!("accept: {why}");
                            sleep(NO_SOCKET).await;
                        }
                    }
                }
            }
        }
        drop(listener);
        for visit in held(&self.visits).values() {
            visit.leave.notify_one();
        }
        while guests.join_next().await.is_some() {}
    }

    /// Sends the connection away that has carried no req for the longest time.
    fn free_one(&self) {
        let visits = held(&self.visits);
        let idle = visits.values().filter(|visit| visit.idle_since.load(Relaxed) > 0);
        if let Some(visit) = idle.min_by_key(|visit| visit.idle_since.load(Relaxed)) {
            // Told once: the next time it is another's turn.
            visit.idle_since.store(0, Relaxed);
            visit.leave.notify_one();
            visit.hurry.notify_one();
        }
    }

    fn guest(&self, number: u64, stream: TcpStream) -> impl Future<Output = ()> + use<S> {
        let idle_since = self.clock.now().into();
        let visit = Arc::new(Visit { idle_since, leave: Notify::new(), hurry: Notify::new() });
        held(&self.visits).insert(number, visit.clone());
        let (wire, meter) = Wire::new(Arc::new(stream), self.clock);
        let (clock, life, decisions) = (self.clock, self.life.clone(), self.decisions.clone());
        let front = Front { clock, life, decisions, meter, visit: visit.clone() };
        let visits = self.visits.clone();
        async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(SLOW_HEAD).max_buf_size(MOST_HEAD);
            let mut connection = pin!(builder.serve_connection(wire, TowerToHyperService::new(front)));
            // How a caller's connection ends concerns nobody else.
            tokio::select! {
                _ = connection.as_mut() => {}
                () = visit.leave.notified() => {
                    connection.as_mut().graceful_shutdown();
                    // One that doesn't take its answer is not waited for.
                    let _ = timeout(SLOW_BODY, connection).await;
                }
            }
            held(&visits).remove(&number);
        }
    }
}

fn held(visits: &Visits) -> MutexGuard<'_, HashMap<u64, Arc<Visit>>> {
    visits.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What answers the reqs of one connection.
#[derive(Clone)]
struct Front<S> {
    clock: Clock,
    life: Life,
    decisions: S,
    meter: Arc<Meter>,
    visit: Arc<Visit>,
}

impl<S> Service<Request<Incoming>> for Front<S>
where
    S: Service<Offer, Response = Answer> + Clone + Send + Sync + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Incoming>) -> Self::Future {
        let front = self.clone();
        Box::pin(async move {
            let mut answer = front.answer(req).await.unwrap_or_else(|bad| bad);
            if front.life.phase() >= Phase::Leaving {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            front.visit.idle_since.store(front.clock.now(), Relaxed);
            Ok(answer)
        })
    }
}

impl<S> Front<S>
where
    S: Service<Offer, Response = Answer> + Clone,
    S::Error: std::fmt::Display,
{
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
        let came = self.meter.take_first().unwrap_or_else(|| self.clock.now());
        if req.uri().path() == "/_health" {
            let serving = self.life.phase() == Phase::Serving;
            return if serving { Ok(Response::default()) } else { Err(say(503, "not serving")) };
        }
        let mut offer = tokio::select! {
            offer = read(req, came) => offer?,
            // Guards against callers that fill the door with bodies that never end.
            () = self.visit.hurry.notified() => return Err(close(say(408, "no room for slow bodies"))),
        };
        self.visit.idle_since.store(0, Relaxed);
        // Whatever is read from here on belongs to the next req.
        self.meter.take_first();
        // A req is taken once its last byte has come.
        offer.0.taken = self.meter.last_read().max(came);
        Ok(match self.decisions.clone().oneshot(offer).await {
            Ok(Answer::Done(answer)) => done(answer),
            Ok(Answer::Deny { come_back }) => {
                let mut answer = say(503, "denied: safe to try again");
                if come_back > 0 {
                    let value = HeaderValue::try_from(format!("{:.3}", seconds(come_back)));
                    value.into_iter().for_each(|value| drop(answer.headers_mut().insert(RETRY_AFTER, value)));
                }
                answer
            }
            Ok(Answer::Abort) => say(502, "aborted: it may have run"),
            Err(why) => say(500, &why.to_string()),
        })
    }
}

/// Takes what the decisions need out of a req; the rest goes on as it came.
async fn read(req: Request<Incoming>, came: Nanos) -> Result<Offer, Response<Full<Bytes>>> {
    let (mut head, body) = req.into_parts();
    let field = |name: &str| head.headers.get(name).map(|value| value.to_str().unwrap_or_default());
    if head.method == Method::CONNECT {
        return Err(close(say(405, "no tunnels")));
    }
    if field("x-call-id").is_none() {
        return Err(close(say(400, "no X-Call-Id")));
    }
    let budget = field(BUDGET.as_str()).and_then(|text| text.trim().parse::<f64>().ok());
    let budget = budget.filter(|budget| budget.is_finite());
    let budget = budget.ok_or_else(|| close(say(400, "no X-Budget that can be read")))?;
    let first = head.uri.path().split('/').nth(1).unwrap_or_default();
    let ours = Req {
        id: 0,
        rule_set: field("x-call-class").unwrap_or(first).into(),
        customer: "".into(),
        again: field("x-again") == Some("1"),
        taken: came,
        ends: came + ((budget.clamp(0.0, 86_400.0) * 1e9) as Nanos).saturating_sub(WAY_BACK),
        dispatches: Vec::new(),
    };
    if body.size_hint().lower() > MOST_BODY as u64 {
        return Err(close(say(413, "body too large")));
    }
    let bytes = match timeout(SLOW_BODY, Limited::new(body, MOST_BODY).collect()).await {
        Ok(Ok(bytes)) => bytes.to_bytes(),
        Ok(Err(why)) if why.is::<LengthLimitError>() => return Err(close(say(413, "body too large"))),
        Ok(Err(_)) => return Err(close(say(400, "body cut short"))),
        Err(_) => return Err(close(say(408, "body too slow"))),
    };
    let framed = head.headers.contains_key(CONTENT_LENGTH) || !bytes.is_empty();
    drop_hop_fields(&mut head.headers);
    head.headers.remove(EXPECT);
    if framed {
        head.headers.insert(CONTENT_LENGTH, bytes.len().into());
    }
    let mut message = Request::new(bytes);
    *message.method_mut() = head.method;
    if let Some(path) = head.uri.path_and_query() {
        *message.uri_mut() = path.clone().into();
    }
    *message.headers_mut() = head.headers;
    Ok((ours, message))
}

/// A srv's answer as it goes on: its body and its own fields.
fn done(answer: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut head, body) = answer.into_parts();
    drop_hop_fields(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut answer = Response::new(Full::new(body));
    *answer.headers_mut() = head.headers;
    answer
}

fn say(status: u16, line: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(format!("{line}\n")));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

/// Ends the connection with this answer: what else stands on it can't be told apart.
fn close(mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let headers: &mut HeaderMap = answer.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
