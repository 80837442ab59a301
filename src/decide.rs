//! Every decision of ochreshed. An instance, `Balancer`, is made from its start time, its seed and a map of
//! facts, and is then asked: `place` for where a req goes, `after` for what follows an outcome, `wait` for
//! the chore to do next or how long until it is asked again. The values that go in and out are in `plain.rs`;
//! the adapter keeps timers and reqs. The design and each departure from it are told in `docs/design.md`,
//! what a decision costs and how old its sums may be in `docs/scale.md`. `decide/pick.rs` holds the turns,
//! `decide/judge.rs` health and silence, `decide/srv.rs` what a srv's own figures mean.
//!
//! The design: a failure is sent again only by the balancer whose callee owns it, on another srv, within a
//! tenth of our first sends; smooth weighted round robin that skips crowded srvs; a ramp for new and
//! returning srvs. The round robin turns among as many srvs as this instance hears enough of, a stretch of
//! the list that starts at its place among the instances. Beside the design stand six mechanisms:
//! 1. Level: no more in flight at a srv than it finishes within a part of the response target.
//! 2. Queue: reqs over the level wait a little, by utility; one that would wait too long is denied at once.
//! 3. Health: a srv is judged by its last few outcomes, set aside, and returns after a partly random time.
//! 4. Silence: a site that answers nothing while others do is set aside whole, and what it owes recalled;
//!    idle connections are closed before the age at which they are lost.
//! 5. Cold budget: a cold srv gets from us no more than our share of what its least capacity takes.
//! 6. Shares: a customer over its share goes last, and is denied while anyone waits.

mod beside;
#[cfg(test)]
mod days;
mod judge;
mod pick;
mod srv;

use std::collections::{HashSet, VecDeque};

use crate::fleet::{Fleet, Sent};
use crate::measure::{Chance, Gaps, Seen};
use crate::queue::{Queue, Waiting};
use crate::told::{Effect, Group, RuleSet, Told};
use crate::types::*;

const MS: Nanos = 1_000_000;
pub(crate) const S: Nanos = 1_000 * MS;
pub(crate) use srv::CROWD_SPAN;

/// The span that the level allows: so many unloaded times of a req, within these parts of the target.
const LEVEL_TIMES: f64 = 1.9;
const LEVEL_LEAST: f64 = 0.6;
/// In overload (this part of what is asked for is denied) the two above shrink to this part of them.
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
/// Nobody asked for so long: what was done meanwhile says nothing of the srvs.
const IDLE: Nanos = 3 * S;
/// A dispatch is overdue after this many of those spans.
const SILENT: f64 = 1.5;
/// A few reqs: what any srv may have in flight from all of us is so many times what it holds without load,
/// and between these; what a newcomer allows it before it has seen that.
const HELD: f64 = 1.6;
const FEW: (f64, f64) = (1.0, 4.0);
const FEW_NEW: f64 = 12.0;
/// The part of its response target that a req may wait in our queue.
const PATIENCE_PART: f64 = 0.2;

pub struct Balancer {
    told: Told,
    born: Nanos,
    /// When it was last asked, and since when without such a pause.
    asked_at: Nanos,
    back: Nanos,
    /// The part of all weight that is in our turns.
    part: f64,
    turns_at: u64,
    chance: Chance,
    fleet: Fleet,
    /// What the list beyond our turns is owed of what is sent again.
    rest_owed: f64,
    /// When late dispatches were last looked at, and how many.
    swept_at: Nanos,
    swept: usize,
    /// What cold srvs' budgets grow by, and when that was last reckoned.
    sent: Sent,
    sent_at: Nanos,
    in_flight: u32,
    seen: Seen,
    waiting: Queue,
    /// The held req that `wait` has just called up.
    called: Option<u64>,
    holding: bool,
    watch_at: Option<Nanos>,
    watch_pause: Nanos,
    /// When a whole site was last set aside.
    site_lost: Option<Nanos>,
    recalls: VecDeque<(u64, usize)>,
    gaps: Gaps,
    idle_at: Nanos,
    closes: VecDeque<Name>,
    log: VecDeque<String>,
}

