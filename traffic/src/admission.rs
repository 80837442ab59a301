//! Who is at an upstream and who waits to be: the slots of one door. It owns their count, the order of those that wait
//! and the judgement whether waiting is of use. It must never let in more than the upstream has slots, nor keep a req
//! that is unlikely to be answered before it is late while others could be.
//!
//! Calls of runs that are under way go first: each keeps a slot taken somewhere else, and failing it throws away a run.
//! Among the others the one that is late first goes first; those that are late already come last, and wait only where
//! nobody else does, or where their session lives here.
//!
//! The reqs of a member of a federation hold a part of the slots and of the waiting places at most. Those of its reqs
//! that wait for its own slots stand in nobody's way, and what its runs take is counted apart. What it leaves free
//! others may use.

use std::collections::{HashMap, VecDeque};

use ochreshed_catalog::configuration::Name;
use ochreshed_consensus::core::Nanos;

/// What a run takes goes into the mean with this part.
const TOOK_PART: f64 = 0.05;
/// A req that waits is handed on while it has this much time left at least.
const LEAST_LEFT: Nanos = 15_000_000;
/// No more wait than this many times the slots.
const MOST_WAITING: u32 = 3;
/// Members that are neither in nor wait are forgotten beyond so many.
const MOST_MEMBERS: usize = 64;

/// A req that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// A run that is under way elsewhere waits for it.
    pub is_nested: bool,
    /// How many doors have turned it away before.
    pub rejections: u32,
    /// Its session lives at this upstream: elsewhere is worse than later.
    pub has_affinity: bool,
    /// When its answer is late, and when nobody waits for it any more.
    pub target: Nanos,
    pub deadline: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Call,
    InTime,
    Late,
}

/// How a req was received.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot.
    Admitted,
    /// It waits, until then at the longest.
    Queued(Nanos),
    /// There is no use in waiting here.
    Rejected,
}

/// What the reqs of a member may have here.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberShare {
    pub member: Name,
    /// Of the slots and of the waiting places, from 0 to 1; rounded up, and one at least.
    pub share: f64,
}

impl MemberShare {
    fn of(share: f64, all: u32) -> u32 {
        // Guards against a share such as a third of three that comes out a hair above one.
        let part = (f64::from(all) * share - 1e-9).ceil();
        if part >= 1.0 { (part as u32).min(all.max(1)) } else { 1 }
    }
}

struct QueuedRequest<T> {
    order: (Class, Nanos),
    last: Nanos,
    member: Option<Name>,
    who: T,
}

#[derive(Clone, Copy)]
struct Member {
    share: f64,
    taken: u32,
    /// As for all others.
    took: f64,
}

/// Who waits, as one that comes sees it.
#[derive(Default)]
struct Queue {
    /// Those that could have a slot, and those of them that would go first.
    waiting: u32,
    ahead: u32,
    /// Of its own member: all, and those that would go first.
    own: u32,
    own_ahead: u32,
}

/// `T` is who waits.
pub struct AdmissionQueue<T> {
    slots: u32,
    taken: u32,
    waiting: VecDeque<QueuedRequest<T>>,
    /// What a run takes on the mean of late, in seconds.
    took: f64,
    members: HashMap<Name, Member>,
}

impl<T> Default for AdmissionQueue<T> {
    fn default() -> AdmissionQueue<T> {
        AdmissionQueue { slots: 0, taken: 0, waiting: VecDeque::new(), took: 0.0, members: HashMap::new() }
    }
}

