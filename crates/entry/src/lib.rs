//! Callers' and operators' HTTP interfaces: a filter chain for each request,
//! then scatter to owners and gather of parts.
//!
//! It holds no target connections and no membership: both stand behind the
//! traits in [`interfaces`]. What to do with a request is decided in
//! `policy::request`; this crate carries it out.

mod admin;
mod callers;
mod cx;
mod entropy;
mod execute;
mod filter;
mod fingerprint;
mod http;
pub mod interfaces;
mod learn;
mod recent;
mod scatter;
mod wire;

pub use crate::{
    admin::{admin_rocket, is_authorized},
    callers::callers_rocket,
    cx::{EntryBuilder, EntryCx},
    execute::redeem,
    learn::learn_all_pools,
};
