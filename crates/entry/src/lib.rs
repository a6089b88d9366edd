//! Callers' and operators' HTTP interfaces: a filter chain for each request,
//! then scatter to owners and gather of parts.
//!
//! It holds no target connections and no membership: both stand behind the
//! traits in [`seams`]. What to do with a request is decided in
//! `policy::request`; this crate carries it out.

mod callers;
mod cx;
mod entropy;
mod filter;
mod http;
mod learn;
mod scatter;
pub mod seams;
mod wire;

pub use crate::{
    callers::callers_rocket,
    cx::{EntryBuilder, EntryCx},
};
