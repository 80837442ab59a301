//! The operators' client: asks a steward and says what it answers, as tables or as the JSON that came. It must never
//! change anything that it was not told to, nor show as an answer what did not come whole.

mod member_documents;

use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use ochreshed_catalog::configuration::{Configuration, Refusal, differences};
use serde_json::Value;

use member_documents::Key;

use super::command_line::{ClientCommand, ConfigurationCommand, SessionAction, SessionCommand};
use super::settings::{Settings, SettingsError, SettingsIssue};
use crate::asking::{self, AskError};
use crate::mesh::proxy::session_affinity;

/// A timetable is no longer than this.
const MOST_FILE: u64 = 32 << 20;
/// Answers that a list is made of; a steward keeps no more rows.
const MOST_PARTS: usize = 40;
/// A cell of a table is shown up to so many signs.
const MOST_CELL: usize = 60;

pub fn settings(path: Option<PathBuf>) -> Result<ExitCode, SettingsError> {
    let settings = Settings::read(&Settings::path(path)?)?;
    let printed = print(&amounts(&settings));
    Ok(if printed.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// What a settings file amounts to.
fn amounts(settings: &Settings) -> String {
    let mut page = String::new();
    let mut line = |name: &str, text: String| page.push_str(&format!("{name:<14}{text}\n"));
    let address = |at: Option<SocketAddr>| at.map_or("-".to_owned(), |at| at.to_string());
    let list = |all: Vec<String>| if all.is_empty() { "none".to_owned() } else { all.join(", ") };
    line("station", format!("{}, role {}", shown(&settings.node_name), shown(&settings.role)));
    line("place", format!("{} in {}, {}", settings.ip, shown(&settings.zone), shown(&settings.region)));
    let (first, last) = (settings.internal_ports.first, settings.internal_ports.last);
    line("inner ports", format!("{first} to {last}; calls between our processes go to {first}"));
    line("seeds", list(settings.seeds.iter().map(ToString::to_string).collect()));
    line("first start", if settings.bootstrap { "yes: an empty disk begins a mesh" } else { "no" }.into());
    let lost = &settings.fault_tolerance;
    line(
        "may be lost",
        format!(
            "{} machines, {} zones, {} regions; {} stewards vote",
            lost.machines,
            lost.zones,
            lost.regions,
            lost.machines.saturating_mul(2).saturating_add(1)
        ),
    );
    let limits = &settings.limits;
    line(
        "limits",
        format!(
            "{} of a core, {} MB of memory, {} descriptors, {} MB of disk",
            limits.cpu_share, limits.memory_mb, limits.file_descriptors, limits.disk_mb
        ),
    );
    let wants = |faults: Vec<SettingsIssue>| list(faults.iter().map(|fault| fault.field.clone()).collect());
    match settings.check_attendant() {
        Err(missing) => line("attendant", format!("no: without {}", wants(missing))),
        Ok(()) => {
            let room = limits.attendant_capacity();
            line("attendant", "yes".into());
            line(
                "  gate",
                format!("{}, {} callers", address(settings.outbound_listen), room.outbound_clients),
            );
            line("  door", format!("{}, {} callers", address(settings.inbound_listen), room.inbound_clients));
            line(
                "  ready",
                format!("{}, {} callers", address(settings.readiness_listen), room.control_clients),
            );
            line(
                "  control",
                format!("{}, {} callers", address(settings.control_listen), room.control_clients),
            );
            let service = settings.service.as_deref().map_or("-".to_owned(), shown);
            line("  upstream", format!("{} of {service}", address(settings.upstream_address)));
            line(
                "  out",
                format!(
                    "{} connections to doors, {} to the upstream",
                    room.peer_connections, room.upstream_connections
                ),
            );
            line("  bodies", format!("{} bytes of reqs in hand", room.body_bytes));
        }
    }
    match settings.check_replica() {
        Err(missing) => line("steward", format!("no: without {}", wants(missing))),
        Ok(()) => {
            let room = limits.replica_capacity();
            line("steward", "yes".into());
            line(
                "  control",
                format!("{}, {} callers", address(settings.control_listen), room.control_clients),
            );
            let folder = settings.data_dir.as_deref().unwrap_or(Path::new("-"));
            line("  disk", shown(&folder.to_string_lossy()));
            line("  bodies", format!("{} bytes of timetables in hand", room.body_bytes));
            line(
                "  claims",
                format!("{} keys at once, {} bytes of their answers", room.leases, room.response_cache_bytes),
            );
        }
    }
    let bounds = &settings.bounds;
    line("bounds", format!("drain {:?}, grace {:?}", bounds.drain_timeout, bounds.shutdown_grace));
    line("", format!("a key runs once within {:?}", bounds.idempotency_window));
    line(
        "",
        format!(
            "retries {} in {:?} and {} more, as told",
            bounds.retry_ratio, bounds.retry_window, bounds.retry_slack
        ),
    );
    page
}

pub fn ask(at: &[SocketAddr], json: bool, command: ClientCommand) -> Result<ExitCode, String> {
    let page = match command {
        ClientCommand::Nodes => list(at, json, "nodes.list", "attendants", nodes)?,
        ClientCommand::Upstreams => list(at, json, "upstreams.list", "upstreams", upstreams)?,
        ClientCommand::Configuration(ConfigurationCommand::Read) => {
            text(call(at, "timetable.read", None)?.1)?
        }
        ClientCommand::Configuration(ConfigurationCommand::Replace(file)) => {
            return replace(at, json, &file, &TIMETABLE);
        }
        ClientCommand::Configuration(ConfigurationCommand::History) => {
            one(at, json, "timetable.history", history)?
        }
        ClientCommand::Configuration(ConfigurationCommand::Diff(file)) => diff(at, json, &file)?,
        ClientCommand::KeyCounts => one(at, json, "keys.count", keys)?,
        ClientCommand::Key(key) => one(at, json, &format!("keys.show&of={}", escaped(&key)), key_shown)?,
        ClientCommand::SessionCounts => one(at, json, "sessions.count", session_counts)?,
        ClientCommand::Session(SessionCommand { action, id, service, header }) => {
            // The value that names a person goes no further than this.
            let of = session_affinity::session_id(&service, &header, &id);
            let what = match action {
                SessionAction::Show => format!("sessions.show&of={of:032x}"),
                SessionAction::Move { target } => format!("sessions.move&of={of:032x}&to={target}"),
                SessionAction::Forget => format!("sessions.forget&of={of:032x}"),
            };
            one(at, json, &what, session_shown)?
        }
        ClientCommand::Budget => one(at, json, "budget.list", budget)?,
        ClientCommand::Members(what) => return member_documents::register(at, json, what),
        ClientCommand::Member { name, command, key_file } => {
            return member_documents::own(at, json, &name, command, key_file.as_deref());
        }
        ClientCommand::Drain { upstream } => {
            one(at, json, &format!("upstreams.drain&of={}", escaped(&upstream)), drained)?
        }
    };
    print(&page)?;
    Ok(ExitCode::SUCCESS)
}

/// What is not read any more is no error: the reader has seen enough.
fn print(page: &str) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    let end = if page.ends_with('\n') || page.is_empty() { "" } else { "\n" };
    let mut written = out.write_all(page.as_bytes());
    written = written.and_then(|()| out.write_all(end.as_bytes())).and_then(|()| out.flush());
    match written {
        Err(why) if why.kind() != ErrorKind::BrokenPipe => Err(format!("standard output: {why}")),
        _ => Ok(()),
    }
}

/// A call that nobody answered well.
struct Failed {
    /// A line for each that was asked.
    lines: Vec<String>,
    /// Somebody may have taken it all the same.
    maybe: bool,
}

impl From<Failed> for String {
    fn from(failed: Failed) -> String {
        failed.lines.join("\n")
    }
}

/// A call and what goes with it.
#[derive(Clone, Copy)]
struct Call<'c> {
    what: &'c str,
    body: &'c [u8],
    key: Option<&'c Key>,
    /// Asked of no other once somebody may have taken it.
    once: bool,
}

