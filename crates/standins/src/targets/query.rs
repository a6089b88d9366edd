//! One query attempt at a target: admission, the wait in line, the run, and
//! what becomes of the answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{AttemptId, Outcome, Snapshot};
use tokio::{
    sync::{Notify, oneshot},
    time,
};

use super::{
    reply::{Reply, answer, refusal},
    state::{RunKey, State},
    target::Target,
};
use crate::http::{Request, Response};

/// A body that starts so crashes the target that runs it.
pub const CRASH_MARK: &[u8] = b"CRASH";
const MAX_KEY_CHARS: usize = 80;

/// A query attempt as its headers tell it.
pub struct Query {
    pub attempt: AttemptId,
    service: String,
    pub shard: u32,
    snapshot: Snapshot,
    deadline: Option<Instant>,
    is_idempotent: bool,
    pub key: String,
    crashes: bool,
}

enum Admission {
    Run,
    Wait(oneshot::Receiver<()>),
    Refuse(u16),
    /// The target fell over.
    Fall,
}

/// How a stay in line or a run ended.
enum End {
    Done,
    Cancelled,
    Deadline,
}

/// A slot in use, freed when dropped.
struct SlotGuard<'a> {
    target: &'a Target,
    incarnation: u64,
    started: Instant,
}

/// Runs a query attempt to its end.
pub async fn run(target: &Target, req: &Request) -> Reply {
    let Some(query) = Query::parse(req) else {
        return Reply::Whole(Response::new(400, "malformed headers"));
    };
    let cancel = Arc::new(Notify::new());
    let (incarnation, admission) = admit(target, &query, &cancel);
    let reply = match admission {
        Admission::Refuse(status) => refusal(target, &query, status, Outcome::NotRun),
        Admission::Fall => Reply::Lost,
        Admission::Run => start(target, &query, incarnation, &cancel).await,
        Admission::Wait(turn) => match wait(target, &query, turn, &cancel).await {
            End::Done => start(target, &query, incarnation, &cancel).await,
            End::Cancelled => refusal(target, &query, 499, Outcome::NotRun),
            End::Deadline => refusal(target, &query, 504, Outcome::NotRun),
        },
    };
    target.lock().attempts.remove(&query.attempt);
    reply
}

fn admit(target: &Target, query: &Query, cancel: &Arc<Notify>) -> (u64, Admission) {
    let mut state = target.lock();
    note_arrival(&mut state);
    let incarnation = state.incarnation;
    if let Some(status) = refused_status(&mut state, query) {
        return (incarnation, Admission::Refuse(status));
    }
    if state.in_flight() >= state.bears() {
        state.note_cold_overload();
        target.fall(&mut state);
        return (incarnation, Admission::Fall);
    }
    state.attempts.insert(query.attempt, Arc::clone(cancel));
    let admission = if state.running < state.knobs.slots {
        state.running += 1;
        Admission::Run
    } else {
        state.record.over_slots += 1;
        let (tx, rx) = oneshot::channel();
        state.waiting.push_back(tx);
        Admission::Wait(rx)
    };
    let in_flight = state.in_flight();
    state.record.max_in_flight = state.record.max_in_flight.max(in_flight);
    state.note_load(Instant::now());
    (incarnation, admission)
}

/// Counts an arrival, and how late it is where no work should come any more.
fn note_arrival(state: &mut State) {
    state.record.received += 1;
    let millis = |since: Instant| u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
    if let Some(since) = state.leaving_since {
        let record = &mut state.record;
        record.work_after_leaving_ms_max = record.work_after_leaving_ms_max.max(millis(since));
    }
    if let Some(since) = state.out_since {
        let record = &mut state.record;
        record.work_after_out_ms_max = record.work_after_out_ms_max.max(millis(since));
    }
}

fn refused_status(state: &mut State, query: &Query) -> Option<u16> {
    if state.knobs.leaving && state.knobs.leaving_refuses {
        return Some(410);
    }
    if !holds(state, query) {
        return Some(409);
    }
    let is_late = query.deadline.is_some_and(|it| it <= Instant::now());
    if is_late && state.knobs.honours_deadline {
        return Some(504);
    }
    let queued = state.in_flight() - state.running;
    let sheds = state.draw(|it| it.shed_probability);
    (sheds || queued >= state.knobs.max_queue).then_some(503)
}

