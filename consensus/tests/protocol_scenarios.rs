//! The protocol, one scenario a test.

mod cluster;

use std::sync::Arc;

use cluster::{MS, World, at, response_of};
use ochreshed_consensus::core::{Core, LeaseCounts, Mutation, ResponseCacheUsage};
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn acquire_lease(world: &mut World, node: usize, key: LeaseKey, token: LeaseToken) -> u64 {
    world.request(node, CoreRequest::AcquireLease { key, token, time_left_ms: 1000 })
}

fn complete_lease(
    world: &mut World,
    node: usize,
    key: LeaseKey,
    token: LeaseToken,
    outcome: Option<LeaseOutcome>,
) {
    world.request(node, CoreRequest::CompleteLease { key, token, outcome });
}

fn counts(pending: usize, indeterminate: usize, completed: usize) -> LeaseCounts {
    LeaseCounts { pending, indeterminate, completed }
}

fn core(world: &World, node: usize) -> &Core {
    world.nodes[node].core.as_ref().unwrap()
}

#[test]
fn a_lease_is_granted_in_one_round() {
    let mut world = World::new(1, 3, 3, 3, None);
    let call = acquire_lease(&mut world, 0, 7, 21);
    assert_eq!(world.responses.get(&call), None);
    world.deliver_everything();
    assert_eq!(world.responses[&call], CoreResponse::LeaseGranted);
    // Only as many as a majority needs were asked.
    let holders: Vec<usize> = (0..3).filter(|node| core(&world, *node).lease(7).is_some()).collect();
    assert_eq!(holders.len(), 2);
    for node in holders {
        assert_eq!(core(&world, node).lease(7).unwrap().token, 21);
        assert_eq!(core(&world, node).lease_counts(), counts(1, 0, 0));
        assert!(world.nodes[node].disk.leases.contains_key(&7));
    }
}

#[test]
fn members_not_asked_at_first_are_asked_when_another_is_silent() {
    for silent in 1..3 {
        let mut world = World::new(1, 3, 3, 3, None);
        let call = acquire_lease(&mut world, 0, 7, 21);
        let end = world.now + 200 * MS;
        while world.now < end {
            world.now += 10 * MS;
            (0..3).filter(|node| *node != silent).for_each(|node| world.tick(node));
            (0..3).for_each(|node| world.sync(node, usize::MAX));
            while !world.in_flight.is_empty() {
                world.in_flight.retain(|envelope| envelope.to != silent);
                (0..world.in_flight.len()).for_each(|_| world.deliver(0));
                (0..3).for_each(|node| world.sync(node, usize::MAX));
            }
        }
        assert_eq!(world.responses.get(&call), Some(&CoreResponse::LeaseGranted), "silent: {silent}");
    }
}

#[test]
fn no_lease_is_granted_before_it_is_on_disk() {
    let mut world = World::new(1, 3, 3, 3, None);
    let call = acquire_lease(&mut world, 0, 7, 21);
    while !world.in_flight.is_empty() {
        world.deliver(0);
    }
    assert_eq!(world.responses.get(&call), None);
    world.sync(1, usize::MAX);
    while !world.in_flight.is_empty() {
        world.deliver(0);
    }
    assert_eq!(world.responses.get(&call), None);
    world.sync(0, usize::MAX);
    while !world.in_flight.is_empty() {
        world.deliver(0);
    }
    assert_eq!(world.responses[&call], CoreResponse::LeaseGranted);
}

#[test]
fn a_repeated_request_waits_and_gets_the_stored_response() {
    let mut world = World::new(1, 4, 3, 3, None);
    acquire_lease(&mut world, 0, 7, 21);
    world.deliver_everything();
    // Through another member, and through a replica that is none.
    let calls = [acquire_lease(&mut world, 1, 7, 22), acquire_lease(&mut world, 3, 7, 23)];
    world.run_without_faults(200 * MS);
    assert!(calls.iter().all(|call| !world.responses.contains_key(call)));
    complete_lease(&mut world, 2, 7, 21, Some(LeaseOutcome::Completed(response_of(21))));
    world.run_without_faults(200 * MS);
    for call in calls {
        assert_eq!(world.responses[&call], CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(21))));
    }
    // A replica that does not keep the response itself finds it at another.
    let late = acquire_lease(&mut world, 0, 7, 24);
    world.run_without_faults(50 * MS);
    assert_eq!(world.responses[&late], CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(21))));
    assert_eq!(core(&world, 0).lease_counts(), counts(0, 0, 1));
}

