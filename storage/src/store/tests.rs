//! Losses of power, refusals, full and rotten disks at every call, on a simulated disk.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};

use ochreshed_consensus::messages::{
    AcceptedMembership, AcceptedValue, AcceptorState, Ballot, LeaseOutcome, Membership, ProposalNumber,
    ReplicaId, StoredResponse,
};

use super::ballots::SLOTS;
use super::lease_log::segment_name;
use super::registers::{SHEETS, history, sheet_name};
use super::*;

struct Dice(u64);

impl Dice {
    fn new(seed: u64) -> Dice {
        Dice(seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % sides
    }
}

enum Change {
    Cut(usize),
    Write(usize, Vec<u8>),
}

impl Change {
    fn make(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Cut(len) => bytes.resize(*len, 0),
            Change::Write(at, new) => {
                bytes.resize(bytes.len().max(at + new.len()), 0);
                bytes[*at..at + new.len()].copy_from_slice(new);
            }
        }
    }

    /// Whether it leaves nothing of what was before.
    fn covers(&self, other: &Change) -> bool {
        match (self, other) {
            (Change::Cut(at), Change::Cut(other) | Change::Write(other, _)) => at <= other,
            (Change::Write(at, _), Change::Write(other, _)) => at == other,
            (Change::Write(..), Change::Cut(_)) => false,
        }
    }
}

/// What is safe of a file, what a program sees, and the changes between; those that a failed sync has left behind
/// are marked, and no later sync takes them along.
#[derive(Default)]
struct Node {
    safe: Vec<u8>,
    now: Vec<u8>,
    changes: Vec<(Change, bool)>,
}

enum Naming {
    Make(String, usize),
    Rename(String, String, usize),
    Remove(String, usize),
}

impl Naming {
    fn make(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Naming::Make(name, node) => {
                names.insert(name.clone(), *node);
            }
            Naming::Rename(from, to, node) if names.get(from) == Some(node) => {
                names.remove(from);
                names.insert(to.clone(), *node);
            }
            Naming::Remove(name, node) if names.get(name) == Some(node) => {
                names.remove(name);
            }
            _ => {}
        }
    }

    fn touches(&self, name: &str) -> bool {
        match self {
            Naming::Make(at, _) | Naming::Remove(at, _) => at == name,
            Naming::Rename(from, to, _) => from == name || to == name,
        }
    }

    fn within(&self, folder: &str) -> bool {
        let (Naming::Make(name, _) | Naming::Rename(name, ..) | Naming::Remove(name, _)) = self;
        name.rsplit_once('/').map_or(ROOT, |(folder, _)| folder) == folder
    }
}

/// A disk that loses power, refuses or is full when told to.
struct Disk {
    nodes: Vec<Node>,
    now: BTreeMap<String, usize>,
    safe: BTreeMap<String, usize>,
    namings: Vec<Naming>,
    calls: u64,
    syncs: u64,
    stop: u64,
    refuse: Range<u64>,
    room: usize,
    dice: Dice,
}

#[derive(Clone)]
struct Sim(Arc<Mutex<Disk>>);

impl Sim {
    fn new(seed: u64, stop: u64, refuse: Range<u64>) -> Sim {
        Sim(Arc::new(Mutex::new(Disk {
            nodes: Vec::new(),
            now: BTreeMap::new(),
            safe: BTreeMap::new(),
            namings: Vec::new(),
            calls: 0,
            syncs: 0,
            stop,
            refuse,
            room: usize::MAX,
            dice: Dice::new(seed),
        })))
    }

