//! How gates report to stewards: what their budgets of repeats were used for, when they came to full service; and how a
//! steward puts together what all were told. It owns when there is something to tell; the counts are of
//! `ochreshed-traffic`. It must never make a gate ask more often than it does for its news.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed::Nanos;
use ochreshed_catalog::endpoints::TablePosition;
use ochreshed_catalog::internal_rpc::{CollectedReport, CollectedReports};
use ochreshed_catalog::traffic_reports::BudgetReport;
use ochreshed_catalog::traffic_reports::EditionOutcomes;
use ochreshed_catalog::watch_server;
use ochreshed_traffic::budget_reports::BudgetReports;
use tokio::time::Instant;

use super::wire::{Callers, InternalRequest, InternalResponse, WatchRequest};

/// Other stewards are waited for so long when an operator asks.
const GATHER: Duration = Duration::from_millis(400);
/// A gate tells this many times in a window, if anything has changed.
const TIMES: u32 = 4;

/// What one steward knows of a gate's report.
#[derive(Default)]
pub struct Telling {
    known: Option<BudgetReport>,
    out: Option<BudgetReport>,
    at: Option<Instant>,
}

impl Telling {
    /// What is to go with the next ask: what changed, not more often than it is worth.
    pub fn news(&mut self, window: Duration, now: impl FnOnce() -> BudgetReport) -> Option<BudgetReport> {
        // What went with an ask that was given up may not have come.
        self.out = None;
        if self.known.is_some() && self.at.is_some_and(|at| at.elapsed() < window / TIMES) {
            return None;
        }
        let now = now();
        self.out = (self.known.as_ref() != Some(&now)).then_some(now);
        self.at = Some(Instant::now());
        self.out.clone()
    }

    /// An ask was answered by a steward that knows this gate, or not.
    pub fn answered(&mut self, knows: bool) {
        let out = self.out.take();
        self.known = if knows { out.or(self.known.take()) } else { None };
    }
}

/// What stewards were told, as far as they answered.
#[derive(Clone, Debug, Default)]
pub struct Gathered {
    pub reports: BudgetReports,
    /// When stewards came to full service, in ms from their start.
    pub full: BTreeMap<SocketAddr, u32>,
    /// Those that gave no answer.
    pub silent: Vec<SocketAddr>,
}

/// Asks the other stewards what they were told, and adds it.
pub async fn gather(callers: &Callers, others: Vec<SocketAddr>, now: Nanos, mut all: Gathered) -> Gathered {
    let mut asks: FuturesUnordered<_> = others
        .into_iter()
        .map(|at| async move {
            let whole = watch_server::replica_watch_request(TablePosition::default());
            let ask = WatchRequest { max_wait_ms: 0, reports_only: true, ..whole };
            (at, callers.to(at).call(InternalRequest::Watch(ask), GATHER).await)
        })
        .collect();
    while let Some((at, reply)) = asks.next().await {
        // An older program tells none.
        let told = reply.ok().and_then(|reply| match reply {
            InternalResponse::Watch(news) => Some((*news.reports?, news.outcomes)),
            _ => None,
        });
        let Some((CollectedReports { reports, recovery_ms: full_ms }, members)) = told else {
            all.silent.push(at);
            continue;
        };
        let mut members: HashMap<SocketAddr, EditionOutcomes> = members.into_iter().collect();
        for CollectedReport { inbound_proxy: door, age_ms: age, mut report } in reports {
            report.outcomes = members.remove(&door).unwrap_or_default();
            all.reports.store(now, door, report, Nanos::from(age) * 1_000_000);
        }
        all.full.extend(full_ms.map(|full_ms| (at, full_ms)));
    }
    all.silent.sort();
    all
}

#[cfg(test)]
mod tests {
    use ochreshed_catalog::traffic_reports::AttemptCounts;

    use super::*;

    const WINDOW: Duration = Duration::from_secs(10);

    fn spending(first: u32) -> BudgetReport {
        let figures = AttemptCounts { first, ..AttemptCounts::default() };
        BudgetReport { services: vec![("a".into(), figures)], ..BudgetReport::default() }
    }

    #[tokio::test(start_paused = true)]
    async fn a_gate_tells_what_changed_four_times_a_window_and_anew_to_one_that_forgot() {
        let mut telling = Telling::default();
        assert_eq!(telling.news(WINDOW, || spending(1)), Some(spending(1)));
        telling.answered(true);
        assert_eq!(telling.news(WINDOW, || spending(2)), None, "too soon");
        tokio::time::advance(WINDOW / 4).await;
        assert_eq!(telling.news(WINDOW, || spending(1)), None, "nothing new");
        telling.answered(true);
        tokio::time::advance(WINDOW / 4).await;
        assert_eq!(telling.news(WINDOW, || spending(2)), Some(spending(2)));
        assert_eq!(telling.news(WINDOW, || spending(2)), None, "given up, and too soon for another");
        telling.answered(true);
        tokio::time::advance(WINDOW / 4).await;
        assert_eq!(telling.news(WINDOW, || spending(2)), Some(spending(2)));
        // Lost on the way, or answered by one that has started anew.
        telling.answered(false);
        assert_eq!(telling.news(WINDOW, || spending(2)), Some(spending(2)));
    }
}
