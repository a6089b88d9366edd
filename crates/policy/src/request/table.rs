//! What this host knows of each target: the last word of its owner and the
//! latency seen from here. Owners that did not answer are kept here too.
//!
//! A leaving sign sticks to the target's incarnation, and word of an earlier
//! incarnation is ignored, so late news never undoes newer news.

use std::time::Duration;

use base::{HashMap, HostName, Snapshot, TargetName, Time};
use documents::Configuration;

use crate::message::TargetStatus;

/// How long an owner that gave no answer is passed over.
const OWNER_AVOIDANCE: Duration = Duration::from_secs(1);
/// An owner that said nothing for this long while it held work is silent.
const OWNER_SILENCE: Duration = Duration::from_millis(50);
/// Weight of a new latency in the running mean.
const LATENCY_GAIN: f64 = 0.2;
/// After this long without a sample half of the running mean is forgotten.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
/// The same for the wait that an owner predicted.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: HashMap<TargetName, Record>,
    owners: HashMap<HostName, OwnerRecord>,
    /// End of the last avoidance of any owner.
    silent_until: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerRecord {
    heard: Time,
    silent_until: Time,
}

#[derive(Clone, Debug, Default)]
struct Record {
    status: Option<TargetStatus>,
    /// When the status came.
    reported_at: Time,
    /// Subqueries sent since then.
    sent_since: u32,
    latency_us: f64,
    sampled: Time,
}

impl TargetTable {
    /// Takes in an owner's word of a target.
    pub fn learn(&mut self, now: Time, status: &TargetStatus) {
        let record = self.targets.entry(status.target.clone()).or_default();
        let mut status = status.clone();
        if let Some(known) = &record.status {
            if status.incarnation < known.incarnation {
                return;
            }
            status.is_leaving |= status.incarnation == known.incarnation && known.is_leaving;
        }
        record.status = Some(status);
        record.reported_at = now;
        record.sent_since = 0;
    }

    /// When an owner last told of a target.
    pub fn reported_at(&self, target: &TargetName) -> Option<Time> {
        let record = self.targets.get(target)?;
        record.status.as_ref().map(|_| record.reported_at)
    }

    /// Counts a subquery that was sent to a target.
    pub fn record_sent(&mut self, target: &TargetName) {
        let Some(record) = self.targets.get_mut(target) else { return };
        record.sent_since = record.sent_since.saturating_add(1);
    }

    /// Takes in the latency of one answer, or of one that did not come.
    pub fn record_latency(&mut self, now: Time, target: &TargetName, latency: Duration) {
        let record = self.targets.entry(target.clone()).or_default();
        let sample = latency.as_micros() as f64;
        let mean = record.latency_us;
        record.latency_us =
            if mean == 0.0 { sample } else { mean + (sample - mean) * LATENCY_GAIN };
        record.sampled = now;
    }

    /// Records that a target does not hold a snapshot any more.
    pub fn remove_snapshot(&mut self, target: &TargetName, snapshot: Snapshot) {
        let Some(record) = self.targets.get_mut(target) else { return };
        let Some(status) = &mut record.status else { return };
        status.snapshots.retain(|&it| it != snapshot);
    }

    /// Records that a target takes no new work in its present incarnation.
    pub fn mark_leaving(&mut self, target: &TargetName) {
        let Some(record) = self.targets.get_mut(target) else { return };
        let Some(status) = &mut record.status else { return };
        status.is_leaving = true;
    }

    /// Records that an owner gave no answer.
    pub fn mark_silent(&mut self, now: Time, owner: &HostName) {
        let record = self.owners.entry(owner.clone()).or_default();
        record.silent_until = now + OWNER_AVOIDANCE;
        self.silent_until = record.silent_until;
    }

    pub fn mark_responsive(&mut self, now: Time, owner: &HostName) {
        let record = self.owners.entry(owner.clone()).or_default();
        *record = OwnerRecord { heard: now, silent_until: Time::ZERO };
    }

    /// Records that an attempt sent at `sent` is still open. The owner counts
    /// as silent if nothing else came from it for long enough either.
    pub fn mark_silent_if_overdue(&mut self, now: Time, owner: &HostName, sent: Time) {
        let heard = self.owners.get(owner).map_or(Time::ZERO, |it| it.heard);
        if now.since(heard.max(sent)) >= OWNER_SILENCE {
            self.mark_silent(now, owner);
        }
    }

    pub fn is_silent(&self, now: Time, owner: &HostName) -> bool {
        self.owners.get(owner).is_some_and(|it| it.silent_until > now)
    }

    /// Whether any owner counts as silent; spares looking each one up.
    pub fn is_any_silent(&self, now: Time) -> bool {
        self.silent_until > now
    }

    pub fn status(&self, target: &TargetName) -> Option<&TargetStatus> {
        self.targets.get(target)?.status.as_ref()
    }

    /// Expected time from hand-over to answer.
    ///
    /// What is known of a target fades towards `typical`, the pool's usual
    /// latency, so that one that was slow once gets another chance and a fresh
    /// one no more trust than others. Work beyond its limit waits its turn.
    pub fn expected_latency(&self, now: Time, target: &TargetName, typical: Duration) -> Duration {
        let Some(record) = self.targets.get(target) else { return typical };
        let typical_us = typical.as_micros() as f64;
        let known_us = if record.latency_us == 0.0 { typical_us } else { record.latency_us };
        let deviation_us =
            fade(known_us - typical_us, now.since(record.sampled), LATENCY_HALF_LIFE);
        let Some(status) = &record.status else { return typical };
        let age = now.since(record.reported_at);
        let wait_us = fade(status.wait.as_micros() as f64, age, WAIT_HALF_LIFE);
        let in_flight = fade(f64::from(status.in_flight), age, WAIT_HALF_LIFE);
        let queue = in_flight + f64::from(record.sent_since) + 1.0;
        let turns = (queue / f64::from(status.limit.max(1))).max(1.0);
        Duration::from_micros(((typical_us + deviation_us) * turns + wait_us) as u64)
    }

    /// Drops targets that no document names any more.
    pub fn retain_configured(&mut self, configuration: &Configuration) {
        self.targets.retain(|name, _| configuration.target(name).is_some());
    }

    /// Drops hosts that have left the fleet.
    pub fn retain_owners(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.owners.retain(|owner, _| is_known(owner));
    }

    pub fn len(&self) -> usize {
        self.targets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

fn fade(value: f64, age: Duration, half_life: Duration) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
