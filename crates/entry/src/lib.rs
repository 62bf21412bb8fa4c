//! The reducer of one entry: all events in, effects out.
