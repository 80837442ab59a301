//! The core's agreement under every kind of mischief: letters lost, doubled and late, disks that keep only a part,
//! machines that end, come back, lose their disk, leave. It walks many ways by chance, each from its own seed, and
//! breaks one rule after the other to see that a walk notices. It must never depend on a clock.

mod stewards;

use std::time::Instant;

use ochreshed_mesh::words::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stewards::{MS, World, answer};

/// How much of each kind of mischief a walk has.
struct Mood {
    lose: u32,
    double: u32,
    crash: u32,
    wipe: u32,
    leave: u32,
    hurry: u32,
    slow_disks: bool,
    claims: u32,
    sheets: u32,
    steps: usize,
}

impl Mood {
    fn draw(chance: &mut ChaCha8Rng) -> Mood {
        fn one(chance: &mut ChaCha8Rng, of: &[u32]) -> u32 {
            of[chance.random_range(0..of.len())]
        }
        Mood {
            lose: one(chance, &[0, 5, 30]),
            double: one(chance, &[0, 5, 20]),
            crash: one(chance, &[0, 3, 10]),
            wipe: one(chance, &[0, 0, 4, 12]),
            leave: one(chance, &[0, 0, 3]),
            hurry: one(chance, &[10, 30, 60]),
            slow_disks: chance.random(),
            claims: one(chance, &[10, 40]),
            sheets: one(chance, &[0, 5, 25]),
            steps: one(chance, &[150, 300, 500]) as usize,
        }
    }
}

/// What a claimant has under way.
struct Holder {
    key: Key,
    token: Token,
    calls: Vec<u64>,
    over: bool,
}

fn step(world: &mut World, mood: &Mood, holders: &mut Vec<Holder>) {
    let nodes = world.nodes.len();
    let node = world.chance.random_range(0..nodes);
    let weights = [
        300,
        mood.lose,
        mood.double,
        200,
        mood.hurry,
        mood.crash,
        mood.wipe,
        mood.leave,
        mood.claims,
        mood.sheets,
    ];
    let mut pick = world.chance.random_range(0..weights.iter().sum());
    let kind = weights.iter().position(|weight| {
        let here = pick < *weight;
        pick = pick.wrapping_sub(*weight);
        here
    });
    let letter = (!world.bag.is_empty()).then(|| world.chance.random_range(0..world.bag.len()));
    match (kind, letter) {
        (Some(0), Some(letter)) => world.deliver(letter),
        (Some(1), Some(letter)) => drop(world.bag.swap_remove(letter)),
        (Some(2), Some(letter)) => {
            let (to, life, letter) = {
                let flying = &world.bag[letter];
                (flying.to, flying.life, flying.letter.clone())
            };
            world.bag.push(stewards::Flying { to, life, letter });
        }
        (Some(3), _) => {
            let count = if mood.slow_disks { world.chance.random_range(0..3) } else { usize::MAX };
            world.sync(node, count);
        }
        (Some(4), _) => {
            world.now += [1, 20, 130, 260, 600][world.chance.random_range(0..5)] * MS;
            match world.chance.random_range(0..3) {
                0 => world.tick(node),
                _ => (0..nodes).for_each(|node| world.tick(node)),
            }
        }
        (Some(5), _) => {
            if !world.up(node) {
                world.start(node, false);
            } else if world.chance.random_range(0..6) == 0 {
                (0..nodes).for_each(|node| world.crash(node));
            } else {
                world.crash(node);
            }
        }
        (Some(6), _) if world.may_wipe(node) => {
            world.wipe(node);
            world.start(node, false);
        }
        (Some(7), _) => {
            let now = world.now;
            let mut out = Vec::new();
            if let Some(core) = &mut world.nodes[node].core {
                core.leaving(now, &mut out);
            }
            world.nodes[node].pending.extend(out);
        }
        (Some(8), _) if world.up(node) => claimant(world, node, holders),
        (Some(9), _) if world.up(node) => {
            let want = match world.chance.random_range(0..2) {
                0 => Want::Replace(world.sheet()),
                _ => Want::Read,
            };
            world.want(node, want);
        }
        _ => {}
    }
    // Beats are many; of too many letters the oldest ones are lost.
    if world.bag.len() > 120 {
        let keep = |flying: &stewards::Flying| !matches!(flying.letter.body, Body::Beat { .. });
        world.bag.retain(keep);
        let more = world.bag.len().saturating_sub(120);
        world.bag.drain(..more);
    }
}

/// A new claim, one more try with the same token somewhere else, or word of what came of one.
fn claimant(world: &mut World, node: usize, holders: &mut Vec<Holder>) {
    let chosen = (!holders.is_empty()).then(|| world.chance.random_range(0..holders.len()));
    match (world.chance.random_range(0..8), chosen) {
        (0..3, _) | (_, None) => {
            let (key, token) = (world.chance.random_range(0..2), world.token());
            let left_ms = [100, 3000][world.chance.random_range(0..2)];
            let call = world.want(node, Want::Claim { key, token, left_ms });
            holders.push(Holder { key, token, calls: vec![call], over: false });
        }
        (3, Some(one)) if !holders[one].over => {
            let (key, token) = (holders[one].key, holders[one].token);
            let call = world.want(node, Want::Claim { key, token, left_ms: 1000 });
            holders[one].calls.push(call);
        }
        (4..6, Some(one)) => {
            let one = &mut holders[one];
            let (key, token) = (one.key, one.token);
            let granted = one.calls.iter().any(|call| world.answers.get(call) == Some(&Got::Granted));
            let outcome = match world.chance.random_range(0..3) {
                0 if granted && !world.freed.contains(&token) => Some(Outcome::Done(answer(token))),
                1 if granted && !world.freed.contains(&token) => Some(Outcome::Unknown),
                _ => return,
            };
            one.over = true;
            world.want(node, Want::Settle { key, token, outcome });
        }
        (_, Some(one)) => {
            let one = &mut holders[one];
            let (key, token) = (one.key, one.token);
            // Told once or twice; never after it ran.
            if !one.over || world.freed.contains(&token) {
                one.over = true;
                world.want(node, Want::Settle { key, token, outcome: None });
            }
        }
    }
}

