//! The endpoints that an instance knows, under small ids that stay the same while an endpoint is known, and the sums over
//! them that decisions need. A sum is updated whenever one of its addends changes, also when that happens by the passing of
//! time, so no request walks the list. What the values mean is decided in [`crate::policy`].

use std::collections::{BTreeSet, HashMap};

use crate::in_flight::{DispatchId, InFlightList, age_beyond_extra_time};
use crate::policy::MEAN_LOAD_WINDOW;
use crate::statistics::{CountHistogram, Health, OVERALL_HEALTH, SlidingWindow, WINDOW_BUCKETS};
use crate::stride_scheduler::{StrideEntry, StrideScheduler};
use crate::types::*;

/// How old the sums over ramps may be. Even a long ramp grows by only about a thousandth in
/// this time.
const RAMP_REFRESH_INTERVAL: Nanos = SECOND / 50;
/// The scheduler gets the new weight of a ramping endpoint when its ramp has grown by this factor.
const MIN_RAMP_GROWTH_FACTOR: f64 = 1.1;
/// Completions of this time give the rate at which an endpoint completes requests.
const COMPLETION_WINDOW: Nanos = 4 * SECOND;
/// A load report counts for this long.
const LOAD_REPORT_LIFETIME: Nanos = 3 * SECOND;

/// A dispatch in flight at an endpoint.
pub struct EndpointDispatch {
    pub sent_at: Nanos,
    /// Its slot in [`EndpointSet::in_flight`].
    pub slot: u32,
    /// How much longer than others it may take before it is overdue.
    pub extra_time: Nanos,
}

impl EndpointDispatch {
    pub fn age_beyond_extra_time(&self, now: Nanos) -> f64 {
        age_beyond_extra_time(now, self.sent_at, self.extra_time)
    }
}

pub struct Endpoint {
    pub name: Name,
    pub weight: f64,
    /// The part of its weight that is in this instance's subset.
    pub subset_weight: f64,
    pub site_index: u32,
    pub cell: u64,
    pub state: EndpointState,
    pub started_at: Option<Nanos>,
    /// The dispatches in flight, the oldest first.
    pub in_flight: Vec<EndpointDispatch>,
    /// Nanoseconds in flight of the dispatches that ended.
    in_flight_time: SlidingWindow,
    completions: SlidingWindow,
    /// The count of `completions` now.
    recent_completions: u32,
    added_at: Nanos,
    /// The last bucket under which it is in `EndpointSet::completed_by_bucket`.
    completed_bucket: u64,
    /// `Site::loss_reset_count` when its last loss was counted.
    loss_reset_count: u64,
    /// Its losses that its site still counts, if `loss_reset_count` is that of the site.
    losses: usize,
    /// How many times in a row it refused a request because it is at capacity or draining.
    pub consecutive_refusals: u32,
    /// When it last answered anything.
    pub last_response_at: Nanos,
    /// When a request was last sent to it or a response received.
    pub last_used_at: Nanos,
    /// When its idle connections were last closed.
    pub idle_closed_at: Nanos,
    /// The health over all requests at [`OVERALL_HEALTH`], followed by one for each rule set. In those of rule sets, only errors
    /// and successes count.
    pub health: Vec<Health>,
    /// What is left of its slow-start budget, in requests, as of `budget_updated_at`.
    pub slow_start_budget: f64,
    pub budget_updated_at: Nanos,
    /// `EstablishedTraffic::accepted` at `budget_updated_at`.
    pub budget_accepted: f64,
    pub reported_load: f64,
    pub reported_at: Nanos,
    /// Its state in smooth weighted round robin, which is used among few endpoints.
    pub current_weight: f64,
    /// The fraction of a stride until its first turn. It is random, so that instances do not go through the list in step.
    start_phase: f64,
    /// Its entry in the scheduler of the subset.
    pub subset_entry: StrideEntry,
    /// Its entry in the scheduler of the endpoints outside of the subset.
    pub outside_entry: StrideEntry,
    /// The ramp that its weight in the schedulers is based on.
    scheduled_ramp: f64,
    /// How much its ramp reduces its weight in the subset, as last summed up.
    ramp_deduction: f64,
    /// Whether the sums count it as ejected.
    pub ejected: bool,
    /// Whether the sums count it as unresponsive.
    pub unresponsive: bool,
    pub has_fresh_report: bool,
    /// The rule sets from which it is ejected, by their indexes in `health`.
    ejected_rule_sets: Vec<usize>,
}

pub struct Site {
    pub name: Name,
    pub members: Vec<u32>,
    /// How many of its endpoints are up.
    pub up_count: usize,
    /// How many of them are up and not ejected.
    pub usable_count: usize,
    /// When any of its endpoints last answered.
    pub last_response_at: Nanos,
    /// Lost dispatches since then: no connection, a reset or a time-out.
    pub losses: usize,
    /// How many times the losses were reset.
    loss_reset_count: u64,
}

impl Site {
    pub fn reset_losses(&mut self) {
        (self.losses, self.loss_reset_count) = (0, self.loss_reset_count + 1);
    }
}

/// A change that happens by the passing of time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    EjectionEnd,
    ReportExpiry,
    /// An endpoint is no longer ejected from a rule set.
    RuleSetEjectionEnd(usize),
}

/// An endpoint in the list sorted by name. The weight is 0 unless it is up.
struct NamedEntry {
    endpoint_id: u32,
    weight: f64,
    subset_weight: f64,
}

