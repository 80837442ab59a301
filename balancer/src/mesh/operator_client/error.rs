//! Why a command of the operators' client failed: [`ClientError`].

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use ochreshed_catalog::configuration::Refusal;
use thiserror::Error;

/// A call that no replica answered with success.
#[derive(Debug, Error)]
#[error("{}", reasons.join("\n"))]
pub struct CallFailure {
    /// A line for each replica that was asked.
    pub reasons: Vec<String>,
    /// Whether one of them may have applied the call all the same.
    pub possibly_applied: bool,
}

/// Why a command failed. The texts go to the operator.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No replica answered with success.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// A response that must be text is not.
    #[error("the answer is not UTF-8")]
    ResponseNotUtf8,
    /// A response that must be JSON is not.
    #[error("the answer is no JSON: {0}")]
    ResponseNotJson(serde_json::Error),
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A file's document is refused before anything is sent.
    #[error("{}: refused, {} errors{}", path.display(), refusals.len(), indented_lines(refusals))]
    DocumentRefused {
        /// The file.
        path: PathBuf,
        /// All that is wrong with its document.
        refusals: Vec<Refusal>,
    },
    /// The document that a replica holds is refused by this build.
    #[error("{replica}: the {document} there is refused by this build{}", first_of(refusals))]
    HeldDocumentRefused {
        /// The replica.
        replica: SocketAddr,
        /// What the document is called.
        document: &'static str,
        /// All that is wrong with it.
        refusals: Vec<Refusal>,
    },
    /// A document was acknowledged, but it is not known whether it is in force.
    #[error("{replica} acknowledged r{version}; reading back what holds failed: {source}")]
    ReadBackFailed {
        /// The replica that acknowledged it.
        replica: SocketAddr,
        /// The version that was sent.
        version: u64,
        /// Why the document in force could not be read.
        source: Box<ClientError>,
    },
    /// A document was acknowledged, but a different one of the same version is in force.
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
    /// A file holds no member's key that can be sent.
    #[error("{}: {problem}", path.display())]
    InvalidMemberKey {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problem: MemberKeyProblem,
    },
    /// The page can't be printed.
    #[error("standard output: {0}")]
    StandardOutput(io::Error),
}

/// What is wrong with a file that should hold a member's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemberKeyProblem {
    /// It is blank.
    #[error("holds no key")]
    Missing,
    /// What it holds can't stand in a header.
    #[error("holds no key of printable signs in one word, 1024 at most")]
    Malformed,
}

fn indented_lines(refusals: &[Refusal]) -> String {
    refusals.iter().map(|refusal| format!("\n  {refusal}")).collect()
}

fn first_of(refusals: &[Refusal]) -> String {
    refusals.first().map(|refusal| format!(": {refusal}")).unwrap_or_default()
}
