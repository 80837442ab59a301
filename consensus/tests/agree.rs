//! The core's agreement, one story at a time.

mod stewards;

use std::sync::Arc;

use ochreshed_consensus::core::{Core, Mutation};
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stewards::{MS, World, answer, at};

fn claim(world: &mut World, node: usize, key: LeaseKey, token: LeaseToken) -> u64 {
    world.want(node, CoreRequest::AcquireLease { key, token, time_left_ms: 1000 })
}

fn settle(world: &mut World, node: usize, key: LeaseKey, token: LeaseToken, outcome: Option<LeaseOutcome>) {
    world.want(node, CoreRequest::CompleteLease { key, token, outcome });
}

fn core(world: &World, node: usize) -> &Core {
    world.nodes[node].core.as_ref().unwrap()
}

#[test]
fn a_claim_is_granted_in_one_round() {
    let mut world = World::new(1, 3, 3, 3, None);
    let call = claim(&mut world, 0, 7, 21);
    assert_eq!(world.answers.get(&call), None);
    world.settle_down();
    assert_eq!(world.answers[&call], CoreResponse::LeaseGranted);
    // More than half were asked, and no more.
    let holders: Vec<usize> = (0..3).filter(|node| core(&world, *node).lease(7).is_some()).collect();
    assert_eq!(holders.len(), 2);
    for node in holders {
        assert_eq!(core(&world, node).lease(7).unwrap().token, 21);
        assert_eq!(core(&world, node).lease_counts(), (1, 0, 0));
        assert!(world.nodes[node].disk.claims.contains_key(&7));
    }
}

#[test]
fn whoever_was_not_asked_at_first_is_when_another_is_silent() {
    for silent in 1..3 {
        let mut world = World::new(1, 3, 3, 3, None);
        let call = claim(&mut world, 0, 7, 21);
        let end = world.now + 200 * MS;
        while world.now < end {
            world.now += 10 * MS;
            (0..3).filter(|node| *node != silent).for_each(|node| world.tick(node));
            (0..3).for_each(|node| world.sync(node, usize::MAX));
            while !world.bag.is_empty() {
                world.bag.retain(|flying| flying.to != silent);
                (0..world.bag.len()).for_each(|_| world.deliver(0));
                (0..3).for_each(|node| world.sync(node, usize::MAX));
            }
        }
        assert_eq!(world.answers.get(&call), Some(&CoreResponse::LeaseGranted), "silent: {silent}");
    }
}

#[test]
fn no_grant_before_the_disks_are_safe() {
    let mut world = World::new(1, 3, 3, 3, None);
    let call = claim(&mut world, 0, 7, 21);
    while !world.bag.is_empty() {
        world.deliver(0);
    }
    assert_eq!(world.answers.get(&call), None);
    world.sync(1, usize::MAX);
    while !world.bag.is_empty() {
        world.deliver(0);
    }
    assert_eq!(world.answers.get(&call), None);
    world.sync(0, usize::MAX);
    while !world.bag.is_empty() {
        world.deliver(0);
    }
    assert_eq!(world.answers[&call], CoreResponse::LeaseGranted);
}

#[test]
fn a_repeat_waits_and_gets_the_answer() {
    let mut world = World::new(1, 4, 3, 3, None);
    claim(&mut world, 0, 7, 21);
    world.settle_down();
    // Through another member, and through one that is none.
    let calls = [claim(&mut world, 1, 7, 22), claim(&mut world, 3, 7, 23)];
    world.calm(200 * MS);
    assert!(calls.iter().all(|call| !world.answers.contains_key(call)));
    settle(&mut world, 2, 7, 21, Some(LeaseOutcome::Completed(answer(21))));
    world.calm(200 * MS);
    for call in calls {
        assert_eq!(world.answers[&call], CoreResponse::LeaseHeld(LeaseOutcome::Completed(answer(21))));
    }
    // One that does not keep the answer itself finds it at another.
    let late = claim(&mut world, 0, 7, 24);
    world.calm(50 * MS);
    assert_eq!(world.answers[&late], CoreResponse::LeaseHeld(LeaseOutcome::Completed(answer(21))));
    assert_eq!(core(&world, 0).lease_counts(), (0, 0, 1));
}

