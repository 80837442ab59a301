//! Tests of the selection of the replica that a node polls.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::watching_replicas;
use ochreshed_catalog::watch_client::{RETRY_INTERVAL, Watcher};

const MS: u64 = 1_000_000;

/// Guards against a watcher that polls only the first replica of its partition of the ring although another one
/// responds.
#[test]
fn a_node_without_a_configuration_polls_all_replicas_in_turn() {
    let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 8202));
    let replicas = [address(1), address(2), address(3)];
    let inbound_proxy = SocketAddr::from(([10, 1, 0, 1], 8300));
    let ring = watching_replicas(inbound_proxy, &replicas, replicas.len());
    for index in 0..2 {
        for reachable in &ring {
            let mut watcher = Watcher::new(index, 2);
            let mut now = 0;
            let polled = (0..4).map(|_| {
                let replica = watcher.next_replica(now, inbound_proxy, &replicas).expect("a replica");
                watcher.record_failure(now, replica, false, replicas.len());
                // A refused connection fails at once, so only the retry interval passes.
                now += RETRY_INTERVAL + MS;
                replica
            });
            let polled: Vec<SocketAddr> = polled.collect();
            assert!(polled.contains(reachable), "{reachable} of {ring:?} is not among {polled:?}");
        }
    }
}
