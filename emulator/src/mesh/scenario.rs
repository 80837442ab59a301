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
    pub tolerate: usize,
    /// So many attendants start a second at first.
    pub starts_per_s: f64,
    /// Nothing is counted until so long after the last of them.
    #[serde(deserialize_with = "deserialize_duration")]
    pub settles: Nanos,
    /// Counted for so long.
    #[serde(deserialize_with = "deserialize_duration")]
    pub lasts: Nanos,
    pub link: Link,
    pub processor: Processor,
    /// A write and its sync.
    pub sync: DurationDistribution,
    pub sheets: Sheets,
    pub upstreams: Upstreams,
    pub claims: Claims,
    #[serde(default)]
    pub troubles: Vec<Fault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One way.
    pub delay: DurationDistribution,
    /// The part of messages that is lost and sent again by the system, so much later.
    pub loss: f64,
    #[serde(deserialize_with = "deserialize_duration")]
    pub again: Nanos,
    /// Of each machine, each way, in millions of bits a second.
    pub mbit: f64,
    /// What goes over the wire with each message besides its frame, in bytes.
    pub head: u64,
}

/// What work takes on a whole core; a steward has a part of one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    pub steward_share: f64,
    pub attendant_share: f64,
    /// To send or to take a message, and each KiB of it.
    #[serde(deserialize_with = "deserialize_duration")]
    pub message: Nanos,
    #[serde(deserialize_with = "deserialize_duration")]
    pub kib: Nanos,
    /// A timer that goes off.
    #[serde(deserialize_with = "deserialize_duration")]
    pub wake: Nanos,
    /// An open ask that looks whether there is news for it.
    #[serde(deserialize_with = "deserialize_duration")]
    pub reader: Nanos,
    /// For each row that is gone through: by a steward's look, by its merges, by an attendant that lists them anew.
    #[serde(deserialize_with = "deserialize_duration")]
    pub row: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheets {
    /// Bytes of a configuration, of which a line changes with each; one is sent every so often.
    pub bytes: usize,
    #[serde(deserialize_with = "deserialize_duration")]
    pub every: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstreams {
    pub services: usize,
    /// Drains, ends and starts, for each attendant an hour.
    pub turns_per_h: f64,
    #[serde(deserialize_with = "deserialize_duration")]
    pub cold: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claims {
    /// From each gate.
    pub per_s: f64,
    /// The part that repeats one of the last keys of the mesh.
    pub repeats: f64,
    /// How long a granted req runs, and the bytes of its answer.
    pub run: DurationDistribution,
    pub answer: usize,
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
    #[serde(deserialize_with = "deserialize_duration")]
    pub at: Nanos,
    #[serde(deserialize_with = "deserialize_duration")]
    pub lasts: Nanos,
    pub what: FaultKind,
    pub who: FaultTarget,
    /// So many, the first ones; or this part of all.
    #[serde(default)]
    pub number: usize,
    #[serde(default)]
    pub part: f64,
    #[serde(default, deserialize_with = "deserialize_duration")]
    pub down: Nanos,
}

impl Fault {
    pub fn many(&self, of: usize) -> usize {
        self.number.max((self.part * of as f64).ceil() as usize).min(of)
    }
}

impl Scenario {
    /// How long the first starts take.
    pub fn starts(&self) -> Nanos {
        (self.nodes as f64 / self.starts_per_s * 1e9) as Nanos
    }

    /// From the beginning until it is counted.
    pub fn warm(&self) -> Nanos {
        self.starts() + self.settles
    }

    /// Reads and checks a file's text; the error says where and what.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = scenario.errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors.join("\n")) }
    }

    /// What of it can't be, each with its place.
    pub fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut must = |right: bool, what: &str| {
            if !right {
                errors.push(what.to_owned());
            }
        };
        let part = |part: f64| (0.0..=1.0).contains(&part);
        must((1..=5_000).contains(&self.nodes), "nodes: from 1 to 5,000");
        must((1..=64).contains(&self.stewards), "stewards: from 1 to 64");
        must(2 * self.tolerate < self.stewards, "tolerate: twice as many and one have to be stewards");
        must(self.lasts > 0 && self.settles >= S, "lasts, settles: it has to last, and settle at least 1s");
        must((0.1..=1e4).contains(&self.starts_per_s), "starts_per_s: from 0.1 to 10,000");
        must((0.0..0.5).contains(&self.link.loss), "link.loss: a part under a half");
        must(self.link.mbit > 0.0, "link.mbit: over 0");
        let shares = [self.processor.steward_share, self.processor.attendant_share];
        must(shares.iter().all(|share| *share > 0.0), "processor: shares are over 0");
        must((1..=8 << 20).contains(&self.sheets.bytes), "sheets.bytes: from 1 to 8 MiB");
        must(self.sheets.every > 0, "sheets.every: over 0");
        must(self.upstreams.services > 0, "upstreams.services: at least one");
        must((0.0..=3_600.0).contains(&self.upstreams.turns_per_h), "upstreams.turns_per_h: from 0 to 3,600");
        must((0.0..=1_000.0).contains(&self.claims.per_s), "claims.per_s: from 0 to 1,000");
        must(part(self.claims.repeats), "claims.repeats: a part");
        must(self.claims.answer <= 65_536, "claims.answer: 65,536 bytes at most");
        must(self.troubles.iter().all(|trouble| part(trouble.part)), "troubles: part is a part");
        for (name, span) in
            [("link.delay", &self.link.delay), ("sync", &self.sync), ("claims.run", &self.claims.run)]
        {
            if let Err(why) = span.validate() {
                must(false, &format!("{name}: {why}"));
            }
        }
        errors
    }
}
