//! The service mesh's programs: the data plane ([`proxy`]), the control plane ([`control`]), the operators' client
//! ([`operator_client`]) and the load generator ([`load_generator`]).
//!
//! [`parse`] parses a command line and [`run`] runs it. The decision logic is in the crates `ochreshed-catalog`,
//! `ochreshed-traffic` and `ochreshed-consensus` and in the policy module; these modules connect it to sockets and
//! disks.

mod command_line;
mod control;
mod load_generator;
mod operator_client;
mod proxy;
mod rpc;
mod settings;
mod shared;
mod start;

use std::process::ExitCode;

use command_line::{Command, CommandLineError};
pub use command_line::{HELP, parse};

/// Runs a command. The error is a text for the user.
pub fn run(command: Result<Command, CommandLineError>) -> Result<ExitCode, String> {
    match command {
        Ok(Command::Proxy { settings }) => proxy::run(settings).map_err(|error| error.to_string()),
        Ok(Command::Replica { settings }) => control::run(settings).map_err(|error| error.to_string()),
        Ok(Command::Settings { settings }) => {
            operator_client::check_settings(settings).map_err(|error| error.to_string())
        }
        Ok(Command::LoadGenerator(options)) => {
            load_generator::run(options).map_err(|error| error.to_string())
        }
        Ok(Command::Client { replicas, json, command }) => {
            operator_client::run(&replicas, json, command).map_err(|error| error.to_string())
        }
        Err(CommandLineError::HelpRequested { page }) => {
            print!("{page}");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => Err(error.to_string()),
    }
}
