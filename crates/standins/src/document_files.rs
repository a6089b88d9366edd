//! Reads configuration documents from YAML files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use documents::{Document, Pool};
use eyre::{WrapErr, eyre};

/// Text of one YAML document and its key on the platform, `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceDocument {
    pub key: String,
    pub text: String,
}

/// Reads all documents of the given files and of the YAML files in the given
/// folders, in order of path. Subfolders and files without the extension
/// `.yaml` are skipped.
pub fn read_documents(paths: &[PathBuf]) -> eyre::Result<Vec<SourceDocument>> {
    let mut documents = Vec::new();
    for path in yaml_files(paths)? {
        let text = fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
        let parts = split_documents(&text);
        for part in parts {
            documents.extend(source_document(part));
        }
    }
    Ok(documents)
}

/// Parses the pools among the documents.
pub fn parse_pools(documents: &[SourceDocument]) -> eyre::Result<Vec<Pool>> {
    let mut pools = Vec::new();
    for document in documents.iter().filter(|it| it.key.starts_with("pool/")) {
        let parsed = documents::parse_document(&document.key, &document.text)
            .map_err(|findings| eyre!("{findings}"))?;
        if let Document::Pool(pool) = parsed {
            pools.push(pool);
        }
    }
    Ok(pools)
}

fn yaml_files(paths: &[PathBuf]) -> eyre::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_file() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).wrap_err_with(|| path.display().to_string())?;
        for entry in entries {
            files.push(entry?.path());
        }
    }
    files.retain(|it| is_yaml(it));
    files.sort();
    Ok(files)
}

fn is_yaml(path: &Path) -> bool {
    path.extension().is_some_and(|it| it == "yaml")
}

fn split_documents(text: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    for line in text.lines() {
        if line.trim_end() == "---" {
            parts.push(String::new());
            continue;
        }
        let last = parts.len() - 1;
        parts[last].push_str(line);
        parts[last].push('\n');
    }
    parts
}

/// Returns the document with its key, or none if the text has no kind or no
/// name, as is the case for settings files.
fn source_document(text: String) -> Option<SourceDocument> {
    let kind = top_level_value(&text, "kind:")?;
    let name = top_level_value(&text, "name:")?;
    Some(SourceDocument { key: format!("{kind}/{name}"), text })
}

fn top_level_value(text: &str, prefix: &str) -> Option<String> {
    let line = text.lines().find(|it| it.starts_with(prefix))?;
    let value = line[prefix.len()..].split('#').next()?;
    Some(value.trim().trim_matches('"').to_owned())
}
