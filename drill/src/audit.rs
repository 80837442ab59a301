//! Checks the four rules over all balancers together, from what clients, relays and servers observed; it knows nothing of
//! the policy's internals and queries no process. A request whose balancer an injected fault killed or suspended is lost to
//! that fault: it is counted separately and is no violation.
//!
//! 1. Each request gets a final answer in time, and nothing is dispatched after it.
//! 2. No request has more effects than its rule set allows, and no two dispatches of it overlap.
//! 3. Nothing is dispatched to a server that drains or is gone, past the grace period.
//! 4. A server in slow start is not sent more than a multiple of its capacity.
//!
//! Timestamps come from the drill's own tasks; every bound has slack for how late those were at the time.

use std::collections::HashMap;

use ochreshed_emulator::scenario::Effect;
use ochreshed_emulator::{MS, Nanos, S};
use serde::Serialize;

use crate::drill_file::Drill;
use crate::event_log::{AttemptOutcome, Entry, Event, ProcessChange};
use crate::party::Party;
use crate::runner::Recording;

/// Added to every time limit, for the overhead of sockets.
const SOCKET_SLACK: Nanos = 50 * MS;
/// Several tasks record what passes the relays; their order is not reliable within this.
const RELAY_ORDER_SLACK: Nanos = 250 * MS;
/// Two tasks observe the end of a dispatch and the next one's start; within this their order is arbitrary.
const CONCURRENCY_SLACK: Nanos = 20 * MS;
/// A few requests to a server in slow start may arrive by chance.
const MIN_SLOW_START_REQUESTS: usize = 10;

#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// 1 to 4; 0 for a process that ended by itself.
    pub rule: u8,
    pub at_s: f64,
    /// The request's id in hexadecimal, as in its header; empty if no request is concerned.
    pub id: String,
    #[serde(rename = "what")]
    pub description: String,
    #[serde(rename = "life")]
    pub timeline: Vec<String>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Requests without a timely final answer because their balancer was killed or suspended, or its link had a fault.
    #[serde(rename = "lost_with_faults")]
    pub lost_to_faults: u64,
    /// Requests without a timely final answer and without such a cause; each also violates rule 1.
    pub missing: u64,
}

/// One attempt of a call, with everything that happened to it.
pub struct Attempt {
    pub id: u64,
    pub rule_set: usize,
    pub balancer: usize,
    pub is_retry: bool,
    pub sent_at: Nanos,
    pub deadline: Nanos,
    pub intended_at: Nanos,
    /// Its kept-alive connection was being closed when it was written, and the client sent it once more.
    pub resent: bool,
    pub ended: Option<(Nanos, AttemptOutcome)>,
    pub dispatches: Vec<Dispatch>,
    /// When a server started to execute it, and which.
    pub executions: Vec<(Nanos, usize)>,
}

pub struct Dispatch {
    pub balancer: usize,
    pub server: usize,
    pub first_byte_at: Nanos,
    pub written_at: Option<Nanos>,
    pub response: Option<DispatchResponse>,
    /// When the balancer closed its connection.
    pub closed_at: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchResponse {
    pub at: Nanos,
    pub status: u16,
    /// The server did not accept the request.
    pub rejected: bool,
}

impl Dispatch {
    /// Whether the balancer could know by then that the request had not been executed.
    fn surely_not_executed(&self, by: Nanos) -> bool {
        self.written_at.is_none_or(|written_at| written_at > by)
            || self.response.is_some_and(|response| response.rejected && response.at <= by)
    }

    /// Whether its bytes were relayed together with the end of its connection: they were queued on the way, so that their
    /// sending time is unknown.
    fn was_queued(&self) -> bool {
        self.response.is_none()
            && self.closed_at.is_some_and(|closed_at| closed_at < self.first_byte_at + CONCURRENCY_SLACK)
    }

    /// For how long both dispatches were in flight.
    fn overlap(&self, other: &Dispatch) -> Nanos {
        let end = |dispatch: &Dispatch| dispatch.ended_at().unwrap_or(Nanos::MAX);
        end(self).min(end(other)).saturating_sub(self.first_byte_at.max(other.first_byte_at))
    }

