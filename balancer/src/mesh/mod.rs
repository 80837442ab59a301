//! The mesh's roles on sockets: the attendant beside an upstream and its clients, and the steward of the core. It owns
//! how they start; what they decide together is in `ochreshed-catalog`, `ochreshed-traffic` and in the module.

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

/// Carries out a command of the mesh's; an error is a plain line for whoever started the program.
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
