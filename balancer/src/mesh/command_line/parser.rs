//! Reads the words of a command line: [`parse`].
//!
//! Invariant: options are taken first, by name; whatever is left must be a word that the command asks for, in order.

use std::convert::Infallible;
use std::ffi::{OsStr, OsString};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::vec::IntoIter;

use pico_args::Arguments;

use super::commands::{
    ClientCommand, Command, ConfigurationCommand, MemberCommand, RegisterCommand, SessionAction,
    SessionCommand, Subcommand,
};
use super::error::CommandLineError;
use crate::mesh::hollow::HollowOptions;

/// The commands of the older command line.
const OLDER_COMMANDS: [&str; 6] = ["serve", "fleet", "snapshot", "check", "version", "help"];
const CONFIGURATION_VERBS: [&str; 4] = ["read", "replace", "history", "diff"];
const MEMBERS_VERBS: [&str; 3] = ["read", "replace", "diff"];
const MEMBER_VERBS: [&str; 9] =
    ["read", "plan", "replace", "diff", "status", "history", "undo", "settle", "withdraw"];
const SESSION_VERBS: [&str; 4] = ["count", "show", "move", "forget"];

const AT: &str = "--at";
const COUNT: &str = "--count";
const FIRST: &str = "--first";
const HEADER: &str = "--header";
const INNER: &str = "--inner";
const JSON: &str = "--json";
const KEY: &str = "--key";
const SEED: &str = "--seed";
const SERVICE: &str = "--service";
const SERVICES: &str = "--services";
const SETTINGS: &str = "--settings";
const TO: &str = "--to";

/// Options that may be joined to their value, as `--at=ADDRESS`.
const JOINABLE_OPTIONS: [&str; 3] = [AT, SETTINGS, KEY];

const FILE_TO_REPLACE_WITH: &str = "a FILE to replace it with";
const FILE_TO_COMPARE_WITH: &str = "a FILE to compare it with";
const FILE_TO_PLAN_WITH: &str = "a FILE to plan with";

const MAX_HOLLOW_COUNT: usize = 5_000;
const MAX_HOLLOW_FIRST: usize = 1_000_000;
const MAX_HOLLOW_SERVICES: usize = 1_000;
const DEFAULT_HOLLOW_SERVICES: usize = 10;

/// The greatest number of edits between a word and the one that was probably meant.
const MAX_EDIT_DISTANCE: usize = 2;

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
        Ok(Words { command: self.command, words: words.into_iter() })
    }
}

/// The values of the options that only `session` has, as they were taken.
struct SessionOptions {
    service: Result<Vec<OsString>, CommandLineError>,
    header: Result<Vec<OsString>, CommandLineError>,
    target: Result<Vec<OsString>, CommandLineError>,
}

/// The words of a command line that are no options.
struct Words {
    command: Subcommand,
    words: IntoIter<OsString>,
}

impl Words {
    /// Reads what follows a command that has no options of its own.
    fn parse_client_command(&mut self) -> Result<ClientCommand, CommandLineError> {
        match self.command {
            Subcommand::Nodes => Ok(ClientCommand::Nodes),
            Subcommand::Upstreams => Ok(ClientCommand::Upstreams),
            Subcommand::Budget => Ok(ClientCommand::Budget),
            Subcommand::Keys => self.parse_keys(),
            Subcommand::Drain => {
                let upstream = self.next_text("an UPSTREAM", "an UPSTREAM")?;
                Ok(ClientCommand::Drain { upstream })
            }
            Subcommand::Members => self.parse_register_command().map(ClientCommand::Members),
            _ => self.parse_configuration_command().map(ClientCommand::Configuration),
        }
    }

    fn parse_keys(&mut self) -> Result<ClientCommand, CommandLineError> {
        match self.words.next() {
            Some(key) => Ok(ClientCommand::Key(self.text(key, "a KEY that is not empty")?)),
            None => Ok(ClientCommand::KeyCounts),
        }
    }

    fn parse_configuration_command(&mut self) -> Result<ConfigurationCommand, CommandLineError> {
        let verb = self.words.next().unwrap_or_default();
        Ok(match verb.to_str() {
            Some("read") => ConfigurationCommand::Read,
            Some("replace") => ConfigurationCommand::Replace(self.next_file(FILE_TO_REPLACE_WITH)?),
            Some("history") => ConfigurationCommand::History,
            Some("diff") => ConfigurationCommand::Diff(self.next_file(FILE_TO_COMPARE_WITH)?),
            Some("") => return Err(self.missing("read, replace FILE, history or diff FILE")),
            _ => return Err(unexpected_word(self.command, &verb, &CONFIGURATION_VERBS)),
        })
    }

    fn parse_register_command(&mut self) -> Result<RegisterCommand, CommandLineError> {
        let verb = self.words.next().unwrap_or_default();
        Ok(match verb.to_str() {
            Some("read") => RegisterCommand::Read,
            Some("replace") => RegisterCommand::Replace(self.next_file(FILE_TO_REPLACE_WITH)?),
            Some("diff") => RegisterCommand::Diff(self.next_file(FILE_TO_COMPARE_WITH)?),
            Some("") => return Err(self.missing("read, replace FILE or diff FILE")),
            _ => return Err(unexpected_word(self.command, &verb, &MEMBERS_VERBS)),
        })
    }

