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
const NOBODY: LeaseToken = 0;

#[derive(Clone, Debug)]
pub(super) struct Kept {
    pub claim: Lease,
    until: Nanos,
}

/// What the other members were told, for those that missed it.
#[derive(Clone, Debug)]
pub(super) enum Told {
    Grant(LeaseKey, LeaseToken, u32),
    Settle(LeaseKey, LeaseToken, Option<LeaseOutcome>),
}

impl Told {
    pub fn outcome(&self) -> Option<&LeaseOutcome> {
        if let Told::Settle(_, _, outcome) = self { outcome.as_ref() } else { None }
    }
}

/// A call that gathers grants.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub key: LeaseKey,
    token: LeaseToken,
    left_ms: u32,
    began: Nanos,
    wait_until: Nanos,
    pub timer: Nanos,
    /// Only as many as are needed were asked so far.
    few: bool,
    yes: BTreeSet<ReplicaId>,
    /// With the claim that is in the way, where there is one.
    no: BTreeMap<ReplicaId, Option<Lease>>,
}

/// How long a call waits for another claim's outcome, whose request has so many ms left.
pub fn outcome_wait(left_ms: u32) -> Nanos {
    (u64::from(left_ms) * MS / OUTCOME_WAIT_DIVISOR).min(MAX_OUTCOME_WAIT)
}

fn grade(outcome: &LeaseOutcome) -> u8 {
    match outcome {
        LeaseOutcome::Pending => 0,
        LeaseOutcome::Indeterminate => 1,
        LeaseOutcome::Completed(_) => 2,
    }
}

impl Core {
    /// How many keys are open, of unknown outcome and done.
    pub fn lease_counts(&self) -> (usize, usize, usize) {
        let mut count = [0; 3];
        for kept in self.claims.values() {
            if let Some(count) = count.get_mut(grade(&kept.claim.outcome) as usize) {
                *count += 1;
            }
        }
        (count[0], count[1], count[2])
    }

    pub fn lease(&self, key: LeaseKey) -> Option<&Lease> {
        self.claims.get(&key).map(|kept| &kept.claim)
    }

    /// For how long a claim is known here.
    pub fn lease_age(&self, key: LeaseKey) -> Option<Nanos> {
        self.claims.get(&key).map(|kept| self.known_for(kept))
    }

    /// That of the open claim which is known for longest.
    pub fn oldest_pending_lease_age(&self) -> Option<Nanos> {
        let open = self.claims.values().filter(|kept| kept.claim.outcome == LeaseOutcome::Pending);
        open.map(|kept| self.known_for(kept)).max()
    }

    fn known_for(&self, kept: &Kept) -> Nanos {
        self.now.saturating_add(self.config.lease_ttl).saturating_sub(kept.until)
    }

