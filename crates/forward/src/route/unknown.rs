//! What a host knows of a request for which its configuration has no route.
//!
//! A route that is missing in a configuration of long ago may have been added since. Such a
//! host can't tell, and says so: callers then ask another host, while they give up a request
//! whose route does not exist.
//!
//! Load pattern answered: routes are added in quick succession while some hosts hear nothing
//! of the source: it is silent or out of reach, their reader is behind, or they have just
//! started and learned from such a host. Others hear of a version later than their neighbours.

use std::time::Duration;

/// Whether a route that a host doesn't have exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownRoute {
    /// No configuration that is due has it.
    Absent,
    /// It may have been added, and be due, without this host's knowledge.
    Uncertain,
}

/// What a host knows of its configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationView {
    pub version: u64,
    /// Time since it was last known to be the newest one, if it ever was.
    pub age: Option<Duration>,
    /// Latest version that another host is known to have.
    pub elsewhere: u64,
}

impl UnknownRoute {
    /// A published configuration is `due` on all hosts after that time.
    pub fn new(view: ConfigurationView, due: Duration) -> UnknownRoute {
        let is_superseded = view.elsewhere > view.version;
        match view.age {
            Some(age) if age <= due && !is_superseded => UnknownRoute::Absent,
            Some(_) | None => UnknownRoute::Uncertain,
        }
    }
}
