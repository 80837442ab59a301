//! The endpoint table: how replicas tell each other of records and of requests to drain.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, TablePosition, UpstreamState};
use proptest::prelude::*;

fn inbound_proxy() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 8], 8300))
}

fn record(incarnation: u64, number: u64, id: &str, state: UpstreamState) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: inbound_proxy(),
        incarnation,
        sequence: number,
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

/// One replica takes what has changed in the table of another since a position.
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
fn a_drain_is_requested_again_of_a_node_that_restarted_and_ends_with_the_upstream() {
    let (mut one, mut other) = (EndpointTable::new(1), EndpointTable::new(2));
    let mut position = TablePosition::default();
    assert!(!one.request_drain(inbound_proxy(), "i-1"), "no such record");
    one.merge(1, &record(7, 1, "i-1", UpstreamState::Serving), 0);
    sync(&one, &mut other, &mut position);
    assert!(one.request_drain(inbound_proxy(), "i-1") && !one.request_drain(inbound_proxy(), "i-1"));
    assert_eq!(one.requested_drain(inbound_proxy()), Some("i-1"));
    // Only the changed record is sent, with the request.
    assert_eq!(one.records_since(position).len(), 1);
    sync(&one, &mut other, &mut position);
    assert_eq!(other.requested_drain(inbound_proxy()), Some("i-1"));
    // The node drains, so that it is not asked any more.
    other.merge(1, &record(7, 2, "i-1", UpstreamState::Draining), 0);
    assert_eq!(other.requested_drain(inbound_proxy()), None);
    // The node restarts, knows no upstream, then the same one, and says that it serves.
    other.merge(1, &record(8, 1, "", UpstreamState::Absent), 0);
    assert_eq!(other.requested_drain(inbound_proxy()), None);
    other.merge(1, &record(8, 2, "i-1", UpstreamState::Serving), 0);
    assert_eq!(other.requested_drain(inbound_proxy()), Some("i-1"));
    // A replica that has just started learns of the request with the records.
    let mut third = EndpointTable::new(3);
    sync(&other, &mut third, &mut TablePosition::default());
    assert_eq!(third.requested_drain(inbound_proxy()), Some("i-1"));
    // The next process is another upstream, also where the end of the last one was not seen.
    other.merge(1, &record(8, 3, "i-2", UpstreamState::Serving), 0);
    third.merge(1, &record(8, 3, "i-1", UpstreamState::Absent), 0);
    third.merge(1, &record(8, 4, "i-1", UpstreamState::Serving), 0);
    assert_eq!(
        (other.requested_drain(inbound_proxy()), third.requested_drain(inbound_proxy())),
        (None, None)
    );
    assert!(!other.request_drain(inbound_proxy(), "i-1"), "it is over");
    // The request is removed with the record.
    one.update_suspects(100_000_000_000, 1);
    one.merge(100_000_000_000, &record(7, 9, "i-1", UpstreamState::Serving), 0);
    assert_eq!(one.requested_drain(inbound_proxy()), None);
}

proptest! {
    /// Whatever is taken where and in whatever order replicas sync, in the end all have the latest record, and none
    /// asks for a drain of another upstream than was meant.
    #[test]
    fn replicas_converge(steps in proptest::collection::vec((0usize..3, 0usize..3, 0u8..5), 1..60)) {
        let mut tables: Vec<EndpointTable> = (1..4).map(EndpointTable::new).collect();
        let mut positions = [[TablePosition::default(); 3]; 3];
        let (mut incarnation, mut number, mut upstream) = (1, 0, 0);
        let mut latest = record(1, 0, "", UpstreamState::Absent);
        for (one, other, kind) in steps {
            number += 1;
            let id = format!("i-{upstream}");
            match kind {
                0 => latest = record(incarnation, number, &id, UpstreamState::Serving),
                1 => {
                    incarnation += 1;
                    latest = record(incarnation, number, "", UpstreamState::Absent);
                }
                2 => {
                    upstream += 1;
                    latest = record(incarnation, number, &format!("i-{upstream}"), UpstreamState::Serving);
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
            if kind < 3 {
                tables[one].merge(1, &latest, 0);
            }
        }
        for _ in 0..3 {
            for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
                sync(from, to, &mut positions[one][other]);
            }
        }
        let first = (tables[0].record(inbound_proxy()).cloned(), tables[0].requested_drain(inbound_proxy()).map(str::to_owned));
        for table in &tables {
            prop_assert_eq!(table.record(inbound_proxy()).cloned(), first.0.clone());
            prop_assert_eq!(table.requested_drain(inbound_proxy()).map(str::to_owned), first.1.clone());
            let about = |id: &str| table.record(inbound_proxy()).is_some_and(|record| record.upstream_id == id && record.state == UpstreamState::Serving);
            prop_assert!(table.requested_drain(inbound_proxy()).is_none_or(about));
        }
        // Further syncs change nothing.
        let before: Vec<TablePosition> = tables.iter().map(EndpointTable::position).collect();
        for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
            sync(from, to, &mut TablePosition::default());
        }
        prop_assert_eq!(tables.iter().map(EndpointTable::position).collect::<Vec<_>>(), before);
    }
}
