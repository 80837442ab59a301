//! Short drills with a few processes of the balancer. Whatever the faults, each request gets its final answer, none has a
//! double effect, nothing is dispatched to a drained server, and the slow-start limit holds over all processes together. How
//! well requests are served is checked only where a busy machine can't change the result.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

use ochreshed_drill::drill_file::Drill;
use ochreshed_drill::event_log::{Event, ProcessChange};
use ochreshed_drill::runner::RunOptions;
use ochreshed_drill::{DrillResult, run, sibling_binary};

/// Drills run one at a time, as they would compete for the cores.
static DRILL_LOCK: Mutex<()> = Mutex::new(());

/// The balancer program, built from the current source: cargo does not build binaries of other packages for a test.
fn balancer_binary() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let mut cargo = Command::new(env!("CARGO"));
        cargo.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join(".."));
        let built = cargo.args(["build", "--quiet", "--locked", "-p", "ochreshed-balancer"]).status();
        assert!(built.expect("cargo").success(), "the balancer can't be built");
        sibling_binary().expect("the balancer program")
    };
    BUILT.get_or_init(build).clone()
}

fn drill(instances: usize, per_s: f64, lasts: &str, faults: &str) -> Drill {
    let text = format!(
        r#"
        lasts = "{lasts}"
        clients = {{ per_s = {per_s}, instances = {instances}, tries_again = 1, pause = "100ms" }}
        network = {{ within = {{ kind = "fixed", mean = "100us" }}, between = {{ kind = "fixed", mean = "500us" }} }}
        list = {{ delay = {{ kind = "even", least = "10ms", most = "200ms" }} }}
        live = {{ notice = "500ms" }}
        rule_sets = [
            {{ name = "quote", effect = "replayable", part = 2.0, response_target = "1s", client_timeout = "2s" }},
            {{ name = "pay", effect = "uniqued", part = 1.0, response_target = "1s", client_timeout = "2s", window = "4s" }},
            {{ name = "post", effect = "non-replayable", part = 1.0, response_target = "1s", client_timeout = "2s" }},
        ]
        [[tiers]]
        name = "shop"
        srvs = 9
        sites = 3
        slots = 4
        room = 40
        work = {{ kind = "log-normal", mean = "30ms", sigma = 0.5 }}
        cold = {{ share = 0.3, lasts = "5s" }}
        {faults}"#
    );
    Drill::parse(&text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

fn run_drill(name: &str, drill: &Drill) -> DrillResult {
    run_with_gossip(name, drill, false)
}

fn run_with_gossip(name: &str, drill: &Drill, gossip: bool) -> DrillResult {
    run_with_options(name, drill, RunOptions { gossip, ..RunOptions::default() })
}

fn run_with_options(name: &str, drill: &Drill, options: RunOptions) -> DrillResult {
    let _guard = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let options = RunOptions { seed: 1, binary: balancer_binary(), ..options };
    let result = run(name, drill, &options, &AtomicBool::new(false), &|_| {}).expect("the drill runs");
    let text = result.report.text();
    assert!(result.report.verdict.violations.is_empty(), "{text}");
    assert!(result.report.metrics.calls > 100 && result.report.metrics.dispatches > 100, "{text}");
    assert_eq!(result.report.metrics.events_lost, 0);
    result
}

fn count_changes(result: &DrillResult, change: &ProcessChange) -> usize {
    let matches = |event: &Event| matches!(event, Event::Process { change: seen, .. } if seen == change);
    result.recording.entries.iter().filter(|(_, event)| matches(event)).count()
}

#[test]
fn rules_are_kept_when_most_balancers_are_killed_and_restart_with_an_outdated_list() {
    let faults = r#"
        [[faults]]
        at = "1s"
        what = "srvs"
        who = "srvs:7-8"
        [[faults]]
        at = "2s"
        lasts = "2s"
        what = "discovery"
        how = "down"
        [[faults]]
        at = "2s"
        what = "kill"
        who = "balancers:7/10"
        back = "50ms""#;
    let result = run_drill("killed", &drill(9, 120.0, "6s", faults));
    assert_eq!(count_changes(&result, &ProcessChange::Killed), 6, "7 of 10 of nine, rounded");
    assert_eq!(count_changes(&result, &ProcessChange::Ready), 9 + 6);
}

#[test]
fn rules_are_kept_through_cuts_of_a_zone_in_both_directions_and_in_one() {
    let faults = r#"
        [[faults]]
        at = "1s"
        lasts = "2s"
        what = "link"
        from = "zone:c"
        to = "balancers:a, balancers:b, srvs:a, srvs:b, discovery"
        how = "cut"
        [[faults]]
        at = "4s"
        lasts = "1500ms"
        what = "link"
        from = "balancers"
        to = "srvs:a"
        way = "back"
        how = "cut""#;
    let result = run_drill("cuts", &drill(6, 100.0, "7s", faults));
    let unanswered = result
        .attempts
        .iter()
        .flat_map(|attempt| &attempt.dispatches)
        .filter(|dispatch| dispatch.response.is_none());
    assert!(unanswered.count() > 0, "no dispatch was affected by a cut");
}

#[test]
fn rules_are_kept_while_half_the_balancers_know_of_drains_and_servers_restart() {
    let faults = r#"
        [[faults]]
        at = "1s"
        lasts = "3s"
        what = "drain"
        who = "srvs:0-2"
        told = "balancers:0-2"
        [[faults]]
        at = "1500ms"
        lasts = "1s"
        what = "srvs"
        who = "srvs:5-6"
        stranger = true"#;
    let result = run_drill("drains", &drill(6, 120.0, "7s", faults));
    let rejected = |dispatch: &&ochreshed_drill::audit::Dispatch| {
        dispatch.response.is_some_and(|response| response.status == 503 && response.rejected)
    };
    let dispatches = result.attempts.iter().flat_map(|attempt| &attempt.dispatches);
    assert!(dispatches.filter(rejected).count() > 0, "no dispatch to a draining server was rejected");
    let in_slow_start = result
        .recording
        .entries
        .iter()
        .filter(|(_, event)| matches!(event, Event::RequestReceived { slow_start: true, .. }));
    assert!(in_slow_start.count() > 0, "no server in slow start was sent anything");
}

#[test]
fn rules_are_kept_through_suspensions_a_crash_loop_and_a_rolling_restart() {
    let faults = r#"
        [[faults]]
        at = "1s"
        lasts = "1s"
        what = "stop"
        who = "balancers:0-1"
        [[faults]]
        at = "1s"
        lasts = "2s"
        what = "crash-loop"
        who = "balancers:5"
        every = "400ms"
        [[faults]]
        at = "2500ms"
        lasts = "1500ms"
        what = "duty"
        who = "balancers:2"
        part = 0.3
        [[faults]]
        at = "3s"
        lasts = "3s"
        what = "roll"
        who = "balancers"
        signal = "term"
        list = "now""#;
    let result = run_drill("restarts", &drill(6, 90.0, "10s", faults));
    assert_eq!(count_changes(&result, &ProcessChange::TerminationRequested), 6);
    assert!(
        count_changes(&result, &ProcessChange::Killed) >= 2
            && count_changes(&result, &ProcessChange::Suspended) >= 3
    );
}

/// Dispatches later than `span` after the first fault began that a draining server rejected.
fn rejected_after(result: &DrillResult, span: u64) -> usize {
    let begin_of_fault =
        |(at, event): &(u64, Event)| matches!(event, Event::Fault { begins: true, .. }).then_some(*at);
    let first_fault_at = result.recording.entries.iter().find_map(begin_of_fault).expect("a fault");
    let late = |dispatch: &&ochreshed_drill::audit::Dispatch| {
        dispatch.first_byte_at > first_fault_at + span
            && dispatch.response.is_some_and(|response| response.status == 503 && response.rejected)
    };
    result.attempts.iter().flat_map(|attempt| &attempt.dispatches).filter(late).count()
}

const DRAIN_ANNOUNCED_TO_ONE: &str = r#"
    [[faults]]
    at = "2s"
    what = "drain"
    who = "srvs:0-1"
    told = "balancers:0""#;

#[test]
fn a_drain_announced_to_one_balancer_is_heeded_by_all_with_gossip_and_not_without() {
    let drill = drill(6, 90.0, "7s", DRAIN_ANNOUNCED_TO_ONE);
    // 2.5 s is generous for a busy machine; usually it takes 0.2 s.
    let (without, with) = (run_drill("alone", &drill), run_with_gossip("fleet", &drill, true));
    let (without, with) = (rejected_after(&without, 2_500_000_000), rejected_after(&with, 2_500_000_000));
    assert!(with == 0 && without > 0, "{with} with gossip, {without} without");
}

#[test]
fn a_drain_spreads_once_a_cut_is_healed_also_to_a_restarted_process() {
    let faults = format!(
        r#"{DRAIN_ANNOUNCED_TO_ONE}
        [[faults]]
        at = "500ms"
        lasts = "3s"
        what = "link"
        from = "balancers:0"
        to = "balancers:1-5"
        how = "cut"
        [[faults]]
        at = "2500ms"
        what = "kill"
        who = "balancers:3"
        back = "1s""#
    );
    let result = run_with_gossip("cut fleet", &drill(6, 90.0, "9s", &faults), true);
    // The cut ends at 3.5 s; gossip then spreads the drain as without a cut.
    assert_eq!(rejected_after(&result, 6_500_000_000), 0);
    assert!(rejected_after(&result, 1_600_000_000) > 0, "the drain was known across the cut");
}

#[test]
fn rules_are_kept_with_gossip_over_lossy_links_kills_and_suspensions() {
    let faults = r#"
        [[faults]]
        at = "1s"
        lasts = "5s"
        what = "link"
        from = "balancers"
        to = "balancers"
        how = "lossy"
        part = 0.33
        [[faults]]
        at = "1500ms"
        lasts = "1s"
        what = "stop"
        who = "balancers:0-1"
        [[faults]]
        at = "2s"
        what = "kill"
        who = "balancers:2-5"
        back = "50ms"
        [[faults]]
        at = "3s"
        lasts = "1s"
        what = "drain"
        who = "srvs:3"
        told = "balancers:0""#;
    let result = run_with_gossip("lossy fleet", &drill(6, 90.0, "7s", faults), true);
    assert!(result.recording.gossip_bytes > 1_000, "no gossip was sent");
}

#[test]
fn both_halves_of_a_partition_learn_of_each_others_drains_once_it_is_healed() {
    let halves = r#"
        [[faults]]
        at = "500ms"
        lasts = "3s"
        what = "link"
        from = "balancers:0-2"
        to = "balancers:3-5"
        how = "cut"
        [[faults]]
        at = "1500ms"
        lasts = "9s"
        what = "drain"
        who = "srvs:1"
        told = "balancers:1"
        [[faults]]
        at = "1500ms"
        lasts = "9s"
        what = "drain"
        who = "srvs:5"
        told = "balancers:4""#;
    let result = run_with_gossip("halves", &drill(6, 90.0, "9s", halves), true);
    assert!(rejected_after(&result, 2_500_000_000) > 0, "the drain was known across the cut");
    // The cut ends at 3.5 s; each half then learns of the other's drain.
    assert_eq!(rejected_after(&result, 6_500_000_000), 0);
}

/// Three servers drain, and all balancers are notified. Then discovery goes down, and the balancers in `who` are killed and
/// restart with the list from before the drain.
fn killed_after_drains(who: &str, stored: &str) -> Drill {
    let faults = format!(
        r#"
        [[faults]]
        at = "500ms"
        lasts = "9s"
        what = "drain"
        who = "srvs:0-2"
        [[faults]]
        at = "2s"
        lasts = "5s"
        what = "discovery"
        how = "down"
        [[faults]]
        at = "2200ms"
        what = "kill"
        who = "{who}"
        back = "50ms"
        stored = "{stored}""#
    );
    drill(6, 90.0, "6s", &faults)
}

#[test]
fn after_all_are_killed_snapshots_prevent_dispatches_to_draining_servers() {
    let drill = killed_after_drains("balancers", "kept");
    let snapshots = RunOptions { snapshots: true, ..RunOptions::default() };
    let (without, with) =
        (run_drill("no snapshots", &drill), run_with_options("snapshots", &drill, snapshots));
    assert!(rejected_after(&without, 2_200_000_000) > 0, "the outdated list has no effect here");
    assert_eq!(rejected_after(&with, 2_200_000_000), 0);
    assert_eq!(count_changes(&with, &ProcessChange::Ready), 12);
}

#[test]
fn restarted_balancers_learn_of_drains_from_the_survivors() {
    let drill = killed_after_drains("balancers:0-3", "lost");
    let result = run_with_gossip("survivors", &drill, true);
    // Discovery is down until 7 s.
    assert_eq!(rejected_after(&result, 4_200_000_000), 0);
}

#[test]
fn a_damaged_or_foreign_snapshot_is_logged_once_and_not_used() {
    for (stored, said) in [("damaged", "checksum is another"), ("foreign", "of fleet drill")] {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("snapshots-{stored}"));
        let options = RunOptions { snapshots: true, folder: Some(folder.clone()), ..RunOptions::default() };
        let result = run_with_options(stored, &killed_after_drains("balancers:0-5", stored), options);
        assert_eq!(count_changes(&result, &ProcessChange::Ready), 12);
        let mut lines = 0;
        for process in std::fs::read_dir(&folder).expect("folders").flatten() {
            let log = std::fs::read_to_string(process.path().join("log")).unwrap_or_default();
            lines +=
                log.lines().filter(|line| line.contains(said) && line.contains("goes on without")).count();
        }
        std::fs::remove_dir_all(&folder).expect("removed");
        assert_eq!(lines, 6, "{stored}");
    }
}

#[test]
fn rules_are_kept_through_a_mass_restart_during_another_and_a_crash_loop() {
    let faults = r#"
        [[faults]]
        at = "1s"
        what = "kill"
        who = "balancers"
        back = "50ms"
        [[faults]]
        at = "1300ms"
        what = "kill"
        who = "balancers:0-3"
        back = "20ms"
        [[faults]]
        at = "1s"
        lasts = "4s"
        what = "crash-loop"
        who = "balancers:5"
        every = "700ms"
        [[faults]]
        at = "1200ms"
        lasts = "2s"
        what = "discovery"
        how = "slow"
        by = "800ms""#;
    let options = RunOptions { gossip: true, snapshots: true, ..RunOptions::default() };
    let result = run_with_options("again", &drill(6, 90.0, "7s", faults), options);
    assert!(count_changes(&result, &ProcessChange::Killed) >= 6 + 4 + 3);
    assert_eq!(result.report.metrics.by_half_second.last().map(|counts| counts.made > 0), Some(true));
}

#[test]
fn the_other_build_runs_where_the_file_says_and_gossips_with_the_rest() {
    let _guard = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let copy = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("another-build");
    std::fs::copy(balancer_binary(), &copy).expect("a copy");
    let mut drill = drill(6, 60.0, "3s", "");
    drill.live.other_build =
        Some(ochreshed_drill::party::PartySelector::parse("balancers:1, balancers:4").expect("two"));
    let options = RunOptions {
        seed: 1,
        binary: balancer_binary(),
        other_binary: Some(copy.clone()),
        gossip: true,
        ..RunOptions::default()
    };
    let (max_count, stop) = (std::cell::Cell::new(0), AtomicBool::new(false));
    let count_processes = |_: f64| {
        let running = std::fs::read_dir("/proc").expect("processes").filter_map(Result::ok);
        let of_copy = running
            .filter(|process| std::fs::read_link(process.path().join("exe")).is_ok_and(|exe| exe == copy));
        max_count.set(max_count.get().max(of_copy.count()));
    };
    let result = run("another build", &drill, &options, &stop, &count_processes).expect("the drill runs");
    assert!(result.report.verdict.violations.is_empty(), "{}", result.report.text());
    assert_eq!(max_count.get(), 2);
    assert!(result.recording.gossip_bytes > 1_000, "no gossip was sent");
}

#[test]
fn a_drill_that_is_cut_short_leaves_no_process_behind() {
    let _guard = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cut-short");
    let options = RunOptions {
        seed: 1,
        binary: balancer_binary(),
        folder: Some(folder.clone()),
        ..RunOptions::default()
    };
    let stop = AtomicBool::new(false);
    let stop_early = |fraction: f64| stop.store(fraction > 0.02, Ordering::Relaxed);
    let drill = drill(7, 60.0, "60s", "");
    let result = run("cut short", &drill, &options, &stop, &stop_early).expect("the drill runs");
    assert!(
        result.report.cut_short && result.report.verdict.violations.is_empty(),
        "{}",
        result.report.text()
    );
    // Each process has its folder in its command line.
    let mut left = Vec::new();
    for process in std::fs::read_dir("/proc").expect("processes").filter_map(Result::ok) {
        let line = std::fs::read(process.path().join("cmdline")).unwrap_or_default();
        if String::from_utf8_lossy(&line).contains(&*folder.to_string_lossy()) {
            left.push(process.path());
        }
    }
    assert!(left.is_empty(), "left behind: {left:?}");
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_program_that_never_gets_ready_is_reported_with_the_end_of_its_log() {
    let drill = drill(6, 60.0, "2s", "");
    let options = RunOptions {
        seed: 1,
        binary: balancer_binary(),
        serve_args: vec!["--nonsense".into()],
        ..RunOptions::default()
    };
    let error = run("nonsense", &drill, &options, &AtomicBool::new(false), &|_| {}).err().expect("an error");
    assert!(error.contains("does not get ready") && error.contains("--nonsense"), "{error}");
}

#[test]
fn errors_in_a_file_are_reported_with_their_place() {
    let parse_error = |from: &str, to: &str| {
        let faults = "[[faults]]\nat = \"1s\"\nlasts = \"1s\"\nwhat = \"stop\"\nwho = \"balancers\"";
        let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../drills/calm.toml"));
        let text = format!("{}{faults}\n", text.expect("a drill"));
        assert!(text.contains(from), "{from}");
        Drill::parse(&text.replace(from, to)).expect_err(to)
    };
    let error = parse_error("notice", "notise");
    assert!(
        error.contains("line 20, column 1") && error.contains("nearest right name is `notice`"),
        "{error}"
    );
    let error = parse_error("\"stop\"", "\"stpo\"");
    assert!(error.contains("line") && error.contains("nearest right name is `stop`"), "{error}");
    let error = parse_error("who = \"balancers\"", "whom = \"balancers\"");
    assert!(error.contains("line") && error.contains("nearest right name is `who`"), "{error}");
    let error = parse_error("who = \"balancers\"", "who = \"balancers:30\"");
    assert!(error.contains("faults.0 (stop): 30-30: there are 24"), "{error}");
    let error = parse_error("lasts = \"1s\"\nwhat", "what");
    assert!(error.contains("faults.0 (stop): `lasts` is required"), "{error}");
}

/// Guards against drill files of this repository that have become invalid.
#[test]
fn all_drills_of_the_repository_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../drills");
    let files = std::fs::read_dir(folder).expect("drills").filter_map(|file| Some(file.ok()?.path()));
    let files: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|end| end == "toml")).collect();
    assert!(files.len() >= 16, "{}", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a file");
        Drill::parse(&text).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    }
}
