//! Bytes that the clients of a process may make it hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use snafu::{Snafu, ensure};

/// Largest item that needs no room, in bytes. Heartbeats and most calls fit, so that no crowd shuts
/// them out; the limit on connections bounds their sum.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// Largest item that may use the whole budget, in bytes. Larger ones leave a quarter of it.
const SMALL_BYTES: usize = 128 * 1024;

/// The budget has no room for the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("what is held for clients uses up its memory"))]
pub struct NoRoom;

/// Limit on the bytes that are held at a time. Clones share the limit.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    capacity: usize,
    /// Sum of the charges of all leases; at most `capacity`.
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let used = AtomicUsize::new(0);
        Self(Arc::new(BudgetState { capacity, used }))
    }

    /// Largest number of bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.0.capacity
    }

    /// Bytes that are held now.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Largest item for which there is room in an empty budget, in bytes.
    pub fn largest_item(&self) -> usize {
        self.limit_for(usize::MAX).max(SMALL_BYTES)
    }

    /// Starts an item that holds no bytes yet.
    pub fn lease(&self) -> ByteLease {
        ByteLease {
            budget: self.clone(),
            charge: 0,
        }
    }

    fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES {
            self.0.capacity
        } else {
            self.0.capacity / 4 * 3
        }
    }
}

/// Share of a [`ByteBudget`] that one item uses; dropping it gives the share back.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    /// Bytes that count in the budget.
    charge: usize,
}

impl ByteLease {
    /// Changes the size of the item. Fails if the budget has no room; the size then stays.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let charge = if bytes <= UNCOUNTED_BYTES { 0 } else { bytes };
        if charge <= self.charge {
            self.release(self.charge - charge);
            return Ok(());
        }
        let (growth, limit) = (charge - self.charge, self.budget.limit_for(bytes));
        let state = &self.budget.0;
        let grown = state
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(growth).filter(|used| *used <= limit)
            });
        ensure!(grown.is_ok(), NoRoomSnafu);
        self.charge = charge;
        Ok(())
    }

    fn release(&mut self, bytes: usize) {
        if bytes > 0 {
            self.budget.0.used.fetch_sub(bytes, Ordering::Relaxed);
            self.charge -= bytes;
        }
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.release(self.charge);
    }
}
