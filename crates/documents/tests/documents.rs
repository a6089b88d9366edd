//! Tests which documents are accepted, and the findings on invalid ones.

use std::time::Duration;

use assert_matches::assert_matches;
use base::ShardId;
use documents::{
    Document, DomainState, Pool, Preference, Service, cross_check, parse_document, parse_documents,
};

const STREAM: &str = r#"
kind: service
name: planeador-01
team: planeacion
pool: planeador
deadline-ms: 100
min-coverage: 0.9
prefer: latency
max-in-flight: 64
---
kind: pool
name: planeador
team: planeacion
map: 1
shards: 2
slots: 3
connections: 30
cold-slots: 1
targets:
  - {name: planeador-0-a, shard: 0, domain: bajio-a, address: "127.0.0.1:9001"}
  - {name: planeador-1-a, shard: 1, domain: bajio-a, address: "127.0.0.1:9002", slots: 2, leaving: true}
---
kind: domain
name: bajio-a
region: bajio
state: out
"#;

#[test]
fn reads_a_stream_of_all_kinds() {
    let (documents, findings) = parse_documents("stream.yaml", STREAM);
    assert!(findings.is_empty(), "{findings}");
    let keys: Vec<_> = documents.iter().map(|it| it.value.key()).collect();
    assert_eq!(keys, ["service/planeador-01", "pool/planeador", "domain/bajio-a"]);
    assert_eq!(documents[1].place.line, 11);
    assert_eq!(documents[1].place_of("targets/1/domain").line, 21);

    let service = assert_matches!(&documents[0].value, Document::Service(it) => it);
    let Service { weight, deadline, min_coverage, prefer, max_body_bytes, .. } = service;
    assert_eq!(*weight, 1);
    assert_eq!(*deadline, Duration::from_millis(100));
    assert_eq!(*min_coverage, 0.9);
    assert_eq!(*prefer, Preference::Latency);
    assert_eq!(*max_body_bytes, 65_536);
    assert!(!service.allows_non_idempotent);

    let Pool { targets, .. } = assert_matches!(&documents[1].value, Document::Pool(it) => it);
    let second = &targets[1];
    assert_eq!(second.shard, ShardId(1));
    assert_eq!((second.slots, second.connections, second.cold_slots), (2, 30, 1));
    assert!(second.leaving && !targets[0].leaving);

    assert_matches!(&documents[2].value, Document::Domain(it) if it.state == DomainState::Out);
}

#[test]
fn five_mistakes_yield_five_findings_with_places() {
    let text = "\
kind: service
name: Planeador 01
pool: planeador
wieght: 2
deadline-ms: soon
min-coverage: 1.5
prefer: latency
";
    let findings = parse_document("broken.yaml", text).unwrap_err();
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "broken.yaml:1:1: the field `team` is missing (hint: add `team:` with text)",
            "broken.yaml:2:7: `name` is not a valid name: \"Planeador 01\" (hint: use 1 to 63 of \
             a-z, 0-9, `-` and `.`, starting with a letter or digit)",
            "broken.yaml:4:1: unknown field `wieght` (hint: did you mean `weight`?)",
            "broken.yaml:5:14: `deadline-ms` is text (hint: use a whole number, 0 or more)",
            "broken.yaml:6:15: `min-coverage` is 1.5, out of range (hint: use 0.0 to 1.0)",
        ]
    );
}

#[test]
fn every_mistake_in_a_pool_is_found() {
    let text = r#"
kind: pool
name: planeador
team: planeacion
map: 0
shards: 3
slots: 3
connections: 2
cold-slots: 5
targets:
  - {name: one, shard: 7, domain: bajio-a, address: "127.0.0.1:9001", connections: 30, cold-slots: 1}
  - {name: one, shard: 0, domain: bajio-a, address: "127.0.0.1:9001", connections: 30, cold-slots: 1}
  - {name: three, shard: 1, domain: bajio-a, address: nowhere}
  - 5
"#;
    let findings = parse_document("pool.yaml", text).unwrap_err();
    let messages: Vec<_> = findings.iter().map(|it| (it.place.line, &*it.message)).collect();
    assert_eq!(
        messages,
        [
            (2, "no target holds shard 2"),
            (5, "`map` is 0, out of range"),
            (11, "`shard` is 7, but the pool has 3 shards"),
            (12, "two targets have the name one"),
            (12, "two targets have the address 127.0.0.1:9001"),
            (13, "`cold-slots` (5) is more than `slots` (3)"),
            (13, "`slots` (3) is more than `connections` (2)"),
            (13, "`address` is not an address: \"nowhere\""),
            (14, "expected a mapping of fields, found a whole number"),
        ]
    );
}

#[test]
fn a_field_given_twice_is_found() {
    let text = "kind: domain\nname: bajio-a\nname: bajio-b\nregion: bajio\n";
    let findings = parse_document("domain.yaml", text).unwrap_err();
    assert_eq!(findings.len(), 1);
    let finding = findings.iter().next().unwrap();
    assert_eq!(finding.message, "the field `name` is given twice");
    assert_eq!((finding.place.line, finding.place.column), (3, 1));
}

