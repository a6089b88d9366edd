//! Judges a run by its record: which rules of the platform were broken, when, at which
//! host and by which request. Reads what clients, targets and the store saw, never what
//! hosts say of themselves.
//!
//! Not judged are the rules on budgets but for pauses, on cold targets, on evacuations and on places,
//! CONFIG where it concerns times, and LOST beside a change of the configuration.

mod added;
mod answers;
mod configuration;
mod contact;
mod customers;
mod drain;
mod leaving;
mod lost;
mod pauses;
mod senders;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, fmt, time::Duration};

use base::HashMap;

use self::{contact::Contact, senders::Senders};
use super::record::{Attempt, AttemptEnd, HostEvent, HostIndex, Record, Run};

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An older configuration than the one that is due was in force.
    Config,
    /// A host went back to an older configuration.
    Regress,
    /// Routes that were added are refused though they are due.
    Unserved,
    /// A proper request was refused as wrong.
    Denied,
    /// A request reached a target that had left.
    Drain,
    /// A request reached a target that had said in an answer that it leaves.
    Leaving,
    /// Requests reached a target in a pause for which it had asked.
    Pause,
    /// An accepted request got no answer.
    Lost,
    /// An answer is not the target's, or not to this request.
    Mixed,
    /// A request that may run once ran more often.
    Twice,
    /// A request that was answered with "not run" ran.
    Refused,
    /// A service ran a request that no configuration sends to it.
    Route,
    /// A request ran with a key, or under the name of another customer.
    Unasked,
    /// More requests of a customer ran than its limit allows.
    Quota,
    /// A host's process ended by itself.
    Fault,
}

/// Whether the record shows the breach, or leaves another explanation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    Shown,
    /// Another host, which the request may have passed, was out of touch, or the rule
    /// needs more cases.
    Suspected,
}

/// One case of a broken rule.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: Rule,
    pub certainty: Certainty,
    pub at: Duration,
    pub host: HostIndex,
    pub request: String,
    /// What was seen, and what was due.
    pub detail: String,
}

/// What the judge reads, in the order in which it needs it.
struct Evidence<'a> {
    record: &'a Record,
    contact: Contact<'a>,
    runs: HashMap<&'a str, Vec<&'a Run>>,
    senders: Senders<'a>,
}

impl<'a> Evidence<'a> {
    fn new(record: &'a Record) -> Self {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::default();
        for run in &record.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let (contact, senders) = (Contact::new(&record.disruptions), Senders::new(record));
        Evidence { record, contact, runs, senders }
    }

    fn runs(&self, attempt: &Attempt) -> &[&'a Run] {
        self.runs.get(attempt.id.as_str()).map_or(&[], Vec::as_slice)
    }
}

/// Returns all breaches of rules in a record.
pub fn judge(record: &Record) -> Vec<Finding> {
    let evidence = Evidence::new(record);
    let mut findings = configuration::judge(&evidence);
    findings.extend(configuration::judge_regress(&evidence));
    findings.extend(added::judge(&evidence));
    findings.extend(drain::judge(&evidence));
    findings.extend(leaving::judge(&evidence));
    findings.extend(pauses::judge(&evidence));
    findings.extend(lost::judge(&evidence));
    findings.extend(answers::judge(&evidence));
    findings.extend(customers::judge(&evidence));
    findings.extend(own_ends(record));
    findings.sort_by_key(|it| it.at);
    findings
}

fn own_ends(record: &Record) -> impl Iterator<Item = Finding> {
    let ended = record.host_events.iter().filter(|(_, _, it)| *it == HostEvent::EndedByItself);
    ended.map(|(host, at, _)| Finding {
        rule: Rule::Fault,
        certainty: Certainty::Shown,
        at: *at,
        host: *host,
        request: "-".to_owned(),
        detail: "the process ended by itself".to_owned(),
    })
}

impl Finding {
    fn new(rule: Rule, attempt: &Attempt, detail: String) -> Finding {
        Finding {
            rule,
            certainty: Certainty::Shown,
            at: attempt.sent,
            host: attempt.host,
            request: attempt.id.clone(),
            detail,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { rule, at, host, request, detail, .. } = self;
        let suspected = if self.certainty == Certainty::Shown { "" } else { " (suspected)" };
        let at = at.as_secs_f64();
        write!(f, "{rule}{suspected} at {at:.3} s, host {}, request {request}: {detail}", host + 1)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Config => "CONFIG",
            Rule::Regress => "CONFIG (regress)",
            Rule::Unserved => "CONFIG (unserved)",
            Rule::Denied => "DENIED",
            Rule::Drain => "DRAIN",
            Rule::Leaving => "DRAIN (stated)",
            Rule::Pause => "BUDGET (pause)",
            Rule::Lost => "LOST",
            Rule::Mixed => "MIXED",
            Rule::Twice => "TWICE",
            Rule::Refused => "REFUSED",
            Rule::Route => "ROUTE",
            Rule::Unasked => "UNASKED",
            Rule::Quota => "QUOTA",
            Rule::Fault => "FAULT",
        })
    }
}

/// Returns how many attempts were made at hosts in touch, to which all rules apply.
pub fn attempts_in_touch(record: &Record) -> usize {
    let contact = Contact::new(&record.disruptions);
    let attempts = record.attempts.iter();
    attempts.filter(|it| contact.is_in_touch(it.host, it.sent, it.ended)).count()
}

/// Returns how many attempts ended in each way.
pub fn ends(record: &Record) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for attempt in &record.attempts {
        let end = match &attempt.end {
            AttemptEnd::Answered(answer) => answer.status.to_string(),
            AttemptEnd::Closed => "closed".to_owned(),
            AttemptEnd::Reset => "reset".to_owned(),
            AttemptEnd::NotConnected => "not connected".to_owned(),
            AttemptEnd::TimedOut => "timed out".to_owned(),
        };
        let kind = if attempt.is_probe { "probes" } else { "load" };
        *ends.entry(format!("{kind} {end}")).or_default() += 1;
    }
    ends
}
