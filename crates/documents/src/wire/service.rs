//! The document of a service as written.

use std::ops::RangeInclusive;

use base::Findings;

use crate::{
    model::{Preference, Service},
    reader::{Checker, Field, Fields},
    tree::Node,
    wire::skip_kind,
};

const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_MIN_COVERAGE: f64 = 1.0;
const DEFAULT_MAX_IN_FLIGHT: u32 = 256;
const DEFAULT_MAX_BODY_BYTES: u64 = 65_536;

const MAX_WEIGHT: u64 = 100;
/// Deadlines that an entry host accepts.
const DEADLINE_MS: RangeInclusive<u64> = 5..=60_000;
const MAX_IN_FLIGHT: u64 = 65_536;
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

const PREFERENCES: &[(&str, Preference)] =
    &[("latency", Preference::Latency), ("coverage", Preference::Coverage)];

pub(crate) struct ServiceWire {
    name: Field<String>,
    team: Field<String>,
    pool: Field<String>,
    weight: Field<u64>,
    deadline_ms: Field<u64>,
    min_coverage: Field<f64>,
    prefer: Field<String>,
    max_in_flight: Field<u64>,
    max_body_bytes: Field<u64>,
    non_idempotent: Field<bool>,
    findings: Findings,
}

impl From<Node> for ServiceWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        skip_kind(&mut fields);
        ServiceWire {
            name: fields.required("name"),
            team: fields.required("team"),
            pool: fields.required("pool"),
            weight: fields.optional("weight"),
            deadline_ms: fields.required("deadline-ms"),
            min_coverage: fields.optional("min-coverage"),
            prefer: fields.required("prefer"),
            max_in_flight: fields.optional("max-in-flight"),
            max_body_bytes: fields.optional("max-body-bytes"),
            non_idempotent: fields.optional("non-idempotent"),
            findings: fields.finish(),
        }
    }
}

impl TryFrom<ServiceWire> for Service {
    type Error = Findings;

    fn try_from(wire: ServiceWire) -> Result<Self, Findings> {
        let mut cx = Checker::new(wire.findings);
        let name = cx.name("name", wire.name);
        let team = cx.name("team", wire.team);
        let pool = cx.name("pool", wire.pool);
        let weight = cx.number("weight", wire.weight, 1..=MAX_WEIGHT);
        let deadline = cx.millis("deadline-ms", wire.deadline_ms, DEADLINE_MS);
        let min_coverage = cx.ratio("min-coverage", wire.min_coverage);
        let prefer = cx.choice("prefer", wire.prefer, PREFERENCES);
        let max_in_flight = cx.number("max-in-flight", wire.max_in_flight, 1..=MAX_IN_FLIGHT);
        let max_body_bytes = cx.number("max-body-bytes", wire.max_body_bytes, 1..=MAX_BODY_BYTES);
        let (Some(name), Some(team), Some(pool)) = (name, team, pool) else {
            return Err(cx.into_findings());
        };
        let (Some(deadline), Some(prefer)) = (deadline, prefer) else {
            return Err(cx.into_findings());
        };
        cx.finish(Service {
            name,
            team,
            pool,
            weight: weight.unwrap_or(DEFAULT_WEIGHT),
            deadline,
            min_coverage: min_coverage.unwrap_or(DEFAULT_MIN_COVERAGE),
            prefer,
            max_in_flight: max_in_flight.unwrap_or(DEFAULT_MAX_IN_FLIGHT),
            max_body_bytes: max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
            allows_non_idempotent: wire.non_idempotent.is_some_and(|it| it.value),
        })
    }
}
