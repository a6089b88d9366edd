//! Draws the actions of each kind of days.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{Action, CALM, Size, Timed};
use crate::soak::{
    operator::Change,
    store::HostFault,
    targets::{Departure, Pause},
};

/// Changes that are made before the store loses them.
const LOST_CHANGES: u32 = 16;

/// Targets that leave after each silence or loss of the store.
const LEAVING_TARGETS: usize = 4;

/// Targets that say at once that they leave, at most: as many as a shard has.
const STATED_LEAVES: usize = 2;
/// Targets that ask for a pause at once, at most: as many as a service has.
const STATED_PAUSES: usize = 6;

/// A timeline that is being drawn.
pub struct Draft {
    rng: StdRng,
    size: Size,
    actions: Vec<Timed>,
}

impl Draft {
    pub fn new(seed: u64, size: Size) -> Self {
        Draft { rng: StdRng::seed_from_u64(seed), size, actions: Vec::new() }
    }

    /// Returns the actions in the order of time, without those at the end of the run.
    pub fn finish(mut self) -> Vec<Timed> {
        let end = self.size.time.saturating_sub(CALM);
        self.actions.retain(|(at, _)| *at < end);
        self.actions.sort_by_key(|(at, _)| *at);
        self.actions
    }

    /// Every 24 s a change, a silence at once after it, and after the silence changes, and
    /// targets that leave.
    pub fn silences(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            let silent = self.millis(3_000, 6_000);
            self.add(at, Action::Configure(Change::AddsRoutes(2)));
            let soon = at + self.millis(50, 400);
            self.add(soon, Action::SilenceStore(silent));
            let next = at + self.millis(10_000, 13_000);
            self.add(next, Action::Configure(Change::MovesAll));
            let later = next + self.millis(200, 600);
            self.add(later, Action::Configure(Change::AddsRoutes(3)));
            for _ in 0..LEAVING_TARGETS {
                let place = self.rng.random_range(0..self.size.targets);
                let how = Departure::Withdraws;
                self.add(later, Action::ReplaceTarget { place, how, reuses_address: false });
            }
            at += Duration::from_secs(24);
        }
    }

    /// Spans in which answers wait, some longer than calls do.
    pub fn lateness(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            let delay =
                Duration::from_millis([300, 800, 1_500, 2_500][self.rng.random_range(0..4)]);
            let time = self.millis(3_000, 9_000);
            self.add(at, Action::DelayStore { delay, time });
            at += time + self.millis(3_000, 9_000);
        }
    }

    /// Single changes of the configuration, and some that come in quick succession.
    pub fn changes(&mut self) {
        let mut at = self.millis(2_000, 5_000);
        while at < self.size.time {
            let count = if self.rng.random_bool(0.2) { self.rng.random_range(4..12) } else { 1 };
            for number in 0..count {
                let change = self.change();
                self.add(at + Duration::from_millis(330) * number, Action::Configure(change));
            }
            at += self.millis(1_500, 7_000);
        }
    }

    fn change(&mut self) -> Change {
        match self.rng.random_range(0..10) {
            0..2 => Change::MovesAll,
            2..4 => Change::MovesOne,
            4 => Change::Reshards,
            5..8 => Change::AddsRoutes(self.rng.random_range(1..6)),
            8 => Change::RemovesRoutes(self.rng.random_range(1..4)),
            _ => Change::Limits,
        }
    }

    pub fn target_changes(&mut self) {
        let mut at = self.millis(3_000, 6_000);
        while at < self.size.time {
            let place = self.rng.random_range(0..self.size.targets);
            let action = match self.rng.random_range(0..10) {
                0..5 => {
                    let reuses_address = self.rng.random_bool(0.5);
                    Action::ReplaceTarget { place, how: Departure::Drains, reuses_address }
                }
                5..8 => {
                    let reuses_address = self.rng.random_bool(0.5);
                    Action::ReplaceTarget { place, how: Departure::Withdraws, reuses_address }
                }
                _ => {
                    let keeps_id = self.rng.random_bool(0.5);
                    Action::CrashTarget { place, down: self.millis(500, 4_000), keeps_id }
                }
            };
            self.add(at, action);
            at += self.millis(800, 4_000);
        }
    }

    pub fn store_faults(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            let time = self.millis(1_000, 6_000);
            let action = match self.rng.random_range(0..12) {
                0..4 => Action::SilenceStore(time),
                4..6 => {
                    let delays = [300, 800, 1_500];
                    let delay = Duration::from_millis(delays[self.rng.random_range(0..3)]);
                    Action::DelayStore { delay, time }
                }
                6..8 => Action::LoseAnswers { one_of: self.rng.random_range(2..6), time },
                8 => Action::DropHistory,
                _ => self.shut_out(time),
            };
            self.add(at, action);
            at += self.millis(4_000, 14_000);
        }
    }

    /// Restores of the store, at times two in a row.
    pub fn restores(&mut self) {
        let mut at = CALM + self.millis(0, 10_000);
        while at < self.size.time {
            let restore = self.restore();
            self.add(at, restore);
            let gap = if self.rng.random_bool(0.25) { (3_000, 8_000) } else { (12_000, 30_000) };
            at += self.millis(gap.0, gap.1);
        }
    }

    /// Every 28 s many changes that the store loses, and after its return targets that leave and
    /// a change, before its revision is as high again.
    pub fn lost_changes(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            for number in 0..LOST_CHANGES {
                let change = Change::AddsRoutes(1);
                self.add(at + Duration::from_millis(200) * number, Action::Configure(change));
            }
            let restore = self.restore();
            let away = at + self.millis(4_000, 6_000);
            self.add(away, restore);
            let later = at + self.millis(14_000, 20_000);
            for _ in 0..LEAVING_TARGETS {
                let place = self.rng.random_range(0..self.size.targets);
                let how = Departure::Withdraws;
                self.add(later, Action::ReplaceTarget { place, how, reuses_address: false });
            }
            self.add(later, Action::Configure(Change::MovesAll));
            at += Duration::from_secs(28);
        }
    }

    fn restore(&mut self) -> Action {
        let (age, away) = (self.millis(2_000, 14_000), self.millis(300, 4_000));
        Action::RestoreStore { age, away, until_written: self.millis(50, 1_800) }
    }

    pub fn readers(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            let count = self.rng.random_range(1..5);
            let time = self.millis(2_000, 12_000);
            let action = match self.rng.random_range(0..6) {
                0 => Action::FreezeReaders(count, time),
                1 => Action::KillReaders(count, time),
                2 => Action::CutReaders { count, fault: HostFault::Refused, time },
                3 => Action::CutReaders { count, fault: HostFault::Cut, time },
                _ => Action::CutReaders { count, fault: HostFault::Silent, time },
            };
            self.add(at, action);
            let soon = at + self.millis(100, 1_500);
            self.add(soon, Action::Configure(Change::MovesAll));
            at += self.millis(5_000, 15_000);
        }
    }

    fn shut_out(&mut self, time: Duration) -> Action {
        let share = self.rng.random_range(0.1..0.4);
        let hosts = (0..self.size.hosts).filter(|_| self.rng.random_bool(share)).collect();
        let faults = [HostFault::Refused, HostFault::Cut, HostFault::Silent];
        Action::ShutOut { hosts, fault: faults[self.rng.random_range(0..3)], time }
    }

    pub fn host_faults(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            let host = self.rng.random_range(0..self.size.hosts);
            let time = self.millis(700, 5_000);
            let action = match self.rng.random_range(0..12) {
                0..2 => Action::StopHost(host),
                2..4 => Action::KillHost(host, time),
                4..6 => Action::FreezeHost(host, time),
                6 => Action::HangUpHost(host),
                7..10 => Action::FreezeReaders(self.rng.random_range(1..3), time),
                _ => Action::KillReaders(self.rng.random_range(1..3), time),
            };
            self.add(at, action);
            at += self.millis(1_500, 8_000);
        }
    }

    /// Keys are revoked and added, limits change, and the first customer sends too much.
    pub fn keys(&mut self) {
        let mut at = self.millis(2_000, 5_000);
        while at < self.size.time {
            let change = match self.rng.random_range(0..10) {
                0..5 => Change::RevokesKey,
                5..9 => Change::AddsKey,
                _ => Change::ChangesCustomer,
            };
            self.add(at, Action::Configure(change));
            at += self.millis(500, 3_000);
        }
        let mut at = CALM;
        while at < self.size.time {
            let (factor, time) = (self.rng.random_range(4..10), self.millis(5_000, 10_000));
            self.add(at, Action::HeatCustomer { factor, time });
            at += time + self.millis(3_000, 8_000);
        }
    }

    /// All hosts are stopped in turn, and again after a pause.
    pub fn stops(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            for host in 0..self.size.hosts {
                self.add(at, Action::StopHost(host));
                at += self.millis(800, 2_500);
            }
            let host = self.rng.random_range(0..self.size.hosts);
            self.add(at + CALM, Action::HangUpHost(host));
            at += CALM * 2;
        }
    }

    /// Targets that say in their answers that they leave, and that they want a pause.
    pub fn stated(&mut self) {
        let mut at = CALM;
        while at < self.size.time {
            if self.rng.random_bool(0.4) {
                for place in self.places(STATED_LEAVES) {
                    let how = Departure::States;
                    self.add(at, Action::ReplaceTarget { place, how, reuses_address: false });
                }
            } else {
                let places = self.places(STATED_PAUSES);
                let one_of = [1, 1, 3][self.rng.random_range(0..3)];
                let pause = Pause { length: self.millis(500, 5_000), one_of };
                let time = self.millis(500, 4_000);
                self.add(at, Action::PauseTargets { places, pause, time });
            }
            at += self.millis(1_000, 4_000);
        }
    }

    /// Returns places that follow each other, mostly one.
    fn places(&mut self, limit: usize) -> Vec<usize> {
        let count = if self.rng.random_bool(0.6) { 1 } else { self.rng.random_range(2..=limit) };
        let first = self.rng.random_range(0..self.size.targets);
        (first..self.size.targets).take(count).collect()
    }

    /// All hosts are replaced, in an order of their own.
    pub fn replacement(&mut self) {
        let mut order: Vec<usize> = (0..self.size.hosts).collect();
        order.shuffle(&mut self.rng);
        let pause_at_half = self.millis(6_000, 12_000);
        self.add(CALM, Action::ReplaceHosts { order, pause_at_half });
    }

    fn add(&mut self, at: Duration, action: Action) {
        self.actions.push((at, action));
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }
}
