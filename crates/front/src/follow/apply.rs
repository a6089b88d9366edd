//! Puts items of a feed in force, with what is known of when they changed.

use std::time::Duration;

use base::{HashSet, TargetName, Time};
use forward::{FeedProgress, Position, Provenance, Reach, readers::Origin};
use slog::{info, warn};

use super::{
    calls::{Answer, Call},
    proof::{Proves, record_proof},
};
use crate::{
    SharedCx,
    feeds::{Batch, Feed, Item, Means, Received, SourceError},
};

/// By how much a reader may be behind that doesn't say so. Those of earlier builds wait so
/// long for an answer of the source before they take it for lost.
const UNSTATED_LAG: Duration = Duration::from_secs(30);

/// Applies an answer unless a later one was; returns whether it did. Fails if changes don't
/// follow on the known ones, as the source was restored.
pub(super) fn take(
    cx: &SharedCx,
    feed: Feed,
    origin: Origin,
    answer: Answer,
) -> Result<bool, SourceError> {
    match answer.call {
        Call::Read => Ok(take_read(cx, feed, origin, answer)),
        Call::Changes { after, .. } => take_changes(cx, feed, origin, answer, after),
    }
}

fn take_read(cx: &SharedCx, feed: Feed, origin: Origin, answer: Answer) -> bool {
    let log = cx.change_logs.of(feed);
    let called = answer.called;
    let proves = Proves::by_read(cx, origin, &answer.batch);
    let known_until = called.ago(answer.batch.behind.unwrap_or(UNSTATED_LAG));
    let position = answer.batch.position;
    let stated_until = answer.batch.behind.map(|it| called.ago(it));
    let reach = Reach { position: Some(position), known_until: stated_until };
    let own = log.progress().position();
    // What the source answers now is its state, also where it has fallen back.
    let is_latest = origin == Origin::Source && !answer.is_late && own.is_some();
    if !is_latest && !log.progress().is_news(reach) {
        record_older(cx, feed, origin, position);
        return false;
    }
    record_read(cx, feed, own, position);
    log.update_progress(|it| it.record_position(position));
    log.restart(position);
    apply_all(cx, feed, origin, answer.batch);
    log.update_progress(|it| it.record_complete(known_until, origin.into()));
    record_proof(cx, feed, called, proves);
    true
}

fn take_changes(
    cx: &SharedCx,
    feed: Feed,
    origin: Origin,
    answer: Answer,
    after: Position,
) -> Result<bool, SourceError> {
    let log = cx.change_logs.of(feed);
    let now = cx.clock.now();
    if log.progress().position() != Some(after) {
        return Ok(false);
    }
    if !after.leads_to(answer.batch.position) {
        return Err(SourceError::Restored);
    }
    let age = answer.batch.age.map(|it| it + answer.delay);
    let changes = Batch { age, ..answer.batch };
    let proves = Proves::by_changes(origin, after, &changes);
    let sent_after = log.progress().sent_after(now).min(now.ago(answer.delay));
    let mut proven_at = sent_after.max(answer.called);
    if answer.is_late {
        // The last call doesn't show when they were made.
        log.update_progress(|it| it.record_end());
        proven_at = answer.called;
    }
    let revision = after.revision.max(changes.position.revision);
    let made = when_made(cx, &changes, log.progress(), now);
    let age = made.age.or_else(|| log.progress().age(now));
    let received = Received { from: origin.into(), by: Means::Changes, age };
    let known_until = proven_at.ago(changes.behind.unwrap_or(UNSTATED_LAG));
    log.update_progress(|it| {
        it.record_complete(known_until, origin.into());
        it.record_position(Position { revision, ..after });
    });
    log.push(revision, &changes.items, now.since(made.removed_since), now);
    changes.items.into_iter().for_each(|it| apply(cx, it, made, received));
    record_proof(cx, feed, answer.called, proves);
    Ok(true)
}

