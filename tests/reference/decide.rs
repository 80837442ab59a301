//! The module as it was before its costs were parted from the length of the list, kept for `differential.rs` only
//! and as it was, but that a pick may be told: it then takes what it is told and shows what it would have taken
//! among, so that both modules stay in one state though their turns differ.
//!
//! Every decision of ochreshed. An instance, `Balancer`, is made from its start time, its seed and a map of
//! facts, and is then asked: `place` for where a req goes, `after` for what follows an outcome, `wait` for
//! the chore to do next or how long until it is asked again. The values that go in and out are in `plain.rs`;
//! the adapter keeps timers and reqs. The design and each departure from it are told in `docs/design.md`.
//!
//! The design: a failure is sent again only by the balancer whose callee owns it, on another srv, within a
//! tenth of our first sends; smooth weighted round robin that skips crowded srvs; a ramp for new and
//! returning srvs. The round robin turns among as many srvs as this instance hears enough of, a stretch of
//! the list that starts at its place among the instances. Beside the design stand six mechanisms:
//! 1. Level: no more in flight at a srv than it finishes within a part of the response target.
//! 2. Queue: reqs over the level wait a little, by utility; one that would wait too long is denied at once.
//! 3. Health: a srv is judged by its last few outcomes, set aside, and returns after a partly random time.
//! 4. Silence: a site that answers nothing while others do is set aside whole, and what it owes recalled;
//!    idle connections are closed when several srvs owe an answer for too long.
//! 5. Cold budget: a cold srv gets from us no more than our share of what its least capacity takes.
//! 6. Shares: a customer over its share goes last, and is denied while anyone waits.

use std::collections::{BTreeMap, VecDeque};

use crate::measure::{Chance, Health, Ring};
use crate::plain::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

/// Owned failures are sent again within this part of our first sends, over the budget's ring.
const TENTH: f64 = 0.1;
/// Sends again that a quiet instance may make in a ring's time all the same, one at most: its part of these.
/// Guards against floors that sum up to more than a tenth over hundreds of instances.
const FLOOR: f64 = 10.0;
/// The span that the level allows: this many unloaded times of a req, within these parts of the response
/// target.
const LEVEL_TIMES: f64 = 1.9;
const LEVEL_LEAST: f64 = 0.6;
/// In overload, when this part of what is asked for is denied, the two above shrink to this part of them.
const OVERLOAD: f64 = 0.3;
const LEVEL_OVERLOAD: f64 = 0.7;
const LEVEL_MOST: f64 = 0.8;
/// What a calm instance may have in flight whatever its level, and how fast that grows with quicker answers.
const CALM_LEAST: f64 = 3.0;
const CALM_GAIN: f64 = 4.0;
/// Answers in recovery come within this many unloaded times, and what is done in 2 s lies between a count and
/// a part of the best; the second pair goes for a while after a site was set aside. Its count guards against
/// hundreds of quiet instances that all widen a level of one or two.
const PROMPT: f64 = 1.3;
const RECOVERING: (f64, f64) = (3.0, 0.25);
const RECOVERING_LOST: (f64, f64) = (5.0, 0.75);
const AFTER_LOSS: Nanos = 10 * S;
/// Steady: so many done in 2 s at least, for the same reason, and asked for at most this part of the best.
const STEADY: (f64, f64) = (5.0, 1.2);
/// A dispatch is overdue after this many of those spans.
const SILENT: f64 = 1.5;
/// A whole site is overdue after this part of that time: until it is, what is stuck there holds slots and
/// levels at each tier above. Not so at the first tier in overload, where srvs are late for want of time.
const SILENT_SITE: f64 = 0.75;
/// A srv that owes us answers is silent when their times out, in overdue times, come to this: one that gets
/// a req now and then may be slow only.
const OWED: f64 = 3.0;
/// With this many srvs that owe an answer for too long, idle connections may be dead: one may be slow.
const STUCK: usize = 3;
/// The part of its response target that a req may wait in our queue.
const PATIENCE_PART: f64 = 0.2;
/// Outcomes that show a srv does well in a rule set; how long it is set aside: a fixed and a random part.
const TOLD: u32 = 4;
const ASIDE: Nanos = 3 * S;
const ASIDE_RANDOM: Nanos = 2 * S;
/// Ramp of a srv that returns from being set aside.
const RETURN_RAMP: Nanos = 3 * S;
/// A srv is crowded with this many times our mean in flight, and a req more, on the mean of a span.
const CROWD: f64 = 1.25;
const CROWD_SPAN: Nanos = 8 * S;
/// A quiet instance turns among the srvs that it can hear of once in this time, and not fewer than these,
/// where each srv stays in the turns of this many instances.
const HEAR: f64 = 0.5;
const TURNS_LEAST: f64 = 4.0;
const TURNED_BY: f64 = 6.0;
/// What a cold srv may get over the even share, against bursts that are chance, and at least a second from
/// all that turn to it.
const COLD_HEADROOM: f64 = 1.5;
const COLD_FLOOR_PER_S: f64 = 1.0;

struct RuleSet {
    name: Name,
    target: Nanos,
    window: Nanos,
    utility: f64,
    late_utility: f64,
    effect: Effect,
    group: Group,
    took: Ring,
}

#[derive(Clone, Copy, PartialEq)]
enum Effect {
    Replayable,
    Uniqued,
    NonReplayable,
}

#[derive(Clone, Copy, PartialEq)]
enum Group {
    All,
    Site,
    Cell,
}

struct Customer {
    name: Name,
    share_per_s: f64,
    asked: Ring,
}

