//! Headers of requests and answers between hosts.

use std::time::Duration;

use base::Time;
use forward::target::SendResult;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Time since the caller's request was received, in microseconds.
const AGE: HeaderName = HeaderName::from_static("relay-age-us");

/// Version of the configuration by which the request was passed on, or handled in an answer.
const VERSION: HeaderName = HeaderName::from_static("relay-version");

/// Time that the request and its answer are expected to spend on the way, in
/// microseconds.
const TRANSIT: HeaderName = HeaderName::from_static("relay-transit-us");

/// Time that the sender took, in microseconds, in an answer.
const TOOK: HeaderName = HeaderName::from_static("relay-took-us");

/// What is known of the request's run, in an answer.
const OUTCOME: HeaderName = HeaderName::from_static("relay-outcome");

/// What a host tells the one that it passes a request on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Relay {
    /// Time at which the caller's request was received, on the own clock.
    pub received: Time,
    /// Version of the configuration by which the request was passed on.
    pub version: u64,
    /// Time that the request and its answer are expected to spend on the way. The
    /// answer has to be ready by so much earlier.
    pub transit: Duration,
}

impl Relay {
    pub(crate) fn write(&self, headers: &mut HeaderMap, now: Time) {
        let age = now.since(self.received).as_micros() as u64;
        headers.insert(AGE, HeaderValue::from(age));
        headers.insert(TRANSIT, HeaderValue::from(self.transit.as_micros() as u64));
        headers.insert(VERSION, HeaderValue::from(self.version));
    }

    /// Returns what the headers say, or `None` if the request was not passed on.
    pub(crate) fn read(headers: &HeaderMap, now: Time) -> Option<Relay> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let age = Duration::from_micros(number(AGE)?);
        let transit = Duration::from_micros(number(TRANSIT).unwrap_or(0));
        Some(Relay { received: now.ago(age), version: number(VERSION)?, transit })
    }

    pub(crate) fn remove(headers: &mut HeaderMap) {
        headers.remove(AGE);
        headers.remove(VERSION);
        headers.remove(TRANSIT);
    }
}

/// Adds the version by which the sender handled the request to its answer. Hosts of older
/// builds let this field pass to the caller.
pub(crate) fn write_version(headers: &mut HeaderMap, version: u64) {
    headers.insert(VERSION, HeaderValue::from(version));
}

/// Removes and returns the version by which the sender handled the request, if it says so.
pub(crate) fn take_version(headers: &mut HeaderMap) -> Option<u64> {
    headers.remove(VERSION)?.to_str().ok()?.parse().ok()
}

/// Adds the time that the sender took to its answer.
pub(crate) fn write_took(headers: &mut HeaderMap, took: Duration) {
    headers.insert(TOOK, HeaderValue::from(took.as_micros() as u64));
}

/// Removes and returns the time that the sender took.
pub(crate) fn take_took(headers: &mut HeaderMap) -> Option<Duration> {
    let us = headers.remove(TOOK)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(us))
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

    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(self.as_str()));
    }

    /// Returns the stated outcome, or `None` if the answer states none: it is then no
    /// answer of a sender.
    pub(crate) fn read(headers: &HeaderMap) -> Option<RelayOutcome> {
        let stated = headers.get(OUTCOME)?.as_bytes();
        let all = [RelayOutcome::Done, RelayOutcome::NotRun, RelayOutcome::MayHaveRun];
        all.into_iter().find(|it| stated == it.as_str().as_bytes())
    }

    pub(crate) fn remove(headers: &mut HeaderMap) {
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
