//! Which keys were claimed, and what came of them. It owns the claims this steward holds and the calls that gather
//! grants. It must never free a claim of its own accord: the same token may have been granted through another.

use super::*;

/// Who was not asked for a grant at first is after so long.
const HEDGE: Nanos = 50 * MS;
/// A call gathers grants for so long.
const GATHER: Nanos = 1000 * MS;
/// A call waits for another claim's outcome for so long at most, and for this part of the time that its request has left:
/// less than outbound proxies wait for a claim (`mesh/src/claim_breaker.rs`), so that they are told that the key is at work.
const MAX_OUTCOME_WAIT: Nanos = 700 * MS;
const OUTCOME_WAIT_DIVISOR: Nanos = 3;
pub(super) const TOLD_FOR: Nanos = 20_000 * MS;
pub(super) const MOST_TOLD: usize = 4096;
const MOST_FREED: usize = 20_000;
const MOST_ASKERS: usize = 4_096;
/// Nobody's token.
const NOBODY: Token = 0;

#[derive(Clone, Debug)]
pub(super) struct Kept {
    pub claim: Claim,
    until: Nanos,
}

/// What the other members were told, for those that missed it.
#[derive(Clone, Debug)]
pub(super) enum Told {
    Grant(Key, Token, u32),
    Settle(Key, Token, Option<Outcome>),
}

impl Told {
    pub fn outcome(&self) -> Option<&Outcome> {
        if let Told::Settle(_, _, outcome) = self { outcome.as_ref() } else { None }
    }
}

/// A call that gathers grants.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub key: Key,
    token: Token,
    left_ms: u32,
    began: Nanos,
    wait_until: Nanos,
    pub timer: Nanos,
    /// Only as many as are needed were asked so far.
    few: bool,
    yes: BTreeSet<Station>,
    /// With the claim that is in the way, where there is one.
    no: BTreeMap<Station, Option<Claim>>,
}

/// How long a call waits for another claim's outcome, whose request has so many ms left.
pub fn outcome_wait(left_ms: u32) -> Nanos {
    (u64::from(left_ms) * MS / OUTCOME_WAIT_DIVISOR).min(MAX_OUTCOME_WAIT)
}

fn grade(outcome: &Outcome) -> u8 {
    match outcome {
        Outcome::Open => 0,
        Outcome::Unknown => 1,
        Outcome::Done(_) => 2,
    }
}

impl Core {
    /// How many keys are open, of unknown outcome and done.
    pub fn keys(&self) -> (usize, usize, usize) {
        let mut count = [0; 3];
        for kept in self.claims.values() {
            if let Some(count) = count.get_mut(grade(&kept.claim.outcome) as usize) {
                *count += 1;
            }
        }
        (count[0], count[1], count[2])
    }

    pub fn claim(&self, key: Key) -> Option<&Claim> {
        self.claims.get(&key).map(|kept| &kept.claim)
    }

    /// For how long a claim is known here.
    pub fn age(&self, key: Key) -> Option<Nanos> {
        self.claims.get(&key).map(|kept| self.known_for(kept))
    }

    /// That of the open claim which is known for longest.
    pub fn oldest_open(&self) -> Option<Nanos> {
        let open = self.claims.values().filter(|kept| kept.claim.outcome == Outcome::Open);
        open.map(|kept| self.known_for(kept)).max()
    }

    fn known_for(&self, kept: &Kept) -> Nanos {
        self.now.saturating_add(self.config.keep).saturating_sub(kept.until)
    }

    pub(super) fn claim_wanted(
        &mut self,
        now: Nanos,
        call: u64,
        key: Key,
        token: Token,
        left_ms: u32,
        out: &mut Vec<Act>,
    ) {
        let full = self.claims.len() >= self.config.most_claims && !self.claims.contains_key(&key);
        if token == NOBODY || full || self.calls.len() - self.sheet_calls.len() >= MOST_CLAIM_CALLS {
            out.push(Act::Answer { call, got: Got::Unsure });
            return;
        }
        let asked = Asked {
            key,
            token,
            left_ms,
            began: now,
            wait_until: now.saturating_add(outcome_wait(left_ms)),
            timer: now.saturating_add(HEDGE),
            few: true,
            yes: BTreeSet::new(),
            no: BTreeMap::new(),
        };
        self.timers.insert((asked.timer, call));
        self.calls.insert(call, Call::Claim(asked));
        self.by_key.entry(key).or_default().push(call);
        self.judge(now, call, out);
        self.gather(call, out);
    }