struct Srv {
    weight: f64,
    /// The part of its weight that is in our turns.
    ours: f64,
    site: Name,
    cell: u64,
    state: State,
    came_up: Option<Nanos>,
    /// The dispatches that are out, and the time that ended ones were out.
    out: Vec<Out>,
    held: Ring,
    done: Ring,
    known: Nanos,
    /// Dispatches it lost since its site last answered: no connection, a reset, a time-out.
    lost: usize,
    /// How often in a row it said that it was full, or draining.
    turned_away: u32,
    /// When it last answered anything.
    heard: Nanos,
    /// When we last closed our idle connections to it.
    closed: Nanos,
    turn: f64,
    /// How it does in all, and behind that in each rule set, where errors are its own.
    health: Vec<Health>,
    /// What a cold srv may still get of its budget, and when that was last reckoned.
    budget: f64,
    budget_at: Nanos,
    reported: f64,
    reported_at: Nanos,
}

struct Out {
    at: Nanos,
    id: u64,
    number: usize,
    recalled: bool,
}

struct Waiting {
    id: u64,
    set: usize,
    rank: f64,
    until: Nanos,
}

pub struct Balancer {
    facts: Facts,
    born: Nanos,
    tier: usize,
    tiers: usize,
    instances: f64,
    me: f64,
    /// The part of all weight that is in our turns.
    part: f64,
    turns_at: u64,
    chance: Chance,
    rule_sets: Vec<RuleSet>,
    customers: Vec<Customer>,
    srvs: BTreeMap<Name, Srv>,
    in_flight: u32,
    first: Ring,
    again: Ring,
    done: Ring,
    /// Seconds that done reqs took, over a while and a longer one.
    took: Ring,
    took_long: Ring,
    asked: Ring,
    denied: Ring,
    outcomes: Ring,
    waiting: Vec<Waiting>,
    /// The held req that `wait` has just called up.
    called: Option<u64>,
    holding: bool,
    watch_at: Option<Nanos>,
    watch_pause: Nanos,
    /// When a whole site was last set aside.
    site_lost: Option<Nanos>,
    recalls: VecDeque<(u64, usize)>,
    closes: VecDeque<Name>,
    log: VecDeque<String>,
    /// What the next pick takes, and what the last one could have taken.
    pub told: Option<Option<Name>>,
    pub fits: Vec<Name>,
}

impl Balancer {
    pub fn new(now: Nanos, seed: u64, facts: Facts) -> Balancer {
        let mut chance = Chance::new(seed);
        let rule_sets = list(&facts, "rule_sets").iter().map(RuleSet::new).collect();
        let customers = list(&facts, "customers").iter().map(Customer::new).collect();
        // All instances may have started in one step: the list is one service for all of them.
        let watch_at = (text(&facts, "list_mode") == "ask").then(|| now + chance.span(S));
        Balancer {
            born: now,
            tier: number(&facts, "tier", 0.0) as usize,
            tiers: number(&facts, "tiers", 1.0) as usize,
            instances: number(&facts, "instances", 1.0).max(1.0),
            me: number(&facts, "me", 0.0),
            part: 1.0,
            turns_at: 0,
            facts,
            chance,
            rule_sets,
            customers,
            srvs: BTreeMap::new(),
            in_flight: 0,
            first: Ring::over(10 * S),
            again: Ring::over(10 * S),
            done: Ring::over(2 * S),
            took: Ring::over(20 * S),
            took_long: Ring::over(80 * S),
            asked: Ring::over(2 * S),
            denied: Ring::over(2 * S),
            outcomes: Ring::over(5 * S),
            waiting: Vec::new(),
            called: None,
            holding: false,
            watch_at,
            watch_pause: S,
            site_lost: None,
            recalls: VecDeque::new(),
            closes: VecDeque::new(),
            log: VecDeque::new(),
            told: None,
            fits: Vec::new(),
        }
    }

    /// Where this req goes now.
    pub fn place(&mut self, now: Nanos, req: &mut Req) -> Place {
        let called = self.called.take() == Some(req.id);
        let held = self.waiting.iter().position(|w| w.id == req.id).map(|at| self.waiting.remove(at));
        if let Some(last) = req.dispatches.last() {
            if last.how.is_none() {
                // Never two dispatches of one req at once.
                return Place::Later { ask_at: req.ends };
            }
            let srv = if self.may_go_again(now, req) { self.pick(now, req) } else { None };
            return match srv {
                Some(srv) => {
                    self.again.add(now, 1.0);
                    self.send(now, req, srv)
                }
                None => self.give_up_on(now, req, 0),
            };
        }
        if now >= req.ends {
            return self.give_up_on(now, req, 0);
        }
        if held.is_none() {
            self.asked.add(now, 1.0);
        }
        let over_share = held.is_none() && self.count_customer(now, &req.customer);
        if (called || self.waiting.is_empty())
            && let Some(srv) = self.pick(now, req)
        {
            self.first.add(now, 1.0);
            let turn = now / S;
            if self.turns_at != turn {
                self.turns_at = turn;
                self.take_turns(now);
            }
            return self.send(now, req, srv);
        }
        self.hold(now, req, held, over_share)
    }

