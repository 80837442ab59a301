//! The gate by itself, on loopback: stand-in doors that do as they are told, a stand-in steward, and clients that send
//! bytes. What a client may be told, and what must never come to a door.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use expect_test::expect;
use ochreshed::Name;
use ochreshed_catalog::configuration::Configuration;
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_catalog::members::{MemberDocument, MemberRegister};
use ochreshed_catalog::overlay::overlay;
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, LeaseOutcome, RegisterValue, StoredResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::proxy::listener::{self, ListenerLimits, ListenerState, ReceivedRequest};
use crate::mesh::proxy::node::{AppliedConfiguration, Node, RequestGuard};
use crate::mesh::proxy::outbound;
use crate::mesh::rpc::{self, InternalRequest, InternalResponse};
use crate::mesh::settings::Settings;
use crate::mesh::shared::member_documents::MemberEdition;

/// What a stand-in door does with a req that has come whole.
#[derive(Clone)]
enum Does {
    /// Its upstream ran it and answered with this status and body.
    Ran(u16, &'static str),
    /// It tells how its part ended.
    Says(&'static str),
    /// It answers as some other program would.
    Stranger,
    /// It closes without an answer.
    Closes,
    /// It answers so once the test lets it, if nobody has gone until then.
    Waits(u16, &'static str),
}

/// A req or an answer as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        fields.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; nothing where it ends too early.
async fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let mut message = Message { head: String::from_utf8(head).expect("text"), body: Vec::new() };
    if message.field("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                line.push(stream.read_u8().await.ok()?);
            }
            let line = String::from_utf8(line).expect("text");
            let length = usize::from_str_radix(line.trim(), 16).expect("a length");
            let mut piece = vec![0; length + 2];
            stream.read_exact(&mut piece).await.ok()?;
            message.body.extend_from_slice(&piece[..length]);
            if length == 0 {
                return Some(message);
            }
        }
    }
    let length = message.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).await.ok()?;
    Some(message)
}

/// All that stands around the gate.
struct Rig {
    node: Arc<Node>,
    gate: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    go: watch::Sender<bool>,
}

#[derive(Default)]
struct Seen {
    script: VecDeque<Does>,
    /// What came to doors, with the upstream's life beside each, and how often a connection ended before all had come.
    received: Vec<(&'static str, Message)>,
    cut: usize,
    /// Connections that ended before the answer.
    left: usize,
    leases: VecDeque<CoreResponse>,
    asked: usize,
    settled: Vec<Option<LeaseOutcome>>,
    /// What comes by this path fails, whatever is to be done with others.
    fails: Option<&'static str>,
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

/// That with routes of members laid over it, at places of their own and to one service with the platform: each with its
/// name, its share of repeats and the target of its reqs in ms.
fn of_members(members: &[(&str, f64, u64)]) -> AppliedConfiguration {
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
    let doc = |(name, _, target): &(&str, f64, u64)| {
        let text = format!(
            r#"{{"edition":"r4","routes":[{{"name":"again","depot":"one.example","lane_prefix":"/{name}/",
            "route_kind":"resendable","deadline_ms":30000,"target_ms":{target},"post_class":1,"line":"alpha","tries":2}}]}}"#
        );
        (Name::from(*name), Arc::new(MemberDocument::read(text.as_bytes()).expect("a document")))
    };
    let base = Configuration::read(&configuration().bytes).expect("a timetable");
    let laid = overlay(&base, &register, &members.iter().map(doc).collect());
    assert_eq!(laid.violations, []);
    AppliedConfiguration::new(
        laid.configuration,
        [("norte".into(), MemberEdition { version: 4, canary: true })].into(),
    )
}

impl Rig {
    async fn new(script: &[Does], leases: &[CoreResponse]) -> Rig {
        Rig::over(script, leases, None).await
    }

