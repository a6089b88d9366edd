//! Counts requests in flight, and lets requests wait for the run of their
//! ticket.

use std::sync::{Arc, Mutex};

use base::{HashMap, ServiceName};
use tokio::sync::watch;

use crate::lock::lock;

/// Runs of tickets that are in flight, by ticket secret.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    running: Mutex<HashMap<u128, watch::Sender<()>>>,
}

/// Number of requests in flight, by service and in total.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    counts: Arc<Mutex<HashMap<ServiceName, u32>>>,
    total: Arc<watch::Sender<u32>>,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    in_flight: InFlight,
    service: ServiceName,
}

impl Executions {
    pub(crate) fn start(&self, secret: u128) {
        lock(&self.running).insert(secret, watch::channel(()).0);
    }

    pub(crate) fn finish(&self, secret: u128) {
        lock(&self.running).remove(&secret);
    }

    /// Waits until no run of the ticket is in flight.
    pub(crate) async fn finished(&self, secret: u128) {
        let receiver = lock(&self.running).get(&secret).map(watch::Sender::subscribe);
        let Some(mut receiver) = receiver else { return };
        // Nothing is sent on the channel: it closes when the run ends.
        while receiver.changed().await.is_ok() {}
    }
}

impl InFlight {
    pub(crate) fn new() -> Self {
        let total = Arc::new(watch::channel(0).0);
        InFlight { counts: Arc::default(), total }
    }

    /// Counts a request; `None` if its service already has `limit` in flight.
    pub(crate) fn enter(&self, service: &ServiceName, limit: u32) -> Option<InFlightGuard> {
        let mut counts = lock(&self.counts);
        let count = counts.entry(service.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        self.total.send_modify(|it| *it += 1);
        Some(InFlightGuard { in_flight: self.clone(), service: service.clone() })
    }

    pub(crate) fn count(&self, service: &ServiceName) -> u32 {
        lock(&self.counts).get(service).copied().unwrap_or_default()
    }

    /// Waits until no request is in flight.
    pub(crate) async fn idle(&self) {
        let mut total = self.total.subscribe();
        // The sender lives as long as `self`, so this waits for zero.
        let _ = total.wait_for(|it| *it == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.in_flight.counts);
        if let Some(count) = counts.get_mut(&self.service) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.service);
            }
        }
        self.in_flight.total.send_modify(|it| *it -= 1);
    }
}
