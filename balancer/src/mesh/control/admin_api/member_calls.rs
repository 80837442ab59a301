//! `member.*`: calls of a member on its own documents, authenticated with its key.
//!
//! Main function: [`handle_member_call`].
//!
//! Invariants: every call requires the member's key; keys and their hashes are never disclosed; a change counts against
//! the member's rate limit before its body is read; a member cannot see the documents of other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ochreshed::Name;
use ochreshed_catalog::configuration::Configuration;
use ochreshed_catalog::members::{Member, MemberDocument};
use ochreshed_catalog::overlay;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::{MutexGuard, Semaphore};

use super::body::read_body;
use super::request::MemberCall;
use crate::mesh::control::member_changes::{self, CommittedMember, DocumentChange};
use crate::mesh::control::member_directory::ChangeLimiter;
use crate::mesh::control::member_error::MemberError;
use crate::mesh::control::replica_server::ReplicaServer;
use crate::mesh::proxy::listener::ReceivedRequest;
use crate::mesh::rpc::{InternalRequest, InternalResponse};
use crate::mesh::shared::member_documents::{DocumentName, MemberDocumentStore, MemberEdition};

const KEY_HEADER: &str = "ochreshed-member-key";
/// Timeout for the node versions of another replica.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of nodes in a response.
const MAX_NODES: usize = 1_000;

/// A document as received, and as parsed.
struct ReceivedDocument {
    document: Arc<MemberDocument>,
    bytes: Vec<u8>,
}

/// A member's committed state, with the lock that prevents concurrent changes.
struct LockedMember<'l> {
    _serial_guard: MutexGuard<'l, ()>,
    committed: CommittedMember,
}

/// Handles a call of the member with this name.
pub async fn handle_member_call(
    server: &ReplicaServer,
    call: MemberCall,
    member_name: &str,
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
) -> Result<String, MemberError> {
    let key = received_key(&received);
    let member = authenticate(server, member_name, &key).await?;
    let limiter = server.members.change_limiter(&member.name);
    if call.is_change() {
        admit_change(&limiter, &member)?;
    }
    let name = &member.name;
    let change = match call {
        MemberCall::Read => {
            return member_changes::read_document(server, DocumentName::Settled(name)).await;
        }
        MemberCall::History => return list_versions(server, name).await,
        MemberCall::Status => return Ok(describe_status(server, name).await),
        MemberCall::Plan => {
            let received_document = receive_document(server, received, bodies).await?;
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            return Ok(plan_change(server, &locked.committed, name, &received_document.document));
        }
        MemberCall::Replace => {
            let received_document = receive_document(server, received, bodies).await?;
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            member_changes::replace_document(
                server,
                &locked.committed,
                name,
                &received_document.document,
                received_document.bytes,
            )
            .await?
        }
        MemberCall::RestorePrevious => {
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            member_changes::restore_previous_document(server, &locked.committed, name).await?
        }
        MemberCall::PromoteCanary => {
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            member_changes::promote_canary(server, &locked.committed, name).await?
        }
        MemberCall::WithdrawCanary => {
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            member_changes::withdraw_canary(server, &locked.committed, name).await?
        }
    };
    Ok(change_json(&change))
}

/// Returns the key in the request's header; empty if there is none.
fn received_key(received: &ReceivedRequest) -> Vec<u8> {
    received.request.headers().get(KEY_HEADER).map(|key| key.as_bytes().to_vec()).unwrap_or_default()
}

/// Counts a change against the member's rate limit.
fn admit_change(limiter: &ChangeLimiter, member: &Member) -> Result<(), MemberError> {
    let max_per_minute = member.limits.changes_per_minute;
    let admitted = limiter.admit(max_per_minute);
    admitted.map_err(|retry_after| MemberError::RateLimited { max_per_minute, retry_after })
}

/// Waits for the member's earlier changes, reads the committed state, and checks the key against the committed
/// register. [`authenticate`] has checked it only against the register known to this replica, which may be older.
async fn lock_and_load<'l>(
    server: &ReplicaServer,
    limiter: &'l ChangeLimiter,
    member: &str,
    key: &[u8],
) -> Result<LockedMember<'l>, MemberError> {
    let serial_guard = limiter.serial.lock().await;
    let committed = member_changes::load_committed(server, member).await?;
    check_key(committed.member_register.member(member), key)?;
    Ok(LockedMember { _serial_guard: serial_guard, committed })
}

/// Returns the member with this name if the key matches. The local register is checked first, which is cheap. Since it
/// may be older than the key, it is refreshed if the key does not match.
async fn authenticate(
    server: &ReplicaServer,
    member_name: &str,
    key: &[u8],
) -> Result<Arc<Member>, MemberError> {
    let known = check_key(server.members.documents().member_register.member(member_name), key);
    if known.is_ok() {
        return known;
    }
    member_changes::refresh_member_register(server).await?;
    check_key(server.members.documents().member_register.member(member_name), key)
}

fn check_key(member: Option<&Arc<Member>>, key: &[u8]) -> Result<Arc<Member>, MemberError> {
    member.filter(|member| key_matches(member, key)).cloned().ok_or(MemberError::Unauthorized)
}

