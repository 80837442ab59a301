//! Documents that operators replace as a whole: reading, replacing and comparing the one in force.
//!
//! A [`Document`] can be validated and compared; a [`ReplaceableDocument`] also has calls that read and replace it.
//!
//! Invariants: documents are validated before they are sent; a replacement is reported as in force only after it was
//! read back, because a replica acknowledges and ignores a version that is not higher than the one in force.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use ochreshed_catalog::configuration::{Configuration, Refusal, differences};

use super::call::{OperatorClient, ReplicaCall, ReplicaResponse};
use super::error::ClientError;
use super::formatting::printable_line;

/// The maximum size of a document, which is that of a configuration.
const MAX_FILE_BYTES: u64 = 32 << 20;
/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// A versioned document that can be compared with another one.
pub trait Document: Sized {
    /// The name of the document in messages.
    const NAME: &'static str;

    /// Parses and validates a document.
    fn parse(bytes: &[u8]) -> Result<Self, Vec<Refusal>>;

    /// Returns the document's version.
    fn document_version(&self) -> u64;

    /// Returns the differences from this document to `new`, one line each.
    fn differences_to(&self, new: &Self) -> Vec<String>;
}

/// A document with calls that read and replace it.
pub trait ReplaceableDocument: Document {
    /// The call that reads the document in force.
    const READ_CALL: &'static str;
    /// The call that replaces it.
    const REPLACE_CALL: &'static str;

    /// Summarizes the contents, for messages.
    fn contents(&self) -> String;
}

impl Document for Configuration {
    const NAME: &'static str = "timetable";

    fn parse(bytes: &[u8]) -> Result<Self, Vec<Refusal>> {
        Configuration::read(bytes)
    }

    fn document_version(&self) -> u64 {
        self.version
    }

    fn differences_to(&self, new: &Self) -> Vec<String> {
        differences(self, new)
    }
}

impl ReplaceableDocument for Configuration {
    const READ_CALL: &'static str = "timetable.read";
    const REPLACE_CALL: &'static str = "timetable.replace";

    fn contents(&self) -> String {
        format!("{} routes", self.routes().count())
    }
}

/// Fetches the text of the document in force.
pub fn fetch_document<D: ReplaceableDocument>(client: &OperatorClient) -> Result<String, ClientError> {
    client.call(ReplicaCall::read(D::READ_CALL))?.into_text()
}

/// Replaces the document in force with the one in a file and returns the output for the operator.
pub fn replace_document<D: ReplaceableDocument>(
    client: &OperatorClient,
    file: &Path,
) -> Result<String, ClientError> {
    let sent = read_file(file)?;
    let document = parse_file::<D>(file, &sent)?;
    let version = document.document_version();
    let call = ReplicaCall { name: D::REPLACE_CALL, body: &sent, header: None, idempotent: true };
    let response = client.send_change(call)?;
    let replica = response.replica;
    let (stored, in_force) = read_back::<D>(&response, client.json)
        .map_err(|error| ClientError::ReadBackFailed { replica, version, source: Box::new(error) })?;
    if stored == sent {
        let confirmation =
            format!("r{version} is safe on more than half of the core, {}\n", document.contents());
        return if client.json { response.into_text() } else { Ok(confirmation) };
    }
    if in_force == version {
        return Err(ClientError::VersionAlreadyUsed { replica, version });
    }
    Err(ClientError::OtherVersionInForce { replica, version, in_force })
}

/// Fetches the document in force, and its version, from the replica that acknowledged a change.
fn read_back<D: ReplaceableDocument>(
    acknowledgement: &ReplicaResponse,
    json: bool,
) -> Result<(Vec<u8>, u64), ClientError> {
    let replica = [acknowledgement.replica];
    let client = OperatorClient { replicas: &replica, json };
    let stored = client.call(ReplicaCall::read(D::READ_CALL))?;
    let document = parse_stored::<D>(&stored)?;
    Ok((stored.body, document.document_version()))
}

/// Compares the document in a file with the one in force and returns the output.
pub fn diff_document<D: ReplaceableDocument>(
    client: &OperatorClient,
    file: &Path,
) -> Result<String, ClientError> {
    diff_document_with::<D>(client.json, file, || Ok(client.call(ReplicaCall::read(D::READ_CALL))?))
}

/// Like [`diff_document`], but fetches the document in force with `fetch`. The file is validated before anything is sent.
pub fn diff_document_with<D: Document>(
    json: bool,
    file: &Path,
    fetch: impl FnOnce() -> Result<ReplicaResponse, ClientError>,
) -> Result<String, ClientError> {
    let new = parse_file::<D>(file, &read_file(file)?)?;
    let in_force = parse_stored::<D>(&fetch()?)?;
    let lines = in_force.differences_to(&new);
    let (old, new) = (in_force.document_version(), new.document_version());
    Ok(if json { differences_to_json(old, new, lines) } else { format_differences(old, new, &lines) })
}

/// Reads a file, or standard input for `-`, up to one byte beyond the limit, so that a longer file is detected.
pub fn read_file(file: &Path) -> Result<Vec<u8>, ClientError> {
    let mut bytes = Vec::new();
    let read = if file == Path::new(STANDARD_INPUT) {
        std::io::stdin().take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)
    } else {
        File::open(file).and_then(|file| file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes))
    };
    read.map_err(|source| ClientError::File { path: file.to_owned(), source })?;
    Ok(bytes)
}

/// Parses the document in a file.
pub fn parse_file<D: Document>(file: &Path, bytes: &[u8]) -> Result<D, ClientError> {
    D::parse(bytes).map_err(|refusals| ClientError::DocumentRejected { path: file.to_owned(), refusals })
}

/// Parses the document that a replica returned, which may have been written by another program version.
fn parse_stored<D: Document>(stored: &ReplicaResponse) -> Result<D, ClientError> {
    let refused = |refusals| ClientError::StoredDocumentRejected {
        replica: stored.replica,
        document: D::NAME,
        refusals,
    };
    D::parse(&stored.body).map_err(refused)
}

fn differences_to_json(old: u64, new: u64, lines: Vec<String>) -> String {
    let (from, to) = (format!("r{old}"), format!("r{new}"));
    serde_json::json!({ "from": from, "to": to, "differences": lines }).to_string()
}

fn format_differences(old: u64, new: u64, lines: &[String]) -> String {
    let mut page: String = lines.iter().map(|line| printable_line(line) + "\n").collect();
    page += &format!("{} differences between r{old}, in force, and r{new}\n", lines.len());
    if new <= old && !lines.is_empty() {
        page += &format!("r{new} is not above r{old}: sent like this it would change nothing\n");
    }
    page
}