/// The body of the first answer; who gives none, or can't answer now, is passed over.
fn call(at: &[SocketAddr], what: &str, body: Option<&[u8]>) -> Result<(SocketAddr, Vec<u8>), Failed> {
    call_with(at, Call { what, body: body.unwrap_or_default(), key: None, once: false })
}

fn call_with(at: &[SocketAddr], call: Call) -> Result<(SocketAddr, Vec<u8>), Failed> {
    let mut failed = Failed { lines: Vec::new(), maybe: false };
    for at in at {
        if call.once && failed.maybe {
            break;
        }
        // All calls of a steward are POST.
        let path = format!("/api/rpc?call={}", call.what);
        match asking::ask_with(*at, &path, Some(call.body), call.key.map(Key::header)) {
            Ok((200, body)) => return Ok((*at, body)),
            Ok((status, body)) => {
                let said = String::from_utf8_lossy(&body);
                let said: Vec<String> = said.trim().lines().map(shown_line).collect();
                let said = if said.is_empty() { "no word".to_owned() } else { said.join("\n  ") };
                failed.lines.push(format!("{at}: {status}: {said}"));
                if status < 500 {
                    // Others would say the same.
                    break;
                }
                failed.maybe = true;
            }
            Err(why) => {
                failed.maybe |= !matches!(why, AskError::NoConnection(_));
                failed.lines.push(format!("{at}: {why}"));
            }
        }
    }
    Err(failed)
}