#[test]
fn text_that_is_no_single_document_is_refused() {
    let cases = [
        ("", 1, "the document is empty"),
        ("# nothing\n", 1, "the document is empty"),
        ("- 1\n- 2\n", 1, "expected a document, found a list"),
        ("name: x\n", 1, "the field `kind` is missing"),
        ("kind: host\n", 1, "unknown kind \"host\""),
        ("kind: [1]\n", 1, "`kind` is a list"),
    ];
    for (text, line, message) in cases {
        let findings = parse_document("text", text).unwrap_err();
        let found: Vec<_> = findings.iter().map(|it| (it.place.line, &*it.message)).collect();
        assert_eq!(found, [(line, message)], "{text:?}");
    }

    let two = "kind: domain\nname: a\nregion: r\n---\nkind: domain\nname: b\nregion: r\n";
    let findings = parse_document("two", two).unwrap_err();
    assert_eq!(findings.iter().next().unwrap().place.line, 5);

    let findings = parse_document("syntax", "kind: [\n").unwrap_err();
    let finding = findings.iter().next().unwrap();
    assert!(finding.message.starts_with("not valid YAML: "), "{finding}");
    assert_ne!(finding.place.line, 0);
}

#[test]
fn a_broken_document_does_not_hide_the_others() {
    let text = "kind: domain\nname: a\nregion: r\n---\nkind: domain\nname: B\n---\nkind: domain\nname: c\nregion: r\n";
    let (documents, findings) = parse_documents("stream", text);
    let keys: Vec<_> = documents.iter().map(|it| it.value.key()).collect();
    assert_eq!(keys, ["domain/a", "domain/c"]);
    let lines: Vec<_> = findings.iter().map(|it| it.place.line).collect();
    assert_eq!(lines, [5, 6]);
}

#[test]
fn documents_that_do_not_fit_together_are_found() {
    let others = r#"
kind: service
name: planeador-01
team: planeacion
pool: planner
deadline-ms: 100
prefer: latency
---
kind: pool
name: bodega
team: almacen
map: 1
shards: 1
slots: 3
connections: 30
cold-slots: 1
targets:
  - {name: planeador-0-a, shard: 0, domain: bajio-z, address: "127.0.0.1:9002"}
"#;
    let (mut documents, _) = parse_documents("first", STREAM);
    assert!(cross_check(&documents).is_empty());
    let (second, findings) = parse_documents("second", others);
    assert!(findings.is_empty(), "{findings}");
    documents.extend(second);
    let findings = cross_check(&documents);
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "second:2:1: two documents have the key service/planeador-01 (hint: the other is at \
             first:2:1)",
            "second:5:7: no document describes the pool planner (hint: correct the name or add \
             the pool's document)",
            "second:18:12: two targets have the name planeador-0-a (hint: the other is at \
             first:20:12)",
            "second:18:45: no document describes the domain bajio-z (hint: correct the name or \
             add the domain's document)",
            "second:18:63: two targets have the address 127.0.0.1:9002 (hint: the other is at \
             first:21:63)",
        ]
    );
}

#[test]
fn services_can_be_checked_without_their_pools() {
    let service = STREAM.split("---").next().unwrap();
    let (documents, findings) = parse_documents("service", service);
    assert!(findings.is_empty(), "{findings}");
    assert!(cross_check(&documents).is_empty());
}

/// Returns the text of a pool with one target per shard.
fn wide_pool(shards: u32) -> String {
    let mut text = format!(
        "kind: pool\nname: wide\nteam: t\nmap: 1\nshards: {shards}\nslots: 3\n\
         connections: 30\ncold-slots: 1\ntargets:\n"
    );
    for shard in 0..shards {
        let port = 1_024 + shard;
        text += &format!(
            "  - {{name: wide-{shard}-a, shard: {shard}, domain: bajio-a, \
             address: \"127.0.0.1:{port}\"}}\n"
        );
    }
    text
}

#[test]
fn a_document_of_half_a_megabyte_is_read() {
    let text = wide_pool(7_500);
    assert!(text.len() > 500_000);
    let document = parse_document("wide", &text).unwrap();
    assert_matches!(document, Document::Pool(it) if it.targets.len() == 7_500);
}

#[test]
fn shards_without_a_target_are_named_up_to_ten() {
    let text = wide_pool(4).replace("shards: 4", "shards: 100000");
    let findings = parse_document("wide", &text).unwrap_err();
    let messages: Vec<_> = findings.iter().map(|it| &*it.message).collect();
    assert_eq!(messages, ["no target holds shard 4, 5, 6, 7, 8, 9, 10, 11, 12, 13 and 99986 more"]);
}

#[test]
fn deep_nesting_and_repeated_aliases_are_refused() {
    let nested = format!("kind: {}{}\n", "[".repeat(5_000), "]".repeat(5_000));
    let mut aliases = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for i in 1..9 {
        let items = vec![format!("*a{}", i - 1); 10].join(", ");
        aliases += &format!("a{i}: &a{i} [{items}]\n");
    }
    for text in [nested, aliases] {
        let findings = parse_document("bomb", &text).unwrap_err();
        assert_eq!(findings.len(), 1);
        let finding = findings.iter().next().unwrap();
        assert!(finding.message.starts_with("not valid YAML: "), "{finding}");
    }
}

#[test]
fn a_megabyte_of_unknown_fields_yields_few_findings() {
    let mut text = "kind: domain\nname: a\nregion: r\n".to_owned();
    for i in 0..90_000 {
        text += &format!("k{i}: 1\n");
    }
    let findings = parse_document("fields", &text).unwrap_err();
    assert_eq!(findings.len(), 21);
    let last = findings.iter().last().unwrap();
    assert_eq!(last.message, "89980 more unknown fields, from `k20` on");
    assert_eq!(last.place.line, 24);
}