    /// Over the level: wait in the queue if an answer in time can still be expected, else be denied at once.
    fn hold(&mut self, now: Nanos, req: &Req, held: Option<Waiting>, over_share: bool) -> Place {
        let set = self.rule_set(&req.rule_set);
        let mut rank = set.map_or(1.0, |set| self.rank(now, set));
        let patience = set.map_or(S, |set| (set.target as f64 * PATIENCE_PART) as Nanos);
        if over_share {
            rank *= number(&self.facts, "excess_utility", 1.0);
        }
        let (set, until) = (self.health_at(&req.rule_set), (req.taken + patience).min(req.ends));
        let waiting = held.unwrap_or(Waiting { id: req.id, set, rank, until });
        let at = self.waiting.partition_point(|w| w.rank >= waiting.rank);
        let wait = self.wait_at(now, at);
        if now + wait > waiting.until || (over_share && !self.waiting.is_empty()) {
            self.denied.add(now, 1.0);
            return self.give_up_on(now, req, wait);
        }
        let ask_at = waiting.until;
        self.waiting.insert(at, waiting);
        Place::Later { ask_at }
    }

    /// How long the req at this place of the queue is likely to wait. At a quiet instance what is in flight
    /// tells more than the few done of late. Guards against denies of calm reqs that come two at a time.
    fn wait_at(&self, now: Nanos, at: usize) -> Nanos {
        let out = f64::from(self.in_flight) / self.took.mean(now).max(1e-3);
        let rate = self.done.rate(now, self.born).max(out).max(1.0);
        ((at + 1) as f64 / rate * S as f64) as Nanos
    }

    /// The span within which what is in flight at a srv should be done, in seconds.
    fn span_allowed(&self, now: Nanos) -> f64 {
        self.span_when(now, self.overload(now))
    }

    fn span_when(&self, now: Nanos, overload: bool) -> f64 {
        let target = seconds(self.rule_sets.iter().map(|set| set.target).min().unwrap_or(S));
        let most =
            target * LEVEL_MOST * (self.tiers.saturating_sub(self.tier)).max(1) as f64 / self.tiers as f64;
        if self.tier > 0 {
            most
        } else {
            let part = if overload { LEVEL_OVERLOAD } else { 1.0 };
            // A quiet instance knows its unloaded time from long buckets only, and goes by it in overload.
            let long = if overload { self.took_long.least(now) } else { f64::INFINITY };
            (self.took.least(now).min(long) * LEVEL_TIMES * part).clamp(target * LEVEL_LEAST * part, most)
        }
    }

    fn overload(&self, now: Nanos) -> bool {
        self.denied.count(now) > OVERLOAD * self.asked.count(now)
    }

    /// The least that we may have in flight: one, and some more at the first tier while answers come quicker
    /// than the span of overload. Guards against denies at a quiet instance that has one in flight on the
    /// mean and three by chance.
    fn least_level(&self, now: Nanos) -> f64 {
        let quick = 1.0 - self.done.mean(now) / self.span_when(now, true);
        let calm = self.tier == 0 && !self.overload(now);
        if calm { (CALM_LEAST * CALM_GAIN * quick).clamp(1.0, CALM_LEAST) } else { 1.0 }
    }

    /// How much wider the level is while answers come about as fast as with no load: twice where we finish
    /// far less than at best, after a fault further down has passed; up to the best where no more is asked.
    /// Guards against a level that sinks with what clients left, and then denies what the srvs could do.
    fn widening(&self, now: Nanos) -> f64 {
        let best = self.took.live(now).map(|bucket| bucket.count).fold(0.0, f64::max);
        let lost = self.site_lost.is_some_and(|at| now < at + AFTER_LOSS);
        let (least, part) = if lost { RECOVERING_LOST } else { RECOVERING };
        let (done, asked) = (self.done.count(now), self.asked.count(now));
        let prompt = self.done.mean(now) <= self.took.least(now) * PROMPT;
        let steady = done >= STEADY.0 && asked <= STEADY.1 * best && !self.overload(now);
        match self.tier == 0 && prompt {
            true if (least..part * best).contains(&done) => 2.0,
            true if steady => (best / done).clamp(1.0, 2.0),
            _ => 1.0,
        }
    }

    /// What any srv may have in flight from us, however little it has done for us: our share of a few.
    fn floor(&self, now: Nanos) -> f64 {
        // A new instance has seen nothing done yet, and that says nothing of the srvs.
        let few = if now < self.born + 2 * S { 12.0 } else { 4.0 };
        few / self.turned_by()
    }

    /// How many instances turn to each srv.
    fn turned_by(&self) -> f64 {
        self.part * self.instances
    }

    fn rank(&self, now: Nanos, set: &RuleSet) -> f64 {
        if text(&self.facts, "utility_by") == "work" {
            return set.utility;
        }
        // A rule set with few done yet goes by the time of all: its rank must be in the same measure as the
        // others'.
        let took = if set.took.count(now) < 3.0 { &self.took } else { &set.took };
        set.utility / took.mean(now).max(1e-3)
    }

    /// Counts a req for its customer and tells whether that customer is over its share.
    fn count_customer(&mut self, now: Nanos, name: &str) -> bool {
        if self.tier > 0 {
            return false;
        }
        let (born, instances) = (self.born, self.instances);
        let Some(customer) = self.customers.iter_mut().find(|c| &*c.name == name) else { return false };
        customer.asked.add(now, 1.0);
        customer.asked.rate(now, born) * instances > customer.share_per_s * 1.2
    }

    fn last_tier(&self) -> bool {
        self.tier + 1 >= self.tiers
    }

    fn rule_set(&self, name: &str) -> Option<&RuleSet> {
        self.rule_sets.iter().find(|set| &*set.name == name)
    }

    /// Where a srv's health in this rule set stands.
    fn health_at(&self, name: &str) -> usize {
        self.rule_sets.iter().position(|set| &*set.name == name).map_or(0, |at| at + 1)
    }