/// Guards against responses that take all memory, and against requests that run again because theirs was evicted.
#[test]
fn a_full_response_cache_evicts_the_oldest_responses_and_keeps_their_leases() {
    let mut world = World::with(1, 1, 1, 1, None, |world| world.config.max_response_bytes = 400);
    for key in 1..=3 {
        acquire_lease(&mut world, 0, key, key as LeaseToken);
        world.deliver_everything();
        complete_lease(
            &mut world,
            0,
            key,
            key as LeaseToken,
            Some(LeaseOutcome::Completed(response_of(key as LeaseToken))),
        );
        world.run_without_faults(100 * MS);
    }
    assert_eq!(
        core(&world, 0).response_cache_usage(),
        ResponseCacheUsage { bytes: 336, max_bytes: 400, evicted: 1 }
    );
    assert_eq!(core(&world, 0).lease_counts(), counts(0, 1, 2));
    let calls = [1, 2, 3].map(|key| acquire_lease(&mut world, 0, key, 20 + key as LeaseToken));
    world.run_without_faults(100 * MS);
    assert_eq!(world.responses[&calls[0]], CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate));
    assert_eq!(world.responses[&calls[2]], CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(3))));
    // So it is on disk, and in the next incarnation, whose bound is lower.
    world.crash(0);
    world.config.max_response_bytes = 200;
    world.start(0, false);
    world.deliver_everything();
    assert_eq!(
        core(&world, 0).response_cache_usage(),
        ResponseCacheUsage { bytes: 168, max_bytes: 200, evicted: 1 }
    );
    assert_eq!(world.nodes[0].disk.leases[&2].outcome, LeaseOutcome::Indeterminate);
    // A response that exceeds the cache by itself.
    let long = StoredResponse { status: 200, headers: Vec::new(), body: vec![0; 300] };
    acquire_lease(&mut world, 0, 9, 9);
    world.deliver_everything();
    complete_lease(&mut world, 0, 9, 9, Some(LeaseOutcome::Completed(Arc::new(long))));
    world.run_without_faults(100 * MS);
    assert_eq!(core(&world, 0).lease(9).unwrap().outcome, LeaseOutcome::Indeterminate);
    assert_eq!(core(&world, 0).response_cache_usage().bytes, 168);
}

#[test]
fn waiting_for_a_pending_lease_ends() {
    let mut world = World::new(1, 3, 3, 3, None);
    acquire_lease(&mut world, 0, 7, 21);
    world.deliver_everything();
    let call = acquire_lease(&mut world, 1, 7, 22);
    // A third of the 1,000 ms that its request has left.
    world.run_without_faults(300 * MS);
    assert_eq!(world.responses.get(&call), None);
    world.run_without_faults(50 * MS);
    assert_eq!(world.responses[&call], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

#[test]
fn a_released_lease_goes_to_the_call_that_waits() {
    let mut world = World::new(1, 3, 3, 3, None);
    acquire_lease(&mut world, 0, 7, 21);
    world.deliver_everything();
    let call = acquire_lease(&mut world, 1, 7, 22);
    world.deliver_everything();
    complete_lease(&mut world, 2, 7, 21, None);
    world.run_without_faults(200 * MS);
    assert_eq!(world.responses[&call], CoreResponse::LeaseGranted);
    // A released token never gets the lease again.
    let again = acquire_lease(&mut world, 0, 7, 21);
    world.run_without_faults(600 * MS);
    assert_ne!(world.responses[&again], CoreResponse::LeaseGranted);
}

#[test]
fn leases_need_a_majority() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.crash(1);
    world.crash(2);
    let call = acquire_lease(&mut world, 0, 7, 21);
    for _ in 0..30 {
        world.now += 50 * MS;
        world.tick(0);
        world.deliver_everything();
    }
    assert_eq!(world.responses[&call], CoreResponse::Unavailable);
    assert!(!core(&world, 0).has_quorum(world.now));
    // The replica's own vote stays, because the lease may have been granted through another one.
    assert_eq!(core(&world, 0).lease(7).unwrap().token, 21);
    world.run_without_faults(1000 * MS);
    assert!(core(&world, 0).has_quorum(world.now));
    let call = acquire_lease(&mut world, 2, 7, 21);
    world.deliver_everything();
    assert_eq!(world.responses[&call], CoreResponse::LeaseGranted);
}

#[test]
fn a_silent_replica_receives_the_lease_updates_that_it_missed() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.run_without_faults(300 * MS);
    world.crash(2);
    acquire_lease(&mut world, 0, 7, 21);
    acquire_lease(&mut world, 0, 8, 22);
    for _ in 0..20 {
        world.now += 50 * MS;
        world.tick(0);
        world.tick(1);
        world.deliver_everything();
    }
    complete_lease(&mut world, 1, 8, 22, Some(LeaseOutcome::Indeterminate));
    world.deliver_everything();
    assert_eq!(core(&world, 1).lease_counts(), counts(1, 1, 0));
    world.run_without_faults(600 * MS);
    assert_eq!(core(&world, 2).lease_counts(), counts(1, 1, 0));
}

#[test]
fn leases_expire() {
    let mut world = World::new(1, 3, 3, 3, None);
    acquire_lease(&mut world, 0, 7, 21);
    world.deliver_everything();
    world.now += world.config.lease_ttl;
    world.run_without_faults(400 * MS);
    for node in 0..3 {
        assert_eq!(core(&world, node).lease_counts(), counts(0, 0, 0));
        assert!(world.nodes[node].disk.leases.is_empty());
    }
}

#[test]
fn a_configuration_is_accepted_read_and_committed_everywhere() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.run_without_faults(300 * MS);
    let none = world.request(1, CoreRequest::ReadConfiguration);
    world.deliver_everything();
    assert_eq!(world.responses[&none], CoreResponse::Register(None));
    let value = world.next_configuration();
    let call = world.request(0, CoreRequest::ReplaceConfiguration(value.clone()));
    world.deliver_everything();
    assert_eq!(world.responses[&call], CoreResponse::Accepted);
    let read = world.request(3, CoreRequest::ReadConfiguration);
    world.deliver_everything();
    assert_eq!(world.responses[&read], CoreResponse::Register(Some(value.clone())));
    world.run_without_faults(600 * MS);
    for node in 0..4 {
        assert_eq!(core(&world, node).committed_configuration(), Some(&value));
    }
    // The same again and an older one are there already.
    for value in [value, RegisterValue::new(0, vec![]).into()] {
        let call = world.request(2, CoreRequest::ReplaceConfiguration(value));
        assert_eq!(world.responses[&call], CoreResponse::Accepted);
    }
}

