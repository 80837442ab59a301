//! The srvs an instance knows, under dense numbers that live as long as they are known, and the sums over
//! them that decisions need. It owns both: a sum changes with what it is of, or at the time it changes by
//! itself, so no req walks the list. It must never decide: what a srv's figures mean is told in `decide`.
//! Names stay at its edges.

use std::collections::{BTreeSet, HashMap};

use crate::decide::{CROWD_SPAN, S};
use crate::flight::{Flight, age};
use crate::measure::{BUCKETS, Counts, Health, Ring};
use crate::order::{Order, Turn};
use crate::types::*;

/// How old the ramps may be that are summed up: in this time one grows by a thousandth of a long one.
const RENEW: Nanos = S / 50;
/// A ramp that has grown by this part is heeded by the order of turns.
const GROWN: f64 = 1.1;
const DONE_SPAN: Nanos = 4 * S;
const FRESH: Nanos = 3 * S;

/// A dispatch that is out: since when, its place in the flight, and how much longer it may take than others.
pub struct Owed {
    pub at: Nanos,
    pub place: u32,
    pub grace: Nanos,
}

impl Owed {
    pub fn age(&self, now: Nanos) -> f64 {
        age(now, self.at, self.grace)
    }
}

pub struct Srv {
    pub name: Name,
    pub weight: f64,
    /// The part of its weight that is in our turns.
    pub ours: f64,
    pub site: u32,
    pub cell: u64,
    pub state: EndpointState,
    pub came_up: Option<Nanos>,
    /// The dispatches that are out, the oldest first.
    pub out: Vec<Owed>,
    /// The nanoseconds that ended ones were out.
    held: Ring,
    done: Ring,
    /// What `done` counts now.
    count: u32,
    known: Nanos,
    /// The last bucket of time that it was noted in for a done.
    touched: u64,
    /// Its losses that its site still counts, if it was healed so often.
    lost: (u64, usize),
    /// How often in a row it said that it was full, or draining.
    pub turned_away: u32,
    /// When it last answered anything.
    pub heard: Nanos,
    /// When anything last went to it or came from it.
    pub used: Nanos,
    /// When we last closed our idle connections to it.
    pub closed: Nanos,
    /// How it does in all, and behind that in each rule set, where errors are its own.
    pub health: Vec<Health>,
    /// What a cold srv may still get of its budget, when that was last reckoned, and what others had got
    /// till then.
    pub budget: f64,
    pub budget_at: Nanos,
    pub budget_from: f64,
    pub reported: f64,
    pub reported_at: Nanos,
    /// What it has gained towards its next turn, where turns go among a few.
    pub gained: f64,
    /// Where it starts in an order of turns: chance, so that instances don't walk the list in step.
    part: f64,
    pub turn: Turn,
    pub rest: Turn,
    /// The ramp that its weight in the orders goes by.
    ramped: f64,
    /// What its ramp takes off our weight, as that was last summed up.
    off: f64,
    /// As the sums have it.
    pub aside: bool,
    pub silent: bool,
    pub fresh: bool,
    /// The rule sets that it is kept from.
    kept: Vec<usize>,
}

pub struct Site {
    pub name: Name,
    pub members: Vec<u32>,
    pub up: usize,
    pub usable: usize,
    /// When any of its srvs last answered, and the dispatches it lost since: no connection, a reset, a
    /// time-out.
    pub heard: Nanos,
    pub lost: usize,
    /// How often its losses have been forgiven.
    healed: u64,
}

impl Site {
    pub fn heal(&mut self) {
        (self.lost, self.healed) = (0, self.healed + 1);
    }
}

/// What changes by itself when its time has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Back,
    Stale,
    /// It is kept from a rule set no longer.
    Free(usize),
}

/// A srv's place in the list by name, with its weight while it is up.
struct Place {
    who: u32,
    weight: f64,
    ours: f64,
}

pub struct Fleet {
    pub srvs: Vec<Srv>,
    free: Vec<u32>,
    numbers: HashMap<Name, u32>,
    by_name: Vec<Place>,
    pub sites: Vec<Site>,
    pub cells: HashMap<u64, Vec<u32>>,
    pub flight: Flight,
    /// The turns among the srvs that are ours, and among the rest of the list.
    pub turns: Order,
    pub rest: Order,
    cold: Nanos,
    cold_share: f64,
    due: BTreeSet<(Nanos, Due, u32)>,
    pub silent: BTreeSet<u32>,
    gone: BTreeSet<u32>,
    /// Those that have no place in the turns yet.
    newcomers: Vec<u32>,
    ramping: BTreeSet<u32>,
    ramped_at: Nanos,
    pub any_cold: bool,
    /// What ramps take off the weight in our turns.
    ramped_off: f64,
    /// Who got its first done in each bucket of time, and the last bucket that was looked at.
    touched: [Vec<u32>; BUCKETS],
    turn: u64,
    pub up: usize,
    pub usable: usize,
    /// How many usable ones are kept from each rule set; the first place stands for none.
    pub kept: Vec<usize>,
    /// Over the usable srvs in our turns: weight, what is out, and how long.
    weight: i128,
    out: i64,
    held: Ring,
    young: i128,
    young_at: i128,
    capped: i128,
    /// Over those that are not silent: what is out, and what their levels come from, by when they were known.
    pub answering_out: i64,
    known_long: Counts,
    known_short: Vec<(Nanos, Counts)>,
    pace: Ring,
    /// From when on what was done counts, as if a pause had not been.
    paced_from: Nanos,
    now: Nanos,
    reported: f64,
    reported_weight: i128,
}

