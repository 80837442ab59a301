//! Papers: sheets by name, each name a register of its own (`registers` has what all have in common). It owns the
//! names, the bounds on them, and how stewards find out which of them differ. It must never let a paper of one name
//! count for another, nor keep a new member from papers that were agreed, however many there are.
//!
//! Beats tell one number for all papers held. With the same number a voter holds just what this steward holds: what it
//! said counts for each name. With another one it is asked for its list, and then for what is newer there.

use std::ops::Bound;

use super::*;

/// So many names are taken, of so many bytes each, and sheets of so many bytes each and together.
pub const MOST_NAMES: usize = 4_096;
pub const MOST_NAME: usize = 64;
pub const MOST_BYTES: usize = 4 << 20;
pub const MOST_BYTES_TOGETHER: usize = 64 << 20;
/// Several stewards may take some at once: what others took is held up to so many times that.
const SLACK: usize = 2;

#[derive(Clone, Debug, Default)]
pub(super) struct Papers {
    by_name: BTreeMap<RegisterName, registers::Register>,
    digest: u128,
    bytes: usize,
    /// Goes up with all that is held or safe.
    changes: u64,
}

fn digest(name: &str, sheet: &RegisterValue) -> u128 {
    let mut bytes = Vec::with_capacity(name.len() + 16);
    bytes.extend_from_slice(&sheet.version.to_be_bytes());
    bytes.extend_from_slice(&sheet.digest.to_be_bytes());
    bytes.extend_from_slice(name.as_bytes());
    xxhash_rust::xxh3::xxh3_128(&bytes)
}

impl Papers {
    pub fn holding(papers: Vec<NamedRegister>) -> Papers {
        let mut all = Papers::default();
        for paper in papers {
            if all.get(&paper.name).is_none_or(|held| held.held_revision() < paper.value.revision()) {
                all.take(paper);
            }
        }
        all
    }

    pub fn get(&self, name: &str) -> Option<&registers::Register> {
        self.by_name.get(name)
    }

    /// The same number, the same papers held.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Holds one that is newer than the one held.
    pub fn take(&mut self, paper: NamedRegister) {
        let NamedRegister { name, value: sheet } = paper;
        let new = digest(&name, &sheet);
        let register = self.by_name.entry(name.clone()).or_default();
        if let Some(was) = &register.held {
            self.digest = self.digest.wrapping_sub(digest(&name, was));
            self.bytes = self.bytes.saturating_sub(was.bytes.len());
        }
        self.digest = self.digest.wrapping_add(new);
        self.bytes += sheet.bytes.len();
        self.changes += 1;
        register.take(sheet);
    }

    pub fn recount(&mut self, name: &str, majority: usize) -> bool {
        let grown = self.by_name.get_mut(name).is_some_and(|register| register.recount(majority));
        self.changes += u64::from(grown);
        grown
    }

    fn fits(&self, name: &str, sheet: &RegisterValue, times: usize) -> bool {
        let held = self.by_name.get(name).and_then(|register| register.held.as_ref());
        let before = held.map_or(0, |held| held.bytes.len());
        (held.is_some() || self.by_name.len() < times * MOST_NAMES)
            && !name.is_empty()
            && name.len() <= MOST_NAME
            && sheet.bytes.len() <= MOST_BYTES
            && self.bytes - before + sheet.bytes.len() <= times * MOST_BYTES_TOGETHER
    }

    /// Whether it may be taken: there are not too many names, nor too many bytes.
    pub fn has_room(&self, name: &str, sheet: &RegisterValue) -> bool {
        self.fits(name, sheet, 1)
    }

    /// A voter of this view holds that much. Names that are not known here are, from now on, up to a bound.
    fn ranked(&mut self, voter: ReplicaId, name: &RegisterName, rank: Revision) {
        let room = self.by_name.len() < SLACK * MOST_NAMES && name.len() <= MOST_NAME;
        if room && rank > Revision::NONE && !name.is_empty() {
            self.by_name.entry(name.clone()).or_default().ranked(voter, rank);
        } else if let Some(register) = self.by_name.get_mut(name) {
            register.ranked(voter, rank);
        }
    }

