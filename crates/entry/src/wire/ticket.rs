//! Body of a minted ticket.

use policy::{
    message::Ticket,
    request::{TICKET_LIFETIME, ticket_text},
};

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct TicketBody {
    ticket: String,
    expires_in_ms: u64,
}

impl From<&Ticket> for TicketBody {
    fn from(ticket: &Ticket) -> Self {
        TicketBody {
            ticket: ticket_text(ticket),
            expires_in_ms: TICKET_LIFETIME.as_millis() as u64,
        }
    }
}
