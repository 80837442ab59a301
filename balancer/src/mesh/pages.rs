//! What a steward answers its operators: who is there, which upstreams, the versions on its disk, the keys. It owns the
//! shape of these answers and their bounds. It works on plain values that the steward fills in, and must never change
//! any of them, nor tell what this steward does not know itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::UNIX_EPOCH;

use ochreshed::{Name, Nanos};
use ochreshed_catalog::endpoints::UpstreamHealth;
use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, UpstreamState};
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::core::{Core, PeerStatus, SessionCounts};
use ochreshed_consensus::messages::{Lease, LeaseKey, LeaseOutcome, Revision};
use ochreshed_traffic::budget_reports::AttemptTotals;
use serde::Serialize;

use super::keys;
use super::report::Gathered;
use super::settings::Bounds;

const MS: Nanos = 1_000_000;
/// Rows in one answer; the rest is asked for with `after`.
const MOST_ROWS: usize = 1_000;
/// Files in the timetables' folder that are looked at.
const MOST_FILES: usize = 1_000;
/// Bytes of a key or an id. No header that holds one is longer.
const MOST_OF: usize = 32 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Nodes,
    Upstreams,
    History,
    Count,
    Show(String),
    Budget,
    Drain(String),
}

/// What is asked for, as it stands in the path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    pub call: Call,
    /// Only rows of doors behind this one.
    after: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    NoCall,
    /// It wants `of`, with what is named here.
    NoOf(&'static str),
    NotText,
    Long,
    After,
}

impl QueryError {
    pub fn status(self) -> u16 {
        if self == QueryError::NoCall { 404 } else { 400 }
    }

    pub fn line(self) -> &'static str {
        match self {
            QueryError::NoCall => "no such call here",
            QueryError::NoOf(line) => line,
            QueryError::NotText => "of: is no text in UTF-8, or a % in it stands before no two digits",
            QueryError::Long => "of: is too long",
            QueryError::After => "after: is no address of a door",
        }
    }
}

impl Query {
    pub fn read(uri: &hyper::Uri) -> Result<Query, QueryError> {
        if uri.path() != "/api/rpc" {
            return Err(QueryError::NoCall);
        }
        let pairs = || uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
        let told = |name| pairs().find(|(other, _)| *other == name).map(|(_, value)| value);
        let of = |wants| {
            let text = plain(told("of").unwrap_or_default())?;
            // As gates take them off a header.
            let text = text.trim();
            if text.is_empty() { Err(QueryError::NoOf(wants)) } else { Ok(text.to_owned()) }
        };
        let call = match told("call").unwrap_or_default() {
            "nodes.list" => Call::Nodes,
            "upstreams.list" => Call::Upstreams,
            "timetable.history" => Call::History,
            "keys.count" => Call::Count,
            "keys.show" => Call::Show(of("keys.show wants of=KEY")?),
            "budget.list" => Call::Budget,
            "upstreams.drain" => Call::Drain(of("upstreams.drain wants of=ID, an upstream's")?),
            _ => return Err(QueryError::NoCall),
        };
        let after = told("after").map(plain).transpose()?;
        let after = after.map(|after| after.parse().map_err(|_| QueryError::After)).transpose()?;
        Ok(Query { call, after })
    }

    /// The key whose claim the answer wants.
    pub fn key(&self) -> Option<LeaseKey> {
        match &self.call {
            Call::Show(key) => Some(keys::key(key)),
            _ => None,
        }
    }

    /// The answer wants to know what is on the disk.
    pub fn wants_disk(&self) -> bool {
        self.call == Call::History
    }

    /// The answer wants to know what all stewards were told of gates.
    pub fn wants_reports(&self) -> bool {
        matches!(self.call, Call::Budget | Call::Nodes)
    }

