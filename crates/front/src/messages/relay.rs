//! Headers of requests and answers between hosts, which may be of other builds.
//!
//! Hosts of all builds read and remove the age, the version, the transit and the time taken.
//! Every other header is also named in `Connection`, as belonging to this one hop: a host that
//! doesn't know it removes it, so that neither targets nor callers see it.

use std::{str::FromStr, time::Duration};

use base::Time;
use base64::{Engine, engine::general_purpose::STANDARD};
use forward::customers::KeyDigest;
use forward::target::SendResult;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use slog::{Logger, debug};
use telemetry::FrontMetrics;

use crate::format::{FORMAT as OWN_FORMAT, FormatError, check_format};

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

/// Targets whose answers to the request say that they leave, in an answer.
const LEAVING: HeaderName = HeaderName::from_static("relay-leaving");

/// Format of the request, none from a host of an older build.
const FORMAT: HeaderName = HeaderName::from_static("relay-format");

/// SHA-256 of the key by which the request is its customer's, in base64.
const KEY: HeaderName = HeaderName::from_static("relay-key");

/// Name of the customer, for the other host's log.
const CUSTOMER: HeaderName = HeaderName::from_static("relay-customer");

/// Headers that this build knows.
const KNOWN: [HeaderName; 9] =
    [AGE, VERSION, TRANSIT, TOOK, OUTCOME, FORMAT, LEAVING, KEY, CUSTOMER];

/// Format of requests with a key. A host of a build that knows no keys would serve such a
/// request without a check; as it doesn't know the format, it refuses it.
pub(super) const KEYED_FORMAT: u32 = 2;

/// How the names of all headers between hosts begin.
const PREFIX: &str = "relay-";

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
    /// Digest of the key by which the request is its customer's.
    pub key: Option<KeyDigest>,
}

impl Relay {
    pub(crate) fn write(&self, headers: &mut HeaderMap, now: Time) {
        let age = now.since(self.received).as_micros() as u64;
        headers.insert(AGE, HeaderValue::from(age));
        headers.insert(TRANSIT, HeaderValue::from(self.transit.as_micros() as u64));
        headers.insert(VERSION, HeaderValue::from(self.version));
        match self.key {
            Some(key) => {
                insert_for_hop(headers, FORMAT, HeaderValue::from(KEYED_FORMAT));
                write_key(headers, key);
            }
            None => insert_for_hop(headers, FORMAT, HeaderValue::from(OWN_FORMAT)),
        }
    }

    /// Returns what the headers say, or `None` if the request was not passed on.
    pub(crate) fn read(headers: &HeaderMap, now: Time) -> Option<Result<Relay, FormatError>> {
        let is_relayed = [AGE, VERSION].iter().any(|it| headers.contains_key(it));
        is_relayed.then(|| Relay::decode(headers, now))
    }

    fn decode(headers: &HeaderMap, now: Time) -> Result<Relay, FormatError> {
        let format =
            if is_for_hop(headers, &FORMAT) { number(headers, FORMAT)? } else { OWN_FORMAT };
        check_format(format, KEYED_FORMAT)?;
        let key = if format >= KEYED_FORMAT { Some(key(headers)?) } else { None };
        let age = Duration::from_micros(number(headers, AGE)?);
        let is_transit_stated = headers.contains_key(TRANSIT);
        let transit_us = if is_transit_stated { number(headers, TRANSIT)? } else { 0 };
        let transit = Duration::from_micros(transit_us);
        Ok(Relay { received: now.ago(age), version: number(headers, VERSION)?, transit, key })
    }

    pub(crate) fn remove(headers: &mut HeaderMap) {
        headers.remove(AGE);
        headers.remove(VERSION);
        headers.remove(TRANSIT);
    }
}

/// Adds the digest of the request's key.
fn write_key(headers: &mut HeaderMap, key: KeyDigest) {
    let encoded = HeaderValue::try_from(STANDARD.encode(key.as_bytes()));
    // Base64 is always a header value.
    if let Ok(mut value) = encoded {
        value.set_sensitive(true);
        insert_for_hop(headers, KEY, value);
    }
}

/// Returns the digest of the request's key.
fn key(headers: &HeaderMap) -> Result<KeyDigest, FormatError> {
    let value = headers.get(KEY).filter(|_| is_for_hop(headers, &KEY));
    let bytes = value.and_then(|it| STANDARD.decode(it.as_bytes()).ok()?.try_into().ok());
    bytes.map(KeyDigest::from_bytes).ok_or(FormatError::Header(KEY))
}

/// Adds the name of the request's customer.
pub(crate) fn write_customer(headers: &mut HeaderMap, name: HeaderValue) {
    insert_for_hop(headers, CUSTOMER, name);
}

/// Returns the name of the request's customer as the other host states it.
pub(crate) fn customer(headers: &HeaderMap) -> Option<&str> {
    headers.get(CUSTOMER).filter(|_| is_for_hop(headers, &CUSTOMER))?.to_str().ok()
}

/// States in an answer that its sender reads requests with keys.
pub(crate) fn write_reads_keys(headers: &mut HeaderMap) {
    insert_for_hop(headers, FORMAT, HeaderValue::from(KEYED_FORMAT));
}

/// Returns whether an answer states that its sender reads requests with keys.
pub(crate) fn reads_keys(headers: &HeaderMap) -> bool {
    is_for_hop(headers, &FORMAT) && number(headers, FORMAT).is_ok_and(|it: u32| it >= KEYED_FORMAT)
}

fn number<T: FromStr>(headers: &HeaderMap, name: HeaderName) -> Result<T, FormatError> {
    let value = headers.get(&name).and_then(|it| it.to_str().ok()?.parse().ok());
    value.ok_or(FormatError::Header(name))
}

/// Adds a header that belongs to this hop only.
fn insert_for_hop(headers: &mut HeaderMap, name: HeaderName, value: HeaderValue) {
    headers.append(header::CONNECTION, HeaderValue::from(name.clone()));
    headers.insert(name, value);
}

/// Returns the names of the headers that belong to this hop only.
fn names_for_hop(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).map(str::trim)
}

/// Returns whether a header comes from the other host, not from a caller through a host that
/// doesn't know it.
fn is_for_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    names_for_hop(headers).any(|it| it.eq_ignore_ascii_case(name.as_str()))
}

/// Returns the headers of another host that this build doesn't know.
pub(super) fn unknown_names(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    names_for_hop(headers)
        .filter(|it| it.starts_with(PREFIX) && KNOWN.iter().all(|known| known != it))
}

/// Counts headers of another host that this build doesn't know. They go no further.
pub(crate) fn count_skipped(
    metrics: &FrontMetrics,
    log: &Logger,
    message: &'static str,
    headers: &HeaderMap,
) {
    for name in unknown_names(headers) {
        metrics.record_skipped_field(message);
        debug!(log, "relay: skipped a header"; "message" => message, "header" => name);
    }
}

/// Adds the version by which the sender handled the request to its answer.
pub(crate) fn write_version(headers: &mut HeaderMap, version: u64) {
    insert_for_hop(headers, VERSION, HeaderValue::from(version));
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

/// Adds the targets that said that they leave to the sender's answer.
pub(crate) fn write_leaving(headers: &mut HeaderMap, leaving: HeaderValue) {
    insert_for_hop(headers, LEAVING, leaving);
}

/// Removes and returns the targets that said that they leave.
pub(crate) fn take_leaving(headers: &mut HeaderMap) -> Option<HeaderValue> {
    headers.remove(LEAVING)
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
