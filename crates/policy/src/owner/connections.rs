//! The connections to one target.
//!
//! They are opened ahead of need, since a new one costs milliseconds, and
//! each carries one request at a time. One of them, where the share allows a
//! second, is set aside for load reports and cancellations.

use std::time::Duration;

use base::{AttemptId, Time};

use super::input::ConnectionId;

/// Data connections kept open beyond the slots, so that replacing one costs
/// no request a wait.
const SPARE_CONNECTIONS: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Data,
    Control,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Opening,
    Idle,
    Serving(AttemptId),
    /// Carries a probe.
    Probing,
    Cancelling(AttemptId),
}

impl State {
    fn is_controlling(self) -> bool {
        matches!(self, State::Probing | State::Cancelling(_))
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub id: ConnectionId,
    pub role: Role,
    pub state: State,
    /// When the state was entered; for an idle one, its last success.
    pub since: Time,
    pub opened_at: Time,
}

#[derive(Clone, Debug, Default)]
pub struct Connections {
    all: Vec<Connection>,
    next_id: u64,
}

/// How many connections of each role the target should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    pub data: u32,
    pub control: u32,
}

impl Wanted {
    /// What a share of `connections` and `slots` allows and needs.
    pub fn new(connections: u32, slots: u32) -> Self {
        let control = u32::from(connections >= 2);
        let data = (slots + SPARE_CONNECTIONS).min(connections - control.min(connections));
        Wanted { data, control }
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

    /// The role that lacks a connection: one for data, one for control, then
    /// the others for data.
    pub fn lacking(&self, wanted: Wanted) -> Option<Role> {
        let has_data = self.count(Role::Data) > 0;
        let order =
            if has_data { [Role::Control, Role::Data] } else { [Role::Data, Role::Control] };
        order.into_iter().find(|&it| self.count(it) < wanted.of(it))
    }

    pub fn is_controlling(&self) -> bool {
        self.all.iter().any(|it| it.state.is_controlling())
    }

    /// An idle connection beyond what is wanted.
    pub fn surplus(&self, wanted: Wanted) -> Option<ConnectionId> {
        let role = [Role::Data, Role::Control]
            .into_iter()
            .find(|&it| self.count(it) > wanted.of(it) && self.idle(it).is_some())?;
        self.idle(role)
    }

    pub fn opening(&self) -> usize {
        self.all.iter().filter(|it| it.state == State::Opening).count()
    }

    /// Whether some connection is open, used or not.
    pub fn any_open(&self) -> bool {
        self.all.iter().any(|it| it.state != State::Opening)
    }

    pub fn add(&mut self, now: Time, role: Role) -> ConnectionId {
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        self.all.push(Connection { id, role, state: State::Opening, since: now, opened_at: now });
        id
    }

    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let index = self.all.iter().position(|it| it.id == id)?;
        Some(self.all.swap_remove(index))
    }

    /// Puts a connection into `state`; false if there is none of that id.
    pub fn set(&mut self, now: Time, id: ConnectionId, state: State) -> bool {
        let Some(connection) = self.all.iter_mut().find(|it| it.id == id) else { return false };
        connection.state = state;
        connection.since = now;
        true
    }

    /// The idle connection of a role that was unused for longest, so that
    /// traffic keeps all of them warm.
    pub fn idle(&self, role: Role) -> Option<ConnectionId> {
        let idle = self.all.iter().filter(|it| it.role == role && it.state == State::Idle);
        idle.min_by_key(|it| (it.since, it.id)).map(|it| it.id)
    }

    /// An idle connection that was unused for at least `time`.
    pub fn idle_for(&self, now: Time, time: Duration) -> Option<ConnectionId> {
        let idle = self.all.iter().filter(|it| it.state == State::Idle);
        idle.min_by_key(|it| (it.since, it.id))
            .filter(|it| now.since(it.since) >= time)
            .map(|it| it.id)
    }

    /// A connection whose probe or cancellation takes at least `time`.
    pub fn controlling_for(&self, now: Time, time: Duration) -> Option<Connection> {
        let is_controlling = |it: &Connection| it.state.is_controlling();
        let mut used = self.all.iter().filter(|it| is_controlling(it));
        used.find(|it| now.since(it.since) >= time).copied()
    }

    /// An idle connection without a success since `time`.
    pub fn idle_since_before(&self, time: Time) -> Option<ConnectionId> {
        let mut idle = self.all.iter().filter(|it| it.state == State::Idle);
        idle.find(|it| it.since < time).map(|it| it.id)
    }

    fn count(&self, role: Role) -> u32 {
        let count = self.all.iter().filter(|it| it.role == role).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
