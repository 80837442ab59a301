//! One balancer instance's replica of the shared state, and how replicas converge.
//!
//! Status changes spread in deltas that fit a datagram, each sent a bounded number of times. Digests show in which
//! buckets two replicas differ, and only the statuses of those are exchanged.
//!
//! Invariant: only statuses that this replica has accepted are passed on.

use std::collections::{BTreeMap, HashSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh32::xxh32;

use crate::Nanos;
use crate::outcomes::{OutcomeRow, OutcomeTable};
use crate::stamp::{EpochTracker, Stamp};
use crate::status::{ServerStatus, StampedStatus, StatusTable};

pub const DIGEST_BUCKETS: usize = 16;
/// One sum for each bucket of server ids.
pub type Digest = [u32; DIGEST_BUCKETS];
/// Buckets of the digest for replicas that differ in many statuses: so many that only a few statuses of a long list fall
/// into each.
pub const FINE_DIGEST_BUCKETS: usize = 1_024;

/// What replicas send each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    Status {
        server: String,
        entry: StampedStatus,
    },
    /// `age` is that of the row when it is sent, so that clocks of different machines are never compared.
    Outcomes {
        writer: String,
        row: OutcomeRow,
        age: Nanos,
    },
    /// The eviction floor of the sender's [`StatusTable`].
    EvictionFloor(Stamp),
}

// The kinds of encoded updates. Unknown kinds are skipped.
const STATUS_KIND: u8 = 1;
const EVICTION_FLOOR_KIND: u8 = 3;
/// Kind 2, a row of counts without rule sets, is no longer used.
const OUTCOMES_KIND: u8 = 4;
/// The header of an encoded update: one byte for the kind, two for the length.
const UPDATE_HEADER_BYTES: usize = 3;
/// The longest update with this instance's own row, so that its length fits the header.
const MAX_ROW_UPDATE_BYTES: usize = u16::MAX as usize;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    instance: String,
    start_id: u64,
    statuses: StatusTable,
    outcomes: OutcomeTable,
    epochs: EpochTracker,
    /// The sequence number of the last row written here.
    row_sequence: u64,
    /// Servers with a status change to pass on, and how often it has been sent.
    pending_sends: BTreeMap<String, u32>,
}

impl Store {
    /// Creates the replica of the given instance, with statuses of at most `max_servers` servers.
    pub fn new(instance: &str, start_id: u64, max_servers: usize) -> Store {
        Store {
            instance: instance.into(),
            start_id,
            statuses: StatusTable::new(max_servers),
            outcomes: OutcomeTable::default(),
            epochs: EpochTracker::default(),
            row_sequence: 0,
            pending_sends: BTreeMap::new(),
        }
    }

    pub fn statuses(&self) -> &StatusTable {
        &self.statuses
    }

    pub fn outcomes(&self) -> &OutcomeTable {
        &self.outcomes
    }

    /// Applies a list, or changes of it, that discovery has sent to this instance. A full list also marks the known
    /// servers that it does not contain as gone. Returns the servers whose status has changed, except new ones that are
    /// serving.
    pub fn apply_discovery(
        &mut self,
        version: u64,
        is_full_list: bool,
        entries: &[(String, ServerStatus)],
    ) -> Vec<String> {
        let stamp = self.epochs.record_discovery_version(version);
        let mut updated: Vec<(String, ServerStatus)> = entries.to_vec();
        if is_full_list {
            let listed: HashSet<&String> = entries.iter().map(|(server, _)| server).collect();
            let missing = self
                .statuses
                .iter()
                .filter(|(server, entry)| entry.status != ServerStatus::Gone && !listed.contains(server));
            // A server whose status is from a newer list is not marked as gone.
            let missing = missing
                .filter(|(_, entry)| entry.stamp <= stamp)
                .map(|(server, _)| (server.clone(), ServerStatus::Gone));
            updated.extend(missing.collect::<Vec<_>>());
        }
        updated
            .retain(|(server, status)| self.merge_status(server, StampedStatus { stamp, status: *status }));
        updated.into_iter().map(|(server, _)| server).collect()
    }

