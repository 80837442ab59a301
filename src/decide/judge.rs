//! What is set aside, and for how long: srvs by their last few outcomes, sites that fall silent whole. It
//! owns health and silence and must never pick. Outcomes are judged as they come; what grows late by time
//! alone is looked for in a sweep over the late dispatches, not over the list.

use super::*;
use crate::flight::age;
use crate::measure::Health;

/// How old what the last sweep saw may be, where more dispatches than these were late. What it looks for is
/// late by hundreds of milliseconds.
const SWEEP: Nanos = 5 * MS;
const MANY: usize = 128;
/// A whole site is overdue after this part of that time: until it is, what is stuck there holds slots and
/// levels at each tier above. Not so at the first tier in overload, where srvs are late for want of time.
const SILENT_SITE: f64 = 0.75;
/// With this many srvs that owe an answer for too long, idle connections may be dead: one may be slow.
/// Connections idle for so long are lost where more than so many were, and this part; what fades from that.
const REAPED: (f64, f64) = (1.5, 0.4);
const FADE: Nanos = 15 * S;
/// Outcomes that show a srv does well in a rule set; how long it is set aside: a fixed and a random part.
const TOLD: u32 = 4;
const ASIDE: Nanos = 3 * S;
const ASIDE_RANDOM: Nanos = 2 * S;

