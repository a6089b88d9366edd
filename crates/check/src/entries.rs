//! The entries of a configuration with their places. Each is decoded alone by
//! `platform::wire`, so that all mistakes are found at once.

use base::{Finding, Findings, Place, ServiceName};
use forward::{CallerLimits, Configuration, Route, Service, customers::Customer};
use platform::wire::{self, DecodeError};
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

use crate::{Source, Unreadable};

/// A configuration as far as it can be read.
#[derive(Debug, Default)]
pub(crate) struct Document {
    /// Place of the whole.
    pub(crate) place: Place,
    pub(crate) version: Option<u64>,
    pub(crate) routes: Vec<Entry<Route>>,
    pub(crate) services: Vec<Entry<(ServiceName, Service)>>,
    pub(crate) limits: Option<Entry<CallerLimits>>,
    pub(crate) customers: Vec<Entry<CustomerEntry>>,
}

#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) place: Place,
    pub(crate) value: T,
}

#[derive(Debug)]
pub(crate) struct CustomerEntry {
    pub(crate) customer: Customer,
    /// The burst as it is written, which counts for nothing without a rate.
    pub(crate) burst: f64,
}

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    version: Option<&'a RawValue>,
    #[serde(borrow)]
    routes: Option<&'a RawValue>,
    #[serde(borrow)]
    services: Option<&'a RawValue>,
    #[serde(borrow)]
    limits: Option<&'a RawValue>,
    #[serde(borrow)]
    tenants: Option<&'a RawValue>,
}

const NO_LIMITS: &str =
    r#"{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}"#;

impl Document {
    /// Reads a configuration. Entries that cannot be read are left out, with findings.
    pub(crate) fn read(
        source: Source<'_>,
        findings: &mut Findings,
    ) -> Result<Document, Unreadable> {
        let raw: Raw<'_> = serde_json::from_str(source.text).map_err(|err| {
            let (line, column) = (err.line() as u32, err.column() as u32);
            Unreadable { place: Place { source: source.name.into(), line, column } }
        })?;
        let mut reader = Reader { source, findings };
        let mut document = Document { place: reader.start(), ..Document::default() };
        document.version = reader.version(raw.version);
        for it in reader.list("routes", raw.routes, true) {
            let cfg = reader.decode("route", it, &configuration(it.get(), "", NO_LIMITS, ""));
            document.routes.extend(reader.first(it, cfg.map(|cfg| cfg.routes)));
        }
        for it in reader.list("services", raw.services, true) {
            let cfg = reader.decode("service", it, &configuration("", it.get(), NO_LIMITS, ""));
            let services = cfg.map(|cfg| cfg.services.into_iter().collect());
            document.services.extend(reader.first(it, services));
        }
        match raw.limits {
            None => reader.missing("limits"),
            Some(it) => {
                let cfg = reader.decode("limits", it, &configuration("", "", it.get(), ""));
                document.limits = reader.first(it, cfg.map(|cfg| vec![cfg.limits]));
            }
        }
        for it in reader.list("tenants", raw.tenants, false) {
            let customer = reader.customer(it);
            document.customers.extend(reader.first(it, customer.map(|it| vec![it])));
        }
        Ok(document)
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().map(|it| &it.value).find(|it| it.0 == *name).map(|it| &it.1)
    }
}

/// Returns the text of a configuration with at most one entry of each kind.
fn configuration(route: &str, service: &str, limits: &str, customer: &str) -> String {
    format!(
        r#"{{"version":1,"routes":[{route}],"services":[{service}],"limits":{limits},"tenants":[{customer}]}}"#
    )
}

struct Reader<'a, 'f> {
    source: Source<'a>,
    findings: &'f mut Findings,
}