    /// The rows that the answer wants, in the order of their doors; of a list one more than it shows.
    pub fn pick(&self, table: &EndpointTable, now: Nanos) -> Vec<Attendant> {
        let most = match self.call {
            Call::Nodes | Call::Upstreams => MOST_ROWS + 1,
            Call::Budget | Call::Drain(_) => usize::MAX,
            Call::History | Call::Count | Call::Show(_) => return Vec::new(),
        };
        let mut rows: Vec<&EndpointRecord> =
            table.records().filter(|row| Some(row.inbound_proxy) > self.after).collect();
        rows.sort_by_key(|row| row.inbound_proxy);
        rows.truncate(most);
        let ages: BTreeMap<SocketAddr, u32> = table.last_heard_ms_ago(now).into_iter().collect();
        let quiet = table.suspects();
        let attendant = |row: &EndpointRecord| Attendant {
            row: row.clone(),
            heard_ms: ages.get(&row.inbound_proxy).copied().unwrap_or(0),
            quiet: quiet.binary_search(&row.inbound_proxy).is_ok(),
        };
        rows.into_iter().map(attendant).collect()
    }
}

/// Text out of a query, with its `%` taken apart.
fn plain(told: &str) -> Result<String, QueryError> {
    if told.len() > 3 * MOST_OF {
        return Err(QueryError::Long);
    }
    let (mut bytes, mut from) = (Vec::new(), told.bytes());
    while let Some(byte) = from.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut digit = || from.next().and_then(|byte| char::from(byte).to_digit(16));
        match (digit(), digit()) {
            (Some(high), Some(low)) => bytes.push((high * 16 + low) as u8),
            _ => return Err(QueryError::NotText),
        }
    }
    if bytes.len() > MOST_OF {
        return Err(QueryError::Long);
    }
    String::from_utf8(bytes).map_err(|_| QueryError::NotText)
}

/// A row, and how its attendant is heard here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attendant {
    pub row: EndpointRecord,
    pub heard_ms: u32,
    pub quiet: bool,
}

/// What the core tells of itself for one answer.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub view: u64,
    pub settled: bool,
    /// The newest version that is safe, and its digest.
    pub safe: Option<Revision>,
    pub stewards: Vec<PeerStatus>,
    /// Open, unknown, done.
    pub keys: (usize, usize, usize),
    /// Bytes of kept answers, how many may be, and answers dropped for want of room.
    pub answers: (usize, usize, u64),
    pub oldest_open: Option<Nanos>,
    pub sessions: SessionCounts,
    /// Of the key that was asked for, and for how long it is known here.
    pub claim: Option<(Lease, Nanos)>,
}

impl Seen {
    pub fn of(core: &Core, now: Nanos, key: Option<LeaseKey>) -> Seen {
        let claim = key.and_then(|key| Some((core.lease(key)?.clone(), core.lease_age(key)?)));
        Seen {
            view: core.membership().epoch,
            settled: core.has_quorum(now),
            safe: core.committed_configuration().map(|sheet| sheet.revision()),
            stewards: core.peer_statuses(now),
            keys: core.lease_counts(),
            answers: core.response_cache_usage(),
            oldest_open: core.oldest_pending_lease_age(),
            sessions: core.session_counts(),
            claim,
        }
    }
}

/// A version in a file on this disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Version and digest.
    pub rank: Revision,
    pub bytes: u64,
    /// By the time of day of this machine.
    pub written_ms: u64,
}

/// The versions whose files are whole by name, the latest first. It waits on the disk, so it is called off the thread
/// of work.
pub fn history(data_dir: &Path) -> std::io::Result<Vec<Version>> {
    let mut versions = Vec::new();
    for entry in std::fs::read_dir(data_dir.join("timetable"))?.take(MOST_FILES) {
        let entry = entry?;
        let name = entry.file_name();
        let Some(rank) = name.to_str().and_then(rank_of) else { continue };
        // Removed meanwhile.
        let Ok(about) = entry.metadata() else { continue };
        let written = about.modified().ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let written_ms = written.map_or(0, |since| since.as_millis() as u64);
        versions.push(Version { rank, bytes: about.len(), written_ms });
    }
    versions.sort();
    versions.reverse();
    Ok(versions)
}

/// Of `r12-00ff....json`.
fn rank_of(name: &str) -> Option<Revision> {
    let (version, digest) = name.strip_prefix('r')?.strip_suffix(".json")?.split_once('-')?;
    let digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits(version) || !digits(digest) {
        return None;
    }
    Some(Revision::new(version.parse().ok()?, u64::from_str_radix(digest, 16).ok()?))
}

