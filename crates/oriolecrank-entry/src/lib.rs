//! Entry of oriolecrank: the instances between callers and upstreams.
//!
//! An [`EntryProcess`] subscribes to the control group ([`EntryState`] is what it has in force),
//! takes callers' requests, chooses an upstream and passes the whole answer on. [`AttemptStream`]
//! reads one attempt from an agent and continues on a new connection when the old one goes silent.

mod attempt_stream;
mod caller_answer;
mod caller_server;
mod entry_state;
mod options;
mod process;
mod request_parser;
mod subscription;

pub use attempt_stream::{AttemptError, AttemptEvent, AttemptStream};
pub use entry_state::EntryState;
pub use options::EntryOptions;
pub use process::{EntryError, EntryProcess};
