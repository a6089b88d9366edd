//! Applies a scenario's events at their times.

use std::{sync::Arc, time::Duration};

use eyre::{WrapErr, eyre};
use standins::{
    platform::{Outage, ReplicaFaults},
    targets::{TargetChange, TargetCommand, TargetSelector},
};
use tokio::time::{self, Instant};

use crate::{
    deployment::{Deployment, HOST_LIST_LAG, Host, PLATFORM_REPLICAS, Programs},
    load::LoadCx,
    monitor::RevisionMonitor,
    scenario::{
        DomainEvent, Event, HostEvent, LinksEvent, PlatformEvent, Repartition, RollingReplacement,
        Scenario, Signal,
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for a host to stop, and to become ready again.
const HOST_TIMEOUT: Duration = Duration::from_secs(15);

/// Context in which events are applied.
pub struct TimelineCx {
    pub programs: Programs,
    pub deployment: Arc<Deployment>,
    pub load: Arc<LoadCx>,
    pub revisions: Arc<RevisionMonitor>,
}

/// Applies all events and returns the number of failed graceful shutdowns.
pub async fn run(cx: &TimelineCx, scenario: &Scenario) -> eyre::Result<u64> {
    let started: Instant = (cx.load.started + Duration::from_millis(scenario.settle_ms)).into();
    let mut events = scenario.timeline.clone();
    events.sort_by_key(|it| it.at_ms);
    let mut failures = 0;
    for event in &events {
        time::sleep_until(started + Duration::from_millis(event.at_ms)).await;
        let context = || format!("event at {} ms", event.at_ms);
        failures += apply_event(cx, event).await.wrap_err_with(context)?;
    }
    Ok(failures)
}

async fn apply_event(cx: &TimelineCx, event: &Event) -> eyre::Result<u64> {
    let mut failures = 0;
    if let Some(domain) = &event.domain {
        set_domain_state(cx, domain).await?;
    }
    if let Some(change) = &event.targets {
        cx.deployment.change_targets(change).await?;
    }
    if let Some(host) = &event.host {
        signal_host(cx, host).await?;
    }
    if let Some(platform) = &event.platform {
        change_platform(cx, platform).await?;
    }
    if let Some(key) = &event.touch {
        let text = format!("{}# touched\n", cx.deployment.document(key)?.text);
        publish(cx, key, text).await?;
    }
    if let Some(repartition) = &event.repartition {
        repartition_pool(cx, repartition).await?;
    }
    if let Some(links) = &event.links {
        change_links(cx, links)?;
    }
    if let Some(domain) = &event.isolate {
        cx.deployment.relay()?.isolate(domain)?;
    }
    if event.heal {
        cx.deployment.relay()?.heal();
    }
    if let Some(rolling) = &event.rolling_replacement {
        failures += replace_hosts(cx, rolling).await?;
    }
    Ok(failures)
}

async fn publish(cx: &TimelineCx, key: &str, text: String) -> eyre::Result<()> {
    let revision = cx.deployment.publish(key, text).await?;
    cx.revisions.record_publication(revision);
    Ok(())
}

/// Publishes the domain's document with the new state. Also notifies the target
/// stand-ins of the domain, which record work that arrives while it is out.
async fn set_domain_state(cx: &TimelineCx, event: &DomainEvent) -> eyre::Result<()> {
    let key = format!("domain/{}", event.name);
    let text = &cx.deployment.document(&key)?.text;
    let kept = text.lines().filter(|it| !it.starts_with("state:"));
    let mut text: String = kept.map(|it| format!("{it}\n")).collect();
    text.push_str(&format!("state: {}\n", event.state));
    publish(cx, &key, text).await?;
    let command = if event.state == "out" { TargetCommand::ToldOut } else { TargetCommand::ToldIn };
    let select = TargetSelector { domain: Some(event.name.clone()), ..TargetSelector::default() };
    let change = TargetChange { select, set: None, commands: vec![command] };
    cx.deployment.change_targets(&change).await
}

async fn signal_host(cx: &TimelineCx, event: &HostEvent) -> eyre::Result<()> {
    let host = cx.deployment.host(&event.name)?;
    if event.signal == Signal::Start {
        host.poll_exit();
        host.start(&cx.programs, &cx.deployment.folder)?;
    } else {
        host.signal(event.signal)?;
    }
    cx.deployment.publish_host_list(HOST_LIST_LAG).await
}

fn change_links(cx: &TimelineCx, event: &LinksEvent) -> eyre::Result<()> {
    let relay = cx.deployment.relay()?;
    let delay = Duration::from_millis(event.delay_ms);
    match &event.between {
        Some([a, b]) => relay.set_link(a, b, event.state, delay),
        None => relay.set_all_links(event.state, delay),
    }
}

async fn change_platform(cx: &TimelineCx, event: &PlatformEvent) -> eyre::Result<()> {
    let deployment = &cx.deployment;
    let mut revision = deployment.platform_revision().await?;
    if event.forget > 0 {
        revision = revision.saturating_sub(event.forget);
        let url = deployment.platform_url(&format!("restore/{revision}"));
        deployment.client.post(url).send().await?.error_for_status()?;
    }
    let stale_at = event.stale.then_some(revision);
    let outage: Outage = event.outage;
    let replicas = event.replica.map_or(0..PLATFORM_REPLICAS, |it| it..it + 1);
    for replica in replicas {
        let url = deployment.platform_url(&format!("replicas/{replica}"));
        let change = ReplicaFaults { outage, stale_at };
        deployment.client.put(url).json(&change).send().await?.error_for_status()?;
    }
    Ok(())
}

/// Makes the targets hold a snapshot of the next partition map in addition to
/// the present one, then publishes the pool's document with that map.
async fn repartition_pool(cx: &TimelineCx, event: &Repartition) -> eyre::Result<()> {
    let pools = &cx.deployment.pools;
    let pool = pools.iter().find(|it| *it.name == *event.pool);
    let pool = pool.ok_or_else(|| eyre!("no pool named `{}`", event.pool))?;
    let map = pool.map + 1;
    let key = format!("pool/{}", pool.name);
    let mut text = String::new();
    for line in cx.deployment.document(&key)?.text.lines() {
        if line.starts_with("map:") {
            text.push_str(&format!("map: {map}\n"));
        } else if line.starts_with("shards:") {
            text.push_str(&format!("shards: {}\n", event.shards));
        } else if !line.trim_start().starts_with("- {") {
            text.push_str(&format!("{line}\n"));
        }
    }
    for target in &pool.targets {
        let shard = target.shard.0 % event.shards;
        text.push_str(&format!(
            "  - {{name: {}, shard: {shard}, domain: {}, address: \"{}\"}}\n",
            target.name, target.domain, target.address
        ));
        let targets = Some(vec![target.name.to_string()]);
        let select = TargetSelector { targets, ..TargetSelector::default() };
        let hold = TargetCommand::Hold { snapshot: format!("{map}.1"), shard: Some(shard) };
        let change = TargetChange { select, set: None, commands: vec![hold] };
        cx.deployment.change_targets(&change).await?;
    }
    cx.load.add_partition_map(&pool.name, map, event.shards);
    publish(cx, &key, text).await
}

/// Restarts every host in turn and returns the number of failed graceful
/// shutdowns.
async fn replace_hosts(cx: &TimelineCx, event: &RollingReplacement) -> eyre::Result<u64> {
    let mut failures = 0;
    for host in &cx.deployment.hosts {
        host.signal(Signal::Terminate)?;
        cx.deployment.publish_host_list(HOST_LIST_LAG).await?;
        if !exits_cleanly(host).await {
            failures += 1;
        }
        host.start(&cx.programs, &cx.deployment.folder)?;
        cx.deployment.publish_host_list(HOST_LIST_LAG).await?;
        wait_until_ready(cx, host).await?;
        time::sleep(Duration::from_millis(event.pause_ms)).await;
    }
    Ok(failures)
}

/// Waits for a stopping host and returns whether it exits with status 0 within
/// `HOST_TIMEOUT`.
async fn exits_cleanly(host: &Host) -> bool {
    let until = Instant::now() + HOST_TIMEOUT;
    loop {
        if let Some(status) = host.poll_exit() {
            return status.success();
        }
        if Instant::now() > until {
            return false;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_ready(cx: &TimelineCx, host: &Host) -> eyre::Result<()> {
    let until = Instant::now() + HOST_TIMEOUT;
    while !host.is_ready(&cx.deployment.client).await {
        eyre::ensure!(
            Instant::now() < until,
            "host {} did not become ready within {HOST_TIMEOUT:?} of its restart",
            host.name
        );
        time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
