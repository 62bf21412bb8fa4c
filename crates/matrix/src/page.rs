//! docs/FAULTS.md, drawn from the cells and how they went.
