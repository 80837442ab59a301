//! Sessions: which outbound proxy owns a session, and which upstream it is bound to.
//!
//! Main types: `Sessions` holds the stored records, `PendingSessionChange` is a call.
//!
//! Invariants:
//! - An ownership is reported only if a majority stores it.
//! - No two tokens have the same term of a session.
//!
//! Safety: a change first asks a majority to promise to accept no lower term, and learns which change each of them
//! accepted last. It builds on the latest of these, and then a majority has to store the new change. An acceptor grants
//! a term to one token, so at most one of two concurrent changes gets it; the other one learns of the result and
//! continues in a higher term. So whatever a majority stores is reported to each later change. A new member keeps the
//! highest term that it receives, from promises as well; otherwise a change that one voter alone accepted in an earlier
//! epoch could come back with a higher term than what was committed since. If it receives two tokens for one term, it
//! grants the term to neither.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::core::calls::{Call, PendingSessionChange};
use crate::core::limits::{MS, NO_HOLDER, Nanos, RETRY_INTERVAL};
use crate::core::mutation::Mutation;
use crate::core::session_table::{SessionCounts, apply_request};
use crate::core::{Core, Sender};
use crate::messages::{
    CommittedSession, CoreResponse, Effect, ReplicaId, SessionId, SessionMessage, SessionRecord,
    SessionRequest,
};

/// A change of a session that is not committed within this time is answered `Unavailable`.
const SESSION_TIMEOUT: Nanos = 1_000 * MS;

/// After this many preempted rounds the next one is delayed by a random time.
const MAX_IMMEDIATE_ROUNDS: u32 = 2;

/// How many calls on sessions may wait.
const MAX_SESSION_CALLS: usize = 4_096;

impl Core {
    /// Session counters.
    pub fn session_counts(&self) -> SessionCounts {
        self.sessions.counts()
    }

    /// Starts a request on a session.
    pub(super) fn begin_session_request(
        &mut self,
        now: Nanos,
        call: u64,
        session: SessionId,
        request: SessionRequest,
        out: &mut Vec<Effect>,
    ) {
        if let SessionRequest::Renew(_) = request {
            for replica in self.others() {
                self.outbox.queue(replica.address).session_requests.push(SessionMessage::Renew(session));
            }
            self.sessions.renew(self.now, session);
            let accepted = self.sessions.get(session).and_then(|record| record.accepted.clone());
            out.push(Effect::Respond { call, response: CoreResponse::Session(accepted) });
            return;
        }
        if self.sessions.calls.len() >= MAX_SESSION_CALLS {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
            return;
        }
        let highest_term_seen =
            if let SessionRequest::Acquire { above_term, .. } = &request { *above_term } else { 0 };
        let timer = now.saturating_add(RETRY_INTERVAL);
        let pending = PendingSessionChange {
            session,
            request,
            started_at: now,
            timer,
            term: 0,
            token: NO_HOLDER,
            highest_term_seen,
            rounds: 0,
            promises: BTreeMap::new(),
            change: None,
            accepted_by: BTreeSet::new(),
            preempted_by: BTreeSet::new(),
            changes_owner: false,
            changes_binding: false,
        };
        self.pending_calls.insert(call, Call::Session(Box::new(pending)));
        self.sessions.calls.insert(call);
        self.begin_session_round(call, out);
    }

    pub(super) fn forget_session_call(&mut self, call: u64) {
        self.sessions.calls.remove(&call);
    }

    /// Starts a round in a new term above all known ones.
    fn begin_session_round(&mut self, call: u64, out: &mut Vec<Effect>) {
        let token = self.rng.random_range(1..=u64::MAX);
        let Some(Call::Session(pending)) = self.pending_calls.get_mut(call) else { return };
        let own_term = self.sessions.get(pending.session).map_or(0, |record| record.term);
        let last_term = pending.highest_term_seen.max(own_term).max(pending.term);
        if last_term == u64::MAX {
            return; // All terms are used up; the call ends at its timeout.
        }
        pending.term = last_term + 1;
        pending.token = token;
        pending.rounds += 1;
        pending.promises.clear();
        pending.accepted_by.clear();
        pending.preempted_by.clear();
        pending.change = None;
        let (session, term) = (pending.session, pending.term);
        let id = self.pending_calls.wire_id(call);
        self.broadcast_session_message(SessionMessage::Prepare { call: id, session, term, token }, out);
    }

