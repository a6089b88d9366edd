//! Configuration: the documents in force, and their distribution.
//!
//! The platform numbers every change with a revision. A node knows the revision
//! up to which it is complete; gossip carries this revision, and a node that is
//! behind pulls the documents above its own. Comparing one number thus repairs
//! any missed update, and no node requests documents older than those it
//! holds.

mod reader;
mod store;

pub use self::reader::IndexEntry;
pub(crate) use self::{
    reader::{Rate, Reader, Request},
    store::Store,
};
