//! Parser of the log lines of hosts.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One line of a host's log.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct LogLine {
    pub(super) host: String,
    pub(super) ts: String,
    pub(super) msg: String,
    #[serde(flatten)]
    pub(super) fields: Map<String, Value>,
}

/// Note in a log line on a part of a request that did not go as planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PartNote {
    pub(super) target: Option<String>,
    pub(super) text: String,
}

impl LogLine {
    /// Returns `None` if `text` is not a log line of a host. Text before the JSON is
    /// skipped, because log collectors add such prefixes.
    pub(super) fn parse(text: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        serde_json::from_str(text[start..].trim_end()).ok()
    }

    pub(super) fn has_request_id(&self, request: &str) -> bool {
        self.str_field("id") == Some(request)
    }

    /// Returns the value of `field` if it is a string.
    pub(super) fn str_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub(super) fn u64_field(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns the time by the clock of the host, in a form that can be compared: fractions
    /// of a second have no zeros at their end.
    pub(super) fn time(&self) -> &str {
        self.ts.trim_end_matches('Z')
    }

    /// Parses the field `notes`, which is a sequence of `SERVICE/TARGET text; `.
    /// `TARGET` is `-` if the note is on no single target.
    pub(super) fn part_notes(&self) -> Vec<PartNote> {
        let notes = self.str_field("notes").unwrap_or_default().split(';').map(str::trim);
        notes.filter(|it| !it.is_empty()).map(parse_part_note).collect()
    }

    /// Returns whether a note is on `target`, or the values behind a refusal name it.
    pub(super) fn names_target(&self, target: &str) -> bool {
        let inputs = self.str_field("inputs").unwrap_or_default();
        inputs.split([' ', ';']).any(|it| it == target) || self.has_note_on(target)
    }

    /// Returns whether one of the notes is on `target`.
    pub(super) fn has_note_on(&self, target: &str) -> bool {
        self.part_notes().iter().any(|it| it.target.as_deref() == Some(target))
    }
}

fn parse_part_note(note: &str) -> PartNote {
    let place = note.split(' ').next().unwrap_or_default();
    let target = place.split_once('/').map(|(_, target)| target).filter(|it| *it != "-");
    PartNote { target: target.map(str::to_owned), text: note.to_owned() }
}
