//! What passes between which places, now.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::Deserialize;

/// A failure domain, or the platform.
pub type LinkEnd = Arc<str>;

/// The platform among the places.
pub const PLATFORM: &str = "platform";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkState {
    #[default]
    Pass,
    /// Connections are closed and refused, datagrams dropped.
    Cut,
    /// Nothing passes and nobody is told; what was under way on connections
    /// goes on when the state ends, as with a lost and resent segment.
    Silent,
    /// Connections of before are silent for good, new ones pass.
    SilentExisting,
}

/// One direction between two places.
#[derive(Clone, Copy, Debug, Default)]
struct Rule {
    state: LinkState,
    delay: Duration,
    /// Flows with lower numbers are silent for good.
    silent_below: u64,
}

/// The rules by direction; a direction without one passes.
#[derive(Clone, Debug, Default)]
pub struct Rules(BTreeMap<(LinkEnd, LinkEnd), Rule>);

/// A direction of one flow.
#[derive(Clone, Debug)]
pub struct Direction {
    pub from: LinkEnd,
    pub to: LinkEnd,
    /// Number of the flow, rising with time.
    pub flow: u64,
}

impl Rules {
    /// Sets a direction; `next_flow` is the number of the next flow to come.
    pub fn set_direction(
        &mut self,
        from: &LinkEnd,
        to: &LinkEnd,
        state: LinkState,
        delay: Duration,
        next_flow: u64,
    ) {
        let rule = self.0.entry((Arc::clone(from), Arc::clone(to))).or_default();
        rule.delay = delay;
        if state == LinkState::SilentExisting {
            rule.state = LinkState::Pass;
            rule.silent_below = next_flow;
        } else {
            rule.state = state;
        }
    }

    /// Lets everything pass, but for connections that are silent for good.
    pub fn heal(&mut self) {
        for rule in self.0.values_mut() {
            rule.state = LinkState::Pass;
            rule.delay = Duration::ZERO;
        }
    }

    pub fn can_pass(&self, it: &Direction) -> bool {
        let rule = self.rule(it);
        rule.state == LinkState::Pass && it.flow >= rule.silent_below
    }

    pub fn is_cut(&self, it: &Direction) -> bool {
        self.rule(it).state == LinkState::Cut
    }

    pub fn delay(&self, it: &Direction) -> Duration {
        self.rule(it).delay
    }

    fn rule(&self, it: &Direction) -> Rule {
        let key = (Arc::clone(&it.from), Arc::clone(&it.to));
        self.0.get(&key).copied().unwrap_or_default()
    }
}

impl Direction {
    pub fn reversed(&self) -> Self {
        Direction { from: Arc::clone(&self.to), to: Arc::clone(&self.from), flow: self.flow }
    }
}
