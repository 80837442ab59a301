//! The protocol as a machine. It owns what this member believes of the others and its own incarnation, and must never send
//! more to an address that is not a member than came from there, nor let what a member says that was dead for the others
//! pass for news: such a one is told of it first, and comes back by a new incarnation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh32::xxh32;

use crate::wire::{Digest, From, MOST, Message, PARTS, What};
use crate::word::{Named, State, Word};
use crate::{MS, Nanos, S};

/// What a fleet agrees on. All spans are stretched by the local health, as in Lifeguard.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// A member probes another one so often.
    pub period: Nanos,
    /// An answer takes no longer than this where all is well; then others are asked to probe.
    pub timeout: Nanos,
    /// So many others.
    pub indirect: usize,
    /// A suspicion lasts this many periods times the logarithm of the fleet's size at the least, and so many times that
    /// at the most: the more members confirm it, the shorter.
    pub suspicion: f64,
    pub suspicion_most: f64,
    pub confirmations: u32,
    /// A saying is sent on this many times the logarithm of the fleet's size.
    pub spread: f64,
    /// While there is news, it goes to so many members so often.
    pub gossip: Nanos,
    pub fanout: usize,
    /// A dead member is still called so often, one at a time: a cut ends some day.
    pub call_dead: Nanos,
    /// And is forgotten after this.
    pub forget: Nanos,
    pub most_members: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            period: 500 * MS,
            timeout: 150 * MS,
            indirect: 3,
            suspicion: 4.0,
            suspicion_most: 3.0,
            confirmations: 3,
            spread: 4.0,
            gossip: 100 * MS,
            fanout: 3,
            call_dead: S,
            forget: 600 * S,
            most_members: 1_000,
        }
    }
}

/// The most that local health stretches spans by.
const HEALTH_MOST: u32 = 8;
/// Sayings on members in one message; the rest of it is other packages'.
const WORDS: usize = 10;
/// Another live process that takes our name so often is no earlier start of ours.
const RIVAL: u32 = 3;
/// Alone, the seeds are asked so often.
const ASK_SEEDS: Nanos = S;
/// Words sent at once to one whose digest differs; the rest goes with the next time that it does.
const MOST_DIFFERING: usize = 80;
/// Probes done for others at once.
const MOST_RELAYED: usize = 64;

/// Where a message goes: a member is reached as its word says, unless the caller knows better.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum To {
    Member(String),
    Address(SocketAddr),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    Send {
        to: To,
        message: Message,
    },
    /// It is there, for the first time or again; under a new start where it is another process.
    Joined {
        name: String,
        start: u64,
    },
    Lost {
        name: String,
    },
    Left {
        name: String,
    },
    /// The others had taken us for dead: what we know may be old.
    Returned,
    /// Another live process has our name and keeps it: we say nothing any more.
    Displaced {
        address: SocketAddr,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub word: Word,
    /// Since when it stands so.
    pub since: Nanos,
    /// Who has said that it is suspect, while it is.
    doubters: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Probe {
    name: String,
    number: u64,
    answered: bool,
    /// When others are asked, if they have not been yet; and when it is over.
    ask_at: Option<Nanos>,
    ends: Nanos,
    /// Those asked who have not been heard of.
    unheard: BTreeSet<String>,
}

/// A probe done for another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relayed {
    own: u64,
    theirs: u64,
    asker: String,
    /// When it is told that there is no answer yet, if it has not been.
    nack_at: Option<Nanos>,
    ends: Nanos,
}

#[derive(Clone, Debug)]
pub struct Swim {
    config: Config,
    name: String,
    mine: Word,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<String, Member>,
    /// The order of probes, shuffled anew each time round.
    order: Vec<String>,
    probe: Option<Probe>,
    relayed: Vec<Relayed>,
    /// Lifeguard's local health: 0 is well.
    health: u32,
    /// Sayings to pass on, with how often they have been.
    news: BTreeMap<String, u32>,
    number: u64,
    probe_at: Nanos,
    gossip_at: Nanos,
    dead_at: Nanos,
    join_at: Nanos,
    /// How often each other start has claimed our name.
    rivals: BTreeMap<u64, u32>,
    leaving: bool,
    displaced: bool,
    chance: ChaCha8Rng,
    out: VecDeque<Output>,
}

