//! The client's part for members of a platform: the register, and one member's own routes. It owns the pages shown and
//! how a member's key is read from its file. It must never show a key, nor send one that can't stand in a header.

//!
//! What stewards answer, in JSON but for `read`, which gives the document as it was sent. Editions are as `r7` or null:
//!
//! | call | fields |
//! | --- | --- |
//! | `member.plan` | `changes`, `forbidden`, `trims`: lists of lines |
//! | `member.replace`, `undo`, `settle`, `withdraw` | `member`, `edition`, `state`: `trial`, `settled` or `withdrawn` |
//! | `member.status` | `member`; `settled`, `trial`, `withdrawn`; `trims`: lines; `nodes`, `next` |
//! | of a node | `door`, `edition`, `trial`, `quiet` |
//! | `member.history` | `versions`, as of `timetable.history` |

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use ochreshed_catalog::configuration::{Route, differences_by_location};
use ochreshed_catalog::members::{self, MemberDocument};
use serde_json::Value;

use super::super::command_line::{MemberCommand, RegisterCommand};
use super::{
    Call, Paper, bytes, call, call_with, cell, cells, checked, differing, escaped, history, known, print,
    replace,
};
use super::{rows, send, shown_line, table, text, value};

/// The header in which a member's calls bear its key.
const HEADER: &str = "Ochreshed-Member-Key";
const MOST_KEY: usize = 1_024;

const REGISTER: Paper = Paper {
    check: |bytes| {
        let read = members::MemberRegister::read(bytes);
        read.map(|read| (read.version, format!("{} members", read.members().count())))
    },
    name: "register",
    replace: "members.replace",
    read: "members.read",
};

/// A member's key, as it stands in its file.
pub struct Key(String);

impl Key {
    fn read(file: &Path) -> Result<Key, String> {
        let told = |why: &str| format!("{}: {why}", file.display());
        let bytes = bytes(file)?;
        let key = bytes.trim_ascii();
        match std::str::from_utf8(key) {
            Ok("") => Err(told("holds no key")),
            Ok(key) if key.len() <= MOST_KEY && key.bytes().all(|byte| byte.is_ascii_graphic()) => {
                Ok(Key(key.to_owned()))
            }
            _ => Err(told("holds no key of printable signs in one word, 1024 at most")),
        }
    }

    pub fn header(&self) -> (&str, &str) {
        (HEADER, &self.0)
    }
}

pub fn register(at: &[SocketAddr], json: bool, what: RegisterCommand) -> Result<ExitCode, String> {
    let page = match what {
        RegisterCommand::Read => text(call(at, REGISTER.read, None)?.1)?,
        RegisterCommand::Replace(file) => return replace(at, json, &file, &REGISTER),
        RegisterCommand::Diff(file) => {
            let new = checked(&file, members::MemberRegister::read(&bytes(&file)?))?;
            let (at, held) = call(at, REGISTER.read, None)?;
            let old = known(at, REGISTER.name, members::MemberRegister::read(&held))?;
            differing(json, (old.version, new.version), members::differences(&old, &new))
        }
    };
    print(&page)?;
    Ok(ExitCode::SUCCESS)
}

