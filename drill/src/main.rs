//! The command line of drills. An interrupt ends a drill in an orderly way, with all its processes and with a report on what
//! was observed until then.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};

use indicatif::{ProgressBar, ProgressStyle};
use lexopt::prelude::*;
use ochreshed_drill::drill_file::Drill;
use ochreshed_drill::metrics::Metrics;
use ochreshed_drill::runner::RunOptions;
use ochreshed_drill::{DrillResult, audit, run, sibling_binary};
use ochreshed_emulator::routing::RoutingPolicy;
use ochreshed_emulator::simulation;

const HELP: &str = "\
ochreshed-drill, many balancer processes on loopback with injected faults

    ochreshed-drill list [FOLDER]                   list the drills in a folder, by default `drills`
    ochreshed-drill check FILE                      validate a drill, and list what the emulator does not support
    ochreshed-drill run FILE [--seed N] [--json F] [--html F] [--trace ID] [--lost N]
    ochreshed-drill compare FILE --a BIN --b BIN [--seeds 1..5]
    ochreshed-drill simulate FILE [--seeds 1..5]    run the same file in the emulator; its metrics are simulated

run, compare:
    --bin PATH         the balancer program; by default the one built beside this program
    --other PATH       another build of it, for `live.other`
    --settings FILE    JSON that overrides settings in the parameters file, key by key
    --fleet WHICH      enable gossip between the balancers: both, or only in build a or b of a comparison
    --snapshots WHICH  enable snapshots: likewise
    --serve WORDS      additional arguments of `ochreshed serve`, separated by spaces; {n} is the balancer's number
    --keep FOLDER      keep the processes' parameters files and logs there; removed at the end by default
    --set PATH=VALUE   override a value of the drill file, such as clients.per_s=500 or clients.instances=60

--trace prints the timeline of a request, --lost those of N calls that did not succeed within their response target.
Exit status: 0 if all rules were kept, 2 if one was broken, 1 if the drill could not be run.
";

static STOP: AtomicBool = AtomicBool::new(false);

extern "C" fn handle_signal(_: i32) {
    STOP.store(true, Ordering::Relaxed);
}

