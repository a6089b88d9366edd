//! Encoding of notes on suspect requests as packed capnp.

use std::time::Duration;

use base::{Incarnation, ShardId};
use capnp::{message, serialize_packed};
use policy::request::{Death, SuspectNote};

use super::{Result, message_limits, micros, name};
use crate::generated::peer_capnp::{death, suspect_note, suspect_notes};

/// Appends notes to `buf`.
pub(crate) fn encode(buf: &mut Vec<u8>, notes: &[SuspectNote]) {
    let mut builder = message::Builder::new_default();
    let root: suspect_notes::Builder<'_> = builder.init_root();
    let mut list = root.init_notes(notes.len() as u32);
    for (i, note) in notes.iter().enumerate() {
        write_note(list.reborrow().get(i as u32), note);
    }
    // Writing to memory cannot fail.
    let _ = serialize_packed::write_message(buf, &builder);
}

/// Decodes notes; malformed input is an error.
pub(crate) fn decode(mut bytes: &[u8]) -> Result<Vec<SuspectNote>> {
    let reader = serialize_packed::read_message(&mut bytes, message_limits())?;
    let root: suspect_notes::Reader<'_> = reader.get_root()?;
    root.get_notes()?.iter().map(read_note).collect()
}

fn write_note(mut to: suspect_note::Builder<'_>, it: &SuspectNote) {
    to.set_fingerprint(it.fingerprint);
    to.set_quarantine_micros(it.quarantine.map_or(0, micros));
    to.set_was_answered(it.was_answered);
    let mut list = to.init_deaths(it.deaths.len() as u32);
    for (i, death) in it.deaths.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        to.set_target(death.target.as_str());
        to.set_incarnation(death.incarnation.0);
        to.set_shard(death.shard.0);
    }
}

fn read_note(from: suspect_note::Reader<'_>) -> Result<SuspectNote> {
    let quarantine = from.get_quarantine_micros();
    Ok(SuspectNote {
        fingerprint: from.get_fingerprint(),
        deaths: from.get_deaths()?.iter().map(read_death).collect::<Result<_>>()?,
        quarantine: (quarantine > 0).then(|| Duration::from_micros(quarantine)),
        was_answered: from.get_was_answered(),
    })
}

fn read_death(from: death::Reader<'_>) -> Result<Death> {
    Ok(Death {
        target: name(from.get_target()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        shard: ShardId(from.get_shard()),
    })
}