    /// Whether this req's failure is ours to send again, and its rule set and the tenth allow it.
    fn may_go_again(&self, now: Nanos, req: &Req) -> bool {
        let owned = match req.dispatches.last().and_then(|d| d.how) {
            Some(How::NoConnection | How::Reset | How::Full) => true,
            Some(How::Error | How::TimedOut) => self.last_tier(),
            _ => false,
        };
        let most = number(&self.facts, "max_dispatches", 2.0) as usize;
        owned
            && req.dispatches.len() < most
            && now < req.ends
            && self.again.count(now) + 1.0
                <= self.first.count(now) * TENTH + (FLOOR / self.instances).min(1.0)
            && self.may_run_again(now, req)
    }

    /// The second rule: another run only where it can't be a second effect.
    fn may_run_again(&self, now: Nanos, req: &Req) -> bool {
        let Some(ran) = req.may_have_run() else { return true };
        match self.rule_set(&req.rule_set) {
            Some(set) if set.effect == Effect::Uniqued => now + MS < ran.at + set.window,
            Some(set) => set.effect == Effect::Replayable,
            None => false,
        }
    }

    /// The final answer for what we give up on: a deny where a repeat by the client is safe.
    fn give_up_on(&mut self, now: Nanos, req: &Req, wait: Nanos) -> Place {
        let all = self
            .rule_set(&req.rule_set)
            .is_some_and(|s| s.effect != Effect::Uniqued || s.group == Group::All);
        if req.may_have_run().is_some() && !(all && self.may_run_again(now, req)) {
            return Place::Abort;
        }
        if !flag(&self.facts, "come_back_passed") {
            return Place::Deny { come_back: 0 };
        }
        let most = span(&self.facts, "max_come_back", S);
        let come_back = wait + self.chance.span(S / 2);
        Place::Deny { come_back: come_back.min(most) }
    }

    /// Smooth weighted round robin over the srvs that may take this req now.
    fn pick(&mut self, now: Nanos, req: &Req) -> Option<Name> {
        let again = Some(req).filter(|req| !req.dispatches.is_empty());
        let fit: Vec<(Name, f64)> = self.candidates(now, self.health_at(&req.rule_set), again);
        self.fits = fit.iter().map(|(name, _)| name.clone()).collect();
        if let Some(told) = self.told.take() {
            // Where it would take none, or another has to be taken, that shows as a difference.
            return if self.fits.is_empty() { None } else { told };
        }
        let total: f64 = fit.iter().map(|(_, weight)| weight).sum();
        let mut best: Option<(Name, f64)> = None;
        for (name, weight) in fit {
            let srv = self.srvs.get_mut(&name)?;
            srv.turn += weight;
            if best.as_ref().is_none_or(|(_, turn)| srv.turn > *turn) {
                best = Some((name, srv.turn));
            }
        }
        let (name, _) = best?;
        self.srvs.get_mut(&name)?.turn -= total;
        Some(name)
    }

    fn candidates(&mut self, now: Nanos, set: usize, again: Option<&Req>) -> Vec<(Name, f64)> {
        self.fill_budgets(now);
        self.judge_sites(now);
        let ran = again.and_then(Req::may_have_run);
        let group = again
            .and_then(|req| self.rule_set(&req.rule_set))
            .map_or(Group::All, |set| if set.effect == Effect::Uniqued { set.group } else { Group::All });
        let in_group = |srv: &Srv| match (ran, group) {
            (None, _) | (_, Group::All) => true,
            (Some(ran), Group::Site) => srv.site == ran.site,
            (Some(ran), Group::Cell) => srv.cell == ran.cell,
        };
        let tried = |name: &Name, same: bool| {
            let at = |d: &Dispatch| d.srv == *name && !(same && d.how == Some(How::Reset));
            again.is_some_and(|req| req.dispatches.iter().any(at))
        };
        let cold = span(&self.facts, "cold", 0);
        let open = |name: &Name, srv: &Srv, same: bool| {
            srv.state == State::Up
                && (srv.ours > 0.0 || again.is_some())
                && (set == 0 || srv.health[set].aside_until <= now)
                && !tried(name, same)
                && in_group(srv)
                && (!srv.cold(now, cold) || srv.budget >= 1.0)
        };
        let lasting = self.mean(now, |srv| srv.ours, |srv| srv.mean_out(now));
        let moment = self.mean(now, |srv| srv.ours, |srv| srv.out.len() as f64);
        let reported =
            self.mean(now, |srv| if srv.fresh(now) { srv.weight } else { 0.0 }, |srv| srv.reported);
        let share = number(&self.facts, "cold_share", 1.0);
        let (narrow, floor) = (self.span_allowed(now), self.floor(now));
        let wide = narrow * self.widening(now);
        let answering =
            self.srvs.values().filter(|srv| srv.ours > 0.0 && srv.usable(now) && !srv.silent(now, narrow));
        let (level, out) = answering
            .fold((0.0, 0), |(l, o), srv| (l + srv.level(now, wide, floor), o + srv.counted(now, narrow)));
        // In overload a part of a req is none: rounded up, hundreds of instances go over by one each.
        let level = if self.overload(now) { level.floor() } else { level };
        if again.is_none() && out as f64 >= level.max(self.least_level(now)) {
            return Vec::new();
        }
        let room = |srv: &Srv| {
            again.is_some() || (srv.counted(now, narrow) as f64) < srv.level(now, wide, floor).max(1.0)
        };
        let fits = |strict: bool, same: bool| -> Vec<(Name, f64)> {
            let sound = |srv: &Srv| {
                srv.usable(now)
                    && !srv.silent(now, narrow)
                    && !srv.crowded(now, narrow, lasting, moment, reported)
            };
            let fit = self.srvs.iter().filter(|(name, srv)| open(name, srv, same) && room(srv));
            let fit = fit.filter(|(_, srv)| !strict || sound(srv));
            let weight = |srv: &Srv| if again.is_some() { srv.weight } else { srv.ours };
            fit.map(|(name, srv)| (name.clone(), weight(srv) * srv.ramp(now, cold, share))).collect()
        };
        // With every srv set aside or crowded, a doubtful one is better than none; the level holds all the
        // same. Last, where only its group knows a repeat, a sound srv that reset it. Guards against a group
        // of one srv, where an answer once spoilt could not be had again.
        let (fit, bound) = (fits(true, false), ran.is_some() && group != Group::All);
        let fit = if fit.is_empty() { fits(false, false) } else { fit };
        if fit.is_empty() && bound { fits(true, true) } else { fit }
    }

