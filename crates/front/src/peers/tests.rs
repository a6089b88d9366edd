use std::iter;

use assert_matches::assert_matches;

use super::wire;
use crate::{
    MessageKind, PeerKeys,
    format::{FORMAT, FormatError},
    tests::{
        recorded::{ALL, C916687, FFD147A, FORMAT_1, bytes},
        samples,
    },
};

/// Bytes of a tail with this format, a field of kind 200 and one of kind 300, and with more
/// behind it.
const TAIL_OF_A_LATER_BUILD: [u8; 11] = [1, 2, 200, 1, 2, 7, 8, 172, 2, 0, 9];

#[test]
fn digests_of_all_builds_say_the_same() {
    for recorded in ALL {
        let (digest, tail) = wire::decode(&bytes(recorded.digest)).expect("decoded");
        assert_eq!(digest, samples::digest());
        assert_eq!(tail.unknown_kinds().count(), 0);
    }
}

/// Hosts of earlier builds decode what stands at the beginning, and ignore the rest.
#[test]
fn a_digest_begins_as_those_of_earlier_builds() {
    let encoded = wire::encode(&samples::digest()).expect("encoded");
    assert_eq!(encoded, bytes(FORMAT_1.digest));
    for earlier in [C916687, FFD147A] {
        assert!(encoded.starts_with(&bytes(earlier.digest)));
    }
}

#[test]
fn fields_that_a_later_build_adds_to_a_digest_are_skipped() {
    let later = [&bytes(C916687.digest)[..], &TAIL_OF_A_LATER_BUILD].concat();
    let (digest, tail) = wire::decode(&later).expect("decoded");
    assert_eq!(digest, samples::digest());
    assert_eq!(tail.unknown_kinds().collect::<Vec<_>>(), [200, 300]);
}

#[test]
fn a_digest_of_a_format_that_is_not_known_is_refused() {
    let format = FORMAT as u8 + 1;
    // What stands behind the format may have any form.
    for rest in [&[][..], &[255; 9]] {
        let later = [&bytes(C916687.digest)[..], &[format], rest].concat();
        assert_matches!(wire::decode(&later), Err(FormatError::UnknownFormat(it)) if it == FORMAT + 1);
    }
}

/// Cut where its tail begins, it is that of an earlier build.
#[test]
fn a_digest_that_is_cut_off_is_refused() {
    let whole = bytes(FORMAT_1.digest);
    let begin = bytes(C916687.digest).len();
    for cut in (0..whole.len()).filter(|it| *it != begin) {
        assert!(wire::decode(&whole[..cut]).is_err(), "{cut}");
    }
}

/// Guards against panics and endless allocation by what a later build or a stranger sends.
#[test]
fn digests_with_any_byte_changed_are_decoded_or_refused() {
    let whole = bytes(FORMAT_1.digest);
    for index in 0..whole.len() {
        for byte in [0, 1, 127, 128, 255] {
            let mut changed = whole.clone();
            changed[index] = byte;
            let _ = wire::decode(&changed);
            changed.extend(iter::repeat_n(255, 20));
            let _ = wire::decode(&changed);
        }
    }
}

/// Guards against keys that no longer tie a message to its kind as earlier builds do.
#[test]
fn messages_that_earlier_builds_signed_are_authentic() {
    let keys = PeerKeys::new(vec![b"0123456789abcdef".to_vec()]).expect("a valid key");
    for recorded in ALL {
        let digest = bytes(recorded.signed_digest);
        let signed = [
            (MessageKind::Digest, digest.clone(), &digest[..digest.len() - 16]),
            (MessageKind::State, bytes(recorded.signed_state), b"message"),
            (MessageKind::Feed, bytes(recorded.signed_feed), b"message"),
        ];
        for (kind, bytes, message) in signed {
            assert_eq!(keys.verify(kind, &bytes), Some(message));
            let mut own = message.to_vec();
            keys.sign(kind, &mut own);
            assert_eq!(own, bytes);
        }
    }
}
