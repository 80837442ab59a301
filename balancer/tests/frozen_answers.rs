//! What operators' tools see of a mesh: the fields of each call's answer with the types of their values, and the names,
//! types and labels of the figures. Values differ from run to run and are not kept.

#[allow(dead_code)]
#[path = "mesh/federation.rs"]
mod federation;
#[path = "helper/fixtures.rs"]
mod fixtures;
mod helper;
#[allow(dead_code)]
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;
#[allow(dead_code)]
#[path = "mesh/session_load.rs"]
mod session_load;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use federation::{change, name_members, register, said_to};
use fixtures::assert_matches_fixture;
use helper::wait_until;
use mesh_cluster::*;
use serde_json::Value;
use sha2::{Digest as _, Sha256};

/// Each place of a value with the types seen there. Items of a list share a place.
fn places<'v>(value: &'v Value, place: &str, all: &mut BTreeMap<String, BTreeSet<&'v str>>) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(number) if number.is_f64() => "fraction",
        Value::Number(_) => "whole",
        // These are words that tools compare with.
        Value::String(word) if place.ends_with(".state") || place.ends_with(".kept_by") => word,
        Value::String(_) => "text",
        Value::Array(_) => "list",
        Value::Object(_) => "table",
    };
    all.entry(place.to_owned()).or_default().insert(kind);
    match value {
        Value::Array(items) => items.iter().for_each(|item| places(item, &format!("{place}[]"), all)),
        Value::Object(fields) => {
            fields.iter().for_each(|(name, field)| places(field, &format!("{place}.{name}"), all))
        }
        _ => {}
    }
}

/// Asks again while there is no answer, or one that says to.
fn answered(call: impl Fn() -> Message) -> Message {
    let last = RefCell::new(Message::default());
    wait_until("answered", || {
        last.replace(call());
        !["", "503"].contains(&last.borrow().status())
    });
    last.into_inner()
}

/// The answer's form: its status, its type of content, and its places or, where it is no JSON, its text.
fn form(call: &str, answer: &Message) -> String {
    let mut told = format!("{call}\n  {} {}\n", answer.status(), answer.field("content-type"));
    match serde_json::from_str::<Value>(answer.text()) {
        Ok(value) => {
            let mut all = BTreeMap::new();
            places(&value, "", &mut all);
            for (place, kinds) in all {
                let kinds: Vec<_> = kinds.into_iter().collect();
                writeln!(told, "  {}: {}", if place.is_empty() { "." } else { &place }, kinds.join(" or "))
                    .expect("text");
            }
        }
        Err(_) => answer.text().lines().for_each(|line| writeln!(told, "  |{line}").expect("text")),
    }
    told + "\n"
}

/// Each figure's name, type, help and the names of its labels.
fn figures(of: &str, page: &Message) -> String {
    let mut told = BTreeSet::new();
    for line in page.text().lines() {
        if line.starts_with('#') {
            told.insert(line.to_owned());
            continue;
        }
        let (name, rest) = line.split_at(line.find(['{', ' ']).expect("a value"));
        let labels =
            rest.strip_prefix('{').and_then(|rest| rest.split_once('}')).map_or("", |(labels, _)| labels);
        let labels: Vec<_> = labels.split(',').filter_map(|label| Some(label.split_once('=')?.0)).collect();
        told.insert(format!("{name} {{{}}}", labels.join(",")));
    }
    let lines: String = told.into_iter().map(|line| format!("  {line}\n")).collect();
    format!("{of}\n  {} {}\n{lines}\n", page.status(), page.field("content-type"))
}

fn figures_of_each_role(cluster: &MeshCluster) -> String {
    figures("steward", &get(cluster.control(0), "/metrics"))
        + &figures("attendant", &get(cluster.control_of_attendant(0), "/metrics"))
}

/// A member's document of one route, with a trial where it is told so.
fn routes(edition: u64, more: &str) -> String {
    federation::document("norte", edition, more, &[("a", "resendable", "alpha", 6_000)])
}

