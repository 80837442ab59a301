//! The command line. It owns what is said to whoever starts the program, and must never serve on facts that
//! were not read and checked first.

mod asking;
mod body;
mod clock;
mod decisions;
mod figures;
mod fleet;
mod front;
mod link;
mod list;
mod mesh;
mod operator;
mod peer;
mod phases;
mod settings;
mod start;
mod twin;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use fleet::file::FleetFile;
use lexopt::prelude::*;
use start::StartFacts;

const HELP: &str = "\
ochreshed, a load balancer for services that call services

    ochreshed serve [--facts FILE] [--fleet FILE]
                                      serve until SIGTERM; SIGHUP reads the facts again for where discovery answers;
                                      with --fleet, speak with the other instances as that file says
    ochreshed fleet --at ADDRESS [--at ADDRESS]
                                      what the instance whose operators' door is there holds of its fleet; of two, where
                                      they differ
    ochreshed snapshot show|verify FILE
                                      what a snapshot holds, or whether it is whole
    ochreshed check [--facts FILE]    read the start facts, say what they amount to, and exit
    ochreshed version
    ochreshed help

FILE holds the start facts as JSON; without it ROUTER_CONFIG names the file.
";

enum Command {
    Serve(PathBuf, Option<PathBuf>),
    Check(PathBuf),
    Fleet(Vec<SocketAddr>),
    /// Whether to show what it holds.
    Snapshot(PathBuf, bool),
    Version,
    Help,
}

fn main() -> ExitCode {
    let done = match mesh::parse(std::env::args_os().skip(1).collect()) {
        Some(command) => mesh::run(command),
        None => command().and_then(run),
    };
    match done {
        Ok(code) => code,
        Err(why) => {
            eprintln!("ochreshed: {why}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Result<Command, String> {
    let mut args = lexopt::Parser::from_env();
    let (mut name, mut file, mut fleet, mut at) = (None, None, None, Vec::new());
    let mut words = Vec::new();
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("facts") => file = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("fleet") => fleet = Some(PathBuf::from(args.value().map_err(|e| e.to_string())?)),
            Long("at") => at.push(args.value().and_then(|at| at.parse()).map_err(|e| e.to_string())?),
            Value(word) if name.is_none() => name = Some(word),
            Value(word) if name.as_ref().is_some_and(|name| name == "snapshot") && words.len() < 2 => {
                words.push(word)
            }
            other => return Err(format!("{}; see `ochreshed help`", other.unexpected())),
        }
    }
    let file = || {
        let told = || std::env::var_os("ROUTER_CONFIG").map(PathBuf::from);
        file.or_else(told).ok_or("no --facts FILE, and ROUTER_CONFIG names none".to_owned())
    };
    match name.as_ref().and_then(|name| name.to_str()) {
        Some("serve") => Ok(Command::Serve(file()?, fleet)),
        Some("fleet") if at.is_empty() => Err("fleet wants --at ADDRESS, an operators' door".into()),
        Some("fleet") => Ok(Command::Fleet(at)),
        Some("snapshot") => match &words[..] {
            [what, file] if what == "show" || what == "verify" => {
                Ok(Command::Snapshot(PathBuf::from(file), what == "show"))
            }
            _ => Err("snapshot wants show or verify, and a file".into()),
        },
        Some("check") => Ok(Command::Check(file()?)),
        Some("version") => Ok(Command::Version),
        Some("help") | None => Ok(Command::Help),
        Some(other) => Err(format!("there is no command {other}; see `ochreshed help`")),
    }
}

fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Serve(file, fleet) => {
            let mut start = StartFacts::read(&file)?;
            let peers = start.unused.contains(&"Peers");
            let fleet = fleet.map(|file| FleetFile::read(&file, peers)).transpose()?;
            start.unused.retain(|name| fleet.is_none() || *name != "Peers");
            serve(start, fleet)
        }
        Command::Fleet(at) => {
            let pages = at.iter().map(|at| fleet::page::ask(*at)).collect::<Result<Vec<_>, _>>()?;
            match &pages[..] {
                [one, other] => {
                    let lines = fleet::page::differences(one, other);
                    lines.iter().for_each(|line| println!("{line}"));
                    println!("{} differences", lines.len());
                }
                pages => pages.iter().for_each(|page| print!("{page}")),
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Snapshot(file, show) => {
            println!("{}", fleet::keep::inspect(&file, show)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Check(file) => {
            let start = StartFacts::read(&file)?;
            let (name, listen, discovery) = (start.name, start.listen, start.discovery);
            println!("{name} listens on {listen} and asks {discovery} for the list");
            println!("at most {} callers and {} connections to srvs", start.most_in, start.most_out);
            Ok(ExitCode::SUCCESS)
        }
        Command::Version => {
            println!("ochreshed {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        Command::Help => {
            print!("{HELP}\n{}", mesh::HELP);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn serve(start: StartFacts, fleet: Option<FleetFile>) -> Result<ExitCode, String> {
    // Lines that nobody takes off are lost rather than waited for.
    let (lines, _writer) = tracing_appender::non_blocking(std::io::stderr());
    let subscriber =
        tracing_subscriber::fmt().with_writer(lines).with_ansi(false).with_target(false).finish();
    // Unlike `init`, this leaves out the records of the `log` crate, which are the mesh's.
    tracing::subscriber::set_global_default(subscriber).map_err(|e| format!("no log: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("no runtime: {e}"))?.block_on(phases::run(start, fleet))
}
