//! The door by itself, on loopback, before stand-in upstreams that answer when the test lets them, lie about their health
//! or forget connections: who is let through, and what is told of one that was not answered.

use ochreshed_catalog::configuration::MemberShares;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// A door beside an upstream of so many slots that answers when told to, and how many reqs have come to that.
async fn door(slots: u32) -> (Arc<InboundProxy>, TcpListener) {
    let (door, listener, app) = silent_door().await;
    beat(&door, app, "i-1", 1, slots, "open_for_post");
    (door, listener)
}

/// One whose upstream has not told of itself.
async fn silent_door() -> (Arc<InboundProxy>, TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let app = listener.local_addr().expect("its address");
    let settings = InboundSettings {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        upstream_address: Some(app),
        drain_timeout: Duration::from_secs(2),
        max_connections: 64,
        read_ahead_bytes: 1 << 20,
        link_mbps: 1_000.0,
    };
    (InboundProxy::new(settings, Clock::new(), 1), listener, app)
}

fn beat(door: &Arc<InboundProxy>, app: SocketAddr, id: &str, number: u64, slots: u32, state: &str) {
    let notice = format!(r#"{{"line":"x","edition":"v1","zone":"a","pigeonholes":{slots}}}"#);
    let status = format!(r#"{{"state":"{state}","postmark_seq":{number},"cold_left_ms":0}}"#);
    let beat = format!(r#"{{"address":"{app}","notice":{notice},"status":{status}}}"#);
    door.handle_heartbeat(id, beat.as_bytes()).expect("a beat that can be read");
}

/// Knocks with a req that is late after so many ms, turned away before as often as said.
fn knock(
    door: &Arc<InboundProxy>,
    id: &str,
    turned: u32,
    late_ms: u64,
) -> tokio::task::JoinHandle<&'static str> {
    knock_of(door, id, (turned, late_ms), None, None)
}

/// The same of a session or a member.
fn knock_of(
    door: &Arc<InboundProxy>,
    id: &str,
    (turned, late_ms): (u32, u64),
    fencing_token: Option<FencingToken>,
    part: Option<MemberShare>,
) -> tokio::task::JoinHandle<&'static str> {
    let mut head = hyper::Request::new(());
    head.headers_mut().insert(ID, HeaderValue::try_from(id).expect("an id"));
    let message = Arc::new(RequestMessage {
        head,
        first_bytes: bytes::Bytes::new(),
        body_length: Some(0),
        remainder: None,
    });
    let door = door.clone();
    tokio::spawn(async move {
        let (caller, now) = (HeaderValue::from_static("y"), door.clock.now());
        let (target, until) = (now + late_ms * MS, now + 20_000 * MS);
        let request = InboundRequest {
            message: &message,
            upstream_id: "i-1",
            caller: &caller,
            rejections: turned,
            has_affinity: false,
            is_retry: false,
            is_nested: false,
            is_large: false,
            is_remote: false,
            fencing_token,
            target,
            deadline: until,
            member_share: part,
        };
        door.forward(request).await.as_word()
    })
}

/// Takes the next req that comes to the upstream: its id, and the connection to answer on.
async fn next(listener: &TcpListener) -> (String, tokio::net::TcpStream) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(head).expect("text");
    let id = head.lines().find_map(|line| line.strip_prefix("ochreshed-consignment-id: ")).expect("an id");
    (id.to_owned(), stream)
}

async fn answer(received: (String, tokio::net::TcpStream)) {
    answer_with(received, "200 OK").await;
}

