//! Short drills with a few processes of the program: whatever the faults, each req gets its final answer, none has a double
//! effect, nothing goes to a drained srv, and cold srvs' budgets hold over all processes together. How well reqs are served
//! is held only where no busy machine can spoil it.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

use ochreshed_drill::file::Drill;
use ochreshed_drill::log::{Event, Process};
use ochreshed_drill::play::Options;
use ochreshed_drill::{Played, beside, run};

/// One drill at a time: they share the machine's cores with each other's processes.
static ALONE: Mutex<()> = Mutex::new(());

/// The program, built as it stands now: cargo does not do that for the tests of another package.
fn program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let mut cargo = Command::new(env!("CARGO"));
        cargo.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join(".."));
        let built = cargo.args(["build", "--quiet", "--locked", "-p", "ochreshed-balancer"]).status();
        assert!(built.expect("cargo").success(), "the program can't be built");
        beside().expect("the program")
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
    Drill::parse(&text).unwrap_or_else(|why| panic!("{why}\n{text}"))
}

fn played(name: &str, drill: &Drill) -> Played {
    played_with(name, drill, false)
}

fn played_with(name: &str, drill: &Drill, fleet: bool) -> Played {
    played_by(name, drill, Options { fleet, ..Options::default() })
}

fn played_by(name: &str, drill: &Drill, options: Options) -> Played {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let options = Options { seed: 1, binary: program(), ..options };
    let played = run(name, drill, &options, &AtomicBool::new(false), &|_| {}).expect("played");
    let text = played.report.text();
    assert!(played.report.verdict.breaches.is_empty(), "{text}");
    assert!(played.report.figures.calls > 100 && played.report.figures.sends > 100, "{text}");
    assert_eq!(played.report.figures.events_lost, 0);
    played
}

fn processes(played: &Played, how: &Process) -> usize {
    let of = |event: &Event| matches!(event, Event::Process { how: seen, .. } if seen == how);
    played.play.entries.iter().filter(|(_, event)| of(event)).count()
}

#[test]
fn rules_are_kept_when_most_are_killed_and_come_back_with_an_old_list() {
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
    let played = played("killed", &drill(9, 120.0, "6s", faults));
    assert_eq!(processes(&played, &Process::Killed), 6, "7 of 10 of nine, rounded");
    assert_eq!(processes(&played, &Process::Ready), 9 + 6);
}

#[test]
fn rules_are_kept_through_cuts_of_a_zone_there_and_back() {
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
    let played = played("cuts", &drill(6, 100.0, "7s", faults));
    let cut =
        played.lives.iter().flat_map(|life| &life.dispatches).filter(|dispatch| dispatch.back.is_none());
    assert!(cut.count() > 0, "no dispatch met a cut");
}

#[test]
fn rules_are_kept_while_half_are_told_of_drains_and_srvs_return_cold() {
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
    let played = played("drains", &drill(6, 120.0, "7s", faults));
    let turned_away =
        |dispatch: &&ochreshed_drill::audit::Dispatch| matches!(dispatch.back, Some((_, 503, true)));
    let dispatches = played.lives.iter().flat_map(|life| &life.dispatches);
    assert!(dispatches.filter(turned_away).count() > 0, "nobody met a srv that drains unknown to it");
    let cold =
        played.play.entries.iter().filter(|(_, event)| matches!(event, Event::Arrived { cold: true, .. }));
    assert!(cold.count() > 0, "no cold srv was sent anything");
}

#[test]
fn rules_are_kept_while_some_stand_still_some_crash_and_all_restart() {
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
    let played = played("restarts", &drill(6, 90.0, "10s", faults));
    assert_eq!(processes(&played, &Process::Asked), 6);
    assert!(processes(&played, &Process::Killed) >= 2 && processes(&played, &Process::Stopped) >= 3);
}

/// Sends to srvs that drain, later than this after they were told to one balancer only, and turned away there.
fn turned_away_after(played: &Played, span: u64) -> usize {
    let begun =
        |(at, event): &(u64, Event)| matches!(event, Event::Fault { begins: true, .. }).then_some(*at);
    let begun = played.play.entries.iter().find_map(begun).expect("a fault");
    let late = |dispatch: &&ochreshed_drill::audit::Dispatch| {
        dispatch.first > begun + span && matches!(dispatch.back, Some((_, 503, true)))
    };
    played.lives.iter().flat_map(|life| &life.dispatches).filter(late).count()
}