fn text(bytes: Vec<u8>) -> Result<String, String> {
    String::from_utf8(bytes).map_err(|_| "the answer is not UTF-8".into())
}

fn value(text: &str) -> Result<Value, String> {
    serde_json::from_str(text).map_err(|why| format!("the answer is no JSON: {why}"))
}

fn one(at: &[SocketAddr], json: bool, what: &str, page: fn(&Value) -> String) -> Result<String, String> {
    let text = text(call(at, what, None)?.1)?;
    if json { Ok(text) } else { Ok(page(&value(&text)?)) }
}

/// A list that may come in parts, all of them from the steward that gave the first.
fn list(
    at: &[SocketAddr],
    json: bool,
    what: &str,
    rows: &str,
    page: fn(&Value) -> String,
) -> Result<String, String> {
    let (at, first) = call(at, what, None)?;
    let first = text(first)?;
    let mut all = value(&first)?;
    let mut next = all["next"].as_str().map(str::to_owned);
    if next.is_none() && json {
        return Ok(first);
    }
    for _ in 1..MOST_PARTS {
        let Some(after) = next else { break };
        let more = call(&[at], &format!("{what}&after={}", escaped(&after)), None)?.1;
        let mut more = value(&text(more)?)?;
        next = more["next"].as_str().map(str::to_owned);
        if let (Some(all), Some(more)) = (all[rows].as_array_mut(), more[rows].as_array_mut()) {
            all.append(more);
        }
    }
    if let Some(all) = all.as_object_mut() {
        all.insert("next".into(), next.map_or(Value::Null, Value::from));
    }
    if json { Ok(all.to_string()) } else { Ok(page(&all)) }
}

type Check = fn(&[u8]) -> Result<(u64, String), Vec<Refusal>>;

/// A document that replaces another: how it is checked, and the calls that send it and read it back.
struct Paper {
    /// Its edition and what it holds, in words.
    check: Check,
    name: &'static str,
    replace: &'static str,
    read: &'static str,
}

const TIMETABLE: Paper = Paper {
    check: |bytes| {
        Configuration::read(bytes).map(|read| (read.version, format!("{} routes", read.routes().count())))
    },
    name: "timetable",
    replace: "timetable.replace",
    read: "timetable.read",
};

/// The bytes of a file, or of the standard input for `-`.
fn bytes(file: &Path) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    let read = if file == Path::new("-") {
        std::io::stdin().take(MOST_FILE + 1).read_to_end(&mut bytes)
    } else {
        File::open(file).and_then(|file| file.take(MOST_FILE + 1).read_to_end(&mut bytes))
    };
    read.map_err(|why| format!("{}: {why}", file.display()))?;
    Ok(bytes)
}

/// What was read from a file, or all that is wrong with it.
fn checked<T>(file: &Path, read: Result<T, Vec<Refusal>>) -> Result<T, String> {
    read.map_err(|refusals| {
        let lines: Vec<String> = refusals.iter().map(|refusal| format!("\n  {refusal}")).collect();
        format!("{}: refused, {} errors{}", file.display(), refusals.len(), lines.concat())
    })
}

