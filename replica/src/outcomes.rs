//! Counts of request outcomes: one row per instance, which only that instance writes.
//!
//! A row replaces one with a smaller sequence number. Rows of different processes under one instance name are told
//! apart by their start ids; the row of the process that the membership considers live is kept.
//!
//! Invariant: rows hold counts, never judgements of a server's health. Each reader adds up the counts of live instances
//! itself, so that a judgement never counts as evidence for itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// The most entries of one row, each for a server and a rule set. Readers ignore further ones.
pub const MAX_ENTRIES_PER_ROW: usize = 64;
pub const MAX_RULE_SETS_PER_ROW: usize = 32;

/// Outcomes of one instance's recent dispatches to a server under one rule set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeCounts {
    pub succeeded: u16,
    /// Responses that report an error of the server itself.
    pub failed: u16,
    /// Dispatches without a connection, with a reset, or without a response in time.
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

    /// Scales the counts down to a total of at most `max_total`, in proportion and rounded, so that one instance cannot
    /// outweigh the others.
    pub fn scaled_down(self, max_total: u16) -> OutcomeCounts {
        let total = self.total();
        if total <= u32::from(max_total) {
            return self;
        }
        // The result is at most `max_total` and so fits a u16.
        let scale = |count: u16| ((u32::from(count) * u32::from(max_total) + total / 2) / total) as u16;
        let lost = scale(self.lost);
        // If both are rounded up, their sum can exceed `max_total` by one.
        let failed = scale(self.failed).min(max_total - lost);
        OutcomeCounts { succeeded: max_total - failed - lost, failed, lost }
    }

    pub fn unsuccessful(self) -> u32 {
        u32::from(self.failed) + u32::from(self.lost)
    }
}

/// The counts that one instance publishes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeRow {
    /// The start id of the writing process, as in its membership record.
    pub start_id: u64,
    /// Increases with each row that the process writes.
    pub sequence: u64,
    /// The zone of the writing instance.
    pub zone: String,
    pub rule_sets: Vec<String>,
    /// A server, an index into `rule_sets`, and the counts.
    pub entries: Vec<(String, u8, OutcomeCounts)>,
}

impl OutcomeRow {
    /// The counts by server and rule set. Skips entries whose rule set index is out of range.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &str, OutcomeCounts)> {
        let rule_set = |index: &u8| self.rule_sets.get(usize::from(*index)).map(String::as_str);
        self.entries
            .iter()
            .filter_map(move |(server, index, counts)| Some((server.as_str(), rule_set(index)?, *counts)))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRow {
    pub row: OutcomeRow,
    /// When it was written, on the local clock: the time of its receipt less its age then.
    pub written_at: Nanos,
}

/// Rows by the names of the instances that write them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OutcomeTable(BTreeMap<String, StoredRow>);

impl OutcomeTable {
    pub fn get(&self, writer: &str) -> Option<&StoredRow> {
        self.0.get(writer)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &StoredRow)> {
        self.0.iter()
    }

    /// Merges a row of the given age and returns whether it was stored. `live_start_id` is that of the writer's live
    /// process; rows of its other processes are ignored.
    pub fn merge(
        &mut self,
        now: Nanos,
        writer: &str,
        mut row: OutcomeRow,
        age: Nanos,
        live_start_id: u64,
    ) -> bool {
        if row.start_id != live_start_id {
            return false;
        }
        row.entries.truncate(MAX_ENTRIES_PER_ROW);
        row.rule_sets.truncate(MAX_RULE_SETS_PER_ROW);
        let written_at = now.saturating_sub(age);
        match self.0.get_mut(writer) {
            Some(stored) if stored.row.start_id == row.start_id && stored.row.sequence >= row.sequence => {
                return false;
            }
            Some(stored) => *stored = StoredRow { row, written_at },
            None => drop(self.0.insert(writer.to_owned(), StoredRow { row, written_at })),
        }
        true
    }

    /// Drops rows that are older than `max_age` or whose writer is not a live member.
    pub fn evict(&mut self, now: Nanos, max_age: Nanos, is_live: impl Fn(&str) -> bool) {
        self.0.retain(|writer, stored| is_live(writer) && now.saturating_sub(stored.written_at) <= max_age);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const S: Nanos = 1_000_000_000;

    fn row(start_id: u64, sequence: u64, lost: u16) -> OutcomeRow {
        let counts = OutcomeCounts { lost, ..OutcomeCounts::default() };
        OutcomeRow {
            start_id,
            sequence,
            zone: "a".into(),
            rule_sets: vec!["x".into()],
            entries: vec![("s".into(), 0, counts)],
        }
    }

    fn lost(table: &OutcomeTable) -> Option<u16> {
        table.get("n1").and_then(|stored| stored.row.counts().next()).map(|(_, _, counts)| counts.lost)
    }

    #[test]
    fn the_newest_row_of_the_live_process_is_kept() {
        let mut table = OutcomeTable::default();
        assert!(table.merge(10 * S, "n1", row(7, 2, 1), S, 7));
        assert!(!table.merge(10 * S, "n1", row(7, 1, 9), 0, 7), "an older row is ignored");
        assert!(!table.merge(10 * S, "n1", row(6, 9, 9), 0, 7), "a row of an earlier process is ignored");
        assert_eq!(lost(&table), Some(1));
        assert!(table.merge(10 * S, "n1", row(8, 1, 3), 0, 8), "a new process starts its sequence anew");
        assert_eq!(lost(&table), Some(3));
        table.evict(12 * S, S, |_| true);
        assert_eq!(lost(&table), None, "the row has exceeded the maximum age");
        table.merge(12 * S, "n1", row(8, 2, 3), 0, 8);
        table.evict(12 * S, 10 * S, |writer| writer != "n1");
        assert_eq!(table.iter().count(), 0);
    }

    #[test]
    fn entries_with_an_unknown_rule_set_are_skipped() {
        let mut row = row(1, 1, 2);
        row.entries.push(("t".into(), 9, OutcomeCounts { succeeded: 1, ..OutcomeCounts::default() }));
        assert_eq!(
            row.counts().collect::<Vec<_>>(),
            [("s", "x", OutcomeCounts { lost: 2, ..OutcomeCounts::default() })]
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Scaled counts make a server look as bad as it is and no worse.
        #[test]
        fn scaled_counts_keep_the_proportion(
            succeeded in 0..500u16, failed in 0..500u16, lost in 0..500u16, max_total in 1..9u16,
        ) {
            let counts = OutcomeCounts { succeeded, failed, lost };
            let scaled = counts.scaled_down(max_total);
            prop_assert_eq!(scaled.total(), counts.total().min(u32::from(max_total)));
            // Each is within one outcome of its exact share, and a count of zero is at most rounded up to one.
            for (scaled, count) in [(scaled.succeeded, succeeded), (scaled.failed, failed), (scaled.lost, lost)] {
                let share = f64::from(count) * f64::from(max_total) / f64::from(counts.total().max(u32::from(max_total)));
                prop_assert!((f64::from(scaled) - share).abs() <= 1.0 && (count > 0 || scaled <= 1), "{scaled} of {share}");
            }
            prop_assert!(counts.unsuccessful() > 0 || scaled.unsuccessful() == 0);
        }
    }
}
