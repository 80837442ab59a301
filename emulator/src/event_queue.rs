//! Event queue with simulated time. Events come out by time, and at equal times in insertion order, so that a run depends
//! on its seed alone. Simulated time never goes back.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::Nanos;

pub struct EventQueue<E> {
    now: Nanos,
    sequence: u64,
    heap: BinaryHeap<ScheduledEvent<E>>,
}

struct ScheduledEvent<E> {
    at: Nanos,
    sequence: u64,
    event: E,
}

impl<E> Ord for ScheduledEvent<E> {
    /// Reversed: the heap returns the greatest element, which has to be the earliest event.
    fn cmp(&self, other: &ScheduledEvent<E>) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &ScheduledEvent<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &ScheduledEvent<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> EventQueue<E> {
    pub fn new(now: Nanos) -> EventQueue<E> {
        EventQueue { now, sequence: 0, heap: BinaryHeap::new() }
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Schedules an event; a time in the past counts as now.
    pub fn schedule_at(&mut self, at: Nanos, event: E) {
        self.sequence += 1;
        self.heap.push(ScheduledEvent { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Nanos, event: E) {
        self.schedule_at(self.now.saturating_add(delay), event);
    }

    /// Returns the next event up to `until` and advances time to it, or to `until` if there is none.
    pub fn pop_until(&mut self, until: Nanos) -> Option<E> {
        if self.heap.peek().is_none_or(|due| due.at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let due = self.heap.pop()?;
        self.now = due.at;
        Some(due.event)
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn events_come_out_by_time_and_then_by_insertion(times in prop::collection::vec(0..50u64, 0..200)) {
            let mut events = EventQueue::new(10);
            for (number, at) in times.iter().enumerate() {
                events.schedule_at(*at, (*at, number));
            }
            let mut last = (0, 0);
            for _ in 0..times.len() {
                let (at, number) = events.pop_until(u64::MAX).expect("one for each");
                prop_assert!((at.max(10), number) >= last && events.now() == at.max(10));
                last = (at.max(10), number);
            }
            prop_assert!(events.pop_until(99).is_none() && events.is_empty() && events.now() == 99);
        }
    }

    #[test]
    fn time_advances_to_the_bound_and_never_goes_back() {
        let mut events = EventQueue::new(0);
        events.schedule_at(10, 'a');
        events.schedule_at(30, 'b');
        assert_eq!((events.pop_until(20), events.now()), (Some('a'), 10));
        assert_eq!((events.pop_until(20), events.now()), (None, 20));
        events.schedule_at(5, 'c');
        assert_eq!((events.pop_until(40), events.now()), (Some('c'), 20));
        assert_eq!((events.pop_until(40), events.now()), (Some('b'), 30));
    }
}