/// What srvs are held against at a moment: in flight for each unit of weight that is ours, on the mean of a
/// span and now; reported for each unit of weight.
pub struct Means {
    pub lasting: f64,
    pub moment: f64,
    pub reported: f64,
}

/// What warm srvs take from us for each unit of weight: a second, and summed up over time; and what a cold
/// srv may have a second in any case.
#[derive(Default)]
pub struct Sent {
    pub rate: f64,
    pub sum: f64,
    pub floor: f64,
}

/// Weights are summed up as whole numbers, so that what is taken away again leaves nothing behind, however
/// huge.
fn fixed(weight: f64) -> i128 {
    (weight.clamp(0.0, 1e15) * 1.8446744073709552e19) as i128
}

fn float(sum: i128) -> f64 {
    sum as f64 / 1.8446744073709552e19
}

impl Fleet {
    pub fn new(now: Nanos, sets: usize, cold: Nanos, cold_share: f64) -> Fleet {
        let pace = Ring::over(DONE_SPAN);
        Fleet {
            srvs: Vec::new(),
            free: Vec::new(),
            numbers: HashMap::new(),
            by_name: Vec::new(),
            sites: Vec::new(),
            cells: HashMap::new(),
            flight: Flight::new(),
            turns: Order::default(),
            rest: Order::default(),
            cold,
            cold_share,
            due: BTreeSet::new(),
            silent: BTreeSet::new(),
            gone: BTreeSet::new(),
            newcomers: Vec::new(),
            ramping: BTreeSet::new(),
            ramped_at: 0,
            any_cold: false,
            ramped_off: 0.0,
            touched: Default::default(),
            turn: pace.turn(now),
            up: 0,
            usable: 0,
            kept: vec![0; sets + 1],
            weight: 0,
            out: 0,
            held: Ring::over(CROWD_SPAN),
            young: 0,
            young_at: 0,
            capped: 0,
            answering_out: 0,
            known_long: Counts::default(),
            known_short: Vec::new(),
            pace,
            paced_from: 0,
            now,
            reported: 0.0,
            reported_weight: 0,
        }
    }

    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub fn get(&self, who: u32) -> &Srv {
        &self.srvs[who as usize]
    }

    pub fn get_mut(&mut self, who: u32) -> &mut Srv {
        &mut self.srvs[who as usize]
    }

    pub fn site(&mut self, who: u32) -> &mut Site {
        let site = self.srvs[who as usize].site;
        &mut self.sites[site as usize]
    }

    /// Notes a loss that counts until its site next answers.
    pub fn lose(&mut self, who: u32) {
        let srv = &mut self.srvs[who as usize];
        let site = &mut self.sites[srv.site as usize];
        srv.lost = (site.healed, if srv.lost.0 == site.healed { srv.lost.1 + 1 } else { 1 });
        site.lost += 1;
    }

    /// Changes what sums depend on.
    pub fn change(&mut self, who: u32, change: impl FnOnce(&mut Srv)) {
        self.count(who, -1);
        change(&mut self.srvs[who as usize]);
        if self.srvs[who as usize].off > 0.0 {
            // Guards against a sum of ramps over srvs that don't count any more.
            self.ramp(self.now, who);
        }
        self.count(who, 1);
    }