    /// Sends a request to all other members, and handles it here at once.
    fn broadcast_session_message(&mut self, message: SessionMessage, out: &mut Vec<Effect>) {
        for replica in self.others() {
            self.outbox.queue(replica.address).session_requests.push(message.clone());
        }
        if self.is_member(&self.replica_id) {
            self.handle_session_acceptor_request(self.replica_id, message, out);
        }
    }

    /// Handles messages of another replica about sessions.
    pub(super) fn handle_session_messages(
        &mut self,
        now: Nanos,
        sender: Sender,
        messages: Vec<SessionMessage>,
        out: &mut Vec<Effect>,
    ) {
        for message in messages {
            match message {
                SessionMessage::Prepare { .. } | SessionMessage::Accept { .. } if sender.same_epoch => {
                    self.handle_session_acceptor_request(sender.replica, message, out)
                }
                SessionMessage::Promise { call, term, accepted } if sender.is_member => {
                    self.handle_session_promise(
                        self.pending_calls.wire_id(call),
                        sender.replica,
                        term,
                        accepted,
                        out,
                    );
                }
                SessionMessage::Accepted { call, term } if sender.is_member => {
                    self.handle_session_accepted(self.pending_calls.wire_id(call), sender.replica, term, out);
                }
                SessionMessage::Preempted { call, term } if sender.is_member => {
                    self.handle_session_preempted(
                        now,
                        self.pending_calls.wire_id(call),
                        sender.replica,
                        term,
                        out,
                    );
                }
                SessionMessage::Renew(session) => self.sessions.renew(self.now, session),
                _ => {}
            }
        }
    }

    /// Handles a request to promise a term, or to accept a change. A replica that may not vote does not
    /// answer.
    fn handle_session_acceptor_request(
        &mut self,
        from: ReplicaId,
        message: SessionMessage,
        out: &mut Vec<Effect>,
    ) {
        if !self.voting.voter {
            return;
        }
        let (call, session, term, token, change) = match message {
            SessionMessage::Prepare { call, session, term, token } => (call, session, term, token, None),
            SessionMessage::Accept { call, session, change } => {
                (call, session, change.term, change.token, Some(change))
            }
            _ => return,
        };
        let known = self.sessions.get(session);
        let (last_term, last_token) = known.map_or((0, NO_HOLDER), |record| (record.term, record.token));
        let may_accept = term > last_term
            || term == last_term
                && (token == last_token || self.breaks(Mutation::GiveSessionTermToTwoTokens))
            || self.breaks(Mutation::AcceptLowerSessionTerm) && change.is_some();
        let accepted = known.and_then(|record| record.accepted.clone());
        let reply = if !may_accept || token == NO_HOLDER {
            SessionMessage::Preempted { call, term: last_term }
        } else {
            let is_change = change.is_some();
            let stored = change.or_else(|| accepted.clone());
            self.sessions.store(self.now, session, SessionRecord { term, token, accepted: stored }, out);
            if is_change {
                SessionMessage::Accepted { call, term }
            } else {
                SessionMessage::Promise { call, term, accepted }
            }
        };
        self.outbox.queue(from.address).session_replies.push(reply);
    }

