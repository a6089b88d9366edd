//! Documents by key. The highest valid revision of a key is in force and never
//! reverts; a newer invalid one is kept beside it with its findings.

use std::{collections::BTreeMap, sync::Arc};

use base::{Finding, Findings, HashMap, HashSet, Place, PoolName, Revision, TargetName, always};
use documents::{Configuration, Document, Pool, Service};

use crate::message::{DocumentRecord, Documents};

/// Maximum size of the keys and texts in one message. A larger document is sent
/// alone, and documents of one revision are never split between messages.
const MAX_CHUNK_BYTES: usize = 64 << 10;

#[derive(Debug, Default)]
pub(crate) struct Store {
    entries: HashMap<Arc<str>, Entry>,
    /// Revisions held, with their keys.
    by_revision: BTreeMap<(Revision, Arc<str>), ()>,
    complete_revision: Revision,
    is_confirmed: bool,
    in_force: Arc<Configuration>,
    cross_findings: Vec<Finding>,
    /// Whether the store advanced since the configuration was built.
    is_stale: bool,
}

#[derive(Debug, Default)]
struct Entry {
    in_force: Option<Version>,
    rejected: Option<Rejected>,
}

#[derive(Debug)]
struct Version {
    revision: Revision,
    /// `None` if the document was deleted.
    content: Option<(Arc<str>, Document)>,
}

#[derive(Debug)]
struct Rejected {
    revision: Revision,
    text: Arc<str>,
    findings: Findings,
}

impl Store {
    /// Returns the revision up to which all changes are held.
    pub(crate) fn complete_revision(&self) -> Revision {
        self.complete_revision
    }

    /// Whether a peer or the platform confirmed that it knows nothing newer.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    pub(crate) fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.in_force)
    }

    /// Returns the highest revision held of a key, valid or not.
    pub(crate) fn held_revision(&self, key: &str) -> Revision {
        let Some(entry) = self.entries.get(key) else { return Revision(0) };
        let in_force = entry.in_force.as_ref().map(|it| it.revision);
        let rejected = entry.rejected.as_ref().map(|it| it.revision);
        in_force.max(rejected).unwrap_or_default()
    }

    pub(crate) fn findings(&self) -> Vec<Finding> {
        let rejected = self.entries.values().filter_map(|it| it.rejected.as_ref());
        let mut all: Vec<_> = rejected.flat_map(|it| it.findings.iter()).cloned().collect();
        all.extend(self.cross_findings.iter().cloned());
        all.sort();
        all
    }

    /// Inserts one revision of a document, unless it is already held or older than
    /// the one in force.
    pub(crate) fn insert(&mut self, record: DocumentRecord) {
        let DocumentRecord { key, revision, text } = record;
        let entry = self.entries.entry(Arc::clone(&key)).or_default();
        let in_force = entry.in_force.as_ref().map_or(Revision(0), |it| it.revision);
        if revision <= in_force || entry.rejected.as_ref().is_some_and(|it| it.revision == revision)
        {
            return;
        }
        let parsed = text.map(|text| (documents::parse_document(&key, &text), text));
        let content = match parsed {
            None => None,
            Some((Ok(document), text)) => match check_key(&key, &document) {
                Ok(()) => Some((text, document)),
                Err(findings) => {
                    self.reject(key, Rejected { revision, text, findings });
                    return;
                }
            },
            Some((Err(findings), text)) => {
                self.reject(key, Rejected { revision, text, findings });
                return;
            }
        };
        self.put_in_force(key, Version { revision, content });
    }

    fn put_in_force(&mut self, key: Arc<str>, version: Version) {
        let revision = version.revision;
        let entry = self.entries.entry(Arc::clone(&key)).or_default();
        if let Some(old) = entry.in_force.replace(version) {
            always!(old.revision < revision, "configuration-revision-rises", "{key}");
            self.by_revision.remove(&(old.revision, Arc::clone(&key)));
        }
        if let Some(rejected) = entry.rejected.take_if(|it| it.revision < revision) {
            self.by_revision.remove(&(rejected.revision, Arc::clone(&key)));
        }
        self.by_revision.insert((revision, key), ());
    }

    fn reject(&mut self, key: Arc<str>, rejected: Rejected) {
        let entry = self.entries.entry(Arc::clone(&key)).or_default();
        if entry.rejected.as_ref().is_some_and(|it| it.revision > rejected.revision) {
            return;
        }
        let revision = rejected.revision;
        if let Some(old) = entry.rejected.replace(rejected) {
            self.by_revision.remove(&(old.revision, Arc::clone(&key)));
        }
        self.by_revision.insert((revision, key), ());
    }

    /// Records that all changes above `after` up to `upto` were inserted. Returns
    /// whether the store advanced.
    pub(crate) fn advance(&mut self, after: Revision, upto: Revision) -> bool {
        if after > self.complete_revision || upto <= self.complete_revision {
            return false;
        }
        self.complete_revision = upto;
        self.is_stale = true;
        true
    }

    /// Rebuilds the configuration if the store advanced, and returns whether it
    /// did. Documents of an incomplete revision wait, so that none comes into
    /// force without those it belongs to.
    pub(crate) fn rebuild(&mut self) -> bool {
        if !std::mem::take(&mut self.is_stale) {
            return false;
        }
        let built = build(self.complete_revision, self.entries.values());
        let former = self.in_force.revision;
        always!(built.configuration.revision >= former, "configuration-never-reverts");
        self.in_force = Arc::new(built.configuration);
        self.cross_findings = built.findings;
        true
    }

    /// Returns the documents above `after`, as many as fit one message.
    pub(crate) fn documents_after(&self, after: Revision) -> Documents {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut upto = self.complete_revision;
        for (revision, key) in self.by_revision.keys().filter(|(it, _)| *it > after) {
            let record = self.record(key, *revision);
            let len = record.text.as_ref().map_or(0, |it| it.len()) + key.len();
            let is_next = records.last().is_none_or(|it: &DocumentRecord| it.revision < *revision);
            if bytes + len > MAX_CHUNK_BYTES && !records.is_empty() && is_next {
                upto = upto.min(records.last().map_or(after, |it| it.revision));
                break;
            }
            bytes += len;
            records.push(record);
        }
        let is_confirmed = self.is_confirmed;
        Documents {
            after,
            upto: upto.max(after),
            revision: self.complete_revision,
            is_confirmed,
            records,
        }
    }

    fn record(&self, key: &Arc<str>, revision: Revision) -> DocumentRecord {
        let entry = self.entries.get(key);
        let rejected = entry.and_then(|it| it.rejected.as_ref());
        let rejected = rejected.filter(|it| it.revision == revision).map(|it| &it.text);
        let in_force = entry.and_then(|it| it.in_force.as_ref());
        let in_force = in_force.filter(|it| it.revision == revision);
        let in_force = in_force.and_then(|it| it.content.as_ref()).map(|(text, _)| text);
        DocumentRecord {
            key: Arc::clone(key),
            revision,
            text: rejected.or(in_force).map(Arc::clone),
        }
    }
}

