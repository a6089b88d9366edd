//! The difference between two versions, and what each change does to requests in progress.

use std::fmt::{self, Write};

use base::{Finding, HashMap, HashSet};
use forward::{CallerLimits, Route, Service, customers::Customer};

use crate::entries::Document;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Added,
    Dropped,
    Changed,
}

impl ChangeKind {
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Added => "added",
            ChangeKind::Dropped => "dropped",
            ChangeKind::Changed => "changed",
        }
    }
}

/// A difference between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub kind: ChangeKind,
    /// What it concerns, as `route q`.
    pub subject: String,
    /// What changed, without keys.
    pub details: String,
    /// What it does to requests in progress.
    pub effect: &'static str,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.subject, self.kind.as_str())?;
        if !self.details.is_empty() {
            write!(f, " ({})", self.details)?;
        }
        write!(f, ": {}", self.effect)
    }
}

const FINISHES: &str = "requests in progress end as they began; the next ones follow the new entry";
const ROUTE_ADDED: &str = "none in progress; hosts that do not have the version yet answer 503";
const ROUTE_DROPPED: &str = "requests in progress end as they began; the next ones go to a route with a shorter prefix, or \
     get 404 once the version is known to be the newest";
const SERVICE_ADDED: &str = "none in progress";
const SERVICE_DROPPED: &str = "requests in progress end as they began; its targets get no more";
const KEYS_ADDED: &str = "none in progress; hosts that do not have the version yet answer 503";
const KEYS_DROPPED: &str = "requests that wait, or are passed on, hedged or repeated are not sent any more and get 401; \
     those that a target has end as they began";
const CUSTOMER_CHANGED: &str = "counts for requests that arrive from now on";
const FIRST_CUSTOMERS: &str = "requests without a key get 401 from now on, except on open routes; all hosts have to be of a \
     build that knows keys";
const LAST_CUSTOMERS: &str = "no request needs a key from now on";
const LIMITS: &str = "counts for requests whose head arrives from now on";

/// Returns a finding if the versions are in the wrong order.
pub(crate) fn version_finding(old: &Document, new: &Document) -> Option<Finding> {
    let (old, version) = (old.version?, new.version?);
    let message = format!("version {version} is not above the other one, {old}");
    let finding = Finding::new(new.place.clone(), message);
    (version <= old).then(|| finding.with_hint("hosts keep the configuration that they have"))
}

/// Returns the differences, by kind of entry and by name.
pub(crate) fn changes(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    let routes = |it: &Document| -> HashMap<String, Route> {
        it.routes.iter().map(|it| (it.value.name.to_string(), it.value.clone())).collect()
    };
    compare(
        &mut changes,
        "route",
        [ROUTE_ADDED, ROUTE_DROPPED, FINISHES],
        &routes(old),
        &routes(new),
        route_details,
    );
    let services = |it: &Document| -> HashMap<String, Service> {
        it.services.iter().map(|it| (it.value.0.to_string(), it.value.1.clone())).collect()
    };
    compare(
        &mut changes,
        "service",
        [SERVICE_ADDED, SERVICE_DROPPED, FINISHES],
        &services(old),
        &services(new),
        service_details,
    );
    customer_changes(&mut changes, old, new);
    if let (Some(old), Some(new)) = (&old.limits, &new.limits) {
        let details = limit_details(&old.value, &new.value);
        if !details.is_empty() {
            changes.push(changed("limits".to_owned(), details, LIMITS));
        }
    }
    changes
}

fn changed(subject: String, details: String, effect: &'static str) -> Change {
    Change { kind: ChangeKind::Changed, subject, details, effect }
}

fn compare<T: PartialEq>(
    changes: &mut Vec<Change>,
    kind: &str,
    [added, dropped, altered]: [&'static str; 3],
    old: &HashMap<String, T>,
    new: &HashMap<String, T>,
    details: fn(&T, &T) -> String,
) {
    for name in sorted_names(old, new) {
        let subject = format!("{kind} {name}");
        let change = match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) if old != new => changed(subject, details(old, new), altered),
            (None, Some(_)) => {
                Change { kind: ChangeKind::Added, subject, details: String::new(), effect: added }
            }
            (Some(_), None) => Change {
                kind: ChangeKind::Dropped,
                subject,
                details: String::new(),
                effect: dropped,
            },
            _ => continue,
        };
        changes.push(change);
    }
}

fn sorted_names<'a, T>(old: &'a HashMap<String, T>, new: &'a HashMap<String, T>) -> Vec<&'a str> {
    let names: HashSet<&str> = old.keys().chain(new.keys()).map(String::as_str).collect();
    let mut names: Vec<&str> = names.into_iter().collect();
    names.sort_unstable();
    names
}

