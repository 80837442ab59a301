//! Registration of the upstream: its heartbeats and its end, drains, and what is restored after a restart of this process.
//!
//! Invariants:
//! - An incarnation that is draining or has ended never serves again.
//! - A drain or an end is acknowledged once a majority of the control plane has it on disk, so it outlives this process and
//!   all others.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use ochreshed::Nanos;
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::heartbeat::Heartbeat;
use super::ignored_heartbeats::IgnoredHeartbeat;
use super::{GrantedPermit, InboundProxy, MS, Upstream, call_and_subject};
use crate::body::RequestMessage;
use crate::connection::lock;
use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::headers::RESPONDING_UPSTREAM;
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};
use crate::mesh::proxy::tombstone_client::TombstoneLookup;

/// Timeout of the health check after a start.
const PROBE_TIMEOUT: Nanos = 1_000 * MS;
/// Time within which a heartbeat must have been received.
const HEARTBEAT_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory budget for the body of one heartbeat.
const HEARTBEAT_MEMORY_BYTES: usize = 1 << 16;
/// Wait after a lookup of the current incarnation's tombstone that found no majority.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Wait after an end could not be recorded.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Attempts to record an end in the background.
const MAX_RECORD_ATTEMPTS: u32 = 60;
/// Longest accepted body of a heartbeat.
const MAX_HEARTBEAT_BYTES: u64 = 4 * 1024;

/// Why a heartbeat or a sign-off is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RegistrationError {
    /// The heartbeat can't be read.
    #[error("{0}")]
    Malformed(&'static str),
    /// The control plane has not recorded the drain or the end in time; the upstream is to send it again.
    #[error("not recorded by the control plane yet")]
    NotRecorded,
}

