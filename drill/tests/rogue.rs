//! A minimal balancer that breaks one rule on purpose, only for tests of the auditor. It answers health checks and forwards
//! each request to one server chosen in turn. `--break` names the rule violation.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ochreshed_drill::event_log::lock;
use ochreshed_drill::http::{Message, encode_response};
use serde_json::Value as Json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

struct RogueBalancer {
    /// Which violation it commits.
    violation: String,
    servers: Mutex<ServerAddresses>,
    counter: Mutex<u64>,
}

struct ServerAddresses {
    serving: Vec<String>,
    draining: Vec<String>,
    /// One that has restarted during the drill.
    restarted: Option<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let position = args.iter().position(|arg| arg == name);
        position.and_then(|position| args.get(position + 1)).cloned().unwrap_or_default()
    };
    let text = std::fs::read_to_string(option("--facts")).expect("the parameters file");
    let parameters: Json = serde_json::from_str(&text).expect("JSON");
    let servers = Mutex::new(ServerAddresses {
        serving: addresses_in_state(&parameters["known"], "SERVING"),
        draining: Vec::new(),
        restarted: None,
    });
    let balancer = RogueBalancer { violation: option("--break"), servers, counter: Mutex::new(0) };
    let balancer = Arc::new(balancer);
    let listener = TcpListener::bind(parameters["listen"].as_str().expect("listen")).await.expect("a port");
    let discovery = parameters["discovery"].as_str().expect("discovery").to_owned();
    tokio::spawn(balancer.clone().poll_discovery(discovery));
    let started = Instant::now();
    while let Ok((stream, _)) = listener.accept().await {
        if balancer.violation == "ends" && started.elapsed() > Duration::from_millis(700) {
            std::process::exit(3);
        }
        tokio::spawn(balancer.clone().serve_connection(stream));
    }
}

fn addresses_in_state(list: &Json, state: &str) -> Vec<String> {
    let entries = list["instances"].as_array().into_iter().flatten();
    let in_state = entries.filter(|entry| entry["lifecycle"] == state);
    in_state.filter_map(|entry| entry["hostPort"].as_str().map(str::to_owned)).collect()
}

impl RogueBalancer {
    async fn poll_discovery(self: Arc<RogueBalancer>, discovery: String) {
        loop {
            if let Ok(mut stream) = TcpStream::connect(&discovery).await
                && stream.write_all(b"GET /catalog/members HTTP/1.1\r\n\r\n").await.is_ok()
                && let Ok(message) = Message::read(&mut stream).await
                && let Ok(list) = serde_json::from_slice::<Json>(&message.body)
            {
                let entries = list["instances"].as_array().cloned().unwrap_or_default();
                let restarted = entries.iter().find(|entry| entry["startedAtMs"].as_u64() > Some(0));
                let restarted = restarted.and_then(|entry| entry["hostPort"].as_str().map(str::to_owned));
                *lock(&self.servers) = ServerAddresses {
                    serving: addresses_in_state(&list, "SERVING"),
                    draining: addresses_in_state(&list, "DRAINING"),
                    restarted,
                };
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn next_number(&self) -> u64 {
        let mut counter = lock(&self.counter);
        *counter += 1;
        *counter
    }

    fn choose_server(&self) -> String {
        let number = self.next_number() as usize;
        let ServerAddresses { serving, draining, restarted } = &*lock(&self.servers);
        match self.violation.as_str() {
            "drained" if !draining.is_empty() => draining[number % draining.len()].clone(),
            "cold" if restarted.is_some() => restarted.clone().unwrap_or_default(),
            _ => serving[number % serving.len()].clone(),
        }
    }

    async fn dispatch(&self, request: &[u8]) -> Option<Message> {
        let mut stream = TcpStream::connect(self.choose_server()).await.ok()?;
        stream.write_all(request).await.ok()?;
        Message::read(&mut stream).await.ok()
    }

    async fn serve_connection(self: Arc<RogueBalancer>, mut stream: TcpStream) {
        while let Ok(message) = Message::read(&mut stream).await {
            let (method, path) = (message.head.start_line_word(0), message.head.start_line_word(1));
            if path == "/_health" {
                let _ = stream.write_all(&encode_response(200, "", "")).await;
                continue;
            }
            let non_replayable = method == "POST" && message.head.header("idempotency-key").is_none();
            let id = message.head.header("x-call-id").unwrap_or_default().to_owned();
            let length = message.body.len();
            let body = String::from_utf8_lossy(&message.body);
            let request = format!(
                "{method} {path} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 2.0\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            let (request, every_third) = (request.as_bytes(), self.next_number().is_multiple_of(3));
            let answered = match self.violation.as_str() {
                "loses" if every_third => return,
                "at-once" if non_replayable => tokio::join!(self.dispatch(request), self.dispatch(request)).0,
                "again" if non_replayable => {
                    self.dispatch(request).await;
                    self.dispatch(request).await
                }
                "denies" if non_replayable && every_third => {
                    self.dispatch(request).await;
                    None
                }
                "late" if every_third => {
                    sleep(Duration::from_millis(2_300)).await;
                    self.dispatch(request).await
                }
                _ => self.dispatch(request).await,
            };
            let response = match &answered {
                Some(answer) if answer.head.status() == 200 => {
                    encode_response(200, "", &String::from_utf8_lossy(&answer.body))
                }
                _ => encode_response(503, "", ""),
            };
            if stream.write_all(&response).await.is_err() {
                return;
            }
            if self.violation == "goes-on" && !non_replayable {
                let (balancer, request) = (self.clone(), request.to_vec());
                tokio::spawn(async move {
                    sleep(Duration::from_millis(900)).await;
                    balancer.dispatch(&request).await;
                });
            }
        }
    }
}
