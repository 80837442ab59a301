//! Files with damaged bytes.

use ochreshed_consensus::messages::{LeaseKey, LogRecord};
use ochreshed_storage::file_system::FileSystem;

use crate::random::SeededRandom;
use crate::records::{lease, membership_ballot};
use crate::simulated_disk::SimulatedDisk;
use crate::workload::{KEYS, Workload};

/// Guards against damaged bytes that make the store panic or recover state that was never written, and against damage
/// that affects state of another kind than the file's.
#[test]
fn a_flipped_bit_affects_only_its_kind_of_state() {
    let disk = SimulatedDisk::reliable();
    let mut workload = Workload::new(disk.clone());
    workload.run(30).expect("no fault");
    let paths = disk.paths();
    let intact = disk.reopen().state;
    let mut random = SeededRandom::new(1);
    for path in paths {
        let kind = path.split(['/', '.']).next().unwrap_or_default();
        let content = disk.content(&path);
        for offset in (0..content.len()).step_by(2) {
            let mut damaged = content.clone();
            damaged[offset] ^= 1 << random.below(8);
            disk.set_content(&path, damaged);
            let names = disk.save_names();
            // Recovery may rename the file, so its name is restored before its content.
            let recovered = disk.reopen().state;
            assert!(recovered.leases == intact.leases || kind == "claims", "{path} {offset}");
            assert!(
                recovered.configuration == intact.configuration || kind == "timetable",
                "{path} {offset}"
            );
            assert!(recovered.registers == intact.registers || kind == "papers", "{path} {offset}");
            let ballot_is_intact = recovered.membership_ballot == intact.membership_ballot;
            assert!(ballot_is_intact || kind == "ballots", "{path} {offset}");
            for (key, lease) in &recovered.leases {
                assert!(
                    lease.token <= workload.last_token && key >> 64 < u128::from(KEYS),
                    "{path} {offset}"
                );
            }
            disk.restore_names(names);
            disk.set_content(&path, content.clone());
        }
    }
}

/// If both slots are damaged, the ballots are lost as if the disk was lost, but the leases remain.
#[test]
fn damaged_ballot_slots_are_quarantined() {
    let disk = SimulatedDisk::reliable();
    let mut store = disk.reopen().store;
    for round in 1..4 {
        store
            .persist(&[
                LogRecord::MembershipBallot(membership_ballot(round)),
                LogRecord::Lease(1, lease(round, None)),
            ])
            .expect("written");
    }
    for slot in ["ballots.0", "ballots.1"] {
        disk.clone().write_at(slot, 3, b"rot").expect("written");
    }
    let mut reopened = disk.reopen();
    assert_eq!((reopened.state.membership_ballot, reopened.state.leases.len()), (None, 1));
    assert_eq!(reopened.store.findings().len(), 4, "{:?}", reopened.store.findings());
    reopened.store.persist(&[LogRecord::MembershipBallot(membership_ballot(9))]).expect("written");
    disk.restart_machine();
    assert_eq!(disk.reopen().state.membership_ballot, Some(membership_ballot(9)));
}

/// A segment is damaged while it is in use: its live leases can't be compacted, all others are.
#[test]
fn a_damaged_segment_loses_only_its_own_leases() {
    let disk = SimulatedDisk::reliable();
    let mut store = disk.reopen().store;
    store.persist(&[LogRecord::Lease(1, lease(1, Some(200)))]).expect("written");
    store.persist(&[LogRecord::Lease(2, lease(2, Some(200)))]).expect("written");
    disk.clone().write_at("claims/000001", 400, b"rot").expect("written");
    for token in 3..200 {
        store.persist(&[LogRecord::Lease(3, lease(token, Some(40)))]).expect("written");
    }
    let first_finding = store.findings()[0].to_string();
    assert!(first_finding.starts_with("claims/000001"), "{:?}", store.findings());
    let recovered = disk.reopen().state;
    assert_eq!(recovered.leases.keys().copied().collect::<Vec<LeaseKey>>(), [1, 3]);
}
