//! What the logs tell of one request.

use std::io::{self, Write};

use serde::Serialize;

use super::line::LogLine;

/// Lines of a host around a request in which its targets are looked for.
const NEIGHBOURS: usize = 400;

/// Lines of a host after a request in which changes of its beliefs are shown.
const SOON: usize = 150;

/// Messages by which a host says what it believes from then on. Of each kind
/// the last one before the request counts.
const BELIEFS: [&[&str]; 7] = [
    &["host: starting"],
    &["front: stopping"],
    &["front: configuration in force"],
    &["follow: the source is lost", "follow: the source is back"],
    &["front: reach changed"],
    &["front: evacuated domains changed"],
    &["front: number of hosts changed"],
];

/// Signs of a host that ended as planned.
const PLANNED_ENDS: [&str; 2] = ["front: stopping", "host: ended"];

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Story {
    request: String,
    chapters: Vec<Chapter>,
    /// Hosts that started again without a planned end before. A request that no
    /// line names may have been lost with one of them.
    unplanned_starts: Vec<Event>,
}

/// What one host did with the request.
#[derive(Debug)]
#[derive(Serialize)]
struct Chapter {
    host: String,
    lines: Vec<Event>,
    parts: Vec<PartStory>,
    believed: Vec<Event>,
    /// What it came to believe soon after; what is cut off shows late.
    soon_after: Vec<Event>,
}

#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Event {
    host: String,
    at: String,
    what: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct PartStory {
    what: String,
    /// Other requests of that time in which the same target is noted.
    same_target_noted: usize,
}

impl Story {
    pub(super) fn of(request: &str, lines: &[LogLine]) -> Story {
        let mut hosts: Vec<&str> = Vec::new();
        for line in lines.iter().filter(|it| it.is_about(request)) {
            if !hosts.contains(&&*line.host) {
                hosts.push(&line.host);
            }
        }
        let chapters = hosts.into_iter().map(|host| Chapter::of(request, host, lines)).collect();
        Story { request: request.to_owned(), chapters, unplanned_starts: unplanned_starts(lines) }
    }

    pub(super) fn is_found(&self) -> bool {
        !self.chapters.is_empty()
    }

    pub(super) fn print(&self, out: &mut impl Write) -> io::Result<()> {
        if !self.is_found() {
            writeln!(out, "no line names request {}", self.request)?;
            writeln!(out, "a host logs a request when it ends, so it may have ended with one:")?;
            return print_events(out, &self.unplanned_starts, true);
        }
        for chapter in &self.chapters {
            chapter.print(out)?;
        }
        Ok(())
    }
}

impl Chapter {
    fn of(request: &str, host: &str, lines: &[LogLine]) -> Chapter {
        let of_host: Vec<&LogLine> = lines.iter().filter(|it| it.host == host).collect();
        let is_own = |it: &&LogLine| it.is_about(request);
        let first = of_host.iter().position(is_own).unwrap_or(0);
        let own: Vec<&LogLine> = of_host.iter().copied().filter(is_own).collect();
        let near =
            &of_host[first.saturating_sub(NEIGHBOURS)..(first + NEIGHBOURS).min(of_host.len())];
        let parts = own.iter().flat_map(|line| line.noted_parts()).map(|part| {
            let is_other = |it: &&&LogLine| !it.is_about(request);
            let others = near.iter().filter(is_other);
            let target = part.target.as_deref();
            let same_target_noted =
                others.filter(|it| target.is_some_and(|target| it.names(target))).count();
            PartStory { what: part.text, same_target_noted }
        });
        Chapter {
            host: host.to_owned(),
            lines: own.iter().map(|it| Event::from(*it)).collect(),
            parts: parts.collect(),
            believed: beliefs(&of_host[..first]),
            soon_after: changes(&of_host[first..], SOON),
        }
    }

    fn print(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "{}", self.host)?;
        print_events(out, &self.lines, false)?;
        for part in &self.parts {
            writeln!(out, "    {}", part.what)?;
            if part.same_target_noted > 0 {
                let count = part.same_target_noted;
                writeln!(out, "      noted for this target in {count} other requests near it")?;
            }
        }
        if !self.believed.is_empty() {
            writeln!(out, "  the host believed then:")?;
            print_events(out, &self.believed, false)?;
        }
        if !self.soon_after.is_empty() {
            writeln!(out, "  and soon after:")?;
            print_events(out, &self.soon_after, false)?;
        }
        Ok(())
    }
}

impl From<&LogLine> for Event {
    fn from(line: &LogLine) -> Event {
        let mut what = line.msg.clone();
        let skipped = ["id", "level", "notes"];
        for (name, value) in line.fields.iter().filter(|(name, _)| !skipped.contains(&&***name)) {
            match value.as_str() {
                Some(text) => what.push_str(&format!(", {name} {text}")),
                None if value.is_null() => {}
                None => what.push_str(&format!(", {name} {value}")),
            }
        }
        Event { host: line.host.clone(), at: line.ts.clone(), what }
    }
}

/// The last word of each kind before the request, oldest first.
fn beliefs(before: &[&LogLine]) -> Vec<Event> {
    // What was believed before the process started is forgotten.
    let is_start = |it: &&LogLine| it.msg == "host: starting";
    let start = before.iter().rposition(is_start).unwrap_or(0);
    let before = &before[start..];
    let last = |kinds: &&[&str]| {
        before.iter().rposition(|it| kinds.iter().any(|kind| it.msg.starts_with(kind)))
    };
    let mut found: Vec<usize> = BELIEFS.iter().filter_map(last).collect();
    found.sort_unstable();
    found.into_iter().map(|index| Event::from(before[index])).collect()
}

/// What the host says of its beliefs in the next `count` lines.
fn changes(after: &[&LogLine], count: usize) -> Vec<Event> {
    let is_belief = |it: &&&LogLine| {
        BELIEFS.iter().flat_map(|it| it.iter()).any(|kind| it.msg.starts_with(kind))
    };
    after.iter().take(count).filter(is_belief).map(|it| Event::from(*it)).collect()
}

fn unplanned_starts(lines: &[LogLine]) -> Vec<Event> {
    let mut starts = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if line.msg != "host: starting" {
            continue;
        }
        let before = lines[..index].iter().rev().find(|it| it.host == line.host);
        // The first start of all, or one after a planned end, is expected.
        if before.is_some_and(|it| !PLANNED_ENDS.iter().any(|end| it.msg.starts_with(end))) {
            starts.push(Event::from(line));
        }
    }
    starts
}

fn print_events(out: &mut impl Write, events: &[Event], with_host: bool) -> io::Result<()> {
    for event in events {
        let host = if with_host { format!("{} ", event.host) } else { String::new() };
        writeln!(out, "  {} {host}{}", event.at, event.what)?;
    }
    Ok(())
}
