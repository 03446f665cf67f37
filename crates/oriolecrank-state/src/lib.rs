//! Configuration documents and the replicated state machine of oriolecrank.
//!
//! - [`document`] parses, validates and compares configuration documents. [`CheckedDocument`] is a
//!   valid document with the lookup tables that the request path needs.
//!
//! - [`ClusterState`] applies committed commands and returns their outcomes. It is deterministic:
//!   time comes only from the log entry. [`ClusterState::query`] answers reads,
//!   [`ClusterState::changes_since`] feeds subscribers, and snapshots carry the whole state.
//!
//! Every table is bounded by constants in [`cluster`].
//!
//! ```
//! use oriolecrank_schema::control::{Command, CommandOutcome, LoggedCommand};
//! use oriolecrank_state::{ClusterState, LogIndex};
//!
//! let mut state = ClusterState::default();
//! let entry = LoggedCommand { time_ms: 1_000, term: 1, command: Command::CloseWindow };
//! // The first command opens the first usage window, so it is too early to close it.
//! assert_eq!(state.apply(LogIndex(1), entry), CommandOutcome::Unchanged);
//!
//! let restored = ClusterState::decode_snapshot(&state.encode_snapshot())?;
//! assert_eq!(restored.applied_index(), LogIndex(1));
//! # Ok::<(), oriolecrank_state::cluster::SnapshotError>(())
//! ```
//!
//! The crate performs no I/O and reads no clock.

pub mod cluster;
pub mod document;

pub use cluster::{ClusterState, LogIndex, StateChange};
pub use document::{CheckedDocument, Revision};
