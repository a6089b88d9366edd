//! Names of the entities that documents describe. Each kind of name is a
//! distinct type over a shared immutable string, so a clone copies a pointer.

use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    )*};
}

name_types! {
    /// Name of a service: a customer of the tier, described by one document.
    ServiceName;
    /// Name of a customer of the users' platform, who sends requests with keys.
    CustomerName;
    /// Name of a team that owns documents.
    TeamName;
    /// Name of a pool: the targets that together hold one partitioned data set.
    PoolName;
    /// Name of a target: a back end that holds one shard of a pool.
    TargetName;
    /// Name of a host: a machine that runs the daemon.
    HostName;
    /// Name of a failure domain.
    DomainName;
    /// Name of a region: failure domains near each other.
    RegionName;
}

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Returns whether `text` is a valid name: 1 to 63 of `a-z`, `0-9`, `-` and
/// `.`, starting with a letter or digit.
pub fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let Some(&first) = text.as_bytes().first() else { return false };
    text.len() <= MAX_NAME_BYTES
        && (first.is_ascii_lowercase() || first.is_ascii_digit())
        && text.bytes().all(allowed)
}
