//! The fault matrix and random histories over the reducer.
