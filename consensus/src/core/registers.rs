//! Registers: the newest configuration, which has no name, and the papers by theirs. It owns what this steward holds of
//! each and what the voters said they hold. It must never call a sheet safe that more than half of the voters have not
//! said to hold, it or a newer one of the same register, nor let one register wait for another. Only content that was
//! decided for its version (`version_ballots`) is held, so two replicas never hold different content under one version.

use super::*;

const REPLACE: Nanos = 3000 * MS;
const READ: Nanos = 1500 * MS;
const MOST_EARLIER: usize = 8;
/// Digests of so many versions that were held are remembered, to tell an order that is sent again from another one.
const MAX_PAST: usize = 64;
/// Of the calls on papers, so many may be for one name.
const MOST_CALLS_OF_NAME: usize = 16;

/// One line of sheets, the highest of which holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Register {
    pub held: Option<Arc<RegisterValue>>,
    /// Held before, not yet known to be outdated.
    earlier: VecDeque<Arc<RegisterValue>>,
    /// Versions and digests that were held in this life, the oldest first.
    past: VecDeque<Revision>,
    pub safe: Option<Arc<RegisterValue>>,
    pub safe_revision: Revision,
    /// What the voters of this view said in it.
    ranks: BTreeMap<ReplicaId, Revision>,
}

impl Register {
    pub fn holding(held: Option<Arc<RegisterValue>>) -> Register {
        let past = held.iter().map(|sheet| sheet.revision()).collect();
        Register { held, past, ..Register::default() }
    }

    /// The digest of the content decided for a version, where it was held here.
    pub fn digest_of(&self, version: u64) -> Option<u64> {
        self.past.iter().rev().find(|past| past.version == version).map(|past| past.digest)
    }

    /// Whether a version is above the one held.
    pub fn is_newer(&self, version: u64) -> bool {
        self.held.as_ref().is_none_or(|held| version > held.version)
    }

    pub fn held_revision(&self) -> Revision {
        self.held.as_ref().map_or(Revision::NONE, |sheet| sheet.revision())
    }

    /// Holds a sheet that is newer than the one held.
    pub fn take(&mut self, sheet: Arc<RegisterValue>) {
        self.past.push_back(sheet.revision());
        if self.past.len() > MAX_PAST {
            self.past.pop_front();
        }
        self.earlier.extend(self.held.replace(sheet));
        if self.earlier.len() > MOST_EARLIER {
            self.earlier.pop_front();
        }
        self.choose_safe();
    }

    /// A voter of this view holds that much on its disk.
    pub fn ranked(&mut self, voter: ReplicaId, rank: Revision) {
        let held = self.ranks.entry(voter).or_default();
        *held = rank.max(*held);
    }

    /// What was said in the last view does not count any more.
    pub fn ranks_anew(&mut self) {
        self.ranks.clear();
    }

    pub fn told_safe(&mut self, rank: Revision) {
        self.safe_revision = rank.max(self.safe_revision);
        self.choose_safe();
    }

    /// What more than half of the voters hold may have grown; says whether it did.
    pub fn recount(&mut self, majority: usize) -> bool {
        let mut ranks: Vec<Revision> = self.ranks.values().copied().collect();
        ranks.sort_unstable_by(|a, b| b.cmp(a));
        let grown = ranks.get(majority - 1).is_some_and(|rank| *rank > self.safe_revision);
        if grown {
            self.told_safe(ranks[majority - 1]);
        }
        grown
    }

