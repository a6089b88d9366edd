//! Binary format of the batches that a reader sends: a [`WireBatch`], by how many milliseconds
//! the reader may be behind, and a [`Tail`]. Readers of older builds don't send the second or
//! the third part, and followers of older builds don't read them.

use std::time::Duration;

use base::{DomainName, TargetName};
use forward::{Configuration, Position, TargetReport, customers::StatedProof};
use serde::{Deserialize, Serialize};

use crate::{
    feeds::{Batch, Item},
    format::{FormatError, Tail, rounded_up},
    state::customers::WireCustomers,
    state::wire::{WireConfiguration, WireTarget},
};

/// Kind of the field with the customers of configurations.
const CUSTOMERS: u32 = 1;

/// Kind of the field with the age of the proof of the configuration, in milliseconds, and the
/// version that it is for.
const PROOF: u32 = 2;

/// Kind of the field with the epoch of the revision.
const EPOCH: u32 = 3;

/// Wire format of a [`Batch`]. It is fixed: hosts of other builds read it.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireBatch {
    items: Vec<WireItem>,
    revision: u64,
    age_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum WireItem {
    Target(WireTarget),
    TargetRemoved(String),
    Configuration(WireConfiguration),
    Evacuated(String),
    EvacuationEnded(String),
}

pub(super) fn encode(batch: &Batch) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_stdvec(&WireBatch::from(batch))?;
    let bytes = postcard::to_extend(&(batch.behind.unwrap_or_default().as_millis() as u64), bytes)?;
    let mut tail = Tail::own();
    let customers = customers_of(batch);
    if !customers.is_empty() {
        tail.insert(CUSTOMERS, &customers)?;
    }
    if let Some(proof) = batch.proof {
        tail.insert(PROOF, &(rounded_up(proof.age), proof.version))?;
    }
    if let Some(epoch) = batch.position.epoch {
        tail.insert(EPOCH, &epoch)?;
    }
    tail.append_to(bytes)
}

/// Returns the customers of each configuration, with its version.
fn customers_of(batch: &Batch) -> Vec<(u64, WireCustomers)> {
    let configurations = batch.items.iter().filter_map(|it| match it {
        Item::Configuration(cfg) => Some(cfg),
        _ => None,
    });
    configurations.filter_map(|it| Some((it.version, WireCustomers::of(it)?))).collect()
}

/// Adds customers to the configurations of these versions.
fn add_customers(batch: &mut Batch, customers: Vec<(u64, WireCustomers)>) {
    for (version, customers) in customers {
        let configurations = batch.items.iter_mut().filter_map(|it| match it {
            Item::Configuration(cfg) => Some(cfg),
            _ => None,
        });
        if let Some(cfg) = configurations.filter(|it| it.version == version).last() {
            customers.add_to(cfg);
        }
    }
}

pub(super) fn decode(bytes: &[u8]) -> Result<(Batch, Tail), FormatError> {
    let (wire, rest) = postcard::take_from_bytes::<WireBatch>(bytes)?;
    if rest.is_empty() {
        return Ok((Batch { behind: None, ..wire.into() }, Tail::decode(rest)?));
    }
    let (behind_ms, rest) = postcard::take_from_bytes(rest)?;
    let mut tail = Tail::decode(rest)?;
    let behind = Some(Duration::from_millis(behind_ms));
    let proof: Option<(u64, u64)> = tail.take(PROOF)?;
    let proof = proof.map(|(ms, version)| StatedProof { age: Duration::from_millis(ms), version });
    let mut batch = Batch { behind, proof, ..wire.into() };
    batch.position.epoch = tail.take(EPOCH)?;
    add_customers(&mut batch, tail.take(CUSTOMERS)?.unwrap_or_default());
    Ok((batch, tail))
}

impl From<&Batch> for WireBatch {
    fn from(batch: &Batch) -> Self {
        WireBatch {
            items: batch.items.iter().map(WireItem::from).collect(),
            revision: batch.position.revision,
            age_ms: batch.age.unwrap_or_default().as_millis() as u64,
        }
    }
}

impl From<WireBatch> for Batch {
    fn from(wire: WireBatch) -> Self {
        Batch {
            items: wire.items.into_iter().map(Item::from).collect(),
            position: Position { epoch: None, revision: wire.revision },
            age: Some(Duration::from_millis(wire.age_ms)),
            behind: None,
            proof: None,
        }
    }
}

impl From<&Item> for WireItem {
    fn from(item: &Item) -> Self {
        match item {
            Item::Target(report) => WireItem::Target(report.into()),
            Item::TargetRemoved(name) => WireItem::TargetRemoved(name.to_string()),
            Item::Configuration(cfg) => WireItem::Configuration(cfg.into()),
            Item::Evacuated(domain) => WireItem::Evacuated(domain.to_string()),
            Item::EvacuationEnded(domain) => WireItem::EvacuationEnded(domain.to_string()),
        }
    }
}

impl From<WireItem> for Item {
    fn from(wire: WireItem) -> Self {
        match wire {
            WireItem::Target(report) => Item::Target(TargetReport::from(report)),
            WireItem::TargetRemoved(name) => Item::TargetRemoved(TargetName::from(name)),
            WireItem::Configuration(cfg) => Item::Configuration(Configuration::from(cfg)),
            WireItem::Evacuated(domain) => Item::Evacuated(DomainName::from(domain)),
            WireItem::EvacuationEnded(domain) => Item::EvacuationEnded(DomainName::from(domain)),
        }
    }
}
