//! Heartbeats, by which an upstream registers with the inbound proxy on its node.
//!
//! Main types: [`Heartbeat`].
//!
//! Invariants: values that others can set are bounded here.

use std::net::SocketAddr;

use jzon::JsonValue as Json;
use ochreshed_catalog::endpoints::UpstreamState;

/// Longest warm-up time that is accepted from a heartbeat.
const MAX_WARM_UP_MS: f64 = 600_000.0;
/// Greatest concurrency limit that is accepted from a heartbeat.
const MAX_REPORTED_CONCURRENCY_LIMIT: u32 = 100_000;

/// A heartbeat of an upstream incarnation.
pub(super) struct Heartbeat {
    pub(super) address: SocketAddr,
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) software_version: String,
    pub(super) concurrency_limit: u32,
    pub(super) sequence: u64,
    /// Serving or draining.
    pub(super) state: UpstreamState,
    pub(super) warming_up_ms: u64,
}

impl Heartbeat {
    /// Parses the JSON body of a heartbeat. The error says what is malformed.
    pub(super) fn parse(body: &[u8]) -> Result<Heartbeat, &'static str> {
        let text = std::str::from_utf8(body).map_err(|_| "not UTF-8")?;
        let heartbeat = jzon::parse(text).map_err(|_| "no JSON")?;
        let (notice, status) = (&heartbeat["notice"], &heartbeat["status"]);
        let string_field = |object: &Json, name: &str| object[name].as_str().unwrap_or_default().to_owned();
        let address = heartbeat["address"].as_str().and_then(|text| text.parse().ok()).ok_or("no address")?;
        let service = string_field(notice, "line");
        if service.is_empty() {
            return Err("no line");
        }
        let state = if status["state"].as_str() == Some("closing") {
            UpstreamState::Draining
        } else {
            UpstreamState::Serving
        };
        Ok(Heartbeat {
            address,
            service,
            zone: string_field(notice, "zone"),
            software_version: string_field(notice, "edition"),
            concurrency_limit: notice["pigeonholes"]
                .as_u32()
                .unwrap_or(1)
                .clamp(1, MAX_REPORTED_CONCURRENCY_LIMIT),
            sequence: status["postmark_seq"].as_u64().unwrap_or(0),
            state,
            warming_up_ms: status["cold_left_ms"].as_f64().unwrap_or(0.0).clamp(0.0, MAX_WARM_UP_MS) as u64,
        })
    }
}
