//! Forwards requests by a file of routes and targets, without a fleet and without
//! a platform.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use documents::{Forwarding, parse_forwarding};
use eyre::WrapErr;
use forward::{Position, budget::RetryLimits, placement::Limits};
use front::{
    Cx, FrontSettings, FrontSettingsBuilder, HeaderNames, PeerKeys,
    follow::{Batch, Feed, Item, Source, SourceError},
};
use http::HeaderName;
use slog::{Logger, info};
use telemetry::buffered::{LogBuffer, buffered_logger, set_stdout_nonblocking};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};

/// Time between two checks of the file for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time by which a target in another failure domain is expected to be slower.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(3);

/// Window of the budget of extra sends, and the number of extra sends in a window
/// that all hosts together may make in addition to the ratio.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_SLACK: f64 = 10.0;

/// Source of routes and targets from a file.
#[derive(Debug)]
struct FileSource {
    path: PathBuf,
}

/// Serves until a signal asks the process to stop.
pub(crate) fn run(path: &Path, key_files: &[PathBuf]) -> eyre::Result<()> {
    let file = read(path)?;
    let keys = PeerKeys::read(key_files)?;
    let (log, buffer) = buffered_logger(&file.listen.callers.to_string());
    telemetry::report_broken_invariants(&log);
    set_stdout_nonblocking().wrap_err("cannot make standard output non-blocking")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serving = serve(path.to_owned(), settings(&file, keys), log, buffer.clone());
    let result = LocalSet::new().block_on(&runtime, serving);
    buffer.flush();
    result
}

async fn serve(
    path: PathBuf,
    cfg: FrontSettings,
    log: Logger,
    buffer: LogBuffer,
) -> eyre::Result<()> {
    info!(log, "daemon: forwarding"; "file" => %path.display());
    let cx = Cx::new(cfg, log)?;
    front::run(cx, FileSource { path }, buffer).await?;
    Ok(())
}

fn read(path: &Path) -> eyre::Result<Forwarding> {
    let source = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("cannot read {source}"))?;
    Ok(parse_forwarding(&source, &text)?)
}

fn settings(file: &Forwarding, keys: PeerKeys) -> FrontSettings {
    let limits = Limits {
        retry: RetryLimits { ratio: file.retry_ratio, window: RETRY_WINDOW, slack: RETRY_SLACK },
        cold_ratio: 1.0,
        cold_slack: 0.0,
        cross_domain: CROSS_DOMAIN_PENALTY,
        leaving_for: file.leaving_for,
    };
    let listen = &file.listen;
    FrontSettingsBuilder::new(listen.callers, listen.readiness, header_names())
        .readiness_path("/readyz")
        .metrics(listen.metrics)
        .peers(listen.peers, listen.seeds.clone())
        .peer_keys(keys)
        .location(file.domain.clone(), file.regions.clone())
        .limits(limits)
        .build()
}

fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("godwityard-attempt"),
        deadline_ms: HeaderName::from_static("godwityard-deadline-ms"),
        stamp: HeaderName::from_static("godwityard-stamp"),
        expected_target: HeaderName::from_static("godwityard-target"),
        load: HeaderName::from_static("godwityard-load"),
        not_run: HeaderName::from_static("godwityard-not-run"),
        cold_ms: HeaderName::from_static("godwityard-cold-ms"),
        leaving: HeaderName::from_static("godwityard-leaving"),
        request_limit: HeaderName::from_static("godwityard-request-limit"),
        customer: HeaderName::from_static("godwityard-customer"),
        part_stamps: HeaderName::from_static("godwityard-part-stamps"),
        missing_parts: HeaderName::from_static("godwityard-missing-parts"),
    }
}

impl FileSource {
    fn modified(&self) -> Result<SystemTime, SourceError> {
        let modified = fs::metadata(&self.path).and_then(|it| it.modified());
        modified.map_err(|err| SourceError::Unavailable(err.to_string()))
    }
}

impl Source for FileSource {
    async fn read(&self, feed: Feed) -> Result<Batch, SourceError> {
        let position = position(self.modified()?);
        let file = read(&self.path).map_err(|err| SourceError::Unreadable(format!("{err:#}")))?;
        let items = match feed {
            Feed::Targets => file.targets.into_iter().map(Item::Target).collect(),
            Feed::Operations => {
                let out = file.out.into_iter().map(Item::Evacuated);
                out.chain([Item::Configuration(file.configuration)]).collect()
            }
        };
        Ok(Batch { items, position, age: None, behind: Some(Duration::ZERO), proof: None })
    }

    /// Returns `HistoryGone` when the file has changed, so that the whole file is
    /// read again.
    async fn changes(
        &self,
        _feed: Feed,
        after: Position,
        wait: Duration,
    ) -> Result<Batch, SourceError> {
        let deadline = Instant::now() + wait;
        while Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
            if position(self.modified()?) != after {
                return Err(SourceError::HistoryGone);
            }
        }
        Ok(Batch {
            items: Vec::new(),
            position: after,
            age: None,
            behind: Some(Duration::ZERO),
            proof: None,
        })
    }
}

/// Returns a position derived from the modification time, which differs whenever
/// the file was written.
fn position(modified: SystemTime) -> Position {
    let since = modified.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Position { epoch: None, revision: u64::try_from(since.as_nanos()).unwrap_or(u64::MAX) }
}
