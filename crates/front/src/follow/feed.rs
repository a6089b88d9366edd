//! What this host does with a feed: whether it is followed, where, and how often.

use std::{cell::Cell, time::Duration};

use crate::{SharedCx, feeds::Feed};

/// Pause between two calls for changes, so that changes in quick succession
/// cost one call. A target that leaves stays usable for longer than this, and
/// a crash is detected by the target's connections.
const TARGETS_PAUSE: Duration = Duration::from_millis(1_000);
/// Limit on the pause, as a share of the time for which a leaving target is used. A change
/// that is made in the pause may count as younger by it.
const PAUSE_SHARE: f64 = 0.2;

const OPERATIONS_PAUSE: Duration = Duration::from_millis(250);

/// Same as `TARGETS_PAUSE` if any service has a rate limit for cold targets,
/// since a target that turns cold can take few requests.
const COLD_TARGETS_PAUSE: Duration = Duration::from_millis(250);

impl Feed {
    /// Sets whether this host reads the feed at the source itself. It offers itself
    /// to other hosts as a reader while it does so for all feeds.
    pub(super) fn set_read_directly(self, cx: &SharedCx, is_direct: bool) {
        cx.change_logs.of(self).set_live(is_direct);
        let reads_source = cx.change_logs.are_live();
        cx.peers.borrow_mut().set_reads_source(reads_source);
    }

    pub(super) fn is_followed(self, cx: &SharedCx) -> &Cell<bool> {
        match self {
            Feed::Targets => &cx.follows_targets,
            Feed::Operations => &cx.follows_operations,
        }
    }

    pub(super) fn pause(self, cx: &SharedCx) -> Duration {
        match self {
            Feed::Targets if cx.targets.borrow().limits_cold_targets() => COLD_TARGETS_PAUSE,
            Feed::Targets => {
                let leaving_for = cx.targets.borrow().leaving_for();
                TARGETS_PAUSE.min(leaving_for.mul_f64(PAUSE_SHARE))
            }
            Feed::Operations => {
                let hold = cx.cfg.customers.hold_limit();
                hold.map_or(OPERATIONS_PAUSE, |it| OPERATIONS_PAUSE.min(it))
            }
        }
    }
}
