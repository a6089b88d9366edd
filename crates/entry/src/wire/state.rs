//! Bodies of the operators' interface that show the state of a host.

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct StatusBody {
    pub host: String,
    pub domain: String,
    pub incarnation: u64,
    pub ready: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_ready_reason: Option<String>,
    pub revision: u64,
    pub findings: Vec<String>,
    pub hosts: Vec<HostBody>,
    pub invariants_broken: u64,
    pub tickets: usize,
    pub suspects: usize,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct HostBody {
    pub host: String,
    pub domain: String,
    pub address: String,
    pub incarnation: u64,
    pub alive: bool,
    pub leaving: bool,
    pub revision: u64,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct DomainBody {
    pub domain: String,
    pub region: Option<String>,
    pub state: &'static str,
    pub targets: usize,
    pub targets_usable: usize,
    pub hosts_alive: usize,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct TargetBody {
    pub target: String,
    pub pool: String,
    pub shard: u32,
    pub domain: String,
    pub slots: u32,
    pub owner: Option<String>,
    pub standby: Option<String>,
    /// Null while no owner has reported the target.
    pub status: Option<TargetStatusBody>,
    pub leaving: bool,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct TargetStatusBody {
    pub incarnation: u64,
    pub up: bool,
    pub limit: u32,
    pub in_flight: u32,
    pub wait_ms: f64,
    pub snapshots: Vec<String>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct ServiceBody {
    pub service: String,
    pub team: String,
    pub pool: String,
    pub weight: u32,
    pub in_flight: u32,
    pub max_in_flight: u32,
    /// Fraction of the pool's recent subqueries from this host, 0 to 1.
    pub share_of_work: f64,
    /// Fraction by weight, which the service gets when all services of the pool
    /// want more, 0 to 1.
    pub fair_share: f64,
}
