//! Lookup of a customer by key or name.

use std::rc::Rc;

use base::{CustomerName, HashMap, HashSet};

use super::{Customer, KeyDigest, RateLimit};

/// Limit on the customers that metrics name: the largest ones by their limits.
const MAX_SHOWN: usize = 8;

/// What metrics call all other customers.
const OTHER: &str = "other";

/// The customers of one configuration, by their keys and names.
#[derive(Debug, Default)]
pub struct CustomerTable {
    by_key: HashMap<KeyDigest, Rc<Customer>>,
    by_name: HashMap<CustomerName, Rc<Customer>>,
    /// Customers that metrics name.
    shown: HashSet<CustomerName>,
}

impl CustomerTable {
    pub fn new(customers: &[Customer]) -> CustomerTable {
        let customers: Vec<Rc<Customer>> = customers.iter().cloned().map(Rc::new).collect();
        let keys = customers.iter().flat_map(|it| it.keys.iter().map(|key| (*key, it.clone())));
        let names = customers.iter().map(|it| (it.name.clone(), it.clone()));
        let (by_key, by_name) = (keys.collect(), names.collect());
        CustomerTable { by_key, by_name, shown: shown(&customers) }
    }

    /// Returns whether the configuration names no customers, so that no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the customer that holds the key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<Customer>> {
        self.by_key.get(key)
    }

    /// Returns what metrics call the customer, so that their labels stay few.
    pub fn shown_name<'a>(&self, name: &'a CustomerName) -> &'a str {
        if self.shown.contains(name) { name } else { OTHER }
    }

    /// Returns the limit of the customer of this name, if there is one.
    pub fn limit_of(&self, name: &CustomerName) -> Option<RateLimit> {
        self.by_name.get(name)?.limit()
    }
}

/// Returns the names of the largest customers. Those without a limit come first.
fn shown(customers: &[Rc<Customer>]) -> HashSet<CustomerName> {
    let rate = |it: &Customer| it.limit.map_or(f64::INFINITY, |limit| limit.per_second);
    let mut largest: Vec<&Rc<Customer>> = customers.iter().collect();
    largest.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then_with(|| a.name.cmp(&b.name)));
    largest.into_iter().take(MAX_SHOWN).map(|it| it.name.clone()).collect()
}
