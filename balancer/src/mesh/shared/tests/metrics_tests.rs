//! Tests of the text format of a metrics page.

use http_body_util::BodyExt;

use super::{CONTENT_TYPE, MetricsPage};

#[tokio::test]
async fn metrics_are_prefixed_by_role_and_carry_their_help() {
    let page = MetricsPage::for_role("steward")
        .gauge("epoch", "Number of the membership", 3.0)
        .counter("disk_writes", "Syncs of the disk", 7)
        .into_response();
    assert_eq!(page.headers()["content-type"], CONTENT_TYPE);
    let text = page.into_body().collect().await.expect("a body").to_bytes();
    let text = std::str::from_utf8(&text).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "# HELP ochreshed_steward_epoch Number of the membership.",
            "# TYPE ochreshed_steward_epoch gauge",
            "ochreshed_steward_epoch 3.0",
            "# HELP ochreshed_steward_disk_writes Syncs of the disk.",
            "# TYPE ochreshed_steward_disk_writes counter",
            "ochreshed_steward_disk_writes_total 7",
            "# EOF",
        ]
    );
}
