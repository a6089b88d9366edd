//! `cargo xtask ci`: the checks that CI runs, and the long randomised tests.

use std::process::{Command, ExitCode};

use eyre::WrapErr;

/// Steps of each randomised test with `--long`.
const LONG_STEPS: &str = "10000000";

pub fn run(is_long: bool) -> eyre::Result<ExitCode> {
    let clippy = ["clippy", "--workspace", "--all-targets", "--locked", "--", "-D", "warnings"];
    cargo(&["fmt", "--all", "--check"], &[])?;
    cargo(&clippy, &[])?;
    cargo(&["test", "--workspace", "--locked"], &[])?;
    if is_long {
        let steps = [("GODWITYARD_STEPS", LONG_STEPS)];
        cargo(&["test", "--release", "--locked", "-p", "godwityard-policy"], &steps)?;
        cargo(&["test", "--release", "--locked", "-p", "godwityard-fleet"], &steps)?;
        cargo(&["test", "--release", "--locked", "-p", "godwityard-forward"], &steps)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs cargo and waits for it; returns an error if it fails.
pub fn cargo(args: &[&str], env: &[(&str, &str)]) -> eyre::Result<()> {
    println!("$ cargo {}", args.join(" "));
    let mut command = Command::new(env!("CARGO"));
    command.args(args).envs(env.iter().copied());
    let status = command.status().wrap_err("failed to start cargo")?;
    eyre::ensure!(status.success(), "cargo {} failed: {status}", args.join(" "));
    Ok(())
}
