//! A server emulated in real time: the emulator's service queue behind a TCP listener, with its queue, slow start and drains. It
//! records each execution under the request's id, and executes each request once.

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

use crate::event_log::{Event, EventLog, lock};
use crate::http::{Message, encode_response};

/// A deliberate rule violation, for tests of the auditor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerDefect {
    #[default]
    None,
    /// Each request is executed twice.
    ExecutesTwice,
}

#[derive(Clone)]
pub struct EmulatedServer {
    pub number: usize,
    pub address: SocketAddr,
    /// Whether its process runs.
    pub alive: watch::Sender<bool>,
    state: Arc<Mutex<ServerState>>,
    tier: Arc<Tier>,
    log: EventLog,
    defect: ServerDefect,
}

struct ServerState {
    queue: ServiceQueue,
    /// The queue's time, which never goes back.
    clock: Nanos,
    /// By queued job: notified of the end time when the job starts.
    queued: HashMap<u64, oneshot::Sender<Nanos>>,
    /// New end times of running jobs that a pause has delayed.
    delayed_ends: HashMap<u64, Nanos>,
    last_job: u64,
    draining: bool,
    /// Answers at once, with errors.
    fails_at_once: bool,
    slow_start_until: Nanos,
    work_factor: f64,
    error_ratio: f64,
    reset_ratio: f64,
    random: RandomStream,
    /// The listener and the connections of its process.
    tasks: Vec<AbortHandle>,
}

