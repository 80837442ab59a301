//! The four rules, seen from outside: the auditor is told what reaches instances and srvs and what leaves them, and
//! knows nothing of what chooses. It owns its own books and must never ask an instance for anything.

use std::collections::BTreeMap;

use ochreshed::Name;

use crate::scenario::Effect;
use crate::{MS, Nanos, S};

/// An instance's req: which instance, and the number that it has there.
pub type RequestKey = (usize, u64);

/// Nothing new goes to a srv past this after hearing that it drains.
const DRAIN_GRACE: Nanos = 2 * S;
/// Over this span a cold srv gets no more work than so many times what it can do by then, and a little.
const SLOW_START_WINDOW: Nanos = 2 * S;
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
    /// When it first ran at a srv, and how often it has.
    runs: Option<(Nanos, u32)>,
    answered_at: Option<Nanos>,
    history: Vec<(Nanos, String)>,
}

#[derive(Default)]
pub struct Auditor {
    requests: BTreeMap<RequestKey, AuditedRequest>,
    leaving_since: BTreeMap<(usize, Name), Nanos>,
    /// Work sent to cold srvs of late.
    slow_start_work: BTreeMap<Name, Vec<(Nanos, f64)>>,
    /// The req whose life is kept to be shown, and that life.
    pub traced_request: Option<u64>,
    pub trace: Vec<(Nanos, String)>,
    pub violations: Vec<RuleViolation>,
}

impl Auditor {
    fn record_event(&mut self, now: Nanos, key: RequestKey, what: String) {
        if self.traced_request == Some(key.1) {
            self.trace.push((now, what.clone()));
        }
        if let Some(open) = self.requests.get_mut(&key) {
            open.history.push((now, what));
        }
    }

    /// An instance's process has ended: what it had taken is lost with it, and its successor has heard nothing.
    pub fn record_crash(&mut self, now: Nanos, instance: usize) {
        let lost: Vec<RequestKey> = self.requests.keys().filter(|key| key.0 == instance).copied().collect();
        for key in lost {
            self.record_event(now, key, "its balancer crashed".into());
            self.requests.remove(&key);
        }
        self.leaving_since.retain(|(of, _), _| *of != instance);
    }

    fn report_violation(&mut self, rule: u8, at: Nanos, key: RequestKey, what: String) {
        let life = self.requests.get(&key).map(|open| &open.history[..]).unwrap_or_default();
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
        let open = AuditedRequest {
            deadline: ends,
            effect,
            dedup_window: window,
            active_dispatch: None,
            runs: None,
            answered_at: None,
            history: Vec::new(),
        };
        self.requests.insert(key, open);
        self.record_event(now, key, format!("taken by instance {}", key.0));
    }

    pub fn record_dispatch(&mut self, now: Nanos, key: RequestKey, number: usize, srv: &Name) {
        self.record_event(now, key, format!("{number} to {srv}"));
        let Some(open) = self.requests.get_mut(&key) else {
            return self.report_violation(
                1,
                now,
                key,
                format!("sent to {srv}, but never taken or long over"),
            );
        };
        let (answered, out) = (open.answered_at, open.active_dispatch.replace(number));
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

    /// A dispatch is over for its instance, whether or not the srv still works on it.
    pub fn record_dispatch_end(&mut self, now: Nanos, key: RequestKey, number: usize, how: &str) {
        self.record_event(now, key, format!("{number} {how}"));
        if let Some(open) = self.requests.get_mut(&key) {
            open.active_dispatch.take_if(|out| *out == number);
        }
    }

    /// A srv has begun to work on it.
    pub fn record_run(&mut self, now: Nanos, key: RequestKey, srv: &Name) {
        self.record_event(now, key, format!("runs at {srv}"));
        let Some(open) = self.requests.get_mut(&key) else { return };
        let (first, times) = open.runs.unwrap_or((now, 0));
        open.runs = Some((first, times + 1));
        let twice = match open.effect {
            Effect::Replayable => false,
            Effect::Uniqued => now > first + open.dedup_window,
            Effect::NonReplayable => true,
        };
        if times > 0 && twice {
            self.report_violation(2, now, key, format!("runs again at {srv}"));
        }
    }

    pub fn record_answer(&mut self, now: Nanos, key: RequestKey, answer: Answer) {
        self.record_event(now, key, format!("{answer:?}"));
        let Some(open) = self.requests.get_mut(&key) else { return };
        let (ends, effect, ran) = (open.deadline, open.effect, open.runs.is_some());
        if open.answered_at.replace(now).is_some() {
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

    /// An instance has heard that a srv drains, or is back.
    pub fn record_listing(&mut self, now: Nanos, instance: usize, srv: &Name, leaves: bool) {
        if leaves {
            self.leaving_since.entry((instance, srv.clone())).or_insert(now);
        } else {
            self.leaving_since.remove(&(instance, srv.clone()));
        }
    }

    /// Work was sent to a cold srv, which can do so much a second by now, in seconds of work.
    pub fn record_slow_start_work(&mut self, now: Nanos, key: RequestKey, srv: &Name, work: f64, can: f64) {
        let sent = self.slow_start_work.entry(srv.clone()).or_default();
        sent.retain(|(at, _)| at + SLOW_START_WINDOW > now);
        sent.push((now, work));
        let sum: f64 = sent.iter().map(|(_, work)| work).sum();
        let most = MAX_SLOW_START_WORK_FACTOR * can * SLOW_START_WINDOW as f64 / 1e9;
        // A few reqs are chance.
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

    /// Books are closed at the end, and now and then for what is long over.
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
        // What was answered is kept for as long as anything of it may still run.
        self.requests.retain(|_, open| !all && open.answered_at.is_none_or(|_| open.deadline + 60 * S > now));
    }
}