    /// Counts a promise. Once a majority has promised, proposes a change of the latest reported ownership.
    fn handle_session_promise(
        &mut self,
        call: u64,
        from: ReplicaId,
        term: u64,
        accepted: Option<CommittedSession>,
        out: &mut Vec<Effect>,
    ) {
        let (majority, mutation) = (self.majority(), self.mutation);
        let Some(Call::Session(pending)) = self.pending_calls.get_mut(call) else { return };
        if pending.term != term || pending.change.is_some() {
            return;
        }
        pending.promises.insert(from, accepted);
        if pending.promises.len() < majority {
            return;
        }
        let accepted = pending.promises.values().flatten();
        let last = if mutation == Some(Mutation::FollowEarliestSessionChange) {
            accepted.min_by_key(|change| change.term)
        } else {
            accepted.max_by_key(|change| change.term)
        };
        let Some(ownership) = apply_request(&pending.request, last.map(|last| &last.ownership), term) else {
            self.respond(call, CoreResponse::Session(None), out);
            return;
        };
        let previous = last.map(|last| &last.ownership);
        pending.changes_owner = previous.is_some_and(|previous| previous.owner != ownership.owner);
        pending.changes_binding = previous.is_some_and(|previous| previous.binding != ownership.binding);
        let change = CommittedSession { term, token: pending.token, ownership };
        pending.change = Some(change.clone());
        pending.preempted_by.clear();
        let session = pending.session;
        self.broadcast_session_message(
            SessionMessage::Accept { call: self.pending_calls.wire_id(call), session, change },
            out,
        );
    }

    /// Counts an acceptance; answers the call once a majority has accepted.
    fn handle_session_accepted(&mut self, call: u64, from: ReplicaId, term: u64, out: &mut Vec<Effect>) {
        let majority = self.majority();
        let Some(Call::Session(pending)) = self.pending_calls.get_mut(call) else { return };
        if pending.term != term || pending.change.is_none() {
            return;
        }
        pending.accepted_by.insert(from);
        if pending.accepted_by.len() >= majority {
            let committed = pending.change.take();
            self.sessions.count_changes(pending.changes_owner, pending.changes_binding);
            self.respond(call, CoreResponse::Session(committed), out);
        }
    }

    /// Counts a preemption. Once a majority can't be reached any more, the next round starts above all terms seen,
    /// after a random delay if more than `MAX_IMMEDIATE_ROUNDS` rounds have failed.
    fn handle_session_preempted(
        &mut self,
        now: Nanos,
        call: u64,
        from: ReplicaId,
        term: u64,
        out: &mut Vec<Effect>,
    ) {
        let (majority, voters) = (self.majority(), self.voting.membership.members.len());
        let backoff = self.rng.random_range(2..40) * MS;
        let Some(Call::Session(pending)) = self.pending_calls.get_mut(call) else { return };
        // A preemption of an earlier round says nothing about this one.
        if term < pending.term {
            return;
        }
        pending.highest_term_seen = pending.highest_term_seen.max(term);
        pending.preempted_by.insert(from);
        if voters.saturating_sub(pending.preempted_by.len()) >= majority {
            return;
        }
        if pending.rounds <= MAX_IMMEDIATE_ROUNDS {
            self.begin_session_round(call, out);
        } else {
            self.pending_calls.reschedule(call, now.saturating_add(backoff));
        }
    }

    pub(super) fn handle_session_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Session(pending)) = self.pending_calls.get_mut(call) else { return };
        if now >= pending.started_at.saturating_add(SESSION_TIMEOUT) {
            self.respond(call, CoreResponse::Unavailable, out);
            return;
        }
        self.pending_calls.reschedule(call, now.saturating_add(RETRY_INTERVAL));
        self.begin_session_round(call, out);
    }

    /// Restarts all calls after a change of the membership, because answers count only in the epoch in which they were
    /// given.
    pub(super) fn restart_session_calls(&mut self, out: &mut Vec<Effect>) {
        for call in self.sessions.calls.clone() {
            self.begin_session_round(call, out);
        }
    }

    /// Merges a session from another voter's snapshot.
    pub(super) fn merge_session(&mut self, session: SessionId, theirs: SessionRecord, out: &mut Vec<Effect>) {
        if self.breaks(Mutation::IgnoreSessionsOfSnapshot)
            || self.breaks(Mutation::IgnoreSessionPromises) && theirs.accepted.is_none()
        {
            return;
        }
        self.sessions.merge(self.now, session, theirs, out);
    }
}