/// Guards against answers that take all memory, and against keys that run again for want of it.
#[test]
fn above_its_bytes_a_steward_drops_the_oldest_answers_and_keeps_their_claims() {
    let mut world = World::with(1, 1, 1, 1, None, |world| world.config.max_response_bytes = 400);
    for key in 1..=3 {
        claim(&mut world, 0, key, key as LeaseToken);
        world.settle_down();
        settle(
            &mut world,
            0,
            key,
            key as LeaseToken,
            Some(LeaseOutcome::Completed(answer(key as LeaseToken))),
        );
        world.calm(100 * MS);
    }
    assert_eq!(core(&world, 0).response_cache_usage(), (336, 400, 1));
    assert_eq!(core(&world, 0).lease_counts(), (0, 1, 2));
    let calls = [1, 2, 3].map(|key| claim(&mut world, 0, key, 20 + key as LeaseToken));
    world.calm(100 * MS);
    assert_eq!(world.answers[&calls[0]], CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate));
    assert_eq!(world.answers[&calls[2]], CoreResponse::LeaseHeld(LeaseOutcome::Completed(answer(3))));
    // So it is on disk, and in the next life, whose bound is lower.
    world.crash(0);
    world.config.max_response_bytes = 200;
    world.start(0, false);
    world.settle_down();
    assert_eq!(core(&world, 0).response_cache_usage(), (168, 200, 1));
    assert_eq!(world.nodes[0].disk.claims[&2].outcome, LeaseOutcome::Indeterminate);
    // One that is too long by itself.
    let long = StoredResponse { status: 200, headers: Vec::new(), body: vec![0; 300] };
    claim(&mut world, 0, 9, 9);
    world.settle_down();
    settle(&mut world, 0, 9, 9, Some(LeaseOutcome::Completed(Arc::new(long))));
    world.calm(100 * MS);
    assert_eq!(core(&world, 0).lease(9).unwrap().outcome, LeaseOutcome::Indeterminate);
    assert_eq!(core(&world, 0).response_cache_usage().0, 168);
}

#[test]
fn the_wait_for_an_open_claim_ends() {
    let mut world = World::new(1, 3, 3, 3, None);
    claim(&mut world, 0, 7, 21);
    world.settle_down();
    let call = claim(&mut world, 1, 7, 22);
    // A third of the 1,000 ms that its request has left.
    world.calm(300 * MS);
    assert_eq!(world.answers.get(&call), None);
    world.calm(50 * MS);
    assert_eq!(world.answers[&call], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

#[test]
fn a_freed_key_goes_to_the_one_that_waits() {
    let mut world = World::new(1, 3, 3, 3, None);
    claim(&mut world, 0, 7, 21);
    world.settle_down();
    let call = claim(&mut world, 1, 7, 22);
    world.settle_down();
    settle(&mut world, 2, 7, 21, None);
    world.calm(200 * MS);
    assert_eq!(world.answers[&call], CoreResponse::LeaseGranted);
    // The freed token is never good again.
    let again = claim(&mut world, 0, 7, 21);
    world.calm(600 * MS);
    assert_ne!(world.answers[&again], CoreResponse::LeaseGranted);
}

#[test]
fn claims_need_more_than_half() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.crash(1);
    world.crash(2);
    let call = claim(&mut world, 0, 7, 21);
    for _ in 0..30 {
        world.now += 50 * MS;
        world.tick(0);
        world.settle_down();
    }
    assert_eq!(world.answers[&call], CoreResponse::Unavailable);
    assert!(!core(&world, 0).has_quorum(world.now));
    // Its own grant stays: it cannot know whether another got it through elsewhere.
    assert_eq!(core(&world, 0).lease(7).unwrap().token, 21);
    world.calm(1000 * MS);
    assert!(core(&world, 0).has_quorum(world.now));
    let call = claim(&mut world, 2, 7, 21);
    world.settle_down();
    assert_eq!(world.answers[&call], CoreResponse::LeaseGranted);
}

#[test]
fn one_that_was_silent_is_told_what_it_missed() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.calm(300 * MS);
    world.crash(2);
    claim(&mut world, 0, 7, 21);
    claim(&mut world, 0, 8, 22);
    for _ in 0..20 {
        world.now += 50 * MS;
        world.tick(0);
        world.tick(1);
        world.settle_down();
    }
    settle(&mut world, 1, 8, 22, Some(LeaseOutcome::Indeterminate));
    world.settle_down();
    assert_eq!(core(&world, 1).lease_counts(), (1, 1, 0));
    world.calm(600 * MS);
    assert_eq!(core(&world, 2).lease_counts(), (1, 1, 0));
}

#[test]
fn claims_end_after_their_time() {
    let mut world = World::new(1, 3, 3, 3, None);
    claim(&mut world, 0, 7, 21);
    world.settle_down();
    world.now += world.config.lease_ttl;
    world.calm(400 * MS);
    for node in 0..3 {
        assert_eq!(core(&world, node).lease_counts(), (0, 0, 0));
        assert!(world.nodes[node].disk.claims.is_empty());
    }
}

#[test]
fn a_sheet_is_taken_read_and_safe_everywhere() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.calm(300 * MS);
    let none = world.want(1, CoreRequest::ReadConfiguration);
    world.settle_down();
    assert_eq!(world.answers[&none], CoreResponse::Register(None));
    let sheet = world.sheet();
    let call = world.want(0, CoreRequest::ReplaceConfiguration(sheet.clone()));
    world.settle_down();
    assert_eq!(world.answers[&call], CoreResponse::Accepted);
    let read = world.want(3, CoreRequest::ReadConfiguration);
    world.settle_down();
    assert_eq!(world.answers[&read], CoreResponse::Register(Some(sheet.clone())));
    world.calm(600 * MS);
    for node in 0..4 {
        assert_eq!(core(&world, node).committed_configuration(), Some(&sheet));
    }
    // The same again and an older one are there already.
    for sheet in [sheet, RegisterValue::new(0, vec![]).into()] {
        let call = world.want(2, CoreRequest::ReplaceConfiguration(sheet));
        assert_eq!(world.answers[&call], CoreResponse::Accepted);
    }
}

