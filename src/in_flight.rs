//! The dispatches in flight, as a linked list in the order in which they were sent, so that overdue ones are found without a
//! walk over the others. Slots of ended dispatches are reused: memory grows only with the number of dispatches in flight at a time.

use crate::types::{Nanos, to_seconds};

/// The end of the list.
const NONE: u32 = u32::MAX;

/// Identifies a dispatch: the request and the index among its dispatches.
#[derive(Clone, Copy)]
pub struct DispatchId {
    pub request_id: u64,
    pub dispatch_index: usize,
}

/// A dispatch in flight.
pub struct InFlightDispatch {
    pub sent_at: Nanos,
    pub endpoint_id: u32,
    pub request_id: u64,
    pub dispatch_index: usize,
    pub cancelled: bool,
    /// For how long its connection had been idle before.
    pub idle: Nanos,
    /// How much longer than others it may take before it is overdue.
    pub extra_time: Nanos,
    /// Whether its age has reached the maximum that the owner gives to [`InFlightList::cap_next`].
    pub age_capped: bool,
    previous: u32,
    next: u32,
}

pub struct InFlightList {
    slots: Vec<InFlightDispatch>,
    free_slots: Vec<u32>,
    oldest: u32,
    newest: u32,
    /// The oldest one whose age is not capped.
    oldest_uncapped: u32,
}

/// The time in seconds since a dispatch was sent, less its extra time.
pub fn age_beyond_extra_time(now: Nanos, sent_at: Nanos, extra_time: Nanos) -> f64 {
    to_seconds(now.saturating_sub(sent_at + extra_time))
}

impl InFlightList {
    pub fn new() -> InFlightList {
        InFlightList {
            slots: Vec::new(),
            free_slots: Vec::new(),
            oldest: NONE,
            newest: NONE,
            oldest_uncapped: NONE,
        }
    }

    /// Adds a dispatch that is sent now, and returns its slot. Times must not decrease between calls.
    pub fn add(
        &mut self,
        sent_at: Nanos,
        endpoint_id: u32,
        DispatchId { request_id, dispatch_index }: DispatchId,
        extra_time: Nanos,
        idle: Nanos,
    ) -> u32 {
        let previous = self.newest;
        let dispatch = InFlightDispatch {
            sent_at,
            endpoint_id,
            request_id,
            dispatch_index,
            cancelled: false,
            idle,
            extra_time,
            age_capped: false,
            previous,
            next: NONE,
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.slots[slot as usize] = dispatch;
                slot
            }
            None => {
                self.slots.push(dispatch);
                self.slots.len() as u32 - 1
            }
        };
        match previous {
            NONE => self.oldest = slot,
            previous => self.slots[previous as usize].next = slot,
        }
        self.newest = slot;
        if self.oldest_uncapped == NONE {
            self.oldest_uncapped = slot;
        }
        slot
    }

    pub fn remove(&mut self, slot: u32) {
        let (previous, next) = (self.slots[slot as usize].previous, self.slots[slot as usize].next);
        match previous {
            NONE => self.oldest = next,
            previous => self.slots[previous as usize].next = next,
        }
        match next {
            NONE => self.newest = previous,
            next => self.slots[next as usize].previous = previous,
        }
        if self.oldest_uncapped == slot {
            self.oldest_uncapped = next;
        }
        self.free_slots.push(slot);
    }

    /// Marks the oldest uncapped dispatch as capped if it has reached `max_age`, and returns its slot. Call it until it returns
    /// `None`.
    pub fn cap_next(&mut self, now: Nanos, max_age: Nanos) -> Option<u32> {
        let slot = Some(self.oldest_uncapped).filter(|slot| *slot != NONE)?;
        let reached = |dispatch: &&mut InFlightDispatch| now.saturating_sub(dispatch.sent_at) >= max_age;
        let dispatch = self.slots.get_mut(slot as usize).filter(reached)?;
        (dispatch.age_capped, self.oldest_uncapped) = (true, dispatch.next);
        Some(slot)
    }

    pub fn get(&self, slot: u32) -> &InFlightDispatch {
        &self.slots[slot as usize]
    }

    pub fn get_mut(&mut self, slot: u32) -> &mut InFlightDispatch {
        &mut self.slots[slot as usize]
    }

    /// All dispatches in flight with their slots, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &InFlightDispatch)> {
        let mut next = self.oldest;
        std::iter::from_fn(move || {
            let slot = Some(next).filter(|slot| *slot != NONE)?;
            let dispatch = &self.slots[slot as usize];
            next = dispatch.next;
            Some((slot, dispatch))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn order_survives_any_removal_and_slots_are_reused() {
        let mut list = InFlightList::new();
        let mut slots = Vec::new();
        for round in 0..50u64 {
            for number in 0..4 {
                slots.push(list.add(
                    round,
                    0,
                    DispatchId { request_id: round * 4 + number, dispatch_index: 0 },
                    0,
                    0,
                ));
            }
            for _ in 0..3 {
                let ended = slots.remove((round as usize * 7) % slots.len());
                list.remove(ended);
            }
            let ids: Vec<u64> = list.iter().map(|(_, dispatch)| dispatch.request_id).collect();
            assert!(ids.is_sorted() && ids.len() == slots.len(), "{ids:?}");
        }
        assert!(list.slots.len() <= slots.len() + 4);
        let mut capped = 0;
        while list.cap_next(60, 20).is_some() {
            capped += 1;
        }
        assert_eq!(capped, list.iter().filter(|(_, dispatch)| dispatch.sent_at <= 40).count());
        for slot in slots {
            list.remove(slot);
        }
        assert!(list.iter().next().is_none() && list.cap_next(100, 1).is_none());
    }
}
