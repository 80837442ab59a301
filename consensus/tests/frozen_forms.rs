//! The bytes of what replicas say to each other and keep on disk, against fixtures that main wrote before types were
//! renamed: a renamed field or variant keeps its tag.

mod frozen;

use std::net::SocketAddr;
use std::sync::Arc;

use frozen::FrozenForms;
use ochreshed_consensus::messages::{
    Agreed, Answer, Ballot, Ballots, Body, Claim, Entry, Got, Grant, Holder, Holding, Letter, Outcome, Paper,
    ProposalNumber, Record, Said, Sheet, Station, Tie, VersionBallot, VersionMessage, View, Want, Wish,
};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 8_300 + u16::from(last)))
}

fn address_v6() -> SocketAddr {
    "[fd00::7]:8307".parse().expect("an address")
}

fn replica(last: u8) -> Station {
    Station { at: address(last), disk: u64::from(last) << 40 }
}

fn membership() -> View {
    View { number: 7, members: vec![replica(1), replica(2)], base: vec![replica(3)], undone: true }
}

fn ballot() -> Ballot {
    Ballot { round: 300, by: u64::MAX }
}

fn number() -> ProposalNumber {
    ProposalNumber { epoch: 5, ballot: ballot() }
}

fn content() -> Arc<Sheet> {
    Arc::new(Sheet::new(12, b"{\"edition\":\"r12\"}".to_vec()))
}

fn named() -> Paper {
    Paper { name: "m/banco-norte".into(), sheet: content() }
}

fn answer() -> Arc<Answer> {
    let headers = vec![("content-type".into(), "text/plain".into()), ("x-one".into(), String::new())];
    Arc::new(Answer { status: 201, headers, body: vec![0, 1, 255] })
}

fn lease(outcome: Outcome) -> Claim {
    Claim { token: 99, left_ms: 70_000, outcome }
}

fn owner(last: u8) -> Holder {
    Holder { gate: address(last), since: 4 }
}

fn binding() -> Tie {
    Tie { id: "life-1".into(), door: address(8) }
}

fn ownership() -> Holding {
    Holding { tie: Some(binding()), holder: Some(owner(5)), before: Some(owner(6)) }
}

fn committed() -> Agreed {
    Agreed { epoch: 3, token: 77, holding: ownership() }
}

fn session_record() -> Entry {
    Entry { epoch: 4, token: 78, taken: Some(committed()) }
}

fn version_ballot() -> VersionBallot {
    let accepted = Some((number(), content()));
    VersionBallot { name: "members".into(), version: 13, promised: number(), accepted }
}

const KEY: u128 = u128::MAX - 1;
const SESSION: u128 = 1 << 100;
const RANK: (u64, u64) = (12, u64::MAX);

#[test]
fn sample_membership_and_registers() {
    let mut forms = FrozenForms::open("membership");
    forms.assert_encodes_as("station", &replica(1));
    forms.assert_encodes_as("station_v6", &Station { at: address_v6(), disk: 0 });
    forms.assert_encodes_as("view_all", &membership());
    forms.assert_encodes_as("view_least", &View::first(1, vec![replica(2), replica(1)]));
    forms.assert_encodes_as("ballot", &ballot());
    forms.assert_encodes_as("proposal_number", &number());
    let all = Ballots {
        me: replica(1),
        view: membership(),
        voter: true,
        promised: ballot(),
        accepted: Some((ballot(), membership())),
        told_new: true,
        barred: true,
    };
    let least = Ballots {
        me: replica(1),
        view: View::first(1, Vec::new()),
        voter: false,
        promised: Ballot::default(),
        accepted: None,
        told_new: false,
        barred: false,
    };
    forms.assert_encodes_as("ballots_all", &all);
    forms.assert_encodes_as("ballots_least", &least);
    forms.assert_encodes_as("sheet", &*content());
    forms.assert_encodes_as("paper", &named());
    forms.assert_encodes_as("version_ballot_all", &version_ballot());
    let least =
        VersionBallot { name: "".into(), version: 1, promised: ProposalNumber::default(), accepted: None };
    forms.assert_encodes_as("version_ballot_least", &least);
    forms.finish();
}