/// What the core reads back.
fn known<T>(at: SocketAddr, name: &str, read: Result<T, Vec<Refusal>>) -> Result<T, String> {
    read.map_err(|why| match why.first() {
        Some(first) => format!("{at}: the {name} there is refused by this build: {first}"),
        None => format!("{at}: the {name} there is refused by this build"),
    })
}

fn diff(at: &[SocketAddr], json: bool, file: &Path) -> Result<String, String> {
    let new = checked(file, Configuration::read(&bytes(file)?))?;
    let (at, held) = call(at, TIMETABLE.read, None)?;
    let old = known(at, TIMETABLE.name, Configuration::read(&held))?;
    Ok(differing(json, (old.version, new.version), differences(&old, &new)))
}

/// What differs between the one in force and a new one, of these versions.
fn differing(json: bool, (old, new): (u64, u64), lines: Vec<String>) -> String {
    let (from, to) = (format!("r{old}"), format!("r{new}"));
    if json {
        return serde_json::json!({ "from": from, "to": to, "differences": lines }).to_string();
    }
    let mut page: String = lines.iter().map(|line| shown_line(line) + "\n").collect();
    page += &format!("{} differences between {from}, in force, and {to}\n", lines.len());
    if new <= old && !lines.is_empty() {
        page += &format!("{to} is not above {from}: sent like this it would change nothing\n");
    }
    page
}

/// Sends a change; where nobody answered well, whether it may hold all the same is told.
fn send(at: &[SocketAddr], call: Call) -> Result<(SocketAddr, Vec<u8>), String> {
    call_with(at, call).map_err(|mut failed| {
        if failed.maybe {
            // One steward may hold it, and others take it from there.
            let again = if call.once {
                "see what holds before you send it again"
            } else {
                "send it again, unchanged"
            };
            failed.lines.push(format!("it may still come into force: {again}"));
        }
        String::from(failed)
    })
}

/// A version that is not above the one in force is acknowledged as well and changes nothing, so it is read back.
fn replace(at: &[SocketAddr], json: bool, file: &Path, paper: &Paper) -> Result<ExitCode, String> {
    let sent = bytes(file)?;
    let (version, holds) = checked(file, (paper.check)(&sent))?;
    let (taker, answer) = send(at, Call { what: paper.replace, body: &sent, key: None, once: false })?;
    let now = call(&[taker], paper.read, None).map_err(String::from);
    let now = now.and_then(|(at, held)| Ok((known(at, paper.name, (paper.check)(&held))?.0, held)));
    match now {
        Err(why) => Err(format!("{taker} acknowledged r{version}; reading back what holds failed: {why}")),
        Ok((_, held)) if held == sent => {
            let safe = format!("r{version} is safe on more than half of the core, {holds}\n");
            print(&if json { text(answer)? } else { safe })?;
            Ok(ExitCode::SUCCESS)
        }
        Ok((now, _)) if now == version => Err(format!(
            "{taker} acknowledged r{version}, but another r{version} holds: give this one a higher number"
        )),
        Ok((now, _)) => {
            Err(format!("{taker} acknowledged r{version}, but r{now} holds: nothing has changed"))
        }
    }
}

/// Text for a query: what could be taken for something else there goes as `%` and two digits.
fn escaped(text: &str) -> String {
    let one = |byte: u8| match byte {
        b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'-' | b'_' | b'.' | b'~' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(one).collect()
}

/// Names come from upstreams and operators, and go to a terminal.
fn shown(text: &str) -> String {
    let shown: String = text.escape_debug().take(MOST_CELL + 1).collect();
    match shown.char_indices().nth(MOST_CELL) {
        Some((end, _)) => format!("{}...", &shown[..end]),
        None => shown,
    }
}

/// A line that keeps all but its control characters.
fn shown_line(line: &str) -> String {
    let mut shown = String::new();
    for sign in line.chars() {
        if sign.is_control() { shown.extend(sign.escape_debug()) } else { shown.push(sign) }
    }
    shown
}

/// Columns as wide as what stands in them; the last one is not filled up.
fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head = head.iter().map(|cell| cell.to_string()).collect();
    let mut page = String::new();
    for row in [head].into_iter().chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}", width = *width)).collect();
        page += cells.join("  ").trim_end();
        page.push('\n');
    }
    page
}

