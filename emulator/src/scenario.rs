//! Scenario files: servers, traffic and timed faults. Parsing rejects unknown keys with line and column, so that no
//! scenario runs with a setting that is not understood.

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::Nanos;
use crate::gossip_network::GossipConfig;
use crate::random::DurationDistribution;
use crate::service_queue::{OverloadDegradation, QueueConfig, SlowStart};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long requests arrive; those in flight at the end are still answered.
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    pub clients: Clients,
    pub network: Network,
    #[serde(rename = "list")]
    pub discovery: Discovery,
    /// Gossip between the balancers of the first tier, if they have any.
    #[serde(rename = "fleet")]
    pub gossip: Option<GossipConfig>,
    pub rule_sets: Vec<RuleSet>,
    /// Clients call the first tier; each tier calls the next.
    pub tiers: Vec<Tier>,
    #[serde(rename = "troubles", default)]
    pub faults: Vec<ScenarioFault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First attempts per second, of all clients.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// Number of balancers; each attempt calls a random one.
    pub instances: usize,
    /// Retries of a client after a denied request.
    #[serde(rename = "tries_again", default)]
    pub max_retries: u32,
    #[serde(rename = "pause", default, deserialize_with = "deserialize_duration")]
    pub retry_delay: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One-way delays.
    #[serde(rename = "within")]
    pub within_site: DurationDistribution,
    #[serde(rename = "between")]
    pub between_sites: DurationDistribution,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Delay of an update to each balancer.
    pub delay: DurationDistribution,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Replayable,
    Uniqued,
    NonReplayable,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSet {
    pub name: String,
    pub effect: Effect,
    /// Weight of this rule set among the first attempts.
    #[serde(rename = "part")]
    pub traffic_weight: f64,
    #[serde(deserialize_with = "deserialize_duration")]
    pub response_target: Nanos,
    #[serde(deserialize_with = "deserialize_duration")]
    pub client_timeout: Nanos,
    #[serde(default = "one")]
    pub utility: f64,
    /// How long servers recognize a repeat of a uniqued request.
    #[serde(rename = "window", default, deserialize_with = "deserialize_duration")]
    pub dedup_window: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub name: String,
    #[serde(rename = "srvs")]
    pub server_count: usize,
    #[serde(rename = "sites", default = "one_site")]
    pub site_count: usize,
    pub slots: usize,
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    #[serde(rename = "work")]
    pub work_time: DurationDistribution,
    #[serde(rename = "cold")]
    pub slow_start: Option<SlowStart>,
    #[serde(rename = "fatigue")]
    pub degradation: Option<OverloadDegradation>,
    /// Fraction of jobs that fail without a fault.
    #[serde(rename = "failing", default)]
    pub failure_fraction: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    #[serde(rename = "at", deserialize_with = "deserialize_duration")]
    pub starts_at: Nanos,
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    #[serde(rename = "what")]
    pub kind: FaultKind,
    pub tier: String,
    /// The unreachable site, for `site-lost`.
    #[serde(default)]
    pub site: usize,
    /// Number of servers or balancers affected, counted from the first.
    #[serde(rename = "srvs", default)]
    pub target_count: usize,
    /// Factor on the work time or on the arrival rate.
    #[serde(rename = "times", default = "one")]
    pub factor: f64,
    /// Fraction of the responses that are lost.
    #[serde(rename = "part", default)]
    pub fraction: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A site is unreachable in both directions.
    SiteLost,
    /// Servers answer immediately with errors.
    FastErrors,
    /// Servers pause.
    Pause,
    /// Servers are replaced one by one, evenly over the duration: drain, end, start with slow start.
    Deploy,
    /// All jobs of the tier take longer by the factor, at every site.
    Slow,
    /// A fraction of the responses is lost to a reset after the request ran.
    Resets,
    /// Discovery updates are held back until the end of the fault.
    ListDown,
    /// Balancers of the first tier crash one by one over the duration and restart at once with the initial endpoint
    /// list.
    Crash,
    /// The arrival rate of clients rises by the factor; the tier is the first.
    Burst,
    /// The first balancers of the first tier are partitioned from the others.
    FleetCut,
    /// Servers drain for the duration and then serve again; each balancer learns of it after its discovery delay.
    Drain,
}

fn one() -> f64 {
    1.0
}

fn one_site() -> usize {
    1
}

/// Deserializes a duration with its unit: `"250ms"`, `"1.5s"`.
pub fn deserialize_duration<'de, D: Deserializer<'de>>(from: D) -> Result<Nanos, D::Error> {
    let text = String::deserialize(from)?;
    parse_duration(&text)
        .ok_or_else(|| de::Error::custom(format!("`{text}` is no span such as \"250ms\" or \"1.5s\"")))
}

