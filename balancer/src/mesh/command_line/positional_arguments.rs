//! [`PositionalArguments`] parses the arguments that are not options, in order.

use std::ffi::OsString;
use std::path::PathBuf;
use std::vec::IntoIter;

use super::argument_text::{parse_address, printable, unexpected_argument};
use super::commands::{
    ClientCommand, ConfigurationCommand, MemberCommand, MemberRegisterCommand, SessionAction, SessionCommand,
    Subcommand,
};
use super::error::CommandLineError;
use super::options::{HEADER, SERVICE, TO};

const CONFIGURATION_OPERATIONS: [&str; 4] = ["read", "replace", "history", "diff"];
const MEMBER_REGISTER_OPERATIONS: [&str; 3] = ["read", "replace", "diff"];
const MEMBER_OPERATIONS: [&str; 9] =
    ["read", "plan", "replace", "diff", "status", "history", "undo", "settle", "withdraw"];
const SESSION_OPERATIONS: [&str; 4] = ["count", "show", "move", "forget"];

const FILE_TO_REPLACE_WITH: &str = "a FILE to replace it with";
const FILE_TO_COMPARE_WITH: &str = "a FILE to compare it with";
const FILE_TO_PLAN_WITH: &str = "a FILE to plan with";

/// The values of the options that only `session` has. Errors in them are reported later, in the order of the help page.
pub struct SessionOptions {
    /// The values of `--service`.
    pub service: Result<Vec<OsString>, CommandLineError>,
    /// The values of `--header`.
    pub header: Result<Vec<OsString>, CommandLineError>,
    /// The values of `--to`.
    pub target: Result<Vec<OsString>, CommandLineError>,
}

/// The arguments of a subcommand that are not options.
pub struct PositionalArguments {
    command: Subcommand,
    arguments: IntoIter<OsString>,
}

impl PositionalArguments {
    /// Takes the arguments that remain once all options were taken.
    pub fn new(command: Subcommand, arguments: Vec<OsString>) -> PositionalArguments {
        PositionalArguments { command, arguments: arguments.into_iter() }
    }

