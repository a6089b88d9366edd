//! The owner of targets: connections, slots and queue of each target that is
//! assigned to this host.
//!
//! [`OwnerCore`] is a state machine: it is handed an [`Input`] with the time
//! and gives back [`Action`]s. It opens no socket and reads no clock, so a
//! randomised run can drive it through any order of faults. What must hold is
//! asserted where it could break: at the send, at the opening of a connection
//! and at the reply.

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
