//! Frames: messages between hosts outside of calls, sent as datagrams or, when
//! large, over links. A frame is one byte for the kind, then the message.

use policy::request::SuspectNote;

use super::{Result, fleet, malformed, suspects};

const KIND_FLEET: u8 = 1;
const KIND_SUSPECTS: u8 = 2;

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Fleet(::fleet::Message),
    /// Requests suspected of crashing targets.
    Suspects(Vec<SuspectNote>),
}

impl Frame {
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        match self {
            Frame::Fleet(message) => {
                buf.push(KIND_FLEET);
                fleet::encode(&mut buf, message);
            }
            Frame::Suspects(notes) => {
                buf.push(KIND_SUSPECTS);
                suspects::encode(&mut buf, notes);
            }
        }
        buf
    }

    /// Decodes a frame; an unknown kind, such as one of a newer version, is an
    /// error.
    pub fn decode(bytes: &[u8]) -> Result<Frame> {
        match bytes.split_first() {
            Some((&KIND_FLEET, rest)) => Ok(Frame::Fleet(fleet::decode(rest)?)),
            Some((&KIND_SUSPECTS, rest)) => Ok(Frame::Suspects(suspects::decode(rest)?)),
            _ => Err(malformed("unknown kind of frame")),
        }
    }
}
