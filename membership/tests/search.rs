//! A search over what can befall two to four members, up to a depth: messages delivered in any order, doubled, held back or
//! lost, a member called while the others are late, one cut off or asleep until the others give it up and the other way
//! round, crashes and starts under the old name, leaving. The members are the package's own. Every invariant has a fault
//! between them, put in by the search, that it catches.
//!
//! Invariants: (1) what a member holds of another never sinks in the order of words while it holds it; (2) nobody holds
//! an incarnation of a live process that this has not said itself; (3) a member that says nothing worse of itself is not
//! displaced by nobody; (4) once messages pass, those that live agree within 30 s on who is there; (5) no message calls forth others without end.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use ochreshed_membership::record::{MemberRecord, MemberState};
use ochreshed_membership::swim::{Destination, Output, Swim, SwimConfig};
use ochreshed_membership::wire::Message;
use ochreshed_membership::{MS, Nanos, S};

/// A fault that the search puts between the members.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// What others say of a suspect takes it for alive anew: as if any member could contradict for another one.
    Contradicted,
    /// Incarnations are lost on the way: nobody can contradict.
    NoIncarnations,
    /// A process that starts anew draws its predecessor's start.
    SameStart,
    /// A copy that knows worse takes whatever arrives last.
    ByArrival,
}

/// Messages that may pass in one moment of all members' clocks.
const MOST_AT_ONCE: usize = 500;

#[derive(Clone)]
struct Under {
    to: usize,
    from: SocketAddr,
    message: Message,
}

#[derive(Clone)]
struct World {
    now: Nanos,
    members: Vec<Option<Swim>>,
    starts: Vec<u64>,
    messages: Vec<Under>,
    /// The greatest word that each has held of each.
    held: Vec<BTreeMap<String, MemberRecord>>,
    /// The greatest incarnation that each process has had.
    own: BTreeMap<u64, u64>,
    crashes: usize,
    left: usize,
    displaced: bool,
    /// Messages called forth messages without end.
    storm: bool,
}

struct Search {
    fault: Fault,
    seen: HashSet<u64>,
    states: usize,
    settled: usize,
    broken: Option<String>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16 + 1))
}

fn name(number: usize) -> String {
    format!("n{number}")
}

impl World {
    fn new(size: usize) -> World {
        let mut world = World {
            now: 0,
            members: vec![None; size],
            starts: (0..size as u64).map(|number| 100 + number).collect(),
            messages: Vec::new(),
            held: vec![BTreeMap::new(); size],
            own: BTreeMap::new(),
            crashes: 0,
            left: 0,
            displaced: false,
            storm: false,
        };
        (0..size).for_each(|number| world.start(number));
        world.run(Fault::None, 5 * S, |_, _| true);
        world
    }

    fn start(&mut self, number: usize) {
        let seeds = (0..self.members.len()).filter(|other| *other != number).map(address).collect();
        let (name, start) = (name(number), self.starts[number]);
        let swim = Swim::new(SwimConfig::default(), &name, address(number), "a", start, seeds, self.now);
        self.members[number] = Some(swim);
        self.held[number].clear();
    }

    /// Takes up what a member wants sent.
    fn drain(&mut self, number: usize) {
        while let Some(output) = self.members[number].as_mut().and_then(Swim::poll_output) {
            match output {
                Output::Send { to, message } => {
                    let to = match to {
                        Destination::Address(address) => usize::from(address.port()) - 1,
                        Destination::Member(name) => name[1..].parse().expect("a number"),
                    };
                    self.messages.push(Under { to, from: address(number), message });
                }
                Output::Displaced { .. } => self.displaced = true,
                _ => {}
            }
        }
    }

    fn tick(&mut self, number: usize) {
        if let Some(swim) = &mut self.members[number] {
            self.now = self.now.max(swim.next_tick_at().min(self.now + S));
            swim.tick(self.now);
        }
        self.drain(number);
    }

    fn deliver(&mut self, fault: Fault, at: usize) {
        let Under { to, from, mut message } = self.messages[at].clone();
        for (named, word) in &mut message.records {
            let own = usize::from(from.port()) - 1;
            if fault == Fault::Contradicted
                && word.state == MemberState::Suspect
                && *named != name(to)
                && *named != name(own)
            {
                (word.state, word.incarnation) = (MemberState::Alive, word.incarnation + 1);
            }
            if fault == Fault::NoIncarnations {
                word.incarnation = 1;
            }
        }
        if let Some(swim) = &mut self.members[to] {
            if fault == Fault::ByArrival {
                // What it held of them is forgotten before the message is heard.
                let start = self.starts[to];
                let others = (0..self.starts.len()).filter(|other| *other != to).map(address).collect();
                let mut anew =
                    Swim::new(SwimConfig::default(), &name(to), address(to), "a", start, others, self.now);
                std::mem::swap(swim, &mut anew);
            }
            swim.receive(self.now, from, &message);
        }
        self.drain(to);
    }

