//! Tests that invalid text never causes a panic, that each finding has a place and
//! a hint, and that accepted pools are consistent. Texts are mutated or generated
//! at random from a fixed seed.

use base::Findings;
use documents::{
    Document, cross_check, cross_check_settings, parse_document, parse_documents, parse_file,
    parse_settings,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const CASES: u32 = 2_000;
const SEED: u64 = 7;

const TEXTS: [&str; 4] = [
    "kind: service\nname: planeador-01\nteam: planeacion\npool: planeador\ndeadline-ms: 100\nprefer: latency\n",
    "kind: pool\nname: p\nteam: t\nmap: 1\nshards: 1\nslots: 3\nconnections: 30\ncold-slots: 1\ntargets:\n  - {name: a, shard: 0, domain: d, address: \"127.0.0.1:9001\"}\n",
    "kind: domain\nname: bajio-a\nregion: bajio\nstate: out\n---\nkind: domain\nname: b\nregion: r\n",
    "host: h\ndomain: d\nregion: r\nfleet: f\ncallers: \"127.0.0.1:1\"\nadmin: \"127.0.0.1:2\"\npeers: \"127.0.0.1:3\"\nplatform: {addresses: [\"127.0.0.1:4\"]}\nlog: {level: info}\n",
];

const TOKENS: [&str; 28] = [
    "\n",
    " ",
    "\t",
    ":",
    ": ",
    "- ",
    "? ",
    "---\n",
    "...\n",
    "{",
    "}",
    "[",
    "]",
    ",",
    "\"",
    "'",
    "&a ",
    "*a",
    "!!binary ",
    "!x ",
    "|\n",
    "<<: ",
    "#",
    "null",
    ".nan",
    "-99999999999999999999",
    "\u{0}",
    "ñ\u{2028}",
];

/// A change of a text. The first field is the position as a fraction of the
/// text's length; the second is the index of a token, or a number of characters.
#[derive(Clone, Debug)]
enum Mutation {
    Insert(f64, usize),
    Remove(f64, usize),
    Repeat(f64, usize),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        (0.0..1.0, 0..TOKENS.len()).prop_map(|(at, token)| Mutation::Insert(at, token)),
        (0.0..1.0, 1..12_usize).prop_map(|(at, len)| Mutation::Remove(at, len)),
        (0.0..1.0, 1..40_usize).prop_map(|(at, len)| Mutation::Repeat(at, len)),
    ]
}

fn mutated(text: &str, mutations: &[Mutation]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for mutation in mutations {
        let (Mutation::Insert(at, _) | Mutation::Remove(at, _) | Mutation::Repeat(at, _)) =
            mutation;
        let start = (chars.len() as f64 * at) as usize;
        match mutation {
            Mutation::Insert(_, token) => {
                chars.splice(start..start, TOKENS[*token].chars());
            }
            Mutation::Remove(_, len) => {
                chars.drain(start..(start + len).min(chars.len()));
            }
            Mutation::Repeat(_, len) => {
                let part = chars[start..(start + len).min(chars.len())].to_vec();
                chars.splice(start..start, part);
            }
        }
    }
    chars.into_iter().collect()
}

fn assert_placed(text: &str, findings: &Findings) {
    let last_line = text.chars().filter(|it| matches!(it, '\n' | '\r')).count() + 2;
    for finding in findings.iter() {
        assert_eq!(&*finding.place.source, "text");
        assert!(finding.place.line >= 1, "{finding}");
        assert!(finding.place.line as usize <= last_line, "{finding}");
        assert!(finding.hint.is_some(), "{finding}");
    }
}

fn assert_pool_holds(document: &Document) {
    let Document::Pool(pool) = document else { return };
    for target in &pool.targets {
        assert!(target.cold_slots <= target.slots && target.slots <= target.connections);
        assert!(target.shard.0 < pool.shards);
    }
}

fn check(text: &str) {
    if let Err(findings) = parse_document("text", text) {
        assert!(!findings.is_empty());
        assert_placed(text, &findings);
    }
    if let Err(findings) = parse_settings("text", text) {
        assert!(!findings.is_empty());
        assert_placed(text, &findings);
    }
    let (file, found) = parse_file("text", text);
    assert_placed(text, &found);
    assert_placed(text, &cross_check_settings(&file.settings));
    let (documents, findings) = parse_documents("text", text);
    assert_placed(text, &findings);
    assert_placed(text, &cross_check(&documents));
    for document in documents {
        assert_pool_holds(&document.value);
    }
}

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(SEED);
    let cases = Config::default().cases.max(CASES);
    Config { cases, rng_seed, failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn mutated_texts_are_accepted_or_refused_with_places(
        text in 0..TEXTS.len(),
        mutations in vec(mutation(), 1..8),
    ) {
        check(&mutated(TEXTS[text], &mutations));
    }

    #[test]
    fn arbitrary_texts_are_refused_with_places(text in "\\PC{0,80}") {
        check(&text);
    }
}