    fn ended_at(&self) -> Option<Nanos> {
        let answered_at = self.response.map(|response| response.at);
        [answered_at, self.closed_at].into_iter().flatten().min()
    }
}

/// All attempts, in the order in which they were made.
pub fn attempts(entries: &[Entry]) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    // An id that occurs again means its latest attempt.
    let mut latest: HashMap<u64, usize> = HashMap::new();
    // The attempt and dispatch in flight on each connection.
    let mut in_flight: HashMap<u64, (usize, usize)> = HashMap::new();
    for (at, event) in entries {
        match event {
            Event::RequestSent { id, rule_set, balancer, is_retry, budget, intended_at, .. } => {
                if let Some(previous) = latest.insert(*id, attempts.len()) {
                    attempts[previous].resent = attempts[previous].ended.is_none();
                }
                attempts.push(Attempt {
                    id: *id,
                    rule_set: *rule_set,
                    balancer: *balancer,
                    is_retry: *is_retry,
                    sent_at: *at,
                    deadline: at + budget,
                    intended_at: *intended_at,
                    resent: false,
                    ended: None,
                    dispatches: Vec::new(),
                    executions: Vec::new(),
                });
            }
            Event::AttemptEnded { id, outcome } => {
                if let Some(attempt) = latest.get(id) {
                    attempts[*attempt].ended = Some((*at, outcome.clone()));
                }
            }
            Event::DispatchSent { id, balancer, server, connection, first_byte_at } => {
                if let Some(attempt) = latest.get(id) {
                    let dispatches = &mut attempts[*attempt].dispatches;
                    in_flight.insert(*connection, (*attempt, dispatches.len()));
                    dispatches.push(Dispatch {
                        balancer: *balancer,
                        server: *server,
                        first_byte_at: *first_byte_at,
                        written_at: None,
                        response: None,
                        closed_at: None,
                    });
                }
            }
            Event::DispatchWritten { connection } => {
                if let Some((attempt, dispatch)) = in_flight.get(connection) {
                    attempts[*attempt].dispatches[*dispatch].written_at = Some(*at);
                }
            }
            Event::DispatchAnswered { connection, status, rejected } => {
                if let Some((attempt, dispatch)) = in_flight.remove(connection) {
                    let response = DispatchResponse { at: *at, status: *status, rejected: *rejected };
                    attempts[attempt].dispatches[dispatch].response = Some(response);
                }
            }
            Event::ConnectionClosed { connection } => {
                if let Some((attempt, dispatch)) = in_flight.remove(connection) {
                    attempts[attempt].dispatches[dispatch].closed_at = Some(*at);
                }
            }
            Event::ExecutionStarted { id, server } => {
                if let Some(attempt) = latest.get(id) {
                    attempts[*attempt].executions.push((*at, *server));
                }
            }
            _ => {}
        }
    }
    attempts
}

/// Begin and end of a fault's effect; the end is `Nanos::MAX` while it lasts.
type TimeSpan = (Nanos, Nanos);

/// When faults affected whom.
struct FaultSpans {
    /// By balancer: when it had no ready process.
    down: Vec<Vec<TimeSpan>>,
    /// By balancer: when its process was suspended.
    suspended: Vec<Vec<TimeSpan>>,
    /// By zone of the clients and balancer: when the link between them had a fault.
    links: HashMap<(usize, usize), Vec<TimeSpan>>,
}