fn parse_duration(text: &str) -> Option<Nanos> {
    let unit = text.find(|c: char| c.is_ascii_alphabetic())?;
    let each = match &text[unit..] {
        "ns" => 1.0,
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "min" => 6e10,
        "h" => 3.6e12,
        _ => return None,
    };
    let number: f64 = text[..unit].trim().parse().ok()?;
    let span = number * each;
    (number >= 0.0 && span < 1e18).then_some(span.round() as Nanos)
}

impl Tier {
    pub fn queue_config(&self) -> QueueConfig {
        let Tier { slots, queue_capacity: room, slow_start: cold, degradation: fatigue, .. } = self.clone();
        QueueConfig { slots, queue_capacity: room, slow_start: cold, degradation: fatigue }
    }
}

impl Scenario {
    /// Parses and validates the text of a scenario file.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = scenario.validation_errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors.join("\n")) }
    }

    /// Returns the text with another value at a path such as `clients.per_s` or `tiers.1.slots`.
    pub fn with_override(text: &str, path: &str, value: &str) -> Result<String, String> {
        let mut table: toml::Value = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut at = &mut table;
        for step in path.split('.') {
            let next = match (step.parse::<usize>(), at) {
                (Ok(number), toml::Value::Array(items)) => items.get_mut(number),
                (_, toml::Value::Table(table)) => table.get_mut(step),
                _ => None,
            };
            at = next.ok_or(format!("{path}: there is no {step}"))?;
        }
        // A number or a boolean; everything else is a string.
        let read =
            toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut t| t.remove("v"));
        *at = read.unwrap_or_else(|| toml::Value::String(value.into()));
        toml::to_string(&table).map_err(|e| e.to_string())
    }

    /// Returns all invalid values, each with its key.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |valid: bool, what: String| {
            if !valid {
                errors.push(what);
            }
        };
        check(self.duration > 0, "lasts: must be over 0".into());
        check(
            (0.0..1e6).contains(&self.clients.requests_per_s),
            "clients.per_s: from 0 up to a million".into(),
        );
        check((1..=1_000).contains(&self.clients.instances), "clients.instances: from 1 to 1,000".into());
        check((1..=3).contains(&self.tiers.len()), "tiers: one to three".into());
        if let Some(gossip) = &self.gossip {
            check((0.0..1.0).contains(&gossip.loss), "fleet.loss: must be at least 0 and under 1".into());
            if let Err(why) = gossip.delay.validate() {
                check(false, format!("fleet.delay: {why}"));
            }
        }
        check(!self.rule_sets.is_empty(), "rule_sets: at least one".into());
        for set in &self.rule_sets {
            let valid = set.traffic_weight > 0.0
                && set.client_timeout > 0
                && set.response_target <= set.client_timeout;
            check(
                valid,
                format!(
                    "rule set {}: part must be over 0, and response_target at most client_timeout",
                    set.name
                ),
            );
        }
        for tier in &self.tiers {
            let valid = (1..=10_000).contains(&tier.server_count)
                && (1..=tier.server_count).contains(&tier.site_count)
                && tier.slots > 0;
            check(
                valid,
                format!(
                    "tier {}: srvs must be from 1 to 10,000, sites from 1 to srvs, and slots over 0",
                    tier.name
                ),
            );
            check(
                (0.0..=1.0).contains(&tier.failure_fraction),
                format!("tier {}: failing must be from 0 to 1", tier.name),
            );
            if let Err(why) = tier.work_time.validate() {
                check(false, format!("tier {}: work: {why}", tier.name));
            }
        }
        for fault in &self.faults {
            let tier = self.tiers.iter().find(|tier| tier.name == fault.tier);
            check(
                tier.is_some(),
                format!("trouble at {} s: no tier {}", fault.starts_at / 1_000_000_000, fault.tier),
            );
            let site = tier.is_none_or(|tier| fault.site < tier.site_count);
            check(site, format!("trouble in {}: there is no site {}", fault.tier, fault.site));
            check(fault.factor > 0.0, format!("trouble in {}: times must be over 0", fault.tier));
            check(
                (0.0..=1.0).contains(&fault.fraction),
                format!("trouble in {}: part must be from 0 to 1", fault.tier),
            );
        }
        errors
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_need_units() {
        let spans = ["250ms", "1.5s", "2 min", "10us", "1h", "5", "s", "-1s", "1 week", "1e400s"];
        let read: Vec<Option<Nanos>> = spans.iter().map(|text| parse_duration(text)).collect();
        let some = [250_000_000, 1_500_000_000, 120_000_000_000, 10_000, 3_600_000_000_000].map(Some);
        assert_eq!(read, [&some[..], &[None; 5]].concat());
    }
}
