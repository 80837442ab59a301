//! Paxos on the content of a version in small scopes, searched exhaustively: every order in which messages can be
//! delivered or lost, with one fault or none. Visited states are identified by a hash of the replicas' states, their
//! disks and the messages in flight. Time advances only in the steps below. `cluster` checks the invariants in every
//! state.
//!
//! A message from a replica to itself is delivered at once, as the real program does after a sync. Messages that don't
//! affect the decision are left out; with three or more members also those that offer decided content, which only end
//! ballots earlier. A message whose delivery would change nothing and cause no message is dropped: ballots are not
//! reused, so an answer to a finished ballot never has an effect. A message of a later epoch than its receiver's is
//! kept.
//!
//! The replacement of a member is one step, in which one other member may be unreachable: everything except for the
//! ballots on the version happens in a fixed order, and the unreachable member learns of the new epoch later, by a
//! message like any other.

mod cluster;

use std::collections::{HashSet, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use cluster::{MS, SimulatedCluster, address_of};
use ochreshed_consensus::core::Mutation;
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How often each fault may happen in a scope.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Faults {
    /// A replica crashes and starts again at once, with its disk.
    crashes: u8,
    /// A message is delivered and also stays in flight.
    duplicates: u8,
    /// Time passes the next retry of all replicas.
    retries: u8,
    /// The first member leaves, and the spare replaces it.
    replacements: u8,
}

struct Scope {
    seed: u64,
    members: usize,
    spares: usize,
    /// The replica that receives each write; all writes have the same version and different content.
    write_targets: &'static [usize],
    /// The replica that receives one more write after the replacement.
    write_after_replacement: Option<usize>,
    faults: Faults,
    /// Messages that offer decided content are explored as well.
    includes_replication: bool,
    mutation: Option<Mutation>,
    /// The maximum number of states to explore.
    max_states: usize,
}

#[derive(Debug)]
struct WalkResult {
    states: usize,
    steps: usize,
    is_exhaustive: bool,
    violation: Option<String>,
}

fn affects_decision(message: &Message, includes_replication: bool) -> bool {
    let is_replication = matches!(
        message.body,
        MessageBody::StoreConfiguration(_)
            | MessageBody::ConfigurationStored { .. }
            | MessageBody::FetchConfiguration { .. }
    );
    matches!(message.body, MessageBody::RegisterPaxos(_) | MessageBody::MembershipAnnouncement(_))
        || includes_replication && is_replication
}

fn epoch(cluster: &SimulatedCluster, node: usize) -> u64 {
    cluster.nodes[node].core.as_ref().map_or(0, |core| core.membership().epoch)
}

/// Whether delivering a message changes nothing and causes no message.
fn is_inert(cluster: &SimulatedCluster, message: usize) -> bool {
    let (to, before) = (cluster.in_flight[message].to, cluster.in_flight.len());
    if cluster.in_flight[message].message.epoch > epoch(cluster, to) {
        return false;
    }
    let mut after = cluster.clone();
    after.deliver(message);
    let is_unchanged = hash_of(&after.nodes[to].core) == hash_of(&cluster.nodes[to].core);
    is_unchanged && after.nodes[to].pending.is_empty() && after.in_flight.len() + 1 == before
}

/// Delivers what replicas send to themselves, and drops messages that don't affect the decision.
fn deliver_to_self_and_prune(cluster: &mut SimulatedCluster, includes_replication: bool) {
    loop {
        (0..cluster.nodes.len()).for_each(|node| cluster.sync(node, usize::MAX));
        cluster.in_flight.retain(|envelope| affects_decision(&envelope.message, includes_replication));
        let to_self = cluster
            .in_flight
            .iter()
            .position(|envelope| envelope.message.from.address == address_of(envelope.to));
        match to_self {
            Some(index) => cluster.deliver(index),
            None => break,
        }
    }
    let mut seen = HashSet::new();
    cluster
        .in_flight
        .retain(|envelope| seen.insert(hash_of(&(envelope.to, envelope.incarnation, &envelope.message))));
    let inert: Vec<bool> = (0..cluster.in_flight.len()).map(|message| is_inert(cluster, message)).collect();
    let mut inert = inert.into_iter();
    cluster.in_flight.retain(|_| !inert.next().unwrap_or(false));
}

fn hash_of(value: &impl std::fmt::Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{value:?}").hash(&mut hasher);
    hasher.finish()
}

fn state_hash(cluster: &SimulatedCluster, faults: &Faults) -> u64 {
    let mut hasher = DefaultHasher::new();
    for node in &cluster.nodes {
        (hash_of(&node.core), hash_of(&node.disk)).hash(&mut hasher);
    }
    let mut in_flight: Vec<u64> = cluster
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
const LEAVING: usize = 0;
/// The epoch after the replacement.
const NEXT_EPOCH: u64 = 2;
/// More steps than a new member needs that has to ask former members.
const MAX_REPLACEMENT_STEPS: usize = 150;

/// Replaces the first member by the spare, while `unreachable` neither sends nor receives.
fn replace_member(
    cluster: &mut SimulatedCluster,
    unreachable: Option<usize>,
    write_after_replacement: Option<usize>,
) {
    let mut paxos_messages = std::mem::take(&mut cluster.in_flight);
    let reachable: Vec<usize> = (0..cluster.nodes.len()).filter(|node| Some(*node) != unreachable).collect();
    cluster.leave(LEAVING);
    for _ in 0..MAX_REPLACEMENT_STEPS {
        cluster.now += 10 * MS;
        reachable.iter().for_each(|node| cluster.tick(*node));
        reachable.iter().for_each(|node| cluster.sync(*node, usize::MAX));
        while !cluster.in_flight.is_empty() {
            let (held_back, rest) =
                std::mem::take(&mut cluster.in_flight).into_iter().partition(|envelope| {
                    Some(envelope.to) == unreachable
                        || matches!(envelope.message.body, MessageBody::RegisterPaxos(_))
                });
            paxos_messages.extend::<Vec<_>>(held_back);
            cluster.in_flight = rest;
            (0..cluster.in_flight.len()).for_each(|_| cluster.deliver(0));
            reachable.iter().for_each(|node| cluster.sync(*node, usize::MAX));
        }
        if reachable.iter().all(|node| epoch(cluster, *node) == NEXT_EPOCH) {
            let joined = cluster.nodes.last().and_then(|node| node.core.as_ref());
            if joined.is_some_and(|core| core.is_voting()) {
                break;
            }
        }
    }
    // Messages of the previous epoch have no effect in this one.
    paxos_messages.retain(|envelope| envelope.message.epoch == NEXT_EPOCH);
    cluster.in_flight = paxos_messages;
    if let Some(node) = write_after_replacement {
        cluster.request(
            node,
            CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, b"after".into()))),
        );
    }
}

