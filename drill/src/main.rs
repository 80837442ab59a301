//! The command line of drills. It owns what is said to whoever plays one, and must never leave a process behind: also an
//! interrupt ends the drill in order, with a report of what was seen until then.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};

use indicatif::{ProgressBar, ProgressStyle};
use lexopt::prelude::*;
use ochreshed_drill::figures::Figures;
use ochreshed_drill::file::Drill;
use ochreshed_drill::play::Options;
use ochreshed_drill::{Played, audit, beside, run};
use ochreshed_emulator::routing::RoutingPolicy;
use ochreshed_emulator::simulation;

const HELP: &str = "\
ochreshed-drill, many processes of the program on loopback with faults between them

    ochreshed-drill list [FOLDER]                   the drills there, a line each; `drills` unless told
    ochreshed-drill check FILE                      read a drill, say what is wrong with it, and what only a drill can play
    ochreshed-drill run FILE [--seed N] [--json F] [--html F] [--trace ID] [--lost N]
    ochreshed-drill compare FILE --a BIN --b BIN [--seeds 1..5]
    ochreshed-drill simulate FILE [--seeds 1..5]    the same file in the emulator; its figures are simulated

run, compare:
    --bin PATH         the program; the one built beside this one unless told
    --other PATH       another build of it, for `live.other`
    --settings FILE    JSON, laid over the operators' settings in the facts, key by key
    --fleet WHICH      the balancers speak with each other: both, or of two builds compared a or b only
    --snapshots WHICH  they keep snapshots: likewise
    --serve WORDS      further words for `ochreshed serve`, parted by spaces; {n} is the balancer's number
    --keep FOLDER      where processes' facts and logs are left; removed at the end unless told
    --set PATH=VALUE   another value in the file, such as clients.per_s=500 or clients.instances=60

--trace tells one req's life, --lost those of N calls that were not done within their response target.
Exit: 0 where the rules were kept, 2 where one was broken, 1 where it could not be played.
";

static STOP: AtomicBool = AtomicBool::new(false);

extern "C" fn interrupted(_: i32) {
    STOP.store(true, Ordering::Relaxed);
}

fn main() -> ExitCode {
    match command() {
        Ok(code) => code,
        Err(why) => {
            eprintln!("ochreshed-drill: {why}");
            ExitCode::FAILURE
        }
    }
}

#[derive(Default)]
struct Told {
    words: Vec<String>,
    options: Options,
    seeds: Vec<u64>,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    trace: Option<u64>,
    lost: usize,
    fleet: String,
    snapshots: String,
    a: Option<PathBuf>,
    b: Option<PathBuf>,
    set: Vec<String>,
}

fn told() -> Result<Told, String> {
    let said = |e: lexopt::Error| e.to_string();
    let mut told = Told { seeds: (1..=5).collect(), ..Told::default() };
    told.options.seed = 1;
    told.options.binary = beside().unwrap_or_default();
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next().map_err(said)? {
        match arg {
            Long("help") | Short('h') => told.words = vec!["help".into()],
            Long("seed") => told.options.seed = args.value().and_then(|v| v.parse()).map_err(said)?,
            Long("seeds") => told.seeds = seeds(&args.value().and_then(|v| v.string()).map_err(said)?)?,
            Long("json") => told.json = Some(args.value().map_err(said)?.into()),
            Long("html") => told.html = Some(args.value().map_err(said)?.into()),
            Long("a") => told.a = Some(args.value().map_err(said)?.into()),
            Long("b") => told.b = Some(args.value().map_err(said)?.into()),
            Long("bin") => told.options.binary = args.value().map_err(said)?.into(),
            Long("other") => told.options.other = Some(args.value().map_err(said)?.into()),
            Long("lost") => told.lost = args.value().and_then(|v| v.parse()).map_err(said)?,
            Long("keep") => told.options.folder = Some(args.value().map_err(said)?.into()),
            Long("snapshots") => told.snapshots = args.value().and_then(|v| v.string()).map_err(said)?,
            Long("fleet") => told.fleet = args.value().and_then(|v| v.string()).map_err(said)?,
            Long("set") => told.set.push(args.value().and_then(|v| v.string()).map_err(said)?),
            Long("serve") => {
                let words = args.value().and_then(|v| v.string()).map_err(said)?;
                told.options.serve = words.split_whitespace().map(str::to_owned).collect();
            }
            Long("settings") => {
                let path = PathBuf::from(args.value().map_err(said)?);
                let read =
                    serde_json::from_str(&read(&path)?).map_err(|e| format!("{}: {e}", path.display()));
                told.options.settings = Some(read?);
            }
            Long("trace") => {
                let text = args.value().and_then(|v| v.string()).map_err(said)?;
                let id = u64::from_str_radix(&text, 16).map_err(|_| format!("{text} is no req's id"))?;
                told.trace = Some(id);
            }
            Value(word) => told.words.push(word.to_string_lossy().into_owned()),
            other => return Err(format!("{}; see `ochreshed-drill help`", other.unexpected())),
        }
    }
    if !["", "a", "b", "both"].contains(&&*told.snapshots) {
        return Err(format!("--snapshots {}: both, a or b", told.snapshots));
    }
    if !["", "a", "b", "both"].contains(&&*told.fleet) {
        return Err(format!("--fleet {}: both, a or b", told.fleet));
    }
    told.options.fleet = told.fleet == "both";
    told.options.snapshots = told.snapshots == "both";
    Ok(told)
}

