//! Outlier ejection: endpoints are ejected for their last outcomes, and whole sites when they fall silent. Outcomes are judged
//! as they come. Overdue dispatches are found at the old end of the list of dispatches in flight, without a walk over the
//! endpoints. Connections that were lost while idle are handled here too.

use super::*;
use crate::in_flight::age_beyond_extra_time;
use crate::statistics::Health;

/// The least time between two checks with more than [`MANY_OVERDUE_CANDIDATES`] candidates. Dispatches at a lost site or endpoint
/// are overdue by hundreds of milliseconds, so a delay of this size does not matter.
const OVERDUE_CHECK_INTERVAL: Nanos = 5 * MILLISECOND;
/// Above this number of candidates, [`OVERDUE_CHECK_INTERVAL`] bounds the cost of the checks.
const MANY_OVERDUE_CANDIDATES: usize = 128;
/// The dispatches of a site count as overdue after this part of the overdue time, because stuck requests take up concurrency
/// limits at each tier above. At the first tier in overload the whole overdue time applies: there endpoints are slow for lack of
/// processing time.
const SITE_OVERDUE_FACTOR: f64 = 0.75;
/// A site is ejected only with at least this many losses, including its overdue dispatches, or with [`MIN_SITE_OVERDUE`].
const MIN_SITE_LOSSES: usize = 3;
/// This many overdue dispatches are enough to eject a site, whatever its other losses.
const MIN_SITE_OVERDUE: usize = 2;
/// Connections are closed before an idle time from which on more dispatches than this were lost. One lost dispatch is not
/// enough, because its endpoint may only be slow.
const MIN_IDLE_LOSSES: f64 = 1.5;
/// More than this share of the dispatches after such an idle time must have been lost.
const MIN_IDLE_LOSS_SHARE: f64 = 0.4;
/// Time constant with which the counts of lost dispatches decay.
const IDLE_LOSS_DECAY: Nanos = 15 * SECOND;
/// An endpoint does well in a rule set with at least this many outcomes there and no failure.
const MIN_OUTCOMES_WITHOUT_FAILURE: u32 = 4;
/// An endpoint is not ejected for fewer failures than this among its last outcomes.
const MIN_FAILURES: u32 = 2;
/// An endpoint is not at fault up to this many times the failure ratio over all endpoints, plus [`ALLOWED_FAILURE_RATIO`].
const ALLOWED_FAILURE_FACTOR: f64 = 2.0;
/// The failure ratio that an endpoint may have if no other dispatch fails.
const ALLOWED_FAILURE_RATIO: f64 = 0.2;
/// Connections are closed before the idle limit by the limit divided by this, and checked as often.
const IDLE_CLOSE_MARGIN_DIVISOR: Nanos = 8;
/// The least duration of an ejection.
const EJECTION_TIME: Nanos = 3 * SECOND;
/// An ejection lasts longer by a random part of this.
const EJECTION_JITTER: Nanos = 2 * SECOND;

