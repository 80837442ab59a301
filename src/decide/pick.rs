//! The pick: which srv a req goes to, by turns that skip those not fit. It owns the turns, the stretch of
//! the list they go among, and what a srv is held against at a pick. It must never walk the list for a req:
//! among a few srvs each is looked at; among more, one when its turn comes, which it loses if not fit then.

use super::*;
use crate::fleet::{Means, Srv};

/// Turns among so many are taken with a look at each of them.
const FEW: usize = 32;
/// A pick looks at no more srvs than these. Guards the req path where nearly all are unfit.
const LOOKS: usize = 256;
/// A quiet instance turns among the srvs that it can hear of once in this time, and not fewer than these,
/// where each srv stays in the turns of this many instances.
const HEAR: f64 = 0.25;
const TURNS_LEAST: f64 = 2.0;
const TURNED_BY: f64 = 6.0;
/// The part of its connections that an instance keeps for its turns: the others carry repeats and bursts.
const KEPT_WARM: f64 = 0.5;
/// Deviations that a level leaves room for, at most this part of it: hundreds of instances with a level of
/// one or two would go over by half. None of it is left when answers take this many unloaded times.
const CHANCE: f64 = 1.5;
const CHANCE_MOST: f64 = 0.3;
const SLOW: f64 = 1.6;
/// Parts of the level that a rule set may have, by its utility.
const WORTH: (f64, f64) = (0.6, 2.0);
/// What a cold srv gets at least a second from all that turn to it.
const COLD_FLOOR_PER_S: f64 = 1.0;

/// What a srv is held against.
struct View {
    now: Nanos,
    narrow: f64,
    wide: f64,
    floor: f64,
    calm: f64,
    means: Means,
}

/// What may be in flight by chance over a level that so many instances share alike: what this one deviates
/// by, less its part of what all together do. Guards against denies at instances whose level is a few reqs,
/// which bursts pass that even out at the srvs.
pub(super) fn by_chance(level: f64, instances: f64) -> f64 {
    (CHANCE * level.sqrt()).min(CHANCE_MOST * level) * (1.0 - 1.0 / instances.max(1.0).sqrt())
}

/// How a srv fits a req: sound, a doubtful one that is better than none, sound but tried before, not fit, or
/// not one that this req may go to. The better one is less.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    Sound,
    Doubtful,
    Tried,
    Unfit,
    NotThis,
}

impl Balancer {
    /// Smooth weighted round robin over the srvs that may take this req now.
    pub(super) fn pick(&mut self, now: Nanos, req: &RequestContext) -> Option<u32> {
        let again = Some(req).filter(|req| !req.dispatches.is_empty());
        let set = self.told.health_at(&req.rule_set);
        let view = self.view(now, again.is_some(), set)?;
        let tied = req.preferred_endpoint.as_ref().and_then(|tie| self.fleet.find(tie));
        let tied = tied.filter(|who| !self.fleet.get(*who).aside);
        if tied.is_some_and(|who| self.look(&view, who, set, again) <= Fit::Doubtful) {
            return tied;
        }
        if let Some(few) = self.few(now, again) {
            return self.turn_among(&view, set, again, &few);
        }
        // What is sent again goes among all: our turns and the rest, as often as their weight says.
        let rest = again.is_some() && !self.fleet.rest.is_empty();
        self.rest_owed += if rest { 1.0 - self.part } else { 0.0 };
        let rest_first = rest && self.rest_owed >= 1.0;
        self.rest_owed -= if rest_first { 1.0 } else { 0.0 };
        let mut lost = Vec::new();
        let (mut sound, mut doubtful) = self.next_of(&view, set, again, rest_first, &mut lost);
        if sound.is_none() && rest {
            let (other, last) = self.next_of(&view, set, again, !rest_first, &mut lost);
            (sound, doubtful) = (other, doubtful.or(last));
        }
        // The other doubtful ones keep their turns, for theirs is next.
        lost.retain(|(_, doubtful)| sound.is_some() || !doubtful);
        let who = sound.or(doubtful);
        if let Some(who) = who {
            self.fleet.take(now, who, &lost);
        }
        who
    }

