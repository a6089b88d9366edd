//! The platform's stand-in: a configuration service with several read
//! replicas, and a lagging list of hosts.

use std::net::SocketAddr;

use eyre::WrapErr;
use futures::future::try_join_all;

pub mod api;
mod store;

pub use self::store::{Host, HostState, Index, IndexEntry, Outage, ReplicaFaults, Store};

/// Serves every replica until the process ends; the control API stands on
/// each of them, under `/control`.
pub async fn serve(store: Store, replicas: &[SocketAddr]) -> eyre::Result<()> {
    let servers = replicas.iter().enumerate().map(|(number, address)| {
        let rocket = api::rocket(store.clone(), number, *address);
        async { rocket.launch().await.wrap_err("platform server") }
    });
    try_join_all(servers).await?;
    Ok(())
}
