//! Who votes. It owns the view, the ballots on the next one, and how a new member catches up before it votes. It must
//! never answer for a view that it has left, nor vote with a disk that does not hold what the last one held.

use super::*;
use crate::messages::{AcceptorState, SessionId, SessionRecord};

/// How long a try to change the view has.
const TRY: Nanos = 400 * MS;
const ASK_STATE: Nanos = 100 * MS;
const ASK_ALL: Nanos = 600 * MS;

/// A try of this steward to decide the next view.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    ballot: Ballot,
    wish: Membership,
    /// It is to go back to the view before, by a majority of that one's members.
    undo: bool,
    promises: BTreeMap<ReplicaId, Option<(Ballot, Membership)>>,
    /// What is voted on, once more than half have promised.
    chosen: Option<Membership>,
    accepts: BTreeSet<ReplicaId>,
    until: Nanos,
}

/// How far one has told a new member what it holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    /// Claims from this key on are still to come, and all papers.
    Claims(LeaseKey),
    /// Papers from this name on.
    Papers(RegisterName),
    All,
}

impl Place {
    fn ask(&self, round: u64) -> Option<MessageBody> {
        let (from, papers) = match self {
            Place::Claims(key) => (*key, None),
            Place::Papers(name) => (LeaseKey::MAX, Some(name.clone())),
            Place::All => return None,
        };
        Some(MessageBody::FetchSnapshot { from_key: from, catch_up_id: round, from_register: papers })
    }
}

/// What a new member has been told so far.
#[derive(Clone, Debug)]
pub(super) struct Catching {
    round: u64,
    /// How far each one's state is known.
    sources: BTreeMap<ReplicaId, Place>,
    next_ask: Nanos,
    /// From then on one that left the view is asked as well: what it holds is whole, but may be outdated.
    ask_all: Nanos,
}

/// Part of what one holds: keys' claims, sessions, papers, and what it accepted for versions being decided.
type Held = (Vec<(LeaseKey, Lease)>, Vec<(SessionId, SessionRecord)>, Vec<NamedRegister>, Vec<AcceptorState>);

impl Core {
    pub(super) fn ballots(&self) -> MembershipBallotState {
        MembershipBallotState {
            replica: self.me,
            membership: self.view.clone(),
            voter: self.voter || self.left.is_some(),
            promised: self.promised,
            accepted: self.accepted.clone(),
            served_snapshot: self.told_new,
            barred_from_serving: self.barred,
        }
    }

