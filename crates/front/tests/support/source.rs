//! A source whose targets a test lists and removes, and whose configuration it sets. It
//! may be out of reach or silent. A test follows one of the feeds.

use std::{
    cell::{Cell, RefCell},
    future::pending,
    time::Duration,
};

use base::TargetName;
use forward::{Configuration, Position, TargetReport};
use front::follow::{Batch, Feed, Item, Source, SourceError};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

#[derive(Debug)]
#[derive(Default)]
pub struct ScriptedSource {
    /// Rises each time that the source is restored, if it states it.
    epoch: Cell<Option<u64>>,
    targets: RefCell<Vec<TargetReport>>,
    configuration: RefCell<Configuration>,
    /// The change of each revision.
    changes: RefCell<Vec<Item>>,
    /// Revision up to which changes are no longer held.
    dropped: Cell<u64>,
    is_unreachable: Cell<bool>,
    is_silent: Cell<bool>,
    is_cut_off: Cell<bool>,
    /// Delay of each answer.
    delay: Cell<Duration>,
    /// Time for which the next call for changes is left lying.
    hold: Cell<Duration>,
    list_delay: Cell<Duration>,
    lists: Cell<usize>,
    changed: Notify,
    answers: Cell<usize>,
}

impl ScriptedSource {
    pub fn list(&self, report: TargetReport) {
        self.targets.borrow_mut().push(report.clone());
        self.change(Item::Target(report));
    }

    pub fn remove(&self, name: &str) {
        self.targets.borrow_mut().retain(|it| it.name.as_str() != name);
        self.change(Item::TargetRemoved(TargetName::new(name)));
    }

    /// Ends the calls that wait, and fails all others until it is reachable again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.set(is_unreachable);
        self.changed.notify_waiters();
    }

    pub fn publish(&self, cfg: Configuration) {
        *self.configuration.borrow_mut() = cfg.clone();
        self.change(Item::Configuration(cfg));
    }

    /// Leaves calls that are made while it is silent without an answer for ever. Those
    /// that wait are answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.set(is_silent);
    }

    /// Leaves all calls without an answer from now on, those that wait as well.
    pub fn cut_off(&self) {
        self.is_cut_off.set(true);
        self.is_silent.set(true);
    }

    /// Delays all answers that are made from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Works off the next call for changes only after `time`.
    pub fn hold_changes(&self, time: Duration) {
        self.hold.set(time);
    }

    /// Delays complete lists that are made from now on.
    pub fn set_list_delay(&self, delay: Duration) {
        self.list_delay.set(delay);
    }

    pub fn lists(&self) -> usize {
        self.lists.get()
    }

    /// Forgets all changes until now.
    pub fn drop_history(&self) {
        self.dropped.set(self.revision());
    }

    /// Restores a copy of the source from which the last `lost` changes are missing, and states
    /// a new epoch if `states_epoch`.
    pub fn restore(&self, lost: usize, states_epoch: bool) {
        if states_epoch {
            self.epoch.set(Some(self.epoch.get().unwrap_or(0) + 1));
        }
        let kept = self.changes.borrow().len() - lost;
        self.changes.borrow_mut().truncate(kept);
        self.targets.borrow_mut().clear();
        for item in self.changes.borrow().iter() {
            match item {
                Item::Target(it) => self.targets.borrow_mut().push(it.clone()),
                Item::TargetRemoved(it) => self.targets.borrow_mut().retain(|t| t.name != *it),
                Item::Configuration(it) => *self.configuration.borrow_mut() = it.clone(),
                Item::Evacuated(_) | Item::EvacuationEnded(_) => {}
            }
        }
        self.changed.notify_waiters();
    }

    /// Returns the number of calls answered.
    pub fn answers(&self) -> usize {
        self.answers.get()
    }

    fn change(&self, item: Item) {
        self.changes.borrow_mut().push(item);
        self.changed.notify_waiters();
    }

    fn revision(&self) -> u64 {
        self.changes.borrow().len() as u64
    }

    /// Returns items with the position of now.
    fn batch(&self, items: Vec<Item>) -> Batch {
        let position = Position { epoch: self.epoch.get(), revision: self.revision() };
        Batch { items, position, age: None, behind: Some(Duration::ZERO), proof: None }
    }

    async fn accept(&self) {
        if self.is_silent.get() {
            pending::<()>().await;
        }
    }

    fn check_reachable(&self) -> Result<(), SourceError> {
        if self.is_unreachable.get() {
            return Err(SourceError::Unavailable("refused".to_owned()));
        }
        self.answers.set(self.answers.get() + 1);
        Ok(())
    }
}

impl Source for ScriptedSource {
    async fn read(&self, feed: Feed) -> Result<Batch, SourceError> {
        self.accept().await;
        self.check_reachable()?;
        let items = match feed {
            Feed::Targets => self.targets.borrow().iter().cloned().map(Item::Target).collect(),
            Feed::Operations => vec![Item::Configuration(self.configuration.borrow().clone())],
        };
        let batch = self.batch(items);
        self.lists.set(self.lists.get() + 1);
        sleep(self.delay.get() + self.list_delay.get()).await;
        Ok(batch)
    }

    async fn changes(
        &self,
        _feed: Feed,
        after: Position,
        wait: Duration,
    ) -> Result<Batch, SourceError> {
        let revision = after.revision;
        self.accept().await;
        sleep(self.hold.take()).await;
        let changed = self.changed.notified();
        if self.revision() == revision && !self.is_unreachable.get() {
            let _ = timeout(wait, changed).await;
        }
        if self.is_cut_off.get() {
            pending::<()>().await;
        }
        self.check_reachable()?;
        if revision < self.dropped.get() || revision > self.revision() {
            return Err(SourceError::HistoryGone);
        }
        let items = self.changes.borrow()[revision as usize..].to_vec();
        let batch = self.batch(items);
        sleep(self.delay.get()).await;
        Ok(batch)
    }
}