    /// The sum of something over the usable srvs that fit, for each unit of their weight.
    fn mean(&self, now: Nanos, weight: impl Fn(&Srv) -> f64, of: impl Fn(&Srv) -> f64) -> f64 {
        let fit = self.srvs.values().filter(|srv| srv.usable(now) && weight(srv) > 0.0);
        let (sum, weight) = fit.fold((0.0, 0.0), |(s, w), srv| (s + of(srv), w + weight(srv)));
        if weight > 0.0 { sum / weight } else { 0.0 }
    }

    /// The fourth rule: a cold srv's budget grows by our share of what warm srvs of like size take from us,
    /// scaled to the least capacity it can have at its age.
    fn fill_budgets(&mut self, now: Nanos) {
        let (cold, share) = (span(&self.facts, "cold", 0), number(&self.facts, "cold_share", 1.0));
        if !self.srvs.values().any(|srv| srv.state == State::Up && srv.cold(now, cold)) {
            return;
        }
        let up = self.srvs.values().filter(|srv| srv.usable(now));
        let weight: f64 = up.map(|srv| srv.ours * srv.ramp(now, cold, share)).sum();
        let sent = self.first.rate(now, self.born) + self.again.rate(now, self.born);
        let (per_weight, turned_by) = (sent / weight.max(1e-9), self.turned_by());
        for srv in self.srvs.values_mut().filter(|srv| srv.cold(now, cold)) {
            let rate = per_weight * srv.ours * srv.ramp(now, cold, share) * COLD_HEADROOM;
            let grown = rate.max(COLD_FLOOR_PER_S / turned_by) * seconds(now - srv.budget_at.min(now));
            srv.budget = (srv.budget + grown).min((rate / 2.0).max(1.0));
            srv.budget_at = now;
        }
    }

    fn send(&mut self, now: Nanos, req: &mut Req, name: Name) -> Place {
        let give_up = self.give_up_time(req);
        if let Some(srv) = self.srvs.get_mut(&name) {
            srv.out.push(Out { at: now, id: req.id, number: req.dispatches.len(), recalled: false });
            srv.budget -= 1.0;
            let (site, cell) = (srv.site.clone(), srv.cell);
            req.dispatches.push(Dispatch { srv: name.clone(), site, cell, at: now, how: None });
        }
        self.in_flight += 1;
        Place::Send { srv: name, give_up }
    }

    /// Where an answer after the response target has no utility, the first tier stops waiting for it then.
    fn give_up_time(&self, req: &Req) -> Nanos {
        match self.rule_set(&req.rule_set) {
            Some(set) if self.tier == 0 && set.late_utility <= 0.0 => req.ends.min(req.taken + set.target),
            _ => req.ends,
        }
    }

    /// What follows an outcome; news of the list enters here too.
    pub fn after(&mut self, now: Nanos, outcome: Outcome) -> Follow {
        match outcome {
            Outcome::Dispatch { req, number, how, took, closed, report } => {
                let Some(dispatch) = req.dispatches.get_mut(number) else { return Follow::Nothing };
                dispatch.how = Some(how);
                let (name, at) = (dispatch.srv.clone(), dispatch.at);
                self.in_flight = self.in_flight.saturating_sub(1);
                if let Some(srv) = self.srvs.get_mut(&name) {
                    if let Some(place) =
                        srv.out.iter().position(|out| out.id == req.id && out.number == number)
                    {
                        srv.out.swap_remove(place);
                    }
                    srv.held.add(now, seconds((now - at).min(CROWD_SPAN)));
                    if how == How::Done {
                        srv.done.add(now, 1.0);
                    }
                    match how {
                        How::Done | How::Error => (srv.heard, srv.turned_away) = (now, 0),
                        How::Full => (srv.heard, srv.turned_away) = (now, srv.turned_away + 1),
                        How::NoConnection | How::Reset | How::TimedOut => srv.lost += 1,
                        How::Recalled | How::NotSent => {}
                    }
                    if srv.heard == now {
                        let site = srv.site.clone();
                        self.srvs.values_mut().filter(|srv| srv.site == site).for_each(|srv| srv.lost = 0);
                    }
                }
                self.note_report(now, &name, report);
                if how == How::Done {
                    self.done.add(now, seconds(took));
                    self.took.add(now, seconds(took));
                    self.took_long.add(now, seconds(took));
                    if let Some(set) = self.rule_sets.iter_mut().find(|set| set.name == req.rule_set) {
                        set.took.add(now, seconds(took));
                    }
                }
                self.judge(now, &name, self.health_at(&req.rule_set), how, took);
                if closed { Follow::Nothing } else { Follow::Place }
            }
            Outcome::Probe { srv, report, .. } => {
                self.note_report(now, srv, report);
                Follow::Nothing
            }
            Outcome::List { whole, old, entries } => {
                self.follow_list(now, whole, old, entries);
                Follow::Nothing
            }
            Outcome::ListFailed => {
                // The list is one service for all: ask again after a pause that grows and is partly random.
                self.watch_at = Some(now + self.watch_pause / 2 + self.chance.span(self.watch_pause));
                self.watch_pause = (self.watch_pause * 2).min(4 * S);
                Follow::Nothing
            }
            Outcome::Left { req } => {
                self.waiting.retain(|w| w.id != req.id);
                let out = req.dispatches.iter().position(|d| d.how.is_none());
                match out {
                    Some(number) if flag(&self.facts, "may_recall") => Follow::Recall(number),
                    _ => Follow::Nothing,
                }
            }
        }
    }

