//! A srv's actor. It owns the connections to that srv and carries out dispatches one by one as they come by
//! mail, each of them once. It must never send again by itself, pick another srv, or go on with a dispatch
//! that was given up: giving up closes the connection first and is told after.

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
use ochreshed::{How, Name, Nanos, seconds};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout};

use crate::body::{self, ChunkSender, RequestMessage, ResponseBody, ResponseStream};
use crate::clock::Clock;
use crate::connection::{OutboundConnection, ReceivedBody};
use crate::decisions;
use crate::metrics::Metrics;
use crate::start::{MAX_BUFFERED_BODY_BYTES, STREAMED_BODY_BUFFER_BYTES};

pub const BUDGET: HeaderName = HeaderName::from_static("x-budget");
const MAILBOX: usize = 512;
/// An idle connection is left alone this long before its limit, and kept no more than so many.
const IDLE_MARGIN: Nanos = 1_000_000_000;
const MOST_IDLE: usize = 32;
/// A long answer of which nothing comes for so long, or of which its client takes nothing, is given up.
const SRV_STANDS: Duration = Duration::from_secs(5);
const CLIENT_STANDS: Duration = Duration::from_secs(10);
/// A peer ends once it has carried nothing for so long and holds no connection.
const UNUSED: Duration = Duration::from_secs(30);

pub enum Mail {
    Send(Job),
    /// A probe, to be ended before then.
    Probe(Nanos),
    /// Shut the idle connections.
    Shut,
}

/// One dispatch to carry out.
pub struct Job {
    pub id: u64,
    pub number: usize,
    pub give_up: Nanos,
    pub message: Arc<RequestMessage>,
    /// It must not run twice.
    pub once: bool,
    pub recalled: oneshot::Receiver<()>,
}

/// How reused connections fare at all srvs together: the part of them that broke before any answer, slowly
/// forgotten. Guards against srvs, or what sits before them, that drop kept connections without a sign.
#[derive(Default)]
pub struct Reuse(AtomicU32);

impl Reuse {
    const ALL: u32 = 1 << 20;
    const MEMORY: u32 = 32;

    fn note(&self, broke: bool) {
        let was = self.0.load(Relaxed);
        self.0.store(was - was / Reuse::MEMORY + u32::from(broke) * (Reuse::ALL / Reuse::MEMORY), Relaxed);
    }

    /// More than one in 32 of late: too many for what must not run twice, which can't be sent again.
    fn risky(&self) -> bool {
        self.0.load(Relaxed) > Reuse::ALL / 32
    }
}

/// What all peers of a balancer have in common.
#[derive(Clone)]
pub struct Common {
    pub clock: Clock,
    pub decisions: mpsc::Sender<decisions::Mail>,
    pub sockets: Arc<Semaphore>,
    pub reuse: Arc<Reuse>,
    /// Bytes of long answers.
    pub large: Arc<Semaphore>,
    pub metrics: Arc<Metrics>,
    /// With no more than these left, connections are closed rather than kept idle. Guards against reqs denied
    /// for want of a connection while others stand idle.
    pub spare: usize,
    pub connect_timeout: Duration,
    /// How long an idle connection may stand at the srv's side.
    pub idle: Nanos,
}

struct Peer {
    srv: Name,
    address: SocketAddr,
    common: Common,
}

pub fn start(srv: Name, address: SocketAddr, common: Common) -> mpsc::Sender<Mail> {
    let (mail, mailbox) = mpsc::channel(MAILBOX);
    tokio::spawn(Peer { srv, address, common }.run(mailbox));
    mail
}

impl Peer {
    async fn run(self, mut mailbox: mpsc::Receiver<Mail>) {
        let mut idle: Vec<OutboundConnection> = Vec::new();
        let mut out = FuturesUnordered::new();
        let mut open = true;
        while open || !out.is_empty() {
            // The oldest stands first.
            let oldest = idle.first().map(|link| self.leave_at(link));
            let wake = self.common.clock.instant(oldest.unwrap_or(Nanos::MAX));
            let unused = open && out.is_empty() && idle.is_empty();
            tokio::select! {
                mail = mailbox.recv(), if open => match mail {
                    Some(Mail::Send(job)) => {
                        let fresh = job.once && self.common.reuse.risky();
                        let reused = if fresh { None } else { self.reusable(&mut idle) };
                        out.push(self.carry_out(job, reused).boxed());
                    }
                    Some(Mail::Probe(give_up)) => out.push(self.probe(give_up).boxed()),
                    Some(Mail::Shut) => idle.clear(),
                    None => open = false,
                },
                Some(link) = out.next(), if !out.is_empty() => if let Some(link) = link
                    && idle.len() < MOST_IDLE
                    && self.common.sockets.available_permits() > self.common.spare
                {
                    idle.push(link);
                },
                // What has come by then is still carried out: the mailbox is read to its end.
                () = sleep(UNUSED), if unused => mailbox.close(),
                () = sleep_until(wake), if oldest.is_some() => {
                    let now = self.common.clock.now();
                    idle.retain(|link| self.leave_at(link) > now);
                }
            }
        }
    }

