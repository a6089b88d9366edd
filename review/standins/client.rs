//! Clients, which open a connection for each request.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::HOST_NAME,
    http::{self, Kind, Message},
    ingress::Ingress,
    record::Record,
};

/// Time that clients allow a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Period of the wave in which the rates of the site swing.
const WAVE: Duration = Duration::from_secs(11);

pub enum Outcome {
    Answer(Message),
    /// The connection ended without a complete answer.
    Closed,
    NotConnected,
    /// The client's deadline passed.
    TimedOut,
}

/// A request and what became of it.
pub struct Sent {
    pub id: String,
    /// Name of the host that took it.
    pub host: String,
    pub sent: Duration,
    pub ended: Duration,
    pub outcome: Outcome,
}

/// What clients of a zone ask for.
#[derive(Clone)]
pub struct Load {
    pub zone: &'static str,
    pub method: &'static str,
    pub path: &'static str,
    pub body: String,
    pub deadline: Duration,
    pub per_s: f64,
    /// Part of `per_s` by which the rate swings.
    pub swing: f64,
}

pub type AllSent = Arc<Mutex<Vec<Sent>>>;

/// Sends requests at the rate of the load for `time`, then waits until all have ended.
pub fn run(loads: &[Load], time: Duration, ingress: &Ingress, record: &Record) -> AllSent {
    let all = AllSent::default();
    let mut threads = Vec::new();
    for (index, load) in loads.iter().cloned().enumerate() {
        let (all, ingress, record) = (all.clone(), ingress.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut requests = Vec::new();
            let started = Instant::now();
            let mut due = Duration::ZERO;
            for number in 0_u64.. {
                let phase = due.as_secs_f64() / WAVE.as_secs_f64() * std::f64::consts::TAU;
                let per_s = load.per_s * (1.0 + load.swing * phase.sin());
                due += Duration::from_secs_f64(1.0 / per_s);
                if due >= time {
                    break;
                }
                thread::sleep(due.saturating_sub(started.elapsed()));
                let id = format!("{:016x}", scramble((index as u64) << 32 | number));
                let (all, ingress, record) = (all.clone(), ingress.clone(), record.clone());
                let load = load.clone();
                requests.push(thread::spawn(move || {
                    let sent = request(&load, id, &ingress, &record);
                    all.lock().unwrap().push(sent);
                }));
            }
            requests.into_iter().for_each(|it| it.join().unwrap_or_default());
        }));
    }
    threads.into_iter().for_each(|it| it.join().unwrap_or_default());
    all
}

fn request(load: &Load, id: String, ingress: &Ingress, record: &Record) -> Sent {
    let hash = u64::from_str_radix(&id, 16).unwrap_or(0);
    let chosen = ingress.choose(load.zone, hash);
    let (host, addr) = chosen.map_or(("no host".to_owned(), None), |(it, addr)| (it, Some(addr)));
    let sent = record.now();
    let outcome = match addr {
        Some(addr) => exchange(load, &id, addr).unwrap_or(Outcome::Closed),
        None => Outcome::NotConnected,
    };
    let ended = record.now();
    let text = match &outcome {
        Outcome::Answer(answer) => answer.status().to_string(),
        Outcome::Closed => "closed without a complete answer".to_owned(),
        Outcome::NotConnected => "not connected".to_owned(),
        Outcome::TimedOut => "no answer before the client's deadline".to_owned(),
    };
    record.note(&format!(
        "client: {id} sent to {host} at {:.3} ({} {}): {text}",
        sent.as_secs_f64(),
        load.method,
        load.path
    ));
    Sent { id, host, sent, ended, outcome }
}

fn exchange(load: &Load, id: &str, addr: SocketAddr) -> std::io::Result<Outcome> {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, CONNECT_LIMIT) else {
        return Ok(Outcome::NotConnected);
    };
    stream.set_nodelay(true)?;
    let (method, path, body) = (load.method, load.path, &load.body);
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let text = format!(
        "{method} {path}{id} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nAccept-Encoding: identity\r\n{length}\r\n{body}",
        load.deadline.as_millis()
    );
    stream.set_read_timeout(Some(load.deadline))?;
    stream.write_all(text.as_bytes())?;
    match http::read(&mut BufReader::new(stream), Kind::Response) {
        Ok(Some(answer)) => Ok(Outcome::Answer(answer)),
        Ok(None) => Ok(Outcome::Closed),
        Err(err)
            if matches!(
                err.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Ok(Outcome::TimedOut)
        }
        Err(_) => Ok(Outcome::Closed),
    }
}

/// Spreads the bits of a number, so that consecutive ones look unrelated.
pub fn scramble(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}
