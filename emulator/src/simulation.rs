//! Simulates a scenario: clients, balancers, servers, the network, service discovery and faults. The simulation holds the
//! true state; a balancer instance receives only what would reach it, when it would. The same scenario, policy and seed
//! give the same run.
//!
//! Simplification: a server of a middle tier releases its slot while it waits for the next tier, and answers its caller
//! with an error if that call was denied or aborted.

use std::collections::BTreeMap;

use ochreshed::{DispatchOutcome, EndpointState, ListedEndpoint, Name, RequestContext};
use ochreshed_policy_runtime::Action;
use ochreshed_replica::outcomes::OutcomeCounts;

use crate::audit::{Answer, Auditor, RequestKey, RuleViolation};
use crate::event_queue::EventQueue;
use crate::gossip_network::{
    GossipEffect, GossipEvent, GossipNetwork, PropagationDelays, PropagationTracker,
};
use crate::random::RandomStream;
use crate::routing::{InstancePlacement, Router, RoutingPolicy};
use crate::scenario::{FaultKind, RuleSet, Scenario, ScenarioFault};
use crate::service_queue::{Admission, ServiceQueue};
use crate::{MS, Nanos, S};

const START: Nanos = 1_000 * S;
/// Time a request must have left before its deadline to be sent to the next tier.
const MIN_TIME_LEFT: Nanos = MS;

enum Event {
    ClientArrival,
    /// A client sends its first attempt or a retry.
    ClientAttempt {
        call: usize,
        attempt: u32,
    },
    ClientDisconnect(RequestKey),
    InstanceWake(usize),
    DispatchArrival {
        key: RequestKey,
        number: usize,
        server: usize,
    },
    DispatchTimeout {
        key: RequestKey,
        number: usize,
    },
    JobEnd {
        job: u64,
        ends_at: Nanos,
    },
    DispatchResponse {
        key: RequestKey,
        number: usize,
        outcome: DispatchOutcome,
    },
    ListUpdate {
        instance: usize,
        version: u64,
        entry: ListedEndpoint,
    },
    Gossip(GossipEvent),
    Fault(usize, bool),
    ServerDrain(usize),
    ServerReplacement(usize),
    ServerResume(usize),
    InstanceCrash(usize),
    AuditCheck,
}

struct Instance {
    router: Box<dyn Router>,
    tier: usize,
    site: usize,
    wake_at: Nanos,
}

struct Server {
    name: Name,
    tier: usize,
    site: usize,
    queue: ServiceQueue,
    /// Start time of the current process; jobs of earlier processes are lost.
    started: Nanos,
    slow_start_until: Nanos,
    draining: bool,
    failing_fast: bool,
    /// Balancer instance for calls to the next tier.
    downstream_instance: Option<usize>,
}

struct ClientCall {
    rule_set: usize,
    started_at: Nanos,
}

/// The caller that waits for the answer to a request: a client, or a server of the tier above.
#[derive(Clone, Copy)]
enum Caller {
    Client { call: usize, attempt: u32 },
    Job { key: RequestKey, number: usize, server: usize },
}

struct PendingRequest {
    caller: Caller,
    rule_set: usize,
    deadline: Nanos,
    /// The dispatch in flight: its index, server and send time.
    active_dispatch: Option<(usize, usize, Nanos)>,
}

struct Job {
    key: RequestKey,
    number: usize,
    server: usize,
    ends_at: Nanos,
}

/// Result of a simulated scenario.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct SimulationReport {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    /// Utility answered within the response target over utility requested: in total, in the worst 10 s, in the worst
    /// rule set.
    pub score: f64,
    pub worst_10s: f64,
    pub worst_set: f64,
    /// Dispatches per request, by tier.
    pub sends: Vec<f64>,
    /// Seconds from the end of each fault until three consecutive seconds reach 97% of the score before it; `None` if
    /// that was not observed.
    pub recovery: Vec<Option<u64>>,
    /// How long drains and departures took to reach the balancers of the first tier.
    #[serde(rename = "heeded")]
    pub propagation: PropagationDelays,
    /// Gossip bytes per second sent by one balancer.
    pub fleet_bytes_per_s: f64,
    pub events: u64,
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: RoutingPolicy,
    events: EventQueue<Event>,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    server_indexes: BTreeMap<Name, usize>,
    calls: Vec<ClientCall>,
    pending: BTreeMap<RequestKey, PendingRequest>,
    jobs: BTreeMap<u64, Job>,
    unreachable_sites: Vec<(usize, usize)>,
    /// Factor on the work time, by tier.
    slowdown: Vec<f64>,
    /// Fraction of responses that are lost to resets, by tier.
    reset_fraction: Vec<f64>,
    list_down_until: Nanos,
    discovery_version: u64,
    gossip: Option<GossipNetwork>,
    propagation: PropagationTracker,
    load_factor: f64,
    auditor: Auditor,
    next_id: u64,
    arrival_random: RandomStream,
    work_random: RandomStream,
    network_random: RandomStream,
    failure_random: RandomStream,
    seed: u64,
    accepted_by_tier: Vec<u64>,
    sent_by_tier: Vec<u64>,
    /// Utility requested and utility answered in time, by the second of the request and by rule set.
    utility_by_second: Vec<(f64, f64)>,
    utility_by_rule_set: Vec<(f64, f64)>,
    report: SimulationReport,
}

