//! Where dispatches that are out are kept: by srv at the edges, and here in the order they were sent, so
//! that the late ones can be walked without the others. It owns their places and the sum of their ages.
//! Nothing here decides; a place is used again once its dispatch has ended, so nothing grows but with what
//! is out at once.

use crate::types::{Nanos, to_seconds};

const NONE: u32 = u32::MAX;

/// A dispatch that is out.
pub struct Out {
    pub at: Nanos,
    pub srv: u32,
    pub id: u64,
    pub number: usize,
    pub recalled: bool,
    /// How long nothing had gone over the connection to its srv.
    pub idle: Nanos,
    /// How much longer it may take than others before it is late.
    pub grace: Nanos,
    /// Its age has reached the bound up to which ages count.
    pub capped: bool,
    before: u32,
    after: u32,
}

pub struct Flight {
    outs: Vec<Out>,
    free: Vec<u32>,
    oldest: u32,
    newest: u32,
    /// The oldest whose age is not capped.
    young: u32,
}

/// Seconds since one was sent, less what its rule set and its cost allow it over others.
pub fn age(now: Nanos, at: Nanos, grace: Nanos) -> f64 {
    to_seconds(now.saturating_sub(at + grace))
}

impl Flight {
    pub fn new() -> Flight {
        Flight { outs: Vec::new(), free: Vec::new(), oldest: NONE, newest: NONE, young: NONE }
    }

    /// Takes in what is sent now; times never go back.
    pub fn sent(
        &mut self,
        at: Nanos,
        srv: u32,
        id: u64,
        number: usize,
        (grace, idle): (Nanos, Nanos),
    ) -> u32 {
        let before = self.newest;
        let out =
            Out { at, srv, id, number, recalled: false, idle, grace, capped: false, before, after: NONE };
        let place = match self.free.pop() {
            Some(place) => {
                self.outs[place as usize] = out;
                place
            }
            None => {
                self.outs.push(out);
                self.outs.len() as u32 - 1
            }
        };
        match before {
            NONE => self.oldest = place,
            before => self.outs[before as usize].after = place,
        }
        self.newest = place;
        if self.young == NONE {
            self.young = place;
        }
        place
    }

    pub fn ended(&mut self, place: u32) {
        let (before, after) = (self.outs[place as usize].before, self.outs[place as usize].after);
        match before {
            NONE => self.oldest = after,
            before => self.outs[before as usize].after = after,
        }
        match after {
            NONE => self.newest = before,
            after => self.outs[after as usize].before = before,
        }
        if self.young == place {
            self.young = after;
        }
        self.free.push(place);
    }

    /// The oldest one that has just come to this age, marked as capped; to be asked until there is none.
    pub fn cap(&mut self, now: Nanos, age: Nanos) -> Option<u32> {
        let place = Some(self.young).filter(|place| *place != NONE)?;
        let out = self.outs.get_mut(place as usize).filter(|out| now.saturating_sub(out.at) >= age)?;
        (out.capped, self.young) = (true, out.after);
        Some(place)
    }

    pub fn get(&self, place: u32) -> &Out {
        &self.outs[place as usize]
    }

    pub fn get_mut(&mut self, place: u32) -> &mut Out {
        &mut self.outs[place as usize]
    }

    /// All that are out with their places, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Out)> {
        let mut next = self.oldest;
        std::iter::from_fn(move || {
            let place = Some(next).filter(|place| *place != NONE)?;
            let out = &self.outs[place as usize];
            next = out.after;
            Some((place, out))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn order_survives_any_end_and_places_are_used_again() {
        let mut flight = Flight::new();
        let mut places = Vec::new();
        for round in 0..50u64 {
            for number in 0..4 {
                places.push(flight.sent(round, 0, round * 4 + number, 0, (0, 0)));
            }
            for _ in 0..3 {
                let gone = places.remove((round as usize * 7) % places.len());
                flight.ended(gone);
            }
            let ids: Vec<u64> = flight.iter().map(|(_, out)| out.id).collect();
            assert!(ids.is_sorted() && ids.len() == places.len(), "{ids:?}");
        }
        assert!(flight.outs.len() <= places.len() + 4);
        let mut capped = 0;
        while flight.cap(60, 20).is_some() {
            capped += 1;
        }
        assert_eq!(capped, flight.iter().filter(|(_, out)| out.at <= 40).count());
        for place in places {
            flight.ended(place);
        }
        assert!(flight.iter().next().is_none() && flight.cap(100, 1).is_none());
    }
}
