//! The leader's ledgers of all organisations.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use super::quota_ledger::{LedgerAnswer, LedgerAsk, QuotaLedger};
use super::quota_spec::{QuotaBounds, QuotaCapacity, QuotaSpec};

/// Quota of an organisation, with the version of the document that states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionedSpec {
    /// Version of the document.
    pub version: u64,
    /// The quota.
    pub spec: QuotaSpec,
}

/// Ledgers of one term of a leader; those of an earlier term are dropped, because another leader may
/// have granted tokens in between.
#[derive(Debug)]
pub struct QuotaTable<N> {
    bounds: QuotaBounds,
    lifetime: Duration,
    term: u64,
    led_since: TimePoint,
    ledgers: IndexMap<N, (VersionedSpec, QuotaLedger)>,
}

impl<N: Hash + Eq + Clone> QuotaTable<N> {
    /// Table without ledgers. `lifetime` is that of granted tokens.
    pub fn new(bounds: QuotaBounds, lifetime: Duration) -> Self {
        Self {
            bounds,
            lifetime,
            term: 0,
            led_since: TimePoint::default(),
            ledgers: IndexMap::new(),
        }
    }

    /// Records that this instance holds the lease of the leader in a term. The earlier a new leader
    /// learns it, the earlier it can grant tokens.
    pub fn observe_term(&mut self, term: u64, now: TimePoint) {
        if term != self.term {
            self.term = term;
            self.led_since = now;
            self.ledgers.clear();
        }
    }

    /// Answers an ask for an organisation, in a term in which this instance holds the lease of the
    /// leader. The quota of the newest document that any entry has stated counts. `None` if the ask
    /// is outdated.
    pub fn answer(
        &mut self,
        term: u64,
        organisation: &N,
        stated: VersionedSpec,
        entry: u64,
        ask: LedgerAsk,
        now: TimePoint,
    ) -> Option<LedgerAnswer> {
        self.observe_term(term, now);
        if !self.ledgers.contains_key(organisation) {
            let capacity = QuotaCapacity::new(&stated.spec, &self.bounds);
            let ledger = QuotaLedger::new(capacity, self.lifetime, self.led_since);
            self.ledgers.insert(organisation.clone(), (stated, ledger));
        }
        let (current, ledger) = self.ledgers.get_mut(organisation)?;
        if stated.version > current.version {
            let capacity = QuotaCapacity::new(&stated.spec, &self.bounds);
            if stated.spec.unit != current.spec.unit {
                // No entry holds tokens of the new unit.
                *ledger = QuotaLedger::without_predecessor(capacity, self.lifetime, now);
            } else if stated.spec != current.spec {
                ledger.set_capacity(capacity, now);
            }
            *current = stated;
        }
        if stated.spec.unit != current.spec.unit {
            // Tokens of another unit cannot be compared; the entry is about to learn the new one.
            return Some(LedgerAnswer::default());
        }
        ledger.answer(entry, ask, now)
    }
}
