//! A document of any kind, and the places of its values.

use base::{HashMap, Place};

use crate::model::{Domain, Pool, Service};

/// One checked document.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    Service(Service),
    Pool(Pool),
    Domain(Domain),
}

/// A value with its place and the places of the fields within it.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    pub value: T,
    pub place: Place,
    pub places: Places,
}

/// Places of values by path, such as `pool` or `targets/3/domain`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Places(HashMap<String, Place>);

impl Document {
    /// Returns the key under which the platform stores the document: `service/NAME`,
    /// `pool/NAME` or `domain/NAME`.
    pub fn key(&self) -> String {
        match self {
            Document::Service(it) => format!("service/{}", it.name),
            Document::Pool(it) => format!("pool/{}", it.name),
            Document::Domain(it) => format!("domain/{}", it.name),
        }
    }
}

impl<T> Located<T> {
    /// Returns the place of the value at `path`, or of the whole value if there is
    /// nothing at `path`.
    pub fn place_of(&self, path: &str) -> Place {
        self.places.0.get(path).unwrap_or(&self.place).clone()
    }
}

impl Places {
    pub(crate) fn insert(&mut self, path: String, place: Place) {
        self.0.insert(path, place);
    }
}
