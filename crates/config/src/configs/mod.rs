//! Settings of the agreement.

pub mod agreement;
