//! Random walks under faults: messages are lost, duplicated and late, disks keep only part of what was written,
//! replicas crash, restart, lose their disks and leave. Each walk has a seed. Each mutation breaks one rule, to show
//! that the walks notice it. No test here depends on a clock.

mod cluster;

use std::time::Instant;

use cluster::{MESSAGE_KINDS, MS, World, response_of};
use ochreshed_consensus::core::Mutation;
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bytes for which a response counts in these walks.
const ANSWER: usize = 170;

/// How often a walk has each kind of fault and request, as weights.
#[derive(Default)]
struct WalkParameters {
    message_loss: u32,
    duplication: u32,
    partitions: u32,
    crashes: u32,
    disk_losses: u32,
    departures: u32,
    time_steps: u32,
    slow_disks: bool,
    lease_calls: u32,
    configuration_calls: u32,
    register_calls: u32,
    /// Two registers fill a message.
    large_registers: bool,
    steps: usize,
    keys: LeaseKey,
    nodes: usize,
    voters: usize,
    /// How many members there should be.
    target_members: usize,
    /// The walk begins when all replicas know each other; so many announce their departure, and some can't tell
    /// others of it.
    initial_departures: usize,
    isolate_informed: bool,
    mostly_lost: Option<&'static str>,
    /// Messages of this kind are delivered late.
    delayed: Option<&'static str>,
    /// A replica's cache holds so many responses; 0 stands for no bound.
    cached_responses: usize,
    /// More disks are lost than the cluster tolerates: it may stop for good, but never answer wrongly.
    beyond_tolerance: bool,
    /// Replicas roll back whenever it may be safe.
    eager_rollback: bool,
    /// So many zones may be lost.
    tolerated_zone_losses: usize,
}

impl WalkParameters {
    fn random(rng: &mut ChaCha8Rng) -> WalkParameters {
        fn one(rng: &mut ChaCha8Rng, of: &[u32]) -> u32 {
            of[rng.random_range(0..of.len())]
        }
        let (voters, target_members, nodes) =
            [(3, 3, 4), (3, 3, 4), (3, 3, 5), (5, 5, 6), (3, 5, 5), (1, 3, 4)][rng.random_range(0..6)];
        let beyond_tolerance = rng.random_range(0..8) == 0;
        WalkParameters {
            message_loss: one(rng, &[0, 5, 30]),
            duplication: one(rng, &[0, 5, 20]),
            partitions: one(rng, &[0, 0, 3, 10]),
            crashes: one(rng, &[0, 3, 10]),
            disk_losses: one(rng, &[0, 0, 4, 12]),
            departures: one(rng, &[0, 0, 3]),
            time_steps: one(rng, &[10, 20, 40]),
            slow_disks: rng.random(),
            lease_calls: one(rng, &[10, 40]),
            configuration_calls: one(rng, &[0, 5, 25]),
            steps: one(rng, &[150, 300, 500]) as usize,
            keys: one(rng, &[1, 2, 5]).into(),
            nodes,
            voters,
            target_members,
            initial_departures: one(rng, &[0, 0, 0, 1, 2]) as usize,
            isolate_informed: rng.random_range(0..4) == 0,
            mostly_lost: MESSAGE_KINDS.get(rng.random_range(0..2 * MESSAGE_KINDS.len())).copied(),
            delayed: MESSAGE_KINDS.get(rng.random_range(0..4 * MESSAGE_KINDS.len())).copied(),
            cached_responses: one(rng, &[0, 0, 1, 2]) as usize,
            beyond_tolerance,
            eager_rollback: beyond_tolerance && rng.random(),
            tolerated_zone_losses: one(rng, &[0, 1]) as usize,
            register_calls: one(rng, &[0, 10, 40]),
            large_registers: rng.random_range(0..4) == 0,
        }
    }

