//! A search over all orders of what can happen to three copies, up to a depth: discovery's changes told to one or another,
//! messages delivered, doubled, held back as long as one likes or lost, processes that start anew, discovery that loses its
//! count. The copies are the package's own. Each invariant has a mutant of the merge that the search catches.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};

use ochreshed_replica::status::{ServerStatus, StampedStatus};
use ochreshed_replica::store::{Store, Update, decode_updates};

const COPIES: usize = 3;
const SRV: &str = "s";

/// How a copy merges: as shipped, or with a fault put in.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Merge {
    Shipped,
    /// What arrives last stands.
    ByArrival,
    /// Of the same time the better word stands.
    BetterOfTies,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    copies: Vec<Store>,
    /// What a mutant holds in place of its copy's words.
    mutants: Vec<BTreeMap<String, StampedStatus>>,
    /// Messages under way: to whom, and what.
    messages: Vec<(usize, Vec<u8>)>,
    /// Discovery's versions, oldest first: the state of the srv in each.
    versions: Vec<ServerStatus>,
    /// The count starts anew at this version.
    lost_at: usize,
    /// The greatest word that each copy's process has held.
    heard: Vec<Option<StampedStatus>>,
    starts: u64,
}

struct Search {
    merge: Merge,
    seen: HashSet<(u64, usize)>,
    states: usize,
    broken: Option<String>,
}

impl World {
    fn new() -> World {
        let copies = (0..COPIES).map(|number| Store::new(&format!("n{number}"), 1, 10)).collect();
        World {
            copies,
            mutants: vec![BTreeMap::new(); COPIES],
            messages: Vec::new(),
            versions: vec![ServerStatus::Serving],
            lost_at: 0,
            heard: vec![None; COPIES],
            starts: 1,
        }
    }

    fn held(&self, merge: Merge, copy: usize) -> Option<StampedStatus> {
        match merge {
            Merge::Shipped => self.copies[copy].statuses().get(SRV),
            _ => self.mutants[copy].get(SRV).copied(),
        }
    }

    /// A mutant hears what its copy heard, by its own rule.
    fn mutate(&mut self, merge: Merge, copy: usize, word: StampedStatus) {
        let held = self.mutants[copy].get(SRV).copied();
        let stands = match (merge, held) {
            (_, None) | (Merge::ByArrival, _) => true,
            (Merge::BetterOfTies, Some(held)) => {
                word.stamp > held.stamp || word.stamp == held.stamp && word.status < held.status
            }
            (Merge::Shipped, _) => false,
        };
        if stands {
            self.mutants[copy].insert(SRV.into(), word);
        }
    }

    /// Discovery answers a copy with its newest list.
    fn ask(&mut self, merge: Merge, copy: usize) {
        let state = self.versions[self.versions.len() - 1];
        let version = (self.versions.len() - self.lost_at) as u64;
        let entries: Vec<(String, ServerStatus)> =
            (state != ServerStatus::Gone).then(|| (SRV.to_owned(), state)).into_iter().collect();
        self.copies[copy].apply_discovery(version, true, &entries);
        let said = self.copies[copy].statuses().get(SRV);
        if let Some(word) = said {
            self.mutate(merge, copy, word);
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        let bytes = self.copies[from].next_delta(1_000, 2);
        if !bytes.is_empty() {
            self.messages.push((to, bytes));
        }
    }

    fn deliver(&mut self, merge: Merge, number: usize) {
        let (to, bytes) = self.messages[number].clone();
        let items = decode_updates(&bytes).expect("items");
        for item in &items {
            if let Update::Status { stamped: word, .. } = item {
                self.mutate(merge, to, *word);
            }
        }
        self.copies[to].merge_updates(0, items, |_| Some(1));
    }

    /// All copies meet until none learns anything; what differs then, if anything.
    fn differs_after_meeting(&self) -> Option<String> {
        let mut world = self.clone();
        for _ in 0..COPIES {
            for from in 0..COPIES {
                for to in (0..COPIES).filter(|to| *to != from) {
                    let theirs = world.copies[to].digest();
                    for piece in world.copies[from].encode_differences(&theirs, 1_000) {
                        world.copies[to]
                            .merge_updates(0, decode_updates(&piece).expect("items"), |_| Some(1));
                    }
                }
            }
        }
        let first = world.copies[0].digest();
        let alike = world.copies.iter().all(|copy| copy.digest() == first);
        (!alike).then(|| "copies that have met differ".into())
    }
}

impl Search {
    fn run(merge: Merge, depth: usize) -> Search {
        let mut search = Search { merge, seen: HashSet::new(), states: 0, broken: None };
        search.visit(World::new(), depth);
        search
    }

    fn visit(&mut self, mut world: World, left: usize) {
        // What a process has held is never unheard: words only ever grow.
        for copy in 0..COPIES {
            let held = world.held(self.merge, copy);
            if world.heard[copy] > held {
                let was = world.heard[copy];
                self.broken.get_or_insert(format!("copy {copy} held {was:?} and now {held:?}"));
            }
            world.heard[copy] = held;
        }
        if self.merge == Merge::Shipped
            && let Some(why) = world.differs_after_meeting()
        {
            self.broken.get_or_insert(why);
        }
        let mut hash = DefaultHasher::new();
        world.hash(&mut hash);
        if self.broken.is_some() || !self.seen.insert((hash.finish(), left)) {
            return;
        }
        self.states += 1;
        if left == 0 {
            return;
        }
        let merge = self.merge;
        let mut next = |change: &dyn Fn(&mut World)| {
            let mut after = world.clone();
            change(&mut after);
            self.visit(after, left - 1);
        };
        for state in [ServerStatus::Serving, ServerStatus::Draining, ServerStatus::Gone] {
            if world.versions.len() < 4 && world.versions[world.versions.len() - 1] != state {
                next(&|world| world.versions.push(state));
            }
        }
        for copy in 0..COPIES {
            next(&|world| world.ask(merge, copy));
            for to in (0..COPIES).filter(|to| *to != copy && world.copies[copy].has_pending_updates()) {
                next(&|world| world.send(copy, to));
            }
        }
        for number in 0..world.messages.len() {
            // Delivered and under way still: it may come once more, at any time. Or lost.
            next(&|world| world.deliver(merge, number));
            next(&|world| drop(world.messages.remove(number)));
        }
        if world.lost_at == 0 && world.versions.len() > 1 {
            next(&|world| world.lost_at = world.versions.len() - 1);
        }
        if world.starts < 3 {
            next(&|world| {
                world.starts += 1;
                world.copies[0] = Store::new("n0", world.starts, 10);
                world.mutants[0].clear();
                world.heard[0] = None;
            });
        }
    }
}

fn depth() -> usize {
    // Deeper by hand: SEARCH_DEPTH=8.
    std::env::var("SEARCH_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(5)
}

#[test]
fn in_all_orders_nothing_heard_is_unheard_and_copies_that_meet_agree() {
    let search = Search::run(Merge::Shipped, depth());
    println!("{} states to a depth of {}", search.states, depth());
    assert_eq!(search.broken, None);
    assert!(search.states > 5_000, "only {} states", search.states);
}

#[test]
fn a_merge_by_arrival_is_caught() {
    assert!(Search::run(Merge::ByArrival, 7).broken.is_some());
}

#[test]
fn a_merge_that_takes_the_better_of_two_words_is_caught() {
    assert!(Search::run(Merge::BetterOfTies, 8).broken.is_some());
}
