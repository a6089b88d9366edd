//! The processes of one run (platform, targets and daemons) and their files.

use std::{
    collections::BTreeSet,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use documents::Pool;
use eyre::{WrapErr, bail};
use standins::{
    document_files::SourceDocument,
    platform::{Host as ListedHost, HostState},
    targets::{RunCount, TargetChange, TargetRecord},
};
use tokio::time;

mod config;
mod host;
mod ports;
mod process;

pub use self::{
    host::{Host, Phase},
    process::Process,
};
use crate::{
    ci,
    relay::{Peer, PlatformPort, Relay},
    scenario::{Baseline, Scenario},
};

/// Number of read replicas of the platform.
pub const PLATFORM_REPLICAS: usize = 2;
/// Time limit for the stand-ins to start and for all hosts to become ready, and
/// the default timeout of requests to them.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay with which the platform's host list shows changes.
pub const HOST_LIST_LAG: Duration = Duration::from_secs(1);

/// Folder of the built programs.
#[derive(Clone, Debug)]
pub struct Programs {
    folder: PathBuf,
}

/// All processes of a run; they are killed on drop.
pub struct Deployment {
    pub folder: PathBuf,
    pub documents: Vec<SourceDocument>,
    pub pools: Vec<Pool>,
    pub hosts: Vec<Arc<Host>>,
    pub client: reqwest::Client,
    platform: Vec<SocketAddr>,
    control: SocketAddr,
    relay: Option<Relay>,
    _stand_ins: Vec<Process>,
}

impl Programs {
    /// Builds the daemon and the stand-ins with cargo.
    pub fn build(is_release: bool) -> eyre::Result<Self> {
        let mut args = vec!["build", "--quiet", "-p", "godwityardd", "-p", "godwityard-standins"];
        if is_release {
            args.push("--release");
        }
        ci::cargo(&args, &[])?;
        let profile = if is_release { "release" } else { "debug" };
        Ok(Programs { folder: target_folder().join(profile) })
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl Deployment {
    /// Starts all processes and waits until every daemon is ready.
    pub async fn start(
        programs: &Programs,
        scenario: &Scenario,
        name: &str,
        seed: u64,
        baseline: Option<Baseline>,
    ) -> eyre::Result<Self> {
        let folder = target_folder().join("bench").join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(folder.join("documents"))?;
        let mut ports = ports::Ports::new();
        let documents = config::documents(scenario, &mut ports)?;
        for document in &documents {
            let file = format!("{}.yaml", document.key.replace('/', "-"));
            fs::write(folder.join("documents").join(file), &document.text)?;
        }
        let pools = standins::document_files::parse_pools(&documents)?;
        let platform: Vec<_> = (0..PLATFORM_REPLICAS).map(|_| ports.next()).collect();
        let control = ports.next();
        let stand_ins = start_stand_ins(programs, &folder, &platform, control, seed)?;
        let hosts = create_hosts(scenario, &documents, &mut ports);
        let policy = baseline.map(Baseline::policy_setting);
        let platform_ports = platform_ports(scenario, &hosts, &platform, &mut ports);
        for host in &hosts {
            let own: Vec<_> =
                platform_ports.iter().filter(|it| *it.domain == *host.domain).collect();
            let addresses: Vec<_> = own.iter().map(|it| it.listen).collect();
            let addresses = if own.is_empty() { &platform } else { &addresses };
            let text = config::settings(host, &hosts, addresses, policy);
            fs::write(host.settings_file(&folder), text)?;
        }
        let relay = if scenario.needs_relay() {
            Some(Relay::start(&relay_peers(&hosts), &platform_ports).await?)
        } else {
            None
        };
        let client = reqwest::Client::builder().no_proxy().timeout(START_TIMEOUT).build()?;
        let deployment = Deployment {
            folder,
            documents,
            pools,
            hosts,
            client,
            platform,
            control,
            relay,
            _stand_ins: stand_ins,
        };
        deployment.wait_for_stand_ins().await?;
        deployment.publish_host_list(Duration::ZERO).await?;
        for change in &scenario.targets {
            deployment.change_targets(change).await?;
        }
        for host in &deployment.hosts {
            host.start(programs, &deployment.folder)?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the relay between hosts, or an error if the scenario has none.
    pub fn relay(&self) -> eyre::Result<&Relay> {
        self.relay
            .as_ref()
            .ok_or_else(|| eyre::eyre!("the scenario does not use a relay between hosts"))
    }

    pub fn host(&self, name: &str) -> eyre::Result<&Arc<Host>> {
        let host = self.hosts.iter().find(|it| it.name == name);
        host.ok_or_else(|| eyre::eyre!("no host named `{name}`"))
    }

    pub fn document(&self, key: &str) -> eyre::Result<&SourceDocument> {
        let document = self.documents.iter().find(|it| it.key == key);
        document.ok_or_else(|| eyre::eyre!("no document `{key}`"))
    }

    /// Returns the names of a pool's services in document order.
    pub fn services_of(&self, pool: &str) -> Vec<String> {
        let line = format!("pool: {pool}");
        let services = self.documents.iter().filter(|it| it.key.starts_with("service/"));
        let of_pool = services.filter(|it| it.text.lines().any(|text| text.trim_end() == line));
        of_pool.map(|it| it.key["service/".len()..].to_owned()).collect()
    }

    pub fn pool_of(&self, service: &str) -> Option<&Pool> {
        let document = self.document(&format!("service/{service}")).ok()?;
        let name = document.text.lines().find_map(|it| it.strip_prefix("pool: "))?.trim_end();
        self.pools.iter().find(|it| *it.name == *name)
    }

    pub async fn change_targets(&self, change: &TargetChange) -> eyre::Result<()> {
        let url = format!("http://{}/change", self.control);
        let response = self.client.post(url).json(change).send().await?;
        let is_success = response.status().is_success();
        let text = response.text().await?;
        eyre::ensure!(is_success && text != "0", "targets stand-in refused the change: {text}");
        Ok(())
    }

    pub async fn reset_records(&self) -> eyre::Result<()> {
        let url = format!("http://{}/reset", self.control);
        self.client.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    pub async fn records(&self) -> eyre::Result<Vec<TargetRecord>> {
        let url = format!("http://{}/records", self.control);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    pub async fn runs(&self) -> eyre::Result<Vec<RunCount>> {
        let url = format!("http://{}/runs", self.control);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Writes a document to the platform and returns its revision.
    pub async fn publish(&self, key: &str, text: String) -> eyre::Result<u64> {
        let url = self.platform_url(&format!("documents/{key}"));
        let response = self.client.put(url).body(text).send().await?.error_for_status()?;
        Ok(response.text().await?.parse()?)
    }

    pub async fn platform_calls(&self) -> eyre::Result<u64> {
        let response = self.client.get(self.platform_url("calls")).send().await?;
        Ok(response.text().await?.parse()?)
    }

    pub async fn platform_revision(&self) -> eyre::Result<u64> {
        let response = self.client.get(self.platform_url("revision")).send().await?;
        Ok(response.text().await?.parse()?)
    }

    pub fn platform_url(&self, path: &str) -> String {
        format!("http://{}/control/{path}", self.platform[0])
    }

    /// Publishes the current list of hosts; the platform shows it after `lag`.
    pub async fn publish_host_list(&self, lag: Duration) -> eyre::Result<()> {
        let listed: Vec<_> = self.hosts.iter().filter_map(|it| listed_host(it)).collect();
        let url = self.platform_url(&format!("hosts?lag_ms={}", lag.as_millis()));
        self.client.put(url).json(&listed).send().await?.error_for_status()?;
        Ok(())
    }

    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for host in &self.hosts {
            while !host.is_ready(&self.client).await {
                if Instant::now() > until || host.has_exited() {
                    bail!(
                        "host {} did not become ready; see the logs in {}",
                        host.name,
                        self.folder.display()
                    );
                }
                time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn wait_for_stand_ins(&self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while self.records().await.is_err() || self.platform_calls().await.is_err() {
            eyre::ensure!(
                Instant::now() < until,
                "the stand-ins did not answer within {START_TIMEOUT:?}"
            );
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// Returns the workspace's `target` folder, which holds all temporary files.
pub fn target_folder() -> PathBuf {
    workspace_folder().join("target")
}

pub fn workspace_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new(".")).to_owned()
}

fn start_stand_ins(
    programs: &Programs,
    folder: &Path,
    platform: &[SocketAddr],
    control: SocketAddr,
    seed: u64,
) -> eyre::Result<Vec<Process>> {
    let program = programs.path("godwityard-standin");
    let documents = folder.join("documents").display().to_string();
    let targets = [
        "--until-stdin-closes".to_owned(),
        "targets".to_owned(),
        "--spec".to_owned(),
        documents.clone(),
        "--control".to_owned(),
        control.to_string(),
        "--seed".to_owned(),
        seed.to_string(),
    ];
    let mut service =
        ["--until-stdin-closes", "platform", "--documents", &documents].map(str::to_owned).to_vec();
    for address in platform {
        service.push("--listen".to_owned());
        service.push(address.to_string());
    }
    Ok(vec![
        Process::start("targets", &program, &targets, &folder.join("targets.log"))?,
        Process::start("platform", &program, &service, &folder.join("platform.log"))
            .wrap_err("platform")?,
    ])
}

fn create_hosts(
    scenario: &Scenario,
    documents: &[SourceDocument],
    ports: &mut ports::Ports,
) -> Vec<Arc<Host>> {
    let keys = documents.iter().filter_map(|it| it.key.strip_prefix("domain/"));
    let domains: Vec<_> = keys.collect();
    let host = |number: usize| {
        let domain = domains[number % domains.len()];
        let name = format!("{domain}-{}", number / domains.len() + 1);
        let addresses = [ports.next(), ports.next(), ports.next()];
        let host = Host::new(name, domain.to_owned(), addresses);
        if !scenario.needs_relay() {
            return Arc::new(host);
        }
        let [domain_number, host_number] = [number % domains.len(), number / domains.len()];
        // A run has few hosts, so each number fits into one byte.
        let ip = Ipv4Addr::new(127, 0, domain_number as u8 + 1, host_number as u8 + 1);
        Arc::new(host.behind_relay(IpAddr::V4(ip)))
    };
    (0..scenario.hosts).map(host).collect()
}

/// Returns one relay port to a platform replica for each domain, or none if the
/// scenario uses no relay.
fn platform_ports(
    scenario: &Scenario,
    hosts: &[Arc<Host>],
    replicas: &[SocketAddr],
    ports: &mut ports::Ports,
) -> Vec<PlatformPort> {
    if !scenario.needs_relay() {
        return Vec::new();
    }
    let domains: BTreeSet<_> = hosts.iter().map(|it| it.domain.as_str()).collect();
    let platform_port = |(domain, replica): (&str, &SocketAddr)| PlatformPort {
        domain: domain.into(),
        listen: ports.next(),
        replica: *replica,
    };
    domains.into_iter().zip(replicas.iter().cycle()).map(platform_port).collect()
}

fn relay_peers(hosts: &[Arc<Host>]) -> Vec<Peer> {
    let peer = |it: &Arc<Host>| Peer {
        domain: it.domain.as_str().into(),
        advertised: it.peers,
        bind_address: it.bind_address,
    };
    hosts.iter().map(peer).collect()
}

fn listed_host(host: &Host) -> Option<ListedHost> {
    let state = match host.phase() {
        Phase::Down => return None,
        Phase::Stopping => HostState::Leaving,
        Phase::Running | Phase::Paused => HostState::Live,
    };
    Some(ListedHost {
        host: host.name.clone(),
        domain: host.domain.clone(),
        address: host.peers.to_string(),
        state,
    })
}
