//! Simulates a mesh: stewards, attendants, their links, processors and disks, load and faults. The simulation holds the
//! true state; a process receives only what would reach it, when it would. The same scenario and seed give the same run.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::internal_rpc::{Frame, InternalRequest, InternalResponse, encode_frame};
use ochreshed_consensus::core::{Config, Mutation};
use ochreshed_consensus::messages::{CoreRequest, LeaseKey, LeaseToken, RegisterValue};

use super::attendant::Attendant;
use super::audit::Auditor;
use super::process_context::{Observation, ProcessContext, ProcessEffect, Timer, UpstreamStep};
use super::propagation::{PropagationTracker, UpdateKind};
use super::report::{Report, report};
use super::resource_usage::{CAUSES, Cause, ResourceUsage};
use super::scenario::{Fault, FaultKind, FaultTarget, Scenario};
use super::steward::{StableStorage, Steward, StewardStart};
use crate::event_queue::EventQueue;
use crate::random::RandomStream;
use crate::{MS, Nanos, S};

const START: Nanos = 1_000 * S;
/// A voter that was silent for this long may be replaced. Matches `balancer/src/mesh/steward.rs`.
const MEMBER_TIMEOUT: Nanos = 5 * S;
const MAX_LEASES: usize = 200_000;
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const LEASE_TTL: Nanos = 80 * S;
/// An operator repeats a configuration change that was not acknowledged.
const OPERATOR_RETRY_INTERVAL: Nanos = 2_500 * MS;
const OPERATOR_READ_INTERVAL: Nanos = 500 * MS;
/// Repeated lease requests use one of this many recent keys.
const RECENT_KEYS: usize = 64;

enum Payload {
    Request(Box<InternalRequest>),
    Response(InternalResponse),
}

struct Message {
    from: usize,
    to: usize,
    id: u64,
    bytes: u64,
    cause: Cause,
    payload: Payload,
}

enum Event {
    MessageArrival(Box<Message>),
    /// The processor is free for the message. Carries the incarnation of the receiver.
    MessageReady(u64, Box<Message>),
    TimerExpiry(usize, u64, Timer),
    TimerReady(usize, u64, Timer),
    ConnectionBroken(usize, u64),
    FaultStart(usize, usize),
    FaultEnd(usize),
    ProcessStart(usize),
    NewConfiguration,
    SendConfiguration(u64),
    ReadConfiguration,
    LeaseRequest(usize),
    UpstreamTurnover(usize),
    MeasurementStart,
}

enum Process {
    Steward(Box<Steward>),
    Attendant(Box<Attendant>),
}

struct Node {
    address: SocketAddr,
    process: Option<Process>,
    incarnation: u64,
    storage: StableStorage,
    processor_free_at: Nanos,
    link_out_free_at: Nanos,
    link_in_free_at: Nanos,
    frozen_until: Nanos,
    is_partitioned: bool,
    usage: ResourceUsage,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    mutation: Option<Mutation>,
    events: EventQueue<Event>,
    nodes: Vec<Node>,
    /// Requests that wait for a response: sender and receiver.
    open_calls: BTreeMap<u64, (usize, usize)>,
    /// Arrival of the last message by sender and receiver: connections preserve order.
    last_arrival: BTreeMap<(usize, usize), Nanos>,
    last_request_id: u64,
    network_random: RandomStream,
    load_random: RandomStream,
    recent_keys: VecDeque<LeaseKey>,
    configurations: Vec<Arc<RegisterValue>>,
    auditor: Auditor,
    propagation: PropagationTracker,
    events_handled: u64,
    lease_counts: [u64; 3],
    lease_delays_ms: Vec<f64>,
}