    fn leave_at(&self, link: &OutboundConnection) -> Nanos {
        link.last_read_at() + self.common.idle.saturating_sub(IDLE_MARGIN).max(self.common.idle / 2)
    }

    /// The connection last used, if it may be used again. Guards against those that the srv has closed, is
    /// closing or is about to: a req written to one is a reset, which may have run.
    fn reusable(&self, idle: &mut Vec<OutboundConnection>) -> Option<OutboundConnection> {
        let now = self.common.clock.now();
        while let Some(mut link) = idle.pop() {
            if now < self.leave_at(&link) && link.is_reusable() {
                return Some(link);
            }
        }
        None
    }

    async fn carry_out(&self, job: Job, reused: Option<OutboundConnection>) -> Option<OutboundConnection> {
        let Job { id, number, give_up, message, mut recalled, .. } = job;
        let (clock, begun) = (self.common.clock, self.common.clock.now());
        let mut link = reused;
        let result = {
            let mut work = pin!(self.dispatch(&mut link, &message, give_up));
            tokio::select! {
                biased;
                Ok(()) = &mut recalled => Err(How::Recalled),
                result = &mut work => result,
                () = self.due((id, number), &message, begun, give_up) => {
                    // Guards against a pause of the whole process, after which timers come before the news of
                    // sockets: an answer that is there counts.
                    yield_now().await;
                    work.now_or_never().unwrap_or(Err(How::TimedOut))
                }
            }
        };
        let long = message.remainder.as_ref();
        let waited = long.and_then(|long| long.received_at()).map_or(0, |at| at.saturating_sub(begun));
        let ended = |how, at, answer| decisions::Mail::Ended { id, number, how, at, waited, answer };
        let (how, got) = match result {
            Ok(got) => {
                let how = judge(&got.answer);
                (how, Some(got).filter(|_| how == How::Done))
            }
            // Given up or broken before it was written whole: it is proved never to have run. If its client did not
            // send all of it, that is no fault of the srv.
            Err(How::Recalled | How::TimedOut) if !sent_whole(&link) => (How::NotSent, None),
            Err(How::NoConnection) if long.is_some_and(|long| long.has_failed()) => (How::NotSent, None),
            Err(how) => (how, None),
        };
        match got {
            Some(Got { answer, rest: Some((length, rest, _room)), .. }) => {
                let version = answer.version();
                let (pass, pieces) = {
                    let (head, first) = answer.into_parts();
                    let (pass, pieces) = ResponseStream::new(first, length);
                    (pass, Response::from_parts(head, ResponseBody::Streamed(pieces)))
                };
                // Done with its first bytes: the rest has no client timeout.
                let _ = self.common.decisions.send(ended(how, clock.now(), Some(pieces))).await;
                self.pass_on(link, version, (length, rest), pass).await
            }
            got => {
                let again = got.as_ref().is_some_and(|got| got.again);
                let at = match &link {
                    Some(link) if again => link.last_read_at(),
                    _ => clock.now(),
                };
                // Closed before the end is told, so that no second copy can be out beside this one.
                let link = link.filter(|_| again);
                let answer = got.map(|got| got.answer.map(ResponseBody::Complete));
                let _ = self.common.decisions.send(ended(how, at, answer)).await;
                link
            }
        }
    }

    /// Returns at the time by which a dispatch must have its answer: for a long body, as much later as that took.
    async fn due(&self, (id, number): (u64, usize), message: &RequestMessage, begun: Nanos, give_up: Nanos) {
        let mut late = 0;
        if let Some(long) = &message.remainder {
            let Some(at) = long.wait_received().await else { return };
            late = at.saturating_sub(begun);
            let _ = self.common.decisions.send(decisions::Mail::Written { id, number }).await;
        }
        sleep_until(self.common.clock.instant(give_up.saturating_add(late))).await;
    }

    /// Passes on the rest of a long answer, as fast as its client takes it. Guards against either side that stands
    /// still; the client sees that the answer is cut.
    async fn pass_on(
        &self,
        link: Option<OutboundConnection>,
        version: Version,
        (length, mut rest): (Option<u64>, Incoming),
        pass: ChunkSender,
    ) -> Option<OutboundConnection> {
        let (mut link, mut left) = (link?, length.unwrap_or(u64::MAX));
        loop {
            let piece = tokio::select! {
                piece = timeout(SRV_STANDS, link.next_chunk(&mut rest)) => piece.ok()?.ok()?,
                // One whose length was told listens no more once it has all.
                () = pass.closed(), if left > 0 => return None,
            };
            let Some(piece) = piece else {
                let _ = pass.send_timeout(None, CLIENT_STANDS).await;
                return link.finish_exchange(version).then_some(link);
            };
            left = left.saturating_sub(piece.len() as u64);
            pass.send_timeout(Some(piece), CLIENT_STANDS).await.ok()?;
        }
    }

