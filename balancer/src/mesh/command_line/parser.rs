//! Reads a command line: [`parse`]. [`ArgumentParser`] takes the options; what is left goes to [`Words`].
//!
//! Invariant: options are taken first, by name and wherever they stand; whatever is left must be a word that the
//! command asks for, in order.

use std::convert::Infallible;
use std::ffi::{OsStr, OsString};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use pico_args::Arguments;

use super::commands::{ClientCommand, Command, Subcommand};
use super::error::CommandLineError;
use super::options::{
    AT, COUNT, FIRST, HEADER, INNER, JOINABLE_OPTIONS, JSON, KEY, SEED, SERVICE, SERVICES, SETTINGS, TO,
};
use super::typed_words::{is_option, nearest_word, parse_address, unexpected_word};
use super::words::{SessionOptions, Words};
use crate::mesh::hollow::HollowOptions;

/// The commands of the older command line.
const OLDER_COMMANDS: [&str; 6] = ["serve", "fleet", "snapshot", "check", "version", "help"];

const MAX_HOLLOW_COUNT: usize = 5_000;
const MAX_HOLLOW_FIRST: usize = 1_000_000;
const MAX_HOLLOW_SERVICES: usize = 1_000;
const DEFAULT_HOLLOW_SERVICES: usize = 10;

/// Reads the words after the program's name. `None` means that the first is none of the mesh's commands, so that the
/// older command line takes over. A misspelt word that is nearer to one of the mesh's commands than to the older ones
/// is answered here.
pub fn parse(mut args: Vec<OsString>) -> Option<Result<Command, CommandLineError>> {
    let first = args.first()?.to_str()?.to_owned();
    let Some(command) = Subcommand::ALL.into_iter().find(|command| command.name() == first) else {
        return misspelt_command(first).map(Err);
    };
    args.remove(0);
    Some(ArgumentParser::new(command, args).parse())
}

fn misspelt_command(word: String) -> Option<CommandLineError> {
    let names = Subcommand::ALL.into_iter().map(Subcommand::name);
    let nearest = nearest_word(&word, OLDER_COMMANDS.into_iter().chain(names))?;
    if OLDER_COMMANDS.contains(&nearest) || word.starts_with('-') {
        return None;
    }
    Some(CommandLineError::UnknownCommand { word, nearest })
}

