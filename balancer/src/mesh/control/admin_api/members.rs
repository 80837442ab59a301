//! `members.read` and `members.replace`: the platform's member register.
//!
//! Invariants: a register is validated before it is sent to the core.

use ochreshed_catalog::members::MemberRegister;

use crate::mesh::control::member_changes::{commit_document, read_document};
use crate::mesh::control::member_error::MemberError;
use crate::mesh::control::replica_server::ReplicaServer;
use crate::mesh::shared::member_documents::DocumentName;

/// Answers `members.read` with the text of the register as it was sent.
pub async fn read_register(server: &ReplicaServer) -> Result<String, MemberError> {
    read_document(server, DocumentName::MemberRegister).await
}

/// Answers `members.replace`.
pub async fn replace_register(server: &ReplicaServer, bytes: Vec<u8>) -> Result<String, MemberError> {
    let register = MemberRegister::read(&bytes).map_err(MemberError::invalid)?;
    commit_document(server, DocumentName::MemberRegister, register.version, bytes).await?;
    Ok("{}".into())
}
