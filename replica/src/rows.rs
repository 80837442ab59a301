//! What each instance counts: one row an instance, which only it writes. The row with the greatest number stands; of two
//! starts under a name that of the start its members hold. It owns the rows and their ages, and must never add a verdict:
//! a reader sums counts of those that live, so that no opinion comes back as an echo.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// Srvs in one row: those that were heard of most of late.
pub const MOST_SRVS: usize = 64;

/// What happened at a srv for one writer within its window, beside what went well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    pub done: u16,
    /// Errors of its own.
    pub failed: u16,
    /// No connection, a reset, or no answer in time.
    pub lost: u16,
    /// Of it, sent while it was cold.
    pub cold: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The process's start, as its membership has it.
    pub start: u64,
    /// Grows with each row that the process writes.
    pub number: u64,
    pub zone: String,
    /// The window that it counts over, and reqs taken in it.
    pub window: Nanos,
    pub asked: u32,
    pub srvs: Vec<(String, Counts)>,
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

    /// The counts at each srv over all writers that `counts` lets in, of rows no older than this.
    pub fn sum(
        &self,
        now: Nanos,
        age: Nanos,
        counts: impl Fn(&str, &Row) -> bool,
    ) -> BTreeMap<String, Counts> {
        let mut sums: BTreeMap<String, Counts> = BTreeMap::new();
        let young = self.0.iter().filter(|(_, held)| now.saturating_sub(held.written) <= age);
        for (_, held) in young.filter(|(writer, held)| counts(writer, &held.row)) {
            for (srv, of) in &held.row.srvs {
                let sum = sums.entry(srv.clone()).or_default();
                sum.done = sum.done.saturating_add(of.done);
                sum.failed = sum.failed.saturating_add(of.failed);
                sum.lost = sum.lost.saturating_add(of.lost);
                sum.cold = sum.cold.saturating_add(of.cold);
            }
        }
        sums
    }

    /// The part of a common budget that a writer may use: its part of what all ask, each as it was last known to ask, and
    /// those that were never heard of by the mean of the others. It is the smaller, the more are missing, so that both
    /// sides of a cut together stay within the budget.
    pub fn part(&self, writer: &str, instances: usize) -> f64 {
        let rate = |held: &Held| f64::from(held.row.asked) / (held.row.window.max(1) as f64 / 1e9);
        let known: f64 = self.0.values().map(rate).sum();
        let number = self.0.len();
        let even = 1.0 / instances.max(1) as f64;
        let Some(own) = self.0.get(writer).map(rate).filter(|_| known > 0.0) else { return even };
        let missing = instances.saturating_sub(number) as f64 * known / number as f64;
        own / (known + missing)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const S: Nanos = 1_000_000_000;

    fn row(start: u64, number: u64, asked: u32, lost: u16) -> Row {
        let counts = Counts { lost, ..Counts::default() };
        Row { start, number, zone: "a".into(), window: S, asked, srvs: vec![("s".into(), counts)] }
    }

    #[test]
    fn the_newest_row_of_the_process_that_lives_stands() {
        let mut rows = Rows::default();
        assert!(rows.hear(10 * S, "n1", row(7, 2, 5, 1), S, 7));
        assert!(!rows.hear(10 * S, "n1", row(7, 1, 9, 9), 0, 7), "an older one came late");
        assert!(!rows.hear(10 * S, "n1", row(6, 9, 9, 9), 0, 7), "an earlier process's came late");
        assert!(rows.hear(10 * S, "n1", row(8, 1, 9, 3), 0, 8), "another start counts anew");
        assert_eq!(rows.sum(10 * S, S, |_, _| true)["s"].lost, 3);
        assert!(rows.sum(12 * S, S, |_, _| true).is_empty(), "it is too old by then");
        assert!(rows.sum(10 * S, S, |writer, _| writer != "n1").is_empty());
        rows.forget(12 * S, 10 * S, |writer| writer != "n1");
        assert_eq!(rows.iter().count(), 0);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Parts of a budget never come to more than the whole: in one fleet, and summed over both sides of a cut.
        #[test]
        fn parts_never_pass_the_whole(asked in prop::collection::vec(0..50u32, 2..12), cut in any::<prop::sample::Index>()) {
            let instances = asked.len();
            let side = |numbers: Vec<usize>| {
                let mut rows = Rows::default();
                for number in &numbers {
                    rows.hear(S, &number.to_string(), row(1, 1, asked[*number], 0), 0, 1);
                }
                numbers.iter().map(|number| rows.part(&number.to_string(), instances)).sum::<f64>()
            };
            let whole = side((0..instances).collect());
            prop_assert!(whole <= 1.0 + 1e-9, "{}", whole);
            // Where a side has heard nothing of the other one it takes no more than its members' even part.
            let at = 1 + cut.index(instances - 1);
            let (one, other) = (side((0..at).collect()), side((at..instances).collect()));
            prop_assert!(one <= at as f64 / instances as f64 + 1e-9, "{one}");
            prop_assert!(one + other <= 1.0 + 1e-9, "{one} and {other}");
        }
    }
}