/// One walk; at its end all is well again, and nothing may have been lost.
fn walk(seed: u64, mutant: u8) -> World {
    let mut world = World::new(seed, 4, 3, mutant);
    let mood = Mood::draw(&mut world.chance);
    let mut holders = Vec::new();
    for _ in 0..mood.steps {
        step(&mut world, &mood, &mut holders);
        world.steps += 1;
        if world.broken.is_some() {
            return world;
        }
    }
    // One that was about to leave does so and starts again.
    (0..4).for_each(|node| world.crash(node));
    world.calm(6_000 * MS);
    let floor = world.floor;
    let read = world.want(seed as usize % 4, Want::Read);
    let granted: Vec<Key> = world.granted.keys().copied().collect();
    for key in granted {
        let token = world.token();
        world.want(key as usize % 4, Want::Claim { key, token, left_ms: 100 });
    }
    world.calm(1_700 * MS);
    if world.broken.is_none() {
        let voters =
            world.nodes.iter().filter(|node| node.core.as_ref().is_some_and(|core| core.voter())).count();
        let wrong = match world.answers.get(&read) {
            Some(Got::Newest(sheet)) if sheet.as_ref().map_or((0, 0), |sheet| sheet.rank()) >= floor => None,
            Some(Got::Newest(_)) => Some("what was safe is lost"),
            _ => Some("no read when all is well"),
        };
        let wrong = wrong
            .or((world.calls_of_the_living() > 0).then_some("a call was never answered"))
            .or((voters != 3).then_some("not three vote in the end"));
        world.broken = wrong.map(|wrong| wrong.to_string());
    }
    world
}

/// Walks until one is broken, or so many times. Says which one and how.
fn search(name: &str, mutant: u8, walks: u64) -> Option<String> {
    let began = Instant::now();
    let (mut steps, mut seen) = (0, [0; 8]);
    for seed in 0..walks {
        let world = walk(seed, mutant);
        steps += world.steps;
        seen.iter_mut().zip(world.seen).for_each(|(sum, more)| *sum += more);
        if let Some(broken) = world.broken {
            println!("{name}: walk {seed}, {steps} steps, {:?}: {broken}", began.elapsed());
            return Some(format!("walk {seed}: {broken}"));
        }
    }
    println!(
        "{name}: {walks} walks, {steps} steps, {:?}; granted {}, held {}, taken {}, read {}, views {}, unsure {}, \
         letters {}, disks lost {}",
        began.elapsed(),
        seen[0],
        seen[1],
        seen[2],
        seen[3],
        seen[4],
        seen[5],
        seen[6],
        seen[7]
    );
    None
}

fn walks(otherwise: u64) -> u64 {
    std::env::var("WALKS").ok().and_then(|walks| walks.parse().ok()).unwrap_or(otherwise)
}

#[test]
fn nothing_breaks() {
    assert_eq!(search("as it is", 0, walks(300)), None);
}

#[test]
fn notices_one_that_grants_counted_across_views() {
    assert!(search("grants_counted_across_views", 1, walks(3000)).is_some());
}

#[test]
fn notices_one_that_votes_before_it_caught_up() {
    assert!(search("votes_before_it_caught_up", 2, walks(3000)).is_some());
}

#[test]
fn notices_one_that_says_yes_before_the_disk_is_safe() {
    assert!(search("says_yes_before_the_disk_is_safe", 3, walks(3000)).is_some());
}

#[test]
fn notices_one_that_half_is_taken_for_more_than_half() {
    assert!(search("half_is_taken_for_more_than_half", 4, walks(3000)).is_some());
}

#[test]
fn notices_one_that_frees_of_its_own_accord() {
    assert!(search("frees_of_its_own_accord", 5, walks(3000)).is_some());
}

#[test]
fn notices_one_that_takes_one_of_two_open_claims() {
    assert!(search("takes_one_of_two_open_claims", 6, walks(3000)).is_some());
}

#[test]
fn notices_one_that_reads_what_is_not_safe() {
    assert!(search("reads_what_is_not_safe", 7, walks(3000)).is_some());
}

#[test]
fn notices_one_that_forgets_what_was_accepted() {
    assert!(search("forgets_what_was_accepted", 8, walks(3000)).is_some());
}

#[test]
fn notices_one_that_tells_its_state_across_views() {
    assert!(search("tells_its_state_across_views", 9, walks(3000)).is_some());
}

#[test]
fn notices_one_that_takes_what_only_it_holds() {
    assert!(search("takes_what_only_it_holds", 10, walks(3000)).is_some());
}

#[test]
fn notices_one_that_frees_under_any_token() {
    assert!(search("frees_under_any_token", 11, walks(3000)).is_some());
}
