//! The mesh's roles on sockets: the attendant beside an upstream and its clients, and the steward of the core. It owns
//! how they start; what they decide together is in `ochreshed-mesh` and in the module.

mod attendant;
mod berths;
mod carry;
#[cfg(test)]
mod carry_tests;
mod client;
mod control;
mod desk;
#[cfg(test)]
mod desk_tests;
mod door;
mod entry;
mod fence;
mod gate;
#[cfg(test)]
mod gate_tests;
mod headers;
mod hollow;
mod inbound_request;
mod keys;
mod line;
mod news;
mod seats;
mod sessions;
mod settings;
mod start;
mod wire;

use std::process::ExitCode;

use line::{Command, LineError};
pub use line::{HELP, parse};

/// Carries out a command of the mesh's; an error is a plain line for whoever started the program.
pub fn run(command: Result<Command, LineError>) -> Result<ExitCode, String> {
    match command {
        Ok(Command::Attendant { settings }) => attendant::run(settings).map_err(|why| why.to_string()),
        Ok(Command::Steward { settings }) => control::run(settings).map_err(|why| why.to_string()),
        Ok(Command::Settings { settings }) => client::settings(settings).map_err(|why| why.to_string()),
        Ok(Command::Hollow(wanted)) => hollow::run(wanted).map_err(|why| why.to_string()),
        Ok(Command::Client { at, json, what }) => client::ask(&at, json, what),
        Err(LineError::Help(text)) => {
            print!("{text}");
            Ok(ExitCode::SUCCESS)
        }
        Err(why) => Err(why.to_string()),
    }
}
