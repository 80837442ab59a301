//! One simulated balancer instance: translates the simulator's event lines for the policy, and the policy's actions to lines.
//! It makes no decisions.

use std::fmt::Write;

use ochreshed::{Balancer, Event, ListedEndpoint, Nanos, RequestContext};
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};

use crate::wire::{self, Line, format_millis};

/// The longest delay of a `wake_at` line.
const MAX_WAKE_DELAY: Nanos = 4_000_000_000_000;

pub struct Instance {
    number: u64,
    runtime: PolicyRuntime,
    /// When the last requested `wake_at` is due.
    wake_at: Option<Nanos>,
}

impl Instance {
    pub fn new(number: u64, balancer: Balancer) -> Instance {
        Instance { number, runtime: PolicyRuntime::new(balancer), wake_at: None }
    }

    pub fn handle_submit(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), String> {
        self.runtime.accept_request(now, parse_request(now, line)?);
        self.write_actions(reply);
        Ok(())
    }

    pub fn handle_response(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), String> {
        let (id, dispatch_index) = (line.integer("RequestId")?, line.integer("Copy")? as usize);
        let (outcome, duration) = (wire::parse_outcome(line.required("How")?)?, line.time("Duration")?);
        let (is_final, load_report) = (line.flag("Closed"), line.load_report());
        let result = DispatchResult { outcome, duration, is_final, load_report: &load_report };
        self.runtime.handle_dispatch_ended(now, id, dispatch_index, result);
        self.write_actions(reply);
        Ok(())
    }

    pub fn handle_client_gone(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), String> {
        self.runtime.handle_client_disconnected(now, line.integer("RequestId")?);
        self.write_actions(reply);
        Ok(())
    }

    pub fn handle_ping_result(&mut self, now: Nanos, line: &Line) -> Result<(), String> {
        let (outcome, duration) = (wire::parse_outcome(line.required("How")?)?, line.time("Duration")?);
        let (endpoint, load_report) = (line.required("Upstream")?, line.load_report());
        self.runtime
            .handle_event(now, Event::ProbeEnded { endpoint, outcome, duration, load_report: &load_report });
        Ok(())
    }

    /// Handles a `fleet` line: an endpoint list, which is in `pool`, or the failure to get one.
    pub fn handle_fleet(
        &mut self,
        now: Nanos,
        line: &Line,
        pool: Option<&[ListedEndpoint]>,
    ) -> Result<(), String> {
        let how = line.required("How")?;
        let event = match how {
            "Error" => Event::EndpointListFailed,
            "Partial" | "Complete" | "Persisted" => Event::EndpointsListed {
                is_complete: how != "Partial",
                is_stale: how == "Persisted",
                endpoints: pool.ok_or("fleet refers to an unknown pool")?,
            },
            _ => return Err(format!("How={how} is not a list status")),
        };
        self.runtime.handle_event(now, event);
        Ok(())
    }

    /// Runs the policy's due work, at the end of a batch with an event for this instance, and requests the next wake-up if
    /// none is pending or it must be sooner.
    pub fn run_due_work(&mut self, now: Nanos, reply: &mut String) {
        let next = self.runtime.run_due_work(now);
        self.write_actions(reply);
        if self.wake_at.is_none_or(|wake_at| wake_at <= now || next < wake_at) && next < Nanos::MAX {
            let delay = next.saturating_sub(now).min(MAX_WAKE_DELAY);
            self.wake_at = Some(now + delay);
            self.write_line(reply, "wake_at", &format!("\tCtx=0\tIn={}", format_millis(delay)));
        }
    }

    fn write_actions(&mut self, reply: &mut String) {
        for action in self.runtime.take_actions() {
            self.write_action(action, reply);
        }
    }

    fn write_action(&self, action: Action, reply: &mut String) {
        match action {
            Action::Send { request_id, endpoint, give_up_at, .. } => {
                let give_up_at = format_millis(give_up_at);
                let fields = format!("\tRequestId={request_id}\tUpstream={endpoint}\tStopAt={give_up_at}");
                self.write_line(reply, "issue", &fields);
            }
            Action::CancelDispatch { request_id, dispatch_index } => {
                let fields = format!("\tRequestId={request_id}\tCopy={dispatch_index}");
                self.write_line(reply, "recall", &fields);
            }
            Action::Deny { request_id, retry_after } => {
                let fields = format!("\tRequestId={request_id}\tPause={}", format_millis(retry_after));
                self.write_line(reply, "push_back", &fields);
            }
            Action::Abort { request_id } => {
                self.write_line(reply, "respond_error", &format!("\tRequestId={request_id}"))
            }
            Action::WatchEndpoints => self.write_line(reply, "watch", "\tEnable=1"),
            Action::FetchEndpoints => self.write_line(reply, "query_all", ""),
            Action::Probe(endpoint) => self.write_line(reply, "touch", &format!("\tUpstream={endpoint}")),
            Action::CloseIdleConnections(endpoint) => {
                self.write_line(reply, "free_links", &format!("\tUpstream={endpoint}"))
            }
            Action::Log(text) => self.write_line(reply, "note_down", &format!("\tMessage={text}")),
        }
    }

    fn write_line(&self, reply: &mut String, name: &str, fields: &str) {
        // Writing to a String does not fail.
        let _ = writeln!(reply, "{name}\tBalancer={}{fields}", self.number);
    }
}

/// The request of a `submit` line.
fn parse_request(now: Nanos, line: &Line) -> Result<RequestContext, String> {
    Ok(RequestContext {
        id: line.integer("RequestId")?,
        rule_set: line.required("Kind")?.into(),
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

    /// The simulator parses these lines. The policy does not use all actions at present, so that the tests on the wire can't
    /// cover them.
    #[test]
    fn each_action_is_written_as_its_line() {
        let instance = Instance::new(3, Balancer::new(0, 9, Parameters::new()));
        let mut lines = String::new();
        for action in [
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
            instance.write_action(action, &mut lines);
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
    fn each_field_of_a_submit_line_is_parsed() {
        let lines = [
            "submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=pay\tOrg=acme\tAgainByClient=1\tCostGuess=3",
            "submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=pay",
        ];
        let requests: String = lines
            .iter()
            .map(|line| {
                let request =
                    parse_request(1_000_000, &Line::parse(line).expect("a line")).expect("a request");
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
