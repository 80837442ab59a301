//! Simulations of whole scenarios: the same seed gives the same run, the policy keeps the rules in each scenario file, the
//! auditor detects each rule that is violated on purpose, and naive retries multiply by tier.

use ochreshed_emulator::routing::RoutingPolicy;
use ochreshed_emulator::scenario::Scenario;
use ochreshed_emulator::simulation::{simulate, trace_request};

const SCENARIO_FILES: [&str; 9] = [
    include_str!("../../rehearsals/calm.toml"),
    include_str!("../../rehearsals/crashes.toml"),
    include_str!("../../rehearsals/deploy.toml"),
    include_str!("../../rehearsals/fast-errors.toml"),
    include_str!("../../rehearsals/lost-site.toml"),
    include_str!("../../rehearsals/resets.toml"),
    include_str!("../../rehearsals/retry-storm.toml"),
    include_str!("../../rehearsals/slowdown.toml"),
    include_str!("../../rehearsals/tired.toml"),
];

fn parse(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|why| panic!("{why}"))
}

#[test]
fn the_policy_keeps_the_rules_in_each_scenario_file() {
    for text in SCENARIO_FILES {
        let day = simulate(&parse(text), RoutingPolicy::Module, 3);
        assert!(
            day.violations.is_empty(),
            "{}: {:?}",
            text.lines().next().unwrap_or_default(),
            day.violations
        );
        assert!(day.sends.iter().all(|sends| *sends <= 1.1), "{:?} sends a req", day.sends);
    }
}

#[test]
fn a_seed_gives_the_same_run_on_any_thread() {
    let scenario = parse(SCENARIO_FILES[3]);
    let first = simulate(&scenario, RoutingPolicy::Module, 5);
    let again = std::thread::scope(|scope| {
        let beside = [5, 6].map(|seed| {
            scope.spawn({
                let scenario = &scenario;
                move || simulate(scenario, RoutingPolicy::Module, seed)
            })
        });
        beside.map(|day| day.join().expect("a day"))
    });
    assert_eq!(first, again[0]);
    assert_ne!(first, again[1]);
}

/// One tier with frequent failures, in which every server is replaced.
const FAILING_SCENARIO: &str = r#"
lasts = "25s"
clients = { per_s = 100.0, instances = 3 }
network = { within = { kind = "fixed", mean = "1ms" }, between = { kind = "fixed", mean = "2ms" } }
list = { delay = { kind = "fixed", mean = "300ms" } }
[[rule_sets]]
name = "read"
effect = "replayable"
part = 1.0
response_target = "1s"
client_timeout = "3s"
[[rule_sets]]
name = "post"
effect = "non-replayable"
part = 1.0
response_target = "1s"
client_timeout = "3s"
[[tiers]]
name = "only"
srvs = 6
slots = 8
room = 400
work = { kind = "exponential", mean = "150ms" }
cold = { share = 0.1, lasts = "20s" }
failing = 0.1
[[troubles]]
what = "deploy"
tier = "only"
at = "3s"
lasts = "15s"
"#;

#[test]
fn the_auditor_detects_each_violated_rule_by_its_number() {
    let scenario = parse(FAILING_SCENARIO);
    let kept = simulate(&scenario, RoutingPolicy::Module, 1);
    assert!(kept.violations.is_empty(), "{:?}", kept.violations);
    for rule in 1..=4u8 {
        let day = simulate(&scenario, RoutingPolicy::ViolatesRule(rule), 1);
        let of = format!("rule {rule} ");
        assert!(
            day.violations.iter().any(|breach| breach.starts_with(&of)),
            "rule {rule} is not seen broken"
        );
        let violation = day.violations.iter().find(|breach| breach.starts_with(&of)).expect("seen");
        assert!(violation.contains("taken"), "no life of the req: {violation}");
        // Sending everything to one server also makes answers late; the others violate only their own rule.
        let other = day.violations.iter().find(|breach| !breach.starts_with(&of));
        assert!(rule == 4 || other.is_none(), "rule {rule}: {other:?}");
    }
}

#[test]
fn naive_retries_multiply_by_tier_and_budgeted_ones_do_not() {
    let tier = |name: &str, failing: f64| {
        format!(
            "[[tiers]]\nname = \"{name}\"\nsrvs = 8\nslots = 200\nroom = 200\nfailing = {failing:.1}\n\
             work = {{ kind = \"fixed\", mean = \"2ms\" }}\n"
        )
    };
    let text = format!(
        "lasts = \"10s\"\nclients = {{ per_s = 100.0, instances = 4 }}\n\
         network = {{ within = {{ kind = \"fixed\", mean = \"1ms\" }}, between = {{ kind = \"fixed\", mean = \"1ms\" }} }}\n\
         list = {{ delay = {{ kind = \"fixed\", mean = \"100ms\" }} }}\n\
         [[rule_sets]]\nname = \"read\"\neffect = \"replayable\"\npart = 1.0\nresponse_target = \"2s\"\n\
         client_timeout = \"9s\"\n{}{}{}",
        tier("a", 0.0),
        tier("b", 0.0),
        tier("c", 1.0)
    );
    let scenario = parse(&text);
    let naive = simulate(&scenario, RoutingPolicy::Random { tries: 4 }, 1);
    // Four attempts at each of three tiers: 64 at the last one per client request.
    assert!(naive.sends.iter().all(|sends| (sends - 4.0).abs() < 0.01), "{:?}", naive.sends);
    let module = simulate(&scenario, RoutingPolicy::Module, 1);
    // The retry budget: 10%, and one retry in 10 s at each of the eight balancers of the last tier.
    assert!(module.sends.iter().all(|sends| *sends <= 1.1 + 16.0 / 1_000.0), "{:?}", module.sends);
    assert!(naive.violations.is_empty() && module.violations.is_empty());
}

