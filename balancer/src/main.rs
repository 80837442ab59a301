//! The program: reads its command line and runs the command.
//!
//! The mesh's subcommands are tried first ([`mesh::parse`]), then those of the load balancer without a mesh
//! ([`command_line`]).
//!
//! Invariant: no request is served before the start facts have been read and checked.

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
        Err(error) => {
            eprintln!("ochreshed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_command_line() -> Result<ExitCode, String> {
    if let Some(command) = mesh::parse(std::env::args_os().skip(1).collect()) {
        return mesh::run(command);
    }
    let command = command_line::parse(lexopt::Parser::from_env()).map_err(|error| error.to_string())?;
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
    let allows_peers = start.unused_features.contains(&"Peers");
    let fleet = fleet.map(|file| FleetConfig::read(file, allows_peers)).transpose()?;
    start.unused_features.retain(|name| fleet.is_none() || *name != "Peers");
    serve(start, fleet)
}

/// Prints the fleet status pages of the instances; for two instances, their differences.
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
    // Lines are dropped if the log is not read fast enough: logging must not delay requests.
    let (lines, _writer) = tracing_appender::non_blocking(std::io::stderr());
    let subscriber =
        tracing_subscriber::fmt().with_writer(lines).with_ansi(false).with_target(false).finish();
    // Unlike `init`, this leaves out the records of the `log` crate, which are the mesh's.
    tracing::subscriber::set_global_default(subscriber).map_err(|e| format!("can't set up logging: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("can't start the runtime: {e}"))?.block_on(lifecycle::run(start, fleet))
}
