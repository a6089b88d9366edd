//! Command-line tool for callers and operators: sends requests, checks documents
//! and settings, and shows the state that hosts report.
//!
//! The tool keeps no state and does not change the fleet's configuration, which
//! operators control through documents only. It sends each request once.

mod args;
mod client;
mod commands;
mod output;
mod wire;

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

use argh::{EarlyExit, FromArgs};

use crate::{args::Args, client::ClientError, output::Exit};

fn main() -> ExitCode {
    let args: Vec<String> = env::args_os().map(|it| it.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    match Args::from_args(&["godwityard"], &args) {
        Ok(args) => run(args).into(),
        Err(early) => print_early_exit(&early).into(),
    }
}

fn run(args: Args) -> Exit {
    let mut out = io::stdout().lock();
    match commands::run(args.command, &mut out) {
        Ok(exit) => exit,
        Err(report) if is_broken_pipe(&report) => Exit::Success,
        Err(report) => {
            let _ = writeln!(io::stderr(), "godwityard: {report:#}");
            exit_for_error(&report)
        }
    }
}

fn exit_for_error(report: &eyre::Report) -> Exit {
    match report.downcast_ref::<ClientError>() {
        Some(ClientError::NoAnswer { .. } | ClientError::InvalidBody { .. }) => Exit::MayHaveRun,
        Some(_) => Exit::Unreachable,
        None => Exit::Usage,
    }
}

/// Returns whether the reader of standard output closed it early, as `head` does.
fn is_broken_pipe(report: &eyre::Report) -> bool {
    let e = report.downcast_ref::<io::Error>();
    e.is_some_and(|it| it.kind() == io::ErrorKind::BrokenPipe)
}

/// Prints the help text if it was requested, else the error in the arguments.
fn print_early_exit(early: &EarlyExit) -> Exit {
    if early.status.is_ok() {
        let _ = write!(io::stdout(), "{}", early.output);
        return Exit::Success;
    }
    let _ = writeln!(io::stderr(), "{}", early.output.trim_end());
    Exit::Usage
}
