//! A few stewards, their disks and a bag of letters under way, all in memory. It owns what must always hold, and looks
//! for it after each thing that happens. It must never help a steward with anything a real machine would not have.

#![allow(dead_code)]

pub mod people;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_consensus::core::{Config, Core};
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

pub fn answer(token: Token) -> Arc<Answer> {
    Arc::new(Answer { status: 200, headers: Vec::new(), body: token.to_be_bytes().to_vec() })
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub ballots: Option<Ballots>,
    pub version_ballots: Vec<VersionBallot>,
    pub sheet: Option<Arc<Sheet>>,
    pub claims: BTreeMap<Key, Claim>,
    pub papers: BTreeMap<Name, Arc<Sheet>>,
    pub sessions: BTreeMap<Session, Entry>,
}

impl Disk {
    fn write(&mut self, record: Record) {
        match record {
            Record::Ballots(ballots) => self.ballots = Some(ballots),
            Record::VersionBallots(ballots) => self.version_ballots = ballots,
            Record::Sheet(sheet) => self.sheet = Some(sheet),
            Record::Claim(key, claim) => {
                self.claims.insert(key, claim);
            }
            Record::Session(session, entry) => drop(self.sessions.insert(session, entry)),
            Record::SessionOver(session) => drop(self.sessions.remove(&session)),
            Record::Free(key, token) => {
                if self.claims.get(&key).is_some_and(|claim| claim.token == token) {
                    self.claims.remove(&key);
                }
            }
            Record::Paper(paper) => {
                self.papers.insert(paper.name, paper.sheet);
            }
        }
    }

    fn saved(&self) -> Saved {
        let claims = self.claims.iter().map(|(key, claim)| (*key, claim.clone())).collect();
        let sessions = self.sessions.iter().map(|(session, entry)| (*session, entry.clone())).collect();
        let papers = self
            .papers
            .iter()
            .map(|(name, sheet)| Paper { name: name.clone(), sheet: sheet.clone() })
            .collect();
        let (ballots, version_ballots) = (self.ballots.clone(), self.version_ballots.clone());
        Saved { ballots, version_ballots, sheet: self.sheet.clone(), claims, sessions, papers }
    }
}

#[derive(Clone)]
pub struct Node {
    pub core: Option<Core>,
    pub disk: Disk,
    /// Not safe on disk yet, and what waits for it.
    pub pending: VecDeque<Act>,
    pub life: u64,
    view: u64,
    safe: (u64, u64),
    safe_papers: BTreeMap<Name, (u64, u64)>,
}

#[derive(Clone)]
pub struct Flying {
    pub to: usize,
    /// Letters to oneself end with the life.
    pub life: Option<u64>,
    pub letter: Letter,
}

#[derive(Clone)]
pub enum Asked {
    Claim(Key, Token),
    Settle,
    Replace((u64, u64)),
    Read { floor: (u64, u64) },
    Paper(Name, (u64, u64)),
    ReadPaper { name: Name, floor: (u64, u64) },
    Session { session: Session, floor: Option<u64> },
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
    pub mutant: u8,
    /// They go back to the view before whenever it may be safe.
    pub hasty: bool,
    pub config: Config,
    seeds: Vec<SocketAddr>,
    /// By node, life and number.
    pub calls: BTreeMap<(usize, u64, u64), Asked>,
    pub answers: BTreeMap<u64, Got>,
    next_call: u64,
    pub next_token: Token,
    pub next_version: u64,
    pub granted: BTreeMap<Key, BTreeSet<Token>>,
    pub freed: BTreeSet<Token>,
    pub done: BTreeSet<Token>,
    pub sent: BTreeSet<(u64, u64)>,
    /// Every read that begins from now on finds at least this.
    pub floor: (u64, u64),
    /// The papers that were sent, and the rank that every read of a name finds from now on.
    pub papers: BTreeSet<(Name, (u64, u64))>,
    pub floors: BTreeMap<Name, (u64, u64)>,
    /// The bytes of a paper.
    pub bulk: usize,
    pub views: BTreeMap<u64, View>,
    /// The one content that was ever held of each version of a register.
    pub decided: BTreeMap<(Name, u64), u64>,
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
    pub fn new(seed: u64, nodes: usize, voters: usize, want: usize, mutant: u8) -> World {
        World::with(seed, nodes, voters, want, mutant, |_| {})
    }