    pub(super) fn settle_wanted(
        &mut self,
        now: Nanos,
        call: u64,
        key: Key,
        token: Token,
        outcome: Option<Outcome>,
        out: &mut Vec<Act>,
    ) {
        self.settle(now, key, token, outcome.clone(), out);
        self.settle_others(now, key, token, outcome);
        out.push(Act::Answer { call, got: Got::Taken });
    }

    fn settle_others(&mut self, now: Nanos, key: Key, token: Token, outcome: Option<Outcome>) {
        let mut others: Vec<Station> = self.others().collect();
        if matches!(outcome, Some(Outcome::Done(_))) {
            // An answer is kept by as many as it takes to outlive what may be lost, not by all: those nearest to the
            // key. Whoever is asked in its stead finds it there while gathering grants.
            others.sort_by_key(|station| crate::placement::place(station.at, key));
            others.truncate(self.view.members.len() / 2);
        }
        for station in others {
            self.post.entry(station.at).or_default().settles.push((key, token, outcome.clone()));
        }
        self.remember(now, Told::Settle(key, token, outcome));
    }

    /// One that was silent since then is back.
    pub(super) fn tell_again(&mut self, to: Station, since: Nanos) {
        if !self.is_member(&to) {
            return;
        }
        let post = self.post.entry(to.at).or_default();
        for (at, told) in self.told.iter().filter(|(at, _)| at.saturating_add(SILENT) >= since) {
            match told {
                _ if at.saturating_add(TOLD_FOR) < self.now => {}
                Told::Grant(key, token, left_ms) => post.grants.push((!self.salt, *key, *token, *left_ms)),
                Told::Settle(key, token, outcome) => post.settles.push((*key, *token, outcome.clone())),
            }
        }
    }

    /// Asks for grants, oneself first: at the beginning as many as are needed, those nearest to the key that are there,
    /// which will also keep its answer; later all that have not said yes.
    fn gather(&mut self, call: u64, out: &mut Vec<Act>) {
        let Some(Call::Claim(asked)) = self.calls.get(&call) else { return };
        let (key, token, left_ms) = (asked.key, asked.token, asked.left_ms);
        let mut ask: Vec<Station> =
            self.view.members.iter().filter(|station| !asked.yes.contains(station)).copied().collect();
        if asked.few {
            let away = |station: &Station| self.peers.get(station).is_none_or(|peer| !peer.there(self.now));
            ask.sort_by_key(|station| {
                let me = *station == self.me;
                (!me || !self.voter, !me && away(station), crate::placement::place(station.at, key))
            });
            ask.truncate(self.majority());
        }
        let id = call ^ self.salt;
        for station in ask {
            if station == self.me {
                self.vote(id, key, token, left_ms, self.me, out);
            } else {
                self.post.entry(station.at).or_default().grants.push((id, key, token, left_ms));
            }
        }
    }

    /// Says whether this steward holds the key for the token; no word where it may not vote.
    fn vote(&mut self, id: u64, key: Key, token: Token, left_ms: u32, to: Station, out: &mut Vec<Act>) {
        if !self.voter || token == NOBODY {
            return;
        }
        let grant = match self.claims.get(&key) {
            _ if self.freed.contains_key(&token) => Grant::Freed,
            Some(kept) if kept.claim.token == token && kept.claim.outcome == Outcome::Open => Grant::Yes,
            Some(kept) => {
                let claim = kept.claim.clone();
                if claim.outcome == Outcome::Open && to != self.me && self.askers.len() < MOST_ASKERS {
                    self.askers.insert((key, to.at));
                }
                Grant::No(claim)
            }
            None if self.claims.len() >= self.config.most_claims => return,
            None => {
                self.write(key, Claim { token, left_ms, outcome: Outcome::Open }, out);
                Grant::Yes
            }
        };
        self.post.entry(to.at).or_default().granted.push((id, grant));
    }

    pub(super) fn asked_grants(
        &mut self,
        _now: Nanos,
        from: Station,
        list: Vec<(u64, Key, Token, u32)>,
        out: &mut Vec<Act>,
    ) {
        for (id, key, token, left_ms) in list {
            self.vote(id, key, token, left_ms, from, out);
        }
    }

