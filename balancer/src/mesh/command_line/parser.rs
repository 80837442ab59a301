//! The command-line parser: [`parse`]. [`ArgumentParser`] takes the options and passes the rest to
//! [`PositionalArguments`].
//!
//! Invariant: options are taken first, by name and at any position; the remaining arguments must be those that the
//! command expects, in order.

use std::convert::Infallible;
use std::ffi::{OsStr, OsString};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use pico_args::Arguments;

use super::argument_text::{is_option, nearest_candidate, parse_address, unexpected_argument};
use super::commands::{ClientCommand, Command, Subcommand};
use super::error::CommandLineError;
use super::options::{
    AT, COUNT, FIRST, HEADER, INNER, JOINABLE_OPTIONS, JSON, KEY, SEED, SERVICE, SERVICES, SETTINGS, TO,
};
use super::positional_arguments::{PositionalArguments, SessionOptions};
use crate::mesh::load_generator::LoadGeneratorOptions;

/// Subcommands of the program's other command-line parser (`crate::command_line`).
const OTHER_COMMANDS: [&str; 6] = ["serve", "fleet", "snapshot", "check", "version", "help"];

const MAX_SIMULATED_NODES: usize = 5_000;
const MAX_FIRST_NODE_NUMBER: usize = 1_000_000;
const MAX_SIMULATED_SERVICES: usize = 1_000;
const DEFAULT_SIMULATED_SERVICES: usize = 10;

/// Parses the arguments after the program's name. `None` means that the first one is not a subcommand of the mesh, so
/// that the other parser takes over. A misspelled name that is closer to a subcommand of the mesh than to the others is
/// an error here.
pub fn parse(mut args: Vec<OsString>) -> Option<Result<Command, CommandLineError>> {
    let first = args.first()?.to_str()?.to_owned();
    let Some(command) = Subcommand::ALL.into_iter().find(|command| command.name() == first) else {
        return check_misspelled_command(first).map(Err);
    };
    args.remove(0);
    Some(ArgumentParser::new(command, args).parse())
}

fn check_misspelled_command(name: String) -> Option<CommandLineError> {
    let names = Subcommand::ALL.into_iter().map(Subcommand::name);
    let nearest = nearest_candidate(&name, OTHER_COMMANDS.into_iter().chain(names))?;
    if OTHER_COMMANDS.contains(&nearest) || name.starts_with('-') {
        return None;
    }
    Some(CommandLineError::UnknownCommand { name, nearest })
}

/// The arguments after a subcommand.
struct ArgumentParser {
    command: Subcommand,
    options: Arguments,
    /// The arguments after `--`, which are never parsed as options.
    after_separator: Vec<OsString>,
}

impl ArgumentParser {
    fn new(command: Subcommand, mut args: Vec<OsString>) -> ArgumentParser {
        let separator = args.iter().position(|arg| arg == "--").unwrap_or(args.len());
        let after_separator = args.split_off(separator).into_iter().skip(1).collect();
        let options = args.into_iter().flat_map(split_joined_option).collect();
        ArgumentParser { command, options: Arguments::from_vec(options), after_separator }
    }

    fn parse(mut self) -> Result<Command, CommandLineError> {
        if self.options.contains(["-h", "--help"]) {
            return Err(CommandLineError::HelpRequested { page: self.command.help() });
        }
        match self.command {
            Subcommand::Proxy => Ok(Command::Proxy { settings: self.parse_settings_path()? }),
            Subcommand::Replica => Ok(Command::Replica { settings: self.parse_settings_path()? }),
            Subcommand::Settings => Ok(Command::Settings { settings: self.parse_settings_path()? }),
            Subcommand::LoadGenerator => self.parse_load_generator().map(Command::LoadGenerator),
            _ => self.parse_client(),
        }
    }

    /// Parses the command line of a process that takes only `--settings`.
    fn parse_settings_path(mut self) -> Result<Option<PathBuf>, CommandLineError> {
        let file = self.take_optional_value(SETTINGS)?;
        self.into_positional(&[SETTINGS])?.expect_end()?;
        Ok(file.map(PathBuf::from))
    }

    fn parse_load_generator(mut self) -> Result<LoadGeneratorOptions, CommandLineError> {
        let seeds = self.take_seeds()?;
        let node_count = self.take_number(COUNT, 1..=MAX_SIMULATED_NODES)?;
        let node_count = node_count.ok_or_else(|| self.missing(COUNT))?;
        let internal_port = self.take_number(INNER, 1..=usize::from(u16::MAX))?;
        let internal_port = internal_port.ok_or_else(|| self.missing(INNER))? as u16;
        let first_node_number = self.take_number(FIRST, 0..=MAX_FIRST_NODE_NUMBER)?.unwrap_or(0);
        let service_count = self.take_number(SERVICES, 1..=MAX_SIMULATED_SERVICES)?;
        let service_count = service_count.unwrap_or(DEFAULT_SIMULATED_SERVICES);
        if seeds.is_empty() {
            return Err(self.missing(SEED));
        }
        self.into_positional(&[SEED, COUNT, INNER, FIRST, SERVICES])?.expect_end()?;
        Ok(LoadGeneratorOptions { node_count, first_node_number, seeds, internal_port, service_count })
    }

