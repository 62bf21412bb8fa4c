//! Small specifications of the core protocols, checked over all reachable states.
//!
//! A specification is independent of the code that implements the protocol: it has a few state variables of
//! its own, all possible steps, and an invariant. [`checker::check`] visits every state that is reachable
//! within the bounds of the specification. Each specification has faulty variants that omit one guard. The
//! checker must find a violation in each of them; otherwise passing the check proves nothing.

pub mod acceptance;
pub mod checker;
pub mod lease;
pub mod ticket;
