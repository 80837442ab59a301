//! The list of servers that a starting instance uses, and how old sources are corrected or rejected.
//!
//! Invariant: a server that any source knew to be gone or draining is not used again because of a restart. Only a newer
//! list from discovery brings it back.

use std::collections::BTreeSet;

use ochreshed::ListedEndpoint;
use ochreshed_replica::status::ServerStatus;

use crate::snapshot::{Snapshot, SnapshotEntry};
use crate::{Nanos, S};

/// The list of a snapshot older than this may have changed so much that another list, if there is one, is preferred.
pub const STALE_SNAPSHOT_AGE: Nanos = 24 * 3_600 * S;

/// The list in the start facts, with discovery's version.
pub struct FactsList<A> {
    pub version: u64,
    pub entries: Vec<(ListedEndpoint, A)>,
}

/// The source of the initial list. The log prints these names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    Nothing,
    Facts,
    Snapshot,
}

pub struct InitialList<A> {
    pub source: ListSource,
    pub entries: Vec<(ListedEndpoint, A)>,
    /// The number of servers left out since the snapshot knew them to be gone.
    pub excluded_as_gone: usize,
    /// The number of servers marked as draining since the snapshot knew them to drain.
    pub marked_draining: usize,
}

/// Selects the newer list of those in the start facts and in the snapshot, by discovery's version, so that a start
/// never uses an older list than this instance knew before. Servers that the snapshot knew to be gone or draining by a
/// list not older than the selected one are left out or marked as draining. `snapshot_age` is by the system clock.
pub fn select_initial_list<A: From<std::net::SocketAddr>>(
    facts: Option<FactsList<A>>,
    snapshot: Option<&Snapshot>,
    snapshot_age: Nanos,
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
    let preferred_facts = facts.filter(|facts| {
        facts.version > snapshot.stamp.version
            || (snapshot_age > STALE_SNAPSHOT_AGE && !facts.entries.is_empty())
    });
    let (source, version, mut entries) = match preferred_facts {
        Some(facts) => (ListSource::Facts, facts.version, facts.entries),
        None => {
            let entry = |entry: &SnapshotEntry| (entry.to_listed(), A::from(entry.address));
            (ListSource::Snapshot, snapshot.stamp.version, snapshot.entries.iter().map(entry).collect())
        }
    };
    // The selected list itself supersedes statuses of an earlier epoch or of an older list.
    let servers_with = |status: ServerStatus| -> BTreeSet<&str> {
        let statuses = snapshot.statuses.iter().filter(|(_, stamped)| stamped.status == status);
        let current = statuses.filter(|(_, stamped)| {
            stamped.stamp.epoch > snapshot.stamp.epoch
                || (stamped.stamp.version >= version && stamped.stamp.epoch == snapshot.stamp.epoch)
        });
        current.map(|(server, _)| server.as_str()).collect()
    };
    let (gone, draining) = (servers_with(ServerStatus::Gone), servers_with(ServerStatus::Draining));
    let initial_count = entries.len();
    entries.retain(|(listed, _)| !gone.contains(&*listed.name));
    let excluded_as_gone = initial_count - entries.len();
    let mut marked_draining = 0;
    for (listed, _) in &mut entries {
        if listed.state == ochreshed::EndpointState::Up && draining.contains(&*listed.name) {
            listed.state = ochreshed::EndpointState::Draining;
            marked_draining += 1;
        }
    }
    InitialList { source, entries, excluded_as_gone, marked_draining }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use ochreshed::EndpointState;
    use ochreshed_replica::stamp::Stamp;
    use ochreshed_replica::status::StampedStatus;
    use proptest::prelude::*;

    use super::*;

    fn entry(server: &str) -> SnapshotEntry {
        SnapshotEntry {
            server: server.into(),
            draining: false,
            started_at: None,
            weight: 1.0,
            site: "a".into(),
            cell: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
        }
    }

    fn snapshot(version: u64, servers: &str, statuses: &[(&str, u64, ServerStatus)]) -> Snapshot {
        let stamp = |version| Stamp { epoch: 0, version };
        let stamped = |(server, version, status): &(&str, u64, ServerStatus)| {
            ((*server).to_owned(), StampedStatus { stamp: stamp(*version), status: *status })
        };
        Snapshot {
            fleet: String::new(),
            instance: String::new(),
            sequence: 1,
            written_at_unix_ns: 0,
            stamp: stamp(version),
            entries: servers.split_whitespace().map(entry).collect(),
            statuses: statuses.iter().map(stamped).collect(),
            floor: Stamp::default(),
        }
    }

    fn facts(version: u64, servers: &str) -> Option<FactsList<SocketAddr>> {
        let entries =
            servers.split_whitespace().map(|server| (entry(server).to_listed(), entry(server).address));
        Some(FactsList { version, entries: entries.collect() })
    }

    /// The server ids, with `!` after those that are not up.
    fn names(initial: &InitialList<SocketAddr>) -> String {
        let suffix = |state| if state == EndpointState::Up { "" } else { "!" };
        let names =
            initial.entries.iter().map(|(listed, _)| format!("{}{}", listed.name, suffix(listed.state)));
        names.collect::<Vec<_>>().join(" ")
    }

    #[test]
    fn the_newer_list_is_used_without_servers_known_to_be_gone() {
        // The facts hold an old list, as they do for all that restart; the snapshot's is newer.
        let newer = snapshot(7, "a b", &[("c", 6, ServerStatus::Gone), ("b", 7, ServerStatus::Draining)]);
        let initial = select_initial_list(facts(3, "a b c"), Some(&newer), 0);
        assert_eq!((names(&initial).as_str(), initial.source), ("a b!", ListSource::Snapshot));
        // The facts' list is newer, but a status that came from a later list still applies.
        let older = snapshot(2, "a b c", &[("b", 9, ServerStatus::Gone), ("a", 1, ServerStatus::Draining)]);
        let initial = select_initial_list(facts(3, "a b c"), Some(&older), 0);
        assert_eq!(
            (names(&initial).as_str(), initial.source, initial.excluded_as_gone),
            ("a c", ListSource::Facts, 1)
        );
        // The list of a week-old snapshot is not used, but servers that it knew to be gone stay out.
        let initial = select_initial_list(facts(3, "a b c"), Some(&newer), 7 * STALE_SNAPSHOT_AGE);
        assert_eq!((names(&initial).as_str(), initial.source), ("a b!", ListSource::Facts));
        let initial = select_initial_list(None, Some(&newer), 7 * STALE_SNAPSHOT_AGE);
        assert_eq!((names(&initial).as_str(), initial.source), ("a b!", ListSource::Snapshot));
    }

    #[test]
    fn without_a_snapshot_the_facts_are_used() {
        let initial = select_initial_list(facts(3, "a b"), None, 0);
        assert_eq!((names(&initial).as_str(), initial.source), ("a b", ListSource::Facts));
        assert_eq!(select_initial_list::<SocketAddr>(None, None, 0).source, ListSource::Nothing);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever the sources contain, no server is up that a status not older than the list knew to be gone or
        /// draining, and none that no source lists.
        #[test]
        fn a_restart_brings_no_server_back(
            facts_list in (0..9u64, prop::collection::btree_set(0..6u8, 0..6)),
            snapshot_list in (0..9u64, prop::collection::btree_set(0..6u8, 0..6)),
            statuses in prop::collection::vec((0..6u8, 0..9u64, any::<bool>()), 0..6),
            age in 0..2 * STALE_SNAPSHOT_AGE,
        ) {
            let list = |servers: &BTreeSet<u8>| servers.iter().map(|server| format!("s{server} ")).collect::<String>();
            let named: Vec<(String, u64, ServerStatus)> = statuses.iter().map(|(server, version, gone)| {
                (format!("s{server}"), *version, if *gone { ServerStatus::Gone } else { ServerStatus::Draining })
            }).collect();
            let named: Vec<(&str, u64, ServerStatus)> =
                named.iter().map(|(server, version, status)| (server.as_str(), *version, *status)).collect();
            let snapshot = snapshot(snapshot_list.0, &list(&snapshot_list.1), &named);
            let initial = select_initial_list(facts(facts_list.0, &list(&facts_list.1)), Some(&snapshot), age);
            let version = if initial.source == ListSource::Facts { facts_list.0 } else { snapshot_list.0 };
            for (listed, _) in initial.entries.iter().filter(|(listed, _)| listed.state == EndpointState::Up) {
                let server: u8 = listed.name[1..].parse().expect("a number");
                prop_assert!(facts_list.1.contains(&server) || snapshot_list.1.contains(&server));
                prop_assert!(!statuses.iter().any(|(of, at, _)| *of == server && *at >= version), "{server}");
            }
        }
    }
}
