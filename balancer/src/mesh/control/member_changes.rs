//! Changes of a member's documents: what is checked before the core commits one, and what is written.
//!
//! Main types: [`CommittedMember`], all that a change is checked against, and [`DocumentChange`], its outcome. The calls
//! of members and the canary monitor both make changes through this module.
//!
//! A canary is promoted by writing its text as the settled document, and withdrawn by writing down its version. Versions
//! only grow, and a settled version beats a withdrawn one, so it does no harm if two replicas end a canary at once.
//!
//! Invariants: no document is committed that exceeds what the newest member register allows; a version is never used for
//! two documents.

use std::sync::Arc;
use std::time::Duration;

use ochreshed_catalog::configuration::Configuration;
use ochreshed_catalog::members::{MemberDocument, MemberRegister};
use ochreshed_catalog::overlay;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, NamedRegister, RegisterValue};
use tokio::time::Instant;

use super::member_error::MemberError;
use super::replica_server::{ADMIN_CALL_TIMEOUT, ReplicaServer};
use crate::mesh::shared::member_documents::{DocumentName, MemberState};

/// The member register is read from the core for unknown keys no more than once in this interval.
const REGISTER_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// What a quorum holds of one member, and of what its documents are checked against.
pub struct CommittedMember {
    pub configuration: Configuration,
    pub member_register: MemberRegister,
    pub state: MemberState,
    /// The settled document as it was sent.
    pub settled_value: Option<Arc<RegisterValue>>,
    /// The canary as it was sent.
    pub canary_value: Option<Arc<RegisterValue>>,
}

/// What a document has become by a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentState {
    Settled,
    Canary,
    Withdrawn,
}

impl DocumentState {
    /// The word for it in the operators' interface.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DocumentState::Settled => "settled",
            DocumentState::Canary => "trial",
            DocumentState::Withdrawn => "withdrawn",
        }
    }
}

/// A change that was committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentChange {
    pub member: String,
    pub version: u64,
    pub state: DocumentState,
}

impl DocumentChange {
    fn new(member: &str, version: u64, state: DocumentState) -> DocumentChange {
        DocumentChange { member: member.to_owned(), version, state }
    }
}

/// Reads the newest committed value of a document's register.
async fn read_register(
    server: &ReplicaServer,
    document: DocumentName<'_>,
) -> Result<Option<Arc<RegisterValue>>, MemberError> {
    let request = CoreRequest::ReadRegister(document.register());
    register_value(server.request(request, ADMIN_CALL_TIMEOUT).await)
}

fn register_value(response: CoreResponse) -> Result<Option<Arc<RegisterValue>>, MemberError> {
    match response {
        CoreResponse::Register(value) => Ok(value),
        _ => Err(MemberError::NoQuorum),
    }
}

/// The newest committed text of a document.
pub async fn read_document(
    server: &ReplicaServer,
    document: DocumentName<'_>,
) -> Result<String, MemberError> {
    let value = read_register(server, document).await?.ok_or(MemberError::NoDocument)?;
    Ok(String::from_utf8_lossy(&value.bytes).into_owned())
}

/// Has the core commit a document. On success a quorum holds it on disk.
pub async fn commit_document(
    server: &ReplicaServer,
    document: DocumentName<'_>,
    version: u64,
    bytes: Vec<u8>,
) -> Result<(), MemberError> {
    let value = Arc::new(RegisterValue::new(version, bytes));
    let request = CoreRequest::ReplaceRegister(NamedRegister { name: document.register(), value });
    match server.request(request, ADMIN_CALL_TIMEOUT).await {
        CoreResponse::Accepted => Ok(()),
        CoreResponse::Conflict => Err(MemberError::VersionTaken),
        CoreResponse::CapacityExceeded => Err(MemberError::CapacityExceeded),
        _ => Err(MemberError::NotCommitted),
    }
}

/// Makes sure that the member register known here was the newest a moment ago. However many calls ask for that, the core
/// is asked only once in a while.
pub async fn refresh_member_register(server: &ReplicaServer) -> Result<(), MemberError> {
    let mut refreshed = server.members.register_refreshed.lock().await;
    if refreshed.is_some_and(|refreshed| refreshed.elapsed() < REGISTER_REFRESH_INTERVAL) {
        return Ok(());
    }
    let value = read_register(server, DocumentName::MemberRegister).await?;
    let name = DocumentName::MemberRegister.register();
    let register = value.map(|value| NamedRegister { name, value });
    server.members.apply_registers(register.as_slice());
    *refreshed = Some(Instant::now());
    Ok(())
}

/// Reads from the core all that a change of the member's documents is checked against.
pub async fn load_committed(server: &ReplicaServer, member: &str) -> Result<CommittedMember, MemberError> {
    let (configuration, member_register, settled, canary, withdrawn) = tokio::join!(
        server.request(CoreRequest::ReadConfiguration, ADMIN_CALL_TIMEOUT),
        read_register(server, DocumentName::MemberRegister),
        read_register(server, DocumentName::Settled(member)),
        read_register(server, DocumentName::Canary(member)),
        read_register(server, DocumentName::Withdrawn(member)),
    );
    let configuration = register_value(configuration)?;
    let (member_register, settled, canary, withdrawn) = (member_register?, settled?, canary?, withdrawn?);
    let configuration = configuration.ok_or(MemberError::NoConfiguration)?;
    let state = MemberState {
        settled: parse_document(settled.as_deref())?,
        canary: parse_document(canary.as_deref())?,
        withdrawn_version: withdrawn.map(|value| value.version),
    };
    let member_register = match member_register {
        Some(value) => MemberRegister::read(&value.bytes).map_err(|_| MemberError::UnreadableDocument)?,
        None => MemberRegister::default(),
    };
    let configuration =
        Configuration::read(&configuration.bytes).map_err(|_| MemberError::UnreadableDocument)?;
    Ok(CommittedMember {
        configuration,
        member_register,
        state,
        settled_value: settled,
        canary_value: canary,
    })
}

