//! `cargo xtask ci`: what CI runs, and the long randomised runs.

use std::process::{Command, ExitCode};

use eyre::WrapErr;

/// Steps of each randomised run under `--long`.
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

/// Runs cargo to its end; an error if it fails.
pub fn cargo(args: &[&str], env: &[(&str, &str)]) -> eyre::Result<()> {
    println!("$ cargo {}", args.join(" "));
    let mut command = Command::new(env!("CARGO"));
    command.args(args).envs(env.iter().copied());
    let status = command.status().wrap_err("cargo did not start")?;
    eyre::ensure!(status.success(), "cargo {} failed: {status}", args.join(" "));
    Ok(())
}
