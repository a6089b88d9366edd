//! The platform's address for clients: asks each host once per second whether it is
//! ready, and chooses the host of a new connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use super::{
    hosts::Host,
    record::{HostIndex, Recorder},
};

/// Time between two readiness checks of a host.
pub const PERIOD: Duration = Duration::from_secs(1);
/// Misses after which a host gets no new connections.
const MAX_MISSES: u32 = 2;
/// Limit on an answer to the readiness check, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

#[derive(Clone)]
pub struct Ingress {
    entries: Arc<Vec<Entry>>,
}

struct Entry {
    host: Arc<Host>,
    misses: AtomicU32,
}

impl Ingress {
    /// Starts to ask all hosts.
    pub fn start(hosts: &[Arc<Host>], recorder: &Recorder) -> Self {
        let entry = |it: &Arc<Host>| Entry { host: Arc::clone(it), misses: MAX_MISSES.into() };
        let ingress = Ingress { entries: Arc::new(hosts.iter().map(entry).collect()) };
        for index in 0..hosts.len() {
            let (ingress, recorder) = (ingress.clone(), recorder.clone());
            tokio::spawn(async move { ingress.ask_forever(index, &recorder).await });
        }
        ingress
    }

    async fn ask_forever(&self, index: usize, recorder: &Recorder) {
        let entry = &self.entries[index];
        let mut interval = time::interval(PERIOD);
        loop {
            interval.tick().await;
            let was_in = entry.is_in();
            if is_ready(entry.host.ready).await {
                entry.misses.store(0, Ordering::Relaxed);
            } else {
                entry.misses.fetch_add(1, Ordering::Relaxed);
            }
            if was_in != entry.is_in() {
                let change = if was_in { "leaves" } else { "enters" };
                recorder.note(format!("{} {change} rotation", entry.host.name));
            }
        }
    }

    pub fn are_all_ready(&self) -> bool {
        self.entries.iter().all(|it| it.misses.load(Ordering::Relaxed) == 0)
    }

    /// Returns whether a host answered its last readiness check.
    pub fn is_ready(&self, host: HostIndex) -> bool {
        self.entries[host].misses.load(Ordering::Relaxed) == 0
    }

    /// Returns the hosts that answered the last readiness check.
    pub fn ready(&self) -> Vec<Arc<Host>> {
        let ready = self.entries.iter().filter(|it| it.misses.load(Ordering::Relaxed) == 0);
        ready.map(|it| Arc::clone(&it.host)).collect()
    }

    /// Returns the host for a new connection of a client in `domain`. If fewer than half
    /// of the domain's hosts are in rotation, all of them are used; if none is, those of
    /// the other domains.
    pub fn choose(&self, domain: &str, hash: u64) -> Option<Arc<Host>> {
        let of_domain: Vec<&Entry> =
            self.entries.iter().filter(|it| it.host.domain == domain).collect();
        let in_rotation: Vec<&Entry> = of_domain.iter().copied().filter(|it| it.is_in()).collect();
        let candidates = if in_rotation.is_empty() {
            self.entries.iter().filter(|it| it.is_in()).collect()
        } else if in_rotation.len() * 2 < of_domain.len() {
            of_domain
        } else {
            in_rotation
        };
        let index = usize::try_from(hash % candidates.len().max(1) as u64).ok()?;
        candidates.get(index).map(|it| Arc::clone(&it.host))
    }
}

impl Entry {
    fn is_in(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < MAX_MISSES
    }
}

async fn is_ready(addr: SocketAddr) -> bool {
    let answer = time::timeout(PERIOD, get(addr, "/v1/readyz")).await;
    answer.is_ok_and(|it| it.is_some_and(|it| it.starts_with("HTTP/1.1 200")))
}

/// Returns whether a host says in its metrics that it reads the store itself.
pub async fn reads_store(host: &Host) -> bool {
    let answer = time::timeout(PERIOD, get(host.metrics, "/metrics")).await;
    let Ok(Some(text)) = answer else { return false };
    let line = text.lines().find(|it| it.contains("reads_source") && !it.starts_with('#'));
    line.is_some_and(|it| it.trim_end().ends_with(" 1"))
}

async fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer).await.ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}