#[test]
fn many_configurations_at_once() {
    let mut world = World::new(1, 3, 3, 3, None);
    let calls: Vec<u64> = (0..200)
        .map(|n| {
            let value = world.next_configuration();
            world.request(n % 3, CoreRequest::ReplaceConfiguration(value))
        })
        .collect();
    world.run_without_faults(800 * MS);
    assert!(calls.iter().all(|call| world.responses[call] == CoreResponse::Accepted));
    let newest = core(&world, 0).committed_configuration().unwrap().revision();
    assert!((0..3).all(|node| core(&world, node).committed_configuration().unwrap().revision() == newest));
    assert_eq!(newest.version, world.next_version);
}

#[test]
fn all_replicas_crash_and_restart() {
    let mut world = World::new(1, 3, 3, 3, None);
    let value = world.next_configuration();
    world.request(0, CoreRequest::ReplaceConfiguration(value.clone()));
    acquire_lease(&mut world, 0, 7, 21);
    acquire_lease(&mut world, 1, 8, 22);
    complete_lease(&mut world, 1, 8, 22, Some(LeaseOutcome::Completed(response_of(22))));
    world.deliver_everything();
    for node in 0..3 {
        world.crash(node);
    }
    world.in_flight.clear();
    world.run_without_faults(500 * MS);
    assert_eq!(core(&world, 2).committed_configuration(), Some(&value));
    let calls = [acquire_lease(&mut world, 2, 7, 31), acquire_lease(&mut world, 2, 8, 32)];
    world.run_without_faults(600 * MS);
    assert_eq!(world.responses[&calls[0]], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
    assert_eq!(world.responses[&calls[1]], CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(22))));
    assert_eq!(core(&world, 2).membership().epoch, 1);
}

/// Two operators send different content under one version through two replicas, then again through any of them, also
/// after all were restarted: one is in force, the other is rejected every time, and nothing else changes.
#[test]
fn of_two_contents_under_one_version_one_is_accepted_wherever_it_is_sent() {
    for seed in 0..20 {
        let mut world = World::new(seed, 4, 3, 3, None);
        world.run_without_faults(300 * MS);
        for version in [3, 4, 9] {
            let values = [b"one", b"two"].map(|text| Arc::new(RegisterValue::new(version, text.to_vec())));
            let first = [0, 1].map(|n| {
                let node = (seed as usize + n) % 4;
                world.request(node, CoreRequest::ReplaceConfiguration(values[n].clone()))
            });
            world.run_without_faults(800 * MS);
            let won = usize::from(world.responses[&first[1]] == CoreResponse::Accepted);
            assert_eq!(world.responses[&first[won]], CoreResponse::Accepted, "r{version}");
            assert_eq!(world.responses[&first[1 - won]], CoreResponse::Conflict, "r{version}");
            for round in 0..2 {
                for node in 0..4 {
                    let calls = [0, 1]
                        .map(|n| world.request(node, CoreRequest::ReplaceConfiguration(values[n].clone())));
                    world.run_without_faults(400 * MS);
                    assert_eq!(world.responses[&calls[won]], CoreResponse::Accepted, "r{version} at {node}");
                    assert_eq!(
                        world.responses[&calls[1 - won]],
                        CoreResponse::Conflict,
                        "r{version} at {node}"
                    );
                    let read = world.request(node, CoreRequest::ReadConfiguration);
                    world.run_without_faults(200 * MS);
                    assert_eq!(world.responses[&read], CoreResponse::Register(Some(values[won].clone())));
                }
                if round == 0 {
                    (0..4).for_each(|node| world.crash(node));
                    world.in_flight.clear();
                    world.run_without_faults(600 * MS);
                }
            }
        }
        assert_eq!(world.violation, None);
    }
}

/// Guards against writes that wait for the one disk that hangs, where those of the others are enough.
#[test]
fn a_write_commits_though_the_disk_of_its_replica_hangs() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.run_without_faults(300 * MS);
    let value = world.next_configuration();
    let order = world.request(0, CoreRequest::ReplaceConfiguration(value));
    for _ in 0..20 {
        [1, 2].into_iter().for_each(|node| world.sync(node, usize::MAX));
        (0..world.in_flight.len()).for_each(|_| world.deliver(0));
    }
    assert_eq!(world.responses.get(&order), Some(&CoreResponse::Accepted));
    assert!(world.nodes[0].disk.configuration.is_none() && world.violation.is_none());
}