fn rows<'a>(of: &'a Value, name: &str) -> &'a [Value] {
    of[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::Bool(truth) => if *truth { "yes" } else { "no" }.into(),
        Value::String(text) if text.is_empty() => "-".into(),
        Value::String(text) => shown(text),
        other => other.to_string(),
    }
}

fn cells(row: &Value, names: &[&str]) -> Vec<String> {
    names.iter().map(|name| cell(&row[*name])).collect()
}

/// That a list is longer than what is shown.
fn more(of: &Value) -> &'static str {
    if of["next"].is_null() { "" } else { "there are more than these\n" }
}

fn nodes(of: &Value) -> String {
    let settled =
        if of["settled"] == true { "more than half of it is heard" } else { "NOT heard by half or more" };
    let mut page = format!("asked {}, view {}, {settled}\n\n", cell(&of["asked"]), cell(&of["view"]));
    let steward = |row: &Value| {
        let heard = if row["address"] == of["asked"] { "itself".into() } else { ago(&row["heard_ms"]) };
        let mut cells = cells(row, &["address", "zone", "member", "voter", "view", "disk"]);
        cells.extend([heard, cell(&row["leaving"]), ago(&row["full_ms"])]);
        cells
    };
    let stewards = rows(of, "stewards").iter().map(steward).collect();
    page += &table(
        &["STEWARD", "ZONE", "MEMBER", "VOTES", "VIEW", "DISK", "HEARD", "LEAVING", "FULL AFTER"],
        stewards,
    );
    let attendant = |row: &Value| {
        let mut cells = cells(row, &["door", "zone", "serving", "quiet"]);
        cells.push(ago(&row["heard_ms"]));
        cells.extend(["service", "upstream"].map(|name| cell(&row[name])));
        cells.push(ago(&row["full_ms"]));
        cells
    };
    let attendants = rows(of, "attendants").iter().map(attendant).collect();
    page.push('\n');
    let head = ["ATTENDANT", "ZONE", "SERVES", "QUIET", "HEARD", "SERVICE", "UPSTREAM", "FULL AFTER"];
    page += &table(&head, attendants);
    page + more(of)
}

fn upstreams(of: &Value) -> String {
    let mut all: Vec<&Value> = rows(of, "upstreams").iter().collect();
    all.sort_by_key(|row| (row["line"].as_str(), row["id"].as_str()));
    let upstream = |row: &Value| {
        let mut cells = cells(row, &["line", "id", "zone", "edition", "state", "slots"]);
        if row["quiet"] == true {
            cells[4] += ", quiet";
        } else if row["serving"] == false {
            cells[4] += ", leaving";
        }
        // What its door saw of it, in levels of two.
        for (what, level) in [("fails", &row["ill"]["fails"]), ("slow", &row["ill"]["slow"])] {
            if let Some(level) = level.as_u64().filter(|level| *level > 0) {
                cells[4] += &format!(", {what} {level}");
            }
        }
        let cold = row["cold_ms"].as_u64().filter(|cold| *cold > 0);
        cells.push(cold.map_or("-".into(), |ms| format!("{ms} ms")));
        cells.push(cell(&row["door"]));
        cells
    };
    let head = ["SERVICE", "UPSTREAM", "ZONE", "EDITION", "STATE", "SLOTS", "COLD", "DOOR"];
    table(&head, all.into_iter().map(upstream).collect()) + more(of)
}

fn history(of: &Value) -> String {
    let version = |row: &Value| {
        let mut cells = cells(row, &["edition", "digest", "bytes"]);
        cells.push(row["written_ms"].as_u64().map_or("-".into(), time_of_day));
        cells.push(cell(&row["in_force"]));
        cells
    };
    let versions = rows(of, "versions").iter().map(version).collect();
    table(&["EDITION", "DIGEST", "BYTES", "WRITTEN", "IN FORCE"], versions)
}

