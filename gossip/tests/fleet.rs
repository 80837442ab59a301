//! Fleets of gossip nodes in simulated time, through network partitions, suspension, crashes, message loss, lists of 10,000
//! servers, and replicas that received different changes of the same server.

mod simulated_fleet;

use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_gossip::{MS, S};
use ochreshed_membership::swim::SwimConfig;
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use simulated_fleet::{SimulatedFleet, address, name};

const SERVERS: [(&str, ServerStatus); 3] =
    [("s1", ServerStatus::Serving), ("s2", ServerStatus::Serving), ("s3", ServerStatus::Serving)];

/// A fleet in which all nodes have the same list and know each other.
fn connected_fleet(size: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(size, seed);
    fleet.run_until(60 * S, 100 * MS, SimulatedFleet::all_connected);
    (0..size).for_each(|node| fleet.apply_discovery(node, 1, true, &SERVERS));
    fleet.run(S);
    assert!(fleet.replicas_agree());
    fleet
}

/// Whether 99% of the nodes hold this status of a server.
fn is_known(fleet: &SimulatedFleet, server: &str, status: ServerStatus) -> bool {
    fleet.share(|node, _| fleet.status(node, server) == Some(status)) >= 0.99
}

#[test]
fn a_drain_reaches_99_percent_within_a_second_and_with_a_third_lost_within_two() {
    for (loss, limit) in [(0.0, S), (0.33, 2 * S)] {
        // The time until each node knew it, over ten fleets.
        let mut delays = Vec::new();
        for seed in 1..11 {
            let mut fleet = connected_fleet(24, seed);
            fleet.loss = loss;
            fleet.run(5 * S);
            fleet.apply_discovery(seed as usize, 2, false, &[("s2", ServerStatus::Draining)]);
            let started_at = fleet.now;
            let mut known_after = [None; 24];
            while known_after.iter().any(Option::is_none) {
                assert!(fleet.now - started_at < 20 * S, "a node never learns of the drain, seed {seed}");
                fleet.run(20 * MS);
                for (node, known_after) in known_after.iter_mut().enumerate() {
                    if fleet.status(node, "s2") == Some(ServerStatus::Draining) {
                        known_after.get_or_insert(fleet.now - started_at);
                    }
                }
            }
            delays.extend(known_after.iter().flatten().copied());
        }
        delays.sort_unstable();
        let p99 = delays[delays.len() * 99 / 100];
        println!("99% after {} ms, all after {} ms, loss {loss}", p99 / MS, delays[delays.len() - 1] / MS);
        assert!(p99 <= limit, "{} ms with loss {loss}", p99 / MS);
    }
}

#[test]
fn halves_with_different_changes_of_a_server_agree_two_seconds_after_their_partition() {
    for seed in 1..4 {
        let mut fleet = connected_fleet(24, seed);
        fleet.is_cut = Box::new(|from, to| (from < 12) != (to < 12));
        fleet.run(S);
        // One half learns that s1 drains and later that it serves again; the other half, in between, that it is gone.
        fleet.apply_discovery(3, 2, false, &[("s1", ServerStatus::Draining), ("s3", ServerStatus::Draining)]);
        fleet.apply_discovery(15, 3, false, &[("s1", ServerStatus::Gone)]);
        fleet.run(30 * S);
        fleet.apply_discovery(4, 4, false, &[("s1", ServerStatus::Serving)]);
        fleet.run(30 * S);
        assert_eq!(
            (fleet.status(0, "s1"), fleet.status(23, "s1")),
            (Some(ServerStatus::Serving), Some(ServerStatus::Gone))
        );
        fleet.is_cut = Box::new(|_, _| false);
        let took = fleet.run_until(10 * S, 50 * MS, |fleet| fleet.replicas_agree());
        assert!(took <= 2 * S, "{} ms, seed {seed}", took / MS);
        assert!(is_known(&fleet, "s1", ServerStatus::Serving));
        assert!(is_known(&fleet, "s3", ServerStatus::Draining));
    }
}

