//! Tests of the auditor: a balancer or server that breaks a rule on purpose is caught by that rule, and one that breaks none
//! is not. Only the rules found are checked, never times.

use std::sync::atomic::AtomicBool;

use ochreshed_drill::drill_file::Drill;
use ochreshed_drill::report::Report;
use ochreshed_drill::run;
use ochreshed_drill::runner::RunOptions;
use ochreshed_drill::server::ServerDefect;

const DRILL: &str = r#"
    lasts = "3s"
    clients = { per_s = 60.0, instances = 3 }
    network = { within = { kind = "fixed", mean = "100us" }, between = { kind = "fixed", mean = "200us" } }
    list = { delay = { kind = "fixed", mean = "10ms" } }
    live = { drain_grace = "200ms" }
    rule_sets = [
        { name = "quote", effect = "replayable", part = 1.0, response_target = "1s", client_timeout = "2s" },
        { name = "post", effect = "non-replayable", part = 1.0, response_target = "1s", client_timeout = "2s" },
    ]
    [[tiers]]
    name = "shop"
    srvs = 4
    slots = 30
    room = 500
    work = { kind = "fixed", mean = "100ms" }
    cold = { share = 0.1, lasts = "20s" }
"#;

fn run_rogue(violation: &str, server_defect: ServerDefect, faults: &str) -> Report {
    let drill = Drill::parse(&format!("{DRILL}{faults}")).expect("a valid drill");
    let binary = env!("CARGO_BIN_EXE_ochreshed-rogue").into();
    let serve_args = vec!["--break".to_owned(), violation.to_owned()];
    let options = RunOptions { seed: 1, binary, serve_args, server_defect, ..RunOptions::default() };
    run(violation, &drill, &options, &AtomicBool::new(false), &|_| {}).expect("the drill runs").report
}

fn assert_caught(violation: &str, faults: &str, rule: u8, text: &str) {
    let report = run_rogue(violation, ServerDefect::None, faults);
    let found =
        report.verdict.violations.iter().find(|found| found.rule == rule && found.description.contains(text));
    let found = found.unwrap_or_else(|| panic!("{violation} is not caught:\n{}", report.text()));
    assert!(rule == 0 || rule == 4 || !found.timeline.is_empty(), "no timeline of {}", found.description);
}

#[test]
fn a_balancer_that_keeps_the_rules_is_not_reported() {
    let report = run_rogue("nothing", ServerDefect::None, "");
    assert!(report.verdict.violations.is_empty(), "{}", report.text());
    let (calls, dispatches) = (report.metrics.calls, report.metrics.dispatches);
    assert!(calls > 100 && dispatches >= calls, "{calls} calls, {dispatches} dispatches: {}", report.text());
}

#[test]
fn a_missing_answer_is_caught() {
    assert_caught("loses", "", 1, "without an answer");
}

#[test]
fn a_late_answer_is_caught() {
    assert_caught("late", "", 1, "after its client's time");
}

#[test]
fn a_dispatch_after_the_answer_is_caught() {
    assert_caught("goes-on", "", 1, "after its end");
}

#[test]
fn concurrent_dispatches_are_caught() {
    assert_caught("at-once", "", 2, "two dispatches at once");
}

#[test]
fn a_non_replayable_request_sent_again_is_caught() {
    assert_caught("again", "", 2, "while it may have run");
}

#[test]
fn a_denial_of_an_executed_request_is_caught() {
    assert_caught("denies", "", 2, "denied, which says that it is safe");
}

#[test]
fn a_server_that_executes_a_request_twice_is_caught() {
    let report = run_rogue("nothing", ServerDefect::ExecutesTwice, "");
    let found = report
        .verdict
        .violations
        .iter()
        .any(|found| found.rule == 2 && found.description.contains("runs again"));
    assert!(found, "{}", report.text());
}

#[test]
fn a_dispatch_to_a_draining_server_is_caught() {
    assert_caught(
        "drained",
        "\n[[faults]]\nat = \"0s\"\nwhat = \"drain\"\nwho = \"srvs:2\"\n",
        3,
        "hearing that it leaves",
    );
}

#[test]
fn an_overload_of_a_server_in_slow_start_is_caught() {
    let restart = "\n[[faults]]\nat = \"100ms\"\nlasts = \"300ms\"\nwhat = \"srvs\"\nwho = \"srvs:1\"\n";
    assert_caught(
        "cold",
        &format!("{restart}\n[[faults]]\nat = \"1s\"\nwhat = \"load\"\ntimes = 8.0\n"),
        4,
        "to cold srv 1",
    );
}

#[test]
fn a_process_that_ends_by_itself_is_caught() {
    assert_caught("ends", "", 0, "ended by itself");
}
