//! Small scopes of the agreement on one content for each version, walked exhaustively: every order in which messages
//! can be delivered, each also never, with one fault or none. States that were seen are known by a hash of all that the
//! replicas hold and of the messages under way; time stands still but for the steps told below. What must always hold is
//! looked for by `stewards` in every state.
//!
//! A message from a replica to itself is delivered at once, as the shipped program does after the sync. Letters that no
//! version hangs on are left out; with three members and more also those that offer what was decided, which only end
//! ballots earlier. A message whose delivery would change nothing and cause none is dropped: ballots are not used twice,
//! so an answer to one that is over stays without effect. One of a later epoch than its receiver's is kept.
//!
//! A change of members is one step, in which one member may be out of reach: all of it but for the ballots on the version
//! happens in a fixed order, and who was out of reach learns of the new epoch by a message like any other.

mod stewards;

use std::collections::{HashSet, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use ochreshed_consensus::core::Mutation;
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stewards::{MS, World, at};

/// What else may happen in a scope, each so often.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Faults {
    /// A replica is killed and starts again at once, with its disk.
    kills: u8,
    /// A message is delivered and stays under way.
    doubles: u8,
    /// Time goes on past the next resending, for all.
    resends: u8,
    /// The first member leaves, and the spare takes its place.
    changes: u8,
}

struct Scope {
    seed: u64,
    members: usize,
    spares: usize,
    /// The replica that each content under the one version is sent to.
    orders: &'static [usize],
    /// And one that further content is sent to once the members have changed.
    order_after: Option<usize>,
    faults: Faults,
    /// What was decided is offered to the others as well.
    spreads: bool,
    mutation: Option<Mutation>,
    /// No more states are walked.
    most: usize,
}

#[derive(Debug)]
struct Walked {
    states: usize,
    steps: usize,
    whole: bool,
    broken: Option<String>,
}

fn matters(letter: &Message, spreads: bool) -> bool {
    let offers = matches!(
        letter.body,
        MessageBody::StoreConfiguration(_)
            | MessageBody::ConfigurationStored { .. }
            | MessageBody::FetchConfiguration { .. }
    );
    matches!(letter.body, MessageBody::RegisterPaxos(_) | MessageBody::MembershipAnnouncement(_))
        || spreads && offers
}

fn epoch(world: &World, node: usize) -> u64 {
    world.nodes[node].core.as_ref().map_or(0, |core| core.membership().epoch)
}

/// Whether delivering it changes nothing and causes no message.
fn is_inert(world: &World, letter: usize) -> bool {
    let (to, before) = (world.bag[letter].to, world.bag.len());
    if world.bag[letter].letter.epoch > epoch(world, to) {
        return false;
    }
    let mut after = world.clone();
    after.deliver(letter);
    let same = hash_of(&after.nodes[to].core) == hash_of(&world.nodes[to].core);
    same && after.nodes[to].pending.is_empty() && after.bag.len() + 1 == before
}

/// Delivers what replicas send to themselves, and drops what no version hangs on.
fn settle(world: &mut World, spreads: bool) {
    loop {
        (0..world.nodes.len()).for_each(|node| world.sync(node, usize::MAX));
        world.bag.retain(|flying| matters(&flying.letter, spreads));
        let own = world.bag.iter().position(|flying| flying.letter.from.address == at(flying.to));
        match own {
            Some(own) => world.deliver(own),
            None => break,
        }
    }
    let mut seen = HashSet::new();
    world.bag.retain(|flying| seen.insert(hash_of(&(flying.to, flying.life, &flying.letter))));
    let inert: Vec<bool> = (0..world.bag.len()).map(|letter| is_inert(world, letter)).collect();
    let mut inert = inert.into_iter();
    world.bag.retain(|_| !inert.next().unwrap_or(false));
}

fn hash_of(text: &impl std::fmt::Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{text:?}").hash(&mut hasher);
    hasher.finish()
}

fn state_of(world: &World, faults: &Faults) -> u64 {
    let mut hasher = DefaultHasher::new();
    for node in &world.nodes {
        (hash_of(&node.core), hash_of(&node.disk)).hash(&mut hasher);
    }
    let mut bag: Vec<u64> =
        world.bag.iter().map(|flying| hash_of(&(flying.to, flying.life, &flying.letter))).collect();
    bag.sort_unstable();
    (bag, faults).hash(&mut hasher);
    hasher.finish()
}

