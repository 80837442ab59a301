//! An attendant process in simulated time: its watches, endpoint list, configuration and leases, with the code that the
//! real one runs; the code around that follows `balancer/src/mesh/`. It knows only what messages told it.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::endpoints::{EndpointRecord, RecordVersion, UpstreamState};
use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchResponse};
use ochreshed_catalog::watch_client::{self, EndpointView, ReplicaDirectory, Watcher};
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, LeaseToken, RegisterValue, StoredResponse,
};

use super::process_context::{Observation, ProcessContext, Timer, UpstreamStep};
use super::resource_usage::{Cause, has_updates};
use crate::{MS, Nanos, S};

/// Delay until the next steward is also asked for a lease. This and the following limits match the balancer.
const HEDGE_DELAY: Nanos = 90 * MS;
const CLAIM_TIMEOUT: Nanos = 800 * MS;
const COMPLETION_TIMEOUT: Nanos = 800 * MS;
const MAX_COMPLETION_ATTEMPTS: usize = 12;
/// After this a configuration is fetched from another steward.
const FETCH_TIMEOUT: Nanos = 900 * MS;

struct WatchSlot {
    watcher: Watcher,
    open_request: Option<u64>,
    /// The last response contained updates.
    had_updates: bool,
}

enum OpenRequest {
    Watch { slot_index: usize, steward: SocketAddr, record: RecordVersion },
    Configuration { steward: SocketAddr, revision: Revision, is_full_fetch: bool },
    AcquireLease { claim: u64, steward: SocketAddr },
    CompleteLease { claim: u64, steward: SocketAddr },
}

struct LeaseClaim {
    key: LeaseKey,
    token: LeaseToken,
    started_at: Nanos,
    replicas: Vec<SocketAddr>,
    requested: usize,
    in_flight: usize,
    unanswered: Vec<SocketAddr>,
    is_decided: bool,
    outcome: Option<LeaseOutcome>,
    completion_attempts: usize,
}

pub struct Attendant {
    pub address: SocketAddr,
    seeds: Vec<SocketAddr>,
    record: EndpointRecord,
    watches: Vec<WatchSlot>,
    open_requests: BTreeMap<u64, OpenRequest>,
    endpoints: EndpointView,
    suspects: HashSet<SocketAddr>,
    replicas: ReplicaDirectory,
    configuration: Option<Arc<RegisterValue>>,
    fetching: Revision,
    claims: BTreeMap<u64, LeaseClaim>,
    next_claim: u64,
    response_bytes: usize,
    /// The process ends after its upstream has drained.
    pub shuts_down: bool,
}

impl Attendant {
    pub fn start(
        at: SocketAddr,
        seeds: &[SocketAddr],
        service: String,
        count: usize,
        response_bytes: usize,
        context: &mut ProcessContext,
    ) -> Attendant {
        let mut known = ReplicaDirectory::default();
        known.set_replicas(seeds.iter().copied());
        let record = EndpointRecord {
            inbound_proxy: at,
            incarnation: context.now / MS,
            sequence: 0,
            zone: "a".into(),
            service,
            upstream_id: String::new(),
            software_version: String::new(),
            state: UpstreamState::Absent,
            concurrency_limit: 0,
            warming_up_ms: 0,
            calls_services: false,
            accepts_clients: true,
            health: Default::default(),
        };
        let slot = |slot_index| WatchSlot {
            watcher: Watcher::new(slot_index, count),
            open_request: None,
            had_updates: false,
        };
        (0..count).for_each(|slot_index| context.start_timer(0, Timer::SendWatch(slot_index)));
        context.start_timer(S, Timer::UpstreamStep(UpstreamStep::Start));
        Attendant {
            address: at,
            seeds: seeds.to_vec(),
            record,
            watches: (0..count).map(slot).collect(),
            open_requests: BTreeMap::new(),
            endpoints: EndpointView::default(),
            suspects: HashSet::new(),
            replicas: known,
            configuration: None,
            fetching: Revision::NONE,
            claims: BTreeMap::new(),
            next_claim: 0,
            response_bytes,
            shuts_down: false,
        }
    }

    pub fn suspects_endpoint(&self, endpoint: &SocketAddr) -> bool {
        self.suspects.contains(endpoint)
    }

    pub fn version_of(&self, endpoint: SocketAddr) -> RecordVersion {
        self.endpoints.record(endpoint).map_or_else(RecordVersion::default, EndpointRecord::record_version)
    }

    pub fn record_count(&self) -> usize {
        self.endpoints.len()
    }

    pub fn is_serving(&self) -> bool {
        self.record.state == UpstreamState::Serving
    }

