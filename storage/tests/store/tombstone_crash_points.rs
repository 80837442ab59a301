//! A loss of power at every single call to the disk while tombstones are persisted.

use std::collections::BTreeSet;

use ochreshed_consensus::messages::{LogRecord, TombstoneId};

use crate::records::lease;
use crate::simulated_disk::SimulatedDisk;

const BATCHES: u128 = 40;

/// A tombstone with each batch, beside a lease; every fourth batch ends an earlier one.
fn batch(number: u128) -> Vec<LogRecord> {
    let mut records =
        vec![LogRecord::Lease(number, lease(number as u64, None)), LogRecord::Tombstone(number)];
    if number % 4 == 3 {
        records.push(LogRecord::TombstoneExpired(number - 2));
    }
    records
}

/// The tombstones that the first batches leave.
fn tombstones_after(batches: u128) -> BTreeSet<TombstoneId> {
    let is_ended = |id: &TombstoneId| id % 4 == 1 && id + 2 < batches;
    (0..batches).filter(|id| !is_ended(id)).collect()
}

/// Persists all batches up to a loss of power; returns how many were acknowledged.
fn run(disk: &SimulatedDisk) -> u128 {
    let Ok((mut store, _)) = disk.open() else { return 0 };
    let is_refused = |number: &u128| store.persist(&batch(*number)).is_err();
    (0..BATCHES).find(is_refused).unwrap_or(BATCHES)
}

fn recovered(disk: &SimulatedDisk) -> BTreeSet<TombstoneId> {
    let (_, persisted) = disk.open().expect("a disk without faults opens");
    persisted.tombstones.into_iter().collect()
}

/// Guards against a tombstone that was reported as stored and is gone after a loss of power, with the log's directory or
/// with a segment of it.
#[test]
fn acknowledged_tombstones_survive_a_power_loss_at_every_call() {
    let disk = SimulatedDisk::reliable();
    assert_eq!(run(&disk), BATCHES);
    let calls = disk.call_counts().calls;
    assert_eq!(recovered(&disk), tombstones_after(BATCHES));
    for power_loss_call in 1..=calls {
        let disk = SimulatedDisk::new(power_loss_call, power_loss_call, 0..0);
        let acknowledged = run(&disk);
        disk.restart_machine();
        let recovered = recovered(&disk);
        let context = format!("power lost in call {power_loss_call}, {acknowledged} batches acknowledged");
        // The batch that was being written may be there in part.
        let missing = tombstones_after(acknowledged).difference(&recovered).copied().collect::<Vec<_>>();
        let may_have_ended = acknowledged.checked_sub(2);
        assert!(missing.iter().all(|id| Some(*id) == may_have_ended), "{context}: {missing:?} is missing");
        let possible = tombstones_after(acknowledged).into_iter().chain([acknowledged]).collect();
        assert!(recovered.is_subset(&possible), "{context}: {recovered:?}");
    }
}
