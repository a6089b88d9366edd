//! JSON bodies of responses to callers and operators.

mod answer;
mod decision;
mod refusal;
mod state;
mod ticket;

pub(crate) use self::{
    answer::AnswerBody,
    decision::DecisionBody,
    refusal::{RefusalBody, http_status},
    state::{DomainBody, HostBody, ServiceBody, StatusBody, TargetBody, TargetStatusBody},
    ticket::TicketBody,
};
