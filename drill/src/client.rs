//! Clients: an open workload, timed from when each call was scheduled. Each call is routed to a balancer of its zone; routing
//! learns late of one that died. Clients keep connections alive and retry what was denied, or what was broken off and may
//! be retried: never a non-replayable request that a balancer may have taken.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ochreshed_emulator::random::RandomStream;
use ochreshed_emulator::scenario::{Effect, RuleSet};
use ochreshed_emulator::{MS, Nanos};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use crate::event_log::{AttemptOutcome, Event, EventLog, lock};
use crate::http::{Message, ReadError};

/// Clients wait for this long past their timeout, so that a late answer is recorded as late and not as missing.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(700);
/// Per zone and balancer.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Calls beyond it are not made, and are recorded as not connected.
const MAX_CALLS_IN_FLIGHT: usize = 20_000;
const MAX_ARRIVAL_GAP: Nanos = 100 * MS * 50;

pub struct TrafficSettings {
    pub rule_sets: Vec<RuleSet>,
    pub calls_per_s: f64,
    /// Each balancer's share of the calls, not normalized.
    pub balancer_weights: Vec<f64>,
    pub max_retries: u32,
    pub retry_pause: Duration,
    /// How long a balancer that died is still routed to.
    pub failure_detection_delay: Duration,
}

/// Whether clients are routed to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum RoutingState {
    /// It is not ready yet, or shuts down as planned.
    #[default]
    Excluded,
    Included,
    /// Its process has ended; clients are routed to it until that is detected.
    Died(Instant),
}

/// How clients reach the balancers.
pub struct ConnectionRouting {
    /// By zone of the client and balancer.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// The zone of each balancer.
    pub zones: Vec<usize>,
    pub states: Vec<watch::Receiver<RoutingState>>,
}

pub struct Clients {
    traffic: TrafficSettings,
    routing: ConnectionRouting,
    log: EventLog,
    seed: u64,
    /// By zone and balancer.
    idle_connections: Mutex<HashMap<(usize, usize), Vec<TcpStream>>>,
}

impl Clients {
    pub fn new(
        traffic: TrafficSettings,
        routing: ConnectionRouting,
        log: EventLog,
        seed: u64,
    ) -> Arc<Clients> {
        Arc::new(Clients { traffic, routing, log, seed, idle_connections: Mutex::default() })
    }

