//! Tests of admission with members' shares: no member exceeds its share, free capacity is available to all, and
//! requests that wait for their member's share do not affect requests on the platform's routes.

use std::collections::BTreeMap;

use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest, MemberShare};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const MEMBERS: [(&str, f64); 3] = [("a", 0.5), ("b", 0.2), ("c", 0.0)];

fn share_of_member(member: usize) -> Option<MemberShare> {
    MEMBERS.get(member).map(|(name, share)| MemberShare { member: (*name).into(), share: *share })
}

/// The documented limit of a member: its share of `total`, rounded up and at least 1.
fn member_limit(member: usize, total: u32) -> u32 {
    MEMBERS.get(member).map_or(total, |(_, share)| ((f64::from(total) * share).ceil() as u32).max(1))
}

/// The index of the step that made a request, and the request's member.
type RequestId = (usize, usize);

#[derive(Default)]
struct Model {
    running: Vec<RequestId>,
    /// The member of each queued request and the time until which it may wait.
    waiting: BTreeMap<usize, (usize, u64)>,
}

impl Model {
    fn running_of(&self, member: usize) -> u32 {
        self.running.iter().filter(|(_, owner)| *owner == member).count() as u32
    }
}

proptest! {
    /// Requests of three members and of the platform arrive, wait, end and are abandoned in any order.
    #[test]
    fn no_member_exceeds_its_share_and_no_capacity_is_left_unused(
        limit in 1u32..9,
        steps in proptest::collection::vec((0usize..5, 0usize..4, 0u32..4, any::<bool>(), any::<bool>()), 1..120),
    ) {
        let (mut queue, mut model) = (AdmissionQueue::<RequestId>::default(), Model::default());
        queue.set_limit(limit);
        let mut now = S;
        for (step, (action, member, rejections, is_nested, is_short)) in steps.into_iter().enumerate() {
            now += MS;
            match action {
                0..=2 => {
                    let target = if is_short { now + MS } else { now + 100 * S };
                    let request = AdmissionRequest { is_nested, rejections, has_affinity: step % 3 == 0, target, deadline: target + 100 * S };
                    let allowed = model.running_of(member) < member_limit(member, limit);
                    match queue.request_member_admission(now, &request, share_of_member(member).as_ref(), || (step, member)) {
                        Admission::Admitted => {
                            prop_assert!(allowed);
                            model.running.push((step, member));
                        }
                        Admission::Queued(expires_at) => drop(model.waiting.insert(step, (member, expires_at))),
                        Admission::Rejected => {}
                    }
                }
                3 if !model.running.is_empty() => {
                    let (_, owner) = model.running.remove(step % model.running.len());
                    // Some runs are long, and some do not report a run time.
                    let run_time = is_short.then_some(if is_nested { 400 * MS } else { 5 * MS });
                    match share_of_member(owner) {
                        None => queue.release(run_time),
                        Some(share) => queue.release_member(&share.member, run_time),
                    }
                }
                _ => {
                    if let Some((&abandoned, _)) = model.waiting.iter().next() {
                        queue.remove_waiters(|(id, _)| *id == abandoned);
                        model.waiting.remove(&abandoned);
                    }
                }
            }
            model.waiting.retain(|_, (_, expires_at)| *expires_at >= now);
            while let Some((id, owner)) = queue.admit_next(now) {
                prop_assert_eq!(model.waiting.remove(&id).map(|(owner, _)| owner), Some(owner));
                model.running.push((id, owner));
            }
            queue.remove_waiters(|(id, _)| !model.waiting.contains_key(id));
            prop_assert_eq!((queue.in_flight() as usize, queue.queue_length()), (model.running.len(), model.waiting.len()));
            prop_assert!(queue.in_flight() <= limit);
            for member in 0..MEMBERS.len() {
                prop_assert!(model.running_of(member) <= member_limit(member, limit));
                let waiting = model.waiting.values().filter(|(owner, _)| *owner == member).count() as u32;
                prop_assert!(waiting <= member_limit(member, limit * 3));
            }
            let any_may_run = model.waiting.values().any(|(owner, _)| model.running_of(*owner) < member_limit(*owner, limit));
            prop_assert!(queue.in_flight() == limit || !any_may_run, "a queued request was not admitted although the upstream has capacity");
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

/// The queue of an upstream with a limit of 6 and run times of 50 ms, after a flood of requests of one member whose
/// runs take `run_time`.
fn flooded_queue(run_time: u64) -> AdmissionQueue<&'static str> {
    let mut queue = AdmissionQueue::default();
    queue.set_limit(6);
    for _ in 0..200 {
        assert_eq!(queue.request_admission(0, &request(0), || ""), Admission::Admitted);
        queue.release(Some(50 * MS));
    }
    let flooding_member = share_of_member(0);
    for _ in 0..20 {
        assert_eq!(
            queue.request_member_admission(S, &request(0), flooding_member.as_ref(), || "flood"),
            Admission::Admitted
        );
        queue.release_member(&"a".into(), Some(run_time));
    }
    let admissions: Vec<Admission> = (0..40)
        .map(|_| queue.request_member_admission(S, &request(3), flooding_member.as_ref(), || "flood"))
        .collect();
    assert_eq!(admissions.iter().filter(|admission| **admission == Admission::Admitted).count(), 3);
    // Requests that can still be answered in time are queued.
    let expected_queue_length = if run_time > S { 0..=1 } else { 2..=9 };
    assert!(
        queue.in_flight() == 3 && expected_queue_length.contains(&queue.queue_length()),
        "{}",
        queue.queue_length()
    );
    queue
}

/// Guards against a member whose requests hang or loop and use up the capacity of others or lengthen their estimated
/// wait.
#[test]
fn a_flooding_member_uses_only_its_share() {
    for run_time in [50 * MS, 10 * S] {
        let mut queue = flooded_queue(run_time);
        // The upstream has free capacity, which the flooding member does not get, but the platform and other members
        // do.
        assert!(!matches!(
            queue.request_member_admission(S, &request(0), share_of_member(0).as_ref(), || "flood"),
            Admission::Admitted
        ));
        assert_eq!(
            queue.request_member_admission(S, &request(0), share_of_member(1).as_ref(), || "other member"),
            Admission::Admitted
        );
        assert_eq!(queue.request_admission(S, &request(0), || "platform"), Admission::Admitted);
        assert_eq!(queue.request_admission(S, &request(0), || "platform"), Admission::Admitted);
        // The upstream is full. The member's run times do not affect the estimates for others, and its requests that
        // wait for its share do not count as being ahead.
        assert!(
            matches!(queue.request_admission(S, &request(0), || "first"), Admission::Queued(expires_at) if expires_at > S + 300 * MS)
        );
        assert!(matches!(queue.request_admission(S, &request(1), || "second"), Admission::Queued(_)));
        queue.release(Some(50 * MS));
        assert_eq!((queue.admit_next(S + MS), queue.admit_next(S + MS)), (Some("first"), None));
        queue.release_member(&"b".into(), None);
        assert_eq!(queue.admit_next(S + MS), Some("second"));
    }
}

#[test]
fn a_lowered_share_applies_at_once() {
    let mut queue = AdmissionQueue::default();
    queue.set_limit(10);
    let member_share = |share| Some(MemberShare { member: "a".into(), share });
    let request_admission = |queue: &mut AdmissionQueue<()>, share| {
        queue.request_member_admission(S, &request(3), member_share(share).as_ref(), || ())
    };
    (0..5).for_each(|_| assert_eq!(request_admission(&mut queue, 0.5), Admission::Admitted));
    assert!(matches!(request_admission(&mut queue, 0.2), Admission::Queued(_)));
    (0..3).for_each(|_| queue.release_member(&"a".into(), None));
    assert_eq!(queue.admit_next(S), None, "the share is now 2 of 10");
    queue.release_member(&"a".into(), None);
    assert_eq!((queue.admit_next(S), queue.in_flight()), (Some(()), 2));
    // A share that is NaN, negative or 0 still allows one request.
    for share in [f64::NAN, -1.0, 0.0] {
        let mut queue = AdmissionQueue::default();
        queue.set_limit(10);
        assert_eq!(request_admission(&mut queue, share), Admission::Admitted);
        assert_ne!(request_admission(&mut queue, share), Admission::Admitted);
    }
}

/// Guards against sessions that lose their upstream because the control plane took longer to answer than the latency
/// target of their requests.
#[test]
fn a_late_request_waits_at_the_upstream_of_its_session_behind_requests_in_time() {
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
    // Half of the remaining time is reserved for another upstream.
    assert_eq!(queue.request_admission(S, &late, || "bound, first"), Admission::Queued(2 * S));
    assert_eq!(queue.request_admission(S, &late, || "bound, second"), Admission::Queued(2 * S));
    assert_eq!(
        queue.request_admission(S, &AdmissionRequest { has_affinity: false, ..late }, || "unbound"),
        Admission::Rejected
    );
    assert!(matches!(queue.request_admission(S, &request(3), || "in time"), Admission::Queued(_)));
    let mut admitted = Vec::new();
    for _ in 0..3 {
        queue.release(None);
        admitted.extend(queue.admit_next(S + MS));
    }
    assert_eq!(admitted, ["in time", "bound, first", "bound, second"]);
    // A request that the upstream can't serve before its deadline is rejected.
    let short = AdmissionRequest { deadline: S + 120 * MS, ..late };
    assert_eq!(
        queue.request_admission(S, &AdmissionRequest { deadline: S + 40 * MS, ..short }, || "too late"),
        Admission::Rejected
    );
}
