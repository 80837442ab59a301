//! Clients: open arrivals, counted from when each call was meant to be made. They are dealt to the balancers of their
//! zone, hear late of one that has died, keep connections, and try again what was denied or broke and may be. They own
//! their calls until the last try, and must never try a non-replayable req again that may have been taken.

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

use crate::http::{Broke, Message};
use crate::log::{Answer, Event, Log, held};

/// A late answer is still waited for, so that it is seen as late and not as missing.
const LATE: Duration = Duration::from_millis(700);
/// Idle connections that are kept for each balancer of each zone.
const KEPT: usize = 64;
/// Calls under way at once: beyond it a call is not made, and counted as one that got nothing.
const MOST_CALLS: usize = 20_000;

pub struct Traffic {
    pub rule_sets: Vec<RuleSet>,
    pub per_s: f64,
    /// Parts of the arrivals, by balancer.
    pub weights: Vec<f64>,
    pub tries_again: u32,
    pub pause: Duration,
    pub notice: Duration,
}

/// Whether clients are dealt to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Dealt {
    /// It is not ready yet, or leaves as planned.
    #[default]
    Out,
    In,
    /// Since then there is none, and the front has yet to notice.
    Died(Instant),
}

/// Who can be reached, by zone: `ways[zone][balancer]`.
pub struct Front {
    pub ways: Vec<Vec<SocketAddr>>,
    /// The zone of each balancer.
    pub zones: Vec<usize>,
    pub dealt: Vec<watch::Receiver<Dealt>>,
}

pub struct Clients {
    traffic: Traffic,
    front: Front,
    log: Log,
    seed: u64,
    /// Idle connections by zone and balancer.
    idle: Mutex<HashMap<(usize, usize), Vec<TcpStream>>>,
}

impl Clients {
    pub fn new(traffic: Traffic, front: Front, log: Log, seed: u64) -> Arc<Clients> {
        Arc::new(Clients { traffic, front, log, seed, idle: Mutex::default() })
    }