    /// A voter of this view holds all that is held here.
    fn ranked_all(&mut self, voter: ReplicaId) {
        for register in self.by_name.values_mut() {
            let rank = register.held_revision();
            register.ranked(voter, rank);
        }
    }

    pub fn ranks_anew(&mut self) {
        self.by_name.values_mut().for_each(registers::Register::ranks_anew);
    }

    /// Those held from a name on.
    pub fn from(&self, name: &str) -> impl Iterator<Item = NamedRegister> {
        let range = self.by_name.range::<str, _>((Bound::Included(name), Bound::Unbounded));
        range.filter_map(|(name, register)| {
            Some(NamedRegister { name: name.clone(), value: register.held.clone()? })
        })
    }

    /// The ranks of those held from a name on, as many as fit a letter, and from where there are more.
    pub fn ranks(&self, name: &str) -> (Vec<(RegisterName, Revision)>, Option<RegisterName>) {
        let mut rest = self.from(name);
        let ranks =
            rest.by_ref().take(MOST_IN_LETTER).map(|paper| (paper.name, paper.value.revision())).collect();
        (ranks, rest.next().map(|paper| paper.name))
    }

    /// Those held from a name on, as many as fit a letter that has so many bytes already, and from where there are more.
    pub fn part(&self, name: &str, mut bytes: usize) -> (Vec<NamedRegister>, Option<RegisterName>) {
        let mut part = Vec::new();
        for paper in self.from(name) {
            if part.len() >= MOST_IN_LETTER || bytes >= BYTES_IN_LETTER {
                return (part, Some(paper.name));
            }
            bytes += paper.value.bytes.len();
            part.push(paper);
        }
        (part, None)
    }
}

/// Of a paper, what a steward has of it.
#[derive(Clone, Debug)]
pub struct RegisterStatus {
    pub name: RegisterName,
    /// The newest known to be on more than half of the voters' disks. Never goes back in a life.
    pub committed: Option<Arc<RegisterValue>>,
    /// The newest that is held here, which may yet be lost.
    pub stored: Option<Arc<RegisterValue>>,
}

impl Core {
    /// All papers by name.
    pub fn registers(&self) -> impl Iterator<Item = RegisterStatus> {
        self.papers.by_name.iter().map(|(name, register)| RegisterStatus {
            name: name.clone(),
            committed: register.safe.clone(),
            stored: register.held.clone(),
        })
    }

    /// Goes up with every change of what `papers` tells.
    pub fn register_changes(&self) -> u64 {
        self.papers.changes
    }

    pub(super) fn ranks_anew(&mut self) {
        self.sheet.ranks_anew();
        self.papers.ranks_anew();
        self.peers.values_mut().for_each(|peer| peer.counted = 0);
    }

