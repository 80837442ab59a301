//! Every decision of ochreshed. An instance, [`Balancer`], is created from its start time, a seed and its parameters. The
//! adapter then asks [`Balancer::route`] where a request goes, reports what happens to [`Balancer::handle_event`], and asks
//! [`Balancer::next_action`] what to do next or when to ask again. The adapter owns the timers and the requests.
//! `docs/design.md` describes the design and its deviations, `docs/scale.md` the cost of a decision and how old its sums may
//! be. `endpoint_selection` selects endpoints, `outlier_ejection` judges them, `endpoint_limits` interprets the state of one.
//!
//! A failed dispatch is retried only by the balancer in front of the callee that caused the failure, on another endpoint, and
//! within a tenth of the first sends. Endpoints are selected by smooth weighted round robin that skips congested ones; new
//! and returning endpoints ramp up. The round robin is among as many endpoints as the instance gets enough responses from: a
//! subset of the list that begins at its place among the instances. Six mechanisms are added to this:
//! 1. Concurrency limit: no more requests in flight at an endpoint than it completes within a part of the response target.
//! 2. Queue: requests over the limit wait shortly, by utility; one that would wait too long is denied at once.
//! 3. Health: an endpoint is judged by its last outcomes, ejected, and returns after a partly random time.
//! 4. Silence: a site that answers nothing while others do is ejected as a whole and its dispatches are cancelled; idle
//!    connections are closed before the age at which they are lost.
//! 5. Slow-start budget: an endpoint in slow start gets no more than the share of this instance in what its least capacity
//!    takes.
//! 6. Shares: requests of a customer over its share go last, and are denied while any request waits.

mod endpoint_limits;
mod endpoint_selection;
mod outlier_ejection;
#[cfg(test)]
mod reference_tests;
mod runtime_controls;

use std::collections::{HashSet, VecDeque};

use crate::config::{Config, DedupGroup, Effect, RuleSet};
use crate::endpoint_set::{EndpointSet, WarmTraffic};
use crate::statistics::{IdleLosses, RequestStatistics, Rng};
use crate::types::*;
use crate::wait_queue::{WaitQueue, WaitingRequest};

const MS: Nanos = 1_000_000;
pub(crate) const S: Nanos = 1_000 * MS;
pub(crate) use endpoint_limits::MEAN_LOAD_WINDOW;

