//! What must always hold of sessions: one holding at an epoch, epochs that never go back for who asks more than half, no
//! agreed holder or tie that a later one does not follow.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_consensus::messages::*;

use super::Asked;

#[derive(Clone, Default)]
pub struct People {
    /// All that any steward ever took, and all that was agreed.
    taken: BTreeMap<(SessionId, u64), CommittedSession>,
    agreed: BTreeMap<(SessionId, u64), CommittedSession>,
    /// What each tie was to follow, by its id; none is wished twice.
    ties: BTreeMap<String, Option<String>>,
    dropped: BTreeSet<SessionId>,
    pub moves: u64,
    pub last: BTreeMap<SessionId, CommittedSession>,
}

impl People {
    pub fn asks(&mut self, session: SessionId, wish: &SessionRequest) -> Asked {
        if let SessionRequest::Bind { current_upstream_id: was, binding: tie, .. } = wish {
            self.ties.insert(tie.upstream_id.clone(), was.clone());
        }
        if *wish == SessionRequest::Forget {
            self.dropped.insert(session);
        }
        // What the asked one holds by itself may be outdated.
        let floor = (!matches!(wish, SessionRequest::Renew(_))).then(|| self.floor(session));
        Asked::Session { session, floor }
    }

    pub fn floor(&self, session: SessionId) -> u64 {
        self.last.get(&session).map_or(0, |agreed| agreed.term)
    }

    pub fn writes(&mut self, act: &Effect) -> Option<String> {
        let Effect::Persist(LogRecord::Session(session, SessionRecord { accepted: Some(agreed), .. })) = act
        else {
            return None;
        };
        let first = self.taken.entry((*session, agreed.term)).or_insert_with(|| agreed.clone());
        (first != agreed).then(|| format!("two at one epoch: {first:?} and {agreed:?}"))
    }

    pub fn answered(
        &mut self,
        session: SessionId,
        floor: Option<u64>,
        agreed: Option<CommittedSession>,
    ) -> Option<String> {
        let floor = floor?;
        let Some(agreed) = agreed else {
            return (floor > 0).then(|| format!("session {session} is lost"));
        };
        if agreed.term <= floor {
            return Some(format!("session {session} at {} where {floor} was known", agreed.term));
        }
        let before = self.agreed.range((session, 0)..(session, agreed.term));
        let wrong = before.map(|(_, was)| self.follows(session, was, &agreed)).find(Option::is_some);
        self.moves +=
            u64::from(agreed.ownership.owner.is_some_and(|holder| holder.since_term == agreed.term));
        if self.floor(session) < agreed.term {
            self.last.insert(session, agreed.clone());
        }
        self.agreed.insert((session, agreed.term), agreed);
        wrong.flatten()
    }

    fn follows(&self, session: SessionId, was: &CommittedSession, now: &CommittedSession) -> Option<String> {
        // One that was dropped has none, and is followed by who had it before.
        let mut holder = now.ownership.owner.or(now.ownership.previous_owner);
        while holder != was.ownership.owner.or(was.ownership.previous_owner) {
            let Some(since) = holder.map(|holder| holder.since_term) else {
                return Some(format!("{was:?} is not followed by {now:?}"));
            };
            holder = self.taken.get(&(session, since)).and_then(|taken| taken.ownership.previous_owner);
        }
        let mut tie = now.ownership.binding.as_ref().map(|tie| tie.upstream_id.clone());
        let was_tie = was.ownership.binding.as_ref().map(|tie| tie.upstream_id.clone());
        while tie != was_tie && !self.dropped.contains(&session) {
            let Some(id) = tie else { return Some(format!("the tie of {was:?} is lost in {now:?}")) };
            tie = self.ties.get(&id).cloned().flatten();
        }
        None
    }
}
