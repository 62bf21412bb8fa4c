//! Leases with fencing numbers over the table service.
