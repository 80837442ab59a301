//! Counts the outcomes of requests on members' routes at one outbound proxy.
//!
//! [`OutcomeCounter`] counts them by the edition of the routes in effect for each request, so that a canary can be
//! compared with the previous version.
//!
//! Invariants: this module only counts; the number of editions is bounded.

use std::collections::BTreeMap;

use ochreshed::Nanos;
use ochreshed_catalog::traffic_reports::{EditionOutcomes, MAX_EDITIONS, OutcomeCounts, RouteEdition};

use crate::sliding_window::SlidingWindow;

/// Outcome counts by edition over a sliding window.
#[derive(Clone, Debug)]
pub struct OutcomeCounter {
    window: Nanos,
    editions: BTreeMap<RouteEdition, SlidingWindow<OutcomeCounts>>,
}

impl OutcomeCounter {
    /// Creates an empty counter over this window.
    pub fn with_window(window: Nanos) -> OutcomeCounter {
        OutcomeCounter { window, editions: BTreeMap::new() }
    }

    /// Adds outcomes. Those of a new edition are dropped if [`MAX_EDITIONS`] editions have outcomes in the window.
    pub fn add(&mut self, now: Nanos, edition: &RouteEdition, outcomes: OutcomeCounts) {
        if let Some(window) = self.editions.get_mut(edition) {
            return window.add(now, outcomes);
        }
        if self.editions.len() >= MAX_EDITIONS {
            self.editions.retain(|_, window| window.sum(now) != OutcomeCounts::default());
        }
        if self.editions.len() < MAX_EDITIONS {
            let mut window = SlidingWindow::with_span(self.window);
            window.add(now, outcomes);
            self.editions.insert(edition.clone(), window);
        }
    }

    /// The counts of the editions with outcomes in the window, ordered by edition.
    pub fn counts(&self, now: Nanos) -> EditionOutcomes {
        let counts = self.editions.iter().map(|(edition, window)| (edition.clone(), window.sum(now)));
        counts.filter(|(_, counts)| *counts != OutcomeCounts::default()).collect()
    }
}
