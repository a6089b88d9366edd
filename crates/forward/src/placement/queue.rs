//! Queue of the sends that wait for a connection to a service's targets.
//!
//! Load pattern answered: bursts, slow targets and partitions, when more work
//! arrives than targets can take. Entries that can still be answered in time go
//! before those that are late already; among these the most urgent goes first,
//! then that of the customer that was least recently served, then the oldest. Entries
//! past their deadline are dropped unsent.

use base::{HashMap, Time};

use super::turns::Turns;
use crate::customers::CustomerKey;

/// Limit of queue entries for one service at one host.
const MAX_WAITING: usize = 256;

/// A queue entry.
#[derive(Clone, Debug)]
pub struct Waiting<W> {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Customers take turns; requests without one do so together.
    pub customer: Option<CustomerKey>,
    /// Time after which an answer is late.
    pub in_time_until: Time,
    /// Time after which the entry is dropped.
    pub deadline: Time,
    pub waiter: W,
}

#[derive(Debug)]
pub(super) struct Queue<W> {
    /// Sorted by priority, then by age.
    waiting: Vec<Waiting<W>>,
    turns: Turns,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Queue { waiting: Vec::new(), turns: Turns::default() }
    }
}

impl<W> Queue<W> {
    /// Inserts `it` behind all entries that are at least as urgent; returns it as an
    /// error if the queue is full, or if its customer has its share of the queue already.
    pub(super) fn push(&mut self, it: Waiting<W>) -> Result<(), Waiting<W>> {
        if self.waiting.len() >= MAX_WAITING || self.is_beyond_share(it.customer) {
            return Err(it);
        }
        let behind = self.waiting.iter().rposition(|other| other.priority <= it.priority);
        self.waiting.insert(behind.map_or(0, |index| index + 1), it);
        Ok(())
    }

    /// Drops expired entries, then removes and returns the first that is in time, or
    /// else the first.
    pub(super) fn pop(&mut self, now: Time) -> Option<Waiting<W>> {
        self.waiting.retain(|it| it.deadline > now);
        let in_time = self.waiting.iter().position(|it| it.in_time_until > now);
        let index = self.first_turn(in_time.unwrap_or(0), now)?;
        let next = self.waiting.remove(index);
        self.turns.record(next.customer);
        Some(next)
    }

    /// Returns the index of the entry whose customer has the first turn, among those that are
    /// as urgent as the one at `first` and in time if that one is.
    fn first_turn(&self, first: usize, now: Time) -> Option<usize> {
        let Waiting { priority, in_time_until, .. } = *self.waiting.get(first)?;
        let is_equal = |it: &Waiting<W>| {
            it.priority == priority && (it.in_time_until > now) == (in_time_until > now)
        };
        let equal = self.waiting.iter().enumerate().skip(first).filter(|(_, it)| is_equal(it));
        let next = equal.min_by_key(|(_, it)| self.turns.last_of(it.customer));
        next.map(|(index, _)| index)
    }

    /// Returns whether a customer has as many entries as leave room for one more customer
    /// than there are.
    fn is_beyond_share(&self, customer: Option<CustomerKey>) -> bool {
        if customer.is_none() {
            return false;
        }
        let counts = self.counts();
        let own = counts.get(&customer).copied().unwrap_or(0);
        let customers = counts.len() + usize::from(own == 0);
        own >= MAX_WAITING / (customers + 1)
    }

    /// Returns the number of entries that are expected to go before a new one of a customer.
    pub(super) fn count_before(&self, customer: Option<CustomerKey>) -> usize {
        // The usual case, as without customers: no counts are needed.
        if self.waiting.iter().all(|it| it.customer == customer) {
            return self.waiting.len();
        }
        let counts = self.counts();
        let own = counts.get(&customer).copied().unwrap_or(0);
        let others = counts.iter().filter(|(it, _)| **it != customer);
        own + others.map(|(_, count)| (own + 1).min(*count)).sum::<usize>()
    }

    fn counts(&self) -> HashMap<Option<CustomerKey>, usize> {
        let mut counts = HashMap::default();
        for it in &self.waiting {
            *counts.entry(it.customer).or_insert(0) += 1;
        }
        counts
    }

    /// Removes and returns an entry that is late at `at`.
    pub(super) fn pop_late(&mut self, at: Time) -> Option<Waiting<W>> {
        let index = self.waiting.iter().position(|it| it.in_time_until < at)?;
        Some(self.waiting.remove(index))
    }

    /// Removes the entries for whose waiter `is_over` returns true.
    pub(super) fn remove_waiting(&mut self, is_over: impl Fn(&W) -> bool) {
        self.waiting.retain(|it| !is_over(&it.waiter));
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
