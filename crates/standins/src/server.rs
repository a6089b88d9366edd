//! Rocket as the stand-ins use it: quiet, and without signal handling.

use std::net::SocketAddr;

use rocket::{Build, Config, Rocket, config::LogLevel, config::Shutdown};

/// An empty server that will listen on `address`.
pub fn new_rocket(address: SocketAddr) -> Rocket<Build> {
    let shutdown = Shutdown { ctrlc: false, grace: 0, mercy: 0, ..Shutdown::default() };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    };
    rocket::custom(config)
}
