//! Helpers for single arguments: addresses, printable text, and suggestions for unknown arguments.

use std::ffi::OsStr;
use std::net::SocketAddr;

use super::commands::Subcommand;
use super::error::CommandLineError;

/// The maximum edit distance between an unknown argument and a suggestion.
const MAX_EDIT_DISTANCE: usize = 2;

/// Whether an argument looks like an option. A single `-` does not: it stands for standard input.
pub fn is_option(argument: &OsStr) -> bool {
    argument.len() > 1 && argument.to_string_lossy().starts_with('-')
}

/// Parses the address of a replica or attendant.
pub fn parse_address(command: Subcommand, value: &OsStr) -> Result<SocketAddr, CommandLineError> {
    let address = value.to_str().and_then(|value| value.parse::<SocketAddr>().ok());
    let address = address.filter(|address| !address.ip().is_unspecified() && address.port() > 0);
    address.ok_or_else(|| CommandLineError::InvalidAddress { command, value: printable(value) })
}

/// Returns the error for an argument that the command does not have, with the most similar one of `known`.
pub fn unexpected_argument(
    command: Subcommand,
    argument: &OsStr,
    known: &[&'static str],
) -> CommandLineError {
    let nearest = argument.to_str().and_then(|argument| nearest_candidate(argument, known.iter().copied()));
    CommandLineError::UnexpectedArgument { command, argument: printable(argument), nearest }
}

/// Escapes the control characters of an argument, so that it can be printed to a terminal.
pub fn printable(argument: &OsStr) -> String {
    if argument.is_empty() { "\"\"".into() } else { argument.to_string_lossy().escape_debug().to_string() }
}

/// Returns the most similar known argument, if it is similar enough.
pub fn nearest_candidate(argument: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let distances = known.map(|candidate| (strsim::osa_distance(argument, candidate), candidate));
    let (distance, nearest) = distances.min()?;
    (distance <= MAX_EDIT_DISTANCE && distance * 2 < nearest.len()).then_some(nearest)
}
