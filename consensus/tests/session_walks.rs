//! Sessions that move between outbound proxies while messages are lost, duplicated and late, disks keep only part of
//! what was written, and replicas come and go. Random walks, and mutations that break one rule each to show that the
//! walks notice it.

mod cluster;

use std::net::SocketAddr;
use std::time::Instant;

use cluster::{MS, World, at};
use ochreshed_consensus::core::{Mutation, SESSION_IDLE};
use ochreshed_consensus::messages::*;
use rand::Rng;

fn proxy(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 7_000 + number as u16))
}

fn binding(id: u64) -> SessionBinding {
    SessionBinding { upstream_id: format!("i-{id}"), inbound_proxy: proxy(99) }
}

fn take(proxy: SocketAddr) -> SessionRequest {
    SessionRequest::Acquire { outbound_proxy: proxy, above_term: 0 }
}

/// How often each kind of fault and request occurs, in 1000 steps.
struct WalkParameters {
    message_loss: u32,
    duplication: u32,
    partitions: u32,
    crashes: u32,
    disk_losses: u32,
    slow_disks: bool,
    time_steps: u32,
    session_calls: u32,
    sessions: u128,
    nodes: usize,
    voters: usize,
    steps: usize,
}

impl WalkParameters {
    fn of(seed: u64) -> WalkParameters {
        if seed % 2 == 1 {
            // Concentrates on disks that are lost while a change is under way.
            let (message_loss, partitions, session_calls) =
                ([30, 90][seed as usize / 2 % 2], 4, [50, 150][seed as usize / 4 % 2]);
            let (disk_losses, time_steps, sessions, nodes, voters, steps) =
                (10, 60, 1, 3 + seed as usize / 8 % 2, 3, 600);
            let (duplication, crashes, slow_disks) = (0, 0, false);
            return WalkParameters {
                message_loss,
                duplication,
                partitions,
                crashes,
                disk_losses,
                slow_disks,
                time_steps,
                session_calls,
                sessions,
                nodes,
                voters,
                steps,
            };
        }
        let pick = |of: &[u32], by: u64| of[(seed / by) as usize % of.len()];
        let (voters, nodes) = [(3, 4), (3, 3), (5, 6), (3, 5)][seed as usize % 4];
        WalkParameters {
            message_loss: pick(&[0, 20, 60], 4),
            duplication: pick(&[0, 20], 12),
            partitions: pick(&[0, 10, 30], 24),
            crashes: pick(&[0, 15, 40], 2),
            disk_losses: pick(&[0, 15, 30], 3),
            slow_disks: pick(&[0, 1], 1) == 1,
            time_steps: pick(&[20, 60, 100], 6),
            session_calls: pick(&[60, 120], 5),
            sessions: u128::from(pick(&[1, 2], 7)),
            nodes,
            voters,
            steps: 350,
        }
    }
}

fn request(world: &mut World, parameters: &WalkParameters) -> (SessionId, SessionRequest) {
    let session = world.rng.random_range(0..parameters.sessions);
    let asker = proxy(world.rng.random_range(0..3));
    let last = world
        .roaming_sessions
        .last
        .get(&session)
        .map(|committed| committed.ownership.clone())
        .unwrap_or_default();
    let request = match (world.rng.random_range(0..20), last.owner) {
        (0..10, _) | (_, None) => take(asker),
        (10, _) if world.rng.random_range(0..4) == 0 => SessionRequest::Forget,
        (11..13, _) => SessionRequest::Read,
        (13, Some(owner)) => SessionRequest::Renew(owner),
        (_, Some(owner)) => {
            let id = world.token();
            SessionRequest::Bind {
                owner,
                current_upstream_id: last.binding.map(|binding| binding.upstream_id),
                binding: binding(id),
            }
        }
    };
    (session, request)
}

