//! Automation: `cargo xtask ci | codegen | demo | bench`.

fn main() {}
