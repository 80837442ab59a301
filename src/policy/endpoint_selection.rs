//! Endpoint selection: which endpoint a request goes to, by weighted round robin that skips endpoints that can't take it. Here
//! are also the instance's subset of the list and what an endpoint must satisfy to be selected. No request walks the list:
//! among few endpoints each is assessed; among more, each when its turn comes, which it loses if it can't take the request.

use super::*;
use crate::endpoint_set::{Endpoint, MeanLoads, SkippedTurn};

/// Up to this many candidates, each of them is assessed for every request.
const MAX_SCANNED_CANDIDATES: usize = 32;
/// A selection assesses no more endpoints than this, which bounds its cost when nearly all are unavailable.
const MAX_ASSESSED_ENDPOINTS: usize = 256;
/// A quiet instance uses a subset of the list in which it sends to each endpoint once in this time.
const SUBSET_SEND_INTERVAL_S: f64 = 0.25;
/// The subset has at least this many endpoints.
const MIN_SUBSET_ENDPOINTS: f64 = 2.0;
/// Each endpoint is in the subsets of at least this many instances.
const MIN_INSTANCES_PER_ENDPOINT: f64 = 6.0;
/// A subset of more than this share saves too little; the whole list is used instead.
const MAX_PARTIAL_SUBSET_SHARE: f64 = 0.5;
/// The share of its connections that an instance uses for its subset; the others are for retries and bursts.
const SUBSET_CONNECTION_SHARE: f64 = 0.5;
/// The room above a concurrency limit for random bursts, in standard deviations of the requests in flight.
const BURST_DEVIATIONS: f64 = 1.5;
/// That room is at most this share of the limit: hundreds of instances with limits of one or two would otherwise exceed them by
/// half.
const MAX_BURST_SHARE: f64 = 0.3;
/// There is no room for bursts when latencies reach this many times the unloaded latency.
const NO_BURST_LATENCY_FACTOR: f64 = 1.6;
/// The least factor on the concurrency limit that a rule set may have by its utility.
const MIN_UTILITY_FACTOR: f64 = 0.6;
/// The greatest factor on the concurrency limit that a rule set may have by its utility.
const MAX_UTILITY_FACTOR: f64 = 2.0;
/// An endpoint in slow start may always get this many requests per second from all instances with it in their subsets.
const SLOW_START_MIN_REQUESTS_PER_S: f64 = 1.0;

/// What endpoints are assessed against in one selection.
struct SelectionContext {
    now: Nanos,
    latency_limit_s: f64,
    /// `latency_limit_s` times the factors of recovery and of utility. Only concurrency limits follow from it.
    scaled_latency_limit_s: f64,
    /// The floor of an endpoint's concurrency limit.
    limit_floor: f64,
    burst_factor: f64,
    means: MeanLoads,
}

/// How many requests may be in flight above a limit by chance. The limits of the instances that share the endpoints add up, and
/// their bursts even out: the allowance is the deviation of this instance, less its part of the deviation of all together.
/// Without it, instances with limits of a few requests would deny bursts that the endpoints would not notice.
pub(super) fn burst_allowance(limit: f64, sharing_instances: f64) -> f64 {
    (BURST_DEVIATIONS * limit.sqrt()).min(MAX_BURST_SHARE * limit)
        * (1.0 - 1.0 / sharing_instances.max(1.0).sqrt())
}

/// How well an endpoint can take a request; a lower value is better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    Healthy,
    /// Ejected, unresponsive or congested: used if no endpoint is healthy, or if it is the preferred one of the request and not
    /// ejected.
    Degraded,
    /// Healthy, but it has reset this request before.
    ResetBefore,
    Unavailable,
    /// Not for this request.
    Excluded,
}

/// What a scheduler offers for a request.
struct ScheduledEndpoints {
    healthy: Option<u32>,
    /// The first degraded endpoint that comes before the healthy one.
    degraded: Option<u32>,
}

