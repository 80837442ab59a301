//! Admission control of an inbound proxy: which requests run at its upstream, wait in the queue or are rejected.
//!
//! [`AdmissionQueue::request_admission`] admits a request, queues it or rejects it; [`AdmissionQueue::release`] records
//! the end of a run, after which [`AdmissionQueue::admit_next`] returns the next queued request that may run.
//!
//! Nested calls are admitted first: each holds up a run at another upstream, whose work is lost if the call fails.
//! Other requests are admitted by earliest latency target. Requests that can't meet their target come last; they are
//! queued only if the queue is empty or their session is bound to this upstream.
//!
//! A member's requests use at most the member's share of the concurrency limit and of the queue. Requests that wait for
//! their member's share do not block others, run times are averaged per member, and capacity that a member does not use
//! is available to all.
//!
//! Invariants: the number of admitted requests never exceeds the concurrency limit; a request that is unlikely to be
//! answered in time is not queued ahead of requests that can be.

use std::collections::{HashMap, VecDeque};

use ochreshed_catalog::configuration::Name;
use ochreshed_consensus::core::Nanos;

/// The weight of one run in the moving average of run times.
const RUN_TIME_GAIN: f64 = 0.05;
/// A queued request is admitted only if at least this much time is left until its deadline.
const MIN_TIME_LEFT: Nanos = 15_000_000;
/// The maximum length of the queue, as a multiple of the concurrency limit.
const MAX_QUEUE_FACTOR: u32 = 3;
/// The maximum length of the queue including requests that wait for their members' shares, as a multiple of
/// [`MAX_QUEUE_FACTOR`] times the concurrency limit.
const MAX_SHARED_QUEUE_FACTOR: u32 = 2;
/// Above this number of members, the state of members without running or queued requests is dropped.
const MAX_MEMBERS: usize = 64;

/// The properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Whether a run at another upstream waits for the response.
    pub is_nested: bool,
    /// The number of inbound proxies that have already rejected the request.
    pub rejections: u32,
    /// Whether the request's session is bound to this upstream, so that waiting is better than another upstream.
    pub has_affinity: bool,
    /// The time by which the response should be sent.
    pub target: Nanos,
    /// The time at which the client stops waiting.
    pub deadline: Nanos,
}

/// The order in which queued requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueOrder {
    priority: Priority,
    /// The time by which the response is due; the earliest is admitted first.
    due_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    Nested,
    InTime,
    /// The latency target can't be met.
    Late,
}

/// The result of a request for admission.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The request is queued until this time at the latest.
    Queued(Nanos),
    /// The request is neither admitted nor queued.
    Rejected,
}

/// A member with its share of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberShare {
    /// The member's name.
    pub member: Name,
    /// The share of the concurrency limit and of the queue, from 0 to 1. It is rounded up and allows at least one
    /// request.
    pub share: f64,
}

/// Returns the share of `total`, rounded up and at least 1.
fn round_up_share(total: u32, share: f64) -> u32 {
    // Floating-point products such as a third of three can be slightly above the exact whole number.
    const TOLERANCE: f64 = 1e-9;
    let part = (f64::from(total) * share - TOLERANCE).ceil();
    if part >= 1.0 { (part as u32).min(total.max(1)) } else { 1 }
}

struct QueuedRequest<T> {
    order: QueueOrder,
    /// The request is no longer admitted after this time.
    expires_at: Nanos,
    member: Option<Name>,
    waiter: T,
}

#[derive(Clone, Copy)]
struct MemberState {
    share: f64,
    in_flight: u32,
    /// The mean run time of the member's requests, in seconds.
    mean_run_s: f64,
}

/// The position of a request in the queue and the time until which it may wait.
struct QueuePosition {
    order: QueueOrder,
    expires_at: Nanos,
}

