//! The newest configuration. It owns what this steward holds of it and what the voters said they hold. It must never
//! call one safe that more than half of the voters have not said to hold, it or a newer one.

use super::*;

const REPLACE: Nanos = 3000 * MS;
const READ: Nanos = 1500 * MS;
const MOST_EARLIER: usize = 8;

#[derive(Clone, Debug)]
pub(super) struct Replacing {
    rank: Rank,
    until: Nanos,
    pub timer: Nanos,
}

#[derive(Clone, Debug)]
pub(super) struct Reading {
    until: Nanos,
    pub timer: Nanos,
    /// What the voters said since the read began.
    answers: BTreeMap<Station, Rank>,
}

impl Core {
    pub(super) fn held_rank(&self) -> Rank {
        self.held.as_ref().map_or((0, 0), |sheet| sheet.rank())
    }

    pub(super) fn replace_wanted(&mut self, now: Nanos, call: u64, sheet: Arc<Sheet>, out: &mut Vec<Act>) {
        if self.sheet_calls.len() >= MOST_SHEET_CALLS {
            out.push(Act::Answer { call, got: Got::Unsure });
            return;
        }
        let rank = sheet.rank();
        self.hold(sheet, out);
        let timer = now.saturating_add(AGAIN);
        self.calls.insert(call, Call::Replace(Replacing { rank, until: now.saturating_add(REPLACE), timer }));
        self.sheet_calls.insert(call);
        self.timers.insert((timer, call));
        self.push(now, out);
        self.judge_sheets(out);
    }

    pub(super) fn read_wanted(&mut self, now: Nanos, call: u64, out: &mut Vec<Act>) {
        if self.sheet_calls.len() >= MOST_SHEET_CALLS {
            out.push(Act::Answer { call, got: Got::Unsure });
            return;
        }
        let timer = now.saturating_add(AGAIN);
        let reading = Reading { until: now.saturating_add(READ), timer, answers: BTreeMap::new() };
        self.calls.insert(call, Call::Read(reading));
        self.sheet_calls.insert(call);
        self.timers.insert((timer, call));
        self.ask(call, out);
        self.judge_sheets(out);
    }

    /// Holds a sheet if it is newer than the one held.
    pub(super) fn hold(&mut self, sheet: Arc<Sheet>, out: &mut Vec<Act>) {
        if sheet.rank() <= self.held_rank() {
            return;
        }
        out.push(Act::Write(Record::Sheet(sheet.clone())));
        self.earlier.extend(self.held.replace(sheet));
        if self.earlier.len() > MOST_EARLIER {
            self.earlier.pop_front();
        }
        self.choose_safe();
        if self.voter {
            self.send(self.me.at, Body::Held { ask: 0, rank: self.held_rank() }, out);
        }
    }

    /// Gives the sheet to the members that are not known to hold one as new.
    fn push(&mut self, now: Nanos, out: &mut Vec<Act>) {
        let Some(sheet) = self.held.clone() else { return };
        let rank = sheet.rank();
        for station in self.others() {
            if self.ranks.get(&station).is_some_and(|held| *held >= rank) {
                continue;
            }
            let Some(peer) = self.peers.get_mut(&station) else { continue };
            if peer.pushed.is_some_and(|(at, pushed)| pushed == rank && now < at.saturating_add(RARELY)) {
                continue;
            }
            peer.pushed = Some((now, rank));
            self.now(station.at, Body::Hold(sheet.clone()), out);
        }
    }

    /// Asks the voters that have not said yet what they hold.
    fn ask(&self, call: u64, out: &mut Vec<Act>) {
        let Some(Call::Read(reading)) = self.calls.get(&call) else { return };
        let (ask, have) = (call ^ self.salt, self.held_rank());
        for station in self.view.members.iter().filter(|station| !reading.answers.contains_key(station)) {
            if *station != self.me {
                self.now(station.at, Body::WantSheet { ask, have }, out);
            } else if self.voter {
                self.send(self.me.at, Body::Held { ask, rank: have }, out);
            }
        }
    }

    pub(super) fn offered(
        &mut self,
        now: Nanos,
        from: Station,
        same: bool,
        sheet: Arc<Sheet>,
        out: &mut Vec<Act>,
    ) {
        self.look(now, from, (0, 0), out);
        self.hold(sheet, out);
        if same && self.voter && from != self.me {
            self.send(from.at, Body::Held { ask: 0, rank: self.held_rank() }, out);
        }
        self.judge_sheets(out);
    }

