//! Why a command line was not taken: [`CommandLineError`].

use thiserror::Error;

use super::commands::Subcommand;

/// Why a command line asks for nothing that can be done. The texts go to whoever typed it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandLineError {
    /// No error: a help page was asked for, and goes to standard output.
    #[error("{page}")]
    HelpRequested {
        /// The page.
        page: &'static str,
    },
    /// The first word is no command, but near to one of the mesh's.
    #[error("there is no command {word}; {nearest} is near; see `ochreshed help`")]
    UnknownCommand {
        /// What was typed.
        word: String,
        /// The command that was probably meant.
        nearest: &'static str,
    },
    /// The command has no such option or word.
    #[error("{command} has no {word}{}; see `ochreshed {command} --help`", nearest_hint(.nearest))]
    UnexpectedWord {
        /// The command.
        command: Subcommand,
        /// What was typed.
        word: String,
        /// The word that was probably meant.
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
    /// An option that may be given once is given more often.
    #[error("{option} is given more than once; see `ochreshed {command} --help`")]
    RepeatedOption {
        /// The command.
        command: Subcommand,
        /// The option.
        option: &'static str,
    },
    /// The command lacks something that it needs.
    #[error("{command} wants {expected}; see `ochreshed {command} --help`")]
    MissingArgument {
        /// The command.
        command: Subcommand,
        /// What it needs, in words.
        expected: &'static str,
    },
    /// An address can't be one of a replica.
    #[error("--at wants an IP number and a port, and {value} is none; see `ochreshed {command} --help`")]
    InvalidAddress {
        /// The command.
        command: Subcommand,
        /// What was typed.
        value: String,
    },
    /// An option can't have this value.
    #[error("{option} can't be {value}; see `ochreshed {command} --help`")]
    InvalidValue {
        /// The command.
        command: Subcommand,
        /// The option.
        option: &'static str,
        /// What was typed.
        value: String,
    },
    /// A word that must be text is not.
    #[error("{word} is no text in UTF-8; see `ochreshed {command} --help`")]
    NotUtf8 {
        /// The command.
        command: Subcommand,
        /// What was typed.
        word: String,
    },
}

fn nearest_hint(nearest: &Option<&'static str>) -> String {
    nearest.map(|nearest| format!("; {nearest} is near")).unwrap_or_default()
}
