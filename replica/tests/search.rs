//! An exhaustive search, up to a depth, over the orders of events at three replicas: lists from discovery, messages
//! that are delivered, duplicated, delayed or lost, restarts of a process, and a discovery that loses its state.
//!
//! The search runs the code of this crate. For each invariant there is a faulty merge rule that the search must detect.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};

use ochreshed_replica::status::{ServerStatus, StampedStatus};
use ochreshed_replica::store::{Store, Update, decode_updates};

const REPLICAS: usize = 3;
const SERVER: &str = "s";

/// How a replica merges statuses: by the real rule, or by a faulty one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum MergeRule {
    Real,
    /// The last status to arrive wins.
    LastArrival,
    /// With equal stamps the better status wins.
    BetterOfEqualStamps,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct SearchState {
    replicas: Vec<Store>,
    /// The statuses under a faulty merge rule, in place of the replicas' own.
    faulty_statuses: Vec<BTreeMap<String, StampedStatus>>,
    /// Messages in flight: the receiver and the bytes.
    messages: Vec<(usize, Vec<u8>)>,
    /// The status of the server in each of discovery's versions, oldest first.
    versions: Vec<ServerStatus>,
    /// Discovery loses its state at this index and numbers its versions anew; 0 if it does not.
    state_lost_at: usize,
    /// The status that each process held last.
    last_held: Vec<Option<StampedStatus>>,
    start_count: u64,
}

struct Search {
    rule: MergeRule,
    seen: HashSet<(u64, usize)>,
    state_count: usize,
    violation: Option<String>,
}

impl SearchState {
    fn new() -> SearchState {
        let replicas = (0..REPLICAS).map(|number| Store::new(&format!("n{number}"), 1, 10)).collect();
        SearchState {
            replicas,
            faulty_statuses: vec![BTreeMap::new(); REPLICAS],
            messages: Vec::new(),
            versions: vec![ServerStatus::Serving],
            state_lost_at: 0,
            last_held: vec![None; REPLICAS],
            start_count: 1,
        }
    }

    fn held_status(&self, rule: MergeRule, replica: usize) -> Option<StampedStatus> {
        match rule {
            MergeRule::Real => self.replicas[replica].statuses().get(SERVER),
            _ => self.faulty_statuses[replica].get(SERVER).copied(),
        }
    }

    /// Merges a status that the replica has received by a faulty rule.
    fn merge_faulty(&mut self, rule: MergeRule, replica: usize, received: StampedStatus) {
        let held = self.faulty_statuses[replica].get(SERVER).copied();
        let wins = match (rule, held) {
            (_, None) | (MergeRule::LastArrival, _) => true,
            (MergeRule::BetterOfEqualStamps, Some(held)) => {
                received.stamp > held.stamp || received.stamp == held.stamp && received.status < held.status
            }
            (MergeRule::Real, _) => false,
        };
        if wins {
            self.faulty_statuses[replica].insert(SERVER.into(), received);
        }
    }

    /// Discovery sends its newest list to a replica.
    fn send_list(&mut self, rule: MergeRule, replica: usize) {
        let status = self.versions[self.versions.len() - 1];
        let version = (self.versions.len() - self.state_lost_at) as u64;
        let entries: Vec<(String, ServerStatus)> =
            (status != ServerStatus::Gone).then(|| (SERVER.to_owned(), status)).into_iter().collect();
        self.replicas[replica].apply_discovery(version, true, &entries);
        let held = self.replicas[replica].statuses().get(SERVER);
        if let Some(entry) = held {
            self.merge_faulty(rule, replica, entry);
        }
    }

    fn send_delta(&mut self, from: usize, to: usize) {
        let bytes = self.replicas[from].next_delta(1_000, 2);
        if !bytes.is_empty() {
            self.messages.push((to, bytes));
        }
    }

    fn deliver_message(&mut self, rule: MergeRule, index: usize) {
        let (to, bytes) = self.messages[index].clone();
        let updates = decode_updates(&bytes).expect("updates");
        for update in &updates {
            if let Update::Status { entry, .. } = update {
                self.merge_faulty(rule, to, *entry);
            }
        }
        self.replicas[to].merge_updates(0, updates, |_| Some(1));
    }

