//! Decisions on requests and targets as plain state machines.
//!
//! The state machines do no I/O and have no clock or randomness of their own:
//! time and seeds are arguments, and the work to be done is returned as
//! actions. `owner` decides for a target (queue, limit, connections),
//! `request` for a caller's request (snapshot, plan, hedges, coverage,
//! tickets).

pub mod message;
pub mod owner;
pub mod request;
