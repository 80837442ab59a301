//! Responses that are kept for repeated requests: one that was acknowledged is still known after several losses, each of
//! which the cluster tolerates alone. `cluster` fails a lease call that does not learn of an acknowledged outcome.

mod cluster;

use std::collections::BTreeSet;

use cluster::{MS, SimulatedCluster, address_of, response_of};
use ochreshed_consensus::core::Mutation;
use ochreshed_consensus::messages::*;
use rand::Rng;

const TIME_LEFT_MS: u32 = 2_500;
/// How long a replica that has returned counts as lost.
const CATCH_UP_MS: u64 = 4_000;
/// A completion is acknowledged within this time while a majority runs.
const ACKNOWLEDGED_WITHIN_MS: u64 = 2_000;

fn acquire(cluster: &mut SimulatedCluster, node: usize, key: LeaseKey) -> (LeaseToken, u64) {
    let token = cluster.token();
    let request = CoreRequest::AcquireLease { key, token, time_left_ms: TIME_LEFT_MS };
    (token, cluster.request(node, request))
}

fn complete(cluster: &mut SimulatedCluster, node: usize, key: LeaseKey, token: LeaseToken) -> u64 {
    let outcome = Some(LeaseOutcome::Completed(response_of(token)));
    cluster.request(node, CoreRequest::CompleteLease { key, token, outcome })
}

/// Runs the request of a key at a node, and returns the token and the call that reports the outcome.
fn run_request(cluster: &mut SimulatedCluster, node: usize, key: LeaseKey) -> (LeaseToken, u64) {
    let (token, call) = acquire(cluster, node, key);
    cluster.run_for(100);
    assert_eq!(cluster.responses.get(&call), Some(&CoreResponse::LeaseGranted), "key {key} at node {node}");
    (token, complete(cluster, node, key, token))
}

/// Repeats the request of each key at each node, and expects its response.
fn assert_all_known(cluster: &mut SimulatedCluster, tokens: &[(LeaseKey, LeaseToken)]) {
    for node in 0..3 {
        let calls: Vec<u64> = tokens.iter().map(|(key, _)| acquire(cluster, node, *key).1).collect();
        cluster.run_for(1_500);
        assert_eq!(cluster.violation, None);
        let is_known = |(call, (_, token)): &(&u64, &(LeaseKey, LeaseToken))| {
            let outcome = LeaseOutcome::Completed(response_of(*token));
            cluster.responses.get(call) == Some(&CoreResponse::LeaseHeld(outcome))
        };
        let unknown = calls.iter().zip(tokens).filter(|answered| !is_known(answered)).count();
        assert_eq!(unknown, 0, "of {} responses at node {node}", tokens.len());
    }
}

/// Guards against 409 for keys that were answered with 200: their responses had a single copy while one replica was away
/// for over 20 s, and it was lost with the disk of another one after that.
#[test]
fn kept_responses_outlive_an_absence_and_a_later_disk_loss() {
    let mut cluster = SimulatedCluster::new(1, 3, 3, 3, None);
    cluster.run_for(600);
    cluster.crash(0);
    cluster.run_for(4_000);
    let mut tokens = Vec::new();
    for key in 0..30 {
        let (token, completion) = run_request(&mut cluster, 1 + key as usize % 2, key);
        cluster.run_for(500);
        assert_eq!(cluster.responses.get(&completion), Some(&CoreResponse::Accepted), "key {key}");
        tokens.push((key, token));
    }
    cluster.run_for(22_000);
    cluster.start(0, false);
    cluster.run_for(CATCH_UP_MS);
    cluster.wipe(1);
    cluster.run_for(1_000);
    cluster.start(1, false);
    cluster.run_for(CATCH_UP_MS);
    assert_all_known(&mut cluster, &tokens);
}