pub struct EndpointSet {
    pub endpoints: Vec<Endpoint>,
    free_ids: Vec<u32>,
    ids_by_name: HashMap<Name, u32>,
    by_name: Vec<NamedEntry>,
    pub sites: Vec<Site>,
    pub members_by_cell: HashMap<u64, Vec<u32>>,
    pub in_flight: InFlightList,
    /// Schedules the endpoints in the subset.
    pub subset: StrideScheduler,
    /// Schedules the other endpoints of the list.
    pub outside_subset: StrideScheduler,
    slow_start: Nanos,
    slow_start_share: f64,
    /// When each change happens, and at which endpoint.
    timers: BTreeSet<(Nanos, Timer, u32)>,
    pub unresponsive_ids: BTreeSet<u32>,
    gone_ids: BTreeSet<u32>,
    /// Endpoints that are not in any scheduler yet.
    unscheduled_ids: Vec<u32>,
    ramping_ids: BTreeSet<u32>,
    ramps_refreshed_at: Nanos,
    pub any_in_slow_start: bool,
    /// How much ramps reduce the weight in the subset.
    ramp_deductions: f64,
    /// The endpoints with a completion in each bucket; their counts change when the bucket expires.
    completed_by_bucket: [Vec<u32>; WINDOW_BUCKETS],
    /// The last bucket up to which the counts have been updated.
    current_bucket: u64,
    pub up_count: usize,
    pub usable_count: usize,
    /// How many usable endpoints are ejected from each rule set; the first element is not used.
    pub ejected_counts: Vec<usize>,
    // The following sums, up to `completions_of_recently_added`, are over the usable endpoints in the subset.
    /// The sum of their weights in the subset, in fixed point.
    usable_subset_weight: i128,
    /// Their dispatches in flight.
    subset_in_flight_count: i64,
    /// The times in flight of their dispatches that ended.
    in_flight_time: SlidingWindow,
    /// Their dispatches in flight that are younger than [`MEAN_LOAD_WINDOW`].
    uncapped_count: i128,
    /// The sum of the send times of those dispatches.
    uncapped_sent_at_sum: i128,
    /// Their dispatches in flight whose age is at least [`MEAN_LOAD_WINDOW`], and counts as that.
    capped_count: i128,
    /// The dispatches in flight at those that are responsive.
    pub responsive_in_flight: i64,
    /// The completions at those that are responsive and were added before [`COMPLETION_WINDOW`] began.
    completions_of_established: CountHistogram,
    /// The completions at the other responsive ones, by the time at which they were added.
    completions_of_recently_added: Vec<(Nanos, CountHistogram)>,
    completion_window: SlidingWindow,
    /// Completions are counted from this time on, which leaves out a pause.
    rates_counted_from: Nanos,
    now: Nanos,
    /// The sum of the reported loads over all usable endpoints with a fresh report, in the subset or not.
    fresh_report_load_sum: f64,
    /// The sum of the weights of the same endpoints, in fixed point.
    fresh_report_weight_sum: i128,
}

/// A turn that an endpoint could not take.
pub struct SkippedTurn {
    pub endpoint_id: u32,
    /// It would have been used if no healthy endpoint had been found.
    pub degraded: bool,
}

/// What the load of an endpoint is compared with. All values are per unit of weight.
pub struct MeanLoads {
    /// Requests in flight in the subset, as the mean over [`MEAN_LOAD_WINDOW`].
    pub mean_in_flight: f64,
    /// Requests in flight in the subset at this moment.
    pub current_in_flight: f64,
    pub reported_load: f64,
}

/// The traffic that endpoints past their slow start accept from this instance per unit of weight, from which the budgets of
/// endpoints in slow start follow.
#[derive(Default)]
pub struct EstablishedTraffic {
    pub accepted_per_s: f64,
    /// Requests accepted so far, per unit of weight.
    pub accepted: f64,
    /// How many requests per second an endpoint in slow start may get in any case, whatever its weight.
    pub min_requests_per_s: f64,
}

/// The fixed-point representation of 1: 2^64.
const FIXED_POINT_ONE: f64 = 1.8446744073709552e19;
/// Weights above this count as this.
const MAX_WEIGHT: f64 = 1e15;

/// Converts a weight to fixed point. Sums of integers are exact, so that removing a weight leaves no remainder, however large
/// it is.
fn to_fixed_point(weight: f64) -> i128 {
    (weight.clamp(0.0, MAX_WEIGHT) * FIXED_POINT_ONE) as i128
}

fn from_fixed_point(sum: i128) -> f64 {
    sum as f64 / FIXED_POINT_ONE
}

impl EndpointSet {
    pub fn new(now: Nanos, rule_sets: usize, slow_start: Nanos, slow_start_share: f64) -> EndpointSet {
        let completion_window = SlidingWindow::new(COMPLETION_WINDOW);
        EndpointSet {
            endpoints: Vec::new(),
            free_ids: Vec::new(),
            ids_by_name: HashMap::new(),
            by_name: Vec::new(),
            sites: Vec::new(),
            members_by_cell: HashMap::new(),
            in_flight: InFlightList::new(),
            subset: StrideScheduler::default(),
            outside_subset: StrideScheduler::default(),
            slow_start,
            slow_start_share,
            timers: BTreeSet::new(),
            unresponsive_ids: BTreeSet::new(),
            gone_ids: BTreeSet::new(),
            unscheduled_ids: Vec::new(),
            ramping_ids: BTreeSet::new(),
            ramps_refreshed_at: 0,
            any_in_slow_start: false,
            ramp_deductions: 0.0,
            completed_by_bucket: Default::default(),
            current_bucket: completion_window.bucket_number(now),
            up_count: 0,
            usable_count: 0,
            ejected_counts: vec![0; rule_sets + 1],
            usable_subset_weight: 0,
            subset_in_flight_count: 0,
            in_flight_time: SlidingWindow::new(MEAN_LOAD_WINDOW),
            uncapped_count: 0,
            uncapped_sent_at_sum: 0,
            capped_count: 0,
            responsive_in_flight: 0,
            completions_of_established: CountHistogram::default(),
            completions_of_recently_added: Vec::new(),
            completion_window,
            rates_counted_from: 0,
            now,
            fresh_report_load_sum: 0.0,
            fresh_report_weight_sum: 0,
        }
    }

    pub fn find_id(&self, name: &str) -> Option<u32> {
        self.ids_by_name.get(name).copied()
    }

    pub fn get(&self, endpoint_id: u32) -> &Endpoint {
        &self.endpoints[endpoint_id as usize]
    }

    pub fn get_mut(&mut self, endpoint_id: u32) -> &mut Endpoint {
        &mut self.endpoints[endpoint_id as usize]
    }

    pub fn site_mut(&mut self, endpoint_id: u32) -> &mut Site {
        let site_index = self.endpoints[endpoint_id as usize].site_index;
        &mut self.sites[site_index as usize]
    }

    /// Records a loss, which counts until its site next answers.
    pub fn record_loss(&mut self, endpoint_id: u32) {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        let site = &mut self.sites[endpoint.site_index as usize];
        let earlier_losses =
            if endpoint.loss_reset_count == site.loss_reset_count { endpoint.losses } else { 0 };
        (endpoint.loss_reset_count, endpoint.losses) = (site.loss_reset_count, earlier_losses + 1);
        site.losses += 1;
    }

    /// Changes values of an endpoint together with the sums that depend on them.
    pub fn update_with_sums(&mut self, endpoint_id: u32, apply: impl FnOnce(&mut Endpoint)) {
        self.add_to_sums(endpoint_id, -1);
        apply(&mut self.endpoints[endpoint_id as usize]);
        if self.endpoints[endpoint_id as usize].ramp_deduction > 0.0 {
            // An endpoint that no longer counts must not stay in the sum of the ramps.
            self.update_ramp_deduction(self.now, endpoint_id);
        }
        self.add_to_sums(endpoint_id, 1);
    }

