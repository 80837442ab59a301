//! One balancer's side of the gossip protocol: membership and replica as one state machine.
//!
//! It decides when updates are sent, to whom and how often, when two replicas synchronize over a stream rather than by
//! datagrams, and counts all that. It makes no decisions from what it receives: the caller does. What it sends and keeps is
//! bounded, and messages of other fleets are rejected.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use ochreshed_membership::swim::{self, Destination, Swim, SwimConfig};
use ochreshed_membership::wire::{
    self, FIRST_EXTENSION_KIND, MAX_MESSAGE_BYTES, Message, MessageBody, Sender,
};
use ochreshed_membership::{MS, Nanos, S};
use ochreshed_replica::outcomes::{MAX_RULE_SETS_PER_ROW, OutcomeCounts, OutcomeRow};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::{ServerStatus, StampedStatus};
use ochreshed_replica::store::{Digest, Store, decode_updates};

use crate::stream_sync::{self, Hello};

/// Kinds of sections in a message: updates of the replica, and its digest.
const UPDATES: u16 = FIRST_EXTENSION_KIND;
const DIGEST: u16 = FIRST_EXTENSION_KIND + 1;
/// A digest that is answered with one even if both are the same.
const DIGEST_REQUEST: u16 = FIRST_EXTENSION_KIND + 2;
/// A digest that answers one.
const DIGEST_REPLY: u16 = FIRST_EXTENSION_KIND + 3;
/// Kind and length.
const SECTION_HEADER_BYTES: usize = 4;
/// Updates in a message of their own.
const MAX_UPDATE_BYTES: usize = MAX_MESSAGE_BYTES - 200;
/// Pending updates are sent to `GOSSIP_FANOUT` members at this interval.
const GOSSIP_INTERVAL: Nanos = 100 * MS;
const GOSSIP_FANOUT: usize = 3;
/// An update is sent this many times the logarithm of the fleet's size. With a third of the messages lost, one member in a
/// hundred misses it, and gets it by digests.
const RETRANSMIT_FACTOR: f64 = 6.0;
/// A digest is sent to one member at this interval.
const DIGEST_INTERVAL: Nanos = S;
/// Members that join or come back are asked for their digests one at a time: the end of a network partition brings back half
/// of a fleet at once.
const DIGEST_REQUEST_INTERVAL: Nanos = 100 * MS;
const MAX_DIGEST_REQUESTS: usize = 8;
/// Messages sent at once to a member whose digest differs.
const MAX_DIFFERENCE_MESSAGES: usize = 16;
/// Replicas that may differ in more records synchronize over a stream, where a finer digest tells which do.
const MAX_DATAGRAM_DIFFERENCES: usize = 200;
/// One stream synchronization runs at a time, and none starts within this time of another.
const STREAM_SYNC_INTERVAL: Nanos = 200 * MS;
/// Servers whose statuses are kept: twice as many as the longest endpoint list has.
const MAX_SERVERS: usize = 20_000;
/// Outcomes are sent at this interval while requests fail.
const OUTCOME_INTERVAL: Nanos = 100 * MS;
/// Failures are sent with the successes of the current span and the one before.
const SUCCESS_SPAN: Nanos = 3 * S / 2;
/// Older outcomes are not passed to the caller.
const MAX_OUTCOME_AGE: Nanos = S;
/// Entries in one row, so that two rows fit one message.
const MAX_SENT_ENTRIES: usize = 12;
/// Space in a row beside its texts and entries, and in an entry beside the server's id.
const ROW_OVERHEAD_BYTES: usize = 40;
const ENTRY_OVERHEAD_BYTES: usize = 12;
/// Pairs of a server and a rule set with outcomes to send.
const MAX_COUNTED_PAIRS: usize = 1_000;
/// Members of the own zone that one row is sent to.
const MAX_ROW_RECEIVERS: usize = 40;
/// A server is judged by its last few outcomes, so that no more of one row may count.
const MAX_OUTCOMES_PER_ENTRY: u16 = 4;

/// What identifies this balancer in the fleet, and how it finds the others.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Messages of other fleets are rejected.
    pub fleet: String,
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// A random number drawn when the process starts.
    pub start_id: u64,
    pub seeds: Vec<SocketAddr>,
    pub membership: SwimConfig,
}