    fn get(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> Result<(Store, PersistedState), StoreError> {
        Store::start(Box::new(self.clone()), SMALL)
    }

    fn is_off(&self) -> bool {
        self.get().is_off()
    }

    /// Power is back. `keep`: it was the process that died, and files are as they were.
    fn back(&self, keep: bool) {
        let disk = &mut *self.get();
        (disk.stop, disk.refuse, disk.room) = (u64::MAX, 0..0, usize::MAX);
        if keep {
            return;
        }
        // 0: all that wasn't synced is gone; 1: nothing is.
        let how = disk.dice.roll(4);
        for node in &mut disk.nodes {
            for (change, _) in std::mem::take(&mut node.changes) {
                match if how < 2 { how } else { disk.dice.roll(3) } {
                    0 => {}
                    1 => change.make(&mut node.safe),
                    _ => torn(change, &mut disk.dice).make(&mut node.safe),
                }
            }
            node.now = node.safe.clone();
        }
        for naming in std::mem::take(&mut disk.namings) {
            if how == 1 || how > 1 && disk.dice.roll(2) == 1 {
                naming.make(&mut disk.safe);
            }
        }
        disk.now = disk.safe.clone();
    }
}

/// A part of a write, with holes or cut short.
fn torn(change: Change, dice: &mut Dice) -> Change {
    match change {
        Change::Write(at, mut bytes) if dice.roll(2) == 0 => {
            bytes.truncate(dice.roll(bytes.len() as u64 + 1) as usize);
            Change::Write(at, bytes)
        }
        Change::Write(at, mut bytes) => {
            for part in bytes.chunks_mut(16) {
                if dice.roll(2) == 0 {
                    part.fill(0);
                }
            }
            Change::Write(at, bytes)
        }
        change => change,
    }
}

impl Disk {
    /// Whether the call is to be carried out and whether it is well; power may be lost before or after it.
    fn call(&mut self) -> (bool, io::Result<()>) {
        self.calls += 1;
        if self.calls >= self.stop {
            let done = self.calls == self.stop && self.dice.roll(2) == 0;
            return (done, Err(ErrorKind::BrokenPipe.into()));
        }
        if self.refuse.contains(&self.calls) {
            return (false, Err(ErrorKind::PermissionDenied.into()));
        }
        (true, Ok(()))
    }

    fn is_off(&self) -> bool {
        self.calls >= self.stop
    }

    fn node(&self, name: &str) -> io::Result<usize> {
        self.now.get(name).copied().ok_or(ErrorKind::NotFound.into())
    }

    fn make(&mut self, name: &str) -> usize {
        self.node(name).unwrap_or_else(|_| {
            self.nodes.push(Node::default());
            let node = self.nodes.len() - 1;
            self.now.insert(name.to_owned(), node);
            self.namings.push(Naming::Make(name.to_owned(), node));
            node
        })
    }

    fn change(&mut self, name: &str, change: Change) {
        let node = self.make(name);
        change.make(&mut self.nodes[node].now);
        self.nodes[node].changes.push((change, false));
    }

