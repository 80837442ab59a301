//! One hop on kept connections against an upstream that is silent, resets, half-closes, answers twice, early, late or for
//! another request: what the exchange tells, whose answer it takes, and how often the request arrived.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::body::RequestMessage;
use crate::clock::Clock;
use crate::mesh::proxy::connection_pool::{ConnectionPool, ExchangeError};
use crate::mesh::proxy::headers::ID;

const MS: u64 = 1_000_000;

/// What the upstream does with the second request on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Second {
    /// Answers it, as the first.
    Answers,
    /// Has sent one more answer to the first before it came.
    AnsweredTwice,
    /// Sends that surplus answer only once the second request is there.
    SurplusLate,
    AnswersAnother,
    Silent,
    Resets,
    HalfCloses,
    /// Closes the connection while it is idle.
    ClosedIdle,
    /// Answers when it has read the head alone, and reads on slowly.
    Early,
}

fn message(id: &str, body: usize) -> Arc<RequestMessage> {
    let mut head = Request::new(());
    *head.method_mut() = Method::POST;
    *head.uri_mut() = "/x".parse().expect("a path");
    head.headers_mut().insert("host", HeaderValue::from_static("a"));
    head.headers_mut().insert(&ID, HeaderValue::try_from(id).expect("an id"));
    head.headers_mut().insert("content-length", HeaderValue::from(body));
    Arc::new(RequestMessage {
        head,
        first_bytes: vec![7; body].into(),
        body_length: Some(body as u64),
        remainder: None,
    })
}

/// The id of the next request; nothing where the connection has ended.
async fn request(stream: &mut TcpStream, whole: bool) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    let field = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let length: usize = field("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    if whole {
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
    }
    field("ochreshed-consignment-id:")
}

async fn answer(stream: &mut TcpStream, id: &str) {
    let text = format!(
        "HTTP/1.1 200 OK\r\nochreshed-consignment-id: {id}\r\ncontent-length: {}\r\n\r\nof {id}",
        id.len() + 3
    );
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Serves connections one after the other; tells which requests arrived whole, or their heads where it answers early.
async fn upstream(
    listener: TcpListener,
    second: Second,
    received: tokio::sync::mpsc::UnboundedSender<String>,
) {
    let mut first = true;
    while let Ok((mut stream, _)) = listener.accept().await {
        let (received, on_first) = (received.clone(), std::mem::take(&mut first));
        tokio::spawn(async move {
            let Some(id) = request(&mut stream, true).await else { return };
            let _ = received.send(id.clone());
            answer(&mut stream, &id).await;
            if !on_first {
                return;
            }
            match second {
                Second::AnsweredTwice => answer(&mut stream, &id).await,
                Second::ClosedIdle => return,
                _ => {}
            }
            let Some(next) = request(&mut stream, second != Second::Early).await else { return };
            let _ = received.send(next.clone());
            match second {
                Second::Answers => return answer(&mut stream, &next).await,
                Second::Early => answer(&mut stream, &next).await,
                Second::SurplusLate => answer(&mut stream, &id).await,
                Second::AnswersAnother => answer(&mut stream, "another").await,
                Second::Resets => {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Second::HalfCloses => drop(stream.shutdown().await),
                _ => {}
            }
            // The connection stays.
            tokio::time::sleep(Duration::from_secs(3)).await;
        });
    }
}

/// What the second of two exchanges came to, and a third one after it: the bodies taken, or how they failed, and the
/// requests that arrived.
async fn play(
    second: Second,
    checks: bool,
) -> (Result<String, ExchangeError>, Result<String, ExchangeError>, Vec<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let (send, mut received) = tokio::sync::mpsc::unbounded_channel();
    let served = tokio::spawn(upstream(listener, second, send));
    let clock = Clock::new();
    let line = Arc::new(ConnectionPool::new(at, clock, Arc::new(Semaphore::new(8))));
    let exchange = |id: &'static str, body: usize| {
        let line = line.clone();
        async move {
            let until = clock.now() + 300 * MS;
            let ours = |head: &Parts| !checks || head.headers.get(&ID).is_some_and(|told| told == id);
            let (_, flow) = line.exchange(&message(id, body), &HeaderMap::new(), until, None, ours).await?;
            let bytes = flow.collect().await.map_err(|_| ExchangeError::Reset)?.to_bytes();
            Ok(String::from_utf8(bytes.to_vec()).expect("text"))
        }
    };
    assert_eq!(exchange("one", 3).await, Ok("of one".to_owned()));
    // What was sent behind the answer is there.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let body = if second == Second::Early { 16 << 20 } else { 3 };
    let (two, three) = (exchange("two", body).await, exchange("three", 3).await);
    served.abort();
    let mut arrived = Vec::new();
    while let Ok(id) = received.try_recv() {
        arrived.push(id);
    }
    (two, three, arrived)
}

/// Guards against an answer that goes to the wrong caller, and against a request that is sent once more though it may
/// have run.
#[tokio::test]
async fn on_kept_connections_each_gets_its_own_answer_and_nothing_that_may_have_run_goes_again() {
    let well = |id: &str| Ok(format!("of {id}"));
    for (second, two) in [
        (Second::Answers, well("two")),
        (Second::AnsweredTwice, well("two")),
        (Second::ClosedIdle, well("two")),
        (Second::Early, well("two")),
        (Second::SurplusLate, Err(ExchangeError::Reset)),
        (Second::AnswersAnother, Err(ExchangeError::Reset)),
        (Second::Resets, Err(ExchangeError::Reset)),
        (Second::HalfCloses, Err(ExchangeError::Reset)),
        (Second::Silent, Err(ExchangeError::TimedOut)),
    ] {
        let (got, three, arrived) = play(second, true).await;
        assert_eq!(got, two, "{second:?}");
        assert_eq!(arrived.iter().filter(|id| *id == "two").count(), 1, "{second:?}: {arrived:?}");
        // The next one is not harmed by what was left on the connection.
        assert_eq!(three, well("three"), "{second:?}");
    }
}

/// Without the look at the id the wrong answer would be taken: the cases above can fail.
#[tokio::test]
async fn without_the_check_of_the_id_the_wrong_answer_is_taken() {
    for (second, wrong) in [(Second::SurplusLate, "of one"), (Second::AnswersAnother, "of another")] {
        assert_eq!(play(second, false).await.0, Ok(wrong.to_owned()), "{second:?}");
    }
}
