//! Remote procedure calls between the processes of the mesh: CBOR frames over TCP, with concurrent calls multiplexed on
//! one connection.
//!
//! [`RpcClient::call`] sends a request and waits for its response; [`RpcClient::send_message`] sends a one-way message
//! between replicas, which may be lost. [`serve`] is the server side. Each frame is a 4-byte big-endian length followed
//! by a CBOR value with the call ID; ID 0 marks messages that get no response.
//!
//! Main types: [`RpcClient`] (one process), [`RpcClients`] (clients by address), [`RpcError`].
//!
//! Invariants: a call is never sent twice; pending calls fail as soon as their connection is closed.

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

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection is closed when sent bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Capacity of the write queue of one connection. When it is full, calls wait and one-way messages are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Connections that one listener serves concurrently; further ones wait in the accept backlog.
const MAX_CONNECTIONS: usize = 2_048;
/// Pause after a failed connection attempt or a failed accept.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(60);
/// Queued frames that are written to a socket together.
const MAX_FRAMES_PER_WRITE: usize = 64;
/// Buffer capacity reserved for a frame before its bytes have arrived, so that a wrong length does not allocate much.
const INITIAL_FRAME_CAPACITY_BYTES: usize = 64 * 1024;
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
const KEEPALIVE_PROBES: u32 = 2;
/// Call ID of messages that get no response.
const ONE_WAY_MESSAGE_ID: u64 = 0;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// No connection could be established, or the request could not be encoded: the server did not receive it.
    NotSent,
    /// The connection was closed before the response arrived: the server may have received the request.
    ConnectionLost,
    /// No response arrived in time: the server may have received the request.
    TimedOut,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RpcError::NotSent => "request not sent",
            RpcError::ConnectionLost => "connection lost before the response",
            RpcError::TimedOut => "timed out waiting for the response",
        })
    }
}

async fn read_frame<T: DeserializeOwned>(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<T> {
    let length = reader.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!("RPC frame too long: {length} bytes, limit {MAX_FRAME_BYTES}")));
    }
    let mut bytes = Vec::with_capacity(length.min(INITIAL_FRAME_CAPACITY_BYTES));
    (&mut *reader).take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    ciborium::from_reader(&bytes[..]).map_err(io::Error::other)
}