fn keys(of: &Value) -> String {
    let head = ["OPEN", "UNKNOWN", "DONE", "OLDEST OPEN", "ANSWERS", "DROPPED"];
    let mut all = cells(of, &["open", "unknown", "done"]);
    all.push(ago(&of["oldest_open_ms"]));
    all.push(format!("{} of {} bytes", cell(&of["answer_bytes"]), cell(&of["most_answer_bytes"])));
    all.push(cell(&of["answers_dropped"]));
    table(&head, vec![all])
}

fn session_counts(of: &Value) -> String {
    let head = ["SESSIONS", "MOVES", "TIES", "DROPPED"];
    table(&head, vec![cells(of, &["sessions", "moves", "ties", "dropped"])])
}

fn session_shown(of: &Value) -> String {
    let head = ["EPOCH", "HELD AT", "SINCE", "BEFORE AT", "UPSTREAM", "ITS DOOR"];
    let all = [
        &of["epoch"],
        &of["holder"]["door"],
        &of["holder"]["since"],
        &of["before"]["door"],
        &of["tie"]["upstream"],
        &of["tie"]["door"],
    ];
    table(&head, vec![all.iter().map(|value| cell(value)).collect()])
}

fn key_shown(of: &Value) -> String {
    let state = match of["state"].as_str() {
        Some("none") => "not known to this steward",
        Some("open") if of["disputed"] == true => "open, and two claims met: blocked until it is forgotten",
        Some("open") => "open: granted to a gate, nothing more is known",
        Some("unknown") => "unknown: it may have run, nobody knows its answer",
        Some("done") => "done: it ran, repeats get its answer",
        _ => "not told",
    };
    let mut page =
        format!("key     {}\nhashed  {}\nstate   {state}\n", cell(&of["key"]), cell(&of["hashed"]));
    if !of["known_ms"].is_null() {
        page += &format!("known   for {}\n", ago(&of["known_ms"]));
    }
    if !of["status"].is_null() {
        page += &format!("answer  {}, {} bytes\n", cell(&of["status"]), cell(&of["bytes"]));
    }
    page
}

fn budget(of: &Value) -> String {
    let service =
        |row: &Value| cells(row, &["service", "upstreams", "first", "again", "refused", "allowed", "left"]);
    let head = ["SERVICE", "UPSTREAMS", "FIRST", "AGAIN", "REFUSED", "ALLOWED", "LEFT"];
    let mut page = table(&head, rows(of, "services").iter().map(service).collect());
    page += &format!(
        "\nin the last {}, told by {} of {} gates; allowed: {} x FIRST + {}\n",
        ago(&of["window_ms"]),
        cell(&of["gates_told"]),
        cell(&of["gates"]),
        cell(&of["retry_ratio"]),
        cell(&of["retry_slack"]),
    );
    let members = rows(of, "members");
    if !members.is_empty() {
        let fields = ["member", "edition", "trial", "first", "again", "refused", "turned", "well", "failed"];
        let head = fields.map(str::to_uppercase);
        let row = |row: &Value| cells(row, &fields);
        page +=
            &format!("\n{}", table(&head.each_ref().map(String::as_str), members.iter().map(row).collect()));
    }
    for silent in rows(of, "silent") {
        page += &format!("not known: what steward {} was told\n", cell(silent));
    }
    page
}

fn drained(of: &Value) -> String {
    let left = cell(&of["open_left"]);
    format!(
        "{} of {} at {} is {}: nothing new is sent to it\nothers of {} that are open: {left}\n",
        cell(&of["id"]),
        cell(&of["line"]),
        cell(&of["door"]),
        cell(&of["state"]),
        cell(&of["line"]),
    )
}

fn ago(ms: &Value) -> String {
    match ms.as_u64() {
        None => "-".into(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1_000),
    }
}

/// A time of day in UTC, from ms since 1970.
fn time_of_day(ms: u64) -> String {
    let (seconds, days) = (ms / 1_000 % 86_400, ms / 86_400_000);
    // Days since the first of March of the year 0, in years of March to February and eras of 400 years.
    let days = days.saturating_add(719_468);
    let (era, of_era) = (days / 146_097, days % 146_097);
    let of_years = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * of_years + of_years / 4 - of_years / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = of_years + era * 400 + u64::from(month <= 2);
    let (hour, minute) = (seconds / 3_600, seconds / 60 % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{:02} UTC", seconds % 60)
}

#[cfg(test)]
mod tests;
