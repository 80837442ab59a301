//! Paxos on the content of a version in small scopes, walked exhaustively: every order in which messages can be
//! delivered, each also never, with one fault or none. Visited states are known by a hash of everything that the
//! replicas hold and of the messages in flight; time stands still but for the steps below. `cluster` checks in every
//! state what must always hold.
//!
//! A message from a replica to itself is delivered at once, as the shipped program does after the sync. Messages that
//! don't affect the decision are left out; with three members and more also those that offer decided content, which
//! only end ballots earlier. A message whose delivery would change nothing and cause none is dropped: ballots are not
//! used twice, so an answer to one that is over stays without effect. A message of a later epoch than its receiver's
//! is kept.
//!
//! A change of members is one step, in which one member may be out of reach: all of it but for the ballots on the
//! version happens in a fixed order, and a member that was out of reach learns of the new epoch by a message like any
//! other.

mod cluster;

use std::collections::{HashSet, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use cluster::{MS, World, at};
use ochreshed_consensus::core::Mutation;
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What else may happen in a scope, each so often.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Faults {
    /// A replica crashes and starts again at once, with its disk.
    kills: u8,
    /// A message is delivered and stays in flight.
    doubles: u8,
    /// Time passes the next retry, for all.
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
    /// The replica that further content is sent to once the members have changed.
    order_after: Option<usize>,
    faults: Faults,
    /// Messages that offer decided content are walked as well.
    spreads: bool,
    mutation: Option<Mutation>,
    /// The bound on the states that are walked.
    most: usize,
}

#[derive(Debug)]
struct Walked {
    states: usize,
    steps: usize,
    whole: bool,
    violation: Option<String>,
}

fn matters(message: &Message, spreads: bool) -> bool {
    let offers = matches!(
        message.body,
        MessageBody::StoreConfiguration(_)
            | MessageBody::ConfigurationStored { .. }
            | MessageBody::FetchConfiguration { .. }
    );
    matches!(message.body, MessageBody::RegisterPaxos(_) | MessageBody::MembershipAnnouncement(_))
        || spreads && offers
}

fn epoch(world: &World, node: usize) -> u64 {
    world.nodes[node].core.as_ref().map_or(0, |core| core.membership().epoch)
}

/// Whether delivering a message changes nothing and causes no message.
fn is_inert(world: &World, message: usize) -> bool {
    let (to, before) = (world.in_flight[message].to, world.in_flight.len());
    if world.in_flight[message].message.epoch > epoch(world, to) {
        return false;
    }
    let mut after = world.clone();
    after.deliver(message);
    let same = hash_of(&after.nodes[to].core) == hash_of(&world.nodes[to].core);
    same && after.nodes[to].pending.is_empty() && after.in_flight.len() + 1 == before
}

/// Delivers what replicas send to themselves, and drops messages that don't affect the decision.
fn settle(world: &mut World, spreads: bool) {
    loop {
        (0..world.nodes.len()).for_each(|node| world.sync(node, usize::MAX));
        world.in_flight.retain(|envelope| matters(&envelope.message, spreads));
        let own =
            world.in_flight.iter().position(|envelope| envelope.message.from.address == at(envelope.to));
        match own {
            Some(own) => world.deliver(own),
            None => break,
        }
    }
    let mut seen = HashSet::new();
    world
        .in_flight
        .retain(|envelope| seen.insert(hash_of(&(envelope.to, envelope.incarnation, &envelope.message))));
    let inert: Vec<bool> = (0..world.in_flight.len()).map(|message| is_inert(world, message)).collect();
    let mut inert = inert.into_iter();
    world.in_flight.retain(|_| !inert.next().unwrap_or(false));
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
    let mut in_flight: Vec<u64> = world
        .in_flight
        .iter()
        .map(|envelope| hash_of(&(envelope.to, envelope.incarnation, &envelope.message)))
        .collect();
    in_flight.sort_unstable();
    (in_flight, faults).hash(&mut hasher);
    hasher.finish()
}

/// The version that all writes are for.
const VERSION: u64 = 5;
const LEAVER: usize = 0;
/// The epoch after the change of members.
const CHANGED: u64 = 2;
/// More steps than a new member takes that has to ask those that left.
const CHANGE_STEPS: usize = 150;

/// The spare takes the place of the first member, while `away` neither hears nor is heard.
fn change_members(world: &mut World, away: Option<usize>, order_after: Option<usize>) {
    let mut versions = std::mem::take(&mut world.in_flight);
    let present: Vec<usize> = (0..world.nodes.len()).filter(|node| Some(*node) != away).collect();
    world.leave(LEAVER);
    for _ in 0..CHANGE_STEPS {
        world.now += 10 * MS;
        present.iter().for_each(|node| world.tick(*node));
        present.iter().for_each(|node| world.sync(*node, usize::MAX));
        while !world.in_flight.is_empty() {
            let (held_back, rest) = std::mem::take(&mut world.in_flight).into_iter().partition(|envelope| {
                Some(envelope.to) == away || matches!(envelope.message.body, MessageBody::RegisterPaxos(_))
            });
            versions.extend::<Vec<_>>(held_back);
            world.in_flight = rest;
            (0..world.in_flight.len()).for_each(|_| world.deliver(0));
            present.iter().for_each(|node| world.sync(*node, usize::MAX));
        }
        if present.iter().all(|node| epoch(world, *node) == CHANGED) {
            let joined = world.nodes.last().and_then(|node| node.core.as_ref());
            if joined.is_some_and(|core| core.is_voting()) {
                break;
            }
        }
    }
    // Messages of the last epoch count for nothing in this one.
    versions.retain(|envelope| envelope.message.epoch == CHANGED);
    world.in_flight = versions;
    if let Some(node) = order_after {
        world.request(
            node,
            CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, b"after".into()))),
        );
    }
}