impl Balancer {
    /// Selects an endpoint by smooth weighted round robin over those that can take this request now.
    pub(super) fn select_endpoint(&mut self, now: Nanos, request: &RequestContext) -> Option<u32> {
        let retry = Some(request).filter(|request| !request.dispatches.is_empty());
        let health_index = self.config.health_index(&request.rule_set);
        let context = self.selection_context(now, retry.is_some(), health_index)?;
        let preferred = request.preferred_endpoint.as_ref().and_then(|name| self.endpoints.find_id(name));
        let preferred = preferred.filter(|id| !self.endpoints.get(*id).ejected);
        if preferred.is_some_and(|id| {
            self.assess_endpoint(&context, id, health_index, retry) <= Suitability::Degraded
        }) {
            return preferred;
        }
        if let Some(candidates) = self.update_candidates(now, retry) {
            return self.select_among(&context, health_index, retry, &candidates);
        }
        // Retries go to all endpoints: to the subset and to the others, in proportion to their weights.
        let includes_outside = retry.is_some() && !self.endpoints.outside_subset.is_empty();
        self.outside_retry_credit += if includes_outside { 1.0 - self.subset_share } else { 0.0 };
        let starts_outside = includes_outside && self.outside_retry_credit >= 1.0;
        self.outside_retry_credit -= if starts_outside { 1.0 } else { 0.0 };
        let mut skipped = Vec::new();
        let ScheduledEndpoints { mut healthy, mut degraded } =
            self.next_scheduled(&context, health_index, retry, starts_outside, &mut skipped);
        if healthy.is_none() && includes_outside {
            let elsewhere = self.next_scheduled(&context, health_index, retry, !starts_outside, &mut skipped);
            (healthy, degraded) = (elsewhere.healthy, degraded.or(elsewhere.degraded));
        }
        // If a degraded endpoint is used, the other degraded ones keep their turns.
        skipped.retain(|turn| healthy.is_some() || !turn.degraded);
        let selected = healthy.or(degraded);
        if let Some(id) = selected {
            self.endpoints.take_turn(now, id, &skipped);
        }
        selected
    }

    /// Whether any endpoint can take a first send now.
    pub(super) fn can_send(&mut self, now: Nanos, health_index: usize) -> bool {
        let Some(context) = self.selection_context(now, false, health_index) else { return false };
        let Some(candidates) = self.update_candidates(now, None) else {
            let ScheduledEndpoints { healthy, degraded } =
                self.next_scheduled(&context, health_index, None, false, &mut Vec::new());
            return healthy.or(degraded).is_some();
        };
        candidates.iter().any(|id| {
            matches!(
                self.assess_endpoint(&context, *id, health_index, None),
                Suitability::Healthy | Suitability::Degraded
            )
        })
    }

    /// The candidates, with their slow-start budgets updated; see [`Balancer::candidates`].
    fn update_candidates(&mut self, now: Nanos, retry: Option<&RequestContext>) -> Option<Vec<u32>> {
        let candidates = self.candidates(retry)?;
        if self.endpoints.any_in_slow_start {
            candidates.iter().for_each(|id| self.update_slow_start_budget(now, *id));
        }
        Some(candidates)
    }

    /// The candidates for a request, if they are few or the request requires a deduplication group; the group may be empty.
    /// `None` if there are too many to assess each.
    fn candidates(&self, retry: Option<&RequestContext>) -> Option<Vec<u32>> {
        let EndpointSet { subset, outside_subset, .. } = &self.endpoints;
        if let Some((request, members)) =
            retry.and_then(|request| Some((request, self.required_group(request)?)))
        {
            // Begins at a place that depends on the request, so that not all begin at the same member.
            let from = request.id as usize % members.len().max(1);
            let count = members.len().min(MAX_ASSESSED_ENDPOINTS);
            return Some(members.iter().cycle().skip(from).take(count).copied().collect());
        }
        let count = if retry.is_some() { outside_subset.len() } else { 0 } + subset.len();
        (count <= MAX_SCANNED_CANDIDATES)
            .then(|| subset.iter().chain(outside_subset.iter().filter(|_| retry.is_some())).collect())
    }