pub fn own(
    at: &[SocketAddr],
    json: bool,
    name: &str,
    what: MemberCommand,
    key: Option<&Path>,
) -> Result<ExitCode, String> {
    let key = key.map(Key::read).transpose()?;
    let key = key.as_ref();
    let call_of = |verb: &str| format!("member.{verb}&of={}", escaped(name));
    let asked = |verb: &str, body: &[u8]| -> Result<(SocketAddr, Vec<u8>), String> {
        Ok(call_with(at, Call { what: &call_of(verb), body, key, once: false })?)
    };
    let ask = |verb: &str| text(asked(verb, &[])?.1);
    let change = |verb: &str, body: &[u8]| {
        // Undone twice is something else than undone.
        let call = Call { what: &call_of(verb), body, key, once: verb == "undo" };
        text(send(at, call)?.1)
    };
    let shown = |answer: String, page: fn(&Value) -> String| -> Result<String, String> {
        if json { Ok(answer) } else { Ok(page(&value(&answer)?)) }
    };
    let page = match what {
        MemberCommand::Read => ask("read")?,
        MemberCommand::Plan(file) => {
            let sent = bytes(&file)?;
            checked(&file, MemberDocument::read(&sent))?;
            let answer = text(asked("plan", &sent)?.1)?;
            let forbidden = !rows(&value(&answer)?, "forbidden").is_empty();
            print(&shown(answer, plan)?)?;
            return Ok(if forbidden { ExitCode::FAILURE } else { ExitCode::SUCCESS });
        }
        MemberCommand::Replace(file) => {
            let sent = bytes(&file)?;
            checked(&file, MemberDocument::read(&sent))?;
            shown(change("replace", &sent)?, taken)?
        }
        MemberCommand::Diff(file) => {
            let new = checked(&file, MemberDocument::read(&bytes(&file)?))?;
            let (at, held) = asked("read", &[])?;
            let old = known(at, "document", MemberDocument::read(&held))?;
            differing(json, (old.version, new.version), apart(&old, &new))
        }
        MemberCommand::Status => shown(ask("status")?, status)?,
        MemberCommand::History => shown(ask("history")?, history)?,
        MemberCommand::Undo => shown(change("undo", &[])?, taken)?,
        MemberCommand::Settle => shown(change("settle", &[])?, taken)?,
        MemberCommand::Withdraw => shown(change("withdraw", &[])?, taken)?,
    };
    print(&page)?;
    Ok(ExitCode::SUCCESS)
}

fn apart(old: &MemberDocument, new: &MemberDocument) -> Vec<String> {
    let mut lines = Vec::new();
    let trial = |doc: &MemberDocument| doc.canary_share.map_or("none".to_owned(), |share| share.to_string());
    let (before, after) = (trial(old), trial(new));
    if before != after {
        lines.push(format!("trial from {before} to {after}"));
    }
    let routes = |doc: &MemberDocument| -> Vec<Arc<Route>> { doc.routes.clone() };
    lines.extend(differences_by_location(routes(old).iter(), routes(new).iter()));
    lines
}

/// Texts of a list, a line for each.
fn lines(of: &Value, name: &str) -> String {
    let texts = rows(of, name).iter().filter_map(Value::as_str);
    texts.map(|line| format!("  {}\n", shown_line(line))).collect()
}

pub(super) fn plan(of: &Value) -> String {
    let section = |name: &str, some: &str, none: &str| {
        let lines = lines(of, name);
        if lines.is_empty() { format!("{none}\n") } else { format!("{some}\n{lines}") }
    };
    section("changes", "would change:", "nothing would change")
        + &section("forbidden", "FORBIDDEN, so that it would be refused:", "nothing forbids it")
        + &section("trims", "trimmed now, before the change:", "nothing is trimmed now")
}

/// A change that was taken.
pub(super) fn taken(of: &Value) -> String {
    let state = match of["state"].as_str() {
        Some("trial") => "is safe on more than half of the core, on trial",
        Some("withdrawn") => "is withdrawn: the document before it holds",
        Some("settled") => "is safe on more than half of the core",
        _ => "was answered, in a way that this build doesn't know",
    };
    format!("{} of {} {state}\n", cell(&of["edition"]), cell(&of["member"]))
}

pub(super) fn status(of: &Value) -> String {
    let mut page = format!("member     {}\n", cell(&of["member"]));
    for name in ["settled", "trial", "withdrawn"] {
        page += &format!("{name:<11}{}\n", cell(&of[name]));
    }
    let trims = lines(of, "trims");
    page += &if trims.is_empty() { "trimmed    nothing\n".to_owned() } else { format!("trimmed:\n{trims}") };
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for row in rows(of, "nodes") {
        *counts.entry(cell(&row["edition"])).or_default() += 1;
    }
    page += "\n";
    for (edition, count) in counts {
        page += &format!("{edition} on {count} of these nodes\n");
    }
    let nodes =
        rows(of, "nodes").iter().map(|row| cells(row, &["door", "edition", "trial", "quiet"])).collect();
    page + &table(&["NODE", "EDITION", "TRIAL", "QUIET"], nodes) + super::more(of)
}
