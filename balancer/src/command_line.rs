//! The command line of the load balancer without a mesh: `serve`, `fleet`, `snapshot`, `check`, `version` and
//! `help`. The mesh's subcommands are parsed in [`crate::mesh`], which is tried first.
//!
//! [`parse`] returns a [`Command`], or a [`CommandLineError`] for the user.
//!
//! Invariant: parsing reads only the arguments and the environment variable that names the start facts.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;
use thiserror::Error;

/// The first part of the help page; the mesh's part follows it.
pub const HELP: &str = "\
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

/// The environment variable that names the start facts if the command line does not.
const FACTS_VARIABLE: &str = "ROUTER_CONFIG";
/// The arguments of `snapshot`: the action and the file.
const SNAPSHOT_ARGUMENTS: usize = 2;

/// A parsed command line.
pub enum Command {
    /// Serve until SIGTERM.
    Serve {
        /// The file of the start facts.
        facts: PathBuf,
        /// The file that configures the communication with other instances.
        fleet: Option<PathBuf>,
    },
    /// Check the start facts.
    Check {
        /// The file of the start facts.
        facts: PathBuf,
    },
    /// Show what instances know about their fleet.
    Fleet {
        /// The operator addresses of the instances.
        instances: Vec<SocketAddr>,
    },
    /// Read a snapshot.
    Snapshot {
        /// Whether to show it or only to verify it.
        action: SnapshotAction,
        /// The snapshot.
        file: PathBuf,
    },
    /// Print the version.
    Version,
    /// Print the help page.
    Help,
}

/// What to do with a snapshot.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SnapshotAction {
    Show,
    Verify,
}

/// Why a command line was refused.
#[derive(Debug, Error)]
pub enum CommandLineError {
    /// An option without its value, or with an invalid one.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// An option or argument that no command has.
    #[error("{0}; see `ochreshed help`")]
    Unexpected(lexopt::Error),
    /// Neither the command line nor the environment names the start facts.
    #[error("no --facts FILE, and {FACTS_VARIABLE} names none")]
    NoFacts,
    /// `fleet` without an address.
    #[error("fleet wants --at ADDRESS, an operators' door")]
    NoInstance,
    /// `snapshot` without its two arguments.
    #[error("snapshot wants show or verify, and a file")]
    IncompleteSnapshot,
    /// The first argument is no command.
    #[error("there is no command {0}; see `ochreshed help`")]
    UnknownCommand(String),
}

/// The parts of a command line, in any order.
#[derive(Default)]
struct Arguments {
    command: Option<OsString>,
    snapshot_arguments: Vec<OsString>,
    facts: Option<PathBuf>,
    fleet: Option<PathBuf>,
    instances: Vec<SocketAddr>,
}

/// Parses a command line.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command, CommandLineError> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("facts") => arguments.facts = Some(parser.value()?.into()),
            Long("fleet") => arguments.fleet = Some(parser.value()?.into()),
            Long("at") => arguments.instances.push(parser.value()?.parse()?),
            Value(word) if arguments.command.is_none() => arguments.command = Some(word),
            Value(word) if arguments.expects_snapshot_argument() => arguments.snapshot_arguments.push(word),
            other => return Err(CommandLineError::Unexpected(other.unexpected())),
        }
    }
    arguments.into_command()
}

impl Arguments {
    fn expects_snapshot_argument(&self) -> bool {
        let is_snapshot = self.command.as_ref().is_some_and(|command| command == "snapshot");
        is_snapshot && self.snapshot_arguments.len() < SNAPSHOT_ARGUMENTS
    }

    fn into_command(self) -> Result<Command, CommandLineError> {
        match self.command.as_ref().and_then(|command| command.to_str()) {
            Some("serve") => Ok(Command::Serve { facts: facts_file(self.facts)?, fleet: self.fleet }),
            Some("check") => Ok(Command::Check { facts: facts_file(self.facts)? }),
            Some("fleet") if self.instances.is_empty() => Err(CommandLineError::NoInstance),
            Some("fleet") => Ok(Command::Fleet { instances: self.instances }),
            Some("snapshot") => snapshot_command(&self.snapshot_arguments),
            Some("version") => Ok(Command::Version),
            Some("help") | None => Ok(Command::Help),
            Some(other) => Err(CommandLineError::UnknownCommand(other.to_owned())),
        }
    }
}

fn snapshot_command(words: &[OsString]) -> Result<Command, CommandLineError> {
    let [action, file] = words else { return Err(CommandLineError::IncompleteSnapshot) };
    let action = match action.to_str() {
        Some("show") => SnapshotAction::Show,
        Some("verify") => SnapshotAction::Verify,
        _ => return Err(CommandLineError::IncompleteSnapshot),
    };
    Ok(Command::Snapshot { action, file: PathBuf::from(file) })
}

/// The file from the command line, or else the one from the environment.
fn facts_file(given: Option<PathBuf>) -> Result<PathBuf, CommandLineError> {
    let from_environment = || std::env::var_os(FACTS_VARIABLE).map(PathBuf::from);
    given.or_else(from_environment).ok_or(CommandLineError::NoFacts)
}