/// The lengths of the queue as seen by a new request.
#[derive(Default)]
struct QueueLengths {
    /// The requests that do not wait for their member's share.
    total: u32,
    /// The requests of `total` that would be admitted before the new one.
    ahead: u32,
    /// The requests of the same member as the new one.
    of_member: u32,
    /// The requests of `of_member` that would be admitted before the new one.
    of_member_ahead: u32,
}

/// The admitted and queued requests of one upstream. `T` is the caller's data for a queued request.
pub struct AdmissionQueue<T> {
    concurrency_limit: u32,
    in_flight: u32,
    /// In order of admission.
    queue: VecDeque<QueuedRequest<T>>,
    /// The mean run time, in seconds.
    mean_run_s: f64,
    members: HashMap<Name, MemberState>,
}

impl<T> Default for AdmissionQueue<T> {
    fn default() -> AdmissionQueue<T> {
        AdmissionQueue {
            concurrency_limit: 0,
            in_flight: 0,
            queue: VecDeque::new(),
            mean_run_s: 0.0,
            members: HashMap::new(),
        }
    }
}

impl<T> AdmissionQueue<T> {
    /// Sets the concurrency limit. After an increase, call [`AdmissionQueue::admit_next`] to admit queued requests.
    pub fn set_limit(&mut self, concurrency_limit: u32) {
        self.concurrency_limit = concurrency_limit;
    }

    /// Admits, queues or rejects a request on one of the platform's own routes. `waiter` is called if it is queued.
    pub fn request_admission(
        &mut self,
        now: Nanos,
        request: &AdmissionRequest,
        waiter: impl FnOnce() -> T,
    ) -> Admission {
        self.request_member_admission(now, request, None, waiter)
    }

    /// Admits, queues or rejects a request on a member's route, or on one of the platform's own if `share` is `None`.
    pub fn request_member_admission(
        &mut self,
        now: Nanos,
        request: &AdmissionRequest,
        share: Option<&MemberShare>,
        waiter: impl FnOnce() -> T,
    ) -> Admission {
        let member = share.map(|share| self.update_member(share));
        if self.can_run_now(now, request, member) {
            self.admit(share.map(|share| &share.member));
            return Admission::Admitted;
        }
        let name = share.map(|share| &share.member);
        let Some(position) = self.queue_position(now, request, name, member) else {
            return Admission::Rejected;
        };
        let QueuePosition { order, expires_at } = position;
        let index = self.queue.partition_point(|queued| queued.order <= order);
        let queued = QueuedRequest { order, expires_at, member: name.cloned(), waiter: waiter() };
        self.queue.insert(index, queued);
        Admission::Queued(expires_at)
    }

    fn can_run_now(&self, now: Nanos, request: &AdmissionRequest, member: Option<MemberState>) -> bool {
        let mean_run_s = member.map_or(self.mean_run_s, |member| member.mean_run_s);
        let is_late = !request.is_nested && now + nanos(mean_run_s) > request.target;
        // One slot is kept free of late requests for those that can still meet their target.
        let reserved = u32::from(is_late && self.concurrency_limit > 1);
        self.in_flight < self.concurrency_limit.saturating_sub(reserved)
            && member.is_none_or(|member| self.free_member_slots(&member) > 0)
            && !self.queue.iter().any(|queued| self.may_admit(queued))
    }

    /// Updates a member's share and returns its state.
    fn update_member(&mut self, share: &MemberShare) -> MemberState {
        if self.members.len() > MAX_MEMBERS && !self.members.contains_key(&share.member) {
            self.drop_inactive_members();
        }
        let new = MemberState { share: share.share, in_flight: 0, mean_run_s: self.mean_run_s };
        let member = self.members.entry(share.member.clone()).or_insert(new);
        member.share = share.share;
        *member
    }

    fn drop_inactive_members(&mut self) {
        let queue = &self.queue;
        let is_queued = |name: &Name| queue.iter().any(|queued| queued.member.as_ref() == Some(name));
        self.members.retain(|name, member| member.in_flight > 0 || is_queued(name));
    }

