//! One caller's connection, and the table of all.

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

use super::forward::handle;
use crate::{Clock, SharedCx, socket};

/// hyper reads heads up to this size at least.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// During a stop, a connection may idle for this long.
const IDLE_AT_STOP: Duration = Duration::from_millis(200);

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request since.
    Idle(Time),
    /// The head of a request has begun to come in.
    Head(Time),
    Serving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// After the answer in progress.
    Graceful,
    AtOnce,
}

/// A connection's state, seen by its task and by the sweep.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub phase: Cell<Phase>,
    /// Both ways of giving a body's length were in the head.
    pub is_ambiguous: Cell<bool>,
    ending: Cell<Option<Ending>>,
    wake: Notify,
}

/// All callers' connections of this host.
#[derive(Debug)]
#[derive(Default)]
pub(super) struct Connections {
    states: RefCell<Vec<Rc<ConnectionState>>>,
}

impl Connections {
    pub(super) fn len(&self) -> usize {
        self.states.borrow().len()
    }

    /// Ends connections that are idle or send a head for too long.
    pub(super) fn sweep(&self, now: Time, limits: &CallerLimits) {
        for state in &*self.states.borrow() {
            match state.phase.get() {
                Phase::Idle(since) if now.since(since) > limits.idle_timeout => {
                    state.end(Ending::Graceful);
                }
                Phase::Head(since) if now.since(since) > limits.header_timeout => {
                    state.end(Ending::AtOnce);
                }
                Phase::Idle(_) | Phase::Head(_) | Phase::Serving => {}
            }
        }
    }

    /// Ends each connection after the answer that is in progress.
    pub(super) fn end_gracefully(&self) {
        for state in &*self.states.borrow() {
            state.end(Ending::Graceful);
        }
    }

    /// Ends the connection that idles longest if there are more than `limit`.
    fn make_room(&self, limit: usize) {
        let states = self.states.borrow();
        if states.len() <= limit {
            return;
        }
        let idle = states.iter().filter_map(|state| match state.phase.get() {
            Phase::Idle(since) if state.ending.get().is_none() => Some((since, state)),
            Phase::Idle(_) | Phase::Head(_) | Phase::Serving => None,
        });
        if let Some((_, state)) = idle.min_by_key(|(since, _)| *since) {
            state.end(Ending::Graceful);
        }
    }

    /// Ends connections on which no request came for a while. A new one gets
    /// the time to send its first.
    pub(super) fn end_idle(&self, now: Time) {
        for state in &*self.states.borrow() {
            let is_idle = |since| now.since(since) > IDLE_AT_STOP;
            if matches!(state.phase.get(), Phase::Idle(since) if is_idle(since)) {
                state.end(Ending::Graceful);
            }
        }
    }

    fn remove(&self, state: &Rc<ConnectionState>) {
        self.states.borrow_mut().retain(|it| !Rc::ptr_eq(it, state));
    }
}

impl ConnectionState {
    fn end(&self, ending: Ending) {
        if self.ending.get() != Some(ending) {
            self.ending.set(Some(ending));
            self.wake.notify_one();
        }
    }
}

/// Serves a caller's connection in a task of its own.
pub(super) fn spawn(cx: &SharedCx, stream: TcpStream, connections: &Rc<Connections>) {
    if let Err(err) = socket::watch_silence(&stream) {
        slog::debug!(cx.log, "front: a caller left at once"; "error" => %err);
        return;
    }
    let state = Rc::new(ConnectionState {
        phase: Cell::new(Phase::Idle(cx.clock.now())),
        is_ambiguous: Cell::new(false),
        ending: Cell::new(None),
        wake: Notify::new(),
    });
    connections.make_room(cx.cfg.max_caller_connections.saturating_sub(1));
    connections.states.borrow_mut().push(state.clone());
    let (cx, connections) = (cx.clone(), connections.clone());
    tokio::task::spawn_local(async move {
        run(&cx, stream, &state).await;
        connections.remove(&state);
    });
}

async fn run(cx: &SharedCx, stream: TcpStream, state: &Rc<ConnectionState>) {
    let stream = CallerStream { stream, state: state.clone(), clock: cx.clock, head_tail: 0 };
    let service = service_fn(|req| {
        let (cx, state) = (cx.clone(), state.clone());
        async move {
            let answer = handle(&cx, &state, req).await;
            state.phase.set(Phase::Idle(cx.clock.now()));
            Ok::<_, Infallible>(answer)
        }
    });
    let head_bytes = cx.limits.get().header_bytes.max(MIN_HEAD_BUFFER);
    let connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = state.wake.notified() => match state.ending.get() {
                Some(Ending::Graceful) => connection.as_mut().graceful_shutdown(),
                Some(Ending::AtOnce) => return,
                None => {}
            },
        }
    }
}

/// A caller's stream that notes when a head begins, and sees heads that state
/// a body's length in two ways; hyper would take one of them.
struct CallerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    clock: Clock,
    head_tail: usize,
}

impl CallerStream {
    fn note_read(&mut self, bytes: &[u8]) {
        if bytes.is_empty() || self.state.phase.get() == Phase::Serving {
            return;
        }
        if let Phase::Idle(_) = self.state.phase.get() {
            self.state.phase.set(Phase::Head(self.clock.now()));
            self.head_tail = 0;
            self.state.is_ambiguous.set(false);
        }
        self.head_tail |= super::read::framing_fields(bytes);
        self.state.is_ambiguous.set(self.head_tail == super::read::BOTH_FRAMINGS);
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
            self.note_read(&buf.filled()[before..]);
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
