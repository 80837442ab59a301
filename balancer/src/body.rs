//! Bodies on their way. It owns how much of one is in hand: a small one whole, a long one as a few pieces. It must
//! never change a byte, lose one without the reader being told, or read faster than the other side takes.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ochreshed::Nanos;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep};

use crate::clock::Clock;
use crate::figures::Coming;
use crate::link::held;
use crate::start::MOST_LONG;

/// A client of whose body nothing comes for so long has gone.
const CLIENT_SILENT: Duration = Duration::from_secs(3);
/// A long body that moves no further for so long has stopped, at whichever side.
const STANDS: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_secs(1);

/// A req's message: its head, and its body or the first part of a long one.
pub struct Message {
    pub head: Request<()>,
    pub first: Bytes,
    /// How many bytes the body has, if that was told.
    pub length: Option<u64>,
    pub long: Option<Long>,
}

/// The rest of a long body.
pub struct Long {
    rest: Mutex<Option<Incoming>>,
    clock: Clock,
    coming: Arc<Coming>,
    /// When its last byte came, 0 for not yet; how much has gone on; whether it broke before its end.
    ended: AtomicU64,
    passed: AtomicU64,
    broke: AtomicBool,
    end: Notify,
}

impl Long {
    pub fn new(rest: Incoming, clock: Clock, coming: Arc<Coming>) -> Long {
        Long {
            rest: Mutex::new(Some(rest)),
            clock,
            coming,
            ended: AtomicU64::new(0),
            passed: AtomicU64::new(0),
            broke: AtomicBool::new(false),
            end: Notify::new(),
        }
    }

    fn came_whole(&self) {
        if self.ended().is_none() {
            self.ended.store(self.clock.now(), Relaxed);
            self.coming.begin();
            self.end.notify_waiters();
        }
    }

    /// When its last byte came.
    pub fn ended(&self) -> Option<Nanos> {
        Some(self.ended.load(Relaxed)).filter(|at| *at > 0)
    }

    /// Whether the client failed to send all of it.
    pub fn broke(&self) -> bool {
        self.broke.load(Relaxed)
    }

    /// Returns when the last byte has come; nothing if the body stands still for too long before that.
    pub async fn end(&self) -> Option<Nanos> {
        let mut last = (0, Instant::now());
        loop {
            let told = self.end.notified();
            if let Some(at) = self.ended() {
                return Some(at);
            }
            let passed = self.passed.load(Relaxed);
            if passed > last.0 {
                last = (passed, Instant::now());
            } else if last.1.elapsed() > STANDS {
                return None;
            }
            tokio::select! {
                () = told => {}
                () = sleep(LOOK) => {}
            }
        }
    }
}

impl Message {
    /// Whether the body could still go to a srv.
    pub fn load_again(&self) -> bool {
        self.long.as_ref().is_none_or(|long| held(&long.rest).is_some())
    }

    /// The body as it goes to a srv; nothing if a part of it is gone already.
    pub fn load(self: &Arc<Message>) -> Option<Load> {
        let rest = match &self.long {
            None => None,
            Some(long) => Some(Rest {
                body: Some(held(&long.rest).take()?),
                message: self.clone(),
                silent: Box::pin(sleep(CLIENT_SILENT)),
                waits: false,
            }),
        };
        Some(Load {
            first: Some(self.first.clone()).filter(|first| !first.is_empty()),
            rest,
            length: self.length,
        })
    }
}

/// The rest of a long body at the dispatch that carries it. Untouched, it goes back for another.
struct Rest {
    body: Option<Incoming>,
    message: Arc<Message>,
    /// Runs while the client is waited for.
    silent: Pin<Box<Sleep>>,
    waits: bool,
}

impl Rest {
    fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, &'static str>>> {
        let Rest { body, message, silent, waits } = self;
        let (Some(body), Some(long)) = (body, &message.long) else { return Poll::Ready(None) };
        let broke = |why| {
            long.broke.store(true, Relaxed);
            Poll::Ready(Some(Err(why)))
        };
        if !std::mem::replace(waits, true) {
            // Guards against a client taken for silent that was not asked, for the srv took nothing.
            silent.as_mut().reset(Instant::now() + CLIENT_SILENT);
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) else {
                ready!(silent.as_mut().poll(cx));
                return broke("the client stands still");
            };
            *waits = false;
            match frame {
                None => {
                    long.came_whole();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return broke("the client's body is cut short"),
                Some(Ok(frame)) => {
                    // Trailers go no further.
                    let Ok(data) = frame.into_data() else { continue };
                    if data.is_empty() {
                        continue;
                    }
                    let passed = long.passed.fetch_add(data.len() as u64, Relaxed) + data.len() as u64;
                    if message.length == Some(message.first.len() as u64 + passed) {
                        // Nobody asks for what follows the last byte.
                        long.came_whole();
                    }
                    if passed > MOST_LONG {
                        return broke("the client's body is too long");
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        let body = self.body.take();
        if let Some(long) = &self.message.long
            && long.passed.load(Relaxed) == 0
            && long.ended().is_none()
            && !long.broke()
        {
            *held(&long.rest) = body;
        }
    }
}

/// A body on its way to a srv.
pub struct Load {
    first: Option<Bytes>,
    rest: Option<Rest>,
    length: Option<u64>,
}

impl Load {
    pub fn empty() -> Load {
        Load { first: None, rest: None, length: Some(0) }
    }
}

impl Body for Load {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        rest.poll(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        // Asked before anything was taken, which is all that hyper does with it.
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// An answer's body: whole, or long and on its way from a srv.
pub enum Reply {
    Whole(Bytes),
    Long(Pieces),
}

/// What still comes of a long answer: pieces, then nothing once. Without that it was cut.
pub struct Pieces {
    pub first: Option<Bytes>,
    pub length: Option<u64>,
    passed: u64,
    rest: mpsc::Receiver<Option<Bytes>>,
}

/// Where a long answer's pieces go.
pub type Pass = mpsc::Sender<Option<Bytes>>;

impl Pieces {
    pub fn new(first: Bytes, length: Option<u64>) -> (Pass, Pieces) {
        Pieces::with_room(first, length, 1)
    }

    /// With so many pieces on the way at the most.
    pub fn with_room(first: Bytes, length: Option<u64>, room: usize) -> (Pass, Pieces) {
        let (pass, rest) = mpsc::channel(room.max(1));
        (pass, Pieces { first: Some(first).filter(|first| !first.is_empty()), length, passed: 0, rest })
    }

    /// Whether all of it has been taken, as far as the length tells.
    pub fn whole(&self) -> bool {
        self.length == Some(self.passed)
    }

    pub fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, &'static str>>> {
        if let Some(first) = self.first.take() {
            self.passed += first.len() as u64;
            return Poll::Ready(Some(Ok(first)));
        }
        Poll::Ready(match ready!(self.rest.poll_recv(cx)) {
            Some(Some(piece)) => {
                self.passed += piece.len() as u64;
                Some(Ok(piece))
            }
            Some(None) => None,
            None => Some(Err("the answer is cut")),
        })
    }
}
