//! All counts of the program, each written where the thing happens. It owns them and the form they are shown in.
//! It must never lock or walk anything for a req, and never be asked what to do: nothing is decided by a count.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering::Relaxed};

use ochreshed::Name;

/// Stands ahead of every figure's name.
const PREFIX: &str = "app";

/// How a req ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Success,
    Overload,
    Error,
}

const ENDS: [(Ended, &str); 3] =
    [(Ended::Success, "success"), (Ended::Overload, "overload"), (Ended::Error, "error")];

/// A rule set's reqs that have ended, by how.
struct Replies {
    rule_set: Name,
    ended: [AtomicU64; 3],
}

pub struct Figures {
    replies: Vec<Replies>,
    in_hand: AtomicUsize,
    dispatches: AtomicU64,
    listed: AtomicUsize,
    avoided: AtomicUsize,
}

impl Figures {
    pub fn new(rule_sets: impl IntoIterator<Item = Name>) -> Arc<Figures> {
        let replies = rule_sets.into_iter().map(|rule_set| Replies { rule_set, ended: Default::default() });
        Arc::new(Figures {
            replies: replies.collect(),
            in_hand: AtomicUsize::new(0),
            dispatches: AtomicU64::new(0),
            listed: AtomicUsize::new(0),
            avoided: AtomicUsize::new(0),
        })
    }

    /// Counts a req in, until what is answered is dropped.
    #[cfg(test)]
    pub fn take(self: &Arc<Figures>, rule_set: &str) -> InHand {
        let hand = self.expect(rule_set);
        hand.coming.begin();
        hand
    }

    /// A req whose last byte is still to come: it is in hand from then on.
    pub fn expect(self: &Arc<Figures>, rule_set: &str) -> InHand {
        let at = self.replies.iter().position(|replies| &*replies.rule_set == rule_set);
        let coming = Coming { figures: self.clone(), state: AtomicU8::new(WAITED_FOR) };
        InHand { coming: Arc::new(coming), at, how: Ended::Error }
    }

    /// A dispatch has been written whole.
    pub fn dispatched(&self) {
        self.dispatches.fetch_add(1, Relaxed);
    }

    /// How many srvs are listed, and how many of them are avoided now.
    pub fn stand(&self, (listed, avoided): (usize, usize)) {
        self.listed.store(listed, Relaxed);
        self.avoided.store(avoided, Relaxed);
    }

    /// How many reqs have ended, and how many of them not well for their clients.
    pub fn ends(&self) -> (u64, u64) {
        let sum = |at: usize| self.replies.iter().map(|replies| replies.ended[at].load(Relaxed)).sum::<u64>();
        let lost = sum(1) + sum(2);
        (sum(0) + lost, lost)
    }

    /// A line for each figure: its name, a colon, its value, and whether it is a count or a gauge. Further ones come last.
    pub fn page(&self, further: &[(&str, u64, &str)]) -> String {
        let mut page = String::new();
        let mut line = |name: &str, value: u64, kind: &str| {
            // A String takes whatever it is given.
            let _ = writeln!(page, "{PREFIX}.{name}:{value}|{kind}");
        };
        for replies in &self.replies {
            let rule_set = safe(&replies.rule_set);
            for ((_, how), count) in ENDS.iter().zip(&replies.ended) {
                line(&format!("replies.{rule_set}.{how}"), count.load(Relaxed), "c");
            }
        }
        line("dispatches", self.dispatches.load(Relaxed), "c");
        line("concurrent", self.in_hand.load(Relaxed) as u64, "g");
        line("targets", self.listed.load(Relaxed) as u64, "g");
        line("targets_disabled", self.avoided.load(Relaxed) as u64, "g");
        for (name, value, kind) in further {
            line(name, *value, kind);
        }
        page
    }
}

/// A rule set's name with nothing in it that the form of the page gives a meaning. Guards against names that would
/// end a line or a value.
fn safe(name: &str) -> String {
    let keep = |c: char| c.is_alphanumeric() || c == '-' || c == '_';
    name.chars().map(|c| if keep(c) { c } else { '_' }).collect()
}