/// What the caller has to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: Destination,
        bytes: Vec<u8>,
    },
    /// The statuses of these servers have changed.
    StatusesChanged(Vec<String>),
    /// Outcomes at a server, of a rule set, that another balancer of this zone has counted. Each is passed on once.
    OutcomesReceived {
        server: String,
        rule_set: String,
        counts: OutcomeCounts,
    },
    /// This member is live for the first time, again, or as another process.
    Joined(String),
    /// This member has been declared dead.
    Failed(String),
    /// This member has announced its departure.
    Left(String),
    /// The others considered this balancer dead.
    DeclaredDead,
    /// Another live process, at this address, keeps this balancer's name. This one sends and receives nothing more.
    Displaced(SocketAddr),
    /// This member's replica differs in many records: a synchronization over a stream should start.
    StreamSyncDue(String),
    /// A message that could not be read.
    Rejected {
        from: SocketAddr,
        reason: String,
    },
}

/// What a node has sent and received.
#[derive(Clone, Debug, Default)]
pub struct TrafficStats {
    pub sent_messages: u64,
    pub sent_bytes: u64,
    pub received_messages: u64,
    pub received_bytes: u64,
    /// Rejected messages by reason, of which there are few.
    pub rejected: BTreeMap<String, u64>,
    pub outcome_rows_sent: u64,
    /// Outcomes of other balancers passed to the caller.
    pub outcomes_applied: u64,
    /// Stream synchronizations that succeeded.
    pub stream_syncs: u64,
}

/// The outcomes of a rule set at a server: failures since they were sent last, and successes of this span and the one
/// before. Without the latter the others would receive every failure but few successes, and under overload every server would
/// look bad.
#[derive(Clone, Copy, Debug)]
struct OutcomeWindow {
    counts: OutcomeCounts,
    previous_successes: u16,
    span_started_at: Nanos,
}

impl OutcomeWindow {
    fn new(now: Nanos) -> OutcomeWindow {
        OutcomeWindow { counts: OutcomeCounts::default(), previous_successes: 0, span_started_at: now }
    }

    /// Drops the successes of spans that have passed.
    fn advance(&mut self, now: Nanos) {
        let spans = now.saturating_sub(self.span_started_at) / SUCCESS_SPAN;
        if spans > 0 {
            self.previous_successes = if spans == 1 { self.counts.succeeded } else { 0 };
            self.counts.succeeded = 0;
            self.span_started_at += spans * SUCCESS_SPAN;
        }
    }

    fn is_empty(&self) -> bool {
        self.previous_successes == 0 && self.counts.total() == 0
    }

    fn successes(&self) -> u16 {
        self.previous_successes.saturating_add(self.counts.succeeded)
    }
}

/// A balancer in the gossip protocol.
#[derive(Clone, Debug)]
pub struct GossipNode {
    fleet_id: u64,
    swim: Swim,
    store: Store,
    zone: String,
    next_gossip_at: Nanos,
    next_digest_at: Nanos,
    /// Members to ask for their digests, because they have just joined or come back.
    digest_requests: VecDeque<String>,
    next_digest_request_at: Nanos,
    next_stream_sync_at: Nanos,
    next_outcomes_at: Nanos,
    /// By server and rule set.
    outcomes: BTreeMap<(String, String), OutcomeWindow>,
    /// Whether something failed since the last row was sent.
    has_new_failures: bool,
    /// The start and sequence of each writer's row that was last passed to the caller.
    last_applied_rows: BTreeMap<String, (u64, u64)>,
    has_synced: bool,
    traffic: TrafficStats,
    outputs: VecDeque<Output>,
}

/// A fleet's name as messages carry it: its FNV-1a hash.
fn fleet_id(name: &str) -> u64 {
    let hash = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    name.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, hash)
}

impl GossipNode {
    pub fn new(settings: NodeSettings, now: Nanos) -> GossipNode {
        let NodeSettings { fleet, name, address, zone, start_id, seeds, membership } = settings;
        GossipNode {
            fleet_id: fleet_id(&fleet),
            swim: Swim::new(membership, &name, address, &zone, start_id, seeds, now),
            store: Store::new(&name, start_id, MAX_SERVERS),
            zone,
            next_gossip_at: now,
            // Spreads the digests of balancers that start together.
            next_digest_at: now + start_id % DIGEST_INTERVAL,
            digest_requests: VecDeque::new(),
            next_digest_request_at: now,
            next_stream_sync_at: now,
            next_outcomes_at: now,
            outcomes: BTreeMap::new(),
            has_new_failures: false,
            last_applied_rows: BTreeMap::new(),
            has_synced: false,
            traffic: TrafficStats::default(),
            outputs: VecDeque::new(),
        }
    }

