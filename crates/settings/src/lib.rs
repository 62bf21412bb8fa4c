//! Settings of an entry: reading, checking, schema and documentation.