#[test]
fn sample_leases() {
    let mut forms = FrozenForms::open("leases");
    forms.assert_encodes_as("answer", &*answer());
    forms.assert_encodes_as("outcome_open", &Outcome::Open);
    forms.assert_encodes_as("outcome_unknown", &Outcome::Unknown);
    forms.assert_encodes_as("outcome_done", &Outcome::Done(answer()));
    forms.assert_encodes_as("claim", &lease(Outcome::Open));
    forms.assert_encodes_as("grant_yes", &Grant::Yes);
    forms.assert_encodes_as("grant_no", &Grant::No(lease(Outcome::Unknown)));
    forms.assert_encodes_as("grant_freed", &Grant::Freed);
    forms.finish();
}

#[test]
fn sample_sessions() {
    let mut forms = FrozenForms::open("sessions");
    forms.assert_encodes_as("tie", &binding());
    forms.assert_encodes_as("holder", &owner(5));
    forms.assert_encodes_as("holding_all", &ownership());
    forms.assert_encodes_as("holding_least", &Holding::default());
    forms.assert_encodes_as("agreed", &committed());
    forms.assert_encodes_as("entry_all", &session_record());
    forms.assert_encodes_as("entry_least", &Entry::default());
    for (name, wish) in wishes() {
        forms.assert_encodes_as(&format!("wish_{name}"), &wish);
    }
    for (name, said) in session_messages() {
        forms.assert_encodes_as(&format!("said_{name}"), &said);
    }
    forms.finish();
}

fn wishes() -> Vec<(&'static str, Wish)> {
    vec![
        ("take", Wish::Take { gate: address(5), above: 3 }),
        ("tie_all", Wish::Tie { holder: owner(5), was: Some("life-0".into()), tie: binding() }),
        ("tie_least", Wish::Tie { holder: owner(5), was: None, tie: binding() }),
        ("renew", Wish::Renew(owner(5))),
        ("read", Wish::Read),
        ("drop", Wish::Drop),
    ]
}

fn session_messages() -> Vec<(&'static str, Said)> {
    vec![
        ("ask", Said::Ask { call: 1, session: SESSION, epoch: 3, token: 77 }),
        ("heard_all", Said::Heard { call: 1, epoch: 3, taken: Some(committed()) }),
        ("heard_least", Said::Heard { call: 1, epoch: 3, taken: None }),
        ("hold", Said::Hold { call: 1, session: SESSION, agreed: committed() }),
        ("held", Said::Held { call: 1, epoch: 3 }),
        ("outbid", Said::Outbid { call: 1, epoch: 3 }),
        ("renew", Said::Renew(SESSION)),
    ]
}

#[test]
fn sample_records() {
    let mut forms = FrozenForms::open("records");
    let ballots = Ballots {
        me: replica(1),
        view: membership(),
        voter: true,
        promised: ballot(),
        accepted: Some((ballot(), membership())),
        told_new: true,
        barred: false,
    };
    let records = [
        ("ballots", Record::Ballots(ballots)),
        ("sheet", Record::Sheet(content())),
        ("claim_open", Record::Claim(KEY, lease(Outcome::Open))),
        ("claim_unknown", Record::Claim(1, lease(Outcome::Unknown))),
        ("claim_done", Record::Claim(2, lease(Outcome::Done(answer())))),
        ("free", Record::Free(KEY, 99)),
        ("paper", Record::Paper(named())),
        ("session", Record::Session(SESSION, session_record())),
        ("session_over", Record::SessionOver(SESSION)),
        ("version_ballots", Record::VersionBallots(vec![version_ballot()])),
        ("version_ballots_none", Record::VersionBallots(Vec::new())),
    ];
    for (name, record) in records {
        forms.assert_encodes_as(name, &record);
    }
    forms.finish();
}

