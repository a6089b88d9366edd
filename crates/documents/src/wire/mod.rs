//! Documents and settings as written. Every field is optional and typed only by
//! its YAML kind, so that one mistake does not hide the next. Each type is read
//! from a [`Node`] and converted to its model by `TryFrom`.

mod domain;
mod forwarding;
mod pool;
mod service;
mod settings;
mod target;

use base::{Finding, Findings};

use crate::{
    model::Document,
    reader::Fields,
    tree::{Node, Value},
    wire::{domain::DomainWire, pool::PoolWire, service::ServiceWire},
};

pub(crate) use self::{forwarding::ForwardingWire, settings::SettingsWire};

/// A document of any kind as written.
pub(crate) enum DocumentWire {
    Service(ServiceWire),
    Pool(PoolWire),
    Domain(DomainWire),
    /// A document whose kind is missing or unknown.
    Unknown(Findings),
}

impl From<Node> for DocumentWire {
    fn from(node: Node) -> Self {
        match kind(&node) {
            Some("service") => DocumentWire::Service(node.into()),
            Some("pool") => DocumentWire::Pool(node.into()),
            Some("domain") => DocumentWire::Domain(node.into()),
            _ => DocumentWire::Unknown(unknown_kind(&node)),
        }
    }
}

impl TryFrom<DocumentWire> for Document {
    type Error = Findings;

    fn try_from(wire: DocumentWire) -> Result<Self, Findings> {
        match wire {
            DocumentWire::Service(it) => it.try_into().map(Document::Service),
            DocumentWire::Pool(it) => it.try_into().map(Document::Pool),
            DocumentWire::Domain(it) => it.try_into().map(Document::Domain),
            DocumentWire::Unknown(findings) => Err(findings),
        }
    }
}

/// Returns the value of the field `kind`, if it is text.
pub(crate) fn kind(node: &Node) -> Option<&str> {
    match &node.get("kind")?.value {
        Value::Text(it) => Some(it),
        _ => None,
    }
}

/// Returns the finding on a missing or unknown kind. The other fields cannot be
/// checked, since the kind determines them.
fn unknown_kind(node: &Node) -> Findings {
    let (place, message) = match (node.get("kind"), &node.value) {
        (Some(Node { place, value: Value::Text(kind) }), _) => {
            (place, format!("unknown kind {kind:?}"))
        }
        (Some(Node { place, value }), _) => (place, format!("`kind` is {}", value.kind())),
        (None, Value::Mapping(_)) => (&node.place, "the field `kind` is missing".to_owned()),
        (None, other) => (&node.place, format!("expected a document, found {}", other.kind())),
    };
    let mut findings = Findings::default();
    let finding = Finding::new(place.clone(), message);
    findings.push(finding.with_hint("use one of: service, pool, domain, forwarding"));
    findings
}

/// Marks `kind` as a known field. Its value has already selected the type that is
/// read.
fn skip_kind(fields: &mut Fields) {
    let _ = fields.optional::<String>("kind");
}
