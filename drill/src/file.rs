//! The file that describes a drill. What it shares with the emulator's scenario (traffic, network, list, rule sets,
//! tiers, troubles) is read by the emulator's own types, so that such a file can be played simulated too; `live` and
//! `faults` only a drill has. It owns reading and checking, and must never let a drill begin on what it does not
//! understand: unknown fields are refused, with line, column and the nearest right name.

use std::collections::BTreeMap;

use ochreshed_emulator::gossip_network::GossipConfig;
use ochreshed_emulator::scenario::{
    Clients, Discovery, Network, RuleSet, Scenario, ScenarioFault, Tier, deserialize_duration,
};
use ochreshed_emulator::{MS, Nanos, S};
use serde::Deserialize;
use serde::de::{Deserializer, Error as _};

use crate::party::{Parties, Who};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill {
    /// What it shows, in a line.
    #[serde(default)]
    pub about: String,
    /// Arrivals come for so long, from when all processes are ready.
    #[serde(deserialize_with = "deserialize_duration")]
    pub lasts: Nanos,
    pub clients: Clients,
    pub network: Network,
    pub list: Discovery,
    pub rule_sets: Vec<RuleSet>,
    pub tiers: Vec<Tier>,
    /// Troubles that the emulator knows as well.
    #[serde(default)]
    pub troubles: Vec<ScenarioFault>,
    #[serde(default)]
    pub live: Live,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What only a drill has beside its faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Live {
    /// Names of the zones, in the order of the tier's sites; `a`, `b`, ... where absent.
    pub zones: Vec<String>,
    /// Which zones a region holds; one region of all where absent.
    pub regions: BTreeMap<String, Vec<String>>,
    /// How long clients are dealt to a balancer that has died.
    #[serde(deserialize_with = "deserialize_duration")]
    pub notice: Nanos,
    /// The busiest balancer is asked so many times what the quietest one is.
    pub skew: f64,
    /// Calls a second that discovery can answer, and how long one may wait for its turn.
    pub calls_per_s: f64,
    #[serde(deserialize_with = "deserialize_duration")]
    pub call_timeout: Nanos,
    /// The balancers speak with each other (`serve --fleet`).
    pub fleet: bool,
    /// They keep snapshots of what they know.
    pub snapshots: bool,
    /// Balancers that run the other build, where one is given.
    pub other: Option<Who>,
    /// The limits in the facts.
    pub memory_mb: u64,
    pub sockets: u64,
    /// Rules: how long after hearing of a drain the last dispatch goes out; and how far over what it can do a cold srv
    /// may be sent, within what span.
    #[serde(deserialize_with = "deserialize_duration")]
    pub drain_grace: Nanos,
    pub cold_multiple: f64,
    #[serde(deserialize_with = "deserialize_duration")]
    pub cold_span: Nanos,
}

impl Default for Live {
    fn default() -> Live {
        Live {
            zones: Vec::new(),
            regions: BTreeMap::new(),
            notice: 2 * S,
            skew: 1.0,
            calls_per_s: 200.0,
            call_timeout: S,
            fleet: false,
            snapshots: false,
            other: None,
            memory_mb: 64,
            sockets: 512,
            drain_grace: 500 * MS,
            cold_multiple: 3.0,
            cold_span: 2 * S,
        }
    }
}

/// A fault: when, for how long where it ends by itself, and what.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    #[serde(deserialize_with = "deserialize_duration")]
    pub at: Nanos,
    #[serde(default, deserialize_with = "deserialize_duration")]
    pub lasts: Nanos,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Balancers' processes end. They come back after `back` where that is told.
    Kill {
        who: Who,
        #[serde(default)]
        signal: Signal,
        #[serde(default, deserialize_with = "maybe_span")]
        back: Option<Nanos>,
        #[serde(default)]
        list: List,
        #[serde(default)]
        stored: Stored,
    },
    /// The same one after the other, evenly over the time that it lasts, each back when its process has ended.
    Roll {
        who: Who,
        #[serde(default)]
        signal: Signal,
        #[serde(default)]
        list: List,
        #[serde(default)]
        stored: Stored,
    },
    /// Killed again and again for as long as it lasts, and back at once.
    CrashLoop {
        who: Who,
        #[serde(deserialize_with = "deserialize_duration")]
        every: Nanos,
        #[serde(default)]
        list: List,
    },
    /// Balancers' processes are stopped (SIGSTOP) and go on later: for them the clock jumps.
    Stop { who: Who },
    /// They get only this part of each period, stopped for the rest of it.
    Duty {
        who: Who,
        part: f64,
        #[serde(default = "tenth", deserialize_with = "deserialize_duration")]
        period: Nanos,
    },
    /// What happens on all links from some parties to others, both ways unless `way` says otherwise.
    Link {
        from: Who,
        to: Who,
        #[serde(default)]
        way: Way,
        how: How,
        /// Of `reset`: after so many bytes.
        #[serde(default)]
        bytes: usize,
        /// Of `slow`: bytes a second.
        #[serde(default)]
        per_s: f64,
        /// Of `delay`: so much more, with up to so much by chance.
        #[serde(default, deserialize_with = "deserialize_duration")]
        more: Nanos,
        #[serde(default, deserialize_with = "deserialize_duration")]
        jitter: Nanos,
        /// Of `lossy`: the part of the packets that is lost; for UDP also doubled and reordered.
        #[serde(default)]
        part: f64,
    },
    /// Srvs' processes die; where it lasts they come back cold, under a new id at the same address if `stranger`.
    Srvs {
        who: Who,
        #[serde(default)]
        stranger: bool,
        /// Whether discovery leaves them out at once.
        #[serde(default = "yes")]
        told: bool,
    },
    /// Srvs drain, and only these balancers are told (all unless named); where it lasts they serve again after it.
    Drain { who: Who, told: Option<Who> },
    /// What becomes of discovery.
    Discovery {
        how: Finds,
        #[serde(default, deserialize_with = "deserialize_duration")]
        by: Nanos,
    },
    /// So many times as many arrivals.
    Load { times: f64 },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    #[default]
    Kill,
    Term,
}

