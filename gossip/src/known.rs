//! The list as discovery last told it here, and of which srvs others have heard worse since. It owns what the module is
//! told of either, and must never tell better than the own list says, nor of a srv that the own list does not have: where
//! it is reached from here only discovery knows.

use std::collections::{BTreeMap, HashMap};

use ochreshed::{EndpointState, ListedEndpoint, Name};
use ochreshed_replica::status::{ServerStatus, StatusTable};

/// With each srv goes what the caller keeps beside it: where it is reached.
#[derive(Clone, Debug, Default)]
pub struct Known<A> {
    list: HashMap<Name, (ListedEndpoint, A)>,
    /// Srvs of which the module was told something else than the list says.
    overruled: BTreeMap<Name, EndpointState>,
}

impl<A: Clone> Known<A> {
    pub fn new() -> Known<A> {
        Known { list: HashMap::new(), overruled: BTreeMap::new() }
    }

    pub fn has(&self, srv: &str) -> bool {
        self.list.contains_key(srv)
    }

    /// The list as discovery last told it here.
    pub fn list(&self) -> impl Iterator<Item = &(ListedEndpoint, A)> {
        self.list.values()
    }

    /// Of how many srvs others have heard worse than the own list says.
    pub fn overruled(&self) -> usize {
        self.overruled.len()
    }

    /// Discovery's own news goes on to the module, but for what others have heard of later lists.
    pub fn told(&mut self, words: &StatusTable, whole: bool, entries: &mut [(ListedEndpoint, A)]) {
        if whole {
            self.list = entries.iter().map(|entry| (entry.0.name.clone(), entry.clone())).collect();
        }
        for entry in entries.iter() {
            match entry.0.state {
                EndpointState::Gone => drop(self.list.remove(&entry.0.name)),
                _ => drop(self.list.insert(entry.0.name.clone(), entry.clone())),
            }
        }
        self.overruled.retain(|srv, _| !whole && !entries.iter().any(|(listed, _)| listed.name == *srv));
        for (listed, _) in entries {
            if let Some(worse) = worse(words, listed) {
                listed.state = worse;
                self.overruled.insert(listed.name.clone(), worse);
            }
        }
    }

    /// Something else stands of these srvs now: what the module is to be told of it.
    pub fn changed<'a>(
        &mut self,
        words: &StatusTable,
        srvs: impl IntoIterator<Item = &'a str>,
    ) -> Vec<(ListedEndpoint, A)> {
        let mut news = Vec::new();
        for srv in srvs {
            let Some((listed, beside)) = self.list.get(srv) else { continue };
            let now = worse(words, listed);
            if now == self.overruled.get(&listed.name).copied() {
                continue;
            }
            match now {
                Some(worse) => drop(self.overruled.insert(listed.name.clone(), worse)),
                None => drop(self.overruled.remove(&listed.name)),
            }
            let mut listed = listed.clone();
            listed.state = now.unwrap_or(listed.state);
            news.push((listed, beside.clone()));
        }
        news
    }
}

/// What others have heard of a srv since, if that is worse than this.
fn worse(words: &StatusTable, listed: &ListedEndpoint) -> Option<EndpointState> {
    let word = words.get(&listed.name)?;
    let worse = match word.status {
        ServerStatus::Serving => return None,
        ServerStatus::Draining => EndpointState::Draining,
        ServerStatus::Gone => EndpointState::Gone,
    };
    (word.status > to_word(listed.state)).then_some(worse)
}

pub fn to_word(state: EndpointState) -> ServerStatus {
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

    fn entry(srv: &str, state: EndpointState) -> (ListedEndpoint, u16) {
        let listed = ListedEndpoint {
            name: srv.into(),
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

    /// A copy that was told by another of a drain, by list 2.
    fn told_of_a_drain() -> Store {
        let (mut one, mut other) = (Store::new("n1", 1, 10), Store::new("n2", 1, 10));
        one.apply_discovery(2, false, &[("s".into(), ServerStatus::Draining)]);
        other.merge_updates(0, decode_updates(&one.next_delta(1_000, 3)).expect("items"), |_| Some(1));
        other
    }

    #[test]
    fn what_others_heard_worse_stands_against_the_own_list_until_that_is_newer() {
        let (mut store, mut known) = (told_of_a_drain(), Known::new());
        let mut list = [entry("s", EndpointState::Up), entry("t", EndpointState::Up)];
        store.apply_discovery(
            1,
            true,
            &[("s".into(), ServerStatus::Serving), ("t".into(), ServerStatus::Serving)],
        );
        known.told(store.statuses(), true, &mut list);
        assert_eq!(states(&list), [("s", EndpointState::Draining), ("t", EndpointState::Up)]);
        // Told once: the same again is no news to the module.
        assert!(known.changed(store.statuses(), ["s", "t", "elsewhere"]).is_empty());
        let fresh = store.apply_discovery(3, false, &[("s".into(), ServerStatus::Serving)]);
        assert_eq!(
            states(&known.changed(store.statuses(), fresh.iter().map(String::as_str))),
            [("s", EndpointState::Up)]
        );
        assert_eq!(known.overruled(), 0);
    }

    /// Guards against a srv that only another instance can reach.
    #[test]
    fn of_a_srv_that_the_own_list_does_not_have_nothing_is_told() {
        let (store, mut known) = (told_of_a_drain(), Known::new());
        known.told(store.statuses(), true, &mut [entry("t", EndpointState::Up)]);
        assert!(known.changed(store.statuses(), ["s"]).is_empty() && !known.has("s"));
    }
}