fn seeds(text: &str) -> Result<Vec<u64>, String> {
    let wrong = || format!("{text} is no range of seeds such as 1..5");
    let number = |text: &str| text.parse::<u64>().map_err(|_| wrong());
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let (from, to) = (number(from)?, number(to)?);
    if from > to || to - from >= 100 { Err(wrong()) } else { Ok((from..=to).collect()) }
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn load(file: &str, set: &[String]) -> Result<Drill, String> {
    let mut text = read(Path::new(file))?;
    for change in set {
        let (path, value) = change.split_once('=').ok_or(format!("--set {change}: PATH=VALUE is wanted"))?;
        text = ochreshed_emulator::scenario::Scenario::with_override(&text, path, value)?;
    }
    Drill::parse(&text).map_err(|why| format!("{file}:\n{why}"))
}

fn command() -> Result<ExitCode, String> {
    let told = told()?;
    let words: Vec<&str> = told.words.iter().map(String::as_str).collect();
    match words[..] {
        ["list"] => list("drills"),
        ["list", folder] => list(folder),
        ["check", file] => check(file, &load(file, &told.set)?),
        ["run", file] => play(file, &load(file, &told.set)?, &told),
        ["compare", file] => compare(file, &load(file, &told.set)?, &told),
        ["simulate", file] => simulate(file, &load(file, &told.set)?, &told.seeds),
        [] | ["help"] => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Err("what is to be done? See `ochreshed-drill help`".into()),
    }
}

fn list(folder: &str) -> Result<ExitCode, String> {
    let files = std::fs::read_dir(folder).map_err(|e| format!("{folder}: {e}"))?;
    let mut files: Vec<PathBuf> = files.filter_map(|file| Some(file.ok()?.path())).collect();
    files.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    files.sort();
    for path in files {
        match load(&path.to_string_lossy(), &[]) {
            Ok(drill) => {
                println!("{:<32} {:>3} s  {}", path.display(), drill.lasts / 1_000_000_000, drill.about)
            }
            Err(why) => {
                println!("{}: can't be played: {}", path.display(), why.lines().last().unwrap_or_default())
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn check(file: &str, drill: &Drill) -> Result<ExitCode, String> {
    let (balancers, srvs, faults) =
        (drill.balancers(), drill.tier().server_count, drill.faults.len() + drill.troubles.len());
    println!(
        "{file}: {balancers} processes before {srvs} srvs in {} zones, {faults} faults",
        drill.tier().site_count
    );
    match drill.scenario() {
        Ok(_) => println!("it can be played simulated as well"),
        Err(only) => only.iter().for_each(|what| println!("only a drill has {what}")),
    }
    Ok(ExitCode::SUCCESS)
}

fn one(file: &str, drill: &Drill, options: &Options) -> Result<Played, String> {
    if !options.binary.exists() {
        return Err(format!("there is no program {}; build it or tell --bin", options.binary.display()));
    }
    let handler = nix::sys::signal::SigHandler::Handler(interrupted);
    // SAFETY: the handler does nothing but store a flag.
    unsafe {
        let _ = nix::sys::signal::signal(nix::sys::signal::Signal::SIGINT, handler);
        let _ = nix::sys::signal::signal(nix::sys::signal::Signal::SIGTERM, handler);
    }
    // Hidden by itself where nobody looks: no terminal, no bar.
    let bar = ProgressBar::new(1_000);
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {percent}%") {
        bar.set_style(style);
    }
    bar.set_message(format!("{file}, seed {}", options.seed));
    let played = run(file, drill, options, &STOP, &|part| bar.set_position((1_000.0 * part) as u64));
    bar.finish_and_clear();
    played
}

fn code(played: &Played) -> ExitCode {
    if played.report.verdict.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(2) }
}

fn play(file: &str, drill: &Drill, told: &Told) -> Result<ExitCode, String> {
    let played = one(file, drill, &told.options)?;
    if played.report.cut_short {
        println!("cut short at {:.1} s", played.play.seconds(played.play.until));
    }
    print!("{}", played.report.text());
    let write = |path: &Option<PathBuf>, text: String| match path {
        Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display())),
        None => Ok(()),
    };
    write(&told.json, played.report.json()?)?;
    write(&told.html, played.report.html())?;
    if let Some(id) = told.trace {
        let lines = audit::trace(&played.play, &played.lives, id);
        if lines.is_empty() {
            return Err(format!("no req of this drill has the id {id:x}"));
        }
        println!("req {id:x}:\n{}", lines.join("\n"));
    }
    for id in audit::lost(drill, &played.lives, told.lost) {
        println!("lost, req {id:x}:\n{}", audit::trace(&played.play, &played.lives, id).join("\n"));
    }
    Ok(code(&played))
}

/// What is compared: a name, how to read it off, and how many digits it is shown with.
type Compared = (&'static str, fn(&Figures) -> f64, usize);

const COMPARED: &[Compared] = &[
    ("service", |f| f.service, 4),
    ("worst half second", |f| f.worst_half_s, 3),
    ("bad half seconds", |f| f.bad_half_s as f64, 1),
    ("full service, s", |f| f.full_service_s, 1),
    ("denied", |f| f.denied as f64, 0),
    ("broken off or aborted", |f| (f.broken + f.aborted) as f64, 0),
    ("late", |f| f.late as f64, 0),
    ("most at one srv over mean", |f| f.peak_over_mean, 2),
    ("sends a req", |f| f.sends_a_req, 3),
    ("turned away", |f| f.turned_away as f64, 0),
    ("sends that failed", |f| f.failed_sends as f64, 0),
    ("departures heeded by 99%, s", |f| f.heeded_by_99_s, 2),
    ("sends a second after them", |f| f.unheeded_sends as f64, 0),
    ("bytes a second to others", |f| f.fleet_bytes_per_s, 0),
    ("share of a core", |f| f.cpu_share_mean, 4),
    ("near", |f| f.near, 2),
    ("connections", |f| f.connections as f64, 0),
    ("calls to discovery", |f| f.list_calls as f64, 0),
    ("p99, ms", |f| f.p99_ms, 0),
    ("missing", |f| f.missing as f64, 0),
];

/// Two builds on the same seeds, in turn; differences are paired by seed.
fn compare(file: &str, drill: &Drill, told: &Told) -> Result<ExitCode, String> {
    let (Some(a), Some(b)) = (&told.a, &told.b) else {
        return Err("compare wants --a BIN and --b BIN".into());
    };
    let (mut of_a, mut of_b, mut broken) = (Vec::new(), Vec::new(), [0, 0]);
    for seed in &told.seeds {
        let mut both = [(a, &mut of_a), (b, &mut of_b)];
        for (number, (binary, figures)) in both.iter_mut().enumerate() {
            if STOP.load(Ordering::Relaxed) {
                return Err("cut short".into());
            }
            let fleet = told.options.fleet || told.fleet == ["a", "b"][number];
            let snapshots = told.options.snapshots || told.snapshots == ["a", "b"][number];
            let options = Options {
                seed: *seed,
                binary: binary.to_path_buf(),
                fleet,
                snapshots,
                ..told.options.clone()
            };
            let played = one(file, drill, &options)?;
            let breaches = &played.report.verdict.breaches;
            broken[number] += breaches.len();
            for breach in breaches.iter().take(3) {
                eprintln!(
                    "{}, seed {seed}: rule {} at {:.3} s, req {}: {}",
                    binary.display(),
                    breach.rule,
                    breach.at_s,
                    breach.id,
                    breach.what
                );
                breach.life.iter().for_each(|line| eprintln!("    {line}"));
            }
            figures.push(played.report.figures);
        }
    }
    let number = told.seeds.len() as f64;
    println!("{file}, {} seeds\n| figure | a | b | b - a | seeds where b is more |", told.seeds.len());
    println!("| --- | --- | --- | --- | --- |");
    for (name, of, digits) in COMPARED {
        let mean = |all: &[Figures]| all.iter().map(of).sum::<f64>() / number;
        let differences: Vec<f64> = of_a.iter().zip(&of_b).map(|(a, b)| of(b) - of(a)).collect();
        let difference = differences.iter().sum::<f64>() / number;
        let spread =
            differences.iter().map(|d| (d - difference).powi(2)).sum::<f64>() / (number - 1.0).max(1.0);
        let (error, more) =
            (1.96 * (spread / number).sqrt(), differences.iter().filter(|d| **d > 0.0).count());
        let (a, b) = (mean(&of_a), mean(&of_b));
        println!(
            "| {name} | {a:.digits$} | {b:.digits$} | {difference:+.digits$} ± {error:.digits$} | {more} of {number} |"
        );
    }
    println!("| rules broken | {} | {} | | |", broken[0], broken[1]);
    Ok(if broken == [0, 0] { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

fn simulate(file: &str, drill: &Drill, seeds: &[u64]) -> Result<ExitCode, String> {
    let scenario =
        drill.scenario().map_err(|only| format!("{file}: only a drill has\n{}", only.join("\n")))?;
    for seed in seeds {
        let day = simulation::simulate(&scenario, RoutingPolicy::Module, *seed);
        let (asked, in_time) = (day.asked, day.in_time);
        let part = in_time as f64 / asked.max(1) as f64;
        println!("simulated, seed {seed}: {asked} asked, {in_time} in time, service {part:.3}");
    }
    Ok(ExitCode::SUCCESS)
}
