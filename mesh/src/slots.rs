//! Who is at an upstream and who waits to be: the slots of one door. It owns their count, the order of those that wait
//! and the judgement whether waiting is of use. It must never let in more than the upstream has slots, nor keep a req
//! that is unlikely to be answered before it is late while others could be.
//!
//! Calls of runs that are under way go first: each keeps a slot taken somewhere else, and failing it throws away a run.
//! Among the others the one that is late first goes first; those that are late already come last.

use std::collections::VecDeque;

use crate::agree::Nanos;

/// What a run takes goes into the mean with this part.
const TOOK_PART: f64 = 0.05;
/// A req that waits is handed on while it has this much time left at least.
const LEAST_LEFT: Nanos = 15_000_000;
/// No more wait than this many times the slots.
const MOST_WAITING: u32 = 3;

/// A req that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asker {
    /// A run that is under way elsewhere waits for it.
    pub call: bool,
    /// How many doors have turned it away before.
    pub turned: u32,
    /// When its answer is late, and when nobody waits for it any more.
    pub aim: Nanos,
    pub until: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Call,
    InTime,
    Late,
}

/// How a req was received.
#[derive(Debug, PartialEq, Eq)]
pub enum Way {
    /// It has a slot.
    In,
    /// It waits, until then at the longest.
    Waits(Nanos),
    /// There is no use in waiting here.
    Turned,
}

struct Waiting<T> {
    order: (Class, Nanos),
    last: Nanos,
    who: T,
}

/// `T` is who waits.
pub struct Slots<T> {
    slots: u32,
    taken: u32,
    waiting: VecDeque<Waiting<T>>,
    /// What a run takes on the mean of late, in seconds.
    took: f64,
}

impl<T> Default for Slots<T> {
    fn default() -> Slots<T> {
        Slots { slots: 0, taken: 0, waiting: VecDeque::new(), took: 0.0 }
    }
}

impl<T> Slots<T> {
    /// How many the upstream has; those that wait may have a place by that, see `next`.
    pub fn set(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// A req comes; `who` is kept where it waits.
    pub fn ask(&mut self, now: Nanos, asker: &Asker, who: impl FnOnce() -> T) -> Way {
        // One slot is left for those that can still be in time.
        let late = !asker.call && now + self.took() > asker.aim;
        let free = self.slots.saturating_sub(u32::from(late && self.slots > 1));
        if self.taken < free && self.waiting.is_empty() {
            self.taken += 1;
            return Way::In;
        }
        let Some((order, last)) = self.may_wait(now, asker) else { return Way::Turned };
        let at = self.waiting.partition_point(|other| other.order <= order);
        self.waiting.insert(at, Waiting { order, last, who: who() });
        Way::Waits(last)
    }

    /// Its place in the order and how long it may wait there, if that is of use.
    fn may_wait(&self, now: Nanos, asker: &Asker) -> Option<((Class, Nanos), Nanos)> {
        let waiting = self.waiting.len() as u32;
        if waiting >= self.slots.saturating_mul(MOST_WAITING) {
            return None;
        }
        let took = self.took();
        let each = took / Nanos::from(self.slots.max(1));
        let class = if asker.call { Class::Call } else { Class::InTime };
        let order = (class, asker.aim);
        let ahead = self.waiting.partition_point(|other| other.order <= order) as u32;
        let wait = Nanos::from(ahead + 1) * each;
        let last = asker.until.saturating_sub(LEAST_LEFT);
        if now + wait + took <= asker.aim {
            // The first door leaves it to others, which may have a slot free; the last one is as good as any.
            let most = match asker.turned {
                _ if asker.call => self.slots * 2,
                0 | 2 => self.slots / 4,
                1 => self.slots / 2,
                _ => self.slots * 2,
            };
            // Who waits in vain is told while there is time to go elsewhere.
            return (ahead < most).then(|| (order, last.min(asker.aim - took)));
        }
        let order = (Class::Late, asker.until);
        let in_time = now + Nanos::from(waiting + 1) * each + took <= last;
        (asker.turned > 0 && waiting == 0 && in_time).then_some((order, last))
    }

    /// What a run takes on the mean of late.
    pub fn took(&self) -> Nanos {
        (self.took * 1e9) as Nanos
    }

    /// A run has ended, after so long; without a time it tells nothing of how long runs take.
    pub fn leave(&mut self, took: Option<Nanos>) {
        self.taken = self.taken.saturating_sub(1);
        if let Some(took) = took {
            self.took += (took as f64 / 1e9 - self.took) * TOOK_PART;
        }
    }

    /// Who has a slot now, of those that waited. One whose time to wait is over is dropped.
    pub fn next(&mut self, now: Nanos) -> Option<T> {
        while self.taken < self.slots
            && let Some(first) = self.waiting.pop_front()
        {
            if now <= first.last {
                self.taken += 1;
                return Some(first.who);
            }
        }
        None
    }

    /// Those that have gone wait no longer.
    pub fn forget(&mut self, gone: impl Fn(&T) -> bool) {
        self.waiting.retain(|waiting| !gone(&waiting.who));
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn taken(&self) -> u32 {
        self.taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn asker(call: bool, turned: u32, aim_ms: u64) -> Asker {
        Asker { call, turned, aim: aim_ms * MS, until: (aim_ms + 500) * MS }
    }

    /// Slots all of which are taken, and whose runs take 100 ms.
    fn full(slots: u32) -> Slots<u32> {
        let mut all = Slots::default();
        all.set(slots);
        for _ in 0..200 {
            assert_eq!(all.ask(0, &asker(false, 0, 1_000), || 0), Way::In);
            all.leave(Some(100 * MS));
        }
        for _ in 0..slots {
            assert_eq!(all.ask(0, &asker(false, 0, 1_000), || 0), Way::In);
        }
        all
    }

    #[test]
    fn calls_go_first_then_those_that_are_late_first() {
        let mut slots = full(4);
        for (who, call, aim) in [(1, false, 900), (2, false, 500), (3, true, 700), (4, true, 600)] {
            assert!(matches!(slots.ask(0, &asker(call, 3, aim), || who), Way::Waits(_)), "{who}");
        }
        let mut went = Vec::new();
        for _ in 0..4 {
            slots.leave(None);
            went.extend(slots.next(MS));
        }
        assert_eq!((went, slots.next(MS)), (vec![4, 3, 2, 1], None));
    }

    #[test]
    fn no_more_than_its_slots_are_let_in_and_none_waits_in_vain() {
        let mut slots = full(4);
        // Late before its turn would come: nowhere; late already, but the only one: if its client still waits.
        assert_eq!(slots.ask(0, &asker(false, 3, 110), || 1), Way::Waits(595 * MS));
        assert_eq!(slots.ask(0, &asker(false, 3, 110), || 2), Way::Turned);
        assert_eq!(slots.ask(0, &asker(false, 0, 50), || 3), Way::Turned);
        // The first door lets one wait, the last one more.
        assert!(matches!(slots.ask(0, &asker(false, 0, 1_000), || 4), Way::Waits(_)));
        assert_eq!(slots.ask(0, &asker(false, 0, 1_000), || 5), Way::Turned);
        assert!(matches!(slots.ask(0, &asker(false, 1, 1_000), || 6), Way::Waits(_)));
        assert_eq!((slots.taken(), slots.next(MS)), (4, None));
        slots.leave(None);
        // Past its time to wait it is passed over.
        assert_eq!((slots.next(980 * MS), slots.taken(), slots.waiting()), (None, 3, 0));
    }
}
