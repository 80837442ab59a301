//! Which gate has a person's session, and which upstream it is tied to. It owns the records of sessions, the calls that
//! change them, and how long they are kept. It must never tell a holding that less than half holds, nor let two tokens
//! have one epoch.
//!
//! Why it holds. A change asks more than half first to take nothing of a lower epoch, and is told what they took last:
//! the latest of that is what it changes. Then it has more than half hold the change. A voter gives an epoch to one
//! token, so of two that change a session at once at most one has it; the other sees what came of it and goes on above.
//! Whatever more than half hold is therefore among what each later change is told. A new member of a view takes the
//! highest of what it is told, promises too: else what one voter alone took in an earlier view could come back with a
//! higher epoch than what was agreed since. Where it is told of two tokens at one epoch it gives that epoch to neither.

use super::*;
use crate::messages::{
    CommittedSession, SessionId, SessionMessage, SessionOwner, SessionOwnership, SessionRecord,
    SessionRequest,
};

/// A session that nobody has used for so long is forgotten.
pub const SESSION_IDLE: Nanos = 900_000 * MS;
/// A change is tried for so long.
const GATHER: Nanos = 1_000 * MS;
/// After so many tries that were outbid the next one waits a little.
const AT_ONCE: u32 = 2;
const MOST_CALLS: usize = 4_096;
const NOBODY: LeaseToken = 0;

/// The records that this steward holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    kept: BTreeMap<SessionId, (SessionRecord, Nanos)>,
    expiry: BTreeSet<(Nanos, SessionId)>,
    calls: BTreeSet<u64>,
    counts: SessionCounts,
}

/// What this steward has seen of sessions since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Held now.
    pub sessions: usize,
    /// Changes agreed through this steward: of the gate, and of the tie.
    pub moves: u64,
    pub ties: u64,
    /// Dropped for want of room, the ones that were not used for longest.
    pub dropped: u64,
}

/// A call that changes a session.
#[derive(Clone, Debug)]
pub(super) struct Changing {
    session: SessionId,
    wish: SessionRequest,
    began: Nanos,
    pub timer: Nanos,
    epoch: u64,
    token: LeaseToken,
    /// The highest epoch that others were told to have.
    seen: u64,
    tries: u32,
    heard: BTreeMap<ReplicaId, Option<CommittedSession>>,
    /// What is to be held, once more than half were heard.
    change: Option<CommittedSession>,
    held: BTreeSet<ReplicaId>,
    outbid: BTreeSet<ReplicaId>,
    /// The change is one of the gate, of the tie.
    moves: bool,
    ties: bool,
}

/// What a wish makes of a holding; nothing where there is nothing to be changed or kept.
fn changed(wish: &SessionRequest, was: Option<&SessionOwnership>, epoch: u64) -> Option<SessionOwnership> {
    match wish {
        SessionRequest::Acquire { outbound_proxy: gate, above_term: above } => Some(match was {
            Some(was)
                if was
                    .owner
                    .is_some_and(|holder| holder.outbound_proxy == *gate && holder.since_term >= *above) =>
            {
                was.clone()
            }
            was => SessionOwnership {
                binding: was.and_then(|was| was.binding.clone()),
                owner: Some(SessionOwner { outbound_proxy: *gate, since_term: epoch }),
                previous_owner: was.and_then(|was| was.owner.or(was.previous_owner)),
            },
        }),
        SessionRequest::Bind { owner: holder, current_upstream_id: id, binding: tie } => was.map(|was| {
            let ours = was.owner == Some(*holder);
            let same = was.binding.as_ref().map(|tie| &tie.upstream_id) == id.as_ref();
            SessionOwnership {
                binding: if ours && same { Some(tie.clone()) } else { was.binding.clone() },
                ..was.clone()
            }
        }),
        SessionRequest::Forget => was.map(|was| SessionOwnership {
            previous_owner: was.owner.or(was.previous_owner),
            ..SessionOwnership::default()
        }),
        SessionRequest::Read | SessionRequest::Renew(_) => was.cloned(),
    }
}

impl Core {
    pub fn session_counts(&self) -> SessionCounts {
        SessionCounts { sessions: self.sessions.kept.len(), ..self.sessions.counts }
    }

