//! The current state of the links between failure domains and the platform.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::Deserialize;

/// Name of a failure domain, or [`PLATFORM`].
pub type LinkEnd = Arc<str>;

/// The platform as a link end.
pub const PLATFORM: &str = "platform";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkState {
    #[default]
    Pass,
    /// Connections are closed and refused, datagrams dropped.
    Cut,
    /// Nothing passes and connections stay open. Datagrams are lost; data in
    /// flight on connections is delivered when the state ends, like a lost segment
    /// that is retransmitted.
    Silent,
    /// Existing connections stay silent permanently; new ones and datagrams pass.
    SilentExisting,
}

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
struct Rule {
    state: LinkState,
    delay: Duration,
    /// Flows with lower numbers stay silent permanently.
    silent_below: u64,
}

/// Rules by direction; a direction without a rule passes without delay.
#[derive(Clone, Debug, Default)]
pub struct Rules(BTreeMap<(LinkEnd, LinkEnd), Rule>);

/// A direction of one flow.
#[derive(Clone, Debug)]
pub struct Direction {
    pub from: LinkEnd,
    pub to: LinkEnd,
    /// Number of the flow; later flows have higher numbers.
    pub flow: u64,
}

impl Rules {
    /// Sets the rule of a direction. `next_flow` is the number that the next flow
    /// will get; [`LinkState::SilentExisting`] silences all flows below it.
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

    /// Resets all links to pass without delay, except for connections that stay
    /// silent permanently.
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
