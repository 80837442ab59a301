//! Words as they were typed: addresses, words for a terminal, and the known word that a wrong one is near to.

use std::ffi::OsStr;
use std::net::SocketAddr;

use super::commands::Subcommand;
use super::error::CommandLineError;

/// The greatest number of edits between a word and the one that was probably meant.
const MAX_EDIT_DISTANCE: usize = 2;

/// Whether a word looks like an option. A single `-` does not: it stands for the standard input.
pub fn is_option(word: &OsStr) -> bool {
    word.len() > 1 && word.to_string_lossy().starts_with('-')
}

/// Reads the address of a replica or attendant.
pub fn parse_address(command: Subcommand, value: &OsStr) -> Result<SocketAddr, CommandLineError> {
    let address = value.to_str().and_then(|value| value.parse::<SocketAddr>().ok());
    let address = address.filter(|address| !address.ip().is_unspecified() && address.port() > 0);
    address.ok_or_else(|| CommandLineError::InvalidAddress { command, value: printable(value) })
}

/// Reports a word that the command does not have, with the one of `known` that was probably meant.
pub fn unexpected_word(command: Subcommand, word: &OsStr, known: &[&'static str]) -> CommandLineError {
    let nearest = word.to_str().and_then(|word| nearest_word(word, known.iter().copied()));
    CommandLineError::UnexpectedWord { command, word: printable(word), nearest }
}

/// A word without control characters, because it may hold anything and is shown on a terminal.
pub fn printable(word: &OsStr) -> String {
    if word.is_empty() { "\"\"".into() } else { word.to_string_lossy().escape_debug().to_string() }
}

/// The known word that was probably meant.
pub fn nearest_word(word: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let distances = known.map(|candidate| (strsim::osa_distance(word, candidate), candidate));
    let (distance, nearest) = distances.min()?;
    (distance <= MAX_EDIT_DISTANCE && distance * 2 < nearest.len()).then_some(nearest)
}
