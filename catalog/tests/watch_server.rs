//! Tests of when a replica answers a watch. In a small mesh it answers at once; in a large mesh it batches changes of
//! records, because their cost grows quadratically with the number of nodes.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_catalog::internal_rpc::WatchRequest;
use ochreshed_catalog::watch_client::Watcher;
use ochreshed_catalog::watch_server::{CommittedRegisters, CommittedState, WatchServer};
use ochreshed_consensus::messages::Revision;

const MS: u64 = 1_000_000;

fn record(index: usize, sequence: u64) -> EndpointRecord {
    let inbound_proxy = SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 8300));
    EndpointRecord {
        inbound_proxy,
        incarnation: 1,
        sequence,
        zone: "z".into(),
        service: "a".into(),
        upstream_id: format!("i-{index}"),
        software_version: "v1".into(),
        state: UpstreamState::Serving,
        concurrency_limit: 8,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

#[test]
fn only_changes_of_records_are_delayed_in_a_large_mesh() {
    let replica = SocketAddr::from(([10, 0, 0, 1], 8202));
    let state_with = |configuration| CommittedState {
        configuration,
        replicas: &[],
        has_quorum: true,
        registers: CommittedRegisters::default(),
    };
    for (records, interval_ms) in [(100, 0), (200, 100), (1_000, 400)] {
        let mut server = WatchServer::new(7);
        (0..records).for_each(|index| assert!(server.table.merge(0, &record(index, 1), 0)));
        let mut watcher = Watcher::new(0, 2);
        let reader = record(0, 1);
        let mut send_request = |server: &mut WatchServer, now: u64| -> (WatchRequest, Option<u64>) {
            let request = watcher.request(replica, reader.clone(), Revision::new(1, 1), Vec::new());
            let pending = server.register(now, &request, state_with(None)).pending;
            let due = server.due_at(&pending, state_with(None));
            if due.is_some_and(|due| due <= now) {
                let response = server.respond(now, pending, state_with(None), None);
                watcher.handle_response(now, replica, reader.record_version(), true, &response);
            }
            (request, due)
        };
        // A node without any state is sent all records at once.
        assert_eq!(send_request(&mut server, MS).1, Some(MS));
        let (request, due) = send_request(&mut server, 2 * MS);
        assert_eq!(due, None);
        let pending = server.register(2 * MS, &request, state_with(None)).pending;
        assert!(server.table.merge(3 * MS, &record(5, 2), 0));
        assert_eq!(server.due_at(&pending, state_with(None)), Some((2 + interval_ms) * MS));
        // A newer configuration and a request to drain the requesting node's upstream are sent without delay.
        assert_eq!(server.due_at(&pending, state_with(Some(Revision::new(2, 0)))), Some(2 * MS));
        assert!(server.table.request_drain(reader.inbound_proxy, "i-0"));
        assert_eq!(server.due_at(&pending, state_with(None)), Some(2 * MS));
    }
}
