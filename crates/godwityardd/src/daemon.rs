//! Starts and connects the components of one host, and stops them in order.

use std::{sync::Arc, time::Duration};

use config_client::HttpPlatform;
use documents::Settings;
use entry::EntryCx;
use eyre::WrapErr;
use fleet::{Input, Node, NodeSettings};
use owner::OwnerHandle;
use peer::{DatagramSocket, Identity, Links};
use slog::{Logger, info};
use telemetry::{Metrics, Part, part_logger};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    clock,
    fleet_driver::{Delivery, Driver, DriverCx, Inbox, Leave, PlatformReader, receive_datagrams},
    owners::FleetOwners,
    peer_service::PeerService,
    servers::{Servers, ShutdownSignals},
    startup::Startup,
    suspects,
    view::SharedView,
};

/// Capacity of the channels into the fleet driver for frames and for platform
/// responses.
const INBOX_CAPACITY: usize = 4_096;

/// A running host.
struct Host {
    cfg: Settings,
    entry: EntryCx<SharedView, FleetOwners>,
    owner: OwnerHandle,
    servers: Servers,
    leave: mpsc::Sender<Leave>,
    log: Logger,
}

/// Sending ends of the channels into the fleet driver.
struct InboxSenders {
    deliveries: mpsc::Sender<Delivery>,
    platform: mpsc::Sender<Input>,
    leave: mpsc::Sender<Leave>,
}

/// Runs the host until SIGTERM or SIGINT, then stops it gracefully.
pub async fn run(startup: Startup) -> eyre::Result<()> {
    let (root, _guard) = telemetry::root_logger(&startup.cfg.log, &startup.cfg.host);
    telemetry::report_broken_invariants(&root);
    let mut signals = ShutdownSignals::new()?;
    let host = Host::start(startup, &root).await?;
    signals.recv().await;
    host.stop().await;
    Ok(())
}

impl Host {
    async fn start(startup: Startup, root: &Logger) -> eyre::Result<Host> {
        let Startup { cfg, fleet_secret, admin_token } = startup;
        let metrics = Metrics::new()?;
        let identity = identity(&cfg, fleet_secret);
        let links = Links::start(identity.clone(), cfg.peers.ip(), part_logger(root, Part::Peer))?;
        let owner = start_owner(&cfg, &metrics, root);
        let view = SharedView::new(cfg.host.clone(), cfg.domain.clone(), identity.incarnation);
        let owners = FleetOwners::new(view.clone(), owner.clone(), links.clone());
        let entry = start_entry(&cfg, admin_token.clone(), view.clone(), owners, &metrics, root);

        let (senders, inbox) = driver_channels();
        let deliveries = senders.deliveries;
        let service = PeerService { owner: owner.clone(), entry: entry.clone(), deliveries };
        let datagrams = serve_peers(&cfg, &identity, service, root)?;
        spawn_background_tasks(&entry, &view, &datagrams);
        let platform = platform_reader(&cfg, senders.platform, &metrics, root)?;
        let cx = DriverCx {
            datagrams,
            links,
            owner: owner.clone(),
            entry: entry.clone(),
            view,
            owner_mode: cfg.policy.owners,
            platform,
            metrics: metrics.clone(),
            log: part_logger(root, Part::Fleet),
        };
        let node = Node::new(node_settings(&cfg, &identity), clock::now());
        tokio::spawn(Driver::new(node, cx).run(inbox));

        let servers = Servers::start(&cfg, &entry, admin_token, metrics).await?;
        let log = part_logger(root, Part::Daemon);
        info!(log, "started"; "callers" => %cfg.callers, "admin" => %cfg.admin,
            "peers" => %cfg.peers, "incarnation" => identity.incarnation.0);
        Ok(Host { cfg, entry, owner, servers, leave: senders.leave, log })
    }

    /// Stops without failing requests: the load balancer and peers learn of the
    /// shutdown first, while everything still works; then admitted requests
    /// finish.
    async fn stop(self) {
        info!(self.log, "stopping"; "grace_ms" => self.cfg.grace.as_millis() as u64);
        let grace = self.cfg.grace;
        match timeout(grace, self.stop_in_order()).await {
            Ok(log) => info!(log, "stopped"),
            Err(_) => report_grace_expired(grace),
        }
    }