/// The latency limit, within which the requests in flight at an endpoint should complete, is this many times the unloaded
/// latency, and at least this share of the response target.
const LATENCY_LIMIT_FACTOR: f64 = 1.9;
const MIN_LATENCY_LIMIT_SHARE: f64 = 0.6;
/// The instance is in overload while more than this share of the arrivals is denied.
const OVERLOAD_DENIAL_SHARE: f64 = 0.3;
/// In overload the two values above are multiplied by this.
const OVERLOAD_LATENCY_LIMIT_FACTOR: f64 = 0.7;
/// The latency limit is at most this share of the response target.
const MAX_LATENCY_LIMIT_SHARE: f64 = 0.8;
/// While latencies are low and there is no overload, an instance may have up to this many requests in flight whatever its
/// concurrency limit is, and this gain says how fast that grows as latencies decrease.
const MAX_LIGHT_LOAD_CONCURRENCY: f64 = 3.0;
const LIGHT_LOAD_CONCURRENCY_GAIN: f64 = 4.0;
/// Latencies up to this many times the unloaded latency count as unloaded.
const UNLOADED_LATENCY_FACTOR: f64 = 1.3;
/// In recovery the completions of the last 2 s are from this count up to this share of the most in any 2 s. The count guards
/// against hundreds of quiet instances that all widen a limit of one or two.
const RECOVERY_MIN_COMPLETIONS: f64 = 3.0;
const RECOVERY_MAX_COMPLETION_SHARE: f64 = 0.25;
/// The same for a while after the ejection of a site.
const SITE_LOSS_MIN_COMPLETIONS: f64 = 5.0;
const SITE_LOSS_MAX_COMPLETION_SHARE: f64 = 0.75;
const SITE_LOSS_RECOVERY: Nanos = 10 * S;
/// Traffic is steady with at least this many completions in 2 s, for the same reason, and with arrivals up to this many times
/// the most completions in any 2 s.
const STEADY_MIN_COMPLETIONS: f64 = 5.0;
const STEADY_MAX_ARRIVAL_FACTOR: f64 = 1.2;
/// After this long without arrivals, the completions of that time say nothing about the endpoints.
const ARRIVAL_PAUSE: Nanos = 3 * S;
/// A dispatch is overdue after this many latency limits.
const OVERDUE_FACTOR: f64 = 1.5;
/// What any endpoint may have in flight from all instances together: this many times what it has without load, and within
/// these bounds.
const ENDPOINT_FLOOR_FACTOR: f64 = 1.6;
const MIN_ENDPOINT_FLOOR: f64 = 1.0;
const MAX_ENDPOINT_FLOOR: f64 = 4.0;
/// The same for an instance that has just started or resumed and does not know what an endpoint has without load.
const NEW_INSTANCE_ENDPOINT_FLOOR: f64 = 12.0;
/// A customer is over its share when its arrivals exceed the share by this factor.
const CUSTOMER_SHARE_TOLERANCE: f64 = 1.2;
/// A rule set has its own mean latency with at least this many completions.
const MIN_COMPLETIONS_FOR_LATENCY: f64 = 3.0;
/// The longest random part of a retry-after time.
const MAX_RETRY_AFTER_JITTER: Nanos = S / 2;
const MAX_LIST_RETRY_DELAY: Nanos = 4 * S;
/// How often the adapter asks again while requests wait, and while dispatches are in flight.
const QUEUE_POLL_INTERVAL: Nanos = 20 * MS;
const IN_FLIGHT_POLL_INTERVAL: Nanos = S / 4;
/// The share of its response target that a request may wait in the queue.
const MAX_WAIT_SHARE: f64 = 0.2;

pub struct Balancer {
    config: Config,
    started_at: Nanos,
    last_arrival_at: Nanos,
    /// Since when there has been no [`ARRIVAL_PAUSE`].
    active_since: Nanos,
    /// The share of all weight that is in the subset of the list.
    subset_share: f64,
    /// The second for which the subset was last updated.
    subset_updated_s: u64,
    rng: Rng,
    endpoints: EndpointSet,
    /// The retries due to endpoints outside of the subset.
    outside_credit: f64,
    /// When late dispatches were last checked, and how many there were.
    last_late_check_at: Nanos,
    last_late_count: usize,
    /// What slow-start budgets grow by, and when it was last updated.
    warm_traffic: WarmTraffic,
    warm_traffic_updated_at: Nanos,
    in_flight: u32,
    statistics: RequestStatistics,
    wait_queue: WaitQueue,
    /// The waiting request for which [`NextAction::Route`] was just returned.
    called_request: Option<u64>,
    is_queueing: bool,
    /// When to request the endpoint list.
    list_request_at: Option<Nanos>,
    list_retry_delay: Nanos,
    /// When a whole site was last ejected.
    site_ejected_at: Option<Nanos>,
    cancellations: VecDeque<(u64, usize)>,
    idle_losses: IdleLosses,
    idle_check_at: Nanos,
    idle_closes: VecDeque<Name>,
    log_lines: VecDeque<String>,
}

impl Balancer {
    pub fn new(now: Nanos, seed: u64, parameters: Parameters) -> Balancer {
        let mut rng = Rng::new(seed);
        let config = Config::new(&parameters);
        // All instances may have started at once, and they share one list service.
        let list_request_at =
            (read_text(&parameters, "list_mode") == "ask").then(|| now + rng.next_duration(S));
        Balancer {
            started_at: now,
            last_arrival_at: now,
            active_since: now,
            subset_share: 1.0,
            subset_updated_s: 0,
            endpoints: EndpointSet::new(
                now,
                config.rule_sets.len(),
                config.slow_start,
                config.slow_start_share,
            ),
            config,
            rng,
            outside_credit: 0.0,
            last_late_check_at: 0,
            last_late_count: 0,
            warm_traffic: WarmTraffic::default(),
            warm_traffic_updated_at: now,
            in_flight: 0,
            statistics: RequestStatistics::default(),
            wait_queue: WaitQueue::default(),
            called_request: None,
            is_queueing: false,
            list_request_at,
            list_retry_delay: S,
            site_ejected_at: None,
            cancellations: VecDeque::new(),
            idle_losses: IdleLosses::default(),
            idle_check_at: Nanos::MAX,
            idle_closes: VecDeque::new(),
            log_lines: VecDeque::new(),
        }
    }

