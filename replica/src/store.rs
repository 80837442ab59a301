//! The state of one copy and how copies meet: what is new is passed on in deltas that fit a datagram, a bounded number of
//! times; digests tell which parts of two copies differ, and only those are sent. It owns what is passed on and must never
//! pass on what did not stand here.

use std::collections::{BTreeMap, HashSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh32::xxh32;

use crate::Nanos;
use crate::outcomes::{OutcomeRow, OutcomeTable};
use crate::stamp::{EpochTracker, Stamp};
use crate::status::{ServerStatus, StampedStatus, StatusTable};

/// A sum for each part of all srvs' ids.
pub const DIGEST_BUCKETS: usize = 16;
pub type Digest = [u32; DIGEST_BUCKETS];
/// Parts of the digest by which copies meet that differ in much: a few words fall into each of a long list's.
pub const FINE_DIGEST_BUCKETS: usize = 1_024;

/// What copies tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    Status {
        server: String,
        stamped: StampedStatus,
    },
    /// Its age when it is sent, so that no two machines' clocks are compared.
    Outcomes {
        writer: String,
        row: OutcomeRow,
        age: Nanos,
    },
    Floor(Stamp),
}

/// Kinds of items as bytes. One that this build does not know is skipped.
const WORD: u8 = 1;
const FLOOR: u8 = 3;
/// 2 was a row of counts without rule sets.
const ROW: u8 = 4;
/// An item's head: its kind and its length.
const HEAD: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    name: String,
    start: u64,
    statuses: StatusTable,
    outcomes: OutcomeTable,
    epochs: EpochTracker,
    number: u64,
    /// How often each srv's word was passed on that is news.
    news: BTreeMap<String, u32>,
}

impl Store {
    /// A copy of the instance of this name and start, which holds words on so many srvs at the most.
    pub fn new(name: &str, start: u64, most_srvs: usize) -> Store {
        Store {
            name: name.into(),
            start,
            statuses: StatusTable::new(most_srvs),
            outcomes: OutcomeTable::default(),
            epochs: EpochTracker::default(),
            number: 0,
            news: BTreeMap::new(),
        }
    }

    pub fn statuses(&self) -> &StatusTable {
        &self.statuses
    }

    pub fn outcomes(&self) -> &OutcomeTable {
        &self.outcomes
    }

    /// Discovery has told this instance a list or changes of this version: what it says of each srv named, and for a whole
    /// list that those held and not named are gone. What of it is news to this copy.
    pub fn apply_discovery(
        &mut self,
        version: u64,
        whole: bool,
        entries: &[(String, ServerStatus)],
    ) -> Vec<String> {
        let stamp = self.epochs.record_discovery_version(version);
        let mut said: Vec<(String, ServerStatus)> = entries.to_vec();
        if whole {
            let named: HashSet<&String> = entries.iter().map(|(srv, _)| srv).collect();
            let gone = self
                .statuses
                .iter()
                .filter(|(srv, word)| word.status != ServerStatus::Gone && !named.contains(srv));
            // What somebody else has heard of since is not gone by an older list.
            let gone = gone
                .filter(|(_, word)| word.stamp <= stamp)
                .map(|(srv, _)| (srv.clone(), ServerStatus::Gone));
            said.extend(gone.collect::<Vec<_>>());
        }
        said.retain(|(srv, state)| self.merge_status(srv, StampedStatus { stamp, status: *state }));
        said.into_iter().map(|(srv, _)| srv).collect()
    }

    fn merge_status(&mut self, srv: &str, word: StampedStatus) -> bool {
        self.epochs.observe_peer_stamp(word.stamp);
        let news = match self.statuses.get(srv) {
            // The same said by a newer list is no news to anybody: it would make every list one.
            Some(held) if held.status == word.status && word.stamp > held.stamp => {
                self.statuses.merge(srv, word);
                false
            }
            // That one serves which nobody spoke of is each one's own list's to say; else a first list would all be news.
            None if word.status == ServerStatus::Serving => {
                self.statuses.merge(srv, word);
                false
            }
            _ => self.statuses.merge(srv, word),
        };
        if news {
            self.news.insert(srv.into(), 0);
        }
        news
    }

