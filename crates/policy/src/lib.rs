//! Decisions on requests and targets as plain state machines.
//!
//! No I/O, no clock, no randomness of its own: time and seeds are arguments,
//! and what to do comes back as actions. `owner` holds the decisions for a
//! target (queue, limit, connections), `request` those for a caller's request
//! (snapshot, plan, hedges, coverage, tickets).

pub mod message;
pub mod owner;
pub mod request;
