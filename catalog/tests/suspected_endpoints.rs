//! The list of branches: who is told to be quiet, and who is not any more.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, UpstreamState};

const S: u64 = 1_000_000_000;
const QUIET: u64 = 2 * S;

fn row(life: u64, number: u64) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: SocketAddr::from(([10, 0, 0, 1], 8300)),
        incarnation: life,
        sequence: number,
        zone: "a".into(),
        service: "shop".into(),
        upstream_id: format!("i-{life}"),
        software_version: "v1".into(),
        state: UpstreamState::Serving,
        concurrency_limit: 6,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

/// Guards against a door that stays quiet for all readers because its own new row took the word of that away.
#[test]
fn one_that_was_quiet_and_comes_back_with_a_new_row_is_told_not_to_be_quiet_any_more() {
    let mut table = EndpointTable::new(1);
    assert!(table.merge(10 * S, &row(1, 1), 0) && !table.update_suspects(11 * S, QUIET));
    assert!(table.update_suspects(13 * S, QUIET), "it fell quiet");
    assert_eq!(table.suspects(), [row(1, 1).inbound_proxy]);
    assert!(table.merge(14 * S, &row(2, 1), 0));
    assert!(
        table.update_suspects(14 * S, QUIET),
        "readers that were told of it are not told that it is over"
    );
    assert!(table.suspects().is_empty() && !table.update_suspects(15 * S, QUIET));
}

/// Guards against a machine that is long gone and seems to be there again because its row was forgotten, and against one
/// that comes back after that and stays quiet.
#[test]
fn one_that_is_forgotten_stays_quiet_until_it_comes_back() {
    let mut table = EndpointTable::new(1);
    table.merge(10 * S, &row(1, 1), 0);
    assert!(table.update_suspects(13 * S, QUIET) && table.suspects().len() == 1);
    assert!(!table.update_suspects(200 * S, QUIET) && table.record(row(1, 1).inbound_proxy).is_none());
    assert_eq!(table.suspects(), [row(1, 1).inbound_proxy]);
    assert!(table.merge(201 * S, &row(2, 1), 0) && table.update_suspects(201 * S, QUIET));
    assert!(table.suspects().is_empty());
}
