//! The command line of the mesh's subcommands: their names, options and help pages.
//!
//! [`parse`] turns the arguments after the program's name into a [`Command`] or a [`CommandLineError`].
//!
//! Invariants:
//! - A command line with any unknown argument is rejected.
//! - Parsing has no side effects; the caller runs the command.
//! - Subcommands outside the mesh are left to the program's other command-line parser.

mod argument_text;
mod commands;
mod error;
mod help;
mod options;
mod parser;
mod positional_arguments;

pub use commands::{
    ClientCommand, Command, ConfigurationCommand, MemberCommand, MemberRegisterCommand, SessionAction,
    SessionCommand,
};
pub use error::CommandLineError;
pub use help::HELP;
pub use parser::parse;

#[cfg(test)]
mod tests;