#[test]
fn faults_lower_the_score() {
    let day = |trouble: &str| {
        let text = FAILING_SCENARIO[..FAILING_SCENARIO.find("[[troubles]]").expect("its troubles")]
            .replace("failing = 0.1", "failing = 0.0");
        let trouble = trouble.replace("IT", "tier = \"only\"\nat = \"8s\"\nlasts = \"8s\"");
        simulate(&parse(&format!("{text}{trouble}")), RoutingPolicy::Random { tries: 1 }, 2)
    };
    let calm = day("");
    assert!(calm.score > 0.98, "{calm:?}");
    for (trouble, most) in [
        ("[[troubles]]\nwhat = \"resets\"\npart = 0.5\nIT", 0.90),
        ("[[troubles]]\nwhat = \"slow\"\ntimes = 20.0\nIT", 0.80),
        ("[[troubles]]\nwhat = \"burst\"\ntimes = 8.0\nIT", 0.80),
        ("[[troubles]]\nwhat = \"pause\"\nsrvs = 3\nIT", 0.92),
        ("[[troubles]]\nwhat = \"fast-errors\"\nsrvs = 3\nIT", 0.90),
        ("[[troubles]]\nwhat = \"crash\"\nsrvs = 3\nIT", calm.score),
    ] {
        let day = day(trouble);
        assert!(day.score < most && day.violations.is_empty(), "{trouble}: {day:?}");
    }
    // A paused server has to work off its queue; a crash leaves no queue.
    let recovery = |trouble| day(trouble).recovery[0];
    let (paused, crashed) = (
        recovery("[[troubles]]\nwhat = \"pause\"\nsrvs = 6\nIT"),
        recovery("[[troubles]]\nwhat = \"crash\"\nsrvs = 3\nIT"),
    );
    assert!(crashed == Some(0) && paused != Some(0), "{crashed:?} {paused:?}");
    // While discovery is down, instances do not learn of replaced servers, and sending to them violates no rule.
    let deploy = "[[troubles]]\nwhat = \"deploy\"\nIT\n";
    let (told, untold) = (day(deploy), day(&format!("{deploy}[[troubles]]\nwhat = \"list-down\"\nIT")));
    assert!(untold != told && untold.violations.is_empty());
}

#[test]
fn a_trace_shows_the_history_of_a_request() {
    let scenario = parse(FAILING_SCENARIO);
    let histories = (1..40)
        .map(|id| trace_request(&scenario, RoutingPolicy::Module, 1, id))
        .filter(|history| !history.is_empty());
    let histories: Vec<Vec<String>> = histories.collect();
    assert!(histories.len() > 10);
    for history in histories {
        let all = history.join("\n");
        let (taken, over) = (all.contains("taken by instance"), ["Done", "Denied", "Aborted"]);
        assert!(
            taken && over.iter().filter(|end| history.last().is_some_and(|l| l.ends_with(*end))).count() == 1,
            "{all}"
        );
    }
}

#[test]
fn errors_in_a_scenario_file_name_the_place() {
    let wrong =
        |from: &str, to: &str| Scenario::parse(&FAILING_SCENARIO.replace(from, to)).expect_err("it is wrong");
    let unknown = wrong("slots = 8", "slotts = 8");
    assert!(
        unknown.contains("slotts") && unknown.contains("line 21") && unknown.contains("slots"),
        "{unknown}"
    );
    let unit = wrong("\"150ms\"", "\"150\"");
    assert!(unit.contains("line 23") && unit.contains("no span"), "{unit}");
    let both = wrong("tier = \"only\"", "tier = \"none\"").replace("failing", "");
    assert!(both.contains("no tier none"), "{both}");
    let two = Scenario::parse(
        &FAILING_SCENARIO.replace("failing = 0.1", "failing = 1.5").replace("part = 1.0", "part = 0.0"),
    );
    assert_eq!(two.expect_err("three errors").lines().count(), 3);
    let with = |path, value| {
        Scenario::with_override(FAILING_SCENARIO, path, value).map(|text| parse(&text).tiers[0].slots)
    };
    assert_eq!((with("tiers.0.slots", "3"), with("lasts", "9s")), (Ok(3), Ok(8)));
    assert_eq!(with("tiers.1.slots", "3"), Err("tiers.1.slots: there is no 1".into()));
}

/// With gossip, all balancers learn of a drain soon after the first one did, not after their own discovery delay.
#[test]
fn gossip_spreads_a_drain_before_discovery_does() {
    let text = include_str!("../../rehearsals/news.toml");
    let speaking = Scenario::parse(text).expect("a scenario");
    let alone = Scenario { gossip: None, ..speaking.clone() };
    let heeded = |scenario: &Scenario| simulate(scenario, RoutingPolicy::Module, 1).propagation;
    let (speaking, alone) = (heeded(&speaking), heeded(&alone));
    assert_eq!((speaking.changes, alone.changes), (6, 6));
    assert!(speaking.all_s < 1.0 && alone.all_s > 3.0, "{speaking:?}, {alone:?}");
}
