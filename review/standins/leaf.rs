//! Leafs, as `PROTOCOL.md` describes them.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Kind, Message},
    record::Record,
};

/// Time for which a health request holds a slot.
const HEALTH_WORK: Duration = Duration::from_millis(1);

/// What a leaf does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Reaction {
    /// Answers after this time of work.
    Answers(Duration),
    /// Answers at once with other bytes than its body, marked by `Content-Encoding`.
    Encoded,
    /// Answers at once with a body in chunks of one byte that does not end.
    EndlessChunks,
}

/// What leafs do, by their index among all leafs.
#[derive(Clone)]
pub struct Behaviour {
    /// Reaction to a request.
    pub reaction: Arc<dyn Fn(usize) -> Reaction + Send + Sync>,
    /// Whether a second copy of an answer comes late, when the next answer on the
    /// connection is expected.
    pub is_repeated: Arc<dyn Fn(usize) -> bool + Send + Sync>,
    /// Requests that a leaf runs at a time, and those that it queues besides.
    pub slots: usize,
    pub queue: usize,
}

impl Behaviour {
    pub fn new(reaction: impl Fn(usize) -> Reaction + Send + Sync + 'static) -> Behaviour {
        Behaviour {
            reaction: Arc::new(reaction),
            is_repeated: Arc::new(|_| false),
            slots: 6,
            queue: 24,
        }
    }
}

/// A request that a leaf began to work on.
#[derive(Clone)]
pub struct Run {
    /// When the request reached the leaf.
    pub at: Duration,
    pub leaf: String,
    pub service: String,
    pub stamp: String,
    /// The leaf's whole body.
    pub body: Vec<u8>,
}

/// All runs, by the id of the request.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    slots: usize,
}

impl Leaf {
    /// Starts a leaf; `index` is its place among all leafs.
    pub fn start(
        ip: IpAddr,
        index: usize,
        service: &str,
        zone: &str,
        behaviour: &Behaviour,
        runs: &Runs,
        record: &Record,
    ) -> Result<Leaf, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("leaf: {err}"))?;
        let addr = listener.local_addr().map_err(|err| err.to_string())?;
        let id = format!("i-{index:08x}");
        let serving = Serving {
            id: id.clone(),
            index,
            service: service.to_owned(),
            behaviour: behaviour.clone(),
            runs: runs.clone(),
            record: record.clone(),
            places: Arc::default(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let slots = behaviour.slots;
        Ok(Leaf { id, service: service.to_owned(), zone: zone.to_owned(), addr, slots })
    }

    /// The leaf's entry in the store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","warmup_left_ms":0,"seq":4,"born":1700000000000}}"#,
            self.service, self.addr, self.zone, self.slots
        )
    }
}

#[derive(Clone)]
struct Serving {
    id: String,
    index: usize,
    service: String,
    behaviour: Behaviour,
    runs: Runs,
    record: Record,
    places: Arc<(Mutex<Places>, Condvar)>,
}

/// Requests at a leaf.
#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

