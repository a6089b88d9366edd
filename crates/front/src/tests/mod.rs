//! Messages of hosts of other builds, as their encoders wrote them, and what they say.

pub(crate) mod recorded;
pub(crate) mod samples;
