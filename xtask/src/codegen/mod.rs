//! `cargo xtask codegen`: generates the Cap'n Proto code from the schemas.
//!
//! Needs the `capnp` program. The generated code is committed, so that builds
//! do not need it.

use eyre::WrapErr;

const SCHEMA_DIR: &str = "crates/peer/schema";
const OUTPUT_DIR: &str = "crates/peer/src/generated";
const SCHEMAS: [&str; 2] = ["peer.capnp", "fleet.capnp"];

pub fn run() -> eyre::Result<()> {
    let mut command = capnpc::CompilerCommand::new();
    command
        .src_prefix(SCHEMA_DIR)
        .output_path(OUTPUT_DIR)
        .default_parent_module(vec!["generated".to_owned()]);
    for schema in SCHEMAS {
        command.file(format!("{SCHEMA_DIR}/{schema}"));
    }
    command.run().wrap_err("the Cap'n Proto compiler failed; is `capnp` installed?")
}
