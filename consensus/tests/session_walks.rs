//! Random walks in which sessions move between outbound proxies while messages are lost, duplicated and delayed, disks
//! keep only part of what was written, and replicas crash and are replaced. Each mutation breaks one rule, to show that
//! the walks detect it.

mod cluster;

use std::net::SocketAddr;
use std::time::Instant;

use cluster::{MS, SimulatedCluster, address_of};
use ochreshed_consensus::core::{Mutation, SESSION_IDLE};
use ochreshed_consensus::messages::*;
use rand::Rng;

fn proxy(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 7_000 + number as u16))
}

fn binding(id: u64) -> SessionBinding {
    SessionBinding { upstream_id: format!("i-{id}"), inbound_proxy: proxy(99) }
}

fn acquire_request(proxy: SocketAddr) -> SessionRequest {
    SessionRequest::Acquire { outbound_proxy: proxy, above_term: 0 }
}

/// How often each kind of fault and request occurs per 1,000 steps, and other parameters.
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
    fn for_seed(seed: u64) -> WalkParameters {
        if seed % 2 == 1 {
            // Concentrates on disks that are lost while a change is in progress.
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
        let pick = |choices: &[u32], divisor: u64| choices[(seed / divisor) as usize % choices.len()];
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

fn next_request(cluster: &mut SimulatedCluster, parameters: &WalkParameters) -> (SessionId, SessionRequest) {
    let session = cluster.rng.random_range(0..parameters.sessions);
    let requester = proxy(cluster.rng.random_range(0..3));
    let last = cluster
        .roaming_sessions
        .last
        .get(&session)
        .map(|committed| committed.ownership.clone())
        .unwrap_or_default();
    let request = match (cluster.rng.random_range(0..20), last.owner) {
        (0..10, _) | (_, None) => acquire_request(requester),
        (10, _) if cluster.rng.random_range(0..4) == 0 => SessionRequest::Forget,
        (11..13, _) => SessionRequest::Read,
        (13, Some(owner)) => SessionRequest::Renew(owner),
        (_, Some(owner)) => {
            let id = cluster.token();
            SessionRequest::Bind {
                owner,
                current_upstream_id: last.binding.map(|binding| binding.upstream_id),
                binding: binding(id),
            }
        }
    };
    (session, request)
}

fn step(cluster: &mut SimulatedCluster, parameters: &WalkParameters) {
    let (nodes, node) = (cluster.nodes.len(), cluster.rng.random_range(0..cluster.nodes.len()));
    let message =
        (!cluster.in_flight.is_empty()).then(|| cluster.rng.random_range(0..cluster.in_flight.len()));
    let mut draw = cluster.rng.random_range(0..1_000);
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
        let is_drawn = draw < *weight;
        draw = draw.wrapping_sub(*weight);
        is_drawn
    });
    match (kind, message) {
        (Some(0), Some(message)) => drop(cluster.in_flight.swap_remove(message)),
        (Some(1), Some(message)) => {
            let (to, incarnation, message) = {
                let envelope = &cluster.in_flight[message];
                (envelope.to, envelope.incarnation, envelope.message.clone())
            };
            cluster.in_flight.push(cluster::InFlight { to, incarnation, message });
        }
        (Some(2), _) => {
            cluster.cut_links.clear();
            if cluster.rng.random() {
                (0..nodes).filter(|other| *other != node).for_each(|other| {
                    cluster.cut_links.insert((address_of(node), other));
                    cluster.cut_links.insert((address_of(other), node));
                });
            }
        }
        (Some(3), _) if cluster.is_up(node) && cluster.rng.random_range(0..3) > 0 => {
            cluster.crash(node);
            if cluster.rng.random() {
                cluster.start(node, false);
            }
        }
        (Some(3), _) => (0..nodes)
            .filter(|node| !cluster.is_up(*node))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|node| cluster.start(node, false)),
        (Some(4), _) if cluster.may_wipe(node) => {
            cluster.wipe(node);
            cluster.start(node, false);
        }
        (Some(5), _) => {
            cluster.now += [1, 20, 60, 130, 500][cluster.rng.random_range(0..5)] * MS;
            (0..nodes).for_each(|node| cluster.tick(node));
        }
        (Some(6), _) if cluster.is_up(node) => {
            let (session, request) = next_request(cluster, parameters);
            cluster.request(node, CoreRequest::Session(session, request));
        }
        (Some(7), _) => {
            let count = if parameters.slow_disks { cluster.rng.random_range(0..4) } else { usize::MAX };
            (0..nodes).for_each(|node| cluster.sync(node, count));
        }
        _ => {
            for _ in 0..16 {
                if !cluster.in_flight.is_empty() {
                    let message = cluster.rng.random_range(0..cluster.in_flight.len());
                    cluster.deliver(message);
                }
            }
        }
    }
    if cluster.in_flight.len() > 150 {
        let is_not_heartbeat =
            |envelope: &cluster::InFlight| !matches!(envelope.message.body, MessageBody::Heartbeat { .. });
        cluster.in_flight.retain(is_not_heartbeat);
        let excess = cluster.in_flight.len().saturating_sub(150);
        cluster.in_flight.drain(..excess);
    }
}

