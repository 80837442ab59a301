//! `member.*`: the calls of a member on its own documents, made with its key.
//!
//! Main function: [`handle`].
//!
//! Invariants: nothing is done or told without the member's key; neither a key nor its hash is ever told; a change counts
//! against the member's limit before its body is read; a member learns nothing of the documents of others.

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
/// How long other replicas are waited for when nodes are asked for.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Nodes in one answer.
const MAX_NODES: usize = 1_000;

/// A document as it was sent, and as it was read.
struct SentDocument {
    document: Arc<MemberDocument>,
    bytes: Vec<u8>,
}

/// A member's committed state, and the lock that keeps other calls from changing it.
struct LockedMember<'l> {
    _serial: MutexGuard<'l, ()>,
    committed: CommittedMember,
}

/// Answers a call of the member of this name.
pub async fn handle(
    server: &ReplicaServer,
    call: MemberCall,
    member_name: &str,
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
) -> Result<String, MemberError> {
    let key = sent_key(&received);
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
        MemberCall::History => return history(server, name).await,
        MemberCall::Status => return Ok(status(server, name).await),
        MemberCall::Plan => {
            let sent = read_sent_document(server, received, bodies).await?;
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            return Ok(plan(server, &locked.committed, name, &sent.document));
        }
        MemberCall::Replace => {
            let sent = read_sent_document(server, received, bodies).await?;
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            member_changes::replace(server, &locked.committed, name, &sent.document, sent.bytes).await?
        }
        MemberCall::RestorePrevious => {
            let locked = lock_and_load(server, &limiter, name, &key).await?;
            member_changes::restore_previous(server, &locked.committed, name).await?
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

/// The key that came with the call; empty if there is none.
fn sent_key(received: &ReceivedRequest) -> Vec<u8> {
    received.request.headers().get(KEY_HEADER).map(|key| key.as_bytes().to_vec()).unwrap_or_default()
}

/// Counts a change against the member's limit.
fn admit_change(limiter: &ChangeLimiter, member: &Member) -> Result<(), MemberError> {
    let max_per_minute = member.limits.changes_per_minute;
    let admitted = limiter.admit(max_per_minute);
    admitted.map_err(|retry_after| MemberError::RateLimited { max_per_minute, retry_after })
}

/// Waits until the member's earlier changes are over, reads what a change is checked against, and checks the key by the
/// newest register: until here it was checked by the one that is known to this replica.
async fn lock_and_load<'l>(
    server: &ReplicaServer,
    limiter: &'l ChangeLimiter,
    member: &str,
    key: &[u8],
) -> Result<LockedMember<'l>, MemberError> {
    let serial = limiter.serial.lock().await;
    let committed = member_changes::load_committed(server, member).await?;
    check_key(committed.member_register.member(member), key)?;
    Ok(LockedMember { _serial: serial, committed })
}

/// The member of this name, if the key is its own. The register known here is asked first, which costs nothing; it may be
/// older than the key.
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

/// Whether the register has the hash of this key. The comparison takes as long for every key of a length.
fn key_matches(member: &Member, key: &[u8]) -> bool {
    let digest: [u8; 32] = Sha256::digest(key).into();
    let difference = digest.iter().zip(member.key_sha256).fold(0, |sum, (one, other)| sum | (one ^ other));
    std::hint::black_box(difference) == 0
}

async fn read_sent_document(
    server: &ReplicaServer,
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
) -> Result<SentDocument, MemberError> {
    let bytes = read_body(received, bodies, server.clock).await;
    let bytes = bytes.map_err(|_| MemberError::IncompleteDocument)?;
    let document = Arc::new(MemberDocument::read(&bytes).map_err(MemberError::invalid)?);
    Ok(SentDocument { document, bytes })
}

fn change_json(change: &DocumentChange) -> String {
    let edition = format!("r{}", change.version);
    json!({"member": change.member, "edition": edition, "state": change.state.as_str()}).to_string()
}

/// What the document would change, and what of it is forbidden or would be cut.
fn plan(
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
    // What is cut off others' documents is none of this member's business.
    let own_trims = plan.current_violations.iter().filter(|trim| trim.member == *member);
    json!({
        "changes": plan.changes,
        "forbidden": plan.new_violations.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "trims": own_trims.map(ToString::to_string).collect::<Vec<_>>(),
    })
    .to_string()
}

/// The versions of the settled document on this replica's disk.
async fn history(server: &ReplicaServer, member: &str) -> Result<String, MemberError> {
    let register = DocumentName::Settled(member).register();
    let in_force = server.members.documents().revision(&register);
    let stored = member_changes::stored_versions(server, member).await?;
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

/// The member's versions, what of its settled document is cut, and which version is in force at which node.
async fn status(server: &ReplicaServer, member: &Name) -> String {
    let documents = server.members.documents();
    let state = documents.members.get(member).cloned().unwrap_or_default();
    let edition = |version: Option<u64>| version.map(|version| format!("r{version}"));
    let trims = cut_from_settled(server, &documents, member);
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

/// What of the member's settled document exceeds what it may do by now, and so is not in force.
fn cut_from_settled(server: &ReplicaServer, documents: &MemberDocumentStore, member: &Name) -> Vec<String> {
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

/// Which version is in force at which node, as all replicas that answer were told. Of two reports on a node the one with
/// the higher version is the later one.
async fn editions_by_node(server: &ReplicaServer, member: &Name) -> BTreeMap<SocketAddr, MemberEdition> {
    let requests = server.peers().into_iter().map(|peer| async move {
        let request = InternalRequest::AppliedEditions(member.clone());
        server.callers.to(peer).call(request, COLLECT_TIMEOUT).await
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
