//! Links between parties: the state of both directions, changed by faults that may overlap, and the TCP and UDP relays
//! that carry traffic accordingly. Data in flight is bounded; only faults drop, duplicate or reorder it.
//!
//! Connecting parties see what they would see on a real network. While a link is cut, bytes in flight are held and new
//! connections hang: the relay keeps its accept queue full, so that the kernel drops SYN packets. Refusals come from the
//! kernel as well: the port stays bound, with no socket listening on it.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ochreshed_emulator::Nanos;
use ochreshed_emulator::random::{DurationDistribution, RandomStream};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{FramingEvent, MessageFramer};

const READ_BUFFER_BYTES: usize = 8 << 10;
/// Chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 32;
/// Delay of a packet's first retransmission, doubled for each further one: the minimum on Linux.
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Datagrams in flight on a link, and senders that it serves.
const MAX_DATAGRAMS: usize = 4_096;
const LISTEN_BACKLOG: i32 = 1_024;
const HALF_TIMER_TICK: Duration = Duration::from_micros(500);

/// What a fault does to one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkEffect {
    Cut,
    /// New connections are refused; open ones are unaffected.
    Refuse,
    /// Both sides of a connection are reset after this many bytes in the direction.
    Reset(usize),
    /// Bytes per second.
    Slow(f64),
    Delay {
        extra: Nanos,
        jitter: Nanos,
    },
    /// Share of packets lost.
    Lossy(f64),
}

/// Active faults of one direction, each with its number.
type Faults = Vec<(u64, LinkEffect)>;

/// Active faults, forward and reverse.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkState([Faults; 2]);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting party to the other one.
    Forward = 0,
    Reverse = 1,
}

impl LinkState {
    fn faults(&self, direction: Direction) -> &Faults {
        &self.0[direction as usize]
    }

    pub fn is_cut(&self, direction: Direction) -> bool {
        self.faults(direction).iter().any(|(_, effect)| *effect == LinkEffect::Cut)
    }

    fn refuses_connections(&self) -> bool {
        self.faults(Direction::Forward).iter().any(|(_, effect)| *effect == LinkEffect::Refuse)
    }

    /// Draws a packet's delay, and whether it was lost at least once. For TCP the delay includes retransmissions; a lost
    /// datagram is not retransmitted.
    fn draw_delay(
        &self,
        direction: Direction,
        base: &DurationDistribution,
        random: &mut RandomStream,
    ) -> (Duration, bool) {
        let (mut delay, mut lost) = (base.sample(random), false);
        for (_, effect) in self.faults(direction) {
            match effect {
                LinkEffect::Delay { extra, jitter } => {
                    delay += extra + (random.sample_fraction() * *jitter as f64) as Nanos
                }
                LinkEffect::Lossy(loss_ratio) => {
                    let mut timeout = MIN_RETRANSMISSION_TIMEOUT;
                    while timeout < MIN_RETRANSMISSION_TIMEOUT * 32 && random.sample_bool(*loss_ratio) {
                        lost = true;
                        delay += timeout.as_nanos() as Nanos;
                        timeout *= 2;
                    }
                }
                _ => {}
            }
        }
        (Duration::from_nanos(delay), lost)
    }

    fn bytes_per_s(&self, direction: Direction) -> Option<f64> {
        let limits = self.faults(direction).iter().filter_map(|(_, effect)| match effect {
            LinkEffect::Slow(bytes_per_s) => Some(*bytes_per_s),
            _ => None,
        });
        limits.min_by(f64::total_cmp)
    }

    fn reset_after_bytes(&self, direction: Direction) -> Option<usize> {
        let resets = self.faults(direction).iter().filter_map(|(_, effect)| match effect {
            LinkEffect::Reset(bytes) => Some(*bytes),
            _ => None,
        });
        resets.min()
    }
}

/// A link's state, shared by its relays and the runner that injects faults.
#[derive(Clone)]
pub struct Link {
    state: watch::Sender<LinkState>,
    base_delay: DurationDistribution,
    seed: u64,
    /// Counts connections and datagram flows, each of which has its own random stream.
    streams: Arc<AtomicU64>,
    /// Bytes of datagrams received for the forward direction.
    datagram_bytes: Arc<AtomicU64>,
}