impl<T> AdmissionQueue<T> {
    /// How many the upstream has; those that wait may have a place by that, see `next`.
    pub fn set(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// A req comes; `who` is kept where it waits.
    pub fn ask(&mut self, now: Nanos, asker: &AdmissionRequest, who: impl FnOnce() -> T) -> Admission {
        self.ask_of(now, asker, None, who)
    }

    /// A req comes that is a member's, or nobody's.
    pub fn ask_of(
        &mut self,
        now: Nanos,
        asker: &AdmissionRequest,
        part: Option<&MemberShare>,
        who: impl FnOnce() -> T,
    ) -> Admission {
        let member = part.map(|part| self.member(part));
        // One slot is left for those that can still be in time.
        let late =
            !asker.is_nested && now + nanos(member.map_or(self.took, |member| member.took)) > asker.target;
        let free = self.slots.saturating_sub(u32::from(late && self.slots > 1));
        let own_free = member.is_none_or(|member| self.left(&member) > 0);
        if self.taken < free && own_free && !self.waiting.iter().any(|other| self.may_enter(other)) {
            self.enter(part.map(|part| &part.member));
            return Admission::Admitted;
        }
        let Some((order, last)) = self.may_wait(now, asker, part) else { return Admission::Rejected };
        let at = self.waiting.partition_point(|other| other.order <= order);
        let member = part.map(|part| part.member.clone());
        self.waiting.insert(at, QueuedRequest { order, last, member, who: who() });
        Admission::Queued(last)
    }

    /// What is known of a member, with the share that it has now.
    fn member(&mut self, part: &MemberShare) -> Member {
        if self.members.len() > MOST_MEMBERS && !self.members.contains_key(&part.member) {
            let waiting = &self.waiting;
            let waits = |name: &Name| waiting.iter().any(|other| other.member.as_ref() == Some(name));
            self.members.retain(|name, member| member.taken > 0 || waits(name));
        }
        let new = Member { share: part.share, taken: 0, took: self.took };
        let member = self.members.entry(part.member.clone()).or_insert(new);
        member.share = part.share;
        *member
    }

    /// How many more slots a member may take.
    fn left(&self, member: &Member) -> u32 {
        MemberShare::of(member.share, self.slots).saturating_sub(member.taken)
    }

    /// Whether one that waits may have a slot that is free.
    fn may_enter(&self, waiting: &QueuedRequest<T>) -> bool {
        let member = waiting.member.as_ref().and_then(|name| self.members.get(name));
        member.is_none_or(|member| self.left(member) > 0)
    }

    fn enter(&mut self, member: Option<&Name>) {
        self.taken += 1;
        if let Some(member) = member.and_then(|name| self.members.get_mut(name)) {
            member.taken += 1;
        }
    }

    fn queue(&self, order: (Class, Nanos), own: Option<&Name>) -> Queue {
        let ahead = self.waiting.partition_point(|other| other.order <= order);
        if self.members.is_empty() {
            return Queue { waiting: self.waiting.len() as u32, ahead: ahead as u32, ..Queue::default() };
        }
        let mut queue = Queue::default();
        let mut seen: HashMap<&Name, u32> = HashMap::new();
        for (at, other) in self.waiting.iter().enumerate() {
            let first = u32::from(at < ahead);
            if let Some(name) = &other.member {
                if own == Some(name) {
                    queue.own += 1;
                    queue.own_ahead += first;
                }
                if let Some(member) = self.members.get(name) {
                    let (seen, left) = (seen.entry(name).or_default(), self.left(member));
                    *seen += 1;
                    if *seen > left {
                        continue;
                    }
                }
            }
            queue.waiting += 1;
            queue.ahead += first;
        }
        queue
    }

    /// Its place in the order and how long it may wait there, if that is of use.
    fn may_wait(
        &self,
        now: Nanos,
        asker: &AdmissionRequest,
        part: Option<&MemberShare>,
    ) -> Option<((Class, Nanos), Nanos)> {
        let class = if asker.is_nested { Class::Call } else { Class::InTime };
        let order = (class, asker.target);
        let member = part.and_then(|part| Some((part, self.members.get(&part.member)?)));
        let queue = self.queue(order, member.map(|(part, _)| &part.member));
        let places = self.slots.saturating_mul(MOST_WAITING);
        if queue.waiting >= places {
            return None;
        }
        // Those that wait for their members' slots come to no more than all others may.
        if let Some((part, _)) = member
            && (queue.own >= MemberShare::of(part.share, places)
                || self.waiting.len() as u32 >= places.saturating_mul(2))
        {
            return None;
        }
        let took = nanos(member.map_or(self.took, |(_, member)| member.took));
        let each = self.took() / Nanos::from(self.slots.max(1));
        // How long it is until so many of its own could have gone.
        let own_wait = |before: u32| {
            let Some((part, member)) = member else { return 0 };
            let short = (before + 1).saturating_sub(self.left(member));
            Nanos::from(short) * (took / Nanos::from(MemberShare::of(part.share, self.slots)))
        };
        let wait = (Nanos::from(queue.ahead + 1) * each).max(own_wait(queue.own_ahead));
        let last = asker.deadline.saturating_sub(LEAST_LEFT);
        if now + wait + took <= asker.target {
            // The first door leaves it to others, which may have a slot free; the last one is as good as any.
            let most = match asker.rejections {
                _ if asker.is_nested || asker.has_affinity => self.slots * 2,
                0 | 2 => self.slots / 4,
                1 => self.slots / 2,
                _ => self.slots * 2,
            };
            let own_most = member.map_or(most, |(part, _)| most.min(MemberShare::of(part.share, most)));
            let may = queue.ahead < most && (member.is_none() || queue.own_ahead < own_most);
            // Who waits in vain is told while there is time to go elsewhere.
            return may.then(|| (order, last.min(asker.target - took)));
        }
        let order = (Class::Late, asker.deadline);
        let wait = (Nanos::from(queue.waiting + 1) * each).max(own_wait(queue.own));
        let in_time = now + wait + took <= last;
        if asker.has_affinity {
            // Behind all others; half of its time is left for another upstream.
            let half = now + asker.deadline.saturating_sub(now) / 2;
            return (in_time && now + wait <= half).then_some((order, last.min(half)));
        }
        (asker.rejections > 0 && queue.waiting == 0 && queue.own == 0 && in_time).then_some((order, last))
    }

    /// What a run takes on the mean of late.
    pub fn took(&self) -> Nanos {
        nanos(self.took)
    }

    /// A run has ended, after so long; without a time it tells nothing of how long runs take.
    pub fn leave(&mut self, took: Option<Nanos>) {
        self.taken = self.taken.saturating_sub(1);
        learn(&mut self.took, took);
    }

    /// A member's run has ended; how long others' take it doesn't tell.
    pub fn leave_of(&mut self, member: &Name, took: Option<Nanos>) {
        self.taken = self.taken.saturating_sub(1);
        if let Some(member) = self.members.get_mut(member) {
            member.taken = member.taken.saturating_sub(1);
            learn(&mut member.took, took);
        }
    }

    /// Who has a slot now, of those that waited. One whose time to wait is over is dropped, one whose member has its
    /// part of the slots is passed over.
    pub fn next(&mut self, now: Nanos) -> Option<T> {
        let mut at = 0;
        while self.taken < self.slots
            && let Some(first) = self.waiting.get(at)
        {
            if now > first.last {
                self.waiting.remove(at);
            } else if self.may_enter(first) {
                let first = self.waiting.remove(at)?;
                self.enter(first.member.as_ref());
                return Some(first.who);
            } else {
                at += 1;
            }
        }
        None
    }

    /// Those that have gone wait no longer.
    pub fn forget(&mut self, gone: impl Fn(&T) -> bool) {
        self.waiting.retain(|waiting| !gone(&waiting.who));
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn taken(&self) -> u32 {
        self.taken
    }
}

fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

fn learn(mean: &mut f64, took: Option<Nanos>) {
    if let Some(took) = took {
        *mean += (took as f64 / 1e9 - *mean) * TOOK_PART;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn asker(call: bool, turned: u32, aim_ms: u64) -> AdmissionRequest {
        AdmissionRequest {
            is_nested: call,
            rejections: turned,
            has_affinity: false,
            target: aim_ms * MS,
            deadline: (aim_ms + 500) * MS,
        }
    }

    /// AdmissionQueue all of which are taken, and whose runs take 100 ms.
    fn full(slots: u32) -> AdmissionQueue<u32> {
        let mut all = AdmissionQueue::default();
        all.set(slots);
        for _ in 0..200 {
            assert_eq!(all.ask(0, &asker(false, 0, 1_000), || 0), Admission::Admitted);
            all.leave(Some(100 * MS));
        }
        for _ in 0..slots {
            assert_eq!(all.ask(0, &asker(false, 0, 1_000), || 0), Admission::Admitted);
        }
        all
    }

    #[test]
    fn calls_go_first_then_those_that_are_late_first() {
        let mut slots = full(4);
        for (who, call, aim) in [(1, false, 900), (2, false, 500), (3, true, 700), (4, true, 600)] {
            assert!(matches!(slots.ask(0, &asker(call, 3, aim), || who), Admission::Queued(_)), "{who}");
        }
        let mut went = Vec::new();
        for _ in 0..4 {
            slots.leave(None);
            went.extend(slots.next(MS));
        }
        assert_eq!((went, slots.next(MS)), (vec![4, 3, 2, 1], None));
    }

    #[test]
    fn no_more_than_its_slots_are_let_in_and_none_waits_in_vain() {
        let mut slots = full(4);
        // Late before its turn would come: nowhere; late already, but the only one: if its client still waits.
        assert_eq!(slots.ask(0, &asker(false, 3, 110), || 1), Admission::Queued(595 * MS));
        assert_eq!(slots.ask(0, &asker(false, 3, 110), || 2), Admission::Rejected);
        assert_eq!(slots.ask(0, &asker(false, 0, 50), || 3), Admission::Rejected);
        // The first door lets one wait, the last one more.
        assert!(matches!(slots.ask(0, &asker(false, 0, 1_000), || 4), Admission::Queued(_)));
        assert_eq!(slots.ask(0, &asker(false, 0, 1_000), || 5), Admission::Rejected);
        assert!(matches!(slots.ask(0, &asker(false, 1, 1_000), || 6), Admission::Queued(_)));
        assert_eq!((slots.taken(), slots.next(MS)), (4, None));
        slots.leave(None);
        // Past its time to wait it is passed over.
        assert_eq!((slots.next(980 * MS), slots.taken(), slots.waiting()), (None, 3, 0));
    }
}
