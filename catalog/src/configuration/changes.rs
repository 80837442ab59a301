//! What changes from one timetable to another, as an operator reads it. It owns the lines and must never decide.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{Configuration, Limits, Name, Route, Service};

/// What an operator would see change from one version to another, a line for each field.
pub fn differences(old: &Configuration, new: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    let edition = |timetable: &Configuration| Some(vec![("edition", format!("r{}", timetable.version))]);
    compare(&mut lines, "timetable", edition(old), edition(new));
    for ((name, _), old, new) in paired(by_name(old), by_name(new)) {
        compare(&mut lines, &format!("route {name}"), old.map(route_facts), new.map(route_facts));
    }
    let (before, after) = (&old.services, &new.services);
    for (name, old, new) in paired(before.iter().collect(), after.iter().collect()) {
        compare(&mut lines, &format!("service {name}"), old.map(service_facts), new.map(service_facts));
    }
    compare(&mut lines, "limits", Some(limit_facts(&old.limits)), Some(limit_facts(&new.limits)));
    lines
}

/// What changes where reqs go, a line for each field, by host and prefix: names may change hands.
pub fn by_place<'r>(
    old: impl Iterator<Item = &'r Arc<Route>>,
    new: impl Iterator<Item = &'r Arc<Route>>,
) -> Vec<String> {
    let old: BTreeMap<_, _> = old.map(|route| (route.place(), route)).collect();
    let new: BTreeMap<_, _> = new.map(|route| (route.place(), route)).collect();
    let mut lines = Vec::new();
    for ((host, prefix), old, new) in paired(old, new) {
        if old != new {
            let facts = |route: &Arc<Route>| {
                let of = route.share.as_ref().map_or("-", |share| &share.member);
                let mut facts = vec![("member", of.to_string()), ("name", route.name.to_string())];
                facts.extend(route_facts(route));
                facts.retain(|(field, _)| !["depot", "lane_prefix"].contains(field));
                facts
            };
            compare(&mut lines, &format!("route {host}{prefix}"), old.map(facts), new.map(facts));
        }
    }
    lines
}

/// A field and its value, as an operator reads them.
pub(crate) type Fact = (&'static str, String);

/// Routes by name; a name may stand for several, told apart by their order.
fn by_name(timetable: &Configuration) -> BTreeMap<(Name, usize), &Route> {
    let mut counts: HashMap<Name, usize> = HashMap::new();
    let mut routes = BTreeMap::new();
    for route in timetable.routes() {
        let count = counts.entry(route.name.clone()).or_default();
        *count += 1;
        routes.insert((route.name.clone(), *count), &**route);
    }
    routes
}

pub(crate) fn paired<K: Ord + Clone, V>(
    mut old: BTreeMap<K, V>,
    mut new: BTreeMap<K, V>,
) -> Vec<(K, Option<V>, Option<V>)> {
    let mut keys: Vec<K> = old.keys().chain(new.keys()).cloned().collect();
    keys.sort();
    keys.dedup();
    keys.into_iter().map(|key| (key.clone(), old.remove(&key), new.remove(&key))).collect()
}

pub(crate) fn compare(lines: &mut Vec<String>, what: &str, old: Option<Vec<Fact>>, new: Option<Vec<Fact>>) {
    let all = |facts: Vec<Fact>| -> String {
        let facts: Vec<String> = facts.into_iter().map(|(field, value)| format!("{field} {value}")).collect();
        facts.join(", ")
    };
    match (old, new) {
        (Some(old), Some(new)) => {
            // A field that is not given stands for none.
            let mut new = new;
            let mut differs = |field: &str, old: &str, new: &str| {
                if old != new {
                    lines.push(format!("{what}: {field} from {old} to {new}"));
                }
            };
            for (field, old) in old {
                let at = new.iter().position(|(other, _)| *other == field);
                differs(field, &old, &at.map_or_else(|| "none".into(), |at| new.remove(at).1));
            }
            new.iter().for_each(|(field, new)| differs(field, "none", new));
        }
        (Some(old), None) => lines.push(format!("{what} removed: {}", all(old))),
        (None, Some(new)) => lines.push(format!("{what} added: {}", all(new))),
        (None, None) => {}
    }
}

fn route_facts(route: &Route) -> Vec<Fact> {
    let lines: Vec<String> = route.lines.iter().map(|(name, share)| format!("{name} {share}")).collect();
    let mut facts = vec![
        ("depot", route.host.to_string()),
        ("lane_prefix", route.prefix.to_string()),
        ("route_kind", route.kind.to_string()),
        ("deadline_ms", route.deadline_ms.to_string()),
        ("target_ms", route.target_ms.to_string()),
        ("post_class", route.rank.to_string()),
        ("tries", route.tries.to_string()),
        ("lines", format!("[{}]", lines.join(", "))),
    ];
    facts.extend(route.session.iter().map(|session| ("session", session.to_string())));
    facts
}

fn service_facts(service: &Service) -> Vec<Fact> {
    vec![
        ("health", service.health.clone()),
        ("berth_cap", service.berth_cap.to_string()),
        ("dedupes", service.dedupes.to_string()),
    ]
}

fn limit_facts(limits: &Limits) -> Vec<Fact> {
    vec![
        ("label_bytes", limits.label_bytes.to_string()),
        ("parcel_bytes", limits.parcel_bytes.to_string()),
        ("label_ms", limits.label_ms.to_string()),
        ("idle_ms", limits.idle_ms.to_string()),
    ]
}