/// What an answer is made of.
#[derive(Clone, Debug)]
pub struct Facts {
    pub me: SocketAddr,
    pub seen: Seen,
    /// As `Query::pick` gives them.
    pub rows: Vec<Attendant>,
    /// Those on the disk, where the answer wants them.
    pub versions: Vec<Version>,
    /// Where the answer wants it.
    pub gathered: Gathered,
    pub bounds: Bounds,
    /// Writes to disk and records in them, since the start.
    pub written: (u64, u64),
}

/// An answer: JSON with 200, else a plain line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub status: u16,
    pub text: String,
    /// A door that is first to be told that this life takes nothing new.
    pub drain: Option<(SocketAddr, String)>,
}

impl Page {
    fn line(status: u16, line: impl Into<String>) -> Page {
        Page { status, text: line.into(), drain: None }
    }

    fn json(of: &impl Serialize) -> Page {
        match serde_json::to_string(of) {
            Ok(text) => Page { status: 200, text, drain: None },
            Err(why) => Page::line(500, why.to_string()),
        }
    }
}

#[derive(Serialize)]
struct Nodes<'a> {
    asked: SocketAddr,
    view: u64,
    settled: bool,
    stewards: Vec<Steward<'a>>,
    attendants: Vec<Node<'a>>,
    next: Option<SocketAddr>,
}

#[derive(Serialize)]
struct Steward<'a> {
    address: SocketAddr,
    zone: &'a str,
    /// The life of its disk: 0 is the first.
    disk: String,
    member: bool,
    voter: bool,
    view: u64,
    heard_ms: Option<u64>,
    leaving: bool,
    /// From its start to full service.
    full_ms: Option<u32>,
}

#[derive(Serialize)]
struct Node<'a> {
    door: SocketAddr,
    zone: &'a str,
    serving: bool,
    quiet: bool,
    heard_ms: u32,
    service: &'a str,
    upstream: &'a str,
    full_ms: Option<u32>,
}

#[derive(Serialize)]
struct Upstreams<'a> {
    upstreams: Vec<Upstream<'a>>,
    next: Option<SocketAddr>,
}

#[derive(Serialize)]
struct Upstream<'a> {
    id: &'a str,
    line: &'a str,
    zone: &'a str,
    edition: &'a str,
    state: &'static str,
    slots: u32,
    cold_ms: u64,
    /// How much fails there and how slow it has become, by what its door saw; told where either is.
    #[serde(skip_serializing_if = "UpstreamHealth::is_healthy")]
    ill: UpstreamHealth,
    door: SocketAddr,
    serving: bool,
    quiet: bool,
}

#[derive(Serialize)]
struct History {
    versions: Vec<Kept>,
}

#[derive(Serialize)]
struct Kept {
    edition: String,
    digest: String,
    bytes: u64,
    written_ms: u64,
    in_force: bool,
}

#[derive(Serialize)]
struct Count {
    open: usize,
    unknown: usize,
    done: usize,
    oldest_open_ms: Option<u64>,
    answer_bytes: usize,
    most_answer_bytes: usize,
    /// Since the steward's start.
    answers_dropped: u64,
    disk_writes: u64,
    disk_records: u64,
}

#[derive(Serialize)]
struct Shown<'a> {
    key: &'a str,
    hashed: String,
    state: &'static str,
    known_ms: Option<u64>,
    /// Two claims met, and either may have been granted.
    disputed: bool,
    status: Option<u16>,
    bytes: Option<usize>,
}

#[derive(Serialize)]
struct Budgets<'a> {
    kept_by: &'static str,
    window_ms: u64,
    retry_ratio: f64,
    retry_slack: f64,
    gates: usize,
    /// So many of them have told, and which stewards could not be asked what they were told.
    gates_told: usize,
    silent: &'a [SocketAddr],
    services: Vec<Service>,
    /// Of members whose reqs were sent.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    members: Vec<OfMember>,
}

