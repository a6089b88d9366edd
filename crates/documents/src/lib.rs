//! Operators' documents and the daemon's settings: YAML in, checked plain
//! data out, every mistake as a finding with its place.
//!
//! It reads no file and opens no socket: callers hand it text. It does not
//! decide which revision is in force; that is `fleet`.
//!
//! Text passes through four steps: [`tree`] keeps every value with its place,
//! `reader` takes typed fields out of a mapping, `wire` holds what was written
//! and converts it to the [`model`], and `cross` checks documents against each
//! other. No step stops at the first mistake.

use base::Findings;

use crate::{
    tree::Node,
    wire::{DocumentWire, SettingsWire},
};

mod cross;
mod reader;
mod tree;
mod wire;

pub mod model;

pub use crate::{
    cross::cross_check,
    model::{
        Configuration, Document, Domain, DomainState, Located, Places, Pool, Preference, Service,
        Settings, Target,
    },
};

/// Parses and checks one YAML document; `source` names it in findings.
pub fn parse_document(source: &str, text: &str) -> Result<Document, Findings> {
    let node = tree::parse_one(source, text)?;
    Document::try_from(DocumentWire::from(node))
}

/// Parses and checks a stream of YAML documents. Returns the valid ones beside
/// the findings against the others.
pub fn parse_documents(source: &str, text: &str) -> (Vec<Located<Document>>, Findings) {
    let mut documents = Vec::new();
    let (nodes, mut findings) = tree::parse_stream(source, text);
    for node in nodes {
        match locate(node) {
            Ok(document) => documents.push(document),
            Err(found) => findings.extend(found),
        }
    }
    (documents, findings)
}

/// Parses and checks a daemon's settings; `source` names them in findings.
pub fn parse_settings(source: &str, text: &str) -> Result<Settings, Findings> {
    let node = tree::parse_one(source, text)?;
    Settings::try_from(SettingsWire::from(node))
}

fn locate(node: Node) -> Result<Located<Document>, Findings> {
    let place = node.place.clone();
    let places = Places::from(&node);
    let value = Document::try_from(DocumentWire::from(node))?;
    Ok(Located { value, place, places })
}