impl Link {
    /// `base_delay` is the delay of packets in each direction; random draws derive from the seed.
    pub fn new(base_delay: DurationDistribution, seed: u64) -> Link {
        Link {
            state: watch::Sender::default(),
            base_delay,
            seed,
            streams: Arc::default(),
            datagram_bytes: Arc::default(),
        }
    }

    /// Starts a fault. Its number must not be active already in this direction.
    pub fn begin_fault(&self, fault: u64, direction: Direction, effect: LinkEffect) {
        self.state.send_modify(|state| state.0[direction as usize].push((fault, effect)));
    }

    /// Ends a fault in both directions; returns whether it was active on this link.
    pub fn end_fault(&self, fault: u64) -> bool {
        self.state.send_if_modified(|state| {
            let before = state.0.iter().map(Vec::len).sum::<usize>();
            state.0.iter_mut().for_each(|faults| faults.retain(|(number, _)| *number != fault));
            state.0.iter().map(Vec::len).sum::<usize>() != before
        })
    }

    pub fn state(&self) -> LinkState {
        self.state.borrow().clone()
    }

    /// Bytes of datagrams received for the forward direction.
    pub fn datagram_bytes(&self) -> u64 {
        self.datagram_bytes.load(Ordering::Relaxed)
    }

    fn random_stream(&self, label: &str) -> RandomStream {
        let number = self.streams.fetch_add(1, Ordering::Relaxed);
        RandomStream::new(self.seed, &format!("{label} {number}"))
    }
}

/// Called with a connection's number and what passes the relay on it: when it is received from the connecting party, or
/// just before it is written to it.
pub type RelayObserver = Arc<dyn Fn(u64, RelayEvent) + Send + Sync>;

#[derive(Clone, Debug)]
pub enum RelayEvent {
    Opened,
    Forward(FramingEvent),
    Reverse(FramingEvent),
    /// The connecting party has closed the connection, or its sending side.
    Closed,
}

/// Binds a port without listening on it, so that no other process gets it; a free one if no address is given.
pub fn reserve_port(address: Option<SocketAddr>) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

/// The next connection's number, over all relays of the process.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A TCP relay in front of an address. It runs until the runtime shuts down.
pub struct TcpRelay {
    pub address: SocketAddr,
    pub link: Link,
}

impl TcpRelay {
    /// `target_alive` tells whether the target listens; while it does not, the relay refuses connections.
    pub fn start(
        target: SocketAddr,
        link: Link,
        target_alive: watch::Receiver<bool>,
        observer: RelayObserver,
    ) -> io::Result<TcpRelay> {
        let (reserved, address) = reserve_port(None)?;
        let listener = RelayListener {
            _reserved: reserved,
            address,
            target,
            link: link.clone(),
            target_alive,
            observer,
        };
        tokio::spawn(listener.run());
        Ok(TcpRelay { address, link })
    }
}

/// The listening side of a TCP relay.
struct RelayListener {
    /// Keeps the port bound while the relay does not listen.
    _reserved: Socket,
    address: SocketAddr,
    target: SocketAddr,
    link: Link,
    target_alive: watch::Receiver<bool>,
    observer: RelayObserver,
}

/// How new connections are treated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ListenerMode {
    Accepting,
    Refusing,
    /// Connection attempts hang.
    Unresponsive,
}

impl RelayListener {
    fn mode(&self) -> ListenerMode {
        let state = self.link.state.borrow();
        // A TCP handshake needs both directions.
        if state.is_cut(Direction::Forward) || state.is_cut(Direction::Reverse) {
            ListenerMode::Unresponsive
        } else if state.refuses_connections() || !*self.target_alive.borrow() {
            ListenerMode::Refusing
        } else {
            ListenerMode::Accepting
        }
    }

    fn listen(&self) -> io::Result<(Socket, TcpListener)> {
        let (socket, _) = reserve_port(Some(self.address))?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from_std(socket.try_clone()?.into())?;
        Ok((socket, listener))
    }

