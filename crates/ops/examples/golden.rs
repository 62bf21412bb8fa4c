//! Writes missing golden files; existing ones are never overwritten.
//!
//! `cargo run -p ops --example golden`

#[path = "../tests/support/fields.rs"]
mod fields;
#[path = "../tests/support/messages.rs"]
mod messages;

use std::fs;
use std::io;
use std::path::Path;

fn main() -> io::Result<()> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    for (name, bytes) in messages::samples() {
        write_new(&directory.join(format!("{name}.bin")), &bytes)?;
    }
    let fields: Vec<String> = fields::all().into_iter().collect();
    let release =
        env!("CARGO_PKG_VERSION_MAJOR").to_owned() + "." + env!("CARGO_PKG_VERSION_MINOR");
    let name = format!("fields-{release}.txt");
    write_new(&directory.join(name), (fields.join("\n") + "\n").as_bytes())
}

/// Writes a file unless it exists.
fn write_new(file: &Path, bytes: &[u8]) -> io::Result<()> {
    if file.exists() {
        return Ok(());
    }
    fs::write(file, bytes)
}
