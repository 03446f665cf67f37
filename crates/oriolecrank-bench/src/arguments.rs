//! Command-line arguments of the benchmark program.

use std::ffi::OsString;

use lexopt::prelude::{Long, Value, ValueExt as _};

/// Arguments shared by all measurements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchArguments {
    /// Measurement to run, the first positional argument; empty if absent.
    pub measure: String,
    /// First seed of the random numbers.
    pub seed: u64,
    /// Number of consecutive seeds to run, starting at `seed`.
    pub seeds: u64,
    /// Scenario to run; `None` runs all.
    pub scenario: Option<String>,
    /// Scenario variant to run; `None` runs all.
    pub variant: Option<String>,
    /// Whether to run smaller sizes, which only check that a measurement works.
    pub quick: bool,
    /// Input files of `report`, the remaining positional arguments.
    pub files: Vec<OsString>,
}

impl Default for BenchArguments {
    fn default() -> Self {
        Self {
            measure: String::new(),
            seed: 1,
            seeds: 1,
            scenario: None,
            variant: None,
            quick: false,
            files: Vec::new(),
        }
    }
}

impl BenchArguments {
    /// Parses the arguments; fails on an unknown flag or an invalid value.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut arguments = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => arguments.seed = parser.value()?.parse()?,
                Long("seeds") => arguments.seeds = parser.value()?.parse()?,
                Long("scenario") => arguments.scenario = Some(parser.value()?.string()?),
                Long("variant") => arguments.variant = Some(parser.value()?.string()?),
                Long("quick") => arguments.quick = true,
                // Every measurement prints JSON lines, so the flag changes nothing.
                Long("json") => {}
                Value(value) if arguments.measure.is_empty() => {
                    arguments.measure = value.string()?;
                }
                Value(value) => arguments.files.push(value),
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }
}
