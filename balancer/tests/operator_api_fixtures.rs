//! Tests that compare the interface of the mesh's operators' and members' calls with files in `fixtures`: the fields of
//! each response with the types of their values, and the names, types and labels of the metrics. Values are not
//! compared, because they differ from run to run.

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

use federation::{call_as_member, member_register, replace_member_register, submit_change};
use fixtures::assert_matches_fixture;
use helper::wait_until;
use mesh_cluster::*;
use serde_json::Value;
use sha2::{Digest as _, Sha256};

/// Adds the path of each field of a value with the types seen there. Items of a list share a path.
fn collect_field_types<'v>(
    value: &'v Value,
    path: &str,
    types_by_path: &mut BTreeMap<String, BTreeSet<&'v str>>,
) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(number) if number.is_f64() => "fraction",
        Value::Number(_) => "whole",
        // Tools compare the values of these fields, so the fixture has the values themselves.
        Value::String(word) if path.ends_with(".state") || path.ends_with(".kept_by") => word,
        Value::String(_) => "text",
        Value::Array(_) => "list",
        Value::Object(_) => "table",
    };
    types_by_path.entry(path.to_owned()).or_default().insert(kind);
    match value {
        Value::Array(items) => {
            items.iter().for_each(|item| collect_field_types(item, &format!("{path}[]"), types_by_path))
        }
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_field_types(field, &format!("{path}.{name}"), types_by_path);
            }
        }
        _ => {}
    }
}

/// Repeats a call until it gets a response other than 503.
fn repeat_until_answered(send: impl Fn() -> HttpMessage) -> HttpMessage {
    let last_response = RefCell::new(HttpMessage::default());
    wait_until("the call is answered", || {
        last_response.replace(send());
        !["", "503"].contains(&last_response.borrow().status())
    });
    last_response.into_inner()
}

/// Describes a response by its status, content type and field types, or by its text if it is not JSON.
fn describe_response(call: &str, response: &HttpMessage) -> String {
    let mut text = format!("{call}\n  {} {}\n", response.status(), response.header("content-type"));
    match serde_json::from_str::<Value>(response.text()) {
        Ok(value) => {
            let mut types_by_path = BTreeMap::new();
            collect_field_types(&value, "", &mut types_by_path);
            for (path, kinds) in types_by_path {
                let kinds: Vec<_> = kinds.into_iter().collect();
                writeln!(text, "  {}: {}", if path.is_empty() { "." } else { &path }, kinds.join(" or "))
                    .expect("text");
            }
        }
        Err(_) => response.text().lines().for_each(|line| writeln!(text, "  |{line}").expect("text")),
    }
    text + "\n"
}

/// Describes a metrics page by the name, type, help text and label names of each metric.
fn describe_metrics(role: &str, page: &HttpMessage) -> String {
    let mut entries = BTreeSet::new();
    for line in page.text().lines() {
        if line.starts_with('#') {
            entries.insert(line.to_owned());
            continue;
        }
        let (name, remainder) = line.split_at(line.find(['{', ' ']).expect("a value"));
        let labels = remainder
            .strip_prefix('{')
            .and_then(|remainder| remainder.split_once('}'))
            .map_or("", |(labels, _)| labels);
        let labels: Vec<_> = labels.split(',').filter_map(|label| Some(label.split_once('=')?.0)).collect();
        entries.insert(format!("{name} {{{}}}", labels.join(",")));
    }
    let lines: String = entries.into_iter().map(|line| format!("  {line}\n")).collect();
    format!("{role}\n  {} {}\n{lines}\n", page.status(), page.header("content-type"))
}

fn describe_metrics_of_each_role(cluster: &MeshCluster) -> String {
    describe_metrics("steward", &send_get(cluster.steward_control_address(0), "/metrics"))
        + &describe_metrics("attendant", &send_get(cluster.attendant_control_address(0), "/metrics"))
}

/// A member's document with one route. Each of the extra fields is followed by a comma.
fn one_route_document(edition: u64, extra_fields: &str) -> String {
    federation::member_document("norte", edition, extra_fields, &[("a", "resendable", "alpha", 6_000)])
}

