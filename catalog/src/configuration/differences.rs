//! Describes the differences between two configurations for operators, with the field names of their documents.
//!
//! Invariants: equal configurations have no differences.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::field_names;
use super::model::{Limits, Name, Route, Service};
use super::read::repeat_policy_name;
use super::routing::Configuration;

/// Lists the differences between two configurations, one line per changed field.
pub fn differences(old: &Configuration, new: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    let version_field = |configuration: &Configuration| vec![DisplayedField::version(configuration.version)];
    push_differences(&mut lines, "timetable", Some(version_field(old)), Some(version_field(new)));
    for (key, old, new) in pair_by_key(routes_by_name(old), routes_by_name(new)) {
        let subject = format!("route {}", key.name);
        push_differences(&mut lines, &subject, old.map(route_fields), new.map(route_fields));
    }
    for (name, old, new) in pair_by_key(services_by_name(old), services_by_name(new)) {
        let subject = format!("service {name}");
        push_differences(&mut lines, &subject, old.map(service_fields), new.map(service_fields));
    }
    let (old, new) = (limit_fields(old.limits()), limit_fields(new.limits()));
    push_differences(&mut lines, "limits", Some(old), Some(new));
    lines
}

/// Lists the differences between two sets of routes, one line per changed field. Routes are matched by host and prefix,
/// because a name may move from one route to another.
pub fn differences_by_location<'r>(
    old: impl Iterator<Item = &'r Arc<Route>>,
    new: impl Iterator<Item = &'r Arc<Route>>,
) -> Vec<String> {
    let old: BTreeMap<_, _> = old.map(|route| (route.location(), route)).collect();
    let new: BTreeMap<_, _> = new.map(|route| (route.location(), route)).collect();
    let mut lines = Vec::new();
    for ((host, prefix), old, new) in pair_by_key(old, new) {
        if old != new {
            let subject = format!("route {host}{prefix}");
            push_differences(&mut lines, &subject, old.map(located_fields), new.map(located_fields));
        }
    }
    lines
}

/// A field of a document with its value, formatted for operators.
pub(crate) struct DisplayedField {
    name: &'static str,
    value: String,
}

impl DisplayedField {
    pub(crate) fn new(name: &'static str, value: impl ToString) -> DisplayedField {
        DisplayedField { name, value: value.to_string() }
    }

    /// The version of a document.
    pub(crate) fn version(version: u64) -> DisplayedField {
        DisplayedField::new(field_names::VERSION, format!("r{version}"))
    }
}

/// Pairs the values of two maps by key, in key order.
pub(crate) fn pair_by_key<K: Ord + Clone, V>(
    mut old: BTreeMap<K, V>,
    mut new: BTreeMap<K, V>,
) -> Vec<(K, Option<V>, Option<V>)> {
    let mut keys: Vec<K> = old.keys().chain(new.keys()).cloned().collect();
    keys.sort();
    keys.dedup();
    keys.into_iter().map(|key| (key.clone(), old.remove(&key), new.remove(&key))).collect()
}

/// Adds a line for each changed field of the subject, or one line if the subject as a whole was added or removed.
pub(crate) fn push_differences(
    lines: &mut Vec<String>,
    subject: &str,
    old: Option<Vec<DisplayedField>>,
    new: Option<Vec<DisplayedField>>,
) {
    match (old, new) {
        (Some(old), Some(new)) => push_changed_fields(lines, subject, old, new),
        (Some(old), None) => lines.push(format!("{subject} removed: {}", join_fields(old))),
        (None, Some(new)) => lines.push(format!("{subject} added: {}", join_fields(new))),
        (None, None) => {}
    }
}