    /// Parameters that concentrate on one matter.
    fn focused_on(on: u64) -> Option<WalkParameters> {
        let plain = WalkParameters {
            message_loss: 5,
            time_steps: 20,
            steps: 600,
            keys: 1,
            nodes: 4,
            voters: 3,
            target_members: 3,
            ..WalkParameters::default()
        };
        match on {
            1 => Some(WalkParameters {
                lease_calls: 60,
                initial_departures: 1,
                partitions: 3,
                steps: 250,
                ..plain
            }),
            2 => Some(WalkParameters { lease_calls: 80, disk_losses: 10, ..plain }),
            3 => Some(WalkParameters { configuration_calls: 80, message_loss: 20, ..plain }),
            4 => Some(WalkParameters {
                initial_departures: 2,
                crashes: 2,
                partitions: 3,
                nodes: 5,
                steps: 200,
                isolate_informed: true,
                ..plain
            }),
            5 => Some(WalkParameters {
                lease_calls: 80,
                initial_departures: 1,
                partitions: 15,
                message_loss: 20,
                time_steps: 40,
                steps: 500,
                keys: 8,
                mostly_lost: Some("announcement"),
                ..plain
            }),
            6 => Some(WalkParameters { lease_calls: 60, crashes: 20, slow_disks: true, ..plain }),
            7 => Some(WalkParameters {
                lease_calls: 60,
                partitions: 15,
                message_loss: 30,
                time_steps: 60,
                keys: 3,
                ..plain
            }),
            8 => Some(WalkParameters {
                lease_calls: 80,
                disk_losses: 4,
                keys: 6,
                cached_responses: 1,
                ..plain
            }),
            9 | 10 => Some(WalkParameters {
                lease_calls: 60,
                initial_departures: 1,
                departures: 4,
                partitions: 5,
                crashes: u32::from(on == 9),
                time_steps: 30,
                keys: 10,
                beyond_tolerance: true,
                eager_rollback: true,
                delayed: (on == 10).then_some("rollback"),
                ..plain
            }),
            11 => Some(WalkParameters {
                register_calls: 60,
                time_steps: 30,
                disk_losses: 8,
                mostly_lost: Some("store"),
                large_registers: true,
                ..plain
            }),
            12 => Some(WalkParameters {
                register_calls: 80,
                partitions: 10,
                crashes: 4,
                time_steps: 40,
                nodes: 5,
                initial_departures: 1,
                ..plain
            }),
            14 => Some(WalkParameters {
                configuration_calls: 60,
                register_calls: 60,
                message_loss: 15,
                duplication: 10,
                time_steps: 40,
                crashes: 6,
                ..plain
            }),
            _ => None,
        }
    }
}

/// What a client of a lease has under way.
struct LeaseHolder {
    key: LeaseKey,
    token: LeaseToken,
    calls: Vec<u64>,
    over: bool,
}

