//! Discovery: one service for all balancers, with a queue of calls, watches and whole lists. Each balancer calls it at an
//! address of its own, so that it can be told its own links' addresses, and other news than the rest. It owns the list,
//! its versions and who has been told what, and must never tell half of one.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ochreshed_emulator::random::{DurationDistribution, RandomStream};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

use crate::http::{Message, answer};
use crate::log::{Event, Log, held};

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub srv: usize,
    pub id: String,
    pub zone: String,
    pub up: bool,
    pub draining: bool,
    /// Told of the drain; all where there is none.
    pub told: Option<BTreeSet<usize>>,
    /// When its process started, in ms of Unix time; 0: long ago.
    pub started_ms: u64,
}

pub type List = Arc<Vec<Entry>>;
pub type Up = Arc<Vec<Option<u64>>>;

/// A version and its list, as a balancer may know them.
#[derive(Clone, Debug)]
struct Version {
    number: u64,
    list: List,
}

#[derive(Clone)]
pub struct Discovery {
    inner: Arc<Mutex<Inner>>,
    /// What each balancer can be told by now.
    told: Arc<Vec<watch::Sender<Version>>>,
    state: watch::Sender<State>,
    rules: Rules,
    log: Log,
    /// Where each balancer reaches each srv.
    ways: Arc<Mutex<Vec<Vec<SocketAddr>>>>,
}

#[derive(Clone, Debug)]
pub struct Rules {
    pub delay: DurationDistribution,
    pub calls_per_s: f64,
    pub call_timeout: Duration,
}

/// What became of it, by counts: faults may overlap.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub down: u32,
    pub old: u32,
    pub empty: u32,
    pub slow: Vec<Duration>,
}

struct Inner {
    number: u64,
    list: Vec<Entry>,
    /// All lists there were, for processes that start with an old one.
    history: Vec<List>,
    chance: RandomStream,
    /// When its queue of calls is worked off.
    free_at: Instant,
}

impl Discovery {
    pub fn new(balancers: usize, list: Vec<Entry>, rules: Rules, seed: u64, log: Log) -> Discovery {
        let first = Version { number: 1, list: Arc::new(list.clone()) };
        let inner = Inner {
            number: 1,
            history: vec![first.list.clone()],
            list,
            chance: RandomStream::new(seed, "discovery"),
            free_at: Instant::now(),
        };
        Discovery {
            inner: Arc::new(Mutex::new(inner)),
            told: Arc::new((0..balancers).map(|_| watch::Sender::new(first.clone())).collect()),
            state: watch::Sender::default(),
            rules,
            log,
            ways: Arc::default(),
        }
    }

    /// Where each balancer reaches each srv; to be told before anybody asks.
    pub fn set_ways(&self, ways: Vec<Vec<SocketAddr>>) {
        *held(&self.ways) = ways;
    }

