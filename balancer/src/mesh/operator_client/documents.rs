//! Documents that operators replace as a whole: reading, replacing and comparing the one in force.
//!
//! [`Document`] is what can be checked and compared, [`ReplaceableDocument`] what has calls of its own to read and
//! replace it.
//!
//! Invariants: nothing is sent that was not checked here first; a replacement is only reported as in force after it was
//! read back, because a replica also acknowledges a version that is not above the one in force, and ignores it.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use ochreshed_catalog::configuration::{Configuration, Refusal, differences};

use super::call::{OperatorClient, ReplicaCall, ReplicaResponse};
use super::error::ClientError;
use super::formatting::printable_line;

/// The greatest document. It is the limit of a configuration.
const MAX_FILE_BYTES: u64 = 32 << 20;
/// Stands for the standard input in place of a file.
const STANDARD_INPUT: &str = "-";

/// A document with a version that can be compared with another.
pub trait Document: Sized {
    /// What the document is called in texts.
    const NAME: &'static str;

    /// Reads and checks a document.
    fn parse(bytes: &[u8]) -> Result<Self, Vec<Refusal>>;

    /// The document's version.
    fn document_version(&self) -> u64;

    /// What differs from this document to `new`, a line for each difference.
    fn differences_to(&self, new: &Self) -> Vec<String>;
}

/// A document that has calls of its own.
pub trait ReplaceableDocument: Document {
    /// The call that reads the document in force.
    const READ_CALL: &'static str;
    /// The call that replaces it.
    const REPLACE_CALL: &'static str;

    /// What the document holds, in a few words.
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

/// The text of the document in force.
pub fn read<D: ReplaceableDocument>(client: &OperatorClient) -> Result<String, ClientError> {
    client.call(ReplicaCall::read(D::READ_CALL))?.into_text()
}

/// Puts the document of a file in place of the one in force, and gives the page that says so.
pub fn replace<D: ReplaceableDocument>(client: &OperatorClient, file: &Path) -> Result<String, ClientError> {
    let sent = read_file(file)?;
    let document = parse_file::<D>(file, &sent)?;
    let version = document.document_version();
    let call = ReplicaCall { name: D::REPLACE_CALL, body: &sent, header: None, idempotent: true };
    let response = client.send_change(call)?;
    let replica = response.replica;
    let (held, in_force) = read_back::<D>(&response, client.json)
        .map_err(|error| ClientError::ReadBackFailed { replica, version, source: Box::new(error) })?;
    if held == sent {
        let safe = format!("r{version} is safe on more than half of the core, {}\n", document.contents());
        return if client.json { response.into_text() } else { Ok(safe) };
    }
    if in_force == version {
        return Err(ClientError::VersionAlreadyUsed { replica, version });
    }
    Err(ClientError::OtherVersionInForce { replica, version, in_force })
}

/// The document in force at the replica that took a change, and its version.
fn read_back<D: ReplaceableDocument>(
    taken: &ReplicaResponse,
    json: bool,
) -> Result<(Vec<u8>, u64), ClientError> {
    let replica = [taken.replica];
    let client = OperatorClient { replicas: &replica, json };
    let held = client.call(ReplicaCall::read(D::READ_CALL))?;
    let document = parse_held::<D>(&held)?;
    Ok((held.body, document.document_version()))
}

/// The page that compares the document of a file with the one in force.
pub fn diff<D: ReplaceableDocument>(client: &OperatorClient, file: &Path) -> Result<String, ClientError> {
    diff_with::<D>(client.json, file, || Ok(client.call(ReplicaCall::read(D::READ_CALL))?))
}

/// Like [`diff`], for a document in force that is read by `fetch`. The file is checked before anything is sent.
pub fn diff_with<D: Document>(
    json: bool,
    file: &Path,
    fetch: impl FnOnce() -> Result<ReplicaResponse, ClientError>,
) -> Result<String, ClientError> {
    let new = parse_file::<D>(file, &read_file(file)?)?;
    let in_force = parse_held::<D>(&fetch()?)?;
    let lines = in_force.differences_to(&new);
    let (old, new) = (in_force.document_version(), new.document_version());
    Ok(if json { differences_json(old, new, lines) } else { differences_page(old, new, &lines) })
}

/// The bytes of a file, or of the standard input for `-`. Of a file that is too long, as many come as show that.
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

/// Checks the document of a file.
pub fn parse_file<D: Document>(file: &Path, bytes: &[u8]) -> Result<D, ClientError> {
    D::parse(bytes).map_err(|refusals| ClientError::DocumentRefused { path: file.to_owned(), refusals })
}

/// Checks the document that a replica holds, which may come from another build.
fn parse_held<D: Document>(held: &ReplicaResponse) -> Result<D, ClientError> {
    let refused =
        |refusals| ClientError::HeldDocumentRefused { replica: held.replica, document: D::NAME, refusals };
    D::parse(&held.body).map_err(refused)
}

fn differences_json(old: u64, new: u64, lines: Vec<String>) -> String {
    let (from, to) = (format!("r{old}"), format!("r{new}"));
    serde_json::json!({ "from": from, "to": to, "differences": lines }).to_string()
}

fn differences_page(old: u64, new: u64, lines: &[String]) -> String {
    let mut page: String = lines.iter().map(|line| printable_line(line) + "\n").collect();
    page += &format!("{} differences between r{old}, in force, and r{new}\n", lines.len());
    if new <= old && !lines.is_empty() {
        page += &format!("r{new} is not above r{old}: sent like this it would change nothing\n");
    }
    page
}
