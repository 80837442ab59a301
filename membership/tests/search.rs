//! An exhaustive search, to a given depth, over what can happen to two to four members: messages delivered in any order,
//! twice, late or never; a member that runs while the others' messages wait; one that is cut off or suspended until the
//! others declare it dead, or cut off in one direction; crashes, restarts under the old name, and departures. The members are
//! those of the crate. For every invariant the search injects a fault that breaks it, and must find it.
//!
//! Invariants: (1) a member's record of another, while it keeps one, is only ever superseded by a greater one; (2) nobody
//! holds an incarnation of a live process that this process has not announced; (3) no member is displaced while it is the
//! only one of its name; (4) once messages pass, the live members agree within 30 s on who is live; (5) messages do not cause
//! further messages without end.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use ochreshed_membership::record::{MemberRecord, MemberState};
use ochreshed_membership::swim::{Destination, Output, Swim, SwimConfig};
use ochreshed_membership::wire::{Message, MessageBody, Sender};
use ochreshed_membership::{MS, Nanos, S};

/// A fault that the search injects between the members.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// A suspicion passed on by a third member arrives as a refutation, as if any member could refute it.
    RefutedByOthers,
    /// Incarnations are lost on the way, so that nobody can refute anything.
    NoIncarnations,
    /// A process that restarts draws the same start as its predecessor.
    SameStart,
    /// A member forgets all that it knows before each message.
    ForgetfulMembers,
}

/// More messages than this at one time count as an endless exchange.
const MAX_MESSAGES_AT_ONCE: usize = 500;
/// Messages kept in flight in a state, and those kept of what is sent over a cut.
const MAX_IN_FLIGHT: usize = 6;
const MAX_HELD_BACK: usize = 3;

const ENDLESS_MESSAGES: &str = "messages without end";

#[derive(Clone)]
struct MessageInFlight {
    to: usize,
    from: SocketAddr,
    message: Message,
}

/// A state of the search: the members and the messages in flight between them.
#[derive(Clone)]
struct FleetState {
    now: Nanos,
    members: Vec<Option<Swim>>,
    start_ids: Vec<u64>,
    in_flight: Vec<MessageInFlight>,
    /// The last record that each member held of each other.
    held_records: Vec<BTreeMap<String, MemberRecord>>,
    /// The greatest incarnation that each process has announced, by its start.
    announced_incarnations: BTreeMap<u64, u64>,
    crashes: usize,
    departures: usize,
    has_displaced: bool,
    has_endless_messages: bool,
}

struct Search {
    fault: Fault,
    visited: HashSet<u64>,
    states: usize,
    settled_states: usize,
    violation: Option<String>,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], member as u16 + 1))
}

fn member_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn name(member: usize) -> String {
    format!("n{member}")
}

impl FleetState {
    fn new(size: usize) -> FleetState {
        let mut state = FleetState {
            now: 0,
            members: vec![None; size],
            start_ids: (0..size as u64).map(|member| 100 + member).collect(),
            in_flight: Vec::new(),
            held_records: vec![BTreeMap::new(); size],
            announced_incarnations: BTreeMap::new(),
            crashes: 0,
            departures: 0,
            has_displaced: false,
            has_endless_messages: false,
        };
        (0..size).for_each(|member| state.start(member));
        state.run(Fault::None, 5 * S, |_, _| true);
        state
    }

    fn new_swim(&self, member: usize) -> Swim {
        let seeds = (0..self.members.len()).filter(|other| *other != member).map(address).collect();
        let (name, start_id) = (name(member), self.start_ids[member]);
        Swim::new(SwimConfig::default(), &name, address(member), "a", start_id, seeds, self.now)
    }

    fn start(&mut self, member: usize) {
        self.members[member] = Some(self.new_swim(member));
        self.held_records[member].clear();
    }