/// Whether the key matches the hash in the register. The comparison takes constant time for keys of the same length.
fn key_matches(member: &Member, key: &[u8]) -> bool {
    let digest: [u8; 32] = Sha256::digest(key).into();
    let difference = digest.iter().zip(member.key_sha256).fold(0, |sum, (one, other)| sum | (one ^ other));
    std::hint::black_box(difference) == 0
}

async fn receive_document(
    server: &ReplicaServer,
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
) -> Result<ReceivedDocument, MemberError> {
    let bytes = read_body(received, bodies, server.clock).await;
    let bytes = bytes.map_err(|_| MemberError::IncompleteDocument)?;
    let document = Arc::new(MemberDocument::read(&bytes).map_err(MemberError::invalid)?);
    Ok(ReceivedDocument { document, bytes })
}

fn change_json(change: &DocumentChange) -> String {
    let edition = format!("r{}", change.version);
    json!({"member": change.member, "edition": edition, "state": change.state.as_str()}).to_string()
}

/// Returns what the document would change, which of its parts are forbidden, and what is currently trimmed.
fn plan_change(
    server: &ReplicaServer,
    committed: &CommittedMember,
    member: &Name,
    document: &Arc<MemberDocument>,
) -> String {
    let mut settled = server.members.documents().settled_documents();
    if let Some(document) = &committed.state.settled {
        settled.insert(member.clone(), document.clone());
    }
    let (configuration, register) = (&committed.configuration, &committed.member_register);
    let plan = overlay::plan_change(configuration, register, &settled, member, document);
    // A member must not see the violations of other members.
    let own_trims = plan.current_violations.iter().filter(|trim| trim.member == *member);
    json!({
        "changes": plan.changes,
        "forbidden": plan.new_violations.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "trims": own_trims.map(ToString::to_string).collect::<Vec<_>>(),
    })
    .to_string()
}

/// Returns the versions of the settled document on this replica's disk.
async fn list_versions(server: &ReplicaServer, member: &str) -> Result<String, MemberError> {
    let register = DocumentName::Settled(member).register();
    let in_force = server.members.documents().revision(&register);
    let stored = member_changes::read_stored_versions(server, member).await?;
    let versions = stored.iter().map(|value| {
        json!({
            "edition": format!("r{}", value.version),
            "digest": format!("{:016x}", value.digest),
            "bytes": value.bytes.len(),
            "in_force": value.revision() == in_force,
        })
    });
    Ok(json!({"versions": versions.collect::<Vec<_>>()}).to_string())
}

/// Returns the member's versions, the trimmed parts of its settled document, and the version in force at each node.
async fn describe_status(server: &ReplicaServer, member: &Name) -> String {
    let documents = server.members.documents();
    let state = documents.members.get(member).cloned().unwrap_or_default();
    let edition = |version: Option<u64>| version.map(|version| format!("r{version}"));
    let trims = find_settled_violations(server, &documents, member);
    let nodes = editions_by_node(server, member).await;
    let suspects = server.suspects();
    let nodes = nodes.into_iter().take(MAX_NODES).map(|(inbound_proxy, applied)| {
        json!({
            "door": inbound_proxy.to_string(),
            "edition": format!("r{}", applied.version),
            "trial": applied.canary,
            "quiet": suspects.contains(&inbound_proxy),
        })
    });
    json!({
        "member": &**member,
        "settled": edition(state.settled.as_ref().map(|document| document.version)),
        "trial": edition(state.running_canary().map(|document| document.version)),
        "withdrawn": edition(state.withdrawn_version),
        "trims": trims,
        "nodes": nodes.collect::<Vec<_>>(),
    })
    .to_string()
}

/// Returns the parts of the member's settled document that exceed its current limits and are therefore not in force.
fn find_settled_violations(
    server: &ReplicaServer,
    documents: &MemberDocumentStore,
    member: &Name,
) -> Vec<String> {
    let published = server.published();
    let configuration = published.configuration.as_ref();
    let Some(configuration) = configuration.and_then(|value| Configuration::read(&value.bytes).ok()) else {
        return Vec::new();
    };
    let own_document = documents.settled_documents().into_iter().filter(|(name, _)| name == member);
    let effective =
        overlay::apply_overlay(&configuration, &documents.member_register, &own_document.collect());
    effective.violations.iter().map(|violation| violation.violation.to_string()).collect()
}

/// Returns the version in force at each node, as reported to the replicas that respond. Of two reports on a node, the
/// one with the higher version is newer.
async fn editions_by_node(server: &ReplicaServer, member: &Name) -> BTreeMap<SocketAddr, MemberEdition> {
    let requests = server.peers().into_iter().map(|peer| async move {
        let request = InternalRequest::AppliedEditions(member.clone());
        server.rpc_clients.client_for(peer).call(request, COLLECT_TIMEOUT).await
    });
    let mut nodes = BTreeMap::new();
    for response in join_all(requests).await {
        if let Ok(InternalResponse::AppliedEditions(applied)) = response {
            nodes.extend(applied.into_iter().map(|node| {
                let edition = MemberEdition { version: node.version, canary: node.canary };
                (node.inbound_proxy, edition)
            }));
        }
    }
    for (inbound_proxy, edition) in server.members.editions_by_node(member) {
        let known = nodes.entry(inbound_proxy).or_insert(edition);
        *known = (*known).max(edition);
    }
    nodes
}
