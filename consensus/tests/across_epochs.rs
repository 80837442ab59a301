//! Proposals for a version of a register, and changes of a session, across a change of members: a value that only one
//! replica accepted in an earlier epoch must never win over one committed in a later epoch, whatever its number.

mod cluster;

use std::sync::Arc;

use cluster::{InFlight, MS, SimulatedCluster, address_of};
use ochreshed_consensus::core::{Core, Mutation};
use ochreshed_consensus::messages::*;

const LEAVING: usize = 0;
const DECIDING: usize = 1;
const CUT_OFF: usize = 2;
const JOINING: usize = 3;
const VERSION: u64 = 5;

fn core(cluster: &SimulatedCluster, node: usize) -> &Core {
    cluster.nodes[node].core.as_ref().expect("the node runs")
}

fn write_configuration(cluster: &mut SimulatedCluster, node: usize, text: &str) -> u64 {
    cluster
        .request(node, CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(VERSION, text.into()))))
}

/// Delivers the allowed messages, drops all others, and lets 10 ms pass. Only `nodes` run.
fn step(cluster: &mut SimulatedCluster, nodes: &[usize], allowed: impl Fn(&InFlight) -> bool) {
    nodes.iter().for_each(|node| cluster.sync(*node, usize::MAX));
    while !cluster.in_flight.is_empty() {
        cluster.in_flight.retain(&allowed);
        (0..cluster.in_flight.len()).for_each(|_| cluster.deliver(0));
        nodes.iter().for_each(|node| cluster.sync(*node, usize::MAX));
    }
    cluster.now += 10 * MS;
    nodes.iter().for_each(|node| cluster.tick(*node));
}

fn is_between(envelope: &InFlight, nodes: &[usize]) -> bool {
    nodes.contains(&envelope.to)
        && nodes.iter().any(|node| address_of(*node) == envelope.message.from.address)
}

fn has_accepted(cluster: &SimulatedCluster, node: usize) -> bool {
    let acceptors = &cluster.nodes[node].disk.acceptors;
    acceptors.iter().any(|acceptor| acceptor.version == VERSION && acceptor.accepted.is_some())
}

/// One replica accepts its own content after a majority's promises and is cut off. The other replica that promised
/// leaves and serves its snapshot, without that content, to the new member. The new majority decides other content.
/// Then the first replica reconnects and proposes to the new member, which has accepted the other content but does not
/// store it yet. Returns the answer to the first replica's write, and the violation if there is one.
fn write_of_earlier_epoch(seed: u64, mutation: Option<Mutation>) -> (Option<CoreResponse>, Option<String>) {
    let mut cluster = SimulatedCluster::new(seed, 4, 3, 3, mutation);
    cluster.run_without_faults(300 * MS);
    let first = write_configuration(&mut cluster, CUT_OFF, "one");
    cluster.sync(CUT_OFF, usize::MAX);
    while !has_accepted(&cluster, CUT_OFF) {
        let connected = [LEAVING, CUT_OFF];
        let is_accept = |envelope: &InFlight| {
            matches!(envelope.message.body, MessageBody::RegisterPaxos(RegisterPaxosMessage::Accept { .. }))
        };
        cluster.in_flight.retain(|envelope| {
            is_between(envelope, &connected) && (envelope.to == CUT_OFF || !is_accept(envelope))
        });
        assert!(!cluster.in_flight.is_empty(), "messages of the proposal are in flight");
        cluster.deliver(0);
        connected.iter().for_each(|node| cluster.sync(*node, usize::MAX));
    }
    cluster.in_flight.clear();
    cluster.leave(LEAVING);
    let connected = [LEAVING, DECIDING, JOINING];
    for _ in 0..100 {
        step(&mut cluster, &connected, |envelope| is_between(envelope, &connected));
    }
    let membership = core(&cluster, JOINING).membership();
    assert!(membership.epoch == 2 && core(&cluster, JOINING).is_voting(), "{membership:?}");
    assert!(!membership.members.iter().any(|member| member.address == address_of(LEAVING)), "{membership:?}");
    cluster.crash(LEAVING);
    write_configuration(&mut cluster, DECIDING, "two");
    let connected = [DECIDING, JOINING];
    while core(&cluster, DECIDING).stored_configuration().is_none() {
        cluster.in_flight.retain(|envelope| is_between(envelope, &connected));
        assert!(!cluster.in_flight.is_empty(), "messages of the proposal are in flight");
        cluster.deliver(0);
        connected.iter().for_each(|node| cluster.sync(*node, usize::MAX));
    }
    cluster.in_flight.clear();
    assert!(core(&cluster, JOINING).stored_configuration().is_none() && has_accepted(&cluster, JOINING));
    let connected = [CUT_OFF, JOINING];
    for _ in 0..80 {
        step(&mut cluster, &connected, |envelope| is_between(envelope, &connected));
    }
    (cluster.responses.get(&first).cloned(), cluster.violation)
}

