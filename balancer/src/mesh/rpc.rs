//! Calls between our own processes: frames of CBOR over TCP, many calls at once on one connection.
//!
//! [`RpcClient::call`] sends a request and waits for its response; [`RpcClient::post`] sends a message between replicas, which
//! may be lost. [`answer`] is the server's side. Each frame is its length in 4 bytes (big endian) and a CBOR value with the
//! number of the call; 0 is the number of messages that get no response.
//!
//! Main types: [`RpcClient`] (one process), [`RpcClients`] (clients by address), [`RpcError`].
//!
//! Invariants: a call is never sent twice; a caller never waits for a connection that has ended.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ochreshed_catalog::internal_rpc::{Frame, MAX_FRAME_BYTES, encode_frame};
pub use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchRequest, WatchResponse};
use ochreshed_consensus::messages::Message;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::connection::lock;

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection ends when sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Frames that wait to be written to one connection; further ones wait, and messages without a response are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Connections that one listener serves at a time; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 2_048;
/// Pause after a failed connection, before another is tried.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(60);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// No connection came up, or the request could not be encoded: it was not received.
    NotSent,
    /// The connection ended before the response: the request may have been received.
    ConnectionLost,
    /// No response came in time: the request may have been received.
    TimedOut,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RpcError::NotSent => "not sent",
            RpcError::ConnectionLost => "the connection broke",
            RpcError::TimedOut => "no reply in time",
        })
    }
}

async fn read<T: DeserializeOwned>(from: &mut BufReader<OwnedReadHalf>) -> io::Result<T> {
    let length = from.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other("a frame too long"));
    }
    let mut bytes = Vec::with_capacity(length.min(64 * 1024));
    (&mut *from).take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    ciborium::from_reader(&bytes[..]).map_err(io::Error::other)
}

/// Writes frames as they come, several at once if several wait.
async fn write(mut to: OwnedWriteHalf, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut many = Vec::new();
    while frames.recv_many(&mut many, 64).await > 0 {
        let bytes = if many.len() == 1 { many.remove(0) } else { many.concat() };
        many.clear();
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Sets the options of a connection between our own processes: no delay, keep-alive, and an early end when the other side is
/// gone.
pub fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let alive = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_millis(1_000));
    let _ = socket.set_tcp_keepalive(&alive.with_retries(2));
}

/// Where the responses of calls go, by their numbers.
type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<InternalResponse>>>>;

/// Calls to one process, over one connection that is opened when it is first needed.
pub struct RpcClient {
    to: SocketAddr,
    ids: AtomicU64,
    open: Mutex<Option<OpenConnection>>,
    /// Held while a connection is opened, so that only one is at a time; when the last attempt failed, if it did.
    connecting: tokio::sync::Mutex<Option<tokio::time::Instant>>,
}

#[derive(Clone)]
struct OpenConnection {
    frames: mpsc::Sender<Vec<u8>>,
    pending: Pending,
}

impl RpcClient {
    pub fn new(to: SocketAddr) -> Arc<RpcClient> {
        Arc::new(RpcClient { to, ids: 1.into(), open: Mutex::default(), connecting: Default::default() })
    }

    /// Sends a request and waits for its response, for `within` in all.
    pub async fn call(&self, ask: InternalRequest, within: Duration) -> Result<InternalResponse, RpcError> {
        let work = async {
            let open = self.open().await.ok_or(RpcError::NotSent)?;
            let id = self.ids.fetch_add(1, Relaxed);
            let bytes = encode_frame(&Frame { id, payload: ask }).ok_or(RpcError::NotSent)?;
            let (reply, replied) = oneshot::channel();
            lock(&open.pending).insert(id, reply);
            let _waits = PendingReply { id, pending: open.pending.clone() };
            open.frames.send(bytes).await.map_err(|_| RpcError::ConnectionLost)?;
            replied.await.map_err(|_| RpcError::ConnectionLost)
        };
        timeout(within, work).await.unwrap_or(Err(RpcError::TimedOut))
    }