/// The response to a heartbeat or a sign-off.
fn acknowledgement(result: Result<(), RegistrationError>) -> Response<ResponseBody> {
    match result {
        Ok(()) => listener::json_response(200, "{}".into()),
        Err(RegistrationError::Malformed(reason)) => plain_response(400, reason),
        Err(error @ RegistrationError::NotRecorded) => plain_response(503, &error.to_string()),
    }
}

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
    pub async fn restore_probed_upstream(self: Arc<Self>, mut record: EndpointRecord, health_path: String) {
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
        let tombstone = self.tombstones.find(&record.upstream_id).await;
        if tombstone == TombstoneLookup::Exists {
            record.state = UpstreamState::Draining;
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.upstream.is_some() || state.history.has_ended(&record.upstream_id) {
            return;
        }
        let is_draining = record.state == UpstreamState::Draining;
        let upstream_id = record.upstream_id.clone();
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
            // The start of the drain is unknown, so its time counts as over.
            draining_since: is_draining.then(|| self.start_of_finished_drain()),
            connections,
        });
        lock(&self.admission).set_limit(record.concurrency_limit);
        drop(state);
        self.publish_record();
        if tombstone == TombstoneLookup::Unavailable {
            self.look_up_later(upstream_id);
        }
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
        let drain_started_at = self.start_of_finished_drain();
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
                    Ok((message, _permit)) => self.handle_heartbeat(&upstream_id, &message.first_bytes).await,
                    Err(RequestError(status, reason)) => return plain_response(status, reason),
                };
                acknowledgement(heartbeat)
            }
            ("offices.sign_off", Some(upstream_id)) => {
                self.end_upstream(&upstream_id);
                acknowledgement(self.record_end(&upstream_id).await)
            }
            ("sessions.count", _) => {
                listener::json_response(200, self.sessions.status_json(self.fencing_table.rejections()))
            }
            _ => plain_response(404, "no such call here"),
        }
    }

    /// Handles a heartbeat of an upstream incarnation. Heartbeats of ended incarnations and those older than the last one are
    /// acknowledged and ignored. A heartbeat that reports a drain is acknowledged once the control plane has recorded it.
    pub async fn handle_heartbeat(
        self: &Arc<Self>,
        upstream_id: &str,
        body: &[u8],
    ) -> Result<(), RegistrationError> {
        let heartbeat = Heartbeat::parse(body).map_err(RegistrationError::Malformed)?;
        let reports_drain = heartbeat.state == UpstreamState::Draining;
        if self.is_unknown(upstream_id) {
            self.register_incarnation(upstream_id, heartbeat).await;
        } else {
            self.apply_heartbeat(upstream_id, heartbeat, None);
        }
        if reports_drain {
            self.record_end(upstream_id).await?;
        }
        Ok(())
    }

    /// Whether nothing is known here of an incarnation: it is neither the current one nor one that has ended.
    fn is_unknown(&self, upstream_id: &str) -> bool {
        let state = lock(&self.state);
        let is_current = state.upstream.as_ref().is_some_and(|upstream| upstream.id == upstream_id);
        !is_current && !state.history.has_ended(upstream_id)
    }

    /// Registers an incarnation that this process has not heard of, unless the control plane has recorded its end: this
    /// process may have restarted since. Without a majority of the control plane it is registered, and looked up later.
    async fn register_incarnation(self: &Arc<Self>, upstream_id: &str, heartbeat: Heartbeat) {
        match self.tombstones.find(upstream_id).await {
            TombstoneLookup::Exists => {
                log::info!("heartbeat of an incarnation that drains or has ended: upstream={upstream_id}");
                lock(&self.state).history.mark_recorded(upstream_id);
                if self.knows_upstream() {
                    self.ignored_heartbeats.record(IgnoredHeartbeat::Ended);
                } else {
                    self.apply_heartbeat(upstream_id, heartbeat, Some(self.start_of_finished_drain()));
                }
            }
            TombstoneLookup::Absent => self.apply_heartbeat(upstream_id, heartbeat, None),
            TombstoneLookup::Unavailable => {
                self.apply_heartbeat(upstream_id, heartbeat, None);
                self.look_up_later(upstream_id.to_owned());
            }
        }
    }

    /// Looks for the tombstone of the current incarnation until a majority of the control plane responds.
    fn look_up_later(self: &Arc<Self>, upstream_id: String) {
        let proxy = self.clone();
        tokio::spawn(async move {
            while proxy.is_current(&upstream_id) {
                match proxy.tombstones.find(&upstream_id).await {
                    TombstoneLookup::Exists => {
                        lock(&proxy.state).history.mark_recorded(&upstream_id);
                        return proxy.restore_upstream_state(&upstream_id, UpstreamState::Draining);
                    }
                    TombstoneLookup::Absent => return,
                    TombstoneLookup::Unavailable => sleep(LOOKUP_RETRY_INTERVAL).await,
                }
            }
        });
    }

    fn is_current(&self, upstream_id: &str) -> bool {
        lock(&self.state).upstream.as_ref().is_some_and(|upstream| upstream.id == upstream_id)
    }

    /// Has the control plane record that an incarnation drains or has ended, so that no restart forgets it.
    pub(super) async fn record_end(&self, upstream_id: &str) -> Result<(), RegistrationError> {
        if lock(&self.state).history.is_recorded(upstream_id) {
            return Ok(());
        }
        if !self.tombstones.store(upstream_id).await {
            return Err(RegistrationError::NotRecorded);
        }
        lock(&self.state).history.mark_recorded(upstream_id);
        Ok(())
    }

    /// Like [`InboundProxy::record_end`], in the background and with retries.
    fn record_end_later(self: &Arc<Self>, upstream_id: String) {
        let proxy = self.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_RECORD_ATTEMPTS {
                if proxy.record_end(&upstream_id).await.is_ok() {
                    return;
                }
                sleep(RECORD_RETRY_INTERVAL).await;
            }
            log::warn!("the end of an incarnation could not be recorded: upstream={upstream_id}");
        });
    }

    /// When a drain started whose time is over now.
    fn start_of_finished_drain(&self) -> Nanos {
        self.clock.now().saturating_sub(self.drain_timeout.as_nanos() as Nanos)
    }

    /// Applies a heartbeat of the current incarnation, or of one that takes its place. `drain_started_at` is given if the
    /// incarnation is known to drain.
    fn apply_heartbeat(
        self: &Arc<Self>,
        upstream_id: &str,
        heartbeat: Heartbeat,
        drain_started_at: Option<Nanos>,
    ) {
        let Heartbeat {
            address,
            service,
            zone,
            software_version,
            concurrency_limit,
            sequence: heartbeat_sequence,
            state: reported_state,
            warming_up_ms,
        } = heartbeat;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.history.has_ended(upstream_id) {
            self.ignored_heartbeats.record(IgnoredHeartbeat::Ended);
            return;
        }
        let previous = state.upstream.take();
        let (connections, draining_since) = match &previous {
            Some(previous) if previous.id == upstream_id => {
                if heartbeat_sequence < previous.heartbeat_sequence {
                    state.upstream = Some(previous.clone());
                    self.ignored_heartbeats.record(IgnoredHeartbeat::Late);
                    return;
                }
                let connections = if previous.connections.address() == address {
                    previous.connections.clone()
                } else {
                    self.connection_pool(address)
                };
                (connections, previous.draining_since.or(drain_started_at))
            }
            Some(previous) => {
                let ended = previous.id.clone();
                state.history.end(&ended);
                (self.connection_pool(address), drain_started_at)
            }
            None => (self.connection_pool(address), drain_started_at),
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
    pub fn drain(self: &Arc<Self>, id: &str) {
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
            self.record_end_later(id.to_owned());
        }
    }
}
