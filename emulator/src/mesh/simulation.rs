//! A mesh in simulated time: stewards and attendants, the links, processors and disks between them, what goes on and
//! what goes wrong. It owns what is true of each; a process is told only what would reach it, when it would. The same
//! scenario and seed give the same run. All figures are simulated.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::internal_rpc::{Frame, InternalRequest, InternalResponse, encode};
use ochreshed_consensus::core::{Config, Mutation};
use ochreshed_consensus::messages::{CoreRequest, LeaseKey, LeaseToken, RegisterValue};

use super::audit::Audit;
use super::count::{Books, CAUSES, Cause};
use super::gate::Gate;
use super::hand::{Hand, Note, Out, Step, Timer};
use super::report::{Report, report};
use super::scenario::{Fault, FaultKind, FaultTarget, Scenario};
use super::steward::{Kept, Start, Steward};
use super::watch::{Kind, Watch};
use crate::event_queue::EventQueue;
use crate::random::RandomStream;
use crate::{MS, Nanos, S};

const START: Nanos = 1_000 * S;
/// As in `steward.rs`: a voter of whom nothing was heard for so long may be replaced.
const LOST: Nanos = 5 * S;
const CLAIMS: usize = 200_000;
const ANSWERS: usize = 64 << 20;
/// How long claims are kept.
const KEEP: Nanos = 80 * S;
/// An operator whose configuration was not acknowledged sends it again, and reads it so often.
const OPERATOR: Nanos = 2_500 * MS;
const READS: Nanos = 500 * MS;
/// A repeat is of one of the last so many keys.
const KEYS: usize = 64;

enum Say {
    Request(Box<InternalRequest>),
    Response(InternalResponse),
}

struct Message {
    from: usize,
    to: usize,
    id: u64,
    bytes: u64,
    cause: Cause,
    say: Say,
}

enum Event {
    Arrive(Box<Message>),
    /// The processor has come to it.
    Handle(u64, Box<Message>),
    Timer(usize, u64, Timer),
    Run(usize, u64, Timer),
    Broken(usize, u64),
    Trouble(usize, usize),
    Over(usize),
    Start(usize),
    Configuration,
    Send(u64),
    Read,
    Claim(usize),
    Turn(usize),
    Count,
}

enum Process {
    Steward(Box<Steward>),
    Gate(Box<Gate>),
}

struct Node {
    at: SocketAddr,
    process: Option<Process>,
    life: u64,
    kept: Kept,
    /// Its processor, and its link each way, are free from then on.
    free: Nanos,
    out: Nanos,
    inn: Nanos,
    frozen: Nanos,
    cut: bool,
    books: Books,
}

pub struct Simulation<'a> {
    of: &'a Scenario,
    mutation: Option<Mutation>,
    events: EventQueue<Event>,
    nodes: Vec<Node>,
    /// Calls that wait for a reply: who asks whom.
    open: BTreeMap<u64, (usize, usize)>,
    /// When the last message arrives, by both ends: a connection keeps its order.
    order: BTreeMap<(usize, usize), Nanos>,
    ids: u64,
    net: RandomStream,
    load: RandomStream,
    keys: VecDeque<LeaseKey>,
    sheets: Vec<Arc<RegisterValue>>,
    audit: Audit,
    watch: Watch,
    handled: u64,
    claims: [u64; 3],
    claim_ms: Vec<f64>,
}

/// Plays a scenario; `mutation` breaks a rule of the core.
pub fn simulate(scenario: &Scenario, seed: u64, mutation: Option<Mutation>) -> Report {
    let mut simulation = Simulation::new(scenario, seed, mutation);
    let end = START + scenario.warm() + scenario.lasts;
    while let Some(event) = simulation.events.pop_until(end) {
        simulation.handled += 1;
        simulation.happen(event);
    }
    let seconds = scenario.lasts as f64 / 1e9;
    let split = scenario.stewards;
    let of = |nodes: &[Node]| nodes.iter().map(|node| node.books.clone()).collect::<Vec<_>>();
    let (stewards, gates) = simulation.nodes.split_at(split);
    let claims = (simulation.claims, std::mem::take(&mut simulation.claim_ms));
    report(
        scenario,
        seconds,
        (of(stewards), of(gates)),
        &simulation.watch,
        &simulation.audit,
        claims,
        simulation.handled,
    )
}

