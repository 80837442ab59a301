//! Outlier ejection: endpoints are ejected for their last outcomes, and whole sites when they fall silent. Outcomes are judged
//! as they come. Dispatches that become late are looked for among the late ones, not by a walk over the list. Connections that
//! were lost while idle are handled here too.

use super::*;
use crate::in_flight::age_beyond_grace;
use crate::statistics::Health;

/// With more than [`MANY_LATE`] late dispatches, they are checked only this often. What is looked for is late by hundreds of
/// milliseconds.
const LATE_CHECK_INTERVAL: Nanos = 5 * MS;
const MANY_LATE: usize = 128;
/// A whole site is overdue after this part of the overdue time: until it is, what is stuck there takes up concurrency limits at
/// each tier above. This does not hold at the first tier in overload, where endpoints are late for lack of processing time.
const SITE_OVERDUE_FACTOR: f64 = 0.75;
/// A site is not ejected for fewer losses than this, including its overdue dispatches, unless two are overdue.
const MIN_SITE_LOSSES: usize = 3;
const MIN_SITE_OVERDUE: usize = 2;
/// Connections are closed before the idle time from which on more dispatches than this, and more than this share of them, were
/// lost. One lost dispatch is not enough, because its endpoint may only be slow.
const MIN_IDLE_LOSSES: f64 = 1.5;
const MIN_IDLE_LOSS_SHARE: f64 = 0.4;
/// Time constant with which the counts of lost dispatches decay.
const IDLE_LOSS_DECAY: Nanos = 15 * S;
/// An endpoint does well in a rule set with at least this many outcomes there and no failure.
const MIN_OUTCOMES_WITHOUT_FAILURE: u32 = 4;
/// An ejection lasts this long, plus a random part of the jitter.
const EJECTION_TIME: Nanos = 3 * S;
const EJECTION_JITTER: Nanos = 2 * S;

/// A dispatch that is overdue, or nearly.
struct LateDispatch {
    slot: u32,
    endpoint_id: u32,
    sent_at: Nanos,
}

