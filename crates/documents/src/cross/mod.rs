//! Checks of documents against each other.

use base::Findings;

use crate::model::{Document, Located};

/// Findings against documents that are valid alone but not together.
pub fn cross_check(_documents: &[Located<Document>]) -> Findings {
    Findings::default()
}