    /// Adds an endpoint to every sum (`sign` 1), or removes it (`sign` -1).
    fn add_to_sums(&mut self, endpoint_id: u32, sign: i64) {
        let endpoint = &self.endpoints[endpoint_id as usize];
        let (sign_i128, sign_f64) = (i128::from(sign), sign as f64);
        let site = &mut self.sites[endpoint.site_index as usize];
        let adjust = |count: &mut usize| *count = count.wrapping_add_signed(sign as isize);
        if endpoint.state == EndpointState::Up {
            adjust(&mut site.up_count);
            adjust(&mut self.up_count);
        }
        if endpoint.is_usable() {
            adjust(&mut site.usable_count);
            adjust(&mut self.usable_count);
            endpoint.ejected_rule_sets.iter().for_each(|index| adjust(&mut self.ejected_counts[*index]));
            if endpoint.has_fresh_report {
                self.fresh_report_load_sum += sign_f64 * endpoint.reported_load;
                self.fresh_report_weight_sum += sign_i128 * to_fixed_point(endpoint.weight);
            }
        }
        if endpoint.is_in_subset() {
            self.usable_subset_weight += sign_i128 * to_fixed_point(endpoint.subset_weight);
            self.subset_in_flight_count += sign * endpoint.in_flight.len() as i64;
            self.in_flight_time.merge(&endpoint.in_flight_time, sign_f64);
            for EndpointDispatch { sent_at, slot, .. } in &endpoint.in_flight {
                match self.in_flight.get(*slot).age_capped {
                    true => self.capped_count += sign_i128,
                    false => {
                        (self.uncapped_count, self.uncapped_sent_at_sum) = (
                            self.uncapped_count + sign_i128,
                            self.uncapped_sent_at_sum + sign_i128 * i128::from(*sent_at),
                        )
                    }
                }
            }
            if !endpoint.unresponsive {
                self.responsive_in_flight += sign * endpoint.in_flight.len() as i64;
                let (added_at, count) = (endpoint.added_at, endpoint.recent_completions);
                let counts = self.completion_histogram(added_at);
                if sign > 0 { counts.add(count) } else { counts.remove(count) }
            }
        }
    }

    /// The histogram that counts endpoints added at this time.
    fn completion_histogram(&mut self, added_at: Nanos) -> &mut CountHistogram {
        if added_at + COMPLETION_WINDOW <= self.now {
            return &mut self.completions_of_established;
        }
        let at =
            self.completions_of_recently_added.iter().position(|(at, _)| *at == added_at).unwrap_or_else(
                || {
                    self.completions_of_recently_added.push((added_at, CountHistogram::default()));
                    self.completions_of_recently_added.len() - 1
                },
            );
        &mut self.completions_of_recently_added[at].1
    }

    /// Applies what changes with time alone, up to now.
    pub fn advance_to(&mut self, now: Nanos) {
        while let Some((_, timer, endpoint_id)) = self.timers.first().copied().filter(|(at, ..)| *at <= now) {
            self.timers.pop_first();
            // It may have been postponed since, or the id may now be that of another endpoint.
            let endpoint = &self.endpoints[endpoint_id as usize];
            let (ejected_until, report_expires_at) =
                (endpoint.health[OVERALL_HEALTH].ejected_until, endpoint.reported_at + LOAD_REPORT_LIFETIME);
            match timer {
                Timer::EjectionEnd if endpoint.ejected && ejected_until <= now => {
                    self.update_with_sums(endpoint_id, |endpoint| endpoint.ejected = false);
                    self.reschedule(now, endpoint_id);
                }
                Timer::RuleSetEjectionEnd(health_index)
                    if endpoint.health[health_index].ejected_until <= now =>
                {
                    self.update_with_sums(endpoint_id, |endpoint| {
                        endpoint.ejected_rule_sets.retain(|ejected| *ejected != health_index)
                    });
                }
                Timer::ReportExpiry if endpoint.has_fresh_report && report_expires_at <= now => {
                    self.update_with_sums(endpoint_id, |endpoint| endpoint.has_fresh_report = false)
                }
                Timer::ReportExpiry if endpoint.has_fresh_report => {
                    self.timers.insert((report_expires_at, timer, endpoint_id));
                }
                _ => {}
            }
        }
        while let Some(slot) = self.in_flight.cap_next(now, MEAN_LOAD_WINDOW) {
            let dispatch = self.in_flight.get(slot);
            if self.endpoints[dispatch.endpoint_id as usize].is_in_subset() {
                (self.uncapped_count, self.uncapped_sent_at_sum, self.capped_count) = (
                    self.uncapped_count - 1,
                    self.uncapped_sent_at_sum - i128::from(dispatch.sent_at),
                    self.capped_count + 1,
                );
            }
        }
        self.now = now;
        let is_old = |added_at: Nanos| added_at + COMPLETION_WINDOW <= now;
        while let Some(at) = self
            .completions_of_recently_added
            .iter()
            .position(|(added_at, counts)| is_old(*added_at) || counts.is_empty())
        {
            let (_, counts) = self.completions_of_recently_added.swap_remove(at);
            self.completions_of_established.merge(counts);
        }
        let bucket = self.completion_window.bucket_number(now);
        for passed in (self.current_bucket + 1..=bucket).take(WINDOW_BUCKETS) {
            for endpoint_id in
                std::mem::take(&mut self.completed_by_bucket[(passed % WINDOW_BUCKETS as u64) as usize])
            {
                self.update_completions(now, endpoint_id);
            }
        }
        self.current_bucket = bucket;
    }

    /// Updates the count of an endpoint's recent completions.
    fn update_completions(&mut self, now: Nanos, endpoint_id: u32) {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        let (before, added_at) = (endpoint.recent_completions, endpoint.added_at);
        endpoint.recent_completions = endpoint.completions.count(now) as u32;
        let (after, responsive) =
            (endpoint.recent_completions, endpoint.is_in_subset() && !endpoint.unresponsive);
        if after != before && responsive {
            let counts = self.completion_histogram(added_at);
            counts.remove(before);
            counts.add(after);
        }
    }