impl EmulatedServer {
    /// Starts a server that is past slow start.
    pub async fn start(
        number: usize,
        tier: Arc<Tier>,
        seed: u64,
        log: EventLog,
        defect: ServerDefect,
    ) -> io::Result<EmulatedServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = ServerState {
            queue: ServiceQueue::new(tier.queue_config(), 0),
            clock: 0,
            queued: HashMap::new(),
            delayed_ends: HashMap::new(),
            last_job: 0,
            draining: false,
            fails_at_once: false,
            slow_start_until: 0,
            work_factor: 1.0,
            error_ratio: tier.failure_fraction,
            reset_ratio: 0.0,
            random: RandomStream::new(seed, &format!("srv {number}")),
            tasks: Vec::new(),
        };
        let address = listener.local_addr()?;
        let (alive, state) = (watch::Sender::new(true), Arc::new(Mutex::new(state)));
        let server = EmulatedServer { number, address, alive, state, tier, log, defect };
        server.serve(listener);
        Ok(server)
    }

    fn serve(&self, listener: TcpListener) {
        let server = self.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let task = tokio::spawn(server.clone().serve_connection(stream));
                let mut state = lock(&server.state);
                state.tasks.retain(|task| !task.is_finished());
                state.tasks.push(task.abort_handle());
            }
        });
        lock(&self.state).tasks.push(task.abort_handle());
    }

    /// Ends its process with all its connections and jobs.
    pub fn kill(&self) {
        self.alive.send_replace(false);
        let mut state = lock(&self.state);
        state.tasks.drain(..).for_each(|task| task.abort());
        state.queued.clear();
        state.delayed_ends.clear();
        state.draining = false;
    }

    /// Starts a new process at the same address, in slow start.
    pub async fn restart(&self) -> io::Result<()> {
        let mut retries = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(error) if retries > 50 => return Err(error),
                Err(_) => retries += 1,
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let now = self.log.now();
        {
            let mut state = lock(&self.state);
            state.queue = ServiceQueue::new(self.tier.queue_config(), now);
            state.slow_start_until = now + self.tier.slow_start.map_or(0, |slow_start| slow_start.duration);
        }
        self.serve(listener);
        self.alive.send_replace(true);
        Ok(())
    }

    pub fn set_draining(&self, draining: bool) {
        lock(&self.state).draining = draining;
    }

    /// Multiplies the work of each request.
    pub fn set_work_factor(&self, factor: f64) {
        lock(&self.state).work_factor = factor;
    }

    /// Whether it answers at once, with errors.
    pub fn set_failing_at_once(&self, fails: bool) {
        lock(&self.state).fails_at_once = fails;
    }

    /// The share of connections that are closed instead of being sent the response.
    pub fn set_reset_ratio(&self, ratio: f64) {
        lock(&self.state).reset_ratio = ratio;
    }

    /// Suspends all work until then.
    pub fn pause(&self, until: Nanos) {
        let mut state = lock(&self.state);
        let now = state.advance_clock(self.log.now());
        let delayed = state.queue.pause(now, until);
        state.delayed_ends.extend(delayed);
    }

    /// Starts queued jobs; to be called when a pause is over.
    pub fn resume(&self) {
        let mut state = lock(&self.state);
        let now = state.advance_clock(self.log.now());
        let started = state.queue.start_waiting_jobs(now);
        state.notify_started(started);
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        while let Ok(message) = Message::read(&mut stream).await {
            let Some(id) = message.head.hex_header("x-call-id") else {
                let _ = stream.write_all(&encode_response(404, "", "")).await;
                continue;
            };
            let budget = message.head.header("x-budget").and_then(|budget| budget.parse::<f64>().ok());
            let response = self.handle_request(&mut stream, id, budget.unwrap_or(60.0)).await;
            let Some(response) = response else { return };
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }

    /// Returns the response, or `None` if the connection is to be closed instead.
    async fn handle_request(&self, stream: &mut TcpStream, id: u64, budget_s: f64) -> Option<Vec<u8>> {
        let reject = || Some(encode_response(503, "x-rejected: 1\r\n", ""));
        let deadline = Instant::now() + Duration::from_secs_f64(budget_s.clamp(0.0, 600.0));
        let (job, mut end) = {
            let mut state = lock(&self.state);
            let now = state.advance_clock(self.log.now());
            let work = (self.tier.work_time.sample(&mut state.random) as f64 * state.work_factor) as Nanos;
            let capacity = state.queue.speed_at(now) * self.tier.slots as f64;
            let slow_start = now < state.slow_start_until;
            let (server, work_s) = (self.number, work as f64 / 1e9);
            self.log.record(Event::RequestReceived { id, server, work: work_s, capacity, slow_start });
            if state.fails_at_once {
                self.log.record(Event::ExecutionStarted { id, server });
                return Some(encode_response(500, "", ""));
            }
            if state.draining || budget_s <= 0.0 {
                return reject();
            }
            state.last_job += 1;
            let job = state.last_job;
            match state.queue.submit(now, job, work) {
                Admission::Rejected => return reject(),
                Admission::Started { ends_at } => (job, Ok(ends_at)),
                Admission::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    state.queued.insert(job, sender);
                    (job, Err(receiver))
                }
            }
        };
        // A queued job is withdrawn when its connection ends or its budget is used up.
        if let Err(started) = &mut end {
            let mut byte = [0; 1];
            let ends_at = tokio::select! {
                ends_at = started => ends_at.ok(),
                _ = stream.peek(&mut byte) => None,
                () = sleep_until(deadline.into()) => None,
            };
            end = match ends_at {
                Some(ends_at) => Ok(ends_at),
                None => {
                    let mut state = lock(&self.state);
                    let now = state.advance_clock(self.log.now());
                    // If it has just started, it runs.
                    if state.queued.remove(&job).is_some() {
                        let (_, started) = state.queue.cancel_job(now, job);
                        state.notify_started(started);
                        return reject();
                    }
                    Ok(now + MS)
                }
            };
        }
        self.log.record(Event::ExecutionStarted { id, server: self.number });
        if self.defect == ServerDefect::ExecutesTwice {
            self.log.record(Event::ExecutionStarted { id, server: self.number });
        }
        // A pause during the sleep delays the end.
        let (mut next_end, mut ended_at) = (end.ok(), 0);
        while let Some(ends_at) = next_end {
            sleep_until(self.log.instant_of(ends_at).into()).await;
            (next_end, ended_at) = (lock(&self.state).delayed_ends.remove(&job), ends_at);
        }
        let mut state = lock(&self.state);
        // The slot is free from the scheduled end on, so that the timer's lag costs the server no capacity.
        let now = state.advance_clock(ended_at);
        let started = state.queue.finish_job(now, job);
        state.notify_started(started);
        let (reset_ratio, error_ratio) = (state.reset_ratio, state.error_ratio);
        if state.random.sample_bool(reset_ratio) {
            return None;
        }
        let failed = state.random.sample_bool(error_ratio);
        Some(if failed { encode_response(500, "", "") } else { encode_response(200, "", &format!("{id:x}")) })
    }
}

impl ServerState {
    fn advance_clock(&mut self, now: Nanos) -> Nanos {
        self.clock = self.clock.max(now);
        self.clock
    }

    /// Notifies queued jobs that have started of their end times.
    fn notify_started(&mut self, started: Vec<(u64, Nanos)>) {
        for (job, ends_at) in started {
            if let Some(sender) = self.queued.remove(&job) {
                // Fails if the connection has just ended; `handle_request` then frees the slot.
                let _ = sender.send(ends_at);
            }
        }
    }
}