/// Writes queued frames to the socket, several in one write if several are queued.
async fn write_frames(mut writer: OwnedWriteHalf, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut queued = Vec::new();
    while frames.recv_many(&mut queued, MAX_FRAMES_PER_WRITE).await > 0 {
        let bytes = if queued.len() == 1 { queued.remove(0) } else { queued.concat() };
        queued.clear();
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Sets the socket options of a connection between mesh processes: no delay, keep-alive, and early detection of an
/// unreachable peer.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_PROBE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// Response channels of pending calls, by call ID.
type PendingCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<InternalResponse>>>>;

/// Client of one process. It uses a single connection, which is opened on first use.
pub struct RpcClient {
    server_address: SocketAddr,
    next_call_id: AtomicU64,
    connection: Mutex<Option<OpenConnection>>,
    /// The time of the last connection attempt if that failed. Locked while connecting, so that only one attempt is
    /// made at a time.
    failed_at: tokio::sync::Mutex<Option<tokio::time::Instant>>,
}

#[derive(Clone)]
struct OpenConnection {
    frames: mpsc::Sender<Vec<u8>>,
    pending: PendingCalls,
}

impl RpcClient {
    pub fn new(server_address: SocketAddr) -> Arc<RpcClient> {
        Arc::new(RpcClient {
            server_address,
            next_call_id: (ONE_WAY_MESSAGE_ID + 1).into(),
            connection: Mutex::default(),
            failed_at: Default::default(),
        })
    }

    /// Sends a request and waits for its response. `time_limit` covers connecting, sending and waiting.
    pub async fn call(
        &self,
        request: InternalRequest,
        time_limit: Duration,
    ) -> Result<InternalResponse, RpcError> {
        let exchange = async {
            let connection = self.connect().await.ok_or(RpcError::NotSent)?;
            let id = self.next_call_id.fetch_add(1, Relaxed);
            let bytes = encode_frame(&Frame { id, payload: request }).ok_or(RpcError::NotSent)?;
            let (response_sender, response) = oneshot::channel();
            lock(&connection.pending).insert(id, response_sender);
            let _guard = PendingCallGuard { id, pending: connection.pending.clone() };
            connection.frames.send(bytes).await.map_err(|_| RpcError::ConnectionLost)?;
            response.await.map_err(|_| RpcError::ConnectionLost)
        };
        timeout(time_limit, exchange).await.unwrap_or(Err(RpcError::TimedOut))
    }

    /// Sends a one-way message between replicas. It is dropped if the write queue is full or no connection can be
    /// established.
    pub fn send_message(self: &Arc<Self>, message: Message) {
        let frame = Frame { id: ONE_WAY_MESSAGE_ID, payload: InternalRequest::ReplicaMessage(message) };
        let Some(bytes) = encode_frame(&frame) else {
            return;
        };
        if let Some(connection) = self.open_connection() {
            let _ = connection.frames.try_send(bytes);
            return;
        }
        let client = self.clone();
        tokio::spawn(async move {
            if let Ok(Some(connection)) = timeout(CONNECT_TIMEOUT, client.connect()).await {
                let _ = connection.frames.try_send(bytes);
            }
        });
    }

    fn open_connection(&self) -> Option<OpenConnection> {
        lock(&self.connection).clone().filter(|connection| !connection.frames.is_closed())
    }

    /// Returns the open connection, or establishes one. `None` if that fails, or if the last attempt failed less than
    /// [`RECONNECT_INTERVAL`] ago.
    async fn connect(&self) -> Option<OpenConnection> {
        if let Some(connection) = self.open_connection() {
            return Some(connection);
        }
        let mut failed_at = self.failed_at.lock().await;
        if let Some(connection) = self.open_connection() {
            return Some(connection);
        }
        if failed_at.is_some_and(|at| at.elapsed() < RECONNECT_INTERVAL) {
            return None;
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.server_address)).await {
            Ok(Ok(stream)) => stream,
            _ => {
                *failed_at = Some(tokio::time::Instant::now());
                return None;
            }
        };
        *failed_at = None;
        set_socket_options(&stream);
        let (reader, writer) = stream.into_split();
        let (frames, queued_frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let pending = PendingCalls::default();
        let connection = OpenConnection { frames, pending: pending.clone() };
        let write_task = tokio::spawn(write_frames(writer, queued_frames));
        tokio::spawn(async move {
            let mut reader = BufReader::new(reader);
            while let Ok(Frame { id, payload }) = read_frame::<Frame<InternalResponse>>(&mut reader).await {
                if let Some(response_sender) = lock(&pending).remove(&id) {
                    let _ = response_sender.send(payload);
                }
            }
            write_task.abort();
            lock(&pending).clear();
        });
        *lock(&self.connection) = Some(connection.clone());
        Some(connection)
    }
}

/// Removes a call from the pending calls when it is dropped.
struct PendingCallGuard {
    id: u64,
    pending: PendingCalls,
}

impl Drop for PendingCallGuard {
    fn drop(&mut self) {
        lock(&self.pending).remove(&self.id);
    }
}

/// RPC clients by server address.
#[derive(Default)]
pub struct RpcClients(Mutex<HashMap<SocketAddr, Arc<RpcClient>>>);

impl RpcClients {
    /// Returns the client for an address, and creates it on first use.
    pub fn client_for(&self, address: SocketAddr) -> Arc<RpcClient> {
        lock(&self.0).entry(address).or_insert_with(|| RpcClient::new(address)).clone()
    }
}

/// Accepts connections and serves their calls until the future is dropped. `handle` is called for each frame; its
/// result is not sent for one-way messages.
pub async fn serve<F, A>(listener: TcpListener, handle: F)
where
    F: Fn(InternalRequest) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Option<InternalResponse>> + Send + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, handle.clone()));
                }
                Err(_) => tokio::time::sleep(RECONNECT_INTERVAL).await,
            }
        }
    }
}

/// Serves one connection. One-way messages are handled in order, calls concurrently.
async fn serve_connection<F, A>(stream: TcpStream, handle: F)
where
    F: Fn(InternalRequest) -> A + Send + Sync + 'static,
    A: Future<Output = Option<InternalResponse>> + Send + 'static,
{
    set_socket_options(&stream);
    let (reader, writer) = stream.into_split();
    let (frames, queued_frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    let write_task = tokio::spawn(write_frames(writer, queued_frames));
    let mut reader = BufReader::new(reader);
    // Dropping the set cancels unfinished calls when the connection is closed.
    let mut calls = tokio::task::JoinSet::new();
    while let Ok(Frame { id, payload }) = read_frame::<Frame<InternalRequest>>(&mut reader).await {
        let (response, frames) = (handle(payload), frames.clone());
        if id == ONE_WAY_MESSAGE_ID {
            response.await;
            continue;
        }
        while calls.try_join_next().is_some() {}
        calls.spawn(async move {
            if let Some(bytes) = response.await.and_then(|payload| encode_frame(&Frame { id, payload })) {
                let _ = frames.send(bytes).await;
            }
        });
    }
    write_task.abort();
}
