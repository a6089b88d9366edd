//! Automation: `cargo xtask ci | codegen | demo | bench`.

mod codegen;

fn main() -> eyre::Result<()> {
    codegen::run()
}