    pub fn swim(&self) -> &Swim {
        &self.swim
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    pub fn traffic(&self) -> &TrafficStats {
        &self.traffic
    }

    /// Takes the next output, if there is one.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Restores what this balancer knew before it restarted.
    pub fn restore(&mut self, own: Stamp, statuses: &[(String, StampedStatus)], floor: Stamp) {
        self.store.restore(own, statuses, floor);
    }

    /// Whether, since the start, a member's replica was the same as this one or has synchronized with it over a stream.
    pub fn has_synced(&self) -> bool {
        self.has_synced
    }

    /// Applies a list from discovery, or changes of it.
    pub fn apply_discovery(&mut self, version: u64, is_full_list: bool, entries: &[(String, ServerStatus)]) {
        self.store.apply_discovery(version, is_full_list, entries);
    }

    /// Adds the outcomes of this balancer's own dispatches to a server, of a rule set, since the last call.
    pub fn record_outcomes(&mut self, now: Nanos, server: &str, rule_set: &str, counts: OutcomeCounts) {
        let key = (server.to_owned(), rule_set.to_owned());
        if self.outcomes.len() >= MAX_COUNTED_PAIRS && !self.outcomes.contains_key(&key) {
            return;
        }
        let window = self.outcomes.entry(key).or_insert(OutcomeWindow::new(now));
        window.advance(now);
        window.counts.add(counts);
        self.has_new_failures |= counts.unsuccessful() > 0;
    }

    /// Leaves the fleet for good and notifies some members.
    pub fn leave(&mut self, now: Nanos) {
        self.swim.leave(now);
        self.process_swim_outputs();
    }

    /// The latest time at which `tick` must be called.
    pub fn next_tick_at(&self) -> Nanos {
        let gossip = if self.store.has_pending_updates() { self.next_gossip_at } else { Nanos::MAX };
        let outcomes = if self.has_new_failures { self.next_outcomes_at } else { Nanos::MAX };
        let request = if self.digest_requests.is_empty() { Nanos::MAX } else { self.next_digest_request_at };
        self.swim.next_tick_at().min(gossip).min(outcomes).min(request).min(self.next_digest_at)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Nanos) {
        if self.swim.next_tick_at() <= now {
            self.swim.tick(now);
        }
        if self.has_new_failures && self.next_outcomes_at <= now {
            self.send_outcomes(now);
        }
        if self.store.has_pending_updates() && self.next_gossip_at <= now {
            self.next_gossip_at = now + GOSSIP_INTERVAL;
            for _ in 0..GOSSIP_FANOUT {
                let Some(name) = self.swim.random_live_member() else { break };
                let updates = self.next_delta(MAX_UPDATE_BYTES);
                if !updates.is_empty() {
                    self.send_section(&name, UPDATES, updates);
                }
            }
        }
        if self.next_digest_at <= now {
            self.next_digest_at = now + DIGEST_INTERVAL;
            if let Some(name) = self.swim.random_live_member() {
                self.send_digest(&name, DIGEST);
            }
            // Old outcomes are dropped also while no request fails here.
            self.evict_outcomes(now);
        }
        if self.next_digest_request_at <= now
            && let Some(name) = self.digest_requests.pop_front()
        {
            self.next_digest_request_at = now + DIGEST_REQUEST_INTERVAL;
            self.send_digest(&name, DIGEST_REQUEST);
        }
        self.process_swim_outputs();
    }

    fn evict_outcomes(&mut self, now: Nanos) {
        self.outcomes.retain(|_, window| {
            window.advance(now);
            !window.is_empty()
        });
        let swim = &self.swim;
        let is_live =
            |name: &str| swim.members().get(name).is_some_and(|member| member.record.state.is_live());
        self.store.evict_outcomes(now, MAX_OUTCOME_AGE, is_live);
        self.last_applied_rows.retain(|writer, _| is_live(writer));
    }

    /// Sends the outcomes counted here, at servers where something failed, to members of the own zone.
    fn send_outcomes(&mut self, now: Nanos) {
        self.next_outcomes_at = now + OUTCOME_INTERVAL;
        self.has_new_failures = false;
        self.evict_outcomes(now);
        let entries = self.take_failing_entries();
        let (rule_sets, entries) = self.fit_row(entries);
        if entries.is_empty() {
            return;
        }
        self.traffic.outcome_rows_sent += 1;
        let row = OutcomeRow { start_id: 0, sequence: 0, zone: self.zone.clone(), rule_sets, entries };
        let update = self.store.record_own_outcomes(now, row);
        let live = self.swim.members().iter().filter(|(_, member)| member.record.state.is_live());
        let in_zone = live.filter(|(_, member)| member.record.zone == self.zone);
        let mut receivers: Vec<String> = in_zone.map(|(name, _)| name.clone()).collect();
        // In a large zone each row goes to the next receivers.
        let first = (self.traffic.outcome_rows_sent as usize).wrapping_mul(MAX_ROW_RECEIVERS)
            % receivers.len().max(1);
        receivers.rotate_left(first);
        for name in receivers.iter().take(MAX_ROW_RECEIVERS) {
            self.send_section(name, UPDATES, update.clone());
        }
    }

    /// Takes the failures counted at each server and rule set, with the successes there, most failures first.
    fn take_failing_entries(&mut self) -> Vec<(String, String, OutcomeCounts)> {
        let mut server_successes: BTreeMap<String, u16> = BTreeMap::new();
        for ((server, _), window) in &self.outcomes {
            let successes = server_successes.entry(server.clone()).or_default();
            *successes = successes.saturating_add(window.successes());
        }
        let mut entries: Vec<(String, String, OutcomeCounts)> = Vec::new();
        for ((server, rule_set), window) in &mut self.outcomes {
            let OutcomeCounts { failed, lost, .. } = window.counts;
            if window.counts.unsuccessful() > 0 {
                // A lost request counts against the server, whatever its rule set; an error only against its rule set.
                let of_server = server_successes.get(server).copied().unwrap_or(0);
                let succeeded = if lost > 0 { of_server } else { window.successes() };
                entries.push((server.clone(), rule_set.clone(), OutcomeCounts { succeeded, failed, lost }));
                (window.counts.failed, window.counts.lost) = (0, 0);
            }
        }
        entries.sort_by_key(|(server, rule_set, counts)| {
            (std::cmp::Reverse(counts.unsuccessful()), server.clone(), rule_set.clone())
        });
        entries
    }

    /// The rule sets and entries of a row that fits a message. Entries beyond that are dropped: failures that go on come with
    /// the next row.
    fn fit_row(
        &self,
        mut entries: Vec<(String, String, OutcomeCounts)>,
    ) -> (Vec<String>, Vec<(String, u8, OutcomeCounts)>) {
        entries.truncate(MAX_SENT_ENTRIES);
        let (mut rule_sets, mut row_entries) = (Vec::<String>::new(), Vec::new());
        let mut free_bytes =
            MAX_UPDATE_BYTES.saturating_sub(self.zone.len() + self.swim.name().len() + ROW_OVERHEAD_BYTES);
        for (server, rule_set, counts) in entries {
            let index = rule_sets.iter().position(|known| *known == rule_set).unwrap_or_else(|| {
                free_bytes = free_bytes.saturating_sub(rule_set.len() + 1);
                rule_sets.push(rule_set);
                rule_sets.len() - 1
            });
            free_bytes = free_bytes.saturating_sub(server.len() + ENTRY_OVERHEAD_BYTES);
            if index < MAX_RULE_SETS_PER_ROW && free_bytes > 0 {
                row_entries.push((server, index as u8, counts));
            }
        }
        (rule_sets, row_entries)
    }

    /// Handles a datagram that arrived from an address.
    pub fn receive(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        self.traffic.received_messages += 1;
        self.traffic.received_bytes += bytes.len() as u64;
        match wire::decode(self.fleet_id, bytes) {
            // Of a sender that is not a live member only the membership records are used.
            Ok(message) if self.swim.receive(now, from, &message) => {
                self.receive_extensions(now, from, &message);
            }
            Ok(_) => {}
            Err(error) => self.reject(from, error.reason().into()),
        }
        self.process_swim_outputs();
    }

    fn reject(&mut self, from: SocketAddr, reason: String) {
        *self.traffic.rejected.entry(reason.clone()).or_default() += 1;
        self.outputs.push_back(Output::Rejected { from, reason });
    }

    fn receive_extensions(&mut self, now: Nanos, from: SocketAddr, message: &Message) {
        for (kind, content) in &message.extensions {
            match *kind {
                UPDATES => {
                    if let Err(reason) = self.merge_updates(now, content) {
                        self.reject(from, reason.into());
                    }
                }
                DIGEST | DIGEST_REQUEST | DIGEST_REPLY => match decode_digest(content) {
                    Some(theirs) => {
                        let is_same = self.send_differences(now, &message.sender.name, &theirs);
                        // The own digest makes the sender send what only it holds. Otherwise a member that missed an update,
                        // and that others ask more often than it asks them, would stay behind.
                        if *kind == DIGEST_REQUEST || *kind == DIGEST && !is_same {
                            self.send_digest(&message.sender.name, DIGEST_REPLY);
                        }
                    }
                    None => self.reject(from, "a digest can't be read".into()),
                },
                // A kind that a newer build has.
                _ => {}
            }
        }
    }

    fn merge_updates(&mut self, now: Nanos, content: &[u8]) -> Result<(), &'static str> {
        let updates = decode_updates(content)?;
        let swim = &self.swim;
        let live_start_id = |writer: &str| {
            let member = swim.members().get(writer).filter(|member| member.record.state.is_live());
            member.map(|member| member.record.start_id)
        };
        let changed = self.store.merge_updates(now, updates, live_start_id);
        if !changed.is_empty() {
            self.outputs.push_back(Output::StatusesChanged(changed));
        }
        self.apply_outcomes(now);
        Ok(())
    }

