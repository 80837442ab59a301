//! One instance of the module with the reqs in its hands and the time it is asked again.
//! It turns answers into lines of the wire and decides nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use ochreshed::{Balancer, Follow, Listed, Nanos, Outcome, Place, Req, Wait};

use crate::wire::{self, Line, millis};

pub struct Host {
    number: u64,
    balancer: Balancer,
    reqs: BTreeMap<u64, Held>,
    due: BTreeSet<(Nanos, u64)>,
    wake: Option<Nanos>,
}

struct Held {
    req: Req,
    ended: bool,
    ask_at: Option<Nanos>,
}

impl Host {
    pub fn new(number: u64, balancer: Balancer) -> Host {
        Host { number, balancer, reqs: BTreeMap::new(), due: BTreeSet::new(), wake: None }
    }

    pub fn submit(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        let req = Req {
            id: line.int("RequestId")?,
            rule_set: line.must("Kind")?.into(),
            customer: line.get("Org").unwrap_or_default().into(),
            again: line.flag("AgainByClient"),
            taken: now,
            ends: now + line.time("Budget")?,
            dispatches: Vec::new(),
        };
        let id = req.id;
        self.reqs.insert(id, Held { req, ended: false, ask_at: None });
        self.place(now, id, out);
        Ok(())
    }

    pub fn response(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        let id = line.int("RequestId")?;
        let (number, how, took) =
            (line.int("Copy")? as usize, wire::how(line.must("How")?)?, line.time("Duration")?);
        let Some(held) = self.reqs.get_mut(&id) else { return Ok(()) };
        if held.req.dispatches.get(number).is_none_or(|d| d.how.is_some()) {
            return Ok(());
        }
        let closed = line.flag("Closed") || held.ended;
        let (req, report) = (&mut held.req, line.report());
        let follow =
            self.balancer.after(now, Outcome::Dispatch { req, number, how, took, closed, report: &report });
        held.ended = closed;
        self.follow(now, id, follow, out);
        self.forget(id);
        Ok(())
    }

    pub fn client_gone(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        let id = line.int("RequestId")?;
        let Some(held) = self.reqs.get_mut(&id).filter(|held| !held.ended) else { return Ok(()) };
        let follow = self.balancer.after(now, Outcome::Left { req: &mut held.req });
        self.end(id);
        self.follow(now, id, follow, out);
        self.forget(id);
        Ok(())
    }

    pub fn probed(&mut self, now: Nanos, line: &Line) -> Result<(), String> {
        let (how, took, report) = (wire::how(line.must("How")?)?, line.time("Duration")?, line.report());
        let srv = line.must("Upstream")?;
        self.balancer.after(now, Outcome::Probe { srv, how, took, report: &report });
        Ok(())
    }

    pub fn fleet(&mut self, now: Nanos, line: &Line, pool: Option<&[Listed]>) -> Result<(), String> {
        let how = line.must("How")?;
        let news = match how {
            "Error" => Outcome::ListFailed,
            "Partial" | "Complete" | "Persisted" => Outcome::List {
                whole: how != "Partial",
                old: how == "Persisted",
                entries: pool.ok_or("fleet names a pool that was never given")?,
            },
            _ => return Err(format!("How={how} is no kind of list")),
        };
        self.balancer.after(now, news);
        Ok(())
    }

    /// Asks for what is due and does the chores, at the end of a batch that touched this instance.
    pub fn settle(&mut self, now: Nanos, out: &mut String) {
        while let Some(&(at, id)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.place(now, id, out);
        }
        let until = loop {
            match self.balancer.wait(now) {
                Wait::Watch => self.say(out, "watch", "\tEnable=1"),
                Wait::List => self.say(out, "query_all", ""),
                Wait::Probe(srv) => self.say(out, "touch", &format!("\tUpstream={srv}")),
                Wait::Close(srv) => self.say(out, "free_links", &format!("\tUpstream={srv}")),
                Wait::Log(text) => self.say(out, "note_down", &format!("\tMessage={text}")),
                Wait::Recall(id, number) => self.follow(now, id, Follow::Recall(number), out),
                Wait::Place(id) => self.place(now, id, out),
                Wait::Until(until) => break until,
            }
        };
        let next = self.due.first().map_or(until, |(at, _)| until.min(*at));
        if self.wake.is_none_or(|wake| wake <= now || next < wake) && next < Nanos::MAX {
            let delay = next.saturating_sub(now).min(4_000_000_000_000);
            self.wake = Some(now + delay);
            self.say(out, "wake_at", &format!("\tCtx=0\tIn={}", millis(delay)));
        }
    }

    fn place(&mut self, now: Nanos, id: u64, out: &mut String) {
        let Some(held) = self.reqs.get_mut(&id).filter(|held| !held.ended) else { return };
        if let Some(at) = held.ask_at.take() {
            self.due.remove(&(at, id));
        }
        match self.balancer.place(now, &mut held.req) {
            Place::Send { srv, give_up } => {
                let rest = format!("\tRequestId={id}\tUpstream={srv}\tStopAt={}", millis(give_up));
                self.say(out, "issue", &rest);
            }
            Place::Later { ask_at } => {
                let at = ask_at.max(now + 1);
                held.ask_at = Some(at);
                self.due.insert((at, id));
            }
            Place::Deny { come_back } => {
                self.end(id);
                self.say(out, "push_back", &format!("\tRequestId={id}\tPause={}", millis(come_back)));
                self.forget(id);
            }
            Place::Abort => {
                self.end(id);
                self.say(out, "respond_error", &format!("\tRequestId={id}"));
                self.forget(id);
            }
        }
    }

    fn follow(&mut self, now: Nanos, id: u64, follow: Follow, out: &mut String) {
        match follow {
            Follow::Nothing => {}
            Follow::Place => self.place(now, id, out),
            Follow::Recall(number) => self.say(out, "recall", &format!("\tRequestId={id}\tCopy={number}")),
        }
    }

    fn end(&mut self, id: u64) {
        let Some(held) = self.reqs.get_mut(&id) else { return };
        held.ended = true;
        if let Some(at) = held.ask_at.take() {
            self.due.remove(&(at, id));
        }
    }

    /// Drops an ended req once none of its dispatches is out.
    fn forget(&mut self, id: u64) {
        let out = |held: &Held| held.req.dispatches.iter().any(|d| d.how.is_none());
        if self.reqs.get(&id).is_some_and(|held| held.ended && !out(held)) {
            self.reqs.remove(&id);
        }
    }

    fn say(&self, out: &mut String, action: &str, rest: &str) {
        // Writing to a String does not fail.
        let _ = writeln!(out, "{action}\tBalancer={}{rest}", self.number);
    }
}