#[test]
fn sample_requests() {
    let mut forms = FrozenForms::open("requests");
    let settle = |outcome| Want::Settle { key: KEY, token: 99, outcome };
    let mut wants = vec![
        ("claim".to_owned(), Want::Claim { key: KEY, token: 99, left_ms: 70_000 }),
        ("settle_none".into(), settle(None)),
        ("settle_open".into(), settle(Some(Outcome::Open))),
        ("settle_unknown".into(), settle(Some(Outcome::Unknown))),
        ("settle_done".into(), settle(Some(Outcome::Done(answer())))),
        ("replace".into(), Want::Replace(content())),
        ("read".into(), Want::Read),
        ("paper".into(), Want::Paper(named())),
        ("read_paper".into(), Want::ReadPaper("members".into())),
    ];
    wants.extend(
        wishes().into_iter().map(|(name, wish)| (format!("session_{name}"), Want::Session(SESSION, wish))),
    );
    for (name, want) in wants {
        forms.assert_encodes_as(&format!("want_{name}"), &want);
    }
    let gots = [
        ("granted", Got::Granted),
        ("held_open", Got::Held(Outcome::Open)),
        ("held_unknown", Got::Held(Outcome::Unknown)),
        ("held_done", Got::Held(Outcome::Done(answer()))),
        ("taken", Got::Taken),
        ("newest", Got::Newest(Some(content()))),
        ("newest_none", Got::Newest(None)),
        ("conflict", Got::Conflict),
        ("full", Got::Full),
        ("session", Got::Session(Some(committed()))),
        ("session_none", Got::Session(None)),
        ("unsure", Got::Unsure),
    ];
    for (name, got) in gots {
        forms.assert_encodes_as(&format!("got_{name}"), &got);
    }
    forms.finish();
}

fn version_messages() -> Vec<(&'static str, VersionMessage)> {
    let (name, version, number) = (|| "members".into(), 13, number());
    vec![
        ("prepare", VersionMessage::Prepare { name: name(), version, number }),
        (
            "promise_all",
            VersionMessage::Promise { name: name(), version, number, accepted: Some((number, content())) },
        ),
        ("promise_least", VersionMessage::Promise { name: name(), version, number, accepted: None }),
        ("accept", VersionMessage::Accept { name: name(), number, sheet: content() }),
        ("accepted", VersionMessage::Accepted { name: name(), version, number }),
        ("outbid", VersionMessage::Outbid { name: name(), version, number, promised: number }),
        ("superseded_all", VersionMessage::Superseded { name: name(), version, number, digest: Some(9) }),
        ("superseded_least", VersionMessage::Superseded { name: name(), version, number, digest: None }),
    ]
}

