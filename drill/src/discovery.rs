//! Emulated service discovery, shared by all balancers: it queues calls, and serves long polls and complete lists. Each
//! balancer calls it at a separate address, so that it can be given the addresses of its own relays, and updates that
//! others do not get.

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

use crate::event_log::{Event, EventLog, lock};
use crate::http::{Message, encode_response};

/// The longest time for which a long poll is held.
const MAX_POLL_WAIT_MS: u64 = 60_000;

#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub server: usize,
    pub id: String,
    pub zone: String,
    pub up: bool,
    pub draining: bool,
    /// The balancers that are notified of the drain; all if `None`.
    pub notified: Option<BTreeSet<usize>>,
    /// When its process started, in ms of Unix time; 0 if long ago.
    pub started_ms: u64,
}

pub type EndpointList = Arc<Vec<ListEntry>>;
/// By server: the start time in ms of those that are up and not draining.
pub type ServingSince = Arc<Vec<Option<u64>>>;

#[derive(Clone, Debug)]
struct ListVersion {
    number: u64,
    list: EndpointList,
}

#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<DiscoveryState>>,
    /// By balancer: the latest version that has propagated to it.
    visible: Arc<Vec<watch::Sender<ListVersion>>>,
    faults: watch::Sender<ActiveFaults>,
    settings: DiscoverySettings,
    log: EventLog,
    /// By balancer and server: where the balancer reaches the server.
    server_addresses: Arc<Mutex<Vec<Vec<SocketAddr>>>>,
}

#[derive(Clone, Debug)]
pub struct DiscoverySettings {
    /// Delay before a change becomes visible, drawn for each balancer.
    pub propagation_delay: DurationDistribution,
    pub calls_per_s: f64,
    /// How long a call may be queued.
    pub call_timeout: Duration,
}

/// Numbers of active faults, which may overlap.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    pub down: u32,
    pub stale: u32,
    pub empty: u32,
    /// Delays added to each answer, of which the longest applies.
    pub extra_delays: Vec<Duration>,
}

struct DiscoveryState {
    version: u64,
    list: Vec<ListEntry>,
    /// All past lists, for processes that start with an old one.
    history: Vec<EndpointList>,
    random: RandomStream,
    /// When the queue of calls is empty.
    queue_free_at: Instant,
}

impl Discovery {
    pub fn new(
        balancers: usize,
        list: Vec<ListEntry>,
        settings: DiscoverySettings,
        seed: u64,
        log: EventLog,
    ) -> Discovery {
        let first = ListVersion { number: 1, list: Arc::new(list.clone()) };
        let state = DiscoveryState {
            version: 1,
            history: vec![first.list.clone()],
            list,
            random: RandomStream::new(seed, "discovery"),
            queue_free_at: Instant::now(),
        };
        Discovery {
            state: Arc::new(Mutex::new(state)),
            visible: Arc::new((0..balancers).map(|_| watch::Sender::new(first.clone())).collect()),
            faults: watch::Sender::default(),
            settings,
            log,
            server_addresses: Arc::default(),
        }
    }

    /// Sets where each balancer reaches each server; must be called before the first request.
    pub fn set_server_addresses(&self, addresses: Vec<Vec<SocketAddr>>) {
        *lock(&self.server_addresses) = addresses;
    }

