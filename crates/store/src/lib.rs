//! The platform's table service and object store: typed calls, budget and HTTP driver.

pub mod call;
