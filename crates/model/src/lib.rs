//! Small specifications of the core protocols, checked over all reachable states.
//!
//! A specification is written apart from the code it is about: its own few state variables, every
//! step that may happen, and what must always hold. [`checker::check`] visits every state that can
//! be reached within the bounds stated in the specification. Each specification has faulty variants
//! that leave out one guard; the checker must find what goes wrong then, else it proves nothing.

pub mod acceptance;
pub mod checker;
pub mod lease;
pub mod ticket;