fn step(world: &mut World, parameters: &WalkParameters, holders: &mut Vec<LeaseHolder>) {
    let nodes = world.nodes.len();
    let node = world.rng.random_range(0..nodes);
    let weights = [
        300,
        parameters.message_loss,
        parameters.duplication,
        200,
        parameters.time_steps,
        parameters.crashes,
        parameters.disk_losses,
        parameters.departures,
        parameters.lease_calls,
        parameters.configuration_calls,
        parameters.partitions,
        parameters.register_calls,
    ];
    let mut pick = world.rng.random_range(0..weights.iter().sum());
    let kind = weights.iter().position(|weight| {
        let here = pick < *weight;
        pick = pick.wrapping_sub(*weight);
        here
    });
    let message = (!world.in_flight.is_empty()).then(|| world.rng.random_range(0..world.in_flight.len()));
    match (kind, message) {
        (Some(0), _) => {
            for _ in 0..4 {
                if !world.in_flight.is_empty() {
                    let message = world.rng.random_range(0..world.in_flight.len());
                    world.deliver(message);
                }
            }
        }
        (Some(1), Some(message)) => drop(world.in_flight.swap_remove(message)),
        (Some(2), Some(message)) => {
            let (to, incarnation, message) = {
                let envelope = &world.in_flight[message];
                (envelope.to, envelope.incarnation, envelope.message.clone())
            };
            world.in_flight.push(cluster::InFlight { to, incarnation, message });
        }
        (Some(3), _) => {
            if parameters.slow_disks {
                let count = world.rng.random_range(0..6);
                world.sync(node, count);
            } else {
                (0..nodes).for_each(|node| world.sync(node, usize::MAX));
            }
        }
        (Some(4), _) => {
            world.now += [1, 20, 60, 130, 400][world.rng.random_range(0..5)] * MS;
            match world.rng.random_range(0..3) {
                0 => world.tick(node),
                _ => (0..nodes).for_each(|node| world.tick(node)),
            }
        }
        (Some(5), _) => {
            if !world.is_up(node) {
                world.start(node, false);
            } else if world.rng.random_range(0..6) == 0 {
                (0..nodes).for_each(|node| world.crash(node));
            } else {
                world.crash(node);
                if world.rng.random_range(0..3) > 0 {
                    world.start(node, false);
                }
            }
        }
        (Some(6), _) if parameters.beyond_tolerance || world.may_wipe(node) => {
            world.wipe(node);
            world.start(node, false);
        }
        (Some(7), _) => world.leave(node),
        (Some(8), _) if world.is_up(node) => use_lease(world, parameters, node, holders),
        (Some(9), _) if world.is_up(node) => {
            let request = match world.rng.random_range(0..4) {
                0 => CoreRequest::ReplaceConfiguration(world.next_configuration()),
                1 => CoreRequest::ReplaceConfiguration(world.conflicting_configuration()),
                _ => CoreRequest::ReadConfiguration,
            };
            world.request(node, request);
        }
        (Some(10), _) => {
            let to = world.rng.random_range(0..nodes);
            match world.rng.random_range(0..4) {
                0 => world.cut_links.clear(),
                1 => (0..nodes).filter(|other| *other != node).for_each(|other| {
                    world.cut_links.insert((cluster::at(node), other));
                    world.cut_links.insert((cluster::at(other), node));
                }),
                _ if to != node => drop(world.cut_links.insert((cluster::at(node), to))),
                _ => {}
            }
        }
        (Some(11), _) if world.is_up(node) => {
            // One name is written all the time, the others now and then.
            let name = ["m/a", "m/a", "m/a", "m/b", "t/a", "members"][world.rng.random_range(0..6)];
            if world.rng.random_range(0..5) < 2 {
                world.request(node, CoreRequest::ReadRegister(name.into()));
            } else {
                // Two clients may send the same version with different content.
                let floor = world.register_read_floors.get(name).map_or(0, |floor| floor.version);
                let version = floor + world.rng.random_range(1..3);
                let named = world.register(name, version);
                world.request(node, CoreRequest::ReplaceRegister(named));
            }
        }
        _ => {}
    }
    // Heartbeats are many; of too many messages the oldest are lost.
    if world.in_flight.len() > 120 {
        let keep =
            |envelope: &cluster::InFlight| !matches!(envelope.message.body, MessageBody::Heartbeat { .. });
        world.in_flight.retain(keep);
        let more = world.in_flight.len().saturating_sub(120);
        world.in_flight.drain(..more);
    }
}

