//! News as a steward gives them: the rows it was told, who has fallen quiet, whom a waiting ask is answered and with
//! what. It owns the table and the number of the quiet ones. It must never keep an ask from news that it has.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochreshed::Nanos;

use crate::endpoints::{EndpointRecord, EndpointTable, TablePosition};
use crate::internal_rpc::{CollectedReports, WatchRequest, WatchResponse};
use ochreshed_consensus::messages::NamedRegister;
use ochreshed_consensus::messages::Revision;

const MS: Nanos = 1_000_000;
/// An attendant of whom nothing was heard for so long is quiet.
pub const SUSPECT_AFTER: Nanos = 1_700 * MS;
/// From look to look at who has fallen quiet.
pub const SUSPECT_CHECK_INTERVAL: Nanos = 200 * MS;
/// How long other stewards hold a steward's asks.
pub const REPLICA_MAX_WAIT: Nanos = 400 * MS;
/// The least from a reply among stewards to the next ask.
const GATHER: Nanos = 20 * MS;
/// An ask among stewards is given up so long after its hold, and the next follows a pause.
pub const RESPONSE_GRACE: Nanos = 600 * MS;
pub const RETRY_INTERVAL: Nanos = 200 * MS;
/// Above so many rows, news of rows are told to one reader so far apart at least for each row more, and no further.
const UNPACED: usize = 100;
const PACE: Nanos = MS;
const MOST_PACE: Nanos = 400 * MS;
/// No ask is held for longer.
const MOST_HOLD_MS: u32 = 5_000;
const DRAIN_MS: u32 = 30_000;

/// What the core has come to, as far as news tell it.
#[derive(Clone, Copy, Debug)]
pub struct CommittedState<'a> {
    /// Of the newest configuration that is safe.
    pub configuration: Option<Revision>,
    pub replicas: &'a [SocketAddr],
    pub has_quorum: bool,
    /// The papers that are safe, and their number.
    pub registers: (u64, &'a [NamedRegister]),
}

/// An ask that waits for news.
pub struct PendingWatch {
    mark: TablePosition,
    sheet: Revision,
    quiet: u64,
    papers: u64,
    steward: bool,
    gather: bool,
    door: Option<SocketAddr>,
    /// The stewards that were known when it came.
    stewards: Vec<SocketAddr>,
    /// What its row said before: one that has just started knows no upstream.
    before: Option<EndpointRecord>,
    came: Nanos,
    /// It is answered after so long though there is no news.
    pub hold: Nanos,
}

impl PendingWatch {
    /// An attendant that has other papers than those that are safe.
    fn lacks_papers(&self, stand: CommittedState) -> bool {
        !self.steward && stand.registers.0 != self.papers
    }
}

/// A steward's rows, and those of whom nothing was heard of late.
pub struct WatchServer {
    pub table: EndpointTable,
    quiet: (u64, Vec<SocketAddr>),
}

impl WatchServer {
    /// `life` differs from that of any table that stood here before.
    pub fn new(life: u64) -> WatchServer {
        WatchServer { table: EndpointTable::new(life), quiet: (0, Vec::new()) }
    }

    /// An ask came; whether it brought news for others.
    pub fn register(
        &mut self,
        now: Nanos,
        ask: &WatchRequest,
        stand: CommittedState,
    ) -> (PendingWatch, bool) {
        let (mut before, mut news) = (None, false);
        if let Some(row) = &ask.record {
            let was = self
                .table
                .record(row.inbound_proxy)
                .filter(|was| was.incarnation != row.incarnation && row.upstream_id.is_empty());
            before = was.filter(|was| !was.upstream_id.is_empty()).cloned();
            news = self.table.merge(now, row, 0);
        }
        let door = ask.record.as_ref().map(|row| row.inbound_proxy).or(ask.inbound_proxy);
        if let Some(door) = door {
            self.table.heard(now, door, 0);
        }
        let waiting = PendingWatch {
            mark: ask.position,
            sheet: ask.configuration,
            quiet: ask.suspects_version,
            papers: ask.registers_digest,
            steward: ask.from_replica,
            gather: ask.reports_only,
            door,
            stewards: stand.replicas.to_vec(),
            before,
            came: now,
            hold: Nanos::from(ask.max_wait_ms.min(MOST_HOLD_MS)) * MS,
        };
        (waiting, news)
    }

    /// How far apart news of rows are told to one reader: each change of a row is news for every attendant, and what
    /// they cost together grows with the square of the rows.
    pub fn min_interval(&self) -> Nanos {
        (self.table.len().saturating_sub(UNPACED) as Nanos * PACE).min(MOST_PACE)
    }