    pub(super) fn granted(&mut self, now: Nanos, from: Station, list: Vec<(u64, Grant)>, out: &mut Vec<Act>) {
        for (id, grant) in list {
            let call = id ^ self.salt;
            let Some(Call::Claim(asked)) = self.calls.get_mut(&call) else { continue };
            let all = asked.few && grant != Grant::Yes;
            asked.few &= !all;
            match grant {
                Grant::Yes => {
                    asked.no.remove(&from);
                    asked.yes.insert(from);
                }
                Grant::No(claim) => {
                    asked.yes.remove(&from);
                    asked.no.insert(from, Some(claim));
                }
                Grant::Freed => {
                    asked.yes.remove(&from);
                    asked.no.insert(from, None);
                }
            }
            self.judge(now, call, out);
            if all {
                self.gather(call, out);
            }
        }
    }

    /// Answers the call if it can be answered now.
    fn judge(&mut self, now: Nanos, call: u64, out: &mut Vec<Act>) {
        let Some(Call::Claim(asked)) = self.calls.get(&call) else { return };
        let (key, token) = (asked.key, asked.token);
        let voters = self.view.members.len();
        if let Some(kept) = self.claims.get(&key).filter(|kept| kept.claim.outcome != Outcome::Open) {
            let outcome = kept.claim.outcome.clone();
            self.answer(call, Got::Held(outcome), out);
        } else if asked.yes.len() >= self.majority() && voters > 0 {
            if asked.yes.len() < voters {
                let told = Told::Grant(key, token, asked.left_ms);
                self.remember(now, told);
            }
            self.answer(call, Got::Granted, out);
        } else if let Some(claim) = asked.no.values().flatten().find(|claim| claim.outcome != Outcome::Open) {
            let claim = claim.clone();
            self.answer(call, Got::Held(claim.outcome.clone()), out);
            self.settle(now, key, claim.token, Some(claim.outcome), out);
        } else if voters > 0 && voters.saturating_sub(asked.no.len()) < self.majority() {
            let other = asked.no.values().any(|claim| claim.is_some());
            if !other {
                self.answer(call, Got::Unsure, out);
            } else if now >= asked.wait_until {
                self.answer(call, Got::Held(Outcome::Open), out);
            }
        } else if now >= asked.began.saturating_add(GATHER) {
            self.answer(call, Got::Unsure, out);
            if self.mutant == 5 {
                self.settle(now, key, token, None, out);
                self.settle_others(now, key, token, None);
            }
        }
    }