    /// Sends a member the records of the buckets in which its digest differs, or asks for a stream synchronization if there
    /// are many. Returns whether the digest is the same.
    fn send_differences(&mut self, now: Nanos, name: &str, theirs: &Digest) -> bool {
        if *theirs == self.store.digest() {
            self.has_synced = true;
            return true;
        }
        if self.store.count_differences(theirs) > MAX_DATAGRAM_DIFFERENCES {
            if self.next_stream_sync_at <= now {
                self.next_stream_sync_at = now + STREAM_SYNC_INTERVAL;
                self.outputs.push_back(Output::StreamSyncDue(name.to_owned()));
            }
            return false;
        }
        let differences = self.store.encode_differences(theirs, MAX_UPDATE_BYTES);
        for updates in differences.into_iter().take(MAX_DIFFERENCE_MESSAGES) {
            self.send_section(name, UPDATES, updates);
        }
        false
    }

    /// Passes on the outcomes that others in this zone have counted, each row once and none that is too old. Those of other
    /// zones are left out: a server that is cut off from them may be reachable from here.
    fn apply_outcomes(&mut self, now: Nanos) {
        let own_name = self.swim.name();
        for (writer, stored) in self.store.outcomes().iter().filter(|(writer, _)| *writer != own_name) {
            let row_id = (stored.row.start_id, stored.row.sequence);
            let is_usable =
                now.saturating_sub(stored.written_at) <= MAX_OUTCOME_AGE && stored.row.zone == self.zone;
            if !is_usable || self.last_applied_rows.insert(writer.clone(), row_id) == Some(row_id) {
                continue;
            }
            for (server, rule_set, counts) in stored.row.counts() {
                let counts = counts.scaled_down(MAX_OUTCOMES_PER_ENTRY);
                self.traffic.outcomes_applied += u64::from(counts.total());
                let (server, rule_set) = (server.into(), rule_set.into());
                self.outputs.push_back(Output::OutcomesReceived { server, rule_set, counts });
            }
        }
    }

