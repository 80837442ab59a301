use std::net::SocketAddr;
use std::path::PathBuf;

use expect_test::expect;

use super::response;
use crate::http_client::serve_responses;
use crate::mesh::command_line::MemberCommand;
use crate::mesh::operator_client::call::{OperatorClient, RenderPage, parse_json};
use crate::mesh::operator_client::member_documents::run_member;
use crate::mesh::operator_client::member_pages::{changed_page, plan_page, status_page};

#[test]
fn formats_the_pages_of_a_member() {
    let rendered = |render: RenderPage, text: &str| render(&parse_json(text).expect("JSON")) + "--\n";
    let all = [
        rendered(
            plan_page,
            r#"{"changes":["route n.example/cart/: tries from 1 to 2"],"forbidden":["routes[0] (a\u001b).tries: 3"],"trims":[]}"#,
        ),
        rendered(plan_page, r#"{"changes":[],"forbidden":[],"trims":["sul: routes[1] (b).deadline_ms: 1"]}"#),
        rendered(changed_page, r#"{"member":"norte","edition":"r8","state":"trial"}"#),
        rendered(changed_page, r#"{"member":"norte","edition":"r8","state":"settled"}"#),
        rendered(changed_page, "{}"),
        rendered(
            status_page,
            r#"{"member":"norte","settled":"r7","trial":"r8","withdrawn":null,"trims":["routes[0] (a).tries: 3"],
                "nodes":[{"door":"10.1.0.8:8300","edition":"r8","trial":true,"quiet":false}]}"#,
        ),
        rendered(status_page, "{}"),
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
        std::fs::write(&path, text).expect("written");
        TemporaryFile(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn does_not_send_an_undo_again_that_may_have_been_applied() {
    let busy = serve_responses(vec![response(503, "not safe yet"); 2]);
    let well = serve_responses(vec![response(200, r#"{"member":"norte","edition":"r9","state":"settled"}"#)]);
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let done = |at: &[SocketAddr], what: MemberCommand| match run_member(
        OperatorClient { replicas: at, json: true },
        "norte",
        what,
        None,
    ) {
        Ok(_) => "done".to_owned(),
        Err(why) => why.to_string().replace(&busy.to_string(), "BUSY").replace(&dead.to_string(), "DEAD"),
    };
    let doc = TemporaryFile::new("doc", br#"{"edition":"r9","routes":[]}"#);
    let all = [
        done(&[dead, busy, well], MemberCommand::RestorePrevious),
        done(&[busy, dead], MemberCommand::Replace(doc.0.clone())),
        done(&[dead, well], MemberCommand::RestorePrevious),
    ];
    expect![[r#"
            DEAD: Connection refused (os error 111)
            BUSY: 503: not safe yet
            it may still come into force: see what holds before you send it again
            --
            BUSY: 503: not safe yet
            DEAD: Connection refused (os error 111)
            it may still come into force: send it again, unchanged
            --
            done"#]]
    .assert_eq(&all.join("\n--\n"));
}

#[test]
fn sends_a_valid_key_only_and_never_shows_it() {
    let file = TemporaryFile::new("key", b"k-1 k-2\n");
    let (at, seen) = crate::http_client::serve_recorded_responses(vec![response(200, "{}")]);
    let told = |text: &[u8]| {
        std::fs::write(&file.0, text).expect("written");
        let done = run_member(
            OperatorClient { replicas: &[at], json: true },
            "no rte",
            MemberCommand::Status,
            Some(&file.0),
        );
        done.map(|_| "done".to_owned())
            .unwrap_or_else(|why| why.to_string().replace(&file.0.display().to_string(), "FILE"))
    };
    let all = [&b"k-1 k-2\n"[..], b"\n", b"k\r\nX: y", &[b'k'; 1_025], b"k-7\n"].map(told);
    expect![[r#"
            FILE: holds no key of printable signs in one word, 1024 at most
            FILE: holds no key
            FILE: holds no key of printable signs in one word, 1024 at most
            FILE: holds no key of printable signs in one word, 1024 at most
            done"#]]
    .assert_eq(&all.join("\n"));
    let head = seen.recv().expect("a request");
    assert!(head.contains("call=member.status&of=no%20rte HTTP/1.1\r\n"), "{head}");
    assert!(head.contains("\r\nOchreshed-Member-Key: k-7\r\n"), "{head}");
}
