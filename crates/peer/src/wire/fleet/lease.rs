//! Lease messages on the wire: claims, verdicts, releases and borrowed groups.

use fleet::{
    assignment::GroupId,
    message::{Answer, Claim, Right, Role, Verdict},
};

use super::Result;
use crate::generated::fleet_capnp::{
    Answer as WireAnswer, claims, groups, right, rights, verdicts,
};

pub(super) fn write_claims(mut to: claims::Builder<'_>, seq: u64, claims: &[Claim]) {
    to.set_seq(seq);
    let mut list = to.init_claims(claims.len() as u32);
    for (i, it) in claims.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        write_right(to.reborrow().init_right(), it.right);
        to.set_voters(it.voters);
    }
}

pub(super) fn read_claims(from: claims::Reader<'_>) -> Result<Vec<Claim>> {
    let claims = from.get_claims()?;
    claims
        .iter()
        .map(|it| Ok(Claim { right: read_right(it.get_right()?), voters: it.get_voters() }))
        .collect()
}

pub(super) fn write_verdicts(mut to: verdicts::Builder<'_>, seq: u64, verdicts: &[Verdict]) {
    to.set_seq(seq);
    let mut list = to.init_verdicts(verdicts.len() as u32);
    for (i, it) in verdicts.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        write_right(to.reborrow().init_right(), it.right);
        to.set_voters(it.voters);
        to.set_answer(wire_answer(it.answer));
    }
}

pub(super) fn read_verdicts(from: verdicts::Reader<'_>) -> Result<Vec<Verdict>> {
    let read = |it: crate::generated::fleet_capnp::verdict::Reader<'_>| {
        let right = read_right(it.get_right()?);
        Ok(Verdict { right, voters: it.get_voters(), answer: answer(it.get_answer()?) })
    };
    from.get_verdicts()?.iter().map(read).collect()
}

pub(super) fn write_rights(mut to: rights::Builder<'_>, seq: u64, rights: &[Right]) {
    to.set_seq(seq);
    let mut list = to.init_rights(rights.len() as u32);
    for (i, &it) in rights.iter().enumerate() {
        write_right(list.reborrow().get(i as u32), it);
    }
}

pub(super) fn read_rights(from: rights::Reader<'_>) -> Result<Vec<Right>> {
    Ok(from.get_rights()?.iter().map(read_right).collect())
}

pub(super) fn write_groups(mut to: groups::Builder<'_>, seq: u64, groups: &[GroupId]) {
    to.set_seq(seq);
    let mut list = to.init_groups(groups.len() as u32);
    for (i, it) in groups.iter().enumerate() {
        list.set(i as u32, it.0);
    }
}

pub(super) fn read_groups(from: groups::Reader<'_>) -> Result<Vec<GroupId>> {
    Ok(from.get_groups()?.iter().map(GroupId).collect())
}

fn write_right(mut to: right::Builder<'_>, it: Right) {
    to.set_group(it.group.0);
    to.set_is_primary(it.role == Role::Primary);
}

fn read_right(from: right::Reader<'_>) -> Right {
    let role = match from.get_is_primary() {
        true => Role::Primary,
        false => Role::Standby,
    };
    Right { group: GroupId(from.get_group()), role }
}

fn wire_answer(answer: Answer) -> WireAnswer {
    match answer {
        Answer::Granted { was_released: false } => WireAnswer::Granted,
        Answer::Granted { was_released: true } => WireAnswer::GrantedAfterRelease,
        Answer::Held => WireAnswer::Held,
        Answer::OtherVoters => WireAnswer::OtherVoters,
        Answer::Waiting => WireAnswer::Waiting,
    }
}

fn answer(answer: WireAnswer) -> Answer {
    match answer {
        WireAnswer::Granted => Answer::Granted { was_released: false },
        WireAnswer::GrantedAfterRelease => Answer::Granted { was_released: true },
        WireAnswer::Held => Answer::Held,
        WireAnswer::OtherVoters => Answer::OtherVoters,
        WireAnswer::Waiting => Answer::Waiting,
    }
}
