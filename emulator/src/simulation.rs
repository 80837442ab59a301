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

use crate::audit::{Answer, Audit, Breach, Key};
use crate::event_queue::Events;
use crate::gossip_network::{Due, Effect, Heeded, HeededAfter, Net};
use crate::random::RandomStream;
use crate::routing::{Chooser, RoutingPolicy, Seat};
use crate::scenario::{FaultKind, RuleSet, Scenario, ScenarioFault};
use crate::service_queue::{Admission, ServiceQueue};
use crate::{MS, Nanos, S};

const START: Nanos = 1_000 * S;
/// What a client's req needs at least of its time to be sent at all.
const LITTLE: Nanos = MS;

enum Event {
    Client,
    /// A client tries, for the first time or again.
    Try {
        call: usize,
        try_number: u32,
    },
    Left(Key),
    Wake(usize),
    Reach {
        key: Key,
        number: usize,
        srv: usize,
    },
    GiveUp {
        key: Key,
        number: usize,
    },
    WorkEnd {
        job: u64,
        ends: Nanos,
    },
    Back {
        key: Key,
        number: usize,
        how: DispatchOutcome,
    },
    News {
        instance: usize,
        version: u64,
        entry: ListedEndpoint,
    },
    Fleet(Due),
    Trouble(usize, bool),
    Drain(usize),
    Replace(usize),
    Unpause(usize),
    Crash(usize),
    Books,
}

struct Instance {
    chooser: Box<dyn Chooser>,
    tier: usize,
    site: usize,
    wake: Nanos,
}

struct Srv {
    name: Name,
    tier: usize,
    site: usize,
    station: ServiceQueue,
    /// Its process: jobs of an earlier one are lost.
    started: Nanos,
    cold_until: Nanos,
    draining: bool,
    failing_fast: bool,
    /// The instance it calls the next tier through.
    below: Option<usize>,
}

struct Call {
    set: usize,
    born: Nanos,
}

/// Who waits for a req's answer: a client's call, or a job at a srv.
#[derive(Clone, Copy)]
enum Caller {
    Client { call: usize, try_number: u32 },
    Job { key: Key, number: usize, srv: usize },
}

struct Under {
    caller: Caller,
    set: usize,
    ends: Nanos,
    /// The dispatch that is out: its number, srv and time.
    out: Option<(usize, usize, Nanos)>,
}

struct Job {
    key: Key,
    number: usize,
    srv: usize,
    ends: Nanos,
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
    pub heeded: HeededAfter,
    /// Bytes a second that a balancer sends to others.
    pub fleet_bytes_per_s: f64,
    pub events: u64,
    pub breaches: Vec<String>,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: RoutingPolicy,
    events: Events<Event>,
    instances: Vec<Instance>,
    srvs: Vec<Srv>,
    names: BTreeMap<Name, usize>,
    calls: Vec<Call>,
    under: BTreeMap<Key, Under>,
    jobs: BTreeMap<u64, Job>,
    lost: Vec<(usize, usize)>,
    /// By tier, how many times as long work takes, and the part of answers that is lost.
    slow: Vec<f64>,
    resets: Vec<f64>,
    list_down_until: Nanos,
    /// Discovery's version.
    version: u64,
    fleet: Option<Net>,
    heeded: Heeded,
    burst: f64,
    audit: Audit,
    next_id: u64,
    arrivals: RandomStream,
    work: RandomStream,
    net: RandomStream,
    fate: RandomStream,
    seed: u64,
    taken: Vec<u64>,
    sent: Vec<u64>,
    /// Utility asked and answered in time by the second it was asked in, and by rule set.
    by_time: Vec<(f64, f64)>,
    by_set: Vec<(f64, f64)>,
    result: SimulationReport,
}

/// Plays a day.
pub fn simulate(scenario: &Scenario, policy: RoutingPolicy, seed: u64) -> SimulationReport {
    Simulation::new(scenario, policy, seed).run().0
}