#[test]
fn a_change_spreads_through_a_fleet_in_which_three_nodes_cannot_send() {
    let mut fleet = connected_fleet(12, 5);
    // Nothing arrives from the first three nodes, which receive from all others.
    fleet.is_cut = Box::new(|from, _| from < 3);
    fleet.run(10 * S);
    fleet.apply_discovery(7, 2, false, &[("s2", ServerStatus::Draining)]);
    fleet.run_until(5 * S, 50 * MS, |fleet| {
        fleet.share(|node, _| node < 3 || fleet.status(node, "s2") == Some(ServerStatus::Draining)) >= 1.0
    });
    fleet.is_cut = Box::new(|_, _| false);
    fleet.run_until(3 * S, 50 * MS, |fleet| fleet.replicas_agree());
}

#[test]
fn a_node_that_returns_is_caught_up_half_a_second_after_its_first_contact() {
    for seed in 1..4 {
        let mut fleet = connected_fleet(12, seed);
        // Node 5 is suspended for 30 s, node 6 crashes and starts with nothing; both miss the changes.
        fleet.suspended.insert(5);
        fleet.crash(6);
        fleet.apply_discovery(0, 2, false, &[("s1", ServerStatus::Gone), ("s2", ServerStatus::Draining)]);
        fleet.run(30 * S);
        fleet.suspended.remove(&5);
        fleet.process_outputs(5);
        fleet.start(6);
        let is_caught_up =
            |fleet: &SimulatedFleet, node| fleet.status(node, "s2") == Some(ServerStatus::Draining);
        let contact =
            fleet.run_until(5 * S, 10 * MS, |fleet| fleet.nodes[&6].swim().live_members().count() > 0);
        let caught_up = fleet.run_until(5 * S, 10 * MS, |fleet| is_caught_up(fleet, 6));
        assert!(
            caught_up <= S / 2,
            "{} ms after contact at {} ms, seed {seed}",
            caught_up / MS,
            contact / MS
        );
        fleet.run_until(2 * S, 10 * MS, |fleet| is_caught_up(fleet, 5) && fleet.replicas_agree());
        // The out-of-date replica of the suspended node takes nothing back.
        assert!(is_known(&fleet, "s1", ServerStatus::Gone));
    }
}

#[test]
fn a_drain_survives_a_rolling_restart_of_all_nodes() {
    let mut fleet = connected_fleet(8, 3);
    fleet.apply_discovery(2, 2, false, &[("s3", ServerStatus::Draining)]);
    fleet.run_until(2 * S, 50 * MS, |fleet| fleet.replicas_agree());
    for node in 0..8 {
        fleet.crash(node);
        fleet.run(S);
        fleet.start(node);
        fleet.run_until(10 * S, 50 * MS, |fleet| fleet.status(node, "s3") == Some(ServerStatus::Draining));
    }
    fleet.run_until(10 * S, 50 * MS, |fleet| fleet.replicas_agree() && fleet.all_connected());
}

/// Guards against slow or flooding catch-up with a list of 10,000 servers: by datagrams alone it takes half a minute.
#[test]
fn a_list_of_ten_thousand_servers_is_synchronized_over_streams_after_a_partition() {
    let mut fleet = connected_fleet(6, 2);
    let names: Vec<String> = (0..10_000).map(|number| format!("cell-7/srv-{number:05}")).collect();
    let list: Vec<(&str, ServerStatus)> =
        names.iter().map(|name| (name.as_str(), ServerStatus::Serving)).collect();
    (0..6).for_each(|node| fleet.apply_discovery(node, 2, true, &list));
    fleet.run(3 * S);
    assert!(fleet.replicas_agree());
    // A list that all have from discovery is not gossiped.
    let sent_before: u64 = fleet.sent_bytes.iter().sum();
    fleet.run(10 * S);
    let bytes_per_s = (fleet.sent_bytes.iter().sum::<u64>() - sent_before) / 60;
    assert!(bytes_per_s < 1_000, "{bytes_per_s} bytes a second a node");
    fleet.is_cut = Box::new(|from, to| (from < 3) != (to < 3));
    fleet.run(5 * S);
    let drained: Vec<(&str, ServerStatus)> =
        names.iter().step_by(7).map(|name| (name.as_str(), ServerStatus::Draining)).collect();
    fleet.apply_discovery(0, 3, false, &drained);
    fleet.run_until(60 * S, 100 * MS, |fleet| {
        fleet.nodes[&1].store().digest() == fleet.nodes[&0].store().digest()
    });
    fleet.run(30 * S);
    fleet.is_cut = Box::new(|_, _| false);
    let took = fleet.run_until(20 * S, 50 * MS, |fleet| fleet.replicas_agree());
    let stream_syncs: u64 = fleet.nodes.values().map(|node| node.traffic().stream_syncs).sum();
    assert!(took <= 3 * S && stream_syncs > 0, "{} ms, {stream_syncs} stream syncs", took / MS);
}