    /// Decides what to do with a request now.
    pub fn route(&mut self, now: Nanos, request: &mut RequestContext) -> RoutingDecision {
        let was_called = self.called_request.take() == Some(request.id);
        let waiting = self.wait_queue.remove(request.id);
        if let Some(last) = request.dispatches.last() {
            if last.outcome.is_none() {
                // A request never has two dispatches in flight.
                return RoutingDecision::Wait { until: request.deadline };
            }
            let endpoint_id =
                if self.may_retry(now, request) { self.select_endpoint(now, request) } else { None };
            return match endpoint_id {
                Some(endpoint_id) => {
                    self.statistics.count_retry(now, request.was_rejected());
                    self.send(now, request, endpoint_id)
                }
                None => self.deny_or_abort(now, request, 0),
            };
        }
        if now >= request.deadline {
            return self.deny_or_abort(now, request, 0);
        }
        if waiting.is_none() {
            self.count_arrival(now, request);
        }
        let is_over_share = waiting.is_none() && self.count_customer_arrival(now, &request.customer);
        if (was_called || self.wait_queue.is_empty())
            && let Some(endpoint_id) = self.select_endpoint(now, request)
        {
            self.statistics.first_sends.add(now, 1.0);
            let second = now / S;
            if self.subset_updated_s != second {
                self.subset_updated_s = second;
                self.update_subset(now, false);
            }
            return self.send(now, request, endpoint_id);
        }
        self.queue_or_deny(now, request, waiting, is_over_share)
    }

    fn count_arrival(&mut self, now: Nanos, request: &RequestContext) {
        self.statistics.arrivals.add(now, 1.0);
        if self.config.limits_at_proxies && request.is_client_retry {
            // A call by a run that was itself a retry counts as a retry.
            self.statistics.count_retry(now, false);
        }
        let utility = self.config.rule_set(&request.rule_set).map_or(1.0, |set| set.utility);
        self.statistics.utilities.add(now, utility);
        request
            .expected_cost
            .iter()
            .for_each(|cost| self.statistics.expected_costs.add(now, to_seconds(*cost)));
        // Guards against concurrency limits that shrink while clients are sent away, and deny them when they return.
        let pause = now.saturating_sub(std::mem::replace(&mut self.last_arrival_at, now));
        if pause > ARRIVAL_PAUSE {
            self.active_since = now;
            self.endpoints.exclude_pause(now, pause);
        }
    }

    /// Queues a request that is over the concurrency limit if a response in time can still be expected, else denies it.
    fn queue_or_deny(
        &mut self,
        now: Nanos,
        request: &RequestContext,
        waiting: Option<WaitingRequest>,
        is_over_share: bool,
    ) -> RoutingDecision {
        let set = self.config.rule_set(&request.rule_set);
        let mut rank = set.map_or(1.0, |set| self.rank(now, set));
        let max_wait = set.map_or(S, |set| (set.response_target as f64 * MAX_WAIT_SHARE) as Nanos);
        if is_over_share {
            rank *= self.config.excess_utility;
        }
        let health_index = self.config.health_index(&request.rule_set);
        let expires_at = (request.received_at + max_wait).min(request.deadline);
        let waiting = waiting.unwrap_or(WaitingRequest { id: request.id, health_index, rank, expires_at });
        let position = self.wait_queue.position_for(waiting.rank);
        let wait = self.expected_wait(now, position);
        if now + wait > waiting.expires_at || (is_over_share && !self.wait_queue.is_empty()) {
            self.statistics.denials.add(now, 1.0);
            return self.deny_or_abort(now, request, wait);
        }
        let until = waiting.expires_at;
        self.wait_queue.insert(waiting);
        RoutingDecision::Wait { until }
    }

