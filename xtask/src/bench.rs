//! `cargo xtask bench`: runs scenarios, reports their summaries and compares them
//! with baselines.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, ExitCode},
    sync::Arc,
    time::Duration,
};

use eyre::WrapErr;
use tokio::{runtime, time};

use crate::{
    ci,
    deployment::{Deployment, Programs, workspace_folder},
    evaluation::{Measurements, Summary},
    load::{self, CallResult, LoadCx},
    monitor::{self, Counters, RevisionMonitor},
    report::{self, Section},
    scenario::{Baseline, Scenario},
    timeline::{self, TimelineCx},
};

/// Time for the last calls and cancelled work to end before the records are read.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Scenario whose latency and coverage are plotted over time.
const PLOTTED_SCENARIO: &str = "domain-out-and-back";

pub struct Options {
    pub what: String,
    pub seed: u64,
    pub json: Option<PathBuf>,
    pub baseline: Option<Baseline>,
    pub is_release: bool,
    pub keep_logs: bool,
}

/// Parameters of one run.
#[derive(Clone, Copy)]
pub struct Job<'a> {
    pub programs: &'a Programs,
    pub scenario: &'a Scenario,
    pub name: &'a str,
    pub seed: u64,
    pub baseline: Option<Baseline>,
    pub keep_logs: bool,
}

/// Results of one run.
pub struct Run {
    pub summary: Summary,
    pub results: Vec<CallResult>,
}

impl<'a> Job<'a> {
    fn new(
        programs: &'a Programs,
        scenario: &'a Scenario,
        name: &'a str,
        options: &Options,
    ) -> Self {
        let Options { seed, keep_logs, .. } = *options;
        Job { programs, scenario, name, seed, baseline: None, keep_logs }
    }
}

pub fn run(options: &Options) -> eyre::Result<ExitCode> {
    match options.what.as_str() {
        "capacity" => {
            ci::cargo(
                &["run", "--release", "-p", "godwityard-fleet", "--example", "capacity"],
                &[],
            )?;
            Ok(ExitCode::SUCCESS)
        }
        "all" => run_all(options),
        file => run_one(options, Path::new(file)),
    }
}

/// Runs one scenario and ends its processes, also on errors and on Ctrl-C.
pub fn run_scenario(job: Job<'_>) -> eyre::Result<Run> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            run = measure(job) => run,
            _ = tokio::signal::ctrl_c() => Err(eyre::eyre!("interrupted")),
        }
    })
}

async fn measure(job: Job<'_>) -> eyre::Result<Run> {
    let Job { programs, scenario, name, seed, baseline, .. } = job;
    let deployment = Deployment::start(programs, scenario, name, seed, baseline).await?;
    let deployment = Arc::new(deployment);
    let run = measure_deployment(programs, scenario, &deployment, seed).await;
    let folder = deployment.folder.clone();
    drop(deployment);
    let mut run = run.wrap_err_with(|| format!("logs are in {}", folder.display()))?;
    if run.summary.invariant_violations == 0 && !job.keep_logs {
        fs::remove_dir_all(&folder)?;
    }
    run.summary.scenario = name.to_owned();
    run.summary.seed = seed;
    run.summary.baseline = baseline.map_or("none", Baseline::name).to_owned();
    Ok(run)
}

async fn measure_deployment(
    programs: &Programs,
    scenario: &Scenario,
    deployment: &Arc<Deployment>,
    seed: u64,
) -> eyre::Result<Run> {
    let revisions = Arc::new(RevisionMonitor::default());
    let load = Arc::new(LoadCx::new(deployment)?);
    let calls = load::plan(scenario, deployment, seed);
    let cx = TimelineCx {
        programs: programs.clone(),
        deployment: Arc::clone(deployment),
        load: Arc::clone(&load),
        revisions: Arc::clone(&revisions),
    };
    let settle = Duration::from_millis(scenario.settle_ms);
    deployment.reset_records().await?;
    let measured_from = load.started + settle;
    let before = async {
        time::sleep_until(measured_from.into()).await;
        let calls = deployment.platform_calls().await?;
        eyre::Ok((Counters::read(deployment).await, calls))
    };
    let work = async {
        let results = load::run_calls(&load, calls);
        tokio::join!(results, timeline::run(&cx, scenario), before)
    };
    let (results, failed_stops, before) = tokio::select! {
        done = work => done,
        () = load.balancer.probe_hosts(&deployment.client, &deployment.hosts) => unreachable!(),
        () = revisions.run(&deployment.client, &deployment.hosts) => unreachable!(),
    };
    let (before, calls_before) = before?;
    let duration = measured_from.elapsed();
    time::sleep(DRAIN_TIME).await;
    let measurements = Measurements {
        settle,
        duration,
        fairness_from: settle + Duration::from_millis(scenario.fairness_from_ms),
        records: deployment.records().await?,
        runs: deployment.runs().await?,
        counters: [before, Counters::read(deployment).await],
        platform_calls: deployment.platform_calls().await?.saturating_sub(calls_before),
        hosts: deployment.hosts.len(),
        slots: deployment.pools.iter().flat_map(|it| &it.targets).map(|it| it.slots).sum(),
        failed_stops: failed_stops?,
        config_rollout_time: revisions.max_rollout_time(),
        config_reverts: revisions.reverts(),
        logged_invariant_violations: monitor::logged_invariant_violations(deployment),
        results,
    };
    Ok(Run { summary: measurements.summary(), results: measurements.results })
}