/// The version that all orders are for.
const VERSION: u64 = 5;
const LEAVER: usize = 0;
/// The epoch after the change.
const CHANGED: u64 = 2;
/// More than a new member takes that has to ask those that left.
const CHANGE_STEPS: usize = 150;

/// The spare takes the place of the first member, while `away` neither hears nor is heard.
fn change_members(world: &mut World, away: Option<usize>, order_after: Option<usize>) {
    let mut versions = std::mem::take(&mut world.bag);
    let present: Vec<usize> = (0..world.nodes.len()).filter(|node| Some(*node) != away).collect();
    world.leave(LEAVER);
    for _ in 0..CHANGE_STEPS {
        world.now += 10 * MS;
        present.iter().for_each(|node| world.tick(*node));
        present.iter().for_each(|node| world.sync(*node, usize::MAX));
        while !world.bag.is_empty() {
            let (held_back, rest) = std::mem::take(&mut world.bag).into_iter().partition(|flying| {
                Some(flying.to) == away || matches!(flying.letter.body, MessageBody::RegisterPaxos(_))
            });
            versions.extend::<Vec<_>>(held_back);
            world.bag = rest;
            (0..world.bag.len()).for_each(|_| world.deliver(0));
            present.iter().for_each(|node| world.sync(*node, usize::MAX));
        }
        if present.iter().all(|node| epoch(world, *node) == CHANGED) {
            let joined = world.nodes.last().and_then(|node| node.core.as_ref());
            if joined.is_some_and(|core| core.is_voting()) {
                break;
            }
        }
    }
    // What was under way in the last epoch is lost: in this one it counts for nothing.
    versions.retain(|flying| flying.letter.epoch == CHANGED);
    world.bag = versions;
    if let Some(node) = order_after {
        world.want(
            node,
            CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, b"after".into()))),
        );
    }
}

/// Everything that may come next.
fn next(world: &World, faults: Faults, scope: &Scope) -> Vec<(World, Faults)> {
    let (mut all, spreads) = (Vec::new(), scope.spreads);
    let mut add = |faults: Faults, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        settle(&mut world, spreads);
        all.push((world, faults));
    };
    for letter in 0..world.bag.len() {
        add(faults, &|world| world.deliver(letter));
        if faults.doubles > 0 {
            let one_less = Faults { doubles: faults.doubles - 1, ..faults };
            add(one_less, &|world| {
                let again = world.bag[letter].clone();
                world.deliver(letter);
                world.bag.push(again);
            });
        }
    }
    if faults.kills > 0 {
        let one_less = Faults { kills: faults.kills - 1, ..faults };
        for node in 0..world.nodes.len() {
            add(one_less, &|world| {
                world.crash(node);
                world.start(node, false);
            });
        }
    }
    if faults.resends > 0 {
        let one_less = Faults { resends: faults.resends - 1, ..faults };
        add(one_less, &|world| {
            world.now += 130 * MS;
            (0..world.nodes.len()).for_each(|node| world.tick(node));
        });
    }
    if faults.changes > 0 {
        let one_less = Faults { changes: faults.changes - 1, ..faults };
        for away in [None, Some(1), Some(2)] {
            add(one_less, &|world| change_members(world, away, scope.order_after));
        }
    }
    all
}

/// How often a walk goes on from any open state in place of the last one.
const ELSEWHERE: f64 = 0.2;

fn walk(scope: &Scope) -> Walked {
    let replicas = scope.members + scope.spares;
    let mut world = World::new(scope.seed, replicas, scope.members, scope.members, scope.mutation);
    world.calm(300 * MS);
    world.bag.clear();
    for (nth, node) in scope.orders.iter().enumerate() {
        world.want(
            *node,
            CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, vec![nth as u8]))),
        );
    }
    settle(&mut world, scope.spreads);
    let mut seen = HashSet::from([state_of(&world, &scope.faults)]);
    let mut walked = Walked { states: 1, steps: 0, whole: true, broken: None };
    let mut open = vec![(world, scope.faults)];
    let mut chance = ChaCha8Rng::seed_from_u64(scope.seed);
    while !open.is_empty() {
        // Deep first, but not always: what a step early on leads to is met before all that follows a late one.
        let last = open.len() - 1;
        let at = if chance.random_bool(ELSEWHERE) { chance.random_range(0..=last) } else { last };
        let (world, faults) = open.swap_remove(at);
        for (world, faults) in next(&world, faults, scope) {
            walked.steps += 1;
            if world.broken.is_some() {
                return Walked { broken: world.broken, ..walked };
            }
            if !seen.insert(state_of(&world, &faults)) {
                continue;
            }
            if walked.states >= scope.most {
                walked.whole = false;
                continue;
            }
            walked.states += 1;
            open.push((world, faults));
        }
    }
    walked
}

