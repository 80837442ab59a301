use expect_test::expect;

use crate::mesh::operator_client::call::{RenderFn, parse_json};
use crate::mesh::operator_client::{budget, history, keys, nodes, upstreams};

#[test]
fn renders_the_responses_to_all_queries() {
    let rendered = |render: RenderFn, text: &str| render(&parse_json(text).expect("JSON")) + "--\n";
    let all = [
        rendered(
            nodes::render_nodes,
            r#"{"asked":"10.1.0.13:7620","view":3,"settled":false,"stewards":[
                {"address":"10.1.0.13:7620","zone":"quito-a","disk":"0","member":true,"voter":true,"view":3,"heard_ms":0,"leaving":false,"full_ms":240},
                {"address":"10.2.0.10:7620","disk":"5e","member":true,"voter":false,"view":2,"heard_ms":null,"leaving":false}],
                "attendants":[{"door":"10.1.0.8:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,
                "service":"huvo11a","upstream":"i-1\u001b[2J","full_ms":812}],"next":null}"#,
        ),
        rendered(
            upstreams::render_upstreams,
            r#"{"upstreams":[
                {"id":"i-2","line":"b","zone":"quito-a","edition":"v1","state":"open","slots":6,"cold_ms":900,
                 "ill":{"fails":2,"slow":0},"door":"10.1.0.9:8300","serving":true,"quiet":true},
                {"id":"i-1","line":"a","zone":"quito-a","edition":"","state":"closing","slots":6,"cold_ms":0,
                 "door":"10.1.0.8:8300","serving":false,"quiet":false}],"next":"10.1.0.9:8300"}"#,
        ),
        rendered(
            history::render_history,
            r#"{"versions":[{"edition":"r7","digest":"ff","bytes":812,"written_ms":1709164800000,"in_force":true}]}"#,
        ),
        rendered(
            keys::render_counts,
            r#"{"open":2,"unknown":0,"done":40,"oldest_open_ms":61250,"answer_bytes":12040,
                "most_answer_bytes":51200000,"answers_dropped":3}"#,
        ),
        rendered(
            keys::render_key,
            r#"{"key":"k","hashed":"0f","state":"done","known_ms":1250,"disputed":false,"status":201,"bytes":17}"#,
        ),
        rendered(keys::render_key, r#"{"key":"k","hashed":"0f","state":"none","known_ms":null}"#),
        rendered(
            budget::render_budget,
            r#"{"window_ms":10000,"retry_ratio":0.2,"retry_slack":60.0,"gates":3,"gates_told":2,"silent":["10.1.0.14:7620"],
                "services":[{"service":"a","upstreams":1,"first":812,"again":3,"refused":1,"allowed":222.4,"left":219.4}]}"#,
        ),
        rendered(
            upstreams::render_drain,
            r#"{"id":"i-1","line":"a","door":"10.1.0.8:8300","state":"closing","open_left":1}"#,
        ),
        // Responses that lack the expected fields.
        rendered(nodes::render_nodes, "[]")
            + &rendered(upstreams::render_upstreams, "{}")
            + &rendered(keys::render_key, "3"),
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