pub fn simulate(scenario: &Scenario, policy: RoutingPolicy, seed: u64) -> SimulationReport {
    Simulation::new(scenario, policy, seed).run().0
}

/// Simulates a scenario and returns the history of the request with this id, one line per event.
pub fn trace_request(scenario: &Scenario, policy: RoutingPolicy, seed: u64, id: u64) -> Vec<String> {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.auditor.traced_request = Some(id);
    let lines = simulation.run().1.into_iter();
    lines.map(|(at, description)| format!("{:.3} s  {description}", (at - START) as f64 / 1e9)).collect()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: RoutingPolicy, seed: u64) -> Simulation<'a> {
        let mut simulation = Simulation {
            scenario,
            policy,
            events: EventQueue::new(START),
            instances: Vec::new(),
            servers: Vec::new(),
            server_indexes: BTreeMap::new(),
            calls: Vec::new(),
            pending: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unreachable_sites: Vec::new(),
            slowdown: vec![1.0; scenario.tiers.len()],
            reset_fraction: vec![0.0; scenario.tiers.len()],
            list_down_until: 0,
            discovery_version: 1,
            gossip: None,
            propagation: PropagationTracker::default(),
            load_factor: 1.0,
            auditor: Auditor::default(),
            next_id: 0,
            arrival_random: RandomStream::new(seed, "arrivals"),
            work_random: RandomStream::new(seed, "work"),
            network_random: RandomStream::new(seed, "net"),
            failure_random: RandomStream::new(seed, "fate"),
            seed,
            accepted_by_tier: vec![0; scenario.tiers.len()],
            sent_by_tier: vec![0; scenario.tiers.len()],
            utility_by_second: vec![(0.0, 0.0); (scenario.duration / S) as usize + 1],
            utility_by_rule_set: vec![(0.0, 0.0); scenario.rule_sets.len()],
            report: SimulationReport::default(),
        };
        for index in 0..scenario.clients.instances {
            let placement = InstancePlacement { tier: 0, index, instances: scenario.clients.instances };
            simulation.add_instance(placement, index % scenario.tiers[0].site_count);
        }
        for (at, tier) in scenario.tiers.iter().enumerate() {
            for number in 0..tier.server_count {
                let site = number % tier.site_count;
                let name: Name = format!("{}-{number:04}", tier.name).into();
                let placement =
                    InstancePlacement { tier: at + 1, index: number, instances: tier.server_count };
                let downstream =
                    (at + 1 < scenario.tiers.len()).then(|| simulation.add_instance(placement, site));
                simulation.server_indexes.insert(name.clone(), simulation.servers.len());
                simulation.servers.push(Server {
                    name,
                    tier: at,
                    site,
                    // Servers that exist at the start are past slow start.
                    queue: ServiceQueue::new(tier.queue_config(), 0),
                    started: START,
                    slow_start_until: 0,
                    draining: false,
                    failing_fast: false,
                    downstream_instance: downstream,
                });
            }
        }
        simulation.gossip = scenario.gossip.clone().map(|gossip| {
            let sites = scenario.tiers[0].site_count;
            GossipNetwork::new(gossip, seed, scenario.clients.instances, sites, START)
        });
        for instance in 0..simulation.instances.len() {
            simulation.load_initial_list(START, instance);
        }
        simulation
    }

    /// Gives an instance the endpoint list as of the start of the simulation.
    fn load_initial_list(&mut self, now: Nanos, instance: usize) {
        let tier = self.instances[instance].tier;
        let of = self.servers.iter().filter(|server| server.tier == tier);
        let entries: Vec<ListedEndpoint> =
            of.map(|server| self.listed_endpoint(server, EndpointState::Up, None)).collect();
        self.instances[instance].router.update_endpoints(now, &entries);
        if let Some(network) = self.gossip.as_mut().filter(|network| instance < network.node_count()) {
            let effects = network.set_initial_list(now, instance, &entries);
            self.apply_gossip_effects(now, effects);
        }
    }

    fn apply_gossip_effects(&mut self, now: Nanos, effects: Vec<GossipEffect>) {
        for effect in effects {
            match effect {
                GossipEffect::Schedule(at, event) => self.events.schedule_at(at, Event::Gossip(event)),
                GossipEffect::ListChanged(instance, entries) => {
                    for entry in &entries {
                        let leaves = entry.state != EndpointState::Up;
                        self.auditor.record_listing(now, instance, &entry.name, leaves);
                        if leaves {
                            self.propagation.record_latest(now, instance, &entry.name);
                        }
                    }
                    self.instances[instance].router.update_endpoints(now, &entries);
                    self.run_instance(instance);
                }
                GossipEffect::OutcomesReceived { instance, server, rule_set, counts } => {
                    let outcomes = [
                        (DispatchOutcome::Done, counts.succeeded),
                        (DispatchOutcome::Error, counts.failed),
                        (DispatchOutcome::Reset, counts.lost),
                    ];
                    for (outcome, times) in outcomes {
                        self.instances[instance]
                            .router
                            .record_peer_outcomes(now, &server, &rule_set, outcome, times);
                    }
                    self.run_instance(instance);
                }
            }
        }
    }

    /// Restarts a balancer process. State is lost; the new process starts with the initial list and receives updates
    /// after the discovery delay.
    fn crash_instance(&mut self, now: Nanos, instance: usize) {
        self.auditor.record_crash(now, instance);
        self.pending.retain(|key, _| key.0 != instance);
        let tier = self.instances[instance].tier;
        let placement =
            InstancePlacement { tier, index: instance, instances: self.scenario.clients.instances };
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add((instance + 1_000_000) as u64);
        self.instances[instance].router = self.policy.build_router(now, seed, self.scenario, placement);
        self.instances[instance].wake_at = Nanos::MAX;
        if let Some(network) = self.gossip.as_mut().filter(|network| instance < network.node_count()) {
            let effects = network.restart_node(now, instance);
            self.apply_gossip_effects(now, effects);
        }
        self.load_initial_list(now, instance);
        let from = self.list_down_until.max(now);
        for server in 0..self.servers.len() {
            if self.servers[server].tier == tier {
                let state =
                    if self.servers[server].draining { EndpointState::Draining } else { EndpointState::Up };
                let started_at = Some(self.servers[server].started).filter(|at| *at > START);
                let entry = self.listed_endpoint(&self.servers[server], state, started_at);
                let delay = self.scenario.discovery.delay.sample(&mut self.network_random);
                let version = self.discovery_version;
                self.events.schedule_at(from + delay, Event::ListUpdate { instance, version, entry });
            }
        }
        self.run_instance(instance);
    }

    fn add_instance(&mut self, placement: InstancePlacement, site: usize) -> usize {
        let number = self.instances.len();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let router = self.policy.build_router(START, seed, self.scenario, placement);
        self.instances.push(Instance { router, tier: placement.tier, site, wake_at: Nanos::MAX });
        number
    }

    fn listed_endpoint(
        &self,
        server: &Server,
        state: EndpointState,
        started_at: Option<Nanos>,
    ) -> ListedEndpoint {
        let site = format!("site-{}", server.site).into();
        ListedEndpoint {
            name: server.name.clone(),
            state,
            started_at,
            weight: 1.0,
            site,
            cell: server.site as u64,
        }
    }

    fn run(mut self) -> (SimulationReport, Vec<(Nanos, String)>) {
        let ends_at = START + self.scenario.duration;
        let longest_timeout = self.scenario.rule_sets.iter().map(|set| set.client_timeout).max().unwrap_or(S);
        let last = ends_at + longest_timeout * u64::from(1 + self.scenario.clients.max_retries) + 2 * S;
        self.events.schedule_at(START, Event::ClientArrival);
        self.events.schedule_at(START + S, Event::AuditCheck);
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.events.schedule_at(START + fault.starts_at, Event::Fault(number, true));
            self.events.schedule_at(START + fault.starts_at + fault.duration, Event::Fault(number, false));
        }
        while let Some(event) = self.events.pop_until(last) {
            self.report.events += 1;
            self.handle_event(event, ends_at);
        }
        self.auditor.check_unanswered(last + S, true);
        let trace = std::mem::take(&mut self.auditor.trace);
        (self.into_report(), trace)
    }

    fn handle_event(&mut self, event: Event, ends_at: Nanos) {
        let now = self.events.now();
        match event {
            Event::ClientArrival => {
                if now < ends_at {
                    self.start_client_call(now);
                    if let Some(gap) = self
                        .arrival_random
                        .sample_arrival_gap(self.scenario.clients.requests_per_s * self.load_factor)
                    {
                        self.events.schedule_after(gap, Event::ClientArrival);
                    }
                }
            }
            Event::ClientAttempt { call, attempt } => self.attempt_call(now, call, attempt),
            Event::ClientDisconnect(key) => {
                if self.pending.contains_key(&key) {
                    self.instances[key.0].router.handle_client_disconnected(now, key.1);
                    self.run_instance(key.0);
                    // The dispatch in flight is closed and reported, else it would count as in flight for ever.
                    if let Some((number, ..)) =
                        self.pending.get(&key).and_then(|pending| pending.active_dispatch)
                    {
                        self.end_dispatch(now, key, number, DispatchOutcome::Cancelled);
                    }
                    self.pending.remove(&key);
                }
            }
            Event::InstanceWake(instance) => {
                if self.instances[instance].wake_at <= now {
                    self.instances[instance].wake_at = Nanos::MAX;
                    self.run_instance(instance);
                }
            }
            Event::DispatchArrival { key, number, server } => self.deliver_dispatch(now, key, number, server),
            Event::DispatchTimeout { key, number } => {
                self.end_dispatch(now, key, number, DispatchOutcome::TimedOut)
            }
            Event::JobEnd { job, ends_at } => {
                if self.jobs.get(&job).is_some_and(|job| job.ends_at == ends_at) {
                    self.finish_job(now, job);
                }
            }
            Event::DispatchResponse { key, number, outcome } => self.end_dispatch(now, key, number, outcome),
            Event::ListUpdate { instance, version, entry } => {
                if instance < self.scenario.clients.instances && entry.state != EndpointState::Up {
                    self.propagation.record(now, instance, &entry.name, version);
                }
                let (entry, effects) =
                    match self.gossip.as_mut().filter(|network| instance < network.node_count()) {
                        Some(network) => network.apply_discovery(now, instance, version, entry),
                        None => (entry, Vec::new()),
                    };
                self.auditor.record_listing(now, instance, &entry.name, entry.state != EndpointState::Up);
                self.instances[instance].router.update_endpoints(now, &[entry]);
                self.run_instance(instance);
                self.apply_gossip_effects(now, effects);
            }
            Event::Gossip(event) => {
                if let Some(network) = &mut self.gossip {
                    let effects = network.handle_event(now, event);
                    self.apply_gossip_effects(now, effects);
                }
            }
            Event::Fault(number, begins) => self.apply_fault(now, number, begins),
            Event::ServerDrain(server) => {
                self.servers[server].draining = true;
                self.announce_endpoint(server, EndpointState::Draining, None);
            }
            Event::ServerReplacement(server) => self.replace_server(now, server),
            Event::ServerResume(server) => {
                let started = self.servers[server].queue.start_waiting_jobs(now);
                self.schedule_job_ends(now, started);
            }
            Event::InstanceCrash(instance) => self.crash_instance(now, instance),
            Event::AuditCheck => {
                self.auditor.check_unanswered(now, false);
                if now < ends_at {
                    self.events.schedule_after(S, Event::AuditCheck);
                }
            }
        }
    }

    fn rule_set(&self, set: usize) -> &'a RuleSet {
        &self.scenario.rule_sets[set]
    }

    fn start_client_call(&mut self, now: Nanos) {
        let all: f64 = self.scenario.rule_sets.iter().map(|set| set.traffic_weight).sum();
        let mut left = self.arrival_random.sample_fraction() * all;
        let set = self.scenario.rule_sets.iter().position(|set| {
            left -= set.traffic_weight;
            left < 0.0
        });
        let set = set.unwrap_or(0);
        let utility = self.rule_set(set).utility;
        self.report.asked += 1;
        self.utility_by_second[((now - START) / S) as usize].0 += utility;
        self.utility_by_rule_set[set].0 += utility;
        self.calls.push(ClientCall { rule_set: set, started_at: now });
        self.attempt_call(now, self.calls.len() - 1, 0);
    }

    fn attempt_call(&mut self, now: Nanos, call: usize, attempt: u32) {
        let instance = self.arrival_random.sample_below(self.scenario.clients.instances);
        let set = self.calls[call].rule_set;
        let ends_at = now + self.rule_set(set).client_timeout;
        self.accept_request(now, instance, set, ends_at, Caller::Client { call, attempt });
    }

    fn accept_request(&mut self, now: Nanos, instance: usize, set: usize, ends_at: Nanos, caller: Caller) {
        self.next_id += 1;
        let (key, rule_set) = ((instance, self.next_id), self.rule_set(set));
        self.accepted_by_tier[self.instances[instance].tier] += 1;
        self.auditor.record_accepted(now, key, ends_at, rule_set.effect, rule_set.dedup_window);
        self.pending
            .insert(key, PendingRequest { caller, rule_set: set, deadline: ends_at, active_dispatch: None });
        self.events.schedule_at(ends_at + MS, Event::ClientDisconnect(key));
        let request = RequestContext {
            id: key.1,
            rule_set: rule_set.name.as_str().into(),
            customer: "".into(),
            is_client_retry: matches!(caller, Caller::Client { attempt, .. } if attempt > 0),
            received_at: now,
            deadline: ends_at,
            body_pending: false,
            expected_cost: None,
            preferred_endpoint: None,
            dispatches: Vec::new(),
        };
        self.instances[instance].router.accept_request(now, request);
        self.run_instance(instance);
    }

    /// Runs the due work of an instance and carries out its actions.
    fn run_instance(&mut self, instance: usize) {
        let now = self.events.now();
        let next = self.instances[instance].router.run_due_work(now).max(now + 1);
        if next < self.instances[instance].wake_at && next < Nanos::MAX {
            self.instances[instance].wake_at = next;
            self.events.schedule_at(next, Event::InstanceWake(instance));
        }
        for action in self.instances[instance].router.take_actions() {
            match action {
                Action::Send { request_id: id, dispatch_index: number, endpoint: server, give_up_at } => {
                    self.send_dispatch(now, (instance, id), number, &server, give_up_at)
                }
                Action::CancelDispatch { request_id: id, dispatch_index: number } => {
                    self.end_dispatch(now, (instance, id), number, DispatchOutcome::Cancelled)
                }
                Action::Deny { request_id: id, .. } => {
                    self.answer_request(now, (instance, id), Answer::Denied)
                }
                Action::Abort { request_id: id } => self.answer_request(now, (instance, id), Answer::Aborted),
                Action::WatchEndpoints
                | Action::FetchEndpoints
                | Action::Probe(_)
                | Action::CloseIdleConnections(_)
                | Action::Log(_) => {}
            }
        }
    }

    fn is_unreachable(&self, site: usize, server: usize) -> bool {
        let (tier, other) = (self.servers[server].tier, self.servers[server].site);
        site != other && self.unreachable_sites.contains(&(tier, other))
    }

    fn sample_delay(&mut self, site: usize, server: usize) -> Nanos {
        let network = &self.scenario.network;
        let link =
            if site == self.servers[server].site { &network.within_site } else { &network.between_sites };
        link.sample(&mut self.network_random)
    }

    fn send_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, name: &Name, give_up_at: Nanos) {
        let Some(server) = self.server_indexes.get(name).copied() else { return };
        self.auditor.record_dispatch(now, key, number, name);
        let Some(pending) = self.pending.get_mut(&key) else { return };
        pending.active_dispatch = Some((number, server, now));
        self.sent_by_tier[self.instances[key.0].tier] += 1;
        self.events.schedule_at(give_up_at, Event::DispatchTimeout { key, number });
        let site = self.instances[key.0].site;
        if !self.is_unreachable(site, server) {
            let delay = self.sample_delay(site, server);
            self.events.schedule_after(delay, Event::DispatchArrival { key, number, server });
        }
    }

    fn deliver_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, server: usize) {
        let Some(pending) = self
            .pending
            .get(&key)
            .filter(|pending| pending.active_dispatch.is_some_and(|out| out.0 == number))
        else {
            // The dispatch ended before it arrived.
            return;
        };
        let (ends_at, tier) = (pending.deadline, &self.scenario.tiers[self.servers[server].tier]);
        let work = (tier.work_time.sample(&mut self.work_random) as f64
            * self.slowdown[self.servers[server].tier]) as Nanos;
        if self.servers[server].failing_fast {
            self.auditor.record_run(now, key, &self.servers[server].name);
            return self.send_response(server, key, number, DispatchOutcome::Error);
        }
        if now < self.servers[server].slow_start_until {
            let speed = self.servers[server].queue.speed_at(now);
            let (name, can) = (self.servers[server].name.clone(), tier.slots as f64 * speed);
            self.auditor.record_slow_start_work(now, key, &name, work as f64 / 1e9, can);
        }
        if now >= ends_at {
            return;
        }
        self.next_id += 1;
        let job = self.next_id;
        match self.servers[server].queue.submit(now, job, work) {
            Admission::Rejected => self.send_response(server, key, number, DispatchOutcome::Full),
            Admission::Queued => drop(self.jobs.insert(job, Job { key, number, server, ends_at: 0 })),
            Admission::Started { ends_at } => {
                self.jobs.insert(job, Job { key, number, server, ends_at: 0 });
                self.schedule_job_ends(now, vec![(job, ends_at)]);
            }
        }
    }

    /// Schedules the ends of jobs that have started or whose end has moved.
    fn schedule_job_ends(&mut self, now: Nanos, jobs: Vec<(u64, Nanos)>) {
        for (number, ends_at) in jobs {
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let first = job.ends_at == 0;
            job.ends_at = ends_at;
            let (key, server) = (job.key, job.server);
            if first {
                let name = self.servers[server].name.clone();
                self.auditor.record_run(now, key, &name);
            }
            self.events.schedule_at(ends_at, Event::JobEnd { job: number, ends_at });
        }
    }

    fn finish_job(&mut self, now: Nanos, number: u64) {
        let Some(Job { key, number: dispatch, server, .. }) = self.jobs.remove(&number) else { return };
        let started = self.servers[server].queue.finish_job(now, number);
        self.schedule_job_ends(now, started);
        let failing = self.scenario.tiers[self.servers[server].tier].failure_fraction;
        if self.failure_random.sample_bool(self.reset_fraction[self.servers[server].tier]) {
            return self.send_response(server, key, dispatch, DispatchOutcome::Reset);
        }
        if self.failure_random.sample_bool(failing) {
            return self.send_response(server, key, dispatch, DispatchOutcome::Error);
        }
        // The call to the next tier proceeds even if the caller has disconnected: the server cannot know that.
        match (
            self.servers[server].downstream_instance,
            self.pending.get(&key).map(|pending| (pending.rule_set, pending.deadline)),
        ) {
            (Some(downstream), Some((set, ends_at))) if now + MIN_TIME_LEFT < ends_at => {
                self.accept_request(
                    now,
                    downstream,
                    set,
                    ends_at - MIN_TIME_LEFT,
                    Caller::Job { key, number: dispatch, server },
                );
            }
            (Some(_), _) => self.send_response(server, key, dispatch, DispatchOutcome::Error),
            (None, _) => self.send_response(server, key, dispatch, DispatchOutcome::Done),
        }
    }

    fn send_response(&mut self, server: usize, key: RequestKey, number: usize, outcome: DispatchOutcome) {
        let site = self.instances[key.0].site;
        if !self.is_unreachable(site, server) {
            let delay = self.sample_delay(site, server);
            self.events.schedule_after(delay, Event::DispatchResponse { key, number, outcome });
        }
    }

    /// Reports the end of a dispatch to its instance.
    fn end_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, outcome: DispatchOutcome) {
        let Some(pending) = self.pending.get_mut(&key) else { return };
        let Some((_, server, sent)) = pending.active_dispatch.take_if(|out| out.0 == number) else { return };
        let set = pending.rule_set;
        // The audit trail writes `Cancelled` as "Recalled".
        let text =
            if outcome == DispatchOutcome::Cancelled { "Recalled".into() } else { format!("{outcome:?}") };
        self.auditor.record_dispatch_end(now, key, number, &text);
        if !matches!(outcome, DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full) {
            self.cancel_queued_job(now, server, key, number);
        }
        if outcome == DispatchOutcome::Done {
            self.answer_request(now, key, Answer::Done);
        }
        self.instances[key.0].router.handle_dispatch_ended(now, key.1, number, outcome, now - sent);
        self.run_instance(key.0);
        self.record_outcome(now, key.0, server, set, outcome);
    }

    /// Hands the outcome of a dispatch to gossip, classified as the balancer does it.
    fn record_outcome(
        &mut self,
        now: Nanos,
        instance: usize,
        server: usize,
        set: usize,
        outcome: DispatchOutcome,
    ) {
        let counts = match outcome {
            DispatchOutcome::Done => OutcomeCounts { succeeded: 1, ..OutcomeCounts::default() },
            DispatchOutcome::Error => OutcomeCounts { failed: 1, ..OutcomeCounts::default() },
            DispatchOutcome::NoConnection
            | DispatchOutcome::Reset
            | DispatchOutcome::TimedOut
            | DispatchOutcome::Cancelled => OutcomeCounts { lost: 1, ..OutcomeCounts::default() },
            DispatchOutcome::Full | DispatchOutcome::NotSent | DispatchOutcome::Rejected => return,
        };
        let set = self.rule_set(set).name.as_str();
        if let Some(network) = self.gossip.as_mut().filter(|network| instance < network.node_count()) {
            let effects = network.record_outcomes(now, instance, &self.servers[server].name, set, counts);
            self.apply_gossip_effects(now, effects);
        }
    }

    /// Removes a job from the queue of a server after its connection was closed. Running jobs continue.
    fn cancel_queued_job(&mut self, now: Nanos, server: usize, key: RequestKey, number: usize) {
        let waits =
            |job: &Job| job.server == server && (job.key, job.number, job.ends_at) == (key, number, 0);
        if let Some(job) = self.jobs.iter().find(|(_, job)| waits(job)).map(|(job, _)| *job) {
            self.jobs.remove(&job);
            let (_, started) = self.servers[server].queue.cancel_job(now, job);
            self.schedule_job_ends(now, started);
        }
    }

    fn answer_request(&mut self, now: Nanos, key: RequestKey, answer: Answer) {
        self.auditor.record_answer(now, key, answer);
        let Some(PendingRequest { caller, .. }) = self.pending.remove(&key) else { return };
        match caller {
            Caller::Client { call, attempt } => match answer {
                Answer::Done => self.record_success(now, call),
                Answer::Denied if attempt < self.scenario.clients.max_retries => {
                    let pause = self.scenario.clients.retry_delay;
                    self.events.schedule_after(pause, Event::ClientAttempt { call, attempt: attempt + 1 });
                }
                _ => {}
            },
            Caller::Job { key, number, server } => {
                let outcome =
                    if answer == Answer::Done { DispatchOutcome::Done } else { DispatchOutcome::Error };
                self.send_response(server, key, number, outcome);
            }
        }
    }

    fn record_success(&mut self, now: Nanos, call: usize) {
        let ClientCall { rule_set: set, started_at } = self.calls[call];
        if now - started_at > self.rule_set(set).response_target {
            self.report.late += 1;
            return;
        }
        self.report.in_time += 1;
        let utility = self.rule_set(set).utility;
        self.utility_by_second[((started_at - START) / S) as usize].1 += utility;
        self.utility_by_rule_set[set].1 += utility;
    }

    fn announce_endpoint(&mut self, server: usize, state: EndpointState, started_at: Option<Nanos>) {
        self.discovery_version += 1;
        let tier = self.servers[server].tier;
        for instance in 0..self.instances.len() {
            if self.instances[instance].tier == tier {
                let entry = self.listed_endpoint(&self.servers[server], state, started_at);
                let delay = self.scenario.discovery.delay.sample(&mut self.network_random);
                let from = self.list_down_until.max(self.events.now());
                let version = self.discovery_version;
                self.events.schedule_at(from + delay, Event::ListUpdate { instance, version, entry });
            }
        }
    }

    fn apply_fault(&mut self, now: Nanos, number: usize, begins: bool) {
        let ScenarioFault { kind, tier, site, target_count, duration, factor, fraction, .. } =
            &self.scenario.faults[number];
        let Some(tier) = self.scenario.tiers.iter().position(|candidate| candidate.name == *tier) else {
            return;
        };
        let of: Vec<usize> =
            (0..self.servers.len()).filter(|server| self.servers[*server].tier == tier).collect();
        match kind {
            FaultKind::SiteLost if begins => self.unreachable_sites.push((tier, *site)),
            FaultKind::SiteLost => self.unreachable_sites.retain(|lost| *lost != (tier, *site)),
            FaultKind::FastErrors => {
                of.iter().take(*target_count).for_each(|server| self.servers[*server].failing_fast = begins)
            }
            FaultKind::Pause if begins => {
                for server in of.into_iter().take(*target_count) {
                    let moved = self.servers[server].queue.pause(now, now + duration);
                    self.schedule_job_ends(now, moved);
                    self.events.schedule_after(*duration, Event::ServerResume(server));
                }
            }
            FaultKind::Deploy if begins => {
                let all = of.len() as u64;
                for (at, server) in of.into_iter().enumerate() {
                    let from = duration / all * at as u64;
                    self.events.schedule_after(from, Event::ServerDrain(server));
                    self.events.schedule_after(from + 4 * S, Event::ServerReplacement(server));
                }
            }
            FaultKind::FleetCut => {
                let partition_size = if begins { *target_count } else { 0 };
                if let Some(network) = &mut self.gossip {
                    network.partition(partition_size);
                }
            }
            FaultKind::Drain => {
                for server in of.into_iter().take(*target_count) {
                    self.servers[server].draining = begins;
                    self.announce_endpoint(
                        server,
                        if begins { EndpointState::Draining } else { EndpointState::Up },
                        None,
                    );
                }
            }
            FaultKind::Slow => self.slowdown[tier] = if begins { *factor } else { 1.0 },
            FaultKind::Resets => self.reset_fraction[tier] = if begins { *fraction } else { 0.0 },
            FaultKind::ListDown if begins => self.list_down_until = now + duration,
            FaultKind::Burst => self.load_factor = if begins { *factor } else { 1.0 },
            FaultKind::Crash if begins && tier == 0 => {
                for instance in 0..(*target_count).min(self.scenario.clients.instances) {
                    self.events.schedule_after(
                        duration / (*target_count as u64) * instance as u64,
                        Event::InstanceCrash(instance),
                    );
                }
            }
            FaultKind::Pause | FaultKind::Deploy | FaultKind::ListDown | FaultKind::Crash => {}
        }
    }

    /// Replaces a server process. Its jobs end with a reset.
    fn replace_server(&mut self, now: Nanos, server: usize) {
        let tier = &self.scenario.tiers[self.servers[server].tier];
        let held: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| job.server == server).map(|(job, _)| *job).collect();
        for job in held {
            if let Some(job) = self.jobs.remove(&job) {
                self.send_response(server, job.key, job.number, DispatchOutcome::Reset);
            }
        }
        let state = &mut self.servers[server];
        (state.queue, state.started, state.draining) =
            (ServiceQueue::new(tier.queue_config(), now), now, false);
        state.slow_start_until = now + tier.slow_start.map_or(0, |cold| cold.duration);
        self.announce_endpoint(server, EndpointState::Up, Some(now));
    }

    fn into_report(mut self) -> SimulationReport {
        let part = |(asked, met): (f64, f64)| if asked > 0.0 { met / asked } else { 1.0 };
        let all = self.utility_by_rule_set.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        self.report.score = part(all);
        let sum = |of: &[(f64, f64)]| of.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        let seconds = &self.utility_by_second[..self.utility_by_second.len() - 1];
        self.report.worst_10s = seconds.windows(10).map(|ten| part(sum(ten))).fold(1.0, f64::min);
        let recovery = |fault: &ScenarioFault| {
            let (from, to) =
                ((fault.starts_at / S) as usize, ((fault.starts_at + fault.duration) / S) as usize);
            let before = part(sum(seconds.get(..from)?));
            let after = seconds.get(to..)?;
            let good = |three: &[(f64, f64)]| three.iter().all(|second| part(*second) >= 0.97 * before);
            after.windows(3).position(good).map(|seconds| seconds as u64)
        };
        self.report.recovery = self.scenario.faults.iter().map(recovery).collect();
        self.report.propagation = self.propagation.mean_delays();
        if let Some(network) = &self.gossip {
            let seconds = (self.events.now() - START) as f64 / S as f64;
            let all: u64 = network.bytes_sent.iter().sum();
            self.report.fleet_bytes_per_s = all as f64 / seconds / network.node_count() as f64;
        }
        self.report.worst_set = self.utility_by_rule_set.iter().map(|both| part(*both)).fold(1.0, f64::min);
        self.report.sends = self
            .sent_by_tier
            .iter()
            .zip(&self.accepted_by_tier)
            .map(|(sent, taken)| *sent as f64 / (*taken).max(1) as f64)
            .collect();
        let line = |violation: &RuleViolation| {
            let RuleViolation { rule, at, key, description } = violation;
            format!(
                "rule {rule} at {:.3} s, req {} of instance {}: {description}",
                (at - START) as f64 / 1e9,
                key.1,
                key.0
            )
        };
        self.report.violations = self.auditor.violations.iter().map(line).collect();
        self.report
    }
}
