//! One HTTP/1.1 connection, as bytes and as an exchange. It owns the socket and counts what is written to it
//! and when something was last read, and it drives hyper's connection itself. It must never send a req a
//! second time by itself, nor call a req unsent once its last byte has gone to the socket.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use ochreshed::Nanos;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout, timeout_at};

use crate::body::{Load, Message};
use crate::clock::Clock;
use crate::figures::Figures;
use crate::start::{MOST_BODY, MOST_LONG};

/// A head, either way, holds no more than this.
pub const MOST_HEAD: usize = 32 * 1024;
/// More than any req has bytes: none was told.
const UNMEASURED: u64 = u64::MAX - 1;
/// An answer that has begun and of which nothing comes for so long has stopped, if all of it is waited for.
const STALL: Duration = Duration::from_secs(1);
/// How long the first part of an answer whose length nobody told is held back: it may turn out short.
const HOLD: Duration = Duration::from_millis(1_200);

/// What went over a socket, told by the socket itself.
#[derive(Default)]
pub struct Meter {
    written: AtomicU64,
    /// With this many written the message has gone whole, which is still to be counted; 0 for none.
    count_at: AtomicU64,
    /// When the first byte since it was last taken was read, 0 for none yet, and the last one.
    first_read: AtomicU64,
    last_read: AtomicU64,
    heard: Mutex<Heard>,
}

/// What hyper does not tell of the message that is coming in: a length that it dropped in favour of a transfer
/// encoding, and how much came behind the head.
#[derive(Default)]
struct Heard {
    /// Bytes of the current line, and whether they all are the wanted name's.
    line: usize,
    named: bool,
    begun: bool,
    ended: bool,
    length: bool,
    behind: u64,
}

impl Heard {
    fn hear(&mut self, bytes: &[u8]) {
        const NAME: &[u8] = b"content-length:";
        for (at, byte) in bytes.iter().enumerate() {
            if self.ended {
                self.behind += (bytes.len() - at) as u64;
                return;
            }
            match byte {
                b'\r' => {}
                // Blank lines ahead of a head are no part of it.
                b'\n' => (self.line, self.ended) = (0, self.begun && self.line == 0),
                byte => {
                    self.named = (self.line == 0 || self.named)
                        && NAME.get(self.line) == Some(&byte.to_ascii_lowercase());
                    (self.line, self.begun) = (self.line + 1, true);
                    self.length |= self.named && self.line == NAME.len();
                }
            }
        }
    }
}

impl Meter {
    /// When the first byte was read since this was last asked.
    pub fn take_first(&self) -> Option<Nanos> {
        Some(self.first_read.swap(0, Relaxed)).filter(|at| *at > 0)
    }

    /// When the first byte was read since this was last taken, 0 for none.
    pub fn first_read(&self) -> Nanos {
        self.first_read.load(Relaxed)
    }

    pub fn last_read(&self) -> Nanos {
        self.last_read.load(Relaxed)
    }

    /// What is read from here on is the next message.
    pub fn next_message(&self) {
        *self.heard() = Heard::default();
    }

    /// Whether the head names a length, and how many bytes have come behind it.
    pub fn length_named(&self) -> bool {
        self.heard().length
    }

    pub fn behind_head(&self) -> u64 {
        self.heard().behind
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        held(&self.heard)
    }
}

