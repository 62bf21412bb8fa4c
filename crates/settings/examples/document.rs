//! Generates docs/SETTINGS.md and docs/settings.schema.json from the settings structs.
//!
//! `cargo run -p settings --example document`

use std::fs;
use std::io;
use std::path::Path;

use settings::document;

fn main() -> io::Result<()> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::write(docs.join("SETTINGS.md"), document::page())?;
    fs::write(docs.join("settings.schema.json"), document::schema_file())
}