async fn answer_with((id, mut stream): (String, tokio::net::TcpStream), status: &str) {
    let fields = format!("ochreshed-consignment-id: {id}\r\nochreshed-postmark: s\r\nconnection: close");
    let answer = format!("HTTP/1.1 {status}\r\n{fields}\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(answer.as_bytes()).await.expect("written");
}

async fn inside(door: &InboundProxy, count: usize) {
    while door.requests_in_flight() != count {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_full_door_turns_away_at_once_and_one_that_waited_goes_when_it_is_its_turn() {
    let (door, upstream) = door(1).await;
    let first = knock(&door, "a", 0, 10_000);
    let at_upstream = next(&upstream).await;
    assert_eq!(knock(&door, "b", 0, 10_000).await.expect("no panic"), "turned");
    // Turned away elsewhere before, it waits; the one that is late sooner goes first.
    let later = knock(&door, "c", 3, 9_000);
    inside(&door, 2).await;
    let sooner = knock(&door, "d", 3, 5_000);
    inside(&door, 3).await;
    answer(at_upstream).await;
    let at_upstream = next(&upstream).await;
    assert_eq!((first.await.expect("no panic"), &*at_upstream.0), ("ran", "d"));
    answer(at_upstream).await;
    answer(next(&upstream).await).await;
    assert_eq!((sooner.await.expect("no panic"), later.await.expect("no panic")), ("ran", "ran"));
}

#[tokio::test]
async fn a_slot_handed_to_one_that_has_gone_is_not_lost() {
    let (door, upstream) = door(1).await;
    for round in 0..20 {
        let first = knock(&door, "a", 0, 10_000);
        let at_upstream = next(&upstream).await;
        let waits = knock(&door, "b", 3, 10_000);
        inside(&door, 2).await;
        // Its client goes in the moment in which the slot becomes free.
        first.abort();
        waits.abort();
        drop(at_upstream);
        inside(&door, 0).await;
        let next_one = knock(&door, "c", 0, 10_000);
        answer(next(&upstream).await).await;
        assert_eq!(next_one.await.expect("no panic"), "ran", "round {round}");
    }
}

/// Guards against a late message of the site that a person has left, also where it has waited here meanwhile.
#[tokio::test]
async fn what_a_gate_sends_that_has_lost_the_session_never_runs() {
    let (door, upstream) = door(1).await;
    let of = |since| Some(FencingToken { session: 7, since_term: since });
    let first = knock_of(&door, "a", (0, 10_000), of(2), None);
    let at_upstream = next(&upstream).await;
    let waits = knock_of(&door, "b", (3, 9_000), of(2), None);
    inside(&door, 2).await;
    let moved = knock_of(&door, "c", (3, 10_000), of(5), None);
    inside(&door, 3).await;
    assert_eq!(knock_of(&door, "d", (0, 10_000), of(4), None).await.expect("no panic"), "fenced");
    answer(at_upstream).await;
    let at_upstream = next(&upstream).await;
    assert_eq!((first.await.expect("no panic"), &*at_upstream.0), ("ran", "c"));
    answer(at_upstream).await;
    assert_eq!((waits.await.expect("no panic"), moved.await.expect("no panic")), ("fenced", "ran"));
}

/// Guards against a member whose runs hang and keep others out, and against a gate that knows an older share.
#[tokio::test]
async fn a_members_reqs_hold_their_part_of_the_slots_as_the_door_knows_it() {
    let (door, upstream) = door(4).await;
    let part = |share| Some(MemberShare { member: "norte".into(), share });
    let mut hang = Vec::new();
    let mut runs = Vec::new();
    for id in ["a", "b"] {
        runs.push(knock_of(&door, id, (3, 10_000), None, part(0.5)));
        hang.push(next(&upstream).await);
    }
    runs.push(knock_of(&door, "c", (3, 10_000), None, part(0.5)));
    inside(&door, 3).await;
    // Two slots are free, and others take them at once.
    for id in ["d", "e"] {
        let run = knock(&door, id, 0, 10_000);
        answer(next(&upstream).await).await;
        assert_eq!(run.await.expect("no panic"), "ran");
    }
    // The configuration in force here gives it less: one has to go before the one that waits may come in.
    let share = MemberShares { member: "norte".into(), retry: 0.0, concurrency: 0.25 };
    door.set_member_shares(&Arc::new([(share.member.clone(), Arc::new(share))].into()));
    runs.push(knock_of(&door, "f", (3, 9_000), None, part(0.5)));
    inside(&door, 4).await;
    answer(hang.remove(0)).await;
    assert_eq!(runs.remove(0).await.expect("no panic"), "ran");
    assert_eq!((door.load(), lock(&door.admission).queued()), (3, 2));
    answer(hang.remove(0)).await;
    for id in ["f", "c"] {
        let received = next(&upstream).await;
        assert_eq!(received.0, id);
        answer(received).await;
    }
    for run in runs {
        assert_eq!(run.await.expect("no panic"), "ran");
    }
}

/// Guards against knocks of other programs, and against names that no field of text holds.
#[test]
fn a_knock_tells_what_its_req_is_and_whose() {
    let read = |word: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(
            TERMS,
            HeaderValue::from_str(word).or(HeaderValue::from_bytes(word.as_bytes())).expect("a field"),
        );
        let RequestTerms { target_ms, rejections, has_affinity, is_retry, is_nested, is_large, member_share } =
            RequestTerms::from_headers(&headers, 700);
        assert_eq!(
            has_affinity,
            word.split(' ').nth(2).is_some_and(|letters| letters.contains('t')),
            "{word}"
        );
        let member = member_share.map(|member| (member.share, member.member.to_string()));
        (target_ms, rejections, is_retry, is_nested, is_large, member)
    };
    let of = |share, name: &str| Some((share, name.to_owned()));
    assert_eq!(read("250 2 acl"), (250, 2, true, true, true, None));
    assert_eq!(read("250 2 at"), (250, 2, true, false, false, None));
    assert_eq!(read("250 0 "), (250, 0, false, false, false, None));
    assert_eq!(read("250 0  0.5 norte"), (250, 0, false, false, false, of(0.5, "norte")));
    assert_eq!(read("250 1 c 0.25 são  joão"), (250, 1, false, true, false, of(0.25, "são  joão")));
    for odd in ["", "x y z", "250 0 c 0.5", "250 0 c half norte", "250 0 c 0.5 "] {
        assert_eq!(read(odd).5, None, "{odd}");
    }
    assert_eq!(read(&format!("250 0 c 0.5 {}", "x".repeat(257))).5, None);
}

/// Guards against an upstream that fails half of its reqs while it says that it is well: each gate alone sees few of them.
#[tokio::test]
async fn the_row_tells_that_the_upstream_fails_and_another_life_begins_anew() {
    let (door, upstream) = door(2).await;
    let ran = async |count: usize, status: &dyn Fn(usize) -> &'static str| {
        for nth in 0..count {
            let sent = knock(&door, "a", 0, 10_000);
            answer_with(next(&upstream).await, status(nth)).await;
            assert_eq!(sent.await.expect("no panic"), "ran");
        }
    };
    ran(40, &|_| "200 OK").await;
    let number = door.endpoint_record().sequence;
    assert!(door.endpoint_record().health.is_healthy());
    ran(24, &|nth| ["500 Broken", "200 OK"][nth % 2]).await;
    let record = door.endpoint_record();
    assert!(record.health.failure_level >= 1 && record.sequence > number, "{record:?}");
    // Beats say that it is well, and count for nothing here.
    let app = upstream.local_addr().expect("its address");
    beat(&door, app, "i-1", 2, 2, "open_for_post");
    assert_eq!(door.endpoint_record().health, record.health);
    beat(&door, app, "i-2", 1, 2, "open_for_post");
    assert!(door.endpoint_record().health.is_healthy());
}

#[tokio::test]
async fn another_life_gets_nothing_that_was_meant_for_this_one() {
    let (door, upstream) = door(2).await;
    let app = upstream.local_addr().expect("its address");
    beat(&door, app, "i-2", 1, 2, "open_for_post");
    assert_eq!(knock(&door, "a", 0, 10_000).await.expect("no panic"), "gone");
    // A late beat of the life before brings nothing back.
    beat(&door, app, "i-1", 9, 2, "open_for_post");
    assert_eq!(knock(&door, "a", 0, 10_000).await.expect("no panic"), "gone");
    assert_eq!(door.endpoint_record().upstream_id, "i-2");
}

/// Guards against an upstream that signs off without a word of closing, whose last beat comes seconds late: to this
/// process, or to one that started anew since.
#[tokio::test]
async fn a_late_beat_opens_no_life_that_has_signed_off() {
    let (door, upstream) = door(2).await;
    let app = upstream.local_addr().expect("its address");
    door.sign_off("i-1");
    beat(&door, app, "i-1", 9, 2, "open_for_post");
    assert_eq!(knock(&door, "a", 0, 10_000).await.expect("no panic"), "gone");
    // Unknown here when it signs off.
    let (door, _, app) = silent_door().await;
    door.sign_off("i-1");
    beat(&door, app, "i-1", 9, 2, "open_for_post");
    assert_eq!(knock(&door, "a", 0, 10_000).await.expect("no panic"), "gone");
    // Signed off, or closing, at an earlier life of this process, as others tell; before that beat or after it.
    for stand in [UpstreamState::Absent, UpstreamState::Draining] {
        let (door, _, app) = silent_door().await;
        beat(&door, app, "i-1", 9, 2, "open_for_post");
        assert_eq!(door.endpoint_record().state, UpstreamState::Serving);
        door.restore_upstream_state("i-1", stand);
        beat(&door, app, "i-1", 10, 2, "open_for_post");
        assert_eq!(knock(&door, "a", 0, 10_000).await.expect("no panic"), "gone", "{stand:?}");
        // Another life is not meant.
        beat(&door, app, "i-2", 1, 2, "open_for_post");
        assert_eq!(door.endpoint_record().state, UpstreamState::Serving);
    }
    let (door, _, app) = silent_door().await;
    door.restore_upstream_state("i-1", UpstreamState::Absent);
    beat(&door, app, "i-1", 9, 2, "open_for_post");
    assert_eq!(knock(&door, "a", 0, 10_000).await.expect("no panic"), "gone");
}

#[tokio::test]
async fn calls_are_known_by_the_run_that_they_go_on_from() {
    let (door, upstream) = door(2).await;
    let run = knock(&door, "f00", 0, 10_000);
    let at_upstream = next(&upstream).await;
    assert_eq!(
        (
            door.running_request(b"f00"),
            door.running_request(b"f001.2"),
            door.endpoint_record().calls_services
        ),
        (None, None, false)
    );
    assert_eq!((door.running_request(b"f00.2"), door.endpoint_record().calls_services), (Some(false), true));
    answer(at_upstream).await;
    assert_eq!(run.await.expect("no panic"), "ran");
    assert_eq!(door.running_request(b"f00.3"), None);
}

/// Guards against an upstream that is shut out for its life, or let in under another's name, by one word of its health
/// page.
#[tokio::test]
async fn what_a_health_page_says_wrongly_lasts_until_the_next_beat() {
    let cases = [
        ("200 OK", "i-1", UpstreamState::Serving, UpstreamState::Serving),
        ("200 OK", "i-1", UpstreamState::Draining, UpstreamState::Draining),
        ("200 OK", "i-0", UpstreamState::Serving, UpstreamState::Absent),
        ("500 Broken", "i-1", UpstreamState::Serving, UpstreamState::Absent),
        ("503 Not now", "i-1", UpstreamState::Serving, UpstreamState::Absent),
    ];
    for (status, by, stand, found) in cases {
        let (door, upstream, app) = silent_door().await;
        let record = EndpointRecord {
            service: "x".into(),
            upstream_id: "i-1".into(),
            state: stand,
            concurrency_limit: 1,
            ..door.endpoint_record()
        };
        let finds = tokio::spawn(door.clone().probe_upstream(record, "/health".into()));
        let (mut stream, _) = upstream.accept().await.expect("a probe");
        let head = format!("HTTP/1.1 {status}\r\nochreshed-delivered-by: {by}\r\nconnection: close");
        let answer = format!("{head}\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.expect("written");
        finds.await.expect("no panic");
        assert_eq!(door.endpoint_record().state, found, "{status} of {by}");
        // What it tells itself counts; only what closes stays closed.
        beat(&door, app, "i-1", 1, 1, "open_for_post");
        let takes = stand == UpstreamState::Serving;
        assert_eq!(
            door.endpoint_record().state,
            if takes { UpstreamState::Serving } else { UpstreamState::Draining },
            "{status} of {by}"
        );
        if takes {
            let sent = knock(&door, "a", 0, 10_000);
            answer_next(&upstream).await;
            assert_eq!(sent.await.expect("no panic"), "ran", "{status} of {by}");
        }
    }
}

async fn answer_next(upstream: &TcpListener) {
    answer(next(upstream).await).await;
}

/// Reads one req from a connection that stays open, and answers it.
async fn answer_on(stream: &mut tokio::net::TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(head).expect("text");
    let id = head.lines().find_map(|line| line.strip_prefix("ochreshed-consignment-id: ")).expect("an id");
    let fields = format!("ochreshed-consignment-id: {id}\r\nochreshed-postmark: s\r\ncontent-length: 0");
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n").as_bytes()).await.expect("written");
}

/// Guards against a req that is lost to a kept connection where that can be known before it is written, against one that
/// is told as unrun where it can't, and against a second one that goes the same way.
#[tokio::test]
async fn a_forgotten_connection_costs_one_req_at_most_and_that_may_have_run() {
    let (door, upstream) = door(2).await;
    let sent = |id: &str| knock(&door, id, 0, 10_000);
    let accepted = || async {
        let next = tokio::time::timeout(Duration::from_secs(10), upstream.accept()).await;
        next.expect("a new connection").expect("a connection").0
    };
    let ran = |sent: tokio::task::JoinHandle<&'static str>| async { sent.await.expect("no panic") };
    let age = |by| lock(&door.state).upstream.as_ref().expect("an upstream").connections.age(by);
    // While it is used it is kept.
    let first = sent("a");
    let mut kept = accepted().await;
    answer_on(&mut kept).await;
    assert_eq!(ran(first).await, "ran");
    let second = sent("b");
    answer_on(&mut kept).await;
    assert_eq!(ran(second).await, "ran");
    // Ended while it was idle, in order or not: the next req goes on another.
    for reset in [false, true] {
        let linger = reset.then_some(Duration::ZERO);
        socket2::SockRef::from(&kept).set_linger(linger).expect("an option");
        drop(kept);
        let next = sent("c");
        kept = accepted().await;
        answer_on(&mut kept).await;
        assert_eq!(ran(next).await, "ran", "reset: {reset}");
    }
    // Idle for long: the next one does not go on it.
    age(1_100 * MS);
    let next = sent("d");
    kept = accepted().await;
    answer_on(&mut kept).await;
    assert_eq!(ran(next).await, "ran");
    age(100 * MS);
    // Forgotten, and that shows only once something comes: it may have run, for all that can be told.
    let lost = sent("e");
    kept.peek(&mut [0]).await.expect("something comes");
    socket2::SockRef::from(&kept).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(kept);
    assert_eq!(ran(lost).await, "reset");
    // None that has been idle for as long carries another.
    let next = sent("f");
    kept = accepted().await;
    answer_on(&mut kept).await;
    assert_eq!(ran(next).await, "ran");
    age(500 * MS);
    let next = sent("g");
    answer_on(&mut accepted().await).await;
    assert_eq!(ran(next).await, "ran");
}