const DRAIN_TOLD_TO_ONE: &str = r#"
    [[faults]]
    at = "2s"
    what = "drain"
    who = "srvs:0-1"
    told = "balancers:0""#;

#[test]
fn a_drain_told_to_one_is_heeded_by_all_that_speak_and_by_nobody_else() {
    let drill = drill(6, 90.0, "7s", DRAIN_TOLD_TO_ONE);
    // Two seconds and a half, where a fifth of one is usual: a busy machine is no reason to fail.
    let (alone, fleet) = (played("alone", &drill), played_with("fleet", &drill, true));
    let (alone, fleet) = (turned_away_after(&alone, 2_500_000_000), turned_away_after(&fleet, 2_500_000_000));
    assert!(fleet == 0 && alone > 0, "{fleet} with it, {alone} without");
}

#[test]
fn a_drain_passes_a_cut_once_that_is_healed_and_a_process_that_was_killed_hears_it_too() {
    let faults = format!(
        r#"{DRAIN_TOLD_TO_ONE}
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
    let played = played_with("cut fleet", &drill(6, 90.0, "9s", &faults), true);
    // The cut ends 3 s after it began; what is heard then goes on as without one.
    assert_eq!(turned_away_after(&played, 6_500_000_000), 0);
    assert!(turned_away_after(&played, 1_600_000_000) > 0, "it passed the cut");
}

#[test]
fn rules_are_kept_by_a_fleet_with_lossy_links_that_is_killed_and_stopped() {
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
    let played = played_with("lossy fleet", &drill(6, 90.0, "7s", faults), true);
    assert!(played.play.fleet_bytes > 1_000, "they do not speak");
}

#[test]
fn halves_of_a_fleet_that_hear_of_other_drains_agree_once_their_cut_is_healed() {
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
    let played = played_with("halves", &drill(6, 90.0, "9s", halves), true);
    assert!(turned_away_after(&played, 2_500_000_000) > 0, "it passed the cut");
    // Healed 3.5 s after the begin; each half hears of the other one's drain.
    assert_eq!(turned_away_after(&played, 6_500_000_000), 0);
}

/// Three srvs drain, all are told; then discovery is down, and these processes are killed and start with the list as it
/// stood before.
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
fn after_all_were_killed_nothing_goes_to_what_a_snapshot_knew_to_drain() {
    let drill = killed_after_drains("balancers", "kept");
    let snapshots = Options { snapshots: true, ..Options::default() };
    let (without, with) = (played("no snapshots", &drill), played_by("snapshots", &drill, snapshots));
    assert!(turned_away_after(&without, 2_200_000_000) > 0, "the old list does no harm here");
    assert_eq!(turned_away_after(&with, 2_200_000_000), 0);
    assert_eq!(processes(&with, &Process::Ready), 12);
}

#[test]
fn those_that_restart_hear_from_the_survivors_what_drains() {
    let drill = killed_after_drains("balancers:0-3", "lost");
    let played = played_with("survivors", &drill, true);
    // Discovery is down until 7 s.
    assert_eq!(turned_away_after(&played, 4_200_000_000), 0);
}

#[test]
fn snapshots_that_are_damaged_or_anothers_are_one_line_and_a_start_without() {
    for (stored, said) in [("damaged", "checksum is another"), ("foreign", "of fleet drill")] {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("snapshots-{stored}"));
        let options = Options { snapshots: true, folder: Some(folder.clone()), ..Options::default() };
        let played = played_by(stored, &killed_after_drains("balancers:0-5", stored), options);
        assert_eq!(processes(&played, &Process::Ready), 12);
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
fn a_second_mass_restart_in_the_middle_of_the_first_and_a_crash_loop_keep_the_rules() {
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
    let options = Options { fleet: true, snapshots: true, ..Options::default() };
    let played = played_by("again", &drill(6, 90.0, "7s", faults), options);
    assert!(processes(&played, &Process::Killed) >= 6 + 4 + 3);
    assert_eq!(played.report.figures.by_half_s.last().map(|half| half.asked > 0), Some(true));
}

#[test]
fn another_build_runs_where_the_file_says_and_speaks_with_the_rest() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let copy = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("another-build");
    std::fs::copy(program(), &copy).expect("a copy");
    let mut drill = drill(6, 60.0, "3s", "");
    drill.live.other = Some(ochreshed_drill::party::Who::parse("balancers:1, balancers:4").expect("two"));
    let options =
        Options { seed: 1, binary: program(), other: Some(copy.clone()), fleet: true, ..Options::default() };
    let (most, stop) = (std::cell::Cell::new(0), AtomicBool::new(false));
    let look = |_: f64| {
        let running = std::fs::read_dir("/proc").expect("processes").filter_map(Result::ok);
        let of_copy = running
            .filter(|process| std::fs::read_link(process.path().join("exe")).is_ok_and(|exe| exe == copy));
        most.set(most.get().max(of_copy.count()));
    };
    let played = run("another build", &drill, &options, &stop, &look).expect("played");
    assert!(played.report.verdict.breaches.is_empty(), "{}", played.report.text());
    assert_eq!(most.get(), 2);
    assert!(played.play.fleet_bytes > 1_000, "they do not speak");
}

#[test]
fn a_drill_cut_short_ends_with_all_its_processes_and_its_folder() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cut-short");
    let options = Options { seed: 1, binary: program(), folder: Some(folder.clone()), ..Options::default() };
    let stop = AtomicBool::new(false);
    let until = |part: f64| stop.store(part > 0.02, Ordering::Relaxed);
    let drill = drill(7, 60.0, "60s", "");
    let played = run("cut short", &drill, &options, &stop, &until).expect("played");
    assert!(played.report.cut_short && played.report.verdict.breaches.is_empty(), "{}", played.report.text());
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
fn a_program_that_never_gets_ready_is_said_with_its_last_words() {
    let drill = drill(6, 60.0, "2s", "");
    let options =
        Options { seed: 1, binary: program(), serve: vec!["--nonsense".into()], ..Options::default() };
    let why = run("nonsense", &drill, &options, &AtomicBool::new(false), &|_| {}).err().expect("not played");
    assert!(why.contains("does not get ready") && why.contains("--nonsense"), "{why}");
}

#[test]
fn what_a_file_has_wrong_is_named_with_its_place() {
    let wrong = |from: &str, to: &str| {
        let faults = "[[faults]]\nat = \"1s\"\nlasts = \"1s\"\nwhat = \"stop\"\nwho = \"balancers\"";
        let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../drills/calm.toml"));
        let text = format!("{}{faults}\n", text.expect("a drill"));
        assert!(text.contains(from), "{from}");
        Drill::parse(&text.replace(from, to)).expect_err(to)
    };
    let error = wrong("notice", "notise");
    assert!(
        error.contains("line 20, column 1") && error.contains("nearest right name is `notice`"),
        "{error}"
    );
    let error = wrong("\"stop\"", "\"stpo\"");
    assert!(error.contains("line") && error.contains("nearest right name is `stop`"), "{error}");
    let error = wrong("who = \"balancers\"", "whom = \"balancers\"");
    assert!(error.contains("line") && error.contains("nearest right name is `who`"), "{error}");
    let error = wrong("who = \"balancers\"", "who = \"balancers:30\"");
    assert!(error.contains("faults.0 (stop): 30-30: there are 24"), "{error}");
    let error = wrong("lasts = \"1s\"\nwhat", "what");
    assert!(error.contains("faults.0 (stop): has to last"), "{error}");
}

/// Guards against files of this repository that can't be played any more.
#[test]
fn all_drills_here_can_be_played() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../drills");
    let files = std::fs::read_dir(folder).expect("drills").filter_map(|file| Some(file.ok()?.path()));
    let files: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|end| end == "toml")).collect();
    assert!(files.len() >= 16, "{}", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a file");
        Drill::parse(&text).unwrap_or_else(|why| panic!("{}: {why}", file.display()));
    }
}
