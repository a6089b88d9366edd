//! Trace of one request, collected from the logs of hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
};

use serde::Serialize;

use super::log_line::LogLine;

/// Number of a host's log lines before and after a request that are searched for
/// notes on the same targets.
const NEARBY_LINES: usize = 400;

/// Number of a host's log lines, counted from a request, whose state changes are
/// shown.
const FOLLOWING_LINES: usize = 150;

const CONFIGURATION_MESSAGE: &str = "front: configuration in force";

/// Messages that log a change of a host's state, by kind. Of each kind the last one
/// before the request holds.
const STATE_MESSAGES: [&[&str]; 7] = [
    &["host: starting"],
    &["front: stopping"],
    &[CONFIGURATION_MESSAGE],
    &["follow: the source is lost", "follow: the source is back"],
    &["front: reach changed"],
    &["front: evacuated domains changed"],
    &["front: number of hosts changed"],
];

/// Messages that log what a target states of itself. Of each kind the last one on a
/// target that the request's lines name is shown.
const TARGET_MESSAGES: [&str; 4] = [
    "targets: asks for a pause",
    "targets: leaving, by an answer",
    "targets: leaving, by another host",
    "targets: stated limit changed",
];

/// Messages that a host logs when it ends as planned.
const PLANNED_END_MESSAGES: [&str; 2] = ["front: stopping", "host: ended"];

/// What the hosts logged about one request. Scripts rely on the field names of its
/// JSON form.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct RequestTrace {
    request: String,
    #[serde(rename = "chapters")]
    hosts: Vec<HostTrace>,
    /// Starts of hosts that had not ended as planned. If no line has the request id,
    /// the request may have been lost with one of these hosts.
    unplanned_starts: Vec<Event>,
}

/// What one host logged about the request.
#[derive(Debug)]
#[derive(Serialize)]
struct HostTrace {
    host: String,
    lines: Vec<Event>,
    parts: Vec<PartTrace>,
    /// Versions later than the request's that were in force elsewhere before, by the
    /// clocks of the hosts.
    later_versions: Vec<VersionTrace>,
    /// State of the host before the request.
    #[serde(rename = "believed")]
    state_before: Vec<Event>,
    /// State changes soon after the request, shown because a host detects its
    /// isolation only some time after it began.
    #[serde(rename = "soon_after")]
    changes_after: Vec<Event>,
}

/// Log line in readable form, with its fields appended to the message.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Event {
    host: String,
    #[serde(rename = "at")]
    time: String,
    #[serde(rename = "what")]
    text: String,
}

/// Part of the request that did not go as planned.
#[derive(Debug)]
#[derive(Serialize)]
struct PartTrace {
    #[serde(rename = "what")]
    note: String,
    /// Number of other log lines nearby with a note on the same target.
    #[serde(rename = "same_target_noted")]
    notes_nearby: usize,
}

/// A configuration that other hosts had before the request.
#[derive(Debug)]
#[derive(Serialize)]
struct VersionTrace {
    version: u64,
    hosts: usize,
    /// Time from which the first of them had it.
    since: String,
}

impl RequestTrace {
    pub(super) fn new(request: &str, lines: &[LogLine]) -> RequestTrace {
        let mut hosts: Vec<&str> = Vec::new();
        for line in lines.iter().filter(|it| it.has_request_id(request)) {
            if !hosts.contains(&&*line.host) {
                hosts.push(&line.host);
            }
        }
        let hosts = hosts.into_iter().map(|host| HostTrace::new(request, host, lines)).collect();
        RequestTrace {
            request: request.to_owned(),
            hosts,
            unplanned_starts: unplanned_starts(lines),
        }
    }

    pub(super) fn is_found(&self) -> bool {
        !self.hosts.is_empty()
    }

    pub(super) fn print(&self, out: &mut impl Write) -> io::Result<()> {
        if !self.is_found() {
            writeln!(out, "no log line has the request id {}", self.request)?;
            writeln!(
                out,
                "requests are logged when they end; it may have been lost in an unplanned restart:"
            )?;
            return print_events(out, &self.unplanned_starts, true);
        }
        for host in &self.hosts {
            host.print(out)?;
        }
        Ok(())
    }
}

impl HostTrace {
    fn new(request: &str, host: &str, lines: &[LogLine]) -> HostTrace {
        let host_lines: Vec<&LogLine> = lines.iter().filter(|it| it.host == host).collect();
        let is_request_line = |it: &&LogLine| it.has_request_id(request);
        let first = host_lines.iter().position(is_request_line).unwrap_or(0);
        let request_lines: Vec<&LogLine> =
            host_lines.iter().copied().filter(is_request_line).collect();
        let nearby_lines = &host_lines
            [first.saturating_sub(NEARBY_LINES)..(first + NEARBY_LINES).min(host_lines.len())];
        let parts = request_lines.iter().flat_map(|line| line.part_notes()).map(|part| {
            let is_other = |it: &&&LogLine| !it.has_request_id(request);
            let others = nearby_lines.iter().filter(is_other);
            let target = part.target.as_deref();
            let notes_nearby =
                others.filter(|it| target.is_some_and(|target| it.has_note_on(target))).count();
            PartTrace { note: part.text, notes_nearby }
        });
        HostTrace {
            host: host.to_owned(),
            lines: request_lines.iter().map(|it| Event::from(*it)).collect(),
            parts: parts.collect(),
            later_versions: later_versions(&request_lines, lines),
            state_before: state_before(&host_lines[..first], &request_lines),
            changes_after: state_changes(&host_lines[first..], FOLLOWING_LINES),
        }
    }