    /// The number of further requests of a member that may run.
    fn free_member_slots(&self, member: &MemberState) -> u32 {
        round_up_share(self.concurrency_limit, member.share).saturating_sub(member.in_flight)
    }

    /// Whether a queued request may run as far as its member's share is concerned.
    fn may_admit(&self, queued: &QueuedRequest<T>) -> bool {
        let member = queued.member.as_ref().and_then(|name| self.members.get(name));
        member.is_none_or(|member| self.free_member_slots(member) > 0)
    }

    fn admit(&mut self, member: Option<&Name>) {
        self.in_flight += 1;
        if let Some(member) = member.and_then(|name| self.members.get_mut(name)) {
            member.in_flight += 1;
        }
    }

    fn queue_lengths(&self, order: QueueOrder, member: Option<&Name>) -> QueueLengths {
        let ahead = self.queue.partition_point(|queued| queued.order <= order);
        if self.members.is_empty() {
            let total = self.queue.len() as u32;
            return QueueLengths { total, ahead: ahead as u32, ..QueueLengths::default() };
        }
        let mut lengths = QueueLengths::default();
        let mut counted: HashMap<&Name, u32> = HashMap::new();
        for (index, queued) in self.queue.iter().enumerate() {
            let is_ahead = u32::from(index < ahead);
            if queued.member.is_some() && queued.member.as_ref() == member {
                lengths.of_member += 1;
                lengths.of_member_ahead += is_ahead;
            }
            if !self.waits_for_share(queued, &mut counted) {
                lengths.total += 1;
                lengths.ahead += is_ahead;
            }
        }
        lengths
    }

