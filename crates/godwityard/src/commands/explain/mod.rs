//! `explain --log`: what hosts logged about one request, and the state that each
//! host had logged before it.

mod log_line;
mod trace;

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::Path,
};

use eyre::{WrapErr, bail};

use self::{log_line::LogLine, trace::RequestTrace};
use crate::{
    args::Explain,
    output::{Exit, print_json},
};

/// Prints the trace of a request; returns [`Exit::Refused`] if no line has its id.
pub(super) fn from_logs(args: &Explain, out: &mut impl Write) -> eyre::Result<Exit> {
    let mut lines = Vec::new();
    for path in &args.log {
        read(path, &mut lines).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    }
    if lines.is_empty() {
        bail!("the given files contain no log line of a host");
    }
    let trace = RequestTrace::new(&args.request, &lines);
    if args.json {
        print_json(out, &serde_json::to_value(&trace)?)?;
    } else {
        trace.print(out)?;
    }
    Ok(if trace.is_found() { Exit::Success } else { Exit::Refused })
}

/// Appends the log lines of a file to `lines`. Lines that no host wrote are
/// skipped, because other programs may write to the same file.
fn read(path: &Path, lines: &mut Vec<LogLine>) -> eyre::Result<()> {
    if path == Path::new("-") {
        return read_from(io::stdin().lock(), lines);
    }
    read_from(BufReader::new(File::open(path)?), lines)
}

fn read_from(mut input: impl BufRead, lines: &mut Vec<LogLine>) -> eyre::Result<()> {
    let mut buf = Vec::new();
    while input.read_until(b'\n', &mut buf)? > 0 {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&buf)));
        buf.clear();
    }
    Ok(())
}
