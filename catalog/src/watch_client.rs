//! News as an attendant sees them: which steward each of its asks goes to, which is passed over, and what was told of
//! rows and of who is quiet. It owns the marks of what each steward told. It must never go back to an older row, nor
//! count as quiet whom a watcher that replies has heard.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use ochreshed::Nanos;

use crate::endpoints::{EndpointRecord, TablePosition, place, watching_replicas};
use crate::internal_rpc::{AppliedEditions, WatchRequest, WatchResponse};
use ochreshed_consensus::messages::LeaseKey;
use ochreshed_consensus::messages::Revision;

const MS: Nanos = 1_000_000;
/// An ask is answered after so long though there is no news, and given up so much later.
pub const MAX_WAIT: Nanos = 500 * MS;
pub const RESPONSE_GRACE: Nanos = 600 * MS;
/// From an ask that failed to the next.
pub const RETRY_INTERVAL: Nanos = 80 * MS;
/// A steward that gave no reply is passed over for so long.
const ASIDE: Nanos = 1_500 * MS;
/// One that replied to no claim, for so long.
const CLAIMS_ASIDE: Nanos = 2_000 * MS;

/// What one steward told last.
#[derive(Default)]
struct Heard {
    mark: TablePosition,
    quiet: (u64, HashSet<SocketAddr>),
    row: (u64, u64),
    aside: Option<Nanos>,
    /// The number of the papers that it told of, once those are here.
    papers: u64,
    /// The editions that it was told, and those that went with the last ask.
    carried: AppliedEditions,
    out: AppliedEditions,
}

/// One of an attendant's open asks: the one whose turn is `which` of `many`.
pub struct Watcher {
    which: usize,
    many: usize,
    heard: HashMap<SocketAddr, Heard>,
}

impl Watcher {
    pub fn new(which: usize, many: usize) -> Watcher {
        Watcher { which, many: many.max(1), heard: HashMap::new() }
    }

    /// Who is asked now: of its own part of the ring first, so that no two ask the same while all reply.
    pub fn next_replica(
        &mut self,
        now: Nanos,
        door: SocketAddr,
        stewards: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let ring = watching_replicas(door, stewards, stewards.len());
        self.heard.retain(|at, _| stewards.contains(at));
        let until = |at: &SocketAddr| self.heard.get(at).and_then(|heard| heard.aside);
        let aside = |at: &&SocketAddr| until(at).is_some_and(|until| until > now);
        let mut mine = ring.iter().skip(self.which).step_by(self.many).chain(ring.iter());
        mine.find(|at| !aside(at)).or(ring.iter().min_by_key(|at| until(at))).copied()
    }

    /// The ask to that steward: the row and the editions where it may not have them, and the versions it told.
    pub fn request(
        &mut self,
        steward: SocketAddr,
        row: EndpointRecord,
        sheet: Revision,
        carried: AppliedEditions,
    ) -> WatchRequest {
        let known = self.heard.entry(steward).or_default();
        known.out = carried;
        WatchRequest {
            inbound_proxy: Some(row.inbound_proxy),
            record: (known.row != row.record_version()).then_some(row),
            position: known.mark,
            configuration: sheet,
            suspects_version: known.quiet.0,
            max_wait_ms: (MAX_WAIT / MS) as u32,
            from_replica: false,
            report: None,
            outcomes: Vec::new(),
            registers_digest: known.papers,
            applied_editions: (known.carried != known.out).then(|| known.out.clone()),
            reports_only: false,
        }
    }

    /// A reply to an ask that went out with that row. `has_sheet`: the attendant has a configuration. Hands out whom that
    /// steward holds for quiet.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        steward: SocketAddr,
        row: (u64, u64),
        has_sheet: bool,
        reply: &WatchResponse,
    ) -> HashSet<SocketAddr> {
        let known = self.heard.entry(steward).or_default();
        // One that is cut off from more than half of the core may not know the newest: others are asked first.
        let aside = if has_sheet { ASIDE } else { RETRY_INTERVAL };
        known.aside = (!reply.has_quorum).then_some(now + aside);
        // One that has forgotten us is told anew.
        known.row = if reply.known_incarnation.is_some() { row } else { (0, 0) };
        let out = std::mem::take(&mut known.out);
        known.carried = if reply.known_incarnation.is_some() { out } else { AppliedEditions::new() };
        known.mark = reply.position;
        if let Some((number, quiet)) = &reply.suspects {
            known.quiet = (*number, quiet.iter().copied().collect());
        }
        known.quiet.1.clone()
    }

    /// The papers of that number, which that steward told of, are here.
    pub fn registers_applied(&mut self, steward: SocketAddr, number: u64) {
        self.heard.entry(steward).or_default().papers = number;
    }

    /// No reply came, of so many stewards that are known.
    pub fn request_failed(&mut self, now: Nanos, steward: SocketAddr, has_sheet: bool, stewards: usize) {
        let known = self.heard.entry(steward).or_default();
        // One that has nothing yet asks everybody until it has, one after the other.
        let all = RETRY_INTERVAL * (stewards as Nanos + 1);
        known.aside = Some(now + if has_sheet { ASIDE } else { all });
        // It may have forgotten us.
        known.row = (0, 0);
        known.carried.clear();
    }
}