/// Guards against two contents under one version, the first of which was acknowledged.
#[test]
fn content_accepted_in_an_earlier_epoch_does_not_win_over_a_later_decision() {
    for seed in 0..16 {
        assert_eq!(write_of_earlier_epoch(seed, None), (Some(CoreResponse::Conflict), None), "seed {seed}");
    }
}

#[test]
fn proposal_numbers_without_the_epoch_are_detected() {
    let mutation = Some(Mutation::NumberWithoutEpoch);
    assert!((0..16).any(|seed| write_of_earlier_epoch(seed, mutation).1.is_some()));
}

const SESSION: SessionId = 7;

fn acquire_session(proxy: u16) -> CoreRequest {
    let proxy = std::net::SocketAddr::from(([127, 0, 0, 1], proxy));
    CoreRequest::Session(SESSION, SessionRequest::Acquire { outbound_proxy: proxy, above_term: 0 })
}

fn owner_port(cluster: &SimulatedCluster, call: u64) -> Option<u16> {
    match cluster.responses.get(&call) {
        Some(CoreResponse::Session(Some(committed))) => {
            committed.ownership.owner.map(|owner| owner.outbound_proxy.port())
        }
        _ => None,
    }
}

/// The same with a session: only one replica accepts a change, twice, so that its term is the higher one; other
/// replicas commit another change after a change of members. Returns the owner's port that the first replica reads
/// when it reconnects.
fn owner_after_rejoin(mutation: Option<Mutation>) -> Option<u16> {
    let mut cluster = SimulatedCluster::new(3, 4, 3, 3, mutation);
    cluster.run_without_faults(300 * MS);
    for proxy in [8_001, 8_002] {
        cluster.request(CUT_OFF, acquire_session(proxy));
        for _ in 0..20 {
            let connected = [LEAVING, CUT_OFF];
            connected.iter().for_each(|node| cluster.sync(*node, usize::MAX));
            let has_accept = |envelope: &InFlight| match &envelope.message.body {
                MessageBody::Sessions(list) => {
                    list.iter().any(|message| matches!(message, SessionMessage::Accept { .. }))
                }
                _ => false,
            };
            cluster.in_flight.retain(|envelope| is_between(envelope, &connected) && !has_accept(envelope));
            (0..cluster.in_flight.len()).for_each(|_| cluster.deliver(0));
        }
    }
    cluster.in_flight.clear();
    cluster.leave(LEAVING);
    let connected = [LEAVING, DECIDING, JOINING];
    for _ in 0..100 {
        step(&mut cluster, &connected, |envelope| is_between(envelope, &connected));
    }
    assert!(core(&cluster, JOINING).membership().epoch == 2 && core(&cluster, JOINING).is_voting());
    cluster.crash(LEAVING);
    let connected = [DECIDING, JOINING];
    let call = cluster.request(DECIDING, acquire_session(8_003));
    (0..20).for_each(|_| step(&mut cluster, &connected, |envelope| is_between(envelope, &connected)));
    assert_eq!(owner_port(&cluster, call), Some(8_003));
    let connected = [CUT_OFF, JOINING];
    (0..100).for_each(|_| step(&mut cluster, &connected, |envelope| is_between(envelope, &connected)));
    let call = cluster.request(CUT_OFF, CoreRequest::Session(SESSION, SessionRequest::Read));
    (0..50).for_each(|_| step(&mut cluster, &connected, |envelope| is_between(envelope, &connected)));
    owner_port(&cluster, call)
}

/// Guards against a session that returns to an owner or an upstream that was never committed.
#[test]
fn a_session_does_not_return_to_a_change_that_one_replica_accepted_in_an_earlier_epoch() {
    assert_eq!(owner_after_rejoin(None), Some(8_003));
    assert_ne!(
        owner_after_rejoin(Some(Mutation::IgnoreSessionPromises)),
        Some(8_003),
        "the mutation IgnoreSessionPromises was not detected"
    );
}
