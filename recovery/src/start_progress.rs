//! The way from a process's start to full service, as a machine with names. It owns what counts as full service and when it
//! was reached, and must never hold a req back: it only says what a start still lacks, and how long it may wait before it
//! serves at all.

use crate::{MS, Nanos, S};

/// What a start goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListFreshness {
    /// No list at all: nothing can be sent.
    NoList,
    /// A list from before the start.
    StaleList,
    /// Others have told what they know.
    ConfirmedByPeers,
    /// Discovery has told a list since the start.
    ConfirmedByDiscovery,
}

impl ListFreshness {
    pub fn label(self) -> &'static str {
        match self {
            ListFreshness::NoList => "nothing",
            ListFreshness::StaleList => "an old list",
            ListFreshness::ConfirmedByPeers => "told by others",
            ListFreshness::ConfirmedByDiscovery => "told by discovery",
        }
    }
}

/// A window is bad where more than this part of what ended in it was lost; where few ended, any loss.
const WINDOW: Nanos = 500 * MS;
const LOST: f64 = 0.05;
const ENOUGH: u64 = 8;
/// Full service is told once no window has been bad for so long. It was reached at the end of the last bad one.
const QUIET: Nanos = 2 * S;

/// A start's wait for others before it serves is worth while it costs less than what it saves. An old list of this age has
/// so much changed (half of a fleet in an hour of deploying), each req at a srv that is gone is lost in one of three cases
/// (the others go elsewhere at once), for as long as discovery takes to tell.
const HALF_CHANGED: f64 = 3_600.0;
const LOST_OF_STALE: f64 = 0.33;
const DISCOVERY_TAKES: f64 = 1.0;
const WAIT_MOST: Nanos = 300 * MS;

/// How long a start with a list of this age may wait for others to tell what has changed since. With nobody to ask, or a list
/// whose age is not known, it serves at once: to guess an age cost each start 36 ms, a fourteenth of the half second in which
/// all restart.
pub fn max_wait_for_peers(list_age: Option<Nanos>, has_peers: bool) -> Nanos {
    let Some(age) = list_age.filter(|_| has_peers) else { return 0 };
    let changed = 1.0 - 0.5f64.powf(age as f64 / 1e9 / HALF_CHANGED);
    let worth = changed * LOST_OF_STALE * DISCOVERY_TAKES;
    ((worth * 1e9) as Nanos).min(WAIT_MOST)
}

#[derive(Clone, Debug)]
pub struct StartProgress {
    began: Nanos,
    freshness: ListFreshness,
    /// When each was reached first.
    reached: [Option<Nanos>; 4],
    ready: Option<Nanos>,
    full: Option<Nanos>,
    /// The window under way: its begin, and what ended in it.
    window: Nanos,
    ended: u64,
    lost: u64,
    /// The end of the last bad one.
    bad_until: Nanos,
}

/// How a start went, once it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSummary {
    /// Spans from the process's start.
    pub ready_after: Nanos,
    pub full_service_after: Nanos,
    pub peers_after: Option<Nanos>,
    pub discovery_after: Option<Nanos>,
    /// What it served by until then.
    pub initial_freshness: ListFreshness,
}

impl StartProgress {
    pub fn new(now: Nanos, list: bool) -> StartProgress {
        let freshness = if list { ListFreshness::StaleList } else { ListFreshness::NoList };
        let mut reached = [None; 4];
        reached[freshness as usize] = Some(now);
        StartProgress {
            began: now,
            freshness,
            reached,
            ready: None,
            full: None,
            window: now,
            ended: 0,
            lost: 0,
            bad_until: now,
        }
    }

    pub fn freshness(&self) -> ListFreshness {
        self.freshness
    }

    /// When full service was reached, from the process's start.
    pub fn full_service_after(&self) -> Option<Nanos> {
        self.full.map(|full| full.saturating_sub(self.began))
    }

    /// It serves.
    pub fn mark_ready(&mut self, now: Nanos) {
        if self.ready.is_none() {
            (self.ready, self.window, self.ended, self.lost) = (Some(now), now, 0, 0);
        }
    }

