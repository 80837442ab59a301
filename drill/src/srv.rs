//! A srv in real time: the emulator's station behind a listener. It owns its queue, its cold start and its drains, notes
//! each effect by the req's id, and must never work on a req twice by itself.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ochreshed_emulator::random::RandomStream;
use ochreshed_emulator::scenario::Tier;
use ochreshed_emulator::service_queue::{Admission, ServiceQueue};
use ochreshed_emulator::{MS, Nanos};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

use crate::http::{Message, answer};
use crate::log::{Event, Log, held};

/// What breaks the rules on purpose, for tests of the auditor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Broken {
    #[default]
    No,
    /// Each req is worked on twice.
    RunsTwice,
}

#[derive(Clone)]
pub struct Srv {
    pub number: usize,
    pub address: SocketAddr,
    /// Whether its process is there.
    pub alive: watch::Sender<bool>,
    inner: Arc<Mutex<Inner>>,
    tier: Arc<Tier>,
    log: Log,
    broken: Broken,
}

struct Inner {
    station: ServiceQueue,
    /// The station's time, which never goes back.
    clock: Nanos,
    waiting: HashMap<u64, oneshot::Sender<Nanos>>,
    /// Later ends of jobs under way.
    moved: HashMap<u64, Nanos>,
    next: u64,
    draining: bool,
    fails_at_once: bool,
    cold_until: Nanos,
    /// How many times as long its work takes, and the parts that fail or are cut off.
    times: f64,
    failing: f64,
    resets: f64,
    chance: RandomStream,
    /// The listener and the connections of its process.
    tasks: Vec<AbortHandle>,
}

