//! Expected output length of an account's answers.

/// Mean output length of an account's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: Option<f64>,
}

impl Estimate {
    /// Returns the expected output tokens of a job that may generate at most `limit`.
    pub fn expect(&self, limit: u32) -> u32 {
        let mean = self.mean.unwrap_or(f64::from(limit) / 2.0);
        (mean as u32).clamp(1, limit.max(1))
    }

    /// Records a complete answer.
    pub fn record(&mut self, tokens: u32, smoothing: f64) {
        let tokens = f64::from(tokens);
        let mean = self.mean.get_or_insert(tokens);
        *mean += smoothing * (tokens - *mean);
    }
}