fn step(world: &mut World, parameters: &WalkParameters) {
    let (nodes, node) = (world.nodes.len(), world.rng.random_range(0..world.nodes.len()));
    let message = (!world.in_flight.is_empty()).then(|| world.rng.random_range(0..world.in_flight.len()));
    let mut pick = world.rng.random_range(0..1_000);
    let weights = [
        parameters.message_loss,
        parameters.duplication,
        parameters.partitions,
        parameters.crashes,
        parameters.disk_losses,
        parameters.time_steps,
        parameters.session_calls,
        250,
    ];
    let kind = weights.iter().position(|weight| {
        let here = pick < *weight;
        pick = pick.wrapping_sub(*weight);
        here
    });
    match (kind, message) {
        (Some(0), Some(message)) => drop(world.in_flight.swap_remove(message)),
        (Some(1), Some(message)) => {
            let (to, incarnation, message) = {
                let envelope = &world.in_flight[message];
                (envelope.to, envelope.incarnation, envelope.message.clone())
            };
            world.in_flight.push(cluster::InFlight { to, incarnation, message });
        }
        (Some(2), _) => {
            world.cut_links.clear();
            if world.rng.random() {
                (0..nodes).filter(|other| *other != node).for_each(|other| {
                    world.cut_links.insert((at(node), other));
                    world.cut_links.insert((at(other), node));
                });
            }
        }
        (Some(3), _) if world.is_up(node) && world.rng.random_range(0..3) > 0 => {
            world.crash(node);
            if world.rng.random() {
                world.start(node, false);
            }
        }
        (Some(3), _) => (0..nodes)
            .filter(|node| !world.is_up(*node))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|node| world.start(node, false)),
        (Some(4), _) if world.may_wipe(node) => {
            world.wipe(node);
            world.start(node, false);
        }
        (Some(5), _) => {
            world.now += [1, 20, 60, 130, 500][world.rng.random_range(0..5)] * MS;
            (0..nodes).for_each(|node| world.tick(node));
        }
        (Some(6), _) if world.is_up(node) => {
            let (session, request) = request(world, parameters);
            world.request(node, CoreRequest::Session(session, request));
        }
        (Some(7), _) => {
            let count = if parameters.slow_disks { world.rng.random_range(0..4) } else { usize::MAX };
            (0..nodes).for_each(|node| world.sync(node, count));
        }
        _ => {
            for _ in 0..16 {
                if !world.in_flight.is_empty() {
                    let message = world.rng.random_range(0..world.in_flight.len());
                    world.deliver(message);
                }
            }
        }
    }
    if world.in_flight.len() > 150 {
        let keep =
            |envelope: &cluster::InFlight| !matches!(envelope.message.body, MessageBody::Heartbeat { .. });
        world.in_flight.retain(keep);
        let more = world.in_flight.len().saturating_sub(150);
        world.in_flight.drain(..more);
    }
}

/// One walk. At its end all faults are over; every session is acquired at once and no older than it was.
fn walk(seed: u64, mutation: Option<Mutation>) -> World {
    let parameters = WalkParameters::of(seed);
    let mut world = World::new(seed, parameters.nodes, parameters.voters, parameters.voters, mutation);
    for _ in 0..parameters.steps {
        step(&mut world, &parameters);
        world.steps += 1;
        if world.violation.is_some() {
            return world;
        }
    }
    if mutation.is_some() {
        return world;
    }
    world.run_without_faults(6_000 * MS);
    let calls: Vec<u64> = (0..parameters.sessions)
        .map(|session| {
            world.request(seed as usize % parameters.nodes, CoreRequest::Session(session, take(proxy(7))))
        })
        .collect();
    world.run_without_faults(1_200 * MS);
    let all =
        calls.iter().all(|call| matches!(world.responses.get(call), Some(CoreResponse::Session(Some(_)))));
    let wrong = (!all).then_some("a session can't be acquired without faults");
    let wrong = wrong.or((world.unanswered_calls() > 0).then_some("a call was never answered"));
    if world.violation.is_none() {
        world.violation = wrong.map(str::to_string);
    }
    world
}

fn search(name: &str, mutation: Option<Mutation>, walks: u64) -> Option<String> {
    let began = Instant::now();
    let (mut steps, mut moves, mut memberships, mut wipes) = (0, 0, 0, 0);
    for seed in 0..walks {
        let world = walk(seed, mutation);
        steps += world.steps;
        moves += world.roaming_sessions.owner_changes;
        memberships += world.counts[cluster::MEMBERSHIPS];
        wipes += world.counts[cluster::DISKS_LOST];
        if let Some(violation) = world.violation {
            println!("{name}: walk {seed}, {steps} steps, {:?}: {violation}", began.elapsed());
            return Some(violation);
        }
    }
    let took = began.elapsed();
    println!(
        "{name}: {walks} walks, {steps} steps, {took:?}; moves {moves}, memberships {memberships}, disks lost {wipes}"
    );
    None
}

fn walks(otherwise: u64) -> u64 {
    std::env::var("WALKS").ok().and_then(|walks| walks.parse().ok()).unwrap_or(otherwise)
}

#[test]
fn no_walk_violates_an_invariant() {
    assert_eq!(search("no mutation", None, walks(150)), None);
}

