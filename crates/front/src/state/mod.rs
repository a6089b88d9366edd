//! Transfer of the configuration, targets and evacuations between hosts, so
//! that a host that reaches neither the source nor a reader learns them from its
//! peers.
//!
//! A host that follows both feeds asks a peer only for a configuration that it is late to
//! get. Otherwise it asks the peer with the newest configuration: at once if that is later
//! than its own, and at intervals while it does not follow the targets feed.

pub(crate) mod customers;
mod learn;
mod serve;
#[cfg(test)]
mod tests;
pub(crate) mod wire;

pub(crate) use self::{learn::learn, serve::answer};

/// What a host asks a peer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    All,
    /// The configuration alone. Hosts of older builds answer with all.
    Configuration,
}

impl Part {
    const fn path(self) -> &'static str {
        match self {
            Part::All => "/",
            Part::Configuration => "/configuration",
        }
    }

    fn of(path: &str) -> Option<Part> {
        [Part::All, Part::Configuration].into_iter().find(|it| it.path() == path)
    }
}