    /// Counts a srv in every sum, or takes it out.
    fn count(&mut self, who: u32, sign: i64) {
        let srv = &self.srvs[who as usize];
        let (wide, part) = (i128::from(sign), sign as f64);
        let site = &mut self.sites[srv.site as usize];
        let one = |count: &mut usize| *count = count.wrapping_add_signed(sign as isize);
        if srv.state == EndpointState::Up {
            one(&mut site.up);
            one(&mut self.up);
        }
        if srv.usable() {
            one(&mut site.usable);
            one(&mut self.usable);
            srv.kept.iter().for_each(|set| one(&mut self.kept[*set]));
            if srv.fresh {
                self.reported += part * srv.reported;
                self.reported_weight += wide * fixed(srv.weight);
            }
        }
        if srv.turning() {
            self.weight += wide * fixed(srv.ours);
            self.out += sign * srv.out.len() as i64;
            self.held.merge(&srv.held, part);
            for Owed { at, place, .. } in &srv.out {
                match self.flight.get(*place).capped {
                    true => self.capped += wide,
                    false => {
                        (self.young, self.young_at) =
                            (self.young + wide, self.young_at + wide * i128::from(*at))
                    }
                }
            }
            if !srv.silent {
                self.answering_out += sign * srv.out.len() as i64;
                let (known, count) = (srv.known, srv.count);
                let counts = self.counts(known);
                if sign > 0 { counts.add(count) } else { counts.remove(count) }
            }
        }
    }

    fn counts(&mut self, known: Nanos) -> &mut Counts {
        if known + DONE_SPAN <= self.now {
            return &mut self.known_long;
        }
        let at = self.known_short.iter().position(|(at, _)| *at == known).unwrap_or_else(|| {
            self.known_short.push((known, Counts::default()));
            self.known_short.len() - 1
        });
        &mut self.known_short[at].1
    }

    /// Brings about what time alone changes, up to now.
    pub fn advance(&mut self, now: Nanos) {
        while let Some((_, what, who)) = self.due.first().copied().filter(|(at, ..)| *at <= now) {
            self.due.pop_first();
            // It may have been put off since, or be another srv's number now.
            let srv = &self.srvs[who as usize];
            let (aside_until, stale_at) = (srv.health[0].aside_until, srv.reported_at + FRESH);
            match what {
                Due::Back if srv.aside && aside_until <= now => {
                    self.change(who, |srv| srv.aside = false);
                    self.weigh(now, who);
                }
                Due::Free(set) if srv.health[set].aside_until <= now => {
                    self.change(who, |srv| srv.kept.retain(|kept| *kept != set));
                }
                Due::Stale if srv.fresh && stale_at <= now => self.change(who, |srv| srv.fresh = false),
                Due::Stale if srv.fresh => drop(self.due.insert((stale_at, what, who))),
                _ => {}
            }
        }
        while let Some(place) = self.flight.cap(now, CROWD_SPAN) {
            let out = self.flight.get(place);
            if self.srvs[out.srv as usize].turning() {
                (self.young, self.young_at, self.capped) =
                    (self.young - 1, self.young_at - i128::from(out.at), self.capped + 1);
            }
        }
        self.now = now;
        let long = |known: Nanos| known + DONE_SPAN <= now;
        while let Some(at) =
            self.known_short.iter().position(|(known, counts)| long(*known) || counts.is_empty())
        {
            let (_, counts) = self.known_short.swap_remove(at);
            self.known_long.take_in(counts);
        }
        let turn = self.pace.turn(now);
        for passed in (self.turn + 1..=turn).take(BUCKETS) {
            for who in std::mem::take(&mut self.touched[(passed % BUCKETS as u64) as usize]) {
                self.recount(now, who);
            }
        }
        self.turn = turn;
    }

    /// Counts again what a srv has done of late.
    fn recount(&mut self, now: Nanos, who: u32) {
        let srv = &mut self.srvs[who as usize];
        let (was, known) = (srv.count, srv.known);
        srv.count = srv.done.count(now) as u32;
        let (is, answering) = (srv.count, srv.turning() && !srv.silent);
        if is != was && answering {
            let counts = self.counts(known);
            counts.remove(was);
            counts.add(is);
        }
    }

    /// Sums the ramps up again, unless that was done a moment ago.
    pub fn renew(&mut self, now: Nanos) {
        let ramps = !self.ramping.is_empty() || self.any_cold || self.ramped_off > 0.0;
        if !ramps || now < self.ramped_at + RENEW {
            return;
        }
        self.ramped_at = now;
        (self.any_cold, self.ramped_off) = (false, 0.0);
        for who in self.ramping.iter().copied().collect::<Vec<_>>() {
            self.srvs[who as usize].off = 0.0;
            self.ramp(now, who);
            let srv = &self.srvs[who as usize];
            let ramp = srv.ramp(now, self.cold, self.cold_share);
            if ramp >= 1.0 || ramp > srv.ramped * GROWN {
                self.weigh(now, who);
            }
        }
    }

    /// Counts anew what a ramp takes off a srv's weight.
    fn ramp(&mut self, now: Nanos, who: u32) {
        let srv = &mut self.srvs[who as usize];
        let ramp = srv.ramp(now, self.cold, self.cold_share);
        let off = if srv.turning() { srv.ours * (1.0 - ramp) } else { 0.0 };
        self.ramped_off += off - std::mem::replace(&mut srv.off, off);
        self.any_cold |= srv.state == EndpointState::Up && srv.cold(now, self.cold);
    }