/// All states that may follow a state.
fn next_states(cluster: &SimulatedCluster, faults: Faults, scope: &Scope) -> Vec<(SimulatedCluster, Faults)> {
    let (mut states, includes_replication) = (Vec::new(), scope.includes_replication);
    let mut add = |faults: Faults, change: &dyn Fn(&mut SimulatedCluster)| {
        let mut cluster = cluster.clone();
        change(&mut cluster);
        deliver_to_self_and_prune(&mut cluster, includes_replication);
        states.push((cluster, faults));
    };
    for message in 0..cluster.in_flight.len() {
        add(faults, &|cluster| cluster.deliver(message));
        if faults.duplicates > 0 {
            let one_less = Faults { duplicates: faults.duplicates - 1, ..faults };
            add(one_less, &|cluster| {
                let duplicate = cluster.in_flight[message].clone();
                cluster.deliver(message);
                cluster.in_flight.push(duplicate);
            });
        }
    }
    if faults.crashes > 0 {
        let one_less = Faults { crashes: faults.crashes - 1, ..faults };
        for node in 0..cluster.nodes.len() {
            add(one_less, &|cluster| {
                cluster.crash(node);
                cluster.start(node, false);
            });
        }
    }
    if faults.retries > 0 {
        let one_less = Faults { retries: faults.retries - 1, ..faults };
        add(one_less, &|cluster| {
            cluster.now += 130 * MS;
            (0..cluster.nodes.len()).for_each(|node| cluster.tick(node));
        });
    }
    if faults.replacements > 0 {
        let one_less = Faults { replacements: faults.replacements - 1, ..faults };
        for unreachable in [None, Some(1), Some(2)] {
            add(one_less, &|cluster| replace_member(cluster, unreachable, scope.write_after_replacement));
        }
    }
    states
}

/// The probability that a search continues from a random open state instead of the last one.
const RANDOM_STATE_PROBABILITY: f64 = 0.2;

fn walk(scope: &Scope) -> WalkResult {
    let replicas = scope.members + scope.spares;
    let mut cluster =
        SimulatedCluster::new(scope.seed, replicas, scope.members, scope.members, scope.mutation);
    cluster.run_without_faults(300 * MS);
    cluster.in_flight.clear();
    for (index, node) in scope.write_targets.iter().enumerate() {
        cluster.request(
            *node,
            CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, vec![index as u8]))),
        );
    }
    deliver_to_self_and_prune(&mut cluster, scope.includes_replication);
    let mut seen = HashSet::from([state_hash(&cluster, &scope.faults)]);
    let mut result = WalkResult { states: 1, steps: 0, is_exhaustive: true, violation: None };
    let mut open = vec![(cluster, scope.faults)];
    let mut rng = ChaCha8Rng::seed_from_u64(scope.seed);
    while !open.is_empty() {
        // Mostly depth first; random picks reach the successors of early steps before all those of late ones.
        let last = open.len() - 1;
        let at = if rng.random_bool(RANDOM_STATE_PROBABILITY) { rng.random_range(0..=last) } else { last };
        let (cluster, faults) = open.swap_remove(at);
        for (cluster, faults) in next_states(&cluster, faults, scope) {
            result.steps += 1;
            if cluster.violation.is_some() {
                return WalkResult { violation: cluster.violation, ..result };
            }
            if !seen.insert(state_hash(&cluster, &faults)) {
                continue;
            }
            if result.states >= scope.max_states {
                result.is_exhaustive = false;
                continue;
            }
            result.states += 1;
            open.push((cluster, faults));
        }
    }
    result
}