    fn note_report(&mut self, now: Nanos, name: &str, report: &[f64]) {
        let at = ["report_in_flight", "report_queue"].iter().find_map(|field| self.facts.get(*field));
        let Some(Value::Number(at)) = at else { return };
        let value = report.get(*at as usize).copied().filter(|v| v.is_finite());
        if let (Some(value), Some(srv)) = (value, self.srvs.get_mut(name)) {
            srv.reported = value;
            srv.reported_at = now;
        }
    }

    /// Judges a srv by its last few outcomes, against how the others do: what fails everywhere is not its
    /// fault. Errors of one rule set, while another does well there, keep only that one away: else the other
    /// would lose the srv too, or hide it.
    fn judge(&mut self, now: Nanos, name: &Name, set: usize, how: How, took: Nanos) {
        let failure = match how {
            How::Done => seconds(took) > self.span_allowed(now) * SILENT,
            How::Error | How::Reset | How::TimedOut | How::NoConnection => true,
            // Guards against a srv that drains before we are told: it is never crowded, and draws ever more.
            How::Full if self.srvs.get(name).is_some_and(|srv| srv.turned_away > 1) => true,
            How::Full | How::Recalled | How::NotSent => return,
        };
        self.outcomes.add(now, f64::from(u8::from(failure)));
        let (everywhere, last_tier) = (self.outcomes.mean(now), self.last_tier());
        let Some(srv) = self.srvs.get_mut(name) else { return };
        if set > 0 && matches!(how, How::Done | How::Error) {
            srv.health[set].note(how == How::Error, 1);
        }
        let well = |(at, health): (usize, &Health)| at > 0 && health.judged >= TOLD && health.failed() == 0;
        let at = if how == How::Error && srv.health.iter().enumerate().any(well) { set } else { 0 };
        if at == 0 {
            // No connection, or no answer, tells more than an error: it weighs double. So does a slow answer
            // of the last tier, whose cause can't lie below. Guards against a jammed srv that is only late.
            let heavy = matches!(how, How::NoConnection | How::TimedOut) || (how == How::Done && last_tier);
            srv.health[0].note(failure, if failure && heavy { 2 } else { 1 });
        }
        let (Health { judged, aside_until, .. }, site) = (srv.health[at], srv.site.clone());
        let (failed, allowed) = (srv.health[at].failed(), f64::from(judged) * (2.0 * everywhere + 0.2));
        // Never more than half of a site, one by one; a whole site is another matter. A srv alone in its
        // site, or kept from a rule set, is one of the whole list.
        let ups = || self.srvs.values().filter(|srv| srv.state == State::Up);
        let wide = at > 0 || ups().filter(|srv| srv.site == site).count() < 2;
        let peers = ups().filter(|srv| wide || srv.site == site);
        let out = |srv: &Srv| !srv.usable(now) || srv.health[at].aside_until > now;
        let (up, aside) = peers.fold((0, 0), |(u, a), srv| (u + 1, a + usize::from(out(srv))));
        if failure
            && aside_until <= now
            && failed >= 2
            && f64::from(failed) > allowed
            && 2 * (aside + 1) <= up
        {
            let aside_until = now + ASIDE + self.chance.span(ASIDE_RANDOM);
            let of = if at > 0 { format!(" of {}", self.rule_sets[at - 1].name) } else { String::new() };
            // It returns on trial: one more failure sets it aside again.
            let trial = Health { outcomes: 1, judged: 3, aside_until };
            self.srvs.entry(name.clone()).and_modify(|srv| srv.health[at] = trial);
            self.say(format!(
                "aside {name}: {failed} of its last {judged}{of} failed, {everywhere:.2} everywhere"
            ));
        }
    }

