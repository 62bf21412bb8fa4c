//! Latency histograms by hour.

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;
use serde::de::Error;

use crate::report::Quantiles;

/// Significant digits: quantiles are exact to 1 in 100, which is finer than targets differ.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum latency, milliseconds: an hour, the longest target. Longer latencies are recorded as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Latencies by hour, milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Latency {
    /// Sorted by the number of the hour since 1970, each at most once.
    hours: Vec<(u64, Hour)>,
}

/// Latencies of one hour, serialized as hexadecimal digits of the HDR histogram V2 encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
struct Hour(Histogram<u32>);

impl Latency {
    /// Records one latency.
    pub fn record(&mut self, hour: u64, millis: u64) {
        let Some(histogram) = self.histogram_mut(hour) else {
            return;
        };
        // The histogram resizes itself up to the maximum latency, so that this can't fail.
        let _ = histogram.record(millis.min(MAX_LATENCY_MS));
    }

    /// Merges all hours of another set of latencies.
    pub fn merge(&mut self, other: &Latency) {
        for (hour, latencies) in &other.hours {
            self.add_hour(*hour, latencies);
        }
    }

    /// Drops hours before `first`.
    pub fn trim(&mut self, first: u64) {
        self.hours.retain(|(hour, _)| *hour >= first);
    }

    /// Returns the quantiles over all hours from `first` on; zeros without any latency.
    pub fn quantiles_since(&self, first: u64) -> Quantiles {
        let mut sum = Latency::default();
        for (_, latencies) in self.hours.iter().filter(|(hour, _)| *hour >= first) {
            sum.add_hour(0, latencies);
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

    /// Adds latencies to an hour.
    fn add_hour(&mut self, hour: u64, latencies: &Hour) {
        if let Some(histogram) = self.histogram_mut(hour) {
            // The histogram resizes itself, so that the addition can't exceed its range.
            let _ = histogram.add(&latencies.0);
        }
    }

    /// Returns the histogram of an hour, creating it if necessary.
    fn histogram_mut(&mut self, hour: u64) -> Option<&mut Histogram<u32>> {
        let index = match self.hours.binary_search_by_key(&hour, |item| item.0) {
            Ok(index) => index,
            Err(index) => {
                let mut histogram = Histogram::new(SIGNIFICANT_DIGITS).ok()?;
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
        // Serializing into memory fails only for values that a 32-bit counter can't hold.
        let _ = V2Serializer::new().serialize(&hour.0, &mut bytes);
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl TryFrom<String> for Hour {
    type Error = serde_json::Error;

    fn try_from(text: String) -> Result<Hour, serde_json::Error> {
        let bytes =
            decode_hex(&text).ok_or_else(|| serde_json::Error::custom("not hexadecimal"))?;
        let mut histogram: Histogram<u32> = Deserializer::new()
            .deserialize(&mut bytes.as_slice())
            .map_err(|error| serde_json::Error::custom(format!("invalid histogram: {error}")))?;
        histogram.auto(true);
        Ok(Hour(histogram))
    }
}

/// Decodes hexadecimal digits.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.map(byte).collect()
}
