//! The mesh's roles on sockets: the attendant beside an upstream and its clients, and the steward of the core. It owns
//! how they start; what they decide together is in `ochreshed-mesh` and in the module.

mod attendant;
mod berths;
mod carry;
#[cfg(test)]
mod carry_tests;
mod command_line;
mod desk;
#[cfg(test)]
mod desk_tests;
mod docs;
mod door;
mod entry;
mod fence;
mod full;
mod gate;
#[cfg(test)]
mod gate_tests;
mod headers;
mod hollow;
mod inbound_request;
mod keys;
mod members;
mod metrics;
mod news;
mod operator_client;
mod pages;
mod report;
mod seats;
mod session_calls;
mod sessions;
mod settings;
mod start;
mod steward;
mod wire;

use std::process::ExitCode;

use command_line::{Command, CommandLineError};
pub use command_line::{HELP, parse};

/// Carries out a command of the mesh's; an error is a plain line for whoever started the program.
pub fn run(command: Result<Command, CommandLineError>) -> Result<ExitCode, String> {
    match command {
        Ok(Command::Attendant { settings }) => attendant::run(settings).map_err(|why| why.to_string()),
        Ok(Command::Steward { settings }) => steward::run(settings).map_err(|why| why.to_string()),
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
