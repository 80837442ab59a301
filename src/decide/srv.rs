//! What a srv's own figures mean: its ramp, its level, whether it is silent or crowded, a cold one's budget.
//! It owns these bounds and must never compare srvs with each other: the means it is held against are given.

use super::*;
use crate::fleet::{Means, Sent, Srv};

/// Ramp of a srv that returns from being set aside.
const RETURN_RAMP: Nanos = 3 * S;
/// A srv is crowded with this many times our mean in flight, and a req more, on the mean of a span.
const CROWD: f64 = 1.25;
pub const CROWD_SPAN: Nanos = 8 * S;
/// A srv that owes us answers is silent when their times out, in overdue times, come to this: one that gets
/// a req now and then may be slow only.
const OWED: f64 = 3.0;
/// What a cold srv may get over the even share, against bursts that are chance.
const COLD_HEADROOM: f64 = 1.5;

impl Srv {
    pub fn cold(&self, now: Nanos, cold: Nanos) -> bool {
        self.came_up.is_some_and(|at| now < at + cold)
    }

    /// The part of its weight that a new or returning srv counts with.
    pub fn ramp(&self, now: Nanos, cold: Nanos, share: f64) -> f64 {
        let warm = match self.came_up {
            Some(at) if now < at + cold => {
                share + (1.0 - share) * now.saturating_sub(at) as f64 / cold as f64
            }
            _ => 1.0,
        };
        let back = now.saturating_sub(self.health[0].aside_until);
        let returned = if back < RETURN_RAMP { 0.2 + 0.8 * back as f64 / RETURN_RAMP as f64 } else { 1.0 };
        warm * returned
    }

    /// What it may have in flight from us. By Little's law, what it finishes in a span is what it may have in
    /// flight for answers within that span. Reckoned for each srv: a few that are slow must not fill a level
    /// that the healthy ones need. Guards against srvs held crowded, which turn slower and stay so.
    pub fn level(&self, done_rate: f64, span: f64, floor: f64) -> f64 {
        (done_rate * span).max(floor)
    }

    /// What counts against its level: not what is overdue where the srv is silent.
    pub fn counted(&self, now: Nanos, span: f64) -> usize {
        if !self.owes(now, span) {
            return self.out.len();
        }
        self.out.iter().filter(|out| out.age(now) <= SILENT * span).count()
    }

    /// Whether it owes an answer for longer than the span and has answered nothing since that was sent.
    /// Guards against srvs cut off without a sign: what is out there must not fill the level.
    pub fn owes(&self, now: Nanos, span: f64) -> bool {
        let owed = self.out.iter().filter(|out| self.heard <= out.at);
        let late = owed.map(|out| out.age(now) / (SILENT * span));
        let (most, sum) = late.fold((0.0, 0.0), |(most, sum), late| (late.max(most), sum + late));
        most > 1.0 && sum >= OWED
    }

    /// Far more in flight than our mean, lasting or at the moment, or reporting far more than others do.
    /// Lasting: at a quiet instance the count of the moment is nearly always none or one, even at a srv many
    /// times slower than the others. One req that takes the span allowed is within chance; what a quiet
    /// instance has there is no more.
    pub fn crowded(&self, now: Nanos, span: f64, means: &Means) -> bool {
        self.out.len() as f64 > CROWD * means.moment * self.ours + 1.0
            || self.mean_out(now) > CROWD * means.lasting * self.ours + span / to_seconds(CROWD_SPAN)
            || (self.fresh && self.reported > CROWD * means.reported * self.weight + 2.0)
    }

    /// The fourth rule: a cold srv's budget grows by our share of what warm srvs of like size take from us
    /// for each unit of weight, scaled to the least capacity it can have at its age, and by no less than the
    /// floor. Its least capacity grows evenly, so the mean of a while is that of its middle.
    pub fn budget(&self, now: Nanos, sent: &Sent, (cold, share): (Nanos, f64)) -> f64 {
        let since = self.budget_at.min(now);
        let part = self.ours * self.ramp(since + (now - since) / 2, cold, share) * COLD_HEADROOM;
        let grown = (sent.sum - self.budget_from) * part;
        let most = (sent.rate * part / 2.0).max(1.0);
        (self.budget + grown.max(sent.floor * to_seconds(now - since))).min(most)
    }
}
