//! Small specifications of the core protocols, checked over all reachable states.
