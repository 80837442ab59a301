//! Tests of the exact responses to operators' queries.

use std::net::SocketAddr;
use std::sync::Arc;

use expect_test::expect;
use ochreshed::Nanos;
use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, UpstreamState};
use ochreshed_catalog::traffic_reports::{AttemptCounts, BudgetReport};
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::core::{
    LeaseCounts, PeerStatus, ResponseCacheUsage, SessionCounts, TombstoneCounts,
};
use ochreshed_consensus::messages::{Lease, LeaseOutcome, ReplicaId, Revision, StoredResponse};
use ochreshed_traffic::budget_reports::BudgetReports;

use super::answer_query;
use super::configuration_history::{StoredVersion, list_stored_versions};
use super::drain::drain_timeout_response;
use super::request::{AdminQuery, AdminRequestError};
use super::response::{AdminResponse, QueryOutcome};
use super::snapshot::{EndpointStatus, ReplicaSnapshot, select_endpoints};
use crate::mesh::control::budget_reports::CollectedReports;
use crate::mesh::control::replica_status::{ReplicaStatus, StoredLease};
use crate::mesh::settings::OperatingBounds;

const MS: Nanos = 1_000_000;

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, host / 100, host % 100], port))
}

fn record(host: u8, id: &str, state: UpstreamState) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: address(host, 8300),
        incarnation: 7,
        sequence: 1,
        zone: "quito-a".into(),
        service: if id.is_empty() { "" } else { "huvo11a" }.into(),
        upstream_id: id.into(),
        software_version: "v1".into(),
        state,
        concurrency_limit: 6,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

fn replica(host: u8, voter: bool, heard_ago: Option<Nanos>) -> PeerStatus {
    PeerStatus {
        replica: ReplicaId { address: address(host, 7620), disk_id: 0 },
        member: true,
        voter,
        epoch: 3,
        heard_ago,
        leaving: false,
        zone: if voter { "quito-a" } else { "" }.into(),
    }
}

fn status() -> ReplicaStatus {
    ReplicaStatus {
        epoch: 3,
        has_quorum: true,
        committed_configuration: Some(Revision::new(7, 0xff)),
        replicas: vec![replica(13, true, Some(0)), replica(14, false, None)],
        lease_counts: LeaseCounts { pending: 2, indeterminate: 1, completed: 40 },
        response_cache: ResponseCacheUsage { bytes: 12_040, max_bytes: 51_200_000, evicted: 3 },
        sessions: SessionCounts::default(),
        oldest_pending_lease_age: Some(1_250 * MS),
        pending_quorum_writes: 0,
        tombstones: TombstoneCounts::default(),
        oldest_quorum_write_age: None,
        lease: None,
    }
}

fn snapshot() -> ReplicaSnapshot {
    let records = [
        record(8, "i-1", UpstreamState::Serving),
        record(9, "i-2", UpstreamState::Draining),
        record(10, "", UpstreamState::Absent),
    ];
    let endpoint = |record| EndpointStatus { record, last_heard_ms_ago: 120, suspected: false };
    ReplicaSnapshot {
        replica: address(13, 7620),
        status: status(),
        endpoints: records.map(endpoint).to_vec(),
        stored_versions: vec![
            StoredVersion { revision: Revision::new(7, 0xff), bytes: 812, written_ms: 1_700_000_000_000 },
            StoredVersion { revision: Revision::new(5, 1), bytes: 800, written_ms: 1_600_000_000_000 },
        ],
        reports: collected_reports(),
        bounds: OperatingBounds::default(),
        disk_writes: 7,
        disk_records: 40,
    }
}

/// Reports: one proxy reported to this replica and earlier to another one, one proxy has no endpoint record any more,
/// and one service has no upstream left.
fn collected_reports() -> CollectedReports {
    let counts = |first, retried, denied| AttemptCounts { first, retried, denied };
    let report = |service: &str, counts, recovery_ms| BudgetReport {
        services: vec![(service.into(), counts)],
        recovery_ms,
        outcomes: Vec::new(),
    };
    let mut reports = BudgetReports::default();
    reports.store(9_000 * MS, address(8, 8300), report("huvo11a", counts(400, 9, 2), Some(812)), 0);
    reports.store(9_000 * MS, address(8, 8300), report("huvo11a", counts(1, 0, 0), None), 3_000 * MS);
    reports.store(9_000 * MS, address(10, 8300), report("kafi81c", counts(10, 64, 0), None), 0);
    reports.store(9_000 * MS, address(11, 8300), report("huvo11a", counts(7_000, 0, 0), None), 0);
    CollectedReports {
        reports,
        replica_recovery_ms: [(address(13, 7620), 240)].into(),
        unreachable_replicas: vec![address(14, 7620)],
    }
}

