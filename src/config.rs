//! The configuration of an instance, read once from its parameters, with the windows kept for each rule set and customer.

use std::collections::HashMap;

use crate::statistics::SlidingWindow;
use crate::types::*;

pub struct Config {
    pub rule_sets: Vec<RuleSet>,
    pub customers: HashMap<Name, Customer>,
    /// The shortest response target of any rule set.
    pub min_response_target: Nanos,
    /// 0 is the tier that clients call.
    pub tier: usize,
    /// How many tiers there are.
    pub tiers: usize,
    /// How many instances send requests to the same endpoints.
    pub instances: f64,
    /// The position of this instance among them, from 0.
    pub instance_index: f64,
    /// Proxies beside the endpoints enforce their concurrency limits, and other instances tell which endpoints are unresponsive.
    /// This instance then keeps no concurrency limit, slow-start budget or subset, and does not judge endpoints by latency.
    pub proxies_enforce_limits: bool,
    /// The retry budget as a ratio of the first sends within the budget's window of 10 s.
    pub retry_ratio: f64,
    /// Retries allowed within that window in addition to the ratio: this instance's even part of what all instances may make.
    /// It is at most one, so that the floors of hundreds of instances do not add up to more than the budget.
    pub retry_floor: f64,
    pub max_dispatches: usize,
    /// A request is denied after this many rejections by proxies beside endpoints.
    pub max_rejections: usize,
    /// A request goes to another site after this many rejections in one.
    pub max_rejections_per_site: usize,
    pub may_cancel: bool,
    pub sends_retry_after: bool,
    pub max_retry_after: Nanos,
    /// The factor on the rank of requests of customers that are over their contracted rate.
    pub excess_utility: f64,
    /// Utilities are per unit of work, so that the rank of a request is its utility; else the rank is its utility per second of
    /// latency.
    pub utility_by_work: bool,
    /// How long the slow start of an endpoint lasts.
    pub slow_start: Nanos,
    /// The share of its capacity that an endpoint has at the start of its slow start.
    pub slow_start_share: f64,
    /// The instance asks for a subscription to the endpoint list when it starts.
    pub subscribes_to_list: bool,
    /// How many connections to endpoints this instance may hold.
    pub max_connections: f64,
    /// The index of the load report's value that counts requests in flight or queued.
    pub load_report_index: Option<usize>,
}

pub struct RuleSet {
    pub name: Name,
    pub response_target: Nanos,
    /// How long the endpoints recognize a repeat of a request.
    pub dedup_window: Nanos,
    pub utility: f64,
    /// The utility of a response after the response target.
    pub late_utility: f64,
    pub effect: Effect,
    pub dedup_group: DedupGroup,
    /// Seconds from dispatch to response, over 20 s.
    pub latency: SlidingWindow,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Effect {
    /// Requests may run any number of times.
    Replayable,
    /// Endpoints of a group recognize repeats within a window.
    Deduplicated,
    /// Requests must not run more than once.
    NonReplayable,
}

/// The endpoints that recognize a repeat of a request.
#[derive(Clone, Copy, PartialEq)]
pub enum DedupGroup {
    All,
    Site,
    /// The endpoints with the same cell number, whatever their site.
    Cell,
}

pub struct Customer {
    /// Requests per second that the customer may send to all instances together.
    pub contracted_rate_per_s: f64,
    pub arrivals: SlidingWindow,
}

impl Config {
    pub fn new(parameters: &Parameters) -> Config {
        let load_report_index =
            ["report_in_flight", "report_queue"].iter().find_map(|field| parameters.get(*field));
        let rule_sets: Vec<RuleSet> = read_list(parameters, "rule_sets").iter().map(RuleSet::new).collect();
        let instances = read_number(parameters, "instances", 1.0).max(1.0);
        Config {
            retry_ratio: read_number(parameters, "again_part", 0.1).clamp(0.0, 0.1),
            retry_floor: (read_number(parameters, "again_floor", 10.0) / instances).min(1.0),
            min_response_target: rule_sets
                .iter()
                .map(|set| set.response_target)
                .min()
                .unwrap_or(SECOND)
                .max(1),
            rule_sets,
            customers: read_list(parameters, "customers").iter().map(Customer::new).collect(),
            tier: read_number(parameters, "tier", 0.0) as usize,
            tiers: read_number(parameters, "tiers", 1.0) as usize,
            instances,
            instance_index: read_number(parameters, "me", 0.0),
            proxies_enforce_limits: read_text(parameters, "level") == "doors",
            max_dispatches: read_number(parameters, "max_dispatches", 2.0) as usize,
            max_rejections: read_number(parameters, "most_turned", f64::INFINITY) as usize,
            max_rejections_per_site: read_number(parameters, "most_turned_by_site", f64::INFINITY) as usize,
            may_cancel: read_flag(parameters, "may_recall"),
            sends_retry_after: read_flag(parameters, "come_back_passed"),
            max_retry_after: read_duration(parameters, "max_come_back", SECOND),
            excess_utility: read_number(parameters, "excess_utility", 1.0),
            utility_by_work: read_text(parameters, "utility_by") == "work",
            slow_start: read_duration(parameters, "cold", 0),
            slow_start_share: read_number(parameters, "cold_share", 1.0),
            subscribes_to_list: read_text(parameters, "list_mode") == "ask",
            max_connections: read_number(parameters, "connections", f64::INFINITY),
            load_report_index: if let Some(ParameterValue::Number(index)) = load_report_index {
                Some(*index as usize)
            } else {
                None
            },
        }
    }

    pub fn is_first_tier(&self) -> bool {
        self.tier == 0
    }

    pub fn rule_set(&self, name: &str) -> Option<&RuleSet> {
        self.rule_sets.iter().find(|set| &*set.name == name)
    }

    /// The index of this rule set in an endpoint's health list: 0, the health over all rule sets, if there is none.
    pub fn health_index(&self, name: &str) -> usize {
        self.rule_sets.iter().position(|set| &*set.name == name).map_or(0, |at| at + 1)
    }
}

impl RuleSet {
    pub fn new(parameters: &Parameters) -> RuleSet {
        RuleSet {
            name: read_text(parameters, "name").into(),
            response_target: read_duration(parameters, "response_target", SECOND),
            dedup_window: read_duration(parameters, "window", 0),
            utility: read_number(parameters, "utility", 1.0),
            late_utility: read_number(parameters, "late_utility", 0.0),
            effect: match read_text(parameters, "effect") {
                "replayable" => Effect::Replayable,
                "uniqued" => Effect::Deduplicated,
                _ => Effect::NonReplayable,
            },
            dedup_group: match read_text(parameters, "group") {
                "all" => DedupGroup::All,
                "site" => DedupGroup::Site,
                _ => DedupGroup::Cell,
            },
            latency: SlidingWindow::new(20 * SECOND),
        }
    }
}

impl Customer {
    pub fn new(parameters: &Parameters) -> (Name, Customer) {
        let contracted_rate_per_s = read_number(parameters, "share_per_s", f64::INFINITY);
        (
            read_text(parameters, "name").into(),
            Customer { contracted_rate_per_s, arrivals: SlidingWindow::new(4 * SECOND) },
        )
    }
}
