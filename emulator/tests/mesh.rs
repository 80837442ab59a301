//! The mesh in simulated time: the same seed gives the same run, the auditor detects a defective core, and load grows with
//! the size as expected.

use ochreshed_consensus::core::Mutation;
use ochreshed_emulator::mesh::report::sweep_text;
use ochreshed_emulator::mesh::scenario::Scenario;
use ochreshed_emulator::mesh::simulation::simulate;

fn scenario(name: &str, change: impl FnOnce(&mut Scenario)) -> Scenario {
    let file = format!("{}/../rehearsals/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let mut scenario = Scenario::parse(&std::fs::read_to_string(file).expect("a file")).expect("a scenario");
    (scenario.nodes, scenario.settling_time, scenario.duration) = (9, 5_000_000_000, 12_000_000_000);
    change(&mut scenario);
    scenario
}

/// Guards against dependence on hash map order, clocks or system entropy.
#[test]
fn reports_depend_on_the_seed_alone() {
    let cut = scenario("mesh-cut", |cut| cut.link.loss = 0.01);
    let text = |seed| serde_json::to_string(&simulate(&cut, seed, None)).expect("json");
    assert_eq!(text(1), text(1));
    assert_ne!(text(1), text(2));
}

/// Guards against an auditor that finds nothing: a core that takes half of the voters for a majority grants keys twice
/// during a partition.
#[test]
fn the_auditor_detects_a_defective_core_and_accepts_a_correct_one() {
    let day = scenario("mesh-cut", |day| {
        (day.leases.per_s, day.leases.repeat_fraction) = (20.0, 0.7);
        for (trouble, at) in day.faults.iter_mut().zip([1, 4, 8]) {
            (trouble.starts_at, trouble.duration) = (at * 1_000_000_000, 2_000_000_000);
        }
    });
    let whole = simulate(&day, 1, None);
    assert_eq!(whole.violations, Vec::<String>::new());
    assert!(whole.checks.iter().all(|looks| *looks > 20), "{:?}", whole.checks);
    let broken = simulate(&day, 1, Some(Mutation::TakeHalfForMajority));
    assert!(broken.violations.iter().any(|breach| breach.contains("granted")), "{:?}", broken.violations);
}

/// Guards against updates that do not reach all attendants, and against steward load that grows faster than the mesh.
#[test]
fn updates_reach_all_attendants_at_each_size() {
    let of = |nodes| {
        simulate(
            &scenario("mesh-calm", |calm| {
                calm.nodes = nodes;
                calm.upstreams.turnovers_per_h = 300.0;
                calm.faults
                    .iter_mut()
                    .for_each(|trouble| (trouble.count, trouble.duration) = (2, 4_000_000_000));
            }),
            1,
            None,
        )
    };
    let reports = [of(6), of(24)];
    for report in &reports {
        let news = [&report.drain, &report.failure, &report.configuration];
        assert!(news.iter().all(|curve| curve.count > 0 && curve.unfinished == 0), "{}", report.text());
        assert!(report.drain.max < 1.0 && report.configuration.max < 1.5, "{}", report.text());
        assert!((1.0..2.6).contains(&report.failure.max), "{}", report.text());
        assert!(report.violations.is_empty());
    }
    assert!(reports[1].processor.mean < 4.0 * reports[0].processor.mean, "{}", sweep_text(&reports));
}