    async fn stop_in_order(self) -> Logger {
        self.entry.stop();
        let (reply, left) = oneshot::channel();
        // The driver runs as long as the process.
        let _ = self.leave.send(Leave(reply)).await;
        sleep(self.cfg.balancer_lag).await;
        self.servers.stop_callers().await;
        self.entry.drained().await;
        let _ = left.await;
        self.owner.drain().await;
        self.log
    }
}

#[expect(clippy::print_stderr, reason = "logging may be what blocks")]
fn report_grace_expired(grace: Duration) {
    eprintln!(
        "godwityardd: not drained within the grace period of {} ms, exiting anyway",
        grace.as_millis()
    );
}

fn identity(cfg: &Settings, secret: Option<Arc<[u8]>>) -> Identity {
    Identity {
        fleet: cfg.fleet.as_str().into(),
        host: cfg.host.clone(),
        address: cfg.advertise,
        incarnation: clock::new_incarnation(),
        secret,
    }
}

fn driver_channels() -> (InboxSenders, Inbox) {
    let (deliveries, delivered) = mpsc::channel(INBOX_CAPACITY);
    let (platform, platform_rx) = mpsc::channel(INBOX_CAPACITY);
    let (leave, leave_rx) = mpsc::channel(1);
    let inbox = Inbox { deliveries: delivered, platform: platform_rx, leave: leave_rx };
    (InboxSenders { deliveries, platform, leave }, inbox)
}

/// Starts listening for other hosts, for links and for datagrams.
fn serve_peers(
    cfg: &Settings,
    identity: &Identity,
    service: PeerService,
    root: &Logger,
) -> eyre::Result<DatagramSocket> {
    let log = part_logger(root, Part::Peer);
    let deliveries = service.deliveries.clone();
    let listener = std::net::TcpListener::bind(cfg.peers)
        .wrap_err_with(|| format!("cannot listen for peers on {}", cfg.peers))?;
    peer::serve(listener, identity.clone(), service, log.clone())?;
    let socket = std::net::UdpSocket::bind(cfg.peers)
        .wrap_err_with(|| format!("cannot bind the datagram socket to {}", cfg.peers))?;
    let datagrams = DatagramSocket::new(socket, identity.clone(), log)?;
    tokio::spawn(receive_datagrams(datagrams.clone(), deliveries));
    Ok(datagrams)
}

fn spawn_background_tasks(
    entry: &EntryCx<SharedView, FleetOwners>,
    view: &SharedView,
    datagrams: &DatagramSocket,
) {
    let cx = entry.clone();
    tokio::spawn(async move { entry::learn_all_pools(&cx).await });
    tokio::spawn(suspects::broadcast(entry.clone(), view.clone(), datagrams.clone()));
}

fn platform_reader(
    cfg: &Settings,
    tx: mpsc::Sender<Input>,
    metrics: &Metrics,
    root: &Logger,
) -> eyre::Result<PlatformReader> {
    let log = part_logger(root, Part::Platform);
    Ok(PlatformReader::new(replicas(cfg)?, tx, metrics.clone(), log))
}

fn start_owner(cfg: &Settings, metrics: &Metrics, root: &Logger) -> OwnerHandle {
    OwnerHandle::start(owner::OwnerCx {
        host: cfg.host.clone(),
        policy: cfg.policy.clone(),
        metrics: metrics.clone(),
        log: root.clone(),
        clock: clock::now,
        seed: clock::new_incarnation().0,
    })
}

fn start_entry(
    cfg: &Settings,
    admin_token: Option<Arc<str>>,
    view: SharedView,
    owners: FleetOwners,
    metrics: &Metrics,
    root: &Logger,
) -> EntryCx<SharedView, FleetOwners> {
    entry::EntryBuilder::new(view, owners, metrics.clone())
        .policy(cfg.policy.clone())
        .log(part_logger(root, Part::Entry))
        .admin_token(admin_token)
        .build()
}

fn node_settings(cfg: &Settings, identity: &Identity) -> NodeSettings {
    let (host, domain) = (cfg.host.clone(), cfg.domain.clone());
    NodeSettings::builder(host, domain, cfg.advertise, identity.incarnation)
        .region(cfg.region.clone())
        .fleet(cfg.fleet.clone())
        .seeds(cfg.seeds.clone())
        .build()
}

fn replicas(cfg: &Settings) -> eyre::Result<Vec<HttpPlatform>> {
    let addresses = cfg.platform.addresses.iter();
    let replicas: Result<_, _> = addresses.map(|&it| HttpPlatform::new(it)).collect();
    replicas.wrap_err("cannot create an HTTP client for the platform")
}
