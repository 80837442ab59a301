//! Runs the policy on the wire of a simulator: reads batches of events, passes them to the simulated balancer instances, and
//! writes their actions.
//!
//! A batch is a `turn` line with the time, event lines, and an `end` line. Each is answered with the lines of the actions and
//! an `end` line. The module `wire` parses the lines, and `instance` translates them for the policy.

mod instance;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use instance::Instance;
use ochreshed::{Balancer, ListedEndpoint, Nanos};
use ochreshed_policy_runtime::parameters::parse_parameters;
use wire::Line;

/// Serves batches until the input ends. An error names the line that could not be processed and the reason.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut lines = LineReader { input: &mut input, line_number: 0, text: String::new() };
    let mut adapter = Adapter::default();
    loop {
        let reply = adapter
            .process_batch(&mut lines)
            .map_err(|error| format!("line {}: {error}", lines.line_number))?;
        let Some(reply) = reply else { return Ok(()) };
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
}

struct LineReader<'a, R> {
    input: &'a mut R,
    line_number: u64,
    /// The current line, without its end.
    text: String,
}

impl<R: BufRead> LineReader<'_, R> {
    /// Reads the next line into `text`; `false` at the end of the input.
    fn read_line(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.line_number += 1;
        let byte_count = self.input.read_line(&mut self.text).map_err(|e| e.to_string())?;
        if byte_count > 0 && !self.text.ends_with('\n') {
            return Err("input ends within a line".into());
        }
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(byte_count > 0)
    }
}

/// The endpoint lists that the simulator has sent, by their `Ref`.
type Pools = BTreeMap<u64, Vec<ListedEndpoint>>;

#[derive(Default)]
struct Adapter {
    /// By the simulator's `Balancer` number.
    instances: BTreeMap<u64, Instance>,
    pools: Pools,
}

impl Adapter {
    /// Processes one batch and returns the reply, or `None` at the end of the input.
    fn process_batch<R: BufRead>(&mut self, lines: &mut LineReader<R>) -> Result<Option<String>, String> {
        loop {
            if !lines.read_line()? {
                return Ok(None);
            }
            // Empty lines separate batches.
            if !lines.text.is_empty() {
                break;
            }
        }
        let mut reply = String::new();
        let head = Line::parse(&lines.text)?;
        if head.name != "turn" {
            return Err(format!("expected turn, found {}", head.name));
        }
        let now = head.time("AtTime")?;
        let mut instances_with_events = BTreeSet::new();
        loop {
            if !lines.read_line()? {
                return Err("input ends within a batch".into());
            }
            if lines.text == "end" {
                break;
            }
            let text = std::mem::take(&mut lines.text);
            let line = Line::parse(&text)?;
            if line.name == "pool" {
                self.read_pool(&line, lines)?;
            } else if let Some(number) = self.process_event(now, &line, &mut reply)? {
                instances_with_events.insert(number);
            }
            lines.text = text;
        }
        for number in instances_with_events {
            self.run_instance(number, &mut reply, |instance, _, reply| {
                instance.run_due_work(now, reply);
                Ok(())
            })?;
        }
        reply.push_str("end\n");
        Ok(Some(reply))
    }

    fn read_pool<R: BufRead>(&mut self, line: &Line, lines: &mut LineReader<R>) -> Result<(), String> {
        let mut endpoints = Vec::new();
        for _ in 0..line.integer("Lines")? {
            if !lines.read_line()? {
                return Err("input ends within a pool".into());
            }
            let entry = Line::parse(&lines.text)?;
            if entry.name != "upstream" {
                return Err(format!("expected upstream, found {}", entry.name));
            }
            endpoints.push(wire::parse_endpoint(&entry)?);
        }
        self.pools.insert(line.integer("Ref")?, endpoints);
        Ok(())
    }

    /// Processes one event. Returns the number of the instance that it was for, or `None` if the event is ignored.
    fn process_event(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<Option<u64>, String> {
        if !matches!(
            line.name,
            "start" | "stop" | "fleet" | "submit" | "response" | "client_gone" | "ping_result" | "tick_due"
        ) {
            // Unknown events are ignored, and so are `peer` and `begun`: instances exchange nothing here, and the outcome of
            // a stream that has begun still follows.
            return Ok(None);
        }
        let number = line.integer("Balancer")?;
        match line.name {
            "start" => self.start_instance(number, now, line, reply)?,
            "stop" => {
                self.instances.remove(&number);
            }
            _ => self.run_instance(number, reply, |instance, pools, reply| match line.name {
                "submit" => instance.handle_submit(now, line, reply),
                "response" => instance.handle_response(now, line, reply),
                "client_gone" => instance.handle_client_gone(now, line, reply),
                "ping_result" => instance.handle_ping_result(now, line),
                "fleet" => {
                    let pool = line.integer("Ref").ok().and_then(|pool_ref| pools.get(&pool_ref));
                    instance.handle_fleet(now, line, pool.map(Vec::as_slice))
                }
                // `tick_due` only causes the due work to run at the end of the batch.
                _ => Ok(()),
            })?,
        }
        Ok(Some(number))
    }

    /// Starts an instance, or writes `broken` for it if its settings are invalid.
    fn start_instance(
        &mut self,
        number: u64,
        now: Nanos,
        line: &Line,
        reply: &mut String,
    ) -> Result<(), String> {
        let seed = line.integer("RngSeed")?;
        self.instances.remove(&number);
        let balancer = parse_parameters(line.required("ProfileData")?).and_then(|parameters| {
            catch_unwind(AssertUnwindSafe(|| Balancer::new(now, seed, parameters)))
                .map_err(|_| "panic at start".into())
        });
        match balancer {
            Ok(balancer) => {
                self.instances.insert(number, Instance::new(number, balancer));
            }
            Err(error) => write_broken(number, &error, reply),
        }
        Ok(())
    }

    /// Runs `run` on an instance, if it exists. If the policy panics, the instance is removed and `broken` written for it.
    fn run_instance(
        &mut self,
        number: u64,
        reply: &mut String,
        run: impl FnOnce(&mut Instance, &Pools, &mut String) -> Result<(), String>,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        match catch_unwind(AssertUnwindSafe(|| run(instance, &self.pools, reply))) {
            Ok(result) => result,
            Err(panic) => {
                let message = panic.downcast_ref::<String>().cloned();
                let message = message.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                self.instances.remove(&number);
                write_broken(number, &message.unwrap_or_else(|| "panic".into()), reply);
                Ok(())
            }
        }
    }
}

fn write_broken(number: u64, message: &str, reply: &mut String) {
    let message = message.replace(['\n', '\t'], " ");
    let _ = writeln!(reply, "broken\tBalancer={number}\tMessage={message}");
}
