//! Admission with shares of members: no member has more than its share, none is kept from what is free, and requests on
//! the platform's routes are treated as if those that wait for their member's share were not there.

use std::collections::BTreeMap;

use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest, MemberShare};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const MEMBERS: [(&str, f64); 3] = [("a", 0.5), ("b", 0.2), ("c", 0.0)];

fn share_of_member(member: usize) -> Option<MemberShare> {
    MEMBERS.get(member).map(|(name, share)| MemberShare { member: (*name).into(), share: *share })
}

/// As documented: rounded up, one at least.
fn max_for(member: usize, of: u32) -> u32 {
    MEMBERS.get(member).map_or(of, |(_, share)| ((f64::from(of) * share).ceil() as u32).max(1))
}

/// The number of a request, and its member.
type RequestId = (usize, usize);

#[derive(Default)]
struct Model {
    inside: Vec<RequestId>,
    /// The member, and until when the request may wait.
    waiting: BTreeMap<usize, (usize, u64)>,
}

impl Model {
    fn of(&self, member: usize) -> u32 {
        self.inside.iter().filter(|(_, of)| *of == member).count() as u32
    }
}

proptest! {
    /// Requests of three members and of the platform come, wait, end and give up in any order.
    #[test]
    fn no_member_has_more_than_its_share_and_no_room_is_left_unused(
        limit in 1u32..9,
        steps in proptest::collection::vec((0usize..5, 0usize..4, 0u32..4, any::<bool>(), any::<bool>()), 1..120),
    ) {
        let (mut queue, mut model) = (AdmissionQueue::<RequestId>::default(), Model::default());
        queue.set_limit(limit);
        let mut now = S;
        for (nth, (what, member, rejections, is_nested, soon)) in steps.into_iter().enumerate() {
            now += MS;
            match what {
                0..=2 => {
                    let target = if soon { now + MS } else { now + 100 * S };
                    let request = AdmissionRequest { is_nested, rejections, has_affinity: nth % 3 == 0, target, deadline: target + 100 * S };
                    let allowed = model.of(member) < max_for(member, limit);
                    match queue.request_member_admission(now, &request, share_of_member(member).as_ref(), || (nth, member)) {
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
                    // Some runs take long, some say nothing of their time.
                    let run_time = soon.then_some(if is_nested { 400 * MS } else { 5 * MS });
                    match share_of_member(of) {
                        None => queue.release(run_time),
                        Some(share) => queue.release_member(&share.member, run_time),
                    }
                }
                _ => {
                    if let Some((&gone, _)) = model.waiting.iter().next() {
                        queue.remove_waiters(|(who, _)| *who == gone);
                        model.waiting.remove(&gone);
                    }
                }
            }
            model.waiting.retain(|_, (_, last)| *last >= now);
            while let Some((who, of)) = queue.admit_next(now) {
                prop_assert_eq!(model.waiting.remove(&who).map(|(of, _)| of), Some(of));
                model.inside.push((who, of));
            }
            queue.remove_waiters(|(who, _)| !model.waiting.contains_key(who));
            prop_assert_eq!((queue.in_flight() as usize, queue.queue_length()), (model.inside.len(), model.waiting.len()));
            prop_assert!(queue.in_flight() <= limit);
            for member in 0..MEMBERS.len() {
                prop_assert!(model.of(member) <= max_for(member, limit));
                let waiting = model.waiting.values().filter(|(of, _)| *of == member).count() as u32;
                prop_assert!(waiting <= max_for(member, limit * 3));
            }
            let wanted = model.waiting.values().any(|(of, _)| model.of(*of) < max_for(*of, limit));
            prop_assert!(queue.in_flight() == limit || !wanted, "the upstream has room");
        }
    }
}

fn request(rejections: u32) -> AdmissionRequest {
    AdmissionRequest {
        is_nested: false,
        rejections,
        has_affinity: false,
        target: S + 400 * MS,
        deadline: 20 * S,
    }
}

/// The queue of an upstream with a limit of six and runs of 50 ms, after a flood of a member whose own runs take so
/// long.
fn flooded_queue(run_time: u64) -> AdmissionQueue<&'static str> {
    let mut queue = AdmissionQueue::default();
    queue.set_limit(6);
    for _ in 0..200 {
        assert_eq!(queue.request_admission(0, &request(0), || ""), Admission::Admitted);
        queue.release(Some(50 * MS));
    }
    let bad = share_of_member(0);
    for _ in 0..20 {
        assert_eq!(
            queue.request_member_admission(S, &request(0), bad.as_ref(), || "bad"),
            Admission::Admitted
        );
        queue.release_member(&"a".into(), Some(run_time));
    }
    let answers: Vec<Admission> =
        (0..40).map(|_| queue.request_member_admission(S, &request(3), bad.as_ref(), || "bad")).collect();
    assert_eq!(answers.iter().filter(|way| **way == Admission::Admitted).count(), 3);
    // Requests that could be in time wait.
    let waits = if run_time > S { 0..=1 } else { 2..=9 };
    assert!(queue.in_flight() == 3 && waits.contains(&queue.queue_length()), "{}", queue.queue_length());
    queue
}

