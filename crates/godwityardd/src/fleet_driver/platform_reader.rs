//! Carries out the node's reads from the platform, each in its own task, and
//! returns the results as inputs. After a failed read, the next replica is used.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::Revision;
use config_client::{HttpPlatform, Index, Platform, PlatformError, StoredDocument};
use fleet::{IndexEntry, Input, ListedHost};
use slog::{Logger, warn};
use telemetry::{Metrics, metrics::label};
use tokio::sync::mpsc;

#[derive(Clone)]
pub struct PlatformReader {
    replicas: Arc<[HttpPlatform]>,
    current: Arc<AtomicUsize>,
    tx: mpsc::Sender<Input>,
    metrics: Metrics,
    log: Logger,
}

impl PlatformReader {
    pub fn new(
        replicas: Vec<HttpPlatform>,
        tx: mpsc::Sender<Input>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        PlatformReader { replicas: replicas.into(), current: Arc::default(), tx, metrics, log }
    }

    pub fn read_index(&self, after: Revision, wait: Duration) {
        self.spawn("index", move |replica| async move {
            replica.read_index(after, wait).await.map(index_input)
        });
    }

    pub fn read_document(&self, key: Arc<str>) {
        self.spawn("document", move |replica| async move {
            let document = replica.read_document(&key).await?;
            Ok(document_input(key, document))
        });
    }

    pub fn read_hosts(&self) {
        self.spawn("hosts", |replica| async move {
            let hosts = replica.read_hosts().await?;
            Ok(Input::PlatformHosts(hosts.into_iter().map(listed_host).collect()))
        });
    }

    fn spawn<R>(&self, kind: &'static str, read: impl FnOnce(HttpPlatform) -> R + Send + 'static)
    where
        R: Future<Output = Result<Input, PlatformError>> + Send + 'static,
    {
        let this = self.clone();
        let current = self.current.load(Ordering::Relaxed);
        let replica = self.replicas.get(current % self.replicas.len().max(1)).cloned();
        tokio::spawn(async move {
            this.metrics.platform_calls.add(1, &[label("kind", kind)]);
            let result = match replica {
                Some(replica) => read(replica).await,
                None => Ok(Input::PlatformFailed),
            };
            let input = result.unwrap_or_else(|err| {
                warn!(this.log, "read from the platform failed"; "kind" => kind, "error" => %err);
                this.current.store(current + 1, Ordering::Relaxed);
                Input::PlatformFailed
            });
            // The driver runs as long as the process.
            let _ = this.tx.send(input).await;
        });
    }
}

fn index_input(index: Index) -> Input {
    let entry = |it: config_client::IndexEntry| IndexEntry {
        key: it.key,
        revision: it.revision,
        is_deleted: it.deleted,
    };
    Input::PlatformIndex {
        revision: index.revision,
        entries: index.entries.into_iter().map(entry).collect(),
    }
}

fn document_input(key: Arc<str>, document: Option<StoredDocument>) -> Input {
    match document {
        Some(it) => Input::PlatformDocument { key, revision: it.revision, text: it.text },
        None => Input::PlatformDocumentMissing { key },
    }
}

fn listed_host(it: config_client::ListedHost) -> ListedHost {
    ListedHost { host: it.host, domain: it.domain, address: it.address, is_leaving: it.is_leaving }
}