    async fn run(mut self) {
        let mut state_changes = self.link.state.subscribe();
        let mut listening: Option<(Socket, TcpListener)> = None;
        // The relay's own connections that keep the accept queue full while it is unresponsive.
        let mut fillers: Vec<StdStream> = Vec::new();
        loop {
            let mode = self.mode();
            match mode {
                ListenerMode::Refusing => listening = None,
                ListenerMode::Accepting | ListenerMode::Unresponsive if listening.is_none() => {
                    match self.listen() {
                        Ok(listener) => listening = Some(listener),
                        // Retried at the next state change.
                        Err(_) => sleep(Duration::from_millis(20)).await,
                    }
                }
                _ => {}
            }
            if let Some((socket, _)) = &listening {
                if mode == ListenerMode::Unresponsive && fillers.is_empty() {
                    // Connections established before the cut are accepted; their data is held.
                    let _ = socket.listen(0);
                    while let Ok((stream, _)) = socket.accept() {
                        let _ = stream.set_nonblocking(true);
                        if let Ok(stream) = TcpStream::from_std(stream.into()) {
                            tokio::spawn(relay_connection(
                                stream,
                                self.target,
                                self.link.clone(),
                                self.observer.clone(),
                            ));
                        }
                    }
                    fillers = fill_accept_queue(self.address);
                } else if mode == ListenerMode::Accepting && !fillers.is_empty() {
                    let _ = socket.listen(LISTEN_BACKLOG);
                }
            }
            if mode == ListenerMode::Refusing {
                fillers.clear();
            }
            let listener =
                listening.as_ref().filter(|_| mode == ListenerMode::Accepting).map(|(_, listener)| listener);
            tokio::select! {
                changed = state_changes.changed() => if changed.is_err() { return },
                changed = self.target_alive.changed() => if changed.is_err() { return },
                Ok((stream, from)) = async {
                    match listener {
                        Some(listener) => listener.accept().await,
                        None => std::future::pending().await,
                    }
                } => {
                    let own = fillers.iter().position(|filler| filler.local_addr().is_ok_and(|own| own == from));
                    match own {
                        Some(index) => drop(fillers.swap_remove(index)),
                        None => drop(tokio::spawn(relay_connection(
                            stream,
                            self.target,
                            self.link.clone(),
                            self.observer.clone(),
                        ))),
                    }
                }
            }
        }
    }
}

/// Fills the accept queue of a listener with a backlog of 0, so that the kernel drops further SYN packets.
fn fill_accept_queue(address: SocketAddr) -> Vec<StdStream> {
    let connect = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // Returns "in progress", as the socket is non-blocking.
        let _ = socket.connect(&address.into());
        Some(StdStream::from(socket))
    };
    // The queue holds one more than its backlog; another one waits in case one of these was accepted just before.
    (0..3).filter_map(|_| connect()).collect()
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(stream: SockRef) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn relay_connection(stream: TcpStream, target: SocketAddr, link: Link, observer: RelayObserver) {
    let number = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
    observer(number, RelayEvent::Opened);
    let Ok(upstream) = TcpStream::connect(target).await else {
        reset_on_drop(SockRef::from(&stream));
        return observer(number, RelayEvent::Closed);
    };
    // Small messages are sent at once, as they would be without a relay.
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (from_client, to_client) = stream.into_split();
    let (from_target, to_target) = upstream.into_split();
    let copier = |input, output, direction| DirectionCopier {
        input,
        output: SilentWriteHalf(Some(output)),
        direction,
        link: link.clone(),
        observer: observer.clone(),
        number,
    };
    let forward = copier(from_client, to_target, Direction::Forward).run();
    let reverse = copier(from_target, to_client, Direction::Reverse).run();
    tokio::pin!(forward, reverse);
    // A reset ends both directions at once; after an orderly end the other direction goes on until its own.
    tokio::select! {
        end = &mut forward => if end == StreamEnd::Closed { (&mut reverse).await; },
        end = &mut reverse => if end == StreamEnd::Closed { (&mut forward).await; },
    }
    observer(number, RelayEvent::Closed);
}

#[derive(PartialEq, Eq, Debug)]
enum StreamEnd {
    Closed,
    Reset,
}

/// A write half that sends no FIN when it is dropped; otherwise a FIN would precede a reset.
struct SilentWriteHalf(Option<OwnedWriteHalf>);

impl Drop for SilentWriteHalf {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(OwnedWriteHalf::forget);
    }
}