#[test]
fn many_sheets_at_once() {
    let mut world = World::new(1, 3, 3, 3, None);
    let calls: Vec<u64> = (0..200)
        .map(|n| {
            let sheet = world.sheet();
            world.want(n % 3, CoreRequest::ReplaceConfiguration(sheet))
        })
        .collect();
    world.calm(800 * MS);
    assert!(calls.iter().all(|call| world.answers[call] == CoreResponse::Accepted));
    let newest = core(&world, 0).committed_configuration().unwrap().revision();
    assert!((0..3).all(|node| core(&world, node).committed_configuration().unwrap().revision() == newest));
    assert_eq!(newest.version, world.next_version);
}

#[test]
fn all_of_the_core_goes_and_comes_back() {
    let mut world = World::new(1, 3, 3, 3, None);
    let sheet = world.sheet();
    world.want(0, CoreRequest::ReplaceConfiguration(sheet.clone()));
    claim(&mut world, 0, 7, 21);
    claim(&mut world, 1, 8, 22);
    settle(&mut world, 1, 8, 22, Some(LeaseOutcome::Completed(answer(22))));
    world.settle_down();
    for node in 0..3 {
        world.crash(node);
    }
    world.bag.clear();
    world.calm(500 * MS);
    assert_eq!(core(&world, 2).committed_configuration(), Some(&sheet));
    let calls = [claim(&mut world, 2, 7, 31), claim(&mut world, 2, 8, 32)];
    world.calm(600 * MS);
    assert_eq!(world.answers[&calls[0]], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
    assert_eq!(world.answers[&calls[1]], CoreResponse::LeaseHeld(LeaseOutcome::Completed(answer(22))));
    assert_eq!(core(&world, 2).membership().epoch, 1);
}

/// Two operators send different content under one version through two replicas, then again through any of them, also
/// after all were restarted: one is in force, the other is refused every time, nothing else changes.
#[test]
fn of_two_contents_under_one_version_one_is_taken_wherever_it_is_sent() {
    for seed in 0..20 {
        let mut world = World::new(seed, 4, 3, 3, None);
        world.calm(300 * MS);
        for version in [3, 4, 9] {
            let sheets = [b"one", b"two"].map(|text| Arc::new(RegisterValue::new(version, text.to_vec())));
            let first = [0, 1].map(|n| {
                let node = (seed as usize + n) % 4;
                world.want(node, CoreRequest::ReplaceConfiguration(sheets[n].clone()))
            });
            world.calm(800 * MS);
            let won = usize::from(world.answers[&first[1]] == CoreResponse::Accepted);
            assert_eq!(world.answers[&first[won]], CoreResponse::Accepted, "r{version}");
            assert_eq!(world.answers[&first[1 - won]], CoreResponse::Conflict, "r{version}");
            for round in 0..2 {
                for node in 0..4 {
                    let calls = [0, 1]
                        .map(|n| world.want(node, CoreRequest::ReplaceConfiguration(sheets[n].clone())));
                    world.calm(400 * MS);
                    assert_eq!(world.answers[&calls[won]], CoreResponse::Accepted, "r{version} at {node}");
                    assert_eq!(
                        world.answers[&calls[1 - won]],
                        CoreResponse::Conflict,
                        "r{version} at {node}"
                    );
                    let read = world.want(node, CoreRequest::ReadConfiguration);
                    world.calm(200 * MS);
                    assert_eq!(world.answers[&read], CoreResponse::Register(Some(sheets[won].clone())));
                }
                if round == 0 {
                    (0..4).for_each(|node| world.crash(node));
                    world.bag.clear();
                    world.calm(600 * MS);
                }
            }
        }
        assert_eq!(world.broken, None);
    }
}

/// Guards against orders that wait for the one disk that stands still, where those of the others are enough.
#[test]
fn an_order_is_taken_though_the_disk_of_the_replica_that_was_asked_stands_still() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.calm(300 * MS);
    let sheet = world.sheet();
    let order = world.want(0, CoreRequest::ReplaceConfiguration(sheet));
    for _ in 0..20 {
        [1, 2].into_iter().for_each(|node| world.sync(node, usize::MAX));
        (0..world.bag.len()).for_each(|_| world.deliver(0));
    }
    assert_eq!(world.answers.get(&order), Some(&CoreResponse::Accepted));
    assert!(world.nodes[0].disk.sheet.is_none() && world.broken.is_none());
}

