//! Tests of the outbound proxy on loopback, with scripted inbound proxies, a scripted replica and clients that send raw bytes:
//! what responses clients get, and what must never reach an inbound proxy.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use expect_test::expect;
use ochreshed::Name;
use ochreshed_catalog::configuration::Configuration;
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_catalog::members::{MemberDocument, MemberRegister};
use ochreshed_catalog::overlay::apply_overlay;
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, RegisterValue, StoredResponse,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::proxy::lease_client;
use crate::mesh::proxy::listener::{self, ListenerLimits, ListenerState, ReceivedRequest};
use crate::mesh::proxy::node::{AppliedConfiguration, Node, RequestGuard};
use crate::mesh::proxy::outbound;
use crate::mesh::rpc::{self, InternalRequest, InternalResponse};
use crate::mesh::settings::Settings;
use crate::mesh::shared::member_documents::MemberEdition;

/// What a scripted inbound proxy does with a complete request.
#[derive(Clone)]
enum Behavior {
    /// The upstream runs the request and responds with this status and body.
    Respond(u16, &'static str),
    /// The inbound proxy reports this outcome.
    ReportOutcome(&'static str),
    /// Responds without the headers of an inbound proxy, like another program.
    RespondAsOtherProgram,
    /// Closes the connection without a response.
    Close,
    /// Responds like `Respond` once the test releases it, unless the connection has been closed before.
    RespondOnRelease(u16, &'static str),
}

/// A request or response as received.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        headers.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; `None` if the connection ends before its end.
async fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let mut message = Message { head: String::from_utf8(head).expect("text"), body: Vec::new() };
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                line.push(stream.read_u8().await.ok()?);
            }
            let line = String::from_utf8(line).expect("text");
            let length = usize::from_str_radix(line.trim(), 16).expect("a length");
            let mut chunk = vec![0; length + 2];
            stream.read_exact(&mut chunk).await.ok()?;
            message.body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).await.ok()?;
    Some(message)
}

/// An outbound proxy with scripted inbound proxies and a scripted replica.
struct TestProxy {
    node: Arc<Node>,
    address: SocketAddr,
    environment: Arc<Mutex<Environment>>,
    /// Releases [`Behavior::RespondOnRelease`].
    release: watch::Sender<bool>,
}

/// Scripts of the inbound proxies and the replica, and what these have received.
#[derive(Default)]
struct Environment {
    script: VecDeque<Behavior>,
    /// Complete requests at inbound proxies, each with the id of the upstream.
    received: Vec<(&'static str, Message)>,
    /// Connections to inbound proxies that ended before a complete request, also while idle.
    incomplete_requests: usize,
    /// Connections to inbound proxies that ended before the response.
    aborted_requests: usize,
    lease_responses: VecDeque<CoreResponse>,
    lease_requests: usize,
    /// The keys of these, hashed.
    lease_keys: Vec<LeaseKey>,
    completed_leases: Vec<Option<LeaseOutcome>>,
    /// Requests with this path prefix fail, whatever the script says.
    failing_path: Option<&'static str>,
}

const UPSTREAMS: [(&str, &str); 3] = [("i-1", "alpha"), ("i-2", "alpha"), ("i-3", "omega")];

fn configuration() -> RegisterValue {
    let route = |name: &str, host: &str, prefix: &str, kind: &str, line: &str| {
        format!(
            r#"{{"category":"routes","label":{{"name":"{name}"}},"manifest":{{"depot":"{host}","lane_prefix":"{prefix}",
            "route_kind":"{kind}","deadline_ms":30000,"target_ms":20000,"post_class":1,"line":"{line}","tries":2}}}}"#
        )
    };
    let all = [
        route("again", "one.example", "/again/", "resendable", "alpha"),
        route("once", "one.example", "/once/", "once_only", "alpha"),
        route("deep", "one.example", "/once/deep/", "once_only", "omega"),
        route("keyed", "one.example", "/keyed/", "registered", "alpha"),
        route("large", "one.example", "/large/", "outbound_post", "alpha"),
        route("other", "two.example", "/again/", "resendable", "omega"),
        r#"{"category":"mail_lines","label":{"name":"alpha"},"manifest":{"health":"/h","berth_cap":9}}"#
            .into(),
        r#"{"category":"mail_lines","label":{"name":"omega"},"manifest":{"health":"/h","berth_cap":9}}"#
            .into(),
    ];
    RegisterValue::new(1, format!(r#"{{"edition":"r1","consignments":[{}]}}"#, all.join(",")).into_bytes())
}

/// The same with an overlay of members' routes at paths of their own, to a service that the platform uses as well. Each member
/// has a name, a share of the retry budget and a latency target in ms.
fn configuration_with_members(members: &[(&str, f64, u64)]) -> AppliedConfiguration {
    let member = |(name, share, _): &(&str, f64, u64)| {
        format!(
            r#"{{"name":"{name}","key_sha256":"{:064x}","places":[{{"host":"one.example","prefix":"/{name}/"}}],
            "services":["alpha"],"limits":{{"deadline_ms":30000,"retry_share":{share},"slot_share":0.5}}}}"#,
            name.len()
        )
    };
    let all: Vec<String> = members.iter().map(member).collect();
    let register = format!(r#"{{"edition":"r1","members":[{}]}}"#, all.join(","));
    let register = MemberRegister::read(register.as_bytes()).expect("a register");
    let document = |(name, _, target): &(&str, f64, u64)| {
        let text = format!(
            r#"{{"edition":"r4","routes":[{{"name":"again","depot":"one.example","lane_prefix":"/{name}/",
            "route_kind":"resendable","deadline_ms":30000,"target_ms":{target},"post_class":1,"line":"alpha","tries":2}}]}}"#
        );
        (Name::from(*name), Arc::new(MemberDocument::read(text.as_bytes()).expect("a document")))
    };
    let base = Configuration::read(&configuration().bytes).expect("a configuration");
    let overlaid = apply_overlay(&base, &register, &members.iter().map(document).collect());
    assert_eq!(overlaid.violations, []);
    AppliedConfiguration::new(
        overlaid.configuration,
        [("norte".into(), MemberEdition { version: 4, canary: true })].into(),
    )
}

