//! Simulated platform: a configuration service with several read replicas, and a
//! list of hosts that lags.

use std::net::SocketAddr;

use eyre::WrapErr;
use futures::future::try_join_all;

pub mod api;
mod store;

pub use self::store::{Host, HostState, Index, IndexEntry, Outage, ReplicaFaults, Store};

/// Serves all replicas until the process ends. Each replica also serves the
/// control API under `/control`.
pub async fn serve(store: Store, replicas: &[SocketAddr]) -> eyre::Result<()> {
    let servers = replicas.iter().enumerate().map(|(number, address)| {
        let rocket = api::rocket(store.clone(), number, *address);
        async { rocket.launch().await.wrap_err("platform server failed") }
    });
    try_join_all(servers).await?;
    Ok(())
}
