//! Registration of the upstream: its heartbeats and its end, drains, and what is restored after a restart of this process.
//!
//! Invariants: an incarnation that is draining or has ended never serves again.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use ochreshed::Nanos;
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use tokio::sync::Semaphore;

use super::heartbeat::Heartbeat;
use super::{GrantedPermit, InboundProxy, MS, Upstream, call_and_subject};
use crate::body::RequestMessage;
use crate::connection::lock;
use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::headers::RESPONDING_UPSTREAM;
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};

/// Timeout of the health check after a start.
const PROBE_TIMEOUT: Nanos = 1_000 * MS;
/// Time within which a heartbeat must have been received.
const HEARTBEAT_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory budget for the body of one heartbeat.
const HEARTBEAT_MEMORY_BYTES: usize = 1 << 16;
/// Longest accepted body of a heartbeat.
const MAX_HEARTBEAT_BYTES: u64 = 4 * 1024;

impl InboundProxy {
    /// Whether the current upstream incarnation has signed off, and so accepts no more requests.
    pub fn has_upstream_ended(&self) -> bool {
        lock(&self.state).upstream.as_ref().is_some_and(|upstream| upstream.state == UpstreamState::Absent)
    }

    /// Whether a heartbeat or the probe has found the upstream since this process started.
    pub fn knows_upstream(&self) -> bool {
        lock(&self.state).upstream.is_some()
    }

    /// Restores the upstream after a restart from this node's earlier `record`, if one health check confirms that the same
    /// incarnation still runs. The inbound proxy can then serve before the upstream's next heartbeat.
    pub async fn restore_probed_upstream(self: Arc<Self>, record: EndpointRecord, health_path: String) {
        let Some(address) = self.upstream_address.filter(|_| record.state != UpstreamState::Absent) else {
            return;
        };
        let connections = self.connection_pool(address);
        let mut head = hyper::Request::new(());
        match health_path.parse() {
            Ok(uri) => *head.uri_mut() = uri,
            Err(_) => return,
        }
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            head.headers_mut().insert(HOST, host);
        }
        let message = Arc::new(RequestMessage {
            head,
            first_bytes: bytes::Bytes::new(),
            body_length: Some(0),
            remainder: None,
        });
        let deadline = self.clock.now() + PROBE_TIMEOUT;
        let Ok((head, _)) = connections.exchange(&message, &HeaderMap::new(), deadline, None, |_| true).await
        else {
            return;
        };
        // Health responses can be wrong, and marking an incarnation as draining or ended is irreversible. A failure or
        // another incarnation's id is therefore ignored, and the next heartbeat decides.
        if header_str(&head.headers, &RESPONDING_UPSTREAM) != record.upstream_id || !head.status.is_success()
        {
            return;
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.upstream.is_some() || state.history.has_ended(&record.upstream_id) {
            return;
        }
        let is_draining = record.state == UpstreamState::Draining;
        log::info!(
            "upstream restored by a health check: upstream={} service={} state={}",
            record.upstream_id,
            record.service,
            record.state
        );
        state.upstream = Some(Upstream {
            id: record.upstream_id,
            service: record.service,
            zone: record.zone,
            software_version: record.software_version,
            concurrency_limit: record.concurrency_limit,
            state: record.state,
            heartbeat_sequence: 0,
            warming_up_ms: 0,
            last_seen_at: now,
            draining_since: is_draining.then_some(now),
            connections,
        });
        lock(&self.admission).set_limit(record.concurrency_limit);
        drop(state);
        self.publish_record();
    }

    /// Restores the state that other nodes know from an earlier run of this process: an upstream incarnation that was
    /// draining or had ended then still is, even if a late heartbeat has said otherwise, since its drain was acknowledged.
    pub fn restore_upstream_state(&self, id: &str, known: UpstreamState) {
        let mut state = lock(&self.state);
        if known == UpstreamState::Serving || id.is_empty() {
            return;
        }
        if known == UpstreamState::Absent {
            state.history.end(id);
        }
        // The start of the drain is unknown, so its time counts as over.
        let drain_started_at = self.clock.now().saturating_sub(self.drain_timeout.as_nanos() as Nanos);
        let Some(upstream) = &mut state.upstream else { return };
        if upstream.id != id || upstream.state != UpstreamState::Serving {
            return;
        }
        (upstream.state, upstream.draining_since) = (known, Some(drain_started_at));
        log::info!("upstream state restored from before this start: upstream={id} state={known}");
        drop(state);
        self.publish_record();
    }

