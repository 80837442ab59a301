//! The discovery client: an actor with one connection to discovery, which watches the server list on request.
//!
//! The decision actor decides when to ask again after a failure. A response that can't be read as a whole
//! counts as a failed call; no part of it is passed on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use ochreshed::{EndpointState, ListedEndpoint, Parameters, read_number};
use serde_json::Value as Json;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::warn;

use crate::clock::Clock;
use crate::connection::OutboundConnection;
use crate::decision_actor::DecisionEvent;

/// A watch waits so long for a change that all instances of all tiers together make about `FLEET_CALLS_PER_S`
/// calls, within the two bounds. Continuing a watch with the next call costs discovery less than starting a
/// new one.
const FLEET_CALLS_PER_S: f64 = 50.0;
const MIN_WATCH_S: f64 = 1.0;
const MAX_WATCH_S: f64 = 20.0;
/// How much longer than the wait a response may take before the call has failed. 2 s after the wait, a change
/// must have been delivered.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_500);
const MAX_LIST_BYTES: usize = 4 << 20;
const COMMAND_CAPACITY: usize = 4;
/// A response of at most this size is parsed in place.
const MAX_INLINE_PARSE_BYTES: usize = 64 << 10;

pub enum DiscoveryCommand {
    /// Watch for changes until a call fails.
    Watch,
    /// Request the whole list now.
    Fetch,
    /// Use discovery at this address from now on.
    ChangeAddress(SocketAddr),
}

/// A response from discovery.
pub struct DiscoveryResponse {
    pub generation: String,
    /// Whether it is the whole list rather than the changes since a generation.
    pub is_complete: bool,
    pub entries: Vec<EndpointEntry>,
}

/// A server in the list and the address at which it is reached from here.
pub type EndpointEntry = (ListedEndpoint, SocketAddr);

struct DiscoveryClient {
    discovery: SocketAddr,
    clock: Clock,
    /// How long a watch waits for a change.
    watch_wait: Duration,
    decisions: mpsc::Sender<DecisionEvent>,
    /// The last generation received, as discovery wrote it.
    generation: Option<String>,
    connection: Option<OutboundConnection>,
    /// Permits for one list at a time.
    memory: Arc<Semaphore>,
}

/// How long a watch waits in a fleet of this size. The bounds limit how long a silent watch goes unnoticed:
/// until its wait is over it looks like one without changes, and the changes it missed arrive too late.
pub fn watch_wait(facts: &Parameters) -> Duration {
    let all = read_number(facts, "instances", 1.0) * read_number(facts, "tiers", 1.0);
    Duration::from_secs_f64((all / FLEET_CALLS_PER_S).clamp(MIN_WATCH_S, MAX_WATCH_S))
}

pub fn spawn(
    discovery: SocketAddr,
    clock: Clock,
    watch_wait: Duration,
    generation: Option<String>,
    decisions: mpsc::Sender<DecisionEvent>,
) -> mpsc::Sender<DiscoveryCommand> {
    let (sender, commands) = mpsc::channel(COMMAND_CAPACITY);
    let memory = Arc::new(Semaphore::new(MAX_LIST_BYTES));
    let client =
        DiscoveryClient { discovery, clock, watch_wait, decisions, generation, connection: None, memory };
    tokio::spawn(client.run(commands));
    sender
}

impl DiscoveryClient {
    async fn run(mut self, mut commands: mpsc::Receiver<DiscoveryCommand>) {
        while let Some(command) = commands.recv().await {
            self.apply(command);
            while let Some(update) = self.next_update(&mut commands).await {
                let failed = matches!(update, DecisionEvent::ListFailed);
                if self.decisions.send(update).await.is_err() || failed {
                    break;
                }
            }
        }
    }

    fn apply(&mut self, command: DiscoveryCommand) {
        match command {
            DiscoveryCommand::Watch => {}
            DiscoveryCommand::Fetch => self.generation = None,
            // The watch continues from the last generation: it is one service at another address. If all
            // balancers requested the whole list at once, discovery could not respond in time.
            DiscoveryCommand::ChangeAddress(discovery) => {
                (self.discovery, self.connection) = (discovery, None)
            }
        }
    }

