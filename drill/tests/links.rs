//! What lies between two parties does what its faults say, and nothing else. Bounds on time are only ever least ones.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_drill::link::{Effect, Link, Relay, To, UdpRelay};
use ochreshed_emulator::random::DurationDistribution;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

const LONG: Duration = Duration::from_secs(20);
/// What does not come within this does not come: a silence can't be told from a slow answer in less.
const WHILE: Duration = Duration::from_millis(400);

/// Answers each byte with the same byte.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Ok(byte) = stream.read_u8().await {
                    let _ = stream.write_u8(byte).await;
                }
            });
        }
    });
    address
}

struct Scene {
    relay: Relay,
    alive: watch::Sender<bool>,
}

async fn scene() -> Scene {
    let alive = watch::Sender::new(true);
    let link = Link::new(DurationDistribution::Fixed { mean: 0 }, 7);
    let relay = Relay::start(echo().await, link, alive.subscribe(), Arc::new(|_, _| {})).expect("a relay");
    Scene { relay, alive }
}

impl Scene {
    /// Faults are heard of by a task: a new connection is tried until it meets them.
    async fn connect(&self) -> std::io::Result<TcpStream> {
        timeout(WHILE, TcpStream::connect(self.relay.address))
            .await
            .unwrap_or(Err(ErrorKind::TimedOut.into()))
    }

    async fn until(&self, what: impl Fn(&std::io::Result<TcpStream>) -> bool) -> std::io::Result<TcpStream> {
        let until = Instant::now() + LONG;
        loop {
            let made = self.connect().await;
            if what(&made) {
                return made;
            }
            assert!(Instant::now() < until, "it never comes to that: {made:?}");
            tokio::task::yield_now().await;
        }
    }
}

async fn echoed(stream: &mut TcpStream, byte: u8) -> std::io::Result<u8> {
    stream.write_u8(byte).await?;
    stream.read_u8().await
}

#[tokio::test]
async fn a_cut_holds_what_is_under_way_and_lets_nobody_in() {
    let scene = scene().await;
    let mut stream = scene.until(|made| made.is_ok()).await.expect("open");
    assert_eq!(echoed(&mut stream, 1).await.expect("echoed"), 1);
    scene.relay.link.begin(1, To::There, Effect::Cut);
    scene.relay.link.begin(2, To::There, Effect::Cut);
    let silent =
        |made: &std::io::Result<TcpStream>| made.as_ref().is_err_and(|e| e.kind() == ErrorKind::TimedOut);
    scene.until(silent).await.expect_err("nobody comes in");
    stream.write_u8(2).await.expect("written");
    assert!(timeout(WHILE, stream.read_u8()).await.is_err(), "a byte passed a cut");
    // Another fault still has it cut.
    assert!(scene.relay.link.end(1) && !scene.relay.link.end(1));
    assert!(timeout(WHILE, stream.read_u8()).await.is_err(), "a byte passed the second cut");
    assert!(scene.relay.link.end(2));
    assert_eq!(timeout(LONG, stream.read_u8()).await.expect("healed").expect("held, not lost"), 2);
    let mut new = scene.until(|made| made.is_ok()).await.expect("open again");
    assert_eq!(echoed(&mut new, 3).await.expect("echoed"), 3);
}

#[tokio::test]
async fn a_cut_of_one_way_lets_the_other_pass() {
    let scene = scene().await;
    let mut stream = scene.until(|made| made.is_ok()).await.expect("open");
    assert_eq!(echoed(&mut stream, 1).await.expect("echoed"), 1);
    scene.relay.link.begin(1, To::Back, Effect::Cut);
    stream.write_u8(2).await.expect("written");
    assert!(timeout(WHILE, stream.read_u8()).await.is_err(), "an answer passed the cut");
    scene.relay.link.end(1);
    assert_eq!(timeout(LONG, stream.read_u8()).await.expect("healed").expect("answered"), 2);
}

