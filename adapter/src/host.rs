//! One instance on the wire: decodes what concerns it and turns its acts into lines. It decides nothing.

use std::fmt::Write;

use ochreshed::{Balancer, Event, ListedEndpoint, Nanos, RequestContext};
use ochreshed_hands::{Act, End, Hands};

use crate::wire::{self, Line, millis};

pub struct Host {
    number: u64,
    hands: Hands,
    wake: Option<Nanos>,
}

impl Host {
    pub fn new(number: u64, balancer: Balancer) -> Host {
        Host { number, hands: Hands::new(balancer), wake: None }
    }

    pub fn submit(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        let req = RequestContext {
            id: line.int("RequestId")?,
            rule_set: line.must("Kind")?.into(),
            customer: line.get("Org").unwrap_or_default().into(),
            is_client_retry: line.flag("AgainByClient"),
            received_at: now,
            deadline: now + line.time("Budget")?,
            body_pending: false,
            expected_cost: line.time("CostGuess").ok(),
            preferred_endpoint: None,
            dispatches: Vec::new(),
        };
        self.hands.take(now, req);
        self.write(out);
        Ok(())
    }

    pub fn response(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        let (id, number) = (line.int("RequestId")?, line.int("Copy")? as usize);
        let (how, took) = (wire::how(line.must("How")?)?, line.time("Duration")?);
        let end = End { how, took, closed: line.flag("Closed"), report: &line.report() };
        self.hands.ended(now, id, number, end);
        self.write(out);
        Ok(())
    }

    pub fn client_gone(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        self.hands.left(now, line.int("RequestId")?);
        self.write(out);
        Ok(())
    }

    pub fn probed(&mut self, now: Nanos, line: &Line) -> Result<(), String> {
        let (how, took, report) = (wire::how(line.must("How")?)?, line.time("Duration")?, line.report());
        let srv = line.must("Upstream")?;
        self.hands.news(
            now,
            Event::ProbeEnded { endpoint: srv, outcome: how, duration: took, load_report: &report },
        );
        Ok(())
    }

    pub fn fleet(&mut self, now: Nanos, line: &Line, pool: Option<&[ListedEndpoint]>) -> Result<(), String> {
        let how = line.must("How")?;
        let news = match how {
            "Error" => Event::EndpointListFailed,
            "Partial" | "Complete" | "Persisted" => Event::EndpointsListed {
                is_complete: how != "Partial",
                is_stale: how == "Persisted",
                endpoints: pool.ok_or("fleet names a pool that was never given")?,
            },
            _ => return Err(format!("How={how} is no kind of list")),
        };
        self.hands.news(now, news);
        Ok(())
    }

    /// Asks for what is due and does the chores, at the end of a batch that touched this instance.
    pub fn settle(&mut self, now: Nanos, out: &mut String) {
        let next = self.hands.settle(now);
        self.write(out);
        if self.wake.is_none_or(|wake| wake <= now || next < wake) && next < Nanos::MAX {
            let delay = next.saturating_sub(now).min(4_000_000_000_000);
            self.wake = Some(now + delay);
            self.say(out, "wake_at", &format!("\tCtx=0\tIn={}", millis(delay)));
        }
    }

    fn write(&mut self, out: &mut String) {
        for act in self.hands.acts() {
            match act {
                Act::Send { id, srv, give_up, .. } => {
                    let rest = format!("\tRequestId={id}\tUpstream={srv}\tStopAt={}", millis(give_up));
                    self.say(out, "issue", &rest);
                }
                Act::Recall { id, number } => {
                    self.say(out, "recall", &format!("\tRequestId={id}\tCopy={number}"));
                }
                Act::Deny { id, come_back } => {
                    self.say(out, "push_back", &format!("\tRequestId={id}\tPause={}", millis(come_back)));
                }
                Act::Abort { id } => self.say(out, "respond_error", &format!("\tRequestId={id}")),
                Act::Watch => self.say(out, "watch", "\tEnable=1"),
                Act::List => self.say(out, "query_all", ""),
                Act::Probe(srv) => self.say(out, "touch", &format!("\tUpstream={srv}")),
                Act::Close(srv) => self.say(out, "free_links", &format!("\tUpstream={srv}")),
                Act::Log(text) => self.say(out, "note_down", &format!("\tMessage={text}")),
            }
        }
    }

    fn say(&self, out: &mut String, action: &str, rest: &str) {
        // Writing to a String does not fail.
        let _ = writeln!(out, "{action}\tBalancer={}{rest}", self.number);
    }
}
