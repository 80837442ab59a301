//! Scenario files of the mesh simulation: machines, links, processors, disks, load and faults. Unknown keys are rejected.

use serde::Deserialize;

use crate::random::DurationDistribution;
use crate::scenario::deserialize_duration;
use crate::{Nanos, S};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Number of attendants.
    pub nodes: usize,
    pub stewards: usize,
    /// Number of stewards that may fail at once; twice as many plus one vote.
    #[serde(rename = "tolerate")]
    pub tolerated_failures: usize,
    /// Attendants started per second at the beginning.
    pub starts_per_s: f64,
    /// Time between the last start and the measurement.
    #[serde(rename = "settles", deserialize_with = "deserialize_duration")]
    pub settling_time: Nanos,
    /// Duration of the measurement.
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    pub link: Link,
    pub processor: Processor,
    /// Time of a write with its sync.
    #[serde(rename = "sync")]
    pub disk_sync_time: DurationDistribution,
    #[serde(rename = "sheets")]
    pub configurations: Configurations,
    pub upstreams: Upstreams,
    #[serde(rename = "claims")]
    pub leases: Leases,
    #[serde(rename = "troubles", default)]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One-way delay.
    pub delay: DurationDistribution,
    /// Fraction of messages that is lost and retransmitted after `retransmit_delay`.
    pub loss: f64,
    #[serde(rename = "again", deserialize_with = "deserialize_duration")]
    pub retransmit_delay: Nanos,
    /// Bandwidth of each machine in each direction.
    #[serde(rename = "mbit")]
    pub bandwidth_mbit_s: f64,
    /// Bytes on the wire per message in addition to its frame.
    #[serde(rename = "head")]
    pub overhead_bytes: u64,
}

/// Processor time of work on a whole core; a process has a share of one core.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    pub steward_share: f64,
    pub attendant_share: f64,
    /// Sending or receiving a message, without its size.
    #[serde(rename = "message", deserialize_with = "deserialize_duration")]
    pub message_time: Nanos,
    #[serde(rename = "kib", deserialize_with = "deserialize_duration")]
    pub kib_time: Nanos,
    /// An expired timer.
    #[serde(rename = "wake", deserialize_with = "deserialize_duration")]
    pub timer_time: Nanos,
    /// Checking a waiting watch for updates.
    #[serde(rename = "reader", deserialize_with = "deserialize_duration")]
    pub watch_check_time: Nanos,
    /// Each record in a suspect check, in a merge, or in a rebuilt endpoint list.
    #[serde(rename = "row", deserialize_with = "deserialize_duration")]
    pub record_time: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configurations {
    /// Size of a configuration; one line changes with each version.
    pub bytes: usize,
    #[serde(rename = "every", deserialize_with = "deserialize_duration")]
    pub interval: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstreams {
    pub services: usize,
    /// Drains with restart, per attendant and hour.
    #[serde(rename = "turns_per_h")]
    pub turnovers_per_h: f64,
    #[serde(rename = "cold", deserialize_with = "deserialize_duration")]
    pub slow_start: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leases {
    /// Lease requests per second of each attendant.
    pub per_s: f64,
    /// Fraction of lease requests that repeat a recent key.
    #[serde(rename = "repeats")]
    pub repeat_fraction: f64,
    /// How long a request with a lease runs.
    #[serde(rename = "run")]
    pub run_time: DurationDistribution,
    #[serde(rename = "answer")]
    pub response_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Processes are killed one by one over the duration; each restarts after `downtime`.
    Kill,
    /// Processes freeze for the duration.
    Freeze,
    /// The machines are partitioned from all others.
    Cut,
    /// Machines restart one by one over the duration: drain, stop, start after `downtime`.
    Roll,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultTarget {
    Attendants,
    Stewards,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Relative to the start of the measurement.
    #[serde(rename = "at", deserialize_with = "deserialize_duration")]
    pub starts_at: Nanos,
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    #[serde(rename = "what")]
    pub kind: FaultKind,
    #[serde(rename = "who")]
    pub target: FaultTarget,
    /// Number of affected machines from the first on; the larger of `count` and `fraction` applies.
    #[serde(rename = "number", default)]
    pub count: usize,
    #[serde(rename = "part", default)]
    pub fraction: f64,
    #[serde(rename = "down", default, deserialize_with = "deserialize_duration")]
    pub downtime: Nanos,
}

impl Fault {
    pub fn target_count(&self, of: usize) -> usize {
        self.count.max((self.fraction * of as f64).ceil() as usize).min(of)
    }
}

impl Scenario {
    /// Duration of the initial starts.
    pub fn startup_time(&self) -> Nanos {
        (self.nodes as f64 / self.starts_per_s * 1e9) as Nanos
    }

    /// Time from the beginning until the measurement.
    pub fn warm_up_time(&self) -> Nanos {
        self.startup_time() + self.settling_time
    }

    /// Parses and validates the text of a scenario file.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = scenario.validation_errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors.join("\n")) }
    }

    /// Returns all invalid values, each with its key.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |valid: bool, what: &str| {
            if !valid {
                errors.push(what.to_owned());
            }
        };
        let part = |part: f64| (0.0..=1.0).contains(&part);
        check((1..=5_000).contains(&self.nodes), "nodes: from 1 to 5,000");
        check((1..=64).contains(&self.stewards), "stewards: from 1 to 64");
        check(
            2 * self.tolerated_failures < self.stewards,
            "tolerate: stewards must be at least twice as many plus one",
        );
        check(
            self.duration > 0 && self.settling_time >= S,
            "lasts, settles: lasts must be over 0, and settles at least 1s",
        );
        check((0.1..=1e4).contains(&self.starts_per_s), "starts_per_s: from 0.1 to 10,000");
        check((0.0..0.5).contains(&self.link.loss), "link.loss: must be at least 0 and under 0.5");
        check(self.link.bandwidth_mbit_s > 0.0, "link.mbit: over 0");
        let shares = [self.processor.steward_share, self.processor.attendant_share];
        check(shares.iter().all(|share| *share > 0.0), "processor: shares must be over 0");
        check((1..=8 << 20).contains(&self.configurations.bytes), "sheets.bytes: from 1 to 8 MiB");
        check(self.configurations.interval > 0, "sheets.every: over 0");
        check(self.upstreams.services > 0, "upstreams.services: at least one");
        check(
            (0.0..=3_600.0).contains(&self.upstreams.turnovers_per_h),
            "upstreams.turns_per_h: from 0 to 3,600",
        );
        check((0.0..=1_000.0).contains(&self.leases.per_s), "claims.per_s: from 0 to 1,000");
        check(part(self.leases.repeat_fraction), "claims.repeats: must be from 0 to 1");
        check(self.leases.response_bytes <= 65_536, "claims.answer: 65,536 bytes at most");
        check(self.faults.iter().all(|fault| part(fault.fraction)), "troubles: part must be from 0 to 1");
        for (name, span) in [
            ("link.delay", &self.link.delay),
            ("sync", &self.disk_sync_time),
            ("claims.run", &self.leases.run_time),
        ] {
            if let Err(why) = span.validate() {
                check(false, &format!("{name}: {why}"));
            }
        }
        errors
    }
}
