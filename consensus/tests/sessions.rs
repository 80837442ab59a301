//! Sessions that move among gates while letters are lost, doubled and late, disks keep only a part and stewards come and
//! go. It walks many ways by chance and breaks one rule after the other to see that a walk notices.

mod stewards;

use std::net::SocketAddr;
use std::time::Instant;

use ochreshed_consensus::core::{Mutation, SESSION_IDLE};
use ochreshed_consensus::messages::*;
use rand::Rng;
use stewards::{MS, World, at};

fn gate(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 7_000 + number as u16))
}

fn tie(id: u64) -> SessionBinding {
    SessionBinding { upstream_id: format!("i-{id}"), inbound_proxy: gate(99) }
}

fn take(gate: SocketAddr) -> SessionRequest {
    SessionRequest::Acquire { outbound_proxy: gate, above_term: 0 }
}

/// How much of each mischief, in parts of 1000.
struct Mood {
    lose: u32,
    double: u32,
    cut: u32,
    crash: u32,
    wipe: u32,
    slow_disks: bool,
    hurry: u32,
    wishes: u32,
    sessions: u128,
    nodes: usize,
    voters: usize,
    steps: usize,
}

impl Mood {
    fn of(seed: u64) -> Mood {
        if seed % 2 == 1 {
            // Dwells on disks that are lost while a change is under way.
            let (lose, cut, wishes) = ([30, 90][seed as usize / 2 % 2], 4, [50, 150][seed as usize / 4 % 2]);
            let (wipe, hurry, sessions, nodes, voters, steps) =
                (10, 60, 1, 3 + seed as usize / 8 % 2, 3, 600);
            let (double, crash, slow_disks) = (0, 0, false);
            return Mood {
                lose,
                double,
                cut,
                crash,
                wipe,
                slow_disks,
                hurry,
                wishes,
                sessions,
                nodes,
                voters,
                steps,
            };
        }
        let pick = |of: &[u32], by: u64| of[(seed / by) as usize % of.len()];
        let (voters, nodes) = [(3, 4), (3, 3), (5, 6), (3, 5)][seed as usize % 4];
        Mood {
            lose: pick(&[0, 20, 60], 4),
            double: pick(&[0, 20], 12),
            cut: pick(&[0, 10, 30], 24),
            crash: pick(&[0, 15, 40], 2),
            wipe: pick(&[0, 15, 30], 3),
            slow_disks: pick(&[0, 1], 1) == 1,
            hurry: pick(&[20, 60, 100], 6),
            wishes: pick(&[60, 120], 5),
            sessions: u128::from(pick(&[1, 2], 7)),
            nodes,
            voters,
            steps: 350,
        }
    }
}

fn wish(world: &mut World, mood: &Mood) -> (SessionId, SessionRequest) {
    let session = world.chance.random_range(0..mood.sessions);
    let asker = gate(world.chance.random_range(0..3));
    let last = world.people.last.get(&session).map(|agreed| agreed.ownership.clone()).unwrap_or_default();
    let wish = match (world.chance.random_range(0..20), last.owner) {
        (0..10, _) | (_, None) => take(asker),
        (10, _) if world.chance.random_range(0..4) == 0 => SessionRequest::Forget,
        (11..13, _) => SessionRequest::Read,
        (13, Some(holder)) => SessionRequest::Renew(holder),
        (_, Some(holder)) => {
            let id = world.token();
            SessionRequest::Bind {
                owner: holder,
                current_upstream_id: last.binding.map(|tie| tie.upstream_id),
                binding: tie(id),
            }
        }
    };
    (session, wish)
}

