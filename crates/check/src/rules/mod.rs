//! What a configuration that can be read may get wrong.

mod customers;
mod limits;
mod routes;
mod services;

use base::{Finding, Findings, Place};
use platform::wire::{self, DecodeError};

use crate::{Input, entries::Document};

/// Collects the findings of all rules.
pub(crate) fn check(document: &Document, input: &Input<'_>, findings: &mut Findings) {
    let is_readable = findings.is_empty();
    let mut rules = Rules { document, input, findings };
    if is_readable {
        rules.check_whole();
    }
    rules.check_matching();
    rules.check_destinations();
    rules.check_times();
    rules.check_services();
    rules.check_customers();
    rules.check_limits();
}

struct Rules<'a> {
    document: &'a Document,
    input: &'a Input<'a>,
    findings: &'a mut Findings,
}

impl Rules<'_> {
    fn report(&mut self, place: &Place, message: String, hint: &str) {
        self.findings.push(Finding::new(place.clone(), message).with_hint(hint));
    }

    /// Decodes the whole as hosts do, which finds what concerns several entries.
    fn check_whole(&mut self) {
        let result = wire::configuration(self.input.configuration.text.as_bytes());
        let message = match result {
            Ok(_) => return,
            Err(DecodeError::Customer(err)) => err.to_string(),
            Err(_) => "a field has the wrong type".to_owned(),
        };
        let hint = "hosts reject the configuration as a whole and keep the former one";
        self.report(&self.document.place, message, hint);
    }
}