    /// Whether any srv could take a first send now.
    pub(super) fn any_fit(&mut self, now: Nanos, set: usize) -> bool {
        let Some(view) = self.view(now, false, set) else { return false };
        let Some(few) = self.few(now, None) else {
            let (sound, doubtful) = self.next_of(&view, set, None, false, &mut Vec::new());
            return sound.or(doubtful).is_some();
        };
        few.iter().any(|who| matches!(self.look(&view, *who, set, None), Fit::Sound | Fit::Doubtful))
    }

    /// The srvs that a turn is among, where they are few or the req is bound to a group of them, be it empty.
    fn few(&mut self, now: Nanos, again: Option<&RequestContext>) -> Option<Vec<u32>> {
        let few = self.those_few(again)?;
        if self.fleet.any_cold {
            few.iter().for_each(|who| self.fill(now, *who));
        }
        Some(few)
    }

    fn those_few(&self, again: Option<&RequestContext>) -> Option<Vec<u32>> {
        let Fleet { turns, rest, .. } = &self.fleet;
        if let Some((req, members)) = again.and_then(|req| Some((req, self.group(req)?))) {
            let from = req.id as usize % members.len().max(1);
            return Some(members.iter().cycle().skip(from).take(members.len().min(LOOKS)).copied().collect());
        }
        let all = if again.is_some() { rest.len() } else { 0 } + turns.len();
        (all <= FEW).then(|| turns.iter().chain(rest.iter().filter(|_| again.is_some())).collect())
    }

    /// The turn among these: each that fits gains its weight, the foremost goes and gives what all gained.
    /// With every srv set aside or crowded, a doubtful one is better than none; the level holds all the
    /// same. Last comes a sound one that reset the req, where only its group knows a repeat. Guards against
    /// a group of one srv, where an answer once spoilt could not be had again.
    fn turn_among(
        &mut self,
        view: &View,
        set: usize,
        again: Option<&RequestContext>,
        few: &[u32],
    ) -> Option<u32> {
        let fits: Vec<(Fit, u32)> = few.iter().map(|who| (self.look(view, *who, set, again), *who)).collect();
        let bound = again.is_some_and(|req| self.group(req).is_some());
        let best = fits.iter().map(|(fit, _)| *fit).min()?;
        if best > Fit::Tried || (best == Fit::Tried && !bound) {
            return None;
        }
        let (mut total, mut foremost) = (0.0, None);
        for (_, who) in fits.iter().filter(|(fit, _)| *fit == best) {
            let srv = self.fleet.get_mut(*who);
            let weight = if again.is_some() { srv.weight } else { srv.ours };
            let weight = weight * srv.ramp(view.now, self.told.cold, self.told.cold_share);
            srv.gained += weight;
            total += weight;
            if foremost.is_none_or(|(_, most)| srv.gained > most) {
                foremost = Some((*who, srv.gained));
            }
        }
        let (who, _) = foremost?;
        self.fleet.get_mut(who).gained -= total;
        Some(who)
    }

    /// The next sound one of an order, or the next doubtful one; and those passed, and which were doubtful.
    fn next_of(
        &self,
        view: &View,
        set: usize,
        again: Option<&RequestContext>,
        rest: bool,
        lost: &mut Vec<(u32, bool)>,
    ) -> (Option<u32>, Option<u32>) {
        let order = if rest { &self.fleet.rest } else { &self.fleet.turns };
        let mut doubtful = None;
        for who in order.iter().take(LOOKS) {
            match self.look(view, who, set, again) {
                Fit::Sound => return (Some(who), doubtful),
                Fit::Doubtful => {
                    doubtful = doubtful.or(Some(who));
                    lost.push((who, true));
                }
                Fit::Unfit => lost.push((who, false)),
                Fit::Tried | Fit::NotThis => {}
            }
        }
        (None, doubtful)
    }

