//! Map of the prompt prefixes that each upstream has in its cache.
//!
//! Prompts are split into blocks of about 1,000 tokens. The hash of a block also covers all blocks
//! before it and the organisation, so that equal prompts of two organisations never match.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockCount;

/// Bytes of prompt text in a block, at about four bytes per token.
const BLOCK_BYTES: usize = 4_000;

/// Maximum number of hashed blocks of a prompt; a longer match would bring little more.
const MAX_HASHED_BLOCKS: usize = 64;

/// Hash of a prefix of one organisation's prompt that ends at a block boundary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(u64);

impl From<u64> for PrefixHash {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

/// Returns the prefix hash at the end of each complete block of a prompt, at most 64.
pub fn hash_prompt(organisation: &str, prompt: &[u8]) -> Vec<PrefixHash> {
    let mut prefix_hash = xxh3_64_with_seed(organisation.as_bytes(), 0);
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_HASHED_BLOCKS);
    let hashes = blocks.map(|block| {
        prefix_hash = xxh3_64_with_seed(block, prefix_hash);
        PrefixHash(prefix_hash)
    });
    hashes.collect()
}

/// Index of an upstream in the chooser's subset, below 64.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotIndex(u8);

impl SlotIndex {
    /// Creates a slot index; `index` must be below 64.
    pub fn new(index: usize) -> Self {
        let index = u8::try_from(index).expect("a subset has at most 64 slots");
        Self(index)
    }

    /// The index as a plain number.
    pub fn get(self) -> usize {
        usize::from(self.0)
    }
}

/// A set of slots, stored as a bit mask.
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

    /// Whether the set contains the slot.
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

    /// Whether the set contains no slot.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Number of slots.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Iterates over the slots in ascending order.
    pub fn iter(self) -> impl Iterator<Item = SlotIndex> {
        let mut remaining = self.0;
        std::iter::from_fn(move || {
            if remaining == 0 {
                return None;
            }
            let index = remaining.trailing_zeros() as u8;
            remaining &= remaining - 1;
            Some(SlotIndex(index))
        })
    }
}

/// A change of an upstream's prefix cache, as forwarded by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number; consecutive within one incarnation of the upstream.
    pub sequence: u64,
    /// Prefixes that were added to the cache.
    pub added: Vec<PrefixHash>,
    /// Prefixes that were evicted from the cache.
    pub removed: Vec<PrefixHash>,
}

/// Sequence number of a use of a prefix; later uses have larger numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct UseNumber(u64);

/// Prefixes that one upstream is believed to have in its cache.
#[derive(Debug, Clone)]
struct SlotPrefixes {
    /// Last use of each prefix; at most `capacity` entries.
    uses: HashMap<PrefixHash, UseNumber>,
    /// Inverse of `uses`, to find the least recently used prefix.
    order: BTreeMap<UseNumber, PrefixHash>,
    /// Number of the latest use.
    latest_use: UseNumber,
    /// Maximum number of prefixes.
    capacity: usize,
    /// Sequence number of the last cache event.
    last_sequence: Option<u64>,
}

impl SlotPrefixes {
    /// Records a use and returns the least recently used prefix if it was evicted.
    fn record_use(&mut self, hash: PrefixHash) -> Option<PrefixHash> {
        self.latest_use.0 += 1;
        if let Some(previous_use) = self.uses.insert(hash, self.latest_use) {
            self.order.remove(&previous_use);
        }
        self.order.insert(self.latest_use, hash);
        if self.uses.len() <= self.capacity {
            return None;
        }
        let (_, evicted) = self.order.pop_first()?;
        self.uses.remove(&evicted);
        Some(evicted)
    }

    fn remove(&mut self, hash: PrefixHash) -> bool {
        let Some(last_use) = self.uses.remove(&hash) else {
            return false;
        };
        self.order.remove(&last_use);
        true
    }
}

/// Cached prefixes of all upstreams of a subset.
#[derive(Debug, Clone, Default)]
pub struct PrefixMap {
    /// Slots that hold each prefix. Always consistent with `slots`; contains no empty set.
    holders: HashMap<PrefixHash, SlotSet>,
    slots: HashMap<SlotIndex, SlotPrefixes>,
}

impl PrefixMap {
    /// Starts tracking an upstream with an empty cache of `capacity` blocks.
    pub fn add_slot(&mut self, slot: SlotIndex, capacity: BlockCount) {
        self.remove_slot(slot);
        let capacity = usize::try_from(capacity.get()).unwrap_or(usize::MAX);
        let prefixes = SlotPrefixes {
            uses: HashMap::new(),
            order: BTreeMap::new(),
            latest_use: UseNumber::default(),
            capacity,
            last_sequence: None,
        };
        self.slots.insert(slot, prefixes);
    }

    /// Stops tracking an upstream.
    pub fn remove_slot(&mut self, slot: SlotIndex) {
        self.clear_slot(slot);
        self.slots.remove(&slot);
    }

    /// Records that a prompt was sent to an upstream, which is then assumed to cache its prefixes.
    pub fn record(&mut self, slot: SlotIndex, prefixes: &[PrefixHash]) {
        // Later blocks are useless without the first one, so the first one must be evicted last.
        for hash in prefixes.iter().rev() {
            self.insert(slot, *hash);
        }
    }

    /// Applies a cache event and returns whether it followed a gap in the sequence.
    ///
    /// After a gap it is unknown which prefixes were evicted, so all prefixes of the upstream are
    /// removed before the event is applied. A repeated or outdated event has no effect.
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
            self.clear_slot(slot);
        }
        for hash in &event.removed {
            self.remove(slot, *hash);
        }
        for hash in &event.added {
            self.insert(slot, *hash);
        }
        gap
    }

    /// Returns the `candidates` that hold the most leading blocks of a prompt, and the number of
    /// these blocks; `None` if no candidate holds the first block.
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

    /// Removes all prefixes of an upstream, for example after a gap or a lost subscription.
    pub fn clear_slot(&mut self, slot: SlotIndex) {
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
        let evicted = prefixes.record_use(hash);
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
