//! What lies between two parties: the state of the way there and of the way back, changed by faults that may overlap,
//! and the relays that carry TCP and UDP by it. It owns what is under way, within bounds, and must never drop, double or
//! change a byte but by a fault.
//!
//! A cut is as silent as a real one: bytes under way are held, and a new connection never comes up, for the listener's
//! queue is kept full and the system drops what knocks. A refusal comes from the system too: the port is kept, and nobody
//! listens on it. So whoever connects learns no more and no less than it would from a network.

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

use crate::http::{Framer, Seen};

/// Bytes read at once, and how many such pieces one way may hold.
const PIECE: usize = 8 << 10;
const HELD: usize = 32;
/// What a lost packet waits for until it is sent again, doubled each time: TCP's least on Linux.
const SENT_AGAIN: Duration = Duration::from_millis(200);
/// Datagrams that may be under way on a link at once.
const MOST_DATAGRAMS: usize = 4_096;
const BACKLOG: i32 = 1_024;
const HALF_TICK: Duration = Duration::from_micros(500);

/// What a fault does to one way of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Cut,
    /// New connections are refused; those that are open stay.
    Refuse,
    /// A reset of both sides once so many bytes of a connection went that way.
    Reset(usize),
    /// Bytes a second.
    Slow(f64),
    Delay {
        more: Nanos,
        jitter: Nanos,
    },
    Lossy(f64),
}

/// One way's faults, by the number of each.
type Faults = Vec<(u64, Effect)>;

/// There and back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ways([Faults; 2]);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    There = 0,
    Back = 1,
}

impl Ways {
    fn has(&self, to: To, what: impl Fn(&Effect) -> bool) -> bool {
        self.0[to as usize].iter().any(|(_, effect)| what(effect))
    }

    pub fn cut(&self, to: To) -> bool {
        self.has(to, |effect| *effect == Effect::Cut)
    }

    fn refuses(&self) -> bool {
        self.has(To::There, |effect| *effect == Effect::Refuse)
    }

    /// How much later what is sent that way comes, by chance; and whether the network lost it on the way, so that TCP has
    /// sent it again and UDP has not.
    fn later(&self, to: To, base: &DurationDistribution, chance: &mut RandomStream) -> (Duration, bool) {
        let (mut span, mut lost) = (base.sample(chance), false);
        for (_, effect) in &self.0[to as usize] {
            match effect {
                Effect::Delay { more, jitter } => {
                    span += more + (chance.sample_fraction() * *jitter as f64) as Nanos
                }
                Effect::Lossy(part) => {
                    let mut wait = SENT_AGAIN;
                    while wait < SENT_AGAIN * 32 && chance.sample_bool(*part) {
                        lost = true;
                        span += wait.as_nanos() as Nanos;
                        wait *= 2;
                    }
                }
                _ => {}
            }
        }
        (Duration::from_nanos(span), lost)
    }

    fn per_s(&self, to: To) -> Option<f64> {
        let slow = self.0[to as usize].iter().filter_map(|(_, effect)| match effect {
            Effect::Slow(per_s) => Some(*per_s),
            _ => None,
        });
        slow.min_by(f64::total_cmp)
    }

    fn reset_after(&self, to: To) -> Option<usize> {
        let resets = self.0[to as usize].iter().filter_map(|(_, effect)| match effect {
            Effect::Reset(bytes) => Some(*bytes),
            _ => None,
        });
        resets.min()
    }
}

/// A link's state, shared by those that carry and those that change it.
#[derive(Clone)]
pub struct Link {
    ways: watch::Sender<Ways>,
    base: DurationDistribution,
    seed: u64,
    connections: Arc<AtomicU64>,
    /// Bytes of datagrams that came to be carried there.
    datagrams: Arc<AtomicU64>,
}

impl Link {
    /// One whose packets take so long each way; chance comes from the seed.
    pub fn new(base: DurationDistribution, seed: u64) -> Link {
        Link {
            ways: watch::Sender::default(),
            base,
            seed,
            connections: Arc::default(),
            datagrams: Arc::default(),
        }
    }

    /// A fault begins. Its number must be in use once at most on each way.
    pub fn begin(&self, fault: u64, to: To, effect: Effect) {
        self.ways.send_modify(|ways| ways.0[to as usize].push((fault, effect)));
    }

    /// A fault is over, both ways; whether it was on this link.
    pub fn end(&self, fault: u64) -> bool {
        self.ways.send_if_modified(|ways| {
            let before = ways.0.iter().map(Vec::len).sum::<usize>();
            ways.0.iter_mut().for_each(|way| way.retain(|(number, _)| *number != fault));
            ways.0.iter().map(Vec::len).sum::<usize>() != before
        })
    }

