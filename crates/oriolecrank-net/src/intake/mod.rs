//! Bounds on what clients can make a process hold.
//!
//! [`IntakeSettings`] states the memory and the descriptors of the process; all limits follow from
//! them. A [`ByteBudget`] bounds the bytes that all clients together make the process hold, and
//! [`read_body_within`] reads a body under it. [`ConnectionTable`] bounds the connections of a
//! listener.

mod body_memory;
mod body_reader;
mod bounded_stream;
mod budget_metric;
mod byte_budget;
mod connection_limits;
mod memory_holders;

use oriolecrank_schema::settings::IntakeTable;

use crate::settings_file::{SettingsError, invalid_value};

pub use body_reader::{
    BodyBuffer, BodyError, BodyLimits, BodyPace, DiscardLimits, discard_body, read_body_within,
};
pub(crate) use bounded_stream::BoundedStream;
pub use byte_budget::{ByteBudget, ByteLease, NoRoom};
pub use connection_limits::BodyAwaited;
pub(crate) use connection_limits::{ConnectionState, ConnectionTable, RequestConnection};
pub use memory_holders::{HolderUse, MemoryHolders};

/// Descriptors that a process needs for files and for what it opens at its start.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Memory that a process needs without clients, in bytes.
const PROGRAM_BYTES: u64 = 16 * 1024 * 1024;

/// Memory that a connection of a client may hold outside the budget, in bytes: its first buffers and
/// its task, the fields of a request, a body or a trailer that does not count, and the handler.
const CONNECTION_BYTES: u64 = 56 * 1024;

/// Smallest memory with which the largest body that the platform's pages allow has room, in bytes.
const MIN_MEMORY_BYTES: u64 = 32 * 1024 * 1024;

/// Smallest number of descriptors with which each listener gets a connection for each of a few
/// dozen clients.
const MIN_DESCRIPTORS: u64 = 300;

/// Resources of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeSettings {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Descriptors that the process may open, with those for files.
    pub max_descriptors: u64,
}

impl Default for IntakeSettings {
    /// Resources of the smallest instance of the platform.
    fn default() -> Self {
        Self {
            memory_bytes: 160 * 1024 * 1024,
            max_descriptors: 4_100,
        }
    }
}

impl IntakeSettings {
    /// The setting that is too small to serve with, and its least value.
    pub const fn shortfall(&self) -> Option<(&'static str, u64)> {
        if self.memory_bytes < MIN_MEMORY_BYTES {
            return Some(("intake.memory_mb", MIN_MEMORY_BYTES / (1024 * 1024)));
        }
        if self.max_descriptors < MIN_DESCRIPTORS {
            return Some(("intake.max_descriptors", MIN_DESCRIPTORS));
        }
        None
    }

    /// Budget for the requests of clients and the answers that are held for them: three eighths of
    /// the memory besides that of the program. Connections and messages between instances have the
    /// rest.
    pub fn client_budget(&self) -> ByteBudget {
        ByteBudget::new((self.shared_bytes() / 8 * 3) as usize)
    }

    /// Budget for messages between instances, which no client uses: an eighth of the memory besides
    /// that of the program.
    pub fn peer_budget(&self) -> ByteBudget {
        ByteBudget::new((self.shared_bytes() / 8) as usize)
    }

    /// Memory besides that of the program, in bytes.
    pub const fn shared_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(PROGRAM_BYTES)
    }

    /// Connections of clients: two thirds of the descriptors for sockets, and as many as fill half of
    /// the memory besides that of the program. Connections to upstreams and between instances use the
    /// rest.
    pub fn client_connections(&self) -> usize {
        let for_memory = self.shared_bytes() / 2 / CONNECTION_BYTES;
        (self.socket_descriptors() / 3 * 2).min(for_memory) as usize
    }

    /// Connections of other instances: a sixth of the descriptors for sockets.
    pub const fn peer_connections(&self) -> usize {
        (self.socket_descriptors() / 6) as usize
    }

    /// Connections of readiness probes or of metrics: a 24th of the descriptors for sockets.
    pub const fn probe_connections(&self) -> usize {
        (self.socket_descriptors() / 24) as usize
    }

    const fn socket_descriptors(&self) -> u64 {
        self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }
}

impl TryFrom<IntakeTable> for IntakeSettings {
    type Error = SettingsError;

    fn try_from(table: IntakeTable) -> Result<Self, SettingsError> {
        let settings = Self {
            memory_bytes: table.memory_mb.saturating_mul(1024 * 1024),
            max_descriptors: table.max_descriptors,
        };
        match settings.shortfall() {
            Some((key, least)) => Err(invalid_value(key, format!("must be at least {least}"))),
            None => Ok(settings),
        }
    }
}
