//! Formats of messages between hosts, which may be of other builds.
//!
//! Digests and batches of a feed begin in a fixed format. Behind it stands a [`Tail`]: the
//! version of the format, and fields that hosts of other builds may not know. Hosts of builds
//! without tails decode a message from its beginning and ignore what follows. The others skip
//! fields of a kind that they don't know.

use http::HeaderName;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Version of what hosts tell each other. It rises only with a format that hosts which skip
/// what they don't know would misread; a host sends that one only to hosts that state it.
pub(crate) const FORMAT: u32 = 1;

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Tail {
    /// [`FORMAT`] of the sender.
    format: u32,
    fields: Vec<Field>,
}

/// What hosts that don't know the kind can skip.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Field {
    kind: u32,
    bytes: Vec<u8>,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum FormatError {
    #[error("cannot decode the message: {0}")]
    Decode(#[from] postcard::Error),
    #[error("cannot decode the message: {0}")]
    Json(#[from] serde_json::Error),
    #[error("no domain has the index {0}")]
    UnknownDomain(u16),
    #[error("the header {0} is missing or no number")]
    Header(HeaderName),
    #[error("the message has format {0}, which is not known")]
    UnknownFormat(u32),
}

impl FormatError {
    /// Returns the reason as metrics name it.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            FormatError::UnknownFormat(_) => "unknown format",
            FormatError::Decode(_)
            | FormatError::Json(_)
            | FormatError::UnknownDomain(_)
            | FormatError::Header(_) => "unreadable",
        }
    }
}

impl Tail {
    /// Returns the tail of messages of this build.
    pub(crate) fn own() -> Tail {
        Tail { format: FORMAT, fields: Vec::new() }
    }

    /// Adds a field. No other one may have its kind.
    pub(crate) fn insert(
        &mut self,
        kind: u32,
        value: &impl Serialize,
    ) -> Result<(), postcard::Error> {
        self.fields.push(Field { kind, bytes: postcard::to_stdvec(value)? });
        Ok(())
    }

    /// Removes a field and returns its value, if there is one of the kind.
    pub(crate) fn take<T: DeserializeOwned>(
        &mut self,
        kind: u32,
    ) -> Result<Option<T>, FormatError> {
        let Some(index) = self.fields.iter().position(|it| it.kind == kind) else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&self.fields.swap_remove(index).bytes)?))
    }

    /// Decodes what follows a message; a host of an older build sends nothing.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Tail, FormatError> {
        if bytes.is_empty() {
            return Ok(Tail { format: 0, fields: Vec::new() });
        }
        // The format is read first: the rest may look different in a later one.
        let (format, _): (u32, _) = postcard::take_from_bytes(bytes)?;
        check_format(format, FORMAT)?;
        Ok(postcard::from_bytes(bytes)?)
    }

    pub(crate) fn append_to(&self, message: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, message)
    }

    /// Returns the kinds of the fields that this host doesn't know.
    pub(crate) fn unknown_kinds(&self) -> impl Iterator<Item = u32> {
        self.fields.iter().map(|it| it.kind)
    }
}

/// Returns an error if a message has a later format than the latest that is `known`.
pub(crate) fn check_format(format: u32, known: u32) -> Result<(), FormatError> {
    if format > known { Err(FormatError::UnknownFormat(format)) } else { Ok(()) }
}
