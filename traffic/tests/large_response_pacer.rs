//! Tests of pacing large responses.

use ochreshed_traffic::large_response_pacer::{LINK_UTILIZATION, LargeResponsePacer};

#[test]
fn chunks_are_paced_to_the_configured_share_of_the_bandwidth() {
    // One million bytes per second.
    let mut pacer = LargeResponsePacer::new(8.0 / LINK_UTILIZATION);
    let sent_at: Vec<u64> = (0..3).map(|_| pacer.reserve(5_000, 10_000)).collect();
    assert_eq!(sent_at, [5_000, 10_005_000, 20_005_000]);
    pacer.record_unpaced(10_005_000, 1_000);
    assert_eq!(pacer.queue_delay(10_005_000), 21_000_000);
    // A new response waits for announced responses, including bytes that are not reserved yet.
    pacer.announce_response(50_000);
    pacer.release_pending(10_000);
    assert_eq!(pacer.queue_delay(10_005_000), 61_000_000);
    pacer.release_pending(40_000);
    // When the link has been idle, the next chunk is sent at once.
    assert_eq!(pacer.reserve(90_000_000, 10_000), 90_000_000);
}