impl Balancer {
    pub(super) fn record_load_report(&mut self, now: Nanos, endpoint_id: u32, load_report: &[f64]) {
        let value = self.config.load_report_index.and_then(|index| load_report.get(index)).copied();
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.endpoints.record_load_report(now, endpoint_id, value);
        }
    }

    /// Judges an endpoint by its last outcomes in comparison with the others: it is not at fault for what fails everywhere.
    /// Errors in one rule set, while it does well in another, eject it from that rule set only; the other rule set would
    /// otherwise lose the endpoint too, or its successes would hide the errors.
    pub(super) fn judge_outcome(
        &mut self,
        now: Nanos,
        endpoint_id: Option<u32>,
        health_index: usize,
        outcome: DispatchOutcome,
        duration: Nanos,
    ) {
        let failure = match outcome {
            DispatchOutcome::Done => {
                !self.config.limits_at_proxies
                    && to_seconds(duration) > self.latency_limit_s(now) * OVERDUE_FACTOR
            }
            DispatchOutcome::Error
            | DispatchOutcome::Reset
            | DispatchOutcome::TimedOut
            | DispatchOutcome::NoConnection => true,
            // Guards against an endpoint that drains before the list says so: it is never congested and would attract ever
            // more requests.
            DispatchOutcome::Full
                if endpoint_id.is_some_and(|id| self.endpoints.get(id).consecutive_refusals > 1) =>
            {
                true
            }
            DispatchOutcome::Full
            | DispatchOutcome::Cancelled
            | DispatchOutcome::NotSent
            | DispatchOutcome::Rejected => return,
        };
        self.statistics.failures.add(now, f64::from(u8::from(failure)));
        let (failure_ratio, is_last_tier) = (self.statistics.failures.mean(now), self.is_last_tier());
        let Some(endpoint_id) = endpoint_id else { return };
        let endpoint = self.endpoints.get_mut(endpoint_id);
        if health_index > 0 && matches!(outcome, DispatchOutcome::Done | DispatchOutcome::Error) {
            endpoint.health[health_index].record(outcome == DispatchOutcome::Error, 1);
        }
        let does_well = |(index, health): (usize, &Health)| {
            index > 0 && health.outcome_count >= MIN_OUTCOMES_WITHOUT_FAILURE && health.count_failures() == 0
        };
        let is_rule_set_error =
            outcome == DispatchOutcome::Error && endpoint.health.iter().enumerate().any(does_well);
        let health_index = if is_rule_set_error { health_index } else { 0 };
        if health_index == 0 {
            // No connection and no response count twice, because they tell more than an error. So does a slow response at the
            // last tier, whose cause can't be at a lower one. Guards against a stuck endpoint that is only late.
            let counts_twice = matches!(outcome, DispatchOutcome::NoConnection | DispatchOutcome::TimedOut)
                || (outcome == DispatchOutcome::Done && is_last_tier);
            endpoint.health[0].record(failure, if failure && counts_twice { 2 } else { 1 });
        }
        let Health { outcome_count, ejected_until, .. } = endpoint.health[health_index];
        let failures = endpoint.health[health_index].count_failures();
        let allowed = f64::from(outcome_count) * (2.0 * failure_ratio + 0.2);
        // Endpoints without a process make up what fails everywhere by themselves: one that only refuses connections, while
        // sites have answered since it last did, is ejected whatever the failure ratio is.
        let refuses_all = outcome == DispatchOutcome::NoConnection && failures == outcome_count;
        let refusing_since = refuses_all.then_some(endpoint.last_response_at);
        let is_gone = refusing_since
            .is_some_and(|since| self.endpoints.sites.iter().any(|site| site.last_response_at > since));
        if failure
            && ejected_until <= now
            && failures >= 2
            && (is_gone || f64::from(failures) > allowed)
            && self.may_eject(endpoint_id, health_index)
        {
            let ejected_until = now + EJECTION_TIME + self.rng.next_duration(EJECTION_JITTER);
            let rule_set = if health_index > 0 {
                format!(" from rule set {}", self.config.rule_sets[health_index - 1].name)
            } else {
                String::new()
            };
            // After its return, one more failure ejects it again.
            self.endpoints.get_mut(endpoint_id).health[health_index] =
                Health { outcomes: 1, outcome_count: 3, ejected_until };
            match health_index {
                0 => self.endpoints.eject(now, endpoint_id, ejected_until),
                _ => self.endpoints.eject_from_rule_set(endpoint_id, health_index, ejected_until),
            }
            let name = &self.endpoints.get(endpoint_id).name;
            self.log_lines.push_back(format!(
                "ejected endpoint {name}{rule_set}: {failures} of its last {outcome_count} outcomes failed, \
                 failure ratio {failure_ratio:.2} over all endpoints"
            ));
        }
    }

    /// Whether one more endpoint may be ejected: no more than half of a site are, one by one; a whole site is ejected by
    /// [`Balancer::eject_silent_sites`]. For an endpoint alone in its site, or for a rule set, half of the whole list counts.
    fn may_eject(&self, endpoint_id: u32, health_index: usize) -> bool {
        let site = &self.endpoints.sites[self.endpoints.get(endpoint_id).site_index as usize];
        let (up, usable) = if health_index > 0 {
            (self.endpoints.up, self.endpoints.usable - self.endpoints.ejected_counts[health_index])
        } else if site.up < 2 {
            (self.endpoints.up, self.endpoints.usable)
        } else {
            (site.up, site.usable)
        };
        let ejected = up - usable;
        2 * (ejected + 1) <= up
    }

    /// Checks the dispatches that are late by now for unresponsive endpoints and silent sites.
    pub(super) fn check_late_dispatches(&mut self, now: Nanos) {
        if self.config.limits_at_proxies
            || (self.last_late_count > MANY_LATE && now < self.last_late_check_at + LATE_CHECK_INTERVAL)
        {
            return;
        }
        let is_overloaded = self.is_overloaded(now);
        let overdue_s = self.latency_limit_s_when(now, is_overloaded) * OVERDUE_FACTOR;
        let factor = if self.config.tier == 0 && is_overloaded { 1.0 } else { SITE_OVERDUE_FACTOR };
        let late: Vec<LateDispatch> = {
            let in_flight = self.endpoints.in_flight.iter();
            let late =
                in_flight.take_while(|(_, dispatch)| to_seconds(now - dispatch.sent_at) > overdue_s * factor);
            let late = late.filter(|(_, dispatch)| {
                age_beyond_grace(now, dispatch.sent_at, dispatch.grace) > overdue_s * factor
            });
            late.map(|(slot, dispatch)| LateDispatch {
                slot,
                endpoint_id: dispatch.endpoint_id,
                sent_at: dispatch.sent_at,
            })
            .collect()
        };
        let nothing_late = late.is_empty() && self.endpoints.unresponsive.is_empty();
        if nothing_late && self.endpoints.sites.iter().all(|site| site.losses < MIN_SITE_LOSSES) {
            return;
        }
        (self.last_late_check_at, self.last_late_count) = (now, late.len());
        self.eject_silent_sites(now, &late);
        self.update_unresponsive_endpoints(now, overdue_s / OVERDUE_FACTOR, &late);
    }

    /// Updates which endpoints are unresponsive.
    fn update_unresponsive_endpoints(&mut self, now: Nanos, latency_limit_s: f64, late: &[LateDispatch]) {
        let mut ids = self.endpoints.unresponsive.clone();
        ids.extend(late.iter().map(|dispatch| dispatch.endpoint_id));
        for endpoint_id in ids {
            self.update_unresponsive(now, latency_limit_s, endpoint_id);
        }
    }

    pub(super) fn update_unresponsive(&mut self, now: Nanos, latency_limit_s: f64, endpoint_id: u32) {
        let endpoint = self.endpoints.get(endpoint_id);
        let unresponsive = endpoint.is_unresponsive(now, latency_limit_s);
        if unresponsive != endpoint.unresponsive {
            self.endpoints.change(endpoint_id, |endpoint| endpoint.unresponsive = unresponsive);
        }
        let ids = &mut self.endpoints.unresponsive;
        let _changed = if unresponsive { ids.insert(endpoint_id) } else { ids.remove(&endpoint_id) };
    }

    /// Ejects each site as a whole that has overdue dispatches and has answered nothing since, while others have, and cancels
    /// those dispatches. Guards against a lost site: failures there are not independent, so a quiet instance would otherwise
    /// lose a request to each of its endpoints to find out, and what is stuck there takes up capacity of each caller above.
    fn eject_silent_sites(&mut self, now: Nanos, late: &[LateDispatch]) {
        let mut late_by_site = vec![Vec::new(); self.endpoints.sites.len()];
        for dispatch in late {
            let site_index = self.endpoints.get(dispatch.endpoint_id).site_index;
            late_by_site[site_index as usize].push((dispatch.slot, dispatch.sent_at));
        }
        for (site_index, mut late) in late_by_site.into_iter().enumerate() {
            let site = &self.endpoints.sites[site_index];
            let (last_response_at, losses, name) = (site.last_response_at, site.losses, site.name.clone());
            if late.is_empty() && losses < MIN_SITE_LOSSES {
                continue;
            }
            let others = self.endpoints.sites.iter().enumerate().filter(|(index, _)| *index != site_index);
            let others_responded_at = others.map(|(_, site)| site.last_response_at).max().unwrap_or(0);
            late.retain(|(_, sent_at)| last_response_at <= *sent_at && *sent_at < others_responded_at);
            if others_responded_at <= last_response_at
                || (late.len() < MIN_SITE_OVERDUE && late.len() + losses < MIN_SITE_LOSSES)
            {
                continue;
            }
            let late_count = late.len();
            for (slot, _) in late {
                let dispatch = self.endpoints.in_flight.get_mut(slot);
                if !std::mem::replace(&mut dispatch.cancelled, true) && self.config.may_cancel {
                    self.cancellations.push_back((dispatch.request_id, dispatch.dispatch_index));
                }
            }
            let site = &mut self.endpoints.sites[site_index];
            if site.usable == 0 {
                continue;
            }
            site.reset_losses();
            let until = now + EJECTION_TIME + self.rng.next_duration(EJECTION_JITTER);
            for endpoint_id in site.members.clone() {
                let health = &mut self.endpoints.get_mut(endpoint_id).health[0];
                health.ejected_until = health.ejected_until.max(until);
                let until = health.ejected_until;
                self.endpoints.eject(now, endpoint_id, until);
            }
            // In overload endpoints are silent for lack of processing time, which does not show that the site is lost.
            if !self.is_overloaded(now) {
                self.site_ejected_at = Some(now);
            }
            let silent_s = to_seconds(now - last_response_at.max(self.started_at));
            self.log_lines.push_back(format!(
                "ejected site {name}: no response for {silent_s:.1} s, {late_count} dispatches overdue, {losses} lost"
            ));
        }
    }

    /// Records the outcome of a dispatch whose connection had been idle for this long.
    pub(super) fn record_idle_loss(&mut self, now: Nanos, idle: Nanos, outcome: DispatchOutcome) {
        let lost = matches!(outcome, DispatchOutcome::Reset | DispatchOutcome::TimedOut);
        if idle > 0 && (lost || outcome == DispatchOutcome::Done) {
            self.idle_losses.record(now, idle, lost, IDLE_LOSS_DECAY);
            if lost && self.idle_losses.idle_limit(MIN_IDLE_LOSSES, MIN_IDLE_LOSS_SHARE).is_some() {
                self.idle_check_at = now;
            }
        }
    }

    /// Closes connections that have been idle for nearly as long as those that were lost. Guards against a network that drops
    /// idle connections silently: a request sent on one is lost, while a new connection works.
    pub(super) fn close_idle_connections(&mut self, now: Nanos) {
        if now < self.idle_check_at {
            return;
        }
        self.idle_losses.record(now, 0, false, IDLE_LOSS_DECAY);
        let Some(idle_limit) = self.idle_losses.idle_limit(MIN_IDLE_LOSSES, MIN_IDLE_LOSS_SHARE) else {
            self.idle_check_at = Nanos::MAX;
            return;
        };
        self.idle_check_at = now + idle_limit / 8;
        let is_idle = |endpoint_id: &u32| {
            let endpoint = self.endpoints.get(*endpoint_id);
            endpoint.in_flight.is_empty()
                && endpoint.last_used_at > endpoint.idle_closed_at
                && now - endpoint.last_used_at >= idle_limit - idle_limit / 8
        };
        for endpoint_id in self.endpoints.ids().filter(is_idle).collect::<Vec<u32>>() {
            let endpoint = self.endpoints.get_mut(endpoint_id);
            endpoint.idle_closed_at = now;
            self.idle_closes.push_back(endpoint.name.clone());
        }
    }
}
