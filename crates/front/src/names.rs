//! Names of the headers that callers and targets use.

use http::HeaderName;

/// Header names, set by the program that knows the callers' protocol.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// ID of one attempt of a caller; targets echo it.
    pub request_id: HeaderName,
    /// Time that the sender still waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Signature of a target's answer.
    pub stamp: HeaderName,
    /// Name of the target that a request is addressed to.
    pub expected_target: HeaderName,
    /// Running requests, waiting requests and slots of a target.
    pub load: HeaderName,
    /// Present if the target did not run the request.
    pub not_run: HeaderName,
    /// Remaining warm-up time of a cold target, in milliseconds.
    pub cold_ms: HeaderName,
    /// Present with the value 1 in all answers of a target that leaves.
    pub leaving: HeaderName,
    /// Requests per second that a target takes from all hosts together, while it
    /// states a limit.
    pub request_limit: HeaderName,
    /// Name of the customer that a request's key belongs to, as targets are told.
    pub customer: HeaderName,
    /// Signatures of the parts that an answer was merged from.
    pub part_stamps: HeaderName,
    /// Number of shards missing from an answer.
    pub missing_parts: HeaderName,
}
