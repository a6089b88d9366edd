//! Merges the parts of an answer: the greatest records over all parts.

/// Size of a record. A shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, greatest first. Equal
/// records are not deduplicated.
pub fn merge_top<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        records.truncate(top);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}
