//! Query attempts at a target: admission, queue, run and answer.

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

/// Start of a query body that crashes the target which runs it.
pub const CRASH_PREFIX: &[u8] = b"CRASH";
const MAX_KEY_CHARS: usize = 80;

/// Query attempt, parsed from the headers and the body of a request.
pub struct Query {
    pub attempt: AttemptId,
    service: String,
    pub shard: u32,
    snapshot: Snapshot,
    deadline: Option<Instant>,
    is_idempotent: bool,
    pub key: String,
    crashes_target: bool,
}

enum Admission {
    Run,
    Wait(oneshot::Receiver<()>),
    Refuse(u16),
    /// The target is cold and crashes from overload.
    Crash,
}

/// How the wait for a slot or a run ended.
enum Completion {
    Done,
    Cancelled,
    DeadlineExceeded,
}

/// Slot in use; freed when dropped.
struct SlotGuard<'a> {
    target: &'a Target,
    incarnation: u64,
    started: Instant,
}

/// Admits and runs a query attempt. Returns its reply.
pub async fn run(target: &Target, req: &Request) -> Reply {
    let Some(query) = Query::parse(req) else {
        return Reply::Complete(Response::new(400, "malformed headers"));
    };
    let cancel = Arc::new(Notify::new());
    let (incarnation, admission) = admit(target, &query, &cancel);
    let reply = match admission {
        Admission::Refuse(status) => refusal(target, &query, status, Outcome::NotRun),
        Admission::Crash => Reply::NoResponse,
        Admission::Run => execute(target, &query, incarnation, &cancel).await,
        Admission::Wait(slot_rx) => match wait_for_slot(target, &query, slot_rx, &cancel).await {
            Completion::Done => execute(target, &query, incarnation, &cancel).await,
            Completion::Cancelled => refusal(target, &query, 499, Outcome::NotRun),
            Completion::DeadlineExceeded => refusal(target, &query, 504, Outcome::NotRun),
        },
    };
    target.lock().attempts.remove(&query.attempt);
    reply
}

fn admit(target: &Target, query: &Query, cancel: &Arc<Notify>) -> (u64, Admission) {
    let mut state = target.lock();
    record_arrival(&mut state);
    let incarnation = state.incarnation;
    if let Some(status) = refusal_status(&mut state, query) {
        return (incarnation, Admission::Refuse(status));
    }
    if state.in_flight() >= state.concurrency_limit() {
        state.record_cold_overload();
        target.crash(&mut state);
        return (incarnation, Admission::Crash);
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
    state.record_load(Instant::now());
    (incarnation, admission)
}

/// Records the arrival of an attempt and, if the target is leaving or its domain is
/// out, for how long that has been so.
fn record_arrival(state: &mut State) {
    state.record.received += 1;
    let millis = |since: Instant| u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
    if let Some(since) = state.leaving_since {
        let record = &mut state.record;
        record.work_after_leaving_ms_max = record.work_after_leaving_ms_max.max(millis(since));
    }
    if let Some(since) = state.domain_out_since {
        let record = &mut state.record;
        record.work_after_out_ms_max = record.work_after_out_ms_max.max(millis(since));
    }
}

fn refusal_status(state: &mut State, query: &Query) -> Option<u16> {
    if state.knobs.leaving && state.knobs.leaving_refuses {
        return Some(410);
    }
    if !holds_shard(state, query) {
        return Some(409);
    }
    let is_late = query.deadline.is_some_and(|it| it <= Instant::now());
    if is_late && state.knobs.honours_deadline {
        return Some(504);
    }
    let queued = state.in_flight() - state.running;
    let should_shed = state.sample_bool(|it| it.shed_probability);
    (should_shed || queued >= state.knobs.max_queue).then_some(503)
}

fn holds_shard(state: &State, query: &Query) -> bool {
    let Some(snapshot) = query.read_snapshot(state) else { return false };
    state.snapshots.get(&snapshot) == Some(&query.shard)
}

async fn wait_for_slot(
    target: &Target,
    query: &Query,
    mut slot_rx: oneshot::Receiver<()>,
    cancel: &Notify,
) -> Completion {
    let completion = tokio::select! {
        // A dropped sender means that the target was stopped: its connections close,
        // and `execute` sends no response.
        _ = &mut slot_rx => return Completion::Done,
        () = cancel.notified() => Completion::Cancelled,
        () = sleep_until(query.honoured_deadline(target)) => Completion::DeadlineExceeded,
    };
    // The slot may have been granted in the meantime.
    let mut state = target.lock();
    slot_rx.close();
    if slot_rx.try_recv().is_ok() {
        state.release_slot();
    }
    completion
}

async fn execute(target: &Target, query: &Query, incarnation: u64, cancel: &Notify) -> Reply {
    let slot = SlotGuard { target, incarnation, started: Instant::now() };
    let service_time = {
        let mut state = target.lock();
        if state.incarnation != incarnation {
            return Reply::NoResponse;
        }
        state.record.started += 1;
        *state.runs.entry(query.run_key()).or_default() += 1;
        if query.crashes_target {
            state.record.crashes += 1;
            target.crash(&mut state);
            return Reply::NoResponse;
        }
        state.sample_service_time()
    };
    let completion = tokio::select! {
        () = time::sleep(service_time) => Completion::Done,
        () = cancel.notified() => Completion::Cancelled,
        () = sleep_until(query.honoured_deadline(target)) => Completion::DeadlineExceeded,
    };
    drop(slot);
    match completion {
        Completion::Done => finish(target, query).await,
        Completion::Cancelled => {
            target.lock().record.cancelled += 1;
            refusal(target, query, 499, Outcome::MayHaveRun)
        }
        Completion::DeadlineExceeded => refusal(target, query, 504, Outcome::MayHaveRun),
    }
}

async fn finish(target: &Target, query: &Query) -> Reply {
    let late = {
        let mut state = target.lock();
        state.record.finished += 1;
        state.warm_up_progress = state.warm_up_progress.saturating_add(1);
        let late_ms = state.knobs.late_ms;
        state.sample_bool(|it| it.late_probability).then(|| Duration::from_millis(late_ms))
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
            crashes_target: req.body.starts_with(CRASH_PREFIX),
        })
    }

    /// Returns the snapshot to read, if the target holds it. Index 0 requests the
    /// newest snapshot of the map.
    pub fn read_snapshot(&self, state: &State) -> Option<Snapshot> {
        if self.snapshot.index == 0 {
            return state.newest_snapshot(self.snapshot.map);
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
        state.record_load(Instant::now());
    }
}