fn push_changed_fields(
    lines: &mut Vec<String>,
    subject: &str,
    old: Vec<DisplayedField>,
    mut new: Vec<DisplayedField>,
) {
    /// Stands for an absent field.
    const ABSENT: &str = "none";
    let mut push_change = |name: &str, old: &str, new: &str| {
        if old != new {
            lines.push(format!("{subject}: {name} from {old} to {new}"));
        }
    };
    for field in old {
        let index = new.iter().position(|other| other.name == field.name);
        let new_value = index.map_or_else(|| ABSENT.into(), |index| new.remove(index).value);
        push_change(field.name, &field.value, &new_value);
    }
    for field in new {
        push_change(field.name, ABSENT, &field.value);
    }
}

fn join_fields(fields: Vec<DisplayedField>) -> String {
    let fields: Vec<String> =
        fields.into_iter().map(|field| format!("{} {}", field.name, field.value)).collect();
    fields.join(", ")
}

/// Identifies a route by its name and, among routes of the same name, by its position.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct NamedRouteKey {
    name: Name,
    /// Counted from 1.
    occurrence: usize,
}

fn routes_by_name(configuration: &Configuration) -> BTreeMap<NamedRouteKey, &Route> {
    let mut occurrences: HashMap<Name, usize> = HashMap::new();
    let mut routes = BTreeMap::new();
    for route in configuration.routes() {
        let occurrence = occurrences.entry(route.name.clone()).or_default();
        *occurrence += 1;
        routes.insert(NamedRouteKey { name: route.name.clone(), occurrence: *occurrence }, &**route);
    }
    routes
}

fn services_by_name(configuration: &Configuration) -> BTreeMap<&Name, &Service> {
    configuration.services().map(|service| (&service.name, service)).collect()
}

fn route_fields(route: &Route) -> Vec<DisplayedField> {
    let services: Vec<String> =
        route.services.iter().map(|service| format!("{} {}", service.name, service.weight)).collect();
    let mut fields = vec![
        DisplayedField::new(field_names::HOST, &route.host),
        DisplayedField::new(field_names::PREFIX, &route.prefix),
        DisplayedField::new(field_names::REPEAT_POLICY, repeat_policy_name(route.repeat_policy)),
        DisplayedField::new(field_names::DEADLINE, route.deadline_ms),
        DisplayedField::new(field_names::LATENCY_TARGET, route.latency_target_ms),
        DisplayedField::new(field_names::PRIORITY, route.priority),
        DisplayedField::new(field_names::MAX_ATTEMPTS, route.max_attempts),
        DisplayedField::new("lines", format!("[{}]", services.join(", "))),
    ];
    fields.extend(
        route.session_header.iter().map(|header| DisplayedField::new(field_names::SESSION_HEADER, header)),
    );
    fields
}

/// The fields of a route that is identified by its host and prefix, with the route's member.
fn located_fields(route: &Arc<Route>) -> Vec<DisplayedField> {
    let member = route.share.as_ref().map_or("-", |share| &share.member);
    let mut fields = vec![DisplayedField::new("member", member), DisplayedField::new("name", &route.name)];
    fields.extend(route_fields(route));
    fields.retain(|field| ![field_names::HOST, field_names::PREFIX].contains(&field.name));
    fields
}

fn service_fields(service: &Service) -> Vec<DisplayedField> {
    vec![
        DisplayedField::new(field_names::HEALTH_PATH, &service.health_path),
        DisplayedField::new(field_names::MAX_CONNECTIONS, service.max_connections),
        DisplayedField::new(field_names::DEDUPLICATES, service.deduplicates),
    ]
}

fn limit_fields(limits: &Limits) -> Vec<DisplayedField> {
    vec![
        DisplayedField::new(field_names::MAX_HEADER_BYTES, limits.max_header_bytes),
        DisplayedField::new(field_names::MAX_BODY_BYTES, limits.max_body_bytes),
        DisplayedField::new(field_names::HEADER_TIMEOUT, limits.header_timeout_ms),
        DisplayedField::new(field_names::IDLE_TIMEOUT, limits.idle_timeout_ms),
    ]
}
