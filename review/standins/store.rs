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
    /// Each answer whose number is a multiple of this is lost; 0 for none.
    lose_each: u64,
    answers: u64,
    /// Whether all calls are rejected with 503.
    is_busy: bool,
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
            lose_each: 0,
            answers: 0,
            is_busy: false,
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

    /// Loses each answer whose number is a multiple of `each` from now on; 0 for none.
    pub fn lose_answers(&self, each: u64) {
        let mut state = self.state.lock().unwrap();
        (state.lose_each, state.answers) = (each, 0);
    }

    /// Rejects all calls with 503, those that wait too, until it is no longer busy.
    pub fn set_busy(&self, is_busy: bool) {
        self.state.lock().unwrap().is_busy = is_busy;
    }

    fn is_busy(&self) -> bool {
        self.state.lock().unwrap().is_busy
    }

    fn is_lost(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.answers += 1;
        state.lose_each > 0 && state.answers % state.lose_each == 0
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().is_silent
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
            while self.is_silent() {
                thread::sleep(POLL);
            }
            if self.is_lost() {
                self.record.note(&format!("store: the answer to {target} is lost"));
                // Nothing further comes on this connection; it stays open.
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            if self.is_busy() {
                let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                if out.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
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
                if !events.is_empty() || state.is_busy || Instant::now() >= until {
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