/// Content was decided and hardly any replica stores it; one that accepted it loses its disk and comes back. Returns
/// the answer to other content under that version.
fn second_content_after_a_lost_disk(mutation: Option<Mutation>) -> (Option<CoreResponse>, Option<String>) {
    let mut world = World::new(1, 4, 3, 3, mutation);
    world.run_without_faults(300 * MS);
    let first = Arc::new(RegisterValue::new(5, b"one".to_vec()));
    world.request(3, CoreRequest::ReplaceConfiguration(first));
    // The spare proposes; member 2 hears nothing of it, and nobody hears from the spare once it is decided.
    while core(&world, 3).stored_configuration().is_none() {
        (0..4).for_each(|node| world.sync(node, usize::MAX));
        world.in_flight.retain(|envelope| envelope.to != 2 || envelope.message.from.address != at(3));
        assert!(!world.in_flight.is_empty(), "the ballot ends");
        world.deliver(0);
    }
    world.in_flight.clear();
    world.crash(3);
    world.wipe(1);
    world.start(1, false);
    let others = [0, 1, 2];
    let go = |world: &mut World, ms: u64, nodes: &[usize]| {
        let end = world.now + ms * MS;
        while world.now < end {
            world.now += 50 * MS;
            nodes.iter().for_each(|node| world.tick(*node));
            world.deliver_everything();
        }
    };
    go(&mut world, 3_000, &others);
    assert!(core(&world, 1).is_voting() && core(&world, 1).membership().epoch == 2);
    // The other one that accepted it is away.
    world.crash(0);
    let second =
        world.request(2, CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(5, b"two".to_vec()))));
    go(&mut world, 1_000, &[1, 2]);
    (world.responses.get(&second).cloned(), world.violation)
}

#[test]
fn a_snapshot_carries_what_was_accepted_for_a_version() {
    assert_eq!(second_content_after_a_lost_disk(None), (Some(CoreResponse::Conflict), None));
    let (_, violation) = second_content_after_a_lost_disk(Some(Mutation::OmitAcceptedValuesFromSnapshot));
    assert_eq!(
        violation.as_deref(),
        Some(" r5: two contents are stored"),
        "a mutation that omits accepted values"
    );
}

fn keep(world: &mut World, node: usize, name: &str, version: u64) -> (u64, NamedRegister) {
    let named = world.register(name, version);
    (world.request(node, CoreRequest::ReplaceRegister(named.clone())), named)
}

/// Guards against a new member that votes before it holds everything, where its snapshot takes many messages.
#[test]
fn registers_replicate_by_themselves_and_a_wiped_replica_receives_all() {
    let mut world = World::with(1, 4, 3, 3, None, |world| world.register_padding = 100 << 10);
    let kept: Vec<_> = (0..40).map(|n| keep(&mut world, n % 3, &format!("m/{n}"), 7)).collect();
    world.run_without_faults(600 * MS);
    assert!(kept.iter().all(|(call, _)| world.responses[call] == CoreResponse::Accepted));
    // A replica that is no member stores the registers as well, and knows them as committed.
    let holds = |world: &World, node: usize| {
        let all = core(world, node)
            .registers()
            .filter(|named| named.stored.is_some() && named.stored == named.committed);
        all.map(|named| (named.name, named.stored.expect("stored").revision())).collect::<Vec<_>>()
    };
    let all = holds(&world, 0);
    assert_eq!(all.len(), 40);
    assert!((1..4).all(|node| holds(&world, node) == all));
    world.wipe(2);
    world.run_without_faults(1_500 * MS);
    assert!(core(&world, 2).is_voting() && holds(&world, 2) == all);
    // The other way round: those it was told of are there when one of those that told is lost.
    world.wipe(1);
    world.run_without_faults(1_500 * MS);
    let (call, last) = keep(&mut world, 2, "m/3", 8);
    world.run_without_faults(400 * MS);
    let read = world.request(0, CoreRequest::ReadRegister("m/3".into()));
    world.run_without_faults(100 * MS);
    assert_eq!(
        (&world.responses[&call], &world.responses[&read]),
        (&CoreResponse::Accepted, &CoreResponse::Register(Some(last.value)))
    );
    // All end at once and come back: it is known again what is safe.
    let all = holds(&world, 0);
    (0..4).for_each(|node| world.crash(node));
    world.in_flight.clear();
    world.run_without_faults(600 * MS);
    assert!(all.len() == 40 && (0..4).all(|node| holds(&world, node) == all));
}

/// Guards against a change that waits for heartbeats where it is written through a replica without a vote: time
/// stands still here.
#[test]
fn a_write_through_a_replica_without_a_vote_is_known_as_committed_at_once() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.run_without_faults(600 * MS);
    assert!(!core(&world, 3).is_voting());
    for version in 1..4 {
        let (call, named) = keep(&mut world, 3, "m/a", version);
        world.deliver_everything();
        assert_eq!(world.responses[&call], CoreResponse::Accepted);
        for node in 0..4 {
            let safe =
                core(&world, node).registers().find_map(|of| of.committed).map(|value| value.revision());
            assert_eq!(safe, Some(named.value.revision()), "{node}");
        }
    }
}

