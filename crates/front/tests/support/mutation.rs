//! Random changes of valid bytes. Seeds are fixed; `PROPTEST_CASES` sets the number of cases.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

pub fn fixed_seed() -> Config {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

/// A change of bytes, at a position as a fraction of their length.
#[derive(Clone, Debug)]
pub enum Mutation {
    Set(f64, u8),
    Insert(f64, Vec<u8>),
    Remove(f64, usize),
    Repeat(f64, usize),
}

/// Numbers of either format at the ends of their range, and parts of text formats.
const TOKENS: [&[u8]; 12] = [
    &[0xff; 9],
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01],
    &[0xff, 0xff, 0xff, 0xff, 0x0f],
    b"18446744073709551615",
    b"-1",
    b"1e308",
    b"null",
    b"[[[[",
    b"{\"a\":",
    b"\"",
    b",",
    b"0",
];

pub fn mutations() -> impl Strategy<Value = Vec<Mutation>> {
    let token = (0..TOKENS.len()).prop_map(|it| TOKENS[it].to_vec());
    let mutation = prop_oneof![
        (0.0..1.0, any::<u8>()).prop_map(|(at, with)| Mutation::Set(at, with)),
        (0.0..1.0, token).prop_map(|(at, token)| Mutation::Insert(at, token)),
        (0.0..1.0, 1..20_usize).prop_map(|(at, len)| Mutation::Remove(at, len)),
        (0.0..1.0, 1..40_usize).prop_map(|(at, len)| Mutation::Repeat(at, len)),
    ];
    vec(mutation, 1..5)
}

pub fn mutated(bytes: &[u8], mutations: &[Mutation]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for mutation in mutations {
        let (Mutation::Set(at, _)
        | Mutation::Insert(at, _)
        | Mutation::Remove(at, _)
        | Mutation::Repeat(at, _)) = mutation;
        let start = (bytes.len() as f64 * at) as usize;
        let end = |len: usize| (start + len).min(bytes.len());
        match mutation {
            Mutation::Set(_, with) => {
                bytes.iter_mut().skip(start).take(1).for_each(|it| *it = *with)
            }
            Mutation::Insert(_, token) => drop(bytes.splice(start..start, token.iter().copied())),
            Mutation::Remove(_, len) => drop(bytes.drain(start..end(*len))),
            Mutation::Repeat(_, len) => {
                let part = bytes[start..end(*len)].to_vec();
                drop(bytes.splice(start..start, part));
            }
        }
    }
    bytes
}
