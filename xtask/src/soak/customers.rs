//! Customers of a run, who send requests with keys. The operator revokes and adds keys and
//! changes limits; clients go on using keys that they had.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};

/// Number of customers of a run that has any.
pub const COUNT: usize = 8;
/// Keys of each customer at the start.
const FIRST_KEYS: usize = 3;
/// Keys of a customer that clients use, the latest ones. Some of them are revoked.
const USED_KEYS: usize = 4;
/// Requests per second, and beyond them after a quiet time, that a customer may send: at
/// the start, and while its limit is lowered. A customer usually sends an eighth of the load.
const LIMIT: Limit = Limit { per_second: 30, burst: 30 };
const LOWERED_LIMIT: Limit = Limit { per_second: 4, burst: 4 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    pub per_second: u32,
    pub burst: u32,
}

/// A customer as a version of the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    pub name: String,
    pub keys: Vec<String>,
    pub limit: Limit,
}

/// Keys that were ever issued to each customer; clones share them.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: Arc<Mutex<Vec<Vec<String>>>>,
}

impl KeyRing {
    pub fn new(customers: &[Customer]) -> KeyRing {
        let keys = customers.iter().map(|it| it.keys.clone()).collect();
        KeyRing { keys: Arc::new(Mutex::new(keys)) }
    }

    /// Returns a key that a client of this number uses now; `None` if there are no customers.
    pub fn choose(&self, client: usize, rng: &mut StdRng) -> Option<String> {
        let keys = self.lock();
        let of_customer = keys.get(client.checked_rem(keys.len())?)?;
        let used = of_customer.get(of_customer.len().saturating_sub(USED_KEYS)..)?;
        used.choose(rng).cloned()
    }

    fn add(&self, customer: usize, key: String) {
        if let Some(keys) = self.lock().get_mut(customer) {
            keys.push(key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Vec<String>>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the customers with which a run begins.
pub fn first() -> Vec<Customer> {
    let key = |customer, number| format!("key-{customer}-{number}");
    let customer = |it| Customer {
        name: format!("customer{it}"),
        keys: (0..FIRST_KEYS).map(|number| key(it, number)).collect(),
        limit: LIMIT,
    };
    (0..COUNT).map(customer).collect()
}

/// Takes a key away from a customer that has more than one.
pub fn revoke_key(customers: &mut [Customer], rng: &mut StdRng) {
    let index = rng.random_range(0..customers.len().max(1));
    let Some(customer) = customers.get_mut(index).filter(|it| it.keys.len() > 1) else { return };
    let key = rng.random_range(0..customer.keys.len());
    customer.keys.remove(key);
}

/// Gives a customer another key, of which its clients learn at once.
pub fn add_key(customers: &mut [Customer], ring: &KeyRing, rng: &mut StdRng) {
    let index = rng.random_range(0..customers.len().max(1));
    let Some(customer) = customers.get_mut(index) else { return };
    let key = format!("key-{index}-{:08x}", rng.random::<u32>());
    customer.keys.push(key.clone());
    ring.add(index, key);
}

/// Lowers the limit of a customer, or raises it again.
pub fn change_limit(customers: &mut [Customer], rng: &mut StdRng) {
    let index = rng.random_range(0..customers.len().max(1));
    let Some(customer) = customers.get_mut(index) else { return };
    customer.limit = if customer.limit == LIMIT { LOWERED_LIMIT } else { LIMIT };
}

/// Returns the customer as the store holds it.
pub fn document(customer: &Customer) -> Value {
    json!({
        "name": customer.name, "keys": customer.keys, "priority": 1,
        "rate_per_s": customer.limit.per_second, "burst": customer.limit.burst,
    })
}
