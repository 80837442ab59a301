//! What must always hold of sessions: one holding at an epoch, epochs that never go back for who asks more than half, no
//! agreed holder or tie that a later one does not follow.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_consensus::messages::*;

use super::Asked;

#[derive(Clone, Default)]
pub struct People {
    /// All that any steward ever took, and all that was agreed.
    taken: BTreeMap<(Session, u64), Agreed>,
    agreed: BTreeMap<(Session, u64), Agreed>,
    /// What each tie was to follow, by its id; none is wished twice.
    ties: BTreeMap<String, Option<String>>,
    dropped: BTreeSet<Session>,
    pub moves: u64,
    pub last: BTreeMap<Session, Agreed>,
}

impl People {
    pub fn asks(&mut self, session: Session, wish: &Wish) -> Asked {
        if let Wish::Tie { was, tie, .. } = wish {
            self.ties.insert(tie.id.clone(), was.clone());
        }
        if *wish == Wish::Drop {
            self.dropped.insert(session);
        }
        // What the asked one holds by itself may be outdated.
        let floor = (!matches!(wish, Wish::Renew(_))).then(|| self.floor(session));
        Asked::Session { session, floor }
    }

    pub fn floor(&self, session: Session) -> u64 {
        self.last.get(&session).map_or(0, |agreed| agreed.epoch)
    }

    pub fn writes(&mut self, act: &Act) -> Option<String> {
        let Act::Write(Record::Session(session, Entry { taken: Some(agreed), .. })) = act else {
            return None;
        };
        let first = self.taken.entry((*session, agreed.epoch)).or_insert_with(|| agreed.clone());
        (first != agreed).then(|| format!("two at one epoch: {first:?} and {agreed:?}"))
    }

    pub fn answered(
        &mut self,
        session: Session,
        floor: Option<u64>,
        agreed: Option<Agreed>,
    ) -> Option<String> {
        let floor = floor?;
        let Some(agreed) = agreed else {
            return (floor > 0).then(|| format!("session {session} is lost"));
        };
        if agreed.epoch <= floor {
            return Some(format!("session {session} at {} where {floor} was known", agreed.epoch));
        }
        let before = self.agreed.range((session, 0)..(session, agreed.epoch));
        let wrong = before.map(|(_, was)| self.follows(session, was, &agreed)).find(Option::is_some);
        self.moves += u64::from(agreed.holding.holder.is_some_and(|holder| holder.since == agreed.epoch));
        if self.floor(session) < agreed.epoch {
            self.last.insert(session, agreed.clone());
        }
        self.agreed.insert((session, agreed.epoch), agreed);
        wrong.flatten()
    }

    fn follows(&self, session: Session, was: &Agreed, now: &Agreed) -> Option<String> {
        // One that was dropped has none, and is followed by who had it before.
        let mut holder = now.holding.holder.or(now.holding.before);
        while holder != was.holding.holder.or(was.holding.before) {
            let Some(since) = holder.map(|holder| holder.since) else {
                return Some(format!("{was:?} is not followed by {now:?}"));
            };
            holder = self.taken.get(&(session, since)).and_then(|taken| taken.holding.before);
        }
        let mut tie = now.holding.tie.as_ref().map(|tie| tie.id.clone());
        let was_tie = was.holding.tie.as_ref().map(|tie| tie.id.clone());
        while tie != was_tie && !self.dropped.contains(&session) {
            let Some(id) = tie else { return Some(format!("the tie of {was:?} is lost in {now:?}")) };
            tie = self.ties.get(&id).cloned().flatten();
        }
        None
    }
}
