//! Policy for callers' requests, from choosing a snapshot to the verdict.
//!
//! [`Query`] is the state machine of one request: its inputs are parts and
//! wake-ups, its outputs are sends, cancellations and the verdict.
//! [`SharedState`] holds what all requests of a host share: target table,
//! latencies, budgets and quarantine.

mod budget;
mod gather;
mod latency;
mod plan;
mod pool_view;
mod quarantine;
mod query;
mod shared;
mod snapshot;
mod table;
mod tickets;

pub use self::{
    budget::Budgets,
    gather::{Attempt, AttemptEnd, Coverage, Gather, PartEffect, SendKind},
    latency::{LatencyHistogram, PoolLoad},
    pool_view::PoolView,
    quarantine::{Admission, Death, Quarantine, SuspectNote, TrialPlan},
    query::{Action, Answer, Query, QueryRequest, Verdict},
    shared::{QueryCx, Routes, SharedState},
    snapshot::{Pin, choose_snapshot, choose_view},
    table::TargetTable,
    tickets::{
        RECORD_LIFETIME, TICKET_LIFETIME, TicketStatus, TicketTable, parse_ticket, ticket_text,
    },
};
