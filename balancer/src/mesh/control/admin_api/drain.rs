//! `upstreams.drain`: drains an upstream, so that it gets no new requests.
//!
//! Invariants: only an inbound proxy writes its endpoint record. Therefore the proxy is requested to drain, and the
//! operator's call is answered when the record says that the upstream is draining.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::UpstreamState;
use serde::Serialize;

use super::response::{AdminResponse, QueryOutcome};
use super::snapshot::{EndpointStatus, upstream_state_name};

#[derive(Serialize)]
struct DrainEntry<'s> {
    id: &'s str,
    #[serde(rename = "line")]
    service: &'s str,
    #[serde(rename = "door")]
    inbound_proxy: SocketAddr,
    state: &'static str,
    /// The number of other upstreams of its service that are serving.
    #[serde(rename = "open_left")]
    other_serving_upstreams: usize,
}

/// Returns the response for a drain that the proxy has not started in time.
#[must_use]
pub fn drain_timeout_response() -> AdminResponse {
    AdminResponse::error(503, "its attendant has not taken the drain yet: ask again")
}

/// Looks up the upstream by its ID. If several records have the ID, a serving one takes precedence.
pub fn drain_upstream(upstream_id: &str, endpoints: &[EndpointStatus]) -> QueryOutcome {
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
    QueryOutcome::Answered(AdminResponse::json(&DrainEntry {
        id: upstream_id,
        service,
        inbound_proxy,
        state: upstream_state_name(found.record.state),
        other_serving_upstreams: endpoints.iter().filter(takes_over).count(),
    }))
}

fn is_serving(endpoint: &EndpointStatus) -> bool {
    endpoint.record.state == UpstreamState::Serving
}
