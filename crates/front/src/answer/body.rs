//! Body of an answer, whose memory stays reserved until it is written or dropped.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};

use crate::memory::Guard;

/// Body in one piece.
#[derive(Debug)]
#[derive(Default)]
pub(crate) struct AnswerBody {
    bytes: Bytes,
    memory: Option<Rc<Guard>>,
}

/// Bytes of an answer that are being written.
pub(crate) struct AnswerBytes {
    bytes: Bytes,
    /// Kept for its drop.
    _memory: Option<Rc<Guard>>,
}

impl AnswerBody {
    /// Returns a body whose memory is not accounted for, as it is small or made by this
    /// host from its own state.
    pub(crate) fn new(bytes: Bytes) -> AnswerBody {
        AnswerBody { bytes, memory: None }
    }

    pub(crate) fn reserved(bytes: Bytes, memory: Option<Rc<Guard>>) -> AnswerBody {
        AnswerBody { bytes, memory }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn memory(&self) -> Option<&Rc<Guard>> {
        self.memory.as_ref()
    }
}

impl Body for AnswerBody {
    type Data = AnswerBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<AnswerBytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let AnswerBody { bytes, memory } = std::mem::take(&mut *self);
        Poll::Ready(Some(Ok(Frame::data(AnswerBytes { bytes, _memory: memory }))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

impl Buf for AnswerBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