impl<'a> Reader<'a, '_> {
    fn start(&self) -> Place {
        Place { source: self.source.name.into(), line: 1, column: 1 }
    }

    /// Returns the place of a value, which is a part of the source's text.
    fn place(&self, value: &RawValue) -> Place {
        let offset = value.get().as_ptr().addr().wrapping_sub(self.source.text.as_ptr().addr());
        let before = self.source.text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|it| *it != '\n').count() + 1;
        Place { source: self.source.name.into(), line: line as u32, column: column as u32 }
    }

    fn report(&mut self, place: Place, message: String) {
        self.findings.push(Finding::new(place, message));
    }

    fn missing(&mut self, field: &str) {
        self.report(self.start(), format!("the field `{field}` is missing"));
    }

    fn version(&mut self, raw: Option<&RawValue>) -> Option<u64> {
        let Some(raw) = raw else {
            self.missing("version");
            return None;
        };
        let version = serde_json::from_str(raw.get()).ok();
        if version.is_none() {
            self.report(self.place(raw), "`version` must be a number from 0".to_owned());
        }
        version
    }

    fn list(
        &mut self,
        field: &str,
        raw: Option<&'a RawValue>,
        is_required: bool,
    ) -> Vec<&'a RawValue> {
        let Some(raw) = raw else {
            if is_required {
                self.missing(field);
            }
            return Vec::new();
        };
        let entries = serde_json::from_str(raw.get());
        entries.unwrap_or_else(|_| {
            self.report(self.place(raw), format!("`{field}` must be a list"));
            Vec::new()
        })
    }

    fn decode(&mut self, kind: &str, raw: &RawValue, text: &str) -> Option<Configuration> {
        match wire::configuration(text.as_bytes()) {
            Ok(cfg) => Some(cfg),
            Err(err) => {
                let message = format!("{}: {}", name_of(kind, raw), describe(&err));
                self.report(self.place(raw), message);
                None
            }
        }
    }

    fn first<T>(&self, raw: &RawValue, values: Option<Vec<T>>) -> Option<Entry<T>> {
        let value = values?.into_iter().next()?;
        Some(Entry { place: self.place(raw), value })
    }

    fn customer(&mut self, raw: &RawValue) -> Option<CustomerEntry> {
        let value: Value = serde_json::from_str(raw.get()).unwrap_or_default();
        // The messages of the decoder would show a key that is not in a list.
        if let Some(problem) = customer_problem(&value) {
            let message = format!("{}: {problem}", name_of("customer", raw));
            self.report(self.place(raw), message);
            return None;
        }
        let text = configuration("", "", NO_LIMITS, raw.get());
        let cfg = self.decode("customer", raw, &text)?;
        let customer = cfg.customers.into_iter().next()?;
        let burst = value.get("burst").and_then(Value::as_f64).unwrap_or(0.0);
        Some(CustomerEntry { customer, burst })
    }
}

/// Returns what is wrong with the types of a customer's fields.
fn customer_problem(value: &Value) -> Option<&'static str> {
    let Some(fields) = value.as_object() else { return Some("it must be an object") };
    let is_key_list = |it: &Value| it.as_array().is_some_and(|it| it.iter().all(Value::is_string));
    let is =
        |field: &str, is_right: &dyn Fn(&Value) -> bool| fields.get(field).is_none_or(is_right);
    if !fields.get("name").is_some_and(Value::is_string) {
        return Some("`name` must be a string");
    }
    if !fields.get("keys").is_some_and(is_key_list) {
        return Some("`keys` must be a list of strings");
    }
    if !is("rate_per_s", &Value::is_number) || !is("burst", &Value::is_number) {
        return Some("`rate_per_s` and `burst` must be numbers");
    }
    let is_priority =
        |it: &Value| it.is_null() || it.as_u64().is_some_and(|it| it <= u32::MAX.into());
    (!is("priority", &is_priority)).then_some("`priority` must be a number from 0")
}

/// Returns the kind of an entry with its name, if it has one.
fn name_of(kind: &str, raw: &RawValue) -> String {
    let value: Value = serde_json::from_str(raw.get()).unwrap_or_default();
    match value.get("name").and_then(Value::as_str) {
        Some(name) => format!("{kind} {name}"),
        None => kind.to_owned(),
    }
}

/// Describes an error without the position, which is that in a text made of the entry.
fn describe(err: &DecodeError) -> String {
    let text = err.to_string();
    let end = text.find(" at line ").unwrap_or(text.len());
    text[..end].trim_start_matches("invalid JSON: ").to_owned()
}
