//! The hosts under test: processes that the platform starts, signals and ends.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time;

use super::{
    addresses,
    programs::{Program, Programs},
    record::{HostEvent, HostIndex, Place, Recorder, Signal},
    settings::{self, Bounds},
};
use crate::deployment::Process;

/// Pause between two looks whether a process that is stopped has ended.
const POLL: Duration = Duration::from_millis(10);
/// Pause between two looks whether a process has ended by itself.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time after which an ended process is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// One host; it keeps its settings over restarts.
pub struct Host {
    pub index: HostIndex,
    pub name: String,
    pub domain: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    programs: Programs,
    settings: PathBuf,
    log: PathBuf,
    recorder: Recorder,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    process: Option<Process>,
    /// How often it is frozen; a quota must not wake it.
    frozen: u32,
    /// Whether it runs the next program from its next start on.
    is_replaced: bool,
    /// Whether an action that stops the process is under way.
    is_ending: bool,
    /// Whether the run is over, so that nothing may start any more.
    is_over: bool,
}

impl Host {
    pub fn new(
        index: HostIndex,
        domain: &str,
        hosts: usize,
        programs: &Programs,
        folder: &Path,
        recorder: &Recorder,
    ) -> eyre::Result<Arc<Host>> {
        let name = format!("front-{domain}-{}", index + 1);
        let ip = addresses::host(index);
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings::text(&name, domain, index, hosts))?;
        Ok(Arc::new(Host {
            index,
            domain: domain.to_owned(),
            callers: SocketAddr::new(ip, addresses::CALLERS_PORT),
            ready: SocketAddr::new(ip, addresses::READY_PORT),
            metrics: SocketAddr::new(ip, addresses::METRICS_PORT),
            programs: programs.clone(),
            log: folder.join(format!("{name}.log")),
            settings,
            name,
            recorder: recorder.clone(),
            state: Mutex::default(),
        }))
    }

    pub fn start(&self) -> eyre::Result<()> {
        let mut state = self.lock();
        if state.is_over {
            return Ok(());
        }
        let program = self.program(&state);
        let mut command = Command::new(&program.path);
        command
            .args(["--metrics-port", &addresses::METRICS_PORT.to_string()])
            .env("GODWITYARD_NODE_FILE", &self.settings);
        state.process = Some(Process::spawn(&self.name, &mut command, &self.log)?);
        drop(state);
        self.recorder.host_started(self.index, &program.name);
        Ok(())
    }

    fn program(&self, state: &State) -> &Program {
        let next = self.programs.next.as_ref().filter(|_| state.is_replaced);
        next.unwrap_or(&self.programs.first)
    }

    /// Same as `stop_and_start`, and the host runs the next program from then on.
    pub async fn replace(&self) -> eyre::Result<()> {
        self.lock().is_replaced = true;
        self.stop_and_start().await
    }

    /// Sends SIGTERM, kills the process after the grace period, and starts it again.
    pub async fn stop_and_start(&self) -> eyre::Result<()> {
        if !self.begin_ending() {
            return Ok(());
        }
        let disruption = self.begin("is stopped", true);
        self.recorder.host_event(self.index, HostEvent::Signalled(Signal::Terminate));
        self.signal(libc::SIGTERM);
        let until = time::Instant::now() + Bounds::GRACE;
        while time::Instant::now() < until && !self.has_exited() {
            time::sleep(POLL).await;
        }
        self.restart(RESTART_AFTER).await?;
        self.recorder.end_disruption(disruption);
        Ok(())
    }

    /// Kills the process and starts it again after `down`.
    pub async fn kill_and_start(&self, down: Duration) -> eyre::Result<()> {
        if !self.begin_ending() {
            return Ok(());
        }
        let disruption = self.begin("is killed", false);
        self.restart(down).await?;
        self.recorder.end_disruption(disruption);
        Ok(())
    }

    pub async fn freeze(&self, time: Duration) {
        if self.lock().is_ending {
            return;
        }
        let disruption = self.begin("is frozen", false);
        self.lock().frozen += 1;
        self.signal(libc::SIGSTOP);
        time::sleep(time).await;
        let is_last = {
            let mut state = self.lock();
            state.frozen = state.frozen.saturating_sub(1);
            state.frozen == 0
        };
        if is_last {
            self.signal(libc::SIGCONT);
        }
        self.recorder.end_disruption(disruption);
    }

    /// Sends SIGHUP; the settings have not changed.
    pub fn hang_up(&self) {
        if self.lock().is_ending {
            return;
        }
        self.recorder.host_event(self.index, HostEvent::Signalled(Signal::Hangup));
        self.recorder.note(format!("{} gets SIGHUP", self.name));
        self.signal(libc::SIGHUP);
    }

    /// Starts the process again if it ended by itself.
    pub async fn watch(self: Arc<Self>) {
        loop {
            time::sleep(WATCH_PERIOD).await;
            if self.lock().is_ending || !self.has_exited() || !self.begin_ending() {
                continue;
            }
            self.recorder.host_event(self.index, HostEvent::EndedByItself);
            if let Err(err) = self.restart(RESTART_AFTER).await {
                self.recorder.note(format!("{} cannot start: {err}", self.name));
            }
        }
    }

    /// Returns the process id while a quota may stop and continue the process.
    pub fn throttled_pid(&self) -> Option<u32> {
        let state = self.lock();
        let process = state.process.as_ref().filter(|_| state.frozen == 0)?;
        Some(process.pid())
    }

    /// Stops or continues the process for a quota, unless it is frozen.
    pub fn throttle(&self, stops: bool) {
        let state = self.lock();
        let Some(process) = state.process.as_ref().filter(|_| state.frozen == 0) else { return };
        let signal = if stops { libc::SIGSTOP } else { libc::SIGCONT };
        let _ = process.signal(signal);
    }

    /// Ends the process for good.
    pub fn end(&self) {
        let mut state = self.lock();
        state.is_ending = true;
        state.is_over = true;
        state.process = None;
    }

    async fn restart(&self, down: Duration) -> eyre::Result<()> {
        {
            let mut state = self.lock();
            state.process = None;
            state.frozen = 0;
        }
        time::sleep(down).await;
        self.start()?;
        self.lock().is_ending = false;
        Ok(())
    }

    fn begin_ending(&self) -> bool {
        let mut state = self.lock();
        !std::mem::replace(&mut state.is_ending, true)
    }

    fn begin(&self, what: &'static str, is_planned: bool) -> usize {
        self.recorder.note(format!("{} {what}", self.name));
        self.recorder.begin_disruption(Place::Host(self.index), what, is_planned)
    }

    fn signal(&self, signal: libc::c_int) {
        if let Some(process) = &self.lock().process {
            let _ = process.signal(signal);
        }
    }

    fn has_exited(&self) -> bool {
        self.lock().process.as_mut().is_none_or(|it| it.exit_status().is_some())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
