//! Which host sent what reached a target. A connection belongs to one host, which the
//! requests on it tell, unless hosts pass requests on; so also health checks have a sender.

use base::HashMap;

use crate::soak::record::{Arrival, Attempt, HostIndex, Record};

pub struct Senders<'a> {
    attempts: HashMap<&'a str, &'a Attempt>,
    /// Hosts of the requests on each connection.
    connections: HashMap<u64, Vec<HostIndex>>,
}

impl<'a> Senders<'a> {
    pub fn new(record: &'a Record) -> Self {
        let attempts: HashMap<&str, &Attempt> =
            record.attempts.iter().map(|it| (it.id.as_str(), it)).collect();
        let mut connections: HashMap<u64, Vec<HostIndex>> = HashMap::default();
        for arrival in &record.arrivals {
            let attempt = arrival.id.as_deref().and_then(|it| attempts.get(it));
            let Some(attempt) = attempt else { continue };
            let hosts = connections.entry(arrival.connection).or_default();
            if !hosts.contains(&attempt.host) {
                hosts.push(attempt.host);
            }
        }
        Senders { attempts, connections }
    }

    /// Returns whether hosts pass requests on to each other: then a connection with requests
    /// of clients of one host may still be that of another.
    pub fn are_passed_on(&self) -> bool {
        self.connections.values().any(|it| it.len() > 1)
    }

    /// Returns the attempt to which an arrival belongs; none for a health check.
    pub fn attempt(&self, arrival: &Arrival) -> Option<&'a Attempt> {
        self.attempts.get(arrival.id.as_deref()?).copied()
    }

    /// Returns the host that sent a request, if its connection tells: one that carries
    /// requests of clients of several hosts is that of a host to which others pass them on.
    pub fn host(&self, arrival: &Arrival) -> Option<HostIndex> {
        match self.connections.get(&arrival.connection)?.as_slice() {
            [host] => Some(*host),
            _ => None,
        }
    }
}