fn step(world: &mut World, mood: &Mood) {
    let (nodes, node) = (world.nodes.len(), world.chance.random_range(0..world.nodes.len()));
    let letter = (!world.bag.is_empty()).then(|| world.chance.random_range(0..world.bag.len()));
    let mut pick = world.chance.random_range(0..1_000);
    let weights = [mood.lose, mood.double, mood.cut, mood.crash, mood.wipe, mood.hurry, mood.wishes, 250];
    let kind = weights.iter().position(|weight| {
        let here = pick < *weight;
        pick = pick.wrapping_sub(*weight);
        here
    });
    match (kind, letter) {
        (Some(0), Some(letter)) => drop(world.bag.swap_remove(letter)),
        (Some(1), Some(letter)) => {
            let (to, life, letter) = {
                let flying = &world.bag[letter];
                (flying.to, flying.life, flying.letter.clone())
            };
            world.bag.push(stewards::Flying { to, life, letter });
        }
        (Some(2), _) => {
            world.cut.clear();
            if world.chance.random() {
                (0..nodes).filter(|other| *other != node).for_each(|other| {
                    world.cut.insert((at(node), other));
                    world.cut.insert((at(other), node));
                });
            }
        }
        (Some(3), _) if world.up(node) && world.chance.random_range(0..3) > 0 => {
            world.crash(node);
            if world.chance.random() {
                world.start(node, false);
            }
        }
        (Some(3), _) => (0..nodes)
            .filter(|node| !world.up(*node))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|node| world.start(node, false)),
        (Some(4), _) if world.may_wipe(node) => {
            world.wipe(node);
            world.start(node, false);
        }
        (Some(5), _) => {
            world.now += [1, 20, 60, 130, 500][world.chance.random_range(0..5)] * MS;
            (0..nodes).for_each(|node| world.tick(node));
        }
        (Some(6), _) if world.up(node) => {
            let (session, wish) = wish(world, mood);
            world.want(node, CoreRequest::Session(session, wish));
        }
        (Some(7), _) => {
            let count = if mood.slow_disks { world.chance.random_range(0..4) } else { usize::MAX };
            (0..nodes).for_each(|node| world.sync(node, count));
        }
        _ => {
            for _ in 0..16 {
                if !world.bag.is_empty() {
                    let letter = world.chance.random_range(0..world.bag.len());
                    world.deliver(letter);
                }
            }
        }
    }
    if world.bag.len() > 150 {
        let keep = |flying: &stewards::Flying| !matches!(flying.letter.body, MessageBody::Heartbeat { .. });
        world.bag.retain(keep);
        let more = world.bag.len().saturating_sub(150);
        world.bag.drain(..more);
    }
}

/// One walk; at its end all is well again, and every session is had at once and is no older than it was.
fn walk(seed: u64, mutation: Option<Mutation>) -> World {
    let mood = Mood::of(seed);
    let mut world = World::new(seed, mood.nodes, mood.voters, mood.voters, mutation);
    for _ in 0..mood.steps {
        step(&mut world, &mood);
        world.steps += 1;
        if world.broken.is_some() {
            return world;
        }
    }
    if mutation.is_some() {
        return world;
    }
    world.calm(6_000 * MS);
    let calls: Vec<u64> = (0..mood.sessions)
        .map(|session| world.want(seed as usize % mood.nodes, CoreRequest::Session(session, take(gate(7)))))
        .collect();
    world.calm(1_200 * MS);
    let all =
        calls.iter().all(|call| matches!(world.answers.get(call), Some(CoreResponse::Session(Some(_)))));
    let wrong = (!all).then_some("a session is not had when all is well");
    let wrong = wrong.or((world.calls_of_the_living() > 0).then_some("a call was never answered"));
    if world.broken.is_none() {
        world.broken = wrong.map(str::to_string);
    }
    world
}

fn search(name: &str, mutation: Option<Mutation>, walks: u64) -> Option<String> {
    let began = Instant::now();
    let (mut steps, mut moves, mut views, mut wipes) = (0, 0, 0, 0);
    for seed in 0..walks {
        let world = walk(seed, mutation);
        steps += world.steps;
        moves += world.people.moves;
        views += world.seen[stewards::VIEWS];
        wipes += world.seen[stewards::WIPES];
        if let Some(broken) = world.broken {
            println!("{name}: walk {seed}, {steps} steps, {:?}: {broken}", began.elapsed());
            return Some(broken);
        }
    }
    let took = began.elapsed();
    println!(
        "{name}: {walks} walks, {steps} steps, {took:?}; moves {moves}, views {views}, disks lost {wipes}"
    );
    None
}

fn walks(otherwise: u64) -> u64 {
    std::env::var("WALKS").ok().and_then(|walks| walks.parse().ok()).unwrap_or(otherwise)
}

#[test]
fn nothing_breaks() {
    assert_eq!(search("as it is", None, walks(150)), None);
}

