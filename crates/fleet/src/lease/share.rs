//! How a target's limits are divided between the two rights.

use documents::Target;

use crate::message::Role;

/// What a right allows of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Allowance {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Slots that the standby holds back; the primary borrows them.
const STANDBY_SLOTS: u32 = 1;

/// Parts of a target's connections. Those of a paused process stay open past
/// its lease: two primaries' and one standby's parts still fit.
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
