//! Tests of the inbound proxy on loopback, with upstreams that respond when the test lets them, report a wrong health or drop
//! connections: which requests are admitted, and which outcome a request without a response has.

use ochreshed_catalog::configuration::MemberShares;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::body::RequestMessage;
use crate::mesh::proxy::replica_pool::ReplicaPool;

/// An inbound proxy whose upstream `i-1` has this concurrency limit, and the upstream's listener.
async fn proxy_with_upstream(concurrency_limit: u32) -> (Arc<InboundProxy>, TcpListener) {
    let (proxy, listener, upstream_address) = proxy_without_heartbeat().await;
    send_heartbeat(&proxy, upstream_address, "i-1", 1, concurrency_limit, "open_for_post").await;
    (proxy, listener)
}

/// An inbound proxy whose upstream has sent no heartbeat.
async fn proxy_without_heartbeat() -> (Arc<InboundProxy>, TcpListener, SocketAddr) {
    proxy_with_replicas(Arc::new(ReplicaPool::new(Clock::new()))).await
}

/// Like [`proxy_without_heartbeat`], with these replicas of the control plane.
pub(super) async fn proxy_with_replicas(
    replicas: Arc<ReplicaPool>,
) -> (Arc<InboundProxy>, TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let upstream_address = listener.local_addr().expect("its address");
    let settings = InboundSettings {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        upstream_address: Some(upstream_address),
        drain_timeout: Duration::from_secs(2),
        max_connections: 64,
        read_ahead_bytes: 1 << 20,
        link_mbps: 1_000.0,
        tombstones: TombstoneClient {
            replicas,
            clients: Arc::default(),
            inbound_proxy: SocketAddr::from(([127, 0, 0, 1], 1)),
        },
    };
    (InboundProxy::new(settings, Clock::new(), 1), listener, upstream_address)
}

pub(super) async fn send_heartbeat(
    proxy: &Arc<InboundProxy>,
    address: SocketAddr,
    id: &str,
    sequence: u64,
    concurrency_limit: u32,
    state: &str,
) {
    let notice = format!(r#"{{"line":"x","edition":"v1","zone":"a","pigeonholes":{concurrency_limit}}}"#);
    let status = format!(r#"{{"state":"{state}","postmark_seq":{sequence},"cold_left_ms":0}}"#);
    let heartbeat = format!(r#"{{"address":"{address}","notice":{notice},"status":{status}}}"#);
    proxy.handle_heartbeat(id, heartbeat.as_bytes()).await.expect("a valid heartbeat");
}

/// Forwards a request with this number of earlier rejections and this latency target. Returns its outcome.
pub(super) fn forward(
    proxy: &Arc<InboundProxy>,
    id: &str,
    rejections: u32,
    target_ms: u64,
) -> tokio::task::JoinHandle<&'static str> {
    forward_with(proxy, id, (rejections, target_ms), None, None)
}

/// The same for a request of a session or a member.
fn forward_with(
    proxy: &Arc<InboundProxy>,
    id: &str,
    (rejections, target_ms): (u32, u64),
    fencing_token: Option<FencingToken>,
    member_share: Option<MemberShare>,
) -> tokio::task::JoinHandle<&'static str> {
    let mut head = hyper::Request::new(());
    head.headers_mut().insert(REQUEST_ID, HeaderValue::try_from(id).expect("an id"));
    let message = Arc::new(RequestMessage {
        head,
        first_bytes: bytes::Bytes::new(),
        body_length: Some(0),
        remainder: None,
    });
    let proxy = proxy.clone();
    tokio::spawn(async move {
        let (caller, now) = (HeaderValue::from_static("y"), proxy.clock.now());
        let (target_at, deadline) = (now + target_ms * MS, now + 20_000 * MS);
        let request = InboundRequest {
            message: &message,
            upstream_id: "i-1",
            caller: &caller,
            rejections,
            has_affinity: false,
            is_retry: false,
            is_nested: false,
            is_large: false,
            is_remote: false,
            fencing_token,
            target_at,
            deadline,
            member_share,
        };
        proxy.forward(request).await.wire_name()
    })
}

/// Accepts the next request at the upstream. Returns its id and its connection.
async fn accept_request(listener: &TcpListener) -> (String, tokio::net::TcpStream) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(head).expect("text");
    let id = head.lines().find_map(|line| line.strip_prefix("ochreshed-consignment-id: ")).expect("an id");
    (id.to_owned(), stream)
}

