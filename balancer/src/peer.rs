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
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use ochreshed::{How, Name, Nanos, seconds};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout};

use crate::clock::Clock;
use crate::decisions;
use crate::figures::Figures;
use crate::link::Link;
use crate::start::{MOST_ANSWER, MOST_BODY};

pub const BUDGET: HeaderName = HeaderName::from_static("x-budget");
const MAILBOX: usize = 512;
/// An idle connection is left alone this long before its limit, and kept no more than so many.
const IDLE_MARGIN: Nanos = 1_000_000_000;
const MOST_IDLE: usize = 32;
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
    pub message: Arc<Request<Bytes>>,
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
    /// Bytes of large answers.
    pub large: Arc<Semaphore>,
    pub figures: Arc<Figures>,
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
        let mut idle: Vec<Link> = Vec::new();
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

    fn leave_at(&self, link: &Link) -> Nanos {
        link.last_read() + self.common.idle.saturating_sub(IDLE_MARGIN).max(self.common.idle / 2)
    }

    /// The connection last used, if it may be used again. Guards against those that the srv has closed, is
    /// closing or is about to: a req written to one is a reset, which may have run.
    fn reusable(&self, idle: &mut Vec<Link>) -> Option<Link> {
        let now = self.common.clock.now();
        while let Some(mut link) = idle.pop() {
            if now < self.leave_at(&link) && link.sound() {
                return Some(link);
            }
        }
        None
    }

    async fn carry_out(&self, job: Job, reused: Option<Link>) -> Option<Link> {
        let Job { id, number, give_up, message, mut recalled, .. } = job;
        let mut link = reused;
        let result = {
            let mut work = pin!(self.dispatch(&mut link, &message, give_up));
            tokio::select! {
                biased;
                Ok(()) = &mut recalled => Err(How::Recalled),
                result = &mut work => result,
                () = sleep_until(self.common.clock.instant(give_up)) => {
                    // Guards against a pause of the whole process, after which timers come before the news of
                    // sockets: an answer that is there counts.
                    yield_now().await;
                    work.now_or_never().unwrap_or(Err(How::TimedOut))
                }
            }
        };
        let (how, answer, again) = match result {
            Ok((answer, again)) => {
                let (how, answer) = judge(answer);
                (how, answer, again)
            }
            // Recalled or timed out before it was written whole: it is proved never to have run.
            Err(How::Recalled | How::TimedOut) if !sent_whole(&link) => (How::NotSent, None, false),
            Err(how) => (how, None, false),
        };
        let at = match &link {
            Some(link) if again => link.last_read(),
            _ => self.common.clock.now(),
        };
        // Closed before the end is told, so that no second copy can be out beside this one.
        let link = link.filter(|_| again);
        let _ = self.common.decisions.send(decisions::Mail::Ended { id, number, how, at, answer }).await;
        link
    }

    /// Sends the req once. A reused connection that turns out dead before the first byte of it was written
    /// costs a new connection, not the req.
    async fn dispatch(
        &self,
        link: &mut Option<Link>,
        message: &Request<Bytes>,
        give_up: Nanos,
    ) -> Result<(Response<Bytes>, bool), How> {
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
            let answer = on.exchange(self.address_to(message, left), MOST_ANSWER, &self.common.large).await;
            if reused {
                self.common.reuse.note(answer.is_err() && on.sent_whole() && on.last_read() < asked);
            }
            match answer {
                Ok(answer) => return Ok(answer),
                Err(_) if on.sent_whole() => return Err(How::Reset),
                Err(_) if reused && !on.began() => (*link, reused) = (None, false),
                Err(_) => return Err(How::NoConnection),
            }
        }
    }

    async fn probe(&self, give_up: Nanos) -> Option<Link> {
        let at = self.common.clock.now();
        let asked = async {
            let mut link = self.open().await?;
            let ping = Request::get("/ping").header(HOST, self.address.to_string()).body(Bytes::new());
            let answer = link.exchange(ping.map_err(|_| How::NotSent)?, MOST_BODY, &self.common.large).await;
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

    async fn open(&self) -> Result<Link, How> {
        // At the bound no connection is opened: it is ours, not the srv's.
        let permit = self.common.sockets.clone().try_acquire_owned().map_err(|_| How::NotSent)?;
        let figures = Some(self.common.figures.clone());
        let opening = Link::open(self.address, self.common.clock, Some(permit), figures);
        match timeout(self.common.connect_timeout, opening).await {
            Ok(Ok(link)) => Ok(link),
            Ok(Err(_)) | Err(_) => Err(How::NoConnection),
        }
    }

    /// The req as it goes to this srv: the bytes that came, and the time that is left.
    fn address_to(&self, message: &Request<Bytes>, left: Nanos) -> Request<Bytes> {
        let mut req = message.clone();
        req.headers_mut().insert(HOST, text(self.address.to_string()));
        req.headers_mut().insert(BUDGET, text(format!("{:.6}", seconds(left))));
        req
    }
}

fn text(value: String) -> HeaderValue {
    // Digits, dots and the like are always a header's value.
    HeaderValue::try_from(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn sent_whole(link: &Option<Link>) -> bool {
    link.as_ref().is_some_and(Link::sent_whole)
}

/// What a whole answer says of its dispatch, and the answer itself if it is one for the client.
fn judge(answer: Response<Bytes>) -> (How, Option<Response<Bytes>>) {
    let turned_away = answer.headers().get("x-rejected").is_some_and(|value| value == "1");
    match answer.status() {
        StatusCode::OK => (How::Done, Some(answer)),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => (How::Full, None),
        _ => (How::Error, None),
    }
}
