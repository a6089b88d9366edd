//! `check`: checks documents and settings, each alone and against each other.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
};

use base::{Finding, Findings, Place};
use documents::{Document, ParsedFile, cross_check, cross_check_settings, parse_file};
use eyre::{WrapErr, ensure};
use serde_json::{Value, json};

use super::platform_check;
use crate::{
    args::Check,
    output::{Exit, print_json},
};

pub(crate) fn check(args: &Check, out: &mut impl Write) -> eyre::Result<Exit> {
    if let Some(configuration) = &args.configuration {
        return platform_check::check(args, configuration, out);
    }
    let needs_configuration = [&args.against, &args.settings, &args.targets];
    ensure!(
        needs_configuration.iter().all(|it| it.is_none()),
        "--against, --settings and --targets go with --configuration"
    );
    ensure!(!args.paths.is_empty(), "no file or folder given");
    let mut files = Vec::new();
    for path in &args.paths {
        collect_files(path, &mut files)?;
    }
    ensure!(!files.is_empty(), "no .yaml or .yml file in the given folders");

    let mut parsed = ParsedFile::default();
    let mut findings = Findings::default();
    for file in &files {
        check_file(file, &mut parsed, &mut findings)?;
    }
    findings.extend(cross_check(&parsed.documents));
    findings.extend(cross_check_settings(&parsed.settings));

    let counts = Counts::new(files.len(), &parsed);
    if args.json {
        print_json(out, &report_json(&counts, &findings))?;
    } else {
        print_report(out, &counts, &findings)?;
    }
    Ok(if findings.is_empty() { Exit::Success } else { Exit::Refused })
}

/// Number of files read, and of valid documents and settings in them.
struct Counts {
    files: usize,
    services: usize,
    pools: usize,
    domains: usize,
    settings: usize,
    forwarding: usize,
}

impl Counts {
    fn new(files: usize, parsed: &ParsedFile) -> Self {
        let mut counts = Counts {
            files,
            services: 0,
            pools: 0,
            domains: 0,
            settings: parsed.settings.len(),
            forwarding: parsed.forwarding.len(),
        };
        for document in &parsed.documents {
            match document.value {
                Document::Service(_) => counts.services += 1,
                Document::Pool(_) => counts.pools += 1,
                Document::Domain(_) => counts.domains += 1,
            }
        }
        counts
    }
}

/// Collects the files to check: `path` itself if it is a file, whatever its
/// extension, else all YAML files in and below the folder.
fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> eyre::Result<()> {
    let context = || format!("cannot read {}", path.display());
    if !fs::metadata(path).wrap_err_with(context)?.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let entries: Result<Vec<_>, _> = fs::read_dir(path).wrap_err_with(context)?.collect();
    let mut entries = entries.wrap_err_with(context)?;
    entries.sort_by_key(fs::DirEntry::file_name);
    for entry in entries {
        let path = entry.path();
        // Symbolic links to folders are not followed, because they could form a
        // cycle.
        let is_dir = entry.file_type().wrap_err_with(context)?.is_dir();
        let extension = path.extension().unwrap_or_default();
        if is_dir {
            collect_files(&path, files)?;
        } else if extension == "yaml" || extension == "yml" {
            files.push(path);
        }
    }
    Ok(())
}

fn check_file(file: &Path, parsed: &mut ParsedFile, findings: &mut Findings) -> eyre::Result<()> {
    let source = file.display().to_string();
    let bytes = fs::read(file).wrap_err_with(|| format!("cannot read {source}"))?;
    let Ok(text) = String::from_utf8(bytes) else {
        let place = Place { source: source.into(), line: 0, column: 0 };
        let finding = Finding::new(place, "the file is not UTF-8 text");
        findings.push(finding.with_hint("save it as UTF-8"));
        return Ok(());
    };
    let (file, found) = parse_file(&source, &text);
    parsed.extend(file);
    findings.extend(found);
    Ok(())
}

fn print_report(out: &mut impl Write, counts: &Counts, findings: &Findings) -> std::io::Result<()> {
    for finding in findings.iter() {
        writeln!(out, "{finding}")?;
    }
    let parts = [
        (counts.files, "file"),
        (counts.services, "service"),
        (counts.pools, "pool"),
        (counts.domains, "domain"),
        (counts.settings, "settings file"),
    ];
    let [files, services, pools, domains, settings] = parts.map(|(n, word)| pluralize(n, word));
    let found = match findings.len() {
        0 => "no findings".to_owned(),
        n => pluralize(n, "finding"),
    };
    let forwarding = match counts.forwarding {
        0 => String::new(),
        n => format!(", {}", pluralize(n, "forwarding file")),
    };
    writeln!(
        out,
        "{found}; valid in {files}: {services}, {pools}, {domains}, {settings}{forwarding}"
    )
}

pub(super) fn pluralize(n: usize, word: &str) -> String {
    let plural = if n == 1 { "" } else { "s" };
    format!("{n} {word}{plural}")
}

fn report_json(counts: &Counts, findings: &Findings) -> Value {
    let findings: Vec<_> = findings.iter().map(finding_json).collect();
    json!({
        "findings": findings,
        "files": counts.files,
        "services": counts.services,
        "pools": counts.pools,
        "domains": counts.domains,
        "settings": counts.settings,
        "forwarding": counts.forwarding,
    })
}

pub(super) fn finding_json(finding: &Finding) -> Value {
    json!({
        "source": &*finding.place.source,
        "line": finding.place.line,
        "column": finding.place.column,
        "message": finding.message,
        "hint": finding.hint,
    })
}