impl Srv {
    /// One that stands warm from the start.
    pub async fn start(
        number: usize,
        tier: Arc<Tier>,
        seed: u64,
        log: Log,
        broken: Broken,
    ) -> io::Result<Srv> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let inner = Inner {
            station: ServiceQueue::new(tier.queue_config(), 0),
            clock: 0,
            waiting: HashMap::new(),
            moved: HashMap::new(),
            next: 0,
            draining: false,
            fails_at_once: false,
            cold_until: 0,
            times: 1.0,
            failing: tier.failure_fraction,
            resets: 0.0,
            chance: RandomStream::new(seed, &format!("srv {number}")),
            tasks: Vec::new(),
        };
        let address = listener.local_addr()?;
        let (alive, inner) = (watch::Sender::new(true), Arc::new(Mutex::new(inner)));
        let srv = Srv { number, address, alive, inner, tier, log, broken };
        srv.serve(listener);
        Ok(srv)
    }

    fn serve(&self, listener: TcpListener) {
        let srv = self.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let task = tokio::spawn(srv.clone().connection(stream));
                let mut inner = held(&srv.inner);
                inner.tasks.retain(|task| !task.is_finished());
                inner.tasks.push(task.abort_handle());
            }
        });
        held(&self.inner).tasks.push(task.abort_handle());
    }

    /// Its process ends with all that it holds.
    pub fn die(&self) {
        self.alive.send_replace(false);
        let mut inner = held(&self.inner);
        inner.tasks.drain(..).for_each(|task| task.abort());
        inner.waiting.clear();
        inner.moved.clear();
        inner.draining = false;
    }

    /// A process is there again, cold.
    pub async fn come_back(&self) -> io::Result<()> {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(why) if tries > 50 => return Err(why),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let now = self.log.now();
        {
            let mut inner = held(&self.inner);
            inner.station = ServiceQueue::new(self.tier.queue_config(), now);
            inner.cold_until = now + self.tier.slow_start.map_or(0, |cold| cold.duration);
        }
        self.serve(listener);
        self.alive.send_replace(true);
        Ok(())
    }

    pub fn drain(&self, draining: bool) {
        held(&self.inner).draining = draining;
    }

    pub fn slow(&self, times: f64) {
        held(&self.inner).times = times;
    }

    /// Answers at once, with errors.
    pub fn fail(&self, fails: bool) {
        held(&self.inner).fails_at_once = fails;
    }

    /// The part of its answers that is cut off.
    pub fn reset(&self, part: f64) {
        held(&self.inner).resets = part;
    }

    /// Stands still until then.
    pub fn pause(&self, until: Nanos) {
        let mut inner = held(&self.inner);
        let now = inner.now(self.log.now());
        let moved = inner.station.pause(now, until);
        inner.moved.extend(moved);
    }

    /// To be called when a pause is over.
    pub fn go_on(&self) {
        let mut inner = held(&self.inner);
        let now = inner.now(self.log.now());
        let started = inner.station.start_waiting_jobs(now);
        inner.tell(started);
    }

    async fn connection(self, mut stream: TcpStream) {
        while let Ok(message) = Message::read(&mut stream).await {
            let Some(id) = message.head.hex("x-call-id") else {
                let _ = stream.write_all(&answer(404, "", "")).await;
                continue;
            };
            let budget = message.head.header("x-budget").and_then(|budget| budget.parse::<f64>().ok());
            let Some(reply) = self.work(&mut stream, id, budget.unwrap_or(60.0)).await else { return };
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
    }

    /// Nothing where the connection is to break.
    async fn work(&self, stream: &mut TcpStream, id: u64, budget: f64) -> Option<Vec<u8>> {
        let turned_away = || Some(answer(503, "x-rejected: 1\r\n", ""));
        let until = Instant::now() + Duration::from_secs_f64(budget.clamp(0.0, 600.0));
        let (job, mut ends) = {
            let mut inner = held(&self.inner);
            let now = inner.now(self.log.now());
            let work = (self.tier.work_time.sample(&mut inner.chance) as f64 * inner.times) as Nanos;
            let can = inner.station.speed_at(now) * self.tier.slots as f64;
            let cold = now < inner.cold_until;
            self.log.note(Event::Arrived { id, srv: self.number, work: work as f64 / 1e9, can, cold });
            if inner.fails_at_once {
                self.log.note(Event::Ran { id, srv: self.number });
                return Some(answer(500, "", ""));
            }
            if inner.draining || budget <= 0.0 {
                return turned_away();
            }
            inner.next += 1;
            let job = inner.next;
            match inner.station.submit(now, job, work) {
                Admission::Rejected => return turned_away(),
                Admission::Started { ends_at: ends } => (job, Ok(ends)),
                Admission::Queued => {
                    let (started, starts) = oneshot::channel();
                    inner.waiting.insert(job, started);
                    (job, Err(starts))
                }
            }
        };
        // A connection that ends takes back what waits, as does its time.
        if let Err(starts) = &mut ends {
            let mut byte = [0; 1];
            let started = tokio::select! {
                started = starts => started.ok(),
                _ = stream.peek(&mut byte) => None,
                () = sleep_until(until.into()) => None,
            };
            ends = match started {
                Some(ends) => Ok(ends),
                None => {
                    let mut inner = held(&self.inner);
                    let now = inner.now(self.log.now());
                    // It may have started just now: then it runs.
                    if inner.waiting.remove(&job).is_some() {
                        let (_, started) = inner.station.cancel_job(now, job);
                        inner.tell(started);
                        return turned_away();
                    }
                    Ok(now + MS)
                }
            };
        }
        self.log.note(Event::Ran { id, srv: self.number });
        if self.broken == Broken::RunsTwice {
            self.log.note(Event::Ran { id, srv: self.number });
        }
        // A pause moves the end while it sleeps.
        let (mut next, mut ended) = (ends.ok(), 0);
        while let Some(ends) = next {
            sleep_until(self.log.instant(ends).into()).await;
            (next, ended) = (held(&self.inner).moved.remove(&job), ends);
        }
        let mut inner = held(&self.inner);
        // Its slot is free from when it was to end: what a timer is late by must not cost the srv work.
        let now = inner.now(ended);
        let started = inner.station.finish_job(now, job);
        inner.tell(started);
        let (resets, failing) = (inner.resets, inner.failing);
        if inner.chance.sample_bool(resets) {
            return None;
        }
        let failed = inner.chance.sample_bool(failing);
        Some(if failed { answer(500, "", "") } else { answer(200, "", &format!("{id:x}")) })
    }
}

impl Inner {
    fn now(&mut self, now: Nanos) -> Nanos {
        self.clock = self.clock.max(now);
        self.clock
    }

    /// Those that wait are told that they start, and when they end.
    fn tell(&mut self, started: Vec<(u64, Nanos)>) {
        for (job, ends) in started {
            if let Some(waits) = self.waiting.remove(&job) {
                // Nobody waits any more where the connection has just ended; its slot is given up by `work`.
                let _ = waits.send(ends);
            }
        }
    }
}