    /// All that are let go on, with each other, for so long; what is sent over a cut stays under way.
    fn run(&mut self, fault: Fault, span: Nanos, through: impl Fn(usize, usize) -> bool) {
        let until = self.now + span;
        let old = std::mem::take(&mut self.messages);
        let (mut held_back, mut passed_now) = (Vec::new(), (self.now, 0));
        loop {
            while !self.messages.is_empty() {
                passed_now =
                    if passed_now.0 == self.now { (self.now, passed_now.1 + 1) } else { (self.now, 1) };
                if passed_now.1 > MOST_AT_ONCE {
                    self.storm = true;
                    return;
                }
                let Under { to, from, .. } = &self.messages[0];
                if through(usize::from(from.port()) - 1, *to) {
                    self.deliver(fault, 0);
                }
                let passed = self.messages.remove(0);
                // A few of those that are held back are enough.
                if !through(usize::from(passed.from.port()) - 1, passed.to) && held_back.len() < 3 {
                    held_back.push(passed);
                }
            }
            let awake = (0..self.members.len()).filter(|number| through(*number, *number));
            let next = awake
                .filter_map(|number| Some((self.members[number].as_ref()?.next_tick_at(), number)))
                .min();
            let Some((at, number)) = next.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            if let Some(swim) = &mut self.members[number] {
                swim.tick(self.now);
            }
            self.drain(number);
        }
        self.now = until;
        self.messages.extend(old);
        self.messages.extend(held_back);
        self.messages.truncate(6);
    }

    /// What is not so any more, if anything.
    fn check(&mut self) -> Option<String> {
        for member in self.members.iter().flatten() {
            let said = self.own.entry(member.own_record().start_id).or_default();
            if member.own_record().incarnation < *said {
                return Some(format!(
                    "{} has sunk to incarnation {}",
                    member.name(),
                    member.own_record().incarnation
                ));
            }
            *said = member.own_record().incarnation;
        }
        for (number, member) in self.members.iter().enumerate() {
            let Some(member) = member else { continue };
            for (of, held) in member.members() {
                let before = self.held[number].get(of);
                if before.is_some_and(|before| held.record < *before) {
                    return Some(format!("n{number} held {before:?} of {of} and now {:?}", held.record));
                }
                self.held[number].insert(of.clone(), held.record.clone());
                let said = self.own.get(&held.record.start_id).copied().unwrap_or(0);
                if held.record.incarnation > said {
                    return Some(format!(
                        "n{number} holds incarnation {} of {of}, who said {said}",
                        held.record.incarnation
                    ));
                }
            }
        }
        if self.storm {
            return Some("messages without end".into());
        }
        self.displaced.then(|| "one is displaced, and there was no other of its name".to_owned())
    }

    /// Whether all that live agree on who is there once messages pass.
    fn settles(&self, fault: Fault) -> Option<String> {
        let mut world = self.clone();
        world.messages.clear();
        let there = |member: &Swim| member.own_record().state.is_live();
        let live = world.members.iter().flatten().filter(|member| there(member)).count();
        world.run(fault, 30 * S, |_, _| true);
        let agree = world
            .members
            .iter()
            .flatten()
            .filter(|member| there(member))
            .all(|member| member.live_members().count() + 1 == live);
        if world.storm {
            return Some("messages without end".into());
        }
        (!agree).then(|| {
            let seen =
                world.members.iter().flatten().map(|member| {
                    format!("{}: {:?}", member.name(), member.live_members().collect::<Vec<_>>())
                });
            format!("{live} live, and 30 s later: {}", seen.collect::<Vec<_>>().join("; "))
        })
    }

    /// All that the next steps depend on but chance and how long ago things were.
    fn key(&self) -> u64 {
        let mut hash = DefaultHasher::new();
        for member in &self.members {
            match member {
                None => 0.hash(&mut hash),
                Some(member) => {
                    (member.own_record(), member.health_score()).hash(&mut hash);
                    for (name, known) in member.members() {
                        (name, &known.record).hash(&mut hash);
                    }
                    (member.next_tick_at().saturating_sub(self.now) / (100 * MS)).hash(&mut hash);
                }
            }
        }
        for under in &self.messages {
            (under.to, under.from, &under.message.body, &under.message.records).hash(&mut hash);
        }
        hash.finish()
    }
}

impl Search {
    fn run(fault: Fault, size: usize, depth: usize) -> Search {
        let mut search = Search { fault, seen: HashSet::new(), states: 0, settled: 0, broken: None };
        search.visit(World::new(size), depth);
        search
    }