impl FaultSpans {
    fn new(balancers: usize, entries: &[Entry]) -> FaultSpans {
        let mut faults = FaultSpans {
            down: vec![Vec::new(); balancers],
            suspended: vec![Vec::new(); balancers],
            links: HashMap::new(),
        };
        let begin = |spans: &mut Vec<TimeSpan>, at| {
            if spans.last().is_none_or(|(_, end)| *end != Nanos::MAX) {
                spans.push((at, Nanos::MAX));
            }
        };
        let end = |spans: &mut Vec<TimeSpan>, at| {
            if let Some((_, end)) = spans.last_mut().filter(|(_, end)| *end == Nanos::MAX) {
                *end = at;
            }
        };
        let mut active_link_faults: HashMap<(usize, usize), u32> = HashMap::new();
        for (at, event) in entries {
            match event {
                Event::Process { balancer, change } => match change {
                    ProcessChange::Killed | ProcessChange::Exited(_) => {
                        begin(&mut faults.down[*balancer], *at);
                        end(&mut faults.suspended[*balancer], *at);
                    }
                    ProcessChange::Ready => end(&mut faults.down[*balancer], *at),
                    ProcessChange::Suspended => begin(&mut faults.suspended[*balancer], *at),
                    ProcessChange::Resumed => end(&mut faults.suspended[*balancer], *at),
                    ProcessChange::Started
                    | ProcessChange::NeverReady
                    | ProcessChange::TerminationRequested => {}
                },
                Event::LinkFault { a: Party::Clients(zone), b: Party::Balancer(balancer), begins } => {
                    let count = active_link_faults.entry((*zone, *balancer)).or_default();
                    let spans = faults.links.entry((*zone, *balancer)).or_default();
                    *count = if *begins { *count + 1 } else { count.saturating_sub(1) };
                    if *begins {
                        begin(spans, *at)
                    } else if *count == 0 {
                        end(spans, *at)
                    }
                }
                _ => {}
            }
        }
        faults
    }

    /// Whether a fault affected requests from this zone's clients to this balancer at any time within the span.
    fn affected(&self, zone: usize, balancer: usize, from: Nanos, to: Nanos) -> bool {
        let links = self.links.get(&(zone, balancer)).map(|spans| &spans[..]).unwrap_or_default();
        let all = [&self.down[balancer][..], &self.suspended[balancer], links];
        all.iter().any(|spans| spans.iter().any(|(begin, end)| *begin <= to && from <= *end))
    }

    /// For how long the balancer was suspended within the span.
    fn suspended_time(&self, balancer: usize, from: Nanos, to: Nanos) -> Nanos {
        let within = |(begin, end): &TimeSpan| (*end).min(to).saturating_sub((*begin).max(from));
        self.suspended[balancer].iter().map(within).sum()
    }
}

pub fn audit(drill: &Drill, recording: &Recording, attempts: &[Attempt]) -> Verdict {
    let faults = FaultSpans::new(recording.parties.balancers, &recording.entries);
    let mut auditor = Auditor { drill, recording, faults, verdict: Verdict::default() };
    attempts.iter().for_each(|attempt| auditor.check_attempt(attempt));
    auditor.check_drains(attempts);
    auditor.check_slow_start(attempts);
    auditor.check_processes();
    auditor.verdict.violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    auditor.verdict
}

struct Auditor<'a> {
    drill: &'a Drill,
    recording: &'a Recording,
    faults: FaultSpans,
    verdict: Verdict,
}