#[tokio::test]
async fn where_nobody_listens_connections_are_refused_by_the_system() {
    let scene = scene().await;
    let refused = |made: &std::io::Result<TcpStream>| {
        made.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    };
    scene.until(|made| made.is_ok()).await.expect("open");
    scene.alive.send_replace(false);
    scene.until(refused).await.expect_err("refused");
    scene.alive.send_replace(true);
    let mut stream = scene.until(|made| made.is_ok()).await.expect("open again");
    // Taken, not only queued.
    assert_eq!(echoed(&mut stream, 8).await.expect("echoed"), 8);
    scene.relay.link.begin(5, To::There, Effect::Refuse);
    scene.until(refused).await.expect_err("refused");
    assert_eq!(echoed(&mut stream, 9).await.expect("what is open stays"), 9);
}

#[tokio::test]
async fn a_reset_comes_at_its_byte() {
    let scene = scene().await;
    scene.relay.link.begin(1, To::Back, Effect::Reset(3));
    let mut stream = scene.until(|made| made.is_ok()).await.expect("open");
    for byte in 0..2 {
        assert_eq!(echoed(&mut stream, byte).await.expect("before it"), byte);
    }
    stream.write_u8(2).await.expect("written");
    let last = [stream.read_u8().await, stream.read_u8().await];
    assert!(last[1].as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset), "{last:?}");
}

#[tokio::test]
async fn what_is_delayed_or_slowed_takes_that_long_at_least() {
    let scene = scene().await;
    let mut stream = scene.until(|made| made.is_ok()).await.expect("open");
    let delay = Effect::Delay { more: 150_000_000, jitter: 0 };
    scene.relay.link.begin(1, To::There, delay);
    scene.relay.link.begin(1, To::Back, Effect::Slow(10.0));
    let began = Instant::now();
    assert_eq!(echoed(&mut stream, 4).await.expect("echoed"), 4);
    assert!(began.elapsed() >= Duration::from_millis(245), "after {:?}", began.elapsed());
}

#[tokio::test]
async fn datagrams_are_lost_doubled_and_reordered() {
    let far = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::new(DurationDistribution::Fixed { mean: 0 }, 3);
    let relay = UdpRelay::start(far.local_addr().expect("an address"), link).await.expect("a relay");
    let near = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    near.connect(relay.address).await.expect("connected");
    let mut bytes = [0; 8];
    // First as it is: all come, once each, and answers find their way back.
    near.send(&[77]).await.expect("sent");
    let (count, from) = timeout(LONG, far.recv_from(&mut bytes)).await.expect("in time").expect("received");
    assert_eq!(&bytes[..count], [77]);
    far.send_to(&[78], from).await.expect("sent");
    assert_eq!(timeout(LONG, near.recv(&mut bytes)).await.expect("in time").expect("received"), 1);
    relay.link.begin(1, To::There, Effect::Lossy(0.4));
    relay.link.begin(2, To::There, Effect::Delay { more: 0, jitter: 30_000_000 });
    let mut seen: Vec<u8> = Vec::new();
    for number in 0..200u8 {
        near.send(&[number]).await.expect("sent");
        // Not faster than the system's buffers take them.
        tokio::time::sleep(Duration::from_micros(300)).await;
    }
    while let Ok(Ok((_, _))) = timeout(WHILE, far.recv_from(&mut bytes)).await {
        seen.push(bytes[0]);
    }
    let mut once = seen.clone();
    once.sort_unstable();
    once.dedup();
    assert!(once.len() < 180, "none is lost: {} of 200 came", once.len());
    assert!(once.len() < seen.len(), "none came twice");
    assert!(seen.windows(2).any(|two| two[0] > two[1]), "all came in order");
    relay.link.begin(3, To::There, Effect::Cut);
    near.send(&[1]).await.expect("sent");
    assert!(timeout(WHILE, far.recv_from(&mut bytes)).await.is_err(), "a datagram passed a cut");
}