#[test]
fn notices_each_mutation() {
    let rules = [
        (Mutation::TakeHalfForMajority, "half is taken for a majority"),
        (Mutation::GiveSessionTermToTwoTokens, "an acceptor gives one term to two tokens"),
        (Mutation::AcceptLowerSessionTerm, "an acceptor accepts a lower term"),
        (Mutation::FollowEarliestSessionChange, "a change follows the earliest reported one"),
        (Mutation::SendSessionRepliesBeforePersist, "an acceptor replies before its record is on disk"),
    ];
    let unseen: Vec<&str> = rules
        .into_iter()
        .filter(|(mutation, name)| search(name, Some(*mutation), walks(2_000)).is_none())
        .map(|(_, name)| name)
        .collect();
    assert!(unseen.is_empty(), "{unseen:?}");
}

fn committed(world: &World, call: u64) -> CommittedSession {
    match world.responses.get(&call) {
        Some(CoreResponse::Session(Some(committed))) => committed.clone(),
        other => panic!("{other:?}"),
    }
}

fn request_session(world: &mut World, node: usize, request: SessionRequest) -> CommittedSession {
    let call = world.request(node, CoreRequest::Session(7, request));
    world.deliver_everything();
    committed(world, call)
}

#[test]
fn a_session_moves_with_its_binding_and_only_its_owner_binds_it() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.run_without_faults(300 * MS);
    let first = request_session(&mut world, 0, take(proxy(1))).ownership.owner.expect("a owner");
    let tied = SessionRequest::Bind { owner: first, current_upstream_id: None, binding: binding(5) };
    request_session(&mut world, 1, tied.clone());
    let kept = request_session(&mut world, 2, take(proxy(1)));
    assert_eq!((kept.ownership.owner, kept.ownership.binding), (Some(first), Some(binding(5))));
    let moved = request_session(&mut world, 2, take(proxy(2)));
    assert_eq!(
        (moved.ownership.previous_owner, moved.ownership.binding.clone()),
        (Some(first), Some(binding(5)))
    );
    assert!(moved.ownership.owner.is_some_and(|owner| owner.since_term > first.since_term));
    // The previous owner can't bind the session any more, however late its request arrives.
    let late =
        SessionRequest::Bind { owner: first, current_upstream_id: Some("i-5".into()), binding: binding(6) };
    assert_eq!(request_session(&mut world, 0, late).ownership, moved.ownership);
    assert_eq!(request_session(&mut world, 1, SessionRequest::Forget).ownership.owner, None);
    let anew = request_session(&mut world, 1, take(proxy(1)));
    assert_eq!((anew.ownership.binding, anew.ownership.previous_owner), (None, moved.ownership.owner));
    assert!(anew.term > moved.term);
}

/// A session moves that two of three replicas stored, after one of these has lost its disk and with the other down.
fn after_a_lost_disk(mutation: Option<Mutation>) -> World {
    let mut world = World::new(2, 3, 3, 3, mutation);
    world.run_without_faults(300 * MS);
    world.crash(2);
    let first = request_session(&mut world, 0, take(proxy(1)));
    world.wipe(1);
    world.start(1, false);
    world.run_without_faults(4_000 * MS);
    assert!(world.nodes[1].core.as_ref().is_some_and(|core| core.is_voting()));
    world.crash(0);
    let call = world.request(1, CoreRequest::Session(7, take(proxy(2))));
    world.deliver_everything();
    if world.violation.is_none() {
        assert_eq!(committed(&world, call).ownership.previous_owner, first.ownership.owner);
    }
    world
}

#[test]
fn a_session_survives_a_lost_disk() {
    assert_eq!(after_a_lost_disk(None).violation, None);
    // The mutation makes a new member ignore the sessions of a snapshot.
    assert!(after_a_lost_disk(Some(Mutation::IgnoreSessionsOfSnapshot)).violation.is_some());
}

#[test]
fn idle_sessions_are_forgotten_and_the_oldest_evicted() {
    let mut world = World::with(2, 3, 3, 3, None, |world| world.config.max_leases = 20);
    world.run_without_faults(300 * MS);
    for session in 100..150 {
        world.request(0, CoreRequest::Session(session, take(proxy(3))));
        world.deliver_everything();
        world.now += MS;
    }
    let counts = world.nodes[0].core.as_ref().map(|core| core.session_counts()).expect("up");
    assert_eq!((counts.sessions, counts.evicted > 25, world.nodes[0].disk.sessions.len()), (20, true, 20));
    world.now += SESSION_IDLE;
    world.tick(0);
    world.deliver_everything();
    assert_eq!(world.nodes[0].core.as_ref().map(|core| core.session_counts().sessions), Some(0));
    assert!(world.nodes[0].disk.sessions.is_empty());
}