    pub(super) fn session_wanted(
        &mut self,
        now: Nanos,
        call: u64,
        session: SessionId,
        wish: SessionRequest,
        out: &mut Vec<Effect>,
    ) {
        if let SessionRequest::Renew(_) = wish {
            for station in self.others() {
                self.post
                    .entry(station.address)
                    .or_default()
                    .session_asks
                    .push(SessionMessage::Renew(session));
            }
            self.renewed(session);
            let taken = self.sessions.kept.get(&session).and_then(|(entry, _)| entry.accepted.clone());
            out.push(Effect::Respond { call, response: CoreResponse::Session(taken) });
            return;
        }
        if self.sessions.calls.len() >= MOST_CALLS {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
            return;
        }
        let seen = if let SessionRequest::Acquire { above_term: above, .. } = &wish { *above } else { 0 };
        let timer = now.saturating_add(AGAIN);
        let changing = Changing {
            session,
            wish,
            began: now,
            timer,
            epoch: 0,
            token: NOBODY,
            seen,
            tries: 0,
            heard: BTreeMap::new(),
            change: None,
            held: BTreeSet::new(),
            outbid: BTreeSet::new(),
            moves: false,
            ties: false,
        };
        self.timers.insert((timer, call));
        self.calls.insert(call, Call::Session(Box::new(changing)));
        self.sessions.calls.insert(call);
        self.try_change(call, out);
    }

    pub(super) fn session_forgotten(&mut self, call: u64) {
        self.sessions.calls.remove(&call);
    }

    /// Begins anew, at an epoch above all that is known, which nobody has used.
    fn try_change(&mut self, call: u64, out: &mut Vec<Effect>) {
        let token = self.chance.random_range(1..=u64::MAX);
        let Some(Call::Session(changing)) = self.calls.get_mut(&call) else { return };
        let own = self.sessions.kept.get(&changing.session).map_or(0, |(entry, _)| entry.term);
        let last = changing.seen.max(own).max(changing.epoch);
        if last == u64::MAX {
            return; // Nobody gets so far; its time will be over.
        }
        changing.epoch = last + 1;
        changing.token = token;
        changing.tries += 1;
        changing.heard.clear();
        changing.held.clear();
        changing.outbid.clear();
        changing.change = None;
        let (session, epoch) = (changing.session, changing.epoch);
        let id = call ^ self.salt;
        self.tell_all(SessionMessage::Prepare { call: id, session, term: epoch, token }, out);
    }

    /// To all of the view; oneself is asked at once.
    fn tell_all(&mut self, said: SessionMessage, out: &mut Vec<Effect>) {
        for station in self.others() {
            self.post.entry(station.address).or_default().session_asks.push(said.clone());
        }
        if self.is_member(&self.me) {
            self.asked_session(self.me, said, out);
        }
    }

    /// What another says in this steward's view.
    pub(super) fn said_of_sessions(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        (same, member): (bool, bool),
        list: Vec<SessionMessage>,
        out: &mut Vec<Effect>,
    ) {
        for said in list {
            match said {
                SessionMessage::Prepare { .. } | SessionMessage::Accept { .. } if same => {
                    self.asked_session(from, said, out)
                }
                SessionMessage::Promise { call, term: epoch, accepted: taken } if member => {
                    self.session_heard(call ^ self.salt, from, epoch, taken, out);
                }
                SessionMessage::Accepted { call, term: epoch } if member => {
                    self.session_held(call ^ self.salt, from, epoch, out);
                }
                SessionMessage::Preempted { call, term: epoch } if member => {
                    self.session_outbid(now, call ^ self.salt, from, epoch, out);
                }
                SessionMessage::Renew(session) => self.renewed(session),
                _ => {}
            }
        }
    }

