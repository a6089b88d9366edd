//! `explain` from logs: the story of one request across hosts, and what each
//! host believed when it decided.

mod line;
mod story;

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::Path,
};

use eyre::{WrapErr, bail};

use self::{line::LogLine, story::Story};
use crate::{
    args::Explain,
    output::{Exit, print_json},
};

/// Exits with [`Exit::Refused`] if no line names the request.
pub(super) fn from_logs(args: &Explain, out: &mut impl Write) -> eyre::Result<Exit> {
    let mut lines = Vec::new();
    for path in &args.log {
        read(path, &mut lines).wrap_err_with(|| format!("in {}", path.display()))?;
    }
    if lines.is_empty() {
        bail!("the logs hold no line of a host");
    }
    let story = Story::of(&args.request, &lines);
    if args.json {
        print_json(out, &serde_json::to_value(&story)?)?;
    } else {
        story.print(out)?;
    }
    Ok(if story.is_found() { Exit::Done } else { Exit::Refused })
}

/// Adds the lines of a file. What is no line of a host is passed over, as other
/// programs may write to the same file.
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
