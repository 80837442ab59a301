//! What the relays add: the same small exchanges straight and by a relay, in turn, at a rate over as many links as a
//! drill of 24 processes before 18 srvs has. No part of CI.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ochreshed_drill::link::{Link, Relay};
use ochreshed_emulator::random::DurationDistribution;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

const LINKS: usize = 24 * 18;
const PER_S: f64 = 1_000.0;
const SECONDS: f64 = 10.0;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(async move {
                    let mut bytes = [0; 256];
                    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                        let _ = stream.write_all(&bytes[..count]).await;
                    }
                });
            }
        });
        let alive = watch::Sender::new(true);
        let mut ways = Vec::new();
        for number in 0..LINKS {
            let link = Link::new(DurationDistribution::Fixed { mean: 0 }, number as u64);
            let relay = Relay::start(address, link, alive.subscribe(), Arc::new(|_, _| {})).expect("a relay");
            ways.push([connect(address).await, connect(relay.address).await]);
        }
        let mut running = JoinSet::new();
        for (number, way) in ways.into_iter().enumerate() {
            running.spawn(exchange(number, way));
        }
        let mut times = [Histogram::<u64>::new(3).expect("bounds"), Histogram::new(3).expect("bounds")];
        while let Some(took) = running.join_next().await {
            for (all, of) in times.iter_mut().zip(took.expect("exchanged")) {
                all.add(of).expect("added");
            }
        }
        for (name, times) in ["straight", "by relay"].iter().zip(&times) {
            let [p50, p99] = [0.5, 0.99].map(|part| times.value_at_quantile(part));
            println!("{name}: p50 {p50} us, p99 {p99} us over {} exchanges", times.len());
        }
    });
}

async fn connect(address: std::net::SocketAddr) -> TcpStream {
    // A relay's door is opened by a task of its own.
    for _ in 0..1_000 {
        if let Ok(stream) = TcpStream::connect(address).await {
            let _ = stream.set_nodelay(true);
            return stream;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no connection to {address}")
}

/// Its share of the rate, straight and by relay in turn.
async fn exchange(number: usize, mut ways: [TcpStream; 2]) -> [Histogram<u64>; 2] {
    let mut times = [Histogram::<u64>::new(3).expect("bounds"), Histogram::new(3).expect("bounds")];
    let gap = Duration::from_secs_f64(LINKS as f64 / PER_S);
    let began = Instant::now() + gap.mul_f64(number as f64 / LINKS as f64);
    let mut bytes = [7; 200];
    for at in 0..(PER_S * SECONDS) as usize / LINKS {
        tokio::time::sleep_until((began + gap * at as u32).into()).await;
        let sent = Instant::now();
        ways[at % 2].write_all(&bytes).await.expect("written");
        ways[at % 2].read_exact(&mut bytes).await.expect("answered");
        times[at % 2].record(sent.elapsed().as_micros() as u64).expect("within bounds");
    }
    times
}
