//! Saves a snapshot on a simulated disk that tears writes, loses or reorders what was not synced, flips bits and fills
//! up.
//!
//! After a power failure at any of thousands of points, only complete snapshots are read, and none older than the last
//! successful save. Faulty saves that omit a step must be detected.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed_recovery::snapshot::{Snapshot, SnapshotEntry};
use ochreshed_recovery::snapshot_file::{SNAPSHOT_FILE_NAME, SnapshotDir, TEMP_FILE_NAME, save_snapshot};
use ochreshed_replica::stamp::Stamp;
use proptest::prelude::*;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum SaveFault {
    None,
    /// The temporary file is renamed before it is synced.
    FileNotSynced,
    /// The directory is never synced, so that the rename may be lost.
    DirectoryNotSynced,
    /// The snapshot file is overwritten in place.
    WrittenInPlace,
}

/// A directory whose contents and names become durable when they are synced, or earlier, or never. Power fails at a
/// given step.
#[derive(Clone, Default)]
struct SimulatedDisk {
    /// The view of the running system: file numbers by name, and contents by file number.
    names: BTreeMap<String, u32>,
    files: BTreeMap<u32, Vec<u8>>,
    /// What is certainly durable.
    durable_names: BTreeMap<String, u32>,
    durable_files: BTreeMap<u32, Vec<u8>>,
    /// The names after each change since the directory was last synced. Any of them may be left after a power failure.
    unsynced_names: Vec<BTreeMap<String, u32>>,
    last_file: u32,
    step_count: usize,
    /// No step after this one is carried out.
    power_fails_after: usize,
    /// No step after this one can allocate space.
    full_after: usize,
}

impl SimulatedDisk {
    fn next_step(&mut self, allocates: bool) -> Result<(), &'static str> {
        self.step_count += 1;
        if self.step_count > self.power_fails_after {
            Err("power failure")
        } else if allocates && self.step_count > self.full_after {
            Err("disk full")
        } else {
            Ok(())
        }
    }
}

impl SnapshotDir for SimulatedDisk {
    type Error = &'static str;

    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), &'static str> {
        let written_bytes = match self.next_step(true) {
            Ok(()) => bytes.len(),
            // A power failure in the middle of the write, or no space for the rest.
            Err(_) => bytes.len() / 2,
        };
        let file = match self.names.get(name) {
            Some(file) => *file,
            None => {
                self.last_file += 1;
                self.names.insert(name.to_owned(), self.last_file);
                self.unsynced_names.push(self.names.clone());
                self.last_file
            }
        };
        self.files.insert(file, bytes[..written_bytes].to_vec());
        if written_bytes == bytes.len() { Ok(()) } else { Err("incomplete write") }
    }

    fn sync_file(&mut self, name: &str) -> Result<(), &'static str> {
        self.next_step(false)?;
        let file = self.names[name];
        self.durable_files.insert(file, self.files[&file].clone());
        Ok(())
    }

    fn rename_file(&mut self, from: &str, to: &str) -> Result<(), &'static str> {
        self.next_step(false)?;
        let file = self.names.remove(from).expect("a file of that name");
        self.names.insert(to.to_owned(), file);
        self.unsynced_names.push(self.names.clone());
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<(), &'static str> {
        self.next_step(false)?;
        self.durable_names = self.names.clone();
        self.unsynced_names.clear();
        Ok(())
    }

    fn remove_file(&mut self, name: &str) -> Result<(), &'static str> {
        self.next_step(false)?;
        self.names.remove(name);
        self.unsynced_names.push(self.names.clone());
        Ok(())
    }
}

/// Saves a snapshot without the step that the fault omits.
fn save_with_fault(fault: SaveFault, disk: &mut SimulatedDisk, bytes: &[u8]) -> Result<(), &'static str> {
    match fault {
        SaveFault::None => save_snapshot(disk, bytes),
        SaveFault::FileNotSynced => {
            disk.write_file(TEMP_FILE_NAME, bytes)?;
            disk.rename_file(TEMP_FILE_NAME, SNAPSHOT_FILE_NAME)?;
            disk.sync_directory()
        }
        SaveFault::DirectoryNotSynced => {
            disk.write_file(TEMP_FILE_NAME, bytes)?;
            disk.sync_file(TEMP_FILE_NAME)?;
            disk.rename_file(TEMP_FILE_NAME, SNAPSHOT_FILE_NAME)
        }
        SaveFault::WrittenInPlace => {
            disk.write_file(SNAPSHOT_FILE_NAME, bytes)?;
            disk.sync_file(SNAPSHOT_FILE_NAME)?;
            disk.sync_directory()
        }
    }
}

fn snapshot(sequence: u64) -> Snapshot {
    let entry = |number: u64| SnapshotEntry {
        server: format!("cell-{sequence}/srv-{number}"),
        draining: number.is_multiple_of(2),
        started_at: Some(sequence),
        weight: 1.0,
        site: "b".into(),
        cell: number,
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
    };
    let stamp = Stamp { epoch: 0, version: sequence };
    let entries = (0..10 + sequence).map(entry).collect();
    Snapshot {
        fleet: "shop".into(),
        instance: "n1".into(),
        sequence,
        written_at_unix_ns: sequence,
        stamp,
        entries,
        statuses: Vec::new(),
        floor: Stamp::default(),
    }
}