fn parse_document(value: Option<&RegisterValue>) -> Result<Option<Arc<MemberDocument>>, MemberError> {
    let document = value.map(|value| MemberDocument::read(&value.bytes).map(Arc::new));
    document.transpose().map_err(|_| MemberError::UnreadableDocument)
}

/// Commits a document that a member sent: as its canary if it asks for a share of the nodes, otherwise as settled.
pub async fn replace(
    server: &ReplicaServer,
    committed: &CommittedMember,
    member: &str,
    document: &MemberDocument,
    bytes: Vec<u8>,
) -> Result<DocumentChange, MemberError> {
    let violations =
        overlay::check_document(&committed.configuration, &committed.member_register, member, document);
    if !violations.is_empty() {
        return Err(MemberError::invalid(violations));
    }
    check_version(committed, document.version, &bytes)?;
    let is_canary = document.canary_share.is_some_and(|share| share < 1.0);
    let (name, state) = if is_canary {
        (DocumentName::Canary(member), DocumentState::Canary)
    } else {
        (DocumentName::Settled(member), DocumentState::Settled)
    };
    commit_document(server, name, document.version, bytes).await?;
    Ok(DocumentChange::new(member, document.version, state))
}

/// Checks that the version was not used for another document. The same document may be sent again.
fn check_version(committed: &CommittedMember, version: u64, bytes: &[u8]) -> Result<(), MemberError> {
    let highest_version = committed.state.highest_version();
    let is_other = |value: &Option<Arc<RegisterValue>>| {
        value.as_ref().is_some_and(|value| value.version == version && value.bytes != bytes)
    };
    let withdrawn = committed.state.withdrawn_version == Some(version);
    let used = withdrawn || is_other(&committed.settled_value) || is_other(&committed.canary_value);
    if version < highest_version || used {
        return Err(MemberError::VersionTooLow { highest_version });
    }
    Ok(())
}

/// Promotes the running canary to the settled document.
pub async fn promote_canary(
    server: &ReplicaServer,
    committed: &CommittedMember,
    member: &str,
) -> Result<DocumentChange, MemberError> {
    let (Some(_), Some(canary)) = (committed.state.running_canary(), &committed.canary_value) else {
        return Err(MemberError::NoCanary);
    };
    commit_document(server, DocumentName::Settled(member), canary.version, canary.bytes.clone()).await?;
    Ok(DocumentChange::new(member, canary.version, DocumentState::Settled))
}

/// Withdraws the running canary from all nodes.
pub async fn withdraw_canary(
    server: &ReplicaServer,
    committed: &CommittedMember,
    member: &str,
) -> Result<DocumentChange, MemberError> {
    let canary = committed.state.running_canary().ok_or(MemberError::NoCanary)?;
    let bytes = format!("r{}", canary.version).into_bytes();
    commit_document(server, DocumentName::Withdrawn(member), canary.version, bytes).await?;
    Ok(DocumentChange::new(member, canary.version, DocumentState::Withdrawn))
}

/// The versions of a member's settled document on this replica's disk, the latest first.
pub async fn stored_versions(
    server: &ReplicaServer,
    member: &str,
) -> Result<Vec<RegisterValue>, MemberError> {
    let Some(data_dir) = server.settings.load().data_dir.clone() else { return Ok(Vec::new()) };
    let register = DocumentName::Settled(member).register();
    let read =
        tokio::task::spawn_blocking(move || ochreshed_storage::read_register_history(&data_dir, &register))
            .await;
    read.ok().and_then(Result::ok).ok_or(MemberError::DiskUnreadable)
}

/// Undoes the member's last change: withdraws the canary if one runs; otherwise commits the settled document before the
/// present one again, under the next version.
pub async fn restore_previous(
    server: &ReplicaServer,
    committed: &CommittedMember,
    member: &str,
) -> Result<DocumentChange, MemberError> {
    if committed.state.running_canary().is_some() {
        return withdraw_canary(server, committed, member).await;
    }
    let settled = committed.state.settled.as_ref().ok_or(MemberError::NothingSettled)?;
    let stored = stored_versions(server, member).await?;
    let previous = stored.iter().find(|value| value.version < settled.version);
    let previous = previous.ok_or(MemberError::NoEarlierDocument)?;
    let version = committed.state.highest_version().saturating_add(1);
    let bytes = with_version(&previous.bytes, version).ok_or(MemberError::EarlierDocumentUnreadable)?;
    let document = MemberDocument::read(&bytes).map_err(|_| MemberError::EarlierDocumentUnreadable)?;
    replace(server, committed, member, &document, bytes).await
}

/// A document's text under another version, and without its share of a canary; `None` if it is not a JSON object.
fn with_version(bytes: &[u8], version: u64) -> Option<Vec<u8>> {
    let mut text: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    let fields = text.as_object_mut()?;
    fields.insert("edition".into(), format!("r{version}").into());
    fields.remove("trial");
    Some(text.to_string().into_bytes())
}