impl TestProxy {
    async fn new(script: &[Behavior], lease_responses: &[CoreResponse]) -> TestProxy {
        TestProxy::with_configuration(script, lease_responses, None).await
    }

    async fn with_configuration(
        script: &[Behavior],
        lease_responses: &[CoreResponse],
        overlaid: Option<AppliedConfiguration>,
    ) -> TestProxy {
        let text = "station = \"s\"\nrole = \"r\"\nip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
             inner_ports = [1, 1]\nline = \"beta\"\napp = \"127.0.0.1:1\"\n";
        let settings = Settings::parse(text).expect("settings");
        let clock = Clock::new();
        let node = Node::new(settings, SocketAddr::from(([127, 0, 0, 1], 1)), clock);
        let environment = Environment {
            script: script.to_vec().into(),
            lease_responses: lease_responses.to_vec().into(),
            ..Environment::default()
        };
        let environment = Arc::new(Mutex::new(environment));
        let (release, released) = watch::channel(false);
        let listen = || async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let at = listener.local_addr().expect("its address");
            (listener, at)
        };
        let mut records = Vec::new();
        for (id, line) in UPSTREAMS {
            let (listener, inbound_proxy) = listen().await;
            tokio::spawn(serve_inbound_proxy(listener, id, environment.clone(), released.clone()));
            records.push(EndpointRecord {
                inbound_proxy,
                incarnation: 1,
                sequence: 1,
                zone: "a".into(),
                service: line.into(),
                upstream_id: id.into(),
                software_version: "v1".into(),
                state: UpstreamState::Serving,
                concurrency_limit: 6,
                warming_up_ms: 0,
                calls_services: false,
                accepts_clients: true,
                health: Default::default(),
            });
        }
        let (replica_listener, replica) = listen().await;
        let replica_environment = environment.clone();
        tokio::spawn(rpc::serve(replica_listener, move |request| {
            let response = replica_response(&mut lock(&replica_environment), request);
            async move { response.map(InternalResponse::Core) }
        }));
        node.set_replicas(vec![replica]);
        node.apply_configuration(configuration());
        if let Some(overlaid) = overlaid {
            node.configuration.store(Some(Arc::new(overlaid)));
        }
        node.merge_records(0, records, HashSet::new());
        let (outbound_listener, address) = listen().await;
        let limits = ListenerLimits { max_connections: 64, header_timeout: Duration::from_secs(20) };
        let (state_sender, state_receiver) = watch::channel(ListenerState::Open);
        let handler_node = node.clone();
        tokio::spawn(async move {
            let _state_sender = state_sender;
            listener::serve(
                outbound_listener,
                clock,
                limits,
                state_receiver,
                Arc::default(),
                move |received: ReceivedRequest| {
                    let node = handler_node.clone();
                    async move {
                        let guard = RequestGuard::new(&node);
                        outbound::handle_request(node.clone(), received)
                            .await
                            .map(|body| body.with_guard(guard))
                    }
                },
            )
            .await;
        });
        TestProxy { node, address, environment, release }
    }

    async fn send(&self, bytes: &[u8]) -> TcpStream {
        self.node.record_replica_response(true);
        let mut stream = TcpStream::connect(self.address).await.expect("a connection");
        stream.write_all(bytes).await.expect("sent");
        stream
    }

    async fn exchange(&self, bytes: &[u8]) -> Message {
        read_message(&mut self.send(bytes).await).await.expect("a response")
    }

    /// Sends a request with an id to the first host, and returns the response.
    async fn call(&self, path: &str, headers: &str) -> Message {
        self.exchange(request_text(path, headers).as_bytes()).await
    }

    fn received(&self) -> Vec<(&'static str, Message)> {
        lock(&self.environment).received.clone()
    }

    async fn wait_until(&self, condition: impl Fn(&Environment) -> bool) {
        while !condition(&lock(&self.environment)) {
            tokio::task::yield_now().await;
        }
    }
}

