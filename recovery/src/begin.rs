//! What a start takes over. It owns the rules by which what is old is dropped, and must never take a srv back that any source
//! knew to be gone or draining: only discovery's fresh word does that.

use std::collections::BTreeSet;

use ochreshed::ListedEndpoint;
use ochreshed_replica::status::ServerStatus;

use crate::snapshot::{Entry, Snapshot};
use crate::{Nanos, S};

/// A list in which so much may have changed is worse than none that says so: it is dropped where another one is there.
pub const OLD_LIST: Nanos = 24 * 3_600 * S;

/// What the start facts say, in discovery's count.
pub struct Given<A> {
    pub version: u64,
    pub entries: Vec<(ListedEndpoint, A)>,
}

/// Where the first list came from, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    Nothing,
    Facts,
    Snapshot,
}

/// The list to begin with.
pub struct First<A> {
    pub source: Source,
    pub entries: Vec<(ListedEndpoint, A)>,
    /// Left out because the snapshot knew them to be gone.
    pub gone: usize,
    /// Avoided because it knew them to drain.
    pub drain: usize,
}

/// Of the list in the start facts and the one in the snapshot the newer, by discovery's version, so that a start's list is
/// never older than what this instance knew before. Of either, no srv is used that the snapshot knew to be gone or to
/// drain by a newer list than that. `age` is the snapshot's, by the machine's clock.
pub fn first<A: From<std::net::SocketAddr>>(
    given: Option<Given<A>>,
    snapshot: Option<&Snapshot>,
    age: Nanos,
) -> First<A> {
    let Some(snapshot) = snapshot else {
        let source = if given.is_some() { Source::Facts } else { Source::Nothing };
        return First { source, entries: given.map_or(Vec::new(), |given| given.entries), gone: 0, drain: 0 };
    };
    // The facts' list is newer, or the snapshot's is so old that any other one is better.
    let facts = given.filter(|given| {
        given.version > snapshot.stamp.version || (age > OLD_LIST && !given.entries.is_empty())
    });
    let (source, version, mut entries) = match facts {
        Some(given) => (Source::Facts, given.version, given.entries),
        None => {
            let entry = |entry: &Entry| (entry.listed(), A::from(entry.address));
            (Source::Snapshot, snapshot.stamp.version, snapshot.list.iter().map(entry).collect())
        }
    };
    // A word of an earlier count or an older list is settled by the list itself.
    let newer = |heard: ServerStatus| -> BTreeSet<&str> {
        let stands = snapshot.words.iter().filter(|(_, word)| word.status == heard);
        let stands = stands.filter(|(_, word)| {
            word.stamp.epoch > snapshot.stamp.epoch
                || (word.stamp.version >= version && word.stamp.epoch == snapshot.stamp.epoch)
        });
        stands.map(|(srv, _)| srv.as_str()).collect()
    };
    let (gone, drains) = (newer(ServerStatus::Gone), newer(ServerStatus::Draining));
    let before = entries.len();
    entries.retain(|(listed, _)| !gone.contains(&*listed.name));
    let gone = before - entries.len();
    let mut drain = 0;
    for (listed, _) in &mut entries {
        if listed.state == ochreshed::EndpointState::Up && drains.contains(&*listed.name) {
            listed.state = ochreshed::EndpointState::Draining;
            drain += 1;
        }
    }
    First { source, entries, gone, drain }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use ochreshed::EndpointState;
    use ochreshed_replica::stamp::Stamp;
    use ochreshed_replica::status::StampedStatus;
    use proptest::prelude::*;

    use super::*;

    fn entry(srv: &str) -> Entry {
        Entry {
            srv: srv.into(),
            drains: false,
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
            number: 1,
            written: 0,
            stamp: stamp(version),
            list: srvs.split_whitespace().map(entry).collect(),
            words: words.iter().map(word).collect(),
            floor: Stamp::default(),
        }
    }

    fn given(version: u64, srvs: &str) -> Option<Given<SocketAddr>> {
        let entries = srvs.split_whitespace().map(|srv| (entry(srv).listed(), entry(srv).address));
        Some(Given { version, entries: entries.collect() })
    }

    fn names(first: &First<SocketAddr>) -> String {
        let up = |state| if state == EndpointState::Up { "" } else { "!" };
        let names = first.entries.iter().map(|(listed, _)| format!("{}{}", listed.name, up(listed.state)));
        names.collect::<Vec<_>>().join(" ")
    }

    #[test]
    fn the_newer_list_is_taken_and_nothing_that_was_known_to_be_gone() {
        // An old list in the facts, as all that restart have it: the snapshot's is newer.
        let old = snapshot(7, "a b", &[("c", 6, ServerStatus::Gone), ("b", 7, ServerStatus::Draining)]);
        let start = first(given(3, "a b c"), Some(&old), 0);
        assert_eq!((names(&start).as_str(), start.source), ("a b!", Source::Snapshot));
        // The facts' list is newer, and what others had told of later lists stands against it.
        let told = snapshot(2, "a b c", &[("b", 9, ServerStatus::Gone), ("a", 1, ServerStatus::Draining)]);
        let start = first(given(3, "a b c"), Some(&told), 0);
        assert_eq!((names(&start).as_str(), start.source, start.gone), ("a c", Source::Facts, 1));
        // A snapshot from last week is no list, and still no srv comes back that it knew to be gone.
        let start = first(given(3, "a b c"), Some(&old), 7 * OLD_LIST);
        assert_eq!((names(&start).as_str(), start.source), ("a b!", Source::Facts));
        let start = first(None, Some(&old), 7 * OLD_LIST);
        assert_eq!((names(&start).as_str(), start.source), ("a b!", Source::Snapshot));
    }

    #[test]
    fn without_a_snapshot_all_is_as_the_facts_say() {
        let start = first(given(3, "a b"), None, 0);
        assert_eq!((names(&start).as_str(), start.source), ("a b", Source::Facts));
        assert_eq!(first::<SocketAddr>(None, None, 0).source, Source::Nothing);
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
            age in 0..2 * OLD_LIST,
        ) {
            let list = |srvs: &BTreeSet<u8>| srvs.iter().map(|srv| format!("s{srv} ")).collect::<String>();
            let said: Vec<(String, u64, ServerStatus)> = words.iter().map(|(srv, version, gone)| {
                (format!("s{srv}"), *version, if *gone { ServerStatus::Gone } else { ServerStatus::Draining })
            }).collect();
            let said: Vec<(&str, u64, ServerStatus)> = said.iter().map(|(srv, version, state)| (srv.as_str(), *version, *state)).collect();
            let snapshot = snapshot(held.0, &list(&held.1), &said);
            let start = first(given(facts.0, &list(&facts.1)), Some(&snapshot), age);
            let version = if start.source == Source::Facts { facts.0 } else { held.0 };
            for (listed, _) in start.entries.iter().filter(|(listed, _)| listed.state == EndpointState::Up) {
                let srv: u8 = listed.name[1..].parse().expect("a number");
                prop_assert!(facts.1.contains(&srv) || held.1.contains(&srv));
                prop_assert!(!words.iter().any(|(of, at, _)| *of == srv && *at >= version), "{srv}");
            }
        }
    }
}
