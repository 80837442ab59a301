//! An attendant's process in simulated time: its asks for news, its list, its configuration and its claims, by the code
//! that the real one has; what that does around it is as in `balancer/src/mesh/{news,attendant,keys}.rs`. It must never
//! know more than it was told.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::endpoints::{EndpointRecord, RecordVersion, UpstreamState};
use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchResponse};
use ochreshed_catalog::watch_client::{self, EndpointView, ReplicaDirectory, Watcher};
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, LeaseToken, RegisterValue, StoredResponse,
};

use super::count::{Cause, is_news};
use super::hand::{Hand, Note, Step, Timer};
use crate::{MS, Nanos, S};

/// As in `keys.rs`: the next steward is asked too after this; a claim has so long in all; what came of it is told so long
/// and so often.
const HEDGE: Nanos = 90 * MS;
const CLAIM: Nanos = 800 * MS;
const SETTLE: Nanos = 800 * MS;
const SETTLES: usize = 12;
/// A configuration that has not come by then is fetched from another steward.
const FETCH: Nanos = 900 * MS;

struct Turn {
    asker: Watcher,
    /// The call that waits.
    open: Option<u64>,
    /// The last reply told of news.
    follows: bool,
}

enum Open {
    News { which: usize, steward: SocketAddr, row: RecordVersion },
    Configuration { steward: SocketAddr, rank: Revision, whole: bool },
    Claim { claim: u64, steward: SocketAddr },
    Settle { claim: u64, steward: SocketAddr },
}

struct Claim {
    key: LeaseKey,
    token: LeaseToken,
    began: Nanos,
    order: Vec<SocketAddr>,
    asked: usize,
    out: usize,
    silent: Vec<SocketAddr>,
    over: bool,
    outcome: Option<LeaseOutcome>,
    settles: usize,
}

pub struct Gate {
    pub at: SocketAddr,
    seeds: Vec<SocketAddr>,
    row: EndpointRecord,
    turns: Vec<Turn>,
    open: BTreeMap<u64, Open>,
    listing: EndpointView,
    quiet: HashSet<SocketAddr>,
    known: ReplicaDirectory,
    sheet: Option<Arc<RegisterValue>>,
    fetching: Revision,
    claims: BTreeMap<u64, Claim>,
    next_claim: u64,
    answer: usize,
    /// Its upstream was told to go for good.
    pub leaves: bool,
}

impl Gate {
    pub fn start(
        at: SocketAddr,
        seeds: &[SocketAddr],
        service: String,
        many: usize,
        answer: usize,
        hand: &mut Hand,
    ) -> Gate {
        let mut known = ReplicaDirectory::default();
        known.set_replicas(seeds.iter().copied());
        let row = EndpointRecord {
            inbound_proxy: at,
            incarnation: hand.now / MS,
            sequence: 0,
            zone: "a".into(),
            service,
            upstream_id: String::new(),
            software_version: String::new(),
            state: UpstreamState::Absent,
            concurrency_limit: 0,
            warming_up_ms: 0,
            calls_services: false,
            accepts_clients: true,
            health: Default::default(),
        };
        let turn = |which| Turn { asker: Watcher::new(which, many), open: None, follows: false };
        (0..many).for_each(|which| hand.timer(0, Timer::Request(which)));
        hand.timer(S, Timer::Turn(Step::Join));
        Gate {
            at,
            seeds: seeds.to_vec(),
            row,
            turns: (0..many).map(turn).collect(),
            open: BTreeMap::new(),
            listing: EndpointView::default(),
            quiet: HashSet::new(),
            known,
            sheet: None,
            fetching: Revision::NONE,
            claims: BTreeMap::new(),
            next_claim: 0,
            answer,
            leaves: false,
        }
    }

    pub fn holds_quiet(&self, door: &SocketAddr) -> bool {
        self.quiet.contains(door)
    }

    pub fn rank_of(&self, door: SocketAddr) -> RecordVersion {
        self.listing.record(door).map_or_else(RecordVersion::default, EndpointRecord::record_version)
    }

    pub fn rows(&self) -> usize {
        self.listing.len()
    }

