//! News as a steward gives them: the rows it was told, who has fallen quiet, whom a waiting ask is answered and with
//! what. It owns the table and the number of the quiet ones. It must never keep an ask from news that it has.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochreshed::Nanos;

use crate::calls::{NewsAsk, NewsReply, Told};
use crate::list::{Mark, Row, Table};
use ochreshed_consensus::messages::NamedRegister;
use ochreshed_consensus::messages::Revision;

const MS: Nanos = 1_000_000;
/// An attendant of whom nothing was heard for so long is quiet.
pub const QUIET: Nanos = 1_700 * MS;
/// From look to look at who has fallen quiet.
pub const LOOK: Nanos = 200 * MS;
/// How long other stewards hold a steward's asks.
pub const HOLD: Nanos = 400 * MS;
/// The least from a reply among stewards to the next ask.
const GATHER: Nanos = 20 * MS;
/// An ask among stewards is given up so long after its hold, and the next follows a pause.
pub const LATE: Nanos = 600 * MS;
pub const PAUSE: Nanos = 200 * MS;
/// Above so many rows, news of rows are told to one reader so far apart at least for each row more, and no further.
const UNPACED: usize = 100;
const PACE: Nanos = MS;
const MOST_PACE: Nanos = 400 * MS;
/// No ask is held for longer.
const MOST_HOLD_MS: u32 = 5_000;
const DRAIN_MS: u32 = 30_000;

/// What the core has come to, as far as news tell it.
#[derive(Clone, Copy, Debug)]
pub struct Stand<'a> {
    /// Of the newest configuration that is safe.
    pub safe: Option<Revision>,
    pub stewards: &'a [SocketAddr],
    pub settled: bool,
    /// The papers that are safe, and their number.
    pub papers: (u64, &'a [NamedRegister]),
}

/// An ask that waits for news.
pub struct Waiting {
    mark: Mark,
    sheet: Revision,
    quiet: u64,
    papers: u64,
    steward: bool,
    gather: bool,
    door: Option<SocketAddr>,
    /// The stewards that were known when it came.
    stewards: Vec<SocketAddr>,
    /// What its row said before: one that has just started knows no upstream.
    before: Option<Row>,
    came: Nanos,
    /// It is answered after so long though there is no news.
    pub hold: Nanos,
}

impl Waiting {
    /// An attendant that has other papers than those that are safe.
    fn lacks_papers(&self, stand: Stand) -> bool {
        !self.steward && stand.papers.0 != self.papers
    }
}

/// A steward's rows, and those of whom nothing was heard of late.
pub struct Office {
    pub table: Table,
    quiet: (u64, Vec<SocketAddr>),
}

impl Office {
    /// `life` differs from that of any table that stood here before.
    pub fn new(life: u64) -> Office {
        Office { table: Table::new(life), quiet: (0, Vec::new()) }
    }

    /// An ask came; whether it brought news for others.
    pub fn came(&mut self, now: Nanos, ask: &NewsAsk, stand: Stand) -> (Waiting, bool) {
        let (mut before, mut news) = (None, false);
        if let Some(row) = &ask.row {
            let was = self.table.row(row.door).filter(|was| was.life != row.life && row.id.is_empty());
            before = was.filter(|was| !was.id.is_empty()).cloned();
            news = self.table.take(now, row, 0);
        }
        let door = ask.row.as_ref().map(|row| row.door).or(ask.door);
        if let Some(door) = door {
            self.table.heard(now, door, 0);
        }
        let waiting = Waiting {
            mark: ask.mark,
            sheet: ask.sheet,
            quiet: ask.quiet,
            papers: ask.papers,
            steward: ask.steward,
            gather: ask.gather,
            door,
            stewards: stand.stewards.to_vec(),
            before,
            came: now,
            hold: Nanos::from(ask.hold_ms.min(MOST_HOLD_MS)) * MS,
        };
        (waiting, news)
    }

    /// How far apart news of rows are told to one reader: each change of a row is news for every attendant, and what
    /// they cost together grows with the square of the rows.
    pub fn pace(&self) -> Nanos {
        (self.table.len().saturating_sub(UNPACED) as Nanos * PACE).min(MOST_PACE)
    }