    /// Gives a srv its weight in the orders of turns.
    pub fn weigh(&mut self, now: Nanos, who: u32) {
        let srv = &mut self.srvs[who as usize];
        let (up, ramp) = (srv.state == EndpointState::Up, srv.ramp(now, self.cold, self.cold_share));
        srv.ramped = ramp;
        self.turns.weigh(who, &mut srv.turn, if up { srv.ours * ramp } else { 0.0 }, srv.part);
        let rest = if up && srv.ours <= 0.0 { srv.weight * ramp } else { 0.0 };
        self.rest.weigh(who, &mut srv.rest, rest, srv.part);
        if up && ramp < 1.0 {
            self.ramping.insert(who)
        } else {
            self.ramping.remove(&who)
        };
        self.ramp(now, who);
    }

    /// Takes a turn, after those that lost theirs to it.
    pub fn take(&mut self, now: Nanos, who: u32, lost: &[(u32, bool)]) {
        for (who, taken) in lost.iter().map(|(who, _)| (*who, false)).chain([(who, true)]) {
            if self.ramping.contains(&who) {
                self.weigh(now, who);
            }
            let srv = &mut self.srvs[who as usize];
            for (order, turn) in [(&mut self.turns, &mut srv.turn), (&mut self.rest, &mut srv.rest)] {
                match turn.weight > 0.0 {
                    true if taken => order.take(who, turn),
                    true => order.lose(who, turn),
                    false => {}
                }
            }
        }
    }

    pub fn sent(&mut self, now: Nanos, who: u32, id: u64, number: usize, grace: Nanos) {
        let srv = &mut self.srvs[who as usize];
        let kept = srv.out.is_empty() && srv.used > srv.closed;
        let idle = if kept { now - srv.used } else { 0 };
        srv.used = now;
        let place = self.flight.sent(now, who, id, number, (grace, idle));
        srv.out.push(Owed { at: now, place, grace });
        if srv.turning() {
            (self.out, self.young, self.young_at) =
                (self.out + 1, self.young + 1, self.young_at + i128::from(now));
            self.answering_out += i64::from(!srv.silent);
        }
    }

    /// Answers with how long the connection had been idle.
    pub fn ended(&mut self, now: Nanos, who: u32, id: u64, number: usize, done: bool) -> Nanos {
        let mut idle = 0;
        let (srv, flight) = (&mut self.srvs[who as usize], &mut self.flight);
        let same = |place: u32| flight.get(place).id == id && flight.get(place).number == number;
        if let Some(at) = srv.out.iter().position(|out| same(out.place)) {
            let Owed { at, place, .. } = srv.out.remove(at);
            let (capped, held) = (flight.get(place).capped, now.saturating_sub(at).min(CROWD_SPAN) as f64);
            idle = flight.get(place).idle;
            flight.ended(place);
            srv.used = now;
            srv.held.add(now, held);
            if srv.turning() {
                self.out -= 1;
                self.answering_out -= i64::from(!srv.silent);
                match capped {
                    true => self.capped -= 1,
                    false => (self.young, self.young_at) = (self.young - 1, self.young_at - i128::from(at)),
                }
                self.held.add(now, held);
            }
        }
        if done {
            let srv = &mut self.srvs[who as usize];
            srv.done.add(now, 1.0);
            if srv.touched != self.turn {
                srv.touched = self.turn;
                self.touched[(self.turn % BUCKETS as u64) as usize].push(who);
            }
            self.recount(now, who);
        }
        idle
    }

    pub fn report(&mut self, now: Nanos, who: u32, value: f64) {
        let srv = &mut self.srvs[who as usize];
        if srv.fresh {
            if srv.usable() {
                self.reported += value - srv.reported;
            }
            (srv.reported, srv.reported_at) = (value, now);
        } else {
            self.due.insert((now + FRESH, Due::Stale, who));
            self.change(who, |srv| (srv.reported, srv.reported_at, srv.fresh) = (value, now, true));
        }
    }

    pub fn set_aside(&mut self, now: Nanos, who: u32, until: Nanos) {
        self.due.insert((until, Due::Back, who));
        self.change(who, |srv| srv.aside = until > now);
    }

    /// Keeps it from a rule set until then.
    pub fn keep_from(&mut self, who: u32, set: usize, until: Nanos) {
        self.due.insert((until, Due::Free(set), who));
        self.change(who, |srv| {
            srv.kept.retain(|kept| *kept != set);
            srv.kept.push(set);
        });
    }

