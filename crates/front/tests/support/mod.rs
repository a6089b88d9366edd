#![allow(dead_code, reason = "each test file uses a part of this module")]

//! Test support: a host's forwarding tier on loopback, with scripted targets
//! and callers that write raw bytes.

pub mod source;

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering::Relaxed},
    },
    time::Duration,
};

use base::{DomainName, HashSet, ServiceName, TargetName};
use forward::{
    CallerLimits, Configuration, Destination, Lifecycle, Repeat, Route, Service, TargetReport,
    customers::Customer, route::GatherSpec,
};
use front::{
    Cx, FrontSettingsBuilder, HeaderNames, SharedCx,
    follow::{Feed, follow},
};
use http::HeaderName;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::oneshot,
    task::{JoinHandle, LocalSet, spawn_local},
    time::{sleep, timeout},
};

use self::source::ScriptedSource;

/// Port of the addresses returned by `own_address`.
const PORT: u16 = 8_100;

/// Limit on the time of one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Reaction of a scripted target to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes these bytes; `{id}` stands for the request's id.
    Bytes(String),
    /// Writes these bytes and closes.
    BytesThenClose(String),
    /// Writes these bytes and resets the connection once they are delivered.
    BytesThenReset(String),
    /// Closes without an answer.
    Close,
    /// Sends nothing until the connection ends.
    Silence,
    /// Writes the first text, then the second one again and again until the
    /// connection ends.
    Endless(String, String),
    /// Writes these bytes after a delay.
    Later(Duration, String),
}

/// A target on loopback, with a record of its requests.
pub struct Target {
    pub address: SocketAddr,
    /// Requests as received, head and body.
    pub received: Rc<RefCell<Vec<String>>>,
    /// Number of connections that ended while a request was unanswered, or while an
    /// answer did not end.
    pub abandoned: Rc<RefCell<usize>>,
    /// Number of open connections, and of all so far.
    pub open: Rc<Cell<usize>>,
    pub opened: Rc<Cell<usize>>,
}

impl Target {
    pub fn requests(&self) -> usize {
        self.received.borrow().len()
    }
}

/// Returns a complete, signed answer of a target.
pub fn ok(stamp: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-stamp: {stamp}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the answer of a target that did not run the request.
pub fn shed() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        .to_owned()
}

/// Starts a target that gives its replies in order and then repeats the last
/// one.
pub async fn target(replies: Vec<Reply>) -> Target {
    target_at(([127, 0, 0, 1], 0).into(), replies).await
}

/// Same as `target`, at an address.
pub async fn target_at(address: SocketAddr, replies: Vec<Reply>) -> Target {
    let listener = TcpListener::bind(address).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let received = Rc::new(RefCell::new(Vec::new()));
    let abandoned = Rc::new(RefCell::new(0));
    let open = Rc::new(Cell::new(0));
    let opened = Rc::new(Cell::new(0));
    let target = Target {
        address,
        received: received.clone(),
        abandoned: abandoned.clone(),
        open: open.clone(),
        opened: opened.clone(),
    };
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (replies, received, abandoned) =
                (replies.clone(), received.clone(), abandoned.clone());
            let open = open.clone();
            open.set(open.get() + 1);
            opened.set(opened.get() + 1);
            spawn_local(async move {
                serve_target(stream, replies, received, abandoned).await;
                open.set(open.get() - 1);
            });
        }
    });
    target
}

async fn serve_target(
    mut stream: TcpStream,
    replies: Vec<Reply>,
    received: Rc<RefCell<Vec<String>>>,
    abandoned: Rc<RefCell<usize>>,
) {
    loop {
        let Some(request) = read_message(&mut stream).await else { return };
        let id = header(&request, "x-id").unwrap_or_default();
        let count = {
            let mut received = received.borrow_mut();
            received.push(request);
            received.len()
        };
        let reply = replies[(count - 1).min(replies.len() - 1)].clone();
        let sent = match reply {
            Reply::Bytes(text) => stream.write_all(text.replace("{id}", &id).as_bytes()).await,
            Reply::BytesThenClose(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                return;
            }
            Reply::BytesThenReset(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                sleep(Duration::from_millis(5)).await;
                let _ = stream.set_zero_linger();
                return;
            }
            Reply::Close => return,
            Reply::Silence => {
                let mut buf = [0; 1];
                let _ = stream.read(&mut buf).await;
                *abandoned.borrow_mut() += 1;
                return;
            }
            Reply::Endless(first, rest) => {
                let mut sent = stream.write_all(first.replace("{id}", &id).as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(rest.as_bytes()).await;
                }
                *abandoned.borrow_mut() += 1;
                return;
            }
            Reply::Later(delay, text) => {
                let mut buf = [0; 1];
                tokio::select! {
                    _ = stream.read(&mut buf) => {
                        *abandoned.borrow_mut() += 1;
                        return;
                    }
                    () = sleep(delay) => {}
                }
                stream.write_all(text.replace("{id}", &id).as_bytes()).await
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Reads one message, its head and a body of the stated length; returns `None`
/// if the stream ends first.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length: usize =
                header(&text, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                return Some(text);
            }
        }
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buf[..count]),
        }
    }
}

pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

pub fn status(message: &str) -> u16 {
    message.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}

pub fn body(message: &str) -> &str {
    message.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

pub struct TestHost {
    pub cx: SharedCx,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    routes: Vec<Route>,
    /// Customers of configurations that are applied from now on.
    pub customers: Vec<Customer>,
    version: u64,
    pub warmup_rate: Option<f64>,
    /// Connections that each target accepts.
    pub max_connections: u32,
    /// Latency objective of routes that are added. Their timeout is three times as
    /// long.
    pub objective: Duration,
    stop: Option<oneshot::Sender<()>>,
    pub ended: JoinHandle<io::Result<()>>,
}

impl TestHost {
    pub fn start() -> TestHost {
        TestHost::start_with_seeds(own_address(), Vec::new())
    }

    /// Starts a host that discovers others through `seeds`.
    pub fn start_with_seeds(peers: SocketAddr, seeds: Vec<SocketAddr>) -> TestHost {
        TestHost::start_with_capacity(peers, seeds, 1_000)
    }

    /// Starts a host with a processing capacity in thousandths of a core.
    pub fn start_with_capacity(
        peers: SocketAddr,
        seeds: Vec<SocketAddr>,
        capacity: u32,
    ) -> TestHost {
        TestHost::start_with(peers, seeds, |it| it.capacity(capacity))
    }

    /// Starts a host with further settings.
    pub fn start_with(
        peers: SocketAddr,
        seeds: Vec<SocketAddr>,
        further: impl FnOnce(FrontSettingsBuilder) -> FrontSettingsBuilder,
    ) -> TestHost {
        base::invariant::panic_when_broken();
        let (callers, readiness, metrics) = (own_address(), own_address(), own_address());
        let name = HeaderName::from_static;
        let names = HeaderNames {
            request_id: name("x-id"),
            deadline_ms: name("x-deadline"),
            stamp: name("x-stamp"),
            expected_target: name("x-target"),
            load: name("x-load"),
            not_run: name("x-not-run"),
            cold_ms: name("x-cold"),
            leaving: name("x-leaving"),
            request_limit: name("x-limit"),
            customer: name("x-customer"),
            part_stamps: name("x-stamps"),
            missing_parts: name("x-missing"),
        };
        let cfg = FrontSettingsBuilder::new(callers, readiness, names)
            .peers(peers, seeds)
            .metrics(Some(metrics))
            .max_caller_connections(40);
        let cfg = further(cfg).build();
        let cx = Cx::new(cfg, Logger::root(Discard, o!())).expect("metrics");
        let (stop, stopped) = oneshot::channel::<()>();
        let serving = front::serve_until(cx.clone(), async {
            // Dropping the sender stops the host too.
            let _ = stopped.await;
        });
        let ended = spawn_local(serving);
        TestHost {
            cx,
            callers,
            readiness,
            metrics,
            peers,
            routes: Vec::new(),
            customers: Vec::new(),
            version: 0,
            warmup_rate: None,
            max_connections: 16,
            objective: Duration::from_millis(300),
            stop: Some(stop),
            ended,
        }
    }

    pub fn list(&self, service: &str, name: &str, target: &Target) {
        self.list_at(service, name, target.address);
    }

    pub fn list_at(&self, service: &str, name: &str, address: SocketAddr) {
        self.cx.update_target(report(service, name, address), Duration::ZERO);
    }

    /// Follows the targets of `source`.
    pub fn follow_targets(&self, source: &Rc<ScriptedSource>) {
        spawn_local(follow(self.cx.clone(), source.clone(), Feed::Targets));
    }

    /// Follows the configuration of `source`.
    pub fn follow_configuration(&self, source: &Rc<ScriptedSource>) {
        spawn_local(follow(self.cx.clone(), source.clone(), Feed::Operations));
    }

    /// Adds a route and applies the resulting configuration.
    pub fn route(&mut self, prefix: &str, repeat: Repeat, destination: Destination) {
        self.routes.push(Route {
            name: Arc::from(prefix),
            host: Arc::from("h"),
            prefix: Arc::from(prefix),
            repeat,
            timeout: self.objective * 3,
            objective: self.objective,
            attempts: 2,
            priority: 1,
            destination,
            regions: Vec::new(),
            is_open: false,
        });
        let limits = CallerLimits {
            header_bytes: 8_192,
            body_bytes: 1_000,
            header_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_millis(800),
        };
        self.publish(limits);
    }

    /// Applies a configuration with the same routes and other limits.
    pub fn change_limits(&mut self, limits: CallerLimits) {
        self.publish(limits);
    }

    fn publish(&mut self, limits: CallerLimits) {
        self.version += 1;
        let service = Service {
            health_path: Arc::from("/health"),
            max_connections: self.max_connections,
            warmup: Duration::ZERO,
            warmup_rate: self.warmup_rate,
        };
        let services = self.routes.iter().flat_map(|it| it.destination.services());
        let services = services.map(|it| (it.clone(), service.clone())).collect();
        let (version, routes) = (self.version, self.routes.clone());
        let customers = self.customers.clone();
        let cfg = Configuration { version, routes, services, limits, customers };
        self.cx.apply_configuration(&cfg);
    }

    /// Adds a route to the service `s`.
    pub fn single(&mut self, repeat: Repeat) {
        self.route("/one/", repeat, Destination::Service(ServiceName::new("s")));
    }

    /// Adds a route over the shards `s0` to `s2`.
    pub fn gather(&mut self, min_share: f64) {
        self.gather_over(3, min_share);
    }

    /// Adds a route over the shards `s0`, `s1` and so on.
    pub fn gather_over(&mut self, shards: usize, min_share: f64) {
        let shards = (0..shards).map(|it| ServiceName::new(&format!("s{it}"))).collect();
        let spec = GatherSpec { shards, top: 2, min_share };
        self.route("/all/", Repeat::Idempotent, Destination::Gather(spec));
    }

    pub async fn connect(&self) -> TcpStream {
        for _ in 0..200 {
            if let Ok(stream) = TcpStream::connect(self.callers).await {
                return stream;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("the host does not accept connections");
    }

    /// Waits until this host counts `hosts` hosts, including itself.
    pub async fn wait_for_hosts(&self, hosts: usize) {
        while self.gauge("front_hosts").await != Some(hosts as u64) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the value of a gauge without labels; `None` if the host does not serve
    /// its metrics yet.
    pub async fn gauge(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(self.metrics).await.ok()?;
        let request = b"GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n";
        stream.write_all(request).await.expect("written");
        let page = read_message(&mut stream).await.unwrap_or_default();
        let is_gauge =
            |it: &&str| it.strip_prefix(name).is_some_and(|it| it.starts_with([' ', '{']));
        page.lines().find(is_gauge)?.rsplit_once(' ')?.1.parse().ok()
    }

    /// Starts a graceful shutdown.
    pub fn stop(&mut self) {
        self.stop = None;
    }

    /// Sends a request on a connection of its own and reads the answer.
    pub async fn get(&self, path: &str) -> String {
        self.exchange(&format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n\r\n")).await
    }

    pub async fn exchange(&self, bytes: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(bytes.as_bytes()).await.expect("written");
        read_message(&mut stream).await.unwrap_or_default()
    }

    /// Applies a complete list of targets.
    pub fn retain_targets(&self, names: &[&str]) {
        let names: HashSet<TargetName> = names.iter().map(|it| TargetName::new(it)).collect();
        self.cx.retain_listed(&names);
    }
}

pub fn report(service: &str, name: &str, address: SocketAddr) -> TargetReport {
    TargetReport {
        name: TargetName::new(name),
        born: None,
        sequence: 1,
        service: ServiceName::new(service),
        address,
        domain: DomainName::new("local"),
        slots: 4,
        lifecycle: Lifecycle::Ready,
        cold_for: Duration::ZERO,
    }
}

/// A host in a digest.
type WireHost = (SocketAddr, u16, u32, bool, bool);

/// Capacity of a scripted host.
const LARGE: u32 = 1_000;

/// Tells the host at `to` of a sender at `address`, by one digest.
pub async fn announce(to: SocketAddr, address: SocketAddr) {
    announce_as(to, address, false).await;
}

/// Same as `announce`, for a host that may have lost its targets.
pub async fn announce_as(to: SocketAddr, address: SocketAddr, has_lost_targets: bool) {
    announce_with(to, address, has_lost_targets, 0).await;
}

/// Same as `announce`, for a host with this version of the configuration.
pub async fn announce_version(to: SocketAddr, address: SocketAddr, version: u64) {
    announce_with(to, address, false, version).await;
}

async fn announce_with(to: SocketAddr, address: SocketAddr, has_lost_targets: bool, version: u64) {
    let none: [(u16, u64); 0] = [];
    let no_hosts: [(WireHost, u64); 0] = [];
    let from = (address, 0_u16, LARGE, false, has_lost_targets);
    let digest =
        (from, version, ["local"].to_vec(), no_hosts.to_vec(), none.to_vec(), none.to_vec());
    let mut bytes = postcard::to_stdvec(&digest).expect("encoded");
    bytes.push(u8::from(false));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    socket.send_to(&bytes, to).await.expect("sent");
}

/// Returns a sender's answer with a relay outcome.
pub fn relayed(status: &str, outcome: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nrelay-outcome: {outcome}\r\nretry-after: 0.123\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn done(body: &str) -> Reply {
    Reply::Bytes(relayed("200 OK", "done", body))
}

pub fn not_run() -> Reply {
    Reply::Bytes(relayed("503 Service Unavailable", "not-run", ""))
}

/// Returns a loopback address that no other test uses. A port that was merely
/// found free could be taken before it is bound.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (IpAddr::from([127, high.max(1), low, NEXT.fetch_add(1, Relaxed)]), PORT).into()
}

/// Runs a test on one thread, within `TEST_TIMEOUT`.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test).await.expect("the test ends in time");
    });
}
