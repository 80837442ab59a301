//! Turns in virtual time: who is next, found without touching the others. Each that takes part has a tag,
//! the point at which its turn comes; a turn taken moves its tag on by the inverse of its weight, so turns
//! come evenly spaced and as often as the weight says. It owns the tags and decides nothing: who is fit is
//! asked elsewhere.

use std::collections::BTreeSet;

#[derive(Default)]
pub struct Order {
    tags: BTreeSet<(Tag, u32)>,
    /// The tag of the turn taken last; it never goes back.
    at: f64,
}

/// The tag from which on counting starts anew.
const MOST: f64 = 1e6;

/// A tag that compares. Tags are never less than 0, nor NaN.
#[derive(Clone, Copy, PartialEq)]
struct Tag(f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Tag) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Tag) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Where one stands in an order, kept by whoever takes part.
#[derive(Clone, Copy)]
pub struct Turn {
    tag: f64,
    /// What it counts with, 0 while it takes no part.
    pub weight: f64,
}

impl Turn {
    pub const OUT: Turn = Turn { tag: 0.0, weight: 0.0 };

    fn step(&self) -> f64 {
        // Past this a turn is never met again; guards the sums of tags against infinity.
        (1.0 / self.weight).min(1e100)
    }
}

impl Order {
    /// Lets one take part, from a part of its first step on; or changes its weight, which keeps the part of
    /// the step that is still before it. A weight of 0 ends its part.
    pub fn weigh(&mut self, who: u32, turn: &mut Turn, weight: f64, part: f64) {
        let weight = if weight.is_finite() && weight > 0.0 { weight } else { 0.0 };
        if weight == turn.weight {
            return;
        }
        let left = if turn.weight > 0.0 {
            self.tags.remove(&(Tag(turn.tag), who));
            ((turn.tag - self.at) * turn.weight).clamp(0.0, 1.0)
        } else {
            part
        };
        turn.weight = weight;
        if weight > 0.0 {
            turn.tag = self.at + left * turn.step();
            self.tags.insert((Tag(turn.tag), who));
        }
    }

    /// Takes a turn: those passed before it are behind now.
    pub fn take(&mut self, who: u32, turn: &mut Turn) {
        self.at = self.at.max(turn.tag);
        self.lose(who, turn);
    }

    /// Loses a turn that came when it was not fit.
    pub fn lose(&mut self, who: u32, turn: &mut Turn) {
        self.tags.remove(&(Tag(turn.tag), who));
        turn.tag = (turn.tag + turn.step()).max(self.at);
        self.tags.insert((Tag(turn.tag), who));
    }

    /// Starts counting anew once tags have grown so large that small steps would be lost in them. All that
    /// take part must be given.
    pub fn rebase<'a>(&mut self, all: impl Iterator<Item = (u32, &'a mut Turn)>) {
        if self.at < MOST {
            return;
        }
        let at = std::mem::take(&mut self.at);
        self.tags.clear();
        for (who, turn) in all.filter(|(_, turn)| turn.weight > 0.0) {
            turn.tag = (turn.tag - at).max(0.0);
            self.tags.insert((Tag(turn.tag), who));
        }
    }

    /// Those that take part, the next first.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.tags.iter().map(|(_, who)| *who)
    }

    pub fn len(&self) -> usize {
        self.tags.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tags.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn turns(weights: &[f64], number: usize) -> Vec<usize> {
        let (mut order, mut parts) = (Order::default(), vec![Turn::OUT; weights.len()]);
        for (who, weight) in weights.iter().enumerate() {
            order.weigh(who as u32, &mut parts[who], *weight, (who as f64 * 0.37) % 1.0);
        }
        let mut taken = Vec::new();
        for _ in 0..number {
            let Some(who) = order.iter().next() else { break };
            order.take(who, &mut parts[who as usize]);
            taken.push(who as usize);
        }
        taken
    }

    #[test]
    fn turns_are_as_the_weights_say_and_evenly_spaced() {
        let weights = [5.0, 1.0, 1.0, 0.5, 2.5];
        let taken = turns(&weights, 10_000);
        for (who, weight) in weights.iter().enumerate() {
            let places: Vec<usize> = (0..taken.len()).filter(|at| taken[*at] == who).collect();
            assert!((places.len() as f64 - weight * 1_000.0).abs() <= 1.0, "{who}: {}", places.len());
            let gaps = places.windows(2).map(|pair| (pair[1] - pair[0]) as f64);
            let even = 10.0 / weight;
            assert!(gaps.clone().all(|gap| (gap - even).abs() < 5.0), "{who}: not evenly spaced");
        }
    }

    #[test]
    fn zero_tiny_and_huge_weights_take_their_part_and_no_more() {
        let taken = turns(&[0.0, 1e-9, 1.0, 1e9, f64::NAN, f64::INFINITY], 5_000);
        assert!(!taken.iter().any(|who| [0, 4, 5].contains(who)));
        assert!(taken.iter().filter(|who| **who == 3).count() >= 4_990);
        assert!(turns(&[0.0], 5).is_empty());
    }

    #[test]
    fn a_new_weight_keeps_the_part_of_the_step_that_is_left() {
        let (mut order, mut turn) = (Order::default(), Turn::OUT);
        order.weigh(0, &mut turn, 1.0, 0.5);
        order.weigh(0, &mut turn, 2.0, 0.9);
        assert_eq!(turn.tag - order.at, 0.25);
        order.weigh(0, &mut turn, 0.0, 0.9);
        assert!(order.is_empty());
    }
}
