//! `cargo xtask soak`: plays the host program of the users' platform as many processes on
//! loopback, beside faults that overlap, and judges the run by the platform's rules.
//!
//! `play` sets a run up and carries out its `plan`, which is drawn from the seed. The
//! platform's side is played by `store`, `targets`, `ingress`, `clients` and `operator`,
//! all of which write to one `record`. The `judge` reads the record only.

mod addresses;
mod clients;
mod configuration;
mod hosts;
mod http;
mod ingress;
mod judge;
mod operator;
mod plan;
mod play;
mod quota;
mod record;
mod settings;
mod store;
mod targets;
#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    fs,
    io::Write,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use eyre::WrapErr;

use self::{
    judge::{Certainty, Finding},
    record::Record,
};
use crate::deployment::workspace_folder;

pub use self::{plan::Days, play::LoadSize};

/// Hosts of a run, which the loopback addresses and the machine bear.
const HOSTS: RangeInclusive<usize> = 1..=90;
/// Length of a run in seconds.
const SECONDS: RangeInclusive<u64> = 15..=600;
/// Seeds of one call.
const MAX_SEEDS: usize = 500;
/// Threads of the platform's side.
const WORKERS: usize = 2;
/// Requests per second, and shards, that a run bears.
const MAX_PER_S: f64 = 400.0;
const MAX_SHARDS: usize = 40;
/// Findings of a rule that are printed.
const PRINTED: usize = 3;

pub struct Options {
    pub program: PathBuf,
    pub seeds: Vec<u64>,
    pub hosts: usize,
    pub seconds: u64,
    pub days: Days,
    pub cpu_share: Option<f64>,
    pub load: LoadSize,
    /// Folder for logs and records, also of runs that broke no rule.
    pub keep: Option<PathBuf>,
}

impl Options {
    fn check(&self) -> eyre::Result<()> {
        let program = self.program.display();
        eyre::ensure!(self.program.is_file(), "--program: {program} is not a file");
        eyre::ensure!(HOSTS.contains(&self.hosts), "--hosts must be within {HOSTS:?}");
        eyre::ensure!(SECONDS.contains(&self.seconds), "--seconds must be within {SECONDS:?}");
        eyre::ensure!(!self.seeds.is_empty(), "name a seed or a range of seeds");
        eyre::ensure!(self.seeds.len() <= MAX_SEEDS, "more than {MAX_SEEDS} seeds");
        let is_share = self.cpu_share.is_none_or(|it| it > 0.0 && it <= 1.0);
        eyre::ensure!(is_share, "--cpu-share must be above 0 and at most 1");
        let LoadSize { per_s, shards, .. } = self.load;
        eyre::ensure!(per_s > 0.0 && per_s <= MAX_PER_S, "--rate must be at most {MAX_PER_S}");
        let is_count = (1..=MAX_SHARDS).contains(&shards);
        eyre::ensure!(is_count, "--shards must be within 1..={MAX_SHARDS}");
        eyre::ensure!(self.load.long_one_in > 0, "--long-one-in must be above 0");
        Ok(())
    }
}

/// Parses `7` or `1..20`; the last seed of a range is played too.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let number = |it: &str| it.parse::<u64>().map_err(|err| format!("`{it}`: {err}"));
    let Some((first, last)) = text.split_once("..") else { return Ok(vec![number(text)?]) };
    let (first, last) = (number(first)?, number(last.trim_start_matches('='))?);
    let count = last.checked_sub(first).ok_or("the range is empty")?;
    if count >= MAX_SEEDS as u64 {
        return Err(format!("more than {MAX_SEEDS} seeds"));
    }
    Ok((first..=last).collect())
}

