//! The daemon's log: asynchronous, JSON lines or terminal text, each line
//! with the part of the program it comes from.

use std::{io, sync::OnceLock};

use documents::model::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, OwnedKVList, Record, RecordStatic, o};
use slog_async::OverflowStrategy;

/// Lines buffered before the log drops some.
const BUFFER_LINES: usize = 8_192;

static INVARIANT_LOG: OnceLock<Logger> = OnceLock::new();

/// Flushes the log when dropped.
pub type LogGuard = slog_async::AsyncGuard;

/// A part of the program, for the prefix of its log lines.
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

/// The root logger of a process, writing to standard error.
///
/// When the buffer is full, lines are dropped and their count is logged.
pub fn root_logger(cfg: &LogSettings, host: &str) -> (Logger, LogGuard) {
    let (drain, guard) = match cfg.format {
        LogFormat::Json => buffered(slog_json::Json::default(io::stderr()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            buffered(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let drain = LevelFilter::new(drain, level(cfg.level)).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), guard)
}

/// A logger for one part of the program: each message gets the part's prefix.
pub fn part_logger(root: &Logger, part: Part) -> Logger {
    Logger::root(Prefixed { part, inner: root.clone() }, o!())
}

/// Puts the part's name before each message.
struct Prefixed {
    part: Part,
    inner: Logger,
}

impl Drain for Prefixed {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let origin =
            RecordStatic { location: record.location(), tag: record.tag(), level: record.level() };
        let part = self.part.as_str();
        let message = format_args!("{part}: {}", record.msg());
        Drain::log(&self.inner, &Record::new(&origin, &message, record.kv()), values)
    }

    fn is_enabled(&self, level: Level) -> bool {
        Drain::is_enabled(&self.inner, level)
    }
}

/// Logs every broken invariant of this process under the root logger.
pub fn report_broken_invariants(root: &Logger) {
    if INVARIANT_LOG.set(root.clone()).is_err() {
        return;
    }
    base::invariant::set_reporter(|name, detail| {
        if let Some(log) = INVARIANT_LOG.get() {
            slog::crit!(log, "invariant: broken"; "invariant" => name, "detail" => detail);
        }
    });
}

fn buffered<D>(drain: D) -> (slog::Fuse<slog_async::Async>, LogGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(BUFFER_LINES)
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