impl Balancer {
    pub fn new(now: Nanos, seed: u64, facts: Parameters) -> Balancer {
        let mut chance = Chance::new(seed);
        let told = Told::new(&facts);
        // All instances may have started in one step: the list is one service for all of them.
        let watch_at = (read_text(&facts, "list_mode") == "ask").then(|| now + chance.span(S));
        Balancer {
            born: now,
            asked_at: now,
            back: now,
            part: 1.0,
            turns_at: 0,
            fleet: Fleet::new(now, told.rule_sets.len(), told.cold, told.cold_share),
            told,
            chance,
            rest_owed: 0.0,
            swept_at: 0,
            swept: 0,
            sent: Sent::default(),
            sent_at: now,
            in_flight: 0,
            seen: Seen::default(),
            waiting: Queue::default(),
            called: None,
            holding: false,
            watch_at,
            watch_pause: S,
            site_lost: None,
            recalls: VecDeque::new(),
            gaps: Gaps::default(),
            idle_at: Nanos::MAX,
            closes: VecDeque::new(),
            log: VecDeque::new(),
        }
    }

    /// Where this req goes now.
    pub fn route(&mut self, now: Nanos, req: &mut RequestContext) -> RoutingDecision {
        let called = self.called.take() == Some(req.id);
        let held = self.waiting.take(req.id);
        if let Some(last) = req.dispatches.last() {
            if last.outcome.is_none() {
                // Never two dispatches of one req at once.
                return RoutingDecision::Wait { until: req.deadline };
            }
            let srv = if self.may_go_again(now, req) { self.pick(now, req) } else { None };
            return match srv {
                Some(srv) => {
                    self.seen.sent_again(now, req.was_rejected());
                    self.send(now, req, srv)
                }
                None => self.give_up_on(now, req, 0),
            };
        }
        if now >= req.deadline {
            return self.give_up_on(now, req, 0);
        }
        if held.is_none() {
            self.seen.asked.add(now, 1.0);
            if self.told.doors && req.is_client_retry {
                // A call of a run that was itself sent again counts as one that is sent again.
                self.seen.sent_again(now, false);
            }
            let utility = self.told.rule_set(&req.rule_set).map_or(1.0, |set| set.utility);
            self.seen.utilities.add(now, utility);
            req.expected_cost.iter().for_each(|work| self.seen.works.add(now, to_seconds(*work)));
            // Guards against levels that sank while clients were sent away, and deny them when they return.
            let pause = now.saturating_sub(std::mem::replace(&mut self.asked_at, now));
            if pause > IDLE {
                self.back = now;
                self.fleet.pause(now, pause);
            }
        }
        let over_share = held.is_none() && self.count_customer(now, &req.customer);
        if (called || self.waiting.is_empty())
            && let Some(srv) = self.pick(now, req)
        {
            self.seen.first.add(now, 1.0);
            let turn = now / S;
            if self.turns_at != turn {
                self.turns_at = turn;
                self.take_turns(now, false);
            }
            return self.send(now, req, srv);
        }
        self.hold(now, req, held, over_share)
    }

    /// Over the level: wait in the queue if an answer in time can still be expected, else be denied at once.
    fn hold(
        &mut self,
        now: Nanos,
        req: &RequestContext,
        held: Option<Waiting>,
        over_share: bool,
    ) -> RoutingDecision {
        let set = self.told.rule_set(&req.rule_set);
        let mut rank = set.map_or(1.0, |set| self.rank(now, set));
        let patience = set.map_or(S, |set| (set.target as f64 * PATIENCE_PART) as Nanos);
        if over_share {
            rank *= self.told.excess_utility;
        }
        let (set, until) =
            (self.told.health_at(&req.rule_set), (req.received_at + patience).min(req.deadline));
        let waiting = held.unwrap_or(Waiting { id: req.id, set, rank, until });
        let at = self.waiting.place(waiting.rank);
        let wait = self.wait_at(now, at);
        if now + wait > waiting.until || (over_share && !self.waiting.is_empty()) {
            self.seen.denied.add(now, 1.0);
            return self.give_up_on(now, req, wait);
        }
        let ask_at = waiting.until;
        self.waiting.insert(waiting);
        RoutingDecision::Wait { until: ask_at }
    }

