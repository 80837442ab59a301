//! Scenarios of the protocol, one per test.

mod cluster;

use std::sync::Arc;

use cluster::{MS, SimulatedCluster, address_of, response_of};
use ochreshed_consensus::core::{Core, LeaseCounts, Mutation, ResponseCacheUsage};
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn acquire_lease(cluster: &mut SimulatedCluster, node: usize, key: LeaseKey, token: LeaseToken) -> u64 {
    cluster.request(node, CoreRequest::AcquireLease { key, token, time_left_ms: 1000 })
}

fn complete_lease(
    cluster: &mut SimulatedCluster,
    node: usize,
    key: LeaseKey,
    token: LeaseToken,
    outcome: Option<LeaseOutcome>,
) {
    cluster.request(node, CoreRequest::CompleteLease { key, token, outcome });
}

fn counts(pending: usize, indeterminate: usize, completed: usize) -> LeaseCounts {
    LeaseCounts { pending, indeterminate, completed }
}

fn core(cluster: &SimulatedCluster, node: usize) -> &Core {
    cluster.nodes[node].core.as_ref().unwrap()
}

#[test]
fn a_lease_is_granted_in_one_round() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    let call = acquire_lease(&mut cluster, 0, 7, 21);
    assert_eq!(cluster.responses.get(&call), None);
    cluster.deliver_everything();
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
    // Only as many members as a majority needs were asked.
    let holders: Vec<usize> = (0..3).filter(|node| core(&cluster, *node).lease(7).is_some()).collect();
    assert_eq!(holders.len(), 2);
    for node in holders {
        assert_eq!(core(&cluster, node).lease(7).unwrap().token, 21);
        assert_eq!(core(&cluster, node).lease_counts(), counts(1, 0, 0));
        assert!(cluster.nodes[node].disk.leases.contains_key(&7));
    }
}

#[test]
fn members_not_asked_at_first_are_asked_when_another_is_silent() {
    for silent in 1..3 {
        let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
        let call = acquire_lease(&mut cluster, 0, 7, 21);
        let end = cluster.now + 200 * MS;
        while cluster.now < end {
            cluster.now += 10 * MS;
            (0..3).filter(|node| *node != silent).for_each(|node| cluster.tick(node));
            (0..3).for_each(|node| cluster.sync(node, usize::MAX));
            while !cluster.in_flight.is_empty() {
                cluster.in_flight.retain(|envelope| envelope.to != silent);
                (0..cluster.in_flight.len()).for_each(|_| cluster.deliver(0));
                (0..3).for_each(|node| cluster.sync(node, usize::MAX));
            }
        }
        assert_eq!(cluster.responses.get(&call), Some(&CoreResponse::LeaseGranted), "silent: {silent}");
    }
}

#[test]
fn no_lease_is_granted_before_it_is_on_disk() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    let call = acquire_lease(&mut cluster, 0, 7, 21);
    while !cluster.in_flight.is_empty() {
        cluster.deliver(0);
    }
    assert_eq!(cluster.responses.get(&call), None);
    cluster.sync(1, usize::MAX);
    while !cluster.in_flight.is_empty() {
        cluster.deliver(0);
    }
    assert_eq!(cluster.responses.get(&call), None);
    cluster.sync(0, usize::MAX);
    while !cluster.in_flight.is_empty() {
        cluster.deliver(0);
    }
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
}

#[test]
fn a_repeated_request_waits_and_gets_the_stored_response() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    acquire_lease(&mut cluster, 0, 7, 21);
    cluster.deliver_everything();
    // Through another member, and through a replica that is not a member.
    let calls = [acquire_lease(&mut cluster, 1, 7, 22), acquire_lease(&mut cluster, 3, 7, 23)];
    cluster.run_without_faults(200 * MS);
    assert!(calls.iter().all(|call| !cluster.responses.contains_key(call)));
    complete_lease(&mut cluster, 2, 7, 21, Some(LeaseOutcome::Completed(response_of(21))));
    cluster.run_without_faults(200 * MS);
    for call in calls {
        assert_eq!(
            cluster.responses[&call],
            CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(21)))
        );
    }
    // A replica that does not store the response finds it at another one.
    let late = acquire_lease(&mut cluster, 0, 7, 24);
    cluster.run_without_faults(50 * MS);
    assert_eq!(cluster.responses[&late], CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(21))));
    assert_eq!(core(&cluster, 0).lease_counts(), counts(0, 0, 1));
}

/// Guards against responses that take all memory, and against requests that run again because their response was
/// evicted.
#[test]
fn a_full_response_cache_evicts_the_oldest_responses_and_keeps_their_leases() {
    let mut cluster =
        SimulatedCluster::with(1, 1, 1, 1, None, |cluster| cluster.config.max_response_bytes = 400);
    for key in 1..=3 {
        acquire_lease(&mut cluster, 0, key, key as LeaseToken);
        cluster.deliver_everything();
        complete_lease(
            &mut cluster,
            0,
            key,
            key as LeaseToken,
            Some(LeaseOutcome::Completed(response_of(key as LeaseToken))),
        );
        cluster.run_without_faults(100 * MS);
    }
    assert_eq!(
        core(&cluster, 0).response_cache_usage(),
        ResponseCacheUsage { bytes: 336, max_bytes: 400, evicted: 1 }
    );
    assert_eq!(core(&cluster, 0).lease_counts(), counts(0, 1, 2));
    let calls = [1, 2, 3].map(|key| acquire_lease(&mut cluster, 0, key, 20 + key as LeaseToken));
    cluster.run_without_faults(100 * MS);
    assert_eq!(cluster.responses[&calls[0]], CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate));
    assert_eq!(
        cluster.responses[&calls[2]],
        CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(3)))
    );
    // The same holds on disk and after a restart with a lower bound.
    cluster.crash(0);
    cluster.config.max_response_bytes = 200;
    cluster.start(0, false);
    cluster.deliver_everything();
    assert_eq!(
        core(&cluster, 0).response_cache_usage(),
        ResponseCacheUsage { bytes: 168, max_bytes: 200, evicted: 1 }
    );
    assert_eq!(cluster.nodes[0].disk.leases[&2].outcome, LeaseOutcome::Indeterminate);
    // A response that is larger than the whole cache.
    let long = StoredResponse { status: 200, headers: Vec::new(), body: vec![0; 300] };
    acquire_lease(&mut cluster, 0, 9, 9);
    cluster.deliver_everything();
    complete_lease(&mut cluster, 0, 9, 9, Some(LeaseOutcome::Completed(Arc::new(long))));
    cluster.run_without_faults(100 * MS);
    assert_eq!(core(&cluster, 0).lease(9).unwrap().outcome, LeaseOutcome::Indeterminate);
    assert_eq!(core(&cluster, 0).response_cache_usage().bytes, 168);
}

