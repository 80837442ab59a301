//! The program: it reads its command line and starts what was asked for.
//!
//! The mesh's subcommands are tried first ([`mesh::parse`]), then those of the load balancer without a mesh
//! ([`command_line`]).
//!
//! Invariant: nothing is served on start facts that were not read and checked first.

mod address_sharing;
mod body;
mod client_listener;
mod clock;
mod command_line;
mod connection;
mod decision_actor;
mod discovery;
mod endpoint_pool;
mod fleet;
mod http_client;
mod lifecycle;
mod mesh;
mod metrics;
mod operator_api;
mod settings;
mod start_facts;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use command_line::{Command, SnapshotAction};
use fleet::config::FleetConfig;
use start_facts::StartFacts;

fn main() -> ExitCode {
    match run_command_line() {
        Ok(code) => code,
        Err(why) => {
            eprintln!("ochreshed: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run_command_line() -> Result<ExitCode, String> {
    if let Some(command) = mesh::parse(std::env::args_os().skip(1).collect()) {
        return mesh::run(command);
    }
    let command = command_line::parse(lexopt::Parser::from_env()).map_err(|why| why.to_string())?;
    match command {
        Command::Serve { facts, fleet } => run_serve(&facts, fleet.as_deref()),
        Command::Check { facts } => check_facts(&facts),
        Command::Fleet { instances } => show_fleet(&instances),
        Command::Snapshot { action, file } => {
            println!("{}", fleet::snapshot_store::inspect(&file, action == SnapshotAction::Show)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Version => {
            println!("ochreshed {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        Command::Help => {
            print!("{}\n{}", command_line::HELP, mesh::HELP);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run_serve(facts: &Path, fleet: Option<&Path>) -> Result<ExitCode, String> {
    let mut start = StartFacts::read(facts)?;
    let has_peers = start.unused_features.contains(&"Peers");
    let fleet = fleet.map(|file| FleetConfig::read(file, has_peers)).transpose()?;
    start.unused_features.retain(|name| fleet.is_none() || *name != "Peers");
    serve(start, fleet)
}

/// Prints what the instances hold of their fleet; of two instances, where they differ.
fn show_fleet(instances: &[SocketAddr]) -> Result<ExitCode, String> {
    let pages =
        instances.iter().map(|address| fleet::status_page::fetch(*address)).collect::<Result<Vec<_>, _>>()?;
    match &pages[..] {
        [first, second] => {
            let lines = fleet::status_page::differences(first, second);
            lines.iter().for_each(|line| println!("{line}"));
            println!("{} differences", lines.len());
        }
        pages => pages.iter().for_each(|page| print!("{page}")),
    }
    Ok(ExitCode::SUCCESS)
}

fn check_facts(facts: &Path) -> Result<ExitCode, String> {
    let start = StartFacts::read(facts)?;
    let (name, listen, discovery) = (start.name, start.listen, start.discovery);
    println!("{name} listens on {listen} and asks {discovery} for the list");
    println!(
        "at most {} callers and {} connections to srvs",
        start.max_client_connections, start.max_server_connections
    );
    Ok(ExitCode::SUCCESS)
}

fn serve(start: StartFacts, fleet: Option<FleetConfig>) -> Result<ExitCode, String> {
    // A log that nobody reads must not hold up requests, so its lines are dropped rather than waited for.
    let (lines, _writer) = tracing_appender::non_blocking(std::io::stderr());
    let subscriber =
        tracing_subscriber::fmt().with_writer(lines).with_ansi(false).with_target(false).finish();
    // Unlike `init`, this leaves out the records of the `log` crate, which are the mesh's.
    tracing::subscriber::set_global_default(subscriber).map_err(|e| format!("no log: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("no runtime: {e}"))?.block_on(lifecycle::run(start, fleet))
}
