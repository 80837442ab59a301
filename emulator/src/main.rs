//! Command line of the emulator. Every report labels its figures as simulated.

use std::process::ExitCode;

use lexopt::prelude::*;
use ochreshed_emulator::mesh;
use ochreshed_emulator::mesh::scenario::Scenario as MeshScenario;
use ochreshed_emulator::routing::RoutingPolicy;
use ochreshed_emulator::scenario::Scenario;
use ochreshed_emulator::simulation::{SimulationReport, simulate, trace_request};
use rayon::prelude::*;

const HELP: &str = "\
ochreshed-rehearse, days in simulated time

    ochreshed-rehearse check FILE                     read a scenario, say what is wrong with it
    ochreshed-rehearse run FILE [--seed N] [--policy P] [--trace ID] [--json]
    ochreshed-rehearse compare FILE --policies P,P.. [--seeds N]
    ochreshed-rehearse sweep FILE --set PATH=V,V.. [--policy P] [--seeds N]
    ochreshed-rehearse mesh FILE [--seed N] [--json]  the control plane of a mesh
    ochreshed-rehearse mesh sweep FILE --nodes N,N.. [--seed N] [--json]

--trace prints the life of the req with that number. PATH is such as clients.per_s or tiers.1.slots.
P is module, random, round-robin, least or two; +3 behind a baseline gives it three naive retries.
";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ochreshed-rehearse: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_policy(text: &str) -> Result<RoutingPolicy, String> {
    RoutingPolicy::parse(text).ok_or(format!("there is no policy {text}; see `ochreshed-rehearse help`"))
}

fn run() -> Result<ExitCode, String> {
    let (mut positional, mut seed, mut seeds, mut policies) =
        (Vec::new(), 1, 10, vec![RoutingPolicy::Module]);
    let mut names = vec!["module".to_owned()];
    let (mut traced, mut set, mut nodes, mut json) = (None, String::new(), String::new(), false);
    let mut args = lexopt::Parser::from_env();
    let describe_error = |e: lexopt::Error| e.to_string();
    while let Some(arg) = args.next().map_err(describe_error)? {
        match arg {
            Long("seed") => seed = args.value().and_then(|v| v.parse()).map_err(describe_error)?,
            Long("seeds") => seeds = args.value().and_then(|v| v.parse()).map_err(describe_error)?,
            Long("trace") => traced = Some(args.value().and_then(|v| v.parse()).map_err(describe_error)?),
            Long("json") => json = true,
            Long("nodes") => nodes = args.value().and_then(|v| v.string()).map_err(describe_error)?,
            Long("set") => set = args.value().and_then(|v| v.string()).map_err(describe_error)?,
            Long("policy") | Long("policies") => {
                let text = args.value().and_then(|v| v.string()).map_err(describe_error)?;
                names = text.split(',').map(str::to_owned).collect();
                policies = names.iter().map(|name| parse_policy(name)).collect::<Result<_, _>>()?;
            }
            Value(word) => positional.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match &positional.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["mesh", "sweep", file] => return run_mesh(file, Some(&nodes), seed, json),
        ["mesh", file] => return run_mesh(file, None, seed, json),
        _ => {}
    }
    let [command, file] = &positional[..] else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let scenario = Scenario::parse(&text).map_err(|error| format!("{file}:\n{error}"))?;
    match command.as_str() {
        "check" => println!("{file}: {} tiers, {} rule sets", scenario.tiers.len(), scenario.rule_sets.len()),
        "run" if traced.is_some() => {
            let lines = trace_request(&scenario, policies[0], seed, traced.unwrap_or_default());
            if lines.is_empty() {
                return Err("no req of that day has that number".into());
            }
            println!("simulated, req {}:\n{}", traced.unwrap_or_default(), lines.join("\n"));
        }
        "sweep" => {
            let (path, values) = set.split_once('=').ok_or("--set PATH=V,V.. is missing")?;
            for value in values.split(',') {
                let scenario = Scenario::parse(&Scenario::with_override(&text, path, value)?)?;
                println!("\n{path} = {value}");
                compare(&scenario, &names, &policies, seeds);
            }
        }
        "run" if json => {
            let report = simulate(&scenario, policies[0], seed);
            println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
            return Ok(if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(2) });
        }
        "run" => return Ok(print_report(&simulate(&scenario, policies[0], seed))),
        "compare" => compare(&scenario, &names, &policies, seeds),
        other => return Err(format!("there is no command {other}")),
    }
    Ok(ExitCode::SUCCESS)
}

