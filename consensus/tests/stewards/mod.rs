//! A few stewards, their disks and a bag of letters under way, all in memory. It owns what must always hold, and looks
//! for it after each thing that happens. It must never help a steward with anything a real machine would not have.

#![allow(dead_code)]

pub mod people;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_consensus::core::{Config, Core, Mutation};
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: u64 = 1_000_000;

pub fn at(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + node as u16))
}

/// Where a node stands: the first two are in one.
pub fn zone(node: usize) -> &'static str {
    ["a", "a", "b", "c", "b", "c"].get(node).copied().unwrap_or("d")
}

pub fn answer(token: LeaseToken) -> Arc<StoredResponse> {
    Arc::new(StoredResponse { status: 200, headers: Vec::new(), body: token.to_be_bytes().to_vec() })
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub ballots: Option<MembershipBallotState>,
    pub version_ballots: Vec<AcceptorState>,
    pub sheet: Option<Arc<RegisterValue>>,
    pub claims: BTreeMap<LeaseKey, Lease>,
    pub papers: BTreeMap<RegisterName, Arc<RegisterValue>>,
    pub sessions: BTreeMap<SessionId, SessionRecord>,
}

impl Disk {
    fn write(&mut self, record: LogRecord) {
        match record {
            LogRecord::MembershipBallot(ballots) => self.ballots = Some(ballots),
            LogRecord::RegisterAcceptors(ballots) => self.version_ballots = ballots,
            LogRecord::Configuration(sheet) => self.sheet = Some(sheet),
            LogRecord::Lease(key, claim) => {
                self.claims.insert(key, claim);
            }
            LogRecord::Session(session, entry) => drop(self.sessions.insert(session, entry)),
            LogRecord::SessionEnded(session) => drop(self.sessions.remove(&session)),
            LogRecord::LeaseReleased(key, token) => {
                if self.claims.get(&key).is_some_and(|claim| claim.token == token) {
                    self.claims.remove(&key);
                }
            }
            LogRecord::Register(paper) => {
                self.papers.insert(paper.name, paper.value);
            }
        }
    }

    fn saved(&self) -> PersistedState {
        let claims = self.claims.iter().map(|(key, claim)| (*key, claim.clone())).collect();
        let sessions = self.sessions.iter().map(|(session, entry)| (*session, entry.clone())).collect();
        let papers = self
            .papers
            .iter()
            .map(|(name, sheet)| NamedRegister { name: name.clone(), value: sheet.clone() })
            .collect();
        let (ballots, version_ballots) = (self.ballots.clone(), self.version_ballots.clone());
        PersistedState {
            membership_ballot: ballots,
            acceptors: version_ballots,
            configuration: self.sheet.clone(),
            leases: claims,
            sessions,
            registers: papers,
        }
    }
}

#[derive(Clone)]
pub struct Node {
    pub core: Option<Core>,
    pub disk: Disk,
    /// Not safe on disk yet, and what waits for it.
    pub pending: VecDeque<Effect>,
    pub life: u64,
    view: u64,
    safe: Revision,
    safe_papers: BTreeMap<RegisterName, Revision>,
}

#[derive(Clone)]
pub struct Flying {
    pub to: usize,
    /// Letters to oneself end with the life.
    pub life: Option<u64>,
    pub letter: Message,
}

#[derive(Clone)]
pub enum Asked {
    Lease(LeaseKey, LeaseToken),
    Settle,
    Replace(Revision),
    Read { floor: Revision },
    Register(RegisterName, Revision),
    ReadPaper { name: RegisterName, floor: Revision },
    Session { session: SessionId, floor: Option<u64> },
}