/// The rows as they were told, and who is quiet by each watcher.
#[derive(Default)]
pub struct EndpointView {
    /// With the time at which each was told.
    rows: HashMap<SocketAddr, (EndpointRecord, Nanos)>,
    quiet: HashMap<usize, HashSet<SocketAddr>>,
}

impl EndpointView {
    /// Takes what the watcher whose turn is `which` told; whether anything changed.
    pub fn merge(
        &mut self,
        now: Nanos,
        which: usize,
        rows: Vec<EndpointRecord>,
        quiet: HashSet<SocketAddr>,
    ) -> bool {
        let mut changed = false;
        for row in rows {
            if self
                .rows
                .get(&row.inbound_proxy)
                .is_none_or(|(was, _)| was.record_version() < row.record_version())
            {
                changed = true;
                self.rows.insert(row.inbound_proxy, (row, now));
            }
        }
        if self.quiet.get(&which) != Some(&quiet) {
            changed = true;
            self.quiet.insert(which, quiet);
        }
        changed
    }

    /// A watcher gives no reply: what it held for quiet counts no more.
    pub fn watch_lost(&mut self, which: usize) {
        self.quiet.remove(&which);
    }

    /// Those whom every watcher that replies has not heard.
    pub fn suspects(&self) -> HashSet<SocketAddr> {
        let mut quiet: Option<HashSet<SocketAddr>> = None;
        for told in self.quiet.values() {
            quiet = Some(match quiet {
                None => told.clone(),
                Some(quiet) => quiet.intersection(told).copied().collect(),
            });
        }
        quiet.unwrap_or_default()
    }

    /// How many attendants serve a gate.
    pub fn client_proxies(&self) -> usize {
        self.rows.values().filter(|(row, _)| row.accepts_clients).count()
    }

    /// With the time at which each was told.
    pub fn records(&self) -> impl Iterator<Item = &(EndpointRecord, Nanos)> {
        self.rows.values()
    }

    pub fn record(&self, door: SocketAddr) -> Option<&EndpointRecord> {
        self.rows.get(&door).map(|(row, _)| row)
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// The stewards that are known, and until when those are passed over that gave no reply of late.
#[derive(Default)]
pub struct ReplicaDirectory(Vec<(SocketAddr, Option<Nanos>)>);

impl ReplicaDirectory {
    pub fn set_replicas(&mut self, all: impl IntoIterator<Item = SocketAddr>) {
        let fresh: Vec<SocketAddr> = all.into_iter().collect();
        self.0.retain(|(at, _)| fresh.contains(at));
        for at in fresh {
            if !self.0.iter().any(|(known, _)| *known == at) {
                self.0.push((at, None));
            }
        }
    }

    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|(at, _)| *at).collect()
    }

    pub fn failed(&mut self, now: Nanos, steward: SocketAddr) {
        if let Some(known) = self.0.iter_mut().find(|(at, _)| *at == steward) {
            known.1 = Some(now + CLAIMS_ASIDE);
        }
    }

    pub fn replied(&mut self, steward: SocketAddr) {
        if let Some(known) = self.0.iter_mut().find(|(at, _)| *at == steward) {
            known.1 = None;
        }
    }

    /// In the order in which a key's duty falls to them: by key, those that gave no reply last.
    pub fn replicas_for_key(&self, now: Nanos, key: LeaseKey) -> Vec<SocketAddr> {
        let place_of = |(at, aside): &(SocketAddr, Option<Nanos>)| {
            (aside.is_some_and(|until| until > now), place(*at, key), *at)
        };
        let mut order: Vec<(bool, u64, SocketAddr)> = self.0.iter().map(place_of).collect();
        order.sort();
        order.into_iter().map(|(_, _, at)| at).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an asker that asks the first of its part of the ring for ever though another steward is there.
    #[test]
    fn without_a_configuration_everybody_is_asked_in_turn() {
        let at = |number: u8| SocketAddr::from(([10, 0, 0, number], 8202));
        let stewards = [at(1), at(2), at(3)];
        let door = SocketAddr::from(([10, 1, 0, 1], 8300));
        let ring = watching_replicas(door, &stewards, stewards.len());
        for which in 0..2 {
            for there in &ring {
                let mut asker = Watcher::new(which, 2);
                let mut now = 0;
                let asked = (0..4).map(|_| {
                    let steward = asker.next_replica(now, door, &stewards).expect("a steward");
                    asker.request_failed(now, steward, false, stewards.len());
                    // What a refusal takes, and the pause after it.
                    now += RETRY_INTERVAL + MS;
                    steward
                });
                let asked: Vec<SocketAddr> = asked.collect();
                assert!(asked.contains(there), "{there} of {ring:?} is not among {asked:?}");
            }
        }
    }
}
