//! The SWIM protocol as a state machine: what this member knows of the others, and its own incarnation.
//!
//! An address that is not a member's is never sent more bytes than were received from it. A member that is considered dead
//! here is sent its record first, so that it returns with a new incarnation; until then only its records of itself and of
//! this member are used.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh32::xxh32;

use crate::record::{MemberRecord, MemberState, NamedRecord};
use crate::wire::{DIGEST_BUCKETS, Digest, MAX_MESSAGE_BYTES, Message, MessageBody, Sender};
use crate::{MS, Nanos, S};

/// Settings that all members of a fleet share. The local health score stretches the probe interval and time-out, as in
/// Lifeguard.
#[derive(Clone, Debug, PartialEq)]
pub struct SwimConfig {
    /// The interval between a member's probes.
    pub probe_interval: Nanos,
    /// A probe without an answer after this is passed to other members.
    pub probe_timeout: Nanos,
    /// The number of members asked to probe indirectly.
    pub indirect_probes: usize,
    /// The shortest suspicion lasts this many probe intervals times the logarithm of the fleet's size.
    pub min_suspicion_factor: f64,
    /// The longest suspicion lasts this many times the shortest.
    pub max_suspicion_factor: f64,
    /// Confirmations by other members that shorten a suspicion to the shortest.
    pub expected_confirmations: u32,
    /// A record is sent this many times the logarithm of the fleet's size.
    pub retransmit_factor: f64,
    /// While there are records to pass on, they are sent to `gossip_fanout` members at this interval.
    pub gossip_interval: Nanos,
    pub gossip_fanout: usize,
    /// One dead member is pinged at this interval, so that the halves of a network partition find each other once it ends.
    pub dead_probe_interval: Nanos,
    /// Members that are dead or have left are forgotten after this.
    pub dead_retention: Nanos,
    pub max_members: usize,
}

impl Default for SwimConfig {
    fn default() -> SwimConfig {
        SwimConfig {
            probe_interval: 500 * MS,
            probe_timeout: 150 * MS,
            indirect_probes: 3,
            min_suspicion_factor: 4.0,
            max_suspicion_factor: 3.0,
            expected_confirmations: 3,
            retransmit_factor: 4.0,
            gossip_interval: 100 * MS,
            gossip_fanout: 3,
            dead_probe_interval: S,
            dead_retention: 600 * S,
            max_members: 1_000,
        }
    }
}

const MAX_HEALTH_SCORE: u32 = 8;
/// Leaves room in a message for extensions.
const MAX_RECORDS_PER_MESSAGE: usize = 10;
/// A process that claims this member's name this many times is alive, rather than an earlier process of this member.
const CLAIMS_OF_LIVE_PROCESS: u32 = 3;
/// A member that knows no live one asks the seeds at this interval.
const JOIN_INTERVAL: Nanos = S;
/// Records sent at once to a member whose digest differs; the rest follows the next time that it does.
const MAX_DIFFERING_RECORDS: usize = 80;
/// Indirect probes in flight for other members.
const MAX_RELAYED_PROBES: usize = 64;
/// A record takes at most about 100 bytes where names are short. A join reply carries one record for this much padding in
/// the request, and so is never longer than it.
const PADDING_BYTES_PER_RECORD: usize = 150;

/// The destination of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// At the address in the member's record, unless the caller has another one for it.
    Member(String),
    Address(SocketAddr),
}

/// What the caller has to do or to know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    Send {
        to: Destination,
        message: Message,
    },
    /// A member is live for the first time, again, or as another process.
    Joined {
        name: String,
        start_id: u64,
    },
    /// A member has been declared dead.
    Failed {
        name: String,
    },
    /// A member has announced its departure.
    Left {
        name: String,
    },
    /// The others considered this member dead, so what it knows may be out of date.
    DeclaredDead,
    /// Another live process keeps this member's name. This one sends and receives nothing more.
    Displaced {
        address: SocketAddr,
    },
}

