//! What keeps bytes in a process, by holder.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

use crate::intake::byte_budget::ByteBudget;

/// Name of a holder, and of the member that it holds bytes for, if it does so for one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HolderKey {
    holder: &'static str,
    member: Option<String>,
}

/// One budget for all that a process holds, with a part for each holder; clones share it.
///
/// A holder takes a [`ByteLease`](crate::intake::ByteLease) from its part for what it keeps. The
/// sum over all parts stays within the whole, so that no combination of holders exceeds it.
#[derive(Debug, Clone)]
pub struct MemoryHolders {
    whole: ByteBudget,
    /// Parts in the order in which they were created. Taken alone and never held across an await.
    parts: Arc<Mutex<IndexMap<HolderKey, ByteBudget>>>,
}

/// Bytes of one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderUse {
    /// Name of the holder.
    pub holder: &'static str,
    /// Member that the bytes are held for, if the holder has a part for each.
    pub member: Option<String>,
    /// Bytes that are held now.
    pub used: usize,
    /// Highest number of bytes since the last report.
    pub peak: usize,
    /// Largest number of bytes.
    pub capacity: usize,
}

impl MemoryHolders {
    /// Creates a budget of `capacity` bytes without parts.
    pub fn new(capacity: usize) -> Self {
        Self {
            whole: ByteBudget::new(capacity),
            parts: Arc::default(),
        }
    }

    /// Budget of the whole.
    pub const fn whole(&self) -> &ByteBudget {
        &self.whole
    }

    /// Part of a holder; it is created with `capacity` bytes if there is none of the name.
    pub fn part(&self, holder: &'static str, capacity: usize) -> ByteBudget {
        self.part_of(&self.whole, holder, capacity)
    }

    /// Part of a holder whose bytes count in `whole` too, which is another part of this budget.
    pub fn part_of(&self, whole: &ByteBudget, holder: &'static str, capacity: usize) -> ByteBudget {
        let key = HolderKey {
            holder,
            member: None,
        };
        let mut parts = self.lock();
        let part = parts.entry(key);
        part.or_insert_with(|| whole.part(capacity)).clone()
    }

    /// Part of a holder that keeps bytes for `member`, within the part of that holder.
    pub fn member_part(&self, holder: &'static str, capacity: usize, member: &str) -> ByteBudget {
        let of_holder = self.part(holder, capacity);
        let key = HolderKey {
            holder,
            member: Some(member.to_owned()),
        };
        let mut parts = self.lock();
        let part = parts.entry(key);
        part.or_insert_with(|| of_holder.part(capacity)).clone()
    }

    /// Forgets the part for a member that holds no bytes any more.
    pub fn remove_member(&self, holder: &'static str, member: &str) {
        let key = HolderKey {
            holder,
            member: Some(member.to_owned()),
        };
        self.lock().shift_remove(&key);
    }

    /// Bytes of all holders, with their peaks since the last call.
    pub fn take_uses(&self) -> Vec<HolderUse> {
        let parts = self.lock();
        let uses = parts.iter().map(|(key, part)| HolderUse {
            holder: key.holder,
            member: key.member.clone(),
            used: part.used(),
            peak: part.take_peak(),
            capacity: part.capacity(),
        });
        uses.collect()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<HolderKey, ByteBudget>> {
        self.parts
            .lock()
            .expect("no holder of the lock of the parts panics")
    }

    fn encode_gauge(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
        value: impl Fn(&ByteBudget) -> usize,
    ) -> Result<(), fmt::Error> {
        let mut metric =
            encoder.encode_descriptor(name, help, Some(&Unit::Bytes), MetricType::Gauge)?;
        let parts = self.lock();
        for (key, part) in parts.iter() {
            let member = key.member.as_deref().unwrap_or_default();
            let labels = [("holder", key.holder), ("member", member)];
            let value = i64::try_from(value(part)).unwrap_or(i64::MAX);
            ConstGauge::new(value).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }
}

impl Collector for MemoryHolders {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Bytes that are held, by what holds them and for which member";
        self.encode_gauge(&mut encoder, "held", help, ByteBudget::used)?;
        let help = "Largest number of bytes that may be held, by what holds them";
        self.encode_gauge(&mut encoder, "held_limit", help, ByteBudget::capacity)
    }
}
