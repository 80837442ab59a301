use std::net::SocketAddr;
use std::path::PathBuf;

use expect_test::expect;

use super::response;
use crate::http_client::serve_responses;
use crate::mesh::command_line::MemberCommand;
use crate::mesh::operator_client::call::{OperatorClient, RenderFn, parse_json};
use crate::mesh::operator_client::member_documents::run_member;
use crate::mesh::operator_client::member_rendering::{render_change, render_plan, render_status};

#[test]
fn renders_the_responses_to_member_calls() {
    let rendered = |render: RenderFn, text: &str| render(&parse_json(text).expect("JSON")) + "--\n";
    let all = [
        rendered(
            render_plan,
            r#"{"changes":["route n.example/cart/: tries from 1 to 2"],"forbidden":["routes[0] (a\u001b).tries: 3"],"trims":[]}"#,
        ),
        rendered(
            render_plan,
            r#"{"changes":[],"forbidden":[],"trims":["sul: routes[1] (b).deadline_ms: 1"]}"#,
        ),
        rendered(render_change, r#"{"member":"norte","edition":"r8","state":"trial"}"#),
        rendered(render_change, r#"{"member":"norte","edition":"r8","state":"settled"}"#),
        rendered(render_change, "{}"),
        rendered(
            render_status,
            r#"{"member":"norte","settled":"r7","trial":"r8","withdrawn":null,"trims":["routes[0] (a).tries: 3"],
                "nodes":[{"door":"10.1.0.8:8300","edition":"r8","trial":true,"quiet":false}]}"#,
        ),
        rendered(render_status, "{}"),
    ];
    expect![[r#"
            would change:
              route n.example/cart/: tries from 1 to 2
            FORBIDDEN, so that it would be refused:
              routes[0] (a\u{1b}).tries: 3
            nothing is trimmed now
            --
            nothing would change
            nothing forbids it
            trimmed now, before the change:
              sul: routes[1] (b).deadline_ms: 1
            --
            r8 of norte is safe on more than half of the core, on trial
            --
            r8 of norte is safe on more than half of the core
            --
            - of - was answered, in a way that this build doesn't know
            --
            member     norte
            settled    r7
            trial      r8
            withdrawn  -
            trimmed:
              routes[0] (a).tries: 3

            r8 on 1 of these nodes
            NODE           EDITION  TRIAL  QUIET
            10.1.0.8:8300  r8       yes    no
            --
            member     -
            settled    -
            trial      -
            withdrawn  -
            trimmed    nothing

            NODE  EDITION  TRIAL  QUIET
            --
        "#]]
    .assert_eq(&all.concat());
}

/// A file that is removed when this value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &[u8]) -> TemporaryFile {
        let path = std::env::temp_dir().join(format!("ochreshed-member-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("write the file");
        TemporaryFile(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn does_not_repeat_an_undo_that_may_have_been_applied() {
    let failing = serve_responses(vec![response(503, "not safe yet"); 2]);
    let healthy =
        serve_responses(vec![response(200, r#"{"member":"norte","edition":"r9","state":"settled"}"#)]);
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let outcome = |replicas: &[SocketAddr], command: MemberCommand| match run_member(
        OperatorClient { replicas, json: true },
        "norte",
        command,
        None,
    ) {
        Ok(_) => "done".to_owned(),
        Err(error) => error
            .to_string()
            .replace(&failing.to_string(), "FAILING")
            .replace(&unreachable.to_string(), "UNREACHABLE"),
    };
    let document = TemporaryFile::new("doc", br#"{"edition":"r9","routes":[]}"#);
    let all = [
        outcome(&[unreachable, failing, healthy], MemberCommand::RestorePrevious),
        outcome(&[failing, unreachable], MemberCommand::Replace(document.0.clone())),
        outcome(&[unreachable, healthy], MemberCommand::RestorePrevious),
    ];
    expect![[r#"
            UNREACHABLE: Connection refused (os error 111)
            FAILING: 503: not safe yet
            it may still come into force: see what holds before you send it again
            --
            FAILING: 503: not safe yet
            UNREACHABLE: Connection refused (os error 111)
            it may still come into force: send it again, unchanged
            --
            done"#]]
    .assert_eq(&all.join("\n--\n"));
}

#[test]
fn sends_only_valid_keys_and_never_prints_them() {
    let file = TemporaryFile::new("key", b"k-1 k-2\n");
    let (replica, received) = crate::http_client::serve_recorded_responses(vec![response(200, "{}")]);
    let outcome = |text: &[u8]| {
        std::fs::write(&file.0, text).expect("write the file");
        let result = run_member(
            OperatorClient { replicas: &[replica], json: true },
            "no rte",
            MemberCommand::Status,
            Some(&file.0),
        );
        result
            .map(|_| "done".to_owned())
            .unwrap_or_else(|error| error.to_string().replace(&file.0.display().to_string(), "FILE"))
    };
    let all = [&b"k-1 k-2\n"[..], b"\n", b"k\r\nX: y", &[b'k'; 1_025], b"k-7\n"].map(outcome);
    expect![[r#"
            FILE: holds no key of printable signs in one word, 1024 at most
            FILE: holds no key
            FILE: holds no key of printable signs in one word, 1024 at most
            FILE: holds no key of printable signs in one word, 1024 at most
            done"#]]
    .assert_eq(&all.join("\n"));
    let head = received.recv().expect("a request");
    assert!(head.contains("call=member.status&of=no%20rte HTTP/1.1\r\n"), "{head}");
    assert!(head.contains("\r\nOchreshed-Member-Key: k-7\r\n"), "{head}");
}
