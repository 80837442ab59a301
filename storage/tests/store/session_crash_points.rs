//! A loss of power and refusals at every single call to the disk while sessions are persisted.

use std::collections::BTreeMap;
use std::ops::Range;

use ochreshed_consensus::messages::{LogRecord, SessionId, SessionRecord};
use ochreshed_storage::Store;

use crate::simulated_disk::{NEVER, SimulatedDisk};

const BATCHES: u64 = 40;
const SESSIONS: u64 = 6;
const MAX_ATTEMPTS: u32 = 20;

type Sessions = BTreeMap<SessionId, SessionRecord>;

/// Two sessions change with each batch, and every fourth batch ends one of them.
fn batch(number: u64) -> [LogRecord; 2] {
    let id = |number: u64| SessionId::from(number % SESSIONS);
    let changed = |number: u64| {
        LogRecord::Session(id(number), SessionRecord { term: number, token: number, accepted: None })
    };
    let second = if number % 4 == 3 { LogRecord::SessionEnded(id(number * 5)) } else { changed(number + 1) };
    [changed(number), second]
}

fn apply(sessions: &mut Sessions, record: &LogRecord) {
    match record {
        LogRecord::Session(id, session) => {
            sessions.insert(*id, session.clone());
        }
        LogRecord::SessionEnded(id) => {
            sessions.remove(id);
        }
        other => panic!("no record of a session: {other:?}"),
    }
}

fn apply_all(sessions: &mut Sessions, records: &[LogRecord]) {
    records.iter().for_each(|record| apply(sessions, record));
}

/// The result of a run: the acknowledged sessions, and the batch that was not acknowledged.
struct Run {
    durable: Sessions,
    unacknowledged: Vec<LogRecord>,
}

/// Persists all batches, up to a loss of power. Refused writes are retried.
fn run(disk: &SimulatedDisk) -> Run {
    let mut run = Run { durable: Sessions::new(), unacknowledged: Vec::new() };
    let mut store = None;
    for number in 0..BATCHES {
        let records = batch(number);
        run.unacknowledged = records.to_vec();
        if !persist_with_retries(disk, &mut store, &records) {
            return run;
        }
        apply_all(&mut run.durable, &records);
        run.unacknowledged.clear();
    }
    run
}

/// Returns whether the records were acknowledged.
fn persist_with_retries(disk: &SimulatedDisk, store: &mut Option<Store>, records: &[LogRecord]) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        if store.is_none() {
            *store = disk.open().ok().map(|(store, _)| store);
        }
        if store.as_mut().is_some_and(|store| store.persist(records).is_ok()) {
            return true;
        }
        if disk.is_off() {
            return false;
        }
    }
    panic!("refused {MAX_ATTEMPTS} times");
}

fn recovered_sessions(disk: &SimulatedDisk) -> Sessions {
    let (_, persisted) = disk.open().expect("a disk without faults opens");
    persisted.sessions.into_iter().map(|entry| (entry.session, entry.record)).collect()
}

/// Asserts that each session is as acknowledged, or as one of the unacknowledged records left it.
fn assert_recovers(recovered: &Sessions, run: &Run, context: &str) {
    let mut states = vec![run.durable.clone()];
    for record in &run.unacknowledged {
        let mut state = states[states.len() - 1].clone();
        apply(&mut state, record);
        states.push(state);
    }
    for id in 0..SessionId::from(SESSIONS) {
        let session = recovered.get(&id);
        let mut possible = states.iter().map(|state| state.get(&id));
        assert!(possible.any(|state| state == session), "{context}: {id} is {session:?}");
    }
    assert!(recovered.keys().all(|id| *id < SessionId::from(SESSIONS)), "{context}: {recovered:?}");
}

/// The number of calls that all batches make to a disk without faults, and the sessions that they leave.
fn run_without_faults() -> (u64, Sessions) {
    let disk = SimulatedDisk::reliable();
    let run = run(&disk);
    assert_eq!(recovered_sessions(&disk), run.durable);
    (disk.call_counts().calls, run.durable)
}

#[test]
fn acknowledged_sessions_survive_a_power_loss_at_every_call() {
    let (calls, all_sessions) = run_without_faults();
    assert!(calls > 80 && all_sessions.len() > 2, "{calls}, {all_sessions:?}");
    for power_loss_call in 1..=calls {
        for seed in 0..4 {
            let context = format!("power lost in call {power_loss_call}, seed {seed}");
            let disk = SimulatedDisk::new(power_loss_call * 4 + seed, power_loss_call, 0..0);
            let run = run(&disk);
            disk.restart_machine();
            let mut recovered = recovered_sessions(&disk);
            assert_recovers(&recovered, &run, &context);
            let (mut store, _) = disk.open().expect("opens");
            let more = batch(BATCHES);
            store.persist(&more).expect("no fault");
            apply_all(&mut recovered, &more);
            disk.restart_machine();
            assert_eq!(recovered_sessions(&disk), recovered, "{context}");
        }
    }
}

#[test]
fn acknowledged_sessions_survive_refusals_at_every_call() {
    let (calls, all_sessions) = run_without_faults();
    for first_refused in 1..=calls {
        let refused_calls: Range<u64> = first_refused..first_refused + 1 + first_refused % 4;
        let disk = SimulatedDisk::new(first_refused, NEVER, refused_calls);
        let run = run(&disk);
        assert!(run.unacknowledged.is_empty(), "refused from call {first_refused}");
        disk.restart_machine();
        assert_eq!(recovered_sessions(&disk), all_sessions, "refused from call {first_refused}");
    }
}

/// Guards against a first session that is acknowledged before the name of the log's directory is durable, because the
/// sync of that name was refused and the retry left it out.
#[test]
fn the_first_session_survives_a_refused_call_and_a_power_loss_after_its_acknowledgement() {
    let first = batch(0);
    let disk = SimulatedDisk::reliable();
    assert!(persist_with_retries(&disk, &mut None, &first));
    let calls = disk.call_counts().calls;
    for refused_call in 1..=calls {
        for seed in 0..8 {
            let disk = SimulatedDisk::new(refused_call * 8 + seed, NEVER, refused_call..refused_call + 1);
            let mut store = None;
            assert!(persist_with_retries(&disk, &mut store, &first), "refused in call {refused_call}");
            drop(store);
            disk.restart_machine();
            let mut sessions = Sessions::new();
            apply_all(&mut sessions, &first);
            assert_eq!(recovered_sessions(&disk), sessions, "refused in call {refused_call}, seed {seed}");
        }
    }
}
