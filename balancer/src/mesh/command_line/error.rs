//! Rejected command lines: [`CommandLineError`].

use thiserror::Error;

use super::commands::Subcommand;

/// Why a command line is rejected. The texts are printed to the user.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandLineError {
    /// Not an error: a help page was requested, which is printed to standard output.
    #[error("{page}")]
    HelpRequested {
        /// The page.
        page: &'static str,
    },
    /// There is no such command, but a subcommand of the mesh has a similar name.
    #[error("there is no command {name}; {nearest} is near; see `ochreshed help`")]
    UnknownCommand {
        /// The argument as given.
        name: String,
        /// The subcommand with the most similar name.
        nearest: &'static str,
    },
    /// The command has no such option or argument.
    #[error("{command} has no {argument}{}; see `ochreshed {command} --help`", nearest_hint(.nearest))]
    UnexpectedArgument {
        /// The command.
        command: Subcommand,
        /// The argument as given.
        argument: String,
        /// The most similar known argument.
        nearest: Option<&'static str>,
    },
    /// An option lacks its value.
    #[error("{option} wants a value; see `ochreshed {command} --help`")]
    MissingValue {
        /// The command.
        command: Subcommand,
        /// The option.
        option: &'static str,
    },
    /// An option that may be given once is repeated.
    #[error("{option} is given more than once; see `ochreshed {command} --help`")]
    RepeatedOption {
        /// The command.
        command: Subcommand,
        /// The option.
        option: &'static str,
    },
    /// A required argument or option is missing.
    #[error("{command} wants {expected}; see `ochreshed {command} --help`")]
    MissingArgument {
        /// The command.
        command: Subcommand,
        /// Description of what is missing.
        expected: &'static str,
    },
    /// A value is not a valid replica address.
    #[error("--at wants an IP number and a port, and {value} is none; see `ochreshed {command} --help`")]
    InvalidAddress {
        /// The command.
        command: Subcommand,
        /// The argument as given.
        value: String,
    },
    /// The value of an option is invalid or out of range.
    #[error("{option} can't be {value}; see `ochreshed {command} --help`")]
    InvalidValue {
        /// The command.
        command: Subcommand,
        /// The option.
        option: &'static str,
        /// The argument as given.
        value: String,
    },
    /// An argument that must be UTF-8 is not.
    #[error("{argument} is no text in UTF-8; see `ochreshed {command} --help`")]
    NotUtf8 {
        /// The command.
        command: Subcommand,
        /// The argument as given.
        argument: String,
    },
}

fn nearest_hint(nearest: &Option<&'static str>) -> String {
    nearest.map(|nearest| format!("; {nearest} is near")).unwrap_or_default()
}
