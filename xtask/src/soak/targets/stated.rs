//! What a target states of itself in its answers: that it leaves, and that it wants a
//! pause.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// What the answers of a target state now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stated {
    pub is_leaving: bool,
    /// Whether a connection ends with the answer.
    pub closes_connections: bool,
    pause: Option<Pause>,
}

/// A pause that a target asks for as it rejects requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    pub length: Duration,
    /// One of so many requests is rejected.
    pub one_of: u64,
}

/// The state of a target's process, which all its connections share.
#[derive(Debug, Default)]
pub struct StatedCell {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    stated: Stated,
    /// Requests since the pause was set.
    requests: u64,
}

impl StatedCell {
    pub fn get(&self) -> Stated {
        self.lock().stated
    }

    pub fn leave(&self, closes_connections: bool) {
        let stated = &mut self.lock().stated;
        stated.is_leaving = true;
        stated.closes_connections = closes_connections;
    }

    pub fn set_pause(&self, pause: Option<Pause>) {
        let mut state = self.lock();
        state.stated.pause = pause;
        state.requests = 0;
    }

    /// Returns the pause to ask for if the next request is to be rejected.
    pub fn take_pause(&self) -> Option<Duration> {
        let mut state = self.lock();
        let pause = state.stated.pause?;
        let number = state.requests;
        state.requests += 1;
        number.is_multiple_of(pause.one_of).then_some(pause.length)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
