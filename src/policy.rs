//! Every decision of ochreshed. An instance, [`Balancer`], is created from its start time, a seed and its parameters. The
//! adapter then asks [`Balancer::route`] where a request goes, reports what happens to [`Balancer::handle_event`], and asks
//! [`Balancer::next_action`] what to do next or when to ask again. The adapter owns the timers and the requests.
//! `docs/design.md` describes the design and its deviations, `docs/scale.md` the cost of a decision and how old its sums may
//! be. `endpoint_selection` selects endpoints, `outlier_ejection` judges them, `endpoint_limits` interprets the state of one.
//!
//! A failed dispatch is retried only by the balancer in front of the callee that caused the failure, on another endpoint, and
//! as long as retries are at most a tenth of the requests sent for the first time. Endpoints are selected by smooth weighted
//! round robin that skips congested ones; new and returning endpoints ramp up. The round robin is among no more endpoints than
//! the instance can observe: a subset of the list, which begins at a place given by the index of the instance. Six mechanisms
//! are added to this:
//! 1. Concurrency limit: no more requests in flight at an endpoint than it completes within a part of the response target.
//! 2. Queue: requests over the limit wait for a short time, by utility; one that would wait too long is denied at once.
//! 3. Health: an endpoint is judged by its last outcomes; one that fails is ejected for a partly random time.
//! 4. Silent sites: a site that answers nothing while others do is ejected as a whole and its dispatches are cancelled; idle
//!    connections are closed before the age at which they are lost.
//! 5. Slow-start budget: this instance sends an endpoint in slow start no more than its even part of what the endpoint can
//!    take at the least.
//! 6. Customer rates: requests of a customer over its contracted rate go last, and are denied while any request waits.

mod endpoint_limits;
mod endpoint_selection;
mod outlier_ejection;
#[cfg(test)]
mod reference_tests;
mod runtime_controls;

use std::collections::{HashSet, VecDeque};

use crate::config::{Config, DedupGroup, Effect, RuleSet};
use crate::endpoint_set::{EndpointSet, EstablishedTraffic};
use crate::in_flight::DispatchId;
use crate::statistics::{IdleLosses, OVERALL_HEALTH, RequestStatistics, Rng};
use crate::types::*;
use crate::wait_queue::{WaitQueue, WaitingRequest};

pub(crate) use endpoint_limits::MEAN_LOAD_WINDOW;

