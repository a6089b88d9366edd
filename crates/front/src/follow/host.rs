//! A reader as a source: calls to another host.

use std::{cell::RefCell, fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use forward::Position;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use slog::debug;

use super::wire;
use crate::{
    MessageKind, SharedCx,
    body::{BodyLimits, read_body},
    feeds::{Batch, Feed, Source, SourceError},
    socket,
};

/// Limit on the size of a reader's answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A reader, with a connection that is kept between calls.
pub(super) struct HostSource {
    cx: SharedCx,
    address: SocketAddr,
    connection: RefCell<Option<SendRequest<Empty<Bytes>>>>,
}

impl HostSource {
    pub(super) fn new(cx: SharedCx, address: SocketAddr) -> HostSource {
        HostSource { cx, address, connection: RefCell::new(None) }
    }

    async fn call(&self, path: String) -> Result<Batch, SourceError> {
        let mut sender = self.connect().await?;
        let mut request = Request::new(Empty::new());
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("host"));
        *request.uri_mut() = path.parse().map_err(unreadable)?;
        let answer = sender.send_request(request).await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::GONE => return Err(SourceError::HistoryGone),
            status => return Err(unavailable(status)),
        }
        let limits = BodyLimits::bytes(MAX_ANSWER_BYTES);
        let body = read_body(answer.into_body(), limits).await.map_err(unavailable)?;
        self.connection.replace(Some(sender));
        self.decode(&body)
    }

    fn decode(&self, body: &[u8]) -> Result<Batch, SourceError> {
        let metrics = &self.cx.metrics;
        let Some(batch) = self.cx.cfg.peer_keys.verify(MessageKind::Feed, body) else {
            metrics.record_rejected_message("feed", "not authentic");
            return Err(unreadable("no key made the MAC of the body"));
        };
        let (batch, tail) = wire::decode(batch).map_err(|err| {
            metrics.record_rejected_message("feed", err.reason());
            unreadable(err)
        })?;
        for kind in tail.unknown_kinds() {
            metrics.record_skipped_field("feed");
            debug!(self.cx.log, "follow: skipped a field of a batch"; "kind" => kind,
                "reader" => %self.address);
        }
        Ok(batch)
    }

    /// Returns the kept connection, or a new one.
    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, SourceError> {
        let kept = self.connection.take();
        if let Some(mut kept) = kept
            && kept.ready().await.is_ok()
        {
            return Ok(kept);
        }
        let stream = socket::connect(self.address).await.map_err(unavailable)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(unavailable)?;
        // An error also ends the call in progress, which reports it.
        tokio::task::spawn_local(async move { connection.await.unwrap_or_default() });
        Ok(sender)
    }
}

fn unavailable(err: impl fmt::Display) -> SourceError {
    SourceError::Unavailable(err.to_string())
}

fn unreadable(err: impl fmt::Display) -> SourceError {
    SourceError::Unreadable(err.to_string())
}

impl Source for HostSource {
    async fn read(&self, feed: Feed) -> Result<Batch, SourceError> {
        self.call(format!("/items/{}", feed.as_str())).await
    }

    async fn changes(
        &self,
        feed: Feed,
        after: Position,
        wait: Duration,
    ) -> Result<Batch, SourceError> {
        let Position { epoch, revision } = after;
        let mut path = format!("/changes/{}/{revision}/{}", feed.as_str(), wait.as_millis());
        // Readers of earlier builds don't read the epoch.
        if let Some(epoch) = epoch {
            path += &format!("/{epoch}");
        }
        self.call(path).await
    }
}
