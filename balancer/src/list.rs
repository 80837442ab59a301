//! The list's actor. It owns the one connection to discovery and keeps a watch on it once asked to. It must
//! never decide when to ask again after a failure, nor hand on half of an answer: one that can't be read as a
//! whole is a failed call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use ochreshed::{Facts, Listed, State, number};
use serde_json::Value as Json;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::warn;

use crate::clock::Clock;
use crate::connection::OutboundConnection;
use crate::decisions;

/// How long a watch waits for news: so that all instances together, at all tiers, call so often a second, within
/// these bounds. A watch goes on with the next call, which costs discovery less than one begun again.
const CALLS_PER_S: f64 = 50.0;
const WAIT_LEAST: f64 = 1.0;
const WAIT_MOST: f64 = 20.0;
/// How much longer an answer may take before the call has failed; 2 s after its wait what there is to tell counts
/// as told.
const GRACE: Duration = Duration::from_millis(1_500);
const MOST_LIST: usize = 4 << 20;
const MAILBOX: usize = 4;
/// An answer of up to so many bytes is read at once.
const SHORT: usize = 64 << 10;

pub enum Mail {
    /// Watch for changes until a call fails.
    Watch,
    /// Ask for the whole list now.
    Fetch,
    /// Discovery answers at this address from now on.
    Move(SocketAddr),
}

/// An answer's version, whether it is the whole list, and its entries.
pub type News = (String, bool, Vec<Entry>);

/// An entry of the list, and where that srv is reached from here.
pub type Entry = (Listed, SocketAddr);

struct List {
    discovery: SocketAddr,
    clock: Clock,
    /// How long a watch waits for news.
    wait: Duration,
    decisions: mpsc::Sender<decisions::Mail>,
    /// The version we have, as discovery wrote it.
    generation: Option<String>,
    link: Option<OutboundConnection>,
    /// There is but one list at a time.
    room: Arc<Semaphore>,
}

/// How long a watch waits in a fleet of so many instances. Guards against a watch that has fallen silent: nothing
/// tells it from one without news until its wait is over, and what it missed is learned too late.
pub fn wait(facts: &Facts) -> Duration {
    let all = number(facts, "instances", 1.0) * number(facts, "tiers", 1.0);
    Duration::from_secs_f64((all / CALLS_PER_S).clamp(WAIT_LEAST, WAIT_MOST))
}

pub fn start(
    discovery: SocketAddr,
    clock: Clock,
    wait: Duration,
    generation: Option<String>,
    decisions: mpsc::Sender<decisions::Mail>,
) -> mpsc::Sender<Mail> {
    let (mail, mailbox) = mpsc::channel(MAILBOX);
    let room = Arc::new(Semaphore::new(MOST_LIST));
    let list = List { discovery, clock, wait, decisions, generation, link: None, room };
    tokio::spawn(list.run(mailbox));
    mail
}