    /// The expected wait at this position of the queue. At a quiet instance the requests in flight tell more than the few
    /// recent completions: by these alone, a pair of requests that arrive together without load would be denied.
    fn expected_wait(&self, now: Nanos, position: usize) -> Nanos {
        let in_flight_per_s = f64::from(self.in_flight) / self.statistics.latency.mean(now).max(1e-3);
        let completions_per_s = self.statistics.latency_short.rate_per_s(now, self.started_at);
        let per_s = completions_per_s.max(in_flight_per_s).max(1.0);
        ((position + 1) as f64 / per_s * S as f64) as Nanos
    }

    /// The latency limit in seconds, within which the requests in flight at an endpoint should complete.
    fn latency_limit_s(&self, now: Nanos) -> f64 {
        self.latency_limit_s_when(now, self.is_overloaded(now))
    }

    fn latency_limit_s_when(&self, now: Nanos, is_overloaded: bool) -> f64 {
        let target = to_seconds(self.config.min_response_target);
        let remaining_tiers = self.config.tiers.saturating_sub(self.config.tier).max(1);
        let max = target * MAX_LATENCY_LIMIT_SHARE * remaining_tiers as f64 / self.config.tiers as f64;
        if self.config.tier > 0 {
            max
        } else {
            let factor = if is_overloaded { OVERLOAD_LATENCY_LIMIT_FACTOR } else { 1.0 };
            // A quiet instance knows its unloaded latency only from the long window, and relies on it in overload.
            let long =
                if is_overloaded { self.statistics.latency_long.min_bucket_mean(now) } else { f64::INFINITY };
            (self.statistics.latency.min_bucket_mean(now).min(long) * LATENCY_LIMIT_FACTOR * factor)
                .clamp(target * MIN_LATENCY_LIMIT_SHARE * factor, max)
        }
    }

    /// The expected cost of a request in seconds, less the mean; 0 if no cost is expected.
    fn excess_cost_s(&self, now: Nanos, request: &RequestContext) -> f64 {
        request.expected_cost.map_or(0.0, |cost| to_seconds(cost) - self.statistics.expected_costs.mean(now))
    }

    /// How much longer than others this request may take before it is late: by its own response target and its expected cost.
    /// Guards against requests that may take longer and would count as failures of their endpoints.
    fn grace(&self, now: Nanos, request: &RequestContext) -> Nanos {
        let set = self.config.rule_set(&request.rule_set);
        let target_ratio =
            set.map_or(1.0, |set| set.response_target as f64 / self.config.min_response_target as f64);
        let excess_cost_s = self.excess_cost_s(now, request).max(0.0);
        let grace_s = OVERDUE_FACTOR * (self.latency_limit_s(now) * (target_ratio - 1.0) + excess_cost_s);
        (grace_s * S as f64) as Nanos
    }

    fn is_overloaded(&self, now: Nanos) -> bool {
        self.statistics.denials.count(now) > OVERLOAD_DENIAL_SHARE * self.statistics.arrivals.count(now)
    }

    /// The least concurrency limit: one request, and up to [`MAX_LIGHT_LOAD_CONCURRENCY`] at the first tier while latencies
    /// are below the latency limit of overload. Guards against denials at a quiet instance that has one request in flight on
    /// average and three by chance.
    fn min_concurrency_limit(&self, now: Nanos) -> f64 {
        let headroom = 1.0 - self.statistics.latency_short.mean(now) / self.latency_limit_s_when(now, true);
        let is_lightly_loaded = self.config.tier == 0 && !self.is_overloaded(now);
        if is_lightly_loaded {
            (MAX_LIGHT_LOAD_CONCURRENCY * LIGHT_LOAD_CONCURRENCY_GAIN * headroom)
                .clamp(1.0, MAX_LIGHT_LOAD_CONCURRENCY)
        } else {
            1.0
        }
    }

