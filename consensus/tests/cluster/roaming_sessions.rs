//! What must always hold of sessions: one change has each term, terms never go back for whoever asks a majority, and
//! every committed owner and binding is followed by the later ones.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_consensus::messages::*;

use super::PendingRequest;

#[derive(Clone, Default)]
pub struct RoamingSessions {
    /// Every change that a replica accepted, and every committed one.
    accepted_changes: BTreeMap<(SessionId, u64), CommittedSession>,
    committed: BTreeMap<(SessionId, u64), CommittedSession>,
    /// The binding that each binding replaces, by its id; no id is requested twice.
    bindings: BTreeMap<String, Option<String>>,
    forgotten: BTreeSet<SessionId>,
    pub owner_changes: u64,
    pub last: BTreeMap<SessionId, CommittedSession>,
}

impl RoamingSessions {
    pub fn record_request(&mut self, session: SessionId, request: &SessionRequest) -> PendingRequest {
        if let SessionRequest::Bind { current_upstream_id: was, binding, .. } = request {
            self.bindings.insert(binding.upstream_id.clone(), was.clone());
        }
        if *request == SessionRequest::Forget {
            self.forgotten.insert(session);
        }
        // What a replica answers to a renewal by itself may be outdated.
        let floor = (!matches!(request, SessionRequest::Renew(_))).then(|| self.floor(session));
        PendingRequest::Session { session, floor }
    }

    pub fn floor(&self, session: SessionId) -> u64 {
        self.last.get(&session).map_or(0, |committed| committed.term)
    }

    pub fn check_record(&mut self, effect: &Effect) -> Option<String> {
        let Effect::Persist(LogRecord::Session(session, SessionRecord { accepted: Some(committed), .. })) =
            effect
        else {
            return None;
        };
        let first =
            self.accepted_changes.entry((*session, committed.term)).or_insert_with(|| committed.clone());
        (first != committed).then(|| format!("two changes of one term: {first:?} and {committed:?}"))
    }

    pub fn check_response(
        &mut self,
        session: SessionId,
        floor: Option<u64>,
        committed: Option<CommittedSession>,
    ) -> Option<String> {
        let floor = floor?;
        let Some(committed) = committed else {
            return (floor > 0).then(|| format!("session {session} is lost"));
        };
        if committed.term <= floor {
            return Some(format!("session {session} at {} where {floor} was known", committed.term));
        }
        let before = self.committed.range((session, 0)..(session, committed.term));
        let wrong =
            before.map(|(_, was)| self.check_succession(session, was, &committed)).find(Option::is_some);
        self.owner_changes +=
            u64::from(committed.ownership.owner.is_some_and(|owner| owner.since_term == committed.term));
        if self.floor(session) < committed.term {
            self.last.insert(session, committed.clone());
        }
        self.committed.insert((session, committed.term), committed);
        wrong.flatten()
    }

    fn check_succession(
        &self,
        session: SessionId,
        was: &CommittedSession,
        now: &CommittedSession,
    ) -> Option<String> {
        // A session that was forgotten has no owner and is followed by its previous one.
        let mut owner = now.ownership.owner.or(now.ownership.previous_owner);
        while owner != was.ownership.owner.or(was.ownership.previous_owner) {
            let Some(since) = owner.map(|owner| owner.since_term) else {
                return Some(format!("{was:?} is not followed by {now:?}"));
            };
            owner =
                self.accepted_changes.get(&(session, since)).and_then(|taken| taken.ownership.previous_owner);
        }
        let mut binding = now.ownership.binding.as_ref().map(|binding| binding.upstream_id.clone());
        let was_tie = was.ownership.binding.as_ref().map(|binding| binding.upstream_id.clone());
        while binding != was_tie && !self.forgotten.contains(&session) {
            let Some(id) = binding else { return Some(format!("the binding of {was:?} is lost in {now:?}")) };
            binding = self.bindings.get(&id).cloned().flatten();
        }
        None
    }
}