    /// The members of the group that a req is bound to, which knows a repeat of it.
    fn group(&self, req: &RequestContext) -> Option<&[u32]> {
        let ran = req.first_possible_run()?;
        let set = self.told.rule_set(&req.rule_set).filter(|set| set.effect == Effect::Uniqued)?;
        let members = match set.group {
            Group::All => return None,
            Group::Site => {
                self.fleet.sites.iter().find(|site| site.name == ran.site).map(|site| &site.members)
            }
            Group::Cell => self.fleet.cells.get(&ran.cell),
        };
        Some(members.map_or(&[], Vec::as_slice))
    }

    fn look(&self, view: &View, who: u32, set: usize, again: Option<&RequestContext>) -> Fit {
        let (srv, now) = (self.fleet.get(who), view.now);
        let tried = again.map_or(&[][..], |req| &req.dispatches);
        let mut tried = tried.iter().filter(|d| d.endpoint == srv.name).peekable();
        let before = tried.peek().is_some();
        let site = &*self.fleet.sites[srv.site as usize].name;
        let turned =
            again.is_some_and(|req| req.count_rejections(Some(site)) >= self.told.most_turned_by_site);
        if turned || tried.any(|d| d.outcome != Some(DispatchOutcome::Reset)) {
            return Fit::NotThis;
        }
        let warm = !srv.cold(now, self.told.cold);
        let ready = warm || self.told.doors || self.budget(now, srv) >= 1.0;
        let open =
            srv.state == EndpointState::Up && (set == 0 || srv.health[set].aside_until <= now) && ready;
        let room = || {
            let level = srv.level(self.fleet.done_rate(now, srv), view.wide, view.floor);
            let chance = if warm { view.calm * by_chance(level, self.turned_by()) } else { 0.0 };
            let level = level + chance;
            again.is_some() || self.told.doors || (srv.counted(now, view.narrow) as f64) < level.max(1.0)
        };
        if !open || !room() {
            return Fit::Unfit;
        }
        let sound = !srv.aside && !srv.owes(now, view.narrow) && !srv.crowded(now, view.narrow, &view.means);
        match (sound, before) {
            (true, false) => Fit::Sound,
            (false, false) => Fit::Doubtful,
            (true, true) => Fit::Tried,
            (false, true) => Fit::NotThis,
        }
    }

    pub(super) fn budget(&self, now: Nanos, srv: &Srv) -> f64 {
        srv.budget(now, &self.sent, (self.told.cold, self.told.cold_share))
    }

    fn fill(&mut self, now: Nanos, who: u32) {
        let (budget, from) = (self.budget(now, self.fleet.get(who)), self.sent.sum);
        let srv = self.fleet.get_mut(who);
        (srv.budget, srv.budget_at, srv.budget_from) = (budget, now, from);
    }

    /// What srvs are held against now; none for a first send while the level is reached.
    fn view(&mut self, now: Nanos, again: bool, set: usize) -> Option<View> {
        self.fleet.advance(now);
        self.sweep(now);
        self.count_sent(now);
        let narrow = self.span_allowed(now);
        let calm = self.calm(now);
        let worth = self.worth(now, set, calm);
        let (wide, floor) = (narrow * self.widening(now) * worth, self.floor(now) * worth);
        if !again && !self.told.doors {
            let level = self.fleet.level(now, wide, floor);
            // In overload a part of a req is none: rounded up, hundreds of instances go over by one each.
            let chance = calm * by_chance(level, self.told.instances);
            let level = if self.overload(now) { level.floor() } else { level + chance };
            if self.fleet.answering_out as f64 >= level.max(self.least_level(now) * worth) {
                return None;
            }
        }
        Some(View { now, narrow, wide, floor, calm, means: self.fleet.means(now) })
    }