    /// How long a steward waits before it asks another again, so that many small changes go together.
    pub fn replica_watch_interval(&self) -> Nanos {
        GATHER.max(self.min_interval() / 4)
    }

    /// From when on there is something to tell; nothing where there is none.
    pub fn due_at(&self, waiting: &PendingWatch, stand: CommittedState) -> Option<Nanos> {
        let rows = self.table.position() != waiting.mark;
        let drain = || waiting.door.is_some_and(|door| self.table.requested_drain(door).is_some());
        if waiting.before.is_some()
            || stand.configuration.is_some_and(|rank| rank > waiting.sheet)
            || stand.replicas != waiting.stewards
            || waiting.lacks_papers(stand)
            || rows && (self.table.position().incarnation != waiting.mark.incarnation || drain())
        {
            return Some(waiting.came);
        }
        let quiet = !waiting.steward && self.quiet.0 != waiting.quiet;
        (rows || quiet).then(|| waiting.came + self.min_interval())
    }

    /// `told`: what was reported, for an ask that gathers.
    pub fn respond(
        &self,
        now: Nanos,
        waiting: PendingWatch,
        stand: CommittedState,
        told: Option<Box<CollectedReports>>,
    ) -> WatchResponse {
        let since = if waiting.gather { Vec::new() } else { self.table.since(waiting.mark) };
        let quiet = !waiting.steward && self.quiet.0 != waiting.quiet;
        let papers = waiting.lacks_papers(stand).then(|| {
            let (number, papers) = stand.registers;
            (number, papers.iter().map(|paper| (paper.name.clone(), paper.value.revision())).collect())
        });
        WatchResponse {
            position: self.table.position(),
            records: waiting.before.into_iter().chain(since).collect(),
            configuration: stand.configuration.filter(|rank| *rank > waiting.sheet),
            replicas: stand.replicas.to_vec(),
            suspects: quiet.then(|| self.quiet.clone()),
            has_quorum: stand.has_quorum,
            known_incarnation: waiting.door.and_then(|door| self.table.known_incarnation(door)),
            last_heard_ms_ago: if waiting.steward { self.table.last_heard_ms_ago(now) } else { Vec::new() },
            drains: drains(&self.table, waiting.door, waiting.steward.then_some(waiting.mark)),
            reports: told,
            registers: papers,
            outcomes: Vec::new(),
        }
    }

    /// Doors of whom nothing was heard of late.
    pub fn suspects(&self) -> &[SocketAddr] {
        &self.quiet.1
    }

    /// Takes what another steward holds; whether that is news.
    pub fn merge(&mut self, now: Nanos, reply: &WatchResponse) -> bool {
        let ages: HashMap<SocketAddr, u32> = reply.last_heard_ms_ago.iter().copied().collect();
        let mut news = false;
        for row in &reply.records {
            let age = ages.get(&row.inbound_proxy).copied().unwrap_or(0);
            news |= self.table.merge(now, row, Nanos::from(age) * MS);
        }
        for (door, age) in ages {
            self.table.heard(now, door, Nanos::from(age) * MS);
        }
        for (door, id, _) in &reply.drains {
            news |= self.table.drain(*door, id);
        }
        news
    }

    /// Looks who has fallen quiet or is heard again; how many are quiet, where that is news.
    pub fn update_suspects(&mut self, now: Nanos) -> Option<usize> {
        if !self.table.update_suspects(now, SUSPECT_AFTER) {
            return None;
        }
        self.quiet = (self.quiet.0 + 1, self.table.suspects());
        Some(self.quiet.1.len())
    }
}

/// What a steward asks another for its rows.
pub fn replica_watch_request(mark: TablePosition) -> WatchRequest {
    WatchRequest {
        record: None,
        inbound_proxy: None,
        position: mark,
        configuration: Revision::new(u64::MAX, 0),
        suspects_version: u64::MAX,
        max_wait_ms: (REPLICA_MAX_WAIT / MS) as u32,
        from_replica: true,
        report: None,
        outcomes: Vec::new(),
        registers_digest: 0,
        applied_editions: None,
        reports_only: false,
    }
}

/// Lives to be drained: an attendant's own, or for a steward those that changed. Older programs keep them for so long.
fn drains(
    table: &EndpointTable,
    door: Option<SocketAddr>,
    since: Option<TablePosition>,
) -> Vec<(SocketAddr, String, u32)> {
    let own = door.and_then(|door| Some((door, table.requested_drain(door)?.to_owned())));
    let all = since.map(|mark| table.drains_since(mark)).unwrap_or_default();
    own.into_iter().chain(all).map(|(door, id)| (door, id, DRAIN_MS)).collect()
}