    /// Sums up the ramps again, unless that was done less than [`RAMP_REFRESH_INTERVAL`] ago.
    pub fn refresh_ramps(&mut self, now: Nanos) {
        let any_ramp = !self.ramping_ids.is_empty() || self.any_in_slow_start || self.ramp_deductions > 0.0;
        if !any_ramp || now < self.ramps_refreshed_at + RAMP_REFRESH_INTERVAL {
            return;
        }
        self.ramps_refreshed_at = now;
        (self.any_in_slow_start, self.ramp_deductions) = (false, 0.0);
        for endpoint_id in self.ramping_ids.iter().copied().collect::<Vec<_>>() {
            self.endpoints[endpoint_id as usize].ramp_deduction = 0.0;
            self.update_ramp_deduction(now, endpoint_id);
            let endpoint = &self.endpoints[endpoint_id as usize];
            let ramp = endpoint.ramp(now, self.slow_start, self.slow_start_share);
            if ramp >= 1.0 || ramp > endpoint.scheduled_ramp * MIN_RAMP_GROWTH_FACTOR {
                self.reschedule(now, endpoint_id);
            }
        }
    }

    /// Updates how much a ramp reduces an endpoint's weight.
    fn update_ramp_deduction(&mut self, now: Nanos, endpoint_id: u32) {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        let ramp = endpoint.ramp(now, self.slow_start, self.slow_start_share);
        let deduction = if endpoint.is_in_subset() { endpoint.subset_weight * (1.0 - ramp) } else { 0.0 };
        self.ramp_deductions += deduction - std::mem::replace(&mut endpoint.ramp_deduction, deduction);
        self.any_in_slow_start |=
            endpoint.state == EndpointState::Up && endpoint.in_slow_start(now, self.slow_start);
    }

    /// Gives an endpoint its current weight in the schedulers.
    pub fn reschedule(&mut self, now: Nanos, endpoint_id: u32) {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        let (is_up, ramp) =
            (endpoint.state == EndpointState::Up, endpoint.ramp(now, self.slow_start, self.slow_start_share));
        endpoint.scheduled_ramp = ramp;
        self.subset.set_weight(
            endpoint_id,
            &mut endpoint.subset_entry,
            if is_up { endpoint.subset_weight * ramp } else { 0.0 },
            endpoint.start_phase,
        );
        let outside_weight =
            if is_up && endpoint.subset_weight <= 0.0 { endpoint.weight * ramp } else { 0.0 };
        self.outside_subset.set_weight(
            endpoint_id,
            &mut endpoint.outside_entry,
            outside_weight,
            endpoint.start_phase,
        );
        if is_up && ramp < 1.0 {
            self.ramping_ids.insert(endpoint_id)
        } else {
            self.ramping_ids.remove(&endpoint_id)
        };
        self.update_ramp_deduction(now, endpoint_id);
    }

    /// Takes the turn of an endpoint, and skips the turns of those that could not take it before.
    pub fn take_turn(&mut self, now: Nanos, endpoint_id: u32, skipped: &[SkippedTurn]) {
        for (endpoint_id, taken) in
            skipped.iter().map(|turn| (turn.endpoint_id, false)).chain([(endpoint_id, true)])
        {
            if self.ramping_ids.contains(&endpoint_id) {
                self.reschedule(now, endpoint_id);
            }
            let endpoint = &mut self.endpoints[endpoint_id as usize];
            for (scheduler, entry) in [
                (&mut self.subset, &mut endpoint.subset_entry),
                (&mut self.outside_subset, &mut endpoint.outside_entry),
            ] {
                match entry.weight > 0.0 {
                    true if taken => scheduler.take_turn(endpoint_id, entry),
                    true => scheduler.skip_turn(endpoint_id, entry),
                    false => {}
                }
            }
        }
    }

    pub fn record_send(
        &mut self,
        now: Nanos,
        endpoint_id: u32,
        request_id: u64,
        dispatch_index: usize,
        extra_time: Nanos,
    ) {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        let reused = endpoint.in_flight.is_empty() && endpoint.last_used_at > endpoint.idle_closed_at;
        let idle = if reused { now - endpoint.last_used_at } else { 0 };
        endpoint.last_used_at = now;
        let slot =
            self.in_flight.add(now, endpoint_id, DispatchId { request_id, dispatch_index }, extra_time, idle);
        endpoint.in_flight.push(EndpointDispatch { sent_at: now, slot, extra_time });
        if endpoint.is_in_subset() {
            (self.subset_in_flight_count, self.uncapped_count, self.uncapped_sent_at_sum) = (
                self.subset_in_flight_count + 1,
                self.uncapped_count + 1,
                self.uncapped_sent_at_sum + i128::from(now),
            );
            self.responsive_in_flight += i64::from(!endpoint.unresponsive);
        }
    }

    /// Records the end of a dispatch, and returns for how long its connection had been idle before.
    pub fn record_end(
        &mut self,
        now: Nanos,
        endpoint_id: u32,
        request_id: u64,
        dispatch_index: usize,
        completed: bool,
    ) -> Nanos {
        let mut idle = 0;
        let (endpoint, in_flight) = (&mut self.endpoints[endpoint_id as usize], &mut self.in_flight);
        let is_ended = |slot: u32| {
            in_flight.get(slot).request_id == request_id
                && in_flight.get(slot).dispatch_index == dispatch_index
        };
        if let Some(at) = endpoint.in_flight.iter().position(|dispatch| is_ended(dispatch.slot)) {
            let EndpointDispatch { sent_at, slot, .. } = endpoint.in_flight.remove(at);
            let (capped, time_in_flight) =
                (in_flight.get(slot).age_capped, now.saturating_sub(sent_at).min(MEAN_LOAD_WINDOW) as f64);
            idle = in_flight.get(slot).idle;
            in_flight.remove(slot);
            endpoint.last_used_at = now;
            endpoint.in_flight_time.add(now, time_in_flight);
            if endpoint.is_in_subset() {
                self.subset_in_flight_count -= 1;
                self.responsive_in_flight -= i64::from(!endpoint.unresponsive);
                match capped {
                    true => self.capped_count -= 1,
                    false => {
                        (self.uncapped_count, self.uncapped_sent_at_sum) =
                            (self.uncapped_count - 1, self.uncapped_sent_at_sum - i128::from(sent_at))
                    }
                }
                self.in_flight_time.add(now, time_in_flight);
            }
        }
        if completed {
            let endpoint = &mut self.endpoints[endpoint_id as usize];
            endpoint.completions.add(now, 1.0);
            if endpoint.completed_bucket != self.current_bucket {
                endpoint.completed_bucket = self.current_bucket;
                self.completed_by_bucket[(self.current_bucket % WINDOW_BUCKETS as u64) as usize]
                    .push(endpoint_id);
            }
            self.update_completions(now, endpoint_id);
        }
        idle
    }