    fn used(&self) -> usize {
        self.now.values().map(|node| self.nodes[*node].now.len()).sum()
    }
}

impl Files for Sim {
    fn folder(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn list(&mut self, folder: &str) -> io::Result<Vec<(String, u64)>> {
        let mut disk = self.get();
        disk.call().1?;
        let all = disk.now.iter().filter_map(|(name, node)| {
            let (within, name) = name.rsplit_once('/').unwrap_or((ROOT, name));
            (within == folder).then(|| (name.to_owned(), disk.nodes[*node].now.len() as u64))
        });
        Ok(all.collect())
    }

    fn read(&mut self, name: &str, from: u64, most: u64) -> io::Result<Vec<u8>> {
        let mut disk = self.get();
        disk.call().1?;
        let node = disk.node(name)?;
        let bytes = disk.nodes[node].now.get(from as usize..).unwrap_or_default();
        Ok(bytes[..usize::try_from(most).unwrap_or(usize::MAX).min(bytes.len())].to_vec())
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.get();
        let (done, mut well) = disk.call();
        let mut part = bytes.len();
        if well.is_ok() && disk.used() + bytes.len() > disk.room {
            part = disk.room.saturating_sub(disk.used());
            well = Err(ErrorKind::StorageFull.into());
        } else if !done {
            part = disk.dice.roll(bytes.len() as u64 + 1) as usize;
        }
        disk.change(name, Change::Write(at as usize, bytes[..part].to_vec()));
        well
    }

    fn cut(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut disk = self.get();
        let (done, well) = disk.call();
        if done {
            disk.change(name, Change::Cut(len as usize));
        }
        well
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.get();
        disk.syncs += 1;
        let (done, well) = disk.call();
        let node = disk.make(name);
        if !done && !disk.is_off() {
            disk.nodes[node].changes.iter_mut().for_each(|(_, left)| *left = true);
        }
        if !done {
            return well;
        }
        let file = &mut disk.nodes[node];
        let mut changes = std::mem::take(&mut file.changes);
        while !changes.is_empty() {
            let (change, left) = changes.remove(0);
            if !left {
                change.make(&mut file.safe);
            } else if !changes.iter().any(|(later, left)| !left && later.covers(&change)) {
                file.changes.push((change, true));
            }
        }
        // Its name lasts as well, and what became of that name before.
        let made = |naming: &Naming| matches!(naming, Naming::Make(_, of) if *of == node);
        if let Some(i) = disk.namings.iter().position(made) {
            let mut now = disk.namings.drain(..=i).collect::<Vec<Naming>>();
            let rest = now.extract_if(.., |naming| !naming.touches(name)).collect::<Vec<Naming>>();
            disk.namings.splice(..0, rest);
            now.iter().for_each(|naming| naming.make(&mut disk.safe));
        }
        well
    }

    fn sync_folder(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.get();
        disk.syncs += 1;
        let (done, well) = disk.call();
        if done {
            let (now, rest): (Vec<_>, Vec<_>) =
                std::mem::take(&mut disk.namings).into_iter().partition(|naming| naming.within(name));
            disk.namings = rest;
            now.iter().for_each(|naming| naming.make(&mut disk.safe));
        }
        well
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.get();
        let (done, well) = disk.call();
        if done {
            let node = disk.node(from)?;
            disk.now.remove(from);
            disk.now.insert(to.to_owned(), node);
            disk.namings.push(Naming::Rename(from.to_owned(), to.to_owned(), node));
        }
        well
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.get();
        let (done, well) = disk.call();
        if done {
            let node = disk.node(name)?;
            disk.now.remove(name);
            disk.namings.push(Naming::Remove(name.to_owned(), node));
        }
        well
    }
}

const SMALL: Limits = Limits { segment: 600, some: 1_200, many: 5_000, segments: 8, step: 300 };

fn ballots(round: u64) -> MembershipBallotState {
    let me = ReplicaId { address: SocketAddr::from(([10, 0, 0, 1], 4_000)), disk_id: 7 };
    let view = Membership {
        epoch: round,
        members: vec![me; round as usize % 4],
        previous_members: vec![me],
        rolled_back: true,
    };
    let promised = Ballot { round, proposer: 3 };
    let accepted = Some(AcceptedMembership { ballot: promised, membership: view.clone() });
    MembershipBallotState {
        replica: me,
        membership: view,
        voter: true,
        promised,
        accepted,
        served_snapshot: true,
        barred_from_serving: round.is_multiple_of(2),
    }
}

fn version_ballots(turn: u64) -> LogRecord {
    let promised = ProposalNumber { epoch: turn / 2, ballot: Ballot { round: turn, proposer: 9 } };
    let sheet = Arc::new(RegisterValue::new(turn, vec![turn as u8; 40]));
    let accepted = turn.is_multiple_of(2).then_some(AcceptedValue { number: promised, value: sheet });
    let one = AcceptorState { register: "m/a".into(), version: turn, promised, accepted };
    LogRecord::RegisterAcceptors(vec![one; turn as usize % 3])
}

fn sheet(version: u64) -> LogRecord {
    LogRecord::Configuration(Arc::new(RegisterValue::new(
        version,
        format!("{{\"version\":{version}}}").into_bytes(),
    )))
}

fn paper(name: &str, version: u64) -> LogRecord {
    let sheet = Arc::new(RegisterValue::new(version, format!("{name} {version}").into_bytes()));
    LogRecord::Register(NamedRegister { name: name.into(), value: sheet })
}

fn claim(token: LeaseToken, body: Option<usize>) -> Lease {
    let answer = |long| StoredResponse {
        status: 200,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: vec![token as u8; long],
    };
    let outcome = body.map_or(LeaseOutcome::Pending, |long| LeaseOutcome::Completed(Arc::new(answer(long))));
    Lease { token, time_left_ms: 1_500, outcome }
}

/// What a disk should hold.
#[derive(Clone, Default, Debug, PartialEq)]
struct Held {
    ballots: Option<MembershipBallotState>,
    version_ballots: Vec<AcceptorState>,
    sheet: Option<Arc<RegisterValue>>,
    claims: BTreeMap<LeaseKey, Lease>,
    papers: BTreeMap<String, Arc<RegisterValue>>,
}

impl Held {
    fn of(saved: &PersistedState) -> Held {
        let claims = saved.leases.iter().cloned().map(|entry| (entry.key, entry.lease)).collect();
        let papers = saved.registers.iter().map(|paper| (paper.name.to_string(), paper.value.clone()));
        let (ballots, sheet) = (saved.membership_ballot.clone(), saved.configuration.clone());
        let version_ballots = saved.acceptors.clone();
        Held { ballots, version_ballots, sheet, claims, papers: papers.collect() }
    }

