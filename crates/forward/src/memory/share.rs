//! Kinds of memory, and shares of the budget, which cannot take from each other.

/// Memory that the program takes without any request: code, state of a large fleet's
/// targets and hosts, log.
const OWN_BYTES: usize = 16 * 1024 * 1024;

/// Part of the budget that callers' connections may take, in eighths.
const CONNECTION_EIGHTHS: usize = 2;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Buffer of a caller's connection, which holds the head of a request.
    Heads,
    /// Body that is arriving, with the fields of its head.
    Bodies,
    /// Request that was read completely, until nothing needs it any more.
    Requests,
    /// Answer of a target, until the caller's is made from it.
    TargetAnswers,
    /// Answer that a caller reads.
    Answers,
}

/// Group of kinds that share a part of the budget. Requests have the same as answers, as
/// either alone may fill a host: with targets that hang, or with callers that do not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Share {
    Connections,
    Requests,
    Answers,
}

/// Returns the budget of a host with so much memory.
///
/// A third of what the program leaves is for fragments between reservations, copies while
/// a body grows, and tasks, none of which is reserved.
pub fn budget_bytes(memory: usize) -> usize {
    let left = memory.saturating_sub(OWN_BYTES) / 3 * 2;
    left.max(memory / 4)
}

impl Share {
    pub(super) fn of(self, budget: usize) -> usize {
        let eighths = match self {
            Share::Connections => CONNECTION_EIGHTHS,
            Share::Requests | Share::Answers => (8 - CONNECTION_EIGHTHS) / 2,
        };
        budget / 8 * eighths
    }

    pub(super) fn kinds(self) -> &'static [Kind] {
        match self {
            Share::Connections => &[Kind::Heads],
            Share::Requests => &[Kind::Bodies, Kind::Requests],
            Share::Answers => &[Kind::TargetAnswers, Kind::Answers],
        }
    }
}

impl Kind {
    pub const ALL: [Kind; 5] =
        [Kind::Heads, Kind::Bodies, Kind::Requests, Kind::TargetAnswers, Kind::Answers];

    /// Returns the text for metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Heads => "heads",
            Kind::Bodies => "bodies",
            Kind::Requests => "requests",
            Kind::TargetAnswers => "target answers",
            Kind::Answers => "answers",
        }
    }

    /// Returns whether a client decides how long memory of this kind is held.
    pub(super) fn is_transfer(self) -> bool {
        matches!(self, Kind::Bodies | Kind::Answers)
    }

    pub(super) fn share(self) -> Share {
        match self {
            Kind::Heads => Share::Connections,
            Kind::Bodies | Kind::Requests => Share::Requests,
            Kind::TargetAnswers | Kind::Answers => Share::Answers,
        }
    }
}
