//! Finds the customer that sends a request, by the key in its head.

use forward::{
    customers::{CustomerTable, KeyDigest},
    route::Route,
};
use http::{HeaderMap, header};

use super::Origin;
use crate::{
    HeaderNames,
    messages::{Identity, Relay},
};

const SCHEME: &[u8] = b"bearer";

/// Why a request on a route that needs a key is of no customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unidentified {
    /// More than one field states credentials.
    Ambiguous,
    NoKey,
    UnknownKey,
}

impl Unidentified {
    pub(super) fn reason(self) -> &'static str {
        match self {
            Unidentified::Ambiguous => "two authorizations are stated",
            Unidentified::NoKey => "the request has no key",
            Unidentified::UnknownKey => "the key is unknown",
        }
    }
}

/// Returns who sends a request, or `None` if its route needs no key.
pub(super) fn identify(
    customers: &CustomerTable,
    route: &Route,
    headers: &HeaderMap,
    origin: Origin,
) -> Result<Option<Identity>, Unidentified> {
    if customers.is_empty() || route.is_open {
        return Ok(None);
    }
    let key = match origin {
        Origin::Host(Relay { key: Some(key), .. }) => key,
        // A host whose configuration has no customers passes on what the caller states.
        Origin::Caller | Origin::Host(_) => stated_key(headers)?,
    };
    let customer = customers.find(&key).ok_or(Unidentified::UnknownKey)?.clone();
    Ok(Some(Identity { customer, key }))
}

/// Returns the digest of the key that a caller states.
fn stated_key(headers: &HeaderMap) -> Result<KeyDigest, Unidentified> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(Unidentified::NoKey)?;
    if values.next().is_some() {
        return Err(Unidentified::Ambiguous);
    }
    let value = value.as_bytes().trim_ascii();
    let (scheme, key) = value.split_at_checked(SCHEME.len()).ok_or(Unidentified::NoKey)?;
    let is_separated = key.first().is_some_and(u8::is_ascii_whitespace);
    if !scheme.eq_ignore_ascii_case(SCHEME) || !is_separated {
        return Err(Unidentified::NoKey);
    }
    Ok(KeyDigest::of(key.trim_ascii_start()))
}

/// Removes what only this tier may see or set: the key, and the customer's name.
pub(super) fn remove_credentials(
    customers: &CustomerTable,
    names: &HeaderNames,
    headers: &mut HeaderMap,
) {
    if !customers.is_empty() {
        headers.remove(header::AUTHORIZATION);
        headers.remove(&names.customer);
    }
}