#[test]
fn metrics_of_each_role() {
    let cluster = MeshCluster::start_default();
    assert_matches_fixture("figures.txt", &describe_metrics_of_each_role(&cluster));
}

/// The id of a client's session in operators' calls.
fn session_id(client: &str) -> String {
    let mut hash = Sha256::new();
    for part in ["alpha", "x-person", client] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

/// Describes the responses to the calls on an existing session.
fn describe_session_calls(cluster: &MeshCluster) -> String {
    let session = session_id("person-1");
    assert_eq!(
        send_with_retries(cluster.outbound_proxy(0), "GET /look/x", "X-Person: person-1\r\n", b"").1.status(),
        "200"
    );
    let show_call = format!("sessions.show&of={session}");
    wait_until("the session is tied", || cluster.query_steward(0, &show_call)["tie"].is_object());
    let mut text = describe_response(
        "steward, sessions.show&of=ID",
        &repeat_until_answered(|| cluster.call_steward(0, &show_call, "", "")),
    );
    let move_call = format!("sessions.move&of={session}&to={}", cluster.attendant_addresses(1)[1]);
    wait_until("the session is moved", || cluster.call_steward(0, &move_call, "", "").status() == "200");
    text += &describe_response(
        "steward, sessions.move&of=ID&to=DOOR",
        &repeat_until_answered(|| cluster.call_steward(0, &move_call, "", "")),
    );
    text += &describe_response(
        "steward, sessions.forget&of=ID",
        &repeat_until_answered(|| cluster.call_steward(0, &format!("sessions.forget&of={session}"), "", "")),
    );
    text
}

#[test]
fn responses_to_operators_and_members() {
    let cluster = MeshCluster::start_default();
    cluster.replace_configuration(0, &session_load::session_configuration(2));
    replace_member_register(&cluster, &member_register(1, r#""alpha","omega""#, r#""routes":10"#));
    submit_change(&cluster, "replace", "norte", "norte-key", &one_route_document(1, ""));
    cluster.wait_until_in_force("/norte/a/x");
    assert_eq!(send_keyed_with_retries(cluster.outbound_proxy(0), "/move/x", "k-1").status(), "200");
    // Each list must have an item of each kind before it is compared.
    wait_until("all nodes are listed", || {
        let nodes = cluster.query_steward(0, "nodes.list");
        let has_all = |name: &str, count: usize| {
            nodes[name].as_array().is_some_and(|items| {
                items.len() == count && items.iter().all(|item| item["full_ms"].is_u64())
            })
        };
        has_all("stewards", STEWARD_COUNT) && has_all("attendants", 4) && nodes["settled"] == true
    });
    wait_until("all upstreams are listed", || {
        cluster.query_steward(0, "upstreams.list")["upstreams"]
            .as_array()
            .is_some_and(|items| items.len() == 4)
    });
    wait_until("members' requests are listed", || {
        let _ = send_with_retries(cluster.outbound_proxy(0), "GET /norte/a/x", "", b"");
        cluster.query_steward(0, "budget.list")["members"].as_array().is_some_and(|items| !items.is_empty())
    });
    wait_until("no steward is silent and no upstream is reported as failing", || {
        let all_healthy = |items: &Vec<Value>| items.iter().all(|item| item.get("ill").is_none());
        cluster.query_steward(0, "budget.list")["silent"].as_array().is_some_and(Vec::is_empty)
            && cluster.query_steward(0, "upstreams.list")["upstreams"].as_array().is_some_and(all_healthy)
    });
    // An outcome is sent to a majority of the stewards, and each steward reports only what it holds itself.
    let holds = |steward: &usize| cluster.query_steward(*steward, "keys.show&of=k-1")["state"] == "done";
    wait_until("the key is done", || (0..STEWARD_COUNT).any(|steward| holds(&steward)));
    let holder = (0..STEWARD_COUNT).find(holds).expect("a steward that holds the key");
    let mut text = String::new();
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
        text += &describe_response(
            &format!("steward, {call}"),
            &repeat_until_answered(|| cluster.call_steward(steward, call, "", "")),
        );
    }
    for call in ["sessions.count", "nodes.list", ""] {
        let address = cluster.attendant_control_address(0);
        let request =
            format!("POST /api/rpc?call={call} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n");
        let response = mesh_cluster::send_message(address, request.as_bytes()).expect("a response");
        text += &describe_response(&format!("attendant, {call}"), &response);
    }
    for (call, body) in
        [("timetable.replace", "{}"), ("members.replace", "{}"), ("timetable.replace", "no JSON")]
    {
        text += &describe_response(
            &format!("steward, {call} {body}"),
            &repeat_until_answered(|| cluster.call_steward(0, call, "", body)),
        );
    }
    wait_until("all nodes report the member's edition", || {
        let page = call_as_member(&cluster, 0, "status", "norte", "norte-key", "");
        let page: Value = serde_json::from_str(page.text()).unwrap_or_default();
        page["nodes"].as_array().is_some_and(|nodes| nodes.len() == 4)
    });
    let describe_member_call = |verb: &str, key: &str, body: &str| {
        describe_response(
            &format!("member, {verb} {body}"),
            &repeat_until_answered(|| call_as_member(&cluster, 0, verb, "norte", key, body)),
        )
    };
    for verb in ["read", "status", "history", "burn"] {
        text += &describe_member_call(verb, "norte-key", "");
    }
    text += &describe_member_call("plan", "norte-key", &one_route_document(2, ""));
    text += &describe_member_call("plan", "norte-key", "{}");
    text += &describe_member_call("read", "sul-key", "");
    text += &describe_member_call("replace", "norte-key", &one_route_document(2, ""));
    for verb in ["undo", "settle", "withdraw"] {
        text += &describe_member_call(verb, "norte-key", "");
    }
    // One trial is withdrawn and another one is settled.
    replace_member_register(
        &cluster,
        &member_register(2, r#""alpha","omega""#, r#""routes":10,"trial_s":86400"#),
    );
    let trial_document = |edition| one_route_document(edition, r#""trial":0.5,"#);
    let status_has = |field: &str, edition: &str| {
        let page = call_as_member(&cluster, 0, "status", "norte", "norte-key", "");
        let page: Value = serde_json::from_str(page.text()).unwrap_or_default();
        page[field] == edition
    };
    text += &describe_member_call("replace", "norte-key", &trial_document(4));
    wait_until("the trial has started", || status_has("trial", "r4"));
    text += &describe_member_call("status", "norte-key", "");
    text += &describe_member_call("withdraw", "norte-key", "");
    wait_until("the trial is withdrawn", || status_has("withdrawn", "r4"));
    text += &describe_member_call("status", "norte-key", "");
    text += &describe_member_call("replace", "norte-key", &trial_document(5));
    text += &describe_member_call("settle", "norte-key", "");
    text += &describe_session_calls(&cluster);
    // Every second request of the only upstream of its service fails.
    cluster.upstreams[3].set_fault(UpstreamFault::HalfFailing);
    wait_until("the upstream is reported as failing", || {
        let _ = send_get(cluster.outbound_proxy(0), "/far/x");
        let page = cluster.query_steward(0, "upstreams.list");
        page["upstreams"]
            .as_array()
            .is_some_and(|items| items.iter().any(|item| item["ill"]["fails"].is_u64()))
    });
    text += &describe_response(
        "steward, upstreams.list of an ill one",
        &repeat_until_answered(|| cluster.call_steward(0, "upstreams.list", "", "")),
    );
    // The drain comes last, because it cannot be reverted.
    let id =
        cluster.query_steward(0, "upstreams.list")["upstreams"][0]["id"].as_str().expect("an id").to_owned();
    let drain_call = format!("upstreams.drain&of={id}");
    wait_until("the upstream is drained", || cluster.call_steward(0, &drain_call, "", "").status() == "200");
    text += &describe_response(
        "steward, upstreams.drain&of=ID",
        &repeat_until_answered(|| cluster.call_steward(0, &drain_call, "", "")),
    );
    assert_matches_fixture("answers.txt", &text);
}
