//! The metrics of a run: service by half second, time to full service, the load on single servers, connections, calls to
//! discovery, and what the processes used. Calls are assigned to the time for which they were scheduled, never to that of
//! their answer.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hdrhistogram::Histogram;
use ochreshed_emulator::{MS, Nanos, S};
use serde::Serialize;

use crate::audit::{Attempt, Verdict};
use crate::drill_file::Drill;
use crate::event_log::{AttemptOutcome, Event, ProcessChange};
use crate::party::Party;
use crate::runner::Recording;

const HALF_SECOND: Nanos = S / 2;
/// A half second is bad if its service is lower by more than this ratio than before the first fault.
const BAD_SERVICE_DROP_RATIO: f64 = 0.05;
/// A server's load is compared with the mean only in seconds with at least this many dispatches per server; with fewer
/// the difference is chance.
const MIN_MEAN_DISPATCHES_FOR_PEAK: f64 = 8.0;
/// The kernel's clock ticks in `/proc`.
const CPU_TICKS_PER_S: f64 = 100.0;
const MAX_RESPONSE_TIME_US: u64 = 600_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CallCounts {
    #[serde(rename = "asked")]
    pub made: u64,
    /// Calls that succeeded within their response target.
    pub in_target: u64,
}

impl CallCounts {
    /// The share of calls within target; 1 if there were none.
    pub fn service(&self) -> f64 {
        if self.made == 0 { 1.0 } else { self.in_target as f64 / self.made as f64 }
    }

    fn count(&mut self, in_target: bool) {
        self.made += 1;
        self.in_target += u64::from(in_target);
    }
}

/// Resource usage of a balancer's processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessUsage {
    /// Maximum.
    pub memory_kb: u64,
    /// Maximum.
    pub descriptors: u64,
    /// Mean share of a core.
    pub cpu_share: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct ObservedFault {
    #[serde(rename = "what")]
    pub name: String,
    pub at_s: f64,
    /// Set if the fault ended during the drill.
    pub until_s: Option<f64>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Metrics {
    pub calls: u64,
    pub in_target: u64,
    /// Calls that succeeded after their response target.
    pub late: u64,
    /// Calls by the outcome of their last attempt.
    pub denied: u64,
    pub aborted: u64,
    #[serde(rename = "broken")]
    pub connection_lost: u64,
    #[serde(rename = "not_taken")]
    pub not_connected: u64,
    #[serde(rename = "nothing")]
    pub timed_out: u64,
    /// Share of calls within target.
    pub service: f64,
    #[serde(rename = "service_before")]
    pub service_before_faults: f64,
    #[serde(rename = "worst_half_s")]
    pub worst_half_second_service: f64,
    #[serde(rename = "worst_half_at_s")]
    pub worst_half_second_at_s: f64,
    /// From the first fault to the end of the last bad half second; 0 if none was bad.
    #[serde(rename = "full_service_s")]
    pub time_to_full_service_s: f64,
    #[serde(rename = "bad_half_s")]
    pub bad_half_seconds: u64,
    /// From the end of the last fault to that of the last bad half second, if all faults ended during the drill.
    #[serde(rename = "full_service_after_end_s")]
    pub full_service_after_last_fault_s: Option<f64>,
    #[serde(rename = "by_half_s")]
    pub by_half_second: Vec<CallCounts>,
    pub by_zone: BTreeMap<String, CallCounts>,
    pub by_region: BTreeMap<String, CallCounts>,
    pub by_rule_set: BTreeMap<String, CallCounts>,
    #[serde(rename = "zone_by_half_s")]
    pub zone_by_half_second: BTreeMap<String, Vec<CallCounts>>,
    #[serde(rename = "region_by_half_s")]
    pub region_by_half_second: BTreeMap<String, Vec<CallCounts>>,
    #[serde(rename = "rule_set_by_half_s")]
    pub rule_set_by_half_second: BTreeMap<String, Vec<CallCounts>>,
    /// Response time of successful calls, from the time for which they were scheduled.
    pub p50_ms: f64,
    pub p99_ms: f64,
    #[serde(rename = "sends")]
    pub dispatches: u64,
    /// Per request that a balancer took.
    #[serde(rename = "sends_a_req")]
    pub dispatches_per_request: f64,
    /// Share of dispatches to a server of the balancer's own zone.
    #[serde(rename = "near")]
    pub same_zone_share: f64,
    /// Dispatches that a server rejected because it was full, or drained without the balancer's knowledge.
    #[serde(rename = "turned_away")]
    pub rejected_dispatches: u64,
    /// Dispatches that a server answered with another error, or not at all.
    #[serde(rename = "failed_sends")]
    pub failed_dispatches: u64,
    /// The most dispatches to one server in a second, over the mean of the servers that got any.
    pub peak_over_mean: f64,
    pub peak_at_s: f64,
    #[serde(rename = "peak_by_s")]
    pub peak_by_second: Vec<f64>,
    /// Connections opened from balancers to servers.
    pub connections: u64,
    #[serde(rename = "connections_by_s")]
    pub connections_by_second: Vec<u64>,
    #[serde(rename = "list_calls")]
    pub discovery_calls: u64,
    #[serde(rename = "list_calls_by_s")]
    pub discovery_calls_by_second: Vec<u64>,
    /// Mean per balancer.
    #[serde(rename = "fleet_bytes_per_s")]
    pub gossip_bytes_per_s: f64,
    /// Drains and departures of servers of which discovery notified a balancer.
    pub departures: u64,
    /// 99th percentile, over balancers and departures, of the time from the first balancer's notice to the balancer's last
    /// dispatch to that server.
    #[serde(rename = "heeded_by_99_s")]
    pub departure_heeded_p99_s: f64,
    /// Dispatches to such a server more than a second after the first balancer's notice.
    #[serde(rename = "unheeded_sends")]
    pub dispatches_after_departure: u64,
    pub missing: u64,
    #[serde(rename = "lost_with_faults")]
    pub lost_to_faults: u64,
    /// Time from start to ready, of processes started during the drill.
    pub ready_ms_mean: f64,
    #[serde(rename = "ready_ms_most")]
    pub ready_ms_max: f64,
    /// By balancer.
    #[serde(rename = "processes")]
    pub process_usage: Vec<ProcessUsage>,
    #[serde(rename = "memory_kb_most")]
    pub memory_kb_max: u64,
    #[serde(rename = "descriptors_most")]
    pub descriptors_max: u64,
    pub cpu_share_mean: f64,
    #[serde(rename = "cpu_share_most")]
    pub cpu_share_max: f64,
    /// The largest lag of the drill's own tasks.
    #[serde(rename = "lag_ms")]
    pub task_lag_ms: f64,
    pub events_lost: u64,
    pub faults: Vec<ObservedFault>,
}

/// The first and last attempt of a call.
struct Call<'a> {
    first: &'a Attempt,
    last: &'a Attempt,
}

