//! Programs that hosts run: one, or two of which one replaces the other.

use std::{path::PathBuf, sync::Arc};

/// Name of a program in reports.
pub type ProgramName = Arc<str>;

/// A program that hosts run.
#[derive(Clone, Debug)]
pub struct Program {
    pub name: ProgramName,
    pub path: PathBuf,
}

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Program of all hosts at the start.
    pub first: Program,
    /// Program of hosts that were replaced.
    pub next: Option<Program>,
}

impl Program {
    pub fn new(name: &str, path: PathBuf) -> Program {
        Program { name: Arc::from(name), path }
    }

    pub fn check(&self) -> eyre::Result<()> {
        let path = self.path.display();
        eyre::ensure!(self.path.is_file(), "{path}, the program of {}, is not a file", self.name);
        Ok(())
    }
}
