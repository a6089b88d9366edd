//! A child process that is killed when its handle is dropped.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use eyre::WrapErr;

pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to a log file.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> eyre::Result<Self> {
        Process::spawn(name, Command::new(program).args(args), log)
    }

    /// Starts a command and appends its output to a log file.
    pub fn spawn(name: &str, command: &mut Command, log: &Path) -> eyre::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let program = command.get_program().to_owned();
        let child = command
            .stdin(Stdio::piped())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("failed to start {}", program.display()))?;
        Ok(Process { name: name.to_owned(), child })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: libc::c_int) -> eyre::Result<()> {
        let pid = libc::pid_t::try_from(self.child.id())?;
        // SAFETY: `kill` has no preconditions. The child has not been reaped,
        // so its process id has not been reused.
        #[allow(unsafe_code)]
        let result = unsafe { libc::kill(pid, signal) };
        eyre::ensure!(result == 0, "failed to send signal {signal} to {}", self.name);
        Ok(())
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
