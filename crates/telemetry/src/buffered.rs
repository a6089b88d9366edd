//! Log for single-threaded programs: JSON lines in a bounded buffer that is
//! written to standard output without blocking.
//!
//! After [`set_stdout_nonblocking`], a slow reader of the log does not delay the
//! program: when the buffer is full, lines are dropped and counted, and the count
//! is logged.

use std::{
    io::{self, Write},
    os::fd::AsFd,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, Logger, o};

/// Number of bytes that the buffer holds at most, apart from the line that reports
/// dropped lines.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time between two calls of [`LogBuffer::flush`].
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Buffer of log lines that are not yet written to standard output.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    shared: Arc<Mutex<Pending>>,
}

#[derive(Debug)]
#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Writer that appends to a [`LogBuffer`].
struct LineWriter(LogBuffer);

/// Returns the root logger and the buffer it writes to, which the caller must
/// flush regularly.
pub fn buffered_logger(host: &str) -> (Logger, LogBuffer) {
    let buffer = LogBuffer::default();
    let json = slog_json::Json::default(LineWriter(buffer.clone()));
    let drain = Mutex::new(json).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), buffer)
}

/// Sets standard output to non-blocking mode, so that [`LogBuffer::flush`] does not
/// wait for the reader of the log.
pub fn set_stdout_nonblocking() -> io::Result<()> {
    let stdout = io::stdout();
    let flags = fcntl_getfl(stdout.as_fd())?;
    fcntl_setfl(stdout.as_fd(), flags | OFlags::NONBLOCK)?;
    Ok(())
}

impl LogBuffer {
    /// Writes buffered bytes until standard output accepts no more. The count of
    /// dropped lines is logged once the buffer is less than half full.
    pub fn flush(&self) {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.dropped > 0 && pending.bytes.len() < MAX_BUFFERED_BYTES / 2 {
            let line =
                format!("{{\"msg\":\"log: lines dropped\",\"lines\":{}}}\n", pending.dropped);
            pending.bytes.extend_from_slice(line.as_bytes());
            pending.dropped = 0;
        }
        let written = write_to_stdout(&pending.bytes);
        pending.bytes.drain(..written);
    }

    /// Appends a piece of a line, or drops it if it does not fit. The JSON encoder
    /// writes each line in several pieces, so a line counts as dropped when the
    /// piece with its line break is dropped.
    fn push(&self, bytes: &[u8]) {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            pending.dropped += u64::from(bytes.ends_with(b"\n"));
            return;
        }
        pending.bytes.extend_from_slice(bytes);
    }
}

/// Writes until standard output accepts no more; returns the number of bytes
/// written.
fn write_to_stdout(bytes: &[u8]) -> usize {
    let stdout = io::stdout();
    let mut written = 0;
    while written < bytes.len() {
        match rustix::io::write(stdout.as_fd(), &bytes[written..]) {
            Ok(0) => break,
            Ok(count) => written += count,
            Err(rustix::io::Errno::INTR) => {}
            // The pipe is full or closed; there is no other place to log an error.
            Err(_) => break,
        }
    }
    written
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.push(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
