//! Pure state machines of one host's part in the fleet: who is a member,
//! which host owns which targets, and which configuration is in force.
//!
//! It is not a driver: it opens no socket, reads no clock and draws no random
//! numbers but from the seed it is given. A driver feeds [`Node::handle`] with
//! inputs and carries out the actions it returns. Nothing is written anywhere;
//! a node's state is rebuilt from its peers and the platform.
//!
//! Safety of assignment rests on leases granted by voters (see [`lease`]), not
//! on hosts agreeing about membership.

pub mod assignment;
pub mod configuration;
pub mod lease;
pub mod membership;
pub mod message;
pub mod node;
pub mod settings;

mod hash;

pub use crate::{
    membership::{Member, MemberState},
    message::Message,
    node::{Action, IndexEntry, Input, ListedHost, Node, NotReady},
    settings::{NodeSettings, NodeSettingsBuilder},
};