    /// Heeds what the list says of a known srv; answers whether its process is a fresh one.
    pub fn heed(&mut self, now: Nanos, who: u32, entry: &ListedEndpoint) -> bool {
        let srv = self.get(who);
        let fresh = srv.came_up != entry.started_at && entry.state == EndpointState::Up;
        if (srv.state, srv.weight, srv.came_up) != (entry.state, entry.weight, entry.started_at) {
            self.change(who, |srv| {
                (srv.state, srv.weight, srv.came_up) = (entry.state, entry.weight, entry.started_at);
                if fresh {
                    // Nothing known of the old process holds.
                    srv.health.fill(Health::default());
                    srv.aside = false;
                    srv.kept.clear();
                }
            });
            self.place(who);
            self.weigh(now, who);
            if entry.state == EndpointState::Gone {
                self.gone.insert(who);
            }
        }
        fresh
    }

    /// The list does not name it any more.
    pub fn go(&mut self, now: Nanos, who: u32) {
        self.change(who, |srv| srv.state = EndpointState::Gone);
        self.place(who);
        self.weigh(now, who);
        self.gone.insert(who);
    }

    /// Takes in a srv, which starts at this part of its first turn.
    pub fn add(&mut self, now: Nanos, entry: &ListedEndpoint, part: f64) -> u32 {
        let at = self.sites.iter().position(|site| site.name == entry.site).unwrap_or_else(|| {
            let site = Site {
                name: entry.site.clone(),
                members: Vec::new(),
                up: 0,
                usable: 0,
                heard: 0,
                lost: 0,
                healed: 0,
            };
            // The place of a site that has lost its last srv is used again.
            match self.sites.iter().position(|site| site.members.is_empty()) {
                Some(at) => {
                    self.sites[at] = site;
                    at
                }
                None => {
                    self.sites.push(site);
                    self.sites.len() - 1
                }
            }
        });
        let srv = Srv {
            name: entry.name.clone(),
            weight: entry.weight,
            ours: 0.0,
            site: at as u32,
            cell: entry.cell,
            state: entry.state,
            came_up: entry.started_at,
            out: Vec::new(),
            held: Ring::over(CROWD_SPAN),
            done: Ring::over(DONE_SPAN),
            count: 0,
            known: now,
            turned_away: 0,
            heard: 0,
            used: 0,
            closed: 0,
            touched: 0,
            lost: (0, 0),
            health: vec![Health::default(); self.kept.len()],
            budget: 0.0,
            budget_at: now,
            budget_from: 0.0,
            reported: 0.0,
            reported_at: 0,
            gained: (1.0 - part) * entry.weight,
            part,
            turn: Turn::OUT,
            rest: Turn::OUT,
            ramped: 1.0,
            off: 0.0,
            aside: false,
            silent: false,
            fresh: false,
            kept: Vec::new(),
        };
        let who = self.free.pop().unwrap_or(self.srvs.len() as u32);
        match self.srvs.get_mut(who as usize) {
            Some(place) => *place = srv,
            None => self.srvs.push(srv),
        }
        self.numbers.insert(entry.name.clone(), who);
        self.sites[at].members.push(who);
        self.cells.entry(entry.cell).or_default().push(who);
        self.count(who, 1);
        self.place(who);
        self.newcomers.push(who);
        if entry.state == EndpointState::Gone {
            self.gone.insert(who);
        }
        who
    }

    /// Keeps its place in the list by name.
    fn place(&mut self, who: u32) {
        let (srvs, srv) = (&self.srvs, &self.srvs[who as usize]);
        let weight = if srv.state == EndpointState::Up { srv.weight } else { 0.0 };
        let at = self.by_name.binary_search_by(|place| srvs[place.who as usize].name.cmp(&srv.name));
        match at {
            Ok(at) => self.by_name[at].weight = weight,
            Err(at) => self.by_name.insert(at, Place { who, weight, ours: 0.0 }),
        }
    }

    /// Forgets those that are gone and owe nothing.
    pub fn forget(&mut self, now: Nanos) {
        let mut over = BTreeSet::new();
        for who in std::mem::take(&mut self.gone) {
            if self.get(who).state != EndpointState::Gone {
                continue;
            }
            if !self.get(who).out.is_empty() {
                self.gone.insert(who);
                continue;
            }
            self.weigh(now, who);
            self.count(who, -1);
            let (name, cell, lost) = (self.get(who).name.clone(), self.get(who).cell, self.get(who).lost);
            let site = self.site(who);
            site.members.retain(|member| *member != who);
            site.lost -= if lost.0 == site.healed { lost.1 } else { 0 };
            if let Some(members) = self.cells.get_mut(&cell) {
                members.retain(|member| *member != who);
                if members.is_empty() {
                    self.cells.remove(&cell);
                }
            }
            self.silent.remove(&who);
            self.numbers.remove(&name);
            self.free.push(who);
            over.insert(who);
        }
        if !over.is_empty() {
            self.by_name.retain(|place| !over.contains(&place.who));
        }
    }

