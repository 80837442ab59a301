//! Checks four rules from outside: the auditor records what reaches and leaves instances and servers, and is independent
//! of the routing code.
//!
//! 1. Each request is answered exactly once and before its deadline, and nothing is sent outside its lifetime.
//! 2. A request has one dispatch at a time and does not run twice unless its effect allows it.
//! 3. No request goes to a server that an instance knows to leave.
//! 4. A server in slow start is not overloaded.

use std::collections::BTreeMap;

use ochreshed::Name;

use crate::scenario::Effect;
use crate::{MS, Nanos, S};

/// A request: the index of its instance and its id.
pub type RequestKey = (usize, u64);

/// How long after learning of a drain an instance may still send to the server.
const DRAIN_GRACE: Nanos = 2 * S;
/// Window over which the work sent to a server in slow start is summed.
const SLOW_START_WINDOW: Nanos = 2 * S;
/// Limit for that sum, as a multiple of what the server can do in the window.
const MAX_SLOW_START_WORK_FACTOR: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Done,
    Denied,
    Aborted,
}

#[derive(Clone, Debug)]
pub struct RuleViolation {
    pub rule: u8,
    pub at: Nanos,
    pub key: RequestKey,
    pub description: String,
}

struct AuditedRequest {
    deadline: Nanos,
    effect: Effect,
    dedup_window: Nanos,
    active_dispatch: Option<usize>,
    /// Time of the first run at a server, and the number of runs.
    runs: Option<(Nanos, u32)>,
    answered_at: Option<Nanos>,
    history: Vec<(Nanos, String)>,
}

#[derive(Default)]
pub struct Auditor {
    requests: BTreeMap<RequestKey, AuditedRequest>,
    leaving_since: BTreeMap<(usize, Name), Nanos>,
    /// Recent work sent to servers in slow start.
    slow_start_work: BTreeMap<Name, Vec<(Nanos, f64)>>,
    /// Id of the request whose history goes into `trace`.
    pub traced_request: Option<u64>,
    pub trace: Vec<(Nanos, String)>,
    pub violations: Vec<RuleViolation>,
}

impl Auditor {
    fn record_event(&mut self, now: Nanos, key: RequestKey, description: String) {
        if self.traced_request == Some(key.1) {
            self.trace.push((now, description.clone()));
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.history.push((now, description));
        }
    }

    /// An instance crashed: its requests are lost, and its successor knows of no drains.
    pub fn record_crash(&mut self, now: Nanos, instance: usize) {
        let lost: Vec<RequestKey> = self.requests.keys().filter(|key| key.0 == instance).copied().collect();
        for key in lost {
            self.record_event(now, key, "its balancer crashed".into());
            self.requests.remove(&key);
        }
        self.leaving_since.retain(|(of, _), _| *of != instance);
    }

    fn report_violation(&mut self, rule: u8, at: Nanos, key: RequestKey, description: String) {
        let history = self.requests.get(&key).map(|request| &request.history[..]).unwrap_or_default();
        let history: Vec<String> =
            history.iter().map(|(at, description)| format!("{} ms {description}", at / MS)).collect();
        self.violations.push(RuleViolation {
            rule,
            at,
            key,
            description: format!("{description} ({})", history.join(", ")),
        });
    }

    pub fn record_accepted(
        &mut self,
        now: Nanos,
        key: RequestKey,
        deadline: Nanos,
        effect: Effect,
        dedup_window: Nanos,
    ) {
        let request = AuditedRequest {
            deadline,
            effect,
            dedup_window,
            active_dispatch: None,
            runs: None,
            answered_at: None,
            history: Vec::new(),
        };
        self.requests.insert(key, request);
        self.record_event(now, key, format!("taken by instance {}", key.0));
    }

    pub fn record_dispatch(&mut self, now: Nanos, key: RequestKey, dispatch_index: usize, server: &Name) {
        self.record_event(now, key, format!("{dispatch_index} to {server}"));
        let Some(request) = self.requests.get_mut(&key) else {
            return self.report_violation(
                1,
                now,
                key,
                format!("sent to {server}, but never taken or long over"),
            );
        };
        let (answered, active_dispatch) =
            (request.answered_at, request.active_dispatch.replace(dispatch_index));
        if answered.is_some() {
            self.report_violation(1, now, key, format!("sent to {server} after its answer"));
        }
        if active_dispatch.is_some() {
            self.report_violation(2, now, key, "two dispatches at once".into());
        }
        if let Some(learned_at) = self.leaving_since.get(&(key.0, server.clone()))
            && now > learned_at + DRAIN_GRACE
        {
            let late = (now - learned_at) / MS;
            self.report_violation(
                3,
                now,
                key,
                format!("sent to {server} {late} ms after hearing that it leaves"),
            );
        }
    }

