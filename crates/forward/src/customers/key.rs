//! Digest of a key, and identity of a customer.

use std::{
    fmt,
    hash::{Hash, Hasher},
};

use base::CustomerName;
use rustc_hash::FxHasher;
use sha2::{Digest, Sha256};

/// Identifies a customer where its turns are counted. Two customers of which the hashes are
/// equal would share their turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CustomerKey(u64);

impl From<&CustomerName> for CustomerKey {
    fn from(name: &CustomerName) -> CustomerKey {
        let mut hasher = FxHasher::default();
        name.hash(&mut hasher);
        CustomerKey(hasher.finish())
    }
}

/// SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; KeyDigest::BYTES]);

impl KeyDigest {
    pub const BYTES: usize = 32;

    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    pub fn from_bytes(bytes: [u8; KeyDigest::BYTES]) -> KeyDigest {
        KeyDigest(bytes)
    }

    pub fn as_bytes(&self) -> &[u8; KeyDigest::BYTES] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes no byte of the digest, so that it gets into no log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}