    /// Sends a message between replicas, which may be lost: if the queue is full or no connection comes up, it is dropped.
    pub fn post(self: &Arc<Self>, letter: Message) {
        let Some(bytes) = encode_frame(&Frame { id: 0, payload: InternalRequest::ReplicaMessage(letter) })
        else {
            return;
        };
        let open = lock(&self.open).clone().filter(|open| !open.frames.is_closed());
        if let Some(open) = open {
            let _ = open.frames.try_send(bytes);
            return;
        }
        let caller = self.clone();
        tokio::spawn(async move {
            if let Ok(Some(open)) = timeout(CONNECT_TIMEOUT, caller.open()).await {
                let _ = open.frames.try_send(bytes);
            }
        });
    }

    /// The open connection, or a new one; `None` if none comes up, or one has failed just now.
    async fn open(&self) -> Option<OpenConnection> {
        let standing = || lock(&self.open).clone().filter(|open| !open.frames.is_closed());
        if let Some(open) = standing() {
            return Some(open);
        }
        let mut failed = self.connecting.lock().await;
        if let Some(open) = standing() {
            return Some(open);
        }
        if failed.is_some_and(|at| at.elapsed() < RECONNECT_INTERVAL) {
            return None;
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.to)).await {
            Ok(Ok(stream)) => stream,
            _ => {
                *failed = Some(tokio::time::Instant::now());
                return None;
            }
        };
        *failed = None;
        tune(&stream);
        let (from, to) = stream.into_split();
        let (frames, waiting) = mpsc::channel(MAX_QUEUED_FRAMES);
        let pending = Pending::default();
        let open = OpenConnection { frames, pending: pending.clone() };
        let writer = tokio::spawn(write(to, waiting));
        tokio::spawn(async move {
            let mut from = BufReader::new(from);
            while let Ok(Frame { id, payload: say }) = read::<Frame<InternalResponse>>(&mut from).await {
                if let Some(reply) = lock(&pending).remove(&id) {
                    let _ = reply.send(say);
                }
            }
            writer.abort();
            lock(&pending).clear();
        });
        *lock(&self.open) = Some(open.clone());
        Some(open)
    }
}

/// A call that waits for its response. Dropping it removes it from the pending ones.
struct PendingReply {
    id: u64,
    pending: Pending,
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        lock(&self.pending).remove(&self.id);
    }
}

/// One client for each address.
#[derive(Default)]
pub struct RpcClients(Mutex<HashMap<SocketAddr, Arc<RpcClient>>>);

impl RpcClients {
    /// The client for an address, made when it is first asked for.
    pub fn to(&self, address: SocketAddr) -> Arc<RpcClient> {
        lock(&self.0).entry(address).or_insert_with(|| RpcClient::new(address)).clone()
    }
}

/// Serves calls until it is dropped. `answer` is called for each; messages with the number 0 get no response.
pub async fn answer<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(InternalRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Option<InternalResponse>> + Send + 'static,
{
    let mut guests = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = guests.join_next(), if !guests.is_empty() => {}
            came = listener.accept(), if guests.len() < MAX_CONNECTIONS => match came {
                Ok((stream, _)) => {
                    guests.spawn(guest(stream, answer.clone()));
                }
                Err(_) => tokio::time::sleep(RECONNECT_INTERVAL).await,
            }
        }
    }
}

/// Serves one connection. Messages without a response are handled in their order, calls at the same time.
async fn guest<F, A>(stream: TcpStream, answer: F)
where
    F: Fn(InternalRequest) -> A + Send + Sync + 'static,
    A: Future<Output = Option<InternalResponse>> + Send + 'static,
{
    tune(&stream);
    let (from, to) = stream.into_split();
    let (frames, waiting) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = tokio::spawn(write(to, waiting));
    let mut from = BufReader::new(from);
    // What is still being answered ends with the connection.
    let mut calls = tokio::task::JoinSet::new();
    while let Ok(Frame { id, payload: say }) = read::<Frame<InternalRequest>>(&mut from).await {
        let (reply, frames) = (answer(say), frames.clone());
        if id == 0 {
            reply.await;
            continue;
        }
        while calls.try_join_next().is_some() {}
        calls.spawn(async move {
            if let Some(bytes) = reply.await.and_then(|say| encode_frame(&Frame { id, payload: say })) {
                let _ = frames.send(bytes).await;
            }
        });
    }
    writer.abort();
}
