//! Connections from callers and the requests on them: timeouts and graceful shutdown.

mod connection;
mod head;
mod identity;
mod read;
mod request;
mod stop;
mod table;

pub(crate) use self::{
    connection::spawn,
    read::discard,
    request::{Origin, respond},
    stop::drain,
    table::Connections,
};

/// Limit on the fields in a request's head, beside the configured limit on its bytes.
pub(crate) const MAX_HEADER_FIELDS: usize = 1_000;
