//! The schema as a list that can be compared with that of a release.

use std::collections::BTreeSet;
use std::path::Path;

/// Returns every field, call and enum value of the schema, one per line.
pub fn all() -> BTreeSet<String> {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let descriptors = protox::compile(["dogwoodspur.proto"], [proto]).expect("a valid schema");
    let mut lines = BTreeSet::new();
    for file in &descriptors.file {
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
        for enumeration in &file.enum_type {
            for value in &enumeration.value {
                lines.insert(format!("{} {}", value.name(), value.number()));
            }
        }
    }
    lines
}
