//! Errors of the operators' client: [`ClientError`].

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use ochreshed_catalog::configuration::Refusal;
use thiserror::Error;

/// A call for which no replica returned success.
#[derive(Debug, Error)]
#[error("{}", reasons.join("\n"))]
pub struct CallFailure {
    /// One line per replica that was tried.
    pub reasons: Vec<String>,
    /// Whether one of them may have applied the call nevertheless.
    pub may_be_applied: bool,
}

/// Why a command failed. The texts are printed to the operator.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No replica returned success.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// A response is not UTF-8.
    #[error("the answer is not UTF-8")]
    ResponseNotUtf8,
    /// A response is not JSON.
    #[error("the answer is no JSON: {0}")]
    ResponseNotJson(serde_json::Error),
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The document in a file is invalid; nothing was sent.
    #[error("{}: refused, {} errors{}", path.display(), refusals.len(), format_indented_lines(refusals))]
    DocumentRejected {
        /// The file.
        path: PathBuf,
        /// The problems found in it.
        refusals: Vec<Refusal>,
    },
    /// The document stored by a replica is invalid for this program version.
    #[error("{replica}: the {document} there is refused by this build{}", format_first(refusals))]
    StoredDocumentRejected {
        /// The replica.
        replica: SocketAddr,
        /// The name of the document.
        document: &'static str,
        /// The problems found in it.
        refusals: Vec<Refusal>,
    },
    /// A document was acknowledged, but could not be read back, so that it is unknown whether it is in force.
    #[error("{replica} acknowledged r{version}; reading back what holds failed: {source}")]
    ReadBackFailed {
        /// The replica that acknowledged it.
        replica: SocketAddr,
        /// The version that was sent.
        version: u64,
        /// Why reading back failed.
        source: Box<ClientError>,
    },
    /// A document was acknowledged, but a different one with the same version is in force.
    #[error("{replica} acknowledged r{version}, but another r{version} holds: give this one a higher number")]
    VersionAlreadyUsed {
        /// The replica that acknowledged it.
        replica: SocketAddr,
        /// The version of both.
        version: u64,
    },
    /// A document was acknowledged, but a different version is in force.
    #[error("{replica} acknowledged r{version}, but r{in_force} holds: nothing has changed")]
    OtherVersionInForce {
        /// The replica that acknowledged it.
        replica: SocketAddr,
        /// The version that was sent.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// A file contains no valid member key.
    #[error("{}: {problem}", path.display())]
    InvalidMemberKey {
        /// The file.
        path: PathBuf,
        /// The problem.
        problem: MemberKeyProblem,
    },
    /// The output can't be written.
    #[error("standard output: {0}")]
    StandardOutput(io::Error),
}

/// Problems of a file with a member's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemberKeyProblem {
    /// The file is blank.
    #[error("holds no key")]
    Missing,
    /// The content is not valid in a header.
    #[error("holds no key of printable signs in one word, 1024 at most")]
    Malformed,
}

fn format_indented_lines(refusals: &[Refusal]) -> String {
    refusals.iter().map(|refusal| format!("\n  {refusal}")).collect()
}

fn format_first(refusals: &[Refusal]) -> String {
    refusals.first().map(|refusal| format!(": {refusal}")).unwrap_or_default()
}