/// Simulates a scenario; `mutation` plants a defect in the consensus core.
pub fn simulate(scenario: &Scenario, seed: u64, mutation: Option<Mutation>) -> Report {
    let mut simulation = Simulation::new(scenario, seed, mutation);
    let end = START + scenario.warm_up_time() + scenario.duration;
    while let Some(event) = simulation.events.pop_until(end) {
        simulation.events_handled += 1;
        simulation.handle_event(event);
    }
    let seconds = scenario.duration as f64 / 1e9;
    let split = scenario.stewards;
    let of = |nodes: &[Node]| nodes.iter().map(|node| node.usage.clone()).collect::<Vec<_>>();
    let (stewards, attendants) = simulation.nodes.split_at(split);
    let claims = (simulation.lease_counts, std::mem::take(&mut simulation.lease_delays_ms));
    report(
        scenario,
        seconds,
        (of(stewards), of(attendants)),
        &simulation.propagation,
        &simulation.auditor,
        claims,
        simulation.events_handled,
    )
}

/// Generates a text like a configuration, of which one line changes with the version.
fn text(bytes: usize, version: u64) -> Vec<u8> {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    let mut line = 0u64;
    while text.len() < bytes {
        let changed = if line == version * 7 % 97 { version } else { 0 };
        let name = (line + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
        text += &format!(
            "{{\"prefix\":\"/p{line}/{name:x}\",\"line\":\"svc-{}\",\"ms\":{}}},",
            line % 30,
            500 + changed
        );
        line += 1;
    }
    text.into_bytes()
}

impl Simulation<'_> {
    fn new(of: &Scenario, seed: u64, mutation: Option<Mutation>) -> Simulation<'_> {
        let at = |node: usize| {
            let (tier, number) = if node < of.stewards { (0, node) } else { (1, node - of.stewards) };
            let ip = [10, tier + (number / 62_500) as u8, (number / 250) as u8, (number % 250) as u8 + 1];
            SocketAddr::from((ip, if tier == 0 { 8_202 } else { 8_300 }))
        };
        let node = |number: usize| Node {
            address: at(number),
            process: None,
            incarnation: 0,
            storage: StableStorage::default(),
            processor_free_at: 0,
            link_out_free_at: 0,
            link_in_free_at: 0,
            frozen_until: 0,
            is_partitioned: false,
            usage: ResourceUsage::default(),
        };
        let mut simulation = Simulation {
            scenario: of,
            mutation,
            events: EventQueue::new(START),
            nodes: (0..of.stewards + of.nodes).map(node).collect(),
            open_calls: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            last_request_id: 0,
            network_random: RandomStream::new(seed, "mesh net"),
            load_random: RandomStream::new(seed, "mesh load"),
            recent_keys: VecDeque::new(),
            configurations: Vec::new(),
            auditor: Auditor::default(),
            propagation: PropagationTracker::default(),
            events_handled: 0,
            lease_counts: [0; 3],
            lease_delays_ms: Vec::new(),
        };
        for number in 0..simulation.nodes.len() {
            let spread = if number < of.stewards { 200 * MS } else { of.startup_time() };
            let after = (simulation.load_random.sample_fraction() * spread as f64) as Nanos;
            simulation.events.schedule_after(after, Event::ProcessStart(number));
        }
        simulation.events.schedule_after(S, Event::NewConfiguration);
        simulation.events.schedule_after(OPERATOR_READ_INTERVAL, Event::ReadConfiguration);
        simulation.events.schedule_after(of.warm_up_time(), Event::MeasurementStart);
        for attendant in of.stewards..simulation.nodes.len() {
            for event in [Event::LeaseRequest(attendant), Event::UpstreamTurnover(attendant)] {
                simulation.schedule_load(of.startup_time(), event);
            }
        }
        for (number, fault) in of.faults.iter().enumerate() {
            let count = fault.target_count(simulation.target_nodes(fault.target).len());
            let one_by_one = matches!(fault.kind, FaultKind::Kill | FaultKind::Roll);
            for step in 0..count {
                let within = if one_by_one { fault.duration / count as u64 * step as u64 } else { 0 };
                simulation.events.schedule_after(
                    of.warm_up_time() + fault.starts_at + within,
                    Event::FaultStart(number, step),
                );
            }
            if !one_by_one {
                simulation.events.schedule_after(
                    of.warm_up_time() + fault.starts_at + fault.duration,
                    Event::FaultEnd(number),
                );
            }
        }
        simulation
    }

    /// Schedules the next event of a Poisson load.
    fn schedule_load(&mut self, from: Nanos, event: Event) {
        let per_s = match event {
            Event::LeaseRequest(_) => self.scenario.leases.per_s,
            _ => self.scenario.upstreams.turnovers_per_h / 3_600.0,
        };
        if let Some(gap) = self.load_random.sample_arrival_gap(per_s) {
            self.events.schedule_after(from + gap, event);
        }
    }

    fn target_nodes(&self, who: FaultTarget) -> std::ops::Range<usize> {
        match who {
            FaultTarget::Stewards => 0..self.scenario.stewards,
            FaultTarget::Attendants => self.scenario.stewards..self.nodes.len(),
        }
    }

    fn node_at(&self, at: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(v4) = at else { return None };
        let [_, tier, high, low] = v4.ip().octets();
        let number = usize::from(high) * 250 + usize::from(low) - 1;
        Some(if tier == 0 { number } else { self.scenario.stewards + number })
            .filter(|n| *n < self.nodes.len())
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.nodes[..self.scenario.stewards].iter().map(|node| node.address).collect()
    }

    fn running_attendants(&self) -> Vec<usize> {
        let attendants = self.scenario.stewards..self.nodes.len();
        attendants.filter(|attendant| self.nodes[*attendant].process.is_some()).collect()
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.events.now();
        match event {
            Event::MessageArrival(message) => self.receive_message(message),
            Event::MessageReady(incarnation, message) => self.process_message(incarnation, *message),
            Event::TimerExpiry(node, incarnation, timer) => self.expire_timer(node, incarnation, timer),
            Event::TimerReady(node, incarnation, timer) => self.run_timer(node, incarnation, timer),
            Event::ConnectionBroken(node, id) => {
                if self.open_calls.remove(&id).is_some() {
                    self.with_process(node, |process, context| match process {
                        Process::Steward(steward) => steward.handle_failure(id, context),
                        Process::Attendant(attendant) => attendant.handle_failure(id, context),
                    });
                }
            }
            Event::FaultStart(number, step) => self.start_fault(number, step),
            Event::FaultEnd(number) => {
                let who = self.scenario.faults[number].target;
                let range = self.target_nodes(who);
                self.nodes[range].iter_mut().for_each(|node| node.is_partitioned = false);
            }
            Event::ProcessStart(node) => self.start_process(node),
            Event::NewConfiguration => {
                let version = self.configurations.len() as u64 + 1;
                self.configurations.push(Arc::new(RegisterValue::new(
                    version,
                    text(self.scenario.configurations.bytes, version),
                )));
                let running = self.running_attendants();
                self.propagation.start_update(now, UpdateKind::Configuration, 0, (version, 0), running);
                self.events.schedule_after(0, Event::SendConfiguration(version));
                self.events.schedule_after(self.scenario.configurations.interval, Event::NewConfiguration);
            }
            Event::SendConfiguration(version) => {
                let configuration = self.configurations[version as usize - 1].clone();
                if self.auditor.acknowledged_floor() < configuration.revision() {
                    self.events.schedule_after(OPERATOR_RETRY_INTERVAL, Event::SendConfiguration(version));
                    self.send_operator_request(CoreRequest::ReplaceConfiguration(configuration));
                }
            }
            Event::ReadConfiguration => {
                self.events.schedule_after(OPERATOR_READ_INTERVAL, Event::ReadConfiguration);
                self.send_operator_request(CoreRequest::ReadConfiguration);
            }
            Event::LeaseRequest(node) => {
                self.schedule_load(0, Event::LeaseRequest(node));
                let key = self.draw_lease_key();
                let token = self.load_random.sample_below(usize::MAX >> 2) as LeaseToken + 1;
                self.lease_counts[0] += 1;
                self.with_process(node, |process, context| {
                    if let Process::Attendant(attendant) = process {
                        attendant.acquire_lease(key, token, context);
                    }
                });
            }
            Event::UpstreamTurnover(node) => {
                self.schedule_load(0, Event::UpstreamTurnover(node));
                self.advance_upstream(node, UpstreamStep::Drain);
            }
            Event::MeasurementStart => {
                self.nodes.iter_mut().for_each(|node| node.usage.clear());
                self.propagation.clear();
            }
        }
    }

    fn draw_lease_key(&mut self) -> LeaseKey {
        if !self.recent_keys.is_empty() && self.load_random.sample_bool(self.scenario.leases.repeat_fraction)
        {
            return self.recent_keys[self.load_random.sample_below(self.recent_keys.len())];
        }
        let key = (self.load_random.sample_below(usize::MAX) as LeaseKey) << 64
            | self.load_random.sample_below(usize::MAX) as LeaseKey;
        self.recent_keys.push_back(key);
        if self.recent_keys.len() > RECENT_KEYS {
            self.recent_keys.pop_front();
        }
        key
    }

    fn send_operator_request(&mut self, request: CoreRequest) {
        let steward = self.load_random.sample_below(self.scenario.stewards);
        let floor = self.auditor.acknowledged_floor();
        self.with_process(steward, |process, context| {
            if let Process::Steward(steward) = process {
                steward.handle_operator_request(request, floor, context);
            }
        });
    }

    fn start_process(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let seeds = self.seed_addresses();
        let (at, incarnation) = (self.nodes[node].address, self.nodes[node].incarnation);
        let mut context = ProcessContext {
            now: self.events.now(),
            last_request_id: self.last_request_id,
            effects: Vec::new(),
        };
        let process = if node < self.scenario.stewards {
            let seed = self.load_random.sample_below(usize::MAX) as u64;
            let voters = 2 * self.scenario.tolerated_failures + 1;
            let config = Config {
                lease_ttl: LEASE_TTL,
                member_timeout: MEMBER_TIMEOUT,
                target_members: voters,
                max_leases: MAX_LEASES,
                max_response_bytes: MAX_RESPONSE_BYTES,
                tolerated_zone_losses: 0,
                zone: String::new(),
            };
            // The first stewards start as the initial membership; it adds the others as spares.
            let first = incarnation == 0 && node < voters;
            let storage = self.nodes[node].storage.clone();
            let seeds = &seeds[..voters];
            let start = StewardStart {
                address: at,
                seeds,
                is_first_start: first,
                storage,
                config,
                seed,
                mutation: self.mutation,
            };
            Process::Steward(Box::new(Steward::start(start, &mut context)))
        } else {
            let service =
                format!("svc-{:02}", (node - self.scenario.stewards) % self.scenario.upstreams.services);
            let count = (self.scenario.tolerated_failures + 1).max(2);
            self.auditor.reset_attendant(node);
            self.propagation.record_return(node);
            Process::Attendant(Box::new(Attendant::start(
                at,
                &seeds,
                service,
                count,
                self.scenario.leases.response_bytes,
                &mut context,
            )))
        };
        self.nodes[node].process = Some(process);
        self.apply_effects(node, context);
    }

    fn kill_process(&mut self, node: usize, downtime: Nanos) {
        let Some(process) = self.nodes[node].process.take() else { return };
        let now = self.events.now();
        self.nodes[node].incarnation += 1;
        if let Process::Steward(steward) = process {
            self.nodes[node].storage = steward.storage;
        } else {
            self.propagation.remove_attendant(now, node);
            let running = self.running_attendants();
            self.propagation.start_update(now, UpdateKind::Failure, node, (0, 0), running);
        }
        // The operating system closes the connections.
        let broken: Vec<(u64, usize)> = self
            .open_calls
            .iter()
            .filter(|(_, (_, to))| *to == node)
            .map(|(id, (from, _))| (*id, *from))
            .collect();
        for (id, from) in broken {
            let after = self.scenario.link.delay.sample(&mut self.network_random);
            self.events.schedule_after(after, Event::ConnectionBroken(from, id));
        }
        self.open_calls.retain(|_, (from, _)| *from != node);
        self.events.schedule_after(downtime.max(MS), Event::ProcessStart(node));
    }

    fn start_fault(&mut self, number: usize, step: usize) {
        let fault: &Fault = &self.scenario.faults[number];
        let node = self.target_nodes(fault.target).start + step;
        match fault.kind {
            FaultKind::Kill => self.kill_process(node, fault.downtime),
            FaultKind::Roll if node < self.scenario.stewards => self.kill_process(node, fault.downtime),
            FaultKind::Roll => {
                if let Some(Process::Attendant(attendant)) = &mut self.nodes[node].process {
                    attendant.shuts_down = true;
                }
                self.advance_upstream(node, UpstreamStep::Drain);
            }
            FaultKind::Cut => self.nodes[node].is_partitioned = true,
            FaultKind::Freeze => {
                let until = self.events.now() + fault.duration;
                self.nodes[node].frozen_until = until;
                self.nodes[node].processor_free_at = self.nodes[node].processor_free_at.max(until);
            }
        }
    }

    fn advance_upstream(&mut self, node: usize, step: UpstreamStep) {
        if step == UpstreamStep::Kill {
            let downtime = self.scenario.faults.iter().find(|fault| fault.kind == FaultKind::Roll);
            self.kill_process(node, downtime.map_or(S, |fault| fault.downtime));
            return;
        }
        let cold = self.scenario.upstreams.slow_start;
        self.with_process(node, |process, context| {
            if let Process::Attendant(attendant) = process {
                attendant.advance_upstream(step, cold, context);
            }
        });
    }

    /// Queues work on the processor of a node and returns when it is done.
    fn occupy_processor(&mut self, node: usize, cause: Cause, duration: Nanos) -> Nanos {
        let share = match node < self.scenario.stewards {
            true => self.scenario.processor.steward_share,
            false => self.scenario.processor.attendant_share,
        };
        let now = self.events.now();
        let node = &mut self.nodes[node];
        let from = node.processor_free_at.max(now);
        if node.frozen_until <= now {
            node.usage.max_wait = node.usage.max_wait.max(from - now);
        }
        node.usage.record_work(now, cause, duration);
        node.processor_free_at = from + (duration as f64 / share) as Nanos;
        node.processor_free_at
    }

    fn message_cost(&self, bytes: u64) -> Nanos {
        self.scenario.processor.message_time + self.scenario.processor.kib_time * bytes / 1_024
    }

    fn send_message(&mut self, from: usize, to: usize, id: u64, cause: Cause, payload: Payload) {
        let frame = match &payload {
            Payload::Request(request) => encode_frame(&Frame { id, payload: &**request }),
            Payload::Response(response) => encode_frame(&Frame { id, payload: response }),
        };
        let Some(frame) = frame else { return };
        let bytes = frame.len() as u64 + self.scenario.link.overhead_bytes;
        let done = self.occupy_processor(from, cause, self.message_cost(bytes));
        let now = self.events.now();
        self.nodes[from].usage.record_message(now, cause, bytes, true);
        if self.nodes[from].is_partitioned != self.nodes[to].is_partitioned {
            return;
        }
        let duration = (bytes as f64 * 8e3 / self.scenario.link.bandwidth_mbit_s) as Nanos;
        self.nodes[from].link_out_free_at = self.nodes[from].link_out_free_at.max(done) + duration;
        let mut at =
            self.nodes[from].link_out_free_at + self.scenario.link.delay.sample(&mut self.network_random);
        if self.network_random.sample_bool(self.scenario.link.loss) {
            at += self.scenario.link.retransmit_delay;
        }
        let last = self.last_arrival.entry((from, to)).or_default();
        at = at.max(*last);
        *last = at;
        self.events.schedule_at(
            at,
            Event::MessageArrival(Box::new(Message { from, to, id, bytes, cause, payload })),
        );
    }

    fn receive_message(&mut self, message: Box<Message>) {
        let (now, to) = (self.events.now(), message.to);
        if self.nodes[to].process.is_none() {
            // The operating system refuses the connection.
            if matches!(message.payload, Payload::Request(_)) && message.id != 0 {
                let after = self.scenario.link.delay.sample(&mut self.network_random);
                self.events.schedule_after(after, Event::ConnectionBroken(message.from, message.id));
            }
            return;
        }
        let duration = (message.bytes as f64 * 8e3 / self.scenario.link.bandwidth_mbit_s) as Nanos;
        self.nodes[to].link_in_free_at = self.nodes[to].link_in_free_at.max(now) + duration;
        self.nodes[to].usage.record_message(now, message.cause, message.bytes, false);
        self.nodes[to].usage.record_wakeups(message.cause, 1);
        let done = self
            .occupy_processor(to, message.cause, self.message_cost(message.bytes))
            .max(self.nodes[to].link_in_free_at);
        let incarnation = self.nodes[to].incarnation;
        self.events.schedule_at(done, Event::MessageReady(incarnation, message));
    }

    fn process_message(&mut self, incarnation: u64, message: Message) {
        let Message { from, to, id, cause, payload, .. } = message;
        if self.nodes[to].incarnation != incarnation {
            return;
        }
        match payload {
            Payload::Request(request) => self.with_process(to, |process, context| {
                if let Process::Steward(steward) = process {
                    steward.handle_request(from, id, *request, cause, context);
                }
            }),
            Payload::Response(response) => {
                if self.open_calls.remove(&id).is_none() {
                    return;
                }
                self.with_process(to, |process, context| match (process, response) {
                    (Process::Attendant(attendant), response) => {
                        attendant.handle_response(id, response, context);
                    }
                    (Process::Steward(steward), InternalResponse::Watch(response)) => {
                        steward.handle_peer_response(id, &response, context);
                    }
                    _ => {}
                });
            }
        }
    }

    /// A timer expired; it is handled when the processor is free.
    fn expire_timer(&mut self, node: usize, incarnation: u64, timer: Timer) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].process.is_none() {
            return;
        }
        // The request was answered in time.
        if let Timer::RequestTimeout(id) = timer
            && !self.open_calls.contains_key(&id)
        {
            return;
        }
        let now = self.events.now();
        self.nodes[node].usage.record_wakeups(Cause::Timers, 1);
        let busy = self.nodes[node].processor_free_at > now;
        let done = self.occupy_processor(node, Cause::Timers, self.scenario.processor.timer_time);
        if busy {
            self.events.schedule_at(done, Event::TimerReady(node, incarnation, timer));
        } else {
            self.run_timer(node, incarnation, timer);
        }
    }

    fn run_timer(&mut self, node: usize, incarnation: u64, timer: Timer) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        if let Timer::RequestTimeout(id) = timer
            && self.open_calls.remove(&id).is_none()
        {
            return;
        }
        if let Timer::UpstreamStep(step) = timer {
            self.advance_upstream(node, step);
            return;
        }
        self.with_process(node, |process, context| match process {
            Process::Steward(steward) => steward.handle_timer(timer, context),
            Process::Attendant(attendant) => attendant.handle_timer(timer, context),
        });
    }

    /// Calls the process of a node, if it runs, and applies its effects.
    fn with_process(&mut self, node: usize, act: impl FnOnce(&mut Process, &mut ProcessContext)) {
        let mut context = ProcessContext {
            now: self.events.now(),
            last_request_id: self.last_request_id,
            effects: Vec::new(),
        };
        if let Some(process) = &mut self.nodes[node].process {
            act(process, &mut context);
            self.apply_effects(node, context);
        }
    }

    fn apply_effects(&mut self, node: usize, context: ProcessContext) {
        self.last_request_id = context.last_request_id;
        let incarnation = self.nodes[node].incarnation;
        for out in context.effects {
            match out {
                ProcessEffect::Request { to, id, request, had_updates } => {
                    let Some(to) = self.node_at(to) else { continue };
                    let cause = Cause::of_request(&request, had_updates);
                    if id != 0 {
                        self.open_calls.insert(id, (node, to));
                    }
                    self.send_message(node, to, id, cause, Payload::Request(request));
                }
                ProcessEffect::Response { to, id, response, request_cause } => {
                    let cause = Cause::of_response(&response, request_cause);
                    self.send_message(node, to, id, cause, Payload::Response(response));
                }
                ProcessEffect::StartTimer(after, timer) => {
                    self.events.schedule_after(after, Event::TimerExpiry(node, incarnation, timer))
                }
                ProcessEffect::RunWhenIdle(timer) => {
                    let at = self.nodes[node].processor_free_at;
                    self.events.schedule_at(at, Event::TimerReady(node, incarnation, timer));
                }
                ProcessEffect::SyncDisk => {
                    let duration = self.scenario.disk_sync_time.sample(&mut self.network_random);
                    self.events
                        .schedule_after(duration, Event::TimerExpiry(node, incarnation, Timer::DiskSynced));
                }
                ProcessEffect::ProcessRecords(cause, count) => {
                    self.occupy_processor(node, cause, self.scenario.processor.record_time * count as u64);
                }
                ProcessEffect::CheckWatches(count) => {
                    self.nodes[node].usage.record_wakeups(Cause::RecordUpdates, count);
                    self.occupy_processor(
                        node,
                        Cause::RecordUpdates,
                        self.scenario.processor.watch_check_time * count as u64,
                    );
                }
                ProcessEffect::Observe(note) => self.record_observation(node, note),
            }
        }
    }

    fn record_observation(&mut self, node: usize, note: Observation) {
        let now = self.events.now();
        match note {
            Observation::ConfigurationReplaced(version, true) => self.auditor.record_acknowledged(version),
            Observation::ConfigurationReplaced(_, false) => {}
            Observation::ConfigurationRead { floor, found } => self.auditor.record_read(now, floor, found),
            Observation::ConfigurationApplied(version) => {
                self.auditor.record_applied_configuration(now, node, version);
                self.propagation.record_known(now, UpdateKind::Configuration, 0, node, (version.version, 0));
            }
            Observation::RecordUpdated(endpoint, version) => {
                if let Some(about) = self.node_at(endpoint) {
                    self.auditor.record_endpoint_version(now, node, about - self.scenario.stewards, version);
                    self.propagation.record_known(
                        now,
                        UpdateKind::Drain,
                        about,
                        node,
                        (version.incarnation, version.sequence),
                    );
                }
            }
            Observation::SuspectsUpdated => {
                if let Some(Process::Attendant(attendant)) = &self.nodes[node].process {
                    let nodes = &self.nodes;
                    self.propagation.record_suspects(now, node, |about| {
                        attendant.suspects_endpoint(&nodes[about].address)
                    });
                }
            }
            Observation::DrainStarted(version) => {
                let running =
                    self.running_attendants().into_iter().filter(|attendant| *attendant != node).collect();
                self.propagation.start_update(
                    now,
                    UpdateKind::Drain,
                    node,
                    (version.incarnation, version.sequence),
                    running,
                );
            }
            Observation::LeaseGranted(key, token, delay, claim) => {
                self.lease_counts[1] += 1;
                self.lease_delays_ms.push(delay as f64 / 1e6);
                self.auditor.record_lease_granted(now, key, token);
                let run = self.scenario.leases.run_time.sample(&mut self.load_random);
                let incarnation = self.nodes[node].incarnation;
                self.events
                    .schedule_after(run, Event::TimerExpiry(node, incarnation, Timer::RequestDone(claim)));
            }
            Observation::LeaseReleased(key, token) => self.auditor.record_lease_released(key, token),
            Observation::LeaseUnanswered => self.lease_counts[2] += 1,
        }
    }
}

const _: () = assert!(CAUSES.len() == Cause::Timers as usize + 1);