/// Copies one direction of a connection.
struct DirectionCopier {
    input: OwnedReadHalf,
    output: SilentWriteHalf,
    direction: Direction,
    link: Link,
    observer: RelayObserver,
    number: u64,
}

impl DirectionCopier {
    async fn run(mut self) -> StreamEnd {
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        let Some(output) = &mut self.output.0 else { return StreamEnd::Reset };
        let end = {
            let reading =
                read_chunks(&mut self.input, self.direction, &self.link, &self.observer, self.number, sender);
            let writing =
                write_chunks(output, self.direction, &self.link, &self.observer, self.number, receiver);
            tokio::pin!(reading, writing);
            tokio::select! {
                read = &mut reading => {
                    let written = writing.await;
                    if read == StreamEnd::Reset { read } else { written }
                }
                // The receiving party closed before the sending one.
                written = &mut writing => written,
            }
        };
        match end {
            StreamEnd::Closed => drop(output.shutdown().await),
            StreamEnd::Reset => {
                reset_on_drop(SockRef::from(output.as_ref()));
                reset_on_drop(SockRef::from(self.input.as_ref()));
            }
        }
        end
    }
}

/// Bytes with the time at which they are to be written.
type Chunk = (Instant, Vec<u8>);

async fn read_chunks(
    input: &mut OwnedReadHalf,
    direction: Direction,
    link: &Link,
    observer: &RelayObserver,
    number: u64,
    chunks: mpsc::Sender<Chunk>,
) -> StreamEnd {
    let mut random = link.random_stream("pump");
    let mut framer = MessageFramer::default();
    let (mut last_due, mut buffer) = (Instant::now(), vec![0; READ_BUFFER_BYTES]);
    loop {
        let count = match input.read(&mut buffer).await {
            Ok(0) => {
                if direction == Direction::Forward {
                    observer(number, RelayEvent::Closed);
                }
                return StreamEnd::Closed;
            }
            Ok(count) => count,
            Err(_) => return StreamEnd::Reset,
        };
        if direction == Direction::Forward {
            framer.feed(&buffer[..count], |event| observer(number, RelayEvent::Forward(event)));
        }
        let (delay, _) = link.state.borrow().draw_delay(direction, &link.base_delay, &mut random);
        // TCP keeps the order.
        last_due = last_due.max(Instant::now() + delay);
        if chunks.send((last_due, buffer[..count].to_vec())).await.is_err() {
            return StreamEnd::Reset;
        }
    }
}

async fn write_chunks(
    output: &mut OwnedWriteHalf,
    direction: Direction,
    link: &Link,
    observer: &RelayObserver,
    number: u64,
    mut chunks: mpsc::Receiver<Chunk>,
) -> StreamEnd {
    let mut state_changes = link.state.subscribe();
    let (mut framer, mut bytes_written) = (MessageFramer::default(), 0);
    while let Some((due, bytes)) = chunks.recv().await {
        // Timers round up to whole milliseconds: this rounds a delay to the nearest one instead, and none to none.
        if due > Instant::now() + HALF_TIMER_TICK {
            sleep_until(due - HALF_TIMER_TICK).await;
        }
        let _ = state_changes.wait_for(|state| !state.is_cut(direction)).await;
        let (reset_after, bytes_per_s) = {
            let state = link.state.borrow();
            (state.reset_after_bytes(direction), state.bytes_per_s(direction))
        };
        if let Some(bytes_per_s) = bytes_per_s {
            sleep(Duration::from_secs_f64(bytes.len() as f64 / bytes_per_s)).await;
        }
        let count =
            reset_after.map_or(bytes.len(), |after| after.saturating_sub(bytes_written).min(bytes.len()));
        // Observed before it is written: the recipient may react before this task runs again, and a request that it then
        // sends again would seem to precede the response.
        if direction == Direction::Reverse {
            framer.feed(&bytes[..count], |event| observer(number, RelayEvent::Reverse(event)));
        }
        if output.write_all(&bytes[..count]).await.is_err() {
            return StreamEnd::Reset;
        }
        bytes_written += count;
        if reset_after.is_some_and(|after| bytes_written >= after) {
            return StreamEnd::Reset;
        }
    }
    // A FIN is a packet too, and does not pass a cut.
    let _ = state_changes.wait_for(|state| !state.is_cut(direction)).await;
    StreamEnd::Closed
}

