//! The endpoint list that this balancer has from discovery, merged with worse statuses that other balancers have reported
//! since.
//!
//! An endpoint is never passed on in a better state than the list gives it, and never if the list lacks it: only discovery
//! knows where it is reached from here.

use std::collections::{BTreeMap, HashMap};

use ochreshed::{EndpointState, ListedEndpoint, Name};
use ochreshed_replica::status::{ServerStatus, StatusTable};

/// The list, with the caller's address `A` of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointList<A> {
    discovered: HashMap<Name, (ListedEndpoint, A)>,
    /// Endpoints that were passed on in another state than discovery's.
    overrides: BTreeMap<Name, EndpointState>,
}

impl<A: Clone> EndpointList<A> {
    pub fn new() -> EndpointList<A> {
        EndpointList { discovered: HashMap::new(), overrides: BTreeMap::new() }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.discovered.contains_key(name)
    }

    /// The list as discovery last gave it.
    pub fn discovered(&self) -> impl Iterator<Item = &(ListedEndpoint, A)> {
        self.discovered.values()
    }

    /// The number of endpoints of which others have reported a worse status than the list gives.
    pub fn override_count(&self) -> usize {
        self.overrides.len()
    }

    /// Applies a list from discovery, or changes of it, and sets in `entries` the worse states that others have reported from
    /// later lists.
    pub fn apply_discovery(
        &mut self,
        statuses: &StatusTable,
        is_full_list: bool,
        entries: &mut [(ListedEndpoint, A)],
    ) {
        if is_full_list {
            self.discovered = entries.iter().map(|entry| (entry.0.name.clone(), entry.clone())).collect();
        }
        for entry in entries.iter() {
            match entry.0.state {
                EndpointState::Gone => drop(self.discovered.remove(&entry.0.name)),
                _ => drop(self.discovered.insert(entry.0.name.clone(), entry.clone())),
            }
        }
        self.overrides
            .retain(|name, _| !is_full_list && !entries.iter().any(|(listed, _)| listed.name == *name));
        for (listed, _) in entries {
            if let Some(worse) = worse_state(statuses, listed) {
                listed.state = worse;
                self.overrides.insert(listed.name.clone(), worse);
            }
        }
    }

    /// Applies changed replica statuses of these endpoints. Returns the entries to pass on.
    pub fn apply_status_changes<'a>(
        &mut self,
        statuses: &StatusTable,
        names: impl IntoIterator<Item = &'a str>,
    ) -> Vec<(ListedEndpoint, A)> {
        let mut changes = Vec::new();
        for name in names {
            let Some((listed, address)) = self.discovered.get(name) else { continue };
            let worse = worse_state(statuses, listed);
            if worse == self.overrides.get(&listed.name).copied() {
                continue;
            }
            match worse {
                Some(worse) => drop(self.overrides.insert(listed.name.clone(), worse)),
                None => drop(self.overrides.remove(&listed.name)),
            }
            let mut listed = listed.clone();
            listed.state = worse.unwrap_or(listed.state);
            changes.push((listed, address.clone()));
        }
        changes
    }
}

/// The state that others have reported of an endpoint, if it is worse than the listed one.
fn worse_state(statuses: &StatusTable, listed: &ListedEndpoint) -> Option<EndpointState> {
    let known = statuses.get(&listed.name)?;
    let state = match known.status {
        ServerStatus::Serving => return None,
        ServerStatus::Draining => EndpointState::Draining,
        ServerStatus::Gone => EndpointState::Gone,
    };
    (known.status > to_server_status(listed.state)).then_some(state)
}

/// The replica's status for a listed state.
pub fn to_server_status(state: EndpointState) -> ServerStatus {
    match state {
        EndpointState::Up => ServerStatus::Serving,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Gone,
    }
}

#[cfg(test)]
mod tests {
    use ochreshed_replica::store::{Store, decode_updates};

    use super::*;

    fn entry(name: &str, state: EndpointState) -> (ListedEndpoint, u16) {
        let listed = ListedEndpoint {
            name: name.into(),
            state,
            started_at: None,
            weight: 1.0,
            site: "a".into(),
            cell: 0,
        };
        (listed, 7)
    }

    fn states(entries: &[(ListedEndpoint, u16)]) -> Vec<(&str, EndpointState)> {
        entries.iter().map(|(listed, _)| (&*listed.name, listed.state)).collect()
    }

    /// A replica that has received from another one that endpoint `s` drains by version 2 of the list.
    fn store_with_drain() -> Store {
        let (mut informed, mut store) = (Store::new("n1", 1, 10), Store::new("n2", 1, 10));
        informed.apply_discovery(2, false, &[("s".into(), ServerStatus::Draining)]);
        let updates = decode_updates(&informed.next_delta(1_000, 3)).expect("updates");
        store.merge_updates(0, updates, |_| Some(1));
        store
    }

    #[test]
    fn a_worse_status_from_others_overrides_the_list_until_a_newer_list() {
        let (mut store, mut list) = (store_with_drain(), EndpointList::new());
        let mut entries = [entry("s", EndpointState::Up), entry("t", EndpointState::Up)];
        store.apply_discovery(
            1,
            true,
            &[("s".into(), ServerStatus::Serving), ("t".into(), ServerStatus::Serving)],
        );
        list.apply_discovery(store.statuses(), true, &mut entries);
        assert_eq!(states(&entries), [("s", EndpointState::Draining), ("t", EndpointState::Up)]);
        // A state that was already passed on is not passed on again.
        assert!(list.apply_status_changes(store.statuses(), ["s", "t", "elsewhere"]).is_empty());
        let changed = store.apply_discovery(3, false, &[("s".into(), ServerStatus::Serving)]);
        assert_eq!(
            states(&list.apply_status_changes(store.statuses(), changed.iter().map(String::as_str))),
            [("s", EndpointState::Up)]
        );
        assert_eq!(list.override_count(), 0);
    }

    /// Guards against an endpoint that only another balancer can reach.
    #[test]
    fn an_endpoint_that_the_list_lacks_is_not_passed_on() {
        let (store, mut list) = (store_with_drain(), EndpointList::new());
        list.apply_discovery(store.statuses(), true, &mut [entry("t", EndpointState::Up)]);
        assert!(list.apply_status_changes(store.statuses(), ["s"]).is_empty() && !list.contains("s"));
    }
}