fn message_bodies() -> Vec<(String, Body)> {
    let beat = |zone: &str, papers| Body::Beat {
        voter: true,
        sheet: RANK,
        safe: (11, 1),
        leaving: true,
        zone: zone.into(),
        papers,
    };
    let grants = vec![
        (1, Grant::Yes),
        (2, Grant::No(lease(Outcome::Open))),
        (3, Grant::No(lease(Outcome::Done(answer())))),
        (4, Grant::Freed),
    ];
    let settles = vec![
        (KEY, 99, None),
        (1, 98, Some(Outcome::Open)),
        (2, 97, Some(Outcome::Unknown)),
        (3, 96, Some(Outcome::Done(answer()))),
    ];
    let state_all = Body::State {
        round: 7,
        part: vec![(KEY, lease(Outcome::Open)), (1, lease(Outcome::Done(answer())))],
        next: Some(KEY),
        sheet: Some(content()),
        sessions: vec![(SESSION, session_record())],
        papers: vec![named()],
        next_paper: Some("n".into()),
        version_ballots: vec![version_ballot()],
    };
    let state_least = Body::State {
        round: 7,
        part: Vec::new(),
        next: None,
        sheet: None,
        sessions: Vec::new(),
        papers: Vec::new(),
        next_paper: None,
        version_ballots: Vec::new(),
    };
    let ranks = || vec![("members".into(), RANK)];
    let all = vec![
        ("beat_all", beat("zone-a", u128::MAX)),
        ("beat_least", beat("", 0)),
        ("holds", Body::Holds(membership())),
        ("prepare", Body::Prepare(ballot())),
        ("promise_all", Body::Promise { ballot: ballot(), accepted: Some((ballot(), membership())) }),
        ("promise_least", Body::Promise { ballot: ballot(), accepted: None }),
        ("accept", Body::Accept(ballot(), membership())),
        ("accepted", Body::Accepted(ballot())),
        ("bar", Body::Bar(ballot())),
        ("barred_all", Body::Barred { ballot: ballot(), accepted: Some((ballot(), membership())) }),
        ("barred_least", Body::Barred { ballot: ballot(), accepted: None }),
        ("outbid", Body::Outbid(ballot())),
        ("grant", Body::Grant(vec![(1, KEY, 99, 70_000)])),
        ("granted", Body::Granted(grants)),
        ("settle", Body::Settle(settles)),
        ("hold", Body::Hold(content())),
        ("want_sheet", Body::WantSheet { ask: 5, have: RANK }),
        ("held", Body::Held { ask: 5, rank: RANK }),
        ("want_state_all", Body::WantState { from: KEY, round: 7, papers: Some("m".into()) }),
        ("want_state_least", Body::WantState { from: KEY, round: 7, papers: None }),
        ("state_all", state_all),
        ("state_least", state_least),
        ("hold_papers", Body::HoldPapers(vec![named()])),
        ("want_papers", Body::WantPapers { ask: 5, have: ranks() }),
        ("papers_held_all", Body::PapersHeld { ask: 5, voter: true, ranks: ranks(), next: Some("n".into()) }),
        ("papers_held_least", Body::PapersHeld { ask: 0, voter: false, ranks: Vec::new(), next: None }),
        ("list_papers", Body::ListPapers("m".into())),
    ];
    let mut all: Vec<(String, Body)> = all.into_iter().map(|(name, body)| (name.into(), body)).collect();
    all.extend(
        session_messages()
            .into_iter()
            .map(|(name, said)| (format!("sessions_{name}"), Body::Sessions(vec![said]))),
    );
    all.extend(
        version_messages()
            .into_iter()
            .map(|(name, message)| (format!("version_{name}"), Body::Version(message))),
    );
    all
}

/// The compiler refuses this where a variant is new: it wants a sample above.
fn has_sample(body: &Body) -> bool {
    match body {
        Body::Beat { .. } | Body::Holds(_) | Body::Prepare(_) | Body::Promise { .. } | Body::Accept(..) => {
            true
        }
        Body::Accepted(_) | Body::Bar(_) | Body::Barred { .. } | Body::Outbid(_) | Body::Grant(_) => true,
        Body::Granted(_) | Body::Settle(_) | Body::Hold(_) | Body::WantSheet { .. } => true,
        Body::Held { .. } | Body::WantState { .. } | Body::State { .. } | Body::Sessions(_) => true,
        Body::Version(_) | Body::HoldPapers(_) | Body::WantPapers { .. } => true,
        Body::PapersHeld { .. } | Body::ListPapers(_) => true,
    }
}

#[test]
fn sample_messages() {
    let mut forms = FrozenForms::open("messages");
    for (name, message) in version_messages() {
        forms.assert_encodes_as(&format!("version_message_{name}"), &message);
    }
    for (name, body) in message_bodies() {
        assert!(has_sample(&body));
        forms.assert_encodes_as(&format!("body_{name}"), &body);
    }
    let body = Body::Accepted(ballot());
    forms.assert_encodes_as("letter", &Letter { from: replica(1), view: 7, body });
    forms.finish();
}
