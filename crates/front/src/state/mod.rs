//! What hosts tell each other of the configuration, targets and evacuations,
//! so that a host that cannot reach the source learns them from its peers.
//!
//! A host asks only when it knows that a peer has more: a later version, or
//! word from a source that it has lost itself.

mod learn;
mod serve;
mod wire;

pub(crate) use self::{learn::learn, serve::serve};