#[test]
fn notices_each_rule_that_is_broken() {
    let rules = [
        (Mutation::TakeHalfForMajority, "half is taken for more than half"),
        (Mutation::GiveSessionTermToTwoTokens, "a voter gives one epoch to two tokens"),
        (Mutation::AcceptLowerSessionTerm, "a voter holds what is of a lower epoch"),
        (Mutation::FollowEarliestSessionChange, "a change follows the earliest of what is told"),
        (Mutation::SendSessionRepliesBeforePersist, "a voter says so before its disk is safe"),
    ];
    let unseen: Vec<&str> = rules
        .into_iter()
        .filter(|(mutation, name)| search(name, Some(*mutation), walks(2_000)).is_none())
        .map(|(_, name)| name)
        .collect();
    assert!(unseen.is_empty(), "{unseen:?}");
}

fn agreed(world: &World, call: u64) -> CommittedSession {
    match world.answers.get(&call) {
        Some(CoreResponse::Session(Some(agreed))) => agreed.clone(),
        other => panic!("{other:?}"),
    }
}

fn asks(world: &mut World, node: usize, wish: SessionRequest) -> CommittedSession {
    let call = world.want(node, CoreRequest::Session(7, wish));
    world.settle_down();
    agreed(world, call)
}

#[test]
fn a_session_moves_with_its_tie_and_only_its_holder_ties_it() {
    let mut world = World::new(1, 3, 3, 3, None);
    world.calm(300 * MS);
    let first = asks(&mut world, 0, take(gate(1))).ownership.owner.expect("a holder");
    let tied = SessionRequest::Bind { owner: first, current_upstream_id: None, binding: tie(5) };
    asks(&mut world, 1, tied.clone());
    let kept = asks(&mut world, 2, take(gate(1)));
    assert_eq!((kept.ownership.owner, kept.ownership.binding), (Some(first), Some(tie(5))));
    let moved = asks(&mut world, 2, take(gate(2)));
    assert_eq!(
        (moved.ownership.previous_owner, moved.ownership.binding.clone()),
        (Some(first), Some(tie(5)))
    );
    assert!(moved.ownership.owner.is_some_and(|holder| holder.since_term > first.since_term));
    // The gate that had it ties it no more, however late it says so.
    let late =
        SessionRequest::Bind { owner: first, current_upstream_id: Some("i-5".into()), binding: tie(6) };
    assert_eq!(asks(&mut world, 0, late).ownership, moved.ownership);
    assert_eq!(asks(&mut world, 1, SessionRequest::Forget).ownership.owner, None);
    let anew = asks(&mut world, 1, take(gate(1)));
    assert_eq!((anew.ownership.binding, anew.ownership.previous_owner), (None, moved.ownership.owner));
    assert!(anew.term > moved.term);
}

/// A session moves that two of three held, after one of these has lost its disk and with the other down.
fn after_a_lost_disk(mutation: Option<Mutation>) -> World {
    let mut world = World::new(2, 3, 3, 3, mutation);
    world.calm(300 * MS);
    world.crash(2);
    let first = asks(&mut world, 0, take(gate(1)));
    world.wipe(1);
    world.start(1, false);
    world.calm(4_000 * MS);
    assert!(world.nodes[1].core.as_ref().is_some_and(|core| core.is_voting()));
    world.crash(0);
    let call = world.want(1, CoreRequest::Session(7, take(gate(2))));
    world.settle_down();
    if world.broken.is_none() {
        assert_eq!(agreed(&world, call).ownership.previous_owner, first.ownership.owner);
    }
    world
}

#[test]
fn a_session_outlives_a_lost_disk() {
    assert_eq!(after_a_lost_disk(None).broken, None);
    // With a new member that takes over no sessions.
    assert!(after_a_lost_disk(Some(Mutation::IgnoreSessionsOfSnapshot)).broken.is_some());
}

#[test]
fn a_session_is_forgotten_when_idle_and_the_oldest_go() {
    let mut world = World::with(2, 3, 3, 3, None, |world| world.config.max_leases = 20);
    world.calm(300 * MS);
    for session in 100..150 {
        world.want(0, CoreRequest::Session(session, take(gate(3))));
        world.settle_down();
        world.now += MS;
    }
    let counts = world.nodes[0].core.as_ref().map(|core| core.session_counts()).expect("up");
    assert_eq!((counts.sessions, counts.evicted > 25, world.nodes[0].disk.sessions.len()), (20, true, 20));
    world.now += SESSION_IDLE;
    world.tick(0);
    world.settle_down();
    assert_eq!(world.nodes[0].core.as_ref().map(|core| core.session_counts().sessions), Some(0));
    assert!(world.nodes[0].disk.sessions.is_empty());
}
