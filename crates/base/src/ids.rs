//! Ids and versions that processes exchange.

use std::{fmt, str::FromStr};

/// Id of a caller's request, unique across all hosts and incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// Id of one send of one subquery to one target. A retry gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u128);

/// Number of a shard within a partition map, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Number of one run of a process. A later start has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Revision of a document or of the whole configuration; never decreases.
///
/// The platform counts changes. When it is restored from an older copy, it begins a new epoch
/// and counts on from the copy, so the epoch stands in the high bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// Low bits of a revision, which hold the platform's count of changes.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

impl Revision {
    /// Returns the revision of change `number` as counted in `epoch`, unless one of them is
    /// out of range.
    pub fn in_epoch(epoch: u64, number: u64) -> Option<Revision> {
        let is_in_range = number <= MAX_NUMBER && epoch <= u64::MAX >> NUMBER_BITS;
        is_in_range.then_some(Revision(epoch << NUMBER_BITS | number))
    }

    /// Returns how often the platform had been restored.
    pub fn epoch(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the platform's count of changes.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }
}

/// Version of the data that a query reads: a partition map and an index version.
///
/// Ordered by map first, then by index. Its text form is `map.index`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Snapshot {
    pub map: u32,
    pub index: u64,
}

/// Error for text that is not an id of the expected kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed id")
    }
}

impl std::error::Error for ParseIdError {}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.map, self.index)
    }
}

impl FromStr for Snapshot {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (map, index) = text.split_once('.').ok_or(ParseIdError)?;
        let map = map.parse().map_err(|_| ParseIdError)?;
        let index = index.parse().map_err(|_| ParseIdError)?;
        Ok(Snapshot { map, index })
    }
}

macro_rules! hex_ids {
    ($($name:ident)*) => {$(
        impl $name {
            /// Returns the high and the low 64 bits, the form that wire formats carry.
            pub fn halves(self) -> (u64, u64) {
                ((self.0 >> 64) as u64, self.0 as u64)
            }

            pub fn from_halves(high: u64, low: u64) -> Self {
                Self((u128::from(high) << 64) | u128::from(low))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let is_hex = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
                if !is_hex {
                    return Err(ParseIdError);
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseIdError)
            }
        }
    )*};
}

macro_rules! decimal_ids {
    ($($name:ident)*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map(Self).map_err(|_| ParseIdError)
            }
        }
    )*};
}

hex_ids! { RequestId AttemptId }
decimal_ids! { ShardId Incarnation Revision }
