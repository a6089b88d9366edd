//! Messages about tokens between hosts.

use std::time::Duration;

use base::CustomerName;

/// Identifies a request for tokens among those of all hosts.
pub type Nonce = u64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaMessage {
    Ask(Ask),
    Reply(Reply),
    Return(Return),
}

/// Asks the ledger for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    pub nonce: Nonce,
    pub customer: CustomerName,
    /// Tokens for requests that wait for the reply.
    pub needed: u32,
    /// Tokens that are expected to be used within the life of a grant, with `needed`.
    pub wanted: u32,
    /// Whether the first host in the order of ledgers declined.
    pub is_declined: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub nonce: Nonce,
    pub customer: CustomerName,
    pub answer: Answer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Granted {
        tokens: u32,
        /// Time until the next token, if fewer were granted than needed.
        wait: Option<Duration>,
    },
    /// The host started too short a time ago to know that no other one grants tokens, or it
    /// doesn't know the customer.
    Declined,
}

/// Returns tokens that were not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Return {
    /// Request by which the tokens were granted.
    pub nonce: Nonce,
    pub customer: CustomerName,
    pub tokens: u32,
}