    /// How long the req at this place of the queue is likely to wait. At a quiet instance what is in flight
    /// tells more than the few done of late. Guards against denies of calm reqs that come two at a time.
    fn wait_at(&self, now: Nanos, at: usize) -> Nanos {
        let out = f64::from(self.in_flight) / self.seen.took.mean(now).max(1e-3);
        let rate = self.seen.done.rate(now, self.born).max(out).max(1.0);
        ((at + 1) as f64 / rate * S as f64) as Nanos
    }

    /// The span within which what is in flight at a srv should be done, in seconds.
    fn span_allowed(&self, now: Nanos) -> f64 {
        self.span_when(now, self.overload(now))
    }

    fn span_when(&self, now: Nanos, overload: bool) -> f64 {
        let target = to_seconds(self.told.target);
        let left = self.told.tiers.saturating_sub(self.told.tier).max(1);
        let most = target * LEVEL_MOST * left as f64 / self.told.tiers as f64;
        if self.told.tier > 0 {
            most
        } else {
            let part = if overload { LEVEL_OVERLOAD } else { 1.0 };
            // A quiet instance knows its unloaded time from long buckets only, and goes by it in overload.
            let long = if overload { self.seen.took_long.least(now) } else { f64::INFINITY };
            (self.seen.took.least(now).min(long) * LEVEL_TIMES * part)
                .clamp(target * LEVEL_LEAST * part, most)
        }
    }

    /// How much more than the mean this req is told to cost, in seconds; less where it is below 0.
    fn over_mean(&self, now: Nanos, req: &RequestContext) -> f64 {
        req.expected_cost.map_or(0.0, |work| to_seconds(work) - self.seen.works.mean(now))
    }

    /// How much longer than others this req may take before it is late: by its own response target and what
    /// it is told to cost. Guards against reqs that may take their time and count as their srvs' failures.
    fn grace(&self, now: Nanos, req: &RequestContext) -> Nanos {
        let set = self.told.rule_set(&req.rule_set);
        let more = set.map_or(1.0, |set| set.target as f64 / self.told.target as f64) - 1.0;
        let more = SILENT * (self.span_allowed(now) * more + self.over_mean(now, req).max(0.0));
        (more * S as f64) as Nanos
    }

    fn overload(&self, now: Nanos) -> bool {
        self.seen.denied.count(now) > OVERLOAD * self.seen.asked.count(now)
    }

    /// The least that we may have in flight: one, and some more at the first tier while answers come quicker
    /// than the span of overload. Guards against denies at a quiet instance that has one in flight on the
    /// mean and three by chance.
    fn least_level(&self, now: Nanos) -> f64 {
        let quick = 1.0 - self.seen.done.mean(now) / self.span_when(now, true);
        let calm = self.told.tier == 0 && !self.overload(now);
        if calm { (CALM_LEAST * CALM_GAIN * quick).clamp(1.0, CALM_LEAST) } else { 1.0 }
    }

    /// How much wider the level is while answers come about as fast as with no load: twice where we finish
    /// far less than at best, after a fault further down has passed; up to the best where no more is asked.
    /// Guards against a level that sinks with what clients left, and then denies what the srvs could do.
    fn widening(&self, now: Nanos) -> f64 {
        let best = self.seen.took.live(now).map(|bucket| bucket.count).fold(0.0, f64::max);
        let lost = self.site_lost.is_some_and(|at| now < at + AFTER_LOSS);
        let (least, part) = if lost { RECOVERING_LOST } else { RECOVERING };
        let (done, asked) = (self.seen.done.count(now), self.seen.asked.count(now));
        let prompt = self.seen.done.mean(now) <= self.seen.took.least(now) * PROMPT;
        let steady = done >= STEADY.0 && asked <= STEADY.1 * best && !self.overload(now);
        match self.told.tier == 0 && prompt {
            true if (least..part * best).contains(&done) => 2.0,
            true if steady => (best / done).clamp(1.0, 2.0),
            _ => 1.0,
        }
    }

