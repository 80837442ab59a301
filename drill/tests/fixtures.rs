//! Freezes what leaves the program: the keys and values of drill files, the command-line options, the report's JSON and
//! text, and the lines of a trace.

use std::path::Path;
use std::process::{Command, Output};

use ochreshed_drill::audit::{self, Verdict, Violation};
use ochreshed_drill::drill_file::Drill;
use ochreshed_drill::event_log::{AttemptOutcome, Event, ProcessChange};
use ochreshed_drill::metrics::{CallCounts, Metrics, ObservedFault, ProcessUsage};
use ochreshed_drill::report::Report;
use ochreshed_drill::runner::Recording;
use ochreshed_emulator::{MS, S};

#[test]
fn every_key_and_value_of_a_drill_file_is_read() {
    let drill = Drill::parse(include_str!("fixtures/every_key.toml")).expect("a valid drill file");
    assert_eq!(
        (drill.duration, drill.live.failure_detection_delay, drill.live.slow_start_window),
        (20 * S, 3 * S, S)
    );
    assert_eq!((drill.live.drain_grace, drill.live.discovery_call_timeout), (250 * MS, 2 * S));
    assert!(drill.live.gossip && drill.live.snapshots && drill.live.other_build.is_some());
    assert_eq!(drill.faults.len(), 21);
    let names: Vec<&str> = drill.faults.iter().map(|fault| fault.kind.name()).collect();
    let expected = "kill roll kill kill crash-loop stop duty link link link link link link srvs drain discovery \
                    discovery discovery discovery discovery load";
    assert_eq!(names.join(" "), expected);
    assert!(drill.faults[1].duration == S && drill.faults[0].duration == 0);
}

fn run_program(args: &[&str]) -> Output {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed-drill"));
    command.current_dir(folder).args(args).output().expect("the program runs")
}

#[test]
fn every_option_is_accepted_and_an_unknown_one_is_not() {
    let options = "--seed 2 --seeds 1..2 --json j --html h --trace 2a --lost 1 --a x --b y --bin z --other o \
                   --settings drill/tests/fixtures/settings.json --fleet both --snapshots a --serve words \
                   --keep folder --set clients.per_s=500";
    let mut args: Vec<&str> = options.split_whitespace().collect();
    args.extend(["check", "drills/calm.toml"]);
    let output = run_program(&args);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(run_program(&["--nonsense"]).status.code(), Some(1));
    assert_eq!(run_program(&["--fleet", "c", "check", "drills/calm.toml"]).status.code(), Some(1));
    let help = run_program(&["help"]);
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let named = options.split_whitespace().filter(|word| word.starts_with("--"));
    named.for_each(|option| assert!(help.contains(option), "{option}"));
    for command in ["list", "check", "run", "compare", "simulate"] {
        assert!(help.contains(&format!("ochreshed-drill {command}")), "{command}");
    }
    assert!(run_program(&["list"]).status.success());
    assert_eq!(run_program(&["run", "drills/calm.toml", "--bin", "missing"]).status.code(), Some(1));
}

fn report() -> Report {
    let counts = |made| CallCounts { made, in_target: 3 };
    // All numbers differ, so that the test detects swapped fields.
    let metrics = Metrics {
        calls: 40,
        in_target: 3,
        late: 11,
        denied: 12,
        aborted: 13,
        connection_lost: 14,
        not_connected: 15,
        timed_out: 16,
        service: 0.125,
        service_before_faults: 0.25,
        worst_half_second_service: 0.375,
        worst_half_second_at_s: 0.5,
        time_to_full_service_s: 0.625,
        bad_half_seconds: 17,
        full_service_after_last_fault_s: Some(1.5),
        by_half_second: vec![counts(4)],
        by_zone: [("a".to_owned(), counts(5))].into(),
        zone_by_half_second: [("a".to_owned(), vec![counts(8)])].into(),
        by_region: [("west".to_owned(), counts(6))].into(),
        region_by_half_second: [("west".to_owned(), vec![counts(9)])].into(),
        by_rule_set: [("quote".to_owned(), counts(7))].into(),
        rule_set_by_half_second: [("quote".to_owned(), vec![counts(10)])].into(),
        p50_ms: 1.75,
        p99_ms: 2.875,
        dispatches_per_request: 4.0,
        same_zone_share: 5.125,
        peak_over_mean: 6.25,
        peak_at_s: 7.375,
        gossip_bytes_per_s: 8.5,
        departure_heeded_p99_s: 9.625,
        ready_ms_mean: 10.75,
        ready_ms_max: 11.875,
        cpu_share_mean: 13.0,
        cpu_share_max: 14.125,
        task_lag_ms: 15.25,
        dispatches: 18,
        rejected_dispatches: 19,
        failed_dispatches: 20,
        connections: 21,
        discovery_calls: 22,
        departures: 23,
        dispatches_after_departure: 24,
        missing: 25,
        lost_to_faults: 26,
        memory_kb_max: 27,
        descriptors_max: 28,
        events_lost: 29,
        peak_by_second: vec![31.5],
        connections_by_second: vec![51],
        discovery_calls_by_second: vec![52],
        process_usage: vec![ProcessUsage { memory_kb: 1, descriptors: 2, cpu_share: 0.5 }],
        faults: vec![ObservedFault { name: "kill".into(), at_s: 1.0, until_s: Some(2.0) }],
    };
    let violation = Violation {
        rule: 2,
        at_s: 1.25,
        id: "2a".into(),
        description: "two dispatches at once".into(),
        timeline: vec!["   0.0000 s  client asks balancer 0".into()],
    };
    let verdict = Verdict { violations: vec![violation], lost_to_faults: 61, missing: 62 };
    let (file, description) = ("drills/calm.toml".to_owned(), "nothing happens".to_owned());
    Report { file, description, seed: 7, cut_short: true, metrics, verdict }
}