    /// Selects among these candidates: the current weight of each suitable one grows by its weight; the one with the greatest
    /// is selected and gives up what all gained. If no endpoint is healthy, a degraded one is selected; the concurrency limit
    /// still holds. A healthy one that has reset the request comes last, and only if the request requires a group: otherwise,
    /// in a group of one endpoint, the recorded response could never be fetched.
    fn select_among(
        &mut self,
        context: &SelectionContext,
        health_index: usize,
        retry: Option<&RequestContext>,
        candidates: &[u32],
    ) -> Option<u32> {
        let assessed: Vec<(Suitability, u32)> = candidates
            .iter()
            .map(|id| (self.assess_endpoint(context, *id, health_index, retry), *id))
            .collect();
        let has_required_group = retry.is_some_and(|request| self.required_group(request).is_some());
        let best = assessed.iter().map(|(suitability, _)| *suitability).min()?;
        if best > Suitability::ResetBefore || (best == Suitability::ResetBefore && !has_required_group) {
            return None;
        }
        let (mut total, mut selected) = (0.0, None);
        for (_, id) in assessed.iter().filter(|(suitability, _)| *suitability == best) {
            let endpoint = self.endpoints.get_mut(*id);
            let weight = if retry.is_some() { endpoint.weight } else { endpoint.subset_weight };
            let weight =
                weight * endpoint.ramp(context.now, self.config.slow_start, self.config.slow_start_share);
            endpoint.current_weight += weight;
            total += weight;
            if selected.is_none_or(|(_, max)| endpoint.current_weight > max) {
                selected = Some((*id, endpoint.current_weight));
            }
        }
        let (id, _) = selected?;
        self.endpoints.get_mut(id).current_weight -= total;
        Some(id)
    }

    /// The next healthy endpoint of a scheduler, and the next degraded one before it. All that come before the healthy one are
    /// added to `skipped`, also the degraded one that may be selected after all.
    fn next_scheduled(
        &self,
        context: &SelectionContext,
        health_index: usize,
        retry: Option<&RequestContext>,
        from_outside: bool,
        skipped: &mut Vec<SkippedTurn>,
    ) -> ScheduledEndpoints {
        let scheduler = if from_outside { &self.endpoints.outside_subset } else { &self.endpoints.subset };
        let mut first_degraded = None;
        for endpoint_id in scheduler.iter().take(MAX_ASSESSED_ENDPOINTS) {
            match self.assess_endpoint(context, endpoint_id, health_index, retry) {
                Suitability::Healthy => {
                    return ScheduledEndpoints { healthy: Some(endpoint_id), degraded: first_degraded };
                }
                Suitability::Degraded => {
                    first_degraded = first_degraded.or(Some(endpoint_id));
                    skipped.push(SkippedTurn { endpoint_id, degraded: true });
                }
                Suitability::Unavailable => skipped.push(SkippedTurn { endpoint_id, degraded: false }),
                Suitability::ResetBefore | Suitability::Excluded => {}
            }
        }
        ScheduledEndpoints { healthy: None, degraded: first_degraded }
    }

    /// The members of the deduplication group that a request requires because it may have run there.
    fn required_group(&self, request: &RequestContext) -> Option<&[u32]> {
        let run = request.first_possible_run()?;
        let set = self.config.rule_set(&request.rule_set).filter(|set| set.effect == Effect::Deduplicated)?;
        let members = match set.dedup_group {
            DedupGroup::All => return None,
            DedupGroup::Site => {
                self.endpoints.sites.iter().find(|site| site.name == run.site).map(|site| &site.members)
            }
            DedupGroup::Cell => self.endpoints.members_by_cell.get(&run.cell),
        };
        Some(members.map_or(&[], Vec::as_slice))
    }

    /// Assesses how well an endpoint can take a request; `retry` is the request unless this is its first send.
    fn assess_endpoint(
        &self,
        context: &SelectionContext,
        endpoint_id: u32,
        health_index: usize,
        retry: Option<&RequestContext>,
    ) -> Suitability {
        let (endpoint, now) = (self.endpoints.get(endpoint_id), context.now);
        let dispatches = retry.map_or(&[][..], |request| &request.dispatches);
        let mut tried = dispatches.iter().filter(|dispatch| dispatch.endpoint == endpoint.name).peekable();
        let tried_before = tried.peek().is_some();
        let site = &*self.endpoints.sites[endpoint.site_index as usize].name;
        let rejected_by_site = retry.is_some_and(|request| {
            request.count_rejections(Some(site)) >= self.config.max_rejections_per_site
        });
        if rejected_by_site || tried.any(|dispatch| dispatch.outcome != Some(DispatchOutcome::Reset)) {
            return Suitability::Excluded;
        }
        let is_past_slow_start = !endpoint.in_slow_start(now, self.config.slow_start);
        let has_budget = is_past_slow_start
            || self.config.proxies_enforce_limits
            || self.slow_start_budget(now, endpoint) >= 1.0;
        let accepts_requests = endpoint.state == EndpointState::Up
            && (health_index == OVERALL_HEALTH || endpoint.health[health_index].ejected_until <= now)
            && has_budget;
        let is_below_limit = || {
            let limit = endpoint.concurrency_limit(
                self.endpoints.completions_per_s(now, endpoint),
                context.scaled_latency_limit_s,
                context.limit_floor,
            );
            let allowance = if is_past_slow_start {
                context.burst_factor * burst_allowance(limit, self.instances_per_endpoint())
            } else {
                0.0
            };
            let limit = limit + allowance;
            retry.is_some()
                || self.config.proxies_enforce_limits
                || (endpoint.count_against_limit(now, context.latency_limit_s) as f64) < limit.max(1.0)
        };
        if !accepts_requests || !is_below_limit() {
            return Suitability::Unavailable;
        }
        let is_healthy = !endpoint.ejected
            && !endpoint.is_unresponsive(now, context.latency_limit_s)
            && !endpoint.is_congested(now, context.latency_limit_s, &context.means);
        match (is_healthy, tried_before) {
            (true, false) => Suitability::Healthy,
            (false, false) => Suitability::Degraded,
            (true, true) => Suitability::ResetBefore,
            (false, true) => Suitability::Excluded,
        }
    }