    /// Makes one call; any command but `Watch` interrupts it and starts another. Returns None when the
    /// commands have ended.
    async fn next_update(
        &mut self,
        commands: &mut mpsc::Receiver<DiscoveryCommand>,
    ) -> Option<DecisionEvent> {
        let response = loop {
            let mut call = Box::pin(timeout(self.watch_wait + RESPONSE_GRACE, self.request_list()));
            let interrupted_by = loop {
                tokio::select! {
                    response = &mut call => break Err(response),
                    command = commands.recv() => match command? {
                        DiscoveryCommand::Watch => {}
                        command => break Ok(command),
                    },
                }
            };
            drop(call);
            match interrupted_by {
                Ok(command) => self.apply(command),
                Err(response) => break response,
            }
        };
        let list = match response {
            Ok(Ok(body)) => parse(body).await,
            Ok(Err(error)) => Err(error),
            Err(_) => Err("no response in time".into()),
        };
        Some(match list {
            Ok(DiscoveryResponse { generation, is_complete, entries }) => {
                // It was parsed as a number.
                let version = generation.parse().unwrap_or(0);
                self.generation = Some(generation);
                DecisionEvent::ListUpdate { is_complete, is_stale: false, version, entries }
            }
            Err(error) => {
                self.connection = None;
                warn!("discovery: {error}");
                DecisionEvent::ListFailed
            }
        })
    }

    async fn request_list(&mut self) -> Result<Bytes, String> {
        let wait = self.watch_wait.as_millis();
        let path = match &self.generation {
            Some(generation) => format!("/catalog/members?after={generation}&wait_ms={wait}"),
            None => "/catalog/members".to_owned(),
        };
        let request = Request::get(path).header(HOST, self.discovery.to_string()).body(());
        // Taken out, so that an interrupted call drops its connection.
        let mut connection =
            match self.connection.take().and_then(|mut idle| idle.is_reusable().then_some(idle)) {
                Some(connection) => connection,
                None => {
                    let opening = timeout(
                        RESPONSE_GRACE,
                        OutboundConnection::open(self.discovery, self.clock, None, None),
                    );
                    opening.await.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?
                }
            };
        let exchange =
            connection.exchange(request.map_err(|e| e.to_string())?, MAX_LIST_BYTES, &self.memory).await;
        let (response, reusable) = exchange.map_err(|e| e.to_string())?;
        self.connection = Some(connection).filter(|_| reusable);
        if response.status() != StatusCode::OK {
            return Err(format!("discovery answered {}", response.status()));
        }
        Ok(response.into_body())
    }
}

/// Parses a response. A large one is parsed off the request thread: a list of 10,000 servers takes tens of
/// milliseconds.
async fn parse(body: Bytes) -> Result<DiscoveryResponse, String> {
    let is_short = body.len() <= MAX_INLINE_PARSE_BYTES;
    let parse = move || read(&serde_json::from_slice(&body).map_err(|e| e.to_string())?);
    if is_short { parse() } else { spawn_blocking(parse).await.map_err(|e| e.to_string())? }
}

/// Reads a response. Servers without a reachable address are left out.
pub fn read(response: &Json) -> Result<DiscoveryResponse, String> {
    let entries = response["instances"].as_array().ok_or("no instances in the response")?;
    let is_complete = response["reset"].as_bool().ok_or("no reset in the response")?;
    let generation = Some(&response["generation"]).filter(|generation| generation.is_u64());
    let generation = generation.ok_or("no generation in the response")?.to_string();
    let entries = entries.iter().map(entry).collect::<Result<Vec<_>, _>>()?;
    Ok(DiscoveryResponse { generation, is_complete, entries: entries.into_iter().flatten().collect() })
}

fn entry(json: &Json) -> Result<Option<EndpointEntry>, String> {
    let name = json["instanceId"].as_str().ok_or("an entry without instanceId")?;
    let state = match json["lifecycle"].as_str() {
        Some("SERVING") => EndpointState::Up,
        Some("DRAINING") => EndpointState::Draining,
        Some("DELETED") => EndpointState::Gone,
        // An unknown state is not `Up`.
        other => {
            warn!("discovery: server {name} has state {}; treated as draining", other.unwrap_or("none"));
            EndpointState::Draining
        }
    };
    let address = json["hostPort"].as_str().and_then(|text| text.parse().ok());
    let Some(address) = address.or((state == EndpointState::Gone).then_some(NO_ADDRESS)) else {
        warn!("discovery: server {name} has no usable address; left out");
        return Ok(None);
    };
    let started_at = json["startedAtMs"].as_f64().filter(|ms| *ms > 0.0).map(|ms| (ms * 1e6) as u64);
    let weight = json["weight"].as_f64().filter(|weight| weight.is_finite() && *weight > 0.0);
    let listed = ListedEndpoint {
        name: name.into(),
        state,
        started_at,
        weight: weight.unwrap_or(1.0),
        site: json["zone"].as_str().unwrap_or_default().into(),
        cell: json["cell"].as_u64().unwrap_or(0),
    };
    Ok(Some((listed, address)))
}

