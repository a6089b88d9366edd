//! Decisions on one caller's request, from its snapshot to its answer.
//!
//! [`Query`] is the state machine of a request: parts and wake-ups go in,
//! sends, cancellations and the verdict come out. What requests of one host
//! share (target table, latencies, budgets, quarantine) is [`SharedState`].

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
