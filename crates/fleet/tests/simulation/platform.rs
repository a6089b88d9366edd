//! Simulated platform that may be down or stale, and the documents it serves.

use std::{sync::Arc, time::Duration};

use base::{Revision, TargetName, Time};
use fleet::{IndexEntry, Input};

const CALL_DELAY: Duration = Duration::from_millis(5);

/// Time for which a poll is held; shorter than requested, as with a proxy that
/// cuts polls short.
const POLL_HOLD: Duration = Duration::from_millis(1_000);

#[derive(Default)]
pub struct Platform {
    pub is_down: bool,
    /// Revision at which the platform is frozen, if any.
    pub stale_at: Option<Revision>,
    pub calls: u64,
    /// Times that the platform was restored.
    epoch: u64,
    changes: Vec<Change>,
}

struct Change {
    revision: Revision,
    key: Arc<str>,
    text: Option<Arc<str>>,
}

impl Platform {
    pub fn publish(&mut self, key: &str, text: Option<&str>) -> Revision {
        let number = self.changes.len() as u64 + 1;
        let revision = Revision::in_epoch(self.epoch, number).expect("in range");
        self.changes.push(Change { revision, key: key.into(), text: text.map(Arc::from) });
        revision
    }

    /// Restores a copy that lacks the last `lost` changes, and gives out their numbers again.
    pub fn restore(&mut self, lost: usize) {
        self.epoch += 1;
        self.changes.truncate(self.changes.len() - lost);
    }

    /// Publishes a document for every domain, a pool over all of them and a
    /// service.
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
        Revision::in_epoch(self.epoch, self.changes.len() as u64).expect("in range")
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
            return (CALL_DELAY, Input::PlatformFailed);
        }
        let revision = self.shown();
        let delay = if revision > after { CALL_DELAY } else { POLL_HOLD.min(wait) + CALL_DELAY };
        let mut entries: Vec<IndexEntry> = Vec::new();
        for it in self.changes.iter().filter(|it| it.revision <= revision) {
            entries.retain(|entry| entry.key != it.key);
            if it.revision > after {
                let (key, is_deleted) = (Arc::clone(&it.key), it.text.is_none());
                entries.push(IndexEntry { key, revision: it.revision, is_deleted });
            }
        }
        (delay, Input::PlatformIndex { revision, entries })
    }

    pub(super) fn document(&mut self, key: &Arc<str>) -> Input {
        self.calls += 1;
        if self.is_down {
            return Input::PlatformFailed;
        }
        let shown = self.shown();
        let newest = self.changes.iter().rfind(|it| it.revision <= shown && it.key == *key);
        let key = Arc::clone(key);
        match newest {
            Some(Change { revision, text: Some(text), .. }) => {
                Input::PlatformDocument { key, revision: *revision, text: Arc::clone(text) }
            }
            _ => Input::PlatformDocumentMissing { key },
        }
    }
}

/// Returns the slots and connections of a target by the last digit of its name.
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