fn run_one(options: &Options, path: &Path) -> eyre::Result<ExitCode> {
    let scenario = Scenario::read(path)?;
    let programs = Programs::build(options.is_release)?;
    let name = scenario_name(path);
    let job = Job::new(&programs, &scenario, &name, options);
    let run = run_scenario(job)?;
    let other = match options.baseline {
        Some(baseline) => Some(run_scenario(Job { baseline: Some(baseline), ..job })?),
        None => None,
    };
    println!("{}: seed {}", scenario.title, options.seed);
    report::print_all_stats(&run.summary);
    report::print_table(&run.summary, other.as_ref().map(|it| &it.summary));
    let checks = report::check_bounds(&scenario, &run.summary);
    report::print_bound_checks(&checks);
    if let Some(file) = &options.json {
        let summaries: Vec<_> =
            std::iter::once(&run.summary).chain(other.as_ref().map(|it| &it.summary)).collect();
        let json = match summaries.as_slice() {
            [one] => serde_json::to_string_pretty(one)?,
            both => serde_json::to_string_pretty(both)?,
        };
        fs::write(file, json)?;
    }
    let all_hold = checks.iter().all(|it| it.holds);
    Ok(if all_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs every scenario in bench/ except `demo-*` and writes docs/BENCHMARKS.md.
fn run_all(options: &Options) -> eyre::Result<ExitCode> {
    let programs = Programs::build(options.is_release)?;
    let docs = workspace_folder().join("docs");
    fs::create_dir_all(&docs)?;
    let head = page_header(options);
    let mut sections = Vec::new();
    let mut all_hold = true;
    for path in scenario_files()? {
        let scenario = Scenario::read(&path)?;
        let name = scenario_name(&path);
        println!("{name} ...");
        let run = match run_scenario(Job::new(&programs, &scenario, &name, options)) {
            Ok(run) => run,
            Err(err) => {
                println!("{name} did not run to its end: {err:#}");
                all_hold = false;
                sections.push(Err((scenario.title, root_cause(&err))));
                continue;
            }
        };
        let checks = report::check_bounds(&scenario, &run.summary);
        report::print_bound_checks(&checks);
        all_hold &= checks.iter().all(|it| it.holds);
        if name == PLOTTED_SCENARIO {
            let settle = Duration::from_millis(scenario.settle_ms);
            report::draw_plot(&docs.join(format!("{name}.svg")), &name, &run.results, settle)?;
        }
        let mut baseline_summaries = Vec::new();
        for baseline in scenario.comparisons()? {
            let job =
                Job { baseline: Some(baseline), ..Job::new(&programs, &scenario, &name, options) };
            match run_scenario(job) {
                Ok(run) => baseline_summaries.push(run.summary),
                Err(err) => println!("{name} with {} off: {err:#}", baseline.name()),
            }
        }
        let command = format!("cargo xtask bench bench/{name}.yaml --seed {}", options.seed);
        let summary = run.summary;
        sections.push(Ok(Section {
            title: scenario.title,
            command,
            summary,
            baseline_summaries,
            checks,
        }));
    }
    fs::write(docs.join("BENCHMARKS.md"), report::render_page(&head, &sections))?;
    Ok(if all_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the head of the page: command, date, commit, build and load average,
/// taken before the first run.
fn page_header(options: &Options) -> String {
    let load_average = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    format!(
        "Written by `cargo xtask bench all --seed {}`, begun on {} at commit {}, {} build.\n\
         All processes ran on one machine over loopback; its load average was {} at\n\
         the start. Compared runs have the same seed.\n\n\
         ![p99 and coverage while a failure domain leaves and returns]({PLOTTED_SCENARIO}.svg)",
        options.seed,
        command_output("date", &["-u", "+%F %H:%M UTC"]),
        command_output("git", &["rev-parse", "--short", "HEAD"]),
        if options.is_release { "release" } else { "debug" },
        load_average.split(' ').next().unwrap_or_default(),
    )
}

fn scenario_files() -> eyre::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(workspace_folder().join("bench"))? {
        files.push(entry?.path());
    }
    files.retain(|it| !scenario_name(it).starts_with("demo-"));
    files.sort();
    Ok(files)
}

fn scenario_name(path: &Path) -> String {
    path.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

/// Returns the text of the innermost cause, without the contexts that contain
/// paths of this machine.
fn root_cause(err: &eyre::Report) -> String {
    err.root_cause().to_string()
}

fn command_output(program: &str, args: &[&str]) -> String {
    let output = Command::new(program).args(args).output();
    let text = output.map(|it| String::from_utf8_lossy(&it.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "unknown".to_owned())
}