    /// Sets a whole site aside that owes us answers and has given none since, while others did, and recalls
    /// what it owes. Guards against a lost site: failures there are not independent, so a quiet instance
    /// would lose a req to each of its srvs to learn that, and what is stuck there holds a slot of each
    /// caller above.
    fn judge_sites(&mut self, now: Nanos) {
        let overload = self.overload(now);
        let part = if self.tier == 0 && overload { 1.0 } else { SILENT_SITE };
        let overdue = self.span_when(now, overload) * SILENT * part;
        let may_recall = flag(&self.facts, "may_recall");
        let mut heard: BTreeMap<Name, Nanos> = BTreeMap::new();
        for srv in self.srvs.values() {
            let at = heard.entry(srv.site.clone()).or_default();
            *at = srv.heard.max(*at);
        }
        for (site, last) in &heard {
            let others = heard.iter().filter(|(name, _)| *name != site).map(|(_, at)| *at).max().unwrap_or(0);
            let mut owed = Vec::new();
            let mut lost = 0;
            for srv in self.srvs.values_mut().filter(|srv| srv.site == *site) {
                let late =
                    |out: &&mut Out| *last <= out.at && out.at < others && seconds(now - out.at) > overdue;
                owed.extend(srv.out.iter_mut().filter(late));
                lost += srv.lost;
            }
            if others <= *last || (owed.len() < 2 && owed.len() + lost < 3) {
                continue;
            }
            let count = owed.len();
            for out in owed.into_iter().filter(|out| !out.recalled) {
                out.recalled = true;
                if may_recall {
                    self.recalls.push_back((out.id, out.number));
                }
            }
            if !self.srvs.values().any(|srv| srv.site == *site && srv.usable(now)) {
                continue;
            }
            let until = now + ASIDE + self.chance.span(ASIDE_RANDOM);
            for srv in self.srvs.values_mut().filter(|srv| srv.site == *site) {
                (srv.health[0].aside_until, srv.lost) = (srv.health[0].aside_until.max(until), 0);
            }
            // In overload srvs are silent for want of time; then it tells nothing of a loss.
            if !self.overload(now) {
                self.site_lost = Some(now);
            }
            let silent = seconds(now - last.max(&self.born));
            self.say(format!("aside site {site}: silent for {silent:.1} s, {count} owed, {lost} lost"));
        }
    }

    /// Closes the idle connections to what has not been heard of since, once several srvs owe an answer for
    /// too long. Guards against connections that died without a sign: the next dispatch on each is lost
    /// until it times out, while a new connection to the same srv answers.
    fn judge_connections(&mut self, now: Nanos) {
        let overdue = self.span_allowed(now) * SILENT;
        let stuck = |srv: &Srv| {
            let owed = srv.out.iter().map(|out| out.at).filter(|at| srv.heard <= *at && srv.closed <= *at);
            owed.min().filter(|at| srv.heard > 0 && seconds(now - at) > overdue)
        };
        let since: Vec<Nanos> = self.srvs.values().filter_map(stuck).collect();
        if since.len() < STUCK {
            return;
        }
        let since = since.into_iter().min().unwrap_or(now);
        let mut count = 0;
        for (name, srv) in &mut self.srvs {
            if srv.heard > 0 && srv.heard <= since && srv.closed <= since {
                srv.closed = now;
                self.closes.push_back(name.clone());
                count += 1;
            }
        }
        self.say(format!(
            "closing idle connections to {count} srvs, silent for {:.1} s",
            seconds(now - since)
        ));
    }

    fn follow_list(&mut self, now: Nanos, whole: bool, old: bool, entries: &[Listed]) {
        if !old {
            self.watch_pause = S;
        }
        if whole {
            for (name, srv) in &mut self.srvs {
                if !entries.iter().any(|entry| entry.srv == *name) {
                    srv.state = State::Gone;
                }
            }
        }
        for entry in entries {
            match self.srvs.get_mut(&entry.srv) {
                Some(srv) => {
                    if srv.came_up != entry.came_up && entry.state == State::Up {
                        // A fresh process under the same id: nothing known of the old one holds.
                        srv.health.fill(Health::default());
                        (srv.budget, srv.budget_at) = (self.chance.part(), now);
                    }
                    srv.state = entry.state;
                    srv.came_up = entry.came_up;
                    srv.weight = entry.weight;
                }
                None => {
                    // A random start of its turn, so that instances don't walk the list in step.
                    let turn = self.chance.part() * entry.weight;
                    let budget = self.chance.part();
                    let srv = Srv::new(now, entry, self.rule_sets.len(), turn, budget);
                    self.srvs.insert(entry.srv.clone(), srv);
                }
            }
        }
        self.srvs.retain(|_, srv| srv.state != State::Gone || !srv.out.is_empty());
        self.take_turns(now);
    }

    /// Which srvs are in our turns: a stretch of the list, by weight, that starts at our place among the
    /// instances, so that all together turn evenly over all srvs though they share nothing. Where we send
    /// enough to hear of each srv in time it is the whole list. Guards against choosing blindly: with
    /// hundreds of instances each meets a given srv too seldom to know that it is crowded, slow or failing.
    fn take_turns(&mut self, now: Nanos) {
        let total: f64 = self.srvs.values().filter(|srv| srv.state == State::Up).map(|srv| srv.weight).sum();
        let up = self.srvs.values().filter(|srv| srv.state == State::Up).count() as f64;
        let wanted = (self.first.rate(now, self.born) * HEAR).max(TURNS_LEAST) / up.max(1.0);
        let part = (wanted.max(TURNED_BY / self.instances) * self.instances).ceil() / self.instances;
        self.part = if part > 0.5 { 1.0 } else { part };
        let (from, length) = (self.me / self.instances % 1.0 * total, self.part * total);
        let mut at = 0.0;
        for srv in self.srvs.values_mut() {
            srv.ours = 0.0;
            if srv.state == State::Up {
                let weight = srv.weight;
                let shared = |a: f64, b: f64| (b.min(at + weight) - a.max(at)).max(0.0);
                srv.ours = shared(from, from + length) + shared(from - total, from + length - total);
                at += srv.weight;
            }
        }
    }