    /// What this instance knew before it started anew: no news to anybody.
    pub fn restore(&mut self, own: Stamp, words: &[(String, StampedStatus)], floor: Stamp) {
        self.epochs.restore(own);
        self.statuses.raise_floor(floor);
        for (srv, word) in words {
            self.epochs.observe_peer_stamp(word.stamp);
            self.statuses.merge(srv, *word);
        }
    }

    /// Of the newest list that discovery told this instance.
    pub fn discovery_stamp(&self) -> Stamp {
        self.epochs.discovery_stamp()
    }

    /// What this instance has counted since the last time, as an item for those that it counts for. It is not passed on: to
    /// tell each of a zone once costs less than gossip, where each passes it on several times.
    pub fn record_own_outcomes(&mut self, now: Nanos, mut row: OutcomeRow) -> Vec<u8> {
        self.number += 1;
        (row.start_id, row.sequence) = (self.start, self.number);
        let (name, start) = (self.name.clone(), self.start);
        self.outcomes.merge(now, &name, row.clone(), 0, start);
        let mut bytes = Vec::new();
        encode_update(&mut bytes, &Update::Outcomes { writer: name, row, age: 0 }, usize::from(u16::MAX));
        bytes
    }

    /// Hears what another copy tells; the srvs on which something else stands now. `lives` tells the start of a member that
    /// is there.
    pub fn merge_updates(
        &mut self,
        now: Nanos,
        items: Vec<Update>,
        lives: impl Fn(&str) -> Option<u64>,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for item in items {
            match item {
                Update::Status { server, stamped } => {
                    if self.merge_status(&server, stamped) {
                        changed.push(server);
                    }
                }
                Update::Outcomes { writer, row, age } => {
                    let Some(start) = lives(&writer).filter(|_| writer != self.name) else { continue };
                    self.outcomes.merge(now, &writer, row, age, start);
                }
                Update::Floor(floor) => self.statuses.raise_floor(floor),
            }
        }
        changed
    }

    /// Drops rows that are too old or whose writers are not there.
    pub fn evict_outcomes(&mut self, now: Nanos, age: Nanos, there: impl Fn(&str) -> bool) {
        let own = self.name.clone();
        self.outcomes.evict(now, age, |writer| writer == own || there(writer));
    }

    pub fn has_pending_updates(&self) -> bool {
        !self.news.is_empty()
    }

    /// News to pass on, as bytes that fit: what was passed on least comes first, and goes after so many times.
    pub fn next_delta(&mut self, room: usize, times: u32) -> Vec<u8> {
        let mut order: Vec<(u32, String)> =
            self.news.iter().map(|(srv, sent)| (*sent, srv.clone())).collect();
        order.sort();
        let mut bytes = Vec::new();
        for (sent, srv) in order {
            let Some(word) = self.statuses.get(&srv) else {
                self.news.remove(&srv);
                continue;
            };
            if !encode_update(&mut bytes, &Update::Status { server: srv.clone(), stamped: word }, room) {
                continue;
            }
            if sent + 1 >= times {
                self.news.remove(&srv);
            } else {
                self.news.insert(srv, sent + 1);
            }
        }
        bytes
    }

    /// Sums over the words, by the part that a srv's id falls into. Stamps are left out, for a list that says the same again
    /// makes no two copies differ; and what serves, for that is what stands where nothing is held.
    pub fn digest(&self) -> Digest {
        let mut digest = [0u32; DIGEST_BUCKETS];
        self.sum_up(&mut digest);
        digest
    }

    /// The same in `FINE_DIGEST_BUCKETS` parts.
    pub fn fine_digest(&self) -> Vec<u32> {
        let mut digest = vec![0u32; FINE_DIGEST_BUCKETS];
        self.sum_up(&mut digest);
        digest
    }

