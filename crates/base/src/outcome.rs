//! Outcome of a request or of one attempt, and the reason why a request was
//! refused or a shard left out. These values are passed unchanged from a target
//! to the caller.

use std::{fmt, str::FromStr};

use crate::ids::ParseIdError;

/// Whether work ran. Only moves forward: `NotRun` < `MayHaveRun` < `Done`.
///
/// `NotRun` is a guarantee: no byte was written to a connection, or the target
/// or its owner reported that the work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    NotRun,
    MayHaveRun,
    Done,
}

/// Reason why a request was refused or failed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    BadRequest,
    UnknownService,
    TooLarge,
    DeadlineTooShort,
    DeadlinePassed,
    ServiceLimit,
    Overloaded,
    Quarantined,
    NoSnapshot,
    CoverageTooLow,
    TicketMissing,
    TicketUnknown,
    TicketExpired,
    TicketTableFull,
    MinterUnreachable,
    NotReady,
    Stopping,
    NotIdempotent,
    Internal,
}

/// Reason why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Missing {
    NoTarget,
    DomainOut,
    TargetLeaving,
    OwnerUnreachable,
    Refused,
    Shed,
    Deadline,
    ConnectionLost,
    WrongId,
    WrongSnapshot,
    Truncated,
    TargetError,
    Cancelled,
    Quarantined,
}

macro_rules! string_enum {
    ($name:ident { $($variant:ident = $text:literal,)* }) => {
        impl $name {
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Returns the stable text used in bodies, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self { $($name::$variant => $text,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                match text { $($text => Ok($name::$variant),)* _ => Err(ParseIdError) }
            }
        }
    };
}

string_enum!(Outcome {
    NotRun = "not_run",
    MayHaveRun = "may_have_run",
    Done = "done",
});

string_enum!(Reason {
    BadRequest = "bad_request",
    UnknownService = "unknown_service",
    TooLarge = "too_large",
    DeadlineTooShort = "deadline_too_short",
    DeadlinePassed = "deadline_passed",
    ServiceLimit = "service_limit",
    Overloaded = "overloaded",
    Quarantined = "quarantined",
    NoSnapshot = "no_snapshot",
    CoverageTooLow = "coverage_too_low",
    TicketMissing = "ticket_missing",
    TicketUnknown = "ticket_unknown",
    TicketExpired = "ticket_expired",
    TicketTableFull = "ticket_table_full",
    MinterUnreachable = "minter_unreachable",
    NotReady = "not_ready",
    Stopping = "stopping",
    NotIdempotent = "not_idempotent",
    Internal = "internal",
});

string_enum!(Missing {
    NoTarget = "no_target",
    DomainOut = "domain_out",
    TargetLeaving = "target_leaving",
    OwnerUnreachable = "owner_unreachable",
    Refused = "refused",
    Shed = "shed",
    Deadline = "deadline",
    ConnectionLost = "connection_lost",
    WrongId = "wrong_id",
    WrongSnapshot = "wrong_snapshot",
    Truncated = "truncated",
    TargetError = "target_error",
    Cancelled = "cancelled",
    Quarantined = "quarantined",
});