    /// Makes calls until then, and waits for the last of them.
    pub async fn run(self: Arc<Clients>, from: Nanos, until: Nanos, load: watch::Receiver<f64>) {
        let mut arrivals = RandomStream::new(self.seed, "arrivals");
        let (mut calls, mut next, mut call) = (JoinSet::new(), from, 0u64);
        loop {
            // Gaps shrink with the load at the time they are drawn; with none, a look again soon.
            let gap = arrivals
                .sample_arrival_gap(self.traffic.per_s * *load.borrow())
                .unwrap_or(100 * MS)
                .min(100 * MS * 50);
            next += gap;
            if *load.borrow() == 0.0 {
                sleep_until(self.log.instant(next.min(until)).into()).await;
                if next >= until {
                    break;
                }
                continue;
            }
            if next >= until {
                break;
            }
            sleep_until(self.log.instant(next).into()).await;
            call += 1;
            let (set, balancer) = (self.draw_set(&mut arrivals), self.draw_balancer(&mut arrivals));
            if calls.len() < MOST_CALLS {
                calls.spawn(self.clone().call(call, set, balancer, next));
            } else {
                let (id, intended) = (call << 8, next);
                let budget = self.traffic.rule_sets[set].client_timeout;
                self.log.note(Event::Asked { id, call, set, balancer, again: false, budget, intended });
                self.log.note(Event::Answered { id, answer: Answer::NotTaken });
            }
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    fn draw_set(&self, chance: &mut RandomStream) -> usize {
        let parts: Vec<f64> = self.traffic.rule_sets.iter().map(|set| set.traffic_weight).collect();
        draw(&parts, chance)
    }

    fn draw_balancer(&self, chance: &mut RandomStream) -> usize {
        draw(&self.traffic.weights, chance)
    }

    fn draw_near(&self, zone: usize, chance: &mut RandomStream) -> usize {
        let near = self.traffic.weights.iter().zip(&self.front.zones);
        let near: Vec<f64> = near.map(|(weight, of)| if *of == zone { *weight } else { 0.0 }).collect();
        draw(&near, chance)
    }

    /// The balancer that this call's connection is dealt to: the one drawn, or another of its zone where the front knows
    /// that it is gone.
    fn deal(&self, drawn: usize, chance: &mut RandomStream) -> usize {
        let zone = self.front.zones[drawn];
        let dealt = |number: usize| match *self.front.dealt[number].borrow() {
            Dealt::In => true,
            Dealt::Out => false,
            Dealt::Died(since) => since.elapsed() < self.traffic.notice,
        };
        if dealt(drawn) {
            return drawn;
        }
        let others: Vec<usize> = (0..self.front.zones.len())
            .filter(|number| self.front.zones[*number] == zone)
            .filter(|number| dealt(*number))
            .collect();
        // With a whole zone gone, clients are sent to any other.
        let others = if others.is_empty() {
            (0..self.front.zones.len()).filter(|number| dealt(*number)).collect()
        } else {
            others
        };
        others.get(chance.sample_below(others.len())).copied().unwrap_or(drawn)
    }

    async fn call(self: Arc<Clients>, call: u64, set: usize, drawn: usize, intended: Nanos) {
        let mut chance = RandomStream::new(self.seed, &format!("call {call}"));
        let zone = self.front.zones[drawn];
        for number in 0..=self.traffic.tries_again.min(200) {
            let (id, again) = ((call << 8) | u64::from(number), number > 0);
            // A try again comes on another connection, which may be dealt to any of the zone.
            let drawn = if again { self.draw_near(zone, &mut chance) } else { drawn };
            let balancer = self.deal(drawn, &mut chance);
            let (answer, after) = self.attempt(id, call, set, zone, balancer, again, intended).await;
            self.log.note(Event::Answered { id, answer: answer.clone() });
            let may = match answer {
                Answer::Denied | Answer::NotTaken => true,
                Answer::Broken => self.traffic.rule_sets[set].effect != Effect::NonReplayable,
                Answer::Done | Answer::Aborted | Answer::Nothing => false,
            };
            if !may {
                return;
            }
            sleep(after.unwrap_or(self.traffic.pause)).await;
        }
    }

    #[allow(clippy::too_many_arguments)]
    async fn attempt(
        &self,
        id: u64,
        call: u64,
        set: usize,
        zone: usize,
        balancer: usize,
        again: bool,
        intended: Nanos,
    ) -> (Answer, Option<Duration>) {
        let rule_set = &self.traffic.rule_sets[set];
        let budget = rule_set.client_timeout;
        let until = Instant::now() + Duration::from_nanos(budget) + LATE;
        let asked = || {
            let event = Event::Asked { id, call, set, balancer, again, budget, intended };
            self.log.note(event);
        };
        let req = req(rule_set, id, call, budget, again);
        for kept in [true, false] {
            let idle = if kept { self.idle(zone, balancer) } else { None };
            if kept && idle.is_none() {
                continue;
            }
            let mut stream = match idle {
                Some(stream) => stream,
                None => match timeout(
                    Duration::from_nanos(budget),
                    TcpStream::connect(self.front.ways[zone][balancer]),
                )
                .await
                {
                    Ok(Ok(stream)) => stream,
                    _ => {
                        asked();
                        return (Answer::NotTaken, None);
                    }
                },
            };
            let _ = stream.set_nodelay(true);
            if stream.write_all(req.as_bytes()).await.is_err() {
                continue;
            }
            asked();
            let Ok(answer) =
                timeout(until.saturating_duration_since(Instant::now()), Message::read(&mut stream)).await
            else {
                return (Answer::Nothing, None);
            };
            match answer {
                // It crossed the connection's end: once more, on a new one.
                Err(Broke::Before) if kept && self.crossed(balancer).await => {}
                Err(_) => return (Answer::Broken, None),
                Ok(message) => {
                    let whole = message.body == format!("{id:x}").as_bytes();
                    let answer = match message.head.status() {
                        200 if whole => Answer::Done,
                        429 | 503 => Answer::Denied,
                        _ => Answer::Aborted,
                    };
                    let after =
                        message.head.header("retry-after").and_then(|after| after.parse::<f64>().ok());
                    let after = after.map(|after| Duration::from_secs_f64(after.clamp(0.0, 10.0)));
                    let closes = message
                        .head
                        .header("connection")
                        .is_some_and(|word| word.eq_ignore_ascii_case("close"));
                    if !closes {
                        self.keep(zone, balancer, stream);
                    }
                    return (answer, after);
                }
            }
        }
        asked();
        (Answer::Broken, None)
    }

    /// Whether a kept connection ended because the balancer closed it between two reqs, and not with its process: who
    /// plays clients can tell, and a real one knows it by its front.
    async fn crossed(&self, balancer: usize) -> bool {
        sleep(Duration::from_millis(30)).await;
        !matches!(*self.front.dealt[balancer].borrow(), Dealt::Died(_))
    }

    /// A kept connection that has not ended meanwhile.
    fn idle(&self, zone: usize, balancer: usize) -> Option<TcpStream> {
        let mut idle = held(&self.idle);
        let kept = idle.get_mut(&(zone, balancer))?;
        loop {
            let stream = kept.pop()?;
            let mut byte = [0; 1];
            // Nothing to read: it stands.
            if stream.try_read(&mut byte).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }

    fn keep(&self, zone: usize, balancer: usize, stream: TcpStream) {
        let mut idle = held(&self.idle);
        let kept = idle.entry((zone, balancer)).or_default();
        if kept.len() < KEPT {
            kept.push(stream);
        }
    }
}

fn draw(parts: &[f64], chance: &mut RandomStream) -> usize {
    let mut left = chance.sample_fraction() * parts.iter().sum::<f64>();
    let found = parts.iter().position(|part| {
        left -= part;
        left < 0.0
    });
    found.unwrap_or(0)
}

fn req(rule_set: &RuleSet, id: u64, call: u64, budget: Nanos, again: bool) -> String {
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
    let again = if again { "X-Again: 1\r\n" } else { "" };
    let budget = budget as f64 / 1e9;
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: drill\r\nX-Call-Id: {id:x}\r\nX-Call-Class: {name}\r\nX-Budget: {budget:.3}\r\n{key}{again}{length}\r\n{body}"
    )
}
