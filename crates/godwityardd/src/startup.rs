//! Settings, fleet secret and admin token, read at the daemon's startup.

use std::{env, fs, path::Path, sync::Arc};

use documents::Settings;
use eyre::WrapErr;

/// Shortest fleet secret accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Environment variable with the operators' admin token.
const TOKEN_ENV_VAR: &str = "GODWITYARD_TOKEN";

/// Settings together with the contents of the files that they name.
pub struct Startup {
    pub cfg: Settings,
    pub fleet_secret: Option<Arc<[u8]>>,
    pub admin_token: Option<Arc<str>>,
}

impl Startup {
    pub fn load(path: &Path) -> eyre::Result<Startup> {
        let text = read(path)?;
        let cfg = documents::parse_settings(&path.display().to_string(), &text)?;
        let fleet_secret = cfg.fleet_secret_file.as_deref().map(read_secret).transpose()?;
        let admin_token = admin_token(&cfg)?;
        if admin_token.is_none() && !cfg.admin.ip().is_loopback() {
            eyre::bail!(
                "admin address {} is not loopback, and neither admin-token-file nor {TOKEN_ENV_VAR} is set",
                cfg.admin
            );
        }
        Ok(Startup { cfg, fleet_secret, admin_token })
    }
}

fn read_secret(path: &Path) -> eyre::Result<Arc<[u8]>> {
    let text = read(path)?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET_BYTES {
        eyre::bail!("{}: the fleet secret has fewer than {MIN_SECRET_BYTES} bytes", path.display());
    }
    Ok(secret.as_bytes().into())
}

/// Returns the operators' admin token from the file named in the settings, or
/// else from the environment.
fn admin_token(cfg: &Settings) -> eyre::Result<Option<Arc<str>>> {
    let (origin, text) = match &cfg.admin_token_file {
        Some(path) => (path.display().to_string(), Some(read(path)?)),
        None => (TOKEN_ENV_VAR.to_owned(), env::var(TOKEN_ENV_VAR).ok()),
    };
    let Some(text) = text else { return Ok(None) };
    let token = text.trim();
    if token.is_empty() {
        eyre::bail!("{origin}: the admin token is empty");
    }
    Ok(Some(token.into()))
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}
