//! Limits on the requests of customers over all hosts.
//!
//! Load pattern answered: a customer whose limit is far below one request a second and host,
//! which sends several times its usual rate for a while, to one host or to all. Equal shares
//! of the limit would reject most of what a customer may send, as its requests are not
//! spread evenly. Each customer has a ledger instead, one of the hosts, which grants tokens.
//!
//! Hosts start, stop, freeze and are separated, so two hosts may be the ledger of one
//! customer for a while. What they grant together is bounded by [`Terms`], which divides the
//! tolerated excess among the causes of it.

mod allowance;
mod arrivals;
mod fleet;
mod ledger;
mod message;
mod pocket;
mod terms;

pub use self::{
    allowance::{ASK_TIMEOUT, Allowance, Denied, Take},
    fleet::{Fleet, Running, Standing},
    ledger::Ledger,
    message::{Answer, Ask, Nonce, QuotaMessage, Reply, Return},
    pocket::{Source, Token},
    terms::Terms,
};
