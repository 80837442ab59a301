//! Tests of exchanges on reused connections with an upstream that is silent, resets, half-closes, or responds twice, early,
//! late or to another request: the result of the exchange, which response it returns, and how often the request arrives.

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
use crate::mesh::proxy::headers::REQUEST_ID;

const MS: u64 = 1_000_000;

/// What the upstream does with the second request on its first connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SecondRequest {
    /// Responds to it, like to the first.
    Respond,
    /// Has sent a surplus response to the first request before the second one arrives.
    SurplusResponseBefore,
    /// Sends the surplus response to the first request once the second one has arrived.
    SurplusResponseAfter,
    RespondWithOtherId,
    StaySilent,
    Reset,
    HalfClose,
    /// Closes the connection while it is idle.
    CloseIdle,
    /// Responds after reading the head only.
    RespondEarly,
    /// Begins to run it after reading the head only, then resets the connection.
    ResetWithinBody,
    /// Begins to run it after reading the head only, and reads and sends nothing more.
    StaySilentWithinBody,
}

impl SecondRequest {
    /// Whether the upstream begins with the request once it has its head, while a long body is still being sent.
    fn begins_with_head(self) -> bool {
        matches!(
            self,
            SecondRequest::RespondEarly
                | SecondRequest::ResetWithinBody
                | SecondRequest::StaySilentWithinBody
        )
    }
}

fn message(id: &str, body: usize) -> Arc<RequestMessage> {
    let mut head = Request::new(());
    *head.method_mut() = Method::POST;
    *head.uri_mut() = "/x".parse().expect("a path");
    head.headers_mut().insert("host", HeaderValue::from_static("a"));
    head.headers_mut().insert(&REQUEST_ID, HeaderValue::try_from(id).expect("an id"));
    head.headers_mut().insert("content-length", HeaderValue::from(body));
    Arc::new(RequestMessage {
        head,
        first_bytes: vec![7; body].into(),
        body_length: Some(body as u64),
        remainder: None,
    })
}

/// Reads the head of the next request, and its body if `with_body` is set. Returns its id; `None` if the connection has ended.
async fn read_request(stream: &mut TcpStream, with_body: bool) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    let header = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let length: usize = header("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    if with_body {
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
    }
    header("ochreshed-consignment-id:")
}

