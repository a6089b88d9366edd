//! Serves the store's calls: `kv-key`, `kv-range` and `kv-watch`.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

use super::{Item, Page, Store, faults::Reaction};
use crate::soak::{
    http::{self, Kind, Message},
    record::HostIndex,
};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Longest wait of a watch.
const MAX_WAIT_MS: u64 = 30_000;

const NOT_FOUND: (u16, &str) = (404, "Not Found");
const GONE: (u16, &str) = (410, "Gone");
const TOO_MANY: (u16, &str) = (429, "Too Many Requests");
const UNAVAILABLE: (u16, &str) = (503, "Service Unavailable");

/// Serves the host at `host` until the task ends.
pub async fn serve(store: Store, host: HostIndex, addr: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(Connection { store: store.clone(), host }.run(stream));
        }
    });
    Ok(())
}

struct Connection {
    store: Store,
    host: HostIndex,
}

/// What a call gets.
enum Reply {
    Body(Value),
    Status((u16, &'static str)),
    /// Nothing, and nothing further on this connection.
    Nothing,
    Close,
}

impl Connection {
    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = BufReader::new(read);
        while let Ok(Some(call)) = http::read(&mut reader, Kind::Request).await {
            let reply = self.reply(&call).await;
            if !self.send(reply, &mut write, &mut reader).await {
                return;
            }
        }
    }

    async fn reply(&self, call: &Message) -> Reply {
        match self.store.lock().faults.reaction(self.host) {
            Reaction::Serve => {}
            Reaction::Ignore => return Reply::Nothing,
            Reaction::Refuse => return Reply::Status(UNAVAILABLE),
            Reaction::Close => return Reply::Close,
        }
        if !self.store.lock().take_read() {
            return Reply::Status(TOO_MANY);
        }
        time::sleep(ANSWER_TIME).await;
        let target = call.word(1).replace("%2F", "/");
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: Query<'_> = query.split('&').filter_map(|it| it.split_once('=')).collect();
        match path {
            "/v1/kv-key" => self.key(&query),
            "/v1/kv-range" => self.range(&query),
            "/v1/kv-watch" => self.watch(&query).await,
            _ => Reply::Status(NOT_FOUND),
        }
    }

    fn key(&self, query: &Query<'_>) -> Reply {
        let state = self.store.lock();
        let key = query.get("key").copied().unwrap_or_default();
        let Some(item) = state.items.get(key) else { return Reply::Status(NOT_FOUND) };
        let mut body = entry(key, item.rev, Some(item));
        body["store_revision"] = json!(state.revision);
        Reply::Body(body)
    }

    fn range(&self, query: &Query<'_>) -> Reply {
        let prefix = query.get("prefix").copied().unwrap_or_default();
        let after = query.get("after").copied().unwrap_or_default();
        let page = self.store.lock().range(prefix, after);
        let items = entries(&page);
        Reply::Body(json!({
            "items": items, "has_more": page.has_more, "store_revision": page.revision,
        }))
    }

    async fn watch(&self, query: &Query<'_>) -> Reply {
        let number = |name| query.get(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let prefix = query.get("prefix").copied().unwrap_or_default();
        let (after, wait_ms) = (number("after"), number("wait_ms").min(MAX_WAIT_MS));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut changes = self.store.changes.subscribe();
        loop {
            changes.mark_unchanged();
            match self.store.lock().faults.reaction(self.host) {
                Reaction::Close => return Reply::Close,
                Reaction::Refuse => return Reply::Status(UNAVAILABLE),
                Reaction::Serve | Reaction::Ignore => {}
            }
            let page = self.store.lock().changes(prefix, after);
            let Some(page) = page else { return Reply::Status(GONE) };
            if !page.entries.is_empty() || Instant::now() >= until {
                let events = entries(&page);
                return Reply::Body(json!({"events": events, "store_revision": page.revision}));
            }
            let left = until.saturating_duration_since(Instant::now());
            let _ = time::timeout(left, changes.changed()).await;
        }
    }

    /// Sends a reply; returns false if the connection is over.
    async fn send(
        &self,
        reply: Reply,
        write: &mut OwnedWriteHalf,
        reader: &mut BufReader<OwnedReadHalf>,
    ) -> bool {
        let (status, body) = match reply {
            Reply::Body(body) => ((200, "OK"), body.to_string()),
            Reply::Status(status) => (status, "{}".to_owned()),
            Reply::Close => return false,
            Reply::Nothing => return hold(reader).await,
        };
        self.wait_while_silent().await;
        let delay = self.store.lock().faults.delay();
        time::sleep(delay).await;
        if self.store.lock().faults.loses_answer() {
            return hold(reader).await;
        }
        let (code, reason) = status;
        let (era, length) = (self.store.lock().era, body.len());
        let head = format!(
            "HTTP/1.1 {code} {reason}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        write.write_all((head + &body).as_bytes()).await.is_ok()
    }

    /// Holds an answer back while calls get none.
    async fn wait_while_silent(&self) {
        let mut changes = self.store.changes.subscribe();
        loop {
            changes.mark_unchanged();
            if self.store.lock().faults.reaction(self.host) != Reaction::Ignore {
                return;
            }
            let _ = changes.changed().await;
        }
    }
}

type Query<'a> = BTreeMap<&'a str, &'a str>;

/// Keeps a connection open and silent until its other end closes it.
async fn hold(reader: &mut BufReader<OwnedReadHalf>) -> bool {
    let mut buf = [0; 1_024];
    while reader.read(&mut buf).await.is_ok_and(|it| it > 0) {}
    false
}

fn entries(page: &Page) -> Vec<Value> {
    page.entries.iter().map(|(key, rev, item)| entry(key, *rev, item.as_ref())).collect()
}

fn entry(key: &str, rev: u64, item: Option<&Item>) -> Value {
    match item {
        Some(item) => json!({
            "key": key, "value": STANDARD.encode(item.value.as_bytes()), "rev": rev,
            "created": item.created, "lease": 0,
        }),
        None => json!({"key": key, "rev": rev, "tombstone": true}),
    }
}