    fn parse_client(mut self) -> Result<Command, CommandLineError> {
        let command = self.command;
        let json = self.take_flag(JSON);
        let addresses = self.take_values(AT)?;
        let parse_one = |value: &OsString| parse_address(command, value);
        let replicas = addresses.iter().map(parse_one).collect::<Result<Vec<_>, _>>()?;
        let (mut arguments, client_command) = match command {
            Subcommand::Member => self.parse_member()?,
            Subcommand::Session => self.parse_session()?,
            _ => {
                let mut arguments = self.into_positional(&[AT, JSON])?;
                let client_command = arguments.parse_client_command()?;
                (arguments, client_command)
            }
        };
        arguments.expect_end()?;
        if replicas.is_empty() {
            let expected = "--at ADDRESS, the control gate of a steward";
            return Err(CommandLineError::MissingArgument { command, expected });
        }
        Ok(Command::Client { replicas, json, command: client_command })
    }

    fn parse_member(mut self) -> Result<(PositionalArguments, ClientCommand), CommandLineError> {
        let key_file = self.take_optional_value(KEY)?.map(PathBuf::from);
        let mut arguments = self.into_positional(&[AT, JSON, KEY])?;
        let name = arguments.next_text("the NAME of a member", "the NAME of a member")?;
        let command = arguments.parse_member_command()?;
        Ok((arguments, ClientCommand::Member { name, command, key_file }))
    }

    fn parse_session(mut self) -> Result<(PositionalArguments, ClientCommand), CommandLineError> {
        // Errors in these options are reported only after the arguments that precede them in the help page are valid.
        let options = SessionOptions {
            service: self.take_values(SERVICE),
            header: self.take_values(HEADER),
            target: self.take_values(TO),
        };
        let mut arguments = self.into_positional(&[AT, JSON, SERVICE, HEADER, TO])?;
        let command = arguments.parse_session_command(options)?;
        Ok((arguments, command))
    }

    fn take_flag(&mut self, option: &'static str) -> bool {
        let mut given = false;
        while self.options.contains(option) {
            given = true;
        }
        given
    }

    /// Takes all values of an option. A value must not begin with `-`, except for `-` itself.
    fn take_values(&mut self, option: &'static str) -> Result<Vec<OsString>, CommandLineError> {
        let missing = || CommandLineError::MissingValue { command: self.command, option };
        let values = self.options.values_from_os_str(option, |value| Ok::<_, Infallible>(value.to_owned()));
        let values = values.map_err(|_| missing())?;
        if values.iter().any(|value| value.is_empty() || is_option(value)) {
            return Err(missing());
        }
        Ok(values)
    }

    fn take_optional_value(&mut self, option: &'static str) -> Result<Option<OsString>, CommandLineError> {
        let mut values = self.take_values(option)?;
        if values.len() > 1 {
            return Err(CommandLineError::RepeatedOption { command: self.command, option });
        }
        Ok(values.pop())
    }

    fn take_number(
        &mut self,
        option: &'static str,
        range: RangeInclusive<usize>,
    ) -> Result<Option<usize>, CommandLineError> {
        let Some(value) = self.take_optional_value(option)? else { return Ok(None) };
        let number = value.to_str().and_then(|text| text.parse().ok());
        let number = number.filter(|number| range.contains(number));
        number.ok_or_else(|| self.invalid_value(option, &value)).map(Some)
    }

    fn take_seeds(&mut self) -> Result<Vec<SocketAddr>, CommandLineError> {
        let values = self.take_values(SEED)?;
        let command = self.command;
        let parse_seed =
            |value: &OsString| parse_address(command, value).map_err(|_| self.invalid_value(SEED, value));
        values.iter().map(parse_seed).collect()
    }

    fn missing(&self, expected: &'static str) -> CommandLineError {
        CommandLineError::MissingArgument { command: self.command, expected }
    }

    fn invalid_value(&self, option: &'static str, value: &OsStr) -> CommandLineError {
        let value = value.to_string_lossy().into_owned();
        CommandLineError::InvalidValue { command: self.command, option, value }
    }

    /// Returns the positional arguments once all options were taken. `options` are the options of the command, for
    /// suggestions.
    fn into_positional(self, options: &[&'static str]) -> Result<PositionalArguments, CommandLineError> {
        let mut arguments = self.options.finish();
        if let Some(option) = arguments.iter().find(|argument| is_option(argument)) {
            return Err(unexpected_argument(self.command, option, options));
        }
        arguments.extend(self.after_separator);
        Ok(PositionalArguments::new(self.command, arguments))
    }
}

/// Splits `--at=ADDRESS` into two arguments.
fn split_joined_option(arg: OsString) -> Vec<OsString> {
    let pair = arg.to_str().and_then(|arg| arg.split_once('='));
    match pair {
        Some((option, value)) if JOINABLE_OPTIONS.contains(&option) => vec![option.into(), value.into()],
        _ => vec![arg],
    }
}