/// A new lease, one more attempt with the same token through another replica, or a report of its outcome.
fn use_lease(world: &mut World, parameters: &WalkParameters, node: usize, holders: &mut Vec<LeaseHolder>) {
    let chosen = (!holders.is_empty()).then(|| world.rng.random_range(0..holders.len()));
    match (world.rng.random_range(0..8), chosen) {
        (0..3, _) | (_, None) => {
            let (key, token) = (world.rng.random_range(0..parameters.keys), world.token());
            let left_ms = [100, 3000][world.rng.random_range(0..2)];
            let call = world.request(node, CoreRequest::AcquireLease { key, token, time_left_ms: left_ms });
            holders.push(LeaseHolder { key, token, calls: vec![call], over: false });
        }
        (3, Some(one)) if !holders[one].over => {
            let (key, token) = (holders[one].key, holders[one].token);
            let call = world.request(node, CoreRequest::AcquireLease { key, token, time_left_ms: 1000 });
            holders[one].calls.push(call);
        }
        (4..6, Some(one)) => {
            let one = &mut holders[one];
            let (key, token) = (one.key, one.token);
            let granted =
                one.calls.iter().any(|call| world.responses.get(call) == Some(&CoreResponse::LeaseGranted));
            let outcome = match world.rng.random_range(0..3) {
                0 if granted && !world.released.contains(&token) => {
                    Some(LeaseOutcome::Completed(response_of(token)))
                }
                1 if granted && !world.released.contains(&token) => Some(LeaseOutcome::Indeterminate),
                _ => return,
            };
            one.over = true;
            world.request(node, CoreRequest::CompleteLease { key, token, outcome });
        }
        (_, Some(one)) => {
            let one = &mut holders[one];
            let (key, token) = (one.key, one.token);
            // A release is sent once or twice, and never after the request ran.
            if !one.over || world.released.contains(&token) {
                one.over = true;
                world.request(node, CoreRequest::CompleteLease { key, token, outcome: None });
            }
        }
    }
}

/// One walk. At its end all faults are over, and nothing may have been lost.
fn walk(seed: u64, mutation: Option<Mutation>, on: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let parameters = WalkParameters::focused_on(on).unwrap_or_else(|| WalkParameters::random(&mut rng));
    let mut world = World::with(
        seed,
        parameters.nodes,
        parameters.voters,
        parameters.target_members,
        mutation,
        |world| {
            (world.eager_rollback, world.config.tolerated_zone_losses) =
                (parameters.eager_rollback, parameters.tolerated_zone_losses);
            if parameters.cached_responses > 0 {
                world.config.max_response_bytes = ANSWER * parameters.cached_responses;
            }
            world.register_padding = if parameters.large_registers { 300 << 10 } else { 0 };
        },
    );
    let mut holders = Vec::new();
    if parameters.initial_departures > 0 {
        world.run_without_faults(300 * MS);
        for _ in 0..parameters.initial_departures {
            let node = world.rng.random_range(0..3);
            world.leave(node);
        }
        for (from, to) in (0..16).map(|link| (link / 4, link % 4)).filter(|(from, to)| from != to) {
            if world.rng.random_range(0..4) == 0 {
                world.cut_links.insert((cluster::at(from), to));
            }
        }
    }
    (world.isolate_informed, world.mostly_lost, world.delayed) =
        (parameters.isolate_informed, parameters.mostly_lost, parameters.delayed);
    for _ in 0..parameters.steps {
        step(&mut world, &parameters, &mut holders);
        world.steps += 1;
        if world.violation.is_some() {
            return world;
        }
    }
    if mutation.is_some() {
        return world; // Breaking is what these are for; the end takes long.
    }
    // A replica that was about to stop does so and starts again.
    let nodes = world.nodes.len();
    (0..nodes).for_each(|node| world.crash(node));
    world.run_without_faults(6_000 * MS);
    let floor = world.read_floor;
    let read = world.request(seed as usize % nodes, CoreRequest::ReadConfiguration);
    let floors = world.register_read_floors.clone();
    let reads: Vec<u64> =
        floors.keys().map(|name| world.request(0, CoreRequest::ReadRegister(name.clone()))).collect();
    let granted: Vec<LeaseKey> = world.granted.keys().copied().collect();
    for key in granted {
        let token = world.token();
        world.request(key as usize % nodes, CoreRequest::AcquireLease { key, token, time_left_ms: 100 });
    }
    world.run_without_faults(1_700 * MS);
    if world.violation.is_none() && !parameters.beyond_tolerance {
        let voters =
            world.nodes.iter().filter(|node| node.core.as_ref().is_some_and(|core| core.is_voting())).count();
        let wrong = match world.responses.get(&read) {
            Some(CoreResponse::Register(value))
                if value.as_ref().map_or(Revision::NONE, |value| value.revision()) >= floor =>
            {
                None
            }
            Some(CoreResponse::Register(_)) => Some("a committed configuration is lost"),
            _ => Some("no read without faults"),
        };
        let response = reads.iter().zip(&floors).all(|(call, (_, floor))| match world.responses.get(call) {
            Some(CoreResponse::Register(value)) => {
                value.as_ref().map_or(Revision::NONE, |value| value.revision()) >= *floor
            }
            _ => false,
        });
        let wrong = wrong.or((!response).then_some("a register is lost or can't be read without faults"));
        // All replicas end up with the same registers, and know all of them as committed.
        let known = |node: &cluster::Node| {
            let core = node.core.as_ref()?;
            let registers = core.registers().filter(|named| named.stored.is_some());
            Some(
                registers
                    .map(|named| (named.name, named.stored == named.committed, named.stored))
                    .collect::<Vec<_>>(),
            )
        };
        let first = known(&world.nodes[0]).unwrap_or_default();
        let same = world.nodes.iter().all(|node| known(node).as_ref() == Some(&first));
        let wrong = wrong
            .or((!same).then_some("replicas store different registers without faults"))
            .or((!first.iter().all(|(_, safe, _)| *safe)).then_some("a stored register is never committed"))
            .or((world.unanswered_calls() > 0).then_some("a call was never answered"))
            .or((voters != parameters.target_members).then_some("fewer members vote in the end than should"));
        let membership = world.memberships.last_key_value().map(|(_, membership)| membership);
        let spread = parameters.tolerated_zone_losses == 0
            || membership.is_some_and(|membership| world.is_spread(membership));
        let wrong = wrong
            .or((!spread).then_some("two of three in one zone, though replicas in others are reachable"));
        world.violation = wrong.map(|wrong| wrong.to_string());
    }
    world
}

