//! What clients, targets, the store and the platform saw in a run, with the time since
//! its start. The judge reads nothing else.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::HashSet;

use super::{configuration::Version, programs::ProgramName};

/// Index of a host among those of the run.
pub type HostIndex = usize;

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub host: HostIndex,
    pub path: String,
    /// Whether the request was sent only to see which configuration is in force.
    pub is_probe: bool,
    pub is_idempotent: bool,
    /// Whether the connection had carried a request before.
    pub is_reused: bool,
    /// Key that the request carried.
    pub key: Option<String>,
    pub sent: Duration,
    pub ended: Duration,
    pub end: AttemptEnd,
}

#[derive(Clone, Debug)]
pub enum AttemptEnd {
    Answered(Answer),
    /// The host ended the connection without a complete answer.
    Closed,
    /// The host reset the connection.
    Reset,
    NotConnected,
    /// The deadline of the client passed.
    TimedOut,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub stamp: Option<String>,
    pub part_stamps: Vec<String>,
    /// Number of shards that the answer leaves out.
    pub missing_parts: usize,
    pub body: Vec<u8>,
}

/// A request that a target began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Duration,
    /// Number of the target's process, which no other process of the run has.
    pub process: usize,
    pub target: String,
    pub service: String,
    /// Customer that the target was told.
    pub customer: Option<String>,
    /// Whether the caller's key came with the request.
    pub has_key: bool,
    pub stamp: String,
    pub body: Vec<u8>,
    /// Status of the target's answer; none if it did not answer.
    pub status: Option<u16>,
}

/// A request that reached a target, whether it ran or not, health checks included.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request; a health check has none.
    pub id: Option<String>,
    pub at: Duration,
    /// Number of the target's process.
    pub process: usize,
    pub target: String,
    /// Number of the connection, which no other connection of the run has.
    pub connection: u64,
    pub reply: Option<Reply>,
}

/// What a target answered.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub at: Duration,
    pub status: u16,
    pub stamp: Option<String>,
    /// Whether it says that the target leaves.
    pub is_leaving: bool,
    /// Pause that it asks for.
    pub pause: Option<Duration>,
}

/// A target that leaves: `draining`, or removed from the store.
#[derive(Clone, Debug)]
pub struct Leave {
    /// Number of the target's process.
    pub process: usize,
    pub acked: Duration,
}

/// What a disruption affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The process of a host.
    Host(HostIndex),
    /// The path between a host and the store.
    StorePath(HostIndex),
    /// The store was down, silent, slow, or lost answers.
    Store,
    /// The store served, but dropped its history or turned some hosts away.
    StorePartly,
    Target,
}

/// A span in which something was disrupted; starts and kills have no length.
#[derive(Clone, Debug)]
pub struct Disruption {
    pub place: Place,
    pub what: &'static str,
    pub is_planned: bool,
    pub from: Duration,
    /// `Duration::MAX` while it lasts.
    pub until: Duration,
}

/// A signal for planned work on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Terminate,
    Hangup,
}

/// An event in the life of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEvent {
    Started,
    Signalled(Signal),
    /// The process ended though the platform had not asked for it.
    EndedByItself,
}

/// A process of a host that began.
#[derive(Clone, Debug)]
pub struct ProgramStart {
    pub host: HostIndex,
    pub at: Duration,
    pub program: ProgramName,
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub attempts: Vec<Attempt>,
    pub runs: Vec<Run>,
    pub arrivals: Vec<Arrival>,
    /// Ids of requests that a full target rejected.
    pub rejected: HashSet<String>,
    pub versions: Vec<Version>,
    pub leaves: Vec<Leave>,
    pub disruptions: Vec<Disruption>,
    pub host_events: Vec<(HostIndex, Duration, HostEvent)>,
    pub program_starts: Vec<ProgramStart>,
    /// Lines for a person who reads the run.
    pub notes: Vec<(Duration, String)>,
}

impl Record {
    /// Returns which program a host ran at a time.
    pub fn program(&self, host: HostIndex, at: Duration) -> Option<&ProgramName> {
        let starts = self.program_starts.iter().filter(|it| it.host == host && it.at <= at);
        starts.max_by_key(|it| it.at).map(|it| &it.program)
    }
}

/// Takes down what happens.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    record: Arc<Mutex<Record>>,
}

impl Recorder {
    pub fn new() -> Self {
        Recorder { started: Instant::now(), record: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note(&self, text: String) {
        let now = self.now();
        self.lock().notes.push((now, text));
    }

    pub fn host_event(&self, host: HostIndex, event: HostEvent) {
        let now = self.now();
        self.lock().host_events.push((host, now, event));
    }

    pub fn host_started(&self, host: HostIndex, program: &ProgramName) {
        self.host_event(host, HostEvent::Started);
        let at = self.now();
        self.lock().program_starts.push(ProgramStart { host, at, program: program.clone() });
    }

    /// Records that a disruption begins; `end_disruption` takes the result.
    pub fn begin_disruption(&self, place: Place, what: &'static str, is_planned: bool) -> usize {
        let from = self.now();
        let mut record = self.lock();
        let until = Duration::MAX;
        record.disruptions.push(Disruption { place, what, is_planned, from, until });
        record.notes.push((from, format!("begins: {what} {place:?}")));
        record.disruptions.len() - 1
    }

    pub fn end_disruption(&self, index: usize) {
        let now = self.now();
        let mut record = self.lock();
        let Some(disruption) = record.disruptions.get_mut(index) else { return };
        disruption.until = now;
        let text = format!("ends: {} {:?}", disruption.what, disruption.place);
        record.notes.push((now, text));
    }

    /// Returns the record as it is now.
    pub fn snapshot(&self) -> Record {
        self.lock().clone()
    }
}