#[test]
fn waiting_for_a_pending_lease_ends() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    acquire_lease(&mut cluster, 0, 7, 21);
    cluster.deliver_everything();
    let call = acquire_lease(&mut cluster, 1, 7, 22);
    // A third of the 1,000 ms that its request has left.
    cluster.run_without_faults(300 * MS);
    assert_eq!(cluster.responses.get(&call), None);
    cluster.run_without_faults(50 * MS);
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

#[test]
fn a_released_lease_goes_to_the_call_that_waits() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    acquire_lease(&mut cluster, 0, 7, 21);
    cluster.deliver_everything();
    let call = acquire_lease(&mut cluster, 1, 7, 22);
    cluster.deliver_everything();
    complete_lease(&mut cluster, 2, 7, 21, None);
    cluster.run_without_faults(200 * MS);
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
    // A released token never gets the lease again.
    let again = acquire_lease(&mut cluster, 0, 7, 21);
    cluster.run_without_faults(600 * MS);
    assert_ne!(cluster.responses[&again], CoreResponse::LeaseGranted);
}

#[test]
fn leases_need_a_majority() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    cluster.crash(1);
    cluster.crash(2);
    let call = acquire_lease(&mut cluster, 0, 7, 21);
    for _ in 0..30 {
        cluster.now += 50 * MS;
        cluster.tick(0);
        cluster.deliver_everything();
    }
    assert_eq!(cluster.responses[&call], CoreResponse::Unavailable);
    assert!(!core(&cluster, 0).has_quorum(cluster.now));
    // The replica's own vote stays, because the lease may have been granted through another one.
    assert_eq!(core(&cluster, 0).lease(7).unwrap().token, 21);
    cluster.run_without_faults(1000 * MS);
    assert!(core(&cluster, 0).has_quorum(cluster.now));
    let call = acquire_lease(&mut cluster, 2, 7, 21);
    cluster.deliver_everything();
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
}

#[test]
fn a_silent_replica_receives_the_lease_updates_that_it_missed() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    cluster.run_without_faults(300 * MS);
    cluster.crash(2);
    acquire_lease(&mut cluster, 0, 7, 21);
    acquire_lease(&mut cluster, 0, 8, 22);
    for _ in 0..20 {
        cluster.now += 50 * MS;
        cluster.tick(0);
        cluster.tick(1);
        cluster.deliver_everything();
    }
    complete_lease(&mut cluster, 1, 8, 22, Some(LeaseOutcome::Indeterminate));
    cluster.deliver_everything();
    assert_eq!(core(&cluster, 1).lease_counts(), counts(1, 1, 0));
    cluster.run_without_faults(600 * MS);
    assert_eq!(core(&cluster, 2).lease_counts(), counts(1, 1, 0));
}

#[test]
fn leases_expire() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    acquire_lease(&mut cluster, 0, 7, 21);
    cluster.deliver_everything();
    cluster.now += cluster.config.lease_ttl;
    cluster.run_without_faults(400 * MS);
    for node in 0..3 {
        assert_eq!(core(&cluster, node).lease_counts(), counts(0, 0, 0));
        assert!(cluster.nodes[node].disk.leases.is_empty());
    }
}

#[test]
fn a_configuration_is_accepted_read_and_committed_everywhere() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    cluster.run_without_faults(300 * MS);
    let none = cluster.request(1, CoreRequest::ReadConfiguration);
    cluster.deliver_everything();
    assert_eq!(cluster.responses[&none], CoreResponse::Register(None));
    let value = cluster.next_configuration();
    let call = cluster.request(0, CoreRequest::ReplaceConfiguration(value.clone()));
    cluster.deliver_everything();
    assert_eq!(cluster.responses[&call], CoreResponse::Accepted);
    let read = cluster.request(3, CoreRequest::ReadConfiguration);
    cluster.deliver_everything();
    assert_eq!(cluster.responses[&read], CoreResponse::Register(Some(value.clone())));
    cluster.run_without_faults(600 * MS);
    for node in 0..4 {
        assert_eq!(core(&cluster, node).committed_configuration(), Some(&value));
    }
    // A repeated write and a write of an older version are accepted at once.
    for value in [value, RegisterValue::new(0, vec![]).into()] {
        let call = cluster.request(2, CoreRequest::ReplaceConfiguration(value));
        assert_eq!(cluster.responses[&call], CoreResponse::Accepted);
    }
}