    /// How many are listed, and how many of them are avoided: draining, or set aside. Those that are gone but owe
    /// an answer are not listed.
    pub fn count_endpoints(&self) -> EndpointCounts {
        let listed = self.numbers.len() - self.gone.len().min(self.numbers.len());
        EndpointCounts { listed, avoided: listed - self.usable.min(listed) }
    }

    /// The known srvs, in the order of their names.
    pub fn known(&self) -> impl Iterator<Item = u32> {
        self.by_name.iter().map(|place| place.who)
    }

    /// Puts this part of all weight in our turns, from that part on; newcomers get their place in them.
    pub fn stretch(&mut self, now: Nanos, from: f64, part: f64) {
        let whole = part >= 1.0;
        let total: f64 = if whole { 0.0 } else { self.by_name.iter().map(|place| place.weight).sum() };
        let (from, length) = (from * total, part * total);
        let (mut at, mut changed) = (0.0, Vec::new());
        for place in &mut self.by_name {
            let weight = place.weight;
            let shared = |a: f64, b: f64| (b.min(at + weight) - a.max(at)).max(0.0);
            let part = || shared(from, from + length) + shared(from - total, from + length - total);
            let ours = if whole { weight } else { part() };
            at += weight;
            if ours != place.ours {
                place.ours = ours;
                changed.push((place.who, ours));
            }
        }
        for (who, ours) in changed {
            self.change(who, |srv| srv.ours = ours);
            self.weigh(now, who);
        }
        for who in std::mem::take(&mut self.newcomers) {
            if self.get(who).ours <= 0.0 {
                self.weigh(now, who);
            }
        }
        let srvs = &mut self.srvs;
        self.turns.rebase(srvs.iter_mut().enumerate().map(|(who, srv)| (who as u32, &mut srv.turn)));
        self.rest.rebase(srvs.iter_mut().enumerate().map(|(who, srv)| (who as u32, &mut srv.rest)));
    }

    /// What is in flight for each unit of weight in our turns, on the mean of the last seconds and at the
    /// moment; and what is reported for each unit of weight that reports.
    pub fn means(&self, now: Nanos) -> Means {
        let (weight, reported) = (float(self.weight), float(self.reported_weight));
        let ages = self.young * i128::from(now) - self.young_at + self.capped * i128::from(CROWD_SPAN);
        let lasting = (self.held.sum(now) + ages as f64) / CROWD_SPAN as f64;
        let each = |sum: f64, weight: f64| if weight > 0.0 { sum / weight } else { 0.0 };
        Means {
            lasting: each(lasting, weight),
            moment: each(self.out as f64, weight),
            reported: each(self.reported, reported),
        }
    }

    /// The sum, over those in our turns that answer, of what each has done in a span, or the floor where
    /// that is more.
    pub fn level(&mut self, now: Nanos, span: f64, floor: f64) -> f64 {
        let pace = &self.pace;
        let from = self.paced_from;
        let worth = |known: Nanos| move |count: f64| pace.rate_of(count, now, known.max(from)) * span;
        let long = self.known_long.sum(worth(0), floor);
        let short = self.known_short.iter_mut().map(|(known, counts)| counts.sum(worth(*known), floor));
        long + short.sum::<f64>()
    }

    /// Takes a pause without reqs out of the time in which srvs did what they did.
    pub fn pause(&mut self, now: Nanos, pause: Nanos) {
        self.paced_from = now - DONE_SPAN.saturating_sub(pause).min(now);
    }

    /// What is done at a srv each second.
    pub fn done_rate(&self, now: Nanos, srv: &Srv) -> f64 {
        self.pace.rate_of(f64::from(srv.count), now, srv.known.max(self.paced_from))
    }

    /// The weight in our turns, less what ramps take off it.
    pub fn ramped_weight(&self) -> f64 {
        float(self.weight) - self.ramped_off
    }
}

impl Srv {
    pub fn usable(&self) -> bool {
        self.state == EndpointState::Up && !self.aside
    }

    /// Usable, and in our turns.
    fn turning(&self) -> bool {
        self.usable() && self.ours > 0.0
    }