/// Checks that the kind and name in a document match its key.
fn check_key(key: &str, document: &Document) -> Result<(), Findings> {
    let document_key = match document {
        Document::Service(it) => format!("service/{}", it.name),
        Document::Pool(it) => format!("pool/{}", it.name),
        Document::Domain(it) => format!("domain/{}", it.name),
    };
    let mut findings = Findings::default();
    if document_key != key {
        findings.push(finding(
            key,
            format!("kind and name of the document give the key `{document_key}`, not `{key}`"),
        ));
    }
    findings.into_result(())
}

struct Built {
    configuration: Configuration,
    findings: Vec<Finding>,
}

/// Builds the configuration from the valid documents. A document that conflicts
/// with others is left out and reported by a finding.
fn build<'a>(revision: Revision, entries: impl Iterator<Item = &'a Entry>) -> Built {
    let (mut services, mut pools, mut domains) = (Vec::new(), Vec::new(), Vec::new());
    let versions = entries.filter_map(|it| it.in_force.as_ref());
    for (_, document) in versions.filter_map(|it| it.content.as_ref()) {
        match document {
            Document::Service(it) => services.push(it.clone()),
            Document::Pool(it) => pools.push(it.clone()),
            Document::Domain(it) => domains.push(it.clone()),
        }
    }
    let mut findings = Vec::new();
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    drop_pools_with_duplicate_targets(&mut pools, &mut findings);
    let known: HashSet<&PoolName> = pools.iter().map(|it| &it.name).collect();
    services.retain(|service| has_pool(service, &known, &mut findings));
    Built { configuration: Configuration::new(revision, services, pools, domains), findings }
}

fn drop_pools_with_duplicate_targets(pools: &mut Vec<Pool>, findings: &mut Vec<Finding>) {
    let mut owners: HashMap<TargetName, PoolName> = HashMap::default();
    pools.retain(|pool| {
        let duplicate = pool.targets.iter().find_map(|it| owners.get_key_value(&it.name));
        if let Some((target, other)) = duplicate {
            let message = format!("target `{target}` is already defined in pool `{other}`");
            findings.push(finding(&format!("pool/{}", pool.name), message));
            return false;
        }
        owners.extend(pool.targets.iter().map(|it| (it.name.clone(), pool.name.clone())));
        true
    });
}

fn has_pool(service: &Service, known: &HashSet<&PoolName>, findings: &mut Vec<Finding>) -> bool {
    let is_known = known.contains(&service.pool);
    if !is_known {
        let message = format!("no pool `{}` is in force", service.pool);
        findings.push(finding(&format!("service/{}", service.name), message));
    }
    is_known
}

fn finding(source: &str, message: String) -> Finding {
    Finding::new(Place { source: source.into(), line: 0, column: 0 }, message)
}
