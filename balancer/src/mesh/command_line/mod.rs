//! The command line of the mesh's subcommands: their names, options and help pages.
//!
//! [`parse`] turns the words after the program's name into a [`Command`], or into a [`CommandLineError`] for whoever
//! typed them.
//!
//! Invariants:
//! - A line of which any part was not understood is refused.
//! - Nothing is done here: a command is handed on to whoever carries it out.
//! - Commands of the older program are left to its own command line.

mod commands;
mod error;
mod help;
mod options;
mod parser;
mod typed_words;
mod words;

pub use commands::{
    ClientCommand, Command, ConfigurationCommand, MemberCommand, RegisterCommand, SessionAction,
    SessionCommand,
};
pub use error::CommandLineError;
pub use help::HELP;
pub use parser::parse;

#[cfg(test)]
mod tests;
