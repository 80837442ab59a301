//! One instance on the wire: decodes what concerns it and turns its acts into lines. It decides nothing.

use std::fmt::Write;

use ochreshed::{Balancer, Event, ListedEndpoint, Nanos, RequestContext};
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};

use crate::wire::{self, Line, millis};

pub struct Host {
    number: u64,
    runtime: PolicyRuntime,
    wake: Option<Nanos>,
}

impl Host {
    pub fn new(number: u64, balancer: Balancer) -> Host {
        Host { number, runtime: PolicyRuntime::new(balancer), wake: None }
    }

    pub fn submit(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        self.runtime.accept_request(now, read_request(now, line)?);
        self.write(out);
        Ok(())
    }

    pub fn response(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        let (id, number) = (line.int("RequestId")?, line.int("Copy")? as usize);
        let (how, took) = (wire::how(line.must("How")?)?, line.time("Duration")?);
        let end = DispatchResult {
            outcome: how,
            duration: took,
            is_final: line.flag("Closed"),
            load_report: &line.report(),
        };
        self.runtime.handle_dispatch_ended(now, id, number, end);
        self.write(out);
        Ok(())
    }

    pub fn client_gone(&mut self, now: Nanos, line: &Line, out: &mut String) -> Result<(), String> {
        self.runtime.handle_client_disconnected(now, line.int("RequestId")?);
        self.write(out);
        Ok(())
    }

    pub fn probed(&mut self, now: Nanos, line: &Line) -> Result<(), String> {
        let (how, took, report) = (wire::how(line.must("How")?)?, line.time("Duration")?, line.report());
        let srv = line.must("Upstream")?;
        self.runtime.handle_event(
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
        self.runtime.handle_event(now, news);
        Ok(())
    }

    /// Asks for what is due and does the chores, at the end of a batch that touched this instance.
    pub fn settle(&mut self, now: Nanos, out: &mut String) {
        let next = self.runtime.run_due_work(now);
        self.write(out);
        if self.wake.is_none_or(|wake| wake <= now || next < wake) && next < Nanos::MAX {
            let delay = next.saturating_sub(now).min(4_000_000_000_000);
            self.wake = Some(now + delay);
            self.say(out, "wake_at", &format!("\tCtx=0\tIn={}", millis(delay)));
        }
    }

    fn write(&mut self, out: &mut String) {
        for act in self.runtime.take_actions() {
            self.write_act(act, out);
        }
    }

    fn write_act(&self, act: Action, out: &mut String) {
        match act {
            Action::Send { request_id: id, endpoint: srv, give_up_at: give_up, .. } => {
                let rest = format!("\tRequestId={id}\tUpstream={srv}\tStopAt={}", millis(give_up));
                self.say(out, "issue", &rest);
            }
            Action::CancelDispatch { request_id: id, dispatch_index: number } => {
                self.say(out, "recall", &format!("\tRequestId={id}\tCopy={number}"));
            }
            Action::Deny { request_id: id, retry_after: come_back } => {
                self.say(out, "push_back", &format!("\tRequestId={id}\tPause={}", millis(come_back)));
            }
            Action::Abort { request_id: id } => self.say(out, "respond_error", &format!("\tRequestId={id}")),
            Action::WatchEndpoints => self.say(out, "watch", "\tEnable=1"),
            Action::FetchEndpoints => self.say(out, "query_all", ""),
            Action::Probe(srv) => self.say(out, "touch", &format!("\tUpstream={srv}")),
            Action::CloseIdleConnections(srv) => self.say(out, "free_links", &format!("\tUpstream={srv}")),
            Action::Log(text) => self.say(out, "note_down", &format!("\tMessage={text}")),
        }
    }

    fn say(&self, out: &mut String, action: &str, rest: &str) {
        // Writing to a String does not fail.
        let _ = writeln!(out, "{action}\tBalancer={}{rest}", self.number);
    }
}

/// The request of a `submit` line.
fn read_request(now: Nanos, line: &Line) -> Result<RequestContext, String> {
    Ok(RequestContext {
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
    })
}

#[cfg(test)]
mod tests {
    use expect_test::expect;
    use ochreshed::Parameters;

    use super::*;

    /// The simulator parses these lines. The policy does not use all actions at present, so they are written one by
    /// one here.
    #[test]
    fn each_action_is_written_as_its_line() {
        let host = Host::new(3, Balancer::new(0, 9, Parameters::new()));
        let mut lines = String::new();
        for act in [
            Action::Send {
                request_id: 7,
                dispatch_index: 1,
                endpoint: "10.0.0.1:80".into(),
                give_up_at: 1_240_750_000,
            },
            Action::CancelDispatch { request_id: 7, dispatch_index: 1 },
            Action::Deny { request_id: 7, retry_after: 1_500_000 },
            Action::Abort { request_id: 7 },
            Action::WatchEndpoints,
            Action::FetchEndpoints,
            Action::Probe("10.0.0.1:80".into()),
            Action::CloseIdleConnections("10.0.0.1:80".into()),
            Action::Log("text".into()),
        ] {
            host.write_act(act, &mut lines);
        }
        expect![[r#"
            issue	Balancer=3	RequestId=7	Upstream=10.0.0.1:80	StopAt=1240.750000
            recall	Balancer=3	RequestId=7	Copy=1
            push_back	Balancer=3	RequestId=7	Pause=1.500000
            respond_error	Balancer=3	RequestId=7
            watch	Balancer=3	Enable=1
            query_all	Balancer=3
            touch	Balancer=3	Upstream=10.0.0.1:80
            free_links	Balancer=3	Upstream=10.0.0.1:80
            note_down	Balancer=3	Message=text
        "#]]
        .assert_eq(&lines);
    }

    #[test]
    fn each_field_of_a_submit_line_is_read() {
        let lines = [
            "submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=pay\tOrg=acme\tAgainByClient=1\tCostGuess=3",
            "submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=pay",
        ];
        let requests: String = lines
            .iter()
            .map(|line| {
                let request = read_request(1_000_000, &Line::read(line).expect("a line")).expect("a request");
                format!(
                    "{} {} {:?} {} {} {} {} {:?} {:?} {}\n",
                    request.id,
                    request.rule_set,
                    request.customer,
                    request.is_client_retry,
                    request.received_at,
                    request.deadline,
                    request.body_pending,
                    request.expected_cost,
                    request.preferred_endpoint,
                    request.dispatches.len()
                )
            })
            .collect();
        expect![[r#"
            7 pay "acme" true 1000000 241500000 false Some(3000000) None 0
            7 pay "" false 1000000 241500000 false None None 0
        "#]]
        .assert_eq(&requests);
    }
}
