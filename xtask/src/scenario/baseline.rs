//! Mechanisms that a run can turn off, to measure their effect.

use std::str::FromStr;

/// A mechanism turned off for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    Direct,
    NoHedge,
    NoWarmUp,
    Fifo,
    NoEarlyRefusal,
}

impl Baseline {
    pub const NAMES: &'static [(&'static str, Baseline)] = &[
        ("direct", Baseline::Direct),
        ("no-hedge", Baseline::NoHedge),
        ("no-warmup", Baseline::NoWarmUp),
        ("fifo", Baseline::Fifo),
        ("no-early-refusal", Baseline::NoEarlyRefusal),
    ];

    pub fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(_, it)| *it == self).map_or("", |(name, _)| name)
    }

    /// Returns the line of the daemons' `policy` section that turns the
    /// mechanism off.
    pub fn policy_setting(self) -> &'static str {
        match self {
            Baseline::Direct => "owners: direct",
            Baseline::NoHedge => "hedging: off",
            Baseline::NoWarmUp => "warm-up: false",
            Baseline::Fifo => "fair-turns: first-come-first-served",
            Baseline::NoEarlyRefusal => "early-refusal: false",
        }
    }
}

impl FromStr for Baseline {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known = Self::NAMES.iter().find(|(name, _)| *name == text);
        known.map(|(_, it)| *it).ok_or_else(|| format!("unknown baseline `{text}`"))
    }
}
