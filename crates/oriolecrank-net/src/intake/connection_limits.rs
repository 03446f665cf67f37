//! Limit on the connections of a listener.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use indexmap::IndexMap;
use tokio::sync::Notify;

/// What the listener knows of one connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Whether a complete head has arrived on it.
    has_served: AtomicBool,
    /// Tells the connection to close.
    pub(crate) closing: Notify,
}

impl ConnectionState {
    /// Records that a complete head has arrived.
    pub(crate) fn mark_served(&self) {
        self.has_served.store(true, Ordering::Relaxed);
    }

    fn has_served(&self) -> bool {
        self.has_served.load(Ordering::Relaxed)
    }
}

/// Connections of a listener, at most a fixed number.
///
/// A new connection takes the place of the oldest one on which no complete head has arrived yet, so
/// that clients that send unfinished heads, or nothing, do not shut others out.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    limit: usize,
    next_number: u64,
    /// Open connections by number, at most `limit`.
    open: IndexMap<u64, Arc<ConnectionState>>,
}

impl ConnectionTable {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            next_number: 0,
            open: IndexMap::new(),
        }
    }

    /// Admits a connection and returns its number; `None` if it must be closed at once.
    pub(crate) fn admit(&mut self) -> Option<(u64, Arc<ConnectionState>)> {
        if self.open.len() >= self.limit {
            // Connections whose tasks have ended without a result hold their state no more.
            self.open.retain(|_, state| Arc::strong_count(state) > 1);
        }
        if self.open.len() >= self.limit {
            let unserved = self.open.iter().filter(|(_, state)| !state.has_served());
            let oldest = *unserved.map(|(number, _)| number).min()?;
            if let Some(state) = self.open.swap_remove(&oldest) {
                state.closing.notify_one();
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let state = Arc::new(ConnectionState::default());
        self.open.insert(number, Arc::clone(&state));
        Some((number, state))
    }

    /// Removes a connection that has closed.
    pub(crate) fn remove(&mut self, number: u64) {
        self.open.swap_remove(&number);
    }
}