impl Swim {
    /// A member that starts now. The start is drawn by the caller, new for each process.
    pub fn new(
        config: Config,
        name: &str,
        address: SocketAddr,
        zone: &str,
        start: u64,
        seeds: Vec<SocketAddr>,
        now: Nanos,
    ) -> Swim {
        let mine = Word { incarnation: 1, state: State::Alive, start, address, zone: zone.into() };
        let mut chance = ChaCha8Rng::seed_from_u64(start);
        // Members that start together don't probe together.
        let probe_at = now + chance.random_range(0..config.period.max(1));
        Swim {
            config,
            name: name.into(),
            mine,
            seeds,
            members: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            relayed: Vec::new(),
            health: 0,
            news: BTreeMap::new(),
            number: 0,
            probe_at,
            gossip_at: now,
            dead_at: now,
            join_at: now,
            rivals: BTreeMap::new(),
            leaving: false,
            displaced: false,
            chance,
            out: VecDeque::new(),
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn mine(&self) -> &Word {
        &self.mine
    }

    /// All others that are known of, also those that are gone.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Those that are there, without us.
    pub fn there(&self) -> impl Iterator<Item = &String> {
        self.members.iter().filter(|(_, member)| member.word.state.there()).map(|(name, _)| name)
    }

    pub fn health(&self) -> u32 {
        self.health
    }

    pub fn output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// A member to talk to about anything, at random.
    pub fn any(&mut self) -> Option<String> {
        let count = self.there().count();
        let at = if count > 0 { self.chance.random_range(0..count) } else { return None };
        self.there().nth(at).cloned()
    }

    /// Goes for good: the others are told, and hear nothing more.
    pub fn leave(&mut self, now: Nanos) {
        if self.leaving || self.displaced {
            return;
        }
        self.leaving = true;
        self.mine.state = State::Left;
        for name in self.some(self.config.fanout.max(3), &BTreeSet::new()) {
            self.send(To::Member(name), What::Gossip, None);
        }
        self.gossip_at = now;
    }

    /// When `tick` is to be called at the latest.
    pub fn next(&self) -> Nanos {
        if self.displaced || self.leaving {
            return Nanos::MAX;
        }
        let probe = self
            .probe
            .as_ref()
            .map_or(self.probe_at, |probe| probe.ask_at.unwrap_or(probe.ends).min(probe.ends));
        let relayed = self.relayed.iter().map(|relayed| relayed.nack_at.unwrap_or(relayed.ends));
        let suspects = self.members.iter().filter(|(_, member)| member.word.state == State::Suspect);
        let suspects = suspects.map(|(_, member)| self.dead_by(member));
        let gossip = if self.news.is_empty() { Nanos::MAX } else { self.gossip_at };
        let join = if self.there().next().is_none() { self.join_at } else { Nanos::MAX };
        let dead = if self.any_dead() { self.dead_at } else { Nanos::MAX };
        let fixed = [probe, gossip, join, dead];
        relayed.chain(suspects).chain(fixed).min().unwrap_or(Nanos::MAX)
    }

    fn any_dead(&self) -> bool {
        self.members.values().any(|member| member.word.state == State::Dead)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Nanos) {
        if self.displaced || self.leaving {
            return;
        }
        self.tick_probe(now);
        self.tick_relayed(now);
        self.tick_suspects(now);
        if self.there().next().is_none() && self.join_at <= now {
            self.join_at = now + ASK_SEEDS;
            let own = self.mine.address;
            for seed in self.seeds.clone().into_iter().filter(|seed| *seed != own) {
                let message = self.message(What::Join { padding: Vec::new() }, Some(self.own_word()));
                self.out.push_back(Output::Send { to: To::Address(seed), message: padded(message) });
            }
        }
        if self.dead_at <= now && self.any_dead() {
            self.dead_at = now + self.config.call_dead;
            let dead = self.members.iter().filter(|(_, member)| member.word.state == State::Dead);
            let dead: Vec<String> = dead.map(|(name, _)| name.clone()).collect();
            let name = dead[self.chance.random_range(0..dead.len())].clone();
            let word = self.members.get(&name).map(|member| (name.clone(), member.word.clone()));
            self.number += 1;
            self.send(To::Member(name), What::Ping { number: self.number }, word);
        }
        if self.gossip_at <= now && !self.news.is_empty() {
            self.gossip_at = now + self.config.gossip;
            for name in self.some(self.config.fanout, &BTreeSet::new()) {
                self.send(To::Member(name), What::Gossip, None);
            }
        }
        let forget = self.config.forget;
        self.members.retain(|_, member| member.word.state.there() || now < member.since + forget);
    }

    /// Sums over what is there, by the part that a name falls into. The dead are left out: they are forgotten at other
    /// times here than there.
    fn digest(&self) -> Digest {
        let mut digest = [0u32; PARTS];
        let there = self.members.iter().filter(|(_, member)| member.word.state.there());
        for (name, word) in there.map(|(name, member)| (name, &member.word)).chain([(&self.name, &self.mine)])
        {
            let Word { incarnation, state, start, .. } = word;
            let mut sum = 0;
            for number in [*incarnation, *state as u64, *start] {
                sum = xxh32(&number.to_le_bytes(), sum);
            }
            // By a sum the order does not matter. Not of CRCs, nor by exclusive or: those of two members that change alike
            // change by the same bits, so that two changes in one part would look like none.
            let at = part(name);
            digest[at] = digest[at].wrapping_add(xxh32(name.as_bytes(), sum));
        }
        digest
    }

    /// Sends our words of the parts in which the other one's digest is not ours; nothing while news is on its way, which
    /// explains what differs.
    fn send_differing(&mut self, name: &str, theirs: &Digest, asked: bool) {
        let digest = self.digest();
        if digest == *theirs || (asked && !self.news.is_empty()) {
            return;
        }
        let differs = |name: &str| digest[part(name)] != theirs[part(name)];
        let held = self.members.iter().map(|(name, member)| (name.clone(), member.word.clone()));
        let words: Vec<Named> = held.chain([self.own_word()]).filter(|(name, _)| differs(name)).collect();
        for (number, words) in words.chunks(WORDS).take(MOST_DIFFERING / WORDS).enumerate() {
            let what = if asked && number == 0 { What::Differ { digest } } else { What::Gossip };
            let message = Message { words: words.to_vec(), ..self.message(what, None) };
            self.out.push_back(Output::Send { to: To::Member(name.into()), message });
        }
        if words.is_empty() && asked {
            self.send(To::Member(name.into()), What::Differ { digest }, None);
        }
    }

    fn stretch(&self, span: Nanos) -> Nanos {
        span * u64::from(self.health + 1)
    }

    fn worse(&mut self, by: u32) {
        self.health = (self.health + by).min(HEALTH_MOST);
    }

    fn tick_probe(&mut self, now: Nanos) {
        if let Some(mut probe) = self.probe.take() {
            if probe.answered && now >= probe.ends {
                self.health = self.health.saturating_sub(1);
            } else if now >= probe.ends {
                // Those who were asked and say nothing tell that it may be us who hear nothing.
                let unheard = probe.unheard.len() as u32;
                self.worse(if unheard > 0 || probe.ask_at.is_some() { unheard } else { 1 });
                self.doubt(now, &probe.name);
            } else {
                if probe.ask_at.is_some_and(|at| at <= now) && !probe.answered {
                    probe.ask_at = None;
                    let without = BTreeSet::from([probe.name.clone()]);
                    for name in self.some(self.config.indirect, &without) {
                        let (number, of) = (probe.number, probe.name.clone());
                        self.send(To::Member(name.clone()), What::PingFor { number, name: of }, None);
                        probe.unheard.insert(name);
                    }
                }
                self.probe = Some(probe);
                return;
            }
        }
        if now < self.probe_at {
            return;
        }
        self.probe_at = now + self.config.period;
        let Some(name) = self.next_in_order() else { return };
        self.number += 1;
        // A suspect is told of it first of all, so that it can contradict.
        let word = self.members.get(&name).filter(|member| member.word.state == State::Suspect);
        let word = word.map(|member| (name.clone(), member.word.clone()));
        self.send(To::Member(name.clone()), What::Ping { number: self.number }, word);
        let (ask_at, ends) =
            (now + self.stretch(self.config.timeout), now + self.stretch(self.config.period));
        let (number, unheard) = (self.number, BTreeSet::new());
        self.probe_at = ends;
        self.probe = Some(Probe { name, number, answered: false, ask_at: Some(ask_at), ends, unheard });
    }

    fn next_in_order(&mut self) -> Option<String> {
        loop {
            if self.order.is_empty() {
                self.order = self.there().cloned().collect();
                for at in (1..self.order.len()).rev() {
                    let other = self.chance.random_range(0..=at);
                    self.order.swap(at, other);
                }
            }
            let name = self.order.pop()?;
            if self.members.get(&name).is_some_and(|member| member.word.state.there()) {
                return Some(name);
            }
        }
    }

    fn tick_relayed(&mut self, now: Nanos) {
        let mut relayed = std::mem::take(&mut self.relayed);
        for probe in &mut relayed {
            if probe.nack_at.is_some_and(|at| at <= now) {
                probe.nack_at = None;
                self.send(To::Member(probe.asker.clone()), What::Nack { number: probe.theirs }, None);
            }
        }
        relayed.retain(|probe| now < probe.ends);
        self.relayed = relayed;
    }

    fn tick_suspects(&mut self, now: Nanos) {
        let over = |member: &Member| member.word.state == State::Suspect && self.dead_by(member) <= now;
        let dead: Vec<Named> = self
            .members
            .iter()
            .filter(|(_, member)| over(member))
            .map(|(name, member)| (name.clone(), Word { state: State::Dead, ..member.word.clone() }))
            .collect();
        for (name, word) in dead {
            self.hear(now, &name, word, None);
        }
    }

    /// When a suspect is taken for dead: the sooner, the more members doubt it.
    fn dead_by(&self, member: &Member) -> Nanos {
        let Config { period, suspicion, suspicion_most, confirmations, .. } = self.config;
        let size = (self.members.len() + 1) as f64;
        let least = suspicion * size.log10().max(1.0) * period as f64;
        let most = least * suspicion_most;
        let confirmed = member.doubters.len().saturating_sub(1) as f64;
        // In a small fleet there are not so many to confirm it.
        let wanted = f64::from(confirmations).min((self.members.len() as f64 - 1.0).max(0.0));
        let part = if wanted > 0.0 { (confirmed + 1.0).ln() / (wanted + 1.0).ln() } else { 1.0 };
        member.since + (most - (most - least) * part).max(least) as Nanos
    }

    /// It did not answer us.
    fn doubt(&mut self, now: Nanos, name: &str) {
        if let Some(member) = self.members.get(name).filter(|member| member.word.state.there()) {
            let word = Word { state: State::Suspect, ..member.word.clone() };
            let own = self.name.clone();
            self.hear(now, name, word, Some(&own));
        }
    }

    /// So many members that are there, at random.
    fn some(&mut self, most: usize, without: &BTreeSet<String>) -> Vec<String> {
        let there = self.members.iter().filter(|(_, member)| member.word.state.there());
        let mut there: Vec<&String> =
            there.map(|(name, _)| name).filter(|name| !without.contains(*name)).collect();
        for at in 0..most.min(there.len()) {
            let other = self.chance.random_range(at..there.len());
            there.swap(at, other);
        }
        there.into_iter().take(most).cloned().collect()
    }

    fn own_word(&self) -> Named {
        (self.name.clone(), self.mine.clone())
    }

    fn message(&self, what: What, first: Option<Named>) -> Message {
        let from = From { name: self.name.clone(), start: self.mine.start };
        Message { from, what, words: first.into_iter().collect(), more: Vec::new() }
    }

    /// Sends it with news on it, those that were passed on least first.
    fn send(&mut self, to: To, what: What, first: Option<Named>) {
        let probes = matches!(what, What::Ping { .. });
        let mut message = self.message(what, first);
        if self.leaving || probes {
            message.words.push(self.own_word());
        }
        let size = (self.members.len() + 2) as f64;
        let most = (self.config.spread * size.log10()).ceil().max(1.0) as u32;
        let mut news: Vec<(u32, String)> =
            self.news.iter().map(|(name, sent)| (*sent, name.clone())).collect();
        news.sort();
        for (sent, name) in news.into_iter().take(WORDS) {
            let word = if name == self.name {
                Some(self.mine.clone())
            } else {
                self.members.get(&name).map(|m| m.word.clone())
            };
            message.words.extend(word.map(|word| (name.clone(), word)));
            if sent + 1 >= most {
                self.news.remove(&name);
            } else {
                self.news.insert(name, sent + 1);
            }
        }
        message.words.sort();
        message.words.dedup();
        self.out.push_back(Output::Send { to, message });
    }

    /// A message has arrived from an address. What it says beside membership is news only where this is true.
    pub fn receive(&mut self, now: Nanos, address: SocketAddr, message: &Message) -> bool {
        let Message { from, what, words, .. } = message;
        if self.displaced || (from.name == self.name && from.start == self.mine.start) {
            return false;
        }
        if from.name == self.name {
            // Another process that has our name: it is told what we hold of it, by the order of words.
            for (_, word) in words.iter().filter(|(name, _)| *name == from.name) {
                self.hear_of_us(word);
            }
            if matches!(what, What::Join { .. }) && !self.displaced {
                let welcome = self.message(What::Welcome, Some(self.own_word()));
                self.out.push_back(Output::Send { to: To::Address(address), message: welcome });
            }
            return false;
        }
        if let What::Join { padding } = what {
            self.welcome(now, address, message, padding.len());
            return false;
        }
        let known = self.members.get(&from.name).filter(|member| member.word.start == from.start);
        let Some(known) = known else {
            // Nobody we know: only its own word counts, where it stands against what we hold.
            let own = words.iter().find(|(name, word)| *name == from.name && word.start == from.start);
            if matches!(what, What::Welcome) {
                self.take_all(now, words, &from.name);
                return false;
            }
            if let Some((name, word)) = own.filter(|(name, _)| self.members.contains_key(name)) {
                self.hear(now, name, word.clone(), None);
            }
            // It tells us in turn that we go by the name of an earlier process: that is contradicted, and ends it. Guards
            // against two that restarted and correct each other without end.
            if let Some((_, word)) = words.iter().find(|(name, _)| *name == self.name) {
                if self.members.contains_key(&from.name) {
                    self.hear_of_us(&word.clone());
                }
            } else {
                self.correct(address, message);
            }
            return false;
        };
        let gone = !known.word.state.there();
        if gone {
            // It has slept, or was cut off. What it says of others is old; it is told what we hold of it.
            let of_us_two = |name: &str| name == from.name || name == self.name;
            let own: Vec<Named> = words.iter().filter(|(name, _)| of_us_two(name)).cloned().collect();
            self.take_all(now, &own, &from.name);
            let held = self.members.get(&from.name).map(|member| (from.name.clone(), member.word.clone()));
            if let What::Ping { number } = what {
                let digest = self.digest();
                self.send(To::Member(from.name.clone()), What::Ack { number: *number, digest }, held);
            }
            return false;
        }
        let suspect = known.word.state == State::Suspect;
        self.take_all(now, words, &from.name);
        let member = To::Member(from.name.clone());
        let held = self
            .members
            .get(&from.name)
            .filter(|_| suspect)
            .map(|known| (from.name.clone(), known.word.clone()));
        match what {
            What::Ping { number } => {
                let digest = self.digest();
                self.send(member, What::Ack { number: *number, digest }, held);
            }
            What::PingFor { number, name } => self.ping_for(now, &from.name, *number, name),
            What::Ack { number, digest } => {
                self.answered(*number);
                self.send_differing(&from.name, digest, true);
            }
            What::Differ { digest } => self.send_differing(&from.name, digest, false),
            What::Nack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == *number) {
                    probe.unheard.remove(&from.name);
                }
            }
            What::Join { .. } | What::Welcome | What::Gossip => {}
        }
        true
    }

