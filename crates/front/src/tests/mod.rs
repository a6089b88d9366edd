//! Messages of hosts of other builds, as their encoders wrote them, and what they say; and
//! messages that were damaged.

pub(crate) mod damage;
pub(crate) mod recorded;
pub(crate) mod samples;
