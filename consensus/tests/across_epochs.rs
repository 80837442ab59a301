//! Proposals for a version of a register, and changes of a session, across a change of members: what one replica
//! alone accepted in an earlier epoch must never win over what was committed in a later one, however it was numbered.

mod cluster;

use std::sync::Arc;

use cluster::{InFlight, MS, World, at};
use ochreshed_consensus::core::{Core, Mutation};
use ochreshed_consensus::messages::*;

const LEAVER: usize = 0;
const DECIDER: usize = 1;
const CUT_OFF: usize = 2;
const JOINER: usize = 3;
const VERSION: u64 = 5;

fn core(world: &World, node: usize) -> &Core {
    world.nodes[node].core.as_ref().expect("it runs")
}

fn order(world: &mut World, node: usize, text: &str) -> u64 {
    world.request(node, CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, text.into()))))
}

/// Delivers the allowed messages, drops all others, and lets 10 ms pass. Only `nodes` run.
fn step(world: &mut World, nodes: &[usize], allowed: impl Fn(&InFlight) -> bool) {
    nodes.iter().for_each(|node| world.sync(*node, usize::MAX));
    while !world.in_flight.is_empty() {
        world.in_flight.retain(&allowed);
        (0..world.in_flight.len()).for_each(|_| world.deliver(0));
        nodes.iter().for_each(|node| world.sync(*node, usize::MAX));
    }
    world.now += 10 * MS;
    nodes.iter().for_each(|node| world.tick(*node));
}

fn among(envelope: &InFlight, nodes: &[usize]) -> bool {
    nodes.contains(&envelope.to) && nodes.iter().any(|node| at(*node) == envelope.message.from.address)
}

fn has_accepted(world: &World, node: usize) -> bool {
    let open = &world.nodes[node].disk.acceptors;
    open.iter().any(|ballot| ballot.version == VERSION && ballot.accepted.is_some())
}

/// One replica accepts its own content after a majority's promises and is cut off. The other replica that promised
/// leaves and serves its snapshot to the new member, without that content. The new majority decides other content;
/// then the first replica comes back and asks the new member, which has accepted that content but does not store it
/// yet.
fn comes_back(seed: u64, mutation: Option<Mutation>) -> (Option<CoreResponse>, Option<String>) {
    let mut world = World::new(seed, 4, 3, 3, mutation);
    world.run_without_faults(300 * MS);
    let first = order(&mut world, CUT_OFF, "one");
    world.sync(CUT_OFF, usize::MAX);
    while !has_accepted(&world, CUT_OFF) {
        let both = [LEAVER, CUT_OFF];
        let accept = |envelope: &InFlight| {
            matches!(envelope.message.body, MessageBody::RegisterPaxos(RegisterPaxosMessage::Accept { .. }))
        };
        world
            .in_flight
            .retain(|envelope| among(envelope, &both) && (envelope.to == CUT_OFF || !accept(envelope)));
        assert!(!world.in_flight.is_empty(), "it is promised");
        world.deliver(0);
        both.iter().for_each(|node| world.sync(*node, usize::MAX));
    }
    world.in_flight.clear();
    world.leave(LEAVER);
    let others = [LEAVER, DECIDER, JOINER];
    for _ in 0..100 {
        step(&mut world, &others, |envelope| among(envelope, &others));
    }
    let membership = core(&world, JOINER).membership();
    assert!(membership.epoch == 2 && core(&world, JOINER).is_voting(), "{membership:?}");
    assert!(!membership.members.iter().any(|member| member.address == at(LEAVER)), "{membership:?}");
    world.crash(LEAVER);
    order(&mut world, DECIDER, "two");
    let new = [DECIDER, JOINER];
    while core(&world, DECIDER).stored_configuration().is_none() {
        world.in_flight.retain(|envelope| among(envelope, &new));
        assert!(!world.in_flight.is_empty(), "it is decided");
        world.deliver(0);
        new.iter().for_each(|node| world.sync(*node, usize::MAX));
    }
    world.in_flight.clear();
    assert!(core(&world, JOINER).stored_configuration().is_none() && has_accepted(&world, JOINER));
    let back = [CUT_OFF, JOINER];
    for _ in 0..80 {
        step(&mut world, &back, |envelope| among(envelope, &back));
    }
    (world.responses.get(&first).cloned(), world.violation)
}

