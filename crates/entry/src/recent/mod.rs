//! Recent requests, kept so that operators can see why a request was routed as
//! it was, refused or answered in part; and each service's share of the work.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{AttemptId, HashMap, Outcome, Reason, RequestId, ServiceName, ShardId, Snapshot, Time};
use policy::request::{Attempt, Coverage, Query, Verdict};

use crate::lock::lock;

/// Maximum number of finished requests that are kept.
const MAX_DECISIONS: usize = 256;
/// Half-life of work in a service's share.
const WORK_HALF_LIFE: Duration = Duration::from_secs(10);

/// Bounded list of finished requests, and the recent work of each service.
#[derive(Debug, Default)]
pub(crate) struct RecentRequests {
    decisions: Mutex<VecDeque<Arc<Decision>>>,
    work: Mutex<HashMap<ServiceName, Work>>,
}

/// Decisions taken for one request.
#[derive(Clone, Debug)]
pub(crate) struct Decision {
    pub request: RequestId,
    pub service: ServiceName,
    pub started: Time,
    pub ended: Time,
    pub refused: Option<(Reason, Outcome, String)>,
    pub snapshots: Vec<Snapshot>,
    pub coverage: Option<Coverage>,
    pub attempts: Vec<(AttemptId, Attempt)>,
}

/// Exponentially decaying count of subqueries sent.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    sent: f64,
    decayed_at: Time,
}

impl RecentRequests {
    pub(crate) fn record(&self, now: Time, query: &Query, verdict: &Verdict) {
        let decision = Decision::new(now, query, verdict);
        self.count_work(now, &decision);
        let mut decisions = lock(&self.decisions);
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(Arc::new(decision));
    }

    /// Returns the kept requests, latest first.
    pub(crate) fn latest(&self) -> Vec<Arc<Decision>> {
        lock(&self.decisions).iter().rev().cloned().collect()
    }

    pub(crate) fn find(&self, request: RequestId) -> Option<Arc<Decision>> {
        lock(&self.decisions).iter().find(|it| it.request == request).cloned()
    }

    /// Returns the recent work of a service, in subqueries; older ones count less.
    pub(crate) fn work(&self, now: Time, service: &ServiceName) -> f64 {
        lock(&self.work).get(service).map_or(0.0, |it| it.at(now))
    }

    fn count_work(&self, now: Time, decision: &Decision) {
        let mut work = lock(&self.work);
        let work = work.entry(decision.service.clone()).or_default();
        let sent = work.at(now) + decision.attempts.len() as f64;
        *work = Work { sent, decayed_at: now };
    }
}

impl Decision {
    fn new(now: Time, query: &Query, verdict: &Verdict) -> Self {
        let gather = query.gather();
        let mut attempts: Vec<_> = gather.attempts().map(|(id, it)| (id, it.clone())).collect();
        attempts.sort_by_key(|(_, it)| (it.sent, it.shard));
        let refused = match verdict {
            Verdict::Answer(_) => None,
            Verdict::Refused(it) => Some((it.reason, it.outcome, it.detail.clone())),
        };
        Decision {
            request: query.request().id,
            service: query.request().service.name.clone(),
            started: query.request().started,
            ended: now,
            refused,
            snapshots: query.pins().to_vec(),
            coverage: (!query.pins().is_empty()).then(|| gather.coverage()),
            attempts,
        }
    }

    /// Returns the shards with more than one attempt.
    pub(crate) fn shards_resent(&self) -> Vec<ShardId> {
        let mut shards: Vec<_> = self.attempts.iter().map(|(_, it)| it.shard).collect();
        shards.sort_unstable();
        let mut resent: Vec<_> =
            shards.windows(2).filter(|it| it[0] == it[1]).map(|it| it[0]).collect();
        resent.dedup();
        resent
    }
}

impl Work {
    fn at(self, now: Time) -> f64 {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / WORK_HALF_LIFE.as_secs_f64();
        self.sent * 0.5_f64.powf(half_lives)
    }
}
