//! The document of a failure domain as written.

use base::Findings;

use crate::{
    model::{Domain, DomainState},
    reader::{Checker, Field, Fields},
    tree::Node,
    wire::skip_kind,
};

const STATES: &[(&str, DomainState)] = &[("in", DomainState::In), ("out", DomainState::Out)];

pub(crate) struct DomainWire {
    name: Field<String>,
    region: Field<String>,
    state: Field<String>,
    findings: Findings,
}

impl From<Node> for DomainWire {
    fn from(node: Node) -> Self {
        let mut fields = Fields::new(node);
        skip_kind(&mut fields);
        DomainWire {
            name: fields.required("name"),
            region: fields.required("region"),
            state: fields.optional("state"),
            findings: fields.finish(),
        }
    }
}

impl TryFrom<DomainWire> for Domain {
    type Error = Findings;

    fn try_from(wire: DomainWire) -> Result<Self, Findings> {
        let mut cx = Checker::new(wire.findings);
        let name = cx.name("name", wire.name);
        let region = cx.name("region", wire.region);
        let state = cx.choice("state", wire.state, STATES).unwrap_or(DomainState::In);
        let (Some(name), Some(region)) = (name, region) else { return Err(cx.into_findings()) };
        cx.finish(Domain { name, region, state })
    }
}