/// More of them where STATES says so.
fn most(otherwise: usize) -> usize {
    std::env::var("STATES").ok().and_then(|most| most.parse().ok()).unwrap_or(otherwise)
}

const NONE: Faults = Faults { kills: 0, doubles: 0, resends: 0, changes: 0 };

fn holds(name: &str, members: usize, orders: &'static [usize], faults: Faults) -> Walked {
    let spreads = members == 2;
    let (spares, seed) = (usize::from(faults.changes > 0), 1);
    let order_after = (faults.changes > 0).then_some(1);
    let walked = walk(&Scope {
        seed,
        members,
        spares,
        orders,
        order_after,
        faults,
        spreads,
        mutation: None,
        most: most(5_000),
    });
    println!("{name}: {walked:?}");
    assert_eq!(walked.broken, None, "{name}");
    walked
}

#[test]
fn two_members_two_contents() {
    assert!(holds("two members, two contents", 2, &[0, 1], NONE).whole);
}

#[test]
fn two_members_and_a_message_twice() {
    let faults = Faults { doubles: 1, ..NONE };
    holds("two members, a message twice", 2, &[0, 1], faults);
}

#[test]
fn two_members_and_one_killed() {
    let faults = Faults { kills: 1, ..NONE };
    holds("two members, one killed", 2, &[0, 1], faults);
}

#[test]
fn two_members_and_sent_again_after_a_silence() {
    let faults = Faults { resends: 1, ..NONE };
    holds("two members, sent again", 2, &[0, 1], faults);
}

#[test]
fn three_members_two_contents() {
    let walked = holds("three members, two contents", 3, &[0, 1], NONE);
    assert!(walked.whole && walked.states > 4_000);
}

#[test]
fn three_members_and_one_killed() {
    holds("three members, one killed", 3, &[0, 1], Faults { kills: 1, ..NONE });
}

#[test]
fn four_members_two_contents() {
    holds("four members, two contents", 4, &[0, 1], NONE);
}

#[test]
fn three_members_of_which_one_is_replaced() {
    holds("three members, one replaced", 3, &[2], Faults { changes: 1, ..NONE });
}

/// Each rule that is broken must be found in one of the scopes.
#[test]
fn mutants_are_found() {
    // Undecided content is held, a promise is broken, what was accepted is forgotten.
    for (mutation, members) in [
        (Mutation::StoreUndecidedValue, 2),
        (Mutation::IgnoreRegisterPromise, 2),
        (Mutation::IgnoreAcceptedValue, 2),
    ] {
        let faults = Faults { resends: 1, ..NONE };
        let orders = &[0, 1];
        let scope = Scope {
            seed: 1,
            members,
            spares: 0,
            orders,
            order_after: None,
            faults,
            spreads: false,
            mutation: Some(mutation),
            most: 20_000,
        };
        let walked = walk(&scope);
        println!("mutation {mutation:?}: {walked:?}");
        assert!(walked.broken.is_some(), "mutation {mutation:?}: {walked:?}");
    }
    // Numbers without their epoch, in a draw in which the content of the earlier epoch has the higher one.
    let (orders, faults) = (&[2], Faults { changes: 1, ..NONE });
    let (spares, order_after) = (1, Some(1));
    let scope = Scope {
        seed: 2,
        members: 3,
        spares,
        orders,
        order_after,
        faults,
        spreads: false,
        mutation: Some(Mutation::NumberWithoutEpoch),
        most: 10_000,
    };
    let walked = walk(&scope);
    println!("mutation NumberWithoutEpoch: {walked:?}");
    assert!(walked.broken.is_some(), "mutation NumberWithoutEpoch: {walked:?}");
}