    /// Changes the own record and restarts the open watches with it.
    fn update_record(&mut self, context: &mut ProcessContext, change: impl FnOnce(&mut EndpointRecord)) {
        self.record.sequence += 1;
        change(&mut self.record);
        for slot_index in 0..self.watches.len() {
            if let Some(open) = self.watches[slot_index].open_request.take() {
                // The open watch is abandoned; its response will be ignored.
                self.open_requests.remove(&open);
                self.send_watch(slot_index, context);
            }
        }
    }

    pub fn advance_upstream(&mut self, step: UpstreamStep, cold: Nanos, context: &mut ProcessContext) {
        match step {
            UpstreamStep::Drain if self.is_serving() => {
                self.update_record(context, |record| record.state = UpstreamState::Draining);
                context.observe(Observation::DrainStarted(self.record.record_version()));
                context.start_timer(2 * S, Timer::UpstreamStep(UpstreamStep::Stop));
            }
            UpstreamStep::Stop => {
                self.update_record(context, |record| record.state = UpstreamState::Absent);
                let next = if self.shuts_down { UpstreamStep::ShutDown } else { UpstreamStep::Start };
                context.start_timer(S, Timer::UpstreamStep(next));
            }
            UpstreamStep::ShutDown => {
                self.update_record(context, |record| record.accepts_clients = false);
                context.start_timer(S / 2, Timer::UpstreamStep(UpstreamStep::Kill));
            }
            UpstreamStep::Start => {
                let id = format!("i-{:x}-{:x}", context.now / MS, self.address.port());
                self.update_record(context, |record| {
                    (record.upstream_id, record.software_version, record.state, record.concurrency_limit) =
                        (id, "v1".into(), UpstreamState::Serving, 8);
                    record.warming_up_ms = cold / MS;
                });
                if cold > 0 {
                    context.start_timer(cold, Timer::UpstreamStep(UpstreamStep::EndSlowStart));
                }
            }
            UpstreamStep::EndSlowStart if self.record.warming_up_ms > 0 => {
                self.update_record(context, |record| record.warming_up_ms = 0)
            }
            _ => {}
        }
    }

    fn configuration_revision(&self) -> Revision {
        self.configuration
            .as_ref()
            .map_or(Revision::NONE, |configuration| configuration.revision())
            .max(self.fetching)
    }

    fn send_watch(&mut self, slot_index: usize, context: &mut ProcessContext) {
        let (stewards, configuration) = (self.replicas.replicas(), self.configuration_revision());
        let slot = &mut self.watches[slot_index];
        let Some(steward) = slot.watcher.next_replica(context.now, self.address, &stewards) else {
            context.start_timer(watch_client::RETRY_INTERVAL, Timer::SendWatch(slot_index));
            return;
        };
        let request = slot.watcher.request(steward, self.record.clone(), configuration, Vec::new());
        let id = context.send_request(steward, InternalRequest::Watch(request), slot.had_updates);
        slot.open_request = Some(id);
        self.open_requests
            .insert(id, OpenRequest::Watch { slot_index, steward, record: self.record.record_version() });
        context.start_timer(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE, Timer::RequestTimeout(id));
    }

    /// Returns whether the response belonged to an open request.
    pub fn handle_response(
        &mut self,
        id: u64,
        response: InternalResponse,
        context: &mut ProcessContext,
    ) -> bool {
        match (self.open_requests.remove(&id), response) {
            (Some(OpenRequest::Watch { slot_index, steward, record }), InternalResponse::Watch(response)) => {
                let has_configuration = self.configuration.is_some();
                let suspects = self.watches[slot_index].watcher.handle_response(
                    context.now,
                    steward,
                    record,
                    has_configuration,
                    &response,
                );
                self.watches[slot_index].open_request = None;
                self.watches[slot_index].had_updates = has_updates(&response);
                self.apply_updates((slot_index, steward), *response, suspects, context);
                if self.watches[slot_index].open_request.is_none() {
                    self.send_watch(slot_index, context);
                }
            }
            (
                Some(OpenRequest::Configuration { steward, revision, is_full_fetch }),
                InternalResponse::Configuration(update),
            ) => {
                self.apply_configuration(
                    steward,
                    revision,
                    is_full_fetch,
                    update.and_then(|p| p.apply_to(self.configuration.as_deref()).ok()),
                    context,
                );
            }
            (Some(OpenRequest::AcquireLease { claim, steward }), InternalResponse::Core(response)) => {
                self.handle_lease_response(claim, steward, response, context)
            }
            (Some(OpenRequest::CompleteLease { claim, steward }), InternalResponse::Core(response)) => {
                self.handle_completion(claim, steward, response == CoreResponse::Accepted, context);
            }
            (open, _) => return open.is_some(),
        }
        true
    }