impl Auditor<'_> {
    fn report_violation(&mut self, rule: u8, at: Nanos, attempt: Option<&Attempt>, description: String) {
        let violation = Violation {
            rule,
            at_s: self.recording.seconds(at),
            id: attempt.map_or(String::new(), |attempt| format!("{:x}", attempt.id)),
            description,
            timeline: attempt.map_or(Vec::new(), |attempt| {
                timeline(self.recording, attempt).into_iter().map(|(_, line)| line).collect()
            }),
        };
        self.verdict.violations.push(violation);
    }

    /// Slack for the lag of the drill's own tasks around that time.
    fn lag_slack(&self, at: Nanos) -> Nanos {
        let half_second = (at.saturating_sub(self.recording.started_at) / (S / 2)) as usize;
        let around = self.recording.task_lag.iter().skip(half_second.saturating_sub(1)).take(3);
        2 * around.max().copied().unwrap_or(0)
    }

    /// Rules 1 and 2.
    fn check_attempt(&mut self, attempt: &Attempt) {
        let rule_set = &self.drill.rule_sets[attempt.rule_set];
        let zone = self.recording.parties.zone(attempt.balancer);
        let end = attempt.ended.as_ref().map_or(attempt.deadline, |(at, _)| *at);
        let slack = SOCKET_SLACK + self.lag_slack(end);
        let outcome = attempt.ended.as_ref().map(|(_, outcome)| outcome);
        if outcome == Some(&AttemptOutcome::NotConnected) {
            return;
        }
        // Requests that were in flight when the drill was cut short got no answer for that reason alone.
        let observed_to_end = attempt.deadline + slack < self.recording.ended_at || !self.recording.cut_short;
        let missing = match outcome {
            Some(AttemptOutcome::Succeeded | AttemptOutcome::Denied | AttemptOutcome::Aborted) => (end
                > attempt.deadline + slack)
                .then(|| format!("answered {} ms after its client's time", (end - attempt.deadline) / MS)),
            Some(AttemptOutcome::ConnectionLost) => Some("its connection ended without an answer".into()),
            _ => Some("never answered".into()),
        };
        if let Some(description) = missing.filter(|_| observed_to_end && !attempt.resent) {
            if self.faults.affected(zone, attempt.balancer, attempt.sent_at, end + RELAY_ORDER_SLACK) {
                self.verdict.lost_to_faults += 1;
            } else {
                self.verdict.missing += 1;
                self.report_violation(1, end, Some(attempt), description);
            }
        }
        let final_at = match outcome {
            Some(AttemptOutcome::Succeeded | AttemptOutcome::Denied | AttemptOutcome::Aborted) => {
                end.min(attempt.deadline)
            }
            _ => attempt.deadline,
        };
        for dispatch in attempt.dispatches.iter().filter(|dispatch| !dispatch.was_queued()) {
            let slack = SOCKET_SLACK + RELAY_ORDER_SLACK + self.lag_slack(dispatch.first_byte_at);
            let suspended =
                self.faults.suspended_time(dispatch.balancer, attempt.sent_at, dispatch.first_byte_at);
            if dispatch.first_byte_at > final_at + slack + suspended {
                let (server, ms) = (dispatch.server, (dispatch.first_byte_at - final_at) / MS);
                self.report_violation(
                    1,
                    dispatch.first_byte_at,
                    Some(attempt),
                    format!("sent to srv {server} {ms} ms after its end"),
                );
            }
        }
        for pair in attempt.dispatches.windows(2) {
            if pair[0].overlap(&pair[1]) > CONCURRENCY_SLACK + self.lag_slack(pair[1].first_byte_at) {
                let at = pair[1].first_byte_at;
                self.report_violation(2, at, Some(attempt), "two dispatches at once".into());
            }
        }
        if rule_set.effect == Effect::NonReplayable {
            for (index, next) in attempt.dispatches.iter().enumerate().skip(1) {
                let earlier = &attempt.dispatches[..index];
                let maybe_executed =
                    earlier.iter().find(|earlier| !earlier.surely_not_executed(next.first_byte_at));
                if let Some(executed) = maybe_executed {
                    let description = format!(
                        "sent again to srv {}, while it may have run at srv {}",
                        next.server, executed.server
                    );
                    self.report_violation(2, next.first_byte_at, Some(attempt), description);
                }
            }
            let denied = outcome == Some(&AttemptOutcome::Denied);
            let maybe_executed =
                attempt.dispatches.iter().find(|dispatch| !dispatch.surely_not_executed(end));
            if denied && let Some(executed) = maybe_executed {
                let description = format!(
                    "denied, which says that it is safe to try again, while it may have run at srv {}",
                    executed.server
                );
                self.report_violation(2, end, Some(attempt), description);
            }
        }
        match rule_set.effect {
            Effect::Replayable => {}
            // Only dispatches are checked: one that the network delayed may be executed at any time.
            Effect::Uniqued => {
                let first_written = attempt.dispatches.iter().find(|dispatch| dispatch.written_at.is_some());
                let until = first_written.map_or(Nanos::MAX, |dispatch| {
                    dispatch.first_byte_at + rule_set.dedup_window + SOCKET_SLACK
                });
                let past_window = attempt
                    .dispatches
                    .iter()
                    .find(|dispatch| dispatch.first_byte_at > until + self.lag_slack(until));
                if let Some(late) = past_window {
                    self.report_violation(
                        2,
                        late.first_byte_at,
                        Some(attempt),
                        format!("sent to srv {} past its window", late.server),
                    );
                }
            }
            Effect::NonReplayable => {
                for (at, server) in attempt.executions.iter().skip(1) {
                    self.report_violation(2, *at, Some(attempt), format!("runs again at srv {server}"));
                }
            }
        }
    }

    /// Rule 3: no dispatch to a server later than the grace period after its balancer learned that it drains or is gone.
    fn check_drains(&mut self, attempts: &[Attempt]) {
        let (balancers, servers) = (self.recording.parties.balancers, self.recording.parties.servers);
        // By balancer and server: when the balancer learned of each change, and whether the server serves since.
        let mut notices: Vec<Vec<Vec<(Nanos, bool)>>> = vec![vec![Vec::new(); servers]; balancers];
        for (at, event) in &self.recording.entries {
            if let Event::ListDelivered { balancer, serving_since } = event {
                for (server, since) in serving_since.iter().enumerate() {
                    let known = &mut notices[*balancer][server];
                    if known.last().map(|(_, serving)| *serving) != Some(since.is_some()) {
                        known.push((*at, since.is_some()));
                    }
                }
            }
        }
        for attempt in attempts {
            for dispatch in attempt.dispatches.iter().filter(|dispatch| !dispatch.was_queued()) {
                let known = &notices[dispatch.balancer][dispatch.server];
                let latest = known.iter().rev().find(|(at, _)| *at <= dispatch.first_byte_at);
                let Some((notified_at, false)) = latest else { continue };
                let suspended =
                    self.faults.suspended_time(dispatch.balancer, *notified_at, dispatch.first_byte_at);
                let slack = SOCKET_SLACK + self.lag_slack(dispatch.first_byte_at) + suspended;
                if dispatch.first_byte_at > notified_at + self.drill.live.drain_grace + slack {
                    let ms = (dispatch.first_byte_at - notified_at) / MS;
                    let description =
                        format!("sent to srv {} {ms} ms after hearing that it leaves", dispatch.server);
                    self.report_violation(3, dispatch.first_byte_at, Some(attempt), description);
                }
            }
        }
    }

    /// Rule 4: all balancers together send a server in slow start at most a multiple of its capacity, unless most of the
    /// work came from balancers that had not learned of its start.
    fn check_slow_start(&mut self, attempts: &[Attempt]) {
        let live = &self.drill.live;
        let (window_length, load_factor) = (live.slow_start_window, live.slow_start_load_factor);
        // By request and server: the balancer that last dispatched it there.
        let mut sender: HashMap<(u64, usize), usize> = HashMap::new();
        let (servers, balancers) = (self.recording.parties.servers, self.recording.parties.balancers);
        let mut known_start: Vec<Vec<u64>> = vec![vec![0; servers]; balancers];
        let mut started = vec![0; servers];
        let mut windows: Vec<Vec<SlowStartArrival>> = vec![Vec::new(); servers];
        let mut overloads = Vec::new();
        for (at, event) in &self.recording.entries {
            match event {
                Event::DispatchSent { id, balancer, server, .. } => {
                    sender.insert((*id, *server), *balancer);
                }
                Event::ListDelivered { balancer, serving_since } => {
                    for (server, since) in serving_since.iter().enumerate() {
                        known_start[*balancer][server] = since.unwrap_or(known_start[*balancer][server]);
                    }
                }
                Event::ServerRestarted { server, started_ms } => {
                    started[*server] = *started_ms;
                    windows[*server].clear();
                }
                Event::RequestReceived { id, server, work, capacity, slow_start: true } => {
                    let sender_knew_start = sender
                        .get(&(*id, *server))
                        .is_some_and(|balancer| known_start[*balancer][*server] >= started[*server]);
                    let window = &mut windows[*server];
                    window.retain(|arrival| arrival.at + window_length > *at);
                    window.push(SlowStartArrival { at: *at, work: *work, sender_knew_start });
                    let total: f64 = window.iter().map(|arrival| arrival.work).sum();
                    let informed: f64 = window
                        .iter()
                        .filter(|arrival| arrival.sender_knew_start)
                        .map(|arrival| arrival.work)
                        .sum();
                    let limit = load_factor * capacity * window_length as f64 / 1e9;
                    if total > limit && window.len() > MIN_SLOW_START_REQUESTS && informed * 1.5 >= total {
                        overloads.push((*at, *id, *server, total, *capacity));
                        window.clear();
                    }
                }
                _ => {}
            }
        }
        for (at, id, server, work, capacity) in overloads {
            let attempt = attempts.iter().rev().find(|attempt| attempt.id == id && attempt.sent_at <= at);
            let description = format!(
                "{work:.2} s of work to cold srv {server} within {} s, which can do {capacity:.2} a second",
                window_length as f64 / 1e9
            );
            self.report_violation(4, at, attempt, description);
        }
    }

    /// Rule 0: processes end only when asked to, and get ready.
    fn check_processes(&mut self) {
        let mut end_expected = vec![false; self.recording.parties.balancers];
        for (at, event) in &self.recording.entries {
            let Event::Process { balancer, change } = event else { continue };
            match change {
                ProcessChange::Started => end_expected[*balancer] = false,
                ProcessChange::TerminationRequested | ProcessChange::Killed => end_expected[*balancer] = true,
                ProcessChange::Exited(code) if !end_expected[*balancer] => {
                    let description = format!("balancer {balancer} ended by itself, with {code:?}");
                    self.report_violation(0, *at, None, description);
                }
                ProcessChange::NeverReady => {
                    self.report_violation(0, *at, None, format!("balancer {balancer} did not get ready"));
                }
                _ => {}
            }
        }
    }
}

