//! Rocket configuration of the stand-ins: no log output and no signal handling.

use std::net::SocketAddr;

use rocket::{Build, Config, Rocket, config::LogLevel, config::Shutdown};

/// Returns a server without routes that will listen on `address`.
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
