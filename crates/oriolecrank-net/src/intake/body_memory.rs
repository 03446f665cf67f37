//! Memory of one body.

use std::io;

use memmap2::MmapMut;

/// Largest body on the heap, in bytes. Larger ones have pages of their own, which go back to the
/// system as soon as the body is dropped; the allocator keeps freed memory for other sizes.
const MAX_HEAP_BYTES: usize = 16 * 1024;

/// First allocation on the heap, in bytes.
const FIRST_HEAP_BYTES: usize = 4 * 1024;

/// Unit in which mapped memory counts, in bytes.
const MAPPED_STEP_BYTES: usize = 16 * 1024;

/// Bytes of a body that arrives piece by piece.
#[derive(Debug)]
pub(crate) enum BodyMemory {
    /// A short body.
    Heap(Vec<u8>),
    /// A long body. The system provides a page when its first byte is written, so the mapping may
    /// have the size of the largest body.
    Mapped {
        pages: MmapMut,
        /// Bytes that have arrived; at most the size of `pages`.
        filled: usize,
    },
}

impl BodyMemory {
    pub(crate) const fn new() -> Self {
        Self::Heap(Vec::new())
    }

    /// Memory that `bytes` of a body of at most `largest` bytes take up.
    pub(crate) fn charge(bytes: usize, largest: usize) -> usize {
        let rounded = if bytes <= MAX_HEAP_BYTES {
            bytes.next_power_of_two().max(FIRST_HEAP_BYTES)
        } else {
            bytes.next_multiple_of(MAPPED_STEP_BYTES)
        };
        rounded.min(largest.max(bytes))
    }

    /// Makes room for `bytes` in all, of a body of at most `largest` bytes.
    pub(crate) fn reserve(&mut self, bytes: usize, largest: usize) -> io::Result<()> {
        let Self::Heap(held) = self else {
            return Ok(());
        };
        if bytes <= held.capacity() {
            return Ok(());
        }
        if bytes <= MAX_HEAP_BYTES {
            held.reserve_exact(Self::charge(bytes, largest) - held.len());
            return Ok(());
        }
        let mut pages = MmapMut::map_anon(largest.max(bytes))?;
        let filled = held.len();
        pages[..filled].copy_from_slice(held);
        *self = Self::Mapped { pages, filled };
        Ok(())
    }

    /// Appends bytes for which [`reserve`](Self::reserve) has made room.
    pub(crate) fn append(&mut self, data: &[u8]) {
        match self {
            Self::Heap(held) => held.extend_from_slice(data),
            Self::Mapped { pages, filled } => {
                pages[*filled..*filled + data.len()].copy_from_slice(data);
                *filled += data.len();
            }
        }
    }

    pub(crate) fn as_slice(&self) -> &[u8] {
        match self {
            Self::Heap(held) => held,
            Self::Mapped { pages, filled } => &pages[..*filled],
        }
    }
}