    /// What any srv may have in flight from us, however little it has done for us: our share of a few.
    fn floor(&self, now: Nanos) -> f64 {
        // A new instance, or one that nobody asked, has seen nothing done, and that says nothing of the srvs.
        let held = (HELD * self.held_each(now)).clamp(FEW.0, FEW.1);
        let few = if now < self.back + 2 * S { FEW_NEW } else { held + (FEW.1 - held) * self.calm(now) };
        few / self.turned_by()
    }

    /// How many reqs a srv of the first tier holds at a time for all that turn to it, by Little's law and
    /// without load. Guards against srvs of one core that a floor for larger ones keeps crowded, and so slow.
    fn held_each(&self, now: Nanos) -> f64 {
        if self.told.tier > 0 {
            return FEW.1;
        }
        let unloaded =
            self.seen.took.least(now).min(self.seen.took_long.least(now)).min(self.seen.took.mean(now));
        let turns = (self.part * self.fleet.up as f64).max(1.0);
        self.seen.took.rate(now, self.born) * unloaded * self.turned_by() / turns
    }

    fn rank(&self, now: Nanos, set: &RuleSet) -> f64 {
        if self.told.utility_by_work {
            return set.utility;
        }
        // A rule set with few done yet goes by the time of all: all ranks must be in the same measure.
        let took = if set.took.count(now) < 3.0 { &self.seen.took } else { &set.took };
        set.utility / took.mean(now).max(1e-3)
    }

    /// Counts a req for its customer and tells whether that customer is over its share.
    fn count_customer(&mut self, now: Nanos, name: &str) -> bool {
        if self.told.tier > 0 {
            return false;
        }
        let (born, instances) = (self.born, self.told.instances);
        let Some(customer) = self.told.customers.get_mut(name) else { return false };
        customer.asked.add(now, 1.0);
        customer.asked.rate(now, born) * instances > customer.share_per_s * 1.2
    }

    fn last_tier(&self) -> bool {
        self.told.tier + 1 >= self.told.tiers
    }

    /// Whether this req's failure is ours to send again, and its rule set and the tenth allow it.
    fn may_go_again(&self, now: Nanos, req: &RequestContext) -> bool {
        let owned = match req.dispatches.last().and_then(|d| d.outcome) {
            Some(
                DispatchOutcome::NoConnection
                | DispatchOutcome::Reset
                | DispatchOutcome::Full
                | DispatchOutcome::Rejected,
            ) => true,
            Some(DispatchOutcome::Error | DispatchOutcome::TimedOut) => self.last_tier(),
            _ => false,
        };
        owned
            && (req.count_attempts() < self.told.max_dispatches
                && req.count_rejections(None) < self.told.most_turned)
            && now < req.deadline
            && (req.was_rejected() || self.seen.room_again(now, self.told.tenth, self.told.floor))
            && self.may_run_again(now, req)
    }

    /// The second rule: another run only where it can't be a second effect.
    fn may_run_again(&self, now: Nanos, req: &RequestContext) -> bool {
        let Some(ran) = req.first_possible_run() else { return true };
        match self.told.rule_set(&req.rule_set) {
            Some(set) if set.effect == Effect::Uniqued => now + MS < ran.sent_at + set.window,
            Some(set) => set.effect == Effect::Replayable,
            None => false,
        }
    }

    /// The final answer for what we give up on: a deny where a repeat by the client is safe.
    fn give_up_on(&mut self, now: Nanos, req: &RequestContext, wait: Nanos) -> RoutingDecision {
        let set = self.told.rule_set(&req.rule_set);
        let all = set.is_some_and(|s| s.effect != Effect::Uniqued || s.group == Group::All);
        if req.first_possible_run().is_some() && !(all && self.may_run_again(now, req)) {
            return RoutingDecision::Abort;
        }
        // Those that failed together need not wait for room, only part by about the time of an answer.
        let part = if wait > 0 { S / 2 } else { ((self.seen.took.mean(now) * S as f64) as Nanos).min(S / 2) };
        let come_back = if self.told.come_back_passed { wait + self.chance.span(part.max(MS)) } else { 0 };
        RoutingDecision::Deny { retry_after: come_back.min(self.told.max_come_back) }
    }