    pub fn record_load_report(&mut self, now: Nanos, endpoint_id: u32, value: f64) {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        if endpoint.has_fresh_report {
            if endpoint.is_usable() {
                self.fresh_report_load_sum += value - endpoint.reported_load;
            }
            (endpoint.reported_load, endpoint.reported_at) = (value, now);
        } else {
            self.timers.insert((now + LOAD_REPORT_LIFETIME, Timer::ReportExpiry, endpoint_id));
            self.update_with_sums(endpoint_id, |endpoint| {
                (endpoint.reported_load, endpoint.reported_at, endpoint.has_fresh_report) = (value, now, true)
            });
        }
    }

    pub fn eject_endpoint(&mut self, now: Nanos, endpoint_id: u32, until: Nanos) {
        self.timers.insert((until, Timer::EjectionEnd, endpoint_id));
        self.update_with_sums(endpoint_id, |endpoint| endpoint.ejected = until > now);
    }

    /// Ejects an endpoint from a rule set until the given time.
    pub fn eject_from_rule_set(&mut self, endpoint_id: u32, health_index: usize, until: Nanos) {
        self.timers.insert((until, Timer::RuleSetEjectionEnd(health_index), endpoint_id));
        self.update_with_sums(endpoint_id, |endpoint| {
            endpoint.ejected_rule_sets.retain(|ejected| *ejected != health_index);
            endpoint.ejected_rule_sets.push(health_index);
        });
    }

    /// Applies a list entry to a known endpoint. Returns whether the endpoint is up with another start time than before, which
    /// means a new process.
    pub fn apply_entry(&mut self, now: Nanos, endpoint_id: u32, entry: &ListedEndpoint) -> bool {
        let endpoint = self.get(endpoint_id);
        let restarted = endpoint.started_at != entry.started_at && entry.state == EndpointState::Up;
        if (endpoint.state, endpoint.weight, endpoint.started_at)
            != (entry.state, entry.weight, entry.started_at)
        {
            self.update_with_sums(endpoint_id, |endpoint| {
                (endpoint.state, endpoint.weight, endpoint.started_at) =
                    (entry.state, entry.weight, entry.started_at);
                if restarted {
                    // What is known about the previous process does not apply.
                    endpoint.health.fill(Health::default());
                    endpoint.ejected = false;
                    endpoint.ejected_rule_sets.clear();
                }
            });
            self.update_named_entry(endpoint_id);
            self.reschedule(now, endpoint_id);
            if entry.state == EndpointState::Gone {
                self.gone_ids.insert(endpoint_id);
            }
        }
        restarted
    }

    /// Marks an endpoint as gone because the list no longer contains it.
    pub fn mark_gone(&mut self, now: Nanos, endpoint_id: u32) {
        self.update_with_sums(endpoint_id, |endpoint| endpoint.state = EndpointState::Gone);
        self.update_named_entry(endpoint_id);
        self.reschedule(now, endpoint_id);
        self.gone_ids.insert(endpoint_id);
    }

    /// Adds an endpoint, whose first turn comes after the given fraction of a stride.
    pub fn add_endpoint(&mut self, now: Nanos, entry: &ListedEndpoint, start_phase: f64) -> u32 {
        let site_index = self.sites.iter().position(|site| site.name == entry.site).unwrap_or_else(|| {
            let site = Site {
                name: entry.site.clone(),
                members: Vec::new(),
                up_count: 0,
                usable_count: 0,
                last_response_at: 0,
                losses: 0,
                loss_reset_count: 0,
            };
            // Reuses the place of a site that has lost its last endpoint.
            match self.sites.iter().position(|site| site.members.is_empty()) {
                Some(at) => {
                    self.sites[at] = site;
                    at
                }
                None => {
                    self.sites.push(site);
                    self.sites.len() - 1
                }
            }
        });
        let endpoint = Endpoint {
            name: entry.name.clone(),
            weight: entry.weight,
            subset_weight: 0.0,
            site_index: site_index as u32,
            cell: entry.cell,
            state: entry.state,
            started_at: entry.started_at,
            in_flight: Vec::new(),
            in_flight_time: SlidingWindow::new(MEAN_LOAD_WINDOW),
            completions: SlidingWindow::new(COMPLETION_WINDOW),
            recent_completions: 0,
            added_at: now,
            consecutive_refusals: 0,
            last_response_at: 0,
            last_used_at: 0,
            idle_closed_at: 0,
            completed_bucket: 0,
            loss_reset_count: 0,
            losses: 0,
            health: vec![Health::default(); self.ejected_counts.len()],
            slow_start_budget: 0.0,
            budget_updated_at: now,
            budget_accepted: 0.0,
            reported_load: 0.0,
            reported_at: 0,
            current_weight: (1.0 - start_phase) * entry.weight,
            start_phase,
            subset_entry: StrideEntry::UNSCHEDULED,
            outside_entry: StrideEntry::UNSCHEDULED,
            scheduled_ramp: 1.0,
            ramp_deduction: 0.0,
            ejected: false,
            unresponsive: false,
            has_fresh_report: false,
            ejected_rule_sets: Vec::new(),
        };
        let endpoint_id = self.free_ids.pop().unwrap_or(self.endpoints.len() as u32);
        match self.endpoints.get_mut(endpoint_id as usize) {
            Some(slot) => *slot = endpoint,
            None => self.endpoints.push(endpoint),
        }
        self.ids_by_name.insert(entry.name.clone(), endpoint_id);
        self.sites[site_index].members.push(endpoint_id);
        self.members_by_cell.entry(entry.cell).or_default().push(endpoint_id);
        self.add_to_sums(endpoint_id, 1);
        self.update_named_entry(endpoint_id);
        self.unscheduled_ids.push(endpoint_id);
        if entry.state == EndpointState::Gone {
            self.gone_ids.insert(endpoint_id);
        }
        endpoint_id
    }

    /// Adds or updates the endpoint in the list sorted by name.
    fn update_named_entry(&mut self, endpoint_id: u32) {
        let (endpoints, endpoint) = (&self.endpoints, &self.endpoints[endpoint_id as usize]);
        let weight = if endpoint.state == EndpointState::Up { endpoint.weight } else { 0.0 };
        let at = self
            .by_name
            .binary_search_by(|entry| endpoints[entry.endpoint_id as usize].name.cmp(&endpoint.name));
        match at {
            Ok(at) => self.by_name[at].weight = weight,
            Err(at) => self.by_name.insert(at, NamedEntry { endpoint_id, weight, subset_weight: 0.0 }),
        }
    }

