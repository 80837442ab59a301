//! The pace of large responses.

use ochreshed_traffic::large_response_pacer::{LINK_UTILIZATION, LargeResponsePacer};

#[test]
fn pieces_are_sent_one_after_the_other_at_a_part_of_the_bandwidth() {
    // A million bytes a second.
    let mut pacer = LargeResponsePacer::new(8.0 / LINK_UTILIZATION);
    let sent_at: Vec<u64> = (0..3).map(|_| pacer.reserve(5_000, 10_000)).collect();
    assert_eq!(sent_at, [5_000, 10_005_000, 20_005_000]);
    pacer.record_unpaced(10_005_000, 1_000);
    assert_eq!(pacer.queue_delay(10_005_000), 21_000_000);
    // A response that has begun goes first, whether its pieces have been reserved or not.
    pacer.announce_response(50_000);
    pacer.release_pending(10_000);
    assert_eq!(pacer.queue_delay(10_005_000), 61_000_000);
    pacer.release_pending(40_000);
    // After an idle time the next piece goes at once.
    assert_eq!(pacer.reserve(90_000_000, 10_000), 90_000_000);
}
