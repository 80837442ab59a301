//! The progress of a starting instance to full service.
//!
//! Full service is reached when the instance is ready, peers or discovery have confirmed its list, and requests are no
//! longer lost.
//!
//! Invariant: this module never holds a request back. It only reports progress, and how long a start may wait before it
//! becomes ready.

use crate::{MS, Nanos, S};

/// How current the list in use is. The metric `start.knows` shows the discriminant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListFreshness {
    /// There is no list, so no request can be forwarded.
    NoList,
    /// The list is from before the start.
    StaleList,
    /// Peers have sent the changes they know of since the start.
    ConfirmedByPeers,
    /// Discovery has sent a list since the start.
    ConfirmedByDiscovery,
}

impl ListFreshness {
    /// The text in the log line on full service.
    pub fn label(self) -> &'static str {
        match self {
            ListFreshness::NoList => "nothing",
            ListFreshness::StaleList => "an old list",
            ListFreshness::ConfirmedByPeers => "told by others",
            ListFreshness::ConfirmedByDiscovery => "told by discovery",
        }
    }
}

/// The length of the windows in which lost requests are counted.
const LOSS_WINDOW: Nanos = 500 * MS;
/// A window is bad if more than this part of its requests was lost.
const MAX_LOSS_RATIO: f64 = 0.05;
/// In a window with fewer requests, any lost one makes it bad.
const MIN_REQUESTS_FOR_RATIO: u64 = 8;
/// Full service is reported after this time without a bad window. It counts from the end of the last bad window.
const STABLE_PERIOD: Nanos = 2 * S;

// Waiting for peers is worthwhile while it costs less time than it saves in lost requests. That is the part of the list
// that has changed, times the part of requests to gone servers that are lost, times the time until discovery responds.

/// The age at which half of a list has changed: deploying replaces half of a fleet in an hour.
const LIST_HALF_LIFE_S: f64 = 3_600.0;
/// The part of requests to gone servers that are lost; the others are retried elsewhere at once.
const STALE_SERVER_LOSS_RATIO: f64 = 0.33;
const DISCOVERY_LATENCY_S: f64 = 1.0;
const MAX_WAIT: Nanos = 300 * MS;

/// The time that a start with a list of this age may wait for peers to report what has changed since.
///
/// Without peers, or if the age is unknown, it does not wait: waiting for a guessed age cost each start 36 ms, a
/// fourteenth of the half second in which all instances restart.
pub fn max_wait_for_peers(list_age: Option<Nanos>, has_peers: bool) -> Nanos {
    let Some(age) = list_age.filter(|_| has_peers) else { return 0 };
    let changed_ratio = 1.0 - 0.5f64.powf(age as f64 / 1e9 / LIST_HALF_LIFE_S);
    let saved_s = changed_ratio * STALE_SERVER_LOSS_RATIO * DISCOVERY_LATENCY_S;
    ((saved_s * 1e9) as Nanos).min(MAX_WAIT)
}

#[derive(Clone, Debug)]
pub struct StartProgress {
    started_at: Nanos,
    freshness: ListFreshness,
    /// When each [`ListFreshness`] was first reached.
    reached_at: [Option<Nanos>; 4],
    ready_at: Option<Nanos>,
    full_service_at: Option<Nanos>,
    window_start: Nanos,
    /// Requests that ended in the current window, and how many of them were lost.
    window_ended: u64,
    window_lost: u64,
    /// The end of the last bad window.
    last_bad_window_end: Nanos,
}

/// The course of a start. Times count from the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSummary {
    pub ready_after: Nanos,
    pub full_service_after: Nanos,
    /// When peers confirmed the list.
    pub peers_after: Option<Nanos>,
    /// When discovery confirmed the list.
    pub discovery_after: Option<Nanos>,
    /// The freshness of the list that it started with.
    pub initial_freshness: ListFreshness,
}

impl StartProgress {
    pub fn new(now: Nanos, has_list: bool) -> StartProgress {
        let freshness = if has_list { ListFreshness::StaleList } else { ListFreshness::NoList };
        let mut reached_at = [None; 4];
        reached_at[freshness as usize] = Some(now);
        StartProgress {
            started_at: now,
            freshness,
            reached_at,
            ready_at: None,
            full_service_at: None,
            window_start: now,
            window_ended: 0,
            window_lost: 0,
            last_bad_window_end: now,
        }
    }

    pub fn freshness(&self) -> ListFreshness {
        self.freshness
    }

    /// The time from the start of the process to full service, once that is reached.
    pub fn full_service_after(&self) -> Option<Nanos> {
        self.full_service_at.map(|at| at.saturating_sub(self.started_at))
    }

    /// Records that the instance accepts requests.
    pub fn mark_ready(&mut self, now: Nanos) {
        if self.ready_at.is_none() {
            (self.ready_at, self.window_start, self.window_ended, self.window_lost) = (Some(now), now, 0, 0);
        }
    }

