//! Asynchronous log of the daemon, as JSON lines or terminal text. Each message is
//! prefixed with the part of the program that logs it.

use std::{io, sync::OnceLock};

use documents::model::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, OwnedKVList, Record, RecordStatic, o};
use slog_async::OverflowStrategy;

/// Number of buffered lines above which new lines are dropped.
const MAX_BUFFERED_LINES: usize = 8_192;

static INVARIANT_LOGGER: OnceLock<Logger> = OnceLock::new();

/// Guard that flushes the log when dropped.
pub type LogGuard = slog_async::AsyncGuard;

/// Part of the program; its name prefixes the messages it logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Daemon,
    Entry,
    Owner,
    Fleet,
    Peer,
    Platform,
}

impl Part {
    pub const fn as_str(self) -> &'static str {
        match self {
            Part::Daemon => "daemon",
            Part::Entry => "entry",
            Part::Owner => "owner",
            Part::Fleet => "fleet",
            Part::Peer => "peer",
            Part::Platform => "platform",
        }
    }
}

/// Returns the root logger of a process, which writes to standard error, and the
/// guard that flushes it.
///
/// When the buffer is full, lines are dropped and their count is logged.
pub fn root_logger(cfg: &LogSettings, host: &str) -> (Logger, LogGuard) {
    let (drain, guard) = match cfg.format {
        LogFormat::Json => async_drain(slog_json::Json::default(io::stderr()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            async_drain(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let drain = LevelFilter::new(drain, level(cfg.level)).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), guard)
}

/// Returns a logger that prefixes each message with the name of `part`.
pub fn part_logger(root: &Logger, part: Part) -> Logger {
    Logger::root(PrefixDrain { part, inner: root.clone() }, o!())
}

/// Drain that prefixes each message with the name of a part.
struct PrefixDrain {
    part: Part,
    inner: Logger,
}

impl Drain for PrefixDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let metadata =
            RecordStatic { location: record.location(), tag: record.tag(), level: record.level() };
        let part = self.part.as_str();
        let message = format_args!("{part}: {}", record.msg());
        Drain::log(&self.inner, &Record::new(&metadata, &message, record.kv()), values)
    }

    fn is_enabled(&self, level: Level) -> bool {
        Drain::is_enabled(&self.inner, level)
    }
}

/// Logs every broken invariant of this process with `root`. Only the first call
/// has an effect.
pub fn report_broken_invariants(root: &Logger) {
    if INVARIANT_LOGGER.set(root.clone()).is_err() {
        return;
    }
    base::invariant::set_reporter(|name, detail| {
        if let Some(log) = INVARIANT_LOGGER.get() {
            slog::crit!(log, "invariant: broken"; "invariant" => name, "detail" => detail);
        }
    });
}

fn async_drain<D>(drain: D) -> (slog::Fuse<slog_async::Async>, LogGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_BUFFERED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (drain.fuse(), guard)
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}
