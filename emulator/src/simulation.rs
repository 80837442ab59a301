//! A day: clients, balancers, srvs, the network and the list between them, and troubles by time. It owns what is true
//! of each; an instance is told only what would reach it, when it would. The same scenario, policy and seed give the
//! same day. All figures are simulated.
//!
//! Kept simple on purpose: a srv of a middle tier gives its slot up while it waits for the tier below, and answers its
//! caller with an error where that call was denied or aborted.

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
/// What a client's req needs at least of its time to be sent at all.
const MIN_TIME_LEFT: Nanos = MS;

enum Event {
    ClientArrival,
    /// A client tries, for the first time or again.
    ClientAttempt {
        call: usize,
        try_number: u32,
    },
    ClientDisconnect(RequestKey),
    InstanceWake(usize),
    DispatchArrival {
        key: RequestKey,
        number: usize,
        srv: usize,
    },
    DispatchTimeout {
        key: RequestKey,
        number: usize,
    },
    JobEnd {
        job: u64,
        ends: Nanos,
    },
    DispatchResponse {
        key: RequestKey,
        number: usize,
        how: DispatchOutcome,
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
    /// Its process: jobs of an earlier one are lost.
    started: Nanos,
    slow_start_until: Nanos,
    draining: bool,
    failing_fast: bool,
    /// The instance it calls the next tier through.
    downstream_instance: Option<usize>,
}

struct ClientCall {
    rule_set: usize,
    started_at: Nanos,
}

/// Who waits for a req's answer: a client's call, or a job at a srv.
#[derive(Clone, Copy)]
enum Caller {
    Client { call: usize, try_number: u32 },
    Job { key: RequestKey, number: usize, srv: usize },
}

struct PendingRequest {
    caller: Caller,
    rule_set: usize,
    deadline: Nanos,
    /// The dispatch that is out: its number, srv and time.
    active_dispatch: Option<(usize, usize, Nanos)>,
}

struct Job {
    key: RequestKey,
    number: usize,
    srv: usize,
    ends_at: Nanos,
}

/// What a day came to.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct SimulationReport {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    /// Utility answered within the target over utility asked: in all, in the worst 10 s, in the worst rule set.
    pub score: f64,
    pub worst_10s: f64,
    pub worst_set: f64,
    /// Sends for each req that its tier was asked for, by tier.
    pub sends: Vec<f64>,
    /// Seconds from each trouble's end until three seconds in a row were about as good as before its begin; none
    /// where that was not seen.
    pub recovery: Vec<Option<u64>>,
    /// How long news of drains and departures took among the balancers before the first tier.
    #[serde(rename = "heeded")]
    pub propagation: PropagationDelays,
    /// Bytes a second that a balancer sends to others.
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
    /// By tier, how many times as long work takes, and the part of answers that is lost.
    slowdown: Vec<f64>,
    reset_fraction: Vec<f64>,
    list_down_until: Nanos,
    /// Discovery's version.
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
    /// Utility asked and answered in time by the second it was asked in, and by rule set.
    utility_by_second: Vec<(f64, f64)>,
    utility_by_rule_set: Vec<(f64, f64)>,
    report: SimulationReport,
}

/// Plays a day.
pub fn simulate(scenario: &Scenario, policy: RoutingPolicy, seed: u64) -> SimulationReport {
    Simulation::new(scenario, policy, seed).run().0
}