    fn visit(&mut self, mut world: World, left: usize) {
        if self.broken.is_some() {
            return;
        }
        self.broken = world.check();
        if self.broken.is_some() || !self.seen.insert(world.key() ^ (left as u64) << 56) {
            return;
        }
        self.states += 1;
        // Each that is over, and some on the way.
        if left == 0 && self.states.is_multiple_of(7) || left > 0 && self.states.is_multiple_of(3) {
            self.settled += 1;
            self.broken = world.settles(self.fault);
        }
        if left == 0 {
            return;
        }
        let (fault, size) = (self.fault, world.members.len());
        let mut next = |change: &dyn Fn(&mut World)| {
            let mut after = world.clone();
            change(&mut after);
            self.visit(after, left - 1);
        };
        next(&|world| world.run(fault, S, |_, _| true));
        for one in 0..size {
            next(&|world| world.tick(one));
            // It neither says nor hears anything, long enough to be given up and to give up all others.
            next(&|world| world.run(fault, 20 * S, |from, to| from == to || (from != one && to != one)));
            // The others hear it no more, but it hears them.
            next(&|world| world.run(fault, 20 * S, |from, to| from == to || from != one));
            // It sleeps, and what was sent to it waits.
            next(&|world| world.run(fault, 20 * S, |from, to| from != one && to != one));
            if world.members[one].is_some() && world.crashes < 2 {
                next(&|world| {
                    world.crashes += 1;
                    world.members[one] = None;
                });
            }
            if world.members[one].is_none() {
                next(&|world| {
                    if fault != Fault::SameStart {
                        world.starts[one] += 10;
                    }
                    world.start(one);
                });
            }
            if world.left == 0 {
                next(&|world| {
                    world.left += 1;
                    let now = world.now;
                    if let Some(swim) = &mut world.members[one] {
                        swim.leave(now);
                    }
                    world.drain(one);
                });
            }
        }
        for at in 0..world.messages.len() {
            // Delivered and under way still: it may come once more, at any time.
            next(&|world| world.deliver(fault, at));
            next(&|world| {
                world.deliver(fault, at);
                world.messages.remove(at);
            });
            next(&|world| drop(world.messages.remove(at)));
        }
    }
}

fn depth() -> usize {
    // Deeper by hand: SEARCH_DEPTH=4.
    std::env::var("SEARCH_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(2)
}

#[test]
fn in_all_orders_words_never_sink_and_those_that_live_agree_once_messages_pass() {
    for size in [2, 3, 4] {
        let search = Search::run(Fault::None, size, depth());
        let Search { states, settled, .. } = search;
        println!(
            "{size} members: {states} states to a depth of {}, {settled} of them run on until all agree",
            depth()
        );
        assert_eq!(search.broken, None);
        assert!(states > 100, "only {states} states");
    }
}

/// Each is caught, and by the invariant that it breaks.
#[test]
fn faults_put_between_the_members_are_caught() {
    for (fault, by) in [
        (Fault::Contradicted, "who said"),
        (Fault::NoIncarnations, "live, and 30 s later"),
        (Fault::SameStart, "has sunk"),
        (Fault::ByArrival, "messages without end"),
    ] {
        let found = (1..5).find_map(|depth| Search::run(fault, 3, depth).broken);
        let found = found.unwrap_or_else(|| panic!("{fault:?} is not caught"));
        assert!(found.contains(by), "{fault:?} is caught by: {found}");
    }
}

/// Guards against two that restarted and hold each other's earlier start: each tells the other one so, without end.
#[test]
fn two_that_hold_each_others_earlier_start_say_so_once() {
    let swim = |number: usize, start| {
        Swim::new(SwimConfig::default(), &name(number), address(number), "a", start, Vec::new(), 0)
    };
    // Both learn of the other one's earlier process, which then ends.
    let (mut one, mut other) = (swim(0, 11), swim(1, 21));
    for (here, there, number) in [(&mut one, swim(1, 20), 1), (&mut other, swim(0, 10), 0)] {
        let sender =
            ochreshed_membership::wire::Sender { name: name(number), start_id: there.own_record().start_id };
        let records = vec![(name(number), there.own_record().clone())];
        let join = ochreshed_membership::wire::MessageBody::Join { padding: vec![0; 1_000] };
        here.receive(0, address(number), &Message { sender, body: join, records, extensions: Vec::new() });
        while here.poll_output().is_some() {}
        assert_eq!(here.live_members().count(), 1);
    }
    let sender = ochreshed_membership::wire::Sender { name: name(1), start_id: 21 };
    let body = ochreshed_membership::wire::MessageBody::Gossip;
    let mut under =
        vec![(0, Message { sender, body, records: Vec::new(), extensions: vec![(99, vec![0; 300])] })];
    let mut said = 0;
    while let Some((to, message)) = under.pop() {
        said += 1;
        assert!(said < 10, "messages without end");
        let (here, from) = if to == 0 { (&mut one, address(1)) } else { (&mut other, address(0)) };
        here.receive(0, from, &message);
        while let Some(output) = here.poll_output() {
            if let Output::Send { message, .. } = output {
                under.push((1 - to, message));
            }
        }
    }
}
