//! Forwards traffic between hosts and to the platform, and cuts, silences or
//! delays it by failure domain.
//!
//! Each host binds to a loopback IP of its own, by which the relay identifies
//! senders, and advertises an address at which the relay listens.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::JoinSet,
    time,
};

mod flow;
mod rules;
#[cfg(test)]
mod tests;

use self::rules::{Direction, Rules};
pub use self::rules::{LinkEnd, LinkState, PLATFORM};

/// Largest datagram forwarded, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A host behind the relay.
#[derive(Clone, Debug)]
pub struct Peer {
    pub domain: LinkEnd,
    /// Address at which the relay listens on behalf of the host.
    pub advertised: SocketAddr,
    /// Address at which the host listens, and from whose IP it sends.
    pub bind_address: SocketAddr,
}

/// The port through which one domain's hosts reach a platform replica.
#[derive(Clone, Debug)]
pub struct PlatformPort {
    pub domain: LinkEnd,
    pub listen: SocketAddr,
    pub replica: SocketAddr,
}

/// A running relay, which stops when dropped.
pub struct Relay {
    _tasks: JoinSet<()>,
    link_ends: Vec<LinkEnd>,
    rules: watch::Sender<Rules>,
    flows: Arc<AtomicU64>,
}

/// Destination of one of the relay's TCP ports, and how senders are identified.
struct Route {
    senders: Senders,
    to: LinkEnd,
    address: SocketAddr,
}

/// How the domain of a sender is found.
enum Senders {
    ByIp(Arc<BTreeMap<IpAddr, LinkEnd>>),
    Fixed(LinkEnd),
}

impl Relay {
    pub async fn start(peers: &[Peer], platform: &[PlatformPort]) -> io::Result<Self> {
        let (rules, rx) = watch::channel(Rules::default());
        let flows = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        let senders = peers.iter().map(|it| (it.bind_address.ip(), Arc::clone(&it.domain)));
        let senders: Arc<BTreeMap<_, _>> = Arc::new(senders.collect());
        for peer in peers {
            let route = Route {
                senders: Senders::ByIp(Arc::clone(&senders)),
                to: Arc::clone(&peer.domain),
                address: peer.bind_address,
            };
            let listener = TcpListener::bind(peer.advertised).await?;
            tasks.spawn(accept(listener, route, rx.clone(), Arc::clone(&flows)));
        }
        for port in platform {
            let route = Route {
                senders: Senders::Fixed(Arc::clone(&port.domain)),
                to: PLATFORM.into(),
                address: port.replica,
            };
            let listener = TcpListener::bind(port.listen).await?;
            tasks.spawn(accept(listener, route, rx.clone(), Arc::clone(&flows)));
        }
        spawn_datagram_forwarders(peers, &rx, &mut tasks).await?;
        let mut link_ends: Vec<_> = peers.iter().map(|it| Arc::clone(&it.domain)).collect();
        link_ends.push(PLATFORM.into());
        link_ends.sort();
        link_ends.dedup();
        Ok(Relay { _tasks: tasks, link_ends, rules, flows })
    }

    /// Sets both directions of the link between `a` and `b`.
    pub fn set_link(
        &self,
        a: &str,
        b: &str,
        state: LinkState,
        delay: Duration,
    ) -> eyre::Result<()> {
        let (a, b) = (self.link_end(a)?, self.link_end(b)?);
        let next = self.flows.load(Ordering::Relaxed);
        self.rules.send_modify(|it| {
            it.set_direction(&a, &b, state, delay, next);
            it.set_direction(&b, &a, state, delay, next);
        });
        Ok(())
    }

    /// Sets the links between all domains; links to the platform are unchanged.
    pub fn set_all_links(&self, state: LinkState, delay: Duration) -> eyre::Result<()> {
        let domains: Vec<_> = self.link_ends.iter().filter(|it| &***it != PLATFORM).collect();
        for (number, a) in domains.iter().enumerate() {
            for b in &domains[number + 1..] {
                self.set_link(a, b, state, delay)?;
            }
        }
        Ok(())
    }

    /// Makes all links of one link end silent.
    pub fn isolate(&self, link_end: &str) -> eyre::Result<()> {
        let others = self.link_ends.iter().filter(|it| &***it != link_end);
        others
            .into_iter()
            .try_for_each(|it| self.set_link(link_end, it, LinkState::Silent, Duration::ZERO))
    }

    pub fn heal(&self) {
        self.rules.send_modify(Rules::heal);
    }

    fn link_end(&self, name: &str) -> eyre::Result<LinkEnd> {
        let link_end = self.link_ends.iter().find(|it| &***it == name);
        link_end.cloned().ok_or_else(|| eyre::eyre!("no domain named `{name}`"))
    }
}

impl Route {
    fn direction(&self, sender: IpAddr, flow: u64) -> Option<Direction> {
        let from = match &self.senders {
            Senders::ByIp(domains) => domains.get(&sender)?,
            Senders::Fixed(domain) => domain,
        };
        Some(Direction { from: Arc::clone(from), to: Arc::clone(&self.to), flow })
    }
}

async fn accept(
    listener: TcpListener,
    route: Route,
    rules: watch::Receiver<Rules>,
    flows: Arc<AtomicU64>,
) {
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let Ok((stream, sender)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let number = flows.fetch_add(1, Ordering::Relaxed);
        let Some(direction) = route.direction(sender.ip(), number) else { continue };
        open.spawn(flow::forward(stream, route.address, direction, rules.clone()));
    }
}

/// Spawns a task for each host that forwards the datagrams sent to it, with the
/// sender's advertised address as their source.
async fn spawn_datagram_forwarders(
    peers: &[Peer],
    rules: &watch::Receiver<Rules>,
    tasks: &mut JoinSet<()>,
) -> io::Result<()> {
    let mut sockets = BTreeMap::new();
    for peer in peers {
        let socket = Arc::new(UdpSocket::bind(peer.advertised).await?);
        sockets.insert(peer.bind_address.ip(), (Arc::clone(&peer.domain), socket));
    }
    let sockets = Arc::new(sockets);
    for peer in peers {
        tasks.spawn(forward_datagrams(peer.clone(), Arc::clone(&sockets), rules.clone()));
    }
    Ok(())
}

type Sockets = BTreeMap<IpAddr, (LinkEnd, Arc<UdpSocket>)>;

async fn forward_datagrams(peer: Peer, sockets: Arc<Sockets>, rules: watch::Receiver<Rules>) {
    let Some((_, own)) = sockets.get(&peer.bind_address.ip()) else { return };
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut delayed = JoinSet::new();
    loop {
        while delayed.try_join_next().is_some() {}
        let Ok((len, sender)) = own.recv_from(&mut buf).await else { continue };
        let Some((from, socket)) = sockets.get(&sender.ip()) else { continue };
        let (from, to) = (Arc::clone(from), Arc::clone(&peer.domain));
        // Datagrams belong to no connection; the highest number lets them pass
        // after `SilentExisting`.
        let direction = Direction { from, to, flow: u64::MAX };
        if !rules.borrow().can_pass(&direction) {
            continue;
        }
        let delay = rules.borrow().delay(&direction);
        if delay.is_zero() {
            // A full buffer drops the datagram, as a network may do.
            let _ = socket.try_send_to(&buf[..len], peer.bind_address);
            continue;
        }
        let (socket, datagram, to) = (Arc::clone(socket), buf[..len].to_vec(), peer.bind_address);
        delayed.spawn(async move {
            time::sleep(delay).await;
            let _ = socket.try_send_to(&datagram, to);
        });
    }
}

/// Connects to the destination of a flow.
async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