    /// Handles a call at the control address: heartbeats and sign-off of the upstream, and the session counts for operators.
    pub async fn handle_control_call(self: Arc<Self>, received: ReceivedRequest) -> Response<ResponseBody> {
        let uri = received.request.uri().clone();
        let (call_name, subject) = call_and_subject(&uri);
        match (call_name.as_str(), subject) {
            ("offices.beat", Some(upstream_id)) => {
                let body_memory = Arc::new(Semaphore::new(HEARTBEAT_MEMORY_BYTES));
                let read = listener::read_message(
                    received,
                    &body_memory,
                    self.clock,
                    MAX_HEARTBEAT_BYTES,
                    HEARTBEAT_READ_TIMEOUT,
                )
                .await;
                let heartbeat = match read {
                    Ok((message, _permit)) => self.handle_heartbeat(&upstream_id, &message.first_bytes),
                    Err(RequestError(status, reason)) => return plain_response(status, reason),
                };
                match heartbeat {
                    Ok(()) => listener::json_response(200, "{}".into()),
                    Err(reason) => plain_response(400, reason),
                }
            }
            ("offices.sign_off", Some(upstream_id)) => {
                self.end_upstream(&upstream_id);
                listener::json_response(200, "{}".into())
            }
            ("sessions.count", _) => {
                listener::json_response(200, self.sessions.status_json(self.fencing_table.rejections()))
            }
            _ => plain_response(404, "no such call here"),
        }
    }

    /// Handles a heartbeat of an upstream incarnation. Heartbeats of ended incarnations and those older than the last one are
    /// accepted and ignored. The error says what is malformed.
    pub fn handle_heartbeat(self: &Arc<Self>, upstream_id: &str, body: &[u8]) -> Result<(), &'static str> {
        let Heartbeat {
            address,
            service,
            zone,
            software_version,
            concurrency_limit,
            sequence: heartbeat_sequence,
            state: reported_state,
            warming_up_ms,
        } = Heartbeat::parse(body)?;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.history.has_ended(upstream_id) {
            return Ok(());
        }
        let previous = state.upstream.take();
        let (connections, draining_since) = match &previous {
            Some(previous) if previous.id == upstream_id => {
                if heartbeat_sequence < previous.heartbeat_sequence {
                    state.upstream = Some(previous.clone());
                    return Ok(());
                }
                let connections = if previous.connections.address() == address {
                    previous.connections.clone()
                } else {
                    self.connection_pool(address)
                };
                (connections, previous.draining_since)
            }
            Some(previous) => {
                let ended = previous.id.clone();
                state.history.end(&ended);
                (self.connection_pool(address), None)
            }
            None => (self.connection_pool(address), None),
        };
        // An incarnation that has started to drain never serves again, whatever its heartbeats say.
        let upstream_state = if draining_since.is_some() { UpstreamState::Draining } else { reported_state };
        let draining_since = draining_since.or((upstream_state == UpstreamState::Draining).then_some(now));
        let is_unchanged = previous.as_ref().is_some_and(|previous| {
            previous.id == upstream_id
                && previous.state == upstream_state
                && previous.concurrency_limit == concurrency_limit
                && previous.service == service
                && previous.software_version == software_version
        });
        let upstream = Upstream {
            id: upstream_id.to_owned(),
            service,
            zone,
            software_version,
            concurrency_limit,
            state: upstream_state,
            heartbeat_sequence,
            warming_up_ms,
            last_seen_at: now,
            draining_since,
            connections,
        };
        if !is_unchanged {
            log::info!(
                "upstream state: upstream={} service={} state={} concurrency_limit={} zone={}",
                upstream.id,
                upstream.service,
                upstream_state,
                concurrency_limit,
                upstream.zone
            );
        }
        state.upstream = Some(upstream);
        drop(state);
        if previous.is_none_or(|previous| previous.id != upstream_id) {
            lock(&self.outlier_detector).reset();
        }
        if !is_unchanged {
            let mut admission = lock(&self.admission);
            admission.set_limit(concurrency_limit);
            let granted = self.admit_waiting(&mut admission, now);
            drop(admission);
            granted.into_iter().for_each(GrantedPermit::deliver);
            self.publish_record();
        }
        Ok(())
    }

    /// Ends an upstream incarnation that has signed off. It is remembered even if it was unknown, since a late heartbeat of it
    /// may still arrive.
    pub(super) fn end_upstream(&self, upstream_id: &str) {
        let mut state = lock(&self.state);
        state.history.end(upstream_id);
        let Some(upstream) = &mut state.upstream else { return };
        if upstream.id != upstream_id || upstream.state == UpstreamState::Absent {
            return;
        }
        upstream.state = UpstreamState::Absent;
        upstream.connections.close_idle();
        log::info!("upstream ended, its requests go elsewhere: upstream={upstream_id}");
        drop(state);
        self.publish_record();
    }

    /// Drains the upstream on an operator's request, as if its heartbeat had reported that. Ignored for another incarnation.
    pub fn drain(&self, id: &str) {
        let mut state = lock(&self.state);
        if let Some(upstream) = &mut state.upstream
            && upstream.id == id
            && upstream.state == UpstreamState::Serving
        {
            upstream.state = UpstreamState::Draining;
            upstream.draining_since = Some(self.clock.now());
            log::info!("upstream drained by an operator: upstream={id}");
            drop(state);
            self.publish_record();
        }
    }
}