#[test]
fn outcomes_reach_the_own_zone_once_and_in_proportion() {
    let mut fleet = connected_fleet(12, 4);
    fleet.record_outcomes(0, "s1", OutcomeCounts { succeeded: 9, failed: 0, lost: 0 });
    fleet.run(300 * MS);
    assert!(fleet.received_outcomes.is_empty(), "outcomes were sent although nothing failed");
    fleet.record_outcomes(0, "s1", OutcomeCounts { succeeded: 0, failed: 1, lost: 2 });
    fleet.record_outcomes(0, "s2", OutcomeCounts { succeeded: 5, failed: 0, lost: 0 });
    fleet.run(2 * S);
    // 3 of 12 were unsuccessful: one of the four outcomes that count.
    let scaled = OutcomeCounts { succeeded: 3, failed: 0, lost: 1 };
    for node in 1..12 {
        let received = fleet.received_outcomes.get(&node);
        let at_s1 = received.and_then(|received| received.get("s1")).copied();
        let expected = (node % 3 == 0).then_some(scaled);
        assert_eq!(at_s1, expected, "n{node}");
        assert!(received.is_none_or(|received| !received.contains_key("s2")));
    }
    // Successes of more than two spans ago are not sent with a failure.
    fleet.record_outcomes(0, "s1", OutcomeCounts { succeeded: 9, failed: 0, lost: 0 });
    fleet.run(3 * S);
    fleet.received_outcomes.clear();
    fleet.record_outcomes(0, "s1", OutcomeCounts { succeeded: 0, failed: 0, lost: 1 });
    fleet.run(2 * S);
    assert_eq!(fleet.received_outcomes[&3]["s1"], OutcomeCounts { succeeded: 0, failed: 0, lost: 1 });
}

#[test]
fn of_two_live_processes_with_one_name_one_goes_silent() {
    let mut fleet = connected_fleet(6, 6);
    // The second process has the name of node 2 and the address of number 9.
    let settings = NodeSettings {
        fleet: "test".into(),
        name: name(2),
        address: address(9),
        zone: "z0".into(),
        start_id: 1,
        seeds: vec![address(0)],
        membership: SwimConfig::default(),
    };
    fleet.sent_bytes.resize(10, 0);
    fleet.nodes.insert(9, GossipNode::new(settings, fleet.now));
    fleet.process_outputs(9);
    fleet.run(20 * S);
    let is_active = |node: usize| {
        fleet.nodes[&node].next_tick_at() < fleet.now + 60 * S
            && fleet.nodes[&node].swim().next_tick_at() < u64::MAX
    };
    assert!(is_active(2) != is_active(9), "active: {} and {}", is_active(2), is_active(9));
    assert!([0, 1, 3, 4, 5].iter().all(|node| fleet.nodes[node].swim().live_members().count() == 5));
}

#[test]
fn bytes_that_are_no_message_are_rejected_without_an_answer() {
    let mut fleet = connected_fleet(3, 7);
    let mut garbage = vec![7u8; 900];
    for length in [0, 1, 11, 15, 40, 900] {
        garbage.truncate(900);
        let node = fleet.nodes.get_mut(&0).expect("n0");
        node.receive(fleet.now, address(50), &garbage[..length]);
        let mut answers = 0;
        while let Some(output) = node.poll_output() {
            answers += usize::from(matches!(output, Output::Send { .. }));
        }
        assert_eq!(answers, 0, "answers to {length} bytes");
    }
    let rejected = &fleet.nodes[&0].traffic().rejected;
    assert_eq!(rejected.values().sum::<u64>(), 6);
    assert!(rejected.len() <= 5, "the number of reasons grows with the bytes received");
}
