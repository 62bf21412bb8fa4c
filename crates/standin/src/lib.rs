//! Small fakes of the outside systems, with faults that a test can order.