/// The latency limit, within which the requests in flight at an endpoint should complete, is this many times the unloaded
/// latency.
const LATENCY_LIMIT_FACTOR: f64 = 1.9;
/// The latency limit is at least this share of the response target.
const MIN_LATENCY_LIMIT_SHARE: f64 = 0.6;
/// The instance is in overload while more than this share of the arrivals is denied.
const OVERLOAD_DENIAL_SHARE: f64 = 0.3;
/// In overload, [`LATENCY_LIMIT_FACTOR`] and [`MIN_LATENCY_LIMIT_SHARE`] are multiplied by this.
const OVERLOAD_LATENCY_LIMIT_FACTOR: f64 = 0.7;
/// The latency limit is at most this share of the response target.
const MAX_LATENCY_LIMIT_SHARE: f64 = 0.8;
/// While latencies are low and there is no overload, an instance may have up to this many requests in flight whatever its
/// concurrency limit is.
const MAX_LIGHT_LOAD_CONCURRENCY: f64 = 3.0;
/// That number grows with this gain on the latency headroom: it is reached at a headroom of a quarter of the latency limit.
const LIGHT_LOAD_HEADROOM_GAIN: f64 = 4.0;
/// Latencies up to this many times the unloaded latency count as unloaded.
const UNLOADED_LATENCY_FACTOR: f64 = 1.3;
/// An instance in recovery has completed at least this many requests in the last 2 s. Otherwise hundreds of quiet instances
/// would each double a limit of one or two requests, and together exceed what the endpoints can take.
const RECOVERY_MIN_COMPLETIONS: f64 = 3.0;
/// An instance in recovery has completed less than this share of the most completions in any 2 s of the last 20 s.
const RECOVERY_MAX_COMPLETION_SHARE: f64 = 0.25;
/// Replaces [`RECOVERY_MIN_COMPLETIONS`] for [`SITE_LOSS_RECOVERY`].
const SITE_LOSS_MIN_COMPLETIONS: f64 = 5.0;
/// Replaces [`RECOVERY_MAX_COMPLETION_SHARE`] for [`SITE_LOSS_RECOVERY`].
const SITE_LOSS_MAX_COMPLETION_SHARE: f64 = 0.75;
/// How long after the ejection of a site its own bounds of recovery apply.
const SITE_LOSS_RECOVERY: Nanos = 10 * SECOND;
/// The greatest factor on concurrency limits in recovery and in steady traffic.
const MAX_RECOVERY_FACTOR: f64 = 2.0;
/// Traffic is steady only with at least this many completions in 2 s, so that quiet instances do not widen their limits by
/// chance.
const STEADY_MIN_COMPLETIONS: f64 = 5.0;
/// Traffic is steady only with arrivals up to this many times the most completions in any 2 s of the last 20 s.
const STEADY_MAX_ARRIVAL_FACTOR: f64 = 1.2;
/// After this long without arrivals, low counts of completions say nothing about the endpoints.
const ARRIVAL_PAUSE: Nanos = 3 * SECOND;
/// A dispatch is overdue after this many times the latency limit.
const OVERDUE_FACTOR: f64 = 1.5;
/// The floor under an endpoint's concurrency limit, summed over all instances, is this many times what the endpoint has in
/// flight without load.
const ENDPOINT_LIMIT_FLOOR_FACTOR: f64 = 1.6;
/// That floor, summed over all instances, is at least this and at most [`HIGHEST_ENDPOINT_LIMIT_FLOOR`].
const LOWEST_ENDPOINT_LIMIT_FLOOR: f64 = 1.0;
/// The upper bound of that floor, which applies in full while there is room for bursts.
const HIGHEST_ENDPOINT_LIMIT_FLOOR: f64 = 4.0;
/// That floor for [`NEW_INSTANCE_PERIOD`] after a start or a pause, when the instance does not know what an endpoint has in
/// flight without load.
const NEW_INSTANCE_ENDPOINT_LIMIT_FLOOR: f64 = 12.0;
/// How long after a start or a pause in arrivals [`NEW_INSTANCE_ENDPOINT_LIMIT_FLOOR`] applies.
const NEW_INSTANCE_PERIOD: Nanos = 2 * SECOND;
/// A customer is over its rate when its arrivals exceed its contracted rate by this factor.
const CUSTOMER_RATE_TOLERANCE: f64 = 1.2;
/// A rule set is ranked by its own mean latency only with at least this many completions.
const MIN_COMPLETIONS_FOR_LATENCY: f64 = 3.0;
/// The longest random part of a retry-after time.
const MAX_RETRY_AFTER_JITTER: Nanos = SECOND / 2;
/// The greatest mean delay before the endpoint list is requested again after failures.
const MAX_LIST_RETRY_DELAY: Nanos = 4 * SECOND;
/// How often the adapter asks for the next action while requests wait.
const QUEUE_POLL_INTERVAL: Nanos = 20 * MILLISECOND;
/// How often the adapter asks for the next action while dispatches are in flight and no request waits.
const IN_FLIGHT_POLL_INTERVAL: Nanos = SECOND / 4;
/// The share of its response target that a request may wait in the queue.
const MAX_WAIT_SHARE: f64 = 0.2;
/// How long a request may wait in the queue if its rule set is unknown.
const DEFAULT_MAX_WAIT: Nanos = SECOND;
/// Mean latencies below this count as this where they divide.
const MIN_MEAN_LATENCY_S: f64 = 1e-3;