pub fn compute_metrics(
    drill: &Drill,
    recording: &Recording,
    attempts: &[Attempt],
    verdict: &Verdict,
) -> Metrics {
    let mut metrics = Metrics {
        missing: verdict.missing,
        lost_to_faults: verdict.lost_to_faults,
        task_lag_ms: recording.task_lag.iter().max().copied().unwrap_or(0) as f64 / MS as f64,
        events_lost: recording.events_lost,
        gossip_bytes_per_s: recording.gossip_bytes as f64
            / recording.parties.balancers as f64
            / (recording.ended_at.saturating_sub(recording.started_at) as f64 / 1e9).max(1.0),
        ..Metrics::default()
    };
    metrics.compute_service(drill, recording, attempts);
    metrics.collect_faults(recording);
    metrics.compute_recovery(recording);
    metrics.compute_dispatches(recording, attempts);
    metrics.count_connections_and_starts(recording);
    metrics.compute_departures(recording);
    metrics.compute_process_usage(recording);
    metrics
}

/// A server of whose drain or departure a balancer was notified.
struct Departure {
    first_notice_at: Nanos,
    notified: BTreeSet<usize>,
    /// By balancer: time from the first notice to its last dispatch to the server.
    last_dispatch: BTreeMap<usize, Nanos>,
}

