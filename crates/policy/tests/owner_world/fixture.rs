//! Test fixture: a world with one target, with helpers to submit work and to
//! inspect results.

use std::time::Duration;

use assert_matches::assert_matches;
use base::{AttemptId, Missing, Outcome, Share, TargetName};
use documents::model::PolicySettings;
use policy::{
    message::PartResult,
    owner::{LimitCause, TargetEvent},
};

pub const SECOND: Duration = Duration::from_secs(1);

use super::World;

/// A world with the target `t0` and the service `s`.
pub struct Fixture {
    pub world: World,
    pub target: TargetName,
}

impl Fixture {
    pub fn new() -> Self {
        let mut world = World::new(1, 1, PolicySettings::default());
        world.run_for(Duration::from_millis(100));
        Fixture { world, target: "t0".into() }
    }

    /// Creates a target that is not assigned to this owner.
    pub fn unassigned() -> Self {
        let mut f =
            Fixture { world: World::new(1, 1, PolicySettings::default()), target: "t0".into() };
        f.world.assign_all([]);
        f.world.run_for(31 * SECOND);
        f
    }

    /// Passes on the limit that another owner has proven.
    pub fn learn(&mut self, incarnation: u64, limit: u32) {
        self.world.learn(&self.target.clone(), incarnation, limit);
    }

    /// Creates a target that has proven all its slots.
    pub fn warm() -> Self {
        Self::with_settings(PolicySettings::default())
    }

    pub fn with_settings(settings: PolicySettings) -> Self {
        let mut f = Fixture { world: World::new(1, 1, settings), target: "t0".into() };
        f.load(5 * SECOND, 300);
        f.world.run_for(SECOND);
        assert_eq!(f.limit(), 3);
        f.world.target_events.clear();
        f
    }

    pub fn assign(&mut self, share: Share) {
        self.world.assign_all([(self.target.clone(), share)]);
    }

    pub fn submit(&mut self, time_left: Duration) -> AttemptId {
        self.world.submit(&"s".into(), &self.target, time_left, true)
    }

    /// Submits `per_second` evenly spaced subqueries for `time`.
    pub fn load(&mut self, time: Duration, per_second: u32) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.submit(Duration::from_millis(200));
            self.world.run_for(SECOND / per_second);
        }
    }

    pub fn limit(&self) -> u32 {
        self.world.core.status(self.world.now, None)[0].limit
    }

    pub fn result(&self, attempt: AttemptId) -> Option<&PartResult> {
        self.world.parts.iter().find(|it| it.attempt == attempt).map(|it| &it.result)
    }

    pub fn is_answered(&self, attempt: AttemptId) -> bool {
        matches!(self.result(attempt), Some(PartResult::Answer { .. }))
    }

    #[track_caller]
    pub fn failure(&self, attempt: AttemptId) -> (Missing, Outcome) {
        let result = self.result(attempt);
        assert_matches!(result, Some(PartResult::Failed { missing, outcome }) => {
            (*missing, *outcome)
        })
    }

    pub fn has_failed_with(&self, attempt: AttemptId, expected: Missing) -> bool {
        let result = self.result(attempt);
        matches!(result, Some(PartResult::Failed { missing, .. }) if *missing == expected)
    }

    pub fn was_limit_lowered_by(&self, expected: LimitCause) -> bool {
        self.has_event(
            |it| matches!(it, TargetEvent::LimitLowered { cause, .. } if *cause == expected),
        )
    }

    pub fn has_event(&self, wanted: impl Fn(&TargetEvent) -> bool) -> bool {
        self.world.target_events.iter().any(|it| wanted(&it.1))
    }
}
