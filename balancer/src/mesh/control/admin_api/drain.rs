//! `upstreams.drain`: has an upstream's proxy send it nothing new.
//!
//! Main type: [`DrainOutcome`].
//!
//! Invariants: only the proxy writes its endpoint's record. So the proxy is asked, and the operator is answered once the
//! record says that the upstream drains.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::UpstreamState;
use serde::Serialize;

use super::response::AdminResponse;
use super::snapshot::{EndpointStatus, upstream_state_name};

/// What the endpoint table says about a drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// The upstream drains already, or is not known.
    Answered(AdminResponse),
    /// The upstream still serves: its proxy is to be asked, and the table looked at again.
    Pending { inbound_proxy: SocketAddr, upstream_id: String },
}

#[derive(Serialize)]
struct Drained<'s> {
    id: &'s str,
    line: &'s str,
    door: SocketAddr,
    state: &'static str,
    /// How many other upstreams of its service are serving.
    open_left: usize,
}

/// The answer if the proxy has not begun to drain in time.
#[must_use]
pub fn not_drained_yet() -> AdminResponse {
    AdminResponse::error(503, "its attendant has not taken the drain yet: ask again")
}

/// Looks up the upstream. If several have the id, as after a restart elsewhere, the one that serves is meant.
pub fn drain(upstream_id: &str, endpoints: &[EndpointStatus]) -> DrainOutcome {
    let has_id = |endpoint: &&EndpointStatus| endpoint.record.upstream_id == upstream_id;
    let serving = endpoints.iter().filter(has_id).find(|endpoint| is_serving(endpoint));
    let Some(found) = serving.or(endpoints.iter().find(has_id)) else {
        return DrainOutcome::Answered(AdminResponse::error(404, "no upstream of that id is known here"));
    };
    let inbound_proxy = found.record.inbound_proxy;
    if is_serving(found) {
        return DrainOutcome::Pending { inbound_proxy, upstream_id: upstream_id.to_owned() };
    }
    let service = &found.record.service;
    let takes_over = |endpoint: &&EndpointStatus| {
        let record = &endpoint.record;
        record.service == *service && record.accepts_clients && !endpoint.suspected && is_serving(endpoint)
    };
    DrainOutcome::Answered(AdminResponse::json(&Drained {
        id: upstream_id,
        line: service,
        door: inbound_proxy,
        state: upstream_state_name(found.record.state),
        open_left: endpoints.iter().filter(takes_over).count(),
    }))
}

fn is_serving(endpoint: &EndpointStatus) -> bool {
    endpoint.record.state == UpstreamState::Serving
}
