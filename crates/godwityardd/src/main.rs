//! `godwityardd`: the daemon that runs on every host, all alike.
//!
//! It reads its settings, wires the parts together and carries signals to
//! them. Nothing is decided here: requests are `entry`'s, targets `owner`'s,
//! membership and configuration `fleet`'s.

mod clock;
mod daemon;
mod direct;
mod fleet_driver;
mod owners;
mod servers;
mod service;
mod start;
mod suspects;
mod view;

use std::path::PathBuf;

use argh::FromArgs;

/// The query tier's daemon. SIGTERM or SIGINT is a graceful shutdown.
#[derive(FromArgs)]
struct Args {
    /// settings file, YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let start = start::Start::load(&args.settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(start.cfg.workers)
        .enable_all()
        .build()?;
    runtime.block_on(daemon::run(start))
}
