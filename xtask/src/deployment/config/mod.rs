//! Texts of the documents and of the daemons' settings files.

use std::{fmt::Write, net::SocketAddr, path::PathBuf, sync::Arc};

use standins::document_files::{SourceDocument, read_documents};

use super::{Host, ports::Ports, workspace_folder};
use crate::scenario::{PoolPlan, Scenario};

#[cfg(test)]
mod tests;

const GENERATED_DOMAINS: [&str; 3] = ["bench-a", "bench-b", "bench-c"];
const ADDRESS_PREFIX: &str = "127.0.0.1:";

/// Returns the scenario's documents, with the port of each address replaced by
/// a free one.
pub fn documents(scenario: &Scenario, ports: &mut Ports) -> eyre::Result<Vec<SourceDocument>> {
    let Some(deployment) = &scenario.deployment else {
        return Ok(generate_documents(&scenario.pools, ports));
    };
    let folder: PathBuf = workspace_folder().join("examples").join(deployment);
    let mut documents = read_documents(&[folder])?;
    eyre::ensure!(!documents.is_empty(), "no documents for deployment `{deployment}`");
    for document in &mut documents {
        document.text = replace_ports(&document.text, ports);
    }
    Ok(documents)
}

/// Returns a daemon's settings as YAML. `policy` is one line of its `policy`
/// section.
pub fn settings(
    host: &Host,
    hosts: &[Arc<Host>],
    platform: &[SocketAddr],
    policy: Option<&str>,
) -> String {
    let mut seeds = String::new();
    for seed in hosts.iter().take(GENERATED_DOMAINS.len()) {
        let (name, domain, address) = (&seed.name, &seed.domain, seed.peers);
        let _ = writeln!(seeds, "  - {{host: {name}, domain: {domain}, address: \"{address}\"}}");
    }
    let platform: Vec<_> = platform.iter().map(|it| format!("\"{it}\"")).collect();
    let advertise = if host.bind_address == host.peers {
        String::new()
    } else {
        format!("advertise: \"{}\"\n", host.peers)
    };
    let policy = policy.map(|it| format!("policy:\n  {it}\n")).unwrap_or_default();
    format!(
        "host: {}\ndomain: {}\nregion: bench\nfleet: bench\ncallers: \"{}\"\nadmin: \"{}\"\n\
         peers: \"{}\"\n{advertise}seeds:\n{seeds}platform:\n  addresses: [{}]\ngrace-ms: 5000\n\
         balancer-lag-ms: 500\nworkers: 2\nlog:\n  format: json\n  level: info\n{policy}",
        host.name,
        host.domain,
        host.callers,
        host.admin,
        host.bind_address,
        platform.join(", "),
    )
}

fn replace_ports(text: &str, ports: &mut Ports) -> String {
    let mut parts = text.split(ADDRESS_PREFIX);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|it: char| it.is_ascii_digit());
        let _ = write!(out, "{}{rest}", ports.next());
    }
    out
}

fn generate_documents(pools: &[PoolPlan], ports: &mut Ports) -> Vec<SourceDocument> {
    let domain = |name: &str| SourceDocument {
        key: format!("domain/{name}"),
        text: format!("kind: domain\nname: {name}\nregion: bench\nstate: in\n"),
    };
    let mut documents: Vec<_> = GENERATED_DOMAINS.into_iter().map(domain).collect();
    for pool in pools {
        documents.push(generate_pool(pool, ports));
        documents.extend((1..=pool.services).map(|number| generate_service(pool, number)));
    }
    documents
}

fn generate_pool(pool: &PoolPlan, ports: &mut Ports) -> SourceDocument {
    let PoolPlan { name, shards, slots, connections, cold_slots, .. } = pool;
    let mut text = format!(
        "kind: pool\nname: {name}\nteam: bench\nmap: 1\nshards: {shards}\nslots: {slots}\n\
         connections: {connections}\ncold-slots: {cold_slots}\ntargets:\n"
    );
    for shard in 0..*shards {
        for replica in 0..pool.replicas {
            let domain = GENERATED_DOMAINS[(shard + replica) as usize % GENERATED_DOMAINS.len()];
            let address = ports.next();
            let _ = writeln!(
                text,
                "  - {{name: {name}-{shard}-{replica}, shard: {shard}, domain: {domain}, \
                 address: \"{address}\"}}"
            );
        }
    }
    SourceDocument { key: format!("pool/{name}"), text }
}

fn generate_service(pool: &PoolPlan, number: u32) -> SourceDocument {
    let name = format!("{}-{number:02}", pool.name);
    let PoolPlan { deadline_ms, min_coverage, prefer, non_idempotent, .. } = pool;
    let text = format!(
        "kind: service\nname: {name}\nteam: bench\npool: {}\ndeadline-ms: {deadline_ms}\n\
         min-coverage: {min_coverage}\nprefer: {prefer}\nnon-idempotent: {non_idempotent}\n",
        pool.name
    );
    SourceDocument { key: format!("service/{name}"), text }
}
