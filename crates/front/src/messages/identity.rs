//! The customer that sends a request.

use std::{fmt, rc::Rc};

use forward::customers::{Customer, KeyDigest};

/// A customer, and the key by which a request is its own.
#[derive(Clone)]
pub(crate) struct Identity {
    pub customer: Rc<Customer>,
    pub key: KeyDigest,
}

impl fmt::Debug for Identity {
    /// Names the customer only.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Identity").field(&self.customer.name).finish()
    }
}
