//! Checks of single values beyond their YAML kind, and of repeated values.

use std::{fmt, hash::Hash, net::SocketAddr, ops::RangeInclusive, time::Duration};

use base::{Finding, Findings, HashMap, Place, name};

use crate::{
    reader::{Field, FromValue, WithPlace},
    tree::Node,
};

/// Converts fields as written to model values. A conversion returns `None` if
/// the field is absent, or if it is invalid and a finding was recorded.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) findings: Findings,
}

impl Checker {
    pub(crate) fn new(findings: Findings) -> Self {
        Checker { findings }
    }

    pub(crate) fn into_findings(self) -> Findings {
        sorted(self.findings)
    }

    /// Returns `value` if there are no findings, else the findings.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, Findings> {
        self.findings.into_result(value)
    }

    pub(crate) fn push(&mut self, place: &Place, message: String, hint: &str) {
        self.findings.push(Finding::new(place.clone(), message).with_hint(hint));
    }

    pub(crate) fn name<T: From<String>>(&mut self, key: &str, field: Field<String>) -> Option<T> {
        let WithPlace { value, place } = field?;
        if !name::is_valid(&value) {
            let message = format!("`{key}` is not a valid name: {value:?}");
            let hint = "use 1 to 63 of a-z, 0-9, `-` and `.`, starting with a letter or digit";
            self.push(&place, message, hint);
            return None;
        }
        Some(T::from(value))
    }

    /// Converts one item of the list under `key`.
    pub(crate) fn item<T: FromValue>(&mut self, key: &str, node: Node) -> Field<T> {
        let Node { place, value } = node;
        match T::from_value(value) {
            Ok(value) => Some(WithPlace { value, place }),
            Err(value) => {
                let message = format!("an item of `{key}` is {}", value.kind());
                self.push(&place, message, &format!("use {}", T::EXPECTED));
                None
            }
        }
    }

    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &str,
        field: Field<String>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let WithPlace { value, place } = field?;
        let found = choices.iter().find(|(text, _)| *text == value);
        if found.is_none() {
            let texts: Vec<_> = choices.iter().map(|(text, _)| *text).collect();
            let message = format!("`{key}` cannot be {value:?}");
            self.push(&place, message, &format!("use one of: {}", texts.join(", ")));
        }
        found.map(|(_, choice)| *choice)
    }

    pub(crate) fn number<T: TryFrom<u64>>(
        &mut self,
        key: &str,
        field: Field<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<T> {
        let WithPlace { value, place } = field?;
        let converted = T::try_from(value).ok();
        let (min, max) = range.clone().into_inner();
        if !range.contains(&value) || converted.is_none() {
            let message = format!("`{key}` is {value}, out of range");
            self.push(&place, message, &format!("use {min} to {max}"));
            return None;
        }
        converted
    }

    pub(crate) fn millis(
        &mut self,
        key: &str,
        field: Field<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.number(key, field, range).map(Duration::from_millis)
    }

    pub(crate) fn ratio(&mut self, key: &str, field: Field<f64>) -> Option<f64> {
        let WithPlace { value, place } = field?;
        if !(0.0..=1.0).contains(&value) {
            self.push(&place, format!("`{key}` is {value}, out of range"), "use 0.0 to 1.0");
            return None;
        }
        Some(value)
    }

    pub(crate) fn address(&mut self, key: &str, field: Field<String>) -> Option<SocketAddr> {
        let WithPlace { value, place } = field?;
        let address = value.parse().ok().filter(|it: &SocketAddr| it.port() != 0);
        if address.is_none() {
            let message = format!("`{key}` is not an address: {value:?}");
            self.push(&place, message, "use IP:PORT, such as \"127.0.0.1:9001\"");
        }
        address
    }
}

/// Values that must not repeat, each with the place of its first use.
#[derive(Debug)]
pub(crate) struct Unique<T> {
    items: &'static str,
    attribute: &'static str,
    places: HashMap<T, Place>,
}

impl<T: Hash + Eq + fmt::Display> Unique<T> {
    /// Returns a check whose findings read "two ITEMS have the ATTRIBUTE VALUE".
    pub(crate) fn new(items: &'static str, attribute: &'static str) -> Self {
        Unique { items, attribute, places: HashMap::default() }
    }

    pub(crate) fn check(&mut self, findings: &mut Findings, value: T, place: Place) {
        let Some(first) = self.places.get(&value) else {
            self.places.insert(value, place);
            return;
        };
        let message = format!("two {} have the {} {value}", self.items, self.attribute);
        findings.push(Finding::new(place, message).with_hint(format!("the other is at {first}")));
    }
}

/// Returns the findings sorted by place.
pub(crate) fn sorted(findings: Findings) -> Findings {
    findings.into_result(Findings::default()).unwrap_or_else(|it| it)
}
