//! Settings as text: effective ones, one explained, and the page for operators.
