//! The timeline of a run, drawn from its seed.

use std::{str::FromStr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{operator::Change, record::HostIndex, store::HostFault, targets::Departure};

/// Calm before the first action, and at the end of the run.
pub const CALM: Duration = Duration::from_secs(6);

/// Targets that leave after each silence of the store.
const LEAVING_TARGETS: usize = 4;

/// Which actions a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Days {
    /// The configuration and the targets change, and nothing fails.
    Changes,
    /// The store falls silent just after a change.
    Silence,
    /// The store answers late, while the configuration and targets change.
    Late,
    /// Hosts are stopped in turn, while the configuration changes.
    Stops,
    /// Everything overlaps.
    Mixed,
}

impl FromStr for Days {
    type Err = String;

    fn from_str(text: &str) -> Result<Days, String> {
        match text {
            "changes" => Ok(Days::Changes),
            "silence" => Ok(Days::Silence),
            "late" => Ok(Days::Late),
            "stops" => Ok(Days::Stops),
            "mixed" => Ok(Days::Mixed),
            _ => Err(format!("`{text}` is none of changes, silence, late, stops, mixed")),
        }
    }
}

/// What is done at a moment of the run.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Configure(Change),
    /// Calls get no answer.
    SilenceStore(Duration),
    /// All answers wait for `delay`.
    DelayStore {
        delay: Duration,
        time: Duration,
    },
    /// One of so many answers is lost.
    LoseAnswers {
        one_of: u64,
        time: Duration,
    },
    DropHistory,
    /// The store treats some hosts badly.
    ShutOut {
        hosts: Vec<HostIndex>,
        fault: HostFault,
        time: Duration,
    },
    StopHost(HostIndex),
    KillHost(HostIndex, Duration),
    FreezeHost(HostIndex, Duration),
    HangUpHost(HostIndex),
    /// So many of the hosts that read the store then are frozen.
    FreezeReaders(usize, Duration),
    /// So many of the hosts that read the store then are killed.
    KillReaders(usize, Duration),
    ReplaceTarget {
        place: usize,
        how: Departure,
        reuses_address: bool,
    },
    CrashTarget {
        place: usize,
        down: Duration,
        keeps_id: bool,
    },
}

/// An action and the time from the start of the load at which it begins.
pub type Timed = (Duration, Action);

/// Sizes that a plan has to know.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub hosts: usize,
    pub targets: usize,
    pub time: Duration,
}

/// Draws the timeline of a run.
pub fn draw(days: Days, seed: u64, size: Size) -> Vec<Timed> {
    let mut draft = Draft { rng: StdRng::seed_from_u64(seed), size, actions: Vec::new() };
    match days {
        Days::Changes => {
            draft.changes();
            draft.target_changes();
        }
        Days::Silence => draft.silences(),
        Days::Late => {
            draft.lateness();
            draft.changes();
            draft.target_changes();
        }
        Days::Stops => {
            draft.stops();
            draft.changes();
        }
        Days::Mixed => {
            draft.changes();
            draft.target_changes();
            draft.store_faults();
            draft.host_faults();
        }
    }
    let end = size.time.saturating_sub(CALM);
    draft.actions.retain(|(at, _)| *at < end);
    draft.actions.sort_by_key(|(at, _)| *at);
    draft.actions
}

struct Draft {
    rng: StdRng,
    size: Size,
    actions: Vec<Timed>,
}

impl Draft {
    /// Every 24 s a change, a silence at once after it, and after the silence changes, and
    /// targets that leave.
    fn silences(&mut self) {
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
    fn lateness(&mut self) {
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
    fn changes(&mut self) {
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

    fn target_changes(&mut self) {
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

    fn store_faults(&mut self) {
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

    fn shut_out(&mut self, time: Duration) -> Action {
        let share = self.rng.random_range(0.1..0.4);
        let hosts = (0..self.size.hosts).filter(|_| self.rng.random_bool(share)).collect();
        let faults = [HostFault::Refused, HostFault::Cut, HostFault::Silent];
        Action::ShutOut { hosts, fault: faults[self.rng.random_range(0..3)], time }
    }

    fn host_faults(&mut self) {
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

    /// All hosts are stopped in turn, and again after a pause.
    fn stops(&mut self) {
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

    fn add(&mut self, at: Duration, action: Action) {
        self.actions.push((at, action));
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }
}
