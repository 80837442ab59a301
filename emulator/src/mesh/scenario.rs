//! The file that describes a mesh's stretch of time: how many machines, their links, processors and disks, what goes on
//! and what goes wrong. It owns its reading and its checks; unknown fields are refused.

use serde::Deserialize;

use crate::random::DurationDistribution;
use crate::scenario::deserialize_duration;
use crate::{Nanos, S};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Attendants.
    pub nodes: usize,
    pub stewards: usize,
    /// So many machines may be lost at once: twice as many and one vote.
    #[serde(rename = "tolerate")]
    pub tolerated_failures: usize,
    /// So many attendants start a second at first.
    pub starts_per_s: f64,
    /// Nothing is counted until so long after the last of them.
    #[serde(rename = "settles", deserialize_with = "deserialize_duration")]
    pub settling_time: Nanos,
    /// Counted for so long.
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    pub link: Link,
    pub processor: Processor,
    /// A write and its sync.
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
    /// One way.
    pub delay: DurationDistribution,
    /// The part of messages that is lost and sent again by the system, so much later.
    pub loss: f64,
    #[serde(rename = "again", deserialize_with = "deserialize_duration")]
    pub retransmit_delay: Nanos,
    /// Of each machine, each way, in millions of bits a second.
    #[serde(rename = "mbit")]
    pub bandwidth_mbit_s: f64,
    /// What goes over the wire with each message besides its frame, in bytes.
    #[serde(rename = "head")]
    pub overhead_bytes: u64,
}

/// What work takes on a whole core; a steward has a part of one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    pub steward_share: f64,
    pub attendant_share: f64,
    /// To send or to take a message, and each KiB of it.
    #[serde(rename = "message", deserialize_with = "deserialize_duration")]
    pub message_time: Nanos,
    #[serde(rename = "kib", deserialize_with = "deserialize_duration")]
    pub kib_time: Nanos,
    /// A timer that goes off.
    #[serde(rename = "wake", deserialize_with = "deserialize_duration")]
    pub timer_time: Nanos,
    /// An open ask that looks whether there is news for it.
    #[serde(rename = "reader", deserialize_with = "deserialize_duration")]
    pub watch_check_time: Nanos,
    /// For each row that is gone through: by a steward's look, by its merges, by an attendant that lists them anew.
    #[serde(rename = "row", deserialize_with = "deserialize_duration")]
    pub record_time: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configurations {
    /// Bytes of a configuration, of which a line changes with each; one is sent every so often.
    pub bytes: usize,
    #[serde(rename = "every", deserialize_with = "deserialize_duration")]
    pub interval: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstreams {
    pub services: usize,
    /// Drains, ends and starts, for each attendant an hour.
    #[serde(rename = "turns_per_h")]
    pub turnovers_per_h: f64,
    #[serde(rename = "cold", deserialize_with = "deserialize_duration")]
    pub slow_start: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leases {
    /// From each gate.
    pub per_s: f64,
    /// The part that repeats one of the last keys of the mesh.
    #[serde(rename = "repeats")]
    pub repeat_fraction: f64,
    /// How long a granted req runs, and the bytes of its answer.
    #[serde(rename = "run")]
    pub run_time: DurationDistribution,
    #[serde(rename = "answer")]
    pub response_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Processes end at once, one after the other over the time, and each starts again after `down`.
    Kill,
    /// They stand still for as long as it lasts.
    Freeze,
    /// They and all others don't hear each other.
    Cut,
    /// Machines are restarted in turn over the time: drained, ended, back after `down`.
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
    /// From when it is counted on.
    #[serde(rename = "at", deserialize_with = "deserialize_duration")]
    pub starts_at: Nanos,
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    #[serde(rename = "what")]
    pub kind: FaultKind,
    #[serde(rename = "who")]
    pub target: FaultTarget,
    /// So many, the first ones; or this part of all.
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
    /// How long the first starts take.
    pub fn startup_time(&self) -> Nanos {
        (self.nodes as f64 / self.starts_per_s * 1e9) as Nanos
    }

    /// From the beginning until it is counted.
    pub fn warm_up_time(&self) -> Nanos {
        self.startup_time() + self.settling_time
    }

    /// Reads and checks a file's text; the error says where and what.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = scenario.validation_errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors.join("\n")) }
    }

    /// What of it can't be, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut must = |right: bool, what: &str| {
            if !right {
                errors.push(what.to_owned());
            }
        };
        let part = |part: f64| (0.0..=1.0).contains(&part);
        must((1..=5_000).contains(&self.nodes), "nodes: from 1 to 5,000");
        must((1..=64).contains(&self.stewards), "stewards: from 1 to 64");
        must(
            2 * self.tolerated_failures < self.stewards,
            "tolerate: twice as many and one have to be stewards",
        );
        must(
            self.duration > 0 && self.settling_time >= S,
            "lasts, settles: it has to last, and settle at least 1s",
        );
        must((0.1..=1e4).contains(&self.starts_per_s), "starts_per_s: from 0.1 to 10,000");
        must((0.0..0.5).contains(&self.link.loss), "link.loss: a part under a half");
        must(self.link.bandwidth_mbit_s > 0.0, "link.mbit: over 0");
        let shares = [self.processor.steward_share, self.processor.attendant_share];
        must(shares.iter().all(|share| *share > 0.0), "processor: shares are over 0");
        must((1..=8 << 20).contains(&self.configurations.bytes), "sheets.bytes: from 1 to 8 MiB");
        must(self.configurations.interval > 0, "sheets.every: over 0");
        must(self.upstreams.services > 0, "upstreams.services: at least one");
        must(
            (0.0..=3_600.0).contains(&self.upstreams.turnovers_per_h),
            "upstreams.turns_per_h: from 0 to 3,600",
        );
        must((0.0..=1_000.0).contains(&self.leases.per_s), "claims.per_s: from 0 to 1,000");
        must(part(self.leases.repeat_fraction), "claims.repeats: a part");
        must(self.leases.response_bytes <= 65_536, "claims.answer: 65,536 bytes at most");
        must(self.faults.iter().all(|trouble| part(trouble.fraction)), "troubles: part is a part");
        for (name, span) in [
            ("link.delay", &self.link.delay),
            ("sync", &self.disk_sync_time),
            ("claims.run", &self.leases.run_time),
        ] {
            if let Err(why) = span.validate() {
                must(false, &format!("{name}: {why}"));
            }
        }
        errors
    }
}