    /// Where an answer after the response target has no utility, the first tier stops waiting for it then.
    fn give_up_time(&self, req: &RequestContext) -> Nanos {
        match self.told.rule_set(&req.rule_set) {
            Some(set) if self.told.tier == 0 && set.late_utility <= 0.0 => {
                req.deadline.min(req.received_at + set.target)
            }
            _ => req.deadline,
        }
    }

    /// What follows an outcome; news of the list enters here too.
    pub fn handle_event(&mut self, now: Nanos, outcome: Event) -> NextStep {
        self.fleet.advance(now);
        match outcome {
            Event::DispatchEnded {
                request: req,
                dispatch_index: number,
                outcome: how,
                duration: took,
                is_final: closed,
                load_report: report,
            } => {
                let Some(dispatch) = req.dispatches.get_mut(number) else { return NextStep::Nothing };
                dispatch.outcome = Some(how);
                self.seen.ended(now, how);
                let name = dispatch.endpoint.clone();
                self.in_flight = self.in_flight.saturating_sub(1);
                let who = self.fleet.find(&name);
                if let Some(who) = who {
                    let idle = self.fleet.ended(now, who, req.id, number, how == DispatchOutcome::Done);
                    self.note_idle(now, idle, how);
                    let srv = self.fleet.get_mut(who);
                    match how {
                        DispatchOutcome::Done | DispatchOutcome::Error => {
                            (srv.heard, srv.turned_away) = (now, 0)
                        }
                        DispatchOutcome::Full => (srv.heard, srv.turned_away) = (now, srv.turned_away + 1),
                        DispatchOutcome::NoConnection
                        | DispatchOutcome::Reset
                        | DispatchOutcome::TimedOut => self.fleet.lose(who),
                        DispatchOutcome::Cancelled | DispatchOutcome::NotSent | DispatchOutcome::Rejected => {
                        }
                    }
                    if matches!(how, DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full) {
                        let site = self.fleet.site(who);
                        site.heard = now;
                        site.heal();
                    }
                    if self.fleet.get(who).silent {
                        self.note_silence(now, self.span_allowed(now), who);
                    }
                    self.note_report(now, who, report);
                }
                if how == DispatchOutcome::Done {
                    // Told as the time of a req of the mean cost, so that what differs is the srvs' doing.
                    let even = (to_seconds(took) - self.over_mean(now, req)).max(0.0);
                    self.seen.done.add(now, even);
                    self.seen.took.add(now, even);
                    self.seen.took_long.add(now, even);
                    if let Some(set) = self.told.rule_sets.iter_mut().find(|set| set.name == req.rule_set) {
                        set.took.add(now, to_seconds(took));
                    }
                }
                let took = took.saturating_sub(self.grace(now, req));
                self.judge(now, who, self.told.health_at(&req.rule_set), how, took);
                if closed { NextStep::Nothing } else { NextStep::Route }
            }
            Event::RequestSent { request: req, dispatch_index: number } => {
                let out = req.dispatches.get(number).filter(|dispatch| dispatch.outcome.is_none());
                if let Some(who) = out.and_then(|dispatch| self.fleet.find(&dispatch.endpoint)) {
                    let grace = self.grace(now, req);
                    self.fleet.sent(now, who, req.id, number, grace);
                }
                NextStep::Nothing
            }
            Event::ProbeEnded { endpoint: srv, load_report: report, .. } => {
                self.fleet.find(srv).into_iter().for_each(|who| self.note_report(now, who, report));
                NextStep::Nothing
            }
            Event::PeerDispatchEnded { endpoint: srv, rule_set, outcome: how } => {
                let who = self.fleet.find(srv).filter(|_| !self.overload(now));
                let new = who.filter(|who| {
                    how == DispatchOutcome::Reset && self.fleet.get(*who).health[0].failed() == 0
                });
                new.into_iter().for_each(|who| self.fleet.lose(who));
                let own = self.seen.outcomes.clone();
                self.judge(now, who, self.told.health_at(rule_set), how, 0);
                self.seen.outcomes = own;
                NextStep::Nothing
            }
            Event::EndpointsListed { is_complete: whole, is_stale: old, endpoints: entries } => {
                self.follow_list(now, whole, old, entries);
                NextStep::Nothing
            }
            Event::EndpointListFailed => {
                // The list is one service for all: ask again after a pause that grows and is partly random.
                self.watch_at = Some(now + self.watch_pause / 2 + self.chance.span(self.watch_pause));
                self.watch_pause = (self.watch_pause * 2).min(4 * S);
                NextStep::Nothing
            }
            Event::ClientDisconnected { request: req } => {
                self.waiting.take(req.id);
                let out = req.dispatches.iter().position(|d| d.outcome.is_none());
                out.filter(|_| self.told.may_recall).map_or(NextStep::Nothing, NextStep::CancelDispatch)
            }
        }
    }

