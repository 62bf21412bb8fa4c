//! What an account's answers cost.

/// An account's mean output length, from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: Option<f64>,
}

impl Estimate {
    /// Output tokens to expect of a job that may generate `most`.
    pub fn expect(&self, most: u32) -> u32 {
        let mean = self.mean.unwrap_or(f64::from(most) / 2.0);
        (mean as u32).clamp(1, most.max(1))
    }

    /// Notes a whole answer.
    pub fn record(&mut self, tokens: u32, smoothing: f64) {
        let tokens = f64::from(tokens);
        let mean = self.mean.get_or_insert(tokens);
        *mean += smoothing * (tokens - *mean);
    }
}
