//! Latencies by hour, as histograms.

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;
use serde::de::Error;

use crate::report::Quantiles;

/// Significant digits: quantiles are within 1 in 100, well below what a target tells apart.
const DIGITS: u8 = 2;
/// Longest latency told apart, milliseconds: an hour, the longest target. Longer ones count as it.
const LONGEST_MS: u64 = 3_600_000;

/// Latencies by hour, milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Latency {
    /// Rising by the hour's number since 1970; each number at most once.
    hours: Vec<(u64, Hour)>,
}

/// Latencies of one hour; written as hexadecimal digits of the library's own compact form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
struct Hour(Histogram<u32>);

impl Latency {
    /// Counts one latency.
    pub fn record(&mut self, hour: u64, millis: u64) {
        let Some(histogram) = self.hour(hour) else {
            return;
        };
        // The histogram grows by itself up to the longest latency, so that this can't fail.
        let _ = histogram.record(millis.min(LONGEST_MS));
    }

    /// Adds all hours of another.
    pub fn merge(&mut self, other: &Latency) {
        for (hour, more) in &other.hours {
            self.add(*hour, more);
        }
    }

    /// Forgets hours before the first that is wanted.
    pub fn trim(&mut self, first: u64) {
        self.hours.retain(|(hour, _)| *hour >= first);
    }

    /// Quantiles from an hour on; zeros if nothing was counted.
    pub fn quantiles_since(&self, first: u64) -> Quantiles {
        let mut sum = Latency::default();
        for (_, more) in self.hours.iter().filter(|(hour, _)| *hour >= first) {
            sum.add(0, more);
        }
        match sum.hours.first() {
            None => Quantiles::default(),
            Some((_, Hour(histogram))) => Quantiles {
                p50: histogram.value_at_quantile(0.50),
                p95: histogram.value_at_quantile(0.95),
                p99: histogram.value_at_quantile(0.99),
            },
        }
    }

    /// Adds to an hour.
    fn add(&mut self, hour: u64, more: &Hour) {
        if let Some(histogram) = self.hour(hour) {
            // It grows by itself, so that adding can't fail for want of range.
            let _ = histogram.add(&more.0);
        }
    }

    /// The histogram of an hour.
    fn hour(&mut self, hour: u64) -> Option<&mut Histogram<u32>> {
        let index = match self.hours.binary_search_by_key(&hour, |item| item.0) {
            Ok(index) => index,
            Err(index) => {
                let mut histogram = Histogram::new(DIGITS).ok()?;
                histogram.auto(true);
                self.hours.insert(index, (hour, Hour(histogram)));
                index
            }
        };
        self.hours.get_mut(index).map(|(_, hour)| &mut hour.0)
    }
}

impl From<Hour> for String {
    fn from(hour: Hour) -> String {
        let mut bytes = Vec::new();
        // Writing into memory fails only for values that a 32-bit counter can't hold.
        let _ = V2Serializer::new().serialize(&hour.0, &mut bytes);
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl TryFrom<String> for Hour {
    type Error = serde_json::Error;

    fn try_from(text: String) -> Result<Hour, serde_json::Error> {
        let bytes = bytes(&text).ok_or_else(|| serde_json::Error::custom("not hexadecimal"))?;
        let mut histogram: Histogram<u32> = Deserializer::new()
            .deserialize(&mut bytes.as_slice())
            .map_err(|error| serde_json::Error::custom(format!("no histogram: {error}")))?;
        histogram.auto(true);
        Ok(Hour(histogram))
    }
}

/// Reads hexadecimal digits.
fn bytes(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.map(byte).collect()
}