#[derive(Clone)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub bag: Vec<Flying>,
    /// From here to there nothing gets through for now.
    pub cut: BTreeSet<(SocketAddr, usize)>,
    /// Whoever gets to know a new view can hardly tell of it.
    pub spite: bool,
    /// Letters of this kind are lost, but for a few.
    pub scarce: Option<&'static str>,
    /// Letters of this kind take long.
    pub slow: Option<&'static str>,
    pub chance: ChaCha8Rng,
    pub mutation: Option<Mutation>,
    /// They go back to the view before whenever it may be safe.
    pub eager_rollback: bool,
    pub config: Config,
    seeds: Vec<SocketAddr>,
    /// By node, life and number.
    pub calls: BTreeMap<(usize, u64, u64), Asked>,
    pub answers: BTreeMap<u64, CoreResponse>,
    next_call: u64,
    pub next_token: LeaseToken,
    pub next_version: u64,
    pub granted: BTreeMap<LeaseKey, BTreeSet<LeaseToken>>,
    pub freed: BTreeSet<LeaseToken>,
    pub done: BTreeSet<LeaseToken>,
    pub sent: BTreeSet<Revision>,
    /// Every read that begins from now on finds at least this.
    pub floor: Revision,
    /// The papers that were sent, and the rank that every read of a name finds from now on.
    pub papers: BTreeSet<(RegisterName, Revision)>,
    pub floors: BTreeMap<RegisterName, Revision>,
    /// The bytes of a paper.
    pub bulk: usize,
    pub views: BTreeMap<u64, Membership>,
    /// The one content that was ever held of each version of a register.
    pub decided: BTreeMap<(RegisterName, u64), u64>,
    pub people: people::People,
    pub broken: Option<String>,
    pub steps: u64,
    pub seen: [u64; 12],
}

pub const GRANTED: usize = 0;
pub const HELD: usize = 1;
pub const TAKEN: usize = 2;
pub const READ: usize = 3;
pub const VIEWS: usize = 4;
pub const UNSURE: usize = 5;
pub const LETTERS: usize = 6;
pub const WIPES: usize = 7;
pub const UNDONE: usize = 8;
pub const PAPERS: usize = 9;
pub const PAPERS_READ: usize = 10;
pub const REFUSED: usize = 11;

impl World {
    /// So many nodes, of which the first ones are the first view.
    pub fn new(seed: u64, nodes: usize, voters: usize, want: usize, mutation: Option<Mutation>) -> World {
        World::with(seed, nodes, voters, want, mutation, |_| {})
    }

    /// Something is set before they start.
    pub fn with(
        seed: u64,
        nodes: usize,
        voters: usize,
        want: usize,
        mutation: Option<Mutation>,
        set: impl FnOnce(&mut World),
    ) -> World {
        let mut world = World {
            now: 1_000 * MS,
            nodes: Vec::new(),
            bag: Vec::new(),
            cut: BTreeSet::new(),
            spite: false,
            scarce: None,
            slow: None,
            chance: ChaCha8Rng::seed_from_u64(seed),
            mutation,
            eager_rollback: false,
            config: Config {
                lease_ttl: 900_000 * MS,
                member_timeout: 1_500 * MS,
                target_members: want,
                max_leases: 10_000,
                max_response_bytes: usize::MAX,
                tolerated_zone_losses: 0,
                zone: String::new(),
            },
            seeds: (0..voters).map(at).collect(),
            calls: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_call: 1,
            next_token: 1,
            next_version: 1,
            granted: BTreeMap::new(),
            freed: BTreeSet::new(),
            done: BTreeSet::new(),
            sent: BTreeSet::new(),
            floor: Revision::NONE,
            papers: BTreeSet::new(),
            floors: BTreeMap::new(),
            bulk: 0,
            views: BTreeMap::new(),
            decided: BTreeMap::new(),
            people: people::People::default(),
            broken: None,
            steps: 0,
            seen: [0; 12],
        };
        set(&mut world);
        for node in 0..nodes {
            world.nodes.push(Node {
                core: None,
                disk: Disk::default(),
                pending: VecDeque::new(),
                life: 0,
                view: 0,
                safe: Revision::NONE,
                safe_papers: BTreeMap::new(),
            });
            world.start(node, true);
            world.sync(node, usize::MAX);
        }
        world
    }

