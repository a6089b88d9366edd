//! Documents and settings as written: every field optional and untyped beyond
//! YAML's own kinds, so that one mistake does not hide the next. Each type
//! reads itself from a [`Node`] and converts to its model by `TryFrom`.

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
    /// No kind, or an unknown one.
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

pub(crate) fn kind(node: &Node) -> Option<&str> {
    match &node.get("kind")?.value {
        Value::Text(it) => Some(it),
        _ => None,
    }
}

/// Without its kind a document's other fields cannot be judged.
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

/// Marks `kind` as known; [`DocumentWire`] has looked at it already.
fn skip_kind(fields: &mut Fields) {
    let _ = fields.optional::<String>("kind");
}