#[test]
fn concurrent_configuration_writes_are_all_accepted() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    let calls: Vec<u64> = (0..200)
        .map(|n| {
            let value = cluster.next_configuration();
            cluster.request(n % 3, CoreRequest::ReplaceConfiguration(value))
        })
        .collect();
    cluster.run_without_faults(800 * MS);
    assert!(calls.iter().all(|call| cluster.responses[call] == CoreResponse::Accepted));
    let newest = core(&cluster, 0).committed_configuration().unwrap().revision();
    assert!((0..3).all(|node| core(&cluster, node).committed_configuration().unwrap().revision() == newest));
    assert_eq!(newest.version, cluster.next_version);
}

#[test]
fn all_replicas_crash_and_restart() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    let value = cluster.next_configuration();
    cluster.request(0, CoreRequest::ReplaceConfiguration(value.clone()));
    acquire_lease(&mut cluster, 0, 7, 21);
    acquire_lease(&mut cluster, 1, 8, 22);
    complete_lease(&mut cluster, 1, 8, 22, Some(LeaseOutcome::Completed(response_of(22))));
    cluster.deliver_everything();
    for node in 0..3 {
        cluster.crash(node);
    }
    cluster.in_flight.clear();
    cluster.run_without_faults(500 * MS);
    assert_eq!(core(&cluster, 2).committed_configuration(), Some(&value));
    let calls = [acquire_lease(&mut cluster, 2, 7, 31), acquire_lease(&mut cluster, 2, 8, 32)];
    cluster.run_without_faults(600 * MS);
    assert_eq!(cluster.responses[&calls[0]], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
    assert_eq!(
        cluster.responses[&calls[1]],
        CoreResponse::LeaseHeld(LeaseOutcome::Completed(response_of(22)))
    );
    assert_eq!(core(&cluster, 2).membership().epoch, 1);
}

/// Two operators send different content under one version through two replicas, then again through each replica, also
/// after all were restarted: one content is accepted every time, the other one rejected, and nothing else changes.
#[test]
fn of_two_contents_under_one_version_one_is_accepted_wherever_it_is_sent() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::new(seed, 4, 3, 3, None);
        cluster.run_without_faults(300 * MS);
        for version in [3, 4, 9] {
            let values = [b"one", b"two"].map(|text| Arc::new(RegisterValue::new(version, text.to_vec())));
            let first = [0, 1].map(|index| {
                let node = (seed as usize + index) % 4;
                cluster.request(node, CoreRequest::ReplaceConfiguration(values[index].clone()))
            });
            cluster.run_without_faults(800 * MS);
            let accepted_index = usize::from(cluster.responses[&first[1]] == CoreResponse::Accepted);
            assert_eq!(cluster.responses[&first[accepted_index]], CoreResponse::Accepted, "r{version}");
            assert_eq!(cluster.responses[&first[1 - accepted_index]], CoreResponse::Conflict, "r{version}");
            for round in 0..2 {
                for node in 0..4 {
                    let calls = [0, 1]
                        .map(|n| cluster.request(node, CoreRequest::ReplaceConfiguration(values[n].clone())));
                    cluster.run_without_faults(400 * MS);
                    assert_eq!(
                        cluster.responses[&calls[accepted_index]],
                        CoreResponse::Accepted,
                        "r{version} at {node}"
                    );
                    assert_eq!(
                        cluster.responses[&calls[1 - accepted_index]],
                        CoreResponse::Conflict,
                        "r{version} at {node}"
                    );
                    let read = cluster.request(node, CoreRequest::ReadConfiguration);
                    cluster.run_without_faults(200 * MS);
                    assert_eq!(
                        cluster.responses[&read],
                        CoreResponse::Register(Some(values[accepted_index].clone()))
                    );
                }
                if round == 0 {
                    (0..4).for_each(|node| cluster.crash(node));
                    cluster.in_flight.clear();
                    cluster.run_without_faults(600 * MS);
                }
            }
        }
        assert_eq!(cluster.violation, None);
    }
}

/// Guards against writes that wait for one disk that hangs, although a majority of the other disks is enough.
#[test]
fn a_write_commits_though_the_disk_of_its_replica_hangs() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    cluster.run_without_faults(300 * MS);
    let value = cluster.next_configuration();
    let write = cluster.request(0, CoreRequest::ReplaceConfiguration(value));
    for _ in 0..20 {
        [1, 2].into_iter().for_each(|node| cluster.sync(node, usize::MAX));
        (0..cluster.in_flight.len()).for_each(|_| cluster.deliver(0));
    }
    assert_eq!(cluster.responses.get(&write), Some(&CoreResponse::Accepted));
    assert!(cluster.nodes[0].disk.configuration.is_none() && cluster.violation.is_none());
}

/// Content was decided and only a crashed replica stores it; a replica that accepted it loses its disk and rejoins.
/// Returns the answer to a write of other content under that version, and the violation if there is one.
fn second_content_after_a_lost_disk(mutation: Option<Mutation>) -> (Option<CoreResponse>, Option<String>) {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, mutation);
    cluster.run_without_faults(300 * MS);
    let first = Arc::new(RegisterValue::new(5, b"one".to_vec()));
    cluster.request(3, CoreRequest::ReplaceConfiguration(first));
    // The spare proposes. Member 2 receives none of its messages, and once it has decided, no replica does.
    while core(&cluster, 3).stored_configuration().is_none() {
        (0..4).for_each(|node| cluster.sync(node, usize::MAX));
        cluster
            .in_flight
            .retain(|envelope| envelope.to != 2 || envelope.message.from.address != address_of(3));
        assert!(!cluster.in_flight.is_empty(), "messages of the ballot are in flight");
        cluster.deliver(0);
    }
    cluster.in_flight.clear();
    cluster.crash(3);
    cluster.wipe(1);
    cluster.start(1, false);
    let others = [0, 1, 2];
    let run_for = |cluster: &mut SimulatedCluster, ms: u64, nodes: &[usize]| {
        let end = cluster.now + ms * MS;
        while cluster.now < end {
            cluster.now += 50 * MS;
            nodes.iter().for_each(|node| cluster.tick(*node));
            cluster.deliver_everything();
        }
    };
    run_for(&mut cluster, 3_000, &others);
    assert!(core(&cluster, 1).is_voting() && core(&cluster, 1).membership().epoch == 2);
    // The other replica that accepted it is down.
    cluster.crash(0);
    let second = cluster
        .request(2, CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(5, b"two".to_vec()))));
    run_for(&mut cluster, 1_000, &[1, 2]);
    (cluster.responses.get(&second).cloned(), cluster.violation)
}

