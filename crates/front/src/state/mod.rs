//! Transfer of the configuration, targets and evacuations between hosts, so
//! that a host that cannot reach the source learns them from its peers.
//!
//! A host that follows both feeds at the source asks nobody. Otherwise it asks
//! a peer with a later configuration or, while the targets feed is lost, any
//! peer with a configuration.

mod learn;
mod serve;
mod wire;

pub(crate) use self::{learn::learn, serve::serve};
