//! Which upstream holds which prompt prefix in its cache.
//!
//! Prompts are cut into blocks of about 1,000 tokens. The hash of a block covers all blocks before
//! it and the organisation, so that equal prompts of two organisations have nothing in common.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockCount;

/// Bytes of prompt text in a block; about four bytes a token.
const BLOCK_BYTES: usize = 4_000;

/// Blocks of a prompt that are hashed; longer prompts gain little from a longer match.
const MAX_HASHED_BLOCKS: usize = 64;

/// Hash of a prefix of one organisation's prompt that ends at a block boundary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(u64);

impl From<u64> for PrefixHash {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

/// Hashes of the whole blocks of a prompt.
pub fn hash_prompt(organisation: &str, prompt: &[u8]) -> Vec<PrefixHash> {
    let mut seed = xxh3_64_with_seed(organisation.as_bytes(), 0);
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_HASHED_BLOCKS);
    let hashes = blocks.map(|block| {
        seed = xxh3_64_with_seed(block, seed);
        PrefixHash(seed)
    });
    hashes.collect()
}

/// Position of an upstream in the chooser's subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotIndex(u8);

impl SlotIndex {
    /// The slot at `index`, which is below 64.
    pub fn new(index: usize) -> Self {
        let index = u8::try_from(index).expect("a subset has at most 64 slots");
        Self(index)
    }

    /// The index.
    pub fn get(self) -> usize {
        usize::from(self.0)
    }
}

/// A set of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotSet(u64);

impl SlotSet {
    /// Adds a slot.
    pub fn insert(&mut self, slot: SlotIndex) {
        self.0 |= 1 << slot.0;
    }

    /// Removes a slot.
    pub fn remove(&mut self, slot: SlotIndex) {
        self.0 &= !(1 << slot.0);
    }

    /// Whether the set has the slot.
    pub fn contains(self, slot: SlotIndex) -> bool {
        self.0 & (1 << slot.0) != 0
    }

    /// Slots in both sets.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Slots in either set.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Slots that are not in `other`.
    #[must_use]
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether the set has no slot.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Number of slots.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// The slots in ascending order.
    pub fn iter(self) -> impl Iterator<Item = SlotIndex> {
        let mut rest = self.0;
        std::iter::from_fn(move || {
            if rest == 0 {
                return None;
            }
            let index = rest.trailing_zeros() as u8;
            rest &= rest - 1;
            Some(SlotIndex(index))
        })
    }
}

/// A change of an upstream's cache, as its agent passes it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event; consecutive for one incarnation of the upstream.
    pub sequence: u64,
    /// Prefixes that are now cached.
    pub added: Vec<PrefixHash>,
    /// Prefixes that are no longer cached.
    pub removed: Vec<PrefixHash>,
}

/// Number of a use of a prefix; later uses have larger numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct UseNumber(u64);

/// Prefixes that one upstream holds.
#[derive(Debug, Clone)]
struct SlotPrefixes {
    /// Last use of each prefix; at most `capacity`.
    uses: HashMap<PrefixHash, UseNumber>,
    /// The same by use, to find the least recently used.
    order: BTreeMap<UseNumber, PrefixHash>,
    next_use: UseNumber,
    capacity: usize,
    last_sequence: Option<u64>,
}

impl SlotPrefixes {
    /// Notes a use and returns the prefix that had to make room.
    fn touch(&mut self, hash: PrefixHash) -> Option<PrefixHash> {
        self.next_use.0 += 1;
        if let Some(old) = self.uses.insert(hash, self.next_use) {
            self.order.remove(&old);
        }
        self.order.insert(self.next_use, hash);
        if self.uses.len() <= self.capacity {
            return None;
        }
        let (_, evicted) = self.order.pop_first()?;
        self.uses.remove(&evicted);
        Some(evicted)
    }

    fn remove(&mut self, hash: PrefixHash) -> bool {
        let Some(used) = self.uses.remove(&hash) else {
            return false;
        };
        self.order.remove(&used);
        true
    }
}

