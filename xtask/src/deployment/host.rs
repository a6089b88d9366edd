//! A host of the deployment: one daemon process, started and signalled by the
//! timeline.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::ExitStatus,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{Process, Programs};
use crate::scenario::Signal;

const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Running,
    Paused,
    /// A graceful shutdown has been requested.
    Stopping,
    Down,
}

pub struct Host {
    pub name: String,
    pub domain: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    /// Address at which other hosts reach this one.
    pub peers: SocketAddr,
    /// Address at which the daemon listens for other hosts; differs from
    /// `peers` if a relay is in between.
    pub bind_address: SocketAddr,
    run: Mutex<(Phase, Option<Process>)>,
}

/// Resource usage of a process, from /proc.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu_ticks: u64,
    /// Peak resident memory.
    pub resident_kb: u64,
}

impl Host {
    pub fn new(name: String, domain: String, addresses: [SocketAddr; 3]) -> Self {
        let [callers, admin, peers] = addresses;
        let run = Mutex::new((Phase::Down, None));
        Host { name, domain, callers, admin, peers, bind_address: peers, run }
    }

    /// Makes the daemon listen for other hosts at `ip`, behind a relay that
    /// listens at the advertised address.
    pub fn behind_relay(mut self, ip: IpAddr) -> Self {
        self.bind_address.set_ip(ip);
        self
    }

    pub fn settings_file(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}.settings.yaml", self.name))
    }

    pub fn log_file(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}.log", self.name))
    }

    pub fn start(&self, programs: &Programs, folder: &Path) -> eyre::Result<()> {
        let program = programs.path("godwityardd");
        let args = ["--settings".to_owned(), self.settings_file(folder).display().to_string()];
        let process = Process::start(&self.name, &program, &args, &self.log_file(folder))?;
        *self.lock() = (Phase::Running, Some(process));
        Ok(())
    }

    pub fn phase(&self) -> Phase {
        self.lock().0
    }

    /// Sends a signal to the daemon and records the resulting phase. Returns an
    /// error for `Start`, which is not a process signal.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let mut run = self.lock();
        let Some(process) = run.1.as_ref() else {
            eyre::bail!("host {} is not running", self.name)
        };
        let (number, phase) = match signal {
            Signal::Pause => (libc::SIGSTOP, Phase::Paused),
            Signal::Continue => (libc::SIGCONT, Phase::Running),
            Signal::Kill => (libc::SIGKILL, Phase::Down),
            Signal::Terminate => (libc::SIGTERM, Phase::Stopping),
            Signal::Start => eyre::bail!("host {} is already running", self.name),
        };
        process.signal(number)?;
        run.0 = phase;
        Ok(())
    }

    /// Returns the exit status if the process has exited, and records the host
    /// as down.
    pub fn poll_exit(&self) -> Option<ExitStatus> {
        let mut run = self.lock();
        let status = run.1.as_mut()?.exit_status()?;
        *run = (Phase::Down, None);
        Some(status)
    }

    pub fn has_exited(&self) -> bool {
        self.lock().1.as_mut().is_none_or(|it| it.exit_status().is_some())
    }

    /// Returns whether the readiness probe succeeds, so that the platform's
    /// balancer would route callers to this host.
    pub async fn is_ready(&self, client: &reqwest::Client) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let response = client.get(url).timeout(PROBE_TIMEOUT).send().await;
        response.is_ok_and(|it| it.status().is_success())
    }

    pub fn usage(&self) -> Option<Usage> {
        let pid = self.lock().1.as_ref()?.pid();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The program name may contain spaces, so fields are counted after it.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let resident_kb = line.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(Usage { cpu_ticks: user + system, resident_kb })
    }

    fn lock(&self) -> MutexGuard<'_, (Phase, Option<Process>)> {
        self.run.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