async fn respond(received: (String, tokio::net::TcpStream)) {
    respond_with(received, "200 OK").await;
}

async fn respond_with((id, mut stream): (String, tokio::net::TcpStream), status: &str) {
    let headers = format!("ochreshed-consignment-id: {id}\r\nochreshed-postmark: s\r\nconnection: close");
    let response = format!("HTTP/1.1 {status}\r\n{headers}\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(response.as_bytes()).await.expect("written");
}

async fn wait_for_requests_in_flight(proxy: &InboundProxy, count: usize) {
    while proxy.requests_in_flight() != count {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_full_proxy_rejects_new_requests_and_admits_queued_ones_by_their_targets() {
    let (proxy, upstream) = proxy_with_upstream(1).await;
    let first = forward(&proxy, "a", 0, 10_000);
    let at_upstream = accept_request(&upstream).await;
    assert_eq!(forward(&proxy, "b", 0, 10_000).await.expect("no panic"), "turned");
    // Requests that were rejected elsewhere before are queued; the one with the earlier target is admitted first.
    let later = forward(&proxy, "c", 3, 9_000);
    wait_for_requests_in_flight(&proxy, 2).await;
    let sooner = forward(&proxy, "d", 3, 5_000);
    wait_for_requests_in_flight(&proxy, 3).await;
    respond(at_upstream).await;
    let at_upstream = accept_request(&upstream).await;
    assert_eq!((first.await.expect("no panic"), &*at_upstream.0), ("ran", "d"));
    respond(at_upstream).await;
    respond(accept_request(&upstream).await).await;
    assert_eq!((sooner.await.expect("no panic"), later.await.expect("no panic")), ("ran", "ran"));
}

#[tokio::test]
async fn a_permit_granted_to_a_cancelled_request_is_not_lost() {
    let (proxy, upstream) = proxy_with_upstream(1).await;
    for round in 0..20 {
        let first = forward(&proxy, "a", 0, 10_000);
        let at_upstream = accept_request(&upstream).await;
        let queued = forward(&proxy, "b", 3, 10_000);
        wait_for_requests_in_flight(&proxy, 2).await;
        // Its client disconnects at the moment at which the permit becomes free.
        first.abort();
        queued.abort();
        drop(at_upstream);
        wait_for_requests_in_flight(&proxy, 0).await;
        let next_request = forward(&proxy, "c", 0, 10_000);
        respond(accept_request(&upstream).await).await;
        assert_eq!(next_request.await.expect("no panic"), "ran", "round {round}");
    }
}

/// Guards against running a late request from an outbound proxy that no longer owns the session, also if the request was queued
/// here when the session moved.
#[tokio::test]
async fn requests_of_a_former_session_owner_never_run() {
    let (proxy, upstream) = proxy_with_upstream(1).await;
    let token = |since_term| Some(FencingToken { session: 7, since_term });
    let first = forward_with(&proxy, "a", (0, 10_000), token(2), None);
    let at_upstream = accept_request(&upstream).await;
    let queued = forward_with(&proxy, "b", (3, 9_000), token(2), None);
    wait_for_requests_in_flight(&proxy, 2).await;
    let moved = forward_with(&proxy, "c", (3, 10_000), token(5), None);
    wait_for_requests_in_flight(&proxy, 3).await;
    assert_eq!(forward_with(&proxy, "d", (0, 10_000), token(4), None).await.expect("no panic"), "fenced");
    respond(at_upstream).await;
    let at_upstream = accept_request(&upstream).await;
    assert_eq!((first.await.expect("no panic"), &*at_upstream.0), ("ran", "c"));
    respond(at_upstream).await;
    assert_eq!((queued.await.expect("no panic"), moved.await.expect("no panic")), ("fenced", "ran"));
}

/// Guards against a member whose requests hang and block others, and against an outbound proxy with an outdated share.
#[tokio::test]
async fn a_members_requests_are_limited_to_its_share_as_configured_on_this_node() {
    let (proxy, upstream) = proxy_with_upstream(4).await;
    let member_share = |share| Some(MemberShare { member: "norte".into(), share });
    let mut hanging = Vec::new();
    let mut runs = Vec::new();
    for id in ["a", "b"] {
        runs.push(forward_with(&proxy, id, (3, 10_000), None, member_share(0.5)));
        hanging.push(accept_request(&upstream).await);
    }
    runs.push(forward_with(&proxy, "c", (3, 10_000), None, member_share(0.5)));
    wait_for_requests_in_flight(&proxy, 3).await;
    // Two slots are free, and other requests get them at once.
    for id in ["d", "e"] {
        let run = forward(&proxy, id, 0, 10_000);
        respond(accept_request(&upstream).await).await;
        assert_eq!(run.await.expect("no panic"), "ran");
    }
    // The configuration in force here has a lower share: a running request must end before a queued one is admitted.
    let share = MemberShares { member: "norte".into(), retry: 0.0, concurrency: 0.25 };
    proxy.set_member_shares(&Arc::new([(share.member.clone(), Arc::new(share))].into()));
    runs.push(forward_with(&proxy, "f", (3, 9_000), None, member_share(0.5)));
    wait_for_requests_in_flight(&proxy, 4).await;
    respond(hanging.remove(0)).await;
    assert_eq!(runs.remove(0).await.expect("no panic"), "ran");
    assert_eq!((proxy.load(), lock(&proxy.admission).queue_length()), (3, 2));
    respond(hanging.remove(0)).await;
    for id in ["f", "c"] {
        let received = accept_request(&upstream).await;
        assert_eq!(received.0, id);
        respond(received).await;
    }
    for run in runs {
        assert_eq!(run.await.expect("no panic"), "ran");
    }
}

/// Guards against malformed parameters from other programs, and against member names that are not ASCII.
#[test]
fn request_parameters_are_parsed_and_malformed_ones_ignored() {
    let parse = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(
            REQUEST_PARAMETERS,
            HeaderValue::from_str(value)
                .or(HeaderValue::from_bytes(value.as_bytes()))
                .expect("a header value"),
        );
        let RequestParameters {
            target_ms,
            rejections,
            has_affinity,
            is_retry,
            is_nested,
            is_large,
            member_share,
        } = RequestParameters::from_headers(&headers, 700);
        assert_eq!(has_affinity, value.split(' ').nth(2).is_some_and(|flags| flags.contains('t')), "{value}");
        let member = member_share.map(|member| (member.share, member.member.to_string()));
        (target_ms, rejections, is_retry, is_nested, is_large, member)
    };
    let member = |share, name: &str| Some((share, name.to_owned()));
    assert_eq!(parse("250 2 acl"), (250, 2, true, true, true, None));
    assert_eq!(parse("250 2 at"), (250, 2, true, false, false, None));
    assert_eq!(parse("250 0 "), (250, 0, false, false, false, None));
    assert_eq!(parse("250 0  0.5 norte"), (250, 0, false, false, false, member(0.5, "norte")));
    assert_eq!(parse("250 1 c 0.25 são  joão"), (250, 1, false, true, false, member(0.25, "são  joão")));
    for malformed in ["", "x y z", "250 0 c 0.5", "250 0 c half norte", "250 0 c 0.5 "] {
        assert_eq!(parse(malformed).5, None, "{malformed}");
    }
    assert_eq!(parse(&format!("250 0 c 0.5 {}", "x".repeat(257))).5, None);
}

/// Guards against an upstream that fails half of its requests while its heartbeats report it as healthy: each outbound proxy
/// alone sees too few of them to tell.
#[tokio::test]
async fn the_record_shows_a_failing_upstream_and_a_new_incarnation_starts_healthy() {
    let (proxy, upstream) = proxy_with_upstream(2).await;
    let run_requests = async |count: usize, status: &dyn Fn(usize) -> &'static str| {
        for index in 0..count {
            let sent = forward(&proxy, "a", 0, 10_000);
            respond_with(accept_request(&upstream).await, status(index)).await;
            assert_eq!(sent.await.expect("no panic"), "ran");
        }
    };
    run_requests(40, &|_| "200 OK").await;
    let sequence = proxy.endpoint_record().sequence;
    assert!(proxy.endpoint_record().health.is_healthy());
    run_requests(24, &|index| ["500 Broken", "200 OK"][index % 2]).await;
    let record = proxy.endpoint_record();
    assert!(record.health.failure_level >= 1 && record.sequence > sequence, "{record:?}");
    // Heartbeats report the upstream as healthy, which doesn't affect its health here.
    let upstream_address = upstream.local_addr().expect("its address");
    send_heartbeat(&proxy, upstream_address, "i-1", 2, 2, "open_for_post").await;
    assert_eq!(proxy.endpoint_record().health, record.health);
    send_heartbeat(&proxy, upstream_address, "i-2", 1, 2, "open_for_post").await;
    assert!(proxy.endpoint_record().health.is_healthy());
}

#[tokio::test]
async fn a_new_incarnation_gets_no_request_addressed_to_the_previous_one() {
    let (proxy, upstream) = proxy_with_upstream(2).await;
    let upstream_address = upstream.local_addr().expect("its address");
    send_heartbeat(&proxy, upstream_address, "i-2", 1, 2, "open_for_post").await;
    assert_eq!(forward(&proxy, "a", 0, 10_000).await.expect("no panic"), "gone");
    // A late heartbeat of the previous incarnation changes nothing.
    send_heartbeat(&proxy, upstream_address, "i-1", 9, 2, "open_for_post").await;
    assert_eq!(forward(&proxy, "a", 0, 10_000).await.expect("no panic"), "gone");
    assert_eq!(proxy.endpoint_record().upstream_id, "i-2");
}

/// Guards against an upstream that signs off without draining and whose last heartbeat arrives seconds late, at this process or
/// at one that has restarted since.
#[tokio::test]
async fn a_late_heartbeat_restores_no_incarnation_that_has_signed_off() {
    let (proxy, upstream) = proxy_with_upstream(2).await;
    let upstream_address = upstream.local_addr().expect("its address");
    proxy.end_upstream("i-1");
    send_heartbeat(&proxy, upstream_address, "i-1", 9, 2, "open_for_post").await;
    assert_eq!(forward(&proxy, "a", 0, 10_000).await.expect("no panic"), "gone");
    // The incarnation is unknown here when it signs off.
    let (proxy, _, upstream_address) = proxy_without_heartbeat().await;
    proxy.end_upstream("i-1");
    send_heartbeat(&proxy, upstream_address, "i-1", 9, 2, "open_for_post").await;
    assert_eq!(forward(&proxy, "a", 0, 10_000).await.expect("no panic"), "gone");
    // The incarnation signed off or drained before a restart of this process, as other nodes report before or after the late
    // heartbeat.
    for state in [UpstreamState::Absent, UpstreamState::Draining] {
        let (proxy, _, upstream_address) = proxy_without_heartbeat().await;
        send_heartbeat(&proxy, upstream_address, "i-1", 9, 2, "open_for_post").await;
        assert_eq!(proxy.endpoint_record().state, UpstreamState::Serving);
        proxy.restore_upstream_state("i-1", state);
        send_heartbeat(&proxy, upstream_address, "i-1", 10, 2, "open_for_post").await;
        assert_eq!(forward(&proxy, "a", 0, 10_000).await.expect("no panic"), "gone", "{state:?}");
        // A new incarnation is not affected.
        send_heartbeat(&proxy, upstream_address, "i-2", 1, 2, "open_for_post").await;
        assert_eq!(proxy.endpoint_record().state, UpstreamState::Serving);
    }
    let (proxy, _, upstream_address) = proxy_without_heartbeat().await;
    proxy.restore_upstream_state("i-1", UpstreamState::Absent);
    send_heartbeat(&proxy, upstream_address, "i-1", 9, 2, "open_for_post").await;
    assert_eq!(forward(&proxy, "a", 0, 10_000).await.expect("no panic"), "gone");
}

#[tokio::test]
async fn nested_calls_are_recognized_by_the_id_of_their_run() {
    let (proxy, upstream) = proxy_with_upstream(2).await;
    let run = forward(&proxy, "f00", 0, 10_000);
    let at_upstream = accept_request(&upstream).await;
    assert_eq!(
        (
            proxy.record_nested_call(b"f00"),
            proxy.record_nested_call(b"f001.2"),
            proxy.endpoint_record().calls_services
        ),
        (None, None, false)
    );
    assert_eq!(
        (proxy.record_nested_call(b"f00.2"), proxy.endpoint_record().calls_services),
        (Some(false), true)
    );
    respond(at_upstream).await;
    assert_eq!(run.await.expect("no panic"), "ran");
    assert_eq!(proxy.record_nested_call(b"f00.3"), None);
}

/// Guards against an upstream that is excluded for good, or accepted as another incarnation, because of one wrong response to
/// the health check.
#[tokio::test]
async fn a_wrong_health_response_counts_only_until_the_next_heartbeat() {
    let cases = [
        ("200 OK", "i-1", UpstreamState::Serving, UpstreamState::Serving),
        ("200 OK", "i-1", UpstreamState::Draining, UpstreamState::Draining),
        ("200 OK", "i-0", UpstreamState::Serving, UpstreamState::Absent),
        ("500 Broken", "i-1", UpstreamState::Serving, UpstreamState::Absent),
        ("503 Not now", "i-1", UpstreamState::Serving, UpstreamState::Absent),
    ];
    for (status, responding_id, recorded, found) in cases {
        let (proxy, upstream, upstream_address) = proxy_without_heartbeat().await;
        let record = EndpointRecord {
            service: "x".into(),
            upstream_id: "i-1".into(),
            state: recorded,
            concurrency_limit: 1,
            ..proxy.endpoint_record()
        };
        let probe = tokio::spawn(proxy.clone().restore_probed_upstream(record, "/health".into()));
        let (mut stream, _) = upstream.accept().await.expect("a probe");
        let head =
            format!("HTTP/1.1 {status}\r\nochreshed-delivered-by: {responding_id}\r\nconnection: close");
        let response = format!("{head}\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(response.as_bytes()).await.expect("written");
        probe.await.expect("no panic");
        assert_eq!(proxy.endpoint_record().state, found, "{status} of {responding_id}");
        // The upstream's own heartbeat counts, except that a draining incarnation stays so.
        send_heartbeat(&proxy, upstream_address, "i-1", 1, 1, "open_for_post").await;
        let serves = recorded == UpstreamState::Serving;
        assert_eq!(
            proxy.endpoint_record().state,
            if serves { UpstreamState::Serving } else { UpstreamState::Draining },
            "{status} of {responding_id}"
        );
        if serves {
            let sent = forward(&proxy, "a", 0, 10_000);
            respond_to_next(&upstream).await;
            assert_eq!(sent.await.expect("no panic"), "ran", "{status} of {responding_id}");
        }
    }
}

async fn respond_to_next(upstream: &TcpListener) {
    respond(accept_request(upstream).await).await;
}

/// Reads one request from a connection and responds, and keeps the connection open.
async fn respond_on(stream: &mut tokio::net::TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(head).expect("text");
    let id = head.lines().find_map(|line| line.strip_prefix("ochreshed-consignment-id: ")).expect("an id");
    let headers = format!("ochreshed-consignment-id: {id}\r\nochreshed-postmark: s\r\ncontent-length: 0");
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").as_bytes()).await.expect("written");
}

/// Guards against losing a request on an idle connection that is detectably closed, against reporting a lost request as not run
/// when that is unknown, and against losing a second request in the same way.
#[tokio::test]
async fn a_dropped_idle_connection_loses_at_most_one_request_which_may_have_run() {
    let (proxy, upstream) = proxy_with_upstream(2).await;
    let send = |id: &str| forward(&proxy, id, 0, 10_000);
    let accept = || async {
        let accepted = tokio::time::timeout(Duration::from_secs(10), upstream.accept()).await;
        accepted.expect("a new connection").expect("a connection").0
    };
    let outcome = |sent: tokio::task::JoinHandle<&'static str>| async { sent.await.expect("no panic") };
    let advance_idle_time =
        |by| lock(&proxy.state).upstream.as_ref().expect("an upstream").connections.advance_idle_time(by);
    // A connection in use is kept.
    let first = send("a");
    let mut connection = accept().await;
    respond_on(&mut connection).await;
    assert_eq!(outcome(first).await, "ran");
    let second = send("b");
    respond_on(&mut connection).await;
    assert_eq!(outcome(second).await, "ran");
    // If it was closed or reset while idle, the next request uses a new one.
    for reset in [false, true] {
        let linger = reset.then_some(Duration::ZERO);
        socket2::SockRef::from(&connection).set_linger(linger).expect("an option");
        drop(connection);
        let next = send("c");
        connection = accept().await;
        respond_on(&mut connection).await;
        assert_eq!(outcome(next).await, "ran", "reset: {reset}");
    }
    // A connection that was idle for too long isn't reused.
    advance_idle_time(1_100 * MS);
    let next = send("d");
    connection = accept().await;
    respond_on(&mut connection).await;
    assert_eq!(outcome(next).await, "ran");
    advance_idle_time(100 * MS);
    // The upstream has dropped the connection, which shows only once a request is sent: that request may have run.
    let lost = send("e");
    connection.peek(&mut [0]).await.expect("request bytes");
    socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(connection);
    assert_eq!(outcome(lost).await, "reset");
    // No connection that has been idle for as long is reused.
    let next = send("f");
    connection = accept().await;
    respond_on(&mut connection).await;
    assert_eq!(outcome(next).await, "ran");
    advance_idle_time(500 * MS);
    let next = send("g");
    respond_on(&mut accept().await).await;
    assert_eq!(outcome(next).await, "ran");
}