impl Serving {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut late: Vec<u8> = Vec::new();
        while let Ok(Some(request)) = http::read(&mut reader, Kind::Request) {
            if !late.is_empty() {
                let next = request.header("x-request-id").unwrap_or("a health request");
                self.record.note(&format!(
                    "leaf {}: an extra answer comes before that to {next}",
                    self.id
                ));
                if out.write_all(&std::mem::take(&mut late)).is_err() {
                    return;
                }
            }
            let is_health = request.word(1) == "/healthz";
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            let echo = if is_health { String::new() } else { format!("X-Request-Id: {id}\r\n") };
            let echo = echo + &self.load();
            let is_other = request.header("x-expect-instance").is_some_and(|it| it != self.id);
            let sent = if is_other {
                let own = &self.id;
                let head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\n";
                let text = format!("{head}{echo}X-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
                out.write_all(text.as_bytes()).is_ok()
            } else if !self.take_slot(&request) {
                let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n";
                let text = format!("{head}{echo}Content-Length: 0\r\n\r\n");
                let what = if is_health { "a health request" } else { &id };
                self.record.note(&format!("leaf {} is full and rejects {what}", self.id));
                if !is_health && (self.behaviour.is_repeated)(self.index) {
                    late = text.clone().into_bytes();
                }
                out.write_all(text.as_bytes()).is_ok()
            } else {
                let sent = if is_health {
                    thread::sleep(HEALTH_WORK);
                    let head = "HTTP/1.1 200 OK\r\nX-Instance-Id: ";
                    let text = format!("{head}{}\r\n{echo}Content-Length: 0\r\n\r\n", self.id);
                    out.write_all(text.as_bytes()).is_ok()
                } else if wait_while_open(&out, Duration::ZERO) {
                    self.answer(&mut out, &request, &id, &echo, &mut late)
                } else {
                    false
                };
                self.leave_slot();
                sent
            };
            if !sent {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let places = self.places.0.lock().unwrap();
        let (running, waiting) = (places.running, places.waiting);
        format!("X-Server-Load: {running},{waiting},{}\r\n", self.behaviour.slots)
    }

    /// Waits for a slot; returns false if the queue is full or the deadline passed.
    fn take_slot(&self, request: &Message) -> bool {
        let limit = request.header("x-deadline-ms").and_then(|it| it.parse().ok());
        let limit = Duration::from_millis(limit.unwrap_or(500));
        let (places, freed) = &*self.places;
        let mut places = places.lock().unwrap();
        let slots = self.behaviour.slots;
        if places.running >= slots {
            if places.waiting >= self.behaviour.queue {
                return false;
            }
            places.waiting += 1;
            places = freed.wait_timeout_while(places, limit, |it| it.running >= slots).unwrap().0;
            places.waiting -= 1;
            if places.running >= slots {
                return false;
            }
        }
        places.running += 1;
        true
    }

    fn leave_slot(&self) {
        self.places.0.lock().unwrap().running -= 1;
        self.places.1.notify_one();
    }

    /// Runs a request and answers it; returns false if the connection is over.
    fn answer(
        &self,
        out: &mut TcpStream,
        request: &Message,
        id: &str,
        echo: &str,
        late: &mut Vec<u8>,
    ) -> bool {
        let stamp = format!("{}.{id}", self.id);
        let body = format!("{} served {id}. ", self.id).repeat(150).into_bytes();
        let reaction = (self.behaviour.reaction)(self.index);
        let run = Run {
            at: self.record.now(),
            leaf: self.id.clone(),
            service: self.service.clone(),
            stamp: stamp.clone(),
            body: body.clone(),
        };
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
        self.record.note(&format!("leaf {} ({}) runs {id}", self.id, self.service));
        let head = format!("HTTP/1.1 200 OK\r\n{echo}X-Server-Stamp: {stamp}\r\n");
        match reaction {
            Reaction::Answers(work) => {
                let limit = request.header("x-deadline-ms").and_then(|it| it.parse().ok());
                let limit = Duration::from_millis(limit.unwrap_or(60_000));
                if !wait_while_open(out, work.min(limit)) {
                    self.record
                        .note(&format!("leaf {} drops {id}: its connection closed", self.id));
                    false
                } else if work > limit {
                    let head = format!("HTTP/1.1 504 Late\r\n{echo}X-Server-Stamp: {stamp}\r\n");
                    out.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).is_ok()
                } else {
                    if (self.behaviour.is_repeated)(self.index) {
                        *late = with_body(&head, &body);
                    }
                    out.write_all(&with_body(&head, &body)).is_ok()
                }
            }
            Reaction::Encoded => {
                self.record.note(&format!("leaf {} spoils its answer to {id}", self.id));
                let spoilt: Vec<u8> = body.iter().rev().map(|it| it ^ 0x5a).collect();
                let bytes = with_body(&format!("{head}Content-Encoding: gzip\r\n"), &spoilt);
                out.write_all(&bytes).is_ok()
            }
            Reaction::EndlessChunks => {
                self.record.note(&format!("leaf {}: its answer to {id} does not end", self.id));
                let written = write_endless(out, &head);
                let text = format!("leaf {}: the caller closed after {written} bytes", self.id);
                self.record.note(&text);
                false
            }
        }
    }
}

fn with_body(head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes that a leaf writes in a second at most, half of what the link of a host
/// carries.
const ENDLESS_BYTES_PER_S: u64 = 62_500_000;

/// Writes chunks of one byte until the caller closes; returns the number of bytes.
fn write_endless(out: &mut TcpStream, head: &str) -> u64 {
    let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    if out.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    let piece = format!("{:032x}\r\na\r\n", 1).repeat(1_000);
    let (started, mut written) = (Instant::now(), 0);
    while out.write_all(piece.as_bytes()).is_ok() {
        written += piece.len() as u64;
        let due = Duration::from_micros(written * 1_000_000 / ENDLESS_BYTES_PER_S);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    written
}

/// Waits; returns false as soon as the other end has closed the connection.
fn wait_while_open(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let _ = stream.set_read_timeout(None);
            return true;
        }
        let _ = stream.set_read_timeout(Some(left.min(Duration::from_millis(20))));
        match stream.peek(&mut [0; 1]) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(left.min(Duration::from_millis(5))),
            Err(err)
                if matches!(
                    err.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return false,
        }
    }
}