    /// Parses the arguments of a command that has no options of its own.
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
            Subcommand::Members => self.parse_member_register_command().map(ClientCommand::MemberRegister),
            _ => self.parse_configuration_command().map(ClientCommand::Configuration),
        }
    }

    fn parse_keys(&mut self) -> Result<ClientCommand, CommandLineError> {
        match self.arguments.next() {
            Some(key) => Ok(ClientCommand::Key(self.non_empty_text(key, "a KEY that is not empty")?)),
            None => Ok(ClientCommand::KeyCounts),
        }
    }

    fn parse_configuration_command(&mut self) -> Result<ConfigurationCommand, CommandLineError> {
        let operation = self.arguments.next().unwrap_or_default();
        Ok(match operation.to_str() {
            Some("read") => ConfigurationCommand::Read,
            Some("replace") => ConfigurationCommand::Replace(self.next_file(FILE_TO_REPLACE_WITH)?),
            Some("history") => ConfigurationCommand::History,
            Some("diff") => ConfigurationCommand::Diff(self.next_file(FILE_TO_COMPARE_WITH)?),
            Some("") => return Err(self.missing("read, replace FILE, history or diff FILE")),
            _ => return Err(unexpected_argument(self.command, &operation, &CONFIGURATION_OPERATIONS)),
        })
    }

    fn parse_member_register_command(&mut self) -> Result<MemberRegisterCommand, CommandLineError> {
        let operation = self.arguments.next().unwrap_or_default();
        Ok(match operation.to_str() {
            Some("read") => MemberRegisterCommand::Read,
            Some("replace") => MemberRegisterCommand::Replace(self.next_file(FILE_TO_REPLACE_WITH)?),
            Some("diff") => MemberRegisterCommand::Diff(self.next_file(FILE_TO_COMPARE_WITH)?),
            Some("") => return Err(self.missing("read, replace FILE or diff FILE")),
            _ => return Err(unexpected_argument(self.command, &operation, &MEMBER_REGISTER_OPERATIONS)),
        })
    }

    /// Parses the operation on a member's own routes.
    pub fn parse_member_command(&mut self) -> Result<MemberCommand, CommandLineError> {
        let operation = self.arguments.next().unwrap_or_default();
        Ok(match operation.to_str() {
            Some("read") => MemberCommand::Read,
            Some("plan") => MemberCommand::Plan(self.next_file(FILE_TO_PLAN_WITH)?),
            Some("replace") => MemberCommand::Replace(self.next_file(FILE_TO_REPLACE_WITH)?),
            Some("diff") => MemberCommand::Diff(self.next_file(FILE_TO_COMPARE_WITH)?),
            Some("status") => MemberCommand::Status,
            Some("history") => MemberCommand::History,
            Some("undo") => MemberCommand::RestorePrevious,
            Some("settle") => MemberCommand::PromoteCanary,
            Some("withdraw") => MemberCommand::WithdrawCanary,
            Some("") => {
                return Err(self.missing(
                    "read, plan FILE, replace FILE, diff FILE, status, history, undo, settle or withdraw",
                ));
            }
            _ => return Err(unexpected_argument(self.command, &operation, &MEMBER_OPERATIONS)),
        })
    }

    /// Parses the operation on sessions.
    pub fn parse_session_command(
        &mut self,
        options: SessionOptions,
    ) -> Result<ClientCommand, CommandLineError> {
        let operation = self.arguments.next();
        let operation = operation.ok_or_else(|| self.missing("count, show ID, move ID or forget ID"))?;
        let Some(operation) = SESSION_OPERATIONS.into_iter().find(|known| operation == *known) else {
            return Err(unexpected_argument(self.command, &operation, &SESSION_OPERATIONS));
        };
        if operation == "count" {
            return Ok(ClientCommand::SessionCounts);
        }
        let id = self.next_text("an ID", "an ID that is not empty")?;
        let expected = "--service S, the line that the route sends to";
        let service = self.required_option(options.service, SERVICE, expected)?;
        let service = self.non_empty_text(service, expected)?;
        let expected = "--header H, which the route names";
        let header = self.required_option(options.header, HEADER, expected)?;
        let header = self.non_empty_text(header, expected)?;
        let action = match operation {
            "show" => SessionAction::Show,
            "move" => {
                let target = self.required_option(options.target, TO, "--to DOOR, an inbound gate")?;
                SessionAction::Move { target: parse_address(self.command, &target)? }
            }
            _ => SessionAction::Forget,
        };
        Ok(ClientCommand::Session(SessionCommand { action, id, service, header }))
    }

    /// Returns the single value of a required option.
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

    /// Returns the next argument as text. The errors say `expected` if there is no argument and `expected_text` if it
    /// is empty.
    pub fn next_text(
        &mut self,
        expected: &'static str,
        expected_text: &'static str,
    ) -> Result<String, CommandLineError> {
        let argument = self.arguments.next().ok_or_else(|| self.missing(expected))?;
        self.non_empty_text(argument, expected_text)
    }

    fn next_file(&mut self, expected: &'static str) -> Result<PathBuf, CommandLineError> {
        let file = self.arguments.next().filter(|file| !file.is_empty());
        file.map(PathBuf::from).ok_or_else(|| self.missing(expected))
    }

    fn non_empty_text(&self, argument: OsString, expected: &'static str) -> Result<String, CommandLineError> {
        match argument.into_string() {
            Ok(text) if text.is_empty() => Err(self.missing(expected)),
            Ok(text) => Ok(text),
            Err(argument) => {
                Err(CommandLineError::NotUtf8 { command: self.command, argument: printable(&argument) })
            }
        }
    }

    fn missing(&self, expected: &'static str) -> CommandLineError {
        CommandLineError::MissingArgument { command: self.command, expected }
    }

    /// Fails if any arguments are left, and names all of them.
    pub fn expect_end(&mut self) -> Result<(), CommandLineError> {
        let rest: Vec<_> = self.arguments.by_ref().map(|argument| printable(&argument)).collect();
        if rest.is_empty() {
            return Ok(());
        }
        let argument = rest.join(" ");
        Err(CommandLineError::UnexpectedArgument { command: self.command, argument, nearest: None })
    }
}