const WAITED_FOR: u8 = 0;
const IN_HAND: u8 = 1;
const OVER: u8 = 2;

/// A req that is to be in hand once its last byte has come.
pub struct Coming {
    figures: Arc<Figures>,
    state: AtomicU8,
}

impl Coming {
    /// Of a req that no figures are kept of.
    pub fn apart() -> Arc<Coming> {
        Arc::new(Coming { figures: Figures::new([]), state: AtomicU8::new(WAITED_FOR) })
    }

    pub fn whole(&self) -> bool {
        self.state.load(Relaxed) != WAITED_FOR
    }

    /// Its last byte has come.
    pub fn begin(&self) {
        if self.state.compare_exchange(WAITED_FOR, IN_HAND, Relaxed, Relaxed).is_ok() {
            self.figures.in_hand.fetch_add(1, Relaxed);
        }
    }
}

/// A req in hand. Dropped, it is counted out: as failed if nobody said how it ended, as when its client has gone.
pub struct InHand {
    coming: Arc<Coming>,
    at: Option<usize>,
    how: Ended,
}

impl InHand {
    pub fn coming(&self) -> Arc<Coming> {
        self.coming.clone()
    }

    pub fn ends(&mut self, how: Ended) {
        self.how = how;
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        let figures = &self.coming.figures;
        let at = self.at.and_then(|at| figures.replies.get(at));
        let place = ENDS.iter().position(|(how, _)| *how == self.how);
        if let Some(count) = at.zip(place).and_then(|(replies, place)| replies.ended.get(place)) {
            count.fetch_add(1, Relaxed);
        }
        if self.coming.state.swap(OVER, Relaxed) == IN_HAND {
            figures.in_hand.fetch_sub(1, Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use expect_test::expect;
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn every_line_is_there_from_the_start_whatever_a_rule_set_is_called() {
        let figures = Figures::new(["pay".into(), "a.b:1|c\nx".into()]);
        drop(figures.take("pay"));
        let mut done = figures.take("pay");
        done.ends(Ended::Success);
        drop(done);
        let _held = figures.take("a.b:1|c\nx");
        figures.dispatched();
        figures.stand((5, 2));
        expect![[r#"
            app.replies.pay.success:1|c
            app.replies.pay.overload:0|c
            app.replies.pay.error:1|c
            app.replies.a_b_1_c_x.success:0|c
            app.replies.a_b_1_c_x.overload:0|c
            app.replies.a_b_1_c_x.error:0|c
            app.dispatches:1|c
            app.concurrent:1|g
            app.targets:5|g
            app.targets_disabled:2|g
        "#]]
        .assert_eq(&figures.page(&[]));
    }

    proptest! {
        /// Guards against a way to end that is not counted, or counted twice.
        #[test]
        fn what_was_taken_has_ended_or_is_in_hand(acts in prop::collection::vec((0..2usize, 0..6usize), 0..200)) {
            let names = ["a", "b"];
            let figures = Figures::new(names.map(Name::from));
            let (mut held, mut taken) = (Vec::new(), 0);
            for (set, act) in acts {
                match act {
                    0 | 1 => {
                        held.push(figures.take(names[set]));
                        taken += 1;
                    }
                    2 if !held.is_empty() => drop(held.swap_remove(set % held.len())),
                    _ => if let Some(mut req) = held.pop() {
                        req.ends(ENDS[act % 3].0);
                    },
                }
                let ended = |replies: &Replies| replies.ended.iter().map(|n| n.load(Relaxed)).sum::<u64>();
                let ended: u64 = figures.replies.iter().map(ended).sum();
                prop_assert_eq!(taken, ended + figures.in_hand.load(Relaxed) as u64);
                prop_assert_eq!(figures.in_hand.load(Relaxed), held.len());
            }
            drop(held);
            prop_assert_eq!(figures.in_hand.load(Relaxed), 0);
        }
    }
}
