//! YAML text as a tree in which every value and every key has its place.
//!
//! Serde stops at the first value that does not match its type. The tree can
//! hold any YAML, so later steps can check all of it and report every mistake.

use std::{fmt, sync::Arc};

use base::{Finding, Findings, Place};
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{
    Location, Options, Spanned,
    options::{DuplicateKeyPolicy, MergeKeyPolicy, NonFiniteFloatPolicy},
};

use crate::model::Places;

/// Maximum nesting depth of lists and mappings. Forwarding files are nested the
/// deepest and need a depth of five.
const MAX_DEPTH: usize = 16;

/// Maximum number of parser events that aliases may replay in a stream, so that
/// a short text cannot expand without bound.
const MAX_ALIASED_EVENTS: usize = 20_000;

/// A value of any kind with its place.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) place: Place,
    pub(crate) value: Value,
}

#[derive(Clone, Debug)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Unsigned(u64),
    Negative(i64),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Mapping(Vec<Entry>),
}

/// A key and its value. A mapping keeps its entries in the order written, and
/// keys may repeat.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) place: Place,
    pub(crate) node: Node,
}

/// Parses text that must hold exactly one document.
pub(crate) fn parse_one(source: &str, text: &str) -> Result<Node, Findings> {
    let (mut nodes, mut findings) = parse_stream(source, text);
    let extra = nodes.get(1).map(|it| it.place.clone());
    if let Some(place) = extra {
        let finding = Finding::new(place, "expected one document, found a second one");
        findings.push(finding.with_hint("remove the `---` line or split the file"));
    }
    if nodes.is_empty() && findings.is_empty() {
        let place = Place { source: source.into(), line: 1, column: 1 };
        let finding = Finding::new(place, "the document is empty");
        findings.push(finding.with_hint("write one `field: value` per line"));
    }
    findings.into_result(())?;
    Ok(nodes.swap_remove(0))
}

/// Parses all documents of a stream. Stops at a syntax error, since the text
/// after it cannot be parsed reliably.
pub(crate) fn parse_stream(source: &str, text: &str) -> (Vec<Node>, Findings) {
    let source: Arc<str> = source.into();
    let mut findings = Findings::default();
    let mut nodes = Vec::new();
    let mut bytes = text.as_bytes();
    for document in serde_saphyr::read_with_options::<_, Spanned<RawValue>>(&mut bytes, options()) {
        match document {
            Ok(raw) => nodes.push(raw.into_node(&source)),
            Err(e) => {
                findings.push(syntax_finding(&source, &e));
                break;
            }
        }
    }
    (nodes, findings)
}

/// A value as deserialized by serde. Places in it do not name the source yet.
enum RawValue {
    Scalar(Value),
    List(Vec<Spanned<RawValue>>),
    Mapping(Vec<(Spanned<String>, Spanned<RawValue>)>),
}

fn options() -> Options {
    let mut options = serde_saphyr::options! {
        with_snippet: false,
        strict_booleans: true,
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
    };
    options.alias_limits.max_total_replayed_events = MAX_ALIASED_EVENTS;
    if let Some(budget) = &mut options.budget {
        budget.max_depth = MAX_DEPTH;
    }
    options
}

fn syntax_finding(source: &Arc<str>, e: &serde_saphyr::Error) -> Finding {
    let location = e.location().unwrap_or(Location::UNKNOWN);
    let place = place(source, location);
    let text = e.without_snippet().to_string();
    let message = text.split('\n').next().unwrap_or_default();
    Finding::new(place, format!("not valid YAML: {message}"))
        .with_hint("check the indentation, quotes and brackets up to here")
}

fn place(source: &Arc<str>, location: Location) -> Place {
    let line = u32::try_from(location.line()).unwrap_or(0);
    let column = u32::try_from(location.column()).unwrap_or(0);
    Place { source: Arc::clone(source), line, column }
}

trait IntoNode {
    fn into_node(self, source: &Arc<str>) -> Node;
}

impl IntoNode for Spanned<RawValue> {
    fn into_node(self, source: &Arc<str>) -> Node {
        let place = place(source, self.referenced);
        let value = match self.value {
            RawValue::Scalar(it) => it,
            RawValue::List(it) => {
                Value::List(it.into_iter().map(|node| node.into_node(source)).collect())
            }
            RawValue::Mapping(it) => Value::Mapping(
                it.into_iter().map(|(key, node)| Entry::new(key, node, source)).collect(),
            ),
        };
        Node { place, value }
    }
}

impl Entry {
    fn new(key: Spanned<String>, node: Spanned<RawValue>, source: &Arc<str>) -> Self {
        let place = place(source, key.referenced);
        Entry { key: key.value, place, node: node.into_node(source) }
    }
}

impl Node {
    /// Returns the value under `key`, if this is a mapping with that key.
    pub(crate) fn get(&self, key: &str) -> Option<&Node> {
        let Value::Mapping(entries) = &self.value else { return None };
        entries.iter().find(|it| it.key == key).map(|it| &it.node)
    }

    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.get(key).is_some()
    }
}

impl Value {
    /// Returns the kind of the value, as worded in findings.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Value::Null => "nothing",
            Value::Bool(_) => "a boolean",
            Value::Unsigned(_) | Value::Negative(_) => "a whole number",
            Value::Float(_) => "a number with a fraction",
            Value::Text(_) => "text",
            Value::List(_) => "a list",
            Value::Mapping(_) => "a mapping",
        }
    }
}

impl From<&Node> for Places {
    fn from(node: &Node) -> Self {
        let mut places = Places::default();
        collect_places(node, "", &mut places);
        places
    }
}

fn collect_places(node: &Node, path: &str, places: &mut Places) {
    if !path.is_empty() {
        places.insert(path.to_owned(), node.place.clone());
    }
    let child_path = |name: &dyn fmt::Display| match path {
        "" => name.to_string(),
        _ => format!("{path}/{name}"),
    };
    match &node.value {
        Value::List(nodes) => {
            for (i, node) in nodes.iter().enumerate() {
                collect_places(node, &child_path(&i), places);
            }
        }
        Value::Mapping(entries) => {
            for entry in entries {
                collect_places(&entry.node, &child_path(&entry.key), places);
            }
        }
        _ => (),
    }
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawValueVisitor)
    }
}

struct RawValueVisitor;

impl<'de> Visitor<'de> for RawValueVisitor {
    type Value = RawValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Null))
    }

    fn visit_none<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Null))
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Bool(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Unsigned(value)))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawValue, E> {
        let value = u64::try_from(value).map_or(Value::Negative(value), Value::Unsigned);
        Ok(RawValue::Scalar(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Float(value)))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Text(value.to_owned())))
    }

    fn visit_string<E>(self, value: String) -> Result<RawValue, E> {
        Ok(RawValue::Scalar(Value::Text(value)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<RawValue, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(RawValue::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(RawValue::Mapping(entries))
    }
}