    /// A dispatch ended for its instance; the server may still work on it.
    pub fn record_dispatch_end(&mut self, now: Nanos, key: RequestKey, dispatch_index: usize, how: &str) {
        self.record_event(now, key, format!("{dispatch_index} {how}"));
        if let Some(request) = self.requests.get_mut(&key) {
            request.active_dispatch.take_if(|active_dispatch| *active_dispatch == dispatch_index);
        }
    }

    /// A server started to work on the request.
    pub fn record_run(&mut self, now: Nanos, key: RequestKey, server: &Name) {
        self.record_event(now, key, format!("runs at {server}"));
        let Some(request) = self.requests.get_mut(&key) else { return };
        let (first, times) = request.runs.unwrap_or((now, 0));
        request.runs = Some((first, times + 1));
        let twice = match request.effect {
            Effect::Replayable => false,
            Effect::Uniqued => now > first + request.dedup_window,
            Effect::NonReplayable => true,
        };
        if times > 0 && twice {
            self.report_violation(2, now, key, format!("runs again at {server}"));
        }
    }

    pub fn record_answer(&mut self, now: Nanos, key: RequestKey, answer: Answer) {
        self.record_event(now, key, format!("{answer:?}"));
        let Some(request) = self.requests.get_mut(&key) else { return };
        let (deadline, effect, ran) = (request.deadline, request.effect, request.runs.is_some());
        if request.answered_at.replace(now).is_some() {
            self.report_violation(1, now, key, "answered twice".into());
        }
        if now > deadline {
            self.report_violation(
                1,
                now,
                key,
                format!("answered {} ms after its client's time", (now - deadline) / MS),
            );
        }
        if answer == Answer::Denied && ran && effect == Effect::NonReplayable {
            self.report_violation(
                2,
                now,
                key,
                "denied, which says that it is safe to try again, but it ran".into(),
            );
        }
    }

    /// An instance learned that a server leaves or is back.
    pub fn record_listing(&mut self, now: Nanos, instance: usize, server: &Name, leaves: bool) {
        if leaves {
            self.leaving_since.entry((instance, server.clone())).or_insert(now);
        } else {
            self.leaving_since.remove(&(instance, server.clone()));
        }
    }

    /// Work was sent to a server in slow start; `capacity` is its current capacity in seconds of work per second.
    pub fn record_slow_start_work(
        &mut self,
        now: Nanos,
        key: RequestKey,
        server: &Name,
        work: f64,
        capacity: f64,
    ) {
        let sent = self.slow_start_work.entry(server.clone()).or_default();
        sent.retain(|(at, _)| at + SLOW_START_WINDOW > now);
        sent.push((now, work));
        let sum: f64 = sent.iter().map(|(_, work)| work).sum();
        let most = MAX_SLOW_START_WORK_FACTOR * capacity * SLOW_START_WINDOW as f64 / 1e9;
        // Up to 10 requests in the window may be coincidence.
        if sum > most && sent.len() > 10 {
            sent.clear();
            self.report_violation(
                4,
                now,
                key,
                format!("{sum:.2} s of work to cold {server} in 2 s, which can do {capacity:.2} a second"),
            );
        }
    }

    /// Reports unanswered requests past their deadline, and drops old ones; all of them at the end of the run.
    pub fn check_unanswered(&mut self, now: Nanos, all: bool) {
        let late: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, o)| o.answered_at.is_none() && o.deadline + MS < now)
            .map(|o| *o.0)
            .collect();
        for key in late {
            self.report_violation(1, now, key, "never answered".into());
            self.requests.remove(&key);
        }
        // Answered requests are kept while a dispatch of theirs may still run.
        self.requests
            .retain(|_, request| !all && request.answered_at.is_none_or(|_| request.deadline + 60 * S > now));
    }
}