    pub fn is_up(&self) -> bool {
        self.row.state == UpstreamState::Serving
    }

    /// Its row says something else now: its asks go out anew.
    fn change(&mut self, hand: &mut Hand, change: impl FnOnce(&mut EndpointRecord)) {
        self.row.sequence += 1;
        change(&mut self.row);
        for which in 0..self.turns.len() {
            if let Some(open) = self.turns[which].open.take() {
                // It is given up; its reply finds nobody.
                self.open.remove(&open);
                self.ask(which, hand);
            }
        }
    }

    pub fn step(&mut self, step: Step, cold: Nanos, hand: &mut Hand) {
        match step {
            Step::Drain if self.is_up() => {
                self.change(hand, |row| row.state = UpstreamState::Draining);
                hand.note(Note::Draining(self.row.record_version()));
                hand.timer(2 * S, Timer::Turn(Step::End));
            }
            Step::End => {
                self.change(hand, |row| row.state = UpstreamState::Absent);
                let next = if self.leaves { Step::Leave } else { Step::Join };
                hand.timer(S, Timer::Turn(next));
            }
            Step::Leave => {
                self.change(hand, |row| row.accepts_clients = false);
                hand.timer(S / 2, Timer::Turn(Step::Kill));
            }
            Step::Join => {
                let id = format!("i-{:x}-{:x}", hand.now / MS, self.at.port());
                self.change(hand, |row| {
                    (row.upstream_id, row.software_version, row.state, row.concurrency_limit) =
                        (id, "v1".into(), UpstreamState::Serving, 8);
                    row.warming_up_ms = cold / MS;
                });
                if cold > 0 {
                    hand.timer(cold, Timer::Turn(Step::Warm));
                }
            }
            Step::Warm if self.row.warming_up_ms > 0 => self.change(hand, |row| row.warming_up_ms = 0),
            _ => {}
        }
    }

    fn sheet_rank(&self) -> Revision {
        self.sheet.as_ref().map_or(Revision::NONE, |sheet| sheet.revision()).max(self.fetching)
    }

    fn ask(&mut self, which: usize, hand: &mut Hand) {
        let (stewards, sheet) = (self.known.replicas(), self.sheet_rank());
        let turn = &mut self.turns[which];
        let Some(steward) = turn.asker.next_replica(hand.now, self.at, &stewards) else {
            hand.timer(watch_client::RETRY_INTERVAL, Timer::Request(which));
            return;
        };
        let ask = turn.asker.request(steward, self.row.clone(), sheet, Vec::new());
        let id = hand.ask(steward, InternalRequest::Watch(ask), turn.follows);
        turn.open = Some(id);
        self.open.insert(id, Open::News { which, steward, row: self.row.record_version() });
        hand.timer(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE, Timer::Late(id));
    }

    /// Whether the reply was waited for.
    pub fn replied(&mut self, id: u64, reply: InternalResponse, hand: &mut Hand) -> bool {
        match (self.open.remove(&id), reply) {
            (Some(Open::News { which, steward, row }), InternalResponse::Watch(reply)) => {
                let has_sheet = self.sheet.is_some();
                let quiet =
                    self.turns[which].asker.handle_response(hand.now, steward, row, has_sheet, &reply);
                self.turns[which].open = None;
                self.turns[which].follows = is_news(&reply);
                self.news((which, steward), *reply, quiet, hand);
                if self.turns[which].open.is_none() {
                    self.ask(which, hand);
                }
            }
            (Some(Open::Configuration { steward, rank, whole }), InternalResponse::Configuration(parcel)) => {
                self.parcel(
                    steward,
                    rank,
                    whole,
                    parcel.and_then(|p| p.apply_to(self.sheet.as_deref()).ok()),
                    hand,
                );
            }
            (Some(Open::Claim { claim, steward }), InternalResponse::Core(got)) => {
                self.got(claim, steward, got, hand)
            }
            (Some(Open::Settle { claim, steward }), InternalResponse::Core(got)) => {
                self.settled(claim, steward, got == CoreResponse::Accepted, hand);
            }
            (open, _) => return open.is_some(),
        }
        true
    }

