//! Extracts typed fields from a mapping and checks their values. Collects a
//! finding for each mistake.

mod checker;

use base::{Finding, Findings, HashSet, Place};

use crate::tree::{Entry, Node, Value};

pub(crate) use self::checker::{Checker, Unique, sorted};

/// Maximum number of unknown fields in a mapping that have a finding each. One
/// more finding counts the rest.
const MAX_UNKNOWN_FIELD_FINDINGS: usize = 20;

/// The value of a field with its place.
#[derive(Clone, Debug)]
pub(crate) struct WithPlace<T> {
    pub(crate) value: T,
    pub(crate) place: Place,
}

/// A field as written. `None` if it is absent, or if its value has the wrong
/// kind and a finding was recorded.
pub(crate) type Field<T> = Option<WithPlace<T>>;

/// Reads the fields of one mapping by key and collects findings.
#[derive(Debug)]
pub(crate) struct Fields {
    place: Place,
    entries: Vec<Entry>,
    known_keys: Vec<&'static str>,
    is_mapping: bool,
    findings: Findings,
}

/// A type that a field's value can have.
pub(crate) trait FromValue: Sized {
    /// Description of valid values, for hints.
    const EXPECTED: &'static str;

    /// Converts `value`, or returns it unchanged if its kind does not match.
    fn from_value(value: Value) -> Result<Self, Value>;
}

impl Fields {
    /// Returns the fields of `node`. If it is not a mapping, there are no fields
    /// and a finding is recorded.
    pub(crate) fn new(node: Node) -> Self {
        let Node { place, value } = node;
        let mut fields = Fields::empty(place);
        match value {
            Value::Mapping(entries) => fields.set_entries(entries),
            other => fields.set_not_mapping(&other),
        }
        fields
    }

    /// Returns the fields of a section that is absent.
    fn empty(place: Place) -> Self {
        let findings = Findings::default();
        Fields { place, entries: Vec::new(), known_keys: Vec::new(), is_mapping: true, findings }
    }

    /// Returns whether the node is a mapping.
    pub(crate) fn is_mapping(&self) -> bool {
        self.is_mapping
    }

    pub(crate) fn place(&self) -> &Place {
        &self.place
    }

    pub(crate) fn required<T: FromValue>(&mut self, key: &'static str) -> Field<T> {
        if self.is_mapping && !self.entries.iter().any(|it| it.key == key) {
            let message = format!("the field `{key}` is missing");
            self.findings.push(
                Finding::new(self.place.clone(), message)
                    .with_hint(format!("add `{key}:` with {}", T::EXPECTED)),
            );
        }
        self.optional(key)
    }

    pub(crate) fn optional<T: FromValue>(&mut self, key: &'static str) -> Field<T> {
        self.known_keys.push(key);
        let i = self.entries.iter().position(|it| it.key == key)?;
        let Entry { node: Node { place, value }, .. } = self.entries.remove(i);
        match T::from_value(value) {
            Ok(value) => Some(WithPlace { value, place }),
            Err(value) => {
                let finding = Finding::new(place, format!("`{key}` is {}", value.kind()));
                self.findings.push(finding.with_hint(format!("use {}", T::EXPECTED)));
                None
            }
        }
    }

    /// Returns the fields of the mapping under `key`, or no fields if it is absent.
    pub(crate) fn section(&mut self, key: &'static str) -> Fields {
        self.known_keys.push(key);
        let Some(i) = self.entries.iter().position(|it| it.key == key) else {
            return Fields::empty(self.place.clone());
        };
        Fields::new(self.entries.remove(i).node)
    }

    /// Records findings on the fields that were not requested, and returns all
    /// findings.
    pub(crate) fn finish(mut self) -> Findings {
        for entry in self.entries.iter().take(MAX_UNKNOWN_FIELD_FINDINGS) {
            self.findings.push(unknown_field(entry, &self.known_keys));
        }
        if let Some(entry) = self.entries.get(MAX_UNKNOWN_FIELD_FINDINGS) {
            let more = self.entries.len() - MAX_UNKNOWN_FIELD_FINDINGS;
            let message = format!("{more} more unknown fields, from `{}` on", entry.key);
            let finding = Finding::new(entry.place.clone(), message);
            self.findings.push(finding.with_hint("check that this is the intended file"));
        }
        self.findings
    }

    fn set_not_mapping(&mut self, value: &Value) {
        self.is_mapping = false;
        let message = format!("expected a mapping of fields, found {}", value.kind());
        let finding = Finding::new(self.place.clone(), message);
        self.findings.push(finding.with_hint("write one `field: value` per line"));
    }

    fn set_entries(&mut self, entries: Vec<Entry>) {
        let mut seen = HashSet::default();
        for entry in entries {
            if !seen.insert(entry.key.clone()) {
                let message = format!("the field `{}` is given twice", entry.key);
                let finding = Finding::new(entry.place, message);
                self.findings.push(finding.with_hint("keep one of the two"));
                continue;
            }
            self.entries.push(entry);
        }
    }
}

impl FromValue for String {
    const EXPECTED: &'static str = "text";

    fn from_value(value: Value) -> Result<Self, Value> {
        match value {
            Value::Text(it) => Ok(it),
            other => Err(other),
        }
    }
}

impl FromValue for u64 {
    const EXPECTED: &'static str = "a whole number, 0 or more";

    fn from_value(value: Value) -> Result<Self, Value> {
        match value {
            Value::Unsigned(it) => Ok(it),
            other => Err(other),
        }
    }
}

impl FromValue for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_value(value: Value) -> Result<Self, Value> {
        match value {
            Value::Float(it) => Ok(it),
            Value::Unsigned(it) => Ok(it as f64),
            Value::Negative(it) => Ok(it as f64),
            other => Err(other),
        }
    }
}

impl FromValue for bool {
    const EXPECTED: &'static str = "`true` or `false`";

    fn from_value(value: Value) -> Result<Self, Value> {
        match value {
            Value::Bool(it) => Ok(it),
            other => Err(other),
        }
    }
}

impl FromValue for Vec<Node> {
    const EXPECTED: &'static str = "a list";

    fn from_value(value: Value) -> Result<Self, Value> {
        match value {
            Value::List(it) => Ok(it),
            other => Err(other),
        }
    }
}

fn unknown_field(entry: &Entry, known: &[&'static str]) -> Finding {
    let message = format!("unknown field `{}`", entry.key);
    let hint = match nearest(&entry.key, known) {
        Some(key) => format!("did you mean `{key}`?"),
        None => format!("known fields: {}", known.join(", ")),
    };
    Finding::new(entry.place.clone(), message).with_hint(hint)
}

/// Returns the known key with the least edit distance to `key`, if that distance
/// is small enough for a typing mistake.
fn nearest(key: &str, known: &[&'static str]) -> Option<&'static str> {
    let limit = (key.chars().count() / 3).max(1);
    let distances = known.iter().map(|it| (edit_distance(key, it), *it));
    distances.filter(|(distance, _)| *distance <= limit).min().map(|(_, it)| it)
}

/// Returns the least number of insertions, deletions and replacements that turn
/// `a` into `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
