//! The schema as a list that can be compared with that of a release.

use std::collections::BTreeSet;
use std::path::Path;

/// Every field, call and enumeration value of the schema, one a line.
pub fn all() -> BTreeSet<String> {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let set = protox::compile(["dogwoodspur.proto"], [proto]).expect("a sound schema");
    let mut lines = BTreeSet::new();
    for file in &set.file {
        for message in &file.message_type {
            for field in &message.field {
                let line = format!(
                    "{}.{} {} {:?} {:?} {}",
                    message.name(),
                    field.name(),
                    field.number(),
                    field.label(),
                    field.r#type(),
                    field.type_name()
                );
                lines.insert(line.trim_end().to_owned());
            }
        }
        for service in &file.service {
            for call in &service.method {
                let (input, output) = (call.input_type(), call.output_type());
                lines.insert(format!(
                    "{}.{} {input} {output}",
                    service.name(),
                    call.name()
                ));
            }
        }
        for group in &file.enum_type {
            for value in &group.value {
                lines.insert(format!("{} {}", value.name(), value.number()));
            }
        }
    }
    lines
}