    /// The part of the level that a rule set may have: more where its utility is over the mean of what is
    /// asked for, less where it is under that and answers are slow. Guards against a queue too short to tell
    /// ranks apart: of a quiet instance's two or three the next is as likely the one of least utility.
    pub(super) fn worth(&self, now: Nanos, set: usize, calm: f64) -> f64 {
        match set.checked_sub(1).and_then(|at| self.told.rule_sets.get(at)) {
            Some(set) if self.told.tier == 0 && self.told.utility_by_work => (set.utility
                / self.seen.utilities.mean(now).max(1e-9))
            .sqrt()
            .clamp(WORTH.0.max(calm), WORTH.1),
            _ => 1.0,
        }
    }

    /// How much of the room for chance is left: none in overload or when answers are slow.
    pub(super) fn calm(&self, now: Nanos) -> f64 {
        if self.told.tier > 0 || self.overload(now) {
            return 0.0;
        }
        ((SLOW - self.seen.done.mean(now) / self.seen.took.least(now).min(self.seen.took_long.least(now)))
            / (SLOW - PROMPT))
            .clamp(0.0, 1.0)
    }

    /// Counts what warm srvs have taken from us for each unit of weight, while cold ones have budgets by it.
    pub(super) fn count_sent(&mut self, now: Nanos) {
        let since = std::mem::replace(&mut self.sent_at, now);
        self.fleet.renew(now);
        if self.fleet.any_cold {
            let sent = self.seen.taken(now, self.born);
            self.sent.rate = sent / self.fleet.ramped_weight().max(1e-9);
            self.sent.sum += self.sent.rate * to_seconds(now - since.min(now));
            self.sent.floor = COLD_FLOOR_PER_S / self.turned_by();
        }
    }

    pub(super) fn send(&mut self, now: Nanos, req: &mut RequestContext, who: u32) -> RoutingDecision {
        let give_up = self.give_up_time(req);
        let srv = self.fleet.get(who);
        if srv.cold(now, self.told.cold) {
            self.fill(now, who);
            self.fleet.get_mut(who).budget -= 1.0;
        }
        // A body that is still coming may take seconds, and its srv has not begun.
        if !req.body_pending {
            let grace = self.grace(now, req);
            self.fleet.sent(now, who, req.id, req.dispatches.len(), grace);
        }
        let srv = self.fleet.get(who);
        let site = self.fleet.sites[srv.site as usize].name.clone();
        req.dispatches.push(Dispatch {
            endpoint: srv.name.clone(),
            site,
            cell: srv.cell,
            sent_at: now,
            outcome: None,
        });
        self.in_flight += 1;
        RoutingDecision::Send { endpoint: srv.name.clone(), give_up_at: give_up }
    }

    /// How many instances turn to each srv.
    pub(super) fn turned_by(&self) -> f64 {
        self.part * self.told.instances
    }

    /// Which srvs are in our turns: a stretch of the list, by weight, that starts at our place among the
    /// instances, so that all together turn evenly over all srvs though they share nothing. Where we send
    /// enough to hear of each srv in time, and can keep connections to all, it is the whole list. Guards
    /// against choosing blindly: with hundreds of instances each meets a given srv too seldom to know that
    /// it is crowded, slow or failing. And against a connection opened for each req, where srvs are more
    /// than connections.
    pub(super) fn take_turns(&mut self, now: Nanos, listed: bool) {
        let up = (self.fleet.up as f64).max(1.0);
        let heard = (self.seen.first.rate(now, self.born) * HEAR).max(TURNS_LEAST);
        let wanted = heard.min((self.told.connections * KEPT_WARM).max(TURNS_LEAST)) / up;
        let part =
            (wanted.max(TURNED_BY / self.told.instances) * self.told.instances).ceil() / self.told.instances;
        let part = if part > 0.5 || self.told.doors { 1.0 } else { part };
        if listed || part != self.part {
            self.part = part;
            self.fleet.stretch(now, self.told.me / self.told.instances % 1.0, part);
        }
    }
}