impl Metrics {
    /// What one balancer was notified of, all are to heed; only their dispatches show whether they do.
    fn compute_departures(&mut self, recording: &Recording) {
        let mut known: BTreeMap<usize, &Vec<Option<u64>>> = BTreeMap::new();
        let (mut open, mut ended) = (BTreeMap::<usize, Departure>::new(), Vec::new());
        for (at, event) in &recording.entries {
            match event {
                Event::ListDelivered { balancer, serving_since } => {
                    let before = known.insert(*balancer, serving_since);
                    for (server, since) in serving_since.iter().enumerate() {
                        let was_serving =
                            before.and_then(|before| before.get(server).copied().flatten()).is_some();
                        if was_serving && since.is_none() {
                            let new_departure = || Departure {
                                first_notice_at: *at,
                                notified: BTreeSet::new(),
                                last_dispatch: BTreeMap::new(),
                            };
                            open.entry(server).or_insert_with(new_departure).notified.insert(*balancer);
                        } else if since.is_some()
                            && open
                                .get(&server)
                                .is_some_and(|departure| departure.notified.contains(balancer))
                        {
                            ended.extend(open.remove(&server));
                        }
                    }
                }
                Event::DispatchSent { balancer, server, .. } => {
                    if let Some(departure) = open.get_mut(server) {
                        let after = at.saturating_sub(departure.first_notice_at);
                        departure.last_dispatch.insert(*balancer, after);
                        self.dispatches_after_departure += u64::from(after > S);
                    }
                }
                _ => {}
            }
        }
        ended.extend(open.into_values());
        self.departures = ended.len() as u64;
        let last_dispatches = |departure: &Departure| {
            let by_balancer = (0..recording.parties.balancers)
                .map(|balancer| departure.last_dispatch.get(&balancer).copied().unwrap_or(0));
            by_balancer.collect::<Vec<_>>()
        };
        let mut all: Vec<Nanos> = ended.iter().flat_map(last_dispatches).collect();
        all.sort_unstable();
        let rank = (all.len() as f64 * 0.99).ceil() as usize;
        self.departure_heeded_p99_s = all.get(rank.saturating_sub(1)).map_or(0.0, |last| *last as f64 / 1e9);
    }

    fn compute_service(&mut self, drill: &Drill, recording: &Recording, attempts: &[Attempt]) {
        let mut calls: HashMap<u64, Call> = HashMap::new();
        for attempt in attempts {
            calls
                .entry(attempt.id >> 8)
                .and_modify(|call| call.last = attempt)
                .or_insert(Call { first: attempt, last: attempt });
        }
        let half_seconds = ((recording.ended_at - recording.started_at) / HALF_SECOND) as usize;
        self.by_half_second = vec![CallCounts::default(); half_seconds];
        let mut response_times_us: Histogram<u64> =
            Histogram::new_with_bounds(1, MAX_RESPONSE_TIME_US, 3).unwrap_or_else(|_| default_histogram());
        for Call { first, last } in calls.values() {
            let rule_set = &drill.rule_sets[first.rule_set];
            let (zone, parties) = (recording.parties.zone(first.balancer), &recording.parties);
            let succeeded = last.ended.as_ref().filter(|(_, outcome)| *outcome == AttemptOutcome::Succeeded);
            let response_time = succeeded.map(|(at, _)| at.saturating_sub(first.intended_at));
            let in_target = response_time.is_some_and(|time| time <= rule_set.response_target);
            let count = move |counts: &mut CallCounts| counts.count(in_target);
            let half_second = (first.intended_at.saturating_sub(recording.started_at) / HALF_SECOND) as usize;
            self.by_half_second.get_mut(half_second).into_iter().for_each(count);
            let groups = [
                (&parties.zones[zone][..], &mut self.by_zone, &mut self.zone_by_half_second),
                (parties.region(zone), &mut self.by_region, &mut self.region_by_half_second),
                (&rule_set.name, &mut self.by_rule_set, &mut self.rule_set_by_half_second),
            ];
            for (name, totals, by_half_second) in groups {
                count(totals.entry(name.to_owned()).or_default());
                let by_half_second = by_half_second
                    .entry(name.to_owned())
                    .or_insert_with(|| vec![CallCounts::default(); half_seconds]);
                by_half_second.get_mut(half_second).into_iter().for_each(count);
            }
            self.calls += 1;
            self.in_target += u64::from(in_target);
            if let Some(time) = response_time {
                response_times_us.saturating_record(time / 1_000);
                self.late += u64::from(!in_target);
            }
            match last.ended.as_ref().map(|(_, outcome)| outcome) {
                Some(AttemptOutcome::Succeeded) => {}
                Some(AttemptOutcome::Denied) => self.denied += 1,
                Some(AttemptOutcome::Aborted) => self.aborted += 1,
                Some(AttemptOutcome::ConnectionLost) => self.connection_lost += 1,
                Some(AttemptOutcome::NotConnected) => self.not_connected += 1,
                Some(AttemptOutcome::TimedOut) | None => self.timed_out += 1,
            }
        }
        self.service = CallCounts { made: self.calls, in_target: self.in_target }.service();
        self.p50_ms = response_times_us.value_at_quantile(0.5) as f64 / 1e3;
        self.p99_ms = response_times_us.value_at_quantile(0.99) as f64 / 1e3;
    }

