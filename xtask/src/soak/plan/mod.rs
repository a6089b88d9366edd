//! The timeline of a run, drawn from its seed.

mod draft;

use std::{str::FromStr, time::Duration};

use self::draft::Draft;
use super::{
    operator::Change,
    record::HostIndex,
    store::HostFault,
    targets::{Departure, Pause},
};

/// Calm before the first action, and at the end of the run.
pub const CALM: Duration = Duration::from_secs(6);

/// Which actions a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Days {
    /// The configuration and the targets change, and nothing fails.
    Changes,
    /// The store falls silent just after a change.
    Silence,
    /// The store answers late, while the configuration and targets change.
    Late,
    /// Hosts that read the store for others are cut off, frozen and killed, while the
    /// configuration and targets change.
    Readers,
    /// Hosts are stopped in turn, while the configuration changes.
    Stops,
    /// Targets say in their answers that they leave or want a pause, while the
    /// configuration changes and the store fails.
    Stated,
    /// Hosts are replaced by others with the next program, one after the other, while the
    /// configuration and targets change, and targets say that they leave or want a pause.
    Upgrade,
    /// Customers send with keys: these are revoked and added, limits change, and one customer
    /// sends too much, beside faults of the store and of hosts.
    Keys,
    /// The store is restored from older copies that lack many changes, and targets leave.
    Restored,
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
            "readers" => Ok(Days::Readers),
            "stops" => Ok(Days::Stops),
            "stated" => Ok(Days::Stated),
            "upgrade" => Ok(Days::Upgrade),
            "keys" => Ok(Days::Keys),
            "restored" => Ok(Days::Restored),
            "mixed" => Ok(Days::Mixed),
            _ => Err(format!(
                "`{text}` is none of changes, silence, late, readers, stops, stated, upgrade, \
                 keys, restored, mixed"
            )),
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
    /// The store gives no answer, and then it is as it was `age` before. What was lost is
    /// written again a little later.
    RestoreStore {
        age: Duration,
        away: Duration,
        until_written: Duration,
    },
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
    /// The hosts are replaced one after the other, each once the one before is ready; all
    /// wait when half of them are.
    ReplaceHosts {
        order: Vec<HostIndex>,
        pause_at_half: Duration,
    },
    /// So many of the hosts that read the store then are frozen.
    FreezeReaders(usize, Duration),
    /// So many of the hosts that read the store then are killed.
    KillReaders(usize, Duration),
    /// So many of the hosts that read the store then are cut off from it.
    CutReaders {
        count: usize,
        fault: HostFault,
        time: Duration,
    },
    /// The first customer sends so many times its usual.
    HeatCustomer {
        factor: u64,
        time: Duration,
    },
    ReplaceTarget {
        place: usize,
        how: Departure,
        reuses_address: bool,
    },
    /// Targets ask for a pause, as they reject requests.
    PauseTargets {
        places: Vec<usize>,
        pause: Pause,
        time: Duration,
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
    let mut draft = Draft::new(seed, size);
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
        Days::Readers => {
            draft.readers();
            draft.changes();
            draft.target_changes();
        }
        Days::Stops => {
            draft.stops();
            draft.changes();
        }
        Days::Stated => {
            draft.stated();
            draft.changes();
            draft.store_faults();
        }
        Days::Upgrade => {
            draft.replacement();
            draft.stated();
            draft.changes();
            draft.target_changes();
        }
        Days::Keys => {
            draft.keys();
            draft.changes();
            draft.store_faults();
            draft.host_faults();
        }
        Days::Restored => draft.lost_changes(),
        Days::Mixed => {
            draft.changes();
            draft.target_changes();
            draft.store_faults();
            draft.host_faults();
            draft.stated();
            draft.restores();
        }
    }
    draft.finish()
}