    /// Records that peers or discovery have confirmed the list. The freshness never decreases.
    pub fn record_confirmation(&mut self, now: Nanos, freshness: ListFreshness) {
        self.reached_at[freshness as usize].get_or_insert(now);
        self.freshness = self.freshness.max(freshness);
    }

    /// Records requests that have ended. Lost are those whose clients got no response or not one they could use.
    pub fn record_requests(&mut self, now: Nanos, ended: u64, lost: u64) {
        self.advance_window(now);
        (self.window_ended, self.window_lost) = (self.window_ended + ended, self.window_lost + lost);
    }

    /// Evaluates the current window if it has passed, and begins the next.
    fn advance_window(&mut self, now: Nanos) {
        if now < self.window_start + LOSS_WINDOW {
            return;
        }
        let is_bad = match self.window_ended {
            0..MIN_REQUESTS_FOR_RATIO => self.window_lost > 0,
            ended => self.window_lost as f64 > MAX_LOSS_RATIO * ended as f64,
        };
        if is_bad {
            self.last_bad_window_end = self.window_start + LOSS_WINDOW;
        }
        (self.window_start, self.window_ended, self.window_lost) = (now, 0, 0);
    }

    /// Returns the summary of the start once, after full service has lasted for `STABLE_PERIOD`.
    pub fn check_full_service(&mut self, now: Nanos) -> Option<StartSummary> {
        self.advance_window(now);
        let ready_at = self.ready_at?;
        let confirmed_at =
            self.reached_at[ListFreshness::ConfirmedByPeers as usize..].iter().flatten().min().copied()?;
        let full_service_at = self.last_bad_window_end.max(confirmed_at).max(ready_at);
        if self.full_service_at.is_some() || now < full_service_at + STABLE_PERIOD {
            return None;
        }
        self.full_service_at = Some(full_service_at);
        let after_start = |at: Nanos| at.saturating_sub(self.started_at);
        let had_list = self.reached_at[ListFreshness::StaleList as usize].is_some();
        Some(StartSummary {
            ready_after: after_start(ready_at),
            full_service_after: after_start(full_service_at),
            peers_after: self.reached_at[ListFreshness::ConfirmedByPeers as usize].map(after_start),
            discovery_after: self.reached_at[ListFreshness::ConfirmedByDiscovery as usize].map(after_start),
            initial_freshness: if had_list { ListFreshness::StaleList } else { ListFreshness::NoList },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn full_service_begins_after_the_last_bad_window_and_a_confirmed_list() {
        let mut start = StartProgress::new(0, true);
        start.mark_ready(300 * MS);
        assert_eq!(start.check_full_service(10 * S), None, "nobody has confirmed the list");
        let mut start = StartProgress::new(0, true);
        start.mark_ready(300 * MS);
        start.record_requests(400 * MS, 100, 30);
        start.record_confirmation(600 * MS, ListFreshness::ConfirmedByPeers);
        start.record_requests(900 * MS, 100, 2);
        start.record_requests(S, 2, 0);
        assert_eq!(start.check_full_service(2_700 * MS), None, "the stable period has not passed");
        let summary = start.check_full_service(2_800 * MS).expect("full service");
        assert_eq!(
            (summary.ready_after, summary.full_service_after, summary.peers_after),
            (300 * MS, 800 * MS, Some(600 * MS))
        );
        assert_eq!(
            (summary.initial_freshness, summary.discovery_after, start.freshness()),
            (ListFreshness::StaleList, None, ListFreshness::ConfirmedByPeers)
        );
        assert_eq!(
            (start.check_full_service(9 * S), start.full_service_after()),
            (None, Some(800 * MS)),
            "the summary is returned once"
        );
    }

    #[test]
    fn with_few_requests_any_lost_one_makes_a_window_bad_and_none_are_needed() {
        let mut start = StartProgress::new(0, false);
        start.mark_ready(100 * MS);
        start.record_confirmation(50 * MS, ListFreshness::ConfirmedByDiscovery);
        start.record_requests(S, 1, 1);
        let summary = start.check_full_service(5 * S).expect("full service");
        assert_eq!(
            (summary.full_service_after, summary.initial_freshness),
            (1_500 * MS, ListFreshness::NoList)
        );
        let mut idle = StartProgress::new(0, false);
        idle.mark_ready(100 * MS);
        idle.record_confirmation(50 * MS, ListFreshness::ConfirmedByDiscovery);
        assert_eq!(
            idle.check_full_service(2_100 * MS).map(|summary| summary.full_service_after),
            Some(100 * MS)
        );
    }

    #[test]
    fn the_wait_for_peers_grows_with_the_age_of_the_list_and_is_bounded() {
        assert_eq!(
            (
                max_wait_for_peers(Some(0), true),
                max_wait_for_peers(Some(S), false),
                max_wait_for_peers(None, false)
            ),
            (0, 0, 0)
        );
        let minutes = |count: u64| max_wait_for_peers(Some(count * 60 * S), true);
        assert!(minutes(1) < 5 * MS && minutes(10) > 20 * MS && minutes(10) < 60 * MS);
        assert_eq!((minutes(6_000), max_wait_for_peers(None, true)), (300 * MS, 0));
    }
}