fn request_text(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: one.example\r\nOchreshed-Consignment-Id: 7\r\n{headers}\r\n")
}

fn replica_response(environment: &mut Environment, request: InternalRequest) -> Option<CoreResponse> {
    match request {
        InternalRequest::Core(CoreRequest::AcquireLease { key, .. }) => {
            environment.lease_requests += 1;
            environment.lease_keys.push(key);
            Some(environment.lease_responses.pop_front().unwrap_or(CoreResponse::Unavailable))
        }
        InternalRequest::Core(CoreRequest::CompleteLease { outcome, .. }) => {
            environment.completed_leases.push(outcome);
            Some(CoreResponse::Accepted)
        }
        _ => None,
    }
}

async fn serve_inbound_proxy(
    listener: TcpListener,
    id: &'static str,
    environment: Arc<Mutex<Environment>>,
    released: watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, id, environment.clone(), released.clone()));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    id: &'static str,
    environment: Arc<Mutex<Environment>>,
    mut released: watch::Receiver<bool>,
) {
    loop {
        let Some(message) = read_message(&mut stream).await else {
            lock(&environment).incomplete_requests += 1;
            return;
        };
        let request_id = message.header("ochreshed-consignment-id").unwrap_or_default().to_owned();
        let behavior = {
            let mut environment = lock(&environment);
            let fails = environment
                .failing_path
                .is_some_and(|path| message.head.starts_with(&format!("POST {path}")));
            environment.received.push((id, message));
            let behavior =
                if fails { Some(Behavior::Respond(500, "broken")) } else { environment.script.pop_front() };
            behavior.unwrap_or(Behavior::Respond(200, "well"))
        };
        if let Behavior::RespondOnRelease(..) = behavior {
            let mut byte = [0];
            tokio::select! {
                _ = released.wait_for(|released| *released) => {}
                _ = stream.read(&mut byte) => {
                    lock(&environment).aborted_requests += 1;
                    return;
                }
            }
        }
        let headers = |outcome: &str| {
            format!(
                "ochreshed-consignment-id: {request_id}\r\nochreshed-postmark: st-{id}\r\nochreshed-way: {outcome} 1\r\n"
            )
        };
        let (status, headers, body) = match behavior {
            Behavior::Respond(status, body) | Behavior::RespondOnRelease(status, body) => {
                (status, headers("ran"), body)
            }
            Behavior::ReportOutcome(outcome) => (503, headers(outcome), ""),
            Behavior::RespondAsOtherProgram => (200, String::new(), "who are you"),
            Behavior::Close => return,
        };
        let head = format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against connections that end without a response at a shutdown: requests in flight get one, and a large response that
/// can't be completed in time isn't started.
#[tokio::test]
async fn requests_in_flight_get_a_response_when_the_process_must_end() {
    use Behavior::RespondOnRelease;
    let mut report = String::new();
    for (path, headers) in [("/again/", ""), ("/once/", ""), ("/keyed/", "Ochreshed-Tracking-Key: k\r\n")] {
        let proxy = TestProxy::new(&[RespondOnRelease(200, "late")], &[CoreResponse::LeaseGranted]).await;
        let mut stream = proxy.send(request_text(path, headers).as_bytes()).await;
        proxy.wait_until(|environment| !environment.received.is_empty()).await;
        proxy.node.begin_shutdown(Duration::from_secs(5));
        let large = proxy.call("/large/", "").await;
        proxy.node.abort_requests();
        let response = read_message(&mut stream).await.expect("a response");
        let has_retry_after = large.header("retry-after").is_some();
        report += &format!(
            "{path}: {}, large {}, retry-after {has_retry_after}\n",
            response.status(),
            large.status()
        );
        proxy.wait_until(|environment| environment.aborted_requests == 1).await;
    }
    expect![[r#"
        /again/: 502, large 200, retry-after false
        /once/: 502, large 200, retry-after false
        /keyed/: 502, large 200, retry-after false
    "#]]
    .assert_eq(&report);
    // Less time is left than a large response needs, and than the client would wait.
    let proxy = TestProxy::new(&[RespondOnRelease(200, "late")], &[]).await;
    proxy.node.begin_shutdown(Duration::from_millis(300));
    assert_eq!(proxy.call("/large/", "").await.status(), "503");
    assert_eq!(proxy.call("/once/", "").await.status(), "504");
}

/// Guards against telling a client that its request has not run when it may have, and against a second run of a request that
/// must run at most once.
#[tokio::test]
async fn a_client_is_told_not_run_only_if_nothing_may_have_run() {
    use Behavior::{Close, ReportOutcome, Respond, RespondAsOtherProgram};
    let cases: [(&str, &[Behavior]); 19] = [
        ("/once/", &[ReportOutcome("full"), ReportOutcome("full")]),
        ("/once/", &[ReportOutcome("gone"), Respond(200, "a")]),
        ("/once/", &[ReportOutcome("unreachable"), Respond(200, "a")]),
        ("/once/", &[ReportOutcome("unsent")]),
        ("/once/", &[ReportOutcome("turned"), Respond(200, "a")]),
        ("/again/", &[ReportOutcome("turned"), Close, Respond(200, "a")]),
        ("/once/", &[Close]),
        ("/once/", &[ReportOutcome("full"), Close]),
        ("/once/", &[ReportOutcome("reset")]),
        ("/once/", &[ReportOutcome("late")]),
        ("/once/", &[RespondAsOtherProgram]),
        ("/once/", &[Respond(503, "not now")]),
        ("/once/", &[Respond(429, "not now")]),
        ("/once/", &[Respond(500, "broken")]),
        ("/once/", &[Respond(404, "no such thing")]),
        ("/again/", &[Close, Respond(200, "a")]),
        ("/again/", &[Respond(503, "not now"), Respond(200, "a")]),
        ("/again/", &[Respond(500, "broken"), Respond(500, "again")]),
        ("/again/", &[ReportOutcome("full"), ReportOutcome("full")]),
    ];
    let mut report = String::new();
    for (path, script) in cases {
        let proxy = TestProxy::new(script, &[]).await;
        let response = proxy.call(path, "").await;
        let received = proxy.received();
        let retry_after = if response.header("retry-after").is_some() { ", retry-after" } else { "" };
        let body = String::from_utf8_lossy(&response.body).trim().to_owned();
        let behaviors: Vec<String> = script
            .iter()
            .map(|behavior| match behavior {
                Respond(status, _) => format!("ran {status}"),
                ReportOutcome(outcome) => (*outcome).to_owned(),
                Close => "closes".into(),
                _ => "other program's 200".into(),
            })
            .collect();
        report += &format!(
            "{path} {}: {} {body:?}{retry_after}, {} sent\n",
            behaviors.join(", "),
            response.status(),
            received.len()
        );
        assert_eq!(response.header("ochreshed-consignment-id"), Some("7"));
        assert!(received.windows(2).all(|pair| pair[0].0 != pair[1].0), "each to another upstream");
    }
    expect![[r#"
        /once/ full, full: 503 "not run: come back", retry-after, 2 sent
        /once/ gone, ran 200: 200 "a", 2 sent
        /once/ unreachable, ran 200: 200 "a", 2 sent
        /once/ unsent: 503 "not run: come back", retry-after, 1 sent
        /once/ turned, ran 200: 200 "a", 2 sent
        /again/ turned, closes, ran 200: 502 "it may have run", 2 sent
        /once/ closes: 502 "it may have run", 1 sent
        /once/ full, closes: 502 "it may have run", 2 sent
        /once/ reset: 502 "it may have run", 1 sent
        /once/ late: 502 "it may have run", 1 sent
        /once/ other program's 200: 502 "it may have run", 1 sent
        /once/ ran 503: 502 "it may have run", 1 sent
        /once/ ran 429: 502 "it may have run", 1 sent
        /once/ ran 500: 500 "broken", 1 sent
        /once/ ran 404: 404 "no such thing", 1 sent
        /again/ closes, ran 200: 200 "a", 2 sent
        /again/ ran 503, ran 200: 200 "a", 2 sent
        /again/ ran 500, ran 500: 500 "again", 2 sent
        /again/ full, full: 503 "not run: come back", retry-after, 2 sent
    "#]]
    .assert_eq(&report);
}

/// Guards against a run without a lease, and against a response to a repeated key that differs from the first one.
#[tokio::test]
async fn a_keyed_request_is_answered_by_the_outcome_of_its_lease() {
    let first = StoredResponse {
        status: 201,
        headers: vec![("ochreshed-postmark".into(), "st-0".into()), ("x-more".into(), "kept".into())],
        body: b"the first".to_vec(),
    };
    let long: &str = String::leak("x".repeat(64 * 1024 + 1));
    let granted = CoreResponse::LeaseGranted;
    let cases: [(CoreResponse, &[Behavior]); 9] = [
        (CoreResponse::LeaseHeld(LeaseOutcome::Completed(Arc::new(first))), &[]),
        (CoreResponse::LeaseHeld(LeaseOutcome::Pending), &[]),
        (CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate), &[]),
        (CoreResponse::Unavailable, &[]),
        (granted.clone(), &[Behavior::Respond(200, "ran")]),
        (granted.clone(), &[Behavior::Respond(503, "no promise")]),
        (granted.clone(), &[Behavior::Respond(200, long)]),
        (granted.clone(), &[Behavior::Close]),
        (granted, &[Behavior::ReportOutcome("full"), Behavior::ReportOutcome("full")]),
    ];
    let mut report = String::new();
    for (lease_response, script) in cases {
        let proxy = TestProxy::new(script, std::slice::from_ref(&lease_response)).await;
        let response = proxy.call("/keyed/", "Ochreshed-Tracking-Key: k-1\r\n").await;
        proxy.wait_until(|environment| environment.completed_leases.len() == 1).await;
        let completion = match &lock(&proxy.environment).completed_leases[0] {
            None => "released".into(),
            Some(LeaseOutcome::Completed(stored)) => {
                let stamp = stored.headers.iter().find(|(name, _)| name == "ochreshed-postmark");
                let mesh_headers =
                    stored.headers.iter().filter(|(name, _)| name.starts_with("ochreshed")).count();
                format!(
                    "{} {:?} {} {mesh_headers}",
                    stored.status,
                    String::from_utf8_lossy(&stored.body),
                    stamp.is_some()
                )
            }
            Some(other) => format!("{other:?}"),
        };
        let lease_response = if let CoreResponse::LeaseHeld(LeaseOutcome::Completed(_)) = lease_response {
            "completed".into()
        } else {
            format!("{lease_response:?}")
        };
        let body = String::from_utf8_lossy(&response.body);
        let body: String = body.trim().chars().take(40).collect();
        let stamp = response.header("ochreshed-postmark").map_or("no", |_| "a");
        let sent = proxy.received().len();
        report += &format!(
            "{lease_response}: {} {body:?}, {stamp} stamp, {sent} sent, {completion}\n",
            response.status()
        );
    }
    expect![[r#"
        completed: 201 "the first", a stamp, 0 sent, released
        LeaseHeld(Pending): 409 "a req with this key is at work", no stamp, 0 sent, released
        LeaseHeld(Indeterminate): 502 "a req with this key may have run", no stamp, 0 sent, released
        Unavailable: 503 "not run: come back", no stamp, 0 sent, released
        LeaseGranted: 200 "ran", a stamp, 1 sent, 200 "ran" true 1
        LeaseGranted: 502 "it may have run", no stamp, 1 sent, Indeterminate
        LeaseGranted: 200 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", a stamp, 1 sent, Indeterminate
        LeaseGranted: 502 "it may have run", no stamp, 1 sent, Indeterminate
        LeaseGranted: 503 "not run: come back", no stamp, 2 sent, released
    "#]]
    .assert_eq(&report);
    // Other routes ignore keys.
    let proxy = TestProxy::new(&[], &[]).await;
    assert_eq!(proxy.call("/once/", "Ochreshed-Tracking-Key: k-1\r\n").await.status(), "200");
    assert_eq!(lock(&proxy.environment).lease_requests, 0);
}

/// Guards against a request on a keyed route that runs without a lease, whatever its key looks like.
#[tokio::test]
async fn on_a_keyed_route_every_key_guards_its_request_and_an_unclear_one_is_refused() {
    let longest = vec![b'k'; 16_384];
    let keys: [&[u8]; 5] = [b"k-1", "Mu\u{f1}oz".as_bytes(), b"Mu\xf1oz", b"\xff \x80, \"k\"; a=b", &longest];
    let mut seen = HashSet::new();
    for key in keys {
        let proxy = TestProxy::new(&[], &[CoreResponse::LeaseHeld(LeaseOutcome::Pending)]).await;
        let line = [b"Ochreshed-Tracking-Key: ", key, b" \r\n\r\n"].concat();
        let head = request_text("/keyed/", "");
        let response = proxy.exchange(&[&head.as_bytes()[..head.len() - 2], &line].concat()).await;
        assert_eq!(response.status(), "409", "{}", String::from_utf8_lossy(key));
        assert!(proxy.received().is_empty());
        let lease_keys = lock(&proxy.environment).lease_keys.clone();
        assert_eq!(lease_keys, [lease_client::hash_key(key)]);
        seen.extend(lease_keys);
    }
    assert_eq!(seen.len(), keys.len(), "different keys share a lease");
    for (headers, reason) in [
        ("Ochreshed-Tracking-Key: \r\n", "the Ochreshed-Tracking-Key is empty\n"),
        (
            "Ochreshed-Tracking-Key: a\r\nOchreshed-Tracking-Key: b\r\n",
            "more than one Ochreshed-Tracking-Key\n",
        ),
    ] {
        let proxy = TestProxy::new(&[], &[]).await;
        let response = proxy.call("/keyed/", headers).await;
        assert_eq!((response.status(), &*String::from_utf8_lossy(&response.body)), ("400", reason));
        assert!(proxy.received().is_empty() && lock(&proxy.environment).lease_requests == 0);
    }
    // A request without a key is an operation of its own, and is not sent again after it may have run.
    let proxy = TestProxy::new(&[Behavior::Close], &[]).await;
    let response = proxy.call("/keyed/", "").await;
    assert_eq!((response.status(), proxy.received().len()), ("502", 1));
}

/// Guards against requests that wait until their deadline because the control plane accepts connections and doesn't respond:
/// the first is rejected while its client has most of its time left, later ones much sooner.
#[tokio::test]
async fn keyed_requests_are_rejected_early_while_lease_requests_stay_unanswered() {
    let proxy = TestProxy::new(&[], &[]).await;
    let silent_replica = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    proxy.node.set_replicas(vec![silent_replica.local_addr().expect("its address")]);
    let time_request = async |key: &str| {
        let started_at = tokio::time::Instant::now();
        let headers = format!("Ochreshed-Tracking-Key: {key}\r\nOchreshed-Time-Left-Ms: 2000\r\n");
        let response = proxy.call("/keyed/", &headers).await;
        assert_eq!((response.status(), response.header("retry-after").is_some()), ("503", true));
        started_at.elapsed()
    };
    let first = time_request("k-1").await;
    assert!(Duration::from_millis(700) < first && first < Duration::from_millis(1_400), "{first:?}");
    // From time to time a request waits for the full time, as a probe.
    let mut early = 0;
    for nth in 2..10 {
        early += u32::from(time_request(&format!("k-{nth}")).await < first / 2);
    }
    assert!(early >= 4, "{early}");
    assert!(proxy.received().is_empty());
}

/// Guards against requests that go to another route's service, or that are forwarded without a route.
#[tokio::test]
async fn the_route_is_that_of_the_host_with_the_longest_prefix() {
    let proxy = TestProxy::new(&[], &[]).await;
    let cases = [
        ("one.example", "/once/x"),
        ("ONE.example:8080", "/once/deepest/x"),
        ("one.example", "/once/deep/x?q=/again/"),
        ("two.example", "/again/x"),
        ("two.example", "/once/x"),
        ("one.example", "/on"),
        ("one.example", "/once"),
        ("one.example", "/"),
        ("three.example", "/again/x"),
    ];
    let mut report = String::new();
    for (host, path) in cases {
        let before = proxy.received().len();
        let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nOchreshed-Consignment-Id: 7\r\n\r\n");
        let response = proxy.exchange(head.as_bytes()).await;
        let service = proxy
            .received()
            .get(before)
            .map_or("nobody", |(id, _)| if *id == "i-3" { "omega" } else { "alpha" });
        report += &format!("{host} {path}: {} {service}\n", response.status());
    }
    expect![[r#"
        one.example /once/x: 200 alpha
        ONE.example:8080 /once/deepest/x: 200 alpha
        one.example /once/deep/x?q=/again/: 200 omega
        two.example /again/x: 200 omega
        two.example /once/x: 404 nobody
        one.example /on: 404 nobody
        one.example /once: 404 nobody
        one.example /: 404 nobody
        three.example /again/x: 404 nobody
    "#]]
    .assert_eq(&report);
}

/// Guards against a request that is hidden in another's body (request smuggling), and against forwarding an incomplete request.
#[tokio::test]
async fn ambiguously_framed_and_truncated_requests_reach_no_inbound_proxy() {
    let hidden = "GET /again/hidden HTTP/1.1\r\nHost: one.example\r\nOchreshed-Consignment-Id: 8\r\n\r\n";
    let length = hidden.len();
    let framings = [
        format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"),
        format!("Content-Length: 0\r\nContent-Length: {length}\r\n"),
        "Transfer-Encoding: gzip\r\n".into(),
        "Content-Length: -1\r\n".into(),
    ];
    let proxy = TestProxy::new(&[], &[]).await;
    for framing in &framings {
        let body = if framing.contains("chunked") { format!("0\r\n\r\n{hidden}") } else { hidden.to_owned() };
        let mut stream = proxy.send(format!("{}{body}", request_text("/again/", framing)).as_bytes()).await;
        let response = read_message(&mut stream).await.expect("a response");
        assert_eq!(response.status(), "400", "{framing}");
    }
    let no_id = "GET /again/ HTTP/1.1\r\nHost: one.example\r\n\r\n";
    assert_eq!(proxy.exchange(no_id.as_bytes()).await.status(), "400");
    assert_eq!(proxy.received(), []);
    // A chunked body and a long one arrive completely.
    let chunked = request_text("/again/", "Transfer-Encoding: chunked\r\n")
        + "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
    assert_eq!(proxy.exchange(chunked.as_bytes()).await.status(), "200");
    let long = vec![b'x'; 300_000];
    let mut bytes = request_text("/once/", "Content-Length: 300000\r\n").into_bytes();
    bytes.extend_from_slice(&long);
    assert_eq!(proxy.exchange(&bytes).await.status(), "200");
    let bodies: Vec<Vec<u8>> = proxy.received().into_iter().map(|(_, message)| message.body).collect();
    assert!(
        bodies == [b"hello world".to_vec(), long],
        "{:?}",
        bodies.iter().map(Vec::len).collect::<Vec<_>>()
    );
    // Of truncated requests, a short one isn't forwarded, and a long one may be forwarded in part but never completely.
    let truncated = request_text("/once/", "Content-Length: 10\r\n") + "hal";
    drop(proxy.send(truncated.as_bytes()).await);
    let chunked = request_text("/again/", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n";
    drop(proxy.send(chunked.as_bytes()).await);
    let before = lock(&proxy.environment).incomplete_requests;
    drop(proxy.send(&bytes[..200_000]).await);
    proxy.wait_until(|environment| environment.incomplete_requests > before).await;
    assert_eq!(proxy.call("/again/", "").await.status(), "200");
    assert_eq!(proxy.received().len(), 3);
}

/// Guards against clients that set the mesh's internal headers, and against forwarding hop-by-hop headers.
#[tokio::test]
async fn internal_headers_of_clients_are_not_forwarded() {
    let proxy = TestProxy::new(&[], &[]).await;
    let forged = "Ochreshed-Caller: nobody\r\nOchreshed-Addressee: i-9\r\nOchreshed-Knock: 1 9 acl\r\n\
        Ochreshed-Way: ran\r\nX-More: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\nOchreshed-Time-Left-Ms: 5000\r\n";
    let response = proxy.call("/again/a%20b/?c=%2F", forged).await;
    let (id, received) = proxy.received().remove(0);
    let received_header = |name| received.header(name).unwrap_or("-").to_owned();
    let forwarded =
        ["ochreshed-caller", "ochreshed-addressee", "x-more", "x-hop", "ochreshed-consignment-id"]
            .map(received_header);
    assert_eq!(forwarded, ["beta", id, "kept", "-", "7"]);
    assert!(received.head.starts_with("POST /again/a%20b/?c=%2F HTTP/1.1\r\n"), "{}", received.head);
    // The parameters hold the latency target and zero rejections, and none of the client's flags.
    let parameters = received_header("ochreshed-knock");
    assert!(parameters.split_once(' ').is_some_and(|(_, rejections)| rejections == "0"), "{parameters}");
    assert_eq!(received_header("ochreshed-way"), "-");
    assert!(received_header("ochreshed-time-left-ms").parse::<u32>().is_ok_and(|left| left < 5_000));
    assert_eq!(response.header("ochreshed-way"), None);
}

/// Guards against running a request whose client has disconnected, and against losing the response to a keyed request.
#[tokio::test]
async fn a_disconnecting_client_cancels_its_request_unless_that_has_a_key() {
    let proxy = TestProxy::new(&[Behavior::RespondOnRelease(200, "late")], &[]).await;
    let stream = proxy.send(request_text("/once/", "").as_bytes()).await;
    proxy.wait_until(|environment| environment.received.len() == 1).await;
    drop(stream);
    proxy.wait_until(|environment| environment.aborted_requests == 1).await;

    let proxy =
        TestProxy::new(&[Behavior::RespondOnRelease(200, "late")], &[CoreResponse::LeaseGranted]).await;
    let stream = proxy.send(request_text("/keyed/", "Ochreshed-Tracking-Key: k-1\r\n").as_bytes()).await;
    proxy.wait_until(|environment| environment.received.len() == 1).await;
    drop(stream);
    // The proxy has handled another request meanwhile, so it has seen the disconnect.
    assert_eq!(proxy.call("/again/", "").await.status(), "200");
    proxy.release.send_replace(true);
    proxy.wait_until(|environment| !environment.completed_leases.is_empty()).await;
    let environment = lock(&proxy.environment);
    assert!(
        matches!(&environment.completed_leases[0], Some(LeaseOutcome::Completed(response)) if response.body == b"late"),
        "{:?}",
        environment.completed_leases
    );
    assert_eq!(environment.aborted_requests, 0);
}

/// Guards against a member whose requests all fail and use up the retry budget of others.
#[tokio::test]
async fn a_member_whose_requests_all_fail_spends_only_its_own_retry_budget() {
    let proxy = TestProxy::with_configuration(
        &[],
        &[],
        Some(configuration_with_members(&[("norte", 0.2, 20_000), ("sul", 0.2, 20_000)])),
    )
    .await;
    lock(&proxy.environment).failing_path = Some("/norte/");
    let call_successfully = async |path: &str, first_behavior: Option<Behavior>| {
        lock(&proxy.environment).script.extend(first_behavior);
        assert_eq!(proxy.call(path, "").await.status(), "200", "{path}");
    };
    for _ in 0..60 {
        call_successfully("/again/x", None).await;
    }
    for round in 0..50 {
        for _ in 0..2 {
            assert_eq!(proxy.call("/norte/x", "").await.status(), "500");
        }
        // In two rounds, a full upstream rejects the first attempts.
        for path in ["/sul/x", "/again/x"] {
            call_successfully(path, (round % 25 == 0).then_some(Behavior::ReportOutcome("full"))).await;
        }
    }
    // The budget is a tenth of 260 requests plus one, and the member has a fifth of it.
    let sent =
        |path: &str| proxy.received().iter().filter(|(_, received)| received.head.contains(path)).count();
    let (norte, sul, platform) = (sent("/norte/"), sent("/sul/"), sent("/again/"));
    assert!((104..=106).contains(&norte) && (sul, platform) == (52, 112), "{norte} {sul} {platform}");
    // Inbound proxies get the member and its share of the slots, for members' requests only.
    let sent_parameters = |path: &str| {
        let received = proxy
            .received()
            .into_iter()
            .filter(|(_, received)| received.head.contains(path))
            .map(|(_, received)| received);
        received
            .map(|received| received.header("ochreshed-knock").unwrap_or_default().to_owned())
            .collect::<Vec<_>>()
    };
    assert!(
        sent_parameters("/sul/").iter().all(|parameters| parameters.ends_with(" 0.5 sul")),
        "{:?}",
        sent_parameters("/sul/")
    );
    assert!(
        sent_parameters("/again/")
            .iter()
            .all(|parameters| parameters.split(' ').count() == 3 - usize::from(!parameters.ends_with('a')))
    );
    // The report counts attempts by service, and outcomes by member.
    let report = proxy.node.budget_report();
    let norte_retries = (norte - 100) as u32;
    let attempt_counts: Vec<_> =
        report.services.iter().map(|(name, counts)| (&**name, counts.first, counts.retried)).collect();
    assert_eq!(attempt_counts, [("alpha", 260, norte_retries + 4)]);
    let edition = |member: &str, version, canary| RouteEdition { member: member.into(), version, canary };
    let outcomes = [
        (
            edition("norte", 4, true),
            OutcomeCounts {
                first: 100,
                retried: norte_retries,
                denied: 100 - norte_retries,
                failed: 100,
                ..OutcomeCounts::default()
            },
        ),
        (
            edition("sul", 0, false),
            OutcomeCounts { first: 50, retried: 2, succeeded: 50, ..OutcomeCounts::default() },
        ),
    ];
    assert_eq!(report.outcomes, outcomes);
}

/// Guards against a member's change that replaces the scheduler of another member or of the platform, which would lose what
/// that has learned.
#[tokio::test]
async fn a_member_that_changes_its_routes_replaces_only_its_own_scheduler() {
    let proxy = TestProxy::with_configuration(
        &[],
        &[],
        Some(configuration_with_members(&[("norte", 0.2, 20_000), ("sul", 0.2, 20_000)])),
    )
    .await;
    let paths = ["/again/x", "/sul/x", "/norte/x"];
    let schedulers = || {
        let configuration = proxy.node.configuration.load_full().expect("a configuration");
        let scheduler =
            |path: &str| proxy.node.scheduler(&"alpha".into(), configuration.route("one.example", path)?);
        paths.map(scheduler)
    };
    for path in paths {
        assert_eq!(proxy.call(path, "").await.status(), "200");
    }
    let before = schedulers();
    assert!(before.iter().all(Option::is_some));
    let mut suspected = 0;
    let mut changed = |members: &[(&str, f64, u64)]| {
        proxy.node.configuration.store(Some(Arc::new(configuration_with_members(members))));
        suspected += 1;
        proxy.node.merge_records(0, Vec::new(), [SocketAddr::from(([10, 0, 0, 1], suspected))].into());
        let after = schedulers();
        let is_same = |index: usize| {
            let pair = before[index].as_ref().zip(after[index].as_ref());
            pair.is_some_and(|(one, other)| Arc::ptr_eq(one, other))
        };
        [0, 1, 2].map(is_same)
    };
    assert_eq!(changed(&[("norte", 0.2, 9_000), ("sul", 0.2, 20_000)]), [true, true, false]);
    // A change of the retry budget's shares alone replaces no scheduler.
    assert_eq!(changed(&[("norte", 0.9, 9_000), ("sul", 0.1, 20_000)]), [true, true, false]);
    assert_eq!(changed(&[("sul", 0.1, 20_000)]), [true, true, false]);
    assert_eq!(changed(&[]), [true, false, false]);
    assert_eq!(proxy.call("/again/x", "").await.status(), "200");
}
