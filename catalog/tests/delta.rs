//! Tests of delta encoding.

use proptest::prelude::*;

use ochreshed_catalog::delta::{DeltaOp, apply_delta, compute_delta};
use xxhash_rust::xxh3::xxh3_64;

fn text(routes: std::ops::Range<u32>) -> String {
    routes
        .map(|index| format!(r#"{{"name":"r-{index:x}","prefix":"/p{}/","deadline":500}},"#, index * 7))
        .collect()
}

fn delta_size(ops: &[DeltaOp]) -> usize {
    let op_size = |op: &DeltaOp| if let DeltaOp::Insert(bytes) = op { bytes.len() } else { 8 };
    ops.iter().map(op_size).sum()
}

#[test]
fn a_small_change_of_a_large_text_has_a_small_delta() {
    let old = text(0..2_000);
    let new = format!("r8{}{}", text(0..1_000).replacen("500", "700", 1), text(1_001..2_001));
    let ops = compute_delta(old.as_bytes(), new.as_bytes());
    assert_eq!(apply_delta(old.as_bytes(), &ops, xxh3_64(new.as_bytes())).as_deref(), Some(new.as_bytes()));
    assert!(delta_size(&ops) < 8_000, "{} of {}", delta_size(&ops), new.len());
    // Applying the operations to a different text fails.
    assert_eq!(apply_delta(text(1..2_000).as_bytes(), &ops, xxh3_64(new.as_bytes())), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_delta_reproduces_any_text_from_any_other(
        old in prop::collection::vec(0..4u8, 0..4_000),
        new in prop::collection::vec(0..4u8, 0..4_000),
        suffix_start in 0..4_000usize,
    ) {
        let new = [&old[suffix_start.min(old.len())..], &new].concat();
        let ops = compute_delta(&old, &new);
        prop_assert_eq!(apply_delta(&old, &ops, xxh3_64(&new)), Some(new));
    }
}