    /// The factor by which concurrency limits are widened while latencies are about as without load: 2 while the instance
    /// completes far less than at best, after a fault at a lower tier has passed; up to the best while no more arrives than
    /// that. Guards against a limit that shrinks because clients left, and then denies what the endpoints could process.
    fn recovery_factor(&self, now: Nanos) -> f64 {
        let buckets = self.statistics.latency.live_buckets(now);
        let best = buckets.map(|bucket| bucket.count).fold(0.0, f64::max);
        let site_lost = self.site_ejected_at.is_some_and(|at| now < at + SITE_LOSS_RECOVERY);
        let (min_completions, max_share) = if site_lost {
            (SITE_LOSS_MIN_COMPLETIONS, SITE_LOSS_MAX_COMPLETION_SHARE)
        } else {
            (RECOVERY_MIN_COMPLETIONS, RECOVERY_MAX_COMPLETION_SHARE)
        };
        let completions = self.statistics.latency_short.count(now);
        let arrivals = self.statistics.arrivals.count(now);
        let is_unloaded = self.statistics.latency_short.mean(now)
            <= self.statistics.latency.min_bucket_mean(now) * UNLOADED_LATENCY_FACTOR;
        let is_steady = completions >= STEADY_MIN_COMPLETIONS
            && arrivals <= STEADY_MAX_ARRIVAL_FACTOR * best
            && !self.is_overloaded(now);
        match self.config.tier == 0 && is_unloaded {
            true if (min_completions..max_share * best).contains(&completions) => 2.0,
            true if is_steady => (best / completions).clamp(1.0, 2.0),
            _ => 1.0,
        }
    }

    /// The floor of an endpoint's concurrency limit, however little it has completed for this instance: the share of this
    /// instance in a few requests.
    fn endpoint_limit_floor(&self, now: Nanos) -> f64 {
        // A new or idle instance has seen no completions, which says nothing about the endpoints.
        let unloaded = (ENDPOINT_FLOOR_FACTOR * self.unloaded_concurrency(now))
            .clamp(MIN_ENDPOINT_FLOOR, MAX_ENDPOINT_FLOOR);
        let floor = if now < self.active_since + 2 * S {
            NEW_INSTANCE_ENDPOINT_FLOOR
        } else {
            unloaded + (MAX_ENDPOINT_FLOOR - unloaded) * self.burst_factor(now)
        };
        floor / self.instances_per_endpoint()
    }

    /// How many requests an endpoint of the first tier has in flight from all instances without load, by Little's law. Guards
    /// against a floor made for larger endpoints, which keeps those with one core congested and therefore slow.
    fn unloaded_concurrency(&self, now: Nanos) -> f64 {
        if self.config.tier > 0 {
            return MAX_ENDPOINT_FLOOR;
        }
        let statistics = &self.statistics;
        let unloaded_latency = statistics
            .latency
            .min_bucket_mean(now)
            .min(statistics.latency_long.min_bucket_mean(now))
            .min(statistics.latency.mean(now));
        let subset_size = (self.subset_share * self.endpoints.up as f64).max(1.0);
        statistics.latency.rate_per_s(now, self.started_at) * unloaded_latency * self.instances_per_endpoint()
            / subset_size
    }

    fn rank(&self, now: Nanos, set: &RuleSet) -> f64 {
        if self.config.utility_by_work {
            return set.utility;
        }
        // A rule set with few completions uses the latency of all requests, so that all ranks have the same unit.
        let latency = if set.latency.count(now) < MIN_COMPLETIONS_FOR_LATENCY {
            &self.statistics.latency
        } else {
            &set.latency
        };
        set.utility / latency.mean(now).max(1e-3)
    }

    /// Counts an arrival for its customer and returns whether that customer is over its share.
    fn count_customer_arrival(&mut self, now: Nanos, name: &str) -> bool {
        if self.config.tier > 0 {
            return false;
        }
        let (started_at, instances) = (self.started_at, self.config.instances);
        let Some(customer) = self.config.customers.get_mut(name) else { return false };
        customer.arrivals.add(now, 1.0);
        customer.arrivals.rate_per_s(now, started_at) * instances
            > customer.share_per_s * CUSTOMER_SHARE_TOLERANCE
    }