    /// Merges a status and returns whether the change is to be passed on.
    fn merge_status(&mut self, server: &str, entry: StampedStatus) -> bool {
        self.epochs.observe_stamp(entry.stamp);
        let changed = match self.statuses.get(server) {
            // An unchanged status with a newer stamp is not passed on, or else every list would be passed on whole.
            Some(current) if current.status == entry.status && entry.stamp > current.stamp => {
                self.statuses.merge(server, entry);
                false
            }
            // Nor is a new server that is serving: each instance learns that from its own list, and otherwise the whole
            // first list would be passed on.
            None if entry.status == ServerStatus::Serving => {
                self.statuses.merge(server, entry);
                false
            }
            _ => self.statuses.merge(server, entry),
        };
        if changed {
            self.pending_sends.insert(server.into(), 0);
        }
        changed
    }

    /// Restores what this instance knew before a restart. Nothing of it is passed on.
    pub fn restore(&mut self, discovery_stamp: Stamp, statuses: &[(String, StampedStatus)], floor: Stamp) {
        self.epochs.restore(discovery_stamp);
        self.statuses.raise_floor(floor);
        for (server, entry) in statuses {
            self.epochs.observe_stamp(entry.stamp);
            self.statuses.merge(server, *entry);
        }
    }

    /// The stamp of the newest list that discovery has sent to this instance.
    pub fn discovery_stamp(&self) -> Stamp {
        self.epochs.discovery_stamp()
    }

    /// Stores this instance's own row and returns it as an encoded update for the instances that use it. Sets the row's
    /// start id and sequence number. The row is not gossiped: sending it once to each instance of the zone costs less
    /// than gossip, in which each instance forwards it several times.
    pub fn record_own_outcomes(&mut self, now: Nanos, mut row: OutcomeRow) -> Vec<u8> {
        self.row_sequence += 1;
        (row.start_id, row.sequence) = (self.start_id, self.row_sequence);
        let (writer, start_id) = (self.instance.clone(), self.start_id);
        self.outcomes.merge(now, &writer, row.clone(), 0, start_id);
        let mut bytes = Vec::new();
        // The result is empty if the row is longer than that.
        encode_update(&mut bytes, &Update::Outcomes { writer, row, age: 0 }, MAX_ROW_UPDATE_BYTES);
        bytes
    }

    /// Merges updates from another replica and returns the servers whose status has changed, except new ones that are
    /// serving. `find_live_start_id` returns the start id of the live process of an instance.
    pub fn merge_updates(
        &mut self,
        now: Nanos,
        updates: Vec<Update>,
        find_live_start_id: impl Fn(&str) -> Option<u64>,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for update in updates {
            match update {
                Update::Status { server, entry } => {
                    if self.merge_status(&server, entry) {
                        changed.push(server);
                    }
                }
                Update::Outcomes { writer, row, age } => {
                    let Some(start_id) = find_live_start_id(&writer).filter(|_| writer != self.instance)
                    else {
                        continue;
                    };
                    self.outcomes.merge(now, &writer, row, age, start_id);
                }
                Update::EvictionFloor(floor) => self.statuses.raise_floor(floor),
            }
        }
        changed
    }

    /// Drops rows that are older than `max_age` or whose writer is neither a live member nor this instance.
    pub fn evict_outcomes(&mut self, now: Nanos, max_age: Nanos, is_live: impl Fn(&str) -> bool) {
        let own = self.instance.clone();
        self.outcomes.evict(now, max_age, |writer| writer == own || is_live(writer));
    }

    pub fn has_pending_updates(&self) -> bool {
        !self.pending_sends.is_empty()
    }

    /// Encodes pending status changes in at most `max_bytes`, those sent least often first. Each is dropped from the
    /// pending ones after `max_sends` sends.
    pub fn next_delta(&mut self, max_bytes: usize, max_sends: u32) -> Vec<u8> {
        let mut order: Vec<(u32, String)> =
            self.pending_sends.iter().map(|(server, sends)| (*sends, server.clone())).collect();
        order.sort();
        let mut bytes = Vec::new();
        for (sends, server) in order {
            let Some(entry) = self.statuses.get(&server) else {
                self.pending_sends.remove(&server);
                continue;
            };
            if !encode_update(&mut bytes, &Update::Status { server: server.clone(), entry }, max_bytes) {
                continue;
            }
            if sends + 1 >= max_sends {
                self.pending_sends.remove(&server);
            } else {
                self.pending_sends.insert(server, sends + 1);
            }
        }
        bytes
    }

    /// Sums over the statuses in each bucket of server ids. Stamps are left out, since replicas that got the same
    /// statuses from different lists do not differ. Serving servers are left out as well, since a server without an
    /// entry counts as serving.
    pub fn digest(&self) -> Digest {
        let mut digest = [0u32; DIGEST_BUCKETS];
        self.add_to_digest(&mut digest);
        digest
    }