#[derive(Serialize)]
struct OfMember {
    member: Name,
    edition: String,
    trial: bool,
    /// In the window: dispatches, and reqs answered well or otherwise.
    first: u32,
    again: u32,
    refused: u32,
    turned: u32,
    well: u32,
    failed: u32,
}

impl OfMember {
    fn new((of, fared): (RouteEdition, OutcomeCounts)) -> OfMember {
        let OutcomeCounts {
            first,
            retried: again,
            denied: refused,
            rejected: turned,
            succeeded: well,
            failed,
        } = fared;
        let edition = format!("r{}", of.version);
        OfMember { member: of.member, edition, trial: of.canary, first, again, refused, turned, well, failed }
    }
}

#[derive(Default, Serialize)]
struct Service {
    service: String,
    upstreams: usize,
    /// In the window: first sends, sends again, and what was not sent again for want of allowance.
    first: u32,
    again: u32,
    refused: u32,
    /// What the rules leave for sends again, and that less those made.
    allowed: f64,
    left: f64,
}

#[derive(Serialize)]
struct Drained<'a> {
    id: &'a str,
    line: &'a str,
    door: SocketAddr,
    state: &'static str,
    /// How many others of its service are open.
    open_left: usize,
}

fn state(stand: UpstreamState) -> &'static str {
    match stand {
        UpstreamState::Serving => "open",
        UpstreamState::Draining => "closing",
        UpstreamState::Absent => "gone",
    }
}

pub fn answer(query: &Query, facts: &Facts) -> Page {
    let shown = &facts.rows[..facts.rows.len().min(MOST_ROWS)];
    let next = shown.last().filter(|_| facts.rows.len() > MOST_ROWS).map(|last| last.row.inbound_proxy);
    match &query.call {
        Call::Nodes => Page::json(&nodes(facts, shown, next)),
        Call::Upstreams => {
            let upstreams = shown.iter().filter(|of| !of.row.upstream_id.is_empty()).map(upstream).collect();
            Page::json(&Upstreams { upstreams, next })
        }
        Call::History => {
            let kept = |version: &Version| Kept {
                edition: format!("r{}", version.rank.version),
                digest: format!("{:016x}", version.rank.digest),
                bytes: version.bytes,
                written_ms: version.written_ms,
                in_force: facts.seen.safe == Some(version.rank),
            };
            Page::json(&History { versions: facts.versions.iter().take(MOST_ROWS).map(kept).collect() })
        }
        Call::Count => {
            let (open, unknown, done) = facts.seen.keys;
            let (answer_bytes, most_answer_bytes, answers_dropped) = facts.seen.answers;
            let oldest_open_ms = facts.seen.oldest_open.map(|age| age / MS);
            let count = Count {
                open,
                unknown,
                done,
                oldest_open_ms,
                answer_bytes,
                most_answer_bytes,
                answers_dropped,
                disk_writes: facts.written.0,
                disk_records: facts.written.1,
            };
            Page::json(&count)
        }
        Call::Show(key) => Page::json(&show(key, facts.seen.claim.as_ref())),
        Call::Budget => Page::json(&budgets(facts)),
        Call::Drain(id) => drain(id, facts),
    }
}

