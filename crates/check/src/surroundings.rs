//! What a configuration is checked against: a host's settings and the targets' entries.

use base::HashMap;
use base64::{Engine, engine::general_purpose::STANDARD};
use forward::{TargetReport, route::Regions};
use platform::{
    names,
    settings::{Settings, SettingsError},
    wire::{self, WirePage},
};
use serde::Deserialize;

const BYTES_PER_MEGABYTE: u64 = 1024 * 1024;

#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SurroundingsError {
    #[error("the settings are invalid: {0}")]
    Settings(String),
    #[error("the targets are no page of the store (line {0}, column {1})")]
    Targets(usize, usize),
}

impl From<SettingsError> for SurroundingsError {
    /// Leaves out the text around an error, which may be that of another file with keys.
    fn from(err: SettingsError) -> Self {
        SurroundingsError::Settings(match err {
            SettingsError::Invalid(err) => err.message().to_owned(),
            other => other.to_string(),
        })
    }
}

/// What counts of a host's settings.
#[derive(Clone, Debug, Default)]
pub struct HostSettings {
    pub regions: Regions,
    /// `limits.memory_mb`, if it is stated.
    pub memory_bytes: Option<u64>,
}

#[derive(Default, Deserialize)]
struct WireSettings {
    #[serde(default)]
    limits: WireLimits,
}

#[derive(Default, Deserialize)]
struct WireLimits {
    memory_mb: Option<u64>,
}

impl HostSettings {
    /// Reads the settings file of a host.
    pub fn parse(text: &str) -> Result<HostSettings, SurroundingsError> {
        let settings = Settings::parse(text)?;
        let wire: WireSettings = toml::from_str(text).map_err(SettingsError::from)?;
        let memory_bytes = wire.limits.memory_mb.map(|it| it.saturating_mul(BYTES_PER_MEGABYTE));
        Ok(HostSettings { regions: settings.front.regions, memory_bytes })
    }
}

/// Reads the entries of targets from a page of the store. Those that hosts would not use are
/// left out.
pub fn target_reports(text: &str) -> Result<Vec<TargetReport>, SurroundingsError> {
    let page: WirePage = serde_json::from_str(text)
        .map_err(|err| SurroundingsError::Targets(err.line(), err.column()))?;
    let mut reports: HashMap<String, TargetReport> = HashMap::default();
    for item in page.items.iter().filter(|it| !it.tombstone) {
        let name = item.key.strip_prefix(names::TARGETS_PREFIX);
        let value = item.value.as_ref().and_then(|it| STANDARD.decode(it).ok());
        if let (Some(name), Some(value)) = (name, value)
            && let Ok(report) = wire::target(name, &value)
        {
            reports.insert(name.to_owned(), report);
        }
    }
    Ok(reports.into_values().collect())
}