    pub fn ways(&self) -> Ways {
        self.ways.borrow().clone()
    }

    /// How many bytes of datagrams came to be carried there.
    pub fn datagrams(&self) -> u64 {
        self.datagrams.load(Ordering::Relaxed)
    }

    fn chance(&self, what: &str) -> RandomStream {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        RandomStream::new(self.seed, &format!("{what} {number}"))
    }
}

/// Told what passes a relay: on which connection, which way, and what; at the sender's side for what goes there, at the
/// receiver's for what comes back.
pub type Watcher = Arc<dyn Fn(u64, Passed) + Send + Sync>;

#[derive(Clone, Debug)]
pub enum Passed {
    Opened,
    There(Seen),
    Back(Seen),
    /// Whoever connected has ended its sending, or the connection.
    Ended,
}

/// Keeps a port from everybody: bound, with nobody listening.
pub fn keep(address: Option<SocketAddr>) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

/// Numbers connections over all relays of a process.
static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A relay before an address, for TCP. It ends with the runtime.
pub struct Relay {
    pub address: SocketAddr,
    pub link: Link,
}

impl Relay {
    /// `alive` tells whether somebody listens behind it: where nobody does, it refuses.
    pub fn start(
        to: SocketAddr,
        link: Link,
        alive: watch::Receiver<bool>,
        watcher: Watcher,
    ) -> io::Result<Relay> {
        let (kept, address) = keep(None)?;
        let gate = Gate { _kept: kept, address, to, link: link.clone(), alive, watcher };
        tokio::spawn(gate.run());
        Ok(Relay { address, link })
    }
}

/// A relay's door.
struct Gate {
    /// Holds the port for as long as the door stands, also while nobody listens.
    _kept: Socket,
    address: SocketAddr,
    to: SocketAddr,
    link: Link,
    alive: watch::Receiver<bool>,
    watcher: Watcher,
}

/// How a door stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Door {
    Open,
    Refusing,
    Silent,
}

impl Gate {
    fn door(&self) -> Door {
        let ways = self.link.ways.borrow();
        // A connection comes up only where packets pass both ways.
        if ways.cut(To::There) || ways.cut(To::Back) {
            Door::Silent
        } else if ways.refuses() || !*self.alive.borrow() {
            Door::Refusing
        } else {
            Door::Open
        }
    }

    fn listen(&self) -> io::Result<(Socket, TcpListener)> {
        let (socket, _) = keep(Some(self.address))?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from_std(socket.try_clone()?.into())?;
        Ok((socket, listener))
    }

    async fn run(mut self) {
        let mut ways = self.link.ways.subscribe();
        let mut open: Option<(Socket, TcpListener)> = None;
        // Connections of our own that keep a silent door's queue full.
        let mut fillers: Vec<StdStream> = Vec::new();
        loop {
            let door = self.door();
            match door {
                Door::Refusing => open = None,
                Door::Open | Door::Silent if open.is_none() => match self.listen() {
                    Ok(listener) => open = Some(listener),
                    // Nobody can come; tried again with the next change.
                    Err(_) => sleep(Duration::from_millis(20)).await,
                },
                _ => {}
            }
            if let Some((socket, _)) = &open {
                if door == Door::Silent && fillers.is_empty() {
                    // Those that came up before are let in: they are open, and silent from now on.
                    let _ = socket.listen(0);
                    while let Ok((stream, _)) = socket.accept() {
                        let _ = stream.set_nonblocking(true);
                        if let Ok(stream) = TcpStream::from_std(stream.into()) {
                            tokio::spawn(carry(stream, self.to, self.link.clone(), self.watcher.clone()));
                        }
                    }
                    fillers = fill(self.address);
                } else if door == Door::Open && !fillers.is_empty() {
                    let _ = socket.listen(BACKLOG);
                }
            }
            if door == Door::Refusing {
                fillers.clear();
            }
            let listener = open.as_ref().filter(|_| door == Door::Open).map(|(_, listener)| listener);
            tokio::select! {
                changed = ways.changed() => if changed.is_err() { return },
                changed = self.alive.changed() => if changed.is_err() { return },
                Ok((stream, from)) = async {
                    match listener {
                        Some(listener) => listener.accept().await,
                        None => std::future::pending().await,
                    }
                } => {
                    let own = fillers.iter().position(|filler| filler.local_addr().is_ok_and(|own| own == from));
                    match own {
                        Some(at) => drop(fillers.swap_remove(at)),
                        None => drop(tokio::spawn(carry(stream, self.to, self.link.clone(), self.watcher.clone()))),
                    }
                }
            }
        }
    }
}