    /// Sends the req once. A reused connection that turns out dead before the first byte of it was written
    /// costs a new connection, not the req.
    async fn dispatch(
        &self,
        link: &mut Option<OutboundConnection>,
        message: &Arc<RequestMessage>,
        give_up: Nanos,
    ) -> Result<Got, How> {
        let mut reused = link.is_some();
        loop {
            let on = match link {
                Some(on) => on,
                None => link.insert(self.open().await?),
            };
            let left = give_up.saturating_sub(self.common.clock.now());
            if left == 0 {
                // Guards against a pause of the whole process: nothing is sent for a req that is over.
                return Err(How::NotSent);
            }
            let asked = self.common.clock.now();
            // A long body of which a part has gone to another srv can't be sent whole any more.
            let req = self.address_to(message, left).ok_or(How::NotSent)?;
            let answer = self.exchange(on, req, message).await;
            if reused {
                self.common.reuse.note(answer.is_err() && on.is_request_sent() && on.last_read_at() < asked);
            }
            match answer {
                Ok(answer) => return Ok(answer),
                Err(_) if on.is_request_sent() => return Err(How::Reset),
                Err(_) if reused && !on.has_written() => (*link, reused) = (None, false),
                Err(_) => return Err(How::NoConnection),
            }
        }
    }

    async fn exchange(
        &self,
        on: &mut OutboundConnection,
        req: Request<body::RequestBody>,
        message: &Arc<RequestMessage>,
    ) -> Result<Got, String> {
        let (head, body) = on.send_request(req, Some(message)).await?.into_parts();
        // An answer that came before all of the req was written ends its connection.
        let sent = on.is_request_sent();
        match on.read_body(body).await? {
            ReceivedBody::Complete(bytes) => {
                let again = on.finish_exchange(head.version) && sent;
                Ok(Got { answer: Response::from_parts(head, bytes), again, rest: None })
            }
            ReceivedBody::Partial(first, length, rest) => {
                // What goes on of it takes its place among all that do.
                let room = self.common.large.clone().acquire_many_owned(STREAMED_BODY_BUFFER_BYTES).await;
                let room = room.map_err(|e| e.to_string())?;
                let answer = Response::from_parts(head, first);
                Ok(Got { answer, again: false, rest: Some((length, rest, room)) })
            }
        }
    }

    async fn probe(&self, give_up: Nanos) -> Option<OutboundConnection> {
        let at = self.common.clock.now();
        let asked = async {
            let mut link = self.open().await?;
            let ping = Request::get("/ping").header(HOST, self.address.to_string()).body(());
            let answer = link
                .exchange(ping.map_err(|_| How::NotSent)?, MAX_BUFFERED_BODY_BYTES, &self.common.large)
                .await;
            Ok((answer.map_err(|_| How::Reset)?.0, link))
        };
        let asked = tokio::time::timeout_at(self.common.clock.instant(give_up), asked).await;
        let (how, link) = match asked {
            Ok(Ok((answer, link))) if answer.status() == StatusCode::OK => (How::Done, Some(link)),
            Ok(Ok(_)) => (How::Full, None),
            Ok(Err(how)) => (how, None),
            Err(_) => (How::TimedOut, None),
        };
        let now = self.common.clock.now();
        let mail = decisions::Mail::Probed { srv: self.srv.clone(), how, took: now - at };
        let _ = self.common.decisions.send(mail).await;
        link
    }

    async fn open(&self) -> Result<OutboundConnection, How> {
        // At the bound no connection is opened: it is ours, not the srv's.
        let permit = self.common.sockets.clone().try_acquire_owned().map_err(|_| How::NotSent)?;
        let metrics = Some(self.common.metrics.clone());
        let opening = OutboundConnection::open(self.address, self.common.clock, Some(permit), metrics);
        match timeout(self.common.connect_timeout, opening).await {
            Ok(Ok(link)) => Ok(link),
            Ok(Err(_)) | Err(_) => Err(How::NoConnection),
        }
    }

    /// The req as it goes to this srv: the bytes that came, and the time that is left.
    fn address_to(&self, message: &Arc<RequestMessage>, left: Nanos) -> Option<Request<body::RequestBody>> {
        let load = message.take_body()?;
        let mut req = message.head.clone().map(|()| load);
        req.headers_mut().insert(HOST, text(self.address.to_string()));
        req.headers_mut().insert(BUDGET, text(format!("{:.6}", seconds(left))));
        Some(req)
    }
}

/// What came of a dispatch: the answer, or the head and the first part of a long one; its length, its rest, and its
/// place in memory.
struct Got {
    answer: Response<Bytes>,
    again: bool,
    rest: Option<(Option<u64>, Incoming, OwnedSemaphorePermit)>,
}

fn text(value: String) -> HeaderValue {
    // Digits, dots and the like are always a header's value.
    HeaderValue::try_from(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn sent_whole(link: &Option<OutboundConnection>) -> bool {
    link.as_ref().is_some_and(OutboundConnection::is_request_sent)
}

/// What an answer says of its dispatch.
fn judge(answer: &Response<Bytes>) -> How {
    let turned_away = answer.headers().get("x-rejected").is_some_and(|value| value == "1");
    match answer.status() {
        StatusCode::OK => How::Done,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => How::Full,
        _ => How::Error,
    }
}
