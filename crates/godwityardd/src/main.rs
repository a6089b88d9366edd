//! `godwityardd`: the daemon that runs on every host, all alike.
//!
//! It reads its settings, wires the parts together and carries signals to
//! them. Nothing is decided here: requests are `entry`'s, targets `owner`'s,
//! membership and configuration `fleet`'s.

mod clock;
mod daemon;
mod direct;
mod fleet_driver;
mod forwarding;
mod owners;
mod peer_service;
mod servers;
mod startup;
mod suspects;
mod view;

use std::path::{Path, PathBuf};

use argh::FromArgs;

/// The query tier's daemon. SIGTERM or SIGINT is a graceful shutdown.
#[derive(FromArgs)]
struct Args {
    /// settings file, YAML
    #[argh(option)]
    settings: Option<PathBuf>,

    /// forwarding file, YAML: forward HTTP requests by its routes, without a
    /// fleet; changes of the file take effect by themselves
    #[argh(option)]
    forwarding: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match (args.settings, args.forwarding) {
        (Some(settings), None) => serve_fleet(&settings),
        (None, Some(file)) => forwarding::run(&file),
        _ => eyre::bail!("give one of --settings and --forwarding"),
    }
}

fn serve_fleet(settings: &Path) -> eyre::Result<()> {
    let start = startup::Startup::load(settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(start.cfg.workers)
        .enable_all()
        .build()?;
    runtime.block_on(daemon::run(start))
}
