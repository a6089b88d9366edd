//! Wires the parts of one host together and takes them down in order.

use std::{sync::Arc, time::Duration};

use documents::Settings;
use entry::EntryCx;
use eyre::WrapErr;
use fleet::{Node, NodeSettings};
use owner::OwnerHandle;
use peer::{Datagrams, Identity, Links};
use platform::HttpPlatform;
use slog::{Logger, info};
use telemetry::{Metrics, Part, part_logger};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    clock,
    fleet_driver::{Driver, DriverCx, Inbox, Leave, PlatformReader, receive_datagrams},
    owners::FleetOwners,
    servers::{self, Servers},
    service::Service,
    start::Start,
    suspects,
    view::SharedView,
};

/// Messages that may wait for the fleet driver.
const INBOX: usize = 4_096;

/// A running host.
struct Host {
    cfg: Settings,
    entry: EntryCx<SharedView, FleetOwners>,
    owner: OwnerHandle,
    servers: Servers,
    leave: mpsc::Sender<Leave>,
    log: Logger,
}

/// Runs the host until a signal asks it to stop, then stops it gracefully.
pub async fn run(start: Start) -> eyre::Result<()> {
    let (root, _guard) = telemetry::root_logger(&start.cfg.log, &start.cfg.host);
    telemetry::report_broken_invariants(&root);
    let host = Host::start(start, &root).await?;
    servers::stop_signal().await?;
    host.stop().await;
    Ok(())
}

impl Host {
    async fn start(start: Start, root: &Logger) -> eyre::Result<Host> {
        let cfg = start.cfg;
        let log = part_logger(root, Part::Daemon);
        let metrics = Metrics::new()?;
        let identity = Identity {
            fleet: cfg.fleet.as_str().into(),
            host: cfg.host.clone(),
            address: cfg.advertise,
            incarnation: clock::incarnation(),
            secret: start.fleet_secret,
        };
        let peer_log = part_logger(root, Part::Peer);
        let links = Links::start(identity.clone(), cfg.peers.ip(), peer_log.clone())?;
        let owner = start_owner(&cfg, &metrics, root);
        let view = SharedView::new(cfg.host.clone(), cfg.domain.clone(), identity.incarnation);
        let owners = FleetOwners::new(view.clone(), owner.clone(), links.clone());
        let entry =
            start_entry(&cfg, start.admin_token.clone(), view.clone(), owners, &metrics, root);

        let (deliveries, delivered) = mpsc::channel(INBOX);
        let (platform_tx, platform_rx) = mpsc::channel(INBOX);
        let (leave, leave_rx) = mpsc::channel(1);
        let service =
            Service { owner: owner.clone(), entry: entry.clone(), deliveries: deliveries.clone() };
        let listener = std::net::TcpListener::bind(cfg.peers)
            .wrap_err_with(|| format!("cannot listen for peers on {}", cfg.peers))?;
        peer::serve(listener, identity.clone(), service, peer_log.clone())?;
        let socket = std::net::UdpSocket::bind(cfg.peers)
            .wrap_err_with(|| format!("cannot open the datagram socket {}", cfg.peers))?;
        let datagrams = Datagrams::new(socket, identity.clone(), peer_log)?;
        tokio::spawn(receive_datagrams(datagrams.clone(), deliveries));

        let learning = entry.clone();
        tokio::spawn(async move { entry::learn_all_pools(&learning).await });
        tokio::spawn(suspects::tell(entry.clone(), view.clone(), datagrams.clone()));

        let platform_log = part_logger(root, Part::Platform);
        let platform =
            PlatformReader::new(replicas(&cfg)?, platform_tx, metrics.clone(), platform_log);
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
        let inbox = Inbox { deliveries: delivered, platform: platform_rx, leave: leave_rx };
        let node = Node::new(node_settings(&cfg, &identity), clock::now());
        tokio::spawn(Driver::new(node, cx).run(inbox));

        let servers = Servers::start(&cfg, &entry, start.admin_token, metrics).await?;
        info!(log, "started"; "callers" => %cfg.callers, "admin" => %cfg.admin,
            "peers" => %cfg.peers, "incarnation" => identity.incarnation.0);
        Ok(Host { cfg, entry, owner, servers, leave, log })
    }

    /// Stops in an order that fails no request: first the balancer and peers
    /// learn of it while everything still works, then admitted work ends.
    async fn stop(self) {
        info!(self.log, "stopping"; "grace_ms" => self.cfg.grace.as_millis() as u64);
        let grace = self.cfg.grace;
        match timeout(grace, self.stop_in_order()).await {
            Ok(log) => info!(log, "stopped"),
            Err(_) => eprintln_grace(grace),
        }
    }

    async fn stop_in_order(self) -> Logger {
        self.entry.stop();
        let (reply, left) = oneshot::channel();
        // The driver lives as long as the process.
        let _ = self.leave.send(Leave(reply)).await;
        sleep(self.cfg.balancer_lag).await;
        self.servers.stop_callers().await;
        self.entry.drained().await;
        let _ = left.await;
        self.owner.drain().await;
        self.log
    }
}

#[expect(clippy::print_stderr, reason = "the log may be what hangs")]
fn eprintln_grace(grace: Duration) {
    eprintln!("godwityardd: not drained after {} ms, leaving all the same", grace.as_millis());
}

fn start_owner(cfg: &Settings, metrics: &Metrics, root: &Logger) -> OwnerHandle {
    OwnerHandle::start(owner::OwnerCx {
        host: cfg.host.clone(),
        policy: cfg.policy.clone(),
        metrics: metrics.clone(),
        log: root.clone(),
        clock: clock::now,
        seed: clock::incarnation().0,
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
    replicas.wrap_err("cannot make a client for the platform")
}