    fn print(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "{}", self.host)?;
        print_events(out, &self.lines, false)?;
        for part in &self.parts {
            writeln!(out, "    {}", part.note)?;
            if part.notes_nearby > 0 {
                let count = part.notes_nearby;
                writeln!(out, "      notes on the same target in {count} other requests nearby")?;
            }
        }
        for VersionTrace { version, hosts, since } in &self.later_versions {
            writeln!(
                out,
                "  version {version} was in force on {hosts} other hosts, since {since}"
            )?;
        }
        if !self.state_before.is_empty() {
            writeln!(out, "  state of the host before the request:")?;
            print_events(out, &self.state_before, false)?;
        }
        if !self.changes_after.is_empty() {
            writeln!(out, "  state changes soon after:")?;
            print_events(out, &self.changes_after, false)?;
        }
        Ok(())
    }
}

impl VersionTrace {
    /// `lines` are those of hosts that put the version in force.
    fn new(version: u64, lines: &[&LogLine]) -> Option<VersionTrace> {
        let hosts: BTreeSet<&str> = lines.iter().map(|it| &*it.host).collect();
        let first = lines.iter().min_by_key(|it| it.time())?;
        Some(VersionTrace { version, hosts: hosts.len(), since: first.ts.clone() })
    }
}

impl From<&LogLine> for Event {
    fn from(line: &LogLine) -> Event {
        let mut text = line.msg.clone();
        let skipped = ["id", "level", "notes"];
        for (name, value) in line.fields.iter().filter(|(name, _)| !skipped.contains(&&***name)) {
            match value.as_str() {
                Some(value) => text.push_str(&format!(", {name} {value}")),
                None if value.is_null() => {}
                None => text.push_str(&format!(", {name} {value}")),
            }
        }
        Event { host: line.host.clone(), time: line.ts.clone(), text }
    }
}

/// Returns the last message of each kind in [`STATE_MESSAGES`] since the last start
/// of the host, and of each kind in [`TARGET_MESSAGES`] on a target that `request_lines`
/// name, oldest first.
fn state_before(before: &[&LogLine], request_lines: &[&LogLine]) -> Vec<Event> {
    // State from before the last start of the process no longer holds.
    let is_start = |it: &&LogLine| it.msg == "host: starting";
    let start = before.iter().rposition(is_start).unwrap_or(0);
    let before = &before[start..];
    let last = |kinds: &&[&str]| {
        before.iter().rposition(|it| kinds.iter().any(|kind| it.msg.starts_with(kind)))
    };
    let mut found: Vec<usize> = STATE_MESSAGES.iter().filter_map(last).collect();
    found.extend(target_states(before, request_lines));
    found.sort_unstable();
    found.into_iter().map(|index| Event::from(before[index])).collect()
}

/// Returns the index of the last line of each kind in [`TARGET_MESSAGES`] on each target
/// that `request_lines` name.
fn target_states(before: &[&LogLine], request_lines: &[&LogLine]) -> Vec<usize> {
    let mut last: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (index, line) in before.iter().enumerate() {
        let kind = TARGET_MESSAGES.iter().find(|it| line.msg == **it);
        if let Some(kind) = kind
            && let Some(target) = line.str_field("target")
            && request_lines.iter().any(|it| it.names_target(target))
        {
            last.insert((kind, target), index);
        }
    }
    last.into_values().collect()
}

/// Returns the versions that are later than those of `request_lines` and were in force
/// elsewhere before.
fn later_versions(request_lines: &[&LogLine], lines: &[LogLine]) -> Vec<VersionTrace> {
    let Some(first) = request_lines.first() else { return Vec::new() };
    let versions = request_lines.iter().filter_map(|it| it.u64_field("version"));
    let Some(own) = versions.min() else { return Vec::new() };
    let mut later: BTreeMap<u64, Vec<&LogLine>> = BTreeMap::new();
    let elsewhere = lines.iter().filter(|it| it.host != first.host && it.time() < first.time());
    for line in elsewhere.filter(|it| it.msg == CONFIGURATION_MESSAGE) {
        if let Some(version) = line.u64_field("version").filter(|it| *it > own) {
            later.entry(version).or_default().push(line);
        }
    }
    later.into_iter().filter_map(|(version, lines)| VersionTrace::new(version, &lines)).collect()
}

/// Returns the state changes among the first `count` lines of `after`.
fn state_changes(after: &[&LogLine], count: usize) -> Vec<Event> {
    let is_state_change = |it: &&&LogLine| {
        STATE_MESSAGES.iter().flat_map(|it| it.iter()).any(|kind| it.msg.starts_with(kind))
    };
    after.iter().take(count).filter(is_state_change).map(|it| Event::from(*it)).collect()
}

/// Returns the start messages that do not follow a planned end of the same host.
fn unplanned_starts(lines: &[LogLine]) -> Vec<Event> {
    let mut starts = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if line.msg != "host: starting" {
            continue;
        }
        let before = lines[..index].iter().rev().find(|it| it.host == line.host);
        // The first start of a host in the logs counts as planned.
        if before.is_some_and(|it| !PLANNED_END_MESSAGES.iter().any(|end| it.msg.starts_with(end)))
        {
            starts.push(Event::from(line));
        }
    }
    starts
}

fn print_events(out: &mut impl Write, events: &[Event], with_host: bool) -> io::Result<()> {
    for event in events {
        let host = if with_host { format!("{} ", event.host) } else { String::new() };
        writeln!(out, "  {} {host}{}", event.time, event.text)?;
    }
    Ok(())
}