#[test]
fn a_snapshot_carries_what_was_accepted_for_a_version() {
    assert_eq!(second_content_after_a_lost_disk(None), (Some(CoreResponse::Conflict), None));
    let (_, violation) = second_content_after_a_lost_disk(Some(Mutation::OmitAcceptedValuesFromSnapshot));
    assert_eq!(
        violation.as_deref(),
        Some(" r5: two contents are stored"),
        "the mutation OmitAcceptedValuesFromSnapshot was not detected"
    );
}

fn write_register(
    cluster: &mut SimulatedCluster,
    node: usize,
    name: &str,
    version: u64,
) -> (u64, NamedRegister) {
    let named = cluster.register(name, version);
    (cluster.request(node, CoreRequest::ReplaceRegister(named.clone())), named)
}

/// Guards against a new member that votes before it has received its whole snapshot, which takes many messages.
#[test]
fn registers_replicate_by_themselves_and_a_wiped_replica_receives_all() {
    let mut cluster =
        SimulatedCluster::with(1, 4, 3, 3, None, |cluster| cluster.register_padding = 100 << 10);
    let writes: Vec<_> = (0..40).map(|n| write_register(&mut cluster, n % 3, &format!("m/{n}"), 7)).collect();
    cluster.run_without_faults(600 * MS);
    assert!(writes.iter().all(|(call, _)| cluster.responses[call] == CoreResponse::Accepted));
    // A replica that is not a member stores the registers as well, and knows them as committed.
    let committed_registers = |cluster: &SimulatedCluster, node: usize| {
        let all = core(cluster, node)
            .registers()
            .filter(|named| named.stored.is_some() && named.stored == named.committed);
        all.map(|named| (named.name, named.stored.expect("stored").revision())).collect::<Vec<_>>()
    };
    let all = committed_registers(&cluster, 0);
    assert_eq!(all.len(), 40);
    assert!((1..4).all(|node| committed_registers(&cluster, node) == all));
    cluster.wipe(2);
    cluster.run_without_faults(1_500 * MS);
    assert!(core(&cluster, 2).is_voting() && committed_registers(&cluster, 2) == all);
    // Then a member that served the snapshot loses its disk.
    cluster.wipe(1);
    cluster.run_without_faults(1_500 * MS);
    let (call, last) = write_register(&mut cluster, 2, "m/3", 8);
    cluster.run_without_faults(400 * MS);
    let read = cluster.request(0, CoreRequest::ReadRegister("m/3".into()));
    cluster.run_without_faults(100 * MS);
    assert_eq!(
        (&cluster.responses[&call], &cluster.responses[&read]),
        (&CoreResponse::Accepted, &CoreResponse::Register(Some(last.value)))
    );
    // All replicas crash and restart, and know again which registers are committed.
    let all = committed_registers(&cluster, 0);
    (0..4).for_each(|node| cluster.crash(node));
    cluster.in_flight.clear();
    cluster.run_without_faults(600 * MS);
    assert!(all.len() == 40 && (0..4).all(|node| committed_registers(&cluster, node) == all));
}

/// Guards against a change that waits for the next heartbeats if it is written through a replica without a vote: time
/// does not advance here.
#[test]
fn a_write_through_a_replica_without_a_vote_is_known_as_committed_at_once() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    cluster.run_without_faults(600 * MS);
    assert!(!core(&cluster, 3).is_voting());
    for version in 1..4 {
        let (call, named) = write_register(&mut cluster, 3, "m/a", version);
        cluster.deliver_everything();
        assert_eq!(cluster.responses[&call], CoreResponse::Accepted);
        for node in 0..4 {
            let committed = core(&cluster, node)
                .registers()
                .find_map(|named| named.committed)
                .map(|value| value.revision());
            assert_eq!(committed, Some(named.value.revision()), "{node}");
        }
    }
}

