//! Implementations of the subcommands. Each prints to `out` and returns the exit
//! code.

mod admin;
mod check;
mod explain;
mod platform_check;
mod request;

use std::io::Write;

use serde_json::json;

use crate::{
    args::{Command, Version},
    output::{Exit, print_json},
};

pub(crate) fn run(command: Command, out: &mut impl Write) -> eyre::Result<Exit> {
    match command {
        Command::Check(args) => check::check(&args, out),
        Command::Version(args) => version(&args, out),
        Command::Query(args) => block_on(request::query(args, out)),
        Command::Ticket(args) => block_on(request::ticket(&args, out)),
        Command::Execute(args) => block_on(request::execute(args, out)),
        Command::Status(args) => block_on(admin::status(&args, out)),
        Command::Explain(args) if !args.log.is_empty() => explain::from_logs(&args, out),
        Command::Explain(args) => block_on(admin::explain(&args, out)),
    }
}

fn version(args: &Version, out: &mut impl Write) -> eyre::Result<Exit> {
    let version = env!("CARGO_PKG_VERSION");
    if args.json {
        print_json(out, &json!({ "version": version }))?;
    } else {
        writeln!(out, "godwityard {version}")?;
    }
    Ok(Exit::Success)
}

fn block_on<T>(future: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(future)
}