    /// Removes the endpoints that are gone and have nothing in flight.
    pub fn remove_drained(&mut self, now: Nanos) {
        let mut removed = BTreeSet::new();
        for endpoint_id in std::mem::take(&mut self.gone_ids) {
            if self.get(endpoint_id).state != EndpointState::Gone {
                continue;
            }
            if !self.get(endpoint_id).in_flight.is_empty() {
                self.gone_ids.insert(endpoint_id);
                continue;
            }
            self.reschedule(now, endpoint_id);
            self.add_to_sums(endpoint_id, -1);
            let endpoint = self.get(endpoint_id);
            let (name, cell) = (endpoint.name.clone(), endpoint.cell);
            let (loss_reset_count, losses) = (endpoint.loss_reset_count, endpoint.losses);
            let site = self.site_mut(endpoint_id);
            site.members.retain(|member| *member != endpoint_id);
            site.losses -= if loss_reset_count == site.loss_reset_count { losses } else { 0 };
            if let Some(members) = self.members_by_cell.get_mut(&cell) {
                members.retain(|member| *member != endpoint_id);
                if members.is_empty() {
                    self.members_by_cell.remove(&cell);
                }
            }
            self.unresponsive_ids.remove(&endpoint_id);
            self.ids_by_name.remove(&name);
            self.free_ids.push(endpoint_id);
            removed.insert(endpoint_id);
        }
        if !removed.is_empty() {
            self.by_name.retain(|entry| !removed.contains(&entry.endpoint_id));
        }
    }

    /// Counts the listed endpoints and those of them that get no requests now because they are draining or ejected. Endpoints that are gone but have
    /// dispatches in flight are not listed.
    pub fn count_endpoints(&self) -> EndpointCounts {
        let listed = self.ids_by_name.len() - self.gone_ids.len().min(self.ids_by_name.len());
        EndpointCounts { listed, avoided: listed - self.usable_count.min(listed) }
    }

    /// The ids of the known endpoints, in the order of their names.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        self.by_name.iter().map(|entry| entry.endpoint_id)
    }

    /// Sets the subset to a range of the endpoints, in the order of their names. The range begins after the fraction `start` of
    /// all weight, has the fraction `share` of it, and wraps around at the end. New endpoints are scheduled from now on.
    pub fn set_subset(&mut self, now: Nanos, start: f64, share: f64) {
        let whole = share >= 1.0;
        let total: f64 = if whole { 0.0 } else { self.by_name.iter().map(|entry| entry.weight).sum() };
        let (start, length) = (start * total, share * total);
        let (mut at, mut changed) = (0.0, Vec::new());
        for entry in &mut self.by_name {
            let weight = entry.weight;
            let overlap = |a: f64, b: f64| (b.min(at + weight) - a.max(at)).max(0.0);
            let in_subset =
                || overlap(start, start + length) + overlap(start - total, start + length - total);
            let subset_weight = if whole { weight } else { in_subset() };
            at += weight;
            if subset_weight != entry.subset_weight {
                entry.subset_weight = subset_weight;
                changed.push((entry.endpoint_id, subset_weight));
            }
        }
        for (endpoint_id, subset_weight) in changed {
            self.update_with_sums(endpoint_id, |endpoint| endpoint.subset_weight = subset_weight);
            self.reschedule(now, endpoint_id);
        }
        for endpoint_id in std::mem::take(&mut self.unscheduled_ids) {
            if self.get(endpoint_id).subset_weight <= 0.0 {
                self.reschedule(now, endpoint_id);
            }
        }
        let endpoints = &mut self.endpoints;
        self.subset.rebase(
            endpoints
                .iter_mut()
                .enumerate()
                .map(|(endpoint_id, endpoint)| (endpoint_id as u32, &mut endpoint.subset_entry)),
        );
        self.outside_subset.rebase(
            endpoints
                .iter_mut()
                .enumerate()
                .map(|(endpoint_id, endpoint)| (endpoint_id as u32, &mut endpoint.outside_entry)),
        );
    }

    /// The means that the load of an endpoint is compared with.
    pub fn mean_loads(&self, now: Nanos) -> MeanLoads {
        let (weight, reported) =
            (from_fixed_point(self.usable_subset_weight), from_fixed_point(self.fresh_report_weight_sum));
        let ages = self.uncapped_count * i128::from(now) - self.uncapped_sent_at_sum
            + self.capped_count * i128::from(MEAN_LOAD_WINDOW);
        let mean_in_flight = (self.in_flight_time.sum(now) + ages as f64) / MEAN_LOAD_WINDOW as f64;
        let per_weight = |sum: f64, weight: f64| if weight > 0.0 { sum / weight } else { 0.0 };
        MeanLoads {
            mean_in_flight: per_weight(mean_in_flight, weight),
            current_in_flight: per_weight(self.subset_in_flight_count as f64, weight),
            reported_load: per_weight(self.fresh_report_load_sum, reported),
        }
    }

    /// The sum of the concurrency limits of the responsive endpoints in the subset. Each limit is what the endpoint completes
    /// within the latency limit, and at least `floor`, which is per endpoint.
    pub fn concurrency_limit(&mut self, now: Nanos, latency_limit_s: f64, floor: f64) -> f64 {
        let completion_window = &self.completion_window;
        let from = self.rates_counted_from;
        let scale = |added_at: Nanos| {
            move |count: f64| {
                completion_window.to_rate_per_s(count, now, added_at.max(from)) * latency_limit_s
            }
        };
        let established = self.completions_of_established.sum_with_floor(scale(0), floor);
        let recently_added = self
            .completions_of_recently_added
            .iter_mut()
            .map(|(added_at, counts)| counts.sum_with_floor(scale(*added_at), floor));
        established + recently_added.sum::<f64>()
    }

    /// Leaves a pause without requests out of the time over which completions are counted.
    pub fn exclude_pause(&mut self, now: Nanos, pause: Nanos) {
        self.rates_counted_from = now - COMPLETION_WINDOW.saturating_sub(pause).min(now);
    }

    /// The requests that an endpoint completes per second.
    pub fn completions_per_s(&self, now: Nanos, endpoint: &Endpoint) -> f64 {
        self.completion_window.to_rate_per_s(
            f64::from(endpoint.recent_completions),
            now,
            endpoint.added_at.max(self.rates_counted_from),
        )
    }

    /// The weight in the subset, reduced by ramps.
    pub fn ramped_weight(&self) -> f64 {
        from_fixed_point(self.usable_subset_weight) - self.ramp_deductions
    }
}

impl Endpoint {
    pub fn is_usable(&self) -> bool {
        self.state == EndpointState::Up && !self.ejected
    }

    /// Usable, and in the subset.
    fn is_in_subset(&self) -> bool {
        self.is_usable() && self.subset_weight > 0.0
    }

