//! What an instance is told at its start, read from the facts once and for all, and what is counted for each
//! rule set and customer of theirs. It owns these readings and their defaults, and decides nothing.

use std::collections::HashMap;

use crate::decide::S;
use crate::measure::Ring;
use crate::types::*;

/// What the facts tell once and for all.
pub struct Told {
    pub rule_sets: Vec<RuleSet>,
    pub customers: HashMap<Name, Customer>,
    /// The shortest response target of any rule set.
    pub target: Nanos,
    pub tier: usize,
    pub tiers: usize,
    pub instances: f64,
    pub me: f64,
    /// Balancers beside the srvs hold what those may have at once, and others tell which are silent: no level, no cold
    /// budget and no judgement by time is wanted here.
    pub doors: bool,
    /// Owned failures are sent again within this part of our first sends, over the budget's ring.
    pub tenth: f64,
    /// Sends again that a quiet instance may make in a ring's time all the same, one at most: its part of these. Guards
    /// against floors that sum up to more than a tenth over hundreds of instances.
    pub floor: f64,
    pub max_dispatches: usize,
    /// So many doors may turn a req away before it is denied, and so many of one site before it goes to another.
    pub most_turned: usize,
    pub most_turned_by_site: usize,
    pub may_recall: bool,
    pub come_back_passed: bool,
    pub max_come_back: Nanos,
    pub excess_utility: f64,
    pub utility_by_work: bool,
    pub cold: Nanos,
    pub cold_share: f64,
    /// How many connections to srvs it may hold.
    pub connections: f64,
    /// Where a load report tells what is in flight or queued.
    pub report_at: Option<usize>,
}

pub struct RuleSet {
    pub name: Name,
    pub target: Nanos,
    pub window: Nanos,
    pub utility: f64,
    pub late_utility: f64,
    pub effect: Effect,
    pub group: Group,
    pub took: Ring,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Effect {
    Replayable,
    Uniqued,
    NonReplayable,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Group {
    All,
    Site,
    Cell,
}

pub struct Customer {
    pub share_per_s: f64,
    pub asked: Ring,
}

impl Told {
    pub fn new(facts: &Parameters) -> Told {
        let report_at = ["report_in_flight", "report_queue"].iter().find_map(|field| facts.get(*field));
        let rule_sets: Vec<RuleSet> = read_list(facts, "rule_sets").iter().map(RuleSet::new).collect();
        let instances = read_number(facts, "instances", 1.0).max(1.0);
        Told {
            tenth: read_number(facts, "again_part", 0.1).clamp(0.0, 0.1),
            floor: (read_number(facts, "again_floor", 10.0) / instances).min(1.0),
            target: rule_sets.iter().map(|set| set.target).min().unwrap_or(S).max(1),
            rule_sets,
            customers: read_list(facts, "customers").iter().map(Customer::new).collect(),
            tier: read_number(facts, "tier", 0.0) as usize,
            tiers: read_number(facts, "tiers", 1.0) as usize,
            instances,
            me: read_number(facts, "me", 0.0),
            doors: read_text(facts, "level") == "doors",
            max_dispatches: read_number(facts, "max_dispatches", 2.0) as usize,
            most_turned: read_number(facts, "most_turned", f64::INFINITY) as usize,
            most_turned_by_site: read_number(facts, "most_turned_by_site", f64::INFINITY) as usize,
            may_recall: read_flag(facts, "may_recall"),
            come_back_passed: read_flag(facts, "come_back_passed"),
            max_come_back: read_duration(facts, "max_come_back", S),
            excess_utility: read_number(facts, "excess_utility", 1.0),
            utility_by_work: read_text(facts, "utility_by") == "work",
            cold: read_duration(facts, "cold", 0),
            cold_share: read_number(facts, "cold_share", 1.0),
            connections: read_number(facts, "connections", f64::INFINITY),
            report_at: if let Some(ParameterValue::Number(at)) = report_at {
                Some(*at as usize)
            } else {
                None
            },
        }
    }

    pub fn rule_set(&self, name: &str) -> Option<&RuleSet> {
        self.rule_sets.iter().find(|set| &*set.name == name)
    }

    /// Where a srv's health in this rule set stands.
    pub fn health_at(&self, name: &str) -> usize {
        self.rule_sets.iter().position(|set| &*set.name == name).map_or(0, |at| at + 1)
    }
}

impl RuleSet {
    pub fn new(facts: &Parameters) -> RuleSet {
        RuleSet {
            name: read_text(facts, "name").into(),
            target: read_duration(facts, "response_target", S),
            window: read_duration(facts, "window", 0),
            utility: read_number(facts, "utility", 1.0),
            late_utility: read_number(facts, "late_utility", 0.0),
            effect: match read_text(facts, "effect") {
                "replayable" => Effect::Replayable,
                "uniqued" => Effect::Uniqued,
                _ => Effect::NonReplayable,
            },
            group: match read_text(facts, "group") {
                "all" => Group::All,
                "site" => Group::Site,
                _ => Group::Cell,
            },
            took: Ring::over(20 * S),
        }
    }
}

impl Customer {
    pub fn new(facts: &Parameters) -> (Name, Customer) {
        let share_per_s = read_number(facts, "share_per_s", f64::INFINITY);
        (read_text(facts, "name").into(), Customer { share_per_s, asked: Ring::over(4 * S) })
    }
}