fn holds(state: &State, query: &Query) -> bool {
    let Some(snapshot) = query.read_snapshot(state) else { return false };
    state.snapshots.get(&snapshot) == Some(&query.shard)
}

async fn wait(
    target: &Target,
    query: &Query,
    mut turn: oneshot::Receiver<()>,
    cancel: &Notify,
) -> End {
    let end = tokio::select! {
        // A dropped sender means that the target died: the connection dies too.
        _ = &mut turn => return End::Done,
        () = cancel.notified() => End::Cancelled,
        () = sleep_until(query.honoured_deadline(target)) => End::Deadline,
    };
    // The slot may have been granted in the meantime.
    let mut state = target.lock();
    turn.close();
    if turn.try_recv().is_ok() {
        state.release_slot();
    }
    end
}

async fn start(target: &Target, query: &Query, incarnation: u64, cancel: &Notify) -> Reply {
    let slot = SlotGuard { target, incarnation, started: Instant::now() };
    let service_time = {
        let mut state = target.lock();
        if state.incarnation != incarnation {
            return Reply::Lost;
        }
        state.record.started += 1;
        *state.runs.entry(query.run_key()).or_default() += 1;
        if query.crashes {
            state.record.crashes += 1;
            target.fall(&mut state);
            return Reply::Lost;
        }
        state.draw_service_time()
    };
    let end = tokio::select! {
        () = time::sleep(service_time) => End::Done,
        () = cancel.notified() => End::Cancelled,
        () = sleep_until(query.honoured_deadline(target)) => End::Deadline,
    };
    drop(slot);
    match end {
        End::Done => finish(target, query).await,
        End::Cancelled => {
            target.lock().record.cancelled += 1;
            refusal(target, query, 499, Outcome::MayHaveRun)
        }
        End::Deadline => refusal(target, query, 504, Outcome::MayHaveRun),
    }
}

async fn finish(target: &Target, query: &Query) -> Reply {
    let late = {
        let mut state = target.lock();
        state.record.finished += 1;
        state.warmed = state.warmed.saturating_add(1);
        let late_ms = state.knobs.late_ms;
        state.draw(|it| it.late_probability).then(|| Duration::from_millis(late_ms))
    };
    if let Some(late) = late {
        time::sleep(late).await;
    }
    answer(target, query)
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

impl Query {
    fn parse(req: &Request) -> Option<Self> {
        let time_left = req.header("godwityard-deadline-ms").map(str::parse).transpose().ok()?;
        let text = String::from_utf8_lossy(&req.body);
        let key = text.split_whitespace().next().unwrap_or_default();
        Some(Query {
            attempt: req.header("godwityard-attempt")?.parse().ok()?,
            service: req.header("godwityard-service")?.to_owned(),
            shard: req.header("godwityard-shard")?.parse().ok()?,
            snapshot: req.header("godwityard-snapshot")?.parse().ok()?,
            deadline: time_left.map(|ms| Instant::now() + Duration::from_millis(ms)),
            is_idempotent: req.header("godwityard-idempotent")? == "true",
            key: key.chars().take(MAX_KEY_CHARS).collect(),
            crashes: req.body.starts_with(CRASH_MARK),
        })
    }

    /// The snapshot to read, if the target holds it; index 0 asks for the
    /// newest of the map.
    pub fn read_snapshot(&self, state: &State) -> Option<Snapshot> {
        if self.snapshot.index == 0 {
            return state.newest(self.snapshot.map);
        }
        state.snapshots.contains_key(&self.snapshot).then_some(self.snapshot)
    }

    fn honoured_deadline(&self, target: &Target) -> Option<Instant> {
        self.deadline.filter(|_| target.lock().knobs.honours_deadline)
    }

    fn run_key(&self) -> RunKey {
        RunKey {
            service: self.service.clone(),
            shard: self.shard,
            key: self.key.clone(),
            is_idempotent: self.is_idempotent,
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        if state.incarnation != self.incarnation {
            return;
        }
        state.record.busy_ms += self.started.elapsed().as_secs_f64() * 1_000.0;
        state.release_slot();
        state.note_load(Instant::now());
    }
}
