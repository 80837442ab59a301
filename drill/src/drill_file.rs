//! The drill file format. Sections shared with emulator scenarios (traffic, network, discovery, rule sets, tiers, troubles)
//! use the emulator's types, so that the same file can also be simulated; `live` and `faults` exist only in drills. Unknown
//! fields are rejected with line, column and the closest known name, so that no drill runs on a misread file.

use std::collections::BTreeMap;

use ochreshed_emulator::gossip_network::GossipConfig;
use ochreshed_emulator::scenario::{
    Clients, Discovery, Network, RuleSet, Scenario, ScenarioFault, Tier, deserialize_duration,
};
use ochreshed_emulator::{MS, Nanos, S};
use serde::Deserialize;
use serde::de::{Deserializer, Error as _};

use crate::party::{Parties, PartySelector};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill {
    /// One-line description.
    #[serde(default, rename = "about")]
    pub description: String,
    /// How long requests arrive, counted from when all processes are ready.
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    pub clients: Clients,
    pub network: Network,
    /// Propagation of endpoint list changes.
    #[serde(rename = "list")]
    pub discovery: Discovery,
    pub rule_sets: Vec<RuleSet>,
    pub tiers: Vec<Tier>,
    /// Faults that the emulator supports as well.
    #[serde(default, rename = "troubles")]
    pub scenario_faults: Vec<ScenarioFault>,
    #[serde(default)]
    pub live: LiveSettings,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Settings that exist only in drills, apart from faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LiveSettings {
    /// Zone names, in the order of the tier's sites; `a`, `b`, ... by default.
    pub zones: Vec<String>,
    /// Zones of each region; by default a single region holds all zones.
    pub regions: BTreeMap<String, Vec<String>>,
    /// How long clients are still routed to a balancer that has died.
    #[serde(rename = "notice", deserialize_with = "deserialize_duration")]
    pub failure_detection_delay: Nanos,
    /// Ratio of the request rates of the busiest and the least busy balancer.
    #[serde(rename = "skew")]
    pub load_skew: f64,
    /// Calls per second that discovery can answer.
    #[serde(rename = "calls_per_s")]
    pub discovery_calls_per_s: f64,
    /// How long a call to discovery may be queued.
    #[serde(rename = "call_timeout", deserialize_with = "deserialize_duration")]
    pub discovery_call_timeout: Nanos,
    /// Balancers exchange state by gossip (`serve --fleet`).
    #[serde(rename = "fleet")]
    pub gossip: bool,
    /// Balancers persist snapshots of their state.
    pub snapshots: bool,
    /// Balancers that run the other build, where one is given.
    #[serde(rename = "other")]
    pub other_build: Option<PartySelector>,
    /// Memory limit in the parameters file.
    pub memory_mb: u64,
    /// Socket limit in the parameters file.
    pub sockets: u64,
    /// Time after a drain notice within which requests may still be dispatched to the server.
    #[serde(deserialize_with = "deserialize_duration")]
    pub drain_grace: Nanos,
    /// How many times its capacity a server in slow start may be sent within `slow_start_window`.
    #[serde(rename = "cold_multiple")]
    pub slow_start_load_factor: f64,
    #[serde(rename = "cold_span", deserialize_with = "deserialize_duration")]
    pub slow_start_window: Nanos,
}

impl Default for LiveSettings {
    fn default() -> LiveSettings {
        LiveSettings {
            zones: Vec::new(),
            regions: BTreeMap::new(),
            failure_detection_delay: 2 * S,
            load_skew: 1.0,
            discovery_calls_per_s: 200.0,
            discovery_call_timeout: S,
            gossip: false,
            snapshots: false,
            other_build: None,
            memory_mb: 64,
            sockets: 512,
            drain_grace: 500 * MS,
            slow_start_load_factor: 3.0,
            slow_start_window: 2 * S,
        }
    }
}

/// A scheduled fault. A `duration` of 0 means that it does not end by itself.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    #[serde(rename = "at", deserialize_with = "deserialize_duration")]
    pub starts_at: Nanos,
    #[serde(default, rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    #[serde(flatten)]
    pub kind: FaultKind,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Balancer processes are terminated, and restarted after `restart_after` if given.
    Kill {
        #[serde(rename = "who")]
        targets: PartySelector,
        #[serde(default)]
        signal: KillSignal,
        #[serde(default, rename = "back", deserialize_with = "deserialize_optional_duration")]
        restart_after: Option<Nanos>,
        #[serde(default, rename = "list")]
        initial_list: InitialList,
        #[serde(default, rename = "stored")]
        stored_state: StoredState,
    },
    /// A rolling restart, spread evenly over the fault's duration; each process restarts as soon as it has ended.
    #[serde(rename = "roll")]
    RollingRestart {
        #[serde(rename = "who")]
        targets: PartySelector,
        #[serde(default)]
        signal: KillSignal,
        #[serde(default, rename = "list")]
        initial_list: InitialList,
        #[serde(default, rename = "stored")]
        stored_state: StoredState,
    },
    /// Killed every `interval` for the fault's duration, and restarted at once each time.
    CrashLoop {
        #[serde(rename = "who")]
        targets: PartySelector,
        #[serde(rename = "every", deserialize_with = "deserialize_duration")]
        interval: Nanos,
        #[serde(default, rename = "list")]
        initial_list: InitialList,
    },
    /// Balancer processes are suspended (SIGSTOP) and resumed later, so that their clock jumps.
    #[serde(rename = "stop")]
    Suspend {
        #[serde(rename = "who")]
        targets: PartySelector,
    },
    /// Balancer processes run for only this share of each period and are suspended for the rest.
    #[serde(rename = "duty")]
    DutyCycle {
        #[serde(rename = "who")]
        targets: PartySelector,
        #[serde(rename = "part")]
        run_ratio: f64,
        #[serde(default = "default_duty_period", deserialize_with = "deserialize_duration")]
        period: Nanos,
    },
    /// Applies to every link between the two groups of parties, in both directions by default.
    Link {
        from: PartySelector,
        to: PartySelector,
        #[serde(default, rename = "way")]
        directions: LinkDirections,
        #[serde(rename = "how")]
        fault: LinkFaultKind,
        /// For `reset`: bytes transferred before the connection is reset.
        #[serde(default, rename = "bytes")]
        reset_after_bytes: usize,
        /// For `slow`.
        #[serde(default, rename = "per_s")]
        bytes_per_s: f64,
        /// For `delay`.
        #[serde(default, rename = "more", deserialize_with = "deserialize_duration")]
        extra_delay: Nanos,
        /// For `delay`: upper bound of a further, random delay.
        #[serde(default, deserialize_with = "deserialize_duration")]
        jitter: Nanos,
        /// For `lossy`: share of packets lost; UDP datagrams are also duplicated and reordered.
        #[serde(default, rename = "part")]
        loss_ratio: f64,
    },
    /// Server processes die. If the fault has a duration, they restart after it in slow start, under a new id at the same
    /// address if `new_id` is set.
    #[serde(rename = "srvs")]
    KillServers {
        #[serde(rename = "who")]
        targets: PartySelector,
        #[serde(default, rename = "stranger")]
        new_id: bool,
        /// Whether discovery removes them from its list at once.
        #[serde(default = "default_true", rename = "told")]
        announced: bool,
    },
    /// Servers drain, and serve again after the fault's duration if it has one. Only the balancers in `notified` learn of
    /// it; all of them by default.
    Drain {
        #[serde(rename = "who")]
        targets: PartySelector,
        #[serde(rename = "told")]
        notified: Option<PartySelector>,
    },
    Discovery {
        #[serde(rename = "how")]
        fault: DiscoveryFaultKind,
        /// For `slow`.
        #[serde(default, rename = "by", deserialize_with = "deserialize_duration")]
        extra_delay: Nanos,
    },
    /// Multiplies the arrival rate.
    Load {
        #[serde(rename = "times")]
        factor: f64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KillSignal {
    #[default]
    Kill,
    Term,
}

/// The endpoint list in a process's parameters file when it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InitialList {
    /// The list as it was when the drill began.
    #[default]
    #[serde(rename = "start")]
    AtDrillStart,
    /// Discovery's list at the time.
    #[serde(rename = "now")]
    Current,
    Empty,
    /// A different list from discovery's history for each process.
    #[serde(rename = "ages")]
    Historical,
}

/// What a restarted process finds in its data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredState {
    #[default]
    Kept,
    Lost,
    /// A byte in the middle of each file is altered.
    Damaged,
    /// The files of another balancer.
    Foreign,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirections {
    #[default]
    Both,
    /// Only data from the `from` parties to the `to` parties.
    #[serde(rename = "there")]
    Forward,
    /// Only data from the `to` parties to the `from` parties.
    #[serde(rename = "back")]
    Reverse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Packets are dropped silently: new connection attempts hang.
    Cut,
    Refuse,
    Reset,
    Slow,
    Delay,
    Lossy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFaultKind {
    Down,
    /// Each answer takes `extra_delay` longer.
    Slow,
    /// Discovery receives no updates and keeps serving its last list.
    #[serde(rename = "old")]
    Stale,
    /// Discovery serves an empty list.
    Empty,
    /// Discovery restarts at once and counts list versions from 1 again.
    StateLost,
}

fn default_true() -> bool {
    true
}

fn default_duty_period() -> Nanos {
    100 * MS
}

fn deserialize_optional_duration<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Nanos>, D::Error> {
    deserialize_duration(from).map(Some)
}

impl<'de> Deserialize<'de> for PartySelector {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<PartySelector, D::Error> {
        let text = String::deserialize(from)?;
        PartySelector::parse(&text).map_err(D::Error::custom)
    }
}

impl Drill {
    /// Parses and validates a drill file; the error names each place and cause.
    pub fn parse(text: &str) -> Result<Drill, String> {
        let drill: Drill = toml::from_str(text).map_err(|e| suggest_name(&e.to_string()))?;
        let mut errors = drill.to_scenario().validation_errors();
        errors.extend(drill.validation_errors());
        if errors.is_empty() { Ok(drill) } else { Err(errors.join("\n")) }
    }

    pub fn balancer_count(&self) -> usize {
        self.clients.instances
    }

    /// The drill's single tier.
    pub fn tier(&self) -> &Tier {
        &self.tiers[0]
    }

    pub fn parties(&self) -> Parties {
        let (sites, named) = (self.tier().site_count, &self.live.zones);
        let default_name = |index: usize| char::from(b'a' + (index % 26) as u8).to_string();
        let zones: Vec<String> = (0..sites)
            .map(|index| named.get(index).cloned().unwrap_or_else(|| default_name(index)))
            .collect();
        Parties {
            balancers: self.balancer_count(),
            servers: self.tier().server_count,
            zones,
            regions: self.live.regions.clone(),
        }
    }

    /// The equivalent emulator scenario, or a list of what the emulator does not support.
    pub fn scenario(&self) -> Result<Scenario, Vec<String>> {
        let mut unsupported = Vec::new();
        let defaults = LiveSettings::default();
        for fault in &self.faults {
            unsupported.push(format!("faults: {} at {} s", fault.kind.name(), fault.starts_at as f64 / 1e9));
        }
        if self.live.regions.len() > 1 {
            unsupported.push("live.regions: more than one".into());
        }
        if self.live.load_skew != defaults.load_skew {
            unsupported.push("live.skew".into());
        }
        if unsupported.is_empty() { Ok(self.to_scenario()) } else { Err(unsupported) }
    }

    /// The sections that drills share with emulator scenarios.
    fn to_scenario(&self) -> Scenario {
        let Drill {
            duration, clients, network, discovery, rule_sets, tiers, scenario_faults: faults, ..
        } = self.clone();
        let gossip =
            self.live.gossip.then(|| GossipConfig { delay: network.between_sites.clone(), loss: 0.0 });
        Scenario { duration, clients, network, discovery, gossip, rule_sets, tiers, faults }
    }

    fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |valid: bool, message: String| {
            if !valid {
                errors.push(message);
            }
        };
        if self.tiers.is_empty() {
            return errors;
        }
        require(self.tiers.len() == 1, "tiers: a drill has exactly one; only the emulator takes more".into());
        require(self.duration <= 600 * S, "lasts: at most 10 minutes".into());
        require(self.balancer_count() <= 100, "clients.instances: at most 100 processes".into());
        require(self.tier().server_count <= 200, "tiers.0.srvs: at most 200".into());
        require(self.clients.requests_per_s <= 10_000.0, "clients.per_s: at most 10,000".into());
        let live = &self.live;
        require((1.0..=100.0).contains(&live.load_skew), "live.skew: must be from 1 to 100".into());
        require(live.discovery_calls_per_s > 0.0, "live.calls_per_s: must be over 0".into());
        require(
            live.slow_start_load_factor > 0.0 && live.slow_start_window > 0,
            "live.cold_multiple, live.cold_span: must be over 0".into(),
        );
        require(
            live.zones.len() <= self.tier().site_count,
            "live.zones: more zones than tiers.0.sites".into(),
        );
        let parties = self.parties();
        for zone in live.regions.values().flatten() {
            require(parties.zones.contains(zone), format!("live.regions: there is no zone {zone}"));
        }
        require(self.faults.len() <= 1_000, "faults: at most 1,000".into());
        if let Some(Err(error)) = live.other_build.as_ref().map(|targets| parties.check(targets)) {
            require(false, format!("live.other: {error}"));
        }
        for (index, Fault { starts_at, duration, kind }) in self.faults.iter().enumerate() {
            let mut require = |valid: bool, message: &str| {
                require(valid, format!("faults.{index} ({}): {message}", kind.name()))
            };
            require(*starts_at <= self.duration, "`at` is after the drill's end");
            for selector in kind.selectors() {
                if let Err(error) = parties.check(selector) {
                    require(false, &error);
                }
            }
            match kind {
                FaultKind::Kill { targets, .. }
                | FaultKind::RollingRestart { targets, .. }
                | FaultKind::CrashLoop { targets, .. }
                | FaultKind::Suspend { targets }
                | FaultKind::DutyCycle { targets, .. } => {
                    require(targets.has_only_kind("balancers"), "`who` must name only balancers");
                }
                FaultKind::KillServers { targets, .. } | FaultKind::Drain { targets, .. } => {
                    require(targets.has_only_kind("srvs"), "`who` must name only srvs");
                }
                _ => {}
            }
            match kind {
                FaultKind::RollingRestart { .. }
                | FaultKind::Suspend { .. }
                | FaultKind::DutyCycle { .. } => {
                    require(*duration > 0, "`lasts` is required");
                }
                FaultKind::CrashLoop { interval, .. } => require(
                    *duration > 0 && *interval >= 50 * MS,
                    "`lasts` is required, and `every` must be at least 50ms",
                ),
                FaultKind::Link { fault, reset_after_bytes, bytes_per_s, loss_ratio, .. } => {
                    require(*duration > 0, "`lasts` is required");
                    require(
                        *fault != LinkFaultKind::Slow || *bytes_per_s >= 1.0,
                        "`slow` requires a `per_s` of at least 1",
                    );
                    require(
                        *fault != LinkFaultKind::Lossy || (*loss_ratio > 0.0 && *loss_ratio < 1.0),
                        "`lossy` requires a `part` between 0 and 1",
                    );
                    require(
                        *fault == LinkFaultKind::Reset || *reset_after_bytes == 0,
                        "`bytes` is allowed only with `reset`",
                    );
                }
                FaultKind::Load { factor } => {
                    require(*factor >= 0.0 && *factor <= 100.0, "`times` must be from 0 to 100")
                }
                _ => {}
            }
            if let FaultKind::DutyCycle { run_ratio, period, .. } = kind {
                require(
                    *run_ratio > 0.0 && *run_ratio < 1.0 && *period >= 10 * MS,
                    "`part` must be between 0 and 1, and `period` at least 10ms",
                );
            }
        }
        errors
    }
}

impl FaultKind {
    /// The value of `what` in the drill file.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Kill { .. } => "kill",
            FaultKind::RollingRestart { .. } => "roll",
            FaultKind::CrashLoop { .. } => "crash-loop",
            FaultKind::Suspend { .. } => "stop",
            FaultKind::DutyCycle { .. } => "duty",
            FaultKind::Link { .. } => "link",
            FaultKind::KillServers { .. } => "srvs",
            FaultKind::Drain { .. } => "drain",
            FaultKind::Discovery { .. } => "discovery",
            FaultKind::Load { .. } => "load",
        }
    }

    fn selectors(&self) -> Vec<&PartySelector> {
        match self {
            FaultKind::Kill { targets, .. }
            | FaultKind::RollingRestart { targets, .. }
            | FaultKind::CrashLoop { targets, .. }
            | FaultKind::Suspend { targets }
            | FaultKind::DutyCycle { targets, .. }
            | FaultKind::KillServers { targets, .. } => vec![targets],
            FaultKind::Drain { targets, notified } => [targets].into_iter().chain(notified).collect(),
            FaultKind::Link { from, to, .. } => vec![from, to],
            FaultKind::Discovery { .. } | FaultKind::Load { .. } => Vec::new(),
        }
    }
}

/// Appends the closest known name to an error about an unknown one; serde's message lists the known names.
fn suggest_name(error: &str) -> String {
    let Some(from) = error.find("unknown ") else { return error.to_owned() };
    let mut names = error[from..].split('`').skip(1).step_by(2);
    let Some(unknown) = names.next() else { return error.to_owned() };
    let closest = names.map(|name| (strsim::damerau_levenshtein(unknown, name), name)).min();
    match closest.filter(|(distance, name)| *distance <= name.len().div_ceil(2)) {
        Some((_, name)) => format!("{}\nthe nearest right name is `{name}`", error.trim_end()),
        None => error.to_owned(),
    }
}