    fn is_last_tier(&self) -> bool {
        self.config.tier + 1 >= self.config.tiers
    }

    /// Whether this instance may retry the request: the failure was caused by its callee, and the rule set and the retry
    /// budget allow it.
    fn may_retry(&self, now: Nanos, request: &RequestContext) -> bool {
        let is_ours = match request.dispatches.last().and_then(|dispatch| dispatch.outcome) {
            Some(
                DispatchOutcome::NoConnection
                | DispatchOutcome::Reset
                | DispatchOutcome::Full
                | DispatchOutcome::Rejected,
            ) => true,
            Some(DispatchOutcome::Error | DispatchOutcome::TimedOut) => self.is_last_tier(),
            _ => false,
        };
        let (ratio, floor) = (self.config.retry_ratio, self.config.retry_floor);
        is_ours
            && (request.count_attempts() < self.config.max_dispatches
                && request.count_rejections(None) < self.config.max_rejections)
            && now < request.deadline
            && (request.was_rejected() || self.statistics.allows_retry(now, ratio, floor))
            && self.may_run_again(now, request)
    }

    /// Whether another run of the request can't have a second effect.
    fn may_run_again(&self, now: Nanos, request: &RequestContext) -> bool {
        let Some(run) = request.first_possible_run() else { return true };
        match self.config.rule_set(&request.rule_set) {
            Some(set) if set.effect == Effect::Deduplicated => now + MS < run.sent_at + set.dedup_window,
            Some(set) => set.effect == Effect::Replayable,
            None => false,
        }
    }

    /// The final answer for a request that is given up: a denial if the client may safely retry it.
    fn deny_or_abort(&mut self, now: Nanos, request: &RequestContext, wait: Nanos) -> RoutingDecision {
        let set = self.config.rule_set(&request.rule_set);
        let any_endpoint =
            set.is_some_and(|set| set.effect != Effect::Deduplicated || set.dedup_group == DedupGroup::All);
        if request.first_possible_run().is_some() && !(any_endpoint && self.may_run_again(now, request)) {
            return RoutingDecision::Abort;
        }
        // Requests that failed together need not wait for capacity, only be spread over about the time of a response.
        let jitter = if wait > 0 {
            MAX_RETRY_AFTER_JITTER
        } else {
            ((self.statistics.latency.mean(now) * S as f64) as Nanos).min(MAX_RETRY_AFTER_JITTER)
        };
        let retry_after =
            if self.config.sends_retry_after { wait + self.rng.next_duration(jitter.max(MS)) } else { 0 };
        RoutingDecision::Deny { retry_after: retry_after.min(self.config.max_retry_after) }
    }

    /// When to stop waiting for a response: at the first tier at the response target, if a later response has no utility.
    fn give_up_at(&self, request: &RequestContext) -> Nanos {
        match self.config.rule_set(&request.rule_set) {
            Some(set) if self.config.tier == 0 && set.late_utility <= 0.0 => {
                request.deadline.min(request.received_at + set.response_target)
            }
            _ => request.deadline,
        }
    }

