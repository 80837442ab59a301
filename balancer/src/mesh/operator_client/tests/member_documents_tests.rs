use super::super::member_documents::{own, plan, status, taken};
use super::super::value;
use crate::asking::stand_in;
use crate::mesh::command_line::MemberCommand;
use expect_test::expect;
use serde_json::Value;
use std::net::SocketAddr;

fn answer(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[test]
fn pages() {
    let said = |page: fn(&Value) -> String, text: &str| page(&value(text).expect("JSON")) + "--\n";
    let all = [
        said(
            plan,
            r#"{"changes":["route n.example/cart/: tries from 1 to 2"],"forbidden":["routes[0] (a\u001b).tries: 3"],"trims":[]}"#,
        ),
        said(plan, r#"{"changes":[],"forbidden":[],"trims":["sul: routes[1] (b).deadline_ms: 1"]}"#),
        said(taken, r#"{"member":"norte","edition":"r8","state":"trial"}"#),
        said(taken, r#"{"member":"norte","edition":"r8","state":"settled"}"#),
        said(taken, "{}"),
        said(
            status,
            r#"{"member":"norte","settled":"r7","trial":"r8","withdrawn":null,"trims":["routes[0] (a).tries: 3"],
                "nodes":[{"door":"10.1.0.8:8300","edition":"r8","trial":true,"quiet":false}]}"#,
        ),
        said(status, "{}"),
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

/// A file of this text, which goes with it.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &[u8]) -> File {
        let path = std::env::temp_dir().join(format!("ochreshed-member-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("written");
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn a_change_that_may_have_been_taken_is_not_undone_twice() {
    let busy = stand_in(vec![answer(503, "not safe yet"); 2]);
    let well = stand_in(vec![answer(200, r#"{"member":"norte","edition":"r9","state":"settled"}"#)]);
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let done = |at: &[SocketAddr], what: MemberCommand| match own(at, true, "norte", what, None) {
        Ok(_) => "done".to_owned(),
        Err(why) => why.replace(&busy.to_string(), "BUSY").replace(&dead.to_string(), "DEAD"),
    };
    let doc = File::new("doc", br#"{"edition":"r9","routes":[]}"#);
    let all = [
        done(&[dead, busy, well], MemberCommand::Undo),
        done(&[busy, dead], MemberCommand::Replace(doc.0.clone())),
        done(&[dead, well], MemberCommand::Undo),
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
fn a_key_is_sent_whole_or_not_at_all_and_never_shown() {
    let file = File::new("key", b"k-1 k-2\n");
    let (at, seen) = crate::asking::stand_in_that_tells(vec![answer(200, "{}")]);
    let told = |text: &[u8]| {
        std::fs::write(&file.0, text).expect("written");
        let done = own(&[at], true, "no rte", MemberCommand::Status, Some(&file.0));
        done.map(|_| "done".to_owned())
            .unwrap_or_else(|why| why.replace(&file.0.display().to_string(), "FILE"))
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
