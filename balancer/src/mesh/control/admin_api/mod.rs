//! The operators' interface of the control plane: calls at the control listener, with one submodule per group of calls.
//!
//! Main function: [`handle_request`]. A call is parsed into an [`AdminCall`]; queries are answered from a
//! [`ReplicaSnapshot`].
//!
//! Invariants: names, texts and JSON of calls never change, because operators' tools depend on them; nothing is
//! acknowledged before a quorum has it on disk; responses contain only what this replica knows or has just received
//! from others.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use ochreshed::Nanos;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};

use super::budget_reports::CollectedReports;
use super::member_error::MemberError;
use super::replica_server::{ADMIN_CALL_TIMEOUT, ReplicaServer};
use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::inbound::call_and_subject;
use crate::mesh::proxy::listener::ReceivedRequest;
use crate::mesh::shared::metrics;

mod body;
mod budget;
mod configuration;
mod configuration_history;
mod drain;
mod leases;
mod member_calls;
mod members;
mod nodes;
mod replica_metrics;
mod request;
mod response;
mod sessions;
mod snapshot;
mod upstreams;

use body::read_body;
use configuration_history::StoredVersion;
use request::{AdminCall, AdminQuery, AdminQueryKind};
use response::{AdminResponse, QueryOutcome};
use snapshot::ReplicaSnapshot;

/// Interval between checks of the endpoint table while a drain is pending.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Handles a request at the control listener.
pub async fn handle_request(
    server: Arc<ReplicaServer>,
    received: ReceivedRequest,
    bodies: Arc<Semaphore>,
) -> Response<ResponseBody> {
    if received.request.uri().path() == metrics::PATH {
        return replica_metrics::respond(&server).await;
    }
    handle_call(&server, received, &bodies).await.into()
}

async fn handle_call(
    server: &ReplicaServer,
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
) -> AdminResponse {
    let (name, subject) = call_and_subject(received.request.uri());
    match AdminCall::from_name(&name) {
        AdminCall::ReadConfiguration => configuration::read_configuration(server).await,
        AdminCall::ReplaceConfiguration => match read_body(received, bodies, server.clock).await {
            Ok(bytes) => configuration::replace_configuration(server, bytes).await,
            Err(response) => response,
        },
        AdminCall::CountSessions => sessions::count_sessions(server).await,
        AdminCall::Session => sessions::handle_session_call(server, received.request.uri()).await,
        AdminCall::ReadMemberRegister => member_response(members::read_register(server).await),
        AdminCall::ReplaceMemberRegister => match read_body(received, bodies, server.clock).await {
            Ok(bytes) => member_response(members::replace_register(server, bytes).await),
            Err(response) => response,
        },
        AdminCall::Member(call) => {
            let member = subject.unwrap_or_default();
            member_response(member_calls::handle_member_call(server, call, &member, received, bodies).await)
        }
        AdminCall::UnknownMemberCall => MemberError::UnknownCall.into(),
        AdminCall::Query => match AdminQuery::parse(received.request.uri()) {
            Ok(query) => handle_query(server, &query).await,
            Err(error) => error.into(),
        },
    }
}

fn member_response(result: Result<String, MemberError>) -> AdminResponse {
    result.map_or_else(AdminResponse::from, AdminResponse::Json)
}

/// Answers a query from a snapshot. A drain is answered once the upstream's record says that it is draining; until then
/// new snapshots are taken.
async fn handle_query(server: &ReplicaServer, query: &AdminQuery) -> AdminResponse {
    let deadline = Instant::now() + ADMIN_CALL_TIMEOUT;
    loop {
        let snapshot = match take_snapshot(server, query).await {
            Ok(snapshot) => snapshot,
            Err(response) => return response,
        };
        match answer_query(query, &snapshot) {
            QueryOutcome::Answered(response) => return response,
            QueryOutcome::DrainPending { .. } if Instant::now() >= deadline => {
                return drain::drain_timeout_response();
            }
            QueryOutcome::DrainPending { inbound_proxy, upstream_id } => {
                server.request_drain(inbound_proxy, &upstream_id);
                sleep(DRAIN_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Takes a snapshot of what the query needs. The error is the response if that fails.
async fn take_snapshot(server: &ReplicaServer, query: &AdminQuery) -> Result<ReplicaSnapshot, AdminResponse> {
    let status = server.read_status(query.lease_key()).await.ok_or_else(AdminResponse::busy)?;
    let now = server.clock.now();
    let endpoints = server.read_endpoints(|table| snapshot::select_endpoints(query, table, now));
    let bounds = server.settings.load().bounds;
    let (disk_writes, disk_records) = (server.disk_writes.writes(), server.disk_writes.records());
    Ok(ReplicaSnapshot {
        replica: server.address,
        status,
        endpoints,
        bounds,
        disk_writes,
        disk_records,
        reports: collect_reports(server, query, now).await,
        stored_versions: read_stored_versions(server, query).await?,
    })
}

async fn collect_reports(server: &ReplicaServer, query: &AdminQuery, now: Nanos) -> CollectedReports {
    if query.needs_reports() { server.collect_reports(now).await } else { CollectedReports::default() }
}

async fn read_stored_versions(
    server: &ReplicaServer,
    query: &AdminQuery,
) -> Result<Vec<StoredVersion>, AdminResponse> {
    let data_dir = server.settings.load().data_dir.clone().filter(|_| query.needs_stored_versions());
    let Some(data_dir) = data_dir else { return Ok(Vec::new()) };
    let read = tokio::task::spawn_blocking(move || configuration_history::list_stored_versions(&data_dir));
    match timeout(ADMIN_CALL_TIMEOUT, read).await {
        Ok(Ok(Ok(versions))) => Ok(versions),
        _ => Err(AdminResponse::error(503, "the disk can't be read now")),
    }
}

/// Answers a query from a snapshot, without I/O.
fn answer_query(query: &AdminQuery, snapshot: &ReplicaSnapshot) -> QueryOutcome {
    let response = match &query.kind {
        AdminQueryKind::Nodes => nodes::list_nodes(snapshot),
        AdminQueryKind::Upstreams => upstreams::list_upstreams(snapshot),
        AdminQueryKind::ConfigurationHistory => configuration::list_versions(snapshot),
        AdminQueryKind::LeaseCounts => leases::count_leases(snapshot),
        AdminQueryKind::Lease(key) => leases::show_lease(key, snapshot.status.lease.as_ref()),
        AdminQueryKind::Budgets => budget::list_budgets(snapshot),
        AdminQueryKind::DrainUpstream(upstream_id) => {
            return drain::drain_upstream(upstream_id, &snapshot.endpoints);
        }
    };
    QueryOutcome::Answered(response)
}

#[cfg(test)]
#[path = "../tests/admin_api_tests.rs"]
mod admin_api_tests;
