//! Tests that the two deployments under `examples` pass every check and have the
//! sizes that their owners stated.

use std::{
    fs,
    path::{Path, PathBuf},
};

use base::Findings;
use documents::{
    Document, ParsedFile, Pool, Service, cross_check, cross_check_settings, parse_document,
    parse_file, parse_settings,
};

fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(path)
}

fn read(path: &Path, parsed: &mut ParsedFile, findings: &mut Findings) {
    if path.is_dir() {
        for entry in fs::read_dir(path).unwrap() {
            read(&entry.unwrap().path(), parsed, findings);
        }
        return;
    }
    let text = fs::read_to_string(path).unwrap();
    let (file, found) = parse_file(&path.display().to_string(), &text);
    parsed.extend(file);
    findings.extend(found);
}

fn read_checked(paths: &[&str]) -> ParsedFile {
    let mut parsed = ParsedFile::default();
    let mut findings = Findings::default();
    for path in paths {
        read(&example(path), &mut parsed, &mut findings);
    }
    findings.extend(cross_check(&parsed.documents));
    findings.extend(cross_check_settings(&parsed.settings));
    assert!(findings.is_empty(), "{findings}");
    parsed
}

fn pools(parsed: &ParsedFile) -> impl Iterator<Item = &Pool> {
    parsed.documents.iter().filter_map(|it| match &it.value {
        Document::Pool(it) => Some(it),
        _ => None,
    })
}

fn services(parsed: &ParsedFile) -> impl Iterator<Item = &Service> {
    parsed.documents.iter().filter_map(|it| match &it.value {
        Document::Service(it) => Some(it),
        _ => None,
    })
}

/// (pool, services, leaves per domain, slots, connections)
type Size = (&'static str, usize, usize, u32, u32);

fn assert_sizes(deployment: &str, sizes: [Size; 4]) {
    let parsed = read_checked(&[deployment]);
    assert_eq!(services(&parsed).count(), 52);
    assert_eq!(parsed.settings.len(), 6);
    for (name, services_of_pool, leaves, slots, connections) in sizes {
        let pool = pools(&parsed).find(|it| &*it.name == name).unwrap();
        let of_pool = services(&parsed).filter(|it| &*it.pool == name);
        assert_eq!(of_pool.count(), services_of_pool, "{name}");
        for domain in ["a", "b", "c"].map(|it| format!("{deployment}-{it}")) {
            let in_domain = pool.targets.iter().filter(|it| *it.domain == *domain);
            assert_eq!(in_domain.count(), leaves, "{name} in {domain}");
        }
        assert!(pool.targets.iter().all(|it| it.slots == slots), "{name}");
        assert!(pool.targets.iter().all(|it| it.connections == connections), "{name}");
    }
}

#[test]
fn bajio_has_the_sizes_given() {
    let sizes = [
        ("planeador", 20, 2, 3, 30),
        ("bodega", 30, 2, 3, 30),
        ("proveedores", 1, 9, 6, 100),
        ("galeria", 1, 4, 6, 100),
    ];
    assert_sizes("bajio", sizes);
}

#[test]
fn qc_est_has_the_sizes_given() {
    let sizes = [
        ("vitrine", 20, 2, 2, 25),
        ("atelier", 30, 2, 2, 25),
        ("grand-livre", 1, 9, 3, 40),
        ("ecoles", 1, 4, 3, 40),
    ];
    assert_sizes("qc-est", sizes);
}

#[test]
fn all_examples_can_run_on_one_machine() {
    let parsed = read_checked(&["bajio", "qc-est", "settings.yaml"]);
    assert_eq!(parsed.settings.len(), 13);
    let targets = pools(&parsed).flat_map(|it| &it.targets).map(|it| it.address);
    let hosts = parsed.settings.iter().map(|it| &it.value);
    let hosts = hosts.flat_map(|it| [it.callers, it.admin, it.peers]);
    let mut addresses: Vec<_> = targets.chain(hosts).collect();
    let all = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), all);
    assert!(addresses.iter().all(|it| it.ip().is_loopback() && it.port() < 32_768));
}

/// Returns the YAML blocks of a page under `docs`.
fn yaml_blocks(page: &str) -> Vec<String> {
    let path = example("..").join("docs").join(page);
    let text = fs::read_to_string(path).unwrap();
    let blocks = text.split("```yaml\n").skip(1);
    blocks.map(|it| it.split("```").next().unwrap().to_owned()).collect()
}

#[test]
fn the_documents_page_shows_valid_documents() {
    let blocks = yaml_blocks("DOCUMENTS.md");
    let parsed = blocks.iter().map(|it| parse_document("DOCUMENTS.md", it).unwrap());
    let keys: Vec<_> = parsed.map(|it| it.key()).collect();
    assert_eq!(keys, ["service/planeador-01", "pool/planeador", "domain/bajio-a"]);
}

#[test]
fn the_sample_settings_show_the_defaults() {
    let text = fs::read_to_string(example("settings.yaml")).unwrap();
    let sample = parse_settings("settings.yaml", &text).unwrap();
    let required = text.split("grace-ms").next().unwrap();
    let defaults = parse_settings("required", required).unwrap();
    assert_eq!(sample, defaults);
}