/// Guards against documents that fill the replicas' memory.
#[test]
fn registers_stay_within_their_limits() {
    use ochreshed_consensus::core::named_registers::*;
    let mut world = World::new(1, 1, 1, 1, None);
    let full = |world: &mut World, name: &str, bytes: usize| {
        world.next_version += 1;
        let value = RegisterValue { version: world.next_version, digest: 1, bytes: vec![0; bytes] };
        let named = NamedRegister { name: name.into(), value: Arc::new(value) };
        let call = world.request(0, CoreRequest::ReplaceRegister(named));
        world.deliver_everything();
        world.responses.get(&call).expect(name) == &CoreResponse::CapacityExceeded
    };
    assert!(full(&mut world, "m/long", MAX_VALUE_BYTES + 1));
    assert!(full(&mut world, "", 1) && full(&mut world, &"m".repeat(MAX_NAME_BYTES + 1), 1));
    for n in 0..MAX_TOTAL_BYTES / MAX_VALUE_BYTES {
        assert!(!full(&mut world, &format!("m/{n}"), MAX_VALUE_BYTES));
    }
    assert!(full(&mut world, "m/one-more", 1) && !full(&mut world, "m/3", 1), "in the place of what was");
    world.crash(0);
    for n in world.nodes[0].disk.registers.len()..MAX_NAMES {
        let named = world.register(&format!("t/{n}"), 1);
        world.written_registers.insert((named.name.clone(), named.value.revision()));
        world.nodes[0].disk.registers.insert(named.name, named.value);
    }
    world.start(0, false);
    assert!(full(&mut world, "one-more", 1));
}

/// Guards against messages and records about registers where nobody wrote one.
#[test]
fn without_registers_no_message_mentions_them() {
    let mut world = World::new(1, 4, 3, 3, None);
    let value = world.next_configuration();
    world.request(0, CoreRequest::ReplaceConfiguration(value));
    for _ in 0..60 {
        world.now += 50 * MS;
        (0..4).for_each(|node| world.tick(node));
        for envelope in &world.in_flight {
            assert!(!is_of_papers(&envelope.message.body), "{:?}", envelope.message.body);
        }
        world.deliver_everything();
    }
    assert!(world.nodes.iter().all(|node| node.disk.registers.is_empty()));
}

fn is_of_papers(body: &MessageBody) -> bool {
    match body {
        MessageBody::Heartbeat { registers_digest: registers, .. } => *registers != 0,
        MessageBody::StoreRegisters(_)
        | MessageBody::FetchRegisters { .. }
        | MessageBody::RegistersStored { .. }
        | MessageBody::ListRegisters(_) => true,
        _ => false,
    }
}

#[test]
fn a_wiped_replica_rejoins_and_votes() {
    let mut world = World::new(1, 3, 3, 3, None);
    let value = world.next_configuration();
    world.request(0, CoreRequest::ReplaceConfiguration(value.clone()));
    for key in 0..600 {
        acquire_lease(&mut world, 0, key, 1000 + key as u64);
    }
    world.run_without_faults(300 * MS);
    world.wipe(2);
    world.run_without_faults(1500 * MS);
    let back = core(&world, 2);
    assert!(back.is_voting());
    assert_eq!(back.membership().epoch, 2);
    assert_ne!(back.replica().disk_id, 0);
    assert_eq!(back.lease_counts(), counts(600, 0, 0));
    assert_eq!(back.committed_configuration(), Some(&value));
    assert!((0..3).all(|node| core(&world, node).membership() == back.membership()));
    // And the next one may be lost.
    world.wipe(0);
    world.run_without_faults(1500 * MS);
    assert_eq!(core(&world, 0).lease_counts(), counts(600, 0, 0));
    assert!(core(&world, 0).is_voting());
}