    /// A request timed out or its connection broke.
    pub fn handle_failure(&mut self, id: u64, context: &mut ProcessContext) {
        match self.open_requests.remove(&id) {
            Some(OpenRequest::Watch { slot_index, steward, .. }) => {
                let stewards = self.replicas.replicas().len();
                self.watches[slot_index].watcher.record_failure(
                    context.now,
                    steward,
                    self.configuration.is_some(),
                    stewards,
                );
                self.watches[slot_index].open_request = None;
                self.endpoints.clear_suspects(slot_index);
                context.start_timer(watch_client::RETRY_INTERVAL, Timer::SendWatch(slot_index));
            }
            Some(OpenRequest::Configuration { revision, .. }) => self.end_fetch(revision),
            Some(OpenRequest::AcquireLease { claim, steward }) => {
                self.handle_lease_response(claim, steward, CoreResponse::Unavailable, context)
            }
            Some(OpenRequest::CompleteLease { claim, steward }) => {
                self.handle_completion(claim, steward, false, context)
            }
            None => {}
        }
    }

    fn apply_updates(
        &mut self,
        (slot_index, steward): (usize, SocketAddr),
        response: WatchResponse,
        suspects: HashSet<SocketAddr>,
        context: &mut ProcessContext,
    ) {
        if let Some(incarnation) =
            response.known_incarnation.filter(|incarnation| *incarnation > self.record.incarnation)
        {
            self.update_record(context, |record| record.incarnation = incarnation + 1);
        }
        if let Some(revision) =
            response.configuration.filter(|revision| *revision > self.configuration_revision())
        {
            self.fetching = revision;
            self.fetch_configuration(steward, revision, false, context);
        }
        if response
            .drains
            .iter()
            .any(|drain| drain.inbound_proxy == self.address && drain.upstream_id == self.record.upstream_id)
        {
            self.advance_upstream(UpstreamStep::Drain, 0, context);
        }
        if !response.replicas.is_empty() {
            self.replicas.set_replicas(response.replicas.into_iter().chain(self.seeds.iter().copied()));
        }
        let endpoints: Vec<SocketAddr> = response.records.iter().map(|record| record.inbound_proxy).collect();
        if self.endpoints.merge(context.now, slot_index, response.records, suspects) {
            // The whole list is rebuilt.
            context.process_records(Cause::RecordUpdates, self.endpoints.len());
            self.suspects = self.endpoints.suspects();
            context.observe(Observation::SuspectsUpdated);
        }
        for endpoint in endpoints {
            context.observe(Observation::RecordUpdated(endpoint, self.version_of(endpoint)));
        }
    }

    fn fetch_configuration(
        &mut self,
        steward: SocketAddr,
        revision: Revision,
        is_full_fetch: bool,
        context: &mut ProcessContext,
    ) {
        let have = self
            .configuration
            .as_ref()
            .filter(|_| !is_full_fetch)
            .map_or(Revision::NONE, |configuration| configuration.revision());
        let id = context.send_request(steward, InternalRequest::Configuration(have), false);
        self.open_requests.insert(id, OpenRequest::Configuration { steward, revision, is_full_fetch });
        context.start_timer(FETCH_TIMEOUT, Timer::RequestTimeout(id));
    }

    fn apply_configuration(
        &mut self,
        at: SocketAddr,
        revision: Revision,
        is_full_fetch: bool,
        configuration: Option<RegisterValue>,
        context: &mut ProcessContext,
    ) {
        match configuration {
            Some(configuration) => {
                if self.configuration.as_ref().is_none_or(|here| here.revision() < configuration.revision()) {
                    context.observe(Observation::ConfigurationApplied(configuration.revision()));
                    self.configuration = Some(Arc::new(configuration));
                }
                self.end_fetch(revision);
            }
            None if !is_full_fetch => self.fetch_configuration(at, revision, true, context),
            None => self.end_fetch(revision),
        }
    }

    fn end_fetch(&mut self, revision: Revision) {
        if self.fetching == revision {
            self.fetching = Revision::NONE;
        }
    }

    pub fn acquire_lease(&mut self, key: LeaseKey, token: LeaseToken, context: &mut ProcessContext) {
        self.next_claim += 1;
        let claim = LeaseClaim {
            key,
            token,
            started_at: context.now,
            replicas: self.replicas.replicas_for_key(context.now, key),
            requested: 0,
            in_flight: 0,
            unanswered: Vec::new(),
            is_decided: false,
            outcome: None,
            completion_attempts: 0,
        };
        self.claims.insert(self.next_claim, claim);
        self.ask_next_replica(self.next_claim, context);
    }