async fn respond(stream: &mut TcpStream, id: &str) {
    let text = format!(
        "HTTP/1.1 200 OK\r\nochreshed-consignment-id: {id}\r\ncontent-length: {}\r\n\r\nof {id}",
        id.len() + 3
    );
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Serves connections, and reports the ids of the requests that arrived completely, or whose head arrived if it responds early.
async fn run_upstream(
    listener: TcpListener,
    behavior: SecondRequest,
    received: tokio::sync::mpsc::UnboundedSender<String>,
) {
    let mut first = true;
    while let Ok((mut stream, _)) = listener.accept().await {
        let (received, is_first_connection) = (received.clone(), std::mem::take(&mut first));
        tokio::spawn(async move {
            let Some(id) = read_request(&mut stream, true).await else { return };
            let _ = received.send(id.clone());
            respond(&mut stream, &id).await;
            if !is_first_connection {
                return;
            }
            match behavior {
                SecondRequest::SurplusResponseBefore => respond(&mut stream, &id).await,
                SecondRequest::CloseIdle => return,
                _ => {}
            }
            let Some(next) = read_request(&mut stream, !behavior.begins_with_head()).await else {
                return;
            };
            let _ = received.send(next.clone());
            match behavior {
                SecondRequest::Respond => return respond(&mut stream, &next).await,
                SecondRequest::RespondEarly => respond(&mut stream, &next).await,
                SecondRequest::SurplusResponseAfter => respond(&mut stream, &id).await,
                SecondRequest::RespondWithOtherId => respond(&mut stream, "another").await,
                SecondRequest::Reset | SecondRequest::ResetWithinBody => {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                SecondRequest::HalfClose => drop(stream.shutdown().await),
                _ => {}
            }
            // The connection stays open.
            tokio::time::sleep(Duration::from_secs(3)).await;
        });
    }
}

/// Makes three exchanges and returns the results of the second and the third, as bodies or errors, and the requests that
/// arrived. `check_ids` says whether response ids are checked.
async fn run_exchanges(
    behavior: SecondRequest,
    check_ids: bool,
) -> (Result<String, ExchangeError>, Result<String, ExchangeError>, Vec<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (sender, mut received) = tokio::sync::mpsc::unbounded_channel();
    let upstream = tokio::spawn(run_upstream(listener, behavior, sender));
    let clock = Clock::new();
    let pool = Arc::new(ConnectionPool::new(address, clock, Arc::new(Semaphore::new(8))));
    let exchange = |id: &'static str, body_bytes: usize| {
        let pool = pool.clone();
        async move {
            let deadline = clock.now() + 300 * MS;
            let is_match = |head: &Parts| {
                !check_ids || head.headers.get(&REQUEST_ID).is_some_and(|response_id| response_id == id)
            };
            let (_, body) =
                pool.exchange(&message(id, body_bytes), &HeaderMap::new(), deadline, None, is_match).await?;
            let bytes = body.collect().await.map_err(|_| ExchangeError::Reset)?.to_bytes();
            Ok(String::from_utf8(bytes.to_vec()).expect("text"))
        }
    };
    assert_eq!(exchange("one", 3).await, Ok("of one".to_owned()));
    // Bytes that the upstream sends after the response have time to arrive.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let body_bytes = if behavior.begins_with_head() { 16 << 20 } else { 3 };
    let (two, three) = (exchange("two", body_bytes).await, exchange("three", 3).await);
    upstream.abort();
    let mut arrived = Vec::new();
    while let Ok(id) = received.try_recv() {
        arrived.push(id);
    }
    (two, three, arrived)
}

/// Guards against a response that is returned for another request, and against resending a request that may have run.
#[tokio::test]
async fn on_reused_connections_responses_match_and_requests_that_may_have_run_are_not_resent() {
    let response = |id: &str| Ok(format!("of {id}"));
    for (behavior, expected) in [
        (SecondRequest::Respond, response("two")),
        (SecondRequest::SurplusResponseBefore, response("two")),
        (SecondRequest::CloseIdle, response("two")),
        (SecondRequest::RespondEarly, response("two")),
        (SecondRequest::SurplusResponseAfter, Err(ExchangeError::Reset)),
        (SecondRequest::RespondWithOtherId, Err(ExchangeError::Reset)),
        (SecondRequest::Reset, Err(ExchangeError::Reset)),
        (SecondRequest::HalfClose, Err(ExchangeError::Reset)),
        (SecondRequest::StaySilent, Err(ExchangeError::TimedOut)),
        (SecondRequest::ResetWithinBody, Err(ExchangeError::Reset)),
        (SecondRequest::StaySilentWithinBody, Err(ExchangeError::TimedOut)),
    ] {
        let (two, three, arrived) = run_exchanges(behavior, true).await;
        assert_eq!(two, expected, "{behavior:?}");
        assert_eq!(arrived.iter().filter(|id| *id == "two").count(), 1, "{behavior:?}: {arrived:?}");
        // The next request isn't affected by bytes that were left on the connection.
        assert_eq!(three, response("three"), "{behavior:?}");
    }
}

/// Shows that the test above can fail: without the check of the id, the wrong response is returned.
#[tokio::test]
async fn without_the_check_of_the_id_the_wrong_response_is_returned() {
    for (behavior, wrong) in
        [(SecondRequest::SurplusResponseAfter, "of one"), (SecondRequest::RespondWithOtherId, "of another")]
    {
        assert_eq!(run_exchanges(behavior, false).await.0, Ok(wrong.to_owned()), "{behavior:?}");
    }
}

/// Responds to one request with a body of this length, and pauses for this long after its first half.
async fn respond_with_pause(listener: TcpListener, body_bytes: usize, pause: Duration) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_request(&mut stream, true).await.expect("a request");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let half = vec![b'x'; body_bytes / 2];
    stream.write_all(&half).await.expect("sent");
    tokio::time::sleep(pause).await;
    let _ = stream.write_all(&half).await;
    // The connection stays open.
    tokio::time::sleep(Duration::from_secs(30)).await;
}

/// The number of bytes of the response, or the error, and how long the exchange took.
async fn exchange_with_pause(
    body_bytes: usize,
    pause: Duration,
    time_left: Duration,
) -> (Result<usize, ExchangeError>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let upstream = tokio::spawn(respond_with_pause(listener, body_bytes, pause));
    let clock = Clock::new();
    let (pool, started_at) =
        (Arc::new(ConnectionPool::new(address, clock, Arc::new(Semaphore::new(1)))), clock.now());
    let deadline = started_at + time_left.as_nanos() as u64;
    let response = pool.exchange(&message("one", 3), &HeaderMap::new(), deadline, None, |_| true).await;
    let received = match response {
        Ok((_, body)) => {
            body.collect().await.map(|body| body.to_bytes().len()).map_err(|_| ExchangeError::Reset)
        }
        Err(error) => Err(error),
    };
    upstream.abort();
    (received, Duration::from_nanos(clock.now() - started_at))
}

/// Guards against responses that are broken off before the deadline because their upstream pauses.
#[tokio::test]
async fn a_response_that_pauses_is_awaited_until_the_deadline() {
    let seconds = Duration::from_secs_f64;
    let (short, long) = (1_000, 200_000);
    let ((buffered, _), (streamed, _), (late, late_after)) = tokio::join!(
        exchange_with_pause(short, seconds(1.3), seconds(4.0)),
        exchange_with_pause(long, seconds(5.4), seconds(8.0)),
        exchange_with_pause(short, seconds(3.0), seconds(1.6)),
    );
    assert_eq!((buffered, streamed), (Ok(short), Ok(long)));
    assert_eq!(late, Err(ExchangeError::TimedOut));
    assert!(late_after >= seconds(1.6) && late_after < seconds(2.6), "{late_after:?}");
}