fn main() -> ExitCode {
    match execute_command() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ochreshed-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

#[derive(Default)]
struct Arguments {
    /// The command and its operands.
    positional: Vec<String>,
    options: RunOptions,
    seeds: Vec<u64>,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    /// Id of the request to trace.
    trace: Option<u64>,
    lost_call_count: usize,
    /// `both`, `a`, `b` or empty.
    gossip: String,
    /// `both`, `a`, `b` or empty.
    snapshots: String,
    binary_a: Option<PathBuf>,
    binary_b: Option<PathBuf>,
    /// `PATH=VALUE` each.
    overrides: Vec<String>,
}

fn parse_arguments() -> Result<Arguments, String> {
    let to_text = |e: lexopt::Error| e.to_string();
    let mut arguments = Arguments { seeds: (1..=5).collect(), ..Arguments::default() };
    arguments.options.seed = 1;
    arguments.options.binary = sibling_binary().unwrap_or_default();
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next().map_err(to_text)? {
        match arg {
            Long("help") | Short('h') => arguments.positional = vec!["help".into()],
            Long("seed") => arguments.options.seed = args.value().and_then(|v| v.parse()).map_err(to_text)?,
            Long("seeds") => {
                arguments.seeds = parse_seeds(&args.value().and_then(|v| v.string()).map_err(to_text)?)?
            }
            Long("json") => arguments.json = Some(args.value().map_err(to_text)?.into()),
            Long("html") => arguments.html = Some(args.value().map_err(to_text)?.into()),
            Long("a") => arguments.binary_a = Some(args.value().map_err(to_text)?.into()),
            Long("b") => arguments.binary_b = Some(args.value().map_err(to_text)?.into()),
            Long("bin") => arguments.options.binary = args.value().map_err(to_text)?.into(),
            Long("other") => arguments.options.other_binary = Some(args.value().map_err(to_text)?.into()),
            Long("lost") => {
                arguments.lost_call_count = args.value().and_then(|v| v.parse()).map_err(to_text)?
            }
            Long("keep") => arguments.options.folder = Some(args.value().map_err(to_text)?.into()),
            Long("snapshots") => {
                arguments.snapshots = args.value().and_then(|v| v.string()).map_err(to_text)?
            }
            Long("fleet") => arguments.gossip = args.value().and_then(|v| v.string()).map_err(to_text)?,
            Long("set") => arguments.overrides.push(args.value().and_then(|v| v.string()).map_err(to_text)?),
            Long("serve") => {
                let serve_args = args.value().and_then(|v| v.string()).map_err(to_text)?;
                arguments.options.serve_args = serve_args.split_whitespace().map(str::to_owned).collect();
            }
            Long("settings") => {
                let path = PathBuf::from(args.value().map_err(to_text)?);
                let settings =
                    serde_json::from_str(&read_file(&path)?).map_err(|e| format!("{}: {e}", path.display()));
                arguments.options.settings = Some(settings?);
            }
            Long("trace") => {
                let text = args.value().and_then(|v| v.string()).map_err(to_text)?;
                let id = u64::from_str_radix(&text, 16)
                    .map_err(|_| format!("--trace {text}: not a hexadecimal request id"))?;
                arguments.trace = Some(id);
            }
            Value(value) => arguments.positional.push(value.to_string_lossy().into_owned()),
            other => return Err(format!("{}; see `ochreshed-drill help`", other.unexpected())),
        }
    }
    if !["", "a", "b", "both"].contains(&&*arguments.snapshots) {
        return Err(format!("--snapshots {}: must be both, a or b", arguments.snapshots));
    }
    if !["", "a", "b", "both"].contains(&&*arguments.gossip) {
        return Err(format!("--fleet {}: must be both, a or b", arguments.gossip));
    }
    arguments.options.gossip = arguments.gossip == "both";
    arguments.options.snapshots = arguments.snapshots == "both";
    Ok(arguments)
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let invalid = || format!("{text} is not a range of at most 100 seeds such as 1..5");
    let number = |text: &str| text.parse::<u64>().map_err(|_| invalid());
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let (from, to) = (number(from)?, number(to)?);
    if from > to || to - from >= 100 { Err(invalid()) } else { Ok((from..=to).collect()) }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn load_drill(file: &str, overrides: &[String]) -> Result<Drill, String> {
    let mut text = read_file(Path::new(file))?;
    for change in overrides {
        let (path, value) = change.split_once('=').ok_or(format!("--set {change}: must be PATH=VALUE"))?;
        text = ochreshed_emulator::scenario::Scenario::with_override(&text, path, value)?;
    }
    Drill::parse(&text).map_err(|error| format!("{file}:\n{error}"))
}

fn execute_command() -> Result<ExitCode, String> {
    let arguments = parse_arguments()?;
    let positional: Vec<&str> = arguments.positional.iter().map(String::as_str).collect();
    let load = |file: &str| load_drill(file, &arguments.overrides);
    match positional[..] {
        ["list"] => list_drills("drills"),
        ["list", folder] => list_drills(folder),
        ["check", file] => check_drill(file, &load(file)?),
        ["run", file] => run_once(file, &load(file)?, &arguments),
        ["compare", file] => compare_builds(file, &load(file)?, &arguments),
        ["simulate", file] => simulate(file, &load(file)?, &arguments.seeds),
        [] | ["help"] => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Err("unknown command; see `ochreshed-drill help`".into()),
    }
}

fn list_drills(folder: &str) -> Result<ExitCode, String> {
    let files = std::fs::read_dir(folder).map_err(|e| format!("{folder}: {e}"))?;
    let mut files: Vec<PathBuf> = files.filter_map(|file| Some(file.ok()?.path())).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    for path in files {
        match load_drill(&path.to_string_lossy(), &[]) {
            Ok(drill) => {
                println!(
                    "{:<32} {:>3} s  {}",
                    path.display(),
                    drill.duration / 1_000_000_000,
                    drill.description
                )
            }
            Err(error) => {
                println!("{}: invalid: {}", path.display(), error.lines().last().unwrap_or_default())
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn check_drill(file: &str, drill: &Drill) -> Result<ExitCode, String> {
    let (balancers, servers, faults) =
        (drill.balancer_count(), drill.tier().server_count, drill.faults.len() + drill.scenario_faults.len());
    println!(
        "{file}: {balancers} balancer processes and {servers} servers in {} zones, {faults} faults",
        drill.tier().site_count
    );
    match drill.scenario() {
        Ok(_) => println!("the emulator can run it as well"),
        Err(unsupported) => {
            unsupported.iter().for_each(|item| println!("the emulator does not support {item}"))
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn run_with_progress(file: &str, drill: &Drill, options: &RunOptions) -> Result<DrillResult, String> {
    if !options.binary.exists() {
        return Err(format!(
            "the balancer program {} does not exist; build it, or name it with --bin",
            options.binary.display()
        ));
    }
    let handler = nix::sys::signal::SigHandler::Handler(handle_signal);
    // SAFETY: the handler only stores a flag.
    unsafe {
        let _ = nix::sys::signal::signal(nix::sys::signal::Signal::SIGINT, handler);
        let _ = nix::sys::signal::signal(nix::sys::signal::Signal::SIGTERM, handler);
    }
    // Hidden if standard error is not a terminal.
    let bar = ProgressBar::new(1_000);
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {percent}%") {
        bar.set_style(style);
    }
    bar.set_message(format!("{file}, seed {}", options.seed));
    let result = run(file, drill, options, &STOP, &|fraction| bar.set_position((1_000.0 * fraction) as u64));
    bar.finish_and_clear();
    result
}

fn exit_code(result: &DrillResult) -> ExitCode {
    if result.report.verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(2) }
}

fn run_once(file: &str, drill: &Drill, arguments: &Arguments) -> Result<ExitCode, String> {
    let result = run_with_progress(file, drill, &arguments.options)?;
    let DrillResult { report, recording, attempts } = &result;
    if report.cut_short {
        println!("cut short at {:.1} s", recording.seconds(recording.ended_at));
    }
    print!("{}", report.text());
    let write = |path: &Option<PathBuf>, text: String| match path {
        Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display())),
        None => Ok(()),
    };
    write(&arguments.json, report.json()?)?;
    write(&arguments.html, report.html())?;
    if let Some(id) = arguments.trace {
        let lines = audit::trace(recording, attempts, id);
        if lines.is_empty() {
            return Err(format!("no request of this drill has the id {id:x}"));
        }
        println!("req {id:x}:\n{}", lines.join("\n"));
    }
    for id in audit::lost_calls(drill, attempts, arguments.lost_call_count) {
        println!("lost, req {id:x}:\n{}", audit::trace(recording, attempts, id).join("\n"));
    }
    Ok(exit_code(&result))
}

/// A compared metric: its name, how to get it, and how many decimals it is printed with.
type ComparedMetric = (&'static str, fn(&Metrics) -> f64, usize);

const COMPARED_METRICS: &[ComparedMetric] = &[
    ("service", |m| m.service, 4),
    ("worst half second", |m| m.worst_half_second_service, 3),
    ("bad half seconds", |m| m.bad_half_seconds as f64, 1),
    ("full service, s", |m| m.time_to_full_service_s, 1),
    ("denied", |m| m.denied as f64, 0),
    ("broken off or aborted", |m| (m.connection_lost + m.aborted) as f64, 0),
    ("late", |m| m.late as f64, 0),
    ("most at one srv over mean", |m| m.peak_over_mean, 2),
    ("sends a req", |m| m.dispatches_per_request, 3),
    ("turned away", |m| m.rejected_dispatches as f64, 0),
    ("sends that failed", |m| m.failed_dispatches as f64, 0),
    ("departures heeded by 99%, s", |m| m.departure_heeded_p99_s, 2),
    ("sends a second after them", |m| m.dispatches_after_departure as f64, 0),
    ("bytes a second to others", |m| m.gossip_bytes_per_s, 0),
    ("share of a core", |m| m.cpu_share_mean, 4),
    ("near", |m| m.same_zone_share, 2),
    ("connections", |m| m.connections as f64, 0),
    ("calls to discovery", |m| m.discovery_calls as f64, 0),
    ("p99, ms", |m| m.p99_ms, 0),
    ("missing", |m| m.missing as f64, 0),
];

/// Runs two builds alternately with the same seeds; differences are paired by seed.
fn compare_builds(file: &str, drill: &Drill, arguments: &Arguments) -> Result<ExitCode, String> {
    let (Some(a), Some(b)) = (&arguments.binary_a, &arguments.binary_b) else {
        return Err("compare requires --a BIN and --b BIN".into());
    };
    let (mut metrics_a, mut metrics_b, mut violation_counts) = (Vec::new(), Vec::new(), [0, 0]);
    for seed in &arguments.seeds {
        let mut builds = [(a, &mut metrics_a), (b, &mut metrics_b)];
        for (index, (binary, metrics)) in builds.iter_mut().enumerate() {
            if STOP.load(Ordering::Relaxed) {
                return Err("cut short".into());
            }
            let gossip = arguments.options.gossip || arguments.gossip == ["a", "b"][index];
            let snapshots = arguments.options.snapshots || arguments.snapshots == ["a", "b"][index];
            let options = RunOptions {
                seed: *seed,
                binary: binary.to_path_buf(),
                gossip,
                snapshots,
                ..arguments.options.clone()
            };
            let result = run_with_progress(file, drill, &options)?;
            let violations = &result.report.verdict.violations;
            violation_counts[index] += violations.len();
            for violation in violations.iter().take(3) {
                eprintln!(
                    "{}, seed {seed}: rule {} at {:.3} s, req {}: {}",
                    binary.display(),
                    violation.rule,
                    violation.at_s,
                    violation.id,
                    violation.description
                );
                violation.timeline.iter().for_each(|line| eprintln!("    {line}"));
            }
            metrics.push(result.report.metrics);
        }
    }
    let count = arguments.seeds.len() as f64;
    println!("{file}, {} seeds\n| figure | a | b | b - a | seeds where b is more |", arguments.seeds.len());
    println!("| --- | --- | --- | --- | --- |");
    for (name, metric, digits) in COMPARED_METRICS {
        let mean = |all: &[Metrics]| all.iter().map(metric).sum::<f64>() / count;
        let differences: Vec<f64> =
            metrics_a.iter().zip(&metrics_b).map(|(a, b)| metric(b) - metric(a)).collect();
        let difference = differences.iter().sum::<f64>() / count;
        let variance =
            differences.iter().map(|d| (d - difference).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
        // 95% confidence interval.
        let (error, more) =
            (1.96 * (variance / count).sqrt(), differences.iter().filter(|d| **d > 0.0).count());
        let (a, b) = (mean(&metrics_a), mean(&metrics_b));
        println!(
            "| {name} | {a:.digits$} | {b:.digits$} | {difference:+.digits$} ± {error:.digits$} | {more} of {count} |"
        );
    }
    println!("| rules broken | {} | {} | | |", violation_counts[0], violation_counts[1]);
    Ok(if violation_counts == [0, 0] { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

fn simulate(file: &str, drill: &Drill, seeds: &[u64]) -> Result<ExitCode, String> {
    let scenario = drill.scenario().map_err(|unsupported| {
        format!("{file}: the emulator does not support\n{}", unsupported.join("\n"))
    })?;
    for seed in seeds {
        let report = simulation::simulate(&scenario, RoutingPolicy::Module, *seed);
        let (asked, in_time) = (report.asked, report.in_time);
        let service = in_time as f64 / asked.max(1) as f64;
        println!("simulated, seed {seed}: {asked} asked, {in_time} in time, service {service:.3}");
    }
    Ok(ExitCode::SUCCESS)
}
