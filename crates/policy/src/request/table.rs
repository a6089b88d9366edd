//! What this host knows of each target: the last status from its owner and the
//! latency measured from this host. It also tracks owners that do not answer.
//!
//! A target that is leaving stays so for its incarnation, and a status of an
//! earlier incarnation is ignored, so a late status cannot undo a newer one.

use std::time::Duration;

use base::{HashMap, HostName, Snapshot, TargetName, Time};
use documents::Configuration;

use crate::message::TargetStatus;

/// How long an owner that did not answer counts as silent.
const OWNER_AVOIDANCE: Duration = Duration::from_secs(1);
/// An owner that has work in flight and sent nothing for this long is silent.
const OWNER_SILENCE_THRESHOLD: Duration = Duration::from_millis(50);
/// Weight of a new sample in the moving average of a target's latency.
const LATENCY_GAIN: f64 = 0.2;
/// Half-life of the difference between a target's moving average and the pool's
/// median, since the last sample.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
/// Half-life of the wait and the in-flight count that an owner reported.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: HashMap<TargetName, TargetRecord>,
    owners: HashMap<HostName, OwnerRecord>,
    /// Time until which the owner last marked as silent counts as such.
    silent_until: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerRecord {
    last_response: Time,
    silent_until: Time,
}

#[derive(Clone, Debug, Default)]
struct TargetRecord {
    status: Option<TargetStatus>,
    /// When the status was received.
    reported_at: Time,
    /// Subqueries sent since `reported_at`.
    sent_since: u32,
    /// Moving average; 0 without a sample.
    latency_us: f64,
    sampled_at: Time,
}

impl TargetTable {
    /// Updates a target from the status that its owner sent.
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

    /// Returns when the last status of `target` was received.
    pub fn reported_at(&self, target: &TargetName) -> Option<Time> {
        let record = self.targets.get(target)?;
        record.status.as_ref().map(|_| record.reported_at)
    }

    /// Records that a subquery was sent to `target`.
    pub fn record_sent(&mut self, target: &TargetName) {
        let Some(record) = self.targets.get_mut(target) else { return };
        record.sent_since = record.sent_since.saturating_add(1);
    }

    /// Records the latency of an answer, or an estimate for an attempt that is
    /// abandoned because another one answered.
    pub fn record_latency(&mut self, now: Time, target: &TargetName, latency: Duration) {
        let record = self.targets.entry(target.clone()).or_default();
        let sample = latency.as_micros() as f64;
        let mean = record.latency_us;
        record.latency_us =
            if mean == 0.0 { sample } else { mean + (sample - mean) * LATENCY_GAIN };
        record.sampled_at = now;
    }

    /// Records that `target` does not hold `snapshot`.
    pub fn remove_snapshot(&mut self, target: &TargetName, snapshot: Snapshot) {
        let Some(record) = self.targets.get_mut(target) else { return };
        let Some(status) = &mut record.status else { return };
        status.snapshots.retain(|&it| it != snapshot);
    }

    /// Records that `target` takes no new work in its current incarnation.
    pub fn mark_leaving(&mut self, target: &TargetName) {
        let Some(record) = self.targets.get_mut(target) else { return };
        let Some(status) = &mut record.status else { return };
        status.is_leaving = true;
    }

    /// Marks `owner` as silent for `OWNER_AVOIDANCE`.
    pub fn mark_silent(&mut self, now: Time, owner: &HostName) {
        let record = self.owners.entry(owner.clone()).or_default();
        record.silent_until = now + OWNER_AVOIDANCE;
        self.silent_until = record.silent_until;
    }

    /// Records that `owner` answered, so that it no longer counts as silent.
    pub fn mark_responsive(&mut self, now: Time, owner: &HostName) {
        let record = self.owners.entry(owner.clone()).or_default();
        *record = OwnerRecord { last_response: now, silent_until: Time::ZERO };
    }

    /// Marks `owner` as silent if both `sent` and its last response are at least
    /// `OWNER_SILENCE_THRESHOLD` ago. To be called for an attempt that was sent at
    /// `sent` and has no result.
    pub fn mark_silent_if_overdue(&mut self, now: Time, owner: &HostName, sent: Time) {
        let last_response = self.owners.get(owner).map_or(Time::ZERO, |it| it.last_response);
        if now.since(last_response.max(sent)) >= OWNER_SILENCE_THRESHOLD {
            self.mark_silent(now, owner);
        }
    }

    pub fn is_silent(&self, now: Time, owner: &HostName) -> bool {
        self.owners.get(owner).is_some_and(|it| it.silent_until > now)
    }

    /// Returns whether any owner may count as silent, without a look-up by
    /// owner.
    pub fn is_any_silent(&self, now: Time) -> bool {
        self.silent_until > now
    }

    pub fn status(&self, target: &TargetName) -> Option<&TargetStatus> {
        self.targets.get(target)?.status.as_ref()
    }

    /// Returns the expected time from send to answer.
    ///
    /// The target's own latency decays towards `pool_median`, so that a target
    /// that was slow gets work again, and a target without samples counts as
    /// typical. Work beyond the target's limit multiplies the time, and the wait
    /// that the owner predicted is added.
    pub fn expected_latency(
        &self,
        now: Time,
        target: &TargetName,
        pool_median: Duration,
    ) -> Duration {
        let Some(record) = self.targets.get(target) else { return pool_median };
        let pool_median_us = pool_median.as_micros() as f64;
        let known_us = if record.latency_us == 0.0 { pool_median_us } else { record.latency_us };
        let deviation_us =
            decay(known_us - pool_median_us, now.since(record.sampled_at), LATENCY_HALF_LIFE);
        let Some(status) = &record.status else { return pool_median };
        let age = now.since(record.reported_at);
        let wait_us = decay(status.wait.as_micros() as f64, age, WAIT_HALF_LIFE);
        let in_flight = decay(f64::from(status.in_flight), age, WAIT_HALF_LIFE);
        let queue = in_flight + f64::from(record.sent_since) + 1.0;
        let rounds = (queue / f64::from(status.limit.max(1))).max(1.0);
        Duration::from_micros(((pool_median_us + deviation_us) * rounds + wait_us) as u64)
    }

    /// Removes targets that are no longer configured.
    pub fn retain_configured(&mut self, configuration: &Configuration) {
        self.targets.retain(|name, _| configuration.target(name).is_some());
    }

    /// Removes owners that have left the fleet.
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

/// Halves `value` for each `half_life` in `age`.
fn decay(value: f64, age: Duration, half_life: Duration) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