    pub(super) fn claim_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Act>) {
        let Some(Call::Claim(asked)) = self.calls.get_mut(&call) else { return };
        let ends =
            [asked.wait_until, asked.began.saturating_add(GATHER)].into_iter().filter(|end| *end > now);
        asked.timer = ends.min().unwrap_or(Nanos::MAX).min(now.saturating_add(AGAIN));
        asked.few = false;
        self.timers.insert((asked.timer, call));
        self.judge(now, call, out);
        self.gather(call, out);
    }

    /// The view is another one, or this steward votes now: what was gathered does not count any more.
    pub(super) fn claims_anew(&mut self, _now: Nanos, out: &mut Vec<Act>) {
        let calls: Vec<u64> = self.by_key.values().flatten().copied().collect();
        for call in calls {
            if let Some(Call::Claim(asked)) = self.calls.get_mut(&call)
                && self.mutant != 1
            {
                asked.yes.clear();
                asked.no.clear();
                asked.few = false;
            }
            self.gather(call, out);
        }
    }

    /// Takes out those that asked for a key.
    fn askers_of(&mut self, key: Key) -> Vec<(Key, SocketAddr)> {
        let first = SocketAddr::from(([0, 0, 0, 0], 0));
        let askers: Vec<_> =
            self.askers.range((key, first)..).take_while(|(of, _)| *of == key).copied().collect();
        for asker in &askers {
            self.askers.remove(asker);
        }
        askers
    }

    /// Those that asked for a key while its claim was open may have somebody waiting.
    fn tell_askers(&mut self, key: Key, token: Token, outcome: &Outcome) {
        for asker in self.askers_of(key) {
            self.post.entry(asker.1).or_default().settles.push((key, token, Some(outcome.clone())));
        }
    }

    /// What the holder of a claim tells of it; its word that it ran proves that nobody else was granted the key.
    pub(super) fn settle(
        &mut self,
        now: Nanos,
        key: Key,
        token: Token,
        outcome: Option<Outcome>,
        out: &mut Vec<Act>,
    ) {
        let held = self.claims.get(&key).map(|kept| (kept.claim.token, grade(&kept.claim.outcome)));
        let ours = held.filter(|(holder, _)| *holder == token || (self.mutant == 11 && outcome.is_none()));
        match (outcome, held) {
            _ if token == NOBODY => {}
            (Some(Outcome::Open), _) => {}
            (None, _) if ours.is_some_and(|(_, grade)| grade > 0) => {}
            (None, _) => {
                self.free(token);
                if ours.is_some() {
                    self.remove(key, out);
                    self.wake(now, key, out);
                }
            }
            (Some(outcome), Some((_, before))) if grade(&outcome) > before => {
                let left_ms = self.claims.get(&key).map_or(0, |kept| kept.claim.left_ms);
                self.tell_askers(key, token, &outcome);
                self.write(key, Claim { token, left_ms, outcome }, out);
                self.wake(now, key, out);
            }
            (Some(outcome), None) if self.claims.len() < self.config.most_claims => {
                self.write(key, Claim { token, left_ms: 0, outcome }, out);
                self.wake(now, key, out);
            }
            (Some(_), _) => {}
        }
    }

    /// Takes over what another voter holds. Two open claims of one key leave it nobody's: either may have been
    /// granted, so no third may be until both are known to be over.
    pub(super) fn merge(&mut self, key: Key, claim: Claim, out: &mut Vec<Act>) {
        let open = claim.outcome == Outcome::Open;
        if open && self.freed.contains_key(&claim.token) {
            return;
        }
        match self.claims.get(&key).map(|kept| &kept.claim) {
            None => self.write(key, claim, out),
            Some(mine) if grade(&claim.outcome) > grade(&mine.outcome) => self.write(key, claim, out),
            Some(mine) if open && mine.outcome == Outcome::Open && mine.token != claim.token => {
                if mine.token != NOBODY && self.mutant != 6 {
                    let left_ms = claim.left_ms.max(mine.left_ms);
                    self.write(key, Claim { token: NOBODY, left_ms, outcome: Outcome::Open }, out);
                }
            }
            Some(_) => {}
        }
    }

    fn wake(&mut self, now: Nanos, key: Key, out: &mut Vec<Act>) {
        for call in self.by_key.get(&key).cloned().unwrap_or_default() {
            self.judge(now, call, out);
            if let Some(Call::Claim(asked)) = self.calls.get(&call) {
                let (token, left_ms) = (asked.token, asked.left_ms);
                self.vote(call ^ self.salt, key, token, left_ms, self.me, out);
            }
        }
    }

    fn write(&mut self, key: Key, claim: Claim, out: &mut Vec<Act>) {
        let claim = self.fitting(claim);
        out.push(Act::Write(Record::Claim(key, claim.clone())));
        self.put(key, claim);
        self.shed(out);
    }

    /// Keeps a claim, for as long as that is from when it was first known.
    pub(super) fn put(&mut self, key: Key, claim: Claim) {
        let mut until = self.now.saturating_add(self.config.keep);
        if let Some(kept) = self.claims.get(&key) {
            self.expiry.remove(&(kept.until, key));
            self.answers.goes(kept.until, key, &kept.claim.outcome);
            if kept.claim.token == claim.token {
                until = kept.until;
            }
        }
        self.answers.comes(until, key, &claim.outcome);
        self.expiry.insert((until, key));
        self.claims.insert(key, Kept { claim, until });
    }

    pub(super) fn remove(&mut self, key: Key, out: &mut Vec<Act>) {
        self.askers_of(key);
        if let Some(kept) = self.claims.remove(&key) {
            self.expiry.remove(&(kept.until, key));
            self.answers.goes(kept.until, key, &kept.claim.outcome);
            out.push(Act::Write(Record::Free(key, kept.claim.token)));
        }
    }

    /// Grants for this token that come late are not to stick.
    fn free(&mut self, token: Token) {
        let until = self.now.saturating_add(self.config.keep);
        if self.freed.insert(token, until).is_none() {
            self.freed_order.push_back((until, token));
        }
        if self.freed_order.len() > MOST_FREED
            && let Some((_, token)) = self.freed_order.pop_front()
        {
            self.freed.remove(&token);
        }
    }

    pub(super) fn drop_open(&mut self, out: &mut Vec<Act>) {
        let open = self.claims.iter().filter(|(_, kept)| kept.claim.outcome == Outcome::Open);
        let open: Vec<Key> = open.map(|(key, _)| *key).collect();
        for key in open {
            self.remove(key, out);
        }
    }

    pub(super) fn expire(&mut self, now: Nanos, out: &mut Vec<Act>) {
        while let Some(&(until, key)) = self.expiry.first() {
            if until > now {
                break;
            }
            self.expiry.remove(&(until, key));
            self.remove(key, out);
        }
        while let Some(&(until, token)) = self.freed_order.front() {
            if until > now {
                break;
            }
            self.freed_order.pop_front();
            self.freed.remove(&token);
        }
    }
}