#[test]
fn the_figures_of_each_role() {
    let cluster = MeshCluster::start();
    assert_matches_fixture("figures.txt", &figures_of_each_role(&cluster));
}

/// A person's session, as operators' calls name it.
fn session(person: &str) -> String {
    let mut sum = Sha256::new();
    for part in ["alpha", "x-person", person] {
        sum.update((part.len() as u64).to_be_bytes());
        sum.update(part);
    }
    sum.finalize().iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

/// The calls about a session that is there.
fn sessions(cluster: &MeshCluster) -> String {
    let person = session("person-1");
    assert_eq!(insisted(cluster.gate(0), "GET /look/x", "X-Person: person-1\r\n", b"").1.status(), "200");
    let shown = format!("sessions.show&of={person}");
    wait_until("tied", || cluster.ask(0, &shown)["tie"].is_object());
    let mut told = form("steward, sessions.show&of=ID", &answered(|| cluster.call(0, &shown, "", "")));
    let moved = format!("sessions.move&of={person}&to={}", cluster.listens(1)[1]);
    wait_until("moved", || cluster.call(0, &moved, "", "").status() == "200");
    told += &form("steward, sessions.move&of=ID&to=DOOR", &answered(|| cluster.call(0, &moved, "", "")));
    told += &form(
        "steward, sessions.forget&of=ID",
        &answered(|| cluster.call(0, &format!("sessions.forget&of={person}"), "", "")),
    );
    told
}

#[test]
fn the_answers_to_operators_and_members() {
    let cluster = MeshCluster::start();
    cluster.replace(0, &session_load::with_sessions(2));
    name_members(&cluster, &register(1, r#""alpha","omega""#, r#""routes":10"#));
    change(&cluster, "replace", "norte", "norte-key", &routes(1, ""));
    cluster.until_in_force("/norte/a/x");
    assert_eq!(keyed_insisted(cluster.gate(0), "/move/x", "k-1").status(), "200");
    // Each list is to have an item of each kind before it is looked at.
    wait_until("all nodes are told of", || {
        let nodes = cluster.ask(0, "nodes.list");
        let all = |name: &str, count: usize| {
            nodes[name]
                .as_array()
                .is_some_and(|of| of.len() == count && of.iter().all(|of| of["full_ms"].is_u64()))
        };
        all("stewards", STEWARDS) && all("attendants", 4) && nodes["settled"] == true
    });
    wait_until("all upstreams are told of", || {
        cluster.ask(0, "upstreams.list")["upstreams"].as_array().is_some_and(|of| of.len() == 4)
    });
    wait_until("members' reqs are told of", || {
        let _ = insisted(cluster.gate(0), "GET /norte/a/x", "", b"");
        cluster.ask(0, "budget.list")["members"].as_array().is_some_and(|of| !of.is_empty())
    });
    wait_until("no steward is silent and all upstreams are well", || {
        let well = |of: &Vec<Value>| of.iter().all(|of| of.get("ill").is_none());
        cluster.ask(0, "budget.list")["silent"].as_array().is_some_and(Vec::is_empty)
            && cluster.ask(0, "upstreams.list")["upstreams"].as_array().is_some_and(well)
    });
    // More than half of the stewards are told of an outcome; each tells of what it holds itself.
    let holds = |steward: &usize| cluster.ask(*steward, "keys.show&of=k-1")["state"] == "done";
    wait_until("the key is done", || (0..STEWARDS).any(|steward| holds(&steward)));
    let holder = (0..STEWARDS).find(holds).expect("one of them");
    let mut told = String::new();
    for call in [
        "nodes.list",
        "upstreams.list",
        "timetable.history",
        "timetable.read",
        "keys.count",
        "keys.show&of=k-1",
        "keys.show&of=unknown",
        "keys.show",
        "keys.show&of=%f",
        "budget.list",
        "upstreams.drain",
        "upstreams.drain&of=unknown",
        "sessions.count",
        "sessions.show",
        "sessions.show&of=ff",
        "sessions.move&of=ff",
        "sessions.forget&of=here",
        "nodes.list&after=here",
        "members.read",
        "nodes.burn",
        "",
    ] {
        let steward = if call.starts_with("keys.") { holder } else { 0 };
        told += &form(&format!("steward, {call}"), &answered(|| cluster.call(steward, call, "", "")));
    }
    for call in ["sessions.count", "nodes.list", ""] {
        let to = cluster.control_of_attendant(0);
        let req = format!("POST /api/rpc?call={call} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\n\r\n");
        told +=
            &form(&format!("attendant, {call}"), &mesh_cluster::call(to, req.as_bytes()).expect("an answer"));
    }
    for (call, body) in
        [("timetable.replace", "{}"), ("members.replace", "{}"), ("timetable.replace", "no JSON")]
    {
        told += &form(&format!("steward, {call} {body}"), &answered(|| cluster.call(0, call, "", body)));
    }
    wait_until("all nodes tell of the member's edition", || {
        let page = said_to(&cluster, 0, "status", "norte", "norte-key", "");
        let page: Value = serde_json::from_str(page.text()).unwrap_or_default();
        page["nodes"].as_array().is_some_and(|of| of.len() == 4)
    });
    let member = |verb: &str, key: &str, body: &str| {
        form(&format!("member, {verb} {body}"), &answered(|| said_to(&cluster, 0, verb, "norte", key, body)))
    };
    for verb in ["read", "status", "history", "burn"] {
        told += &member(verb, "norte-key", "");
    }
    told += &member("plan", "norte-key", &routes(2, ""));
    told += &member("plan", "norte-key", "{}");
    told += &member("read", "sul-key", "");
    told += &member("replace", "norte-key", &routes(2, ""));
    for verb in ["undo", "settle", "withdraw"] {
        told += &member(verb, "norte-key", "");
    }
    // Trials: one is withdrawn, one settled.
    name_members(&cluster, &register(2, r#""alpha","omega""#, r#""routes":10,"trial_s":86400"#));
    let trial = |edition| routes(edition, r#""trial":0.5,"#);
    let stands = |field: &str, edition: &str| {
        let page = said_to(&cluster, 0, "status", "norte", "norte-key", "");
        let page: Value = serde_json::from_str(page.text()).unwrap_or_default();
        page[field] == edition
    };
    told += &member("replace", "norte-key", &trial(4));
    wait_until("on trial", || stands("trial", "r4"));
    told += &member("status", "norte-key", "");
    told += &member("withdraw", "norte-key", "");
    wait_until("withdrawn", || stands("withdrawn", "r4"));
    told += &member("status", "norte-key", "");
    told += &member("replace", "norte-key", &trial(5));
    told += &member("settle", "norte-key", "");
    told += &sessions(&cluster);
    // The one upstream of its service, of which every second run fails.
    cluster.upstreams[3].has(Trouble::Grey);
    wait_until("ill", || {
        let _ = get(cluster.gate(0), "/far/x");
        let page = cluster.ask(0, "upstreams.list");
        page["upstreams"].as_array().is_some_and(|of| of.iter().any(|of| of["ill"]["fails"].is_u64()))
    });
    told += &form(
        "steward, upstreams.list of an ill one",
        &answered(|| cluster.call(0, "upstreams.list", "", "")),
    );
    // Last, as it can't be taken back.
    let id = cluster.ask(0, "upstreams.list")["upstreams"][0]["id"].as_str().expect("an id").to_owned();
    let drain = format!("upstreams.drain&of={id}");
    wait_until("drained", || cluster.call(0, &drain, "", "").status() == "200");
    told += &form("steward, upstreams.drain&of=ID", &answered(|| cluster.call(0, &drain, "", "")));
    assert_matches_fixture("answers.txt", &told);
}
