//! Modules of a crate depend on each other in one direction: those that are declared in
//! its `lib.rs` form no circle. What all of them share stands in a module below them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Crates with circles that are not resolved yet.
const EXCEPTIONS: [&str; 1] = ["forward"];

type Graph = BTreeMap<String, BTreeSet<String>>;

/// Names that `lib.rs` exports, each with its module.
type Exports = BTreeMap<String, String>;

fn crates() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let entries = fs::read_dir(root.join("crates")).expect("the folder of crates");
    let mut all: Vec<PathBuf> = entries.map(|it| it.expect("a crate").path()).collect();
    all.push(root.join("platform"));
    all.sort();
    all.into_iter().map(|it| it.join("src")).filter(|it| it.join("lib.rs").exists()).collect()
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of sources");
    let paths = entries.map(|it| it.expect("a source").path());
    let nested = paths.flat_map(|it| if it.is_dir() { sources(&it) } else { vec![it] });
    nested.filter(|it| it.extension().is_some_and(|it| it == "rs")).collect()
}

fn read(path: &Path) -> String {
    let text = fs::read_to_string(path).expect("a source");
    text.lines().map(|it| it.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

fn identifier(text: &str) -> &str {
    let text = text.trim_start();
    let end = text.find(|it: char| !it.is_alphanumeric() && it != '_');
    &text[..end.unwrap_or(text.len())]
}

/// Returns the paths behind each `crate::` of a text; a group is split into its parts.
fn paths_in_crate(text: &str) -> Vec<&str> {
    text.split("crate::").skip(1).flat_map(parts).collect()
}

fn parts(text: &str) -> Vec<&str> {
    let Some(group) = text.strip_prefix('{') else { return vec![text] };
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0);
    for (at, it) in group.char_indices() {
        match it {
            '{' => depth += 1,
            ',' | '}' if depth == 0 => {
                parts.push(&group[start..at]);
                start = at + 1;
                if it == '}' {
                    break;
                }
            }
            '}' => depth -= 1,
            _ => {}
        }
    }
    parts
}

fn exports(lib: &str) -> Exports {
    let mut exports = Exports::new();
    for path in paths_in_crate(lib) {
        let end = path.find(';').unwrap_or(path.len());
        let names = path[..end].split(|it: char| !it.is_alphanumeric() && it != '_');
        let module = identifier(path);
        exports.extend(names.map(|it| (it.to_owned(), module.to_owned())));
    }
    exports
}

/// Returns which modules of a crate refer to which others.
fn graph(source: &Path) -> Graph {
    let lib = read(&source.join("lib.rs"));
    let exports = exports(&lib);
    let mut graph = Graph::new();
    for path in sources(source) {
        let inner = path.strip_prefix(source).expect("a source of this crate");
        let module = inner.iter().next().and_then(|it| it.to_str()).unwrap_or_default();
        let module = module.trim_end_matches(".rs").to_owned();
        let is_test = inner.iter().any(|it| it == "tests" || it == "tests.rs");
        if inner.ends_with("lib.rs") || is_test {
            continue;
        }
        let text = read(&path);
        let others = paths_in_crate(&text).into_iter().map(identifier);
        let others = others.map(|it| exports.get(it).map_or(it, String::as_str).to_owned());
        let edges = graph.entry(module.clone()).or_default();
        edges.extend(others.filter(|it| *it != module));
    }
    graph
}

/// Removes modules that refer to no other until none is left; returns those that remain.
fn circles(mut graph: Graph) -> Graph {
    loop {
        let modules: BTreeSet<String> = graph.keys().cloned().collect();
        graph.values_mut().for_each(|it| it.retain(|it| modules.contains(it)));
        let before = graph.len();
        graph.retain(|_, it| !it.is_empty());
        if graph.len() == before {
            return graph;
        }
    }
}

#[test]
fn modules_of_a_crate_form_no_circle() {
    for source in crates() {
        let name = source.parent().and_then(Path::file_name).expect("a crate");
        let found = circles(graph(&source));
        let is_exception = EXCEPTIONS.iter().any(|it| *it == name);
        assert_eq!(!found.is_empty(), is_exception, "{}: {found:#?}", name.display());
    }
}

#[test]
fn a_circle_is_found_also_through_exported_names() {
    let lib = "mod a;\nmod b;\npub use crate::{a::{One, Two}, b::Three};";
    let exports = exports(lib);
    assert_eq!((exports["Two"].as_str(), exports["Three"].as_str()), ("a", "b"));
    let text = "use crate::{One, b::{self, Three},\n    c::D};\nlet it = crate::e::f();";
    let found: Vec<&str> = paths_in_crate(text).into_iter().map(identifier).collect();
    assert_eq!(found, ["One", "b", "c", "e"]);
    let edge = |from: &str, to: &str| (from.to_owned(), BTreeSet::from([to.to_owned()]));
    let graph = Graph::from([edge("a", "b"), edge("b", "a"), edge("c", "a"), edge("d", "e")]);
    assert_eq!(circles(graph).into_keys().collect::<Vec<_>>(), ["a", "b", "c"]);
}
