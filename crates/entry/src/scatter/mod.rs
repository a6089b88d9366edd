//! Drives one request: carries out its actions and feeds it parts and
//! wake-ups until it has a verdict.

use std::sync::Arc;

use policy::{
    message::Part,
    request::{Action, Query, QueryCx, QueryRequest, Verdict, choose_view},
};
use rand::rngs::SmallRng;
use slog::{debug, info};
use tokio::{sync::mpsc, time};

use crate::{
    cx::{EntryCx, PoolViews, StateRoutes},
    entropy,
    interfaces::{Owners, State},
    learn,
};

/// Parts taken in at once.
const PARTS_PER_STEP: usize = 64;
/// Parts that may wait for each shard: a first send, its hedge and retries.
const PARTS_PER_SHARD: usize = 4;

/// Runs a request to its verdict.
pub(crate) async fn run<S: State, O: Owners>(
    cx: &EntryCx<S, O>,
    mut req: QueryRequest,
    views: &PoolViews,
) -> (Verdict, Query) {
    let cfg = cx.state().configuration();
    learn::ensure_known(cx, &cfg, views, req.deadline).await;
    if req.shard.is_none() {
        // A shard's number means something in the map in force only.
        let table = &cx.shared().table;
        req.view = choose_view(&cfg, table, &views.current, views.previous.as_ref());
    }
    let capacity = req.view.pool.shards as usize * PARTS_PER_SHARD;
    let (tx, rx) = mpsc::channel(capacity.max(1));
    let query = Query::new(req);
    let run = Run { cx, cfg, query, tx, rng: entropy::request_rng() };
    run.until_verdict(rx).await
}

struct Run<'a, S, O> {
    cx: &'a EntryCx<S, O>,
    cfg: Arc<documents::Configuration>,
    query: Query,
    tx: mpsc::Sender<Part>,
    rng: SmallRng,
}

enum Event {
    Parts,
    Wakeup,
}

impl<S: State, O: Owners> Run<'_, S, O> {
    async fn until_verdict(mut self, mut rx: mpsc::Receiver<Part>) -> (Verdict, Query) {
        let mut parts = Vec::new();
        let actions = self.step(|query, cx| query.start(cx));
        let mut verdict = self.perform(actions);
        loop {
            if let Some(verdict) = verdict {
                return (verdict, self.query);
            }
            let event = self.wait(&mut rx, &mut parts).await;
            let actions = match event {
                Event::Wakeup => self.step(|query, cx| query.on_wakeup(cx)),
                Event::Parts => self.step(|query, cx| {
                    parts.drain(..).flat_map(|part| query.on_part(cx, &part)).collect()
                }),
            };
            verdict = self.perform(actions);
        }
    }

    async fn wait(&self, rx: &mut mpsc::Receiver<Part>, parts: &mut Vec<Part>) -> Event {
        let wakeup = self.query.next_wakeup().until(self.cx.now());
        tokio::select! {
            biased;
            _ = rx.recv_many(parts, PARTS_PER_STEP) => Event::Parts,
            () = time::sleep(wakeup) => Event::Wakeup,
        }
    }

    /// One step of the request's state machine under the shared lock.
    fn step(
        &mut self,
        step: impl FnOnce(&mut Query, &mut QueryCx<'_, StateRoutes<'_, S>>) -> Vec<Action>,
    ) -> Vec<Action> {
        let state = self.cx.state();
        let mut shared = self.cx.shared();
        let mut cx = QueryCx {
            now: state.now(),
            configuration: &self.cfg,
            domain: state.domain(),
            routes: &StateRoutes(state),
            shared: &mut shared,
            rng: &mut self.rng,
        };
        let quarantined = cx.shared.quarantine.quarantined_count();
        let actions = step(&mut self.query, &mut cx);
        let quarantined = cx.shared.quarantine.quarantined_count() - quarantined;
        self.cx.metrics().quarantined.add(quarantined, &[]);
        if shared.quarantine.has_unsent_notes() {
            self.cx.inner.suspects_changed.notify_one();
        }
        actions
    }

    fn perform(&mut self, actions: Vec<Action>) -> Option<Verdict> {
        let mut verdict = None;
        for action in actions {
            match action {
                Action::Send { owner, batch } => {
                    self.log_send(&owner, &batch);
                    self.cx.owners().run(&owner, batch, self.tx.clone());
                }
                Action::Cancel { owner, attempts } => {
                    let request = self.query.request().id;
                    debug!(self.cx.log(), "subqueries cancelled";
                        "request" => %request, "owner" => %owner, "count" => attempts.len());
                    self.cx.owners().cancel(&owner, request, attempts);
                }
                Action::Finish(finish) => verdict = Some(finish),
            }
        }
        verdict
    }

    fn log_send(&self, owner: &base::HostName, batch: &policy::message::Batch) {
        let targets = slog::FnValue(|_| {
            let targets = batch.subqueries.iter().map(|it| it.target.as_str());
            targets.collect::<Vec<_>>().join(",")
        });
        info!(self.cx.log(), "subqueries sent";
            "request" => %batch.request, "service" => %batch.service, "owner" => %owner,
            "snapshot" => %batch.snapshot, "extra" => batch.is_extra, "targets" => targets);
    }
}