    /// No reply came, or the connection broke.
    pub fn failed(&mut self, id: u64, hand: &mut Hand) {
        match self.open.remove(&id) {
            Some(Open::News { which, steward, .. }) => {
                let stewards = self.known.replicas().len();
                self.turns[which].asker.record_failure(hand.now, steward, self.sheet.is_some(), stewards);
                self.turns[which].open = None;
                self.listing.clear_suspects(which);
                hand.timer(watch_client::RETRY_INTERVAL, Timer::Request(which));
            }
            Some(Open::Configuration { rank, .. }) => self.fetched(rank),
            Some(Open::Claim { claim, steward }) => self.got(claim, steward, CoreResponse::Unavailable, hand),
            Some(Open::Settle { claim, steward }) => self.settled(claim, steward, false, hand),
            None => {}
        }
    }

    fn news(
        &mut self,
        (which, steward): (usize, SocketAddr),
        reply: WatchResponse,
        quiet: HashSet<SocketAddr>,
        hand: &mut Hand,
    ) {
        if let Some(life) = reply.known_incarnation.filter(|life| *life > self.row.incarnation) {
            self.change(hand, |row| row.incarnation = life + 1);
        }
        if let Some(rank) = reply.configuration.filter(|rank| *rank > self.sheet_rank()) {
            self.fetching = rank;
            self.fetch(steward, rank, false, hand);
        }
        if reply
            .drains
            .iter()
            .any(|drain| drain.inbound_proxy == self.at && drain.upstream_id == self.row.upstream_id)
        {
            self.step(Step::Drain, 0, hand);
        }
        if !reply.replicas.is_empty() {
            self.known.set_replicas(reply.replicas.into_iter().chain(self.seeds.iter().copied()));
        }
        let doors: Vec<SocketAddr> = reply.records.iter().map(|row| row.inbound_proxy).collect();
        if self.listing.merge(hand.now, which, reply.records, quiet) {
            // All is listed anew.
            hand.rows(Cause::Rows, self.listing.len());
            self.quiet = self.listing.suspects();
            hand.note(Note::Quiet);
        }
        for door in doors {
            hand.note(Note::Row(door, self.rank_of(door)));
        }
    }

    fn fetch(&mut self, steward: SocketAddr, rank: Revision, whole: bool, hand: &mut Hand) {
        let have = self.sheet.as_ref().filter(|_| !whole).map_or(Revision::NONE, |sheet| sheet.revision());
        let id = hand.ask(steward, InternalRequest::Configuration(have), false);
        self.open.insert(id, Open::Configuration { steward, rank, whole });
        hand.timer(FETCH, Timer::Late(id));
    }

    fn parcel(
        &mut self,
        at: SocketAddr,
        rank: Revision,
        whole: bool,
        sheet: Option<RegisterValue>,
        hand: &mut Hand,
    ) {
        match sheet {
            Some(sheet) => {
                if self.sheet.as_ref().is_none_or(|here| here.revision() < sheet.revision()) {
                    hand.note(Note::InForce(sheet.revision()));
                    self.sheet = Some(Arc::new(sheet));
                }
                self.fetched(rank);
            }
            None if !whole => self.fetch(at, rank, true, hand),
            None => self.fetched(rank),
        }
    }

    fn fetched(&mut self, rank: Revision) {
        if self.fetching == rank {
            self.fetching = Revision::NONE;
        }
    }

    pub fn claim(&mut self, key: LeaseKey, token: LeaseToken, hand: &mut Hand) {
        self.next_claim += 1;
        let claim = Claim {
            key,
            token,
            began: hand.now,
            order: self.known.replicas_for_key(hand.now, key),
            asked: 0,
            out: 0,
            silent: Vec::new(),
            over: false,
            outcome: None,
            settles: 0,
        };
        self.claims.insert(self.next_claim, claim);
        self.claim_next(self.next_claim, hand);
    }

