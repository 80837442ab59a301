//! The file that describes a day: fleet, traffic, and troubles by time. It owns its reading and its checks, and must
//! never let a day begin on what it does not understand: unknown fields are refused, with line and column.

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::Nanos;
use crate::chance::Span;
use crate::fleet::Fleet;
use crate::station::{Build, Cold, Fatigue};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Arrivals come for so long; what is under way then is still answered.
    #[serde(deserialize_with = "span")]
    pub lasts: Nanos,
    pub clients: Clients,
    pub network: Network,
    pub list: Discovery,
    /// The balancers before the first tier speak with each other.
    pub fleet: Option<Fleet>,
    pub rule_sets: Vec<RuleSet>,
    /// The first is the clients' own; each calls the next.
    pub tiers: Vec<Tier>,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, from all clients together.
    pub per_s: f64,
    /// Balancers that they call, at random.
    pub instances: usize,
    /// How often a client tries again after a deny, and how long it waits before.
    #[serde(default)]
    pub tries_again: u32,
    #[serde(default, deserialize_with = "span")]
    pub pause: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One way, within a site and between two.
    pub within: Span,
    pub between: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How long news takes to each balancer.
    pub delay: Span,
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
    pub part: f64,
    #[serde(deserialize_with = "span")]
    pub response_target: Nanos,
    #[serde(deserialize_with = "span")]
    pub client_timeout: Nanos,
    #[serde(default = "one")]
    pub utility: f64,
    /// For how long a uniqued req's repeat is known.
    #[serde(default, deserialize_with = "span")]
    pub window: Nanos,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub name: String,
    pub srvs: usize,
    #[serde(default = "one_site")]
    pub sites: usize,
    pub slots: usize,
    pub room: usize,
    pub work: Span,
    pub cold: Option<Cold>,
    pub fatigue: Option<Fatigue>,
    /// The part of its jobs that fail of themselves.
    #[serde(default)]
    pub failing: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    #[serde(deserialize_with = "span")]
    pub at: Nanos,
    #[serde(deserialize_with = "span")]
    pub lasts: Nanos,
    pub what: What,
    pub tier: String,
    /// The site that is lost.
    #[serde(default)]
    pub site: usize,
    /// How many srvs, or balancers, are struck, from the first on.
    #[serde(default)]
    pub srvs: usize,
    /// How many times as much work, or as many clients.
    #[serde(default = "one")]
    pub times: f64,
    /// The part of the answers that is lost.
    #[serde(default)]
    pub part: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
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
pub fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Nanos, D::Error> {
    let text = String::deserialize(from)?;
    parse_span(&text)
        .ok_or_else(|| de::Error::custom(format!("`{text}` is no span such as \"250ms\" or \"1.5s\"")))
}

fn parse_span(text: &str) -> Option<Nanos> {
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
    pub fn build(&self) -> Build {
        let Tier { slots, room, cold, fatigue, .. } = self.clone();
        Build { slots, room, cold, fatigue }
    }
}

impl Scenario {
    /// Reads and checks a file's text; the error says where and what.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = scenario.errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors.join("\n")) }
    }

    /// The text with another value at a path such as `clients.per_s` or `tiers.1.slots`.
    pub fn with(text: &str, path: &str, value: &str) -> Result<String, String> {
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
    pub fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut must = |right: bool, what: String| {
            if !right {
                errors.push(what);
            }
        };
        must(self.lasts > 0, "lasts: a day has to last".into());
        must((0.0..1e6).contains(&self.clients.per_s), "clients.per_s: from 0 up to a million".into());
        must((1..=1_000).contains(&self.clients.instances), "clients.instances: from 1 to 1,000".into());
        must((1..=3).contains(&self.tiers.len()), "tiers: one to three".into());
        if let Some(fleet) = &self.fleet {
            must((0.0..1.0).contains(&fleet.loss), "fleet.loss: a part under 1".into());
            if let Err(why) = fleet.delay.check() {
                must(false, format!("fleet.delay: {why}"));
            }
        }
        must(!self.rule_sets.is_empty(), "rule_sets: at least one".into());
        for set in &self.rule_sets {
            let right = set.part > 0.0 && set.client_timeout > 0 && set.response_target <= set.client_timeout;
            must(right, format!("rule set {}: a part over 0 and a target within the timeout", set.name));
        }
        for tier in &self.tiers {
            let right =
                (1..=10_000).contains(&tier.srvs) && (1..=tier.srvs).contains(&tier.sites) && tier.slots > 0;
            must(right, format!("tier {}: srvs, as many sites at most, and slots", tier.name));
            must((0.0..=1.0).contains(&tier.failing), format!("tier {}: failing is a part", tier.name));
            if let Err(why) = tier.work.check() {
                must(false, format!("tier {}: work: {why}", tier.name));
            }
        }
        for trouble in &self.troubles {
            let tier = self.tiers.iter().find(|tier| tier.name == trouble.tier);
            must(
                tier.is_some(),
                format!("trouble at {} s: no tier {}", trouble.at / 1_000_000_000, trouble.tier),
            );
            let site = tier.is_none_or(|tier| trouble.site < tier.sites);
            must(site, format!("trouble in {}: there is no site {}", trouble.tier, trouble.site));
            must(trouble.times > 0.0, format!("trouble in {}: times is over 0", trouble.tier));
            must((0.0..=1.0).contains(&trouble.part), format!("trouble in {}: part is a part", trouble.tier));
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
        let read: Vec<Option<Nanos>> = spans.iter().map(|text| parse_span(text)).collect();
        let some = [250_000_000, 1_500_000_000, 120_000_000_000, 10_000, 3_600_000_000_000].map(Some);
        assert_eq!(read, [&some[..], &[None; 5]].concat());
    }
}