    pub(super) fn keep_ballots(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(LogRecord::MembershipBallot(self.ballots())));
    }

    /// Takes up a view that was decided.
    pub(super) fn adopt(&mut self, now: Nanos, view: Membership, out: &mut Vec<Effect>) {
        if view.epoch <= self.view.epoch {
            return;
        }
        // What was answered so far was answered in the old view, and says so.
        self.flush(out);
        let next = view.epoch - 1 == self.view.epoch;
        self.view = view;
        self.view.members.sort();
        self.view.members.dedup();
        let member = self.is_member(&self.me);
        let back = self.view.rolled_back && next && self.left.is_some();
        self.left = (self.voter && next && !member).then_some(self.view.epoch);
        self.voter = member && ((self.voter && next) || back || self.mutant == 2);
        (self.told_new, self.barred) = (false, false);
        self.promised = Ballot::default();
        self.accepted = None;
        self.attempt = None;
        self.wishing = false;
        self.ranks_anew();
        if member && !self.voter {
            // Claims from an earlier membership may be long outdated; all that holds is told anew.
            self.drop_open(out);
        }
        self.keep_ballots(out);
        out.push(Effect::Log(format!("core: voter {}, view {:?}", self.voter, self.view)));
        self.enter(now, out);
        self.tell = true;
        self.claims_anew(now, out);
        self.sessions_anew(out);
        self.sheets_anew(now, out);
    }

    /// Begins to live in the view.
    pub(super) fn enter(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for station in self.others() {
            self.peers.entry(station).or_insert_with(|| Peer::new(now));
        }
        self.catching = None;
        if self.voter {
            self.tell_self(out);
        } else if self.is_member(&self.me) {
            let sources = self.others().map(|station| (station, Place::Claims(0))).collect();
            self.catching = Some(Catching {
                round: self.chance.random(),
                sources,
                next_ask: now,
                ask_all: now.saturating_add(ASK_ALL),
            });
        }
    }

    /// Asks all others of the view for what they hold.
    pub(super) fn catch_up(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(catching) = &mut self.catching else { return };
        if now < catching.next_ask {
            return;
        }
        catching.next_ask = now.saturating_add(ASK_STATE);
        if now >= catching.ask_all {
            for (station, peer) in &self.peers {
                if peer.there(now) {
                    catching.sources.entry(*station).or_insert(Place::Claims(0));
                }
            }
        }
        let round = catching.round;
        let open: Vec<(ReplicaId, MessageBody)> = catching
            .sources
            .iter()
            .filter_map(|(station, place)| place.ask(round).map(|ask| (*station, ask)))
            .collect();
        for (station, ask) in open {
            self.now(station.address, ask, out);
        }
    }

    /// A new member asks. Answered only in the view that is asked of, once that is safe here, and only by those that
    /// voted in the one before: any so many of them together hold all that was agreed in it.
    pub(super) fn want_state(
        &mut self,
        from: ReplicaId,
        place: LeaseKey,
        round: u64,
        papers: Option<RegisterName>,
        out: &mut Vec<Effect>,
    ) {
        if !self.voter && self.left != Some(self.view.epoch) && self.mutant != 9 {
            return;
        }
        if !self.may_tell(out) {
            return;
        }
        let (mut part, mut next, mut bytes) = (Vec::new(), None, 0);
        for (key, kept) in self.claims.range(place..).filter(|_| papers.is_none()) {
            if part.len() >= MOST_IN_LETTER || bytes >= BYTES_IN_LETTER {
                next = Some(*key);
                break;
            }
            bytes += super::weight(&kept.claim.outcome);
            part.push((*key, kept.claim.clone()));
        }
        let (sessions, next) = match &papers {
            None => self.sessions_from(place, next),
            Some(_) => (Vec::new(), None),
        };
        part.retain(|(key, _)| next.is_none_or(|next| *key < next));
        let last_of_claims = next.is_none() && papers.is_none();
        let sheet = self.sheet.held.clone().filter(|_| last_of_claims);
        let version_ballots = if last_of_claims { self.accepted_versions() } else { Vec::new() };
        let (papers, next_paper) = match next {
            None => self.papers.part(papers.as_deref().unwrap_or_default(), bytes),
            Some(_) => (Vec::new(), None),
        };
        let state = MessageBody::SnapshotChunk {
            catch_up_id: round,
            leases: part,
            next_key: next,
            configuration: sheet,
            sessions,
            registers: papers,
            next_register: next_paper,
            acceptors: version_ballots,
        };
        self.send(from.address, state, out);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn state(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        round: u64,
        (part, sessions, papers, version_ballots): Held,
        sheet: Option<Arc<RegisterValue>>,
        next: (Option<LeaseKey>, Option<RegisterName>),
        out: &mut Vec<Effect>,
    ) {
        let enough = self.view.members.len() + 1 - self.majority().min(self.view.members.len());
        let Some(catching) = &mut self.catching else { return };
        if catching.round != round {
            return;
        }
        let Some(place) = catching.sources.get_mut(&from) else { return };
        if *place == Place::All {
            return;
        }
        let next = match next {
            (Some(key), _) => Place::Claims(key),
            (None, Some(name)) => Place::Papers(name),
            (None, _) => Place::All,
        };
        // Answers to earlier questions tell of what stands at an earlier place on, so nothing is left out.
        let further = next > *place;
        if further {
            *place = next.clone();
        }
        let complete = catching.sources.values().filter(|place| **place == Place::All).count() >= enough;
        for (key, claim) in part {
            self.merge(key, claim, out);
        }
        for (session, entry) in sessions {
            self.merge_session(session, entry, out);
        }
        if let Some(sheet) = sheet {
            self.hold(TIMETABLE, sheet, out);
        }
        self.merge_version_ballots(version_ballots, out);
        for NamedRegister { name, value: sheet } in
            papers.into_iter().take(if self.mutant == 15 { 0 } else { usize::MAX })
        {
            self.hold(&name, sheet, out);
        }
        if complete {
            self.catching = None;
            self.voter = true;
            self.keep_ballots(out);
            out.push(Effect::Log(format!("core: caught up in view {}", self.view.epoch)));
            self.tell_self(out);
            self.tell = true;
            self.claims_anew(now, out);
            self.sessions_anew(out);
            self.sheets_anew(now, out);
        } else if let Some(ask) = next.ask(round).filter(|_| further) {
            self.now(from.address, ask, out);
        }
    }

    /// Whether this one could become a member.
    pub(super) fn may_join(&self, station: &ReplicaId, peer: &Peer) -> bool {
        peer.there(self.now) && !peer.leaving && !self.is_member(station)
    }

    fn is_leaving(&self, now: Nanos, member: &ReplicaId) -> bool {
        match self.peers.get(member) {
            _ if *member == self.me => self.leaving,
            Some(peer) => peer.leaving && peer.there(now),
            None => false,
        }
    }

    /// Whether a member was silent for too long, or came back without its disk.
    fn is_lost(&self, now: Nanos, member: &ReplicaId) -> bool {
        if *member == self.me {
            return false;
        }
        let Some(peer) = self.peers.get(member) else { return true };
        peer.silence(now) >= self.config.member_timeout || self.is_replaced(now, member)
    }

    /// Whether a member came back without its disk, and so is gone for good.
    pub(super) fn is_replaced(&self, now: Nanos, member: &ReplicaId) -> bool {
        let heard = self.peers.get(member).and_then(|peer| peer.heard);
        let other_disk = |(station, other): (&ReplicaId, &Peer)| {
            station.address == member.address
                && station.disk_id != member.disk_id
                && other.there(now)
                && other.heard > heard
        };
        self.peers.iter().any(other_disk)
    }

    pub(super) fn is_voter(&self, member: &ReplicaId) -> bool {
        match self.peers.get(member) {
            _ if *member == self.me => self.voter,
            Some(peer) => peer.view == self.view.epoch && peer.voter,
            None => false,
        }
    }

    /// The view that should follow. Where it can wait it waits until all that stay vote, so that only one at a time
    /// has to catch up. For one that is lost it is enough that those that stay and are there can go on by themselves.
    fn wish(&self, now: Nanos) -> Option<Membership> {
        let members = &self.view.members;
        let joins: Vec<ReplicaId> = self
            .peers
            .iter()
            .filter(|(station, peer)| self.may_join(station, peer))
            .map(|(s, _)| *s)
            .collect();
        let votes = |member: &&ReplicaId| self.is_voter(member);
        let there = |member: &&ReplicaId| {
            **member == self.me || self.peers.get(*member).is_some_and(|peer| peer.there(now))
        };
        for out in members.iter().filter(|_| members.len() > 1) {
            let stay = || members.iter().filter(|member| *member != out);
            let lost = self.is_lost(now, out);
            let whole = stay().all(|member| self.is_voter(member));
            let enough = stay().filter(votes).filter(there).count() >= self.majority();
            if !(lost && (whole || enough) || whole && self.is_leaving(now, out)) {
                continue;
            }
            let same_place = joins.iter().find(|station| station.address == out.address);
            let others = joins.iter().filter(|station| self.fits(station, Some(out)));
            if let Some(joins) = same_place.or_else(|| self.best_spread(Some(out), others)) {
                return Some(self.following(Some(out), *joins));
            }
        }
        if members.len() < self.config.target_members {
            let more = joins.iter().filter(|station| self.fits(station, None));
            let joins = self.best_spread(None, more).filter(|_| members.iter().all(|m| self.is_voter(m)));
            return joins.map(|joins| self.following(None, *joins));
        }
        self.spreading(now).map(|(out, joins)| self.following(Some(&out), joins))
    }

    /// Whether a view can hold this one in the place of another: no address stands in it twice.
    pub(super) fn fits(&self, joins: &ReplicaId, out: Option<&ReplicaId>) -> bool {
        self.view.members.iter().all(|member| member.address != joins.address || Some(member) == out)
    }

    /// The view that differs in one member.
    fn following(&self, out: Option<&ReplicaId>, joins: ReplicaId) -> Membership {
        let members = &self.view.members;
        let mut next: Vec<ReplicaId> =
            members.iter().filter(|member| Some(*member) != out).copied().collect();
        next.push(joins);
        next.sort();
        let (number, base) = (self.view.epoch.saturating_add(1), members.clone());
        Membership { epoch: number, members: next, previous_members: base, rolled_back: false }
    }

    /// Tries to change the view where that is wished.
    pub(super) fn propose(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        if self.attempt.as_ref().is_some_and(|attempt| now >= attempt.until) {
            self.attempt = None;
            self.back_off(now);
        }
        if !self.voter || self.attempt.is_some() {
            return;
        }
        let undo = self.undoing(now);
        let Some(wish) = undo.clone().or_else(|| self.wish(now)) else {
            self.wishing = false;
            return;
        };
        if !self.wishing {
            self.wishing = true;
            // The first of the view tries first.
            let place = self.view.members.iter().position(|member| *member == self.me).unwrap_or(0);
            let wait = (place as u64 * 80 + self.chance.random_range(0..40)) * MS;
            self.next_try = self.next_try.max(now.saturating_add(wait));
        }
        if now < self.next_try {
            return;
        }
        self.top_round = self.top_round.max(self.promised.round).saturating_add(1);
        let by = {
            let mut name = self.me.address.to_string().into_bytes();
            name.extend_from_slice(&self.me.disk_id.to_be_bytes());
            xxhash_rust::xxh3::xxh3_64(&name)
        };
        let ballot = Ballot { round: self.top_round, proposer: by };
        if ballot <= self.promised {
            return;
        }
        // On disk before anybody hears of it, so that no later life uses the same one.
        self.promised = ballot;
        self.keep_ballots(out);
        self.attempt = Some(Attempt {
            ballot,
            wish,
            undo: undo.is_some(),
            promises: BTreeMap::new(),
            chosen: None,
            accepts: BTreeSet::new(),
            until: now.saturating_add(TRY),
        });
        let (of, body) = match undo {
            Some(_) => (&self.view.previous_members, MessageBody::PrepareRollback(ballot)),
            None => (&self.view.members, MessageBody::Prepare(ballot)),
        };
        for station in of.clone() {
            self.send(station.address, body.clone(), out);
        }
    }

    fn back_off(&mut self, now: Nanos) {
        let wait = self.chance.random_range(50..500) * MS;
        self.next_try = self.next_try.max(now.saturating_add(wait));
    }

    pub(super) fn prepare(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.voter {
            return;
        }
        if ballot < self.promised {
            self.now(from.address, MessageBody::Preempted(self.promised), out);
            return;
        }
        if ballot > self.promised {
            self.promised = ballot;
            self.keep_ballots(out);
        }
        self.send(from.address, MessageBody::Promise { ballot, accepted: self.accepted.clone() }, out);
    }

    pub(super) fn promise(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: Option<(Ballot, Membership)>,
        barred: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut attempt) = self.attempt.take() else { return };
        if attempt.ballot == ballot && attempt.chosen.is_none() && attempt.undo == barred {
            attempt.promises.insert(from, accepted);
            if self.is_most(&attempt, attempt.promises.keys()) {
                self.choose(&mut attempt, out);
            }
        }
        self.attempt = Some(attempt);
    }

    /// Whether these are enough for that try: more than half of the view, or of the one to go back to.
    fn is_most<'a>(&self, attempt: &Attempt, of: impl Iterator<Item = &'a ReplicaId>) -> bool {
        if attempt.undo { self.most_of_base(of) } else { of.count() >= self.majority() }
    }

    /// Enough have promised: the highest view that any of them accepted binds.
    fn choose(&self, attempt: &mut Attempt, out: &mut Vec<Effect>) {
        let before = attempt.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let chosen = match before {
            Some((_, view)) if self.mutant != 8 => view.clone(),
            _ => attempt.wish.clone(),
        };
        attempt.chosen = Some(chosen.clone());
        for station in if attempt.undo { &self.view.previous_members } else { &self.view.members } {
            self.send(station.address, MessageBody::Accept(attempt.ballot, chosen.clone()), out);
        }
    }

    pub(super) fn accept(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        view: Membership,
        out: &mut Vec<Effect>,
    ) {
        // One that left takes part where it has promised to go back.
        let takes_part = self.voter || self.barred;
        if !takes_part || view.epoch.checked_sub(1) != Some(self.view.epoch) {
            return;
        }
        if ballot < self.promised {
            self.now(from.address, MessageBody::Preempted(self.promised), out);
            return;
        }
        if self.accepted.as_ref().is_none_or(|(earlier, _)| *earlier != ballot) || self.promised != ballot {
            self.promised = ballot;
            self.accepted = Some((ballot, view));
            self.keep_ballots(out);
        }
        self.send(from.address, MessageBody::Accepted(ballot), out);
    }

    pub(super) fn accepted(&mut self, now: Nanos, from: ReplicaId, ballot: Ballot, out: &mut Vec<Effect>) {
        let Some(mut attempt) = self.attempt.take() else { return };
        let chosen = attempt.chosen.clone().filter(|_| attempt.ballot == ballot);
        // To go back, only those count that are barred.
        if chosen.is_some() && (self.is_member(&from) || attempt.undo) {
            attempt.accepts.insert(from);
        }
        let counts = |station: &&ReplicaId| !attempt.undo || attempt.promises.contains_key(station);
        let decided = self.is_most(&attempt, attempt.accepts.iter().filter(counts));
        self.attempt = Some(attempt);
        let Some(view) = chosen.filter(|_| decided) else { return };
        let mut tell = self.all_known();
        tell.extend(view.members.iter().map(|station| station.address));
        tell.remove(&self.me.address);
        self.adopt(now, view, out);
        for at in tell {
            self.now(at, MessageBody::MembershipAnnouncement(self.view.clone()), out);
        }
    }

    pub(super) fn outbid(&mut self, now: Nanos, ballot: Ballot) {
        self.top_round = self.top_round.max(ballot.round);
        if self.attempt.as_ref().is_some_and(|attempt| attempt.ballot < ballot) {
            self.attempt = None;
            self.back_off(now);
        }
    }
}