/// Records that a complete read leads from the own position to another one.
fn record_read(cx: &SharedCx, feed: Feed, own: Option<Position>, read: Position) {
    let Some(own) = own.filter(|it| read.is_restored_since(*it)) else {
        cx.metrics.record_feed_read(feed.as_str(), "applied");
        return;
    };
    cx.metrics.record_feed_read(feed.as_str(), "restored");
    warn!(cx.log, "follow: the source was restored from an older copy";
        "feed" => ?feed, "known" => %own, "restored" => %read);
}

/// Records that a complete read was not applied, as later state is known.
fn record_older(cx: &SharedCx, feed: Feed, origin: Origin, offered: Position) {
    cx.metrics.record_feed_read(feed.as_str(), "older");
    let known = cx.change_logs.of(feed).progress().position();
    info!(cx.log, "follow: ignored a complete read that is older than what is known";
        "feed" => ?feed, "origin" => %Provenance::from(origin),
        "known" => known.map(|it| it.to_string()), "offered" => %offered);
}

/// When changes were made.
#[derive(Clone, Copy, Debug)]
struct Made {
    /// Largest age of the changes; `None` if it is unknown or entries may have lapsed.
    age: Option<Duration>,
    /// Time since which targets whose entries were removed count as leaving.
    removed_since: Time,
}

/// Returns when changes were made that an answer, read now, tells of.
fn when_made(cx: &SharedCx, changes: &Batch, progress: FeedProgress, now: Time) -> Made {
    if is_lapse(cx, &changes.items) {
        return Made { age: None, removed_since: now };
    }
    let leaving_for = cx.targets.borrow().leaving_for();
    let age = changes.age.or_else(|| progress.max_age(leaving_for, now));
    let known_until = age.map(|it| now.ago(it)).or_else(|| progress.proven_until());
    Made { age, removed_since: known_until.unwrap_or(now) }
}

/// Returns whether the changes show that entries lapsed.
fn is_lapse(cx: &SharedCx, items: &[Item]) -> bool {
    let removed = items.iter().filter(|it| matches!(it, Item::TargetRemoved(_))).count();
    cx.targets.borrow().is_lapse(removed)
}

fn apply_all(cx: &SharedCx, feed: Feed, origin: Origin, batch: Batch) {
    let now = cx.clock.now();
    let made = Made { age: None, removed_since: now };
    let age = cx.change_logs.of(feed).progress().age(now);
    let received = Received { from: origin.into(), by: Means::CompleteRead, age };
    match feed {
        Feed::Targets => {
            let names = batch.items.iter().filter_map(|it| match it {
                Item::Target(report) => Some(report.name.clone()),
                _ => None,
            });
            let listed: HashSet<TargetName> = names.collect();
            for item in batch.items {
                match item {
                    Item::Target(report) => cx.update_target_late(report),
                    other => apply(cx, other, made, received),
                }
            }
            cx.retain_listed(&listed);
        }
        Feed::Operations => {
            let domains = batch.items.iter().filter_map(|it| match it {
                Item::Evacuated(domain) => Some(domain.clone()),
                _ => None,
            });
            cx.set_evacuated(domains.collect());
            let is_configuration = |it: &Item| matches!(it, Item::Configuration(_));
            let changes = batch.items.into_iter().filter(is_configuration);
            changes.for_each(|it| apply(cx, it, made, received));
        }
    }
}

fn apply(cx: &SharedCx, item: Item, made: Made, received: Received) {
    match (item, made.age) {
        (Item::Target(report), Some(age)) => cx.update_target(report, age),
        (Item::Target(report), None) => cx.update_target_late(report),
        (Item::TargetRemoved(name), _) => cx.unlist_target(&name, made.removed_since),
        (Item::Configuration(cfg), _) => cx.apply_configuration_of(&cfg, received),
        (Item::Evacuated(domain), _) => cx.set_evacuation(domain, true),
        (Item::EvacuationEnded(domain), _) => cx.set_evacuation(domain, false),
    }
}