    fn follow_list(&mut self, now: Nanos, whole: bool, old: bool, entries: &[ListedEndpoint]) {
        if !old {
            self.watch_pause = S;
        }
        if whole {
            let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
            let gone = |who: &u32| !listed.contains(&*self.fleet.get(*who).name);
            for who in self.fleet.known().filter(gone).collect::<Vec<_>>() {
                self.fleet.go(now, who);
            }
        }
        self.count_sent(now);
        for entry in entries {
            let (who, fresh) = match self.fleet.find(&entry.name) {
                Some(who) => (who, self.fleet.heed(now, who, entry)),
                // A random start of its turn, so that instances don't walk the list in step.
                None => {
                    let part = 1.0 - self.chance.part();
                    (self.fleet.add(now, entry, part), true)
                }
            };
            if fresh {
                let (budget, from) = (self.chance.part(), self.sent.sum);
                let srv = self.fleet.get_mut(who);
                (srv.budget, srv.budget_at, srv.budget_from) = (budget, now, from);
            }
        }
        self.fleet.forget(now);
        self.take_turns(now, true);
    }

    /// A chore to do first, or when to ask again.
    pub fn next_action(&mut self, now: Nanos) -> NextAction {
        if let Some(line) = self.log.pop_front() {
            return NextAction::Log(line);
        }
        self.fleet.advance(now);
        self.sweep(now);
        self.close_idle(now);
        if let Some(name) = self.closes.pop_front() {
            return NextAction::CloseIdleConnections(name);
        }
        if let Some((id, number)) = self.recalls.pop_front() {
            return NextAction::CancelDispatch(id, number);
        }
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            return NextAction::WatchEndpoints;
        }
        let holding = !self.waiting.is_empty();
        if holding != self.holding {
            self.holding = holding;
            let (rate, out) = (self.seen.done.rate(now, self.born), self.in_flight);
            let mode = if holding { "holding" } else { "open" };
            return NextAction::Log(format!("{mode}: {out} in flight, {rate:.0} done a second"));
        }
        let first = self.waiting.front().map(|first| (first.id, first.set));
        if let Some((first, set)) = first
            && self.any_fit(now, set)
        {
            self.called = Some(first);
            return NextAction::Route(first);
        }
        if let Some(last) = self.waiting.back()
            && now + self.wait_at(now, self.waiting.len() - 1) > last.until
        {
            // Those that came with more utility have pushed it out: it is told now, not when its time is up.
            return NextAction::Route(last.id);
        }
        let poll = match (holding, self.in_flight) {
            (true, _) => now + 20 * MS,
            (_, 0) => Nanos::MAX,
            // What is out may become overdue without anything else happening here.
            _ => now + S / 4,
        };
        NextAction::SleepUntil(self.watch_at.unwrap_or(Nanos::MAX).min(self.idle_at).min(poll))
    }
}