/// Runs one walk. At its end all faults cease, and each session must be acquired with a term that has not gone back.
fn walk(seed: u64, mutation: Option<Mutation>) -> SimulatedCluster {
    let parameters = WalkParameters::for_seed(seed);
    let mut cluster =
        SimulatedCluster::new(seed, parameters.nodes, parameters.voters, parameters.voters, mutation);
    for _ in 0..parameters.steps {
        step(&mut cluster, &parameters);
        cluster.steps += 1;
        if cluster.violation.is_some() {
            return cluster;
        }
    }
    if mutation.is_some() {
        return cluster;
    }
    cluster.run_without_faults(6_000 * MS);
    let calls: Vec<u64> = (0..parameters.sessions)
        .map(|session| {
            cluster.request(
                seed as usize % parameters.nodes,
                CoreRequest::Session(session, acquire_request(proxy(7))),
            )
        })
        .collect();
    cluster.run_without_faults(1_200 * MS);
    let all_acquired =
        calls.iter().all(|call| matches!(cluster.responses.get(call), Some(CoreResponse::Session(Some(_)))));
    let violation = (!all_acquired).then_some("a session can't be acquired without faults");
    let violation = violation.or((cluster.unanswered_calls() > 0).then_some("a call was never answered"));
    if cluster.violation.is_none() {
        cluster.violation = violation.map(str::to_string);
    }
    cluster
}

fn search(name: &str, mutation: Option<Mutation>, walks: u64) -> Option<String> {
    let started_at = Instant::now();
    let (mut steps, mut owner_changes, mut memberships, mut disks_lost) = (0, 0, 0, 0);
    for seed in 0..walks {
        let cluster = walk(seed, mutation);
        steps += cluster.steps;
        owner_changes += cluster.roaming_sessions.owner_changes;
        memberships += cluster.counts[cluster::MEMBERSHIPS];
        disks_lost += cluster.counts[cluster::DISKS_LOST];
        if let Some(violation) = cluster.violation {
            println!("{name}: walk {seed}, {steps} steps, {:?}: {violation}", started_at.elapsed());
            return Some(violation);
        }
    }
    let elapsed = started_at.elapsed();
    println!(
        "{name}: {walks} walks, {steps} steps, {elapsed:?}; owner changes {owner_changes}, \
         memberships {memberships}, disks lost {disks_lost}"
    );
    None
}

fn walks(default_count: u64) -> u64 {
    std::env::var("WALKS").ok().and_then(|walks| walks.parse().ok()).unwrap_or(default_count)
}

#[test]
fn no_walk_violates_an_invariant() {
    assert_eq!(search("no mutation", None, walks(150)), None);
}

#[test]
fn each_mutation_is_detected() {
    let rules = [
        (Mutation::TakeHalfForMajority, "half of the members counts as a majority"),
        (Mutation::GiveSessionTermToTwoTokens, "an acceptor grants one term to two tokens"),
        (Mutation::AcceptLowerSessionTerm, "an acceptor accepts a lower term"),
        (Mutation::FollowEarliestSessionChange, "a change follows the earliest reported one"),
        (Mutation::SendSessionRepliesBeforePersist, "an acceptor replies before its record is on disk"),
    ];
    let undetected: Vec<&str> = rules
        .into_iter()
        .filter(|(mutation, name)| search(name, Some(*mutation), walks(2_000)).is_none())
        .map(|(_, name)| name)
        .collect();
    assert!(undetected.is_empty(), "{undetected:?}");
}

