//! Which replica a node asks next.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::watching_replicas;
use ochreshed_catalog::watch_client::{RETRY_INTERVAL, Watcher};

const MS: u64 = 1_000_000;

/// Guards against a watcher that asks the first replica of its part of the ring for ever though another one responds.
#[test]
fn without_a_configuration_all_replicas_are_asked_in_turn() {
    let at = |number: u8| SocketAddr::from(([10, 0, 0, number], 8202));
    let replicas = [at(1), at(2), at(3)];
    let inbound_proxy = SocketAddr::from(([10, 1, 0, 1], 8300));
    let ring = watching_replicas(inbound_proxy, &replicas, replicas.len());
    for which in 0..2 {
        for reachable in &ring {
            let mut watcher = Watcher::new(which, 2);
            let mut now = 0;
            let asked = (0..4).map(|_| {
                let replica = watcher.next_replica(now, inbound_proxy, &replicas).expect("a replica");
                watcher.record_failure(now, replica, false, replicas.len());
                // A refused connection takes no longer than the pause after it.
                now += RETRY_INTERVAL + MS;
                replica
            });
            let asked: Vec<SocketAddr> = asked.collect();
            assert!(asked.contains(reachable), "{reachable} of {ring:?} is not among {asked:?}");
        }
    }
}
