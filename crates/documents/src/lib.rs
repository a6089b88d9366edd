//! Parses and checks operators' YAML documents and the daemon's settings. Each
//! mistake becomes a finding with its place.
//!
//! This crate reads no files and opens no sockets: callers pass it text. Which
//! revision is in force is decided by `fleet`.
//!
//! Text passes through four steps: `tree` parses YAML and keeps the place of
//! every value, `reader` extracts typed fields from a mapping, `wire` holds the
//! fields as written and converts them to the [`model`], and `cross` checks
//! documents against each other. No step but the YAML parser stops at the first
//! mistake.

use base::Findings;

use crate::{
    tree::Node,
    wire::{DocumentWire, ForwardingWire, SettingsWire, kind},
};

mod cross;
mod reader;
mod tree;
mod wire;

pub mod model;

pub use crate::{
    cross::{cross_check, cross_check_settings},
    model::{
        Configuration, Document, Domain, DomainState, Forwarding, Located, Places, Pool,
        Preference, Service, Settings, Target,
    },
};

/// Parses and checks one YAML document; `source` names it in findings.
pub fn parse_document(source: &str, text: &str) -> Result<Document, Findings> {
    let node = tree::parse_one(source, text)?;
    Document::try_from(DocumentWire::from(node))
}

/// Parses and checks a stream of YAML documents. Returns the valid documents and
/// the findings on the others.
pub fn parse_documents(source: &str, text: &str) -> (Vec<Located<Document>>, Findings) {
    let mut documents = Vec::new();
    let (nodes, mut findings) = tree::parse_stream(source, text);
    for node in nodes {
        match locate::<_, DocumentWire>(node) {
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

/// Parses and checks a forwarding file; `source` names it in findings.
pub fn parse_forwarding(source: &str, text: &str) -> Result<Forwarding, Findings> {
    let node = tree::parse_one(source, text)?;
    Forwarding::try_from(ForwardingWire::from(node))
}

/// Parses and checks a file that may mix documents, settings and forwarding
/// files, for `godwityard check`. A mapping with `host` and without `kind` holds
/// settings.
pub fn parse_file(source: &str, text: &str) -> (ParsedFile, Findings) {
    let mut file = ParsedFile::default();
    let (nodes, mut findings) = tree::parse_stream(source, text);
    for node in nodes {
        if let Err(found) = file.add(node) {
            findings.extend(found);
        }
    }
    (file, findings)
}

/// The valid documents, settings and forwarding files of one or more files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedFile {
    pub documents: Vec<Located<Document>>,
    pub settings: Vec<Located<Settings>>,
    pub forwarding: Vec<Located<Forwarding>>,
}

impl ParsedFile {
    fn add(&mut self, node: Node) -> Result<(), Findings> {
        if node.has_key("host") && !node.has_key("kind") {
            self.settings.push(locate::<_, SettingsWire>(node)?);
        } else if kind(&node) == Some("forwarding") {
            self.forwarding.push(locate::<_, ForwardingWire>(node)?);
        } else {
            self.documents.push(locate::<_, DocumentWire>(node)?);
        }
        Ok(())
    }

    pub fn extend(&mut self, other: ParsedFile) {
        self.documents.extend(other.documents);
        self.settings.extend(other.settings);
        self.forwarding.extend(other.forwarding);
    }
}

fn locate<T, W>(node: Node) -> Result<Located<T>, Findings>
where
    T: TryFrom<W, Error = Findings>,
    W: From<Node>,
{
    let place = node.place.clone();
    let places = Places::from(&node);
    let value = T::try_from(W::from(node))?;
    Ok(Located { value, place, places })
}
