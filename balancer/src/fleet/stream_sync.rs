//! Stream synchronizations: two instances whose states differ a lot exchange the differences over TCP.
//!
//! This module owns these connections, their pace and their limits. The fleet actor, which owns the state, is
//! never held up: it is asked what to send and is given what was received.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_gossip::stream_sync::{self, FRAME_HEADER_BYTES, Hello, MAX_FRAMES_PER_SIDE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// How many synchronizations started by other instances run at once. One more is refused, and is started
/// again later with another instance.
const MAX_ACCEPTED_SYNCS: usize = 2;
/// How long a greeting may take, and a whole synchronization.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between frames of 16 KB: at most 3 MB a second, so that catching up never crowds out
/// requests.
const FRAME_INTERVAL: Duration = Duration::from_millis(5);
/// How long to wait when no descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a synchronization asks of the fleet actor.
pub enum SyncRequest {
    /// Returns our greeting.
    OurHello(oneshot::Sender<Hello>),
    /// Checks the other instance's greeting, and returns what we hold that differs; None if it is refused.
    TheirHello(Vec<u8>, oneshot::Sender<Option<(Hello, Vec<Vec<u8>>)>>),
    /// Merges what the other instance holds.
    ReceivedState(SocketAddr, Vec<u8>),
    Finished {
        started_here: bool,
        succeeded: bool,
    },
}

type RequestSender = mpsc::Sender<SyncRequest>;

/// Starts a synchronization with the instance at this address.
pub fn start(to: SocketAddr, requests: RequestSender) {
    tokio::spawn(async move {
        let sync = timeout(SYNC_TIMEOUT, async {
            let mut stream = timeout(HELLO_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
            run_initiator(&mut stream, to, &requests).await
        });
        let succeeded = sync.await.is_ok_and(|result| result.is_some());
        // Nobody counts results once the fleet actor has ended.
        let _ = requests.send(SyncRequest::Finished { started_here: true, succeeded }).await;
    });
}

/// Accepts synchronizations that other instances start, for as long as the listener exists.
pub async fn accept(listener: TcpListener, requests: RequestSender) {
    let slots = Arc::new(Semaphore::new(MAX_ACCEPTED_SYNCS));
    loop {
        let Ok((mut stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A connection above the limit is closed at once.
        let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
        let requests = requests.clone();
        tokio::spawn(async move {
            let result = timeout(SYNC_TIMEOUT, run_responder(&mut stream, from, &requests)).await;
            let succeeded = result.is_ok_and(|result| result.is_some());
            let _ = requests.send(SyncRequest::Finished { started_here: false, succeeded }).await;
            drop(slot);
        });
    }
}

/// Returns None if either side ended it early.
async fn run_initiator(stream: &mut TcpStream, at: SocketAddr, requests: &RequestSender) -> Option<()> {
    stream.write_all(&our_hello(requests).await?.encode()).await.ok()?;
    let (_, bodies) = receive_hello(stream, requests).await?;
    receive_frames(stream, at, requests).await?;
    send_frames(stream, bodies).await
}

async fn run_responder(stream: &mut TcpStream, from: SocketAddr, requests: &RequestSender) -> Option<()> {
    let (_, bodies) = timeout(HELLO_TIMEOUT, receive_hello(stream, requests)).await.ok()??;
    stream.write_all(&our_hello(requests).await?.encode()).await.ok()?;
    send_frames(stream, bodies).await?;
    receive_frames(stream, from, requests).await
}

async fn our_hello(requests: &RequestSender) -> Option<Hello> {
    let (reply, hello) = oneshot::channel();
    requests.send(SyncRequest::OurHello(reply)).await.ok()?;
    hello.await.ok()
}

async fn receive_hello(stream: &mut TcpStream, requests: &RequestSender) -> Option<(Hello, Vec<Vec<u8>>)> {
    let body = read_frame(stream).await?;
    let (reply, accepted) = oneshot::channel();
    requests.send(SyncRequest::TheirHello(body, reply)).await.ok()?;
    accepted.await.ok()?
}

async fn send_frames(stream: &mut TcpStream, bodies: Vec<Vec<u8>>) -> Option<()> {
    for body in bodies.iter().filter(|body| !body.is_empty()) {
        stream.write_all(&stream_sync::encode_frame(body)).await.ok()?;
        sleep(FRAME_INTERVAL).await;
    }
    stream.write_all(&stream_sync::encode_frame(&[])).await.ok()
}

async fn receive_frames(stream: &mut TcpStream, from: SocketAddr, requests: &RequestSender) -> Option<()> {
    for _ in 0..=MAX_FRAMES_PER_SIDE {
        let body = read_frame(stream).await?;
        if body.is_empty() {
            return Some(());
        }
        requests.send(SyncRequest::ReceivedState(from, body)).await.ok()?;
    }
    None
}

async fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut head).await.ok()?;
    let mut body = vec![0; stream_sync::body_length(&head).ok()?];
    stream.read_exact(&mut body).await.ok()?;
    stream_sync::verify_body(&head, &body).ok()?;
    Some(body)
}
