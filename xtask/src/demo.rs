//! `cargo xtask demo`: runs both example deployments on loopback for some
//! seconds each, while one failure domain is taken out and put back.

use std::process::ExitCode;

use crate::{
    bench,
    deployment::{Programs, workspace_folder},
    load::{CallOutcome, CallResult},
    report,
    scenario::Scenario,
};

const DEPLOYMENTS: [&str; 2] = ["bajio", "qc-est"];

pub fn run(seed: u64, is_release: bool) -> eyre::Result<ExitCode> {
    let programs = Programs::build(is_release)?;
    let mut holds = true;
    for deployment in DEPLOYMENTS {
        holds &= run_deployment(&programs, deployment, seed)?;
    }
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_deployment(programs: &Programs, deployment: &str, seed: u64) -> eyre::Result<bool> {
    let name = format!("demo-{deployment}");
    let path = workspace_folder().join("bench").join(format!("{name}.yaml"));
    let scenario = Scenario::read(&path)?;
    println!("\n== {}", scenario.title);
    let job = bench::Job {
        programs,
        scenario: &scenario,
        name: &name,
        seed,
        baseline: None,
        keep_logs: false,
    };
    let run = bench::run_scenario(job)?;
    if let Some(answer) = run.results.iter().find(|it| is_complete_answer(it)) {
        println!("\na complete answer for service {}:", answer.call.service);
        let json: serde_json::Value = serde_json::from_slice(&answer.body)?;
        println!("{json:#}\n");
    }
    report::print_all_stats(&run.summary);
    println!("extra load on targets: {:.2}%", run.summary.extra_load_ratio * 100.0);
    let checks = report::check_bounds(&scenario, &run.summary);
    report::print_bound_checks(&checks);
    let holds = checks.iter().all(|it| it.holds);
    println!("bounds and guarantees {}", if holds { "held" } else { "DID NOT hold" });
    Ok(holds)
}

fn is_complete_answer(result: &CallResult) -> bool {
    matches!(result.outcome, CallOutcome::Answered { answered, total } if answered == total)
}
