//! What each instance counts: one row an instance, which only it writes. The row with the greatest number stands; of two
//! starts under a name that of the start its members hold. It owns the rows and their ages, and must never add a verdict:
//! a reader sums counts of those that live, so that no opinion comes back as an echo.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// Srvs in one row, counted once for each rule set: those that were heard of most of late.
pub const MOST_SRVS: usize = 64;
/// Rule sets that one row names.
pub const MOST_SETS: usize = 32;

/// What came of one writer's dispatches at a srv, of one rule set, in a short while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    pub done: u16,
    /// Errors of its own.
    pub failed: u16,
    /// No connection, a reset, or no answer in time.
    pub lost: u16,
}

impl Counts {
    pub fn add(&mut self, other: Counts) {
        self.done = self.done.saturating_add(other.done);
        self.failed = self.failed.saturating_add(other.failed);
        self.lost = self.lost.saturating_add(other.lost);
    }

    pub fn all(self) -> u32 {
        u32::from(self.done) + u32::from(self.failed) + u32::from(self.lost)
    }

    /// The same in as many outcomes as these at the most, in proportion, and rounded.
    pub fn at_most(self, most: u16) -> Counts {
        let all = self.all();
        if all <= u32::from(most) {
            return self;
        }
        // At most `most`, and so a u16.
        let part = |of: u16| ((u32::from(of) * u32::from(most) + all / 2) / all) as u16;
        let lost = part(self.lost);
        // Where both are rounded up one of them gives way.
        let failed = part(self.failed).min(most - lost);
        Counts { done: most - failed - lost, failed, lost }
    }

    /// What did not go well.
    pub fn bad(self) -> u32 {
        u32::from(self.failed) + u32::from(self.lost)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The process's start, as its membership has it.
    pub start: u64,
    /// Grows with each row that the process writes.
    pub number: u64,
    pub zone: String,
    /// Rule sets, by the place at which counts name them.
    pub sets: Vec<String>,
    pub srvs: Vec<(String, u8, Counts)>,
}

impl Row {
    /// Its counts by srv and rule set. One that names a rule set which is not there is left out.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &str, Counts)> {
        let set = |at: &u8| self.sets.get(usize::from(*at)).map(String::as_str);
        self.srvs.iter().filter_map(move |(srv, at, counts)| Some((srv.as_str(), set(at)?, *counts)))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub row: Row,
    /// When it was written, on the holder's clock: when it came less its age then.
    pub written: Nanos,
}

/// Rows by their writers' names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rows(BTreeMap<String, Held>);

impl Rows {
    pub fn get(&self, writer: &str) -> Option<&Held> {
        self.0.get(writer)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Held)> {
        self.0.iter()
    }

    /// Hears a row of that age; whether it stands now and did not before. Of another start of the writer's, the caller says
    /// which of them lives.
    pub fn hear(&mut self, now: Nanos, writer: &str, mut row: Row, age: Nanos, lives: u64) -> bool {
        if row.start != lives {
            return false;
        }
        row.srvs.truncate(MOST_SRVS);
        row.sets.truncate(MOST_SETS);
        let written = now.saturating_sub(age);
        match self.0.get_mut(writer) {
            Some(held) if held.row.start == row.start && held.row.number >= row.number => return false,
            Some(held) => *held = Held { row, written },
            None => drop(self.0.insert(writer.to_owned(), Held { row, written })),
        }
        true
    }

    /// Drops what is older than this, and all of writers that are not held to be there.
    pub fn forget(&mut self, now: Nanos, age: Nanos, there: impl Fn(&str) -> bool) {
        self.0.retain(|writer, held| there(writer) && now.saturating_sub(held.written) <= age);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const S: Nanos = 1_000_000_000;

    fn row(start: u64, number: u64, lost: u16) -> Row {
        let counts = Counts { lost, ..Counts::default() };
        Row { start, number, zone: "a".into(), sets: vec!["x".into()], srvs: vec![("s".into(), 0, counts)] }
    }

    fn lost(rows: &Rows) -> Option<u16> {
        rows.get("n1").and_then(|held| held.row.counts().next()).map(|(_, _, counts)| counts.lost)
    }

    #[test]
    fn the_newest_row_of_the_process_that_lives_stands() {
        let mut rows = Rows::default();
        assert!(rows.hear(10 * S, "n1", row(7, 2, 1), S, 7));
        assert!(!rows.hear(10 * S, "n1", row(7, 1, 9), 0, 7), "an older one came late");
        assert!(!rows.hear(10 * S, "n1", row(6, 9, 9), 0, 7), "an earlier process's came late");
        assert_eq!(lost(&rows), Some(1));
        assert!(rows.hear(10 * S, "n1", row(8, 1, 3), 0, 8), "another start counts anew");
        assert_eq!(lost(&rows), Some(3));
        rows.forget(12 * S, S, |_| true);
        assert_eq!(lost(&rows), None, "it is too old by then");
        rows.hear(12 * S, "n1", row(8, 2, 3), 0, 8);
        rows.forget(12 * S, 10 * S, |writer| writer != "n1");
        assert_eq!(rows.iter().count(), 0);
    }

    #[test]
    fn a_row_that_names_a_rule_set_which_is_not_there_counts_elsewhere_only() {
        let mut odd = row(1, 1, 2);
        odd.srvs.push(("t".into(), 9, Counts { done: 1, ..Counts::default() }));
        assert_eq!(odd.counts().collect::<Vec<_>>(), [("s", "x", Counts { lost: 2, ..Counts::default() })]);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Told in fewer outcomes, a srv looks as bad as it is and no worse.
        #[test]
        fn fewer_outcomes_keep_the_proportion(done in 0..500u16, failed in 0..500u16, lost in 0..500u16, most in 1..9u16) {
            let counts = Counts { done, failed, lost };
            let told = counts.at_most(most);
            prop_assert_eq!(told.all(), counts.all().min(u32::from(most)));
            // Each within one outcome of its part, and nothing is told that was not.
            for (told, of) in [(told.done, done), (told.failed, failed), (told.lost, lost)] {
                let part = f64::from(of) * f64::from(most) / f64::from(counts.all().max(u32::from(most)));
                prop_assert!((f64::from(told) - part).abs() <= 1.0 && (of > 0 || told <= 1), "{told} of {part}");
            }
            prop_assert!(counts.bad() > 0 || told.bad() == 0);
        }
    }
}