/// Guards against a response whose only other copy went to a replica that had just failed: nobody noticed, and the replica
/// that made the copies restarted and forgot that one was missing.
#[test]
fn a_response_completed_while_a_failure_is_unnoticed_has_a_second_copy_before_it_is_acknowledged() {
    for failed in 0..3 {
        let mut cluster = SimulatedCluster::new(2, 3, 3, 3, None);
        cluster.run_for(600);
        let (first, second) = ((failed + 1) % 3, (failed + 2) % 3);
        let mut started = Vec::new();
        for key in 0..20 {
            let (token, call) = acquire(&mut cluster, first, key);
            started.push((key, token, call));
        }
        cluster.run_for(100);
        cluster.crash(failed);
        let completions: Vec<u64> =
            started.iter().map(|(key, token, _)| complete(&mut cluster, first, *key, *token)).collect();
        cluster.run_for(ACKNOWLEDGED_WITHIN_MS);
        let is_accepted = |call: &u64| cluster.responses.get(call) == Some(&CoreResponse::Accepted);
        assert!(completions.iter().all(is_accepted), "{failed} failed");
        cluster.crash(first);
        cluster.start(first, false);
        cluster.run_for(30_000);
        cluster.start(failed, false);
        cluster.run_for(CATCH_UP_MS);
        cluster.wipe(first);
        cluster.start(first, false);
        cluster.run_for(CATCH_UP_MS);
        cluster.crash(second);
        cluster.start(second, false);
        cluster.run_for(CATCH_UP_MS);
        let tokens: Vec<(LeaseKey, LeaseToken)> =
            started.iter().map(|(key, token, _)| (*key, *token)).collect();
        assert_all_known(&mut cluster, &tokens);
    }
}

/// A completion that a client reports until a replica acknowledges it, as outbound proxies do.
struct Completion {
    key: LeaseKey,
    token: LeaseToken,
    node: usize,
    call: u64,
    sent_at: u64,
}

/// A cluster with clients that run requests all the time, and losses one after the other.
struct LossSequence {
    cluster: SimulatedCluster,
    next_key: LeaseKey,
    acquiring: Vec<Completion>,
    completing: Vec<Completion>,
    acknowledged: Vec<(LeaseKey, LeaseToken)>,
    /// The node that is lost or was lost less than `CATCH_UP_MS` ago.
    lost: BTreeSet<usize>,
}

impl LossSequence {
    fn new(seed: u64) -> LossSequence {
        let mut cluster = SimulatedCluster::new(seed, 3 + seed as usize % 2, 3, 3, None);
        cluster.run_for(600);
        LossSequence {
            cluster,
            next_key: 0,
            acquiring: Vec::new(),
            completing: Vec::new(),
            acknowledged: Vec::new(),
            lost: BTreeSet::new(),
        }
    }

    fn random_sound_node(&mut self) -> usize {
        let sound: Vec<usize> = (0..3).filter(|node| !self.lost.contains(node)).collect();
        sound[self.cluster.rng.random_range(0..sound.len())]
    }

    /// Runs for this time, with requests and repeats of earlier ones through any sound node.
    fn run_requests(&mut self, ms: u64) {
        let end = self.cluster.now + ms * MS;
        while self.cluster.now < end {
            self.begin_request();
            self.report_outcomes();
            self.collect_acknowledgements();
            self.cluster.run_for(100);
            assert_eq!(self.cluster.violation, None);
        }
    }

    fn begin_request(&mut self) {
        let node = self.random_sound_node();
        let repeated = !self.acknowledged.is_empty() && self.cluster.rng.random_range(0..3) == 0;
        if repeated {
            let index = self.cluster.rng.random_range(0..self.acknowledged.len());
            let (key, _) = self.acknowledged[index];
            acquire(&mut self.cluster, node, key);
            return;
        }
        let key = self.next_key;
        self.next_key += 1;
        let (token, call) = acquire(&mut self.cluster, node, key);
        self.acquiring.push(Completion { key, token, node, call, sent_at: self.cluster.now });
    }

    fn report_outcomes(&mut self) {
        for request in std::mem::take(&mut self.acquiring) {
            match self.cluster.responses.get(&request.call) {
                Some(CoreResponse::LeaseGranted) => self.report_outcome(request.key, request.token),
                // A request that got no lease in time is given up.
                None if self.cluster.now < request.sent_at + 1_500 * MS => self.acquiring.push(request),
                _ => {}
            }
        }
    }

    fn report_outcome(&mut self, key: LeaseKey, token: LeaseToken) {
        let node = self.random_sound_node();
        let call = complete(&mut self.cluster, node, key, token);
        self.completing.push(Completion { key, token, node, call, sent_at: self.cluster.now });
    }

    fn collect_acknowledgements(&mut self) {
        for completion in std::mem::take(&mut self.completing) {
            if self.cluster.responses.get(&completion.call) == Some(&CoreResponse::Accepted) {
                self.acknowledged.push((completion.key, completion.token));
            } else if self.lost.contains(&completion.node) {
                self.report_outcome(completion.key, completion.token);
            } else {
                let waited_ms = (self.cluster.now - completion.sent_at) / MS;
                assert!(waited_ms < ACKNOWLEDGED_WITHIN_MS, "not acknowledged for {waited_ms} ms");
                self.completing.push(completion);
            }
        }
    }