/// Guards against two contents under one version, of which the first was acknowledged.
#[test]
fn content_accepted_in_an_earlier_epoch_does_not_win_over_a_later_decision() {
    for seed in 0..16 {
        assert_eq!(comes_back(seed, None), (Some(CoreResponse::Conflict), None), "seed {seed}");
    }
}

#[test]
fn numbers_without_their_epoch_are_noticed() {
    let mutation = Some(Mutation::NumberWithoutEpoch);
    assert!((0..16).any(|seed| comes_back(seed, mutation).1.is_some()));
}

const SESSION: SessionId = 7;

fn take(proxy: u16) -> CoreRequest {
    let proxy = std::net::SocketAddr::from(([127, 0, 0, 1], proxy));
    CoreRequest::Session(SESSION, SessionRequest::Acquire { outbound_proxy: proxy, above_term: 0 })
}

fn agreed_gate(world: &World, call: u64) -> Option<u16> {
    match world.responses.get(&call) {
        Some(CoreResponse::Session(Some(committed))) => {
            committed.ownership.owner.map(|owner| owner.outbound_proxy.port())
        }
        _ => None,
    }
}

/// The same with a session: one replica alone accepts a change, twice, so that its term is the higher one; other
/// replicas commit another change after a change of members. Returns the owner's port as seen by the first replica
/// when it comes back.
fn session_after(mutation: Option<Mutation>) -> Option<u16> {
    let mut world = World::new(3, 4, 3, 3, mutation);
    world.run_without_faults(300 * MS);
    for proxy in [8_001, 8_002] {
        world.request(CUT_OFF, take(proxy));
        for _ in 0..20 {
            let both = [LEAVER, CUT_OFF];
            both.iter().for_each(|node| world.sync(*node, usize::MAX));
            let held = |envelope: &InFlight| match &envelope.message.body {
                MessageBody::Sessions(list) => {
                    list.iter().any(|said| matches!(said, SessionMessage::Accept { .. }))
                }
                _ => false,
            };
            world.in_flight.retain(|envelope| among(envelope, &both) && !held(envelope));
            (0..world.in_flight.len()).for_each(|_| world.deliver(0));
        }
    }
    world.in_flight.clear();
    world.leave(LEAVER);
    let others = [LEAVER, DECIDER, JOINER];
    for _ in 0..100 {
        step(&mut world, &others, |envelope| among(envelope, &others));
    }
    assert!(core(&world, JOINER).membership().epoch == 2 && core(&world, JOINER).is_voting());
    world.crash(LEAVER);
    let new = [DECIDER, JOINER];
    let call = world.request(DECIDER, take(8_003));
    (0..20).for_each(|_| step(&mut world, &new, |envelope| among(envelope, &new)));
    assert_eq!(agreed_gate(&world, call), Some(8_003));
    let back = [CUT_OFF, JOINER];
    (0..100).for_each(|_| step(&mut world, &back, |envelope| among(envelope, &back)));
    let call = world.request(CUT_OFF, CoreRequest::Session(SESSION, SessionRequest::Read));
    (0..50).for_each(|_| step(&mut world, &back, |envelope| among(envelope, &back)));
    agreed_gate(&world, call)
}

/// Guards against a session that returns to an owner or an upstream that was never committed.
#[test]
fn a_session_does_not_return_to_a_change_that_one_replica_accepted_in_an_earlier_epoch() {
    assert_eq!(session_after(None), Some(8_003));
    assert_ne!(
        session_after(Some(Mutation::IgnoreSessionPromises)),
        Some(8_003),
        "a mutation that ignores promises of sessions"
    );
}