/// The list that a process starts with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum List {
    /// As it stood when the drill began.
    #[default]
    Start,
    /// As discovery has it then.
    Now,
    /// None at all.
    Empty,
    /// Each process another one of those that there were since the drill began.
    Ages,
}

/// What a process finds of what it stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stored {
    #[default]
    Kept,
    Lost,
    /// A byte in the middle of each file is another.
    Damaged,
    /// Its neighbour's.
    Foreign,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    #[default]
    Both,
    /// Only what goes from the first parties to the second ones.
    There,
    /// Only what comes back.
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Nothing comes through and nothing is said: new connections never come up.
    Cut,
    Refuse,
    Reset,
    Slow,
    Delay,
    Lossy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finds {
    Down,
    /// Each answer takes `by` longer.
    Slow,
    /// No news: it goes on telling what it has.
    Old,
    /// It tells an empty list.
    Empty,
    /// It is back at once and counts its versions anew.
    StateLost,
}

fn yes() -> bool {
    true
}

fn tenth() -> Nanos {
    100 * MS
}

fn maybe_span<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Nanos>, D::Error> {
    deserialize_duration(from).map(Some)
}

impl<'de> Deserialize<'de> for Who {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Who, D::Error> {
        let text = String::deserialize(from)?;
        Who::parse(&text).map_err(D::Error::custom)
    }
}

impl Drill {
    /// Reads and checks a file's text; the error says where and what.
    pub fn parse(text: &str) -> Result<Drill, String> {
        let drill: Drill = toml::from_str(text).map_err(|e| nearest(&e.to_string()))?;
        let mut errors = drill.shared().validation_errors();
        errors.extend(drill.errors());
        if errors.is_empty() { Ok(drill) } else { Err(errors.join("\n")) }
    }

    pub fn balancers(&self) -> usize {
        self.clients.instances
    }

    /// The only tier that is played live.
    pub fn tier(&self) -> &Tier {
        &self.tiers[0]
    }

    pub fn parties(&self) -> Parties {
        let (sites, named) = (self.tier().site_count, &self.live.zones);
        let name = |at: usize| char::from(b'a' + (at % 26) as u8).to_string();
        let zones: Vec<String> =
            (0..sites).map(|at| named.get(at).cloned().unwrap_or_else(|| name(at))).collect();
        Parties {
            balancers: self.balancers(),
            srvs: self.tier().server_count,
            zones,
            regions: self.live.regions.clone(),
        }
    }

    /// The same day for the emulator; what of it only a drill can play is said instead.
    pub fn scenario(&self) -> Result<Scenario, Vec<String>> {
        let mut only = Vec::new();
        let defaults = Live::default();
        for fault in &self.faults {
            only.push(format!("faults: {} at {} s", fault.what.name(), fault.at as f64 / 1e9));
        }
        if self.live.regions.len() > 1 {
            only.push("live.regions: more than one".into());
        }
        if self.live.skew != defaults.skew {
            only.push("live.skew".into());
        }
        if only.is_empty() { Ok(self.shared()) } else { Err(only) }
    }

    fn shared(&self) -> Scenario {
        let Drill { lasts, clients, network, list, rule_sets, tiers, troubles, .. } = self.clone();
        let fleet = self.live.fleet.then(|| GossipConfig { delay: network.between_sites.clone(), loss: 0.0 });
        Scenario {
            duration: lasts,
            clients,
            network,
            discovery: list,
            gossip: fleet,
            rule_sets,
            tiers,
            faults: troubles,
        }
    }

    fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut must = |right: bool, what: String| {
            if !right {
                errors.push(what);
            }
        };
        if self.tiers.is_empty() {
            return errors;
        }
        must(self.tiers.len() == 1, "tiers: a drill plays one tier; more are for the emulator".into());
        must(self.lasts <= 600 * S, "lasts: 10 minutes at most".into());
        must(self.balancers() <= 100, "clients.instances: 100 processes at most".into());
        must(self.tier().server_count <= 200, "tiers.0.srvs: 200 at most".into());
        must(self.clients.requests_per_s <= 10_000.0, "clients.per_s: 10,000 at most".into());
        let live = &self.live;
        must((1.0..=100.0).contains(&live.skew), "live.skew: from 1 to 100".into());
        must(live.calls_per_s > 0.0, "live.calls_per_s: over 0".into());
        must(live.cold_multiple > 0.0 && live.cold_span > 0, "live.cold_multiple, cold_span: over 0".into());
        must(live.zones.len() <= self.tier().site_count, "live.zones: more than tiers.0.sites".into());
        let parties = self.parties();
        for zone in live.regions.values().flatten() {
            must(parties.zones.contains(zone), format!("live.regions: there is no zone {zone}"));
        }
        must(self.faults.len() <= 1_000, "faults: 1,000 at most".into());
        if let Some(Err(why)) = live.other.as_ref().map(|who| parties.check(who)) {
            must(false, format!("live.other: {why}"));
        }
        for (number, Fault { at, lasts, what }) in self.faults.iter().enumerate() {
            let mut must =
                |right: bool, why: &str| must(right, format!("faults.{number} ({}): {why}", what.name()));
            must(*at <= self.lasts, "begins after the drill's end");
            for who in what.who() {
                if let Err(why) = parties.check(who) {
                    must(false, &why);
                }
            }
            match what {
                What::Kill { who, .. }
                | What::Roll { who, .. }
                | What::CrashLoop { who, .. }
                | What::Stop { who }
                | What::Duty { who, .. } => {
                    must(who.kind_only("balancers"), "only balancers are processes here");
                }
                What::Srvs { who, .. } | What::Drain { who, .. } => {
                    must(who.kind_only("srvs"), "`who` has to be srvs");
                }
                _ => {}
            }
            match what {
                What::Roll { .. } | What::Stop { .. } | What::Duty { .. } => {
                    must(*lasts > 0, "has to last");
                }
                What::CrashLoop { every, .. } => {
                    must(*lasts > 0 && *every >= 50 * MS, "lasts, every 50ms or more")
                }
                What::Link { how, bytes, per_s, part, .. } => {
                    must(*lasts > 0, "has to last");
                    must(*how != How::Slow || *per_s >= 1.0, "`slow` wants per_s of 1 or more");
                    must(
                        *how != How::Lossy || (*part > 0.0 && *part < 1.0),
                        "`lossy` wants a part between 0 and 1",
                    );
                    must(*how == How::Reset || *bytes == 0, "bytes is for `reset`");
                }
                What::Load { times } => must(*times >= 0.0 && *times <= 100.0, "times from 0 to 100"),
                _ => {}
            }
            if let What::Duty { part, period, .. } = what {
                must(
                    *part > 0.0 && *part < 1.0 && *period >= 10 * MS,
                    "a part between 0 and 1, of 10ms or more",
                );
            }
        }
        errors
    }
}

impl What {
    pub fn name(&self) -> &'static str {
        match self {
            What::Kill { .. } => "kill",
            What::Roll { .. } => "roll",
            What::CrashLoop { .. } => "crash-loop",
            What::Stop { .. } => "stop",
            What::Duty { .. } => "duty",
            What::Link { .. } => "link",
            What::Srvs { .. } => "srvs",
            What::Drain { .. } => "drain",
            What::Discovery { .. } => "discovery",
            What::Load { .. } => "load",
        }
    }

    fn who(&self) -> Vec<&Who> {
        match self {
            What::Kill { who, .. }
            | What::Roll { who, .. }
            | What::CrashLoop { who, .. }
            | What::Stop { who }
            | What::Duty { who, .. }
            | What::Srvs { who, .. } => vec![who],
            What::Drain { who, told } => [who].into_iter().chain(told).collect(),
            What::Link { from, to, .. } => vec![from, to],
            What::Discovery { .. } | What::Load { .. } => Vec::new(),
        }
    }
}

/// Adds the nearest right name to an error about an unknown one: serde names those there are.
fn nearest(error: &str) -> String {
    let Some(from) = error.find("unknown ") else { return error.to_owned() };
    let mut names = error[from..].split('`').skip(1).step_by(2);
    let Some(wrong) = names.next() else { return error.to_owned() };
    let near = names.map(|name| (strsim::damerau_levenshtein(wrong, name), name)).min();
    match near.filter(|(far, name)| *far <= name.len().div_ceil(2)) {
        Some((_, name)) => format!("{}\nthe nearest right name is `{name}`", error.trim_end()),
        None => error.to_owned(),
    }
}
