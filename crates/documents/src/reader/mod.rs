//! Takes typed fields out of a mapping and checks their values, collecting a
//! finding for each mistake.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use base::{Finding, Findings, Place, name};

use crate::tree::{Entry, Node, Value};

/// A field as written, with its place.
#[derive(Clone, Debug)]
pub(crate) struct At<T> {
    pub(crate) value: T,
    pub(crate) place: Place,
}

/// A field that may be absent or unusable; in the second case a finding tells.
pub(crate) type Field<T> = Option<At<T>>;

/// The fields of one mapping, taken by name.
#[derive(Debug)]
pub(crate) struct Fields {
    place: Place,
    entries: Vec<Entry>,
    asked: Vec<&'static str>,
    is_mapping: bool,
    findings: Findings,
}

/// A type that a field may be written as.
pub(crate) trait FromValue: Sized {
    const EXPECTED: &'static str;

    fn from_value(value: Value) -> Result<Self, Value>;
}

impl Fields {
    /// Fields of `node`; none, and a finding, if that is not a mapping.
    pub(crate) fn new(node: Node) -> Self {
        let Node { place, value } = node;
        let mut fields = Fields::empty(place);
        match value {
            Value::Mapping(entries) => fields.set_entries(entries),
            other => fields.set_not_mapping(&other),
        }
        fields
    }

    /// Fields of a section that was not written.
    fn empty(place: Place) -> Self {
        let findings = Findings::default();
        Fields { place, entries: Vec::new(), asked: Vec::new(), is_mapping: true, findings }
    }

    /// Whether the node was a mapping at all.
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
        self.asked.push(key);
        let i = self.entries.iter().position(|it| it.key == key)?;
        let Entry { node: Node { place, value }, .. } = self.entries.remove(i);
        match T::from_value(value) {
            Ok(value) => Some(At { value, place }),
            Err(value) => {
                let finding = Finding::new(place, format!("`{key}` is {}", value.kind()));
                self.findings.push(finding.with_hint(format!("use {}", T::EXPECTED)));
                None
            }
        }
    }

    /// Fields of the mapping under `key`; none if that is absent.
    pub(crate) fn section(&mut self, key: &'static str) -> Fields {
        self.asked.push(key);
        let Some(i) = self.entries.iter().position(|it| it.key == key) else {
            return Fields::empty(self.place.clone());
        };
        Fields::new(self.entries.remove(i).node)
    }

    /// Reports the fields that nothing asked for and ends the reading.
    pub(crate) fn finish(mut self) -> Findings {
        for entry in &self.entries {
            let message = format!("unknown field `{}`", entry.key);
            let hint = match nearest(&entry.key, &self.asked) {
                Some(key) => format!("did you mean `{key}`?"),
                None => format!("known fields: {}", self.asked.join(", ")),
            };
            self.findings.push(Finding::new(entry.place.clone(), message).with_hint(hint));
        }
        self.findings
    }

    fn set_not_mapping(&mut self, value: &Value) {
        self.is_mapping = false;
        let message = format!("expected a mapping of fields, found {}", value.kind());
        let finding = Finding::new(self.place.clone(), message);
        self.findings.push(finding.with_hint("write one `field: value` a line"));
    }

    fn set_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.entries.iter().any(|it| it.key == entry.key) {
                let message = format!("the field `{}` is given twice", entry.key);
                let finding = Finding::new(entry.place, message);
                self.findings.push(finding.with_hint("keep one of the two"));
                continue;
            }
            self.entries.push(entry);
        }
    }
}

/// Turns what was written into model values; each method returns none after
/// it has pushed a finding, or if the field was absent.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) findings: Findings,
}

impl Checker {
    pub(crate) fn new(findings: Findings) -> Self {
        Checker { findings }
    }

    pub(crate) fn into_findings(self) -> Findings {
        sorted(self.findings)
    }

    /// `value` if nothing was found.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, Findings> {
        self.findings.into_result(value)
    }

    pub(crate) fn push(&mut self, place: &Place, message: String, hint: &str) {
        self.findings.push(Finding::new(place.clone(), message).with_hint(hint));
    }

    pub(crate) fn name<T: From<String>>(&mut self, key: &str, field: Field<String>) -> Option<T> {
        let At { value, place } = field?;
        if !name::is_valid(&value) {
            let message = format!("`{key}` is not a valid name: {value:?}");
            let hint = "use 1 to 63 of a-z, 0-9, `-` and `.`, starting with a letter or digit";
            self.push(&place, message, hint);
            return None;
        }
        Some(T::from(value))
    }

    /// One item of the list under `key`.
    pub(crate) fn item<T: FromValue>(&mut self, key: &str, node: Node) -> Field<T> {
        let Node { place, value } = node;
        match T::from_value(value) {
            Ok(value) => Some(At { value, place }),
            Err(value) => {
                let message = format!("an item of `{key}` is {}", value.kind());
                self.push(&place, message, &format!("use {}", T::EXPECTED));
                None
            }
        }
    }

    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &str,
        field: Field<String>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let At { value, place } = field?;
        let found = choices.iter().find(|(text, _)| *text == value);
        if found.is_none() {
            let texts: Vec<_> = choices.iter().map(|(text, _)| *text).collect();
            let message = format!("`{key}` cannot be {value:?}");
            self.push(&place, message, &format!("use one of: {}", texts.join(", ")));
        }
        found.map(|(_, choice)| *choice)
    }

    pub(crate) fn number<T: TryFrom<u64>>(
        &mut self,
        key: &str,
        field: Field<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<T> {
        let At { value, place } = field?;
        let converted = T::try_from(value).ok();
        let (least, most) = range.clone().into_inner();
        if !range.contains(&value) || converted.is_none() {
            let message = format!("`{key}` is {value}, out of range");
            self.push(&place, message, &format!("use {least} to {most}"));
            return None;
        }
        converted
    }

    pub(crate) fn millis(
        &mut self,
        key: &str,
        field: Field<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.number(key, field, range).map(Duration::from_millis)
    }

    pub(crate) fn ratio(&mut self, key: &str, field: Field<f64>) -> Option<f64> {
        let At { value, place } = field?;
        if !(0.0..=1.0).contains(&value) {
            self.push(&place, format!("`{key}` is {value}, out of range"), "use 0.0 to 1.0");
            return None;
        }
        Some(value)
    }

    pub(crate) fn address(&mut self, key: &str, field: Field<String>) -> Option<SocketAddr> {
        let At { value, place } = field?;
        let address = value.parse().ok().filter(|it: &SocketAddr| it.port() != 0);
        if address.is_none() {
            let message = format!("`{key}` is not an address: {value:?}");
            self.push(&place, message, "use IP:PORT, such as \"127.0.0.1:9001\"");
        }
        address
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

/// The findings in order of place.
pub(crate) fn sorted(findings: Findings) -> Findings {
    findings.into_result(Findings::default()).unwrap_or_else(|it| it)
}

/// The known key that `key` was most likely meant to be.
fn nearest(key: &str, known: &[&'static str]) -> Option<&'static str> {
    let limit = (key.chars().count() / 3).max(1);
    let distances = known.iter().map(|it| (edit_distance(key, it), *it));
    distances.filter(|(distance, _)| *distance <= limit).min().map(|(_, it)| it)
}

/// Least insertions, deletions and replacements that turn `a` into `b`.
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