/// Content was decided and hardly anybody holds it; one that accepted it loses its disk and comes back. Returns what a
/// second content under that version comes to.
fn second_content_after_a_lost_disk(mutation: Option<Mutation>) -> (Option<CoreResponse>, Option<String>) {
    let mut world = World::new(1, 4, 3, 3, mutation);
    world.calm(300 * MS);
    let first = Arc::new(RegisterValue::new(5, b"one".to_vec()));
    world.want(3, CoreRequest::ReplaceConfiguration(first));
    // The spare proposes; member 2 hears nothing of it, and nobody hears from the spare once it is decided.
    while core(&world, 3).stored_configuration().is_none() {
        (0..4).for_each(|node| world.sync(node, usize::MAX));
        world.bag.retain(|flying| flying.to != 2 || flying.letter.from.address != at(3));
        assert!(!world.bag.is_empty(), "the ballot ends");
        world.deliver(0);
    }
    world.bag.clear();
    world.crash(3);
    world.wipe(1);
    world.start(1, false);
    let others = [0, 1, 2];
    let go = |world: &mut World, ms: u64, nodes: &[usize]| {
        let end = world.now + ms * MS;
        while world.now < end {
            world.now += 50 * MS;
            nodes.iter().for_each(|node| world.tick(*node));
            world.settle_down();
        }
    };
    go(&mut world, 3_000, &others);
    assert!(core(&world, 1).is_voting() && core(&world, 1).membership().epoch == 2);
    // The other one that accepted it is away.
    world.crash(0);
    let second =
        world.want(2, CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(5, b"two".to_vec()))));
    go(&mut world, 1_000, &[1, 2]);
    (world.answers.get(&second).cloned(), world.broken)
}

#[test]
fn a_new_member_is_told_what_was_accepted_for_a_version() {
    assert_eq!(second_content_after_a_lost_disk(None), (Some(CoreResponse::Conflict), None));
    let (_, broken) = second_content_after_a_lost_disk(Some(Mutation::OmitAcceptedValuesFromSnapshot));
    assert_eq!(broken.as_deref(), Some(" r5: two contents are held"), "a mutation that does not tell");
}

fn keep(world: &mut World, node: usize, name: &str, version: u64) -> (u64, NamedRegister) {
    let paper = world.paper(name, version);
    (world.want(node, CoreRequest::ReplaceRegister(paper.clone())), paper)
}

/// Guards against a new member that votes before it holds all, where it takes many letters to tell it.
#[test]
fn papers_go_on_by_themselves_and_a_wiped_one_is_told_all() {
    let mut world = World::with(1, 4, 3, 3, None, |world| world.bulk = 100 << 10);
    let kept: Vec<_> = (0..40).map(|n| keep(&mut world, n % 3, &format!("m/{n}"), 7)).collect();
    world.calm(600 * MS);
    assert!(kept.iter().all(|(call, _)| world.answers[call] == CoreResponse::Accepted));
    // One that is no member holds them as well, and knows them as safe.
    let holds = |world: &World, node: usize| {
        let all = core(world, node)
            .registers()
            .filter(|paper| paper.stored.is_some() && paper.stored == paper.committed);
        all.map(|paper| (paper.name, paper.stored.expect("held").revision())).collect::<Vec<_>>()
    };
    let all = holds(&world, 0);
    assert_eq!(all.len(), 40);
    assert!((1..4).all(|node| holds(&world, node) == all));
    world.wipe(2);
    world.calm(1_500 * MS);
    assert!(core(&world, 2).is_voting() && holds(&world, 2) == all);
    // The other way round: those it was told of are there when one of those that told is lost.
    world.wipe(1);
    world.calm(1_500 * MS);
    let (call, last) = keep(&mut world, 2, "m/3", 8);
    world.calm(400 * MS);
    let read = world.want(0, CoreRequest::ReadRegister("m/3".into()));
    world.calm(100 * MS);
    assert_eq!(
        (&world.answers[&call], &world.answers[&read]),
        (&CoreResponse::Accepted, &CoreResponse::Register(Some(last.value)))
    );
    // All end at once and come back: it is known again what is safe.
    let all = holds(&world, 0);
    (0..4).for_each(|node| world.crash(node));
    world.bag.clear();
    world.calm(600 * MS);
    assert!(all.len() == 40 && (0..4).all(|node| holds(&world, node) == all));
}

/// Guards against a change that waits for beats where it is taken by a steward without a vote: no clock goes on here.
#[test]
fn what_a_steward_without_a_vote_takes_is_known_as_safe_by_all_at_once() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.calm(600 * MS);
    assert!(!core(&world, 3).is_voting());
    for version in 1..4 {
        let (call, paper) = keep(&mut world, 3, "m/a", version);
        world.settle_down();
        assert_eq!(world.answers[&call], CoreResponse::Accepted);
        for node in 0..4 {
            let safe =
                core(&world, node).registers().find_map(|of| of.committed).map(|sheet| sheet.revision());
            assert_eq!(safe, Some(paper.value.revision()), "{node}");
        }
    }
}