    /// One asks to be promised an epoch, or to have a change held. No word where this one may not vote.
    fn asked_session(&mut self, from: ReplicaId, said: SessionMessage, out: &mut Vec<Effect>) {
        if !self.voter {
            return;
        }
        let (call, session, epoch, token, agreed) = match said {
            SessionMessage::Prepare { call, session, term: epoch, token } => {
                (call, session, epoch, token, None)
            }
            SessionMessage::Accept { call, session, change: agreed } => {
                (call, session, agreed.term, agreed.token, Some(agreed))
            }
            _ => return,
        };
        let known = self.sessions.kept.get(&session);
        let last = known.map_or((0, NOBODY), |(entry, _)| (entry.term, entry.token));
        let first = epoch > last.0
            || epoch == last.0 && (token == last.1 || self.mutant == 22)
            || self.mutant == 23 && agreed.is_some();
        let taken = known.and_then(|(entry, _)| entry.accepted.clone());
        let reply = if !first || token == NOBODY {
            SessionMessage::Preempted { call, term: last.0 }
        } else {
            let holds = agreed.is_some();
            let kept = agreed.or_else(|| taken.clone());
            self.write_session(session, SessionRecord { term: epoch, token, accepted: kept }, out);
            if holds {
                SessionMessage::Accepted { call, term: epoch }
            } else {
                SessionMessage::Promise { call, term: epoch, accepted: taken }
            }
        };
        self.post.entry(from.address).or_default().session_replies.push(reply);
    }

    fn session_heard(
        &mut self,
        call: u64,
        from: ReplicaId,
        epoch: u64,
        taken: Option<CommittedSession>,
        out: &mut Vec<Effect>,
    ) {
        let (most, mutant) = (self.majority(), self.mutant);
        let Some(Call::Session(changing)) = self.calls.get_mut(&call) else { return };
        if changing.epoch != epoch || changing.change.is_some() {
            return;
        }
        changing.heard.insert(from, taken);
        if changing.heard.len() < most {
            return;
        }
        let told = changing.heard.values().flatten();
        let last = if mutant == 24 { told.min_by_key(|a| a.term) } else { told.max_by_key(|a| a.term) };
        let Some(holding) = changed(&changing.wish, last.map(|last| &last.ownership), epoch) else {
            self.answer(call, CoreResponse::Session(None), out);
            return;
        };
        let was = last.map(|last| &last.ownership);
        changing.moves = was.is_some_and(|was| was.owner != holding.owner);
        changing.ties = was.is_some_and(|was| was.binding != holding.binding);
        let agreed = CommittedSession { term: epoch, token: changing.token, ownership: holding };
        changing.change = Some(agreed.clone());
        changing.outbid.clear();
        let session = changing.session;
        self.tell_all(SessionMessage::Accept { call: call ^ self.salt, session, change: agreed }, out);
    }

    fn session_held(&mut self, call: u64, from: ReplicaId, epoch: u64, out: &mut Vec<Effect>) {
        let most = self.majority();
        let Some(Call::Session(changing)) = self.calls.get_mut(&call) else { return };
        if changing.epoch != epoch || changing.change.is_none() {
            return;
        }
        changing.held.insert(from);
        if changing.held.len() >= most {
            let agreed = changing.change.take();
            self.sessions.counts.moves += u64::from(changing.moves);
            self.sessions.counts.ties += u64::from(changing.ties);
            self.answer(call, CoreResponse::Session(agreed), out);
        }
    }

    /// So many were there first that more than half can't be had: it goes on above them, later where that is in vain.
    fn session_outbid(&mut self, now: Nanos, call: u64, from: ReplicaId, epoch: u64, out: &mut Vec<Effect>) {
        let (most, voters) = (self.majority(), self.view.members.len());
        let wait = self.chance.random_range(2..40) * MS;
        let Some(Call::Session(changing)) = self.calls.get_mut(&call) else { return };
        // Word of an earlier try says nothing of this one.
        if epoch < changing.epoch {
            return;
        }
        changing.seen = changing.seen.max(epoch);
        changing.outbid.insert(from);
        if voters.saturating_sub(changing.outbid.len()) >= most {
            return;
        }
        if changing.tries <= AT_ONCE {
            self.try_change(call, out);
        } else {
            let before = std::mem::replace(&mut changing.timer, now.saturating_add(wait));
            let timer = changing.timer;
            self.timers.remove(&(before, call));
            self.timers.insert((timer, call));
        }
    }

