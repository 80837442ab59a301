//! Severe faults on a simulated cluster: a replica cut off for twenty seconds, a second loss at every step of a
//! replacement, a leaving replica that may hold the last copy, hundreds of changes while a replica is down. `cluster`
//! checks the invariants after each event; mutations show that violations are detected.

mod cluster;

use std::sync::Arc;

use cluster::{MS, SimulatedCluster, address_of};
use ochreshed_consensus::core::{Core, Mutation};
use ochreshed_consensus::messages::*;
use rand::Rng;

fn core(cluster: &SimulatedCluster, node: usize) -> &Core {
    cluster.nodes[node].core.as_ref().expect("the node runs")
}

/// Advances time in steps of 50 ms for the nodes that run; messages on cut links are lost.
fn run_for(cluster: &mut SimulatedCluster, ms: u64, mut at_each_step: impl FnMut(&mut SimulatedCluster)) {
    let end = cluster.now + ms * MS;
    while cluster.now < end && cluster.violation.is_none() {
        cluster.now += 50 * MS;
        at_each_step(cluster);
        let nodes = cluster.nodes.len();
        (0..nodes)
            .filter(|node| cluster.is_up(*node))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| cluster.tick(n));
        cluster.deliver_on_open_links();
    }
}

/// The links to cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkCut {
    /// All messages between these nodes and the others are lost.
    Both(&'static [usize]),
    /// Messages from these nodes are lost; messages to them arrive.
    Outbound(&'static [usize]),
    /// Messages to these nodes are lost; messages from them arrive.
    Inbound(&'static [usize]),
}

fn cut_links(cluster: &mut SimulatedCluster, cut: LinkCut) {
    let (LinkCut::Both(isolated_nodes)
    | LinkCut::Outbound(isolated_nodes)
    | LinkCut::Inbound(isolated_nodes)) = cut;
    for isolated in isolated_nodes {
        for other in (0..cluster.nodes.len()).filter(|other| !isolated_nodes.contains(other)) {
            if !matches!(cut, LinkCut::Inbound(_)) {
                cluster.cut_links.insert((address_of(*isolated), other));
            }
            if !matches!(cut, LinkCut::Outbound(_)) {
                cluster.cut_links.insert((address_of(other), *isolated));
            }
        }
    }
}

/// How requests were answered while links were cut.
#[derive(Default, Debug)]
struct PartitionOutcome {
    /// Reads and writes of new versions at isolated replicas that got another answer than `Unavailable`.
    isolated_answers: usize,
    /// Reads and writes at isolated replicas that were answered `Unavailable`.
    isolated_unavailable: usize,
    /// Writes that were accepted at the other replicas.
    majority_accepted: usize,
}

/// Writes, reads and repeated writes at all replicas, before, during and after a cut of twenty seconds.
fn run_with_partition(
    seed: u64,
    cut: LinkCut,
    mutation: Option<Mutation>,
) -> (PartitionOutcome, Option<String>) {
    let (LinkCut::Both(isolated_nodes)
    | LinkCut::Outbound(isolated_nodes)
    | LinkCut::Inbound(isolated_nodes)) = cut;
    let mut cluster = SimulatedCluster::new(seed, 4, 3, 3, mutation);
    run_for(&mut cluster, 600, |_| {});
    let mut outcome = PartitionOutcome::default();
    let mut calls: Vec<(u64, usize, Option<Arc<RegisterValue>>)> = Vec::new();
    let send_random_request =
        |cluster: &mut SimulatedCluster, calls: &mut Vec<(u64, usize, Option<Arc<RegisterValue>>)>| {
            let node = cluster.rng.random_range(0..4);
            if !cluster.is_up(node) {
                return;
            }
            let earlier = (!calls.is_empty()).then(|| cluster.rng.random_range(0..calls.len()));
            let repeated = earlier.and_then(|earlier| calls[earlier].2.clone());
            let value = match cluster.rng.random_range(0..6) {
                0 => Some(cluster.next_configuration()),
                1 => Some(cluster.conflicting_configuration()),
                2 => repeated,
                _ => None,
            };
            let call = cluster.request(
                node,
                value.clone().map_or(CoreRequest::ReadConfiguration, CoreRequest::ReplaceConfiguration),
            );
            calls.push((call, node, value));
        };
    run_for(&mut cluster, 2_000, |cluster| send_random_request(cluster, &mut calls));
    cut_links(&mut cluster, cut);
    run_for(&mut cluster, 1_500, |_| {});
    let first_call = calls.len();
    let known_before_cut = cluster.read_floor;
    run_for(&mut cluster, 18_500, |cluster| send_random_request(cluster, &mut calls));
    // Lets the last requests reach their timeouts.
    run_for(&mut cluster, 3_500, |_| {});
    for (call, node, value) in &calls[first_call..] {
        let response = cluster.responses.get(call);
        match (isolated_nodes.contains(node), response, value) {
            (true, Some(CoreResponse::Unavailable), _) => outcome.isolated_unavailable += 1,
            (false, Some(CoreResponse::Accepted), _) => outcome.majority_accepted += 1,
            // A write whose version was committed before the cut, or an earlier one, changes nothing, and any replica
            // may answer it.
            (true, Some(CoreResponse::Accepted | CoreResponse::Conflict), Some(value))
                if value.version <= known_before_cut.version => {}
            (true, Some(_), _) => outcome.isolated_answers += 1,
            _ => {}
        }
    }
    cluster.cut_links.clear();
    run_for(&mut cluster, 1_500, |_| {});
    let newest = cluster.read_floor;
    let behind = (0..4).filter(|node| {
        core(&cluster, *node).stored_configuration().map(|value| value.revision()) < Some(newest)
    });
    let behind = behind.count();
    let violation =
        cluster.violation.or((behind > 0).then(|| format!("{behind} replicas are behind after the cut")));
    (outcome, violation)
}

const CUTS: [LinkCut; 6] = [
    LinkCut::Both(&[0]),
    LinkCut::Both(&[2]),
    LinkCut::Outbound(&[1]),
    LinkCut::Inbound(&[1]),
    // Halves of the cluster: the spare is with one of the three members.
    LinkCut::Both(&[0, 3]),
    LinkCut::Both(&[1, 3]),
];

/// Guards against an isolated replica that returns an old configuration, or rejects or acknowledges writes.
#[test]
fn replicas_cut_off_for_twenty_seconds_answer_nothing_and_the_majority_continues() {
    for cut in CUTS {
        let (mut unavailable, mut accepted) = (0, 0);
        for seed in 0..4 {
            let (outcome, violation) = run_with_partition(seed, cut, None);
            assert_eq!(violation, None, "{cut:?}, seed {seed}");
            // A replica that still receives messages may learn from heartbeats what is committed; it commits nothing
            // itself.
            assert!(
                outcome.isolated_answers == 0 || matches!(cut, LinkCut::Outbound(_)),
                "{cut:?}, seed {seed}: {outcome:?}"
            );
            unavailable += outcome.isolated_unavailable;
            accepted += outcome.majority_accepted;
        }
        assert!(
            unavailable > 20 && accepted > 100,
            "{cut:?}: {unavailable} unavailable, {accepted} accepted"
        );
    }
}

#[test]
fn reads_without_a_majority_are_detected() {
    let violation = (0..4)
        .filter_map(|seed| {
            run_with_partition(seed, LinkCut::Both(&[0]), Some(Mutation::ReadWithoutMajority)).1
        })
        .next();
    assert!(violation.is_some_and(|violation| violation.starts_with("read")));
}

/// A replica loses its disk and becomes a member again; another one goes down at message `step` of the replacement and
/// restarts three seconds later. Returns the number of messages.
fn replace_with_second_loss(step: usize, second: usize, wipe: bool) -> usize {
    let mut cluster = SimulatedCluster::new(step as u64, 4, 3, 3, None);
    run_for(&mut cluster, 600, |_| {});
    let (value, other) = (cluster.next_configuration(), cluster.next_configuration());
    let write = cluster.request(0, CoreRequest::ReplaceConfiguration(value));
    let lease = cluster.request(2, CoreRequest::AcquireLease { key: 7, token: 21, time_left_ms: 1_000 });
    run_for(&mut cluster, 300, |_| {});
    assert_eq!(
        (&cluster.responses[&write], &cluster.responses[&lease]),
        (&CoreResponse::Accepted, &CoreResponse::LeaseGranted)
    );
    // The second write reaches only two of three members.
    cut_links(&mut cluster, LinkCut::Both(if second == 0 { &[0] } else { &[2] }));
    let second_write = cluster.request(1, CoreRequest::ReplaceConfiguration(other));
    run_for(&mut cluster, 300, |_| {});
    assert_eq!(cluster.responses[&second_write], CoreResponse::Accepted);
    cluster.cut_links.clear();
    cluster.wipe(1);
    cluster.start(1, false);
    let (mut messages, mut down) = (0, None);
    let mut end = cluster.now + 4_000 * MS;
    while cluster.now < end && cluster.violation.is_none() {
        cluster.now += 50 * MS;
        for node in 0..4 {
            if down.is_some_and(|(node_down, until)| node_down == node && cluster.now >= until) {
                cluster.start(node, false);
                down = Some((node, u64::MAX));
            }
            if cluster.is_up(node) {
                cluster.tick(node);
            }
        }
        for _ in 0..400 {
            (0..4).for_each(|node| cluster.sync(node, usize::MAX));
            if cluster.in_flight.is_empty() {
                break;
            }
            messages += 1;
            if messages == step {
                match wipe && cluster.may_wipe(second) {
                    true => cluster.wipe(second),
                    false => cluster.crash(second),
                }
                down = Some((second, cluster.now + 3_000 * MS));
                end = cluster.now + 9_000 * MS;
            }
            cluster.deliver(0);
        }
    }
    let context = format!("step {step}, second loss {second}, with its disk: {wipe}");
    assert_eq!(cluster.violation, None, "{context}");
    let (read, again) = (
        cluster.request(3, CoreRequest::ReadConfiguration),
        cluster.request(0, CoreRequest::AcquireLease { key: 7, token: 22, time_left_ms: 100 }),
    );
    let next = cluster.next_configuration();
    run_for(&mut cluster, 300, |_| {});
    let read = cluster.responses.get(&read);
    assert!(
        matches!(read, Some(CoreResponse::Register(Some(value))) if value.version == 3),
        "{context}: {read:?}"
    );
    assert_eq!(
        cluster.responses.get(&again),
        Some(&CoreResponse::LeaseHeld(LeaseOutcome::Pending)),
        "{context}"
    );
    let next = cluster.request(2, CoreRequest::ReplaceConfiguration(next));
    run_for(&mut cluster, 300, |_| {});
    assert_eq!(cluster.responses.get(&next), Some(&CoreResponse::Accepted), "{context}");
    assert_eq!(cluster.violation, None, "{context}");
    messages
}

/// Guards against a second loss right after a replacement that costs the majority permanently, or loses committed
/// state.
#[test]
fn a_second_loss_at_any_step_of_a_replacement_loses_nothing_committed() {
    for (second, wipe) in [(0, false), (2, false), (0, true), (2, true)] {
        let total = replace_with_second_loss(usize::MAX, second, wipe);
        assert!(total > 100, "{total} messages");
        // The first messages are tested one by one; most of the later ones are heartbeats after the replacement.
        let steps = (1..120.min(total)).chain((120..total).step_by(37));
        steps.for_each(|step| {
            replace_with_second_loss(step, second, wipe);
        });
    }
}

/// The spare replaces a leaving replica, which is removed with its disk as soon as it may stop, while a member that has
/// just lost its disk is still catching up. Returns an error with the reason if the cluster does not continue without
/// the leaving replica.
fn leave_with_the_last_copy(delay_ms: u64, mutation: Option<Mutation>) -> Result<(), String> {
    let mut cluster = SimulatedCluster::new(delay_ms, 4, 3, 3, mutation);
    run_for(&mut cluster, 600, |_| {});
    // Replica 0 misses what 1 and 2 commit.
    cut_links(&mut cluster, LinkCut::Both(&[0]));
    cut_links(&mut cluster, LinkCut::Both(&[3]));
    let value = cluster.next_configuration();
    let write = cluster.request(1, CoreRequest::ReplaceConfiguration(value));
    let lease = cluster.request(2, CoreRequest::AcquireLease { key: 7, token: 21, time_left_ms: 1_000 });
    run_for(&mut cluster, 300, |_| {});
    assert_eq!(
        (&cluster.responses[&write], &cluster.responses[&lease]),
        (&CoreResponse::Accepted, &CoreResponse::LeaseGranted)
    );
    cluster.crash(0);
    cluster.wipe(1);
    cluster.cut_links.clear();
    cluster.start(0, false);
    cluster.start(1, false);
    run_for(&mut cluster, delay_ms, |_| {});
    cluster.leave(2);
    let mut waited_ms = 0;
    while !core(&cluster, 2).may_stop() && waited_ms < 5_000 {
        run_for(&mut cluster, 50, |_| {});
        waited_ms += 50;
    }
    cluster.wipe(2);
    run_for(&mut cluster, 6_000, |_| {});
    let read = cluster.request(0, CoreRequest::ReadConfiguration);
    let again = cluster.request(3, CoreRequest::AcquireLease { key: 7, token: 22, time_left_ms: 100 });
    let next = cluster.next_configuration();
    let next = cluster.request(1, CoreRequest::ReplaceConfiguration(next));
    run_for(&mut cluster, 3_500, |_| {});
    let [read, again, next] = [read, again, next].map(|call| cluster.responses.get(&call));
    let continues = matches!(read, Some(CoreResponse::Register(Some(value))) if value.version >= 2)
        && again == Some(&CoreResponse::LeaseHeld(LeaseOutcome::Pending))
        && next == Some(&CoreResponse::Accepted);
    let context =
        format!("left after {delay_ms} ms, stopped after {waited_ms} ms: {read:?} {again:?} {next:?}");
    match cluster.violation {
        None if continues => Ok(()),
        violation => Err(format!("{context} {violation:?}")),
    }
}

/// Guards against a replica that stops while it is the only one that stores a committed value.
#[test]
fn a_leaving_replica_stops_only_when_enough_others_store_its_state() {
    for delay_ms in (0..1_500).step_by(50) {
        assert_eq!(leave_with_the_last_copy(delay_ms, None), Ok(()));
    }
    let is_detected = (0..1_500)
        .step_by(50)
        .any(|delay_ms| leave_with_the_last_copy(delay_ms, Some(Mutation::StopAtOnce)).is_err());
    assert!(is_detected, "the mutation StopAtOnce was not detected");
}

/// Makes this many changes while a replica is down and the others restart now and then, and starts the replica again.
/// Returns the simulated milliseconds until it stores the newest configuration.
fn catch_up_time_ms(changes: u64) -> u64 {
    let mut cluster = SimulatedCluster::new(changes, 3, 3, 3, None);
    cluster.now += 600 * MS;
    (0..3).for_each(|node| cluster.tick(node));
    cluster.deliver_on_open_links();
    cluster.crash(2);
    for change in 0..changes {
        let value = cluster.next_configuration();
        let node = (change % 2) as usize;
        let call = cluster.request(node, CoreRequest::ReplaceConfiguration(value.clone()));
        cluster.deliver_on_open_links();
        assert_eq!(cluster.responses.get(&call), Some(&CoreResponse::Accepted), "change {change}");
        if change % 97 == 96 {
            let node = 1 - node;
            cluster.crash(node);
            cluster.start(node, false);
            cluster.deliver_on_open_links();
        }
        if change % 10 == 0 {
            let name = format!("m/{}", change % 70);
            let named = cluster.register(&name, change + 1);
            cluster.request(node, CoreRequest::ReplaceRegister(named));
            cluster.request(
                node,
                CoreRequest::AcquireLease { key: u128::from(change), token: change + 1, time_left_ms: 100 },
            );
            cluster.deliver_on_open_links();
        }
        cluster.now += 5 * MS;
    }
    run_for(&mut cluster, 1_500, |_| {});
    let stored = |cluster: &SimulatedCluster, node: usize| {
        let core = core(cluster, node);
        let registers: Vec<_> =
            core.registers().filter_map(|named| Some((named.name, named.stored?.revision()))).collect();
        (core.stored_configuration().map(|value| value.revision()), registers)
    };
    let newest = stored(&cluster, 0);
    assert_eq!(stored(&cluster, 1), newest);
    cluster.start(2, false);
    let restarted_at = cluster.now;
    while stored(&cluster, 2) != newest {
        assert!(cluster.now < restarted_at + 5_000 * MS, "not caught up after {changes} changes");
        run_for(&mut cluster, 10, |_| {});
    }
    let elapsed_ms = (cluster.now - restarted_at) / MS;
    assert!(core(&cluster, 2).is_voting() && cluster.violation.is_none(), "{:?}", cluster.violation);
    assert!(cluster.nodes[2].disk.acceptors.is_empty());
    elapsed_ms
}

/// Guards against a restarted replica that never catches up, or takes longer the more changes it missed.
#[test]
fn a_replica_catches_up_after_hundreds_of_changes_as_fast_as_after_one() {
    let many = std::env::var("CHANGES").ok().and_then(|changes| changes.parse().ok()).unwrap_or(1_000);
    let took = [1, 100, many].map(catch_up_time_ms);
    println!("caught up after 1, 100, {many} changes: {took:?} ms");
    assert!(took.iter().all(|took| *took <= 500), "{took:?}");
}