    async fn over(script: &[Does], leases: &[CoreResponse], laid: Option<AppliedConfiguration>) -> Rig {
        let text = "station = \"s\"\nrole = \"r\"\nip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
             inner_ports = [1, 1]\nline = \"beta\"\napp = \"127.0.0.1:1\"\n";
        let settings = Settings::parse(text).expect("settings");
        let clock = Clock::new();
        let node = Node::new(settings, SocketAddr::from(([127, 0, 0, 1], 1)), clock);
        let seen = Seen { script: script.to_vec().into(), leases: leases.to_vec().into(), ..Seen::default() };
        let seen = Arc::new(Mutex::new(seen));
        let (go, wait) = watch::channel(false);
        let listen = || async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let at = listener.local_addr().expect("its address");
            (listener, at)
        };
        let mut records = Vec::new();
        for (id, line) in UPSTREAMS {
            let (listener, door) = listen().await;
            tokio::spawn(doors(listener, id, seen.clone(), wait.clone()));
            records.push(EndpointRecord {
                inbound_proxy: door,
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
        let (inner, replica) = listen().await;
        let asked = seen.clone();
        tokio::spawn(rpc::answer(inner, move |ask| {
            let got = steward_says(&mut lock(&asked), ask);
            async move { got.map(InternalResponse::Core) }
        }));
        node.set_replicas(vec![replica]);
        node.apply_configuration(configuration());
        if let Some(laid) = laid {
            node.configuration.store(Some(Arc::new(laid)));
        }
        node.merge_records(0, records, HashSet::new());
        let (outer, gate) = listen().await;
        let bounds = ListenerLimits { max_connections: 64, header_timeout: Duration::from_secs(20) };
        let (ajar, ajar_now) = watch::channel(ListenerState::Open);
        let of = node.clone();
        tokio::spawn(async move {
            let _open = ajar;
            listener::serve(
                outer,
                clock,
                bounds,
                ajar_now,
                Arc::default(),
                move |received: ReceivedRequest| {
                    let node = of.clone();
                    async move {
                        let inside = RequestGuard::new(&node);
                        outbound::handle_request(node.clone(), received)
                            .await
                            .map(|flow| flow.holding(inside))
                    }
                },
            )
            .await;
        });
        Rig { node, gate, seen, go }
    }

    async fn send(&self, bytes: &[u8]) -> TcpStream {
        self.node.control_plane_heard(true);
        let mut stream = TcpStream::connect(self.gate).await.expect("a connection");
        stream.write_all(bytes).await.expect("sent");
        stream
    }

    async fn answer(&self, bytes: &[u8]) -> Message {
        read(&mut self.send(bytes).await).await.expect("an answer")
    }

    /// Sent on a path of the first host, with an id.
    async fn call(&self, path: &str, more: &str) -> Message {
        self.answer(req(path, more).as_bytes()).await
    }

    fn received(&self) -> Vec<(&'static str, Message)> {
        lock(&self.seen).received.clone()
    }

    async fn until(&self, is: impl Fn(&Seen) -> bool) {
        while !is(&lock(&self.seen)) {
            tokio::task::yield_now().await;
        }
    }
}

fn req(path: &str, more: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: one.example\r\nOchreshed-Consignment-Id: 7\r\n{more}\r\n")
}

fn steward_says(seen: &mut Seen, ask: InternalRequest) -> Option<CoreResponse> {
    match ask {
        InternalRequest::Core(CoreRequest::AcquireLease { .. }) => {
            seen.asked += 1;
            Some(seen.leases.pop_front().unwrap_or(CoreResponse::Unavailable))
        }
        InternalRequest::Core(CoreRequest::CompleteLease { outcome, .. }) => {
            seen.settled.push(outcome);
            Some(CoreResponse::Accepted)
        }
        _ => None,
    }
}

async fn doors(listener: TcpListener, id: &'static str, seen: Arc<Mutex<Seen>>, wait: watch::Receiver<bool>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(door(stream, id, seen.clone(), wait.clone()));
    }
}

async fn door(
    mut stream: TcpStream,
    id: &'static str,
    seen: Arc<Mutex<Seen>>,
    mut wait: watch::Receiver<bool>,
) {
    loop {
        let Some(message) = read(&mut stream).await else {
            lock(&seen).cut += 1;
            return;
        };
        let echo = message.field("ochreshed-consignment-id").unwrap_or_default().to_owned();
        let does = {
            let mut seen = lock(&seen);
            let fails = seen.fails.is_some_and(|path| message.head.starts_with(&format!("POST {path}")));
            seen.received.push((id, message));
            let does = if fails { Some(Does::Ran(500, "broken")) } else { seen.script.pop_front() };
            does.unwrap_or(Does::Ran(200, "well"))
        };
        if let Does::Waits(..) = does {
            let mut byte = [0];
            tokio::select! {
                _ = wait.wait_for(|go| *go) => {}
                _ = stream.read(&mut byte) => {
                    lock(&seen).left += 1;
                    return;
                }
            }
        }
        let fields = |way: &str| {
            format!(
                "ochreshed-consignment-id: {echo}\r\nochreshed-postmark: st-{id}\r\nochreshed-way: {way} 1\r\n"
            )
        };
        let (status, fields, body) = match does {
            Does::Ran(status, body) | Does::Waits(status, body) => (status, fields("ran"), body),
            Does::Says(way) => (503, fields(way), ""),
            Does::Stranger => (200, String::new(), "who are you"),
            Does::Closes => return,
        };
        let head = format!("HTTP/1.1 {status} X\r\n{fields}content-length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against connections that end without an answer when a process has to end: whoever still waits gets one, and a
/// large answer is not begun that could not be brought to its end.
#[tokio::test]
async fn who_is_inside_when_a_process_must_end_gets_an_answer() {
    use Does::Waits;
    let mut all = String::new();
    for (path, more) in [("/again/", ""), ("/once/", ""), ("/keyed/", "Ochreshed-Tracking-Key: k\r\n")] {
        let rig = Rig::new(&[Waits(200, "late")], &[CoreResponse::LeaseGranted]).await;
        let mut stream = rig.send(req(path, more).as_bytes()).await;
        rig.until(|seen| !seen.received.is_empty()).await;
        rig.node.start_draining(Duration::from_secs(5));
        let large = rig.call("/large/", "").await;
        rig.node.abort_requests();
        let answer = read(&mut stream).await.expect("an answer");
        let back = large.field("retry-after").is_some();
        all += &format!("{path}: {}, large {}, come back {back}\n", answer.status(), large.status());
        rig.until(|seen| seen.left == 1).await;
    }
    expect![[r#"
        /again/: 502, large 200, come back false
        /once/: 502, large 200, come back false
        /keyed/: 502, large 200, come back false
    "#]]
    .assert_eq(&all);
    // Less time is left than a large answer needs, and than the client would wait.
    let rig = Rig::new(&[Waits(200, "late")], &[]).await;
    rig.node.start_draining(Duration::from_millis(300));
    assert_eq!(rig.call("/large/", "").await.status(), "503");
    assert_eq!(rig.call("/once/", "").await.status(), "504");
}

/// Guards against a promise that a req has not run where it may have, and against a second run of one that may run once.
#[tokio::test]
async fn a_promise_is_given_only_where_nothing_may_have_run() {
    use Does::{Closes, Ran, Says, Stranger};
    let cases: [(&str, &[Does]); 19] = [
        ("/once/", &[Says("full"), Says("full")]),
        ("/once/", &[Says("gone"), Ran(200, "a")]),
        ("/once/", &[Says("unreachable"), Ran(200, "a")]),
        ("/once/", &[Says("unsent")]),
        ("/once/", &[Says("turned"), Ran(200, "a")]),
        ("/again/", &[Says("turned"), Closes, Ran(200, "a")]),
        ("/once/", &[Closes]),
        ("/once/", &[Says("full"), Closes]),
        ("/once/", &[Says("reset")]),
        ("/once/", &[Says("late")]),
        ("/once/", &[Stranger]),
        ("/once/", &[Ran(503, "not now")]),
        ("/once/", &[Ran(429, "not now")]),
        ("/once/", &[Ran(500, "broken")]),
        ("/once/", &[Ran(404, "no such thing")]),
        ("/again/", &[Closes, Ran(200, "a")]),
        ("/again/", &[Ran(503, "not now"), Ran(200, "a")]),
        ("/again/", &[Ran(500, "broken"), Ran(500, "again")]),
        ("/again/", &[Says("full"), Says("full")]),
    ];
    let mut all = String::new();
    for (path, script) in cases {
        let rig = Rig::new(script, &[]).await;
        let answer = rig.call(path, "").await;
        let received = rig.received();
        let back = if answer.field("retry-after").is_some() { ", come back" } else { "" };
        let said = String::from_utf8_lossy(&answer.body).trim().to_owned();
        let told: Vec<String> = script
            .iter()
            .map(|does| match does {
                Ran(status, _) => format!("ran {status}"),
                Says(way) => (*way).to_owned(),
                Closes => "closes".into(),
                _ => "a stranger's 200".into(),
            })
            .collect();
        all += &format!(
            "{path} {}: {} {said:?}{back}, {} sent\n",
            told.join(", "),
            answer.status(),
            received.len()
        );
        assert_eq!(answer.field("ochreshed-consignment-id"), Some("7"));
        assert!(received.windows(2).all(|two| two[0].0 != two[1].0), "each to another upstream");
    }
    expect![[r#"
        /once/ full, full: 503 "not run: come back", come back, 2 sent
        /once/ gone, ran 200: 200 "a", 2 sent
        /once/ unreachable, ran 200: 200 "a", 2 sent
        /once/ unsent: 503 "not run: come back", come back, 1 sent
        /once/ turned, ran 200: 200 "a", 2 sent
        /again/ turned, closes, ran 200: 502 "it may have run", 2 sent
        /once/ closes: 502 "it may have run", 1 sent
        /once/ full, closes: 502 "it may have run", 2 sent
        /once/ reset: 502 "it may have run", 1 sent
        /once/ late: 502 "it may have run", 1 sent
        /once/ a stranger's 200: 502 "it may have run", 1 sent
        /once/ ran 503: 502 "it may have run", 1 sent
        /once/ ran 429: 502 "it may have run", 1 sent
        /once/ ran 500: 500 "broken", 1 sent
        /once/ ran 404: 404 "no such thing", 1 sent
        /again/ closes, ran 200: 200 "a", 2 sent
        /again/ ran 503, ran 200: 200 "a", 2 sent
        /again/ ran 500, ran 500: 500 "again", 2 sent
        /again/ full, full: 503 "not run: come back", come back, 2 sent
    "#]]
    .assert_eq(&all);
}

/// Guards against a run without a grant, and against an answer that is not the first one's.
#[tokio::test]
async fn a_key_is_answered_by_what_its_claim_came_to() {
    let first = StoredResponse {
        status: 201,
        headers: vec![("ochreshed-postmark".into(), "st-0".into()), ("x-more".into(), "kept".into())],
        body: b"the first".to_vec(),
    };
    let long: &str = String::leak("x".repeat(64 * 1024 + 1));
    let granted = CoreResponse::LeaseGranted;
    let cases: [(CoreResponse, &[Does]); 9] = [
        (CoreResponse::LeaseHeld(LeaseOutcome::Completed(Arc::new(first))), &[]),
        (CoreResponse::LeaseHeld(LeaseOutcome::Pending), &[]),
        (CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate), &[]),
        (CoreResponse::Unavailable, &[]),
        (granted.clone(), &[Does::Ran(200, "ran")]),
        (granted.clone(), &[Does::Ran(503, "no promise")]),
        (granted.clone(), &[Does::Ran(200, long)]),
        (granted.clone(), &[Does::Closes]),
        (granted, &[Does::Says("full"), Does::Says("full")]),
    ];
    let mut all = String::new();
    for (got, script) in cases {
        let rig = Rig::new(script, std::slice::from_ref(&got)).await;
        let answer = rig.call("/keyed/", "Ochreshed-Tracking-Key: k-1\r\n").await;
        rig.until(|seen| seen.settled.len() == 1).await;
        let settled = match &lock(&rig.seen).settled[0] {
            None => "freed".into(),
            Some(LeaseOutcome::Completed(kept)) => {
                let stamp = kept.headers.iter().find(|(name, _)| name == "ochreshed-postmark");
                let ours = kept.headers.iter().filter(|(name, _)| name.starts_with("ochreshed")).count();
                format!(
                    "{} {:?} {} {ours}",
                    kept.status,
                    String::from_utf8_lossy(&kept.body),
                    stamp.is_some()
                )
            }
            Some(other) => format!("{other:?}"),
        };
        let got = if let CoreResponse::LeaseHeld(LeaseOutcome::Completed(_)) = got {
            "done".into()
        } else {
            format!("{got:?}")
        };
        let body = String::from_utf8_lossy(&answer.body);
        let body: String = body.trim().chars().take(40).collect();
        let stamp = answer.field("ochreshed-postmark").map_or("no", |_| "a");
        let sent = rig.received().len();
        all += &format!("{got}: {} {body:?}, {stamp} stamp, {sent} sent, {settled}\n", answer.status());
    }
    expect![[r#"
        done: 201 "the first", a stamp, 0 sent, freed
        LeaseHeld(Pending): 409 "a req with this key is at work", no stamp, 0 sent, freed
        LeaseHeld(Indeterminate): 502 "a req with this key may have run", no stamp, 0 sent, freed
        Unavailable: 503 "not run: come back", no stamp, 0 sent, freed
        LeaseGranted: 200 "ran", a stamp, 1 sent, 200 "ran" true 1
        LeaseGranted: 502 "it may have run", no stamp, 1 sent, Indeterminate
        LeaseGranted: 200 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", a stamp, 1 sent, Indeterminate
        LeaseGranted: 502 "it may have run", no stamp, 1 sent, Indeterminate
        LeaseGranted: 503 "not run: come back", no stamp, 2 sent, freed
    "#]]
    .assert_eq(&all);
    // Only registered routes know keys.
    let rig = Rig::new(&[], &[]).await;
    assert_eq!(rig.call("/once/", "Ochreshed-Tracking-Key: k-1\r\n").await.status(), "200");
    assert_eq!(lock(&rig.seen).asked, 0);
}

/// Guards against requests that are held to their end because the control plane is there and does not answer: the first is
/// refused while its client has most of its time left, the next ones at once.
#[tokio::test]
async fn keyed_requests_are_refused_soon_while_claims_stay_unanswered() {
    let rig = Rig::new(&[], &[]).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    rig.node.set_replicas(vec![silent.local_addr().expect("its address")]);
    let took = async |key: &str| {
        let began = tokio::time::Instant::now();
        let fields = format!("Ochreshed-Tracking-Key: {key}\r\nOchreshed-Time-Left-Ms: 2000\r\n");
        let answer = rig.call("/keyed/", &fields).await;
        assert_eq!((answer.status(), answer.field("retry-after").is_some()), ("503", true));
        began.elapsed()
    };
    let first = took("k-1").await;
    assert!(Duration::from_millis(700) < first && first < Duration::from_millis(1_400), "{first:?}");
    // One in a while waits in full, to find out.
    let mut soon = 0;
    for nth in 2..10 {
        soon += u32::from(took(&format!("k-{nth}")).await < first / 2);
    }
    assert!(soon >= 4, "{soon}");
    assert!(rig.received().is_empty());
}

/// Guards against reqs that go to another route's service, or on where there is no route.
#[tokio::test]
async fn the_route_is_that_of_the_host_with_the_longest_prefix() {
    let rig = Rig::new(&[], &[]).await;
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
    let mut all = String::new();
    for (host, path) in cases {
        let before = rig.received().len();
        let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nOchreshed-Consignment-Id: 7\r\n\r\n");
        let answer = rig.answer(head.as_bytes()).await;
        let to = rig
            .received()
            .get(before)
            .map_or("nobody", |(id, _)| if *id == "i-3" { "omega" } else { "alpha" });
        all += &format!("{host} {path}: {} {to}\n", answer.status());
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
    .assert_eq(&all);
}

/// Guards against a req that hides in another's body, and against one that goes on though not all of it came.
#[tokio::test]
async fn what_is_framed_twice_or_cut_short_comes_to_no_door() {
    let hidden = "GET /again/hidden HTTP/1.1\r\nHost: one.example\r\nOchreshed-Consignment-Id: 8\r\n\r\n";
    let length = hidden.len();
    let twice = [
        format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"),
        format!("Content-Length: 0\r\nContent-Length: {length}\r\n"),
        "Transfer-Encoding: gzip\r\n".into(),
        "Content-Length: -1\r\n".into(),
    ];
    let rig = Rig::new(&[], &[]).await;
    for framing in &twice {
        let body = if framing.contains("chunked") { format!("0\r\n\r\n{hidden}") } else { hidden.to_owned() };
        let mut stream = rig.send(format!("{}{body}", req("/again/", framing)).as_bytes()).await;
        let answer = read(&mut stream).await.expect("an answer");
        assert_eq!(answer.status(), "400", "{framing}");
    }
    let no_id = "GET /again/ HTTP/1.1\r\nHost: one.example\r\n\r\n";
    assert_eq!(rig.answer(no_id.as_bytes()).await.status(), "400");
    assert_eq!(rig.received(), []);
    // A body in pieces, and a long one, come whole.
    let pieces =
        req("/again/", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
    assert_eq!(rig.answer(pieces.as_bytes()).await.status(), "200");
    let long = vec![b'x'; 300_000];
    let mut bytes = req("/once/", "Content-Length: 300000\r\n").into_bytes();
    bytes.extend_from_slice(&long);
    assert_eq!(rig.answer(&bytes).await.status(), "200");
    let bodies: Vec<Vec<u8>> = rig.received().into_iter().map(|(_, message)| message.body).collect();
    assert!(
        bodies == [b"hello world".to_vec(), long],
        "{:?}",
        bodies.iter().map(Vec::len).collect::<Vec<_>>()
    );
    // Cut short: a short one goes to nobody, a long one, of which a door may have a part, never comes whole.
    let short = req("/once/", "Content-Length: 10\r\n") + "hal";
    drop(rig.send(short.as_bytes()).await);
    let chunked = req("/again/", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n";
    drop(rig.send(chunked.as_bytes()).await);
    let before = lock(&rig.seen).cut;
    drop(rig.send(&bytes[..200_000]).await);
    rig.until(|seen| seen.cut > before).await;
    assert_eq!(rig.call("/again/", "").await.status(), "200");
    assert_eq!(rig.received().len(), 3);
}

/// Guards against a client that speaks for the system, and against fields of one connection that go on.
#[tokio::test]
async fn what_the_system_sets_is_not_taken_from_clients() {
    let rig = Rig::new(&[], &[]).await;
    let lies = "Ochreshed-Caller: nobody\r\nOchreshed-Addressee: i-9\r\nOchreshed-Knock: 1 9 acl\r\n\
        Ochreshed-Way: ran\r\nX-More: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\nOchreshed-Time-Left-Ms: 5000\r\n";
    let answer = rig.call("/again/a%20b/?c=%2F", lies).await;
    let (id, received) = rig.received().remove(0);
    let field = |name| received.field(name).unwrap_or("-").to_owned();
    let told =
        ["ochreshed-caller", "ochreshed-addressee", "x-more", "x-hop", "ochreshed-consignment-id"].map(field);
    assert_eq!(told, ["beta", id, "kept", "-", "7"]);
    assert!(received.head.starts_with("POST /again/a%20b/?c=%2F HTTP/1.1\r\n"), "{}", received.head);
    // How late it may be, and that no door turned it away; none of the letters that the client wrote.
    let knock = field("ochreshed-knock");
    assert!(knock.split_once(' ').is_some_and(|(_, turned)| turned == "0"), "{knock}");
    assert_eq!(field("ochreshed-way"), "-");
    assert!(field("ochreshed-time-left-ms").parse::<u32>().is_ok_and(|left| left < 5_000));
    assert_eq!(answer.field("ochreshed-way"), None);
}

/// Guards against work for nobody, and against a key whose run nobody knows the answer of.
#[tokio::test]
async fn a_client_that_leaves_ends_its_req_unless_it_has_a_key() {
    let rig = Rig::new(&[Does::Waits(200, "late")], &[]).await;
    let stream = rig.send(req("/once/", "").as_bytes()).await;
    rig.until(|seen| seen.received.len() == 1).await;
    drop(stream);
    rig.until(|seen| seen.left == 1).await;

    let rig = Rig::new(&[Does::Waits(200, "late")], &[CoreResponse::LeaseGranted]).await;
    let stream = rig.send(req("/keyed/", "Ochreshed-Tracking-Key: k-1\r\n").as_bytes()).await;
    rig.until(|seen| seen.received.len() == 1).await;
    drop(stream);
    // Its gate looks at other reqs meanwhile, and has seen that it has gone.
    assert_eq!(rig.call("/again/", "").await.status(), "200");
    rig.go.send_replace(true);
    rig.until(|seen| !seen.settled.is_empty()).await;
    let seen = lock(&rig.seen);
    assert!(
        matches!(&seen.settled[0], Some(LeaseOutcome::Completed(answer)) if answer.body == b"late"),
        "{:?}",
        seen.settled
    );
    assert_eq!(seen.left, 0);
}

/// Guards against a member whose reqs all fail and that uses up what others' reqs are sent again by.
#[tokio::test]
async fn a_member_whose_reqs_all_fail_spends_only_its_own() {
    let rig = Rig::over(&[], &[], Some(of_members(&[("norte", 0.2, 20_000), ("sul", 0.2, 20_000)]))).await;
    lock(&rig.seen).fails = Some("/norte/");
    let others = async |path: &str, first: Option<Does>| {
        lock(&rig.seen).script.extend(first);
        assert_eq!(rig.call(path, "").await.status(), "200", "{path}");
    };
    for _ in 0..60 {
        others("/again/x", None).await;
    }
    for round in 0..50 {
        for _ in 0..2 {
            assert_eq!(rig.call("/norte/x", "").await.status(), "500");
        }
        // Twice each a full upstream turns them away at first.
        for path in ["/sul/x", "/again/x"] {
            others(path, (round % 25 == 0).then_some(Does::Says("full"))).await;
        }
    }
    // A tenth of 260, and one; a fifth of that is the member's.
    let sent =
        |path: &str| rig.received().iter().filter(|(_, received)| received.head.contains(path)).count();
    let (norte, sul, plain) = (sent("/norte/"), sent("/sul/"), sent("/again/"));
    assert!((104..=106).contains(&norte) && (sul, plain) == (52, 112), "{norte} {sul} {plain}");
    // Doors are told whose a req is and its part of the slots, for members' reqs only.
    let knocks = |path: &str| {
        let received = rig
            .received()
            .into_iter()
            .filter(|(_, received)| received.head.contains(path))
            .map(|(_, received)| received);
        received
            .map(|received| received.field("ochreshed-knock").unwrap_or_default().to_owned())
            .collect::<Vec<_>>()
    };
    assert!(knocks("/sul/").iter().all(|knock| knock.ends_with(" 0.5 sul")), "{:?}", knocks("/sul/"));
    assert!(
        knocks("/again/")
            .iter()
            .all(|knock| knock.split(' ').count() == 3 - usize::from(!knock.ends_with('a')))
    );
    // What is told of it: by service in all, and by member.
    let report = rig.node.budget_report();
    let again = (norte - 100) as u32;
    let figures: Vec<_> = report.services.iter().map(|(name, of)| (&**name, of.first, of.retried)).collect();
    assert_eq!(figures, [("alpha", 260, again + 4)]);
    let of =
        |member: &str, number, trial| RouteEdition { member: member.into(), version: number, canary: trial };
    let told = [
        (
            of("norte", 4, true),
            OutcomeCounts {
                first: 100,
                retried: again,
                denied: 100 - again,
                failed: 100,
                ..OutcomeCounts::default()
            },
        ),
        (
            of("sul", 0, false),
            OutcomeCounts { first: 50, retried: 2, succeeded: 50, ..OutcomeCounts::default() },
        ),
    ];
    assert_eq!(report.outcomes, told);
}

/// Guards against a member's change that makes another's module, or the platform's, begin anew.
#[tokio::test]
async fn a_member_that_changes_its_routes_touches_no_desk_but_its_own() {
    let rig = Rig::over(&[], &[], Some(of_members(&[("norte", 0.2, 20_000), ("sul", 0.2, 20_000)]))).await;
    let paths = ["/again/x", "/sul/x", "/norte/x"];
    let desks = || {
        let configuration = rig.node.configuration.load_full().expect("a timetable");
        let scheduler =
            |path: &str| rig.node.scheduler(&"alpha".into(), configuration.route("one.example", path)?);
        paths.map(scheduler)
    };
    for path in paths {
        assert_eq!(rig.call(path, "").await.status(), "200");
    }
    let before = desks();
    assert!(before.iter().all(Option::is_some));
    let mut suspected = 0;
    let mut changed = |members: &[(&str, f64, u64)]| {
        rig.node.configuration.store(Some(Arc::new(of_members(members))));
        suspected += 1;
        rig.node.merge_records(0, Vec::new(), [SocketAddr::from(([10, 0, 0, 1], suspected))].into());
        let after = desks();
        let same = |nth: usize| {
            before[nth].as_ref().zip(after[nth].as_ref()).is_some_and(|(one, other)| Arc::ptr_eq(one, other))
        };
        [0, 1, 2].map(same)
    };
    assert_eq!(changed(&[("norte", 0.2, 9_000), ("sul", 0.2, 20_000)]), [true, true, false]);
    // Another share of the allowance is no reason to begin anew.
    assert_eq!(changed(&[("norte", 0.9, 9_000), ("sul", 0.1, 20_000)]), [true, true, false]);
    assert_eq!(changed(&[("sul", 0.1, 20_000)]), [true, true, false]);
    assert_eq!(changed(&[]), [true, false, false]);
    assert_eq!(rig.call("/again/x", "").await.status(), "200");
}
