//! Names of the headers that callers and targets use.

use http::HeaderName;

/// Header names, set by whoever knows the callers' protocol.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; targets echo it.
    pub request_id: HeaderName,
    /// Time that the sender still waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Signature of a target's answer.
    pub stamp: HeaderName,
    /// The target that a request is meant for.
    pub expected_target: HeaderName,
    /// Running, waiting and slots of a target.
    pub load: HeaderName,
    /// Present if the target did not run the request.
    pub not_run: HeaderName,
    /// Milliseconds that a target is still cold.
    pub cold_ms: HeaderName,
    /// Signatures of the parts that an answer holds.
    pub part_stamps: HeaderName,
    /// Number of shards that an answer lacks.
    pub missing_parts: HeaderName,
}
