//! A measured value, printed as one line of JSON.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A measured value and its target.
#[derive(Debug, Clone, Serialize)]
pub struct Measurement {
    /// Name of the measured quantity.
    pub measure: String,
    /// Parameters of the measurement, such as the number of subscribers.
    pub size: Map<String, Value>,
    /// Measured value.
    pub value: f64,
    /// Unit of the value and of the target.
    pub unit: &'static str,
    /// Target of the value; `None` if the value is only reported.
    pub target: Option<Target>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Bound that a value must meet.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The value must not exceed the bound.
    AtMost(f64),
    /// The value must not be below the bound.
    AtLeast(f64),
}

impl Target {
    /// The bound without its direction.
    pub const fn bound(self) -> f64 {
        match self {
            Self::AtMost(bound) | Self::AtLeast(bound) => bound,
        }
    }
}

impl Measurement {
    /// Whether the target is met; true without a target.
    pub fn passed(&self) -> bool {
        match self.target {
            None => true,
            Some(Target::AtMost(bound)) => self.value <= bound,
            Some(Target::AtLeast(bound)) => self.value >= bound,
        }
    }

    /// Prints the measurement as one line of JSON and returns whether the target is met.
    pub fn print(&self) -> bool {
        println!(
            "{}",
            serde_json::to_string(self).expect("measurements encode as JSON")
        );
        self.passed()
    }
}

/// Builds [`Measurement::size`] from names and numbers.
pub fn size<const N: usize>(entries: [(&str, u64); N]) -> Map<String, Value> {
    entries
        .into_iter()
        .map(|(name, value)| (name.to_owned(), Value::from(value)))
        .collect()
}