/// Another member, as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub record: MemberRecord,
    /// When the record last changed.
    pub changed_at: Nanos,
    /// The members that suspect it, while it is a suspect.
    suspected_by: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Probe {
    target: String,
    sequence: u64,
    acked: bool,
    /// When relays are asked; empty once they have been.
    indirect_at: Option<Nanos>,
    deadline: Nanos,
    /// Relays that have sent neither an answer nor a nack.
    silent_relays: BTreeSet<String>,
}

/// An indirect probe in flight for another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RelayedProbe {
    sequence: u64,
    requester_sequence: u64,
    requester: String,
    /// When a nack is sent to the requester; empty once it has been.
    nack_at: Option<Nanos>,
    deadline: Nanos,
}

/// One member's side of the protocol.
#[derive(Clone, Debug)]
pub struct Swim {
    config: SwimConfig,
    name: String,
    own_record: MemberRecord,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<String, Member>,
    /// Members still to be probed in this round, shuffled for each round.
    probe_order: Vec<String>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    /// Lifeguard's local health score: 0 is healthy.
    health_score: u32,
    /// Members whose records are to be passed on, with how often they have been.
    pending_updates: BTreeMap<String, u32>,
    last_sequence: u64,
    next_probe_at: Nanos,
    next_gossip_at: Nanos,
    next_dead_probe_at: Nanos,
    next_join_at: Nanos,
    /// How often each other process has claimed this member's name, by its `start_id`.
    name_claims: BTreeMap<u64, u32>,
    leaving: bool,
    displaced: bool,
    rng: ChaCha8Rng,
    outputs: VecDeque<Output>,
}