fn committed(cluster: &SimulatedCluster, call: u64) -> CommittedSession {
    match cluster.responses.get(&call) {
        Some(CoreResponse::Session(Some(committed))) => committed.clone(),
        other => panic!("{other:?}"),
    }
}

fn request_session(cluster: &mut SimulatedCluster, node: usize, request: SessionRequest) -> CommittedSession {
    let call = cluster.request(node, CoreRequest::Session(7, request));
    cluster.deliver_everything();
    committed(cluster, call)
}

#[test]
fn a_session_moves_with_its_binding_and_only_its_owner_binds_it() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    cluster.run_without_faults(300 * MS);
    let first =
        request_session(&mut cluster, 0, acquire_request(proxy(1))).ownership.owner.expect("an owner");
    let bind = SessionRequest::Bind { owner: first, current_upstream_id: None, binding: binding(5) };
    request_session(&mut cluster, 1, bind.clone());
    let unchanged = request_session(&mut cluster, 2, acquire_request(proxy(1)));
    assert_eq!((unchanged.ownership.owner, unchanged.ownership.binding), (Some(first), Some(binding(5))));
    let moved = request_session(&mut cluster, 2, acquire_request(proxy(2)));
    assert_eq!(
        (moved.ownership.previous_owner, moved.ownership.binding.clone()),
        (Some(first), Some(binding(5)))
    );
    assert!(moved.ownership.owner.is_some_and(|owner| owner.since_term > first.since_term));
    // The previous owner can't bind the session any more, however late its request arrives.
    let late_bind =
        SessionRequest::Bind { owner: first, current_upstream_id: Some("i-5".into()), binding: binding(6) };
    assert_eq!(request_session(&mut cluster, 0, late_bind).ownership, moved.ownership);
    assert_eq!(request_session(&mut cluster, 1, SessionRequest::Forget).ownership.owner, None);
    let reacquired = request_session(&mut cluster, 1, acquire_request(proxy(1)));
    assert_eq!(
        (reacquired.ownership.binding, reacquired.ownership.previous_owner),
        (None, moved.ownership.owner)
    );
    assert!(reacquired.term > moved.term);
}

/// Moves a session that two of three replicas stored, after one of the two lost its disk and while the other is down.
fn acquire_after_disk_loss(mutation: Option<Mutation>) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(2, 3, 3, 3, mutation);
    cluster.run_without_faults(300 * MS);
    cluster.crash(2);
    let first = request_session(&mut cluster, 0, acquire_request(proxy(1)));
    cluster.wipe(1);
    cluster.start(1, false);
    cluster.run_without_faults(4_000 * MS);
    assert!(cluster.nodes[1].core.as_ref().is_some_and(|core| core.is_voting()));
    cluster.crash(0);
    let call = cluster.request(1, CoreRequest::Session(7, acquire_request(proxy(2))));
    cluster.deliver_everything();
    if cluster.violation.is_none() {
        assert_eq!(committed(&cluster, call).ownership.previous_owner, first.ownership.owner);
    }
    cluster
}

#[test]
fn a_session_survives_a_lost_disk() {
    assert_eq!(acquire_after_disk_loss(None).violation, None);
    assert!(acquire_after_disk_loss(Some(Mutation::IgnoreSessionsOfSnapshot)).violation.is_some());
}

#[test]
fn idle_sessions_are_forgotten_and_the_oldest_evicted() {
    let mut cluster = SimulatedCluster::with(2, 3, 3, 3, None, |cluster| cluster.config.max_leases = 20);
    cluster.run_without_faults(300 * MS);
    for session in 100..150 {
        cluster.request(0, CoreRequest::Session(session, acquire_request(proxy(3))));
        cluster.deliver_everything();
        cluster.now += MS;
    }
    let counts = cluster.nodes[0].core.as_ref().map(|core| core.session_counts()).expect("up");
    assert_eq!((counts.sessions, counts.evicted > 25, cluster.nodes[0].disk.sessions.len()), (20, true, 20));
    cluster.now += SESSION_IDLE;
    cluster.tick(0);
    cluster.deliver_everything();
    assert_eq!(cluster.nodes[0].core.as_ref().map(|core| core.session_counts().sessions), Some(0));
    assert!(cluster.nodes[0].disk.sessions.is_empty());
}
