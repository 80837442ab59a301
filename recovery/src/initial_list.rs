//! What a start takes over. It owns the rules by which what is old is dropped, and must never take a srv back that any source
//! knew to be gone or draining: only discovery's fresh word does that.

use std::collections::BTreeSet;

use ochreshed::Listed;
use ochreshed_replica::status::ServerStatus;

use crate::snapshot::{Snapshot, SnapshotEntry};
use crate::{Nanos, S};

/// A list in which so much may have changed is worse than none that says so: it is dropped where another one is there.
pub const STALE_SNAPSHOT_AGE: Nanos = 24 * 3_600 * S;

/// What the start facts say, in discovery's count.
pub struct FactsList<A> {
    pub version: u64,
    pub entries: Vec<(Listed, A)>,
}

/// Where the first list came from, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    Nothing,
    Facts,
    Snapshot,
}

/// The list to begin with.
pub struct InitialList<A> {
    pub source: ListSource,
    pub entries: Vec<(Listed, A)>,
    /// Left out because the snapshot knew them to be gone.
    pub excluded_as_gone: usize,
    /// Avoided because it knew them to drain.
    pub marked_draining: usize,
}

/// Of the list in the start facts and the one in the snapshot the newer, by discovery's version, so that a start's list is
/// never older than what this instance knew before. Of either, no srv is used that the snapshot knew to be gone or to
/// drain by a newer list than that. `age` is the snapshot's, by the machine's clock.
pub fn select_initial_list<A: From<std::net::SocketAddr>>(
    facts: Option<FactsList<A>>,
    snapshot: Option<&Snapshot>,
    age: Nanos,
) -> InitialList<A> {
    let Some(snapshot) = snapshot else {
        let source = if facts.is_some() { ListSource::Facts } else { ListSource::Nothing };
        return InitialList {
            source,
            entries: facts.map_or(Vec::new(), |facts| facts.entries),
            excluded_as_gone: 0,
            marked_draining: 0,
        };
    };
    // The facts' list is newer, or the snapshot's is so old that any other one is better.
    let facts = facts.filter(|facts| {
        facts.version > snapshot.stamp.version || (age > STALE_SNAPSHOT_AGE && !facts.entries.is_empty())
    });
    let (source, version, mut entries) = match facts {
        Some(facts) => (ListSource::Facts, facts.version, facts.entries),
        None => {
            let entry = |entry: &SnapshotEntry| (entry.to_listed(), A::from(entry.address));
            (ListSource::Snapshot, snapshot.stamp.version, snapshot.entries.iter().map(entry).collect())
        }
    };
    // A word of an earlier count or an older list is settled by the list itself.
    let newer = |heard: ServerStatus| -> BTreeSet<&str> {
        let stands = snapshot.statuses.iter().filter(|(_, word)| word.status == heard);
        let stands = stands.filter(|(_, word)| {
            word.stamp.epoch > snapshot.stamp.epoch
                || (word.stamp.version >= version && word.stamp.epoch == snapshot.stamp.epoch)
        });
        stands.map(|(srv, _)| srv.as_str()).collect()
    };
    let (gone, drains) = (newer(ServerStatus::Gone), newer(ServerStatus::Draining));
    let before = entries.len();
    entries.retain(|(listed, _)| !gone.contains(&*listed.srv));
    let excluded_as_gone = before - entries.len();
    let mut marked_draining = 0;
    for (listed, _) in &mut entries {
        if listed.state == ochreshed::State::Up && drains.contains(&*listed.srv) {
            listed.state = ochreshed::State::Draining;
            marked_draining += 1;
        }
    }
    InitialList { source, entries, excluded_as_gone, marked_draining }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use ochreshed::State;
    use ochreshed_replica::stamp::Stamp;
    use ochreshed_replica::status::StampedStatus;
    use proptest::prelude::*;

    use super::*;

    fn entry(srv: &str) -> SnapshotEntry {
        SnapshotEntry {
            server: srv.into(),
            draining: false,
            came_up: None,
            weight: 1.0,
            site: "a".into(),
            cell: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
        }
    }

    fn snapshot(version: u64, srvs: &str, words: &[(&str, u64, ServerStatus)]) -> Snapshot {
        let stamp = |version| Stamp { epoch: 0, version };
        let word = |(srv, version, state): &(&str, u64, ServerStatus)| {
            ((*srv).to_owned(), StampedStatus { stamp: stamp(*version), status: *state })
        };
        Snapshot {
            fleet: String::new(),
            instance: String::new(),
            sequence: 1,
            written_at_unix_ns: 0,
            stamp: stamp(version),
            entries: srvs.split_whitespace().map(entry).collect(),
            statuses: words.iter().map(word).collect(),
            floor: Stamp::default(),
        }
    }

    fn given(version: u64, srvs: &str) -> Option<FactsList<SocketAddr>> {
        let entries = srvs.split_whitespace().map(|srv| (entry(srv).to_listed(), entry(srv).address));
        Some(FactsList { version, entries: entries.collect() })
    }

    fn names(first: &InitialList<SocketAddr>) -> String {
        let up = |state| if state == State::Up { "" } else { "!" };
        let names = first.entries.iter().map(|(listed, _)| format!("{}{}", listed.srv, up(listed.state)));
        names.collect::<Vec<_>>().join(" ")
    }

    #[test]
    fn the_newer_list_is_taken_and_nothing_that_was_known_to_be_gone() {
        // An old list in the facts, as all that restart have it: the snapshot's is newer.
        let old = snapshot(7, "a b", &[("c", 6, ServerStatus::Gone), ("b", 7, ServerStatus::Draining)]);
        let start = select_initial_list(given(3, "a b c"), Some(&old), 0);
        assert_eq!((names(&start).as_str(), start.source), ("a b!", ListSource::Snapshot));
        // The facts' list is newer, and what others had told of later lists stands against it.
        let told = snapshot(2, "a b c", &[("b", 9, ServerStatus::Gone), ("a", 1, ServerStatus::Draining)]);
        let start = select_initial_list(given(3, "a b c"), Some(&told), 0);
        assert_eq!(
            (names(&start).as_str(), start.source, start.excluded_as_gone),
            ("a c", ListSource::Facts, 1)
        );
        // A snapshot from last week is no list, and still no srv comes back that it knew to be gone.
        let start = select_initial_list(given(3, "a b c"), Some(&old), 7 * STALE_SNAPSHOT_AGE);
        assert_eq!((names(&start).as_str(), start.source), ("a b!", ListSource::Facts));
        let start = select_initial_list(None, Some(&old), 7 * STALE_SNAPSHOT_AGE);
        assert_eq!((names(&start).as_str(), start.source), ("a b!", ListSource::Snapshot));
    }

    #[test]
    fn without_a_snapshot_all_is_as_the_facts_say() {
        let start = select_initial_list(given(3, "a b"), None, 0);
        assert_eq!((names(&start).as_str(), start.source), ("a b", ListSource::Facts));
        assert_eq!(select_initial_list::<SocketAddr>(None, None, 0).source, ListSource::Nothing);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever the sources say: nothing is used that a word not older than the list knew to be gone or draining, and
        /// nothing that no source lists.
        #[test]
        fn no_srv_comes_back_by_a_start(
            facts in (0..9u64, prop::collection::btree_set(0..6u8, 0..6)),
            held in (0..9u64, prop::collection::btree_set(0..6u8, 0..6)),
            words in prop::collection::vec((0..6u8, 0..9u64, any::<bool>()), 0..6),
            age in 0..2 * STALE_SNAPSHOT_AGE,
        ) {
            let list = |srvs: &BTreeSet<u8>| srvs.iter().map(|srv| format!("s{srv} ")).collect::<String>();
            let said: Vec<(String, u64, ServerStatus)> = words.iter().map(|(srv, version, gone)| {
                (format!("s{srv}"), *version, if *gone { ServerStatus::Gone } else { ServerStatus::Draining })
            }).collect();
            let said: Vec<(&str, u64, ServerStatus)> = said.iter().map(|(srv, version, state)| (srv.as_str(), *version, *state)).collect();
            let snapshot = snapshot(held.0, &list(&held.1), &said);
            let start = select_initial_list(given(facts.0, &list(&facts.1)), Some(&snapshot), age);
            let version = if start.source == ListSource::Facts { facts.0 } else { held.0 };
            for (listed, _) in start.entries.iter().filter(|(listed, _)| listed.state == State::Up) {
                let srv: u8 = listed.srv[1..].parse().expect("a number");
                prop_assert!(facts.1.contains(&srv) || held.1.contains(&srv));
                prop_assert!(!words.iter().any(|(of, at, _)| *of == srv && *at >= version), "{srv}");
            }
        }
    }
}
