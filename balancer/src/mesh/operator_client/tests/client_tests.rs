use super::super::*;
use crate::asking::stand_in;
use expect_test::expect;

fn answer(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[test]
fn tables() {
    let said = |page: fn(&Value) -> String, text: &str| page(&value(text).expect("JSON")) + "--\n";
    let all = [
        said(
            nodes,
            r#"{"asked":"10.1.0.13:7620","view":3,"settled":false,"stewards":[
                {"address":"10.1.0.13:7620","zone":"quito-a","disk":"0","member":true,"voter":true,"view":3,"heard_ms":0,"leaving":false,"full_ms":240},
                {"address":"10.2.0.10:7620","disk":"5e","member":true,"voter":false,"view":2,"heard_ms":null,"leaving":false}],
                "attendants":[{"door":"10.1.0.8:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,
                "service":"huvo11a","upstream":"i-1\u001b[2J","full_ms":812}],"next":null}"#,
        ),
        said(
            upstreams,
            r#"{"upstreams":[
                {"id":"i-2","line":"b","zone":"quito-a","edition":"v1","state":"open","slots":6,"cold_ms":900,
                 "ill":{"fails":2,"slow":0},"door":"10.1.0.9:8300","serving":true,"quiet":true},
                {"id":"i-1","line":"a","zone":"quito-a","edition":"","state":"closing","slots":6,"cold_ms":0,
                 "door":"10.1.0.8:8300","serving":false,"quiet":false}],"next":"10.1.0.9:8300"}"#,
        ),
        said(
            history,
            r#"{"versions":[{"edition":"r7","digest":"ff","bytes":812,"written_ms":1709164800000,"in_force":true}]}"#,
        ),
        said(
            keys,
            r#"{"open":2,"unknown":0,"done":40,"oldest_open_ms":61250,"answer_bytes":12040,
                "most_answer_bytes":51200000,"answers_dropped":3}"#,
        ),
        said(
            key_shown,
            r#"{"key":"k","hashed":"0f","state":"done","known_ms":1250,"disputed":false,"status":201,"bytes":17}"#,
        ),
        said(key_shown, r#"{"key":"k","hashed":"0f","state":"none","known_ms":null}"#),
        said(
            budget,
            r#"{"window_ms":10000,"retry_ratio":0.2,"retry_slack":60.0,"gates":3,"gates_told":2,"silent":["10.1.0.14:7620"],
                "services":[{"service":"a","upstreams":1,"first":812,"again":3,"refused":1,"allowed":222.4,"left":219.4}]}"#,
        ),
        said(drained, r#"{"id":"i-1","line":"a","door":"10.1.0.8:8300","state":"closing","open_left":1}"#),
        // From some other program.
        said(nodes, "[]") + &said(upstreams, "{}") + &said(key_shown, "3"),
    ];
    expect![[r#"
            asked 10.1.0.13:7620, view 3, NOT heard by half or more

            STEWARD         ZONE     MEMBER  VOTES  VIEW  DISK  HEARD   LEAVING  FULL AFTER
            10.1.0.13:7620  quito-a  yes     yes    3     0     itself  no       240 ms
            10.2.0.10:7620  -        yes     no     2     5e    -       no       -

            ATTENDANT      ZONE     SERVES  QUIET  HEARD   SERVICE  UPSTREAM      FULL AFTER
            10.1.0.8:8300  quito-a  yes     no     120 ms  huvo11a  i-1\u{1b}[2J  812 ms
            --
            SERVICE  UPSTREAM  ZONE     EDITION  STATE                 SLOTS  COLD    DOOR
            a        i-1       quito-a  -        closing, leaving      6      -       10.1.0.8:8300
            b        i-2       quito-a  v1       open, quiet, fails 2  6      900 ms  10.1.0.9:8300
            there are more than these
            --
            EDITION  DIGEST  BYTES  WRITTEN                  IN FORCE
            r7       ff      812    2024-02-29 00:00:00 UTC  yes
            --
            OPEN  UNKNOWN  DONE  OLDEST OPEN  ANSWERS                  DROPPED
            2     0        40    61 s         12040 of 51200000 bytes  3
            --
            key     k
            hashed  0f
            state   done: it ran, repeats get its answer
            known   for 1250 ms
            answer  201, 17 bytes
            --
            key     k
            hashed  0f
            state   not known to this steward
            --
            SERVICE  UPSTREAMS  FIRST  AGAIN  REFUSED  ALLOWED  LEFT
            a        1          812    3      1        222.4    219.4

            in the last 10 s, told by 2 of 3 gates; allowed: 0.2 x FIRST + 60.0
            not known: what steward 10.1.0.14:7620 was told
            --
            i-1 of a at 10.1.0.8:8300 is closing: nothing new is sent to it
            others of a that are open: 1
            --
            asked -, view -, NOT heard by half or more

            STEWARD  ZONE  MEMBER  VOTES  VIEW  DISK  HEARD  LEAVING  FULL AFTER

            ATTENDANT  ZONE  SERVES  QUIET  HEARD  SERVICE  UPSTREAM  FULL AFTER
            --
            SERVICE  UPSTREAM  ZONE  EDITION  STATE  SLOTS  COLD  DOOR
            --
            key     -
            hashed  -
            state   not told
            --
        "#]]
    .assert_eq(&all.concat());
}

#[test]
fn the_first_that_answers_is_asked() {
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let busy = stand_in(vec![answer(503, "more than half of the core is not reached\n"); 2]);
    let well = stand_in(vec![answer(200, r#"{"open":0}"#), answer(404, "no such call here\n")]);
    let said = |at: &[SocketAddr]| match one(at, true, "keys.count", keys) {
        Ok(page) => page,
        Err(why) => {
            let why = why.replace(&busy.to_string(), "BUSY").replace(&well.to_string(), "WELL");
            why.replace(&dead.to_string(), "DEAD")
        }
    };
    let all = [said(&[dead, busy, well]), said(&[dead, busy]), said(&[well, dead])];
    expect![[r#"
            {"open":0}
            --
            DEAD: Connection refused (os error 111)
            BUSY: 503: more than half of the core is not reached
            --
            WELL: 404: no such call here"#]]
    .assert_eq(&all.join("\n--\n"));
}

#[test]
fn a_timetable_is_checked_before_it_is_sent() {
    let folder = std::env::temp_dir().join(format!("ochreshed-client-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("r7.json");
    let limits = r#"{"category":"limits","label":{},"manifest":{}}"#;
    let good = |version: &str| format!(r#"{{"edition":"{version}","consignments":[{limits}]}}"#);
    let write = |text: &str| std::fs::write(&file, text).expect("written");
    let said = |answers: Vec<Vec<u8>>| {
        let at = stand_in(answers);
        let done = replace(&[at], false, &file, &TIMETABLE);
        let done = done.map(|_| "done".to_owned()).unwrap_or_else(|why| why);
        done.replace(&at.to_string(), "AT").replace(&folder.display().to_string(), "DIR")
    };
    let mut all = Vec::new();
    write(
        r#"{"edition":"7","consignments":[{"category":"routes","label":{"name":"r-1"},"manifest":{"tries":0}}]}"#,
    );
    all.push(said(Vec::new()));
    write(&good("r7"));
    all.push(said(vec![answer(200, "{}"), answer(200, &good("r7"))]));
    all.push(said(vec![answer(200, "{}"), answer(200, &good("r9"))]));
    all.push(said(vec![answer(200, "{}"), answer(200, &(good("r7") + " "))]));
    all.push(said(vec![answer(200, "{}"), answer(503, "not reached")]));
    all.push(said(vec![answer(503, "not safe yet")]));
    all.push(said(vec![answer(400, "edition: is missing\nlimits: is wrong")]));
    let at = stand_in(vec![answer(200, &good("r9"))]);
    all.push(diff(&[at], false, &file).unwrap_or_else(|why| why));
    std::fs::remove_dir_all(&folder).expect("removed");
    all.push(said(Vec::new()));
    expect![[r#"
            DIR/r7.json: refused, 7 errors
              edition: is "7", not r and a number
              consignments[0] (routes r-1).manifest.depot: is missing
              consignments[0] (routes r-1).manifest.lane_prefix: is missing
              consignments[0] (routes r-1).manifest.route_kind: is missing
              consignments[0] (routes r-1).manifest.deadline_ms: is missing
              consignments[0] (routes r-1).manifest.tries: is not above 0
              consignments[0] (routes r-1).manifest: has neither line nor split
            --
            done
            --
            AT acknowledged r7, but r9 holds: nothing has changed
            --
            AT acknowledged r7, but another r7 holds: give this one a higher number
            --
            AT acknowledged r7; reading back what holds failed: AT: 503: not reached
            --
            AT: 503: not safe yet
            it may still come into force: send it again, unchanged
            --
            AT: 400: edition: is missing
              limits: is wrong
            --
            timetable: edition from r9 to r7
            1 differences between r9, in force, and r7
            r7 is not above r9: sent like this it would change nothing

            --
            DIR/r7.json: No such file or directory (os error 2)"#]]
    .assert_eq(&all.join("\n--\n"));
}

#[test]
fn a_list_is_put_together() {
    let first = r#"{"upstreams":[{"id":"i-1"}],"next":"10.1.0.8:8300"}"#;
    let at = stand_in(vec![answer(200, first), answer(200, r#"{"upstreams":[{"id":"i-2"}],"next":null}"#)]);
    let page = list(&[at], true, "upstreams.list", "upstreams", upstreams);
    assert_eq!(page.as_deref(), Ok(r#"{"next":null,"upstreams":[{"id":"i-1"},{"id":"i-2"}]}"#));
}

#[test]
fn times_and_queries() {
    let times = [0, 951_782_399_000, 1_709_164_800_000, 4_102_444_799_999].map(time_of_day);
    expect![[r#"
            1970-01-01 00:00:00 UTC
            2000-02-28 23:59:59 UTC
            2024-02-29 00:00:00 UTC
            2099-12-31 23:59:59 UTC"#]]
    .assert_eq(&times.join("\n"));
    assert_eq!(escaped("k 5&of=é"), "k%205%26of%3D%C3%A9");
    assert!(!time_of_day(u64::MAX).is_empty());
}
