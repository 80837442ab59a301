//! Snapshots on a disk that tears, loses what was not flushed, reorders, flips bits and fills up: at thousands of points
//! where power goes, nothing false is read, and what was put down for good is still there. Saves that leave out a step
//! are caught.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed_recovery::snapshot::{Snapshot, SnapshotEntry};
use ochreshed_recovery::snapshot_file::{SNAPSHOT_FILE_NAME, SnapshotDir, TEMP_FILE_NAME, save_snapshot};
use ochreshed_replica::stamp::Stamp;
use proptest::prelude::*;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// The new file is named before it is flushed.
    NoFlush,
    /// The folder is never flushed: the name may be lost.
    NoFolder,
    /// Written over in place.
    InPlace,
}

/// A folder whose files and names reach the platter when they are flushed, or earlier, or never. Power goes at a step.
#[derive(Clone, Default)]
struct Platter {
    /// As the running system sees it: names, and files by number.
    names: BTreeMap<String, u32>,
    files: BTreeMap<u32, Vec<u8>>,
    /// What is surely on it.
    safe_names: BTreeMap<String, u32>,
    safe_files: BTreeMap<u32, Vec<u8>>,
    /// Names as they were between flushes: any of them may be what is left.
    between: Vec<BTreeMap<String, u32>>,
    next: u32,
    steps: usize,
    /// No step after this one happens; and none that needs room, from the one on that fills it up.
    power_until: usize,
    full_from: usize,
}

impl Platter {
    fn step(&mut self, needs_room: bool) -> Result<(), &'static str> {
        self.steps += 1;
        if self.steps > self.power_until {
            Err("power")
        } else if needs_room && self.steps > self.full_from {
            Err("full")
        } else {
            Ok(())
        }
    }
}

impl SnapshotDir for Platter {
    type Error = &'static str;

    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), &'static str> {
        let short = match self.step(true) {
            Ok(()) => bytes.len(),
            // Cut off in the middle of it, or with no room for the rest.
            Err(_) => bytes.len() / 2,
        };
        let file = match self.names.get(name) {
            Some(file) => *file,
            None => {
                self.next += 1;
                self.names.insert(name.to_owned(), self.next);
                self.between.push(self.names.clone());
                self.next
            }
        };
        self.files.insert(file, bytes[..short].to_vec());
        if short == bytes.len() { Ok(()) } else { Err("cut") }
    }

    fn sync_file(&mut self, name: &str) -> Result<(), &'static str> {
        self.step(false)?;
        let file = self.names[name];
        self.safe_files.insert(file, self.files[&file].clone());
        Ok(())
    }

    fn rename_file(&mut self, from: &str, to: &str) -> Result<(), &'static str> {
        self.step(false)?;
        let file = self.names.remove(from).expect("a file of that name");
        self.names.insert(to.to_owned(), file);
        self.between.push(self.names.clone());
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<(), &'static str> {
        self.step(false)?;
        self.safe_names = self.names.clone();
        self.between.clear();
        Ok(())
    }

    fn remove_file(&mut self, name: &str) -> Result<(), &'static str> {
        self.step(false)?;
        self.names.remove(name);
        self.between.push(self.names.clone());
        Ok(())
    }
}

/// The steps with one left out.
fn faulty(fault: Fault, disk: &mut Platter, bytes: &[u8]) -> Result<(), &'static str> {
    match fault {
        Fault::None => save_snapshot(disk, bytes),
        Fault::NoFlush => {
            disk.write_file(TEMP_FILE_NAME, bytes)?;
            disk.rename_file(TEMP_FILE_NAME, SNAPSHOT_FILE_NAME)?;
            disk.sync_directory()
        }
        Fault::NoFolder => {
            disk.write_file(TEMP_FILE_NAME, bytes)?;
            disk.sync_file(TEMP_FILE_NAME)?;
            disk.rename_file(TEMP_FILE_NAME, SNAPSHOT_FILE_NAME)
        }
        Fault::InPlace => {
            disk.write_file(SNAPSHOT_FILE_NAME, bytes)?;
            disk.sync_file(SNAPSHOT_FILE_NAME)?;
            disk.sync_directory()
        }
    }
}

