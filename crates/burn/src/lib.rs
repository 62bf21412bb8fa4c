//! Service-level objectives: error budget, burn rates and reports.