/// Guards against members that fill the core's memory.
#[test]
fn no_more_papers_than_there_is_room_for() {
    use ochreshed_consensus::core::named_registers::*;
    let mut world = World::new(1, 1, 1, 1, None);
    let full = |world: &mut World, name: &str, bytes: usize| {
        world.next_version += 1;
        let sheet = RegisterValue { version: world.next_version, digest: 1, bytes: vec![0; bytes] };
        let paper = NamedRegister { name: name.into(), value: Arc::new(sheet) };
        let call = world.want(0, CoreRequest::ReplaceRegister(paper));
        world.settle_down();
        world.answers.get(&call).expect(name) == &CoreResponse::CapacityExceeded
    };
    assert!(full(&mut world, "m/long", MAX_VALUE_BYTES + 1));
    assert!(full(&mut world, "", 1) && full(&mut world, &"m".repeat(MAX_NAME_BYTES + 1), 1));
    for n in 0..MAX_TOTAL_BYTES / MAX_VALUE_BYTES {
        assert!(!full(&mut world, &format!("m/{n}"), MAX_VALUE_BYTES));
    }
    assert!(full(&mut world, "m/one-more", 1) && !full(&mut world, "m/3", 1), "in the place of what was");
    world.crash(0);
    for n in world.nodes[0].disk.papers.len()..MAX_NAMES {
        let paper = world.paper(&format!("t/{n}"), 1);
        world.papers.insert((paper.name.clone(), paper.value.revision()));
        world.nodes[0].disk.papers.insert(paper.name, paper.value);
    }
    world.start(0, false);
    assert!(full(&mut world, "one-more", 1));
}

/// Guards against letters and writes for papers where nobody named a member.
#[test]
fn without_papers_nothing_is_said_of_them() {
    let mut world = World::new(1, 4, 3, 3, None);
    let sheet = world.sheet();
    world.want(0, CoreRequest::ReplaceConfiguration(sheet));
    for _ in 0..60 {
        world.now += 50 * MS;
        (0..4).for_each(|node| world.tick(node));
        for flying in &world.bag {
            assert!(!is_of_papers(&flying.letter.body), "{:?}", flying.letter.body);
        }
        world.settle_down();
    }
    assert!(world.nodes.iter().all(|node| node.disk.papers.is_empty()));
}

fn is_of_papers(body: &MessageBody) -> bool {
    match body {
        MessageBody::Heartbeat { registers_digest: papers, .. } => *papers != 0,
        MessageBody::StoreRegisters(_)
        | MessageBody::FetchRegisters { .. }
        | MessageBody::RegistersStored { .. }
        | MessageBody::ListRegisters(_) => true,
        _ => false,
    }
}

#[test]
fn a_wiped_one_comes_back_and_votes_again() {
    let mut world = World::new(1, 3, 3, 3, None);
    let sheet = world.sheet();
    world.want(0, CoreRequest::ReplaceConfiguration(sheet.clone()));
    for key in 0..600 {
        claim(&mut world, 0, key, 1000 + key as u64);
    }
    world.calm(300 * MS);
    world.wipe(2);
    world.calm(1500 * MS);
    let back = core(&world, 2);
    assert!(back.is_voting());
    assert_eq!(back.membership().epoch, 2);
    assert_ne!(back.replica().disk_id, 0);
    assert_eq!(back.lease_counts(), (600, 0, 0));
    assert_eq!(back.committed_configuration(), Some(&sheet));
    assert!((0..3).all(|node| core(&world, node).membership() == back.membership()));
    // And the next one may be lost.
    world.wipe(0);
    world.calm(1500 * MS);
    assert_eq!(core(&world, 0).lease_counts(), (600, 0, 0));
    assert!(core(&world, 0).is_voting());
}