    /// Handles an event, and returns what the adapter does for its request.
    pub fn handle_event(&mut self, now: Nanos, event: Event) -> NextStep {
        self.endpoints.advance(now);
        match event {
            Event::DispatchEnded { request, dispatch_index, outcome, duration, is_final, load_report } => {
                let Some(dispatch) = request.dispatches.get_mut(dispatch_index) else {
                    return NextStep::Nothing;
                };
                dispatch.outcome = Some(outcome);
                self.statistics.count_outcome(now, outcome);
                let name = dispatch.endpoint.clone();
                self.in_flight = self.in_flight.saturating_sub(1);
                let endpoint_id = self.endpoints.find(&name);
                if let Some(endpoint_id) = endpoint_id {
                    self.record_end(now, endpoint_id, (request.id, dispatch_index), outcome);
                    self.record_load_report(now, endpoint_id, load_report);
                }
                if outcome == DispatchOutcome::Done {
                    // Adjusted to a request of mean cost, so that differences are due to the endpoints.
                    let adjusted_s = (to_seconds(duration) - self.excess_cost_s(now, request)).max(0.0);
                    self.statistics.latency_short.add(now, adjusted_s);
                    self.statistics.latency.add(now, adjusted_s);
                    self.statistics.latency_long.add(now, adjusted_s);
                    let mut rule_sets = self.config.rule_sets.iter_mut();
                    if let Some(set) = rule_sets.find(|set| set.name == request.rule_set) {
                        set.latency.add(now, to_seconds(duration));
                    }
                }
                let duration = duration.saturating_sub(self.grace(now, request));
                let health_index = self.config.health_index(&request.rule_set);
                self.judge_outcome(now, endpoint_id, health_index, outcome, duration);
                if is_final { NextStep::Nothing } else { NextStep::Route }
            }
            Event::RequestSent { request, dispatch_index } => {
                let dispatch = request.dispatches.get(dispatch_index);
                let in_flight = dispatch.filter(|dispatch| dispatch.outcome.is_none());
                if let Some(id) = in_flight.and_then(|dispatch| self.endpoints.find(&dispatch.endpoint)) {
                    let grace = self.grace(now, request);
                    self.endpoints.record_send(now, id, request.id, dispatch_index, grace);
                }
                NextStep::Nothing
            }
            Event::ProbeEnded { endpoint, load_report, .. } => {
                let endpoint_id = self.endpoints.find(endpoint);
                endpoint_id.into_iter().for_each(|id| self.record_load_report(now, id, load_report));
                NextStep::Nothing
            }
            Event::PeerDispatchEnded { endpoint, rule_set, outcome } => {
                let endpoint_id = self.endpoints.find(endpoint).filter(|_| !self.is_overloaded(now));
                let first_loss = endpoint_id.filter(|id| {
                    outcome == DispatchOutcome::Reset
                        && self.endpoints.get(*id).health[0].count_failures() == 0
                });
                first_loss.into_iter().for_each(|id| self.endpoints.record_loss(id));
                let own_failures = self.statistics.failures.clone();
                self.judge_outcome(now, endpoint_id, self.config.health_index(rule_set), outcome, 0);
                self.statistics.failures = own_failures;
                NextStep::Nothing
            }
            Event::EndpointsListed { is_complete, is_stale, endpoints } => {
                self.apply_list(now, is_complete, is_stale, endpoints);
                NextStep::Nothing
            }
            Event::EndpointListFailed => {
                // All instances share one list service: ask again after a growing, partly random delay.
                let delay = self.list_retry_delay / 2 + self.rng.next_duration(self.list_retry_delay);
                self.list_request_at = Some(now + delay);
                self.list_retry_delay = (self.list_retry_delay * 2).min(MAX_LIST_RETRY_DELAY);
                NextStep::Nothing
            }
            Event::ClientDisconnected { request } => {
                self.wait_queue.remove(request.id);
                let in_flight = request.dispatches.iter().position(|dispatch| dispatch.outcome.is_none());
                let cancelled = in_flight.filter(|_| self.config.may_cancel);
                cancelled.map_or(NextStep::Nothing, NextStep::CancelDispatch)
            }
        }
    }

    /// Records the end of a dispatch at its endpoint and site.
    fn record_end(
        &mut self,
        now: Nanos,
        endpoint_id: u32,
        (request_id, dispatch_index): (u64, usize),
        outcome: DispatchOutcome,
    ) {
        let completed = outcome == DispatchOutcome::Done;
        let idle = self.endpoints.record_end(now, endpoint_id, request_id, dispatch_index, completed);
        self.record_idle_loss(now, idle, outcome);
        let endpoint = self.endpoints.get_mut(endpoint_id);
        match outcome {
            DispatchOutcome::Done | DispatchOutcome::Error => {
                (endpoint.last_response_at, endpoint.consecutive_refusals) = (now, 0);
            }
            DispatchOutcome::Full => {
                (endpoint.last_response_at, endpoint.consecutive_refusals) =
                    (now, endpoint.consecutive_refusals + 1);
            }
            DispatchOutcome::NoConnection | DispatchOutcome::Reset | DispatchOutcome::TimedOut => {
                self.endpoints.record_loss(endpoint_id);
            }
            DispatchOutcome::Cancelled | DispatchOutcome::NotSent | DispatchOutcome::Rejected => {}
        }
        if matches!(outcome, DispatchOutcome::Done | DispatchOutcome::Error | DispatchOutcome::Full) {
            let site = self.endpoints.site_mut(endpoint_id);
            site.last_response_at = now;
            site.reset_losses();
        }
        if self.endpoints.get(endpoint_id).unresponsive {
            self.update_unresponsive(now, self.latency_limit_s(now), endpoint_id);
        }
    }

