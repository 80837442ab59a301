//! What each instance counts: one row an instance, which only it writes. The row with the greatest number stands; of two
//! starts under a name that of the start its members hold. It owns the rows and their ages, and must never add a verdict:
//! a reader sums counts of those that live, so that no opinion comes back as an echo.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// Srvs in one row, counted once for each rule set: those that were heard of most of late.
pub const MAX_ENTRIES_PER_ROW: usize = 64;
/// Rule sets that one row names.
pub const MAX_RULE_SETS_PER_ROW: usize = 32;

/// What came of one writer's dispatches at a srv, of one rule set, in a short while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeCounts {
    pub succeeded: u16,
    /// Errors of its own.
    pub failed: u16,
    /// No connection, a reset, or no answer in time.
    pub lost: u16,
}

impl OutcomeCounts {
    pub fn add(&mut self, other: OutcomeCounts) {
        self.succeeded = self.succeeded.saturating_add(other.succeeded);
        self.failed = self.failed.saturating_add(other.failed);
        self.lost = self.lost.saturating_add(other.lost);
    }

    pub fn total(self) -> u32 {
        u32::from(self.succeeded) + u32::from(self.failed) + u32::from(self.lost)
    }

    /// The same in as many outcomes as these at the most, in proportion, and rounded.
    pub fn scaled_down(self, most: u16) -> OutcomeCounts {
        let all = self.total();
        if all <= u32::from(most) {
            return self;
        }
        // At most `most`, and so a u16.
        let part = |of: u16| ((u32::from(of) * u32::from(most) + all / 2) / all) as u16;
        let lost = part(self.lost);
        // Where both are rounded up one of them gives way.
        let failed = part(self.failed).min(most - lost);
        OutcomeCounts { succeeded: most - failed - lost, failed, lost }
    }

    /// What did not go well.
    pub fn unsuccessful(self) -> u32 {
        u32::from(self.failed) + u32::from(self.lost)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeRow {
    /// The process's start, as its membership has it.
    pub start_id: u64,
    /// Grows with each row that the process writes.
    pub sequence: u64,
    pub zone: String,
    /// Rule sets, by the place at which counts name them.
    pub rule_sets: Vec<String>,
    pub entries: Vec<(String, u8, OutcomeCounts)>,
}

impl OutcomeRow {
    /// Its counts by srv and rule set. One that names a rule set which is not there is left out.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &str, OutcomeCounts)> {
        let set = |at: &u8| self.rule_sets.get(usize::from(*at)).map(String::as_str);
        self.entries.iter().filter_map(move |(srv, at, counts)| Some((srv.as_str(), set(at)?, *counts)))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRow {
    pub row: OutcomeRow,
    /// When it was written, on the holder's clock: when it came less its age then.
    pub written_at: Nanos,
}

/// OutcomeTable by their writers' names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OutcomeTable(BTreeMap<String, StoredRow>);

impl OutcomeTable {
    pub fn get(&self, writer: &str) -> Option<&StoredRow> {
        self.0.get(writer)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &StoredRow)> {
        self.0.iter()
    }

    /// Hears a row of that age; whether it stands now and did not before. Of another start of the writer's, the caller says
    /// which of them lives.
    pub fn merge(&mut self, now: Nanos, writer: &str, mut row: OutcomeRow, age: Nanos, lives: u64) -> bool {
        if row.start_id != lives {
            return false;
        }
        row.entries.truncate(MAX_ENTRIES_PER_ROW);
        row.rule_sets.truncate(MAX_RULE_SETS_PER_ROW);
        let written_at = now.saturating_sub(age);
        match self.0.get_mut(writer) {
            Some(held) if held.row.start_id == row.start_id && held.row.sequence >= row.sequence => {
                return false;
            }
            Some(held) => *held = StoredRow { row, written_at },
            None => drop(self.0.insert(writer.to_owned(), StoredRow { row, written_at })),
        }
        true
    }

    /// Drops what is older than this, and all of writers that are not held to be there.
    pub fn evict(&mut self, now: Nanos, age: Nanos, there: impl Fn(&str) -> bool) {
        self.0.retain(|writer, held| there(writer) && now.saturating_sub(held.written_at) <= age);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const S: Nanos = 1_000_000_000;

    fn row(start: u64, number: u64, lost: u16) -> OutcomeRow {
        let counts = OutcomeCounts { lost, ..OutcomeCounts::default() };
        OutcomeRow {
            start_id: start,
            sequence: number,
            zone: "a".into(),
            rule_sets: vec!["x".into()],
            entries: vec![("s".into(), 0, counts)],
        }
    }

    fn lost(rows: &OutcomeTable) -> Option<u16> {
        rows.get("n1").and_then(|held| held.row.counts().next()).map(|(_, _, counts)| counts.lost)
    }

    #[test]
    fn the_newest_row_of_the_process_that_lives_stands() {
        let mut rows = OutcomeTable::default();
        assert!(rows.merge(10 * S, "n1", row(7, 2, 1), S, 7));
        assert!(!rows.merge(10 * S, "n1", row(7, 1, 9), 0, 7), "an older one came late");
        assert!(!rows.merge(10 * S, "n1", row(6, 9, 9), 0, 7), "an earlier process's came late");
        assert_eq!(lost(&rows), Some(1));
        assert!(rows.merge(10 * S, "n1", row(8, 1, 3), 0, 8), "another start counts anew");
        assert_eq!(lost(&rows), Some(3));
        rows.evict(12 * S, S, |_| true);
        assert_eq!(lost(&rows), None, "it is too old by then");
        rows.merge(12 * S, "n1", row(8, 2, 3), 0, 8);
        rows.evict(12 * S, 10 * S, |writer| writer != "n1");
        assert_eq!(rows.iter().count(), 0);
    }

    #[test]
    fn a_row_that_names_a_rule_set_which_is_not_there_counts_elsewhere_only() {
        let mut odd = row(1, 1, 2);
        odd.entries.push(("t".into(), 9, OutcomeCounts { succeeded: 1, ..OutcomeCounts::default() }));
        assert_eq!(
            odd.counts().collect::<Vec<_>>(),
            [("s", "x", OutcomeCounts { lost: 2, ..OutcomeCounts::default() })]
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Told in fewer outcomes, a srv looks as unsuccessful as it is and no worse.
        #[test]
        fn fewer_outcomes_keep_the_proportion(succeeded in 0..500u16, failed in 0..500u16, lost in 0..500u16, most in 1..9u16) {
            let counts = OutcomeCounts { succeeded, failed, lost };
            let told = counts.scaled_down(most);
            prop_assert_eq!(told.total(), counts.total().min(u32::from(most)));
            // Each within one outcome of its part, and nothing is told that was not.
            for (told, of) in [(told.succeeded, succeeded), (told.failed, failed), (told.lost, lost)] {
                let part = f64::from(of) * f64::from(most) / f64::from(counts.total().max(u32::from(most)));
                prop_assert!((f64::from(told) - part).abs() <= 1.0 && (of > 0 || told <= 1), "{told} of {part}");
            }
            prop_assert!(counts.unsuccessful() > 0 || told.unsuccessful() == 0);
        }
    }
}
