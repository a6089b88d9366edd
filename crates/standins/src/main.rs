//! Runs the stand-ins as processes: `godwityard-standin targets | platform`.

use std::{io, io::Read, net::SocketAddr, path::PathBuf, process, thread};

use argh::FromArgs;
use standins::{
    document_files,
    platform::{self, Store},
    targets::{self, TargetSet},
};

/// Stand-ins for targets and the platform, for tests, demo and bench.
#[derive(FromArgs)]
struct Args {
    /// end when standard input closes
    #[argh(switch)]
    until_stdin_closes: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Targets(TargetsArgs),
    Platform(PlatformArgs),
}

/// Run the targets of pools, each with a listener of its own.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
struct TargetsArgs {
    /// file or folder with the pools' documents; may be repeated
    #[argh(option)]
    spec: Vec<PathBuf>,
    /// address of the control API
    #[argh(option)]
    control: SocketAddr,
    /// seed of service times and random faults
    #[argh(option, default = "1")]
    seed: u64,
}

/// Run the configuration service and the list of hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// file or folder with documents; may be repeated
    #[argh(option)]
    documents: Vec<PathBuf>,
    /// address of a replica; may be repeated
    #[argh(option)]
    listen: Vec<SocketAddr>,
}

#[rocket::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    if args.until_stdin_closes {
        exit_on_stdin_close();
    }
    match args.command {
        Command::Targets(args) => run_targets(args).await,
        Command::Platform(args) => run_platform(args).await,
    }
}

async fn run_targets(args: TargetsArgs) -> eyre::Result<()> {
    let documents = document_files::read_documents(&args.spec)?;
    let set = TargetSet::new(&document_files::parse_pools(&documents)?, args.seed);
    targets::serve(set, args.control).await
}

async fn run_platform(args: PlatformArgs) -> eyre::Result<()> {
    let store = Store::default();
    for document in document_files::read_documents(&args.documents)? {
        store.write(&document.key, Some(&document.text));
    }
    platform::serve(store, &args.listen).await
}

/// Exits the process when standard input closes, which happens when the parent
/// process ends.
fn exit_on_stdin_close() {
    thread::spawn(|| {
        let mut buf = Vec::new();
        let _ = io::stdin().read_to_end(&mut buf);
        process::exit(0);
    });
}
