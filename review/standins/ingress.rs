//! The platform's address for clients: it asks the hosts whether they are ready, and
//! chooses the host of a new connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

use crate::{deployment::Deployment, record::Record};

/// A host in the eyes of the ingress.
struct Entry {
    name: String,
    zone: String,
    callers: SocketAddr,
    ready: SocketAddr,
    misses: AtomicU32,
}

#[derive(Clone)]
pub struct Ingress {
    entries: Arc<Vec<Entry>>,
    record: Record,
}

impl Ingress {
    /// Starts to ask all hosts once per second.
    pub fn start(deployment: &Deployment, record: &Record) -> Ingress {
        let hosts = deployment.hosts.iter();
        let entries = hosts.map(|it| Entry {
            name: it.name.clone(),
            zone: it.zone.clone(),
            callers: it.callers,
            ready: it.ready,
            misses: AtomicU32::new(2),
        });
        let ingress = Ingress { entries: Arc::new(entries.collect()), record: record.clone() };
        for index in 0..ingress.entries.len() {
            let ingress = ingress.clone();
            thread::spawn(move || {
                loop {
                    ingress.ask(index);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        ingress
    }

    fn ask(&self, index: usize) {
        let entry = &self.entries[index];
        let was_in = entry.misses.load(Relaxed) < 2;
        if is_ready(entry.ready) {
            entry.misses.store(0, Relaxed);
        } else {
            entry.misses.fetch_add(1, Relaxed);
        }
        let is_in = entry.misses.load(Relaxed) < 2;
        if was_in != is_in {
            let change = if is_in { "into" } else { "out of" };
            self.record.note(&format!("ingress: {} goes {change} rotation", entry.name));
        }
    }

    pub fn are_all_ready(&self) -> bool {
        self.entries.iter().all(|it| it.misses.load(Relaxed) == 0)
    }

    /// Returns the name and the address of the host for a new connection of a client
    /// in `zone`. If fewer than half of the zone's hosts are in rotation, all of them
    /// are used; if none of them is, those in rotation of the other zones.
    pub fn choose(&self, zone: &str, hash: u64) -> Option<(String, SocketAddr)> {
        let is_in = |it: &&Entry| it.misses.load(Relaxed) < 2;
        let of_zone: Vec<&Entry> = self.entries.iter().filter(|it| it.zone == zone).collect();
        let in_rotation: Vec<&Entry> = of_zone.iter().copied().filter(is_in).collect();
        let candidates = if in_rotation.is_empty() {
            self.entries.iter().filter(is_in).collect()
        } else if in_rotation.len() * 2 < of_zone.len() {
            of_zone
        } else {
            in_rotation
        };
        let chosen = candidates.get(hash as usize % candidates.len().max(1))?;
        Some((chosen.name.clone(), chosen.callers))
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let limit = Duration::from_millis(900);
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&addr, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}
