//! Keys by which hosts know each other's messages.
//!
//! A message ends with a MAC over its kind and its bytes. The first key signs and
//! all are accepted, so that a key can be replaced host by host. Without keys,
//! messages carry no MAC and none is checked.
//!
//! A message is not tied to a time: one that was recorded can be sent again.

use std::{fmt, fs, io, path::PathBuf, sync::Arc};

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a truncated MAC, in bytes.
const MAC_BYTES: usize = 16;

/// Shortest key accepted, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// One that signs, and one that is being replaced or introduced.
const MAX_KEYS: usize = 2;

/// Keys shared by all hosts.
#[derive(Clone, Default)]
pub struct PeerKeys {
    keys: Arc<[Box<[u8]>]>,
}

/// What a message is, so that one kind is not taken for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Digest,
    State,
    Feed,
    Quota,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerKeysError {
    #[error("cannot read the key file {path}: {err}")]
    Io { path: PathBuf, err: io::Error },
    #[error("a key has {0} bytes, fewer than {MIN_KEY_BYTES}")]
    TooShort(usize),
    #[error("{0} keys are given, more than {MAX_KEYS}")]
    TooMany(usize),
}

impl PeerKeys {
    /// The first key signs.
    pub fn new(keys: Vec<Vec<u8>>) -> Result<PeerKeys, PeerKeysError> {
        if keys.len() > MAX_KEYS {
            return Err(PeerKeysError::TooMany(keys.len()));
        }
        if let Some(short) = keys.iter().find(|it| it.len() < MIN_KEY_BYTES) {
            return Err(PeerKeysError::TooShort(short.len()));
        }
        Ok(PeerKeys { keys: keys.into_iter().map(Vec::into_boxed_slice).collect() })
    }

    /// Reads one key from each file, without white space around it.
    pub fn read(files: &[PathBuf]) -> Result<PeerKeys, PeerKeysError> {
        let read = |path: &PathBuf| match fs::read(path) {
            Ok(bytes) => Ok(bytes.trim_ascii().to_vec()),
            Err(err) => Err(PeerKeysError::Io { path: path.clone(), err }),
        };
        PeerKeys::new(files.iter().map(read).collect::<Result<_, _>>()?)
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Appends a MAC.
    pub fn sign(&self, kind: MessageKind, message: &mut Vec<u8>) {
        let Some(key) = self.keys.first() else { return };
        let mac = mac(key, kind, message).finalize().into_bytes();
        message.extend_from_slice(&mac[..MAC_BYTES]);
    }

    /// Returns the message without its MAC, `None` if no key made the MAC.
    pub fn verify<'a>(&self, kind: MessageKind, message: &'a [u8]) -> Option<&'a [u8]> {
        if self.is_empty() {
            return Some(message);
        }
        let (message, tag) = message.split_at_checked(message.len().checked_sub(MAC_BYTES)?)?;
        let is_valid = |key: &[u8]| mac(key, kind, message).verify_truncated_left(tag).is_ok();
        self.keys.iter().any(|it| is_valid(it)).then_some(message)
    }
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PeerKeys({})", self.keys.len())
    }
}

fn mac(key: &[u8], kind: MessageKind, message: &[u8]) -> Hmac<Sha256> {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else {
        unreachable!("HMAC takes keys of any length")
    };
    mac.update(&[kind as u8]);
    mac.update(message);
    mac
}