    fn sum_up(&self, digest: &mut [u32]) {
        for (srv, word) in self.statuses.iter().filter(|(_, word)| word.status != ServerStatus::Serving) {
            let part = part(srv, digest.len());
            // By a sum the order does not matter. Not of CRCs, nor by exclusive or: CRCs of two srvs that change alike change
            // by the same bits, so that two changes in one part would look like none.
            digest[part] = digest[part].wrapping_add(xxh32(srv.as_bytes(), 1 + word.status as u32));
        }
    }

    /// The words of the parts in which another copy's digest, of any number of parts, is not ours.
    fn of_differing<'a>(
        &'a self,
        theirs: &'a [u32],
    ) -> impl Iterator<Item = (&'a String, &'a StampedStatus)> {
        let mut ours = vec![0u32; theirs.len().max(1)];
        self.sum_up(&mut ours);
        let differs = move |srv: &str| {
            let part = part(srv, ours.len());
            Some(&ours[part]) != theirs.get(part)
        };
        self.statuses.iter().filter(move |(srv, _)| differs(srv))
    }

    /// How many words `encode_differences` would tell.
    pub fn count_differences(&self, theirs: &[u32]) -> usize {
        self.of_differing(theirs).count()
    }

    /// The words of the parts in which another copy's digest is not ours, and our floor, in pieces of so many bytes.
    pub fn encode_differences(&self, theirs: &[u32], room: usize) -> Vec<Vec<u8>> {
        let words = self.of_differing(theirs);
        let items = words.map(|(srv, word)| Update::Status { server: srv.clone(), stamped: *word });
        let mut pieces = vec![Vec::new()];
        for item in [Update::Floor(self.statuses.floor())].into_iter().chain(items) {
            let last = pieces.len() - 1;
            if !encode_update(&mut pieces[last], &item, room) {
                let mut piece = Vec::new();
                encode_update(&mut piece, &item, room);
                pieces.push(piece);
            }
        }
        pieces
    }
}

/// The part of so many that a srv's id falls into.
fn part(srv: &str, parts: usize) -> usize {
    xxh32(srv.as_bytes(), 0) as usize % parts.max(1)
}

/// Writes an item where it fits.
fn encode_update(bytes: &mut Vec<u8>, item: &Update, room: usize) -> bool {
    let (kind, body) = match item {
        Update::Status { server, stamped } => (WORD, postcard::to_stdvec(&(server, stamped))),
        Update::Outcomes { writer, row, age } => (ROW, postcard::to_stdvec(&(writer, row, age))),
        Update::Floor(floor) => (FLOOR, postcard::to_stdvec(floor)),
    };
    // These are plain values: writing them to memory does not fail.
    let body = body.unwrap_or_default();
    let Ok(length) = u16::try_from(body.len()) else { return false };
    let fits = bytes.len() + HEAD + body.len() <= room;
    if fits {
        bytes.push(kind);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&body);
    }
    fits
}

