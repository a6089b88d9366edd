//! Probes, membership records and digests on the wire.

use std::net::SocketAddr;

use base::Incarnation;
use capnp::struct_list;
use fleet::{
    MemberState,
    message::{DomainDigest, Gossip, HostRevision, Record},
};

use super::{Result, address, name, revision};
use crate::generated::fleet_capnp::{
    MemberState as WireState, domain_digest, host_revision, indirect, probe, record,
};

pub(super) fn write_probe(mut to: probe::Builder<'_>, seq: u64, it: &Gossip) {
    to.set_seq(seq);
    write_record(to.reborrow().init_own(), &it.own);
    to.set_members(it.members);
    to.set_revision(it.revision.0);
    to.set_is_confirmed(it.is_confirmed);
    write_records(to.reborrow().init_records(it.records.len() as u32), &it.records);
    let mut list = to.init_revisions(it.revisions.len() as u32);
    for (i, it) in it.revisions.iter().enumerate() {
        write_host_revision(list.reborrow().get(i as u32), it);
    }
}

pub(super) fn read_probe(from: probe::Reader<'_>) -> Result<(u64, Gossip)> {
    let gossip = Gossip {
        own: read_record(from.get_own()?)?,
        members: from.get_members(),
        revision: revision(from.get_revision()),
        is_confirmed: from.get_is_confirmed(),
        records: read_records(from.get_records()?)?,
        revisions: from.get_revisions()?.iter().map(read_host_revision).collect(),
    };
    Ok((from.get_seq(), gossip))
}

pub(super) fn write_indirect(mut to: indirect::Builder<'_>, seq: u64, address: SocketAddr) {
    to.set_seq(seq);
    to.set_address(address.to_string());
}

pub(super) fn write_records(mut to: struct_list::Builder<'_, record::Owned>, records: &[Record]) {
    for (i, it) in records.iter().enumerate() {
        write_record(to.reborrow().get(i as u32), it);
    }
}

pub(super) fn read_records(from: struct_list::Reader<'_, record::Owned>) -> Result<Vec<Record>> {
    from.iter().map(read_record).collect()
}

pub(super) fn write_digests(
    mut to: struct_list::Builder<'_, domain_digest::Owned>,
    digests: &[DomainDigest],
) {
    for (i, it) in digests.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_domain(it.domain.as_str());
        to.set_members(it.members);
    }
}

pub(super) fn read_digests(
    from: struct_list::Reader<'_, domain_digest::Owned>,
) -> Result<Vec<DomainDigest>> {
    let read = |it: domain_digest::Reader<'_>| {
        Ok(DomainDigest { domain: name(it.get_domain()?)?, members: it.get_members() })
    };
    from.iter().map(read).collect()
}

fn write_record(mut to: record::Builder<'_>, it: &Record) {
    to.set_host(it.host.as_str());
    to.set_domain(it.domain.as_str());
    to.set_address(it.address.to_string());
    to.set_incarnation(it.incarnation.0);
    to.set_epoch(it.epoch);
    to.set_state(wire_state(it.state));
    to.set_is_leaving(it.is_leaving);
    to.set_is_serving(it.is_serving);
    to.set_is_voter(it.is_voter);
    to.set_seniority(it.seniority);
}

fn read_record(from: record::Reader<'_>) -> Result<Record> {
    Ok(Record {
        host: name(from.get_host()?)?,
        domain: name(from.get_domain()?)?,
        address: address(from.get_address()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        epoch: from.get_epoch(),
        state: member_state(from.get_state()?),
        is_leaving: from.get_is_leaving(),
        is_serving: from.get_is_serving(),
        is_voter: from.get_is_voter(),
        seniority: from.get_seniority(),
    })
}

fn write_host_revision(mut to: host_revision::Builder<'_>, it: &HostRevision) {
    to.set_host(it.host);
    to.set_incarnation(it.incarnation.0);
    to.set_revision(it.revision.0);
}

fn read_host_revision(from: host_revision::Reader<'_>) -> HostRevision {
    HostRevision {
        host: from.get_host(),
        incarnation: Incarnation(from.get_incarnation()),
        revision: revision(from.get_revision()),
    }
}

fn wire_state(state: MemberState) -> WireState {
    match state {
        MemberState::Alive => WireState::Alive,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Dead => WireState::Dead,
        MemberState::Left => WireState::Left,
        MemberState::Forgotten => WireState::Forgotten,
    }
}

fn member_state(state: WireState) -> MemberState {
    match state {
        WireState::Alive => MemberState::Alive,
        WireState::Suspect => MemberState::Suspect,
        WireState::Dead => MemberState::Dead,
        WireState::Left => MemberState::Left,
        WireState::Forgotten => MemberState::Forgotten,
    }
}
