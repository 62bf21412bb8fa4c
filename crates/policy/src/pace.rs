//! How fast requests may be handed to a replica in need.

/// Requests in a thousand seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(pub u32);

impl Rate {
    /// So many requests a second; none for what is no rate.
    pub fn per_second(requests: f64) -> Option<Rate> {
        const UNITS: f64 = 1_000.0;
        let valid = requests.is_finite() && requests >= 0.0;
        valid.then(|| Rate((requests * UNITS).min(f64::from(u32::MAX)) as u32))
    }

    /// Requests a second.
    pub fn in_seconds(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