/// Every state that may follow.
fn next(world: &World, faults: Faults, scope: &Scope) -> Vec<(World, Faults)> {
    let (mut all, spreads) = (Vec::new(), scope.spreads);
    let mut add = |faults: Faults, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        settle(&mut world, spreads);
        all.push((world, faults));
    };
    for message in 0..world.in_flight.len() {
        add(faults, &|world| world.deliver(message));
        if faults.doubles > 0 {
            let one_less = Faults { doubles: faults.doubles - 1, ..faults };
            add(one_less, &|world| {
                let again = world.in_flight[message].clone();
                world.deliver(message);
                world.in_flight.push(again);
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

/// How often a walk continues from a random open state in place of the last one.
const ELSEWHERE: f64 = 0.2;

fn walk(scope: &Scope) -> Walked {
    let replicas = scope.members + scope.spares;
    let mut world = World::new(scope.seed, replicas, scope.members, scope.members, scope.mutation);
    world.run_without_faults(300 * MS);
    world.in_flight.clear();
    for (nth, node) in scope.orders.iter().enumerate() {
        world.request(
            *node,
            CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, vec![nth as u8]))),
        );
    }
    settle(&mut world, scope.spreads);
    let mut seen = HashSet::from([state_of(&world, &scope.faults)]);
    let mut walked = Walked { states: 1, steps: 0, whole: true, violation: None };
    let mut open = vec![(world, scope.faults)];
    let mut rng = ChaCha8Rng::seed_from_u64(scope.seed);
    while !open.is_empty() {
        // Depth first, but not always: what an early step leads to is met before all that follows a late one.
        let last = open.len() - 1;
        let at = if rng.random_bool(ELSEWHERE) { rng.random_range(0..=last) } else { last };
        let (world, faults) = open.swap_remove(at);
        for (world, faults) in next(&world, faults, scope) {
            walked.steps += 1;
            if world.violation.is_some() {
                return Walked { violation: world.violation, ..walked };
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
    assert_eq!(walked.violation, None, "{name}");
    walked
}

#[test]
fn two_members_two_contents() {
    assert!(holds("two members, two contents", 2, &[0, 1], NONE).whole);
}

#[test]
fn two_members_and_a_duplicated_message() {
    let faults = Faults { doubles: 1, ..NONE };
    holds("two members, a message twice", 2, &[0, 1], faults);
}

#[test]
fn two_members_and_a_crash() {
    let faults = Faults { kills: 1, ..NONE };
    holds("two members, one killed", 2, &[0, 1], faults);
}

#[test]
fn two_members_and_a_retry() {
    let faults = Faults { resends: 1, ..NONE };
    holds("two members, sent again", 2, &[0, 1], faults);
}

#[test]
fn three_members_two_contents() {
    let walked = holds("three members, two contents", 3, &[0, 1], NONE);
    assert!(walked.whole && walked.states > 4_000);
}

#[test]
fn three_members_and_a_crash() {
    holds("three members, one killed", 3, &[0, 1], Faults { kills: 1, ..NONE });
}

#[test]
fn four_members_two_contents() {
    holds("four members, two contents", 4, &[0, 1], NONE);
}

#[test]
fn three_members_and_a_replacement() {
    holds("three members, one replaced", 3, &[2], Faults { changes: 1, ..NONE });
}

/// Each mutation must be found in one of the scopes.
#[test]
fn mutations_are_found() {
    // Undecided content is held, a promise is violation, what was accepted is forgotten.
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
        assert!(walked.violation.is_some(), "mutation {mutation:?}: {walked:?}");
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
    assert!(walked.violation.is_some(), "mutation NumberWithoutEpoch: {walked:?}");
}
