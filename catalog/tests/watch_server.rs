//! When a steward answers a waiting ask: at once in a small mesh, and in a large one news of rows so far apart that
//! they don't cost more than all else.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState as Up};
use ochreshed_catalog::internal_rpc::WatchRequest;
use ochreshed_catalog::watch_client::Watcher;
use ochreshed_catalog::watch_server::{CommittedRegisters, CommittedState, WatchServer};
use ochreshed_consensus::messages::Revision;

const MS: u64 = 1_000_000;

fn row(at: usize, number: u64) -> EndpointRecord {
    let door = SocketAddr::from(([10, 1, (at / 250) as u8, (at % 250) as u8], 8300));
    let (line, id, edition) = ("a".into(), format!("i-{at}"), "v1".into());
    let (zone, stand) = ("z".into(), Up::Serving);
    let (slots, cold_ms, calls, serving) = (8, 0, false, true);
    EndpointRecord {
        inbound_proxy: door,
        incarnation: 1,
        sequence: number,
        zone,
        service: line,
        upstream_id: id,
        software_version: edition,
        state: stand,
        concurrency_limit: slots,
        warming_up_ms: cold_ms,
        calls_services: calls,
        accepts_clients: serving,
        health: Default::default(),
    }
}

#[test]
fn news_of_rows_wait_for_each_other_in_a_large_mesh_and_nothing_else_does() {
    let steward = SocketAddr::from(([10, 0, 0, 1], 8202));
    let stand = |safe| CommittedState {
        configuration: safe,
        replicas: &[],
        has_quorum: true,
        registers: CommittedRegisters::default(),
    };
    for (rows, pace) in [(100, 0), (200, 100), (1_000, 400)] {
        let mut office = WatchServer::new(7);
        (0..rows).for_each(|at| assert!(office.table.merge(0, &row(at, 1), 0)));
        let mut asker = Watcher::new(0, 2);
        let reader = row(0, 1);
        let mut ask = |office: &mut WatchServer, now: u64| -> (WatchRequest, Option<u64>) {
            let ask = asker.request(steward, reader.clone(), Revision::new(1, 1), Vec::new());
            let (waiting, _) = office.register(now, &ask, stand(None));
            let due = office.due_at(&waiting, stand(None));
            if due.is_some_and(|due| due <= now) {
                let reply = office.respond(now, waiting, stand(None), None);
                asker.handle_response(now, steward, reader.record_version(), true, &reply);
            }
            (ask, due)
        };
        // One that knows nothing is told all at once.
        assert_eq!(ask(&mut office, MS).1, Some(MS));
        let (open, due) = ask(&mut office, 2 * MS);
        assert_eq!(due, None);
        let (waiting, _) = office.register(2 * MS, &open, stand(None));
        assert!(office.table.merge(3 * MS, &row(5, 2), 0));
        assert_eq!(office.due_at(&waiting, stand(None)), Some((2 + pace) * MS));
        // A newer configuration does not wait, nor does the wish that it be drained itself.
        assert_eq!(office.due_at(&waiting, stand(Some(Revision::new(2, 0)))), Some(2 * MS));
        assert!(office.table.drain(reader.inbound_proxy, "i-0"));
        assert_eq!(office.due_at(&waiting, stand(None)), Some(2 * MS));
    }
}
