//! `godwityardd`: the daemon that runs on every host. All hosts are alike.
//!
//! The daemon reads its settings, connects the components and handles shutdown
//! signals. It makes no policy decisions: `entry` handles requests, `owner`
//! targets, and `fleet` membership and configuration.

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

/// Daemon of the query tier. SIGTERM or SIGINT shuts it down gracefully.
#[derive(FromArgs)]
struct Args {
    /// settings file, YAML
    #[argh(option)]
    settings: Option<PathBuf>,

    /// forwarding file, YAML: forward HTTP requests by the routes in the file,
    /// without a fleet; the file is read again when it changes
    #[argh(option)]
    forwarding: Option<PathBuf>,

    /// with --forwarding: file with the key by which hosts know each other's messages;
    /// given twice, the first one signs and both are accepted
    #[argh(option)]
    peer_key_file: Vec<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match (args.settings, args.forwarding) {
        (Some(_), None) if !args.peer_key_file.is_empty() => {
            eyre::bail!("--peer-key-file goes with --forwarding; a fleet has fleet-secret-file")
        }
        (Some(settings), None) => serve_fleet(&settings),
        (None, Some(file)) => forwarding::run(&file, &args.peer_key_file),
        _ => eyre::bail!("expected exactly one of --settings and --forwarding"),
    }
}

fn serve_fleet(settings: &Path) -> eyre::Result<()> {
    let startup = startup::Startup::load(settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(startup.cfg.workers)
        .enable_all()
        .build()?;
    runtime.block_on(daemon::run(startup))
}
