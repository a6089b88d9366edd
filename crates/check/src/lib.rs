//! Check of a configuration of the users' platform before it is sent: errors with
//! their places, entries that can never match, limits that contradict each other, and
//! the difference from another version.
//!
//! This crate reads texts and returns a report. It does no I/O. The format is that of
//! `platform::wire`, so that what passes here is what hosts accept. No part of a report
//! holds a key or a digest of one.

mod difference;
mod entries;
mod rules;
mod surroundings;

use base::{Finding, Findings, Place};

use self::entries::Document;
pub use self::{
    difference::{Change, ChangeKind},
    surroundings::{HostSettings, SurroundingsError, target_reports},
};

/// A text and the name under which its places are reported.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    pub name: &'a str,
    pub text: &'a str,
}

/// What is checked, and against what.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    pub configuration: Source<'a>,
    /// Another version, usually the active one.
    pub against: Option<Source<'a>>,
    /// Settings of a host, for its regions and its memory.
    pub host: Option<&'a HostSettings>,
    /// Entries of targets.
    pub targets: Option<&'a [forward::TargetReport]>,
}

/// Result of a check.
#[derive(Clone, Debug)]
pub struct Report {
    pub version: Option<u64>,
    pub routes: usize,
    pub services: usize,
    pub customers: usize,
    pub findings: Vec<Finding>,
    /// Differences from the other version; `None` without one.
    pub changes: Option<Vec<Change>>,
}

/// A text that is no JSON object.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("{place}: the text is no JSON of a configuration")]
pub struct Unreadable {
    pub place: Place,
}

/// Checks a configuration.
pub fn check(input: &Input<'_>) -> Result<Report, Unreadable> {
    let mut findings = Findings::default();
    let document = Document::read(input.configuration, &mut findings)?;
    rules::check(&document, input, &mut findings);
    let changes = match input.against {
        None => None,
        Some(source) => {
            // Mistakes in the other version are not this one's.
            let old = Document::read(source, &mut Findings::default())?;
            if let Some(finding) = difference::version_finding(&old, &document) {
                findings.push(finding);
            }
            Some(difference::changes(&old, &document))
        }
    };
    let findings = findings.into_result(()).err().unwrap_or_default();
    Ok(Report {
        version: document.version,
        routes: document.routes.len(),
        services: document.services.len(),
        customers: document.customers.len(),
        findings: findings.iter().cloned().collect(),
        changes,
    })
}
