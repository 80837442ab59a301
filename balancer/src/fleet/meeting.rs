//! Meetings over TCP of two instances whose copies differ in much. It owns these connections, their pace and their bounds,
//! and must never hold up the actor that owns the copy: it asks that for what to say, and hands it what was heard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_gossip::stream_sync::{self, FRAME_HEADER_BYTES, Hello, MAX_FRAMES_PER_SIDE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// So many meetings that others began are held at once; one more is turned away, and begins again later, elsewhere.
const SERVED: usize = 2;
/// Those who say nothing are sent away after this; and a whole meeting takes no longer.
const GREETING: Duration = Duration::from_secs(2);
const WHOLE: Duration = Duration::from_secs(10);
/// A frame of 16 KB each so often: 3 MB a second at the most, so that catch-up never crowds out reqs.
const PACE: Duration = Duration::from_millis(5);
/// When no descriptor is left.
const NO_SOCKET: Duration = Duration::from_millis(50);

/// What a meeting wants of the actor.
pub enum Mail {
    /// How we begin.
    Hello(oneshot::Sender<Hello>),
    /// What the other one began with: whether it is met, and what we hold that differs.
    Greeted(Vec<u8>, oneshot::Sender<Option<(Hello, Vec<Vec<u8>>)>>),
    /// What the other one holds.
    Heard(SocketAddr, Vec<u8>),
    Over {
        ours: bool,
        well: bool,
    },
}

type Desk = mpsc::Sender<Mail>;

/// Begins one with the member that is reached there.
pub fn begin(to: SocketAddr, desk: Desk) {
    tokio::spawn(async move {
        let asked = timeout(WHOLE, async {
            let mut stream = timeout(GREETING, TcpStream::connect(to)).await.ok()?.ok()?;
            ask(&mut stream, to, &desk).await
        });
        let well = asked.await.is_ok_and(|asked| asked.is_some());
        // With the actor gone nobody counts any more.
        let _ = desk.send(Mail::Over { ours: true, well }).await;
    });
}

/// Takes in those that others begin, for as long as the listener is kept.
pub async fn keep(listener: TcpListener, desk: Desk) {
    let room = Arc::new(Semaphore::new(SERVED));
    loop {
        let Ok((mut stream, from)) = listener.accept().await else {
            sleep(NO_SOCKET).await;
            continue;
        };
        // One too many is closed at once.
        let Ok(room) = room.clone().try_acquire_owned() else { continue };
        let desk = desk.clone();
        tokio::spawn(async move {
            let answered = timeout(WHOLE, answer(&mut stream, from, &desk)).await;
            let well = answered.is_ok_and(|answered| answered.is_some());
            let _ = desk.send(Mail::Over { ours: false, well }).await;
            drop(room);
        });
    }
}

/// Empty where it was cut short, by whichever side.
async fn ask(stream: &mut TcpStream, at: SocketAddr, desk: &Desk) -> Option<()> {
    stream.write_all(&hello(desk).await?.encode()).await.ok()?;
    let (_, pieces) = greeted(stream, desk).await?;
    hear(stream, at, desk).await?;
    tell(stream, pieces).await
}

async fn answer(stream: &mut TcpStream, from: SocketAddr, desk: &Desk) -> Option<()> {
    let (_, pieces) = timeout(GREETING, greeted(stream, desk)).await.ok()??;
    stream.write_all(&hello(desk).await?.encode()).await.ok()?;
    tell(stream, pieces).await?;
    hear(stream, from, desk).await
}

async fn hello(desk: &Desk) -> Option<Hello> {
    let (reply, hello) = oneshot::channel();
    desk.send(Mail::Hello(reply)).await.ok()?;
    hello.await.ok()
}

async fn greeted(stream: &mut TcpStream, desk: &Desk) -> Option<(Hello, Vec<Vec<u8>>)> {
    let body = frame(stream).await?;
    let (reply, met) = oneshot::channel();
    desk.send(Mail::Greeted(body, reply)).await.ok()?;
    met.await.ok()?
}

async fn tell(stream: &mut TcpStream, pieces: Vec<Vec<u8>>) -> Option<()> {
    for piece in pieces.iter().filter(|piece| !piece.is_empty()) {
        stream.write_all(&stream_sync::encode_frame(piece)).await.ok()?;
        sleep(PACE).await;
    }
    stream.write_all(&stream_sync::encode_frame(&[])).await.ok()
}

async fn hear(stream: &mut TcpStream, from: SocketAddr, desk: &Desk) -> Option<()> {
    for _ in 0..=MAX_FRAMES_PER_SIDE {
        let body = frame(stream).await?;
        if body.is_empty() {
            return Some(());
        }
        desk.send(Mail::Heard(from, body)).await.ok()?;
    }
    None
}

async fn frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut head).await.ok()?;
    let mut body = vec![0; stream_sync::body_length(&head).ok()?];
    stream.read_exact(&mut body).await.ok()?;
    stream_sync::verify_body(&head, &body).ok()?;
    Some(body)
}