    /// The digest with [`FINE_DIGEST_BUCKETS`] buckets.
    pub fn fine_digest(&self) -> Vec<u32> {
        let mut digest = vec![0u32; FINE_DIGEST_BUCKETS];
        self.add_to_digest(&mut digest);
        digest
    }

    fn add_to_digest(&self, digest: &mut [u32]) {
        let not_serving = self.statuses.iter().filter(|(_, entry)| entry.status != ServerStatus::Serving);
        for (server, entry) in not_serving {
            let bucket = bucket_index(server, digest.len());
            // A sum does not depend on the order. Neither CRCs nor an exclusive or would do: the CRCs of two servers change in
            // the same bits with the same change of status, so that two changes in one bucket would cancel out.
            // The seed 0 is that of `bucket_index`.
            digest[bucket] = digest[bucket].wrapping_add(xxh32(server.as_bytes(), 1 + entry.status as u32));
        }
    }

    /// The statuses in the buckets in which a peer's digest, with any number of buckets, differs from that of this replica.
    fn statuses_in_differing_buckets<'a>(
        &'a self,
        peer_digest: &'a [u32],
    ) -> impl Iterator<Item = (&'a String, &'a StampedStatus)> {
        let mut own_digest = vec![0u32; peer_digest.len().max(1)];
        self.add_to_digest(&mut own_digest);
        let differs = move |server: &str| {
            let bucket = bucket_index(server, own_digest.len());
            Some(&own_digest[bucket]) != peer_digest.get(bucket)
        };
        self.statuses.iter().filter(move |(server, _)| differs(server))
    }

    /// The number of statuses that [`Store::encode_differences`] would return.
    pub fn count_differences(&self, peer_digest: &[u32]) -> usize {
        self.statuses_in_differing_buckets(peer_digest).count()
    }

    /// Encodes the floor and the statuses in the buckets in which another replica's digest differs from its own, in chunks
    /// of at most `max_chunk_bytes`.
    pub fn encode_differences(&self, peer_digest: &[u32], max_chunk_bytes: usize) -> Vec<Vec<u8>> {
        let statuses = self.statuses_in_differing_buckets(peer_digest);
        let updates =
            statuses.map(|(server, entry)| Update::Status { server: server.clone(), entry: *entry });
        let mut chunks = vec![Vec::new()];
        for update in [Update::EvictionFloor(self.statuses.floor())].into_iter().chain(updates) {
            let last = chunks.len() - 1;
            if !encode_update(&mut chunks[last], &update, max_chunk_bytes) {
                let mut chunk = Vec::new();
                encode_update(&mut chunk, &update, max_chunk_bytes);
                chunks.push(chunk);
            }
        }
        chunks
    }
}

/// The bucket, out of `bucket_count`, that a server id falls into.
fn bucket_index(server: &str, bucket_count: usize) -> usize {
    xxh32(server.as_bytes(), 0) as usize % bucket_count.max(1)
}

/// Appends an update if the result has at most `max_bytes`, and returns whether it did.
fn encode_update(bytes: &mut Vec<u8>, update: &Update, max_bytes: usize) -> bool {
    let (kind, body) = match update {
        Update::Status { server, entry } => (STATUS_KIND, postcard::to_stdvec(&(server, entry))),
        Update::Outcomes { writer, row, age } => (OUTCOMES_KIND, postcard::to_stdvec(&(writer, row, age))),
        Update::EvictionFloor(floor) => (EVICTION_FLOOR_KIND, postcard::to_stdvec(floor)),
    };
    // Serializing plain values to memory does not fail.
    let body = body.unwrap_or_default();
    let Ok(length) = u16::try_from(body.len()) else { return false };
    let fits = bytes.len() + UPDATE_HEADER_BYTES + body.len() <= max_bytes;
    if fits {
        bytes.push(kind);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&body);
    }
    fits
}

