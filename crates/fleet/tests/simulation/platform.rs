//! A platform that may be down or stale, and the documents that it serves.

use std::{sync::Arc, time::Duration};

use base::{Revision, TargetName, Time};
use fleet::{IndexEntry, Input};

const CALL: Duration = Duration::from_millis(5);

/// How long a poll is held in truth; shorter than asked, as a proxy may do.
const HOLD: Duration = Duration::from_millis(1_000);

#[derive(Default)]
pub struct Platform {
    pub is_down: bool,
    /// Serves what it held at this revision.
    pub stale_at: Option<Revision>,
    pub calls: u64,
    changes: Vec<(Arc<str>, Option<Arc<str>>)>,
}

impl Platform {
    pub fn publish(&mut self, key: &str, text: Option<&str>) -> Revision {
        self.changes.push((key.into(), text.map(Arc::from)));
        Revision(self.changes.len() as u64)
    }

    /// Publishes the documents of every domain and a pool over them.
    pub fn publish_basics(&mut self, domains: usize) {
        for d in 0..domains {
            let text = format!("kind: domain\nname: d{d}\nregion: r0\nstate: in\n");
            self.publish(&format!("domain/d{d}"), Some(&text));
        }
        self.publish("pool/p", Some(&pool(domains)));
        self.publish_service(1);
    }

    pub fn publish_service(&mut self, weight: u32) -> Revision {
        let text = format!(
            "kind: service\nname: s\nteam: t\npool: p\nweight: {weight}\ndeadline-ms: 100\nprefer: latency\n"
        );
        self.publish("service/s", Some(&text))
    }

    pub fn newest(&self) -> Revision {
        Revision(self.changes.len() as u64)
    }

    fn shown(&self) -> Revision {
        self.stale_at.unwrap_or_else(|| self.newest())
    }

    pub(super) fn index(
        &mut self,
        _now: Time,
        after: Revision,
        wait: Duration,
    ) -> (Duration, Input) {
        self.calls += 1;
        if self.is_down {
            return (CALL, Input::PlatformFailed);
        }
        let revision = self.shown();
        let delay = if revision > after { CALL } else { HOLD.min(wait) + CALL };
        let mut entries: Vec<IndexEntry> = Vec::new();
        for (i, (key, text)) in self.changes.iter().enumerate().take(revision.0 as usize) {
            let at = Revision(i as u64 + 1);
            entries.retain(|it| it.key != *key);
            if at > after {
                let is_deleted = text.is_none();
                entries.push(IndexEntry { key: Arc::clone(key), revision: at, is_deleted });
            }
        }
        (delay, Input::PlatformIndex { revision, entries })
    }

    pub(super) fn document(&mut self, key: &Arc<str>) -> Input {
        self.calls += 1;
        if self.is_down {
            return Input::PlatformFailed;
        }
        let shown = self.changes[..self.shown().0 as usize].iter().enumerate();
        let newest = shown.rev().find(|(_, (it, _))| it == key);
        let key = Arc::clone(key);
        match newest {
            Some((i, (_, Some(text)))) => Input::PlatformDocument {
                key,
                revision: Revision(i as u64 + 1),
                text: Arc::clone(text),
            },
            _ => Input::PlatformDocumentMissing { key },
        }
    }
}

/// Slots and connections by the last digit of the target's name.
pub fn limits(target: &TargetName) -> (u32, u32) {
    match target.as_bytes().last() {
        Some(b'0') => (2, 25),
        Some(b'1') => (3, 30),
        _ => (6, 100),
    }
}

fn pool(domains: usize) -> String {
    let mut text = "kind: pool\nname: p\nteam: t\nmap: 1\nshards: 3\nslots: 2\n\
                    connections: 25\ncold-slots: 1\ntargets:\n"
        .to_owned();
    for d in 0..domains {
        for shard in 0..3 {
            let name = format!("t{d}-{shard}");
            let (slots, connections) = limits(&TargetName::new(&name));
            let port = 20_000 + d * 10 + shard;
            text += &format!(
                "  - {{name: {name}, shard: {shard}, domain: d{d}, \
                 address: \"127.0.0.1:{port}\", slots: {slots}, connections: {connections}}}\n"
            );
        }
    }
    text
}