/// A request received by a server in slow start.
#[derive(Clone)]
struct SlowStartArrival {
    at: Nanos,
    work: f64,
    sender_knew_start: bool,
}

/// What happened to an attempt, as lines with their times.
fn timeline(recording: &Recording, attempt: &Attempt) -> Vec<(Nanos, String)> {
    let again = if attempt.is_retry { ", again" } else { "" };
    let mut lines = vec![(attempt.sent_at, format!("client asks balancer {}{again}", attempt.balancer))];
    for (index, dispatch) in attempt.dispatches.iter().enumerate() {
        let Dispatch { balancer, server, first_byte_at, written_at, response, closed_at } = dispatch;
        lines.push((
            *first_byte_at,
            format!("balancer {balancer} sends it to srv {server}, dispatch {index}"),
        ));
        lines.extend(written_at.map(|at| (at, format!("dispatch {index} is written whole"))));
        lines.extend(response.map(|DispatchResponse { at, status, rejected }| {
            let rejected = if rejected { ", turned away" } else { "" };
            (at, format!("dispatch {index} is answered {status}{rejected}"))
        }));
        lines.extend(closed_at.map(|at| (at, format!("dispatch {index}'s connection is ended"))));
    }
    let executions = attempt.executions.iter();
    lines.extend(executions.map(|(at, server)| (*at, format!("srv {server} begins to work on it"))));
    lines.extend(attempt.ended.iter().map(|(at, outcome)| (*at, format!("client has {}", outcome.label()))));
    lines.sort();
    let line = |(at, line): (Nanos, String)| (at, format!("{:9.4} s  {line}", recording.seconds(at)));
    lines.into_iter().map(line).collect()
}