    pub(super) fn want_sheet(&self, from: Station, same: bool, ask: u64, have: Rank, out: &mut Vec<Act>) {
        if let Some(sheet) = self.held.as_ref().filter(|sheet| sheet.rank() > have) {
            self.now(from.at, Body::Hold(sheet.clone()), out);
        }
        if same && self.voter {
            self.send(from.at, Body::Held { ask, rank: self.held_rank() }, out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn held_there(
        &mut self,
        now: Nanos,
        from: Station,
        member: bool,
        ask: u64,
        rank: Rank,
        out: &mut Vec<Act>,
    ) {
        if member {
            self.ranked(from, rank);
            if let Some(Call::Read(reading)) = self.calls.get_mut(&(ask ^ self.salt))
                && ask != 0
            {
                reading.answers.insert(from, rank);
            }
        }
        self.look(now, from, rank, out);
        self.recount(out);
    }

    /// Another holds a sheet of that rank: fetches it if it is newer.
    pub(super) fn look(&mut self, now: Nanos, from: Station, rank: Rank, out: &mut Vec<Act>) {
        let have = self.held_rank();
        if rank > have
            && let Some(peer) = self.peers.get_mut(&from)
            && due(&mut peer.pulled, now, RARELY)
        {
            self.now(from.at, Body::WantSheet { ask: 0, have }, out);
        }
    }

    /// A voter of this view holds that much on its disk.
    pub(super) fn ranked(&mut self, voter: Station, rank: Rank) {
        let held = self.ranks.entry(voter).or_default();
        *held = rank.max(*held);
    }

    pub(super) fn told_safe(&mut self, rank: Rank) {
        self.safe_rank = rank.max(self.safe_rank);
        self.choose_safe();
    }

    /// What more than half of the voters hold may have grown.
    pub(super) fn recount(&mut self, out: &mut Vec<Act>) {
        let mut ranks: Vec<Rank> = self.ranks.values().copied().collect();
        ranks.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(rank) = ranks.get(self.majority() - 1)
            && *rank > self.safe_rank
        {
            self.safe_rank = *rank;
            self.choose_safe();
            self.tell |= !self.sheet_calls.is_empty();
        }
        self.judge_sheets(out);
    }

    fn choose_safe(&mut self) {
        let rank = self.safe_rank;
        let fits = self.earlier.iter().chain(&self.held).filter(|sheet| sheet.rank() <= rank);
        if let Some(sheet) = fits.max_by_key(|sheet| sheet.rank())
            && self.safe.as_ref().is_none_or(|safe| safe.rank() < sheet.rank())
        {
            self.safe = Some(sheet.clone());
            let rank = sheet.rank();
            self.earlier.retain(|sheet| sheet.rank() > rank);
        }
    }

    /// Answers the calls that can be answered now.
    fn judge_sheets(&mut self, out: &mut Vec<Act>) {
        for call in self.sheet_calls.clone() {
            match self.calls.get(&call) {
                Some(Call::Replace(replacing)) if self.safe_rank >= replacing.rank || self.mutant == 10 => {
                    self.answer(call, Got::Taken, out);
                }
                Some(Call::Read(reading)) if reading.answers.len() >= self.majority() => {
                    let newest = reading.answers.values().copied().max().unwrap_or_default();
                    let safe = self.safe.as_ref().map_or((0, 0), |sheet| sheet.rank());
                    if safe >= newest {
                        self.answer(call, Got::Newest(self.safe.clone()), out);
                    } else if self.mutant == 7 && self.held_rank() >= newest {
                        self.answer(call, Got::Newest(self.held.clone()), out);
                    } else {
                        self.push(self.now, out);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn sheet_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Act>) {
        let again = now.saturating_add(AGAIN);
        let (timer, until) = match self.calls.get_mut(&call) {
            Some(Call::Replace(replacing)) => (&mut replacing.timer, replacing.until),
            Some(Call::Read(reading)) => (&mut reading.timer, reading.until),
            _ => return,
        };
        if now >= until {
            self.answer(call, Got::Unsure, out);
            return;
        }
        *timer = again.min(until);
        self.timers.insert((*timer, call));
        self.push(now, out);
        self.ask(call, out);
    }

    /// The view is another one: what was said in the last one does not count any more.
    pub(super) fn sheets_anew(&mut self, now: Nanos, out: &mut Vec<Act>) {
        for call in self.sheet_calls.clone() {
            if let Some(Call::Read(reading)) = self.calls.get_mut(&call) {
                reading.answers.clear();
            }
            self.ask(call, out);
        }
        if !self.sheet_calls.is_empty() {
            self.push(now, out);
        }
    }
}