/// Plays a day and tells the life of one req of it, by the number that it has at its instance.
pub fn trace_request(scenario: &Scenario, policy: RoutingPolicy, seed: u64, id: u64) -> Vec<String> {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.audit.traced = Some(id);
    let lines = simulation.run().1.into_iter();
    lines.map(|(at, what)| format!("{:.3} s  {what}", (at - START) as f64 / 1e9)).collect()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: RoutingPolicy, seed: u64) -> Simulation<'a> {
        let mut simulation = Simulation {
            scenario,
            policy,
            events: Events::new(START),
            instances: Vec::new(),
            srvs: Vec::new(),
            names: BTreeMap::new(),
            calls: Vec::new(),
            under: BTreeMap::new(),
            jobs: BTreeMap::new(),
            lost: Vec::new(),
            slow: vec![1.0; scenario.tiers.len()],
            resets: vec![0.0; scenario.tiers.len()],
            list_down_until: 0,
            version: 1,
            fleet: None,
            heeded: Heeded::default(),
            burst: 1.0,
            audit: Audit::default(),
            next_id: 0,
            arrivals: RandomStream::new(seed, "arrivals"),
            work: RandomStream::new(seed, "work"),
            net: RandomStream::new(seed, "net"),
            fate: RandomStream::new(seed, "fate"),
            seed,
            taken: vec![0; scenario.tiers.len()],
            sent: vec![0; scenario.tiers.len()],
            by_time: vec![(0.0, 0.0); (scenario.duration / S) as usize + 1],
            by_set: vec![(0.0, 0.0); scenario.rule_sets.len()],
            result: SimulationReport::default(),
        };
        for me in 0..scenario.clients.instances {
            let seat = Seat { tier: 0, me, instances: scenario.clients.instances };
            simulation.instance(seat, me % scenario.tiers[0].site_count);
        }
        for (at, tier) in scenario.tiers.iter().enumerate() {
            for number in 0..tier.server_count {
                let site = number % tier.site_count;
                let name: Name = format!("{}-{number:04}", tier.name).into();
                let seat = Seat { tier: at + 1, me: number, instances: tier.server_count };
                let below = (at + 1 < scenario.tiers.len()).then(|| simulation.instance(seat, site));
                simulation.names.insert(name.clone(), simulation.srvs.len());
                simulation.srvs.push(Srv {
                    name,
                    tier: at,
                    site,
                    // Those that stand at the start are warm.
                    station: ServiceQueue::new(tier.queue_config(), 0),
                    started: START,
                    cold_until: 0,
                    draining: false,
                    failing_fast: false,
                    below,
                });
            }
        }
        simulation.fleet = scenario.gossip.clone().map(|fleet| {
            let sites = scenario.tiers[0].site_count;
            Net::new(fleet, seed, scenario.clients.instances, sites, START)
        });
        for instance in 0..simulation.instances.len() {
            simulation.first_list(START, instance);
        }
        simulation
    }

    /// The list as it stood at the day's start.
    fn first_list(&mut self, now: Nanos, instance: usize) {
        let tier = self.instances[instance].tier;
        let of = self.srvs.iter().filter(|srv| srv.tier == tier);
        let entries: Vec<ListedEndpoint> = of.map(|srv| self.entry(srv, EndpointState::Up, None)).collect();
        self.instances[instance].chooser.list(now, &entries);
        if let Some(net) = self.fleet.as_mut().filter(|net| instance < net.instances()) {
            let effects = net.began(now, instance, &entries);
            self.carry(now, effects);
        }
    }

    /// Carries out what the balancers' machines want.
    fn carry(&mut self, now: Nanos, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Later(at, due) => self.events.at(at, Event::Fleet(due)),
                Effect::News(instance, entries) => {
                    for entry in &entries {
                        let leaves = entry.state != EndpointState::Up;
                        self.audit.told(now, instance, &entry.name, leaves);
                        if leaves {
                            self.heeded.note_last(now, instance, &entry.name);
                        }
                    }
                    self.instances[instance].chooser.list(now, &entries);
                    self.settle(instance);
                }
                Effect::Counted { instance, srv, set, counts } => {
                    let outcomes = [
                        (DispatchOutcome::Done, counts.succeeded),
                        (DispatchOutcome::Error, counts.failed),
                        (DispatchOutcome::Reset, counts.lost),
                    ];
                    for (how, times) in outcomes {
                        self.instances[instance].chooser.others(now, &srv, &set, how, times);
                    }
                    self.settle(instance);
                }
            }
        }
    }

    /// A balancer's process ends with all it holds; the next one starts with an old list and hears the news later.
    fn crash(&mut self, now: Nanos, instance: usize) {
        self.audit.crashed(now, instance);
        self.under.retain(|key, _| key.0 != instance);
        let tier = self.instances[instance].tier;
        let seat = Seat { tier, me: instance, instances: self.scenario.clients.instances };
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add((instance + 1_000_000) as u64);
        self.instances[instance].chooser = self.policy.build_router(now, seed, self.scenario, seat);
        self.instances[instance].wake = Nanos::MAX;
        if let Some(net) = self.fleet.as_mut().filter(|net| instance < net.instances()) {
            let effects = net.crash(now, instance);
            self.carry(now, effects);
        }
        self.first_list(now, instance);
        let from = self.list_down_until.max(now);
        for srv in 0..self.srvs.len() {
            if self.srvs[srv].tier == tier {
                let state = if self.srvs[srv].draining { EndpointState::Draining } else { EndpointState::Up };
                let came_up = Some(self.srvs[srv].started).filter(|at| *at > START);
                let entry = self.entry(&self.srvs[srv], state, came_up);
                let delay = self.scenario.discovery.delay.sample(&mut self.net);
                let version = self.version;
                self.events.at(from + delay, Event::News { instance, version, entry });
            }
        }
        self.settle(instance);
    }

    fn instance(&mut self, seat: Seat, site: usize) -> usize {
        let number = self.instances.len();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let chooser = self.policy.build_router(START, seed, self.scenario, seat);
        self.instances.push(Instance { chooser, tier: seat.tier, site, wake: Nanos::MAX });
        number
    }

    fn entry(&self, srv: &Srv, state: EndpointState, came_up: Option<Nanos>) -> ListedEndpoint {
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
        self.events.at(START, Event::Client);
        self.events.at(START + S, Event::Books);
        for (number, trouble) in self.scenario.faults.iter().enumerate() {
            self.events.at(START + trouble.starts_at, Event::Trouble(number, true));
            self.events.at(START + trouble.starts_at + trouble.duration, Event::Trouble(number, false));
        }
        while let Some(event) = self.events.next(last) {
            self.result.events += 1;
            self.happen(event, ends);
        }
        self.audit.close(last + S, true);
        let trace = std::mem::take(&mut self.audit.trace);
        (self.finish(), trace)
    }

    fn happen(&mut self, event: Event, ends: Nanos) {
        let now = self.events.now();
        match event {
            Event::Client => {
                if now < ends {
                    self.client(now);
                    if let Some(gap) =
                        self.arrivals.sample_arrival_gap(self.scenario.clients.requests_per_s * self.burst)
                    {
                        self.events.after(gap, Event::Client);
                    }
                }
            }
            Event::Try { call, try_number } => self.attempt(now, call, try_number),
            Event::Left(key) => {
                if self.under.contains_key(&key) {
                    self.instances[key.0].chooser.left(now, key.1);
                    self.settle(key.0);
                    // What is out is closed, and the instance hears so: else it would count as out for ever.
                    if let Some((number, ..)) = self.under.get(&key).and_then(|under| under.out) {
                        self.back(now, key, number, DispatchOutcome::Cancelled);
                    }
                    self.under.remove(&key);
                }
            }
            Event::Wake(instance) => {
                if self.instances[instance].wake <= now {
                    self.instances[instance].wake = Nanos::MAX;
                    self.settle(instance);
                }
            }
            Event::Reach { key, number, srv } => self.reach(now, key, number, srv),
            Event::GiveUp { key, number } => self.back(now, key, number, DispatchOutcome::TimedOut),
            Event::WorkEnd { job, ends } => {
                if self.jobs.get(&job).is_some_and(|job| job.ends == ends) {
                    self.work_ends(now, job);
                }
            }
            Event::Back { key, number, how } => self.back(now, key, number, how),
            Event::News { instance, version, entry } => {
                if instance < self.scenario.clients.instances && entry.state != EndpointState::Up {
                    self.heeded.note(now, instance, &entry.name, version);
                }
                let (entry, effects) = match self.fleet.as_mut().filter(|net| instance < net.instances()) {
                    Some(net) => net.listed(now, instance, version, entry),
                    None => (entry, Vec::new()),
                };
                self.audit.told(now, instance, &entry.name, entry.state != EndpointState::Up);
                self.instances[instance].chooser.list(now, &[entry]);
                self.settle(instance);
                self.carry(now, effects);
            }
            Event::Fleet(due) => {
                if let Some(net) = &mut self.fleet {
                    let effects = net.happen(now, due);
                    self.carry(now, effects);
                }
            }
            Event::Trouble(number, begins) => self.trouble(now, number, begins),
            Event::Drain(srv) => {
                self.srvs[srv].draining = true;
                self.tell(srv, EndpointState::Draining, None);
            }
            Event::Replace(srv) => self.replace(now, srv),
            Event::Unpause(srv) => {
                let started = self.srvs[srv].station.start_waiting_jobs(now);
                self.started(now, started);
            }
            Event::Crash(instance) => self.crash(now, instance),
            Event::Books => {
                self.audit.close(now, false);
                if now < ends {
                    self.events.after(S, Event::Books);
                }
            }
        }
    }

    fn set(&self, set: usize) -> &'a RuleSet {
        &self.scenario.rule_sets[set]
    }

    fn client(&mut self, now: Nanos) {
        let all: f64 = self.scenario.rule_sets.iter().map(|set| set.traffic_weight).sum();
        let mut left = self.arrivals.sample_fraction() * all;
        let set = self.scenario.rule_sets.iter().position(|set| {
            left -= set.traffic_weight;
            left < 0.0
        });
        let set = set.unwrap_or(0);
        let utility = self.set(set).utility;
        self.result.asked += 1;
        self.by_time[((now - START) / S) as usize].0 += utility;
        self.by_set[set].0 += utility;
        self.calls.push(Call { set, born: now });
        self.attempt(now, self.calls.len() - 1, 0);
    }

    fn attempt(&mut self, now: Nanos, call: usize, try_number: u32) {
        let instance = self.arrivals.sample_below(self.scenario.clients.instances);
        let set = self.calls[call].set;
        let ends = now + self.set(set).client_timeout;
        self.take(now, instance, set, ends, Caller::Client { call, try_number });
    }

    fn take(&mut self, now: Nanos, instance: usize, set: usize, ends: Nanos, caller: Caller) {
        self.next_id += 1;
        let (key, rule_set) = ((instance, self.next_id), self.set(set));
        self.taken[self.instances[instance].tier] += 1;
        self.audit.taken(now, key, ends, rule_set.effect, rule_set.dedup_window);
        self.under.insert(key, Under { caller, set, ends, out: None });
        self.events.at(ends + MS, Event::Left(key));
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
        self.instances[instance].chooser.take(now, req);
        self.settle(instance);
    }

    /// Has an instance do what is due, and carries it out.
    fn settle(&mut self, instance: usize) {
        let now = self.events.now();
        let next = self.instances[instance].chooser.settle(now).max(now + 1);
        if next < self.instances[instance].wake && next < Nanos::MAX {
            self.instances[instance].wake = next;
            self.events.at(next, Event::Wake(instance));
        }
        for act in self.instances[instance].chooser.acts() {
            match act {
                Action::Send {
                    request_id: id,
                    dispatch_index: number,
                    endpoint: srv,
                    give_up_at: give_up,
                } => self.send(now, (instance, id), number, &srv, give_up),
                Action::CancelDispatch { request_id: id, dispatch_index: number } => {
                    self.back(now, (instance, id), number, DispatchOutcome::Cancelled)
                }
                Action::Deny { request_id: id, .. } => self.answer(now, (instance, id), Answer::Denied),
                Action::Abort { request_id: id } => self.answer(now, (instance, id), Answer::Aborted),
                Action::WatchEndpoints
                | Action::FetchEndpoints
                | Action::Probe(_)
                | Action::CloseIdleConnections(_)
                | Action::Log(_) => {}
            }
        }
    }

    fn cut(&self, site: usize, srv: usize) -> bool {
        let (tier, other) = (self.srvs[srv].tier, self.srvs[srv].site);
        site != other && self.lost.contains(&(tier, other))
    }

    fn delay(&mut self, site: usize, srv: usize) -> Nanos {
        let network = &self.scenario.network;
        let way = if site == self.srvs[srv].site { &network.within_site } else { &network.between_sites };
        way.sample(&mut self.net)
    }

    fn send(&mut self, now: Nanos, key: Key, number: usize, name: &Name, give_up: Nanos) {
        let Some(srv) = self.names.get(name).copied() else { return };
        self.audit.dispatched(now, key, number, name);
        let Some(under) = self.under.get_mut(&key) else { return };
        under.out = Some((number, srv, now));
        self.sent[self.instances[key.0].tier] += 1;
        self.events.at(give_up, Event::GiveUp { key, number });
        let site = self.instances[key.0].site;
        if !self.cut(site, srv) {
            let delay = self.delay(site, srv);
            self.events.after(delay, Event::Reach { key, number, srv });
        }
    }

    fn reach(&mut self, now: Nanos, key: Key, number: usize, srv: usize) {
        let Some(under) = self.under.get(&key).filter(|under| under.out.is_some_and(|out| out.0 == number))
        else {
            // Given up on the way.
            return;
        };
        let (ends, tier) = (under.ends, &self.scenario.tiers[self.srvs[srv].tier]);
        let work = (tier.work_time.sample(&mut self.work) as f64 * self.slow[self.srvs[srv].tier]) as Nanos;
        if self.srvs[srv].failing_fast {
            self.audit.ran(now, key, &self.srvs[srv].name);
            return self.reply(srv, key, number, DispatchOutcome::Error);
        }
        if now < self.srvs[srv].cold_until {
            let speed = self.srvs[srv].station.speed_at(now);
            let (name, can) = (self.srvs[srv].name.clone(), tier.slots as f64 * speed);
            self.audit.cold(now, key, &name, work as f64 / 1e9, can);
        }
        if now >= ends {
            return;
        }
        self.next_id += 1;
        let job = self.next_id;
        match self.srvs[srv].station.submit(now, job, work) {
            Admission::Rejected => self.reply(srv, key, number, DispatchOutcome::Full),
            Admission::Queued => drop(self.jobs.insert(job, Job { key, number, srv, ends: 0 })),
            Admission::Started { ends_at: ends } => {
                self.jobs.insert(job, Job { key, number, srv, ends: 0 });
                self.started(now, vec![(job, ends)]);
            }
        }
    }

    /// Jobs have started, or end at another time than they did.
    fn started(&mut self, now: Nanos, jobs: Vec<(u64, Nanos)>) {
        for (number, ends) in jobs {
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let first = job.ends == 0;
            job.ends = ends;
            let (key, srv) = (job.key, job.srv);
            if first {
                let name = self.srvs[srv].name.clone();
                self.audit.ran(now, key, &name);
            }
            self.events.at(ends, Event::WorkEnd { job: number, ends });
        }
    }

    fn work_ends(&mut self, now: Nanos, number: u64) {
        let Some(Job { key, number: dispatch, srv, .. }) = self.jobs.remove(&number) else { return };
        let started = self.srvs[srv].station.finish_job(now, number);
        self.started(now, started);
        let failing = self.scenario.tiers[self.srvs[srv].tier].failure_fraction;
        if self.fate.sample_bool(self.resets[self.srvs[srv].tier]) {
            return self.reply(srv, key, dispatch, DispatchOutcome::Reset);
        }
        if self.fate.sample_bool(failing) {
            return self.reply(srv, key, dispatch, DispatchOutcome::Error);
        }
        // The call below goes on even where the caller has given up: it can't be told from here.
        match (self.srvs[srv].below, self.under.get(&key).map(|under| (under.set, under.ends))) {
            (Some(below), Some((set, ends))) if now + LITTLE < ends => {
                self.take(now, below, set, ends - LITTLE, Caller::Job { key, number: dispatch, srv });
            }
            (Some(_), _) => self.reply(srv, key, dispatch, DispatchOutcome::Error),
            (None, _) => self.reply(srv, key, dispatch, DispatchOutcome::Done),
        }
    }

    fn reply(&mut self, srv: usize, key: Key, number: usize, how: DispatchOutcome) {
        let site = self.instances[key.0].site;
        if !self.cut(site, srv) {
            let delay = self.delay(site, srv);
            self.events.after(delay, Event::Back { key, number, how });
        }
    }

    /// A dispatch is over for its instance.
    fn back(&mut self, now: Nanos, key: Key, number: usize, how: DispatchOutcome) {
        let Some(under) = self.under.get_mut(&key) else { return };
        let Some((_, srv, sent)) = under.out.take_if(|out| out.0 == number) else { return };
        let set = under.set;
        // The audit trail writes `Cancelled` as "Recalled".
        let text = if how == DispatchOutcome::Cancelled { "Recalled".into() } else { format!("{how:?}") };
        self.audit.ended(now, key, number, &text);
        if !matches!(how, DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full) {
            self.abandon(now, srv, key, number);
        }
        if how == DispatchOutcome::Done {
            self.answer(now, key, Answer::Done);
        }
        self.instances[key.0].chooser.ended(now, key.1, number, how, now - sent);
        self.settle(key.0);
        self.count(now, key.0, srv, set, how);
    }

    /// What the others are told of a dispatch, as the program gathers it.
    fn count(&mut self, now: Nanos, instance: usize, srv: usize, set: usize, how: DispatchOutcome) {
        let counts = match how {
            DispatchOutcome::Done => OutcomeCounts { succeeded: 1, ..OutcomeCounts::default() },
            DispatchOutcome::Error => OutcomeCounts { failed: 1, ..OutcomeCounts::default() },
            DispatchOutcome::NoConnection
            | DispatchOutcome::Reset
            | DispatchOutcome::TimedOut
            | DispatchOutcome::Cancelled => OutcomeCounts { lost: 1, ..OutcomeCounts::default() },
            DispatchOutcome::Full | DispatchOutcome::NotSent | DispatchOutcome::Rejected => return,
        };
        let set = self.set(set).name.as_str();
        if let Some(net) = self.fleet.as_mut().filter(|net| instance < net.instances()) {
            let effects = net.count(now, instance, &self.srvs[srv].name, set, counts);
            self.carry(now, effects);
        }
    }

    /// The connection is closed: a srv notices that for what still waits.
    fn abandon(&mut self, now: Nanos, srv: usize, key: Key, number: usize) {
        let waits = |job: &Job| job.srv == srv && (job.key, job.number, job.ends) == (key, number, 0);
        if let Some(job) = self.jobs.iter().find(|(_, job)| waits(job)).map(|(job, _)| *job) {
            self.jobs.remove(&job);
            let (_, started) = self.srvs[srv].station.cancel_job(now, job);
            self.started(now, started);
        }
    }

    fn answer(&mut self, now: Nanos, key: Key, answer: Answer) {
        self.audit.answered(now, key, answer);
        let Some(Under { caller, .. }) = self.under.remove(&key) else { return };
        match caller {
            Caller::Client { call, try_number } => match answer {
                Answer::Done => self.served(now, call),
                Answer::Denied if try_number < self.scenario.clients.max_retries => {
                    let pause = self.scenario.clients.retry_delay;
                    self.events.after(pause, Event::Try { call, try_number: try_number + 1 });
                }
                _ => {}
            },
            Caller::Job { key, number, srv } => {
                let how = if answer == Answer::Done { DispatchOutcome::Done } else { DispatchOutcome::Error };
                self.reply(srv, key, number, how);
            }
        }
    }

    fn served(&mut self, now: Nanos, call: usize) {
        let Call { set, born } = self.calls[call];
        if now - born > self.set(set).response_target {
            self.result.late += 1;
            return;
        }
        self.result.in_time += 1;
        let utility = self.set(set).utility;
        self.by_time[((born - START) / S) as usize].1 += utility;
        self.by_set[set].1 += utility;
    }

    fn tell(&mut self, srv: usize, state: EndpointState, came_up: Option<Nanos>) {
        self.version += 1;
        let tier = self.srvs[srv].tier;
        for instance in 0..self.instances.len() {
            if self.instances[instance].tier == tier {
                let entry = self.entry(&self.srvs[srv], state, came_up);
                let delay = self.scenario.discovery.delay.sample(&mut self.net);
                let from = self.list_down_until.max(self.events.now());
                let version = self.version;
                self.events.at(from + delay, Event::News { instance, version, entry });
            }
        }
    }

    fn trouble(&mut self, now: Nanos, number: usize, begins: bool) {
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
        let of: Vec<usize> = (0..self.srvs.len()).filter(|srv| self.srvs[*srv].tier == tier).collect();
        match what {
            FaultKind::SiteLost if begins => self.lost.push((tier, *site)),
            FaultKind::SiteLost => self.lost.retain(|lost| *lost != (tier, *site)),
            FaultKind::FastErrors => {
                of.iter().take(*srvs).for_each(|srv| self.srvs[*srv].failing_fast = begins)
            }
            FaultKind::Pause if begins => {
                for srv in of.into_iter().take(*srvs) {
                    let moved = self.srvs[srv].station.pause(now, now + lasts);
                    self.started(now, moved);
                    self.events.after(*lasts, Event::Unpause(srv));
                }
            }
            FaultKind::Deploy if begins => {
                let all = of.len() as u64;
                for (at, srv) in of.into_iter().enumerate() {
                    let from = lasts / all * at as u64;
                    self.events.after(from, Event::Drain(srv));
                    self.events.after(from + 4 * S, Event::Replace(srv));
                }
            }
            FaultKind::FleetCut => {
                let cut = if begins { *srvs } else { 0 };
                if let Some(net) = &mut self.fleet {
                    net.cut(cut);
                }
            }
            FaultKind::Drain => {
                for srv in of.into_iter().take(*srvs) {
                    self.srvs[srv].draining = begins;
                    self.tell(srv, if begins { EndpointState::Draining } else { EndpointState::Up }, None);
                }
            }
            FaultKind::Slow => self.slow[tier] = if begins { *times } else { 1.0 },
            FaultKind::Resets => self.resets[tier] = if begins { *part } else { 0.0 },
            FaultKind::ListDown if begins => self.list_down_until = now + lasts,
            FaultKind::Burst => self.burst = if begins { *times } else { 1.0 },
            FaultKind::Crash if begins && tier == 0 => {
                for instance in 0..(*srvs).min(self.scenario.clients.instances) {
                    self.events.after(lasts / (*srvs as u64) * instance as u64, Event::Crash(instance));
                }
            }
            FaultKind::Pause | FaultKind::Deploy | FaultKind::ListDown | FaultKind::Crash => {}
        }
    }

    /// A srv's process ends with all that it holds, and another one takes its place.
    fn replace(&mut self, now: Nanos, srv: usize) {
        let tier = &self.scenario.tiers[self.srvs[srv].tier];
        let held: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| job.srv == srv).map(|(job, _)| *job).collect();
        for job in held {
            if let Some(job) = self.jobs.remove(&job) {
                self.reply(srv, job.key, job.number, DispatchOutcome::Reset);
            }
        }
        let srv_ = &mut self.srvs[srv];
        (srv_.station, srv_.started, srv_.draining) =
            (ServiceQueue::new(tier.queue_config(), now), now, false);
        srv_.cold_until = now + tier.slow_start.map_or(0, |cold| cold.duration);
        self.tell(srv, EndpointState::Up, Some(now));
    }

    fn finish(mut self) -> SimulationReport {
        let part = |(asked, met): (f64, f64)| if asked > 0.0 { met / asked } else { 1.0 };
        let all = self.by_set.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        self.result.score = part(all);
        let sum = |of: &[(f64, f64)]| of.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        let seconds = &self.by_time[..self.by_time.len() - 1];
        self.result.worst_10s = seconds.windows(10).map(|ten| part(sum(ten))).fold(1.0, f64::min);
        let recovery = |trouble: &ScenarioFault| {
            let (from, to) =
                ((trouble.starts_at / S) as usize, ((trouble.starts_at + trouble.duration) / S) as usize);
            let before = part(sum(seconds.get(..from)?));
            let after = seconds.get(to..)?;
            let good = |three: &[(f64, f64)]| three.iter().all(|second| part(*second) >= 0.97 * before);
            after.windows(3).position(good).map(|seconds| seconds as u64)
        };
        self.result.recovery = self.scenario.faults.iter().map(recovery).collect();
        self.result.heeded = self.heeded.after();
        if let Some(net) = &self.fleet {
            let seconds = (self.events.now() - START) as f64 / S as f64;
            let all: u64 = net.bytes.iter().sum();
            self.result.fleet_bytes_per_s = all as f64 / seconds / net.instances() as f64;
        }
        self.result.worst_set = self.by_set.iter().map(|both| part(*both)).fold(1.0, f64::min);
        self.result.sends = self
            .sent
            .iter()
            .zip(&self.taken)
            .map(|(sent, taken)| *sent as f64 / (*taken).max(1) as f64)
            .collect();
        let line = |breach: &Breach| {
            let Breach { rule, at, key, what } = breach;
            format!(
                "rule {rule} at {:.3} s, req {} of instance {}: {what}",
                (at - START) as f64 / 1e9,
                key.1,
                key.0
            )
        };
        self.result.breaches = self.audit.breaches.iter().map(line).collect();
        self.result
    }
}
