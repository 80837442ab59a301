//! The operators' client: calls the replicas of the control plane and prints their responses, as tables or as the
//! received JSON.
//!
//! [`run`] runs a [`ClientCommand`] with an [`OperatorClient`]. There is a module for each kind of output;
//! [`documents`] and [`member_documents`] replace and compare documents.
//!
//! Invariants:
//! - Only commands that change something send calls that do.
//! - An incomplete response is never printed as if it were complete.
//! - The value that identifies a person's session is hashed here and not sent; a member's key is never printed.

mod budget;
mod call;
mod documents;
mod error;
mod formatting;
mod history;
mod keys;
mod member_documents;
mod member_rendering;
mod nodes;
mod sessions;
mod settings_summary;
mod tables;
mod upstreams;

use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use ochreshed_catalog::configuration::Configuration;

use super::command_line::{ClientCommand, ConfigurationCommand};
use super::settings::{Settings, SettingsError};
use call::OperatorClient;
use error::ClientError;
use formatting::percent_encode;

/// Validates a settings file and prints a summary.
pub fn check_settings(path: Option<PathBuf>) -> Result<ExitCode, SettingsError> {
    let settings = Settings::read(&Settings::path(path)?)?;
    match print_page(&settings_summary::summarize(&settings)) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(_) => Ok(ExitCode::FAILURE),
    }
}

/// Runs a command on the first of `replicas` that can process it and prints the response.
pub fn run(replicas: &[SocketAddr], json: bool, command: ClientCommand) -> Result<ExitCode, ClientError> {
    let client = OperatorClient { replicas, json };
    let page = match command {
        ClientCommand::Nodes => client.fetch_list("nodes.list", "attendants", nodes::render_nodes)?,
        ClientCommand::Upstreams => {
            client.fetch_list("upstreams.list", "upstreams", upstreams::render_upstreams)?
        }
        ClientCommand::KeyCounts => client.fetch_page("keys.count", keys::render_counts)?,
        ClientCommand::Key(key) => {
            client.fetch_page(&format!("keys.show&of={}", percent_encode(&key)), keys::render_key)?
        }
        ClientCommand::SessionCounts => client.fetch_page("sessions.count", sessions::render_counts)?,
        ClientCommand::Session(command) => {
            client.fetch_page(&sessions::call_name(&command), sessions::render_session)?
        }
        ClientCommand::Budget => client.fetch_page("budget.list", budget::render_budget)?,
        ClientCommand::Drain { upstream } => {
            let call = format!("upstreams.drain&of={}", percent_encode(&upstream));
            client.fetch_page(&call, upstreams::render_drain)?
        }
        ClientCommand::Configuration(command) => return run_configuration(&client, command),
        ClientCommand::MemberRegister(command) => return member_documents::run_register(&client, command),
        ClientCommand::Member { name, command, key_file } => {
            return member_documents::run_member(client, &name, command, key_file.as_deref());
        }
    };
    print_page(&page)?;
    Ok(ExitCode::SUCCESS)
}

fn run_configuration(
    client: &OperatorClient,
    command: ConfigurationCommand,
) -> Result<ExitCode, ClientError> {
    let page = match command {
        ConfigurationCommand::Read => documents::fetch_document::<Configuration>(client)?,
        ConfigurationCommand::Replace(file) => documents::replace_document::<Configuration>(client, &file)?,
        ConfigurationCommand::History => client.fetch_page("timetable.history", history::render_history)?,
        ConfigurationCommand::Diff(file) => documents::diff_document::<Configuration>(client, &file)?,
    };
    print_page(&page)?;
    Ok(ExitCode::SUCCESS)
}

/// Prints a page followed by a line break. A closed pipe is not an error, because the reader has seen enough.
fn print_page(page: &str) -> Result<(), ClientError> {
    match write_page(&mut std::io::stdout().lock(), page) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(ClientError::StandardOutput(error)),
        _ => Ok(()),
    }
}

fn write_page(output: &mut impl Write, page: &str) -> std::io::Result<()> {
    output.write_all(page.as_bytes())?;
    if !page.is_empty() && !page.ends_with('\n') {
        output.write_all(b"\n")?;
    }
    output.flush()
}

#[cfg(test)]
mod tests;
