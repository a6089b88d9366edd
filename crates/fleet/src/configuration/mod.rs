//! Configuration: which documents are in force, and how they arrive.
//!
//! The platform numbers every change with a revision. A node knows up to which
//! revision it is complete; gossip compares that number, and who is behind
//! pulls what lies above its own. So one number repairs whatever was missed,
//! and nothing older than what is held is ever asked for.

mod reader;
mod store;

pub(crate) use self::{
    reader::{Rate, Reader, Request},
    store::Store,
};
