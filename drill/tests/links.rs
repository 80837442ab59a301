//! Links apply exactly what their faults say. Times are checked only for lower bounds.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_drill::link::{Direction, Link, LinkEffect, TcpRelay, UdpRelay};
use ochreshed_emulator::random::DurationDistribution;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// What has not arrived within this counts as held or dropped.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns each byte to its sender.
async fn start_echo_server() -> std::net::SocketAddr {
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

struct RelaySetup {
    relay: TcpRelay,
    alive: watch::Sender<bool>,
}

async fn start_relay() -> RelaySetup {
    let alive = watch::Sender::new(true);
    let link = Link::new(DurationDistribution::Fixed { mean: 0 }, 7);
    let relay = TcpRelay::start(start_echo_server().await, link, alive.subscribe(), Arc::new(|_, _| {}))
        .expect("a relay");
    RelaySetup { relay, alive }
}

impl RelaySetup {
    async fn connect(&self) -> std::io::Result<TcpStream> {
        timeout(SILENCE_TIMEOUT, TcpStream::connect(self.relay.address))
            .await
            .unwrap_or(Err(ErrorKind::TimedOut.into()))
    }

    /// Connects until the condition holds: a task applies faults to the listener, after a short while.
    async fn connect_until(
        &self,
        condition: impl Fn(&std::io::Result<TcpStream>) -> bool,
    ) -> std::io::Result<TcpStream> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            let made = self.connect().await;
            if condition(&made) {
                return made;
            }
            assert!(Instant::now() < deadline, "the expected result never occurs: {made:?}");
            tokio::task::yield_now().await;
        }
    }
}

async fn exchange_byte(stream: &mut TcpStream, byte: u8) -> std::io::Result<u8> {
    stream.write_u8(byte).await?;
    stream.read_u8().await
}

#[tokio::test]
async fn a_cut_holds_data_in_flight_and_new_connections() {
    let setup = start_relay().await;
    let mut stream = setup.connect_until(|made| made.is_ok()).await.expect("open");
    assert_eq!(exchange_byte(&mut stream, 1).await.expect("echoed"), 1);
    setup.relay.link.begin_fault(1, Direction::Forward, LinkEffect::Cut);
    setup.relay.link.begin_fault(2, Direction::Forward, LinkEffect::Cut);
    let timed_out =
        |made: &std::io::Result<TcpStream>| made.as_ref().is_err_and(|e| e.kind() == ErrorKind::TimedOut);
    setup.connect_until(timed_out).await.expect_err("no new connection");
    stream.write_u8(2).await.expect("written");
    assert!(timeout(SILENCE_TIMEOUT, stream.read_u8()).await.is_err(), "a byte passed a cut");
    // The second fault keeps the link cut.
    assert!(setup.relay.link.end_fault(1) && !setup.relay.link.end_fault(1));
    assert!(timeout(SILENCE_TIMEOUT, stream.read_u8()).await.is_err(), "a byte passed the second cut");
    assert!(setup.relay.link.end_fault(2));
    assert_eq!(
        timeout(RESPONSE_TIMEOUT, stream.read_u8()).await.expect("healed").expect("held, not lost"),
        2
    );
    let mut new = setup.connect_until(|made| made.is_ok()).await.expect("open again");
    assert_eq!(exchange_byte(&mut new, 3).await.expect("echoed"), 3);
}

#[tokio::test]
async fn a_cut_of_one_direction_does_not_affect_the_other() {
    let setup = start_relay().await;
    let mut stream = setup.connect_until(|made| made.is_ok()).await.expect("open");
    assert_eq!(exchange_byte(&mut stream, 1).await.expect("echoed"), 1);
    setup.relay.link.begin_fault(1, Direction::Reverse, LinkEffect::Cut);
    stream.write_u8(2).await.expect("written");
    assert!(timeout(SILENCE_TIMEOUT, stream.read_u8()).await.is_err(), "an answer passed the cut");
    setup.relay.link.end_fault(1);
    assert_eq!(timeout(RESPONSE_TIMEOUT, stream.read_u8()).await.expect("healed").expect("answered"), 2);
}

