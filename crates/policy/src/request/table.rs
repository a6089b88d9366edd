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
    latency_us: f64,
    sampled: Time,
}

impl TargetTable {
    /// Takes in an owner's word of a target.
    pub fn learn(&mut self, status: &TargetStatus) {
        let record = self.targets.entry(status.target.clone()).or_default();
        let mut status = status.clone();
        if let Some(known) = &record.status {
            if status.incarnation < known.incarnation {
                return;
            }
            status.is_leaving |= status.incarnation == known.incarnation && known.is_leaving;
        }
        record.status = Some(status);
    }

    /// Takes in the latency of one answer, or of one that did not come.
    pub fn observe_latency(&mut self, now: Time, target: &TargetName, latency: Duration) {
        let record = self.targets.entry(target.clone()).or_default();
        let sample = latency.as_micros() as f64;
        let mean = record.latency_us;
        record.latency_us =
            if mean == 0.0 { sample } else { mean + (sample - mean) * LATENCY_GAIN };
        record.sampled = now;
    }

    /// Records that a target does not hold a snapshot any more.
    pub fn forget_snapshot(&mut self, target: &TargetName, snapshot: Snapshot) {
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

    pub fn mark_heard(&mut self, now: Time, owner: &HostName) {
        let record = self.owners.entry(owner.clone()).or_default();
        *record = OwnerRecord { heard: now, silent_until: Time::ZERO };
    }

    /// Records that an attempt sent at `sent` is still open. The owner counts
    /// as silent if nothing else came from it for long enough either.
    pub fn mark_unheard(&mut self, now: Time, owner: &HostName, sent: Time) {
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

    /// Expected time from hand-over to answer; fades while there are no
    /// samples, so that a target that was slow once gets another chance.
    pub fn expected_latency(&self, now: Time, target: &TargetName) -> Duration {
        let Some(record) = self.targets.get(target) else { return Duration::ZERO };
        let age = now.since(record.sampled).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let latency = record.latency_us * 0.5_f64.powf(age);
        let wait = record.status.as_ref().map_or(Duration::ZERO, |it| it.wait);
        Duration::from_micros(latency as u64) + wait
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
