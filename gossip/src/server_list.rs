//! The list as discovery last told it here, and of which srvs others have heard worse since. It owns what the module is
//! told of either, and must never tell better than the own list says, nor of a srv that the own list does not have: where
//! it is reached from here only discovery knows.

use std::collections::{BTreeMap, HashMap};

use ochreshed::{Listed, Name, State};
use ochreshed_replica::status::{ServerStatus, StatusTable};

/// With each srv goes what the caller keeps beside it: where it is reached.
#[derive(Clone, Debug, Default)]
pub struct ServerList<A> {
    list: HashMap<Name, (Listed, A)>,
    /// Srvs of which the module was told something else than the list says.
    overruled: BTreeMap<Name, State>,
}

impl<A: Clone> ServerList<A> {
    pub fn new() -> ServerList<A> {
        ServerList { list: HashMap::new(), overruled: BTreeMap::new() }
    }

    pub fn contains(&self, srv: &str) -> bool {
        self.list.contains_key(srv)
    }

    /// The list as discovery last told it here.
    pub fn discovered(&self) -> impl Iterator<Item = &(Listed, A)> {
        self.list.values()
    }

    /// Of how many srvs others have heard worse than the own list says.
    pub fn override_count(&self) -> usize {
        self.overruled.len()
    }

    /// Discovery's own news goes on to the module, but for what others have heard of later lists.
    pub fn apply_discovery(&mut self, words: &StatusTable, whole: bool, entries: &mut [(Listed, A)]) {
        if whole {
            self.list = entries.iter().map(|entry| (entry.0.srv.clone(), entry.clone())).collect();
        }
        for entry in entries.iter() {
            match entry.0.state {
                State::Gone => drop(self.list.remove(&entry.0.srv)),
                _ => drop(self.list.insert(entry.0.srv.clone(), entry.clone())),
            }
        }
        self.overruled.retain(|srv, _| !whole && !entries.iter().any(|(listed, _)| listed.srv == *srv));
        for (listed, _) in entries {
            if let Some(worse) = worse(words, listed) {
                listed.state = worse;
                self.overruled.insert(listed.srv.clone(), worse);
            }
        }
    }

    /// Something else stands of these srvs now: what the module is to be told of it.
    pub fn apply_status_changes<'a>(
        &mut self,
        words: &StatusTable,
        srvs: impl IntoIterator<Item = &'a str>,
    ) -> Vec<(Listed, A)> {
        let mut news = Vec::new();
        for srv in srvs {
            let Some((listed, beside)) = self.list.get(srv) else { continue };
            let now = worse(words, listed);
            if now == self.overruled.get(&listed.srv).copied() {
                continue;
            }
            match now {
                Some(worse) => drop(self.overruled.insert(listed.srv.clone(), worse)),
                None => drop(self.overruled.remove(&listed.srv)),
            }
            let mut listed = listed.clone();
            listed.state = now.unwrap_or(listed.state);
            news.push((listed, beside.clone()));
        }
        news
    }
}

/// What others have heard of a srv since, if that is worse than this.
fn worse(words: &StatusTable, listed: &Listed) -> Option<State> {
    let word = words.get(&listed.srv)?;
    let worse = match word.status {
        ServerStatus::Serving => return None,
        ServerStatus::Draining => State::Draining,
        ServerStatus::Gone => State::Gone,
    };
    (word.status > to_server_status(listed.state)).then_some(worse)
}

pub fn to_server_status(state: State) -> ServerStatus {
    match state {
        State::Up => ServerStatus::Serving,
        State::Draining => ServerStatus::Draining,
        State::Gone => ServerStatus::Gone,
    }
}

#[cfg(test)]
mod tests {
    use ochreshed_replica::store::{Store, decode_updates};

    use super::*;

    fn entry(srv: &str, state: State) -> (Listed, u16) {
        let listed = Listed { srv: srv.into(), state, came_up: None, weight: 1.0, site: "a".into(), cell: 0 };
        (listed, 7)
    }

    fn states(entries: &[(Listed, u16)]) -> Vec<(&str, State)> {
        entries.iter().map(|(listed, _)| (&*listed.srv, listed.state)).collect()
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
        let (mut store, mut known) = (told_of_a_drain(), ServerList::new());
        let mut list = [entry("s", State::Up), entry("t", State::Up)];
        store.apply_discovery(
            1,
            true,
            &[("s".into(), ServerStatus::Serving), ("t".into(), ServerStatus::Serving)],
        );
        known.apply_discovery(store.statuses(), true, &mut list);
        assert_eq!(states(&list), [("s", State::Draining), ("t", State::Up)]);
        // Told once: the same again is no news to the module.
        assert!(known.apply_status_changes(store.statuses(), ["s", "t", "elsewhere"]).is_empty());
        let fresh = store.apply_discovery(3, false, &[("s".into(), ServerStatus::Serving)]);
        assert_eq!(
            states(&known.apply_status_changes(store.statuses(), fresh.iter().map(String::as_str))),
            [("s", State::Up)]
        );
        assert_eq!(known.override_count(), 0);
    }

    /// Guards against a srv that only another instance can reach.
    #[test]
    fn of_a_srv_that_the_own_list_does_not_have_nothing_is_told() {
        let (store, mut known) = (told_of_a_drain(), ServerList::new());
        known.apply_discovery(store.statuses(), true, &mut [entry("t", State::Up)]);
        assert!(known.apply_status_changes(store.statuses(), ["s"]).is_empty() && !known.contains("s"));
    }
}
