//! Pools of idle connections, by target.

use std::time::Duration;

use base::HashMap;
use forward::placement::TargetKey;
use tokio::{sync::mpsc, time::Instant};

use crate::messages::Job;

/// Limit on the idle time of a connection for a request that is not retried if it
/// is lost: a non-idempotent one, or one that is passed on to another host. The
/// other end may have dropped a connection that was idle for longer.
const MAX_IDLE_IF_NOT_RETRIED: Duration = Duration::from_millis(1_000);

/// Sends work to a connection's task. The connection closes when its handle is
/// dropped.
pub(crate) type Handle = mpsc::UnboundedSender<Assignment>;

/// Work for a connection, with the handle that returns it to the pool.
pub(crate) struct Assignment {
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
    pub(crate) fn idle_count(&self, target: TargetKey) -> usize {
        self.idle.get(&target).map_or(0, Vec::len)
    }

    pub(crate) fn put(&mut self, target: TargetKey, handle: Handle) {
        let connection = IdleConnection { handle, since: Instant::now() };
        self.idle.entry(target).or_default().push(connection);
    }

    /// Assigns `job` to the most recently used idle connection of its target;
    /// returns it as an error if there is none that it may use.
    pub(crate) fn assign(&mut self, mut job: Job) -> Result<(), Job> {
        let target = job.send.target;
        while let Some(connection) = self.take(target) {
            let must_be_fresh = !job.request.is_idempotent || job.request.relay.is_some();
            if must_be_fresh && connection.since.elapsed() > MAX_IDLE_IF_NOT_RETRIED {
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

    /// Removes the target's connections whose tasks have ended.
    pub(crate) fn remove_closed(&mut self, target: TargetKey) {
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