/// Runs walks until one violates an invariant; returns which one and how.
fn search(name: &str, mutation: Option<Mutation>, on: Option<u64>, walks: u64) -> Option<String> {
    let began = Instant::now();
    let (mut steps, mut seen) = (0, [0; 12]);
    for seed in 0..walks {
        let world = walk(seed, mutation, on.unwrap_or(seed % 15));
        steps += world.steps;
        seen.iter_mut().zip(world.counts).for_each(|(sum, more)| *sum += more);
        if let Some(violation) = world.violation {
            println!("{name}: walk {seed}, {steps} steps, {:?}: {violation}", began.elapsed());
            return Some(format!("walk {seed}: {violation}"));
        }
    }
    println!(
        "{name}: {walks} walks, {steps} steps, {:?}; granted {}, held {}, taken {}, read {}, memberships {}, unsure {}, \
         messages {}, disks lost {}, memberships undone {}, registers taken {}, read {}, \
         refused {}",
        began.elapsed(),
        seen[0],
        seen[1],
        seen[2],
        seen[3],
        seen[4],
        seen[5],
        seen[6],
        seen[7],
        seen[8],
        seen[9],
        seen[10],
        seen[11]
    );
    None
}

fn walks(otherwise: u64) -> u64 {
    std::env::var("WALKS").ok().and_then(|walks| walks.parse().ok()).unwrap_or(otherwise)
}

/// Whether walks of this kind notice that a rule is broken.
fn notices(mutation: Mutation, on: u64) -> bool {
    search(&format!("{mutation:?}"), Some(mutation), Some(on), walks(3000)).is_some()
}

#[test]
fn no_walk_violates_an_invariant() {
    assert_eq!(search("no mutation", None, None, walks(500)), None);
}

/// With `WALKS`, many more walks in which replicas roll back whenever it may be safe, whichever replicas are
/// reachable.
#[test]
fn no_walk_with_rollbacks_violates_an_invariant() {
    assert_eq!(search("rollbacks", None, Some(9), walks(100)), None);
    assert_eq!(search("rollbacks with delayed messages", None, Some(10), walks(100)), None);
}

#[test]
fn notices_count_stale_lease_votes() {
    assert!(notices(Mutation::CountStaleLeaseVotes, 1));
}