fn snapshot(number: u64) -> Snapshot {
    let entry = |at: u64| SnapshotEntry {
        server: format!("cell-{number}/srv-{at}"),
        draining: at.is_multiple_of(2),
        came_up: Some(number),
        weight: 1.0,
        site: "b".into(),
        cell: at,
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
    };
    let stamp = Stamp { epoch: 0, version: number };
    let entries = (0..10 + number).map(entry).collect();
    Snapshot {
        fleet: "shop".into(),
        instance: "n1".into(),
        sequence: number,
        written_at_unix_ns: number,
        stamp,
        entries,
        statuses: Vec::new(),
        floor: Stamp::default(),
    }
}

/// What may be read after the power went, by what the disk made of what was not flushed.
fn left(disk: &Platter, names: usize, keep: usize, garbage: bool, flip: Option<usize>) -> Option<Vec<u8>> {
    let all: Vec<&BTreeMap<String, u32>> = std::iter::once(&disk.safe_names).chain(&disk.between).collect();
    let file = all[names % all.len()].get(SNAPSHOT_FILE_NAME)?;
    let mut bytes = match disk.safe_files.get(file) {
        Some(bytes) if Some(bytes) == disk.files.get(file) => bytes.clone(),
        // Not flushed since it was written: any beginning of it, and zeros or nothing for the rest.
        _ => {
            let written = disk.files.get(file).cloned().unwrap_or_default();
            let kept = keep % (written.len() + 1);
            let mut bytes = written[..kept].to_vec();
            bytes.resize(if garbage { written.len() } else { kept }, 0);
            bytes
        }
    };
    if let Some(flip) = flip.filter(|_| !bytes.is_empty()) {
        let at = flip / 8 % bytes.len();
        bytes[at] ^= 1 << (flip % 8);
    }
    Some(bytes)
}

#[derive(Clone, Debug)]
struct Case {
    saves: u64,
    power_until: usize,
    full_from: usize,
    names: usize,
    keep: usize,
    garbage: bool,
    flip: Option<usize>,
}

fn case() -> impl Strategy<Value = Case> {
    let disk = (any::<usize>(), any::<usize>(), any::<bool>(), prop::option::weighted(0.2, any::<usize>()));
    (1..5u64, 0..25usize, prop_oneof![Just(99usize), 0..20usize], disk).prop_map(
        |(saves, power_until, full_from, (names, keep, garbage, flip))| Case {
            saves,
            power_until,
            full_from,
            names,
            keep,
            garbage,
            flip,
        },
    )
}

/// What is wrong after it, if anything.
fn run(fault: Fault, case: &Case) -> Result<(), String> {
    let mut disk = Platter { power_until: case.power_until, full_from: case.full_from, ..Platter::default() };
    let (mut stands, mut begun) = (0, 0);
    for number in 1..=case.saves {
        if disk.steps >= case.power_until {
            break;
        }
        begun = number;
        if faulty(fault, &mut disk, &snapshot(number).encode()).is_ok() {
            stands = number;
        }
    }
    let read =
        left(&disk, case.names, case.keep, case.garbage, case.flip).map(|bytes| Snapshot::decode(&bytes));
    match read {
        // Whatever is read was written, and by no earlier save than the last that was well.
        Some(Ok(read)) if read == snapshot(read.sequence) && (stands..=begun).contains(&read.sequence) => {
            Ok(())
        }
        Some(Ok(read)) => Err(format!("read {} of {begun}, {stands} stands", read.sequence)),
        // A flipped bit is seen, and then there is none.
        Some(Err(_)) if case.flip.is_some() => Ok(()),
        Some(Err(why)) => Err(format!("{why}, and {stands} stands")),
        None if stands == 0 => Ok(()),
        None => Err(format!("none, and {stands} stands")),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn wherever_power_goes_the_last_snapshot_or_the_one_before_stands(case in case()) {
        if let Err(why) = run(Fault::None, &case) {
            prop_assert!(false, "{why}");
        }
    }
}

#[test]
fn saves_that_leave_out_a_step_are_caught() {
    for fault in [Fault::NoFlush, Fault::NoFolder, Fault::InPlace] {
        let cases = (0..20_000usize).map(|number| Case {
            saves: 1 + number as u64 % 4,
            power_until: number / 4 % 25,
            full_from: 99,
            names: number / 100,
            keep: number * 7_919,
            garbage: number.is_multiple_of(2),
            flip: None,
        });
        let caught = cases.filter(|case| run(fault, case).is_err()).count();
        assert!(caught > 100, "{fault:?}: caught {caught} times");
    }
}
