//! Faults of the store. Each counts how often it is in effect, as faults overlap.

use std::time::Duration;

use super::super::record::HostIndex;

pub struct Faults {
    /// Calls that come in get no answer, then or later.
    silent: u32,
    /// All answers wait so long.
    delays: Vec<Duration>,
    /// Of so many answers, one is lost.
    losing: Vec<u64>,
    answers: u64,
    hosts: Vec<HostFaults>,
}

#[derive(Clone, Default)]
struct HostFaults {
    /// Calls get a 503.
    refused: u32,
    /// Connections are closed at once, those of waiting calls as well.
    cut: u32,
    /// Calls get no answer.
    silent: u32,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    Serve,
    Ignore,
    Refuse,
    Close,
}

/// A fault of the store towards one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFault {
    Refused,
    Cut,
    Silent,
}

impl Faults {
    pub fn new(hosts: usize) -> Self {
        let hosts = vec![HostFaults::default(); hosts];
        Faults { silent: 0, delays: Vec::new(), losing: Vec::new(), answers: 0, hosts }
    }

    pub fn begin_silence(&mut self) {
        self.silent += 1;
    }

    pub fn end_silence(&mut self) {
        self.silent = self.silent.saturating_sub(1);
    }

    pub fn begin_delay(&mut self, delay: Duration) {
        self.delays.push(delay);
    }

    pub fn end_delay(&mut self, delay: Duration) {
        remove_one(&mut self.delays, &delay);
    }

    pub fn begin_loss(&mut self, one_of: u64) {
        self.losing.push(one_of.max(1));
    }

    pub fn end_loss(&mut self, one_of: u64) {
        remove_one(&mut self.losing, &one_of.max(1));
    }

    pub fn begin_host(&mut self, host: HostIndex, fault: HostFault) {
        if let Some(count) = self.host(host, fault) {
            *count += 1;
        }
    }

    pub fn end_host(&mut self, host: HostIndex, fault: HostFault) {
        if let Some(count) = self.host(host, fault) {
            *count = count.saturating_sub(1);
        }
    }

    fn host(&mut self, host: HostIndex, fault: HostFault) -> Option<&mut u32> {
        let faults = self.hosts.get_mut(host)?;
        Some(match fault {
            HostFault::Refused => &mut faults.refused,
            HostFault::Cut => &mut faults.cut,
            HostFault::Silent => &mut faults.silent,
        })
    }

    pub fn reaction(&self, host: HostIndex) -> Reaction {
        let Some(of_host) = self.hosts.get(host) else { return Reaction::Serve };
        if of_host.cut > 0 {
            Reaction::Close
        } else if self.silent > 0 || of_host.silent > 0 {
            Reaction::Ignore
        } else if of_host.refused > 0 {
            Reaction::Refuse
        } else {
            Reaction::Serve
        }
    }

    pub fn delay(&self) -> Duration {
        self.delays.iter().copied().max().unwrap_or_default()
    }

    /// Counts an answer; returns whether it is lost.
    pub fn loses_answer(&mut self) -> bool {
        self.answers += 1;
        self.losing.iter().any(|it| self.answers.is_multiple_of(*it))
    }
}

fn remove_one<T: PartialEq>(values: &mut Vec<T>, value: &T) {
    if let Some(index) = values.iter().position(|it| it == value) {
        values.swap_remove(index);
    }
}
