//! Released leases whose release did not reach every replica: their tokens are dead, so they must not keep later requests
//! for their keys from running.

mod cluster;

use cluster::SimulatedCluster;
use ochreshed_consensus::messages::*;

const KEY: LeaseKey = 7;
const DEAD_TOKEN: LeaseToken = 21;
const TIME_LEFT_MS: u32 = 600;

fn run_for(cluster: &mut SimulatedCluster, ms: u64) {
    cluster.run_for(ms);
    assert_eq!(cluster.violation, None);
}

fn acquire(cluster: &mut SimulatedCluster, node: usize, token: LeaseToken) -> u64 {
    let request = CoreRequest::AcquireLease { key: KEY, token, time_left_ms: TIME_LEFT_MS };
    cluster.request(node, request)
}

fn release(cluster: &mut SimulatedCluster, node: usize, token: LeaseToken) {
    let completion = CoreRequest::CompleteLease { key: KEY, token, outcome: None };
    cluster.request(node, completion);
}

/// The token that holds the key's lease at each node that runs.
fn holders(cluster: &SimulatedCluster) -> Vec<Option<LeaseToken>> {
    let cores = cluster.nodes.iter().filter_map(|node| node.core.as_ref());
    cores.map(|core| core.lease(KEY).map(|lease| lease.token)).collect()
}

/// Guards against a replica that goes on asking for votes on a lease that was released, so that replicas which start
/// meanwhile store the dead token.
#[test]
fn a_lease_that_was_released_while_votes_were_collected_is_held_nowhere() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    run_for(&mut cluster, 600);
    cluster.crash(1);
    cluster.crash(2);
    acquire(&mut cluster, 0, DEAD_TOKEN);
    run_for(&mut cluster, 250);
    release(&mut cluster, 0, DEAD_TOKEN);
    run_for(&mut cluster, 200);
    cluster.start(1, false);
    cluster.start(2, false);
    run_for(&mut cluster, 1_000);
    assert_eq!(holders(&cluster), [None; 3]);
    let call = acquire(&mut cluster, 1, 22);
    run_for(&mut cluster, 300);
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
}

/// Guards against a majority that holds a dead token for good because only one replica has heard of its release, whichever
/// replica the next request goes to.
#[test]
fn replicas_that_missed_a_release_learn_of_it_from_the_one_that_knows() {
    for next_node in 0..3 {
        let mut cluster = SimulatedCluster::new(2, 3, 3, 3, None);
        run_for(&mut cluster, 600);
        cluster.cut_off(2);
        let granted = acquire(&mut cluster, 0, DEAD_TOKEN);
        run_for(&mut cluster, 150);
        assert_eq!(cluster.responses[&granted], CoreResponse::LeaseGranted);
        // The release reaches the replica that is cut off, for less time than after which updates are sent again.
        release(&mut cluster, 2, DEAD_TOKEN);
        run_for(&mut cluster, 150);
        cluster.cut_links.clear();
        assert_eq!(holders(&cluster), [Some(DEAD_TOKEN), Some(DEAD_TOKEN), None]);
        let call = acquire(&mut cluster, next_node, 22);
        run_for(&mut cluster, 400);
        assert_eq!(cluster.responses.get(&call), Some(&CoreResponse::LeaseGranted), "at node {next_node}");
    }
}
