//! AdmissionQueue divided among members: whatever comes, no member has more than its part, none is kept out of what is free, and
//! those whose routes are the platform's are received as if members that wait for their own slots were not there.

use std::collections::BTreeMap;

use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest, MemberShare};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const MEMBERS: [(&str, f64); 3] = [("a", 0.5), ("b", 0.2), ("c", 0.0)];

fn part(member: usize) -> Option<MemberShare> {
    MEMBERS.get(member).map(|(name, share)| MemberShare { member: (*name).into(), share: *share })
}

/// As the users were told: rounded up, one at least.
fn most(member: usize, of: u32) -> u32 {
    MEMBERS.get(member).map_or(of, |(_, share)| ((f64::from(of) * share).ceil() as u32).max(1))
}

/// What a req is known by here: its number, and whose it is.
type Who = (usize, usize);

#[derive(Default)]
struct Model {
    inside: Vec<Who>,
    /// Whose it is, and how long it may wait.
    waiting: BTreeMap<usize, (usize, u64)>,
}

impl Model {
    fn of(&self, member: usize) -> u32 {
        self.inside.iter().filter(|(_, of)| *of == member).count() as u32
    }
}

proptest! {
    /// Reqs of three members and of the platform come, wait, go and give up in any order.
    #[test]
    fn no_member_has_more_than_its_part_and_nothing_that_is_wanted_is_idle(
        slots in 1u32..9,
        steps in proptest::collection::vec((0usize..5, 0usize..4, 0u32..4, any::<bool>(), any::<bool>()), 1..120),
    ) {
        let (mut all, mut model) = (AdmissionQueue::<Who>::default(), Model::default());
        all.set_limit(slots);
        let mut now = S;
        for (nth, (what, member, turned, call, soon)) in steps.into_iter().enumerate() {
            now += MS;
            match what {
                0..=2 => {
                    let aim = if soon { now + MS } else { now + 100 * S };
                    let asker = AdmissionRequest { is_nested: call, rejections: turned, has_affinity: nth % 3 == 0, target: aim, deadline: aim + 100 * S };
                    let allowed = model.of(member) < most(member, slots);
                    match all.request_for_member(now, &asker, part(member).as_ref(), || (nth, member)) {
                        Admission::Admitted => {
                            prop_assert!(allowed);
                            model.inside.push((nth, member));
                        }
                        Admission::Queued(last) => drop(model.waiting.insert(nth, (member, last))),
                        Admission::Rejected => {}
                    }
                }
                3 if !model.inside.is_empty() => {
                    let (_, of) = model.inside.remove(nth % model.inside.len());
                    // Some runs take long, some tell nothing.
                    let took = soon.then_some(if call { 400 * MS } else { 5 * MS });
                    match part(of) {
                        None => all.release(took),
                        Some(part) => all.release_for_member(&part.member, took),
                    }
                }
                _ => {
                    if let Some((&gone, _)) = model.waiting.iter().next() {
                        all.remove_waiters(|(who, _)| *who == gone);
                        model.waiting.remove(&gone);
                    }
                }
            }
            model.waiting.retain(|_, (_, last)| *last >= now);
            while let Some((who, of)) = all.admit_next(now) {
                prop_assert_eq!(model.waiting.remove(&who).map(|(of, _)| of), Some(of));
                model.inside.push((who, of));
            }
            all.remove_waiters(|(who, _)| !model.waiting.contains_key(who));
            prop_assert_eq!((all.in_flight() as usize, all.queued()), (model.inside.len(), model.waiting.len()));
            prop_assert!(all.in_flight() <= slots);
            for member in 0..MEMBERS.len() {
                prop_assert!(model.of(member) <= most(member, slots));
                let waiting = model.waiting.values().filter(|(of, _)| *of == member).count() as u32;
                prop_assert!(waiting <= most(member, slots * 3));
            }
            let wanted = model.waiting.values().any(|(of, _)| model.of(*of) < most(*of, slots));
            prop_assert!(all.in_flight() == slots || !wanted, "a slot is idle");
        }
    }
}

fn asker(turned: u32) -> AdmissionRequest {
    AdmissionRequest {
        is_nested: false,
        rejections: turned,
        has_affinity: false,
        target: S + 400 * MS,
        deadline: 20 * S,
    }
}

/// A door of six slots whose runs take 50 ms, and where a member that floods it, and whose own runs take so long, has
/// been turned away.
fn flooded(took: u64) -> AdmissionQueue<&'static str> {
    let mut all = AdmissionQueue::default();
    all.set_limit(6);
    for _ in 0..200 {
        assert_eq!(all.request(0, &asker(0), || ""), Admission::Admitted);
        all.release(Some(50 * MS));
    }
    let bad = part(0);
    for _ in 0..20 {
        assert_eq!(all.request_for_member(S, &asker(0), bad.as_ref(), || "bad"), Admission::Admitted);
        all.release_for_member(&"a".into(), Some(took));
    }
    let came: Vec<Admission> =
        (0..40).map(|_| all.request_for_member(S, &asker(3), bad.as_ref(), || "bad")).collect();
    assert_eq!(came.iter().filter(|way| **way == Admission::Admitted).count(), 3);
    // Those that could be in time wait.
    let waits = if took > S { 0..=1 } else { 2..=9 };
    assert!(all.in_flight() == 3 && waits.contains(&all.queued()), "{}", all.queued());
    all
}