    fn choose_safe(&mut self) {
        let rank = self.safe_revision;
        let fits = self.earlier.iter().chain(&self.held).filter(|sheet| sheet.revision() <= rank);
        if let Some(sheet) = fits.max_by_key(|sheet| sheet.revision())
            && self.safe.as_ref().is_none_or(|safe| safe.revision() < sheet.revision())
        {
            self.safe = Some(sheet.clone());
            let rank = sheet.revision();
            self.earlier.retain(|sheet| sheet.revision() > rank);
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Replacing {
    pub name: RegisterName,
    pub sheet: Arc<RegisterValue>,
    until: Nanos,
    pub timer: Nanos,
}

#[derive(Clone, Debug)]
pub(super) struct Reading {
    pub name: RegisterName,
    until: Nanos,
    pub timer: Nanos,
    /// What the voters said since the read began.
    answers: BTreeMap<ReplicaId, Revision>,
}

/// The words for each kind of register.
fn hold(name: &str, sheet: Arc<RegisterValue>) -> MessageBody {
    match name {
        TIMETABLE => MessageBody::StoreConfiguration(sheet),
        name => MessageBody::StoreRegisters(vec![NamedRegister { name: name.into(), value: sheet }]),
    }
}

fn want(name: &str, ask: u64, have: Revision) -> MessageBody {
    match name {
        TIMETABLE => MessageBody::FetchConfiguration { read_id: ask, known: have },
        name => MessageBody::FetchRegisters { read_id: ask, known: vec![(name.into(), have)] },
    }
}

/// A voter says what it holds.
fn held(name: &str, ask: u64, rank: Revision) -> MessageBody {
    match name {
        TIMETABLE => MessageBody::ConfigurationStored { read_id: ask, revision: rank },
        name => MessageBody::RegistersStored {
            read_id: ask,
            voter: true,
            revisions: vec![(name.into(), rank)],
            next: None,
        },
    }
}

impl Core {
    pub(super) fn register(&self, name: &str) -> Option<&Register> {
        if name == TIMETABLE { Some(&self.sheet) } else { self.papers.get(name) }
    }

    fn held_revision(&self, name: &str) -> Revision {
        self.register(name).map_or(Revision::NONE, Register::held_revision)
    }

    /// Whether one more call on that register can wait; otherwise it is answered.
    fn may_wait(&self, call: u64, name: &str, out: &mut Vec<Effect>) -> bool {
        let of_name = |call: &&u64| self.name_of(**call).is_some_and(|of| **of == *name);
        let may = self.sheet_calls.len() < MOST_SHEET_CALLS
            && (name == TIMETABLE || self.sheet_calls.iter().filter(of_name).count() < MOST_CALLS_OF_NAME);
        if !may {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
        }
        may
    }

    /// The register that a call is on.
    fn name_of(&self, call: u64) -> Option<&RegisterName> {
        match self.calls.get(&call)? {
            Call::Replace(replacing) => Some(&replacing.name),
            Call::Read(reading) => Some(&reading.name),
            Call::Lease(_) | Call::Session(_) => None,
        }
    }

    pub(super) fn replace_wanted(
        &mut self,
        now: Nanos,
        call: u64,
        name: RegisterName,
        sheet: Arc<RegisterValue>,
        out: &mut Vec<Effect>,
    ) {
        if !self.may_wait(call, &name, out) {
            return;
        }
        if self.mutant == 30 {
            self.hold(&name, sheet.clone(), out);
        }
        let (timer, until) = (now.saturating_add(AGAIN), now.saturating_add(REPLACE));
        self.calls.insert(call, Call::Replace(Replacing { name: name.clone(), sheet, until, timer }));
        self.sheet_calls.insert(call);
        self.timers.insert((timer, call));
        self.propose_version(now, &name, out);
        self.push(now, &name, out);
        self.judge_sheets(&name, out);
    }

    pub(super) fn read_wanted(&mut self, now: Nanos, call: u64, name: RegisterName, out: &mut Vec<Effect>) {
        if !self.may_wait(call, &name, out) {
            return;
        }
        let (timer, until) = (now.saturating_add(AGAIN), now.saturating_add(READ));
        let reading = Reading { name: name.clone(), until, timer, answers: BTreeMap::new() };
        self.calls.insert(call, Call::Read(reading));
        self.sheet_calls.insert(call);
        self.timers.insert((timer, call));
        self.ask(call, out);
        self.judge_sheets(&name, out);
    }

    /// Holds a sheet, which was decided for its version, if it is newer than the one held.
    pub(super) fn hold(&mut self, name: &str, sheet: Arc<RegisterValue>, out: &mut Vec<Effect>) {
        let rank = sheet.revision();
        if rank <= self.held_revision(name) {
            return;
        }
        if name == TIMETABLE {
            out.push(Effect::Persist(LogRecord::Configuration(sheet.clone())));
            self.sheet.take(sheet);
        } else {
            let paper = NamedRegister { name: name.into(), value: sheet };
            out.push(Effect::Persist(LogRecord::Register(paper.clone())));
            self.papers.take(paper);
            // Whoever it was sent to may have no vote, and others go by what the voters hold: they need not wait for the next
            // beat. The configuration's is told with the beat of whoever knows that it is safe.
            self.tell |= self.voter;
        }
        if self.voter {
            self.send(self.me.address, held(name, 0, rank), out);
        }
        self.version_held(name, rank.version);
    }

    /// Gives the sheet to the members that are not known to hold one as new.
    pub(super) fn push(&mut self, now: Nanos, name: &str, out: &mut Vec<Effect>) {
        let Some(register) = self.register(name) else { return };
        let Some(sheet) = register.held.clone() else { return };
        let rank = sheet.revision();
        let holds = |station: &ReplicaId| register.ranks.get(station).is_some_and(|held| *held >= rank);
        let behind: Vec<ReplicaId> = self.others().filter(|station| !holds(station)).collect();
        for station in behind {
            let Some(peer) = self.peers.get_mut(&station) else { continue };
            let pushed = peer.pushed.get(name);
            if pushed.is_some_and(|(at, pushed)| *pushed == rank && now < at.saturating_add(RARELY)) {
                continue;
            }
            peer.pushed.insert(name.into(), (now, rank));
            self.now(station.address, hold(name, sheet.clone()), out);
        }
    }

    /// Asks the voters that have not said yet what they hold.
    fn ask(&self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Read(reading)) = self.calls.get(&call) else { return };
        let (ask, have) = (call ^ self.salt, self.held_revision(&reading.name));
        for station in self.view.members.iter().filter(|station| !reading.answers.contains_key(station)) {
            if *station != self.me {
                self.now(station.address, want(&reading.name, ask, have), out);
            } else if self.voter {
                self.send(self.me.address, held(&reading.name, ask, have), out);
            }
        }
    }

    pub(super) fn offered(
        &mut self,
        from: ReplicaId,
        same: bool,
        sheet: Arc<RegisterValue>,
        out: &mut Vec<Effect>,
    ) {
        self.hold(TIMETABLE, sheet, out);
        if same && self.voter && from != self.me {
            self.send(from.address, held(TIMETABLE, 0, self.sheet.held_revision()), out);
        }
        self.judge_sheets(TIMETABLE, out);
    }

    pub(super) fn want_sheet(
        &self,
        from: ReplicaId,
        same: bool,
        ask: u64,
        have: Revision,
        out: &mut Vec<Effect>,
    ) {
        if let Some(sheet) = self.sheet.held.as_ref().filter(|sheet| sheet.revision() > have) {
            self.now(from.address, MessageBody::StoreConfiguration(sheet.clone()), out);
        }
        if same && self.voter {
            self.send(from.address, held(TIMETABLE, ask, self.sheet.held_revision()), out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn held_there(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        member: bool,
        ask: u64,
        rank: Revision,
        out: &mut Vec<Effect>,
    ) {
        if member || self.mutant == 37 {
            self.sheet.ranked(from, rank);
            self.replied(from, TIMETABLE, ask, rank);
        }
        self.look(now, from, rank, out);
        self.recount(TIMETABLE, out);
    }

    /// A voter of this view says what it holds of a register, maybe to a read of that very register.
    pub(super) fn replied(&mut self, from: ReplicaId, name: &str, ask: u64, rank: Revision) {
        if let Some(Call::Read(reading)) = self.calls.get_mut(&(ask ^ self.salt))
            && ask != 0
            && *reading.name == *name
        {
            reading.answers.insert(from, rank);
        }
    }

    /// Another holds a configuration of that rank: fetches it if it is newer.
    pub(super) fn look(&mut self, now: Nanos, from: ReplicaId, rank: Revision, out: &mut Vec<Effect>) {
        if rank > self.sheet.held_revision() && self.may_pull(now, from, TIMETABLE) {
            self.pull(from, TIMETABLE, out);
        }
    }

    /// Asks another for what it holds of a register, if that is newer.
    pub(super) fn pull(&self, from: ReplicaId, name: &str, out: &mut Vec<Effect>) {
        self.now(from.address, want(name, 0, self.held_revision(name)), out);
    }

    /// Whether another may be asked for the newest of a register; notes that it was.
    pub(super) fn may_pull(&mut self, now: Nanos, from: ReplicaId, name: &str) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let mut last = peer.pulled.get(name).copied();
        let may = due(&mut last, now, RARELY);
        if may {
            peer.pulled.insert(name.into(), now);
        }
        may
    }

    /// What more than half of the voters hold may have grown.
    pub(super) fn recount(&mut self, name: &str, out: &mut Vec<Effect>) {
        let majority = self.majority();
        let grown = if name == TIMETABLE {
            self.sheet.recount(majority)
        } else {
            self.papers.recount(name, majority)
        };
        self.tell |= grown && !self.sheet_calls.is_empty();
        self.judge_sheets(name, out);
    }

    /// Answers the calls on a register that can be answered now.
    pub(super) fn judge_sheets(&mut self, name: &str, out: &mut Vec<Effect>) {
        let calls = self.sheet_calls.iter().copied();
        let calls: Vec<u64> =
            calls.filter(|call| self.name_of(*call).is_some_and(|of| **of == *name)).collect();
        for call in calls {
            let empty = Register::default();
            let register = self.register(name).unwrap_or(&empty);
            match self.calls.get(&call) {
                Some(Call::Replace(replacing)) => {
                    let Revision { version, digest } = replacing.sheet.revision();
                    let told = Some(register.safe_revision)
                        .filter(|safe| safe.version == version && safe.digest != 0);
                    let decided = register.digest_of(version).or(told.map(|safe| safe.digest));
                    let refused = if self.mutant == 31 {
                        decided.is_some()
                    } else {
                        decided.is_some_and(|other| other != digest) && self.mutant != 30
                    };
                    let safe =
                        register.safe_revision.version >= version && register.safe_revision != Revision::NONE;
                    if refused {
                        self.answer(call, CoreResponse::Conflict, out);
                    } else if safe || self.mutant == 10 {
                        self.answer(call, CoreResponse::Accepted, out);
                    }
                }
                Some(Call::Read(reading))
                    if reading.answers.len() >= self.majority() || self.mutant == 36 =>
                {
                    let newest = reading.answers.values().copied().max().unwrap_or_default();
                    let safe = register.safe.as_ref().map_or(Revision::NONE, |sheet| sheet.revision());
                    if safe >= newest {
                        let got = CoreResponse::Register(register.safe.clone());
                        self.answer(call, got, out);
                    } else if self.mutant == 7 && register.held_revision() >= newest {
                        let got = CoreResponse::Register(register.held.clone());
                        self.answer(call, got, out);
                    } else {
                        self.push(self.now, name, out);
                    }
                }
                _ => {}
            }
        }
        if !self.sheet_calls.is_empty() {
            self.propose_version(self.now, &name.into(), out);
        }
    }

    pub(super) fn sheet_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let again = now.saturating_add(AGAIN);
        let (name, timer, until) = match self.calls.get_mut(&call) {
            Some(Call::Replace(replacing)) => (replacing.name.clone(), &mut replacing.timer, replacing.until),
            Some(Call::Read(reading)) => (reading.name.clone(), &mut reading.timer, reading.until),
            _ => return,
        };
        if now >= until {
            self.answer(call, CoreResponse::Unavailable, out);
            return;
        }
        *timer = again.min(until);
        self.timers.insert((*timer, call));
        self.push(now, &name, out);
        self.ask(call, out);
    }

    /// The view is another one: what was said in the last one does not count any more.
    pub(super) fn sheets_anew(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for call in self.sheet_calls.clone() {
            if let Some(Call::Read(reading)) = self.calls.get_mut(&call) {
                reading.answers.clear();
            }
            self.ask(call, out);
        }
        self.proposals_anew(now, out);
        let names: BTreeSet<RegisterName> =
            self.sheet_calls.iter().filter_map(|call| self.name_of(*call)).cloned().collect();
        for name in names {
            self.push(now, &name, out);
        }
    }

    /// A voter counts itself, with what is safe on its disk.
    pub(super) fn tell_self(&self, out: &mut Vec<Effect>) {
        self.send(self.me.address, held(TIMETABLE, 0, self.sheet.held_revision()), out);
        let mut place: Option<RegisterName> = Some(TIMETABLE.into());
        while let Some(name) = place {
            let (ranks, next) = self.papers.ranks(&name);
            place = next;
            if !ranks.is_empty() {
                let list =
                    MessageBody::RegistersStored { read_id: 0, voter: true, revisions: ranks, next: None };
                self.send(self.me.address, list, out);
            }
        }
    }
}