fn parse(path: &str) -> Result<AdminQuery, AdminRequestError> {
    AdminQuery::parse(&path.parse().expect("a path"))
}

/// Formats a response as a line with its status, text and requested drain.
fn format_response(response: AdminResponse, drain: &str) -> String {
    match response {
        AdminResponse::Json(text) => format!("200 {text}{drain}\n"),
        AdminResponse::Error { status, message, .. } => format!("{status} {message}{drain}\n"),
    }
}

fn answer_line(path: &str, snapshot: &ReplicaSnapshot) -> String {
    let query = match parse(path) {
        Ok(query) => query,
        Err(error) => return format_response(error.into(), ""),
    };
    match answer_query(&query, snapshot) {
        QueryOutcome::Answered(response) => format_response(response, ""),
        QueryOutcome::DrainPending { inbound_proxy, upstream_id } => {
            format_response(drain_timeout_response(), &format!(" drain {upstream_id} at {inbound_proxy}"))
        }
    }
}

#[test]
fn query_responses_match_exactly() {
    let snapshot = snapshot();
    let calls = [
        "nodes.list",
        "upstreams.list",
        "timetable.history",
        "keys.count",
        "keys.show&of=k-5512",
        "budget.list",
        "upstreams.drain&of=i-1",
        "upstreams.drain&of=i-2",
        "upstreams.drain&of=i-3",
        "upstreams.drain",
        "keys.show&of=%20",
        "keys.show&of=%f",
        "keys.show&of=%ff",
        "nodes.list&after=here",
        "nodes.burn",
    ];
    let all: String =
        calls.iter().map(|call| answer_line(&format!("/api/rpc?call={call}"), &snapshot)).collect();
    expect![[r#"
        200 {"asked":"10.1.0.13:7620","view":3,"settled":true,"stewards":[{"address":"10.1.0.13:7620","zone":"quito-a","disk":"0","member":true,"voter":true,"view":3,"heard_ms":0,"leaving":false,"full_ms":240},{"address":"10.1.0.14:7620","zone":"","disk":"0","member":true,"voter":false,"view":3,"heard_ms":null,"leaving":false,"full_ms":null}],"attendants":[{"door":"10.1.0.8:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,"service":"huvo11a","upstream":"i-1","full_ms":812},{"door":"10.1.0.9:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,"service":"huvo11a","upstream":"i-2","full_ms":null},{"door":"10.1.0.10:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,"service":"","upstream":"","full_ms":null}],"next":null}
        200 {"upstreams":[{"id":"i-1","line":"huvo11a","zone":"quito-a","edition":"v1","state":"open","slots":6,"cold_ms":0,"door":"10.1.0.8:8300","serving":true,"quiet":false},{"id":"i-2","line":"huvo11a","zone":"quito-a","edition":"v1","state":"closing","slots":6,"cold_ms":0,"door":"10.1.0.9:8300","serving":true,"quiet":false}],"next":null}
        200 {"versions":[{"edition":"r7","digest":"00000000000000ff","bytes":812,"written_ms":1700000000000,"in_force":true},{"edition":"r5","digest":"0000000000000001","bytes":800,"written_ms":1600000000000,"in_force":false}]}
        200 {"open":2,"unknown":1,"done":40,"oldest_open_ms":1250,"answer_bytes":12040,"most_answer_bytes":51200000,"answers_dropped":3,"disk_writes":7,"disk_records":40}
        200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"none","known_ms":null,"disputed":false,"status":null,"bytes":null}
        200 {"kept_by":"attendants","window_ms":10000,"retry_ratio":0.2,"retry_slack":60.0,"gates":3,"gates_told":2,"silent":["10.1.0.14:7620"],"services":[{"service":"huvo11a","upstreams":2,"first":400,"again":9,"refused":2,"allowed":140.0,"left":131.0},{"service":"kafi81c","upstreams":0,"first":10,"again":64,"refused":0,"allowed":62.0,"left":-2.0}]}
        503 its attendant has not taken the drain yet: ask again drain i-1 at 10.1.0.8:8300
        200 {"id":"i-2","line":"huvo11a","door":"10.1.0.9:8300","state":"closing","open_left":1}
        404 no upstream of that id is known here
        400 upstreams.drain wants of=ID, an upstream's
        400 keys.show wants of=KEY
        400 of: is no text in UTF-8, or a % in it stands before no two digits
        400 of: is no text in UTF-8, or a % in it stands before no two digits
        400 after: is no address of a door
        404 no such call here
    "#]]
    .assert_eq(&all);
}

/// Outcomes are summed over proxies by document version; the field is omitted if there are none.
#[test]
fn the_budget_shows_outcomes_of_members() {
    let mut snapshot = snapshot();
    let edition = |version, canary| RouteEdition { member: "norte".into(), version, canary };
    let report = |failed, canary| {
        let counts = OutcomeCounts { first: 20, retried: 2, denied: 1, rejected: 3, succeeded: 18, failed };
        let outcomes = vec![(edition(7 + u64::from(canary), canary), counts)];
        BudgetReport { outcomes, ..BudgetReport::default() }
    };
    for (host, canary) in [(8, false), (9, false), (10, true)] {
        let report = report(u32::from(host), canary);
        snapshot.reports.reports.store(9_500 * MS, address(host, 8300), report, 0);
    }
    let page = answer_line("/api/rpc?call=budget.list", &snapshot);
    let members = page.split_once(r#","members":"#).map(|(_, members)| members).unwrap_or_default();
    expect![[r#"
        [{"member":"norte","edition":"r7","trial":false,"first":40,"again":4,"refused":2,"turned":6,"well":36,"failed":17},{"member":"norte","edition":"r8","trial":true,"first":20,"again":2,"refused":1,"turned":3,"well":18,"failed":10}]}
    "#]].assert_eq(members);
}

#[test]
fn a_lease_is_shown_with_its_outcome() {
    let mut snapshot = snapshot();
    let response = StoredResponse { status: 201, headers: Vec::new(), body: vec![0; 17] };
    let outcomes = [
        (0, LeaseOutcome::Pending),
        (5, LeaseOutcome::Indeterminate),
        (5, LeaseOutcome::Completed(Arc::new(response))),
    ];
    let mut all = String::new();
    for (token, outcome) in outcomes {
        let lease = Lease { token, time_left_ms: 300, outcome };
        snapshot.status.lease = Some(StoredLease { lease, age: 2_000 * MS });
        all += &answer_line("/api/rpc?call=keys.show&of=k%2D5512", &snapshot);
    }
    expect![[r#"
        200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"open","known_ms":2000,"disputed":true,"status":null,"bytes":null}
        200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"unknown","known_ms":2000,"disputed":false,"status":null,"bytes":null}
        200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"done","known_ms":2000,"disputed":false,"status":201,"bytes":17}
    "#]].assert_eq(&all);
}

#[test]
fn long_lists_are_read_page_by_page() {
    let mut table = EndpointTable::new(1);
    for host in 0..2_500u32 {
        let mut record = record(1, &format!("i-{host}"), UpstreamState::Serving);
        record.inbound_proxy = SocketAddr::from((std::net::Ipv4Addr::from(0x0a01_0000 + host), 8300));
        table.merge(1, &record, 0);
    }
    let (mut path, mut seen) = ("/api/rpc?call=upstreams.list".to_owned(), 0);
    for page_length in [1_000, 1_000, 500] {
        let query = parse(&path).expect("a query");
        let endpoints = select_endpoints(&query, &table, 1);
        let QueryOutcome::Answered(AdminResponse::Json(text)) =
            answer_query(&query, &ReplicaSnapshot { endpoints, ..snapshot() })
        else {
            panic!("no JSON");
        };
        let json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(json["upstreams"].as_array().map(Vec::len), Some(page_length));
        seen += page_length;
        let next = json["next"].as_str().map(str::to_owned);
        assert_eq!(next.is_some(), seen < 2_500);
        path = format!("/api/rpc?call=upstreams.list&after={}", next.unwrap_or_default());
    }
}

#[test]
fn versions_on_disk_are_read_from_the_names_of_files() {
    let directory = std::env::temp_dir().join(format!("ochreshed-pages-{}", std::process::id()));
    std::fs::create_dir_all(directory.join("timetable")).expect("create the directory");
    for name in ["r12-00000000000000ff.json", "r7-0000000000000001.json", "r9-x.json", "r8-1.json.new"] {
        std::fs::write(directory.join("timetable").join(name), "{}").expect("write the file");
    }
    let versions = list_stored_versions(&directory).expect("read");
    let revisions: Vec<_> = versions.iter().map(|version| version.revision).collect();
    std::fs::remove_dir_all(&directory).expect("remove the directory");
    assert_eq!(revisions, [Revision::new(12, 0xff), Revision::new(7, 1)]);
    assert!(list_stored_versions(&directory).is_err());
}