/// Only gates heard within the window count: what others told is over.
fn budgets(facts: &Facts) -> Budgets<'_> {
    let (Gathered { reports, silent, .. }, bounds) = (&facts.gathered, &facts.bounds);
    let window_ms = bounds.retry_window.as_millis() as u64;
    let heard: BTreeSet<SocketAddr> = facts
        .rows
        .iter()
        .filter(|of| u64::from(of.heard_ms) <= window_ms)
        .map(|of| of.row.inbound_proxy)
        .collect();
    let AttemptTotals { services: sums, proxies: gates_told } =
        reports.attempt_totals(|door| heard.contains(&door));
    let members = reports.outcome_totals(|door| heard.contains(&door));
    let mut services: BTreeMap<String, Service> = BTreeMap::new();
    for of in
        facts.rows.iter().filter(|of| !of.row.upstream_id.is_empty() && of.row.state != UpstreamState::Absent)
    {
        services.entry(of.row.service.clone()).or_default().upstreams += 1;
    }
    for (name, figures) in sums {
        let service = services.entry(name.to_string()).or_default();
        (service.first, service.again, service.refused) = (figures.first, figures.retried, figures.denied);
    }
    let tenths = |value: f64| (value * 10.0).round() / 10.0;
    let services = services.into_iter().take(MOST_ROWS).map(|(name, of)| {
        let allowed = bounds.retry_ratio * f64::from(of.first) + bounds.retry_slack;
        let left = tenths(allowed - f64::from(of.again));
        Service { service: name, allowed: tenths(allowed), left, ..of }
    });
    Budgets {
        kept_by: "attendants",
        window_ms,
        retry_ratio: bounds.retry_ratio,
        retry_slack: bounds.retry_slack,
        gates: facts.rows.iter().filter(|of| of.row.accepts_clients).count(),
        gates_told,
        silent,
        services: services.collect(),
        members: members.into_iter().take(MOST_ROWS).map(OfMember::new).collect(),
    }
}

fn nodes<'a>(facts: &'a Facts, shown: &'a [Attendant], next: Option<SocketAddr>) -> Nodes<'a> {
    let steward = |known: &'a PeerStatus| Steward {
        address: known.replica.address,
        zone: &known.zone,
        disk: format!("{:x}", known.replica.disk_id),
        member: known.member,
        voter: known.member && known.voter,
        view: known.epoch,
        heard_ms: known.heard_ago.map(|ago| ago / MS),
        leaving: known.leaving,
        full_ms: facts.gathered.full.get(&known.replica.address).copied(),
    };
    let node = |of: &'a Attendant| Node {
        door: of.row.inbound_proxy,
        zone: &of.row.zone,
        serving: of.row.accepts_clients,
        quiet: of.quiet,
        heard_ms: of.heard_ms,
        service: &of.row.service,
        upstream: &of.row.upstream_id,
        full_ms: facts.gathered.reports.report(of.row.inbound_proxy).and_then(|report| report.recovery_ms),
    };
    Nodes {
        asked: facts.me,
        view: facts.seen.view,
        settled: facts.seen.settled,
        stewards: facts.seen.stewards.iter().take(MOST_ROWS).map(steward).collect(),
        attendants: shown.iter().map(node).collect(),
        next,
    }
}

fn upstream(of: &Attendant) -> Upstream<'_> {
    Upstream {
        id: &of.row.upstream_id,
        line: &of.row.service,
        zone: &of.row.zone,
        edition: &of.row.software_version,
        state: state(of.row.state),
        slots: of.row.concurrency_limit,
        cold_ms: of.row.warming_up_ms,
        ill: of.row.health,
        door: of.row.inbound_proxy,
        serving: of.row.accepts_clients,
        quiet: of.quiet,
    }
}

fn show<'a>(key: &'a str, claim: Option<&(Lease, Nanos)>) -> Shown<'a> {
    let mut shown = Shown {
        key,
        hashed: format!("{:032x}", keys::key(key)),
        state: "none",
        known_ms: claim.map(|(_, age)| age / MS),
        disputed: false,
        status: None,
        bytes: None,
    };
    match claim.map(|(claim, _)| (&claim.outcome, claim.token)) {
        None => {}
        Some((LeaseOutcome::Pending, token)) => (shown.state, shown.disputed) = ("open", token == 0),
        Some((LeaseOutcome::Indeterminate, _)) => shown.state = "unknown",
        Some((LeaseOutcome::Completed(answer), _)) => {
            shown.state = "done";
            (shown.status, shown.bytes) = (Some(answer.status), Some(answer.body.len()));
        }
    }
    shown
}

