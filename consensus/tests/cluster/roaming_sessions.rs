//! Checks the invariants of sessions: each term has one change, a committed answer has a higher term than any
//! that was known when its request started, and each committed owner and binding follows from the previous ones.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_consensus::messages::*;

use super::PendingRequest;

#[derive(Clone, Default)]
pub struct RoamingSessions {
    /// Every change that a replica accepted, and every committed one.
    accepted_changes: BTreeMap<(SessionId, u64), CommittedSession>,
    committed: BTreeMap<(SessionId, u64), CommittedSession>,
    /// The upstream id that each binding replaces, by its own; no id is requested twice.
    bindings: BTreeMap<String, Option<String>>,
    removed: BTreeSet<SessionId>,
    pub owner_changes: u64,
    pub last: BTreeMap<SessionId, CommittedSession>,
}

impl RoamingSessions {
    pub fn record_request(&mut self, session: SessionId, request: &SessionRequest) -> PendingRequest {
        if let SessionRequest::Bind { current_upstream_id: was, binding, .. } = request {
            self.bindings.insert(binding.upstream_id.clone(), was.clone());
        }
        if *request == SessionRequest::Forget {
            self.removed.insert(session);
        }
        // A replica answers a renewal from its own state, which may be outdated.
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
            return Some(format!(
                "session {session} has term {}, though term {floor} was known",
                committed.term
            ));
        }
        let earlier = self.committed.range((session, 0)..(session, committed.term));
        let violation = earlier
            .map(|(_, previous)| self.check_succession(session, previous, &committed))
            .find(Option::is_some);
        self.owner_changes +=
            u64::from(committed.ownership.owner.is_some_and(|owner| owner.since_term == committed.term));
        if self.floor(session) < committed.term {
            self.last.insert(session, committed.clone());
        }
        self.committed.insert((session, committed.term), committed);
        violation.flatten()
    }

    fn check_succession(
        &self,
        session: SessionId,
        previous: &CommittedSession,
        now: &CommittedSession,
    ) -> Option<String> {
        // A session that was removed has no owner; its previous owner stands for it.
        let mut owner = now.ownership.owner.or(now.ownership.previous_owner);
        while owner != previous.ownership.owner.or(previous.ownership.previous_owner) {
            let Some(since) = owner.map(|owner| owner.since_term) else {
                return Some(format!("the owner of {now:?} does not follow from {previous:?}"));
            };
            owner = self
                .accepted_changes
                .get(&(session, since))
                .and_then(|accepted| accepted.ownership.previous_owner);
        }
        let mut binding = now.ownership.binding.as_ref().map(|binding| binding.upstream_id.clone());
        let previous_binding = previous.ownership.binding.as_ref().map(|binding| binding.upstream_id.clone());
        while binding != previous_binding && !self.removed.contains(&session) {
            let Some(id) = binding else {
                return Some(format!("the binding of {now:?} does not follow from {previous:?}"));
            };
            binding = self.bindings.get(&id).cloned().flatten();
        }
        None
    }
}