pub struct Balancer {
    config: Config,
    started_at: Nanos,
    last_arrival_at: Nanos,
    /// When the instance started or its last pause in arrivals, longer than [`ARRIVAL_PAUSE`], ended.
    active_since: Nanos,
    /// The share of all weight that is in the subset of the list.
    subset_share: f64,
    /// The second, counted from time 0, in which the subset was last updated.
    subset_updated_in_second: u64,
    rng: Rng,
    endpoints: EndpointSet,
    /// How many retries the endpoints outside of the subset are owed, by their share of the weight.
    outside_retry_credit: f64,
    last_overdue_check_at: Nanos,
    /// How many candidates the last check of overdue dispatches had.
    last_candidate_count: usize,
    /// What slow-start budgets grow by.
    established_traffic: EstablishedTraffic,
    established_traffic_updated_at: Nanos,
    /// All dispatches in flight from this instance.
    in_flight_count: u32,
    statistics: RequestStatistics,
    wait_queue: WaitQueue,
    /// The waiting request for which [`NextAction::Route`] was just returned.
    next_in_queue: Option<u64>,
    is_queueing: bool,
    /// When to subscribe to the endpoint list.
    subscribe_to_list_at: Option<Nanos>,
    list_retry_delay: Nanos,
    /// When a whole site was last ejected.
    site_ejected_at: Option<Nanos>,
    cancellations: VecDeque<DispatchId>,
    idle_losses: IdleLosses,
    idle_connection_check_at: Nanos,
    connection_closes: VecDeque<Name>,
    log_lines: VecDeque<String>,
}

impl Balancer {
    pub fn new(now: Nanos, seed: u64, parameters: Parameters) -> Balancer {
        let mut rng = Rng::new(seed);
        let config = Config::new(&parameters);
        // All instances may have started at once, and they share one list service.
        let subscribe_to_list_at = config.subscribes_to_list.then(|| now + rng.next_duration(SECOND));
        Balancer {
            started_at: now,
            last_arrival_at: now,
            active_since: now,
            subset_share: 1.0,
            subset_updated_in_second: 0,
            endpoints: EndpointSet::new(
                now,
                config.rule_sets.len(),
                config.slow_start,
                config.slow_start_share,
            ),
            config,
            rng,
            outside_retry_credit: 0.0,
            last_overdue_check_at: 0,
            last_candidate_count: 0,
            established_traffic: EstablishedTraffic::default(),
            established_traffic_updated_at: now,
            in_flight_count: 0,
            statistics: RequestStatistics::default(),
            wait_queue: WaitQueue::default(),
            next_in_queue: None,
            is_queueing: false,
            subscribe_to_list_at,
            list_retry_delay: SECOND,
            site_ejected_at: None,
            cancellations: VecDeque::new(),
            idle_losses: IdleLosses::default(),
            idle_connection_check_at: Nanos::MAX,
            connection_closes: VecDeque::new(),
            log_lines: VecDeque::new(),
        }
    }

    /// Decides what to do with a request now.
    pub fn route(&mut self, now: Nanos, request: &mut RequestContext) -> RoutingDecision {
        let is_its_turn = self.next_in_queue.take() == Some(request.id);
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
                    self.dispatch_request(now, request, endpoint_id)
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
        let is_over_rate = waiting.is_none() && self.count_customer_arrival(now, &request.customer);
        if (is_its_turn || self.wait_queue.is_empty())
            && let Some(endpoint_id) = self.select_endpoint(now, request)
        {
            self.statistics.first_sends.add(now, 1.0);
            let second = now / SECOND;
            if self.subset_updated_in_second != second {
                self.subset_updated_in_second = second;
                self.update_subset(now, false);
            }
            return self.dispatch_request(now, request, endpoint_id);
        }
        self.queue_or_deny(now, request, waiting, is_over_rate)
    }