    /// Lets all replicas exchange their differences, and returns an error if they have not converged then.
    fn check_convergence(&self) -> Option<String> {
        let mut state = self.clone();
        for _ in 0..REPLICAS {
            for from in 0..REPLICAS {
                for to in (0..REPLICAS).filter(|to| *to != from) {
                    let peer_digest = state.replicas[to].digest();
                    for chunk in state.replicas[from].encode_differences(&peer_digest, 1_000) {
                        state.replicas[to]
                            .merge_updates(0, decode_updates(&chunk).expect("updates"), |_| Some(1));
                    }
                }
            }
        }
        let first = state.replicas[0].digest();
        let equal = state.replicas.iter().all(|replica| replica.digest() == first);
        (!equal).then(|| "replicas differ after they have exchanged their differences".into())
    }
}

impl Search {
    fn run(rule: MergeRule, depth: usize) -> Search {
        let mut search = Search { rule, seen: HashSet::new(), state_count: 0, violation: None };
        search.visit(SearchState::new(), depth);
        search
    }

    fn visit(&mut self, mut state: SearchState, remaining_depth: usize) {
        // A status that a process holds is only ever replaced by a greater one.
        for replica in 0..REPLICAS {
            let held = state.held_status(self.rule, replica);
            if state.last_held[replica] > held {
                let before = state.last_held[replica];
                self.violation.get_or_insert(format!("replica {replica} held {before:?} and now {held:?}"));
            }
            state.last_held[replica] = held;
        }
        if self.rule == MergeRule::Real
            && let Some(violation) = state.check_convergence()
        {
            self.violation.get_or_insert(violation);
        }
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        if self.violation.is_some() || !self.seen.insert((hasher.finish(), remaining_depth)) {
            return;
        }
        self.state_count += 1;
        if remaining_depth == 0 {
            return;
        }
        let rule = self.rule;
        let mut visit_after = |event: &dyn Fn(&mut SearchState)| {
            let mut after = state.clone();
            event(&mut after);
            self.visit(after, remaining_depth - 1);
        };
        for status in [ServerStatus::Serving, ServerStatus::Draining, ServerStatus::Gone] {
            if state.versions.len() < 4 && state.versions[state.versions.len() - 1] != status {
                visit_after(&|state| state.versions.push(status));
            }
        }
        for replica in 0..REPLICAS {
            visit_after(&|state| state.send_list(rule, replica));
            for to in
                (0..REPLICAS).filter(|to| *to != replica && state.replicas[replica].has_pending_updates())
            {
                visit_after(&|state| state.send_delta(replica, to));
            }
        }
        for index in 0..state.messages.len() {
            // A delivered message stays in flight, so that it can be delivered again at any time. Or it is lost.
            visit_after(&|state| state.deliver_message(rule, index));
            visit_after(&|state| drop(state.messages.remove(index)));
        }
        if state.state_lost_at == 0 && state.versions.len() > 1 {
            visit_after(&|state| state.state_lost_at = state.versions.len() - 1);
        }
        if state.start_count < 3 {
            visit_after(&|state| {
                state.start_count += 1;
                state.replicas[0] = Store::new("n0", state.start_count, 10);
                state.faulty_statuses[0].clear();
                state.last_held[0] = None;
            });
        }
    }
}

/// The depth of the search; SEARCH_DEPTH=8 searches deeper.
fn search_depth() -> usize {
    std::env::var("SEARCH_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(5)
}

#[test]
fn in_all_orders_statuses_only_grow_and_replicas_converge() {
    let search = Search::run(MergeRule::Real, search_depth());
    println!("{} states to a depth of {}", search.state_count, search_depth());
    assert_eq!(search.violation, None);
    assert!(search.state_count > 5_000, "only {} states", search.state_count);
}

#[test]
fn a_merge_by_arrival_is_detected() {
    assert!(Search::run(MergeRule::LastArrival, 7).violation.is_some());
}

#[test]
fn a_merge_that_takes_the_better_of_equal_stamps_is_detected() {
    assert!(Search::run(MergeRule::BetterOfEqualStamps, 8).violation.is_some());
}