/// A UDP relay in front of an address, which may lose, duplicate, delay and reorder datagrams. Each sender has its own
/// socket towards the target, so that replies are returned to it.
pub struct UdpRelay {
    pub address: SocketAddr,
    pub link: Link,
}

impl UdpRelay {
    pub async fn start(target: SocketAddr, link: Link) -> io::Result<UdpRelay> {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = front.local_addr()?;
        tokio::spawn(relay_datagrams(front, target, link.clone()));
        Ok(UdpRelay { address, link })
    }
}

async fn relay_datagrams(front: Arc<UdpSocket>, target: SocketAddr, link: Link) {
    let in_flight_permits = Arc::new(tokio::sync::Semaphore::new(MAX_DATAGRAMS));
    let mut target_sockets = HashMap::<SocketAddr, Arc<UdpSocket>>::new();
    let mut random = link.random_stream("there");
    let mut buffer = vec![0; 65_536];
    loop {
        // Errors here are ICMP "port unreachable" notices for earlier datagrams.
        let Ok((count, from)) = front.recv_from(&mut buffer).await else { continue };
        link.datagram_bytes.fetch_add(count as u64, Ordering::Relaxed);
        let socket = match target_sockets.get(&from) {
            Some(socket) => socket.clone(),
            None => {
                let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { continue };
                if socket.connect(target).await.is_err() || target_sockets.len() >= MAX_DATAGRAMS {
                    continue;
                }
                let socket = Arc::new(socket);
                target_sockets.insert(from, socket.clone());
                tokio::spawn(relay_replies(
                    socket.clone(),
                    front.clone(),
                    from,
                    link.clone(),
                    in_flight_permits.clone(),
                ));
                socket
            }
        };
        let bytes = buffer[..count].to_vec();
        relay_datagram(&link, Direction::Forward, &mut random, &in_flight_permits, bytes, move |bytes| {
            // UDP gives no guarantee: a datagram that can't be sent is lost.
            let _ = socket.try_send(&bytes);
        });
    }
}

async fn relay_replies(
    target_socket: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    sender: SocketAddr,
    link: Link,
    in_flight_permits: Arc<tokio::sync::Semaphore>,
) {
    let (mut buffer, mut random) = (vec![0; 65_536], link.random_stream("back"));
    loop {
        // Errors here are ICMP "port unreachable" notices for earlier datagrams.
        let Ok(count) = target_socket.recv(&mut buffer).await else { continue };
        let front = front.clone();
        let bytes = buffer[..count].to_vec();
        relay_datagram(&link, Direction::Reverse, &mut random, &in_flight_permits, bytes, move |bytes| {
            let _ = front.try_send_to(&bytes, sender);
        });
    }
}

/// Sends a datagram zero, one or two times, each after its own delay.
fn relay_datagram(
    link: &Link,
    direction: Direction,
    random: &mut RandomStream,
    in_flight_permits: &Arc<tokio::sync::Semaphore>,
    bytes: Vec<u8>,
    send: impl Fn(Vec<u8>) + Send + Sync + 'static,
) {
    let state = link.state();
    if state.is_cut(direction) || state.refuses_connections() {
        return;
    }
    let send = Arc::new(send);
    // A lossy link also duplicates datagrams, half as often as it loses them.
    let loss_ratio = state.faults(direction).iter().find_map(|(_, effect)| match effect {
        LinkEffect::Lossy(loss_ratio) => Some(*loss_ratio),
        _ => None,
    });
    let duplicated = loss_ratio.is_some_and(|loss_ratio| random.sample_bool(loss_ratio / 2.0));
    for _ in 0..1 + usize::from(duplicated) {
        let (delay, lost) = state.draw_delay(direction, &link.base_delay, random);
        let Ok(permit) = in_flight_permits.clone().try_acquire_owned() else { continue };
        if lost {
            continue;
        }
        let (bytes, send) = (bytes.clone(), send.clone());
        tokio::spawn(async move {
            sleep(delay).await;
            send(bytes);
            drop(permit);
        });
    }
}
