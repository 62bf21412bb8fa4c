//! What callers embed to reach the system.