    fn collect_faults(&mut self, recording: &Recording) {
        let mut positions: HashMap<usize, usize> = HashMap::new();
        for (time, event) in &recording.entries {
            let Event::Fault { index, begins, name } = event else { continue };
            if *begins {
                positions.insert(*index, self.faults.len());
                let at_s = recording.seconds(*time);
                self.faults.push(ObservedFault { name: name.clone(), at_s, until_s: None });
            } else if let Some(fault) =
                positions.get(index).and_then(|position| self.faults.get_mut(*position))
            {
                fault.until_s = Some(recording.seconds(*time));
            }
        }
    }

    fn compute_recovery(&mut self, recording: &Recording) {
        let end_s = |half_second: usize| (half_second + 1) as f64 / 2.0;
        let first_fault_s = self.faults.iter().map(|fault| fault.at_s).fold(f64::INFINITY, f64::min);
        let before = self
            .by_half_second
            .iter()
            .enumerate()
            .filter(|(half_second, _)| end_s(*half_second) <= first_fault_s);
        let total_before = before.fold(CallCounts::default(), |sum, (_, counts)| CallCounts {
            made: sum.made + counts.made,
            in_target: sum.in_target + counts.in_target,
        });
        self.service_before_faults = total_before.service();
        let is_bad = |counts: &CallCounts| {
            counts.service() < (1.0 - BAD_SERVICE_DROP_RATIO) * self.service_before_faults
        };
        let worst =
            self.by_half_second.iter().enumerate().min_by(|a, b| a.1.service().total_cmp(&b.1.service()));
        (self.worst_half_second_at_s, self.worst_half_second_service) =
            worst.map_or((0.0, 1.0), |(half_second, counts)| (end_s(half_second) - 0.5, counts.service()));
        if self.faults.is_empty() {
            return;
        }
        let after: Vec<usize> = (0..self.by_half_second.len())
            .filter(|half_second| end_s(*half_second) > first_fault_s)
            .collect();
        let bad: Vec<usize> =
            after.into_iter().filter(|half_second| is_bad(&self.by_half_second[*half_second])).collect();
        self.bad_half_seconds = bad.len() as u64;
        let last_bad_s = bad.last().map(|half_second| end_s(*half_second));
        self.time_to_full_service_s = last_bad_s.map_or(0.0, |last| (last - first_fault_s).max(0.0));
        let faults_end_s =
            self.faults.iter().map(|fault| fault.until_s.unwrap_or(fault.at_s)).fold(0.0, f64::max);
        let all_ended = faults_end_s < recording.seconds(recording.ended_at);
        self.full_service_after_last_fault_s =
            all_ended.then(|| last_bad_s.map_or(0.0, |last| (last - faults_end_s).max(0.0)));
    }

