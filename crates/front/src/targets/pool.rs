//! Connections that idle, by target.

use std::time::Duration;

use base::HashMap;
use forward::placement::TargetKey;
use tokio::{sync::mpsc, time::Instant};

use super::Job;

/// A request that must not be repeated uses no connection that was idle for
/// longer: a target may have forgotten it, and what is sent then may be lost.
const FRESH_FOR: Duration = Duration::from_millis(1_000);

/// Hands work to a connection's task. The connection closes when its handle is
/// dropped.
pub(super) type Handle = mpsc::UnboundedSender<Assignment>;

/// Work for a connection, with the handle by which it is put back.
pub(super) struct Assignment {
    pub job: Job,
    pub handle: Handle,
}

/// Idle connections, by target.
#[derive(Default)]
pub(crate) struct Pools {
    idle: HashMap<TargetKey, Vec<IdleConnection>>,
}

struct IdleConnection {
    handle: Handle,
    since: Instant,
}

impl Pools {
    pub(super) fn idle_count(&self, target: TargetKey) -> usize {
        self.idle.get(&target).map_or(0, Vec::len)
    }

    pub(super) fn put(&mut self, target: TargetKey, handle: Handle) {
        let connection = IdleConnection { handle, since: Instant::now() };
        self.idle.entry(target).or_default().push(connection);
    }

    /// Gives `job` to the connection that was used last; gives it back if there
    /// is none that it may use.
    pub(super) fn assign(&mut self, mut job: Job) -> Result<(), Job> {
        let target = job.send.target;
        while let Some(connection) = self.take(target) {
            if !job.request.is_idempotent && connection.since.elapsed() > FRESH_FOR {
                continue;
            }
            let handle = connection.handle.clone();
            match connection.handle.send(Assignment { job, handle }) {
                Ok(()) => return Ok(()),
                Err(mpsc::error::SendError(returned)) => job = returned.job,
            }
        }
        Err(job)
    }

    /// Forgets the target's connections that have ended.
    pub(super) fn forget_ended(&mut self, target: TargetKey) {
        let Some(idle) = self.idle.get_mut(&target) else { return };
        idle.retain(|it| !it.handle.is_closed());
        if idle.is_empty() {
            self.idle.remove(&target);
        }
    }

    fn take(&mut self, target: TargetKey) -> Option<IdleConnection> {
        self.idle.get_mut(&target)?.pop()
    }
}
