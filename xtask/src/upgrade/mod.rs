//! `cargo xtask upgrade`: plays a fleet of two builds. Its hosts are replaced one after the
//! other, from an earlier commit to this one and back again.

#[cfg(test)]
mod tests;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, ExitCode},
    str::FromStr,
};

use eyre::WrapErr;

use crate::{
    deployment::workspace_folder,
    soak::{self, Program, Programs},
};

/// Package and program of the hosts of the users' platform.
const PACKAGE: &str = "godwityard-platform";
const PROGRAM: &str = "godwityard-host";

/// Length of a commit's id in reports.
const SHORT_ID: usize = 7;

/// Which replacement is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    Upgrade,
    Rollback,
    Both,
}

impl FromStr for Ways {
    type Err = String;

    fn from_str(text: &str) -> Result<Ways, String> {
        match text {
            "upgrade" => Ok(Ways::Upgrade),
            "rollback" => Ok(Ways::Rollback),
            "both" => Ok(Ways::Both),
            _ => Err(format!("`{text}` is none of upgrade, rollback, both")),
        }
    }
}

pub struct Options {
    /// The earlier commit, in any form that git reads.
    pub from: String,
    /// The later commit; the workspace as it is if none is given.
    pub to: Option<String>,
    pub ways: Ways,
    pub soak: soak::Settings,
}

/// Builds both programs and plays all seeds; fails if a rule was broken.
pub fn run(options: &Options) -> eyre::Result<ExitCode> {
    let old = build_commit(&options.from)?;
    let new = match &options.to {
        Some(commit) => build_commit(commit)?,
        None => build_workspace()?,
    };
    eyre::ensure!(old.path != new.path, "--from and --to name the same commit");
    let mut is_broken = false;
    for (way, first, next) in [(Ways::Upgrade, &old, &new), (Ways::Rollback, &new, &old)] {
        if options.ways != Ways::Both && options.ways != way {
            continue;
        }
        println!("{way:?}: {} to {}", first.name, next.name);
        let programs = Programs { first: first.clone(), next: Some(next.clone()) };
        let folder = format!("{way:?}").to_lowercase();
        let settings = options.soak.in_folder(&folder);
        is_broken |= !soak::play_all(&soak::Options { programs, settings })?.is_empty();
    }
    Ok(if is_broken { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn build_workspace() -> eyre::Result<Program> {
    let root = workspace_folder();
    Ok(Program::new("workspace", build(&root, &root.join("target"))?))
}

/// Builds a commit in a work tree of its own, which stays there for the next call.
fn build_commit(name: &str) -> eyre::Result<Program> {
    let root = workspace_folder();
    let commit = format!("{name}^{{commit}}");
    let id = git(&root, &["rev-parse", "--verify", "--quiet", "--end-of-options", &commit])
        .map_err(|_| eyre::eyre!("`{name}` is no commit of this repository"))?;
    let id = id.trim();
    let tree = root.join("target/upgrade").join(id);
    if !tree.join("Cargo.toml").is_file() {
        fs::create_dir_all(&tree)?;
        git(&root, &["worktree", "prune"])?;
        let path = tree.display().to_string();
        git(&root, &["worktree", "add", "--detach", "--force", &path, id])?;
    }
    let program = build(&tree, &tree.join("target"))?;
    Ok(Program::new(id.get(..SHORT_ID).unwrap_or(id), program))
}

/// Builds the host program of a folder's workspace; returns its path.
fn build(workspace: &Path, target: &Path) -> eyre::Result<PathBuf> {
    println!("building {PROGRAM} in {}", workspace.display());
    let mut command = Command::new(env!("CARGO"));
    command.current_dir(workspace).env("CARGO_TARGET_DIR", target);
    let status = command
        .args(["build", "--release", "--locked", "--quiet", "-p", PACKAGE])
        .status()
        .wrap_err("failed to start cargo")?;
    eyre::ensure!(status.success(), "cannot build {}: {status}", workspace.display());
    Ok(target.join("release").join(PROGRAM))
}

fn git(folder: &Path, args: &[&str]) -> eyre::Result<String> {
    let output = Command::new("git").current_dir(folder).args(args).output();
    let output = output.wrap_err("failed to start git")?;
    let err = String::from_utf8_lossy(&output.stderr);
    eyre::ensure!(output.status.success(), "git {}: {}", args.join(" "), err.trim());
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}
