//! The owner of targets: manages the connections, slots and queue of each
//! target that is assigned to this host.
//!
//! [`OwnerCore`] is a state machine: it takes an [`Input`] and the time and
//! returns [`Action`]s. It opens no socket and reads no clock, so a randomised
//! test can drive it through any order of faults. Invariants are asserted
//! where they could break: when a job is sent, when a connection is opened and
//! when a reply is sent.

mod action;
mod connections;
mod health;
mod input;
mod limit;
mod machine;
mod queue;
mod result_check;
mod target;

pub use self::{
    action::{Action, CloseCause, Job, JobBatch, LimitCause, TargetEvent},
    input::{
        AnswerHead, AttemptResult, ConnectionId, ControlResult, Input, LoadReport, NotSent,
        RefusalKind, RequesterId,
    },
    machine::OwnerCore,
    queue::FairQueue,
};