#[test]
fn notices_vote_before_caught_up() {
    assert!(notices(Mutation::VoteBeforeCaughtUp, 2));
}

#[test]
fn notices_send_lease_votes_before_persist() {
    assert!(notices(Mutation::SendLeaseVotesBeforePersist, 6));
}

#[test]
fn notices_take_half_for_majority() {
    assert!(notices(Mutation::TakeHalfForMajority, 0));
}

#[test]
fn notices_release_on_timeout() {
    assert!(notices(Mutation::ReleaseOnTimeout, 7));
}

#[test]
fn notices_keep_first_of_conflicting_leases() {
    assert!(notices(Mutation::KeepFirstOfConflictingLeases, 2));
}

#[test]
fn notices_read_uncommitted_value() {
    assert!(notices(Mutation::ReadUncommittedValue, 3));
}

#[test]
fn notices_ignore_accepted_membership() {
    assert!(notices(Mutation::IgnoreAcceptedMembership, 4));
}

#[test]
fn notices_serve_snapshot_in_any_epoch() {
    assert!(notices(Mutation::ServeSnapshotInAnyEpoch, 5));
}

#[test]
fn notices_acknowledge_uncommitted_write() {
    assert!(notices(Mutation::AcknowledgeUncommittedWrite, 3));
}

#[test]
fn notices_release_under_any_token() {
    assert!(notices(Mutation::ReleaseUnderAnyToken, 2));
}

#[test]
fn notices_evict_lease_with_response() {
    assert!(notices(Mutation::EvictLeaseWithResponse, 8));
}

#[test]
fn notices_roll_back_after_serving() {
    assert!(notices(Mutation::RollBackAfterServing, 9));
}

#[test]
fn notices_serve_after_rollback_promise() {
    assert!(notices(Mutation::ServeAfterRollbackPromise, 10));
}

#[test]
fn notices_ignore_registers_of_snapshot() {
    assert!(notices(Mutation::IgnoreRegistersOfSnapshot, 11));
}

#[test]
fn notices_count_acknowledgements_of_non_voters() {
    assert!(notices(Mutation::CountAcknowledgementsOfNonVoters, 12));
}

#[test]
fn notices_count_acknowledgement_for_all_registers() {
    assert!(notices(Mutation::CountAcknowledgementForAllRegisters, 12));
}

#[test]
fn notices_acknowledge_before_persist() {
    assert!(notices(Mutation::AcknowledgeBeforePersist, 12));
}

#[test]
fn notices_store_undecided_value() {
    assert!(notices(Mutation::StoreUndecidedValue, 14));
}

#[test]
fn notices_reject_decided_content() {
    assert!(notices(Mutation::RejectDecidedContent, 14));
}

#[test]
fn notices_ignore_register_promise() {
    assert!(notices(Mutation::IgnoreRegisterPromise, 14));
}

#[test]
fn notices_accept_stored_version() {
    assert!(notices(Mutation::AcceptStoredVersion, 14));
}

#[test]
fn notices_ignore_accepted_value() {
    assert!(notices(Mutation::IgnoreAcceptedValue, 14));
}

/// Prints the end of one walk.
#[test]
#[ignore = "to look closer at a walk that broke: SEED, MUTATION (a variant of `Mutation`) and ON say which"]
fn show_one_walk() {
    let given = |name: &str| std::env::var(name).ok().and_then(|given| given.parse::<u64>().ok());
    let seed = given("SEED").unwrap_or(0);
    let mutation = std::env::var("MUTATION").ok().map(|name| {
        let named = Mutation::ALL.into_iter().find(|mutation| format!("{mutation:?}") == name);
        named.expect("MUTATION names a variant")
    });
    let world = walk(seed, mutation, given("ON").unwrap_or(seed % 15));
    println!("{:?}", world.violation);
    for node in &world.nodes {
        let core = node.core.as_ref();
        println!(
            "{:?} voter {:?} {:?}",
            core.map(|core| core.replica()),
            core.map(|core| core.is_voting()),
            node.disk.membership_ballot
        );
    }
    println!("{:?}", world.memberships);
}
