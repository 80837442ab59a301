//! What the state of one endpoint means: its ramp, its concurrency limit, whether it is unresponsive or congested, and its
//! slow-start budget. Endpoints are not compared with each other here; the means to compare with are given.

use super::*;
use crate::endpoint_set::{Endpoint, EndpointDispatch, EstablishedTraffic, MeanLoads};

/// Duration of the ramp of an endpoint that returns from an ejection.
const EJECTION_RETURN_RAMP: Nanos = 3 * SECOND;
/// The share of its weight with which an endpoint returns from an ejection.
const EJECTION_RETURN_SHARE: f64 = 0.2;
/// An endpoint is congested above this many times the mean load of all, now or over [`MEAN_LOAD_WINDOW`], plus a margin for
/// chance; see [`Endpoint::is_congested`].
const CONGESTION_FACTOR: f64 = 1.25;
/// That margin for the requests that this instance has in flight now.
const CONGESTION_MARGIN: f64 = 1.0;
/// That margin for the load that the endpoint reports.
const REPORTED_LOAD_MARGIN: f64 = 2.0;
/// The time over which the mean number of requests in flight is taken.
pub const MEAN_LOAD_WINDOW: Nanos = 8 * SECOND;
/// An endpoint is unresponsive when the ages of its unanswered dispatches, in units of the overdue time, sum up to this. One
/// overdue dispatch is not enough: an endpoint that rarely gets a request may only be slow.
const UNRESPONSIVE_OVERDUE_SUM: f64 = 3.0;
/// An endpoint in slow start may get this many times its even share, which leaves room for random bursts.
const SLOW_START_HEADROOM: f64 = 1.5;

impl Endpoint {
    pub fn in_slow_start(&self, now: Nanos, slow_start: Nanos) -> bool {
        self.started_at.is_some_and(|at| now < at + slow_start)
    }

    /// The share of its weight with which an endpoint counts that is in slow start or returns from an ejection.
    pub fn ramp(&self, now: Nanos, slow_start: Nanos, slow_start_share: f64) -> f64 {
        let slow_start_ramp = match self.started_at {
            Some(at) if now < at + slow_start => {
                slow_start_share
                    + (1.0 - slow_start_share) * now.saturating_sub(at) as f64 / slow_start as f64
            }
            _ => 1.0,
        };
        let time_since_return = now.saturating_sub(self.health[OVERALL_HEALTH].ejected_until);
        let return_ramp = if time_since_return < EJECTION_RETURN_RAMP {
            EJECTION_RETURN_SHARE
                + (1.0 - EJECTION_RETURN_SHARE) * time_since_return as f64 / EJECTION_RETURN_RAMP as f64
        } else {
            1.0
        };
        slow_start_ramp * return_ramp
    }

    /// How many requests it may have in flight from this instance. By Little's law, what it completes within the latency
    /// limit is what it may have in flight for latencies within that limit. The limit is per endpoint, so that a few slow
    /// ones do not use up what the healthy ones need. The floor keeps an endpoint that is held congested from becoming slower
    /// and staying so.
    pub fn concurrency_limit(&self, completions_per_s: f64, latency_limit_s: f64, floor: f64) -> f64 {
        (completions_per_s * latency_limit_s).max(floor)
    }

    /// The requests in flight that count against its concurrency limit: overdue ones do not if it is unresponsive.
    pub fn count_against_limit(&self, now: Nanos, latency_limit_s: f64) -> usize {
        if !self.is_unresponsive(now, latency_limit_s) {
            return self.in_flight.len();
        }
        let in_time = |dispatch: &&EndpointDispatch| {
            dispatch.age_beyond_extra_time(now) <= OVERDUE_FACTOR * latency_limit_s
        };
        self.in_flight.iter().filter(in_time).count()
    }

    /// Whether a dispatch is overdue and the endpoint has answered nothing since it was sent. Endpoints may be cut
    /// off without a reset, and what is in flight there must not use up the concurrency limit.
    pub fn is_unresponsive(&self, now: Nanos, latency_limit_s: f64) -> bool {
        let unanswered = self.in_flight.iter().filter(|dispatch| self.last_response_at <= dispatch.sent_at);
        let overdue = unanswered
            .map(|dispatch| dispatch.age_beyond_extra_time(now) / (OVERDUE_FACTOR * latency_limit_s));
        let (max, sum) = overdue.fold((0.0, 0.0), |(max, sum): (f64, f64), age| (max.max(age), sum + age));
        max > 1.0 && sum >= UNRESPONSIVE_OVERDUE_SUM
    }

    /// Whether it has far more in flight than the mean, now or over a while, or reports a far higher load than others. The
    /// mean over a while is needed because a quiet instance nearly always has none or one in flight at an endpoint, even at
    /// one that is many times slower than the others. The margin on that mean is one request that takes the latency limit: a
    /// quiet instance may have that much by chance.
    pub fn is_congested(&self, now: Nanos, latency_limit_s: f64, means: &MeanLoads) -> bool {
        self.in_flight.len() as f64
            > CONGESTION_FACTOR * means.current_in_flight * self.subset_weight + CONGESTION_MARGIN
            || self.mean_in_flight(now)
                > CONGESTION_FACTOR * means.mean_in_flight * self.subset_weight
                    + latency_limit_s / to_seconds(MEAN_LOAD_WINDOW)
            || (self.has_fresh_report
                && self.reported_load
                    > CONGESTION_FACTOR * means.reported_load * self.weight + REPORTED_LOAD_MARGIN)
    }

    /// The slow-start budget now. It grows by what established endpoints of the same weight accept from this instance, scaled to
    /// the least capacity that the endpoint can have at its age, and by no less than `min_requests_per_s`. That capacity grows
    /// linearly, so its mean over a period is its value in the middle.
    pub fn current_slow_start_budget(
        &self,
        now: Nanos,
        established_traffic: &EstablishedTraffic,
        slow_start: Nanos,
        slow_start_share: f64,
    ) -> f64 {
        let since = self.budget_updated_at.min(now);
        let middle = since + (now - since) / 2;
        let weight =
            self.subset_weight * self.ramp(middle, slow_start, slow_start_share) * SLOW_START_HEADROOM;
        let growth = (established_traffic.accepted - self.budget_accepted) * weight;
        // At most what it gains in half a second, and no less than one request.
        let max = (established_traffic.accepted_per_s * weight / 2.0).max(1.0);
        (self.slow_start_budget
            + growth.max(established_traffic.min_requests_per_s * to_seconds(now - since)))
        .min(max)
    }
}
