//! Tests which values are read from forwarding files, and the findings on
//! invalid ones.

use assert_matches::assert_matches;
use documents::{parse_file, parse_forwarding};
use forward::{Destination, Repeat};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const EXAMPLE: &str = include_str!("../../../examples/forwarding.yaml");

fn messages(text: &str) -> Vec<String> {
    match parse_forwarding("f.yaml", text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_example_is_read() {
    let file = parse_forwarding("f.yaml", EXAMPLE).expect("no findings");
    assert_eq!(file.configuration.version, 1);
    assert_eq!(file.targets.len(), 5);
    let routes = &file.configuration.routes;
    assert_matches!(&routes[0].destination, Destination::Gather(it) => {
        assert_eq!((it.shards.len(), it.top, it.min_shards()), (3, 10, 2));
    });
    assert_eq!(routes[1].repeat, Repeat::AtMostOnce);
    assert_matches!(&routes[1].destination, Destination::Weighted(it) if it.len() == 2);
    assert_eq!(file.configuration.services["orders"].warmup_rate, Some(20.0));
    assert_eq!(file.listen.callers.port(), 20_501);
}

#[test]
fn parse_file_recognises_forwarding() {
    let (file, findings) = parse_file("f.yaml", EXAMPLE);
    assert!(findings.is_empty());
    assert_eq!((file.forwarding.len(), file.documents.len()), (1, 0));
}

#[test]
fn each_mistake_is_found_with_its_place() {
    let cases = [
        ("repeat: at-most-once", "repeat: sometimes", "`repeat` cannot be"),
        ("prefix: /orders/", "prefix: orders", "`prefix` is"),
        ("timeout-ms: 5000", "timeout-ms: 0", "`timeout-ms` is 0"),
        ("min-share: 0.66", "min-share: 1.5", "`min-share` is 1.5"),
        ("search-1, search-2]", "search-1, search-1]", "each once"),
        ("search-1, search-2]", "search-1, nobody]", "no service has the name `nobody`"),
        ("{ service: orders, weight: 9 }", "{ service: orders, weight: nine }", "`weight` is"),
        ("127.0.0.1:20511", "127.0.0.1:20510", "two targets have the address"),
        ("s1-a", "s0-a", "two targets have the name"),
        ("slots: 3 }]\n  - name: search-1", "slots: 0 }]\n  - name: search-1", "`slots` is 0"),
        ("callers: 127.0.0.1:20501", "callers: here", "not an address"),
        ("version: 1", "vresion: 1", "did you mean `version`?"),
        ("prefix: /orders/", "prefix: /catalogue/", "two routes have the host and prefix"),
        ("    repeat: idempotent", "    repeat: at-most-once", "cannot be at-most-once"),
        ("    weighted:", "    service: orders\n    weighted:", "has 2 destinations"),
    ];
    for (from, to, expected) in cases {
        assert!(EXAMPLE.contains(from), "{from}");
        let found = messages(&EXAMPLE.replacen(from, to, 1));
        assert!(found.iter().any(|it| it.contains(expected)), "{to}: {found:?}");
        assert!(found.iter().all(|it| it.starts_with("f.yaml:")), "{found:?}");
    }
}

#[test]
fn mistakes_are_reported_together() {
    let text = EXAMPLE
        .replace("prefix: /orders/", "prefix: orders")
        .replace("max-connections: 96", "max-connections: 0");
    assert!(messages(&text).len() >= 3);
}

fn fixed_seed() -> Config {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn damaged_files_are_read_or_refused(at in 0usize..4_000, with in "[ -~\n]{0,3}", cut in 0usize..4) {
        let at = at % EXAMPLE.len();
        let end = (at + cut).min(EXAMPLE.len());
        if EXAMPLE.is_char_boundary(at) && EXAMPLE.is_char_boundary(end) {
            let text = format!("{}{with}{}", &EXAMPLE[..at], &EXAMPLE[end..]);
            let _ = parse_forwarding("f.yaml", &text);
        }
    }
}