    /// Puts a member's messages in flight.
    fn process_outputs(&mut self, member: usize) {
        while let Some(output) = self.members[member].as_mut().and_then(Swim::poll_output) {
            match output {
                Output::Send { to, message } => {
                    let to = match to {
                        Destination::Address(address) => member_at(address),
                        Destination::Member(name) => name[1..].parse().expect("a number"),
                    };
                    self.in_flight.push(MessageInFlight { to, from: address(member), message });
                }
                Output::Displaced { .. } => self.has_displaced = true,
                _ => {}
            }
        }
    }

    /// Moves the time on to a member's next tick, by at most a second.
    fn tick(&mut self, member: usize) {
        if let Some(swim) = &mut self.members[member] {
            self.now = self.now.max(swim.next_tick_at().min(self.now + S));
            swim.tick(self.now);
        }
        self.process_outputs(member);
    }

    /// Delivers a message, and keeps it in flight.
    fn deliver(&mut self, fault: Fault, index: usize) {
        let MessageInFlight { to, from, mut message } = self.in_flight[index].clone();
        let sender = member_at(from);
        for (subject, record) in &mut message.records {
            if fault == Fault::RefutedByOthers
                && record.state == MemberState::Suspect
                && *subject != name(to)
                && *subject != name(sender)
            {
                (record.state, record.incarnation) = (MemberState::Alive, record.incarnation + 1);
            }
            if fault == Fault::NoIncarnations {
                record.incarnation = 1;
            }
        }
        let blank = (fault == Fault::ForgetfulMembers).then(|| self.new_swim(to));
        if let Some(swim) = &mut self.members[to] {
            if let Some(blank) = blank {
                *swim = blank;
            }
            swim.receive(self.now, from, &message);
        }
        self.process_outputs(to);
    }

    /// Runs the members that may send to themselves, with messages passing where `is_connected`. Some of those sent over a
    /// cut stay in flight.
    fn run(&mut self, fault: Fault, span: Nanos, is_connected: impl Fn(usize, usize) -> bool) {
        let until = self.now + span;
        let already_in_flight = std::mem::take(&mut self.in_flight);
        let mut held_back = Vec::new();
        let (mut counted_at, mut messages_at_once) = (self.now, 0);
        loop {
            while !self.in_flight.is_empty() {
                if counted_at != self.now {
                    (counted_at, messages_at_once) = (self.now, 0);
                }
                messages_at_once += 1;
                if messages_at_once > MAX_MESSAGES_AT_ONCE {
                    self.has_endless_messages = true;
                    return;
                }
                let MessageInFlight { to, from, .. } = &self.in_flight[0];
                if is_connected(member_at(*from), *to) {
                    self.deliver(fault, 0);
                }
                let first = self.in_flight.remove(0);
                if !is_connected(member_at(first.from), first.to) && held_back.len() < MAX_HELD_BACK {
                    held_back.push(first);
                }
            }
            let running = (0..self.members.len()).filter(|member| is_connected(*member, *member));
            let next = running
                .filter_map(|member| Some((self.members[member].as_ref()?.next_tick_at(), member)))
                .min();
            let Some((at, member)) = next.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            if let Some(swim) = &mut self.members[member] {
                swim.tick(self.now);
            }
            self.process_outputs(member);
        }
        self.now = until;
        self.in_flight.extend(already_in_flight);
        self.in_flight.extend(held_back);
        self.in_flight.truncate(MAX_IN_FLIGHT);
    }

