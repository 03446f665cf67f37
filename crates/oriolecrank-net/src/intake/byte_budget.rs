//! Bytes that the clients of a process may make it hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use snafu::{OptionExt as _, Snafu};

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
    /// Sum of the charges of all leases of this budget and of its parts. At most `capacity`, except
    /// for what [`ByteLease::count`] adds.
    used: AtomicUsize,
    /// Highest use since the last call of [`ByteBudget::take_peak`].
    peak: AtomicUsize,
    /// Budget that this one is a part of. A charge here is a charge there too.
    whole: Option<ByteBudget>,
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self::with_whole(capacity, None)
    }

    /// Creates a part of this budget with a limit of its own. What is held in it counts in both.
    #[must_use]
    pub fn part(&self, capacity: usize) -> Self {
        Self::with_whole(capacity, Some(self.clone()))
    }

    fn with_whole(capacity: usize, whole: Option<Self>) -> Self {
        Self(Arc::new(BudgetState {
            capacity,
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            whole,
        }))
    }

    /// Largest number of bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.0.capacity
    }

    /// Bytes that are held now.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Highest number of bytes held at a time since the last call.
    pub fn take_peak(&self) -> usize {
        let used = self.used();
        self.0.peak.swap(used, Ordering::Relaxed).max(used)
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

    /// Adds `growth` bytes, here and in the whole, if both stay within their limits for an item of
    /// `bytes` bytes.
    fn charge(&self, growth: usize, bytes: usize) -> Result<(), NoRoom> {
        let (state, limit) = (&self.0, self.limit_for(bytes));
        let grown = state
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(growth).filter(|used| *used <= limit)
            });
        let used = grown.ok().context(NoRoomSnafu)? + growth;
        if let Some(whole) = &state.whole
            && let Err(error) = whole.charge(growth, bytes)
        {
            state.used.fetch_sub(growth, Ordering::Relaxed);
            return Err(error);
        }
        state.peak.fetch_max(used, Ordering::Relaxed);
        Ok(())
    }

    /// Adds `growth` bytes, also beyond the limit.
    fn add(&self, growth: usize) {
        let used = self.0.used.fetch_add(growth, Ordering::Relaxed) + growth;
        self.0.peak.fetch_max(used, Ordering::Relaxed);
        if let Some(whole) = &self.0.whole {
            whole.add(growth);
        }
    }

    fn release(&self, bytes: usize) {
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.0.whole {
            whole.release(bytes);
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
        self.budget.charge(charge - self.charge, bytes)?;
        self.charge = charge;
        Ok(())
    }

    /// Ties the lease to the bytes that it counts, until their last clone is dropped.
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        })
    }

    /// Changes the size of the item to one that is bounded elsewhere, also beyond the limit. Small
    /// items count as well.
    pub fn count(&mut self, bytes: usize) {
        if bytes <= self.charge {
            self.release(self.charge - bytes);
        } else {
            self.budget.add(bytes - self.charge);
            self.charge = bytes;
        }
    }

    fn release(&mut self, bytes: usize) {
        if bytes > 0 {
            self.budget.release(bytes);
            self.charge -= bytes;
        }
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.release(self.charge);
    }
}

/// Bytes with the lease that counts them.
struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: ByteLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
