//! Documents on the wire.

use fleet::message::{DocumentRecord, Documents};

use super::{Result, revision, text};
use crate::generated::fleet_capnp::{document_record, documents};

pub(super) fn write_documents(mut to: documents::Builder<'_>, it: &Documents) {
    to.set_after(it.after.0);
    to.set_upto(it.upto.0);
    to.set_revision(it.revision.0);
    to.set_is_confirmed(it.is_confirmed);
    let mut list = to.init_records(it.records.len() as u32);
    for (i, record) in it.records.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        to.set_key(&*record.key);
        to.set_revision(record.revision.0);
        to.set_is_deleted(record.text.is_none());
        if let Some(text) = &record.text {
            to.set_text(&**text);
        }
    }
}

pub(super) fn read_documents(from: documents::Reader<'_>) -> Result<Documents> {
    Ok(Documents {
        after: revision(from.get_after()),
        upto: revision(from.get_upto()),
        revision: revision(from.get_revision()),
        is_confirmed: from.get_is_confirmed(),
        records: from.get_records()?.iter().map(read_record).collect::<Result<_>>()?,
    })
}

fn read_record(from: document_record::Reader<'_>) -> Result<DocumentRecord> {
    let body = match from.get_is_deleted() {
        true => None,
        false => Some(text(from.get_text()?)?.into()),
    };
    Ok(DocumentRecord {
        key: text(from.get_key()?)?.into(),
        revision: revision(from.get_revision()),
        text: body,
    })
}
