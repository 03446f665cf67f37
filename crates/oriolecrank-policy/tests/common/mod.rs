//! Configuration shared by the test files.

use proptest::test_runner::{Config, RngSeed};

/// Property-test configuration with a fixed seed, so that each run tries the same cases.
pub fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x0510_1E5E),
        failure_persistence: None,
        ..Config::default()
    }
}