    fn compute_dispatches(&mut self, recording: &Recording, attempts: &[Attempt]) {
        let seconds = ((recording.ended_at - recording.started_at) / S) as usize;
        let mut by_second = vec![vec![0u64; recording.parties.servers]; seconds];
        let (mut same_zone, mut requests) = (0u64, 0u64);
        let parties = &recording.parties;
        for attempt in attempts {
            requests += u64::from(!matches!(attempt.ended, Some((_, AttemptOutcome::NotConnected))));
            for dispatch in &attempt.dispatches {
                self.dispatches += 1;
                let rejected = dispatch.response.is_some_and(|response| response.rejected);
                self.rejected_dispatches += u64::from(rejected);
                let failed =
                    dispatch.response.is_none_or(|response| response.status >= 500 && !response.rejected);
                self.failed_dispatches += u64::from(failed);
                same_zone += u64::from(parties.zone(dispatch.balancer) == parties.zone(dispatch.server));
                let second = (dispatch.first_byte_at.saturating_sub(recording.started_at) / S) as usize;
                if let Some(second) = by_second.get_mut(second) {
                    second[dispatch.server] += 1;
                }
            }
        }
        self.dispatches_per_request = self.dispatches as f64 / requests.max(1) as f64;
        self.same_zone_share = same_zone as f64 / self.dispatches.max(1) as f64;
        for (second, by_server) in by_second.iter().enumerate() {
            let used: Vec<u64> = by_server.iter().copied().filter(|dispatches| *dispatches > 0).collect();
            let mean = used.iter().sum::<u64>() as f64 / used.len().max(1) as f64;
            let max = used.iter().max().copied().unwrap_or(0) as f64;
            let peak = if mean >= MIN_MEAN_DISPATCHES_FOR_PEAK { max / mean } else { 0.0 };
            self.peak_by_second.push(peak);
            if peak > self.peak_over_mean {
                (self.peak_over_mean, self.peak_at_s) = (peak, second as f64);
            }
        }
    }

    fn count_connections_and_starts(&mut self, recording: &Recording) {
        let seconds = ((recording.ended_at - recording.started_at) / S) as usize;
        (self.connections_by_second, self.discovery_calls_by_second) = (vec![0; seconds], vec![0; seconds]);
        let mut starting: HashMap<usize, Nanos> = HashMap::new();
        let mut ready_ms = Vec::new();
        for (at, event) in &recording.entries {
            let second = (at.saturating_sub(recording.started_at) / S) as usize;
            let traffic_started = *at >= recording.started_at;
            match event {
                Event::ConnectionOpened { from: Party::Balancer(_), to: Party::Server(_) } => {
                    self.connections += 1;
                    let count = self.connections_by_second.get_mut(second).filter(|_| traffic_started);
                    if let Some(count) = count {
                        *count += 1;
                    }
                }
                Event::DiscoveryCalled { .. } if traffic_started => {
                    self.discovery_calls += 1;
                    if let Some(count) = self.discovery_calls_by_second.get_mut(second) {
                        *count += 1;
                    }
                }
                Event::Process { balancer, change: ProcessChange::Started } if traffic_started => {
                    starting.insert(*balancer, *at);
                }
                Event::Process { balancer, change: ProcessChange::Ready } => {
                    let started = starting.remove(balancer);
                    ready_ms.extend(started.map(|started| (at - started) as f64 / MS as f64));
                }
                _ => {}
            }
        }
        self.ready_ms_max = ready_ms.iter().copied().fold(0.0, f64::max);
        self.ready_ms_mean = ready_ms.iter().fold(0.0, |sum, ms| sum + ms) / ready_ms.len().max(1) as f64;
    }

    fn compute_process_usage(&mut self, recording: &Recording) {
        for samples in &recording.usage {
            // One sample per second; the ticks of a new process count from 0.
            let ticks = samples.windows(2).map(|two| two[1].cpu_ticks.saturating_sub(two[0].cpu_ticks));
            let intervals = (samples.len().saturating_sub(1)).max(1) as f64;
            self.process_usage.push(ProcessUsage {
                memory_kb: samples.iter().map(|usage| usage.memory_kb).max().unwrap_or(0),
                descriptors: samples.iter().map(|usage| usage.descriptors).max().unwrap_or(0),
                cpu_share: ticks.sum::<u64>() as f64 / CPU_TICKS_PER_S / intervals,
            });
        }
        let all = &self.process_usage;
        self.memory_kb_max = all.iter().map(|usage| usage.memory_kb).max().unwrap_or(0);
        self.descriptors_max = all.iter().map(|usage| usage.descriptors).max().unwrap_or(0);
        self.cpu_share_max = all.iter().map(|usage| usage.cpu_share).fold(0.0, f64::max);
        self.cpu_share_mean = all.iter().map(|usage| usage.cpu_share).sum::<f64>() / all.len().max(1) as f64;
    }
}

/// A histogram with the crate's default bounds, which are valid for one digit.
fn default_histogram() -> Histogram<u64> {
    Histogram::new(1).unwrap_or_else(|_| unreachable!("one digit is within the crate's bounds"))
}