    /// How long a steward waits before it asks another again, so that many small changes go together.
    pub fn gather(&self) -> Nanos {
        GATHER.max(self.pace() / 4)
    }

    /// From when on there is something to tell; nothing where there is none.
    pub fn due(&self, waiting: &Waiting, stand: Stand) -> Option<Nanos> {
        let rows = self.table.mark() != waiting.mark;
        let drain = || waiting.door.is_some_and(|door| self.table.drain_for(door).is_some());
        if waiting.before.is_some()
            || stand.safe.is_some_and(|rank| rank > waiting.sheet)
            || stand.stewards != waiting.stewards
            || waiting.lacks_papers(stand)
            || rows && (self.table.mark().life != waiting.mark.life || drain())
        {
            return Some(waiting.came);
        }
        let quiet = !waiting.steward && self.quiet.0 != waiting.quiet;
        (rows || quiet).then(|| waiting.came + self.pace())
    }

    /// `told`: what was reported, for an ask that gathers.
    pub fn reply(&self, now: Nanos, waiting: Waiting, stand: Stand, told: Option<Box<Told>>) -> NewsReply {
        let since = if waiting.gather { Vec::new() } else { self.table.since(waiting.mark) };
        let quiet = !waiting.steward && self.quiet.0 != waiting.quiet;
        let papers = waiting.lacks_papers(stand).then(|| {
            let (number, papers) = stand.papers;
            (number, papers.iter().map(|paper| (paper.name.clone(), paper.value.revision())).collect())
        });
        NewsReply {
            mark: self.table.mark(),
            rows: waiting.before.into_iter().chain(since).collect(),
            sheet: stand.safe.filter(|rank| *rank > waiting.sheet),
            stewards: stand.stewards.to_vec(),
            quiet: quiet.then(|| self.quiet.clone()),
            settled: stand.settled,
            life: waiting.door.and_then(|door| self.table.life_of(door)),
            ages: if waiting.steward { self.table.ages(now) } else { Vec::new() },
            drains: drains(&self.table, waiting.door, waiting.steward.then_some(waiting.mark)),
            told,
            papers,
            members: Vec::new(),
        }
    }

    /// Doors of whom nothing was heard of late.
    pub fn quiet(&self) -> &[SocketAddr] {
        &self.quiet.1
    }

    /// Takes what another steward holds; whether that is news.
    pub fn merge(&mut self, now: Nanos, reply: &NewsReply) -> bool {
        let ages: HashMap<SocketAddr, u32> = reply.ages.iter().copied().collect();
        let mut news = false;
        for row in &reply.rows {
            let age = ages.get(&row.door).copied().unwrap_or(0);
            news |= self.table.take(now, row, Nanos::from(age) * MS);
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
    pub fn look(&mut self, now: Nanos) -> Option<usize> {
        if !self.table.look(now, QUIET) {
            return None;
        }
        self.quiet = (self.quiet.0 + 1, self.table.quiet());
        Some(self.quiet.1.len())
    }
}

/// What a steward asks another for its rows.
pub fn ask_of_steward(mark: Mark) -> NewsAsk {
    NewsAsk {
        row: None,
        door: None,
        mark,
        sheet: Revision::new(u64::MAX, 0),
        quiet: u64::MAX,
        hold_ms: (HOLD / MS) as u32,
        steward: true,
        report: None,
        members: Vec::new(),
        papers: 0,
        carried: None,
        gather: false,
    }
}

/// Lives to be drained: an attendant's own, or for a steward those that changed. Older programs keep them for so long.
fn drains(table: &Table, door: Option<SocketAddr>, since: Option<Mark>) -> Vec<(SocketAddr, String, u32)> {
    let own = door.and_then(|door| Some((door, table.drain_for(door)?.to_owned())));
    let all = since.map(|mark| table.drained_since(mark)).unwrap_or_default();
    own.into_iter().chain(all).map(|(door, id)| (door, id, DRAIN_MS)).collect()
}
