//! Tests that messages between processes stay compatible with older versions.

use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::endpoints::TablePosition;
use ochreshed_catalog::internal_rpc::{Frame, InternalRequest, WatchRequest, encode_frame};
use ochreshed_catalog::traffic_reports::{
    AttemptCounts, BudgetReport, EditionOutcomes, OutcomeCounts, RouteEdition, ServiceAttempts,
};
use ochreshed_consensus::messages::{Lease, LeaseKey, MessageBody, RegisterValue, Revision};
use serde::{Deserialize, Serialize};

/// Guards against messages that an older version can't read, and against larger messages in the absence of registers.
#[test]
fn messages_without_registers_have_their_old_encoding() {
    #[derive(Debug, Serialize, Deserialize)]
    enum Older {
        Beat {
            voter: bool,
            sheet: Revision,
            safe: Revision,
            leaving: bool,
        },
        WantState {
            from: u128,
            round: u64,
        },
        State {
            round: u64,
            part: Vec<(LeaseKey, Lease)>,
            next: Option<u128>,
            sheet: Option<Arc<RegisterValue>>,
        },
    }
    let revision = Revision::new(3, u64::MAX);
    let older = [
        Older::Beat { voter: true, sheet: revision, safe: revision, leaving: false },
        Older::WantState { from: u128::MAX, round: 7 },
        Older::State { round: 7, part: Vec::new(), next: Some(9), sheet: None },
    ];
    let zone = String::new();
    let newer = [
        MessageBody::Heartbeat {
            voter: true,
            configuration: revision,
            committed_configuration: revision,
            leaving: false,
            zone,
            registers_digest: 0,
            supports_quorum_writes: false,
        },
        MessageBody::FetchSnapshot { from_key: u128::MAX, catch_up_id: 7, from_register: None },
        MessageBody::SnapshotChunk {
            catch_up_id: 7,
            leases: Vec::new(),
            next_key: Some(9),
            configuration: None,
            sessions: Vec::new(),
            registers: Vec::new(),
            next_register: None,
            acceptors: Vec::new(),
            tombstones: Vec::new(),
        },
    ];
    for (older, newer) in older.iter().zip(&newer) {
        let bytes = encode_frame(older).expect("a frame");
        assert_eq!(encode_frame(newer).as_ref(), Some(&bytes));
        let read: MessageBody = ciborium::from_reader(&bytes[4..]).expect("read");
        assert_eq!(encode_frame(&read), Some(bytes));
    }
}

/// Guards against growth of the requests that each node sends several times per second.
#[test]
fn watch_requests_do_not_grow() {
    let inbound_proxy = SocketAddr::from(([10, 1, 0, 8], 8300));
    let encoded_bytes = |attempts: Option<ServiceAttempts>| {
        let position = TablePosition { incarnation: u64::MAX, sequence: 1_000 };
        let request = WatchRequest {
            record: None,
            inbound_proxy: Some(inbound_proxy),
            position,
            configuration: Revision::new(12, u64::MAX),
            suspects_version: 3,
            max_wait_ms: 500,
            from_replica: false,
            report: attempts.map(|attempts| BudgetReport {
                services: attempts,
                recovery_ms: Some(812),
                outcomes: EditionOutcomes::new(),
            }),
            outcomes: EditionOutcomes::new(),
            registers_digest: 0,
            applied_editions: None,
            reports_only: false,
        };
        encode_frame(&Frame { id: 9_000, payload: InternalRequest::Watch(request) }).map(|bytes| bytes.len())
    };
    let counts = AttemptCounts { first: 2_000, retried: 20, denied: 0 };
    let services = ["huvo11a", "kafi81c", "wuno96b"].map(|name| (name.into(), counts));
    assert_eq!((encoded_bytes(None), encoded_bytes(Some(services.to_vec()))), (Some(119), Some(176)));
}

/// Guards against reports with outcomes that an older replica can't read; it ignores unknown fields.
#[test]
fn outcomes_are_sent_in_a_separate_field() {
    #[derive(Deserialize)]
    struct Older {
        report: Option<BudgetReport>,
        gather: bool,
    }
    let edition = RouteEdition { member: "norte".into(), version: 4, canary: true };
    let outcomes: EditionOutcomes =
        vec![(edition, OutcomeCounts { first: 9, failed: 2, ..OutcomeCounts::default() })];
    let report = BudgetReport { recovery_ms: Some(7), outcomes: outcomes.clone(), ..BudgetReport::default() };
    let request = WatchRequest {
        record: None,
        inbound_proxy: None,
        position: TablePosition::default(),
        configuration: Revision::new(1, 1),
        suspects_version: 0,
        max_wait_ms: 1,
        from_replica: false,
        report: Some(report),
        outcomes,
        registers_digest: 0,
        applied_editions: None,
        reports_only: true,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&request, &mut bytes).expect("written");
    let older: Older = ciborium::from_reader(&*bytes).expect("read");
    assert_eq!(
        (older.report, older.gather),
        (Some(BudgetReport { recovery_ms: Some(7), ..BudgetReport::default() }), true)
    );
    let newer: WatchRequest = ciborium::from_reader(&*bytes).expect("read");
    assert_eq!(newer.outcomes, request.outcomes);
}