    /// Makes calls until the given time, and waits until all have ended.
    pub async fn run(self: Arc<Clients>, from: Nanos, until: Nanos, load: watch::Receiver<f64>) {
        let mut arrivals = RandomStream::new(self.seed, "arrivals");
        let (mut calls, mut next_at, mut call) = (JoinSet::new(), from, 0u64);
        loop {
            // A gap is drawn with the load at the time; while there is none, the load is polled.
            let gap = arrivals
                .sample_arrival_gap(self.traffic.calls_per_s * *load.borrow())
                .unwrap_or(100 * MS)
                .min(MAX_ARRIVAL_GAP);
            next_at += gap;
            if *load.borrow() == 0.0 {
                sleep_until(self.log.instant_of(next_at.min(until)).into()).await;
                if next_at >= until {
                    break;
                }
                continue;
            }
            if next_at >= until {
                break;
            }
            sleep_until(self.log.instant_of(next_at).into()).await;
            call += 1;
            let (rule_set, balancer) = (self.draw_rule_set(&mut arrivals), self.draw_balancer(&mut arrivals));
            if calls.len() < MAX_CALLS_IN_FLIGHT {
                calls.spawn(self.clone().make_call(call, rule_set, balancer, next_at));
            } else {
                let (id, intended_at) = (call << 8, next_at);
                let budget = self.traffic.rule_sets[rule_set].client_timeout;
                self.log.record(Event::RequestSent {
                    id,
                    call,
                    rule_set,
                    balancer,
                    is_retry: false,
                    budget,
                    intended_at,
                });
                self.log.record(Event::AttemptEnded { id, outcome: AttemptOutcome::NotConnected });
            }
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    fn draw_rule_set(&self, random: &mut RandomStream) -> usize {
        let weights: Vec<f64> =
            self.traffic.rule_sets.iter().map(|rule_set| rule_set.traffic_weight).collect();
        draw_weighted(&weights, random)
    }

    fn draw_balancer(&self, random: &mut RandomStream) -> usize {
        draw_weighted(&self.traffic.balancer_weights, random)
    }

    fn draw_balancer_in_zone(&self, zone: usize, random: &mut RandomStream) -> usize {
        let balancers = self.traffic.balancer_weights.iter().zip(&self.routing.zones);
        let weights: Vec<f64> =
            balancers.map(|(weight, of)| if *of == zone { *weight } else { 0.0 }).collect();
        draw_weighted(&weights, random)
    }

    /// The balancer that a call is routed to: the one drawn, or another of its zone if that one is known to be gone.
    fn route(&self, drawn: usize, random: &mut RandomStream) -> usize {
        let zone = self.routing.zones[drawn];
        let is_routable = |number: usize| match *self.routing.states[number].borrow() {
            RoutingState::Included => true,
            RoutingState::Excluded => false,
            RoutingState::Died(since) => since.elapsed() < self.traffic.failure_detection_delay,
        };
        if is_routable(drawn) {
            return drawn;
        }
        let others: Vec<usize> = (0..self.routing.zones.len())
            .filter(|number| self.routing.zones[*number] == zone)
            .filter(|number| is_routable(*number))
            .collect();
        // If the whole zone is gone, all others are candidates.
        let others = if others.is_empty() {
            (0..self.routing.zones.len()).filter(|number| is_routable(*number)).collect()
        } else {
            others
        };
        others.get(random.sample_below(others.len())).copied().unwrap_or(drawn)
    }

    async fn make_call(self: Arc<Clients>, call: u64, rule_set: usize, drawn: usize, intended_at: Nanos) {
        let mut random = RandomStream::new(self.seed, &format!("call {call}"));
        let zone = self.routing.zones[drawn];
        for attempt in 0..=self.traffic.max_retries.min(200) {
            let (id, is_retry) = ((call << 8) | u64::from(attempt), attempt > 0);
            // A retry uses another connection, which may be routed to any balancer of the zone.
            let drawn = if is_retry { self.draw_balancer_in_zone(zone, &mut random) } else { drawn };
            let balancer = self.route(drawn, &mut random);
            let (outcome, retry_after) =
                self.attempt(id, call, rule_set, zone, balancer, is_retry, intended_at).await;
            self.log.record(Event::AttemptEnded { id, outcome: outcome.clone() });
            let may_retry = match outcome {
                AttemptOutcome::Denied | AttemptOutcome::NotConnected => true,
                AttemptOutcome::ConnectionLost => {
                    self.traffic.rule_sets[rule_set].effect != Effect::NonReplayable
                }
                AttemptOutcome::Succeeded | AttemptOutcome::Aborted | AttemptOutcome::TimedOut => false,
            };
            if !may_retry {
                return;
            }
            sleep(retry_after.unwrap_or(self.traffic.retry_pause)).await;
        }
    }

    /// Returns how the attempt ended, and the value of `Retry-After`.
    #[allow(clippy::too_many_arguments)]
    async fn attempt(
        &self,
        id: u64,
        call: u64,
        rule_set: usize,
        zone: usize,
        balancer: usize,
        is_retry: bool,
        intended_at: Nanos,
    ) -> (AttemptOutcome, Option<Duration>) {
        let rules = &self.traffic.rule_sets[rule_set];
        let budget = rules.client_timeout;
        let until = Instant::now() + Duration::from_nanos(budget) + LATE_ANSWER_WAIT;
        let record_request = || {
            let event = Event::RequestSent { id, call, rule_set, balancer, is_retry, budget, intended_at };
            self.log.record(event);
        };
        let request = encode_request(rules, id, call, budget, is_retry);
        for reused in [true, false] {
            let idle = if reused { self.take_idle_connection(zone, balancer) } else { None };
            if reused && idle.is_none() {
                continue;
            }
            let mut stream = match idle {
                Some(stream) => stream,
                None => match timeout(
                    Duration::from_nanos(budget),
                    TcpStream::connect(self.routing.addresses[zone][balancer]),
                )
                .await
                {
                    Ok(Ok(stream)) => stream,
                    _ => {
                        record_request();
                        return (AttemptOutcome::NotConnected, None);
                    }
                },
            };
            let _ = stream.set_nodelay(true);
            // Before it is written, so that the log never has a dispatch of a request that it does not know.
            record_request();
            if stream.write_all(request.as_bytes()).await.is_err() {
                continue;
            }
            let Ok(response) =
                timeout(until.saturating_duration_since(Instant::now()), Message::read(&mut stream)).await
            else {
                return (AttemptOutcome::TimedOut, None);
            };
            match response {
                // The balancer closed the idle connection meanwhile: sent once more, on a new one.
                Err(ReadError::NoBytes) if reused && self.was_closed_while_idle(balancer).await => {}
                Err(_) => return (AttemptOutcome::ConnectionLost, None),
                Ok(message) => {
                    let complete = message.body == format!("{id:x}").as_bytes();
                    let outcome = match message.head.status() {
                        200 if complete => AttemptOutcome::Succeeded,
                        429 | 503 => AttemptOutcome::Denied,
                        _ => AttemptOutcome::Aborted,
                    };
                    let retry_after =
                        message.head.header("retry-after").and_then(|seconds| seconds.parse::<f64>().ok());
                    let retry_after =
                        retry_after.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 10.0)));
                    let closes = message
                        .head
                        .header("connection")
                        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                    if !closes {
                        self.keep_connection(zone, balancer, stream);
                    }
                    return (outcome, retry_after);
                }
            }
        }
        (AttemptOutcome::ConnectionLost, None)
    }

    /// Whether a reused connection ended because the balancer closed it between two requests, and not because its process
    /// died. A real client learns that from its load balancer; here it is known from the routing state.
    async fn was_closed_while_idle(&self, balancer: usize) -> bool {
        sleep(Duration::from_millis(30)).await;
        !matches!(*self.routing.states[balancer].borrow(), RoutingState::Died(_))
    }

    /// Takes an idle connection that is still open.
    fn take_idle_connection(&self, zone: usize, balancer: usize) -> Option<TcpStream> {
        let mut idle = lock(&self.idle_connections);
        let connections = idle.get_mut(&(zone, balancer))?;
        loop {
            let stream = connections.pop()?;
            let mut byte = [0; 1];
            // A closed connection would be readable.
            if stream.try_read(&mut byte).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }

    fn keep_connection(&self, zone: usize, balancer: usize, stream: TcpStream) {
        let mut idle = lock(&self.idle_connections);
        let connections = idle.entry((zone, balancer)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(stream);
        }
    }
}

fn draw_weighted(weights: &[f64], random: &mut RandomStream) -> usize {
    let mut remaining = random.sample_fraction() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    found.unwrap_or(0)
}

fn encode_request(rule_set: &RuleSet, id: u64, call: u64, budget: Nanos, is_retry: bool) -> String {
    let RuleSet { name, effect, .. } = rule_set;
    let (method, key) = match effect {
        Effect::Replayable => ("GET", String::new()),
        Effect::Uniqued => ("POST", format!("Idempotency-Key: {call:032x}\r\n")),
        Effect::NonReplayable => ("POST", String::new()),
    };
    let (body, length) = match effect {
        Effect::Replayable => ("", String::new()),
        _ => ("{}", "Content-Length: 2\r\n".to_owned()),
    };
    let again = if is_retry { "X-Again: 1\r\n" } else { "" };
    let budget = budget as f64 / 1e9;
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: drill\r\nX-Call-Id: {id:x}\r\nX-Call-Class: {name}\r\nX-Budget: {budget:.3}\r\n{key}{again}{length}\r\n{body}"
    )
}