    /// Whether the view still has more than half without any one zone.
    pub fn is_spread(&self, view: &Membership) -> bool {
        let of = |name: &str| {
            let zones = view.members.iter().map(|member| zone(usize::from(member.address.port() - 7000)));
            zones.filter(|zone| *zone == name).count()
        };
        ["a", "b", "c"].iter().all(|name| 2 * (view.members.len() - of(name)) > view.members.len())
    }

    pub fn start(&mut self, node: usize, first: bool) {
        let mut out = Vec::new();
        let saved = self.nodes[node].disk.saved();
        let seed = self.chance.random();
        let config = Config { zone: zone(node).into(), ..self.config.clone() };
        let mut core = Core::new(self.now, seed, at(node), first, &self.seeds, saved, config, &mut out);
        (core.mutation, core.eager_rollback) = (self.mutation, self.eager_rollback);
        self.nodes[node].core = Some(core);
        self.nodes[node].life += 1;
        self.nodes[node].safe = Revision::NONE;
        self.nodes[node].safe_papers.clear();
        self.act(node, out);
    }

    /// Ends at once: what was not safe yet may have reached the disk in part, and nothing of it was said.
    pub fn crash(&mut self, node: usize) {
        let written = self.chance.random_range(0..=self.nodes[node].pending.len());
        let this = &mut self.nodes[node];
        let pending = std::mem::take(&mut this.pending);
        for act in pending.into_iter().take(written) {
            if let Effect::Persist(record) = act {
                this.disk.write(record);
            }
        }
        this.core = None;
    }

    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].disk = Disk::default();
        self.seen[WIPES] += 1;
    }

    /// More than half must stay whole, and one that is new in a view counts as lost until it votes.
    pub fn may_wipe(&self, node: usize) -> bool {
        let cores =
            self.nodes.iter().filter_map(|node| node.core.as_ref().map(|core| core.membership().clone()));
        let disks =
            self.nodes.iter().filter_map(|node| node.disk.ballots.as_ref().map(|b| b.membership.clone()));
        let Some(view) = cores.chain(disks).max_by_key(|view| view.epoch) else { return false };
        let whole = |member: &ReplicaId| {
            let node = self.nodes.iter().enumerate().find(|(node, _)| at(*node) == member.address);
            node.and_then(|(_, node)| node.disk.ballots.as_ref()).is_some_and(|ballots| {
                ballots.replica == *member && ballots.voter && ballots.membership.epoch == view.epoch
            })
        };
        let others = view.members.iter().filter(|member| member.address != at(node));
        let lost = others.filter(|member| !whole(member)).count() + 1;
        2 * lost < view.members.len()
    }

    /// So many of the acts that wait for the disk.
    pub fn sync(&mut self, node: usize, count: usize) {
        for _ in 0..count {
            match self.nodes[node].pending.pop_front() {
                Some(Effect::Persist(record)) => self.nodes[node].disk.write(record),
                Some(Effect::SendAfterPersist(to, letter)) => self.fly(node, to, letter),
                Some(_) => {}
                None => break,
            }
        }
    }

    fn fly(&mut self, from: usize, to: SocketAddr, letter: Message) {
        let Some(to) = (0..self.nodes.len()).find(|node| at(*node) == to) else { return };
        let kind = kind(&letter.body);
        if self.scarce == Some(kind) && to != from && self.chance.random_range(0..8) > 0 {
            return;
        }
        let life = (to == from).then_some(self.nodes[from].life);
        if kind == "beat" && self.chance.random_range(0..4) > 0 {
            // Beats are many, and a late one says little: most often the last one is lost.
            let beat = |flying: &Flying| matches!(flying.letter.body, MessageBody::Heartbeat { .. });
            self.bag.retain(|other| other.to != to || other.letter.from != letter.from || !beat(other));
        }
        self.bag.push(Flying { to, life, letter });
    }

    pub fn deliver(&mut self, index: usize) {
        if self
            .bag
            .get(index)
            .is_none_or(|flying| self.cut.contains(&(flying.letter.from.address, flying.to)))
        {
            return;
        }
        let late = self.bag.get(index).is_some_and(|flying| Some(kind(&flying.letter.body)) == self.slow);
        if late && self.chance.random_range(0..8) > 0 {
            return;
        }
        let Flying { to, life, letter } = self.bag.swap_remove(index);
        if life.is_some_and(|life| life != self.nodes[to].life) {
            return;
        }
        self.seen[LETTERS] += 1;
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[to].core {
            core.handle_message(self.now, letter, &mut out);
            core.flush(&mut out);
        }
        self.act(to, out);
    }

    pub fn tick(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.tick(self.now, &mut out);
        }
        self.act(node, out);
    }

    pub fn want(&mut self, node: usize, want: CoreRequest) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        let asked = match &want {
            CoreRequest::AcquireLease { key, token, .. } => Asked::Lease(*key, *token),
            CoreRequest::CompleteLease { token, outcome, .. } => {
                match outcome {
                    None => self.freed.insert(*token),
                    Some(LeaseOutcome::Completed(_)) => self.done.insert(*token),
                    _ => false,
                };
                Asked::Settle
            }
            CoreRequest::ReplaceConfiguration(sheet) => {
                self.sent.insert(sheet.revision());
                Asked::Replace(sheet.revision())
            }
            CoreRequest::ReadConfiguration => Asked::Read { floor: self.floor },
            CoreRequest::ReplaceRegister(paper) => {
                self.papers.insert((paper.name.clone(), paper.value.revision()));
                Asked::Register(paper.name.clone(), paper.value.revision())
            }
            CoreRequest::ReadRegister(name) => {
                Asked::ReadPaper { name: name.clone(), floor: self.floor_of(name) }
            }
            CoreRequest::Session(session, wish) => self.people.asks(*session, wish),
        };
        let life = self.nodes[node].life;
        self.calls.insert((node, life, call), asked);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.handle_request(self.now, call, want, &mut out);
            core.flush(&mut out);
        }
        self.act(node, out);
        call
    }

    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.announce_departure(self.now, &mut out);
        }
        self.act(node, out);
    }

    pub fn token(&mut self) -> LeaseToken {
        self.next_token += 1;
        self.next_token
    }

    pub fn sheet(&mut self) -> Arc<RegisterValue> {
        self.next_version += 1;
        Arc::new(RegisterValue::new(self.next_version, vec![self.next_version as u8]))
    }

    /// Another content under the version of the last one.
    pub fn other_sheet(&mut self) -> Arc<RegisterValue> {
        let content = [self.next_version as u8, self.chance.random_range(1..4)];
        Arc::new(RegisterValue::new(self.next_version, content.to_vec()))
    }

    /// The text of each tells its name, so that none is taken for another's.
    pub fn paper(&mut self, name: &str, version: u64) -> NamedRegister {
        let mut bytes = name.as_bytes().to_vec();
        bytes.resize(bytes.len() + self.bulk, 0);
        // Hashing that much would take most of a walk's time.
        let digest = self.chance.random_range(1..4);
        NamedRegister { name: name.into(), value: Arc::new(RegisterValue { version, digest, bytes }) }
    }

    fn floor_of(&self, name: &str) -> Revision {
        self.floors.get(name).copied().unwrap_or_default()
    }

    fn raise(&mut self, name: &RegisterName, rank: Revision) {
        let floor = self.floors.entry(name.clone()).or_default();
        *floor = rank.max(*floor);
    }

    /// Whether more than half of the view that this node goes by have it on disk, or had until their disk was lost; or of
    /// one before, in which it was found safe: whoever joins is told of it.
    fn is_on_most_disks(&self, node: usize, name: &RegisterName, rank: Revision) -> bool {
        let Some(number) = self.nodes[node].core.as_ref().map(|core| core.membership().epoch) else {
            return true;
        };
        let sheet_of = |disk: &Disk, name: &RegisterName| match &**name {
            "" => disk.sheet.clone(),
            name => disk.papers.get(name).cloned(),
        };
        let holds = |member: &&ReplicaId| {
            let node = self.nodes.iter().enumerate().find(|(node, _)| at(*node) == member.address);
            node.is_some_and(|(_, Node { disk, .. })| {
                disk.ballots.as_ref().is_none_or(|ballots| ballots.replica != **member)
                    || sheet_of(disk, name).is_some_and(|sheet| sheet.revision() >= rank)
            })
        };
        let most = |view: &Membership| 2 * view.members.iter().filter(holds).count() > view.members.len();
        self.views.range(..=number).any(|(_, view)| most(view))
    }

    fn act(&mut self, node: usize, out: Vec<Effect>) {
        self.look_at_held(node);
        for act in out {
            match act {
                Effect::SendNow(to, letter) => self.fly(node, to, letter),
                Effect::Respond { call, response: got } => self.answered(node, call, got),
                Effect::Log(_) => {}
                act => {
                    let wrong = self.people.writes(&act);
                    wrong.into_iter().for_each(|wrong| self.broke(wrong));
                    self.nodes[node].pending.push_back(act);
                }
            }
        }
        self.look(node);
    }

    fn broke(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    fn answered(&mut self, node: usize, call: u64, got: CoreResponse) {
        let life = self.nodes[node].life;
        let Some(asked) = self.calls.remove(&(node, life, call)) else {
            return self.broke(format!("call {call} answered twice"));
        };
        self.answers.insert(call, got.clone());
        match (asked, got) {
            (Asked::Lease(key, token), CoreResponse::LeaseGranted) => {
                self.seen[GRANTED] += 1;
                if self.freed.contains(&token) {
                    return;
                }
                let freed = &self.freed;
                let others = self.granted.entry(key).or_default();
                others.insert(token);
                let both: Vec<LeaseToken> =
                    others.iter().filter(|token| !freed.contains(token)).copied().collect();
                if both.len() > 1 {
                    self.broke(format!("key {key} granted to {both:?}"));
                }
            }
            (Asked::Lease(..), CoreResponse::LeaseHeld(outcome)) => {
                self.seen[HELD] += 1;
                if let LeaseOutcome::Completed(answer) = outcome {
                    let token = <[u8; 8]>::try_from(&answer.body[..]).map(LeaseToken::from_be_bytes);
                    if !token.is_ok_and(|token| self.done.contains(&token)) {
                        self.broke("an answer that nobody gave".into());
                    }
                }
            }
            (Asked::Replace(rank), CoreResponse::Accepted) => {
                self.seen[TAKEN] += 1;
                self.confirmed(node, &"".into(), rank);
                self.floor = self.floor.max(rank);
            }
            (Asked::Replace(rank), CoreResponse::Conflict) => self.refused(&"".into(), rank),
            (Asked::Register(name, rank), CoreResponse::Conflict) => self.refused(&name, rank),
            (Asked::Read { floor }, CoreResponse::Register(sheet)) => {
                self.seen[READ] += 1;
                let rank = sheet.map_or(Revision::NONE, |sheet| sheet.revision());
                if rank < floor {
                    self.broke(format!("read {rank:?} where {floor:?} was known before it began"));
                }
                if rank != Revision::NONE && !self.sent.contains(&rank) {
                    self.broke(format!("read {rank:?}, which nobody sent"));
                }
                self.floor = self.floor.max(rank);
            }
            (Asked::Register(name, rank), CoreResponse::Accepted) => {
                self.seen[PAPERS] += 1;
                self.confirmed(node, &name, rank);
                self.raise(&name, rank);
                if !self.is_on_most_disks(node, &name, rank) {
                    self.broke(format!("{name} {rank:?} acknowledged by fewer than more than half"));
                }
            }
            (Asked::ReadPaper { name, floor }, CoreResponse::Register(sheet)) => {
                self.seen[PAPERS_READ] += 1;
                let rank = sheet.as_ref().map_or(Revision::NONE, |sheet| sheet.revision());
                if rank < floor {
                    self.broke(format!("read {name} {rank:?} where {floor:?} was known before it began"));
                }
                let own = sheet.is_none_or(|sheet| sheet.bytes.starts_with(name.as_bytes()));
                if rank != Revision::NONE && !(own && self.papers.contains(&(name.clone(), rank))) {
                    self.broke(format!("read {name} {rank:?}, which nobody sent under that name"));
                }
                self.raise(&name, rank);
            }
            (Asked::Settle, CoreResponse::Accepted)
            | (Asked::Register(..), CoreResponse::CapacityExceeded) => {}
            (Asked::Session { session, floor }, CoreResponse::Session(agreed)) => {
                let wrong = self.people.answered(session, floor, agreed);
                wrong.into_iter().for_each(|wrong| self.broke(wrong));
            }
            (_, CoreResponse::Unavailable) => self.seen[UNSURE] += 1,
            (_, got) => self.broke(format!("{got:?} is no answer to that")),
        }
    }

    /// An order was confirmed: it is the content decided under its version, or a later version is on most disks.
    fn confirmed(&mut self, node: usize, name: &RegisterName, Revision { version, digest }: Revision) {
        let decided = self.decided.get(&(name.clone(), version)).copied();
        if decided == Some(digest) {
            return;
        }
        let of_name = (name.clone(), version + 1)..=(name.clone(), u64::MAX);
        let later: Vec<Revision> =
            self.decided.range(of_name).map(|((_, later), digest)| Revision::new(*later, *digest)).collect();
        if !later.into_iter().any(|rank| self.is_on_most_disks(node, name, rank)) {
            self.broke(format!("{name} r{version} confirmed, where {decided:?} was decided"));
        }
    }

    /// An order was refused: other content must have been decided under its version.
    fn refused(&mut self, name: &RegisterName, Revision { version, digest }: Revision) {
        self.seen[REFUSED] += 1;
        if self.decided.get(&(name.clone(), version)).is_none_or(|decided| *decided == digest) {
            self.broke(format!("{name} r{version} refused, which was taken or may yet be"));
        }
    }

    /// Whatever a steward holds is the only content of its version.
    fn look_at_held(&mut self, node: usize) {
        let Some(core) = &self.nodes[node].core else { return };
        let configuration = core.stored_configuration().map(|sheet| ("".into(), sheet.revision()));
        let papers = core.registers().filter_map(|paper| Some((paper.name, paper.stored?.revision())));
        for (name, Revision { version, digest }) in
            configuration.into_iter().chain(papers).collect::<Vec<_>>()
        {
            let decided = *self.decided.entry((name.clone(), version)).or_insert(digest);
            if decided != digest {
                self.broke(format!("{name} r{version}: two contents are held"));
            }
        }
    }

    /// What must hold of a steward at all times.
    fn look(&mut self, node: usize) {
        let Some(core) = &self.nodes[node].core else { return };
        let rank = core.committed_configuration().map_or(Revision::NONE, |sheet| sheet.revision());
        let view = core.membership().clone();
        let safe = core.registers().filter_map(|paper| Some((paper.name, paper.committed?.revision())));
        let safe: BTreeMap<RegisterName, Revision> = safe.collect();
        if rank < self.nodes[node].safe {
            self.broke("safe went back".into());
        }
        if rank != Revision::NONE && !self.sent.contains(&rank) {
            self.broke("safe is a sheet that nobody sent".into());
        }
        self.nodes[node].safe = rank;
        // Whoever showed it as safe: a read that begins later finds it.
        self.floor = self.floor.max(rank);
        if view.epoch > 0 {
            let number = view.epoch;
            if let Some(other) = self.views.get(&view.epoch) {
                if *other != view {
                    self.broke(format!("two views: {other:?} and {view:?}"));
                }
            } else {
                self.seen[VIEWS] += 1;
                self.seen[UNDONE] += u64::from(view.rolled_back);
                self.views.insert(view.epoch, view);
            }
            let known = self.nodes[node].view;
            self.nodes[node].view = number;
            if self.spite && known != 0 && known != number {
                self.silence(node);
            }
        }
        let was = std::mem::replace(&mut self.nodes[node].safe_papers, safe.clone());
        if was.iter().any(|(name, rank)| safe.get(name).is_none_or(|safe| safe < rank)) {
            self.broke("a safe paper went back".into());
        }
        for (name, rank) in &safe {
            if !self.papers.contains(&(name.clone(), *rank)) {
                self.broke(format!("safe is {name} {rank:?}, which nobody sent under that name"));
            }
            if was.get(name) != Some(rank) && !self.is_on_most_disks(node, name, *rank) {
                self.broke(format!("safe is {name} {rank:?}, which fewer than more than half hold"));
            }
            self.raise(name, *rank);
        }
    }

    /// Hardly anybody hears of what this one has just learnt.
    fn silence(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            if self.chance.random_range(0..4) > 0 {
                self.cut.insert((at(node), other));
                self.bag.retain(|flying| flying.letter.from.address != at(node) || flying.to != other);
            }
        }
    }

    /// Calls of a life that has ended are never answered.
    pub fn calls_of_the_living(&self) -> usize {
        self.calls.keys().filter(|(node, life, _)| self.nodes[*node].life == *life).count()
    }

    /// All machines run and nothing is lost for so long.
    pub fn calm(&mut self, time: u64) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_none() {
                self.start(node, false);
            }
        }
        self.cut.clear();
        self.spite = false;
        (self.scarce, self.slow) = (None, None);
        let end = self.now + time;
        while self.now < end && self.broken.is_none() {
            self.now += 50 * MS;
            for node in 0..self.nodes.len() {
                self.tick(node);
            }
            self.settle_down();
        }
    }

    /// Delivers all, in the order in which it was sent, and syncs all.
    pub fn settle_down(&mut self) {
        for _ in 0..100_000 {
            for node in 0..self.nodes.len() {
                self.sync(node, usize::MAX);
            }
            if self.bag.is_empty() || self.broken.is_some() {
                return;
            }
            let mut letters = std::mem::take(&mut self.bag);
            letters.reverse();
            while let Some(flying) = letters.pop() {
                self.bag.push(flying);
                let last = self.bag.len() - 1;
                self.deliver(last);
            }
        }
        self.broke("letters without end".into());
    }

    pub fn up(&self, node: usize) -> bool {
        self.nodes[node].core.is_some()
    }
}