    fn count_arrival(&mut self, now: Nanos, request: &RequestContext) {
        self.statistics.arrivals.add(now, 1.0);
        if self.config.proxies_enforce_limits && request.is_client_retry {
            // A call made while a retry is processed counts as a retry.
            self.statistics.count_retry(now, false);
        }
        let utility = self.config.rule_set(&request.rule_set).map_or(1.0, |set| set.utility);
        self.statistics.utilities.add(now, utility);
        request
            .expected_cost
            .iter()
            .for_each(|cost| self.statistics.expected_costs.add(now, to_seconds(*cost)));
        // Without this, concurrency limits would shrink while denied clients stay away, and their requests would be denied
        // again when they return.
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
        is_over_rate: bool,
    ) -> RoutingDecision {
        let set = self.config.rule_set(&request.rule_set);
        let mut rank = set.map_or(1.0, |set| self.compute_rank(now, set));
        let max_wait =
            set.map_or(DEFAULT_MAX_WAIT, |set| (set.response_target as f64 * MAX_WAIT_SHARE) as Nanos);
        if is_over_rate {
            rank *= self.config.excess_utility;
        }
        let health_index = self.config.health_index(&request.rule_set);
        let expires_at = (request.received_at + max_wait).min(request.deadline);
        let waiting = waiting.unwrap_or(WaitingRequest { id: request.id, health_index, rank, expires_at });
        let position = self.wait_queue.position_for(waiting.rank);
        let wait = self.expected_wait(now, position);
        if now + wait > waiting.expires_at || (is_over_rate && !self.wait_queue.is_empty()) {
            self.statistics.denials.add(now, 1.0);
            return self.deny_or_abort(now, request, wait);
        }
        let until = waiting.expires_at;
        self.wait_queue.insert(waiting);
        RoutingDecision::Wait { until }
    }

    /// The expected wait at this position of the queue. The requests in flight count too, because a quiet instance has few recent
    /// completions: by these alone, the second of two requests that arrive together without load would be denied.
    fn expected_wait(&self, now: Nanos, position: usize) -> Nanos {
        let in_flight_per_s =
            f64::from(self.in_flight_count) / self.statistics.latency_20s.mean(now).max(MIN_MEAN_LATENCY_S);
        let completions_per_s = self.statistics.latency_2s.rate_per_s(now, self.started_at);
        let per_s = completions_per_s.max(in_flight_per_s).max(1.0);
        ((position + 1) as f64 / per_s * SECOND as f64) as Nanos
    }

    /// The latency limit in seconds, within which the requests in flight at an endpoint should complete.
    fn latency_limit_s(&self, now: Nanos) -> f64 {
        self.latency_limit_s_when(now, self.is_overloaded(now))
    }

    fn latency_limit_s_when(&self, now: Nanos, is_overloaded: bool) -> f64 {
        let target = to_seconds(self.config.min_response_target);
        let remaining_tiers = self.config.tiers.saturating_sub(self.config.tier).max(1);
        let max = target * MAX_LATENCY_LIMIT_SHARE * remaining_tiers as f64 / self.config.tiers as f64;
        if !self.config.is_first_tier() {
            max
        } else {
            let factor = if is_overloaded { OVERLOAD_LATENCY_LIMIT_FACTOR } else { 1.0 };
            // A quiet instance knows its unloaded latency only from the long window, and relies on it in overload.
            let long =
                if is_overloaded { self.statistics.latency_80s.min_bucket_mean(now) } else { f64::INFINITY };
            (self.statistics.latency_20s.min_bucket_mean(now).min(long) * LATENCY_LIMIT_FACTOR * factor)
                .clamp(target * MIN_LATENCY_LIMIT_SHARE * factor, max)
        }
    }

    /// The expected cost of a request in seconds, less the mean; 0 if no cost is expected.
    fn excess_cost_s(&self, now: Nanos, request: &RequestContext) -> f64 {
        request.expected_cost.map_or(0.0, |cost| to_seconds(cost) - self.statistics.expected_costs.mean(now))
    }

