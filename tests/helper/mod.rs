//! A scene: one instance, the reqs in its hands, and a short trace of what it decided.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write;

use ochreshed::*;

pub const MS: Nanos = 1_000_000;

pub struct Scene {
    pub balancer: Balancer,
    now: Nanos,
    reqs: BTreeMap<u64, Req>,
    pub trace: String,
    /// What the next reqs are told to cost.
    pub work: Option<Nanos>,
    /// What the last deny said of when to come back.
    pub come_back: Nanos,
}

pub fn facts(tier: f64, instances: f64) -> Facts {
    let text = |t: &str| Value::Text(t.into());
    let rule_set = |name: &str, effect: &str, group: &str, utility: f64| {
        Facts::from([
            ("name".into(), text(name)),
            ("effect".into(), text(effect)),
            ("group".into(), text(group)),
            ("window".into(), Value::Span(1_000 * MS)),
            ("response_target".into(), Value::Span(1_000 * MS)),
            ("utility".into(), Value::Number(utility)),
            ("late_utility".into(), Value::Number(0.2)),
        ])
    };
    let sets = vec![
        rule_set("read", "replayable", "all", 1.0),
        rule_set("move", "uniqued", "site", 3.0),
        rule_set("charge", "non-replayable", "all", 9.0),
    ];
    Facts::from([
        ("tier".into(), Value::Number(tier)),
        ("tiers".into(), Value::Number(3.0)),
        ("instances".into(), Value::Number(instances)),
        ("list_mode".into(), text("ask")),
        ("max_dispatches".into(), Value::Number(4.0)),
        ("may_recall".into(), Value::Flag(true)),
        ("cold".into(), Value::Span(20_000 * MS)),
        ("cold_share".into(), Value::Number(0.2)),
        ("rule_sets".into(), Value::List(sets)),
    ])
}

impl Scene {
    /// An instance that knows these srvs: `name@site`, with `!` behind it when draining, `*` when just started.
    pub fn new(facts: Facts, srvs: &str) -> Scene {
        let now = 1_000_000 * MS;
        let balancer = Balancer::new(now, 7, facts);
        let mut scene =
            Scene { balancer, now, reqs: BTreeMap::new(), trace: String::new(), work: None, come_back: 0 };
        scene.list(true, srvs);
        scene
    }

    pub fn list(&mut self, whole: bool, srvs: &str) {
        let listed = |entry: &str| {
            let (name, site) = entry.trim_end_matches(['!', '*']).split_once('@').expect("name@site");
            Listed {
                srv: name.into(),
                state: if entry.ends_with('!') { State::Draining } else { State::Up },
                came_up: entry.ends_with('*').then_some(self.now),
                weight: 1.0,
                site: site.into(),
                cell: 0,
            }
        };
        let entries: Vec<Listed> = srvs.split_whitespace().map(listed).collect();
        self.balancer.after(self.now, Outcome::List { whole, old: false, entries: &entries });
    }

    pub fn pass(&mut self, ms: u64) -> &mut Scene {
        self.now += ms * MS;
        self
    }

    pub fn req(&mut self, id: u64, rule_set: &str) -> &mut Scene {
        self.take(id, rule_set, "")
    }

    pub fn of(&mut self, id: u64, customer: &str) -> &mut Scene {
        self.take(id, "read", customer)
    }

    fn take(&mut self, id: u64, rule_set: &str, customer: &str) -> &mut Scene {
        self.reqs.insert(
            id,
            Req {
                id,
                rule_set: rule_set.into(),
                customer: customer.into(),
                again: false,
                taken: self.now,
                ends: self.now + 3_000 * MS,
                coming: false,
                work: self.work,
                tie: None,
                dispatches: Vec::new(),
            },
        );
        self.place(id)
    }

    pub fn place(&mut self, id: u64) -> &mut Scene {
        let req = self.reqs.get_mut(&id).expect("a req in hand");
        let what = match self.balancer.place(self.now, req) {
            Place::Send { srv, .. } => format!("to {srv}"),
            Place::Later { ask_at } => format!("later, in {} ms", (ask_at - self.now) / MS),
            Place::Deny { come_back } => {
                self.come_back = come_back;
                "deny".into()
            }
            Place::Abort => "abort".into(),
        };
        self.say(&format!("{id}: {what}"))
    }

    /// Whether a req has a dispatch.
    pub fn holds(&self, id: u64) -> bool {
        self.reqs.get(&id).is_some_and(|req| !req.dispatches.is_empty())
    }

    /// Another instance has seen this.
    pub fn others(&mut self, srv: &str, how: How) -> &mut Scene {
        self.others_of("charge", srv, how)
    }

    pub fn others_of(&mut self, rule_set: &str, srv: &str, how: How) -> &mut Scene {
        self.balancer.after(self.now, Outcome::Others { srv, rule_set, how });
        self
    }

    /// Whether a dispatch of it is out.
    pub fn holds_out(&self, id: u64) -> bool {
        self.reqs
            .get(&id)
            .and_then(|req| req.dispatches.last())
            .is_some_and(|dispatch| dispatch.how.is_none())
    }

    /// Ends a req's last dispatch, and places it again where that follows.
    pub fn end(&mut self, id: u64, how: How) -> &mut Scene {
        if self.fail(id, how) == Follow::Place { self.place(id) } else { self }
    }

    /// Ends a req's last dispatch and leaves what follows to be done.
    pub fn fail(&mut self, id: u64, how: How) -> Follow {
        let req = self.reqs.get_mut(&id).expect("a req in hand");
        let number = req.dispatches.len() - 1;
        let took = self.now - req.dispatches[number].at;
        let closed = how == How::Done;
        let outcome = Outcome::Dispatch { req, number, how, took, closed, report: &[] };
        let follow = self.balancer.after(self.now, outcome);
        if !closed {
            self.say(&format!("{id}: {how:?}"));
        }
        follow
    }

    /// Sends a req, and ends it well 100 ms later.
    pub fn done(&mut self, id: u64) -> &mut Scene {
        self.req(id, "read").pass(100).end(id, How::Done)
    }

    /// Whether the last line of the trace is a dispatch to one of these srvs.
    pub fn went_to(&self, srvs: &[&str]) -> bool {
        srvs.iter().any(|srv| self.trace.ends_with(&format!("to {srv}\n")))
    }

    /// Done reqs that leave no trace, for a past.
    pub fn past(&mut self, number: u64) -> &mut Scene {
        let kept = self.trace.len();
        for id in 10_000..10_000 + number {
            self.done(id);
        }
        self.trace.truncate(kept);
        self
    }

    pub fn wait(&mut self) -> &mut Scene {
        loop {
            match self.balancer.wait(self.now) {
                Wait::Until(_) => return self,
                Wait::Place(id) => self.place(id),
                Wait::Log(line) => self.say(&format!("log: {line}")),
                Wait::Recall(id, number) => self.say(&format!("recall {id}, dispatch {number}")),
                chore => self.say(&format!("{chore:?}")),
            };
        }
    }

    fn say(&mut self, line: &str) -> &mut Scene {
        let at = (self.now - 1_000_000 * MS) / MS;
        writeln!(self.trace, "{at} {line}").expect("a String takes it");
        self
    }
}