/// Ids of the last attempts of calls that did not succeed within their response target: at most `max_count`, evenly
/// sampled.
pub fn lost_calls(drill: &Drill, attempts: &[Attempt], max_count: usize) -> Vec<u64> {
    let mut last: HashMap<u64, &Attempt> = HashMap::new();
    for attempt in attempts {
        last.insert(attempt.id >> 8, attempt);
    }
    let in_target = |attempt: &Attempt| {
        let target = drill.rule_sets[attempt.rule_set].response_target;
        matches!(attempt.ended, Some((at, AttemptOutcome::Succeeded)) if at <= attempt.intended_at + target)
    };
    let mut ids: Vec<u64> =
        last.values().filter(|attempt| !in_target(attempt)).map(|attempt| attempt.id).collect();
    ids.sort_unstable();
    let count = max_count.min(ids.len());
    (0..count).map(|index| ids[index * ids.len() / count]).collect()
}

/// The timeline of all attempts of a call, given the id of any of them, with the faults and process changes meanwhile.
pub fn trace(recording: &Recording, attempts: &[Attempt], id: u64) -> Vec<String> {
    let of_call: Vec<&Attempt> = attempts.iter().filter(|attempt| attempt.id >> 8 == id >> 8).collect();
    let (Some(first), Some(last)) = (of_call.first(), of_call.last()) else { return Vec::new() };
    let (from, to) = (first.sent_at, last.ended.as_ref().map_or(last.deadline, |(at, _)| *at));
    let balancers: Vec<usize> = of_call.iter().map(|attempt| attempt.balancer).collect();
    let mut lines: Vec<(Nanos, String)> =
        of_call.iter().flat_map(|attempt| timeline(recording, attempt)).collect();
    for (at, event) in recording.entries.iter().filter(|(at, _)| (from..=to).contains(at)) {
        let text = match event {
            Event::Process { balancer, change } if balancers.contains(balancer) => {
                format!("balancer {balancer}: {}", change.label())
            }
            Event::Fault { begins, name, .. } => {
                format!("fault {name} {}", if *begins { "begins" } else { "is over" })
            }
            _ => continue,
        };
        lines.push((*at, format!("{:9.4} s  {text}", recording.seconds(*at))));
    }
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a reused id whose second attempt is credited with the first one's answer or executions.
    #[test]
    fn each_use_of_a_repeated_id_is_a_separate_attempt() {
        let asked = |at| {
            let (id, call, rule_set, balancer, budget) = (7, 0, 0, 0, S);
            let event =
                Event::RequestSent { id, call, rule_set, balancer, is_retry: false, budget, intended_at: at };
            (at, event)
        };
        let sent = |at, connection| {
            let (id, balancer, server) = (7, 0, 1);
            (at, Event::DispatchSent { id, balancer, server, connection, first_byte_at: at })
        };
        let entries = [
            asked(10),
            sent(11, 1),
            (12, Event::ExecutionStarted { id: 7, server: 1 }),
            (13, Event::DispatchAnswered { connection: 1, status: 200, rejected: false }),
            (14, Event::AttemptEnded { id: 7, outcome: AttemptOutcome::Succeeded }),
            // The connection closes long after the response.
            (15, Event::ConnectionClosed { connection: 1 }),
            asked(20),
            sent(21, 2),
            // Resent, because its connection was being closed.
            asked(30),
            sent(31, 3),
            (32, Event::DispatchWritten { connection: 3 }),
            (33, Event::AttemptEnded { id: 7, outcome: AttemptOutcome::Denied }),
        ];
        let attempts = attempts(&entries);
        let summary = |attempt: &Attempt| {
            (attempt.ended.clone(), attempt.resent, attempt.executions.len(), attempt.dispatches.len())
        };
        let ended = |at, outcome| Some((at, outcome));
        assert_eq!(summary(&attempts[0]), (ended(14, AttemptOutcome::Succeeded), false, 1, 1));
        assert_eq!(summary(&attempts[1]), (None, true, 0, 1));
        assert_eq!(summary(&attempts[2]), (ended(33, AttemptOutcome::Denied), false, 0, 1));
        let dispatch = &attempts[0].dispatches[0];
        assert!(
            dispatch.surely_not_executed(11)
                && dispatch.ended_at() == Some(13)
                && dispatch.closed_at.is_none()
        );
        assert!(!attempts[2].dispatches[0].surely_not_executed(32));
    }

    /// Guards against violations that result only from the order in which two relays observed events.
    #[test]
    fn queued_dispatches_are_neither_late_nor_concurrent() {
        let dispatch = |first_byte_at, written_at, response, closed_at| Dispatch {
            balancer: 0,
            server: 0,
            first_byte_at,
            written_at,
            response,
            closed_at,
        };
        let response = DispatchResponse { at: 160 * MS, status: 200, rejected: false };
        let answered = dispatch(100 * MS, Some(100 * MS), Some(response), None);
        let queued = dispatch(101 * MS, Some(101 * MS), None, Some(102 * MS));
        let concurrent = dispatch(101 * MS, Some(101 * MS), None, Some(150 * MS));
        assert!(queued.was_queued() && queued.overlap(&answered) == MS && answered.overlap(&queued) == MS);
        assert!(
            !concurrent.was_queued() && answered.overlap(&concurrent) == 49 * MS && !answered.was_queued()
        );
        let never_ends = dispatch(101 * MS, None, None, None);
        assert_eq!((answered.overlap(&never_ends), never_ends.was_queued()), (59 * MS, false));
    }
}