/// Simulates a mesh at the size of its scenario, or at each size in `nodes`.
fn run_mesh(file: &str, nodes: Option<&str>, seed: u64, json: bool) -> Result<ExitCode, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let scenario = MeshScenario::parse(&text).map_err(|error| format!("{file}:\n{error}"))?;
    let sizes: Vec<usize> = match nodes {
        None => vec![scenario.nodes],
        Some(list) => list
            .split(',')
            .map(|size| size.trim().parse().map_err(|_| "--nodes N,N.. is missing or wrong".to_owned()))
            .collect::<Result<_, _>>()?,
    };
    let scenarios: Vec<MeshScenario> =
        sizes.iter().map(|nodes| MeshScenario { nodes: *nodes, ..scenario.clone() }).collect();
    if let Some(error) = scenarios.iter().find_map(|scenario| scenario.validation_errors().into_iter().next())
    {
        return Err(error);
    }
    let reports: Vec<_> =
        scenarios.par_iter().map(|scenario| mesh::simulation::simulate(scenario, seed, None)).collect();
    if json {
        println!("{}", serde_json::to_string_pretty(&reports).map_err(|e| e.to_string())?);
    } else if nodes.is_some() {
        print!("{}", mesh::report::sweep_text(&reports));
    } else {
        reports.iter().for_each(|report| print!("{}", report.text()));
    }
    let broken = reports.iter().any(|report| !report.violations.is_empty());
    Ok(if broken { ExitCode::from(2) } else { ExitCode::SUCCESS })
}

fn print_report(report: &SimulationReport) -> ExitCode {
    println!(
        "simulated: {} asked, {} in time, {} late; {} events",
        report.asked, report.in_time, report.late, report.events
    );
    println!(
        "score {:.4}, worst 10 s {:.4}, worst rule set {:.4}",
        report.score, report.worst_10s, report.worst_set
    );
    println!("sends a req by tier {:.3?}", report.sends);
    let recovery =
        report.recovery.iter().map(|after| after.map_or("not seen".into(), |after| format!("{after} s")));
    let recovery: Vec<String> = recovery.collect();
    if !recovery.is_empty() {
        println!("as before, so long after each trouble: {}", recovery.join(", "));
    }
    let propagation = &report.propagation;
    if propagation.changes > 0 {
        println!(
            "{} drains and departures, heeded by half of the balancers {:.2} s after the first, by 99% {:.2} s, by all {:.2} s",
            propagation.changes, propagation.half_s, propagation.p99_s, propagation.all_s
        );
    }
    if report.fleet_bytes_per_s > 0.0 {
        println!("{:.0} bytes a second from each balancer to others", report.fleet_bytes_per_s);
    }
    report.violations.iter().take(10).for_each(|violation| println!("BROKEN {violation}"));
    if report.violations.is_empty() {
        println!("rules kept");
        return ExitCode::SUCCESS;
    }
    println!("rules broken {} times", report.violations.len());
    ExitCode::from(2)
}

/// Prints a table of policies on the same seeds, with the 95% confidence interval of the paired difference to the first
/// policy.
fn compare(scenario: &Scenario, names: &[String], policies: &[RoutingPolicy], seeds: u64) {
    println!(
        "simulated, {seeds} seeds\n| policy | score | worst 10 s | sends by tier | against {} | broken | heeded by 99%, s | by all, s | bytes a second |",
        names[0]
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let reports = |policy: RoutingPolicy| -> Vec<SimulationReport> {
        (1..=seeds).into_par_iter().map(|seed| simulate(scenario, policy, seed)).collect()
    };
    let mut first_scores: Vec<f64> = Vec::new();
    for (name, policy) in names.iter().zip(policies) {
        let reports = reports(*policy);
        let number = reports.len() as f64;
        let mean = |of: &dyn Fn(&SimulationReport) -> f64| reports.iter().map(of).sum::<f64>() / number;
        let scores: Vec<f64> = reports.iter().map(|report| report.score).collect();
        if first_scores.is_empty() {
            first_scores.clone_from(&scores);
        }
        let differences: Vec<f64> =
            scores.iter().zip(&first_scores).map(|(score, first_scores)| score - first_scores).collect();
        let difference = differences.iter().sum::<f64>() / number;
        let spread =
            differences.iter().map(|d| (d - difference).powi(2)).sum::<f64>() / (number - 1.0).max(1.0);
        let sends: Vec<String> = (0..scenario.tiers.len())
            .map(|tier| format!("{:.2}", mean(&|report| report.sends[tier])))
            .collect();
        let broken: usize = reports.iter().map(|report| report.violations.len()).sum();
        println!(
            "| {name} | {:.3} | {:.3} | {} | {difference:+.3} ± {:.3} | {broken} | {:.2} | {:.2} | {:.0} |",
            mean(&|report| report.score),
            mean(&|report| report.worst_10s),
            sends.join(" "),
            1.96 * (spread / number).sqrt(),
            mean(&|report| report.propagation.p99_s),
            mean(&|report| report.propagation.all_s),
            mean(&|report| report.fleet_bytes_per_s)
        );
    }
}