    /// The mean in flight of the last seconds.
    pub fn mean_out(&self, now: Nanos) -> f64 {
        let out: f64 = self.out.iter().map(|out| (now - out.at).min(CROWD_SPAN) as f64).sum();
        (self.held.sum(now) + out) / CROWD_SPAN as f64
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const MS: Nanos = S / 1_000;

    /// One thing that happens, to the srv of some number.
    #[derive(Clone, Debug)]
    enum Event {
        List(u8, u8, u8, bool),
        Send(u8),
        End(u8, bool),
        Aside(u8, u16),
        Keep(u8, u8, u16),
        Report(u8, u8),
        Silent(u8, bool),
        Stretch(u8, u8),
        Pass(u16),
    }

    fn events() -> impl Strategy<Value = Vec<Event>> {
        let event = prop_oneof![
            (0..12u8, 0..4u8, 0..4u8, any::<bool>()).prop_map(|(n, s, w, c)| Event::List(n, s, w, c)),
            (0..12u8).prop_map(Event::Send),
            (0..12u8, any::<bool>()).prop_map(|(n, done)| Event::End(n, done)),
            (0..12u8, 0..6_000u16).prop_map(|(n, ms)| Event::Aside(n, ms)),
            (0..12u8, 1..3u8, 0..6_000u16).prop_map(|(n, set, ms)| Event::Keep(n, set, ms)),
            (0..12u8, 0..9u8).prop_map(|(n, value)| Event::Report(n, value)),
            (0..12u8, any::<bool>()).prop_map(|(n, silent)| Event::Silent(n, silent)),
            (0..10u8, 1..11u8).prop_map(|(from, part)| Event::Stretch(from, part)),
            (0..3_000u16).prop_map(Event::Pass),
        ];
        prop::collection::vec(event, 1..200)
    }

    fn entry(number: u8, state: u8, weight: u8, came_up: Option<Nanos>) -> ListedEndpoint {
        ListedEndpoint {
            name: format!("s{number}").into(),
            state: [EndpointState::Up, EndpointState::Up, EndpointState::Draining, EndpointState::Gone]
                [usize::from(state)],
            started_at: came_up,
            weight: [1.0, 0.25, 1e9, 1e-6][usize::from(weight)],
            site: format!("x{}", number % 3).into(),
            cell: u64::from(number % 2),
        }
    }

    fn happen(fleet: &mut Fleet, now: &mut Nanos, id: &mut u64, event: Event) {
        fleet.advance(*now);
        let who = |fleet: &Fleet, number: u8| fleet.find(&format!("s{number}"));
        match event {
            Event::List(number, state, weight, cold) => {
                let entry = entry(number, state, weight, cold.then_some(*now));
                match who(fleet, number) {
                    Some(who) => drop(fleet.heed(*now, who, &entry)),
                    None => drop(fleet.add(*now, &entry, 0.5)),
                }
                fleet.forget(*now);
                fleet.stretch(*now, 0.3, 0.4);
            }
            Event::Send(number) => {
                if let Some(who) = who(fleet, number) {
                    *id += 1;
                    fleet.sent(*now, who, *id, 0, 0);
                    if fleet.get(who).state == EndpointState::Up {
                        fleet.take(*now, who, &[]);
                    }
                }
            }
            Event::End(number, done) => {
                if let Some(who) = who(fleet, number)
                    && let Some(place) = fleet.get(who).out.first().map(|out| out.place)
                {
                    let id = fleet.flight.get(place).id;
                    fleet.ended(*now, who, id, 0, done);
                }
            }
            Event::Aside(number, ms) => {
                if let Some(who) = who(fleet, number) {
                    let until = *now + u64::from(ms) * MS;
                    fleet.get_mut(who).health[0].aside_until = until;
                    fleet.set_aside(*now, who, until);
                }
            }
            Event::Keep(number, set, ms) => {
                if let Some(who) = who(fleet, number) {
                    let until = *now + u64::from(ms) * MS;
                    fleet.get_mut(who).health[usize::from(set)].aside_until = until;
                    fleet.keep_from(who, usize::from(set), until);
                }
            }
            Event::Report(number, value) => {
                if let Some(who) = who(fleet, number) {
                    fleet.report(*now, who, f64::from(value));
                }
            }
            Event::Silent(number, silent) => {
                if let Some(who) = who(fleet, number) {
                    fleet.change(who, |srv| srv.silent = silent);
                }
            }
            Event::Stretch(from, part) => {
                fleet.stretch(*now, f64::from(from) / 10.0, f64::from(part) / 10.0);
            }
            Event::Pass(ms) => *now += u64::from(ms) * MS,
        }
        fleet.advance(*now);
    }

    /// Every sum, reckoned anew from the srvs themselves.
    fn check(fleet: &mut Fleet, now: Nanos) -> Result<(), TestCaseError> {
        let known: Vec<u32> = fleet.known().collect();
        let srvs = || known.iter().map(|who| fleet.get(*who));
        for srv in srvs() {
            let aside = srv.health[0].aside_until > now;
            prop_assert_eq!(srv.aside, aside, "{} set aside", srv.name);
            prop_assert_eq!(srv.fresh, srv.reported_at > 0 && now < srv.reported_at + FRESH);
            prop_assert_eq!(srv.turn.weight > 0.0, srv.state == EndpointState::Up && srv.ours > 0.0);
            prop_assert_eq!(srv.rest.weight > 0.0, srv.state == EndpointState::Up && srv.ours <= 0.0);
        }
        let each = |sum: f64, weight: f64| if weight > 0.0 { sum / weight } else { 0.0 };
        let turning = || srvs().filter(|srv| srv.turning());
        let weight: f64 = turning().map(|srv| srv.ours).sum();
        let fresh = || srvs().filter(|srv| srv.usable() && srv.fresh);
        let means = fleet.means(now);
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-6 * (a.abs() + b.abs()) + 1e-9;
        let lasting = each(turning().map(|srv| srv.mean_out(now)).sum(), weight);
        prop_assert!(close(means.lasting, lasting), "lasting {} {}", means.lasting, lasting);
        let moment = each(turning().map(|srv| srv.out.len() as f64).sum(), weight);
        prop_assert!(close(means.moment, moment), "moment {} {}", means.moment, moment);
        let reported = each(fresh().map(|srv| srv.reported).sum(), fresh().map(|srv| srv.weight).sum());
        prop_assert!(close(means.reported, reported), "reported {} {}", means.reported, reported);
        let answering = || turning().filter(|srv| !srv.silent);
        let level: f64 = answering().map(|srv| fleet.done_rate(now, srv) * 0.7).map(|l| l.max(0.4)).sum();
        let out: i64 = answering().map(|srv| srv.out.len() as i64).sum();
        prop_assert_eq!(fleet.answering_out, out);
        let rates = answering().all(|srv| f64::from(srv.count) == srv.done.count(now));
        prop_assert!(rates, "what is done counts on after its time");
        for set in 1..3 {
            let kept = srvs().filter(|srv| srv.usable() && srv.health[set].aside_until > now).count();
            prop_assert_eq!(fleet.kept[set], kept, "kept from set {}", set);
        }
        prop_assert_eq!(fleet.usable, srvs().filter(|srv| srv.usable()).count());
        for site in &fleet.sites {
            let of = |srv: &&Srv| fleet.sites[srv.site as usize].name == site.name;
            prop_assert_eq!(site.up, srvs().filter(of).filter(|srv| srv.state == EndpointState::Up).count());
            prop_assert_eq!(site.usable, srvs().filter(of).filter(|srv| srv.usable()).count());
        }
        let summed = fleet.level(now, 0.7, 0.4);
        prop_assert!(close(summed, level), "level {summed} {level}");
        Ok(())
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn sums_are_what_they_sum_up_whatever_happens(events in events()) {
            let (mut now, mut id) = (1_000 * S, 0);
            let mut fleet = Fleet::new(now, 2, 20 * S, 0.2);
            for event in events {
                happen(&mut fleet, &mut now, &mut id, event);
                check(&mut fleet, now)?;
            }
        }
    }

    #[test]
    fn srvs_that_come_and_go_all_day_leave_nothing_behind() {
        let mut now = 1_000 * S;
        let mut fleet = Fleet::new(now, 2, 20 * S, 0.2);
        let listed = |number: u32, state| ListedEndpoint {
            name: format!("s{number}").into(),
            state,
            started_at: None,
            weight: 1.0,
            site: format!("x{}", number / 1_000).into(),
            cell: u64::from(number / 100),
        };
        for number in 0..2_000 {
            fleet.add(now, &listed(number, EndpointState::Up), 0.5);
        }
        for number in 0..10_000u32 {
            now += 10 * MS;
            fleet.advance(now);
            fleet.add(now, &listed(number + 2_000, EndpointState::Up), 0.5);
            let who = fleet.find(&format!("s{number}")).expect("listed");
            fleet.sent(now, who, u64::from(number), 0, 0);
            fleet.report(now, who, 1.0);
            fleet.ended(now, who, u64::from(number), 0, true);
            fleet.set_aside(now, who, now + S);
            fleet.heed(now, who, &listed(number, EndpointState::Gone));
            fleet.forget(now);
        }
        fleet.stretch(now, 0.0, 1.0);
        assert!(fleet.srvs.len() <= 2_001, "{} places", fleet.srvs.len());
        assert!(fleet.sites.len() <= 4 && fleet.cells.len() <= 101);
        assert!(fleet.due.len() <= 1_000 && fleet.touched.iter().flatten().count() <= 1_000);
        assert_eq!((fleet.up, fleet.turns.len(), fleet.numbers.len()), (2_000, 2_000, 2_000));
        let all: Vec<u32> = fleet.known().collect();
        for who in all {
            fleet.go(now, who);
        }
        fleet.forget(now);
        now += 10 * S;
        fleet.advance(now);
        let empty = (fleet.up, fleet.weight, fleet.out, fleet.young, fleet.capped);
        assert_eq!(empty, (0, 0, 0, 0, 0));
        assert!(fleet.due.is_empty() && fleet.numbers.is_empty() && fleet.turns.is_empty());
    }
}
