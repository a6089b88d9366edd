//! Command-line tool for callers and operators: sends requests, checks
//! documents and settings, and shows what hosts say of themselves.
//!
//! It holds no state and changes none: operators drive the tier by their
//! documents alone. It never sends a request twice.

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
    let words: Vec<String> = env::args_os().map(|it| it.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    match Args::from_args(&["godwityard"], &words) {
        Ok(args) => run(args).into(),
        Err(early) => explain_usage(&early).into(),
    }
}

fn run(args: Args) -> Exit {
    let mut out = io::stdout().lock();
    match commands::run(args.command, &mut out) {
        Ok(exit) => exit,
        Err(report) if is_broken_pipe(&report) => Exit::Done,
        Err(report) => {
            let _ = writeln!(io::stderr(), "godwityard: {report:#}");
            exit_of(&report)
        }
    }
}

fn exit_of(report: &eyre::Report) -> Exit {
    match report.downcast_ref::<ClientError>() {
        Some(ClientError::NoAnswer { .. } | ClientError::NotUnderstood { .. }) => Exit::MayHaveRun,
        Some(_) => Exit::Unreachable,
        None => Exit::Usage,
    }
}

/// Whether the reader of our output went away, as `head` does.
fn is_broken_pipe(report: &eyre::Report) -> bool {
    let e = report.downcast_ref::<io::Error>();
    e.is_some_and(|it| it.kind() == io::ErrorKind::BrokenPipe)
}

/// Prints help where it was asked for, else what is wrong with the arguments.
fn explain_usage(early: &EarlyExit) -> Exit {
    if early.status.is_ok() {
        let _ = write!(io::stdout(), "{}", early.output);
        return Exit::Done;
    }
    let _ = writeln!(io::stderr(), "{}", early.output.trim_end());
    Exit::Usage
}