    /// Another told the number of all that it holds.
    pub(super) fn papers_there(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        counts: bool,
        digest: u128,
        out: &mut Vec<Effect>,
    ) {
        if digest == 0 || from == self.me {
            return;
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if digest != self.papers.digest {
            if due(&mut peer.listed, now, RARELY) {
                self.now(from.address, MessageBody::ListRegisters(TIMETABLE.into()), out);
            }
        } else if counts && peer.counted != digest {
            peer.counted = digest;
            self.papers.ranked_all(from);
            let names: Vec<RegisterName> = self.papers.by_name.keys().cloned().collect();
            names.iter().for_each(|name| self.recount(name, out));
        }
    }

    pub(super) fn list_papers(&self, from: ReplicaId, place: &str, out: &mut Vec<Effect>) {
        let (ranks, next) = self.papers.ranks(place);
        self.send(
            from.address,
            MessageBody::RegistersStored { read_id: 0, voter: self.voter, revisions: ranks, next },
            out,
        );
    }

    pub(super) fn papers_offered(
        &mut self,
        from: ReplicaId,
        same: bool,
        papers: Vec<NamedRegister>,
        out: &mut Vec<Effect>,
    ) {
        let names: Vec<RegisterName> = papers.iter().map(|paper| paper.name.clone()).collect();
        for NamedRegister { name, value: sheet } in papers {
            if self.papers.fits(&name, &sheet, SLACK) {
                self.hold(&name, sheet, out);
            }
        }
        if same && self.voter && from != self.me {
            self.say_held(from, 0, &names, out);
        }
        self.want_rest(from, &names, out);
        names.iter().for_each(|name| self.judge_sheets(name, out));
    }

    /// Some of what another was asked for has come, maybe not all: a letter holds only so much.
    fn want_rest(&mut self, from: ReplicaId, came: &[RegisterName], out: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if !came.iter().any(|name| peer.wanted.contains_key(name)) {
            return;
        }
        let papers = &self.papers;
        let here = |name: &str| papers.get(name).map_or(Revision::NONE, registers::Register::held_revision);
        peer.wanted.retain(|name, rank| !came.contains(name) && here(name) < *rank);
        let have: Vec<(RegisterName, Revision)> =
            peer.wanted.keys().map(|name| (name.clone(), here(name))).collect();
        if !have.is_empty() {
            self.now(from.address, MessageBody::FetchRegisters { read_id: 0, known: have }, out);
        }
    }

    pub(super) fn want_papers(
        &self,
        from: ReplicaId,
        same: bool,
        ask: u64,
        have: Vec<(RegisterName, Revision)>,
        out: &mut Vec<Effect>,
    ) {
        let mut bytes = 0;
        let newer = have.iter().take(MOST_IN_LETTER).filter_map(|(name, rank)| {
            let sheet = self.papers.get(name)?.held.clone().filter(|sheet| sheet.revision() > *rank)?;
            Some(NamedRegister { name: name.clone(), value: sheet })
        });
        // What does not fit is asked for again.
        let fits = |paper: &NamedRegister| {
            let before = bytes;
            bytes += paper.value.bytes.len();
            before < BYTES_IN_LETTER
        };
        let newer: Vec<NamedRegister> = newer.take_while(fits).collect();
        if !newer.is_empty() {
            self.now(from.address, MessageBody::StoreRegisters(newer), out);
        }
        if same && self.voter {
            let names: Vec<RegisterName> = have.into_iter().map(|(name, _)| name).collect();
            self.say_held(from, ask, &names, out);
        }
    }

    fn say_held(&self, to: ReplicaId, ask: u64, names: &[RegisterName], out: &mut Vec<Effect>) {
        let rank = |name: &RegisterName| {
            self.papers.get(name).map_or(Revision::NONE, registers::Register::held_revision)
        };
        let ranks = names.iter().take(MOST_IN_LETTER).map(|name| (name.clone(), rank(name))).collect();
        let body = MessageBody::RegistersStored { read_id: ask, voter: true, revisions: ranks, next: None };
        if self.mutant == 18 {
            self.now(to.address, body, out);
        } else {
            self.send(to.address, body, out);
        }
    }

    /// Another tells the ranks of papers that it holds: what is newer is fetched. `counts`: it is a voter of this view.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn papers_held(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        counts: bool,
        ask: u64,
        ranks: Vec<(RegisterName, Revision)>,
        next: Option<RegisterName>,
        out: &mut Vec<Effect>,
    ) {
        let mut have = Vec::new();
        for (name, rank) in ranks.iter().take(MOST_IN_LETTER) {
            if counts || self.mutant == 16 {
                self.papers.ranked(from, name, *rank);
                self.replied(from, name, ask, *rank);
                if self.mutant == 17 {
                    self.papers.ranked_all(from);
                }
            }
            let here = self.papers.get(name).map_or(Revision::NONE, registers::Register::held_revision);
            if *rank > here && name.len() <= MOST_NAME && self.may_pull(now, from, name) {
                have.push((name.clone(), here));
            }
        }
        if !have.is_empty() {
            let of = |name: &str| ranks.iter().find(|(other, _)| **other == *name).map(|(_, rank)| *rank);
            let wanted = have.iter().filter_map(|(name, _)| Some((name.clone(), of(name)?)));
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.wanted = wanted.collect();
            }
            self.now(from.address, MessageBody::FetchRegisters { read_id: 0, known: have }, out);
        }
        for (name, _) in ranks.iter().take(MOST_IN_LETTER) {
            self.recount(name, out);
        }
        if let Some(next) = next.filter(|next| ranks.last().is_some_and(|(last, _)| last < next)) {
            self.now(from.address, MessageBody::ListRegisters(next), out);
        }
    }
}