/// A row is its attendant's to write: it is told, and the answer waits for the row to say so.
fn drain(id: &str, facts: &Facts) -> Page {
    let of = |of: &&Attendant| of.row.upstream_id == id;
    let open = |of: &&Attendant| of.row.state == UpstreamState::Serving;
    let found = facts.rows.iter().filter(of).find(open).or(facts.rows.iter().find(of));
    let Some(found) = found else { return Page::line(404, "no upstream of that id is known here") };
    if found.row.state == UpstreamState::Serving {
        let mut page = Page::line(503, "its attendant has not taken the drain yet: ask again");
        page.drain = Some((found.row.inbound_proxy, id.to_owned()));
        return page;
    }
    let left = |of: &&Attendant| {
        of.row.service == found.row.service && of.row.accepts_clients && !of.quiet && open(of)
    };
    Page::json(&Drained {
        id,
        line: &found.row.service,
        door: found.row.inbound_proxy,
        state: state(found.row.state),
        open_left: facts.rows.iter().filter(left).count(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;
    use ochreshed_catalog::traffic_reports::{AttemptCounts, BudgetReport};
    use ochreshed_consensus::messages::{ReplicaId, StoredResponse};
    use ochreshed_traffic::budget_reports::BudgetReports;
    use std::sync::Arc;

    fn at(host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([10, 1, host / 100, host % 100], port))
    }

    fn row(host: u8, id: &str, stand: UpstreamState) -> EndpointRecord {
        EndpointRecord {
            inbound_proxy: at(host, 8300),
            incarnation: 7,
            sequence: 1,
            zone: "quito-a".into(),
            service: if id.is_empty() { "" } else { "huvo11a" }.into(),
            upstream_id: id.into(),
            software_version: "v1".into(),
            state: stand,
            concurrency_limit: 6,
            warming_up_ms: 0,
            calls_services: false,
            accepts_clients: true,
            health: Default::default(),
        }
    }

    fn facts() -> Facts {
        let known = |host, voter, heard| PeerStatus {
            replica: ReplicaId { address: at(host, 7620), disk_id: 0 },
            member: true,
            voter,
            epoch: 3,
            heard_ago: heard,
            leaving: false,
            zone: if voter { "quito-a" } else { "" }.into(),
        };
        let rows = [
            row(8, "i-1", UpstreamState::Serving),
            row(9, "i-2", UpstreamState::Draining),
            row(10, "", UpstreamState::Absent),
        ];
        Facts {
            me: at(13, 7620),
            seen: Seen {
                view: 3,
                settled: true,
                safe: Some(Revision::new(7, 0xff)),
                stewards: vec![known(13, true, Some(0)), known(14, false, None)],
                keys: (2, 1, 40),
                answers: (12_040, 51_200_000, 3),
                sessions: SessionCounts::default(),
                oldest_open: Some(1_250 * MS),
                claim: None,
            },
            rows: rows.map(|row| Attendant { row, heard_ms: 120, quiet: false }).to_vec(),
            versions: vec![
                Version { rank: Revision::new(7, 0xff), bytes: 812, written_ms: 1_700_000_000_000 },
                Version { rank: Revision::new(5, 1), bytes: 800, written_ms: 1_600_000_000_000 },
            ],
            gathered: gathered(),
            bounds: Bounds::default(),
            written: (7, 40),
        }
    }

    /// One gate told here and by another steward, one is not heard any more, and one's service is gone.
    fn gathered() -> Gathered {
        let figures = |first, again, refused| AttemptCounts { first, retried: again, denied: refused };
        let told = |name: &str, of, full_ms| BudgetReport {
            services: vec![(name.into(), of)],
            recovery_ms: full_ms,
            outcomes: Vec::new(),
        };
        let mut reports = BudgetReports::default();
        reports.store(9_000 * MS, at(8, 8300), told("huvo11a", figures(400, 9, 2), Some(812)), 0);
        reports.store(9_000 * MS, at(8, 8300), told("huvo11a", figures(1, 0, 0), None), 3_000 * MS);
        reports.store(9_000 * MS, at(10, 8300), told("kafi81c", figures(10, 64, 0), None), 0);
        reports.store(9_000 * MS, at(11, 8300), told("huvo11a", figures(7_000, 0, 0), None), 0);
        Gathered { reports, full: [(at(13, 7620), 240)].into(), silent: vec![at(14, 7620)] }
    }

    fn read(path: &str) -> Result<Query, QueryError> {
        Query::read(&path.parse().expect("a path"))
    }

    fn said(path: &str, facts: &Facts) -> String {
        match read(path) {
            Ok(query) => {
                let page = answer(&query, facts);
                let drain = page.drain.map(|(door, id)| format!(" drain {id} at {door}")).unwrap_or_default();
                format!("{} {}{drain}\n", page.status, page.text)
            }
            Err(why) => format!("{} {}\n", why.status(), why.line()),
        }
    }

    #[test]
    fn what_is_answered() {
        let facts = facts();
        let calls = [
            "nodes.list",
            "upstreams.list",
            "timetable.history",
            "keys.count",
            "keys.show&of=k-5512",
            "budget.list",
            "upstreams.drain&of=i-1",
            "upstreams.drain&of=i-2",
            "upstreams.drain&of=i-3",
            "upstreams.drain",
            "keys.show&of=%20",
            "keys.show&of=%f",
            "keys.show&of=%ff",
            "nodes.list&after=here",
            "nodes.burn",
        ];
        let all: String = calls.iter().map(|call| said(&format!("/api/rpc?call={call}"), &facts)).collect();
        expect![[r#"
            200 {"asked":"10.1.0.13:7620","view":3,"settled":true,"stewards":[{"address":"10.1.0.13:7620","zone":"quito-a","disk":"0","member":true,"voter":true,"view":3,"heard_ms":0,"leaving":false,"full_ms":240},{"address":"10.1.0.14:7620","zone":"","disk":"0","member":true,"voter":false,"view":3,"heard_ms":null,"leaving":false,"full_ms":null}],"attendants":[{"door":"10.1.0.8:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,"service":"huvo11a","upstream":"i-1","full_ms":812},{"door":"10.1.0.9:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,"service":"huvo11a","upstream":"i-2","full_ms":null},{"door":"10.1.0.10:8300","zone":"quito-a","serving":true,"quiet":false,"heard_ms":120,"service":"","upstream":"","full_ms":null}],"next":null}
            200 {"upstreams":[{"id":"i-1","line":"huvo11a","zone":"quito-a","edition":"v1","state":"open","slots":6,"cold_ms":0,"door":"10.1.0.8:8300","serving":true,"quiet":false},{"id":"i-2","line":"huvo11a","zone":"quito-a","edition":"v1","state":"closing","slots":6,"cold_ms":0,"door":"10.1.0.9:8300","serving":true,"quiet":false}],"next":null}
            200 {"versions":[{"edition":"r7","digest":"00000000000000ff","bytes":812,"written_ms":1700000000000,"in_force":true},{"edition":"r5","digest":"0000000000000001","bytes":800,"written_ms":1600000000000,"in_force":false}]}
            200 {"open":2,"unknown":1,"done":40,"oldest_open_ms":1250,"answer_bytes":12040,"most_answer_bytes":51200000,"answers_dropped":3,"disk_writes":7,"disk_records":40}
            200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"none","known_ms":null,"disputed":false,"status":null,"bytes":null}
            200 {"kept_by":"attendants","window_ms":10000,"retry_ratio":0.2,"retry_slack":60.0,"gates":3,"gates_told":2,"silent":["10.1.0.14:7620"],"services":[{"service":"huvo11a","upstreams":2,"first":400,"again":9,"refused":2,"allowed":140.0,"left":131.0},{"service":"kafi81c","upstreams":0,"first":10,"again":64,"refused":0,"allowed":62.0,"left":-2.0}]}
            503 its attendant has not taken the drain yet: ask again drain i-1 at 10.1.0.8:8300
            200 {"id":"i-2","line":"huvo11a","door":"10.1.0.9:8300","state":"closing","open_left":1}
            404 no upstream of that id is known here
            400 upstreams.drain wants of=ID, an upstream's
            400 keys.show wants of=KEY
            400 of: is no text in UTF-8, or a % in it stands before no two digits
            400 of: is no text in UTF-8, or a % in it stands before no two digits
            400 after: is no address of a door
            404 no such call here
        "#]]
        .assert_eq(&all);
    }

    /// Of two gates, summed by edition; none where no member has routes.
    #[test]
    fn the_budget_tells_how_members_fared() {
        let mut facts = facts();
        let of = |number, trial| RouteEdition { member: "norte".into(), version: number, canary: trial };
        let told = |failed, trial| {
            let fared =
                OutcomeCounts { first: 20, retried: 2, denied: 1, rejected: 3, succeeded: 18, failed };
            BudgetReport {
                outcomes: vec![(of(7 + u64::from(trial), trial), fared)],
                ..BudgetReport::default()
            }
        };
        for (host, trial) in [(8, false), (9, false), (10, true)] {
            facts.gathered.reports.store(9_500 * MS, at(host, 8300), told(u32::from(host), trial), 0);
        }
        let page = said("/api/rpc?call=budget.list", &facts);
        let members = page.split_once(r#","members":"#).map(|(_, members)| members).unwrap_or_default();
        expect![[r#"
            [{"member":"norte","edition":"r7","trial":false,"first":40,"again":4,"refused":2,"turned":6,"well":36,"failed":17},{"member":"norte","edition":"r8","trial":true,"first":20,"again":2,"refused":1,"turned":3,"well":18,"failed":10}]}
        "#]].assert_eq(members);
    }

    #[test]
    fn a_claim_is_shown_as_it_stands() {
        let mut facts = facts();
        let answer = StoredResponse { status: 201, headers: Vec::new(), body: vec![0; 17] };
        let outcomes = [
            (0, LeaseOutcome::Pending),
            (5, LeaseOutcome::Indeterminate),
            (5, LeaseOutcome::Completed(Arc::new(answer))),
        ];
        let mut all = String::new();
        for (token, outcome) in outcomes {
            facts.seen.claim = Some((Lease { token, time_left_ms: 300, outcome }, 2_000 * MS));
            all += &said("/api/rpc?call=keys.show&of=k%2D5512", &facts);
        }
        expect![[r#"
            200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"open","known_ms":2000,"disputed":true,"status":null,"bytes":null}
            200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"unknown","known_ms":2000,"disputed":false,"status":null,"bytes":null}
            200 {"key":"k-5512","hashed":"c32bde1baefa4f27855b78996880fdae","state":"done","known_ms":2000,"disputed":false,"status":201,"bytes":17}
        "#]].assert_eq(&all);
    }

    #[test]
    fn long_lists_come_in_parts() {
        let mut table = EndpointTable::new(1);
        for host in 0..2_500u32 {
            let mut one = row(1, &format!("i-{host}"), UpstreamState::Serving);
            one.inbound_proxy = SocketAddr::from((std::net::Ipv4Addr::from(0x0a01_0000 + host), 8300));
            table.merge(1, &one, 0);
        }
        let (mut path, mut seen) = ("/api/rpc?call=upstreams.list".to_owned(), 0);
        for part in [1_000, 1_000, 500] {
            let query = read(&path).expect("a query");
            let rows = query.pick(&table, 1);
            let page = super::answer(&query, &Facts { rows, ..facts() });
            let json: serde_json::Value = serde_json::from_str(&page.text).expect("JSON");
            assert_eq!(json["upstreams"].as_array().map(Vec::len), Some(part));
            seen += part;
            let next = json["next"].as_str().map(str::to_owned);
            assert_eq!(next.is_some(), seen < 2_500);
            path = format!("/api/rpc?call=upstreams.list&after={}", next.unwrap_or_default());
        }
    }

    #[test]
    fn the_folder_tells_its_versions() {
        let folder = std::env::temp_dir().join(format!("ochreshed-pages-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("timetable")).expect("a folder");
        for name in ["r12-00000000000000ff.json", "r7-0000000000000001.json", "r9-x.json", "r8-1.json.new"] {
            std::fs::write(folder.join("timetable").join(name), "{}").expect("written");
        }
        let ranks: Vec<_> = history(&folder).expect("read").iter().map(|version| version.rank).collect();
        std::fs::remove_dir_all(&folder).expect("removed");
        assert_eq!(ranks, [Revision::new(12, 0xff), Revision::new(7, 1)]);
        assert!(history(&folder).is_err());
    }
}