/// Guards against documents that fill the replicas' memory.
#[test]
fn registers_stay_within_their_limits() {
    use ochreshed_consensus::core::named_registers::*;
    let mut cluster = SimulatedCluster::new(1, 1, 1, 1, None);
    let is_rejected = |cluster: &mut SimulatedCluster, name: &str, bytes: usize| {
        cluster.next_version += 1;
        let value = RegisterValue { version: cluster.next_version, digest: 1, bytes: vec![0; bytes] };
        let named = NamedRegister { name: name.into(), value: Arc::new(value) };
        let call = cluster.request(0, CoreRequest::ReplaceRegister(named));
        cluster.deliver_everything();
        cluster.responses.get(&call).expect(name) == &CoreResponse::CapacityExceeded
    };
    assert!(is_rejected(&mut cluster, "m/long", MAX_VALUE_BYTES + 1));
    assert!(
        is_rejected(&mut cluster, "", 1) && is_rejected(&mut cluster, &"m".repeat(MAX_NAME_BYTES + 1), 1)
    );
    for n in 0..MAX_TOTAL_BYTES / MAX_VALUE_BYTES {
        assert!(!is_rejected(&mut cluster, &format!("m/{n}"), MAX_VALUE_BYTES));
    }
    assert!(
        is_rejected(&mut cluster, "m/one-more", 1) && !is_rejected(&mut cluster, "m/3", 1),
        "a replacement of the same size fits"
    );
    cluster.crash(0);
    for n in cluster.nodes[0].disk.registers.len()..MAX_NAMES {
        let named = cluster.register(&format!("t/{n}"), 1);
        cluster.written_registers.insert((named.name.clone(), named.value.revision()));
        cluster.nodes[0].disk.registers.insert(named.name, named.value);
    }
    cluster.start(0, false);
    assert!(is_rejected(&mut cluster, "one-more", 1));
}

/// Guards against messages and records about registers if none was written.
#[test]
fn without_registers_no_message_mentions_them() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    let value = cluster.next_configuration();
    cluster.request(0, CoreRequest::ReplaceConfiguration(value));
    for _ in 0..60 {
        cluster.now += 50 * MS;
        (0..4).for_each(|node| cluster.tick(node));
        for envelope in &cluster.in_flight {
            assert!(!mentions_registers(&envelope.message.body), "{:?}", envelope.message.body);
        }
        cluster.deliver_everything();
    }
    assert!(cluster.nodes.iter().all(|node| node.disk.registers.is_empty()));
}

fn mentions_registers(body: &MessageBody) -> bool {
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
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    let value = cluster.next_configuration();
    cluster.request(0, CoreRequest::ReplaceConfiguration(value.clone()));
    for key in 0..600 {
        acquire_lease(&mut cluster, 0, key, 1000 + key as u64);
    }
    cluster.run_without_faults(300 * MS);
    cluster.wipe(2);
    cluster.run_without_faults(1500 * MS);
    let rejoined = core(&cluster, 2);
    assert!(rejoined.is_voting());
    assert_eq!(rejoined.membership().epoch, 2);
    assert_ne!(rejoined.replica().disk_id, 0);
    assert_eq!(rejoined.lease_counts(), counts(600, 0, 0));
    assert_eq!(rejoined.committed_configuration(), Some(&value));
    assert!((0..3).all(|node| core(&cluster, node).membership() == rejoined.membership()));
    // Now another member may lose its disk.
    cluster.wipe(0);
    cluster.run_without_faults(1500 * MS);
    assert_eq!(core(&cluster, 0).lease_counts(), counts(600, 0, 0));
    assert!(core(&cluster, 0).is_voting());
}

#[test]
fn a_spare_replaces_a_lost_member() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    acquire_lease(&mut cluster, 3, 7, 21);
    cluster.run_without_faults(500 * MS);
    cluster.crash(1);
    for _ in 0..80 {
        cluster.now += 50 * MS;
        for node in [0, 2, 3] {
            cluster.tick(node);
        }
        cluster.deliver_everything();
    }
    let members: Vec<_> =
        core(&cluster, 0).membership().members.iter().map(|replica| replica.address).collect();
    assert_eq!(members, [address_of(0), address_of(2), address_of(3)]);
    assert!(core(&cluster, 3).is_voting());
    assert_eq!(core(&cluster, 3).lease_counts(), counts(1, 0, 0));
    // The lost member restarts and learns that it is no longer a member.
    cluster.run_without_faults(500 * MS);
    assert!(!core(&cluster, 1).is_voting());
    assert_eq!(core(&cluster, 1).membership(), core(&cluster, 0).membership());
    let call = acquire_lease(&mut cluster, 1, 7, 22);
    cluster.run_without_faults(600 * MS);
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

#[test]
fn two_of_five_lose_their_disks_while_all_are_down() {
    let mut cluster = SimulatedCluster::new(1, 5, 5, 5, None);
    acquire_lease(&mut cluster, 3, 7, 21);
    cluster.run_without_faults(500 * MS);
    (0..5).for_each(|node| cluster.crash(node));
    cluster.wipe(1);
    cluster.wipe(3);
    cluster.run_without_faults(3_000 * MS);
    for node in 0..5 {
        assert!(core(&cluster, node).is_voting());
        assert_eq!(core(&cluster, node).lease_counts(), counts(1, 0, 0));
        assert_eq!(core(&cluster, node).membership().epoch, 3);
    }
}

#[test]
fn a_leaving_member_is_replaced_at_once() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    cluster.run_without_faults(500 * MS);
    let mut out = Vec::new();
    let now = cluster.now;
    cluster.nodes[0].core.as_mut().unwrap().announce_departure(now, &mut out);
    assert!(!core(&cluster, 0).may_stop());
    cluster.run_without_faults(900 * MS);
    assert!(core(&cluster, 0).may_stop());
    assert!(core(&cluster, 3).is_voting());
    // Without a replica that could replace it, a member may stop as well.
    cluster.crash(0);
    let now = cluster.now + 3_000 * MS;
    let last = cluster.nodes[1].core.as_mut().unwrap();
    last.tick(now, &mut out);
    last.announce_departure(now, &mut out);
    assert!(last.may_stop());
}

