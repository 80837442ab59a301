//! Stride scheduling: weighted round robin in virtual time, which finds the next entry without visiting the others. Each entry
//! has a pass value, the virtual time of its next turn; a turn advances it by the inverse of the weight, so that turns are
//! evenly spaced and in proportion to the weights. Whether an entry can take its turn is decided by the caller.

use std::collections::BTreeSet;

#[derive(Default)]
pub struct StrideScheduler {
    entries: BTreeSet<(Pass, u32)>,
    /// The pass of the turn taken last; it never decreases.
    virtual_time: f64,
}

/// The virtual time at which passes are rebased to 0.
const REBASE_VIRTUAL_TIME: f64 = 1e6;

/// Strides are no longer than this, so that sums of passes stay finite; such an entry never gets another turn.
const MAX_STRIDE: f64 = 1e100;

/// A pass with a total order. Passes are never negative or NaN.
#[derive(Clone, Copy, PartialEq)]
struct Pass(f64);

impl Eq for Pass {}

impl PartialOrd for Pass {
    fn partial_cmp(&self, other: &Pass) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pass {
    fn cmp(&self, other: &Pass) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The state of one entry, kept by the caller.
#[derive(Clone, Copy)]
pub struct StrideEntry {
    pass: f64,
    /// 0 while the entry is not scheduled.
    pub weight: f64,
}

impl StrideEntry {
    pub const UNSCHEDULED: StrideEntry = StrideEntry { pass: 0.0, weight: 0.0 };

    fn stride(&self) -> f64 {
        (1.0 / self.weight).min(MAX_STRIDE)
    }
}

impl StrideScheduler {
    /// Sets the weight of an entry; 0 removes it. A new entry gets its first turn after the fraction `phase` of a stride; on a
    /// change of weight the fraction of the stride that is left stays the same.
    pub fn set_weight(&mut self, id: u32, entry: &mut StrideEntry, weight: f64, phase: f64) {
        let weight = if weight.is_finite() && weight > 0.0 { weight } else { 0.0 };
        if weight == entry.weight {
            return;
        }
        let left = if entry.weight > 0.0 {
            self.entries.remove(&(Pass(entry.pass), id));
            ((entry.pass - self.virtual_time) * entry.weight).clamp(0.0, 1.0)
        } else {
            phase
        };
        entry.weight = weight;
        if weight > 0.0 {
            entry.pass = self.virtual_time + left * entry.stride();
            self.entries.insert((Pass(entry.pass), id));
        }
    }

    /// Takes the turn of an entry and advances the virtual time to it.
    pub fn take_turn(&mut self, id: u32, entry: &mut StrideEntry) {
        self.virtual_time = self.virtual_time.max(entry.pass);
        self.skip_turn(id, entry);
    }

    /// Skips the turn of an entry that could not take it.
    pub fn skip_turn(&mut self, id: u32, entry: &mut StrideEntry) {
        self.entries.remove(&(Pass(entry.pass), id));
        entry.pass = (entry.pass + entry.stride()).max(self.virtual_time);
        self.entries.insert((Pass(entry.pass), id));
    }

    /// Subtracts the virtual time from all passes once they are so large that short strides would be lost in rounding. `all`
    /// must include every scheduled entry.
    pub fn rebase<'a>(&mut self, all: impl Iterator<Item = (u32, &'a mut StrideEntry)>) {
        if self.virtual_time < REBASE_VIRTUAL_TIME {
            return;
        }
        let virtual_time = std::mem::take(&mut self.virtual_time);
        self.entries.clear();
        for (id, entry) in all.filter(|(_, entry)| entry.weight > 0.0) {
            entry.pass = (entry.pass - virtual_time).max(0.0);
            self.entries.insert((Pass(entry.pass), id));
        }
    }

    /// The scheduled entries, in the order of their next turns.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.entries.iter().map(|(_, id)| *id)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn take_turns(weights: &[f64], turns: usize) -> Vec<usize> {
        let mut scheduler = StrideScheduler::default();
        let mut entries = vec![StrideEntry::UNSCHEDULED; weights.len()];
        for (id, weight) in weights.iter().enumerate() {
            scheduler.set_weight(id as u32, &mut entries[id], *weight, (id as f64 * 0.37) % 1.0);
        }
        let mut taken = Vec::new();
        for _ in 0..turns {
            let Some(id) = scheduler.iter().next() else { break };
            scheduler.take_turn(id, &mut entries[id as usize]);
            taken.push(id as usize);
        }
        taken
    }

    #[test]
    fn turns_are_proportional_to_the_weights_and_evenly_spaced() {
        let weights = [5.0, 1.0, 1.0, 0.5, 2.5];
        let taken = take_turns(&weights, 10_000);
        for (id, weight) in weights.iter().enumerate() {
            let turns: Vec<usize> = (0..taken.len()).filter(|at| taken[*at] == id).collect();
            assert!((turns.len() as f64 - weight * 1_000.0).abs() <= 1.0, "{id}: {}", turns.len());
            let gaps = turns.windows(2).map(|pair| (pair[1] - pair[0]) as f64);
            let even = 10.0 / weight;
            assert!(gaps.clone().all(|gap| (gap - even).abs() < 5.0), "{id}: not evenly spaced");
        }
    }

    #[test]
    fn zero_tiny_and_huge_weights_get_their_share_and_no_more() {
        let taken = take_turns(&[0.0, 1e-9, 1.0, 1e9, f64::NAN, f64::INFINITY], 5_000);
        assert!(!taken.iter().any(|id| [0, 4, 5].contains(id)));
        assert!(taken.iter().filter(|id| **id == 3).count() >= 4_990);
        assert!(take_turns(&[0.0], 5).is_empty());
    }

    #[test]
    fn a_new_weight_keeps_the_fraction_of_the_stride_that_is_left() {
        let (mut scheduler, mut entry) = (StrideScheduler::default(), StrideEntry::UNSCHEDULED);
        scheduler.set_weight(0, &mut entry, 1.0, 0.5);
        scheduler.set_weight(0, &mut entry, 2.0, 0.9);
        assert_eq!(entry.pass - scheduler.virtual_time, 0.25);
        scheduler.set_weight(0, &mut entry, 0.0, 0.9);
        assert!(scheduler.is_empty());
    }
}