/// Plays all seeds; fails if a rule was broken.
pub fn run(options: &Options) -> eyre::Result<ExitCode> {
    options.check()?;
    let root = options.keep.clone().unwrap_or_else(|| workspace_folder().join("target/soak"));
    let mut broken = Vec::new();
    for &seed in &options.seeds {
        let folder = play::folder(&root, options.days, seed);
        if !run_seed(options, seed, &folder)? {
            broken.push(seed);
        }
    }
    println!("{} of {} runs broke a rule; seeds {broken:?}", broken.len(), options.seeds.len());
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Plays one seed; returns whether all rules held.
fn run_seed(options: &Options, seed: u64, folder: &Path) -> eyre::Result<bool> {
    if folder.exists() {
        fs::remove_dir_all(folder)?;
    }
    fs::create_dir_all(folder).wrap_err_with(|| format!("cannot make {}", folder.display()))?;
    let run = play::Run {
        program: &options.program,
        folder,
        seed,
        hosts: options.hosts,
        time: Duration::from_secs(options.seconds),
        days: options.days,
        cpu_share: options.cpu_share,
        load: options.load,
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build()?;
    let (record, names) = runtime.block_on(run.play())?;
    runtime.shutdown_background();
    let findings = judge::judge(&record);
    let holds = !findings.iter().any(|it| it.certainty == Certainty::Shown);
    println!("seed {seed}, {:?}, {} hosts, {} s:", options.days, options.hosts, options.seconds);
    print(&record, &findings);
    write_record(&record, &names, &findings, folder)?;
    if holds && options.keep.is_none() && findings.is_empty() {
        fs::remove_dir_all(folder)?;
    } else {
        println!("  logs and record: {}", folder.display());
    }
    Ok(holds)
}

fn print(record: &Record, findings: &[Finding]) {
    let ends: Vec<String> =
        judge::ends(record).into_iter().map(|(end, count)| format!("{end} {count}")).collect();
    println!(
        "  attempts {}, {} in touch: {}",
        record.attempts.len(),
        judge::attempts_in_touch(record),
        ends.join(", ")
    );
    println!(
        "  versions {}, disruptions {}, targets that left {}, runs {}",
        record.versions.len(),
        record.disruptions.len(),
        record.leaves.len(),
        record.runs.len()
    );
    let mut by_rule: BTreeMap<_, Vec<&Finding>> = BTreeMap::new();
    for finding in findings {
        let is_shown = finding.certainty == Certainty::Shown;
        by_rule.entry((finding.rule, !is_shown)).or_default().push(finding);
    }
    for ((rule, is_suspected), findings) in by_rule {
        let suspected = if is_suspected { " (suspected)" } else { "" };
        println!("  {rule}{suspected}: {} cases", findings.len());
        for finding in findings.iter().take(PRINTED) {
            println!("    {finding}");
        }
    }
}

/// Writes what was seen into the folder, in the order of time.
fn write_record(
    record: &Record,
    names: &[String],
    findings: &[Finding],
    folder: &Path,
) -> eyre::Result<()> {
    let mut lines: Vec<(Duration, String)> = record.notes.clone();
    for it in &record.attempts {
        let end = match &it.end {
            record::AttemptEnd::Answered(answer) => answer.status.to_string(),
            other => format!("{other:?}"),
        };
        let probe = if it.is_probe { "probe" } else { "client" };
        let took = it.ended.saturating_sub(it.sent).as_secs_f64();
        let (id, host, path) = (&it.id, &names[it.host], &it.path);
        lines.push((it.sent, format!("{probe} {id} to {host} {path}: {end} after {took:.3} s")));
    }
    let runs = record.runs.iter();
    lines.extend(runs.map(|it| (it.at, format!("{} of {} runs {}", it.target, it.service, it.id))));
    let cases = findings.iter();
    lines.extend(cases.map(|it| (it.at, format!("BROKEN {} [{}]", it, names[it.host]))));
    lines.sort_by_key(|(at, _)| *at);
    let mut file = std::io::BufWriter::new(fs::File::create(folder.join("record.txt"))?);
    for (at, text) in lines {
        writeln!(file, "{:9.3} {text}", at.as_secs_f64())?;
    }
    file.flush()?;
    Ok(())
}