    /// Loses one replica for a while: its process, its links or its disk.
    fn lose_one(&mut self) {
        let node = self.random_sound_node();
        self.lost.insert(node);
        let absence_ms = [300, 900, 3_000, 25_000][self.cluster.rng.random_range(0..4)];
        match self.cluster.rng.random_range(0..3) {
            0 => {
                self.cluster.crash(node);
                self.run_requests(absence_ms);
                self.cluster.start(node, false);
            }
            1 => {
                self.cluster.cut_off(node);
                self.run_requests(absence_ms);
                self.cluster.cut_links.clear();
            }
            _ => {
                self.cluster.wipe(node);
                self.run_requests(absence_ms);
                self.cluster.start(node, false);
            }
        }
        self.run_requests(CATCH_UP_MS);
        self.lost.remove(&node);
    }
}

/// Guards against other orders of tolerated losses that leave a response with one copy or none: processes, links and disks,
/// for less time than it takes to notice and for longer than any update is kept.
#[test]
fn kept_responses_outlive_any_sequence_of_tolerated_losses() {
    for seed in 0..20 {
        let mut sequence = LossSequence::new(seed);
        for _ in 0..8 {
            sequence.lose_one();
        }
        sequence.run_requests(ACKNOWLEDGED_WITHIN_MS);
        println!("seed {seed}: {} responses acknowledged", sequence.acknowledged.len());
        assert!(sequence.acknowledged.len() > 100, "seed {seed}");
        let acknowledged = std::mem::take(&mut sequence.acknowledged);
        assert_all_known(&mut sequence.cluster, &acknowledged);
    }
}

fn cut_link(cluster: &mut SimulatedCluster, one: usize, other: usize) {
    cluster.cut_links.insert((address_of(one), other));
    cluster.cut_links.insert((address_of(other), one));
}

/// A new member that has not caught up stores an outcome beside one voter, and its epoch is rolled back. Returns whether
/// the outcome was acknowledged, and the violation found.
fn roll_back_after_completion(mutation: Option<Mutation>) -> (bool, Option<String>) {
    const KEY: LeaseKey = 7;
    let mut cluster = SimulatedCluster::with(1, 4, 3, 3, mutation, |cluster| cluster.eager_rollback = true);
    cluster.run_for(600);
    let (token, _) = acquire(&mut cluster, 0, KEY);
    cluster.run_for(100);
    // Node 3 takes the place of node 2, and gets no snapshot but that of node 0.
    for (one, other) in [(3, 1), (3, 2), (1, 2)] {
        cut_link(&mut cluster, one, other);
    }
    cluster.leave(2);
    let epoch = |cluster: &SimulatedCluster, node: usize| {
        cluster.nodes[node].core.as_ref().expect("the node runs").membership().epoch
    };
    for _ in 0..100 {
        cluster.run_for(50);
        if epoch(&cluster, 0) == 2 && epoch(&cluster, 3) == 2 {
            break;
        }
    }
    cut_link(&mut cluster, 0, 1);
    let completion = complete(&mut cluster, 0, KEY, token);
    cluster.run_for(600);
    let is_acknowledged = cluster.responses.get(&completion) == Some(&CoreResponse::Accepted);
    cluster.cut_links.clear();
    cluster.cut_off(0);
    cut_link(&mut cluster, 3, 1);
    cut_link(&mut cluster, 3, 2);
    cluster.run_for(3_000);
    assert!(cluster.memberships.values().any(|membership| membership.rolled_back));
    cluster.wipe(0);
    cluster.cut_links.clear();
    cluster.cut_off(3);
    cluster.start(0, false);
    cluster.run_for(CATCH_UP_MS);
    acquire(&mut cluster, 1, KEY);
    cluster.run_for(1_500);
    (is_acknowledged, cluster.violation)
}

/// Guards against counting a member that has not caught up among those that store an outcome: if its epoch is rolled back,
/// its copy does not count any more.
#[test]
fn an_outcome_is_not_acknowledged_by_a_member_without_a_vote() {
    assert_eq!(roll_back_after_completion(None), (false, None));
    let (is_acknowledged, violation) = roll_back_after_completion(Some(Mutation::ReportWritesWithoutVote));
    assert!(is_acknowledged && violation.is_some(), "acknowledged: {is_acknowledged}, {violation:?}");
}