/// A dispatch that is overdue, or is so after [`SITE_OVERDUE_FACTOR`] of the overdue time.
struct OverdueCandidate {
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
                !self.config.proxies_enforce_limits
                    && to_seconds(duration) > self.latency_limit_s(now) * OVERDUE_FACTOR
            }
            DispatchOutcome::Error
            | DispatchOutcome::Reset
            | DispatchOutcome::TimedOut
            | DispatchOutcome::NoConnection => true,
            // An endpoint may drain before the list says so. It is then never congested, and would attract ever more requests
            // if its refusals did not count as failures.
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
        if health_index != OVERALL_HEALTH && matches!(outcome, DispatchOutcome::Done | DispatchOutcome::Error)
        {
            endpoint.health[health_index].record(outcome == DispatchOutcome::Error, 1);
        }
        let does_well = |(index, health): (usize, &Health)| {
            index > 0 && health.outcome_count >= MIN_OUTCOMES_WITHOUT_FAILURE && health.count_failures() == 0
        };
        let is_rule_set_error =
            outcome == DispatchOutcome::Error && endpoint.health.iter().enumerate().any(does_well);
        let health_index = if is_rule_set_error { health_index } else { OVERALL_HEALTH };
        if health_index == OVERALL_HEALTH {
            // A missing connection or response counts twice, because it is stronger evidence than an error. So does a slow
            // response at the last tier, because no lower tier can have caused it; this ejects a stuck endpoint that still
            // answers, but late.
            let counts_twice = matches!(outcome, DispatchOutcome::NoConnection | DispatchOutcome::TimedOut)
                || (outcome == DispatchOutcome::Done && is_last_tier);
            endpoint.health[OVERALL_HEALTH].record(failure, if failure && counts_twice { 2 } else { 1 });
        }
        let Health { outcome_count, ejected_until, .. } = endpoint.health[health_index];
        let failures = endpoint.health[health_index].count_failures();
        let allowed =
            f64::from(outcome_count) * (ALLOWED_FAILURE_FACTOR * failure_ratio + ALLOWED_FAILURE_RATIO);
        // Many endpoints without a process raise the failure ratio so far that none of them would exceed it. An endpoint that
        // only refuses connections, while any site has answered since its own last response, is therefore ejected at any ratio.
        let refuses_all = outcome == DispatchOutcome::NoConnection && failures == outcome_count;
        let refusing_since = refuses_all.then_some(endpoint.last_response_at);
        let has_no_process = refusing_since
            .is_some_and(|since| self.endpoints.sites.iter().any(|site| site.last_response_at > since));
        if failure
            && ejected_until <= now
            && failures >= MIN_FAILURES
            && (has_no_process || f64::from(failures) > allowed)
            && self.may_eject(endpoint_id, health_index)
        {
            let ejected_until = now + EJECTION_TIME + self.rng.next_duration(EJECTION_JITTER);
            let rule_set = if health_index != OVERALL_HEALTH {
                format!(" from rule set {}", self.config.rule_sets[health_index - 1].name)
            } else {
                String::new()
            };
            // After its return, one more failure ejects it again.
            self.endpoints.get_mut(endpoint_id).health[health_index] =
                Health { outcomes: 1, outcome_count: 3, ejected_until };
            match health_index {
                OVERALL_HEALTH => self.endpoints.eject_endpoint(now, endpoint_id, ejected_until),
                _ => self.endpoints.eject_from_rule_set(endpoint_id, health_index, ejected_until),
            }
            let name = &self.endpoints.get(endpoint_id).name;
            self.log_lines.push_back(format!(
                "ejected endpoint {name}{rule_set}: {failures} of its last {outcome_count} outcomes failed, \
                 failure ratio {failure_ratio:.2} over all endpoints"
            ));
        }
    }

    /// Whether one more endpoint may be ejected. Single ejections cover at most half of a site, or half of the whole list if the
    /// endpoint is alone in its site or is ejected from a rule set only. [`Balancer::eject_silent_sites`] ejects whole sites.
    fn may_eject(&self, endpoint_id: u32, health_index: usize) -> bool {
        let site = &self.endpoints.sites[self.endpoints.get(endpoint_id).site_index as usize];
        let (up, usable) = if health_index != OVERALL_HEALTH {
            (
                self.endpoints.up_count,
                self.endpoints.usable_count - self.endpoints.ejected_counts[health_index],
            )
        } else if site.up_count < 2 {
            (self.endpoints.up_count, self.endpoints.usable_count)
        } else {
            (site.up_count, site.usable_count)
        };
        let ejected = up - usable;
        2 * (ejected + 1) <= up
    }

    /// Checks the overdue dispatches for unresponsive endpoints and silent sites.
    pub(super) fn check_overdue_dispatches(&mut self, now: Nanos) {
        if self.config.proxies_enforce_limits
            || (self.last_candidate_count > MANY_OVERDUE_CANDIDATES
                && now < self.last_overdue_check_at + OVERDUE_CHECK_INTERVAL)
        {
            return;
        }
        let is_overloaded = self.is_overloaded(now);
        let overdue_s = self.latency_limit_s_when(now, is_overloaded) * OVERDUE_FACTOR;
        let factor = if self.config.is_first_tier() && is_overloaded { 1.0 } else { SITE_OVERDUE_FACTOR };
        let candidates: Vec<OverdueCandidate> = {
            let in_flight = self.endpoints.in_flight.iter();
            let candidates =
                in_flight.take_while(|(_, dispatch)| to_seconds(now - dispatch.sent_at) > overdue_s * factor);
            let candidates = candidates.filter(|(_, dispatch)| {
                age_beyond_extra_time(now, dispatch.sent_at, dispatch.extra_time) > overdue_s * factor
            });
            candidates
                .map(|(slot, dispatch)| OverdueCandidate {
                    slot,
                    endpoint_id: dispatch.endpoint_id,
                    sent_at: dispatch.sent_at,
                })
                .collect()
        };
        let none_overdue = candidates.is_empty() && self.endpoints.unresponsive_ids.is_empty();
        if none_overdue && self.endpoints.sites.iter().all(|site| site.losses < MIN_SITE_LOSSES) {
            return;
        }
        (self.last_overdue_check_at, self.last_candidate_count) = (now, candidates.len());
        self.eject_silent_sites(now, &candidates);
        self.update_unresponsive_endpoints(now, overdue_s / OVERDUE_FACTOR, &candidates);
    }

    /// Updates which endpoints are unresponsive.
    fn update_unresponsive_endpoints(
        &mut self,
        now: Nanos,
        latency_limit_s: f64,
        candidates: &[OverdueCandidate],
    ) {
        let mut ids = self.endpoints.unresponsive_ids.clone();
        ids.extend(candidates.iter().map(|dispatch| dispatch.endpoint_id));
        for endpoint_id in ids {
            self.update_unresponsive(now, latency_limit_s, endpoint_id);
        }
    }

    pub(super) fn update_unresponsive(&mut self, now: Nanos, latency_limit_s: f64, endpoint_id: u32) {
        let endpoint = self.endpoints.get(endpoint_id);
        let unresponsive = endpoint.is_unresponsive(now, latency_limit_s);
        if unresponsive != endpoint.unresponsive {
            self.endpoints.update_with_sums(endpoint_id, |endpoint| endpoint.unresponsive = unresponsive);
        }
        let ids = &mut self.endpoints.unresponsive_ids;
        let _changed = if unresponsive { ids.insert(endpoint_id) } else { ids.remove(&endpoint_id) };
    }

    /// Ejects each site as a whole that has overdue dispatches and has answered nothing since, while others have, and cancels
    /// those dispatches. Failures within a lost site are not independent: by single ejections, a quiet instance would lose a
    /// request to each of its endpoints, and the stuck requests would take up capacity at each tier above.
    fn eject_silent_sites(&mut self, now: Nanos, candidates: &[OverdueCandidate]) {
        let mut candidates_by_site = vec![Vec::new(); self.endpoints.sites.len()];
        for dispatch in candidates {
            let site_index = self.endpoints.get(dispatch.endpoint_id).site_index;
            candidates_by_site[site_index as usize].push((dispatch.slot, dispatch.sent_at));
        }
        for (site_index, mut candidates) in candidates_by_site.into_iter().enumerate() {
            let site = &self.endpoints.sites[site_index];
            let (last_response_at, losses, name) = (site.last_response_at, site.losses, site.name.clone());
            if candidates.is_empty() && losses < MIN_SITE_LOSSES {
                continue;
            }
            let others = self.endpoints.sites.iter().enumerate().filter(|(index, _)| *index != site_index);
            let others_responded_at = others.map(|(_, site)| site.last_response_at).max().unwrap_or(0);
            candidates.retain(|(_, sent_at)| last_response_at <= *sent_at && *sent_at < others_responded_at);
            if others_responded_at <= last_response_at
                || (candidates.len() < MIN_SITE_OVERDUE && candidates.len() + losses < MIN_SITE_LOSSES)
            {
                continue;
            }
            let candidate_count = candidates.len();
            for (slot, _) in candidates {
                let dispatch = self.endpoints.in_flight.get_mut(slot);
                if !std::mem::replace(&mut dispatch.cancelled, true) && self.config.may_cancel {
                    let (request_id, dispatch_index) = (dispatch.request_id, dispatch.dispatch_index);
                    self.cancellations.push_back(DispatchId { request_id, dispatch_index });
                }
            }
            let site = &mut self.endpoints.sites[site_index];
            if site.usable_count == 0 {
                continue;
            }
            site.reset_losses();
            let until = now + EJECTION_TIME + self.rng.next_duration(EJECTION_JITTER);
            for endpoint_id in site.members.clone() {
                let health = &mut self.endpoints.get_mut(endpoint_id).health[OVERALL_HEALTH];
                health.ejected_until = health.ejected_until.max(until);
                let until = health.ejected_until;
                self.endpoints.eject_endpoint(now, endpoint_id, until);
            }
            // In overload endpoints are silent for lack of processing time, which does not show that the site is lost.
            if !self.is_overloaded(now) {
                self.site_ejected_at = Some(now);
            }
            let silent_s = to_seconds(now - last_response_at.max(self.started_at));
            self.log_lines.push_back(format!(
                "ejected site {name}: no response for {silent_s:.1} s, {candidate_count} dispatches overdue, {losses} lost"
            ));
        }
    }

    /// Records the outcome of a dispatch whose connection had been idle for this long.
    pub(super) fn record_idle_loss(&mut self, now: Nanos, idle: Nanos, outcome: DispatchOutcome) {
        let lost = matches!(outcome, DispatchOutcome::Reset | DispatchOutcome::TimedOut);
        if idle > 0 && (lost || outcome == DispatchOutcome::Done) {
            self.idle_losses.record(now, idle, lost, IDLE_LOSS_DECAY);
            if lost && self.idle_losses.idle_limit(MIN_IDLE_LOSSES, MIN_IDLE_LOSS_SHARE).is_some() {
                self.idle_connection_check_at = now;
            }
        }
    }

    /// Closes connections that have been idle for nearly as long as those that were lost. Networks may drop idle connections
    /// silently: a request sent on one is lost, while a new connection works.
    pub(super) fn close_idle_connections(&mut self, now: Nanos) {
        if now < self.idle_connection_check_at {
            return;
        }
        self.idle_losses.record(now, 0, false, IDLE_LOSS_DECAY);
        let Some(idle_limit) = self.idle_losses.idle_limit(MIN_IDLE_LOSSES, MIN_IDLE_LOSS_SHARE) else {
            self.idle_connection_check_at = Nanos::MAX;
            return;
        };
        self.idle_connection_check_at = now + idle_limit / IDLE_CLOSE_MARGIN_DIVISOR;
        let is_idle = |endpoint_id: &u32| {
            let endpoint = self.endpoints.get(*endpoint_id);
            endpoint.in_flight.is_empty()
                && endpoint.last_used_at > endpoint.idle_closed_at
                && now - endpoint.last_used_at >= idle_limit - idle_limit / IDLE_CLOSE_MARGIN_DIVISOR
        };
        for endpoint_id in self.endpoints.ids().filter(is_idle).collect::<Vec<u32>>() {
            let endpoint = self.endpoints.get_mut(endpoint_id);
            endpoint.idle_closed_at = now;
            self.connection_closes.push_back(endpoint.name.clone());
        }
    }
}