/// The maximum number of states; STATES overrides the default.
fn max_states(default_count: usize) -> usize {
    std::env::var("STATES").ok().and_then(|max_states| max_states.parse().ok()).unwrap_or(default_count)
}

const NO_FAULTS: Faults = Faults { crashes: 0, duplicates: 0, retries: 0, replacements: 0 };

fn assert_no_violation(
    name: &str,
    members: usize,
    write_targets: &'static [usize],
    faults: Faults,
) -> WalkResult {
    let includes_replication = members == 2;
    let (spares, seed) = (usize::from(faults.replacements > 0), 1);
    let write_after_replacement = (faults.replacements > 0).then_some(1);
    let result = walk(&Scope {
        seed,
        members,
        spares,
        write_targets,
        write_after_replacement,
        faults,
        includes_replication,
        mutation: None,
        max_states: max_states(5_000),
    });
    println!("{name}: {result:?}");
    assert_eq!(result.violation, None, "{name}");
    result
}

#[test]
fn two_members_two_contents() {
    assert!(assert_no_violation("two members, two contents", 2, &[0, 1], NO_FAULTS).is_exhaustive);
}

#[test]
fn two_members_and_a_duplicated_message() {
    let faults = Faults { duplicates: 1, ..NO_FAULTS };
    assert_no_violation("two members, one message duplicated", 2, &[0, 1], faults);
}

#[test]
fn two_members_and_a_crash() {
    let faults = Faults { crashes: 1, ..NO_FAULTS };
    assert_no_violation("two members, one crash", 2, &[0, 1], faults);
}

#[test]
fn two_members_and_a_retry() {
    let faults = Faults { retries: 1, ..NO_FAULTS };
    assert_no_violation("two members, one retry", 2, &[0, 1], faults);
}

#[test]
fn three_members_two_contents() {
    let result = assert_no_violation("three members, two contents", 3, &[0, 1], NO_FAULTS);
    assert!(result.is_exhaustive && result.states > 4_000);
}

#[test]
fn three_members_and_a_crash() {
    assert_no_violation("three members, one crash", 3, &[0, 1], Faults { crashes: 1, ..NO_FAULTS });
}

#[test]
fn four_members_two_contents() {
    assert_no_violation("four members, two contents", 4, &[0, 1], NO_FAULTS);
}

#[test]
fn three_members_and_a_replacement() {
    assert_no_violation("three members, one replaced", 3, &[2], Faults { replacements: 1, ..NO_FAULTS });
}

/// Each mutation must be detected in one of the scopes.
#[test]
fn mutations_are_detected() {
    // A replica stores undecided content, breaks a promise, or ignores accepted content.
    for (mutation, members) in [
        (Mutation::StoreUndecidedValue, 2),
        (Mutation::IgnoreRegisterPromise, 2),
        (Mutation::IgnoreAcceptedValue, 2),
    ] {
        let faults = Faults { retries: 1, ..NO_FAULTS };
        let write_targets = &[0, 1];
        let scope = Scope {
            seed: 1,
            members,
            spares: 0,
            write_targets,
            write_after_replacement: None,
            faults,
            includes_replication: false,
            mutation: Some(mutation),
            max_states: 20_000,
        };
        let result = walk(&scope);
        println!("mutation {mutation:?}: {result:?}");
        assert!(result.violation.is_some(), "mutation {mutation:?}: {result:?}");
    }
    // Proposal numbers without the epoch; with this seed the content of the earlier epoch has the higher number.
    let (write_targets, faults) = (&[2], Faults { replacements: 1, ..NO_FAULTS });
    let (spares, write_after_replacement) = (1, Some(1));
    let scope = Scope {
        seed: 2,
        members: 3,
        spares,
        write_targets,
        write_after_replacement,
        faults,
        includes_replication: false,
        mutation: Some(Mutation::NumberWithoutEpoch),
        max_states: 10_000,
    };
    let result = walk(&scope);
    println!("mutation NumberWithoutEpoch: {result:?}");
    assert!(result.violation.is_some(), "mutation NumberWithoutEpoch: {result:?}");
}
