//! Tombstones: one that was acknowledged is found after several losses, each of which the cluster tolerates alone, and after
//! a crash of all replicas. `cluster` fails a query that does not find an acknowledged tombstone.

mod cluster;

use cluster::{SimulatedCluster, address_of};
use ochreshed_consensus::messages::*;

/// How long a replica that has returned counts as lost.
const CATCH_UP_MS: u64 = 4_000;

fn store(cluster: &mut SimulatedCluster, node: usize, id: TombstoneId) -> u64 {
    cluster.request(node, CoreRequest::StoreTombstone(id))
}

fn find(cluster: &mut SimulatedCluster, node: usize, id: TombstoneId) -> u64 {
    cluster.request(node, CoreRequest::FindTombstone(id))
}

/// Asks for a tombstone at each node, and expects this answer.
fn assert_found(cluster: &mut SimulatedCluster, id: TombstoneId, expected: &CoreResponse) {
    for node in 0..3 {
        let call = find(cluster, node, id);
        cluster.run_for(500);
        assert_eq!(cluster.responses.get(&call), Some(expected), "tombstone {id} at node {node}");
        assert_eq!(cluster.violation, None);
    }
}

fn assert_acknowledged(cluster: &SimulatedCluster, call: u64) {
    assert_eq!(cluster.responses.get(&call), Some(&CoreResponse::Accepted));
}

/// Guards against the end of an upstream that the control plane forgets when all its processes are killed at once.
#[test]
fn a_tombstone_survives_a_crash_of_all_replicas() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    cluster.run_for(600);
    let call = store(&mut cluster, 0, 7);
    cluster.run_for(150);
    assert_acknowledged(&cluster, call);
    (0..3).for_each(|node| cluster.crash(node));
    (0..3).for_each(|node| cluster.start(node, false));
    cluster.run_for(1_000);
    assert_found(&mut cluster, 7, &CoreResponse::Tombstone(true));
    assert_found(&mut cluster, 8, &CoreResponse::Tombstone(false));
}

/// Guards against a tombstone with one copy, which is lost with the next disk.
#[test]
fn a_tombstone_outlives_an_absence_and_later_disk_losses() {
    for absent in 0..3 {
        let mut cluster = SimulatedCluster::new(2, 3, 3, 3, None);
        cluster.run_for(600);
        let others = [(absent + 1) % 3, (absent + 2) % 3];
        cluster.crash(absent);
        let call = store(&mut cluster, others[0], 7);
        cluster.run_for(2_000);
        assert_acknowledged(&cluster, call);
        cluster.run_for(25_000);
        cluster.start(absent, false);
        cluster.run_for(CATCH_UP_MS);
        for lost in others {
            cluster.wipe(lost);
            cluster.start(lost, false);
            cluster.run_for(CATCH_UP_MS);
        }
        assert_found(&mut cluster, 7, &CoreResponse::Tombstone(true));
    }
}

/// Guards against a replica that is cut off and says that there is no tombstone, or acknowledges one.
#[test]
fn without_a_majority_tombstones_are_neither_acknowledged_nor_ruled_out() {
    let mut cluster = SimulatedCluster::new(3, 3, 3, 3, None);
    cluster.run_for(600);
    cluster.cut_off(0);
    let (stored, found) = (store(&mut cluster, 0, 7), find(&mut cluster, 0, 8));
    cluster.run_for(2_000);
    assert_eq!(cluster.responses.get(&stored), None);
    assert_eq!(cluster.responses.get(&found), Some(&CoreResponse::Unavailable));
    // What a replica stores is told at once.
    let found = find(&mut cluster, 0, 7);
    assert_eq!(cluster.responses.get(&found), Some(&CoreResponse::Tombstone(true)));
    cluster.cut_links.clear();
    cluster.run_for(2_000);
    assert_acknowledged(&cluster, stored);
    assert_found(&mut cluster, 7, &CoreResponse::Tombstone(true));
}

/// Guards against a new member that votes without the tombstones, also if they don't fit into one message.
#[test]
fn a_new_member_receives_all_tombstones() {
    let mut cluster = SimulatedCluster::new(4, 3, 3, 3, None);
    cluster.run_for(600);
    let ids: Vec<TombstoneId> = (0..700).map(|number| number << 100 | number).collect();
    for id in &ids {
        store(&mut cluster, 0, *id);
    }
    cluster.run_for(2_000);
    assert_eq!(cluster.acknowledged_tombstones.len(), ids.len());
    cluster.wipe(2);
    cluster.start(2, false);
    cluster.run_for(CATCH_UP_MS);
    let core = cluster.nodes[2].core.as_ref().expect("the node runs");
    assert!(core.is_voting() && core.membership().members.iter().any(|m| m.address == address_of(2)));
    assert_eq!(core.tombstone_counts().stored, ids.len());
}

/// Guards against memory that grows with the number of upstreams that have ever ended.
#[test]
fn tombstones_expire_and_are_bounded() {
    let mut cluster = SimulatedCluster::new(5, 1, 1, 1, None);
    cluster.run_for(600);
    for id in 0..70_000 {
        store(&mut cluster, 0, id);
        if id % 1_000 == 0 {
            cluster.run_for(50);
        }
    }
    cluster.run_for(100);
    let core = cluster.nodes[0].core.as_ref().expect("the node runs");
    let counts = core.tombstone_counts();
    assert_eq!((counts.stored, counts.evicted), (65_536, 70_000 - 65_536));
    cluster.now += 901_000 * cluster::MS;
    cluster.run_for(100);
    let core = cluster.nodes[0].core.as_ref().expect("the node runs");
    assert_eq!(core.tombstone_counts().stored, 0);
    assert!(cluster.nodes[0].disk.tombstones.is_empty());
}
