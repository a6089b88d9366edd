//! Checked documents and settings as plain data.

mod configuration;
mod settings;

pub use self::{
    configuration::{
        Configuration, Domain, DomainState, Pool, Preference, Service, Target, TargetIndex,
    },
    settings::{
        EarlyRefusal, FairTurns, Hedging, LogFormat, LogLevel, LogSettings, OwnerMode,
        PlatformSettings, PolicySettings, SeedHost, Settings, WarmUp,
    },
};