    /// Tells one that goes by a name of another process what we hold of that name, where it said as much itself.
    fn correct(&mut self, address: SocketAddr, message: &Message) {
        let name = &message.from.name;
        let Some(held) = self.members.get(name).filter(|held| held.word.start != message.from.start) else {
            return;
        };
        let words = vec![(name.clone(), held.word.clone())];
        let answer = Message { words, ..self.message(What::Gossip, None) };
        if crate::wire::write(0, &answer).len() <= crate::wire::write(0, message).len() {
            self.out.push_back(Output::Send { to: To::Address(address), message: answer });
        }
    }

    fn take_all(&mut self, now: Nanos, words: &[Named], from: &str) {
        for (name, word) in words {
            self.hear(now, name, word.clone(), Some(from));
        }
    }

    /// One that is new, or alone: it is told of others, in no more bytes than it sent.
    fn welcome(&mut self, now: Nanos, address: SocketAddr, message: &Message, padding: usize) {
        let name = &message.from.name;
        let before = self.members.get(name).map(|member| (name.clone(), member.word.clone()));
        for (of, word) in message.words.iter().filter(|(of, _)| of == name) {
            self.hear(now, of, word.clone(), None);
        }
        let held = self.members.get(name).map(|member| (name.clone(), member.word.clone()));
        // Where our word on its name stands, it has to say a greater one.
        let mut words: Vec<Named> = held.or(before).into_iter().chain([self.own_word()]).collect();
        words.extend(self.some(WORDS, &BTreeSet::from([name.clone()])).into_iter().filter_map(|name| {
            let word = self.members.get(&name)?.word.clone();
            Some((name, word))
        }));
        // A word takes a hundred bytes at the most where names are short; the joiner's padding pays for them.
        words.truncate(2 + padding / 150);
        let welcome = Message { words, ..self.message(What::Welcome, None) };
        self.out.push_back(Output::Send { to: To::Address(address), message: welcome });
    }

