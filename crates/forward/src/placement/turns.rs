//! Turns of customers in a queue.
//!
//! Load pattern answered: a customer that sends several times its usual rate while targets are
//! overloaded. First come, first served would give it as large a part of the targets.

use base::HashMap;

use crate::customers::CustomerKey;

/// Customers that are remembered beyond those that wait.
const MAX_REMEMBERED: usize = 1_024;

/// When each customer was last served. Requests without a customer take turns as one.
#[derive(Debug, Default)]
pub(super) struct Turns {
    last: HashMap<Option<CustomerKey>, u64>,
    next: u64,
}

impl Turns {
    pub(super) fn record(&mut self, customer: Option<CustomerKey>) {
        if self.last.len() >= MAX_REMEMBERED {
            let recent = self.next.saturating_sub(MAX_REMEMBERED as u64 / 2);
            self.last.retain(|_, last| *last > recent);
        }
        self.next += 1;
        self.last.insert(customer, self.next);
    }

    /// Returns the turn in which the customer was last served, 0 if it was not lately.
    pub(super) fn last_of(&self, customer: Option<CustomerKey>) -> u64 {
        self.last.get(&customer).copied().unwrap_or(0)
    }
}
