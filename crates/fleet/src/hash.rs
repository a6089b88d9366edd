//! Stable hash functions: equal on every host, platform and version, because
//! hosts must rank each other identically without coordination.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a hash of the bytes, passed through [`mix`].
pub(crate) fn bytes(data: &[u8]) -> u64 {
    let hash = data.iter().fold(OFFSET_BASIS, |hash, &b| (hash ^ u64::from(b)).wrapping_mul(PRIME));
    mix(hash)
}

pub(crate) fn combine(a: u64, b: u64) -> u64 {
    mix(a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