    /// The mean number of requests in flight over [`MEAN_LOAD_WINDOW`].
    pub fn mean_in_flight(&self, now: Nanos) -> f64 {
        let running: f64 =
            self.in_flight.iter().map(|dispatch| (now - dispatch.sent_at).min(MEAN_LOAD_WINDOW) as f64).sum();
        (self.in_flight_time.sum(now) + running) / MEAN_LOAD_WINDOW as f64
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// The latency limit and the floor for which the sum of the concurrency limits is compared.
    const LATENCY_LIMIT_S: f64 = 0.7;
    const LIMIT_FLOOR: f64 = 0.4;

    /// An event at the endpoint with this number.
    #[derive(Clone, Debug)]
    enum Event {
        List { number: u8, state: u8, weight: u8, is_in_slow_start: bool },
        Send(u8),
        End(u8, bool),
        Eject(u8, u16),
        EjectFromRuleSet(u8, u8, u16),
        Report(u8, u8),
        SetUnresponsive(u8, bool),
        SetSubset(u8, u8),
        AdvanceTime(u16),
    }

    fn events() -> impl Strategy<Value = Vec<Event>> {
        let event = prop_oneof![
            (0..12u8, 0..4u8, 0..4u8, any::<bool>()).prop_map(|(number, state, weight, is_in_slow_start)| {
                Event::List { number, state, weight, is_in_slow_start }
            }),
            (0..12u8).prop_map(Event::Send),
            (0..12u8, any::<bool>()).prop_map(|(n, done)| Event::End(n, done)),
            (0..12u8, 0..6_000u16).prop_map(|(n, ms)| Event::Eject(n, ms)),
            (0..12u8, 1..3u8, 0..6_000u16).prop_map(|(n, set, ms)| Event::EjectFromRuleSet(n, set, ms)),
            (0..12u8, 0..9u8).prop_map(|(n, value)| Event::Report(n, value)),
            (0..12u8, any::<bool>()).prop_map(|(n, unresponsive)| Event::SetUnresponsive(n, unresponsive)),
            (0..10u8, 1..11u8).prop_map(|(from, part)| Event::SetSubset(from, part)),
            (0..3_000u16).prop_map(Event::AdvanceTime),
        ];
        prop::collection::vec(event, 1..200)
    }

    fn entry(number: u8, state: u8, weight: u8, started_at: Option<Nanos>) -> ListedEndpoint {
        ListedEndpoint {
            name: format!("endpoint-{number}").into(),
            state: [EndpointState::Up, EndpointState::Up, EndpointState::Draining, EndpointState::Gone]
                [usize::from(state)],
            started_at,
            weight: [1.0, 0.25, 1e9, 1e-6][usize::from(weight)],
            site: format!("site-{}", number % 3).into(),
            cell: u64::from(number % 2),
        }
    }

    fn apply(endpoint_set: &mut EndpointSet, now: &mut Nanos, id: &mut u64, event: Event) {
        endpoint_set.advance_to(*now);
        let endpoint_id =
            |endpoint_set: &EndpointSet, number: u8| endpoint_set.find_id(&format!("endpoint-{number}"));
        match event {
            Event::List { number, state, weight, is_in_slow_start } => {
                let entry = entry(number, state, weight, is_in_slow_start.then_some(*now));
                match endpoint_id(endpoint_set, number) {
                    Some(endpoint_id) => drop(endpoint_set.apply_entry(*now, endpoint_id, &entry)),
                    None => drop(endpoint_set.add_endpoint(*now, &entry, 0.5)),
                }
                endpoint_set.remove_drained(*now);
                endpoint_set.set_subset(*now, 0.3, 0.4);
            }
            Event::Send(number) => {
                if let Some(endpoint_id) = endpoint_id(endpoint_set, number) {
                    *id += 1;
                    endpoint_set.record_send(*now, endpoint_id, *id, 0, 0);
                    if endpoint_set.get(endpoint_id).state == EndpointState::Up {
                        endpoint_set.take_turn(*now, endpoint_id, &[]);
                    }
                }
            }
            Event::End(number, done) => {
                if let Some(endpoint_id) = endpoint_id(endpoint_set, number)
                    && let Some(slot) =
                        endpoint_set.get(endpoint_id).in_flight.first().map(|dispatch| dispatch.slot)
                {
                    let id = endpoint_set.in_flight.get(slot).request_id;
                    endpoint_set.record_end(*now, endpoint_id, id, 0, done);
                }
            }
            Event::Eject(number, ms) => {
                if let Some(endpoint_id) = endpoint_id(endpoint_set, number) {
                    let until = *now + u64::from(ms) * MILLISECOND;
                    endpoint_set.get_mut(endpoint_id).health[OVERALL_HEALTH].ejected_until = until;
                    endpoint_set.eject_endpoint(*now, endpoint_id, until);
                }
            }
            Event::EjectFromRuleSet(number, set, ms) => {
                if let Some(endpoint_id) = endpoint_id(endpoint_set, number) {
                    let until = *now + u64::from(ms) * MILLISECOND;
                    endpoint_set.get_mut(endpoint_id).health[usize::from(set)].ejected_until = until;
                    endpoint_set.eject_from_rule_set(endpoint_id, usize::from(set), until);
                }
            }
            Event::Report(number, value) => {
                if let Some(endpoint_id) = endpoint_id(endpoint_set, number) {
                    endpoint_set.record_load_report(*now, endpoint_id, f64::from(value));
                }
            }
            Event::SetUnresponsive(number, unresponsive) => {
                if let Some(endpoint_id) = endpoint_id(endpoint_set, number) {
                    endpoint_set
                        .update_with_sums(endpoint_id, |endpoint| endpoint.unresponsive = unresponsive);
                }
            }
            Event::SetSubset(from, part) => {
                endpoint_set.set_subset(*now, f64::from(from) / 10.0, f64::from(part) / 10.0);
            }
            Event::AdvanceTime(ms) => *now += u64::from(ms) * MILLISECOND,
        }
        endpoint_set.advance_to(*now);
    }

    /// Compares every sum with one computed from the endpoints.
    fn check_sums(endpoint_set: &mut EndpointSet, now: Nanos) -> Result<(), TestCaseError> {
        let known: Vec<u32> = endpoint_set.ids().collect();
        let endpoints = || known.iter().map(|endpoint_id| endpoint_set.get(*endpoint_id));
        for endpoint in endpoints() {
            let ejected = endpoint.health[OVERALL_HEALTH].ejected_until > now;
            prop_assert_eq!(endpoint.ejected, ejected, "{} ejected", endpoint.name);
            prop_assert_eq!(
                endpoint.has_fresh_report,
                endpoint.reported_at > 0 && now < endpoint.reported_at + LOAD_REPORT_LIFETIME
            );
            prop_assert_eq!(
                endpoint.subset_entry.weight > 0.0,
                endpoint.state == EndpointState::Up && endpoint.subset_weight > 0.0
            );
            prop_assert_eq!(
                endpoint.outside_entry.weight > 0.0,
                endpoint.state == EndpointState::Up && endpoint.subset_weight <= 0.0
            );
        }
        let per_weight = |sum: f64, weight: f64| if weight > 0.0 { sum / weight } else { 0.0 };
        let in_subset = || endpoints().filter(|endpoint| endpoint.is_in_subset());
        let weight: f64 = in_subset().map(|endpoint| endpoint.subset_weight).sum();
        let reporting = || endpoints().filter(|endpoint| endpoint.is_usable() && endpoint.has_fresh_report);
        let means = endpoint_set.mean_loads(now);
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-6 * (a.abs() + b.abs()) + 1e-9;
        let mean_in_flight =
            per_weight(in_subset().map(|endpoint| endpoint.mean_in_flight(now)).sum(), weight);
        prop_assert!(
            close(means.mean_in_flight, mean_in_flight),
            "mean_in_flight {} {}",
            means.mean_in_flight,
            mean_in_flight
        );
        let current_in_flight =
            per_weight(in_subset().map(|endpoint| endpoint.in_flight.len() as f64).sum(), weight);
        prop_assert!(
            close(means.current_in_flight, current_in_flight),
            "current_in_flight {} {}",
            means.current_in_flight,
            current_in_flight
        );
        let reported = per_weight(
            reporting().map(|endpoint| endpoint.reported_load).sum(),
            reporting().map(|endpoint| endpoint.weight).sum(),
        );
        prop_assert!(close(means.reported_load, reported), "reported {} {}", means.reported_load, reported);
        let responsive = || in_subset().filter(|endpoint| !endpoint.unresponsive);
        let limit: f64 = responsive()
            .map(|endpoint| endpoint_set.completions_per_s(now, endpoint) * LATENCY_LIMIT_S)
            .map(|limit| limit.max(LIMIT_FLOOR))
            .sum();
        let in_flight: i64 = responsive().map(|endpoint| endpoint.in_flight.len() as i64).sum();
        prop_assert_eq!(endpoint_set.responsive_in_flight, in_flight);
        let rates = responsive()
            .all(|endpoint| f64::from(endpoint.recent_completions) == endpoint.completions.count(now));
        prop_assert!(rates, "completions outlive their window");
        for set in 1..3 {
            let ejected = endpoints()
                .filter(|endpoint| endpoint.is_usable() && endpoint.health[set].ejected_until > now)
                .count();
            prop_assert_eq!(endpoint_set.ejected_counts[set], ejected, "ejected from set {}", set);
        }
        prop_assert_eq!(
            endpoint_set.usable_count,
            endpoints().filter(|endpoint| endpoint.is_usable()).count()
        );
        for site in &endpoint_set.sites {
            let of =
                |endpoint: &&Endpoint| endpoint_set.sites[endpoint.site_index as usize].name == site.name;
            prop_assert_eq!(
                site.up_count,
                endpoints().filter(of).filter(|endpoint| endpoint.state == EndpointState::Up).count()
            );
            prop_assert_eq!(
                site.usable_count,
                endpoints().filter(of).filter(|endpoint| endpoint.is_usable()).count()
            );
        }
        let summed = endpoint_set.concurrency_limit(now, LATENCY_LIMIT_S, LIMIT_FLOOR);
        prop_assert!(close(summed, limit), "concurrency limit {summed} {limit}");
        Ok(())
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn sums_match_a_recount_after_any_events(events in events()) {
            let (mut now, mut id) = (1_000 * SECOND, 0);
            let mut endpoint_set = EndpointSet::new(now, 2, 20 * SECOND, 0.2);
            for event in events {
                apply(&mut endpoint_set, &mut now, &mut id, event);
                check_sums(&mut endpoint_set, now)?;
            }
        }
    }

    #[test]
    fn endpoints_that_come_and_go_leave_no_state_behind() {
        let mut now = 1_000 * SECOND;
        let mut endpoint_set = EndpointSet::new(now, 2, 20 * SECOND, 0.2);
        let listed = |number: u32, state| ListedEndpoint {
            name: format!("endpoint-{number}").into(),
            state,
            started_at: None,
            weight: 1.0,
            site: format!("site-{}", number / 1_000).into(),
            cell: u64::from(number / 100),
        };
        for number in 0..2_000 {
            endpoint_set.add_endpoint(now, &listed(number, EndpointState::Up), 0.5);
        }
        for number in 0..10_000u32 {
            now += 10 * MILLISECOND;
            endpoint_set.advance_to(now);
            endpoint_set.add_endpoint(now, &listed(number + 2_000, EndpointState::Up), 0.5);
            let endpoint_id = endpoint_set.find_id(&format!("endpoint-{number}")).expect("listed");
            endpoint_set.record_send(now, endpoint_id, u64::from(number), 0, 0);
            endpoint_set.record_load_report(now, endpoint_id, 1.0);
            endpoint_set.record_end(now, endpoint_id, u64::from(number), 0, true);
            endpoint_set.eject_endpoint(now, endpoint_id, now + SECOND);
            endpoint_set.apply_entry(now, endpoint_id, &listed(number, EndpointState::Gone));
            endpoint_set.remove_drained(now);
        }
        endpoint_set.set_subset(now, 0.0, 1.0);
        assert!(endpoint_set.endpoints.len() <= 2_001, "{} slots", endpoint_set.endpoints.len());
        assert!(endpoint_set.sites.len() <= 4 && endpoint_set.members_by_cell.len() <= 101);
        assert!(
            endpoint_set.timers.len() <= 1_000
                && endpoint_set.completed_by_bucket.iter().flatten().count() <= 1_000
        );
        assert_eq!(
            (endpoint_set.up_count, endpoint_set.subset.len(), endpoint_set.ids_by_name.len()),
            (2_000, 2_000, 2_000)
        );
        let all: Vec<u32> = endpoint_set.ids().collect();
        for endpoint_id in all {
            endpoint_set.mark_gone(now, endpoint_id);
        }
        endpoint_set.remove_drained(now);
        now += 10 * SECOND;
        endpoint_set.advance_to(now);
        let empty = (
            endpoint_set.up_count,
            endpoint_set.usable_subset_weight,
            endpoint_set.subset_in_flight_count,
            endpoint_set.uncapped_count,
            endpoint_set.capped_count,
        );
        assert_eq!(empty, (0, 0, 0, 0, 0));
        assert!(
            endpoint_set.timers.is_empty()
                && endpoint_set.ids_by_name.is_empty()
                && endpoint_set.subset.is_empty()
        );
    }
}