    /// How much longer than others this request may take before it is overdue, by its own response target and its expected cost.
    /// Otherwise requests that may take longer would count as failures of their endpoints.
    fn extra_time(&self, now: Nanos, request: &RequestContext) -> Nanos {
        let set = self.config.rule_set(&request.rule_set);
        let target_ratio =
            set.map_or(1.0, |set| set.response_target as f64 / self.config.min_response_target as f64);
        let excess_cost_s = self.excess_cost_s(now, request).max(0.0);
        let extra_time_s =
            OVERDUE_FACTOR * (self.latency_limit_s(now) * (target_ratio - 1.0) + excess_cost_s);
        (extra_time_s * SECOND as f64) as Nanos
    }

    fn is_overloaded(&self, now: Nanos) -> bool {
        self.statistics.denials.count(now) > OVERLOAD_DENIAL_SHARE * self.statistics.arrivals.count(now)
    }

    /// The least concurrency limit: one request, and up to [`MAX_LIGHT_LOAD_CONCURRENCY`] at the first tier while latencies
    /// are below the latency limit of overload. A quiet instance that has one request in flight on average sometimes has three
    /// by chance, and would otherwise deny requests.
    fn min_concurrency_limit(&self, now: Nanos) -> f64 {
        let headroom = 1.0 - self.statistics.latency_2s.mean(now) / self.latency_limit_s_when(now, true);
        let is_lightly_loaded = self.config.is_first_tier() && !self.is_overloaded(now);
        if is_lightly_loaded {
            (MAX_LIGHT_LOAD_CONCURRENCY * LIGHT_LOAD_HEADROOM_GAIN * headroom)
                .clamp(1.0, MAX_LIGHT_LOAD_CONCURRENCY)
        } else {
            1.0
        }
    }

    /// The factor by which concurrency limits are widened while latencies are about as without load. It is
    /// [`MAX_RECOVERY_FACTOR`] in recovery, when a fault at a lower tier has passed and the instance completes far less than
    /// before. In steady traffic it is the ratio of the most completions in any 2 s to those in the last 2 s, up to that factor. Otherwise the
    /// limit would shrink because clients left, and then deny what the endpoints could process.
    fn recovery_factor(&self, now: Nanos) -> f64 {
        let buckets = self.statistics.latency_20s.live_buckets(now);
        let max_bucket_completions = buckets.map(|bucket| bucket.count).fold(0.0, f64::max);
        let site_lost = self.site_ejected_at.is_some_and(|at| now < at + SITE_LOSS_RECOVERY);
        let (min_completions, max_share) = if site_lost {
            (SITE_LOSS_MIN_COMPLETIONS, SITE_LOSS_MAX_COMPLETION_SHARE)
        } else {
            (RECOVERY_MIN_COMPLETIONS, RECOVERY_MAX_COMPLETION_SHARE)
        };
        let completions = self.statistics.latency_2s.count(now);
        let arrivals = self.statistics.arrivals.count(now);
        let is_unloaded = self.statistics.latency_2s.mean(now)
            <= self.statistics.latency_20s.min_bucket_mean(now) * UNLOADED_LATENCY_FACTOR;
        let is_steady = completions >= STEADY_MIN_COMPLETIONS
            && arrivals <= STEADY_MAX_ARRIVAL_FACTOR * max_bucket_completions
            && !self.is_overloaded(now);
        match self.config.is_first_tier() && is_unloaded {
            true if (min_completions..max_share * max_bucket_completions).contains(&completions) => {
                MAX_RECOVERY_FACTOR
            }
            true if is_steady => (max_bucket_completions / completions).clamp(1.0, MAX_RECOVERY_FACTOR),
            _ => 1.0,
        }
    }

