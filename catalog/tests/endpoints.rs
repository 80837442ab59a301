//! Tests of the endpoint table: replication of records and of drain requests.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, TablePosition, UpstreamState};
use proptest::prelude::*;

fn inbound_proxy() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 8], 8300))
}

fn record(incarnation: u64, sequence: u64, id: &str, state: UpstreamState) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: inbound_proxy(),
        incarnation,
        sequence,
        zone: "quito-a".into(),
        service: "huvo11a".into(),
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

/// Merges the changes of one replica's table after a position into another's.
fn sync(from: &EndpointTable, to: &mut EndpointTable, position: &mut TablePosition) {
    for record in from.records_since(*position) {
        to.merge(1, &record, 0);
    }
    for (inbound_proxy, id) in from.drains_since(*position) {
        to.request_drain(inbound_proxy, &id);
    }
    *position = from.position();
}

#[test]
fn a_drain_request_survives_a_restart_of_the_node_and_ends_with_the_upstream() {
    let (mut one, mut other) = (EndpointTable::new(1), EndpointTable::new(2));
    let mut position = TablePosition::default();
    assert!(!one.request_drain(inbound_proxy(), "i-1"), "the node has no record");
    one.merge(1, &record(7, 1, "i-1", UpstreamState::Serving), 0);
    sync(&one, &mut other, &mut position);
    assert!(one.request_drain(inbound_proxy(), "i-1") && !one.request_drain(inbound_proxy(), "i-1"));
    assert_eq!(one.requested_drain(inbound_proxy()), Some("i-1"));
    // Only the changed record is sent, together with the request.
    assert_eq!(one.records_since(position).len(), 1);
    sync(&one, &mut other, &mut position);
    assert_eq!(other.requested_drain(inbound_proxy()), Some("i-1"));
    // The node reports draining, so the drain is no longer requested.
    other.merge(1, &record(7, 2, "i-1", UpstreamState::Draining), 0);
    assert_eq!(other.requested_drain(inbound_proxy()), None);
    // The node restarts, knows no upstream at first, and then reports the same one as serving.
    other.merge(1, &record(8, 1, "", UpstreamState::Absent), 0);
    assert_eq!(other.requested_drain(inbound_proxy()), None);
    other.merge(1, &record(8, 2, "i-1", UpstreamState::Serving), 0);
    assert_eq!(other.requested_drain(inbound_proxy()), Some("i-1"));
    // A replica that has just started receives the request with the records.
    let mut third = EndpointTable::new(3);
    sync(&other, &mut third, &mut TablePosition::default());
    assert_eq!(third.requested_drain(inbound_proxy()), Some("i-1"));
    // A new process is a different upstream, even if the end of the previous one was not observed.
    other.merge(1, &record(8, 3, "i-2", UpstreamState::Serving), 0);
    third.merge(1, &record(8, 3, "i-1", UpstreamState::Absent), 0);
    third.merge(1, &record(8, 4, "i-1", UpstreamState::Serving), 0);
    assert_eq!(
        (other.requested_drain(inbound_proxy()), third.requested_drain(inbound_proxy())),
        (None, None)
    );
    assert!(!other.request_drain(inbound_proxy(), "i-1"), "the upstream has ended");
    // The drain request is removed with the record.
    one.update_suspects(100_000_000_000, 1);
    one.merge(100_000_000_000, &record(7, 9, "i-1", UpstreamState::Serving), 0);
    assert_eq!(one.requested_drain(inbound_proxy()), None);
}

proptest! {
    /// In whatever order changes are made and replicas sync, all replicas converge on the latest record and the same
    /// drain request, which applies only to the intended upstream.
    #[test]
    fn replicas_converge(steps in proptest::collection::vec((0usize..3, 0usize..3, 0u8..5), 1..60)) {
        let mut tables: Vec<EndpointTable> = (1..4).map(EndpointTable::new).collect();
        let mut positions = [[TablePosition::default(); 3]; 3];
        let (mut incarnation, mut sequence, mut upstream) = (1, 0, 0);
        let mut latest = record(1, 0, "", UpstreamState::Absent);
        for (one, other, step) in steps {
            sequence += 1;
            let id = format!("i-{upstream}");
            match step {
                0 => latest = record(incarnation, sequence, &id, UpstreamState::Serving),
                1 => {
                    incarnation += 1;
                    latest = record(incarnation, sequence, "", UpstreamState::Absent);
                }
                2 => {
                    upstream += 1;
                    latest = record(incarnation, sequence, &format!("i-{upstream}"), UpstreamState::Serving);
                }
                3 => {
                    tables[one].request_drain(inbound_proxy(), &id);
                }
                _ if one != other => {
                    let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
                    sync(from, to, &mut positions[one][other]);
                }
                _ => {}
            }
            if step < 3 {
                tables[one].merge(1, &latest, 0);
            }
        }
        for _ in 0..3 {
            for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
                sync(from, to, &mut positions[one][other]);
            }
        }
        let expected = (tables[0].record(inbound_proxy()).cloned(), tables[0].requested_drain(inbound_proxy()).map(str::to_owned));
        for table in &tables {
            prop_assert_eq!(table.record(inbound_proxy()).cloned(), expected.0.clone());
            prop_assert_eq!(table.requested_drain(inbound_proxy()).map(str::to_owned), expected.1.clone());
            let is_serving = |id: &str| table.record(inbound_proxy()).is_some_and(|record| record.upstream_id == id && record.state == UpstreamState::Serving);
            prop_assert!(table.requested_drain(inbound_proxy()).is_none_or(is_serving));
        }
        // Further syncs do not change the tables.
        let before: Vec<TablePosition> = tables.iter().map(EndpointTable::position).collect();
        for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
            sync(from, to, &mut TablePosition::default());
        }
        prop_assert_eq!(tables.iter().map(EndpointTable::position).collect::<Vec<_>>(), before);
    }
}
