//! What of one text differs from another: the pieces out of which whoever has the old one makes the new one. It owns the
//! cuts, which go by the bytes around them, so that a change moves none but its neighbours. It must never hand out a
//! text that differs from the one that was meant: a digest decides, not the pieces.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Parts are cut where the hash of the last bytes has these bits clear: about every 256 bytes.
const MASK: u64 = 0xFF00_0000_0000_0000;
const LEAST: usize = 64;
const MOST: usize = 2_048;
/// No text is made longer than this.
const MOST_TEXT: usize = 64 << 20;

/// A run of bytes of the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaOp {
    /// As they stand in the old one, from a place on.
    #[serde(rename = "Old")]
    Copy(u32, u32),
    #[serde(rename = "New")]
    Insert(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// A number for each byte that looks drawn by chance.
fn gear(byte: u8) -> u64 {
    let mixed = (u64::from(byte) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}

/// The ends of the parts of a text.
fn cuts(text: &[u8]) -> Vec<usize> {
    let (mut cuts, mut from, mut hash) = (Vec::new(), 0, 0u64);
    for (at, byte) in text.iter().enumerate() {
        hash = (hash << 1).wrapping_add(gear(*byte));
        let long = at + 1 - from;
        if (long >= LEAST && hash & MASK == 0) || long >= MOST {
            cuts.push(at + 1);
            (from, hash) = (at + 1, 0);
        }
    }
    if from < text.len() {
        cuts.push(text.len());
    }
    cuts
}

fn parts(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut from = 0;
    cuts(text).into_iter().map(move |to| {
        let part = (from, text.get(from..to).unwrap_or_default());
        from = to;
        part
    })
}

/// The pieces that make `new` out of `old`.
pub fn between(old: &[u8], new: &[u8]) -> Vec<DeltaOp> {
    let known: HashMap<u64, (usize, &[u8])> =
        parts(old).map(|(at, part)| (xxh3_64(part), (at, part))).collect();
    let mut pieces: Vec<DeltaOp> = Vec::new();
    for (_, part) in parts(new) {
        let found = known.get(&xxh3_64(part)).filter(|(at, old)| *old == part && *at <= u32::MAX as usize);
        match (found, pieces.last_mut()) {
            (Some((at, _)), Some(DeltaOp::Copy(from, long))) if *from as usize + *long as usize == *at => {
                *long += part.len() as u32;
            }
            (Some((at, _)), _) => pieces.push(DeltaOp::Copy(*at as u32, part.len() as u32)),
            (None, Some(DeltaOp::Insert(bytes))) => bytes.extend_from_slice(part),
            (None, _) => pieces.push(DeltaOp::Insert(part.to_vec())),
        }
    }
    pieces
}

/// The text that the pieces make, if it is the one with that digest.
pub fn apply(old: &[u8], pieces: &[DeltaOp], digest: u64) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for piece in pieces {
        let bytes = match piece {
            DeltaOp::Copy(at, long) => old.get(*at as usize..(*at as usize).checked_add(*long as usize)?)?,
            DeltaOp::Insert(bytes) => bytes,
        };
        if new.len() + bytes.len() > MOST_TEXT {
            return None;
        }
        new.extend_from_slice(bytes);
    }
    (xxh3_64(&new) == digest).then_some(new)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn text(routes: std::ops::Range<u32>) -> String {
        routes
            .map(|at| format!(r#"{{"name":"r-{at:x}","prefix":"/p{}/","deadline":500}},"#, at * 7))
            .collect()
    }

    fn size(pieces: &[DeltaOp]) -> usize {
        let of = |piece: &DeltaOp| if let DeltaOp::Insert(bytes) = piece { bytes.len() } else { 8 };
        pieces.iter().map(of).sum()
    }

    #[test]
    fn a_small_change_of_a_large_text_is_a_small_delta() {
        let old = text(0..2_000);
        let new = format!("r8{}{}", text(0..1_000).replacen("500", "700", 1), text(1_001..2_001));
        let pieces = between(old.as_bytes(), new.as_bytes());
        assert_eq!(apply(old.as_bytes(), &pieces, xxh3_64(new.as_bytes())).as_deref(), Some(new.as_bytes()));
        assert!(size(&pieces) < 8_000, "{} of {}", size(&pieces), new.len());
        // Made out of another one it is nothing.
        assert_eq!(apply(text(1..2_000).as_bytes(), &pieces, xxh3_64(new.as_bytes())), None);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn any_text_is_made_out_of_any_other(
            old in prop::collection::vec(0..4u8, 0..4_000),
            new in prop::collection::vec(0..4u8, 0..4_000),
            keep in 0..4_000usize,
        ) {
            let new = [&old[keep.min(old.len())..], &new].concat();
            let pieces = between(&old, &new);
            prop_assert_eq!(apply(&old, &pieces, xxh3_64(&new)), Some(new));
        }
    }
}
