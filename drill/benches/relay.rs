//! The latency that relays add: the same small exchanges directly and by a relay, alternately, over as many links as a drill
//! of 24 processes and 18 servers has. Not part of CI.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ochreshed_drill::link::{Link, TcpRelay};
use ochreshed_emulator::random::DurationDistribution;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

const LINKS: usize = 24 * 18;
const EXCHANGES_PER_S: f64 = 1_000.0;
const DURATION_S: f64 = 10.0;

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
        let mut routes = Vec::new();
        for number in 0..LINKS {
            let link = Link::new(DurationDistribution::Fixed { mean: 0 }, number as u64);
            let relay =
                TcpRelay::start(address, link, alive.subscribe(), Arc::new(|_, _| {})).expect("a relay");
            routes.push([connect(address).await, connect(relay.address).await]);
        }
        let mut running = JoinSet::new();
        for (number, route) in routes.into_iter().enumerate() {
            running.spawn(exchange(number, route));
        }
        let mut times = [Histogram::<u64>::new(3).expect("bounds"), Histogram::new(3).expect("bounds")];
        while let Some(measured) = running.join_next().await {
            for (all, of) in times.iter_mut().zip(measured.expect("exchanged")) {
                all.add(of).expect("added");
            }
        }
        for (name, times) in ["direct", "by relay"].iter().zip(&times) {
            let [p50, p99] = [0.5, 0.99].map(|part| times.value_at_quantile(part));
            println!("{name}: p50 {p50} us, p99 {p99} us over {} exchanges", times.len());
        }
    });
}

async fn connect(address: std::net::SocketAddr) -> TcpStream {
    // The relay starts to listen in a task of its own.
    for _ in 0..1_000 {
        if let Ok(stream) = TcpStream::connect(address).await {
            let _ = stream.set_nodelay(true);
            return stream;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no connection to {address}")
}

/// One link's share of the exchanges, directly and by relay alternately.
async fn exchange(number: usize, mut routes: [TcpStream; 2]) -> [Histogram<u64>; 2] {
    let mut times = [Histogram::<u64>::new(3).expect("bounds"), Histogram::new(3).expect("bounds")];
    let gap = Duration::from_secs_f64(LINKS as f64 / EXCHANGES_PER_S);
    let first_at = Instant::now() + gap.mul_f64(number as f64 / LINKS as f64);
    let mut bytes = [7; 200];
    for at in 0..(EXCHANGES_PER_S * DURATION_S) as usize / LINKS {
        tokio::time::sleep_until((first_at + gap * at as u32).into()).await;
        let sent = Instant::now();
        routes[at % 2].write_all(&bytes).await.expect("written");
        routes[at % 2].read_exact(&mut bytes).await.expect("answered");
        times[at % 2].record(sent.elapsed().as_micros() as u64).expect("within bounds");
    }
    times
}
