//! The event loop of a replica, which owns the core and applies its effects.
//!
//! Main type: [`Replica`]. It handles events in order, persists records through the disk writer, sends messages,
//! responds to requests and publishes state changes.
//!
//! Invariants: no message or response that depends on a log record is sent before the record is synced to disk, and
//! messages that wait for the disk are sent in the order in which the core emitted them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed::Nanos;
use ochreshed_consensus::core::Core;
use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, Effect, Message, NamedRegister, RegisterName, RegisterValue, Revision,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::committed_state::{CommittedRegisters, PublishedState};
use super::disk_writer::{DiskWriter, PersistedBatches, WriteBatch};
use super::replica_server::{ReplicaEvent, ReplicaServer};
use super::replica_status::ReplicaStatus;
use crate::mesh::shared::member_documents::digest_of_revisions;

/// The maximum number of events handled between two flushes of the core.
const MAX_EVENTS_PER_FLUSH: usize = 256;
/// Requests whose callers no longer wait are cancelled once per this number of requests.
const REQUESTS_PER_CANCELLATION_CHECK: u64 = 64;

/// The core with its event loop.
pub struct Replica {
    server: Arc<ReplicaServer>,
    core: Core,
    disk: DiskWriter,
    /// Response channels of pending requests, by request ID.
    responders: HashMap<u64, oneshot::Sender<CoreResponse>>,
    last_request_id: u64,
    /// The registers on disk at the start. They are published until the core knows which values are committed.
    registers_at_start: HashMap<RegisterName, Revision>,
    /// Batches that the disk writer has not acknowledged yet.
    unacknowledged_batches: usize,
}

impl Replica {
    /// Creates the event loop for a core that was restored from disk.
    #[must_use]
    pub fn new(server: Arc<ReplicaServer>, core: Core, disk: DiskWriter) -> Replica {
        let stored =
            core.registers().filter_map(|register| Some((register.name, register.stored?.revision())));
        let registers_at_start = stored.collect();
        Replica {
            server,
            core,
            disk,
            responders: HashMap::new(),
            last_request_id: 0,
            registers_at_start,
            unacknowledged_batches: 0,
        }
    }

    /// Runs until all event senders are dropped. `effects` are those of the core's start.
    pub async fn run(mut self, mut incoming: mpsc::Receiver<ReplicaEvent>, mut effects: Vec<Effect>) {
        let mut events = Vec::new();
        let mut next_tick = self.server.clock.now();
        loop {
            let now = self.server.clock.now();
            let ticked = now >= next_tick;
            if ticked {
                next_tick = self.core.tick(now, &mut effects);
            }
            self.core.flush(&mut effects);
            self.apply_effects(&mut effects);
            self.publish_changes(now, ticked);
            let wake_at = self.server.clock.instant(next_tick);
            tokio::select! {
                biased;
                Some(persisted) = self.disk.next_persisted() => {
                    self.handle_persisted(persisted, &mut effects);
                }
                count = incoming.recv_many(&mut events, MAX_EVENTS_PER_FLUSH) => {
                    if count == 0 {
                        return;
                    }
                    let now = self.server.clock.now();
                    for event in events.drain(..) {
                        self.handle_event(now, event, &mut effects);
                    }
                }
                () = sleep_until(wake_at) => {}
            }
        }
    }

    fn handle_event(&mut self, now: Nanos, event: ReplicaEvent, effects: &mut Vec<Effect>) {
        match event {
            ReplicaEvent::Message(message) => self.core.handle_message(now, message, effects),
            ReplicaEvent::Request(request, responder) => {
                self.handle_request(now, request, responder, effects);
            }
            ReplicaEvent::SeedsChanged(seeds) => self.core.set_seeds(&seeds),
            ReplicaEvent::ReadStatus(key, responder) => {
                let _ = responder.send(ReplicaStatus::read(&self.core, now, key));
            }
            ReplicaEvent::Leave => self.core.announce_departure(now, effects),
        }
    }

    fn handle_request(
        &mut self,
        now: Nanos,
        request: CoreRequest,
        responder: oneshot::Sender<CoreResponse>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_request_id += 1;
        self.responders.insert(self.last_request_id, responder);
        self.core.handle_request(now, self.last_request_id, request, effects);
        if self.last_request_id.is_multiple_of(REQUESTS_PER_CANCELLATION_CHECK) {
            self.cancel_abandoned_requests();
        }
    }

    /// Cancels the requests whose callers no longer wait.
    fn cancel_abandoned_requests(&mut self) {
        let abandoned = self.responders.iter().filter(|(_, responder)| responder.is_closed());
        let abandoned: Vec<u64> = abandoned.map(|(request, _)| *request).collect();
        for request in abandoned {
            self.responders.remove(&request);
            self.core.cancel_request(request);
        }
    }