impl Swim {
    /// A member that starts now. The caller draws a new `start_id` for each process, which also seeds the random numbers.
    pub fn new(
        config: SwimConfig,
        name: &str,
        address: SocketAddr,
        zone: &str,
        start_id: u64,
        seeds: Vec<SocketAddr>,
        now: Nanos,
    ) -> Swim {
        let state = MemberState::Alive;
        let own_record = MemberRecord { incarnation: 1, state, start_id, address, zone: zone.into() };
        let mut rng = ChaCha8Rng::seed_from_u64(start_id);
        // Spreads the probes of members that start together.
        let next_probe_at = now + rng.random_range(0..config.probe_interval.max(1));
        Swim {
            config,
            name: name.into(),
            own_record,
            seeds,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            health_score: 0,
            pending_updates: BTreeMap::new(),
            last_sequence: 0,
            next_probe_at,
            next_gossip_at: now,
            next_dead_probe_at: now,
            next_join_at: now,
            name_claims: BTreeMap::new(),
            leaving: false,
            displaced: false,
            rng,
            outputs: VecDeque::new(),
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// All other members known, also those that are dead or have left.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// The names of the other members that are live.
    pub fn live_members(&self) -> impl Iterator<Item = &String> {
        self.members.iter().filter(|(_, member)| member.record.state.is_live()).map(|(name, _)| name)
    }

    /// Lifeguard's local health score: 0 is healthy.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Takes the next output, if there is one.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Picks a live member at random.
    pub fn random_live_member(&mut self) -> Option<String> {
        let count = self.live_members().count();
        let index = if count > 0 { self.rng.random_range(0..count) } else { return None };
        self.live_members().nth(index).cloned()
    }

    /// Leaves the fleet for good and notifies some members. No probes or gossip are sent afterwards.
    pub fn leave(&mut self, now: Nanos) {
        if self.leaving || self.displaced {
            return;
        }
        self.leaving = true;
        self.own_record.state = MemberState::Left;
        for name in self.random_live_members(self.config.gossip_fanout.max(3), &BTreeSet::new()) {
            self.send(Destination::Member(name), MessageBody::Gossip, None);
        }
        self.next_gossip_at = now;
    }

    /// The latest time at which `tick` must be called.
    pub fn next_tick_at(&self) -> Nanos {
        if self.displaced || self.leaving {
            return Nanos::MAX;
        }
        let probe = self.probe.as_ref().map_or(self.next_probe_at, |probe| {
            probe.indirect_at.unwrap_or(probe.deadline).min(probe.deadline)
        });
        let relayed = self.relayed_probes.iter().map(|probe| probe.nack_at.unwrap_or(probe.deadline));
        let suspects = self.members.values().filter(|member| member.record.state == MemberState::Suspect);
        let suspects = suspects.map(|member| self.suspicion_deadline(member));
        let gossip = if self.pending_updates.is_empty() { Nanos::MAX } else { self.next_gossip_at };
        let join = if self.live_members().next().is_none() { self.next_join_at } else { Nanos::MAX };
        let dead_probe = if self.has_dead_members() { self.next_dead_probe_at } else { Nanos::MAX };
        let fixed = [probe, gossip, join, dead_probe];
        relayed.chain(suspects).chain(fixed).min().unwrap_or(Nanos::MAX)
    }

    fn has_dead_members(&self) -> bool {
        self.members.values().any(|member| member.record.state == MemberState::Dead)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Nanos) {
        if self.displaced || self.leaving {
            return;
        }
        self.tick_probe(now);
        self.tick_relayed_probes(now);
        self.expire_suspicions(now);
        if self.live_members().next().is_none() && self.next_join_at <= now {
            self.next_join_at = now + JOIN_INTERVAL;
            let own_address = self.own_record.address;
            for seed in self.seeds.clone().into_iter().filter(|seed| *seed != own_address) {
                let body = MessageBody::Join { padding: Vec::new() };
                let message = self.new_message(body, Some(self.own_named_record()));
                let message = pad_join(message);
                self.outputs.push_back(Output::Send { to: Destination::Address(seed), message });
            }
        }
        if self.next_dead_probe_at <= now && self.has_dead_members() {
            self.next_dead_probe_at = now + self.config.dead_probe_interval;
            let dead = self.members.iter().filter(|(_, member)| member.record.state == MemberState::Dead);
            let dead: Vec<String> = dead.map(|(name, _)| name.clone()).collect();
            let name = dead[self.rng.random_range(0..dead.len())].clone();
            let record = self.named_record(&name);
            self.last_sequence += 1;
            self.send(Destination::Member(name), MessageBody::Ping { sequence: self.last_sequence }, record);
        }
        if self.next_gossip_at <= now && !self.pending_updates.is_empty() {
            self.next_gossip_at = now + self.config.gossip_interval;
            for name in self.random_live_members(self.config.gossip_fanout, &BTreeSet::new()) {
                self.send(Destination::Member(name), MessageBody::Gossip, None);
            }
        }
        let retention = self.config.dead_retention;
        self.members.retain(|_, member| member.record.state.is_live() || now < member.changed_at + retention);
    }

    /// One sum over the live members in each bucket of names. Dead members are left out, because each member forgets them
    /// at another time.
    fn digest(&self) -> Digest {
        let mut digest = [0u32; DIGEST_BUCKETS];
        let live = self.members.iter().filter(|(_, member)| member.record.state.is_live());
        let live = live.map(|(name, member)| (name, &member.record));
        for (name, record) in live.chain([(&self.name, &self.own_record)]) {
            let MemberRecord { incarnation, state, start_id, .. } = record;
            let mut hash = 0;
            for number in [*incarnation, *state as u64, *start_id] {
                hash = xxh32(&number.to_le_bytes(), hash);
            }
            // A sum does not depend on the order. Neither CRCs nor exclusive or will do: the CRCs of two members that change
            // alike change by the same bits, so that two changes in one bucket would cancel out.
            let bucket = digest_bucket(name);
            digest[bucket] = digest[bucket].wrapping_add(xxh32(name.as_bytes(), hash));
        }
        digest
    }

    /// Sends the records of the buckets in which another member's digest differs. With `request_records` it is also asked
    /// for its own; then nothing is sent while updates are still being passed on, which explain the difference.
    fn send_differing_records(&mut self, name: &str, theirs: &Digest, request_records: bool) {
        let digest = self.digest();
        if digest == *theirs || (request_records && !self.pending_updates.is_empty()) {
            return;
        }
        let differs = |name: &str| digest[digest_bucket(name)] != theirs[digest_bucket(name)];
        let known = self.members.iter().map(|(name, member)| (name.clone(), member.record.clone()));
        let records: Vec<NamedRecord> =
            known.chain([self.own_named_record()]).filter(|(name, _)| differs(name)).collect();
        let max_messages = MAX_DIFFERING_RECORDS / MAX_RECORDS_PER_MESSAGE;
        for (index, records) in records.chunks(MAX_RECORDS_PER_MESSAGE).take(max_messages).enumerate() {
            let body = if request_records && index == 0 {
                MessageBody::DigestMismatch { digest }
            } else {
                MessageBody::Gossip
            };
            let message = Message { records: records.to_vec(), ..self.new_message(body, None) };
            self.outputs.push_back(Output::Send { to: Destination::Member(name.into()), message });
        }
        if records.is_empty() && request_records {
            self.send(Destination::Member(name.into()), MessageBody::DigestMismatch { digest }, None);
        }
    }

    fn scale_by_health(&self, span: Nanos) -> Nanos {
        span * u64::from(self.health_score + 1)
    }

    fn raise_health_score(&mut self, by: u32) {
        self.health_score = (self.health_score + by).min(MAX_HEALTH_SCORE);
    }

    fn tick_probe(&mut self, now: Nanos) {
        if let Some(mut probe) = self.probe.take() {
            if probe.acked && now >= probe.deadline {
                self.health_score = self.health_score.saturating_sub(1);
            } else if now >= probe.deadline {
                // Relays that stay silent suggest that this member itself receives nothing.
                let silent = probe.silent_relays.len() as u32;
                self.raise_health_score(if silent > 0 || probe.indirect_at.is_some() { silent } else { 1 });
                self.suspect(now, &probe.target);
            } else {
                if probe.indirect_at.is_some_and(|at| at <= now) && !probe.acked {
                    probe.indirect_at = None;
                    let excluded = BTreeSet::from([probe.target.clone()]);
                    for name in self.random_live_members(self.config.indirect_probes, &excluded) {
                        let (sequence, target) = (probe.sequence, probe.target.clone());
                        let body = MessageBody::PingRequest { sequence, target };
                        self.send(Destination::Member(name.clone()), body, None);
                        probe.silent_relays.insert(name);
                    }
                }
                self.probe = Some(probe);
                return;
            }
        }
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.config.probe_interval;
        let Some(target) = self.next_probe_target() else { return };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        // A suspect is sent its record, so that it can refute it.
        let suspect = self.members.get(&target).filter(|member| member.record.state == MemberState::Suspect);
        let record = suspect.map(|member| (target.clone(), member.record.clone()));
        self.send(Destination::Member(target.clone()), MessageBody::Ping { sequence }, record);
        let indirect_at = Some(now + self.scale_by_health(self.config.probe_timeout));
        let deadline = now + self.scale_by_health(self.config.probe_interval);
        self.next_probe_at = deadline;
        let silent_relays = BTreeSet::new();
        self.probe = Some(Probe { target, sequence, acked: false, indirect_at, deadline, silent_relays });
    }

    fn next_probe_target(&mut self) -> Option<String> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.live_members().cloned().collect();
                for index in (1..self.probe_order.len()).rev() {
                    let other = self.rng.random_range(0..=index);
                    self.probe_order.swap(index, other);
                }
            }
            let name = self.probe_order.pop()?;
            if self.members.get(&name).is_some_and(|member| member.record.state.is_live()) {
                return Some(name);
            }
        }
    }

    fn tick_relayed_probes(&mut self, now: Nanos) {
        let mut probes = std::mem::take(&mut self.relayed_probes);
        for probe in &mut probes {
            if probe.nack_at.is_some_and(|at| at <= now) {
                probe.nack_at = None;
                let body = MessageBody::Nack { sequence: probe.requester_sequence };
                self.send(Destination::Member(probe.requester.clone()), body, None);
            }
        }
        probes.retain(|probe| now < probe.deadline);
        self.relayed_probes = probes;
    }

    fn expire_suspicions(&mut self, now: Nanos) {
        let expired = |member: &Member| {
            member.record.state == MemberState::Suspect && self.suspicion_deadline(member) <= now
        };
        let dead: Vec<NamedRecord> = self
            .members
            .iter()
            .filter(|(_, member)| expired(member))
            .map(|(name, member)| {
                (name.clone(), MemberRecord { state: MemberState::Dead, ..member.record.clone() })
            })
            .collect();
        for (name, record) in dead {
            self.apply_record(now, &name, record, None);
        }
    }

    /// When a suspect is declared dead: the sooner, the more members suspect it.
    fn suspicion_deadline(&self, member: &Member) -> Nanos {
        let SwimConfig {
            probe_interval,
            min_suspicion_factor,
            max_suspicion_factor,
            expected_confirmations,
            ..
        } = self.config;
        let size = (self.members.len() + 1) as f64;
        let shortest = min_suspicion_factor * size.log10().max(1.0) * probe_interval as f64;
        let longest = shortest * max_suspicion_factor;
        let confirmations = member.suspected_by.len().saturating_sub(1) as f64;
        // A small fleet has fewer members that could confirm it.
        let expected = f64::from(expected_confirmations).min((self.members.len() as f64 - 1.0).max(0.0));
        let share = if expected > 0.0 { (confirmations + 1.0).ln() / (expected + 1.0).ln() } else { 1.0 };
        member.changed_at + (longest - (longest - shortest) * share).max(shortest) as Nanos
    }

    /// Suspects a live member that did not answer a probe.
    fn suspect(&mut self, now: Nanos, name: &str) {
        if let Some(member) = self.members.get(name).filter(|member| member.record.state.is_live()) {
            let record = MemberRecord { state: MemberState::Suspect, ..member.record.clone() };
            let own_name = self.name.clone();
            self.apply_record(now, name, record, Some(&own_name));
        }
    }

    /// Picks up to `count` live members at random, without those excluded.
    fn random_live_members(&mut self, count: usize, excluded: &BTreeSet<String>) -> Vec<String> {
        let live = self.members.iter().filter(|(_, member)| member.record.state.is_live());
        let mut live: Vec<&String> =
            live.map(|(name, _)| name).filter(|name| !excluded.contains(*name)).collect();
        for index in 0..count.min(live.len()) {
            let other = self.rng.random_range(index..live.len());
            live.swap(index, other);
        }
        live.into_iter().take(count).cloned().collect()
    }

    fn own_named_record(&self) -> NamedRecord {
        (self.name.clone(), self.own_record.clone())
    }

    /// The record of another member, if it is known.
    fn named_record(&self, name: &str) -> Option<NamedRecord> {
        self.members.get(name).map(|member| (name.to_owned(), member.record.clone()))
    }

    fn new_message(&self, body: MessageBody, record: Option<NamedRecord>) -> Message {
        let sender = Sender { name: self.name.clone(), start_id: self.own_record.start_id };
        Message { sender, body, records: record.into_iter().collect(), extensions: Vec::new() }
    }

    /// Sends a message with pending updates on it, those that were passed on least first.
    fn send(&mut self, to: Destination, body: MessageBody, record: Option<NamedRecord>) {
        let is_ping = matches!(body, MessageBody::Ping { .. });
        let mut message = self.new_message(body, record);
        if self.leaving || is_ping {
            message.records.push(self.own_named_record());
        }
        let size = (self.members.len() + 2) as f64;
        let max_sends = (self.config.retransmit_factor * size.log10()).ceil().max(1.0) as u32;
        let mut updates: Vec<(u32, String)> =
            self.pending_updates.iter().map(|(name, sends)| (*sends, name.clone())).collect();
        updates.sort();
        for (sends, name) in updates.into_iter().take(MAX_RECORDS_PER_MESSAGE) {
            let update =
                if name == self.name { Some(self.own_named_record()) } else { self.named_record(&name) };
            message.records.extend(update);
            if sends + 1 >= max_sends {
                self.pending_updates.remove(&name);
            } else {
                self.pending_updates.insert(name, sends + 1);
            }
        }
        message.records.sort();
        message.records.dedup();
        self.outputs.push_back(Output::Send { to, message });
    }

    /// Handles a message that arrived from an address. Returns whether its extensions may be used, which is so only for
    /// messages of live members.
    pub fn receive(&mut self, now: Nanos, address: SocketAddr, message: &Message) -> bool {
        let Message { sender, body, records, .. } = message;
        let is_own = sender.name == self.name && sender.start_id == self.own_record.start_id;
        if self.displaced || is_own {
            return false;
        }
        if sender.name == self.name {
            // Another process uses this member's name. The greater of the two records decides which one keeps it.
            for (_, record) in records.iter().filter(|(name, _)| *name == sender.name) {
                self.refute(record);
            }
            if matches!(body, MessageBody::Join { .. }) && !self.displaced {
                let message = self.new_message(MessageBody::JoinReply, Some(self.own_named_record()));
                self.outputs.push_back(Output::Send { to: Destination::Address(address), message });
            }
            return false;
        }
        if let MessageBody::Join { padding } = body {
            self.answer_join(now, address, message, padding.len());
            return false;
        }
        let known = self.members.get(&sender.name).filter(|member| member.record.start_id == sender.start_id);
        let Some(known) = known else {
            self.receive_from_unknown(now, address, message);
            return false;
        };
        if !known.record.state.is_live() {
            // The sender was suspended or cut off. Its records of others are out of date; its ping is answered with the record
            // kept of it, so that it can refute it.
            let concerns_either = |name: &str| name == sender.name || name == self.name;
            let accepted: Vec<NamedRecord> =
                records.iter().filter(|(name, _)| concerns_either(name)).cloned().collect();
            self.apply_records(now, &accepted, &sender.name);
            let record = self.named_record(&sender.name);
            if let MessageBody::Ping { sequence } = body {
                let body = MessageBody::Ack { sequence: *sequence, digest: self.digest() };
                self.send(Destination::Member(sender.name.clone()), body, record);
            }
            return false;
        }
        let was_suspect = known.record.state == MemberState::Suspect;
        self.apply_records(now, records, &sender.name);
        let suspect_record = self.named_record(&sender.name).filter(|_| was_suspect);
        match body {
            MessageBody::Ping { sequence } => {
                let body = MessageBody::Ack { sequence: *sequence, digest: self.digest() };
                self.send(Destination::Member(sender.name.clone()), body, suspect_record);
            }
            MessageBody::PingRequest { sequence, target } => {
                self.relay_probe(now, &sender.name, *sequence, target);
            }
            MessageBody::Ack { sequence, digest } => {
                self.handle_ack(*sequence);
                self.send_differing_records(&sender.name, digest, true);
            }
            MessageBody::DigestMismatch { digest } => {
                self.send_differing_records(&sender.name, digest, false);
            }
            MessageBody::Nack { sequence } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == *sequence) {
                    probe.silent_relays.remove(&sender.name);
                }
            }
            MessageBody::Join { .. } | MessageBody::JoinReply | MessageBody::Gossip => {}
        }
        true
    }

    /// Handles a message, other than a join, of a process that is no member. Of its records only its own counts, and that
    /// only against one already known of its name; a join reply counts whole.
    fn receive_from_unknown(&mut self, now: Nanos, address: SocketAddr, message: &Message) {
        let Message { sender, body, records, .. } = message;
        if matches!(body, MessageBody::JoinReply) {
            self.apply_records(now, records, &sender.name);
            return;
        }
        let sent_own =
            records.iter().find(|(name, record)| *name == sender.name && record.start_id == sender.start_id);
        if let Some((name, record)) = sent_own.filter(|(name, _)| self.members.contains_key(name)) {
            self.apply_record(now, name, record.clone(), None);
        }
        // A sender that takes this member for an earlier process of its name is refuted rather than corrected. Two members
        // that both restarted would otherwise correct each other without end.
        if let Some((_, record)) = records.iter().find(|(name, _)| *name == self.name) {
            if self.members.contains_key(&sender.name) {
                self.refute(&record.clone());
            }
        } else {
            self.send_correction(address, message);
        }
    }

    /// Sends a process the record that is known of its name from another process, unless the answer would be longer than its
    /// message.
    fn send_correction(&mut self, address: SocketAddr, message: &Message) {
        let name = &message.sender.name;
        let Some(member) =
            self.members.get(name).filter(|member| member.record.start_id != message.sender.start_id)
        else {
            return;
        };
        let records = vec![(name.clone(), member.record.clone())];
        let answer = Message { records, ..self.new_message(MessageBody::Gossip, None) };
        if crate::wire::encode(0, &answer).len() <= crate::wire::encode(0, message).len() {
            self.outputs.push_back(Output::Send { to: Destination::Address(address), message: answer });
        }
    }

    fn apply_records(&mut self, now: Nanos, records: &[NamedRecord], from: &str) {
        for (name, record) in records {
            self.apply_record(now, name, record.clone(), Some(from));
        }
    }

    /// Sends members to a process that joins, in no more bytes than it sent.
    fn answer_join(&mut self, now: Nanos, address: SocketAddr, message: &Message, padding_bytes: usize) {
        let name = &message.sender.name;
        let known_before = self.named_record(name);
        for (of, record) in message.records.iter().filter(|(of, _)| of == name) {
            self.apply_record(now, of, record.clone(), None);
        }
        // Where the record known of its name still wins, the process has to send a greater one.
        let known = self.named_record(name).or(known_before);
        let mut records: Vec<NamedRecord> = known.into_iter().chain([self.own_named_record()]).collect();
        let others = self.random_live_members(MAX_RECORDS_PER_MESSAGE, &BTreeSet::from([name.clone()]));
        records.extend(others.iter().filter_map(|other| self.named_record(other)));
        records.truncate(2 + padding_bytes / PADDING_BYTES_PER_RECORD);
        let message = Message { records, ..self.new_message(MessageBody::JoinReply, None) };
        self.outputs.push_back(Output::Send { to: Destination::Address(address), message });
    }

    fn relay_probe(&mut self, now: Nanos, requester: &str, requester_sequence: u64, target: &str) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || !self.members.contains_key(target) {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let nack_at = Some(now + self.config.probe_timeout * 4 / 5);
        let deadline = now + self.config.probe_interval * 2;
        let requester = requester.into();
        self.relayed_probes.push(RelayedProbe { sequence, requester_sequence, requester, nack_at, deadline });
        self.send(Destination::Member(target.into()), MessageBody::Ping { sequence }, None);
    }

    fn handle_ack(&mut self, sequence: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            (probe.acked, probe.indirect_at) = (true, None);
        } else if let Some(index) = self.relayed_probes.iter().position(|probe| probe.sequence == sequence) {
            let RelayedProbe { requester_sequence, requester, .. } = self.relayed_probes.swap_remove(index);
            let body = MessageBody::Ack { sequence: requester_sequence, digest: self.digest() };
            self.send(Destination::Member(requester), body, None);
        }
    }

    /// Merges a record of a member. `from` is the member that sent it, which counts as a confirmation of a suspicion.
    fn apply_record(&mut self, now: Nanos, name: &str, record: MemberRecord, from: Option<&str>) {
        if name == self.name {
            return self.refute(&record);
        }
        let Some(known) = self.members.get_mut(name) else {
            // Unknown members that are dead are not added: members would hand them to each other for ever.
            if record.state.is_live() && self.members.len() < self.config.max_members {
                let start_id = record.start_id;
                let member = Member { record, changed_at: now, suspected_by: BTreeSet::new() };
                self.members.insert(name.into(), member);
                self.pending_updates.insert(name.into(), 0);
                self.outputs.push_back(Output::Joined { name: name.into(), start_id });
            }
            return;
        };
        let suspected_by = from.filter(|_| record.state == MemberState::Suspect).map(str::to_owned);
        if known.record == record {
            // Another member that suspects it shortens the suspicion, and is worth passing on.
            let max_suspecting = self.config.expected_confirmations as usize + 1;
            if let Some(suspecting) = suspected_by.filter(|_| known.suspected_by.len() < max_suspecting)
                && known.suspected_by.insert(suspecting)
            {
                self.pending_updates.insert(name.into(), 0);
            }
            return;
        }
        if !record.supersedes(&known.record) {
            return;
        }
        let (old_state, old_start) = (known.record.state, known.record.start_id);
        known.changed_at = now;
        known.suspected_by = suspected_by.into_iter().collect();
        known.record = record;
        self.pending_updates.insert(name.into(), 0);
        let (state, start_id) = (known.record.state, known.record.start_id);
        if state.is_live() && (!old_state.is_live() || start_id != old_start) {
            self.outputs.push_back(Output::Joined { name: name.into(), start_id });
        } else if !state.is_live() && old_state.is_live() {
            let name = name.to_owned();
            self.outputs.push_back(if state == MemberState::Left {
                Output::Left { name }
            } else {
                Output::Failed { name }
            });
        }
    }

    /// Refutes a record of this member's name that would win over its own, by a greater incarnation.
    fn refute(&mut self, record: &MemberRecord) {
        if self.leaving || !record.supersedes(&self.own_record) {
            return;
        }
        if record.start_id != self.own_record.start_id && record.state.is_live() {
            let claims = self.name_claims.entry(record.start_id).or_default();
            *claims += 1;
            // An earlier process of this member does not claim the name again. One that does is alive, and the process with
            // the smaller `start_id` gives up the name.
            if *claims >= CLAIMS_OF_LIVE_PROCESS && record.start_id > self.own_record.start_id {
                self.displaced = true;
                self.outputs.push_back(Output::Displaced { address: record.address });
                return;
            }
        } else if record.start_id == self.own_record.start_id {
            self.raise_health_score(1);
            if !record.state.is_live() {
                self.outputs.push_back(Output::DeclaredDead);
            }
        }
        self.own_record.incarnation = record.incarnation + 1;
        self.pending_updates.insert(self.name.clone(), 0);
    }
}

/// The digest bucket of a member's name.
fn digest_bucket(name: &str) -> usize {
    xxh32(name.as_bytes(), 0) as usize % DIGEST_BUCKETS
}

/// Pads a join to the size of the longest answer.
fn pad_join(message: Message) -> Message {
    let unpadded = crate::wire::encode(0, &message).len();
    // The length of the padding takes a byte more than that of an empty one.
    let padding = vec![0; (MAX_MESSAGE_BYTES - 2).saturating_sub(unpadded)];
    Message { body: MessageBody::Join { padding }, ..message }
}
