//! The platform's store, with its range and watch calls.

use std::{
    collections::BTreeMap,
    io::{BufReader, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Kind},
    record::Record,
};

const POLL: Duration = Duration::from_millis(4);

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key, and value unless the item was removed.
    history: Vec<(u64, String, Option<String>)>,
    /// Whether calls that come in get no answer. Those that wait already are answered
    /// later.
    is_silent: bool,
    /// Whether all connections are closed without an answer.
    is_down: bool,
}

impl Store {
    pub fn start(ip: IpAddr, record: &Record) -> Result<Store, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("store: {err}"))?;
        let addr = listener.local_addr().map_err(|err| err.to_string())?;
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            is_silent: false,
            is_down: false,
        };
        let store = Store { addr, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; its return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        state.items.insert(key.to_owned(), (rev, value.to_owned()));
        state.history.push((rev, key.to_owned(), Some(value.to_owned())));
    }

    /// Removes an item; its return is the acknowledgement.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        state.items.remove(key);
        state.history.push((rev, key.to_owned(), None));
    }

    /// Answers no call that comes in until it is no longer silent. Such a call gets no
    /// answer later either, and nothing further comes on its connection.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().is_silent
    }

    /// Closes all connections without an answer until it is up again.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    fn is_down(&self) -> bool {
        self.state.lock().unwrap().is_down
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read(&mut reader, Kind::Request) {
            let target = call.word(1).replace("%2F", "/");
            if self.is_silent() {
                self.record.note(&format!("store: {target} gets no answer"));
                // The connection stays open.
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|it| it.split_once('=')).collect();
            let body = match path {
                "/v1/kv-range" => self.range(&query),
                "/v1/kv-watch" => self.watch(&query),
                _ => "{}".to_owned(),
            };
            if self.is_down() {
                return;
            }
            while self.is_silent() {
                thread::sleep(POLL);
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &BTreeMap<&str, &str>) -> String {
        thread::sleep(POLL);
        let state = self.state.lock().unwrap();
        let prefix = query.get("prefix").copied().unwrap_or_default();
        let after = query.get("after").copied().unwrap_or_default();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, (rev, value))| item(key, *rev, Some(value)))
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"store_revision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, query: &BTreeMap<&str, &str>) -> String {
        let number = |name| query.get(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let prefix = query.get("prefix").copied().unwrap_or_default();
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        loop {
            {
                let state = self.state.lock().unwrap();
                let new = state.history.iter();
                let new = new.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
                let events: Vec<String> =
                    new.map(|(rev, key, value)| item(key, *rev, value.as_deref())).collect();
                if !events.is_empty() || state.is_down || Instant::now() >= until {
                    return format!(
                        r#"{{"events":[{}],"store_revision":{}}}"#,
                        events.join(","),
                        state.revision
                    );
                }
            }
            thread::sleep(POLL);
        }
    }
}

fn item(key: &str, rev: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","rev":{rev},"created":{rev},"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","rev":{rev},"tombstone":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