impl List {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Mail>) {
        while let Some(mail) = mailbox.recv().await {
            self.heed(mail);
            while let Some(news) = self.call(&mut mailbox).await {
                let failed = matches!(news, decisions::Mail::ListFailed);
                if self.decisions.send(news).await.is_err() || failed {
                    break;
                }
            }
        }
    }

    fn heed(&mut self, wish: Mail) {
        match wish {
            Mail::Watch => {}
            Mail::Fetch => self.generation = None,
            // The watch goes on from the version we have: it is one service, at another address. Guards against
            // balancers that all ask for the whole list in one go, which it then can't answer in time.
            Mail::Move(discovery) => (self.discovery, self.link) = (discovery, None),
        }
    }

    /// One call; any wish but to watch cuts it short. Empty when nobody wants news any more.
    async fn call(&mut self, mailbox: &mut mpsc::Receiver<Mail>) -> Option<decisions::Mail> {
        let asked = loop {
            let mut news = Box::pin(timeout(self.wait + GRACE, self.ask()));
            let wish = loop {
                tokio::select! {
                    asked = &mut news => break Err(asked),
                    wish = mailbox.recv() => match wish? {
                        Mail::Watch => {}
                        wish => break Ok(wish),
                    },
                }
            };
            drop(news);
            match wish {
                Ok(wish) => self.heed(wish),
                Err(asked) => break asked,
            }
        };
        let read = match asked {
            Ok(Ok(answer)) => parse(answer).await,
            Ok(Err(why)) => Err(why),
            Err(_) => Err("no answer in time".into()),
        };
        Some(match read {
            Ok((generation, whole, entries)) => {
                // It was read as a number.
                let version = generation.parse().unwrap_or(0);
                self.generation = Some(generation);
                decisions::Mail::List { whole, old: false, version, entries }
            }
            Err(why) => {
                self.link = None;
                warn!("list: {why}");
                decisions::Mail::ListFailed
            }
        })
    }

    async fn ask(&mut self) -> Result<Bytes, String> {
        let wait = self.wait.as_millis();
        let path = match &self.generation {
            Some(generation) => format!("/catalog/members?after={generation}&wait_ms={wait}"),
            None => "/catalog/members".to_owned(),
        };
        let req = Request::get(path).header(HOST, self.discovery.to_string()).body(());
        // Taken, so that a call cut short takes its connection with it.
        let mut link = match self.link.take().and_then(|mut link| link.is_reusable().then_some(link)) {
            Some(link) => link,
            None => {
                let opening =
                    timeout(GRACE, OutboundConnection::open(self.discovery, self.clock, None, None));
                opening.await.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?
            }
        };
        let (answer, again) = link.exchange(req.map_err(|e| e.to_string())?, MOST_LIST, &self.room).await?;
        self.link = Some(link).filter(|_| again);
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        Ok(answer.into_body())
    }
}

/// Reads an answer. A long one is read beside the thread that reqs go through: a list of 10,000 srvs takes tens of
/// milliseconds.
async fn parse(answer: Bytes) -> Result<News, String> {
    let short = answer.len() <= SHORT;
    let parse = move || read(&serde_json::from_slice(&answer).map_err(|e| e.to_string())?);
    if short { parse() } else { spawn_blocking(parse).await.map_err(|e| e.to_string())? }
}

/// Its version, whether it is the whole list, and its entries. One that can't be reached from here is left out.
pub fn read(answer: &Json) -> Result<News, String> {
    let entries = answer["instances"].as_array().ok_or("no instances in the answer")?;
    let whole = answer["reset"].as_bool().ok_or("no reset in the answer")?;
    let generation = Some(&answer["generation"]).filter(|generation| generation.is_u64());
    let generation = generation.ok_or("no generation in the answer")?.to_string();
    let entries = entries.iter().map(entry).collect::<Result<Vec<_>, _>>()?;
    Ok((generation, whole, entries.into_iter().flatten().collect()))
}

fn entry(json: &Json) -> Result<Option<Entry>, String> {
    let srv = json["instanceId"].as_str().ok_or("an entry without instanceId")?;
    let state = match json["lifecycle"].as_str() {
        Some("SERVING") => State::Up,
        Some("DRAINING") => State::Draining,
        Some("DELETED") => State::Gone,
        // Whatever else it is, it is not up.
        other => {
            warn!("list: {srv} is {}, taken for draining", other.unwrap_or("in no state"));
            State::Draining
        }
    };
    let address = json["hostPort"].as_str().and_then(|text| text.parse().ok());
    let Some(address) = address.or((state == State::Gone).then_some(NOWHERE)) else {
        warn!("list: {srv} has no address that can be reached");
        return Ok(None);
    };
    let came_up = json["startedAtMs"].as_f64().filter(|ms| *ms > 0.0).map(|ms| (ms * 1e6) as u64);
    let weight = json["weight"].as_f64().filter(|weight| weight.is_finite() && *weight > 0.0);
    let listed = Listed {
        srv: srv.into(),
        state,
        came_up,
        weight: weight.unwrap_or(1.0),
        site: json["zone"].as_str().unwrap_or_default().into(),
        cell: json["cell"].as_u64().unwrap_or(0),
    };
    Ok(Some((listed, address)))
}