#[test]
fn a_fourth_takes_the_place_of_one_that_is_lost() {
    let mut world = World::new(1, 4, 3, 3, None);
    claim(&mut world, 3, 7, 21);
    world.calm(500 * MS);
    world.crash(1);
    for _ in 0..80 {
        world.now += 50 * MS;
        for node in [0, 2, 3] {
            world.tick(node);
        }
        world.settle_down();
    }
    let members: Vec<_> =
        core(&world, 0).membership().members.iter().map(|station| station.address).collect();
    assert_eq!(members, [at(0), at(2), at(3)]);
    assert!(core(&world, 3).is_voting());
    assert_eq!(core(&world, 3).lease_counts(), (1, 0, 0));
    // The one that was lost comes back and is told that it is out.
    world.calm(500 * MS);
    assert!(!core(&world, 1).is_voting());
    assert_eq!(core(&world, 1).membership(), core(&world, 0).membership());
    let call = claim(&mut world, 1, 7, 22);
    world.calm(600 * MS);
    assert_eq!(world.answers[&call], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

#[test]
fn two_of_five_lose_their_disks_while_all_is_dark() {
    let mut world = World::new(1, 5, 5, 5, None);
    claim(&mut world, 3, 7, 21);
    world.calm(500 * MS);
    (0..5).for_each(|node| world.crash(node));
    world.wipe(1);
    world.wipe(3);
    world.calm(3_000 * MS);
    for node in 0..5 {
        assert!(core(&world, node).is_voting());
        assert_eq!(core(&world, node).lease_counts(), (1, 0, 0));
        assert_eq!(core(&world, node).membership().epoch, 3);
    }
}

#[test]
fn one_that_leaves_is_replaced_at_once() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.calm(500 * MS);
    let mut out = Vec::new();
    let now = world.now;
    world.nodes[0].core.as_mut().unwrap().announce_departure(now, &mut out);
    assert!(!core(&world, 0).may_stop());
    world.calm(900 * MS);
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
fn a_core_of_one_grows_to_three() {
    let mut world = World::new(1, 3, 1, 1, None);
    for node in 0..3 {
        world.crash(node);
    }
    world.config.target_members = 3;
    claim(&mut world, 0, 7, 21);
    world.calm(200 * MS);
    claim(&mut world, 0, 7, 21);
    world.calm(2_000 * MS);
    for node in 0..3 {
        assert_eq!(core(&world, node).membership().members.len(), 3);
        assert!(core(&world, node).is_voting());
        assert_eq!(core(&world, node).lease_counts(), (1, 0, 0));
        assert_eq!(core(&world, node).replica_addresses(), [at(0), at(1), at(2)]);
    }
}

#[test]
fn without_a_view_nothing_is_promised() {
    let mut world = World::new(1, 1, 1, 1, None);
    world.wipe(0);
    world.calm(100 * MS);
    assert_eq!(core(&world, 0).membership().epoch, 0);
    assert!(!core(&world, 0).has_quorum(world.now));
    let calls = [claim(&mut world, 0, 7, 21), world.want(0, CoreRequest::ReadConfiguration)];
    let sheet = world.sheet();
    let replace = world.want(0, CoreRequest::ReplaceConfiguration(sheet));
    world.calm(500 * MS);
    assert!(world.answers.is_empty());
    world.calm(3_000 * MS);
    assert!(calls.iter().chain([&replace]).all(|call| world.answers[call] == CoreResponse::Unavailable));
    assert_eq!(core(&world, 0).committed_configuration(), None);
}

#[test]
fn bounds_hold() {
    let mut world = World::new(1, 1, 1, 1, None);
    world.config.max_leases = 3;
    world.crash(0);
    world.calm(100 * MS);
    for key in 0..3 {
        claim(&mut world, 0, key, 50 + key as u64);
        world.settle_down();
    }
    let more = claim(&mut world, 0, 9, 60);
    assert_eq!(world.answers[&more], CoreResponse::Unavailable);
    let nobody = claim(&mut world, 0, 1, 0);
    assert_eq!(world.answers[&nobody], CoreResponse::Unavailable);
    settle(&mut world, 0, 0, 50, None);
    let more = claim(&mut world, 0, 9, 60);
    world.settle_down();
    assert_eq!(world.answers[&more], CoreResponse::LeaseGranted);
}

#[test]
fn a_caller_that_went_gets_no_answer() {
    let mut world = World::new(1, 3, 3, 3, None);
    let call = claim(&mut world, 0, 7, 21);
    world.nodes[0].core.as_mut().unwrap().cancel_request(call);
    world.calm(300 * MS);
    assert!(!world.answers.contains_key(&call));
    assert_eq!((0..3).filter(|node| core(&world, *node).lease_counts() == (1, 0, 0)).count(), 2);
}

/// Guards against a core that stops for good, and against one that forgets what the last view had agreed. A spare is
/// voted in and nobody learns of it; it loses its disk, and so does one that voted for it. What was voted binds, and has
/// one disk left of three: the two that voted before and are whole take back their places.
#[test]
fn a_view_whose_new_member_never_voted_is_undone() {
    let mut world = World::new(1, 4, 3, 3, None);
    world.calm(300 * MS);
    let run = |world: &mut World, time: u64, lost: fn(&stewards::Flying) -> bool| {
        let end = world.now + time;
        while world.now < end {
            world.now += 50 * MS;
            (0..4).for_each(|node| world.tick(node));
            (0..4).for_each(|node| world.sync(node, usize::MAX));
            while !world.bag.is_empty() {
                world.bag.retain(|flying| !lost(flying));
                (0..world.bag.len()).for_each(|_| world.deliver(0));
                (0..4).for_each(|node| world.sync(node, usize::MAX));
            }
        }
    };
    // Granted by 1 and 2, and 0 never hears of it.
    let call = claim(&mut world, 1, 7, 21);
    run(&mut world, 200 * MS, |flying| flying.to == 0);
    assert_eq!(world.answers[&call], CoreResponse::LeaseGranted);
    world.leave(2);
    run(&mut world, 700 * MS, |flying| {
        matches!(
            flying.letter.body,
            MessageBody::Accepted(_) | MessageBody::CompleteLeases(_) | MessageBody::RequestLeases(_)
        )
    });
    let accepted = |world: &World, node: usize| {
        world.nodes[node]
            .disk
            .ballots
            .as_ref()
            .and_then(|ballots| ballots.accepted.clone())
            .map(|(_, view)| view)
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
    world.calm(5_000 * MS);
    assert!(world.views.values().any(|view| view.rolled_back), "{:?}", world.views);
    assert_eq!((0..4).filter(|node| core(&world, *node).is_voting()).count(), 3);
    let again = claim(&mut world, 3, 7, 22);
    world.calm(1_000 * MS);
    assert_eq!(
        (&world.answers[&again], &world.broken),
        (&CoreResponse::LeaseHeld(LeaseOutcome::Pending), &None)
    );
}

/// Guards against a view that a whole zone takes along while spares stand elsewhere, and against swaps without need.
#[test]
fn members_are_spread_over_zones_where_these_may_be_lost() {
    let mut world = World::new(1, 4, 3, 3, None);
    let newest = |world: &World| world.views.last_key_value().map(|(_, view)| view.clone()).expect("a view");
    world.calm(4_000 * MS);
    assert_eq!((newest(&world).epoch, world.is_spread(&newest(&world))), (1, false), "not asked for");
    world.config.tolerated_zone_losses = 1;
    (0..4).for_each(|node| world.crash(node));
    world.calm(4_000 * MS);
    let spread = newest(&world);
    assert_eq!((spread.epoch, world.is_spread(&spread)), (2, true));
    let kept = claim(&mut world, 3, 7, 21);
    world.calm(6_000 * MS);
    assert_eq!((&world.answers[&kept], newest(&world).epoch), (&CoreResponse::LeaseGranted, 2), "once");
    // The one in zone b is lost: the spare in a takes its place, and gives it back.
    world.crash(2);
    for _ in 0..80 {
        world.now += 50 * MS;
        [0, 1, 3].into_iter().for_each(|node| world.tick(node));
        world.settle_down();
    }
    assert_eq!((newest(&world).epoch, world.is_spread(&newest(&world))), (3, false));
    world.calm(4_000 * MS);
    assert_eq!((newest(&world).epoch, world.is_spread(&newest(&world))), (4, true));
    let again = claim(&mut world, 0, 7, 22);
    world.calm(1_000 * MS);
    assert_eq!(world.answers[&again], CoreResponse::LeaseHeld(LeaseOutcome::Pending));
}

fn garbage_of_versions(chance: &mut ChaCha8Rng, sheet: Arc<RegisterValue>) -> RegisterPaxosMessage {
    let mut number = || [0, 1, 2, u64::MAX - 1, u64::MAX][chance.random_range(0..5)];
    let at = ProposalNumber { epoch: number(), ballot: Ballot { round: number(), proposer: number() } };
    let (version, digest) = (number(), Some(number()));
    let promised = ProposalNumber { epoch: number(), ballot: Ballot { round: number(), proposer: number() } };
    let name: RegisterName = ["m/a", "", &"x".repeat(100)][chance.random_range(0..3)].into();
    match chance.random_range(0..6) {
        0 => RegisterPaxosMessage::Prepare { register: name, version, number: at },
        1 => RegisterPaxosMessage::Promise {
            register: name,
            version,
            number: at,
            accepted: Some((promised, sheet)),
        },
        2 => RegisterPaxosMessage::Accept { register: name, number: at, value: sheet },
        3 => RegisterPaxosMessage::Accepted { register: name, version, number: at },
        4 => RegisterPaxosMessage::Preempted { register: name, version, number: at, promised },
        _ => RegisterPaxosMessage::Superseded { register: name, version, number: at, digest },
    }
}

/// Any letter whatever, with numbers at their ends and ones that fit.
fn garbage(chance: &mut ChaCha8Rng) -> Message {
    fn number(chance: &mut ChaCha8Rng) -> u64 {
        [0, 1, 2, 21, u64::MAX - 1, u64::MAX][chance.random_range(0..6)]
    }
    fn station(chance: &mut ChaCha8Rng) -> ReplicaId {
        ReplicaId { address: at(chance.random_range(0..5)), disk_id: number(chance) }
    }
    fn view(chance: &mut ChaCha8Rng) -> Membership {
        let members = (0..chance.random_range(0..5)).map(|_| station(chance)).collect();
        let base = (0..chance.random_range(0..4)).map(|_| station(chance)).collect();
        Membership {
            epoch: number(chance),
            previous_members: base,
            rolled_back: chance.random(),
            ..Membership::initial(0, members)
        }
    }
    fn ballot(chance: &mut ChaCha8Rng) -> Ballot {
        Ballot { round: number(chance), proposer: number(chance) }
    }
    fn key(chance: &mut ChaCha8Rng) -> LeaseKey {
        [0, 7, LeaseKey::MAX][chance.random_range(0..3)]
    }
    fn outcome(chance: &mut ChaCha8Rng) -> LeaseOutcome {
        [LeaseOutcome::Pending, LeaseOutcome::Indeterminate, LeaseOutcome::Completed(answer(1))]
            [chance.random_range(0..3)]
        .clone()
    }
    fn said(chance: &mut ChaCha8Rng) -> SessionMessage {
        let (call, epoch, token, session) =
            (number(chance), number(chance), number(chance), chance.random_range(0..2));
        let agreed = CommittedSession { term: epoch, token, ownership: SessionOwnership::default() };
        match chance.random_range(0..6) {
            0 => SessionMessage::Prepare { call, session, term: epoch, token },
            1 => SessionMessage::Promise { call, term: epoch, accepted: Some(agreed) },
            2 => SessionMessage::Accept { call, session, change: agreed },
            3 => SessionMessage::Accepted { call, term: epoch },
            4 => SessionMessage::Preempted { call, term: epoch },
            _ => SessionMessage::Renew(session),
        }
    }
    let c = chance;
    let sheet = Arc::new(RegisterValue { version: number(c), digest: number(c), bytes: Vec::new() });
    let claim = Lease { token: number(c), time_left_ms: u32::MAX, outcome: outcome(c) };
    let rank = (number(c), number(c));
    let name = ["m/a", "", "members"][c.random_range(0..3)].into();
    let paper = NamedRegister { name, value: sheet.clone() };
    let body = match c.random_range(0..24) {
        22 | 23 => MessageBody::RegisterPaxos(garbage_of_versions(c, sheet)),
        16 => MessageBody::PrepareRollback(ballot(c)),
        17 => MessageBody::RollbackPromise { ballot: ballot(c), accepted: Some((ballot(c), view(c))) },
        0 => MessageBody::Heartbeat {
            voter: c.random(),
            configuration: rank.into(),
            committed_configuration: Revision::new(number(c), number(c)),
            leaving: c.random(),
            zone: "z".into(),
            registers_digest: u128::from(number(c)),
        },
        1 => MessageBody::MembershipAnnouncement(view(c)),
        2 => MessageBody::Prepare(ballot(c)),
        3 => MessageBody::Promise { ballot: ballot(c), accepted: Some((ballot(c), view(c))) },
        4 => MessageBody::Accept(ballot(c), view(c)),
        5 => MessageBody::Accepted(ballot(c)),
        6 => MessageBody::Preempted(ballot(c)),
        7 => MessageBody::RequestLeases(vec![(number(c), key(c), number(c), u32::MAX)]),
        8 => MessageBody::LeaseVotes(vec![
            (number(c), LeaseVote::Held(claim)),
            (number(c), LeaseVote::TokenReleased),
        ]),
        9 => MessageBody::CompleteLeases(vec![(key(c), number(c), c.random::<bool>().then(|| outcome(c)))]),
        10 => MessageBody::StoreConfiguration(sheet),
        11 => MessageBody::FetchConfiguration { read_id: number(c), known: rank.into() },
        12 => MessageBody::ConfigurationStored { read_id: number(c), revision: rank.into() },
        13 => MessageBody::FetchSnapshot {
            from_key: key(c),
            catch_up_id: number(c),
            from_register: c.random::<bool>().then(|| "m/a".into()),
        },
        14 => MessageBody::Sessions(vec![said(c)]),
        18 => MessageBody::StoreRegisters(vec![paper]),
        19 => MessageBody::FetchRegisters {
            read_id: number(c),
            known: vec![("m/a".into(), rank.into()), ("".into(), rank.into())],
        },
        20 => MessageBody::RegistersStored {
            read_id: number(c),
            voter: c.random(),
            revisions: vec![("m/b".into(), rank.into()), ("".into(), rank.into())],
            next: c.random::<bool>().then(|| "x".into()),
        },
        21 => MessageBody::ListRegisters("m/".into()),
        _ => MessageBody::SnapshotChunk {
            catch_up_id: number(c),
            leases: vec![(key(c), claim)],
            next_key: c.random::<bool>().then(|| key(c)),
            configuration: Some(sheet),
            registers: vec![paper],
            next_register: c.random::<bool>().then(|| "x".into()),
            sessions: vec![(key(c), SessionRecord { term: number(c), token: number(c), accepted: None })],
            acceptors: vec![AcceptorState {
                register: "m/a".into(),
                version: number(c),
                promised: ProposalNumber { epoch: number(c), ballot: ballot(c) },
                accepted: Some((
                    ProposalNumber { epoch: number(c), ballot: ballot(c) },
                    Arc::new(RegisterValue::new(1, Vec::new())),
                )),
            }],
        },
    };
    Message { from: station(c), epoch: number(c), body }
}

#[test]
fn no_letter_does_it_in() {
    for seed in 0..300 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, 4, 3, 3, None);
        for _ in 0..150 {
            let node = chance.random_range(0..4);
            let (key, token) = (7, chance.random_range(0..30));
            match chance.random_range(0..9) {
                8 => drop(world.want(
                    node,
                    CoreRequest::Session(1, SessionRequest::Acquire { outbound_proxy: at(9), above_term: 0 }),
                )),
                0 => drop(claim(&mut world, node, key, token)),
                1 => drop(world.want(node, CoreRequest::ReadConfiguration)),
                2 => settle(&mut world, node, key, token, None),
                3 => {
                    world.now = [world.now.saturating_add(200 * MS), world.now, u64::MAX]
                        [chance.random_range(0..40usize).min(39) / 19];
                    world.tick(node);
                }
                _ => {
                    let letter = garbage(&mut chance);
                    let mut out = Vec::new();
                    let core = world.nodes[node].core.as_mut().unwrap();
                    core.handle_message(world.now, letter, &mut out);
                    core.flush(&mut out);
                    assert!(out.len() < 1000);
                }
            }
        }
    }
}