/// A server that is gone needs no address.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

#[cfg(test)]
mod tests {
    use std::fmt::Write;

    use ochreshed::ParameterValue;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    use super::*;

    /// Accepts the next call to a test discovery and returns its request line and connection.
    async fn call(discovery: &TcpListener) -> (String, TcpStream) {
        let (mut stream, _) = discovery.accept().await.expect("a connection");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            call.push(stream.read_u8().await.expect("a whole head"));
        }
        (String::from_utf8_lossy(&call).lines().next().unwrap_or_default().to_owned(), stream)
    }

    fn fleet(instances: f64) -> Parameters {
        [("instances", instances), ("tiers", 3.0)]
            .map(|(name, n)| (name.into(), ParameterValue::Number(n)))
            .into()
    }

    #[tokio::test]
    async fn a_silent_watch_times_out_and_continues_from_the_last_generation() {
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = discovery.local_addr().expect("an address");
        let (decisions, mut events) = mpsc::channel(4);
        let client = spawn(at, Clock::new(), watch_wait(&fleet(10.0)), Some("4".into()), decisions);
        client.send(DiscoveryCommand::Watch).await.expect("a client");
        let (first, _silent) = call(&discovery).await;
        // With one long wait for fleets of any size it would be noticed after 22 s, which is too late.
        let failed =
            timeout(Duration::from_secs(6), events.recv()).await.expect("still waiting for a silent watch");
        assert!(matches!(failed, Some(DecisionEvent::ListFailed)));
        client.send(DiscoveryCommand::Watch).await.expect("a list");
        let (second, mut stream) = call(&discovery).await;
        assert_eq!((first.as_str(), &first), ("GET /catalog/members?after=4&wait_ms=1000 HTTP/1.1", &second));
        let body = response_body(1, r#"{"instanceId":"t","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}"#);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), &body].concat()).await.expect("sent");
        assert!(
            matches!(events.recv().await, Some(DecisionEvent::ListUpdate { is_stale: false, entries, .. }) if entries.len() == 2)
        );
    }

    #[test]
    fn a_fleet_of_any_size_calls_discovery_at_a_bounded_rate() {
        for instances in [1.0, 10.0, 17.0, 100.0, 300.0] {
            let calls = 3.0 * instances / watch_wait(&fleet(instances)).as_secs_f64();
            assert!(calls <= FLEET_CALLS_PER_S + 1e-6, "{calls} calls a second by {instances} instances");
        }
        assert_eq!(watch_wait(&fleet(10_000.0)).as_secs(), 20);
    }

    fn response_body(servers: usize, last: &str) -> Bytes {
        let mut text = String::from(r#"{"generation":7,"reset":true,"instances":["#);
        for number in 0..servers {
            write!(text, r#"{{"instanceId":"s{number}","hostPort":"127.0.0.1:9","lifecycle":"SERVING"}},"#)
                .expect("a String takes it");
        }
        text += last;
        Bytes::from(text + "]}")
    }

    #[tokio::test]
    async fn long_and_short_lists_are_read_alike() {
        let last = r#"{"instanceId":"last","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}"#;
        for servers in [1, 5_000] {
            let body = response_body(servers, last);
            assert_eq!(body.len() > MAX_INLINE_PARSE_BYTES, servers > 1);
            let DiscoveryResponse { generation, is_complete, entries } = parse(body).await.expect("a list");
            assert_eq!((&*generation, is_complete, entries.len()), ("7", true, servers + 1));
            assert_eq!(entries[servers].0.state, EndpointState::Draining);
        }
        for servers in [1, 5_000] {
            let error = parse(response_body(servers, r#"{"hostPort":"127.0.0.1:9"}"#)).await.err();
            assert_eq!(error.as_deref(), Some("an entry without instanceId"));
            assert!(parse(response_body(servers, "{")).await.is_err());
        }
    }
}
