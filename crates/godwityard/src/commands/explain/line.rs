//! One line of a host's log.

use serde::Deserialize;
use serde_json::{Map, Value};

#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct LogLine {
    pub(super) host: String,
    pub(super) ts: String,
    pub(super) msg: String,
    #[serde(flatten)]
    pub(super) fields: Map<String, Value>,
}

/// A part of a request that went otherwise than planned, as the log notes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct NotedPart {
    pub(super) target: Option<String>,
    pub(super) text: String,
}

impl LogLine {
    /// `None` for what is no line of a host. Text before the JSON, as collectors
    /// of logs add it, is passed over.
    pub(super) fn parse(text: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        serde_json::from_str(text[start..].trim_end()).ok()
    }

    pub(super) fn is_about(&self, request: &str) -> bool {
        self.text("id") == Some(request)
    }

    pub(super) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Notes are written as `SHARD/TARGET what happened; `.
    pub(super) fn noted_parts(&self) -> Vec<NotedPart> {
        let notes = self.text("notes").unwrap_or_default().split(';').map(str::trim);
        notes.filter(|it| !it.is_empty()).map(noted_part).collect()
    }

    /// Whether one of the notes names `target`.
    pub(super) fn names(&self, target: &str) -> bool {
        self.noted_parts().iter().any(|it| it.target.as_deref() == Some(target))
    }
}

fn noted_part(note: &str) -> NotedPart {
    let place = note.split(' ').next().unwrap_or_default();
    let target = place.split_once('/').map(|(_, target)| target).filter(|it| *it != "-");
    NotedPart { target: target.map(str::to_owned), text: note.to_owned() }
}
