//! Freezes what leaves the program: the keys and values of drill files, the command-line options, the report's JSON and
//! text, and the lines of a trace.

use std::path::Path;
use std::process::{Command, Output};

use ochreshed_drill::audit::{self, Breach, Verdict};
use ochreshed_drill::figures::{FaultSeen, Figures, Served, Took};
use ochreshed_drill::file::Drill;
use ochreshed_drill::log::{Answer, Event, Process};
use ochreshed_drill::play::Play;
use ochreshed_drill::report::Report;
use ochreshed_emulator::{MS, S};

#[test]
fn every_key_and_value_of_a_drill_file_is_read() {
    let drill = Drill::parse(include_str!("fixtures/every_key.toml")).expect("a valid drill file");
    assert_eq!((drill.lasts, drill.live.notice, drill.live.cold_span), (20 * S, 3 * S, S));
    assert_eq!((drill.live.drain_grace, drill.live.call_timeout), (250 * MS, 2 * S));
    assert!(drill.live.fleet && drill.live.snapshots && drill.live.other.is_some());
    assert_eq!(drill.faults.len(), 21);
    let names: Vec<&str> = drill.faults.iter().map(|fault| fault.what.name()).collect();
    let expected = "kill roll kill kill crash-loop stop duty link link link link link link srvs drain discovery \
                    discovery discovery discovery discovery load";
    assert_eq!(names.join(" "), expected);
    assert!(drill.faults[1].lasts == S && drill.faults[0].lasts == 0);
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
    let served = |asked| Served { asked, in_target: 3 };
    // Each number is another one, so that none can take another's place.
    let figures = Figures {
        calls: 40,
        in_target: 3,
        late: 11,
        denied: 12,
        aborted: 13,
        broken: 14,
        not_taken: 15,
        nothing: 16,
        service: 0.125,
        service_before: 0.25,
        worst_half_s: 0.375,
        worst_half_at_s: 0.5,
        full_service_s: 0.625,
        bad_half_s: 17,
        full_service_after_end_s: Some(1.5),
        by_half_s: vec![served(4)],
        by_zone: [("a".to_owned(), served(5))].into(),
        zone_by_half_s: [("a".to_owned(), vec![served(8)])].into(),
        by_region: [("west".to_owned(), served(6))].into(),
        region_by_half_s: [("west".to_owned(), vec![served(9)])].into(),
        by_rule_set: [("quote".to_owned(), served(7))].into(),
        rule_set_by_half_s: [("quote".to_owned(), vec![served(10)])].into(),
        p50_ms: 1.75,
        p99_ms: 2.875,
        sends_a_req: 4.0,
        near: 5.125,
        peak_over_mean: 6.25,
        peak_at_s: 7.375,
        fleet_bytes_per_s: 8.5,
        heeded_by_99_s: 9.625,
        ready_ms_mean: 10.75,
        ready_ms_most: 11.875,
        cpu_share_mean: 13.0,
        cpu_share_most: 14.125,
        lag_ms: 15.25,
        sends: 18,
        turned_away: 19,
        failed_sends: 20,
        connections: 21,
        list_calls: 22,
        departures: 23,
        unheeded_sends: 24,
        missing: 25,
        lost_with_faults: 26,
        memory_kb_most: 27,
        descriptors_most: 28,
        events_lost: 29,
        peak_by_s: vec![31.5],
        connections_by_s: vec![51],
        list_calls_by_s: vec![52],
        processes: vec![Took { memory_kb: 1, descriptors: 2, cpu_share: 0.5 }],
        faults: vec![FaultSeen { what: "kill".into(), at_s: 1.0, until_s: Some(2.0) }],
    };
    let breach = Breach {
        rule: 2,
        at_s: 1.25,
        id: "2a".into(),
        what: "two dispatches at once".into(),
        life: vec!["   0.0000 s  client asks balancer 0".into()],
    };
    let verdict = Verdict { breaches: vec![breach], lost_with_faults: 61, missing: 62 };
    let (file, about) = ("drills/calm.toml".to_owned(), "nothing happens".to_owned());
    Report { file, about, seed: 7, cut_short: true, figures, verdict }
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
    report.verdict.breaches.clear();
    assert!(report.text().ends_with("rules kept\n"), "{}", report.text());
}

#[test]
fn a_trace_keeps_its_lines() {
    let answers =
        [Answer::Denied, Answer::Aborted, Answer::Broken, Answer::NotTaken, Answer::Nothing, Answer::Done];
    let mut entries = Vec::new();
    for (number, answer) in answers.into_iter().enumerate() {
        let (id, at) = (0x100 + number as u64, (10 + number as u64) * S);
        let (call, set, balancer, again, budget) = (1, 0, 0, number > 0, S);
        entries.push((at, Event::Asked { id, call, set, balancer, again, budget, intended: at }));
        entries.push((at + MS, Event::Sent { id, balancer, srv: 1, connection: id, first: at + MS }));
        entries.push((at + 2 * MS, Event::Whole { connection: id }));
        entries.push((at + 3 * MS, Event::Ran { id, srv: 1 }));
        let back = Event::Back { connection: id, status: 503, rejected: number > 0 };
        let ended = Event::Ended { connection: id };
        entries.push((at + 4 * MS, if number == 2 { ended } else { back }));
        entries.push((at + 5 * MS, Event::Answered { id, answer }));
    }
    let process = [
        Process::Started,
        Process::Ready,
        Process::NeverReady,
        Process::Killed,
        Process::Asked,
        Process::Ended(Some(3)),
        Process::Ended(None),
        Process::Stopped,
        Process::GoesOn,
    ];
    for (number, how) in process.into_iter().enumerate() {
        entries.push((11 * S + number as u64 * 100 * MS, Event::Process { balancer: 0, how }));
    }
    for (at, begins) in [(12, true), (13, false)] {
        entries.push((at * S + 500 * MS, Event::Fault { number: 0, begins, what: "stop".into() }));
    }
    let drill = Drill::parse(include_str!("fixtures/every_key.toml")).expect("a valid drill file");
    let lives = audit::lives(&entries);
    let play = Play {
        entries,
        lost: 0,
        parties: drill.parties(),
        from: 10 * S,
        until: 20 * S,
        lag: Vec::new(),
        usage: Vec::new(),
        fleet_bytes: 0,
        cut_short: false,
    };
    let lines = audit::trace(&play, &lives, 0x100).join("\n");
    assert_eq!(lines.trim_end(), include_str!("fixtures/trace.txt").trim_end());
}
