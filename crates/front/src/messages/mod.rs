//! What the parts of this crate tell each other of one request: the request as it goes to
//! targets, the events that its query receives, and the headers by which it is passed on
//! to another host.

mod event;
mod identity;
mod note;
mod outgoing;
pub(crate) mod relay;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    event::{Collected, Event, Outcome, TargetAnswer, Waiter},
    identity::Identity,
    note::Note,
    outgoing::{Job, Outgoing},
    relay::{Relay, RelayOutcome},
};