#[test]
fn a_spare_replaces_a_lost_member() {
    let mut world = World::new(1, 4, 3, 3, None);
    acquire_lease(&mut world, 3, 7, 21);
    world.run_without_faults(500 * MS);
    world.crash(1);
    for _ in 0..80 {
        world.now += 50 * MS;
        for node in [0, 2, 3] {
            world.tick(node);
        }
        world.deliver_everything();
    }
    let members: Vec<_> =
        core(&world, 0).membership().members.iter().map(|station| station.address).collect();
    assert_eq!(members, [at(0), at(2), at(3)]);
    assert!(core(&world, 3).is_voting());
    assert_eq!(core(&world, 3).lease_counts(), counts(1, 0, 0));
    // The one that was lost comes back and is told that it is out.
    world.run_without_faults(500 * MS);
    assert!(!core(&world, 1).is_voting());
    assert_eq!(core(&world, 1).membership(), core(&world, 0).membership());
    let call = acquire_lease(&mut world, 1, 7, 22);
    world.run_without_faults(600 * MS);
    assert_eq!(world.responses[&call], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

#[test]
fn two_of_five_lose_their_disks_while_all_are_down() {
    let mut world = World::new(1, 5, 5, 5, None);
    acquire_lease(&mut world, 3, 7, 21);
    world.run_without_faults(500 * MS);
    (0..5).for_each(|node| world.crash(node));
    world.wipe(1);
    world.wipe(3);
    world.run_without_faults(3_000 * MS);
    for node in 0..5 {
        assert!(core(&world, node).is_voting());
        assert_eq!(core(&world, node).lease_counts(), counts(1, 0, 0));
        assert_eq!(core(&world, node).membership().epoch, 3);
    }
}

#[test]
fn a_leaving_member_is_replaced_at_once() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.run_without_faults(500 * MS);
    let mut out = Vec::new();
    let now = world.now;
    world.nodes[0].core.as_mut().unwrap().announce_departure(now, &mut out);
    assert!(!core(&world, 0).may_stop());
    world.run_without_faults(900 * MS);
    assert!(core(&world, 0).may_stop());
    assert!(core(&world, 3).is_voting());
    // With nobody to take the place it may go as well.
    world.crash(0);
    let now = world.now + 3_000 * MS;
    let last = world.nodes[1].core.as_mut().unwrap();
    last.tick(now, &mut out);
    last.announce_departure(now, &mut out);
    assert!(last.may_stop());
}

#[test]
fn one_member_grows_to_three() {
    let mut world = World::new(1, 3, 1, 1, None);
    for node in 0..3 {
        world.crash(node);
    }
    world.config.target_members = 3;
    acquire_lease(&mut world, 0, 7, 21);
    world.run_without_faults(200 * MS);
    acquire_lease(&mut world, 0, 7, 21);
    world.run_without_faults(2_000 * MS);
    for node in 0..3 {
        assert_eq!(core(&world, node).membership().members.len(), 3);
        assert!(core(&world, node).is_voting());
        assert_eq!(core(&world, node).lease_counts(), counts(1, 0, 0));
        assert_eq!(core(&world, node).replica_addresses(), [at(0), at(1), at(2)]);
    }
}

#[test]
fn without_a_membership_nothing_is_promised() {
    let mut world = World::new(1, 1, 1, 1, None);
    world.wipe(0);
    world.run_without_faults(100 * MS);
    assert_eq!(core(&world, 0).membership().epoch, 0);
    assert!(!core(&world, 0).has_quorum(world.now));
    let calls = [acquire_lease(&mut world, 0, 7, 21), world.request(0, CoreRequest::ReadConfiguration)];
    let value = world.next_configuration();
    let replace = world.request(0, CoreRequest::ReplaceConfiguration(value));
    world.run_without_faults(500 * MS);
    assert!(world.responses.is_empty());
    world.run_without_faults(3_000 * MS);
    assert!(calls.iter().chain([&replace]).all(|call| world.responses[call] == CoreResponse::Unavailable));
    assert_eq!(core(&world, 0).committed_configuration(), None);
}

#[test]
fn limits_hold() {
    let mut world = World::new(1, 1, 1, 1, None);
    world.config.max_leases = 3;
    world.crash(0);
    world.run_without_faults(100 * MS);
    for key in 0..3 {
        acquire_lease(&mut world, 0, key, 50 + key as u64);
        world.deliver_everything();
    }
    let more = acquire_lease(&mut world, 0, 9, 60);
    assert_eq!(world.responses[&more], CoreResponse::Unavailable);
    let nobody = acquire_lease(&mut world, 0, 1, 0);
    assert_eq!(world.responses[&nobody], CoreResponse::Unavailable);
    complete_lease(&mut world, 0, 0, 50, None);
    let more = acquire_lease(&mut world, 0, 9, 60);
    world.deliver_everything();
    assert_eq!(world.responses[&more], CoreResponse::LeaseGranted);
}

#[test]
fn a_cancelled_request_is_not_answered() {
    let mut world = World::new(1, 3, 3, 3, None);
    let call = acquire_lease(&mut world, 0, 7, 21);
    world.nodes[0].core.as_mut().unwrap().cancel_request(call);
    world.run_without_faults(300 * MS);
    assert!(!world.responses.contains_key(&call));
    assert_eq!((0..3).filter(|node| core(&world, *node).lease_counts() == counts(1, 0, 0)).count(), 2);
}

/// Guards against a cluster that stops for good, and against one that forgets what was committed in the last epoch. A
/// spare is voted in and nobody learns of it; it loses its disk, and so does a replica that voted for it. That
/// decision binds and has one disk left of three: the two previous voters that are intact take back their places.
#[test]
fn an_epoch_whose_new_member_never_voted_is_rolled_back() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.run_without_faults(300 * MS);
    let run = |world: &mut World, time: u64, lost: fn(&cluster::InFlight) -> bool| {
        let end = world.now + time;
        while world.now < end {
            world.now += 50 * MS;
            (0..4).for_each(|node| world.tick(node));
            (0..4).for_each(|node| world.sync(node, usize::MAX));
            while !world.in_flight.is_empty() {
                world.in_flight.retain(|envelope| !lost(envelope));
                (0..world.in_flight.len()).for_each(|_| world.deliver(0));
                (0..4).for_each(|node| world.sync(node, usize::MAX));
            }
        }
    };
    // Granted by 1 and 2, and 0 never hears of it.
    let call = acquire_lease(&mut world, 1, 7, 21);
    run(&mut world, 200 * MS, |envelope| envelope.to == 0);
    assert_eq!(world.responses[&call], CoreResponse::LeaseGranted);
    world.leave(2);
    run(&mut world, 700 * MS, |envelope| {
        matches!(
            envelope.message.body,
            MessageBody::Accepted(_) | MessageBody::CompleteLeases(_) | MessageBody::RequestLeases(_)
        )
    });
    let accepted = |world: &World, node: usize| {
        world.nodes[node]
            .disk
            .membership_ballot
            .as_ref()
            .and_then(|ballots| ballots.accepted.clone())
            .map(|accepted| accepted.membership)
    };
    let next = accepted(&world, 1).expect("a vote");
    assert_eq!(
        (accepted(&world, 0), next.members[2].address, core(&world, 0).membership().epoch),
        (Some(next), at(3), 1)
    );
    for node in [3, 1] {
        world.wipe(node);
        world.start(node, false);
    }
    world.crash(2);
    world.run_without_faults(5_000 * MS);
    assert!(world.memberships.values().any(|membership| membership.rolled_back), "{:?}", world.memberships);
    assert_eq!((0..4).filter(|node| core(&world, *node).is_voting()).count(), 3);
    let again = acquire_lease(&mut world, 3, 7, 22);
    world.run_without_faults(1_000 * MS);
    assert_eq!(
        (&world.responses[&again], &world.violation),
        (&CoreResponse::LeaseHeld(LeaseOutcome::Pending), &None)
    );
}

