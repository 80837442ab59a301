//! How gates tell stewards what their budgets of repeats were used for, and how a steward puts together what all were
//! told. It owns when there is something to tell; the counts are of `ochreshed-mesh`. It must never make a gate ask
//! more often than it does for its news.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed::Nanos;
use ochreshed_mesh::budget::{Spending, Spendings};
use ochreshed_mesh::list::Mark;
use tokio::time::Instant;

use super::wire::{Ask, Callers, NewsAsk, Reply};

/// Other stewards are waited for so long when an operator asks.
const GATHER: Duration = Duration::from_millis(400);
/// A gate tells this many times in a window, if anything has changed.
const TIMES: u32 = 4;

/// What one steward knows of a gate's spending.
#[derive(Default)]
pub struct Telling {
    known: Option<Spending>,
    out: Option<Spending>,
    at: Option<Instant>,
}

impl Telling {
    /// What is to go with the next ask: what changed, not more often than it is worth.
    pub fn news(&mut self, window: Duration, now: impl FnOnce() -> Spending) -> Option<Spending> {
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

/// Asks the other stewards what they were told, adds it, and tells which of them gave no answer.
pub async fn gather(
    callers: &Callers,
    others: Vec<SocketAddr>,
    now: Nanos,
    all: &mut Spendings,
) -> Vec<SocketAddr> {
    let mut asks: FuturesUnordered<_> = others
        .into_iter()
        .map(|at| async move {
            let ask = NewsAsk {
                row: None,
                door: None,
                mark: Mark::default(),
                sheet: (u64::MAX, 0),
                quiet: u64::MAX,
                hold_ms: 0,
                steward: true,
                spent: None,
                gather: true,
            };
            (at, callers.to(at).call(Ask::News(ask), GATHER).await)
        })
        .collect();
    let mut silent = Vec::new();
    while let Some((at, reply)) = asks.next().await {
        match reply {
            Ok(Reply::News(reply)) if reply.spent.is_some() => {
                for (door, age, told) in reply.spent.into_iter().flatten() {
                    all.take(now, door, told, Nanos::from(age) * 1_000_000);
                }
            }
            // An older program tells none.
            _ => silent.push(at),
        }
    }
    silent.sort();
    silent
}

#[cfg(test)]
mod tests {
    use ochreshed_mesh::budget::Figures;

    use super::*;

    const WINDOW: Duration = Duration::from_secs(10);

    fn spending(first: u32) -> Spending {
        vec![("a".into(), Figures { first, ..Figures::default() })]
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
        // Lost on the way, or answered by one that has started anew.
        telling.answered(false);
        assert_eq!(telling.news(WINDOW, || spending(2)), Some(spending(2)));
    }
}