    fn ask_next_replica(&mut self, number: u64, context: &mut ProcessContext) {
        let Some(claim) = self.claims.get_mut(&number).filter(|claim| !claim.is_decided) else { return };
        if context.now >= claim.started_at + CLAIM_TIMEOUT {
            self.decide_claim(number, CoreResponse::Unavailable, context);
            return;
        }
        if let Some(steward) = claim.replicas.get(claim.requested).copied() {
            claim.requested += 1;
            claim.in_flight += 1;
            claim.unanswered.push(steward);
            let (key, token) = (claim.key, claim.token);
            let request = InternalRequest::Core(CoreRequest::AcquireLease {
                key,
                token,
                time_left_ms: (CLAIM_TIMEOUT / MS) as u32,
            });
            let id = context.send_request(steward, request, false);
            self.open_requests.insert(id, OpenRequest::AcquireLease { claim: number, steward });
            context.start_timer(CLAIM_TIMEOUT, Timer::RequestTimeout(id));
        } else if claim.in_flight == 0 {
            self.decide_claim(number, CoreResponse::Unavailable, context);
            return;
        }
        context.start_timer(HEDGE_DELAY, Timer::HedgeLease(number));
    }

    fn handle_lease_response(
        &mut self,
        number: u64,
        steward: SocketAddr,
        response: CoreResponse,
        context: &mut ProcessContext,
    ) {
        let Some(claim) = self.claims.get_mut(&number) else { return };
        claim.in_flight = claim.in_flight.saturating_sub(1);
        if claim.is_decided {
            return;
        }
        claim.unanswered.retain(|replica| *replica != steward);
        if response == CoreResponse::Unavailable {
            self.replicas.mark_unresponsive(context.now, steward);
            if claim.in_flight == 0 {
                self.ask_next_replica(number, context);
            }
            return;
        }
        self.replicas.mark_responsive(steward);
        let replica = std::mem::take(&mut claim.unanswered);
        replica.into_iter().for_each(|replica| self.replicas.mark_unresponsive(context.now, replica));
        self.decide_claim(number, response, context);
    }

    fn decide_claim(&mut self, number: u64, response: CoreResponse, context: &mut ProcessContext) {
        let Some(claim) = self.claims.get_mut(&number) else { return };
        claim.is_decided = true;
        if response == CoreResponse::LeaseGranted {
            context.observe(Observation::LeaseGranted(
                claim.key,
                claim.token,
                context.now - claim.started_at,
                number,
            ));
            return;
        }
        if response == CoreResponse::Unavailable {
            context.observe(Observation::LeaseUnanswered);
        }
        context.observe(Observation::LeaseReleased(claim.key, claim.token));
        self.complete_lease(number, context);
    }

    /// The request that holds the lease has finished.
    pub fn finish_request(&mut self, number: u64, context: &mut ProcessContext) {
        let body = vec![7; self.response_bytes];
        if let Some(claim) = self.claims.get_mut(&number) {
            claim.outcome = Some(LeaseOutcome::Completed(Arc::new(StoredResponse {
                status: 200,
                headers: Vec::new(),
                body,
            })));
        }
        self.complete_lease(number, context);
    }

    fn complete_lease(&mut self, number: u64, context: &mut ProcessContext) {
        let Some(claim) = self.claims.get_mut(&number) else { return };
        let order = self.replicas.replicas_for_key(context.now, claim.key);
        if claim.completion_attempts >= MAX_COMPLETION_ATTEMPTS || order.is_empty() {
            self.claims.remove(&number);
            return;
        }
        let steward = order[claim.completion_attempts % order.len()];
        claim.completion_attempts += 1;
        let (key, token, outcome) = (claim.key, claim.token, claim.outcome.clone());
        let id = context.send_request(
            steward,
            InternalRequest::Core(CoreRequest::CompleteLease { key, token, outcome }),
            false,
        );
        self.open_requests.insert(id, OpenRequest::CompleteLease { claim: number, steward });
        context.start_timer(COMPLETION_TIMEOUT, Timer::RequestTimeout(id));
    }

    fn handle_completion(
        &mut self,
        number: u64,
        steward: SocketAddr,
        taken: bool,
        context: &mut ProcessContext,
    ) {
        if taken {
            self.claims.remove(&number);
        } else {
            self.replicas.mark_unresponsive(context.now, steward);
            context.start_timer(150 * MS, Timer::CompleteLease(number));
        }
    }

    pub fn handle_timer(&mut self, timer: Timer, context: &mut ProcessContext) {
        match timer {
            Timer::SendWatch(slot_index) if self.watches[slot_index].open_request.is_none() => {
                self.send_watch(slot_index, context)
            }
            Timer::RequestTimeout(id) => self.handle_failure(id, context),
            Timer::HedgeLease(claim) => self.ask_next_replica(claim, context),
            Timer::RequestDone(claim) => self.finish_request(claim, context),
            Timer::CompleteLease(claim) => self.complete_lease(claim, context),
            _ => {}
        }
    }
}
