//! Requests that one host passes on to another, a sender, which sends them to
//! targets.
//!
//! A request travels as one HTTP message on the address for other hosts, with the
//! caller's own headers and body. Its answer is the caller's answer. A request is
//! passed on to another sender only if the first one certainly did not run it: it
//! could not be reached, or said so. The sender spends the attempts of the request
//! on targets.

mod answer;
mod pass_on;
mod shown;

pub(crate) use self::{
    answer::answer,
    pass_on::{has_responsive_host, pass_on, pass_on_to_helpers},
    shown::{ShownVersion, record_version},
};