fn customer_changes(changes: &mut Vec<Change>, old: &Document, new: &Document) {
    let customers = |it: &Document| -> HashMap<String, Customer> {
        let all = it.customers.iter().map(|it| &it.value.customer);
        all.map(|it| (it.name.to_string(), it.clone())).collect()
    };
    let (old, new) = (customers(old), customers(new));
    let all = |kind, effect| {
        let subject = "customers".to_owned();
        Change { kind, subject, details: String::new(), effect }
    };
    if old.is_empty() && !new.is_empty() {
        changes.push(all(ChangeKind::Added, FIRST_CUSTOMERS));
    }
    if new.is_empty() && !old.is_empty() {
        changes.push(all(ChangeKind::Dropped, LAST_CUSTOMERS));
    }
    let effects = [KEYS_ADDED, KEYS_DROPPED, CUSTOMER_CHANGED];
    // Keys have changes of their own.
    let keyless = |it: &HashMap<String, Customer>| -> HashMap<String, Customer> {
        let without = |it: &Customer| Customer { keys: Vec::new(), ..it.clone() };
        it.iter().map(|(name, it)| (name.clone(), without(it))).collect()
    };
    compare(changes, "customer", effects, &keyless(&old), &keyless(&new), customer_details);
    for name in sorted_names(&old, &new) {
        let (Some(old), Some(new)) = (old.get(name), new.get(name)) else { continue };
        let added = new.keys.iter().filter(|it| !old.keys.contains(it)).count();
        let dropped = old.keys.iter().filter(|it| !new.keys.contains(it)).count();
        for (kind, count, effect) in
            [(ChangeKind::Added, added, KEYS_ADDED), (ChangeKind::Dropped, dropped, KEYS_DROPPED)]
        {
            if count > 0 {
                let subject = format!("keys of customer {name}");
                changes.push(Change { kind, subject, details: count.to_string(), effect });
            }
        }
    }
}

fn route_details(old: &Route, new: &Route) -> String {
    let mut details = Details::default();
    details.field("host", &old.host, &new.host);
    details.field("prefix", &old.prefix, &new.prefix);
    details.field("kind", &old.repeat, &new.repeat);
    details.field("timeout", &old.timeout, &new.timeout);
    details.field("objective", &old.objective, &new.objective);
    details.field("attempts", &old.attempts, &new.attempts);
    details.field("priority", &old.priority, &new.priority);
    details.field("open", &old.is_open, &new.is_open);
    details.name("destination", old.destination != new.destination);
    details.name("regions", old.regions != new.regions);
    details.text
}

fn service_details(old: &Service, new: &Service) -> String {
    let mut details = Details::default();
    details.field("health path", &old.health_path, &new.health_path);
    details.field("connections", &old.max_connections, &new.max_connections);
    details.field("warm-up", &old.warmup, &new.warmup);
    details.values("warm-up rate", &rate_text(old.warmup_rate), &rate_text(new.warmup_rate));
    details.text
}

fn customer_details(old: &Customer, new: &Customer) -> String {
    let mut details = Details::default();
    details.values("limit", &limit_text(old), &limit_text(new));
    details.values("priority", &priority_text(old), &priority_text(new));
    details.text
}

fn limit_text(customer: &Customer) -> String {
    match customer.limit {
        Some(it) => format!("{} per second and a burst of {}", it.per_second, it.burst),
        None => "none".to_owned(),
    }
}

fn priority_text(customer: &Customer) -> String {
    customer.priority.map_or("that of the route".to_owned(), |it| it.to_string())
}

fn rate_text(rate: Option<f64>) -> String {
    rate.map_or("none".to_owned(), |it| format!("{it} per second"))
}

fn limit_details(old: &CallerLimits, new: &CallerLimits) -> String {
    let mut details = Details::default();
    details.field("header bytes", &old.header_bytes, &new.header_bytes);
    details.field("body bytes", &old.body_bytes, &new.body_bytes);
    details.field("header timeout", &old.header_timeout, &new.header_timeout);
    details.field("idle timeout", &old.idle_timeout, &new.idle_timeout);
    details.text
}

/// Text with the fields that differ.
#[derive(Default)]
struct Details {
    text: String,
}

impl Details {
    fn field<T: fmt::Debug>(&mut self, name: &str, old: &T, new: &T) {
        self.values(name, &format!("{old:?}"), &format!("{new:?}"));
    }

    fn values(&mut self, name: &str, old: &str, new: &str) {
        if old != new {
            self.separate();
            let _ = write!(self.text, "{name} {old} to {new}");
        }
    }

    fn name(&mut self, name: &str, differs: bool) {
        if differs {
            self.separate();
            self.text.push_str(name);
        }
    }

    fn separate(&mut self) {
        if !self.text.is_empty() {
            self.text.push_str(", ");
        }
    }
}
