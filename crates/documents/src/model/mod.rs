//! Checked documents and settings as plain data.

mod configuration;
mod document;
mod forwarding;
mod settings;

pub use self::{
    configuration::{
        Configuration, Domain, DomainState, Pool, Preference, Service, Target, TargetIndex,
    },
    document::{Document, Located, Places},
    forwarding::{Forwarding, ForwardingListen},
    settings::{
        EarlyRefusal, FairTurns, Hedging, LogFormat, LogLevel, LogSettings, OwnerMode,
        PlatformSettings, PolicySettings, SeedHost, Settings, WarmUp,
    },
};