    pub(super) fn session_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Session(changing)) = self.calls.get_mut(&call) else { return };
        if now >= changing.began.saturating_add(GATHER) {
            self.answer(call, CoreResponse::Unavailable, out);
            return;
        }
        changing.timer = now.saturating_add(AGAIN);
        let timer = changing.timer;
        self.timers.insert((timer, call));
        self.try_change(call, out);
    }

    /// The view is another one, or this steward votes now: what was heard and held does not count any more.
    pub(super) fn sessions_anew(&mut self, out: &mut Vec<Effect>) {
        for call in self.sessions.calls.clone() {
            self.try_change(call, out);
        }
    }

    /// For a new member: what lies from one place to another, and where it would have to be cut.
    pub(super) fn sessions_from(
        &self,
        from: u128,
        to: Option<u128>,
    ) -> (Vec<(SessionId, SessionRecord)>, Option<u128>) {
        let mut part = Vec::new();
        for (session, (entry, _)) in self.sessions.kept.range(from..) {
            if to.is_some_and(|to| *session >= to) {
                break;
            }
            if part.len() >= MOST_IN_LETTER {
                return (part, Some(*session));
            }
            part.push((*session, entry.clone()));
        }
        (part, to)
    }

    /// Takes over what another voter holds.
    pub(super) fn merge_session(&mut self, session: SessionId, theirs: SessionRecord, out: &mut Vec<Effect>) {
        if self.mutant == 25 || self.mutant == 40 && theirs.accepted.is_none() {
            return;
        }
        let mine =
            self.sessions.kept.get(&session).map_or_else(SessionRecord::default, |(entry, _)| entry.clone());
        let token = match theirs.term.cmp(&mine.term) {
            std::cmp::Ordering::Greater => theirs.token,
            // Whoever had it asked in an earlier view, where its letters end: it is nobody's any more.
            std::cmp::Ordering::Equal if theirs.token != mine.token => NOBODY,
            _ => mine.token,
        };
        let rank = |taken: &Option<CommittedSession>| taken.as_ref().map_or(0, |agreed| agreed.term);
        let epoch = theirs.term.max(mine.term);
        let taken = if rank(&theirs.accepted) > rank(&mine.accepted) {
            theirs.accepted
        } else {
            mine.accepted.clone()
        };
        let merged = SessionRecord { term: epoch, token, accepted: taken };
        if merged != mine {
            self.write_session(session, merged, out);
        }
    }

    fn write_session(&mut self, session: SessionId, entry: SessionRecord, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(LogRecord::Session(session, entry.clone())));
        self.put_session(session, entry);
        while self.sessions.kept.len() > self.config.max_leases {
            let Some(&(until, oldest)) = self.sessions.expiry.first() else { return };
            self.sessions.counts.dropped += 1;
            self.drop_session(until, oldest, out);
        }
    }

    /// Keeps it for as long as that is, from now.
    pub(super) fn put_session(&mut self, session: SessionId, entry: SessionRecord) {
        let until = self.now.saturating_add(SESSION_IDLE);
        if let Some((_, before)) = self.sessions.kept.insert(session, (entry, until)) {
            self.sessions.expiry.remove(&(before, session));
        }
        self.sessions.expiry.insert((until, session));
    }

    fn renewed(&mut self, session: SessionId) {
        if let Some((entry, _)) = self.sessions.kept.get(&session) {
            let entry = entry.clone();
            self.put_session(session, entry);
        }
    }

    fn drop_session(&mut self, until: Nanos, session: SessionId, out: &mut Vec<Effect>) {
        self.sessions.expiry.remove(&(until, session));
        if self.sessions.kept.remove(&session).is_some() {
            out.push(Effect::Persist(LogRecord::SessionEnded(session)));
        }
    }

    pub(super) fn expire_sessions(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(&(until, session)) = self.sessions.expiry.first() {
            if until > now {
                break;
            }
            self.drop_session(until, session, out);
        }
    }

    pub(super) fn session_records(&self) -> impl Iterator<Item = LogRecord> {
        self.sessions.kept.iter().map(|(session, (entry, _))| LogRecord::Session(*session, entry.clone()))
    }
}
