//! Ballot slots: what a replica has promised and accepted, of the next membership and of versions of registers. It must
//! never write over the slot that holds.

use super::*;

pub(super) const SLOTS: [&str; 2] = ["ballots.0", "ballots.1"];

impl Store {
    pub(super) fn read_ballots(&mut self) -> Result<(), StoreError> {
        let listed = self.list(ROOT)?;
        self.tidy(ROOT, &listed);
        let mut best: Option<(MembershipBallotState, Vec<AcceptorState>)> = None;
        for (i, slot) in SLOTS.iter().enumerate() {
            let Some((_, len)) = listed.iter().find(|(name, _)| name == slot) else { continue };
            self.slots[i] = *len;
            let bytes = self.read(slot)?;
            let Some((count, ballots, versions)) = frame(0, &bytes, 0).and_then(ballots_of) else {
                self.found.push(format!("{slot}: not whole"));
                continue;
            };
            if best.is_none() || count > self.count {
                (best, self.count, self.newest) = (Some((ballots, versions)), count, i);
            }
        }
        match best {
            // Guards against telling what is lost with the next loss of power. A sync would not do: one that failed
            // before, under another process, may leave bytes behind that no later one takes along.
            Some((ballots, versions)) => self.keep_ballots(ballots, versions)?,
            None => {
                for (i, slot) in SLOTS.iter().enumerate() {
                    if self.slots[i] > 0 {
                        self.put_aside(slot, self.slots[i]);
                        self.slots[i] = 0;
                    }
                }
            }
        }
        Ok(())
    }

    pub(super) fn keep_ballots(
        &mut self,
        ballots: MembershipBallotState,
        versions: Vec<AcceptorState>,
    ) -> Result<(), StoreError> {
        let count = self.count.saturating_add(1);
        let mut bytes = vec![0; HEAD];
        // Without any of versions, as programs before them have it.
        let written = if versions.is_empty() {
            ciborium::into_writer(&(count, &ballots), &mut bytes)
        } else {
            ciborium::into_writer(&(count, &ballots, &versions), &mut bytes)
        };
        written.map_err(|why| StoreError::Form(why.to_string()))?;
        close(0, &mut bytes, 0)?;
        let slot = 1 - self.newest;
        let name = SLOTS[slot];
        self.files.write(name, 0, &bytes).map_err(|why| StoreError::Write(name.to_owned(), why))?;
        self.sync(name)?;
        if self.slots[slot] == 0 {
            self.sync_folder(ROOT)?;
        }
        self.slots[slot] = self.slots[slot].max(bytes.len() as u64);
        (self.newest, self.count) = (slot, count);
        (self.ballots, self.version_ballots) = (Some(ballots), versions);
        Ok(())
    }
}

/// The count and what a slot holds; programs before the ballots on versions wrote none of them.
fn ballots_of(payload: &[u8]) -> Option<(u64, MembershipBallotState, Vec<AcceptorState>)> {
    let older = || {
        let (count, ballots) = ciborium::from_reader(payload).ok()?;
        Some((count, ballots, Vec::new()))
    };
    ciborium::from_reader(payload).ok().or_else(older)
}
