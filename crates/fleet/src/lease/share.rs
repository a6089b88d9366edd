//! Division of a target's limits between the two rights.

use documents::Target;

use crate::message::Role;

/// Slots and connections of one target that a right allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Allowance {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Slots reserved for the standby right; the primary borrows them.
const STANDBY_SLOTS: u32 = 1;

/// Number of parts that a target's connections are divided into. Connections
/// of a paused process stay open past its lease, so the parts of two primaries
/// and one standby must fit.
const CONNECTION_PARTS: u32 = 5;
const PRIMARY_CONNECTION_PARTS: u32 = 2;

pub(crate) fn allowance(target: &Target, role: Role) -> Allowance {
    let reserve = if target.slots > STANDBY_SLOTS { STANDBY_SLOTS } else { 0 };
    let part = target.connections / CONNECTION_PARTS;
    match role {
        Role::Primary => Allowance {
            slots: target.slots - reserve,
            connections: (part * PRIMARY_CONNECTION_PARTS).max(1).min(target.connections),
        },
        Role::Standby => Allowance { slots: reserve, connections: part },
    }
}