/// Prefixes of all upstreams of a subset.
#[derive(Debug, Clone, Default)]
pub struct PrefixMap {
    /// Upstreams that hold a prefix; mirrors `slots` and has no empty sets.
    holders: HashMap<PrefixHash, SlotSet>,
    slots: HashMap<SlotIndex, SlotPrefixes>,
}

impl PrefixMap {
    /// Begins to track an upstream; its cache is empty.
    pub fn add_slot(&mut self, slot: SlotIndex, capacity: BlockCount) {
        self.remove_slot(slot);
        let capacity = usize::try_from(capacity.get()).unwrap_or(usize::MAX);
        let prefixes = SlotPrefixes {
            uses: HashMap::new(),
            order: BTreeMap::new(),
            next_use: UseNumber::default(),
            capacity,
            last_sequence: None,
        };
        self.slots.insert(slot, prefixes);
    }

    /// Stops tracking an upstream.
    pub fn remove_slot(&mut self, slot: SlotIndex) {
        self.forget(slot);
        self.slots.remove(&slot);
    }

    /// Notes that a prompt was sent to an upstream, which then holds its prefixes.
    pub fn record(&mut self, slot: SlotIndex, prefixes: &[PrefixHash]) {
        // The first block is used last, because a match needs all blocks before it.
        for hash in prefixes.iter().rev() {
            self.insert(slot, *hash);
        }
    }

    /// Takes a cache event and returns whether the upstream's prefixes had to be forgotten.
    ///
    /// After a gap it is unknown what was evicted, so nothing known about the cache counts any more.
    /// A repeated or late event has no effect.
    pub fn apply(&mut self, slot: SlotIndex, event: &CacheEvent) -> bool {
        let Some(prefixes) = self.slots.get_mut(&slot) else {
            return false;
        };
        let last = prefixes.last_sequence;
        if last.is_some_and(|last| event.sequence <= last) {
            return false;
        }
        let gap = last.is_some_and(|last| event.sequence != last + 1);
        prefixes.last_sequence = Some(event.sequence);
        if gap {
            self.forget(slot);
        }
        for hash in &event.removed {
            self.remove(slot, *hash);
        }
        for hash in &event.added {
            self.insert(slot, *hash);
        }
        gap
    }

    /// Upstreams among `candidates` with the longest match and its length in blocks.
    pub fn longest_match(
        &self,
        prefixes: &[PrefixHash],
        candidates: SlotSet,
    ) -> Option<(SlotSet, usize)> {
        let mut best = None;
        let mut remaining = candidates;
        for (index, hash) in prefixes.iter().enumerate() {
            let holders = self.holders.get(hash).copied().unwrap_or_default();
            remaining = remaining.intersection(holders);
            if remaining.is_empty() {
                break;
            }
            best = Some((remaining, index + 1));
        }
        best
    }

    /// Forgets the prefixes of an upstream, for example after a gap or a lost subscription.
    pub fn forget(&mut self, slot: SlotIndex) {
        let Some(prefixes) = self.slots.get_mut(&slot) else {
            return;
        };
        prefixes.uses.clear();
        for hash in std::mem::take(&mut prefixes.order).into_values() {
            self.remove_holder(slot, hash);
        }
    }

    fn insert(&mut self, slot: SlotIndex, hash: PrefixHash) {
        let Some(prefixes) = self.slots.get_mut(&slot) else {
            return;
        };
        if prefixes.capacity == 0 {
            return;
        }
        let evicted = prefixes.touch(hash);
        self.holders.entry(hash).or_default().insert(slot);
        if let Some(evicted) = evicted {
            self.remove_holder(slot, evicted);
        }
    }

    fn remove(&mut self, slot: SlotIndex, hash: PrefixHash) {
        if let Some(prefixes) = self.slots.get_mut(&slot)
            && prefixes.remove(hash)
        {
            self.remove_holder(slot, hash);
        }
    }

    fn remove_holder(&mut self, slot: SlotIndex, hash: PrefixHash) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.remove(slot);
            if holders.is_empty() {
                self.holders.remove(&hash);
            }
        }
    }
}