    fn handle_persisted(&mut self, persisted: PersistedBatches, effects: &mut Vec<Effect>) {
        self.unacknowledged_batches -= persisted.count;
        self.send_messages(persisted.messages, effects);
    }

    /// Applies the core's effects in order. Messages that must wait for the disk go through the disk writer.
    fn apply_effects(&mut self, effects: &mut Vec<Effect>) {
        let mut batch = WriteBatch::default();
        for effect in effects.drain(..) {
            match effect {
                Effect::Persist(record) => batch.records.push(record),
                Effect::SendAfterPersist(to, message) => batch.messages.push((to, message)),
                Effect::SendNow(to, message) => self.server.rpc_clients.client_for(to).send_message(message),
                Effect::Respond { call, response } => self.respond(call, response),
                Effect::Log(line) => log::info!("core: {line}"),
            }
        }
        if batch.records.is_empty() && self.unacknowledged_batches == 0 {
            self.send_without_disk(batch.messages);
        } else if !batch.is_empty() {
            self.unacknowledged_batches += 1;
            self.disk.submit(batch);
        }
    }

    fn respond(&mut self, request: u64, response: CoreResponse) {
        if let Some(responder) = self.responders.remove(&request) {
            let _ = responder.send(response);
        }
    }

    /// Sends messages that don't depend on unsynced records, and applies the effects of those that the replica sent to
    /// itself.
    fn send_without_disk(&mut self, messages: Vec<(SocketAddr, Message)>) {
        let mut effects = Vec::new();
        self.send_messages(messages, &mut effects);
        if !effects.is_empty() {
            self.core.flush(&mut effects);
            self.apply_effects(&mut effects);
        }
    }

    /// Sends messages. Messages to this replica are handled immediately, which may add effects.
    fn send_messages(&mut self, messages: Vec<(SocketAddr, Message)>, effects: &mut Vec<Effect>) {
        let now = self.server.clock.now();
        for (to, message) in messages {
            if to == self.server.address {
                self.core.handle_message(now, message, effects);
            } else {
                self.server.rpc_clients.client_for(to).send_message(message);
            }
        }
    }

    /// Publishes the state if it has changed. Quorum can be lost by the passage of time alone, so it is checked at each
    /// tick and not after each event.
    fn publish_changes(&self, now: Nanos, ticked: bool) {
        let previous = self.server.published();
        let core_unchanged = self.core_unchanged_since(&previous);
        if core_unchanged && !ticked {
            return;
        }
        let state = PublishedState {
            configuration: self.newest_configuration().cloned(),
            replicas: self.sorted_replicas(),
            has_quorum: self.core.has_quorum(now),
            registers: self.registers_since(&previous.registers),
            membership: Some(self.core.membership().clone()),
            voter: self.core.is_voting(),
            may_stop: self.core.may_stop(),
        };
        let unchanged = core_unchanged
            && previous.has_quorum == state.has_quorum
            && previous.may_stop == state.may_stop
            && previous.replicas == state.replicas;
        if unchanged {
            return;
        }
        let watchers_affected = previous.registers.digest != state.registers.digest
            || previous.replicas != state.replicas
            || previous.configuration_revision() != state.configuration_revision();
        self.server.publish(state);
        if watchers_affected {
            self.server.notify_change();
        }
    }

    /// Whether the parts of the state that change only by events are as published.
    fn core_unchanged_since(&self, previous: &PublishedState) -> bool {
        let revision = self.newest_configuration().map(|configuration| configuration.revision());
        previous.configuration_revision() == revision
            && previous.membership.as_ref() == Some(self.core.membership())
            && previous.voter == self.core.is_voting()
            && previous.registers.change_count == self.core.register_changes()
    }

    /// Returns the newest committed configuration, or the newest on disk until that is known; see `PublishedState`.
    fn newest_configuration(&self) -> Option<&Arc<RegisterValue>> {
        self.core.committed_configuration().or(self.core.stored_configuration())
    }

    fn sorted_replicas(&self) -> Vec<SocketAddr> {
        let mut replicas = self.core.replica_addresses();
        replicas.sort();
        replicas
    }

    /// Returns the committed registers, and those on disk at the start until it is known which are committed.
    fn registers_since(&self, previous: &Arc<CommittedRegisters>) -> Arc<CommittedRegisters> {
        let change_count = self.core.register_changes();
        if previous.change_count == change_count {
            return previous.clone();
        }
        let readable = self.core.registers().filter_map(|register| {
            let at_start = self.registers_at_start.get(&register.name);
            let unchanged = register.stored.filter(|stored| at_start == Some(&stored.revision()));
            Some(NamedRegister { name: register.name, value: register.committed.or(unchanged)? })
        });
        let values: Vec<NamedRegister> = readable.collect();
        let digest =
            digest_of_revisions(values.iter().map(|register| (&*register.name, register.value.revision())));
        Arc::new(CommittedRegisters { values, digest, change_count })
    }
}
