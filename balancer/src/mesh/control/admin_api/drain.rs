//! `upstreams.drain`: has an upstream's proxy send it nothing new.
//!
//! Invariants: only the proxy writes its endpoint's record. So the proxy is asked, and the operator is answered once
//! the record says that the upstream drains.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::UpstreamState;
use serde::Serialize;

use super::response::{AdminResponse, QueryOutcome};
use super::snapshot::{EndpointStatus, upstream_state_name};

#[derive(Serialize)]
struct Drained<'s> {
    id: &'s str,
    #[serde(rename = "line")]
    service: &'s str,
    #[serde(rename = "door")]
    inbound_proxy: SocketAddr,
    state: &'static str,
    /// How many other upstreams of its service are serving.
    #[serde(rename = "open_left")]
    serving_left: usize,
}

/// The answer if the proxy has not begun to drain in time.
#[must_use]
pub fn not_drained_yet() -> AdminResponse {
    AdminResponse::error(503, "its attendant has not taken the drain yet: ask again")
}

/// Looks up the upstream. If several records have the id, the one that serves is meant.
pub fn drain(upstream_id: &str, endpoints: &[EndpointStatus]) -> QueryOutcome {
    let has_id = |endpoint: &&EndpointStatus| endpoint.record.upstream_id == upstream_id;
    let serving = endpoints.iter().filter(has_id).find(|endpoint| is_serving(endpoint));
    let Some(found) = serving.or(endpoints.iter().find(has_id)) else {
        return QueryOutcome::Answered(AdminResponse::error(404, "no upstream of that id is known here"));
    };
    let inbound_proxy = found.record.inbound_proxy;
    if is_serving(found) {
        return QueryOutcome::DrainPending { inbound_proxy, upstream_id: upstream_id.to_owned() };
    }
    let service = &found.record.service;
    let takes_over = |endpoint: &&EndpointStatus| {
        let record = &endpoint.record;
        record.service == *service && record.accepts_clients && !endpoint.suspected && is_serving(endpoint)
    };
    QueryOutcome::Answered(AdminResponse::json(&Drained {
        id: upstream_id,
        service,
        inbound_proxy,
        state: upstream_state_name(found.record.state),
        serving_left: endpoints.iter().filter(takes_over).count(),
    }))
}

fn is_serving(endpoint: &EndpointStatus) -> bool {
    endpoint.record.state == UpstreamState::Serving
}