/// Fills the queue of a listener that takes no more than one, so that the system drops whatever else knocks.
fn fill(address: SocketAddr) -> Vec<StdStream> {
    let filler = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // In progress, as it does not wait.
        let _ = socket.connect(&address.into());
        Some(StdStream::from(socket))
    };
    // The queue takes one more than its length; another waits in case one of ours was accepted just before.
    (0..3).filter_map(|_| filler()).collect()
}

/// The connection ends with a reset once it is dropped.
fn will_reset(stream: SockRef) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn carry(stream: TcpStream, to: SocketAddr, link: Link, watcher: Watcher) {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    watcher(number, Passed::Opened);
    let Ok(other) = TcpStream::connect(to).await else {
        will_reset(SockRef::from(&stream));
        return watcher(number, Passed::Ended);
    };
    // Small messages go at once, as they would without a relay.
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_srv, to_srv) = other.into_split();
    let pump = |from, out, to| Pump {
        from,
        out: Out(Some(out)),
        to,
        link: link.clone(),
        watcher: watcher.clone(),
        number,
    };
    let there = pump(from_caller, to_srv, To::There).run();
    let back = pump(from_srv, to_caller, To::Back).run();
    tokio::pin!(there, back);
    // A reset ends both ways at once; an end goes on until both have had theirs.
    tokio::select! {
        end = &mut there => if end == End::Quiet { (&mut back).await; },
        end = &mut back => if end == End::Quiet { (&mut there).await; },
    }
    watcher(number, Passed::Ended);
}

#[derive(PartialEq, Eq, Debug)]
enum End {
    Quiet,
    Reset,
}

/// The half to write to, which says nothing when it is dropped: else an end would go out before a reset.
struct Out(Option<OwnedWriteHalf>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(OwnedWriteHalf::forget);
    }
}

/// One way of a connection.
struct Pump {
    from: OwnedReadHalf,
    out: Out,
    to: To,
    link: Link,
    watcher: Watcher,
    number: u64,
}

impl Pump {
    async fn run(mut self) -> End {
        let (pieces, arriving) = mpsc::channel(HELD);
        let Some(out) = &mut self.out.0 else { return End::Reset };
        let end = {
            let reading = read(&mut self.from, self.to, &self.link, &self.watcher, self.number, pieces);
            let writing = write(out, self.to, &self.link, &self.watcher, self.number, arriving);
            tokio::pin!(reading, writing);
            tokio::select! {
                read = &mut reading => {
                    let written = writing.await;
                    if read == End::Reset { read } else { written }
                }
                // It gave up before the sender did.
                written = &mut writing => written,
            }
        };
        match end {
            End::Quiet => drop(out.shutdown().await),
            End::Reset => {
                will_reset(SockRef::from(out.as_ref()));
                will_reset(SockRef::from(self.from.as_ref()));
            }
        }
        end
    }
}

/// A piece with the time that it comes out at.
type Piece = (Instant, Vec<u8>);

async fn read(
    from: &mut OwnedReadHalf,
    to: To,
    link: &Link,
    watcher: &Watcher,
    number: u64,
    pieces: mpsc::Sender<Piece>,
) -> End {
    let mut chance = link.chance("pump");
    let mut framer = Framer::default();
    let (mut last, mut piece) = (Instant::now(), vec![0; PIECE]);
    loop {
        let count = match from.read(&mut piece).await {
            Ok(0) => {
                if to == To::There {
                    watcher(number, Passed::Ended);
                }
                return End::Quiet;
            }
            Ok(count) => count,
            Err(_) => return End::Reset,
        };
        if to == To::There {
            framer.follow(&piece[..count], |seen| watcher(number, Passed::There(seen)));
        }
        let (later, _) = link.ways.borrow().later(to, &link.base, &mut chance);
        // In order: what was sent first comes first.
        last = last.max(Instant::now() + later);
        if pieces.send((last, piece[..count].to_vec())).await.is_err() {
            return End::Reset;
        }
    }
}