/// Guards against a membership that loses its majority with one zone while spares run in other zones, and against
/// replacements without need.
#[test]
fn members_are_spread_over_zones() {
    let mut world = World::new(1, 4, 3, 3, None);
    let newest = |world: &World| {
        world.memberships.last_key_value().map(|(_, membership)| membership.clone()).expect("a membership")
    };
    world.run_without_faults(4_000 * MS);
    assert_eq!((newest(&world).epoch, world.is_spread(&newest(&world))), (1, false), "not asked for");
    world.config.tolerated_zone_losses = 1;
    (0..4).for_each(|node| world.crash(node));
    world.run_without_faults(4_000 * MS);
    let spread = newest(&world);
    assert_eq!((spread.epoch, world.is_spread(&spread)), (2, true));
    let kept = acquire_lease(&mut world, 3, 7, 21);
    world.run_without_faults(6_000 * MS);
    assert_eq!((&world.responses[&kept], newest(&world).epoch), (&CoreResponse::LeaseGranted, 2), "once");
    // The one in zone b is lost: the spare in a takes its place, and gives it back.
    world.crash(2);
    for _ in 0..80 {
        world.now += 50 * MS;
        [0, 1, 3].into_iter().for_each(|node| world.tick(node));
        world.deliver_everything();
    }
    assert_eq!((newest(&world).epoch, world.is_spread(&newest(&world))), (3, false));
    world.run_without_faults(4_000 * MS);
    assert_eq!((newest(&world).epoch, world.is_spread(&newest(&world))), (4, true));
    let again = acquire_lease(&mut world, 0, 7, 22);
    world.run_without_faults(1_000 * MS);
    assert_eq!(world.responses[&again], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

fn garbage_of_versions(rng: &mut ChaCha8Rng, value: Arc<RegisterValue>) -> RegisterPaxosMessage {
    let mut number = || [0, 1, 2, u64::MAX - 1, u64::MAX][rng.random_range(0..5)];
    let at = ProposalNumber { epoch: number(), ballot: Ballot { round: number(), proposer: number() } };
    let (version, digest) = (number(), Some(number()));
    let promised = ProposalNumber { epoch: number(), ballot: Ballot { round: number(), proposer: number() } };
    let name: RegisterName = ["m/a", "", &"x".repeat(100)][rng.random_range(0..3)].into();
    match rng.random_range(0..6) {
        0 => RegisterPaxosMessage::Prepare { register: name, version, number: at },
        1 => RegisterPaxosMessage::Promise {
            register: name,
            version,
            number: at,
            accepted: Some(AcceptedValue { number: promised, value }),
        },
        2 => RegisterPaxosMessage::Accept { register: name, number: at, value },
        3 => RegisterPaxosMessage::Accepted { register: name, version, number: at },
        4 => RegisterPaxosMessage::Preempted { register: name, version, number: at, promised },
        _ => RegisterPaxosMessage::Superseded { register: name, version, number: at, digest },
    }
}

/// Any message, with extreme numbers and with fitting ones.
fn arbitrary_message(rng: &mut ChaCha8Rng) -> Message {
    fn number(rng: &mut ChaCha8Rng) -> u64 {
        [0, 1, 2, 21, u64::MAX - 1, u64::MAX][rng.random_range(0..6)]
    }
    fn station(rng: &mut ChaCha8Rng) -> ReplicaId {
        ReplicaId { address: at(rng.random_range(0..5)), disk_id: number(rng) }
    }
    fn membership(rng: &mut ChaCha8Rng) -> Membership {
        let members = (0..rng.random_range(0..5)).map(|_| station(rng)).collect();
        let base = (0..rng.random_range(0..4)).map(|_| station(rng)).collect();
        Membership {
            epoch: number(rng),
            previous_members: base,
            rolled_back: rng.random(),
            ..Membership::initial(0, members)
        }
    }
    fn ballot(rng: &mut ChaCha8Rng) -> Ballot {
        Ballot { round: number(rng), proposer: number(rng) }
    }
    fn key(rng: &mut ChaCha8Rng) -> LeaseKey {
        [0, 7, LeaseKey::MAX][rng.random_range(0..3)]
    }
    fn outcome(rng: &mut ChaCha8Rng) -> LeaseOutcome {
        [LeaseOutcome::Pending, LeaseOutcome::Indeterminate, LeaseOutcome::Completed(response_of(1))]
            [rng.random_range(0..3)]
        .clone()
    }
    fn said(rng: &mut ChaCha8Rng) -> SessionMessage {
        let (call, epoch, token, session) = (number(rng), number(rng), number(rng), rng.random_range(0..2));
        let committed = CommittedSession { term: epoch, token, ownership: SessionOwnership::default() };
        match rng.random_range(0..6) {
            0 => SessionMessage::Prepare { call, session, term: epoch, token },
            1 => SessionMessage::Promise { call, term: epoch, accepted: Some(committed) },
            2 => SessionMessage::Accept { call, session, change: committed },
            3 => SessionMessage::Accepted { call, term: epoch },
            4 => SessionMessage::Preempted { call, term: epoch },
            _ => SessionMessage::Renew(session),
        }
    }
    let c = rng;
    let value = Arc::new(RegisterValue { version: number(c), digest: number(c), bytes: Vec::new() });
    let lease = Lease { token: number(c), time_left_ms: u32::MAX, outcome: outcome(c) };
    let revision = (number(c), number(c));
    let name = ["m/a", "", "members"][c.random_range(0..3)].into();
    let named = NamedRegister { name, value: value.clone() };
    let stored = |name: &str| RegisterRevision { name: name.into(), revision: revision.into() };
    let body = match c.random_range(0..24) {
        22 | 23 => MessageBody::RegisterPaxos(garbage_of_versions(c, value)),
        16 => MessageBody::PrepareRollback(ballot(c)),
        17 => MessageBody::RollbackPromise {
            ballot: ballot(c),
            accepted: Some(AcceptedMembership { ballot: ballot(c), membership: membership(c) }),
        },
        0 => MessageBody::Heartbeat {
            voter: c.random(),
            configuration: revision.into(),
            committed_configuration: Revision::new(number(c), number(c)),
            leaving: c.random(),
            zone: "z".into(),
            registers_digest: u128::from(number(c)),
        },
        1 => MessageBody::MembershipAnnouncement(membership(c)),
        2 => MessageBody::Prepare(ballot(c)),
        3 => MessageBody::Promise {
            ballot: ballot(c),
            accepted: Some(AcceptedMembership { ballot: ballot(c), membership: membership(c) }),
        },
        4 => MessageBody::Accept(ballot(c), membership(c)),
        5 => MessageBody::Accepted(ballot(c)),
        6 => MessageBody::Preempted(ballot(c)),
        7 => MessageBody::RequestLeases(vec![LeaseRequest {
            call: number(c),
            key: key(c),
            token: number(c),
            time_left_ms: u32::MAX,
        }]),
        8 => MessageBody::LeaseVotes(vec![
            LeaseVoteReply { call: number(c), vote: LeaseVote::Held(lease) },
            LeaseVoteReply { call: number(c), vote: LeaseVote::TokenReleased },
        ]),
        9 => MessageBody::CompleteLeases(vec![LeaseCompletion {
            key: key(c),
            token: number(c),
            outcome: c.random::<bool>().then(|| outcome(c)),
        }]),
        10 => MessageBody::StoreConfiguration(value),
        11 => MessageBody::FetchConfiguration { read_id: number(c), known: revision.into() },
        12 => MessageBody::ConfigurationStored { read_id: number(c), revision: revision.into() },
        13 => MessageBody::FetchSnapshot {
            from_key: key(c),
            catch_up_id: number(c),
            from_register: c.random::<bool>().then(|| "m/a".into()),
        },
        14 => MessageBody::Sessions(vec![said(c)]),
        18 => MessageBody::StoreRegisters(vec![named]),
        19 => MessageBody::FetchRegisters { read_id: number(c), known: vec![stored("m/a"), stored("")] },
        20 => MessageBody::RegistersStored {
            read_id: number(c),
            voter: c.random(),
            revisions: vec![stored("m/b"), stored("")],
            next: c.random::<bool>().then(|| "x".into()),
        },
        21 => MessageBody::ListRegisters("m/".into()),
        _ => MessageBody::SnapshotChunk {
            catch_up_id: number(c),
            leases: vec![LeaseEntry { key: key(c), lease }],
            next_key: c.random::<bool>().then(|| key(c)),
            configuration: Some(value),
            registers: vec![named],
            next_register: c.random::<bool>().then(|| "x".into()),
            sessions: vec![SessionEntry {
                session: key(c),
                record: SessionRecord { term: number(c), token: number(c), accepted: None },
            }],
            acceptors: vec![AcceptorState {
                register: "m/a".into(),
                version: number(c),
                promised: ProposalNumber { epoch: number(c), ballot: ballot(c) },
                accepted: Some(AcceptedValue {
                    number: ProposalNumber { epoch: number(c), ballot: ballot(c) },
                    value: Arc::new(RegisterValue::new(1, Vec::new())),
                }),
            }],
        },
    };
    Message { from: station(c), epoch: number(c), body }
}

#[test]
fn no_message_crashes_a_replica() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, 4, 3, 3, None);
        for _ in 0..150 {
            let node = rng.random_range(0..4);
            let (key, token) = (7, rng.random_range(0..30));
            match rng.random_range(0..9) {
                8 => drop(world.request(
                    node,
                    CoreRequest::Session(1, SessionRequest::Acquire { outbound_proxy: at(9), above_term: 0 }),
                )),
                0 => drop(acquire_lease(&mut world, node, key, token)),
                1 => drop(world.request(node, CoreRequest::ReadConfiguration)),
                2 => complete_lease(&mut world, node, key, token, None),
                3 => {
                    world.now = [world.now.saturating_add(200 * MS), world.now, u64::MAX]
                        [rng.random_range(0..40usize).min(39) / 19];
                    world.tick(node);
                }
                _ => {
                    let message = arbitrary_message(&mut rng);
                    let mut out = Vec::new();
                    let core = world.nodes[node].core.as_mut().unwrap();
                    core.handle_message(world.now, message, &mut out);
                    core.flush(&mut out);
                    assert!(out.len() < 1000);
                }
            }
        }
    }
}
