//! Messages that say what [`super::samples`] hold, by build.

/// The messages of one build, binary ones in hexadecimal.
pub(crate) struct Recorded {
    pub digest: &'static str,
    pub signed_digest: &'static str,
    pub signed_state: &'static str,
    pub signed_feed: &'static str,
    pub targets: &'static str,
    pub operations: &'static str,
    pub nothing: &'static str,
    pub state: &'static str,
}

macro_rules! recorded {
    ($build:literal) => {
        Recorded {
            digest: include_str!(concat!("../../tests/recorded/", $build, "/digest.hex")),
            signed_digest: include_str!(concat!(
                "../../tests/recorded/",
                $build,
                "/signed-digest.hex"
            )),
            signed_state: include_str!(concat!(
                "../../tests/recorded/",
                $build,
                "/signed-state.hex"
            )),
            signed_feed: include_str!(concat!("../../tests/recorded/", $build, "/signed-feed.hex")),
            targets: include_str!(concat!("../../tests/recorded/", $build, "/targets.hex")),
            operations: include_str!(concat!("../../tests/recorded/", $build, "/operations.hex")),
            nothing: include_str!(concat!("../../tests/recorded/", $build, "/nothing.hex")),
            state: include_str!(concat!("../../tests/recorded/", $build, "/state.json")),
        }
    };
}

pub(crate) const C916687: Recorded = recorded!("c916687");
pub(crate) const FFD147A: Recorded = recorded!("ffd147a");
pub(crate) const FORMAT_1: Recorded = recorded!("format-1");
pub(crate) const ALL: [Recorded; 3] = [C916687, FFD147A, FORMAT_1];

/// Returns the bytes of a message in hexadecimal, which may stand on several lines.
pub(crate) fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|it| it.to_digit(16)).collect();
    digits.chunks(2).map(|it| it.iter().fold(0, |byte, digit| byte << 4 | *digit as u8)).collect()
}
