//! Small fakes of the systems around oriolecrank, for tests, measurements and the local demo.
//!
//! [`FakeEngine`] answers OpenAI-style completions, [`FakeLedger`] is a plain service whose entries
//! can be counted. Faults are switched on through [`EngineFaults`].

mod fake_engine;
mod fake_ledger;

pub use fake_engine::{CRASH_MARKER, EngineFaults, EngineOptions, FakeEngine, expected_text};
pub use fake_ledger::{FakeLedger, LedgerEntry};