/// Guards against a member whose reqs hang or loop and that takes others' slots, places or time.
#[test]
fn a_member_that_floods_takes_only_its_own() {
    for took in [50 * MS, 10 * S] {
        let mut all = flooded(took);
        // Its own next one is turned away while slots are free; the platform's and other members' get these at once.
        assert!(!matches!(
            all.request_for_member(S, &asker(0), part(0).as_ref(), || "bad"),
            Admission::Admitted
        ));
        assert_eq!(all.request_for_member(S, &asker(0), part(1).as_ref(), || "good"), Admission::Admitted);
        assert_eq!(all.request(S, &asker(0), || "plain"), Admission::Admitted);
        assert_eq!(all.request(S, &asker(0), || "plain"), Admission::Admitted);
        // Full. How long the member's runs take says nothing of others', and those of it that wait for its own slots are
        // ahead of nobody.
        assert!(
            matches!(all.request(S, &asker(0), || "first"), Admission::Queued(last) if last > S + 300 * MS)
        );
        assert!(matches!(all.request(S, &asker(1), || "second"), Admission::Queued(_)));
        all.release(Some(50 * MS));
        assert_eq!((all.admit_next(S + MS), all.admit_next(S + MS)), (Some("first"), None));
        all.release_for_member(&"b".into(), None);
        assert_eq!(all.admit_next(S + MS), Some("second"));
    }
}

/// The part that a member has is the one that was told last.
#[test]
fn a_share_that_is_lowered_holds_at_once() {
    let mut all = AdmissionQueue::default();
    all.set_limit(10);
    let told = |share| Some(MemberShare { member: "a".into(), share });
    let come = |all: &mut AdmissionQueue<()>, share| {
        all.request_for_member(S, &asker(3), told(share).as_ref(), || ())
    };
    (0..5).for_each(|_| assert_eq!(come(&mut all, 0.5), Admission::Admitted));
    assert!(matches!(come(&mut all, 0.2), Admission::Queued(_)));
    (0..3).for_each(|_| all.release_for_member(&"a".into(), None));
    assert_eq!(all.admit_next(S), None, "two of ten are its part now");
    all.release_for_member(&"a".into(), None);
    assert_eq!((all.admit_next(S), all.in_flight()), (Some(()), 2));
    // A share that is no number, or of which nothing is left, leaves one.
    for share in [f64::NAN, -1.0, 0.0] {
        let mut all = AdmissionQueue::default();
        all.set_limit(10);
        assert_eq!(come(&mut all, share), Admission::Admitted);
        assert_ne!(come(&mut all, share), Admission::Admitted);
    }
}

/// Guards against sessions that lose their upstream because the core stood still for longer than their requests' target.
#[test]
fn a_late_request_waits_where_its_session_lives_and_behind_those_in_time() {
    let mut slots: AdmissionQueue<&'static str> = AdmissionQueue::default();
    slots.set_limit(2);
    for _ in 0..200 {
        assert_eq!(slots.request(0, &asker(0), || ""), Admission::Admitted);
        slots.release(Some(50 * MS));
    }
    for _ in 0..2 {
        assert_eq!(slots.request(S, &asker(0), || ""), Admission::Admitted);
    }
    let late = AdmissionRequest { has_affinity: true, target: S - MS, deadline: 3 * S, ..asker(0) };
    // Half of its time is left for another upstream.
    assert_eq!(slots.request(S, &late, || "tied, first"), Admission::Queued(2 * S));
    assert_eq!(slots.request(S, &late, || "tied, second"), Admission::Queued(2 * S));
    assert_eq!(
        slots.request(S, &AdmissionRequest { has_affinity: false, ..late }, || "untied"),
        Admission::Rejected
    );
    assert!(matches!(slots.request(S, &asker(3), || "in time"), Admission::Queued(_)));
    let mut went = Vec::new();
    for _ in 0..3 {
        slots.release(None);
        went.extend(slots.admit_next(S + MS));
    }
    assert_eq!(went, ["in time", "tied, first", "tied, second"]);
    // No more wait than the upstream can serve in time.
    let short = AdmissionRequest { deadline: S + 120 * MS, ..late };
    assert_eq!(
        slots.request(S, &AdmissionRequest { deadline: S + 40 * MS, ..short }, || "in vain"),
        Admission::Rejected
    );
}
