//! Headers of requests and answers between hosts.

use std::time::Duration;

use base::Time;
use forward::target::SendResult;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Time since the caller's request was received, in microseconds.
const AGE: HeaderName = HeaderName::from_static("relay-age-us");

/// Version of the configuration by which the request was passed on.
const VERSION: HeaderName = HeaderName::from_static("relay-version");

/// What is known of the request's run, in an answer.
const OUTCOME: HeaderName = HeaderName::from_static("relay-outcome");

/// What a host tells the one that it passes a request on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Relay {
    /// Time at which the caller's request was received, on the own clock.
    pub received: Time,
    /// Version of the configuration by which the request was passed on.
    pub version: u64,
}

impl Relay {
    pub(crate) fn write(&self, headers: &mut HeaderMap, now: Time) {
        let age = now.since(self.received).as_micros() as u64;
        headers.insert(AGE, HeaderValue::from(age));
        headers.insert(VERSION, HeaderValue::from(self.version));
    }

    /// Returns what the headers say, or `None` if the request was not passed on.
    pub(crate) fn read(headers: &HeaderMap, now: Time) -> Option<Relay> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let age = Duration::from_micros(number(AGE)?);
        Some(Relay { received: now.ago(age), version: number(VERSION)? })
    }

    pub(crate) fn remove(headers: &mut HeaderMap) {
        headers.remove(AGE);
        headers.remove(VERSION);
    }
}

/// What an answer says of the request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    /// The answer is final.
    Done,
    NotRun,
    MayHaveRun,
}

impl RelayOutcome {
    fn as_str(self) -> &'static str {
        match self {
            RelayOutcome::Done => "done",
            RelayOutcome::NotRun => "not-run",
            RelayOutcome::MayHaveRun => "may-have-run",
        }
    }

    pub(super) fn write(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(self.as_str()));
    }

    /// Returns the stated outcome. An answer that states none proves nothing.
    pub(crate) fn read(headers: &HeaderMap) -> RelayOutcome {
        let stated = headers.get(OUTCOME).map(HeaderValue::as_bytes);
        let all = [RelayOutcome::Done, RelayOutcome::NotRun];
        let known = all.into_iter().find(|it| stated == Some(it.as_str().as_bytes()));
        known.unwrap_or(RelayOutcome::MayHaveRun)
    }

    pub(super) fn remove(headers: &mut HeaderMap) {
        headers.remove(OUTCOME);
    }
}

impl From<RelayOutcome> for SendResult {
    fn from(outcome: RelayOutcome) -> SendResult {
        match outcome {
            RelayOutcome::Done => SendResult::Answered,
            RelayOutcome::NotRun => SendResult::Shed,
            RelayOutcome::MayHaveRun => SendResult::Failed,
        }
    }
}
