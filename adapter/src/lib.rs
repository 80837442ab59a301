//! The adapter: reads batches of events, lends reqs to the instances, writes their answers.

mod host;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use host::Host;
use ochreshed::{Balancer, ListedEndpoint, Nanos};
use wire::Line;

/// Serves batches until the input ends; an error says which line could not be taken and why.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut lines = Lines { input: &mut input, number: 0, text: String::new() };
    let mut adapter = Adapter::default();
    loop {
        let reply = adapter.batch(&mut lines).map_err(|why| format!("line {}: {why}", lines.number))?;
        let Some(reply) = reply else { return Ok(()) };
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
}

struct Lines<'a, R> {
    input: &'a mut R,
    number: u64,
    text: String,
}

impl<R: BufRead> Lines<'_, R> {
    fn next(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.number += 1;
        let got = self.input.read_line(&mut self.text).map_err(|e| e.to_string())?;
        if got > 0 && !self.text.ends_with('\n') {
            return Err("cut off".into());
        }
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(got > 0)
    }
}

#[derive(Default)]
struct Adapter {
    hosts: BTreeMap<u64, Host>,
    pools: BTreeMap<u64, Vec<ListedEndpoint>>,
}

impl Adapter {
    /// Takes one batch and answers with the reply to it; none at the end of the input.
    fn batch<R: BufRead>(&mut self, lines: &mut Lines<R>) -> Result<Option<String>, String> {
        loop {
            if !lines.next()? {
                return Ok(None);
            }
            // The lines that set batches apart are empty.
            if !lines.text.is_empty() {
                break;
            }
        }
        let mut reply = String::new();
        let head = Line::read(&lines.text)?;
        if head.name != "turn" {
            return Err(format!("expected turn, found {}", head.name));
        }
        let now = head.time("AtTime")?;
        let mut touched = BTreeSet::new();
        loop {
            if !lines.next()? {
                return Err("input ends within a batch".into());
            }
            if lines.text == "end" {
                break;
            }
            let text = std::mem::take(&mut lines.text);
            let line = Line::read(&text)?;
            if line.name == "pool" {
                self.pool(&line, lines)?;
            } else if let Some(number) = self.event(now, &line, &mut reply)? {
                touched.insert(number);
            }
            lines.text = text;
        }
        for number in touched {
            self.with(number, &mut reply, |host, _, out| {
                host.settle(now, out);
                Ok(())
            })?;
        }
        reply.push_str("end\n");
        Ok(Some(reply))
    }

    fn pool<R: BufRead>(&mut self, line: &Line, lines: &mut Lines<R>) -> Result<(), String> {
        let mut entries = Vec::new();
        for _ in 0..line.int("Lines")? {
            if !lines.next()? {
                return Err("input ends within a pool".into());
            }
            let entry = Line::read(&lines.text)?;
            if entry.name != "upstream" {
                return Err(format!("expected upstream, found {}", entry.name));
            }
            entries.push(wire::listed(&entry)?);
        }
        self.pools.insert(line.int("Ref")?, entries);
        Ok(())
    }

    /// Takes one event; answers with the instance it was for, if it may act on it.
    fn event(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<Option<u64>, String> {
        if !matches!(
            line.name,
            "start" | "stop" | "fleet" | "submit" | "response" | "client_gone" | "ping_result" | "tick_due"
        ) {
            // Unknown events are skipped; `peer` and `begun` change nothing here: no instance tells
            // another anything, and a stream's outcome still follows.
            return Ok(None);
        }
        let number = line.int("Balancer")?;
        match line.name {
            "start" => self.start(number, now, line, reply)?,
            "stop" => {
                self.hosts.remove(&number);
            }
            _ => self.with(number, reply, |host, pools, out| match line.name {
                "submit" => host.submit(now, line, out),
                "response" => host.response(now, line, out),
                "client_gone" => host.client_gone(now, line, out),
                "ping_result" => host.probed(now, line),
                "fleet" => {
                    let pool = line.int("Ref").ok().and_then(|at| pools.get(&at));
                    host.fleet(now, line, pool.map(Vec::as_slice))
                }
                _ => Ok(()),
            })?,
        }
        Ok(Some(number))
    }

    fn start(&mut self, number: u64, now: Nanos, line: &Line, reply: &mut String) -> Result<(), String> {
        let seed = line.int("RngSeed")?;
        self.hosts.remove(&number);
        let made = ochreshed_policy_runtime::parameters::parse_parameters(line.must("ProfileData")?)
            .and_then(|facts| {
                catch_unwind(AssertUnwindSafe(|| Balancer::new(now, seed, facts)))
                    .map_err(|_| "panic at start".into())
            });
        match made {
            Ok(balancer) => {
                self.hosts.insert(number, Host::new(number, balancer));
            }
            Err(why) => broken(number, &why, reply),
        }
        Ok(())
    }

    /// Runs one instance's part; a panic in the module ends that instance with `broken`.
    fn with(
        &mut self,
        number: u64,
        reply: &mut String,
        run: impl FnOnce(&mut Host, &BTreeMap<u64, Vec<ListedEndpoint>>, &mut String) -> Result<(), String>,
    ) -> Result<(), String> {
        let Some(host) = self.hosts.get_mut(&number) else { return Ok(()) };
        match catch_unwind(AssertUnwindSafe(|| run(host, &self.pools, reply))) {
            Ok(done) => done,
            Err(cause) => {
                let text = cause.downcast_ref::<String>().cloned();
                let text = text.or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string()));
                self.hosts.remove(&number);
                broken(number, &text.unwrap_or_else(|| "panic".into()), reply);
                Ok(())
            }
        }
    }
}

fn broken(number: u64, why: &str, reply: &mut String) {
    let why = why.replace(['\n', '\t'], " ");
    let _ = writeln!(reply, "broken\tBalancer={number}\tMessage={why}");
}
