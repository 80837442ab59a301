//! MembershipBallotState on a version, and changes of a session, across a change of members: what one replica alone took in an earlier
//! epoch must never win over what was agreed in a later one, however it was numbered.

mod stewards;

use std::sync::Arc;

use ochreshed_consensus::core::{Core, Mutation};
use ochreshed_consensus::messages::*;
use stewards::{Flying, MS, World, at};

const LEAVER: usize = 0;
const DECIDER: usize = 1;
const CUT_OFF: usize = 2;
const JOINER: usize = 3;
const VERSION: u64 = 5;

fn core(world: &World, node: usize) -> &Core {
    world.nodes[node].core.as_ref().expect("it runs")
}

fn order(world: &mut World, node: usize, text: &str) -> u64 {
    world.want(node, CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, text.into()))))
}

/// Delivers what is allowed, drops all else, and lets 10 ms pass; only these run.
fn step(world: &mut World, nodes: &[usize], allowed: impl Fn(&Flying) -> bool) {
    nodes.iter().for_each(|node| world.sync(*node, usize::MAX));
    while !world.bag.is_empty() {
        world.bag.retain(&allowed);
        (0..world.bag.len()).for_each(|_| world.deliver(0));
        nodes.iter().for_each(|node| world.sync(*node, usize::MAX));
    }
    world.now += 10 * MS;
    nodes.iter().for_each(|node| world.tick(*node));
}

fn among(flying: &Flying, nodes: &[usize]) -> bool {
    nodes.contains(&flying.to) && nodes.iter().any(|node| at(*node) == flying.letter.from.address)
}

fn has_accepted(world: &World, node: usize) -> bool {
    let open = &world.nodes[node].disk.version_ballots;
    open.iter().any(|ballot| ballot.version == VERSION && ballot.accepted.is_some())
}

/// One accepts its own content by a majority's promises and is cut off. The other that promised leaves, and tells the new
/// member what it holds, which is nothing of that content. The new majority decides other content; then the one that
/// was cut off comes back and asks the new member, who has accepted that content and does not hold it yet.
fn comes_back(seed: u64, mutation: Option<Mutation>) -> (Option<CoreResponse>, Option<String>) {
    let mut world = World::new(seed, 4, 3, 3, mutation);
    world.calm(300 * MS);
    let first = order(&mut world, CUT_OFF, "one");
    world.sync(CUT_OFF, usize::MAX);
    while !has_accepted(&world, CUT_OFF) {
        let both = [LEAVER, CUT_OFF];
        let accept = |flying: &Flying| {
            matches!(flying.letter.body, MessageBody::RegisterPaxos(RegisterPaxosMessage::Accept { .. }))
        };
        world.bag.retain(|flying| among(flying, &both) && (flying.to == CUT_OFF || !accept(flying)));
        assert!(!world.bag.is_empty(), "it is promised");
        world.deliver(0);
        both.iter().for_each(|node| world.sync(*node, usize::MAX));
    }
    world.bag.clear();
    world.leave(LEAVER);
    let others = [LEAVER, DECIDER, JOINER];
    for _ in 0..100 {
        step(&mut world, &others, |flying| among(flying, &others));
    }
    let view = core(&world, JOINER).membership();
    assert!(view.epoch == 2 && core(&world, JOINER).is_voting(), "{view:?}");
    assert!(!view.members.iter().any(|member| member.address == at(LEAVER)), "{view:?}");
    world.crash(LEAVER);
    order(&mut world, DECIDER, "two");
    let new = [DECIDER, JOINER];
    while core(&world, DECIDER).stored_configuration().is_none() {
        world.bag.retain(|flying| among(flying, &new));
        assert!(!world.bag.is_empty(), "it is decided");
        world.deliver(0);
        new.iter().for_each(|node| world.sync(*node, usize::MAX));
    }
    world.bag.clear();
    assert!(core(&world, JOINER).stored_configuration().is_none() && has_accepted(&world, JOINER));
    let back = [CUT_OFF, JOINER];
    for _ in 0..80 {
        step(&mut world, &back, |flying| among(flying, &back));
    }
    (world.answers.get(&first).cloned(), world.broken)
}

/// Guards against two contents under one number, of which the first was confirmed.
#[test]
fn what_was_accepted_in_an_earlier_epoch_does_not_win_over_a_later_decision() {
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

fn take(gate: u16) -> CoreRequest {
    let gate = std::net::SocketAddr::from(([127, 0, 0, 1], gate));
    CoreRequest::Session(SESSION, SessionRequest::Acquire { outbound_proxy: gate, above_term: 0 })
}

fn agreed_gate(world: &World, call: u64) -> Option<u16> {
    match world.answers.get(&call) {
        Some(CoreResponse::Session(Some(agreed))) => {
            agreed.ownership.owner.map(|holder| holder.outbound_proxy.port())
        }
        _ => None,
    }
}

/// The same with a session: one replica alone takes a change, twice, so that its epoch is the higher one; other replicas
/// agree on another change after a change of members. Whose gate it is for the one that comes back.
fn session_after(mutation: Option<Mutation>) -> Option<u16> {
    let mut world = World::new(3, 4, 3, 3, mutation);
    world.calm(300 * MS);
    for gate in [8_001, 8_002] {
        world.want(CUT_OFF, take(gate));
        for _ in 0..20 {
            let both = [LEAVER, CUT_OFF];
            both.iter().for_each(|node| world.sync(*node, usize::MAX));
            let held = |flying: &Flying| match &flying.letter.body {
                MessageBody::Sessions(list) => {
                    list.iter().any(|said| matches!(said, SessionMessage::Accept { .. }))
                }
                _ => false,
            };
            world.bag.retain(|flying| among(flying, &both) && !held(flying));
            (0..world.bag.len()).for_each(|_| world.deliver(0));
        }
    }
    world.bag.clear();
    world.leave(LEAVER);
    let others = [LEAVER, DECIDER, JOINER];
    for _ in 0..100 {
        step(&mut world, &others, |flying| among(flying, &others));
    }
    assert!(core(&world, JOINER).membership().epoch == 2 && core(&world, JOINER).is_voting());
    world.crash(LEAVER);
    let new = [DECIDER, JOINER];
    let call = world.want(DECIDER, take(8_003));
    (0..20).for_each(|_| step(&mut world, &new, |flying| among(flying, &new)));
    assert_eq!(agreed_gate(&world, call), Some(8_003));
    let back = [CUT_OFF, JOINER];
    (0..100).for_each(|_| step(&mut world, &back, |flying| among(flying, &back)));
    let call = world.want(CUT_OFF, CoreRequest::Session(SESSION, SessionRequest::Read));
    (0..50).for_each(|_| step(&mut world, &back, |flying| among(flying, &back)));
    agreed_gate(&world, call)
}

/// Guards against a session that goes back to a gate or an upstream that was never agreed.
#[test]
fn a_session_does_not_go_back_to_what_a_replica_took_alone_in_an_earlier_epoch() {
    assert_eq!(session_after(None), Some(8_003));
    assert_ne!(
        session_after(Some(Mutation::IgnoreSessionPromises)),
        Some(8_003),
        "a mutation that tells a new member no promises"
    );
}