/// Decodes updates. Skips unknown kinds; fails if the bytes are truncated or the body of a known kind is malformed.
pub fn decode_updates(mut bytes: &[u8]) -> Result<Vec<Update>, &'static str> {
    let mut updates = Vec::new();
    while !bytes.is_empty() {
        let (header, rest) = bytes.split_at_checked(UPDATE_HEADER_BYTES).ok_or("an item is cut")?;
        let length = usize::from(u16::from_le_bytes([header[1], header[2]]));
        let (body, rest) = rest.split_at_checked(length).ok_or("an item is cut")?;
        bytes = rest;
        let update = match header[0] {
            STATUS_KIND => postcard::from_bytes(body).map(|(server, entry)| Update::Status { server, entry }),
            OUTCOMES_KIND => {
                postcard::from_bytes(body).map(|(writer, row, age)| Update::Outcomes { writer, row, age })
            }
            EVICTION_FLOOR_KIND => postcard::from_bytes(body).map(Update::EvictionFloor),
            _ => continue,
        };
        updates.push(update.map_err(|_| "an item can't be read")?);
    }
    Ok(updates)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::outcomes::OutcomeCounts;

    fn store(instance: &str) -> Store {
        Store::new(instance, 1, 1_000)
    }

    /// Parses servers with one-letter ids; `!` after an id means draining, `-` gone.
    fn list(text: &str) -> Vec<(String, ServerStatus)> {
        let status = |suffix: &str| match suffix {
            "!" => ServerStatus::Draining,
            "-" => ServerStatus::Gone,
            _ => ServerStatus::Serving,
        };
        text.split(' ').map(|server| (server[..1].to_owned(), status(&server[1..]))).collect()
    }

    fn send_delta(from: &mut Store, to: &mut Store) -> Vec<String> {
        let updates = decode_updates(&from.next_delta(1_000, 3)).expect("updates");
        to.merge_updates(0, updates, |_| Some(1))
    }

    fn status(store: &Store, server: &str) -> Option<ServerStatus> {
        store.statuses().get(server).map(|entry| entry.status)
    }

    #[test]
    fn a_drain_spreads_and_lists_without_changes_do_not() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        one.apply_discovery(1, true, &list("a b c"));
        other.apply_discovery(1, true, &list("a b c"));
        for _ in 0..3 {
            send_delta(&mut one, &mut other);
            send_delta(&mut other, &mut one);
        }
        assert!(!one.has_pending_updates() && !other.has_pending_updates() && one.digest() == other.digest());
        assert!(one.apply_discovery(2, true, &list("a b c")).is_empty() && !one.has_pending_updates());
        assert_eq!(one.apply_discovery(3, false, &list("b!")), ["b"]);
        assert_eq!(
            (send_delta(&mut one, &mut other), status(&other, "b")),
            (vec!["b".to_owned()], Some(ServerStatus::Draining))
        );
        // The other instance's own list is older than the drain, so it does not undo it.
        assert!(other.apply_discovery(2, true, &list("a b c")).is_empty());
        assert_eq!(status(&other, "b"), Some(ServerStatus::Draining));
    }

    #[test]
    fn a_list_after_a_restart_of_discovery_is_newer_and_marks_missing_servers_as_gone() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        one.apply_discovery(41, true, &list("a b c"));
        other.apply_discovery(41, true, &list("a b c"));
        assert_eq!(one.apply_discovery(1, true, &list("a b")), ["c"]);
        send_delta(&mut one, &mut other);
        assert_eq!(status(&other, "c"), Some(ServerStatus::Gone));
        assert!(
            other.apply_discovery(41, true, &list("a b c")).is_empty(),
            "a list of the earlier epoch is old"
        );
        assert_eq!(other.apply_discovery(2, false, &list("c")), ["c"]);
    }

    #[test]
    fn replicas_that_exchange_their_differences_converge() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        let servers: Vec<(String, ServerStatus)> = (0..300)
            .map(|number| {
                (
                    format!("srv-{number}"),
                    if number % 3 == 0 { ServerStatus::Draining } else { ServerStatus::Serving },
                )
            })
            .collect();
        one.apply_discovery(5, true, &servers);
        other.apply_discovery(4, true, &servers[..200]);
        for (from, to) in [(0, 1), (1, 0)] {
            let stores = [&mut one, &mut other];
            let peer_digest = stores[to].digest();
            let chunks = stores[from].encode_differences(&peer_digest, 1_000);
            assert!(chunks.iter().all(|chunk| chunk.len() <= 1_000));
            for chunk in chunks {
                stores[to].merge_updates(0, decode_updates(&chunk).expect("updates"), |_| Some(1));
            }
        }
        assert_eq!(one.digest(), other.digest());
        let draining_servers = |store: &Store| {
            store.statuses().iter().filter(|(_, entry)| entry.status == ServerStatus::Draining).count()
        };
        assert_eq!((draining_servers(&one), draining_servers(&other)), (100, 100));
    }

    /// Guards against a digest in which equal changes cancel out, so that replicas would differ for ever.
    #[test]
    fn any_number_of_equal_changes_shows_in_the_digest() {
        let servers: Vec<(String, ServerStatus)> =
            (0..60).map(|number| (format!("srv-{number:02}"), ServerStatus::Serving)).collect();
        for change_count in 1..60 {
            let (mut one, mut other) = (store("n1"), store("n2"));
            one.apply_discovery(5, true, &servers);
            other.apply_discovery(5, true, &servers);
            let drained: Vec<(String, ServerStatus)> = servers[..change_count]
                .iter()
                .map(|(server, _)| (server.clone(), ServerStatus::Draining))
                .collect();
            one.apply_discovery(6, false, &drained);
            let merged: usize = one
                .encode_differences(&other.digest(), 1_000)
                .iter()
                .map(|chunk| {
                    other.merge_updates(0, decode_updates(chunk).expect("updates"), |_| Some(1)).len()
                })
                .sum();
            assert_eq!(merged, change_count, "statuses merged");
        }
    }

    /// Guards against sending a whole list for the few statuses in which two replicas differ.
    #[test]
    fn differences_by_the_fine_digest_are_few_even_of_a_long_list() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        (one.statuses, other.statuses) = (StatusTable::new(20_000), StatusTable::new(20_000));
        let servers: Vec<(String, ServerStatus)> =
            (0..10_000).map(|number| (format!("srv-{number}"), ServerStatus::Serving)).collect();
        one.apply_discovery(5, true, &servers);
        other.apply_discovery(5, true, &servers);
        let drained: Vec<(String, ServerStatus)> =
            (0..50).map(|number| (format!("srv-{}", number * 99), ServerStatus::Draining)).collect();
        one.apply_discovery(6, false, &drained);
        let (coarse, fine) =
            (one.count_differences(&other.digest()), one.count_differences(&other.fine_digest()));
        assert!(
            coarse > 8_000 && (50..1_000).contains(&fine),
            "{coarse} differences by 16 buckets, {fine} by 1,024"
        );
        for chunk in one.encode_differences(&other.fine_digest(), 16_000) {
            assert!(chunk.len() <= 16_000);
            other.merge_updates(0, decode_updates(&chunk).expect("updates"), |_| Some(1));
        }
        assert_eq!(one.digest(), other.digest());
        // Everything differs from a digest without buckets.
        assert_eq!(one.count_differences(&[]), 10_000);
    }

    #[test]
    fn only_the_live_process_of_an_instance_writes_its_row() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        let counts = OutcomeCounts { succeeded: 3, ..OutcomeCounts::default() };
        let row = OutcomeRow {
            start_id: 0,
            sequence: 0,
            zone: "a".into(),
            rule_sets: vec!["x".into()],
            entries: vec![("s".into(), 0, counts)],
        };
        let updates = decode_updates(&one.record_own_outcomes(100, row.clone())).expect("updates");
        other.merge_updates(1_000, updates.clone(), |_| Some(1));
        assert_eq!(
            other.outcomes().get("n1").map(|stored| (stored.written_at, stored.row.sequence)),
            Some((1_000, 1))
        );
        assert!(!other.has_pending_updates(), "rows are not gossiped");
        // An instance ignores its own row from others, and a row of a process that is not live.
        one.merge_updates(9_000, updates.clone(), |_| Some(1));
        assert_eq!(one.outcomes().get("n1").map(|stored| stored.written_at), Some(100));
        let mut late = store("n4");
        late.merge_updates(0, updates, |_| Some(2));
        assert!(late.outcomes().get("n1").is_none());
    }

    #[test]
    fn unknown_kinds_of_updates_are_skipped() {
        let mut one = store("n1");
        one.apply_discovery(1, true, &list("a!"));
        let mut bytes = vec![99, 2, 0, 1, 1];
        bytes.extend(one.next_delta(1_000, 3));
        assert_eq!(decode_updates(&bytes).map(|updates| updates.len()), Ok(1));
        assert!(decode_updates(&bytes[..bytes.len() - 1]).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn any_bytes_decode_to_updates_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            if let Ok(updates) = decode_updates(&bytes) {
                prop_assert!(updates.len() <= bytes.len() / UPDATE_HEADER_BYTES);
                store("n1").merge_updates(0, updates, |_| Some(1));
            }
        }
    }
}
