//! `cargo xtask soak`: plays the host program of the users' platform as many processes on
//! loopback, beside faults that overlap, and judges the run by the platform's rules.
//!
//! `play` sets a run up and carries out its `plan`, which is drawn from the seed. The
//! platform's side is played by `store`, `targets`, `ingress`, `clients` and `operator`,
//! all of which write to one `record`. The `judge` reads the record only.

mod addresses;
mod clients;
mod configuration;
mod customers;
mod hosts;
mod http;
mod ingress;
mod judge;
mod operator;
mod plan;
mod play;
mod programs;
mod quota;
mod record;
mod settings;
mod store;
mod targets;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
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

pub use self::{
    plan::Days,
    play::{CONNECTIONS, LoadSize},
    programs::{Program, Programs},
};

/// Hosts of a run, which the loopback addresses and the machine allow.
const HOSTS: RangeInclusive<usize> = 1..=90;
/// Length of a run in seconds.
const SECONDS: RangeInclusive<u64> = 15..=600;
/// Seeds of one call.
const MAX_SEEDS: usize = 500;
/// Threads of the platform's side.
const WORKERS: usize = 2;
/// Requests per second, and shards, that a run allows.
const MAX_PER_S: f64 = 400.0;
const MAX_SHARDS: usize = 40;
/// Findings of a rule that are printed.
const PRINTED: usize = 3;

pub struct Options {
    pub programs: Programs,
    pub settings: Settings,
}

/// Settings of runs, whichever programs play.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seeds: Vec<u64>,
    pub hosts: usize,
    pub seconds: u64,
    pub days: Days,
    pub cpu_share: Option<f64>,
    pub load: LoadSize,
    pub logs: Logs,
}

/// Where logs and records of runs are.
#[derive(Clone, Debug)]
pub struct Logs {
    pub folder: PathBuf,
    /// Whether those of runs without a finding stay.
    pub keeps_all: bool,
}

impl Logs {
    /// Returns the folder that the caller names for all runs, or the usual one.
    pub fn new(keep: Option<PathBuf>) -> Logs {
        let keeps_all = keep.is_some();
        let folder = keep.unwrap_or_else(|| workspace_folder().join("target/soak"));
        Logs { folder, keeps_all }
    }
}

impl Options {
    fn check(&self) -> eyre::Result<()> {
        self.programs.first.check()?;
        self.programs.next.iter().try_for_each(Program::check)?;
        let has_next = self.programs.next.is_some();
        let replaces = self.settings.days == Days::Upgrade;
        eyre::ensure!(has_next == replaces, "--next-program goes with --days upgrade");
        self.settings.check()
    }
}

impl Settings {
    /// Returns the same settings with a folder of its own below the folder of logs.
    pub fn in_folder(&self, name: &str) -> Settings {
        let logs = Logs { folder: self.logs.folder.join(name), ..self.logs };
        Settings { logs, ..self.clone() }
    }

    fn check(&self) -> eyre::Result<()> {
        eyre::ensure!(HOSTS.contains(&self.hosts), "--hosts must be within {HOSTS:?}");
        eyre::ensure!(SECONDS.contains(&self.seconds), "--seconds must be within {SECONDS:?}");
        eyre::ensure!(!self.seeds.is_empty(), "name a seed or a range of seeds");
        eyre::ensure!(self.seeds.len() <= MAX_SEEDS, "more than {MAX_SEEDS} seeds");
        let is_share = self.cpu_share.is_none_or(|it| it > 0.0 && it <= 1.0);
        eyre::ensure!(is_share, "--cpu-share must be above 0 and at most 1");
        let LoadSize { per_s, shards, .. } = self.load;
        eyre::ensure!(per_s > 0.0 && per_s <= MAX_PER_S, "--rate must be at most {MAX_PER_S}");
        eyre::ensure!(self.load.connections > 0, "--connections must be above 0");
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
    let broken = play_all(options)?;
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Plays all seeds; returns those whose run broke a rule.
pub fn play_all(options: &Options) -> eyre::Result<Vec<u64>> {
    options.check()?;
    let settings = &options.settings;
    let mut broken = Vec::new();
    for &seed in &settings.seeds {
        let folder = play::folder(&settings.logs.folder, settings.days, seed);
        if !run_seed(options, seed, &folder)? {
            broken.push(seed);
        }
    }
    println!("{} of {} runs broke a rule; seeds {broken:?}", broken.len(), settings.seeds.len());
    Ok(broken)
}

/// Plays one seed; returns whether all rules held.
fn run_seed(options: &Options, seed: u64, folder: &Path) -> eyre::Result<bool> {
    let Options { programs, settings } = options;
    if folder.exists() {
        fs::remove_dir_all(folder)?;
    }
    fs::create_dir_all(folder).wrap_err_with(|| format!("cannot make {}", folder.display()))?;
    let run = play::Run {
        programs,
        folder,
        seed,
        hosts: settings.hosts,
        time: Duration::from_secs(settings.seconds),
        days: settings.days,
        cpu_share: settings.cpu_share,
        load: settings.load,
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build()?;
    let (record, names) = runtime.block_on(run.play())?;
    runtime.shutdown_background();
    let findings = judge::judge(&record);
    let holds = !findings.iter().any(|it| it.certainty == Certainty::Shown);
    println!("seed {seed}, {:?}, {} hosts, {} s:", settings.days, settings.hosts, settings.seconds);
    print(&record, &findings);
    write_record(&record, &names, &findings, folder)?;
    if holds && !settings.logs.keeps_all && findings.is_empty() {
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
        println!("  {rule}{suspected}: {} cases{}", findings.len(), by_program(record, &findings));
        for finding in findings.iter().take(PRINTED) {
            println!("    {finding}");
        }
    }
}

/// Returns how many cases each program had, if hosts ran more than one.
fn by_program(record: &Record, findings: &[&Finding]) -> String {
    let names: BTreeSet<_> = record.program_starts.iter().map(|it| &it.program).collect();
    if names.len() < 2 {
        return String::new();
    }
    let count = |name| {
        let cases = findings.iter().filter(|it| record.program(it.host, it.at) == Some(name));
        format!("{} by {name}", cases.count())
    };
    format!(" ({})", names.into_iter().map(count).collect::<Vec<_>>().join(", "))
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
