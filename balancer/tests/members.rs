//! Members of a platform steer their own routes: processes on loopback, three stewards, four attendants. Each member has a
//! place of its own, and a key of which the register has the hash.

#[allow(dead_code)]
#[path = "mesh/federation.rs"]
mod federation;
mod helper;
#[allow(dead_code)]
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use federation::*;
use helper::wait_until;
use mesh_cluster::*;

/// A document whose routes may all run again.
fn routes(member: &str, edition: u64, more: &str, routes: &[(&str, &str)]) -> String {
    let all: Vec<_> = routes.iter().map(|(path, line)| (*path, "resendable", *line, 6_000)).collect();
    document(member, edition, more, &all)
}

fn status(cluster: &MeshCluster, steward: usize, field: &str) -> serde_json::Value {
    let answer = said_to(cluster, steward, "status", "norte", "norte-key", "");
    let page: serde_json::Value = serde_json::from_str(answer.text()).unwrap_or_default();
    page[field].clone()
}

/// Guards against a change that takes hold at some gates only, against a key that opens another's routes, and against
/// routes that reach past what the platform gives now or are gone with the stewards' processes.
#[test]
fn a_members_change_holds_everywhere_within_what_the_platform_gives() {
    let mut cluster = MeshCluster::start();
    name_members(&cluster, &register(1, r#""alpha","omega""#, r#""routes":10"#));
    let first = routes("norte", 1, "", &[("a", "alpha"), ("o", "omega")]);
    change(&cluster, "replace", "norte", "norte-key", &first);
    ["/norte/a/x", "/norte/o/x"].iter().for_each(|path| cluster.until_in_force(path));
    for steward in 0..STEWARDS {
        wait_until("all nodes tell of it", || {
            let nodes = status(&cluster, steward, "nodes");
            let all = nodes.as_array().cloned().unwrap_or_default();
            all.len() == 4 && all.iter().all(|node| node["edition"] == "r1" && node["trial"] == false)
        });
    }
    // Neither a wrong key nor another's opens anything, and nothing is told of who there is.
    let theirs = routes("norte", 9, "", &[("theirs", "alpha")]);
    for (of, key) in [("norte", "sul-key"), ("norte", ""), ("norte", "norte-keyy"), ("nobody", "norte-key")] {
        for (verb, body) in [("replace", &*theirs), ("read", ""), ("status", ""), ("plan", &theirs)] {
            assert_eq!(
                said_to(&cluster, 0, verb, of, key, body).status(),
                "401",
                "{verb} of {of} with {key:?}"
            );
        }
    }
    // What goes beyond the limits is refused whole, with its place.
    let beyond = routes("norte", 2, "", &[("b", "alpha"), ("../sul/x", "alpha")]).replace("/norte/../", "/");
    let refused = said_to(&cluster, 0, "replace", "norte", "norte-key", &beyond);
    assert_eq!((refused.status(), refused.text().lines().count()), ("400", 1), "{}", refused.text());
    assert!(refused.text().starts_with("routes[1]"), "{}", refused.text());
    assert_eq!(said_to(&cluster, 2, "read", "norte", "norte-key", "").text(), first);
    // The platform takes one service away: what went there is gone at every gate, the rest stands.
    name_members(&cluster, &register(2, r#""alpha""#, r#""routes":10"#));
    for gate in cluster.gates() {
        wait_until("trimmed", || get(gate, "/norte/o/x").status() == "404");
        assert_eq!(get(gate, "/norte/a/x").status(), "200");
    }
    wait_until("told as trimmed", || status(&cluster, 1, "trims").to_string().contains("omega"));
    // All stewards end at once and come back: it is still there, and so it is for an attendant that knows nothing.
    cluster.stewards.iter_mut().for_each(Machine::kill);
    cluster.stewards.iter_mut().for_each(Machine::again);
    cluster.attendants[0].kill();
    cluster.attendants[0].again();
    wait_until("read back", || said_to(&cluster, 0, "read", "norte", "norte-key", "").text() == first);
    wait_until("listens again", || cluster.look(0) == "200");
    cluster.until_in_force("/norte/a/x");
    cluster.gates().iter().for_each(|gate| assert_eq!(get(*gate, "/norte/o/x").status(), "404"));
}

/// Guards against a member that keeps others waiting by changing its routes all the time.
#[test]
fn one_members_storm_does_not_delay_anothers_change() {
    let cluster = MeshCluster::start();
    name_members(&cluster, &register(1, r#""alpha""#, r#""routes":10"#));
    wait_until("keys are known", || {
        (0..STEWARDS).all(|steward| status(&cluster, steward, "nodes").is_array())
    });
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let storm = |steward: usize| {
            let (cluster, over) = (&cluster, &over);
            move || {
                let (mut edition, mut turned_away) = (1, 0);
                while edition < 2_000 && (!over.load(Relaxed) || turned_away == 0) {
                    let body = routes("sul", edition, "", &[("a", "alpha")]);
                    let answer = said_to(cluster, steward, "replace", "sul", "sul-key", &body);
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
            let answer =
                said_to(&cluster, edition as usize % STEWARDS, "replace", "norte", "norte-key", &body);
            assert_eq!(answer.status(), "200", "{}", answer.text());
            cluster.until_in_force(&format!("/norte/{path}/x"));
        }
        over.store(true, Relaxed);
        storms.into_iter().for_each(|storm| assert!(storm.join().expect("ended") > 0));
    });
}

/// Guards against a trial that never ends, and one that comes back once it was withdrawn.
#[test]
fn a_trial_is_settled_by_itself_or_withdrawn_for_good() {
    let cluster = MeshCluster::start();
    name_members(&cluster, &register(1, r#""alpha""#, r#""trial_s":2"#));
    wait_until("keys are known", || {
        (0..STEWARDS).all(|steward| status(&cluster, steward, "nodes").is_array())
    });
    change(&cluster, "replace", "norte", "norte-key", &routes("norte", 1, "", &[("one", "alpha")]));
    cluster.until_in_force("/norte/one/x");
    let trial = |edition, path| routes("norte", edition, r#""trial":0.5,"#, &[(path, "alpha")]);
    let answer = change(&cluster, "replace", "norte", "norte-key", &trial(2, "two"));
    assert!(answer.text().contains(r#""state":"trial""#), "{}", answer.text());
    cluster.until_in_force("/norte/two/x");
    wait_until("settled", || {
        status(&cluster, 0, "settled") == "r2" && status(&cluster, 0, "trial").is_null()
    });
    // One that nobody is to try, so that it is seen to be withdrawn before it is settled: its members' platform waits.
    name_members(&cluster, &register(2, r#""alpha""#, r#""trial_s":86400"#));
    change(&cluster, "replace", "norte", "norte-key", &trial(3, "three"));
    wait_until("on trial", || status(&cluster, 0, "trial") == "r3");
    change(&cluster, "withdraw", "norte", "norte-key", "");
    cluster.until_in_force("/norte/two/x");
    for gate in cluster.gates() {
        wait_until("withdrawn", || get(gate, "/norte/three/x").status() == "404");
    }
    assert_eq!(said_to(&cluster, 0, "replace", "norte", "norte-key", &trial(3, "three")).status(), "409");
    // Undone: what was settled before, under the next edition.
    let answer = change(&cluster, "undo", "norte", "norte-key", "");
    assert!(answer.text().contains(r#""edition":"r4""#), "{}", answer.text());
    cluster.until_in_force("/norte/one/x");
}

/// Guards against operations of a member that are lost, run twice or answered from another's run while another member
/// reshapes its routes, badly at times, has its reqs fail and hang, and stewards are killed in turn.
#[test]
fn what_one_member_does_costs_another_no_operation() {
    let lasts = Duration::from_secs(6);
    let drill = Drill { seed: 7, lasts, clients: 2, changes: true, faults: true };
    let came = drill.play();
    assert_eq!((came.lost, came.doubled, came.mixed), (0, 0, 0), "{came:?}");
    assert!(came.operations >= 100 && came.taken >= 1 && came.refused >= 1, "{came:?}");
}

struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Guards against a trial that fails and is settled all the same, or that is taken back though it does as well as the rest.
#[test]
fn a_trial_whose_reqs_fail_is_taken_back_by_itself() {
    let cluster = MeshCluster::start();
    name_members(&cluster, &register(1, r#""alpha","omega""#, r#""trial_s":40"#));
    change(&cluster, "replace", "norte", "norte-key", &routes("norte", 1, "", &[("go", "alpha")]));
    cluster.until_in_force("/norte/go/x");
    // An edition whose trial reaches some of these nodes and not all: which ones it reaches goes by their addresses, which
    // are others in each run.
    let reached = |edition: &u64| {
        let doors = (0..cluster.gates().len()).map(|nth| cluster.listens(nth)[1]);
        doors.filter(|door| ochreshed_catalog::overlay::is_in_canary(*door, "norte", *edition, 0.5)).count()
    };
    let some = |edition: &u64| (1..cluster.gates().len()).contains(&reached(edition));
    let edition = (2..100).find(some).expect("an edition that reaches some");
    // What it tries is a service whose only upstream fails every other req.
    cluster.upstreams[3].has(Trouble::Grey);
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        // Its clients end also where this fails.
        let _over = Over(&over);
        for gate in cluster.gates() {
            let over = &over;
            scope.spawn(move || {
                while !over.load(Relaxed) {
                    get(gate, "/norte/go/x");
                }
            });
        }
        let trial = routes("norte", edition, r#""trial":0.5,"#, &[("go", "omega")]);
        change(&cluster, "replace", "norte", "norte-key", &trial);
        wait_until("taken back", || status(&cluster, 0, "withdrawn") == format!("r{edition}"));
    });
    assert_eq!((status(&cluster, 0, "settled"), status(&cluster, 0, "trial").is_null()), ("r1".into(), true));
    let tried = cluster.ledger.runs(|run| run.line == "omega" && run.req.first.contains("/norte/go/")).len();
    assert!(tried > 0);
    for gate in cluster.gates() {
        wait_until("as before", || {
            let answer = get(gate, "/norte/go/x");
            answer.status() == "200" && cluster.ledger.of_id(answer.field(ID))[0].line == "alpha"
        });
    }
    // The same edition is no way back in; a good one is settled.
    assert_eq!(
        said_to(&cluster, 1, "replace", "norte", "norte-key", &routes("norte", edition, "", &[])).status(),
        "409"
    );
    cluster.upstreams[3].has(Trouble::Nothing);
    change(
        &cluster,
        "replace",
        "norte",
        "norte-key",
        &routes("norte", edition + 1, r#""trial":0.5,"#, &[("go", "omega")]),
    );
    wait_until("on trial", || status(&cluster, 0, "trial") == format!("r{}", edition + 1));
}