    fn ping_for(&mut self, now: Nanos, asker: &str, theirs: u64, name: &str) {
        if self.relayed.len() >= MOST_RELAYED || !self.members.contains_key(name) {
            return;
        }
        self.number += 1;
        let own = self.number;
        let (nack_at, ends) = (Some(now + self.config.timeout * 4 / 5), now + self.config.period * 2);
        self.relayed.push(Relayed { own, theirs, asker: asker.into(), nack_at, ends });
        self.send(To::Member(name.into()), What::Ping { number: own }, None);
    }

    fn answered(&mut self, number: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            (probe.answered, probe.ask_at) = (true, None);
        } else if let Some(at) = self.relayed.iter().position(|relayed| relayed.own == number) {
            let Relayed { theirs, asker, .. } = self.relayed.swap_remove(at);
            let digest = self.digest();
            self.send(To::Member(asker), What::Ack { number: theirs, digest }, None);
        }
    }

    /// A saying on a member, from one that doubts it where that is told.
    fn hear(&mut self, now: Nanos, name: &str, word: Word, from: Option<&str>) {
        if name == self.name {
            return self.hear_of_us(&word);
        }
        let Some(known) = self.members.get_mut(name) else {
            // Of the dead only those are kept that were known: else one copy would hand them to the next for ever.
            if word.state.there() && self.members.len() < self.config.most_members {
                let start = word.start;
                self.members.insert(name.into(), Member { word, since: now, doubters: BTreeSet::new() });
                self.news.insert(name.into(), 0);
                self.out.push_back(Output::Joined { name: name.into(), start });
            }
            return;
        };
        let doubter = from.filter(|_| word.state == State::Suspect).map(str::to_owned);
        if known.word == word {
            // Another one doubts it: that shortens the suspicion, and is passed on.
            let most = self.config.confirmations as usize + 1;
            if let Some(doubter) = doubter.filter(|_| known.doubters.len() < most)
                && known.doubters.insert(doubter)
            {
                self.news.insert(name.into(), 0);
            }
            return;
        }
        if !word.beats(&known.word) {
            return;
        }
        let (was, start) = (known.word.state, known.word.start);
        known.since = now;
        known.doubters = doubter.into_iter().collect();
        known.word = word;
        self.news.insert(name.into(), 0);
        let (state, new) = (known.word.state, known.word.start);
        if state.there() && (!was.there() || new != start) {
            self.out.push_back(Output::Joined { name: name.into(), start: new });
        } else if !state.there() && was.there() {
            let name = name.to_owned();
            self.out.push_back(if state == State::Left {
                Output::Left { name }
            } else {
                Output::Lost { name }
            });
        }
    }

    /// Something was said of us. We contradict, by a greater incarnation, whatever is not so.
    fn hear_of_us(&mut self, word: &Word) {
        if self.leaving || !word.beats(&self.mine) {
            return;
        }
        if word.start != self.mine.start && word.state.there() {
            let times = self.rivals.entry(word.start).or_default();
            *times += 1;
            // An earlier start of ours does not contradict. One that does is alive, and one of us has to go.
            if *times >= RIVAL && word.start > self.mine.start {
                self.displaced = true;
                self.out.push_back(Output::Displaced { address: word.address });
                return;
            }
        } else if word.start == self.mine.start {
            self.worse(1);
            if !word.state.there() {
                self.out.push_back(Output::Returned);
            }
        }
        self.mine.incarnation = word.incarnation + 1;
        self.news.insert(self.name.clone(), 0);
    }
}

/// The part of a digest that a name falls into.
fn part(name: &str) -> usize {
    xxh32(name.as_bytes(), 0) as usize % PARTS
}

/// As long as any answer to it may be.
fn padded(message: Message) -> Message {
    let short = crate::wire::write(0, &message).len();
    // The padding's own length takes a byte more.
    let padding = vec![0; (MOST - 2).saturating_sub(short)];
    Message { what: What::Join { padding }, ..message }
}