    /// Serves one balancer, at an address of its own.
    pub async fn serve(&self, balancer: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(discovery.clone().serve_connection(balancer, stream));
            }
        });
        Ok(address)
    }

    /// Changes the list. The new version becomes visible to each balancer after a delay of its own.
    pub fn update_list(&self, change: impl FnOnce(&mut Vec<ListEntry>)) {
        let mut state = lock(&self.state);
        change(&mut state.list);
        state.version += 1;
        let list = Arc::new(state.list.clone());
        state.history.push(list.clone());
        let delays: Vec<u64> =
            self.visible.iter().map(|_| self.settings.propagation_delay.sample(&mut state.random)).collect();
        let version = ListVersion { number: state.version, list };
        drop(state);
        for (visible, delay) in self.visible.iter().zip(delays) {
            let (visible, version) = (visible.clone(), version.clone());
            let mut faults = self.faults.subscribe();
            tokio::spawn(async move {
                sleep(Duration::from_nanos(delay)).await;
                let _ = faults.wait_for(|faults| faults.stale == 0).await;
                visible.send_if_modified(|current| {
                    let newer = version.number > current.number;
                    if newer {
                        *current = version;
                    }
                    newer
                });
            });
        }
    }

    pub fn update_faults(&self, change: impl FnOnce(&mut ActiveFaults)) {
        self.faults.send_modify(change);
    }

    /// Restarts version numbers at 1, as after a loss of discovery's state.
    pub fn reset_versions(&self) {
        lock(&self.state).version = 1;
        for visible in self.visible.iter() {
            visible.send_modify(|version| version.number = 1);
        }
    }

    /// The list after a fraction of all changes so far: 0 for the first list, 1 for the latest.
    pub fn list_at(&self, fraction: f64) -> EndpointList {
        let state = lock(&self.state);
        let last = state.history.len() - 1;
        state.history[((last as f64 * fraction).round() as usize).min(last)].clone()
    }

    /// A list as it is served to this balancer.
    pub fn list_json(&self, balancer: usize, version: u64, list: Option<&EndpointList>) -> String {
        let mut text = format!(r#"{{"generation":{version},"reset":{},"instances":["#, list.is_some());
        let addresses = lock(&self.server_addresses);
        let mut comma = "";
        for entry in list.iter().flat_map(|list| list.iter()).filter(|entry| entry.up) {
            let address = addresses.get(balancer).and_then(|addresses| addresses.get(entry.server));
            let Some(address) = address else { continue };
            let ListEntry { id, zone, started_ms, .. } = entry;
            let state = if entry.is_draining_for(balancer) { "DRAINING" } else { "SERVING" };
            // Writing to a String does not fail.
            let _ = write!(
                text,
                r#"{comma}{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","cell":0,"weight":1.0,"lifecycle":"{state}","startedAtMs":{started_ms}}}"#
            );
            comma = ",";
        }
        text + "]}"
    }

    /// The servers that are serving according to the list as this balancer gets it.
    pub fn serving_since(&self, balancer: usize, list: &EndpointList) -> ServingSince {
        let serving =
            |entry: &ListEntry| (entry.up && !entry.is_draining_for(balancer)).then_some(entry.started_ms);
        Arc::new(list.iter().map(serving).collect())
    }

    async fn serve_connection(self, balancer: usize, mut stream: TcpStream) {
        let mut version = self.visible[balancer].subscribe();
        let mut faults = self.faults.subscribe();
        while let Ok(message) = Message::read(&mut stream).await {
            let known_version = message.head.query_number("after");
            let wait_ms = message.head.query_number("wait_ms").unwrap_or(0).min(MAX_POLL_WAIT_MS);
            self.log.record(Event::DiscoveryCalled { balancer, watch: known_version.is_some() });
            let accepted = self.wait_in_queue().await;
            let mut has_update = true;
            if let Some(known_version) = known_version {
                let update = version.wait_for(|current| current.number != known_version);
                has_update = tokio::select! {
                    update = timeout(Duration::from_millis(wait_ms), update) => update.is_ok(),
                    // Long polls end when discovery goes down.
                    _ = faults.wait_for(|faults| faults.down > 0) => false,
                };
            }
            let current = version.borrow().clone();
            let ActiveFaults { down, empty, extra_delays, .. } = faults.borrow().clone();
            if let Some(delay) = extra_delays.iter().max() {
                sleep(*delay).await;
            }
            let response = if down > 0 || !accepted {
                encode_response(503, "", "")
            } else if empty > 0 {
                encode_response(
                    200,
                    &format!("x-told: {}\r\n", u64::MAX),
                    &self.list_json(balancer, current.number, Some(&EndpointList::default())),
                )
            } else {
                let list = Some(&current.list).filter(|_| has_update);
                let headers = list
                    .map(|list| self.history_key(list))
                    .map_or(String::new(), |key| format!("x-told: {key}\r\n"));
                encode_response(200, &headers, &self.list_json(balancer, current.number, list))
            };
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }

    /// A list's index in the history, by which relays identify it.
    fn history_key(&self, list: &EndpointList) -> u64 {
        let state = lock(&self.state);
        state.history.iter().rposition(|known| Arc::ptr_eq(known, list)).unwrap_or(0) as u64
    }

    /// The serving servers of the list with this key, as it is served to the balancer.
    pub fn delivered_list(&self, balancer: usize, key: u64) -> Option<ServingSince> {
        let state = lock(&self.state);
        let list = state.history.get(usize::try_from(key).ok()?)?.clone();
        drop(state);
        Some(self.serving_since(balancer, &list))
    }

    /// Waits until the call is served; returns false if it timed out in the queue.
    async fn wait_in_queue(&self) -> bool {
        let (serve_at, now) = {
            let mut state = lock(&self.state);
            let now = Instant::now();
            let serve_at = state.queue_free_at.max(now);
            if serve_at - now > self.settings.call_timeout {
                (None, now)
            } else {
                state.queue_free_at = serve_at + Duration::from_secs_f64(1.0 / self.settings.calls_per_s);
                (Some(serve_at), now)
            }
        };
        match serve_at {
            Some(serve_at) => sleep_until(serve_at.into()).await,
            None => sleep_until((now + self.settings.call_timeout).into()).await,
        }
        serve_at.is_some()
    }
}

impl ListEntry {
    fn is_draining_for(&self, balancer: usize) -> bool {
        self.draining && self.notified.as_ref().is_none_or(|notified| notified.contains(&balancer))
    }
}
