//! Connections from callers, and the table of all that are open.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use base::Time;
use forward::CallerLimits;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use super::{MAX_HEADER_FIELDS, request::handle};
use crate::{Clock, SharedCx, socket};

/// Smallest buffer for request heads that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Idle time after which a connection is closed during a shutdown.
pub(super) const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

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
enum Close {
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
    /// Limit on a request's head, which holds for as long as the connection.
    head_bytes: usize,
    close: Cell<Option<Close>>,
    wake: Notify,
}

/// All open connections from callers to this host.
#[derive(Debug)]
#[derive(Default)]
pub(crate) struct Connections {
    states: RefCell<Vec<Rc<ConnectionState>>>,
}

impl Connections {
    pub(crate) fn len(&self) -> usize {
        self.states.borrow().len()
    }

    /// Closes connections that exceed the idle or the header timeout, and those that were
    /// opened under a lower limit on heads.
    pub(crate) fn close_expired(&self, now: Time, limits: &CallerLimits) {
        let head_bytes = head_buffer_bytes(limits);
        for state in &*self.states.borrow() {
            match state.phase.get() {
                Phase::Idle(_) | Phase::Serving if state.head_bytes < head_bytes => {
                    state.close(Close::Graceful);
                }
                Phase::Idle(since) if now.since(since) > limits.idle_timeout => {
                    state.close(Close::Graceful);
                }
                Phase::Head(since) if now.since(since) > limits.header_timeout => {
                    state.close(Close::Immediate);
                }
                Phase::Idle(_) | Phase::Head(_) | Phase::Serving => {}
            }
        }
    }

    /// Closes each connection after the answer in progress.
    pub(super) fn close_gracefully(&self) {
        for state in &*self.states.borrow() {
            state.close(Close::Graceful);
        }
    }

    /// Closes the connection that has been idle longest if more than `limit`
    /// are open.
    fn evict_idle(&self, limit: usize) {
        let states = self.states.borrow();
        if states.len() <= limit {
            return;
        }
        let idle = states.iter().filter_map(|state| match state.phase.get() {
            Phase::Idle(since) if state.close.get().is_none() => Some((since, state)),
            Phase::Idle(_) | Phase::Head(_) | Phase::Serving => None,
        });
        if let Some((_, state)) = idle.min_by_key(|(since, _)| *since) {
            state.close(Close::Graceful);
        }
    }

    /// Closes connections that are idle during a shutdown. A new connection
    /// still has time to send its first request.
    pub(super) fn close_idle(&self, now: Time) {
        for state in &*self.states.borrow() {
            let is_idle = |since| now.since(since) > SHUTDOWN_IDLE_TIMEOUT;
            if matches!(state.phase.get(), Phase::Idle(since) if is_idle(since)) {
                state.close(Close::Graceful);
            }
        }
    }

    fn remove(&self, state: &Rc<ConnectionState>) {
        self.states.borrow_mut().retain(|it| !Rc::ptr_eq(it, state));
    }
}

impl ConnectionState {
    fn close(&self, close: Close) {
        if self.close.get() != Some(close) {
            self.close.set(Some(close));
            self.wake.notify_one();
        }
    }
}

fn head_buffer_bytes(limits: &CallerLimits) -> usize {
    limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES)
}

/// Serves a caller's connection in a task of its own.
pub(crate) fn spawn(cx: &SharedCx, stream: TcpStream, connections: &Rc<Connections>) {
    if let Err(err) = socket::set_options(&stream) {
        slog::debug!(cx.log, "front: cannot set socket options on a caller's connection";
            "error" => %err);
        return;
    }
    let state = Rc::new(ConnectionState {
        phase: Cell::new(Phase::Idle(cx.clock.now())),
        has_ambiguous_length: Cell::new(false),
        head_bytes: head_buffer_bytes(&cx.limits.get()),
        close: Cell::new(None),
        wake: Notify::new(),
    });
    connections.evict_idle(cx.cfg.max_caller_connections.saturating_sub(1));
    connections.states.borrow_mut().push(state.clone());
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
