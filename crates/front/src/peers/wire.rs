//! Binary format of digests: a [`WireDigest`] and a [`Tail`]. Domains are listed once and
//! referred to by index.

use std::{net::SocketAddr, time::Duration};

use base::DomainName;
use forward::{
    peers::{Digest, Host, ListedHost, SeenDomain},
    suspects::Strike,
    target::LeavingTarget,
};
use serde::{Deserialize, Serialize};

use crate::{
    format::{FormatError, Tail, rounded_up},
    leaving::WireLeaving,
};

/// Kind of the field with targets that said that they leave.
const LEAVING: u32 = 1;

/// Kind of the field with the age of the proof of the configuration, in milliseconds.
const PROOF: u32 = 2;

/// Limit on the size of the targets that leave. Digests have to fit into one datagram.
const MAX_LEAVING_BYTES: usize = 1_024;

/// Wire format of a [`Digest`]. It is fixed: hosts of other builds read it.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireDigest {
    from: WireHost,
    version: u64,
    domains: Vec<String>,
    hosts: Vec<(WireHost, Millis)>,
    /// Domains heard, each with the time since the last digest from it.
    heard: Vec<(DomainIndex, Millis)>,
    /// Fingerprints of requests that crashed a target, each with the time since the
    /// crash.
    strikes: Vec<(u64, Millis)>,
    asks_for_reply: bool,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireHost {
    address: SocketAddr,
    domain: DomainIndex,
    capacity: u32,
    reads_source: bool,
    has_lost_targets: bool,
}

/// Index into [`WireDigest::domains`].
type DomainIndex = u16;

type Millis = u64;

fn millis(age: Duration) -> Millis {
    age.as_millis() as u64
}

pub(super) fn encode(digest: &Digest) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_stdvec(&WireDigest::from(digest))?;
    let mut tail = Tail::own();
    let leaving = leaving_that_fit(&digest.leaving)?;
    if !leaving.is_empty() {
        tail.insert(LEAVING, &leaving)?;
    }
    if let Some(age) = digest.proof_age {
        tail.insert(PROOF, &rounded_up(age))?;
    }
    tail.append_to(bytes)
}

fn leaving_that_fit(leaving: &[LeavingTarget]) -> Result<Vec<WireLeaving>, postcard::Error> {
    let mut left = MAX_LEAVING_BYTES;
    let mut fitting = Vec::new();
    for it in leaving.iter().map(WireLeaving::from) {
        let size = postcard::to_stdvec(&it)?.len();
        if size <= left {
            left -= size;
            fitting.push(it);
        }
    }
    Ok(fitting)
}

pub(super) fn decode(bytes: &[u8]) -> Result<(Digest, Tail), FormatError> {
    let (wire, rest) = postcard::take_from_bytes::<WireDigest>(bytes)?;
    let mut tail = Tail::decode(rest)?;
    let leaving: Vec<WireLeaving> = tail.take(LEAVING)?.unwrap_or_default();
    let leaving = leaving.into_iter().map(LeavingTarget::from).collect();
    let proof_age = tail.take(PROOF)?.map(Duration::from_millis);
    let digest = Digest { leaving, proof_age, ..wire.try_into()? };
    Ok((digest, tail))
}

impl From<&Digest> for WireDigest {
    fn from(digest: &Digest) -> Self {
        let mut domains = Vec::new();
        let from = wire_host(&mut domains, &digest.from);
        let hosts = digest.hosts.iter();
        let hosts = hosts.map(|it| (wire_host(&mut domains, &it.host), millis(it.age))).collect();
        let heard = digest.domains.iter();
        let heard = heard.map(|it| (index_of(&mut domains, &it.domain), millis(it.age))).collect();
        let strikes = digest.strikes.iter().map(|it| (it.request, millis(it.age)));
        WireDigest {
            from,
            version: digest.version,
            hosts,
            heard,
            strikes: strikes.collect(),
            asks_for_reply: digest.asks_for_reply,
            domains: domains.iter().map(ToString::to_string).collect(),
        }
    }
}

fn wire_host(domains: &mut Vec<DomainName>, host: &Host) -> WireHost {
    let domain = index_of(domains, &host.domain);
    let Host { address, capacity, reads_source, has_lost_targets, .. } = *host;
    WireHost { address, domain, capacity, reads_source, has_lost_targets }
}

fn index_of(domains: &mut Vec<DomainName>, domain: &DomainName) -> DomainIndex {
    let known = domains.iter().position(|it| it == domain);
    let index = known.unwrap_or_else(|| {
        domains.push(domain.clone());
        domains.len() - 1
    });
    index as DomainIndex
}

impl TryFrom<WireDigest> for Digest {
    type Error = FormatError;

    fn try_from(wire: WireDigest) -> Result<Digest, FormatError> {
        let domains: Vec<DomainName> = wire.domains.into_iter().map(DomainName::from).collect();
        let domain = |index: DomainIndex| {
            let found = domains.get(usize::from(index)).cloned();
            found.ok_or(FormatError::UnknownDomain(index))
        };
        let host = |it: WireHost| {
            domain(it.domain).map(|domain| Host {
                address: it.address,
                domain,
                capacity: it.capacity,
                reads_source: it.reads_source,
                has_lost_targets: it.has_lost_targets,
            })
        };
        let hosts = wire.hosts.into_iter().map(|(it, ms)| {
            host(it).map(|host| ListedHost { host, age: Duration::from_millis(ms) })
        });
        let heard = wire.heard.into_iter().map(|(index, ms)| {
            domain(index).map(|domain| SeenDomain { domain, age: Duration::from_millis(ms) })
        });
        let strikes = wire.strikes.into_iter();
        let strikes =
            strikes.map(|(request, ms)| Strike { request, age: Duration::from_millis(ms) });
        Ok(Digest {
            from: host(wire.from)?,
            version: wire.version,
            proof_age: None,
            hosts: hosts.collect::<Result<_, _>>()?,
            domains: heard.collect::<Result<_, _>>()?,
            strikes: strikes.collect(),
            leaving: Vec::new(),
            asks_for_reply: wire.asks_for_reply,
        })
    }
}
