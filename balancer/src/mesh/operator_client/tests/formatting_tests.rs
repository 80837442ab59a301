use expect_test::expect;

use crate::mesh::operator_client::formatting::{format_timestamp, percent_encode};

#[test]
fn formats_timestamps_and_query_strings() {
    let times = [0, 951_782_399_000, 1_709_164_800_000, 4_102_444_799_999].map(format_timestamp);
    expect![[r#"
            1970-01-01 00:00:00 UTC
            2000-02-28 23:59:59 UTC
            2024-02-29 00:00:00 UTC
            2099-12-31 23:59:59 UTC"#]]
    .assert_eq(&times.join("\n"));
    assert_eq!(percent_encode("k 5&of=é"), "k%205%26of%3D%C3%A9");
    assert!(!format_timestamp(u64::MAX).is_empty());
}