#[test]
fn one_member_grows_to_three() {
    let mut cluster = SimulatedCluster::new(1, 3, 1, 1, None);
    for node in 0..3 {
        cluster.crash(node);
    }
    cluster.config.target_members = 3;
    acquire_lease(&mut cluster, 0, 7, 21);
    cluster.run_without_faults(200 * MS);
    acquire_lease(&mut cluster, 0, 7, 21);
    cluster.run_without_faults(2_000 * MS);
    for node in 0..3 {
        assert_eq!(core(&cluster, node).membership().members.len(), 3);
        assert!(core(&cluster, node).is_voting());
        assert_eq!(core(&cluster, node).lease_counts(), counts(1, 0, 0));
        assert_eq!(core(&cluster, node).replica_addresses(), [address_of(0), address_of(1), address_of(2)]);
    }
}

#[test]
fn without_a_membership_nothing_is_promised() {
    let mut cluster = SimulatedCluster::new(1, 1, 1, 1, None);
    cluster.wipe(0);
    cluster.run_without_faults(100 * MS);
    assert_eq!(core(&cluster, 0).membership().epoch, 0);
    assert!(!core(&cluster, 0).has_quorum(cluster.now));
    let calls = [acquire_lease(&mut cluster, 0, 7, 21), cluster.request(0, CoreRequest::ReadConfiguration)];
    let value = cluster.next_configuration();
    let replace = cluster.request(0, CoreRequest::ReplaceConfiguration(value));
    cluster.run_without_faults(500 * MS);
    assert!(cluster.responses.is_empty());
    cluster.run_without_faults(3_000 * MS);
    assert!(calls.iter().chain([&replace]).all(|call| cluster.responses[call] == CoreResponse::Unavailable));
    assert_eq!(core(&cluster, 0).committed_configuration(), None);
}

#[test]
fn the_lease_limit_holds() {
    let mut cluster = SimulatedCluster::new(1, 1, 1, 1, None);
    cluster.config.max_leases = 3;
    cluster.crash(0);
    cluster.run_without_faults(100 * MS);
    for key in 0..3 {
        acquire_lease(&mut cluster, 0, key, 50 + key as u64);
        cluster.deliver_everything();
    }
    let call = acquire_lease(&mut cluster, 0, 9, 60);
    assert_eq!(cluster.responses[&call], CoreResponse::Unavailable);
    let nobody = acquire_lease(&mut cluster, 0, 1, 0);
    assert_eq!(cluster.responses[&nobody], CoreResponse::Unavailable);
    complete_lease(&mut cluster, 0, 0, 50, None);
    let call = acquire_lease(&mut cluster, 0, 9, 60);
    cluster.deliver_everything();
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
}

#[test]
fn a_cancelled_request_is_not_answered() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    let call = acquire_lease(&mut cluster, 0, 7, 21);
    cluster.nodes[0].core.as_mut().unwrap().cancel_request(call);
    cluster.run_without_faults(300 * MS);
    assert!(!cluster.responses.contains_key(&call));
    assert_eq!((0..3).filter(|node| core(&cluster, *node).lease_counts() == counts(1, 0, 0)).count(), 2);
}

/// Guards against a cluster that stops permanently, and against one that loses what was committed in the previous
/// epoch. A spare becomes a member and no replica learns of it; it loses its disk, and so does a replica that voted for
/// it. The decision is binding, but one of its three members has an intact disk: the two intact voters of the previous
/// epoch roll it back.
#[test]
fn an_epoch_whose_new_member_never_voted_is_rolled_back() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    cluster.run_without_faults(300 * MS);
    let run = |cluster: &mut SimulatedCluster, duration: u64, is_lost: fn(&cluster::InFlight) -> bool| {
        let end = cluster.now + duration;
        while cluster.now < end {
            cluster.now += 50 * MS;
            (0..4).for_each(|node| cluster.tick(node));
            (0..4).for_each(|node| cluster.sync(node, usize::MAX));
            while !cluster.in_flight.is_empty() {
                cluster.in_flight.retain(|envelope| !is_lost(envelope));
                (0..cluster.in_flight.len()).for_each(|_| cluster.deliver(0));
                (0..4).for_each(|node| cluster.sync(node, usize::MAX));
            }
        }
    };
    // Granted by 1 and 2; 0 never receives the request.
    let call = acquire_lease(&mut cluster, 1, 7, 21);
    run(&mut cluster, 200 * MS, |envelope| envelope.to == 0);
    assert_eq!(cluster.responses[&call], CoreResponse::LeaseGranted);
    cluster.leave(2);
    run(&mut cluster, 700 * MS, |envelope| {
        matches!(
            envelope.message.body,
            MessageBody::Accepted(_) | MessageBody::CompleteLeases(_) | MessageBody::RequestLeases(_)
        )
    });
    let accepted = |cluster: &SimulatedCluster, node: usize| {
        cluster.nodes[node]
            .disk
            .membership_ballot
            .as_ref()
            .and_then(|ballots| ballots.accepted.clone())
            .map(|accepted| accepted.membership)
    };
    let next = accepted(&cluster, 1).expect("a vote");
    assert_eq!(
        (accepted(&cluster, 0), next.members[2].address, core(&cluster, 0).membership().epoch),
        (Some(next), address_of(3), 1)
    );
    for node in [3, 1] {
        cluster.wipe(node);
        cluster.start(node, false);
    }
    cluster.crash(2);
    cluster.run_without_faults(5_000 * MS);
    assert!(
        cluster.memberships.values().any(|membership| membership.rolled_back),
        "{:?}",
        cluster.memberships
    );
    assert_eq!((0..4).filter(|node| core(&cluster, *node).is_voting()).count(), 3);
    let again = acquire_lease(&mut cluster, 3, 7, 22);
    cluster.run_without_faults(1_000 * MS);
    assert_eq!(
        (&cluster.responses[&again], &cluster.violation),
        (&CoreResponse::LeaseHeld(LeaseOutcome::Pending), &None)
    );
}

