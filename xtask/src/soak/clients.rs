//! Clients: they keep connections open, as long as the host does, and record what
//! became of each attempt.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

use super::{
    configuration::HOST_NAME,
    customers::{self, KeyRing},
    hosts::Host,
    http::{self, Kind, Message},
    ingress::Ingress,
    record::{Answer, Attempt, AttemptEnd, Recorder},
    settings::DOMAINS,
};

/// Time that clients allow a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Chance that a client leaves its connection after an answer.
const LEAVE_CHANCE: f64 = 0.03;
/// One client in so many opens a connection for each request.
const LEAVING_ONE_IN: usize = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request that a client sends.
#[derive(Clone, Debug)]
pub struct Call {
    pub prefix: String,
    pub is_idempotent: bool,
    pub deadline: Duration,
}

/// What all clients of a run share.
#[derive(Clone)]
pub struct Load {
    pub calls: Arc<Vec<(u32, Call)>>,
    pub ingress: Ingress,
    pub recorder: Recorder,
    pub stop: Arc<AtomicBool>,
    /// Mean time between two requests of a client.
    pub pause: Duration,
    pub keys: KeyRing,
    /// Factor by which the clients of the first customer send more, in percent.
    pub heat: Arc<AtomicU64>,
}

impl Load {
    /// Returns the mean time until the next request of the client of this number.
    fn pause_of(&self, client: usize) -> Duration {
        let heat = self.heat.load(Ordering::Relaxed).max(1);
        if client.is_multiple_of(customers::COUNT) {
            self.pause * 100 / heat as u32
        } else {
            self.pause
        }
    }
}

/// An open connection to a host.
struct Connection {
    host: Arc<Host>,
    reader: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    requests: u32,
}

/// Runs one client until the load stops.
pub async fn run(load: Load, seed: u64, number: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let domain = DOMAINS[number / LEAVING_ONE_IN % DOMAINS.len()];
    let is_leaving = number.is_multiple_of(LEAVING_ONE_IN);
    let leave_chance = if is_leaving { 1.0 } else { LEAVE_CHANCE };
    let mut connection = None;
    while !load.stop.load(Ordering::Relaxed) {
        let pause = load.pause_of(number).mul_f64(rng.random_range(0.2..1.8));
        time::sleep(pause).await;
        let Ok((_, call)) = load.calls.choose_weighted(&mut rng, |it| it.0) else { return };
        if connection.is_none() {
            let Some(host) = load.ingress.choose(domain, rng.random()) else { continue };
            connection = Connection::open(&host).await;
            if connection.is_none() {
                load.recorder.lock().attempts.push(attempt(&host, call, None, &load.recorder));
            }
        }
        let Some(open) = connection.take() else { continue };
        let key = load.keys.choose(number, &mut rng);
        let (attempt, open) = open.send(call, key, false, &load.recorder).await;
        load.recorder.lock().attempts.push(attempt);
        connection = open.filter(|_| !rng.random_bool(leave_chance));
    }
}

/// Sends one request to a host, on a connection of its own, only to see which
/// configuration is in force.
pub async fn probe(host: &Arc<Host>, call: &Call, key: Option<String>, recorder: &Recorder) {
    let Some(open) = Connection::open(host).await else { return };
    let (attempt, _) = open.send(call, key, true, recorder).await;
    recorder.lock().attempts.push(attempt);
}

impl Connection {
    async fn open(host: &Arc<Host>) -> Option<Connection> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(host.callers)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (read, write) = stream.into_split();
        Some(Connection {
            host: Arc::clone(host),
            reader: BufReader::new(read),
            write,
            requests: 0,
        })
    }

    /// Sends a request; returns the connection if it can be used again.
    async fn send(
        mut self,
        call: &Call,
        key: Option<String>,
        is_probe: bool,
        recorder: &Recorder,
    ) -> (Attempt, Option<Connection>) {
        let mut attempt = attempt(&self.host, call, key, recorder);
        attempt.is_probe = is_probe;
        attempt.is_reused = self.requests > 0;
        let answer = time::timeout(call.deadline, self.exchange(&attempt, call)).await;
        attempt.ended = recorder.now();
        let mut can_go_on = false;
        attempt.end = match answer {
            Ok(Ok(Some(message))) => {
                can_go_on = !message.closes();
                AttemptEnd::Answered(message.into())
            }
            Ok(Ok(None)) => AttemptEnd::Closed,
            Ok(Err(err)) => ended(&err),
            Err(_) => AttemptEnd::TimedOut,
        };
        self.requests += 1;
        (attempt, can_go_on.then_some(self))
    }

    async fn exchange(&mut self, attempt: &Attempt, call: &Call) -> io::Result<Option<Message>> {
        let (method, length) =
            if call.is_idempotent { ("GET", "") } else { ("POST", "Content-Length: 0\r\n") };
        let key = attempt.key.as_ref();
        let key = key.map(|it| format!("Authorization: Bearer {it}\r\n")).unwrap_or_default();
        let request = format!(
            "{method} {} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {}\r\n\
             X-Deadline-Ms: {}\r\nAccept-Encoding: identity\r\n{key}{length}\r\n",
            attempt.path,
            attempt.id,
            call.deadline.as_millis()
        );
        self.write.write_all(request.as_bytes()).await?;
        http::read(&mut self.reader, Kind::Response).await
    }
}

fn ended(err: &io::Error) -> AttemptEnd {
    match err.kind() {
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => AttemptEnd::Reset,
        _ => AttemptEnd::Closed,
    }
}

/// Returns an attempt that begins now, and that has not connected yet.
fn attempt(host: &Host, call: &Call, key: Option<String>, recorder: &Recorder) -> Attempt {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let now = recorder.now();
    Attempt {
        path: format!("{}{number:x}", call.prefix),
        id,
        host: host.index,
        is_probe: false,
        is_idempotent: call.is_idempotent,
        is_reused: false,
        key,
        sent: now,
        ended: now,
        end: AttemptEnd::NotConnected,
    }
}

impl From<Message> for Answer {
    fn from(message: Message) -> Answer {
        Answer {
            status: message.status(),
            stamp: message.header("x-server-stamp").map(str::to_owned),
            part_stamps: message.list("x-part-stamps"),
            missing_parts: message
                .number("x-missing-parts")
                .and_then(|it| usize::try_from(it).ok())
                .unwrap_or(0),
            body: message.body,
        }
    }
}
