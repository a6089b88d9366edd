//! Callers' and operators' HTTP interfaces: a filter chain for each request,
//! then scatter to owners and gather of parts.
//!
//! It holds no target connections and no membership: both stand behind the
//! traits in [`seams`].

pub mod seams;