/// A text that looks like a configuration; a line of it goes with the version.
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
            at: at(number),
            process: None,
            life: 0,
            kept: Kept::default(),
            free: 0,
            out: 0,
            inn: 0,
            frozen: 0,
            cut: false,
            books: Books::default(),
        };
        let mut simulation = Simulation {
            of,
            mutation,
            events: EventQueue::new(START),
            nodes: (0..of.stewards + of.nodes).map(node).collect(),
            open: BTreeMap::new(),
            order: BTreeMap::new(),
            ids: 0,
            net: RandomStream::new(seed, "mesh net"),
            load: RandomStream::new(seed, "mesh load"),
            keys: VecDeque::new(),
            sheets: Vec::new(),
            audit: Audit::default(),
            watch: Watch::default(),
            handled: 0,
            claims: [0; 3],
            claim_ms: Vec::new(),
        };
        for number in 0..simulation.nodes.len() {
            let spread = if number < of.stewards { 200 * MS } else { of.starts() };
            let after = (simulation.load.sample_fraction() * spread as f64) as Nanos;
            simulation.events.schedule_after(after, Event::Start(number));
        }
        simulation.events.schedule_after(S, Event::Configuration);
        simulation.events.schedule_after(READS, Event::Read);
        simulation.events.schedule_after(of.warm(), Event::Count);
        for gate in of.stewards..simulation.nodes.len() {
            for event in [Event::Claim(gate), Event::Turn(gate)] {
                simulation.again(of.starts(), event);
            }
        }
        for (number, trouble) in of.troubles.iter().enumerate() {
            let many = trouble.many(simulation.of_who(trouble.who).len());
            let one_by_one = matches!(trouble.what, FaultKind::Kill | FaultKind::Roll);
            for step in 0..many {
                let within = if one_by_one { trouble.lasts / many as u64 * step as u64 } else { 0 };
                simulation
                    .events
                    .schedule_after(of.warm() + trouble.at + within, Event::Trouble(number, step));
            }
            if !one_by_one {
                simulation.events.schedule_after(of.warm() + trouble.at + trouble.lasts, Event::Over(number));
            }
        }
        simulation
    }

    /// A load's next time.
    fn again(&mut self, from: Nanos, event: Event) {
        let per_s = match event {
            Event::Claim(_) => self.of.claims.per_s,
            _ => self.of.upstreams.turns_per_h / 3_600.0,
        };
        if let Some(gap) = self.load.sample_arrival_gap(per_s) {
            self.events.schedule_after(from + gap, event);
        }
    }

    fn of_who(&self, who: FaultTarget) -> std::ops::Range<usize> {
        match who {
            FaultTarget::Stewards => 0..self.of.stewards,
            FaultTarget::Attendants => self.of.stewards..self.nodes.len(),
        }
    }

    fn node_at(&self, at: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(v4) = at else { return None };
        let [_, tier, high, low] = v4.ip().octets();
        let number = usize::from(high) * 250 + usize::from(low) - 1;
        Some(if tier == 0 { number } else { self.of.stewards + number }).filter(|n| *n < self.nodes.len())
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.nodes[..self.of.stewards].iter().map(|node| node.at).collect()
    }

    fn alive(&self) -> Vec<usize> {
        let gates = self.of.stewards..self.nodes.len();
        gates.filter(|gate| self.nodes[*gate].process.is_some()).collect()
    }

    fn happen(&mut self, event: Event) {
        let now = self.events.now();
        match event {
            Event::Arrive(message) => self.arrive(message),
            Event::Handle(life, message) => self.handle(life, *message),
            Event::Timer(node, life, timer) => self.timer(node, life, timer),
            Event::Run(node, life, timer) => self.run(node, life, timer),
            Event::Broken(node, id) => {
                if self.open.remove(&id).is_some() {
                    self.with(node, |process, hand| match process {
                        Process::Steward(steward) => steward.failed(id, hand),
                        Process::Gate(gate) => gate.failed(id, hand),
                    });
                }
            }
            Event::Trouble(number, step) => self.trouble(number, step),
            Event::Over(number) => {
                let who = self.of.troubles[number].who;
                let range = self.of_who(who);
                self.nodes[range].iter_mut().for_each(|node| node.cut = false);
            }
            Event::Start(node) => self.start(node),
            Event::Configuration => {
                let version = self.sheets.len() as u64 + 1;
                self.sheets.push(Arc::new(RegisterValue::new(version, text(self.of.sheets.bytes, version))));
                let alive = self.alive();
                self.watch.begin(now, Kind::Configuration, 0, (version, 0), alive);
                self.events.schedule_after(0, Event::Send(version));
                self.events.schedule_after(self.of.sheets.every, Event::Configuration);
            }
            Event::Send(version) => {
                let sheet = self.sheets[version as usize - 1].clone();
                if self.audit.floor() < sheet.revision() {
                    self.events.schedule_after(OPERATOR, Event::Send(version));
                    self.operate(CoreRequest::ReplaceConfiguration(sheet));
                }
            }
            Event::Read => {
                self.events.schedule_after(READS, Event::Read);
                self.operate(CoreRequest::ReadConfiguration);
            }
            Event::Claim(node) => {
                self.again(0, Event::Claim(node));
                let key = self.key();
                let token = self.load.sample_below(usize::MAX >> 2) as LeaseToken + 1;
                self.claims[0] += 1;
                self.with(node, |process, hand| {
                    if let Process::Gate(gate) = process {
                        gate.claim(key, token, hand);
                    }
                });
            }
            Event::Turn(node) => {
                self.again(0, Event::Turn(node));
                self.step(node, Step::Drain);
            }
            Event::Count => {
                self.nodes.iter_mut().for_each(|node| node.books.clear());
                self.watch.clear();
            }
        }
    }

    fn key(&mut self) -> LeaseKey {
        if !self.keys.is_empty() && self.load.sample_bool(self.of.claims.repeats) {
            return self.keys[self.load.sample_below(self.keys.len())];
        }
        let key = (self.load.sample_below(usize::MAX) as LeaseKey) << 64
            | self.load.sample_below(usize::MAX) as LeaseKey;
        self.keys.push_back(key);
        if self.keys.len() > KEYS {
            self.keys.pop_front();
        }
        key
    }

    fn operate(&mut self, want: CoreRequest) {
        let steward = self.load.sample_below(self.of.stewards);
        let floor = self.audit.floor();
        self.with(steward, |process, hand| {
            if let Process::Steward(steward) = process {
                steward.operator(want, floor, hand);
            }
        });
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let seeds = self.seeds();
        let (at, life) = (self.nodes[node].at, self.nodes[node].life);
        let mut hand = Hand { now: self.events.now(), ids: self.ids, out: Vec::new() };
        let process = if node < self.of.stewards {
            let seed = self.load.sample_below(usize::MAX) as u64;
            let voters = 2 * self.of.tolerate + 1;
            let config = Config {
                lease_ttl: KEEP,
                member_timeout: LOST,
                target_members: voters,
                max_leases: CLAIMS,
                max_response_bytes: ANSWERS,
                tolerated_zone_losses: 0,
                zone: String::new(),
            };
            // The first ones begin as the first view; others are spares that it takes in.
            let first = life == 0 && node < voters;
            let kept = self.nodes[node].kept.clone();
            let seeds = &seeds[..voters];
            let start = Start { at, seeds, first, kept, config, seed, mutation: self.mutation };
            Process::Steward(Box::new(Steward::start(start, &mut hand)))
        } else {
            let service = format!("svc-{:02}", (node - self.of.stewards) % self.of.upstreams.services);
            let many = (self.of.tolerate + 1).max(2);
            self.audit.born(node);
            self.watch.back(node);
            Process::Gate(Box::new(Gate::start(at, &seeds, service, many, self.of.claims.answer, &mut hand)))
        };
        self.nodes[node].process = Some(process);
        self.carry_out(node, hand);
    }

    fn kill(&mut self, node: usize, down: Nanos) {
        let Some(process) = self.nodes[node].process.take() else { return };
        let now = self.events.now();
        self.nodes[node].life += 1;
        if let Process::Steward(steward) = process {
            self.nodes[node].kept = steward.kept;
        } else {
            self.watch.dead(now, node);
            let alive = self.alive();
            self.watch.begin(now, Kind::Dead, node, (0, 0), alive);
        }
        // Its system closes its connections.
        let broken: Vec<(u64, usize)> =
            self.open.iter().filter(|(_, (_, to))| *to == node).map(|(id, (from, _))| (*id, *from)).collect();
        for (id, from) in broken {
            let after = self.of.link.delay.sample(&mut self.net);
            self.events.schedule_after(after, Event::Broken(from, id));
        }
        self.open.retain(|_, (from, _)| *from != node);
        self.events.schedule_after(down.max(MS), Event::Start(node));
    }

    fn trouble(&mut self, number: usize, step: usize) {
        let trouble: &Fault = &self.of.troubles[number];
        let node = self.of_who(trouble.who).start + step;
        match trouble.what {
            FaultKind::Kill => self.kill(node, trouble.down),
            FaultKind::Roll if node < self.of.stewards => self.kill(node, trouble.down),
            FaultKind::Roll => {
                if let Some(Process::Gate(gate)) = &mut self.nodes[node].process {
                    gate.leaves = true;
                }
                self.step(node, Step::Drain);
            }
            FaultKind::Cut => self.nodes[node].cut = true,
            FaultKind::Freeze => {
                let until = self.events.now() + trouble.lasts;
                self.nodes[node].frozen = until;
                self.nodes[node].free = self.nodes[node].free.max(until);
            }
        }
    }

    fn step(&mut self, node: usize, step: Step) {
        if step == Step::Kill {
            let down = self.of.troubles.iter().find(|trouble| trouble.what == FaultKind::Roll);
            self.kill(node, down.map_or(S, |trouble| trouble.down));
            return;
        }
        let cold = self.of.upstreams.cold;
        self.with(node, |process, hand| {
            if let Process::Gate(gate) = process {
                gate.step(step, cold, hand);
            }
        });
    }

    /// The time at which a node's processor has done this too, and what else it has.
    fn work(&mut self, node: usize, cause: Cause, takes: Nanos) -> Nanos {
        let share = match node < self.of.stewards {
            true => self.of.processor.steward_share,
            false => self.of.processor.attendant_share,
        };
        let now = self.events.now();
        let node = &mut self.nodes[node];
        let from = node.free.max(now);
        if node.frozen <= now {
            node.books.wait = node.books.wait.max(from - now);
        }
        node.books.work(now, cause, takes);
        node.free = from + (takes as f64 / share) as Nanos;
        node.free
    }

    fn price(&self, bytes: u64) -> Nanos {
        self.of.processor.message + self.of.processor.kib * bytes / 1_024
    }

    fn send(&mut self, from: usize, to: usize, id: u64, cause: Cause, say: Say) {
        let frame = match &say {
            Say::Request(ask) => encode(&Frame { id, payload: &**ask }),
            Say::Response(reply) => encode(&Frame { id, payload: reply }),
        };
        let Some(frame) = frame else { return };
        let bytes = frame.len() as u64 + self.of.link.head;
        let done = self.work(from, cause, self.price(bytes));
        let now = self.events.now();
        self.nodes[from].books.message(now, cause, bytes, true);
        if self.nodes[from].cut != self.nodes[to].cut {
            return;
        }
        let takes = (bytes as f64 * 8e3 / self.of.link.mbit) as Nanos;
        self.nodes[from].out = self.nodes[from].out.max(done) + takes;
        let mut at = self.nodes[from].out + self.of.link.delay.sample(&mut self.net);
        if self.net.sample_bool(self.of.link.loss) {
            at += self.of.link.again;
        }
        let last = self.order.entry((from, to)).or_default();
        at = at.max(*last);
        *last = at;
        self.events.schedule_at(at, Event::Arrive(Box::new(Message { from, to, id, bytes, cause, say })));
    }

    fn arrive(&mut self, message: Box<Message>) {
        let (now, to) = (self.events.now(), message.to);
        if self.nodes[to].process.is_none() {
            // Its system says that nobody is there.
            if matches!(message.say, Say::Request(_)) && message.id != 0 {
                let after = self.of.link.delay.sample(&mut self.net);
                self.events.schedule_after(after, Event::Broken(message.from, message.id));
            }
            return;
        }
        let takes = (message.bytes as f64 * 8e3 / self.of.link.mbit) as Nanos;
        self.nodes[to].inn = self.nodes[to].inn.max(now) + takes;
        self.nodes[to].books.message(now, message.cause, message.bytes, false);
        self.nodes[to].books.wake(message.cause, 1);
        let done = self.work(to, message.cause, self.price(message.bytes)).max(self.nodes[to].inn);
        let life = self.nodes[to].life;
        self.events.schedule_at(done, Event::Handle(life, message));
    }

    fn handle(&mut self, life: u64, message: Message) {
        let Message { from, to, id, cause, say, .. } = message;
        if self.nodes[to].life != life {
            return;
        }
        match say {
            Say::Request(ask) => self.with(to, |process, hand| {
                if let Process::Steward(steward) = process {
                    steward.ask(from, id, *ask, cause, hand);
                }
            }),
            Say::Response(reply) => {
                if self.open.remove(&id).is_none() {
                    return;
                }
                self.with(to, |process, hand| match (process, reply) {
                    (Process::Gate(gate), reply) => {
                        gate.replied(id, reply, hand);
                    }
                    (Process::Steward(steward), InternalResponse::Watch(reply)) => {
                        steward.replied(id, &reply, hand);
                    }
                    _ => {}
                });
            }
        }
    }

    /// A timer goes off; the processor comes to it when it has done what it has.
    fn timer(&mut self, node: usize, life: u64, timer: Timer) {
        if self.nodes[node].life != life || self.nodes[node].process.is_none() {
            return;
        }
        // A call that was answered waits no more.
        if let Timer::Late(id) = timer
            && !self.open.contains_key(&id)
        {
            return;
        }
        let now = self.events.now();
        self.nodes[node].books.wake(Cause::Clock, 1);
        let busy = self.nodes[node].free > now;
        let done = self.work(node, Cause::Clock, self.of.processor.wake);
        if busy {
            self.events.schedule_at(done, Event::Run(node, life, timer));
        } else {
            self.run(node, life, timer);
        }
    }

    fn run(&mut self, node: usize, life: u64, timer: Timer) {
        if self.nodes[node].life != life {
            return;
        }
        if let Timer::Late(id) = timer
            && self.open.remove(&id).is_none()
        {
            return;
        }
        if let Timer::Turn(step) = timer {
            self.step(node, step);
            return;
        }
        self.with(node, |process, hand| match process {
            Process::Steward(steward) => steward.timer(timer, hand),
            Process::Gate(gate) => gate.timer(timer, hand),
        });
    }

    /// Lets a node's process, if it runs, do something, and carries out what it asks for.
    fn with(&mut self, node: usize, act: impl FnOnce(&mut Process, &mut Hand)) {
        let mut hand = Hand { now: self.events.now(), ids: self.ids, out: Vec::new() };
        if let Some(process) = &mut self.nodes[node].process {
            act(process, &mut hand);
            self.carry_out(node, hand);
        }
    }

    fn carry_out(&mut self, node: usize, hand: Hand) {
        self.ids = hand.ids;
        let life = self.nodes[node].life;
        for out in hand.out {
            match out {
                Out::Request { to, id, ask, follows } => {
                    let Some(to) = self.node_at(to) else { continue };
                    let cause = Cause::of_ask(&ask, follows);
                    if id != 0 {
                        self.open.insert(id, (node, to));
                    }
                    self.send(node, to, id, cause, Say::Request(ask));
                }
                Out::Response { to, id, reply, ask } => {
                    let cause = Cause::of_reply(&reply, ask);
                    self.send(node, to, id, cause, Say::Response(reply));
                }
                Out::After(after, timer) => {
                    self.events.schedule_after(after, Event::Timer(node, life, timer))
                }
                Out::Turn(timer) => {
                    let at = self.nodes[node].free;
                    self.events.schedule_at(at, Event::Run(node, life, timer));
                }
                Out::Sync => {
                    let takes = self.of.sync.sample(&mut self.net);
                    self.events.schedule_after(takes, Event::Timer(node, life, Timer::Synced));
                }
                Out::Rows(cause, many) => {
                    self.work(node, cause, self.of.processor.row * many as u64);
                }
                Out::Readers(many) => {
                    self.nodes[node].books.wake(Cause::Rows, many);
                    self.work(node, Cause::Rows, self.of.processor.reader * many as u64);
                }
                Out::Note(note) => self.note(node, note),
            }
        }
    }

    fn note(&mut self, node: usize, note: Note) {
        let now = self.events.now();
        match note {
            Note::Replaced(rank, true) => self.audit.acknowledged(rank),
            Note::Replaced(_, false) => {}
            Note::Read { floor, found } => self.audit.read(now, floor, found),
            Note::InForce(rank) => {
                self.audit.sheet(now, node, rank);
                self.watch.told(now, Kind::Configuration, 0, node, (rank.version, 0));
            }
            Note::Row(door, rank) => {
                if let Some(about) = self.node_at(door) {
                    self.audit.row(now, node, about - self.of.stewards, rank);
                    self.watch.told(now, Kind::Drain, about, node, (rank.incarnation, rank.sequence));
                }
            }
            Note::Quiet => {
                if let Some(Process::Gate(gate)) = &self.nodes[node].process {
                    let nodes = &self.nodes;
                    self.watch.quiet(now, node, |about| gate.holds_quiet(&nodes[about].at));
                }
            }
            Note::Draining(rank) => {
                let alive = self.alive().into_iter().filter(|gate| *gate != node).collect();
                self.watch.begin(now, Kind::Drain, node, (rank.incarnation, rank.sequence), alive);
            }
            Note::Granted(key, token, took, claim) => {
                self.claims[1] += 1;
                self.claim_ms.push(took as f64 / 1e6);
                self.audit.granted(now, key, token);
                let run = self.of.claims.run.sample(&mut self.load);
                let life = self.nodes[node].life;
                self.events.schedule_after(run, Event::Timer(node, life, Timer::Ran(claim)));
            }
            Note::Freed(key, token) => self.audit.freed(key, token),
            Note::Unsure => self.claims[2] += 1,
        }
    }
}

const _: () = assert!(CAUSES.len() == Cause::Clock as usize + 1);
