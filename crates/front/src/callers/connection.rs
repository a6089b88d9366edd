//! Connections from callers.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    net::{IpAddr, SocketAddr},
    pin::{Pin, pin},
    rc::{Rc, Weak},
    task::{Context, Poll},
};

use base::Time;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use super::{
    MAX_HEADER_FIELDS,
    request::handle,
    table::{Connections, head_buffer_bytes},
};
use crate::{Clock, SharedCx, answer::AnswerBody, memory::Guard, socket};

/// State of a caller's connection with regard to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has arrived since this time.
    Idle(Time),
    /// The head of a request has been arriving since this time.
    Head(Time),
    Serving,
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Close {
    /// After the answer in progress.
    Graceful,
    Immediate,
}

/// State of a connection, shared by its task and the table.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub phase: Cell<Phase>,
    /// Whether the head states the body's length both by `Content-Length` and
    /// by `Transfer-Encoding`.
    pub has_ambiguous_length: Cell<bool>,
    /// Address of the caller.
    pub address: IpAddr,
    /// Memory of the answer that the caller reads.
    answer: RefCell<Weak<Guard>>,
    /// Bytes of the answer that the caller has not read.
    unread: Cell<usize>,
    /// Limit on a request's head, which holds for as long as the connection.
    pub head_bytes: usize,
    pub close: Cell<Option<Close>>,
    wake: Rc<Notify>,
}

impl ConnectionState {
    pub fn close(&self, close: Close) {
        if self.close.get() != Some(close) {
            self.close.set(Some(close));
            self.wake.notify_one();
        }
    }

    /// Records that the caller reads an answer from now on.
    pub(super) fn begin_answer(&self, answer: &AnswerBody) {
        let Some(memory) = answer.memory() else { return };
        memory.keep_answer(Some(self.address), &self.wake);
        self.unread.set(answer.len());
        *self.answer.borrow_mut() = Rc::downgrade(memory);
    }

    /// Records that the kernel took bytes for the caller.
    fn record_written(&self, count: usize) {
        let Some(memory) = self.answer.borrow().upgrade() else { return };
        self.unread.set(self.unread.get().saturating_sub(count));
        memory.record_progress(count, Some(self.unread.get()));
    }

    /// Returns whether the caller loses its answer, which it reads too slowly.
    fn has_lost_answer(&self) -> bool {
        self.answer.borrow().upgrade().is_some_and(|it| it.is_evicted())
    }
}

/// Serves a caller's connection in a task of its own.
pub(crate) fn spawn(
    cx: &SharedCx,
    (stream, address): (TcpStream, SocketAddr),
    connections: &Rc<Connections>,
) {
    if !connections.make_room(address.ip(), cx.cfg.address_part) {
        cx.metrics.record_memory_limit("connections", "refused");
        slog::debug!(cx.log, "front: too many connections of callers"; "limit" => connections.limit());
        return;
    }
    if let Err(err) = socket::set_options(&stream) {
        slog::debug!(cx.log, "front: cannot set socket options on a caller's connection";
            "error" => %err);
        return;
    }
    let state = Rc::new(ConnectionState {
        phase: Cell::new(Phase::Idle(cx.clock.now())),
        has_ambiguous_length: Cell::new(false),
        address: address.ip(),
        answer: RefCell::default(),
        unread: Cell::new(0),
        head_bytes: head_buffer_bytes(&cx.limits.get()),
        close: Cell::new(None),
        wake: Rc::default(),
    });
    connections.add(state.clone());
    let (cx, connections) = (cx.clone(), connections.clone());
    tokio::task::spawn_local(async move {
        run(&cx, stream, &state).await;
        connections.remove(&state);
    });
}

async fn run(cx: &SharedCx, stream: TcpStream, state: &Rc<ConnectionState>) {
    let stream = CallerStream { stream, state: state.clone(), clock: cx.clock, framings: 0 };
    let service = service_fn(|req| {
        let (cx, state) = (cx.clone(), state.clone());
        async move {
            let answer = handle(&cx, &state, req).await;
            state.phase.set(Phase::Idle(cx.clock.now()));
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(state.head_bytes)
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = state.wake.notified() => match state.close.get() {
                _ if state.has_lost_answer() => return,
                Some(Close::Graceful) => connection.as_mut().graceful_shutdown(),
                Some(Close::Immediate) => return,
                None => {}
            },
        }
    }
}

/// A caller's stream that records when a head begins, and whether it states
/// the body's length in two ways. hyper would accept such a head and use one of
/// the two.
struct CallerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    clock: Clock,
    /// Bits of [`super::read::framing_fields`] found in the current head.
    framings: usize,
}

impl CallerStream {
    fn record_read(&mut self, bytes: &[u8]) {
        if bytes.is_empty() || self.state.phase.get() == Phase::Serving {
            return;
        }
        if let Phase::Idle(_) = self.state.phase.get() {
            self.state.phase.set(Phase::Head(self.clock.now()));
            self.framings = 0;
            self.state.has_ambiguous_length.set(false);
        }
        self.framings |= super::read::framing_fields(bytes);
        self.state.has_ambiguous_length.set(self.framings == super::read::BOTH_FRAMINGS);
    }
}

impl CallerStream {
    fn record_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &polled {
            self.state.record_written(*count);
        }
        polled
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &polled {
            self.record_read(&buf.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