    pub(super) fn slow_start_budget(&self, now: Nanos, endpoint: &Endpoint) -> f64 {
        let (slow_start, share) = (self.config.slow_start, self.config.slow_start_share);
        endpoint.current_slow_start_budget(now, &self.established_traffic, slow_start, share)
    }

    fn update_slow_start_budget(&mut self, now: Nanos, endpoint_id: u32) {
        let budget = self.slow_start_budget(now, self.endpoints.get(endpoint_id));
        self.set_slow_start_budget(now, endpoint_id, budget);
    }

    pub(super) fn set_slow_start_budget(&mut self, now: Nanos, endpoint_id: u32, budget: f64) {
        let accepted = self.established_traffic.accepted;
        let endpoint = self.endpoints.get_mut(endpoint_id);
        (endpoint.slow_start_budget, endpoint.budget_updated_at, endpoint.budget_accepted) =
            (budget, now, accepted);
    }

    /// What endpoints are assessed against now; none for a first send while the concurrency limit is reached.
    fn selection_context(
        &mut self,
        now: Nanos,
        is_retry: bool,
        health_index: usize,
    ) -> Option<SelectionContext> {
        self.endpoints.advance_to(now);
        self.check_overdue_dispatches(now);
        self.update_established_traffic(now);
        let latency_limit_s = self.latency_limit_s(now);
        let burst_factor = self.burst_factor(now);
        let utility_factor = self.utility_factor(now, health_index, burst_factor);
        let scaled_latency_limit_s = latency_limit_s * self.recovery_factor(now) * utility_factor;
        let limit_floor = self.endpoint_limit_floor(now) * utility_factor;
        if !is_retry && !self.config.proxies_enforce_limits {
            let limit = self.endpoints.concurrency_limit(now, scaled_latency_limit_s, limit_floor);
            // In overload fractions are dropped: rounded up, each of hundreds of instances would exceed its limit by one.
            let allowance = burst_factor * burst_allowance(limit, self.config.instances);
            let limit = if self.is_overloaded(now) { limit.floor() } else { limit + allowance };
            let limit = limit.max(self.min_concurrency_limit(now) * utility_factor);
            if self.endpoints.responsive_in_flight as f64 >= limit {
                return None;
            }
        }
        let means = self.endpoints.mean_loads(now);
        Some(SelectionContext {
            now,
            latency_limit_s,
            scaled_latency_limit_s,
            limit_floor,
            burst_factor,
            means,
        })
    }

    /// The factor on the concurrency limit for a rule set: above 1 if its utility is above the mean of the arrivals, below 1 if
    /// it is below and latencies are high. At a quiet instance the queue holds too few requests for ranks to matter; this prefers
    /// useful requests before they are queued.
    pub(super) fn utility_factor(&self, now: Nanos, health_index: usize, burst_factor: f64) -> f64 {
        match health_index.checked_sub(1).and_then(|at| self.config.rule_sets.get(at)) {
            Some(set) if self.config.is_first_tier() && self.config.utility_by_work => (set.utility
                / self.statistics.utilities.mean(now).max(1e-9))
            .sqrt()
            .clamp(MIN_UTILITY_FACTOR.max(burst_factor), MAX_UTILITY_FACTOR),
            _ => 1.0,
        }
    }

