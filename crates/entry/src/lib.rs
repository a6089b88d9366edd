//! HTTP interfaces for callers and operators: a filter chain for each request,
//! then scatter to owners and gather of their parts.
//!
//! Target connections and membership are not part of this crate; they are
//! accessed through the traits in [`interfaces`]. `policy::request` decides what
//! to do with a request, and this crate carries it out.

mod admin;
mod callers;
mod cx;
mod entropy;
mod execute;
mod filter;
mod fingerprint;
mod http;
mod in_flight;
pub mod interfaces;
mod learn;
mod lock;
mod recent;
mod rounds;
mod scatter;
mod wire;

pub use crate::{
    admin::{admin_rocket, is_authorized},
    callers::callers_rocket,
    cx::{EntryBuilder, EntryCx},
    execute::redeem,
    learn::learn_all_pools,
};
