//! What a run has set up, and how it carries out an action.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{rngs::StdRng, seq::IndexedRandom};
use tokio::time;

use super::START_TIMEOUT;
use crate::soak::{
    hosts::Host,
    ingress::{self, Ingress},
    operator::Operator,
    plan::{Action, Timed},
    record::{HostIndex, Place, Recorder},
    store::{self, HostFault, Store},
    targets::Targets,
};

/// All that a run has set up.
pub struct Stage {
    pub store: Store,
    pub targets: Targets,
    pub hosts: Vec<Arc<Host>>,
    pub recorder: Recorder,
    pub ingress: Ingress,
    pub operator: Operator,
    /// Chooses among the hosts that read the store.
    pub rng: Mutex<StdRng>,
    pub stop: Arc<AtomicBool>,
    /// Factor by which the clients of the first customer send more, in percent.
    pub heat: Arc<AtomicU64>,
}

impl Stage {
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let until = time::Instant::now() + START_TIMEOUT;
        while !self.ingress.are_all_ready() {
            eyre::ensure!(time::Instant::now() < until, "the hosts are not ready in time");
            time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    pub async fn act(&self, (at, action): Timed) {
        self.recorder.note(format!("plan, {:.3} s: {action:?}", at.as_secs_f64()));
        if let Err(err) = self.carry_out(action).await {
            self.recorder.note(format!("the action of {:.3} s failed: {err}", at.as_secs_f64()));
        }
    }

    async fn carry_out(&self, action: Action) -> eyre::Result<()> {
        match action {
            Action::Configure(change) => self.operator.apply(change).await,
            Action::SilenceStore(time) => {
                self.disrupt_store("store silent", time, |it, begins| {
                    if begins { it.begin_silence() } else { it.end_silence() }
                })
                .await;
            }
            Action::DelayStore { delay, time } => {
                self.disrupt_store("store late", time, |it, begins| {
                    if begins { it.begin_delay(delay) } else { it.end_delay(delay) }
                })
                .await;
            }
            Action::LoseAnswers { one_of, time } => {
                self.disrupt_store("store loses answers", time, |it, begins| {
                    if begins { it.begin_loss(one_of) } else { it.end_loss(one_of) }
                })
                .await;
            }
            Action::DropHistory => {
                let place = Place::StorePartly;
                let index = self.recorder.begin_disruption(place, "store drops history", false);
                self.store.drop_history();
                self.recorder.end_disruption(index);
            }
            Action::RestoreStore { age, away, until_written } => {
                self.restore_store(age, away, until_written).await;
            }
            Action::ShutOut { hosts, fault, time } => self.shut_out(&hosts, fault, time).await,
            Action::StopHost(host) => self.hosts[host].stop_and_start().await?,
            Action::KillHost(host, down) => self.hosts[host].kill_and_start(down).await?,
            Action::FreezeHost(host, time) => self.hosts[host].freeze(time).await,
            Action::HangUpHost(host) => self.hosts[host].hang_up(),
            Action::ReplaceHosts { order, pause_at_half } => {
                self.replace_hosts(&order, pause_at_half).await?;
            }
            Action::FreezeReaders(count, time) => {
                let readers = self.readers(count).await;
                futures::future::join_all(readers.iter().map(|it| it.freeze(time))).await;
            }
            Action::KillReaders(count, down) => {
                let readers = self.readers(count).await;
                let killed = readers.iter().map(|it| it.kill_and_start(down));
                futures::future::try_join_all(killed).await?;
            }
            Action::CutReaders { count, fault, time } => {
                let readers = self.readers(count).await;
                let readers: Vec<HostIndex> = readers.iter().map(|it| it.index).collect();
                self.shut_out(&readers, fault, time).await;
            }
            Action::HeatCustomer { factor, time } => {
                self.heat.store(factor * 100, Ordering::Relaxed);
                time::sleep(time).await;
                self.heat.store(100, Ordering::Relaxed);
            }
            Action::ReplaceTarget { place, how, reuses_address } => {
                self.targets.replace(place, how, reuses_address).await?;
            }
            Action::PauseTargets { places, pause, time } => {
                self.targets.pause(&places, pause, time).await;
            }
            Action::CrashTarget { place, down, keeps_id } => {
                self.targets.crash(place, down, keeps_id).await?;
            }
        }
        Ok(())
    }

    async fn replace_hosts(
        &self,
        order: &[HostIndex],
        pause_at_half: Duration,
    ) -> eyre::Result<()> {
        for (count, &host) in order.iter().enumerate() {
            if count == order.len() / 2 {
                self.recorder.note("half of the hosts are replaced".to_owned());
                time::sleep(pause_at_half).await;
            }
            self.hosts[host].replace().await?;
            self.wait_host_ready(host).await;
        }
        self.recorder.note("all hosts are replaced".to_owned());
        Ok(())
    }

    async fn wait_host_ready(&self, host: HostIndex) {
        let until = time::Instant::now() + START_TIMEOUT;
        // It may count as ready by its last answer before it was stopped.
        time::sleep(ingress::PERIOD * 2).await;
        while !self.ingress.is_ready(host) && time::Instant::now() < until {
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn disrupt_store(
        &self,
        what: &'static str,
        time: Duration,
        change: impl Fn(&mut store::Faults, bool),
    ) {
        let index = self.recorder.begin_disruption(Place::Store, what, false);
        self.store.change_faults(|it| change(it, true));
        time::sleep(time).await;
        self.store.change_faults(|it| change(it, false));
        self.recorder.end_disruption(index);
    }

    async fn restore_store(&self, age: Duration, away: Duration, until_written: Duration) {
        let index = self.recorder.begin_disruption(Place::Store, "store restored", false);
        self.store.change_faults(store::Faults::begin_silence);
        time::sleep(away).await;
        let now = Instant::now();
        let lost = self.store.restore(now.checked_sub(age).unwrap_or(now));
        self.store.change_faults(store::Faults::end_silence);
        self.recorder.end_disruption(index);
        time::sleep(until_written).await;
        self.store.write_again(lost);
    }

    async fn shut_out(&self, hosts: &[HostIndex], fault: HostFault, time: Duration) {
        let mut begun: Vec<usize> = hosts
            .iter()
            .map(|it| self.recorder.begin_disruption(Place::StorePath(*it), "shut out", false))
            .collect();
        // A host whose path is cut leaves the store as it is for the others.
        if fault == HostFault::Refused {
            let place = Place::StorePartly;
            begun.push(self.recorder.begin_disruption(place, "store shuts hosts out", false));
        }
        self.store.change_faults(|it| hosts.iter().for_each(|host| it.begin_host(*host, fault)));
        time::sleep(time).await;
        self.store.change_faults(|it| hosts.iter().for_each(|host| it.end_host(*host, fault)));
        begun.into_iter().for_each(|it| self.recorder.end_disruption(it));
    }

    async fn readers(&self, count: usize) -> Vec<Arc<Host>> {
        let asked = self
            .hosts
            .iter()
            .map(|it| async move { ingress::reads_store(it).await.then(|| Arc::clone(it)) });
        let readers: Vec<Arc<Host>> =
            futures::future::join_all(asked).await.into_iter().flatten().collect();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let chosen: Vec<Arc<Host>> = readers.choose_multiple(&mut *rng, count).cloned().collect();
        let name = |it: &Arc<Host>| it.name.clone();
        let (all, names): (Vec<_>, Vec<_>) =
            (readers.iter().map(name).collect(), chosen.iter().map(name).collect());
        self.recorder.note(format!("readers {all:?}; of these {names:?}"));
        chosen
    }
}
