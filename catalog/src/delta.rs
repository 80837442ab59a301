//! Delta encoding: the operations that produce a new text from an old one.
//!
//! Both texts are split by content-defined chunking, so that a change moves only nearby chunk boundaries.
//! [`compute_delta`] finds the chunks of the new text in the old one, and [`apply_delta`] assembles the new text.
//!
//! Invariants: [`apply_delta`] returns only a text with the expected digest.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A chunk ends where these bits of the rolling hash are 0, on average every 256 bytes.
const BOUNDARY_MASK: u64 = 0xFF00_0000_0000_0000;
const MIN_CHUNK_BYTES: usize = 64;
const MAX_CHUNK_BYTES: usize = 2_048;
/// The maximum size of a text that [`apply_delta`] produces.
const MAX_TEXT_BYTES: usize = 64 << 20;

/// An operation that produces the next bytes of the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaOp {
    /// Copies bytes of the old text.
    #[serde(rename = "Old")]
    Copy(ByteRange),
    /// Inserts bytes that are not in the old text.
    #[serde(rename = "New")]
    Insert(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// A range of bytes in the old text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct ByteRange {
    /// The position of the first byte.
    pub offset: u32,
    /// The number of bytes.
    pub length: u32,
}

impl From<(u32, u32)> for ByteRange {
    fn from((offset, length): (u32, u32)) -> ByteRange {
        ByteRange { offset, length }
    }
}

impl From<ByteRange> for (u32, u32) {
    fn from(range: ByteRange) -> (u32, u32) {
        (range.offset, range.length)
    }
}

impl ByteRange {
    /// The bytes of this range in a text; `None` if the text is too short.
    fn slice(self, text: &[u8]) -> Option<&[u8]> {
        let start = self.offset as usize;
        text.get(start..start.checked_add(self.length as usize)?)
    }
}

/// Adds a byte to a gear rolling hash, which depends on the last 64 bytes.
fn roll(hash: u64, byte: u8) -> u64 {
    let mixed = (u64::from(byte) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let gear = (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (hash << 1).wrapping_add(gear)
}

/// The end offsets of the chunks of a text.
fn chunk_ends(text: &[u8]) -> Vec<usize> {
    let mut ends = Vec::new();
    let mut start = 0;
    let mut hash = 0;
    for (index, byte) in text.iter().enumerate() {
        hash = roll(hash, *byte);
        let end = index + 1;
        let length = end - start;
        let is_boundary = length >= MIN_CHUNK_BYTES && hash & BOUNDARY_MASK == 0;
        if is_boundary || length >= MAX_CHUNK_BYTES {
            ends.push(end);
            start = end;
            hash = 0;
        }
    }
    if start < text.len() {
        ends.push(text.len());
    }
    ends
}

/// A chunk of a text with its offset.
struct Chunk<'t> {
    offset: usize,
    bytes: &'t [u8],
}

fn chunks(text: &[u8]) -> impl Iterator<Item = Chunk<'_>> {
    let mut offset = 0;
    chunk_ends(text).into_iter().map(move |end| {
        let chunk = Chunk { offset, bytes: text.get(offset..end).unwrap_or_default() };
        offset = end;
        chunk
    })
}

/// Computes the operations that produce `new` from `old`.
pub fn compute_delta(old: &[u8], new: &[u8]) -> Vec<DeltaOp> {
    let old_chunks: HashMap<u64, Chunk> = chunks(old).map(|chunk| (xxh3_64(chunk.bytes), chunk)).collect();
    let mut ops: Vec<DeltaOp> = Vec::new();
    for chunk in chunks(new) {
        // Chunks with equal hashes are compared, since hashes can collide; the offset must fit into a range.
        let offset = old_chunks
            .get(&xxh3_64(chunk.bytes))
            .filter(|candidate| candidate.bytes == chunk.bytes)
            .and_then(|candidate| u32::try_from(candidate.offset).ok());
        match offset {
            Some(offset) => push_copy(&mut ops, ByteRange { offset, length: chunk.bytes.len() as u32 }),
            None => push_insert(&mut ops, chunk.bytes),
        }
    }
    ops
}

/// Adds a copy, merged with the previous one if they are adjacent.
fn push_copy(ops: &mut Vec<DeltaOp>, range: ByteRange) {
    if let Some(DeltaOp::Copy(last)) = ops.last_mut()
        && last.offset as usize + last.length as usize == range.offset as usize
    {
        last.length += range.length;
    } else {
        ops.push(DeltaOp::Copy(range));
    }
}

/// Adds an insertion, merged with a directly preceding one.
fn push_insert(ops: &mut Vec<DeltaOp>, bytes: &[u8]) {
    if let Some(DeltaOp::Insert(last)) = ops.last_mut() {
        last.extend_from_slice(bytes);
    } else {
        ops.push(DeltaOp::Insert(bytes.to_vec()));
    }
}

/// Applies the operations to `old`. Returns `None` if an operation is out of range, or if the new text is longer than
/// 64 MiB or does not match the digest.
#[must_use]
pub fn apply_delta(old: &[u8], ops: &[DeltaOp], digest: u64) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for op in ops {
        let bytes = match op {
            DeltaOp::Copy(range) => range.slice(old)?,
            DeltaOp::Insert(bytes) => bytes,
        };
        if new.len() + bytes.len() > MAX_TEXT_BYTES {
            return None;
        }
        new.extend_from_slice(bytes);
    }
    (xxh3_64(&new) == digest).then_some(new)
}