    /// How often an update is sent.
    fn max_sends(&self) -> u32 {
        let size = (self.swim.members().len() + 2) as f64;
        (RETRANSMIT_FACTOR * size.log10()).ceil().max(1.0) as u32
    }

    fn next_delta(&mut self, max_bytes: usize) -> Vec<u8> {
        let max_sends = self.max_sends();
        self.store.next_delta(max_bytes, max_sends)
    }

    fn send_digest(&mut self, name: &str, kind: u16) {
        let content = self.store.digest().iter().flat_map(|sum| sum.to_le_bytes()).collect();
        self.send_section(name, kind, content);
    }

    /// Sends a member a message with one section.
    fn send_section(&mut self, name: &str, kind: u16, content: Vec<u8>) {
        let sender = Sender { name: self.swim.name().to_owned(), start_id: self.swim.own_record().start_id };
        let extensions = vec![(kind, content)];
        let message = Message { sender, body: MessageBody::Gossip, records: Vec::new(), extensions };
        self.send_message(Destination::Member(name.to_owned()), &message);
    }

    fn send_message(&mut self, to: Destination, message: &Message) {
        let bytes = wire::encode(self.fleet_id, message);
        self.traffic.sent_messages += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.outputs.push_back(Output::Send { to, bytes });
    }