    fn parse_member_command(&mut self) -> Result<MemberCommand, CommandLineError> {
        let verb = self.words.next().unwrap_or_default();
        Ok(match verb.to_str() {
            Some("read") => MemberCommand::Read,
            Some("plan") => MemberCommand::Plan(self.next_file(FILE_TO_PLAN_WITH)?),
            Some("replace") => MemberCommand::Replace(self.next_file(FILE_TO_REPLACE_WITH)?),
            Some("diff") => MemberCommand::Diff(self.next_file(FILE_TO_COMPARE_WITH)?),
            Some("status") => MemberCommand::Status,
            Some("history") => MemberCommand::History,
            Some("undo") => MemberCommand::Undo,
            Some("settle") => MemberCommand::Settle,
            Some("withdraw") => MemberCommand::Withdraw,
            Some("") => {
                return Err(self.missing(
                    "read, plan FILE, replace FILE, diff FILE, status, history, undo, settle or withdraw",
                ));
            }
            _ => return Err(unexpected_word(self.command, &verb, &MEMBER_VERBS)),
        })
    }

    fn parse_session_command(&mut self, options: SessionOptions) -> Result<ClientCommand, CommandLineError> {
        let verb = self.words.next();
        let verb = verb.ok_or_else(|| self.missing("count, show ID, move ID or forget ID"))?;
        let Some(verb) = SESSION_VERBS.into_iter().find(|known| verb == *known) else {
            return Err(unexpected_word(self.command, &verb, &SESSION_VERBS));
        };
        if verb == "count" {
            return Ok(ClientCommand::SessionCounts);
        }
        let id = self.next_text("an ID", "an ID that is not empty")?;
        let expected = "--service S, the line that the route sends to";
        let service = self.required_option(options.service, SERVICE, expected)?;
        let service = self.text(service, expected)?;
        let expected = "--header H, which the route names";
        let header = self.required_option(options.header, HEADER, expected)?;
        let header = self.text(header, expected)?;
        let action = match verb {
            "show" => SessionAction::Show,
            "move" => {
                let target = self.required_option(options.target, TO, "--to DOOR, an inbound gate")?;
                SessionAction::Move { target: parse_address(self.command, &target)? }
            }
            _ => SessionAction::Forget,
        };
        Ok(ClientCommand::Session(SessionCommand { action, id, service, header }))
    }

    /// The only value of an option that must be given.
    fn required_option(
        &self,
        values: Result<Vec<OsString>, CommandLineError>,
        option: &'static str,
        expected: &'static str,
    ) -> Result<OsString, CommandLineError> {
        let mut values = values?;
        let value = values.pop().ok_or_else(|| self.missing(expected))?;
        if !values.is_empty() {
            return Err(CommandLineError::RepeatedOption { command: self.command, option });
        }
        Ok(value)
    }

    /// The next word as text. `expected` says what is missing where there is no word, `expected_text` where it is empty.
    fn next_text(
        &mut self,
        expected: &'static str,
        expected_text: &'static str,
    ) -> Result<String, CommandLineError> {
        let word = self.words.next().ok_or_else(|| self.missing(expected))?;
        self.text(word, expected_text)
    }

    fn next_file(&mut self, expected: &'static str) -> Result<PathBuf, CommandLineError> {
        let file = self.words.next().filter(|file| !file.is_empty());
        file.map(PathBuf::from).ok_or_else(|| self.missing(expected))
    }

    fn text(&self, word: OsString, expected: &'static str) -> Result<String, CommandLineError> {
        match word.into_string() {
            Ok(text) if text.is_empty() => Err(self.missing(expected)),
            Ok(text) => Ok(text),
            Err(word) => Err(CommandLineError::NotUtf8 { command: self.command, word: printable(&word) }),
        }
    }

    fn missing(&self, expected: &'static str) -> CommandLineError {
        CommandLineError::MissingArgument { command: self.command, expected }
    }

    /// Refuses whatever is left, and names all of it.
    fn expect_end(&mut self) -> Result<(), CommandLineError> {
        let words: Vec<_> = self.words.by_ref().map(|word| printable(&word)).collect();
        if words.is_empty() {
            return Ok(());
        }
        let word = words.join(" ");
        Err(CommandLineError::UnexpectedWord { command: self.command, word, nearest: None })
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

/// Whether a word looks like an option. A single `-` does not: it stands for the standard input.
fn is_option(word: &OsStr) -> bool {
    word.len() > 1 && word.to_string_lossy().starts_with('-')
}

fn parse_address(command: Subcommand, value: &OsStr) -> Result<SocketAddr, CommandLineError> {
    let address = value.to_str().and_then(|value| value.parse::<SocketAddr>().ok());
    let address = address.filter(|address| !address.ip().is_unspecified() && address.port() > 0);
    address.ok_or_else(|| CommandLineError::InvalidAddress { command, value: printable(value) })
}

/// Reports a word that the command does not have, with the one of `known` that was probably meant.
fn unexpected_word(command: Subcommand, word: &OsStr, known: &[&'static str]) -> CommandLineError {
    let nearest = word.to_str().and_then(|word| nearest_word(word, known.iter().copied()));
    CommandLineError::UnexpectedWord { command, word: printable(word), nearest }
}

/// A word without control characters, because it may hold anything and is shown on a terminal.
fn printable(word: &OsStr) -> String {
    if word.is_empty() { "\"\"".into() } else { word.to_string_lossy().escape_debug().to_string() }
}

/// The known word that was probably meant.
fn nearest_word(word: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let distances = known.map(|candidate| (strsim::osa_distance(word, candidate), candidate));
    let (distance, nearest) = distances.min()?;
    (distance <= MAX_EDIT_DISTANCE && distance * 2 < nearest.len()).then_some(nearest)
}