    /// Answers one balancer, at an address of its own.
    pub async fn serve(&self, balancer: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let it = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(it.clone().connection(balancer, stream));
            }
        });
        Ok(address)
    }

    /// Changes the list. Each balancer can be told after a delay of its own.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut inner = held(&self.inner);
        change(&mut inner.list);
        inner.number += 1;
        let list = Arc::new(inner.list.clone());
        inner.history.push(list.clone());
        let delays: Vec<u64> = self.told.iter().map(|_| self.rules.delay.sample(&mut inner.chance)).collect();
        let version = Version { number: inner.number, list };
        drop(inner);
        for (told, delay) in self.told.iter().zip(delays) {
            let (told, version) = (told.clone(), version.clone());
            let mut state = self.state.subscribe();
            tokio::spawn(async move {
                sleep(Duration::from_nanos(delay)).await;
                let _ = state.wait_for(|state| state.old == 0).await;
                told.send_if_modified(|now| {
                    let newer = version.number > now.number;
                    if newer {
                        *now = version;
                    }
                    newer
                });
            });
        }
    }

    pub fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }

    /// It has lost what it knew of versions, and counts anew.
    pub fn lose_state(&self) {
        held(&self.inner).number = 1;
        for told in self.told.iter() {
            told.send_modify(|version| version.number = 1);
        }
    }

    /// The list as it stood after a part of all its changes, 0 for the first one and 1 for the last.
    pub fn at(&self, part: f64) -> List {
        let inner = held(&self.inner);
        let last = inner.history.len() - 1;
        inner.history[((last as f64 * part).round() as usize).min(last)].clone()
    }

    /// A list as a balancer is told it.
    pub fn json(&self, balancer: usize, number: u64, list: Option<&List>) -> String {
        let mut text = format!(r#"{{"generation":{number},"reset":{},"instances":["#, list.is_some());
        let ways = held(&self.ways);
        let mut comma = "";
        for entry in list.iter().flat_map(|list| list.iter()).filter(|entry| entry.up) {
            let Some(address) = ways.get(balancer).and_then(|ways| ways.get(entry.srv)) else { continue };
            let Entry { id, zone, started_ms, .. } = entry;
            let state = if entry.drains_for(balancer) { "DRAINING" } else { "SERVING" };
            // Writing to a String does not fail.
            let _ = write!(
                text,
                r#"{comma}{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","cell":0,"weight":1.0,"lifecycle":"{state}","startedAtMs":{started_ms}}}"#
            );
            comma = ",";
        }
        text + "]}"
    }

    /// Of those that are up in a list, by number, when they started, as that balancer is told.
    pub fn up(&self, balancer: usize, list: &List) -> Up {
        let up = |entry: &Entry| (entry.up && !entry.drains_for(balancer)).then_some(entry.started_ms);
        Arc::new(list.iter().map(up).collect())
    }

    async fn connection(self, balancer: usize, mut stream: TcpStream) {
        let mut version = self.told[balancer].subscribe();
        let mut state = self.state.subscribe();
        while let Ok(message) = Message::read(&mut stream).await {
            let after = message.head.query("after");
            let wait = Duration::from_millis(message.head.query("wait_ms").unwrap_or(0).min(60_000));
            self.log.note(Event::Called { balancer, watch: after.is_some() });
            let queued = self.queue().await;
            let mut newer = true;
            if let Some(after) = after {
                let news = version.wait_for(|now| now.number != after);
                newer = tokio::select! {
                    news = timeout(wait, news) => news.is_ok(),
                    // When it goes down, watches end.
                    _ = state.wait_for(|state| state.down > 0) => false,
                };
            }
            let now = version.borrow().clone();
            let State { down, empty, slow, .. } = state.borrow().clone();
            if let Some(by) = slow.iter().max() {
                sleep(*by).await;
            }
            let reply = if down > 0 || !queued {
                answer(503, "", "")
            } else if empty > 0 {
                answer(
                    200,
                    &format!("x-told: {}\r\n", u64::MAX),
                    &self.json(balancer, now.number, Some(&List::default())),
                )
            } else {
                let list = Some(&now.list).filter(|_| newer);
                let told =
                    list.map(|list| self.key(list)).map_or(String::new(), |key| format!("x-told: {key}\r\n"));
                answer(200, &told, &self.json(balancer, now.number, list))
            };
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
    }

    /// A list's place in the history, for whoever sees an answer go by.
    fn key(&self, list: &List) -> u64 {
        let inner = held(&self.inner);
        inner.history.iter().rposition(|known| Arc::ptr_eq(known, list)).unwrap_or(0) as u64
    }

    /// What the answer with this key told a balancer.
    pub fn told(&self, balancer: usize, key: u64) -> Option<Up> {
        let inner = held(&self.inner);
        let list = inner.history.get(usize::try_from(key).ok()?)?.clone();
        drop(inner);
        Some(self.up(balancer, &list))
    }

    /// Waits for a call's turn; whether it came in time.
    async fn queue(&self) -> bool {
        let (turn, now) = {
            let mut inner = held(&self.inner);
            let now = Instant::now();
            let turn = inner.free_at.max(now);
            if turn - now > self.rules.call_timeout {
                (None, now)
            } else {
                inner.free_at = turn + Duration::from_secs_f64(1.0 / self.rules.calls_per_s);
                (Some(turn), now)
            }
        };
        match turn {
            Some(turn) => sleep_until(turn.into()).await,
            None => sleep_until((now + self.rules.call_timeout).into()).await,
        }
        turn.is_some()
    }
}

impl Entry {
    fn drains_for(&self, balancer: usize) -> bool {
        self.draining && self.told.as_ref().is_none_or(|told| told.contains(&balancer))
    }
}