/// Guards against a member whose requests hang or loop and that takes room or time of others.
#[test]
fn a_member_that_floods_takes_only_its_share() {
    for run_time in [50 * MS, 10 * S] {
        let mut queue = flooded_queue(run_time);
        // Its own next request is not admitted while there is room; those of the platform and of other members are.
        assert!(!matches!(
            queue.request_member_admission(S, &request(0), share_of_member(0).as_ref(), || "bad"),
            Admission::Admitted
        ));
        assert_eq!(
            queue.request_member_admission(S, &request(0), share_of_member(1).as_ref(), || "good"),
            Admission::Admitted
        );
        assert_eq!(queue.request_admission(S, &request(0), || "plain"), Admission::Admitted);
        assert_eq!(queue.request_admission(S, &request(0), || "plain"), Admission::Admitted);
        // There is no room. The member's run times say nothing of others', and its requests that wait for its share are
        // ahead of nobody.
        assert!(
            matches!(queue.request_admission(S, &request(0), || "first"), Admission::Queued(last) if last > S + 300 * MS)
        );
        assert!(matches!(queue.request_admission(S, &request(1), || "second"), Admission::Queued(_)));
        queue.release(Some(50 * MS));
        assert_eq!((queue.admit_next(S + MS), queue.admit_next(S + MS)), (Some("first"), None));
        queue.release_member(&"b".into(), None);
        assert_eq!(queue.admit_next(S + MS), Some("second"));
    }
}

/// The newest share of a member holds.
#[test]
fn a_share_that_is_lowered_holds_at_once() {
    let mut queue = AdmissionQueue::default();
    queue.set_limit(10);
    let told = |share| Some(MemberShare { member: "a".into(), share });
    let request_slot = |queue: &mut AdmissionQueue<()>, share| {
        queue.request_member_admission(S, &request(3), told(share).as_ref(), || ())
    };
    (0..5).for_each(|_| assert_eq!(request_slot(&mut queue, 0.5), Admission::Admitted));
    assert!(matches!(request_slot(&mut queue, 0.2), Admission::Queued(_)));
    (0..3).for_each(|_| queue.release_member(&"a".into(), None));
    assert_eq!(queue.admit_next(S), None, "its share is two of ten now");
    queue.release_member(&"a".into(), None);
    assert_eq!((queue.admit_next(S), queue.in_flight()), (Some(()), 2));
    // A share that is no number, or of which nothing is left, leaves one.
    for share in [f64::NAN, -1.0, 0.0] {
        let mut queue = AdmissionQueue::default();
        queue.set_limit(10);
        assert_eq!(request_slot(&mut queue, share), Admission::Admitted);
        assert_ne!(request_slot(&mut queue, share), Admission::Admitted);
    }
}

/// Guards against sessions that lose their upstream because the control plane did not answer for longer than their
/// requests' target.
#[test]
fn a_late_request_waits_where_its_session_lives_and_behind_those_in_time() {
    let mut queue: AdmissionQueue<&'static str> = AdmissionQueue::default();
    queue.set_limit(2);
    for _ in 0..200 {
        assert_eq!(queue.request_admission(0, &request(0), || ""), Admission::Admitted);
        queue.release(Some(50 * MS));
    }
    for _ in 0..2 {
        assert_eq!(queue.request_admission(S, &request(0), || ""), Admission::Admitted);
    }
    let late = AdmissionRequest { has_affinity: true, target: S - MS, deadline: 3 * S, ..request(0) };
    // Half of its time is left for another upstream.
    assert_eq!(queue.request_admission(S, &late, || "tied, first"), Admission::Queued(2 * S));
    assert_eq!(queue.request_admission(S, &late, || "tied, second"), Admission::Queued(2 * S));
    assert_eq!(
        queue.request_admission(S, &AdmissionRequest { has_affinity: false, ..late }, || "untied"),
        Admission::Rejected
    );
    assert!(matches!(queue.request_admission(S, &request(3), || "in time"), Admission::Queued(_)));
    let mut admitted = Vec::new();
    for _ in 0..3 {
        queue.release(None);
        admitted.extend(queue.admit_next(S + MS));
    }
    assert_eq!(admitted, ["in time", "tied, first", "tied, second"]);
    // No more wait than the upstream can serve in time.
    let short = AdmissionRequest { deadline: S + 120 * MS, ..late };
    assert_eq!(
        queue.request_admission(S, &AdmissionRequest { deadline: S + 40 * MS, ..short }, || "in vain"),
        Admission::Rejected
    );
}
