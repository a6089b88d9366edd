//! `check --configuration`: checks a configuration of the users' platform.

use std::{fs, io::Write, path::Path};

use check::{HostSettings, Input, Report, Source, check as check_configuration, target_reports};
use eyre::{WrapErr, ensure};
use serde_json::{Value, json};

use super::check::{finding_json, pluralize};
use crate::{
    args::Check,
    output::{Exit, print_json, replace_control_chars},
};

pub(super) fn check(
    args: &Check,
    configuration: &Path,
    out: &mut impl Write,
) -> eyre::Result<Exit> {
    ensure!(args.paths.is_empty(), "documents are not checked together with a configuration");
    let text = read(configuration)?;
    let against = args.against.as_deref().map(read).transpose()?;
    let host = args.settings.as_deref().map(read_settings).transpose()?;
    let targets = args.targets.as_deref().map(read_targets).transpose()?;
    let (name, other) = (shown(configuration), args.against.as_deref().map(shown));
    let input = Input {
        configuration: Source { name: &name, text: &text },
        against: other.as_deref().zip(against.as_deref()).map(|(name, text)| Source { name, text }),
        host: host.as_ref(),
        targets: targets.as_deref(),
    };
    let report = check_configuration(&input)?;
    if args.json {
        print_json(out, &report_json(&report))?;
    } else {
        print_report(out, &report, other.as_deref())?;
    }
    Ok(if report.findings.is_empty() { Exit::Success } else { Exit::Refused })
}

fn shown(path: &Path) -> String {
    path.display().to_string()
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

fn read_settings(path: &Path) -> eyre::Result<HostSettings> {
    let text = read(path)?;
    HostSettings::parse(&text).wrap_err_with(|| format!("cannot use {}", path.display()))
}

fn read_targets(path: &Path) -> eyre::Result<Vec<forward::TargetReport>> {
    let text = read(path)?;
    target_reports(&text).wrap_err_with(|| format!("cannot use {}", path.display()))
}

fn print_report(out: &mut impl Write, report: &Report, other: Option<&str>) -> eyre::Result<()> {
    for finding in &report.findings {
        writeln!(out, "{}", replace_control_chars(&finding.to_string()))?;
    }
    if let (Some(other), Some(changes)) = (other, &report.changes) {
        writeln!(out, "{} from {other}:", pluralize(changes.len(), "difference"))?;
        for change in changes {
            writeln!(out, "  {}", replace_control_chars(&change.to_string()))?;
        }
    }
    let found = match report.findings.len() {
        0 => "no findings".to_owned(),
        n => pluralize(n, "finding"),
    };
    let version = report.version.map_or("no version".to_owned(), |it| format!("version {it}"));
    let counts = [
        pluralize(report.routes, "route"),
        pluralize(report.services, "service"),
        pluralize(report.customers, "customer"),
    ];
    writeln!(out, "{found}; {version}: {}", counts.join(", "))?;
    Ok(())
}

fn report_json(report: &Report) -> Value {
    let findings: Vec<Value> = report.findings.iter().map(finding_json).collect();
    let changes = report.changes.as_ref().map(|all| {
        let change = |it: &check::Change| {
            json!({
                "kind": it.kind.as_str(),
                "subject": it.subject,
                "details": it.details,
                "effect": it.effect,
            })
        };
        all.iter().map(change).collect::<Vec<Value>>()
    });
    json!({
        "findings": findings,
        "version": report.version,
        "routes": report.routes,
        "services": report.services,
        "customers": report.customers,
        "changes": changes,
    })
}