/// The snapshot file that is left after the power failure.
fn file_after_power_failure(
    disk: &SimulatedDisk,
    names_index: usize,
    kept_bytes: usize,
    zero_filled: bool,
    flipped_bit: Option<usize>,
) -> Option<Vec<u8>> {
    let names: Vec<&BTreeMap<String, u32>> =
        std::iter::once(&disk.durable_names).chain(&disk.unsynced_names).collect();
    let file = names[names_index % names.len()].get(SNAPSHOT_FILE_NAME)?;
    let mut bytes = match disk.durable_files.get(file) {
        Some(bytes) if Some(bytes) == disk.files.get(file) => bytes.clone(),
        // Not synced since it was written.
        _ => {
            let written = disk.files.get(file).cloned().unwrap_or_default();
            let kept = kept_bytes % (written.len() + 1);
            let mut bytes = written[..kept].to_vec();
            bytes.resize(if zero_filled { written.len() } else { kept }, 0);
            bytes
        }
    };
    if let Some(bit) = flipped_bit.filter(|_| !bytes.is_empty()) {
        let at = bit / 8 % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
    }
    Some(bytes)
}

#[derive(Clone, Debug)]
struct Case {
    saves: u64,
    power_fails_after: usize,
    full_after: usize,
    /// Selects one of the states of the names since the directory was last synced.
    names_index: usize,
    /// How many bytes are left of a file that was not synced, modulo its length plus one.
    kept_bytes: usize,
    /// Whether zeros follow the bytes that are left, up to the length of the file.
    zero_filled: bool,
    flipped_bit: Option<usize>,
}

fn any_case() -> impl Strategy<Value = Case> {
    let disk = (any::<usize>(), any::<usize>(), any::<bool>(), prop::option::weighted(0.2, any::<usize>()));
    (1..5u64, 0..25usize, prop_oneof![Just(99usize), 0..20usize], disk).prop_map(
        |(saves, power_fails_after, full_after, (names_index, kept_bytes, zero_filled, flipped_bit))| Case {
            saves,
            power_fails_after,
            full_after,
            names_index,
            kept_bytes,
            zero_filled,
            flipped_bit,
        },
    )
}

/// Runs the saves of a case and returns an error if the snapshot that is left is not acceptable.
fn check_case(fault: SaveFault, case: &Case) -> Result<(), String> {
    let mut disk = SimulatedDisk {
        power_fails_after: case.power_fails_after,
        full_after: case.full_after,
        ..SimulatedDisk::default()
    };
    let (mut last_saved, mut last_begun) = (0, 0);
    for sequence in 1..=case.saves {
        if disk.step_count >= case.power_fails_after {
            break;
        }
        last_begun = sequence;
        if save_with_fault(fault, &mut disk, &snapshot(sequence).encode()).is_ok() {
            last_saved = sequence;
        }
    }
    let decoded = file_after_power_failure(
        &disk,
        case.names_index,
        case.kept_bytes,
        case.zero_filled,
        case.flipped_bit,
    )
    .map(|bytes| Snapshot::decode(&bytes));
    match decoded {
        // A decoded snapshot is one that was written, by the last successful save or a later one.
        Some(Ok(read))
            if read == snapshot(read.sequence) && (last_saved..=last_begun).contains(&read.sequence) =>
        {
            Ok(())
        }
        Some(Ok(read)) => {
            Err(format!("read snapshot {} of {last_begun}, but {last_saved} was saved", read.sequence))
        }
        // A flipped bit is detected and the snapshot rejected.
        Some(Err(_)) if case.flipped_bit.is_some() => Ok(()),
        Some(Err(error)) => Err(format!("rejected as {error}, but snapshot {last_saved} was saved")),
        None if last_saved == 0 => Ok(()),
        None => Err(format!("no snapshot, but {last_saved} was saved")),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn after_any_power_failure_the_last_saved_snapshot_or_a_later_one_is_left(case in any_case()) {
        if let Err(why) = check_case(SaveFault::None, &case) {
            prop_assert!(false, "{why}");
        }
    }
}

#[test]
fn saves_that_omit_a_step_are_detected() {
    for fault in [SaveFault::FileNotSynced, SaveFault::DirectoryNotSynced, SaveFault::WrittenInPlace] {
        let cases = (0..20_000usize).map(|number| Case {
            saves: 1 + number as u64 % 4,
            power_fails_after: number / 4 % 25,
            full_after: 99,
            names_index: number / 100,
            kept_bytes: number * 7_919,
            zero_filled: number.is_multiple_of(2),
            flipped_bit: None,
        });
        let detected = cases.filter(|case| check_case(fault, case).is_err()).count();
        assert!(detected > 100, "{fault:?}: detected in {detected} cases");
    }
}
