//! HTTP servers of a host and the signals that stop it.

use std::{io, net::SocketAddr, sync::Arc};

use documents::Settings;
use entry::EntryCx;
use eyre::WrapErr;
use rocket::{
    Build, Request, Rocket, State,
    config::LogLevel,
    http::Status,
    request::{FromRequest, Outcome},
    routes,
};
use telemetry::Metrics;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::JoinHandle,
};

use crate::{owners::FleetOwners, view::SharedView};

pub struct Servers {
    callers: rocket::Shutdown,
    callers_task: JoinHandle<()>,
}

impl Servers {
    pub async fn start(
        cfg: &Settings,
        entry: &EntryCx<SharedView, FleetOwners>,
        admin_token: Option<Arc<str>>,
        metrics: Metrics,
    ) -> eyre::Result<Servers> {
        let callers = configure(entry::callers_rocket(entry.clone()), cfg.callers);
        let admin = configure(entry::admin_rocket(entry.clone()), cfg.admin)
            .mount("/", routes![metrics_text])
            .manage(MetricsState { metrics, admin_token });
        let (callers, callers_task) = launch(callers).await?;
        let _ = launch(admin).await?;
        Ok(Servers { callers, callers_task })
    }

    /// Stops accepting requests from callers and waits for those in progress.
    pub async fn stop_callers(self) {
        self.callers.notify();
        // The task ends by itself, and a panic in it has already been logged.
        let _ = self.callers_task.await;
    }
}

/// Signals that ask the process to stop; caught once this is created.
pub struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    pub fn new() -> io::Result<ShutdownSignals> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(ShutdownSignals { terminate, interrupt })
    }

    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}

fn configure(rocket: Rocket<Build>, address: SocketAddr) -> Rocket<Build> {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: Default::default(),
        force: false,
        ..Default::default()
    };
    let figment = rocket
        .figment()
        .clone()
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", LogLevel::Off))
        .merge(("cli_colors", false))
        .merge(("shutdown", shutdown));
    rocket.configure(figment)
}

/// Starts a server; returns once it listens.
async fn launch(rocket: Rocket<Build>) -> eyre::Result<(rocket::Shutdown, JoinHandle<()>)> {
    let (tx, listening) = tokio::sync::oneshot::channel();
    let tx = std::sync::Mutex::new(Some(tx));
    let liftoff = rocket::fairing::AdHoc::on_liftoff("listening", move |_| {
        let tx = tx.lock().ok().and_then(|mut it| it.take());
        Box::pin(async move {
            if let Some(tx) = tx {
                // The caller of `launch` may have stopped waiting.
                let _ = tx.send(());
            }
        })
    });
    let rocket =
        rocket.attach(liftoff).ignite().await.wrap_err("invalid settings of an HTTP server")?;
    let shutdown = rocket.shutdown();
    let (failed, failure) = tokio::sync::oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(err) = rocket.launch().await {
            let _ = failed.send(err);
        }
    });
    tokio::select! {
        Ok(()) = listening => Ok((shutdown, task)),
        Ok(err) = failure => Err(eyre::eyre!("HTTP server did not start: {err}")),
        else => Err(eyre::eyre!("HTTP server ended before it was listening")),
    }
}

/// State of the metrics route.
struct MetricsState {
    metrics: Metrics,
    admin_token: Option<Arc<str>>,
}

/// Request guard that requires the admin token if one is set.
struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        let token = req.rocket().state::<MetricsState>().and_then(|it| it.admin_token.as_deref());
        match entry::is_authorized(token, req) {
            true => Outcome::Success(Operator),
            false => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

#[rocket::get("/metrics")]
fn metrics_text(_operator: Operator, metrics_state: &State<MetricsState>) -> (Status, String) {
    match metrics_state.metrics.encode() {
        Ok(text) => (Status::Ok, text),
        Err(err) => (Status::InternalServerError, err.to_string()),
    }
}
