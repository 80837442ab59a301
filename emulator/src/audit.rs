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
    fn record_event(&mut self, now: Nanos, key: RequestKey, what: String) {
        if self.traced_request == Some(key.1) {
            self.trace.push((now, what.clone()));
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.history.push((now, what));
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

    fn report_violation(&mut self, rule: u8, at: Nanos, key: RequestKey, what: String) {
        let life = self.requests.get(&key).map(|request| &request.history[..]).unwrap_or_default();
        let life: Vec<String> = life.iter().map(|(at, what)| format!("{} ms {what}", at / MS)).collect();
        self.violations.push(RuleViolation {
            rule,
            at,
            key,
            description: format!("{what} ({})", life.join(", ")),
        });
    }

    pub fn record_accepted(
        &mut self,
        now: Nanos,
        key: RequestKey,
        ends: Nanos,
        effect: Effect,
        window: Nanos,
    ) {
        let request = AuditedRequest {
            deadline: ends,
            effect,
            dedup_window: window,
            active_dispatch: None,
            runs: None,
            answered_at: None,
            history: Vec::new(),
        };
        self.requests.insert(key, request);
        self.record_event(now, key, format!("taken by instance {}", key.0));
    }

    pub fn record_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, srv: &Name) {
        self.record_event(now, key, format!("{number} to {srv}"));
        let Some(request) = self.requests.get_mut(&key) else {
            return self.report_violation(
                1,
                now,
                key,
                format!("sent to {srv}, but never taken or long over"),
            );
        };
        let (answered, out) = (request.answered_at, request.active_dispatch.replace(number));
        if answered.is_some() {
            self.report_violation(1, now, key, format!("sent to {srv} after its answer"));
        }
        if out.is_some() {
            self.report_violation(2, now, key, "two dispatches at once".into());
        }
        if let Some(told) = self.leaving_since.get(&(key.0, srv.clone()))
            && now > told + DRAIN_GRACE
        {
            let late = (now - told) / MS;
            self.report_violation(
                3,
                now,
                key,
                format!("sent to {srv} {late} ms after hearing that it leaves"),
            );
        }
    }

    /// A dispatch ended for its instance; the server may still work on it.
    pub fn record_dispatch_end(&mut self, now: Nanos, key: RequestKey, number: usize, how: &str) {
        self.record_event(now, key, format!("{number} {how}"));
        if let Some(request) = self.requests.get_mut(&key) {
            request.active_dispatch.take_if(|out| *out == number);
        }
    }

    /// A server started to work on the request.
    pub fn record_run(&mut self, now: Nanos, key: RequestKey, srv: &Name) {
        self.record_event(now, key, format!("runs at {srv}"));
        let Some(request) = self.requests.get_mut(&key) else { return };
        let (first, times) = request.runs.unwrap_or((now, 0));
        request.runs = Some((first, times + 1));
        let twice = match request.effect {
            Effect::Replayable => false,
            Effect::Uniqued => now > first + request.dedup_window,
            Effect::NonReplayable => true,
        };
        if times > 0 && twice {
            self.report_violation(2, now, key, format!("runs again at {srv}"));
        }
    }

    pub fn record_answer(&mut self, now: Nanos, key: RequestKey, answer: Answer) {
        self.record_event(now, key, format!("{answer:?}"));
        let Some(request) = self.requests.get_mut(&key) else { return };
        let (ends, effect, ran) = (request.deadline, request.effect, request.runs.is_some());
        if request.answered_at.replace(now).is_some() {
            self.report_violation(1, now, key, "answered twice".into());
        }
        if now > ends {
            self.report_violation(
                1,
                now,
                key,
                format!("answered {} ms after its client's time", (now - ends) / MS),
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
    pub fn record_listing(&mut self, now: Nanos, instance: usize, srv: &Name, leaves: bool) {
        if leaves {
            self.leaving_since.entry((instance, srv.clone())).or_insert(now);
        } else {
            self.leaving_since.remove(&(instance, srv.clone()));
        }
    }

    /// Work was sent to a server in slow start; `can` is its current capacity in seconds of work per second.
    pub fn record_slow_start_work(&mut self, now: Nanos, key: RequestKey, srv: &Name, work: f64, can: f64) {
        let sent = self.slow_start_work.entry(srv.clone()).or_default();
        sent.retain(|(at, _)| at + SLOW_START_WINDOW > now);
        sent.push((now, work));
        let sum: f64 = sent.iter().map(|(_, work)| work).sum();
        let most = MAX_SLOW_START_WORK_FACTOR * can * SLOW_START_WINDOW as f64 / 1e9;
        // Up to 10 requests in the window may be coincidence.
        if sum > most && sent.len() > 10 {
            sent.clear();
            self.report_violation(
                4,
                now,
                key,
                format!("{sum:.2} s of work to cold {srv} in 2 s, which can do {can:.2} a second"),
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
