//! Tests of the endpoint table: suspected nodes.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, UpstreamState};

const S: u64 = 1_000_000_000;
const SUSPECT_AFTER: u64 = 2 * S;

fn record(incarnation: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: SocketAddr::from(([10, 0, 0, 1], 8300)),
        incarnation,
        sequence,
        zone: "a".into(),
        service: "shop".into(),
        upstream_id: format!("i-{incarnation}"),
        software_version: "v1".into(),
        state: UpstreamState::Serving,
        concurrency_limit: 6,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

/// Guards against a node that readers keep suspecting because its new record cleared the suspicion before an update
/// could report the change.
#[test]
fn a_suspected_node_that_returns_with_a_new_record_is_no_longer_suspected() {
    let mut table = EndpointTable::new(1);
    assert!(table.merge(10 * S, &record(1, 1), 0) && !table.update_suspects(11 * S, SUSPECT_AFTER));
    assert!(table.update_suspects(13 * S, SUSPECT_AFTER), "the node was not heard from");
    assert_eq!(table.suspects(), [record(1, 1).inbound_proxy]);
    assert!(table.merge(14 * S, &record(2, 1), 0));
    assert!(table.update_suspects(14 * S, SUSPECT_AFTER), "the change is not reported to readers");
    assert!(table.suspects().is_empty() && !table.update_suspects(15 * S, SUSPECT_AFTER));
}

/// Guards against a failed node that appears healthy to readers once its record is removed, and against a node that
/// returns after that and stays suspected.
#[test]
fn a_node_whose_record_was_removed_stays_suspected_until_it_returns() {
    let mut table = EndpointTable::new(1);
    table.merge(10 * S, &record(1, 1), 0);
    assert!(table.update_suspects(13 * S, SUSPECT_AFTER) && table.suspects().len() == 1);
    assert!(
        !table.update_suspects(200 * S, SUSPECT_AFTER) && table.record(record(1, 1).inbound_proxy).is_none()
    );
    assert_eq!(table.suspects(), [record(1, 1).inbound_proxy]);
    assert!(table.merge(201 * S, &record(2, 1), 0) && table.update_suspects(201 * S, SUSPECT_AFTER));
    assert!(table.suspects().is_empty());
}