    /// Whether a queued request waits for its member's share. `counted` holds the number of requests of each member
    /// that come before it in the queue.
    fn waits_for_share<'q>(
        &self,
        queued: &'q QueuedRequest<T>,
        counted: &mut HashMap<&'q Name, u32>,
    ) -> bool {
        let Some(name) = &queued.member else { return false };
        let Some(member) = self.members.get(name) else { return false };
        let counted = counted.entry(name).or_default();
        *counted += 1;
        *counted > self.free_member_slots(member)
    }

    /// The position of a request in the queue; `None` if it is to be rejected.
    fn queue_position(
        &self,
        now: Nanos,
        request: &AdmissionRequest,
        member_name: Option<&Name>,
        member: Option<MemberState>,
    ) -> Option<QueuePosition> {
        let priority = if request.is_nested { Priority::Nested } else { Priority::InTime };
        let order = QueueOrder { priority, due_at: request.target };
        let lengths = self.queue_lengths(order, member_name);
        if self.is_full(&lengths, member) {
            return None;
        }
        let run_time = nanos(member.map_or(self.mean_run_s, |member| member.mean_run_s));
        let wait = self.expected_wait(lengths.ahead, lengths.of_member_ahead, member);
        let last_start = request.deadline.saturating_sub(MIN_TIME_LEFT);
        if now + wait + run_time <= request.target {
            // The request expires while there is still time to send it to another upstream.
            let expires_at = last_start.min(request.target - run_time);
            let may_wait = self.may_wait_in_time(request, &lengths, member);
            return may_wait.then_some(QueuePosition { order, expires_at });
        }
        let wait = self.expected_wait(lengths.total, lengths.of_member, member);
        let meets_deadline = now + wait + run_time <= last_start;
        let order = QueueOrder { priority: Priority::Late, due_at: request.deadline };
        if request.has_affinity {
            // Half of the remaining time is reserved for an attempt at another upstream.
            let half_time = now + request.deadline.saturating_sub(now) / 2;
            let may_wait = meets_deadline && now + wait <= half_time;
            return may_wait.then_some(QueuePosition { order, expires_at: last_start.min(half_time) });
        }
        let is_alone = lengths.total == 0 && lengths.of_member == 0;
        let may_wait = request.rejections > 0 && is_alone && meets_deadline;
        may_wait.then_some(QueuePosition { order, expires_at: last_start })
    }

    fn is_full(&self, lengths: &QueueLengths, member: Option<MemberState>) -> bool {
        let max_length = self.concurrency_limit.saturating_mul(MAX_QUEUE_FACTOR);
        if lengths.total >= max_length {
            return true;
        }
        member.is_some_and(|member| {
            lengths.of_member >= round_up_share(max_length, member.share)
                || self.queue.len() as u32 >= max_length.saturating_mul(MAX_SHARED_QUEUE_FACTOR)
        })
    }

    /// The expected wait of a request with this number of requests before it, in total and of its member.
    fn expected_wait(&self, ahead: u32, of_member_ahead: u32, member: Option<MemberState>) -> Nanos {
        let release_interval = self.mean_run_time() / Nanos::from(self.concurrency_limit.max(1));
        let wait = Nanos::from(ahead + 1) * release_interval;
        let Some(member) = member else { return wait };
        let releases = (of_member_ahead + 1).saturating_sub(self.free_member_slots(&member));
        let member_limit = round_up_share(self.concurrency_limit, member.share);
        let member_release_interval = nanos(member.mean_run_s) / Nanos::from(member_limit);
        wait.max(Nanos::from(releases) * member_release_interval)
    }

    /// Whether a request that can meet its latency target may be queued here.
    fn may_wait_in_time(
        &self,
        request: &AdmissionRequest,
        lengths: &QueueLengths,
        member: Option<MemberState>,
    ) -> bool {
        // The first inbound proxy rejects most requests because others may have room. After some rejections, another
        // proxy is unlikely to be better.
        let max_ahead = match request.rejections {
            _ if request.is_nested || request.has_affinity => self.concurrency_limit * 2,
            0 | 2 => self.concurrency_limit / 4,
            1 => self.concurrency_limit / 2,
            _ => self.concurrency_limit * 2,
        };
        let member_may_wait = member.is_none_or(|member| {
            lengths.of_member_ahead < max_ahead.min(round_up_share(max_ahead, member.share))
        });
        lengths.ahead < max_ahead && member_may_wait
    }

    /// The moving average of run times.
    pub fn mean_run_time(&self) -> Nanos {
        nanos(self.mean_run_s)
    }

    /// Records the end of a run on one of the platform's own routes. `run_time` is `None` if the run is not
    /// representative of run times.
    pub fn release(&mut self, run_time: Option<Nanos>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        update_mean_run_time(&mut self.mean_run_s, run_time);
    }

    /// Records the end of a run on a member's route. Its run time counts for that member only.
    pub fn release_member(&mut self, member: &Name, run_time: Option<Nanos>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(member) = self.members.get_mut(member) {
            member.in_flight = member.in_flight.saturating_sub(1);
            update_mean_run_time(&mut member.mean_run_s, run_time);
        }
    }

    /// Admits the first queued request that may run, and returns its waiter. Expired requests are dropped; requests
    /// that wait for their member's share are skipped.
    pub fn admit_next(&mut self, now: Nanos) -> Option<T> {
        let mut index = 0;
        while self.in_flight < self.concurrency_limit
            && let Some(queued) = self.queue.get(index)
        {
            if now > queued.expires_at {
                self.queue.remove(index);
            } else if self.may_admit(queued) {
                let queued = self.queue.remove(index)?;
                self.admit(queued.member.as_ref());
                return Some(queued.waiter);
            } else {
                index += 1;
            }
        }
        None
    }

    /// Removes the queued requests for which `is_gone` returns true.
    pub fn remove_waiters(&mut self, is_gone: impl Fn(&T) -> bool) {
        self.queue.retain(|queued| !is_gone(&queued.waiter));
    }

    /// The number of queued requests.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// The number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

fn update_mean_run_time(mean_s: &mut f64, run_time: Option<Nanos>) {
    if let Some(run_time) = run_time {
        *mean_s += (run_time as f64 / 1e9 - *mean_s) * RUN_TIME_GAIN;
    }
}