#[tokio::test]
async fn connections_are_refused_while_the_target_does_not_listen() {
    let setup = start_relay().await;
    let refused = |made: &std::io::Result<TcpStream>| {
        made.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    };
    setup.connect_until(|made| made.is_ok()).await.expect("open");
    setup.alive.send_replace(false);
    setup.connect_until(refused).await.expect_err("refused");
    setup.alive.send_replace(true);
    let mut stream = setup.connect_until(|made| made.is_ok()).await.expect("open again");
    // The connection is accepted, not only queued.
    assert_eq!(exchange_byte(&mut stream, 8).await.expect("echoed"), 8);
    setup.relay.link.begin_fault(5, Direction::Forward, LinkEffect::Refuse);
    setup.connect_until(refused).await.expect_err("refused");
    assert_eq!(exchange_byte(&mut stream, 9).await.expect("what is open stays"), 9);
}

#[tokio::test]
async fn a_reset_occurs_after_the_given_number_of_bytes() {
    let setup = start_relay().await;
    setup.relay.link.begin_fault(1, Direction::Reverse, LinkEffect::Reset(3));
    let mut stream = setup.connect_until(|made| made.is_ok()).await.expect("open");
    for byte in 0..2 {
        assert_eq!(exchange_byte(&mut stream, byte).await.expect("before it"), byte);
    }
    stream.write_u8(2).await.expect("written");
    let last = [stream.read_u8().await, stream.read_u8().await];
    assert!(last[1].as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset), "{last:?}");
}

#[tokio::test]
async fn delayed_and_slowed_data_takes_at_least_that_long() {
    let setup = start_relay().await;
    let mut stream = setup.connect_until(|made| made.is_ok()).await.expect("open");
    let delay = LinkEffect::Delay { extra: 150_000_000, jitter: 0 };
    setup.relay.link.begin_fault(1, Direction::Forward, delay);
    setup.relay.link.begin_fault(1, Direction::Reverse, LinkEffect::Slow(10.0));
    let began = Instant::now();
    assert_eq!(exchange_byte(&mut stream, 4).await.expect("echoed"), 4);
    assert!(began.elapsed() >= Duration::from_millis(245), "after {:?}", began.elapsed());
}

#[tokio::test]
async fn datagrams_are_lost_duplicated_and_reordered() {
    let far = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::new(DurationDistribution::Fixed { mean: 0 }, 3);
    let relay = UdpRelay::start(far.local_addr().expect("an address"), link).await.expect("a relay");
    let near = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    near.connect(relay.address).await.expect("connected");
    let mut bytes = [0; 8];
    // Without a fault every datagram arrives once, and replies reach the sender.
    near.send(&[77]).await.expect("sent");
    let (count, from) =
        timeout(RESPONSE_TIMEOUT, far.recv_from(&mut bytes)).await.expect("in time").expect("received");
    assert_eq!(&bytes[..count], [77]);
    far.send_to(&[78], from).await.expect("sent");
    assert_eq!(
        timeout(RESPONSE_TIMEOUT, near.recv(&mut bytes)).await.expect("in time").expect("received"),
        1
    );
    relay.link.begin_fault(1, Direction::Forward, LinkEffect::Lossy(0.4));
    relay.link.begin_fault(2, Direction::Forward, LinkEffect::Delay { extra: 0, jitter: 30_000_000 });
    let mut seen: Vec<u8> = Vec::new();
    for number in 0..200u8 {
        near.send(&[number]).await.expect("sent");
        // Paced, so that no socket buffer overflows.
        tokio::time::sleep(Duration::from_micros(300)).await;
    }
    while let Ok(Ok((_, _))) = timeout(SILENCE_TIMEOUT, far.recv_from(&mut bytes)).await {
        seen.push(bytes[0]);
    }
    let mut distinct = seen.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() < 180, "none was lost: {} of 200 came", distinct.len());
    assert!(distinct.len() < seen.len(), "none came twice");
    assert!(seen.windows(2).any(|two| two[0] > two[1]), "all came in order");
    relay.link.begin_fault(3, Direction::Forward, LinkEffect::Cut);
    near.send(&[1]).await.expect("sent");
    assert!(timeout(SILENCE_TIMEOUT, far.recv_from(&mut bytes)).await.is_err(), "a datagram passed a cut");
}