    fn take(&mut self, record: &LogRecord) {
        match record {
            LogRecord::MembershipBallot(ballots) => self.ballots = Some(ballots.clone()),
            LogRecord::Configuration(sheet) => self.sheet = Some(Arc::clone(sheet)),
            LogRecord::Lease(key, claim) => {
                self.claims.insert(*key, claim.clone());
            }
            LogRecord::LeaseReleased(key, token) => {
                if self.claims.get(key).is_some_and(|claim| claim.token == *token) {
                    self.claims.remove(key);
                }
            }
            LogRecord::Register(paper) => {
                self.papers.insert(paper.name.to_string(), paper.value.clone());
            }
            LogRecord::RegisterAcceptors(ballots) => self.version_ballots = ballots.clone(),
            LogRecord::Session(..) | LogRecord::SessionEnded(_) => {}
        }
    }

    /// It holds what is safe; of the rest, each thing is as it was or as one of the later records left it.
    fn check(&self, safe: &Held, maybe: &[LogRecord], about: &str) {
        let mut steps = vec![safe.clone()];
        for record in maybe {
            let mut step = steps[steps.len() - 1].clone();
            step.take(record);
            steps.push(step);
        }
        assert!(steps.iter().any(|step| step.ballots == self.ballots), "{about}: {:?}", self.ballots);
        let versions = |step: &Held| step.version_ballots == self.version_ballots;
        assert!(steps.iter().any(versions), "{about}: {:?}", self.version_ballots);
        assert!(steps.iter().any(|step| step.sheet == self.sheet), "{about}: {:?}", self.sheet);
        for name in self.papers.keys().chain(safe.papers.keys()) {
            let (got, mut may) = (self.papers.get(name), steps.iter().map(|step| step.papers.get(name)));
            assert!(may.any(|may| may == got), "{about}: {name} is {got:?}");
        }
        let keys = self.claims.keys().chain(safe.claims.keys());
        for key in keys {
            let (got, mut may) = (self.claims.get(key), steps.iter().map(|step| step.claims.get(key)));
            assert!(may.any(|may| may == got), "{about}: {key} is {got:?}, safe {:?}", safe.claims.get(key));
        }
    }
}

/// A steward at work.
struct Work {
    sim: Sim,
    store: Option<Store>,
    dice: Dice,
    token: LeaseToken,
    safe: Held,
    maybe: Vec<LogRecord>,
}

impl Work {
    fn new(sim: Sim) -> Work {
        let (dice, safe) = (Dice::new(5), Held::default());
        Work { sim, store: None, dice, token: 0, safe, maybe: Vec::new() }
    }

    /// What comes next does not hang on the disk, so that every run of a script is the same up to its end.
    fn batch(&mut self, turn: u64, held: &mut Held) -> Vec<LogRecord> {
        let mut records = Vec::new();
        for _ in 0..1 + self.dice.roll(4) {
            let key = u128::from(self.dice.roll(14)) << 64 | 1;
            let (what, long) = (self.dice.roll(5), self.dice.roll(90) as usize);
            // The first keys are hardly ever freed: they have to move.
            let lasting = key >> 64 < 4 && self.dice.roll(12) > 0;
            let record = match held.claims.get(&key) {
                Some(_) if lasting => continue,
                Some(old) if what < 3 => LogRecord::LeaseReleased(key, old.token),
                Some(old) if what == 3 => LogRecord::Lease(key, claim(old.token, Some(long))),
                _ => {
                    self.token += 1;
                    LogRecord::Lease(key, claim(self.token, (what == 0).then_some(long)))
                }
            };
            held.take(&record);
            records.push(record);
        }
        if turn % 6 == 2 {
            records.insert(0, sheet(turn));
        }
        if turn % 5 == 3 {
            records.insert(0, paper(if turn.is_multiple_of(2) { "m/a" } else { "w/A_" }, turn));
        }
        if turn % 5 == 1 {
            records.push(LogRecord::MembershipBallot(ballots(turn)));
        }
        if turn % 5 == 4 {
            records.push(version_ballots(turn));
        }
        let sheets =
            |record: &&LogRecord| matches!(record, LogRecord::Configuration(_) | LogRecord::Register(_));
        records.iter().filter(sheets).for_each(|record| held.take(record));
        records
    }