/// What a lock guards, also after a panic elsewhere.
pub fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How many bytes lie unread on a socket, up to one; 0 at its end. Asks the system, not the runtime, which may
/// not have come to the news yet.
pub fn unread(stream: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// A socket with its meter.
pub struct Wire {
    stream: Arc<TcpStream>,
    meter: Arc<Meter>,
    clock: Clock,
    /// Where a dispatch that has been written whole is counted.
    figures: Option<Arc<Figures>>,
}

impl Wire {
    pub fn new(
        stream: Arc<TcpStream>,
        clock: Clock,
        figures: Option<Arc<Figures>>,
    ) -> (TokioIo<Wire>, Arc<Meter>) {
        // Small messages wait for nothing; without this option they are only slower.
        let _ = stream.set_nodelay(true);
        let meter = Arc::<Meter>::default();
        (TokioIo::new(Wire { stream, meter: meter.clone(), clock, figures }), meter)
    }

    /// Repeats a call on the socket until it does something or would have to wait.
    fn try_until<T>(
        mut ready: impl FnMut() -> Poll<io::Result<()>>,
        mut call: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(ready())?;
            match call() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn wrote(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &done {
            let written = self.meter.written.fetch_add(*count as u64, Relaxed) + *count as u64;
            let whole = self.meter.count_at.load(Relaxed);
            if whole > 0 && written >= whole {
                self.meter.count_at.store(0, Relaxed);
                self.figures.iter().for_each(|figures| figures.dispatched());
            }
        }
        done
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let stream = &self.stream;
        let before = buf.filled().len();
        let count = ready!(Wire::try_until(|| stream.poll_read_ready(cx), || stream.try_read_buf(buf)))?;
        if count > 0 {
            self.meter.heard().hear(&buf.filled()[before..]);
            let now = self.clock.now();
            self.meter.last_read.store(now, Relaxed);
            let _ = self.meter.first_read.compare_exchange(0, now, Relaxed, Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        self.wrote(Wire::try_until(|| stream.poll_write_ready(cx), || stream.try_write(bytes)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.stream;
        self.wrote(Wire::try_until(|| stream.poll_write_ready(cx), || stream.try_write_vectored(parts)))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// A connection that we opened.
pub struct Link {
    send: SendRequest<Load>,
    /// Empty once it has ended.
    connection: Option<Connection<TokioIo<Wire>, Load>>,
    stream: Arc<TcpStream>,
    meter: Arc<Meter>,
    /// With this many bytes written, the req of the last exchange has gone whole.
    whole_at: u64,
    /// The req whose body's length nobody told: it has gone whole once its last byte has come.
    unmeasured: Option<Arc<Message>>,
    figures: Option<Arc<Figures>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Link {
    pub async fn open(
        to: SocketAddr,
        clock: Clock,
        permit: Option<OwnedSemaphorePermit>,
        figures: Option<Arc<Figures>>,
    ) -> io::Result<Link> {
        let stream = Arc::new(TcpStream::connect(to).await?);
        let (wire, meter) = Wire::new(stream.clone(), clock, figures.clone());
        let handshake = http1::Builder::new().max_buf_size(MOST_HEAD).handshake(wire).await;
        let (send, connection) = handshake.map_err(io::Error::other)?;
        let (connection, whole_at) = (Some(connection), u64::MAX);
        Ok(Link { send, connection, stream, meter, whole_at, unmeasured: None, figures, _permit: permit })
    }

    /// Whether an idle connection may carry another req: it is open, and nothing unasked for lies unread on
    /// it.
    pub fn sound(&mut self) -> bool {
        unread(&self.stream).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) && self.ready()
    }

    fn ready(&mut self) -> bool {
        let Link { send, connection, .. } = self;
        drive(connection, send.ready()).now_or_never().is_some_and(|ready| ready.is_ok())
            && self.connection.is_some()
    }

    /// Whether any byte of the last exchange's req has been written, and whether the last one has. In doubt,
    /// a req has gone whole.
    pub fn began(&self) -> bool {
        self.whole_at != u64::MAX && self.meter.written.load(Relaxed) > 0
    }

    pub fn sent_whole(&self) -> bool {
        let ended = |message: &Arc<Message>| message.long.as_ref().is_some_and(|long| long.ended().is_some());
        self.meter.written.load(Relaxed) >= self.whole_at || self.unmeasured.as_ref().is_some_and(ended)
    }

    pub fn last_read(&self) -> Nanos {
        self.meter.last_read()
    }

    /// Sends one req, and returns the head of its answer. Nothing of the body has to come for that; whoever goes on
    /// reading does it here, for nobody else drives the connection.
    pub async fn begin(
        &mut self,
        req: Request<Load>,
        message: Option<&Arc<Message>>,
    ) -> Result<Response<Incoming>, String> {
        self.meter.written.store(0, Relaxed);
        let length = message.map_or(Some(0), |message| message.length);
        self.whole_at = length.map_or(UNMEASURED, |length| least_length(&req, length));
        self.unmeasured = message.filter(|_| length.is_none()).cloned();
        self.meter.count_at.store(length.map_or(0, |_| self.whole_at), Relaxed);
        let Link { send, connection, .. } = self;
        let answer = drive(connection, send.send_request(req)).await;
        if self.unmeasured.is_some() && self.sent_whole() {
            self.figures.iter().for_each(|figures| figures.dispatched());
        }
        answer.map_err(|e| e.to_string())
    }

    /// Ends an exchange all of whose answer has come: whether the connection may carry another one.
    pub fn end(&mut self, version: Version) -> bool {
        // What was counted is this exchange's; the next req has not begun.
        self.whole_at = u64::MAX;
        version == Version::HTTP_11 && self.ready()
    }

    /// One req without a body and its whole answer. `again` when the connection may carry another one after it. What
    /// the answer holds beyond `MOST_BODY`, up to `most`, takes its place in `room` for as long as it lives.
    pub async fn exchange(
        &mut self,
        req: Request<()>,
        most: usize,
        room: &Arc<Semaphore>,
    ) -> Result<(Response<Bytes>, bool), String> {
        let (head, body) = self.begin(req.map(|()| Load::empty()), None).await?.into_parts();
        let body = drive(&mut self.connection, whole(body, most, room)).await?;
        let again = self.end(head.version);
        Ok((Response::from_parts(head, body), again))
    }

    /// The next piece of an answer's body; nothing at its end.
    pub async fn piece(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, String> {
        let piece = async {
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(None)
        };
        drive(&mut self.connection, piece).await
    }

    /// All of an answer's body, or the first part of one that is long.
    pub async fn take(&mut self, mut body: Incoming) -> Result<Body, String> {
        let length = body.size_hint().exact();
        match length {
            Some(length) if length > MOST_LONG => return Err(format!("an answer of {length} bytes")),
            Some(length) if length > MOST_BODY as u64 => {
                return Ok(Body::Long(Bytes::new(), Some(length), body));
            }
            _ => {}
        }
        let mut bytes = Vec::new();
        let held_back = Instant::now() + HOLD;
        loop {
            let stopped = Instant::now() + STALL;
            let until = if length.is_none() { held_back } else { stopped };
            match timeout_at(until, self.piece(&mut body)).await {
                Ok(piece) => match piece? {
                    Some(data) => bytes.extend_from_slice(&data),
                    None => return Ok(Body::Whole(bytes.into())),
                },
                Err(_) if length.is_none() => return Ok(Body::Long(bytes.into(), None, body)),
                Err(_) => return Err("the answer stopped".into()),
            }
            if bytes.len() > MOST_BODY {
                return Ok(Body::Long(bytes.into(), None, body));
            }
        }
    }
}

/// What has come of an answer's body: all of it, or the first part of a long one, its length if it was told, and
/// the rest.
pub enum Body {
    Whole(Bytes),
    Long(Bytes, Option<u64>, Incoming),
}

/// All of an answer's body. Guards against one that is said to be endless, and against one that stops half way on
/// a connection that stays open: nothing more will come, and its req may still be sent again.
async fn whole(mut body: Incoming, most: usize, room: &Arc<Semaphore>) -> Result<Bytes, String> {
    let length = body.size_hint().exact().map_or(most, |length| length.min(usize::MAX as u64) as usize);
    if length > most && body.size_hint().exact().is_some() {
        return Err(format!("an answer of {length} bytes"));
    }
    let (mut bytes, mut held) = (Vec::with_capacity(length.min(MOST_BODY)), None);
    while let Some(frame) = timeout(STALL, body.frame()).await.map_err(|_| "the answer stopped")? {
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
        if bytes.len() + data.len() > most {
            return Err(format!("an answer of more than {most} bytes"));
        }
        if bytes.len() + data.len() > MOST_BODY && held.is_none() {
            let places = length.min(u32::MAX as usize) as u32;
            held = Some(room.clone().acquire_many_owned(places).await.map_err(|e| e.to_string())?);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(Held { bytes, _held: held }))
}

/// A body, and its place among the large ones.
struct Held {
    bytes: Vec<u8>,
    _held: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Runs something on a connection and the connection itself, in one task.
async fn drive<T>(
    connection: &mut Option<Connection<TokioIo<Wire>, Load>>,
    work: impl Future<Output = T>,
) -> T {
    let mut work = pin!(work);
    std::future::poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(done);
        }
        if connection.as_mut().is_some_and(|connection| connection.poll_unpin(cx).is_ready()) {
            // Dropped, so that whatever still waits on it is told.
            *connection = None;
        }
        work.as_mut().poll(cx)
    })
    .await
}

/// How many bytes the req is on the socket, as hyper writes it.
fn least_length<T>(req: &Request<T>, body: u64) -> u64 {
    let path = req.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let line = req.method().as_str().len() + path + " ".len() + " HTTP/1.1\r\n".len();
    let field = |(name, value): (&HeaderName, &hyper::header::HeaderValue)| {
        name.as_str().len() + ": ".len() + value.len() + "\r\n".len()
    };
    let head = line + req.headers().iter().map(field).sum::<usize>() + "\r\n".len();
    head as u64 + body
}

/// Takes out what concerns one connection only, and goes no further than that.
pub fn drop_hop_fields(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let hop = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    let rest = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in hop.into_iter().chain(rest).chain(named) {
        headers.remove(name);
    }
}
