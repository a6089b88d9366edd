//! Workspace automation: `cargo xtask ci | codegen | demo | bench`.
//!
//! `demo` and `bench` run the project's programs as processes on loopback and
//! evaluate them by what the stand-ins and the callers recorded. The tier runs in
//! real time over real sockets; no part of it is simulated.

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
mod timeline;

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
    }
}
