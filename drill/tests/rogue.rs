//! A balancer that breaks a rule on purpose, so that it can be seen that the auditor finds it: as little of one as answers
//! health and passes reqs on, each to one srv at random. Never to be used for anything else.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ochreshed_drill::http::{Message, answer};
use ochreshed_drill::log::held;
use serde_json::Value as Json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

struct Rogue {
    breaks: String,
    /// Addresses of the srvs that are up, and those that drain; and of one that has just started.
    srvs: Mutex<(Vec<String>, Vec<String>, Option<String>)>,
    number: Mutex<u64>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let words: Vec<String> = std::env::args().collect();
    let word = |name: &str| {
        let at = words.iter().position(|word| word == name);
        at.and_then(|at| words.get(at + 1)).cloned().unwrap_or_default()
    };
    let text = std::fs::read_to_string(word("--facts")).expect("facts");
    let facts: Json = serde_json::from_str(&text).expect("JSON");
    let srvs = Mutex::new((entries(&facts["known"], "SERVING"), Vec::new(), None));
    let rogue = Arc::new(Rogue { breaks: word("--break"), srvs, number: Mutex::new(0) });
    let listener = TcpListener::bind(facts["listen"].as_str().expect("listen")).await.expect("a port");
    let discovery = facts["discovery"].as_str().expect("discovery").to_owned();
    tokio::spawn(rogue.clone().watch(discovery));
    let began = Instant::now();
    while let Ok((stream, _)) = listener.accept().await {
        if rogue.breaks == "ends" && began.elapsed() > Duration::from_millis(700) {
            std::process::exit(3);
        }
        tokio::spawn(rogue.clone().serve(stream));
    }
}

fn entries(list: &Json, state: &str) -> Vec<String> {
    let all = list["instances"].as_array().into_iter().flatten();
    let of = all.filter(|entry| entry["lifecycle"] == state);
    of.filter_map(|entry| entry["hostPort"].as_str().map(str::to_owned)).collect()
}

impl Rogue {
    async fn watch(self: Arc<Rogue>, discovery: String) {
        loop {
            if let Ok(mut stream) = TcpStream::connect(&discovery).await
                && stream.write_all(b"GET /catalog/members HTTP/1.1\r\n\r\n").await.is_ok()
                && let Ok(message) = Message::read(&mut stream).await
                && let Ok(list) = serde_json::from_slice::<Json>(&message.body)
            {
                let all = list["instances"].as_array().cloned().unwrap_or_default();
                let new = all.iter().find(|entry| entry["startedAtMs"].as_u64() > Some(0));
                let new = new.and_then(|entry| entry["hostPort"].as_str().map(str::to_owned));
                *held(&self.srvs) = (entries(&list, "SERVING"), entries(&list, "DRAINING"), new);
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn next(&self) -> u64 {
        let mut number = held(&self.number);
        *number += 1;
        *number
    }

    fn pick(&self) -> String {
        let number = self.next() as usize;
        let (up, draining, new) = &*held(&self.srvs);
        match self.breaks.as_str() {
            "drained" if !draining.is_empty() => draining[number % draining.len()].clone(),
            "cold" if new.is_some() => new.clone().unwrap_or_default(),
            _ => up[number % up.len()].clone(),
        }
    }

    async fn send(&self, req: &[u8]) -> Option<Message> {
        let mut stream = TcpStream::connect(self.pick()).await.ok()?;
        stream.write_all(req).await.ok()?;
        Message::read(&mut stream).await.ok()
    }

    async fn serve(self: Arc<Rogue>, mut stream: TcpStream) {
        while let Ok(message) = Message::read(&mut stream).await {
            if message.head.word(1) == "/_health" {
                let _ = stream.write_all(&answer(200, "", "")).await;
                continue;
            }
            let once = message.head.word(0) == "POST" && message.head.header("idempotency-key").is_none();
            let id = message.head.header("x-call-id").unwrap_or_default().to_owned();
            let (method, path) = (message.head.word(0), message.head.word(1));
            let length = message.body.len();
            let body = String::from_utf8_lossy(&message.body);
            let req = format!(
                "{method} {path} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 2.0\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            let (req, third) = (req.as_bytes(), self.next().is_multiple_of(3));
            let answered = match self.breaks.as_str() {
                "loses" if third => return,
                "at-once" if once => tokio::join!(self.send(req), self.send(req)).0,
                "again" if once => {
                    self.send(req).await;
                    self.send(req).await
                }
                "denies" if once && third => {
                    self.send(req).await;
                    None
                }
                "late" if third => {
                    sleep(Duration::from_millis(2_300)).await;
                    self.send(req).await
                }
                _ => self.send(req).await,
            };
            let reply = match &answered {
                Some(answer_) if answer_.head.status() == 200 => {
                    answer(200, "", &String::from_utf8_lossy(&answer_.body))
                }
                _ => answer(503, "", ""),
            };
            if stream.write_all(&reply).await.is_err() {
                return;
            }
            if self.breaks == "goes-on" && !once {
                let (rogue, req) = (self.clone(), req.to_vec());
                tokio::spawn(async move {
                    sleep(Duration::from_millis(900)).await;
                    rogue.send(&req).await;
                });
            }
        }
    }
}
