//! The outcomes of requests on members' routes at one outbound proxy.
//!
//! [`OutcomeCounter`] counts them by the edition of the routes that was in force for each request, so that a canary can be
//! compared with the version before it.
//!
//! Invariants: nothing is decided here; the number of editions is bounded whatever members do.

use std::collections::BTreeMap;

use ochreshed::Nanos;
use ochreshed_catalog::traffic_reports::{EditionOutcomes, MAX_EDITIONS, OutcomeCounts, RouteEdition};

use crate::sliding_window::SlidingWindow;

/// The outcomes over a window of time by edition.
#[derive(Clone, Debug)]
pub struct OutcomeCounter {
    window: Nanos,
    editions: BTreeMap<RouteEdition, SlidingWindow<OutcomeCounts>>,
}

impl OutcomeCounter {
    /// An empty counter over this window.
    pub fn with_window(window: Nanos) -> OutcomeCounter {
        OutcomeCounter { window, editions: BTreeMap::new() }
    }

    /// Adds outcomes. Those of a new edition are lost where [`MAX_EDITIONS`] have outcomes in the window.
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

    /// The editions that have outcomes in the window, in their order.
    pub fn counts(&self, now: Nanos) -> EditionOutcomes {
        let counts = self.editions.iter().map(|(edition, window)| (edition.clone(), window.sum(now)));
        counts.filter(|(_, counts)| *counts != OutcomeCounts::default()).collect()
    }
}
