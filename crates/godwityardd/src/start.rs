//! What the daemon reads from files at its start.

use std::{fs, path::Path, sync::Arc};

use documents::Settings;
use eyre::WrapErr;

/// Shortest fleet secret accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Settings with the contents of the files they name.
pub struct Start {
    pub cfg: Settings,
    pub fleet_secret: Option<Arc<[u8]>>,
    pub admin_token: Option<Arc<str>>,
}

impl Start {
    pub fn load(path: &Path) -> eyre::Result<Start> {
        let text = read(path)?;
        let cfg = documents::parse_settings(&path.display().to_string(), &text)?;
        let fleet_secret = cfg.fleet_secret_file.as_deref().map(read_secret).transpose()?;
        let admin_token = cfg.admin_token_file.as_deref().map(read_token).transpose()?;
        if admin_token.is_none() && !cfg.admin.ip().is_loopback() {
            eyre::bail!(
                "admin address {} is not loopback and no admin-token-file is set",
                cfg.admin
            );
        }
        Ok(Start { cfg, fleet_secret, admin_token })
    }
}

fn read_secret(path: &Path) -> eyre::Result<Arc<[u8]>> {
    let text = read(path)?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET_BYTES {
        eyre::bail!("{}: the secret has fewer than {MIN_SECRET_BYTES} bytes", path.display());
    }
    Ok(secret.as_bytes().into())
}

fn read_token(path: &Path) -> eyre::Result<Arc<str>> {
    let text = read(path)?;
    let token = text.trim();
    if token.is_empty() {
        eyre::bail!("{}: the token is empty", path.display());
    }
    Ok(token.into())
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}