/// Plays a day and tells the life of one req of it, by the number that it has at its instance.
pub fn trace_request(scenario: &Scenario, policy: RoutingPolicy, seed: u64, id: u64) -> Vec<String> {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.auditor.traced_request = Some(id);
    let lines = simulation.run().1.into_iter();
    lines.map(|(at, what)| format!("{:.3} s  {what}", (at - START) as f64 / 1e9)).collect()
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
        for me in 0..scenario.clients.instances {
            let seat = InstancePlacement { tier: 0, index: me, instances: scenario.clients.instances };
            simulation.add_instance(seat, me % scenario.tiers[0].site_count);
        }
        for (at, tier) in scenario.tiers.iter().enumerate() {
            for number in 0..tier.server_count {
                let site = number % tier.site_count;
                let name: Name = format!("{}-{number:04}", tier.name).into();
                let seat = InstancePlacement { tier: at + 1, index: number, instances: tier.server_count };
                let below = (at + 1 < scenario.tiers.len()).then(|| simulation.add_instance(seat, site));
                simulation.server_indexes.insert(name.clone(), simulation.servers.len());
                simulation.servers.push(Server {
                    name,
                    tier: at,
                    site,
                    // Those that stand at the start are warm.
                    queue: ServiceQueue::new(tier.queue_config(), 0),
                    started: START,
                    slow_start_until: 0,
                    draining: false,
                    failing_fast: false,
                    downstream_instance: below,
                });
            }
        }
        simulation.gossip = scenario.gossip.clone().map(|fleet| {
            let sites = scenario.tiers[0].site_count;
            GossipNetwork::new(fleet, seed, scenario.clients.instances, sites, START)
        });
        for instance in 0..simulation.instances.len() {
            simulation.load_initial_list(START, instance);
        }
        simulation
    }

    /// The list as it stood at the day's start.
    fn load_initial_list(&mut self, now: Nanos, instance: usize) {
        let tier = self.instances[instance].tier;
        let of = self.servers.iter().filter(|srv| srv.tier == tier);
        let entries: Vec<ListedEndpoint> =
            of.map(|srv| self.listed_endpoint(srv, EndpointState::Up, None)).collect();
        self.instances[instance].router.update_endpoints(now, &entries);
        if let Some(net) = self.gossip.as_mut().filter(|net| instance < net.node_count()) {
            let effects = net.set_initial_list(now, instance, &entries);
            self.apply_gossip_effects(now, effects);
        }
    }

    /// Carries out what the balancers' machines want.
    fn apply_gossip_effects(&mut self, now: Nanos, effects: Vec<GossipEffect>) {
        for effect in effects {
            match effect {
                GossipEffect::Schedule(at, due) => self.events.schedule_at(at, Event::Gossip(due)),
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
                GossipEffect::OutcomesReceived { instance, srv, set, counts } => {
                    let outcomes = [
                        (DispatchOutcome::Done, counts.succeeded),
                        (DispatchOutcome::Error, counts.failed),
                        (DispatchOutcome::Reset, counts.lost),
                    ];
                    for (how, times) in outcomes {
                        self.instances[instance].router.record_peer_outcomes(now, &srv, &set, how, times);
                    }
                    self.run_instance(instance);
                }
            }
        }
    }

    /// A balancer's process ends with all it holds; the next one starts with an old list and hears the news later.
    fn crash_instance(&mut self, now: Nanos, instance: usize) {
        self.auditor.record_crash(now, instance);
        self.pending.retain(|key, _| key.0 != instance);
        let tier = self.instances[instance].tier;
        let seat = InstancePlacement { tier, index: instance, instances: self.scenario.clients.instances };
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add((instance + 1_000_000) as u64);
        self.instances[instance].router = self.policy.build_router(now, seed, self.scenario, seat);
        self.instances[instance].wake_at = Nanos::MAX;
        if let Some(net) = self.gossip.as_mut().filter(|net| instance < net.node_count()) {
            let effects = net.restart_node(now, instance);
            self.apply_gossip_effects(now, effects);
        }
        self.load_initial_list(now, instance);
        let from = self.list_down_until.max(now);
        for srv in 0..self.servers.len() {
            if self.servers[srv].tier == tier {
                let state =
                    if self.servers[srv].draining { EndpointState::Draining } else { EndpointState::Up };
                let came_up = Some(self.servers[srv].started).filter(|at| *at > START);
                let entry = self.listed_endpoint(&self.servers[srv], state, came_up);
                let delay = self.scenario.discovery.delay.sample(&mut self.network_random);
                let version = self.discovery_version;
                self.events.schedule_at(from + delay, Event::ListUpdate { instance, version, entry });
            }
        }
        self.run_instance(instance);
    }

    fn add_instance(&mut self, seat: InstancePlacement, site: usize) -> usize {
        let number = self.instances.len();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let chooser = self.policy.build_router(START, seed, self.scenario, seat);
        self.instances.push(Instance { router: chooser, tier: seat.tier, site, wake_at: Nanos::MAX });
        number
    }

    fn listed_endpoint(&self, srv: &Server, state: EndpointState, came_up: Option<Nanos>) -> ListedEndpoint {
        let site = format!("site-{}", srv.site).into();
        ListedEndpoint {
            name: srv.name.clone(),
            state,
            started_at: came_up,
            weight: 1.0,
            site,
            cell: srv.site as u64,
        }
    }

    fn run(mut self) -> (SimulationReport, Vec<(Nanos, String)>) {
        let ends = START + self.scenario.duration;
        let longest = self.scenario.rule_sets.iter().map(|set| set.client_timeout).max().unwrap_or(S);
        let last = ends + longest * u64::from(1 + self.scenario.clients.max_retries) + 2 * S;
        self.events.schedule_at(START, Event::ClientArrival);
        self.events.schedule_at(START + S, Event::AuditCheck);
        for (number, trouble) in self.scenario.faults.iter().enumerate() {
            self.events.schedule_at(START + trouble.starts_at, Event::Fault(number, true));
            self.events
                .schedule_at(START + trouble.starts_at + trouble.duration, Event::Fault(number, false));
        }
        while let Some(event) = self.events.pop_until(last) {
            self.report.events += 1;
            self.handle_event(event, ends);
        }
        self.auditor.check_unanswered(last + S, true);
        let trace = std::mem::take(&mut self.auditor.trace);
        (self.into_report(), trace)
    }

    fn handle_event(&mut self, event: Event, ends: Nanos) {
        let now = self.events.now();
        match event {
            Event::ClientArrival => {
                if now < ends {
                    self.start_client_call(now);
                    if let Some(gap) = self
                        .arrival_random
                        .sample_arrival_gap(self.scenario.clients.requests_per_s * self.load_factor)
                    {
                        self.events.schedule_after(gap, Event::ClientArrival);
                    }
                }
            }
            Event::ClientAttempt { call, try_number } => self.attempt_call(now, call, try_number),
            Event::ClientDisconnect(key) => {
                if self.pending.contains_key(&key) {
                    self.instances[key.0].router.handle_client_disconnected(now, key.1);
                    self.run_instance(key.0);
                    // What is out is closed, and the instance hears so: else it would count as out for ever.
                    if let Some((number, ..)) = self.pending.get(&key).and_then(|under| under.active_dispatch)
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
            Event::DispatchArrival { key, number, srv } => self.deliver_dispatch(now, key, number, srv),
            Event::DispatchTimeout { key, number } => {
                self.end_dispatch(now, key, number, DispatchOutcome::TimedOut)
            }
            Event::JobEnd { job, ends } => {
                if self.jobs.get(&job).is_some_and(|job| job.ends_at == ends) {
                    self.finish_job(now, job);
                }
            }
            Event::DispatchResponse { key, number, how } => self.end_dispatch(now, key, number, how),
            Event::ListUpdate { instance, version, entry } => {
                if instance < self.scenario.clients.instances && entry.state != EndpointState::Up {
                    self.propagation.record(now, instance, &entry.name, version);
                }
                let (entry, effects) = match self.gossip.as_mut().filter(|net| instance < net.node_count()) {
                    Some(net) => net.apply_discovery(now, instance, version, entry),
                    None => (entry, Vec::new()),
                };
                self.auditor.record_listing(now, instance, &entry.name, entry.state != EndpointState::Up);
                self.instances[instance].router.update_endpoints(now, &[entry]);
                self.run_instance(instance);
                self.apply_gossip_effects(now, effects);
            }
            Event::Gossip(due) => {
                if let Some(net) = &mut self.gossip {
                    let effects = net.handle_event(now, due);
                    self.apply_gossip_effects(now, effects);
                }
            }
            Event::Fault(number, begins) => self.apply_fault(now, number, begins),
            Event::ServerDrain(srv) => {
                self.servers[srv].draining = true;
                self.announce_endpoint(srv, EndpointState::Draining, None);
            }
            Event::ServerReplacement(srv) => self.replace_server(now, srv),
            Event::ServerResume(srv) => {
                let started = self.servers[srv].queue.start_waiting_jobs(now);
                self.schedule_job_ends(now, started);
            }
            Event::InstanceCrash(instance) => self.crash_instance(now, instance),
            Event::AuditCheck => {
                self.auditor.check_unanswered(now, false);
                if now < ends {
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

    fn attempt_call(&mut self, now: Nanos, call: usize, try_number: u32) {
        let instance = self.arrival_random.sample_below(self.scenario.clients.instances);
        let set = self.calls[call].rule_set;
        let ends = now + self.rule_set(set).client_timeout;
        self.accept_request(now, instance, set, ends, Caller::Client { call, try_number });
    }

    fn accept_request(&mut self, now: Nanos, instance: usize, set: usize, ends: Nanos, caller: Caller) {
        self.next_id += 1;
        let (key, rule_set) = ((instance, self.next_id), self.rule_set(set));
        self.accepted_by_tier[self.instances[instance].tier] += 1;
        self.auditor.record_accepted(now, key, ends, rule_set.effect, rule_set.dedup_window);
        self.pending
            .insert(key, PendingRequest { caller, rule_set: set, deadline: ends, active_dispatch: None });
        self.events.schedule_at(ends + MS, Event::ClientDisconnect(key));
        let req = RequestContext {
            id: key.1,
            rule_set: rule_set.name.as_str().into(),
            customer: "".into(),
            is_client_retry: matches!(caller, Caller::Client { try_number, .. } if try_number > 0),
            received_at: now,
            deadline: ends,
            body_pending: false,
            expected_cost: None,
            preferred_endpoint: None,
            dispatches: Vec::new(),
        };
        self.instances[instance].router.accept_request(now, req);
        self.run_instance(instance);
    }

    /// Has an instance do what is due, and carries it out.
    fn run_instance(&mut self, instance: usize) {
        let now = self.events.now();
        let next = self.instances[instance].router.run_due_work(now).max(now + 1);
        if next < self.instances[instance].wake_at && next < Nanos::MAX {
            self.instances[instance].wake_at = next;
            self.events.schedule_at(next, Event::InstanceWake(instance));
        }
        for act in self.instances[instance].router.take_actions() {
            match act {
                Action::Send {
                    request_id: id,
                    dispatch_index: number,
                    endpoint: srv,
                    give_up_at: give_up,
                } => self.send_dispatch(now, (instance, id), number, &srv, give_up),
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

    fn is_unreachable(&self, site: usize, srv: usize) -> bool {
        let (tier, other) = (self.servers[srv].tier, self.servers[srv].site);
        site != other && self.unreachable_sites.contains(&(tier, other))
    }

    fn sample_delay(&mut self, site: usize, srv: usize) -> Nanos {
        let network = &self.scenario.network;
        let way = if site == self.servers[srv].site { &network.within_site } else { &network.between_sites };
        way.sample(&mut self.network_random)
    }

    fn send_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, name: &Name, give_up: Nanos) {
        let Some(srv) = self.server_indexes.get(name).copied() else { return };
        self.auditor.record_dispatch(now, key, number, name);
        let Some(under) = self.pending.get_mut(&key) else { return };
        under.active_dispatch = Some((number, srv, now));
        self.sent_by_tier[self.instances[key.0].tier] += 1;
        self.events.schedule_at(give_up, Event::DispatchTimeout { key, number });
        let site = self.instances[key.0].site;
        if !self.is_unreachable(site, srv) {
            let delay = self.sample_delay(site, srv);
            self.events.schedule_after(delay, Event::DispatchArrival { key, number, srv });
        }
    }

    fn deliver_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, srv: usize) {
        let Some(under) =
            self.pending.get(&key).filter(|under| under.active_dispatch.is_some_and(|out| out.0 == number))
        else {
            // Given up on the way.
            return;
        };
        let (ends, tier) = (under.deadline, &self.scenario.tiers[self.servers[srv].tier]);
        let work = (tier.work_time.sample(&mut self.work_random) as f64
            * self.slowdown[self.servers[srv].tier]) as Nanos;
        if self.servers[srv].failing_fast {
            self.auditor.record_run(now, key, &self.servers[srv].name);
            return self.send_response(srv, key, number, DispatchOutcome::Error);
        }
        if now < self.servers[srv].slow_start_until {
            let speed = self.servers[srv].queue.speed_at(now);
            let (name, can) = (self.servers[srv].name.clone(), tier.slots as f64 * speed);
            self.auditor.record_slow_start_work(now, key, &name, work as f64 / 1e9, can);
        }
        if now >= ends {
            return;
        }
        self.next_id += 1;
        let job = self.next_id;
        match self.servers[srv].queue.submit(now, job, work) {
            Admission::Rejected => self.send_response(srv, key, number, DispatchOutcome::Full),
            Admission::Queued => drop(self.jobs.insert(job, Job { key, number, srv, ends_at: 0 })),
            Admission::Started { ends_at: ends } => {
                self.jobs.insert(job, Job { key, number, srv, ends_at: 0 });
                self.schedule_job_ends(now, vec![(job, ends)]);
            }
        }
    }

    /// Jobs have started, or end at another time than they did.
    fn schedule_job_ends(&mut self, now: Nanos, jobs: Vec<(u64, Nanos)>) {
        for (number, ends) in jobs {
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let first = job.ends_at == 0;
            job.ends_at = ends;
            let (key, srv) = (job.key, job.srv);
            if first {
                let name = self.servers[srv].name.clone();
                self.auditor.record_run(now, key, &name);
            }
            self.events.schedule_at(ends, Event::JobEnd { job: number, ends });
        }
    }

    fn finish_job(&mut self, now: Nanos, number: u64) {
        let Some(Job { key, number: dispatch, srv, .. }) = self.jobs.remove(&number) else { return };
        let started = self.servers[srv].queue.finish_job(now, number);
        self.schedule_job_ends(now, started);
        let failing = self.scenario.tiers[self.servers[srv].tier].failure_fraction;
        if self.failure_random.sample_bool(self.reset_fraction[self.servers[srv].tier]) {
            return self.send_response(srv, key, dispatch, DispatchOutcome::Reset);
        }
        if self.failure_random.sample_bool(failing) {
            return self.send_response(srv, key, dispatch, DispatchOutcome::Error);
        }
        // The call below goes on even where the caller has given up: it can't be told from here.
        match (
            self.servers[srv].downstream_instance,
            self.pending.get(&key).map(|under| (under.rule_set, under.deadline)),
        ) {
            (Some(below), Some((set, ends))) if now + MIN_TIME_LEFT < ends => {
                self.accept_request(
                    now,
                    below,
                    set,
                    ends - MIN_TIME_LEFT,
                    Caller::Job { key, number: dispatch, srv },
                );
            }
            (Some(_), _) => self.send_response(srv, key, dispatch, DispatchOutcome::Error),
            (None, _) => self.send_response(srv, key, dispatch, DispatchOutcome::Done),
        }
    }

    fn send_response(&mut self, srv: usize, key: RequestKey, number: usize, how: DispatchOutcome) {
        let site = self.instances[key.0].site;
        if !self.is_unreachable(site, srv) {
            let delay = self.sample_delay(site, srv);
            self.events.schedule_after(delay, Event::DispatchResponse { key, number, how });
        }
    }

    /// A dispatch is over for its instance.
    fn end_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, how: DispatchOutcome) {
        let Some(under) = self.pending.get_mut(&key) else { return };
        let Some((_, srv, sent)) = under.active_dispatch.take_if(|out| out.0 == number) else { return };
        let set = under.rule_set;
        // The audit trail writes `Cancelled` as "Recalled".
        let text = if how == DispatchOutcome::Cancelled { "Recalled".into() } else { format!("{how:?}") };
        self.auditor.record_dispatch_end(now, key, number, &text);
        if !matches!(how, DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full) {
            self.cancel_queued_job(now, srv, key, number);
        }
        if how == DispatchOutcome::Done {
            self.answer_request(now, key, Answer::Done);
        }
        self.instances[key.0].router.handle_dispatch_ended(now, key.1, number, how, now - sent);
        self.run_instance(key.0);
        self.record_outcome(now, key.0, srv, set, how);
    }

    /// What the others are told of a dispatch, as the program gathers it.
    fn record_outcome(&mut self, now: Nanos, instance: usize, srv: usize, set: usize, how: DispatchOutcome) {
        let counts = match how {
            DispatchOutcome::Done => OutcomeCounts { succeeded: 1, ..OutcomeCounts::default() },
            DispatchOutcome::Error => OutcomeCounts { failed: 1, ..OutcomeCounts::default() },
            DispatchOutcome::NoConnection
            | DispatchOutcome::Reset
            | DispatchOutcome::TimedOut
            | DispatchOutcome::Cancelled => OutcomeCounts { lost: 1, ..OutcomeCounts::default() },
            DispatchOutcome::Full | DispatchOutcome::NotSent | DispatchOutcome::Rejected => return,
        };
        let set = self.rule_set(set).name.as_str();
        if let Some(net) = self.gossip.as_mut().filter(|net| instance < net.node_count()) {
            let effects = net.record_outcomes(now, instance, &self.servers[srv].name, set, counts);
            self.apply_gossip_effects(now, effects);
        }
    }

    /// The connection is closed: a srv notices that for what still waits.
    fn cancel_queued_job(&mut self, now: Nanos, srv: usize, key: RequestKey, number: usize) {
        let waits = |job: &Job| job.srv == srv && (job.key, job.number, job.ends_at) == (key, number, 0);
        if let Some(job) = self.jobs.iter().find(|(_, job)| waits(job)).map(|(job, _)| *job) {
            self.jobs.remove(&job);
            let (_, started) = self.servers[srv].queue.cancel_job(now, job);
            self.schedule_job_ends(now, started);
        }
    }

    fn answer_request(&mut self, now: Nanos, key: RequestKey, answer: Answer) {
        self.auditor.record_answer(now, key, answer);
        let Some(PendingRequest { caller, .. }) = self.pending.remove(&key) else { return };
        match caller {
            Caller::Client { call, try_number } => match answer {
                Answer::Done => self.record_success(now, call),
                Answer::Denied if try_number < self.scenario.clients.max_retries => {
                    let pause = self.scenario.clients.retry_delay;
                    self.events
                        .schedule_after(pause, Event::ClientAttempt { call, try_number: try_number + 1 });
                }
                _ => {}
            },
            Caller::Job { key, number, srv } => {
                let how = if answer == Answer::Done { DispatchOutcome::Done } else { DispatchOutcome::Error };
                self.send_response(srv, key, number, how);
            }
        }
    }

    fn record_success(&mut self, now: Nanos, call: usize) {
        let ClientCall { rule_set: set, started_at: born } = self.calls[call];
        if now - born > self.rule_set(set).response_target {
            self.report.late += 1;
            return;
        }
        self.report.in_time += 1;
        let utility = self.rule_set(set).utility;
        self.utility_by_second[((born - START) / S) as usize].1 += utility;
        self.utility_by_rule_set[set].1 += utility;
    }

    fn announce_endpoint(&mut self, srv: usize, state: EndpointState, came_up: Option<Nanos>) {
        self.discovery_version += 1;
        let tier = self.servers[srv].tier;
        for instance in 0..self.instances.len() {
            if self.instances[instance].tier == tier {
                let entry = self.listed_endpoint(&self.servers[srv], state, came_up);
                let delay = self.scenario.discovery.delay.sample(&mut self.network_random);
                let from = self.list_down_until.max(self.events.now());
                let version = self.discovery_version;
                self.events.schedule_at(from + delay, Event::ListUpdate { instance, version, entry });
            }
        }
    }

    fn apply_fault(&mut self, now: Nanos, number: usize, begins: bool) {
        let ScenarioFault {
            kind: what,
            tier,
            site,
            target_count: srvs,
            duration: lasts,
            factor: times,
            fraction: part,
            ..
        } = &self.scenario.faults[number];
        let Some(tier) = self.scenario.tiers.iter().position(|known| known.name == *tier) else { return };
        let of: Vec<usize> = (0..self.servers.len()).filter(|srv| self.servers[*srv].tier == tier).collect();
        match what {
            FaultKind::SiteLost if begins => self.unreachable_sites.push((tier, *site)),
            FaultKind::SiteLost => self.unreachable_sites.retain(|lost| *lost != (tier, *site)),
            FaultKind::FastErrors => {
                of.iter().take(*srvs).for_each(|srv| self.servers[*srv].failing_fast = begins)
            }
            FaultKind::Pause if begins => {
                for srv in of.into_iter().take(*srvs) {
                    let moved = self.servers[srv].queue.pause(now, now + lasts);
                    self.schedule_job_ends(now, moved);
                    self.events.schedule_after(*lasts, Event::ServerResume(srv));
                }
            }
            FaultKind::Deploy if begins => {
                let all = of.len() as u64;
                for (at, srv) in of.into_iter().enumerate() {
                    let from = lasts / all * at as u64;
                    self.events.schedule_after(from, Event::ServerDrain(srv));
                    self.events.schedule_after(from + 4 * S, Event::ServerReplacement(srv));
                }
            }
            FaultKind::FleetCut => {
                let cut = if begins { *srvs } else { 0 };
                if let Some(net) = &mut self.gossip {
                    net.partition(cut);
                }
            }
            FaultKind::Drain => {
                for srv in of.into_iter().take(*srvs) {
                    self.servers[srv].draining = begins;
                    self.announce_endpoint(
                        srv,
                        if begins { EndpointState::Draining } else { EndpointState::Up },
                        None,
                    );
                }
            }
            FaultKind::Slow => self.slowdown[tier] = if begins { *times } else { 1.0 },
            FaultKind::Resets => self.reset_fraction[tier] = if begins { *part } else { 0.0 },
            FaultKind::ListDown if begins => self.list_down_until = now + lasts,
            FaultKind::Burst => self.load_factor = if begins { *times } else { 1.0 },
            FaultKind::Crash if begins && tier == 0 => {
                for instance in 0..(*srvs).min(self.scenario.clients.instances) {
                    self.events.schedule_after(
                        lasts / (*srvs as u64) * instance as u64,
                        Event::InstanceCrash(instance),
                    );
                }
            }
            FaultKind::Pause | FaultKind::Deploy | FaultKind::ListDown | FaultKind::Crash => {}
        }
    }

    /// A srv's process ends with all that it holds, and another one takes its place.
    fn replace_server(&mut self, now: Nanos, srv: usize) {
        let tier = &self.scenario.tiers[self.servers[srv].tier];
        let held: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| job.srv == srv).map(|(job, _)| *job).collect();
        for job in held {
            if let Some(job) = self.jobs.remove(&job) {
                self.send_response(srv, job.key, job.number, DispatchOutcome::Reset);
            }
        }
        let srv_ = &mut self.servers[srv];
        (srv_.queue, srv_.started, srv_.draining) = (ServiceQueue::new(tier.queue_config(), now), now, false);
        srv_.slow_start_until = now + tier.slow_start.map_or(0, |cold| cold.duration);
        self.announce_endpoint(srv, EndpointState::Up, Some(now));
    }

    fn into_report(mut self) -> SimulationReport {
        let part = |(asked, met): (f64, f64)| if asked > 0.0 { met / asked } else { 1.0 };
        let all = self.utility_by_rule_set.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        self.report.score = part(all);
        let sum = |of: &[(f64, f64)]| of.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        let seconds = &self.utility_by_second[..self.utility_by_second.len() - 1];
        self.report.worst_10s = seconds.windows(10).map(|ten| part(sum(ten))).fold(1.0, f64::min);
        let recovery = |trouble: &ScenarioFault| {
            let (from, to) =
                ((trouble.starts_at / S) as usize, ((trouble.starts_at + trouble.duration) / S) as usize);
            let before = part(sum(seconds.get(..from)?));
            let after = seconds.get(to..)?;
            let good = |three: &[(f64, f64)]| three.iter().all(|second| part(*second) >= 0.97 * before);
            after.windows(3).position(good).map(|seconds| seconds as u64)
        };
        self.report.recovery = self.scenario.faults.iter().map(recovery).collect();
        self.report.propagation = self.propagation.mean_delays();
        if let Some(net) = &self.gossip {
            let seconds = (self.events.now() - START) as f64 / S as f64;
            let all: u64 = net.bytes_sent.iter().sum();
            self.report.fleet_bytes_per_s = all as f64 / seconds / net.node_count() as f64;
        }
        self.report.worst_set = self.utility_by_rule_set.iter().map(|both| part(*both)).fold(1.0, f64::min);
        self.report.sends = self
            .sent_by_tier
            .iter()
            .zip(&self.accepted_by_tier)
            .map(|(sent, taken)| *sent as f64 / (*taken).max(1) as f64)
            .collect();
        let line = |breach: &RuleViolation| {
            let RuleViolation { rule, at, key, description: what } = breach;
            format!(
                "rule {rule} at {:.3} s, req {} of instance {}: {what}",
                (at - START) as f64 / 1e9,
                key.1,
                key.0
            )
        };
        self.report.violations = self.auditor.violations.iter().map(line).collect();
        self.report
    }
}
