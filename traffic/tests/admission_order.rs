//! The order of queued requests, and which are not queued.

use ochreshed_traffic::admission::{Admission, AdmissionQueue, AdmissionRequest};

const MS: u64 = 1_000_000;

fn asker(call: bool, turned: u32, aim_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        is_nested: call,
        rejections: turned,
        has_affinity: false,
        target: aim_ms * MS,
        deadline: (aim_ms + 500) * MS,
    }
}

/// A queue whose upstream has no room, and whose runs take 100 ms.
fn full(slots: u32) -> AdmissionQueue<u32> {
    let mut all = AdmissionQueue::default();
    all.set_limit(slots);
    for _ in 0..200 {
        assert_eq!(all.request(0, &asker(false, 0, 1_000), || 0), Admission::Admitted);
        all.release(Some(100 * MS));
    }
    for _ in 0..slots {
        assert_eq!(all.request(0, &asker(false, 0, 1_000), || 0), Admission::Admitted);
    }
    all
}

#[test]
fn calls_go_first_then_those_that_are_late_first() {
    let mut slots = full(4);
    for (who, call, aim) in [(1, false, 900), (2, false, 500), (3, true, 700), (4, true, 600)] {
        assert!(matches!(slots.request(0, &asker(call, 3, aim), || who), Admission::Queued(_)), "{who}");
    }
    let mut went = Vec::new();
    for _ in 0..4 {
        slots.release(None);
        went.extend(slots.admit_next(MS));
    }
    assert_eq!((went, slots.admit_next(MS)), (vec![4, 3, 2, 1], None));
}

#[test]
fn no_more_than_its_slots_are_let_in_and_none_waits_in_vain() {
    let mut slots = full(4);
    // Late before its turn would come: nowhere; late already, but the only one: if its client still waits.
    assert_eq!(slots.request(0, &asker(false, 3, 110), || 1), Admission::Queued(595 * MS));
    assert_eq!(slots.request(0, &asker(false, 3, 110), || 2), Admission::Rejected);
    assert_eq!(slots.request(0, &asker(false, 0, 50), || 3), Admission::Rejected);
    // The first door lets one wait, the last one more.
    assert!(matches!(slots.request(0, &asker(false, 0, 1_000), || 4), Admission::Queued(_)));
    assert_eq!(slots.request(0, &asker(false, 0, 1_000), || 5), Admission::Rejected);
    assert!(matches!(slots.request(0, &asker(false, 1, 1_000), || 6), Admission::Queued(_)));
    assert_eq!((slots.in_flight(), slots.admit_next(MS)), (4, None));
    slots.release(None);
    // Past its time to wait it is passed over.
    assert_eq!((slots.admit_next(980 * MS), slots.in_flight(), slots.queued()), (None, 3, 0));
}
