//! The entry daemon: carries events into the reducer and effects out of it.
