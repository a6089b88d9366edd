//! Wire format of what a configuration says of customers. [`WireConfiguration`] is fixed and
//! has no room for it, so it travels beside: hosts of older builds skip it.

use base::CustomerName;
use base64::{Engine, engine::general_purpose::STANDARD};
use forward::{
    Configuration,
    customers::{Customer, KeyDigest, RateLimit},
};
use serde::{Deserialize, Deserializer, Serialize, de::Error};

use super::wire::WireConfiguration;

/// Customers of a configuration, and its routes that need no key.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireCustomers {
    customers: Vec<WireCustomer>,
    /// Positions of the open routes among all.
    open_routes: Vec<u32>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireCustomer {
    name: String,
    keys: Vec<WireKey>,
    limit: Option<WireLimit>,
    priority: Option<u32>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireLimit {
    #[serde(deserialize_with = "amount")]
    per_second: f64,
    #[serde(deserialize_with = "amount")]
    burst: f64,
}

/// Digest of a key, in base64.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
struct WireKey(KeyDigest);

/// Reads a number of requests.
fn amount<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(deserializer)?;
    let is_in_range = value.is_finite() && value >= 0.0;
    is_in_range.then_some(value).ok_or_else(|| D::Error::custom("a limit is out of range"))
}

impl WireCustomers {
    /// Returns what the fixed format lacks, if the configuration has any of it.
    pub(crate) fn of(cfg: &Configuration) -> Option<WireCustomers> {
        let open = cfg.routes.iter().enumerate().filter(|(_, it)| it.is_open);
        let open_routes: Vec<u32> = open.map(|(index, _)| index as u32).collect();
        let customers: Vec<WireCustomer> = cfg.customers.iter().map(WireCustomer::from).collect();
        let is_empty = customers.is_empty() && open_routes.is_empty();
        (!is_empty).then_some(WireCustomers { customers, open_routes })
    }

    /// Adds the customers to their configuration.
    pub(crate) fn add_to(self, cfg: &mut Configuration) {
        cfg.customers = self.customers.into_iter().map(Customer::from).collect();
        for index in self.open_routes {
            if let Some(route) = cfg.routes.get_mut(index as usize) {
                route.is_open = true;
            }
        }
    }
}

/// Returns a configuration and its customers, if they came with it.
pub(super) fn configuration(
    wire: WireConfiguration,
    customers: Option<WireCustomers>,
) -> Configuration {
    let mut cfg = Configuration::from(wire);
    if let Some(customers) = customers {
        customers.add_to(&mut cfg);
    }
    cfg
}

impl From<&Customer> for WireCustomer {
    fn from(customer: &Customer) -> Self {
        let limit = customer.limit;
        WireCustomer {
            name: customer.name.to_string(),
            keys: customer.keys.iter().copied().map(WireKey).collect(),
            limit: limit.map(|it| WireLimit { per_second: it.per_second, burst: it.burst }),
            priority: customer.priority,
        }
    }
}

impl From<WireCustomer> for Customer {
    fn from(wire: WireCustomer) -> Self {
        let limit = wire.limit;
        Customer {
            name: CustomerName::from(wire.name),
            keys: wire.keys.into_iter().map(|it| it.0).collect(),
            limit: limit.map(|it| RateLimit { per_second: it.per_second, burst: it.burst }),
            priority: wire.priority,
        }
    }
}

impl From<WireKey> for String {
    fn from(key: WireKey) -> String {
        STANDARD.encode(key.0.as_bytes())
    }
}

impl TryFrom<String> for WireKey {
    type Error = &'static str;

    fn try_from(text: String) -> Result<WireKey, &'static str> {
        let bytes = STANDARD.decode(text).ok().and_then(|it| it.try_into().ok());
        bytes.map(|it| WireKey(KeyDigest::from_bytes(it))).ok_or("a digest of a key is invalid")
    }
}