    /// A chore to do first, or when to ask again.
    pub fn wait(&mut self, now: Nanos) -> Wait {
        if let Some(line) = self.log.pop_front() {
            return Wait::Log(line);
        }
        self.judge_sites(now);
        self.judge_connections(now);
        if let Some(name) = self.closes.pop_front() {
            return Wait::Close(name);
        }
        if let Some((id, number)) = self.recalls.pop_front() {
            return Wait::Recall(id, number);
        }
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            return Wait::Watch;
        }
        let holding = !self.waiting.is_empty();
        if holding != self.holding {
            self.holding = holding;
            let (rate, out) = (self.done.rate(now, self.born), self.in_flight);
            let mode = if holding { "holding" } else { "open" };
            return Wait::Log(format!("{mode}: {out} in flight, {rate:.0} done a second"));
        }
        let first = self.waiting.first().map(|first| (first.id, first.set));
        if let Some((first, set)) = first
            && !self.candidates(now, set, None).is_empty()
        {
            self.called = Some(first);
            return Wait::Place(first);
        }
        if let Some(last) = self.waiting.last()
            && now + self.wait_at(now, self.waiting.len() - 1) > last.until
        {
            // Those that came with more utility have pushed it out: it is told now, not when its time is up.
            return Wait::Place(last.id);
        }
        let poll = match (holding, self.in_flight) {
            (true, _) => now + 20 * MS,
            (_, 0) => Nanos::MAX,
            // What is out may become overdue without anything else happening here.
            _ => now + S / 4,
        };
        Wait::Until(self.watch_at.unwrap_or(Nanos::MAX).min(poll))
    }

    fn say(&mut self, line: String) {
        self.log.push_back(line);
    }
}

impl Srv {
    fn new(now: Nanos, entry: &Listed, sets: usize, turn: f64, budget: f64) -> Srv {
        Srv {
            weight: entry.weight,
            ours: entry.weight,
            site: entry.site.clone(),
            cell: entry.cell,
            state: entry.state,
            came_up: entry.came_up,
            out: Vec::new(),
            held: Ring::over(CROWD_SPAN),
            done: Ring::over(4 * S),
            known: now,
            lost: 0,
            turned_away: 0,
            heard: 0,
            closed: 0,
            turn,
            health: vec![Health::default(); sets + 1],
            budget,
            budget_at: now,
            reported: 0.0,
            reported_at: 0,
        }
    }

    fn usable(&self, now: Nanos) -> bool {
        self.state == State::Up && self.health[0].aside_until <= now
    }

    fn cold(&self, now: Nanos, cold: Nanos) -> bool {
        self.came_up.is_some_and(|at| now < at + cold)
    }

    fn fresh(&self, now: Nanos) -> bool {
        self.reported_at > 0 && now < self.reported_at + 3 * S
    }

    /// The part of its weight that a new or returning srv counts with.
    fn ramp(&self, now: Nanos, cold: Nanos, share: f64) -> f64 {
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
    fn level(&self, now: Nanos, span: f64, floor: f64) -> f64 {
        (self.done.rate(now, self.known) * span).max(floor)
    }

    /// What counts against its level: not what is overdue where the srv is silent.
    fn counted(&self, now: Nanos, span: f64) -> usize {
        let silent = self.silent(now, span);
        self.out.iter().filter(|out| !(silent && seconds(now - out.at) > SILENT * span)).count()
    }

    /// Whether it owes an answer for longer than the span and has answered nothing since that was sent.
    /// Guards against srvs cut off without a sign: what is out there must not fill the level.
    fn silent(&self, now: Nanos, span: f64) -> bool {
        let owed = self.out.iter().filter(|out| self.heard <= out.at);
        let late = owed.map(|out| seconds(now - out.at) / (SILENT * span));
        let (sum, most) = late.fold((0.0, 0.0), |(sum, most), late| (sum + late, f64::max(most, late)));
        most > 1.0 && sum >= OWED
    }

    /// In flight on the mean of the last seconds. At a quiet instance the count of the moment is nearly
    /// always none or one, even at a srv many times slower than the others.
    fn mean_out(&self, now: Nanos) -> f64 {
        let out: f64 = self.out.iter().map(|out| seconds((now - out.at).min(CROWD_SPAN))).sum();
        (self.held.sum(now) + out) / seconds(CROWD_SPAN)
    }

    /// Far more in flight than our mean, lasting or at the moment, or reporting far more than others do.
    /// One req that takes the span allowed is within chance; what a quiet instance has there is no more.
    fn crowded(&self, now: Nanos, span: f64, lasting: f64, moment: f64, reported: f64) -> bool {
        self.mean_out(now) > CROWD * lasting * self.ours + span / seconds(CROWD_SPAN)
            || self.out.len() as f64 > CROWD * moment * self.ours + 1.0
            || (self.fresh(now) && self.reported > CROWD * reported * self.weight + 2.0)
    }
}

impl RuleSet {
    fn new(facts: &Facts) -> RuleSet {
        RuleSet {
            name: text(facts, "name").into(),
            target: span(facts, "response_target", S),
            window: span(facts, "window", 0),
            utility: number(facts, "utility", 1.0),
            late_utility: number(facts, "late_utility", 0.0),
            effect: match text(facts, "effect") {
                "replayable" => Effect::Replayable,
                "uniqued" => Effect::Uniqued,
                _ => Effect::NonReplayable,
            },
            group: match text(facts, "group") {
                "all" => Group::All,
                "site" => Group::Site,
                _ => Group::Cell,
            },
            took: Ring::over(20 * S),
        }
    }
}

impl Customer {
    fn new(facts: &Facts) -> Customer {
        let share_per_s = number(facts, "share_per_s", f64::INFINITY);
        Customer { name: text(facts, "name").into(), share_per_s, asked: Ring::over(4 * S) }
    }
}
