//! The cost of a write in calls and bytes.

use ochreshed_consensus::messages::{LeaseKey, LogRecord};
use ochreshed_storage::LogLimits;

use crate::records::{lease, membership_ballot};
use crate::replica_state::ReplicaState;
use crate::simulated_disk::{CallCounts, SMALL_LIMITS, SimulatedDisk};

/// A write of leases takes one write and one sync, and the space on disk stays bounded however many writes there are.
#[test]
fn a_write_of_leases_costs_one_sync_and_bounded_space() {
    let disk = SimulatedDisk::reliable();
    let (mut store, _) = disk.open_with_limits(LogLimits::default()).expect("opens");
    let first = [LogRecord::Lease(0, lease(0, None)), LogRecord::MembershipBallot(membership_ballot(1))];
    store.persist(&first).expect("written");
    store.persist(&[LogRecord::MembershipBallot(membership_ballot(2))]).expect("written");
    let pending = |key: LeaseKey| LogRecord::Lease(key << 100 | key, lease(u64::MAX - key as u64, None));
    let bytes = store.disk_bytes();
    let CallCounts { calls, syncs } = disk.call_counts();
    store.persist(&[pending(3)]).expect("written");
    assert_eq!(disk.call_counts(), CallCounts { calls: calls + 2, syncs: syncs + 1 });
    assert_eq!(store.disk_bytes() - bytes, 71);
    store.persist(&(4..104).map(pending).collect::<Vec<LogRecord>>()).expect("written");
    assert_eq!(disk.call_counts().syncs, syncs + 2);
    assert_eq!((store.disk_bytes() - bytes - 71) / 100, 63);
    store.persist(&[LogRecord::MembershipBallot(membership_ballot(3))]).expect("written");
    assert_eq!(disk.call_counts().syncs, syncs + 3);

    let mut store = SimulatedDisk::reliable().reopen().store;
    let mut max_disk_bytes = 0;
    let mut durable = ReplicaState::default();
    for token in 0..3_000 {
        // One in a hundred leases is kept for long.
        let key = u128::from(if token % 100 == 0 { token % 500 } else { token % 7 + 1_000 });
        let record = LogRecord::Lease(key, lease(token, Some(50)));
        durable.apply(&record);
        store.persist(&[record]).expect("written");
        max_disk_bytes = max_disk_bytes.max(store.disk_bytes());
    }
    let usage = store.lease_log_usage();
    let bound = 4 * usage.live_bytes + SMALL_LIMITS.quarter_live_above_bytes;
    assert!(max_disk_bytes < bound, "{max_disk_bytes}");
    assert_eq!(usage.live_records, durable.leases.len());
    assert_eq!(usage.live_records_of_segments, usage.live_records);
}
