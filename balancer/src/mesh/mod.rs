//! The mesh's roles on sockets: the attendant beside an upstream and its clients, and the steward of the core. It owns
//! how they start; what they decide together is in `ochreshed-mesh` and in the module.

mod client;
mod docs;
mod full;
mod hollow;
mod line;
mod members;
mod metrics;
mod pages;
mod proxy;
mod report;
mod rpc;
mod session_calls;
mod settings;
mod start;
mod steward;

use std::process::ExitCode;

use line::{Command, LineError};
pub use line::{HELP, parse};

/// Carries out a command of the mesh's; an error is a plain line for whoever started the program.
pub fn run(command: Result<Command, LineError>) -> Result<ExitCode, String> {
    match command {
        Ok(Command::Attendant { settings }) => proxy::run(settings).map_err(|why| why.to_string()),
        Ok(Command::Steward { settings }) => steward::run(settings).map_err(|why| why.to_string()),
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
