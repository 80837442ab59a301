//! A full disk.

use ochreshed_consensus::messages::LogRecord;

use crate::records::{configuration, lease};
use crate::replica_state::ReplicaState;
use crate::simulated_disk::{NEVER, SimulatedDisk};

#[test]
fn a_full_disk_loses_nothing() {
    for capacity_bytes in (300..6_000).step_by(70) {
        let disk = SimulatedDisk::new(capacity_bytes, NEVER, 0..0);
        let mut store = disk.reopen().store;
        disk.set_capacity_bytes(capacity_bytes as usize);
        let mut durable = ReplicaState::default();
        let mut failed = None;
        for number in 0..100_u64 {
            let lease = LogRecord::Lease(u128::from(number), lease(number, Some(20)));
            let records = [lease, configuration(number)];
            if store.persist(&records).is_err() {
                failed = Some(records);
                break;
            }
            durable.apply_all(&records);
        }
        let failed = failed.expect("the disk is full");
        assert!(store.persist(&failed).is_err());
        if capacity_bytes % 3 == 0 {
            drop(store);
            disk.restart_machine();
            let recovered = disk.reopen().state;
            recovered.assert_recovers(&durable, &failed, "full");
            durable = recovered;
        } else {
            disk.set_capacity_bytes(usize::MAX);
            store.persist(&failed).expect("the disk has space");
            durable.apply_all(&failed);
        }
        disk.restart_machine();
        assert_eq!(disk.reopen().state, durable, "capacity {capacity_bytes}");
    }
}
