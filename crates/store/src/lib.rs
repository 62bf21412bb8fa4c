//! The platform table service and object store: typed calls, budget and HTTP driver.