async fn write(
    out: &mut OwnedWriteHalf,
    to: To,
    link: &Link,
    watcher: &Watcher,
    number: u64,
    mut arriving: mpsc::Receiver<Piece>,
) -> End {
    let mut ways = link.ways.subscribe();
    let (mut framer, mut gone) = (Framer::default(), 0);
    while let Some((due, bytes)) = arriving.recv().await {
        // Timers go by whole milliseconds and round up: a delay is rounded to the nearest instead, and none is none.
        if due > Instant::now() + HALF_TICK {
            sleep_until(due - HALF_TICK).await;
        }
        let _ = ways.wait_for(|ways| !ways.cut(to)).await;
        let (reset, per_s) = {
            let ways = link.ways.borrow();
            (ways.reset_after(to), ways.per_s(to))
        };
        if let Some(per_s) = per_s {
            sleep(Duration::from_secs_f64(bytes.len() as f64 / per_s)).await;
        }
        let most = reset.map_or(bytes.len(), |after| after.saturating_sub(gone).min(bytes.len()));
        // Noted first: who gets it may act on it before this task has its next turn, and a req sent again at once would
        // look as if it had been sent before the answer came.
        if to == To::Back {
            framer.follow(&bytes[..most], |seen| watcher(number, Passed::Back(seen)));
        }
        if out.write_all(&bytes[..most]).await.is_err() {
            return End::Reset;
        }
        gone += most;
        if reset.is_some_and(|after| gone >= after) {
            return End::Reset;
        }
    }
    // The end is a packet too.
    let _ = ways.wait_for(|ways| !ways.cut(to)).await;
    End::Quiet
}

/// A relay before an address, for UDP: it may lose, double, delay and reorder. Each sender has a port of its own on the
/// far side, so that answers find their way back.
pub struct UdpRelay {
    pub address: SocketAddr,
    pub link: Link,
}

impl UdpRelay {
    pub async fn start(to: SocketAddr, link: Link) -> io::Result<UdpRelay> {
        let near = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = near.local_addr()?;
        tokio::spawn(relay_datagrams(near, to, link.clone()));
        Ok(UdpRelay { address, link })
    }
}

async fn relay_datagrams(near: Arc<UdpSocket>, to: SocketAddr, link: Link) {
    let room = Arc::new(tokio::sync::Semaphore::new(MOST_DATAGRAMS));
    let (mut far, mut chance) = (HashMap::<SocketAddr, Arc<UdpSocket>>::new(), link.chance("there"));
    let mut bytes = vec![0; 65_536];
    loop {
        // An error here is a port with nobody on it, told by the system.
        let Ok((count, from)) = near.recv_from(&mut bytes).await else { continue };
        link.datagrams.fetch_add(count as u64, Ordering::Relaxed);
        let socket = match far.get(&from) {
            Some(socket) => socket.clone(),
            None => {
                let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { continue };
                if socket.connect(to).await.is_err() || far.len() >= MOST_DATAGRAMS {
                    continue;
                }
                let socket = Arc::new(socket);
                far.insert(from, socket.clone());
                tokio::spawn(answers(socket.clone(), near.clone(), from, link.clone(), room.clone()));
                socket
            }
        };
        datagram(&link, To::There, &mut chance, &room, bytes[..count].to_vec(), move |bytes| {
            // UDP promises nothing: what can't be sent is lost.
            let _ = socket.try_send(&bytes);
        });
    }
}

async fn answers(
    far: Arc<UdpSocket>,
    near: Arc<UdpSocket>,
    to: SocketAddr,
    link: Link,
    room: Arc<tokio::sync::Semaphore>,
) {
    let (mut bytes, mut chance) = (vec![0; 65_536], link.chance("back"));
    loop {
        // An error here is a port with nobody on it, told by the system.
        let Ok(count) = far.recv(&mut bytes).await else { continue };
        let near = near.clone();
        datagram(&link, To::Back, &mut chance, &room, bytes[..count].to_vec(), move |bytes| {
            let _ = near.try_send_to(&bytes, to);
        });
    }
}

/// Sends a datagram as the link has it: never, once or twice, and each by its own delay.
fn datagram(
    link: &Link,
    to: To,
    chance: &mut RandomStream,
    room: &Arc<tokio::sync::Semaphore>,
    bytes: Vec<u8>,
    send: impl Fn(Vec<u8>) + Send + Sync + 'static,
) {
    let ways = link.ways();
    if ways.cut(to) || ways.refuses() {
        return;
    }
    let send = Arc::new(send);
    // Where datagrams are lost they come twice as well, half as often.
    let lossy = ways.0[to as usize].iter().find_map(|(_, effect)| match effect {
        Effect::Lossy(part) => Some(*part),
        _ => None,
    });
    let twice = lossy.is_some_and(|part| chance.sample_bool(part / 2.0));
    for _ in 0..1 + usize::from(twice) {
        let (later, lost) = ways.later(to, &link.base, chance);
        let Ok(room) = room.clone().try_acquire_owned() else { continue };
        if lost {
            continue;
        }
        let (bytes, send) = (bytes.clone(), send.clone());
        tokio::spawn(async move {
            sleep(later).await;
            send(bytes);
            drop(room);
        });
    }
}
