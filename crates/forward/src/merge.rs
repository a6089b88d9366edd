//! Merging parts: the greatest records over all of them.

/// Bytes of a record; a shorter remainder of a part is none.
pub const RECORD_BYTES: usize = 16;

/// The `top` greatest records of all parts, greatest first. Equal records all
/// count.
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