    /// The floor of an endpoint's concurrency limit at this instance, however little it has completed for it: this instance's
    /// even part of a few requests.
    fn endpoint_limit_floor(&self, now: Nanos) -> f64 {
        // A new or idle instance has seen no completions, which says nothing about the endpoints.
        let unloaded = (ENDPOINT_LIMIT_FLOOR_FACTOR * self.unloaded_concurrency(now))
            .clamp(LOWEST_ENDPOINT_LIMIT_FLOOR, HIGHEST_ENDPOINT_LIMIT_FLOOR);
        let floor = if now < self.active_since + NEW_INSTANCE_PERIOD {
            NEW_INSTANCE_ENDPOINT_LIMIT_FLOOR
        } else {
            unloaded + (HIGHEST_ENDPOINT_LIMIT_FLOOR - unloaded) * self.burst_factor(now)
        };
        floor / self.instances_per_endpoint()
    }

    /// How many requests an endpoint of the first tier has in flight from all instances without load, by Little's law. A floor
    /// that is right for larger endpoints would keep those with one core congested and therefore slow.
    fn unloaded_concurrency(&self, now: Nanos) -> f64 {
        if !self.config.is_first_tier() {
            return HIGHEST_ENDPOINT_LIMIT_FLOOR;
        }
        let statistics = &self.statistics;
        let unloaded_latency = statistics
            .latency_20s
            .min_bucket_mean(now)
            .min(statistics.latency_80s.min_bucket_mean(now))
            .min(statistics.latency_20s.mean(now));
        let subset_size = (self.subset_share * self.endpoints.up_count as f64).max(1.0);
        statistics.latency_20s.rate_per_s(now, self.started_at)
            * unloaded_latency
            * self.instances_per_endpoint()
            / subset_size
    }

    /// The rank of requests of a rule set in the queue: their utility, or their utility per second of latency.
    fn compute_rank(&self, now: Nanos, set: &RuleSet) -> f64 {
        if self.config.utility_by_work {
            return set.utility;
        }
        // A rule set with few completions uses the latency of all requests, so that all ranks have the same unit.
        let latency = if set.latency.count(now) < MIN_COMPLETIONS_FOR_LATENCY {
            &self.statistics.latency_20s
        } else {
            &set.latency
        };
        set.utility / latency.mean(now).max(MIN_MEAN_LATENCY_S)
    }

    /// Counts an arrival for its customer and returns whether that customer is over its contracted rate.
    fn count_customer_arrival(&mut self, now: Nanos, name: &str) -> bool {
        if !self.config.is_first_tier() {
            return false;
        }
        let (started_at, instances) = (self.started_at, self.config.instances);
        let Some(customer) = self.config.customers.get_mut(name) else { return false };
        customer.arrivals.add(now, 1.0);
        customer.arrivals.rate_per_s(now, started_at) * instances
            > customer.contracted_rate_per_s * CUSTOMER_RATE_TOLERANCE
    }

    fn is_last_tier(&self) -> bool {
        self.config.tier + 1 >= self.config.tiers
    }