    /// The first invariant that is violated, if any.
    fn check(&mut self) -> Option<String> {
        for member in self.members.iter().flatten() {
            let own = member.own_record();
            let announced = self.announced_incarnations.entry(own.start_id).or_default();
            if own.incarnation < *announced {
                return Some(format!("{} went back to incarnation {}", member.name(), own.incarnation));
            }
            *announced = own.incarnation;
        }
        for (number, member) in self.members.iter().enumerate() {
            let Some(member) = member else { continue };
            for (of, known) in member.members() {
                let record = &known.record;
                let before = self.held_records[number].get(of);
                if before.is_some_and(|before| record < before) {
                    return Some(format!("n{number} held {before:?} of {of} and now {record:?}"));
                }
                self.held_records[number].insert(of.clone(), record.clone());
                let announced = self.announced_incarnations.get(&record.start_id).copied().unwrap_or(0);
                if record.incarnation > announced {
                    return Some(format!(
                        "n{number} holds incarnation {} of {of}, which announced {announced}",
                        record.incarnation
                    ));
                }
            }
        }
        if self.has_endless_messages {
            return Some(ENDLESS_MESSAGES.into());
        }
        self.has_displaced.then(|| "a member is displaced without another one of its name".to_owned())
    }

    /// What is wrong after messages have passed for 30 s, if the live members do not agree on who is live.
    fn find_disagreement(&self, fault: Fault) -> Option<String> {
        let mut state = self.clone();
        state.in_flight.clear();
        let is_live = |member: &Swim| member.own_record().state.is_live();
        let live = state.members.iter().flatten().filter(|member| is_live(member)).count();
        state.run(fault, 30 * S, |_, _| true);
        let agree = state
            .members
            .iter()
            .flatten()
            .filter(|member| is_live(member))
            .all(|member| member.live_members().count() + 1 == live);
        if state.has_endless_messages {
            return Some(ENDLESS_MESSAGES.into());
        }
        (!agree).then(|| {
            let views =
                state.members.iter().flatten().map(|member| {
                    format!("{}: {:?}", member.name(), member.live_members().collect::<Vec<_>>())
                });
            format!("{live} live, and 30 s later: {}", views.collect::<Vec<_>>().join("; "))
        })
    }

    /// A hash of all that the next steps depend on, except for random numbers and the time since past events.
    fn hash(&self) -> u64 {
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
        for MessageInFlight { to, from, message } in &self.in_flight {
            (to, from, &message.body, &message.records).hash(&mut hash);
        }
        hash.finish()
    }
}

impl Search {
    fn run(fault: Fault, size: usize, depth: usize) -> Search {
        let mut search =
            Search { fault, visited: HashSet::new(), states: 0, settled_states: 0, violation: None };
        search.visit(FleetState::new(size), depth);
        search
    }

    fn visit(&mut self, mut state: FleetState, steps_left: usize) {
        if self.violation.is_some() {
            return;
        }
        self.violation = state.check();
        if self.violation.is_some() || !self.visited.insert(state.hash() ^ (steps_left as u64) << 56) {
            return;
        }
        self.states += 1;
        // Only some states are run on until all agree, because that takes long.
        if steps_left == 0 && self.states.is_multiple_of(7) || steps_left > 0 && self.states.is_multiple_of(3)
        {
            self.settled_states += 1;
            self.violation = state.find_disagreement(self.fault);
        }
        if steps_left == 0 {
            return;
        }
        let (fault, size) = (self.fault, state.members.len());
        let mut try_step = |step: &dyn Fn(&mut FleetState)| {
            let mut next = state.clone();
            step(&mut next);
            self.visit(next, steps_left - 1);
        };
        try_step(&|state| state.run(fault, S, |_, _| true));
        for one in 0..size {
            try_step(&|state| state.tick(one));
            // Cut off long enough that it and the others declare each other dead.
            try_step(&|state| {
                state.run(fault, 20 * S, |from, to| from == to || (from != one && to != one));
            });
            // It cannot send, but receives.
            try_step(&|state| state.run(fault, 20 * S, |from, to| from == to || from != one));
            // Suspended, with messages to it waiting.
            try_step(&|state| state.run(fault, 20 * S, |from, to| from != one && to != one));
            if state.members[one].is_some() && state.crashes < 2 {
                try_step(&|state| {
                    state.crashes += 1;
                    state.members[one] = None;
                });
            }
            if state.members[one].is_none() {
                try_step(&|state| {
                    if fault != Fault::SameStart {
                        state.start_ids[one] += 10;
                    }
                    state.start(one);
                });
            }
            if state.departures == 0 {
                try_step(&|state| {
                    state.departures += 1;
                    let now = state.now;
                    if let Some(swim) = &mut state.members[one] {
                        swim.leave(now);
                    }
                    state.process_outputs(one);
                });
            }
        }
        for index in 0..state.in_flight.len() {
            // Delivered and still in flight, so that it may arrive again at any time.
            try_step(&|state| state.deliver(fault, index));
            try_step(&|state| {
                state.deliver(fault, index);
                state.in_flight.remove(index);
            });
            try_step(&|state| drop(state.in_flight.remove(index)));
        }
    }
}