    /// Carries out the outputs of the membership protocol.
    fn process_swim_outputs(&mut self) {
        while let Some(output) = self.swim.poll_output() {
            let output = match output {
                swim::Output::Send { to, message } => {
                    self.send_with_updates(to, message);
                    continue;
                }
                swim::Output::Joined { name, .. } => {
                    if self.digest_requests.len() < MAX_DIGEST_REQUESTS
                        && !self.digest_requests.contains(&name)
                    {
                        self.digest_requests.push_back(name.clone());
                    }
                    Output::Joined(name)
                }
                swim::Output::Failed { name } => {
                    self.digest_requests.retain(|other| *other != name);
                    Output::Failed(name)
                }
                swim::Output::Left { name } => {
                    self.digest_requests.retain(|other| *other != name);
                    Output::Left(name)
                }
                swim::Output::DeclaredDead => Output::DeclaredDead,
                swim::Output::Displaced { address } => Output::Displaced(address),
            };
            self.outputs.push_back(output);
        }
    }

    /// Sends a message of the membership protocol, with pending updates of the replica if it goes to a member.
    fn send_with_updates(&mut self, to: Destination, mut message: Message) {
        if matches!(to, Destination::Member(_)) && self.store.has_pending_updates() {
            let used_bytes = wire::encode(self.fleet_id, &message).len() + SECTION_HEADER_BYTES;
            let updates = self.next_delta(MAX_MESSAGE_BYTES.saturating_sub(used_bytes));
            if !updates.is_empty() {
                message.extensions.push((UPDATES, updates));
            }
        }
        self.send_message(to, &message);
    }

    /// The first frame of a stream synchronization, on either side.
    pub fn hello(&self) -> Hello {
        let start_id = self.swim.own_record().start_id;
        Hello::new(self.fleet_id, self.swim.name(), start_id, self.store.fine_digest())
    }

    /// Decodes the other side's hello from the body of its first frame. Only live members are accepted.
    pub fn accept_hello(&self, body: &[u8]) -> Result<Hello, String> {
        let hello = Hello::decode(self.fleet_id, body).map_err(|error| format!("{error:?}"))?;
        let member = self.swim.members().get(&hello.name).filter(|member| member.record.state.is_live());
        match member.filter(|member| member.record.start_id == hello.start_id) {
            Some(_) => Ok(hello),
            None => Err("no member of this name and start".into()),
        }
    }

    /// The records of the buckets in which the other side's digest differs, as bodies of frames.
    pub fn encode_differences(&self, theirs: &Hello) -> Vec<Vec<u8>> {
        let mut bodies = self.store.encode_differences(&theirs.digest, stream_sync::MAX_FRAME_BODY_BYTES);
        bodies.truncate(stream_sync::MAX_FRAMES_PER_SIDE);
        bodies
    }

    /// Handles the body of a frame that the other side sent after its hello.
    pub fn receive_stream_body(&mut self, now: Nanos, body: &[u8]) -> Result<(), &'static str> {
        self.merge_updates(now, body)
    }

    /// Records the end of a stream synchronization.
    pub fn finish_stream_sync(&mut self, now: Nanos, succeeded: bool) {
        self.next_stream_sync_at = now + STREAM_SYNC_INTERVAL;
        self.traffic.stream_syncs += u64::from(succeeded);
        self.has_synced |= succeeded;
    }
}

fn decode_digest(content: &[u8]) -> Option<Digest> {
    let mut digest = Digest::default();
    let sums = content.chunks_exact(4).map(|sum| u32::from_le_bytes([sum[0], sum[1], sum[2], sum[3]]));
    let is_valid = content.len() == 4 * digest.len();
    digest.iter_mut().zip(sums).for_each(|(to, sum)| *to = sum);
    is_valid.then_some(digest)
}
