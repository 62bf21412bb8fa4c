//! Generates `src/peer_capnp.rs` from the schema. Requires the `capnp` tool, which the build doesn't.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let crate_root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    capnpc::CompilerCommand::new()
        .src_prefix(crate_root.join("schema"))
        .file(crate_root.join("schema/peer.capnp"))
        .output_path(crate_root.join("src"))
        .run()?;
    Ok(())
}