    /// Others, or discovery, have told what they know. Never less than before.
    pub fn record_confirmation(&mut self, now: Nanos, by: ListFreshness) {
        self.reached[by as usize].get_or_insert(now);
        self.freshness = self.freshness.max(by);
    }

    /// So many reqs have ended; lost are those whose clients got no answer that they wanted.
    pub fn record_requests(&mut self, now: Nanos, ended: u64, lost: u64) {
        self.turn(now);
        (self.ended, self.lost) = (self.ended + ended, self.lost + lost);
    }

    fn turn(&mut self, now: Nanos) {
        if now < self.window + WINDOW {
            return;
        }
        let bad = match self.ended {
            0..ENOUGH => self.lost > 0,
            ended => self.lost as f64 > LOST * ended as f64,
        };
        if bad {
            self.bad_until = self.window + WINDOW;
        }
        (self.window, self.ended, self.lost) = (now, 0, 0);
    }

    /// Looks whether it is over; the first time that it is, how it went.
    pub fn check_full_service(&mut self, now: Nanos) -> Option<StartSummary> {
        self.turn(now);
        let ready = self.ready?;
        // Somebody has confirmed the list since.
        let confirmed =
            self.reached[ListFreshness::ConfirmedByPeers as usize..].iter().flatten().min().copied()?;
        let full = self.bad_until.max(confirmed).max(ready);
        if self.full.is_some() || now < full + QUIET {
            return None;
        }
        self.full = Some(full);
        let span = |at: Nanos| at.saturating_sub(self.began);
        let old = self.reached[ListFreshness::StaleList as usize].is_some();
        Some(StartSummary {
            ready_after: span(ready),
            full_service_after: span(full),
            peers_after: self.reached[ListFreshness::ConfirmedByPeers as usize].map(span),
            discovery_after: self.reached[ListFreshness::ConfirmedByDiscovery as usize].map(span),
            initial_freshness: if old { ListFreshness::StaleList } else { ListFreshness::NoList },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn full_service_is_when_the_last_bad_window_ended_and_somebody_confirmed_the_list() {
        let mut start = StartProgress::new(0, true);
        start.mark_ready(300 * MS);
        assert_eq!(start.check_full_service(10 * S), None, "nobody has confirmed its list");
        let mut start = StartProgress::new(0, true);
        start.mark_ready(300 * MS);
        start.record_requests(400 * MS, 100, 30);
        start.record_confirmation(600 * MS, ListFreshness::ConfirmedByPeers);
        start.record_requests(900 * MS, 100, 2);
        start.record_requests(S, 2, 0);
        assert_eq!(start.check_full_service(2_700 * MS), None, "the quiet has not lasted");
        let told = start.check_full_service(2_800 * MS).expect("over");
        assert_eq!(
            (told.ready_after, told.full_service_after, told.peers_after),
            (300 * MS, 800 * MS, Some(600 * MS))
        );
        assert_eq!(
            (told.initial_freshness, told.discovery_after, start.freshness()),
            (ListFreshness::StaleList, None, ListFreshness::ConfirmedByPeers)
        );
        assert_eq!(
            (start.check_full_service(9 * S), start.full_service_after()),
            (None, Some(800 * MS)),
            "it is told once"
        );
    }

    #[test]
    fn where_hardly_anything_is_asked_any_loss_is_bad_and_none_is_needed() {
        let mut start = StartProgress::new(0, false);
        start.mark_ready(100 * MS);
        start.record_confirmation(50 * MS, ListFreshness::ConfirmedByDiscovery);
        start.record_requests(S, 1, 1);
        let told = start.check_full_service(5 * S).expect("over");
        assert_eq!((told.full_service_after, told.initial_freshness), (1_500 * MS, ListFreshness::NoList));
        let mut idle = StartProgress::new(0, false);
        idle.mark_ready(100 * MS);
        idle.record_confirmation(50 * MS, ListFreshness::ConfirmedByDiscovery);
        assert_eq!(idle.check_full_service(2_100 * MS).map(|told| told.full_service_after), Some(100 * MS));
    }

    #[test]
    fn a_wait_is_bounded_and_grows_with_what_it_may_save() {
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
