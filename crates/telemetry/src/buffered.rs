//! A log for single-threaded programs: JSON lines in a bounded buffer, written
//! to standard output without blocking.
//!
//! A reader that does not keep up costs lines, never time: lines that find the
//! buffer full are dropped and counted, and the count is logged.

use std::{
    io::{self, Write},
    os::fd::AsFd,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, Logger, o};

/// Bytes that wait for the reader of the log.
const BUFFER_BYTES: usize = 256 * 1024;

/// Time between two writes to standard output.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// The lines that were not written yet.
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

struct LineWriter(LogBuffer);

/// The root logger, and the buffer that [`LogBuffer::flush`] empties.
pub fn buffered_logger(host: &str) -> (Logger, LogBuffer) {
    let buffer = LogBuffer::default();
    let json = slog_json::Json::default(LineWriter(buffer.clone()));
    let drain = Mutex::new(json).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), buffer)
}

/// Makes writes to standard output return at once.
pub fn set_stdout_nonblocking() -> io::Result<()> {
    let stdout = io::stdout();
    let flags = fcntl_getfl(stdout.as_fd())?;
    fcntl_setfl(stdout.as_fd(), flags | OFlags::NONBLOCK)?;
    Ok(())
}

impl LogBuffer {
    /// Writes what standard output takes now.
    pub fn flush(&self) {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.dropped > 0 && pending.bytes.len() < BUFFER_BYTES / 2 {
            let line =
                format!("{{\"msg\":\"log: lines dropped\",\"lines\":{}}}\n", pending.dropped);
            pending.bytes.extend_from_slice(line.as_bytes());
            pending.dropped = 0;
        }
        let written = write_some(&pending.bytes);
        pending.bytes.drain(..written);
    }

    fn add(&self, bytes: &[u8]) {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + bytes.len() > BUFFER_BYTES {
            pending.dropped += u64::from(bytes.ends_with(b"\n"));
            return;
        }
        pending.bytes.extend_from_slice(bytes);
    }
}

/// Bytes that standard output took.
fn write_some(bytes: &[u8]) -> usize {
    let stdout = io::stdout();
    let mut written = 0;
    while written < bytes.len() {
        match rustix::io::write(stdout.as_fd(), &bytes[written..]) {
            Ok(0) => break,
            Ok(count) => written += count,
            Err(rustix::io::Errno::INTR) => {}
            // Full for now, or closed: there is nowhere to report it.
            Err(_) => break,
        }
    }
    written
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.add(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
