//! Connections to one target.
//!
//! Connections are opened before they are needed, since opening one takes
//! milliseconds, and each carries one request at a time. If the share allows
//! two or more, one is reserved for load reports and cancellations.

use std::time::Duration;

use base::{AttemptId, Time};

use super::input::ConnectionId;

/// Data connections kept open beyond the slots, so that no request waits while
/// one is replaced.
const SPARE_DATA_CONNECTIONS: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Data,
    Control,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    Opening,
    Idle,
    Serving(AttemptId),
    Probing,
    Cancelling(AttemptId),
}

impl ConnectionState {
    fn is_control_call(self) -> bool {
        matches!(self, ConnectionState::Probing | ConnectionState::Cancelling(_))
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub id: ConnectionId,
    pub role: Role,
    pub state: ConnectionState,
    /// Time at which the state was entered. For an idle connection, the time of
    /// its last success.
    pub since: Time,
    pub opened_at: Time,
}

#[derive(Clone, Debug, Default)]
pub struct Connections {
    all: Vec<Connection>,
    next_id: u64,
}

/// Number of connections of each role that the target should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DesiredConnections {
    pub data: u32,
    pub control: u32,
}

impl DesiredConnections {
    /// Returns the numbers needed for `slots`, within a share of `connections`.
    pub fn new(connections: u32, slots: u32) -> Self {
        let control = u32::from(connections >= 2);
        let data = (slots + SPARE_DATA_CONNECTIONS).min(connections - control.min(connections));
        DesiredConnections { data, control }
    }

    fn of(self, role: Role) -> u32 {
        match role {
            Role::Data => self.data,
            Role::Control => self.control,
        }
    }
}

impl Connections {
    pub fn len(&self) -> u32 {
        u32::try_from(self.all.len()).unwrap_or(u32::MAX)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Connection> {
        self.all.iter()
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.all.iter().find(|it| it.id == id)
    }

    /// Returns the role of the connection to open next: one for data, one for
    /// control, then the others for data.
    pub fn missing_role(&self, desired: DesiredConnections) -> Option<Role> {
        let has_data = self.count(Role::Data) > 0;
        let order =
            if has_data { [Role::Control, Role::Data] } else { [Role::Data, Role::Control] };
        order.into_iter().find(|&it| self.count(it) < desired.of(it))
    }

    /// Returns whether a probe or a cancellation is in flight.
    pub fn has_control_call(&self) -> bool {
        self.all.iter().any(|it| it.state.is_control_call())
    }

    /// Returns an idle connection of a role that has more than desired.
    pub fn surplus_idle(&self, desired: DesiredConnections) -> Option<ConnectionId> {
        let role = [Role::Data, Role::Control]
            .into_iter()
            .find(|&it| self.count(it) > desired.of(it) && self.idle(it).is_some())?;
        self.idle(role)
    }

    pub fn opening_count(&self) -> usize {
        self.all.iter().filter(|it| it.state == ConnectionState::Opening).count()
    }

    /// Returns whether any connection is open, idle or in use.
    pub fn has_open(&self) -> bool {
        self.all.iter().any(|it| it.state != ConnectionState::Opening)
    }

    pub fn add(&mut self, now: Time, role: Role) -> ConnectionId {
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        self.all.push(Connection {
            id,
            role,
            state: ConnectionState::Opening,
            since: now,
            opened_at: now,
        });
        id
    }

    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let index = self.all.iter().position(|it| it.id == id)?;
        Some(self.all.swap_remove(index))
    }

    /// Sets the state of a connection. Returns false if there is none of that
    /// id.
    pub fn set(&mut self, now: Time, id: ConnectionId, state: ConnectionState) -> bool {
        let Some(connection) = self.all.iter_mut().find(|it| it.id == id) else { return false };
        connection.state = state;
        connection.since = now;
        true
    }

    /// Returns the connection of a role that has been idle longest, so that
    /// traffic keeps all of them alive.
    pub fn idle(&self, role: Role) -> Option<ConnectionId> {
        let idle =
            self.all.iter().filter(|it| it.role == role && it.state == ConnectionState::Idle);
        idle.min_by_key(|it| (it.since, it.id)).map(|it| it.id)
    }

    /// Returns the connection that has been idle longest, if it has been idle
    /// for at least `time`.
    pub fn idle_at_least(&self, now: Time, time: Duration) -> Option<ConnectionId> {
        let idle = self.all.iter().filter(|it| it.state == ConnectionState::Idle);
        idle.min_by_key(|it| (it.since, it.id))
            .filter(|it| now.since(it.since) >= time)
            .map(|it| it.id)
    }

    /// Returns a connection whose probe or cancellation has taken at least
    /// `time`.
    pub fn overdue_control_call(&self, now: Time, time: Duration) -> Option<Connection> {
        let is_control_call = |it: &Connection| it.state.is_control_call();
        let mut used = self.all.iter().filter(|it| is_control_call(it));
        used.find(|it| now.since(it.since) >= time).copied()
    }

    /// Returns an idle connection without a success since `time`.
    pub fn idle_since_before(&self, time: Time) -> Option<ConnectionId> {
        let mut idle = self.all.iter().filter(|it| it.state == ConnectionState::Idle);
        idle.find(|it| it.since < time).map(|it| it.id)
    }

    fn count(&self, role: Role) -> u32 {
        let count = self.all.iter().filter(|it| it.role == role).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