    /// Whether this instance may retry the request: the failure was caused by its callee, and the rule set and the retry
    /// budget allow it.
    fn may_retry(&self, now: Nanos, request: &RequestContext) -> bool {
        let is_callee_failure = match request.dispatches.last().and_then(|dispatch| dispatch.outcome) {
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
        is_callee_failure
            && (request.count_attempts() < self.config.max_dispatches
                && request.count_rejections(None) < self.config.max_rejections)
            && now < request.deadline
            && (request.was_rejected() || self.statistics.allows_retry(now, ratio, floor))
            && self.may_run_again(now, request)
    }

    /// Whether the request can run once more without a second effect.
    fn may_run_again(&self, now: Nanos, request: &RequestContext) -> bool {
        let Some(run) = request.first_possible_run() else { return true };
        match self.config.rule_set(&request.rule_set) {
            Some(set) if set.effect == Effect::Deduplicated => {
                now + MILLISECOND < run.sent_at + set.dedup_window
            }
            Some(set) => set.effect == Effect::Replayable,
            None => false,
        }
    }

    /// The final answer for a request that is given up: a denial if the client may safely retry it.
    fn deny_or_abort(&mut self, now: Nanos, request: &RequestContext, wait: Nanos) -> RoutingDecision {
        let set = self.config.rule_set(&request.rule_set);
        let is_safe_on_any_endpoint =
            set.is_some_and(|set| set.effect != Effect::Deduplicated || set.dedup_group == DedupGroup::All);
        if request.first_possible_run().is_some()
            && !(is_safe_on_any_endpoint && self.may_run_again(now, request))
        {
            return RoutingDecision::Abort;
        }
        // Requests that failed together need not wait for capacity. They are only spread over about the time of a response.
        let jitter = if wait > 0 {
            MAX_RETRY_AFTER_JITTER
        } else {
            ((self.statistics.latency_20s.mean(now) * SECOND as f64) as Nanos).min(MAX_RETRY_AFTER_JITTER)
        };
        let retry_after = if self.config.sends_retry_after {
            wait + self.rng.next_duration(jitter.max(MILLISECOND))
        } else {
            0
        };
        RoutingDecision::Deny { retry_after: retry_after.min(self.config.max_retry_after) }
    }

    /// When to stop waiting for a response: at the first tier at the response target, if a later response has no utility.
    fn give_up_at(&self, request: &RequestContext) -> Nanos {
        match self.config.rule_set(&request.rule_set) {
            Some(set) if self.config.is_first_tier() && set.late_utility <= 0.0 => {
                request.deadline.min(request.received_at + set.response_target)
            }
            _ => request.deadline,
        }
    }

    /// Handles an event, and returns what the adapter does for its request.
    pub fn handle_event(&mut self, now: Nanos, event: Event) -> NextStep {
        self.endpoints.advance_to(now);
        match event {
            Event::DispatchEnded { request, dispatch_index, outcome, duration, is_final, load_report } => {
                let Some(dispatch) = request.dispatches.get_mut(dispatch_index) else {
                    return NextStep::Nothing;
                };
                dispatch.outcome = Some(outcome);
                self.statistics.count_outcome(now, outcome);
                let name = dispatch.endpoint.clone();
                self.in_flight_count = self.in_flight_count.saturating_sub(1);
                let endpoint_id = self.endpoints.find_id(&name);
                if let Some(endpoint_id) = endpoint_id {
                    let dispatch_id = DispatchId { request_id: request.id, dispatch_index };
                    self.record_end(now, endpoint_id, dispatch_id, outcome);
                    self.record_load_report(now, endpoint_id, load_report);
                }
                if outcome == DispatchOutcome::Done {
                    // Adjusted to a request of mean cost, so that differences are due to the endpoints.
                    let adjusted_s = (to_seconds(duration) - self.excess_cost_s(now, request)).max(0.0);
                    self.statistics.latency_2s.add(now, adjusted_s);
                    self.statistics.latency_20s.add(now, adjusted_s);
                    self.statistics.latency_80s.add(now, adjusted_s);
                    let mut rule_sets = self.config.rule_sets.iter_mut();
                    if let Some(set) = rule_sets.find(|set| set.name == request.rule_set) {
                        set.latency.add(now, to_seconds(duration));
                    }
                }
                let duration = duration.saturating_sub(self.extra_time(now, request));
                let health_index = self.config.health_index(&request.rule_set);
                self.judge_outcome(now, endpoint_id, health_index, outcome, duration);
                if is_final { NextStep::Nothing } else { NextStep::Route }
            }
            Event::RequestSent { request, dispatch_index } => {
                let dispatch = request.dispatches.get(dispatch_index);
                let in_flight = dispatch.filter(|dispatch| dispatch.outcome.is_none());
                if let Some(id) = in_flight.and_then(|dispatch| self.endpoints.find_id(&dispatch.endpoint)) {
                    let extra_time = self.extra_time(now, request);
                    self.endpoints.record_send(now, id, request.id, dispatch_index, extra_time);
                }
                NextStep::Nothing
            }
            Event::ProbeEnded { endpoint, load_report, .. } => {
                let endpoint_id = self.endpoints.find_id(endpoint);
                endpoint_id.into_iter().for_each(|id| self.record_load_report(now, id, load_report));
                NextStep::Nothing
            }
            Event::PeerDispatchEnded { endpoint, rule_set, outcome } => {
                let endpoint_id = self.endpoints.find_id(endpoint).filter(|_| !self.is_overloaded(now));
                let first_loss = endpoint_id.filter(|id| {
                    outcome == DispatchOutcome::Reset
                        && self.endpoints.get(*id).health[OVERALL_HEALTH].count_failures() == 0
                });
                first_loss.into_iter().for_each(|id| self.endpoints.record_loss(id));
                // Outcomes at other instances do not enter the failure ratio, because instances mostly share failures.
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
                self.subscribe_to_list_at = Some(now + delay);
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
        DispatchId { request_id, dispatch_index }: DispatchId,
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
            self.list_retry_delay = SECOND;
        }
        if is_complete {
            let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
            let is_gone = |id: &u32| !listed.contains(&*self.endpoints.get(*id).name);
            for endpoint_id in self.endpoints.ids().filter(is_gone).collect::<Vec<_>>() {
                self.endpoints.mark_gone(now, endpoint_id);
            }
        }
        self.update_established_traffic(now);
        for entry in entries {
            let (endpoint_id, has_new_process) = match self.endpoints.find_id(&entry.name) {
                Some(endpoint_id) => (endpoint_id, self.endpoints.apply_entry(now, endpoint_id, entry)),
                // A random start phase, so that instances do not go through the list in step.
                None => {
                    let start_phase = 1.0 - self.rng.next_fraction();
                    (self.endpoints.add_endpoint(now, entry, start_phase), true)
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
        self.endpoints.advance_to(now);
        self.check_overdue_dispatches(now);
        self.close_idle_connections(now);
        if let Some(name) = self.connection_closes.pop_front() {
            return NextAction::CloseIdleConnections(name);
        }
        if let Some(DispatchId { request_id, dispatch_index }) = self.cancellations.pop_front() {
            return NextAction::CancelDispatch(request_id, dispatch_index);
        }
        if self.subscribe_to_list_at.is_some_and(|at| at <= now) {
            self.subscribe_to_list_at = None;
            return NextAction::WatchEndpoints;
        }
        let is_queueing = !self.wait_queue.is_empty();
        if is_queueing != self.is_queueing {
            self.is_queueing = is_queueing;
            let completions_per_s = self.statistics.latency_2s.rate_per_s(now, self.started_at);
            let state = if is_queueing {
                "requests are waiting in the queue"
            } else {
                "the request queue is empty again"
            };
            return NextAction::Log(format!(
                "{state}: {} in flight, {completions_per_s:.0} completed per second",
                self.in_flight_count
            ));
        }
        let first = self.wait_queue.front().map(|first| (first.id, first.health_index));
        if let Some((first, health_index)) = first
            && self.can_send(now, health_index)
        {
            self.next_in_queue = Some(first);
            return NextAction::Route(first);
        }
        if let Some(last) = self.wait_queue.back()
            && now + self.expected_wait(now, self.wait_queue.len() - 1) > last.expires_at
        {
            // Requests of higher rank were queued before it, so that it would wait too long: it is denied now, not when it
            // expires.
            return NextAction::Route(last.id);
        }
        let poll_at = match (is_queueing, self.in_flight_count) {
            (true, _) => now + QUEUE_POLL_INTERVAL,
            (_, 0) => Nanos::MAX,
            // Dispatches in flight may become overdue without any event.
            _ => now + IN_FLIGHT_POLL_INTERVAL,
        };
        let subscribe_to_list_at = self.subscribe_to_list_at.unwrap_or(Nanos::MAX);
        NextAction::SleepUntil(subscribe_to_list_at.min(self.idle_connection_check_at).min(poll_at))
    }
}
