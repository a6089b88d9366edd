//! UNASKED, ROUTE, CONFIG and DENIED where they concern keys, and QUOTA: whose requests ran
//! under which name, with which keys, and how many of each customer.

use std::time::Duration;

use base::HashMap;

use super::{Evidence, Finding, Rule};
use crate::soak::{
    configuration::Version,
    customers::{Customer, Limit},
    record::{Attempt, AttemptEnd, Run},
    settings::Bounds,
};

/// Refusals of keys that are held by all versions: so many, and one in so many requests.
const DENIED_SLACK: usize = 5;
const DENIED_ONE_IN: usize = 500;

pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    let attempts = &evidence.record.attempts;
    let mut findings: Vec<Finding> =
        attempts.iter().flat_map(|it| judge_runs(evidence, it)).collect();
    findings.extend(denied(evidence));
    findings.extend(beyond_limits(evidence));
    findings
}

fn judge_runs(evidence: &Evidence<'_>, attempt: &Attempt) -> Vec<Finding> {
    let runs = evidence.runs(attempt).iter();
    runs.filter_map(|it| judge_run(&evidence.record.versions, attempt, it)).collect()
}

fn judge_run(versions: &[Version], attempt: &Attempt, run: &Run) -> Option<Finding> {
    let finding = |rule, detail: &str| Some(Finding::new(rule, attempt, detail.to_owned()));
    if run.has_key {
        return finding(Rule::Unasked, "the key was passed on to a target");
    }
    let Some(key) = &attempt.key else {
        let is_named = run.customer.is_some();
        let detail = "a target was told a customer of a request without a key";
        return is_named.then(|| Finding::new(Rule::Unasked, attempt, detail.to_owned()));
    };
    let sent = versions.iter().filter(|it| it.sent <= run.at);
    let holders: Vec<&str> = sent.filter_map(|it| holder(it, key)).collect();
    if holders.is_empty() {
        return finding(Rule::Route, "ran with a key that no version had held");
    }
    if !holders.iter().any(|it| Some(*it) == run.customer.as_deref()) {
        return finding(Rule::Unasked, "ran under a name that is not the key's customer");
    }
    let removed = removed_at(versions, key, attempt.sent)?;
    let late = attempt.sent.checked_sub(removed + Bounds::REVOKE)?;
    let detail = format!("ran {} ms after a revoked key was due", late.as_millis());
    Some(Finding::new(Rule::Config, attempt, detail))
}

fn holder<'a>(version: &'a Version, key: &str) -> Option<&'a str> {
    let customer = version.customers.iter().find(|it| it.keys.iter().any(|it| it == key));
    customer.map(|it| it.name.as_str())
}

/// Returns when the first of the versions without the key was acknowledged that are in force
/// since then, if the key was held before and is not held by the newest version at `at`.
fn removed_at(versions: &[Version], key: &str, at: Duration) -> Option<Duration> {
    let until: Vec<&Version> = versions.iter().filter(|it| it.sent <= at).collect();
    let last_with = until.iter().rposition(|it| holder(it, key).is_some())?;
    until.get(last_with + 1).map(|it| it.acked)
}

/// Returns refusals of keys that all versions hold, if they are more than may happen.
fn denied(evidence: &Evidence<'_>) -> Vec<Finding> {
    let record = evidence.record;
    let is_held = |key: &str| record.versions.iter().all(|it| holder(it, key).is_some());
    let is_refused = |it: &&Attempt| {
        matches!(&it.end, AttemptEnd::Answered(answer) if matches!(answer.status, 401 | 403))
            && it.key.as_deref().is_some_and(is_held)
    };
    let refused: Vec<&Attempt> = record.attempts.iter().filter(is_refused).collect();
    if refused.len() <= DENIED_SLACK + record.attempts.len() / DENIED_ONE_IN {
        return Vec::new();
    }
    let detail = "a key that all versions hold was refused";
    refused.into_iter().map(|it| Finding::new(Rule::Denied, it, detail.to_owned())).collect()
}

/// A request that ran: when it was sent, and when it first reached a target.
struct Ran<'a> {
    attempt: &'a Attempt,
    at: Duration,
}

/// Returns the windows in which more requests of a customer ran than its limit allows.
fn beyond_limits(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut by_customer: HashMap<&str, Vec<Ran<'_>>> = HashMap::default();
    for attempt in &evidence.record.attempts {
        let first = evidence.runs(attempt).iter().min_by_key(|it| it.at);
        if let Some(run) = first
            && let Some(customer) = run.customer.as_deref()
        {
            by_customer.entry(customer).or_default().push(Ran { attempt, at: run.at });
        }
    }
    let versions = &evidence.record.versions;
    by_customer.iter_mut().filter_map(|(name, ran)| beyond_limit(versions, name, ran)).collect()
}

/// Returns the first window in which too many requests of a customer ran.
fn beyond_limit(versions: &[Version], name: &str, ran: &mut [Ran<'_>]) -> Option<Finding> {
    ran.sort_by_key(|it| it.attempt.sent);
    ran.iter().enumerate().find_map(|(index, first)| {
        let (from, until) = (first.attempt.sent, first.attempt.sent + Bounds::LIMIT_WINDOW);
        let later = ran[index..].iter().take_while(|it| it.attempt.sent <= until);
        let count = later.filter(|it| it.at <= until).count();
        let allowed = allowed(highest_limit(versions, name, from)?);
        let detail = format!("{count} requests of {name} ran in 5 s, {allowed:.0} are allowed");
        (count as f64 > allowed).then(|| Finding::new(Rule::Quota, first.attempt, detail))
    })
}

/// Returns the highest limit of a customer that may bind requests from `from` on. A lower
/// one binds a window after it is due.
fn highest_limit(versions: &[Version], name: &str, from: Duration) -> Option<Limit> {
    let slack = Bounds::CONFIG + Bounds::CONTACT + Bounds::LIMIT_WINDOW;
    let due = versions.iter().rposition(|it| it.acked.saturating_add(slack) < from);
    let may_bind = versions.get(due.unwrap_or(0)..)?.iter();
    let sent = may_bind.filter(|it| it.sent <= from + Bounds::LIMIT_WINDOW);
    let of_customer = |it: &Version| it.customers.iter().find(|it| it.name == name).map(limit);
    sent.filter_map(of_customer).max_by_key(|it| it.per_second)
}

fn limit(customer: &Customer) -> Limit {
    customer.limit
}

fn allowed(limit: Limit) -> f64 {
    let in_window = f64::from(limit.per_second) * Bounds::LIMIT_WINDOW.as_secs_f64();
    let stated = in_window + f64::from(limit.burst);
    stated * (1.0 + Bounds::LIMIT_TOLERANCE) + Bounds::LIMIT_SLACK
}
