//! Compaction of the oldest segment's live records.

use ochreshed_consensus::messages::LogRecord;

use crate::records::lease;
use crate::replica_state::ReplicaState;
use crate::simulated_disk::SimulatedDisk;

/// Guards against a compacted lease that replaces a newer record of the same write, and against compaction of a record
/// that is not the latest one of its key in the segment.
#[test]
fn a_relocated_lease_precedes_the_records_of_its_write() {
    for change_at in 0..24 {
        for change in [
            LogRecord::LeaseReleased(1, 1),
            LogRecord::Lease(1, lease(1, Some(7))),
            LogRecord::LeaseReleased(1, 2),
        ] {
            let disk = SimulatedDisk::reliable();
            let mut store = disk.reopen().store;
            let mut durable = ReplicaState::default();
            let first_writes = [
                vec![LogRecord::Lease(1, lease(1, None))],
                vec![LogRecord::Lease(2, lease(0, Some(250)))],
                vec![LogRecord::Lease(1, lease(1, Some(3)))],
            ];
            let filling_writes = (0..24).map(|number| {
                let filling = LogRecord::Lease(2, lease(number, Some(60)));
                if number == change_at { vec![filling, change.clone()] } else { vec![filling] }
            });
            for records in first_writes.into_iter().chain(filling_writes) {
                store.persist(&records).expect("written");
                durable.apply_all(&records);
            }
            assert!(!disk.has_file("claims/000001"), "the first segment is still there");
            assert_eq!(disk.reopen().state, durable, "change at {change_at}, {change:?}");
        }
    }
}