/// The words after a subcommand.
struct ArgumentParser {
    command: Subcommand,
    options: Arguments,
    /// The words after `--`, which are no options whatever they look like.
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
            Subcommand::Attendant => Ok(Command::Attendant { settings: self.parse_process()? }),
            Subcommand::Steward => Ok(Command::Steward { settings: self.parse_process()? }),
            Subcommand::Settings => Ok(Command::Settings { settings: self.parse_process()? }),
            Subcommand::Hollow => self.parse_hollow().map(Command::Hollow),
            _ => self.parse_client(),
        }
    }

    /// The settings file of a process, which is all that its command line can name.
    fn parse_process(mut self) -> Result<Option<PathBuf>, CommandLineError> {
        let file = self.take_at_most_one(SETTINGS)?;
        self.into_words(&[SETTINGS])?.expect_end()?;
        Ok(file.map(PathBuf::from))
    }

    fn parse_hollow(mut self) -> Result<HollowOptions, CommandLineError> {
        let seeds = self.take_seeds()?;
        let count = self.take_number(COUNT, 1..=MAX_HOLLOW_COUNT)?;
        let count = count.ok_or_else(|| self.missing(COUNT))?;
        let internal_port = self.take_number(INNER, 1..=usize::from(u16::MAX))?;
        let internal_port = internal_port.ok_or_else(|| self.missing(INNER))? as u16;
        let first = self.take_number(FIRST, 0..=MAX_HOLLOW_FIRST)?.unwrap_or(0);
        let services = self.take_number(SERVICES, 1..=MAX_HOLLOW_SERVICES)?;
        let services = services.unwrap_or(DEFAULT_HOLLOW_SERVICES);
        if seeds.is_empty() {
            return Err(self.missing(SEED));
        }
        self.into_words(&[SEED, COUNT, INNER, FIRST, SERVICES])?.expect_end()?;
        Ok(HollowOptions { count, first, seeds, internal_port, services })
    }

    fn parse_client(mut self) -> Result<Command, CommandLineError> {
        let command = self.command;
        let json = self.take_flag(JSON);
        let addresses = self.take_values(AT)?;
        let parse_one = |value: &OsString| parse_address(command, value);
        let replicas = addresses.iter().map(parse_one).collect::<Result<Vec<_>, _>>()?;
        let (mut words, client_command) = match command {
            Subcommand::Member => self.parse_member()?,
            Subcommand::Session => self.parse_session()?,
            _ => {
                let mut words = self.into_words(&[AT, JSON])?;
                let client_command = words.parse_client_command()?;
                (words, client_command)
            }
        };
        words.expect_end()?;
        if replicas.is_empty() {
            let expected = "--at ADDRESS, the control gate of a steward";
            return Err(CommandLineError::MissingArgument { command, expected });
        }
        Ok(Command::Client { replicas, json, command: client_command })
    }

    fn parse_member(mut self) -> Result<(Words, ClientCommand), CommandLineError> {
        let key_file = self.take_at_most_one(KEY)?.map(PathBuf::from);
        let mut words = self.into_words(&[AT, JSON, KEY])?;
        let name = words.next_text("the NAME of a member", "the NAME of a member")?;
        let command = words.parse_member_command()?;
        Ok((words, ClientCommand::Member { name, command, key_file }))
    }

    fn parse_session(mut self) -> Result<(Words, ClientCommand), CommandLineError> {
        // What is wrong with an option is only reported once the words before it in the help page are understood.
        let options = SessionOptions {
            service: self.take_values(SERVICE),
            header: self.take_values(HEADER),
            target: self.take_values(TO),
        };
        let mut words = self.into_words(&[AT, JSON, SERVICE, HEADER, TO])?;
        let command = words.parse_session_command(options)?;
        Ok((words, command))
    }

    fn take_flag(&mut self, option: &'static str) -> bool {
        let mut given = false;
        while self.options.contains(option) {
            given = true;
        }
        given
    }

    /// Takes all values of an option. A value does not look like an option.
    fn take_values(&mut self, option: &'static str) -> Result<Vec<OsString>, CommandLineError> {
        let missing = || CommandLineError::MissingValue { command: self.command, option };
        let values = self.options.values_from_os_str(option, |value| Ok::<_, Infallible>(value.to_owned()));
        let values = values.map_err(|_| missing())?;
        if values.iter().any(|value| value.is_empty() || is_option(value)) {
            return Err(missing());
        }
        Ok(values)
    }

    fn take_at_most_one(&mut self, option: &'static str) -> Result<Option<OsString>, CommandLineError> {
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
        let Some(value) = self.take_at_most_one(option)? else { return Ok(None) };
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

    /// The words that are no option, once all options were taken. `options` are those that the command has.
    fn into_words(self, options: &[&'static str]) -> Result<Words, CommandLineError> {
        let mut words = self.options.finish();
        if let Some(option) = words.iter().find(|word| is_option(word)) {
            return Err(unexpected_word(self.command, option, options));
        }
        words.extend(self.after_separator);
        Ok(Words::new(self.command, words))
    }
}

/// Makes two words of `--at=ADDRESS`.
fn split_joined_option(arg: OsString) -> Vec<OsString> {
    let pair = arg.to_str().and_then(|arg| arg.split_once('='));
    match pair {
        Some((option, value)) if JOINABLE_OPTIONS.contains(&option) => vec![option.into(), value.into()],
        _ => vec![arg],
    }
}
