//! Workspace automation: `cargo xtask ci | codegen | demo | bench | soak | upgrade`.
//!
//! `demo` and `bench` run the project's programs as processes on loopback and
//! evaluate them by what the stand-ins and the callers recorded. The tier runs in
//! real time over real sockets; no part of it is simulated. `soak` does so with the
//! host program of the users' platform, and `upgrade` with those of two builds.

#![allow(clippy::print_stdout, clippy::print_stderr)]

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

mod bench;
mod ci;
mod codegen;
mod demo;
mod deployment;
mod evaluation;
mod load;
mod monitor;
mod relay;
mod report;
mod scenario;
mod soak;
mod timeline;
mod upgrade;

/// Automation of the workspace.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Ci(CiArgs),
    Codegen(CodegenArgs),
    Demo(DemoArgs),
    Bench(BenchArgs),
    Soak(SoakArgs),
    Upgrade(UpgradeArgs),
}

/// Check formatting, lints and tests.
#[derive(FromArgs)]
#[argh(subcommand, name = "ci")]
struct CiArgs {
    /// run the randomised tests at full length
    #[argh(switch)]
    long: bool,
}

/// Generate the committed code again.
#[derive(FromArgs)]
#[argh(subcommand, name = "codegen")]
struct CodegenArgs {}

/// Run both deployments on loopback for some seconds each.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// seed of arrivals and service times
    #[argh(option, default = "1")]
    seed: u64,
    /// use the release build
    #[argh(switch)]
    release: bool,
}

/// Run a scenario file, `all`, or `capacity`.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
struct BenchArgs {
    /// a scenario file, `all` for those in bench/, or `capacity`
    #[argh(positional)]
    what: String,
    /// seed of arrivals and service times
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the summary as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// run again with a mechanism off and compare: direct, no-hedge,
    /// no-warmup, fifo, no-early-refusal
    #[argh(option)]
    baseline: Option<scenario::Baseline>,
    /// use the debug build
    #[argh(switch)]
    debug: bool,
    /// keep the processes' logs in target/bench
    #[argh(switch)]
    keep_logs: bool,
}

/// Play the host program as many processes beside faults, and judge by the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// the host program to play
    #[argh(option)]
    program: PathBuf,
    /// the program that replaces it, host by host; with --days upgrade
    #[argh(option)]
    next_program: Option<PathBuf>,
    /// a seed
    #[argh(option)]
    seed: Option<u64>,
    /// a range of seeds, such as 1..20
    #[argh(option, from_str_fn(soak::parse_seeds))]
    seeds: Option<Vec<u64>>,
    /// number of hosts, 1 to 90
    #[argh(option, default = "6")]
    hosts: usize,
    /// length of a run, 15 to 600
    #[argh(option, default = "60")]
    seconds: u64,
    /// what happens: changes, silence, late, readers, stops, stated, upgrade, mixed
    #[argh(option, default = "soak::Days::Mixed")]
    days: soak::Days,
    /// quota of a core for each host, such as 0.25
    #[argh(option)]
    cpu_share: Option<f64>,
    /// requests per second of all clients, at most 400
    #[argh(option, default = "100.0")]
    rate: f64,
    /// shards of the gather route, 1 to 40
    #[argh(option, default = "6")]
    shards: usize,
    /// weight of the gather route beside that of the others, 24
    #[argh(option, default = "2")]
    gather_weight: u32,
    /// one request in so many takes 1.3 s
    #[argh(option, default = "10")]
    long_one_in: u64,
    /// connections that each target accepts; with fewer than hosts, these pass requests on
    #[argh(option, default = "soak::CONNECTIONS")]
    connections: u32,
    /// folder for the records and logs of all runs; else those of broken runs
    /// are in target/soak
    #[argh(option)]
    keep: Option<PathBuf>,
}

/// Play a fleet of two builds, in which hosts are replaced one after the other.
#[derive(FromArgs)]
#[argh(subcommand, name = "upgrade")]
struct UpgradeArgs {
    /// the earlier commit
    #[argh(option)]
    from: String,
    /// the later commit; without it the workspace as it is
    #[argh(option)]
    to: Option<String>,
    /// which replacement is played: upgrade, rollback, both
    #[argh(option, default = "upgrade::Ways::Both")]
    ways: upgrade::Ways,
    /// a seed, or a range of seeds such as 1..3; 1 if none is given
    #[argh(option, from_str_fn(soak::parse_seeds))]
    seeds: Option<Vec<u64>>,
    /// number of hosts, 1 to 90
    #[argh(option, default = "12")]
    hosts: usize,
    /// length of a run, 15 to 600; a host takes about 5 s to be replaced
    #[argh(option, default = "110")]
    seconds: u64,
    /// quota of a core for each host, such as 0.25
    #[argh(option)]
    cpu_share: Option<f64>,
    /// requests per second of all clients, at most 400
    #[argh(option, default = "100.0")]
    rate: f64,
    /// connections that each target accepts; with fewer than hosts, these pass requests on
    #[argh(option, default = "soak::CONNECTIONS")]
    connections: u32,
    /// folder for the records and logs of all runs; else those of broken runs
    /// are in target/soak
    #[argh(option)]
    keep: Option<PathBuf>,
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Ci(args) => ci::run(args.long),
        Command::Codegen(CodegenArgs {}) => codegen::run().map(|()| ExitCode::SUCCESS),
        Command::Demo(args) => demo::run(args.seed, args.release),
        Command::Bench(args) => bench::run(&bench::Options {
            what: args.what,
            seed: args.seed,
            json: args.json,
            baseline: args.baseline,
            is_release: !args.debug,
            keep_logs: args.keep_logs,
        }),
        Command::Soak(args) => soak::run(&args.into()),
        Command::Upgrade(args) => upgrade::run(&args.into()),
    }
}

impl From<SoakArgs> for soak::Options {
    fn from(args: SoakArgs) -> Self {
        let next = args.next_program.map(|it| soak::Program::new("next", it));
        soak::Options {
            programs: soak::Programs { first: soak::Program::new("first", args.program), next },
            settings: soak::Settings {
                seeds: args.seed.into_iter().chain(args.seeds.into_iter().flatten()).collect(),
                hosts: args.hosts,
                seconds: args.seconds,
                days: args.days,
                cpu_share: args.cpu_share,
                load: soak::LoadSize {
                    per_s: args.rate,
                    shards: args.shards,
                    gather_weight: args.gather_weight,
                    long_one_in: args.long_one_in,
                    connections: args.connections,
                },
                logs: soak::Logs::new(args.keep),
            },
        }
    }
}

impl From<UpgradeArgs> for upgrade::Options {
    fn from(args: UpgradeArgs) -> Self {
        upgrade::Options {
            from: args.from,
            to: args.to,
            ways: args.ways,
            soak: soak::Settings {
                seeds: args.seeds.unwrap_or_else(|| vec![1]),
                hosts: args.hosts,
                seconds: args.seconds,
                days: soak::Days::Upgrade,
                cpu_share: args.cpu_share,
                load: soak::LoadSize {
                    per_s: args.rate,
                    connections: args.connections,
                    ..soak::LoadSize::default()
                },
                logs: soak::Logs::new(args.keep),
            },
        }
    }
}