/// Guards against a membership that loses its majority with one zone although spares run in other zones, and against
/// unnecessary replacements.
#[test]
fn members_are_spread_over_zones() {
    let mut cluster = SimulatedCluster::new(1, 4, 3, 3, None);
    let newest = |cluster: &SimulatedCluster| {
        cluster.memberships.last_key_value().map(|(_, membership)| membership.clone()).expect("a membership")
    };
    cluster.run_without_faults(4_000 * MS);
    assert_eq!(
        (newest(&cluster).epoch, cluster.survives_zone_loss(&newest(&cluster))),
        (1, false),
        "zones are ignored by default"
    );
    cluster.config.tolerated_zone_losses = 1;
    (0..4).for_each(|node| cluster.crash(node));
    cluster.run_without_faults(4_000 * MS);
    let rebalanced = newest(&cluster);
    assert_eq!((rebalanced.epoch, cluster.survives_zone_loss(&rebalanced)), (2, true));
    let call = acquire_lease(&mut cluster, 3, 7, 21);
    cluster.run_without_faults(6_000 * MS);
    assert_eq!(
        (&cluster.responses[&call], newest(&cluster).epoch),
        (&CoreResponse::LeaseGranted, 2),
        "rebalanced only once"
    );
    // The member in zone b is lost: the spare in zone a replaces it, until that member is back.
    cluster.crash(2);
    for _ in 0..80 {
        cluster.now += 50 * MS;
        [0, 1, 3].into_iter().for_each(|node| cluster.tick(node));
        cluster.deliver_everything();
    }
    assert_eq!((newest(&cluster).epoch, cluster.survives_zone_loss(&newest(&cluster))), (3, false));
    cluster.run_without_faults(4_000 * MS);
    assert_eq!((newest(&cluster).epoch, cluster.survives_zone_loss(&newest(&cluster))), (4, true));
    let again = acquire_lease(&mut cluster, 0, 7, 22);
    cluster.run_without_faults(1_000 * MS);
    assert_eq!(cluster.responses[&again], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

fn arbitrary_register_paxos_message(rng: &mut ChaCha8Rng, value: Arc<RegisterValue>) -> RegisterPaxosMessage {
    let mut number = || [0, 1, 2, u64::MAX - 1, u64::MAX][rng.random_range(0..5)];
    let proposal = ProposalNumber { epoch: number(), ballot: Ballot { round: number(), proposer: number() } };
    let (version, digest) = (number(), Some(number()));
    let promised = ProposalNumber { epoch: number(), ballot: Ballot { round: number(), proposer: number() } };
    let name: RegisterName = ["m/a", "", &"x".repeat(100)][rng.random_range(0..3)].into();
    match rng.random_range(0..6) {
        0 => RegisterPaxosMessage::Prepare { register: name, version, number: proposal },
        1 => RegisterPaxosMessage::Promise {
            register: name,
            version,
            number: proposal,
            accepted: Some(AcceptedValue { number: promised, value }),
        },
        2 => RegisterPaxosMessage::Accept { register: name, number: proposal, value },
        3 => RegisterPaxosMessage::Accepted { register: name, version, number: proposal },
        4 => RegisterPaxosMessage::Preempted { register: name, version, number: proposal, promised },
        _ => RegisterPaxosMessage::Superseded { register: name, version, number: proposal, digest },
    }
}

/// A random message, with extreme numbers and plausible ones.
fn arbitrary_message(rng: &mut ChaCha8Rng) -> Message {
    fn number(rng: &mut ChaCha8Rng) -> u64 {
        [0, 1, 2, 21, u64::MAX - 1, u64::MAX][rng.random_range(0..6)]
    }
    fn replica(rng: &mut ChaCha8Rng) -> ReplicaId {
        ReplicaId { address: address_of(rng.random_range(0..5)), disk_id: number(rng) }
    }
    fn membership(rng: &mut ChaCha8Rng) -> Membership {
        let members = (0..rng.random_range(0..5)).map(|_| replica(rng)).collect();
        let previous_members = (0..rng.random_range(0..4)).map(|_| replica(rng)).collect();
        Membership {
            epoch: number(rng),
            previous_members,
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
    fn session_message(rng: &mut ChaCha8Rng) -> SessionMessage {
        let (call, term, token, session) = (number(rng), number(rng), number(rng), rng.random_range(0..2));
        let committed = CommittedSession { term, token, ownership: SessionOwnership::default() };
        match rng.random_range(0..6) {
            0 => SessionMessage::Prepare { call, session, term, token },
            1 => SessionMessage::Promise { call, term, accepted: Some(committed) },
            2 => SessionMessage::Accept { call, session, change: committed },
            3 => SessionMessage::Accepted { call, term },
            4 => SessionMessage::Preempted { call, term },
            _ => SessionMessage::Renew(session),
        }
    }
    let value = Arc::new(RegisterValue { version: number(rng), digest: number(rng), bytes: Vec::new() });
    let lease = Lease { token: number(rng), time_left_ms: u32::MAX, outcome: outcome(rng) };
    let revision = (number(rng), number(rng));
    let name = ["m/a", "", "members"][rng.random_range(0..3)].into();
    let named = NamedRegister { name, value: value.clone() };
    let stored = |name: &str| RegisterRevision { name: name.into(), revision: revision.into() };
    let completion = LeaseCompletion {
        key: key(rng),
        token: number(rng),
        outcome: rng.random::<bool>().then(|| outcome(rng)),
    };
    let body = match rng.random_range(0..29) {
        22 | 23 => MessageBody::RegisterPaxos(arbitrary_register_paxos_message(rng, value)),
        16 => MessageBody::PrepareRollback(ballot(rng)),
        17 => MessageBody::RollbackPromise {
            ballot: ballot(rng),
            accepted: Some(AcceptedMembership { ballot: ballot(rng), membership: membership(rng) }),
        },
        0 => MessageBody::Heartbeat {
            voter: rng.random(),
            configuration: revision.into(),
            committed_configuration: Revision::new(number(rng), number(rng)),
            leaving: rng.random(),
            zone: "z".into(),
            registers_digest: u128::from(number(rng)),
            supports_quorum_writes: rng.random(),
        },
        1 => MessageBody::MembershipAnnouncement(membership(rng)),
        2 => MessageBody::Prepare(ballot(rng)),
        3 => MessageBody::Promise {
            ballot: ballot(rng),
            accepted: Some(AcceptedMembership { ballot: ballot(rng), membership: membership(rng) }),
        },
        4 => MessageBody::Accept(ballot(rng), membership(rng)),
        5 => MessageBody::Accepted(ballot(rng)),
        6 => MessageBody::Preempted(ballot(rng)),
        7 => MessageBody::RequestLeases(vec![LeaseRequest {
            call: number(rng),
            key: key(rng),
            token: number(rng),
            time_left_ms: u32::MAX,
        }]),
        8 => MessageBody::LeaseVotes(vec![
            LeaseVoteReply { call: number(rng), vote: LeaseVote::Held(lease) },
            LeaseVoteReply { call: number(rng), vote: LeaseVote::TokenReleased },
        ]),
        9 => MessageBody::CompleteLeases(vec![completion]),
        24 => MessageBody::StoreQuorumWrites(vec![QuorumWriteRequest {
            call: number(rng),
            write: QuorumWrite::LeaseCompletion(completion),
        }]),
        25 => MessageBody::QuorumWritesStored(vec![number(rng), number(rng)]),
        26 => MessageBody::StoreQuorumWrites(vec![QuorumWriteRequest {
            call: number(rng),
            write: QuorumWrite::Tombstone(key(rng)),
        }]),
        27 => MessageBody::FindTombstones(vec![TombstoneQuery { call: number(rng), id: key(rng) }]),
        28 => MessageBody::TombstonesFound(vec![TombstoneReply { call: number(rng), exists: rng.random() }]),
        10 => MessageBody::StoreConfiguration(value),
        11 => MessageBody::FetchConfiguration { read_id: number(rng), known: revision.into() },
        12 => MessageBody::ConfigurationStored { read_id: number(rng), revision: revision.into() },
        13 => MessageBody::FetchSnapshot {
            from_key: key(rng),
            catch_up_id: number(rng),
            from_register: rng.random::<bool>().then(|| "m/a".into()),
        },
        14 => MessageBody::Sessions(vec![session_message(rng)]),
        18 => MessageBody::StoreRegisters(vec![named]),
        19 => MessageBody::FetchRegisters { read_id: number(rng), known: vec![stored("m/a"), stored("")] },
        20 => MessageBody::RegistersStored {
            read_id: number(rng),
            voter: rng.random(),
            revisions: vec![stored("m/b"), stored("")],
            next: rng.random::<bool>().then(|| "x".into()),
        },
        21 => MessageBody::ListRegisters("m/".into()),
        _ => MessageBody::SnapshotChunk {
            catch_up_id: number(rng),
            leases: vec![LeaseEntry { key: key(rng), lease }],
            next_key: rng.random::<bool>().then(|| key(rng)),
            configuration: Some(value),
            registers: vec![named],
            next_register: rng.random::<bool>().then(|| "x".into()),
            sessions: vec![SessionEntry {
                session: key(rng),
                record: SessionRecord { term: number(rng), token: number(rng), accepted: None },
            }],
            acceptors: vec![AcceptorState {
                register: "m/a".into(),
                version: number(rng),
                promised: ProposalNumber { epoch: number(rng), ballot: ballot(rng) },
                accepted: Some(AcceptedValue {
                    number: ProposalNumber { epoch: number(rng), ballot: ballot(rng) },
                    value: Arc::new(RegisterValue::new(1, Vec::new())),
                }),
            }],
            tombstones: vec![key(rng)],
        },
    };
    Message { from: replica(rng), epoch: number(rng), body }
}

#[test]
fn no_message_crashes_a_replica() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = SimulatedCluster::new(seed, 4, 3, 3, None);
        for _ in 0..150 {
            let node = rng.random_range(0..4);
            let (key, token) = (7, rng.random_range(0..30));
            match rng.random_range(0..11) {
                9 => drop(cluster.request(node, CoreRequest::StoreTombstone(key))),
                10 => drop(cluster.request(node, CoreRequest::FindTombstone(key))),
                8 => drop(cluster.request(
                    node,
                    CoreRequest::Session(
                        1,
                        SessionRequest::Acquire { outbound_proxy: address_of(9), above_term: 0 },
                    ),
                )),
                0 => drop(acquire_lease(&mut cluster, node, key, token)),
                1 => drop(cluster.request(node, CoreRequest::ReadConfiguration)),
                2 => complete_lease(&mut cluster, node, key, token, None),
                3 => {
                    cluster.now = [cluster.now.saturating_add(200 * MS), cluster.now, u64::MAX]
                        [rng.random_range(0..40usize).min(39) / 19];
                    cluster.tick(node);
                }
                _ => {
                    let message = arbitrary_message(&mut rng);
                    let mut out = Vec::new();
                    let core = cluster.nodes[node].core.as_mut().unwrap();
                    core.handle_message(cluster.now, message, &mut out);
                    core.flush(&mut out);
                    assert!(out.len() < 1000);
                }
            }
        }
    }
}
