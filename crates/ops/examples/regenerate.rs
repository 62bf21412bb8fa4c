//! Regenerates the code in `src/generated` from the schema; protoc isn't needed.
//!
//! `cargo run -p ops --example regenerate`
//!
//! The library must compile for this: run it after changing the schema and before writing code that
//! uses the new fields.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let descriptors = protox::compile(["dogwoodspur.proto"], [&proto])?;
    tonic_prost_build::configure()
        .emit_rerun_if_changed(false)
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