/// What is gone needs no address.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

#[cfg(test)]
mod tests {
    use std::fmt::Write;

    use ochreshed::Value;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    use super::*;

    /// The next call that comes to a stand-in for discovery, and the connection it came on.
    async fn call(discovery: &TcpListener) -> (String, TcpStream) {
        let (mut caller, _) = discovery.accept().await.expect("a caller");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            call.push(caller.read_u8().await.expect("a whole head"));
        }
        (String::from_utf8_lossy(&call).lines().next().unwrap_or_default().to_owned(), caller)
    }

    fn fleet(instances: f64) -> Facts {
        [("instances", instances), ("tiers", 3.0)].map(|(name, n)| (name.into(), Value::Number(n))).into()
    }

    #[tokio::test]
    async fn a_watch_that_falls_silent_is_given_up_and_begun_again_from_what_is_known() {
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = discovery.local_addr().expect("an address");
        let (decisions, mut told) = mpsc::channel(4);
        let list = start(at, Clock::new(), wait(&fleet(10.0)), Some("4".into()), decisions);
        list.send(Mail::Watch).await.expect("a list");
        let (first, _silent) = call(&discovery).await;
        // Noticed after 22 s, as with one long wait for fleets of any size, it is noticed too late.
        let failed =
            timeout(Duration::from_secs(6), told.recv()).await.expect("still waiting for a silent watch");
        assert!(matches!(failed, Some(decisions::Mail::ListFailed)));
        list.send(Mail::Watch).await.expect("a list");
        let (second, mut caller) = call(&discovery).await;
        assert_eq!((first.as_str(), &first), ("GET /catalog/members?after=4&wait_ms=1000 HTTP/1.1", &second));
        let news = answer(1, r#"{"instanceId":"t","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}"#);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", news.len());
        caller.write_all(&[head.as_bytes(), &news].concat()).await.expect("sent");
        assert!(
            matches!(told.recv().await, Some(decisions::Mail::List { old: false, entries, .. }) if entries.len() == 2)
        );
    }

    #[test]
    fn a_fleet_of_any_size_calls_for_lists_at_a_bounded_rate() {
        for instances in [1.0, 10.0, 17.0, 100.0, 300.0] {
            let calls = 3.0 * instances / wait(&fleet(instances)).as_secs_f64();
            assert!(calls <= CALLS_PER_S + 1e-6, "{calls} calls a second by {instances} instances");
        }
        assert_eq!(wait(&fleet(10_000.0)).as_secs(), 20);
    }

    fn answer(srvs: usize, last: &str) -> Bytes {
        let mut text = String::from(r#"{"generation":7,"reset":true,"instances":["#);
        for number in 0..srvs {
            write!(text, r#"{{"instanceId":"s{number}","hostPort":"127.0.0.1:9","lifecycle":"SERVING"}},"#)
                .expect("a String takes it");
        }
        text += last;
        Bytes::from(text + "]}")
    }

    #[tokio::test]
    async fn a_long_list_is_read_as_a_short_one_is() {
        let last = r#"{"instanceId":"last","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}"#;
        for srvs in [1, 5_000] {
            let answer = answer(srvs, last);
            assert_eq!(answer.len() > SHORT, srvs > 1);
            let (generation, whole, entries) = parse(answer).await.expect("a list");
            assert_eq!((&*generation, whole, entries.len()), ("7", true, srvs + 1));
            assert_eq!(entries[srvs].0.state, State::Draining);
        }
        for srvs in [1, 5_000] {
            let why = parse(answer(srvs, r#"{"hostPort":"127.0.0.1:9"}"#)).await.err();
            assert_eq!(why.as_deref(), Some("an entry without instanceId"));
            assert!(parse(answer(srvs, "{")).await.is_err());
        }
    }
}
