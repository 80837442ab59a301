//! Members of a platform steer their own routes: processes on loopback, three stewards, four attendants. Each member has a
//! place of its own, and a key of which the register has the hash.

mod helper;
#[allow(dead_code)]
#[path = "mesh/town.rs"]
mod town;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;

use helper::until;
use town::*;

/// Of `norte-key` and `sul-key`.
const NORTE: &str = "ed1143ce99836779979602ca8219619a460b30cf08bb1fdf9d3bfafe985d7e80";
const SUL: &str = "a459ac03c95703c44f205b99cd2f6942d4887e14726234488e02d5487ef39baf";

fn register(edition: u64, services: &str, limits: &str) -> String {
    let member = |name: &str, hash: &str, services: &str, limits: &str| {
        format!(
            r#"{{"name":"{name}","key_sha256":"{hash}","places":[{{"host":"town.example","prefix":"/{name}/"}}],
                "services":[{services}],"limits":{{"deadline_ms":6000,{limits}}}}}"#
        )
    };
    let norte = member("norte", NORTE, services, limits);
    let sul = member("sul", SUL, r#""alpha""#, r#""changes_per_minute":5"#);
    format!(r#"{{"edition":"r{edition}","members":[{norte},{sul}]}}"#)
}

fn routes(member: &str, edition: u64, more: &str, routes: &[(&str, &str)]) -> String {
    let route = |(path, line): &(&str, &str)| {
        format!(
            r#"{{"name":"{path}","depot":"town.example","lane_prefix":"/{member}/{path}/","route_kind":"resendable",
                "deadline_ms":6000,"target_ms":300,"post_class":1,"line":"{line}","tries":2}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(r#"{{"edition":"r{edition}",{more}"routes":[{}]}}"#, routes.join(","))
}

/// What one steward answers a member.
fn said(town: &Town, steward: usize, verb: &str, of: &str, key: &str, body: &str) -> Message {
    town.call(steward, &format!("member.{verb}&of={of}"), &format!("Ochreshed-Member-Key: {key}\r\n"), body)
}

/// Sends a change to one steward after the other until it is acknowledged.
fn change(town: &Town, verb: &str, of: &str, key: &str, body: &str) -> Message {
    let answers = std::cell::RefCell::new(Message::default());
    until(&format!("{verb} of {of} acknowledged"), || {
        (0..STEWARDS).any(|steward| {
            let answer = said(town, steward, verb, of, key, body);
            assert!(["200", "401", "503"].contains(&answer.status()), "{answer:?}");
            answers.replace(answer).status();
            answers.borrow().status() == "200"
        })
    });
    answers.into_inner()
}

fn name_members(town: &Town, register: &str) {
    until("the register is taken", || town.call(1, "members.replace", "", register).status() == "200");
}

fn status(town: &Town, steward: usize, field: &str) -> serde_json::Value {
    let answer = said(town, steward, "status", "norte", "norte-key", "");
    let page: serde_json::Value = serde_json::from_str(answer.text()).unwrap_or_default();
    page[field].clone()
}

/// Guards against a change that takes hold at some gates only, against a key that opens another's routes, and against
/// routes that reach past what the platform gives now or are gone with the stewards' processes.
#[test]
fn a_members_change_holds_everywhere_within_what_the_platform_gives() {
    let mut town = Town::start();
    name_members(&town, &register(1, r#""alpha","omega""#, r#""routes":10"#));
    let first = routes("norte", 1, "", &[("a", "alpha"), ("o", "omega")]);
    change(&town, "replace", "norte", "norte-key", &first);
    ["/norte/a/x", "/norte/o/x"].iter().for_each(|path| town.until_in_force(path));
    for steward in 0..STEWARDS {
        until("all nodes tell of it", || {
            let nodes = status(&town, steward, "nodes");
            let all = nodes.as_array().cloned().unwrap_or_default();
            all.len() == 4 && all.iter().all(|node| node["edition"] == "r1" && node["trial"] == false)
        });
    }
    // Neither a wrong key nor another's opens anything, and nothing is told of who there is.
    let theirs = routes("norte", 9, "", &[("theirs", "alpha")]);
    for (of, key) in [("norte", "sul-key"), ("norte", ""), ("norte", "norte-keyy"), ("nobody", "norte-key")] {
        for (verb, body) in [("replace", &*theirs), ("read", ""), ("status", ""), ("plan", &theirs)] {
            assert_eq!(said(&town, 0, verb, of, key, body).status(), "401", "{verb} of {of} with {key:?}");
        }
    }
    // What goes beyond the limits is refused whole, with its place.
    let beyond = routes("norte", 2, "", &[("b", "alpha"), ("../sul/x", "alpha")]).replace("/norte/../", "/");
    let refused = said(&town, 0, "replace", "norte", "norte-key", &beyond);
    assert_eq!((refused.status(), refused.text().lines().count()), ("400", 1), "{}", refused.text());
    assert!(refused.text().starts_with("routes[1]"), "{}", refused.text());
    assert_eq!(said(&town, 2, "read", "norte", "norte-key", "").text(), first);
    // The platform takes one service away: what went there is gone at every gate, the rest stands.
    name_members(&town, &register(2, r#""alpha""#, r#""routes":10"#));
    for gate in town.gates() {
        until("trimmed", || get(gate, "/norte/o/x").status() == "404");
        assert_eq!(get(gate, "/norte/a/x").status(), "200");
    }
    until("told as trimmed", || status(&town, 1, "trims").to_string().contains("omega"));
    // All stewards end at once and come back: it is still there, and so it is for an attendant that knows nothing.
    town.stewards.iter_mut().for_each(Machine::kill);
    town.stewards.iter_mut().for_each(Machine::again);
    town.attendants[0].kill();
    town.attendants[0].again();
    until("read back", || said(&town, 0, "read", "norte", "norte-key", "").text() == first);
    town.until_in_force("/norte/a/x");
    town.gates().iter().for_each(|gate| assert_eq!(get(*gate, "/norte/o/x").status(), "404"));
}

/// Guards against a member that keeps others waiting by changing its routes all the time.
#[test]
fn one_members_storm_does_not_delay_anothers_change() {
    let town = Town::start();
    name_members(&town, &register(1, r#""alpha""#, r#""routes":10"#));
    until("keys are known", || (0..STEWARDS).all(|steward| status(&town, steward, "nodes").is_array()));
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let storm = |steward: usize| {
            let (town, over) = (&town, &over);
            move || {
                let (mut edition, mut turned_away) = (1, 0);
                while edition < 2_000 && (!over.load(Relaxed) || turned_away == 0) {
                    let body = routes("sul", edition, "", &[("a", "alpha")]);
                    let answer = said(town, steward, "replace", "sul", "sul-key", &body);
                    edition += 1;
                    if answer.status() == "429" {
                        let after: u64 = answer.field("retry-after").parse().expect("seconds");
                        assert!((1..=61).contains(&after), "{after}");
                        turned_away += 1;
                    }
                }
                turned_away
            }
        };
        let storms: Vec<_> = (0..STEWARDS).map(|steward| scope.spawn(storm(steward))).collect();
        for edition in 1..=8 {
            let path = format!("p{edition}");
            let body = routes("norte", edition, "", &[(&path, "alpha")]);
            let answer = said(&town, edition as usize % STEWARDS, "replace", "norte", "norte-key", &body);
            assert_eq!(answer.status(), "200", "{}", answer.text());
            town.until_in_force(&format!("/norte/{path}/x"));
        }
        over.store(true, Relaxed);
        storms.into_iter().for_each(|storm| assert!(storm.join().expect("ended") > 0));
    });
}

/// Guards against a trial that never ends, and one that comes back once it was withdrawn.
#[test]
fn a_trial_is_settled_by_itself_or_withdrawn_for_good() {
    let town = Town::start();
    name_members(&town, &register(1, r#""alpha""#, r#""trial_s":2"#));
    until("keys are known", || (0..STEWARDS).all(|steward| status(&town, steward, "nodes").is_array()));
    change(&town, "replace", "norte", "norte-key", &routes("norte", 1, "", &[("one", "alpha")]));
    town.until_in_force("/norte/one/x");
    let trial = |edition, path| routes("norte", edition, r#""trial":0.5,"#, &[(path, "alpha")]);
    let answer = change(&town, "replace", "norte", "norte-key", &trial(2, "two"));
    assert!(answer.text().contains(r#""state":"trial""#), "{}", answer.text());
    town.until_in_force("/norte/two/x");
    until("settled", || status(&town, 0, "settled") == "r2" && status(&town, 0, "trial").is_null());
    // One that nobody is to try, so that it is seen to be withdrawn before it is settled: its members' platform waits.
    name_members(&town, &register(2, r#""alpha""#, r#""trial_s":86400"#));
    change(&town, "replace", "norte", "norte-key", &trial(3, "three"));
    until("on trial", || status(&town, 0, "trial") == "r3");
    change(&town, "withdraw", "norte", "norte-key", "");
    town.until_in_force("/norte/two/x");
    for gate in town.gates() {
        until("withdrawn", || get(gate, "/norte/three/x").status() == "404");
    }
    assert_eq!(said(&town, 0, "replace", "norte", "norte-key", &trial(3, "three")).status(), "409");
    // Undone: what was settled before, under the next edition.
    let answer = change(&town, "undo", "norte", "norte-key", "");
    assert!(answer.text().contains(r#""edition":"r4""#), "{}", answer.text());
    town.until_in_force("/norte/one/x");
}
