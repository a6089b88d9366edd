//! Encoding of fleet messages as packed capnp.

mod configuration;
mod lease;
mod membership;

use std::net::SocketAddr;

use base::Incarnation;
use capnp::{message, serialize_packed};
use fleet::{Message, message::Body};

use super::{Result, malformed, message_limits, name, text};
use crate::generated::fleet_capnp::message as wire;

/// Appends a fleet message to `buf`.
pub(crate) fn encode(buf: &mut Vec<u8>, it: &Message) {
    let mut builder = message::Builder::new_default();
    write_message(builder.init_root(), it);
    // Writing to memory cannot fail.
    let _ = serialize_packed::write_message(buf, &builder);
}

/// Decodes a fleet message; malformed input is an error.
pub(crate) fn decode(mut bytes: &[u8]) -> Result<Message> {
    let reader = serialize_packed::read_message(&mut bytes, message_limits())?;
    read_message(reader.get_root()?)
}

fn write_message(mut to: wire::Builder<'_>, it: &Message) {
    to.set_sender(it.sender.as_str());
    to.set_incarnation(it.incarnation.0);
    let body = to.init_body();
    match &it.body {
        Body::Ping { seq, gossip } => membership::write_probe(body.init_ping(), *seq, gossip),
        Body::Ack { seq, gossip } => membership::write_probe(body.init_ack(), *seq, gossip),
        Body::PingRequest { seq, address } => {
            membership::write_indirect(body.init_ping_request(), *seq, *address);
        }
        Body::IndirectAck { seq, address } => {
            membership::write_indirect(body.init_indirect_ack(), *seq, *address);
        }
        Body::Digest { domains } => {
            membership::write_digests(body.init_digest(domains.len() as u32), domains);
        }
        Body::Members { records } => {
            membership::write_records(body.init_members(records.len() as u32), records);
        }
        Body::Announce { root, revision } => {
            let mut to = body.init_announce();
            to.set_root(root.as_str());
            to.set_revision(revision.0);
        }
        Body::Pull { after } => {
            let mut body = body;
            body.set_pull(after.0);
        }
        Body::Documents(documents) => {
            configuration::write_documents(body.init_documents(), documents);
        }
        Body::Claim { seq, claims } => lease::write_claims(body.init_claim(), *seq, claims),
        Body::Verdict { seq, verdicts } => {
            lease::write_verdicts(body.init_verdict(), *seq, verdicts);
        }
        Body::Release { seq, rights } => lease::write_rights(body.init_release(), *seq, rights),
        Body::Borrow { seq, groups } => lease::write_groups(body.init_borrow(), *seq, groups),
        Body::Loan { seq, groups } => lease::write_groups(body.init_loan(), *seq, groups),
    }
}

fn read_message(from: wire::Reader<'_>) -> Result<Message> {
    Ok(Message {
        sender: name(from.get_sender()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        body: read_body(from.get_body())?,
    })
}

fn read_body(from: wire::body::Reader<'_>) -> Result<Body> {
    Ok(match from.which()? {
        wire::body::Ping(it) => {
            let (seq, gossip) = membership::read_probe(it?)?;
            Body::Ping { seq, gossip }
        }
        wire::body::Ack(it) => {
            let (seq, gossip) = membership::read_probe(it?)?;
            Body::Ack { seq, gossip }
        }
        wire::body::PingRequest(it) => {
            let it = it?;
            Body::PingRequest { seq: it.get_seq(), address: address(it.get_address()?)? }
        }
        wire::body::IndirectAck(it) => {
            let it = it?;
            Body::IndirectAck { seq: it.get_seq(), address: address(it.get_address()?)? }
        }
        wire::body::Digest(it) => Body::Digest { domains: membership::read_digests(it?)? },
        wire::body::Members(it) => Body::Members { records: membership::read_records(it?)? },
        wire::body::Announce(it) => {
            let it = it?;
            Body::Announce { root: name(it.get_root()?)?, revision: revision(it.get_revision()) }
        }
        wire::body::Pull(after) => Body::Pull { after: revision(after) },
        wire::body::Documents(it) => Body::Documents(configuration::read_documents(it?)?),
        wire::body::Claim(it) => {
            let it = it?;
            Body::Claim { seq: it.get_seq(), claims: lease::read_claims(it)? }
        }
        wire::body::Verdict(it) => {
            let it = it?;
            Body::Verdict { seq: it.get_seq(), verdicts: lease::read_verdicts(it)? }
        }
        wire::body::Release(it) => {
            let it = it?;
            Body::Release { seq: it.get_seq(), rights: lease::read_rights(it)? }
        }
        wire::body::Borrow(it) => {
            let it = it?;
            Body::Borrow { seq: it.get_seq(), groups: lease::read_groups(it)? }
        }
        wire::body::Loan(it) => {
            let it = it?;
            Body::Loan { seq: it.get_seq(), groups: lease::read_groups(it)? }
        }
    })
}

fn address(from: capnp::text::Reader<'_>) -> Result<SocketAddr> {
    text(from)?.parse().map_err(|_| malformed("not an ip:port"))
}

fn revision(value: u64) -> base::Revision {
    base::Revision(value)
}