impl Balancer {
    pub(super) fn note_report(&mut self, now: Nanos, who: u32, report: &[f64]) {
        let value = self.told.report_at.and_then(|at| report.get(at)).copied();
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.fleet.report(now, who, value);
        }
    }

    /// Judges a srv by its last few outcomes, against how the others do: what fails everywhere is not its
    /// fault. Errors of one rule set, while another does well there, keep only that one away: else the other
    /// would lose the srv too, or hide it.
    pub(super) fn judge(
        &mut self,
        now: Nanos,
        who: Option<u32>,
        set: usize,
        how: DispatchOutcome,
        took: Nanos,
    ) {
        let failure = match how {
            DispatchOutcome::Done => !self.told.doors && to_seconds(took) > self.span_allowed(now) * SILENT,
            DispatchOutcome::Error
            | DispatchOutcome::Reset
            | DispatchOutcome::TimedOut
            | DispatchOutcome::NoConnection => true,
            // Guards against a srv that drains before we are told: it is never crowded, and draws ever more.
            DispatchOutcome::Full if who.is_some_and(|who| self.fleet.get(who).turned_away > 1) => true,
            DispatchOutcome::Full
            | DispatchOutcome::Cancelled
            | DispatchOutcome::NotSent
            | DispatchOutcome::Rejected => return,
        };
        self.seen.outcomes.add(now, f64::from(u8::from(failure)));
        let (everywhere, last_tier) = (self.seen.outcomes.mean(now), self.last_tier());
        let Some(who) = who else { return };
        let srv = self.fleet.get_mut(who);
        if set > 0 && matches!(how, DispatchOutcome::Done | DispatchOutcome::Error) {
            srv.health[set].note(how == DispatchOutcome::Error, 1);
        }
        let well = |(at, health): (usize, &Health)| at > 0 && health.judged >= TOLD && health.failed() == 0;
        let at =
            if how == DispatchOutcome::Error && srv.health.iter().enumerate().any(well) { set } else { 0 };
        if at == 0 {
            // No connection, or no answer, tells more than an error: it weighs double. So does a slow answer
            // of the last tier, whose cause can't lie below. Guards against a jammed srv that is only late.
            let heavy = matches!(how, DispatchOutcome::NoConnection | DispatchOutcome::TimedOut)
                || (how == DispatchOutcome::Done && last_tier);
            srv.health[0].note(failure, if failure && heavy { 2 } else { 1 });
        }
        let Health { judged, aside_until, .. } = srv.health[at];
        let (failed, allowed) = (srv.health[at].failed(), f64::from(judged) * (2.0 * everywhere + 0.2));
        // Guards against srvs whose processes are gone, and that make up what fails everywhere by themselves.
        let refused = (how == DispatchOutcome::NoConnection && failed == judged).then_some(srv.heard);
        let alone = refused.is_some_and(|heard| self.fleet.sites.iter().any(|site| site.heard > heard));
        if failure
            && aside_until <= now
            && failed >= 2
            && (alone || f64::from(failed) > allowed)
            && self.few_aside(who, at)
        {
            let aside_until = now + ASIDE + self.chance.span(ASIDE_RANDOM);
            let of = if at > 0 { format!(" of {}", self.told.rule_sets[at - 1].name) } else { String::new() };
            // It returns on trial: one more failure sets it aside again.
            self.fleet.get_mut(who).health[at] = Health { outcomes: 1, judged: 3, aside_until };
            match at {
                0 => self.fleet.set_aside(now, who, aside_until),
                _ => self.fleet.keep_from(who, at, aside_until),
            }
            let name = &self.fleet.get(who).name;
            self.log.push_back(format!(
                "aside {name}: {failed} of its last {judged}{of} failed, {everywhere:.2} everywhere"
            ));
        }
    }

    /// Never more than half of a site, one by one; a whole site is another matter. A srv alone in its site,
    /// or kept from a rule set, is one of the whole list.
    fn few_aside(&self, who: u32, at: usize) -> bool {
        let site = &self.fleet.sites[self.fleet.get(who).site as usize];
        let (up, usable) = if at > 0 {
            (self.fleet.up, self.fleet.usable - self.fleet.kept[at])
        } else if site.up < 2 {
            (self.fleet.up, self.fleet.usable)
        } else {
            (site.up, site.usable)
        };
        let aside = up - usable;
        2 * (aside + 1) <= up
    }

    /// Looks at what is late by now.
    pub(super) fn sweep(&mut self, now: Nanos) {
        if self.told.doors || (self.swept > MANY && now < self.swept_at + SWEEP) {
            return;
        }
        let overload = self.overload(now);
        let overdue = self.span_when(now, overload) * SILENT;
        let part = if self.told.tier == 0 && overload { 1.0 } else { SILENT_SITE };
        let late: Vec<(u32, u32, Nanos)> = {
            let late = self.fleet.flight.iter();
            let late = late.take_while(|(_, out)| to_seconds(now - out.at) > overdue * part);
            let late = late.filter(|(_, out)| age(now, out.at, out.grace) > overdue * part);
            late.map(|(place, out)| (place, out.srv, out.at)).collect()
        };
        let calm = late.is_empty() && self.fleet.silent.is_empty();
        if calm && self.fleet.sites.iter().all(|site| site.lost < 3) {
            return;
        }
        (self.swept_at, self.swept) = (now, late.len());
        self.judge_sites(now, &late);
        self.judge_silence(now, overdue / SILENT, &late);
    }

    /// Keeps count of the srvs that owe us answers for too long.
    fn judge_silence(&mut self, now: Nanos, span: f64, late: &[(u32, u32, Nanos)]) {
        let mut all = self.fleet.silent.clone();
        all.extend(late.iter().map(|(_, who, _)| *who));
        for who in all {
            self.note_silence(now, span, who);
        }
    }

    pub(super) fn note_silence(&mut self, now: Nanos, span: f64, who: u32) {
        let srv = self.fleet.get(who);
        let silent = srv.owes(now, span);
        if silent != srv.silent {
            self.fleet.change(who, |srv| srv.silent = silent);
        }
        let known = &mut self.fleet.silent;
        let _changed = if silent { known.insert(who) } else { known.remove(&who) };
    }

    /// Sets a whole site aside that owes us answers and has given none since, while others did, and recalls
    /// what it owes. Guards against a lost site: failures there are not independent, so a quiet instance
    /// would lose a req to each of its srvs to learn that, and what is stuck there holds a slot of each
    /// caller above.
    fn judge_sites(&mut self, now: Nanos, late: &[(u32, u32, Nanos)]) {
        let mut owed = vec![Vec::new(); self.fleet.sites.len()];
        for (place, who, at) in late {
            owed[self.fleet.get(*who).site as usize].push((*place, *at));
        }
        for (number, mut owed) in owed.into_iter().enumerate() {
            let site = &self.fleet.sites[number];
            let (last, lost, name) = (site.heard, site.lost, site.name.clone());
            if owed.is_empty() && lost < 3 {
                continue;
            }
            let others = self.fleet.sites.iter().enumerate().filter(|(at, _)| *at != number);
            let others = others.map(|(_, site)| site.heard).max().unwrap_or(0);
            owed.retain(|(_, at)| last <= *at && *at < others);
            if others <= last || (owed.len() < 2 && owed.len() + lost < 3) {
                continue;
            }
            let count = owed.len();
            for (place, _) in owed {
                let out = self.fleet.flight.get_mut(place);
                if !std::mem::replace(&mut out.recalled, true) && self.told.may_recall {
                    self.recalls.push_back((out.id, out.number));
                }
            }
            let site = &mut self.fleet.sites[number];
            if site.usable == 0 {
                continue;
            }
            site.heal();
            let until = now + ASIDE + self.chance.span(ASIDE_RANDOM);
            for who in site.members.clone() {
                let health = &mut self.fleet.get_mut(who).health[0];
                health.aside_until = health.aside_until.max(until);
                let until = health.aside_until;
                self.fleet.set_aside(now, who, until);
            }
            // In overload srvs are silent for want of time; then it tells nothing of a loss.
            if !self.overload(now) {
                self.site_lost = Some(now);
            }
            let silent = to_seconds(now - last.max(self.born));
            self.log
                .push_back(format!("aside site {name}: silent for {silent:.1} s, {count} owed, {lost} lost"));
        }
    }

    pub(super) fn note_idle(&mut self, now: Nanos, idle: Nanos, how: DispatchOutcome) {
        let lost = matches!(how, DispatchOutcome::Reset | DispatchOutcome::TimedOut);
        if idle > 0 && (lost || how == DispatchOutcome::Done) {
            self.gaps.note(now, idle, lost, FADE);
            if lost && self.gaps.limit(REAPED.0, REAPED.1).is_some() {
                self.idle_at = now;
            }
        }
    }

    /// Closes connections that have been idle for as long as those that were lost. Guards against a network
    /// that drops them unseen: what is sent on one is lost, while a new one answers.
    pub(super) fn close_idle(&mut self, now: Nanos) {
        if now < self.idle_at {
            return;
        }
        self.gaps.note(now, 0, false, FADE);
        let Some(limit) = self.gaps.limit(REAPED.0, REAPED.1) else {
            self.idle_at = Nanos::MAX;
            return;
        };
        self.idle_at = now + limit / 8;
        let idle = |who: &u32| {
            let srv = self.fleet.get(*who);
            srv.out.is_empty() && srv.used > srv.closed && now - srv.used >= limit - limit / 8
        };
        for who in self.fleet.known().filter(idle).collect::<Vec<u32>>() {
            let srv = self.fleet.get_mut(who);
            srv.closed = now;
            self.closes.push_back(srv.name.clone());
        }
    }
}
