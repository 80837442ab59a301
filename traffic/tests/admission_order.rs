//! Tests of the order of queued requests, and of which requests are rejected.

use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest};

const MS: u64 = 1_000_000;

fn request(is_nested: bool, rejections: u32, target_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        is_nested,
        rejections,
        has_affinity: false,
        target: target_ms * MS,
        deadline: (target_ms + 500) * MS,
    }
}

/// The queue of an upstream at its concurrency limit whose runs take 100 ms.
fn full_queue(limit: u32) -> AdmissionQueue<u32> {
    let mut queue = AdmissionQueue::default();
    queue.set_limit(limit);
    for _ in 0..200 {
        assert_eq!(queue.request_admission(0, &request(false, 0, 1_000), || 0), Admission::Admitted);
        queue.release(Some(100 * MS));
    }
    for _ in 0..limit {
        assert_eq!(queue.request_admission(0, &request(false, 0, 1_000), || 0), Admission::Admitted);
    }
    queue
}

#[test]
fn nested_calls_are_admitted_first_then_the_earliest_target() {
    let mut queue = full_queue(4);
    for (id, is_nested, target) in [(1, false, 900), (2, false, 500), (3, true, 700), (4, true, 600)] {
        assert!(
            matches!(queue.request_admission(0, &request(is_nested, 3, target), || id), Admission::Queued(_)),
            "{id}"
        );
    }
    let mut admitted = Vec::new();
    for _ in 0..4 {
        queue.release(None);
        admitted.extend(queue.admit_next(MS));
    }
    assert_eq!((admitted, queue.admit_next(MS)), (vec![4, 3, 2, 1], None));
}

#[test]
fn the_limit_holds_and_late_requests_are_not_queued() {
    let mut queue = full_queue(4);
    // A request that would miss its target is queued only if the queue is empty and it can meet its deadline.
    assert_eq!(queue.request_admission(0, &request(false, 3, 110), || 1), Admission::Queued(595 * MS));
    assert_eq!(queue.request_admission(0, &request(false, 3, 110), || 2), Admission::Rejected);
    assert_eq!(queue.request_admission(0, &request(false, 0, 50), || 3), Admission::Rejected);
    // The first inbound proxy queues fewer requests than later ones.
    assert!(matches!(queue.request_admission(0, &request(false, 0, 1_000), || 4), Admission::Queued(_)));
    assert_eq!(queue.request_admission(0, &request(false, 0, 1_000), || 5), Admission::Rejected);
    assert!(matches!(queue.request_admission(0, &request(false, 1, 1_000), || 6), Admission::Queued(_)));
    assert_eq!((queue.in_flight(), queue.admit_next(MS)), (4, None));
    queue.release(None);
    // Expired requests are dropped.
    assert_eq!((queue.admit_next(980 * MS), queue.in_flight(), queue.queue_length()), (None, 3, 0));
}