    fn apply_list(&mut self, now: Nanos, is_complete: bool, is_stale: bool, entries: &[ListedEndpoint]) {
        if !is_stale {
            self.list_retry_delay = S;
        }
        if is_complete {
            let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
            let is_gone = |id: &u32| !listed.contains(&*self.endpoints.get(*id).name);
            for endpoint_id in self.endpoints.ids().filter(is_gone).collect::<Vec<_>>() {
                self.endpoints.mark_gone(now, endpoint_id);
            }
        }
        self.update_warm_traffic(now);
        for entry in entries {
            let (endpoint_id, has_new_process) = match self.endpoints.find(&entry.name) {
                Some(endpoint_id) => (endpoint_id, self.endpoints.update(now, endpoint_id, entry)),
                // A random start phase, so that instances do not go through the list in step.
                None => {
                    let start_phase = 1.0 - self.rng.next_fraction();
                    (self.endpoints.add(now, entry, start_phase), true)
                }
            };
            if has_new_process {
                let budget = self.rng.next_fraction();
                self.set_slow_start_budget(now, endpoint_id, budget);
            }
        }
        self.endpoints.remove_drained(now);
        self.update_subset(now, true);
    }

    /// What the adapter does next, or when to ask again.
    pub fn next_action(&mut self, now: Nanos) -> NextAction {
        if let Some(line) = self.log_lines.pop_front() {
            return NextAction::Log(line);
        }
        self.endpoints.advance(now);
        self.check_late_dispatches(now);
        self.close_idle_connections(now);
        if let Some(name) = self.idle_closes.pop_front() {
            return NextAction::CloseIdleConnections(name);
        }
        if let Some((request_id, dispatch_index)) = self.cancellations.pop_front() {
            return NextAction::CancelDispatch(request_id, dispatch_index);
        }
        if self.list_request_at.is_some_and(|at| at <= now) {
            self.list_request_at = None;
            return NextAction::WatchEndpoints;
        }
        let is_queueing = !self.wait_queue.is_empty();
        if is_queueing != self.is_queueing {
            self.is_queueing = is_queueing;
            let completions_per_s = self.statistics.latency_short.rate_per_s(now, self.started_at);
            let state = if is_queueing { "requests queue" } else { "queue is empty" };
            return NextAction::Log(format!(
                "{state}: {} in flight, {completions_per_s:.0} completed per second",
                self.in_flight
            ));
        }
        let first = self.wait_queue.front().map(|first| (first.id, first.health_index));
        if let Some((first, health_index)) = first
            && self.can_send(now, health_index)
        {
            self.called_request = Some(first);
            return NextAction::Route(first);
        }
        if let Some(last) = self.wait_queue.back()
            && now + self.expected_wait(now, self.wait_queue.len() - 1) > last.expires_at
        {
            // Requests of more utility came before it: it is denied now, not when its time is up.
            return NextAction::Route(last.id);
        }
        let poll_at = match (is_queueing, self.in_flight) {
            (true, _) => now + QUEUE_POLL_INTERVAL,
            (_, 0) => Nanos::MAX,
            // Dispatches in flight may become overdue without any event.
            _ => now + IN_FLIGHT_POLL_INTERVAL,
        };
        let list_request_at = self.list_request_at.unwrap_or(Nanos::MAX);
        NextAction::SleepUntil(list_request_at.min(self.idle_check_at).min(poll_at))
    }
}