    pub(super) fn claim_wanted(
        &mut self,
        now: Nanos,
        call: u64,
        key: LeaseKey,
        token: LeaseToken,
        left_ms: u32,
        out: &mut Vec<Effect>,
    ) {
        let full = self.claims.len() >= self.config.max_leases && !self.claims.contains_key(&key);
        if token == NOBODY || full || self.calls.len() - self.sheet_calls.len() >= MOST_CLAIM_CALLS {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
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
        self.calls.insert(call, Call::Lease(asked));
        self.by_key.entry(key).or_default().push(call);
        self.judge(now, call, out);
        self.gather(call, out);
    }

    pub(super) fn settle_wanted(
        &mut self,
        now: Nanos,
        call: u64,
        key: LeaseKey,
        token: LeaseToken,
        outcome: Option<LeaseOutcome>,
        out: &mut Vec<Effect>,
    ) {
        self.settle(now, key, token, outcome.clone(), out);
        self.settle_others(now, key, token, outcome);
        out.push(Effect::Respond { call, response: CoreResponse::Accepted });
    }

    fn settle_others(&mut self, now: Nanos, key: LeaseKey, token: LeaseToken, outcome: Option<LeaseOutcome>) {
        let mut others: Vec<ReplicaId> = self.others().collect();
        if matches!(outcome, Some(LeaseOutcome::Completed(_))) {
            // An answer is kept by as many as it takes to outlive what may be lost, not by all: those nearest to the
            // key. Whoever is asked in its stead finds it there while gathering grants.
            others.sort_by_key(|station| crate::placement::place(station.address, key));
            others.truncate(self.view.members.len() / 2);
        }
        for station in others {
            self.post.entry(station.address).or_default().settles.push((key, token, outcome.clone()));
        }
        self.remember(now, Told::Settle(key, token, outcome));
    }

    /// One that was silent since then is back.
    pub(super) fn tell_again(&mut self, to: ReplicaId, since: Nanos) {
        if !self.is_member(&to) {
            return;
        }
        let post = self.post.entry(to.address).or_default();
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
    fn gather(&mut self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(asked)) = self.calls.get(&call) else { return };
        let (key, token, left_ms) = (asked.key, asked.token, asked.left_ms);
        let mut ask: Vec<ReplicaId> =
            self.view.members.iter().filter(|station| !asked.yes.contains(station)).copied().collect();
        if asked.few {
            let away = |station: &ReplicaId| self.peers.get(station).is_none_or(|peer| !peer.there(self.now));
            ask.sort_by_key(|station| {
                let me = *station == self.me;
                (!me || !self.voter, !me && away(station), crate::placement::place(station.address, key))
            });
            ask.truncate(self.majority());
        }
        let id = call ^ self.salt;
        for station in ask {
            if station == self.me {
                self.vote(id, key, token, left_ms, self.me, out);
            } else {
                self.post.entry(station.address).or_default().grants.push((id, key, token, left_ms));
            }
        }
    }

    /// Says whether this steward holds the key for the token; no word where it may not vote.
    fn vote(
        &mut self,
        id: u64,
        key: LeaseKey,
        token: LeaseToken,
        left_ms: u32,
        to: ReplicaId,
        out: &mut Vec<Effect>,
    ) {
        if !self.voter || token == NOBODY {
            return;
        }
        let grant = match self.claims.get(&key) {
            _ if self.freed.contains_key(&token) => LeaseVote::TokenReleased,
            Some(kept) if kept.claim.token == token && kept.claim.outcome == LeaseOutcome::Pending => {
                LeaseVote::Granted
            }
            Some(kept) => {
                let claim = kept.claim.clone();
                if claim.outcome == LeaseOutcome::Pending && to != self.me && self.askers.len() < MOST_ASKERS
                {
                    self.askers.insert((key, to.address));
                }
                LeaseVote::Held(claim)
            }
            None if self.claims.len() >= self.config.max_leases => return,
            None => {
                self.write(key, Lease { token, time_left_ms: left_ms, outcome: LeaseOutcome::Pending }, out);
                LeaseVote::Granted
            }
        };
        self.post.entry(to.address).or_default().granted.push((id, grant));
    }

    pub(super) fn asked_grants(
        &mut self,
        _now: Nanos,
        from: ReplicaId,
        list: Vec<(u64, LeaseKey, LeaseToken, u32)>,
        out: &mut Vec<Effect>,
    ) {
        for (id, key, token, left_ms) in list {
            self.vote(id, key, token, left_ms, from, out);
        }
    }

    pub(super) fn granted(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        list: Vec<(u64, LeaseVote)>,
        out: &mut Vec<Effect>,
    ) {
        for (id, grant) in list {
            let call = id ^ self.salt;
            let Some(Call::Lease(asked)) = self.calls.get_mut(&call) else { continue };
            let all = asked.few && grant != LeaseVote::Granted;
            asked.few &= !all;
            match grant {
                LeaseVote::Granted => {
                    asked.no.remove(&from);
                    asked.yes.insert(from);
                }
                LeaseVote::Held(claim) => {
                    asked.yes.remove(&from);
                    asked.no.insert(from, Some(claim));
                }
                LeaseVote::TokenReleased => {
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
    fn judge(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(asked)) = self.calls.get(&call) else { return };
        let (key, token) = (asked.key, asked.token);
        let voters = self.view.members.len();
        if let Some(kept) = self.claims.get(&key).filter(|kept| kept.claim.outcome != LeaseOutcome::Pending) {
            let outcome = kept.claim.outcome.clone();
            self.answer(call, CoreResponse::LeaseHeld(outcome), out);
        } else if asked.yes.len() >= self.majority() && voters > 0 {
            if asked.yes.len() < voters {
                let told = Told::Grant(key, token, asked.left_ms);
                self.remember(now, told);
            }
            self.answer(call, CoreResponse::LeaseGranted, out);
        } else if let Some(claim) =
            asked.no.values().flatten().find(|claim| claim.outcome != LeaseOutcome::Pending)
        {
            let claim = claim.clone();
            self.answer(call, CoreResponse::LeaseHeld(claim.outcome.clone()), out);
            self.settle(now, key, claim.token, Some(claim.outcome), out);
        } else if voters > 0 && voters.saturating_sub(asked.no.len()) < self.majority() {
            let other = asked.no.values().any(|claim| claim.is_some());
            if !other {
                self.answer(call, CoreResponse::Unavailable, out);
            } else if now >= asked.wait_until {
                self.answer(call, CoreResponse::LeaseHeld(LeaseOutcome::Pending), out);
            }
        } else if now >= asked.began.saturating_add(GATHER) {
            self.answer(call, CoreResponse::Unavailable, out);
            if self.mutant == 5 {
                self.settle(now, key, token, None, out);
                self.settle_others(now, key, token, None);
            }
        }
    }

    pub(super) fn claim_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(asked)) = self.calls.get_mut(&call) else { return };
        let ends =
            [asked.wait_until, asked.began.saturating_add(GATHER)].into_iter().filter(|end| *end > now);
        asked.timer = ends.min().unwrap_or(Nanos::MAX).min(now.saturating_add(AGAIN));
        asked.few = false;
        self.timers.insert((asked.timer, call));
        self.judge(now, call, out);
        self.gather(call, out);
    }

    /// The view is another one, or this steward votes now: what was gathered does not count any more.
    pub(super) fn claims_anew(&mut self, _now: Nanos, out: &mut Vec<Effect>) {
        let calls: Vec<u64> = self.by_key.values().flatten().copied().collect();
        for call in calls {
            if let Some(Call::Lease(asked)) = self.calls.get_mut(&call)
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
    fn askers_of(&mut self, key: LeaseKey) -> Vec<(LeaseKey, SocketAddr)> {
        let first = SocketAddr::from(([0, 0, 0, 0], 0));
        let askers: Vec<_> =
            self.askers.range((key, first)..).take_while(|(of, _)| *of == key).copied().collect();
        for asker in &askers {
            self.askers.remove(asker);
        }
        askers
    }

    /// Those that asked for a key while its claim was open may have somebody waiting.
    fn tell_askers(&mut self, key: LeaseKey, token: LeaseToken, outcome: &LeaseOutcome) {
        for asker in self.askers_of(key) {
            self.post.entry(asker.1).or_default().settles.push((key, token, Some(outcome.clone())));
        }
    }

    /// What the holder of a claim tells of it; its word that it ran proves that nobody else was granted the key.
    pub(super) fn settle(
        &mut self,
        now: Nanos,
        key: LeaseKey,
        token: LeaseToken,
        outcome: Option<LeaseOutcome>,
        out: &mut Vec<Effect>,
    ) {
        let held = self.claims.get(&key).map(|kept| (kept.claim.token, grade(&kept.claim.outcome)));
        let ours = held.filter(|(holder, _)| *holder == token || (self.mutant == 11 && outcome.is_none()));
        match (outcome, held) {
            _ if token == NOBODY => {}
            (Some(LeaseOutcome::Pending), _) => {}
            (None, _) if ours.is_some_and(|(_, grade)| grade > 0) => {}
            (None, _) => {
                self.free(token);
                if ours.is_some() {
                    self.remove(key, out);
                    self.wake(now, key, out);
                }
            }
            (Some(outcome), Some((_, before))) if grade(&outcome) > before => {
                let left_ms = self.claims.get(&key).map_or(0, |kept| kept.claim.time_left_ms);
                self.tell_askers(key, token, &outcome);
                self.write(key, Lease { token, time_left_ms: left_ms, outcome }, out);
                self.wake(now, key, out);
            }
            (Some(outcome), None) if self.claims.len() < self.config.max_leases => {
                self.write(key, Lease { token, time_left_ms: 0, outcome }, out);
                self.wake(now, key, out);
            }
            (Some(_), _) => {}
        }
    }

    /// Takes over what another voter holds. Two open claims of one key leave it nobody's: either may have been
    /// granted, so no third may be until both are known to be over.
    pub(super) fn merge(&mut self, key: LeaseKey, claim: Lease, out: &mut Vec<Effect>) {
        let open = claim.outcome == LeaseOutcome::Pending;
        if open && self.freed.contains_key(&claim.token) {
            return;
        }
        match self.claims.get(&key).map(|kept| &kept.claim) {
            None => self.write(key, claim, out),
            Some(mine) if grade(&claim.outcome) > grade(&mine.outcome) => self.write(key, claim, out),
            Some(mine) if open && mine.outcome == LeaseOutcome::Pending && mine.token != claim.token => {
                if mine.token != NOBODY && self.mutant != 6 {
                    let left_ms = claim.time_left_ms.max(mine.time_left_ms);
                    self.write(
                        key,
                        Lease { token: NOBODY, time_left_ms: left_ms, outcome: LeaseOutcome::Pending },
                        out,
                    );
                }
            }
            Some(_) => {}
        }
    }

    fn wake(&mut self, now: Nanos, key: LeaseKey, out: &mut Vec<Effect>) {
        for call in self.by_key.get(&key).cloned().unwrap_or_default() {
            self.judge(now, call, out);
            if let Some(Call::Lease(asked)) = self.calls.get(&call) {
                let (token, left_ms) = (asked.token, asked.left_ms);
                self.vote(call ^ self.salt, key, token, left_ms, self.me, out);
            }
        }
    }

    fn write(&mut self, key: LeaseKey, claim: Lease, out: &mut Vec<Effect>) {
        let claim = self.fitting(claim);
        out.push(Effect::Persist(LogRecord::Lease(key, claim.clone())));
        self.put(key, claim);
        self.shed(out);
    }

    /// Keeps a claim, for as long as that is from when it was first known.
    pub(super) fn put(&mut self, key: LeaseKey, claim: Lease) {
        let mut until = self.now.saturating_add(self.config.lease_ttl);
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

    pub(super) fn remove(&mut self, key: LeaseKey, out: &mut Vec<Effect>) {
        self.askers_of(key);
        if let Some(kept) = self.claims.remove(&key) {
            self.expiry.remove(&(kept.until, key));
            self.answers.goes(kept.until, key, &kept.claim.outcome);
            out.push(Effect::Persist(LogRecord::LeaseReleased(key, kept.claim.token)));
        }
    }

    /// Grants for this token that come late are not to stick.
    fn free(&mut self, token: LeaseToken) {
        let until = self.now.saturating_add(self.config.lease_ttl);
        if self.freed.insert(token, until).is_none() {
            self.freed_order.push_back((until, token));
        }
        if self.freed_order.len() > MOST_FREED
            && let Some((_, token)) = self.freed_order.pop_front()
        {
            self.freed.remove(&token);
        }
    }

    pub(super) fn drop_open(&mut self, out: &mut Vec<Effect>) {
        let open = self.claims.iter().filter(|(_, kept)| kept.claim.outcome == LeaseOutcome::Pending);
        let open: Vec<LeaseKey> = open.map(|(key, _)| *key).collect();
        for key in open {
            self.remove(key, out);
        }
    }

    pub(super) fn expire(&mut self, now: Nanos, out: &mut Vec<Effect>) {
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
