//! Findings: problems in an input, each with its place. A check collects all of
//! its findings before it reports them, so that one run shows every mistake.

use std::{fmt, sync::Arc};

/// Position in an input. Lines and columns count from 1; 0 means unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub source: Arc<str>,
    pub line: u32,
    pub column: u32,
}

/// A problem in an input, with an optional hint how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    pub place: Place,
    pub message: String,
    pub hint: Option<String>,
}

/// Findings of one check, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Finding {
    pub fn new(place: Place, message: impl Into<String>) -> Self {
        Finding { place, message: message.into(), hint: None }
    }

    pub fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }
}

impl Findings {
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    pub fn extend(&mut self, findings: Findings) {
        self.0.extend(findings.0);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there are no findings, else all findings sorted by
    /// place.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        Err(self)
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.source);
        }
        write!(f, "{}:{}:{}", self.source, self.line, self.column)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)?;
        let Some(hint) = &self.hint else { return Ok(()) };
        write!(f, " (hint: {hint})")
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
