//! The life of one request: attempts, offsets, tickets and tokens.
