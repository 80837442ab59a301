//! A loss of power and refusals at every single call to the disk.

use ochreshed_consensus::messages::LogRecord;

use crate::records::{configuration, lease, membership_ballot};
use crate::simulated_disk::{NEVER, SimulatedDisk};
use crate::workload::{BATCHES, Workload};

/// The number of calls that the whole workload makes to a disk without faults.
fn calls_of_workload() -> u64 {
    let disk = SimulatedDisk::reliable();
    Workload::new(disk.clone()).run(BATCHES).expect("no fault");
    disk.call_counts().calls
}

/// Wherever power is lost, what was durable is recovered, nothing else appears, and the store can be written again.
#[test]
fn acknowledged_records_survive_a_power_loss_at_every_call() {
    let calls = calls_of_workload();
    assert!(calls > 200, "{calls}");
    for power_loss_call in 1..=calls {
        for seed in 0..2 {
            let context = format!("power lost in call {power_loss_call}, seed {seed}");
            let disk = SimulatedDisk::new(power_loss_call * 2 + seed, power_loss_call, 0..0);
            let mut workload = Workload::new(disk.clone());
            let ended = workload.run(BATCHES);
            assert!(ended.is_err() || power_loss_call == calls, "{context}");
            workload.kill_process();
            let mut durable = workload.durable.clone();
            if (power_loss_call + seed) % 3 == 0 {
                // First only the process is killed. What the next process recovers must be durable.
                disk.restart_process();
                let recovered = disk.reopen().state;
                recovered.assert_recovers(&workload.durable, &workload.unacknowledged, &context);
                durable = recovered;
                workload.unacknowledged.clear();
            }
            disk.restart_machine();
            let mut reopened = disk.reopen();
            reopened.state.assert_recovers(&durable, &workload.unacknowledged, &context);
            let more = [
                LogRecord::Lease(99, lease(9_999, Some(30))),
                LogRecord::MembershipBallot(membership_ballot(900)),
                configuration(900),
            ];
            reopened.store.persist(&more).expect("no fault");
            let mut durable = reopened.state;
            durable.apply_all(&more);
            disk.restart_machine();
            assert_eq!(disk.reopen().state, durable, "{context}");
        }
    }
}

/// Wherever calls are refused for a while, all records are written in the end, and nothing durable is lost.
#[test]
fn acknowledged_records_survive_refusals_at_every_call() {
    for first_refused in 1..=calls_of_workload() {
        let refused_calls = first_refused..first_refused + 1 + first_refused % 4;
        let disk = SimulatedDisk::new(first_refused, NEVER, refused_calls);
        let mut workload = Workload::new(disk.clone());
        // Every third run loses power soon after.
        let loses_power = first_refused % 3 == 0;
        disk.set_power_loss_call(if loses_power { first_refused + 9 } else { NEVER });
        let ended = workload.run(BATCHES);
        assert!(ended.is_ok() || loses_power, "refused from call {first_refused}: {ended:?}");
        disk.restart_machine();
        let context = format!("refused from call {first_refused}");
        disk.reopen().state.assert_recovers(&workload.durable, &workload.unacknowledged, &context);
    }
}