    /// The share of the burst allowance that is left: none in overload or when latencies are high.
    pub(super) fn burst_factor(&self, now: Nanos) -> f64 {
        if !self.config.is_first_tier() || self.is_overloaded(now) {
            return 0.0;
        }
        let statistics = &self.statistics;
        let unloaded =
            statistics.latency_20s.min_bucket_mean(now).min(statistics.latency_80s.min_bucket_mean(now));
        ((NO_BURST_LATENCY_FACTOR - statistics.latency_2s.mean(now) / unloaded)
            / (NO_BURST_LATENCY_FACTOR - UNLOADED_LATENCY_FACTOR))
            .clamp(0.0, 1.0)
    }

    /// Updates what endpoints accept from this instance per unit of ramped weight, while any endpoint is in slow start.
    pub(super) fn update_established_traffic(&mut self, now: Nanos) {
        let since = std::mem::replace(&mut self.established_traffic_updated_at, now);
        self.endpoints.refresh_ramps(now);
        if self.endpoints.any_in_slow_start {
            let accepted_per_s = self.statistics.accepted_per_s(now, self.started_at);
            let per_weight = accepted_per_s / self.endpoints.ramped_weight().max(1e-9);
            self.established_traffic.accepted_per_s = per_weight;
            self.established_traffic.accepted += per_weight * to_seconds(now - since.min(now));
            self.established_traffic.min_requests_per_s =
                SLOW_START_MIN_REQUESTS_PER_S / self.instances_per_endpoint();
        }
    }

    /// Records a dispatch to this endpoint and returns the decision to send it.
    pub(super) fn dispatch_request(
        &mut self,
        now: Nanos,
        request: &mut RequestContext,
        endpoint_id: u32,
    ) -> RoutingDecision {
        let give_up_at = self.give_up_at(request);
        if self.endpoints.get(endpoint_id).in_slow_start(now, self.config.slow_start) {
            self.update_slow_start_budget(now, endpoint_id);
            self.endpoints.get_mut(endpoint_id).slow_start_budget -= 1.0;
        }
        // A pending body may take seconds, and the endpoint does not start on the request before it is complete.
        if !request.body_pending {
            let extra_time = self.extra_time(now, request);
            self.endpoints.record_send(now, endpoint_id, request.id, request.dispatches.len(), extra_time);
        }
        let endpoint = self.endpoints.get(endpoint_id);
        request.dispatches.push(Dispatch {
            endpoint: endpoint.name.clone(),
            site: self.endpoints.sites[endpoint.site_index as usize].name.clone(),
            cell: endpoint.cell,
            sent_at: now,
            outcome: None,
        });
        self.in_flight_count += 1;
        RoutingDecision::Send { endpoint: endpoint.name.clone(), give_up_at }
    }

    /// How many instances have each endpoint in their subsets.
    pub(super) fn instances_per_endpoint(&self) -> f64 {
        self.subset_share * self.config.instances
    }

    /// Updates the subset: a range of the list, by weight, that begins at a place given by the instance's index, so that
    /// the subsets of all together cover the endpoints evenly without coordination. It is the whole list if this instance
    /// sends enough to learn the state of each endpoint in time, and can keep connections to all. Otherwise it would select
    /// blindly: with hundreds of instances, each one meets a given endpoint too rarely to know that it is congested, slow or
    /// failing. And with more endpoints than connections it would open a connection for each request.
    pub(super) fn update_subset(&mut self, now: Nanos, list_changed: bool) {
        let up = (self.endpoints.up_count as f64).max(1.0);
        let observable_endpoints = (self.statistics.first_sends.rate_per_s(now, self.started_at)
            * SUBSET_SEND_INTERVAL_S)
            .max(MIN_SUBSET_ENDPOINTS);
        let connectable_endpoints =
            (self.config.max_connections * SUBSET_CONNECTION_SHARE).max(MIN_SUBSET_ENDPOINTS);
        let wanted_share = observable_endpoints.min(connectable_endpoints) / up;
        let instances = self.config.instances;
        let share = (wanted_share.max(MIN_INSTANCES_PER_ENDPOINT / instances) * instances).ceil() / instances;
        let share =
            if share > MAX_PARTIAL_SUBSET_SHARE || self.config.proxies_enforce_limits { 1.0 } else { share };
        if list_changed || share != self.subset_share {
            self.subset_share = share;
            self.endpoints.set_subset(now, self.config.instance_index / instances % 1.0, share);
        }
    }
}