/// Reads items; kinds that are not known are skipped. An error where the bytes are no items.
pub fn decode_updates(mut bytes: &[u8]) -> Result<Vec<Update>, &'static str> {
    let mut items = Vec::new();
    while !bytes.is_empty() {
        let (head, rest) = bytes.split_at_checked(HEAD).ok_or("an item is cut")?;
        let length = usize::from(u16::from_le_bytes([head[1], head[2]]));
        let (body, rest) = rest.split_at_checked(length).ok_or("an item is cut")?;
        bytes = rest;
        let item = match head[0] {
            WORD => postcard::from_bytes(body).map(|(server, stamped)| Update::Status { server, stamped }),
            ROW => postcard::from_bytes(body).map(|(writer, row, age)| Update::Outcomes { writer, row, age }),
            FLOOR => postcard::from_bytes(body).map(Update::Floor),
            _ => continue,
        };
        items.push(item.map_err(|_| "an item can't be read")?);
    }
    Ok(items)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::outcomes::OutcomeCounts;

    fn store(name: &str) -> Store {
        Store::new(name, 1, 1_000)
    }

    fn list(of: &str) -> Vec<(String, ServerStatus)> {
        let state = |end: &str| match end {
            "!" => ServerStatus::Draining,
            "-" => ServerStatus::Gone,
            _ => ServerStatus::Serving,
        };
        of.split(' ').map(|srv| (srv[..1].to_owned(), state(&srv[1..]))).collect()
    }

    fn pass(from: &mut Store, to: &mut Store) -> Vec<String> {
        let items = decode_updates(&from.next_delta(1_000, 3)).expect("items");
        to.merge_updates(0, items, |_| Some(1))
    }

    fn state(store: &Store, srv: &str) -> Option<ServerStatus> {
        store.statuses().get(srv).map(|word| word.status)
    }

    #[test]
    fn a_drain_told_to_one_is_heard_by_the_other_and_lists_without_news_are_none() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        one.apply_discovery(1, true, &list("a b c"));
        other.apply_discovery(1, true, &list("a b c"));
        for _ in 0..3 {
            pass(&mut one, &mut other);
            pass(&mut other, &mut one);
        }
        assert!(!one.has_pending_updates() && !other.has_pending_updates() && one.digest() == other.digest());
        assert!(one.apply_discovery(2, true, &list("a b c")).is_empty() && !one.has_pending_updates());
        assert_eq!(one.apply_discovery(3, false, &list("b!")), ["b"]);
        assert_eq!(
            (pass(&mut one, &mut other), state(&other, "b")),
            (vec!["b".to_owned()], Some(ServerStatus::Draining))
        );
        // The other one's own list is older: it says that b serves, and is not believed.
        assert!(other.apply_discovery(2, true, &list("a b c")).is_empty());
        assert_eq!(state(&other, "b"), Some(ServerStatus::Draining));
    }

    #[test]
    fn discovery_that_counts_anew_is_newer_and_what_it_leaves_out_is_gone() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        one.apply_discovery(41, true, &list("a b c"));
        other.apply_discovery(41, true, &list("a b c"));
        assert_eq!(one.apply_discovery(1, true, &list("a b")), ["c"]);
        pass(&mut one, &mut other);
        assert_eq!(state(&other, "c"), Some(ServerStatus::Gone));
        assert!(other.apply_discovery(41, true, &list("a b c")).is_empty(), "the old count is old");
        assert_eq!(other.apply_discovery(2, false, &list("c")), ["c"]);
    }

    #[test]
    fn copies_that_differ_agree_once_they_have_met() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        let long: Vec<(String, ServerStatus)> = (0..300)
            .map(|number| {
                (
                    format!("srv-{number}"),
                    if number % 3 == 0 { ServerStatus::Draining } else { ServerStatus::Serving },
                )
            })
            .collect();
        one.apply_discovery(5, true, &long);
        other.apply_discovery(4, true, &long[..200]);
        for (from, to) in [(0, 1), (1, 0)] {
            let stores = [&mut one, &mut other];
            let theirs = stores[to].digest();
            let pieces = stores[from].encode_differences(&theirs, 1_000);
            assert!(pieces.iter().all(|piece| piece.len() <= 1_000));
            for piece in pieces {
                stores[to].merge_updates(0, decode_updates(&piece).expect("items"), |_| Some(1));
            }
        }
        assert_eq!(one.digest(), other.digest());
        let drains = |store: &Store| {
            store.statuses().iter().filter(|(_, word)| word.status == ServerStatus::Draining).count()
        };
        assert_eq!((drains(&one), drains(&other)), (100, 100));
    }

    /// Guards against a digest in which two changes of a kind cancel out: the copies would differ for ever.
    #[test]
    fn any_number_of_like_changes_shows_in_the_digest() {
        let long: Vec<(String, ServerStatus)> =
            (0..60).map(|number| (format!("srv-{number:02}"), ServerStatus::Serving)).collect();
        for changed in 1..60 {
            let (mut one, mut other) = (store("n1"), store("n2"));
            one.apply_discovery(5, true, &long);
            other.apply_discovery(5, true, &long);
            let drained: Vec<(String, ServerStatus)> =
                long[..changed].iter().map(|(srv, _)| (srv.clone(), ServerStatus::Draining)).collect();
            one.apply_discovery(6, false, &drained);
            let told: usize = one
                .encode_differences(&other.digest(), 1_000)
                .iter()
                .map(|piece| other.merge_updates(0, decode_updates(piece).expect("items"), |_| Some(1)).len())
                .sum();
            assert_eq!(told, changed, "of so many changes");
        }
    }

    /// Guards against a whole list sent for the few words in which two copies of it differ.
    #[test]
    fn of_a_long_list_little_more_is_told_than_differs() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        (one.statuses, other.statuses) = (StatusTable::new(20_000), StatusTable::new(20_000));
        let long: Vec<(String, ServerStatus)> =
            (0..10_000).map(|number| (format!("srv-{number}"), ServerStatus::Serving)).collect();
        one.apply_discovery(5, true, &long);
        other.apply_discovery(5, true, &long);
        let drained: Vec<(String, ServerStatus)> =
            (0..50).map(|number| (format!("srv-{}", number * 99), ServerStatus::Draining)).collect();
        one.apply_discovery(6, false, &drained);
        let (coarse, fine) =
            (one.count_differences(&other.digest()), one.count_differences(&other.fine_digest()));
        assert!(coarse > 8_000 && (50..1_000).contains(&fine), "{coarse} by 16 parts, {fine} by 1,024");
        for piece in one.encode_differences(&other.fine_digest(), 16_000) {
            assert!(piece.len() <= 16_000);
            other.merge_updates(0, decode_updates(&piece).expect("items"), |_| Some(1));
        }
        assert_eq!(one.digest(), other.digest());
        // A digest of no parts differs in all.
        assert_eq!(one.count_differences(&[]), 10_000);
    }

    #[test]
    fn a_row_is_its_writers_alone_and_of_the_start_that_lives() {
        let (mut one, mut other) = (store("n1"), store("n2"));
        let counts = OutcomeCounts { succeeded: 3, ..OutcomeCounts::default() };
        let row = OutcomeRow {
            start_id: 0,
            sequence: 0,
            zone: "a".into(),
            rule_sets: vec!["x".into()],
            entries: vec![("s".into(), 0, counts)],
        };
        let items = decode_updates(&one.record_own_outcomes(100, row.clone())).expect("items");
        other.merge_updates(1_000, items.clone(), |_| Some(1));
        assert_eq!(
            other.outcomes().get("n1").map(|held| (held.written_at, held.row.sequence)),
            Some((1_000, 1))
        );
        assert!(!other.has_pending_updates(), "rows are not passed on");
        // What others say of one's own row is not heard, nor a row of a start that does not live.
        one.merge_updates(9_000, items.clone(), |_| Some(1));
        assert_eq!(one.outcomes().get("n1").map(|held| held.written_at), Some(100));
        let mut late = store("n4");
        late.merge_updates(0, items, |_| Some(2));
        assert!(late.outcomes().get("n1").is_none());
    }

    #[test]
    fn kinds_that_this_build_does_not_know_are_skipped() {
        let mut one = store("n1");
        one.apply_discovery(1, true, &list("a!"));
        let mut bytes = vec![99, 2, 0, 1, 1];
        bytes.extend(one.next_delta(1_000, 3));
        assert_eq!(decode_updates(&bytes).map(|items| items.len()), Ok(1));
        assert!(decode_updates(&bytes[..bytes.len() - 1]).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn any_bytes_are_items_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            if let Ok(items) = decode_updates(&bytes) {
                prop_assert!(items.len() <= bytes.len() / HEAD);
                store("n1").merge_updates(0, items, |_| Some(1));
            }
        }
    }
}
