//! Limit on the connections of a listener.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::Extensions;
use indexmap::IndexMap;
use tokio::sync::Notify;

/// What the listener knows of one connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Whether a complete head has arrived on it.
    has_served: AtomicBool,
    /// Whether the body of a request is awaited on it.
    awaits_body: AtomicBool,
    /// Tells the connection to close.
    pub(crate) closing: Notify,
}

impl ConnectionState {
    /// Records that a complete head has arrived.
    pub(crate) fn mark_served(&self) {
        self.has_served.store(true, Ordering::Relaxed);
    }

    /// Records whether the body of a request is awaited.
    fn set_awaits_body(&self, awaits_body: bool) {
        self.awaits_body.store(awaits_body, Ordering::Relaxed);
    }

    /// Whether the first head or the body of a request is incomplete, so that closing the connection
    /// breaks off nothing that runs.
    fn is_incomplete(&self) -> bool {
        !self.has_served.load(Ordering::Relaxed) || self.awaits_body.load(Ordering::Relaxed)
    }
}

/// The connection of a request, among the extensions of the request.
#[derive(Debug, Clone)]
pub(crate) struct RequestConnection(pub(crate) Arc<ConnectionState>);

/// Says that the body of a request is being read, until it is dropped. Meanwhile the request has not
/// begun to run, so the listener may close its connection to admit another one.
#[derive(Debug)]
pub struct BodyAwaited(Option<Arc<ConnectionState>>);

impl BodyAwaited {
    /// Begins to await the body of the request with these extensions.
    pub fn new(extensions: &Extensions) -> Self {
        let connection = extensions.get::<RequestConnection>();
        let state = connection.map(|RequestConnection(state)| Arc::clone(state));
        if let Some(state) = &state {
            state.set_awaits_body(true);
        }
        Self(state)
    }
}

impl Drop for BodyAwaited {
    fn drop(&mut self) {
        if let Some(state) = &self.0 {
            state.set_awaits_body(false);
        }
    }
}

/// Connections of a listener, at most a fixed number.
///
/// A new connection takes the place of the oldest one on which no complete head has arrived yet, or
/// the body of a request is incomplete, so that clients that send unfinished requests, or nothing, do
/// not shut others out.
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
            let incomplete = self.open.iter().filter(|(_, state)| state.is_incomplete());
            let oldest = *incomplete.map(|(number, _)| number).min()?;
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
