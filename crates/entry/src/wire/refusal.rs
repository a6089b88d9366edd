//! Body and HTTP status of a refused request.

use base::{Reason, RequestId};
use policy::message::Refusal;

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct RefusalBody<'a> {
    request: String,
    status: u16,
    reason: &'static str,
    outcome: &'static str,
    detail: &'a str,
}

impl<'a> RefusalBody<'a> {
    pub(crate) fn new(request: RequestId, refusal: &'a Refusal) -> Self {
        RefusalBody {
            request: request.to_string(),
            status: http_status(refusal.reason),
            reason: refusal.reason.as_str(),
            outcome: refusal.outcome.as_str(),
            detail: &refusal.detail,
        }
    }
}

pub(crate) fn http_status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest | Reason::DeadlineTooShort | Reason::NotIdempotent => 400,
        Reason::UnknownService => 404,
        Reason::TicketUnknown => 409,
        Reason::TicketExpired => 410,
        Reason::TooLarge => 413,
        Reason::TicketMissing => 428,
        Reason::ServiceLimit => 429,
        Reason::Internal => 500,
        Reason::Overloaded
        | Reason::Quarantined
        | Reason::NoSnapshot
        | Reason::CoverageTooLow
        | Reason::TicketTableFull
        | Reason::MinterUnreachable
        | Reason::NotReady
        | Reason::Stopping => 503,
        Reason::DeadlinePassed => 504,
    }
}
