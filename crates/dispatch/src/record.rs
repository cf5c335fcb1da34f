//! The merge of shards' records: the greatest of all, compared as bytes.
//!
//! Invariant: equal records all count, and what is shorter than a record is none.

use std::cmp::Reverse;

use bytes::Bytes;

/// The length of a record, in bytes.
pub const RECORD: usize = 16;

/// Returns the `count` greatest records of all parts, the greatest first.
pub fn greatest(parts: &[Bytes], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD)).collect();
    if count < records.len() && count > 0 {
        records.select_nth_unstable_by_key(count - 1, |record| Reverse(*record));
    }
    records.truncate(count);
    records.sort_unstable_by_key(|record| Reverse(*record));
    records.concat()
}