    /// Something is set before they start.
    pub fn with(
        seed: u64,
        nodes: usize,
        voters: usize,
        want: usize,
        mutant: u8,
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
            mutant,
            hasty: false,
            config: Config {
                keep: 900_000 * MS,
                lost_after: 1_500 * MS,
                want,
                most_claims: 10_000,
                most_bytes: usize::MAX,
                zones: 0,
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
            floor: (0, 0),
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
                safe: (0, 0),
                safe_papers: BTreeMap::new(),
            });
            world.start(node, true);
            world.sync(node, usize::MAX);
        }
        world
    }

    /// Whether the view still has more than half without any one zone.
    pub fn is_spread(&self, view: &View) -> bool {
        let of = |name: &str| {
            let zones = view.members.iter().map(|member| zone(usize::from(member.at.port() - 7000)));
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
        (core.mutant, core.hasty) = (self.mutant, self.hasty);
        self.nodes[node].core = Some(core);
        self.nodes[node].life += 1;
        self.nodes[node].safe = (0, 0);
        self.nodes[node].safe_papers.clear();
        self.act(node, out);
    }

    /// Ends at once: what was not safe yet may have reached the disk in part, and nothing of it was said.
    pub fn crash(&mut self, node: usize) {
        let written = self.chance.random_range(0..=self.nodes[node].pending.len());
        let this = &mut self.nodes[node];
        let pending = std::mem::take(&mut this.pending);
        for act in pending.into_iter().take(written) {
            if let Act::Write(record) = act {
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
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref().map(|core| core.view().clone()));
        let disks = self.nodes.iter().filter_map(|node| node.disk.ballots.as_ref().map(|b| b.view.clone()));
        let Some(view) = cores.chain(disks).max_by_key(|view| view.number) else { return false };
        let whole = |member: &Station| {
            let node = self.nodes.iter().enumerate().find(|(node, _)| at(*node) == member.at);
            node.and_then(|(_, node)| node.disk.ballots.as_ref()).is_some_and(|ballots| {
                ballots.me == *member && ballots.voter && ballots.view.number == view.number
            })
        };
        let others = view.members.iter().filter(|member| member.at != at(node));
        let lost = others.filter(|member| !whole(member)).count() + 1;
        2 * lost < view.members.len()
    }

    /// So many of the acts that wait for the disk.
    pub fn sync(&mut self, node: usize, count: usize) {
        for _ in 0..count {
            match self.nodes[node].pending.pop_front() {
                Some(Act::Write(record)) => self.nodes[node].disk.write(record),
                Some(Act::Send(to, letter)) => self.fly(node, to, letter),
                Some(_) => {}
                None => break,
            }
        }
    }

    fn fly(&mut self, from: usize, to: SocketAddr, letter: Letter) {
        let Some(to) = (0..self.nodes.len()).find(|node| at(*node) == to) else { return };
        let kind = kind(&letter.body);
        if self.scarce == Some(kind) && to != from && self.chance.random_range(0..8) > 0 {
            return;
        }
        let life = (to == from).then_some(self.nodes[from].life);
        if kind == "beat" && self.chance.random_range(0..4) > 0 {
            // Beats are many, and a late one says little: most often the last one is lost.
            let beat = |flying: &Flying| matches!(flying.letter.body, Body::Beat { .. });
            self.bag.retain(|other| other.to != to || other.letter.from != letter.from || !beat(other));
        }
        self.bag.push(Flying { to, life, letter });
    }

    pub fn deliver(&mut self, index: usize) {
        if self.bag.get(index).is_none_or(|flying| self.cut.contains(&(flying.letter.from.at, flying.to))) {
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
            core.hear(self.now, letter, &mut out);
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

    pub fn want(&mut self, node: usize, want: Want) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        let asked = match &want {
            Want::Claim { key, token, .. } => Asked::Claim(*key, *token),
            Want::Settle { token, outcome, .. } => {
                match outcome {
                    None => self.freed.insert(*token),
                    Some(Outcome::Done(_)) => self.done.insert(*token),
                    _ => false,
                };
                Asked::Settle
            }
            Want::Replace(sheet) => {
                self.sent.insert(sheet.rank());
                Asked::Replace(sheet.rank())
            }
            Want::Read => Asked::Read { floor: self.floor },
            Want::Paper(paper) => {
                self.papers.insert((paper.name.clone(), paper.sheet.rank()));
                Asked::Paper(paper.name.clone(), paper.sheet.rank())
            }
            Want::ReadPaper(name) => Asked::ReadPaper { name: name.clone(), floor: self.floor_of(name) },
            Want::Session(session, wish) => self.people.asks(*session, wish),
        };
        let life = self.nodes[node].life;
        self.calls.insert((node, life, call), asked);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.want(self.now, call, want, &mut out);
            core.flush(&mut out);
        }
        self.act(node, out);
        call
    }

    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.leaving(self.now, &mut out);
        }
        self.act(node, out);
    }

    pub fn token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }

    pub fn sheet(&mut self) -> Arc<Sheet> {
        self.next_version += 1;
        Arc::new(Sheet::new(self.next_version, vec![self.next_version as u8]))
    }

    /// Another content under the version of the last one.
    pub fn other_sheet(&mut self) -> Arc<Sheet> {
        let content = [self.next_version as u8, self.chance.random_range(1..4)];
        Arc::new(Sheet::new(self.next_version, content.to_vec()))
    }

    /// The text of each tells its name, so that none is taken for another's.
    pub fn paper(&mut self, name: &str, version: u64) -> Paper {
        let mut bytes = name.as_bytes().to_vec();
        bytes.resize(bytes.len() + self.bulk, 0);
        // Hashing that much would take most of a walk's time.
        let digest = self.chance.random_range(1..4);
        Paper { name: name.into(), sheet: Arc::new(Sheet { version, digest, bytes }) }
    }

    fn floor_of(&self, name: &str) -> (u64, u64) {
        self.floors.get(name).copied().unwrap_or_default()
    }

    fn raise(&mut self, name: &Name, rank: (u64, u64)) {
        let floor = self.floors.entry(name.clone()).or_default();
        *floor = rank.max(*floor);
    }

    /// Whether more than half of the view that this node goes by have it on disk, or had until their disk was lost; or of
    /// one before, in which it was found safe: whoever joins is told of it.
    fn is_on_most_disks(&self, node: usize, name: &Name, rank: (u64, u64)) -> bool {
        let Some(number) = self.nodes[node].core.as_ref().map(|core| core.view().number) else { return true };
        let sheet_of = |disk: &Disk, name: &Name| match &**name {
            "" => disk.sheet.clone(),
            name => disk.papers.get(name).cloned(),
        };
        let holds = |member: &&Station| {
            let node = self.nodes.iter().enumerate().find(|(node, _)| at(*node) == member.at);
            node.is_some_and(|(_, Node { disk, .. })| {
                disk.ballots.as_ref().is_none_or(|ballots| ballots.me != **member)
                    || sheet_of(disk, name).is_some_and(|sheet| sheet.rank() >= rank)
            })
        };
        let most = |view: &View| 2 * view.members.iter().filter(holds).count() > view.members.len();
        self.views.range(..=number).any(|(_, view)| most(view))
    }

    fn act(&mut self, node: usize, out: Vec<Act>) {
        self.look_at_held(node);
        for act in out {
            match act {
                Act::Now(to, letter) => self.fly(node, to, letter),
                Act::Answer { call, got } => self.answered(node, call, got),
                Act::Log(_) => {}
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

    fn answered(&mut self, node: usize, call: u64, got: Got) {
        let life = self.nodes[node].life;
        let Some(asked) = self.calls.remove(&(node, life, call)) else {
            return self.broke(format!("call {call} answered twice"));
        };
        self.answers.insert(call, got.clone());
        match (asked, got) {
            (Asked::Claim(key, token), Got::Granted) => {
                self.seen[GRANTED] += 1;
                if self.freed.contains(&token) {
                    return;
                }
                let freed = &self.freed;
                let others = self.granted.entry(key).or_default();
                others.insert(token);
                let both: Vec<Token> =
                    others.iter().filter(|token| !freed.contains(token)).copied().collect();
                if both.len() > 1 {
                    self.broke(format!("key {key} granted to {both:?}"));
                }
            }
            (Asked::Claim(..), Got::Held(outcome)) => {
                self.seen[HELD] += 1;
                if let Outcome::Done(answer) = outcome {
                    let token = <[u8; 8]>::try_from(&answer.body[..]).map(Token::from_be_bytes);
                    if !token.is_ok_and(|token| self.done.contains(&token)) {
                        self.broke("an answer that nobody gave".into());
                    }
                }
            }
            (Asked::Replace(rank), Got::Taken) => {
                self.seen[TAKEN] += 1;
                self.confirmed(node, &"".into(), rank);
                self.floor = self.floor.max(rank);
            }
            (Asked::Replace(rank), Got::Conflict) => self.refused(&"".into(), rank),
            (Asked::Paper(name, rank), Got::Conflict) => self.refused(&name, rank),
            (Asked::Read { floor }, Got::Newest(sheet)) => {
                self.seen[READ] += 1;
                let rank = sheet.map_or((0, 0), |sheet| sheet.rank());
                if rank < floor {
                    self.broke(format!("read {rank:?} where {floor:?} was known before it began"));
                }
                if rank != (0, 0) && !self.sent.contains(&rank) {
                    self.broke(format!("read {rank:?}, which nobody sent"));
                }
                self.floor = self.floor.max(rank);
            }
            (Asked::Paper(name, rank), Got::Taken) => {
                self.seen[PAPERS] += 1;
                self.confirmed(node, &name, rank);
                self.raise(&name, rank);
                if !self.is_on_most_disks(node, &name, rank) {
                    self.broke(format!("{name} {rank:?} acknowledged by fewer than more than half"));
                }
            }
            (Asked::ReadPaper { name, floor }, Got::Newest(sheet)) => {
                self.seen[PAPERS_READ] += 1;
                let rank = sheet.as_ref().map_or((0, 0), |sheet| sheet.rank());
                if rank < floor {
                    self.broke(format!("read {name} {rank:?} where {floor:?} was known before it began"));
                }
                let own = sheet.is_none_or(|sheet| sheet.bytes.starts_with(name.as_bytes()));
                if rank != (0, 0) && !(own && self.papers.contains(&(name.clone(), rank))) {
                    self.broke(format!("read {name} {rank:?}, which nobody sent under that name"));
                }
                self.raise(&name, rank);
            }
            (Asked::Settle, Got::Taken) | (Asked::Paper(..), Got::Full) => {}
            (Asked::Session { session, floor }, Got::Session(agreed)) => {
                let wrong = self.people.answered(session, floor, agreed);
                wrong.into_iter().for_each(|wrong| self.broke(wrong));
            }
            (_, Got::Unsure) => self.seen[UNSURE] += 1,
            (_, got) => self.broke(format!("{got:?} is no answer to that")),
        }
    }

    /// An order was confirmed: it is the content decided under its version, or a later version is on most disks.
    fn confirmed(&mut self, node: usize, name: &Name, (version, digest): (u64, u64)) {
        let decided = self.decided.get(&(name.clone(), version)).copied();
        if decided == Some(digest) {
            return;
        }
        let of_name = (name.clone(), version + 1)..=(name.clone(), u64::MAX);
        let later: Vec<(u64, u64)> =
            self.decided.range(of_name).map(|((_, later), digest)| (*later, *digest)).collect();
        if !later.into_iter().any(|rank| self.is_on_most_disks(node, name, rank)) {
            self.broke(format!("{name} r{version} confirmed, where {decided:?} was decided"));
        }
    }

    /// An order was refused: other content must have been decided under its version.
    fn refused(&mut self, name: &Name, (version, digest): (u64, u64)) {
        self.seen[REFUSED] += 1;
        if self.decided.get(&(name.clone(), version)).is_none_or(|decided| *decided == digest) {
            self.broke(format!("{name} r{version} refused, which was taken or may yet be"));
        }
    }

    /// Whatever a steward holds is the only content of its version.
    fn look_at_held(&mut self, node: usize) {
        let Some(core) = &self.nodes[node].core else { return };
        let configuration = core.held().map(|sheet| ("".into(), sheet.rank()));
        let papers = core.papers().filter_map(|paper| Some((paper.name, paper.held?.rank())));
        for (name, (version, digest)) in configuration.into_iter().chain(papers).collect::<Vec<_>>() {
            let decided = *self.decided.entry((name.clone(), version)).or_insert(digest);
            if decided != digest {
                self.broke(format!("{name} r{version}: two contents are held"));
            }
        }
    }

    /// What must hold of a steward at all times.
    fn look(&mut self, node: usize) {
        let Some(core) = &self.nodes[node].core else { return };
        let rank = core.safe().map_or((0, 0), |sheet| sheet.rank());
        let view = core.view().clone();
        let safe = core.papers().filter_map(|paper| Some((paper.name, paper.safe?.rank())));
        let safe: BTreeMap<Name, (u64, u64)> = safe.collect();
        if rank < self.nodes[node].safe {
            self.broke("safe went back".into());
        }
        if rank != (0, 0) && !self.sent.contains(&rank) {
            self.broke("safe is a sheet that nobody sent".into());
        }
        self.nodes[node].safe = rank;
        // Whoever showed it as safe: a read that begins later finds it.
        self.floor = self.floor.max(rank);
        if view.number > 0 {
            let number = view.number;
            if let Some(other) = self.views.get(&view.number) {
                if *other != view {
                    self.broke(format!("two views: {other:?} and {view:?}"));
                }
            } else {
                self.seen[VIEWS] += 1;
                self.seen[UNDONE] += u64::from(view.undone);
                self.views.insert(view.number, view);
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
                self.bag.retain(|flying| flying.letter.from.at != at(node) || flying.to != other);
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

fn kind(body: &Body) -> &'static str {
    match body {
        Body::Beat { .. } => "beat",
        Body::Holds(_) => "holds",
        Body::Prepare(_) | Body::Bar(_) => "prepare",
        Body::Promise { .. } | Body::Barred { .. } => "promise",
        Body::Accept(_, view) if view.undone => "back",
        Body::Accept(..) => "accept",
        Body::Accepted(_) | Body::Outbid(_) => "accepted",
        Body::Grant(_) => "grant",
        Body::Granted(_) => "granted",
        Body::Settle(_) => "settle",
        Body::Hold(_) | Body::HoldPapers(_) => "hold",
        Body::Sessions(_) => "session",
        Body::Version(_) => "version",
        Body::Held { .. } | Body::WantSheet { .. } => "held",
        Body::PapersHeld { .. } | Body::WantPapers { .. } | Body::ListPapers(_) => "held",
        Body::WantState { .. } | Body::State { .. } => "state",
    }
}
