//! The words of a command line that are no options: [`Words`] reads them in order, a function for each command.

use std::ffi::OsString;
use std::path::PathBuf;
use std::vec::IntoIter;

use super::commands::{
    ClientCommand, ConfigurationCommand, MemberCommand, RegisterCommand, SessionAction, SessionCommand,
    Subcommand,
};
use super::error::CommandLineError;
use super::options::{HEADER, SERVICE, TO};
use super::typed_words::{parse_address, printable, unexpected_word};

const CONFIGURATION_VERBS: [&str; 4] = ["read", "replace", "history", "diff"];
const MEMBERS_VERBS: [&str; 3] = ["read", "replace", "diff"];
const MEMBER_VERBS: [&str; 9] =
    ["read", "plan", "replace", "diff", "status", "history", "undo", "settle", "withdraw"];
const SESSION_VERBS: [&str; 4] = ["count", "show", "move", "forget"];

const FILE_TO_REPLACE_WITH: &str = "a FILE to replace it with";
const FILE_TO_COMPARE_WITH: &str = "a FILE to compare it with";
const FILE_TO_PLAN_WITH: &str = "a FILE to plan with";

/// The values of the options that only `session` has, as they were taken.
pub struct SessionOptions {
    /// The values of `--service`.
    pub service: Result<Vec<OsString>, CommandLineError>,
    /// The values of `--header`.
    pub header: Result<Vec<OsString>, CommandLineError>,
    /// The values of `--to`.
    pub target: Result<Vec<OsString>, CommandLineError>,
}

/// The words of a command line that are no options.
pub struct Words {
    command: Subcommand,
    words: IntoIter<OsString>,
}

impl Words {
    /// The words that are left of a command's line.
    pub fn new(command: Subcommand, words: Vec<OsString>) -> Words {
        Words { command, words: words.into_iter() }
    }

    /// Reads what follows a command that has no options of its own.
    pub fn parse_client_command(&mut self) -> Result<ClientCommand, CommandLineError> {
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

    /// Reads what to do with a member's own routes.
    pub fn parse_member_command(&mut self) -> Result<MemberCommand, CommandLineError> {
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

    /// Reads what to do with sessions.
    pub fn parse_session_command(
        &mut self,
        options: SessionOptions,
    ) -> Result<ClientCommand, CommandLineError> {
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

    /// The next word as text. `expected` says what is missing where there is no word, `expected_text` where it is
    /// empty.
    pub fn next_text(
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
    pub fn expect_end(&mut self) -> Result<(), CommandLineError> {
        let words: Vec<_> = self.words.by_ref().map(|word| printable(&word)).collect();
        if words.is_empty() {
            return Ok(());
        }
        let word = words.join(" ");
        Err(CommandLineError::UnexpectedWord { command: self.command, word, nearest: None })
    }
}