    /// Until the power is lost. Whatever is refused is tried again.
    fn run(&mut self, turns: u64) -> Result<(), StoreError> {
        let mut held = Held::default();
        for turn in 0..turns {
            let batch = self.batch(turn, &mut held);
            // The process dies at times, and the next one must not tell what isn't safe.
            if turn % 25 == 24 {
                self.store = None;
            }
            self.maybe.extend(batch.iter().cloned());
            for tries in 0.. {
                match self.go(&batch) {
                    Ok(()) => break,
                    Err(why) if tries > 20 || self.sim.is_off() => return Err(why),
                    Err(_) => {}
                }
            }
            batch.iter().for_each(|record| self.safe.take(record));
            self.maybe.clear();
        }
        Ok(())
    }

    fn go(&mut self, batch: &[LogRecord]) -> Result<(), StoreError> {
        if self.store.is_none() {
            let (store, saved) = self.sim.open()?;
            Held::of(&saved).check(&self.safe, &self.maybe, "after a kill");
            self.store = Some(store);
        }
        self.store.as_mut().map_or(Ok(()), |store| store.write(batch))
    }
}

const TURNS: u64 = 60;

fn reopen(sim: &Sim) -> (Store, Held) {
    let (store, saved) = sim.open().expect("a disk without trouble opens");
    (store, Held::of(&saved))
}

/// Wherever power is lost, what was safe is there, nothing else appears, and it goes on from there.
#[test]
fn every_loss_of_power() {
    let sim = Sim::new(0, u64::MAX, 0..0);
    let mut work = Work::new(sim.clone());
    work.run(TURNS).expect("no trouble");
    let calls = sim.get().calls;
    assert!(calls > 200, "{calls}");
    for stop in 1..=calls {
        for seed in 0..2 {
            let about = format!("power lost in call {stop}, seed {seed}");
            let sim = Sim::new(stop * 2 + seed, stop, 0..0);
            let mut work = Work::new(sim.clone());
            let ended = work.run(TURNS);
            assert!(ended.is_err() || stop == calls, "{about}");
            work.store = None;
            let mut held = work.safe.clone();
            if (stop + seed) % 3 == 0 {
                // A kill at first. What the next process is told is safe, whatever comes.
                sim.back(true);
                let told = reopen(&sim).1;
                told.check(&work.safe, &work.maybe, &about);
                held = told;
                work.maybe.clear();
            }
            sim.back(false);
            let (mut store, told) = reopen(&sim);
            told.check(&held, &work.maybe, &about);
            let more = [
                LogRecord::Lease(99, claim(9_999, Some(30))),
                LogRecord::MembershipBallot(ballots(900)),
                sheet(900),
            ];
            store.write(&more).expect("no trouble");
            let mut held = told;
            more.iter().for_each(|record| held.take(record));
            sim.back(false);
            assert_eq!(reopen(&sim).1, held, "{about}");
        }
    }
}

/// Wherever calls are refused for a while, all is written in the end, and nothing that was safe is lost.
#[test]
fn every_refusal() {
    let sim = Sim::new(0, u64::MAX, 0..0);
    Work::new(sim.clone()).run(TURNS).expect("no trouble");
    let calls = sim.get().calls;
    for from in 1..=calls {
        let sim = Sim::new(from, u64::MAX, from..from + 1 + from % 4);
        let mut work = Work::new(sim.clone());
        // Every third one loses power soon after.
        sim.get().stop = if from % 3 == 0 { from + 9 } else { u64::MAX };
        let ended = work.run(TURNS);
        assert!(ended.is_ok() || from % 3 == 0, "refused from call {from}: {ended:?}");
        sim.back(false);
        reopen(&sim).1.check(&work.safe, &work.maybe, &format!("refused from call {from}"));
    }
}

#[test]
fn a_full_disk_loses_nothing() {
    for room in (300..6_000).step_by(70) {
        let sim = Sim::new(room, u64::MAX, 0..0);
        let (mut store, _) = reopen(&sim);
        sim.get().room = room as usize;
        let mut held = Held::default();
        let mut failed = None;
        for i in 0..100 {
            let records = [LogRecord::Lease(i, claim(i as u64, Some(20))), sheet(i as u64)];
            if store.write(&records).is_err() {
                failed = Some(records);
                break;
            }
            records.iter().for_each(|record| held.take(record));
        }
        let failed = failed.expect("the disk is full");
        assert!(store.write(&failed).is_err());
        if room % 3 == 0 {
            drop(store);
            sim.back(false);
            let (store, told) = reopen(&sim);
            told.check(&held, &failed, "full");
            held = told;
            drop(store);
        } else {
            sim.get().room = usize::MAX;
            store.write(&failed).expect("there is room");
            failed.iter().for_each(|record| held.take(record));
        }
        sim.back(false);
        assert_eq!(reopen(&sim).1, held, "room {room}");
    }
}

/// Nothing that a disk hands out makes it panic or tell what was never written.
#[test]
fn flipped_bits() {
    let sim = Sim::new(0, u64::MAX, 0..0);
    let mut work = Work::new(sim.clone());
    work.run(30).expect("no trouble");
    let names: Vec<String> = sim.get().now.keys().cloned().collect();
    let whole = reopen(&sim).1;
    let mut dice = Dice::new(1);
    for name in names {
        let node = sim.get().now[&name];
        let bytes = sim.get().nodes[node].now.clone();
        for at in (0..bytes.len()).step_by(2) {
            let bit = 1 << dice.roll(8);
            sim.get().nodes[node].now[at] ^= bit;
            let before = sim.get().now.clone();
            let (store, told) = reopen(&sim);
            let kind = name.split(['/', '.']).next().unwrap_or_default();
            let (claims, sheet, ballots) =
                (told.claims == whole.claims, told.sheet == whole.sheet, told.ballots == whole.ballots);
            assert!(claims || kind == CLAIMS, "{name} {at}");
            assert!(sheet || kind == TIMETABLE, "{name} {at}");
            assert!(told.papers == whole.papers || kind == PAPERS, "{name} {at}");
            assert!(ballots || kind == "ballots", "{name} {at}");
            for (key, claim) in &told.claims {
                assert!(claim.token <= work.token && key >> 64 < 14, "{name} {at}");
            }
            drop(store);
            let mut disk = sim.get();
            disk.now = before;
            disk.nodes[node].now = bytes.clone();
        }
    }
}

/// Both ballots gone: as if the disk was lost, but for the claims.
#[test]
fn ballots_that_cannot_be_read() {
    let sim = Sim::new(0, u64::MAX, 0..0);
    let (mut store, _) = reopen(&sim);
    for round in 1..4 {
        store
            .write(&[LogRecord::MembershipBallot(ballots(round)), LogRecord::Lease(1, claim(round, None))])
            .expect("written");
    }
    for slot in SLOTS {
        sim.clone().write(slot, 3, b"rot").expect("written");
    }
    let (mut store, told) = reopen(&sim);
    assert_eq!((told.ballots, told.claims.len()), (None, 1));
    assert_eq!(store.found().len(), 4, "{:?}", store.found());
    store.write(&[LogRecord::MembershipBallot(ballots(9))]).expect("written");
    sim.back(false);
    assert_eq!(reopen(&sim).1.ballots, Some(ballots(9)));
}

/// A segment that rots while it is in use: its live claims can't move on, all others do.
#[test]
fn a_segment_rots() {
    let sim = Sim::new(0, u64::MAX, 0..0);
    let (mut store, _) = reopen(&sim);
    store.write(&[LogRecord::Lease(1, claim(1, Some(200)))]).expect("written");
    store.write(&[LogRecord::Lease(2, claim(2, Some(200)))]).expect("written");
    sim.clone().write(&segment_name(1), 400, b"rot").expect("written");
    for token in 3..200 {
        store.write(&[LogRecord::Lease(3, claim(token, Some(40)))]).expect("written");
    }
    assert!(store.found()[0].starts_with("claims/000001"), "{:?}", store.found());
    let (_, told) = reopen(&sim);
    assert_eq!(told.claims.keys().copied().collect::<Vec<LeaseKey>>(), [1, 3]);
}

/// What comes in the very write that moves a claim comes after it, and the latest of a segment is what moves.
#[test]
fn a_claim_that_moves() {
    for turn in 0..24 {
        for last in [
            LogRecord::LeaseReleased(1, 1),
            LogRecord::Lease(1, claim(1, Some(7))),
            LogRecord::LeaseReleased(1, 2),
        ] {
            let sim = Sim::new(0, u64::MAX, 0..0);
            let (mut store, _) = reopen(&sim);
            let mut held = Held::default();
            let first = [LogRecord::Lease(1, claim(1, None))];
            let then = [LogRecord::Lease(2, claim(0, Some(250)))];
            let done = [LogRecord::Lease(1, claim(1, Some(3)))];
            let churn = (0..24).map(|i| {
                let more = LogRecord::Lease(2, claim(i, Some(60)));
                if i == turn { [more, last.clone()].to_vec() } else { [more].to_vec() }
            });
            for records in [first.to_vec(), then.to_vec(), done.to_vec()].into_iter().chain(churn) {
                store.write(&records).expect("written");
                records.iter().for_each(|record| held.take(record));
            }
            assert!(sim.get().node(&segment_name(1)).is_err(), "the first segment is still there");
            assert_eq!(reopen(&sim).1, held, "turn {turn}, {last:?}");
        }
    }
}

/// One write and one sync, and a bounded disk, however long it goes on.
#[test]
fn the_hot_path() {
    let sim = Sim::new(0, u64::MAX, 0..0);
    let (mut store, _) = Store::start(Box::new(sim.clone()), LIMITS).expect("opens");
    store
        .write(&[LogRecord::Lease(0, claim(0, None)), LogRecord::MembershipBallot(ballots(1))])
        .expect("written");
    store.write(&[LogRecord::MembershipBallot(ballots(2))]).expect("written");
    let open = |key: u128| LogRecord::Lease(key << 100 | key, claim(u64::MAX - key as u64, None));
    let counted = || {
        let disk = sim.get();
        (disk.calls, disk.syncs)
    };
    let (bytes, (calls, syncs)) = (store.bytes(), counted());
    store.write(&[open(3)]).expect("written");
    assert_eq!(counted(), (calls + 2, syncs + 1));
    assert_eq!(store.bytes() - bytes, 71);
    store.write(&(4..104).map(open).collect::<Vec<LogRecord>>()).expect("written");
    assert_eq!(counted().1, syncs + 2);
    assert_eq!((store.bytes() - bytes - 71) / 100, 63);
    store.write(&[LogRecord::MembershipBallot(ballots(3))]).expect("written");
    assert_eq!(counted().1, syncs + 3);

    let (mut store, _) = reopen(&Sim::new(0, u64::MAX, 0..0));
    let (mut most, mut held) = (0, Held::default());
    for token in 0..3_000 {
        // One in a hundred stays for long.
        let key = u128::from(if token % 100 == 0 { token % 500 } else { token % 7 + 1_000 });
        let record = LogRecord::Lease(key, claim(token, Some(50)));
        held.take(&record);
        store.write(&[record]).expect("written");
        most = most.max(store.bytes());
    }
    assert!(most < 4 * store.live_bytes + SMALL.some, "{most}");
    assert_eq!(store.live.len(), held.claims.len());
    let counted: usize = store.segments.values().map(|segment| segment.live).sum();
    assert_eq!(counted, store.live.len());
}

/// On a real folder: the operator's word is there to be read, long records come back, strange files do no harm.
#[test]
fn a_real_folder() {
    let dir = std::env::temp_dir().join(format!("ochreshed-store-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    let (mut store, saved) = Store::open(&dir).expect("opens");
    assert_eq!(Held::of(&saved), Held::default());
    let mut held = Held::default();
    let mut long = claim(2, Some(300_000));
    if let LeaseOutcome::Completed(answer) = &mut long.outcome {
        Arc::make_mut(answer).headers.push(("x".repeat(9_000), "y".repeat(70_000)));
    }
    let mut records = vec![LogRecord::Lease(u128::MAX, long), LogRecord::MembershipBallot(ballots(1))];
    records.extend((0..3_000).map(|key| LogRecord::Lease(key, claim(key as u64, Some(9)))));
    records.extend((1..9).map(sheet));
    for record in &records {
        held.take(record);
    }
    store.write(&records).expect("written");
    store
        .write(&[LogRecord::Lease(
            7,
            Lease { token: 9, time_left_ms: 0, outcome: LeaseOutcome::Indeterminate },
        )])
        .expect("written");
    held.take(&LogRecord::Lease(
        7,
        Lease { token: 9, time_left_ms: 0, outcome: LeaseOutcome::Indeterminate },
    ));
    for version in 9..20 {
        store.write(&[sheet(version)]).expect("written");
        held.take(&sheet(version));
    }
    let rank = held.sheet.as_ref().map(|sheet| sheet.revision()).unwrap_or_default();
    assert_eq!(fs::read(dir.join(sheet_name("timetable/", rank))).expect("there"), b"{\"version\":19}");
    assert_eq!(fs::read_dir(dir.join(TIMETABLE)).expect("there").count(), SHEETS);
    assert!(!dir.join(PAPERS).exists(), "nobody named a member");
    for version in 1..9 {
        let names = ["members", "m/A_b", "m/A_62"];
        let records = names.map(|name| paper(name, version));
        store.write(&records).expect("written");
        records.iter().for_each(|record| held.take(record));
    }
    let versions: Vec<u64> =
        history(&dir, "m/A_b").expect("there").iter().map(|sheet| sheet.version).collect();
    assert_eq!(versions, [8, 7, 6, 5, 4]);
    drop(store);
    for name in [
        "papers/members.r99-0000000000000000.json",
        "papers/m_2g.r99-0000000000000000.json",
        "claims/7",
        "claims/000009",
        "claims/x",
        "timetable/r1-00.json",
        "timetable/r99-0000000000000000.json",
    ] {
        fs::write(dir.join(name), b"\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0").expect("written");
    }
    let (mut store, saved) = Store::open(&dir).expect("opens");
    assert_eq!(Held::of(&saved), held);
    assert_eq!(store.found().len(), 3, "{:?}", store.found());
    store.write(&[LogRecord::LeaseReleased(7, 9)]).expect("written");
    assert!(dir.join("claims/000010").exists());
    fs::remove_dir_all(&dir).expect("removed");
}

/// Guards against an older program that finds in its log what it can't read, and takes the rest for torn.
#[test]
fn sessions_have_a_log_of_their_own() {
    let dir = std::env::temp_dir().join(format!("ochreshed-sessions-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    let entry = |epoch| SessionRecord { term: epoch, token: epoch, accepted: None };
    let (mut store, _) = Store::open(&dir).expect("opens");
    store.write(&[LogRecord::Lease(1, claim(1, None))]).expect("written");
    assert!(!dir.join(SESSIONS).exists());
    let before = store.bytes();
    let records: Vec<LogRecord> = (1..4_000).map(|i| LogRecord::Session(i % 5, entry(i as u64))).collect();
    for some in records.chunks(3) {
        store.write(some).expect("written");
    }
    store.write(&[LogRecord::SessionEnded(2), LogRecord::Lease(2, claim(2, None))]).expect("written");
    println!("{} bytes for {} records of sessions", store.bytes() - before, records.len());
    drop(store);
    let (_, saved) = Store::open(&dir).expect("opens");
    let held: Vec<(SessionId, u64)> =
        saved.sessions.iter().map(|entry| (entry.session, entry.record.term)).collect();
    assert_eq!(held, [(0, 3_995), (1, 3_996), (3, 3_998), (4, 3_999)]);
    assert_eq!(saved.leases.len(), 2);
    let (_, alone) = Store::start(Box::new(Folder::new(dir.clone())), LIMITS).expect("opens");
    assert_eq!((alone.leases.len(), alone.sessions.len()), (2, 0));
    fs::remove_dir_all(&dir).expect("removed");
}
