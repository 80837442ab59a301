//! The service mesh's programs: the data plane ([`proxy`]), the control plane ([`control`]), the operators' client
//! ([`operator_client`]) and the load tool ([`hollow`]).
//!
//! [`parse`] reads a command line, [`run`] carries it out. What the programs decide is in the crates
//! `ochreshed-catalog`, `ochreshed-traffic` and `ochreshed-consensus` and in the decision module; here it is connected
//! to sockets and disks.

mod command_line;
mod control;
mod hollow;
mod operator_client;
mod proxy;
mod rpc;
mod settings;
mod shared;
mod start;

use std::process::ExitCode;

use command_line::{Command, CommandLineError};
pub use command_line::{HELP, parse};

/// Carries out a command. An error is one line of text for the person who started the program.
pub fn run(command: Result<Command, CommandLineError>) -> Result<ExitCode, String> {
    match command {
        Ok(Command::Attendant { settings }) => proxy::run(settings).map_err(|why| why.to_string()),
        Ok(Command::Steward { settings }) => control::run(settings).map_err(|why| why.to_string()),
        Ok(Command::Settings { settings }) => {
            operator_client::check_settings(settings).map_err(|why| why.to_string())
        }
        Ok(Command::Hollow(options)) => hollow::run(options).map_err(|why| why.to_string()),
        Ok(Command::Client { replicas, json, command }) => {
            operator_client::run(&replicas, json, command).map_err(|why| why.to_string())
        }
        Err(CommandLineError::HelpRequested { page }) => {
            print!("{page}");
            Ok(ExitCode::SUCCESS)
        }
        Err(why) => Err(why.to_string()),
    }
}
