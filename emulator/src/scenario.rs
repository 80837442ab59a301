//! The file that describes a day: fleet, traffic, and troubles by time. It owns its reading and its checks, and must
//! never let a day begin on what it does not understand: unknown fields are refused, with line and column.

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::Nanos;
use crate::gossip_network::GossipConfig;
use crate::random::DurationDistribution;
use crate::service_queue::{OverloadDegradation, QueueConfig, SlowStart};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Arrivals come for so long; what is under way then is still answered.
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
    pub clients: Clients,
    pub network: Network,
    #[serde(rename = "list")]
    pub discovery: Discovery,
    /// The balancers before the first tier speak with each other.
    #[serde(rename = "fleet")]
    pub gossip: Option<GossipConfig>,
    pub rule_sets: Vec<RuleSet>,
    /// The first is the clients' own; each calls the next.
    pub tiers: Vec<Tier>,
    #[serde(rename = "troubles", default)]
    pub faults: Vec<ScenarioFault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, from all clients together.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// Balancers that they call, at random.
    pub instances: usize,
    /// How often a client tries again after a deny, and how long it waits before.
    #[serde(rename = "tries_again", default)]
    pub max_retries: u32,
    #[serde(rename = "pause", default, deserialize_with = "deserialize_duration")]
    pub retry_delay: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One way, within a site and between two.
    #[serde(rename = "within")]
    pub within_site: DurationDistribution,
    #[serde(rename = "between")]
    pub between_sites: DurationDistribution,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How long news takes to each balancer.
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
    /// Its part of the first tries, against the others' parts.
    #[serde(rename = "part")]
    pub traffic_weight: f64,
    #[serde(deserialize_with = "deserialize_duration")]
    pub response_target: Nanos,
    #[serde(deserialize_with = "deserialize_duration")]
    pub client_timeout: Nanos,
    #[serde(default = "one")]
    pub utility: f64,
    /// For how long a uniqued req's repeat is known.
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
    /// The part of its jobs that fail of themselves.
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
    /// The site that is lost.
    #[serde(default)]
    pub site: usize,
    /// How many srvs, or balancers, are struck, from the first on.
    #[serde(rename = "srvs", default)]
    pub target_count: usize,
    /// How many times as much work, or as many clients.
    #[serde(rename = "times", default = "one")]
    pub factor: f64,
    /// The part of the answers that is lost.
    #[serde(rename = "part", default)]
    pub fraction: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing goes to a site, and nothing comes from it.
    SiteLost,
    /// Srvs answer at once with errors.
    FastErrors,
    /// Srvs stand still.
    Pause,
    /// Srvs are replaced one after the other, evenly over the time: drained, ended, started cold.
    Deploy,
    /// All jobs of the tier take so many times as long, at every site.
    Slow,
    /// A part of the answers is cut off by a reset: the req ran.
    Resets,
    /// News of the list stay out until it is over.
    ListDown,
    /// So many balancers before the tier end with all they hold, one after the other over the time, and come back at
    /// once with the list as it stood at the day's start.
    Crash,
    /// So many times as many clients; the tier is the first.
    Burst,
    /// So many balancers before the first tier and the others don't hear each other.
    FleetCut,
    /// Srvs drain for so long, and serve again: told to all, each in its time.
    Drain,
}

fn one() -> f64 {
    1.0
}

fn one_site() -> usize {
    1
}

/// Reads a span with its unit: `"250ms"`, `"1.5s"`.
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
    /// Reads and checks a file's text; the error says where and what.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = scenario.validation_errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors.join("\n")) }
    }

    /// The text with another value at a path such as `clients.per_s` or `tiers.1.slots`.
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
        // A number or a flag as it stands; whatever else it is, it is text.
        let read =
            toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut t| t.remove("v"));
        *at = read.unwrap_or_else(|| toml::Value::String(value.into()));
        toml::to_string(&table).map_err(|e| e.to_string())
    }

    /// What of it can't be, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut must = |right: bool, what: String| {
            if !right {
                errors.push(what);
            }
        };
        must(self.duration > 0, "lasts: a day has to last".into());
        must(
            (0.0..1e6).contains(&self.clients.requests_per_s),
            "clients.per_s: from 0 up to a million".into(),
        );
        must((1..=1_000).contains(&self.clients.instances), "clients.instances: from 1 to 1,000".into());
        must((1..=3).contains(&self.tiers.len()), "tiers: one to three".into());
        if let Some(fleet) = &self.gossip {
            must((0.0..1.0).contains(&fleet.loss), "fleet.loss: a part under 1".into());
            if let Err(why) = fleet.delay.validate() {
                must(false, format!("fleet.delay: {why}"));
            }
        }
        must(!self.rule_sets.is_empty(), "rule_sets: at least one".into());
        for set in &self.rule_sets {
            let right = set.traffic_weight > 0.0
                && set.client_timeout > 0
                && set.response_target <= set.client_timeout;
            must(right, format!("rule set {}: a part over 0 and a target within the timeout", set.name));
        }
        for tier in &self.tiers {
            let right = (1..=10_000).contains(&tier.server_count)
                && (1..=tier.server_count).contains(&tier.site_count)
                && tier.slots > 0;
            must(right, format!("tier {}: srvs, as many sites at most, and slots", tier.name));
            must(
                (0.0..=1.0).contains(&tier.failure_fraction),
                format!("tier {}: failing is a part", tier.name),
            );
            if let Err(why) = tier.work_time.validate() {
                must(false, format!("tier {}: work: {why}", tier.name));
            }
        }
        for trouble in &self.faults {
            let tier = self.tiers.iter().find(|tier| tier.name == trouble.tier);
            must(
                tier.is_some(),
                format!("trouble at {} s: no tier {}", trouble.starts_at / 1_000_000_000, trouble.tier),
            );
            let site = tier.is_none_or(|tier| trouble.site < tier.site_count);
            must(site, format!("trouble in {}: there is no site {}", trouble.tier, trouble.site));
            must(trouble.factor > 0.0, format!("trouble in {}: times is over 0", trouble.tier));
            must(
                (0.0..=1.0).contains(&trouble.fraction),
                format!("trouble in {}: part is a part", trouble.tier),
            );
        }
        errors
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_have_units() {
        let spans = ["250ms", "1.5s", "2 min", "10us", "1h", "5", "s", "-1s", "1 week", "1e400s"];
        let read: Vec<Option<Nanos>> = spans.iter().map(|text| parse_duration(text)).collect();
        let some = [250_000_000, 1_500_000_000, 120_000_000_000, 10_000, 3_600_000_000_000].map(Some);
        assert_eq!(read, [&some[..], &[None; 5]].concat());
    }
}