#[test]
fn the_report_keeps_its_json_and_its_text() {
    let mut report = report();
    assert_eq!(report.json().expect("JSON").trim(), include_str!("fixtures/report.json").trim());
    assert_eq!(report.text().trim(), include_str!("fixtures/report.txt").trim());
    let html = report.html();
    for text in ["Served within target, by half second of the call", "<tr><td>zone a<td>5<td>3<td>0.600"] {
        assert!(html.contains(text), "{text}: {html}");
    }
    report.verdict.violations.clear();
    assert!(report.text().ends_with("rules kept\n"), "{}", report.text());
}

#[test]
fn a_trace_keeps_its_lines() {
    let outcomes = [
        AttemptOutcome::Denied,
        AttemptOutcome::Aborted,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::NotConnected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Succeeded,
    ];
    let mut entries = Vec::new();
    for (number, outcome) in outcomes.into_iter().enumerate() {
        let (id, at) = (0x100 + number as u64, (10 + number as u64) * S);
        let (call, rule_set, balancer, is_retry, budget) = (1, 0, 0, number > 0, S);
        entries.push((
            at,
            Event::RequestSent { id, call, rule_set, balancer, is_retry, budget, intended_at: at },
        ));
        entries.push((
            at + MS,
            Event::DispatchSent { id, balancer, server: 1, connection: id, first_byte_at: at + MS },
        ));
        entries.push((at + 2 * MS, Event::DispatchWritten { connection: id }));
        entries.push((at + 3 * MS, Event::ExecutionStarted { id, server: 1 }));
        let answered = Event::DispatchAnswered { connection: id, status: 503, rejected: number > 0 };
        let closed = Event::ConnectionClosed { connection: id };
        entries.push((at + 4 * MS, if number == 2 { closed } else { answered }));
        entries.push((at + 5 * MS, Event::AttemptEnded { id, outcome }));
    }
    let changes = [
        ProcessChange::Started,
        ProcessChange::Ready,
        ProcessChange::NeverReady,
        ProcessChange::Killed,
        ProcessChange::TerminationRequested,
        ProcessChange::Exited(Some(3)),
        ProcessChange::Exited(None),
        ProcessChange::Suspended,
        ProcessChange::Resumed,
    ];
    for (number, change) in changes.into_iter().enumerate() {
        entries.push((11 * S + number as u64 * 100 * MS, Event::Process { balancer: 0, change }));
    }
    for (at, begins) in [(12, true), (13, false)] {
        entries.push((at * S + 500 * MS, Event::Fault { index: 0, begins, name: "stop".into() }));
    }
    let drill = Drill::parse(include_str!("fixtures/every_key.toml")).expect("a valid drill file");
    let attempts = audit::attempts(&entries);
    let recording = Recording {
        entries,
        events_lost: 0,
        parties: drill.parties(),
        started_at: 10 * S,
        ended_at: 20 * S,
        task_lag: Vec::new(),
        usage: Vec::new(),
        gossip_bytes: 0,
        cut_short: false,
    };
    let lines = audit::trace(&recording, &attempts, 0x100).join("\n");
    assert_eq!(lines.trim_end(), include_str!("fixtures/trace.txt").trim_end());
}