/// The number of steps; SEARCH_DEPTH=4 searches deeper by hand.
fn search_depth() -> usize {
    std::env::var("SEARCH_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(2)
}

#[test]
fn in_all_orders_of_events_the_invariants_hold() {
    for size in [2, 3, 4] {
        let search = Search::run(Fault::None, size, search_depth());
        let Search { states, settled_states, .. } = search;
        println!(
            "{size} members: {states} states to a depth of {}, {settled_states} of them run on until all agree",
            search_depth()
        );
        assert_eq!(search.violation, None);
        assert!(states > 100, "only {states} states");
    }
}

/// Each fault must be found by the invariant that it breaks.
#[test]
fn injected_faults_are_found() {
    for (fault, violation) in [
        (Fault::RefutedByOthers, "which announced"),
        (Fault::NoIncarnations, "live, and 30 s later"),
        (Fault::SameStart, "went back to incarnation"),
        (Fault::ForgetfulMembers, ENDLESS_MESSAGES),
    ] {
        let found = (1..5).find_map(|depth| Search::run(fault, 3, depth).violation);
        let found = found.unwrap_or_else(|| panic!("{fault:?} is not found"));
        assert!(found.contains(violation), "{fault:?} is found as: {found}");
    }
}

/// Guards against an endless exchange between two members that both restarted and hold each other for the earlier process:
/// each corrects the other.
#[test]
fn two_restarted_members_that_hold_each_other_for_the_earlier_process_stop_correcting() {
    let new_swim = |member: usize, start_id| {
        let config = SwimConfig::default();
        Swim::new(config, &name(member), address(member), "a", start_id, Vec::new(), 0)
    };
    // Both learn of the other's earlier process, which then ends.
    let (mut first, mut second) = (new_swim(0, 11), new_swim(1, 21));
    for (swim, earlier, member) in [(&mut first, new_swim(1, 20), 1), (&mut second, new_swim(0, 10), 0)] {
        let sender = Sender { name: name(member), start_id: earlier.own_record().start_id };
        let records = vec![(name(member), earlier.own_record().clone())];
        let body = MessageBody::Join { padding: vec![0; 1_000] };
        swim.receive(0, address(member), &Message { sender, body, records, extensions: Vec::new() });
        while swim.poll_output().is_some() {}
        assert_eq!(swim.live_members().count(), 1);
    }
    let sender = Sender { name: name(1), start_id: 21 };
    let extensions = vec![(99, vec![0; 300])];
    let message = Message { sender, body: MessageBody::Gossip, records: Vec::new(), extensions };
    let mut in_flight = vec![(0, message)];
    let mut delivered = 0;
    while let Some((to, message)) = in_flight.pop() {
        delivered += 1;
        assert!(delivered < 10, "{ENDLESS_MESSAGES}");
        let (swim, from) = if to == 0 { (&mut first, address(1)) } else { (&mut second, address(0)) };
        swim.receive(0, from, &message);
        while let Some(output) = swim.poll_output() {
            if let Output::Send { message, .. } = output {
                in_flight.push((1 - to, message));
            }
        }
    }
}