pub const KINDS: [&str; 14] = [
    "beat", "holds", "prepare", "promise", "accept", "accepted", "back", "grant", "granted", "settle",
    "hold", "held", "state", "version",
];

fn kind(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::Heartbeat { .. } => "beat",
        MessageBody::MembershipAnnouncement(_) => "holds",
        MessageBody::Prepare(_) | MessageBody::PrepareRollback(_) => "prepare",
        MessageBody::Promise { .. } | MessageBody::RollbackPromise { .. } => "promise",
        MessageBody::Accept(_, view) if view.rolled_back => "back",
        MessageBody::Accept(..) => "accept",
        MessageBody::Accepted(_) | MessageBody::Preempted(_) => "accepted",
        MessageBody::RequestLeases(_) => "grant",
        MessageBody::LeaseVotes(_) => "granted",
        MessageBody::CompleteLeases(_) => "settle",
        MessageBody::StoreConfiguration(_) | MessageBody::StoreRegisters(_) => "hold",
        MessageBody::Sessions(_) => "session",
        MessageBody::RegisterPaxos(_) => "version",
        MessageBody::ConfigurationStored { .. } | MessageBody::FetchConfiguration { .. } => "held",
        MessageBody::RegistersStored { .. }
        | MessageBody::FetchRegisters { .. }
        | MessageBody::ListRegisters(_) => "held",
        MessageBody::FetchSnapshot { .. } | MessageBody::SnapshotChunk { .. } => "state",
    }
}