    fn claim_next(&mut self, number: u64, hand: &mut Hand) {
        let Some(claim) = self.claims.get_mut(&number).filter(|claim| !claim.over) else { return };
        if hand.now >= claim.began + CLAIM {
            self.decided(number, CoreResponse::Unavailable, hand);
            return;
        }
        if let Some(steward) = claim.order.get(claim.asked).copied() {
            claim.asked += 1;
            claim.out += 1;
            claim.silent.push(steward);
            let (key, token) = (claim.key, claim.token);
            let ask = InternalRequest::Core(CoreRequest::AcquireLease {
                key,
                token,
                time_left_ms: (CLAIM / MS) as u32,
            });
            let id = hand.ask(steward, ask, false);
            self.open.insert(id, Open::Claim { claim: number, steward });
            hand.timer(CLAIM, Timer::Late(id));
        } else if claim.out == 0 {
            self.decided(number, CoreResponse::Unavailable, hand);
            return;
        }
        hand.timer(HEDGE, Timer::Hedge(number));
    }

    fn got(&mut self, number: u64, steward: SocketAddr, got: CoreResponse, hand: &mut Hand) {
        let Some(claim) = self.claims.get_mut(&number) else { return };
        claim.out = claim.out.saturating_sub(1);
        if claim.over {
            return;
        }
        claim.silent.retain(|silent| *silent != steward);
        if got == CoreResponse::Unavailable {
            self.known.mark_unresponsive(hand.now, steward);
            if claim.out == 0 {
                self.claim_next(number, hand);
            }
            return;
        }
        self.known.mark_responsive(steward);
        let silent = std::mem::take(&mut claim.silent);
        silent.into_iter().for_each(|silent| self.known.mark_unresponsive(hand.now, silent));
        self.decided(number, got, hand);
    }

    fn decided(&mut self, number: u64, got: CoreResponse, hand: &mut Hand) {
        let Some(claim) = self.claims.get_mut(&number) else { return };
        claim.over = true;
        if got == CoreResponse::LeaseGranted {
            hand.note(Note::Granted(claim.key, claim.token, hand.now - claim.began, number));
            return;
        }
        if got == CoreResponse::Unavailable {
            hand.note(Note::Unsure);
        }
        hand.note(Note::Freed(claim.key, claim.token));
        self.settle(number, hand);
    }

    /// Its req has run.
    pub fn ran(&mut self, number: u64, hand: &mut Hand) {
        let body = vec![7; self.answer];
        if let Some(claim) = self.claims.get_mut(&number) {
            claim.outcome = Some(LeaseOutcome::Completed(Arc::new(StoredResponse {
                status: 200,
                headers: Vec::new(),
                body,
            })));
        }
        self.settle(number, hand);
    }

    fn settle(&mut self, number: u64, hand: &mut Hand) {
        let Some(claim) = self.claims.get_mut(&number) else { return };
        let order = self.known.replicas_for_key(hand.now, claim.key);
        if claim.settles >= SETTLES || order.is_empty() {
            self.claims.remove(&number);
            return;
        }
        let steward = order[claim.settles % order.len()];
        claim.settles += 1;
        let (key, token, outcome) = (claim.key, claim.token, claim.outcome.clone());
        let id = hand.ask(
            steward,
            InternalRequest::Core(CoreRequest::CompleteLease { key, token, outcome }),
            false,
        );
        self.open.insert(id, Open::Settle { claim: number, steward });
        hand.timer(SETTLE, Timer::Late(id));
    }

    fn settled(&mut self, number: u64, steward: SocketAddr, taken: bool, hand: &mut Hand) {
        if taken {
            self.claims.remove(&number);
        } else {
            self.known.mark_unresponsive(hand.now, steward);
            hand.timer(150 * MS, Timer::Settle(number));
        }
    }

    pub fn timer(&mut self, timer: Timer, hand: &mut Hand) {
        match timer {
            Timer::Request(which) if self.turns[which].open.is_none() => self.ask(which, hand),
            Timer::Late(id) => self.failed(id, hand),
            Timer::Hedge(claim) => self.claim_next(claim, hand),
            Timer::Ran(claim) => self.ran(claim, hand),
            Timer::Settle(claim) => self.settle(claim, hand),
            _ => {}
        }
    }
}
